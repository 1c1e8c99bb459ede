//! Which backend servers this instance reaches by its own connections.

use crate::{backend, hub::lock};
use slotmap::SecondaryMap;
use std::{
  sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
  },
  time::Duration,
};

/// Timeout for connecting to a server that was reached lately, or never tried: a lost SYN is
/// retransmitted only after a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for connecting to a server that was not reached lately. A running server accepts within
/// a few milliseconds, and a caller waits.
const RECHECK_TIMEOUT: Duration = Duration::from_millis(50);
/// Interval at which such a server is tried again directly.
const RECHECK_INTERVAL_MS: u64 = 500;
/// Without any response from servers for this long, a failed connection means that this instance is
/// partitioned from all of them.
const PARTITIONED_MS: u64 = 300;

/// A server to which connections fail.
#[derive(Clone, Copy, Debug)]
struct Loss {
  failures: u32,
  recheck_at: u64,
}

/// Times are in milliseconds.
#[derive(Debug, Default)]
pub(crate) struct Paths {
  lost: Mutex<SecondaryMap<backend::Key, Loss>>,
  last_failure: AtomicU64,
  last_response: AtomicU64,
}

impl Paths {
  /// How long to try a direct connection; `None` if only a tunnel is to be tried now.
  pub(crate) fn direct_timeout(&self, key: backend::Key, now: u64) -> Option<Duration> {
    let mut lost = lock(&self.lost);
    let Some(loss) = lost.get_mut(key) else {
      return Some(match self.is_partitioned() {
        true => RECHECK_TIMEOUT,
        false => CONNECT_TIMEOUT,
      });
    };
    if now < loss.recheck_at {
      return None;
    }
    // One request tries while others use tunnels.
    loss.recheck_at = now + RECHECK_INTERVAL_MS;
    Some(RECHECK_TIMEOUT)
  }

  /// Records a failed connection. Returns whether a tunnel to the server is worth trying: one
  /// failure alone is more likely the server's.
  pub(crate) fn record_failure(&self, key: backend::Key, now: u64) -> bool {
    self.last_failure.store(now, Ordering::Relaxed);
    let mut lost = lock(&self.lost);
    let failures = lost.get(key).map_or(0, |loss| loss.failures);
    let loss = Loss {
      failures: failures + 1,
      recheck_at: now + RECHECK_INTERVAL_MS,
    };
    // A server that was removed has no key any more.
    lost.insert(key, loss);
    failures > 0 || self.is_partitioned()
  }

  /// Records a connection that was established. Returns whether earlier ones had failed.
  pub(crate) fn record_connection(&self, key: backend::Key, now: u64) -> bool {
    self.record_response(now);
    lock(&self.lost).remove(key).is_some()
  }

  /// Records a response that a server sent on a direct connection.
  pub(crate) fn record_response(&self, now: u64) {
    self.last_response.store(now, Ordering::Relaxed);
  }

  /// Whether this instance appears to reach no server at all.
  pub(crate) fn is_partitioned(&self) -> bool {
    let failure = self.last_failure.load(Ordering::Relaxed);
    failure > self.last_response.load(Ordering::Relaxed) + PARTITIONED_MS
  }

  /// Whether no server has responded for `ms`, and a connection failed within that time.
  pub(crate) fn is_partitioned_for(&self, now: u64, ms: u64) -> bool {
    let failure = self.last_failure.load(Ordering::Relaxed);
    let response = self.last_response.load(Ordering::Relaxed);
    failure > response && now < failure + ms && now >= response + ms
  }

  /// Drops what is known of other servers.
  pub(crate) fn retain(&self, known: impl Fn(backend::Key) -> bool) {
    lock(&self.lost).retain(|key, _| known(key));
  }
}
