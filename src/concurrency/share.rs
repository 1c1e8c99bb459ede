//! The slots of a brittle server that one instance may use.

/// Lifetime of a grant after the report that it answers: longer than three lost reports in a row.
pub(super) const GRANT_MS: u64 = 2_000;
/// Time without use after which a share is no longer reported.
const IDLE_MS: u64 = 2_000;

/// Time without an answer of the holder after which an instance uses at most its own share of its
/// grants, so that what exceeds it has ended when other instances begin to use theirs.
const SILENT_MS: u64 = 1_000;

/// Whether all grants of a holder have expired that has been silent for `silent_ms`: only then do the
/// instances' own shares not add to grants that others still use.
pub fn have_grants_expired(silent_ms: u64) -> bool {
  silent_ms >= GRANT_MS
}

/// The slots of a server that this instance may use. Times are in milliseconds.
#[derive(Clone, Copy, Debug, Default)]
pub struct Share {
  /// The number of requests that this instance may run on the server until `expires_at`.
  limit: u32,
  expires_at: u64,
  /// Until when no more slots are free, according to the holder.
  full_until: u64,
  /// Until when the server gets nothing because it rejected a request.
  paused_until: u64,
  /// When a request last needed a slot; 0 if none has.
  needed_at: u64,
  /// Requests that the server has rejected for want of room.
  rejections: u32,
  /// The number of requests that this instance may run without a grant, as stated in its last report.
  ungranted: u32,
}

impl Share {
  /// Whether another request may be sent, in addition to those that run. `own` is this instance's
  /// share without a holder, and the holder has been silent for `silent_ms`.
  pub fn has_slot(&self, now: u64, running: u32, own: u32, silent_ms: u64) -> bool {
    now >= self.paused_until && running < self.usable(now, own, silent_ms)
  }

  fn usable(&self, now: u64, own: u32, silent_ms: u64) -> u32 {
    if have_grants_expired(silent_ms) {
      return self.ungranted;
    }
    if now >= self.expires_at {
      return 0;
    }
    match silent_ms < SILENT_MS {
      true => self.limit,
      false => self.limit.min(own),
    }
  }

  /// Until when the server counts as full; `None` if it does not.
  pub fn full_until(&self, now: u64) -> Option<u64> {
    let until = self.full_until.max(self.paused_until);
    (now < until).then_some(until)
  }

  /// Records that a request needs a slot.
  pub fn record_need(&mut self, now: u64) {
    self.needed_at = now;
  }

  /// Records that the server has no free slot until a time.
  pub fn set_full(&mut self, until: u64) {
    self.full_until = until;
  }

  /// Records that the server rejected a request for want of room.
  pub fn record_rejection(&mut self, now: u64) {
    self.rejections += 1;
    self.needed_at = now;
    self.paused_until = now + super::REJECTION_WINDOW_MS;
  }

  /// Whether the holder must know this share.
  pub fn is_reported(&self, now: u64, running: u32) -> bool {
    running > 0 || self.needed_at > 0 && now < self.needed_at + IDLE_MS
  }

  /// Returns the number of rejections for a report of `running` requests and of those that may run
  /// without a grant. The holder grants all other slots to other instances, so no more may be used
  /// without a new grant.
  pub fn report(&mut self, running: u32, ungranted: u32) -> u32 {
    self.limit = self.limit.min(running);
    self.ungranted = ungranted;
    self.rejections
  }

  /// Applies the holder's answer to the report that was sent at `sent`: the number of requests that
  /// may run, and for how long no more slots are free.
  pub fn receive_grant(&mut self, now: u64, sent: u64, limit: u32, full_ms: u64) {
    self.limit = limit;
    self.ungranted = 0;
    self.expires_at = sent + GRANT_MS;
    self.full_until = now + full_ms;
  }
}
