//! Digests of API keys, which instances store and compare instead of the keys.

use sha2::{Digest as _, Sha256};
use std::fmt::{self, Debug, Formatter};

/// Length of a digest.
const BYTES: usize = 32;

/// SHA-256 of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; BYTES]);

impl Digest {
  /// Computes the digest of a key.
  pub fn of(key: &[u8]) -> Self {
    Self(Sha256::digest(key).into())
  }

  /// Parses a digest from hexadecimal digits; `None` if the text is not a digest.
  pub fn parse(text: &str) -> Option<Self> {
    let digits = text.as_bytes();
    if digits.len() != 2 * BYTES || !digits.iter().all(u8::is_ascii_hexdigit) {
      return None;
    }
    let mut bytes = [0; BYTES];
    for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks(2)) {
      let pair = std::str::from_utf8(pair).ok()?;
      *byte = u8::from_str_radix(pair, 16).ok()?;
    }
    Some(Self(bytes))
  }

  /// Formats the digest as hexadecimal digits.
  pub fn hex(&self) -> String {
    self.0.iter().map(|byte| format!("{byte:02x}")).collect()
  }
}

impl Debug for Digest {
  /// Omits the digest from logs, because a short key could be guessed from it.
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str("Digest(..)")
  }
}
