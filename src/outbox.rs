//! Queue of datagrams to many instances, sent at the rate that a share of the link carries.
//!
//! Sending to 295 instances at once fills the link and loses the last datagrams: the last instances
//! in the list encounter four times as many servers that do not hold the expected models.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

/// Interval between sends while datagrams are pending.
pub const SLOT_MS: u64 = 4;
/// Number of slots whose bytes may be sent at once after a pause.
const BURST_SLOTS: u64 = 2;

/// A datagram for an instance.
pub type Datagram = (Arc<Vec<u8>>, SocketAddr);

/// Datagrams waiting to be sent, limited by a token bucket.
#[derive(Debug)]
pub struct Outbox {
  pending: VecDeque<Datagram>,
  pending_bytes: u64,
  bytes_per_ms: u64,
  /// Bytes that may be sent now, and the time of the last refill in milliseconds.
  allowance: u64,
  refilled_at: u64,
}

impl Outbox {
  /// An empty outbox that sends `bytes_per_ms` bytes per millisecond, but at least one.
  pub fn new(bytes_per_ms: u64) -> Self {
    let bytes_per_ms = bytes_per_ms.max(1);
    Self {
      pending: VecDeque::new(),
      pending_bytes: 0,
      bytes_per_ms,
      allowance: bytes_per_ms * SLOT_MS * BURST_SLOTS,
      refilled_at: 0,
    }
  }

  /// Appends a datagram for each instance.
  pub fn push(&mut self, bytes: Vec<u8>, to: impl IntoIterator<Item = SocketAddr>) {
    let bytes = Arc::new(bytes);
    for address in to {
      self.pending_bytes += bytes.len() as u64;
      self.pending.push_back((bytes.clone(), address));
    }
  }

  /// Whether datagrams are pending.
  pub fn has_pending(&self) -> bool {
    !self.pending.is_empty()
  }

  /// Time until all pending datagrams have been sent, in milliseconds.
  pub fn drain_time_ms(&self) -> u64 {
    self.pending_bytes / self.bytes_per_ms
  }

  /// Removes and returns the datagrams that may be sent now, in order.
  pub fn take_due(&mut self, now: u64) -> Vec<Datagram> {
    let capacity = self.bytes_per_ms * SLOT_MS * BURST_SLOTS;
    let refill = self.bytes_per_ms * now.saturating_sub(self.refilled_at);
    self.allowance = self.allowance.saturating_add(refill).min(capacity);
    self.refilled_at = now;
    let mut due = Vec::new();
    while self.allowance > 0
      && let Some((bytes, address)) = self.pending.pop_front()
    {
      // The last datagram may exceed the allowance; the next slot compensates for it.
      self.allowance = self.allowance.saturating_sub(bytes.len() as u64);
      self.pending_bytes -= bytes.len() as u64;
      due.push((bytes, address));
    }
    due
  }
}
