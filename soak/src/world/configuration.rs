//! The configuration in force, and what servers do under it.

use super::{World, lock};
use crate::switch::Break;
use platform_stand_in::{
  deployment::{MODELS, config, route},
  runner::Mood,
  store::Store,
};
use serde_json::{Value, json};
use std::time::Duration;

/// The model whose replicas a policy bounds.
pub(super) const BOUNDED: &str = MODELS[0];
/// Most replicas of the bounded model.
const REPLICAS: u32 = 2;

/// Writes the policy that bounds the replicas of `BOUNDED`.
pub(super) fn bound(store: &Store) {
  let spec = json!({ "models": { "matchLabels": { "model": BOUNDED } },
    "maxReplicas": REPLICAS, "minReplicas": 1 });
  store.put("bendsaddle-policies", "bounded", spec);
}

impl World {
  /// What all servers do where no fault says otherwise.
  pub(super) fn mood(&self) -> Mood {
    let mut mood = Mood {
      work: Duration::from_millis(20),
      ..Mood::default()
    };
    match self.broken {
      Some(Break::Limit | Break::Say | Break::Rest) => mood.unnamed = true,
      Some(Break::Lie) => mood.lie = 5,
      Some(Break::Mix) => mood.mix = 5,
      Some(Break::Repeat) => mood.lose = 10,
      Some(Break::Patience | Break::Grace) => mood.work = Duration::from_millis(4_000),
      Some(Break::Policy) => mood.work = Duration::from_millis(400),
      _ => {}
    }
    mood
  }

  /// Writes the version in force once more.
  pub(super) fn configure_again(&self) {
    let version = lock(&self.version);
    let spec = configuration(*version, self.broken);
    self.store.put("config", "main", spec);
  }

  /// Writes the next version of the configuration: each has one route of its own.
  pub(super) fn configure(&self) {
    let mut version = lock(&self.version);
    *version += 1;
    let spec = configuration(*version, self.broken);
    self.store.put("config", "main", spec);
    let at = self.book.now();
    self
      .book
      .note(|history| history.configured.push((*version, at)));
  }
}

fn configuration(version: u64, broken: Option<Break>) -> Value {
  let once = match broken {
    Some(Break::Repeat) => "safe",
    _ => "unsafe",
  };
  let mut single = route("stream-once", "streaming", "models");
  single["resumable"] = json!(false);
  let routes = [
    route("once", once, "plain"),
    route("again", "safe", "plain"),
    route("stream", "streaming", "models"),
    single,
    route("batch", "safe", "models"),
    route(&format!("version-{version}"), "safe", "plain"),
  ];
  let mut spec = config(version, &routes, &MODELS);
  if broken == Some(Break::Memory) {
    spec["services"][1]["engine"]["weights_mb"] = json!(450.0);
  }
  spec
}
