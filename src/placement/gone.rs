//! Servers whose store entries disappeared without notice and may return. Until then what they hold
//! counts towards `max_replicas`: otherwise a model allowed on two servers was loaded on two more.

use crate::{
  backend::Stage,
  command::{Inventory, Unheard},
  expiry::REAPPEAR_MS,
  life::Life,
  placement::{
    models::{self, Models, PoolKey},
    plan::{Effect, Plan},
    server::{Server, Unanswered},
  },
};
use std::{
  collections::{BTreeMap, BTreeSet},
  net::SocketAddr,
};

/// Queries to a server without an entry: the first may use a connection that ended with the server,
/// and each occupies a thread that queries to other servers need.
const MAX_QUERIES: u32 = 3;

/// A server without an entry.
pub(crate) struct Unlisted {
  life: Life,
  pool: PoolKey,
  address: SocketAddr,
  /// Models that it may still hold.
  models: BTreeSet<models::Key>,
  /// Loads that may still be carried out.
  unanswered: BTreeMap<models::Key, Unanswered>,
  /// It may hold other models as well, because it has not stated its models itself.
  may_hold_more: bool,
  /// When it was last queried, ms.
  queried_at: u64,
  queries: u32,
  expires_at: u64,
}

impl Unlisted {
  fn new(server: Server, expires_at: u64) -> Self {
    let loading = server.job.as_ref().map(|job| job.model);
    let ordered = server.unanswered.keys().copied();
    Self {
      life: server.spec.life(),
      pool: server.pool,
      address: server.spec.address,
      models: server
        .models
        .into_keys()
        .chain(loading)
        .chain(ordered)
        .collect(),
      may_hold_more: server.has_engine && !server.answered,
      unanswered: server.unanswered,
      queried_at: 0,
      queries: 0,
      expires_at,
    }
  }

  /// Loads that may still be carried out, if the server is still the one that they were ordered of.
  pub(crate) fn unanswered_of(self, life: Life) -> BTreeMap<models::Key, Unanswered> {
    match life == self.life {
      true => self.unanswered,
      false => BTreeMap::new(),
    }
  }

  fn may_hold(&self, pool: PoolKey, model: models::Key) -> bool {
    self.models.contains(&model) || self.may_hold_more && self.pool == pool
  }

  /// Adds the models that the server states. An inventory that is not `complete` may lack orders of
  /// an earlier holder.
  fn update(&mut self, inventory: &Inventory, complete: bool, models: &mut Models) {
    for name in inventory.models.keys() {
      self.models.insert(models.intern(self.pool, name, None));
    }
    // An inventory does not name a load in progress.
    self.may_hold_more &= inventory.busy || !complete;
  }
}

impl Plan {
  /// Tracks servers whose entries have disappeared. A server that did not announce that it leaves
  /// is queried: if it has ended, its models must be loaded elsewhere at once.
  pub(crate) fn track_unlisted(&mut self, servers: Vec<Server>) {
    if servers.is_empty() {
      return;
    }
    let limited_models = self.models_with_max_replicas();
    for server in servers {
      let (stage, id) = (server.spec.stage, server.spec.id.clone());
      let unlisted = Unlisted::new(server, self.now + REAPPEAR_MS);
      let may_hold_limited_model = limited_models
        .iter()
        .any(|(pool, model)| unlisted.may_hold(*pool, *model));
      if stage != Stage::Ready || !may_hold_limited_model {
        continue;
      }
      let server = unlisted.life.server();
      self.unlisted.insert(server, unlisted);
      self.query_unlisted(server, id);
    }
  }

  /// Whether a policy limits the number of some model's replicas.
  pub(crate) fn limits_replicas(&self) -> bool {
    !self.models_with_max_replicas().is_empty()
  }

  /// Models whose number of replicas a policy limits.
  fn models_with_max_replicas(&self) -> Vec<(PoolKey, models::Key)> {
    let keys = self.models.keys();
    let keys = keys.filter(|model| self.max_replicas(*model) < u32::MAX);
    keys.map(|model| (self.models[model].pool, model)).collect()
  }

  fn query_unlisted(&mut self, server: u64, id: String) {
    let Some(unlisted) = self.unlisted.get_mut(&server) else {
      return;
    };
    // Queries to servers that are gone occupy threads that other queries need.
    if unlisted.queries < MAX_QUERIES {
      unlisted.queries += 1;
      unlisted.queried_at = self.now;
      let address = unlisted.address;
      self.effects.push(Effect::Query { id, address });
    }
  }

  /// Handles the answer of a server without an entry.
  pub(crate) fn receive_unlisted_inventory(
    &mut self,
    id: &str,
    life: Life,
    inventory: Result<Inventory, Unheard>,
  ) {
    let server = life.server();
    let Some(unlisted) = self.unlisted.get_mut(&server) else {
      return;
    };
    match inventory {
      Ok(inventory) => {
        if life.supersedes(unlisted.life) {
          unlisted.life = life;
          unlisted.models.clear();
        }
        let complete = unlisted.queried_at >= self.reports_complete_from;
        unlisted.update(&inventory, complete, &mut self.models);
      }
      Err(Unheard::Silent) => self.query_unlisted(server, id.into()),
      Err(Unheard::Ended) => {
        self.unlisted.remove(&server);
      }
    }
  }

  /// Removes servers whose entries did not return in time.
  pub(crate) fn remove_expired_unlisted(&mut self) {
    let now = self.now;
    self
      .unlisted
      .retain(|_, unlisted| now < unlisted.expires_at);
  }

  /// Number of servers without an entry that may hold a model.
  pub(crate) fn unlisted_holders(&self, model: models::Key) -> usize {
    let pool = self.models[model].pool;
    let unlisted = self.unlisted.values();
    unlisted
      .filter(|unlisted| unlisted.may_hold(pool, model))
      .count()
  }
}
