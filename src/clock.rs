//! The clock for everything that must also expire while the machine is suspended: leases, ages
//! of data, deadlines, windows and idle connections.
//!
//! It counts the time for which the machine was suspended, which `std::time::Instant` does not:
//! an instance that resumes would take an expired lease for its own, and stale data for fresh
//! data.

use rustix::time::{ClockId, clock_gettime};
use std::{
  ops::{Add, Sub},
  sync::atomic::{AtomicU64, Ordering},
  time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The two clocks are read one after the other, and differ by less than this while the machine
/// runs.
const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// Time added to the clock by tests.
static SKIPPED_NS: AtomicU64 = AtomicU64::new(0);

/// A point in time, as the time since the machine was booted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Duration);

impl Moment {
  /// Returns the current time.
  pub fn now() -> Self {
    let time = clock_gettime(ClockId::Boottime);
    let since = Duration::new(time.tv_sec as u64, time.tv_nsec as u32);
    Self(since + Duration::from_nanos(SKIPPED_NS.load(Ordering::Relaxed)))
  }

  /// Returns the time since this moment; zero if it is in the future.
  pub fn elapsed(self) -> Duration {
    Self::now().saturating_duration_since(self)
  }

  /// Returns the time since an earlier moment; zero if `earlier` is later.
  pub fn saturating_duration_since(self, earlier: Self) -> Duration {
    self.0.saturating_sub(earlier.0)
  }

  /// Returns the moment `time` before this one, or `None` if that is before the boot.
  pub fn checked_sub(self, time: Duration) -> Option<Self> {
    self.0.checked_sub(time).map(Self)
  }
}

impl Add<Duration> for Moment {
  type Output = Self;

  fn add(self, time: Duration) -> Self {
    Self(self.0 + time)
  }
}

impl Sub for Moment {
  type Output = Duration;

  fn sub(self, earlier: Self) -> Duration {
    self.saturating_duration_since(earlier)
  }
}

/// Detects that the machine was suspended: the clock of `Instant` does not advance then.
#[derive(Debug)]
pub struct Suspension {
  monotonic: Instant,
  moment: Moment,
}

impl Suspension {
  /// Starts to watch for suspensions.
  pub fn start() -> Self {
    Self {
      monotonic: Instant::now(),
      moment: Moment::now(),
    }
  }

  /// Returns for how long the machine was suspended since the last call, or `None` if it was not.
  pub fn take(&mut self) -> Option<Duration> {
    let previous = std::mem::replace(self, Self::start());
    let awake = self.monotonic - previous.monotonic;
    let suspended = (self.moment - previous.moment).saturating_sub(awake);
    (suspended > MAX_CLOCK_SKEW).then_some(suspended)
  }
}

/// Milliseconds since the Unix epoch by the machine's clock, which may be set at any time.
pub fn unix_ms() -> u64 {
  let since = SystemTime::now().duration_since(UNIX_EPOCH);
  since.map_or(0, |since| since.as_millis() as u64)
}

/// For tests: advances the clock of this process as if the machine had been suspended.
pub fn skip(time: Duration) {
  SKIPPED_NS.fetch_add(time.as_nanos() as u64, Ordering::Relaxed);
}
