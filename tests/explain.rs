//! Explains a request's outcome by its id, from the logs of several instances.

use bendsaddle::explain::{Line, conclusion, lines};

fn log() -> Vec<Line> {
  let texts = [
    r#"{"msg":"store is lost","ts":"2026-01-01T00:00:01.0Z","instance":"two","kind":"servers"}"#,
    r#"{"msg":"orders","ts":"2026-01-01T00:00:02.0Z","instance":"two","given_here":false}"#,
    r#"  2.5 one {"msg":"waiting","ts":"2026-01-01T00:00:02.5Z","instance":"one","request":"r1","model":"m/a1"}"#,
    r#"{"msg":"planned","ts":"2026-01-01T00:00:04.0Z","instance":"three","what":"load","model":"m","server":"s"}"#,
    r#"{"msg":"planned","ts":"2026-01-01T00:00:04.1Z","instance":"three","what":"load","model":"other","server":"s"}"#,
    r#"{"msg":"refused","ts":"2026-01-01T00:00:05.0Z","instance":"one","request":"r1","reason":"too-late","verdict":"not-run","waited_ms":2500}"#,
    r#"{"msg":"refused","ts":"2026-01-01T00:00:05.0Z","instance":"one","request":"r2","reason":"too-late"}"#,
    "not a line",
  ];
  texts.iter().filter_map(|text| Line::parse(text)).collect()
}

#[test]
fn a_request_is_explained_by_its_lines_and_its_models() {
  let found = lines("r1", log());
  let messages: Vec<&str> = found
    .iter()
    .map(|line| line.fields["msg"].as_str().unwrap())
    .collect();
  assert_eq!(messages, ["orders", "waiting", "planned", "refused"]);
  let text = conclusion("r1", &found);
  assert_eq!(text, "refused after 2500 ms: too-late, verdict not-run");
}

/// Guards against a slow server that an explanation does not name.
#[test]
fn a_change_of_its_servers_pace_explains_a_request() {
  let texts = [
    r#"{"msg":"planned","ts":"2026-01-01T00:00:03.0Z","instance":"two","what":"pace","model":"","server":"s","why":"slow"}"#,
    r#"{"msg":"planned","ts":"2026-01-01T00:00:03.0Z","instance":"two","what":"pace","model":"","server":"t","why":"slow"}"#,
    r#"{"msg":"sent","ts":"2026-01-01T00:00:05.0Z","instance":"one","request":"r1","server":"s","model":"m","pace":1.7}"#,
  ];
  let log = texts.iter().filter_map(|text| Line::parse(text)).collect();
  let servers: Vec<String> = lines("r1", log)
    .iter()
    .filter_map(|line| line.text("server").map(String::from))
    .collect();
  assert_eq!(servers, ["s", "s"]);
}

#[test]
fn a_request_that_is_nowhere_is_said_to_be() {
  assert!(lines("r9", log()).is_empty());
  assert!(conclusion("r9", &[]).contains("r9"));
}
