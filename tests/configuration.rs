//! Accepted configuration takes effect on every instance and is never reverted.

use bendsaddle::object::Kind;
use serde_json::{Value, json};
use stand_ins::{
  fleet::{Fleet, Member, Plan, wait_for},
  proxy::Fault,
};
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_bendsaddle");

fn plan() -> Plan {
  Plan::default()
    .program(PROGRAM)
    .limits(json!({ "listMs": 100 }))
    .engines(1, |_| {})
    .model("contracts", 200)
}

fn policy(precedence: i32) -> Value {
  json!({ "keepAlive": { "fixed": 60_000 }, "precedence": precedence })
}

/// Version of an object in force at an instance; 0 if there is none.
fn version(member: &Member, object: &str) -> u64 {
  let list = member.configured();
  let found = list.iter().find(|entry| entry["object"] == object);
  found
    .and_then(|entry| entry["version"].as_u64())
    .unwrap_or_default()
}

fn wait_until_in_force(fleet: &Fleet, object: &str, expected: u64) {
  wait_for("the object to be in force everywhere", || {
    fleet
      .members
      .iter()
      .all(|member| version(member, object) == expected)
  });
}

#[test]
fn a_change_is_in_force_at_every_instance() {
  let fleet = plan().instances(5).start().unwrap();
  for precedence in 0..5 {
    let written = fleet.platform.put(Kind::Policy, "all", policy(precedence));
    wait_until_in_force(&fleet, "policy/all", written);
  }
}

#[test]
fn a_stale_platform_does_not_revert_it() {
  let mut fleet = plan().start().unwrap();
  let old = fleet.platform.put(Kind::Policy, "all", policy(1));
  wait_until_in_force(&fleet, "policy/all", old);
  fleet.platform.fault(|faults| faults.stale = true);
  // The write bypasses the copy that readers see; instances that have seen it keep it.
  fleet.platform.fault(|faults| faults.stale = false);
  let new = fleet.platform.put(Kind::Policy, "all", policy(2));
  wait_until_in_force(&fleet, "policy/all", new);
  fleet.platform.fault(|faults| faults.stale = true);
  let newer = fleet.platform.put(Kind::Policy, "all", policy(3));
  fleet.add().unwrap();
  fleet.wait_until_ready();
  wait_until_in_force(&fleet, "policy/all", new);
  fleet.platform.fault(|faults| faults.stale = false);
  wait_until_in_force(&fleet, "policy/all", newer);
}

#[test]
fn an_instance_that_starts_in_an_outage_learns_the_newest_from_its_peers() {
  let mut fleet = plan().start().unwrap();
  let written = fleet.platform.put(Kind::Policy, "all", policy(7));
  wait_until_in_force(&fleet, "policy/all", written);
  fleet.platform_proxy.fault(Fault::Refuse);
  fleet.add().unwrap();
  fleet.wait_until_ready();
  wait_until_in_force(&fleet, "policy/all", written);
}

#[test]
fn an_invalid_object_leaves_the_last_good_in_force_and_is_shown() {
  let mut fleet = plan().start().unwrap();
  let good = fleet.platform.put(Kind::Policy, "all", policy(1));
  wait_until_in_force(&fleet, "policy/all", good);
  let bad = fleet
    .platform
    .put(Kind::Policy, "all", json!({ "maxReplicas": 0 }));
  let is_shown = |member: &Member| {
    let rejected = member.status()["rejected"].clone();
    let list = rejected.as_array().cloned().unwrap_or_default();
    list.iter().any(|entry| {
      let why = entry["why"].as_str().unwrap_or_default();
      entry["object"] == "policy/all" && entry["version"] == bad && why.contains("maxReplicas: `0`")
    })
  };
  wait_for("the rejection to be shown", || {
    fleet.members.iter().all(is_shown)
  });
  wait_until_in_force(&fleet, "policy/all", good);
  fleet.add().unwrap();
  fleet.wait_until_ready();
  wait_until_in_force(&fleet, "policy/all", good);
  let corrected = fleet.platform.put(Kind::Policy, "all", policy(2));
  wait_until_in_force(&fleet, "policy/all", corrected);
}

