//! How many servers a model's prompts fill.
//!
//! A server that reads prompts pauses all its streams meanwhile. So a stream's longest pause depends
//! on how many prompts happen to arrive at its server within one allowed gap, long before requests
//! wait for their first byte. The rate of prompts that a server may get follows from the gap: only
//! rarely may more arrive within it than fit.

use super::{models, plan::Plan, server};
use crate::{
  backend::Stage,
  samples::{ModelSample, Samples},
};

/// Half-lives of the counts of requests, ms. The short one shows growth at once but varies by
/// chance; the long one spans about 17 requests of a server that is filled.
const SHORT_HALF_LIFE_MS: f64 = 1_000.0;
const LONG_HALF_LIFE_MS: f64 = 5_000.0;
/// Measured reading times before their quantile counts.
const MIN_READINGS: u32 = 5;
/// The quantile of reading times that counts, and the change of the estimate by one reading. A
/// server that counted as quiet may have got other requests that instances did not know of yet.
const READING_QUANTILE: f64 = 0.3;
const READING_STEP: f64 = 0.1;
/// Least part of its replicas' capacity that a model's prompts fill before it gets a further
/// replica: below it the other models there are those that need one.
const MIN_FILLED: f64 = 0.5;
/// Part of the gap that remains for prompts: the rest is the usual time between two events.
const GAP_FOR_PROMPTS: f64 = 0.8;
/// Mean number of prompts that may arrive within a gap, by the number that fit, such that more
/// arrive in 1% of the gaps (Poisson). A stream spans a few gaps.
const PROMPTS_PER_GAP: [f64; 13] = [
  0.010, 0.149, 0.436, 0.823, 1.279, 1.785, 2.330, 2.906, 3.508, 4.130, 4.771, 5.428, 6.099,
];
/// Least part of the time that a server may read prompts, where even one prompt exceeds the gap.
const MIN_READING_PART: f64 = 0.1;
/// Part of a server's streams that may pause too long, of at least this many, and the least part of
/// its capacity that remains if more do.
const MAX_PAUSED: f64 = 0.1;
const MIN_STREAMS: f64 = 8.0;
const MIN_REMAINING: f64 = 0.25;
/// Least part of a server's capacity that a model has there, whatever other models bring.
const MIN_ROOM: f64 = 0.25;
/// The room that the other replicas must have before one may go, as a multiple of the work: less
/// would add a replica again when chance brings a few more requests.
const SPARE_ROOM: f64 = 1.3;
/// A model is idle if this many requests were expected since the last one and none arrived.
const IDLE_MISSED_REQUESTS: f64 = 10.0;
/// Cost of a load on a server that its models fill already, ms: as that of evicting a model that
/// was used a moment ago.
const FILLED_COST_MS: f64 = 1_000.0;
/// Most fillings of a server that its cost counts.
const MAX_FILLED: f64 = 4.0;
/// How long a server is kept for the replica that waits for it, ms: until the next sweep renews it.
const RESERVED_MS: u64 = 100;

/// Time that quiet servers took to read a token of a prompt, as a quantile.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Reading {
  readings: u32,
  token_ms: f64,
}

impl Reading {
  fn add(&mut self, tokens: u32, ms: u32) {
    if tokens == 0 || ms == 0 {
      return;
    }
    let token_ms = f64::from(ms) / f64::from(tokens);
    self.readings += 1;
    if self.readings == 1 {
      self.token_ms = token_ms;
    }
    let step = match token_ms < self.token_ms {
      true => -READING_STEP * (1.0 - READING_QUANTILE),
      false => READING_STEP * READING_QUANTILE,
    };
    self.token_ms *= 1.0 + step;
  }

  /// Time to read a token, ms.
  fn token_ms(&self) -> Option<f64> {
    (self.readings >= MIN_READINGS).then_some(self.token_ms)
  }
}

/// What callers saw of a server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Seen {
  streams: f64,
  paused: f64,
  at: u64,
}

impl Seen {
  fn add(&mut self, now: u64, streams: u32, paused: u32) {
    let decay = decay(now, self.at, LONG_HALF_LIFE_MS);
    self.streams = self.streams * decay + f64::from(streams);
    self.paused = self.paused * decay + f64::from(paused);
    self.at = now;
  }

