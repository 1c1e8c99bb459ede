//! What is loaded, copied and let go without a request that waits for it.

use crate::{
  placement::{
    models::{self, PoolKey},
    need::Need,
    plan::{HEAVY_USE, LOAD_COST, Plan},
    server,
  },
  report::Tier,
};
use std::collections::BTreeMap;

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
    self
      .models
      .entries_mut()
      .for_each(|entry| entry.used *= rest);
    let mut seen: BTreeMap<models::Key, u32> = BTreeMap::new();
    for server in self.servers.values() {
      for (model, count) in &server.running {
        *seen.entry(self.models[*model].base).or_default() += count;
      }
    }
    for need in &self.needs {
      *seen.entry(self.models[need.model].base).or_default() += need.waiting;
    }
    for (model, count) in seen {
      self.models[model].used += f64::from(count) * (1.0 - rest);
    }
  }

  /// Loads further replicas of models in heavy use where there is room without anything
  /// giving way: on servers that came empty, while those that leave still serve.
  pub(crate) fn fill_room(&mut self) {
    let mut wanted: Vec<(f64, models::Key)> = Vec::new();
    for key in self.models.keys() {
      let entry = &self.models[key];
      if entry.used < HEAVY_USE {
        continue;
      }
      let holders = entry.holders.len() + usize::from(entry.loads > 0);
      if holders == 0 && entry.elsewhere > 0 {
        continue;
      }
      let each = entry.used / holders.max(1) as f64;
      if each >= HEAVY_USE {
        wanted.push((each, key));
      }
    }
    wanted.sort_by(|one, two| two.0.total_cmp(&one.0));
    for (used, model) in wanted {
      self.load_ahead(model, used);
    }
  }

  fn load_ahead(&mut self, model: models::Key, used: f64) {
    if !self.below_most(model) {
      return;
    }
    let Some((cost, key)) = self.empty_server(model) else {
      return;
    };
    self.start(key, Vec::new(), cost, &Need::nobody(model));
    self.note("ahead", key, model, format!("use {used:.2}"));
  }

  /// The server that has room for a model, where its load costs least.
  fn empty_server(&self, model: models::Key) -> Option<(u64, server::Key)> {
    let entry = &self.models[model];
    let size = entry.size?;
    let memory_mb = self.models.engine(entry.pool)?.memory_mb;
    // A model that nobody holds comes sooner from the server that has its copy.
    let near = !entry.copies.is_empty() || !entry.copies_elsewhere.is_empty();
    let wait = entry.holders.is_empty() && near;
    let remote = !wait && self.remote_jobs < AHEAD_AT_ONCE && self.may_load(model);
    let policy = self.policy(model);
    let mut best: Option<(u64, server::Key)> = None;
    for (key, server) in self.of_pool(entry.pool) {
      let here = server.models.contains_key(&model);
      if here || !server.free(self.now) {
        continue;
      }
      let room = memory_mb.saturating_sub(server.memory(&self.models));
      if room < size.memory_mb || !self.allows(policy, server) {
        continue;
      }
      let tier = server.tier(model);
      if tier == Tier::Remote && !remote {
        continue;
      }
      let cost = size.load_ms(tier) + LOAD_COST * u64::from(server.load());
      if best.as_ref().is_none_or(|(least, _)| cost < *least) {
        best = Some((cost, key));
      }
    }
    best
  }

  /// Lets a replica go that its model can do without, where too few servers have
  /// a place that can be freed at once.
  pub(crate) fn free_places(&mut self) {
    let pools = self.models.pools();
    let pools: Vec<PoolKey> = pools
      .filter(|pool| self.models.engine(*pool).is_some())
      .collect();
    for pool in pools {
      self.spread_adapters(pool);
      if self.freeable(pool) < FREEABLE {
        self.leave_one(pool);
      }
    }
  }

  /// Servers of a pool with a place that can be freed at once, as many as are needed.
  fn freeable(&self, pool: PoolKey) -> usize {
    let Some(engine) = self.models.engine(pool) else {
      return 0;
    };
    let of_pool = self.of_pool(pool).filter(|(_, server)| {
      let mut models = server.models.keys();
      !server.leaving.is_empty()
        || server.memory(&self.models) < engine.memory_mb / 2
        || models.any(|model| self.loss(server, *model, 1.0).is_some())
    });
    of_pool.take(FREEABLE).count()
  }
}
