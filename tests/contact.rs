//! Outages of the store, derived from its responses to this instance and to others.

use bendsaddle::{clock::Moment, reachability::Reachability};
use std::{sync::Arc, thread, time::Duration};

fn ms(ms: u64) -> Duration {
  Duration::from_millis(ms)
}

/// Reachability of a store that responded ten seconds ago, and the time of that response.
fn responded() -> (Reachability, Moment) {
  let reachability = Reachability::default();
  let start = Moment::now()
    .checked_sub(ms(10_000))
    .expect("the machine has run for ten seconds");
  reachability.record_response(start);
  (reachability, start)
}

#[test]
fn a_silence_lasts_from_one_answer_to_the_next() {
  let (reachability, start) = responded();
  reachability.record_failure(start + ms(500));
  reachability.record_failure(start + ms(3_000));
  reachability.record_response(start + ms(4_000));
  let outage = reachability.longest_outage(start + ms(500));
  assert_eq!(outage.length, ms(4_000));
  let (since_recovery, since_failure) = (
    outage.since_recovery.as_millis(),
    outage.since_failure.as_millis(),
  );
  assert!((6_000..6_500).contains(&since_recovery), "{since_recovery}");
  assert_eq!(since_failure - since_recovery, 1_000);
}

// The store refused the lease holder for 3.9 s and answered the other instances throughout.
#[test]
fn an_answer_to_another_instance_splits_an_outage() {
  let (reachability, start) = responded();
  for failed in [100, 900, 2_000, 3_000] {
    reachability.record_failure(start + ms(failed));
  }
  reachability.record_peer_response(start + ms(1_800));
  reachability.record_response(start + ms(4_000));
  assert_eq!(
    reachability.longest_outage(start + ms(100)).length,
    ms(2_200)
  );
}

#[test]
fn an_answer_to_another_instance_that_is_learned_of_late_splits_an_outage() {
  let (reachability, start) = responded();
  for failed in [100, 900, 2_000, 3_000] {
    reachability.record_failure(start + ms(failed));
  }
  reachability.record_response(start + ms(4_000));
  reachability.record_peer_response(start + ms(1_500));
  assert_eq!(
    reachability.longest_outage(start + ms(100)).length,
    ms(2_500)
  );
}

#[test]
fn a_call_that_failed_alone_says_nothing_of_the_time_before_it() {
  let (reachability, start) = responded();
  reachability.record_failure(start + ms(3_000));
  reachability.record_response(start + ms(4_000));
  assert_eq!(
    reachability.longest_outage(start + ms(3_000)).length,
    ms(1_000)
  );
}

#[test]
fn a_silence_that_was_over_before_the_first_failed_call_does_not_count() {
  let (reachability, start) = responded();
  reachability.record_response(start + ms(4_000));
  reachability.record_failure(start + ms(5_000));
  reachability.record_response(start + ms(5_100));
  assert_eq!(
    reachability.longest_outage(start + ms(5_000)).length,
    ms(100)
  );
}

#[test]
fn a_pause_ends_with_an_answer() {
  let reachability = Arc::new(Reachability::default());
  let responder = reachability.clone();
  let start = Moment::now();
  thread::spawn(move || {
    thread::sleep(ms(50));
    responder.record_response(Moment::now());
  });
  reachability.wait_for_response(start, ms(20_000));
  assert!(reachability.responded_since(start));
  assert!(start.elapsed() < ms(10_000));
}

const OUTAGE: Duration = Duration::from_millis(3_000);

/// Guards against a new instance that assumes that the store was available before it started.
#[test]
fn the_time_before_the_first_answer_counts_as_an_outage() {
  let (reachability, start) = responded();
  reachability.record_response(start + ms(1_000));
  let end = reachability.last_outage_end(start + ms(1_000), OUTAGE);
  assert_eq!(end, Some(start));
  assert_eq!(Reachability::default().last_outage_end(start, OUTAGE), None);
}

/// Guards against a wait of a new instance beside others that the store answered all the time.
#[test]
fn an_earlier_answer_to_another_instance_ends_the_time_before_the_first() {
  let (reachability, start) = responded();
  let earlier = start.checked_sub(ms(2_500)).unwrap();
  reachability.record_peer_response(earlier);
  assert_eq!(reachability.last_outage_end(start, OUTAGE), Some(earlier));
}

/// Guards against a new instance that overlooks an outage because another one was answered before.
#[test]
fn an_answer_before_an_outage_does_not_hide_it() {
  let (reachability, start) = responded();
  let earlier = start.checked_sub(ms(6_000)).unwrap();
  reachability.record_peer_response(earlier);
  reachability.record_response(start + ms(4_000));
  let by = |at| reachability.last_outage_end(at, OUTAGE);
  assert_eq!(by(start + ms(1_000)), Some(start));
  assert_eq!(by(start + ms(4_000)), Some(start + ms(4_000)));
}
