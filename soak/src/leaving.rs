//! How long instances in touch went on sending to servers that leave, as the servers saw it.

use crate::{
  check::Bounds,
  history::{FROZEN, History, Run, STOPPED, Target},
};

/// The last request that an instance in touch sent to a server that leaves.
#[derive(Clone, Copy, Debug)]
pub struct Last<'a> {
  pub run: &'a Run,
  /// Since the store's word that the server leaves, ms.
  pub after_ms: u64,
}

/// The last requests to each server that left while the store was sound.
pub fn last<'a>(history: &'a History, bounds: &Bounds) -> Vec<Last<'a>> {
  let drained = history.drained.iter();
  drained
    .filter_map(|(server, at)| {
      let runs = history.runs.iter();
      let after = runs.filter(|run| run.server == *server && run.at > *at);
      let counted = after.filter(|run| in_touch(history, bounds, run, *at));
      let run = counted.max_by_key(|run| run.at)?;
      let after_ms = run.at - at;
      Some(Last { run, after_ms })
    })
    .collect()
}

/// Requests to servers that had left before the store was disturbed, of instances that had known it
/// undisturbed and run on since: a copy of the store does not bring a server back.
pub fn back<'a>(history: &'a History, bounds: &Bounds) -> Vec<Last<'a>> {
  let drained = history.drained.iter();
  drained
    .flat_map(|(server, at)| {
      let known = at + bounds.drain_ms;
      let runs = history.runs.iter();
      let after = runs.filter(move |run| run.server == *server && run.at > known);
      let counted = after.filter(move |run| knew(history, bounds, run, *at));
      counted.map(move |run| Last {
        run,
        after_ms: run.at - at,
      })
    })
    .collect()
}

/// Whether the instance that sent a request knew of a departure and has not been started again or
/// stood still since.
fn knew(history: &History, bounds: &Bounds, run: &Run, left: u64) -> bool {
  let Some(sent) = history.sent.iter().find(|sent| sent.id == run.id) else {
    return false;
  };
  let target = Target::Instance(sent.instance);
  let (from, known) = (
    left.saturating_sub(bounds.contact_ms),
    left + bounds.drain_ms,
  );
  let mut troubles = history.troubles.iter();
  let forgot = troubles.any(|trouble| {
    let forgets = matches!(trouble.what, FROZEN | STOPPED | "kill");
    forgets && trouble.target == target && trouble.from <= run.at && trouble.to >= known
  });
  !forgot
    && history.troubled(&Target::Store, known, run.at)
    && !history.troubled(&Target::Store, from, known)
    && !history.troubled(&target, from, known)
}

/// Whether nothing disturbed the instance that sent a request in the time before it, nor the
/// store since before the departure.
fn in_touch(history: &History, bounds: &Bounds, run: &Run, left: u64) -> bool {
  // Probes are nobody's requests.
  let Some(sent) = history.sent.iter().find(|sent| sent.id == run.id) else {
    return false;
  };
  let stable = left.saturating_sub(bounds.contact_ms);
  let touch = run.at.saturating_sub(bounds.contact_ms);
  !history.troubled(&Target::Store, stable, run.at)
    && !history.troubled(&Target::Instance(sent.instance), touch, run.at)
}
