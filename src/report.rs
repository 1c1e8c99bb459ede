//! Status report of an engine.

use crate::replica::Id;
use serde::{Deserialize, Serialize};

/// Storage tier from which an engine loads a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Tier {
  Memory,
  Disk,
  Remote,
}

/// Lifecycle stage of a replica on an engine.
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
  /// Milliseconds since the last request ended; 0 while a request runs.
  pub idle_ms: u64,
}

/// A checkpoint cached near an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cached {
  pub model: String,
  pub tier: Tier,
}

/// Status report of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
  /// Start time of the engine in milliseconds; increases with every restart.
  pub boot: u64,
  /// Increases with every report of one boot.
  pub seq: u64,
  pub leaving: bool,
  pub residents: Vec<Resident>,
  pub cached: Vec<Cached>,
}

impl Report {
  /// The replica with this id; `None` if it is not on the engine.
  pub fn find(&self, replica: Id) -> Option<&Resident> {
    self.residents.iter().find(|found| found.replica == replica)
  }

  /// Fastest tier at which the model's checkpoint is cached; `Remote` if it is not cached.
  pub fn tier(&self, model: &str) -> Tier {
    let tiers = self.cached.iter().filter(|cached| cached.model == model);
    tiers
      .map(|cached| cached.tier)
      .min()
      .unwrap_or(Tier::Remote)
  }
}
