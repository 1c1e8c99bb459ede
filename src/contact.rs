//! When the platform's store answered anybody, as far as this instance knows: it
//! distinguishes a silence of the store from one's own.

use crate::{clock::Moment, hub::lock};
use std::{
  collections::VecDeque,
  sync::{Condvar, Mutex},
  time::Duration,
};

/// Shorter times without an answer say nothing of servers: they write their entries about
/// every second.
const LEAST: Duration = Duration::from_millis(1_000);
/// Times without an answer that are kept: longer than any row of failed calls needs.
const GAPS: usize = 8;
/// Failed calls that are kept.
const FAILURES: usize = 32;

/// A time in which the store answered nobody.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gap {
  from: Moment,
  to: Moment,
}

/// The longest time in which the store answered nobody, beside some failed calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
  pub length: Duration,
  /// Since somebody was answered again.
  pub since_recovery: Duration,
  /// Since this instance began the last call that failed before it.
  pub since_failure: Duration,
}

#[derive(Debug, Default)]
struct State {
  /// The last answer to anybody.
  answered: Option<Moment>,
  /// The last answer to this instance, or to the one whose progress it goes by.
  reached: Option<Moment>,
  gaps: VecDeque<Gap>,
  /// When this instance began calls that failed.
  failures: VecDeque<Moment>,
}

/// What is known of the store's answers.
#[derive(Debug, Default)]
pub struct Reachability {
  state: Mutex<State>,
  changed: Condvar,
}

impl State {
  fn hear(&mut self, at: Moment) {
    match self.answered {
      Some(before) if at <= before => self.split(at),
      Some(before) => {
        self.keep(Gap {
          from: before,
          to: at,
        });
        self.answered = Some(at);
      }
      None => self.answered = Some(at),
    }
  }

  /// An answer becomes known within a time that passed for one without any.
  fn split(&mut self, at: Moment) {
    let within = |gap: &Gap| gap.from < at && at < gap.to;
    let Some(index) = self.gaps.iter().position(within) else {
      return;
    };
    let Some(gap) = self.gaps.remove(index) else {
      return;
    };
    self.keep(Gap { to: at, ..gap });
    self.keep(Gap { from: at, ..gap });
  }

  fn keep(&mut self, gap: Gap) {
    if gap.to - gap.from < LEAST {
      return;
    }
    self.gaps.push_back(gap);
    if self.gaps.len() > GAPS {
      self.gaps.pop_front();
    }
  }

  fn silence(&self, gap: Gap) -> Outage {
    let failed = |began: &&Moment| **began <= gap.to;
    let last = self.failures.iter().filter(failed).max();
    let last = last.copied().unwrap_or(gap.from);
    let within = self.failures.iter().filter(failed);
    let within = within.filter(|began| **began >= gap.from).count();
    Outage {
      // A single call may be lost on its way, and says nothing of the time before it.
      length: match within {
        0 | 1 => gap.to - last.max(gap.from),
        _ => gap.to - gap.from,
      },
      since_recovery: gap.to.elapsed(),
      since_failure: last.elapsed(),
    }
  }
}

impl Reachability {
  /// The store has answered this instance, or the one whose progress it goes by.
  pub fn record_response(&self, at: Moment) {
    let mut state = lock(&self.state);
    state.hear(at);
    state.reached = state.reached.max(Some(at));
    self.changed.notify_all();
  }

  /// The store has answered another instance.
  pub fn record_peer_response(&self, at: Moment) {
    lock(&self.state).hear(at);
  }

  /// A call that this instance began at a moment has failed.
  pub fn record_failure(&self, began: Moment) {
    let mut state = lock(&self.state);
    state.failures.push_back(began);
    if state.failures.len() > FAILURES {
      state.failures.pop_front();
    }
  }

  /// Since the store last answered anybody; none: never.
  pub fn age(&self) -> Option<Duration> {
    lock(&self.state).answered.map(Moment::elapsed)
  }

  /// Whether the store has answered since a moment.
  pub fn responded_since(&self, moment: Moment) -> bool {
    lock(&self.state).reached > Some(moment)
  }

  /// Waits for an answer after a moment, at most for a time.
  pub fn wait_for_response(&self, moment: Moment, most: Duration) {
    let state = lock(&self.state);
    let waits = |state: &mut State| state.reached <= Some(moment);
    // Both ends of the wait are the same to the caller, and no holder of the lock panics.
    let _ = self.changed.wait_timeout_while(state, most, waits);
  }

  /// The longest time without an answer to anybody that had not ended before a moment.
  pub fn longest_outage(&self, since: Moment) -> Outage {
    let state = lock(&self.state);
    let gaps = state.gaps.iter().filter(|gap| gap.to >= since);
    let silences = gaps.map(|gap| state.silence(*gap));
    let longest = silences.max_by_key(|silence| silence.length);
    longest.unwrap_or_else(|| Outage {
      since_failure: since.elapsed(),
      ..Outage::default()
    })
  }
}
