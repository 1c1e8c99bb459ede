//! How slow servers are for the models that they hold, as requests find them: the part
//! of their objective that passes between a send and the first byte of its answer.

use crate::{ask::Ticket, dispatch::State};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Time over which what was seen counts by half as much, ms: some ten requests at one a
/// hundred milliseconds.
const HALF_MS: f64 = 1_000.0;
/// What a request counts that its server declined because it was full.
const FULL: f64 = 1.0;
/// A model that so many requests should have come for since the last one, and none did, is not
/// asked for any more: by chance that happens once in 20,000 times.
const OVERDUE: f64 = 10.0;
/// But not before this time, ms: some reports of its instances.
const SILENT_LEAST_MS: u64 = 1_000;
/// What one request counts at the most: a stalled one says little of the others.
const MOST: f64 = 4.0;

/// Requests of a model that were answered or declined, and their slowness.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Strain {
  pub requests: f64,
  /// Sum of the parts of their objectives.
  pub slowness: f64,
  /// The same, each times the servers at which the model was in use then.
  pub load: f64,
  /// When this was last brought up to date, ms.
  at: u64,
}

impl Strain {
  /// What was seen fades.
  fn fade(&mut self, now: u64) {
    let elapsed = now.saturating_sub(self.at) as f64;
    let rest = 0.5f64.powf(elapsed / HALF_MS);
    self.requests *= rest;
    self.slowness *= rest;
    self.load *= rest;
    self.at = now;
  }

  /// Adds what an instance saw since its last report.
  pub fn add(&mut self, now: u64, requests: f64, slowness: f64, servers: usize) {
    self.fade(now);
    self.requests += requests;
    self.slowness += slowness;
    self.load += slowness * servers as f64;
  }

  /// Servers that requests would fill, if each answered as slowly as their objectives allow;
  /// none where too few were seen to say. It stays as it is when servers come, which the mean
  /// of what was seen before they came does not.
  pub fn servers_needed(&self, now: u64) -> Option<f64> {
    let mut faded = *self;
    faded.fade(now);
    (faded.requests >= 1.0).then(|| faded.load / faded.requests)
  }

  /// Requests a second, lately.
  pub fn rate(&self, now: u64) -> f64 {
    let mut faded = *self;
    faded.fade(now);
    faded.requests * std::f64::consts::LN_2 * 1_000.0 / HALF_MS
  }

  /// Whether requests have stopped coming.
  pub fn is_idle(&self, now: u64) -> bool {
    let elapsed = now.saturating_sub(self.at);
    let expected = self.rate(self.at) * elapsed as f64 / 1_000.0;
    elapsed >= SILENT_LEAST_MS && expected > OVERDUE
  }

  /// The mean part of their objectives that requests spend at servers before an answer;
  /// none where too few were seen to say.
  pub fn mean(&self, now: u64) -> Option<f64> {
    let mut faded = *self;
    faded.fade(now);
    (faded.requests >= 1.0).then(|| faded.slowness / faded.requests)
  }
}

/// What an instance saw of a model since its last report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Sample {
  pub pool: String,
  pub model: String,
  pub requests: f32,
  pub slowness: f32,
}

/// What was seen by pool and model.
pub(crate) type Totals = BTreeMap<(String, String), (f32, f32)>;

impl State {
  /// The answer of a send has begun.
  pub(crate) fn record_answer_start(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    request.began = true;
    let objective_ms = request.ask.route.objective_ms.max(1) as f64;
    let part = self.now.saturating_sub(request.sent) as f64 / objective_ms;
    self.saw(ticket, part.min(MOST));
  }

  /// A send was declined by a full server.
  pub(crate) fn record_declined(&mut self, ticket: Ticket) {
    self.saw(ticket, FULL);
  }

  fn saw(&mut self, ticket: Ticket, part: f64) {
    let Some(ask) = self.requests.get(&ticket).map(|request| &request.ask) else {
      return;
    };
    let Some(model) = &ask.model else {
      return;
    };
    let key = (ask.pool.clone(), model.name.clone());
    let (requests, slowness) = self.strain.entry(key).or_default();
    *requests += 1.0;
    *slowness += part as f32;
  }

  /// What was seen since this was last asked, for the planner.
  pub fn take_strain(&mut self) -> Vec<Sample> {
    let book = std::mem::take(&mut self.strain);
    book
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
