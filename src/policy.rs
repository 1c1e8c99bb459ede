//! Placement and loading policies, as operators write them.

use crate::selector::Selector;
use serde::{Deserialize, Serialize};

/// How long an idle replica stays loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum KeepAlive {
  /// A constant, in milliseconds.
  Fixed(u64),
  /// From the model's own inter-arrival history; at most this many milliseconds.
  Adaptive(u64),
}

/// Which idle replica gives way when memory is short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Evict {
  /// The one idle longest.
  Oldest,
  /// The one cheapest to load again, weighed by the time it has been idle.
  #[default]
  Cheapest,
}

/// How servers are compared for a new replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Place {
  /// The server with the fewest requests and loads.
  LeastLoaded,
  /// The server with the least estimated time to first token.
  #[default]
  Soonest,
}

/// A share of traffic, by hash of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slice {
  /// First percentile, inclusive.
  pub from: u8,
  /// Last percentile, exclusive.
  pub to: u8,
}

/// A policy object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Policy {
  /// Models and adapters under the policy.
  #[serde(default)]
  pub models: Selector,
  /// Backend servers they may be placed on.
  #[serde(default)]
  pub servers: Selector,
  /// Higher wins where several match; ties go to the smaller name.
  #[serde(default)]
  pub precedence: i32,
  #[serde(default)]
  pub min_replicas: u32,
  #[serde(default = "one")]
  pub max_replicas: u32,
  #[serde(default = "keep_alive")]
  pub keep_alive: KeepAlive,
  /// Waiting requests for each loaded replica that justify a further one.
  #[serde(default = "further_at")]
  pub further_at: u32,
  #[serde(default)]
  pub place: Place,
  #[serde(default)]
  pub evict: Evict,
  /// Prefer an availability zone without a replica of the model.
  #[serde(default)]
  pub spread: bool,
  #[serde(default)]
  pub slice: Option<Slice>,
}

fn one() -> u32 {
  1
}

fn further_at() -> u32 {
  16
}

fn keep_alive() -> KeepAlive {
  KeepAlive::Adaptive(600_000)
}

impl Default for Policy {
  fn default() -> Self {
    Self {
      models: Selector::default(),
      servers: Selector::default(),
      precedence: 0,
      min_replicas: 0,
      max_replicas: one(),
      keep_alive: keep_alive(),
      further_at: further_at(),
      place: Place::default(),
      evict: Evict::default(),
      spread: false,
      slice: None,
    }
  }
}

impl Policy {
  /// The policy of a routed model that no policy selects: as many replicas as its
  /// requests need.
  pub fn default_routed() -> Self {
    Self {
      max_replicas: u32::MAX,
      ..Self::default()
    }
  }

  /// The first fault of the policy, naming field and value.
  pub fn validation_error(&self) -> Option<String> {
    if self.max_replicas == 0 || self.max_replicas < self.min_replicas {
      return Some(format!(
        "maxReplicas: `{}` is below minReplicas `{}` or zero",
        self.max_replicas, self.min_replicas
      ));
    }
    if self.further_at == 0 {
      return Some("furtherAt: `0` would load without limit".into());
    }
    if let Some(slice) = self.slice
      && (slice.from >= slice.to || slice.to > 100)
    {
      return Some(format!(
        "slice: `{}..{}` is not a range within 0..100",
        slice.from, slice.to
      ));
    }
    let models = self
      .models
      .validation_error()
      .map(|fault| format!("models: {fault}"));
    models.or_else(|| {
      self
        .servers
        .validation_error()
        .map(|fault| format!("servers: {fault}"))
    })
  }

  /// Whether the caller falls in the policy's share of traffic.
  pub fn includes_caller(&self, caller: u64) -> bool {
    self.slice.is_none_or(|slice| {
      let percentile = (caller % 100) as u8;
      (slice.from..slice.to).contains(&percentile)
    })
  }
}
