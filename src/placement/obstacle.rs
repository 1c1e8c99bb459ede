//! Why a model that requests wait for is not being loaded yet, and how long each reason delayed it.

use crate::placement::{
  models,
  need::DEMAND_TIMEOUT_MS,
  plan::Plan,
  server::{self, Server},
};
use std::collections::BTreeMap;

/// A reason why a server cannot load a model; reasons that pass sooner come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Obstacle {
  /// It waits for an order to end, or for its last order to show in its reports.
  Resting,
  /// Its inventory is not known yet.
  Unknown,
  /// It carries out another load or unload.
  OrderPath,
  /// The models to evict were used a moment ago.
  JustUsed,
  /// The models to evict run requests.
  InUse,
  /// Requests wait for the models to evict, or they must not be evicted.
  Needed,
  /// The weight store's limit is reached.
  WeightStore,
  /// No ready server may hold it.
  NoServer,
}

impl Obstacle {
  /// The name used in logs.
  pub(crate) fn as_str(self) -> &'static str {
    match self {
      Self::Resting => "resting",
      Self::Unknown => "unknown",
      Self::OrderPath => "order-path",
      Self::JustUsed => "just-used",
      Self::InUse => "in-use",
      Self::Needed => "needed",
      Self::WeightStore => "weight-store",
      Self::NoServer => "no-server",
    }
  }
}

/// Interval at which obstacles are sampled, ms: short enough to distinguish delays of 100 ms.
const SAMPLE_INTERVAL_MS: u64 = 50;

/// Time that each obstacle has delayed the load of a model, ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delay {
  /// When the obstacle was last sampled, ms.
  sampled_at: u64,
  durations: BTreeMap<Obstacle, u64>,
}

impl Delay {
  /// Whether the obstacle is due to be sampled again.
  fn due(&self, now: u64) -> bool {
    now >= self.sampled_at + SAMPLE_INTERVAL_MS
  }

  fn add(&mut self, now: u64, obstacle: Obstacle) {
    let elapsed = now.saturating_sub(self.sampled_at);
    let recent = self.sampled_at > 0 && elapsed <= DEMAND_TIMEOUT_MS;
    if !recent {
      self.durations.clear();
    }
    self.sampled_at = now;
    *self.durations.entry(obstacle).or_default() += if recent { elapsed } else { 0 };
  }

  /// The obstacles and their delays for the log, longest first.
  pub(crate) fn summary(&self) -> String {
    let mut durations: Vec<(Obstacle, u64)> =
      self.durations.iter().map(|(key, ms)| (*key, *ms)).collect();
    durations.sort_by_key(|(_, ms)| std::cmp::Reverse(*ms));
    let parts: Vec<String> = durations
      .iter()
      .filter(|(_, ms)| *ms > 0)
      .map(|(obstacle, ms)| format!("{} {ms} ms", obstacle.as_str()))
      .collect();
    parts.join(", ")
  }
}

impl Plan {
  /// Records that a model that requests wait for cannot be loaded now.
  pub(crate) fn record_delay(&mut self, model: models::Key) {
    if self.models[model].delay.due(self.now) {
      let obstacle = self.obstacle(model);
      self.models[model].delay.add(self.now, obstacle);
    }
  }

  /// The obstacle that passes soonest among the servers with a copy of a model; the weight store's
  /// limit if no server has a copy.
  fn obstacle(&self, model: models::Key) -> Obstacle {
    let entry = &self.models[model];
    if entry.copies.is_empty() {
      return Obstacle::WeightStore;
    }
    let policy = self.policy(model);
    let servers = entry.copies.iter().map(|(key, _)| *key);
    let allowed = |key: &server::Key| self.allows(policy, &self.servers[*key]);
    let obstacles = servers
      .filter(allowed)
      .map(|key| self.obstacle_at(&self.servers[key]));
    obstacles.min().unwrap_or(Obstacle::NoServer)
  }

  fn obstacle_at(&self, server: &Server) -> Obstacle {
    if server.job.is_some() {
      return Obstacle::OrderPath;
    }
    if !server.synced {
      return Obstacle::Unknown;
    }
    if !server.can_take_order(self.now) {
      return Obstacle::Resting;
    }
    let models = || server.models.keys().copied();
    if models().any(|model| self.eviction_cost(server, model, 1.0).is_some()) {
      return Obstacle::WeightStore;
    }
    let idle =
      |model: &models::Key| !server.busy_with(*model, &self.models) && !self.has_demand(*model);
    match () {
      () if models().any(|model| idle(&model)) => Obstacle::JustUsed,
      () if models().any(|model| !self.has_demand(model)) => Obstacle::InUse,
      () => Obstacle::Needed,
    }
  }
}
