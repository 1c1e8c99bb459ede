//! Models that requests name, and how many requests wait for each.

use crate::placement::urgency::Wait;

/// A model with the adapter that a request names.
#[derive(
  Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Model {
  pub name: String,
  pub adapter: Option<String>,
}

impl Model {
  /// The model named by `MODEL` or `MODEL/ADAPTER`.
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
  /// How long the oldest waits, ms.
  pub age_ms: u64,
  /// How much time they have left; requests that have about as much stand together.
  pub waits: Vec<Wait>,
}

impl Demand {
  /// Demand of nobody, for a load ahead of it.
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

  /// Adds requests with this much time left.
  pub(crate) fn add(&mut self, wait: Wait) {
    self.waiting += wait.requests;
    let like = |known: &&mut Wait| {
      known.objective_ms == wait.objective_ms && known.patience_ms == wait.patience_ms
    };
    match self.waits.iter_mut().find(like) {
      Some(known) => known.requests += wait.requests,
      None => self.waits.push(wait),
    }
  }
}
