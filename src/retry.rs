//! Retry budgets: for each pool, the retries of all instances within a window stay below a share of
//! the pool's requests.

use std::collections::VecDeque;

/// Part of the shared allowance that instances use; the rest is for requests that they assign to
/// different windows.
const USABLE_SHARE: f64 = 0.7;

/// Time after the first start of the system in which the number of instances is published.
const FIRST_UPDATE_MS: u64 = 2_000;

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

/// One instance's share of the slack. Retries of the last window remain in servers' counts when
/// their instance restarts or leaves, so a share neither starts anew nor grows within a window.
#[derive(Clone, Debug, Default)]
pub struct Share {
  /// Whether no earlier process of the instance can have sent retries.
  first: bool,
  /// Numbers of instances, each with the time in ms since when it has been known.
  fleet_sizes: VecDeque<(u64, usize)>,
}

impl Share {
  /// The share of an instance that starts together with the whole system for the first time.
  pub fn first() -> Self {
    Self {
      first: true,
      ..Self::default()
    }
  }

  /// Records the published number of instances.
  pub fn record_fleet_size(&mut self, now: u64, bound: &Bound, instances: usize) {
    self.trim(now, bound);
    let last = self.fleet_sizes.back();
    if last.is_none_or(|(_, last)| *last != instances) {
      self.fleet_sizes.push_back((now, instances));
    }
  }

  /// The part of the bound's slack that this instance may use, `now` ms after its process started.
  pub fn slack(&mut self, now: u64, bound: &Bound) -> f64 {
    self.trim(now, bound);
    let restarted = !self.first && now < bound.window_ms;
    let largest = self
      .fleet_sizes
      .iter()
      .map(|(_, instances)| *instances)
      .max();
    match largest {
      Some(instances) if !restarted => bound.slack / instances.max(1) as f64,
      _ => 0.0,
    }
  }

  /// Whether the share is not known yet, but will be shortly, `now` ms after the process started.
  /// Without the number of instances no part of the slack is safe to use.
  pub fn is_pending(&self, now: u64) -> bool {
    self.first && self.fleet_sizes.is_empty() && now < FIRST_UPDATE_MS
  }

  /// Drops the numbers that were replaced before the last window.
  fn trim(&mut self, now: u64, bound: &Bound) {
    let oldest = now.saturating_sub(bound.window_ms);
    let sizes = &mut self.fleet_sizes;
    while sizes.get(1).is_some_and(|(since, _)| *since <= oldest) {
      sizes.pop_front();
    }
  }
}

/// Minimum time between two reports of a budget.
const REPORT_INTERVAL_MS: u64 = 1_000;

/// One instance's part of a pool's retry budget.
#[derive(Clone, Debug, Default)]
pub struct Budget {
  requests: VecDeque<u64>,
  retries: VecDeque<u64>,
  /// Allowed retries that were neither sent nor cancelled yet.
  pending: usize,
  reported_at: Option<u64>,
}

/// A budget within the last window, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
  pub requests: usize,
  pub retries: usize,
  /// Retries allowed for these requests.
  pub allowed: f64,
  /// The part of the bound's slack that `allowed` includes.
  pub slack: f64,
  /// Whether the latest retry was allowed.
  pub fits: bool,
}

impl Budget {
  /// Records a request for the pool.
  pub fn record_request(&mut self, now: u64, bound: &Bound) {
    self.trim(now, bound);
    self.requests.push_back(now);
  }

  /// Whether a retry is allowed now, with this part of the slack. An allowed retry must be sent or
  /// cancelled.
  pub fn try_retry(&mut self, now: u64, bound: &Bound, slack: f64) -> bool {
    self.trim(now, bound);
    let used = self.retries.len() + self.pending;
    let fits = ((used + 1) as f64) <= self.allowed(bound, slack);
    self.pending += usize::from(fits);
    fits
  }

  /// Records that an allowed retry is sent now: servers count it when it arrives, however long it
  /// has waited.
  pub fn record_sent(&mut self, now: u64) {
    self.pending = self.pending.saturating_sub(1);
    self.retries.push_back(now);
  }

  /// Cancels an allowed retry that is not sent.
  pub fn cancel(&mut self) {
    self.pending = self.pending.saturating_sub(1);
  }

  /// The budget after a retry was requested; `None` if it was returned a short time ago.
  pub fn report(&mut self, now: u64, bound: &Bound, slack: f64, fits: bool) -> Option<Standing> {
    if self
      .reported_at
      .is_some_and(|at| now < at + REPORT_INTERVAL_MS)
    {
      return None;
    }
    self.reported_at = Some(now);
    Some(Standing {
      requests: self.requests.len(),
      retries: self.retries.len() + self.pending,
      allowed: self.allowed(bound, slack),
      slack,
      fits,
    })
  }

  fn allowed(&self, bound: &Bound, slack: f64) -> f64 {
    (bound.ratio * self.requests.len() as f64 + slack) * USABLE_SHARE
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
