//! Statements of backend servers about themselves in their responses, and their exchange between
//! instances.
//!
//! A statement applies to one life of a server, whatever the server's entry in the store says, and
//! whether it comes with the response to a request, a report or an order. A server that was
//! restarted under its id may make one before its entry names the new life; such a statement is
//! recorded for the earlier life, and assigned to the new one when its entry arrives. An announcement that a
//! server is leaving holds until that life ends. A backoff applies only between the server and the
//! instance that it asked. Limits are kept by `limit`, brittle servers by `concurrency`, and `quota` keeps what all instances
//! together may send under them.

pub mod compliance;
mod exchange;
mod hints;
mod latest;
mod leaving;
pub mod recorded;
mod rest;

pub use hints::{Hints, MISDIRECTED_REQUEST, Reply};
pub use latest::{Latest, Stated};
pub use leaving::Leaving;
pub use recorded::Recorded;
pub(crate) use rest::{Backoffs, REJECTION_MS};

use crate::{dispatch::State, life::Life};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Time for which a statement is kept while its server's entry is missing: entries that expire
/// during a store outage come back within seconds, some after a minute.
pub(crate) const RETENTION_MS: u64 = 120_000;

/// A server's statement about itself, as exchanged by instances.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Statement {
  pub server: Life,
  pub content: Content,
  /// Age of the statement in ms.
  pub age_ms: u32,
}

/// Content of a statement.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Content {
  /// Requests per second that the server accepts; `None` if it no longer names a limit.
  Limit(Option<f64>),
  /// The server accepts no new work.
  Leaving,
  /// The number of requests that the server can reject within a second; `None` if it is no longer
  /// brittle.
  Brittle(Option<u32>),
}

impl Statement {
  /// Whether instances of earlier versions can decode the statement.
  pub fn is_known_to_all(&self) -> bool {
    !matches!(self.content, Content::Brittle(_))
  }

  /// Whether the statement still applies when it is read late, after this process was suspended.
  /// The end of one does not: a new one may have replaced it, and it is published again.
  pub fn applies_when_late(&self) -> bool {
    !matches!(self.content, Content::Limit(None) | Content::Brittle(None))
  }
}

impl State {
  /// Assigns to a life the statements that its server made after the life had begun, and before its
  /// entry named it. They were recorded for an earlier life, whose entry may be gone since.
  pub(crate) fn inherit_statements(&mut self, life: Life) {
    let wall = self.wall;
    let is_own = |at| wall.is_after(at, life.born());
    let mut earlier: BTreeSet<Life> = self.backoffs.lives(life.earlier()).collect();
    earlier.extend(self.leaving.lives(life.earlier()));
    earlier.extend(self.limits.lives(life.earlier()));
    earlier.extend(self.brittle.lives(life.earlier()));
    for earlier in earlier {
      self.backoffs.inherit(earlier, life, is_own);
      self.leaving.inherit(earlier, life, is_own);
      self.limits.inherit(earlier, life, is_own);
      self.brittle.inherit(earlier, life, is_own);
    }
  }
}

/// Age in ms, as carried by statements.
pub(crate) fn age_ms(now: u64, at: u64) -> u32 {
  u32::try_from(now.saturating_sub(at)).unwrap_or(u32::MAX)
}
