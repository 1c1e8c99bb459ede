//! Who is to blame for crashes, replayed from what instances found on days of a request that
//! crashes servers.
//!
//! On both days all runs of a crashed server went on to the same next one, so that culprit
//! and companions stood in the same three crashes; a judge that knew a part of the third one
//! blamed a companion, and the culprit went free for six and eight servers in all.

use bendsaddle::{
  content,
  crash::{Crash, Registry},
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
  let [at, instance, content, server, run, _progress] = fields[..] else {
    panic!("{line}");
  };
  Found {
    at,
    instance,
    crash: Crash {
      content: content::Key(content.into()),
      server: Life::of(&server.to_string(), 1),
      run: run as u32,
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
    let found = registry.judge(now);
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
