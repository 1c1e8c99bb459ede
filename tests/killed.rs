//! Claims, batches and completions whose process is killed and starts again under its name: none runs
//! twice, and none is lost.

use serde_json::{Value, json};
use stand_ins::{
  caller::{self, Answer, Request},
  engine::answer,
  fleet::{Fleet, Plan, wait_for},
};
use std::{cell::RefCell, collections::BTreeMap, thread, time::Duration};

const KEYS: usize = 24;
const ITEMS: usize = 30;
const ITEM_TOKENS: usize = 5;
const TOKENS: usize = 100;
const TOKEN: Duration = Duration::from_millis(20);
/// Time of a call, so that a kill meets calls before, within and after it.
const CALL: Duration = Duration::from_millis(150);

fn plan() -> Plan {
  Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .limits(json!({ "listMs": 100, "platformMs": 1_500 }))
    .policy("all", json!({ "keepAlive": { "fixed": 60_000 } }))
    .model("archive", 200)
}

/// Sends a call that may run once, with its key.
fn call(address: &str, key: &str) -> Answer {
  caller::call(address, "/services/portal/export", Some(key), key)
}

fn runs(fleet: &Fleet, key: &str) -> u32 {
  let services = fleet.services.iter();
  services.map(|service| service.runs(key)).sum()
}

/// Guards against a claim that a restarted process takes for its own and sends again, and against a call
/// that is said not to have run although it has.
#[test]
fn a_claim_of_a_killed_process_never_runs_twice() {
  let mut fleet = plan().services(2, CALL).start().unwrap();
  let keys: Vec<String> = (0..KEYS).map(|number| format!("key {number}")).collect();
  let threads: Vec<_> = keys
    .iter()
    .enumerate()
    .map(|(number, key)| {
      let (address, key) = (fleet.callers(number).to_string(), key.clone());
      // One after the other, so that the kill meets them at different points.
      thread::sleep(CALL / 16);
      thread::spawn(move || call(&address, &key))
    })
    .collect();
  fleet.restart(0).unwrap();
  let first: Vec<Answer> = threads
    .into_iter()
    .map(|thread| thread.join().unwrap())
    .collect();
  fleet.wait_until_ready();
  let mut outcomes: BTreeMap<(u16, u16), usize> = BTreeMap::new();
  for (key, first) in keys.iter().zip(&first) {
    let repeats: Vec<Answer> = (0..fleet.members.len())
      .map(|at| call(fleet.callers(at), key))
      .collect();
    for repeat in &repeats {
      let unsure = (repeat.status, repeat.verdict.as_str()) == (409, "may-have-run");
      let served = (repeat.status, repeat.body["run"].as_u64()) == (200, Some(1));
      assert!(unsure || served, "`{key}`: {repeat:?}");
    }
    let count = runs(&fleet, key);
    assert!(count <= 1, "`{key}` ran {count} times");
    assert!(
      first.verdict != "not-run" || repeats[0].status == 200,
      "`{key}`: {first:?}"
    );
    *outcomes
      .entry((first.status, repeats[0].status))
      .or_default() += 1;
  }
  println!("first response and that to a repeat: {outcomes:?}");
  assert!(
    outcomes.keys().any(|(first, _)| *first == 0),
    "the kill met no call"
  );
}

/// Like `wait_for`, for a condition that keeps what it has read.
fn poll_until(what: &str, condition: impl FnMut() -> bool) {
  let condition = RefCell::new(condition);
  wait_for(what, || condition.borrow_mut()());
}

fn poll(fleet: &Fleet, id: &str) -> Value {
  let polls = (0..fleet.members.len())
    .map(|at| caller::get(fleet.callers(at), &format!("/v1/batches/{id}")).body);
  polls
    .max_by_key(|body| done(body).len())
    .unwrap_or_default()
}

/// Numbers of the items whose outcomes are recorded.
fn done(body: &Value) -> Vec<usize> {
  let items = body["items"].as_array().into_iter().flatten().enumerate();
  let done = items.filter(|(_, item)| item["text"].is_string());
  done.map(|(number, _)| number).collect()
}

