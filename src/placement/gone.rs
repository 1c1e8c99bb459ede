//! Servers whose entries have gone without a word, and may come back.

use crate::{
  backend::Stage,
  command::Inventory,
  placement::held::Server,
  placement::plan::{Effect, Plan},
};
use std::collections::BTreeSet;

/// An entry that lapsed comes back within this time, ms: the platform says about two
/// seconds. What its server holds counts for policies' bounds until then: otherwise a model
/// that two servers may hold was loaded on two more.
const BACK_MS: u64 = 2_000;

/// A server without an entry.
pub(crate) struct Gone {
  pool: String,
  /// What it may still hold.
  models: BTreeSet<String>,
  until: u64,
}

impl Plan {
  /// Takes up that servers have no entry any more. One that did not say that it leaves is
  /// asked: where it has ended, its models are to be loaded elsewhere at once.
  pub(crate) fn leave_out(&mut self, servers: Vec<(String, Server)>) {
    for (id, server) in servers {
      let (stage, address) = (server.spec.stage, server.spec.address);
      let gone = gone(server, self.now + BACK_MS);
      // Questions to servers that are not there take threads from those to others.
      if stage != Stage::Ready || !gone.models.iter().any(|name| self.bounds(&gone.pool, name)) {
        continue;
      }
      let ask = id.clone();
      self.out.push(Effect::Ask { id: ask, address });
      self.gone.insert(id, gone);
    }
  }

  fn bounds(&self, pool: &str, model: &str) -> bool {
    self.policy(pool, model).max_replicas < u32::MAX
  }

  /// Takes up the answer of a server without an entry.
  pub(crate) fn answered_gone(&mut self, id: &str, inventory: Option<Inventory>) {
    match (inventory, self.gone.get_mut(id)) {
      (Some(inventory), Some(gone)) => gone.models.extend(inventory.models.into_keys()),
      _ => _ = self.gone.remove(id),
    }
  }

  /// Forgets servers whose entries did not come back in time.
  pub(crate) fn forget_gone(&mut self) {
    let now = self.now;
    self.gone.retain(|_, gone| now < gone.until);
  }

  /// Servers without an entry that may hold a model.
  pub(crate) fn gone_with(&self, pool: &str, model: &str) -> usize {
    let gone = self.gone.values();
    let with = gone.filter(|gone| gone.pool == pool && gone.models.contains(model));
    with.count()
  }
}

fn gone(server: Server, until: u64) -> Gone {
  let coming = server.job.map(|job| job.model);
  Gone {
    pool: server.spec.pool,
    models: server.models.into_keys().chain(coming).collect(),
    until,
  }
}
