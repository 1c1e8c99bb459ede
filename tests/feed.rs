//! The holder watches the store for the other instances. They watch it directly as soon as the
//! holder's progress is outdated or names a change that they have not received.

use bendsaddle::{
  essential::Pulse,
  feed::{Batch, Change, Event, Gate, LIST_INTERVAL, OUTAGE_THRESHOLD, Progress, Source, follow},
  reachability::Reachability,
  store::{Changes, Error, Object, Page, Store},
};
use slog::{Discard, Logger, o};
use std::{
  sync::{
    Arc, LazyLock,
    atomic::{AtomicBool, AtomicU64, Ordering},
    mpsc::{Receiver, channel},
  },
  thread,
  time::{Duration, Instant},
};

/// State of a store with one object; counts calls.
#[derive(Default)]
struct Shared {
  revision: AtomicU64,
  watches: AtomicU64,
  lists: AtomicU64,
  /// Status with which watches are refused; 0 if they are not.
  watch_refusal: AtomicU64,
  /// A response with more changes than this does not arrive in time; 0 if there is no such limit.
  max_changes: AtomicU64,
  /// Whether watches end at once, also without changes.
  ends_watches: AtomicBool,
  /// Whether lists get no response.
  loses_lists: AtomicBool,
}

fn object(revision: u64) -> Object {
  Object {
    name: "one".into(),
    revision: revision.into(),
    spec: revision.into(),
  }
}

