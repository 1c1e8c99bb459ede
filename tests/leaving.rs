//! Backend servers that leave, and planned stops of instances.

use bendsaddle::fact::MachineState;
use serde_json::json;
use stand_ins::{
  caller::{self, Request},
  engine::answer,
  fleet::{Fleet, Plan, wait_for},
  proxy::Fault,
};
use std::{
  sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
  },
  thread::{self, JoinHandle},
  time::Duration,
};

fn plan() -> Plan {
  Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .limits(json!({ "listMs": 100, "orderTtlMs": 1_500 }))
    .policy("all", json!({ "keepAlive": { "fixed": 60_000 } }))
    .model("contracts", 200)
}

fn engine_index(fleet: &Fleet) -> usize {
  let record = fleet.platform.record("contracts");
  fleet.engine(&record.replicas[0].server)
}

fn assert_served(fleet: &Fleet, instance: usize, prompt: &str) {
  let reply = Request::of("contracts", prompt, 5).send(fleet.callers(instance));
  assert!(reply.matches(&answer(prompt, 5)), "{reply:?}");
}

fn all_instances_show_leaving(fleet: &Fleet, server: &str) -> bool {
  fleet.members.iter().all(|member| {
    let leaving = member.status()["leaving"].clone();
    leaving
      .as_array()
      .is_some_and(|list| list.iter().any(|name| name == server))
  })
}

#[test]
fn a_leaving_server_gets_no_new_work_and_its_model_moves() {
  let fleet = plan().engines(2, |_| {}).start().unwrap();
  assert_served(&fleet, 0, "before");
  let old = engine_index(&fleet);
  let name = fleet.engines[old].name().to_string();
  fleet.platform.machine(&name, None, MachineState::Leaving);
  wait_for("all instances to show the server as leaving", || {
    all_instances_show_leaving(&fleet, &name)
  });
  let runs = fleet.engines[old].runs().len();
  for at in 0..6 {
    assert_served(&fleet, at, &format!("after {at}"));
  }
  assert_eq!(fleet.engines[old].runs().len(), runs);
  assert_eq!(fleet.engines[1 - old].runs().len(), 6);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}

#[test]
fn a_server_known_to_leave_gets_no_work_while_the_platform_is_down() {
  let mut fleet = plan()
    .engines(2, |_| {})
    .policy(
      "two",
      json!({ "minReplicas": 2, "maxReplicas": 2, "precedence": 1 }),
    )
    .start()
    .unwrap();
  wait_for("two replicas", || fleet.loaded("contracts") == 2);
  let name = fleet.engines[0].name().to_string();
  fleet.platform.machine(&name, None, MachineState::Leaving);
  wait_for("all instances to show the server as leaving", || {
    all_instances_show_leaving(&fleet, &name)
  });
  fleet.platform_proxy.fault(Fault::Refuse);
  // An instance that starts now learns of the leaving server from its peers.
  fleet.add().unwrap();
  fleet.wait_until_ready();
  wait_for("the new instance to show the server as leaving", || {
    all_instances_show_leaving(&fleet, &name)
  });
  let runs = fleet.engines[0].runs().len();
  for at in 0..8 {
    assert_served(&fleet, at, &format!("down {at}"));
  }
  assert_eq!(fleet.engines[0].runs().len(), runs);
}

#[test]
fn an_engine_that_says_it_leaves_gets_no_work_without_the_list() {
  let fleet = plan().engines(2, |_| {}).start().unwrap();
  assert_served(&fleet, 0, "before");
  let old = engine_index(&fleet);
  fleet.engines[old].leave();
  for at in 0..6 {
    assert_served(&fleet, at, &format!("after {at}"));
  }
  assert_eq!(fleet.engines[1 - old].runs().len(), 6);
}

#[test]
fn a_load_on_a_server_that_leaves_is_decided_again_elsewhere() {
  let fleet = plan()
    .engines(2, |options| options.load[2] = Duration::from_millis(10))
    .start()
    .unwrap();
  let address = fleet.callers(0).to_string();
  let request = thread::spawn(move || Request::of("contracts", "moved", 5).send(&address));
  wait_for("a load", || fleet.loads() == 1);
  let old = engine_index(&fleet);
  fleet
    .platform
    .machine(fleet.engines[old].name(), None, MachineState::Leaving);
  let reply = request.join().unwrap();
  assert!(reply.matches(&answer("moved", 5)), "{reply:?}");
  assert_eq!(fleet.engines[1 - old].runs().len(), 1);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}

