//! Requests of callers, as the reducer sees them.

use serde::{Deserialize, Serialize};

/// Identifies a request within one instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Priority of a request; interactive requests are dispatched first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
  Interactive,
  Batch,
}

/// The work of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Work {
  /// A completion by a model or adapter; may be retried and resumed.
  Model { model: String },
  /// A call to a plain service.
  Service {
    service: String,
    /// Whether the call may run more than once.
    repeatable: bool,
    /// Hash of the idempotency key, for a call that may not run more than once.
    key: Option<u64>,
  },
}

/// Describes a request that is to be dispatched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Descriptor {
  pub ticket: Ticket,
  pub work: Work,
  pub class: Class,
  /// Time by which the first byte of the response must be sent, ms.
  pub deadline: u64,
  /// Hash of the caller's identity.
  pub caller: u64,
}
