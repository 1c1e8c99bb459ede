//! How long connected instances kept sending requests to servers that are leaving, as the servers
//! saw it.

use crate::{
  check::Bounds,
  history::{FROZEN, History, Run, STOPPED, Target},
};

/// A request that an instance sent to a server that is leaving.
#[derive(Clone, Copy, Debug)]
pub struct LateRun<'a> {
  pub run: &'a Run,
  /// Time since the departure was written to the store, in ms.
  pub after_ms: u64,
}

/// Returns the last request to each server that left while the store had no fault.
pub fn last_runs<'a>(history: &'a History, bounds: &Bounds) -> Vec<LateRun<'a>> {
  let drained = history.drained.iter();
  drained
    .filter_map(|(server, at)| {
      let runs = history.runs.iter();
      let after = runs.filter(|run| run.server == *server && run.at > *at);
      let counted = after.filter(|run| was_in_contact(history, bounds, run, *at));
      let run = counted.max_by_key(|run| run.at)?;
      let after_ms = run.at - at;
      Some(LateRun { run, after_ms })
    })
    .collect()
}

/// Returns requests to servers that had left before a fault of the store, from instances that knew
/// of the departure and kept running. A restored copy of the store must not bring a server back.
pub fn runs_after_restore<'a>(history: &'a History, bounds: &Bounds) -> Vec<LateRun<'a>> {
  let drained = history.drained.iter();
  drained
    .flat_map(|(server, at)| {
      let known_from = at + bounds.drain_ms;
      let runs = history.runs.iter();
      let after = runs.filter(move |run| run.server == *server && run.at > known_from);
      let counted = after.filter(move |run| knew_departure(history, bounds, run, *at));
      counted.map(move |run| LateRun {
        run,
        after_ms: run.at - at,
      })
    })
    .collect()
}

/// Whether the instance that sent a request knew of the departure and was not restarted or frozen
/// since, while a fault of the store came after the departure was known.
fn knew_departure(history: &History, bounds: &Bounds, run: &Run, left_at: u64) -> bool {
  let Some(request) = history.requests.iter().find(|request| request.id == run.id) else {
    return false;
  };
  let target = Target::Instance(request.instance);
  let (from, known_from) = (
    left_at.saturating_sub(bounds.contact_ms),
    left_at + bounds.drain_ms,
  );
  let mut incidents = history.incidents.iter();
  let lost_state = incidents.any(|incident| {
    let loses_state = matches!(incident.cause, FROZEN | STOPPED | "kill");
    loses_state && incident.target == target && incident.from <= run.at && incident.to >= known_from
  });
  !lost_state
    && history.had_incident(&Target::Store, known_from, run.at)
    && !history.had_incident(&Target::Store, from, known_from)
    && !history.had_incident(&target, from, known_from)
}

/// Whether the sending instance had no recent fault when the request ran, and the store had none
/// since shortly before the departure.
fn was_in_contact(history: &History, bounds: &Bounds, run: &Run, left_at: u64) -> bool {
  // Probes are not in the list of requests.
  let Some(request) = history.requests.iter().find(|request| request.id == run.id) else {
    return false;
  };
  let store_from = left_at.saturating_sub(bounds.contact_ms);
  let instance_from = run.at.saturating_sub(bounds.contact_ms);
  !history.had_incident(&Target::Store, store_from, run.at)
    && !history.had_incident(&Target::Instance(request.instance), instance_from, run.at)
}
