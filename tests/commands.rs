//! Runs the command-line program against running instances.

use serde_json::{Value, json};
use stand_ins::{
  caller::{self, Request},
  engine::answer,
  fleet::{Fleet, Plan, wait_for},
};
use std::{
  net::TcpListener,
  process::{Command, Output},
};

const PROGRAM: &str = env!("CARGO_BIN_EXE_bendsaddle");

fn run(args: &[&str]) -> Output {
  Command::new(PROGRAM).args(args).output().unwrap()
}

fn stdout(args: &[&str]) -> String {
  let output = run(args);
  assert!(output.status.success(), "{output:?}");
  String::from_utf8_lossy(&output.stdout).into_owned()
}

fn fleet() -> Fleet {
  let all = json!({ "keepAlive": { "fixed": 60_000 } });
  let trial = json!({ "keepAlive": { "fixed": 60_000 }, "precedence": 1,
    "slice": { "from": 0, "to": 50 } });
  Plan::default()
    .program(PROGRAM)
    .engines(2, |_| {})
    .model("contracts", 200)
    .policy("all", all)
    .policy("trial", trial)
    .start()
    .unwrap()
}

#[test]
fn the_time_line_merges_all_instances() {
  let fleet = fleet();
  for at in 0..3 {
    let reply = Request::of("contracts", "prompt", 3)
      .with_caller(&format!("caller {at}"))
      .send(fleet.callers(at));
    assert!(reply.matches(&answer("prompt", 3)), "{reply:?}");
  }
  let operator_address = &fleet.members[0].operators;
  // Requests may be served before the deciding instance itself sees the replica.
  let merged = || stdout(&["timeline", "--instance", operator_address]);
  wait_for("the load to be recorded", || merged().contains("\"ready\""));
  let text = merged();
  let position = |event: &str| {
    text
      .find(event)
      .unwrap_or_else(|| panic!("{event} in {text}"))
  };
  assert!(
    position("\"decided\"") < position("\"ordered\"")
      && position("\"ordered\"") < position("\"ready\"")
  );
  let trace: Value = serde_json::from_str(&stdout(&[
    "timeline",
    "--instance",
    operator_address,
    "--trace",
  ]))
  .unwrap();
  let events = trace["traceEvents"].as_array().unwrap();
  assert!(
    events
      .iter()
      .any(|event| event["name"] == "ready" && event["ph"] == "X")
  );
  let status = stdout(&["status", "--instance", operator_address]);
  assert!(
    status.contains("selected by all (precedence 0)"),
    "{status}"
  );
}

#[test]
fn two_policies_rule_their_slices_with_replicas_of_their_own() {
  let fleet = fleet();
  for caller in 0..24 {
    let name = format!("caller {caller}");
    let reply = Request::of("contracts", &name, 3)
      .with_caller(&name)
      .send(fleet.callers(caller));
    assert!(reply.matches(&answer(&name, 3)), "{reply:?}");
  }
  let replicas = fleet.platform.record("contracts").replicas;
  let mut policies: Vec<_> = replicas
    .iter()
    .map(|replica| replica.policy.as_str())
    .collect();
  policies.sort_unstable();
  assert_eq!(policies, ["all", "trial"]);
  let plot = std::env::temp_dir().join(format!("bendsaddle-plot-{}.svg", std::process::id()));
  let operator_address = &fleet.members[1].operators;
  let text = stdout(&[
    "compare",
    "all",
    "trial",
    "--instance",
    operator_address,
    "--plot",
    plot.to_str().unwrap(),
  ]);
  assert!(text.contains("too small to judge"), "{text}");
  let requests = text
    .lines()
    .find(|line| line.starts_with("requests"))
    .unwrap();
  let counts: Vec<usize> = requests
    .split_whitespace()
    .skip(1)
    .map(|count| count.parse().unwrap())
    .collect();
  assert_eq!(counts.iter().sum::<usize>(), 24);
  assert!(counts.iter().all(|count| *count > 0), "{counts:?}");
  assert!(std::fs::read_to_string(&plot).unwrap().contains("<svg"));
  std::fs::remove_file(plot).unwrap();
}

#[test]
fn metrics_are_scraped_by_policy_reason_and_verdict() {
  let fleet = fleet();
  let reply = Request::of("contracts", "prompt", 3).send(fleet.callers(0));
  assert_eq!(reply.status, 200);
  let unknown = Request::of("nobody", "prompt", 3).send(fleet.callers(0));
  assert_eq!(unknown.status, 404);
  let metrics = || caller::get(&fleet.members[0].operators, "/metrics").raw;
  wait_for("the cold start to be counted", || {
    metrics().contains("cold_start_seconds_count")
  });
  let refusal = "reason=\"unknown-model\",verdict=\"not-run\"";
  assert!(metrics().contains(refusal), "{}", metrics());
  assert!(metrics().contains("platform_calls_total"), "{}", metrics());
}

#[test]
fn faulty_calls_are_told_what_is_missing() {
  let cases: [(&[&str], &str); 5] = [
    (&["serve"], "--settings: missing"),
    (
      &["status", "--instance", "nowhere"],
      "--instance: `nowhere` is not ip:port",
    ),
    (&["fly"], "command: `fly` is unknown"),
    (
      &["get", "cloud", "--platform", "127.0.0.1:1"],
      "kind: `cloud` is unknown",
    ),
    (
      &["serve", "--settings", "/nonexistent"],
      "could not read settings `/nonexistent`",
    ),
  ];
  for (args, text) in cases {
    let output = run(args);
    assert!(!output.status.success());
    let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(stderr.contains(text), "{args:?}: {stderr}");
  }
}

/// Guards against an instance that ends at its start without the address that it could not use.
#[test]
fn an_address_in_use_is_named() {
  let taken = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = taken.local_addr().unwrap().to_string();
  let settings = json!({ "instance": "a", "zone": "z", "callers": address,
    "peers": "127.0.0.1:0", "operators": "127.0.0.1:0", "platform": "127.0.0.1:1" });
  let path = std::env::temp_dir().join(format!("bendsaddle-in-use-{}.json", std::process::id()));
  std::fs::write(&path, settings.to_string()).unwrap();
  let output = run(&["serve", "--settings", path.to_str().unwrap()]);
  std::fs::remove_file(&path).unwrap();
  let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
  assert!(!output.status.success());
  assert!(
    stderr.contains(&format!("cannot listen on `{address}`")),
    "{stderr}"
  );
}
