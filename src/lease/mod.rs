//! The lease under which one machine gives orders to a group of backend servers.
//!
//! It lies in the platform's store. Its holder stops giving orders `length` after
//! it began to write its last renewal; another machine takes it only `length` and
//! `gap` after it learnt of that renewal, so that their orders lie `gap` apart
//! however slow either is. All times are on the steady clock, which goes on while
//! a process is frozen: a holder that wakes up finds its time over.
//!
//! The store may come back from an older copy. A record of an earlier era than the store's is the
//! copy's, and takings since may be lost: nobody goes by it but to wait as long as any holder that
//! it does not name may order. A holder whose time is not over goes on, and writes the lease again.

pub mod promise;
mod record;

pub use record::{Heartbeat, Record};

use crate::{
  lease::{
    promise::{EXTENSION_MS, LATE_WRITE_MS, Needed, Promise, Request, Rounds, short_hash},
    record::{Held, Seen},
  },
  store::{Error, Object, Result, Revision},
};
use std::{collections::BTreeSet, net::SocketAddr};

/// The holder's time, as a part of the gap between two holders' orders: long
/// enough for a slow store to answer, short enough to be taken over soon.
const LENGTH_PERCENT: u64 = 50;
/// Renewals within the holder's time.
const RENEWALS: u64 = 2;
/// Pause between two reads by an instance that hears nothing of the holder, ms.
const READ_MS: u64 = 600;
/// That pause is doubled so often at the most while reads show nothing new: when a holder
/// was replaced, 76 instances read the lease 503 times in four seconds.
const READ_DOUBLINGS: u32 = 3;
/// Pause after a call that failed, ms.
const RETRY_MS: u64 = 150;
/// A renewal that is so late makes the holder ask for promises, ms: the store answers
/// within some milliseconds.
const ASK_MS: u64 = 250;
/// Word of the holder that is older makes an instance read the lease, ms.
const SILENT_MS: u64 = 1_200;

/// A call to make.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
  Read,
  Write { record: Record, revision: Revision },
}

/// One instance's view of a lease.
#[derive(Clone, Debug)]
pub struct Lease {
  machine: String,
  address: SocketAddr,
  length: u64,
  gap: u64,
  seen: Option<Seen>,
  held: Option<Held>,
  /// The highest term heard of.
  highest: u64,
  /// When the holder was last heard of, ms.
  heard: u64,
  /// A call is under way since, ms, and whether it takes the lease.
  calling: Option<(u64, bool)>,
  /// A write failed: only a read shows what the store holds.
  uncertain: bool,
  /// No call before this time, ms.
  rest_until: u64,
  /// Spreads takers apart, ms.
  jitter: u64,
  reluctance: u64,
  /// Machines heard of lately.
  machines: BTreeSet<u32>,
  /// No taking before this time, as promised, ms.
  promised_until: u64,
  /// When this process started, ms.
  started: u64,
  /// A taking may reach the store until this time, ms: of this process, or of an earlier
  /// one on this machine.
  taking_until: u64,
  /// Reads in a row that showed nothing new, and when the next one is due, ms.
  old_reads: u32,
  read_after: u64,
  /// The lease was read since then: no such taking has reached the store, nor will.
  clear: bool,
}

impl Lease {
  /// The view of an instance that has not read the lease; `gap` is the least time
  /// between two holders' orders, `now` when its process started, ms.
  pub fn new(machine: &str, address: SocketAddr, gap: u64, jitter: u64, now: u64) -> Self {
    Self {
      machine: machine.into(),
      address,
      length: gap * LENGTH_PERCENT / 100,
      gap,
      seen: None,
      held: None,
      highest: 0,
      heard: 0,
      calling: None,
      uncertain: false,
      rest_until: 0,
      jitter,
      reluctance: 0,
      machines: BTreeSet::new(),
      promised_until: 0,
      started: now,
      taking_until: now + LATE_WRITE_MS,
      clear: false,
      old_reads: 0,
      read_after: 0,
    }
  }

  /// The term under which orders may go out now.
  pub fn term(&self, now: u64) -> Option<u64> {
    let held = self.held.as_ref()?;
    (now < held.until).then_some(held.term)
  }

