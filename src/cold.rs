//! Requests for models that no server holds: when such a model will be ready, and whether a
//! caller waits for it or gets a Retry-After.
//!
//! A caller that would leave before the load ends is refused at once with a Retry-After, and
//! finds the model loaded when it retries. Until then its request counts as deferred demand.

use crate::{
  backend::Backend,
  demand::{Demand, Model},
  dispatch::{Descriptor, Request, State},
  life::Life,
  placement::models::Size,
  placement::urgency::Wait,
  verdict::Verdict,
};
use std::collections::BTreeMap;

/// Time from the decision to load until the load starts: announcing the model to evict,
/// unloading it and ordering the load take 25, 60 and about 10 ms.
const LOAD_START_MS: u64 = 120;
/// Time from demand to that decision: a report and a step of the planner.
const LOAD_DECISION_MS: u64 = 80;
/// Added while no planner is active: another one takes over in about this time.
const TAKEOVER_MS: u64 = 2_000;
/// Added to a Retry-After, so that the caller does not return before the end of the load has
/// been published.
const RETRY_AFTER_MARGIN_MS: u64 = 100;
/// Deferred demand counts for this long after the caller may return: callers return within a
/// few hundred milliseconds.
const DEMAND_GRACE_MS: u64 = 700;
/// Expected remaining time of a load that should have ended already.
const OVERDUE_LOAD_MS: u64 = 300;
/// Part of a caller's patience after which a waiting request is refused, so that the refusal
/// arrives before the caller leaves.
const PATIENCE_PERCENT: u64 = 90;
/// Callers abandon a stream when nothing arrives for this long, for this many latency
/// objectives or for this many allowed gaps, whichever is longest (docs/QUESTIONS.md).
const STREAM_PATIENCE_MS: u64 = 2_000;
const STREAM_OBJECTIVES: u64 = 4;
const STREAM_GAPS: u64 = 8;

/// Remaining times are rounded down to this step, so that requests that arrive together are
/// reported together and a report stays small.
const TIME_STEP_MS: u64 = 50;

/// Demand of callers that were refused with a Retry-After.
#[derive(Clone, Debug)]
pub(crate) struct Deferral {
  /// When the first of them was refused, and until when the demand counts, in ms.
  since: u64,
  until: u64,
  callers: u32,
  priority: u8,
}

/// Deferred demand by pool and model.
pub(crate) type Deferrals = BTreeMap<(String, Model), Deferral>;

/// Returns when a waiting request is given up, in ms: before its caller leaves. Callers count
/// from the last event if any has arrived.
pub(crate) fn give_up_at(request: &Request) -> u64 {
  let descriptor = &request.descriptor;
  let since = match request.response_started {
    true => request.failed_at,
    false => request.arrived,
  };
  let patience = descriptor.deadline.saturating_sub(since);
  let route = &descriptor.route;
  let stream_patience = route.stream.map_or(u64::MAX, |stream| {
    STREAM_PATIENCE_MS
      .max(route.objective_ms * STREAM_OBJECTIVES)
      .max(stream.gap_ms * STREAM_GAPS)
  });
  since + patience.min(stream_patience) * PATIENCE_PERCENT / 100
}

/// Returns how much time a waiting request has left.
fn remaining_time(request: &Request, now: u64) -> Wait {
  let remaining_ms = |until: u64| (until.saturating_sub(now) / TIME_STEP_MS * TIME_STEP_MS) as u32;
  let objective_ms = request.descriptor.route.objective_ms;
  Wait {
    requests: 1,
    objective_ms: remaining_ms(request.arrived + objective_ms),
    patience_ms: remaining_ms(give_up_at(request)),
  }
}

impl State {
  /// Returns after how long the caller of a request without a server should retry, or `None` if
  /// the request waits.
  pub(crate) fn retry_after_ms(&self, request: &Request) -> Option<u64> {
    let model = request.descriptor.model.as_ref()?;
    if request.verdict != Verdict::NotRun || self.is_held_for(request, &model.name) {
      return None;
    }
    let ready = self.ready_at(request, |_| true)?;
    (ready > give_up_at(request)).then(|| ready.saturating_sub(self.now) + RETRY_AFTER_MARGIN_MS)
  }

  /// Returns whether a server that may run a request holds a model.
  fn is_held_for(&self, request: &Request, model: &str) -> bool {
    let until = self.holdings_valid_until();
    let mut backends = self.accepting_backends(&request.descriptor.pool);
    backends.any(|backend| {
      request.accepts_build(backend.spec.build) && backend.holds(model, None, until, self.now)
    })
  }

  /// Returns whether a server that accepts work holds a model.
  pub(crate) fn is_held(&self, pool: &str, model: &str) -> bool {
    let until = self.holdings_valid_until();
    let holds = |backend: &&Backend| backend.holds(model, None, until, self.now);
    self.accepting_backends(pool).any(|backend| holds(&backend))
  }

  fn accepting_backends<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Backend> {
    let backends = self.backends.values();
    backends.filter(move |backend| backend.spec.pool == pool && !backend.is_leaving())
  }

