//! All timeouts count the time for which a machine is suspended.
//!
//! The steady clock excludes that time. An instance that resumed after several seconds used an
//! expired lease, sent orders decided before the suspension, and answered requests from outdated
//! state as if it were current. The tests only move the clock forward; no machine is suspended.

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

const SUSPENSION: Duration = Duration::from_secs(10);

/// Serializes the tests, which share one clock.
static CLOCK_LOCK: Mutex<()> = Mutex::new(());

fn lock_clock() -> MutexGuard<'static, ()> {
  CLOCK_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

#[test]
fn time_away_passes() {
  let _guard = lock_clock();
  let before = Moment::now();
  skip(SUSPENSION);
  assert!(before.elapsed() >= SUSPENSION);
  assert_eq!(before - Moment::now(), Duration::ZERO, "never negative");
}

#[test]
fn a_suspension_is_noticed_once() {
  let _guard = lock_clock();
  let mut suspension = Suspension::start();
  skip(SUSPENSION);
  let suspended_for = suspension.take().expect("a suspension");
  // The two clocks are not read at the same instant, and other tests move the clock as well.
  assert!(
    suspended_for >= SUSPENSION - Duration::from_millis(100),
    "{suspended_for:?}"
  );
}

#[test]
fn an_order_decided_before_is_not_sent_after() {
  let _guard = lock_clock();
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  listener.set_nonblocking(true).unwrap();
  let call = Call {
    method: "POST",
    target: "/order",
    headers: &[],
    body: b"{}",
    max_answer_bytes: 1 << 10,
    connect_timeout: Duration::from_secs(1),
    read_timeout: Duration::from_millis(100),
    total_timeout: Duration::from_millis(100),
    send_before: Some(Moment::now() + Duration::from_secs(2)),
  };
  skip(SUSPENSION);
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
  let _guard = lock_clock();
  let hub = hub();
  let address = "127.0.0.1:1".parse().unwrap();
  let mut lease = Lease::new("machine", address, 3_000, 0, 0);
  let record = acquire(&mut lease, hub.now());
  assert!(lease.term(hub.now()).is_some(), "{record}");
  skip(SUSPENSION);
  assert!(lease.term(hub.now()).is_none());
  assert!(lease.heartbeat(hub.now()).is_none() || lease.valid_until() < hub.now());
}

/// Acquires a lease that nobody holds; returns the record that was written, as JSON.
fn acquire(lease: &mut Lease, start: u64) -> String {
  use bendsaddle::{lease, store};
  let mut written = String::new();
  // A lease becomes free when no heartbeat arrives for its duration.
  for now in (start..start + 20_000).step_by(50) {
    if lease.term(now).is_some() {
      skip(Duration::from_millis(now - start));
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
  let _guard = lock_clock();
  let hub = hub();
  let deadline = hub.now() + 5_000;
  let moment = hub.instant(deadline);
  assert!(moment > Moment::now());
  skip(SUSPENSION);
  assert!(hub.now() > deadline);
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

// No decision uses the steady clock: only the clock module reads it, to detect that it stopped
// during a suspension.
#[test]
fn no_source_but_the_clock_reads_the_steady_clock() {
  let root = Path::new(env!("CARGO_MANIFEST_DIR"));
  let mut found = Vec::new();
  sources(&root.join("src"), &mut found);
  sources(&root.join("platform/src"), &mut found);
  assert!(found.len() > 100, "{} sources", found.len());
  let clock_module = root.join("src/clock.rs");
  for path in found.into_iter().filter(|path| *path != clock_module) {
    let text = std::fs::read_to_string(&path).expect("a source");
    let uses = text.lines().position(|line| line.contains("Instant"));
    assert_eq!(uses, None, "{}", path.display());
  }
}
