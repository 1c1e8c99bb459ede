//! Requests for models that no server holds: when such a model will be ready, and
//! whether a caller waits for it or gets a Retry-After.
//!
//! A caller that would leave before the load ends is refused at once with a Retry-After, and comes back to
//! a loaded model. What it wants counts as demand until then.

use crate::{
  backend::Backend,
  demand::{Demand, Model},
  dispatch::{Ask, Request, State},
  life::Life,
  placement::models::Size,
  placement::urgency::Wait,
  verdict::Verdict,
};
use std::collections::BTreeMap;

/// From a decision to load to its begin, ms: word of what gives way, its unload and the
/// order take 25, 60 and some 10.
const LEAD_MS: u64 = 120;
/// From demand to that decision, ms: a report and a step of the planner.
const DECISION_MS: u64 = 80;
/// Added where no planner is heard of, ms: another one takes over in about this time.
const TAKEOVER_MS: u64 = 2_000;
/// Added to the time after which a caller may come back, ms: it should not come before
/// the word of the load's end.
const MARGIN_MS: u64 = 100;
/// What a caller that was refused wants counts as demand for this long after it may
/// come back, ms: callers come back within some hundred.
const STAY_MS: u64 = 700;
/// A load that should be over may take this much longer, ms.
const LATE_MS: u64 = 300;
/// Part of a caller's patience after which a request that waits is refused, in
/// hundredths: its answer should arrive before the caller leaves.
const PATIENCE_PERCENT: u64 = 90;
/// Callers give a stream up when nothing comes for this long, ms, or for this many
/// objectives, or pauses allowed, whichever is longest (docs/QUESTIONS.md).
const STREAM_PATIENCE_MS: u64 = 2_000;
const STREAM_OBJECTIVES: u64 = 4;
const STREAM_GAPS: u64 = 8;

/// Time left is reported in steps of this many ms: requests that arrive together stand
/// together, and a report stays small.
const STEP_MS: u64 = 50;

/// What callers want that were sent away with a Retry-After.
#[derive(Clone, Debug)]
pub(crate) struct Want {
  /// When the first of them asked, and until when it counts, ms.
  since: u64,
  until: u64,
  callers: u32,
  priority: u8,
}

/// Wants by pool and model.
pub(crate) type Deferrals = BTreeMap<(String, Model), Want>;

/// When a request that waits is given up, ms: before its caller leaves, who counts from the
/// last event where some have come.
pub(crate) fn give_up_at(request: &Request) -> u64 {
  let ask = &request.ask;
  let since = match request.began {
    true => request.broke,
    false => request.arrived,
  };
  let whole = ask.until.saturating_sub(since);
  let route = &ask.route;
  let silence = route.stream.map_or(u64::MAX, |stream| {
    STREAM_PATIENCE_MS
      .max(route.objective_ms * STREAM_OBJECTIVES)
      .max(stream.gap_ms * STREAM_GAPS)
  });
  since + whole.min(silence) * PATIENCE_PERCENT / 100
}

/// How much time a waiting request has left.
fn wait(request: &Request, now: u64) -> Wait {
  let left = |until: u64| (until.saturating_sub(now) / STEP_MS * STEP_MS) as u32;
  let objective_ms = request.ask.route.objective_ms;
  Wait {
    requests: 1,
    objective_ms: left(request.arrived + objective_ms),
    patience_ms: left(give_up_at(request)),
  }
}

impl State {
  /// For a request that finds no server: after how long its caller should come back,
  /// ms; none: it waits.
  pub(crate) fn retry_after_ms(&self, request: &Request) -> Option<u64> {
    let model = request.ask.model.as_ref()?;
    if request.verdict != Verdict::NotRun || self.held(&request.ask.pool, &model.name) {
      return None;
    }
    let ready = self.ready_at(request, |_| true)?;
    (ready > give_up_at(request)).then(|| ready.saturating_sub(self.now) + MARGIN_MS)
  }

  /// Whether a server that takes work holds a model.
  fn held(&self, pool: &str, model: &str) -> bool {
    let until = self.current_until();
    let holds = |backend: &&Backend| backend.holds(model, None, until, self.now);
    self.working(pool).any(|backend| holds(&backend))
  }

  fn working<'a>(&'a self, pool: &'a str) -> impl Iterator<Item = &'a Backend> {
    let backends = self.backends.values();
    backends.filter(move |backend| backend.spec.pool == pool && !backend.is_leaving())
  }

