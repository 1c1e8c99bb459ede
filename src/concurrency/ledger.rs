//! The requests of all instances on each brittle server, counted by the lease holder.

use super::{REJECTION_WINDOW_MS, UNGRANTED_PERCENT, share::GRANT_MS};
use crate::quota::{Grant, Id, Use};
use std::collections::HashMap;

/// Time without a report after which the requests of an instance count as ended: its process has
/// ended, or it is suspended and its callers have left.
const HELD_MS: u64 = 5_000;
/// Time after its first report by which an instance has got an answer, although some are lost; it may
/// use its own share until then.
const ANSWERED_MS: u64 = 500;
/// Time after which an instance may ask again for slots of a server that has none left.
const RETRY_MS: u32 = 40;
/// A room that was lowered after a rejection grows by one request per this time: more than one
/// rejection of the same server in it would be one too many where few are allowed.
const RAISE_INTERVAL_MS: u64 = REJECTION_WINDOW_MS;

/// What one instance has on a server.
#[derive(Clone, Copy, Debug)]
struct Held {
  running: u32,
  /// The number of requests that it may run; fewer than run if slots are taken back.
  limit: u32,
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
    let others = self.others(now, instance);
    others.map(|held| held.running.max(held.limit)).sum()
  }

  /// Requests that all instances but one may run.
  fn limits_of_others(&self, now: u64, instance: u64) -> u32 {
    self.others(now, instance).map(|held| held.limit).sum()
  }

  fn others(&self, now: u64, instance: u64) -> impl Iterator<Item = &Held> {
    let others = self.held.iter();
    let others = others.filter(move |(other, _)| **other != instance);
    others
      .map(|(_, held)| held)
      .filter(move |held| held.is_current(now))
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

/// The instances that a holder which takes over has to hear from. An instance reports to it once it
/// knows of it: after its next read of the lease, which may be seconds later.
#[derive(Clone, Debug, Default)]
struct Takeover {
  expected: usize,
  /// When each instance first reported, in ms.
  reported: HashMap<u64, u64>,
  /// Until when requests may run under grants of earlier holders, in ms.
  earlier_until: u64,
  /// When instances that have not reported count as ended, in ms.
  ends_at: u64,
}

impl Takeover {
  /// Number of instances that are expected and may not have got an answer yet.
  fn unreported(&self, now: u64) -> u32 {
    if now >= self.ends_at {
      return 0;
    }
    let answered = self.reported.values();
    let answered = answered
      .filter(|first| now >= **first + ANSWERED_MS)
      .count();
    let unreported = self.expected.saturating_sub(answered);
    u32::try_from(unreported).unwrap_or(u32::MAX)
  }

  /// Whether instances without an answer may run requests under grants of an earlier holder.
  fn has_earlier_grants(&self, now: u64) -> bool {
    now < self.earlier_until && self.unreported(now) > 0
  }

  /// Slots of a server for the own shares of instances without an answer, which use them once the
  /// grants of an earlier holder have expired.
  fn reserved(&self, now: u64, slots: u32) -> u32 {
    let unreported = self.unreported(now);
    if unreported == 0 {
      return 0;
    }
    let shared = (slots.max(1) * UNGRANTED_PERCENT).div_ceil(100);
    let instances = u32::try_from(self.expected).unwrap_or(u32::MAX);
    let largest_share = shared.div_ceil(instances);
    unreported.saturating_mul(largest_share).min(shared)
  }
}

/// The part of a server's room that an instance keeps if all instances together run more requests:
/// those that end beyond it are not replaced.
fn part(running: u32, others: u32, room: u32) -> u32 {
  let all = u64::from(running) + u64::from(others);
  if all <= u64::from(room) {
    return room;
  }
  (u64::from(room) * u64::from(running) / all) as u32
}

/// The requests of all instances on each server.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
  servers: HashMap<Id, Server>,
  takeover: Takeover,
}

impl Ledger {
  /// Creates the ledger of a holder that takes over at `now`, in ms. Earlier holders may have granted
  /// slots until `last_grant_at`, and `expected` instances including this one may run requests.
  pub fn new(now: u64, last_grant_at: u64, expected: usize) -> Self {
    Self {
      servers: HashMap::new(),
      takeover: Takeover {
        expected,
        reported: HashMap::new(),
        earlier_until: last_grant_at + GRANT_MS,
        ends_at: now + HELD_MS,
      },
    }
  }

  /// Number of instances that were there when this holder took over, while some may not have reported.
  pub fn expected_instances(&self, now: u64) -> usize {
    match self.takeover.unreported(now) {
      0 => 0,
      _ => self.takeover.expected,
    }
  }

  /// Records that an instance has reported, whether it runs requests or not.
  pub fn record_reporter(&mut self, now: u64, instance: u64) {
    if now < self.takeover.ends_at {
      self.takeover.reported.entry(instance).or_insert(now);
    }
  }

  /// Records what an instance runs on a server with this number of slots, and grants it slots.
  pub fn report(&mut self, now: u64, instance: u64, reported: &Use, slots: u32) -> Grant {
    let reserved = self.takeover.reserved(now, slots);
    let earlier_grants = self.takeover.has_earlier_grants(now);
    let server = self.servers.entry(reported.id).or_default();
    server.held.retain(|_, held| held.is_current(now));
    let running = u32::try_from(reported.used).unwrap_or_default();
    let others = server.held_by_others(now, instance);
    let limits = server.limits_of_others(now, instance);
    let rejections = reported.unreported;
    let known = server.held.get(&instance);
    if known.is_some_and(|known| rejections > known.rejections) {
      server.record_rejections(now, slots, others + running);
    }
    let room = server.room(now, slots);
    let free = match earlier_grants || server.has_just_rejected(now) {
      true => 0,
      false => room.saturating_sub(others + running + reserved),
    };
    let granted = reported.need.min(free);
    let limit = match reserved {
      0 => (running + granted).min(part(running, others, room)),
      _ => (running + granted).min(room.saturating_sub(limits + reserved)),
    };
    let held = Held {
      running,
      limit,
      rejections,
      reported_at: now,
    };
    server.held.insert(instance, held);
    Grant {
      id: reported.id,
      limit: i64::from(limit),
      over_ms: if granted < reported.need { RETRY_MS } else { 0 },
    }
  }

  /// Removes an instance whose process has ended.
  pub fn remove(&mut self, instance: u64) {
    self.takeover.reported.remove(&instance);
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
