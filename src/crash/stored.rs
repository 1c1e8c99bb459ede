//! The quarantine in the store. It outlasts a power loss of all instances, after which each
//! server would otherwise be crashed again.
//!
//! Each instance reads it once at its start, and the lease holder writes it when a request is
//! added or released: one call per instance start, and one or two per request that crashes servers.

use super::Quarantined;
use crate::{
  content,
  store::{Error, Object, Result, Revision},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Name of the object in the store.
pub const NAME: &str = "main";
/// Pause before a failed call is retried. While the store is down, 295 starting instances make
/// this call in addition to their other calls.
const RETRY_MS: u64 = 2_000;

/// Content of the object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Record {
  pub entries: Vec<Entry>,
}

/// A request that must not be sent to any server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
  /// Key of the content, as written in logs.
  pub content: String,
  /// End of the quarantine, in ms since the Unix epoch.
  pub until_ms: u64,
}

impl Entry {
  fn key(&self) -> Option<content::Key> {
    let key = u128::from_str_radix(&self.content, 16).ok()?;
    Some(content::Key(key))
  }
}

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
  Read,
  /// Replaces the record of this revision; its number is 0 if there is no record.
  Write {
    record: Record,
    revision: Revision,
  },
}

/// Pause before a failed call is retried until the first read has succeeded: before that an
/// instance accepts no callers.
const FIRST_READ_RETRY_MS: u64 = 250;

/// An instance's view of the stored record.
#[derive(Clone, Debug, Default)]
pub struct Stored {
  /// Revision of the record as last read or written; `None` if it has to be read.
  revision: Option<Revision>,
  /// Contents in the record, and when their quarantine ends, in ms since the Unix epoch.
  contents: BTreeMap<content::Key, u64>,
  in_flight: bool,
  retry_at: u64,
  /// Whether the record was read at least once.
  read: bool,
  /// The store was restored from an older copy, so the record is read again.
  restored: bool,
}

impl Record {
  /// Returns the record of what is quarantined at `unix_ms`.
  fn of(entries: &[Quarantined], unix_ms: u64) -> Self {
    let entries = entries.iter().map(|entry| Entry {
      content: entry.content.to_string(),
      until_ms: unix_ms + u64::from(entry.left_ms),
    });
    Self {
      entries: entries.collect(),
    }
  }

  /// Returns what is quarantined at `unix_ms`; entries without a valid content key are skipped.
  pub fn quarantined(&self, unix_ms: u64) -> Vec<Quarantined> {
    let entries = self.entries.iter();
    let entries = entries.filter_map(|entry| {
      let content = entry.key()?;
      let left_ms = entry.until_ms.saturating_sub(unix_ms);
      (left_ms > 0).then_some(Quarantined {
        content,
        left_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
      })
    });
    entries.collect()
  }
}

impl Stored {
  /// Returns the next call if one is due. `holding` is whether this instance writes the record.
  pub fn call(
    &mut self,
    now: u64,
    unix_ms: u64,
    holding: bool,
    entries: &[Quarantined],
  ) -> Option<Call> {
    if self.in_flight || now < self.retry_at {
      return None;
    }
    let call = match self.revision {
      None => Call::Read,
      Some(revision) if holding && self.differs(entries, unix_ms) => Call::Write {
        record: Record::of(entries, unix_ms),
        revision,
      },
      Some(_) => return None,
    };
    self.in_flight = true;
    Some(call)
  }

  /// Whether a content is missing from the record, or is in it although it was released.
  fn differs(&self, entries: &[Quarantined], unix_ms: u64) -> bool {
    let is_new = |entry: &Quarantined| !self.contents.contains_key(&entry.content);
    let mut stored = self.contents.iter();
    entries.iter().any(is_new)
      || stored.any(|(content, until_ms)| {
        let is_quarantined = entries.iter().any(|entry| entry.content == *content);
        unix_ms < *until_ms && !is_quarantined
      })
  }

  /// Sets the era of the store; what was written in an earlier era may be lost.
  pub fn set_era(&mut self, era: u64) {
    if self.revision.is_some_and(|revision| revision.era < era) {
      self.revision = None;
      self.restored = true;
    }
  }

  /// Returns whether the record was read; until then the quarantine is unknown.
  pub fn is_read(&self) -> bool {
    self.read
  }

  /// Handles the result of a call; returns the record that was read, if it is to be applied.
  pub fn answered(&mut self, now: u64, call: &Call, result: Result<Object>) -> Option<Record> {
    self.in_flight = false;
    self.read |= matches!(
      (call, &result),
      (Call::Read, Ok(_) | Err(Error::Absent { .. }))
    );
    match (call, result) {
      (Call::Read, Err(Error::Absent { era })) => {
        self.revision = Some(Revision::first(era));
        self.contents.clear();
        None
      }
      (Call::Read, Ok(object)) => {
        let restored = std::mem::take(&mut self.restored);
        self.revision = Some(object.revision);
        // A record corrupted by another writer quarantines nothing and is written again.
        let record: Record = serde_json::from_value(object.spec).unwrap_or_default();
        self.contents = contents(&record);
        // An older copy lacks recent releases: contents released since then must stay released.
        (!restored).then_some(record)
      }
      (Call::Write { record, .. }, Ok(object)) => {
        self.revision = Some(object.revision);
        self.contents = contents(record);
        None
      }
      (_, Err(_)) => {
        // A write may have taken effect, or may still do so.
        self.revision = None;
        self.retry_at = now
          + if self.read {
            RETRY_MS
          } else {
            FIRST_READ_RETRY_MS
          };
        None
      }
    }
  }
}

fn contents(record: &Record) -> BTreeMap<content::Key, u64> {
  let entries = record.entries.iter();
  entries
    .filter_map(|entry| Some((entry.key()?, entry.until_ms)))
    .collect()
}

/// Encodes a record as it is stored.
pub fn encode(record: &Record) -> std::result::Result<Value, Error> {
  serde_json::to_value(record).map_err(|error| Error::Malformed(error.to_string()))
}
