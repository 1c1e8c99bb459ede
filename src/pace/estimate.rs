//! Separates the pace of servers from the duration of units of work.
//!
//! Load pattern: few measures of each pair of server and model, models that differ by a factor of
//! three, servers that differ by about as much, and slowdowns that pass. The logarithm of a
//! duration is the server's pace plus the model's own part, so both are found by alternating
//! weighted means over the pairs. Models that are slow by themselves then do not make their servers
//! look slow.

use super::{Pace, Sample};
use slotmap::SlotMap;
use std::collections::{BTreeMap, HashMap};

slotmap::new_key_type! {
  struct UnitKey;
}

/// Half-life of measures in the lasting pace, ms: a server keeps its pace for most of its life, and
/// one that gets no work is tried again after some minutes.
const LASTING_HALF_LIFE_MS: f32 = 120_000.0;
/// Half-life of measures in the current pace, ms: slowdowns take some hundred ms to seconds.
const CURRENT_HALF_LIFE_MS: f32 = 1_000.0;
/// Weight of the median in the lasting pace, in measures, and of the lasting pace in the current
/// one.
const MEDIAN_WEIGHT: f32 = 2.0;
const LASTING_WEIGHT: f32 = 3.0;
/// Maximum weight of the pace that an earlier holder found, in measures: it is replaced if it is
/// wrong.
const SEED_WEIGHT: f32 = 10.0;
/// A measure farther than this from what is expected counts as this far, in logarithms (a factor of
/// 1.5): a slowdown of 2.5 times for 15% of the time moves the lasting pace by 6%, and a lasting
/// change is still followed.
const MAX_DEVIATION: f32 = 0.4;
/// Weights from which a deviation is judged: before, what is expected is unknown.
const MIN_SERVER_WEIGHT: f32 = 6.0;
const MIN_UNIT_WEIGHT: f32 = 6.0;
/// A current pace within this of the lasting one equals it, in logarithms (a factor of 1.28): three
/// times the noise of its mean.
const MIN_PASSING: f32 = 0.25;
/// Servers with less weight do not count for the median of their pool.
const MIN_MEDIAN_WEIGHT: f32 = 3.0;
/// A pair with less weight is forgotten.
const MIN_PAIR_WEIGHT: f32 = 0.05;
/// Maximum units of one server; a server holds two or three models at a time.
const MAX_PAIRS: usize = 12;
/// Time for which a server is kept whose entry is missing, ms: entries that expire during a store
/// outage come back within seconds, some after a minute.
const UNLISTED_TTL_MS: u64 = 120_000;
/// Alternations for each solution; further ones follow with the next.
const ROUNDS: usize = 2;

/// Measures of one unit on one server.
#[derive(Clone, Copy, Debug)]
struct Pair {
  unit: UnitKey,
  weight: f32,
  /// Weighted sum of logarithms of durations.
  sum: f32,
}

#[derive(Clone, Debug)]
struct Server {
  pool: u16,
  pairs: Vec<Pair>,
  /// Logarithm of the lasting pace, and the weight of its measures.
  lasting: f32,
  weight: f32,
  /// What an earlier holder published, and its weight.
  seed: f32,
  seed_weight: f32,
  /// Sum and weight of recent logarithms of durations in relation to their units, and the time to
  /// which they were decayed.
  recent: f32,
  recent_weight: f32,
  recent_at: u64,
  /// Since when its entry is missing.
  unlisted_since: Option<u64>,
}

/// Duration of a unit of work on a server of median pace, in logarithms of ms.
#[derive(Clone, Copy, Debug, Default)]
struct Unit {
  hash: u32,
  pool: u16,
  value: f32,
  weight: f32,
  /// Sums of the current alternation.
  sum: f32,
  sum_weight: f32,
}

/// The paces of all servers of a group, by the short hash of their lives.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
  servers: BTreeMap<u32, Server>,
  units: SlotMap<UnitKey, Unit>,
  by_hash: HashMap<u32, UnitKey>,
  solved_at: u64,
}

impl Server {
  fn new(pool: u16) -> Self {
    Self {
      pool,
      pairs: Vec::new(),
      lasting: 0.0,
      weight: 0.0,
      seed: 0.0,
      seed_weight: 0.0,
      recent: 0.0,
      recent_weight: 0.0,
      recent_at: 0,
      unlisted_since: None,
    }
  }