/// How often each of these items has begun to run.
fn item_runs(fleet: &Fleet, items: &[usize]) -> BTreeMap<usize, usize> {
  let runs = fleet.engines[0].runs();
  let count = |item: &usize| {
    let prompt = format!("page {item}");
    runs.iter().filter(|run| run.prompt == prompt).count()
  };
  items.iter().map(|item| (*item, count(item))).collect()
}

/// Guards against items of a batch that are lost with their process, or that run again although their
/// outcome was recorded.
#[test]
fn a_batch_of_a_killed_process_is_finished_and_recorded_items_run_once() {
  let mut fleet = plan()
    .engines(1, |options| options.token = TOKEN)
    .start()
    .unwrap();
  let prompts: Vec<_> = (0..ITEMS).map(|item| format!("page {item}")).collect();
  let body = json!({ "model": "archive", "prompts": prompts, "max_tokens": ITEM_TOKENS,
    "completion_window_ms": 40_000 });
  let submitted = caller::call(
    fleet.callers(0),
    "/v1/batches",
    Some("night"),
    &body.to_string(),
  );
  assert_eq!(submitted.status, 202, "{submitted:?}");
  let id = submitted.body["id"].as_str().unwrap().to_string();
  let mut recorded = BTreeMap::new();
  // Each of them may own the batch.
  for kill in 1..=3 {
    let mut items = Vec::new();
    poll_until("some items to be recorded", || {
      items = done(&poll(&fleet, &id));
      items.len() >= kill * ITEMS / 5
    });
    for (item, runs) in item_runs(&fleet, &items) {
      recorded.entry(item).or_insert(runs);
    }
    fleet.restart(0).unwrap();
    fleet.wait_until_ready();
  }
  wait_for("the batch to finish", || {
    poll(&fleet, &id)["status"] == "completed"
  });
  let last = poll(&fleet, &id);
  for (number, item) in last["items"].as_array().unwrap().iter().enumerate() {
    let expected = answer(&format!("page {number}"), ITEM_TOKENS);
    assert_eq!(item["text"], expected, "item {number}: {item}");
  }
  let items: Vec<usize> = recorded.keys().copied().collect();
  println!("{} of {ITEMS} items recorded before a kill", items.len());
  assert_eq!(item_runs(&fleet, &items), recorded);
}

/// Guards against a completion that runs on without its process, and against a repeat that gets less than
/// the whole.
#[test]
fn a_completion_of_a_killed_process_ends_and_its_repeat_is_whole() {
  let mut fleet = plan()
    .engines(1, |options| options.token = TOKEN)
    .start()
    .unwrap();
  let warm = Request::of("archive", "warm", 1).send(fleet.callers(0));
  assert!(warm.matches(&answer("warm", 1)), "{warm:?}");
  for round in 0..3 {
    let prompt = format!("summary {round}");
    let request = Request::of("archive", &prompt, TOKENS as u32);
    let address = fleet.callers(0).to_string();
    let before = fleet.engines[0].runs().len();
    let first = request.clone();
    let caller = thread::spawn(move || first.send(&address));
    wait_for("the completion to run", || {
      fleet.engines[0].runs().len() > before
    });
    fleet.restart(0).unwrap();
    let cut = caller.join().unwrap();
    assert!(!cut.is_complete, "{cut:?}");
    assert!(answer(&prompt, TOKENS).starts_with(&cut.text), "{cut:?}");
    wait_for("the run to end", || fleet.engines[0].busy() == 0);
    fleet.wait_until_ready();
    // The process that started again is the last one.
    let repeat = request.send(fleet.callers(fleet.members.len() - 1));
    assert!(repeat.matches(&answer(&prompt, TOKENS)), "{repeat:?}");
  }
  // The engine records the end of a run after it has written the last token.
  wait_for("the last run to be recorded", || {
    fleet.engines[0].busy() == 0
  });
  let runs = fleet.engines[0].runs();
  let whole = runs.iter().filter(|run| run.is_complete).count();
  assert_eq!(whole, 4, "{runs:?}");
}
