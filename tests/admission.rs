//! Admission of callers' connections.

use bendsaddle::admission::{Admission, Cause, Overload, Summary};
use quickcheck::quickcheck;

const MAX_CONNECTIONS: usize = 100;
const OBJECTIVE_MS: u64 = 400;
/// Delay of a thread that starts late, given the objective.
const LATE_MS: u64 = OBJECTIVE_MS / 2;

fn start(admission: &Admission, accepted_at: u64, now: u64) {
  admission.record_start(accepted_at, now, || Some(OBJECTIVE_MS));
}

/// Admits connections until one is not admitted; returns their number and why the next one is not.
fn fill(admission: &Admission) -> (usize, Cause) {
  for count in 0.. {
    if let Err(cause) = admission.admit() {
      return (count, cause);
    }
  }
  unreachable!("there is a limit")
}

/// All connections of a burst were accepted, and all of their requests were served late.
#[test]
fn late_starts_halve_the_connections_that_may_wait_to_start() {
  let admission = Admission::new(MAX_CONNECTIONS);
  for _ in 0..40 {
    admission.admit().unwrap();
  }
  for _ in 0..40 {
    start(&admission, 0, LATE_MS);
  }
  assert_eq!(fill(&admission), (20, Cause::Late));
  for _ in 0..20 {
    start(&admission, LATE_MS, 2 * LATE_MS);
  }
  assert_eq!(fill(&admission), (10, Cause::Late));
}

/// An instance that starts threads in time again accepted no more than while it was overloaded.
#[test]
fn starts_in_time_widen_the_window_again() {
  let admission = Admission::new(MAX_CONNECTIONS);
  admission.admit().unwrap();
  start(&admission, 0, LATE_MS);
  let narrow = admission.window();
  for now in 1_000..1_000 + MAX_CONNECTIONS as u64 {
    admission.admit().unwrap();
    start(&admission, now, now + 1);
    admission.release();
  }
  assert!(narrow < MAX_CONNECTIONS && admission.window() == MAX_CONNECTIONS);
}

/// Before a deployment is known no objective is, so no start is late.
#[test]
fn no_start_is_late_without_an_objective() {
  let admission = Admission::new(MAX_CONNECTIONS);
  admission.admit().unwrap();
  admission.record_start(0, 60_000, || None);
  assert_eq!(fill(&admission), (MAX_CONNECTIONS - 1, Cause::Full));
}

/// Connections at rest filled the limit of connections.
#[test]
fn connections_at_rest_take_a_part_of_the_limit_only() {
  let admission = Admission::new(MAX_CONNECTIONS);
  for _ in 0..MAX_CONNECTIONS {
    admission.admit().unwrap();
    start(&admission, 0, 0);
  }
  assert!(!admission.keeps_idle(0, MAX_CONNECTIONS / 2));
  assert!(admission.keeps_idle(0, MAX_CONNECTIONS - 1));
}

/// Callers that kept their connections to an overloaded instance stayed there.
#[test]
fn connections_are_not_kept_while_others_are_closed_unread() {
  let admission = Admission::new(MAX_CONNECTIONS);
  admission.record_closed(5_000);
  assert!(!admission.keeps_idle(5_500, 0));
  assert!(admission.keeps_idle(10_000, 0));
}

quickcheck! {
  /// Whatever starts late or in time, some connection is accepted once all threads have started.
  fn some_connections_are_always_accepted(delays: Vec<u16>) -> bool {
    let admission = Admission::new(MAX_CONNECTIONS);
    let mut now = 1;
    delays.iter().all(|delay| {
      let admitted = admission.admit().is_ok();
      let accepted_at = now;
      now += u64::from(*delay);
      if admitted {
        start(&admission, accepted_at, now);
        admission.release();
      }
      admitted && admission.open() == 0
    })
  }
}

/// Near a limit, where each connection that ends makes room for one, each closed one was a line of the
/// log, and each accepted one too.
#[test]
fn connections_closed_and_accepted_in_turn_are_one_overload() {
  let mut overload = Overload::default();
  let starts = (0..100).filter(|turn| {
    let starts = overload.record_closed(turn * 10);
    assert_eq!(overload.record_accepted(turn * 10 + 5), None);
    starts
  });
  assert_eq!(starts.count(), 1);
  let ended = overload.record_accepted(5_000);
  let expected = Summary {
    closed: 100,
    after_ms: 5_000,
  };
  assert_eq!(ended, Some(expected));
  assert_eq!(overload.record_accepted(5_001), None);
  assert!(overload.record_closed(5_002), "the next one");
}

/// Connections that had waited to be accepted, as their instance did not run, were all served late.
#[test]
fn connections_that_have_waited_too_long_to_be_accepted_are_closed() {
  let admission = Admission::new(MAX_CONNECTIONS);
  let admit = |waited_ms| admission.admit_after(waited_ms, || Some(OBJECTIVE_MS));
  let late = (0..MAX_CONNECTIONS).filter(|_| admit(LATE_MS).is_ok());
  let some = late.count();
  assert!((1..10).contains(&some), "{some} are accepted however late");
  assert_eq!(admit(LATE_MS), Err(Cause::Late));
  assert_eq!(admit(0), Ok(()), "one that has not waited");
}