  fn decay_recent(&mut self, now: u64) {
    let elapsed = now.saturating_sub(self.recent_at) as f32;
    let factor = 0.5f32.powf(elapsed / CURRENT_HALF_LIFE_MS);
    self.recent *= factor;
    self.recent_weight *= factor;
    self.recent_at = now;
  }

  fn add_to_pair(&mut self, unit: UnitKey, ln_ms: f32, count: f32) {
    if let Some(pair) = self.pairs.iter_mut().find(|pair| pair.unit == unit) {
      pair.weight += count;
      pair.sum += ln_ms * count;
      return;
    }
    let pair = Pair {
      unit,
      weight: count,
      sum: ln_ms * count,
    };
    if self.pairs.len() < MAX_PAIRS {
      return self.pairs.push(pair);
    }
    let lightest = self
      .pairs
      .iter_mut()
      .min_by(|one, two| one.weight.total_cmp(&two.weight));
    if let Some(lightest) = lightest {
      *lightest = pair;
    }
  }

  /// Difference of the current pace from the lasting one, in logarithms.
  fn passing(&self, now: u64) -> f32 {
    let elapsed = now.saturating_sub(self.recent_at) as f32;
    let factor = 0.5f32.powf(elapsed / CURRENT_HALF_LIFE_MS);
    let (sum, weight) = (self.recent * factor, self.recent_weight * factor);
    let difference = (sum - weight * self.lasting) / (weight + LASTING_WEIGHT);
    if difference.abs() < MIN_PASSING {
      0.0
    } else {
      difference
    }
  }
}

impl Estimates {
  /// Updates which servers there are: the short hash of each life, and a number for its pool. A
  /// server whose entry is missing is kept for a while; its next life starts at the median.
  pub fn update_servers(&mut self, now: u64, servers: impl Iterator<Item = (u32, u16)>) {
    let mut unlisted: Vec<u32> = Vec::new();
    let listed: BTreeMap<u32, u16> = servers.collect();
    for (life, server) in &mut self.servers {
      if !listed.contains_key(life) {
        let since = *server.unlisted_since.get_or_insert(now);
        if now >= since + UNLISTED_TTL_MS {
          unlisted.push(*life);
        }
      }
    }
    for life in unlisted {
      self.servers.remove(&life);
    }
    for (life, pool) in listed {
      let server = self
        .servers
        .entry(life)
        .or_insert_with(|| Server::new(pool));
      server.unlisted_since = None;
    }
  }

  /// Starts a term from the lasting paces that an earlier holder published. Own measures from an
  /// earlier term are older than these.
  pub fn start_term(&mut self, seeds: impl Iterator<Item = (u32, f32)>) {
    let seeds: BTreeMap<u32, f32> = seeds.collect();
    self.units.clear();
    self.by_hash.clear();
    for (life, server) in &mut self.servers {
      let seed = seeds.get(life).map(|lasting| lasting.ln());
      *server = Server {
        seed: seed.unwrap_or_default(),
        seed_weight: if seed.is_some() { SEED_WEIGHT } else { 0.0 },
        lasting: seed.unwrap_or_default(),
        unlisted_since: server.unlisted_since,
        ..Server::new(server.pool)
      };
    }
  }

  /// Adds the measures of an instance.
  pub fn add(&mut self, now: u64, sample: &Sample) {
    let Some(server) = self.servers.get_mut(&sample.server()) else {
      return;
    };
    let (ln_ms, count) = (sample.ln_ms(), f32::from(sample.count));
    let (hash, pool) = (sample.unit(), server.pool);
    let units = &mut self.units;
    let key = *self.by_hash.entry(hash).or_insert_with(|| {
      units.insert(Unit {
        hash,
        pool,
        value: ln_ms - server.lasting,
        ..Unit::default()
      })
    });
    let unit = &mut units[key];
    unit.weight += count;
    server.decay_recent(now);
    server.recent += (ln_ms - unit.value) * count;
    server.recent_weight += count;
    let expected = unit.value + server.lasting;
    let measured = server.weight + server.seed_weight;
    let judged = measured >= MIN_SERVER_WEIGHT && unit.weight >= MIN_UNIT_WEIGHT;
    let bounded = match judged {
      true => ln_ms.clamp(expected - MAX_DEVIATION, expected + MAX_DEVIATION),
      false => ln_ms,
    };
    server.weight += count;
    server.add_to_pair(key, bounded, count);
  }

