//! Lives of backend servers: a server may start again under the id that it had, and then
//! knows nothing of before.

use serde::{Deserialize, Serialize};

/// Odd factor that spreads births over all bits of a short name.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// Names one life of a server, from its start to its end.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Life {
  /// Hash of the server's id.
  server: u64,
  /// When the server started, Unix ms; 0: it does not say.
  born: u64,
}

impl Life {
  /// The life that a server began at `born`, Unix ms; 0: it does not say.
  pub fn of(id: &str, born: u64) -> Self {
    Self {
      server: xxhash_rust::xxh3::xxh3_64(id.as_bytes()),
      born,
    }
  }

  /// The server, whichever of its lives this is.
  pub fn server(self) -> u64 {
    self.server
  }

  /// Whether this life began after another one of the same server had ended. A server
  /// that does not say when it started has one life.
  pub fn supersedes(self, earlier: Self) -> bool {
    self.server == earlier.server && earlier.born > 0 && self.born > earlier.born
  }

  /// Whether what was said in this life counts where `current` is known.
  pub fn applies_to(self, current: Self) -> bool {
    self.server == current.server && !current.supersedes(self)
  }

  /// As bytes, for hashes.
  pub fn bytes(self) -> [u8; 16] {
    (u128::from(self.server) << 64 | u128::from(self.born)).to_le_bytes()
  }

  /// Short enough to be sent often.
  pub fn short_hash(self) -> u32 {
    (self.server ^ self.born.wrapping_mul(SPREAD)) as u32
  }
}
