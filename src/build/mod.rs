//! Builds: the versions of the software that backend servers run.
//!
//! Servers of one pool may run several builds side by side. What two builds write does not fit
//! together, so a stream continues only at the build that began it.

mod begun;
pub mod confirm;
pub mod exchange;
pub mod history;
pub mod resume;
pub mod streams;

use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};
use xxhash_rust::xxh3::xxh3_64;

/// How far a list of servers may be behind, in ms, to show which builds a pool has.
const MAX_LIST_LAG_MS: u64 = 2_000;
/// The same as a duration.
pub(crate) const MAX_LIST_LAG: Duration = Duration::from_millis(MAX_LIST_LAG_MS);

/// Identifies a build. Not related to the version of a model's weights or of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(u32);

impl Id {
  /// The build of a server that has restarted and whose entry has not been read since.
  pub const UNKNOWN: Self = Self(0);

  /// The build with the version that a server states; servers that state none share one build.
  pub fn of(version: &str) -> Self {
    Self((xxh3_64(version.as_bytes()) as u32).max(1))
  }

  /// Whether a stream of this build may continue at a server of the `other` build.
  pub fn matches(self, other: Self) -> bool {
    self == other && self != Self::UNKNOWN
  }
}

impl fmt::Display for Id {
  fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
    write!(formatter, "{:08x}", self.0)
  }
}

/// Identifies a caller's attempt, by the hash of its request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(u64);

impl Key {
  /// The key of the attempt with a request id.
  pub fn of(id: &str) -> Self {
    Self(xxh3_64(id.as_bytes()))
  }
}

/// The build at which the stream of an attempt began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
  pub attempt: Key,
  pub build: Id,
}