  /// The part of its capacity that remains for a server whose streams pause too often.
  fn remaining(&self) -> f64 {
    let part = self.paused / self.streams.max(MIN_STREAMS);
    (MAX_PAUSED / part.max(MAX_PAUSED)).max(MIN_REMAINING)
  }
}

/// The requests for a model and their prompts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Work {
  short: f64,
  long: f64,
  tokens: f64,
  reading: Reading,
  pub(crate) streams: f64,
  pub(crate) paused: f64,
  pub(crate) left: f64,
  /// When the counts were last updated, and when a request last arrived, ms.
  at: u64,
  arrived_at: u64,
  /// Part of the time of a median server that its prompts fill, as of the last sweep.
  pub(crate) filled: f64,
  /// The part that its replicas have for all models, and for it.
  pub(crate) capacity: f64,
  pub(crate) room: f64,
  /// The same without the replica that has most.
  pub(crate) spare_room: f64,
}

fn decay(now: u64, at: u64, half_life_ms: f64) -> f64 {
  0.5f64.powf(now.saturating_sub(at) as f64 / half_life_ms)
}

/// Converts a decaying count to events per second.
fn per_second(count: f64, half_life_ms: f64) -> f64 {
  count * std::f64::consts::LN_2 * 1_000.0 / half_life_ms
}

impl Work {
  fn add(&mut self, now: u64, sample: &ModelSample) {
    let (short, long) = self.decayed(now);
    let decay = decay(now, self.at, LONG_HALF_LIFE_MS);
    self.short = short + f64::from(sample.arrivals);
    self.long = long + f64::from(sample.arrivals);
    self.tokens = self.tokens * decay + f64::from(sample.tokens);
    self.streams = self.streams * decay + f64::from(sample.streams);
    self.paused = self.paused * decay + f64::from(sample.paused);
    self.left = self.left * decay + f64::from(sample.left);
    if sample.arrivals > 0 {
      self.arrived_at = now;
    }
    self.at = now;
    self.reading.add(sample.quiet_tokens, sample.quiet_ms);
  }

  fn decayed(&self, now: u64) -> (f64, f64) {
    let short = self.short * decay(now, self.at, SHORT_HALF_LIFE_MS);
    let long = self.long * decay(now, self.at, LONG_HALF_LIFE_MS);
    (short, long)
  }

  /// Requests per second: the long mean, or the short one as far as chance does not explain it.
  pub(crate) fn rate(&self, now: u64) -> f64 {
    let (short, long) = self.decayed(now);
    let certain = (short - short.sqrt()).max(0.0);
    per_second(long, LONG_HALF_LIFE_MS).max(per_second(certain, SHORT_HALF_LIFE_MS))
  }

  /// Whether requests have stopped arriving.
  pub(crate) fn is_idle(&self, now: u64) -> bool {
    let elapsed = now.saturating_sub(self.arrived_at);
    let expected = self.rate(self.arrived_at) * elapsed as f64 / 1_000.0;
    elapsed >= 1_000 && expected > IDLE_MISSED_REQUESTS
  }

  fn mean_tokens(&self) -> f64 {
    match self.long > 0.0 {
      true => self.tokens / self.long,
      false => 0.0,
    }
  }

  /// Whether its prompts exceed what its replicas have room for.
  pub(crate) fn lacks_room(&self) -> bool {
    self.filled > self.room && self.filled > self.capacity * MIN_FILLED
  }

  /// Whether the other replicas have room for the prompts of any one.
  pub(crate) fn has_spare_room(&self) -> bool {
    self.spare_room > self.filled * SPARE_ROOM
  }
}

/// Prompts per second that a server may get that reads one in `prompt_ms`, with an allowed gap of
/// `gap_ms`.
pub fn prompts_per_s(prompt_ms: f64, gap_ms: u64) -> f64 {
  let prompt_ms = prompt_ms.max(0.1);
  let gap_ms = gap_ms.max(1) as f64;
  let fit = (gap_ms * GAP_FOR_PROMPTS / prompt_ms).min(PROMPTS_PER_GAP.len() as f64 - 1.0);
  let whole = fit as usize;
  let next = PROMPTS_PER_GAP[(whole + 1).min(PROMPTS_PER_GAP.len() - 1)];
  let mean = PROMPTS_PER_GAP[whole] + (next - PROMPTS_PER_GAP[whole]) * fit.fract();
  let least = MIN_READING_PART / prompt_ms;
  (mean / gap_ms).max(least) * 1_000.0
}

