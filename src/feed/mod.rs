//! Follows one kind of objects in the store: lists all, then watches for changes, and lists again
//! when the store no longer has the history.

mod batch;
mod gate;

pub use batch::{Batch, Change};
pub use gate::{Gate, Progress};

use crate::clock::Moment;
use crate::essential::Pulse;
use crate::reachability::Outage;
use crate::store::{Error, Gap, List, MAX_PAGES, Object, Range, Reading, Revision, Store};
use gate::Next;
use slog::{Logger, info, warn};
use std::{
  collections::{BTreeMap, BTreeSet},
  thread,
  time::Duration,
};

/// Timeout of one watch. It is long because a pending watch counts as a call, and 69 instances
/// watch on their own while a holder is refused. A watch on a dead connection or store gets no
/// response and delays changes until one second after its timeout, 2.8 s in total, which is less
/// than the 3 s after which deployments count an instance as reachable again.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Watch timeout where other instances rely on this one: each response, even one without changes,
/// confirms what they know (`gate::MAX_PROGRESS_AGE`).
const LEADING_WATCH_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout of the first watch after a failure, which only checks that the store responds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1);
/// The store counts as unavailable when calls failed and no response was seen for this long. This
/// is shorter than the three heartbeats, of slightly more than a second each, after which server
/// entries expire.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(3_100);
/// Pause after changes, so that changes made together arrive in one response: 69 instances that
/// watch on their own made 6,390 calls a day with 150 ms and 4,359 with 250 ms.
const COALESCE_PAUSE: Duration = Duration::from_millis(400);
/// Shorter pause where other instances rely on this one, because it is part of the time within
/// which their progress must be confirmed.
const LEADING_COALESCE_PAUSE: Duration = Duration::from_millis(150);
/// Delay after a failure, doubled for each further failure up to the maximum.
const RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Range of the random factor that each instance applies to its retry delay.
const RETRY_JITTER: std::ops::Range<f64> = 0.5..1.5;

/// Status of a call beyond the store's rate limit; it shows that the store is reachable.
const TOO_MANY_REQUESTS: u16 = 429;
/// Minimum time from one watch without changes to the next one.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Default of `Source::list_interval`.
pub const LIST_INTERVAL: Duration = Duration::from_secs(30);
/// Delay before a list continues that took too long.
const CONTINUE_DELAY: Duration = Duration::from_millis(250);
/// One in this many lists in a row that fail for good begins behind its first page.
const FAILED_LISTS_PER_SKIP: u32 = 4;
/// Time limit for a list that is read again, as changes are not watched meanwhile.
const LIST_AGAIN_TIME: Duration = Duration::from_millis(500);
/// A list of at least this many pages is logged: lists have one page per 500 objects.
const LONG_LIST_PAGES: u32 = 8;
/// One in this many consecutive failures is logged.
const FAILURES_PER_LOG_LINE: u32 = 4;

/// A change to the followed kind, or to the reachability of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
  /// All current objects.
  Listed(Vec<Object>),
  /// Current objects, of which some may be missing.
  PartlyListed(Vec<Object>),
  /// Objects that changed, each with whether it was removed.
  Changed(Vec<(Object, bool)>),
  /// The store does not respond, so known objects may be out of date.
  Unreachable,
  /// The store responds again.
  Reachable(Outage),
  /// The store was restored from an older copy, so objects that follow may be older than known
  /// ones.
  Restored,
  /// Everything that the store had acknowledged when it became reachable again was delivered.
  CaughtUp,
}

impl Event {
  /// Number of objects in the event.
  fn count(&self) -> usize {
    match self {
      Self::Listed(objects) | Self::PartlyListed(objects) => objects.len(),
      Self::Changed(objects) => objects.len(),
      Self::Unreachable | Self::Reachable(_) | Self::Restored | Self::CaughtUp => 0,
    }
  }
}

/// Logs the source of relevant changes and the age of the state before them.
fn log_changes(
  log: &Logger,
  kind: &str,
  source: &str,
  (revision, count): (Revision, usize),
  age: Option<Duration>,
) {
  info!(log, "changes applied"; "kind" => kind, "source" => source, "revision" => %revision,
    "count" => count, "age_ms" => age.map(|age| age.as_millis() as u64));
}

/// A kind of objects in a store.
#[derive(Clone, Copy)]
pub struct Source<'a> {
  pub store: &'a Store,
  pub kind: &'a str,
  /// Interval at which a list is read again that may lack objects.
  pub list_interval: Duration,
  /// Beaten with each call and each page of a list.
  pub pulse: &'a Pulse,
}

