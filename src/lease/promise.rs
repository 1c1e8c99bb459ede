//! How a holder goes on while the store does not answer it: every other machine that
//! could take the lease promises not to, for as long as it would wait after a renewal.
//!
//! The lease's record lists the machines that the holder has heard of. A listed machine
//! may take the lease soon after the holder falls silent, so its promise is needed; one
//! that is not listed waits until no extension can be in force any more. A machine whose
//! own taking may still reach the store promises nothing. docs/PLATFORM.md argues why
//! orders of two holders keep their distance.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A holder goes on without the store for at most this long after its last renewal, ms.
pub(crate) const EXTENSION_MS: u64 = 20_000;
/// A write without answer, or one whose sender has ended, takes effect within this time
/// or never, ms (docs/DESIGN.md, timing assumptions).
pub(crate) const LATE_WRITE_MS: u64 = 10_000;
/// A copy from which the store comes back is younger than this, ms. It shows every taking and every
/// list of machines that is older; so a younger taking is not extended, and machines that a younger
/// record listed are asked too.
pub(crate) const COPY_MS: u64 = 10_000;
/// Pause between two rounds of questions, ms: an extension lasts several.
const ROUND_MS: u64 = 200;
/// Rounds whose answers still count.
const ROUNDS: usize = 16;

/// A machine's name, short enough to be listed for each of hundreds.
pub fn short_hash(machine: &str) -> u32 {
  crate::backend::short_hash(machine)
}

/// Asks a machine not to take the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
  pub term: u64,
  pub round: u32,
  /// A promise is asked for; otherwise only when the store answered others.
  pub extends: bool,
}

/// A machine's promise not to take the lease from the holder of a term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Promise {
  pub machine: u32,
  pub term: u64,
  pub round: u32,
}

/// Machines whose promise a holder needs: those of each record that it wrote, or may have written,
/// within the time that a copy may lack.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Needed {
  /// When each was last listed, ms.
  machines: BTreeMap<u32, u64>,
}

impl Needed {
  /// A record that lists some machines is written.
  pub(crate) fn list(&mut self, now: u64, machines: &BTreeSet<u32>) {
    let listed = machines.iter().map(|machine| (*machine, now));
    self.machines.extend(listed);
  }

  /// A record has surely been written after those that were long before.
  pub(crate) fn written(&mut self, sent: u64) {
    self.machines.retain(|_, at| sent < *at + COPY_MS);
  }
}

/// The holder's rounds of questions.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Rounds {
  /// Rounds and when each was begun, ms.
  sent: VecDeque<(u32, u64)>,
  /// The last round that each machine answered.
  answered: BTreeMap<u32, u32>,
  next: u32,
}

impl Rounds {
  /// When the next round is due, ms.
  pub(crate) fn due(&self) -> u64 {
    self.sent.back().map_or(0, |(_, sent)| sent + ROUND_MS)
  }

  /// Begins a round.
  pub(crate) fn begin(&mut self, now: u64) -> u32 {
    self.next += 1;
    self.sent.push_back((self.next, now));
    if self.sent.len() > ROUNDS {
      self.sent.pop_front();
    }
    self.next
  }

  /// Takes up an answer; gives when the last round began that all of `needed` answered.
  pub(crate) fn answer(&mut self, promise: &Promise, needed: &Needed) -> Option<u64> {
    let last = self.answered.entry(promise.machine).or_default();
    *last = promise.round.max(*last);
    let answers = needed.machines.keys();
    let answers = answers.map(|machine| self.answered.get(machine));
    let all = answers.min().flatten().copied()?;
    let whole = self.sent.iter().rev().find(|(round, _)| *round <= all);
    whole.map(|(_, sent)| *sent)
  }
}
