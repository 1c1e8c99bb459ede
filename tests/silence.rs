//! Detection of store outages, and the updates that an instance applies while it cannot reach
//! the store.

use bendsaddle::{
  essential::Pulse,
  feed::{Batch, Change, Event, Gate, LIST_INTERVAL, OUTAGE_THRESHOLD, Progress, Source, follow},
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

const TIMEOUT: Duration = Duration::from_secs(20);

/// How the store responds to calls.
#[derive(Clone, Copy)]
enum Mode {
  Answering,
  Refusing,
  /// No response, and each call times out after this duration.
  Silent(Duration),
}

struct Shared {
  revision: u64,
  mode: Mode,
}

type Server = Arc<Mutex<Shared>>;

fn call_error(server: &Server) -> Option<Error> {
  let mode = server.lock().unwrap().mode;
  match mode {
    Mode::Answering => None,
    Mode::Refusing => Some(Error::Refused(503)),
    Mode::Silent(wait) => {
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
    list: Box::new(move |_, _| match call_error(&listed) {
      Some(error) => Err(error),
      None => {
        let revision = listed.lock().unwrap().revision;
        Ok(Page {
          objects: vec![object(revision)],
          more: false,
          revision: revision.into(),
          ..Page::default()
        })
      }
    }),
    watch: Box::new(move |_, from, wait| {
      let from = from.number;
      let until = Instant::now() + wait;
      loop {
        if let Some(error) = call_error(&watched) {
          return Err(error);
        }
        let revision = watched.lock().unwrap().revision;
        if revision > from || Instant::now() >= until {
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

/// Follows a store at revision 5 in a thread and returns the receiver of its events. `first` is
/// called in that thread on the first event.
fn start_follower(
  gate: &Arc<Gate>,
  first: impl Fn() + Send + 'static,
) -> (Server, Receiver<Event>) {
  let server = Arc::new(Mutex::new(Shared {
    revision: 5,
    mode: Mode::Answering,
  }));
  let (sender, events) = channel();
  let (store, gate) = (store(&server), gate.clone());
  let mut seen = false;
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

/// Waits for the next event that `select` accepts. Calls `before_poll` before each poll, for
/// example to deliver a holder's progress. `None` after a timeout.
fn wait_for_event<T>(
  events: &Receiver<Event>,
  mut before_poll: impl FnMut(),
  select: impl Fn(&Event) -> Option<T>,
) -> Option<T> {
  let began = Instant::now();
  while began.elapsed() < TIMEOUT {
    before_poll();
    if let Ok(event) = events.recv_timeout(Duration::from_millis(20))
      && let Some(found) = select(&event)
    {
      return Some(found);
    }
  }
  None
}

fn wait_until_synced(gate: &Gate) {
  let began = Instant::now();
  while gate.progress().revision.number < 5 {
    assert!(began.elapsed() < TIMEOUT, "not in time");
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

/// Like [`batch`], for a removal, which carries the last revision of the object.
fn removal() -> Batch {
  let mut removal = batch();
  removal.changes[0].revision = 5.into();
  removal.changes[0].removed = true;
  removal
}

// The watch of the instance times out, and so does the full listing that follows. The holder
// can read the store and sends the change, which must still be applied.
#[test]
fn an_instance_without_the_store_takes_what_the_holder_sends() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = start_follower(&gate, || {});
  wait_until_synced(&gate);
  server.lock().unwrap().mode = Mode::Silent(Duration::from_millis(50));
  // A missing change makes the instance query the store.
  let unreachable = wait_for_event(
    &events,
    || gate.receive_progress(progress(7)),
    |event| (*event == Event::Unreachable).then_some(()),
  );
  assert_eq!(unreachable, Some(()));
  let applied = wait_for_event(
    &events,
    || {
      gate.receive_batch(batch());
      gate.receive_progress(progress(8));
    },
    |event| matches!(event, Event::Changed(_)).then_some(()),
  );
  assert_eq!(applied, Some(()), "not in 20 s");
}

// An entry that expired during a store outage may be registered again, so its removal must not
// be applied before the outage is known.
#[test]
fn the_silence_is_known_before_a_removal_that_the_holder_read_after_it() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = start_follower(&gate, || {});
  wait_until_synced(&gate);
  server.lock().unwrap().mode = Mode::Refusing;
  thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(900));
  // The store responds to the holder again, but not yet to this instance.
  let removal = removal();
  let first = wait_for_event(
    &events,
    || {
      gate.receive_batch(removal.clone());
      gate.receive_progress(progress(8));
    },
    |event| match event {
      Event::Reachable(outage) => Some(Some(outage.length)),
      Event::Changed(_) => Some(None),
      _ => None,
    },
  );
  let outage = first.expect("an event").expect("the outage first");
  assert!(outage >= OUTAGE_THRESHOLD, "{outage:?}");
}

// The holder stops sending, and after a while this instance queries the store itself. Only that
// call fails. There was no earlier call, so nothing shows that the store was down before it.
#[test]
fn the_wait_for_a_lost_holder_is_no_silence_of_the_store() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = start_follower(&gate, || {});
  wait_until_synced(&gate);
  gate.receive_progress(progress(5));
  // Duration of the watch plus the timeout for its response.
  let call = Duration::from_millis(2_000);
  server.lock().unwrap().mode = Mode::Silent(call);
  let unreachable = wait_for_event(
    &events,
    || {},
    |event| (*event == Event::Unreachable).then_some(Instant::now()),
  );
  let failed = unreachable.expect("a failed call");
  server.lock().unwrap().mode = Mode::Answering;
  let recovered = wait_for_event(
    &events,
    || {},
    |event| match event {
      Event::Reachable(outage) => Some(outage.length),
      _ => None,
    },
  );
  let call_time = call + failed.elapsed();
  let outage = recovered.expect("the store to be reachable");
  assert!(
    outage < OUTAGE_THRESHOLD.max(call_time),
    "{outage:?}, call time {call_time:?}"
  );
}

// The process is frozen for a while, and the store responds to the holder all the time. A single
// call refused much later must not count the freeze as a store outage.
#[test]
fn a_freeze_of_ones_own_is_no_silence_of_the_store_at_a_later_failure() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = start_follower(&gate, || {
    thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(400))
  });
  thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(200));
  // Messages received in the meantime are read before the feed's thread runs again.
  gate.receive_progress(progress(5));
  let began = Instant::now();
  while began.elapsed() < Duration::from_secs(1) {
    gate.receive_progress(progress(5));
    thread::sleep(Duration::from_millis(20));
  }
  server.lock().unwrap().mode = Mode::Refusing;
  server.lock().unwrap().revision = 8;
  let failed = Instant::now();
  let unreachable = wait_for_event(
    &events,
    || gate.receive_progress(progress(8)),
    |event| (*event == Event::Unreachable).then_some(()),
  );
  assert_eq!(unreachable, Some(()));
  server.lock().unwrap().mode = Mode::Answering;
  let recovered = wait_for_event(
    &events,
    || gate.receive_progress(progress(8)),
    |event| match event {
      Event::Reachable(outage) => Some(outage.length),
      _ => None,
    },
  );
  let (outage, since_failure) = (
    recovered.expect("the store to be reachable"),
    failed.elapsed(),
  );
  assert!(
    outage < OUTAGE_THRESHOLD.max(since_failure),
    "{outage:?}, {since_failure:?}"
  );
}

// The process is frozen and no call fails, so nothing indicates a store outage.
#[test]
fn a_freeze_of_ones_own_without_a_failed_call_is_no_silence() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = start_follower(&gate, || {
    thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(400))
  });
  thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(200));
  gate.receive_progress(progress(5));
  server.lock().unwrap().revision = 8;
  let first = wait_for_event(
    &events,
    || gate.receive_progress(progress(8)),
    |event| match event {
      Event::Reachable(outage) => Some(Some(outage.length)),
      Event::Changed(_) => Some(None),
      _ => None,
    },
  );
  assert_eq!(first, Some(None));
}

// The holder reads a removal well after the store has recovered, so the entry did not expire in
// the outage.
#[test]
fn what_was_known_when_the_store_was_back_comes_before_a_later_removal() {
  let gate = Arc::new(Gate::default());
  gate.receive_progress(progress(5));
  let (server, events) = start_follower(&gate, || {});
  wait_until_synced(&gate);
  server.lock().unwrap().mode = Mode::Refusing;
  thread::sleep(OUTAGE_THRESHOLD + Duration::from_millis(900));
  let recovered = wait_for_event(
    &events,
    || gate.receive_progress(progress(5)),
    |event| matches!(event, Event::Reachable(_)).then_some(Instant::now()),
  );
  let recovered = recovered.expect("the store to be reachable");
  while recovered.elapsed() < Duration::from_millis(300) {
    gate.receive_progress(progress(5));
    thread::sleep(Duration::from_millis(20));
  }
  let removal = removal();
  let first = wait_for_event(
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
  assert_eq!(
    first,
    Some(true),
    "the removal arrived before the feed had caught up"
  );
}