  /// Until when orders may go out, ms.
  pub fn valid_until(&self) -> u64 {
    self.held.as_ref().map_or(0, |held| held.until)
  }

  /// Where the holder hears of demand.
  pub fn holder(&self) -> Option<SocketAddr> {
    let record = self.seen.as_ref()?.record.as_ref()?;
    (!record.released).then_some(record.address)
  }

  /// The heartbeat for other instances; none: this one is not the last holder.
  pub fn heartbeat(&self, now: u64) -> Option<Heartbeat> {
    let held = self.held.as_ref()?;
    Some(Heartbeat {
      machine: self.machine.clone(),
      revision: self.seen.as_ref()?.revision,
      age_ms: now.saturating_sub(held.until.saturating_sub(self.length)),
      term: held.term,
    })
  }

  /// Takes up the holder's heartbeat, received from `address`.
  pub fn receive(&mut self, now: u64, heartbeat: Heartbeat, address: SocketAddr) {
    let known = self.seen.as_ref();
    let known = known.map_or(Revision::default(), |seen| seen.revision);
    if heartbeat.revision < known {
      return;
    }
    self.heard = now;
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
    self.compare(now, &record, false);
    self.seen = Some(Seen {
      record: Some(record),
      revision: heartbeat.revision,
      since,
      read: false,
    });
  }

  /// Takes up which machines are heard of.
  pub fn set_machines(&mut self, machines: BTreeSet<u32>) {
    self.machines = machines;
  }

  /// A question to all other machines, where a renewal is late.
  pub fn next_promise_request(&mut self, now: u64) -> Option<Request> {
    let (length, held) = (self.length, self.held.as_mut()?);
    let late = held.asks_from(length);
    let asks = now >= late && now < held.renewed + EXTENSION_MS;
    if !asks || now < held.rounds.due() {
      return None;
    }
    Some(Request {
      term: held.term,
      extends: held.extends(now),
      round: held.rounds.begin(now),
    })
  }

  /// Answers a holder's question: with a promise, where nothing that this machine does
  /// or did can take the lease before the promise is over.
  pub fn promise(&mut self, now: u64, question: Request) -> Option<Promise> {
    let seen = self.seen.as_ref()?;
    let record = seen.record.as_ref()?;
    // A copy may name a holder that others have followed.
    let last = !seen.stale() && question.term >= self.highest;
    let theirs = last && record.term == question.term && record.machine != self.machine;
    let taking = !self.clear || matches!(self.calling, Some((_, true)));
    if !(question.extends && theirs) || record.released || taking || self.held.is_some() {
      return None;
    }
    self.promised_until = now + self.kept();
    self.heard = now;
    Some(Promise {
      machine: short_hash(&self.machine),
      term: question.term,
      round: question.round,
    })
  }

  /// Takes up a machine's promise: orders may go out for the lease's length after all
  /// machines that could take it were asked.
  pub fn receive_promise(&mut self, promise: &Promise) {
    let length = self.length;
    let Some(held) = self.held.as_mut().filter(|held| held.term == promise.term) else {
      return;
    };
    if let Some(asked) = held.rounds.answer(promise, &held.needed) {
      let last = held.renewed + EXTENSION_MS;
      held.until = held.until.max((asked + length).min(last));
    }
  }

  /// Gives up what this machine holds when the lease is another holder's. One that the store's
  /// return may have lost is kept while its time lasts: nobody else can have taken it since.
  fn compare(&mut self, now: u64, record: &Record, stale: bool) {
    self.highest = self.highest.max(record.term);
    let kept = self.kept();
    let mine = |held: &Held| match stale {
      true => held.alone(now, kept) && record.term <= held.term,
      false => record.machine == self.machine && record.term == held.term,
    };
    if !self.held.as_ref().is_some_and(mine) {
      self.held = None;
    }
  }

  /// For how long after a renewal nobody else takes the lease, ms.
  fn kept(&self) -> u64 {
    self.length + self.gap
  }

  /// Holds an instance that has other leases back from taking this one, ms.
  pub fn set_acquire_delay(&mut self, reluctance: u64) {
    self.reluctance = reluctance;
  }

