//! Exchange of facts with neighbours, and the failure detector that is based on it.

use crate::{
  effect::Effect,
  event::{Call, Delta},
  fact::{Body, Fact, Health, Key, Member, Version},
  journal::Entry,
  state::State,
};
use std::collections::{BTreeMap, VecDeque};

/// Consecutive failed exchanges after which a neighbour is suspected.
const SUSPECT_AFTER_FAILURES: u32 = 3;
/// Number of exchanges between two comparisons of repair hashes.
const REPAIR_INTERVAL_EXCHANGES: u32 = 20;
/// Delay after an urgent change, so that changes made together are sent together.
const BATCHING_DELAY_MS: u64 = 5;
/// Time after an exchange for which even an urgent change waits.
const MIN_EXCHANGE_GAP_MS: u64 = 25;
/// Number of instances up to which the interval between exchanges is as configured. In a
/// larger fleet it grows in proportion, up to `MAX_SLOWDOWN` times, so that the cost per
/// instance does not grow.
const BASE_FLEET_SIZE: u64 = 28;
const MAX_SLOWDOWN: u64 = 4;

/// State of the exchanges with one neighbour.
#[derive(Clone, Debug, Default)]
struct Link {
  /// Start time in ms of the neighbour's process to which the other fields refer.
  boot: u64,
  /// Sequence number of the newest local change that the neighbour has merged.
  acked_seq: u64,
  /// Sequence number of the neighbour's newest change that was merged here.
  merged_seq: u64,
  /// Keys of the facts to send again.
  repair_keys: VecDeque<Key>,
  /// Time in ms at which the pending exchange was sent; `None` if none is pending.
  pending_since: Option<u64>,
  /// Time in ms of the next regular exchange.
  next_exchange_at: u64,
  /// Time in ms before which even an urgent change waits.
  urgent_not_before: u64,
  failures: u32,
  /// Number of exchanges until repair hashes are compared.
  exchanges_until_repair: u32,
}

/// State of the exchanges and of the failure detector.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
  /// Links by instance name; a seed whose name is unknown is listed by its address.
  links: BTreeMap<String, Link>,
  /// Sequence number of the newest change that is sent without waiting for the regular
  /// exchange.
  urgent_seq: u64,
  /// Time in ms of that change.
  urgent_changed_at: u64,
  /// Instances suspected by this one, with the time in ms at which each is declared dead.
  suspected: BTreeMap<String, u64>,
}

fn is_urgent(key: &Key) -> bool {
  !matches!(key, Key::Load(_))
}

impl State {
  /// Merges a fact and updates the state derived from it.
  pub fn merge_fact(&mut self, fact: Fact, origin: &str) {
    let key = fact.key.clone();
    if self.refute_suspicion(&fact) {
      return;
    }
    if !self.facts.merge(fact, origin) {
      return;
    }
    if is_urgent(&key) {
      self.gossip.urgent_seq = self.facts.newest_seq();
      self.gossip.urgent_changed_at = self.now;
    }
    self.apply_fact(&key);
  }

