//! Pool of connections to backend servers.

use crate::clock::Moment;
use crate::{backend, http::Headers, hub::lock, socket::Socket};
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

/// An idle connection lost sooner than this was not closed for being idle, whatever its server states.
const MIN_IDLE: Duration = Duration::from_millis(250);

/// What is left of the idle connections to a server.
#[derive(Debug)]
pub(crate) struct Kept {
  /// One that is still open.
  pub(crate) socket: Option<Socket>,
  /// Whether the server has closed one too early for it to have been idle for too long.
  pub(crate) lost: bool,
}

/// Time for which a server keeps a connection idle, if stated.
pub(crate) fn idle_timeout(headers: &Headers) -> Option<Duration> {
  let header = headers.get("keep-alive")?;
  let timeout = header
    .split(',')
    .find_map(|item| item.trim().strip_prefix("timeout="))?;
  timeout.parse().ok().map(Duration::from_secs)
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

  /// Drops the idle connections to a server that it has closed, and takes one of the others that was open
  /// before a moment.
  pub(crate) fn take_kept(&self, key: backend::Key, before: Moment) -> Kept {
    let mut pool = lock(&self.idle);
    let mut lost = false;
    let Some(idle) = pool.get_mut(key) else {
      return Kept { socket: None, lost };
    };
    idle.retain_mut(|idle| {
      let is_open = idle.socket.is_idle();
      lost |= !is_open && idle.idle_since.elapsed() < MIN_IDLE;
      is_open
    });
    let usable =
      |idle: &Idle| idle.socket.open_since < before && idle.idle_since.elapsed() < idle.max_idle;
    let position = idle.iter().rposition(usable);
    let socket = position.map(|position| idle.remove(position).socket);
    Kept { socket, lost }
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
