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

/// Steps of a history; shrinks by leaving out stretches of it.
#[derive(Clone, Debug)]
struct History(Vec<u16>);

impl Arbitrary for History {
  fn arbitrary(generator: &mut Gen) -> Self {
    Self(Vec::arbitrary(generator))
  }

  fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
    let steps = self.0.clone();
    let length = steps.len();
    let sizes = [2, 4, 8, 16].map(|part| length / part);
    let sizes = sizes.into_iter().filter(|size| *size > 0);
    let cuts = sizes.flat_map(move |size| (0..length).step_by(size).map(move |at| (at, size)));
    Box::new(cuts.map(move |(at, size)| {
      let end = (at + size).min(steps.len());
      let kept = steps[..at].iter().chain(&steps[end..]);
      Self(kept.copied().collect())
    }))
  }
}

fn hold(seed: u64) {
  fn property(history: History) -> bool {
    let faults = faults(&history.0, None);
    if !faults.is_empty() {
      eprintln!("{} steps: {:?}", history.0.len(), faults.first());
    }
    faults.is_empty()
  }
  QuickCheck::new()
    .rng(Gen::from_size_and_seed(STEPS, seed))
    .tests(HISTORIES)
    .min_tests_passed(HISTORIES)
    .quickcheck(property as fn(History) -> bool);
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
fn a_load_order_that_outlives_its_sender_finds_its_memory_kept() {
  let mut world = World::unfenced(None);
  world.late_order();
  assert_eq!(world.faults, Vec::<String>::new());
}

#[test]
fn the_check_notices_memory_freed_too_early() {
  let mut world = World::unfenced(Some(Weak::InFlight));
  world.late_order();
  let noticed = |fault: &String| fault.contains("1 loaded, 0 decided");
  assert!(world.faults.iter().any(noticed), "{:?}", world.faults);
}

#[test]
fn the_check_notices_forgotten_claims() {
  assert!(missed(Weak::Claims));
}
