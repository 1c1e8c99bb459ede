//! The pace of servers, as the planner of their group knows it, and its publication.

use super::{
  plan::{Effect, Plan},
  publish::PUBLISH_INTERVAL_MS,
  server,
};
use crate::{
  life::Life,
  pace::{Class, Pace, Published, Sample, estimate::Estimates},
};
use std::collections::BTreeMap;

/// All paces are published again within this many publications, for instances that start or have
/// lost a datagram: 10 s, and longer where that is more than `MAX_PUBLISHED` at a time.
const REFRESH_PUBLICATIONS: usize = 20;
/// A current pace that differs from the lasting one is published again after this time, ms:
/// instances forget it after three times this.
const REPEAT_PASSING_MS: u64 = 2 * PUBLISH_INTERVAL_MS;
/// Maximum paces in one publication; at 6 bytes each, fewer bytes than the loads of 140 servers.
const MAX_PUBLISHED: usize = 96;
/// Measures from which the class of a server's pace is logged.
const MIN_LOGGED_WEIGHT: f32 = 10.0;
/// The lasting pace must pass the bound of a class by this factor before a change is logged.
const CLASS_MARGIN: f32 = 1.05;

/// What was published about a server.
#[derive(Clone, Copy, Debug)]
struct Sent {
  published: Published,
  at: u64,
}

/// The paces of a group's servers, by the short hash of the server's life.
#[derive(Clone, Debug, Default)]
pub(crate) struct Paces {
  estimates: Estimates,
  sent: BTreeMap<u32, Sent>,
  /// Classes of servers, as logged.
  classes: BTreeMap<u32, Class>,
  /// When paces were last published, ms.
  published_at: u64,
  /// The last server that was published for instances that lack it.
  refreshed: u32,
}

impl Plan {
  /// The pace of a server in relation to its pool.
  pub(crate) fn pace(&self, server: server::Key) -> Pace {
    let server = self.servers.get(server).filter(|_| self.features.pace);
    server.map_or(Pace::default(), |server| {
      let life = server.spec.life().short_hash();
      self.paces.estimates.pace(self.now, life)
    })
  }

  /// The pace of the server that a life names; the median if it is unknown.
  pub fn pace_of_life(&self, life: Life) -> Pace {
    let server = self.find_server(life);
    server.map_or(Pace::default(), |server| self.pace(server))
  }

  /// Number of servers, and of units of work, whose measures are kept.
  pub fn pace_sizes(&self) -> (usize, usize) {
    self.paces.estimates.sizes()
  }

  /// Starts a term from the lasting paces that this machine knows as published by earlier holders.
  pub fn start_paces(&mut self, known: Vec<(u32, f32)>) {
    if !self.features.pace {
      return;
    }
    self.update_pace_servers();
    self.paces.sent.clear();
    self.paces.estimates.start_term(known.into_iter());
  }

  /// Updates which servers have a pace.
  pub(crate) fn update_pace_servers(&mut self) {
    if !self.features.pace {
      return;
    }
    let servers = self
      .servers
      .values()
      .map(|server| (server.spec.life().short_hash(), server.pool.number()));
    self.paces.estimates.update_servers(self.now, servers);
  }

  /// Adds the measures of an instance.
  pub(crate) fn receive_pace_samples(&mut self, now: u64, samples: &[Sample]) {
    if !self.features.pace {
      return;
    }
    for sample in samples {
      self.paces.estimates.add(now, sample);
    }
  }

  /// Finds the paces as of now, twice a second; returns those to publish: the changed ones, and some
  /// of the others in turn. Changes of holdings may be published much more often.
  pub(crate) fn due_paces(&mut self) -> Vec<Published> {
    let now = self.now;
    if !self.features.pace || now < self.paces.published_at + PUBLISH_INTERVAL_MS {
      return Vec::new();
    }
    self.paces.published_at = now;
    // Servers whose entries are missing are removed in time, without a change of the list.
    self.update_pace_servers();
    self.paces.estimates.solve(now);
    let lives: BTreeMap<u32, server::Key> = self
      .servers
      .iter()
      .map(|(key, server)| (server.spec.life().short_hash(), key))
      .collect();
    for (life, key) in &lives {
      self.log_pace_class(*life, *key);
    }
    self.paces.forget_other_than(&lives);
    self.paces.select(now, lives.keys().copied())
  }

  /// All paces that differ from the median, for an instance that knows nothing yet.
  pub(crate) fn known_paces(&self) -> Vec<Published> {
    let sent = self.paces.sent.values().map(|sent| sent.published);
    sent.take(MAX_PUBLISHED).collect()
  }

  /// Logs that a server's lasting pace has changed its class.
  fn log_pace_class(&mut self, life: u32, key: server::Key) {
    let weight = self.paces.estimates.weight(life);
    if weight < MIN_LOGGED_WEIGHT {
      return;
    }
    let lasting = self.paces.estimates.pace(self.now, life).lasting;
    let class = Class::of(lasting);
    let known = self.paces.classes.get(&life).copied();
    let known = known.unwrap_or(Class::Medium);
    let settled = [lasting * CLASS_MARGIN, lasting / CLASS_MARGIN]
      .into_iter()
      .all(|pace| Class::of(pace) == class);
    if class == known || !settled {
      return;
    }
    self.paces.classes.insert(life, class);
    let why = format!(
      "lasting pace {lasting:.2} of the pool's median: {} after {}, from {weight:.0} measures",
      class.as_str(),
      known.as_str()
    );
    let server = self.servers[key].spec.id.clone();
    self.effects.push(Effect::Log {
      what: "pace",
      server,
      model: String::new(),
      why,
    });
  }
}

impl Paces {
  fn forget_other_than(&mut self, lives: &BTreeMap<u32, server::Key>) {
    self.sent.retain(|life, _| lives.contains_key(life));
    self.classes.retain(|life, _| lives.contains_key(life));
  }

  /// Selects what to publish now, and records it as published.
  fn select(&mut self, now: u64, lives: impl Iterator<Item = u32>) -> Vec<Published> {
    let median = |life| Published::new(life, Pace::default());
    let all: Vec<Published> = lives
      .map(|life| Published::new(life, self.estimates.pace(now, life)))
      .collect();
    let is_due = |entry: &Published| {
      let sent = self.sent.get(&entry.server());
      let known = sent.map_or(median(entry.server()), |sent| sent.published);
      let repeated = sent.is_some_and(|sent| now >= sent.at + REPEAT_PASSING_MS);
      entry.has_changed(&known) || entry.is_passing() && repeated
    };
    let changed = all.iter().filter(|entry| is_due(entry));
    let mut selected: Vec<Published> = changed.take(MAX_PUBLISHED).copied().collect();
    let refreshed = self.refreshed;
    let others = all.iter().filter(|entry| **entry != median(entry.server()));
    let others: Vec<&Published> = others.collect();
    let first = others.partition_point(|entry| entry.server() <= refreshed);
    let rotated = others[first..].iter().chain(&others[..first]);
    for entry in rotated.take(others.len().div_ceil(REFRESH_PUBLICATIONS)) {
      if selected.len() >= MAX_PUBLISHED {
        break;
      }
      self.refreshed = entry.server();
      if !selected.contains(entry) {
        selected.push(**entry);
      }
    }
    for published in &selected {
      let sent = Sent {
        published: *published,
        at: now,
      };
      self.sent.insert(published.server(), sent);
    }
    selected
  }
}
