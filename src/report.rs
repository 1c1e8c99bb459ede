//! What an engine says of itself.

use crate::replica::Id;
use serde::{Deserialize, Serialize};

/// Where an engine finds a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tier {
  Memory,
  Disk,
  Remote,
}

/// How far a replica is on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
  Loading,
  Ready,
  Unloading,
}

/// A replica on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resident {
  pub replica: Id,
  pub model: String,
  pub stage: Stage,
  /// Requests running and queued, as of the report.
  pub running: u32,
  /// Milliseconds since the last request ended; 0 while one runs.
  pub idle_ms: u64,
}

/// A checkpoint cached near an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cached {
  pub model: String,
  pub tier: Tier,
}

/// One status report of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
  /// Start time of the engine, ms; rises with every restart.
  pub boot: u64,
  /// Rises with every report of one boot.
  pub seq: u64,
  pub leaving: bool,
  pub residents: Vec<Resident>,
  pub cached: Vec<Cached>,
}

impl Report {
  /// The replica, if it is on the engine.
  pub fn find(&self, replica: Id) -> Option<&Resident> {
    self.residents.iter().find(|found| found.replica == replica)
  }

  /// Best tier at which the model's checkpoint is cached.
  pub fn tier(&self, model: &str) -> Tier {
    let tiers = self.cached.iter().filter(|cached| cached.model == model);
    tiers
      .map(|cached| cached.tier)
      .min()
      .unwrap_or(Tier::Remote)
  }
}
