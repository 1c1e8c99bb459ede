//! Loads of models and adapters that requests wait for.

use super::{choose::Cause, held::base, plan::Plan, urgency::gain};
use crate::demand::{Demand, Model};
use std::{cmp::Reverse, collections::BTreeMap};

/// Demand reported longer ago does not count, ms.
pub(crate) const DEMAND_MS: u64 = 600;

impl Plan {
  pub(crate) fn demand(&self) -> Vec<Demand> {
    let mut all: BTreeMap<(String, Model), Demand> = BTreeMap::new();
    for member in self.members.values() {
      let age = self.now.saturating_sub(member.heard);
      if age > DEMAND_MS {
        continue;
      }
      for demand in &member.report.demand {
        let key = (demand.pool.clone(), demand.model.clone());
        let sum = all.entry(key).or_insert_with(|| Demand {
          priority: demand.priority,
          ..Demand::ahead(&demand.pool, demand.model.clone())
        });
        let waits = demand.waits.iter();
        waits.for_each(|wait| sum.add(wait.aged(age)));
        sum.priority = sum.priority.min(demand.priority);
        sum.age_ms = sum.age_ms.max(demand.age_ms + age);
      }
    }
    let mut all: Vec<Demand> = all.into_values().collect();
    all.sort_by_key(|demand| (demand.priority, Reverse(demand.age_ms)));
    all
  }

  pub(crate) fn serve_demand(&mut self) {
    let demand = self.demand();
    let wanted = demand.iter();
    self.wanted = wanted
      .map(|demand| (demand.pool.clone(), demand.model.name.clone()))
      .collect();
    for demand in self.without_holder(&demand) {
      let Some(engine) = self.engine(&demand.pool) else {
        continue;
      };
      if !self.keep(&demand.pool, &demand.model.name) && self.may_serve(&demand) {
        self.load(&engine, &demand, Cause::Waiting);
      }
    }
    for demand in demand {
      let Some(engine) = self.engine(&demand.pool) else {
        continue;
      };
      let holders = self.holders(&demand.pool, &demand.model.name).to_vec();
      if holders.is_empty() || self.elsewhere(&demand.pool, &demand.model) {
        continue;
      }
      if let Some(adapter) = &demand.model.adapter
        && self.may_serve(&demand)
      {
        let adapter = adapter.clone();
        self.load_adapter(&engine, &demand, &adapter, &holders);
      }
    }
  }

  /// Demand for models that no server holds, adapters taken together: what gains most
  /// from being loaded now goes first.
  pub(crate) fn without_holder(&self, demand: &[Demand]) -> Vec<Demand> {
    let mut models: BTreeMap<(&str, &str), Demand> = BTreeMap::new();
    for demand in demand {
      let (pool, name) = (demand.pool.as_str(), demand.model.name.as_str());
      if !self.holders(pool, name).is_empty() || self.elsewhere(pool, &base(name)) {
        continue;
      }
      let sum = models.entry((pool, name)).or_insert_with(|| Demand {
        priority: demand.priority,
        ..Demand::ahead(pool, base(name))
      });
      let waits = demand.waits.iter();
      waits.for_each(|wait| sum.add(*wait));
      sum.age_ms = sum.age_ms.max(demand.age_ms);
    }
    let mut models: Vec<(f64, Demand)> = models
      .into_values()
      .map(|demand| (self.gain_rate(&demand), demand))
      .collect();
    models.sort_by(|(one, first), (two, second)| {
      let later = second.age_ms.cmp(&first.age_ms);
      two.total_cmp(one).then(later)
    });
    models.into_iter().map(|(_, demand)| demand).collect()
  }

  /// What requests gain from a load of their model for each second that it takes.
  fn gain_rate(&self, demand: &Demand) -> f64 {
    let Some(engine) = self.engine(&demand.pool) else {
      return 0.0;
    };
    let Some(path_ms) = self.path_ms(&engine, &demand.pool, &demand.model.name) else {
      return 0.0;
    };
    gain(&demand.waits, path_ms) * 1_000.0 / path_ms as f64
  }
}
