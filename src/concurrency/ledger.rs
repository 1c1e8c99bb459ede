//! The requests of all instances on each brittle server, counted by the lease holder.

use super::REJECTION_WINDOW_MS;
use crate::quota::{Grant, Id, Use};
use std::collections::HashMap;

/// Time without a report after which the requests of an instance count as ended: its process has
/// ended, or it is suspended and its callers have left.
const HELD_MS: u64 = 5_000;
/// Time after a takeover by which each instance has reported.
const ALL_REPORTED_MS: u64 = 1_200;
/// Time after which an instance may ask again for slots of a server that has none left.
const RETRY_MS: u32 = 40;
/// A room that was lowered after a rejection grows by one request per this time: more than one
/// rejection of the same server in it would be one too many where few are allowed.
const RAISE_INTERVAL_MS: u64 = REJECTION_WINDOW_MS;

/// What one instance has on a server.
#[derive(Clone, Copy, Debug)]
struct Held {
  running: u32,
  granted: u32,
  rejections: u32,
  reported_at: u64,
}

impl Held {
  fn is_current(&self, now: u64) -> bool {
    now < self.reported_at + HELD_MS
  }
}

#[derive(Clone, Debug, Default)]
struct Server {
  held: HashMap<u64, Held>,
  /// The number of requests at which it rejected others, and when; `None` if it rejected none.
  lowered: Option<(u32, u64)>,
}

impl Server {
  /// Number of requests that it takes at once.
  fn room(&self, now: u64, slots: u32) -> u32 {
    let Some((room, at)) = self.lowered else {
      return slots;
    };
    let raised = now.saturating_sub(at) / RAISE_INTERVAL_MS;
    room
      .saturating_add(u32::try_from(raised).unwrap_or(u32::MAX))
      .min(slots)
  }

  /// Requests of all instances but one that run or may be sent.
  fn held_by_others(&self, now: u64, instance: u64) -> u32 {
    let others = self.held.iter();
    let others = others.filter(|(other, held)| **other != instance && held.is_current(now));
    others.map(|(_, held)| held.running + held.granted).sum()
  }

  /// Lowers the room after rejections: what runs is what it takes.
  fn record_rejections(&mut self, now: u64, slots: u32, running: u32) {
    let room = self.room(now, slots).min(running.max(1));
    self.lowered = Some((room, now));
  }

  fn has_just_rejected(&self, now: u64) -> bool {
    let lowered = self.lowered;
    lowered.is_some_and(|(_, at)| now < at + REJECTION_WINDOW_MS)
  }
}

/// The requests of all instances on each server.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
  servers: HashMap<Id, Server>,
  /// When this holder took over, in ms; 0 for the very first one.
  takeover: u64,
}

impl Ledger {
  /// Creates the ledger of a holder that takes over now. It grants nothing until all instances have
  /// reported what they run.
  pub fn new(now: u64) -> Self {
    Self {
      servers: HashMap::new(),
      takeover: now,
    }
  }

  /// Records what an instance runs on a server with this number of slots, and grants it slots.
  pub fn report(&mut self, now: u64, instance: u64, reported: &Use, slots: u32) -> Grant {
    let taking_over = self.takeover > 0 && now < self.takeover + ALL_REPORTED_MS;
    let server = self.servers.entry(reported.id).or_default();
    server.held.retain(|_, held| held.is_current(now));
    let running = u32::try_from(reported.used).unwrap_or_default();
    let others = server.held_by_others(now, instance);
    let rejections = reported.unreported;
    let known = server.held.get(&instance);
    if known.is_some_and(|known| rejections > known.rejections) {
      server.record_rejections(now, slots, others + running);
    }
    let room = server.room(now, slots);
    let free = match taking_over || server.has_just_rejected(now) {
      true => 0,
      false => room.saturating_sub(others + running),
    };
    let granted = reported.need.min(free);
    let held = Held {
      running,
      granted,
      rejections,
      reported_at: now,
    };
    server.held.insert(instance, held);
    Grant {
      id: reported.id,
      limit: i64::from(running + granted),
      over_ms: if granted < reported.need { RETRY_MS } else { 0 },
    }
  }

  /// Removes an instance whose process has ended.
  pub fn remove(&mut self, instance: u64) {
    for server in self.servers.values_mut() {
      server.held.remove(&instance);
    }
  }

  /// Drops servers that no instance has reported lately.
  pub fn prune(&mut self, now: u64) {
    self
      .servers
      .retain(|_, server| server.held.values().any(|held| held.is_current(now)));
  }
}
