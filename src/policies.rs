//! When the holder of a lease reads the operators' policies, and how long its orders wait for that.

/// Interval between reads of the policies; operators change them a few times a day.
const READ_INTERVAL_MS: u64 = 10_000;
/// Delay after a failed read.
const RETRY_DELAY_MS: u64 = 300;
/// Maximum time for which a new holder whose policies may be outdated sends no orders. The store may
/// not return them at all.
const MAX_WAIT_MS: u64 = 3_000;

/// Reads of the policies by one instance. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reads {
  next_at: u64,
  /// When the last read succeeded; `None` if none has.
  read_at: Option<u64>,
  /// Orders wait for a read until then.
  wait_until: u64,
}

impl Reads {
  /// Handles that the instance has acquired a lease: the policies are read at once. Orders wait for
  /// that if the last read is older than a holder's ever is.
  pub fn lease_acquired(&mut self, now: u64) {
    self.next_at = now;
    let outdated = self.read_at.is_none_or(|at| now >= at + READ_INTERVAL_MS);
    if outdated {
      self.wait_until = now + MAX_WAIT_MS;
    }
  }

  /// When the next read is due.
  pub fn due(&self) -> u64 {
    self.next_at
  }

  /// Whether a read starts now, which is then in progress.
  pub fn start(&mut self, now: u64) -> bool {
    let due = now >= self.next_at;
    if due {
      self.next_at = now + READ_INTERVAL_MS;
    }
    due
  }

  /// Handles a read that failed.
  pub fn failed(&mut self, now: u64) {
    self.next_at = now + RETRY_DELAY_MS;
  }

  /// Handles a read that succeeded.
  pub fn succeeded(&mut self, now: u64) {
    self.read_at = Some(now);
    self.wait_until = 0;
  }

  /// Whether orders need not wait for a read.
  pub fn allow_orders(&self, now: u64) -> bool {
    now >= self.wait_until
  }

  /// Whether the policies were ever read.
  pub fn are_known(&self) -> bool {
    self.read_at.is_some()
  }
}
