//! Plans of faults are determined by their seed.

use quickcheck::quickcheck;
use soak::plan::{Fault, Server, Size, Step, end_ms, generate};
use std::hash::Hasher;

quickcheck! {
  fn a_seed_fixes_its_plan(seed: u64) -> bool {
    generate(seed, &Size::default()) == generate(seed, &Size::default())
  }

  fn faults_come_in_order_and_within_the_run(seed: u64) -> bool {
    let size = Size::default();
    let steps = generate(seed, &size);
    steps.windows(2).all(|pair| pair[0].at <= pair[1].at)
      && steps.iter().all(|step| step.at < end_ms(seed, &size))
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

/// Guards against plans of earlier seeds that change, and against releases that leave a server of the
/// old version or an instance that is not killed.
#[test]
fn seeds_from_170_000_on_have_releases_before_all_instances_are_killed() {
  let size = Size::default();
  for seed in (0..170_000).step_by(997) {
    assert_eq!(end_ms(seed, &size), size.faults_ms, "{seed}");
  }
  let (mut at_once, mut in_turn) = (0, 0);
  for number in 0..40 {
    let (seed, version) = match number % 2 {
      0 => (170_002 + number * 8, 2),
      _ => (170_002 + number * 8, 1),
    };
    let plan = generate(seed, &size);
    let (releases, kills): (Vec<&Step>, Vec<&Step>) = plan
      .iter()
      .partition(|step| matches!(step.fault, Fault::Server(..)));
    let mut servers: Vec<usize> = releases.iter().map(|step| server(step, version)).collect();
    servers.sort_unstable();
    assert!(servers.into_iter().eq(0..size.servers * 2), "{seed}");
    let left_at = releases.iter().map(|step| step.at + step.duration_ms).max();
    let after_ms = kills[0].at - left_at.expect("no server left");
    assert!((200..20_000).contains(&after_ms), "{seed}: {after_ms}");
    let killed: Vec<Fault> = kills.iter().map(|step| step.fault).collect();
    let each: Vec<Fault> = (0..size.instances).map(Fault::Kill).collect();
    match killed == [Fault::KillAll] {
      true => at_once += 1,
      false => in_turn += 1,
    }
    assert!(
      killed == [Fault::KillAll] || killed == each,
      "{seed}: {killed:?}"
    );
  }
  assert!(at_once > 0 && in_turn > 0);
}

/// The server that a step replaces by one of this version.
fn server(step: &Step, version: u32) -> usize {
  match step.fault {
    Fault::Server(number, Server::Renew(to, 0)) if to == version => number,
    other => panic!("no change to v{version}: {other:?}"),
  }
}

/// Hash of the plans of the seeds below 190,000 that this test draws.
const EARLIER_PLANS: u64 = 5_956_007_777_274_789_732;

/// Guards against plans of earlier seeds that change, and against faults that no plan has.
#[test]
fn seeds_from_190_000_on_have_servers_that_send_what_is_no_response() {
  let odd = |step: &Step| {
    matches!(
      step.fault,
      Fault::Server(_, Server::Malformed | Server::Early | Server::Unframed)
    )
  };
  let size = Size::default();
  let mut hasher = std::hash::DefaultHasher::new();
  for seed in (0..190_000).step_by(97) {
    let plan = generate(seed, &size);
    assert!(!plan.iter().any(odd), "{seed}");
    hasher.write(format!("{plan:?}").as_bytes());
  }
  assert_eq!(hasher.finish(), EARLIER_PLANS);
  for fault in [Server::Malformed, Server::Early, Server::Unframed] {
    let has = |step: &Step| matches!(step.fault, Fault::Server(_, found) if found == fault);
    let plans = (0..8).map(|number| generate(190_001 + number * 2, &size));
    assert!(plans.flatten().any(|step| has(&step)), "{fault:?}");
  }
  let isolated = generate(190_001, &size);
  let others = |step: &Step| matches!(step.fault, Fault::Burst | Fault::Kill(_) | Fault::Stop(_));
  assert!(isolated.iter().all(|step| odd(step) || others(step)));
  let mixed = generate(190_003, &size);
  assert!(mixed.iter().any(|step| !odd(step) && !others(step)));
}
