//! The lease record in the store, the heartbeat to other instances, and one instance's knowledge of
//! the lease.

use super::{LATE_RENEWAL_MS, schedule::RENEWALS_PER_DURATION};
use crate::{
  lease::promise::{Candidates, MAX_COPY_AGE_MS, Rounds},
  store::Revision,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, net::SocketAddr};

/// Maximum number of revisions that a copy of the store may lack: copies are a few seconds old, and
/// the store accepts a few hundred changes per second.
const MAX_LOST_REVISIONS: u64 = 1_000_000;

/// The lease as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Record {
  /// The holder's machine; all orders from one machine belong to the same holder.
  pub machine: String,
  /// Address at which the holder receives demand reports.
  pub address: SocketAddr,
  /// Increases with every acquisition.
  pub term: u64,
  /// Increases with every renewal within a term.
  pub renewal: u64,
  /// The holder has stopped and sends no more orders.
  pub released: bool,
  /// Machines whose promise the holder requires to continue without the store.
  #[serde(default)]
  pub machines: BTreeSet<u32>,
  /// Era of the store in which the record was written.
  #[serde(default)]
  pub era: u64,
}

/// The holder's heartbeat, which tells other instances about its last renewal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
  pub machine: String,
  pub revision: Revision,
  /// Time in milliseconds since the start of the renewal, or of a later promise round that all
  /// candidates answered.
  pub age_ms: u64,
  pub term: u64,
}

/// What an instance knows about the lease in the store.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Observation {
  /// `None` if there is no lease.
  pub(super) record: Option<Record>,
  pub(super) revision: Revision,
  /// Time at which this revision was first known, in milliseconds.
  pub(super) first_seen_at: u64,
  /// The record was read or written by this instance, so its list of machines is known.
  pub(super) machines_known: bool,
}

impl Observation {
  /// Whether acquisitions after this record may be lost.
  pub(super) fn is_stale(&self) -> bool {
    let record = self.record.as_ref();
    record.is_some_and(|record| record.era < self.revision.era)
  }

  /// The term of the next acquisition. It is derived from the revision that the acquisition
  /// replaces, so no other acquisition gets the same term, even if acquisitions are lost.
  pub(super) fn next_term(&self) -> u64 {
    let Revision { era, number } = self.revision;
    let term = self.record.as_ref().map_or(0, |record| record.term);
    term.max(era * MAX_LOST_REVISIONS + number) + 1
  }
}

/// The lease while this machine holds it. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Held {
  pub(super) term: u64,
  /// Orders may be sent before this time.
  pub(super) valid_until: u64,
  /// Start time of the last renewal.
  pub(super) renewed_at: u64,
  /// Time at which the lease was acquired.
  pub(super) acquired_at: u64,
  /// Time until which earlier holders may have sent orders; `None` if there were none.
  pub(super) foreign_orders_until: Option<u64>,
  pub(super) candidates: Candidates,
  pub(super) rounds: Rounds,
}

impl Held {
  /// Whether no other machine can have acquired the lease yet: others wait `exclusive_ms` after a
  /// renewal.
  pub(super) fn is_exclusive(&self, now: u64, exclusive_ms: u64) -> bool {
    now < self.valid_until.max(self.renewed_at + exclusive_ms)
  }

  /// Time from which promises are requested.
  pub(super) fn promises_due_at(&self, duration: u64) -> u64 {
    self.renewed_at + duration / RENEWALS_PER_DURATION + LATE_RENEWAL_MS
  }

  /// Whether promises may extend the lease: only once every copy of the store contains its
  /// acquisition.
  pub(super) fn can_extend(&self, now: u64) -> bool {
    now >= self.acquired_at + MAX_COPY_AGE_MS
  }
}