  /// The call to make now.
  pub fn next_call(&mut self, now: u64, stopping: bool) -> Option<Call> {
    if self.calling.is_some() || now < self.rest_until {
      return None;
    }
    let call = self.wanted(now, stopping)?;
    let takes = self.held.is_none() && matches!(call, Call::Write { .. });
    if let (Call::Write { record, .. }, Some(held)) = (&call, &mut self.held) {
      held.needed.list(now, &record.machines);
    }
    self.calling = Some((now, takes));
    Some(call)
  }

  fn wanted(&self, now: u64, stopping: bool) -> Option<Call> {
    if self.uncertain || !self.clear && now >= self.taking_until && self.held.is_none() {
      return Some(Call::Read);
    }
    if let Some(held) = &self.held {
      return self.renewal(now, held, stopping);
    }
    if stopping {
      return None;
    }
    let Some(seen) = &self.seen else {
      return Some(Call::Read);
    };
    if now >= self.free_at(seen) {
      return Some(match seen.read || seen.record.is_none() {
        true => self.taking(seen),
        false => Call::Read,
      });
    }
    let silent = now >= self.silent_at(seen);
    silent.then_some(Call::Read)
  }

  fn renewal(&self, now: u64, held: &Held, stopping: bool) -> Option<Call> {
    if !stopping && now < held.renewed + self.length / RENEWALS {
      return None;
    }
    let seen = self.seen.as_ref()?;
    let renewal = seen.record.as_ref().map_or(0, |record| record.renewal);
    let record = Record {
      renewal: renewal + 1,
      released: stopping,
      machines: self.others(),
      ..self.record(held.term, seen.revision.era)
    };
    Some(Call::Write {
      record,
      revision: seen.revision,
    })
  }

  /// When the lease is read because its holder is not heard of, ms.
  fn silent_at(&self, seen: &Seen) -> u64 {
    let silent = self.heard.max(seen.since) + SILENT_MS;
    silent.max(self.read_after)
  }

  /// When the lease may be taken, ms.
  fn free_at(&self, seen: &Seen) -> u64 {
    let spread = self.jitter + self.reluctance;
    let free = match &seen.record {
      None if seen.revision.era == 0 => seen.since + self.reluctance,
      // The first taking may be lost.
      None => seen.since.max(self.started) + self.kept() + spread,
      // This machine's own earlier process has ended; takings since may be lost with a copy.
      Some(record) if record.machine == self.machine && !seen.stale() => 0,
      Some(record) if record.released && !seen.stale() => seen.since + self.gap + spread,
      Some(record) => {
        let own = short_hash(&self.machine);
        let listed =
          !seen.read || short_hash(&record.machine) == own || record.machines.contains(&own);
        let extension = if listed { 0 } else { EXTENSION_MS };
        // An earlier process on this machine may have promised until it ended.
        seen.since.max(self.started) + extension + self.length + self.gap + spread
      }
    };
    free.max(self.promised_until)
  }

  /// Machines heard of, but this one.
  fn others(&self) -> BTreeSet<u32> {
    let mut others = self.machines.clone();
    others.remove(&short_hash(&self.machine));
    others
  }

  fn taking(&self, seen: &Seen) -> Call {
    // Those that the last holder knew of are likely to be there.
    let mut machines = self.others();
    if let Some(record) = &seen.record {
      machines.extend(&record.machines);
      machines.insert(short_hash(&record.machine));
      machines.remove(&short_hash(&self.machine));
    }
    let term = seen.next_term();
    Call::Write {
      record: Record {
        machines,
        ..self.record(term, seen.revision.era)
      },
      revision: seen.revision,
    }
  }

  /// A record of this machine's own.
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

  /// When to look for a call again, ms.
  pub fn due(&self, now: u64) -> u64 {
    let asked = self.held.as_ref().map_or(u64::MAX, |held| {
      let late = held.asks_from(self.length);
      match now < held.renewed + EXTENSION_MS {
        true => late.max(held.rounds.due()),
        false => u64::MAX,
      }
    });
    let called = self.call_due(now);
    called.min(asked).max(now)
  }

