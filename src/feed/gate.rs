//! Decides which instances call the store for changes to a kind. One instance watches for many;
//! each other one calls the store itself when that instance's updates are too old or name a change
//! that it is missing.

use crate::{
  clock::Moment, essential::Pulse, feed::Batch, hub::lock, reachability::Reachability,
  socket::Waker, store::Object, store::Revision,
};
use serde::{Deserialize, Serialize};
use std::{
  collections::VecDeque,
  sync::{Arc, Condvar, Mutex, OnceLock},
  time::Duration,
};

/// Maximum age of another instance's progress, from the moment as of which it is confirmed; beyond
/// it this instance watches the store itself. With the holder's 300 ms watches, its pause after
/// changes and its updates every 500 ms, progress is renewed within 1.2 s. With the watch that
/// follows, a change that the holder does not receive arrives within 1.5 s; deployments allow 2 s.
const MAX_PROGRESS_AGE: Duration = Duration::from_millis(1_300);

/// Time to wait for a change that the holder announced. After that this instance watches the store
/// itself, because the datagram was lost or the change was too large for one.
const BATCH_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of received batches kept until they apply.
const MAX_RECEIVED_BATCHES: usize = 16;

/// The next call to the store, or the event that replaces it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Next {
  /// List all objects.
  List,
  /// List again objects that may be missing.
  ListAgain,
  /// Watch from a revision; `immediate` if a response is needed at once.
  Watch { revision: Revision, immediate: bool },
  /// Apply changes that another instance read.
  Apply(Batch),
  /// The instance that watches on behalf of this one reaches the store again.
  Reachable,
}

/// How far an instance has followed a kind, as sent to other instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
  /// Store revision up to which everything is known.
  pub revision: Revision,
  /// Revision of the last change that is relevant to other instances.
  pub changed: Revision,
  /// Age in ms of the moment as of which all changes are known.
  pub age_ms: u64,
}

/// What a response of the store confirms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Confirmation {
  /// All changes up to this revision are known.
  pub(super) revision: Revision,
  /// Whether any of the changes is relevant to other instances.
  pub(super) relevant: bool,
  /// All changes that the store had acknowledged by this moment are included.
  pub(super) confirmed_at: Moment,
  /// Start of the call.
  pub(super) started_at: Moment,
}

#[derive(Debug, Default)]
struct State {
  revision: Revision,
  changed: Revision,
  /// Moment as of which all changes are known. Only calls that read changes set it: when lease
  /// renewals set it too, a holder with a delayed watch appeared 750 ms old, and all other
  /// instances were 1.74 s late.
  confirmed_at: Option<Moment>,
  /// When the first response was processed here.
  first_known_at: Option<Moment>,
  /// Conservative form of `confirmed_at`: a call confirms changes as of its start, and another
  /// instance's answer confirms them as of the question. A datagram that waited in a socket while
  /// this process was suspended, or an interrupted watch, does not make the state look fresh.
  guaranteed_at: Option<Moment>,
  /// Another instance's progress, and the moment as of which it is confirmed.
  holder: Option<(Progress, Moment)>,
  /// This instance must watch the store itself because others rely on its progress.
  leading: bool,
  /// Irrelevant changes were skipped, so all objects must be listed.
  needs_list: bool,
  /// Changes read here for other instances and not yet taken for sending.
  unpublished: Vec<Batch>,
  /// Batches from the instance that watches on behalf of this one.
  received: VecDeque<Batch>,
  /// When a missing change was first noticed.
  missing_since: Option<Moment>,
  /// This instance relied on another one's progress until its last call.
  followed_holder: bool,
}

impl State {
  /// Records that everything up to a revision is known. A new era is always relevant, because
  /// instances that only know an earlier era know none of its objects.
  fn advance(&mut self, revision: Revision, relevant: bool) {
    let new_era = revision.era > self.revision.era;
    self.revision = self.revision.max(revision);
    if relevant || new_era {
      self.changed = self.changed.max(revision);
    }
  }

  /// Returns the next batch that continues from the known revision.
  fn next_batch(&mut self) -> Option<Batch> {
    let revision = self.revision;
    self.received.retain(|batch| batch.revision > revision);
    let next = self
      .received
      .iter()
      .position(|batch| batch.follows(revision))?;
    // The batch may omit earlier changes that were irrelevant to its reader.
    self.needs_list = true;
    self.received.remove(next)
  }