  /// When a model can be used at one of some servers that do not hold it, as far as known, ms.
  fn ready_at(&self, request: &Request, open: impl Fn(&&Backend) -> bool) -> Option<u64> {
    let ask = &request.ask;
    let model = ask.model.as_ref()?;
    let engine = self.engine(&ask.pool)?;
    let checkpoint = engine.models.get(&model.name)?;
    let loading = self
      .working(&ask.pool)
      .filter(&open)
      .filter_map(|backend| backend.loading.as_ref())
      .filter(|loading| loading.model == model.name)
      .map(|loading| loading.since + LEAD_MS + Size::of(checkpoint).load_ms(loading.tier))
      .min();
    let ready = match loading {
      Some(ready) => ready,
      None => {
        let tiers = self
          .working(&ask.pool)
          .filter(&open)
          .map(|backend| backend.spec.tier(&model.name));
        let load = Size::of(checkpoint).load_ms(tiers.min()?);
        let silent = self.now > self.current_until();
        let takeover = if silent { TAKEOVER_MS } else { 0 };
        self.wanted_since(request, model) + takeover + DECISION_MS + LEAD_MS + load
      }
    };
    Some(ready.max(self.now + LATE_MS * u64::from(ready < self.now)))
  }

  /// When a model can be used at a server that has named no limit and does not hold it yet, as
  /// far as known, ms; none: there is no such server.
  pub(crate) fn ready_elsewhere(&self, request: &Request) -> Option<u64> {
    let ask = &request.ask;
    let model = ask.model.as_ref()?;
    let until = self.current_until();
    let open = |backend: &&Backend| {
      !self.in_need(backend)
        && !self.rests(backend)
        && !backend.holds(&model.name, None, until, self.now)
    };
    self.ready_at(request, open)
  }

  /// When the planner first heard of a request's model from here, ms.
  fn wanted_since(&self, request: &Request, model: &Model) -> u64 {
    let want = self.wants.get(&(request.ask.pool.clone(), model.clone()));
    let want = want.filter(|want| self.now < want.until);
    want.map_or(request.arrived, |want| want.since.min(request.arrived))
  }

  /// A caller goes with the promise that its model is being loaded.
  pub(crate) fn add_deferral(&mut self, ask: &Ask, retry_after: u64) {
    let Some(model) = ask.model.clone() else {
      return;
    };
    let now = self.now;
    self.wants.retain(|_, want| now < want.until);
    let want = self.wants.entry((ask.pool.clone(), model)).or_insert(Want {
      since: now,
      until: 0,
      callers: 0,
      priority: ask.priority(),
    });
    want.until = want.until.max(now + retry_after + STAY_MS);
    want.callers += 1;
    want.priority = want.priority.min(ask.priority());
  }

  /// Adds to the demand what callers want that were sent away with a Retry-After.
  pub(crate) fn add_wants(&self, now: u64, demand: &mut BTreeMap<(String, Model), Demand>) {
    for ((pool, model), want) in self.wants.iter().filter(|(_, want)| now < want.until) {
      let entry = demand
        .entry((pool.clone(), model.clone()))
        .or_insert_with(|| Demand {
          priority: want.priority,
          ..Demand::ahead(pool, model.clone())
        });
      entry.add(Wait {
        requests: want.callers,
        objective_ms: 0,
        patience_ms: (want.until - now) as u32,
      });
      entry.priority = entry.priority.min(want.priority);
      entry.age_ms = entry.age_ms.max(now.saturating_sub(want.since));
    }
  }

  /// Servers that lately declined requests for a model that they should hold, for the
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

  /// Waiting requests by model, for the planner.
  pub fn demand(&self, now: u64) -> Vec<Demand> {
    let mut demand: BTreeMap<(String, Model), Demand> = BTreeMap::new();
    for (priority, _, ticket) in &self.waiting {
      let Some(request) = self.requests.get(ticket) else {
        continue;
      };
      let Some(model) = &request.ask.model else {
        continue;
      };
      let key = (request.ask.pool.clone(), model.clone());
      let age_ms = now.saturating_sub(request.arrived);
      let entry = demand.entry(key).or_insert_with(|| Demand {
        priority: *priority,
        ..Demand::ahead(&request.ask.pool, model.clone())
      });
      entry.add(wait(request, now));
      entry.priority = entry.priority.min(*priority);
      entry.age_ms = entry.age_ms.max(age_ms);
    }
    self.add_wants(now, &mut demand);
    demand.into_values().collect()
  }
}
