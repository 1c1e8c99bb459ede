//! How many replicas a model has: as few as answer within their objectives, by what
//! requests see of the servers that hold it.

use crate::{
  backend::Stage,
  placement::{
    models::{self, PoolKey},
    plan::Plan,
    server::{self, Server},
  },
};
use std::collections::{BTreeMap, BTreeSet};

/// Part of their objective that requests of a model may spend at servers, in the mean,
/// before it gets a further replica: what the slowest of them see is some three times
/// the mean.
const STRAINED: f64 = 0.3;
/// And below which the other replicas can take over the requests of one.
const EASY: f64 = STRAINED / 2.0;

/// A model is forgotten that is asked for less often than this, requests a second: it says
/// nothing of its servers any more.
const FORGOTTEN: f64 = 0.01;

impl Plan {
  /// Loads further replicas of models whose servers are too slow for them, and further
  /// copies of adapters in use.
  pub(crate) fn replicate(&mut self) {
    self.even = self.rates();
    let mut seen: Vec<(models::Key, f64)> = Vec::new();
    for key in self.models.keys() {
      let strain = self.models[key].strain.as_ref();
      let Some(mean) = strain.and_then(|strain| strain.mean(self.now)) else {
        continue;
      };
      if mean >= STRAINED || self.heavy(key) {
        seen.push((key, mean));
      }
    }
    // The weight store and the servers with copies go to those that lose most.
    let loss = |(model, mean): &(models::Key, f64)| {
      let strain = self.models[*model].strain;
      mean * strain.map_or(0.0, |strain| strain.rate(self.now))
    };
    seen.sort_by(|one, two| loss(two).total_cmp(&loss(one)));
    for (model, mean) in seen {
      let entry = &self.models[model];
      let holders = self.sound_holders(model);
      let load = strain_of(entry, self.now);
      let needed = (load / STRAINED).ceil() as usize;
      let wanted = match mean >= STRAINED {
        true => needed,
        false => 2,
      };
      for _ in holders + entry.loads..wanted {
        self.load_strained(model);
      }
    }
  }

  /// One server's even share of each pool's requests, requests a second.
  fn rates(&mut self) -> BTreeMap<PoolKey, f64> {
    let mut rates: BTreeMap<PoolKey, f64> = BTreeMap::new();
    let now = self.now;
    for entry in self.models.entries_mut() {
      let Some(strain) = &entry.strain else {
        continue;
      };
      let rate = strain.rate(now);
      *rates.entry(entry.pool).or_default() += rate;
      if rate < FORGOTTEN {
        entry.strain = None;
      }
    }
    for (pool, rate) in &mut rates {
      let ready = |server: &Server| server.spec.stage == Stage::Ready;
      let servers = self.of_pool(*pool).filter(|(_, server)| ready(server));
      *rate /= servers.count().max(1) as f64;
    }
    rates
  }

  /// Whether a model gets more than one server's even share of its pool's requests: the
  /// loss of its only server would cost more callers than that of most others, so it has
  /// two replicas. Where its use over the last 15 s decided, a model that had just become
  /// the most used lost its only server unnoticed, and 780 requests were refused in 9 s;
  /// three deployments gained 0.007, 0.010 and 0.011 (18 pairs each, errors 0.005 to 0.006).
  fn heavy(&self, model: models::Key) -> bool {
    let entry = &self.models[model];
    let rate = entry.strain.map_or(0.0, |strain| strain.rate(self.now));
    let share = self.even.get(&entry.pool).copied().unwrap_or_default();
    share > 0.0 && rate > share
  }

  /// Replicas of a model at which requests run: what they see is due to these, and not to
  /// those that came a moment ago and that instances do not know of yet. While all were
  /// counted, a model that needs 15 servers got 58.
  pub(crate) fn in_use(&self, model: models::Key) -> usize {
    let holders = self.models[model].holders.iter();
    let used = holders.filter(|key| self.servers[**key].busy_with(model, &self.models));
    used.count().max(1)
  }

  /// Requests a second that a replica of a model serves and that its other replicas could not
  /// take over.
  pub(crate) fn earning(&self, model: models::Key) -> f64 {
    let Some(strain) = &self.models[model].strain else {
      return 0.0;
    };
    match strain.silent(self.now) || self.spare(model) {
      true => 0.0,
      false => strain.rate(self.now) / self.in_use(model) as f64,
    }
  }

  /// Whether the other replicas of a model can take over the requests of one.
  fn spare(&self, model: models::Key) -> bool {
    let entry = &self.models[model];
    let holders = self.sound_holders(model) as u32;
    let least = if self.heavy(model) { 2 } else { 1 };
    if holders <= self.policy(model).min_replicas.max(least) {
      return false;
    }
    if entry.strain.is_some_and(|strain| strain.silent(self.now)) {
      return true;
    }
    let mean = entry.strain.and_then(|strain| strain.mean(self.now));
    let more = f64::from(holders) / f64::from(holders - 1);
    mean.unwrap_or_default() * more < EASY
  }

  /// Models and adapters of a pool that run.
  fn running(&self, pool: PoolKey) -> BTreeSet<models::Key> {
    let servers = self.of_pool(pool);
    let keys = servers.flat_map(|(_, server)| server.running.keys());
    keys
      .flat_map(|key| [*key, self.models[*key].base])
      .collect()
  }

  /// Loads further copies of adapters in use, and adapters of models in use.
  pub(crate) fn spread_adapters(&mut self, pool: PoolKey) {
    for model in self.running(pool) {
      let base = self.models[model].base;
      match model == base {
        true => self.fetch_adapter(model),
        false => self.copy_adapter(model),
      }
    }
  }

  /// Lets the replica go that has the fewest requests, of a model that can do without.
  pub(crate) fn leave_one(&mut self, pool: PoolKey) {
    let mut best: Option<(u32, server::Key, models::Key)> = None;
    for (key, server) in self.of_pool(pool) {
      if !server.synced || server.spec.stage != Stage::Ready {
        continue;
      }
      for model in server.models.keys().copied() {
        let here = server.running_of(model, &self.models);
        let less = best.as_ref().is_none_or(|(least, ..)| here < *least);
        if less && !server.leaving.contains(&model) && self.spare(model) {
          best = Some((here, key, model));
        }
      }
    }
    let Some((running, key, model)) = best else {
      return;
    };
    self.change(key, |server, _| server.leaving.push(model));
    self.unpublished = true;
    let why = format!("{running} requests there, others carry them");
    self.note("leave", key, model, why);
  }
}

fn strain_of(entry: &models::Entry, now: u64) -> f64 {
  let strain = entry.strain.as_ref();
  strain
    .and_then(|strain| strain.servers(now))
    .unwrap_or_default()
}
