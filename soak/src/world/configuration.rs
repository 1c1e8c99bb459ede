//! The current configuration, and the default behavior of servers.

use super::{World, lock};
use crate::{customer, load::UPLOAD_BYTES, stream::PLAIN_STREAM_ROUTE, switch::Break};
use platform_stand_in::{
  deployment::{MODELS, config, route},
  runner::Behavior,
  store::Store,
};
use serde_json::{Value, json};
use std::time::Duration;

/// Share of responses that servers send twice, in percent.
const COPY_PERCENT: u64 = 5;
/// Model whose number of replicas is bounded by a policy.
pub(super) const BOUNDED_MODEL: &str = MODELS[0];
/// Most replicas that the policy allows.
const MAX_REPLICAS: u32 = 2;

/// Writes the policy that bounds the replicas of `BOUNDED_MODEL`.
pub(super) fn write_policy(store: &Store) {
  let spec = json!({ "models": { "matchLabels": { "model": BOUNDED_MODEL } },
    "maxReplicas": MAX_REPLICAS, "minReplicas": 1 });
  store.put("bendsaddle-policies", "bounded", spec);
}

impl World {
  /// Behavior of all servers without a fault.
  pub(super) fn default_mood(&self) -> Behavior {
    let work_ms = if self.has_builds { 160 } else { 20 };
    let mut mood = Behavior {
      work: Duration::from_millis(work_ms),
      copies: if self.copies { COPY_PERCENT } else { 0 },
      ..Behavior::default()
    };
    match self.switch {
      Some(Break::Limit | Break::Say | Break::Rest) => mood.omit_status_headers = true,
      Some(Break::Lie) => mood.false_not_run = 5,
      Some(Break::Mix) => mood.wrong_response = 5,
      Some(Break::Repeat) => mood.lose = 10,
      Some(Break::Patience | Break::Grace) => mood.work = Duration::from_millis(4_000),
      Some(Break::Policy) => mood.work = Duration::from_millis(400),
      _ => {}
    }
    mood
  }

  /// Writes the current version again.
  pub(super) fn rewrite_configuration(&self) {
    let version = lock(&self.version);
    let spec = self.configuration(*version);
    self.store.put("config", "main", spec);
  }

  /// Writes the next version of the configuration. Each version has a route of its own, by which
  /// probes recognize it.
  pub(super) fn configure(&self) {
    let mut version = lock(&self.version);
    *version += 1;
    let spec = self.configuration(*version);
    self.store.put("config", "main", spec);
    let at = self.recorder.now();
    self
      .recorder
      .record(|history| history.configured.push((*version, at)));
  }

  fn configuration(&self, version: u64) -> Value {
    let mut spec = configuration(version, self.switch);
    if self.has_uploads {
      spec["limits"]["max_body_bytes"] = json!(2 * UPLOAD_BYTES);
    }
    if self.has_quotas {
      spec["tenants"] = customer::all();
    }
    spec
  }
}

fn configuration(version: u64, switch: Option<Break>) -> Value {
  let once = match switch {
    Some(Break::Repeat) => "safe",
    _ => "unsafe",
  };
  let mut single = route("stream-once", "streaming", "models");
  single["resumable"] = json!(false);
  // Probes have no key.
  let mut probed = route(&format!("version-{version}"), "safe", "plain");
  probed["public"] = json!(true);
  let routes = [
    route("once", once, "plain"),
    route("again", "safe", "plain"),
    route("stream", "streaming", "models"),
    single,
    route(PLAIN_STREAM_ROUTE, "streaming", "plain"),
    route("batch", "safe", "models"),
    probed,
  ];
  let mut spec = config(version, &routes, &MODELS);
  if switch == Some(Break::Memory) {
    spec["services"][1]["engine"]["weights_mb"] = json!(450.0);
  }
  spec
}
