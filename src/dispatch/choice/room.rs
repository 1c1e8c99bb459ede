//! Bounds what is sent beyond a server's slots; other requests wait at their instance.
//!
//! Load pattern: more demand for a model than its servers have slots. A request in a server's own
//! queue is out of reach of priorities, of other servers and of a refusal in time.

use super::super::{Descriptor, Request, State};
use crate::{
  backend::{self, Backend},
  cold::give_up_at,
  request::Ticket,
  route::Route,
  verdict::Verdict,
};
use rand::Rng;
use std::collections::BTreeMap;

/// Time in which the end of a request at a server reaches the other instances: half a report and half
/// a publication, in ms.
const PROPAGATION_MS: f32 = 250.0;
/// Largest part of a server's slots by which sends exceed them.
const MAX_MARGIN: f32 = 0.25;
/// Part of a server's slots, as a divisor, by which urgent requests exceed the bound of the others.
const URGENT_DIVISOR: u32 = 2;
/// Longest Retry-After of a request for which there is no room, in ms: room changes with replicas.
const MAX_RETRY_AFTER_MS: u64 = 5_000;

/// Returns the number of requests up to which a server gets more: its slots, and those that end
/// before instances learn of it.
pub fn bound(slots: u32, duration_ms: f32) -> u32 {
  let slots = slots as f32;
  let ended = slots * PROPAGATION_MS / duration_ms.max(1.0);
  (slots + ended.min(slots * MAX_MARGIN)).ceil() as u32
}

/// Returns how many requests of this instance may use a server's room until the next publication,
/// before rounding: its share of those that wait.
pub fn allotment(room: u32, own_waiting: u32, all_waiting: u32) -> f32 {
  let all = all_waiting.max(own_waiting).max(1) as f32;
  room as f32 * own_waiting as f32 / all
}

/// Returns after how many milliseconds the last of `waiting` requests gets a slot of servers that end
/// `ends_per_ms` requests.
pub fn wait_ms(waiting: u32, ends_per_ms: f32) -> u64 {
  (waiting as f32 / ends_per_ms.max(f32::MIN_POSITIVE)).min(1e9) as u64
}

impl State {
  fn bounds_sends(&self, pool: &str) -> bool {
    self.features.bounded_sends && self.engine(pool).is_some()
  }

  fn send_bound(&self, backend: &Backend) -> u32 {
    let slots = self.slots(backend);
    let rates = self.rates(&backend.spec.pool);
    bound(slots, rates.duration_ms * backend.slowness())
  }

  /// Number of requests that a server runs at once.
  pub(crate) fn slots(&self, backend: &Backend) -> u32 {
    let engine = self.engine(&backend.spec.pool);
    engine.map_or(backend.spec.slots, |engine| engine.slots)
  }

  /// Whether other requests to the pool are less urgent. Servers admit the more urgent first, over
  /// all instances.
  fn is_urgent(&self, descriptor: &Descriptor) -> bool {
    let deployment = self.deployment.as_ref();
    let routes = deployment.map_or(&[][..], |deployment| &deployment.routes);
    let same_pool = |route: &Route| route.parts.iter().any(|part| part.pool == descriptor.pool);
    let mut others = routes.iter().filter(|route| same_pool(route));
    others.any(|route| route.priority > descriptor.priority())
  }

  /// Whether a request may be sent beyond the bound of others.
  pub(super) fn may_exceed_bound(&self, descriptor: &Descriptor) -> bool {
    self.bounds_sends(&descriptor.pool) && self.is_urgent(descriptor)
  }

  /// Whether requests that exceed the slots of a pool's servers wait at their instances.
  fn queues_at_instances(&self, pool: &str) -> bool {
    self.bounds_sends(pool) || self.brittle.contains_pool(pool)
  }

  /// Whether another request may be sent to a server now.
  pub(super) fn has_room(&self, backend: &Backend, urgent: bool) -> bool {
    if !self.bounds_sends(&backend.spec.pool) {
      return true;
    }
    let bound = self.send_bound(backend);
    let load = backend.estimated_load(self.instances);
    if urgent {
      return load < bound + self.slots(backend) / URGENT_DIVISOR;
    }
    // While more requests wait than fit, each instance uses its share of the room.
    let added = i64::from(backend.running) - i64::from(backend.running_at_publish);
    let shared = backend.waiting > bound.saturating_sub(backend.load);
    load < bound && (!shared || added < i64::from(backend.allotment))
  }

