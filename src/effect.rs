//! Everything an instance can do, as data.

use crate::{
  ask::{Class, Ticket},
  attempt::Attempt,
  claim,
  event::{Call, Delta, Tag},
  journal::Entry,
  notice::Notice,
  object::Name,
  order::Order,
  refusal::Refusal,
  update,
};

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
  /// Send a request to a backend server.
  Send(Attempt),
  /// Notify a caller that the request is not served.
  Refuse { ticket: Ticket, refusal: Refusal },
  /// Send a caller the recorded answer of an earlier call.
  Replay {
    ticket: Ticket,
    status: u16,
    body: Option<String>,
  },
  /// Answer a caller's batch call.
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
  /// Change an object; without a change, read it.
  Update {
    tag: Tag,
    name: Name,
    change: Option<update::Change>,
    /// Decisions go before status.
    urgent: bool,
  },
  /// Remove an object that still has this version.
  Remove { name: Name, version: u64 },
  /// Send an order to an engine.
  Order { order: Order, step: u64 },
  /// Ask an engine for its status.
  Poll { server: String, address: String },
  /// Send a delta to a neighbour.
  Exchange {
    peer: String,
    address: String,
    delta: Delta,
  },
  /// Answer a neighbour's delta.
  Answer { call: Call, delta: Delta },
  /// Send notices to one instance.
  Notify { address: String, items: Vec<Notice> },
  /// Ask the shard's owner for claims.
  Claim {
    address: String,
    shard: u32,
    group: u64,
    changes: Vec<claim::Change>,
  },
  /// Answer another instance's claims.
  ClaimAnswer {
    call: Call,
    outcomes: Vec<claim::Outcome>,
  },
  /// Watch the platform's configuration and list, or stop watching.
  Watch(bool),
  /// Make at most this many platform calls a second.
  Rate(u32),
  /// Record a change of state.
  Log(Entry),
  /// Nothing is left to do before the end.
  Stopped,
}