#[test]
fn a_deleted_object_stays_deleted() {
  let fleet = plan().policy("all", policy(1)).start().unwrap();
  wait_for("the policy", || {
    fleet
      .members
      .iter()
      .all(|member| version(member, "policy/all") > 0)
  });
  let read = run_program(&fleet, &["get", "policy"]);
  assert!(read.contains("policy/all"), "{read}");
  fleet.platform.delete(Kind::Policy, "all");
  wait_until_in_force(&fleet, "policy/all", 0);
}

fn run_program(fleet: &Fleet, args: &[&str]) -> String {
  let platform = fleet.platform_proxy.address.to_string();
  let output = Command::new(PROGRAM)
    .args(args)
    .args(["--platform", &platform])
    .output()
    .unwrap();
  let text = [output.stdout, output.stderr].concat();
  String::from_utf8_lossy(&text).into_owned()
}

fn write_objects(name: &str, objects: &[(&str, Value)]) -> std::path::PathBuf {
  let folder = std::env::temp_dir().join(format!("bendsaddle-{}-{name}", std::process::id()));
  std::fs::create_dir_all(&folder).unwrap();
  for (file, value) in objects {
    let text = format!("// kept in version control\n{value}");
    std::fs::write(folder.join(file), text).unwrap();
  }
  folder
}

#[test]
fn apply_writes_what_is_valid_and_reports_a_racing_edit() {
  let fleet = plan().start().unwrap();
  let object = |spec| json!({ "kind": "policy", "name": "all", "spec": spec });
  let folder = write_objects("race", &[("all.jsonc", object(policy(1)))]);
  let path = folder.to_str().unwrap();
  let first = run_program(&fleet, &["apply", path]);
  assert!(first.contains("policy/all: written as version"), "{first}");
  let again = run_program(&fleet, &["apply", path]);
  assert!(again.contains("policy/all: unchanged"), "{again}");
  std::fs::write(folder.join("all.jsonc"), object(policy(2)).to_string()).unwrap();
  // Another operator's edit is written between the read and the write of this command.
  fleet.platform.race(Kind::Policy, "all", policy(9));
  let raced = run_program(&fleet, &["apply", path]);
  assert!(raced.contains("another edit came first"), "{raced}");
  assert_eq!(fleet.platform.get(Kind::Policy, "all"), Some(policy(9)));
  fleet.platform.fault(|faults| faults.lose_answers = 1);
  let lost = run_program(&fleet, &["apply", path]);
  assert!(lost.contains("policy/all: written as version"), "{lost}");
  assert_eq!(fleet.platform.get(Kind::Policy, "all"), Some(policy(2)));
  std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn apply_reads_again_what_was_not_answered() {
  let fleet = plan().start().unwrap();
  let object = json!({ "kind": "policy", "name": "all", "spec": policy(1) });
  let folder = write_objects("unanswered", &[("all.jsonc", object)]);
  let path = folder.to_str().unwrap();
  let lose = (Kind::Policy, "all".to_string(), 2);
  fleet
    .platform
    .fault(|faults| faults.lose_reads = Some(lose));
  let output = run_program(&fleet, &["apply", path]);
  assert!(
    output.contains("policy/all: written as version"),
    "{output}"
  );
  assert_eq!(fleet.platform.get(Kind::Policy, "all"), Some(policy(1)));
  std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn apply_writes_nothing_when_one_file_is_invalid() {
  let fleet = plan().start().unwrap();
  let good = json!({ "kind": "policy", "name": "good", "spec": policy(1) });
  let bad = json!({ "kind": "policy", "name": "bad", "spec": { "keepalive": 1 } });
  let folder = write_objects("invalid", &[("a.jsonc", good), ("b.jsonc", bad)]);
  let output = run_program(&fleet, &["apply", folder.to_str().unwrap()]);
  assert!(output.contains("unknown field `keepalive`"), "{output}");
  assert_eq!(fleet.platform.get(Kind::Policy, "good"), None);
  let check = Command::new(PROGRAM)
    .arg("check")
    .args([folder.join("a.jsonc"), folder.join("b.jsonc")])
    .output()
    .unwrap();
  assert!(!check.status.success());
  let output = String::from_utf8_lossy(&check.stderr).into_owned();
  assert!(
    output.contains("b.jsonc") && !output.contains("a.jsonc"),
    "{output}"
  );
  std::fs::remove_dir_all(folder).unwrap();
}
