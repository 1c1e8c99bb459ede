//! Detection of parts of prompts that crash backend servers.

use bendsaddle::{
  content::{Key, shared_parts},
  crash::{
    part::{Crash, Registry},
    served::{Question, Served},
  },
  life::Life,
};
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::SmallRng};

const FIRST: Key = Key(1);
const DEADLY: Key = Key(2);
const OTHER: Key = Key(3);
/// Content of requests that are served.
const OWN: Key = Key(4);
/// Time by which instances have answered a question.
const ANSWERED_MS: u64 = 200;

fn crash(part: Key, position: u8, server: u64) -> Crash {
  Crash {
    part,
    position,
    server: Life::of(&server.to_string(), 1),
    took_ms: 50,
  }
}

/// Crashes of one run with these parts each, one every 200 ms.
fn crashes(registry: &mut Registry, from: u64, count: u64, parts: &[Key]) {
  for number in 0..count {
    let now = from + number * 200;
    let parts = parts.iter().zip(0u8..);
    let crashes: Vec<Crash> = parts
      .map(|(part, position)| crash(*part, position, now))
      .collect();
    registry.add(now, &crashes);
    registry.questions(now);
  }
}

fn blamed(registry: &mut Registry, now: u64) -> Vec<Key> {
  let found = registry.find_culprits(now);
  found.iter().map(|culprit| culprit.part).collect()
}

#[test]
fn a_part_in_three_crashes_is_blamed_and_the_first_part_is_not() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 2, &[FIRST, DEADLY]);
  assert_eq!(blamed(&mut registry, 1_000), []);
  crashes(&mut registry, 1_000, 1, &[FIRST, DEADLY]);
  assert_eq!(blamed(&mut registry, 1_000 + ANSWERED_MS), [DEADLY]);
  assert_eq!(blamed(&mut registry, 60_000), []);
}

/// A part that is served elsewhere was blamed for the crashes of another.
#[test]
fn a_part_that_was_served_since_its_first_crash_is_not_blamed() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 3, &[FIRST, DEADLY, OTHER]);
  registry.record_served(700, OTHER);
  assert_eq!(blamed(&mut registry, 1_000), [DEADLY]);
}

/// Repeated reports of crashes before a part was served counted as new crashes, one after the other.
#[test]
fn a_report_that_is_repeated_after_a_part_was_served_counts_no_more() {
  let mut registry = Registry::default();
  let reports: Vec<Crash> = (0..3).map(|server| crash(FIRST, 0, server)).collect();
  registry.add(0, &reports);
  registry.record_served(50, FIRST);
  for (now, report) in (100..).step_by(100).zip(&reports) {
    registry.add(now, &[*report]);
    registry.questions(now);
  }
  assert_eq!(blamed(&mut registry, 1_000), []);
  crashes(&mut registry, 1_000, 3, &[FIRST]);
  assert_eq!(blamed(&mut registry, 2_000), [FIRST], "new crashes count");
}

#[test]
fn a_part_that_was_blamed_is_released_when_it_is_served() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 3, &[FIRST, DEADLY]);
  assert_eq!(blamed(&mut registry, 1_000), [DEADLY]);
  registry.record_served(1_000, DEADLY);
  assert!(!registry.is_blamed(DEADLY));
}

/// Servers that end together, as at a power failure, were taken for one crash after the other.
#[test]
fn servers_that_end_at_the_same_time_count_once() {
  let mut registry = Registry::default();
  let together: Vec<Crash> = (0..9).map(|server| crash(DEADLY, 1, server)).collect();
  registry.add(1_000, &together);
  registry.questions(1_000);
  assert_eq!(blamed(&mut registry, 5_000), []);
}

#[test]
fn nothing_is_blamed_before_instances_could_answer() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 3, &[DEADLY]);
  let at = registry.analysis_at().expect("a part is suspected");
  assert_eq!(blamed(&mut registry, at - 1), []);
  assert_eq!(blamed(&mut registry, at), [DEADLY]);
}

