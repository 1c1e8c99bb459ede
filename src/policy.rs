//! Placement and loading policies, as written by operators.

use crate::selector::Selector;
use serde::{Deserialize, Serialize};

/// How long an idle replica stays loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum KeepAlive {
  /// A constant time in ms.
  Fixed(u64),
  /// Derived from the model's inter-arrival history, up to this maximum in ms.
  Adaptive(u64),
}

/// Which idle replica is evicted when memory is short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Evict {
  /// The replica that has been idle longest.
  Oldest,
  /// The replica that is cheapest to load again, weighted by its idle time.
  #[default]
  Cheapest,
}

/// How servers are compared for a new replica.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Place {
  /// The server with the fewest requests and loads.
  LeastLoaded,
  /// The server with the shortest estimated time to the first token.
  #[default]
  Soonest,
}

/// A share of the traffic, selected by the hash of the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slice {
  /// First percentile, inclusive.
  pub from: u8,
  /// Last percentile, exclusive.
  pub to: u8,
}

/// A policy.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Policy {
  /// Models and adapters to which the policy applies.
  #[serde(default)]
  pub models: Selector,
  /// Backend servers on which they may be placed.
  #[serde(default)]
  pub servers: Selector,
  /// The highest precedence wins if several policies match, then the smallest name.
  #[serde(default)]
  pub precedence: i32,
  #[serde(default)]
  pub min_replicas: u32,
  #[serde(default = "one")]
  pub max_replicas: u32,
  #[serde(default = "keep_alive")]
  pub keep_alive: KeepAlive,
  /// Number of waiting requests per loaded replica at which another replica is loaded.
  #[serde(default = "further_at")]
  pub further_at: u32,
  #[serde(default)]
  pub place: Place,
  #[serde(default)]
  pub evict: Evict,
  /// Whether an availability zone without a replica of the model is preferred.
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
  /// Policy of a routed model that no policy selects, with as many replicas as its
  /// requests need.
  pub fn default_routed() -> Self {
    Self {
      max_replicas: u32::MAX,
      ..Self::default()
    }
  }

  /// The first validation error, with field and value; `None` if the policy is valid.
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
      .map(|error| format!("models: {error}"));
    models.or_else(|| {
      self
        .servers
        .validation_error()
        .map(|error| format!("servers: {error}"))
    })
  }

  /// Whether the policy's share of the traffic includes the caller.
  pub fn includes_caller(&self, caller: u64) -> bool {
    self.slice.is_none_or(|slice| {
      let percentile = (caller % 100) as u8;
      (slice.from..slice.to).contains(&percentile)
    })
  }
}
