//! Selects the backend server for a request.

pub mod expect;
pub mod learned;
pub(crate) mod memory;
pub mod room;

use super::{
  Request, State,
  event::{Attempt, Descriptor},
};
use crate::{
  backend::{self, Backend},
  request::Ticket,
};
use expect::{Expected, Lateness, Limits, Situation, expect, weight};
use learned::Rates;
use rand::Rng;

/// A server that may have cached the prompt's prefix is preferred while its load exceeds that of
/// the least loaded server by at most this share of its slots, in percent. Recomputing 200 shared
/// tokens takes about 7 ms, while each additional request in a batch delays all others.
const CACHE_SLACK_PERCENT: u32 = 2;
/// Load added to servers in other availability zones, in slots.
const CROSS_ZONE_LOAD: u32 = 1;

impl State {
  /// Servers that can take the request now, with their estimated load in slots.
  pub(crate) fn candidates(&self, ticket: Ticket) -> Vec<(backend::Key, u32)> {
    let mut candidates: Vec<(backend::Key, u32)> = Vec::new();
    let Some(request) = self.requests.get(&ticket) else {
      return candidates;
    };
    let descriptor = &request.descriptor;
    let urgent = self.may_exceed_bound(descriptor);
    for (key, backend) in &self.backends {
      let fits = backend.spec.pool == descriptor.pool
        && backend.is_usable(self.now)
        && self.accepts_requests(backend)
        && request.accepts_build(backend.spec.build)
        && !request.tried.contains(&key)
        && self.holds_model(backend, descriptor)
        && self.has_room(backend, urgent)
        && self.fits_memory(backend, request);
      if fits {
        let same_zone = backend.spec.zone == self.zone;
        let zone_load = if same_zone { 0 } else { CROSS_ZONE_LOAD };
        let load = backend.estimated_load(self.instances) + zone_load;
        candidates.push((key, load));
      }
    }
    candidates
  }

  /// Number of servers other than that of its current send that could take a request now.
  pub(crate) fn other_servers(&self, attempt: &Attempt) -> usize {
    let candidates = self.candidates(attempt.ticket);
    let others = candidates.iter().filter(|(key, _)| *key != attempt.backend);
    others.count()
  }

  /// Picks one of the candidates for a request. A request that was involved in crashes is isolated
  /// from other requests: its content and the number of crashes determine its server.
  pub(crate) fn pick_backend(
    &mut self,
    ticket: Ticket,
    candidates: &[(backend::Key, u32)],
    crashes: Option<u32>,
  ) -> Option<backend::Key> {
    let descriptor = &self.requests.get(&ticket)?.descriptor;
    if let Some(crashes) = crashes {
      return self.rendezvous_hash(candidates, descriptor.content.seeded_hash(crashes));
    }
    let slots = self.engine(&descriptor.pool).map(|engine| engine.slots);
    if let (true, Some(slots)) = (self.features.expected_time, slots) {
      return self.pick_by_time(ticket, candidates, slots);
    }
    let least = candidates.iter().map(|(_, load)| *load).min()?;
    let slack = slots.map_or(0, |slots| slots * CACHE_SLACK_PERCENT / 100);
    let eligible = candidates.iter().filter(|(_, load)| *load <= least + slack);
    let eligible: Vec<(backend::Key, u32)> = eligible.copied().collect();
    if slots.is_some() {
      return self.rendezvous_hash(&eligible, descriptor.affinity);
    }
    let index = self.rng.random_range(0..eligible.len());
    Some(eligible[index].0)
  }

  /// Picks a server by the expected times, among those that keep the limits if there are any. The
  /// draw is weighted, so that instances that see the same loads do not all pick the same server.
  fn pick_by_time(
    &mut self,
    ticket: Ticket,
    candidates: &[(backend::Key, u32)],
    slots: u32,
  ) -> Option<backend::Key> {
    let request = self.requests.get(&ticket)?;
    let rates = self.rates(&request.descriptor.pool);
    let tokens = self.prompt_tokens(request);
    let limits = self.limits_of(request);
    let judge = |(key, _): &(backend::Key, u32)| {
      let server = self.situation(self.backends.get(*key)?, slots);
      let expected = expect(&server, tokens, &rates);
      Some((
        *key,
        expected.ratio(&limits),
        weight(&server, &expected, &limits),
      ))
    };
    let judged: Vec<(backend::Key, f32, f32)> = candidates.iter().filter_map(judge).collect();
    let keeps_limits = judged.iter().any(|(_, ratio, _)| *ratio <= 1.0);
    let eligible = judged
      .iter()
      .filter(|(_, ratio, _)| !keeps_limits || *ratio <= 1.0);
    let eligible: Vec<(backend::Key, f32)> =
      eligible.map(|(key, _, weight)| (*key, *weight)).collect();
    self.draw(&eligible)
  }

