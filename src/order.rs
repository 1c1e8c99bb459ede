//! Orders to engines to load or unload a replica.

use crate::{replica::Id, report::Report};

/// Operation that an engine is ordered to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
  Load {
    model: String,
    base: Option<String>,
    memory_mb: u64,
  },
  Unload,
}

/// An order for one replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
  pub server: String,
  /// Address of the engine, as `ip:port`.
  pub address: String,
  pub replica: Id,
  pub act: Act,
  /// Fencing token from the server record.
  pub fence: u64,
  /// Time in ms after which the order must not be sent.
  pub fresh_until: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
  /// The engine accepted the order.
  Accepted,
  /// The engine has seen a higher fencing token and did nothing.
  Stale,
  /// The engine declined the order and did nothing.
  Declined,
  /// The order was not sent.
  NotSent,
  /// No response arrived; the order may have been accepted or may still arrive.
  Unknown,
}

/// Result of a status poll.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
  pub server: String,
  /// Time in ms at which the poll was sent.
  pub requested_at: u64,
  /// `None` if the engine did not respond.
  pub report: Option<Report>,
}
