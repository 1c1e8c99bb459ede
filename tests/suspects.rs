//! Who is to blame for crashes, replayed from what instances found on days of a request that
//! crashes servers.
//!
//! On both days all runs of a crashed server went on to the same next one, so that culprit
//! and companions stood in the same three crashes; a judge that knew a part of the third one
//! blamed a companion, and the culprit went free for six and eight servers in all.

use bendsaddle::{
  content,
  crash::{Admission, Crash, Filter, Quarantined, Registry, Suspected},
  life::Life,
};
use std::collections::BTreeSet;

/// Time after the third crash from which on the request may reach servers three times more, ms.
const CONTACT_MS: u64 = 3_000;
/// A report takes so long to another instance, ms.
const TRANSIT_MS: u64 = 5;

/// A run that ended with its server, as an instance found it.
struct Found {
  at: u64,
  instance: u64,
  crash: Crash,
}

fn found(line: &str) -> Found {
  let fields: Vec<u64> = line
    .split(' ')
    .map(|field| field.parse().unwrap())
    .collect();
  let [at, instance, content, server, run, progress] = fields[..] else {
    panic!("{line}");
  };
  Found {
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

fn history(text: &str) -> Vec<Found> {
  let lines = text.lines().filter(|line| !line.starts_with('#'));
  lines.map(found).collect()
}

/// When the third server ended under a content, ms.
fn third(history: &[Found], content: u128) -> u64 {
  let mut servers = BTreeSet::new();
  let crashes = history.iter();
  let mut mine = crashes.filter(|found| found.crash.content.0 == content);
  let third = mine.find(|found| servers.insert(found.crash.server) && servers.len() == 3);
  third.expect("three crashes").at
}

/// What an instance that judges hears, in the order in which it does.
fn heard(history: &[Found], judge: u64) -> Vec<(u64, Crash)> {
  let transit = |found: &Found| {
    if found.instance == judge {
      0
    } else {
      TRANSIT_MS
    }
  };
  let reports = history
    .iter()
    .map(|found| (found.at + transit(found), found.crash));
  let mut heard: Vec<(u64, Crash)> = reports.collect();
  heard.sort_by_key(|(at, _)| *at);
  heard
}

/// Contents that an instance blames while the request could still be sent.
fn blamed(history: &[Found], judge: u64, guilty: u128) -> BTreeSet<u128> {
  let last = third(history, guilty) + CONTACT_MS;
  let mut registry = Registry::default();
  let mut blamed = BTreeSet::new();
  let heard = heard(history, judge);
  let mut reports = heard.iter().peekable();
  for now in 0..last {
    while let Some((_, crash)) = reports.next_if(|(at, _)| *at <= now) {
      registry.add(now, &[*crash]);
    }
    if registry.analysis_at(now, || true).is_none_or(|at| now < at) {
      continue;
    }
    let found = registry.find_culprits(now);
    blamed.extend(found.iter().map(|sentence| sentence.content.0));
  }
  blamed
}

fn only_the_culprit_is_blamed(history: &str, guilty: u128) {
  let history = self::history(history);
  let instances: BTreeSet<u64> = history.iter().map(|found| found.instance).collect();
  for judge in instances {
    let blamed = blamed(&history, judge, guilty);
    assert_eq!(blamed, BTreeSet::from([guilty]), "at instance {judge}");
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

/// A run of a content at a server, which came so far.
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

/// An instance that is no judge was due at a moment that had passed, again and again until it
/// judged alone, 1 s later.
#[test]
fn an_instance_that_is_no_judge_is_due_when_it_judges_alone() {
  let mut registry = Registry::default();
  registry.add(100, &[crash(8, 1, 1, 0)]);
  let settled = registry.analysis_at(100, || false).expect("a crash");
  assert_eq!(registry.analysis_at(settled, || true), Some(settled));
  let alone = registry.analysis_at(settled, || false).expect("a crash");
  assert!(alone >= settled + 1_000, "{settled} {alone}");
  registry.find_culprits(alone);
  assert_eq!(registry.analysis_at(alone, || false), None);
}

#[test]
fn a_companion_blamed_on_less_knowledge_is_released_when_the_culprit_strikes_again() {
  let (guilty, beside) = (content::Key(8), content::Key(9));
  let mut registry = Registry::default();
  for server in 1..=3 {
    registry.add(0, &[crash(9, server, 2, 0)]);
  }
  assert_eq!(registry.find_culprits(30)[0].content, beside);
  for server in 1..=4 {
    registry.add(40, &[crash(8, server, 1, 0)]);
  }
  assert_eq!(registry.find_culprits(60)[0].content, guilty);
  assert_eq!(registry.release_companions(60), vec![beside]);
  let again = Quarantined {
    content: beside,
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
  let mut door = Filter::default();
  let key = content::Key(8);
  assert_eq!(door.admission(0, key), Admission::Allowed);
  door.record_crash(0, crash(8, 1, 1, 0));
  assert_eq!(door.admission(0, key), Admission::Isolated(1));
  door.record_served(key);
  assert_eq!(door.admission(1, key), Admission::Allowed);
}

#[test]
fn after_two_crashes_a_content_waits_for_its_turn_and_no_longer_than_300_ms() {
  let mut door = Filter::default();
  let key = content::Key(8);
  door.record_crash(0, crash(8, 1, 1, 0));
  door.record_crash(200, crash(8, 2, 1, 10));
  assert!(matches!(door.admission(200, key), Admission::Delayed(until) if until <= 500));
  let turn = |turn| Suspected {
    content: key,
    crashes: 2,
    turn,
  };
  door.update_suspects(230, &[turn(0)]);
  assert_eq!(door.admission(230, key), Admission::Isolated(2));
  door.update_suspects(230, &[turn(40)]);
  assert!(matches!(door.admission(230, key), Admission::Delayed(until) if until <= 500));
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
  let mut door = Filter::default();
  door.record_crash(0, crash(9, 1, 2, 3_000));
  door.record_crash(200, crash(9, 2, 2, 30));
  assert_eq!(door.admission(200, content::Key(9)), Admission::Isolated(2));
}

#[test]
fn a_verdict_ends_all_suspicion() {
  let mut door = Filter::default();
  for server in 1..=3 {
    door.record_crash(0, crash(8, server, 1, 0));
    door.record_crash(0, crash(9, server, 2, 0));
  }
  assert!(matches!(
    door.admission(1, content::Key(9)),
    Admission::Delayed(_)
  ));
  let verdict = Quarantined {
    content: content::Key(8),
    left_ms: 1_000,
  };
  door.update_quarantine(2, &[verdict]);
  assert_eq!(door.admission(2, content::Key(8)), Admission::Denied);
  assert_eq!(door.admission(2, content::Key(9)), Admission::Allowed);
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
  // The one that stood beside both is released once they have struck once more.
  registry.add(100, &[crash(1, 4, 5, 0), crash(2, 14, 6, 0)]);
  registry.add(100, &[crash(1, 5, 7, 0), crash(2, 15, 8, 0)]);
  registry.add(100, &[crash(1, 6, 9, 0), crash(2, 16, 10, 0)]);
  registry.find_culprits(130);
  let kept = registry.quarantined(130);
  assert!(kept.iter().any(|entry| entry.content.0 == 1));
  assert!(kept.iter().any(|entry| entry.content.0 == 2));
}
