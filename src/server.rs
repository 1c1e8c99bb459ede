//! A backend server, as one instance knows it.

use crate::{
  fact::short,
  replica::Id,
  report::{Stage, Tier},
};
use std::collections::{BTreeMap, HashMap};

slotmap::new_key_type! {
  /// Identifies a backend server within one instance.
  pub struct Key;
}

/// A backend server.
#[derive(Clone, Debug, Default)]
pub struct Server {
  pub name: String,
  /// Replicas on the engine.
  pub residents: BTreeMap<Id, Stage>,
  /// Tiers of checkpoints cached near it, by short hash of the model.
  pub cached: HashMap<u32, Tier>,
  /// Replicas decided for it, with their models.
  pub decided: BTreeMap<Id, String>,
  /// Requests of this instance, by replica.
  pub own_requests: HashMap<Id, u32>,
  /// Requests of others, by replica, as last reported.
  pub peer_requests: HashMap<Id, u32>,
  /// Nothing is sent before this time, ms: a recent failure.
  pub avoid_until: u64,
  /// No replica is placed here before this time, ms: memory was short.
  pub full_until: u64,
  /// The engine says that it is leaving.
  pub leaving: bool,
  /// When this instance last asked for a status, ms.
  pub polled_at: u64,
  /// Time of the next read of the server record, ms.
  pub inspect_at: u64,
  /// Status questions without answer in a row.
  pub unanswered_polls: u32,
}

impl Server {
  /// Estimated requests at a replica: own ones exactly, others as reported.
  pub fn load(&self, replica: Id) -> u32 {
    let mine = self.own_requests.get(&replica).copied().unwrap_or_default();
    let others = self
      .peer_requests
      .get(&replica)
      .copied()
      .unwrap_or_default();
    mine + others
  }

  /// Requests of this instance at a replica.
  pub fn own_load(&self, replica: Id) -> u32 {
    self.own_requests.get(&replica).copied().unwrap_or_default()
  }

  /// Whether the replica takes requests.
  pub fn ready(&self, replica: Id) -> bool {
    self.residents.get(&replica) == Some(&Stage::Ready)
  }

  /// Tier of the model's checkpoint.
  pub fn tier(&self, model: &str) -> Tier {
    self
      .cached
      .get(&short(model))
      .copied()
      .unwrap_or(Tier::Remote)
  }
}
