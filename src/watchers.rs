//! Threads that read the platform's configuration and list for the fleet.

use crate::{event::Event, journal::Entry, object::Kind, shared::Shared};
use std::{
  io,
  sync::{Arc, atomic::Ordering},
  thread,
  time::Duration,
};

/// Longest wait of one watch.
const WATCH: Duration = Duration::from_secs(5);
/// Pause before a failed watch is made again.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Reads of the list between two listings of batches.
const BATCH_LIST_EVERY: u32 = 10;

/// Starts the threads; they read only while the reducer has them watch.
pub fn spawn(shared: &Arc<Shared>) -> io::Result<()> {
  let watcher = shared.clone();
  thread::Builder::new()
    .name("watch".into())
    .spawn(move || watch(&watcher))?;
  let lister = shared.clone();
  thread::Builder::new()
    .name("list".into())
    .spawn(move || list(&lister))?;
  Ok(())
}

fn pause(base: Duration) {
  thread::sleep(base.mul_f64(rand::random_range(0.5..1.5)));
}

fn watch(shared: &Shared) {
  let mut after = 0;
  let mut reached = true;
  loop {
    if !shared.watching.load(Ordering::Relaxed) {
      pause(WATCH_PAUSE);
      continue;
    }
    let answer = shared.platform.watch(after, WATCH);
    if answer.is_ok() != reached {
      reached = answer.is_ok();
      shared.record(match reached {
        true => Entry::PlatformBack,
        false => Entry::PlatformLost,
      });
    }
    match answer {
      Ok((revision, objects)) => {
        after = after.max(revision);
        shared.notify(Event::ConfigurationRead(objects));
      }
      Err(_) => pause(WATCH_PAUSE * 2),
    }
  }
}

fn list(shared: &Shared) {
  let every = Duration::from_millis(shared.settings.limits.list_ms);
  let mut round = 0;
  let mut counted = (0, 0);
  loop {
    count_calls(shared, &mut counted);
    if shared.watching.load(Ordering::Relaxed) {
      if let Ok((revision, entries)) = shared.platform.list() {
        shared.notify(Event::InstancesListed { revision, entries });
      }
      if round % BATCH_LIST_EVERY == 0
        && let Ok(names) = shared.platform.names(Kind::Batch)
      {
        shared.notify(Event::BatchesListed(names));
      }
      round += 1;
    }
    pause(every);
  }
}

fn count_calls(shared: &Shared, counted: &mut (u64, u64)) {
  let calls = shared.platform.calls.load(Ordering::Relaxed);
  let failed = shared.platform.failures.load(Ordering::Relaxed);
  let new_calls = calls.saturating_sub(counted.0);
  let new_failed = failed.saturating_sub(counted.1);
  shared
    .metrics
    .platform(new_calls.saturating_sub(new_failed), new_failed);
  *counted = (calls, failed);
}
