//! Identifies the content of a request regardless of its id: callers send the same content again
//! under new ids, to any instance.

use crate::http::Request;
use serde::{Deserialize, Serialize};
use std::fmt::{self, Display, Formatter};
use xxhash_rust::xxh3::{Xxh3, xxh3_64_with_seed, xxh3_128_with_seed};

/// Hash seed that separates the keys of parts from those of contents.
const PART_SEED: u64 = 1;
/// Hashed in place of the length of a header that a request does not have.
const ABSENT: u64 = u64::MAX;
/// Parts of a prompt that are considered: those shared by most requests come first, and few prompts have
/// more than a handful.
const MAX_PARTS: usize = 16;

/// Identifies the content of requests: a hash of all that the server reads, which is method, host, target,
/// the headers that carry a prompt, and body.
///
/// Among a million contents in use, two share a key with a probability of 2 in 10^27.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Key(pub u128);

impl Key {
  /// Returns the key of a request with its complete body. `headers` names those of its headers that are
  /// the same in each of its attempts.
  pub fn of(head: &Request, headers: &[&str], body: &[u8]) -> Self {
    let host = head.headers.get("host").unwrap_or_default();
    let host = host.to_ascii_lowercase();
    let mut hash = Xxh3::new();
    let start = [&head.method, &host, &head.target].map(|part| Some(part.as_str()));
    let headers = headers.iter().map(|name| head.headers.get(name));
    for part in start.into_iter().chain(headers) {
      // The lengths separate the parts unambiguously.
      let length = part.map_or(ABSENT, |part| part.len() as u64);
      hash.update(&length.to_le_bytes());
      hash.update(part.unwrap_or_default().as_bytes());
    }
    hash.update(body);
    Self(hash.digest128())
  }

  /// Returns the key of a part of prompts with this id.
  fn of_part(id: &str) -> Self {
    Self(xxh3_128_with_seed(id.as_bytes(), PART_SEED))
  }

  /// Returns a hash of the key that differs for each seed.
  pub fn seeded_hash(self, seed: u32) -> u64 {
    xxh3_64_with_seed(&self.0.to_le_bytes(), seed.into())
  }
}

/// Returns the keys of the parts of a prompt that other requests may share, in order: all but the last
/// one of `ID:TOKENS`, separated by commas. Ids are in hex, in any case.
pub fn shared_parts(prompt_parts: Option<&str>) -> Vec<Key> {
  let parts = prompt_parts.and_then(|parts| parts.rsplit_once(','));
  let Some((shared, _)) = parts else {
    return Vec::new();
  };
  let ids = shared.split(',').take(MAX_PARTS).filter_map(|part| {
    let id = part.split(':').next()?.trim();
    (!id.is_empty()).then(|| id.to_ascii_lowercase())
  });
  ids.map(|id| Key::of_part(&id)).collect()
}

impl Display for Key {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    write!(f, "{:032x}", self.0)
  }
}
