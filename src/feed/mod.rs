//! Follows a kind of the store's objects: reads all, then watches, and begins
//! again when the history is gone.

mod batch;
mod gate;

pub use batch::{Batch, Change};
pub use gate::{Gate, Progress};

use crate::clock::Moment;
use crate::reachability::Outage;
use crate::store::{Error, Object, Revision, Store};
use gate::Next;
use slog::{Logger, info, warn};
use std::{collections::BTreeMap, thread, time::Duration};

/// Longest wait of one watch. A waiting watch counts as a call: while a holder is turned away
/// 69 instances watch by themselves. But one whose connection or store has fallen silent is
/// never answered, and hides all changes until its time, and a second more, is over: 2.8 s,
/// less than the 3 s after which deployments count an instance as in touch again.
const WATCH: Duration = Duration::from_millis(1_800);
/// The same where others go by what is read here: each answer, also one without changes,
/// confirms what they know (`gate::STALE`).
const LEADING_WATCH: Duration = Duration::from_millis(300);
/// Wait of the first watch after a failure: it only shows that the store answers.
const FIRST: Duration = Duration::from_millis(1);
/// The store was silent when calls failed and nothing was heard of it for this long: shorter
/// than the three heartbeats, of a bit more than a second each, after which entries of
/// servers lapse.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(3_100);
/// Pause after changes, so that changes made together come in one answer: 69 instances that
/// watch by themselves made 6,390 calls in a day with 150 ms, 4,359 with 250 ms.
const GATHER: Duration = Duration::from_millis(400);
/// The same where others go by what is read here: part of the time in which it is confirmed.
const LEADING_GATHER: Duration = Duration::from_millis(150);
/// Pause after a failure, doubled for each further one, and its most.
const RETRY: Duration = Duration::from_millis(100);
const RETRY_MOST: Duration = Duration::from_millis(800);

/// Parts of that pause between which each instance draws its own.
const SPREAD: std::ops::Range<f64> = 0.5..1.5;

/// Status of a call beyond the store's rate: the store is there.
const TOO_MANY: u16 = 429;
/// One of so many failures in a row is logged.
const FAILURES_LOGGED: u32 = 4;

/// What has happened to a kind.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
  /// All objects there are.
  Listed(Vec<Object>),
  /// Objects that changed, and whether each was removed.
  Changed(Vec<(Object, bool)>),
  /// The store does not answer; what is known may be old.
  Unreachable,
  /// It answers again.
  Reachable(Outage),
  /// It came back from an older copy: all objects that follow may be older than those known.
  Restored,
  /// All that the store had acknowledged when it was back has been given.
  CaughtUp,
}

impl Event {
  /// Objects that it brings.
  fn count(&self) -> usize {
    match self {
      Self::Listed(objects) => objects.len(),
      Self::Changed(objects) => objects.len(),
      Self::Unreachable | Self::Reachable(_) | Self::Restored | Self::CaughtUp => 0,
    }
  }
}

/// Logs where changes that matter came from, and how old what was known before was.
fn note(
  log: &Logger,
  kind: &str,
  source: &str,
  (revision, count): (Revision, usize),
  age: Option<Duration>,
) {
  info!(log, "changes taken"; "kind" => kind, "source" => source, "revision" => %revision,
    "count" => count, "age_ms" => age.map(|age| age.as_millis() as u64));
}

/// Follows a kind for ever; `matters` says whether others need an object that has changed, or
/// was removed, and `take` whether they need anything of an event.
pub fn follow(
  store: &Store,
  kind: &str,
  gate: &Gate,
  log: &Logger,
  matters: impl Fn(&Object, bool) -> bool,
  take: impl FnMut(Event) -> bool,
) -> ! {
  let mut feed = Feed {
    store,
    kind,
    gate,
    log,
    matters,
    take,
    from: None,
    unread: false,
    failures: 0,
    failed: None,
    lost: None,
    back: None,
  };
  loop {
    feed.step();
  }
}

