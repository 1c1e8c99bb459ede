//! Logs what orders rest on, so that a wrong order can be traced to the belief behind it.

use crate::{
  command::{Act, Inventory},
  placement::{
    models,
    plan::{Effect, Plan},
    server,
  },
};

impl Plan {
  /// Logs what an order rests on: the room on the server as known here, and the age of its last
  /// inventory.
  pub(super) fn log_order(&mut self, key: server::Key, act: Act, model: models::Key) {
    let what = match act {
      Act::Load => "order load",
      Act::Unload => "order unload",
    };
    let server = &self.servers[key];
    let engine = self.models.engine(server.pool);
    let (memory_mb, slots) =
      engine.map_or((0, 0), |engine| (engine.memory_mb, engine.adapter_slots));
    let why = format!(
      "{} of {memory_mb} MB and {} of {slots} adapter slots in use after {} orders, stated {} ms ago",
      server.memory_used(&self.models),
      server.adapter_count(),
      server.orders,
      self.now.saturating_sub(server.stated_at)
    );
    self.log_decision(what, key, model, why);
  }

  /// Logs what a server states that it holds. An inventory that is not `complete` may lack orders of
  /// an earlier holder.
  pub(super) fn log_inventory(&mut self, key: server::Key, inventory: &Inventory, complete: bool) {
    let models = inventory.models.iter();
    let models: Vec<String> = models
      .map(|(name, adapters)| format!("{name} {adapters:?}"))
      .collect();
    let why = format!(
      "holds [{}] after {} orders, busy: {}, complete: {complete}; known: {} models and {} adapters after {} orders",
      models.join(", "),
      inventory.orders,
      inventory.busy,
      self.servers[key].models.len(),
      self.servers[key].adapter_count(),
      self.servers[key].orders
    );
    let server = self.servers[key].spec.id.clone();
    self.effects.push(Effect::Log {
      what: "inventory",
      server,
      model: String::new(),
      why,
    });
  }
}
