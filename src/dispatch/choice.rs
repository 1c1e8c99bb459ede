//! Which servers can take a request, and which of them does.

use super::{State, event::Descriptor};
use crate::{
  backend::{self, Backend},
  request::Ticket,
};
use rand::Rng;

/// Part of its slots by which a server that may have the prompt's start may be
/// ahead of the least loaded one, in hundredths. Reading 200 shared tokens again
/// takes some 7 ms; a request more in a batch delays all others.
const AHEAD_PERCENT: u32 = 2;
/// Load in slots that a request between availability zones is worth.
const ZONE_LOAD: u32 = 1;

impl State {
  /// Servers that could take a request now, with their load.
  pub(crate) fn candidates(&self, ticket: Ticket) -> Vec<(backend::Key, u32)> {
    let mut found: Vec<(backend::Key, u32)> = Vec::new();
    let Some(request) = self.requests.get(&ticket) else {
      return found;
    };
    let ask = &request.descriptor;
    for (key, backend) in &self.backends {
      let fits = backend.spec.pool == ask.pool
        && backend.is_usable(self.now)
        && self.is_open(backend)
        && !request.tried.contains(&key)
        && self.holds_model(backend, ask);
      if fits {
        let near = backend.spec.zone == self.zone;
        let far = if near { 0 } else { ZONE_LOAD };
        let load = backend.estimated_load(self.instances) + far;
        found.push((key, load));
      }
    }
    found
  }

  /// The server among some that a request goes to; one that was in so many crashes parts from
  /// others.
  pub(crate) fn pick_backend(
    &mut self,
    ticket: Ticket,
    found: &[(backend::Key, u32)],
    crashes: Option<u32>,
  ) -> Option<backend::Key> {
    let ask = &self.requests.get(&ticket)?.descriptor;
    if let Some(crashes) = crashes {
      return self.nearest_hash(found, ask.content.seeded_hash(crashes));
    }
    let slots = self.engine(&ask.pool).map(|engine| engine.slots);
    let least = found.iter().map(|(_, load)| *load).min()?;
    let ahead = slots.map_or(0, |slots| slots * AHEAD_PERCENT / 100);
    let near = found.iter().filter(|(_, load)| *load <= least + ahead);
    let near: Vec<(backend::Key, u32)> = near.copied().collect();
    if slots.is_some() {
      return self.nearest_hash(&near, ask.affinity);
    }
    let pick = self.rng.random_range(0..near.len());
    Some(near[pick].0)
  }

  /// The server that a seed names among some, the same one at all instances.
  fn nearest_hash(&self, found: &[(backend::Key, u32)], seed: u64) -> Option<backend::Key> {
    let best = found.iter().max_by_key(|(key, _)| {
      let id = self.backends[*key].spec.id.as_bytes();
      xxhash_rust::xxh3::xxh3_64_with_seed(id, seed)
    });
    best.map(|(key, _)| *key)
  }

  pub(crate) fn holds_model(&self, backend: &Backend, ask: &Descriptor) -> bool {
    match &ask.model {
      Some(model) => {
        let until = self.holdings_valid_until();
        backend.holds(&model.name, model.adapter.as_deref(), until, self.now)
      }
      None => true,
    }
  }
}
