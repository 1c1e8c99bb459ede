//! One instance watches the store for others: they watch by themselves as soon as
//! its word is old or names a change that they lack.

use bendsaddle::{
  feed::{Batch, Change, Event, Gate, OUTAGE_THRESHOLD, Progress, follow},
  store::{Changes, Error, Object, Page, Store},
};
use slog::{Discard, Logger, o};
use std::{
  sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
    mpsc::{Receiver, channel},
  },
  thread,
  time::{Duration, Instant},
};

/// A store whose revision is a number, and that counts its calls.
#[derive(Default)]
struct Numbers {
  revision: AtomicU64,
  watches: AtomicU64,
  lists: AtomicU64,
  /// It refuses watches.
  mute: AtomicBool,
  /// An answer that brings more changes than these never arrives in time; 0: all do.
  most: AtomicU64,
  /// Lists are not answered.
  unlisted: AtomicBool,
}

fn object(revision: u64) -> Object {
  Object {
    name: "one".into(),
    revision: revision.into(),
    spec: revision.into(),
  }
}

fn store(numbers: &Arc<Numbers>) -> Store {
  let (listed, watched) = (numbers.clone(), numbers.clone());
  Store {
    list: Box::new(move |_, _| {
      listed.lists.fetch_add(1, Ordering::Relaxed);
      if listed.unlisted.load(Ordering::Relaxed) {
        return Err(Error::NoAnswer);
      }
      let revision = listed.revision.load(Ordering::Relaxed);
      Ok(Page {
        objects: vec![object(revision)],
        more: false,
        revision: revision.into(),
      })
    }),
    watch: Box::new(move |_, from, wait| {
      let from = from.number;
      watched.watches.fetch_add(1, Ordering::Relaxed);
      if watched.mute.load(Ordering::Relaxed) {
        return Err(Error::Refused(503));
      }
      let until = Instant::now() + wait;
      loop {
        let revision = watched.revision.load(Ordering::Relaxed);
        let most = watched.most.load(Ordering::Relaxed);
        if most > 0 && revision - from > most {
          return Err(Error::NoAnswer);
        }
        if revision > from || Instant::now() >= until {
          let objects = (revision > from).then(|| (object(revision), false));
          return Ok(Changes {
            objects: objects.into_iter().collect(),
            revision: revision.into(),
          });
        }
        thread::sleep(Duration::from_millis(5));
      }
    }),
    read: Box::new(|_, _| Err(Error::Absent { era: 0 })),
    write: Box::new(|_, _, _, _| Err(Error::Absent { era: 0 })),
  }
}

