//! What instances publish to each other: versioned facts, newest wins.

use crate::{
  object::Name,
  replica::Id,
  replica::Replica,
  report::{Stage, Tier},
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Names a fact.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
  /// An instance, as it announces itself or is suspected.
  Member(String),
  /// An entry of the platform's list of instances.
  Listing(String),
  /// Newest configuration object that passed its check.
  Object(Name),
  /// Newest configuration object that did not.
  Rejected(Name),
  /// Decided replicas of a model.
  Placement(String),
  /// Replicas on a backend server.
  Residence(String),
  /// Checkpoints cached near a backend server.
  Cache(String),
  /// Load of a backend server; published only where dispatch goes by it.
  Load(String),
  /// A batch, for whoever runs it.
  Batch(String),
}

/// Orders the values of one key; higher wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u64, pub u64);

/// State of an instance in the eyes of its neighbours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
  Alive,
  Suspect,
  Dead,
}

/// An instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
  /// Peer address, `ip:port`.
  pub address: String,
  /// Operators' address, `ip:port`.
  pub operators: String,
  pub zone: String,
  /// Start time of the process, ms.
  pub boot: u64,
  /// Takes no new duties.
  pub leaving: bool,
  pub health: Health,
}

/// State of a machine in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MachineState {
  Live,
  Leaving,
  Gone,
}

/// The short hash of a model's name in `Body::Cache`. Two names that share one
/// mislead an estimate, nothing more.
pub fn short_hash(model: &str) -> u32 {
  xxh3_64(model.as_bytes()) as u32
}

/// A replica on a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
  pub replica: Id,
  pub stage: Stage,
}

/// The value of a fact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
  Member(Member),
  Listing(MachineState),
  /// JSON text, or `None` for a deleted object.
  Object(Option<String>),
  /// Why it failed its check.
  Rejected(String),
  Placement(Vec<Replica>),
  Residence {
    residents: Vec<Resident>,
    leaving: bool,
  },
  /// Hashes of models with the tier of their checkpoint, where it is not remote.
  Cache(Vec<(u32, Tier)>),
  /// Running and queued requests by replica.
  Load(Vec<(Id, u32)>),
  /// Whether every item of the batch has its outcome.
  Batch {
    finished: bool,
  },
}

/// A key with its version and value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
  pub key: Key,
  pub version: Version,
  pub body: Body,
}

impl Fact {
  /// The fact's bytes on the wire.
  pub fn encode(&self) -> Vec<u8> {
    postcard::to_stdvec(self).unwrap_or_default()
  }

  /// The fact in these bytes, if they hold one whose value fits its key.
  pub fn decode(bytes: &[u8]) -> Option<Self> {
    let fact: Self = postcard::from_bytes(bytes).ok()?;
    fact.fits().then_some(fact)
  }

  fn fits(&self) -> bool {
    matches!(
      (&self.key, &self.body),
      (Key::Member(_), Body::Member(_))
        | (Key::Listing(_), Body::Listing(_))
        | (Key::Object(_), Body::Object(_))
        | (Key::Rejected(_), Body::Rejected(_))
        | (Key::Placement(_), Body::Placement(_))
        | (Key::Residence(_), Body::Residence { .. })
        | (Key::Cache(_), Body::Cache(_))
        | (Key::Load(_), Body::Load(_))
        | (Key::Batch(_), Body::Batch { .. })
    )
  }
}