fn store(shared: &Arc<Shared>) -> Store {
  let (list_state, watch_state) = (shared.clone(), shared.clone());
  Store {
    list: Box::new(move |_, _| {
      list_state.lists.fetch_add(1, Ordering::Relaxed);
      if list_state.loses_lists.load(Ordering::Relaxed) {
        return Err(Error::NoAnswer);
      }
      let revision = list_state.revision.load(Ordering::Relaxed);
      Ok(Page {
        objects: vec![object(revision)],
        more: false,
        revision: revision.into(),
        ..Page::default()
      })
    }),
    watch: Box::new(move |_, from, wait| {
      let from = from.number;
      watch_state.watches.fetch_add(1, Ordering::Relaxed);
      let status = watch_state.watch_refusal.load(Ordering::Relaxed);
      if status > 0 {
        return Err(Error::Refused(status as u16));
      }
      let until = Instant::now() + wait;
      loop {
        let revision = watch_state.revision.load(Ordering::Relaxed);
        let max_changes = watch_state.max_changes.load(Ordering::Relaxed);
        if max_changes > 0 && revision - from > max_changes {
          return Err(Error::NoAnswer);
        }
        let ends = watch_state.ends_watches.load(Ordering::Relaxed);
        if ends || revision > from || Instant::now() >= until {
          let objects = (revision > from).then(|| (object(revision), false));
          return Ok(Changes {
            objects: objects.into_iter().collect(),
            revision: revision.into(),
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

/// Of all threads that follow a store.
static PULSE: LazyLock<Pulse> = LazyLock::new(Pulse::default);

fn source(store: &Store) -> Source<'_> {
  Source {
    store,
    kind: "kind",
    list_interval: LIST_INTERVAL,
    pulse: &PULSE,
  }
}

/// Follows the store in a thread; returns a channel of the revisions that it reads.
fn spawn(shared: &Arc<Shared>, gate: &Arc<Gate>) -> Receiver<u64> {
  let (sender, receiver) = channel();
  follow_events(shared, gate, move |event| {
    let revision = match event {
      Event::Listed(objects) | Event::PartlyListed(objects) => objects[0].revision.number,
      Event::Changed(objects) => objects[0].0.revision.number,
      Event::Unreachable | Event::Reachable(_) | Event::Restored | Event::CaughtUp => return false,
    };
    let _ = sender.send(revision);
    true
  });
  receiver
}

/// Follows the store in a thread.
fn follow_events(
  shared: &Arc<Shared>,
  gate: &Arc<Gate>,
  take: impl FnMut(Event) -> bool + Send + 'static,
) {
  let (store, gate) = (store(shared), gate.clone());
  let log = Logger::root(Discard, o!());
  // Only objects with an odd revision are relevant to other instances.
  let odd = |object: &Object, _| object.revision.number % 2 == 1;
  thread::spawn(move || follow(source(&store), &gate, &log, odd, take));
}

fn progress(revision: u64, changed: u64, age_ms: u64) -> Progress {
  Progress {
    revision: revision.into(),
    changed: changed.into(),
    age_ms,
  }
}

const TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a store that answers watches at once, and is then called without end.
#[test]
fn a_store_that_does_not_wait_is_not_watched_without_end() {
  let shared = Arc::new(Shared::default());
  shared.revision.store(5, Ordering::Relaxed);
  shared.ends_watches.store(true, Ordering::Relaxed);
  let gate = Arc::new(Gate::default());
  let revisions = spawn(&shared, &gate);
  assert_eq!(revisions.recv_timeout(TIMEOUT), Ok(5));
  let started = Instant::now();
  let before = shared.watches.load(Ordering::Relaxed);
  thread::sleep(Duration::from_secs(1));
  let watches = shared.watches.load(Ordering::Relaxed) - before;
  let most = started.elapsed().as_millis() as u64 / 100 + 1;
  assert!(watches <= most, "{watches} watches");
}

/// Passes on a holder's progress every 20 ms until `done`; returns the longest interval between two
/// of them, which may be long on a busy machine.
fn keep_following(
  gate: &Gate,
  holder_progress: Progress,
  mut done: impl FnMut() -> bool,
) -> Duration {
  let start = Instant::now();
  let (mut last, mut longest) = (start, Duration::ZERO);
  while !done() {
    assert!(start.elapsed() < TIMEOUT, "not in time");
    gate.receive_progress(holder_progress);
    longest = longest.max(last.elapsed());
    last = Instant::now();
    thread::sleep(Duration::from_millis(20));
  }
  longest
}

/// A store at revision 5, followed by way of a holder's progress, and a channel of its revisions.
fn followed() -> (Arc<Shared>, Arc<Gate>, Receiver<u64>) {
  let shared = Arc::new(Shared::default());
  shared.revision.store(5, Ordering::Relaxed);
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5, 5, 0));
  let revisions = spawn(&shared, &gate);
  assert_eq!(revisions.recv_timeout(TIMEOUT), Ok(5));
  // An event is processed before the gate's progress shows it.
  let start = Instant::now();
  while gate.progress().revision.number < 5 {
    assert!(start.elapsed() < TIMEOUT, "not in time");
    thread::sleep(Duration::from_millis(1));
  }
  (shared, gate, revisions)
}

/// Passes on a holder's progress until a revision is received.
fn wait_for_revision(
  gate: &Gate,
  holder_progress: Progress,
  revisions: &Receiver<u64>,
) -> Option<u64> {
  let mut received = None;
  keep_following(gate, holder_progress, || {
    received = received.or(revisions.try_recv().ok());
    received.is_some()
  });
  received
}

#[test]
fn a_change_that_the_word_names_is_fetched_and_others_cost_no_call() {
  let (shared, gate, revisions) = followed();
  // Further changes are not relevant: nothing is fetched while the holder's progress is recent.
  shared.revision.store(9, Ordering::Relaxed);
  let mut sent = 0;
  let gap = keep_following(&gate, progress(9, 5, 0), || {
    sent += 1;
    sent > 100
  });
  let watches = shared.watches.load(Ordering::Relaxed);
  assert!(watches == 0 || gap > Duration::from_secs(1), "{watches}");
  shared.revision.store(12, Ordering::Relaxed);
  assert_eq!(
    wait_for_revision(&gate, progress(12, 12, 0), &revisions),
    Some(12)
  );
}

#[test]
fn an_old_word_does_not_hide_news() {
  let (shared, gate, revisions) = followed();
  // The holder still sends its progress, but has had no response of the store for 1.4 s.
  shared.revision.store(7, Ordering::Relaxed);
  assert_eq!(
    wait_for_revision(&gate, progress(5, 5, 1_400), &revisions),
    Some(7)
  );
}

#[test]
fn who_leads_reads_all_that_it_passed_over() {
  let (shared, gate, revisions) = followed();
  shared.revision.store(9, Ordering::Relaxed);
  gate.receive_progress(progress(9, 5, 0));
  gate.set_leading(true);
  assert_eq!(revisions.recv_timeout(TIMEOUT), Ok(9));
  assert_eq!(shared.lists.load(Ordering::Relaxed), 2);
}

#[test]
fn who_goes_by_a_word_learns_how_long_the_store_was_silent() {
  let shared = Arc::new(Shared::default());
  shared.revision.store(5, Ordering::Relaxed);
  let gate = Arc::new(Gate::default());
  let (sender, outages) = channel();
  let start = Instant::now();
  gate.receive_progress(progress(5, 5, 0));
  follow_events(&shared, &gate, move |event| {
    if let Event::Reachable(outage) = event {
      let _ = sender.send(outage.length);
    }
    true
  });
  // The store responds neither to the holder nor to this instance.
  shared.watch_refusal.store(503, Ordering::Relaxed);
  thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(500));
  shared.watch_refusal.store(0, Ordering::Relaxed);
  let outage = outages.recv_timeout(TIMEOUT).unwrap();
  assert!(
    outage >= OUTAGE_THRESHOLD && outage <= start.elapsed(),
    "{outage:?}"
  );
}

/// A batch that a holder read: object `one` at a revision, after the change at `since`.
fn batch(since: u64, revision: u64) -> Batch {
  Batch {
    since: since.into(),
    after: since.into(),
    revision: revision.into(),
    changes: vec![Change {
      name: "one".into(),
      revision: revision.into(),
      removed: false,
      spec: revision.to_string(),
    }],
  }
}

#[test]
fn changes_that_a_holder_read_cost_no_call() {
  let (shared, gate, revisions) = followed();
  shared.revision.store(8, Ordering::Relaxed);
  gate.receive_batch(batch(5, 8));
  assert_eq!(
    wait_for_revision(&gate, progress(8, 8, 0), &revisions),
    Some(8)
  );
  // A batch that is sent twice or late is already known.
  gate.receive_batch(batch(5, 8));
  gate.receive_batch(batch(8, 10));
  shared.revision.store(10, Ordering::Relaxed);
  assert_eq!(
    wait_for_revision(&gate, progress(10, 10, 0), &revisions),
    Some(10)
  );
  let mut sent = 0;
  let gap = keep_following(&gate, progress(10, 10, 0), || {
    sent += 1;
    sent > 20
  });
  let watches = shared.watches.load(Ordering::Relaxed);
  assert!(watches == 0 || gap > Duration::from_secs(1), "{watches}");
  assert!(revisions.try_recv().is_err());
}

#[test]
fn a_batch_after_a_lost_one_is_not_taken_and_the_store_is_asked() {
  let (shared, gate, revisions) = followed();
  shared.revision.store(12, Ordering::Relaxed);
  // The batch up to 8 was lost.
  gate.receive_batch(batch(8, 11));
  assert_eq!(
    wait_for_revision(&gate, progress(11, 11, 0), &revisions),
    Some(12)
  );
  assert!(shared.watches.load(Ordering::Relaxed) > 0);
}

#[test]
fn a_batch_that_is_not_understood_is_passed_over() {
  let (shared, gate, revisions) = followed();
  shared.revision.store(8, Ordering::Relaxed);
  let mut broken = batch(5, 8);
  broken.changes[0].spec = "{".into();
  gate.receive_batch(broken);
  assert_eq!(
    wait_for_revision(&gate, progress(8, 8, 0), &revisions),
    Some(8)
  );
  assert!(shared.watches.load(Ordering::Relaxed) > 0);
}

/// Waits for the batches that a holder publishes next.
fn published(gate: &Gate) -> Vec<Batch> {
  let start = Instant::now();
  loop {
    let published = gate.take_published();
    if !published.is_empty() {
      return published;
    }
    assert!(start.elapsed() < TIMEOUT, "not in time");
    thread::sleep(Duration::from_millis(1));
  }
}

#[test]
fn a_holder_publishes_what_it_reads_and_takes_nobody_elses() {
  let (shared, gate, revisions) = followed();
  gate.set_leading(true);
  gate.receive_batch(batch(5, 20));
  shared.revision.store(7, Ordering::Relaxed);
  assert_eq!(revisions.recv_timeout(TIMEOUT), Ok(7));
  let published = published(&gate);
  assert_eq!(published, [batch(5, 7)]);
}

#[test]
fn a_removal_in_a_batch_counts_though_its_object_is_older() {
  let shared = Arc::new(Shared::default());
  shared.revision.store(5, Ordering::Relaxed);
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5, 5, 0));
  let (sender, removals) = channel();
  follow_events(&shared, &gate, move |event| {
    if let Event::Changed(objects) = &event {
      let _ = sender.send(objects.clone());
    }
    true
  });
  let start = Instant::now();
  while gate.progress().revision.number < 5 {
    assert!(start.elapsed() < TIMEOUT, "not in time");
    thread::sleep(Duration::from_millis(1));
  }
  let mut removal = batch(5, 8);
  removal.changes[0].revision = 3.into();
  removal.changes[0].removed = true;
  gate.receive_batch(removal);
  gate.receive_progress(progress(8, 8, 0));
  let objects = removals.recv_timeout(TIMEOUT).unwrap();
  assert!(objects[0].1, "{objects:?}");
}

#[test]
fn a_batch_of_which_a_part_is_known_is_not_taken() {
  let (shared, gate, revisions) = followed();
  // The holder read the changes at 6 and 8 together; this instance has read up to 7 directly.
  shared.revision.store(7, Ordering::Relaxed);
  assert_eq!(
    wait_for_revision(&gate, progress(7, 7, 0), &revisions),
    Some(7)
  );
  shared.revision.store(9, Ordering::Relaxed);
  gate.receive_batch(batch(5, 8));
  assert_eq!(
    wait_for_revision(&gate, progress(8, 8, 0), &revisions),
    Some(9)
  );
}

// Guards against an instance that stays outdated behind a link that loses 15% of its packets: it
// was 20.2 s late while the deployment changed every 0.3 s. Its watch from revision 197 failed
// thirteen times in a row ("call failed", "watch"): each response had to contain all deployments
// since that revision, one more each time, and none arrived within its second, until the store had
// compacted the revision and the full list, a single object, was read.
#[test]
fn a_watch_whose_answer_does_not_arrive_is_followed_by_a_read_of_all() {
  let (shared, _gate, revisions) = followed();
  shared.max_changes.store(3, Ordering::Relaxed);
  shared.revision.store(20, Ordering::Relaxed);
  assert_eq!(revisions.recv_timeout(TIMEOUT), Ok(20));
}

// An instance that gets no response of the store, but receives the holder's batches, applies them
// also after a failed call, while its own read of the full list is still pending.
#[test]
fn what_a_holder_read_is_taken_while_the_store_does_not_answer() {
  let (shared, gate, revisions) = followed();
  shared.max_changes.store(1, Ordering::Relaxed);
  shared.loses_lists.store(true, Ordering::Relaxed);
  shared.revision.store(8, Ordering::Relaxed);
  let start = Instant::now();
  while shared.lists.load(Ordering::Relaxed) < 2 {
    assert!(start.elapsed() < TIMEOUT, "not in time");
    thread::sleep(Duration::from_millis(1));
  }
  gate.receive_batch(batch(5, 8));
  assert_eq!(
    wait_for_revision(&gate, progress(8, 8, 0), &revisions),
    Some(8)
  );
}

/// Returns the batch that a holder publishes for one response of the store with changes after
/// revision 5.
fn published_batch(
  changes: Vec<(Object, bool)>,
  is_relevant: impl Fn(&Object, bool) -> bool + Send + 'static,
) -> Batch {
  let revision = changes.last().expect("a change").0.revision;
  let responded = AtomicBool::new(false);
  let store = Store {
    list: Box::new(|_, _| {
      Ok(Page {
        objects: vec![object(5)],
        more: false,
        revision: 5.into(),
        ..Page::default()
      })
    }),
    watch: Box::new(move |_, _, wait| {
      let first = !responded.swap(true, Ordering::Relaxed);
      if !first {
        thread::sleep(wait);
      }
      let objects = changes.iter().filter(|_| first).cloned().collect();
      Ok(Changes {
        objects,
        revision,
        ..Changes::default()
      })
    }),
    read: Box::new(|_, _| Err(Error::Absent { era: 0 })),
    write: Box::new(|_, _, _, _| Err(Error::Absent { era: 0 })),
  };
  let gate = Arc::new(Gate::default());
  gate.set_leading(true);
  let (followed, log) = (gate.clone(), Logger::root(Discard, o!()));
  thread::spawn(move || follow(source(&store), &followed, &log, is_relevant, |_| true));
  published(&gate).swap_remove(0)
}

/// A store that lists two objects in a page each. The second one appears while the list is read, and
/// the first watch returns it again.
fn changing_store() -> Store {
  let responded = AtomicBool::new(false);
  Store {
    list: Box::new(|_, after| {
      let object = match after {
        None => Object {
          name: "a".into(),
          ..object(5)
        },
        Some(_) => object(7),
      };
      Ok(Page {
        last: Some(object.name.clone()),
        objects: vec![object],
        more: after.is_none(),
        revision: if after.is_none() { 5 } else { 7 }.into(),
        ..Page::default()
      })
    }),
    watch: Box::new(move |_, _, wait| {
      let first = !responded.swap(true, Ordering::Relaxed);
      if !first {
        thread::sleep(wait);
      }
      Ok(Changes {
        objects: first.then(|| (object(7), false)).into_iter().collect(),
        revision: 7.into(),
        ..Changes::default()
      })
    }),
    read: Box::new(|_, _| Err(Error::Absent { era: 0 })),
    write: Box::new(|_, _, _, _| Err(Error::Absent { era: 0 })),
  }
}

/// An object that appeared while a holder read its list, and after others had read theirs, was known to
/// the holder when a watch returned it, and the others never learned of it.
#[test]
fn a_holder_publishes_what_appeared_while_it_read_its_list() {
  let gate = Arc::new(Gate::default());
  gate.set_leading(true);
  let (followed, log) = (gate.clone(), Logger::root(Discard, o!()));
  thread::spawn(move || {
    let store = changing_store();
    let is_listed = |event: Event| matches!(event, Event::Listed(_));
    follow(source(&store), &followed, &log, |_, _| false, is_listed)
  });
  let batch = published(&gate).swap_remove(0);
  assert_eq!(revisions(&batch), [(7, false)]);
  wait_for("the progress names it", || {
    gate.progress().changed == 7.into()
  });
}

/// Revisions of the changes in a batch, each with whether it is a removal.
fn revisions(batch: &Batch) -> Vec<(u64, bool)> {
  let changes = batch.changes.iter();
  changes
    .map(|change| (change.revision.number, change.removed))
    .collect()
}

// Entries of servers change with each load, a hundred times a second at 256 servers; other
// instances only need a server's address and whether it accepts requests.
#[test]
fn a_holder_publishes_of_an_answer_what_others_need() {
  let changes = (6..=8).map(|revision| (object(revision), false));
  let odd = |object: &Object, _| object.revision.number % 2 == 1;
  let published = published_batch(changes.collect(), odd);
  assert_eq!(revisions(&published), [(7, false)]);
  assert_eq!((published.after, published.revision), (5.into(), 8.into()));
}

// Guards against losing a server whose entry is removed and added again within one response of the
// store: the holder treated the entry as known and published only the removal, so that its
// followers dropped the server.
#[test]
fn a_holder_publishes_an_entry_that_is_back_with_the_answer_that_removes_it() {
  let changes = vec![(object(6), true), (object(7), false)];
  // A known entry is not relevant to other instances.
  let published = published_batch(changes, |_, removed| removed);
  assert_eq!(revisions(&published), [(6, true), (7, false)]);
}

// Guards against keeping a server whose entry is added and removed within one response of the
// store: the followers received only the entry, and sent requests to the server for as long as it
// responded.
#[test]
fn a_holder_publishes_a_removal_that_comes_with_the_answer_that_brings_the_entry() {
  let changes = vec![(object(6), false), (object(7), true)];
  // The removal of an unknown entry is not relevant to other instances.
  let published = published_batch(changes, |_, removed| !removed);
  assert_eq!(revisions(&published), [(6, false), (7, true)]);
}

// Guards against a follower that misses an entry that is added again. The follower had read the
// removal directly; the holder read the list after the entry was back, which was no change for the
// holder, so the follower did not read it.
#[test]
fn what_a_holder_reads_whole_others_read_for_themselves() {
  let shared = Arc::new(Shared::default());
  shared.revision.store(5, Ordering::Relaxed);
  let gate = Arc::new(Gate::default());
  gate.set_leading(true);
  follow_events(&shared, &gate, |_| false);
  wait_for("the first list", || gate.progress().revision.number == 5);
  // No response to a watch arrives any more, so the full list is read.
  shared.max_changes.store(1, Ordering::Relaxed);
  shared.revision.store(8, Ordering::Relaxed);
  wait_for("the second list", || gate.progress().revision.number == 8);
  assert_eq!(gate.progress().changed.number, 8);
}

/// Guards against a list that may lack objects and is not read again: a call for it failed, or a holder's
/// progress was followed, which needs no call.
#[test]
fn an_incomplete_list_is_read_again_until_it_is_complete() {
  const FAILED: u64 = 3;
  for follows in [false, true] {
    let lists = Arc::new(AtomicU64::new(0));
    let counted = lists.clone();
    let store = Store {
      list: Box::new(move |_, _| match counted.fetch_add(1, Ordering::Relaxed) {
        // A page that claims more, which no name leads to.
        0 => Ok(Page {
          more: true,
          revision: 5.into(),
          ..Page::default()
        }),
        1..=FAILED => Err(Error::Refused(503)),
        _ => Ok(Page {
          objects: vec![object(5)],
          revision: 5.into(),
          ..Page::default()
        }),
      }),
      watch: Box::new(|_, from, wait| {
        thread::sleep(wait);
        Ok(Changes {
          revision: from,
          ..Changes::default()
        })
      }),
      read: Box::new(|_, _| Err(Error::Absent { era: 0 })),
      write: Box::new(|_, _, _, _| Err(Error::Absent { era: 0 })),
    };
    let gate = Arc::new(Gate::default());
    let (followed, log) = (gate.clone(), Logger::root(Discard, o!()));
    let (sender, complete) = channel();
    let take = move |event| {
      if let Event::Listed(objects) = event {
        let _ = sender.send(objects.len());
      }
      false
    };
    thread::spawn(move || {
      let source = Source {
        list_interval: Duration::from_millis(100),
        ..source(&store)
      };
      follow(source, &followed, &log, |_, _| true, take)
    });
    wait_for("a complete list", || {
      if follows {
        gate.receive_progress(progress(5, 5, 0));
      }
      complete.try_recv().is_ok()
    });
    thread::sleep(Duration::from_millis(500));
    assert_eq!(lists.load(Ordering::Relaxed), FAILED + 2, "it is complete");
  }
}

fn wait_for(condition: &str, mut holds: impl FnMut() -> bool) {
  let start = Instant::now();
  while !holds() {
    assert!(start.elapsed() < TIMEOUT, "{condition}");
    thread::sleep(Duration::from_millis(5));
  }
}

/// Two feeds whose watches were rejected ended each other's pauses, and called thousands of times a
/// second.
#[test]
fn a_rejected_watch_does_not_end_the_pause_of_another_feed() {
  let reachability = Arc::new(Reachability::default());
  let shared = Arc::new(Shared::default());
  shared.revision.store(5, Ordering::Relaxed);
  let feeds = [(); 2].map(|()| {
    let gate = Arc::new(Gate::new(reachability.clone()));
    let revisions = spawn(&shared, &gate);
    assert_eq!(revisions.recv_timeout(TIMEOUT), Ok(5));
    (gate, revisions)
  });
  shared.watch_refusal.store(429, Ordering::Relaxed);
  shared.watches.store(0, Ordering::Relaxed);
  thread::sleep(Duration::from_secs(3));
  // Pauses of 100 ms, doubled up to 800 ms, each 0.5 to 1.5 times as long.
  let watches = shared.watches.load(Ordering::Relaxed);
  assert!(watches <= 20, "{watches} calls");
  shared.watch_refusal.store(0, Ordering::Relaxed);
  shared.revision.store(7, Ordering::Relaxed);
  for (_, revisions) in &feeds {
    assert_eq!(revisions.recv_timeout(TIMEOUT), Ok(7));
  }
}
