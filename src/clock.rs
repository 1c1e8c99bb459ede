//! The clock by which all is measured that must not outlive the world: leases, ages of what is
//! known, deadlines, windows, connections at rest.
//!
//! It counts the time for which the machine was suspended, which `std::time::Instant` leaves
//! out: an instance that wakes would take a lapsed lease for its own, and an old view for a
//! fresh one.

use rustix::time::{ClockId, clock_gettime};
use std::{
  ops::{Add, Sub},
  sync::atomic::{AtomicU64, Ordering},
  time::{Duration, Instant},
};

/// The clocks differ by less than this while a machine runs: they are read one after the other.
const TOGETHER: Duration = Duration::from_millis(500);

/// Time added to the clock by tests, ns.
static SKIPPED: AtomicU64 = AtomicU64::new(0);

/// A moment of this machine's life, by the time since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(Duration);

impl Moment {
  /// The moment that is now.
  pub fn now() -> Self {
    let time = clock_gettime(ClockId::Boottime);
    let since = Duration::new(time.tv_sec as u64, time.tv_nsec as u32);
    Self(since + Duration::from_nanos(SKIPPED.load(Ordering::Relaxed)))
  }

  /// Time since this moment; none for one to come.
  pub fn elapsed(self) -> Duration {
    Self::now().saturating_duration_since(self)
  }

  /// Time since an earlier moment; none since a later one.
  pub fn saturating_duration_since(self, earlier: Self) -> Duration {
    self.0.saturating_sub(earlier.0)
  }

  /// The moment before this one by some time, where the machine ran then.
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

/// Notices that the machine was suspended: the steady clock stood still then.
#[derive(Debug)]
pub struct Suspension {
  steady: Instant,
  moment: Moment,
}

impl Suspension {
  /// Begins to watch.
  pub fn start() -> Self {
    Self {
      steady: Instant::now(),
      moment: Moment::now(),
    }
  }

  /// For how long the machine was suspended since this was last asked.
  pub fn take(&mut self) -> Option<Duration> {
    let before = std::mem::replace(self, Self::start());
    let ran = self.steady - before.steady;
    let away = (self.moment - before.moment).saturating_sub(ran);
    (away > TOGETHER).then_some(away)
  }
}

/// For tests: moves the clock of this process on, as though its machine had been suspended.
pub fn skip(time: Duration) {
  SKIPPED.fetch_add(time.as_nanos() as u64, Ordering::Relaxed);
}
