//! Whether the process of a backend server still runs.

mod check;
mod ends;

pub(crate) use check::{ANSWER_TIMEOUT, Server, check, check_port};
pub(crate) use ends::Ends;

use crate::{
  clock::Moment,
  socket::{Fill, Socket},
};
use std::{io, net::SocketAddr, thread, time::Duration};

/// Timeout of the connection that checks whether a server still runs. A refusal takes a few ms, and
/// a machine that does not respond at all is no evidence of a crash.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// A process that ends closes its connections and its port one after the other, within this time.
const CLOSING_TIME: Duration = Duration::from_millis(10);
/// Pause before a server that closed a new connection at once is connected to again.
const PROBE_INTERVAL: Duration = Duration::from_millis(2);

/// What is known of a server's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Liveness {
  Running,
  Ended,
  Unknown,
}

/// What the port of a server says.
#[derive(Debug)]
pub(crate) enum Probe {
  /// It accepts connections; one that stayed open, if any did.
  Accepts(Option<Socket>),
  /// Its machine refuses connections, which shows that there is a path to it.
  Refuses,
  Silent,
}

/// What the port of a server says of its process. The system accepts connections also for a process that
/// has stopped serving, so this does not show that a response is complete: see `check`.
///
/// Connects to a server, and again as long as connections are closed at once, within
/// `CLOSING_TIME`: the port of a process that ends refuses them by then.
pub(crate) fn probe(address: SocketAddr) -> Probe {
  let until = Moment::now() + CLOSING_TIME;
  loop {
    let result = connect(address);
    if !matches!(result, Probe::Accepts(None)) || Moment::now() >= until {
      return result;
    }
    thread::sleep(PROBE_INTERVAL);
  }
}

/// Connects to a server and watches the connection for `CLOSING_TIME`.
fn connect(address: SocketAddr) -> Probe {
  let mut socket = match Socket::connect(address, PROBE_TIMEOUT) {
    Ok(socket) => socket,
    Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => return Probe::Refuses,
    Err(_) => return Probe::Silent,
  };
  match socket.fill_by(Moment::now() + CLOSING_TIME) {
    Ok(Fill::Eof) => Probe::Accepts(None),
    Err(error) if error.kind() != io::ErrorKind::TimedOut => Probe::Accepts(None),
    _ => Probe::Accepts(Some(socket)),
  }
}
