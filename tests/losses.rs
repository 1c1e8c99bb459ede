//! Counts of requests that were not served in time, by cause, from the logs of several instances.

use bendsaddle::{
  explain::Line,
  losses::{Cause, table},
};

/// Returns a log line at `at` seconds with additional JSON `fields`.
fn line(at: f64, msg: &str, fields: &str) -> Line {
  let text =
    format!(r#"{{"msg":"{msg}","ts":"2026-01-01T00:00:{at:06.3}Z","instance":"one",{fields}}}"#);
  Line::parse(&text).expect("a valid log line")
}

fn waiting(at: f64, request: &str) -> Line {
  let fields = format!(r#""request":"{request}","route":"notes","model":"m/a1""#);
  line(at, "waiting", &fields)
}

fn sent(at: f64, request: &str, end: &str, late: &str) -> Line {
  let fields = format!(
    r#""request":"{request}","route":"notes","model":"m/a1","end":"{end}","why":"stalled","late":"{late}","took_ms":100"#
  );
  line(at, "sent", &fields)
}

fn planned(at: f64) -> Line {
  line(at, "planned", r#""what":"load","model":"m","server":"s""#)
}

fn ordered(at: f64) -> Line {
  line(
    at,
    "ordered",
    r#""act":"Load","model":"m","adapter":null,"taken":"Accepted""#,
  )
}

/// Returns the cause of loss of the only request in `lines`, or `None` if it is not lost.
fn cause(lines: Vec<Line>) -> Option<Cause> {
  let table = table(lines);
  assert_eq!(table.requests, 1);
  table.lost.into_keys().next()
}

#[test]
fn a_request_in_time_is_not_lost() {
  assert_eq!(cause(vec![sent(1.0, "r", "Whole", "no")]), None);
  // A request whose first send failed is not lost either.
  let lines = vec![
    sent(1.0, "r", "Broken", "no"),
    sent(2.0, "r", "Whole", "no"),
  ];
  assert_eq!(cause(lines), None);
}

// The send of a request whose rest was held is whole, although its caller never got it.
#[test]
fn a_reader_that_was_dropped_is_lost_although_its_send_is_whole() {
  let dropped = line(2.0, "reader dropped", r#""request":"r","cause":"pressure""#);
  let lines = vec![sent(1.0, "r", "Whole", "no"), dropped];
  assert_eq!(cause(lines), Some(Cause::ReaderDropped("pressure".into())));
}

#[test]
fn a_late_request_is_counted_under_what_it_waited_for_most() {
  let late = |decided: f64, order: f64, end: f64| {
    let end = sent(end, "r", "Whole", "first");
    cause(vec![
      waiting(1.0, "r"),
      planned(decided),
      ordered(order),
      end,
    ])
  };
  assert_eq!(late(4.0, 4.1, 5.0), Some(Cause::Decision));
  assert_eq!(late(1.1, 4.0, 5.0), Some(Cause::Order));
  assert_eq!(late(1.1, 1.2, 5.0), Some(Cause::Load));
}

#[test]
fn a_load_before_the_wait_or_after_it_is_none_of_the_request() {
  let end = sent(5.0, "r", "Whole", "first");
  let lines = vec![planned(0.5), waiting(1.0, "r"), end, planned(6.0)];
  assert_eq!(cause(lines), Some(Cause::Unplanned));
}

#[test]
fn other_ends_name_their_reason() {
  let refused = |reason: &str| {
    let fields = format!(r#""request":"r","route":"notes","reason":"{reason}","waited_ms":9"#);
    cause(vec![waiting(1.0, "r"), line(2.0, "refused", &fields)])
  };
  assert_eq!(refused("loading"), Some(Cause::Refused("loading".into())));
  let unrouted = cause(vec![line(1.0, "no route", r#""request":"r","path":"/x""#)]);
  assert_eq!(unrouted, Some(Cause::Refused("no-route".into())));
  let failed = cause(vec![sent(1.0, "r", "Broken", "no")]);
  assert_eq!(failed, Some(Cause::Failed("stalled".into())));
  assert_eq!(
    cause(vec![sent(1.0, "r", "Whole", "pause")]),
    Some(Cause::Pause)
  );
  assert_eq!(
    cause(vec![sent(1.0, "r", "Whole", "first")]),
    Some(Cause::Server)
  );
  assert_eq!(cause(vec![waiting(1.0, "r")]), Some(Cause::Unfinished));
}

/// Guards against refusals for quota that look alike whether the holder or the instance's own share
/// decided them.
#[test]
fn refusals_for_quota_name_what_they_rested_on() {
  let refused = |why: &str| {
    let fields = format!(r#""request":"r","route":"notes","reason":"quota-exceeded","why":{why}"#);
    cause(vec![line(1.0, "refused", &fields)])
  };
  let reason = |text: &str| Some(Cause::Refused(text.into()));
  assert_eq!(refused("null"), reason("quota-exceeded"));
  assert_eq!(
    refused(r#""no holder responds""#),
    reason("quota-exceeded: no holder responds")
  );
}

/// Guards against pauses of slow servers that look like those of any other.
#[test]
fn pauses_of_slow_servers_are_counted_apart() {
  let pause = |pace: &str| {
    let fields =
      format!(r#""request":"r","route":"notes","end":"Whole","why":"","late":"pause",{pace}"#);
    cause(vec![line(1.0, "sent", &fields)])
  };
  let slow = Some(Cause::SlowServerPause);
  assert_eq!(pause(r#""pace":1.6,"pace_now":1.6"#), slow);
  assert_eq!(pause(r#""pace":1.0,"pace_now":2.4"#), slow);
  assert_eq!(pause(r#""pace":1.1,"pace_now":1.1"#), Some(Cause::Pause));
  assert_eq!(pause(r#""pace":null,"pace_now":null"#), Some(Cause::Pause));
}

/// A choice that had nothing better looked like one that was wrong.
#[test]
fn what_was_expected_late_when_sent_is_told_from_what_was_not() {
  let expecting = |late: &str, expected: &str| {
    let fields = format!(
      r#""request":"r","route":"notes","end":"Whole","late":"{late}","expected_late":"{expected}""#
    );
    cause(vec![line(1.0, "sent", &fields)])
  };
  assert_eq!(expecting("first", "first"), Some(Cause::ServerExpected));
  assert_eq!(expecting("first", "no"), Some(Cause::Server));
  assert_eq!(expecting("pause", "pause"), Some(Cause::PauseExpected));
  assert_eq!(expecting("pause", "no"), Some(Cause::Pause));
}

#[test]
fn requests_are_counted_by_route_and_the_rows_sum_to_the_loss() {
  let mut lines = Vec::new();
  for number in 0..5 {
    lines.push(sent(1.0, &format!("late-{number}"), "Whole", "first"));
    lines.push(sent(1.0, &format!("good-{number}"), "Whole", "no"));
  }
  lines.push(line(2.0, "configured", r#""version":1"#));
  let table = table(lines);
  let lost: usize = table.lost.values().flat_map(|routes| routes.values()).sum();
  assert_eq!((table.requests, lost), (10, 5));
  assert_eq!(table.lost[&Cause::Server]["notes"], 5);
}

#[test]
fn callers_that_left_before_the_first_event_are_counted_by_model_and_server() {
  // Sends of such callers have no time to the first byte, so no table of times shows them.
  let left = |request: &str, first_ms: &str| {
    let fields = format!(
      r#""request":"{request}","route":"notes","model":"m","server":"s","end":"Left","late":"no","first_ms":{first_ms}"#
    );
    line(1.0, "sent", &fields)
  };
  let table = table(vec![
    left("one", "null"),
    left("two", "null"),
    left("three", "40"),
  ]);
  let place = ("m".to_string(), "s".to_string());
  assert_eq!(table.left_silent.get(&place), Some(&2));
}
