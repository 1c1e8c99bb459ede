//! Loads models and adapters that requests wait for.

use super::{
  choose::MAX_REMOTE_SEARCHES,
  models,
  plan::Plan,
  server,
  urgency::{Wait, gain},
};
use std::{cmp::Reverse, collections::BTreeMap};

/// Demand that was reported longer ago does not count, ms.
pub(crate) const DEMAND_TIMEOUT_MS: u64 = 600;

/// Requests that have waited for longer than this may be waiting for servers that nobody reaches, if
/// these have run none for the other time, ms. Instances learn of a load within that time.
const MIN_AGE_MS: u64 = 250;
const UNUSED_MS: u64 = 2_000;

/// Requests of all instances that wait for a model or an adapter.
#[derive(Clone, Debug)]
pub(crate) struct Need {
  pub(crate) model: models::Key,
  pub(crate) waiting: u32,
  /// Most urgent priority among them.
  pub(crate) priority: u8,
  /// How long the oldest request has waited, ms.
  pub(crate) age_ms: u64,
  /// Time that the requests have left.
  pub(crate) waits: Vec<Wait>,
}

impl Need {
  /// A need without waiting requests.
  pub(crate) fn empty(model: models::Key) -> Self {
    Self {
      model,
      waiting: 0,
      priority: u8::MAX,
      age_ms: 0,
      waits: Vec::new(),
    }
  }

  /// Adds requests that were reported `age` ms ago.
  pub(super) fn add(&mut self, other: &Self, age: u64) {
    self.waiting += other.waiting;
    self.priority = self.priority.min(other.priority);
    self.age_ms = self.age_ms.max(other.age_ms + age);
    let waits = other.waits.iter().map(|wait| wait.aged(age));
    self.waits.extend(waits);
  }
}

impl Plan {
  /// Models and adapters that requests wait for, the most urgent and oldest first.
  fn needs(&self) -> Vec<Need> {
    let mut all: BTreeMap<models::Key, Need> = BTreeMap::new();
    for member in self.members.values() {
      let age = self.now.saturating_sub(member.reported_at);
      if age > DEMAND_TIMEOUT_MS {
        continue;
      }
      for need in &member.needs {
        let sum = all
          .entry(need.model)
          .or_insert_with(|| Need::empty(need.model));
        sum.add(need, age);
      }
    }
    let mut all: Vec<Need> = all.into_values().collect();
    all.sort_by_key(|need| (need.priority, Reverse(need.age_ms)));
    all
  }

  pub(crate) fn handle_needs(&mut self) {
    let needs = self.needs();
    self.demand_step += 1;
    for need in &needs {
      let base = self.models[need.model].base;
      self.models[base].last_demand_step = self.demand_step;
    }
    let mut remote_searches = MAX_REMOTE_SEARCHES;
    for need in &needs {
      self.check_unused_holders(need);
    }
    for need in self.needs_without_holder(&needs) {
      if !self.cancel_eviction(need.model) && self.is_own_turn(&need) {
        self.load_needed(&need, &mut remote_searches);
      }
    }
    for need in &needs {
      let entry = &self.models[need.model];
      let base = &self.models[entry.base];
      let is_adapter = need.model != entry.base;
      if !is_adapter || base.holders.is_empty() || entry.holders_elsewhere > 0 {
        continue;
      }
      if self.is_own_turn(need) {
        let holders: Vec<server::Key> = base.holders.clone();
        self.load_adapter(need, &holders);
      }
    }
    self.needs = needs;
  }

  /// Has the servers of a model queried if requests wait for it while none of them has run one for some
  /// time: they may be out of reach although their entries stay.
  fn check_unused_holders(&mut self, need: &Need) {
    if need.age_ms < MIN_AGE_MS {
      return;
    }
    let now = self.now;
    let base = self.models[need.model].base;
    let holders: Vec<server::Key> = self.holders(base).to_vec();
    let is_used = |key: &server::Key| {
      let server = &self.servers[*key];
      server.busy_with(base, &self.models) || now < server.last_used(base) + UNUSED_MS
    };
    if holders.iter().any(is_used) {
      return;
    }
    for key in holders {
      if self.servers[key].can_take_order(now) {
        self.change(key, |server, _| server.recheck(now));
      }
    }
  }

  /// Needs of models that no server holds, or only limited servers, including the needs of their
  /// adapters; those that gain most from a load come first.
  fn needs_without_holder(&self, needs: &[Need]) -> Vec<Need> {
    let mut sums: BTreeMap<models::Key, Need> = BTreeMap::new();
    for need in needs {
      let base = self.models[need.model].base;
      let entry = &self.models[base];
      if self.holders_with_capacity(base) > 0 || entry.holders_elsewhere > 0 {
        continue;
      }
      let sum = sums.entry(base).or_insert_with(|| Need::empty(base));
      sum.add(need, 0);
    }
    let sums = sums.into_values();
    let mut sums: Vec<(f64, Need)> = sums.map(|need| (self.gain_rate(&need), need)).collect();
    sums.sort_by(|(one, first), (two, second)| {
      let later = second.age_ms.cmp(&first.age_ms);
      two.total_cmp(one).then(later)
    });
    sums.into_iter().map(|(_, need)| need).collect()
  }

  /// Gain of requests for each second that the load of their model takes.
  fn gain_rate(&self, need: &Need) -> f64 {
    let Some(time_to_ready_ms) = self.time_to_ready_ms(need.model) else {
      return 0.0;
    };
    gain(&need.waits, time_to_ready_ms) * 1_000.0 / time_to_ready_ms as f64
  }
}
