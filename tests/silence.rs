//! What is believed of the store's silence, and what an instance that the store does not
//! answer goes by.

use bendsaddle::{
  feed::{Batch, Change, Event, Gate, OUTAGE_THRESHOLD, Progress, follow},
  store::{Changes, Error, Object, Page, Store},
};
use slog::{Discard, Logger, o};
use std::{
  sync::{
    Arc, Mutex,
    mpsc::{Receiver, channel},
  },
  thread,
  time::{Duration, Instant},
};

const LONG: Duration = Duration::from_secs(20);

/// What the store does with a call that is not answered.
#[derive(Clone, Copy)]
enum Mood {
  Answers,
  Refuses,
  /// Nothing comes back, and each call waits this long for it.
  Silent(Duration),
}

struct Shared {
  revision: u64,
  mood: Mood,
}

type Server = Arc<Mutex<Shared>>;

fn fault(server: &Server) -> Option<Error> {
  let mood = server.lock().unwrap().mood;
  match mood {
    Mood::Answers => None,
    Mood::Refuses => Some(Error::Refused(503)),
    Mood::Silent(wait) => {
      thread::sleep(wait);
      Some(Error::NoAnswer)
    }
  }
}

fn object(revision: u64) -> Object {
  Object {
    name: "one".into(),
    revision: revision.into(),
    spec: revision.into(),
  }
}

fn store(server: &Server) -> Store {
  let (listed, watched) = (server.clone(), server.clone());
  Store {
    list: Box::new(move |_, _| match fault(&listed) {
      Some(error) => Err(error),
      None => {
        let revision = listed.lock().unwrap().revision;
        Ok(Page {
          objects: vec![object(revision)],
          more: false,
          revision: revision.into(),
        })
      }
    }),
    watch: Box::new(move |_, from, wait| {
      let from = from.number;
      let until = Instant::now() + wait;
      loop {
        if let Some(error) = fault(&watched) {
          return Err(error);
        }
        let revision = watched.lock().unwrap().revision;
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

/// A store at revision 5, followed in a thread whose events are given; `first` is called with
/// the first of them, in that thread.
fn followed(gate: &Arc<Gate>, first: impl Fn() + Send + 'static) -> (Server, Receiver<Event>) {
  let server = Arc::new(Mutex::new(Shared {
    revision: 5,
    mood: Mood::Answers,
  }));
  let (sender, events) = channel();
  let (store, gate) = (store(&server), gate.clone());
  let mut seen = false;
  thread::spawn(move || {
    let log = Logger::root(Discard, o!());
    follow(
      &store,
      "kind",
      &gate,
      &log,
      |_, _| true,
      move |event| {
        let matters = matches!(event, Event::Listed(_) | Event::Changed(_));
        let _ = sender.send(event);
        if !std::mem::replace(&mut seen, true) {
          first();
        }
        matters
      },
    )
  });
  (server, events)
}

fn progress(revision: u64) -> Progress {
  Progress {
    revision: revision.into(),
    changed: revision.into(),
    age_ms: 0,
  }
}

/// The next event of a sort, while a holder's progress goes on coming.
fn next<T>(
  events: &Receiver<Event>,
  mut every: impl FnMut(),
  sort: impl Fn(&Event) -> Option<T>,
) -> Option<T> {
  let began = Instant::now();
  while began.elapsed() < LONG {
    every();
    if let Ok(event) = events.recv_timeout(Duration::from_millis(20))
      && let Some(found) = sort(&event)
    {
      return Some(found);
    }
  }
  None
}

fn known(gate: &Gate) {
  let began = Instant::now();
  while gate.progress().revision.number < 5 {
    assert!(began.elapsed() < LONG, "not in time");
    thread::sleep(Duration::from_millis(1));
  }
}

fn batch() -> Batch {
  Batch {
    since: 5.into(),
    after: 5.into(),
    revision: 8.into(),
    changes: vec![Change {
      name: "one".into(),
      revision: 8.into(),
      removed: false,
      spec: "8".into(),
    }],
  }
}

/// The same for a removal, which names the object as it was.
fn removal() -> Batch {
  let mut removal = batch();
  removal.changes[0].revision = 5.into();
  removal.changes[0].removed = true;
  removal
}

// Its watch got no answer, so it reads all; the store does not answer this either. The holder
// reads the store and sends the change, which was taken before.
#[test]
fn an_instance_without_the_store_takes_what_the_holder_sends() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = followed(&gate, || {});
  known(&gate);
  server.lock().unwrap().mood = Mood::Silent(Duration::from_millis(50));
  // A change that it lacks makes it ask the store.
  let lost = next(
    &events,
    || gate.receive_progress(progress(7)),
    |event| (*event == Event::Unreachable).then_some(()),
  );
  assert_eq!(lost, Some(()));
  let taken = next(
    &events,
    || {
      gate.receive_batch(batch());
      gate.receive_progress(progress(8));
    },
    |event| matches!(event, Event::Changed(_)).then_some(()),
  );
  assert_eq!(taken, Some(()), "not in 20 s");
}

// An entry that lapsed while the store was silent may come back; its removal must not be
// taken up before the silence is known.
#[test]
fn the_silence_is_known_before_a_removal_that_the_holder_read_after_it() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = followed(&gate, || {});
  known(&gate);
  server.lock().unwrap().mood = Mood::Refuses;
  thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(900));
  // The holder is answered again, this one not yet.
  let removal = removal();
  let first = next(
    &events,
    || {
      gate.receive_batch(removal.clone());
      gate.receive_progress(progress(8));
    },
    |event| match event {
      Event::Reachable(silence) => Some(Some(silence.length)),
      Event::Changed(_) => Some(None),
      _ => None,
    },
  );
  let silence = first.expect("an event").expect("the silence first");
  assert!(silence >= OUTAGE_THRESHOLD, "{silence:?}");
}

// The holder falls silent, and after a while this instance asks by itself; that one call is
// lost. Nobody had asked before, so nothing shows that the store was silent then.
#[test]
fn the_wait_for_a_lost_holder_is_no_silence_of_the_store() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = followed(&gate, || {});
  known(&gate);
  gate.receive_progress(progress(5));
  // The watch's own time and that for its answer.
  let call = Duration::from_millis(2_000);
  server.lock().unwrap().mood = Mood::Silent(call);
  let lost = next(
    &events,
    || {},
    |event| (*event == Event::Unreachable).then_some(Instant::now()),
  );
  let failed = lost.expect("a failed call");
  server.lock().unwrap().mood = Mood::Answers;
  let back = next(
    &events,
    || {},
    |event| match event {
      Event::Reachable(silence) => Some(silence.length),
      _ => None,
    },
  );
  let asked = call + failed.elapsed();
  let silence = back.expect("the store back");
  assert!(
    silence < OUTAGE_THRESHOLD.max(asked),
    "{silence:?}, asked for {asked:?}"
  );
}

// The process stood still for a while; the store answered the holder all the time. Much later
// one call is refused: that is no silence of the store.
#[test]
fn a_freeze_of_ones_own_is_no_silence_of_the_store_at_a_later_failure() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = followed(&gate, || {
    thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(400))
  });
  thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(200));
  // What came meanwhile is read before the feed's thread runs again.
  gate.receive_progress(progress(5));
  let began = Instant::now();
  while began.elapsed() < Duration::from_secs(1) {
    gate.receive_progress(progress(5));
    thread::sleep(Duration::from_millis(20));
  }
  server.lock().unwrap().mood = Mood::Refuses;
  server.lock().unwrap().revision = 8;
  let failed = Instant::now();
  let lost = next(
    &events,
    || gate.receive_progress(progress(8)),
    |event| (*event == Event::Unreachable).then_some(()),
  );
  assert_eq!(lost, Some(()));
  server.lock().unwrap().mood = Mood::Answers;
  let back = next(
    &events,
    || gate.receive_progress(progress(8)),
    |event| match event {
      Event::Reachable(silence) => Some(silence.length),
      _ => None,
    },
  );
  let (silence, most) = (back.expect("the store back"), failed.elapsed());
  assert!(
    silence < OUTAGE_THRESHOLD.max(most),
    "{silence:?}, {most:?}"
  );
}