/// Follows a kind forever. `is_relevant` tells whether other instances need an object that was
/// changed (`false`) or removed (`true`); `handle` processes an event and tells whether other
/// instances need any of it.
pub fn follow(
  source: Source,
  gate: &Gate,
  log: &Logger,
  is_relevant: impl Fn(&Object, bool) -> bool,
  handle: impl FnMut(Event) -> bool,
) -> ! {
  let mut feed = Feed {
    store: source.store,
    kind: source.kind,
    list_interval: source.list_interval,
    pulse: source.pulse,
    gate,
    log,
    is_relevant,
    handle,
    known_revision: None,
    needs_list: false,
    failures: 0,
    last_failure: None,
    first_failure: None,
    recovered_at: None,
    changed_since_restore: None,
    gap: None,
    list_again_at: None,
    list_again: Range::default(),
    failed_lists: 0,
    pages: 0,
    listed_in_pages: false,
    unreadable: 0,
  };
  loop {
    feed.step();
  }
}

/// A moment after about this time. Instances that start together must not read a list at the same time.
fn in_about(time: Duration) -> Moment {
  Moment::now() + time.mul_f64(rand::random_range(RETRY_JITTER))
}

/// The pause after a watch without changes that took this long: a store that does not wait must not be
/// called without end.
fn pause_after_empty_watch(timeout: Duration, took: Duration) -> Duration {
  timeout.min(MIN_WATCH_INTERVAL).saturating_sub(took)
}

/// State of following one kind.
struct Feed<'a, M, T> {
  store: &'a Store,
  kind: &'a str,
  list_interval: Duration,
  pulse: &'a Pulse,
  gate: &'a Gate,
  log: &'a Logger,
  is_relevant: M,
  handle: T,
  /// Revision up to which changes are known; `None` before the first list.
  known_revision: Option<Revision>,
  /// The next call must list all objects because a watch is not enough.
  needs_list: bool,
  /// Consecutive failed calls, and the start of the last one.
  failures: u32,
  last_failure: Option<Moment>,
  /// Start of the first of these failed calls.
  first_failure: Option<Moment>,
  /// When the store became reachable again; reset once all changes that it had acknowledged by then
  /// are known.
  recovered_at: Option<Moment>,
  /// Objects that changed after the store was restored from a copy; `None` if it was not.
  changed_since_restore: Option<BTreeSet<String>>,
  /// Where the last list may lack objects.
  gap: Option<Gap>,
  /// When a list that may lack objects is read again, and which part of it.
  list_again_at: Option<Moment>,
  list_again: Range,
  /// Number of lists in a row that failed for good, or lacked their first page.
  failed_lists: u32,
  /// Number of pages read since the start of the list, in all its parts.
  pages: u32,
  /// Whether no changes were read since a list of several pages. It may have objects that changed
  /// while it was read, so the next response is relevant even if it brings what is known here: other
  /// instances may have read their lists before.
  listed_in_pages: bool,
  /// Number of objects and changes so far that were not readable.
  unreadable: usize,
}

/// Result of a successful call.
struct Response {
  event: Event,
  revision: Revision,
  /// Moment as of which all changes are known.
  confirmed_at: Moment,
  started_at: Moment,
  source: &'static str,
  /// Time since the previous state was confirmed.
  age: Option<Duration>,
}

