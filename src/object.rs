//! Objects of the platform's API.

use serde::{Deserialize, Serialize};

/// The kinds of object this system reads and writes.
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

  /// The kind's path segment in the object API.
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

  /// The kind with this path segment.
  pub fn parse(word: &str) -> Option<Self> {
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
    .find(|kind| kind.as_str() == word)
  }
}

/// Names one object.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Name {
  pub kind: Kind,
  pub name: String,
}

impl Name {
  /// The name of an object of `kind`.
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
  /// Revision of the platform at which this version was written; 0: absent.
  pub version: u64,
  /// JSON text; `None` for a deleted object.
  pub value: Option<String>,
}
