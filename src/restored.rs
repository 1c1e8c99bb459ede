//! Detects server entries that may come from an older copy of the store.
//!
//! A removed entry may be back because the copy is older than the removal, or because its server is
//! alive and has written it again. Until it is clear which, nothing is sent to the server.

use crate::life::Life;
use std::collections::BTreeMap;

/// How long it takes until a dead server's entry is removed from a copy: it expires after three
/// missed heartbeats, each slightly more than a second.
const DEAD_ENTRY_MS: u64 = 5_000;
/// Maximum age of a copy.
const MAX_COPY_AGE_MS: u64 = 60_000;

/// Recently removed entries, and when the store was last restored from a copy. Times are in
/// milliseconds.
#[derive(Clone, Debug, Default)]
pub(crate) struct Restored {
  removed: BTreeMap<Life, u64>,
  restored_at: Option<u64>,
}

impl Restored {
  /// Records that a server's entry was removed.
  pub(crate) fn record_removal(&mut self, server: Life, now: u64) {
    self
      .removed
      .retain(|_, removed_at| now < *removed_at + MAX_COPY_AGE_MS);
    self.removed.insert(server, now);
  }

  /// Records that the store was restored from a copy.
  pub(crate) fn record_restore(&mut self, now: u64) {
    self.restored_at = Some(now);
  }

  /// Until when an entry of a complete list is not confirmed; 0 if it is confirmed.
  pub(crate) fn unconfirmed_until(&self, server: Life, now: u64) -> u64 {
    let until = self.restored_at.map_or(0, |at| at + DEAD_ENTRY_MS);
    match now < until && self.removed.contains_key(&server) {
      true => until,
      false => 0,
    }
  }
}
