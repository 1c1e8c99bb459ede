//! Who takes part: the live instances, and the neighbours this one talks to.

use crate::{
  fact::{Body, Health, Key, Member},
  facts::Table,
  rendezvous,
};
use std::collections::BTreeMap;

/// With this many others or fewer, every other instance is a neighbour.
const FULL_MESH: usize = 8;
/// Ring successors among the neighbours of a larger fleet.
const SUCCESSORS: usize = 3;
/// Further neighbours of a larger fleet, by rendezvous.
const LINKS: usize = 3;

/// The view of the fleet, derived from facts.
#[derive(Clone, Debug, Default)]
pub struct Members {
  /// Instances that take duties, sorted.
  pub live: Vec<String>,
  /// Instances this one exchanges facts with.
  pub neighbours: Vec<String>,
  /// Rises whenever `live` changes.
  pub epoch: u64,
}

impl Members {
  /// Derives the view; true when the live instances changed.
  pub fn refresh(&mut self, facts: &Table, me: &str) -> bool {
    let known = known(facts);
    let live: Vec<String> = known
      .iter()
      .filter(|(_, member)| member.health == Health::Alive && !member.leaving)
      .map(|(id, _)| id.clone())
      .collect();
    let reachable: Vec<String> = known
      .into_iter()
      .filter(|(id, member)| member.health != Health::Dead && id != me)
      .map(|(id, _)| id)
      .collect();
    self.neighbours = neighbours(reachable, me);
    let changed = live != self.live;
    self.live = live;
    self.epoch += u64::from(changed);
    changed
  }

  /// Whether facts of others are passed on: only where not all are neighbours.
  pub fn forwards(&self) -> bool {
    self.live.len() > FULL_MESH + 1
  }

  /// The instance that usually acts for `key`.
  pub fn owner(&self, key: &str) -> Option<&str> {
    rendezvous::owner(&self.live, key)
  }
}

fn known(facts: &Table) -> BTreeMap<String, Member> {
  let start = Key::Member(String::new());
  facts
    .range(start)
    .map_while(|(key, body)| match (key, body) {
      (Key::Member(id), Body::Member(member)) => Some((id.clone(), member.clone())),
      _ => None,
    })
    .collect()
}

fn neighbours(others: Vec<String>, me: &str) -> Vec<String> {
  if others.len() <= FULL_MESH {
    return others;
  }
  // The ring makes sure that everyone is watched; the links keep paths short.
  let after = others.partition_point(|other| other.as_str() < me);
  let ring = others.iter().cycle().skip(after).take(SUCCESSORS);
  let mut chosen: Vec<String> = ring.cloned().collect();
  for link in rendezvous::first(&others, me, LINKS + SUCCESSORS) {
    if chosen.len() < SUCCESSORS + LINKS && !chosen.contains(&link) {
      chosen.push(link);
    }
  }
  chosen
}
