//! Faults of the platform's store.

use super::{World, lock, slot::ENTRY_EXPIRY};
use crate::{
  history::Target,
  plan::{self, Store as StoreFault},
};
use platform_stand_in::{
  runner::Runner,
  store::{Mode, Store},
};
use std::{sync::MutexGuard, thread, time::Duration};

/// Delay after a restore until the operator writes the configuration again, and pause between the
/// heartbeats of servers that follow.
const OPERATOR_DELAY: Duration = Duration::from_millis(400);
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(60);
/// Contents of entries that do not describe a server.
const FOREIGN_ENTRIES: [&[u8]; 4] = [
  b"null",
  b"{\"service\":7}",
  b"{\"service\":\"plain\",\"address\":\"127.0.0.1:1\",\"state\":\"resting\"}",
  b"{\"service\":\"\xff\xfe\"}",
];

/// Names that mean something else in a target, or elsewhere, unless they are encoded.
const ODD_NAMES: [&str; 12] = [
  "&b=", "+", "%25", "%41", "%C3%A9", "%", "#x", "?x", " x", " é/", ";\"", "\r\nx: y",
];
/// Kinds that instances list.
const LISTED_KINDS: [&str; 3] = ["servers", "config", "bendsaddle-policies"];

/// Has the store list in pages, if the seed has it, beside entries of another writer.
pub(super) fn prepare(store: &Store, seed: u64) {
  let Some(size) = plan::page_size(seed) else {
    return;
  };
  if plan::plus_is_blank(seed) {
    store.read_plus_as_blank();
  }
  for kind in LISTED_KINDS {
    store.page_lists(kind, size);
    for (number, odd) in ODD_NAMES.iter().enumerate() {
      let content = FOREIGN_ENTRIES[number % FOREIGN_ENTRIES.len()];
      for start in ["a", "m0", "z"] {
        store.put_raw(kind, &format!("{start}{odd}"), content);
      }
    }
  }
}

impl World {
  pub(super) fn inject_store_fault(&self, fault: StoreFault, duration: Duration) {
    let incident = self.recorder.start_incident(Target::Store, "store");
    match fault {
      StoreFault::Forgets => self.store.compact(),
      StoreFault::Down => self.set_fate_temporarily(Mode::Refuses, duration),
      StoreFault::Silent => self.set_fate_temporarily(Mode::Silent, duration),
      StoreFault::Slow => {
        self.set_fate_temporarily(Mode::Slow(Duration::from_millis(250)), duration)
      }
      StoreFault::LosesAnswers => self.set_fate_temporarily(Mode::LosesResponses, duration),
      StoreFault::WritesLate => {
        self.set_fate_temporarily(Mode::WritesLate(Duration::from_millis(1_200)), duration)
      }
      StoreFault::Lapse => self.expire_entries(duration),
      StoreFault::Foreign => self.add_foreign_entries(duration),
      StoreFault::Returns(tenths) => self.restore_store(u64::from(tenths) * 100, duration),
    }
    self.recorder.end_incident(incident);
  }

  /// Adds entries of another writer that sort before and after those of servers.
  fn add_foreign_entries(&self, duration: Duration) {
    let names: Vec<String> = (0..FOREIGN_ENTRIES.len())
      .flat_map(|number| [format!("a-{number}"), format!("z-{number}")])
      .collect();
    for (name, bytes) in names.iter().zip(FOREIGN_ENTRIES.iter().cycle()) {
      self.store.put_raw("servers", name, bytes);
    }
    thread::sleep(duration);
    names
      .iter()
      .for_each(|name| self.store.remove("servers", name));
  }

  /// Takes the store down and restores it from a copy. The operator and the servers then write
  /// their entries again, each after a delay.
  fn restore_store(&self, age_ms: u64, duration: Duration) {
    let copy = self.store.snapshot();
    thread::sleep(Duration::from_millis(age_ms));
    self.store.set_mode(Mode::Refuses);
    thread::sleep(duration);
    self.store.restore(&copy);
    self.store.set_mode(Mode::Answers);
    thread::sleep(OPERATOR_DELAY);
    self.rewrite_configuration();
    let runners = lock(&self.runners).clone();
    let is_removed = |id: &str| {
      self
        .recorder
        .record(|history| history.removed.iter().any(|(removed, _)| removed == id))
    };
    for runner in runners.iter().filter(|runner| !is_removed(&runner.id)) {
      thread::sleep(HEARTBEAT_PAUSE);
      runner.rewrite_entry();
    }
    thread::sleep(ENTRY_EXPIRY * 3);
    for runner in runners.iter().filter(|runner| is_removed(&runner.id)) {
      self.store.remove("servers", &runner.id);
    }
  }

  fn set_fate_temporarily(&self, fate: Mode, duration: Duration) {
    self.store.set_mode(fate);
    thread::sleep(duration);
    self.store.set_mode(Mode::Answers);
  }

  /// Takes the store down and removes the entries of servers. The servers write them again shortly
  /// after the store is back.
  fn expire_entries(&self, duration: Duration) {
    self.store.set_mode(Mode::Refuses);
    thread::sleep(duration);
    let runners: Vec<MutexGuard<Runner>> =
      self.slots.iter().map(|slot| lock(&slot.runner)).collect();
    runners
      .iter()
      .for_each(|runner| self.store.remove("servers", &runner.id));
    self.store.set_mode(Mode::Answers);
    thread::sleep(ENTRY_EXPIRY);
    runners
      .iter()
      .for_each(|runner| runner.write_entry("ready"));
  }
}
