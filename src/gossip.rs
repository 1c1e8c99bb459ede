//! Exchange of facts with neighbours, and the failure detector that rides on it.

use crate::{
  effect::Effect,
  event::{Call, Delta},
  fact::{Body, Fact, Health, Key, Member, Version},
  journal::Entry,
  state::State,
};
use std::collections::{BTreeMap, VecDeque};

/// Failed exchanges in a row after which a neighbour is suspected.
const FAILURES: u32 = 3;
/// Exchanges between two comparisons of repair hashes.
const REPAIR_EVERY: u32 = 20;
/// Delay that lets changes made together travel together, ms.
const GATHER_MS: u64 = 5;
/// Time after an exchange for which even an urgent update waits, ms.
const CALM_MS: u64 = 25;
/// Instances for which the pause between exchanges is as set; it grows in
/// proportion from there, up to `SLOWEST` times, so that a node's cost does not.
const SMALL: u64 = 28;
const SLOWEST: u64 = 4;

/// What is known of one neighbour.
#[derive(Clone, Debug, Default)]
struct Link {
  /// Boot of the neighbour that the numbers below belong to.
  boot: u64,
  /// Our newest change that the neighbour has merged.
  sent: u64,
  /// The neighbour's newest change that we have merged.
  seen: u64,
  /// Keys to send again.
  repair: VecDeque<Key>,
  /// When the exchange on its way was sent, ms.
  asked_at: Option<u64>,
  /// Time of the next exchange, ms.
  next_at: u64,
  /// Time before which even an urgent update waits, ms.
  calm_until: u64,
  failures: u32,
  /// Exchanges until hashes are compared.
  until_repair: u32,
}

/// Links to neighbours, by instance; seeds stand under their address.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
  links: BTreeMap<String, Link>,
  /// Newest change of ours that was worth an exchange at once.
  urgent: u64,
  /// When that change was made, ms.
  urgent_at: u64,
  /// Suspicions of ours, with the time at which they become final, ms.
  suspects: BTreeMap<String, u64>,
}

fn urgent(key: &Key) -> bool {
  !matches!(key, Key::Load(_))
}

impl State {
  /// Takes up a fact; anything it changes here follows at once.
  pub fn merge_fact(&mut self, fact: Fact, origin: &str) {
    let key = fact.key.clone();
    if self.disputed(&fact) {
      return;
    }
    if !self.facts.merge(fact, origin) {
      return;
    }
    if urgent(&key) {
      self.gossip.urgent = self.facts.newest_seq();
      self.gossip.urgent_at = self.now;
    }
    self.learn(&key);
  }

  /// A fact that says ill of this instance is answered, not taken.
  fn disputed(&mut self, fact: &Fact) -> bool {
    let (Key::Member(id), Body::Member(member)) = (&fact.key, &fact.body) else {
      return false;
    };
    if *id != self.me.instance || member.boot != self.me.boot {
      return false;
    }
    if member.health == Health::Alive || fact.version <= self.facts.version(&fact.key) {
      return false;
    }
    self.announce(fact.version.1 / 4 + 1);
    true
  }

  /// Rebuilds the view of the fleet after a change of members.
  pub fn refresh_members(&mut self) {
    let me = self.me.instance.clone();
    self.members.refresh(&self.facts, &me);
    let neighbours = &self.members.neighbours;
    let kept = |id: &String| neighbours.contains(id) || id.contains(':');
    self.gossip.links.retain(|id, _| kept(id));
  }

  /// Starts the exchanges that are due.
  pub fn gossip(&mut self) {
    for peer in self.members.neighbours.clone() {
      if let Some(address) = self.peer_address(&peer) {
        self.exchange(&peer, &address);
      }
    }
    if self.members.neighbours.is_empty() {
      for seed in self.me.seeds.clone() {
        if seed != self.me.peer_address {
          self.exchange(&seed.clone(), &seed);
        }
      }
    }
    self.confirm_suspects();
  }

  /// Pause between two exchanges with a neighbour, ms.
  fn pause(&self) -> u64 {
    let fleet = self.members.live.len() as u64;
    self.limits.exchange_ms * fleet.clamp(SMALL, SMALL * SLOWEST) / SMALL
  }

  fn exchange(&mut self, peer: &str, address: &str) {
    let pause = self.pause();
    let urgent = self.gossip.urgent;
    let gathered = self.now >= self.gossip.urgent_at + GATHER_MS;
    let link = self.gossip.links.entry(peer.into()).or_default();
    let calm = self.now < link.calm_until;
    let hasty = gathered && !calm && link.sent < urgent && link.failures == 0;
    let lost = link
      .asked_at
      .is_some_and(|at| at + 4 * pause + 2_000 < self.now);
    if (link.asked_at.is_some() && !lost) || !(hasty || link.next_at <= self.now) {
      return;
    }
    link.asked_at = Some(self.now);
    let due = pause / 2 + self.random(pause);
    let delta = self.delta(peer);
    if let Some(link) = self.gossip.links.get_mut(peer) {
      link.next_at = self.now + due;
      link.calm_until = self.now + CALM_MS;
    }
    self.emit(Effect::Exchange {
      peer: peer.into(),
      address: address.into(),
      delta,
    });
  }

