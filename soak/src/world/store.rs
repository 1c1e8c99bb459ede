//! Faults of the platform's store.

use super::{World, lock, place::LAPSE};
use crate::{history::Target, plan::Store as StoreFault};
use platform_stand_in::{runner::Runner, store::Fate};
use std::{sync::MutexGuard, thread, time::Duration};

/// After the store's return the operator writes again after this time, and servers one after the
/// other with this pause.
const OPERATOR: Duration = Duration::from_millis(400);
const BEAT: Duration = Duration::from_millis(60);
/// Contents of entries that name no server.
const FOREIGN: [&[u8]; 4] = [
  b"null",
  b"{\"service\":7}",
  b"{\"service\":\"plain\",\"address\":\"127.0.0.1:1\",\"state\":\"resting\"}",
  b"{\"service\":\"\xff\xfe\"}",
];

impl World {
  pub(super) fn store(&self, fault: StoreFault, lasts: Duration) {
    let trouble = self.book.begin(Target::Store, "store");
    match fault {
      StoreFault::Forgets => self.store.forget(),
      StoreFault::Down => self.fate(Fate::Refuses, lasts),
      StoreFault::Silent => self.fate(Fate::Mute, lasts),
      StoreFault::Slow => self.fate(Fate::Slow(Duration::from_millis(250)), lasts),
      StoreFault::LosesAnswers => self.fate(Fate::Loses, lasts),
      StoreFault::WritesLate => self.fate(Fate::Late(Duration::from_millis(1_200)), lasts),
      StoreFault::Lapse => self.lapse(lasts),
      StoreFault::Foreign => self.foreign(lasts),
      StoreFault::Returns(tenths) => self.restore(u64::from(tenths) * 100, lasts),
    }
    self.book.end(trouble);
  }

  /// Entries of another writer stand among those of servers, before and after them by name.
  fn foreign(&self, lasts: Duration) {
    let names: Vec<String> = (0..FOREIGN.len())
      .flat_map(|number| [format!("a-{number}"), format!("z-{number}")])
      .collect();
    for (name, bytes) in names.iter().zip(FOREIGN.iter().cycle()) {
      self.store.put_raw("servers", name, bytes);
    }
    thread::sleep(lasts);
    names
      .iter()
      .for_each(|name| self.store.remove("servers", name));
  }

  /// The store goes away and comes back from a copy; the operator and servers write again what is
  /// theirs, each after a while.
  fn restore(&self, age_ms: u64, lasts: Duration) {
    let copy = self.store.copy();
    thread::sleep(Duration::from_millis(age_ms));
    self.store.fate(Fate::Refuses);
    thread::sleep(lasts);
    self.store.restore(&copy);
    self.store.fate(Fate::Answers);
    thread::sleep(OPERATOR);
    self.configure_again();
    let runners = lock(&self.runners).clone();
    let gone = |id: &str| {
      self
        .book
        .note(|history| history.gone.iter().any(|(gone, _)| gone == id))
    };
    for runner in runners.iter().filter(|runner| !gone(&runner.id)) {
      thread::sleep(BEAT);
      runner.beat_again();
    }
    thread::sleep(LAPSE * 3);
    for runner in runners.iter().filter(|runner| gone(&runner.id)) {
      self.store.remove("servers", &runner.id);
    }
  }

  fn fate(&self, fate: Fate, lasts: Duration) {
    self.store.fate(fate);
    thread::sleep(lasts);
    self.store.fate(Fate::Answers);
  }

  /// The store is down, and entries of servers are back a little after it.
  fn lapse(&self, lasts: Duration) {
    self.store.fate(Fate::Refuses);
    thread::sleep(lasts);
    let held: Vec<MutexGuard<Runner>> = self
      .places
      .iter()
      .map(|place| lock(&place.runner))
      .collect();
    held
      .iter()
      .for_each(|runner| self.store.remove("servers", &runner.id));
    self.store.fate(Fate::Answers);
    thread::sleep(LAPSE);
    held.iter().for_each(|runner| runner.beat("ready"));
  }
}
