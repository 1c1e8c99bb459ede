//! Groups: the requests for one model under one policy, and their demand.

use crate::{
  history::History,
  replica::Id,
  request::{Class, Ticket},
};
use std::collections::{BTreeMap, BTreeSet};

slotmap::new_key_type! {
  /// Identifies a group within one instance.
  pub struct Key;
}

/// Number of requests that an instance reports for a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
  pub waiting: u32,
  pub running: u32,
  /// Time in ms of the report.
  pub at: u64,
}

/// A limit on the concurrent requests of one instance at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
  pub slots: u32,
  /// Time in ms at which the limit expires.
  pub until: u64,
}

/// Lifetime of a share or a demand report.
pub const SOFT_STATE_MS: u64 = 1_500;
/// Interval between reports of unchanged demand.
pub const DEMAND_REPORT_INTERVAL_MS: u64 = 400;

/// Requests for a model under a policy.
#[derive(Clone, Debug, Default)]
pub struct Group {
  pub model: String,
  pub policy: String,
  /// Waiting requests, with interactive ones first, in the order of their deadlines.
  pub queue: BTreeSet<(Class, u64, Ticket)>,
  /// Requests of this instance that run on replicas.
  pub running: u32,
  /// Arrivals not yet reported to the owner.
  pub unreported_arrivals: u32,
  /// Demand last reported to the owner.
  pub reported: Demand,
  /// Shares granted to this instance, by replica.
  pub shares: BTreeMap<Id, Share>,
  /// Moving average in ms of the wait for a load.
  pub cold_ms: u64,
  /// Moving average in ms of the time for which a request occupies a slot.
  pub service_ms: u64,
  /// Demand by instance; only the owner uses it.
  pub demand: BTreeMap<String, Demand>,
  /// Shares granted by the owner, by replica and instance.
  pub granted_shares: BTreeMap<(Id, String), Share>,
  /// Time in ms of the last use on any instance, as known to the owner; 0 if there was none
  /// since this instance became the owner.
  pub last_use: u64,
  pub history: History,
  /// Idle time in ms of ready replicas that the owner has not yet written to the timeline.
  pub idle_ms: u64,
  /// Time in ms up to which the owner has accumulated idle time.
  pub idle_counted_until: u64,
  /// Time in ms before which no new replica is decided.
  pub hold_until: u64,
}

impl Group {
  /// Requests waiting on all instances, by the reports that have not expired.
  pub fn waiting(&self, now: u64) -> u32 {
    let is_fresh = |demand: &&Demand| demand.at + SOFT_STATE_MS > now;
    let fresh = self.demand.values().filter(is_fresh);
    fresh.map(|demand| demand.waiting).sum()
  }

  /// Whether any instance has requests of the group, by the reports that have not expired.
  pub fn in_use(&self, now: u64) -> bool {
    let is_fresh = |demand: &&Demand| demand.at + SOFT_STATE_MS > now;
    let mut fresh = self.demand.values().filter(is_fresh);
    fresh.any(|demand| demand.waiting + demand.running > 0)
  }

  /// Records a demand report of an instance.
  pub fn record_demand(&mut self, from: &str, demand: Demand, arrived: u32) {
    let was_idle = !self.in_use(demand.at);
    if arrived > 0 && was_idle && self.last_use > 0 {
      self.history.add(demand.at.saturating_sub(self.last_use));
    }
    let was_running = self.demand.get(from).is_some_and(|old| old.running > 0);
    if arrived + demand.waiting + demand.running > 0 || was_running {
      self.last_use = demand.at;
    }
    self.demand.insert(from.into(), demand);
  }

  /// Slots of this instance's share at a replica; `None` without a share or after it expired.
  pub fn share(&self, replica: Id, now: u64) -> Option<u32> {
    let share = self.shares.get(&replica)?;
    (share.until > now).then_some(share.slots)
  }
}

/// Moving average in which the newest value has a weight of a quarter; an old value of 0
/// is ignored.
pub fn moving_average(old: u64, new: u64) -> u64 {
  if old == 0 { new } else { (old * 3 + new) / 4 }
}
