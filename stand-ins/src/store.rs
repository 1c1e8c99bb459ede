//! The weight store: a few loads at full speed, a few new ones a second.

use std::{
  sync::{Arc, Condvar, Mutex, PoisonError},
  thread,
  time::{Duration, Instant},
};

#[derive(Debug)]
struct Inner {
  running: u32,
  starts: Vec<Instant>,
  /// Factor on the time of each load.
  slowness: f64,
  loads: u64,
}

/// A weight store shared by engines.
#[derive(Clone, Debug)]
pub struct Store {
  inner: Arc<(Mutex<Inner>, Condvar)>,
  /// Loads that begin in a second.
  rate: u32,
  /// Loads at once at full speed; more share it.
  full: u32,
  /// Time scale: 1 is real time, 0.1 ten times faster.
  scale: f64,
}

impl Store {
  /// A store that begins `rate` loads a second and runs `full` at full speed.
  pub fn open(rate: u32, full: u32, scale: f64) -> Self {
    let inner = Inner {
      running: 0,
      starts: Vec::new(),
      slowness: 1.0,
      loads: 0,
    };
    Self {
      inner: Arc::new((Mutex::new(inner), Condvar::new())),
      rate,
      full,
      scale,
    }
  }

  /// Makes every load slower by a factor.
  pub fn slow(&self, factor: f64) {
    let mut inner = self.inner.0.lock().unwrap_or_else(PoisonError::into_inner);
    inner.slowness = factor;
  }

  /// Loads begun.
  pub fn loads(&self) -> u64 {
    let inner = self.inner.0.lock().unwrap_or_else(PoisonError::into_inner);
    inner.loads
  }

  /// Loads for as long as the store takes for `full_speed` worth of work.
  pub fn load(&self, full_speed: Duration) {
    self.begin();
    let mut left = full_speed.as_secs_f64();
    let step = 0.02 * self.scale.clamp(0.05, 1.0);
    while left > 0.0 {
      thread::sleep(Duration::from_secs_f64(step));
      let inner = self.inner.0.lock().unwrap_or_else(PoisonError::into_inner);
      let sharing = (f64::from(inner.running) / f64::from(self.full)).max(1.0);
      left -= step / sharing / inner.slowness;
    }
    let mut inner = self.inner.0.lock().unwrap_or_else(PoisonError::into_inner);
    inner.running -= 1;
  }

  fn begin(&self) {
    let second = Duration::from_secs_f64(self.scale);
    loop {
      let mut inner = self.inner.0.lock().unwrap_or_else(PoisonError::into_inner);
      let now = Instant::now();
      inner.starts.retain(|start| now - *start < second);
      if inner.starts.len() < self.rate as usize {
        inner.starts.push(now);
        inner.running += 1;
        inner.loads += 1;
        return;
      }
      drop(inner);
      thread::sleep(second / 20);
    }
  }
}