  /// Returns when a request's model is expected to be ready on one of the eligible servers, which
  /// do not hold it yet, in ms.
  fn ready_at(&self, request: &Request, is_eligible: impl Fn(&&Backend) -> bool) -> Option<u64> {
    let descriptor = &request.descriptor;
    let model = descriptor.model.as_ref()?;
    let engine = self.engine(&descriptor.pool)?;
    let checkpoint = engine.models.get(&model.name)?;
    let is_eligible =
      |backend: &&Backend| request.accepts_build(backend.spec.build) && is_eligible(backend);
    let loading = self
      .accepting_backends(&descriptor.pool)
      .filter(&is_eligible)
      .filter_map(|backend| backend.loading.as_ref())
      .filter(|loading| loading.model == model.name)
      .map(|loading| loading.since + LOAD_START_MS + Size::of(checkpoint).load_ms(loading.tier))
      .min();
    let ready = match loading {
      Some(ready) => ready,
      None => {
        let tiers = self
          .accepting_backends(&descriptor.pool)
          .filter(&is_eligible)
          .map(|backend| backend.spec.tier(&model.name));
        let load = Size::of(checkpoint).load_ms(tiers.min()?);
        let no_planner = self.now > self.holdings_valid_until();
        let takeover = if no_planner { TAKEOVER_MS } else { 0 };
        self.demand_since(request, model) + takeover + LOAD_DECISION_MS + LOAD_START_MS + load
      }
    };
    Some(ready.max(self.now + OVERDUE_LOAD_MS * u64::from(ready < self.now)))
  }

  /// Returns when a model is expected to be ready on a server that has announced no limit and
  /// does not hold it yet, in ms, or `None` if there is no such server.
  pub(crate) fn ready_elsewhere(&self, request: &Request) -> Option<u64> {
    let descriptor = &request.descriptor;
    let model = descriptor.model.as_ref()?;
    let until = self.holdings_valid_until();
    let is_eligible = |backend: &&Backend| {
      !self.has_limit(backend)
        && !self.is_backing_off(backend)
        && !backend.holds(&model.name, None, until, self.now)
    };
    self.ready_at(request, is_eligible)
  }

  /// Returns when this instance first reported demand for a request's model, in ms.
  fn demand_since(&self, request: &Request, model: &Model) -> u64 {
    let deferral = self
      .deferrals
      .get(&(request.descriptor.pool.clone(), model.clone()));
    let deferral = deferral.filter(|deferral| self.now < deferral.until);
    deferral.map_or(request.arrived, |deferral| {
      deferral.since.min(request.arrived)
    })
  }

  /// Records the demand of a caller that is refused while its model is loaded.
  pub(crate) fn add_deferral(&mut self, descriptor: &Descriptor, retry_after: u64) {
    let Some(model) = descriptor.model.clone() else {
      return;
    };
    let now = self.now;
    self.deferrals.retain(|_, deferral| now < deferral.until);
    let deferral = self
      .deferrals
      .entry((descriptor.pool.clone(), model))
      .or_insert(Deferral {
        since: now,
        until: 0,
        callers: 0,
        priority: descriptor.priority(),
      });
    deferral.until = deferral.until.max(now + retry_after + DEMAND_GRACE_MS);
    deferral.callers += 1;
    deferral.priority = deferral.priority.min(descriptor.priority());
  }

  /// Adds the demand of callers that were refused with a Retry-After.
  pub(crate) fn add_deferred_demand(
    &self,
    now: u64,
    demand: &mut BTreeMap<(String, Model), Demand>,
  ) {
    for ((pool, model), deferral) in self
      .deferrals
      .iter()
      .filter(|(_, deferral)| now < deferral.until)
    {
      let entry = demand
        .entry((pool.clone(), model.clone()))
        .or_insert_with(|| Demand {
          priority: deferral.priority,
          ..Demand::preload(pool, model.clone())
        });
      entry.add(Wait {
        requests: deferral.callers,
        objective_ms: 0,
        patience_ms: (deferral.until - now) as u32,
      });
      entry.priority = entry.priority.min(deferral.priority);
      entry.age_ms = entry.age_ms.max(now.saturating_sub(deferral.since));
    }
  }

  /// Returns servers that recently declined requests for a model that they should hold, for the
  /// planner.
  pub fn missing(&self, now: u64) -> Vec<(Life, String)> {
    let backends = self.backends.values();
    let found = backends.flat_map(|backend| {
      let names = backend
        .missing
        .iter()
        .filter(move |(_, missing)| now < missing.until);
      names.map(|(name, _)| (backend.spec.life(), Model::parse(name).name))
    });
    found.collect()
  }

  /// Returns the demand of waiting and refused requests by model, for the planner.
  pub fn demand(&self, now: u64) -> Vec<Demand> {
    let mut demand: BTreeMap<(String, Model), Demand> = BTreeMap::new();
    for (priority, _, ticket) in &self.waiting {
      let Some(request) = self.requests.get(ticket) else {
        continue;
      };
      let Some(model) = &request.descriptor.model else {
        continue;
      };
      let key = (request.descriptor.pool.clone(), model.clone());
      let age_ms = now.saturating_sub(request.arrived);
      let entry = demand.entry(key).or_insert_with(|| Demand {
        priority: *priority,
        ..Demand::preload(&request.descriptor.pool, model.clone())
      });
      entry.add(remaining_time(request, now));
      entry.priority = entry.priority.min(*priority);
      entry.age_ms = entry.age_ms.max(age_ms);
    }
    self.add_deferred_demand(now, &mut demand);
    demand.into_values().collect()
  }
}
