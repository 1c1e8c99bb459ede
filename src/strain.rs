//! How slow servers are for the models that they hold, as measured by requests: the part of
//! their latency objective that passes between a send and the first byte of its answer.

use crate::{backend, dispatch::State, request::Ticket};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Half-life of samples; it spans about ten requests at one per 100 ms.
const HALF_LIFE_MS: f64 = 1_000.0;
/// Slowness of a request that its server declined because it was full.
const FULL_SLOWNESS: f64 = 1.0;
/// A model is idle if this many requests were expected since the last one and none arrived. By
/// chance this happens once in 20,000 times.
const IDLE_MISSED_REQUESTS: f64 = 10.0;
/// A model is not idle before this time, in which several reports of its instances arrive.
const MIN_IDLE_MS: u64 = 1_000;
/// Highest slowness of one request: a stalled request says little about the others.
pub(crate) const MAX_SLOWNESS: f64 = 4.0;

/// Requests for a model that were answered or declined, and their slowness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Strain {
  pub requests: f64,
  /// Sum over the requests, each as a part of its latency objective.
  pub slowness: f64,
  /// The same sum, each part multiplied by the number of servers that used the model then.
  pub load: f64,
  /// When the sums were last updated, in ms.
  at: u64,
}

impl Strain {
  /// Reduces the weight of past samples by the elapsed time.
  fn decay(&mut self, now: u64) {
    let elapsed = now.saturating_sub(self.at) as f64;
    let factor = 0.5f64.powf(elapsed / HALF_LIFE_MS);
    self.requests *= factor;
    self.slowness *= factor;
    self.load *= factor;
    self.at = now;
  }

  /// Adds the samples of one report of an instance.
  pub fn add(&mut self, now: u64, requests: f64, slowness: f64, servers: usize) {
    self.decay(now);
    self.requests += requests;
    self.slowness += slowness;
    self.load += slowness * servers as f64;
  }

  /// Returns how many servers the requests would fill if each server answered as slowly as the
  /// objectives allow, or `None` after too few requests. Unlike the mean slowness, this figure
  /// does not change when servers are added.
  pub fn servers_needed(&self, now: u64) -> Option<f64> {
    let mut decayed = *self;
    decayed.decay(now);
    (decayed.requests >= 1.0).then(|| decayed.load / decayed.requests)
  }

  /// Returns the recent rate of requests per second.
  pub fn rate(&self, now: u64) -> f64 {
    let mut decayed = *self;
    decayed.decay(now);
    decayed.requests * std::f64::consts::LN_2 * 1_000.0 / HALF_LIFE_MS
  }

  /// Returns whether requests have stopped arriving.
  pub fn is_idle(&self, now: u64) -> bool {
    let elapsed = now.saturating_sub(self.at);
    let expected = self.rate(self.at) * elapsed as f64 / 1_000.0;
    elapsed >= MIN_IDLE_MS && expected > IDLE_MISSED_REQUESTS
  }

  /// Returns the mean part of their objectives for which requests wait at servers for an answer,
  /// or `None` after too few requests.
  pub fn mean(&self, now: u64) -> Option<f64> {
    let mut decayed = *self;
    decayed.decay(now);
    (decayed.requests >= 1.0).then(|| decayed.slowness / decayed.requests)
  }
}

/// Requests for a model since the last report of an instance, and the sum of their slowness.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
  pub pool: String,
  pub model: String,
  pub requests: f32,
  pub slowness: f32,
}

/// Number of requests and sum of their slowness, by pool and model.
pub(crate) type Totals = BTreeMap<(String, String), (f32, f32)>;

impl State {
  /// Records that the answer of a send has begun.
  pub(crate) fn record_answer_start(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    request.response_started = true;
    let objective_ms = request.descriptor.route.objective_ms.max(1) as f64;
    let part_of_objective = self.now.saturating_sub(request.sent) as f64 / objective_ms;
    self.record_slowness(ticket, part_of_objective.min(MAX_SLOWNESS));
    self.observe_answer(ticket, part_of_objective.min(MAX_SLOWNESS));
  }

  /// Records that a full server declined a send.
  pub(crate) fn record_declined(&mut self, ticket: Ticket, key: backend::Key) {
    self.record_slowness(ticket, FULL_SLOWNESS);
    self.count_at_server(key, FULL_SLOWNESS);
  }

  /// Records that the servers that hold a request's model have no room for it.
  pub(crate) fn record_no_room(&mut self, ticket: Ticket) {
    self.record_slowness(ticket, FULL_SLOWNESS);
  }

  /// Records a request, less what was counted of it while it waited.
  fn record_slowness(&mut self, ticket: Ticket, part_of_objective: f64) {
    let counted = self.counted_objectives(ticket);
    let more = part_of_objective - f64::from(counted);
    self.add_strain(ticket, u32::from(counted == 0), more.max(0.0));
  }

  pub(crate) fn add_strain(&mut self, ticket: Ticket, requests: u32, part_of_objective: f64) {
    let Some(descriptor) = self
      .requests
      .get(&ticket)
      .map(|request| &request.descriptor)
    else {
      return;
    };
    let Some(model) = &descriptor.model else {
      return;
    };
    let key = (descriptor.pool.clone(), model.name.clone());
    let (total, slowness) = self.strain.entry(key).or_default();
    *total += requests as f32;
    *slowness += part_of_objective as f32;
  }

  /// Returns the samples since the last call, for the planner.
  pub fn take_strain(&mut self) -> Vec<Sample> {
    let totals = std::mem::take(&mut self.strain);
    totals
      .into_iter()
      .map(|((pool, model), (requests, slowness))| Sample {
        pool,
        model,
        requests,
        slowness,
      })
      .collect()
  }
}
