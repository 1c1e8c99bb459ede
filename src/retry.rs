//! Retry budgets: for each pool, the retries of all instances within a window stay below a share of
//! the pool's requests.

use std::collections::VecDeque;

/// Part of the shared allowance that instances use; the rest is for requests that they assign to
/// different windows.
const USABLE_SHARE: f64 = 0.7;

/// The bound on retries that all instances together keep.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
  /// Retries allowed per request.
  pub ratio: f64,
  /// Additional retries allowed in one window.
  pub slack: f64,
  /// Length of the window.
  pub window_ms: u64,
}

/// One instance's part of a pool's retry budget.
#[derive(Clone, Debug, Default)]
pub struct Budget {
  requests: VecDeque<u64>,
  retries: VecDeque<u64>,
}

impl Budget {
  /// Records a request for the pool.
  pub fn record_request(&mut self, now: u64, bound: &Bound) {
    self.trim(now, bound);
    self.requests.push_back(now);
  }

  /// Whether a retry is allowed now. An allowed retry is counted.
  pub fn try_retry(&mut self, now: u64, bound: &Bound, instances: usize) -> bool {
    self.trim(now, bound);
    let own = bound.ratio * self.requests.len() as f64;
    let shared = bound.slack / instances.max(1) as f64;
    let allowed = (own + shared) * USABLE_SHARE;
    let fits = ((self.retries.len() + 1) as f64) <= allowed;
    if fits {
      self.retries.push_back(now);
    }
    fits
  }

  fn trim(&mut self, now: u64, bound: &Bound) {
    let oldest = now.saturating_sub(bound.window_ms);
    for times in [&mut self.requests, &mut self.retries] {
      while times.front().is_some_and(|at| *at < oldest) {
        times.pop_front();
      }
    }
  }
}
