//! Calls to the store that are made again.

use super::{Error, Object, Result};
use crate::clock::Moment;
use std::{ops::Range, thread, time::Duration};

/// Status of a call beyond the store's rate.
pub(super) const TOO_MANY_REQUESTS: u16 = 429;
/// Statuses of calls that may succeed later.
const TRANSIENT_STATUSES: [u16; 2] = [TOO_MANY_REQUESTS, 503];
/// Delay before the first further call, doubled for each one up to the maximum.
const MIN_DELAY: Duration = Duration::from_millis(100);
const MAX_DELAY: Duration = Duration::from_millis(800);
/// Range of the random factor of delays: instances that start together must not call the store at the
/// same time.
const JITTER: Range<f64> = 0.5..1.5;

/// Whether a call may succeed later.
pub(super) fn is_transient(error: &Error) -> bool {
  match error {
    Error::Refused(status) => TRANSIENT_STATUSES.contains(status),
    Error::NoAnswer | Error::Unreached => true,
    _ => false,
  }
}

/// Sleeps for about this time.
pub(super) fn sleep(time: Duration) {
  thread::sleep(time.mul_f64(rand::random_range(JITTER)));
}

/// Sleeps before a call is made again that failed this many times before.
pub(super) fn sleep_after(failures: u32) {
  let factor = 1_u32.checked_shl(failures).unwrap_or(u32::MAX);
  sleep(MIN_DELAY.saturating_mul(factor).min(MAX_DELAY));
}

/// Reads an object, again while the store does not return it for a moment, about until the time is over.
pub(super) fn read(time_limit: Duration, read: impl Fn() -> Result<Object>) -> Result<Object> {
  let started_at = Moment::now();
  let mut failures = 0;
  loop {
    match read() {
      Err(error) if is_transient(&error) && started_at.elapsed() < time_limit => {
        sleep_after(failures);
        failures += 1;
      }
      result => return result,
    }
  }
}