/// Callers that send requests one after another, spread over the instances as by a load balancer.
struct Load {
  stop: Arc<AtomicBool>,
  targets: Arc<Mutex<Vec<String>>>,
  threads: Vec<JoinHandle<(usize, Vec<caller::Answer>)>>,
}

impl Load {
  fn start(fleet: &Fleet, callers: usize) -> Self {
    let stop = Arc::new(AtomicBool::new(false));
    let targets = Arc::new(Mutex::new(Self::targets_of(fleet)));
    let threads = (0..callers).map(|at| {
      let (stop, targets) = (stop.clone(), targets.clone());
      thread::spawn(move || send_requests(at, &stop, &targets))
    });
    Self {
      threads: threads.collect(),
      stop,
      targets,
    }
  }

  fn targets_of(fleet: &Fleet) -> Vec<String> {
    let members = fleet.members.iter();
    members.map(|member| member.callers.clone()).collect()
  }

  /// Updates the targets, leaving one out as a load balancer does when its health check fails.
  fn retarget(&self, fleet: &Fleet, excluded: Option<usize>) {
    let mut targets = Self::targets_of(fleet);
    if let Some(excluded) = excluded {
      targets.remove(excluded);
    }
    *self.targets.lock().unwrap() = targets;
  }

  fn end(self) -> (usize, Vec<caller::Answer>) {
    self.stop.store(true, Ordering::Relaxed);
    let mut completed = 0;
    let mut others = Vec::new();
    for thread in self.threads {
      let (count, failed) = thread.join().unwrap();
      completed += count;
      others.extend(failed);
    }
    (completed, others)
  }
}

fn send_requests(
  caller: usize,
  stop: &AtomicBool,
  targets: &Mutex<Vec<String>>,
) -> (usize, Vec<caller::Answer>) {
  let mut completed = 0;
  let mut others = Vec::new();
  let mut at = caller;
  while !stop.load(Ordering::Relaxed) {
    at += 1;
    let target = {
      let targets = targets.lock().unwrap();
      targets[at % targets.len()].clone()
    };
    let prompt = format!("load {caller} {at}");
    let reply = Request::of("contracts", &prompt, 10).send(&target);
    if reply.matches(&answer(&prompt, 10)) {
      completed += 1;
    } else {
      others.push(reply);
    }
  }
  (completed, others)
}

/// Checks that each request that was not served was refused as `stopping` and not run.
fn assert_refused_by_stopping(others: &[caller::Answer]) {
  for reply in others {
    assert_eq!(
      (reply.reason.as_str(), reply.verdict.as_str()),
      ("stopping", "not-run"),
      "{reply:?}"
    );
  }
}

/// A fleet with two engines under the load of six callers.
fn loaded() -> (Fleet, Load) {
  let fleet = plan()
    .engines(2, |options| options.token = Duration::from_millis(10))
    .start()
    .unwrap();
  assert_served(&fleet, 0, "warm");
  let load = Load::start(&fleet, 6);
  (fleet, load)
}

#[test]
fn a_planned_stop_under_load_cuts_off_nothing() {
  let (mut fleet, load) = loaded();
  wait_for("requests to run", || {
    fleet.engines.iter().any(|engine| engine.runs().len() > 10)
  });
  fleet.members[0].signal("-TERM");
  wait_for("health to turn false", || {
    caller::get(&fleet.members[0].operators, "/health").status != 200
  });
  load.retarget(&fleet, Some(0));
  assert!(fleet.members[0].wait());
  let (completed, others) = load.end();
  assert!(completed > 10);
  assert_refused_by_stopping(&others);
}

#[test]
fn a_rolling_replacement_of_all_instances_cuts_off_nothing() {
  let (mut fleet, load) = loaded();
  for _ in 0..3 {
    fleet.add().unwrap();
    fleet.wait_until_ready();
    load.retarget(&fleet, Some(0));
    fleet.members[0].signal("-TERM");
    assert!(fleet.members[0].wait());
    let removed = fleet.members.remove(0);
    fleet
      .platform
      .machine(&removed.name, None, MachineState::Gone);
  }
  let (completed, others) = load.end();
  assert!(completed > 10);
  assert_refused_by_stopping(&others);
  assert_served(&fleet, 0, "after");
  assert_eq!(fleet.loads(), 1);
  assert_eq!(fleet.violations(), Vec::<String>::new());
}
