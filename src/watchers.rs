//! Threads that watch the platform's configuration and list its instances for the fleet.

use crate::{clock::Moment, essential, event::Event, journal::Entry, object::Kind, shared::Shared};
use std::{
  io,
  sync::{Arc, atomic::Ordering},
  thread,
  time::Duration,
};

/// Timeout of one watch call.
const WATCH_TIMEOUT: Duration = Duration::from_secs(5);
/// Base delay before a failed watch is retried.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Minimum time from a watch that brought nothing new to the next one.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(200);
/// Reads of the instance list per listing of batches.
const READS_PER_BATCH_LIST: u32 = 10;

/// Starts the threads; they only read while the reducer has enabled watching.
pub fn spawn(shared: &Arc<Shared>) -> io::Result<()> {
  let (log, watcher, lister) = (&shared.log, shared.clone(), shared.clone());
  essential::spawn(thread::Builder::new(), "watch", log, move || {
    watch(&watcher)
  })?;
  essential::spawn(thread::Builder::new(), "list", log, move || list(&lister))
}

fn sleep_jittered(base: Duration) {
  thread::sleep(base.mul_f64(rand::random_range(0.5..1.5)));
}

fn watch(shared: &Shared) {
  let mut last_revision = 0;
  let mut is_reachable = true;
  loop {
    if !shared.watching.load(Ordering::Relaxed) {
      sleep_jittered(WATCH_RETRY_DELAY);
      continue;
    }
    let started_at = Moment::now();
    let result = shared.platform.watch(last_revision, WATCH_TIMEOUT);
    if result.is_ok() != is_reachable {
      is_reachable = result.is_ok();
      shared.record(match is_reachable {
        true => Entry::PlatformBack,
        false => Entry::PlatformLost,
      });
    }
    match result {
      Ok((revision, objects)) => {
        let advanced = revision > last_revision;
        last_revision = last_revision.max(revision);
        shared.notify(Event::ConfigurationRead(objects));
        if !advanced {
          // A platform that does not wait must not be called without end.
          thread::sleep(MIN_WATCH_INTERVAL.saturating_sub(started_at.elapsed()));
        }
      }
      Err(_) => sleep_jittered(WATCH_RETRY_DELAY * 2),
    }
  }
}

fn list(shared: &Shared) {
  let interval = Duration::from_millis(shared.settings.limits.list_ms);
  let mut round = 0;
  let mut recorded = (0, 0);
  loop {
    count_calls(shared, &mut recorded);
    if shared.watching.load(Ordering::Relaxed) {
      if let Ok((revision, entries)) = shared.platform.list() {
        shared.notify(Event::InstancesListed { revision, entries });
      }
      if round % READS_PER_BATCH_LIST == 0
        && let Ok(names) = shared.platform.names(Kind::Batch)
      {
        shared.notify(Event::BatchesListed(names));
      }
      round += 1;
    }
    sleep_jittered(interval);
  }
}

fn count_calls(shared: &Shared, recorded: &mut (u64, u64)) {
  let calls = shared.platform.calls.load(Ordering::Relaxed);
  let failed = shared.platform.failures.load(Ordering::Relaxed);
  let new_calls = calls.saturating_sub(recorded.0);
  let new_failed = failed.saturating_sub(recorded.1);
  shared
    .metrics
    .record_platform_calls(new_calls.saturating_sub(new_failed), new_failed);
  *recorded = (calls, failed);
}
