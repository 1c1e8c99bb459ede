//! How long instances in touch went on sending to servers that leave, as the servers saw it.

use crate::{
  check::Bounds,
  history::{History, Run, Target},
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
