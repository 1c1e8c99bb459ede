//! Follows a kind of the store's objects: reads all, then watches, and begins
//! again when the history is gone.

use crate::{
  hub::lock,
  store::{Changes, Error, Object, Result, Store},
};
use serde::{Deserialize, Serialize};
use slog::{Logger, info, warn};
use std::{
  collections::VecDeque,
  sync::{Condvar, Mutex},
  thread,
  time::{Duration, Instant},
};

/// Longest wait of one watch. A waiting watch counts as a call; but one that was
/// begun while the store was silent is never answered, and hides all changes until
/// its time is over.
const WATCH: Duration = Duration::from_millis(2_500);
/// Wait of the first watch after a failure: it only shows that the store answers.
const FIRST: Duration = Duration::from_millis(1);
/// The store was silent when nothing was heard of it for this long: longer than a
/// watch without changes and the pause before it, shorter than the three heartbeats, of a
/// bit more than a second each, after which entries of servers lapse.
pub const SILENT: Duration = Duration::from_millis(3_100);
/// Pause after changes, so that changes made together come in one answer.
const GATHER: Duration = Duration::from_millis(250);
/// Pause after a failure, doubled for each further one, and its most.
const RETRY: Duration = Duration::from_millis(100);
const RETRY_MOST: Duration = Duration::from_millis(800);

/// Another instance's word counts for this long after the store last answered that
/// instance; then this one watches by itself. The holder of a lease hears from the
/// store every 750 ms; with the watch that follows, a change that the holder is cut off
/// from arrives within 1.5 s, and deployments give two.
const STALE: Duration = Duration::from_millis(1_300);

/// A change that the holder named is waited for this long, ms; then this instance watches
/// by itself: its datagram was lost, or was too large for one.
const BATCH: Duration = Duration::from_millis(50);
/// Bytes of objects that one batch carries at the most: it goes as a datagram.
const BATCH_BYTES: usize = 48 << 10;

/// One of so many failures in a row is logged.
const FAILURES_LOGGED: u32 = 4;

/// Batches kept that do not fit yet.
const OFFERED: usize = 16;

/// Changes of a kind as the instance that watches for others read them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
  /// The last change that mattered before these.
  pub since: u64,
  /// All of these came after this revision, and up to the next one.
  pub after: u64,
  pub revision: u64,
  pub changes: Vec<Change>,
}

/// A changed object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
  pub name: String,
  pub revision: u64,
  pub removed: bool,
  /// Its content, JSON.
  pub spec: String,
}

impl Batch {
  /// The changes as a batch; none when they are too large for a datagram.
  fn open(since: u64, (after, revision): (u64, u64), objects: &[(Object, bool)]) -> Option<Self> {
    let change = |(object, removed): &(Object, bool)| Change {
      name: object.name.clone(),
      revision: object.revision,
      removed: *removed,
      spec: object.spec.to_string(),
    };
    let changes: Vec<Change> = objects.iter().map(change).collect();
    let bytes: usize = changes
      .iter()
      .map(|change| change.name.len() + change.spec.len())
      .sum();
    (bytes <= BATCH_BYTES).then_some(Self {
      since,
      after,
      revision,
      changes,
    })
  }

  /// Whether it goes on from what is known up to a revision. Where a part of it is known
  /// already it does not: a removal names its object's last change, so the parts cannot be
  /// told from each other.
  fn follows(&self, revision: u64) -> bool {
    (self.since..=self.after).contains(&revision)
  }

  /// The changed objects; none when the batch is not understood.
  fn objects(&self) -> Option<Vec<(Object, bool)>> {
    let object = |change: &Change| {
      let object = Object {
        name: change.name.clone(),
        revision: change.revision,
        spec: serde_json::from_str(&change.spec).ok()?,
      };
      Some((object, change.removed))
    };
    self.changes.iter().map(object).collect()
  }
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
  fn wait(&self) -> Next {
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
  fn answered(&self, revision: u64, matters: bool) {
    let mut state = lock(&self.state);
    state.revision = state.revision.max(revision);
    if matters {
      state.changed = state.changed.max(revision);
    }
  }

  /// Keeps what was read here for the other instances, where they go by it.
  fn publish(&self, range: (u64, u64), objects: &[(Object, bool)]) {
    let mut state = lock(&self.state);
    if !state.leads {
      return;
    }
    let since = state.changed;
    let batch = Batch::open(since, range, objects);
    state.published.extend(batch);
  }

  /// Since the store last answered, as far as known here; none: it never has.
  fn age(&self) -> Option<Duration> {
    lock(&self.state)
      .answered
      .map(|answered| answered.elapsed())
  }

  /// The store has answered: the longest time without an answer since this was last
  /// asked, as far as known here.
  fn heard(&self) -> Duration {
    let mut state = lock(&self.state);
    state.hear(Instant::now());
    std::mem::take(&mut state.silence)
  }
}

/// The next call, or what takes its place.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Next {
  /// Read everything.
  All,
  /// Watch from a revision; `there`: a change is known to be there.
  Watch { revision: u64, there: bool },
  /// Take up what another instance read.
  Take(Batch),
}

