//! Plans of faults are determined by their seed.

use quickcheck::quickcheck;
use soak::plan::{Fault, Server, Size, Step, generate};

quickcheck! {
  fn a_seed_fixes_its_plan(seed: u64) -> bool {
    generate(seed, &Size::default()) == generate(seed, &Size::default())
  }

  fn faults_come_in_order_and_within_the_run(seed: u64) -> bool {
    let size = Size::default();
    let steps = generate(seed, &size);
    steps.windows(2).all(|pair| pair[0].at <= pair[1].at)
      && steps.iter().all(|step| step.at < size.faults_ms)
      && !steps.is_empty()
  }
}

#[test]
fn seeds_differ() {
  let size = Size::default();
  assert_ne!(generate(1, &size), generate(2, &size));
}

/// Guards against seeds that failed once and no longer play what they found.
#[test]
fn earlier_seeds_have_one_software_version() {
  let changes_version = |step: &Step| {
    let Fault::Server(_, fault) = step.fault else {
      return false;
    };
    matches!(
      fault,
      Server::RestartAt(_) | Server::Renew(..) | Server::Roll(_)
    )
  };
  let size = Size::default();
  for seed in (0..80_000).step_by(997) {
    assert!(!generate(seed, &size).iter().any(changes_version), "{seed}");
  }
  for seed in [80_002, 80_003, 123_458] {
    assert!(generate(seed, &size).iter().any(changes_version), "{seed}");
  }
}

/// Guards against plans of earlier seeds that change, and against pauses that no plan has.
#[test]
fn seeds_from_90_000_on_have_servers_that_pause_in_streams() {
  let pauses = |step: &Step| matches!(step.fault, Fault::Server(_, Server::PausesStreams));
  let size = Size::default();
  for seed in (0..90_000).step_by(997) {
    assert!(!generate(seed, &size).iter().any(pauses), "{seed}");
  }
  for seed in [90_003, 90_007, 123_459] {
    assert!(generate(seed, &size).iter().any(pauses), "{seed}");
  }
  let isolated = generate(90_003, &size);
  let stops = |step: &Step| matches!(step.fault, Fault::Stop(_));
  assert!(isolated.iter().all(|step| pauses(step) || stops(step)));
  let mixed = generate(90_007, &size);
  assert!(mixed.iter().any(|step| !pauses(step) && !stops(step)));
}

/// Guards against plans of earlier seeds that change, and against faults that no plan has.
#[test]
fn seeds_from_100_000_on_have_brittle_servers_and_parts_that_crash_servers() {
  let brittle = |step: &Step| matches!(step.fault, Fault::Brittle(..));
  let deadly = |step: &Step| matches!(step.fault, Fault::DeadlyPart(_));
  let size = Size::default();
  for seed in (0..100_000).step_by(997) {
    let plan = generate(seed, &size);
    assert!(
      !plan.iter().any(|step| brittle(step) || deadly(step)),
      "{seed}"
    );
  }
  // Remainders seven and eleven modulo sixteen.
  assert!(generate(100_007, &size).iter().any(brittle));
  assert!(generate(100_011, &size).iter().any(deadly));
  let mixed = (0..20).map(|number| generate(100_015 + number * 16, &size));
  let mixed: Vec<Vec<Step>> = mixed.collect();
  assert!(mixed.iter().any(|plan| plan.iter().any(brittle)));
  assert!(mixed.iter().any(|plan| plan.iter().any(deadly)));
}
