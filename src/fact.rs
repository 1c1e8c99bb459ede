//! Facts: versioned values that instances publish to each other. The newest version wins.

use crate::{
  object::Name,
  replica::Id,
  replica::Replica,
  report::{Stage, Tier},
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a fact.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Key {
  /// An instance, as announced by itself or suspected by another.
  Member(String),
  /// An entry of the platform's list of instances.
  Listing(String),
  /// Newest configuration object that passed validation.
  Object(Name),
  /// Newest configuration object that failed validation.
  Rejected(Name),
  /// Replicas decided for a model.
  Placement(String),
  /// Replicas on a backend server.
  Residence(String),
  /// Checkpoints cached near a backend server.
  Cache(String),
  /// Load of a backend server; published only if requests are dispatched by load.
  Load(String),
  /// A batch, published for the instance that runs it.
  Batch(String),
}

/// Orders the values of one key; higher wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version(pub u64, pub u64);

/// State of an instance as seen by its neighbours.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Health {
  Alive,
  Suspect,
  Dead,
}

/// An instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
  /// Address for peers, as `ip:port`.
  pub address: String,
  /// Address for operators, as `ip:port`.
  pub operators: String,
  pub zone: String,
  /// Start time of the process in ms.
  pub boot: u64,
  /// Whether the instance is leaving and takes on no further responsibilities.
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

/// Short hash of a model name, as used in `Body::Cache`. A collision only makes an
/// estimate inaccurate.
pub fn short_hash(model: &str) -> u32 {
  xxh3_64(model.as_bytes()) as u32
}

/// A replica on a backend server.
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
  /// JSON text; `None` if the object was deleted.
  Object(Option<String>),
  /// The validation error.
  Rejected(String),
  Placement(Vec<Replica>),
  Residence {
    residents: Vec<Resident>,
    leaving: bool,
  },
  /// Short hash of the model name and tier of each checkpoint that is not remote.
  Cache(Vec<(u32, Tier)>),
  /// Number of running and queued requests, by replica.
  Load(Vec<(Id, u32)>),
  /// Whether every item of the batch has an outcome.
  Batch {
    finished: bool,
  },
}

/// A key with a version and a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
  pub key: Key,
  pub version: Version,
  pub body: Body,
}

impl Fact {
  /// Encodes the fact for the wire.
  pub fn encode(&self) -> Vec<u8> {
    postcard::to_stdvec(self).unwrap_or_default()
  }

  /// Decodes a fact; `None` if the bytes are invalid or the value does not match the key.
  pub fn decode(bytes: &[u8]) -> Option<Self> {
    let fact: Self = postcard::from_bytes(bytes).ok()?;
    fact.body_matches_key().then_some(fact)
  }

  fn body_matches_key(&self) -> bool {
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
