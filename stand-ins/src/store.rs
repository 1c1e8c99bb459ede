//! A weight store that limits the loads at full speed and the loads started per second.

use std::{
  sync::{Arc, Condvar, Mutex, PoisonError},
  thread,
  time::{Duration, Instant},
};

#[derive(Debug)]
struct Inner {
  running: u32,
  starts: Vec<Instant>,
  /// Factor by which each load takes longer.
  slowness: f64,
  loads: u64,
}

/// A weight store shared by engines.
#[derive(Clone, Debug)]
pub struct Store {
  inner: Arc<(Mutex<Inner>, Condvar)>,
  /// Maximum number of loads started per second.
  rate: u32,
  /// Maximum number of concurrent loads at full speed; more loads share that bandwidth.
  full: u32,
  /// Time scale: 1 is real time, 0.1 is ten times faster.
  scale: f64,
}

impl Store {
  /// Creates a store that starts `rate` loads per second and runs `full` of them at full speed.
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

  /// Sets the factor by which each load takes longer.
  pub fn slow(&self, factor: f64) {
    let mut inner = self.inner.0.lock().unwrap_or_else(PoisonError::into_inner);
    inner.slowness = factor;
  }

  /// Number of loads started.
  pub fn loads(&self) -> u64 {
    let inner = self.inner.0.lock().unwrap_or_else(PoisonError::into_inner);
    inner.loads
  }

  /// Blocks for the duration of a load that takes `full_speed` when the store is not shared.
  pub fn load(&self, full_speed: Duration) {
    self.start_load();
    let mut remaining = full_speed.as_secs_f64();
    let step = 0.02 * self.scale.clamp(0.05, 1.0);
    while remaining > 0.0 {
      thread::sleep(Duration::from_secs_f64(step));
      let inner = self.inner.0.lock().unwrap_or_else(PoisonError::into_inner);
      let sharing = (f64::from(inner.running) / f64::from(self.full)).max(1.0);
      remaining -= step / sharing / inner.slowness;
    }
    let mut inner = self.inner.0.lock().unwrap_or_else(PoisonError::into_inner);
    inner.running -= 1;
  }

  fn start_load(&self) {
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
