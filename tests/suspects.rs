//! Attribution of crashes to requests, replayed from observations of instances on two days on
//! which a request crashed servers.
//!
//! On both days all requests of a crashed server were retried on the same next server, so the
//! culprit and its companions took part in the same three crashes. An analyzer that knew only a
//! part of the third crash blamed a companion, and the culprit remained free to crash six and
//! eight servers in total.

use bendsaddle::{
  content,
  crash::{Admission, Crash, Filter, Quarantined, Registry, Suspected},
  life::Life,
};
use std::collections::BTreeSet;

/// Time after the third crash by which the culprit must be blamed, ms. The request may reach
/// servers three more times after that.
const BLAME_DEADLINE_MS: u64 = 3_000;
/// Delay of a report to another instance, ms.
const TRANSIT_MS: u64 = 5;

/// A crash of a server during a run, as observed by an instance.
struct Observation {
  at: u64,
  instance: u64,
  crash: Crash,
}

fn parse_observation(line: &str) -> Observation {
  let fields: Vec<u64> = line
    .split(' ')
    .map(|field| field.parse().unwrap())
    .collect();
  let [at, instance, content, server, run, progress] = fields[..] else {
    panic!("{line}");
  };
  Observation {
    at,
    instance,
    crash: Crash {
      content: content::Key(content.into()),
      server: Life::of(&server.to_string(), 1),
      run: run as u32,
      progress_ms: progress as u32,
    },
  }
}

fn history(text: &str) -> Vec<Observation> {
  let lines = text.lines().filter(|line| !line.starts_with('#'));
  lines.map(parse_observation).collect()
}

/// Time of the third server crash that involves a content, ms.
fn third_crash_ms(history: &[Observation], content: u128) -> u64 {
  let mut servers = BTreeSet::new();
  let crashes = history.iter();
  let mut mine = crashes.filter(|observation| observation.crash.content.0 == content);
  let third =
    mine.find(|observation| servers.insert(observation.crash.server) && servers.len() == 3);
  third.expect("three crashes").at
}

/// Crashes received by the analyzing instance with their times of arrival in ms, in that order.
fn received(history: &[Observation], analyzer: u64) -> Vec<(u64, Crash)> {
  let transit = |observation: &Observation| {
    if observation.instance == analyzer {
      0
    } else {
      TRANSIT_MS
    }
  };
  let reports = history
    .iter()
    .map(|observation| (observation.at + transit(observation), observation.crash));
  let mut received: Vec<(u64, Crash)> = reports.collect();
  received.sort_by_key(|(at, _)| *at);
  received
}

/// Contents that an instance blames while the request can still be sent.
fn blamed(history: &[Observation], analyzer: u64, culprit: u128) -> BTreeSet<u128> {
  let last = third_crash_ms(history, culprit) + BLAME_DEADLINE_MS;
  let mut registry = Registry::default();
  let mut blamed = BTreeSet::new();
  let received = received(history, analyzer);
  let mut reports = received.iter().peekable();
  for now in 0..last {
    while let Some((_, crash)) = reports.next_if(|(at, _)| *at <= now) {
      registry.add(now, &[*crash]);
    }
    if registry.analysis_at(now, || true).is_none_or(|at| now < at) {
      continue;
    }
    let culprits = registry.find_culprits(now);
    blamed.extend(culprits.iter().map(|quarantined| quarantined.content.0));
  }
  blamed
}

fn only_the_culprit_is_blamed(history: &str, culprit: u128) {
  let history = self::history(history);
  let instances: BTreeSet<u64> = history
    .iter()
    .map(|observation| observation.instance)
    .collect();
  for analyzer in instances {
    let blamed = blamed(&history, analyzer, culprit);
    assert_eq!(blamed, BTreeSet::from([culprit]), "at instance {analyzer}");
  }
}

#[test]
fn the_culprit_of_a_day_at_fichas_lima_is_blamed_and_nobody_else() {
  only_the_culprit_is_blamed(include_str!("histories/crashes-one.txt"), 0);
}

#[test]
fn the_culprit_of_a_day_at_prevod_hq_is_blamed_and_nobody_else() {
  only_the_culprit_is_blamed(include_str!("histories/crashes-two.txt"), 4);
}

/// A crash of a server during a run of a content that had reached the given progress.
fn crash(content: u128, server: u64, run: u32, progress_ms: u32) -> Crash {
  Crash {
    content: content::Key(content),
    server: Life::of(&server.to_string(), 1),
    run,
    progress_ms,
  }
}

#[test]
fn an_instance_that_hears_the_verdict_blames_nobody_for_the_part_it_knows() {
  let mut registry = Registry::default();
  for server in 1..=3 {
    registry.add(0, &[crash(8, server, 1, 0), crash(9, server, 2, 0)]);
  }
  registry.clear_suspects();
  assert_eq!(registry.analysis_at(10_000, || true), None);
  assert!(registry.find_culprits(10_000).is_empty());
}

/// Guards against an instance that is no analyzer being due at a past time again and again,
/// until it analyzes on its own 1 s later.
#[test]
fn an_instance_that_is_no_judge_is_due_when_it_judges_alone() {
  let mut registry = Registry::default();
  registry.add(100, &[crash(8, 1, 1, 0)]);
  let settled = registry.analysis_at(100, || false).expect("a crash");
  assert_eq!(registry.analysis_at(settled, || true), Some(settled));
  let fallback_at = registry.analysis_at(settled, || false).expect("a crash");
  assert!(fallback_at >= settled + 1_000, "{settled} {fallback_at}");
  registry.find_culprits(fallback_at);
  assert_eq!(registry.analysis_at(fallback_at, || false), None);
}

