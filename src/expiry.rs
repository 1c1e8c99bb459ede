//! Determines which missing entries of backend servers may have expired because of an outage of the
//! platform's store, and how long they may take to reappear.

use crate::{feed::OUTAGE_THRESHOLD, reachability::Outage};
use std::time::Duration;

/// How long entries that expired in an outage may take to reappear once the store responds to any
/// instance again. The platform states about two seconds; servers whose entries are still missing
/// then are gone.
pub(crate) const REAPPEAR_MS: u64 = 2_000;
/// How long after the start of the last failed call missing entries may still reappear. 3 s after
/// its calls stop failing, an instance counts as connected to the store again; from then on, a
/// removed entry must not be mistaken for an expired one.
const RECONNECT_MS: u64 = 2_800;
/// Minimum outage in which servers may have missed a heartbeat. A single failed call does not
/// indicate that.
const MISSED_HEARTBEAT_MS: u64 = 1_000;

/// One instance's view of the store's outages. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Expiry {
  /// Since when the store has not responded to this instance.
  lost_since: Option<u64>,
  /// Whether entries that are found missing may have expired.
  may_have_expired: bool,
  /// Until when missing entries may reappear; 0 if none is expected to.
  until: u64,
}

impl Expiry {
  /// Whether the store has stopped responding to this instance.
  pub(crate) fn is_store_lost(&self) -> bool {
    self.lost_since.is_some()
  }

  /// Records that the store has stopped responding to this instance.
  pub(crate) fn store_lost(&mut self, now: u64) {
    self.lost_since = Some(now);
  }

  /// Records that the store responds to this instance again; `missing` if some entries have not
  /// reappeared yet.
  pub(crate) fn store_back(&mut self, now: u64, outage: &Outage, missing: bool) {
    let unreachable_ms = self
      .lost_since
      .take()
      .map_or(0, |since| now.saturating_sub(since));
    let long = outage.length >= OUTAGE_THRESHOLD;
    self.may_have_expired |= long;
    // Entries still missing from an earlier outage had no time to reappear.
    if long || missing && unreachable_ms >= MISSED_HEARTBEAT_MS {
      self.until = self.until.max(until(now, outage));
    }
  }

  /// Records that the store was restored from a copy. Servers write entries that the copy lacks
  /// again, like expired ones.
  pub(crate) fn store_restored(&mut self, now: u64) {
    self.may_have_expired = true;
    self.until = self.until.max(now + REAPPEAR_MS);
  }

  /// Records that everything the store had acknowledged when it came back has been read. Servers
  /// whose entries are removed from now on have left.
  pub(crate) fn store_current(&mut self) {
    self.may_have_expired = false;
  }

  /// How long a missing entry may still take to reappear; `None` if it is not expected to.
  pub(crate) fn remaining_ms(&self, now: u64) -> Option<u64> {
    (self.may_have_expired && now < self.until).then(|| self.until - now)
  }

  /// Whether the time to reappear is over for entries that are still missing; true only once.
  pub(crate) fn take_ended(&mut self, now: u64) -> bool {
    let ended = self.until > 0 && !self.is_store_lost() && now >= self.until;
    if ended {
      self.until = 0;
    }
    ended
  }
}

/// Time in milliseconds until which entries that expired in an outage may reappear.
fn until(now: u64, outage: &Outage) -> u64 {
  let after = |ms: u64, since: Duration| (now + ms).saturating_sub(since.as_millis() as u64);
  after(REAPPEAR_MS, outage.since_recovery).min(after(RECONNECT_MS, outage.since_failure))
}
