//! One-way messages to a single instance. All are soft state: losing one costs
//! time, never safety.

use crate::replica::Id;
use serde::{Deserialize, Serialize};

/// A message to one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
  /// To the instance that decides for a model: what the sender has of it.
  Demand {
    model: String,
    policy: String,
    /// Requests waiting at the sender.
    waiting: u32,
    /// Requests running for the sender.
    running: u32,
    /// Requests that arrived since the last notice.
    arrived: u32,
  },
  /// From that instance: how many requests of the receiver a replica may run.
  Share {
    model: String,
    policy: String,
    replica: Id,
    slots: u32,
  },
  /// To the instance that decides for a model: memory is short where the
  /// replica stands, and the sender has use for it.
  Yield { model: String, replica: Id },
}

impl Notice {
  /// The notice's bytes on the wire.
  pub fn encode(&self) -> Vec<u8> {
    postcard::to_stdvec(self).unwrap_or_default()
  }

  /// The notice in these bytes.
  pub fn decode(bytes: &[u8]) -> Option<Self> {
    postcard::from_bytes(bytes).ok()
  }
}
