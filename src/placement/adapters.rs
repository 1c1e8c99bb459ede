//! Adapters of models that servers hold.

use crate::{
  command::Act,
  placement::{
    models,
    need::Need,
    plan::Plan,
    server::{self, Server},
  },
};

/// Requests by which a server must be below the one that has an adapter to get a
/// copy of it.
const COPY_LEAST: u32 = 2;

impl Plan {
  /// Places for adapters that each server of a model's pool has.
  fn slots(&self, model: models::Key) -> usize {
    let engine = self.models.engine(self.models[model].pool);
    engine.map_or(0, |engine| engine.adapter_slots as usize)
  }

  /// Whether a server has an adapter, or is getting it.
  fn has_or_gets(&self, server: &Server, adapter: models::Key) -> bool {
    let mut orders = server.adapters.iter();
    server.has(adapter, &self.models)
      || orders.any(|(other, act)| *other == adapter && *act == Act::Load)
  }

  /// Loads an adapter that requests wait for at a holder of its model.
  pub(crate) fn load_adapter(&mut self, need: &Need, holders: &[server::Key]) {
    let adapter = need.model;
    let mut servers = holders.iter().map(|key| &self.servers[*key]);
    if servers.any(|server| self.has_or_gets(server, adapter)) {
      return;
    }
    let free = holders
      .iter()
      .filter(|key| self.servers[**key].free(self.now));
    let best = free.min_by_key(|key| {
      let server = &self.servers[**key];
      (server.adapter_count(), server.load())
    });
    let Some(key) = best.copied() else {
      return;
    };
    if self.servers[key].adapter_count() >= self.slots(adapter) {
      // The load follows when the place is known to be free.
      return self.drop_adapter(key);
    }
    let why = format!("{} waiting for {} ms", need.waiting, need.age_ms);
    self.order_adapter(key, adapter, Act::Load);
    self.note("load adapter", key, adapter, why);
  }

  /// Unloads the adapter of a server that was not used for longest.
  fn drop_adapter(&mut self, key: server::Key) {
    let server = &self.servers[key];
    let held = server.models.values().flatten();
    let idle = held.filter(|adapter| !server.running.contains_key(adapter));
    let oldest = idle.min_by_key(|adapter| server.used.get(adapter).copied().unwrap_or_default());
    if let Some(adapter) = oldest.copied() {
      self.order_adapter(key, adapter, Act::Unload);
    }
  }

  fn order_adapter(&mut self, key: server::Key, adapter: models::Key, act: Act) {
    let server = &self.servers[key];
    // One order at a time, whatever it is for.
    if !server.adapters.is_empty() || server.job.is_some() {
      return;
    }
    self.change(key, |server, _| server.adapters.push((adapter, act)));
    self.send(key, act, adapter);
  }

  /// Loads an adapter of a model in use ahead of demand: one that no server has.
  pub(crate) fn fetch_adapter(&mut self, model: models::Key) {
    let slots = self.slots(model);
    let holders = self.holders(model).iter().copied();
    let room = holders.filter(|key| {
      let server = &self.servers[*key];
      server.free(self.now) && server.adapter_count() < slots
    });
    let Some(key) = room.min_by_key(|key| self.servers[*key].adapter_count()) else {
      return;
    };
    if let Some(adapter) = self.absent_adapter(model) {
      self.order_adapter(key, adapter, Act::Load);
      self.note("fetch adapter", key, adapter, "model is in use".into());
    }
  }

  /// The first adapter of a model that no server has, or is getting.
  fn absent_adapter(&mut self, model: models::Key) -> Option<models::Key> {
    let entry = &self.models[model];
    let (pool, name) = (entry.pool, entry.model.name.clone());
    let engine = self.models.engine(pool)?.clone();
    for adapter in &engine.models.get(&name)?.adapters {
      let key = self.models.insert(pool, &name, Some(adapter));
      let mut servers = self.holders(model).iter().map(|key| &self.servers[*key]);
      let there = servers.any(|server| {
        let mut orders = server.adapters.iter();
        server.has(key, &self.models) || orders.any(|(other, _)| *other == key)
      });
      if !there && self.models[key].elsewhere == 0 {
        return Some(key);
      }
    }
    None
  }

  /// Loads a further copy of an adapter at a holder with fewer requests.
  pub(crate) fn copy_adapter(&mut self, adapter: models::Key) {
    let slots = self.slots(adapter);
    let holders = self.holders(self.models[adapter].base);
    let servers = holders.iter().map(|key| (*key, &self.servers[*key]));
    let has = |server: &Server| server.has(adapter, &self.models);
    let with = servers.clone().filter(|(_, server)| has(server));
    let least = with.map(|(_, server)| server.load()).min();
    let others = servers.filter(|(_, server)| {
      !has(server) && server.free(self.now) && server.adapter_count() < slots
    });
    let best = others.min_by_key(|(_, server)| server.load());
    let (Some(least), Some((key, server))) = (least, best) else {
      return;
    };
    if server.load() + COPY_LEAST <= least {
      let why = format!("{least} requests where it is");
      self.order_adapter(key, adapter, Act::Load);
      self.note("copy adapter", key, adapter, why);
    }
  }
}
