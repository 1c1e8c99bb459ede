//! Events that the reducer of an instance processes.

use crate::{
  attempt::End,
  claim,
  fact::MachineState,
  notice::Notice,
  object::{Name, Object},
  order,
  replica::Id,
  request::{Descriptor, Ticket},
  update,
};

/// Identifies the update or read to which an outcome belongs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Tag {
  /// A step of a replica's job; the number distinguishes a late response from a current
  /// one.
  Job { replica: Id, step: u64 },
  /// A read of the model's record.
  Audit { model: String },
  /// A read of the server's record.
  Inspect { server: String },
  /// A group of changes to a claim shard.
  Claims { shard: u32, group: u64 },
  /// A submission, poll or cancellation of a batch by a caller.
  Caller { ticket: Ticket },
  /// A batch that this instance runs.
  Batch { id: String },
}

/// A decoded exchange message of a neighbour.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Delta {
  pub from: String,
  pub boot: u64,
  /// Newest change of the receiver that the sender has merged.
  pub seen: u64,
  /// Newest change of the sender in this delta.
  pub upto: u64,
  /// Encoded facts.
  pub facts: Vec<Vec<u8>>,
  /// Repair hashes; empty if they are not compared in this exchange.
  pub buckets: Vec<u64>,
}

/// Identifies a call of another instance that waits for a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Call(pub u64);

/// An entry of the platform's list of instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listing {
  pub id: String,
  /// Peer address for an entry instance.
  pub peer: Option<String>,
  pub state: MachineState,
}

/// An input of the reducer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
  /// Time has passed.
  Tick,
  /// A caller's request arrived.
  RequestArrived(Descriptor),
  /// The caller of a waiting request disconnected.
  CallerLeft { ticket: Ticket },
  /// An attempt ended.
  AttemptEnded {
    ticket: Ticket,
    number: u32,
    end: End,
    /// Status and body of a service's response, stored with its claim.
    answer: Option<(u16, Option<String>)>,
  },
  /// A caller submits, polls or cancels a batch.
  BatchRequested {
    ticket: Ticket,
    id: String,
    change: Option<crate::batch::Change>,
  },
  /// An item of a batch that this instance runs has an outcome.
  ItemEnded {
    id: String,
    index: usize,
    item: crate::batch::Item,
  },
  /// An update or read of the platform ended.
  Updated {
    tag: Tag,
    name: Name,
    outcome: update::Outcome,
  },
  /// An order to an engine ended.
  OrderEnded {
    replica: Id,
    step: u64,
    outcome: order::Outcome,
  },
  /// A status poll of an engine ended, with or without a response.
  Reported(order::Status),
  /// Configuration objects were read from the platform.
  ConfigurationRead(Vec<Object>),
  /// Unfinished batches were listed.
  BatchesListed(Vec<(String, u64)>),
  /// The platform's list of instances was read.
  InstancesListed {
    revision: u64,
    entries: Vec<Listing>,
  },
  /// A neighbour sent a delta and waits for one in return.
  Exchange { call: Call, delta: Delta },
  /// An exchange with a neighbour ended; `delta` is `None` without a response.
  Exchanged { peer: String, delta: Option<Delta> },
  /// Another instance sent notices.
  Notified { from: String, items: Vec<Notice> },
  /// Another instance requests changes of claims in a shard and waits for the outcomes.
  ClaimsRequested {
    call: Call,
    shard: u32,
    changes: Vec<claim::Change>,
  },
  /// A claim request to the shard's owner ended; `outcomes` is `None` without a response.
  ClaimAnswered {
    shard: u32,
    group: u64,
    outcomes: Option<Vec<claim::Outcome>>,
  },
  /// A planned stop was requested.
  Stop,
}
