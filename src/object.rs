//! Objects of the platform's API.

use serde::{Deserialize, Serialize};

/// Kinds of objects that the system reads and writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
  Model,
  Server,
  Service,
  Policy,
  ModelRecord,
  ServerRecord,
  Claims,
  Batch,
  Accepted,
}

impl Kind {
  /// Kinds that operators edit.
  pub const CONFIGURED: [Self; 4] = [Self::Model, Self::Server, Self::Service, Self::Policy];

  /// Path segment of the kind in the object API.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Model => "model",
      Self::Server => "server",
      Self::Service => "service",
      Self::Policy => "policy",
      Self::ModelRecord => "model-record",
      Self::ServerRecord => "server-record",
      Self::Claims => "claims",
      Self::Batch => "batch",
      Self::Accepted => "accepted",
    }
  }

  /// Kind with this path segment; `None` if there is none.
  pub fn parse(segment: &str) -> Option<Self> {
    [
      Self::Model,
      Self::Server,
      Self::Service,
      Self::Policy,
      Self::ModelRecord,
      Self::ServerRecord,
      Self::Claims,
      Self::Batch,
      Self::Accepted,
    ]
    .into_iter()
    .find(|kind| kind.as_str() == segment)
  }
}

/// Identifies an object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name {
  pub kind: Kind,
  pub name: String,
}

impl Name {
  /// Creates the name of an object of `kind`.
  pub fn new(kind: Kind, name: impl Into<String>) -> Self {
    Self {
      kind,
      name: name.into(),
    }
  }
}

impl std::fmt::Display for Name {
  fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
    write!(f, "{}/{}", self.kind.as_str(), self.name)
  }
}

/// One version of an object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Object {
  pub name: Name,
  /// Platform revision at which this version was written; 0 if the object is absent.
  pub version: u64,
  /// JSON text; `None` if the object was deleted.
  pub value: Option<String>,
}
