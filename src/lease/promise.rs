//! Extends a lease while the store does not respond to the holder: every other machine that could
//! acquire the lease promises not to, for as long as it would wait after a renewal.
//!
//! The lease record lists the machines known to the holder. A listed machine may acquire the lease
//! soon after it stops receiving heartbeats, so its promise is required. A machine that is not
//! listed waits until no extension can be in force any more. A machine whose own acquisition may
//! still reach the store gives no promise. docs/PLATFORM.md explains why the orders of two holders
//! stay apart.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Maximum time after the last renewal for which a holder continues without the store.
pub(crate) const MAX_EXTENSION_MS: u64 = 20_000;
/// A write that got no response, or whose sender has ended, takes effect within this time or never
/// (docs/DESIGN.md, timing assumptions).
pub(crate) const MAX_WRITE_DELAY_MS: u64 = 10_000;
/// Maximum age of a copy from which the store is restored. The copy contains every older
/// acquisition and every older list of machines. A more recent acquisition is therefore not
/// extended, and machines listed in a more recent record must promise too.
pub(crate) const MAX_COPY_AGE_MS: u64 = 10_000;
/// Interval between rounds of promise requests; an extension covers several rounds.
const ROUND_INTERVAL_MS: u64 = 200;
/// Number of recent rounds whose promises are still accepted.
const MAX_ROUNDS: usize = 16;

/// Hash of a machine's name, small enough to list hundreds of machines in a record.
pub fn short_hash(machine: &str) -> u32 {
  crate::backend::short_hash(machine)
}

/// Request to a machine not to acquire the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
  pub term: u64,
  pub round: u32,
  /// Whether a promise is requested; if not, only the time since the store last responded is.
  pub extends: bool,
}

/// A machine's promise not to acquire the lease while the holder of `term` extends it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
  pub machine: u32,
  pub term: u64,
  pub round: u32,
}

/// Machines whose promise a holder requires: those listed in each record that it wrote, or may have
/// written, recently enough to be missing from a copy of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Candidates {
  /// Time at which each machine was last listed, in milliseconds.
  listed_at: BTreeMap<u32, u64>,
}

impl Candidates {
  /// Adds the machines of a record that is written at `now`.
  pub(crate) fn add(&mut self, now: u64, machines: &BTreeSet<u32>) {
    let listed = machines.iter().map(|machine| (*machine, now));
    self.listed_at.extend(listed);
  }

  /// Removes machines last listed at least [`MAX_COPY_AGE_MS`] before `sent`, the time of a write
  /// that succeeded.
  pub(crate) fn prune(&mut self, sent: u64) {
    self.listed_at.retain(|_, at| sent < *at + MAX_COPY_AGE_MS);
  }
}

/// The holder's rounds of promise requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Rounds {
  /// Recent rounds with their start times in milliseconds, oldest first.
  recent: VecDeque<(u32, u64)>,
  /// The last round in which each machine gave a promise.
  last_answered: BTreeMap<u32, u32>,
  /// Number of the last round; 0 if there was none.
  last_number: u32,
}

impl Rounds {
  /// Time at which the next round is due, in milliseconds.
  pub(crate) fn due(&self) -> u64 {
    self
      .recent
      .back()
      .map_or(0, |(_, started_at)| started_at + ROUND_INTERVAL_MS)
  }

  /// Starts a round and returns its number.
  pub(crate) fn start(&mut self, now: u64) -> u32 {
    self.last_number += 1;
    self.recent.push_back((self.last_number, now));
    if self.recent.len() > MAX_ROUNDS {
      self.recent.pop_front();
    }
    self.last_number
  }

  /// Records a promise. Returns the start time of the last round in which all `candidates`
  /// promised; `None` if there is no such round.
  pub(crate) fn record_promise(
    &mut self,
    promise: &Promise,
    candidates: &Candidates,
  ) -> Option<u64> {
    let last = self.last_answered.entry(promise.machine).or_default();
    *last = promise.round.max(*last);
    let answered = candidates.listed_at.keys();
    let answered = answered.map(|machine| self.last_answered.get(machine));
    let common = answered.min().flatten().copied()?;
    let complete = self.recent.iter().rev().find(|(round, _)| *round <= common);
    complete.map(|(_, started_at)| *started_at)
  }
}
