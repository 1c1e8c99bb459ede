//! Backend servers: what they say of themselves, and what is known from use.

use crate::report::Tier;
use std::{collections::BTreeMap, net::SocketAddr};

slotmap::new_key_type! {
  /// Identifies a backend server within one instance.
  pub struct Key;
}

/// Whether new work may go to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
  Ready,
  /// It leaves: no new work.
  Draining,
}

/// What a backend server states of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
  /// New with every start of the server.
  pub id: String,
  pub pool: String,
  pub address: SocketAddr,
  pub zone: String,
  pub slots: u32,
  pub stage: Stage,
  /// Models held, each with its adapters.
  pub models: BTreeMap<String, Vec<String>>,
  /// Checkpoints with a copy in the server's memory or on its disk.
  pub in_memory: Vec<String>,
  pub on_disk: Vec<String>,
}

impl Spec {
  /// The nearest copy of a model's checkpoint.
  pub fn tier(&self, model: &str) -> Tier {
    let among = |names: &[String]| names.iter().any(|name| name == model);
    match () {
      () if among(&self.in_memory) => Tier::Memory,
      () if among(&self.on_disk) => Tier::Disk,
      () => Tier::Remote,
    }
  }
}

/// The holdings of a server as the planner last knew them; newer than what the
/// server itself has told.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holding {
  pub id: String,
  pub models: BTreeMap<String, Vec<String>>,
  /// Models about to be unloaded: no new work.
  pub leaving: Vec<String>,
  /// Requests that all instances have there.
  pub running: u32,
}

/// A backend server as one instance sees it.
#[derive(Clone, Debug)]
pub struct Backend {
  pub spec: Spec,
  pub holding: Option<Holding>,
  /// When the holding was heard, ms.
  pub heard: u64,
  /// This instance's requests there.
  pub running: u32,
  /// Failures in a row.
  pub failures: u32,
  /// Gets nothing before this time, ms.
  pub avoid_until: u64,
  /// Models it was found not to hold, and until when that is believed, ms.
  pub missing: BTreeMap<String, u64>,
}

/// Time for which the planner's word on a server's holdings counts, ms: it is told
/// again every half second, and a server's own entry takes about two seconds to
/// show a change.
const HOLDING_MS: u64 = 2_500;

impl Backend {
  /// A server not used so far.
  pub fn open(spec: Spec) -> Self {
    Self {
      spec,
      holding: None,
      heard: 0,
      running: 0,
      failures: 0,
      avoid_until: 0,
      missing: BTreeMap::new(),
    }
  }

  fn word(&self, now: u64) -> Option<&Holding> {
    let holding = self.holding.as_ref()?;
    (now < self.heard + HOLDING_MS).then_some(holding)
  }

  /// Whether a request for a model, and an adapter of it, can run there.
  pub fn holds(&self, model: &str, adapter: Option<&str>, now: u64) -> bool {
    let word = self.word(now);
    let models = word.map_or(&self.spec.models, |holding| &holding.models);
    let leaves = word.is_some_and(|holding| holding.leaving.iter().any(|name| name == model));
    let found = models.get(model).is_some_and(|adapters| match adapter {
      Some(adapter) => adapters.iter().any(|name| name == adapter),
      None => true,
    });
    let name = missing_name(model, adapter);
    let missing = self.missing.get(&name).is_some_and(|until| now < *until);
    found && !leaves && !missing
  }

  /// Requests of other instances there, as far as told.
  pub fn others(&self, now: u64) -> u32 {
    let told = self.word(now).map_or(0, |holding| holding.running);
    told.saturating_sub(self.running)
  }

  /// Whether new work may go there.
  pub fn usable(&self, now: u64) -> bool {
    self.spec.stage == Stage::Ready && now >= self.avoid_until
  }
}

/// The name under which a missing model or adapter is remembered.
pub fn missing_name(model: &str, adapter: Option<&str>) -> String {
  match adapter {
    Some(adapter) => format!("{model}/{adapter}"),
    None => model.into(),
  }
}
