//! Selects the backend server for a request.

use super::{State, event::Descriptor};
use crate::{
  backend::{self, Backend},
  request::Ticket,
};
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
    for (key, backend) in &self.backends {
      let fits = backend.spec.pool == descriptor.pool
        && backend.is_usable(self.now)
        && self.accepts_requests(backend)
        && !request.tried.contains(&key)
        && self.holds_model(backend, descriptor);
      if fits {
        let same_zone = backend.spec.zone == self.zone;
        let zone_load = if same_zone { 0 } else { CROSS_ZONE_LOAD };
        let load = backend.estimated_load(self.instances) + zone_load;
        candidates.push((key, load));
      }
    }
    candidates
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

  /// Rendezvous hashing: picks the same candidate for a seed on all instances.
  fn rendezvous_hash(&self, candidates: &[(backend::Key, u32)], seed: u64) -> Option<backend::Key> {
    let best = candidates.iter().max_by_key(|(key, _)| {
      let id = self.backends[*key].spec.id.as_bytes();
      xxhash_rust::xxh3::xxh3_64_with_seed(id, seed)
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
