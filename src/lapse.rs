//! Which missing entries of backend servers may have lapsed with the platform's store, and how
//! long they may come back.

use crate::{contact::Outage, feed::SILENT};
use std::time::Duration;

/// Time for which entries that lapsed while the store was silent may come back once it
/// answers anybody again, ms: the platform says about two seconds, and what is missing then
/// is gone.
const LAPSE_MS: u64 = 2_000;
/// A departure must not be taken for a lapse any more once an instance counts as in touch with
/// the store again, 3 s after its calls cease to fail: ms from the begin of the last one.
const CONTACT_MS: u64 = 2_800;
/// Servers may have missed a heartbeat while the store did not answer for this long, ms; a
/// single call that fails says nothing of them.
const MISSED_MS: u64 = 1_000;

/// One instance's view of the store's silences.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Expiry {
  /// The store does not answer this instance since then, ms.
  lost: Option<u64>,
  /// Entries that are found missing may have lapsed.
  possible: bool,
  /// Until when missing entries may come back, ms; 0: none is waited for.
  until: u64,
}

impl Expiry {
  /// Whether the store does not answer this instance.
  pub(crate) fn lost(&self) -> bool {
    self.lost.is_some()
  }

  /// The store does not answer this instance any more.
  pub(crate) fn lose(&mut self, now: u64) {
    self.lost = Some(now);
  }

  /// The store answers this instance again; `missing`: entries did not come back yet.
  pub(crate) fn store_back(&mut self, now: u64, silence: &Outage, missing: bool) {
    let lost_ms = self
      .lost
      .take()
      .map_or(0, |since| now.saturating_sub(since));
    let long = silence.length >= SILENT;
    self.possible |= long;
    // Entries still missing from an earlier silence had no time to come back.
    if long || missing && lost_ms >= MISSED_MS {
      self.until = self.until.max(until(now, silence));
    }
  }

  /// The store came back from a copy, which may lack entries: they are written again as those are
  /// that lapsed.
  pub(crate) fn lack(&mut self, now: u64) {
    self.possible = true;
    self.until = self.until.max(now + LAPSE_MS);
  }

  /// All that the store had acknowledged when it was back is known: what is removed from now
  /// on has left.
  pub(crate) fn close(&mut self) {
    self.possible = false;
  }

  /// For how long an entry that is found missing may come back, ms; none: it does not.
  pub(crate) fn remaining_ms(&self, now: u64) -> Option<u64> {
    (self.possible && now < self.until).then(|| self.until - now)
  }

  /// Whether what is still missing is gone; said once.
  pub(crate) fn take_ended(&mut self, now: u64) -> bool {
    let over = self.until > 0 && !self.lost() && now >= self.until;
    if over {
      self.until = 0;
    }
    over
  }
}

/// Until when entries that lapsed in a silence may come back, ms.
fn until(now: u64, silence: &Outage) -> u64 {
  let after = |ms: u64, since: Duration| (now + ms).saturating_sub(since.as_millis() as u64);
  after(LAPSE_MS, silence.since_recovery).min(after(CONTACT_MS, silence.since_failure))
}
