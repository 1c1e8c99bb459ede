//! Lives of backend servers. A server may restart under the same id and then has no state from
//! before the restart.

use serde::{Deserialize, Serialize};

/// Odd multiplier that spreads start times over all bits of a short hash.
const START_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// Identifies one life of a server, from its start to its end.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Life {
  /// Hash of the server's id.
  server: u64,
  /// Start time of the server in Unix milliseconds; 0 if the server does not state it.
  born: u64,
}

impl Life {
  /// The life of a server that started at `born`, in Unix milliseconds; 0 if the server does not
  /// state its start time.
  pub fn of(id: &str, born: u64) -> Self {
    Self {
      server: xxhash_rust::xxh3::xxh3_64(id.as_bytes()),
      born,
    }
  }

  /// Hash of the server's id, the same for all its lives.
  pub fn server(self) -> u64 {
    self.server
  }

  /// When this life began, in Unix milliseconds; 0 if the server does not state it.
  pub fn born(self) -> u64 {
    self.born
  }

  /// All lives of the server that started before this one, as a range of lives.
  pub fn earlier(self) -> std::ops::Range<Self> {
    let first = Self { born: 0, ..self };
    first..self
  }

  /// Whether this life started after `earlier`, a life of the same server, had ended. A server that
  /// does not state its start time has only one life.
  pub fn supersedes(self, earlier: Self) -> bool {
    self.server == earlier.server && earlier.born > 0 && self.born > earlier.born
  }

  /// Whether information about this life still applies if `current` is the known life.
  pub fn applies_to(self, current: Self) -> bool {
    self.server == current.server && !current.supersedes(self)
  }

  /// Byte representation for hashing.
  pub fn bytes(self) -> [u8; 16] {
    (u128::from(self.server) << 64 | u128::from(self.born)).to_le_bytes()
  }

  /// Hash that is small enough to be sent frequently.
  pub fn short_hash(self) -> u32 {
    (self.server ^ self.born.wrapping_mul(START_MULTIPLIER)) as u32
  }
}
