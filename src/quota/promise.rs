//! Retry-after times of refused requests, by quota at the lease holder.
//!
//! Load pattern: a customer sends several times its quota. If the retry-after of each is when its
//! own units fit, all are invited to the same moment, and most are refused again. So the units of
//! callers that are expected to return count until then. The state is lost with its holder: the next
//! one invites callers to room that others were promised, and they are refused once more.

use std::collections::VecDeque;

/// How long units are kept for a caller after its retry-after: callers return within a few
/// hundred milliseconds of it.
const KEPT_MS: u64 = 300;
/// Maximum number of promises of one quota, 16 bytes each. Beyond this the latest one grows.
const MAX_PROMISES: usize = 256;

/// The promises of one quota.
#[derive(Clone, Debug, Default)]
pub(super) struct Promises {
  /// Time in ms and units; in ascending order.
  entries: VecDeque<(u64, f64)>,
  units: f64,
}

impl Promises {
  /// Units promised to callers that have not returned yet.
  pub(super) fn outstanding(&mut self, now: u64) -> f64 {
    while let Some((at, units)) = self.entries.front().copied() {
      if now < at + KEPT_MS {
        return self.units;
      }
      self.units -= units;
      self.entries.pop_front();
    }
    self.units = 0.0;
    self.units
  }

  /// Records units that were promised for a time in ms. A time before that of an earlier promise
  /// counts as that one.
  pub(super) fn add(&mut self, at: u64, units: f64) {
    self.units += units;
    let is_full = self.entries.len() >= MAX_PROMISES;
    match self.entries.back_mut() {
      Some((last, promised)) if is_full || at <= *last => *promised += units,
      _ => self.entries.push_back((at, units)),
    }
  }
}
