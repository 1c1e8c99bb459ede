//! Completions that have begun for the caller: they go on as long as a server can continue them.

use bendsaddle::{fact::MachineState, report::Stage};
use serde_json::json;
use stand_ins::{
  caller::{Answer, Request},
  engine::answer,
  fleet::{Fleet, Plan, wait_for},
};
use std::{
  thread::{self, JoinHandle},
  time::Duration,
};

const TOKENS: usize = 120;
const TOKEN: Duration = Duration::from_millis(20);
/// Time limit for the first token, short and long.
const SHORT: Duration = Duration::from_millis(1_500);
const LONG: Duration = Duration::from_secs(20);
/// Tokens before the break, which comes after the time limit.
const BEFORE_BREAK: usize = 100;
/// A run is given up when its engine sends nothing for this long.
const STALL_MS: u64 = 1_000;
/// A pause that exceeds it, and the second for which an engine is skipped after a failure.
const PAUSE: Duration = Duration::from_millis(2_500);

/// Starts an instance and an engine whose next stream breaks after `BEFORE_BREAK` tokens.
fn fleet() -> Fleet {
  let fleet = Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .policy("all", json!({ "keepAlive": { "fixed": 60_000 } }))
    .limits(json!({ "listMs": 100, "tokenStallMs": STALL_MS }))
    .model("contracts", 200)
    .engines(1, |options| options.token = TOKEN)
    .instances(1)
    .start()
    .unwrap();
  let reply = Request::of("contracts", "first", 1).send(fleet.callers(0));
  assert!(reply.matches(&answer("first", 1)), "{reply:?}");
  fleet
}

/// Sends a request and waits until it runs.
fn begin(fleet: &Fleet, prompt: &'static str, limit: Duration) -> JoinHandle<Answer> {
  let address = fleet.callers(0).to_string();
  let request = Request::of("contracts", prompt, TOKENS as u32).with_deadline(limit);
  let before = fleet.engines[0].runs().len();
  let caller = thread::spawn(move || request.send(&address));
  wait_for("the stream to run", || {
    fleet.engines[0].runs().len() > before
  });
  caller
}

fn assert_whole(caller: JoinHandle<Answer>, prompt: &str) {
  let reply = caller.join().unwrap();
  assert!(reply.matches(&answer(prompt, TOKENS)), "{reply:?}");
}

// It was refused as too late, though the time limit is one for the first token.
#[test]
fn a_completion_that_breaks_off_after_its_time_limit_is_continued() {
  let fleet = fleet();
  fleet.engines[0].fault(|faults| faults.break_after = vec![BEFORE_BREAK]);
  assert_whole(begin(&fleet, "late", SHORT), "late");
}

// Guards against a stop that ends what could go on.
#[test]
fn a_completion_that_breaks_off_during_a_stop_is_continued() {
  let mut fleet = fleet();
  fleet.engines[0].fault(|faults| faults.break_after = vec![5]);
  let caller = begin(&fleet, "stopped", LONG);
  fleet.members[0].signal("-TERM");
  assert_whole(caller, "stopped");
  assert!(fleet.members[0].wait());
}

// Guards against an end for a pause that the engine goes on after.
#[test]
fn a_completion_whose_only_engine_pauses_is_continued() {
  let fleet = fleet();
  let caller = begin(&fleet, "paused", LONG);
  thread::sleep(TOKEN * 5);
  fleet.proxies[0].pause(false, true);
  thread::sleep(PAUSE);
  fleet.proxies[0].pause(false, false);
  assert_whole(caller, "paused");
}

// Guards against a drain that ends what its server still runs.
#[test]
fn a_completion_outlives_the_drain_of_its_server() {
  let fleet = fleet();
  let caller = begin(&fleet, "drained", LONG);
  let server = fleet.engines[0].name().to_string();
  let leaving = MachineState::Leaving;
  fleet.platform.machine(&server, None, leaving);
  wait_for("the replica to be unloaded", || {
    let stages = fleet.engines[0].residents();
    stages.iter().all(|(_, stage)| *stage != Stage::Ready)
  });
  assert_eq!(
    fleet.engines[0].busy(),
    1,
    "the completion has ended before"
  );
  assert_whole(caller, "drained");
  assert_eq!(fleet.engines[0].runs().len(), 2);
}