  fn delta(&mut self, peer: &str) -> Delta {
    let most = self.limits.delta_bytes;
    let link = self.gossip.links.entry(peer.into()).or_default();
    let forward = self.members.forwards();
    let (mut facts, upto) = self.facts.changes_since(link.sent, peer, most, forward);
    let mut bytes: usize = facts.iter().map(Vec::len).sum();
    while bytes < most {
      let Some(key) = link.repair.pop_front() else {
        break;
      };
      if let Some(fact) = self.facts.encoded(&key) {
        bytes += fact.len();
        facts.push(fact);
      }
    }
    let compare = link.until_repair == 0 && upto == self.facts.newest_seq();
    link.until_repair = if compare {
      REPAIR_EVERY
    } else {
      link.until_repair.saturating_sub(1)
    };
    let buckets = if compare {
      self.facts.buckets().to_vec()
    } else {
      Vec::new()
    };
    Delta {
      from: self.me.instance.clone(),
      boot: self.me.boot,
      seen: link.seen,
      upto,
      facts,
      buckets,
    }
  }

  fn merge(&mut self, delta: &Delta) {
    for bytes in &delta.facts {
      if let Some(fact) = Fact::decode(bytes) {
        self.merge_fact(fact, &delta.from);
      }
    }
    let link = self.gossip.links.entry(delta.from.clone()).or_default();
    if link.boot != delta.boot {
      // A new process knows nothing of ours: the hashes show what it lacks.
      *link = Link {
        boot: delta.boot,
        sent: self.facts.newest_seq(),
        next_at: link.next_at,
        asked_at: link.asked_at,
        ..Link::default()
      };
    }
    link.failures = 0;
    link.seen = link.seen.max(delta.upto);
    link.sent = link.sent.max(delta.seen.min(self.facts.newest_seq()));
    if !delta.buckets.is_empty() {
      link.repair = self.facts.differing_keys(&delta.buckets).into();
    }
  }

  /// Merges a neighbour's delta and answers with ours.
  pub fn on_exchange(&mut self, call: Call, delta: &Delta) {
    self.merge(delta);
    let next_at = self.now + self.pause();
    if let Some(link) = self.gossip.links.get_mut(&delta.from) {
      // The neighbour is heard of: no need to ask it as well.
      link.next_at = link.next_at.max(next_at);
    }
    let answer = self.delta(&delta.from);
    self.emit(Effect::Answer {
      call,
      delta: answer,
    });
  }

  /// Merges a neighbour's answer, or counts its silence.
  pub fn on_exchanged(&mut self, peer: &str, delta: Option<&Delta>) {
    let Some(delta) = delta else {
      self.on_silence(peer);
      return;
    };
    if let Some(link) = self.gossip.links.get_mut(peer) {
      link.asked_at = None;
    }
    self.merge(delta);
    self.gossip.suspects.remove(&delta.from);
    if delta.from != peer {
      // A seed has reported its name.
      self.gossip.links.remove(peer);
    }
  }

  fn on_silence(&mut self, peer: &str) {
    let pause = self.pause();
    let Some(link) = self.gossip.links.get_mut(peer) else {
      return;
    };
    link.asked_at = None;
    link.failures += 1;
    link.next_at = self.now + pause;
    if link.failures >= FAILURES {
      self.judge(peer, Health::Suspect);
    }
  }

  /// Publishes a worse health for an instance.
  fn judge(&mut self, peer: &str, health: Health) {
    let key = Key::Member(peer.into());
    let Some((Body::Member(member), version)) = self.facts.get(&key) else {
      return;
    };
    if member.health >= health {
      return;
    }
    let member = Member {
      health,
      ..member.clone()
    };
    let rank = version.1 / 4 * 4 + health as u64;
    let version = Version(version.0, rank);
    self.log(Entry::Member {
      instance: peer.into(),
      state: format!("{health:?}").to_lowercase(),
    });
    self.publish(key, version, Body::Member(member));
    if health == Health::Suspect {
      let until = self.now + self.limits.suspect_ms;
      self.gossip.suspects.insert(peer.into(), until);
    }
  }

  fn confirm_suspects(&mut self) {
    let now = self.now;
    let due: Vec<String> = self
      .gossip
      .suspects
      .iter()
      .filter(|(_, until)| **until <= now)
      .map(|(peer, _)| peer.clone())
      .collect();
    for peer in due {
      self.gossip.suspects.remove(&peer);
      let key = Key::Member(peer.clone());
      let suspect = matches!(
        self.facts.get(&key),
        Some((Body::Member(member), _)) if member.health == Health::Suspect
      );
      if suspect {
        self.judge(&peer, Health::Dead);
      }
    }
  }
}
