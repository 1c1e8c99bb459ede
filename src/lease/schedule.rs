//! When the lease is read, acquired and renewed.

use super::{
  Call, Lease,
  promise::{MAX_EXTENSION_MS, short_hash},
  record::{Held, Observation, Record},
};
use std::collections::BTreeSet;

/// Number of times that a holder renews the lease within its duration.
pub(super) const RENEWALS_PER_DURATION: u64 = 2;
/// Interval between reads by an instance that receives no heartbeat from the holder.
pub(super) const READ_INTERVAL_MS: u64 = 600;
/// Minimum time between two renewals, if one is requested early.
const MIN_RENEWAL_INTERVAL_MS: u64 = 50;
/// An instance reads the lease if it received no heartbeat for this long.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_200;

impl Lease {
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
}
