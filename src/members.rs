//! Membership: the live instances, and the neighbours of this instance.

use crate::{
  fact::{Body, Health, Key, Member},
  facts::Table,
  rendezvous,
};
use std::collections::BTreeMap;

/// Up to this number of other instances, all of them are neighbours.
const MAX_FULL_MESH_PEERS: usize = 8;
/// Number of ring successors among the neighbours in a larger fleet.
const RING_SUCCESSORS: usize = 3;
/// Number of further neighbours in a larger fleet, chosen by rendezvous hashing.
const RENDEZVOUS_LINKS: usize = 3;

/// View of the fleet, derived from facts.
#[derive(Clone, Debug, Default)]
pub struct Members {
  /// Instances that are alive and not leaving, sorted. Only these own keys.
  pub live: Vec<String>,
  /// Instances with which this one exchanges facts.
  pub neighbours: Vec<String>,
  /// Incremented whenever `live` changes.
  pub epoch: u64,
}

impl Members {
  /// Updates the view and returns whether the live instances changed.
  pub fn refresh(&mut self, facts: &Table, me: &str) -> bool {
    let known = known_members(facts);
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
    self.neighbours = choose_neighbours(reachable, me);
    let changed = live != self.live;
    self.live = live;
    self.epoch += u64::from(changed);
    changed
  }

  /// Whether facts of other instances are forwarded, which is needed only if not all
  /// instances are neighbours.
  pub fn forwards_facts(&self) -> bool {
    self.live.len() > MAX_FULL_MESH_PEERS + 1
  }

  /// The instance that normally owns `key`.
  pub fn owner(&self, key: &str) -> Option<&str> {
    rendezvous::owner(&self.live, key)
  }
}

fn known_members(facts: &Table) -> BTreeMap<String, Member> {
  let start = Key::Member(String::new());
  facts
    .range(start)
    .map_while(|(key, body)| match (key, body) {
      (Key::Member(id), Body::Member(member)) => Some((id.clone(), member.clone())),
      _ => None,
    })
    .collect()
}

fn choose_neighbours(others: Vec<String>, me: &str) -> Vec<String> {
  if others.len() <= MAX_FULL_MESH_PEERS {
    return others;
  }
  // The ring ensures that every instance is monitored; the links keep paths short.
  let position = others.partition_point(|other| other.as_str() < me);
  let ring = others.iter().cycle().skip(position).take(RING_SUCCESSORS);
  let mut chosen: Vec<String> = ring.cloned().collect();
  for link in rendezvous::top_ranked(&others, me, RENDEZVOUS_LINKS + RING_SUCCESSORS) {
    if chosen.len() < RING_SUCCESSORS + RENDEZVOUS_LINKS && !chosen.contains(&link) {
      chosen.push(link);
    }
  }
  chosen
}