  /// Adopts the confirmation of the holder's progress if no change of it is missing.
  fn adopt_holder_confirmation(&mut self) {
    let Some((progress, confirmed_at)) = self.holder else {
      return;
    };
    if progress.changed <= self.revision {
      self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }
  }

  /// Returns another instance's progress while it is valid, and how long it remains so.
  fn valid_holder(&self) -> Option<(Progress, Duration)> {
    let (progress, confirmed_at) = self.holder?;
    let remaining = MAX_PROGRESS_AGE.checked_sub(confirmed_at.elapsed())?;
    Some((progress, remaining))
  }
}

/// Lets one instance watch a kind for many: the others watch the store themselves only when its
/// progress names a change that they are missing, or is no longer confirmed.
#[derive(Debug, Default)]
pub struct Gate {
  state: Mutex<State>,
  changed: Condvar,
  /// Woken when there are changes to publish.
  waker: OnceLock<Arc<Waker>>,
  reachability: Arc<Reachability>,
}

impl Gate {
  /// Creates a gate for an instance that also learns from other sources whether the store responds.
  pub fn new(reachability: Arc<Reachability>) -> Self {
    Self {
      reachability,
      ..Self::default()
    }
  }

  /// Sets the waker for changes to publish.
  pub fn set_waker(&self, waker: Arc<Waker>) {
    // The first waker is kept.
    let _ = self.waker.set(waker);
  }

  /// Returns the progress that other instances rely on.
  pub fn progress(&self) -> Progress {
    let state = lock(&self.state);
    let age = state
      .confirmed_at
      .map(|confirmed_at| confirmed_at.elapsed());
    Progress {
      revision: state.revision,
      changed: state.changed,
      // Nothing is known before the first response.
      age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
    }
  }

  /// Processes another instance's progress.
  pub fn receive_progress(&self, progress: Progress) {
    let mut state = lock(&self.state);
    if progress.revision.era < state.revision.era {
      // The sender does not know yet that the store was restored from a copy.
      return;
    }
    let age = Duration::from_millis(progress.age_ms);
    let Some(confirmed_at) = Moment::now()
      .checked_sub(age)
      .filter(|_| age < MAX_PROGRESS_AGE)
    else {
      return;
    };
    // Of two instances, prefers the one with more changes or a later confirmation.
    let is_preferred = |(known, since): &(Progress, Moment)| {
      confirmed_at >= *since || progress.changed > known.changed
    };
    if !state.holder.as_ref().is_none_or(is_preferred) {
      return;
    }
    if progress.changed <= state.revision {
      // No change in between is relevant here.
      state.needs_list |= progress.revision > state.revision;
      state.revision = state.revision.max(progress.revision);
    }
    state.holder = Some((progress, confirmed_at));
    state.adopt_holder_confirmation();
    self.reachability.record_response(confirmed_at);
    self.changed.notify_all();
  }

  /// Processes another instance's answer to a question sent at `requested_at`: its progress, and
  /// the age of the moment as of which it is guaranteed to know all changes.
  pub fn record_peer_confirmation(
    &self,
    requested_at: Moment,
    progress: Progress,
    guaranteed_age: Duration,
  ) {
    let mut state = lock(&self.state);
    let Some(guaranteed_at) = requested_at.checked_sub(guaranteed_age) else {
      return;
    };
    if progress.changed <= state.revision {
      state.guaranteed_at = state.guaranteed_at.max(Some(guaranteed_at));
    }
  }

  /// Age of the moment as of which all changes are guaranteed to be known; `None` if there is none.
  pub fn guaranteed_age(&self) -> Option<Duration> {
    lock(&self.state)
      .guaranteed_at
      .map(|guaranteed_at| guaranteed_at.elapsed())
  }

  /// Sets whether other instances rely on this instance's progress.
  pub fn set_leading(&self, leading: bool) {
    let mut state = lock(&self.state);
    if state.leading != leading {
      state.leading = leading;
      self.changed.notify_all();
    }
  }

  /// Whether other instances currently rely on this instance's progress.
  pub(super) fn is_leading(&self) -> bool {
    lock(&self.state).leading
  }

  /// The record of the store's responses to any instance.
  pub(super) fn reachability(&self) -> &Reachability {
    &self.reachability
  }

