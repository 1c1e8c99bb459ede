//! Requests for one model under one policy, and what is known of their demand.

use crate::{
  ask::{Class, Ticket},
  history::History,
  replica::Id,
};
use std::collections::{BTreeMap, BTreeSet};

slotmap::new_key_type! {
  /// Identifies a group within one instance.
  pub struct Key;
}

/// What an instance reports that it has of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
  pub waiting: u32,
  pub running: u32,
  /// When it was reported, ms.
  pub at: u64,
}

/// A bound on this instance's requests at a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
  pub slots: u32,
  /// Time after which it no longer binds, ms.
  pub until: u64,
}

/// How long a share or a report of demand holds, ms.
pub const SOFT_STATE_MS: u64 = 1_500;
/// Pause between two reports of unchanged demand, ms.
pub const DEMAND_REPORT_INTERVAL_MS: u64 = 400;

/// A model under a policy.
#[derive(Clone, Debug, Default)]
pub struct Group {
  pub model: String,
  pub policy: String,
  /// Waiting requests: interactive first, then by deadline.
  pub queue: BTreeSet<(Class, u64, Ticket)>,
  /// Requests of this instance at replicas.
  pub running: u32,
  /// Arrivals not yet reported to the owner.
  pub unreported_arrivals: u32,
  /// Demand last reported to the owner.
  pub reported: Demand,
  /// Shares given to this instance.
  pub shares: BTreeMap<Id, Share>,
  /// Recent wait for a load, ms.
  pub cold_ms: u64,
  /// Recent time a request holds a slot, ms.
  pub service_ms: u64,
  /// As the owner: demand by instance.
  pub demand: BTreeMap<String, Demand>,
  /// As the owner: shares given, by replica and instance.
  pub granted_shares: BTreeMap<(Id, String), Share>,
  /// As the owner: last use anywhere, ms; 0: never since this instance owns it.
  pub last_use: u64,
  pub history: History,
  /// As the owner: idle time of ready replicas not yet recorded, ms.
  pub idle_ms: u64,
  /// As the owner: time up to which idle time was added, ms.
  pub idle_at: u64,
  /// No new replica is decided before this time, ms.
  pub hold_until: u64,
}

impl Group {
  /// Requests waiting anywhere, as far as reported within the last moments.
  pub fn waiting(&self, now: u64) -> u32 {
    let fresh = |demand: &&Demand| demand.at + SOFT_STATE_MS > now;
    let fresh = self.demand.values().filter(fresh);
    fresh.map(|demand| demand.waiting).sum()
  }

  /// Whether any instance has requests of the group.
  pub fn in_use(&self, now: u64) -> bool {
    let fresh = |demand: &&Demand| demand.at + SOFT_STATE_MS > now;
    let mut fresh = self.demand.values().filter(fresh);
    fresh.any(|demand| demand.waiting + demand.running > 0)
  }

  /// Takes up a report of demand.
  pub fn record_demand(&mut self, from: &str, demand: Demand, arrived: u32) {
    let idle = !self.in_use(demand.at);
    if arrived > 0 && idle && self.last_use > 0 {
      self.history.add(demand.at.saturating_sub(self.last_use));
    }
    let ended = self.demand.get(from).is_some_and(|old| old.running > 0);
    if arrived + demand.waiting + demand.running > 0 || ended {
      self.last_use = demand.at;
    }
    self.demand.insert(from.into(), demand);
  }

  /// The share of this instance at a replica, while it binds.
  pub fn share(&self, replica: Id, now: u64) -> Option<u32> {
    let share = self.shares.get(&replica)?;
    (share.until > now).then_some(share.slots)
  }
}

/// An average in which the newest value weighs a quarter.
pub fn blend(old: u64, new: u64) -> u64 {
  if old == 0 { new } else { (old * 3 + new) / 4 }
}
