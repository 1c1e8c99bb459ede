//! Orders to the model engines of backend servers, and their responses.

use crate::{demand::Model, life::Life};
use std::{collections::BTreeMap, net::SocketAddr};

/// Action that an order requests from an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
  Load,
  Unload,
}

impl Act {
  /// Name in logs and metric labels.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Load => "load",
      Self::Unload => "unload",
    }
  }
}

/// An order to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
  /// Id of the target server.
  pub id: String,
  /// Start time of the target server in Unix milliseconds; 0 if the server does not state it.
  pub born: u64,
  pub address: SocketAddr,
  pub act: Act,
  pub model: Model,
  /// Number of orders that the server must have accepted before; otherwise it does nothing.
  pub orders: u64,
  /// The machine that sends the order, and the term of its lease, which increases with every
  /// holder.
  pub holder: String,
  pub term: u64,
}

impl Command {
  /// The life of the target server.
  pub fn life(&self) -> Life {
    Life::of(&self.id, self.born)
  }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
  /// The engine has started to execute it.
  Accepted,
  /// The engine has completed it, now or before.
  Done,
  /// Another order is in progress or was accepted in the meantime; nothing was done.
  Conflict,
  /// The engine declined with this status; nothing was done.
  Declined(u16),
  /// Another server uses the address.
  Replaced,
  NotSent,
  /// No response; the order may have been accepted or may still be.
  Unknown,
}

impl Taken {
  /// Name in metric labels.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Accepted => "accepted",
      Self::Done => "done",
      Self::Conflict => "conflict",
      Self::Declined(_) => "declined",
      Self::Replaced => "replaced",
      Self::NotSent => "not-sent",
      Self::Unknown => "unknown",
    }
  }
}

/// Reason why an engine returned no inventory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unheard {
  /// No server, or a different server, listens at its address.
  Ended,
  /// The engine may be running and may hold any model.
  Silent,
}

/// Models and state that an engine returns for a query.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
  /// Start time of the engine in Unix milliseconds; 0 if the engine does not state it.
  pub born: u64,
  /// Loaded models, each with its adapters. Adapters on their way are included, since they already
  /// occupy slots.
  pub models: BTreeMap<String, Vec<String>>,
  /// Adapters on their way, by model.
  pub incoming: BTreeMap<String, Vec<String>>,
  /// Whether an order is in progress.
  pub busy: bool,
  /// Number of orders accepted so far.
  pub orders: u64,
  pub queued: u32,
  pub running: u32,
}
