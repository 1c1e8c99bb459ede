//! What backend servers say of themselves in their answers, and how it reaches all instances.
//!
//! A statement is about one life of a server, whatever its entry in the store says, and whichever
//! answer brings it: to a request, a report or an order. That a server leaves holds as long as
//! its life. A rest that it asks
//! for is between it and this instance. Limits are kept by `limit`, and what all instances may send there by `quota`.

pub mod compliance;
mod exchange;
mod hints;
mod leaving;
mod rest;

pub use hints::{Hints, MISDIRECTED_REQUEST, Reply};
pub use leaving::Leaving;
pub(crate) use rest::Backoffs;

use crate::life::Life;
use serde::{Deserialize, Serialize};

/// What a server said counts for so long after it was last heard of while its entry is missing,
/// ms: entries that lapse with the store come back within seconds, some after a minute.
pub(crate) const RETENTION_MS: u64 = 120_000;

/// What a server says of itself, as instances exchange it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
  pub server: Life,
  pub content: Content,
  /// How long ago it was said, ms.
  pub age_ms: u32,
}

/// What a statement says.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
  /// Requests a second that the server takes; none: it names no limit any more.
  Limit(Option<f64>),
  /// It takes no new work.
  Leaving,
}

impl Statement {
  /// Whether it counts also where it was read late, after this process stood still: that a limit
  /// ended may have been overtaken by a new one, and is published again.
  pub fn applies_when_late(&self) -> bool {
    self.content != Content::Limit(None)
  }
}

/// How long ago something was said, ms, as statements carry it.
pub(crate) fn age_ms(now: u64, at: u64) -> u32 {
  u32::try_from(now.saturating_sub(at)).unwrap_or(u32::MAX)
}
