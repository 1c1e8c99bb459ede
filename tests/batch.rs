//! Batches: stored durably before they are accepted, and each item is completed or refused.

use bendsaddle::{
  batch::{Batch, Item},
  effect::Effect,
  event::{Event, Tag},
  object::{Kind, Name},
  reduce::reduce,
  settings::Limits,
  state::{Identity, State},
  update::{self, Outcome, Stored},
};
use serde_json::{Value, json};
use stand_ins::{
  caller::{self, Request},
  engine::answer,
  fleet::{Fleet, Plan, wait_for},
  proxy::Fault,
};
use std::{thread, time::Duration};

fn plan() -> Plan {
  Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .limits(json!({ "listMs": 100, "platformMs": 1_500 }))
    .policy("all", json!({ "keepAlive": { "fixed": 60_000 } }))
    .model("archive", 200)
}

fn submit(
  fleet: &Fleet,
  instance: usize,
  key: &str,
  items: usize,
  window_ms: u64,
) -> caller::Answer {
  let prompts: Vec<_> = (0..items).map(|item| format!("page {item}")).collect();
  let body = json!({ "model": "archive", "prompts": prompts, "max_tokens": 5,
    "completion_window_ms": window_ms });
  caller::call(
    fleet.callers(instance),
    "/v1/batches",
    Some(key),
    &body.to_string(),
  )
}

fn poll(fleet: &Fleet, instance: usize, id: &str) -> Value {
  caller::get(fleet.callers(instance), &format!("/v1/batches/{id}")).body
}

fn accepted_id(reply: &caller::Answer) -> String {
  assert_eq!(reply.status, 202, "{reply:?}");
  reply.body["id"].as_str().unwrap().to_string()
}

fn wait_until_completed(fleet: &Fleet, id: &str) -> Vec<Value> {
  wait_for("the batch to finish", || {
    (0..fleet.members.len()).any(|at| poll(fleet, at, id)["status"] == "completed")
  });
  poll(fleet, 0, id)["items"].as_array().unwrap().clone()
}

fn count_correct(items: &[Value]) -> usize {
  let is_correct = |(at, item): (usize, &Value)| item["text"] == answer(&format!("page {at}"), 5);
  items
    .iter()
    .enumerate()
    .map(is_correct)
    .filter(|is_correct| *is_correct)
    .count()
}

#[test]
fn a_batch_of_a_cold_model_is_finished_before_its_deadline() {
  let fleet = plan().engines(1, |_| {}).start().unwrap();
  let id = accepted_id(&submit(&fleet, 0, "night", 10, 6_000));
  assert_eq!(count_correct(&wait_until_completed(&fleet, &id)), 10);
}

#[test]
fn a_batch_survives_the_replacement_of_every_instance() {
  let mut fleet = plan()
    .engines(1, |options| options.token = Duration::from_millis(20))
    .start()
    .unwrap();
  let id = accepted_id(&submit(&fleet, 0, "night", 30, 20_000));
  for _ in 0..3 {
    fleet.kill(0);
    fleet.add().unwrap();
    fleet.wait_until_ready();
  }
  assert_eq!(count_correct(&wait_until_completed(&fleet, &id)), 30);
}

#[test]
fn a_submission_repeated_at_another_instance_is_the_same_batch() {
  let fleet = plan().engines(1, |_| {}).start().unwrap();
  fleet.platform.fault(|faults| faults.lose_answers = 1);
  let first = accepted_id(&submit(&fleet, 0, "night", 3, 60_000));
  let reply = submit(&fleet, 1, "night", 3, 60_000);
  assert_eq!(accepted_id(&reply), first);
}

#[test]
fn items_not_finished_by_the_deadline_are_reported_as_refused() {
  let fleet = plan().engines(1, |_| {}).start().unwrap();
  fleet.proxies[0].fault(Fault::Refuse);
  let id = accepted_id(&submit(&fleet, 0, "night", 4, 1_500));
  for item in wait_until_completed(&fleet, &id) {
    assert_eq!(
      (item["state"].as_str(), item["reason"].as_str()),
      (Some("refused"), Some("deadline"))
    );
  }
}

