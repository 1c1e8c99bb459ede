//! What callers see of models and servers, as samples that an instance reports to the planner.
//!
//! Every caller counts, not only those that got an answer: callers that left without one, and those
//! that still wait, show how slow the slowest servers are.

use crate::{
  backend::{self, short_hash},
  dispatch::State,
  request::Ticket,
  strain::MAX_SLOWNESS,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Samples of a model since the last report of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelSample {
  /// Hash of the pool and the model, see [`model_hash`].
  pub model: u32,
  pub arrivals: u32,
  /// Tokens of their prompts.
  pub tokens: u32,
  /// Tokens of prompts that were read by servers without other requests, and the time that this
  /// took on a server of median pace, ms.
  pub quiet_tokens: u32,
  pub quiet_ms: u32,
  /// Streams that ended, and those of them with a pause above the allowed gap.
  pub streams: u32,
  pub paused: u32,
  /// Callers that left before the first event.
  pub left: u32,
}

/// Samples of a server since the last report of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerSample {
  /// Short hash of the server's life.
  pub server: u32,
  pub requests: u32,
  /// Sum over the requests of the part of their objectives that had passed at their first byte, in
  /// percent.
  pub slowness_percent: u32,
  pub streams: u32,
  pub paused: u32,
}

/// All samples since the last report of an instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Samples {
  pub models: Vec<ModelSample>,
  pub servers: Vec<ServerSample>,
}

/// The hash that identifies a model of a pool in samples.
pub fn model_hash(pool: &str, model: &str) -> u32 {
  short_hash(&format!("{pool}\n{model}"))
}

/// Samples by model and by server.
#[derive(Clone, Debug, Default)]
pub(crate) struct Totals {
  models: BTreeMap<u32, ModelSample>,
  servers: BTreeMap<u32, ServerSample>,
}

/// What has been counted of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Counted {
  arrival: bool,
  /// The current send went to a server without other requests.
  quiet: bool,
  /// Since when the request waits for a server that holds its model, ms.
  waiting_since: Option<u64>,
  /// Objectives that have passed without a byte.
  objectives: u32,
}

impl State {
  fn model_sample(&mut self, ticket: Ticket) -> Option<&mut ModelSample> {
    let descriptor = &self.requests.get(&ticket)?.descriptor;
    let model = descriptor.model.as_ref()?;
    let hash = model_hash(&descriptor.pool, &model.name);
    let sample = self.samples.models.entry(hash).or_default();
    sample.model = hash;
    Some(sample)
  }

  fn server_sample(&mut self, key: backend::Key) -> Option<&mut ServerSample> {
    let server = self.backends.get(key)?.spec.life().short_hash();
    let sample = self.samples.servers.entry(server).or_default();
    sample.server = server;
    Some(sample)
  }

  /// Counts a request that asks for a server for the first time.
  pub(crate) fn count_arrival(&mut self, ticket: Ticket) {
    if !self.features.caller_strain {
      return;
    }
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if std::mem::replace(&mut request.counted.arrival, true) {
      return;
    }
    let tokens = request.descriptor.tokens.map_or(0, |tokens| tokens.input);
    if let Some(sample) = self.model_sample(ticket) {
      sample.arrivals += 1;
      sample.tokens = sample.tokens.saturating_add(tokens);
    }
  }

  /// Records whether the server of a send has no other requests.
  pub(crate) fn observe_send(&mut self, ticket: Ticket, key: backend::Key) {
    self.count_arrival(ticket);
    let backend = self.backends.get(key);
    let quiet = backend.is_some_and(|backend| backend.estimated_load(self.instances) == 0);
    if let Some(request) = self.requests.get_mut(&ticket) {
      request.counted.quiet = quiet;
      request.counted.waiting_since = None;
    }
  }

  /// Counts the first byte of a send at its server, `part` of the objective after the send.
  pub(crate) fn observe_answer(&mut self, ticket: Ticket, part: f64) {
    if !self.features.caller_strain {
      return;
    }
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let (Some(key), quiet) = (request.backend, request.counted.quiet) else {
      return;
    };
    let took_ms = self.now.saturating_sub(request.sent) as f32;
    let tokens = request.descriptor.tokens.map_or(0, |tokens| tokens.input);
    let pace = self
      .backends
      .get(key)
      .map_or(1.0, |server| server.pace.lasting);
    self.count_at_server(key, part);
    if let (true, Some(sample)) = (quiet && tokens > 0, self.model_sample(ticket)) {
      sample.quiet_tokens = sample.quiet_tokens.saturating_add(tokens);
      sample.quiet_ms += (took_ms / pace.max(f32::EPSILON)) as u32;
    }
  }

