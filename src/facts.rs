//! The table of facts, its change log and its repair hashes.

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
  /// Position in the change log.
  seq: u64,
  /// Instances known to hold this version, a bit each; 0: made here.
  known: u64,
}

/// Facts by key, newest version only.
#[derive(Clone, Debug)]
pub struct Table {
  entries: SlotMap<Slot, Entry>,
  index: BTreeMap<Arc<Key>, Slot>,
  log: BTreeMap<u64, Slot>,
  next: u64,
  buckets: [u64; BUCKETS],
  origins: HashMap<String, u32>,
}

impl Default for Table {
  fn default() -> Self {
    Self {
      entries: SlotMap::with_key(),
      index: BTreeMap::new(),
      log: BTreeMap::new(),
      next: 1,
      buckets: [0; BUCKETS],
      origins: HashMap::new(),
    }
  }
}

fn mark(key: &Key, version: Version) -> u64 {
  xxh3_64(&postcard::to_stdvec(&(key, version)).unwrap_or_default())
}

/// The repair bucket of a key.
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
  /// Takes a fact unless one at least as new is held; true when taken.
  pub fn merge(&mut self, fact: Fact, origin: &str) -> bool {
    let held = self.index.get(&fact.key).copied();
    let known = self.bit(origin);
    if let Some(entry) = held.and_then(|slot| self.entries.get_mut(slot))
      && entry.version >= fact.version
    {
      if entry.version == fact.version {
        entry.known |= known;
      }
      return false;
    }
    let seq = self.next;
    self.next += 1;
    let bucket = bucket(&fact.key);
    self.buckets[bucket] ^= mark(&fact.key, fact.version);
    let slot = match held {
      Some(slot) => {
        let entry = &mut self.entries[slot];
        self.buckets[bucket] ^= mark(&fact.key, entry.version);
        self.log.remove(&entry.seq);
        entry.version = fact.version;
        entry.body = fact.body;
        entry.seq = seq;
        entry.known = known;
        slot
      }
      None => {
        let key = Arc::new(fact.key);
        let slot = self.entries.insert(Entry {
          key: key.clone(),
          version: fact.version,
          body: fact.body,
          seq,
          known,
        });
        self.index.insert(key, slot);
        slot
      }
    };
    self.log.insert(seq, slot);
    true
  }

  /// The bit of an instance; more than 64 share bits, which repair makes good.
  fn bit(&mut self, name: &str) -> u64 {
    if name.is_empty() {
      return 0;
    }
    let next = self.origins.len() as u32 % u64::BITS;
    1 << *self.origins.entry(name.into()).or_insert(next)
  }

  /// The value and version held for a key.
  pub fn get(&self, key: &Key) -> Option<(&Body, Version)> {
    let slot = self.index.get(key)?;
    let entry = self.entries.get(*slot)?;
    Some((&entry.body, entry.version))
  }

  /// Version held for a key; zero when none is.
  pub fn version(&self, key: &Key) -> Version {
    self
      .get(key)
      .map(|(_, version)| version)
      .unwrap_or_default()
  }

  /// Sequence of the newest change.
  pub fn newest_seq(&self) -> u64 {
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

  /// Encoded facts changed after `seen`, but those that `peer` is known to hold, up
  /// to `most` bytes, with the sequence they reach. Without `forward` only facts
  /// made here: where all instances are neighbours, each publishes its own.
  pub fn changes_since(
    &self,
    seen: u64,
    peer: &str,
    most: usize,
    forward: bool,
  ) -> (Vec<Vec<u8>>, u64) {
    let peer = self.origins.get(peer).map_or(0, |bit| 1 << bit);
    let mut facts = Vec::new();
    let mut bytes = 0;
    let mut upto = seen;
    for (seq, slot) in self.log.range(seen + 1..) {
      let Some(entry) = self.entries.get(*slot) else {
        continue;
      };
      let known = if forward {
        entry.known & peer
      } else {
        entry.known
      };
      if known == 0 {
        let encoded = encode(entry);
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

  /// Keys in the buckets whose hash differs from `theirs`.
  pub fn differing_keys(&self, theirs: &[u64]) -> Vec<Key> {
    if theirs.len() != BUCKETS || theirs == self.buckets {
      return Vec::new();
    }
    let differs = |key: &Key| {
      let bucket = bucket(key);
      theirs[bucket] != self.buckets[bucket]
    };
    let keys = self.index.keys().map(|key| Key::clone(key));
    keys.filter(differs).collect()
  }

  /// The encoded fact for a key.
  pub fn encoded(&self, key: &Key) -> Option<Vec<u8>> {
    let slot = self.index.get(key)?;
    self.entries.get(*slot).map(encode)
  }

  /// Facts from `start` on, in key order.
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