  /// Refutes a fact that reports this process as suspect or dead, and returns whether it
  /// did so. Such a fact is not merged.
  fn refute_suspicion(&mut self, fact: &Fact) -> bool {
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

  /// Updates the view of the fleet after a change of members.
  pub fn refresh_members(&mut self) {
    let me = self.me.instance.clone();
    self.members.refresh(&self.facts, &me);
    let neighbours = &self.members.neighbours;
    let is_kept = |id: &String| neighbours.contains(id) || id.contains(':');
    self.gossip.links.retain(|id, _| is_kept(id));
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

  /// Interval in ms between two exchanges with a neighbour.
  fn exchange_interval(&self) -> u64 {
    let fleet_size = self.members.live.len() as u64;
    self.limits.exchange_ms * fleet_size.clamp(BASE_FLEET_SIZE, BASE_FLEET_SIZE * MAX_SLOWDOWN)
      / BASE_FLEET_SIZE
  }

  fn exchange(&mut self, peer: &str, address: &str) {
    let interval = self.exchange_interval();
    let urgent_seq = self.gossip.urgent_seq;
    let is_batched = self.now >= self.gossip.urgent_changed_at + BATCHING_DELAY_MS;
    let link = self.gossip.links.entry(peer.into()).or_default();
    let must_wait = self.now < link.urgent_not_before;
    let send_early = is_batched && !must_wait && link.acked_seq < urgent_seq && link.failures == 0;
    let timed_out = link
      .pending_since
      .is_some_and(|at| at + 4 * interval + 2_000 < self.now);
    if (link.pending_since.is_some() && !timed_out)
      || !(send_early || link.next_exchange_at <= self.now)
    {
      return;
    }
    link.pending_since = Some(self.now);
    let delay = interval / 2 + self.random(interval);
    let delta = self.delta(peer);
    if let Some(link) = self.gossip.links.get_mut(peer) {
      link.next_exchange_at = self.now + delay;
      link.urgent_not_before = self.now + MIN_EXCHANGE_GAP_MS;
    }
    self.emit(Effect::Exchange {
      peer: peer.into(),
      address: address.into(),
      delta,
    });
  }

  fn delta(&mut self, peer: &str) -> Delta {
    let max_bytes = self.limits.delta_bytes;
    let link = self.gossip.links.entry(peer.into()).or_default();
    let forward = self.members.forwards_facts();
    let (mut facts, upto) = self
      .facts
      .changes_since(link.acked_seq, peer, max_bytes, forward);
    let mut bytes: usize = facts.iter().map(Vec::len).sum();
    while bytes < max_bytes {
      let Some(key) = link.repair_keys.pop_front() else {
        break;
      };
      if let Some(fact) = self.facts.encoded(&key) {
        bytes += fact.len();
        facts.push(fact);
      }
    }
    let compare_hashes = link.exchanges_until_repair == 0 && upto == self.facts.newest_seq();
    link.exchanges_until_repair = if compare_hashes {
      REPAIR_INTERVAL_EXCHANGES
    } else {
      link.exchanges_until_repair.saturating_sub(1)
    };
    let buckets = if compare_hashes {
      self.facts.buckets().to_vec()
    } else {
      Vec::new()
    };
    Delta {
      from: self.me.instance.clone(),
      boot: self.me.boot,
      seen: link.merged_seq,
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
      // A new process has no facts of this instance; the repair hashes show what it lacks.
      *link = Link {
        boot: delta.boot,
        acked_seq: self.facts.newest_seq(),
        next_exchange_at: link.next_exchange_at,
        pending_since: link.pending_since,
        ..Link::default()
      };
    }
    link.failures = 0;
    link.merged_seq = link.merged_seq.max(delta.upto);
    link.acked_seq = link.acked_seq.max(delta.seen.min(self.facts.newest_seq()));
    if !delta.buckets.is_empty() {
      link.repair_keys = self.facts.differing_keys(&delta.buckets).into();
    }
  }

  /// Merges a neighbour's delta and responds with a delta of this instance.
  pub fn on_exchange(&mut self, call: Call, delta: &Delta) {
    self.merge(delta);
    let next_exchange_at = self.now + self.exchange_interval();
    if let Some(link) = self.gossip.links.get_mut(&delta.from) {
      // The neighbour has just exchanged deltas, so this instance postpones its own.
      link.next_exchange_at = link.next_exchange_at.max(next_exchange_at);
    }
    let response = self.delta(&delta.from);
    self.emit(Effect::Answer {
      call,
      delta: response,
    });
  }

  /// Merges a neighbour's response, or counts a failure if there was none.
  pub fn on_exchanged(&mut self, peer: &str, delta: Option<&Delta>) {
    let Some(delta) = delta else {
      self.on_exchange_failed(peer);
      return;
    };
    if let Some(link) = self.gossip.links.get_mut(peer) {
      link.pending_since = None;
    }
    self.merge(delta);
    self.gossip.suspected.remove(&delta.from);
    if delta.from != peer {
      // The peer was a seed, which has now reported its name.
      self.gossip.links.remove(peer);
    }
  }

  fn on_exchange_failed(&mut self, peer: &str) {
    let interval = self.exchange_interval();
    let Some(link) = self.gossip.links.get_mut(peer) else {
      return;
    };
    link.pending_since = None;
    link.failures += 1;
    link.next_exchange_at = self.now + interval;
    if link.failures >= SUSPECT_AFTER_FAILURES {
      self.publish_health(peer, Health::Suspect);
    }
  }

  /// Publishes a worse health of an instance.
  fn publish_health(&mut self, peer: &str, health: Health) {
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
      let dead_at = self.now + self.limits.suspect_ms;
      self.gossip.suspected.insert(peer.into(), dead_at);
    }
  }

  fn confirm_suspects(&mut self) {
    let now = self.now;
    let due: Vec<String> = self
      .gossip
      .suspected
      .iter()
      .filter(|(_, dead_at)| **dead_at <= now)
      .map(|(peer, _)| peer.clone())
      .collect();
    for peer in due {
      self.gossip.suspected.remove(&peer);
      let key = Key::Member(peer.clone());
      let suspect = matches!(
        self.facts.get(&key),
        Some((Body::Member(member), _)) if member.health == Health::Suspect
      );
      if suspect {
        self.publish_health(&peer, Health::Dead);
      }
    }
  }
}
