//! The lease under which one machine sends orders to a group of backend servers.
//!
//! The lease is an object in the platform's store. Its holder stops sending orders `duration` after
//! it started to write its last renewal. Another machine acquires the lease no earlier than
//! `duration` plus `gap` after it observed that renewal, so the orders of two holders are at least
//! `gap` apart no matter how slow either machine is. All times are in milliseconds on the steady
//! clock, which advances while a process is frozen: a holder that resumes finds its lease expired.
//!
//! The store may be restored from an older copy. A record of an earlier era than the store's comes
//! from that copy, and later acquisitions may be lost. Machines use such a record only to wait for
//! as long as a holder that it does not name may send orders. A holder whose lease has not expired
//! continues and writes the lease again.

mod outcome;
pub mod promise;
mod record;
mod schedule;

pub use record::{Heartbeat, Record};

use crate::{
  lease::{
    promise::{MAX_EXTENSION_MS, MAX_WRITE_DELAY_MS, Promise, Request, short_hash},
    record::{Held, Observation},
  },
  store::Revision,
};
use std::{collections::BTreeSet, net::SocketAddr};

/// Lease duration as a percentage of the gap between two holders' orders: long enough for a slow
/// store to respond, short enough for a quick takeover.
const DURATION_PERCENT: u64 = 50;
/// Delay of a renewal after which the holder requests promises; the store usually responds within a
/// few milliseconds.
const LATE_RENEWAL_MS: u64 = 250;

/// A call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
  Read,
  Write { record: Record, revision: Revision },
}

/// One instance's view of a lease. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Lease {
  machine: String,
  address: SocketAddr,
  duration: u64,
  gap: u64,
  observed: Option<Observation>,
  held: Option<Held>,
  /// Highest term observed so far.
  highest_term: u64,
  /// Time of the last contact with the holder.
  holder_seen_at: u64,
  /// Start time of the call in progress, and whether the call acquires the lease.
  pending_call: Option<(u64, bool)>,
  /// A write failed, so the content of the store is unknown until the next read.
  uncertain: bool,
  /// No call is made before this time.
  backoff_until: u64,
  /// Random delay that keeps machines from acquiring the lease at the same time.
  jitter: u64,
  acquire_delay: u64,
  /// Machines that reported recently.
  machines: BTreeSet<u32>,
  /// This machine promised not to acquire the lease before this time.
  promised_until: u64,
  /// Start time of this process.
  started_at: u64,
  /// A write that acquires the lease, from this process or an earlier one on this machine, may
  /// reach the store until this time.
  acquire_in_flight_until: u64,
  /// Number of consecutive reads that returned nothing new, and the time of the next read.
  unchanged_reads: u32,
  next_read_at: u64,
  /// The lease was read after `acquire_in_flight_until`: no such write has reached the store or
  /// will reach it.
  acquire_settled: bool,
  /// The lease is given up and not acquired.
  releasing: bool,
  /// The next renewal is due early.
  early: bool,
}

impl Lease {
  /// The view of an instance that has not read the lease. `gap` is the minimum time between the
  /// orders of two holders, and `now` is the start time of the process.
  pub fn new(machine: &str, address: SocketAddr, gap: u64, jitter: u64, now: u64) -> Self {
    Self {
      machine: machine.into(),
      address,
      duration: gap * DURATION_PERCENT / 100,
      gap,
      observed: None,
      held: None,
      highest_term: 0,
      holder_seen_at: 0,
      pending_call: None,
      uncertain: false,
      backoff_until: 0,
      jitter,
      acquire_delay: 0,
      machines: BTreeSet::new(),
      promised_until: 0,
      started_at: now,
      acquire_in_flight_until: now + MAX_WRITE_DELAY_MS,
      acquire_settled: false,
      releasing: false,
      early: false,
      unchanged_reads: 0,
      next_read_at: 0,
    }
  }

  /// The term under which orders may be sent now; `None` if this machine may not send any.
  pub fn term(&self, now: u64) -> Option<u64> {
    let held = self.held.as_ref()?;
    (now < held.valid_until).then_some(held.term)
  }

  /// The term of the lease that this machine holds, whether or not it may send orders now.
  pub fn held_term(&self) -> Option<u64> {
    self.held.as_ref().map(|held| held.term)
  }

  /// Time until which orders may be sent; 0 if this machine does not hold the lease.
  pub fn valid_until(&self) -> u64 {
    self.held.as_ref().map_or(0, |held| held.valid_until)
  }

  /// Time until which earlier holders may have sent orders; `None` if there were none, or if this
  /// machine does not hold the lease.
  pub fn foreign_orders_until(&self) -> Option<u64> {
    self.held.as_ref()?.foreign_orders_until
  }

  /// Time until which the holder that `observed` names may send orders, if this machine acquires the
  /// lease at `now`; `None` if there was no holder.
  fn orders_of_predecessor_until(&self, now: u64, observed: &Observation) -> Option<u64> {
    match &observed.record {
      // Only a store without a lease, and which lost none, has had no holder.
      None if observed.revision.era == 0 => None,
      // An earlier process on this machine: no gap separates its orders.
      Some(record) if record.machine == self.machine => Some(now),
      _ => Some(now.saturating_sub(self.gap)),
    }
  }