  /// Draws a server in proportion to the weights.
  fn draw(&mut self, weights: &[(backend::Key, f32)]) -> Option<backend::Key> {
    let total: f32 = weights.iter().map(|(_, weight)| weight).sum();
    let mut remainder = self.rng.random::<f32>() * total;
    for (key, weight) in weights {
      remainder -= weight;
      if remainder < 0.0 {
        return Some(*key);
      }
    }
    weights.last().map(|(key, _)| *key)
  }

  fn limits_of(&self, request: &Request) -> Limits {
    let route = &request.descriptor.route;
    let waited_ms = self.now.saturating_sub(request.arrived);
    Limits::new(
      route.objective_ms,
      route.stream.map(|stream| stream.gap_ms),
      waited_ms,
    )
  }

  fn situation(&self, backend: &Backend, slots: u32) -> Situation {
    let load = backend.estimated_load(self.instances);
    Situation {
      slots: slots as f32,
      load: load as f32,
      load_of_others: load.saturating_sub(backend.running) as f32,
      unread_tokens: backend.unread_tokens as f32,
      pace: backend.slowness(),
      same_zone: backend.spec.zone == self.zone,
    }
  }

  /// What this instance has learned about a pool.
  fn rates(&self, pool: &str) -> Rates {
    let learned = self.learned.get(pool);
    learned.map_or_else(|| learned::Learned::default().rates(), |it| it.rates())
  }

  /// Expected times of a request at a server, for the log; `None` if they decide nothing.
  pub(crate) fn expected(&self, ticket: Ticket, key: backend::Key) -> Option<(Expected, Lateness)> {
    if !self.features.expected_time {
      return None;
    }
    let request = self.requests.get(&ticket)?;
    let slots = self.engine(&request.descriptor.pool)?.slots;
    let rates = self.rates(&request.descriptor.pool);
    let server = self.situation(self.backends.get(key)?, slots);
    let expected = expect(&server, self.prompt_tokens(request), &rates);
    let lateness = expected.lateness(&self.limits_of(request));
    self.features.expected_time.then_some((expected, lateness))
  }

  /// Learns from an arriving request.
  pub(crate) fn learn_arrival(&mut self, descriptor: &Descriptor) {
    let Some(tokens) = descriptor.tokens else {
      return;
    };
    if self.engine(&descriptor.pool).is_some() {
      let learned = self.learned.entry(descriptor.pool.clone()).or_default();
      learned.record_arrival(tokens.input, tokens.max_output, tokens.hinted_output);
    }
  }

  /// Learns from the first event of a send.
  pub(crate) fn learn_first(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let Some(backend) = request.backend.and_then(|key| self.backends.get(key)) else {
      return;
    };
    let Some(tokens) = request.descriptor.tokens else {
      return;
    };
    let first_ms = self.now.saturating_sub(request.sent) as f32;
    let pool = &request.descriptor.pool;
    if let Some(learned) = self.learned.get_mut(pool) {
      learned.record_first(first_ms, tokens.input as f32, backend.slowness());
    }
  }

  /// Learns from a complete response.
  pub(crate) fn learn_whole(&mut self, ticket: Ticket, key: backend::Key) {
    let (Some(request), Some(backend)) = (self.requests.get(&ticket), self.backends.get(key))
    else {
      return;
    };
    let duration_ms = self.now.saturating_sub(request.sent) as f32;
    let pool = &request.descriptor.pool;
    if let Some(learned) = self.learned.get_mut(pool) {
      learned.record_whole(duration_ms, backend.slowness());
    }
  }

  /// Learns from the mean gap between the events of a stream, in ms.
  pub(crate) fn learn_gap(&mut self, ticket: Ticket, gap_ms: f32) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let Some(backend) = request.backend.and_then(|key| self.backends.get(key)) else {
      return;
    };
    if let Some(learned) = self.learned.get_mut(&request.descriptor.pool) {
      learned.record_gap(gap_ms, backend.slowness());
    }
  }

  /// Rendezvous hashing: picks the same candidate for a seed on all instances.
  fn rendezvous_hash(&self, candidates: &[(backend::Key, u32)], seed: u64) -> Option<backend::Key> {
    let best = candidates.iter().max_by_key(|(key, _)| {
      let id = self.backends.get(*key).map(|backend| &backend.spec.id);
      id.map(|id| xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), seed))
    });
    best.map(|(key, _)| *key)
  }

  pub(crate) fn holds_model(&self, backend: &Backend, descriptor: &Descriptor) -> bool {
    match &descriptor.model {
      Some(model) => {
        let valid_until = self.holdings_valid_until();
        backend.holds(&model.name, model.adapter.as_deref(), valid_until, self.now)
      }
      None => true,
    }
  }
}
