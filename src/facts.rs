//! The table of facts, its change log and its repair hashes.

use crate::fact::{Body, Fact, Key, Version};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Number of repair hashes in a table.
pub const BUCKETS: usize = 64;

#[derive(Clone, Debug)]
struct Entry {
  version: Version,
  body: Body,
  /// Position in the change log.
  seq: u64,
  /// Neighbour the value came from; empty when from this instance.
  origin: String,
}

/// Facts by key, newest version only.
#[derive(Clone, Debug)]
pub struct Table {
  entries: BTreeMap<Key, Entry>,
  log: BTreeMap<u64, Key>,
  next: u64,
  buckets: [u64; BUCKETS],
}

impl Default for Table {
  fn default() -> Self {
    Self {
      entries: BTreeMap::new(),
      log: BTreeMap::new(),
      next: 1,
      buckets: [0; BUCKETS],
    }
  }
}

fn mark(key: &Key, version: Version) -> u64 {
  xxh3_64(&postcard::to_stdvec(&(key, version)).unwrap_or_default())
}

/// The repair bucket of a key.
pub fn bucket(key: &Key) -> usize {
  let hash = xxh3_64(&postcard::to_stdvec(key).unwrap_or_default());
  (hash % BUCKETS as u64) as usize
}

impl Table {
  /// Takes a fact unless one at least as new is held; true when taken.
  pub fn merge(&mut self, fact: Fact, origin: &str) -> bool {
    let bucket = bucket(&fact.key);
    if let Some(held) = self.entries.get(&fact.key) {
      if held.version >= fact.version {
        return false;
      }
      self.log.remove(&held.seq);
      self.buckets[bucket] ^= mark(&fact.key, held.version);
    }
    self.buckets[bucket] ^= mark(&fact.key, fact.version);
    let seq = self.next;
    self.next += 1;
    self.log.insert(seq, fact.key.clone());
    let entry = Entry {
      version: fact.version,
      body: fact.body,
      seq,
      origin: origin.into(),
    };
    self.entries.insert(fact.key, entry);
    true
  }

  /// The value and version held for a key.
  pub fn get(&self, key: &Key) -> Option<(&Body, Version)> {
    self
      .entries
      .get(key)
      .map(|entry| (&entry.body, entry.version))
  }

  /// Version held for a key; zero when none is.
  pub fn version(&self, key: &Key) -> Version {
    self
      .get(key)
      .map(|(_, version)| version)
      .unwrap_or_default()
  }

  /// Sequence of the newest change.
  pub fn newest(&self) -> u64 {
    self.next - 1
  }

  /// Number of facts.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Whether the table holds nothing.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// Repair hashes.
  pub fn buckets(&self) -> &[u64; BUCKETS] {
    &self.buckets
  }

  /// Encoded facts changed after `seen`, but those that came from `peer`, up to
  /// `most` bytes, with the sequence they reach.
  pub fn since(&self, seen: u64, peer: &str, most: usize) -> (Vec<Vec<u8>>, u64) {
    let mut facts = Vec::new();
    let mut bytes = 0;
    let mut upto = seen;
    for (seq, key) in self.log.range(seen + 1..) {
      let Some(entry) = self.entries.get(key) else {
        continue;
      };
      if entry.origin != peer {
        let encoded = self.encode(key, entry);
        if bytes > 0 && bytes + encoded.len() > most {
          return (facts, upto);
        }
        bytes += encoded.len();
        facts.push(encoded);
      }
      upto = *seq;
    }
    (facts, upto)
  }

  fn encode(&self, key: &Key, entry: &Entry) -> Vec<u8> {
    Fact {
      key: key.clone(),
      version: entry.version,
      body: entry.body.clone(),
    }
    .encode()
  }

  /// Keys in the buckets whose hash differs from `theirs`.
  pub fn differing(&self, theirs: &[u64]) -> Vec<Key> {
    if theirs.len() != BUCKETS {
      return Vec::new();
    }
    let differs = |key: &&Key| {
      let bucket = bucket(key);
      theirs[bucket] != self.buckets[bucket]
    };
    self.entries.keys().filter(differs).cloned().collect()
  }

  /// The encoded fact for a key.
  pub fn encoded(&self, key: &Key) -> Option<Vec<u8>> {
    self.entries.get(key).map(|entry| self.encode(key, entry))
  }

  /// Facts from `start` on, in key order.
  pub fn range(&self, start: Key) -> impl Iterator<Item = (&Key, &Body)> {
    let entries = self.entries.range(start..);
    entries.map(|(key, entry)| (key, &entry.body))
  }

  /// All facts, in key order.
  pub fn iter(&self) -> impl Iterator<Item = (&Key, Version, &Body)> {
    self
      .entries
      .iter()
      .map(|(key, entry)| (key, entry.version, &entry.body))
  }
}
