//! Loads and evictions ahead of demand, without a request that waits for them.

use crate::{
  placement::{
    models::{self, PoolKey},
    need::Need,
    plan::{HEAVY_USAGE, Plan, REQUEST_COST_MS},
    server,
  },
  report::Tier,
};
use std::collections::BTreeMap;

/// Models are not preloaded from the weight store while this many loads from it are in progress:
/// they would slow the loads that requests wait for.
const MAX_REMOTE_PRELOADS: usize = 2;
/// Half-life of a model's usage, ms.
const USAGE_HALF_LIFE_MS: f64 = 15_000.0;
/// Interval at which usage is updated, ms.
const USAGE_INTERVAL_MS: u64 = 200;
/// Servers to keep in each pool and group whose memory is free or can be freed at once.
const MIN_FREEABLE_SERVERS: usize = 1;

impl Plan {
  /// Adds the current use of models to their usage and decays the past use.
  pub(crate) fn update_usage(&mut self) {
    let elapsed = self.now.saturating_sub(self.usage_updated_at);
    if elapsed < USAGE_INTERVAL_MS {
      return;
    }
    self.usage_updated_at = self.now;
    let servers = self.servers.values_mut();
    servers.for_each(|server| server.update_occupancy(elapsed));
    let decay = 0.5f64.powf(elapsed as f64 / USAGE_HALF_LIFE_MS);
    self
      .models
      .entries_mut()
      .for_each(|entry| entry.usage *= decay);
    let mut counts: BTreeMap<models::Key, u32> = BTreeMap::new();
    for server in self.servers.values() {
      for (model, count) in &server.running {
        *counts.entry(self.models[*model].base).or_default() += count;
      }
    }
    for need in &self.needs {
      *counts.entry(self.models[need.model].base).or_default() += need.waiting;
    }
    for (model, count) in counts {
      self.models[model].usage += f64::from(count) * (1.0 - decay);
    }
  }

  /// Loads further replicas of models in heavy use on servers with free memory: for instance on
  /// servers that joined empty while the leaving ones still serve.
  pub(crate) fn preload_models(&mut self) {
    let mut candidates: Vec<(f64, models::Key)> = Vec::new();
    for key in self.models.keys() {
      let entry = &self.models[key];
      if entry.usage < HEAVY_USAGE {
        continue;
      }
      let holders = entry.holders.len() + usize::from(entry.loads > 0);
      if holders == 0 && entry.holders_elsewhere > 0 {
        continue;
      }
      let usage_per_replica = entry.usage / holders.max(1) as f64;
      if usage_per_replica >= HEAVY_USAGE {
        candidates.push((usage_per_replica, key));
      }
    }
    candidates.sort_by(|one, two| two.0.total_cmp(&one.0));
    for (usage, model) in candidates {
      self.preload(model, usage);
    }
  }

  fn preload(&mut self, model: models::Key, usage: f64) {
    if !self.below_max_replicas(model) {
      return;
    }
    let Some((cost, key)) = self.cheapest_server_with_room(model) else {
      return;
    };
    self.start_load(key, Vec::new(), cost, &Need::empty(model));
    self.log_decision("ahead", key, model, format!("usage {usage:.2} per replica"));
  }

  /// Returns the server with free memory for a model on which its load costs least, and that cost.
  fn cheapest_server_with_room(&self, model: models::Key) -> Option<(u64, server::Key)> {
    let entry = &self.models[model];
    let size = entry.size?;
    let memory_mb = self.models.engine(entry.pool)?.memory_mb;
    // A model without a replica loads sooner on a server that has a copy of its checkpoint.
    let copy_exists = !entry.copies.is_empty() || !entry.copy_groups.is_empty();
    let wait_for_copy = entry.holders.is_empty() && copy_exists;
    let remote_allowed =
      !wait_for_copy && self.remote_jobs < MAX_REMOTE_PRELOADS && self.store_allows_load(model);
    let policy = self.policy(model);
    let mut best: Option<(u64, server::Key)> = None;
    for (key, server) in self.servers_in_pool(entry.pool) {
      let loaded = server.models.contains_key(&model);
      if loaded || !server.can_take_order(self.now) {
        continue;
      }
      let free_mb = memory_mb.saturating_sub(server.memory_used(&self.models));
      if free_mb < size.memory_mb || !self.allows(policy, server) {
        continue;
      }
      let tier = server.tier(model);
      if tier == Tier::Remote && !remote_allowed {
        continue;
      }
      let cost = size.load_ms(tier) + REQUEST_COST_MS * u64::from(server.running_total());
      let cost = cost + self.work_cost_ms(server, model);
      if best.as_ref().is_none_or(|(lowest, _)| cost < *lowest) {
        best = Some((cost, key));
      }
    }
    best
  }

  /// Spreads adapters, and evicts a replica that its model can do without in each pool where too
  /// few servers have memory that can be freed at once.
  pub(crate) fn ensure_freeable_servers(&mut self) {
    let pools = self.models.pools();
    let pools: Vec<PoolKey> = pools
      .filter(|pool| self.models.engine(*pool).is_some())
      .collect();
    for pool in pools {
      self.spread_adapters(pool);
      if self.freeable_servers(pool) < MIN_FREEABLE_SERVERS {
        self.evict_spare_replica(pool);
      }
    }
  }

  /// Number of servers of a pool with memory that can be freed at once, up to the number required.
  fn freeable_servers(&self, pool: PoolKey) -> usize {
    let Some(engine) = self.models.engine(pool) else {
      return 0;
    };
    let servers = self.servers_in_pool(pool).filter(|(_, server)| {
      let mut models = server.models.keys();
      !server.leaving.is_empty()
        || server.memory_used(&self.models) < engine.memory_mb / 2
        || models.any(|model| self.eviction_cost(server, *model, 1.0).is_some())
    });
    servers.take(MIN_FREEABLE_SERVERS).count()
  }
}
