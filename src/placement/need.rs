//! Loads of models and adapters that requests wait for.

use super::{
  choose::REMOTE_LOOKS,
  models,
  plan::Plan,
  server,
  urgency::{Wait, gain},
};
use std::{cmp::Reverse, collections::BTreeMap};

/// Demand reported longer ago does not count, ms.
pub(crate) const DEMAND_MS: u64 = 600;

/// Requests of all instances that wait for a model or an adapter.
#[derive(Clone, Debug)]
pub(crate) struct Need {
  pub(crate) model: models::Key,
  pub(crate) waiting: u32,
  /// Most urgent priority among them.
  pub(crate) priority: u8,
  /// How long the oldest waits, ms.
  pub(crate) age_ms: u64,
  /// How much time they have left.
  pub(crate) waits: Vec<Wait>,
}

impl Need {
  /// Nobody waits for the model.
  pub(crate) fn nobody(model: models::Key) -> Self {
    Self {
      model,
      waiting: 0,
      priority: u8::MAX,
      age_ms: 0,
      waits: Vec::new(),
    }
  }

  /// Adds requests that were reported a while ago, ms.
  pub(super) fn add(&mut self, other: &Self, ago: u64) {
    self.waiting += other.waiting;
    self.priority = self.priority.min(other.priority);
    self.age_ms = self.age_ms.max(other.age_ms + ago);
    let waits = other.waits.iter().map(|wait| wait.aged(ago));
    self.waits.extend(waits);
  }
}

impl Plan {
  /// What requests wait for, the most urgent and oldest first.
  fn needs(&self) -> Vec<Need> {
    let mut all: BTreeMap<models::Key, Need> = BTreeMap::new();
    for member in self.members.values() {
      let ago = self.now.saturating_sub(member.heard);
      if ago > DEMAND_MS {
        continue;
      }
      for need in &member.needs {
        let sum = all
          .entry(need.model)
          .or_insert_with(|| Need::nobody(need.model));
        sum.add(need, ago);
      }
    }
    let mut all: Vec<Need> = all.into_values().collect();
    all.sort_by_key(|need| (need.priority, Reverse(need.age_ms)));
    all
  }

  pub(crate) fn serve_demand(&mut self) {
    let needs = self.needs();
    self.served += 1;
    for need in &needs {
      let base = self.models[need.model].base;
      self.models[base].wanted = self.served;
    }
    let mut remote_looks = REMOTE_LOOKS;
    for need in self.without_holder(&needs) {
      if !self.keep(need.model) && self.may_serve(&need) {
        self.load_wanted(&need, &mut remote_looks);
      }
    }
    for need in &needs {
      let entry = &self.models[need.model];
      let base = &self.models[entry.base];
      let adapter = need.model != entry.base;
      if !adapter || base.holders.is_empty() || entry.elsewhere > 0 {
        continue;
      }
      if self.may_serve(need) {
        let holders: Vec<server::Key> = base.holders.clone();
        self.load_adapter(need, &holders);
      }
    }
    self.needs = needs;
  }

  /// Demand for models that no server holds but such as need help, adapters taken together: what
  /// gains most from being loaded now goes first.
  fn without_holder(&self, needs: &[Need]) -> Vec<Need> {
    let mut sums: BTreeMap<models::Key, Need> = BTreeMap::new();
    for need in needs {
      let base = self.models[need.model].base;
      let entry = &self.models[base];
      if self.sound_holders(base) > 0 || entry.elsewhere > 0 {
        continue;
      }
      let sum = sums.entry(base).or_insert_with(|| Need::nobody(base));
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

  /// What requests gain from a load of their model for each second that it takes.
  fn gain_rate(&self, need: &Need) -> f64 {
    let Some(path_ms) = self.path_ms(need.model) else {
      return 0.0;
    };
    gain(&need.waits, path_ms) * 1_000.0 / path_ms as f64
  }
}
