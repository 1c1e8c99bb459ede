//! Callers get complete answers and correct verdicts when connections fail.

use bendsaddle::{report::Stage, verdict::Verdict};
use serde_json::json;
use stand_ins::{
  caller::{self, Request},
  engine::{Engine, answer},
  fleet::{Fleet, Plan, wait_for},
  proxy::Fault,
};
use std::{thread, time::Duration};

const TOKENS: usize = 20;

fn plan() -> Plan {
  Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .policy("all", json!({ "keepAlive": { "fixed": 60_000 } }))
    .limits(json!({ "listMs": 100, "tokenStallMs": 1_000 }))
    .model("contracts", 200)
}

fn complete(fleet: &Fleet, instance: usize, prompt: &str) -> caller::Answer {
  Request::of("contracts", prompt, TOKENS as u32).send(fleet.callers(instance))
}

fn warm(fleet: &Fleet) {
  assert!(complete(fleet, 0, "first").matches(&answer("first", TOKENS)));
  wait_for("every instance to report a ready replica", || {
    fleet.members.iter().all(|member| {
      let replicas = member.status()["replicas"].clone();
      replicas
        .as_array()
        .is_some_and(|list| list.iter().any(|replica| replica["ready"] == true))
    })
  });
}

fn run_count(fleet: &Fleet) -> usize {
  fleet.engines.iter().map(|engine| engine.runs().len()).sum()
}

#[test]
fn tokens_out_of_order_doubled_and_astray_arrive_whole() {
  let fleet = plan().engines(1, |_| {}).start().unwrap();
  fleet.engines[0].fault(|faults| faults.disorder = true);
  for at in 0..6 {
    let prompt = format!("disorder {at}");
    let reply = complete(&fleet, at, &prompt);
    assert!(reply.matches(&answer(&prompt, TOKENS)), "{reply:?}");
  }
}

#[test]
fn a_stream_that_breaks_is_resumed_and_each_token_comes_once() {
  let fleet = plan().engines(1, |_| {}).start().unwrap();
  fleet.engines[0].fault(|faults| faults.break_after = vec![5, 3]);
  let reply = complete(&fleet, 0, "resumed");
  assert!(reply.matches(&answer("resumed", TOKENS)), "{reply:?}");
  assert_eq!(fleet.engines[0].runs().len(), 3);
}

#[test]
fn a_stream_survives_the_loss_of_its_engine() {
  let fleet = plan()
    .engines(2, |options| options.token = Duration::from_millis(20))
    .policy(
      "two",
      json!({ "minReplicas": 2, "maxReplicas": 2, "precedence": 1 }),
    )
    .start()
    .unwrap();
  wait_for("two replicas", || {
    let residents = fleet.engines.iter().flat_map(Engine::residents);
    residents
      .filter(|(_, stage)| *stage == Stage::Ready)
      .count()
      == 2
  });
  let address = fleet.callers(0).to_string();
  let request =
    thread::spawn(move || Request::of("contracts", "moved", TOKENS as u32).send(&address));
  wait_for("the stream to run", || run_count(&fleet) == 1);
  let busy = usize::from(fleet.engines[1].busy() > 0);
  fleet.proxies[busy].fault(Fault::Refuse);
  let reply = request.join().unwrap();
  assert!(reply.matches(&answer("moved", TOKENS)), "{reply:?}");
}

/// Applies one connection fault to the next attempts and compares the verdict that the caller
/// got with the runs that the engine recorded.
fn assert_verdict_matches_runs(fault: Fault) {
  let fleet = plan().engines(1, |_| {}).start().unwrap();
  warm(&fleet);
  let before = run_count(&fleet);
  fleet.proxies[0].fault(fault);
  let deadline = Duration::from_millis(2_500);
  let reply = Request::of("contracts", "cut", TOKENS as u32)
    .with_deadline(deadline)
    .send(fleet.callers(1));
  fleet.proxies[0].fault(Fault::None);
  assert!(!reply.is_complete || reply.status != 200, "{reply:?}");
  let ran = run_count(&fleet) > before;
  if ran {
    assert_eq!(reply.verdict, Verdict::MayHaveRun.as_str(), "{reply:?}");
  }
  if reply.verdict == Verdict::NotRun.as_str() {
    assert!(!ran, "{reply:?}");
  }
  assert!(!reply.verdict.is_empty(), "{reply:?}");
  assert!(reply.retry_after_ms.is_some(), "{reply:?}");
}

#[test]
fn a_refused_connection_is_not_run() {
  let fleet = plan().engines(1, |_| {}).start().unwrap();
  warm(&fleet);
  let before = run_count(&fleet);
  fleet.proxies[0].fault(Fault::Refuse);
  let deadline = Duration::from_millis(1_500);
  let reply = Request::of("contracts", "refused", 5)
    .with_deadline(deadline)
    .send(fleet.callers(1));
  assert_eq!(reply.verdict, Verdict::NotRun.as_str(), "{reply:?}");
  assert_eq!(run_count(&fleet), before);
}

#[test]
fn the_verdict_is_true_when_the_connection_closes_at_once() {
  assert_verdict_matches_runs(Fault::Close);
}

#[test]
fn the_verdict_is_true_when_the_request_is_cut() {
  assert_verdict_matches_runs(Fault::CutRequest(40));
}

