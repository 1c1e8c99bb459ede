//! Computes from logs how long instances continue to send to servers that have left.

use bendsaddle::{
  departures::{LastSend, histogram, last_sends},
  explain::Line,
  statement::compliance::{last_send_after_leaving, sends_during_backoff},
};

/// A log line of an instance at a time in seconds, with further fields.
fn line(at: f64, instance: &str, msg: &str, fields: &str) -> Line {
  let text = format!(
    r#"{{"msg":"{msg}","ts":"2026-01-01T00:00:{at:06.3}Z","instance":"{instance}","server":"s",{fields}}}"#
  );
  Line::parse(&text).expect("a line")
}

fn sent(at: f64, instance: &str) -> Line {
  line(at, instance, "sent", r#""request":"r","took_ms":100"#)
}

fn missing(at: f64, instance: &str) -> Line {
  line(
    at,
    instance,
    "server's entry is missing",
    r#""kept_ms":2000"#,
  )
}

fn ready(at: f64, instance: &str) -> Line {
  line(at, instance, "server", r#""stage":"Ready""#)
}

/// Delay of each instance's last send, ms, by the name of the instance.
fn delays(last: &[LastSend]) -> Vec<(&str, u64)> {
  let mut delays: Vec<(&str, u64)> = last
    .iter()
    .map(|send| (send.instance.as_str(), send.after_ms))
    .collect();
  delays.sort();
  delays
}

#[test]
fn a_last_send_is_measured_from_the_first_line_that_names_the_departure() {
  let removal = line(2.0, "two", "server is gone", r#""why":"removed""#);
  let lines = vec![
    sent(4.1, "one"),
    missing(2.5, "one"),
    sent(3.0, "one"),
    sent(1.9, "two"),
    removal,
  ];
  let last = last_sends(lines);
  assert_eq!(delays(&last), [("one", 2_000), ("two", 0)]);
  assert_eq!(last[0].instance, "one", "the latest first");
  let rows: Vec<(u64, usize)> = histogram(&last).into_iter().collect();
  assert_eq!(rows, [(0, 1), (2_000, 1)]);
}

#[test]
fn a_server_whose_entry_came_back_has_not_left() {
  let lines = vec![missing(1.0, "one"), ready(2.0, "one"), sent(5.0, "one")];
  assert_eq!(last_sends(lines), []);
}

#[test]
fn a_server_that_says_that_it_leaves_is_not_back_with_an_older_line() {
  let draining = line(1.0, "one", "server", r#""stage":"Draining""#);
  let lines = vec![draining, ready(1.2, "two"), sent(1.6, "two")];
  assert_eq!(delays(&last_sends(lines)), [("two", 500)]);
}

/// A send whose response head came 20 ms later, with further fields.
fn answered(at: f64, instance: &str, fields: &str) -> Line {
  let fields = format!(r#""request":"r","took_ms":100,"head_ms":20,{fields}"#);
  line(at, instance, "sent", &fields)
}

#[test]
fn a_last_send_is_measured_from_the_answer_that_said_that_its_server_leaves() {
  let leaving = r#""leaving":"1""#;
  let lines = vec![
    answered(2.1, "one", leaving),
    answered(1.1, "one", leaving),
    answered(9.0, "two", r#""leaving":null"#),
    answered(4.1, "three", leaving),
  ];
  // Sent at 1.0, informed of the departure at 1.02, sent again at 2.0.
  let one = ("one".to_string(), "s".to_string(), 980);
  let three = ("three".to_string(), "s".to_string(), 0);
  assert_eq!(last_send_after_leaving(&lines), [one, three]);
}

#[test]
fn sends_in_a_rest_count_from_half_a_second_after_its_begin() {
  let retry_after = r#""retry_after":"3""#;
  let no_retry_after = r#""retry_after":null"#;
  let lines = vec![
    answered(1.1, "one", retry_after),
    answered(1.6, "one", no_retry_after),
    answered(1.63, "one", no_retry_after),
    answered(3.0, "one", no_retry_after),
    answered(4.1, "one", no_retry_after),
    answered(4.2, "one", no_retry_after),
    answered(3.0, "two", no_retry_after),
  ];
  // Informed of the retry-after at 1.02: the sends at 1.53, 2.9 and 4.0 count, from 1.52 to 4.02.
  assert_eq!(
    sends_during_backoff(&lines),
    [("one".to_string(), "s".to_string(), 3)]
  );
}