  /// Finds the paces that fit the measures best.
  pub fn solve(&mut self, now: u64) {
    self.decay(now);
    for _ in 0..ROUNDS {
      self.solve_units();
      self.solve_servers();
      self.normalise();
    }
  }

  fn decay(&mut self, now: u64) {
    let elapsed = now.saturating_sub(self.solved_at) as f32;
    let factor = 0.5f32.powf(elapsed / LASTING_HALF_LIFE_MS);
    self.solved_at = now;
    for server in self.servers.values_mut() {
      server.seed_weight *= factor;
      for pair in &mut server.pairs {
        pair.weight *= factor;
        pair.sum *= factor;
      }
      server.pairs.retain(|pair| pair.weight >= MIN_PAIR_WEIGHT);
      server.weight = server.pairs.iter().map(|pair| pair.weight).sum();
    }
  }

  fn solve_units(&mut self) {
    for unit in self.units.values_mut() {
      (unit.sum, unit.sum_weight) = (0.0, 0.0);
    }
    for server in self.servers.values() {
      for pair in &server.pairs {
        let unit = &mut self.units[pair.unit];
        unit.sum += pair.sum - pair.weight * server.lasting;
        unit.sum_weight += pair.weight;
      }
    }
    let by_hash = &mut self.by_hash;
    self.units.retain(|_, unit| {
      let used = unit.sum_weight > 0.0;
      if used {
        unit.value = unit.sum / unit.sum_weight;
        unit.weight = unit.sum_weight;
      } else {
        by_hash.remove(&unit.hash);
      }
      used
    });
  }

  fn solve_servers(&mut self) {
    for server in self.servers.values_mut() {
      let units = &self.units;
      let pairs = server.pairs.iter();
      let sum: f32 = pairs
        .map(|pair| pair.sum - pair.weight * units[pair.unit].value)
        .sum();
      let weight = server.weight + server.seed_weight + MEDIAN_WEIGHT;
      server.lasting = (sum + server.seed * server.seed_weight) / weight;
    }
  }

  /// Shifts the paces so that each pool's median is 0 in logarithms.
  fn normalise(&mut self) {
    let mut pools: BTreeMap<u16, Vec<f32>> = BTreeMap::new();
    for server in self.servers.values() {
      let measured = server.weight + server.seed_weight >= MIN_MEDIAN_WEIGHT;
      if measured && server.unlisted_since.is_none() {
        pools.entry(server.pool).or_default().push(server.lasting);
      }
    }
    let medians: BTreeMap<u16, f32> = pools
      .into_iter()
      .map(|(pool, mut paces)| {
        let middle = paces.len() / 2;
        let (_, median, _) = paces.select_nth_unstable_by(middle, f32::total_cmp);
        (pool, *median)
      })
      .collect();
    for server in self.servers.values_mut() {
      let measured = server.weight + server.seed_weight > 0.0;
      if let Some(median) = medians.get(&server.pool).filter(|_| measured) {
        server.lasting -= median;
      }
    }
    for unit in self.units.values_mut() {
      unit.value += medians.get(&unit.pool).copied().unwrap_or_default();
    }
  }

  /// The pace of a server; the median if it is unknown.
  pub fn pace(&self, now: u64, life: u32) -> Pace {
    let Some(server) = self.servers.get(&life) else {
      return Pace::default();
    };
    Pace {
      lasting: server.lasting.exp(),
      current: (server.lasting + server.passing(now)).exp(),
    }
  }

  /// Weight of the measures behind a server's lasting pace, with those of earlier holders.
  pub fn weight(&self, life: u32) -> f32 {
    let server = self.servers.get(&life);
    server.map_or(0.0, |server| server.weight + server.seed_weight)
  }

  /// Number of servers, and of units of work, that are kept.
  pub fn sizes(&self) -> (usize, usize) {
    (self.servers.len(), self.units.len())
  }
}
