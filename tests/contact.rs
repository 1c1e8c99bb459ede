//! What answers of the store, to this instance and to others, say of its silence.

use bendsaddle::{clock::Moment, reachability::Reachability};
use std::{sync::Arc, thread, time::Duration};

fn ms(ms: u64) -> Duration {
  Duration::from_millis(ms)
}

/// Contact with a store that answered ten seconds ago, and that moment.
fn answered() -> (Reachability, Moment) {
  let contact = Reachability::default();
  let began = Moment::now()
    .checked_sub(ms(10_000))
    .expect("the machine ran");
  contact.record_response(began);
  (contact, began)
}

#[test]
fn a_silence_lasts_from_one_answer_to_the_next() {
  let (contact, began) = answered();
  contact.record_failure(began + ms(500));
  contact.record_failure(began + ms(3_000));
  contact.record_response(began + ms(4_000));
  let silence = contact.longest_outage(began + ms(500));
  assert_eq!(silence.length, ms(4_000));
  let (over, failed) = (
    silence.since_recovery.as_millis(),
    silence.since_failure.as_millis(),
  );
  assert!((6_000..6_500).contains(&over), "{over}");
  assert_eq!(failed - over, 1_000);
}

// The holder of the lease was refused for 3.9 s; the others were answered all the time.
#[test]
fn an_answer_to_another_instance_parts_a_silence() {
  let (contact, began) = answered();
  for failed in [100, 900, 2_000, 3_000] {
    contact.record_failure(began + ms(failed));
  }
  contact.record_peer_response(began + ms(1_800));
  contact.record_response(began + ms(4_000));
  assert_eq!(contact.longest_outage(began + ms(100)).length, ms(2_200));
}

#[test]
fn an_answer_to_another_instance_that_is_heard_of_late_parts_a_silence() {
  let (contact, began) = answered();
  for failed in [100, 900, 2_000, 3_000] {
    contact.record_failure(began + ms(failed));
  }
  contact.record_response(began + ms(4_000));
  contact.record_peer_response(began + ms(1_500));
  assert_eq!(contact.longest_outage(began + ms(100)).length, ms(2_500));
}

#[test]
fn a_call_that_failed_alone_says_nothing_of_the_time_before_it() {
  let (contact, began) = answered();
  contact.record_failure(began + ms(3_000));
  contact.record_response(began + ms(4_000));
  assert_eq!(contact.longest_outage(began + ms(3_000)).length, ms(1_000));
}

#[test]
fn a_silence_that_was_over_before_the_first_failed_call_does_not_count() {
  let (contact, began) = answered();
  contact.record_response(began + ms(4_000));
  contact.record_failure(began + ms(5_000));
  contact.record_response(began + ms(5_100));
  assert_eq!(contact.longest_outage(began + ms(5_000)).length, ms(100));
}

#[test]
fn a_pause_ends_with_an_answer() {
  let contact = Arc::new(Reachability::default());
  let answers = contact.clone();
  let began = Moment::now();
  thread::spawn(move || {
    thread::sleep(ms(50));
    answers.record_response(Moment::now());
  });
  contact.wait_for_response(began, ms(20_000));
  assert!(contact.responded_since(began));
  assert!(began.elapsed() < ms(10_000));
}
