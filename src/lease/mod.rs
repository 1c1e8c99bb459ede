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

pub mod promise;
mod record;

pub use record::{Heartbeat, Record};

use crate::{
  lease::{
    promise::{
      Candidates, MAX_EXTENSION_MS, MAX_WRITE_DELAY_MS, Promise, Request, Rounds, short_hash,
    },
    record::{Held, Observation},
  },
  store::{Error, Object, Result, Revision},
};
use std::{collections::BTreeSet, net::SocketAddr};

/// Lease duration as a percentage of the gap between two holders' orders: long enough for a slow
/// store to respond, short enough for a quick takeover.
const DURATION_PERCENT: u64 = 50;
/// Number of times that a holder renews the lease within its duration.
const RENEWALS_PER_DURATION: u64 = 2;
/// Interval between reads by an instance that receives no heartbeat from the holder.
const READ_INTERVAL_MS: u64 = 600;
/// Limit on how often the read interval doubles while reads return nothing new. At a fixed interval
/// 76 instances read the lease 503 times in four seconds when a holder was replaced.
const MAX_READ_DOUBLINGS: u32 = 3;
/// Minimum time between two renewals, if one is requested early.
const MIN_RENEWAL_INTERVAL_MS: u64 = 50;
/// Delay after a failed call.
const RETRY_DELAY_MS: u64 = 150;
/// Delay of a renewal after which the holder requests promises; the store usually responds within a
/// few milliseconds.
const LATE_RENEWAL_MS: u64 = 250;
/// An instance reads the lease if it received no heartbeat for this long.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_200;

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

  /// Sets how long this machine delays acquiring the lease, in milliseconds.
  pub fn set_acquire_delay(&mut self, delay: u64) {
    self.acquire_delay = delay;
  }

  /// The call to make now; `None` if none is due. `release` gives the lease up and acquires none.
  pub fn next_call(&mut self, now: u64, release: bool) -> Option<Call> {
    self.releasing = release;
    if self.pending_call.is_some() || now < self.backoff_until {
      return None;
    }
    let call = self.choose_call(now, release)?;
    let acquires = self.held.is_none() && matches!(call, Call::Write { .. });
    if let Call::Write { .. } = &call {
      self.early = false;
    }
    if let (Call::Write { record, .. }, Some(held)) = (&call, &mut self.held) {
      held.candidates.add(now, &record.machines);
    }
    self.pending_call = Some((now, acquires));
    Some(call)
  }

  fn choose_call(&self, now: u64, release: bool) -> Option<Call> {
    if self.uncertain
      || !self.acquire_settled && now >= self.acquire_in_flight_until && self.held.is_none()
    {
      return Some(Call::Read);
    }
    if let Some(held) = &self.held {
      return self.renew_call(now, held, release);
    }
    if release {
      return None;
    }
    let Some(observed) = &self.observed else {
      return Some(Call::Read);
    };
    if now >= self.acquirable_at(observed) {
      return Some(match observed.machines_known || observed.record.is_none() {
        true => self.acquire_call(observed),
        false => Call::Read,
      });
    }
    let timed_out = now >= self.holder_timeout_at(observed);
    timed_out.then_some(Call::Read)
  }

  /// Renews the lease as soon as the store's rate permits, because its record is to change.
  pub fn renew_early(&mut self) {
    self.early = true;
  }

  /// Time at which the lease is to be renewed.
  fn renewal_at(&self, held: &Held) -> u64 {
    let interval = self.duration / RENEWALS_PER_DURATION;
    let interval = match self.early {
      true => interval.min(MIN_RENEWAL_INTERVAL_MS),
      false => interval,
    };
    held.renewed_at + interval
  }

  fn renew_call(&self, now: u64, held: &Held, release: bool) -> Option<Call> {
    if !release && now < self.renewal_at(held) {
      return None;
    }
    let observed = self.observed.as_ref()?;
    let renewal = observed.record.as_ref().map_or(0, |record| record.renewal);
    let record = Record {
      renewal: renewal + 1,
      released: release,
      machines: self.other_machines(),
      ..self.record(held.term, observed.revision.era)
    };
    Some(Call::Write {
      record,
      revision: observed.revision,
    })
  }

  /// Time at which the lease is read if the holder sends no heartbeat.
  fn holder_timeout_at(&self, observed: &Observation) -> u64 {
    let timeout_at = self.holder_seen_at.max(observed.first_seen_at) + HEARTBEAT_TIMEOUT_MS;
    timeout_at.max(self.next_read_at)
  }

  /// Time from which the lease may be acquired.
  fn acquirable_at(&self, observed: &Observation) -> u64 {
    let spread = self.jitter + self.acquire_delay;
    let acquirable_at = match &observed.record {
      None if observed.revision.era == 0 => observed.first_seen_at + self.acquire_delay,
      // The store was restored and may have lost the first acquisition.
      None => observed.first_seen_at.max(self.started_at) + self.exclusive_ms() + spread,
      // The earlier process on this machine has ended. A stale record doesn't qualify, because a
      // restore may have lost later acquisitions.
      Some(record) if record.machine == self.machine && !observed.is_stale() => 0,
      Some(record) if record.released && !observed.is_stale() => {
        observed.first_seen_at + self.gap + spread
      }
      Some(record) => {
        let own = short_hash(&self.machine);
        let listed = !observed.machines_known
          || short_hash(&record.machine) == own
          || record.machines.contains(&own);
        let extension = if listed { 0 } else { MAX_EXTENSION_MS };
        // An earlier process on this machine may have given promises until it ended.
        observed.first_seen_at.max(self.started_at) + extension + self.duration + self.gap + spread
      }
    };
    acquirable_at.max(self.promised_until)
  }

  /// Machines that reported recently, except this one.
  fn other_machines(&self) -> BTreeSet<u32> {
    let mut others = self.machines.clone();
    others.remove(&short_hash(&self.machine));
    others
  }

  fn acquire_call(&self, observed: &Observation) -> Call {
    // Machines that the last holder listed are probably still running.
    let mut machines = self.other_machines();
    if let Some(record) = &observed.record {
      machines.extend(&record.machines);
      machines.insert(short_hash(&record.machine));
      machines.remove(&short_hash(&self.machine));
    }
    let term = observed.next_term();
    Call::Write {
      record: Record {
        machines,
        ..self.record(term, observed.revision.era)
      },
      revision: observed.revision,
    }
  }

  /// A record that names this machine as the holder.
  fn record(&self, term: u64, era: u64) -> Record {
    Record {
      machine: self.machine.clone(),
      address: self.address,
      term,
      renewal: 0,
      released: false,
      machines: BTreeSet::new(),
      era,
    }
  }

  /// Time of the next call or promise request.
  pub fn due(&self, now: u64) -> u64 {
    let promises_due = self.held.as_ref().map_or(u64::MAX, |held| {
      let late_at = held.promises_due_at(self.duration);
      match now < held.renewed_at + MAX_EXTENSION_MS {
        true => late_at.max(held.rounds.due()),
        false => u64::MAX,
      }
    });
    let call_due = self.next_call_at(now);
    call_due.min(promises_due).max(now)
  }

  fn next_call_at(&self, now: u64) -> u64 {
    if self.pending_call.is_some() {
      return now + READ_INTERVAL_MS;
    }
    if self.uncertain {
      return self.backoff_until.max(now);
    }
    let due = match (&self.held, &self.observed) {
      (None, _) if !self.acquire_settled && now >= self.acquire_in_flight_until => now,
      (None, _) if self.releasing => return u64::MAX,
      (Some(held), _) => self.renewal_at(held),
      (None, None) => now,
      (None, Some(observed)) => self
        .acquirable_at(observed)
        .min(self.holder_timeout_at(observed)),
    };
    due.max(self.backoff_until).max(now)
  }

  /// Applies the result of a call. Returns `true` if this machine has just acquired the lease.
  pub fn record_call_result(&mut self, now: u64, call: &Call, result: Result<Object>) -> bool {
    let (sent, acquires) = self.pending_call.take().unwrap_or((now, false));
    match (call, result) {
      (Call::Read, result) => {
        self.acquire_settled |= result.is_ok() && sent >= self.acquire_in_flight_until;
        self.apply_read(now, result);
        false
      }
      (Call::Write { record, .. }, Ok(object)) => self.apply_write(now, sent, record, &object),
      (Call::Write { .. }, Err(error)) => {
        if acquires && error.may_have_run() {
          self.acquire_in_flight_until = now + MAX_WRITE_DELAY_MS;
          self.acquire_settled = false;
        }
        self.uncertain = true;
        self.backoff_until = now + RETRY_DELAY_MS;
        false
      }
    }
  }

  fn apply_write(&mut self, now: u64, sent: u64, record: &Record, object: &Object) -> bool {
    if self
      .observed
      .as_ref()
      .is_some_and(|observed| observed.revision > object.revision)
    {
      // A newer revision was observed while the write was in progress.
      return false;
    }
    self.highest_term = self.highest_term.max(record.term);
    let predecessor = self.observed.as_ref();
    let predecessor_until = predecessor.map_or(Some(now), |observed| {
      self.orders_of_predecessor_until(sent, observed)
    });
    self.observed = Some(Observation {
      record: Some(record.clone()),
      revision: object.revision,
      first_seen_at: now,
      machines_known: true,
    });
    if record.era < object.revision.era {
      // The record was built before the store was restored and replaced a different object with the
      // same revision number.
      self.uncertain = true;
      let exclusive_ms = self.exclusive_ms();
      self
        .held
        .take_if(|held| !held.is_exclusive(now, exclusive_ms));
      return false;
    }
    if record.released {
      self.held = None;
      return false;
    }
    let previous = self.held.take();
    let acquired = previous.is_none();
    let (acquired_at, foreign_orders_until, mut candidates, rounds) = match previous {
      Some(held) => (
        held.acquired_at,
        held.foreign_orders_until,
        held.candidates,
        held.rounds,
      ),
      None => (
        now,
        predecessor_until,
        Candidates::default(),
        Rounds::default(),
      ),
    };
    candidates.add(sent, &record.machines);
    candidates.prune(sent);
    self.held = Some(Held {
      term: record.term,
      valid_until: sent + self.duration,
      renewed_at: sent,
      acquired_at,
      foreign_orders_until,
      candidates,
      rounds,
    });
    acquired
  }

  fn apply_read(&mut self, now: u64, result: Result<Object>) {
    self.backoff_until = now + READ_INTERVAL_MS;
    match result {
      Ok(object) => {
        self.uncertain = false;
        self.observe(now, object);
      }
      Err(Error::Absent { era }) => {
        self.uncertain = false;
        self.backoff_until = now;
        self.observe_absence(now, era);
      }
      // An error other than `Absent` says nothing about the lease.
      Err(_) => self.backoff_until = now + RETRY_DELAY_MS,
    }
  }

  /// Records that the store has no lease: it was never acquired, or a restore lost it.
  fn observe_absence(&mut self, now: u64, era: u64) {
    let revision = Revision::first(era);
    let previous = self.observed.take();
    let lost = previous.filter(|observed| observed.record.is_some() && observed.revision.era < era);
    let exclusive_ms = self.exclusive_ms();
    self
      .held
      .take_if(|held| lost.is_none() || !held.is_exclusive(now, exclusive_ms));
    self.observed = Some(Observation {
      record: lost.and_then(|observed| observed.record),
      revision,
      first_seen_at: now,
      machines_known: true,
    });
  }

  fn observe(&mut self, now: u64, object: Object) {
    let known = self
      .observed
      .as_ref()
      .map(|observed| (observed.revision, observed.machines_known));
    let read = (object.revision, true);
    if known.is_some_and(|known| known >= read) {
      self.next_read_at = now + (READ_INTERVAL_MS << self.unchanged_reads.min(MAX_READ_DOUBLINGS));
      self.unchanged_reads += 1;
      return;
    }
    self.unchanged_reads = 0;
    let Ok(record) = serde_json::from_value::<Record>(object.spec) else {
      // The record has an unknown format; its writer keeps the lease.
      return;
    };
    let stale = record.era < object.revision.era;
    self.release_unless_held(now, &record, stale);
    let known = self.observed.take();
    let unchanged = known.filter(|observed| observed.revision == object.revision);
    self.observed = Some(Observation {
      record: Some(record),
      revision: object.revision,
      first_seen_at: unchanged.map_or(now, |observed| observed.first_seen_at),
      machines_known: true,
    });
    self.backoff_until = now;
  }
}
