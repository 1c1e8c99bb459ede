//! Tracks when the platform's store responded to any instance, as far as this instance knows, to
//! distinguish an outage of the store from a lost connection of this instance.

use crate::{clock::Moment, hub::lock};
use std::{
  collections::VecDeque,
  sync::{Condvar, Mutex},
  time::Duration,
};

/// Shorter gaps without a response say nothing about servers, which write their entries about every
/// second.
const MIN_GAP: Duration = Duration::from_millis(1_000);
/// Maximum number of gaps kept, more than any series of failed calls needs.
const MAX_GAPS: usize = 8;
/// Maximum number of failed calls kept.
const MAX_FAILURES: usize = 32;

/// A period in which the store responded to no instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gap {
  from: Moment,
  to: Moment,
}

/// The longest period in which the store responded to no instance, during a series of failed calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Outage {
  pub length: Duration,
  /// Time since an instance received a response again.
  pub since_recovery: Duration,
  /// Time since this instance started the last failed call before that.
  pub since_failure: Duration,
}

#[derive(Debug, Default)]
struct State {
  /// The first known response to any instance. Before it, the store may have been unavailable.
  first_response: Option<Moment>,
  /// The last response to any instance.
  last_response: Option<Moment>,
  /// The last response to this instance, or to the instance whose progress it follows, other than
  /// rejections.
  last_own_response: Option<Moment>,
  gaps: VecDeque<Gap>,
  /// When this instance started calls that failed.
  failures: VecDeque<Moment>,
}

/// What is known of the store's responses.
#[derive(Debug, Default)]
pub struct Reachability {
  state: Mutex<State>,
  changed: Condvar,
}

impl State {
  fn record(&mut self, at: Moment) {
    match self.last_response {
      Some(last) if at <= last => self.record_earlier(at),
      Some(last) => {
        self.push_gap(Gap { from: last, to: at });
        self.last_response = Some(at);
      }
      None => {
        self.first_response = Some(at);
        self.last_response = Some(at);
      }
    }
  }

  /// Records a response that becomes known after later ones.
  fn record_earlier(&mut self, at: Moment) {
    match self.first_response {
      Some(first) if at < first => {
        self.push_gap(Gap {
          from: at,
          to: first,
        });
        self.first_response = Some(at);
      }
      _ => self.split_gap(at),
    }
  }

  /// Splits a gap when a response within it becomes known later.
  fn split_gap(&mut self, at: Moment) {
    let within = |gap: &Gap| gap.from < at && at < gap.to;
    let Some(index) = self.gaps.iter().position(within) else {
      return;
    };
    let Some(gap) = self.gaps.remove(index) else {
      return;
    };
    self.push_gap(Gap { to: at, ..gap });
    self.push_gap(Gap { from: at, ..gap });
  }

  fn push_gap(&mut self, gap: Gap) {
    if gap.to - gap.from < MIN_GAP {
      return;
    }
    self.gaps.push_back(gap);
    if self.gaps.len() > MAX_GAPS {
      self.gaps.pop_front();
    }
  }

  fn outage(&self, gap: Gap) -> Outage {
    let before_end = |started: &&Moment| **started <= gap.to;
    let last = self.failures.iter().filter(before_end).max();
    let last = last.copied().unwrap_or(gap.from);
    let within = self.failures.iter().filter(before_end);
    let within = within.filter(|started| **started >= gap.from).count();
    Outage {
      // A single call may have been lost in transit and says nothing about the time before it.
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
  /// Records a response to this instance, or to the instance whose progress it follows.
  pub fn record_response(&self, at: Moment) {
    let mut state = lock(&self.state);
    state.record(at);
    state.last_own_response = state.last_own_response.max(Some(at));
    self.changed.notify_all();
  }

  /// Records that the store rejected a call of this instance: it responds, but it serves nothing to
  /// those that wait for a response.
  pub fn record_rejection(&self, at: Moment) {
    lock(&self.state).record(at);
  }

  /// Records a response to another instance.
  pub fn record_peer_response(&self, at: Moment) {
    lock(&self.state).record(at);
  }

  /// Records that a call of this instance has failed.
  pub fn record_failure(&self, started: Moment) {
    let mut state = lock(&self.state);
    state.failures.push_back(started);
    if state.failures.len() > MAX_FAILURES {
      state.failures.pop_front();
    }
  }

  /// Time since the last response to any instance; `None` if there was none.
  pub fn age(&self) -> Option<Duration> {
    lock(&self.state).last_response.map(Moment::elapsed)
  }

  /// Whether the store has served this instance since a moment.
  pub fn responded_since(&self, moment: Moment) -> bool {
    lock(&self.state).last_own_response > Some(moment)
  }

  /// Waits until the store serves this instance after a moment, at most for `timeout`.
  pub fn wait_for_response(&self, moment: Moment, timeout: Duration) {
    let state = lock(&self.state);
    let waiting = |state: &mut State| state.last_own_response <= Some(moment);
    // The caller treats a response and a timeout alike, and no thread panics while holding the
    // lock.
    let _ = self.changed.wait_timeout_while(state, timeout, waiting);
  }

  /// End of the last outage of at least `min` that ended by `moment`. The time before the first
  /// known response counts as one. `None` if no response by that moment is known.
  pub fn last_outage_end(&self, moment: Moment, min: Duration) -> Option<Moment> {
    let state = lock(&self.state);
    let gaps = state.gaps.iter().filter(|gap| gap.to - gap.from >= min);
    let ends = gaps.map(|gap| gap.to).chain(state.first_response);
    ends.filter(|end| *end <= moment).max()
  }

  /// The longest period without a response to any instance that had not ended before a moment.
  pub fn longest_outage(&self, since: Moment) -> Outage {
    let state = lock(&self.state);
    let gaps = state.gaps.iter().filter(|gap| gap.to >= since);
    let outages = gaps.map(|gap| state.outage(*gap));
    let longest = outages.max_by_key(|outage| outage.length);
    longest.unwrap_or_else(|| Outage {
      since_failure: since.elapsed(),
      ..Outage::default()
    })
  }
}
