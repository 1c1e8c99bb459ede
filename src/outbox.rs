//! Datagrams to many instances, spread over time: as fast as a part of the link carries.
//!
//! What is sent to 295 instances at once fills the link, and what comes last is lost: those
//! that came last in the list of instances met four times as many servers that did not hold
//! what they were believed to hold.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

/// Time between two sends while something waits, ms.
pub const SLOT_MS: u64 = 4;
/// Bytes that may go out at once after a rest, as a number of slots.
const BURST_SLOTS: u64 = 2;

/// A datagram for an instance.
pub type Datagram = (Arc<Vec<u8>>, SocketAddr);

/// Datagrams that wait for their turn.
#[derive(Debug)]
pub struct Outbox {
  waiting: VecDeque<Datagram>,
  waiting_bytes: u64,
  bytes_per_ms: u64,
  /// Bytes that may go out now, and when that was counted, ms.
  allowance: u64,
  counted: u64,
}

impl Outbox {
  /// An outbox that sends so many bytes a millisecond.
  pub fn new(bytes_per_ms: u64) -> Self {
    let bytes_per_ms = bytes_per_ms.max(1);
    Self {
      waiting: VecDeque::new(),
      waiting_bytes: 0,
      bytes_per_ms,
      allowance: bytes_per_ms * SLOT_MS * BURST_SLOTS,
      counted: 0,
    }
  }

  /// Adds a datagram for each instance, after all that waits.
  pub fn push(&mut self, bytes: Vec<u8>, to: impl IntoIterator<Item = SocketAddr>) {
    let bytes = Arc::new(bytes);
    for address in to {
      self.waiting_bytes += bytes.len() as u64;
      self.waiting.push_back((bytes.clone(), address));
    }
  }

  /// Whether something waits.
  pub fn has_pending(&self) -> bool {
    !self.waiting.is_empty()
  }

  /// Time until all that waits has gone out, ms.
  pub fn drain_time_ms(&self) -> u64 {
    self.waiting_bytes / self.bytes_per_ms
  }

  /// What may go out now, in order.
  pub fn take_due(&mut self, now: u64) -> Vec<Datagram> {
    let most = self.bytes_per_ms * SLOT_MS * BURST_SLOTS;
    let more = self.bytes_per_ms * now.saturating_sub(self.counted);
    self.allowance = self.allowance.saturating_add(more).min(most);
    self.counted = now;
    let mut due = Vec::new();
    while self.allowance > 0
      && let Some((bytes, address)) = self.waiting.pop_front()
    {
      // The last one may go beyond: it is made up for by the next slot.
      self.allowance = self.allowance.saturating_sub(bytes.len() as u64);
      self.waiting_bytes -= bytes.len() as u64;
      due.push((bytes, address));
    }
    due
  }
}
