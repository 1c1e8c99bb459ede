//! Relates the reducer's clock to Unix time, in which servers state when they started.

/// Maximum difference between the clocks of two machines while nobody sets them, ms.
const MAX_DRIFT_MS: u64 = 250;

/// The Unix time of the reducer's clock, as observed.
#[derive(Clone, Copy, Debug, Default)]
pub struct Clock {
  /// Unix time at which the reducer's clock read 0, ms; `None` before it was observed.
  origin: Option<u64>,
  /// When the machine's clock was last found to have been set, in ms of the reducer's clock.
  set_at: Option<u64>,
}

impl Clock {
  /// Records the Unix time at `now`, both in ms.
  pub fn observe(&mut self, now: u64, unix_ms: u64) {
    let origin = unix_ms.saturating_sub(now);
    let first = *self.origin.get_or_insert(origin);
    if origin.abs_diff(first) > MAX_DRIFT_MS {
      self.set_at = Some(now);
    }
  }

  /// Returns whether `at`, in ms of the reducer's clock, is at or after a Unix time. Unknown counts
  /// as no: the machine's clock may have been set around `at`.
  pub fn is_after(&self, at: u64, unix_ms: u64) -> bool {
    let sound = self.set_at.is_none_or(|set_at| at > set_at);
    sound && self.origin.is_some_and(|origin| origin + at >= unix_ms)
  }
}
