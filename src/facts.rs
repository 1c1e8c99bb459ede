//! Table of facts with a change log and repair hashes.

use crate::fact::{Body, Fact, Key, Version};
use slotmap::SlotMap;
use std::{
  collections::{BTreeMap, HashMap},
  sync::Arc,
};
use xxhash_rust::xxh3::xxh3_64;

/// Number of repair hashes in a table.
pub const BUCKETS: usize = 64;

slotmap::new_key_type! {
  struct Slot;
}

#[derive(Clone, Debug)]
struct Entry {
  key: Arc<Key>,
  version: Version,
  body: Body,
  /// Sequence number in the change log.
  seq: u64,
  /// Bit set of the instances known to have this version; 0 if the fact was produced here.
  known_by: u64,
}

/// The newest version of each fact, by key.
#[derive(Clone, Debug)]
pub struct Table {
  entries: SlotMap<Slot, Entry>,
  index: BTreeMap<Arc<Key>, Slot>,
  log: BTreeMap<u64, Slot>,
  next_seq: u64,
  buckets: [u64; BUCKETS],
  /// Bit number of each instance in `Entry::known_by`.
  origins: HashMap<String, u32>,
}

impl Default for Table {
  fn default() -> Self {
    Self {
      entries: SlotMap::with_key(),
      index: BTreeMap::new(),
      log: BTreeMap::new(),
      next_seq: 1,
      buckets: [0; BUCKETS],
      origins: HashMap::new(),
    }
  }
}

fn version_hash(key: &Key, version: Version) -> u64 {
  xxh3_64(&postcard::to_stdvec(&(key, version)).unwrap_or_default())
}

/// Repair bucket of a key.
fn bucket(key: &Key) -> usize {
  let hash = xxh3_64(&postcard::to_stdvec(key).unwrap_or_default());
  (hash % BUCKETS as u64) as usize
}

fn encode(entry: &Entry) -> Vec<u8> {
  Fact {
    key: Key::clone(&entry.key),
    version: entry.version,
    body: entry.body.clone(),
  }
  .encode()
}

impl Table {
  /// Stores a fact unless the table has the same or a newer version, and returns whether
  /// it was stored.
  pub fn merge(&mut self, fact: Fact, origin: &str) -> bool {
    let existing = self.index.get(&fact.key).copied();
    let known_by = self.origin_bit(origin);
    if let Some(entry) = existing.and_then(|slot| self.entries.get_mut(slot))
      && entry.version >= fact.version
    {
      if entry.version == fact.version {
        entry.known_by |= known_by;
      }
      return false;
    }
    let seq = self.next_seq;
    self.next_seq += 1;
    let bucket = bucket(&fact.key);
    self.buckets[bucket] ^= version_hash(&fact.key, fact.version);
    let slot = match existing {
      Some(slot) => {
        let entry = &mut self.entries[slot];
        self.buckets[bucket] ^= version_hash(&fact.key, entry.version);
        self.log.remove(&entry.seq);
        entry.version = fact.version;
        entry.body = fact.body;
        entry.seq = seq;
        entry.known_by = known_by;
        slot
      }
      None => {
        let key = Arc::new(fact.key);
        let slot = self.entries.insert(Entry {
          key: key.clone(),
          version: fact.version,
          body: fact.body,
          seq,
          known_by,
        });
        self.index.insert(key, slot);
        slot
      }
    };
    self.log.insert(seq, slot);
    true
  }

  /// Bit of an instance. More than 64 instances share bits; facts that are withheld for
  /// this reason are sent by repair.
  fn origin_bit(&mut self, name: &str) -> u64 {
    if name.is_empty() {
      return 0;
    }
    let next = self.origins.len() as u32 % u64::BITS;
    1 << *self.origins.entry(name.into()).or_insert(next)
  }

  /// Value and version stored for a key.
  pub fn get(&self, key: &Key) -> Option<(&Body, Version)> {
    let slot = self.index.get(key)?;
    let entry = self.entries.get(*slot)?;
    Some((&entry.body, entry.version))
  }

  /// Version stored for a key; zero if there is none.
  pub fn version(&self, key: &Key) -> Version {
    self
      .get(key)
      .map(|(_, version)| version)
      .unwrap_or_default()
  }

  /// Sequence number of the newest change.
  pub fn newest_seq(&self) -> u64 {
    self.next_seq - 1
  }

  /// Number of facts.
  pub fn len(&self) -> usize {
    self.entries.len()
  }

  /// Whether the table is empty.
  pub fn is_empty(&self) -> bool {
    self.entries.is_empty()
  }

  /// Repair hashes.
  pub fn buckets(&self) -> &[u64; BUCKETS] {
    &self.buckets
  }

  /// Encoded facts that changed after the sequence number `seen`, without those that
  /// `peer` is known to have, up to `max_bytes`, and the sequence number that they reach.
  /// Without `forward`, only facts produced here are included: if all instances are
  /// neighbours, each publishes its own.
  pub fn changes_since(
    &self,
    seen: u64,
    peer: &str,
    max_bytes: usize,
    forward: bool,
  ) -> (Vec<Vec<u8>>, u64) {
    let peer_bit = self.origins.get(peer).map_or(0, |bit| 1 << bit);
    let mut facts = Vec::new();
    let mut bytes = 0;
    let mut upto = seen;
    for (seq, slot) in self.log.range(seen + 1..) {
      let Some(entry) = self.entries.get(*slot) else {
        continue;
      };
      let known_by = if forward {
        entry.known_by & peer_bit
      } else {
        entry.known_by
      };
      if known_by == 0 {
        let encoded = encode(entry);
        if bytes > 0 && bytes + encoded.len() > max_bytes {
          return (facts, upto);
        }
        bytes += encoded.len();
        facts.push(encoded);
      }
      upto = *seq;
    }
    (facts, upto)
  }

  /// Keys in the buckets whose hash differs from the peer's.
  pub fn differing_keys(&self, peer_buckets: &[u64]) -> Vec<Key> {
    if peer_buckets.len() != BUCKETS || peer_buckets == self.buckets {
      return Vec::new();
    }
    let differs = |key: &Key| {
      let bucket = bucket(key);
      peer_buckets[bucket] != self.buckets[bucket]
    };
    let keys = self.index.keys().map(|key| Key::clone(key));
    keys.filter(differs).collect()
  }

  /// Encoded fact for a key.
  pub fn encoded(&self, key: &Key) -> Option<Vec<u8>> {
    let slot = self.index.get(key)?;
    self.entries.get(*slot).map(encode)
  }

  /// Facts from `start` onwards, in key order.
  pub fn range(&self, start: Key) -> impl Iterator<Item = (&Key, &Body)> {
    let slots = self.index.range(Arc::new(start)..);
    slots.filter_map(|(key, slot)| Some((&**key, &self.entries.get(*slot)?.body)))
  }

  /// All facts, in key order.
  pub fn iter(&self) -> impl Iterator<Item = (&Key, Version, &Body)> {
    self.index.values().filter_map(|slot| {
      let entry = self.entries.get(*slot)?;
      Some((&*entry.key, entry.version, &entry.body))
    })
  }
}
