//! Limits loads from the weight store, by how many started recently and by how many the store
//! serves at once at full speed, which is estimated from load times. Deployments state only the
//! first limit.

use std::collections::VecDeque;

/// Concurrent loads before any has ended: a few, since waiting costs callers whole load times if
/// the store serves more.
const INITIAL_CONCURRENCY: f64 = 4.0;
/// A load that takes more than this multiple of its stated time was slowed by others; reports show
/// its end about 100 ms late.
const SLOWDOWN_THRESHOLD: f64 = 1.25;

/// The weight store, as seen by one lease holder.
#[derive(Debug)]
pub struct Remote {
  /// When recent loads started, ms.
  starts: VecDeque<u64>,
  window_ms: u64,
  /// Share of the loads allowed by the deployment that this holder may start.
  share: f64,
  concurrency: f64,
}

impl Remote {
  /// Creates the state before any load, with the window in which load starts are limited, ms, and
  /// this holder's share.
  pub fn new(window_ms: u64, share: f64) -> Self {
    Self {
      starts: VecDeque::new(),
      window_ms,
      share,
      concurrency: INITIAL_CONCURRENCY,
    }
  }

  /// Whether another load may start while `in_progress` loads are in progress.
  pub fn allows(&self, now: u64, in_progress: usize, loads_per_s: f64) -> bool {
    let window_start = now.saturating_sub(self.window_ms);
    let recent = self
      .starts
      .iter()
      .rev()
      .take_while(|at| **at >= window_start);
    let window_s = self.window_ms as f64 / 1_000.0;
    // The part of the share above 1 is left for loads that other machines started before.
    let allowed = loads_per_s * window_s * self.share.min(1.0);
    let within_rate = loads_per_s == 0.0 || recent.count() as f64 + 1.0 <= allowed;
    within_rate && in_progress < self.concurrency as usize
  }

  /// Records the start of a load.
  pub fn record_start(&mut self, now: u64) {
    let window_start = now.saturating_sub(self.window_ms);
    while self.starts.front().is_some_and(|at| *at < window_start) {
      self.starts.pop_front();
    }
    self.starts.push_back(now);
  }

  /// Updates the concurrency from a load that has taken `took_ms` so far, is stated to take
  /// `stated_ms` and ran beside `in_progress` loads; `ended` if it is done.
  pub fn observe(&mut self, took_ms: u64, stated_ms: u64, in_progress: usize, ended: bool) {
    let (took, stated) = (took_ms as f64, stated_ms.max(1) as f64);
    let in_progress = in_progress.max(1) as f64;
    if took > stated * SLOWDOWN_THRESHOLD {
      // Load times grow in proportion to concurrency: this many loads would not have been slowed.
      self.concurrency = self.concurrency.min(in_progress * stated / took).max(1.0);
    } else if ended && in_progress >= self.concurrency.floor() {
      self.concurrency += 1.0;
    }
  }
}