impl Plan {
  /// Whether replicas follow the work of prompts.
  pub(crate) fn follows_work(&self) -> bool {
    self.features.prompt_work
  }

  pub(crate) fn apply_samples(&mut self, now: u64, samples: &Samples) {
    if !self.follows_work() {
      return;
    }
    for sample in &samples.models {
      let Some(model) = self.models.find_hash(sample.model) else {
        continue;
      };
      let pool = self.models[model].pool;
      let reading = self.readings.entry(pool).or_default();
      reading.add(sample.quiet_tokens, sample.quiet_ms);
      let work = self.models[model].work.get_or_insert_default();
      work.add(now, sample);
    }
    for sample in &samples.servers {
      if let Some(key) = self.by_short_hash(sample.server) {
        self.servers[key]
          .seen
          .add(now, sample.streams, sample.paused);
      }
    }
  }

  pub(super) fn by_short_hash(&self, server: u32) -> Option<server::Key> {
    let mut servers = self.servers.iter();
    let found = servers.find(|(_, known)| known.spec.life().short_hash() == server);
    found.map(|(key, _)| key)
  }

  /// Shortest gap that the streams of a pool allow, ms.
  fn allowed_gap_ms(&self, pool: &str) -> Option<u64> {
    let routes = self.deployment.routes.iter();
    let routes = routes.filter(|route| route.parts.iter().any(|part| part.pool == pool));
    let gaps = routes.filter_map(|route| route.stream.map(|stream| stream.gap_ms));
    gaps.filter(|gap_ms| *gap_ms > 0).min()
  }

  /// Computes how far prompts fill each server, and the room of each model's replicas.
  pub(crate) fn measure_work(&mut self) {
    let now = self.now;
    for pool in self.models.pools() {
      let measured = self.readings.get(&pool).and_then(Reading::token_ms);
      let gap_ms = self.allowed_gap_ms(&self.models.pool(pool).name);
      let (Some(token_ms), Some(gap_ms)) = (measured, gap_ms) else {
        continue;
      };
      let mut requests = 0.0;
      let mut filled = 0.0;
      let entries = self.models.entries_mut();
      for entry in entries.filter(|entry| entry.pool == pool) {
        let Some(work) = &mut entry.work else {
          continue;
        };
        let rate = work.rate(now);
        let token_ms = work.reading.token_ms().unwrap_or(token_ms);
        work.filled = rate * work.mean_tokens() * token_ms / 1_000.0;
        requests += rate;
        filled += work.filled;
      }
      if requests > 0.0 && filled > 0.0 {
        let prompt_ms = filled / requests * 1_000.0;
        self.measure_servers(pool, prompt_ms, gap_ms);
      }
    }
  }

  fn measure_servers(&mut self, pool: models::PoolKey, prompt_ms: f64, gap_ms: u64) {
    let servers = self.servers_in_pool(pool);
    let keys: Vec<server::Key> = servers.map(|(key, _)| key).collect();
    for key in &keys {
      let pace = f64::from(self.pace(*key).lasting).max(0.1);
      let server = &mut self.servers[*key];
      let remaining = server.seen.remaining();
      let rate = prompts_per_s(prompt_ms * pace, gap_ms) * remaining;
      server.capacity = rate * prompt_ms / 1_000.0;
      server.filled = 0.0;
    }
    let replicas = self.replicas_by_model(&keys);
    for (model, servers) in &replicas {
      let filled = self.models[*model].work.map_or(0.0, |work| work.filled);
      let capacity: f64 = servers.iter().map(|key| self.servers[*key].capacity).sum();
      for key in servers {
        let server = &mut self.servers[*key];
        server.filled += filled * server.capacity / capacity.max(f64::EPSILON);
      }
    }
    for (model, servers) in &replicas {
      let Some(filled) = self.models[*model].work.map(|work| work.filled) else {
        continue;
      };
      let capacity: f64 = servers.iter().map(|key| self.servers[*key].capacity).sum();
      let rooms = servers.iter().map(|key| {
        let server = &self.servers[*key];
        let own = filled * server.capacity / capacity.max(f64::EPSILON);
        let others = server.filled - own;
        (server.capacity - others).max(server.capacity * MIN_ROOM)
      });
      let rooms: Vec<f64> = rooms.collect();
      let most = rooms.iter().copied().fold(0.0, f64::max);
      if let Some(work) = &mut self.models[*model].work {
        work.capacity = capacity;
        work.room = rooms.iter().sum();
        work.spare_room = work.room - most;
      }
    }
  }

