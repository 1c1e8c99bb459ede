//! One-way messages to a single instance. All are soft state: a lost message causes delay
//! but never affects safety.

use crate::replica::Id;
use serde::{Deserialize, Serialize};

/// A message to one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
  /// Sent to the instance that decides for a model: the demand at the sender.
  Demand {
    model: String,
    policy: String,
    /// Number of requests that wait at the sender.
    waiting: u32,
    /// Number of requests of the sender that run on replicas.
    running: u32,
    /// Number of requests that arrived since the last notice.
    arrived: u32,
  },
  /// Sent by that instance: how many requests of the receiver a replica may run.
  Share {
    model: String,
    policy: String,
    replica: Id,
    slots: u32,
  },
  /// Sent to the instance that decides for a model: memory is short on the replica's
  /// server, and the sender needs it.
  Yield { model: String, replica: Id },
}

impl Notice {
  /// Encodes the notice for the wire.
  pub fn encode(&self) -> Vec<u8> {
    postcard::to_stdvec(self).unwrap_or_default()
  }

  /// Decodes a notice; `None` if the bytes are invalid.
  pub fn decode(bytes: &[u8]) -> Option<Self> {
    postcard::from_bytes(bytes).ok()
  }
}
