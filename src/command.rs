//! Orders to the model engines of backend servers, and what they answer.

use crate::{demand::Model, life::Life};
use std::{collections::BTreeMap, net::SocketAddr};

/// What an engine is ordered to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
  Load,
  Unload,
}

impl Act {
  /// The word used in logs and as a metric label.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Load => "load",
      Self::Unload => "unload",
    }
  }
}

/// One order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
  /// The server that is meant, and where it is.
  pub id: String,
  /// When the server that is meant started, Unix ms; 0: it does not say.
  pub born: u64,
  pub address: SocketAddr,
  pub act: Act,
  pub model: Model,
  /// Orders the server must have taken before, or it does nothing.
  pub orders: u64,
  /// The machine that orders, and its lease's term: rises with every holder.
  pub holder: String,
  pub term: u64,
}

impl Command {
  /// The life of the server that is meant.
  pub fn life(&self) -> Life {
    Life::of(&self.id, self.born)
  }
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Taken {
  /// The engine is at work on it.
  Accepted,
  /// It is done, or was already.
  Done,
  /// Another order is under way, or was taken in between; nothing was done.
  Conflict,
  /// The engine declined with this status; nothing was done.
  Declined(u16),
  /// Another server has the address.
  Replaced,
  NotSent,
  /// No answer: it may have been taken, or may be yet.
  Unknown,
}

impl Taken {
  /// The word used as a metric label.
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

/// Why an engine did not say what it holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unheard {
  /// Nothing listens at its address, or another server does.
  Ended,
  /// It may be there and hold anything.
  Silent,
}

/// What an engine holds, as it says when asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Inventory {
  /// When the engine started, Unix ms; 0: it does not say.
  pub born: u64,
  /// Models held, each with its adapters.
  pub models: BTreeMap<String, Vec<String>>,
  /// An order is under way.
  pub busy: bool,
  /// Orders taken.
  pub orders: u64,
  pub queued: u32,
  pub running: u32,
}
