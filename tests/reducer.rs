//! Property tests of the reducer under random histories with losses, duplicates, pauses and
//! restarts.

mod world;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use world::{Defect, World};

/// Number of histories per seed, and of steps per history.
const HISTORIES: u64 = 500;
const STEPS: usize = 600;

fn violations(history: &[u16], defect: Option<Defect>) -> Vec<String> {
  let mut world = World::open(defect);
  for number in history {
    world.step(*number);
    if !world.violations.is_empty() {
      return world.violations;
    }
  }
  world.settle();
  if world.violations.is_empty() && world.outstanding() != (0, 0) {
    let (decided, reserved) = world.outstanding();
    world.violations.push(format!(
      "left over: {decided} decided, {reserved} reserved: {}",
      world.describe()
    ));
  }
  world.violations
}

/// Steps of a history. Shrinks by removing ranges of steps.
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
    let removals = sizes.flat_map(move |size| (0..length).step_by(size).map(move |at| (at, size)));
    Box::new(removals.map(move |(at, size)| {
      let end = (at + size).min(steps.len());
      let remaining = steps[..at].iter().chain(&steps[end..]);
      Self(remaining.copied().collect())
    }))
  }
}

fn check_histories(seed: u64) {
  fn property(history: History) -> bool {
    let violations = violations(&history.0, None);
    if !violations.is_empty() {
      eprintln!("{} steps: {:?}", history.0.len(), violations.first());
    }
    violations.is_empty()
  }
  QuickCheck::new()
    .rng(Gen::from_size_and_seed(STEPS, seed))
    .tests(HISTORIES)
    .min_tests_passed(HISTORIES)
    .quickcheck(property as fn(History) -> bool);
}

#[test]
fn promises_hold_in_histories_of_seed_1() {
  check_histories(1);
}

#[test]
fn promises_hold_in_histories_of_seed_2() {
  check_histories(2);
}

#[test]
fn promises_hold_in_histories_of_seed_3() {
  check_histories(3);
}

#[test]
fn a_quiet_history_answers_every_request() {
  let mut world = World::open(None);
  for number in [0x09, 0x19, 0x29, 0x0a, 0x1a] {
    world.step(number);
  }
  world.settle();
  assert_eq!(world.violations, Vec::<String>::new());
  assert_eq!(world.answered_count(), 5);
}

/// Whether at least one history reveals the injected defect.
fn detects(defect: Defect) -> bool {
  let mut generator = Gen::from_size_and_seed(STEPS, 4);
  (0..HISTORIES).any(|_| {
    let history = Vec::<u16>::arbitrary(&mut generator);
    !violations(&history, Some(defect)).is_empty()
  })
}

#[test]
fn the_check_notices_memory_reserved_past_capacity() {
  assert!(detects(Defect::Memory));
}

#[test]
fn the_check_notices_replicas_past_the_limit() {
  assert!(detects(Defect::Limit));
}

#[test]
fn a_load_order_that_outlives_its_sender_finds_its_memory_kept() {
  let mut world = World::unfenced(None);
  world.deliver_late_load();
  assert_eq!(world.violations, Vec::<String>::new());
}

#[test]
fn the_check_notices_memory_freed_too_early() {
  let mut world = World::unfenced(Some(Defect::InFlight));
  world.deliver_late_load();
  let detected = |violation: &String| violation.contains("1 loaded, 0 decided");
  assert!(
    world.violations.iter().any(detected),
    "{:?}",
    world.violations
  );
}

#[test]
fn the_check_notices_forgotten_claims() {
  assert!(detects(Defect::Claims));
}
