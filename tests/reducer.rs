//! The reducer under arbitrary histories: losses, doubles, pauses, restarts.

mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use world::{Weak, World};

/// Histories for each seed, and steps of one.
const HISTORIES: u64 = 500;
const STEPS: usize = 600;

fn faults(history: &[u16], weak: Option<Weak>) -> Vec<String> {
  let mut world = World::open(weak);
  for number in history {
    world.step(*number);
    if !world.faults.is_empty() {
      return world.faults;
    }
  }
  world.settle();
  if world.faults.is_empty() && world.held() != (0, 0) {
    let (decided, reserved) = world.held();
    world.faults.push(format!(
      "left over: {decided} decided, {reserved} reserved: {}",
      world.describe()
    ));
  }
  world.faults
}

fn hold(seed: u64) {
  fn property(history: Vec<u16>) -> bool {
    let faults = faults(&history, None);
    if !faults.is_empty() {
      eprintln!("{} steps: {:?}", history.len(), faults.first());
    }
    faults.is_empty()
  }
  QuickCheck::new()
    .rng(Gen::from_size_and_seed(STEPS, seed))
    .tests(HISTORIES)
    .min_tests_passed(HISTORIES)
    .quickcheck(property as fn(Vec<u16>) -> bool);
}

#[test]
fn promises_hold_in_histories_of_seed_1() {
  hold(1);
}

#[test]
fn promises_hold_in_histories_of_seed_2() {
  hold(2);
}

#[test]
fn promises_hold_in_histories_of_seed_3() {
  hold(3);
}

#[test]
fn a_quiet_history_answers_every_request() {
  let mut world = World::open(None);
  for number in [0x09, 0x19, 0x29, 0x0a, 0x1a] {
    world.step(number);
  }
  world.settle();
  assert_eq!(world.faults, Vec::<String>::new());
  assert_eq!(world.answers(), 5);
}

/// Whether some history shows that the mechanism is missed.
fn missed(weak: Weak) -> bool {
  let mut generator = Gen::from_size_and_seed(STEPS, 4);
  (0..HISTORIES).any(|_| {
    let history = Vec::<u16>::arbitrary(&mut generator);
    !faults(&history, Some(weak)).is_empty()
  })
}

#[test]
fn the_check_notices_memory_reserved_past_capacity() {
  assert!(missed(Weak::Memory));
}

#[test]
fn the_check_notices_replicas_past_the_limit() {
  assert!(missed(Weak::Limit));
}

#[test]
fn the_check_notices_memory_freed_too_early() {
  assert!(missed(Weak::InFlight));
}

#[test]
fn the_check_notices_forgotten_claims() {
  assert!(missed(Weak::Claims));
}