/// Follows the store in a thread; gives the revisions of its news.
fn spawn(numbers: &Arc<Numbers>, gate: &Arc<Gate>) -> Receiver<u64> {
  let (sender, receiver) = channel();
  follow_events(numbers, gate, move |event| {
    let revision = match event {
      Event::Listed(objects) => objects[0].revision.number,
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
  numbers: &Arc<Numbers>,
  gate: &Arc<Gate>,
  take: impl FnMut(Event) -> bool + Send + 'static,
) {
  let (store, gate) = (store(numbers), gate.clone());
  let log = Logger::root(Discard, o!());
  // Objects with an odd revision matter to others.
  let odd = |object: &Object, _| object.revision.number % 2 == 1;
  thread::spawn(move || follow(&store, "kind", &gate, &log, odd, take));
}

fn progress(revision: u64, changed: u64, age_ms: u64) -> Progress {
  Progress {
    revision: revision.into(),
    changed: changed.into(),
    age_ms,
  }
}

const LONG: Duration = Duration::from_secs(20);

/// Speaks for a holder every few milliseconds until `done`; gives the longest
/// silence, which a busy machine may make long.
fn keep_following(gate: &Gate, word: Progress, mut done: impl FnMut() -> bool) -> Duration {
  let began = Instant::now();
  let (mut last, mut longest) = (began, Duration::ZERO);
  while !done() {
    assert!(began.elapsed() < LONG, "not in time");
    gate.receive_progress(word);
    longest = longest.max(last.elapsed());
    last = Instant::now();
    thread::sleep(Duration::from_millis(20));
  }
  longest
}

/// A store at revision 5 that is followed under a holder's word, and its news.
fn followed() -> (Arc<Numbers>, Arc<Gate>, Receiver<u64>) {
  let numbers = Arc::new(Numbers::default());
  numbers.revision.store(5, Ordering::Relaxed);
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5, 5, 0));
  let news = spawn(&numbers, &gate);
  assert_eq!(news.recv_timeout(LONG), Ok(5));
  // Event is taken up before the gate knows of it.
  let began = Instant::now();
  while gate.progress().revision.number < 5 {
    assert!(began.elapsed() < LONG, "not in time");
    thread::sleep(Duration::from_millis(1));
  }
  (numbers, gate, news)
}

/// Speaks for a holder until there is news.
fn heard(gate: &Gate, word: Progress, news: &Receiver<u64>) -> Option<u64> {
  let mut heard = None;
  keep_following(gate, word, || {
    heard = heard.or(news.try_recv().ok());
    heard.is_some()
  });
  heard
}

#[test]
fn a_change_that_the_word_names_is_fetched_and_others_cost_no_call() {
  let (numbers, gate, news) = followed();
  // Further changes do not matter: nothing is fetched while the word is fresh.
  numbers.revision.store(9, Ordering::Relaxed);
  let mut spoken = 0;
  let silence = keep_following(&gate, progress(9, 5, 0), || {
    spoken += 1;
    spoken > 100
  });
  let watches = numbers.watches.load(Ordering::Relaxed);
  assert!(
    watches == 0 || silence > Duration::from_secs(1),
    "{watches}"
  );
  numbers.revision.store(12, Ordering::Relaxed);
  assert_eq!(heard(&gate, progress(12, 12, 0), &news), Some(12));
}

#[test]
fn an_old_word_does_not_hide_news() {
  let (numbers, gate, news) = followed();
  // The holder speaks on, but the store has not answered it for long.
  numbers.revision.store(7, Ordering::Relaxed);
  assert_eq!(heard(&gate, progress(5, 5, 1_400), &news), Some(7));
}

#[test]
fn who_leads_reads_all_that_it_passed_over() {
  let (numbers, gate, news) = followed();
  numbers.revision.store(9, Ordering::Relaxed);
  gate.receive_progress(progress(9, 5, 0));
  gate.set_leading(true);
  assert_eq!(news.recv_timeout(LONG), Ok(9));
  assert_eq!(numbers.lists.load(Ordering::Relaxed), 2);
}

#[test]
fn who_goes_by_a_word_learns_how_long_the_store_was_silent() {
  let numbers = Arc::new(Numbers::default());
  numbers.revision.store(5, Ordering::Relaxed);
  let gate = Arc::new(Gate::default());
  let (sender, silences) = channel();
  let asked = Instant::now();
  gate.receive_progress(progress(5, 5, 0));
  follow_events(&numbers, &gate, move |event| {
    if let Event::Reachable(silence) = event {
      let _ = sender.send(silence.length);
    }
    true
  });
  // The store answers neither the holder nor this instance.
  numbers.mute.store(true, Ordering::Relaxed);
  thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(500));
  numbers.mute.store(false, Ordering::Relaxed);
  let silence = silences.recv_timeout(LONG).unwrap();
  assert!(
    silence >= OUTAGE_THRESHOLD && silence <= asked.elapsed(),
    "{silence:?}"
  );
}

/// What a holder read: object `one` at a revision, after the change at `since`.
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
  let (numbers, gate, news) = followed();
  numbers.revision.store(8, Ordering::Relaxed);
  gate.receive_batch(batch(5, 8));
  assert_eq!(heard(&gate, progress(8, 8, 0), &news), Some(8));
  // Sent twice, or late: it is known.
  gate.receive_batch(batch(5, 8));
  gate.receive_batch(batch(8, 10));
  numbers.revision.store(10, Ordering::Relaxed);
  assert_eq!(heard(&gate, progress(10, 10, 0), &news), Some(10));
  let mut spoken = 0;
  let silence = keep_following(&gate, progress(10, 10, 0), || {
    spoken += 1;
    spoken > 20
  });
  let watches = numbers.watches.load(Ordering::Relaxed);
  assert!(
    watches == 0 || silence > Duration::from_secs(1),
    "{watches}"
  );
  assert!(news.try_recv().is_err());
}

