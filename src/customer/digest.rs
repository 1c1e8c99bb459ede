//! Digests of keys: what instances keep and compare in place of the keys.

use sha2::{Digest as _, Sha256};
use std::fmt::{self, Debug, Formatter};

/// Bytes of a digest.
const BYTES: usize = 32;

/// SHA-256 of a key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Digest([u8; BYTES]);

impl Digest {
  /// The digest of a key.
  pub fn of(key: &[u8]) -> Self {
    Self(Sha256::digest(key).into())
  }

  /// The digest written as hexadecimal digits; none: it is not one.
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

  /// The digest as hexadecimal digits.
  pub fn hex(&self) -> String {
    self.0.iter().map(|byte| format!("{byte:02x}")).collect()
  }
}

impl Debug for Digest {
  /// A digest of a short key could be guessed from, so logs show none.
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str("Digest(..)")
  }
}