/// What has happened to a kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
  /// All objects there are.
  All(Vec<Object>),
  /// Objects that changed, and whether each was removed.
  Some(Vec<(Object, bool)>),
  /// The store does not answer; what is known may be old.
  Lost,
  /// It answers again, after this long without an answer.
  Back(Duration),
}

impl Event {
  /// Objects that it brings.
  fn count(&self) -> usize {
    match self {
      Self::All(objects) => objects.len(),
      Self::Some(objects) => objects.len(),
      Self::Lost | Self::Back(_) => 0,
    }
  }
}

/// Logs where changes that matter came from, and how old what was known before was.
fn note(
  log: &Logger,
  kind: &str,
  source: &str,
  (revision, count): (u64, usize),
  age: Option<Duration>,
) {
  info!(log, "changes taken"; "kind" => kind, "source" => source, "revision" => revision,
    "count" => count, "age_ms" => age.map(|age| age.as_millis() as u64));
}

/// Follows a kind for ever; `take` says whether the event matters to others.
pub fn follow(
  store: &Store,
  kind: &str,
  gate: &Gate,
  log: &Logger,
  mut take: impl FnMut(Event) -> bool,
) -> ! {
  let mut from: Option<u64> = None;
  let mut failures = 0;
  loop {
    let next = match from {
      None => Next::All,
      Some(_) => gate.wait(),
    };
    let (began, age) = (Instant::now(), gate.age());
    let source = if next == Next::All { "list" } else { "watch" };
    let result = match next {
      Next::Take(batch) => {
        if let Some(objects) = batch.objects() {
          let (count, age) = (objects.len(), gate.age());
          let matters = !objects.is_empty() && take(Event::Some(objects));
          if matters {
            note(log, kind, "batch", (batch.revision, count), age);
          }
          from = Some(batch.revision);
          gate.answered(batch.revision, matters);
        } else {
          warn!(log, "batch not understood"; "kind" => kind, "revision" => batch.revision);
        }
        continue;
      }
      Next::All => all(store, kind).map(|(objects, revision)| (Event::All(objects), revision)),
      Next::Watch { revision, there } => {
        from = Some(revision);
        let wait = if failures > 0 || there { FIRST } else { WATCH };
        (store.watch)(kind, revision, wait).map(some)
      }
    };
    match result {
      Ok((event, revision)) => {
        let silence = gate.heard();
        if failures > 0 || silence >= SILENT {
          info!(log, "store is back"; "kind" => kind, "failures" => failures,
            "revision" => revision, "silent_ms" => silence.as_millis() as u64);
          take(Event::Back(silence));
        }
        failures = 0;
        let after = from.replace(revision).unwrap_or_default();
        let empty = matches!(&event, Event::Some(objects) if objects.is_empty());
        let read = match &event {
          Event::Some(objects) if !empty => Some(objects.clone()),
          _ => None,
        };
        let count = event.count();
        let matters = !empty && take(event);
        if matters {
          note(log, kind, source, (revision, count), age);
        }
        if let (true, Some(objects)) = (matters, read) {
          gate.publish((after, revision), &objects);
        }
        gate.answered(revision, matters);
        if !empty {
          thread::sleep(GATHER);
        }
      }
      Err(Error::HistoryGone) => {
        info!(log, "history is gone"; "kind" => kind, "revision" => from);
        from = None;
      }
      Err(error) => {
        if failures == 0 {
          warn!(log, "store is lost"; "kind" => kind, "error" => %error, "revision" => from);
          take(Event::Lost);
        }
        if failures % FAILURES_LOGGED == 0 {
          info!(log, "call failed"; "kind" => kind, "call" => source, "error" => %error,
            "failures" => failures, "revision" => from,
            "took_ms" => began.elapsed().as_millis() as u64);
        }
        thread::sleep((RETRY * (1 << failures.min(3))).min(RETRY_MOST));
        failures += 1;
      }
    }
  }
}

fn some(changes: Changes) -> (Event, u64) {
  (Event::Some(changes.objects), changes.revision)
}

fn all(store: &Store, kind: &str) -> Result<(Vec<Object>, u64)> {
  let mut objects: Vec<Object> = Vec::new();
  // Changes after the first page come again with the watch.
  let mut revision = None;
  loop {
    let after = objects.last().map(|object| object.name.clone());
    let page = (store.list)(kind, after.as_deref())?;
    revision.get_or_insert(page.revision);
    let more = page.more && !page.objects.is_empty();
    objects.extend(page.objects);
    if !more {
      return Ok((objects, revision.unwrap_or_default()));
    }
  }
}
