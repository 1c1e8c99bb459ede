//! Who asks the store for a kind's changes: one instance watches for many, and each of the
//! others asks by itself when that one's updates are old or name a change that it lacks.

use crate::{
  clock::Moment, feed::Batch, hub::lock, reachability::Reachability, socket::Waker, store::Object,
  store::Revision,
};
use serde::{Deserialize, Serialize};
use std::{
  collections::VecDeque,
  sync::{Arc, Condvar, Mutex, OnceLock},
  time::Duration,
};

/// What another instance knows counts for this long after the moment as of which it is
/// confirmed; then this one watches by itself. With the holder's watches of 300 ms, its pause
/// after changes and its updates every 500 ms it is renewed within 1.2 s; with the watch that
/// follows, a change that the holder does not hear of arrives within 1.5 s, and deployments
/// give two.
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
  /// Watch from a revision; `soon`: an answer is needed at once.
  Watch { revision: Revision, soon: bool },
  /// Take up what another instance read.
  Take(Batch),
  /// The store answers the instance that watches for this one again.
  Reached,
}

/// How far an instance has followed a kind, for the others.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
  /// The store's revision up to which everything is known.
  pub revision: Revision,
  /// Revision of the last change that matters to others.
  pub changed: Revision,
  /// Since the moment as of which all changes are known, ms.
  pub age_ms: u64,
}

/// What an answer of the store shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Answer {
  /// All changes up to this revision are known.
  pub(super) revision: Revision,
  /// Some of them matter to others.
  pub(super) matters: bool,
  /// All changes that the store had acknowledged by then are among them.
  pub(super) confirmed: Moment,
  /// When the call was begun.
  pub(super) began: Moment,
}

#[derive(Debug, Default)]
struct State {
  revision: Revision,
  changed: Revision,
  /// The moment as of which all changes are known here. It comes of the calls that read
  /// them and of nothing else: while a holder's watch was held up, the renewals of its
  /// lease made what it knew look 750 ms old, and all others were 1.74 s late with it.
  confirmed: Option<Moment>,
  /// The same, taken at the worst: a call confirms what it brings as of its begin, another
  /// instance what it says as of the question that it answers. A datagram that waited in a
  /// socket while this process stood still, or a watch that was cut, makes nothing look fresh.
  sure: Option<Moment>,
  /// Another instance's progress, and as of when it is confirmed.
  holder: Option<(Progress, Moment)>,
  /// This instance must watch by itself: others go by its progress.
  leads: bool,
  /// Changes that did not matter were passed over: all is to be read.
  skipped: bool,
  /// Read here, for the other instances.
  published: Vec<Batch>,
  /// Read by the instance that watches for this one.
  offered: VecDeque<Batch>,
  /// Since when a change is known to be lacking.
  lacking: Option<Moment>,
  /// This instance went by another one's progress until its last call.
  followed: bool,
}

impl State {
  /// Everything up to a revision is known. All of a new era matters: others that know an earlier
  /// one know nothing of it.
  fn take(&mut self, revision: Revision, matters: bool) {
    let new = revision.era > self.revision.era;
    self.revision = self.revision.max(revision);
    if matters || new {
      self.changed = self.changed.max(revision);
    }
  }

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

  /// Takes up as of when the holder's progress is confirmed, where nothing of it is lacking.
  fn confirm_holder(&mut self) {
    let Some((progress, confirmed)) = self.holder else {
      return;
    };
    if progress.changed <= self.revision {
      self.confirmed = self.confirmed.max(Some(confirmed));
    }
  }

  /// Whether another instance's progress still counts, and for how long.
  fn fresh(&self) -> Option<(Progress, Duration)> {
    let (progress, confirmed) = self.holder?;
    let left = STALE.checked_sub(confirmed.elapsed())?;
    Some((progress, left))
  }
}

/// Lets one instance watch a kind for many: the others watch by themselves only
/// when its progress names a change that they do not know of, or is not confirmed any more.
#[derive(Debug, Default)]
pub struct Gate {
  state: Mutex<State>,
  changed: Condvar,
  /// Rings when there is something to publish.
  bell: OnceLock<Arc<Waker>>,
  contact: Arc<Reachability>,
}

impl Gate {
  /// A gate of an instance that hears of the store's answers also otherwise.
  pub fn new(contact: Arc<Reachability>) -> Self {
    Self {
      contact,
      ..Self::default()
    }
  }

  /// Rings `bell` when there is something to publish.
  pub fn set_waker(&self, bell: Arc<Waker>) {
    // The first one stays.
    let _ = self.bell.set(bell);
  }

  /// What other instances go by.
  pub fn progress(&self) -> Progress {
    let state = lock(&self.state);
    let age = state.confirmed.map(|confirmed| confirmed.elapsed());
    Progress {
      revision: state.revision,
      changed: state.changed,
      // Before the first answer nothing is known.
      age_ms: age.map_or(u64::MAX, |age| age.as_millis() as u64),
    }
  }

