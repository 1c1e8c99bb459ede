//! Why a model that callers wait for is not being loaded yet, and for how long each
//! reason held it up.

use crate::placement::{
  models,
  need::DEMAND_MS,
  plan::Plan,
  server::{self, Server},
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

/// What holds a model up is looked at this often, ms: often enough to tell 100 ms apart.
const LOOK_MS: u64 = 50;

/// Time that each obstacle has cost one model, ms.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delay {
  /// When it was last looked at, ms.
  seen: u64,
  by: BTreeMap<Obstacle, u64>,
}

impl Delay {
  /// Whether what holds the model up is to be looked at again.
  fn due(&self, now: u64) -> bool {
    now >= self.seen + LOOK_MS
  }

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
  pub(crate) fn delayed(&mut self, model: models::Key) {
    if self.models[model].delay.due(self.now) {
      let obstacle = self.obstacle(model);
      self.models[model].delay.add(self.now, obstacle);
    }
  }

  /// What passes soonest of all that keeps servers from loading a model: on those with
  /// a copy of it, where there are some.
  fn obstacle(&self, model: models::Key) -> Obstacle {
    let entry = &self.models[model];
    if entry.copies.is_empty() {
      return Obstacle::WeightStore;
    }
    let policy = self.policy(model);
    let servers = entry.copies.iter().map(|(key, _)| *key);
    let allowed = |key: &server::Key| self.allows(policy, &self.servers[*key]);
    let found = servers
      .filter(allowed)
      .map(|key| self.obstacle_at(&self.servers[key]));
    found.min().unwrap_or(Obstacle::NoServer)
  }

  fn obstacle_at(&self, server: &Server) -> Obstacle {
    if server.job.is_some() {
      return Obstacle::OrderPath;
    }
    if !server.synced {
      return Obstacle::Unknown;
    }
    if !server.free(self.now) {
      return Obstacle::Resting;
    }
    let models = || server.models.keys().copied();
    if models().any(|model| self.loss(server, model, 1.0).is_some()) {
      return Obstacle::WeightStore;
    }
    let idle =
      |model: &models::Key| !server.busy_with(*model, &self.models) && !self.wanted(*model);
    match () {
      () if models().any(|model| idle(&model)) => Obstacle::JustUsed,
      () if models().any(|model| !self.wanted(model)) => Obstacle::InUse,
      () => Obstacle::Needed,
    }
  }
}
