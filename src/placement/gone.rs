//! Servers whose entries have gone without a word, and may come back.

use crate::{
  backend::Stage,
  command::{Inventory, Unheard},
  life::Life,
  placement::{
    models::{self, Models, PoolKey},
    plan::{Effect, Plan},
    server::Server,
  },
};
use std::{collections::BTreeSet, net::SocketAddr};

/// An entry that lapsed comes back within this time, ms: the platform says about two
/// seconds. What its server holds counts for policies' bounds until then: otherwise a model
/// that two servers may hold was loaded on two more.
const BACK_MS: u64 = 2_000;
/// Questions to a server without an entry: the first may go over a connection that ended with
/// the server, and each takes a thread from those to others.
const QUESTIONS_MOST: u32 = 3;

/// A server without an entry.
pub(crate) struct Gone {
  life: Life,
  pool: PoolKey,
  address: SocketAddr,
  /// What it may still hold.
  models: BTreeSet<models::Key>,
  /// It may hold others as well: what it holds was not heard from itself.
  others: bool,
  questions: u32,
  until: u64,
}

impl Gone {
  fn open(server: Server, until: u64) -> Self {
    let coming = server.job.map(|job| job.model);
    Self {
      life: server.spec.life(),
      pool: server.pool,
      address: server.spec.address,
      models: server.models.into_keys().chain(coming).collect(),
      others: server.engine && !server.heard,
      questions: 0,
      until,
    }
  }

  fn may_hold(&self, pool: PoolKey, model: models::Key) -> bool {
    self.models.contains(&model) || self.others && self.pool == pool
  }

  /// Takes up what the server says that it holds.
  fn hear(&mut self, inventory: &Inventory, models: &mut Models) {
    for name in inventory.models.keys() {
      self.models.insert(models.insert(self.pool, name, None));
    }
    // A load that is under way is not named.
    self.others &= inventory.busy;
  }
}

impl Plan {
  /// Takes up that servers have no entry any more. One that did not say that it leaves is
  /// asked: where it has ended, its models are to be loaded elsewhere at once.
  pub(crate) fn leave_out(&mut self, servers: Vec<Server>) {
    if servers.is_empty() {
      return;
    }
    let bounded = self.bounded();
    for server in servers {
      let (stage, id) = (server.spec.stage, server.spec.id.clone());
      let gone = Gone::open(server, self.now + BACK_MS);
      let counts = bounded
        .iter()
        .any(|(pool, model)| gone.may_hold(*pool, *model));
      if stage != Stage::Ready || !counts {
        continue;
      }
      let server = gone.life.server();
      self.gone.insert(server, gone);
      self.ask_gone(server, id);
    }
  }

  /// Models whose replicas a policy bounds.
  fn bounded(&self) -> Vec<(PoolKey, models::Key)> {
    let keys = self.models.keys();
    let keys = keys.filter(|model| self.policy(*model).max_replicas < u32::MAX);
    keys.map(|model| (self.models[model].pool, model)).collect()
  }

  fn ask_gone(&mut self, server: u64, id: String) {
    let Some(gone) = self.gone.get_mut(&server) else {
      return;
    };
    // Questions to servers that are not there take threads from those to others.
    if gone.questions < QUESTIONS_MOST {
      gone.questions += 1;
      let address = gone.address;
      self.out.push(Effect::Query { id, address });
    }
  }

  /// Takes up the answer of a server without an entry.
  pub(crate) fn answered_gone(
    &mut self,
    id: &str,
    life: Life,
    inventory: Result<Inventory, Unheard>,
  ) {
    let server = life.server();
    let Some(gone) = self.gone.get_mut(&server) else {
      return;
    };
    match inventory {
      Ok(inventory) => {
        if life.ends(gone.life) {
          gone.life = life;
          gone.models.clear();
        }
        gone.hear(&inventory, &mut self.models);
      }
      Err(Unheard::Silent) => self.ask_gone(server, id.into()),
      Err(Unheard::Ended) => {
        self.gone.remove(&server);
      }
    }
  }

  /// Forgets servers whose entries did not come back in time.
  pub(crate) fn forget_gone(&mut self) {
    let now = self.now;
    self.gone.retain(|_, gone| now < gone.until);
  }

  /// Servers without an entry that may hold a model.
  pub(crate) fn gone_with(&self, model: models::Key) -> usize {
    let pool = self.models[model].pool;
    let gone = self.gone.values();
    gone.filter(|gone| gone.may_hold(pool, model)).count()
  }
}
