//! The budget of retries: for each pool, repeats within a window stay below a
//! share of its requests, summed over all instances.

use std::collections::VecDeque;

/// Part of the shared allowance that instances use; the rest is for requests
/// whose window they see differently.
const USED: f64 = 0.7;

/// The bound that all instances keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
  /// Repeats for each request.
  pub ratio: f64,
  /// Repeats allowed besides, in one window.
  pub slack: f64,
  /// Length of the window, ms.
  pub window_ms: u64,
}

/// One instance's part of a pool's budget.
#[derive(Clone, Debug, Default)]
pub struct Budget {
  requests: VecDeque<u64>,
  repeats: VecDeque<u64>,
}

impl Budget {
  /// A request for the pool arrived.
  pub fn record_request(&mut self, now: u64, bound: &Bound) {
    self.trim(now, bound);
    self.requests.push_back(now);
  }

  /// Whether a repeat is allowed now; one that is counts.
  pub fn try_retry(&mut self, now: u64, bound: &Bound, instances: usize) -> bool {
    self.trim(now, bound);
    let own = bound.ratio * self.requests.len() as f64;
    let shared = bound.slack / instances.max(1) as f64;
    let allowed = (own + shared) * USED;
    let fits = ((self.repeats.len() + 1) as f64) <= allowed;
    if fits {
      self.repeats.push_back(now);
    }
    fits
  }

  fn trim(&mut self, now: u64, bound: &Bound) {
    let oldest = now.saturating_sub(bound.window_ms);
    for times in [&mut self.requests, &mut self.repeats] {
      while times.front().is_some_and(|at| *at < oldest) {
        times.pop_front();
      }
    }
  }
}
