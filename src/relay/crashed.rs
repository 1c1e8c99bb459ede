//! Detects whether a server whose connection ended has ended itself.

use super::{Outcome, Relay, outcome};
use crate::{
  backend::Backend,
  dispatch::{Attempt, End},
  liveness::{self, Liveness, Probe},
  tunnel,
};

/// A connection that breaks sooner than this after a send belongs to a server that had already
/// ended: bytes between availability zones take some ms, and a first token takes longer.
const MIN_RUN_MS: u64 = 10;

impl Relay<'_> {
  /// Checks whether a server that cut off a run has ended.
  pub(super) fn check_crash(&self, result: Outcome, attempt: &Attempt) -> Outcome {
    if !result.disconnected || !self.has_run() || self.liveness(attempt) != Liveness::Ended {
      return result;
    }
    outcome(End::Crashed, "server ended")
  }

  /// Checks a response that ended with its connection, as it would also end with the server: it is
  /// whole only if the server is shown to run afterwards.
  pub(super) fn confirm_end(&self, attempt: &Attempt) -> Result<(), Outcome> {
    match self.liveness(attempt) {
      Liveness::Running => Ok(()),
      // A server that is leaving ends whatever it runs.
      Liveness::Ended if self.has_run() && !self.is_leaving(attempt) => {
        Err(outcome(End::Crashed, "server ended"))
      }
      Liveness::Ended => Err(outcome(End::Broken, "server had ended")),
      Liveness::Unknown => Err(outcome(End::Broken, "end of the answer is not confirmed")),
    }
  }

  fn is_leaving(&self, attempt: &Attempt) -> bool {
    let state = self.hub.state();
    state
      .backends
      .get(attempt.backend)
      .is_none_or(Backend::is_leaving)
  }

  fn has_run(&self) -> bool {
    self.hub.now() >= self.sending.sent_at + MIN_RUN_MS
  }

  /// Whether a server runs.
  fn liveness(&self, attempt: &Attempt) -> Liveness {
    if self.hub.state().has_new_server(attempt) {
      return Liveness::Unknown;
    }
    if self.sending.via.is_none() {
      return self.probe_first(attempt);
    }
    match self.ask_others(attempt) {
      Liveness::Unknown => self.probe(attempt),
      known => known,
    }
  }

  /// Connects to a server, and asks other instances if that fails: one that connects shows that the
  /// path is lost, not the server.
  fn probe_first(&self, attempt: &Attempt) -> Liveness {
    let own = self.probe(attempt);
    if own == Liveness::Running {
      return own;
    }
    let others = self.ask_others(attempt);
    if others == Liveness::Running || own == Liveness::Unknown {
      let now = self.hub.now();
      self.hub.paths.record_failure(attempt.backend, now);
      return others;
    }
    own
  }

  /// Connects to a server. The connection is kept for the next send, if there may be one.
  fn probe(&self, attempt: &Attempt) -> Liveness {
    match liveness::probe(attempt.address) {
      Probe::Accepts(socket) => {
        self.hub.measures.record_connection();
        let leaves = self.is_leaving(attempt);
        if let Some(socket) = socket.filter(|_| !leaves) {
          self.hub.pool.release(attempt.backend, socket, None);
        }
        Liveness::Running
      }
      Probe::Refuses => Liveness::Ended,
      Probe::Silent => Liveness::Unknown,
    }
  }

  fn ask_others(&self, attempt: &Attempt) -> Liveness {
    let target = tunnel::Target {
      server: &attempt.id,
      address: attempt.address,
      request: &self.id,
      deadline: self.deadline,
    };
    tunnel::ask(self.hub, &target, self.sending.via)
  }
}
