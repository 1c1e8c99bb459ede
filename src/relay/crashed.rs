//! Detects whether a server that cut off a run has ended.

use super::{Outcome, Relay, outcome};
use crate::{
  backend::Backend,
  clock::Moment,
  dispatch::{Attempt, End},
  socket::{Fill, Socket},
  tunnel,
};
use std::{io, thread, time::Duration};

/// A connection that breaks sooner than this after a send belongs to a server that had already
/// ended: bytes between availability zones take some ms, and a first token takes longer.
const MIN_RUN_MS: u64 = 10;
/// Timeout of the connection that checks whether a server still runs. A refusal takes a few ms, and
/// a machine that does not respond at all is no evidence of a crash.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// A process that ends closes its connections and its port one after the other, within this time.
const CLOSING_TIME: Duration = Duration::from_millis(10);
/// Pause before a server that closed a new connection at once is connected to again.
const PROBE_INTERVAL: Duration = Duration::from_millis(2);

/// What a connection to the port of a server says of its process.
enum Probe {
  Runs(Socket),
  /// The connection was closed at once.
  Closing,
  Refused,
  Unreached,
}

fn probe(attempt: &Attempt, until: Moment) -> Probe {
  let mut socket = match Socket::connect(attempt.address, PROBE_TIMEOUT) {
    Ok(socket) => socket,
    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Probe::Refused,
    Err(_) => return Probe::Unreached,
  };
  match socket.fill_by(until) {
    Ok(Fill::Eof) => Probe::Closing,
    Err(error) if error.kind() != io::ErrorKind::TimedOut => Probe::Closing,
    _ => Probe::Runs(socket),
  }
}

impl Relay<'_> {
  /// Checks whether a server that cut off a run has ended.
  pub(super) fn check_crash(&self, result: Outcome, attempt: &Attempt) -> Outcome {
    let ran = self.hub.now() >= self.sending.sent_at + MIN_RUN_MS;
    if !result.disconnected || !ran || !self.refuses_connections(attempt) {
      return result;
    }
    outcome(End::Crashed, "server ended")
  }

  /// Whether a server has crashed, by which a response without a length would end too. One that is leaving
  /// may refuse connections while it finishes its responses.
  pub(super) fn has_crashed(&self, attempt: &Attempt) -> bool {
    let is_leaving = {
      let state = self.hub.state();
      let backend = state.backends.get(attempt.backend);
      backend.is_none_or(Backend::is_leaving)
    };
    !is_leaving && self.refuses_connections(attempt)
  }

  /// Whether a server's port refuses connections. A connection that succeeds is kept for the next
  /// send. An instance that is partitioned from the server asks another one.
  fn refuses_connections(&self, attempt: &Attempt) -> bool {
    if self.sending.via.is_some() || self.hub.paths.is_partitioned() {
      return self.open_tunnel(attempt).err() == Some(tunnel::Failure::Unreachable);
    }
    match self.probe_until_closed(attempt) {
      Probe::Runs(socket) => {
        self.hub.measures.record_connection();
        self.hub.pool.release(attempt.backend, socket, None);
        false
      }
      Probe::Closing => false,
      result @ (Probe::Refused | Probe::Unreached) => {
        self
          .hub
          .paths
          .record_failure(attempt.backend, self.hub.now());
        // Another instance that connects shows that the path is lost, not the server.
        matches!(result, Probe::Refused) && self.open_tunnel(attempt).is_err()
      }
    }
  }

  /// Connects again as long as connections are closed at once, within `CLOSING_TIME`.
  fn probe_until_closed(&self, attempt: &Attempt) -> Probe {
    let until = Moment::now() + CLOSING_TIME;
    loop {
      let result = probe(attempt, until);
      if !matches!(result, Probe::Closing) || Moment::now() >= until {
        return result;
      }
      thread::sleep(PROBE_INTERVAL);
    }
  }
}
