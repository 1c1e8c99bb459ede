//! Effects that the reducer of an instance requests, as data.

use crate::{
  attempt::Attempt,
  claim,
  event::{Call, Delta, Tag},
  journal::Entry,
  notice::Notice,
  object::Name,
  order::Order,
  refusal::Refusal,
  request::{Class, Ticket},
  update,
};

/// An action to execute.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
  /// Send a request to a backend server.
  Send(Attempt),
  /// Refuse a caller's request.
  Refuse { ticket: Ticket, refusal: Refusal },
  /// Send a caller the recorded response of an earlier call.
  Replay {
    ticket: Ticket,
    status: u16,
    body: Option<String>,
  },
  /// Respond to a caller's batch call.
  BatchAnswer {
    ticket: Ticket,
    outcome: update::Outcome,
  },
  /// Run one item of a batch.
  RunItem {
    id: String,
    index: usize,
    class: Class,
    model: String,
    prompt: String,
    max_tokens: u32,
    deadline: u64,
    caller: u64,
  },
  /// Update an object, or read it if `change` is `None`.
  Update {
    tag: Tag,
    name: Name,
    change: Option<update::Change>,
    /// Whether the call takes precedence; decisions precede status.
    urgent: bool,
  },
  /// Remove an object if it still has this version.
  Remove { name: Name, version: u64 },
  /// Send an order to an engine.
  Order { order: Order, step: u64 },
  /// Poll an engine for its status.
  Poll { server: String, address: String },
  /// Send a delta to a neighbour.
  Exchange {
    peer: String,
    address: String,
    delta: Delta,
  },
  /// Respond to a neighbour's delta.
  Answer { call: Call, delta: Delta },
  /// Send notices to one instance.
  Notify { address: String, items: Vec<Notice> },
  /// Send claim changes to the owner of their shard.
  Claim {
    address: String,
    shard: u32,
    group: u64,
    changes: Vec<claim::Change>,
  },
  /// Respond to another instance's claim changes.
  ClaimAnswer {
    call: Call,
    outcomes: Vec<claim::Outcome>,
  },
  /// Start or stop watching the platform's configuration and instance list.
  Watch(bool),
  /// Limit the platform calls to this many per second.
  LimitPlatformRate(u32),
  /// Add a change of state to the timeline.
  Log(Entry),
  /// A planned stop has no work left, so the process may exit.
  Stopped,
}