  /// Processes changes read by the instance that watches on behalf of this one.
  pub fn receive_batch(&self, batch: Batch) {
    let mut state = lock(&self.state);
    if state.leading {
      return;
    }
    state.received.push_back(batch);
    if state.received.len() > MAX_RECEIVED_BATCHES {
      state.received.pop_front();
    }
    self.changed.notify_all();
  }

  /// Takes the changes read here that were not yet sent to other instances.
  pub fn take_published(&self) -> Vec<Batch> {
    std::mem::take(&mut lock(&self.state).unpublished)
  }

  /// Waits until a call is needed or a batch applies, and returns which. `failed` is the start of
  /// the last call if it failed, `list_at` when objects that may be missing are listed again.
  pub(super) fn wait(
    &self,
    failed: Option<Moment>,
    list_at: Option<Moment>,
    pulse: &Pulse,
  ) -> Next {
    let mut state = lock(&self.state);
    loop {
      pulse.beat();
      let now = Moment::now();
      if list_at.is_some_and(|at| at <= now) {
        return Next::ListAgain;
      }
      if state.leading && state.needs_list {
        state.needs_list = false;
        return Next::List;
      }
      let revision = state.revision;
      if state.leading {
        return Next::Watch {
          revision,
          immediate: false,
        };
      }
      let Some((progress, mut timeout)) = state.valid_holder() else {
        // The response shows other instances that the store itself is still available.
        let immediate = std::mem::take(&mut state.followed_holder);
        return Next::Watch {
          revision,
          immediate,
        };
      };
      state.followed_holder = true;
      // Reported before changes read after an outage, because it determines which removals count.
      if failed.is_some_and(|failed| self.reachability.responded_since(failed)) {
        return Next::Reachable;
      }
      if let Some(batch) = state.next_batch() {
        state.missing_since = None;
        return Next::Apply(batch);
      }
      if progress.changed > state.revision {
        let missing_for = state
          .missing_since
          .get_or_insert_with(Moment::now)
          .elapsed();
        let Some(remaining) = BATCH_TIMEOUT.checked_sub(missing_for) else {
          state.missing_since = None;
          return Next::Watch {
            revision,
            immediate: true,
          };
        };
        timeout = timeout.min(remaining);
      }
      if let Some(at) = list_at {
        timeout = timeout.min(at.saturating_duration_since(now));
      }
      let waited = self.changed.wait_timeout(state, timeout);
      state = waited.map_or_else(|poisoned| poisoned.into_inner().0, |waited| waited.0);
    }
  }

  /// Records what a response of the store confirms.
  pub(super) fn record_response(&self, confirmation: Confirmation) {
    let mut state = lock(&self.state);
    state.advance(confirmation.revision, confirmation.relevant);
    state.first_known_at.get_or_insert_with(Moment::now);
    state.confirmed_at = state.confirmed_at.max(Some(confirmation.confirmed_at));
    state.guaranteed_at = state.guaranteed_at.max(Some(confirmation.started_at));
  }

  /// Records that the changes of a received batch are known.
  pub(super) fn record_batch(&self, revision: Revision, relevant: bool) {
    let mut state = lock(&self.state);
    state.advance(revision, relevant);
    state.adopt_holder_confirmation();
  }

  /// Keeps changes read here for the other instances if they rely on this one.
  pub(super) fn publish(&self, range: (Revision, Revision), objects: &[(Object, bool)]) {
    let mut state = lock(&self.state);
    if !state.leading {
      return;
    }
    // An instance that knows an earlier era is missing more than these changes.
    let since = state.changed.max(Revision::first(range.0.era));
    let batch = Batch::new(since, range, objects);
    state.unpublished.extend(batch);
  }

  /// Wakes the publisher once the changes are known here.
  pub(super) fn wake_publisher(&self) {
    if let (true, Some(waker)) = (self.is_leading(), self.waker.get()) {
      waker.wake();
    }
  }

  /// When the first response was processed here; `None` before.
  pub fn first_known_at(&self) -> Option<Moment> {
    lock(&self.state).first_known_at
  }

  /// Age of the moment as of which all changes are known; `None` before the first response.
  pub fn age(&self) -> Option<Duration> {
    lock(&self.state)
      .confirmed_at
      .map(|confirmed_at| confirmed_at.elapsed())
  }
}