#[test]
fn a_companion_blamed_on_less_knowledge_is_released_when_the_culprit_strikes_again() {
  let (culprit, companion) = (content::Key(8), content::Key(9));
  let mut registry = Registry::default();
  for server in 1..=3 {
    registry.add(0, &[crash(9, server, 2, 0)]);
  }
  assert_eq!(registry.find_culprits(30)[0].content, companion);
  for server in 1..=4 {
    registry.add(40, &[crash(8, server, 1, 0)]);
  }
  assert_eq!(registry.find_culprits(60)[0].content, culprit);
  assert_eq!(registry.release_companions(60), vec![companion]);
  let again = Quarantined {
    content: companion,
    left_ms: 1_000,
  };
  assert!(
    !registry.quarantine(70, again),
    "published before the release"
  );
  assert_eq!(registry.quarantined(70).len(), 1);
}

#[test]
fn a_content_that_was_in_a_crash_goes_to_the_server_that_its_hash_names() {
  let mut filter = Filter::default();
  let key = content::Key(8);
  assert_eq!(filter.admission(0, key), Admission::Allowed);
  filter.record_crash(0, crash(8, 1, 1, 0));
  assert_eq!(filter.admission(0, key), Admission::Isolated(1));
  filter.record_served(key);
  assert_eq!(filter.admission(1, key), Admission::Allowed);
}

#[test]
fn after_two_crashes_a_content_waits_for_its_turn_and_no_longer_than_300_ms() {
  let mut filter = Filter::default();
  let key = content::Key(8);
  filter.record_crash(0, crash(8, 1, 1, 0));
  filter.record_crash(200, crash(8, 2, 1, 10));
  assert!(matches!(filter.admission(200, key), Admission::Delayed(until) if until <= 500));
  let turn = |turn| Suspected {
    content: key,
    crashes: 2,
    turn,
  };
  filter.update_suspects(230, &[turn(0)]);
  assert_eq!(filter.admission(230, key), Admission::Isolated(2));
  filter.update_suspects(230, &[turn(40)]);
  assert!(matches!(filter.admission(230, key), Admission::Delayed(until) if until <= 500));
}

#[test]
fn an_instance_that_starts_hears_of_suspects_and_others_keep_their_turns() {
  let key = content::Key(8);
  let mut registry = Registry::default();
  registry.add(0, &[crash(8, 1, 1, 0), crash(8, 2, 2, 0)]);
  let listed = registry.current_suspects(1_000);
  assert_eq!(listed.len(), 1);
  let mut new = Filter::default();
  new.update_suspects(1_000, &listed);
  assert_eq!(new.admission(1_000, key), Admission::Isolated(2));
  let mut known = Filter::default();
  let turn = Suspected {
    content: key,
    crashes: 2,
    turn: 2,
  };
  known.update_suspects(1_000, &[turn]);
  let waits = known.admission(1_000, key);
  assert!(matches!(waits, Admission::Delayed(_)));
  known.update_suspects(1_001, &listed);
  assert_eq!(known.admission(1_001, key), waits);
  assert!(
    registry.current_suspects(60_000).is_empty(),
    "all others have forgotten it"
  );
}

#[test]
fn a_companion_that_came_further_than_before_waits_for_nothing() {
  let mut filter = Filter::default();
  filter.record_crash(0, crash(9, 1, 2, 3_000));
  filter.record_crash(200, crash(9, 2, 2, 30));
  assert_eq!(
    filter.admission(200, content::Key(9)),
    Admission::Isolated(2)
  );
}

#[test]
fn a_verdict_ends_all_suspicion() {
  let mut filter = Filter::default();
  for server in 1..=3 {
    filter.record_crash(0, crash(8, server, 1, 0));
    filter.record_crash(0, crash(9, server, 2, 0));
  }
  assert!(matches!(
    filter.admission(1, content::Key(9)),
    Admission::Delayed(_)
  ));
  let verdict = Quarantined {
    content: content::Key(8),
    left_ms: 1_000,
  };
  filter.update_quarantine(2, &[verdict]);
  assert_eq!(filter.admission(2, content::Key(8)), Admission::Denied);
  assert_eq!(filter.admission(2, content::Key(9)), Admission::Allowed);
}

#[test]
fn of_two_culprits_at_once_both_are_blamed() {
  let mut registry = Registry::default();
  for server in 1..=3 {
    registry.add(0, &[crash(1, server, 1, 0), crash(7, server, 3, 900)]);
    registry.add(
      0,
      &[crash(2, server + 10, 2, 0), crash(7, server + 10, 4, 30)],
    );
  }
  let blamed = registry.find_culprits(30);
  let blamed: BTreeSet<u128> = blamed.iter().map(|one| one.content.0).collect();
  assert!(blamed.contains(&1) || blamed.contains(&7));
  // The companion of both is released after both culprits have caused crashes again.
  registry.add(100, &[crash(1, 4, 5, 0), crash(2, 14, 6, 0)]);
  registry.add(100, &[crash(1, 5, 7, 0), crash(2, 15, 8, 0)]);
  registry.add(100, &[crash(1, 6, 9, 0), crash(2, 16, 10, 0)]);
  registry.find_culprits(130);
  let kept = registry.quarantined(130);
  assert!(kept.iter().any(|entry| entry.content.0 == 1));
  assert!(kept.iter().any(|entry| entry.content.0 == 2));
}
