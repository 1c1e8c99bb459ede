//! State of a backend server as known to one instance.

use crate::{
  fact::short_hash,
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
  /// Stages of the replicas on the engine.
  pub residents: BTreeMap<Id, Stage>,
  /// Tiers of the checkpoints cached near the server, by short hash of the model name.
  pub cached: HashMap<u32, Tier>,
  /// Models of the replicas decided for the server.
  pub decided: BTreeMap<Id, String>,
  /// Number of requests of this instance, by replica.
  pub own_requests: HashMap<Id, u32>,
  /// Last reported number of requests of other instances, by replica.
  pub peer_requests: HashMap<Id, u32>,
  /// Time in ms before which nothing is sent because of a recent failure.
  pub avoid_until: u64,
  /// Time in ms before which no replica is placed here because memory was short.
  pub full_until: u64,
  /// Whether the engine reports that it is leaving.
  pub leaving: bool,
  /// Time in ms of this instance's last status poll.
  pub polled_at: u64,
  /// Time in ms of the next read of the server record.
  pub inspect_at: u64,
  /// Consecutive status polls without a response.
  pub unanswered_polls: u32,
}

impl Server {
  /// Estimated number of requests at a replica: exact for this instance, as last reported
  /// for other instances.
  pub fn load(&self, replica: Id) -> u32 {
    let own = self.own_requests.get(&replica).copied().unwrap_or_default();
    let peers = self
      .peer_requests
      .get(&replica)
      .copied()
      .unwrap_or_default();
    own + peers
  }

  /// Number of requests of this instance at a replica.
  pub fn own_load(&self, replica: Id) -> u32 {
    self.own_requests.get(&replica).copied().unwrap_or_default()
  }

  /// Whether the replica is ready for requests.
  pub fn ready(&self, replica: Id) -> bool {
    self.residents.get(&replica) == Some(&Stage::Ready)
  }

  /// Tier of the model's checkpoint; remote if none is cached.
  pub fn tier(&self, model: &str) -> Tier {
    self
      .cached
      .get(&short_hash(model))
      .copied()
      .unwrap_or(Tier::Remote)
  }
}
