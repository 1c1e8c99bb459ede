//! What is loaded, copied and let go without a request that waits for it.

use crate::{
  demand::Demand,
  deployment::Engine,
  placement::held::{base, load_ms},
  placement::plan::{HEAVY_USE, LOAD_COST, Plan},
  report::Tier,
};
use std::{collections::BTreeMap, sync::Arc};

/// Loads from the weight store at once that are begun without demand: further
/// ones would slow those that requests wait for.
const AHEAD_AT_ONCE: usize = 2;
/// Time over which a model's use is forgotten by half, ms.
const FADE_MS: f64 = 15_000.0;
/// Use is counted this often, ms.
const FADE_STEP_MS: u64 = 200;
/// Servers with a place that can be freed at once, kept in each pool and group.
const FREEABLE: usize = 1;
impl Plan {
  /// Takes up what is in use now, and forgets what was.
  pub(crate) fn fade(&mut self) {
    let elapsed = self.now.saturating_sub(self.faded);
    if elapsed < FADE_STEP_MS {
      return;
    }
    self.faded = self.now;
    let servers = self.servers.values_mut();
    servers.for_each(|server| server.occupy(elapsed));
    let rest = 0.5f64.powf(elapsed as f64 / FADE_MS);
    self.used.values_mut().for_each(|used| *used *= rest);
    let mut seen: BTreeMap<(String, String), u32> = BTreeMap::new();
    for server in self.servers.values() {
      for (model, count) in &server.running {
        let key = (server.spec.pool.clone(), model.name.clone());
        *seen.entry(key).or_default() += count;
      }
    }
    for demand in self.demand() {
      let key = (demand.pool, demand.model.name);
      *seen.entry(key).or_default() += demand.waiting;
    }
    for (key, count) in seen {
      *self.used.entry(key).or_default() += f64::from(count) * (1.0 - rest);
    }
  }

  /// Loads further replicas of models in heavy use where there is room without anything
  /// giving way: on servers that came empty, while those that leave still serve.
  pub(crate) fn fill_room(&mut self) {
    let mut wanted: Vec<(f64, (String, String))> = Vec::new();
    for (key, used) in &self.used {
      let (pool, model) = key;
      let holders = self.holders(pool, model).len() + usize::from(self.loading(model));
      if holders == 0 && self.elsewhere(pool, &base(model)) {
        continue;
      }
      let each = used / holders.max(1) as f64;
      if each >= HEAVY_USE {
        wanted.push((each, key.clone()));
      }
    }
    wanted.sort_by(|one, two| two.0.total_cmp(&one.0));
    for (used, (pool, model)) in wanted {
      if let Some(engine) = self.engine(&pool) {
        self.load_ahead(&engine, &pool, &model, used);
      }
    }
  }

  pub(crate) fn load_ahead(&mut self, engine: &Engine, pool: &str, model: &str, used: f64) {
    let Some(checkpoint) = engine.models.get(model) else {
      return;
    };
    let policy = self.policy(pool, model);
    if self.replicas(pool, model) >= policy.max_replicas {
      return;
    }
    let remote = self.remote_jobs();
    // A model that nobody holds comes sooner from the server that has its copy.
    let wait = self.holders(pool, model).is_empty() && self.copied(pool, model);
    let mut best: Option<(u64, String)> = None;
    for (id, server) in &self.servers {
      let room = engine.memory_mb.saturating_sub(server.memory(engine));
      let here = server.models.contains_key(model);
      let chosen = server.spec.pool == pool && policy.servers.matches(&server.labels());
      if !chosen || here || !server.free(self.now) || room < checkpoint.memory_mb {
        continue;
      }
      let tier = server.spec.tier(model);
      if tier == Tier::Remote && (wait || remote >= AHEAD_AT_ONCE || !self.may_load(engine)) {
        continue;
      }
      let cost = load_ms(checkpoint, tier) + LOAD_COST * u64::from(server.load());
      if best.as_ref().is_none_or(|(least, _)| cost < *least) {
        best = Some((cost, id.clone()));
      }
    }
    let Some((cost, id)) = best else {
      return;
    };
    let demand = Demand::ahead(pool, base(model));
    self.start(engine, &id, model, Vec::new(), cost, &demand);
    self.note("ahead", &id, model, format!("use {used:.2}"));
  }

  /// Lets a replica go that its model can do without, where too few servers have
  /// a place that can be freed at once.
  pub(crate) fn free_places(&mut self) {
    let pools: Vec<(String, Arc<Engine>)> = self
      .deployment
      .pools
      .iter()
      .filter_map(|(name, pool)| Some((name.clone(), pool.engine.clone()?)))
      .collect();
    for (pool, engine) in pools {
      self.spread_adapters(&pool, &engine);
      let of_pool = || {
        self
          .servers
          .values()
          .filter(|server| server.spec.pool == pool)
      };
      let freeable = of_pool().filter(|server| {
        let mut names = server.models.keys();
        server.memory(&engine) < engine.memory_mb / 2
          || names.any(|name| self.loss(&engine, server, name).is_some())
          || !server.leaving.is_empty()
      });
      if freeable.count() < FREEABLE {
        self.leave_one(&pool);
      }
    }
  }
}