/// The report of a sound request on the same server arrived first, and the first part of all prompts was blamed.
#[test]
fn the_first_part_is_not_blamed_before_all_reports_of_a_crash_have_arrived() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 2, &[FIRST, DEADLY]);
  registry.add(1_000, &[crash(FIRST, 0, 1_000)]);
  assert_eq!(blamed(&mut registry, 1_000), []);
  registry.add(1_010, &[crash(DEADLY, 1, 1_000)]);
  let at = registry.analysis_at().expect("both parts are suspected");
  assert_eq!(blamed(&mut registry, at + 50), [DEADLY]);
}

/// The first part stayed blamed although a late report showed another part in all of its crashes.
#[test]
fn a_part_in_all_crashes_of_a_first_part_that_was_blamed_replaces_it() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 2, &[FIRST, DEADLY]);
  registry.add(1_000, &[crash(FIRST, 0, 1_000)]);
  assert_eq!(blamed(&mut registry, 1_000 + ANSWERED_MS), [FIRST]);
  assert_eq!(registry.release_replaced(1_300), []);
  registry.add(1_300, &[crash(DEADLY, 1, 1_000)]);
  assert_eq!(registry.release_replaced(1_300 + ANSWERED_MS), [FIRST]);
  assert!(!registry.is_blamed(FIRST));
  assert_eq!(blamed(&mut registry, 1_300 + ANSWERED_MS), [DEADLY]);
  assert_eq!(blamed(&mut registry, 60_000), []);
  assert_eq!(registry.explained().len(), 3);
}

/// A part whose reports all arrived late was not asked about, and replaced nothing.
#[test]
fn a_part_is_asked_about_before_it_replaces_a_first_part() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 3, &[FIRST]);
  assert_eq!(blamed(&mut registry, 1_000), [FIRST]);
  for server in [0, 200, 400] {
    registry.add(1_000 + server, &[crash(DEADLY, 1, server)]);
  }
  assert_eq!(registry.release_replaced(1_500), []);
  let questions = registry.questions(1_500);
  assert!(questions.iter().any(|question| question.key == DEADLY));
  assert_eq!(registry.release_replaced(1_500 + ANSWERED_MS), [FIRST]);
}

/// A first part that crashes servers was released for a part that was beside it in some crashes.
#[test]
fn a_first_part_with_crashes_of_its_own_stays_blamed() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 3, &[FIRST]);
  assert_eq!(blamed(&mut registry, 1_000), [FIRST]);
  crashes(&mut registry, 1_000, 3, &[FIRST, OTHER]);
  assert_eq!(registry.release_replaced(5_000), []);
  assert!(registry.is_blamed(FIRST));
}

#[test]
fn an_instance_answers_for_what_it_served_after_the_first_crash() {
  let mut served = Served::default();
  served.record(1_000, OWN, &[FIRST, OTHER]);
  let question = |key, since_ms| Question { key, since_ms };
  assert!(served.ask(2_000, &[question(FIRST, 1_500), question(OTHER, 900)]));
  assert_eq!(served.take_answers(), [FIRST]);
  assert!(served.record(3_000, OWN, &[OTHER]));
  assert_eq!(served.take_answers(), [OTHER]);
  assert!(
    !served.record(3_100, OWN, &[OTHER, FIRST]),
    "each answer is given once"
  );
}

#[test]
fn the_last_part_of_a_prompt_is_its_own() {
  let keys = shared_parts(Some("AB:10, cd:5,ef:1"));
  assert_eq!(keys, shared_parts(Some("ab:3,CD:1,00:9")));
  assert_eq!(keys.len(), 2);
  for text in ["", "ab:1", ":,:", ","] {
    assert!(shared_parts(Some(text)).is_empty(), "{text}");
  }
  assert!(shared_parts(None).is_empty());
  assert_eq!(shared_parts(Some(&"a:1,".repeat(1_000))).len(), 16);
}

