//! Pool of connections to backend servers.

use crate::clock::Moment;
use crate::{backend, hub::lock, socket::Socket};
use slotmap::SecondaryMap;
use std::{sync::Mutex, time::Duration};

/// Maximum idle time of a connection used for a request that may run only once, because the server
/// may be closing it.
const MAX_IDLE_ONCE: Duration = Duration::from_millis(1_000);
/// Maximum idle time of a connection.
const MAX_IDLE: Duration = Duration::from_millis(4_000);
/// Maximum number of idle connections per server.
const MAX_IDLE_CONNECTIONS: usize = 16;

struct Idle {
  socket: Socket,
  idle_since: Moment,
  /// Maximum idle time, derived from what the server allows.
  max_idle: Duration,
}

/// Idle connections by server; a restarted server has none from before its restart.
#[derive(Default)]
pub struct Pool {
  idle: Mutex<SecondaryMap<backend::Key, Vec<Idle>>>,
}

impl Pool {
  /// Takes an idle connection to a server that has not carried the request with this hash of its id:
  /// a second response to it may still arrive there. `once` selects the shorter idle time, for a
  /// request that may run only once.
  pub fn take_idle(&self, key: backend::Key, once: bool, request: u64) -> Option<Socket> {
    let mut pool = lock(&self.idle);
    let idle = pool.get_mut(key)?;
    let limit = if once { MAX_IDLE_ONCE } else { MAX_IDLE };
    let is_other = |idle: &Idle| !idle.socket.carried.contains(request);
    while let Some(position) = idle.iter().rposition(is_other) {
      let mut last = idle.remove(position);
      if last.idle_since.elapsed() < last.max_idle.min(limit) && last.socket.is_idle() {
        return Some(last.socket);
      }
    }
    None
  }

  /// Returns a connection to the pool when no response is pending on it.
  pub fn release(&self, key: backend::Key, socket: Socket, max_idle: Option<Duration>) {
    let mut pool = lock(&self.idle);
    let Some(idle) = pool.entry(key).map(|entry| entry.or_default()) else {
      return;
    };
    if idle.len() < MAX_IDLE_CONNECTIONS && !socket.carried.is_full() {
      // Half of the allowed time, so that this side closes the connection first.
      let max_idle = max_idle.map_or(MAX_IDLE, |max_idle| max_idle / 2);
      let idle_since = Moment::now();
      idle.push(Idle {
        socket,
        idle_since,
        max_idle,
      });
    }
  }

  /// Closes idle connections to unknown servers.
  pub fn retain(&self, known: impl Fn(backend::Key) -> bool) {
    lock(&self.idle).retain(|key, _| known(key));
  }
}
