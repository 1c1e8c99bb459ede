//! How many replicas a model has: as few as answer within their objectives, by what
//! requests see of the servers that hold it.

use crate::{
  backend::Stage,
  demand::{Demand, Model},
  deployment::Engine,
  placement::choose::Cause,
  placement::held::base,
  placement::plan::Plan,
};
use std::collections::BTreeMap;

/// Part of their objective that requests of a model may spend at servers, in the mean,
/// before it gets a further replica: what the slowest of them see is some three times
/// the mean.
const STRAINED: f64 = 0.3;
/// And below which the other replicas can take over the requests of one.
const EASY: f64 = STRAINED / 2.0;

impl Plan {
  /// Loads further replicas of models whose servers are too slow for them, and further
  /// copies of adapters in use.
  pub(crate) fn replicate(&mut self) {
    let seen: Vec<((String, String), f64)> = self
      .strain
      .iter()
      .filter_map(|(key, strain)| Some((key.clone(), strain.mean(self.now)?)))
      .filter(|(key, mean)| *mean >= STRAINED || self.heavy(key))
      .collect();
    for ((pool, model), mean) in seen {
      let Some(engine) = self.engine(&pool) else {
        continue;
      };
      let holders = self.holders(&pool, &model).len();
      let needed = (holders as f64 * (mean / STRAINED).min(2.0)).ceil() as usize;
      let wanted = match mean >= STRAINED {
        true => needed,
        false => 2,
      };
      let coming = self.loads_of(&pool, &model);
      for _ in holders + coming..wanted {
        let demand = Demand::ahead(&pool, base(&model));
        self.load(&engine, &demand, Cause::Strained);
      }
    }
  }

  /// Whether a model gets more than one server's even share of its pool's requests: the
  /// loss of its only server would cost more callers than that of most others, so it has
  /// two replicas. Where its use over the last 15 s decided, a model that had just become
  /// the most used lost its only server unnoticed, and 780 requests were refused in 9 s;
  /// three deployments gained 0.007, 0.010 and 0.011 (18 pairs each, errors 0.005 to 0.006).
  fn heavy(&self, key: &(String, String)) -> bool {
    let rate =
      |key: &(String, String)| self.strain.get(key).map_or(0.0, |seen| seen.rate(self.now));
    let of_pool = self.strain.keys().filter(|(pool, _)| *pool == key.0);
    let all: f64 = of_pool.map(rate).sum();
    let servers = self
      .servers
      .values()
      .filter(|server| server.spec.pool == key.0 && server.spec.stage == Stage::Ready);
    let share = all / servers.count().max(1) as f64;
    share > 0.0 && rate(key) > share
  }

  /// Whether the other replicas of a model can take over the requests of one.
  fn spare(&self, pool: &str, model: &str) -> bool {
    let holders = self.holders(pool, model).len() as u32;
    let key = (pool.to_string(), model.to_string());
    let least = if self.heavy(&key) { 2 } else { 1 };
    if holders <= self.policy(pool, model).min_replicas.max(least) {
      return false;
    }
    let mean = self
      .strain
      .get(&key)
      .and_then(|strain| strain.mean(self.now));
    let more = f64::from(holders) / f64::from(holders - 1);
    mean.unwrap_or_default() * more < EASY
  }

  /// Requests of a pool that run, by model and adapter; those of adapters count for
  /// their model too.
  fn running(&self, pool: &str) -> BTreeMap<Model, u32> {
    let mut running: BTreeMap<Model, u32> = BTreeMap::new();
    let servers = self.servers.values();
    for server in servers.filter(|server| server.spec.pool == pool) {
      for (model, count) in &server.running {
        *running.entry(model.clone()).or_default() += count;
        if model.adapter.is_some() {
          *running.entry(base(&model.name)).or_default() += count;
        }
      }
    }
    running
  }

  /// Loads further copies of adapters in use, and adapters of models in use.
  pub(crate) fn spread_adapters(&mut self, pool: &str, engine: &Engine) {
    for (model, _) in self.running(pool) {
      let holders = self.holders(pool, &model.name).to_vec();
      let demand = Demand::ahead(pool, model.clone());
      match &model.adapter {
        Some(adapter) => self.copy_adapter(engine, &demand, adapter, &holders),
        None => self.fetch_adapter(engine, &demand, &holders),
      }
    }
  }

  /// Lets the replica go that has the fewest requests, of a model that can do without.
  pub(crate) fn leave_one(&mut self, pool: &str) {
    let mut best: Option<(u32, String, String)> = None;
    for (id, server) in &self.servers {
      if server.spec.pool != pool || !server.synced || server.spec.stage != Stage::Ready {
        continue;
      }
      for name in server.models.keys() {
        let here = server.running_of(name);
        let less = best.as_ref().is_none_or(|(least, ..)| here < *least);
        if less && !server.leaving.contains(name) && self.spare(pool, name) {
          best = Some((here, id.clone(), name.clone()));
        }
      }
    }
    let Some((running, id, name)) = best else {
      return;
    };
    if let Some(server) = self.servers.get_mut(&id) {
      server.leaving.insert(name.clone());
      self.unpublished = true;
      self.index();
      let why = format!("{running} requests there, others carry them");
      self.note("leave", &id, &name, why);
    }
  }
}