quickcheck! {
  /// Whatever runs beside a part that crashes servers, that part alone is blamed, within a few crashes.
  fn only_the_part_that_crashes_servers_is_blamed(seed: u64) -> bool {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut registry = Registry::default();
    let mut served = Served::default();
    let mut found = Vec::new();
    let (mut crashed, mut deadly_sends) = (0, 0);
    for round in 0..40u64 {
      let now = 1_000 + round * 100;
      // Sound requests that are served elsewhere.
      for _ in 0..rng.random_range(1..6) {
        served.record(now, OWN, &[FIRST, Key(rng.random_range(10..30))]);
      }
      if round % 2 == 0 && found.is_empty() {
        crashed += 1;
        deadly_sends += 1;
        let mut runs = vec![vec![FIRST, Key(rng.random_range(10..30)), DEADLY]];
        for _ in 0..rng.random_range(0..20) {
          runs.push(vec![FIRST, Key(rng.random_range(10..30))]);
        }
        let parts = runs.iter().flat_map(|parts| parts.iter().copied().zip(0u8..));
        let all: Vec<Crash> = parts.map(|(part, position)| crash(part, position, crashed)).collect();
        registry.add(now, &all);
      }
      let questions = registry.questions(now);
      served.ask(now, &questions);
      for part in served.take_answers() {
        registry.record_served(now, part);
      }
      found.extend(blamed(&mut registry, now));
    }
    found == [DEADLY] && deadly_sends <= 5
  }
}

/// An analyzer that learned of the part from another instance kept the contents of its crashes blamed.
#[test]
fn crashes_of_a_part_that_another_instance_blamed_are_explained() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 2, &[FIRST, DEADLY]);
  registry.blame(DEADLY);
  assert!(registry.take_explained_changed());
  assert_eq!(registry.explained().len(), 2);
  assert!(!registry.take_explained_changed());
  crashes(&mut registry, 500, 1, &[DEADLY]);
  assert!(registry.take_explained_changed());
  assert_eq!(registry.explained().len(), 3);
}

/// A lost answer left a part that is served blamed for as long as the quarantine lasts.
#[test]
fn instances_are_asked_about_a_part_for_some_time_after_it_was_blamed() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 3, &[FIRST, DEADLY]);
  assert_eq!(blamed(&mut registry, 1_000), [DEADLY]);
  let asked = |registry: &mut Registry, now| {
    let questions = registry.questions(now);
    questions.iter().any(|question| question.key == DEADLY)
  };
  assert!(asked(&mut registry, 2_000));
  assert!(asked(&mut registry, 5_000));
  assert!(!asked(&mut registry, 20_000), "nobody has served it");
}

/// Crashes that a part explained counted against no content once that part was served.
#[test]
fn crashes_of_a_part_that_is_served_are_explained_no_more() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 3, &[FIRST, DEADLY, OTHER]);
  assert_eq!(blamed(&mut registry, 1_000), [OTHER]);
  assert_eq!(registry.explained().len(), 3);
  assert_eq!(registry.record_served(1_100, OTHER).len(), 3);
  assert!(registry.explained().is_empty());
  assert_eq!(
    blamed(&mut registry, 2_000),
    [],
    "contents are blamed for them"
  );
  assert!(registry.release(OTHER).is_empty(), "released before");
}

#[test]
fn crashes_that_another_part_explains_stay_explained() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 3, &[FIRST, DEADLY, OTHER]);
  registry.blame(OTHER);
  registry.blame(DEADLY);
  assert!(registry.release(OTHER).is_empty());
  assert_eq!(registry.explained().len(), 3);
  // They are explained again by a part that is blamed later.
  assert_eq!(registry.release(DEADLY).len(), 3);
  registry.take_explained_changed();
  registry.blame(DEADLY);
  assert!(registry.take_explained_changed());
  assert_eq!(registry.explained().len(), 3);
}

/// Parts beside a request that crashes servers were blamed, and all requests with them refused, while that request
/// was sent on.
#[test]
fn a_part_is_not_blamed_while_a_content_was_in_all_of_its_crashes() {
  let mut registry = Registry::default();
  crashes(&mut registry, 0, 3, &[FIRST, OTHER]);
  let server = |number: u64| Life::of(&number.to_string(), 1);
  registry.set_contents(vec![[0, 200, 400].map(server).into()]);
  assert_eq!(
    registry.analysis_at(),
    None,
    "nothing is due in the meantime"
  );
  assert_eq!(blamed(&mut registry, 1_000), []);
  // One more crash, without that content.
  crashes(&mut registry, 1_000, 1, &[FIRST, OTHER]);
  assert_eq!(blamed(&mut registry, 1_000 + ANSWERED_MS), [OTHER]);
}
