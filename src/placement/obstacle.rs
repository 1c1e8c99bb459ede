//! Why a model that callers wait for is not being loaded yet, and for how long each
//! reason held it up.

use crate::{
  deployment::Engine,
  placement::held::Server,
  placement::{plan::Plan, wanted::DEMAND_MS},
  report::Tier,
};
use std::collections::BTreeMap;

/// What keeps a server from loading a model, the one that passes soonest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Obstacle {
  /// It waits for the end of an order, or for its last order to be shown.
  Resting,
  /// What it holds is not known yet.
  Unknown,
  /// It carries out another load or unload.
  OrderPath,
  /// What would give way was used a moment ago.
  JustUsed,
  /// What would give way runs requests.
  InUse,
  /// What would give way is waited for, or may not give way.
  Needed,
  /// The weight store's limit.
  WeightStore,
  /// No server that takes work may hold it.
  NoServer,
}

impl Obstacle {
  /// The word used in logs.
  pub(crate) fn word(self) -> &'static str {
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

/// Time that each obstacle has cost one model, ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delay {
  /// When it was last looked at, ms.
  seen: u64,
  by: BTreeMap<Obstacle, u64>,
}

impl Delay {
  fn add(&mut self, now: u64, obstacle: Obstacle) {
    let since = now.saturating_sub(self.seen);
    let fresh = self.seen > 0 && since <= DEMAND_MS;
    if !fresh {
      self.by.clear();
    }
    self.seen = now;
    *self.by.entry(obstacle).or_default() += if fresh { since } else { 0 };
  }

  /// The obstacles with their times, longest first, for the log.
  pub(crate) fn text(&self) -> String {
    let mut by: Vec<(Obstacle, u64)> = self.by.iter().map(|(key, ms)| (*key, *ms)).collect();
    by.sort_by_key(|(_, ms)| std::cmp::Reverse(*ms));
    let words: Vec<String> = by
      .iter()
      .filter(|(_, ms)| *ms > 0)
      .map(|(obstacle, ms)| format!("{} {ms} ms", obstacle.word()))
      .collect();
    words.join(", ")
  }
}

impl Plan {
  /// Records that a model that is waited for cannot be loaded now.
  pub(crate) fn delayed(&mut self, engine: &Engine, pool: &str, model: &str) {
    let obstacle = self.obstacle(engine, pool, model);
    let key = (pool.to_string(), model.to_string());
    let now = self.now;
    self.delays.entry(key).or_default().add(now, obstacle);
  }

  /// What passes soonest of all that keeps servers from loading a model: on those with
  /// a copy of it, where there are some.
  fn obstacle(&self, engine: &Engine, pool: &str, model: &str) -> Obstacle {
    let policy = self.policy(pool, model);
    let near = self.copied(pool, model);
    let servers = self.servers.values().filter(|server| {
      let copy = server.spec.tier(model) != Tier::Remote;
      server.spec.pool == pool
        && server.spec.stage == crate::backend::Stage::Ready
        && policy.servers.matches(&server.labels())
        && (copy || !near)
    });
    let found = servers.map(|server| self.obstacle_at(engine, server));
    found.min().unwrap_or(Obstacle::NoServer)
  }

  fn obstacle_at(&self, engine: &Engine, server: &Server) -> Obstacle {
    if server.job.is_some() {
      return Obstacle::OrderPath;
    }
    if !server.synced {
      return Obstacle::Unknown;
    }
    if !server.free(self.now) {
      return Obstacle::Resting;
    }
    let names = || server.models.keys();
    if names().any(|name| self.loss(engine, server, name).is_some()) {
      return Obstacle::WeightStore;
    }
    let wanted = |name: &String| {
      let key = (server.spec.pool.clone(), name.clone());
      self.wanted.contains(&key)
    };
    let idle = |name: &&String| !server.busy_with(name) && !wanted(name);
    match () {
      () if names().any(|name| idle(&name)) => Obstacle::JustUsed,
      () if names().any(|name| !wanted(name)) => Obstacle::InUse,
      () => Obstacle::Needed,
    }
  }
}