  /// Address to which demand is reported; `None` if there is no known holder.
  pub fn holder(&self) -> Option<SocketAddr> {
    let record = self.observed.as_ref()?.record.as_ref()?;
    (!record.released).then_some(record.address)
  }

  /// Number of machines that the lease's record lists, including its holder.
  pub fn listed_machines(&self) -> usize {
    let record = self
      .observed
      .as_ref()
      .and_then(|observed| observed.record.as_ref());
    record.map_or(0, |record| record.machines.len() + 1)
  }

  /// The heartbeat for other instances; `None` if this machine is not the last holder.
  pub fn heartbeat(&self, now: u64) -> Option<Heartbeat> {
    let held = self.held.as_ref()?;
    Some(Heartbeat {
      machine: self.machine.clone(),
      revision: self.observed.as_ref()?.revision,
      age_ms: now.saturating_sub(held.valid_until.saturating_sub(self.duration)),
      term: held.term,
    })
  }

  /// Applies the holder's heartbeat, received from `address`.
  pub fn receive(&mut self, now: u64, heartbeat: Heartbeat, address: SocketAddr) {
    let known = self.observed.as_ref();
    let known = known.map_or(Revision::default(), |observed| observed.revision);
    if heartbeat.revision < known {
      return;
    }
    self.holder_seen_at = now;
    let since = now.saturating_sub(heartbeat.age_ms);
    if heartbeat.revision == known {
      return;
    }
    let record = Record {
      machine: heartbeat.machine,
      address,
      term: heartbeat.term,
      renewal: 0,
      released: false,
      machines: BTreeSet::new(),
      era: heartbeat.revision.era,
    };
    self.release_unless_held(now, &record, false);
    self.observed = Some(Observation {
      record: Some(record),
      revision: heartbeat.revision,
      first_seen_at: since,
      machines_known: false,
    });
  }

  /// Sets the machines that reported recently.
  pub fn set_machines(&mut self, machines: BTreeSet<u32>) {
    self.machines = machines;
  }

  /// The next request for promises to all other machines; `None` unless a renewal is late and a
  /// round is due.
  pub fn next_promise_request(&mut self, now: u64) -> Option<Request> {
    let (duration, held) = (self.duration, self.held.as_mut()?);
    let late_at = held.promises_due_at(duration);
    let needs_promises = now >= late_at && now < held.renewed_at + MAX_EXTENSION_MS;
    if !needs_promises || now < held.rounds.due() {
      return None;
    }
    Some(Request {
      term: held.term,
      extends: held.can_extend(now),
      round: held.rounds.start(now),
    })
  }

  /// Answers a holder's request. Returns a promise only if no call of this machine, past or
  /// pending, can acquire the lease before the promise expires.
  pub fn promise(&mut self, now: u64, request: Request) -> Option<Promise> {
    let observed = self.observed.as_ref()?;
    let record = observed.record.as_ref()?;
    // A record from an older copy may name a holder that has been replaced since.
    let is_latest = !observed.is_stale() && request.term >= self.highest_term;
    let is_holder = is_latest && record.term == request.term && record.machine != self.machine;
    let acquiring = !self.acquire_settled || matches!(self.pending_call, Some((_, true)));
    if !(request.extends && is_holder) || record.released || acquiring || self.held.is_some() {
      return None;
    }
    self.promised_until = now + self.exclusive_ms();
    self.holder_seen_at = now;
    Some(Promise {
      machine: short_hash(&self.machine),
      term: request.term,
      round: request.round,
    })
  }

  /// Applies a machine's promise. Orders may be sent for the lease duration after the start of the
  /// last round in which all machines that could acquire the lease have promised.
  pub fn receive_promise(&mut self, promise: &Promise) {
    let duration = self.duration;
    let Some(held) = self.held.as_mut().filter(|held| held.term == promise.term) else {
      return;
    };
    if let Some(round_started_at) = held.rounds.record_promise(promise, &held.candidates) {
      let limit = held.renewed_at + MAX_EXTENSION_MS;
      held.valid_until = held
        .valid_until
        .max((round_started_at + duration).min(limit));
    }
  }

  /// Drops this machine's lease if `record` shows another holder. A lease that a restore of the
  /// store may have lost is kept until it expires, because no other machine can have acquired it
  /// since.
  fn release_unless_held(&mut self, now: u64, record: &Record, stale: bool) {
    self.highest_term = self.highest_term.max(record.term);
    let exclusive_ms = self.exclusive_ms();
    let still_held = |held: &Held| match stale {
      true => held.is_exclusive(now, exclusive_ms) && record.term <= held.term,
      false => record.machine == self.machine && record.term == held.term,
    };
    if !self.held.as_ref().is_some_and(still_held) {
      self.held = None;
    }
  }

  /// Time after a renewal during which no other machine acquires the lease, in milliseconds.
  fn exclusive_ms(&self) -> u64 {
    self.duration + self.gap
  }
}
