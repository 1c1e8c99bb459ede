//! In which order the waiting requests of several customers go to servers.
//!
//! Load pattern: one customer's requests fill the queue, and a small one's wait behind them.
//! Start-time fair queuing (Goyal, Vin and Cheng, 1996): a request's tag is the later of the
//! virtual time and the end of its customer's last one; the least tag goes first, and the
//! virtual time follows the tags of those that went.

use crate::quota::Id;
use std::collections::HashMap;

/// Customers remembered at the most, 24 bytes each.
const CUSTOMERS: usize = 4_096;

/// Virtual time and where each customer stands in it, in units of quotas.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
  virtual_time: u64,
  ends: HashMap<Id, u64>,
}

impl Scheduler {
  /// The tag of a request that begins to wait.
  pub fn tag(&mut self, customer: Id, cost: u32) -> u64 {
    let now = self.virtual_time;
    if self.ends.len() >= CUSTOMERS {
      self.ends.retain(|_, end| *end > now);
    }
    let end = self.ends.entry(customer).or_default();
    let start = now.max(*end);
    *end = start + u64::from(cost.max(1));
    start
  }

  /// A request with this tag went to a server.
  pub fn record_dispatch(&mut self, tag: u64) {
    self.virtual_time = self.virtual_time.max(tag);
  }
}
