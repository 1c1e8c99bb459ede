//! Recovery times for docs/FAULTS.md: injects each fault several times and measures
//! the time until the system has recovered.

use crate::{
  caller::{self, Request},
  fleet::{Fleet, Plan},
  proxy::Fault,
};
use bendsaddle::{compare::quantile, fact::MachineState, object::Kind};
use serde_json::json;
use std::{
  io,
  path::Path,
  thread,
  time::{Duration, Instant},
};

/// Number of injections of each fault.
const ROUNDS: usize = 5;
const TIMEOUT: Duration = Duration::from_secs(30);

fn plan(program: &Path) -> Plan {
  Plan::default()
    .program(program)
    .instances(5)
    .policy("all", json!({ "keepAlive": { "fixed": 600_000 } }))
    .engines(2, |_| {})
    .model("model", 200)
}

fn send_request(fleet: &Fleet, at: usize) -> bool {
  Request::of("model", "prompt", 2)
    .send(fleet.callers(at))
    .is_complete
}

/// Time in seconds until a condition holds, at most about `TIMEOUT`.
fn until(condition: impl Fn() -> bool) -> f64 {
  let start = Instant::now();
  while !condition() && start.elapsed() < TIMEOUT {
    thread::sleep(Duration::from_millis(5));
  }
  start.elapsed().as_secs_f64()
}

fn busy(fleet: &Fleet) -> Option<usize> {
  let busy = |at: &usize| fleet.members[*at].status()["jobs"].as_u64() > Some(0);
  (0..fleet.members.len()).find(busy)
}

/// Kills the instance that decides on the load while the model loads and requests wait
/// at the others.
fn decider_dies(fleet: &mut Fleet) -> f64 {
  let addresses: Vec<String> = fleet.members.iter().map(|m| m.callers.clone()).collect();
  let send = |address: &String| {
    let address = address.clone();
    thread::spawn(move || Request::of("model", "prompt", 2).send(&address))
  };
  let threads: Vec<_> = addresses.iter().map(send).collect();
  until(|| fleet.loads() > 0);
  let start = Instant::now();
  if let Some(at) = busy(fleet) {
    fleet.kill(at);
  }
  for thread in threads {
    drop(thread.join());
  }
  start.elapsed().as_secs_f64()
}

/// Kills an instance. Measures the time until no other instance lists it as alive.
fn instance_dies(fleet: &mut Fleet) -> f64 {
  let name = fleet.members[0].name.clone();
  fleet.kill(0);
  until(|| {
    fleet.members.iter().all(|member| {
      let members = member.status()["members"]
        .as_array()
        .cloned()
        .unwrap_or_default();
      let found = members
        .iter()
        .find(|other| other["instance"] == name.as_str());
      found.is_none_or(|other| other["health"] != "Alive")
    })
  })
}

/// Restarts the engines with empty memory. Measures the time until the model answers.
fn engine_restarts(fleet: &mut Fleet) -> f64 {
  send_request(fleet, 0);
  for engine in &fleet.engines {
    engine.restart();
  }
  let start = Instant::now();
  send_request(fleet, 1);
  start.elapsed().as_secs_f64()
}

/// Lists a server as leaving. Measures the time until every instance reports it as
/// leaving and sends it no new requests.
fn server_leaves(fleet: &mut Fleet) -> f64 {
  send_request(fleet, 0);
  let record = fleet.platform.record("model");
  let Some(replica) = record.replicas.first() else {
    return f64::NAN;
  };
  let name = replica.server.clone();
  fleet.platform.machine(&name, None, MachineState::Leaving);
  until(|| {
    fleet.members.iter().all(|member| {
      let leaving = member.status()["leaving"]
        .as_array()
        .cloned()
        .unwrap_or_default();
      leaving.iter().any(|server| *server == name.as_str())
    })
  })
}

/// Changes an object. Measures the time until it is in force at every instance.
fn configuration_changes(fleet: &mut Fleet) -> f64 {
  let version = fleet
    .platform
    .put(Kind::Policy, "all", json!({ "precedence": 1 }));
  until(|| {
    fleet.members.iter().all(|member| {
      let configured = member.configured();
      configured
        .iter()
        .any(|entry| entry["version"].as_u64() >= Some(version))
    })
  })
}

/// Ends a platform outage during which a request waits for a load. Measures the time
/// until the request is answered.
fn platform_returns(fleet: &mut Fleet) -> f64 {
  fleet.platform_proxy.fault(Fault::Refuse);
  let address = fleet.callers(0).to_string();
  let request = thread::spawn(move || Request::of("model", "prompt", 2).send(&address));
  thread::sleep(Duration::from_secs(3));
  fleet.platform_proxy.fault(Fault::None);
  let start = Instant::now();
  drop(request.join());
  start.elapsed().as_secs_f64()
}

/// Kills an instance that owns a claim. Measures the time until a retry gets a
/// definite answer.
fn claimant_dies(fleet: &mut Fleet) -> f64 {
  let address = fleet.callers(0).to_string();
  let call = thread::spawn(move || caller::call(&address, "/services/portal/x", Some("k"), "deck"));
  until(|| {
    fleet
      .services
      .iter()
      .any(|service| service.runs("deck") > 0)
  });
  fleet.kill(0);
  let start = Instant::now();
  let reply = caller::call(fleet.callers(0), "/services/portal/x", Some("k"), "deck");
  drop(call.join());
  if reply.verdict == "may-have-run" {
    start.elapsed().as_secs_f64()
  } else {
    f64::NAN
  }
}

/// Injects every fault and prints a table of the recovery times.
pub fn run(program: &Path) -> io::Result<()> {
  type Case = (&'static str, fn(&mut Fleet) -> f64);
  let cases: [Case; 7] = [
    ("deciding instance dies mid-load", decider_dies),
    ("instance dies", instance_dies),
    ("engine restarts empty", engine_restarts),
    ("server listed as leaving", server_leaves),
    ("configuration changes", configuration_changes),
    ("platform returns after 3 s", platform_returns),
    ("claimant dies mid-call", claimant_dies),
  ];
  println!("| fault | median s | worst s | rounds |\n|---|---|---|---|");
  for (name, cause) in cases {
    let mut times = Vec::new();
    for _ in 0..ROUNDS {
      let mut fleet = plan(program)
        .services(1, Duration::from_millis(500))
        .start()?;
      times.push(cause(&mut fleet));
    }
    let (median, worst) = (quantile(&times, 0.5), quantile(&times, 1.0));
    println!("| {name} | {median:.3} | {worst:.3} | {ROUNDS} |");
  }
  Ok(())
}
