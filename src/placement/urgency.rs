//! How much the requests that wait for a model gain if it is loaded next.
//!
//! A load that still meets an objective counts, and equally one that ends before a caller leaves,
//! because that request would otherwise be refused. A load that does neither has no gain. Requests
//! with less time left go first, so that those that can wait do so.

use serde::{Deserialize, Serialize};

/// Requests for one model that have about the same time left.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wait {
  pub requests: u32,
  /// Time until their objective, ms; 0 if it has passed.
  pub objective_ms: u32,
  /// Time until their callers leave, ms.
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

  /// Gain of these requests from a model that is ready in `ready_ms`.
  fn gain(&self, ready_ms: u64) -> f64 {
    let urgency = |left: u32| ready_ms as f64 / f64::from(left.max(1));
    let requests = f64::from(self.requests);
    match ready_ms {
      ready if ready <= u64::from(self.objective_ms) => requests * urgency(self.objective_ms),
      ready if ready <= u64::from(self.patience_ms) => requests * urgency(self.patience_ms),
      _ => 0.0,
    }
  }
}

/// Gain of requests from a model that is ready in `ready_ms`, at most 1 for each request.
pub fn gain(waits: &[Wait], ready_ms: u64) -> f64 {
  waits.iter().map(|wait| wait.gain(ready_ms)).sum()
}