  /// Counts a request at its server that took `part` of its objective.
  pub(crate) fn count_at_server(&mut self, key: backend::Key, part: f64) {
    if !self.features.caller_strain {
      return;
    }
    if let Some(sample) = self.server_sample(key) {
      sample.requests += 1;
      sample.slowness_percent += (part * 100.0) as u32;
    }
  }

  /// Counts a stream that has ended, and whether its longest pause was above the allowed gap.
  pub(crate) fn observe_stream(&mut self, ticket: Ticket, pause_ms: u64) {
    if !self.features.caller_strain {
      return;
    }
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let gap_ms = request.descriptor.route.stream.map(|stream| stream.gap_ms);
    let (Some(gap_ms), key) = (gap_ms, request.backend) else {
      return;
    };
    self.count_stream(ticket, key, u32::from(pause_ms > gap_ms));
  }

  /// Counts a stream that another server continues, or nobody does, after a pause.
  pub(crate) fn count_paused_stream(&mut self, ticket: Ticket, key: backend::Key) {
    if self.features.caller_strain {
      self.count_stream(ticket, Some(key), 1);
    }
  }

  fn count_stream(&mut self, ticket: Ticket, key: Option<backend::Key>, paused: u32) {
    if let Some(sample) = self.model_sample(ticket) {
      sample.streams += 1;
      sample.paused += paused;
    }
    if let Some(sample) = key.and_then(|key| self.server_sample(key)) {
      sample.streams += 1;
      sample.paused += paused;
    }
  }

  /// Counts a caller that left, or whose time was over, before the first byte. Less than one
  /// objective says nothing about how long it would have taken.
  pub(crate) fn observe_departure(&mut self, ticket: Ticket) {
    if !self.features.caller_strain {
      return;
    }
    self.observe_wait(ticket);
    let started = self
      .requests
      .get(&ticket)
      .is_none_or(|request| request.response_started);
    if !started && let Some(sample) = self.model_sample(ticket) {
      sample.left += 1;
    }
  }

  /// Counts each objective that a request has waited without a byte, at a server or here for a
  /// server that holds its model.
  fn observe_wait(&mut self, ticket: Ticket) {
    let now = self.now;
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let descriptor = &request.descriptor;
    let Some(model) = descriptor
      .model
      .as_ref()
      .filter(|_| !request.response_started)
    else {
      return;
    };
    let backend = request.backend;
    let held = backend.is_some() || self.is_held(&descriptor.pool, &model.name);
    let objective_ms = descriptor.route.objective_ms.max(1);
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    let since = match (backend, held) {
      (Some(_), _) => request.sent,
      (None, true) => *request.counted.waiting_since.get_or_insert(now),
      (None, false) => {
        request.counted.waiting_since = None;
        return;
      }
    };
    let passed = (now.saturating_sub(since) / objective_ms).min(MAX_SLOWNESS as u64) as u32;
    let known = request.counted.objectives;
    if passed <= known {
      return;
    }
    request.counted.objectives = passed;
    self.add_strain(ticket, u32::from(known == 0), f64::from(passed - known));
    if let (0, Some(key)) = (known, backend) {
      self.count_at_server(key, 1.0);
    }
  }

  /// The objectives of a request that were counted while it waited for its first byte.
  pub(crate) fn counted_objectives(&self, ticket: Ticket) -> u32 {
    let request = self.requests.get(&ticket);
    request.map_or(0, |request| request.counted.objectives)
  }

  /// Counts the requests that wait now, and returns the samples since the last call, for the
  /// planner.
  pub fn take_samples(&mut self, now: u64) -> Samples {
    if !self.features.caller_strain {
      return Samples::default();
    }
    self.now = self.now.max(now);
    let tickets: Vec<Ticket> = self.requests.keys().copied().collect();
    tickets
      .into_iter()
      .for_each(|ticket| self.observe_wait(ticket));
    let totals = std::mem::take(&mut self.samples);
    Samples {
      models: totals.models.into_values().collect(),
      servers: totals.servers.into_values().collect(),
    }
  }
}
