//! Gain of requests from a load: meeting their objective counts most, then responding before
//! their callers give up.

use bendsaddle::placement::urgency::{Wait, gain};

fn wait(objective_ms: u32, patience_ms: u32) -> Wait {
  Wait {
    requests: 1,
    objective_ms,
    patience_ms,
  }
}

#[test]
fn what_is_still_met_counts_more_than_what_is_late() {
  let met = gain(&[wait(1_000, 8_000)], 900);
  let late = gain(&[wait(800, 8_000)], 900);
  let gone = gain(&[wait(0, 800)], 900);
  assert!(met > late && late > gone, "{met} {late} {gone}");
  assert_eq!(gone, 0.0);
}

#[test]
fn what_has_less_time_to_spare_goes_first() {
  assert!(gain(&[wait(1_000, 8_000)], 900) > gain(&[wait(4_000, 8_000)], 900));
  assert!(gain(&[wait(0, 1_000)], 900) > gain(&[wait(0, 8_000)], 900));
}

#[test]
fn requests_add_up_and_age() {
  let one = gain(&[wait(1_000, 8_000)], 900);
  let two = gain(&[wait(1_000, 8_000), wait(1_000, 8_000)], 900);
  assert!((two - 2.0 * one).abs() < 1e-9);
  let aged = wait(1_000, 8_000).aged(200);
  assert_eq!((aged.objective_ms, aged.patience_ms), (800, 7_800));
}

#[test]
fn loads_of_any_length_and_objectives_of_any_size_give_at_most_one_a_request() {
  for ready_ms in [100, 620, 6_000, 60_000] {
    for objective_ms in [100, 400, 2_000, 10_000] {
      let patience_ms = objective_ms * 4;
      let gained = gain(&[wait(objective_ms, patience_ms)], ready_ms);
      assert!((0.0..=1.0).contains(&gained), "{ready_ms} {objective_ms}");
    }
  }
}