  /// Takes up another instance's progress.
  pub fn receive_progress(&self, progress: Progress) {
    let mut state = lock(&self.state);
    if progress.revision.era < state.revision.era {
      // It does not know yet that the store came back from a copy.
      return;
    }
    let age = Duration::from_millis(progress.age_ms);
    let Some(confirmed) = Moment::now().checked_sub(age).filter(|_| age < STALE) else {
      return;
    };
    // Of two instances the one counts that knows more, or knows it as of a later moment.
    let counts =
      |(known, since): &(Progress, Moment)| confirmed >= *since || progress.changed > known.changed;
    if !state.holder.as_ref().is_none_or(counts) {
      return;
    }
    if progress.changed <= state.revision {
      // Nothing between that matters here.
      state.skipped |= progress.revision > state.revision;
      state.revision = state.revision.max(progress.revision);
    }
    state.holder = Some((progress, confirmed));
    state.confirm_holder();
    self.contact.record_response(confirmed);
    self.changed.notify_all();
  }

  /// Takes up another instance's answer to a question that was asked at a moment: how far it
  /// has followed, and since when it surely knows all changes.
  pub fn record_peer_confirmation(&self, asked: Moment, progress: Progress, sure_age: Duration) {
    let mut state = lock(&self.state);
    let Some(sure) = asked.checked_sub(sure_age) else {
      return;
    };
    if progress.changed <= state.revision {
      state.sure = state.sure.max(Some(sure));
    }
  }

  /// Since the moment as of which everything is surely known here; none: nothing is.
  pub fn guaranteed_age(&self) -> Option<Duration> {
    lock(&self.state).sure.map(|sure| sure.elapsed())
  }

  /// Whether others go by this instance's progress.
  pub fn set_leading(&self, leads: bool) {
    let mut state = lock(&self.state);
    if state.leads != leads {
      state.leads = leads;
      self.changed.notify_all();
    }
  }

  /// Whether others go by this instance's progress now.
  pub(super) fn leads(&self) -> bool {
    lock(&self.state).leads
  }

  /// When the store answered anybody.
  pub(super) fn contact(&self) -> &Reachability {
    &self.contact
  }

  /// Takes up changes that the instance that watches for this one has read.
  pub fn receive_batch(&self, batch: Batch) {
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
  pub fn take_published(&self) -> Vec<Batch> {
    std::mem::take(&mut lock(&self.state).published)
  }

  /// Waits until a call is needed, or changes were offered, and says which; `failed`: when
  /// the last call was begun, if it failed.
  pub(super) fn wait(&self, failed: Option<Moment>) -> Next {
    let mut state = lock(&self.state);
    loop {
      if state.leads && state.skipped {
        state.skipped = false;
        return Next::All;
      }
      let revision = state.revision;
      if state.leads {
        return Next::Watch {
          revision,
          soon: false,
        };
      }
      let Some((progress, mut left)) = state.fresh() else {
        // Others learn from the answer that it is not the store that has fallen silent.
        let soon = std::mem::take(&mut state.followed);
        return Next::Watch { revision, soon };
      };
      state.followed = true;
      // Before what was read after a silence, for that says which removals count.
      if failed.is_some_and(|failed| self.contact.responded_since(failed)) {
        return Next::Reached;
      }
      if let Some(batch) = state.next_batch() {
        state.lacking = None;
        return Next::Take(batch);
      }
      if progress.changed > state.revision {
        let lacking = state.lacking.get_or_insert_with(Moment::now).elapsed();
        let Some(patience) = BATCH.checked_sub(lacking) else {
          state.lacking = None;
          return Next::Watch {
            revision,
            soon: true,
          };
        };
        left = left.min(patience);
      }
      let waited = self.changed.wait_timeout(state, left);
      state = waited.map_or_else(|poisoned| poisoned.into_inner().0, |waited| waited.0);
    }
  }

  /// What came of a call.
  pub(super) fn answered(&self, answer: Answer) {
    let mut state = lock(&self.state);
    state.take(answer.revision, answer.matters);
    state.confirmed = state.confirmed.max(Some(answer.confirmed));
    state.sure = state.sure.max(Some(answer.began));
  }

  /// Changes that were offered are known now.
  pub(super) fn taken(&self, revision: Revision, matters: bool) {
    let mut state = lock(&self.state);
    state.take(revision, matters);
    state.confirm_holder();
  }

  /// Keeps what was read here for the other instances, where they go by it.
  pub(super) fn publish(&self, range: (Revision, Revision), objects: &[(Object, bool)]) {
    let mut state = lock(&self.state);
    if !state.leads {
      return;
    }
    // One that knows an earlier era lacks more than these.
    let since = state.changed.max(Revision::first(range.0.era));
    let batch = Batch::open(since, range, objects);
    state.published.extend(batch);
  }

  /// Rings for what there is to publish, once it is known here.
  pub(super) fn announce(&self) {
    if let (true, Some(bell)) = (self.leads(), self.bell.get()) {
      bell.wake();
    }
  }

  /// Since the moment as of which everything is known here; none: nothing is.
  pub fn age(&self) -> Option<Duration> {
    lock(&self.state)
      .confirmed
      .map(|confirmed| confirmed.elapsed())
  }
}
