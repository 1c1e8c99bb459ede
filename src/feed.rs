//! Follows a kind of the store's objects: reads all, then watches, and begins
//! again when the history is gone.

use crate::store::{Changes, Error, Object, Result, Store};
use slog::{Logger, info, warn};
use std::{thread, time::Duration};

/// Longest wait of one watch. A waiting watch counts as a call; but one that was
/// begun while the store was silent is never answered, and hides all news until
/// its time is over.
const WATCH: Duration = Duration::from_millis(2_500);
/// Wait of the first watch after a failure: it only shows that the store answers.
const FIRST: Duration = Duration::from_millis(1);
/// Pause after news, so that changes made together come in one answer.
const GATHER: Duration = Duration::from_millis(250);
/// Pause after a failure, doubled for each further one, and its most.
const RETRY: Duration = Duration::from_millis(100);
const RETRY_MOST: Duration = Duration::from_millis(800);

/// News of a kind.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
  /// All objects there are.
  All(Vec<Object>),
  /// Objects that changed, and whether each was removed.
  Some(Vec<(Object, bool)>),
}

/// Follows a kind for ever.
pub fn follow(store: &Store, kind: &str, log: &Logger, mut take: impl FnMut(News)) -> ! {
  let mut from: Option<u64> = None;
  let mut failures = 0;
  loop {
    let result = match from {
      None => all(store, kind).map(|(objects, revision)| (News::All(objects), revision)),
      Some(revision) => {
        let wait = if failures > 0 { FIRST } else { WATCH };
        (store.watch)(kind, revision, wait).map(some)
      }
    };
    match result {
      Ok((news, revision)) => {
        if failures > 0 {
          info!(log, "store is back"; "kind" => kind, "failures" => failures, "revision" => revision);
        }
        failures = 0;
        from = Some(revision);
        let empty = matches!(&news, News::Some(objects) if objects.is_empty());
        if !empty {
          take(news);
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
        }
        thread::sleep((RETRY * (1 << failures.min(3))).min(RETRY_MOST));
        failures += 1;
      }
    }
  }
}

fn some(changes: Changes) -> (News, u64) {
  (News::Some(changes.objects), changes.revision)
}

fn all(store: &Store, kind: &str) -> Result<(Vec<Object>, u64)> {
  let mut objects: Vec<Object> = Vec::new();
  // Changes after the first page are told again by the watch.
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
