//! Replicas: copies of a model, each decided for one backend server.

use serde::{Deserialize, Serialize};

/// Identifies a replica; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id(pub u64);

impl std::fmt::Display for Id {
  fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
    write!(f, "{:016x}", self.0)
  }
}

/// Desired state of a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
  Loaded,
  Gone,
}

/// A replica as decided in a model record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Replica {
  pub id: Id,
  /// Name of the backend server.
  pub server: String,
  pub target: Target,
  /// Policy under which the replica was decided.
  pub policy: String,
}
