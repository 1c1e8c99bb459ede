//! Asks the store whether servers of other builds have joined, or routes have changed, for streams
//! that nobody knows.
//!
//! While an instance is partitioned or suspended, builds may join unseen, streams begin at them on
//! other instances, and their records may not arrive. A stream began before its resumption arrived,
//! so the servers as of a call that starts after the arrival include those of its build.

use super::Id;
use crate::{
  dispatch::{Event, State},
  edge::Edge,
  planner::{Completion, Planner},
  store::{self, Changes, Error, Object, Revision},
};
use slog::info;
use std::time::Duration;

/// Timeout of the watch, which only reads the changes so far.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1);
/// Minimum time between two confirmations, in ms, for each instance: all together make at most 1,000
/// calls per second, half of the reads that deployments allow.
const INTERVAL_PER_INSTANCE_MS: u64 = 2;

/// A server's pool and build.
pub type Server = (String, Id);

/// Why the servers that changed are not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
  /// The store did not respond, or turned the call away.
  Unavailable,
  /// The store responded and cannot tell them.
  Untold,
}

/// The last time as of which the builds were asked for, in ms, by outcome.
#[derive(Clone, Debug, Default)]
pub(super) struct Confirmation {
  requested: bool,
  confirmed_as_of: Option<u64>,
  unavailable_as_of: Option<u64>,
  untold_as_of: Option<u64>,
}

/// What is known of the builds as of a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Knowledge {
  Confirmed,
  /// The last call that started later and ended has failed.
  Failed(Failure),
  Unconfirmed,
}

impl Confirmation {
  /// What is known of the builds as of a time, in ms.
  pub(super) fn knowledge(&self, at: u64) -> Knowledge {
    let is_after = |as_of: Option<u64>| as_of.is_some_and(|as_of| as_of >= at);
    if is_after(self.confirmed_as_of) {
      Knowledge::Confirmed
    } else if is_after(self.untold_as_of) {
      Knowledge::Failed(Failure::Untold)
    } else if is_after(self.unavailable_as_of) {
      Knowledge::Failed(Failure::Unavailable)
    } else {
      Knowledge::Unconfirmed
    }
  }

  pub(super) fn request(&mut self) {
    self.requested = true;
  }

  pub(super) fn take_request(&mut self) -> bool {
    std::mem::take(&mut self.requested)
  }

  pub(super) fn confirm(&mut self, as_of: u64) {
    self.confirmed_as_of = self.confirmed_as_of.max(Some(as_of));
  }

  pub(super) fn fail(&mut self, as_of: u64, failure: Failure) {
    let last = match failure {
      Failure::Unavailable => &mut self.unavailable_as_of,
      Failure::Untold => &mut self.untold_as_of,
    };
    *last = (*last).max(Some(as_of));
  }
}

/// The servers that changed since a revision; `None` if deployments changed, whose routes tell which
/// pools' builds count together.
fn changed_servers(
  edge: &Edge,
  servers: Revision,
  deployments: Revision,
) -> store::Result<Option<Changes>> {
  let read = |kind, revision: Revision| {
    let changes = (edge.store.watch)(kind, revision, WATCH_TIMEOUT)?;
    match changes.revision.era == revision.era {
      true => Ok(changes),
      false => Err(Error::HistoryGone),
    }
  };
  let deployed = read(edge.kinds.deployments, deployments)?;
  let changes = read(edge.kinds.servers, servers)?;
  Ok(deployed.objects.is_empty().then_some(changes))
}

/// A planner's calls.
#[derive(Debug, Default)]
pub(crate) struct Calls {
  in_progress: bool,
  /// When the next ones may start, in ms.
  next_at: u64,
  requested: bool,
}

impl Calls {
  /// When the next calls may start, in ms; `None` if none are needed or some are in progress.
  pub(crate) fn due(&self) -> Option<u64> {
    (self.requested && !self.in_progress).then_some(self.next_at)
  }
}

impl State {
  /// Processes the servers that changed before a time, in ms, and are not all known yet.
  pub(crate) fn confirm_builds(&mut self, as_of: u64, servers: Result<Vec<Server>, Failure>) {
    match servers {
      Ok(servers) => {
        self.record_passing(servers.iter().map(|(pool, build)| (pool.as_str(), *build)));
        self.streams.confirmation.confirm(as_of);
      }
      Err(failure) => self.streams.confirmation.fail(as_of, failure),
    }
    self.dispatch_waiting();
  }
}

impl Planner {
  /// Starts calls if a stream needs them.
  pub(crate) fn confirm_builds(&mut self) {
    let instances = {
      let mut state = self.hub.state();
      self.confirmations.requested |= state.streams.take_confirmation_request();
      state.instances as u64
    };
    let now = self.hub.now();
    if self.confirmations.due().is_none_or(|due| now < due) {
      return;
    }
    let gates = &self.hub.gates;
    if gates.servers.age().is_none() || gates.deployments.age().is_none() {
      // Nothing is known yet that a call could complete.
      self.confirmations.requested = false;
      return;
    }
    // The state has all changes up to these revisions.
    let servers = gates.servers.progress().revision;
    let deployments = gates.deployments.progress().revision;
    self.confirmations = Calls {
      in_progress: true,
      next_at: now + instances * INTERVAL_PER_INSTANCE_MS,
      requested: false,
    };
    self.run_call(&self.build_calls, move |edge| {
      let changes = changed_servers(edge, servers, deployments);
      Completion::BuildsConfirmed(now, changes)
    });
  }

  /// Processes the result of calls that were started at `as_of`, in ms.
  pub(crate) fn finish_confirmation(&mut self, as_of: u64, result: store::Result<Option<Changes>>) {
    self.confirmations.in_progress = false;
    let servers = match result {
      Ok(Some(changes)) => {
        let present = changes.objects.iter().filter(|(_, removed)| !removed);
        Ok(
          present
            .filter_map(|(object, _)| self.server(object))
            .collect(),
        )
      }
      Ok(None) => {
        info!(
          self.hub.log,
          "builds of the pools are not confirmed: deployments have changed"
        );
        Err(Failure::Untold)
      }
      Err(error) => {
        info!(self.hub.log, "failed to confirm the builds of the pools"; "error" => %error);
        Err(self.record_failure(&error))
      }
    };
    self
      .hub
      .apply(Event::BuildsConfirmed { as_of, servers }, None);
  }

  /// Processes that the store did not tell the servers that changed. Where it has forgotten them,
  /// builds may have come and gone unseen.
  fn record_failure(&self, error: &Error) -> Failure {
    if *error != Error::HistoryGone {
      return Failure::Unavailable;
    }
    self.interrupt_build_watch();
    Failure::Untold
  }

  /// The pool and build of a server's entry. Whoever follows the servers logs an invalid one.
  pub(super) fn server(&self, object: &Object) -> Option<Server> {
    let spec = (self.edge().parse_server)(object).ok()?;
    Some((spec.pool, spec.build))
  }
}
