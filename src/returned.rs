//! Entries of servers that may be those of an older copy of the store.
//!
//! An entry that had been removed may be back because the copy is older than the removal, or because
//! its server lives and has written it again. Until one of them shows, nothing is sent there.

use crate::life::Life;
use std::collections::BTreeMap;

/// Time in which the entry of a server that is not there is removed from a copy, ms: it goes after
/// three heartbeats of silence, of a bit more than a second each.
const REMOVED_MS: u64 = 5_000;
/// Copies are younger than this, ms.
const COPY_MS: u64 = 60_000;

/// Entries that were removed lately, and when the store last came back from a copy.
#[derive(Clone, Debug, Default)]
pub(crate) struct Restored {
  removed: BTreeMap<Life, u64>,
  at: Option<u64>,
}

impl Restored {
  /// A server's entry was removed.
  pub(crate) fn record_removal(&mut self, server: Life, now: u64) {
    self.removed.retain(|_, at| now < *at + COPY_MS);
    self.removed.insert(server, now);
  }

  /// The store came back from a copy.
  pub(crate) fn record_restore(&mut self, now: u64) {
    self.at = Some(now);
  }

  /// Until when an entry of a whole list does not count, ms; 0: it does.
  pub(crate) fn unconfirmed_until(&self, server: Life, now: u64) -> u64 {
    let until = self.at.map_or(0, |at| at + REMOVED_MS);
    match now < until && self.removed.contains_key(&server) {
      true => until,
      false => 0,
    }
  }
}
