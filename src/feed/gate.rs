//! Who asks the store for a kind's changes: one instance watches for many, and each of the
//! others asks by itself when that one's updates are old or name a change that it lacks.

use crate::{feed::Batch, hub::lock, store::Object};
use serde::{Deserialize, Serialize};
use std::{
  collections::VecDeque,
  sync::{Condvar, Mutex},
  time::{Duration, Instant},
};

/// Another instance's word counts for this long after the store last answered that
/// instance; then this one watches by itself. The holder of a lease hears from the
/// store every 750 ms; with the watch that follows, a change that the holder is cut off
/// from arrives within 1.5 s, and deployments give two.
const STALE: Duration = Duration::from_millis(1_300);

/// A change that the holder named is waited for this long, ms; then this instance watches
/// by itself: its datagram was lost, or was too large for one.
const BATCH: Duration = Duration::from_millis(50);

/// Batches kept that do not fit yet.
const OFFERED: usize = 16;

/// The next call, or what takes its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Next {
  /// Read everything.
  All,
  /// Watch from a revision; `there`: a change is known to be there.
  Watch { revision: u64, there: bool },
  /// Take up what another instance read.
  Take(Batch),
}

/// How far an instance has followed a kind, for the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
  /// The store's revision up to which everything is known.
  pub revision: u64,
  /// Revision of the last change that matters to others.
  pub changed: u64,
  /// Since the store's last answer, ms.
  pub age_ms: u64,
}

#[derive(Debug, Default)]
struct State {
  revision: u64,
  changed: u64,
  /// Another instance's word, and when the store last answered that instance.
  holder: Option<(Progress, Instant)>,
  /// This instance must watch by itself: others go by its word.
  leads: bool,
  /// Changes that did not matter were passed over: all is to be read.
  skipped: bool,
  /// Read here, for the other instances.
  published: Vec<Batch>,
  /// Read by the instance that watches for this one.
  offered: VecDeque<Batch>,
  /// Since when a change is known to be lacking.
  lacking: Option<Instant>,
  /// When the store last answered this instance, or one whose word it goes by.
  answered: Option<Instant>,
  /// The longest time between two such answers since it was last looked at.
  silence: Duration,
}

impl State {
  /// The next batch that goes on from what is known here.
  fn next_batch(&mut self) -> Option<Batch> {
    let revision = self.revision;
    self.offered.retain(|batch| batch.revision > revision);
    let next = self
      .offered
      .iter()
      .position(|batch| batch.follows(revision))?;
    // What did not matter to its reader may be missing before it.
    self.skipped = true;
    self.offered.remove(next)
  }

  fn hear(&mut self, answered: Instant) {
    if let Some(before) = self.answered {
      let silence = answered.saturating_duration_since(before);
      self.silence = self.silence.max(silence);
    }
    self.answered = self.answered.max(Some(answered));
  }
}

/// Lets one instance watch a kind for many: the others watch by themselves only
/// when its word names a change that they do not know of, or falls silent.
#[derive(Debug, Default)]
pub struct Gate {
  state: Mutex<State>,
  changed: Condvar,
}

impl Gate {
  /// What other instances go by; `age_ms`: since the store last answered it.
  pub fn progress(&self, age_ms: u64) -> Progress {
    let state = lock(&self.state);
    Progress {
      revision: state.revision,
      changed: state.changed,
      // Before the first answer nothing is known.
      age_ms: if state.revision == 0 {
        u64::MAX
      } else {
        age_ms
      },
    }
  }

  /// Takes up another instance's word.
  pub fn follow(&self, progress: Progress) {
    let mut state = lock(&self.state);
    let age = Duration::from_millis(progress.age_ms);
    let Some(answered) = Instant::now().checked_sub(age).filter(|_| age < STALE) else {
      return;
    };
    if progress.changed <= state.revision {
      // Nothing between that matters here.
      state.skipped |= progress.revision > state.revision;
      state.revision = state.revision.max(progress.revision);
    }
    state.holder = Some((progress, answered));
    state.hear(answered);
    self.changed.notify_all();
  }

  /// Whether others go by this instance's word.
  pub fn lead(&self, leads: bool) {
    let mut state = lock(&self.state);
    if state.leads != leads {
      state.leads = leads;
      self.changed.notify_all();
    }
  }

  /// Takes up changes that the instance that watches for this one has read.
  pub fn offer(&self, batch: Batch) {
    let mut state = lock(&self.state);
    if state.leads {
      return;
    }
    state.offered.push_back(batch);
    if state.offered.len() > OFFERED {
      state.offered.pop_front();
    }
    self.changed.notify_all();
  }

  /// Changes read here that other instances have not been sent.
  pub fn published(&self) -> Vec<Batch> {
    std::mem::take(&mut lock(&self.state).published)
  }

  /// Waits until a call is needed, or changes were offered, and says which.
  pub(super) fn wait(&self) -> Next {
    let mut state = lock(&self.state);
    loop {
      if state.leads && state.skipped {
        state.skipped = false;
        return Next::All;
      }
      let watch = Next::Watch {
        revision: state.revision,
        there: false,
      };
      let (false, Some((progress, answered))) = (state.leads, state.holder) else {
        return watch;
      };
      if let Some(batch) = state.next_batch() {
        state.lacking = None;
        return Next::Take(batch);
      }
      let Some(mut left) = STALE.checked_sub(answered.elapsed()) else {
        return watch;
      };
      if progress.changed > state.revision {
        let lacking = state.lacking.get_or_insert_with(Instant::now).elapsed();
        let Some(patience) = BATCH.checked_sub(lacking) else {
          state.lacking = None;
          return Next::Watch {
            revision: state.revision,
            there: true,
          };
        };
        left = left.min(patience);
      }
      let waited = self.changed.wait_timeout(state, left);
      state = waited.map_or_else(|poisoned| poisoned.into_inner().0, |waited| waited.0);
    }
  }

  /// What came of a call, or of changes that were offered.
  pub(super) fn answered(&self, revision: u64, matters: bool) {
    let mut state = lock(&self.state);
    state.revision = state.revision.max(revision);
    if matters {
      state.changed = state.changed.max(revision);
    }
  }

  /// Keeps what was read here for the other instances, where they go by it.
  pub(super) fn publish(&self, range: (u64, u64), objects: &[(Object, bool)]) {
    let mut state = lock(&self.state);
    if !state.leads {
      return;
    }
    let since = state.changed;
    let batch = Batch::open(since, range, objects);
    state.published.extend(batch);
  }

  /// Since the store last answered, as far as known here; none: it never has.
  pub(super) fn age(&self) -> Option<Duration> {
    lock(&self.state)
      .answered
      .map(|answered| answered.elapsed())
  }

  /// The store has answered: the longest time without an answer since this was last
  /// asked, as far as known here.
  pub(super) fn heard(&self) -> Duration {
    let mut state = lock(&self.state);
    state.hear(Instant::now());
    std::mem::take(&mut state.silence)
  }
}