impl<M: Fn(&Object, bool) -> bool, T: FnMut(Event) -> bool> Feed<'_, M, T> {
  fn step(&mut self) {
    self.pulse.beat();
    let next = match self.known_revision {
      None => Next::List,
      Some(_) => self
        .gate
        .wait(self.last_failure, self.list_again_at, self.pulse),
    };
    match next {
      Next::Apply(batch) => self.apply_batch(batch),
      Next::Reachable => self.record_recovery(),
      Next::List => self.list(&Range::default()),
      Next::ListAgain => {
        self.list_again_at = None;
        let range = self.list_again.clone();
        self.list(&range);
      }
      Next::Watch { .. } if self.needs_list => self.list(&Range::default()),
      Next::Watch {
        revision,
        immediate,
      } => self.watch(revision, immediate),
    }
  }

  fn apply_batch(&mut self, batch: Batch) {
    let Some(objects) = batch.objects() else {
      warn!(self.log, "batch could not be decoded"; "kind" => self.kind, "revision" => %batch.revision);
      return;
    };
    let (count, age) = (objects.len(), self.gate.age());
    let known = |recovered_at: &Moment| age.is_some_and(|age| age <= recovered_at.elapsed());
    if self
      .recovered_at
      .take_if(|recovered_at| known(recovered_at))
      .is_some()
    {
      (self.handle)(Event::CaughtUp);
    }
    let relevant = !objects.is_empty() && (self.handle)(Event::Changed(objects));
    if relevant {
      log_changes(self.log, self.kind, "batch", (batch.revision, count), age);
    }
    self.known_revision = Some(batch.revision);
    self.needs_list = false;
    self.gate.record_batch(batch.revision, relevant);
  }

  fn list(&mut self, range: &Range) {
    let range = Range {
      skips_first: range.after.is_none()
        && self.failed_lists % FAILED_LISTS_PER_SKIP == FAILED_LISTS_PER_SKIP - 1,
      ..range.clone()
    };
    let (started_at, age) = (Moment::now(), self.gate.age());
    match self
      .store
      .list(self.kind, &range, |reading| self.record_page(reading))
    {
      Ok(list)
        if self
          .known_revision
          .is_some_and(|known| list.revision.era < known.era) =>
      {
        let error = Error::Malformed(format!("era: `{}` has ended", list.revision.era));
        self.record_failure("list", started_at, &error);
      }
      Ok(list) => {
        self.record_unreadable(list.unreadable);
        self.record_gap(&range, &list);
        self.listed_in_pages |= list.pages > 1 || range.after.is_some();
        self.handle_response(Response {
          revision: list.revision,
          event: match (&list.gap, &range.after) {
            (None, None) => Event::Listed(list.objects),
            _ => Event::PartlyListed(list.objects),
          },
          confirmed_at: started_at,
          started_at,
          source: "list",
          age,
        });
      }
      Err(error) => {
        self.failed_lists += u32::from(error.is_final());
        let delay = self.delay_after_failure(&range, &error);
        self.list_again_at = self.gap.is_some().then(|| in_about(delay));
        self.record_failure("list", started_at, &error);
        if error == Error::HistoryGone {
          // A list over two eras of the store is read again.
          thread::sleep(RETRY_DELAY);
        }
      }
    }
  }

  /// Records that a list goes on. Logs one of many pages, each time that their number has doubled.
  fn record_page(&self, reading: Reading) {
    self.pulse.beat();
    if reading.pages >= LONG_LIST_PAGES && reading.pages.is_power_of_two() {
      info!(self.log, "list continues"; "kind" => self.kind, "pages" => reading.pages,
        "objects" => reading.objects, "after" => reading.after);
    }
  }

  /// Has a list read again that may lack objects. Logs where, once.
  fn record_gap(&mut self, range: &Range, list: &List) {
    let complete = list.gap.is_none() && range.after.is_none();
    let delay = self.list_again_delay(range, list);
    self.list_again_at = (!complete).then(|| in_about(delay));
    self.list_again = Range {
      after: match &list.gap {
        Some(Gap::TooLong { after }) => Some(after.clone()),
        _ => None,
      },
      time_limit: LIST_AGAIN_TIME,
      ..Range::default()
    };
    let lacks_first = matches!(&list.gap, Some(Gap::Unreadable { after, .. }) if after.is_empty());
    if !lacks_first {
      self.failed_lists = 0;
    }
    if self.gap == list.gap || range.after.is_some() {
      return;
    }
    match &list.gap {
      Some(gap) => {
        warn!(self.log, "list is incomplete"; "kind" => self.kind, "gap" => %gap,
        "objects" => list.objects.len(), "revision" => %list.revision)
      }
      None => info!(self.log, "list is complete again"; "kind" => self.kind,
        "objects" => list.objects.len(), "revision" => %list.revision),
    }
    self.gap = list.gap.clone();
  }

  /// The delay before a list is read again that may lack objects: a short one where it took too long, or
  /// the interval once it has too many pages.
  fn list_again_delay(&mut self, range: &Range, list: &List) -> Duration {
    if range.after.is_none() {
      self.pages = 0;
    }
    self.pages += list.pages;
    let has_more = matches!(list.gap, Some(Gap::TooLong { .. }));
    match has_more && self.pages < MAX_PAGES {
      true => CONTINUE_DELAY.min(self.list_interval),
      false => self.list_interval,
    }
  }

  /// The delay before a list is read again that failed: a short one where it continues and was beyond the
  /// store's rate, which other instances take meanwhile.
  fn delay_after_failure(&self, range: &Range, error: &Error) -> Duration {
    match (&range.after, error) {
      (Some(_), Error::Refused(TOO_MANY_REQUESTS)) => CONTINUE_DELAY.min(self.list_interval),
      _ => self.list_interval,
    }
  }

  /// Counts objects or changes that were not readable. Logs the first ones, and each time that their
  /// number has doubled.
  fn record_unreadable(&mut self, count: usize) {
    let before = self.unreadable.checked_ilog2();
    self.unreadable += count;
    if self.unreadable.checked_ilog2() != before {
      warn!(self.log, "objects are unreadable and are ignored"; "kind" => self.kind,
        "count" => self.unreadable);
    }
  }

  fn watch(&mut self, revision: Revision, immediate: bool) {
    let (started_at, age) = (Moment::now(), self.gate.age());
    let timeout = match self.gate.is_leading() {
      _ if self.failures > 0 || immediate => PROBE_TIMEOUT,
      true => LEADING_WATCH_TIMEOUT,
      false => WATCH_TIMEOUT,
    };
    let timeout = timeout.min(self.time_to_list()).max(PROBE_TIMEOUT);
    self.known_revision = Some(revision);
    match (self.store.watch)(self.kind, revision, timeout) {
      // The store reuses revision numbers after a restore, so these are not all the changes.
      Ok(changes) if changes.revision.era != revision.era => {
        self.record_failure("watch", started_at, &Error::HistoryGone);
      }
      Ok(changes) => {
        self.record_unreadable(changes.unreadable);
        // Without changes, the store responds only after the whole timeout.
        let waited = if changes.objects.is_empty() {
          timeout
        } else {
          Duration::ZERO
        };
        self.handle_response(Response {
          event: Event::Changed(changes.objects),
          revision: changes.revision,
          confirmed_at: Moment::now().min(started_at + waited),
          started_at,
          source: "watch",
          age,
        });
        if !waited.is_zero() {
          thread::sleep(pause_after_empty_watch(timeout, started_at.elapsed()));
        }
      }
      Err(error) => self.record_failure("watch", started_at, &error),
    }
  }

  /// The time until a list is read again that may lack objects.
  fn time_to_list(&self) -> Duration {
    let list_at = self.list_again_at;
    list_at.map_or(Duration::MAX, |at| {
      at.saturating_duration_since(Moment::now())
    })
  }

  fn handle_response(&mut self, response: Response) {
    let Response {
      event, revision, ..
    } = response;
    self.gate.reachability().record_response(Moment::now());
    self.record_recovery();
    self.needs_list = false;
    let after = self.known_revision.replace(revision).unwrap_or(revision);
    let restored = revision.era > after.era;
    if restored {
      info!(self.log, "store was restored from an older copy"; "kind" => self.kind,
        "known" => %after, "revision" => %revision);
      self.changed_since_restore = Some(BTreeSet::new());
      (self.handle)(Event::Restored);
    }
    let changed = matches!(&event, Event::Changed(_));
    let empty = matches!(&event, Event::Changed(objects) if objects.is_empty());
    let repeats_list = changed && !empty && self.listed_in_pages;
    let to_publish = match &event {
      Event::Changed(objects) if repeats_list => Some(objects.clone()),
      Event::Changed(objects) if !empty => Some(self.relevant_changes(objects)),
      _ => None,
    };
    let count = event.count();
    // A list does not show objects that changed and changed back since other instances read them.
    let listed = matches!(&event, Event::Listed(_) | Event::PartlyListed(_));
    let listed = listed && self.gate.is_leading();
    let reverts_copy = self.reverts_copy(&event);
    let relevant = !empty && (self.handle)(event) || listed || reverts_copy || repeats_list;
    self.listed_in_pages &= !changed;
    if self.recovered_at.take().is_some() || restored {
      (self.handle)(Event::CaughtUp);
    }
    if relevant {
      log_changes(
        self.log,
        self.kind,
        response.source,
        (revision, count),
        response.age,
      );
    }
    if let (true, Some(objects)) = (relevant, to_publish) {
      self.gate.publish((after, revision), &objects);
    }
    self.gate.record_response(gate::Confirmation {
      revision,
      relevant,
      confirmed_at: response.confirmed_at,
      started_at: response.started_at,
    });
    if relevant {
      self.gate.wake_publisher();
    }
    if !empty {
      thread::sleep(if self.gate.is_leading() {
        LEADING_COALESCE_PAUSE
      } else {
        COALESCE_PAUSE
      });
    }
  }

  /// Selects the changes that other instances need. When only a few are relevant, sending the rest
  /// would occupy the holder's link for seconds: while all changes of a response were sent, the
  /// entries of 64 servers that came back, and of all that loaded models meanwhile, delayed updates
  /// by 1.2 s.
  fn relevant_changes(&self, objects: &[(Object, bool)]) -> Vec<(Object, bool)> {
    if !self.gate.is_leading() {
      return Vec::new();
    }
    let mut published: BTreeMap<&str, bool> = BTreeMap::new();
    let needed = objects.iter().filter(|(object, removed)| {
      // Relevance is judged by the state before this response, so an object that is published as
      // present or removed must also be published when that changes again.
      let before = published.get(object.name.as_str());
      let toggled = before.is_some_and(|before| before != removed);
      let needed =
        toggled || self.is_first_since_restore(object) || (self.is_relevant)(object, *removed);
      if needed {
        published.insert(&object.name, *removed);
      }
      needed
    });
    needed.cloned().collect()
  }

  /// Whether an object has not changed since the store was restored from a copy. Its next change is
  /// relevant even if it brings back what is known here: an instance that has read the copy knows
  /// something else.
  fn is_first_since_restore(&self, object: &Object) -> bool {
    let changed = self.changed_since_restore.as_ref();
    changed.is_some_and(|changed| !changed.contains(&object.name))
  }

  /// Records the objects that changed since a restore; returns whether any of them changed for the
  /// first time.
  fn reverts_copy(&mut self, event: &Event) -> bool {
    let Event::Changed(objects) = event else {
      return false;
    };
    let Some(changed) = &mut self.changed_since_restore else {
      return false;
    };
    let before = changed.len();
    changed.extend(objects.iter().map(|(object, _)| object.name.clone()));
    changed.len() > before
  }

  /// Records that the store responds after failed calls; a watch that ends without changes is no
  /// outage.
  fn record_recovery(&mut self) {
    self.last_failure = None;
    let Some(first_failure) = self.first_failure.take() else {
      return;
    };
    let outage = self.gate.reachability().longest_outage(first_failure);
    info!(self.log, "store is back"; "kind" => self.kind, "failures" => self.failures,
      "revision" => self.known_revision.map(|known| known.to_string()), "silent_ms" => outage.length.as_millis() as u64,
      "over_ms" => outage.since_recovery.as_millis() as u64,
      "failed_ms" => outage.since_failure.as_millis() as u64);
    (self.handle)(Event::Reachable(outage));
    self.recovered_at = Some(Moment::now());
    self.failures = 0;
  }

  fn record_failure(&mut self, call: &str, started_at: Moment, error: &Error) {
    let reachability = self.gate.reachability();
    match error {
      Error::HistoryGone => reachability.record_response(Moment::now()),
      Error::Refused(TOO_MANY_REQUESTS) => reachability.record_rejection(Moment::now()),
      _ => reachability.record_failure(started_at),
    }
    if *error == Error::HistoryGone {
      info!(self.log, "store no longer has the history"; "kind" => self.kind, "revision" => self.known_revision.map(|known| known.to_string()));
      self.needs_list = true;
      return;
    }
    if self.failures == 0 {
      self.first_failure = Some(started_at);
      warn!(self.log, "store is lost"; "kind" => self.kind, "error" => %error,
        "revision" => self.known_revision.map(|known| known.to_string()));
      (self.handle)(Event::Unreachable);
    }
    if self.failures.is_multiple_of(FAILURES_PER_LOG_LINE) {
      info!(self.log, "call failed"; "kind" => self.kind, "call" => call, "error" => %error,
        "failures" => self.failures, "revision" => self.known_revision.map(|known| known.to_string()),
        "took_ms" => started_at.elapsed().as_millis() as u64);
    }
    if error.may_have_run() {
      // A repeated watch returns more changes each time and may never complete: behind a link with
      // 15% packet loss an instance was 20 s late. Listing all objects avoids this.
      self.needs_list = true;
    }
    self.last_failure = Some(started_at);
    let pause = (RETRY_DELAY * (1 << self.failures.min(3))).min(MAX_RETRY_DELAY);
    let pause = pause.saturating_sub(started_at.elapsed()).max(RETRY_DELAY);
    // Instances that start together or lose the store together must not call it at the same time:
    // after a power loss 295 instances read the configuration at once, and 1,924 reads got no
    // response.
    let pause = pause.mul_f64(rand::random_range(RETRY_JITTER));
    self
      .gate
      .reachability()
      .wait_for_response(Moment::now(), pause);
    self.failures += 1;
  }
}