#[test]
fn the_verdict_is_true_when_the_answer_is_lost() {
  assert_verdict_matches_runs(Fault::LoseAnswer);
}

#[test]
fn the_verdict_is_true_when_the_answer_is_cut() {
  assert_verdict_matches_runs(Fault::CutAnswer(100));
}

#[test]
fn the_verdict_is_true_when_nothing_answers() {
  assert_verdict_matches_runs(Fault::Hold);
}

#[test]
fn a_caller_that_leaves_frees_its_slot() {
  let fleet = plan()
    .engines(1, |options| options.token = Duration::from_millis(20))
    .start()
    .unwrap();
  warm(&fleet);
  let stream = std::net::TcpStream::connect(fleet.callers(0)).unwrap();
  let body = json!({ "model": "contracts", "prompt": "left", "max_tokens": 5_000, "stream": true });
  let text = body.to_string();
  let head = format!(
    "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{text}",
    text.len()
  );
  std::io::Write::write_all(&mut &stream, head.as_bytes()).unwrap();
  wait_for("the stream to run", || fleet.engines[0].busy() == 1);
  drop(stream);
  wait_for("the slot to be free", || fleet.engines[0].busy() == 0);
  wait_for("the instance to drop the request", || {
    fleet.members[0].status()["requests"] == 0
  });
}

#[test]
fn tokens_leave_as_they_are_produced() {
  let fleet = plan()
    .engines(1, |options| options.token = Duration::from_millis(100))
    .start()
    .unwrap();
  let mut stream = std::net::TcpStream::connect(fleet.callers(0)).unwrap();
  let body = json!({ "model": "contracts", "prompt": "flow", "max_tokens": 50, "stream": true });
  let text = body.to_string();
  let head = format!(
    "POST /v1/completions HTTP/1.1\r\ncontent-length: {}\r\n\r\n{text}",
    text.len()
  );
  std::io::Write::write_all(&mut stream, head.as_bytes()).unwrap();
  let mut read = String::new();
  let mut bytes = [0; 1024];
  while !read.contains("text_completion") {
    let length = std::io::Read::read(&mut stream, &mut bytes).unwrap();
    read += &String::from_utf8_lossy(&bytes[..length]);
  }
  // The caller has a token while the engine is still producing the others.
  assert_eq!(fleet.engines[0].busy(), 1);
  assert!(!fleet.engines[0].runs()[0].is_complete);
}

#[test]
fn a_chat_is_answered_whole_without_a_stream() {
  let fleet = plan().engines(1, |_| {}).start().unwrap();
  let body = json!({ "model": "contracts", "max_tokens": 5,
    "messages": [{ "role": "user", "content": "summarise" }] });
  let path = "/v1/chat/completions";
  let reply = caller::call(fleet.callers(0), path, None, &body.to_string());
  assert_eq!(reply.text, answer("user: summarise", 5), "{reply:?}");
  assert_eq!(reply.body["object"], "chat.completion");
  let models = caller::get(fleet.callers(0), "/v1/models").body;
  assert_eq!(models["data"][0]["id"], "contracts");
}

#[test]
fn bad_requests_are_told_the_field_and_the_value() {
  let fleet = plan().engines(1, |_| {}).instances(1).start().unwrap();
  let post = |path: &str, body: &str| caller::call(fleet.callers(0), path, None, body).body;
  let message = |body: serde_json::Value| body["error"]["message"].as_str().unwrap().to_string();
  assert!(message(post("/v1/completions", "{}")).contains("missing field `model`"));
  let empty = json!({ "model": "contracts" }).to_string();
  assert!(message(post("/v1/completions", &empty)).contains("prompt"));
  assert!(message(post("/v1/unknown", "")).contains("`/v1/unknown`"));
  let window = json!({ "model": "contracts", "prompts": ["a"], "completion_window_ms": 0 });
  let error = message(post("/v1/batches", &window.to_string()));
  assert!(error.contains("completion_window_ms: `0`"), "{error}");
  let unknown = Request::of("nobody", "prompt", 5).send(fleet.callers(0));
  assert_eq!(
    (unknown.status, unknown.reason.as_str()),
    (404, "unknown-model")
  );
}

#[test]
fn more_than_the_queue_holds_is_refused_at_once_with_a_time_to_return() {
  let fleet = plan()
    .engines(1, |options| options.fencing = true)
    .limits(json!({ "queue": 4, "listMs": 100 }))
    .instances(1)
    .start()
    .unwrap();
  fleet.engines[0].fault(|faults| faults.slow_load = Duration::from_secs(1));
  let address = fleet.callers(0).to_string();
  let threads: Vec<_> = (0..12)
    .map(|at| {
      let address = address.clone();
      thread::spawn(move || Request::of("contracts", &format!("{at}"), 5).send(&address))
    })
    .collect();
  let replies: Vec<_> = threads
    .into_iter()
    .map(|thread| thread.join().unwrap())
    .collect();
  let refused: Vec<_> = replies.iter().filter(|reply| reply.status == 429).collect();
  assert_eq!(refused.len(), 8);
  for reply in refused {
    assert_eq!(
      (reply.reason.as_str(), reply.verdict.as_str()),
      ("queue-full", "not-run")
    );
    assert!(reply.retry_after_ms.is_some());
  }
  assert_eq!(run_count(&fleet), 4);
}
