//! Places adapters on servers that hold their models.

use crate::{
  command::Act,
  placement::{
    models,
    need::Need,
    plan::Plan,
    server::{self, Server},
  },
};

/// A server gets a copy of an adapter if it runs at least this many requests fewer than any server
/// that has it.
const COPY_MIN_DIFFERENCE: u32 = 2;

impl Plan {
  /// Whether a server has a slot and memory for another adapter of a model.
  fn has_adapter_room(&self, server: &Server, model: models::Key) -> bool {
    let base = &self.models[self.models[model].base];
    let (Some(engine), Some(size)) = (self.models.engine(base.pool), base.size) else {
      return false;
    };
    server.adapter_count() < engine.adapter_slots as usize
      && server.memory_used(&self.models) + size.adapter_mb <= engine.memory_mb
  }

  /// Whether a server has an adapter or is loading it.
  fn has_or_is_loading(&self, server: &Server, adapter: models::Key) -> bool {
    let mut orders = server.adapter_orders.iter();
    server.holds(adapter, &self.models)
      || orders.any(|(other, act)| *other == adapter && *act == Act::Load)
  }

  /// Loads an adapter that requests wait for on one of the holders of its model.
  pub(crate) fn load_adapter(&mut self, need: &Need, holders: &[server::Key]) {
    let adapter = need.model;
    let mut servers = holders.iter().map(|key| &self.servers[*key]);
    if servers.any(|server| self.has_or_is_loading(server, adapter)) {
      return;
    }
    let available = holders
      .iter()
      .filter(|key| self.servers[**key].can_take_order(self.now));
    let best = available.min_by_key(|key| {
      let server = &self.servers[**key];
      (server.adapter_count(), server.running_total())
    });
    let Some(key) = best.copied() else {
      return;
    };
    if !self.has_adapter_room(&self.servers[key], adapter) {
      // A later step loads the adapter, once its room is known to be free.
      return self.unload_idle_adapter(key);
    }
    let why = format!(
      "{} requests waiting for up to {} ms",
      need.waiting, need.age_ms
    );
    self.order_adapter(key, adapter, Act::Load);
    self.log_decision("load adapter", key, adapter, why);
  }

  /// Unloads the least recently used idle adapter of a server. A server that is ordered to unload
  /// an adapter that is still on its way does nothing, and the adapter takes its slot later. So if
  /// only such adapters are idle, the server is queried first.
  fn unload_idle_adapter(&mut self, key: server::Key) {
    let server = &self.servers[key];
    let adapters = server.models.values().flatten();
    let idle = adapters.filter(|adapter| !server.running.contains_key(adapter));
    let (arriving, arrived): (Vec<models::Key>, Vec<models::Key>) =
      idle.partition(|adapter| server.arriving.contains(adapter));
    let last_used = |adapter: &models::Key| server.used_at.get(adapter).copied();
    let oldest = arrived.into_iter().min_by_key(last_used);
    match oldest {
      Some(adapter) => self.order_adapter(key, adapter, Act::Unload),
      None if !arriving.is_empty() => self.recheck(key),
      None => {}
    }
  }

  /// Queries a server, unless it was queried a moment ago.
  fn recheck(&mut self, key: server::Key) {
    let now = self.now;
    self.change(key, |server, _| server.recheck(now));
  }

  fn order_adapter(&mut self, key: server::Key, adapter: models::Key, act: Act) {
    let server = &self.servers[key];
    // A server carries out one order at a time.
    if !server.adapter_orders.is_empty() || server.job.is_some() {
      return;
    }
    self.change(key, |server, _| server.adapter_orders.push((adapter, act)));
    self.send_order(key, act, adapter);
  }

  /// Loads an adapter that no server has, ahead of demand, for a model in use.
  pub(crate) fn preload_adapter(&mut self, model: models::Key) {
    let holders = self.holders(model).iter().copied();
    let candidates = holders.filter(|key| {
      let server = &self.servers[*key];
      server.can_take_order(self.now) && self.has_adapter_room(server, model)
    });
    let Some(key) = candidates.min_by_key(|key| self.servers[*key].adapter_count()) else {
      return;
    };
    if let Some(adapter) = self.absent_adapter(model) {
      self.order_adapter(key, adapter, Act::Load);
      self.log_decision("fetch adapter", key, adapter, "model is in use".into());
    }
  }

  /// Returns the first adapter of a model that no server has or has an order for.
  fn absent_adapter(&mut self, model: models::Key) -> Option<models::Key> {
    let entry = &self.models[model];
    let (pool, name) = (entry.pool, entry.model.name.clone());
    let engine = self.models.engine(pool)?.clone();
    for adapter in &engine.models.get(&name)?.adapters {
      let key = self.models.intern(pool, &name, Some(adapter));
      let mut servers = self.holders(model).iter().map(|key| &self.servers[*key]);
      let present = servers.any(|server| {
        let mut orders = server.adapter_orders.iter();
        server.holds(key, &self.models) || orders.any(|(other, _)| *other == key)
      });
      if !present && self.models[key].holders_elsewhere == 0 {
        return Some(key);
      }
    }
    None
  }

  /// Loads a further copy of an adapter on a holder of its model that runs fewer requests.
  pub(crate) fn copy_adapter(&mut self, adapter: models::Key) {
    let holders = self.holders(self.models[adapter].base);
    let servers = holders.iter().map(|key| (*key, &self.servers[*key]));
    let has_adapter = |server: &Server| server.holds(adapter, &self.models);
    let with = servers.clone().filter(|(_, server)| has_adapter(server));
    let lowest_load = with.map(|(_, server)| server.running_total()).min();
    let candidates = servers.filter(|(_, server)| {
      !has_adapter(server)
        && server.can_take_order(self.now)
        && self.has_adapter_room(server, adapter)
    });
    let best = candidates.min_by_key(|(_, server)| server.running_total());
    let (Some(lowest_load), Some((key, server))) = (lowest_load, best) else {
      return;
    };
    if server.running_total() + COPY_MIN_DIFFERENCE <= lowest_load {
      let why = format!("the servers that have it run at least {lowest_load} requests");
      self.order_adapter(key, adapter, Act::Load);
      self.log_decision("copy adapter", key, adapter, why);
    }
  }
}
