//! Admission of callers' connections: which new ones are accepted, and which stay open between two
//! requests.
//!
//! A connection that cannot be served in time is closed with its request unread, so that its caller
//! can use another instance at once. A request that has been read would be served late or refused.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

/// At most the limit of connections divided by this may be open without a request.
const IDLE_DIVISOR: usize = 4;
/// A thread starts late if it has waited for more than this part of the shortest objective.
const START_DELAY_DIVISOR: u64 = 4;
/// Shorter delays are not compared with any objective.
const MIN_START_DELAY_MS: u64 = 20;
/// Connections whose threads may wait to start, however late threads start.
const MIN_STARTING: usize = 4;
/// An instance counts as overloaded for this long after it last closed a connection unread, in ms.
const OVERLOAD_MS: u64 = 1_000;
/// Time of an event that has not happened.
const NEVER: u64 = u64::MAX;

/// Why a new connection is closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
  /// The maximum number of connections is open.
  Full,
  /// New connections are accepted too late or their threads start too late, for want of processor
  /// time.
  Late,
  /// The system has no further thread for this process.
  NoThread,
}

impl Cause {
  /// The label of metrics and log lines.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Full => "full",
      Self::Late => "late",
      Self::NoThread => "no-thread",
    }
  }
}

/// The connections of callers to this instance.
///
/// The threads that wait to start are bounded by a window. As the congestion window of TCP does, it
/// grows while they start in time and is halved when one starts late.
#[derive(Debug)]
pub struct Admission {
  max_connections: usize,
  open: AtomicUsize,
  /// Connections whose threads have not started, and how many there may be.
  starting: AtomicUsize,
  window: AtomicUsize,
  /// A late start of a connection that arrived before this moment has halved the window already; in ms
  /// on the hub's clock.
  halved_at: AtomicU64,
  /// When a connection was last closed unread, in ms on the hub's clock.
  closed_at: AtomicU64,
}

impl Admission {
  /// Admits at most `max_connections` at once.
  pub fn new(max_connections: usize) -> Self {
    Self {
      max_connections,
      open: AtomicUsize::new(0),
      starting: AtomicUsize::new(0),
      window: AtomicUsize::new(max_connections),
      halved_at: AtomicU64::new(0),
      closed_at: AtomicU64::new(NEVER),
    }
  }

  /// Number of open connections.
  pub fn open(&self) -> usize {
    self.open.load(Ordering::Relaxed)
  }

  /// Number of connections whose threads may wait to start.
  pub fn window(&self) -> usize {
    self.window.load(Ordering::Relaxed)
  }

  /// Like `admit`, for a connection whose request has waited for `waited_ms` to be accepted.
  /// `objective_ms` returns the shortest objective of all routes.
  pub fn admit_after(
    &self,
    waited_ms: u64,
    objective_ms: impl FnOnce() -> Option<u64>,
  ) -> Result<(), Cause> {
    let starting = self.starting.load(Ordering::Relaxed);
    if starting >= MIN_STARTING && is_late(waited_ms, objective_ms) {
      return Err(Cause::Late);
    }
    self.admit()
  }

  /// Counts a new connection.
  ///
  /// # Errors
  ///
  /// The connection is not counted and has to be closed.
  pub fn admit(&self) -> Result<(), Cause> {
    // Only the thread that accepts connections adds to these counts.
    if self.open() >= self.max_connections {
      return Err(Cause::Full);
    }
    if self.starting.load(Ordering::Relaxed) >= self.window() {
      return Err(Cause::Late);
    }
    self.open.fetch_add(1, Ordering::Relaxed);
    self.starting.fetch_add(1, Ordering::Relaxed);
    Ok(())
  }

  /// Counts the end of an admitted connection.
  pub fn release(&self) {
    self.open.fetch_sub(1, Ordering::Relaxed);
  }

  /// Counts the end of an admitted connection whose thread could not be created.
  pub fn cancel(&self) {
    self.starting.fetch_sub(1, Ordering::Relaxed);
    self.release();
  }

  /// Records that the thread of a connection that arrived at `arrived_at` starts at `now`, both in ms.
  /// `objective_ms` returns the shortest objective of all routes.
  pub fn record_start(
    &self,
    arrived_at: u64,
    now: u64,
    objective_ms: impl FnOnce() -> Option<u64>,
  ) {
    let waiting = self.starting.fetch_sub(1, Ordering::Relaxed);
    let late = is_late(now.saturating_sub(arrived_at), objective_ms);
    let window = self.window();
    if !late {
      if window < self.max_connections {
        self.window.store(window + 1, Ordering::Relaxed);
      }
    } else if arrived_at >= self.halved_at.load(Ordering::Relaxed) {
      self.halved_at.store(now, Ordering::Relaxed);
      let halved = (waiting.min(window) / 2).max(MIN_STARTING);
      self.window.store(halved, Ordering::Relaxed);
    }
  }

  /// Records at `now`, in ms, that a connection is closed unread.
  pub fn record_closed(&self, now: u64) {
    self.closed_at.store(now, Ordering::Relaxed);
  }

  /// Whether a connection may stay open without a request at `now`, in ms, given the number of
  /// requests in progress. While others are closed unread, the callers of this one use other
  /// instances as well.
  pub fn keeps_idle(&self, now: u64, active: usize) -> bool {
    let closed_at = self.closed_at.load(Ordering::Relaxed);
    let overloaded = closed_at != NEVER && now < closed_at + OVERLOAD_MS;
    let idle = self.open().saturating_sub(active);
    !overloaded && idle <= self.max_connections / IDLE_DIVISOR
  }
}

/// Whether a request that waits for `delay_ms` to be read is late for the shortest objective.
fn is_late(delay_ms: u64, objective_ms: impl FnOnce() -> Option<u64>) -> bool {
  let exceeds = |objective: u64| delay_ms > objective / START_DELAY_DIVISOR;
  delay_ms >= MIN_START_DELAY_MS && objective_ms().is_some_and(exceeds)
}

/// The connections closed unread while an instance is overloaded.
///
/// Near a limit, connections are closed and accepted in turn. They are one overload.
#[derive(Debug, Default)]
pub struct Overload {
  closed: u64,
  /// When the first and the last connection were closed, in ms on the hub's clock.
  since: u64,
  closed_at: u64,
}

/// An overload that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
  /// Connections closed unread.
  pub closed: u64,
  /// Time from its start to the next connection that was accepted after it, in ms.
  pub after_ms: u64,
}

impl Overload {
  /// Counts a connection closed at `now`, in ms; returns whether an overload starts with it.
  pub fn record_closed(&mut self, now: u64) -> bool {
    let starts = self.closed == 0;
    if starts {
      self.since = now;
    }
    self.closed += 1;
    self.closed_at = now;
    starts
  }

  /// Records that a connection is accepted at `now`, in ms; returns the overload that it ends.
  pub fn record_accepted(&mut self, now: u64) -> Option<Summary> {
    if self.closed == 0 || now < self.closed_at + OVERLOAD_MS {
      return None;
    }
    let closed = std::mem::take(&mut self.closed);
    let after_ms = now - self.since;
    Some(Summary { closed, after_ms })
  }
}
