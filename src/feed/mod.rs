//! Follows a kind of the store's objects: reads all, then watches, and begins
//! again when the history is gone.

mod batch;
mod gate;

pub use batch::{Batch, Change};
pub use gate::{Gate, Progress};

use crate::store::{Changes, Error, Object, Result, Store};
use gate::Next;
use slog::{Logger, info, warn};
use std::{
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

/// One of so many failures in a row is logged.
const FAILURES_LOGGED: u32 = 4;

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
