//! Fair order of waiting requests between customers.
//!
//! Load pattern: one customer's requests fill the queue, and those of a small customer wait behind
//! them. Start-time fair queuing (Goyal, Vin and Cheng, 1996): a request's tag is the later of the
//! virtual time and the end of its customer's previous request. Requests are dispatched in order
//! of their tags, and the virtual time is the highest tag dispatched so far.

use crate::quota::Id;
use std::collections::HashMap;

/// Number of customers from which on those that are not ahead of the virtual time are dropped;
/// each takes 24 bytes.
const PRUNE_THRESHOLD: usize = 4_096;

/// Virtual time, and the end of each customer's last request, in quota units.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
  virtual_time: u64,
  ends: HashMap<Id, u64>,
}

impl Scheduler {
  /// Assigns a tag to a request that starts to wait.
  pub fn tag(&mut self, customer: Id, cost: u32) -> u64 {
    let now = self.virtual_time;
    if self.ends.len() >= PRUNE_THRESHOLD {
      self.ends.retain(|_, end| *end > now);
    }
    let end = self.ends.entry(customer).or_default();
    let start = now.max(*end);
    *end = start + u64::from(cost.max(1));
    start
  }

  /// Advances the virtual time to the tag of a request that was sent to a server.
  pub fn record_dispatch(&mut self, tag: u64) {
    self.virtual_time = self.virtual_time.max(tag);
  }
}
