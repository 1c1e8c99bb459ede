//! Long outages of the object API.

use serde_json::json;
use stand_ins::{
  caller::Request,
  engine::answer,
  fleet::{Fleet, Plan, wait_for},
  proxy::Fault,
};
use std::{thread, time::Duration};

fn plan() -> Plan {
  Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .limits(json!({ "listMs": 100, "platformMs": 1_000 }))
    .policy("all", json!({ "keepAlive": { "fixed": 60_000 } }))
    .engines(2, |_| {})
    .model("warm", 200)
    .model("cold", 200)
}

fn assert_served(fleet: &Fleet, at: usize, model: &str, prompt: &str) {
  let reply = Request::of(model, prompt, 5).send(fleet.callers(at));
  assert!(reply.matches(&answer(prompt, 5)), "{reply:?}");
}

#[test]
fn loaded_models_serve_on_and_new_loads_are_refused_in_time() {
  let fleet = plan().start().unwrap();
  assert_served(&fleet, 0, "warm", "before");
  fleet.platform_proxy.fault(Fault::Refuse);
  for at in 0..9 {
    assert_served(&fleet, at, "warm", &format!("down {at}"));
  }
  let refused = Request::of("cold", "no load", 5)
    .with_deadline(Duration::from_millis(1_500))
    .send(fleet.callers(0));
  assert_eq!(
    (refused.reason.as_str(), refused.verdict.as_str()),
    ("too-late", "not-run")
  );
  assert!(refused.retry_after_ms.is_some());
}

#[test]
fn a_request_that_can_wait_is_served_when_the_platform_returns() {
  let fleet = plan().start().unwrap();
  fleet.platform_proxy.fault(Fault::Hold);
  let threads: Vec<_> = (0..6)
    .map(|at| {
      let address = fleet.callers(at).to_string();
      thread::spawn(move || Request::of("cold", &format!("waits {at}"), 5).send(&address))
    })
    .collect();
  wait_for("the requests to wait", || fleet.waiting() == 6);
  fleet.platform_proxy.fault(Fault::None);
  fleet.platform_proxy.close_connections();
  for (at, thread) in threads.into_iter().enumerate() {
    let reply = thread.join().unwrap();
    assert!(
      reply.matches(&answer(&format!("waits {at}"), 5)),
      "{reply:?}"
    );
  }
  assert_eq!(fleet.loads(), 1);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[test]
fn every_instance_replaced_in_an_outage_serves_what_is_loaded() {
  let mut fleet = plan().start().unwrap();
  assert_served(&fleet, 0, "warm", "before");
  fleet.platform_proxy.fault(Fault::Refuse);
  for _ in 0..3 {
    fleet.add().unwrap();
    fleet.wait_until_ready();
    fleet.kill(0);
  }
  for at in 0..6 {
    assert_served(&fleet, at, "warm", &format!("replaced {at}"));
  }
  assert_eq!(fleet.loads(), 1);
}

#[test]
fn recovery_stays_within_the_budget_of_calls() {
  let fleet = plan().start().unwrap();
  fleet.platform.limit(60, 120);
  fleet.platform_proxy.fault(Fault::Refuse);
  let threads: Vec<_> = (0..12)
    .map(|at| {
      let address = fleet.callers(at).to_string();
      let model = if at % 2 == 0 { "warm" } else { "cold" };
      thread::spawn(move || Request::of(model, &format!("{at}"), 5).send(&address))
    })
    .collect();
  wait_for("the requests to wait", || fleet.waiting() == 12);
  fleet.platform_proxy.fault(Fault::None);
  for thread in threads {
    let reply = thread.join().unwrap();
    assert_eq!(reply.status, 200, "{reply:?}");
  }
  assert_eq!(fleet.platform.calls().limited, 0);
  assert_eq!(fleet.loads(), 2);
}
