//! Connections to backend servers, kept for the next request.

use crate::clock::Moment;
use crate::{backend, hub::lock, socket::Socket};
use slotmap::SecondaryMap;
use std::{io, net::SocketAddr, sync::Mutex, time::Duration};

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
  since: Moment,
  /// Idle time the server allows.
  rest: Duration,
}

/// Kept connections by server; one that has started again has none of its earlier life's.
#[derive(Default)]
pub struct Pool {
  kept: Mutex<SecondaryMap<backend::Key, Vec<Kept>>>,
}

impl Pool {
  /// A connection to a server, and whether it was used before.
  pub fn connect(
    &self,
    key: backend::Key,
    address: SocketAddr,
    once: bool,
  ) -> io::Result<(Socket, bool)> {
    if let Some(socket) = self.kept(key, once) {
      return Ok((socket, true));
    }
    Ok((Socket::connect(address, CONNECT)?, false))
  }

  fn kept(&self, key: backend::Key, once: bool) -> Option<Socket> {
    let mut pool = lock(&self.kept);
    let kept = pool.get_mut(key)?;
    while let Some(mut last) = kept.pop() {
      let most = if once { REST_ONCE } else { REST_MOST };
      if last.since.elapsed() < last.rest.min(most) && last.socket.is_idle() {
        return Some(last.socket);
      }
    }
    None
  }

  /// Keeps a connection on which nothing is due.
  pub fn release(&self, key: backend::Key, socket: Socket, rest: Option<Duration>) {
    let mut pool = lock(&self.kept);
    let Some(kept) = pool.entry(key).map(|entry| entry.or_default()) else {
      return;
    };
    if kept.len() < KEPT {
      // Leave before the server does: half of what it allows.
      let rest = rest.map_or(REST_MOST, |rest| rest / 2);
      let since = Moment::now();
      kept.push(Kept {
        socket,
        since,
        rest,
      });
    }
  }

  /// Closes what is kept for servers that are not known.
  pub fn retain(&self, known: impl Fn(backend::Key) -> bool) {
    lock(&self.kept).retain(|key, _| known(key));
  }
}
