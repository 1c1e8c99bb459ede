//! Calls that must not be repeated run at most once.

use serde_json::json;
use stand_ins::{
  caller,
  fleet::{Fleet, Plan, wait_for},
  proxy::Fault,
};
use std::{thread, time::Duration};

fn plan(time: Duration) -> Plan {
  Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .limits(json!({ "listMs": 100, "tokenStallMs": 2_000, "platformMs": 1_500 }))
    .services(2, time)
}

fn runs(fleet: &Fleet, body: &str) -> u32 {
  fleet
    .services
    .iter()
    .map(|service| service.runs(body))
    .sum()
}

fn export(fleet: &Fleet, at: usize, key: &str, body: &str) -> caller::Answer {
  caller::call(
    fleet.callers(at),
    "/services/portal/export",
    Some(key),
    body,
  )
}

#[test]
fn a_repeat_at_any_instance_gets_the_first_result() {
  let fleet = plan(Duration::from_millis(1)).start().unwrap();
  let first = export(&fleet, 0, "key", "deck");
  assert_eq!((first.status, first.body["run"].as_u64()), (200, Some(1)));
  for at in 0..6 {
    let repeat = export(&fleet, at, "key", "deck");
    assert_eq!(
      (repeat.status, repeat.body["run"].as_u64()),
      (200, Some(1)),
      "{repeat:?}"
    );
  }
  assert_eq!(runs(&fleet, "deck"), 1);
}

#[test]
fn repeats_sent_at_once_to_all_instances_run_once() {
  let fleet = plan(Duration::from_millis(100)).start().unwrap();
  let threads: Vec<_> = (0..24)
    .map(|at| {
      let address = fleet.callers(at).to_string();
      let body = format!("deck {}", at % 4);
      thread::spawn(move || {
        caller::call(
          &address,
          "/services/portal/export",
          Some(&body.clone()),
          &body,
        )
      })
    })
    .collect();
  for thread in threads {
    let reply = thread.join().unwrap();
    let refused = reply.status == 409 && reply.verdict == "may-have-run";
    assert!(reply.status == 200 || refused, "{reply:?}");
  }
  for at in 0..4 {
    assert_eq!(runs(&fleet, &format!("deck {at}")), 1);
  }
}

#[test]
fn a_repeat_after_the_instance_died_never_runs_again() {
  let mut fleet = plan(Duration::from_millis(800)).start().unwrap();
  let address = fleet.callers(0).to_string();
  let request = thread::spawn(move || {
    caller::call(&address, "/services/portal/export", Some("key"), "invoice")
  });
  wait_for("the call to run", || runs(&fleet, "invoice") == 1);
  fleet.kill(0);
  assert_eq!(request.join().unwrap().status, 0);
  for at in 0..4 {
    let repeat = export(&fleet, at, "key", "invoice");
    assert_eq!(
      (repeat.status, repeat.verdict.as_str()),
      (409, "may-have-run")
    );
  }
  assert_eq!(runs(&fleet, "invoice"), 1);
}

#[test]
fn with_the_platform_down_nothing_runs_and_the_refusal_says_so() {
  let fleet = plan(Duration::from_millis(1)).start().unwrap();
  fleet.platform_proxy.fault(Fault::Refuse);
  let refused = export(&fleet, 0, "key", "invoice");
  assert_eq!(refused.verdict, "not-run", "{refused:?}");
  assert_eq!(refused.reason, "platform-unavailable");
  assert_eq!(runs(&fleet, "invoice"), 0);
  fleet.platform_proxy.fault(Fault::None);
  wait_for("the call to run", || {
    export(&fleet, 1, "key", "invoice").status == 200
  });
  assert_eq!(runs(&fleet, "invoice"), 1);
}

#[test]
fn lost_answers_of_the_platform_do_not_double_a_call() {
  let fleet = plan(Duration::from_millis(1)).start().unwrap();
  for at in 0..6 {
    fleet.platform.fault(|faults| faults.lose_answers = 1);
    let body = format!("invoice {at}");
    let reply = export(&fleet, at, &body, &body);
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(runs(&fleet, &body), 1);
  }
}

#[test]
fn a_call_whose_answer_is_lost_is_not_sent_again() {
  let fleet = plan(Duration::from_millis(1)).start().unwrap();
  for proxy in &fleet.service_proxies {
    proxy.fault(Fault::LoseAnswer);
  }
  let lost = export(&fleet, 0, "key", "invoice");
  assert_eq!(lost.verdict, "may-have-run", "{lost:?}");
  for proxy in &fleet.service_proxies {
    proxy.fault(Fault::None);
  }
  let repeat = export(&fleet, 1, "key", "invoice");
  assert_eq!(
    (repeat.status, repeat.verdict.as_str()),
    (409, "may-have-run")
  );
  assert_eq!(runs(&fleet, "invoice"), 1);
}

#[test]
fn a_call_that_never_left_goes_to_another_runner() {
  let fleet = plan(Duration::from_millis(1)).start().unwrap();
  fleet.service_proxies[0].fault(Fault::Refuse);
  for at in 0..8 {
    let body = format!("invoice {at}");
    let reply = export(&fleet, at, &body, &body);
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(runs(&fleet, &body), 1);
  }
}

#[test]
fn a_call_without_a_key_is_never_repeated_by_the_system() {
  let fleet = plan(Duration::from_millis(1)).start().unwrap();
  for proxy in &fleet.service_proxies {
    proxy.fault(Fault::LoseAnswer);
  }
  let lost = caller::call(fleet.callers(0), "/services/portal/export", None, "deck");
  assert_eq!(lost.verdict, "may-have-run", "{lost:?}");
  assert_eq!(runs(&fleet, "deck"), 1);
}
