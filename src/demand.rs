//! Models that requests specify, and the number of requests waiting for each.

use crate::placement::urgency::Wait;

/// A model, with an adapter if the request specifies one.
#[derive(
  Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Model {
  pub name: String,
  pub adapter: Option<String>,
}

impl Model {
  /// Parses `MODEL` or `MODEL/ADAPTER`.
  pub fn parse(text: &str) -> Self {
    match text.split_once('/') {
      Some((name, adapter)) => Self {
        name: name.into(),
        adapter: Some(adapter.into()),
      },
      None => Self {
        name: text.into(),
        adapter: None,
      },
    }
  }
}

/// Requests that wait for a model, reported to the planner.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Demand {
  pub pool: String,
  pub model: Model,
  pub waiting: u32,
  /// Most urgent priority among them.
  pub priority: u8,
  /// Waiting time of the oldest request in milliseconds.
  pub age_ms: u64,
  /// Remaining time of the requests, grouped by similar values.
  pub waits: Vec<Wait>,
}

impl Demand {
  /// Demand without waiting requests, used to preload a model.
  pub fn preload(pool: &str, model: Model) -> Self {
    Self {
      pool: pool.into(),
      model,
      waiting: 0,
      priority: u8::MAX,
      age_ms: 0,
      waits: Vec::new(),
    }
  }

  /// Adds requests with the remaining time in `wait`.
  pub(crate) fn add(&mut self, wait: Wait) {
    self.waiting += wait.requests;
    let same_time_left = |existing: &&mut Wait| {
      existing.objective_ms == wait.objective_ms && existing.patience_ms == wait.patience_ms
    };
    match self.waits.iter_mut().find(same_time_left) {
      Some(existing) => existing.requests += wait.requests,
      None => self.waits.push(wait),
    }
  }
}