  fn call_due(&self, now: u64) -> u64 {
    if self.calling.is_some() {
      return now + READ_MS;
    }
    if self.uncertain {
      return self.rest_until.max(now);
    }
    let due = match (&self.held, &self.seen) {
      (None, _) if !self.clear && now >= self.taking_until => now,
      (Some(held), _) => held.renewed + self.length / RENEWALS,
      (None, None) => now,
      (None, Some(seen)) => self.free_at(seen).min(self.silent_at(seen)),
    };
    due.max(self.rest_until).max(now)
  }

  /// Takes up the outcome of a call; true: this machine has just taken the lease.
  pub fn record_call_result(&mut self, now: u64, call: &Call, result: Result<Object>) -> bool {
    let (sent, takes) = self.calling.take().unwrap_or((now, false));
    match (call, result) {
      (Call::Read, result) => {
        self.clear |= result.is_ok() && sent >= self.taking_until;
        self.read(now, result);
        false
      }
      (Call::Write { record, .. }, Ok(object)) => self.written(now, sent, record, &object),
      (Call::Write { .. }, Err(error)) => {
        if takes && error.may_have_run() {
          self.taking_until = now + LATE_WRITE_MS;
          self.clear = false;
        }
        self.uncertain = true;
        self.rest_until = now + RETRY_MS;
        false
      }
    }
  }

  fn written(&mut self, now: u64, sent: u64, record: &Record, object: &Object) -> bool {
    if self
      .seen
      .as_ref()
      .is_some_and(|seen| seen.revision > object.revision)
    {
      // Another holder has been heard of since.
      return false;
    }
    self.highest = self.highest.max(record.term);
    self.seen = Some(Seen {
      record: Some(record.clone()),
      revision: object.revision,
      since: now,
      read: true,
    });
    if record.era < object.revision.era {
      // Formed before the store's return, it met another object under the same number.
      self.uncertain = true;
      let kept = self.kept();
      self.held.take_if(|held| !held.alone(now, kept));
      return false;
    }
    if record.released {
      self.held = None;
      return false;
    }
    let before = self.held.take();
    let new = before.is_none();
    let (taken, mut needed, rounds) = match before {
      Some(held) => (held.taken, held.needed, held.rounds),
      None => (now, Needed::default(), Rounds::default()),
    };
    needed.list(sent, &record.machines);
    needed.written(sent);
    self.held = Some(Held {
      term: record.term,
      until: sent + self.length,
      renewed: sent,
      taken,
      needed,
      rounds,
    });
    new
  }

  fn read(&mut self, now: u64, result: Result<Object>) {
    self.rest_until = now + READ_MS;
    match result {
      Ok(object) => {
        self.uncertain = false;
        self.learn(now, object);
      }
      Err(Error::Absent { era }) => {
        self.uncertain = false;
        self.rest_until = now;
        self.absent(now, era);
      }
      // Without an answer nothing new is known.
      Err(_) => self.rest_until = now + RETRY_MS,
    }
  }

  /// There is no lease: nobody ever took it, or its takings are lost.
  fn absent(&mut self, now: u64, era: u64) {
    let revision = Revision::first(era);
    let known = self.seen.take();
    let lost = known.filter(|seen| seen.record.is_some() && seen.revision.era < era);
    let kept = self.kept();
    self
      .held
      .take_if(|held| lost.is_none() || !held.alone(now, kept));
    self.seen = Some(Seen {
      record: lost.and_then(|seen| seen.record),
      revision,
      since: now,
      read: true,
    });
  }

  fn learn(&mut self, now: u64, object: Object) {
    let known = self.seen.as_ref().map(|seen| (seen.revision, seen.read));
    let newer = (object.revision, true);
    if known.is_some_and(|known| known >= newer) {
      self.read_after = now + (READ_MS << self.old_reads.min(READ_DOUBLINGS));
      self.old_reads += 1;
      return;
    }
    self.old_reads = 0;
    let Ok(record) = serde_json::from_value::<Record>(object.spec) else {
      // Not a record of this version: whoever wrote it goes on holding it.
      return;
    };
    let stale = record.era < object.revision.era;
    self.compare(now, &record, stale);
    let known = self.seen.take();
    let since = known.filter(|seen| seen.revision == object.revision);
    self.seen = Some(Seen {
      record: Some(record),
      revision: object.revision,
      since: since.map_or(now, |seen| seen.since),
      read: true,
    });
    self.rest_until = now;
  }
}