#[test]
fn a_batch_after_a_lost_one_is_not_taken_and_the_store_is_asked() {
  let (numbers, gate, news) = followed();
  numbers.revision.store(12, Ordering::Relaxed);
  // The one up to 8 was lost.
  gate.receive_batch(batch(8, 11));
  assert_eq!(heard(&gate, progress(11, 11, 0), &news), Some(12));
  assert!(numbers.watches.load(Ordering::Relaxed) > 0);
}

#[test]
fn a_batch_that_is_not_understood_is_passed_over() {
  let (numbers, gate, news) = followed();
  numbers.revision.store(8, Ordering::Relaxed);
  let mut broken = batch(5, 8);
  broken.changes[0].spec = "{".into();
  gate.receive_batch(broken);
  assert_eq!(heard(&gate, progress(8, 8, 0), &news), Some(8));
  assert!(numbers.watches.load(Ordering::Relaxed) > 0);
}

/// What a holder publishes next.
fn published(gate: &Gate) -> Vec<Batch> {
  let began = Instant::now();
  loop {
    let published = gate.take_published();
    if !published.is_empty() {
      return published;
    }
    assert!(began.elapsed() < LONG, "not in time");
    thread::sleep(Duration::from_millis(1));
  }
}

#[test]
fn a_holder_publishes_what_it_reads_and_takes_nobody_elses() {
  let (numbers, gate, news) = followed();
  gate.set_leading(true);
  gate.receive_batch(batch(5, 20));
  numbers.revision.store(7, Ordering::Relaxed);
  assert_eq!(news.recv_timeout(LONG), Ok(7));
  let published = published(&gate);
  assert_eq!(published, [batch(5, 7)]);
}

#[test]
fn a_removal_in_a_batch_counts_though_its_object_is_older() {
  let numbers = Arc::new(Numbers::default());
  numbers.revision.store(5, Ordering::Relaxed);
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5, 5, 0));
  let (sender, removals) = channel();
  follow_events(&numbers, &gate, move |event| {
    if let Event::Changed(objects) = &event {
      let _ = sender.send(objects.clone());
    }
    true
  });
  let began = Instant::now();
  while gate.progress().revision.number < 5 {
    assert!(began.elapsed() < LONG, "not in time");
    thread::sleep(Duration::from_millis(1));
  }
  let mut removal = batch(5, 8);
  removal.changes[0].revision = 3.into();
  removal.changes[0].removed = true;
  gate.receive_batch(removal);
  gate.receive_progress(progress(8, 8, 0));
  let objects = removals.recv_timeout(LONG).unwrap();
  assert!(objects[0].1, "{objects:?}");
}

#[test]
fn a_batch_of_which_a_part_is_known_is_not_taken() {
  let (numbers, gate, news) = followed();
  // Changes at 6 and 8 were read together; this instance has read up to 7 by itself.
  numbers.revision.store(7, Ordering::Relaxed);
  assert_eq!(heard(&gate, progress(7, 7, 0), &news), Some(7));
  numbers.revision.store(9, Ordering::Relaxed);
  gate.receive_batch(batch(5, 8));
  assert_eq!(heard(&gate, progress(8, 8, 0), &news), Some(9));
}

// An instance behind a link that lost 15% of its packets was 20.2 s late while the deployment
// changed every 0.3 s: "call failed", "watch", from revision 197 thirteen times in a row. Each
// answer had to bring all deployments since that revision, one more each time, and none arrived
// within its second, until the store had forgotten the revision and all was read: one object.
#[test]
fn a_watch_whose_answer_does_not_arrive_is_followed_by_a_read_of_all() {
  let (numbers, _gate, news) = followed();
  numbers.most.store(3, Ordering::Relaxed);
  numbers.revision.store(20, Ordering::Relaxed);
  assert_eq!(news.recv_timeout(LONG), Ok(20));
}

// An instance that the store does not answer, but that hears the holder, is no worse off for
// a call that failed: what the holder read is taken while all is still to be read here.
#[test]
fn what_a_holder_read_is_taken_while_the_store_does_not_answer() {
  let (numbers, gate, news) = followed();
  numbers.most.store(1, Ordering::Relaxed);
  numbers.unlisted.store(true, Ordering::Relaxed);
  numbers.revision.store(8, Ordering::Relaxed);
  let began = Instant::now();
  while numbers.lists.load(Ordering::Relaxed) < 2 {
    assert!(began.elapsed() < LONG, "not in time");
    thread::sleep(Duration::from_millis(1));
  }
  gate.receive_batch(batch(5, 8));
  assert_eq!(heard(&gate, progress(8, 8, 0), &news), Some(8));
}