  /// Divides the room of servers among the instances, after their loads were published, and sends
  /// what waits for it.
  pub(crate) fn divide_room(&mut self) {
    if !self.features.bounded_sends {
      return;
    }
    self.allot();
    self.dispatch_waiting();
  }

  fn allot(&mut self) {
    let own = self.own_waiting();
    let keys: Vec<backend::Key> = self.backends.keys().collect();
    for key in keys {
      let Some(backend) = self.backends.get(key) else {
        continue;
      };
      let all = self
        .published_waiting
        .get(&backend.spec.life().short_hash());
      let all = all.map_or(0, |count| u32::from(*count));
      let room = self.send_bound(backend).saturating_sub(backend.load);
      let held = |name: &&String| backend.holds(name, None, self.holdings_valid_until(), self.now);
      let pool_waiting = own
        .iter()
        .filter(|((pool, _), _)| *pool == backend.spec.pool);
      let own: u32 = pool_waiting
        .filter(|((_, name), _)| held(&name))
        .map(|(_, count)| count)
        .sum();
      // An instance where none waits may get one until the next publication.
      let share = allotment(room, own.max(1), all);
      let extra = self.rng.random::<f32>() < share.fract();
      if let Some(backend) = self.backends.get_mut(key) {
        backend.waiting = all;
        backend.allotment = share as u32 + u32::from(extra);
      }
    }
  }

  /// Number of requests that wait at this instance, by pool and model.
  fn own_waiting(&self) -> BTreeMap<(String, String), u32> {
    let mut own = BTreeMap::new();
    for request in self.waiting_requests() {
      let descriptor = &request.descriptor;
      if let Some(model) = &descriptor.model {
        *own
          .entry((descriptor.pool.clone(), model.name.clone()))
          .or_default() += 1;
      }
    }
    own
  }

  /// Returns after how long the caller of a request should retry that will get no slot before its
  /// caller leaves; `None` if the request waits.
  pub(crate) fn retry_after_room_ms(&self, request: &Request) -> Option<u64> {
    let descriptor = &request.descriptor;
    let model = descriptor.model.as_ref()?;
    if !self.queues_at_instances(&descriptor.pool) || request.verdict != Verdict::NotRun {
      return None;
    }
    let rates = self.rates(&descriptor.pool);
    let (mut ends_per_ms, mut ahead, mut all_waiting) = (0.0, 0, 0);
    for backend in self.eligible_servers(request) {
      let slots = self.engine(&descriptor.pool)?.slots;
      let duration_ms = rates.duration_ms * backend.slowness();
      ends_per_ms += slots as f32 / duration_ms.max(1.0);
      ahead += backend.estimated_load(self.instances).saturating_sub(slots);
      all_waiting = all_waiting.max(backend.waiting);
    }
    if ends_per_ms == 0.0 {
      return None;
    }
    let before = self.waiting_before(request, &model.name);
    let waiting = match self.is_urgent(descriptor) {
      true => before,
      false => before.max(all_waiting),
    };
    let wait = wait_ms(ahead + waiting, ends_per_ms);
    (self.now + wait > give_up_at(request)).then(|| wait.min(MAX_RETRY_AFTER_MS))
  }

  /// Whether a request waits although servers hold its model. The planner counts it like one that a
  /// full server declined.
  pub(crate) fn waits_for_room(&self, request: &Request) -> bool {
    self.queues_at_instances(&request.descriptor.pool)
      && request.descriptor.model.is_some()
      && self.eligible_servers(request).next().is_some()
  }

  /// Number of requests of this instance that wait for the same model and go before.
  fn waiting_before(&self, request: &Request, model: &str) -> u32 {
    let own = super::super::queue_key(request);
    let before = self.waiting.range(..own);
    let others = before.filter_map(|(.., ticket)| self.requests.get(ticket));
    let same = others.filter(|other| {
      let other = &other.descriptor;
      other.pool == request.descriptor.pool
        && other.model.as_ref().is_some_and(|it| it.name == model)
    });
    same.count() as u32
  }

  /// Whether a request of this instance waits for the same model and goes before this one.
  pub(crate) fn goes_after_waiting(&self, ticket: Ticket) -> bool {
    let Some(request) = self.requests.get(&ticket) else {
      return false;
    };
    let descriptor = &request.descriptor;
    let Some(model) = &descriptor.model else {
      return false;
    };
    self.queues_at_instances(&descriptor.pool) && self.waiting_before(request, &model.name) > 0
  }
}