/// A kind that is followed.
struct Feed<'a, M, T> {
  store: &'a Store,
  kind: &'a str,
  gate: &'a Gate,
  log: &'a Logger,
  matters: M,
  take: T,
  /// Up to which revision changes are known; none: nothing was read yet.
  from: Option<Revision>,
  /// The next call reads everything: a watch is of no use.
  unread: bool,
  /// Failed calls in a row, and when the last one was begun.
  failures: u32,
  failed: Option<Moment>,
  /// When the first of them was begun.
  lost: Option<Moment>,
  /// When the store was back, while something that it had acknowledged before may be lacking.
  back: Option<Moment>,
}

/// What a call brought.
struct Answered {
  event: Event,
  revision: Revision,
  /// As of when all changes are known by it.
  confirmed: Moment,
  began: Moment,
  source: &'static str,
  /// Since what was known before was confirmed.
  age: Option<Duration>,
}

impl<M: Fn(&Object, bool) -> bool, T: FnMut(Event) -> bool> Feed<'_, M, T> {
  fn step(&mut self) {
    let next = match self.from {
      None => Next::All,
      Some(_) => self.gate.wait(self.failed),
    };
    match next {
      Next::Take(batch) => self.take_batch(batch),
      Next::Reached => self.back(),
      Next::All => self.read(),
      Next::Watch { .. } if self.unread => self.read(),
      Next::Watch { revision, soon } => self.watch(revision, soon),
    }
  }

  fn take_batch(&mut self, batch: Batch) {
    let Some(objects) = batch.objects() else {
      warn!(self.log, "batch not understood"; "kind" => self.kind, "revision" => %batch.revision);
      return;
    };
    let (count, age) = (objects.len(), self.gate.age());
    let known = |back: &Moment| age.is_some_and(|age| age <= back.elapsed());
    if self.back.take_if(|back| known(back)).is_some() {
      (self.take)(Event::CaughtUp);
    }
    let matters = !objects.is_empty() && (self.take)(Event::Changed(objects));
    if matters {
      note(self.log, self.kind, "batch", (batch.revision, count), age);
    }
    self.from = Some(batch.revision);
    self.unread = false;
    self.gate.taken(batch.revision, matters);
  }

  fn read(&mut self) {
    let (began, age) = (Moment::now(), self.gate.age());
    match self.store.list_all(self.kind) {
      Ok((_, revision)) if self.from.is_some_and(|from| revision.era < from.era) => {
        let error = Error::Malformed(format!("era: `{}` is over", revision.era));
        self.fail("list", began, &error);
      }
      Ok((objects, revision)) => self.answered(Answered {
        event: Event::Listed(objects),
        revision,
        confirmed: began,
        began,
        source: "list",
        age,
      }),
      Err(error) => self.fail("list", began, &error),
    }
  }

  fn watch(&mut self, revision: Revision, soon: bool) {
    let (began, age) = (Moment::now(), self.gate.age());
    let wait = match self.gate.leads() {
      _ if self.failures > 0 || soon => FIRST,
      true => LEADING_WATCH,
      false => WATCH,
    };
    self.from = Some(revision);
    match (self.store.watch)(self.kind, revision, wait) {
      // Numbers were given out again: what it brings is not all that came since.
      Ok(changes) if changes.revision.era != revision.era => {
        self.fail("watch", began, &Error::HistoryGone);
      }
      Ok(changes) => {
        // Without changes the store waited all the time before it answered.
        let waited = if changes.objects.is_empty() {
          wait
        } else {
          Duration::ZERO
        };
        self.answered(Answered {
          event: Event::Changed(changes.objects),
          revision: changes.revision,
          confirmed: Moment::now().min(began + waited),
          began,
          source: "watch",
          age,
        });
      }
      Err(error) => self.fail("watch", began, &error),
    }
  }

  fn answered(&mut self, answered: Answered) {
    let Answered {
      event, revision, ..
    } = answered;
    self.gate.contact().record_response(Moment::now());
    self.back();
    self.unread = false;
    let after = self.from.replace(revision).unwrap_or(revision);
    let returned = revision.era > after.era;
    if returned {
      info!(self.log, "store is back from a copy"; "kind" => self.kind,
        "known" => %after, "revision" => %revision);
      (self.take)(Event::Restored);
    }
    let empty = matches!(&event, Event::Changed(objects) if objects.is_empty());
    let read = match &event {
      Event::Changed(objects) if !empty => Some(self.needed(objects)),
      _ => None,
    };
    let count = event.count();
    // A list does not show what has changed and changed back since others read.
    let listed = matches!(&event, Event::Listed(_)) && self.gate.leads();
    let matters = !empty && (self.take)(event) || listed;
    if self.back.take().is_some() || returned {
      (self.take)(Event::CaughtUp);
    }
    if matters {
      note(
        self.log,
        self.kind,
        answered.source,
        (revision, count),
        answered.age,
      );
    }
    if let (true, Some(objects)) = (matters, read) {
      self.gate.publish((after, revision), &objects);
    }
    self.gate.answered(gate::Answer {
      revision,
      matters,
      confirmed: answered.confirmed,
      began: answered.began,
    });
    if matters {
      self.gate.announce();
    }
    if !empty {
      thread::sleep(if self.gate.leads() {
        LEADING_GATHER
      } else {
        GATHER
      });
    }
  }

  /// What others need of some changes: where a few of them matter, the rest would take a
  /// holder's link for seconds. While all went out that one answer brought, the entries of 64
  /// servers that came back, and of all that loaded meanwhile, held updates up for 1.2 s.
  fn needed(&self, objects: &[(Object, bool)]) -> Vec<(Object, bool)> {
    if !self.gate.leads() {
      return Vec::new();
    }
    let mut published: BTreeMap<&str, bool> = BTreeMap::new();
    let needed = objects.iter().filter(|(object, removed)| {
      // What matters is judged by what was known before this answer: an object that is
      // published as there or as removed is also published when it ceases to be.
      let before = published.get(object.name.as_str());
      let turns = before.is_some_and(|before| before != removed);
      let needed = turns || (self.matters)(object, *removed);
      if needed {
        published.insert(&object.name, *removed);
      }
      needed
    });
    needed.cloned().collect()
  }

  /// The store answers after calls had failed; a wait without changes is no silence.
  fn back(&mut self) {
    self.failed = None;
    let Some(lost) = self.lost.take() else {
      return;
    };
    let silence = self.gate.contact().longest_outage(lost);
    info!(self.log, "store is back"; "kind" => self.kind, "failures" => self.failures,
      "revision" => self.from.map(|from| from.to_string()), "silent_ms" => silence.length.as_millis() as u64,
      "over_ms" => silence.since_recovery.as_millis() as u64,
      "failed_ms" => silence.since_failure.as_millis() as u64);
    (self.take)(Event::Reachable(silence));
    self.back = Some(Moment::now());
    self.failures = 0;
  }

  fn fail(&mut self, call: &str, began: Moment, error: &Error) {
    if matches!(error, Error::HistoryGone | Error::Refused(TOO_MANY)) {
      self.gate.contact().record_response(Moment::now());
    } else {
      self.gate.contact().record_failure(began);
    }
    if *error == Error::HistoryGone {
      info!(self.log, "history is gone"; "kind" => self.kind, "revision" => self.from.map(|from| from.to_string()));
      self.unread = true;
      return;
    }
    if self.failures == 0 {
      self.lost = Some(began);
      warn!(self.log, "store is lost"; "kind" => self.kind, "error" => %error,
        "revision" => self.from.map(|from| from.to_string()));
      (self.take)(Event::Unreachable);
    }
    if self.failures.is_multiple_of(FAILURES_LOGGED) {
      info!(self.log, "call failed"; "kind" => self.kind, "call" => call, "error" => %error,
        "failures" => self.failures, "revision" => self.from.map(|from| from.to_string()),
        "took_ms" => began.elapsed().as_millis() as u64);
    }
    if error.may_have_run() {
      // A watch that is repeated brings more each time and may never arrive: behind a link
      // that lost 15% of its packets an instance was 20 s late. All is read instead.
      self.unread = true;
    }
    self.failed = Some(began);
    let pause = (RETRY * (1 << self.failures.min(3))).min(RETRY_MOST);
    let pause = pause.saturating_sub(began.elapsed()).max(RETRY);
    // All instances that start together, or lost the store together, must not return together:
    // 295 that had lost power read the configuration at once, and 1,924 reads got no answer.
    let pause = pause.mul_f64(rand::random_range(SPREAD));
    self.gate.contact().wait_for_response(Moment::now(), pause);
    self.failures += 1;
  }
}