  /// The servers that hold or load each model that has work.
  fn replicas_by_model(&self, keys: &[server::Key]) -> Vec<(models::Key, Vec<server::Key>)> {
    let mut replicas: std::collections::BTreeMap<models::Key, Vec<server::Key>> =
      Default::default();
    for key in keys {
      let server = &self.servers[*key];
      if server.spec.stage != Stage::Ready {
        continue;
      }
      let held = server.models.keys().copied();
      let held = held.filter(|model| !server.leaving.contains(model));
      let loading = server.job.as_ref().map(|job| job.model);
      let loading = loading.filter(|model| !server.models.contains_key(model));
      for model in held.chain(loading) {
        if self.models[model].work.is_some() {
          replicas.entry(model).or_default().push(*key);
        }
      }
    }
    replicas.into_iter().collect()
  }

  /// Recent requests for a model per second.
  pub(crate) fn request_rate(&self, model: models::Key) -> f64 {
    let entry = &self.models[model];
    match (self.follows_work(), entry.work) {
      (true, Some(work)) => work.rate(self.now),
      _ => entry.strain.map_or(0.0, |strain| strain.rate(self.now)),
    }
  }

  /// Whether requests for a model have stopped arriving.
  pub(crate) fn is_idle(&self, model: models::Key) -> bool {
    let entry = &self.models[model];
    match (self.follows_work(), entry.work) {
      (true, Some(work)) => work.is_idle(self.now),
      _ => entry.strain.is_some_and(|strain| strain.is_idle(self.now)),
    }
  }

  /// Cost of a further replica of a model on a server, ms, by how far the server's models and this
  /// one fill it.
  pub(crate) fn work_cost_ms(&self, server: &server::Server, model: models::Key) -> u64 {
    (self.filling(server, model).min(MAX_FILLED) * FILLED_COST_MS) as u64
  }

  /// How far a server's models and a further replica of a model would fill it, as a multiple of what
  /// it may be filled.
  pub(crate) fn filling(&self, server: &server::Server, model: models::Key) -> f64 {
    if !self.follows_work() || server.capacity <= 0.0 {
      return 0.0;
    }
    let entry = &self.models[model];
    let filled = entry.work.map_or(0.0, |work| work.filled);
    let part = filled / (entry.holders.len() + entry.loads + 1) as f64;
    (server.filled + part) / server.capacity
  }

  /// Keeps a server with a copy of a model free of other loads while its order path is occupied,
  /// for a replica that serves `requests` requests.
  pub(crate) fn reserve_server(&mut self, model: models::Key, requests: f64) {
    let entry = &self.models[model];
    let candidates = entry.copies.iter().filter(|(key, _)| {
      let server = &self.servers[*key];
      let loaded = server.models.contains_key(&model);
      let other = server
        .reserved
        .is_some_and(|(other, more, until)| other != model && more >= requests && self.now < until);
      !loaded && !other && server.spec.stage == Stage::Ready && server.job.is_some()
    });
    let cost = |key: &server::Key| self.work_cost_ms(&self.servers[*key], model);
    let best = candidates.map(|(key, _)| *key).min_by_key(cost);
    if let Some(key) = best {
      self.servers[key].reserved = Some((model, requests, self.now + RESERVED_MS));
    }
  }

  /// Whether a server is kept for a replica of another model that serves more requests.
  pub(crate) fn is_reserved(
    &self,
    server: &server::Server,
    model: models::Key,
    requests: f64,
  ) -> bool {
    server
      .reserved
      .is_some_and(|(other, more, until)| other != model && more > requests && self.now < until)
  }

  /// What the number of a model's replicas was decided by, for the log.
  pub(crate) fn work_summary(&self, model: models::Key) -> String {
    let entry = &self.models[model];
    let mean = entry.strain.and_then(|strain| strain.mean(self.now));
    let Some(work) = entry.work else {
      return format!("strain {:.2}", mean.unwrap_or_default());
    };
    format!(
      "{} replicas, {:.1} requests a second, prompts fill {:.2} of {:.2}, strain {:.2}, {:.0} of {:.0} streams paused, {:.0} callers left",
      entry.holders.len(),
      work.rate(self.now),
      work.filled,
      work.room,
      mean.unwrap_or_default(),
      work.paused,
      work.streams,
      work.left
    )
  }
}
