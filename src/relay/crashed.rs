//! Detects whether a server whose connection ended has ended itself.

use super::{Outcome, Relay, outcome};
use crate::{
  backend::Backend,
  clock::Moment,
  dispatch::{Attempt, End},
  liveness::{self, Liveness},
  tunnel,
};

/// A connection that breaks sooner than this after a send belongs to a server that had already
/// ended: bytes between availability zones take some ms, and a first token takes longer.
const MIN_RUN_MS: u64 = 10;

impl Relay<'_> {
  /// Checks whether a server that cut off a run has ended.
  pub(super) fn check_crash(&self, result: Outcome, attempt: &Attempt) -> Outcome {
    let may_be_crash = result.disconnected && self.has_run();
    if !may_be_crash || self.liveness(attempt, Self::probe) != Liveness::Ended {
      return result;
    }
    outcome(End::Crashed, "server ended")
  }

  /// Checks a response that ended with its connection, as it would also end with the server: it is
  /// whole only if the server is shown to run afterwards.
  pub(super) fn confirm_end(&self, attempt: &Attempt) -> Result<(), Outcome> {
    match self.liveness(attempt, Self::check) {
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

  /// Whether a server runs, by what this instance finds itself and by what others do.
  fn liveness(&self, attempt: &Attempt, find: impl Fn(&Self, &Attempt) -> Liveness) -> Liveness {
    let (address, life) = (attempt.address, attempt.life);
    if self.hub.state().has_other_server(address, life) {
      return Liveness::Unknown;
    }
    if self.sending.via.is_none() {
      return self.find_first(attempt, find);
    }
    match self.ask_others(attempt) {
      Liveness::Unknown => find(self, attempt),
      known => known,
    }
  }

  /// Asks other instances if this one does not find that a server runs: one that does shows that the
  /// path is lost, not the server.
  fn find_first(&self, attempt: &Attempt, find: impl Fn(&Self, &Attempt) -> Liveness) -> Liveness {
    let own = find(self, attempt);
    if own == Liveness::Running {
      return own;
    }
    let others = self.ask_others(attempt);
    if own == Liveness::Ended && others == Liveness::Running {
      let now = self.hub.now();
      self.hub.paths.record_failure(attempt.backend, now);
    }
    match others == Liveness::Running || own == Liveness::Unknown {
      true => others,
      false => own,
    }
  }

  /// Whether the port of a server accepts connections.
  fn probe(&self, attempt: &Attempt) -> Liveness {
    liveness::check_port(self.hub, &self.server(attempt))
  }

  /// Whether a server responds.
  fn check(&self, attempt: &Attempt) -> Liveness {
    let limit = Moment::now() + liveness::ANSWER_TIMEOUT;
    let until = limit.min(self.hub.instant(self.deadline));
    liveness::check(self.hub, &self.server(attempt), until)
  }

  fn server<'a>(&'a self, attempt: &'a Attempt) -> liveness::Server<'a> {
    liveness::Server {
      key: attempt.backend,
      id: &attempt.id,
      life: attempt.life,
      address: attempt.address,
      request: &self.id,
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
