//! What lies in the store of a lease, what other instances hear of it, and what one of them knows.

use super::{ASK_MS, RENEWALS};
use crate::{
  lease::promise::{COPY_MS, Needed, Rounds},
  store::Revision,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr};

/// Revisions that a copy of the store may lack at the most: copies are some seconds old, and the store
/// takes some hundred changes a second.
const REVISIONS_LOST: u64 = 1_000_000;

/// The lease as it lies in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Record {
  /// The machine; orders that come from it are one holder's.
  pub machine: String,
  /// Where the holder hears of demand.
  pub address: SocketAddr,
  /// Rises with every taking.
  pub term: u64,
  /// Rises with every renewal of a term.
  pub renewal: u64,
  /// The holder has stopped and gives no further orders.
  pub released: bool,
  /// Machines whose promise the holder needs to go on without the store.
  #[serde(default)]
  pub machines: BTreeSet<u32>,
  /// The store's era in which it was written.
  #[serde(default)]
  pub era: u64,
}

/// The holder's heartbeat: its last renewal, for other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
  pub machine: String,
  pub revision: Revision,
  /// Since the renewal was begun, or promises were asked for that all gave, ms.
  pub age_ms: u64,
  pub term: u64,
}

/// What is known of the lease in the store.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Seen {
  /// None: there is no lease.
  pub(super) record: Option<Record>,
  pub(super) revision: Revision,
  /// When this revision was first known of, ms.
  pub(super) since: u64,
  /// The record was read, or written here: its machines are known.
  pub(super) read: bool,
}

impl Seen {
  /// Takings since the record was written may be lost.
  pub(super) fn stale(&self) -> bool {
    let record = self.record.as_ref();
    record.is_some_and(|record| record.era < self.revision.era)
  }

  /// The term of the next taking: it follows the revision that the taking replaces, which no other
  /// one does, also where takings are lost.
  pub(super) fn next_term(&self) -> u64 {
    let Revision { era, number } = self.revision;
    let term = self.record.as_ref().map_or(0, |record| record.term);
    term.max(era * REVISIONS_LOST + number) + 1
  }
}

/// What this machine holds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Held {
  pub(super) term: u64,
  /// Orders may go out before this time, ms.
  pub(super) until: u64,
  /// When the last renewal was begun, ms.
  pub(super) renewed: u64,
  /// When it was taken, ms.
  pub(super) taken: u64,
  pub(super) needed: Needed,
  pub(super) rounds: Rounds,
}

impl Held {
  /// Whether nobody else can have taken the lease yet: others wait for so long after a renewal, ms.
  pub(super) fn alone(&self, now: u64, kept: u64) -> bool {
    now < self.until.max(self.renewed + kept)
  }

  /// From when others are asked, ms.
  pub(super) fn asks_from(&self, length: u64) -> u64 {
    self.renewed + length / RENEWALS + ASK_MS
  }

  /// Whether promises may extend it: any copy of the store shows its taking.
  pub(super) fn extends(&self, now: u64) -> bool {
    now >= self.taken + COPY_MS
  }
}
