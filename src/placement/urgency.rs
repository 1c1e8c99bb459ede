//! How much the requests that wait for a model gain when it is loaded next.
//!
//! A load that still meets an objective counts, and as much one that still comes before a
//! caller leaves: that request would be refused otherwise. One that meets neither counts
//! nothing. What has less time to spare goes first, so that what can wait does.

use serde::{Deserialize, Serialize};

/// Requests for one model that have about the same time left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
  pub requests: u32,
  /// Until their objective, ms; 0: it has passed.
  pub objective_ms: u32,
  /// Until their callers leave, ms.
  pub patience_ms: u32,
}

impl Wait {
  /// The same requests `ms` later.
  pub fn aged(self, ms: u64) -> Self {
    let ms = u32::try_from(ms).unwrap_or(u32::MAX);
    Self {
      objective_ms: self.objective_ms.saturating_sub(ms),
      patience_ms: self.patience_ms.saturating_sub(ms),
      ..self
    }
  }

  /// What these requests gain from a model that can be used in `ready_ms`.
  fn gain(&self, ready_ms: u64) -> f64 {
    let pressed = |left: u32| ready_ms as f64 / f64::from(left.max(1));
    let requests = f64::from(self.requests);
    match ready_ms {
      ready if ready <= u64::from(self.objective_ms) => requests * pressed(self.objective_ms),
      ready if ready <= u64::from(self.patience_ms) => requests * pressed(self.patience_ms),
      _ => 0.0,
    }
  }
}

/// What requests gain from a model that can be used in `ready_ms`: at most one for each.
pub fn gain(waits: &[Wait], ready_ms: u64) -> f64 {
  waits.iter().map(|wait| wait.gain(ready_ms)).sum()
}
