//! Replica counts and memory use, tested with processes behind the fault-injecting proxy.

use serde_json::json;
use stand_ins::{
  caller::Request,
  engine::answer,
  fleet::{Fleet, Plan, wait_for},
  proxy::Fault,
};
use std::{
  thread::{self, JoinHandle},
  time::Duration,
};

fn plan() -> Plan {
  Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .limits(json!({ "listMs": 100, "auditMs": 1_000, "orderTtlMs": 1_500, "yieldMs": 100 }))
    .policy("all", json!({ "keepAlive": { "fixed": 60_000 } }))
}

/// Sends `count` requests for a model, distributed over all instances.
fn burst(fleet: &Fleet, model: &str, count: usize) -> Vec<JoinHandle<bool>> {
  let send = |at: usize| {
    let address = fleet.callers(at).to_string();
    let model = model.to_string();
    thread::spawn(move || {
      let prompt = format!("{model} {at}");
      let reply = Request::of(&model, &prompt, 5).send(&address);
      let complete = reply.matches(&answer(&prompt, 5));
      if !complete {
        eprintln!("incomplete reply to `{prompt}`: {reply:?}");
      }
      complete
    })
  };
  (0..count).map(send).collect()
}

fn count_complete(threads: Vec<JoinHandle<bool>>) -> usize {
  let ended = threads.into_iter().filter_map(|thread| thread.join().ok());
  ended.filter(|complete| *complete).count()
}

#[test]
fn a_burst_at_all_instances_loads_once() {
  let fleet = plan()
    .engines(2, |_| {})
    .model("contracts", 200)
    .start()
    .unwrap();
  assert_eq!(count_complete(burst(&fleet, "contracts", 30)), 30);
  assert_eq!(fleet.loads(), 1);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[test]
fn lost_answers_of_the_platform_cost_no_further_load() {
  let fleet = plan()
    .engines(2, |_| {})
    .model("contracts", 200)
    .start()
    .unwrap();
  fleet.platform.fault(|faults| faults.lose_answers = 2);
  assert_eq!(count_complete(burst(&fleet, "contracts", 12)), 12);
  assert_eq!(fleet.loads(), 1);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}

fn survives_the_deciders_death(fencing: bool) {
  let mut fleet = plan()
    .engines(2, |options| {
      options.fencing = fencing;
      options.load[2] = Duration::from_millis(4);
    })
    .model("contracts", 200)
    .start()
    .unwrap();
  let requests = burst(&fleet, "contracts", 9);
  wait_for("a load", || fleet.loads() > 0);
  let decider = decider(&fleet);
  fleet.kill(decider);
  // Only the requests at the killed instance are lost.
  assert!(count_complete(requests) >= 6);
  assert_eq!(count_complete(burst(&fleet, "contracts", 4)), 4);
  assert_eq!(fleet.loads(), 1);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}

/// Returns the index of the first instance that has a job in progress, or 0 if none has.
fn decider(fleet: &Fleet) -> usize {
  let busy = |at: &usize| fleet.members[*at].status()["jobs"] != 0;
  (0..fleet.members.len()).find(busy).unwrap_or_default()
}

#[test]
fn a_load_goes_on_when_its_decider_dies_with_fencing() {
  survives_the_deciders_death(true);
}

#[test]
fn a_load_goes_on_when_its_decider_dies_without_fencing() {
  survives_the_deciders_death(false);
}

fn survives_a_frozen_decider(fencing: bool) {
  let fleet = plan()
    .engines(2, |options| options.fencing = fencing)
    .model("contracts", 200)
    .policy(
      "short",
      json!({ "keepAlive": { "fixed": 500 }, "precedence": 1 }),
    )
    .start()
    .unwrap();
  // Delays orders in transit so that the decider freezes before it receives the answer.
  for proxy in &fleet.proxies {
    proxy.fault(Fault::Delay(Duration::from_millis(300)));
  }
  let requests = burst(&fleet, "contracts", 6);
  wait_for("a decision", || {
    !fleet.platform.record("contracts").replicas.is_empty()
  });
  let frozen = decider(&fleet);
  fleet.members[frozen].signal("-STOP");
  for proxy in &fleet.proxies {
    proxy.fault(Fault::None);
  }
  let other = (frozen + 1) % 3;
  let reply = Request::of("contracts", "while frozen", 5).send(fleet.callers(other));
  assert!(reply.matches(&answer("while frozen", 5)), "{reply:?}");
  wait_for("the model to be withdrawn", || {
    stand_ins::engine::target_loaded(&fleet.platform, "contracts") == 0
  });
  fleet.members[frozen].signal("-CONT");
  assert_eq!(count_complete(requests), 6);
  wait_for("everything to be given back", || {
    let ledgers = fleet
      .engines
      .iter()
      .map(|engine| fleet.platform.ledger(engine.name()));
    let reserved: usize = ledgers.map(|ledger| ledger.reservations.len()).sum();
    reserved == 0 && fleet.loaded("contracts") == 0
  });
  assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[test]
fn a_frozen_decider_that_wakes_loads_nothing_undecided_with_fencing() {
  survives_a_frozen_decider(true);
}

#[test]
fn a_frozen_decider_that_wakes_loads_nothing_undecided_without_fencing() {
  survives_a_frozen_decider(false);
}

#[test]
fn an_engine_that_restarts_empty_is_loaded_again() {
  let fleet = plan()
    .engines(1, |_| {})
    .model("contracts", 200)
    .start()
    .unwrap();
  assert_eq!(count_complete(burst(&fleet, "contracts", 3)), 3);
  fleet.engines[0].restart();
  assert_eq!(count_complete(burst(&fleet, "contracts", 6)), 6);
  assert_eq!(fleet.loads(), 2);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[test]
fn idle_models_give_way_and_memory_is_never_passed() {
  let mut plan = plan().engines(2, |options| options.memory_mb = 300);
  for at in 0..6 {
    plan = plan.model(&format!("model-{at}"), 200);
  }
  let fleet = plan.start().unwrap();
  for at in 0..6 {
    assert_eq!(
      count_complete(burst(&fleet, &format!("model-{at}"), 4)),
      4,
      "model-{at}"
    );
  }
  assert_eq!(fleet.loads(), 6);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[test]
fn an_adapter_is_loaded_beside_its_base() {
  let fleet = plan()
    .engines(3, |_| {})
    .model("base", 200)
    .adapter("invoices", "base", 20)
    .start()
    .unwrap();
  assert_eq!(count_complete(burst(&fleet, "invoices", 6)), 6);
  let base = fleet.platform.record("base").replicas;
  let adapter = fleet.platform.record("invoices").replicas;
  assert_eq!(base[0].server, adapter[0].server);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[test]
fn a_long_queue_brings_a_further_replica_within_the_limit() {
  let fleet = plan()
    .engines(3, |options| options.token = Duration::from_millis(20))
    .model("hints", 200)
    .policy(
      "busy",
      json!({ "maxReplicas": 2, "furtherAt": 4, "precedence": 1 }),
    )
    .start()
    .unwrap();
  assert_eq!(count_complete(burst(&fleet, "hints", 60)), 60);
  assert_eq!(fleet.loads(), 2);
  assert_eq!(fleet.platform.record("hints").replicas.len(), 2);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}
