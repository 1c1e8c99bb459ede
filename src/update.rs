//! Conditional updates of the platform's objects, as data.

use crate::{batch, claim, ledger, object::Kind, record};
use serde::{Deserialize, Serialize};

/// A change of one object of the system's own kinds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
  Model(record::Change),
  Server(ledger::Change),
  Claims {
    changes: Vec<claim::Change>,
    now: u64,
  },
  Batch(batch::Change),
}

/// Why a change was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
  Model(record::Rejection),
  Server(ledger::Rejection),
  Batch(batch::Rejection),
}

/// The value of an object of the system's own kinds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum Value {
  Model(record::Record),
  Server(ledger::Ledger),
  Claims(claim::Shard),
  Batch(batch::Batch),
}

/// An object as last read or written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
  pub version: u64,
  pub value: Value,
}

/// Outcome of an update or a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
  /// The stored object contains the change; for a read, the object as read.
  Applied(Stored),
  /// The object rejected the change.
  Rejected(Rejection, Stored),
  /// The platform did not respond in time; the change may have been applied.
  Unavailable,
}

impl Value {
  /// The value of an absent object of `kind`; `None` for a kind that is not updated this
  /// way.
  pub fn absent(kind: Kind) -> Option<Self> {
    match kind {
      Kind::ModelRecord => Some(Self::Model(record::Record::default())),
      Kind::ServerRecord => Some(Self::Server(ledger::Ledger::default())),
      Kind::Claims => Some(Self::Claims(claim::Shard::default())),
      Kind::Batch => Some(Self::Batch(batch::Batch::default())),
      _ => None,
    }
  }

  /// Decodes the JSON value of an object of `kind`.
  pub fn decode(kind: Kind, text: &str) -> Result<Self, serde_json::Error> {
    match kind {
      Kind::ModelRecord => serde_json::from_str(text).map(Self::Model),
      Kind::ServerRecord => serde_json::from_str(text).map(Self::Server),
      Kind::Claims => serde_json::from_str(text).map(Self::Claims),
      _ => serde_json::from_str(text).map(Self::Batch),
    }
  }

  /// Applies a change and returns whether the value changed.
  pub fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
    match (self, change) {
      (Self::Model(record), Change::Model(change)) => {
        record.apply(change).map_err(Rejection::Model)
      }
      (Self::Server(ledger), Change::Server(change)) => {
        ledger.apply(change).map_err(Rejection::Server)
      }
      (Self::Claims(shard), Change::Claims { changes, now }) => Ok(shard.apply(changes, *now)),
      (Self::Batch(batch), Change::Batch(change)) => batch.apply(change).map_err(Rejection::Batch),
      _ => Ok(false),
    }
  }
}
