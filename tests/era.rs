//! Eras of the store: after a restore from an older copy, its revision numbers are assigned again.

use bendsaddle::{
  essential::Pulse,
  feed::{Batch, Change, Event, Gate, LIST_INTERVAL, Progress, Source, follow},
  store::{Changes, Error, Object, Page, Revision, Store},
};
use quickcheck::quickcheck;
use slog::{Discard, Logger, o};
use std::{
  sync::{
    Arc, Mutex,
    mpsc::{Receiver, channel},
  },
  thread,
  time::{Duration, Instant},
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn at(era: u64, number: u64) -> Revision {
  Revision { era, number }
}

/// State of a store with one object.
#[derive(Clone, Copy)]
struct Shared {
  revision: Revision,
  /// Revision number of the object's last change.
  content: u64,
  /// Whether a watch from a later number than its own is refused.
  refuses_future: bool,
}

type Server = Arc<Mutex<Shared>>;

fn object(shared: &Shared) -> Object {
  Object {
    name: "one".into(),
    revision: at(shared.revision.era, shared.content),
    spec: format!("{}/{}", shared.revision.era, shared.content).into(),
  }
}

fn store(server: &Server) -> Store {
  let (list_state, watch_state) = (server.clone(), server.clone());
  Store {
    list: Box::new(move |_, _| {
      let shared = *list_state.lock().unwrap();
      Ok(Page {
        objects: vec![object(&shared)],
        more: false,
        revision: shared.revision,
        ..Page::default()
      })
    }),
    watch: Box::new(move |_, from, wait| {
      let until = Instant::now() + wait;
      loop {
        let shared = *watch_state.lock().unwrap();
        if shared.refuses_future && from.number > shared.revision.number {
          return Err(Error::HistoryGone);
        }
        let changed = shared.content > from.number;
        if changed || Instant::now() >= until {
          let object = changed.then(|| (object(&shared), false));
          return Ok(Changes {
            objects: object.into_iter().collect(),
            revision: shared.revision,
            ..Changes::default()
          });
        }
        thread::sleep(Duration::from_millis(5));
      }
    }),
    read: Box::new(|_, _| Err(Error::Absent { era: 0 })),
    write: Box::new(|_, _, _, _| Err(Error::Absent { era: 0 })),
  }
}

/// An object that the follower receives, and up to where the gate names everything as known then.
struct Received {
  object: Object,
  known: Revision,
}

impl Received {
  /// The object's content. Other instances that hear of a change before it is applied here would
  /// take this instance for one that knows it.
  fn content(&self) -> &str {
    assert!(
      self.known < self.object.revision,
      "{} is named before it is applied",
      self.known
    );
    self.object.spec.as_str().unwrap()
  }
}

/// A followed store in its first era, and a channel of what the follower receives.
fn followed(gate: &Arc<Gate>, refuses_future: bool) -> (Server, Receiver<Received>) {
  let server = Arc::new(Mutex::new(Shared {
    revision: at(1, 50),
    content: 40,
    refuses_future,
  }));
  let (sender, contents) = channel();
  let (store, gate) = (store(&server), gate.clone());
  thread::spawn(move || {
    let log = Logger::root(Discard, o!());
    let source = Source {
      store: &store,
      kind: "kind",
      list_interval: LIST_INTERVAL,
      pulse: &Pulse::default(),
    };
    follow(
      source,
      &gate,
      &log,
      |_, _| true,
      |event| {
        let objects: Vec<Object> = match event {
          Event::Listed(objects) | Event::PartlyListed(objects) => objects,
          Event::Changed(objects) => objects.into_iter().map(|(object, _)| object).collect(),
          _ => return false,
        };
        let relevant = !objects.is_empty();
        for object in objects {
          let known = gate.progress().revision;
          // A test that has ended receives nothing more.
          let _ = sender.send(Received { object, known });
        }
        relevant
      },
    )
  });
  (server, contents)
}

/// Waits for a content and calls `every` between checks.
fn wait_for(contents: &Receiver<Received>, content: &str, mut every: impl FnMut()) {
  let start = Instant::now();
  let poll = Duration::from_millis(20);
  while !contents
    .recv_timeout(poll)
    .is_ok_and(|received| received.content() == content)
  {
    assert!(start.elapsed() < TIMEOUT, "`{content}` was not received");
    every();
  }
}

/// Waits until the gate names everything up to a revision as known; it must not pass it.
fn wait_for_progress(gate: &Gate, revision: Revision) {
  let start = Instant::now();
  loop {
    let known = gate.progress().revision;
    assert!(
      known <= revision,
      "{known} is known, {revision} is the last"
    );
    if known == revision {
      return;
    }
    assert!(
      start.elapsed() < TIMEOUT,
      "{known} is known, not {revision}"
    );
    thread::sleep(Duration::from_millis(1));
  }
}

/// Restores the store from a copy, in the next era: at a revision number, with an object changed at
/// `content`.
fn restore(server: &Server, content: u64, number: u64) {
  let mut shared = server.lock().unwrap();
  shared.revision = at(shared.revision.era + 1, number);
  shared.content = content;
}

#[test]
fn a_watch_that_is_refused_after_the_return_goes_on_from_what_is_there() {
  let gate = Arc::new(Gate::default());
  let (server, contents) = followed(&gate, true);
  wait_for(&contents, "1/40", || {});
  restore(&server, 20, 20);
  wait_for(&contents, "2/20", || {});
  let mut shared = server.lock().unwrap();
  (shared.revision, shared.content) = (at(2, 22), 22);
  drop(shared);
  wait_for(&contents, "2/22", || {});
  wait_for_progress(&gate, at(2, 22));
}

#[test]
fn what_was_given_out_again_below_the_known_number_is_read() {
  let gate = Arc::new(Gate::default());
  let (server, contents) = followed(&gate, true);
  wait_for(&contents, "1/40", || {});
  // No watch from 50 is refused, and no later change shows the change at 30.
  restore(&server, 30, 90);
  wait_for(&contents, "2/30", || {});
  wait_for_progress(&gate, at(2, 90));
}

#[test]
fn twice_in_a_row_each_return_is_noticed() {
  let gate = Arc::new(Gate::default());
  let (server, contents) = followed(&gate, false);
  wait_for(&contents, "1/40", || {});
  restore(&server, 30, 90);
  restore(&server, 30, 90);
  wait_for(&contents, "3/30", || {});
  restore(&server, 30, 90);
  wait_for(&contents, "4/30", || {});
}

fn progress(revision: Revision, changed: Revision) -> Progress {
  Progress {
    revision,
    changed,
    age_ms: 0,
  }
}

#[test]
fn a_holder_of_a_later_era_makes_a_follower_read_all() {
  let gate = Arc::new(Gate::default());
  let (server, contents) = followed(&gate, false);
  wait_for(&contents, "1/40", || {});
  restore(&server, 30, 90);
  let holder_progress = progress(at(2, 90), at(2, 30));
  wait_for(&contents, "2/30", || gate.receive_progress(holder_progress));
}

#[test]
fn a_holder_that_does_not_know_of_the_return_is_not_followed() {
  let gate = Arc::new(Gate::default());
  let (server, contents) = followed(&gate, false);
  wait_for(&contents, "1/40", || {});
  restore(&server, 30, 45);
  wait_for(&contents, "2/30", || {});
  let mut shared = server.lock().unwrap();
  (shared.revision, shared.content) = (at(2, 46), 46);
  drop(shared);
  let holder_progress = progress(at(1, 60), at(1, 40));
  wait_for(&contents, "2/46", || gate.receive_progress(holder_progress));
}

#[test]
fn a_batch_of_a_later_era_is_no_bridge_to_it() {
  let gate = Arc::new(Gate::default());
  let (server, contents) = followed(&gate, false);
  wait_for(&contents, "1/40", || {});
  let holder_progress = progress(at(2, 95), at(2, 95));
  let batch = Batch {
    since: Revision::first(2),
    after: at(2, 90),
    revision: at(2, 95),
    changes: vec![Change {
      name: "one".into(),
      revision: at(2, 95),
      removed: false,
      spec: "\"batch\"".into(),
    }],
  };
  restore(&server, 30, 95);
  gate.receive_progress(holder_progress);
  gate.receive_batch(batch);
  let start = Instant::now();
  let first = loop {
    assert!(start.elapsed() < TIMEOUT);
    gate.receive_progress(holder_progress);
    if let Ok(first) = contents.recv_timeout(Duration::from_millis(20)) {
      break first;
    }
  };
  assert_eq!(first.content(), "2/30", "the full list is read");
}

quickcheck! {
  /// Revisions are ordered by era first and by number second.
  fn revisions_are_ordered_by_their_eras_first(one: (u32, u32), two: (u32, u32)) -> bool {
    let revision = |(era, number): (u32, u32)| at(era.into(), number.into());
    revision(one).cmp(&revision(two)) == one.cmp(&two)
  }
}
