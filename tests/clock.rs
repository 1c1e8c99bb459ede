//! Time for which a machine is suspended passes for all that is decided by time.
//!
//! The steady clock leaves it out. An instance that woke after some seconds took a lapsed
//! lease for its own, sent what it had decided before, and answered requests by a view of
//! before as if it were fresh. Shown here only by a clock that jumps; no machine is suspended.

use bendsaddle::{
  clock::{Moment, Suspension, skip},
  dialect::Dialect,
  dispatch::State,
  hub::Hub,
  lease::Lease,
  outbound::{Call, Client, Failure},
  retry::Bound,
};
use slog::{Discard, Logger, o};
use std::{
  net::TcpListener,
  path::{Path, PathBuf},
  sync::{Mutex, MutexGuard, PoisonError},
  time::Duration,
};

const AWAY: Duration = Duration::from_secs(10);

/// One test at a time: all see the same clock.
static ALONE: Mutex<()> = Mutex::new(());

fn alone() -> MutexGuard<'static, ()> {
  ALONE.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn time_away_passes() {
  let _alone = alone();
  let before = Moment::now();
  skip(AWAY);
  assert!(before.elapsed() >= AWAY);
  assert_eq!(before - Moment::now(), Duration::ZERO, "never negative");
}

#[test]
fn a_suspension_is_noticed_once() {
  let _alone = alone();
  let mut suspension = Suspension::start();
  skip(AWAY);
  let away = suspension.take().expect("a suspension");
  // The two clocks are read one after the other, and other tests skip time too.
  assert!(away >= AWAY - Duration::from_millis(100), "{away:?}");
}

#[test]
fn an_order_decided_before_is_not_sent_after() {
  let _alone = alone();
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  listener.set_nonblocking(true).unwrap();
  let call = Call {
    method: "POST",
    target: "/order",
    headers: &[],
    body: b"{}",
    connect_timeout: Duration::from_secs(1),
    read_timeout: Duration::from_millis(100),
    total_timeout: Duration::from_millis(100),
    send_before: Some(Moment::now() + Duration::from_secs(2)),
  };
  skip(AWAY);
  let sent = Client::default().send(listener.local_addr().unwrap(), &call);
  assert!(matches!(sent, Err(Failure::NotSent)));
}

fn hub() -> std::sync::Arc<Hub> {
  let bound = Bound {
    ratio: 0.2,
    slack: 80.0,
    window_ms: 10_000,
  };
  let state = State::new("a", bound, 1);
  Hub::new(state, Dialect::DEFAULT, Logger::root(Discard, o!())).unwrap()
}

#[test]
fn a_lease_lapses_while_its_holder_is_away() {
  let _alone = alone();
  let hub = hub();
  let address = "127.0.0.1:1".parse().unwrap();
  let mut lease = Lease::new("machine", address, 3_000, 0, 0);
  let record = take(&mut lease, hub.now());
  assert!(lease.term(hub.now()).is_some(), "{record}");
  skip(AWAY);
  assert!(lease.term(hub.now()).is_none());
  assert!(lease.heartbeat(hub.now()).is_none() || lease.valid_until() < hub.now());
}

/// Takes a lease that nobody holds; what was written.
fn take(lease: &mut Lease, from: u64) -> String {
  use bendsaddle::{lease, store};
  let mut written = String::new();
  // A lease is free once nobody was heard of for its time.
  for now in (from..from + 20_000).step_by(50) {
    if lease.term(now).is_some() {
      skip(Duration::from_millis(now - from));
      break;
    }
    let Some(call) = lease.next_call(now, false) else {
      continue;
    };
    let result = match &call {
      lease::Call::Read => Err(store::Error::Absent { era: 0 }),
      lease::Call::Write { record, revision } => {
        written = serde_json::to_string(record).unwrap();
        Ok(store::Object {
          name: "lease".into(),
          revision: (revision.number + 1).into(),
          spec: serde_json::to_value(record).unwrap(),
        })
      }
    };
    lease.record_call_result(now, &call, result);
  }
  written
}

#[test]
fn a_moment_of_the_hub_stays_where_it_is() {
  let _alone = alone();
  let hub = hub();
  let until = hub.now() + 5_000;
  let moment = hub.instant(until);
  assert!(moment > Moment::now());
  skip(AWAY);
  assert!(hub.now() > until);
  assert!(moment < Moment::now());
}

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
  for entry in std::fs::read_dir(folder).expect("a folder") {
    let path = entry.expect("an entry").path();
    match path.is_dir() {
      true => sources(&path, found),
      false => found.push(path),
    }
  }
}

// The steady clock stays out of all decisions: only the clock's own module reads it, to notice
// that it stood still.
#[test]
fn no_source_but_the_clock_reads_the_steady_clock() {
  let root = Path::new(env!("CARGO_MANIFEST_DIR"));
  let mut found = Vec::new();
  sources(&root.join("src"), &mut found);
  sources(&root.join("platform/src"), &mut found);
  assert!(found.len() > 100, "{} sources", found.len());
  let own = root.join("src/clock.rs");
  for path in found.into_iter().filter(|path| *path != own) {
    let text = std::fs::read_to_string(&path).expect("a source");
    let uses = text.lines().position(|line| line.contains("Instant"));
    assert_eq!(uses, None, "{}", path.display());
  }
}