/// What a holder publishes of one answer of the store that brings changes after revision 5.
fn published_of(
  changes: Vec<(Object, bool)>,
  matters: impl Fn(&Object, bool) -> bool + Send + 'static,
) -> Batch {
  let revision = changes.last().expect("a change").0.revision;
  let answered = AtomicBool::new(false);
  let store = Store {
    list: Box::new(|_, _| {
      Ok(Page {
        objects: vec![object(5)],
        more: false,
        revision: 5.into(),
      })
    }),
    watch: Box::new(move |_, _, wait| {
      let first = !answered.swap(true, Ordering::Relaxed);
      if !first {
        thread::sleep(wait);
      }
      let objects = changes.iter().filter(|_| first).cloned().collect();
      Ok(Changes { objects, revision })
    }),
    read: Box::new(|_, _| Err(Error::Absent { era: 0 })),
    write: Box::new(|_, _, _, _| Err(Error::Absent { era: 0 })),
  };
  let gate = Arc::new(Gate::default());
  gate.set_leading(true);
  let (followed, log) = (gate.clone(), Logger::root(Discard, o!()));
  thread::spawn(move || follow(&store, "kind", &followed, &log, matters, |_| true));
  published(&gate).swap_remove(0)
}

/// Revisions in a batch, and whether each was removed.
fn revisions(batch: &Batch) -> Vec<(u64, bool)> {
  let changes = batch.changes.iter();
  changes
    .map(|change| (change.revision.number, change.removed))
    .collect()
}

// Entries of servers change with each load, a hundred times a second at 256 servers; others
// need what says where a server is and whether it takes work.
#[test]
fn a_holder_publishes_of_an_answer_what_others_need() {
  let changes = (6..=8).map(|revision| (object(revision), false));
  let odd = |object: &Object, _| object.revision.number % 2 == 1;
  let published = published_of(changes.collect(), odd);
  assert_eq!(revisions(&published), [(7, false)]);
  assert_eq!((published.after, published.revision), (5.into(), 8.into()));
}

// A server's entry was removed and was back with the same answer of the store: the holder took
// the entry for a known one, its followers were sent the removal alone, and gave the server up.
#[test]
fn a_holder_publishes_an_entry_that_is_back_with_the_answer_that_removes_it() {
  let changes = vec![(object(6), true), (object(7), false)];
  // An entry that is known changes nothing for others.
  let published = published_of(changes, |_, removed| removed);
  assert_eq!(revisions(&published), [(6, true), (7, false)]);
}

// A server entered itself and left within one answer of the store: its followers were sent the
// entry alone, and sent requests there for as long as the server answered.
#[test]
fn a_holder_publishes_a_removal_that_comes_with_the_answer_that_brings_the_entry() {
  let changes = vec![(object(6), false), (object(7), true)];
  // The removal of an entry that is not known changes nothing for others.
  let published = published_of(changes, |_, removed| !removed);
  assert_eq!(revisions(&published), [(6, false), (7, true)]);
}

// A follower had read by itself that a server's entry was removed. The holder's list came after
// the entry was back and held nothing new for the holder: the follower passed the return over.
#[test]
fn what_a_holder_reads_whole_others_read_for_themselves() {
  let numbers = Arc::new(Numbers::default());
  numbers.revision.store(5, Ordering::Relaxed);
  let gate = Arc::new(Gate::default());
  gate.set_leading(true);
  follow_events(&numbers, &gate, |_| false);
  wait_for("the first list", || gate.progress().revision.number == 5);
  // No watch arrives any more, so all is read.
  numbers.most.store(1, Ordering::Relaxed);
  numbers.revision.store(8, Ordering::Relaxed);
  wait_for("the second list", || gate.progress().revision.number == 8);
  assert_eq!(gate.progress().changed.number, 8);
}

fn wait_for(what: &str, mut holds: impl FnMut() -> bool) {
  let began = Instant::now();
  while !holds() {
    assert!(began.elapsed() < LONG, "{what}");
    thread::sleep(Duration::from_millis(5));
  }
}
