//! Orders to engines.

use crate::{replica::Id, report::Report};

/// What an engine is ordered to do.
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
  /// Address of the engine, `ip:port`.
  pub address: String,
  pub replica: Id,
  pub act: Act,
  /// Fencing number from the server record.
  pub fence: u64,
  /// Time after which the order may no longer be sent, ms.
  pub fresh_until: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
  /// The engine has taken it.
  Accepted,
  /// The engine has seen a higher fencing number; it did nothing.
  Stale,
  /// The engine declined; it did nothing.
  Declined,
  /// It was not sent.
  NotSent,
  /// No answer; it may have been taken, or may yet arrive.
  Unknown,
}

/// A status report with the time at which it was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
  pub server: String,
  /// When the question was sent, ms.
  pub requested_at: u64,
  /// `None` when the engine did not answer.
  pub report: Option<Report>,
}