#[test]
fn a_batch_can_be_cancelled_and_an_unknown_one_is_told() {
  let fleet = plan().engines(1, |_| {}).start().unwrap();
  fleet.proxies[0].fault(Fault::Refuse);
  let id = accepted_id(&submit(&fleet, 0, "night", 4, 60_000));
  let path = format!("/v1/batches/{id}/cancel");
  assert_eq!(caller::call(fleet.callers(1), &path, None, "").status, 200);
  let cancelled = |item: &Value| item["state"] == "cancelled";
  assert!(wait_until_completed(&fleet, &id).iter().all(cancelled));
  assert_eq!(
    caller::get(fleet.callers(0), "/v1/batches/none").status,
    404
  );
}

#[test]
fn a_batch_is_not_accepted_while_the_platform_is_down() {
  let fleet = plan().engines(1, |_| {}).start().unwrap();
  fleet.platform_proxy.fault(Fault::Refuse);
  let reply = submit(&fleet, 0, "night", 4, 60_000);
  assert_eq!(
    (reply.status, reply.reason.as_str()),
    (503, "platform-unavailable")
  );
  fleet.platform_proxy.fault(Fault::None);
  wait_for("the batch to be accepted", || {
    submit(&fleet, 0, "night", 4, 60_000).status == 202
  });
}

#[test]
fn a_batch_too_large_for_the_platform_is_told_its_size() {
  let fleet = plan().engines(1, |_| {}).instances(1).start().unwrap();
  let body = json!({ "model": "archive", "prompts": ["x".repeat(950_000)],
    "completion_window_ms": 1_000 });
  let reply = caller::call(fleet.callers(0), "/v1/batches", None, &body.to_string());
  assert_eq!(reply.status, 413);
  let message = reply.body["error"]["message"].as_str().unwrap().to_string();
  assert!(message.contains("submit several batches"), "{message}");
}

#[test]
fn a_batch_yields_to_interactive_requests() {
  let fleet = plan()
    .engines(1, |options| {
      options.slots = 2;
      options.token = Duration::from_millis(10);
    })
    .start()
    .unwrap();
  let warm = Request::of("archive", "warm", 2).send(fleet.callers(0));
  assert!(warm.matches(&answer("warm", 2)), "{warm:?}");
  let id = accepted_id(&submit(&fleet, 0, "night", 40, 60_000));
  wait_for("an item to run", || fleet.engines[0].runs().len() > 1);
  let threads: Vec<_> = (0..12)
    .map(|at| {
      let address = fleet.callers(at).to_string();
      thread::spawn(move || Request::of("archive", &format!("clerk {at}"), 5).send(&address))
    })
    .collect();
  for (at, thread) in threads.into_iter().enumerate() {
    let reply = thread.join().unwrap();
    assert!(
      reply.matches(&answer(&format!("clerk {at}"), 5)),
      "{reply:?}"
    );
  }
  // The batch has far more items than can run before the interactive requests are answered.
  assert!(poll(&fleet, 0, &id)["waiting"].as_u64().unwrap() > 0);
  assert_eq!(count_correct(&wait_until_completed(&fleet, &id)), 40);
}

#[test]
fn a_finished_batch_is_removed_a_day_after_its_deadline() {
  let identity = Identity {
    instance: "entry-0".into(),
    zone: "zone".into(),
    peer_address: "10.0.0.1:1".into(),
    operator_address: "10.0.0.1:2".into(),
    boot: 1,
    seeds: Vec::new(),
  };
  let now = 100_000_000;
  let mut state = State::new(identity, Limits::default(), 1, now);
  let listed = Event::BatchesListed(vec![("old".into(), 5)]);
  let effects = reduce(&mut state, now, listed);
  let is_read =
    |effect: &Effect| matches!(effect, Effect::Update { name, .. } if name.name == "old");
  assert!(effects.iter().any(is_read), "{effects:?}");
  let batch = Batch {
    model: "archive".into(),
    deadline: 1_000,
    prompts: vec!["page".into()],
    items: vec![Item::Cancelled],
    ..Batch::default()
  };
  let name = Name::new(Kind::Batch, "old");
  let read = Event::Updated {
    tag: Tag::Batch { id: "old".into() },
    name: name.clone(),
    outcome: Outcome::Applied(Stored {
      version: 5,
      value: update::Value::Batch(batch),
    }),
  };
  let effects = reduce(&mut state, now + 100, read);
  let version = 5;
  assert!(
    effects.contains(&Effect::Remove { name, version }),
    "{effects:?}"
  );
}
