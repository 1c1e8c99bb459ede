//! Connections to backend servers, kept for the next request.

use crate::{hub::lock, socket::Socket};
use std::{
  collections::HashMap,
  io,
  net::SocketAddr,
  sync::Mutex,
  time::{Duration, Instant},
};

/// Time for a connection to come up: a server that is there answers within a few
/// milliseconds, and a dropped opening packet goes again only after a second.
const CONNECT: Duration = Duration::from_millis(400);
/// Rest after which a kept connection is not used for a request that may run
/// only once: the server may be closing it.
const REST_ONCE: Duration = Duration::from_millis(1_000);
/// Rest after which a kept connection is not used at all.
const REST_MOST: Duration = Duration::from_millis(4_000);
/// Connections kept for one server.
const KEPT: usize = 16;

struct Kept {
  socket: Socket,
  since: Instant,
  /// Idle time the server allows.
  rest: Duration,
}

/// Kept connections by server.
#[derive(Default)]
pub struct Pool {
  kept: Mutex<HashMap<String, Vec<Kept>>>,
}

impl Pool {
  /// A connection to a server, and whether it was used before.
  pub fn connect(&self, id: &str, address: SocketAddr, once: bool) -> io::Result<(Socket, bool)> {
    if let Some(socket) = self.kept(id, once) {
      return Ok((socket, true));
    }
    Ok((Socket::connect(address, CONNECT)?, false))
  }

  fn kept(&self, id: &str, once: bool) -> Option<Socket> {
    let mut pool = lock(&self.kept);
    let kept = pool.get_mut(id)?;
    while let Some(mut last) = kept.pop() {
      let most = if once { REST_ONCE } else { REST_MOST };
      if last.since.elapsed() < last.rest.min(most) && last.socket.quiet() {
        return Some(last.socket);
      }
    }
    None
  }

  /// Keeps a connection on which nothing is due.
  pub fn keep(&self, id: &str, socket: Socket, rest: Option<Duration>) {
    let mut pool = lock(&self.kept);
    let kept = pool.entry(id.into()).or_default();
    if kept.len() < KEPT {
      // Leave before the server does: half of what it allows.
      let rest = rest.map_or(REST_MOST, |rest| rest / 2);
      let since = Instant::now();
      kept.push(Kept {
        socket,
        since,
        rest,
      });
    }
  }

  /// Closes what is kept for servers other than `ids`.
  pub fn retain(&self, known: impl Fn(&str) -> bool) {
    lock(&self.kept).retain(|id, _| known(id));
  }
}
