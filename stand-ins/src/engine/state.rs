//! State of an engine: replicas in memory and records of its runs.

use super::{Faults, Run};
use bendsaddle::{
  replica::Id,
  report::{Cached, Report, Resident, Stage, Tier},
};
use std::{
  collections::{BTreeMap, BTreeSet, HashMap},
  sync::{Condvar, Mutex, MutexGuard, PoisonError},
  time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// A replica in memory and its request counts.
#[derive(Debug)]
pub(super) struct Loaded {
  pub model: String,
  pub memory_mb: u64,
  pub stage: Stage,
  pub running: u32,
  pub waiting: u32,
  /// Number of waiting requests that are urgent.
  pub urgent: u32,
  pub idle_since: Instant,
  pub loaded_at: Option<Instant>,
}

/// Mutable state of an engine.
pub(super) struct State {
  pub boot: u64,
  pub seq: u64,
  pub fence: u64,
  pub leaving: bool,
  pub replicas: BTreeMap<u64, Loaded>,
  pub cached: HashMap<String, Tier>,
  pub violations: Vec<String>,
  pub runs: Vec<Run>,
  pub cancelled: BTreeSet<String>,
  pub faults: Faults,
  pub loads: u64,
  pub orders: Vec<(u64, &'static str)>,
  pub idle: Duration,
  /// Largest number of requests that waited for a slot at the same time.
  pub peak_waiting: u32,
}

/// The state, with a condition variable that is notified when a waiter may proceed.
pub(super) type Shared = (Mutex<State>, Condvar);

pub(super) fn lock(shared: &Shared) -> MutexGuard<'_, State> {
  shared.0.lock().unwrap_or_else(PoisonError::into_inner)
}

fn clock() -> u64 {
  let now = SystemTime::now().duration_since(UNIX_EPOCH);
  now.unwrap_or_default().as_millis() as u64
}

impl State {
  pub(super) fn open(cached: HashMap<String, Tier>) -> Self {
    Self {
      boot: clock(),
      seq: 0,
      fence: 0,
      leaving: false,
      replicas: BTreeMap::new(),
      cached,
      violations: Vec::new(),
      runs: Vec::new(),
      cancelled: BTreeSet::new(),
      faults: Faults::default(),
      loads: 0,
      orders: Vec::new(),
      idle: Duration::ZERO,
      peak_waiting: 0,
    }
  }

  /// Clears the memory and sets a new boot number.
  pub(super) fn restart(&mut self) {
    self.count_idle();
    self.boot = clock().max(self.boot + 1);
    self.seq = 0;
    self.fence = 0;
    self.replicas.clear();
  }

  pub(super) fn used_mb(&self) -> u64 {
    self.replicas.values().map(|loaded| loaded.memory_mb).sum()
  }

  pub(super) fn report(&mut self) -> Report {
    self.seq += 1;
    let residents = self.replicas.iter().map(|(id, loaded)| Resident {
      replica: Id(*id),
      model: loaded.model.clone(),
      stage: loaded.stage,
      running: loaded.running + loaded.waiting,
      idle_ms: match loaded.running + loaded.waiting {
        0 => loaded.idle_since.elapsed().as_millis() as u64,
        _ => 0,
      },
    });
    let cached = self.cached.iter().map(|(model, tier)| Cached {
      model: model.clone(),
      tier: *tier,
    });
    let mut cached: Vec<Cached> = cached.collect();
    cached.sort_by(|a, b| a.model.cmp(&b.model));
    Report {
      boot: self.boot,
      seq: self.seq,
      leaving: self.leaving,
      residents: residents.collect(),
      cached,
    }
  }

  /// Adds the idle time of loaded replicas since the last call to the total.
  pub(super) fn count_idle(&mut self) {
    let now = Instant::now();
    for loaded in self.replicas.values_mut() {
      if loaded.loaded_at.is_some() && loaded.running == 0 {
        self.idle += now - loaded.idle_since.max(loaded.loaded_at.unwrap_or(now));
        loaded.loaded_at = Some(now);
      }
    }
  }
}
