//! Loads of an earlier lease holder that an instance reports to the next one.

use bendsaddle::{former::Loads, message::Unanswered};

fn load(server: u32) -> Unanswered {
  Unanswered { server, model: 1 }
}

#[test]
fn loads_that_the_last_holder_left_open_are_reported_for_a_while() {
  let mut loads = Loads::default();
  loads.publish(vec![load(1), load(2)]);
  assert!(loads.to_report(0).is_empty(), "their holder knows them");
  loads.end_term(5_000, [load(2), load(3)].into_iter());
  assert_eq!(loads.to_report(5_100), [load(1), load(2), load(3)]);
  assert!(loads.to_report(7_000).is_empty());
}

#[test]
fn loads_that_the_holder_resolved_are_not_reported() {
  let mut loads = Loads::default();
  loads.publish(vec![load(1)]);
  loads.publish(Vec::new());
  loads.end_term(5_000, std::iter::empty());
  assert!(loads.to_report(5_000).is_empty());
}
