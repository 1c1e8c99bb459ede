//! A caller's request, as the reducer sees it.

use serde::{Deserialize, Serialize};

/// Identifies a request within one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// How urgent a request is; interactive requests go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
  Interactive,
  Batch,
}

/// What is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
  /// A completion by a model or adapter; may be repeated and resumed.
  Model { model: String },
  /// A call to a plain service.
  Service {
    service: String,
    /// Whether it may run more than once.
    repeatable: bool,
    /// Hash of the idempotency key, for a call that may not be repeated.
    key: Option<u64>,
  },
}

/// A request waiting for its dispatch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Descriptor {
  pub ticket: Ticket,
  pub work: Work,
  pub class: Class,
  /// Time by which the first byte must be on its way, ms.
  pub deadline: u64,
  /// Hash of the caller's identity.
  pub caller: u64,
}