// The same, and no call fails: nothing says that the store was silent at all.
#[test]
fn a_freeze_of_ones_own_without_a_failed_call_is_no_silence() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = followed(&gate, || {
    thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(400))
  });
  thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(200));
  gate.receive_progress(progress(5));
  server.lock().unwrap().revision = 8;
  let first = next(
    &events,
    || gate.receive_progress(progress(8)),
    |event| match event {
      Event::Reachable(silence) => Some(Some(silence.length)),
      Event::Changed(_) => Some(None),
      _ => None,
    },
  );
  assert_eq!(first, Some(None));
}

// The holder reads a removal well after the store was back: it is no lapse.
#[test]
fn what_was_known_when_the_store_was_back_comes_before_a_later_removal() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = followed(&gate, || {});
  known(&gate);
  server.lock().unwrap().mood = Mood::Refuses;
  thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(900));
  let back = next(
    &events,
    || gate.receive_progress(progress(5)),
    |event| matches!(event, Event::Reachable(_)).then_some(Instant::now()),
  );
  let back = back.expect("the store back");
  while back.elapsed() < Duration::from_millis(300) {
    gate.receive_progress(progress(5));
    thread::sleep(Duration::from_millis(20));
  }
  let removal = removal();
  let first = next(
    &events,
    || {
      gate.receive_batch(removal.clone());
      gate.receive_progress(progress(8));
    },
    |event| match event {
      Event::CaughtUp => Some(true),
      Event::Changed(_) => Some(false),
      _ => None,
    },
  );
  assert_eq!(first, Some(true), "the removal came as one of before");
}
