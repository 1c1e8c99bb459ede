//! The quarantine in the store. It outlasts a power loss of all instances, after which each
//! server would otherwise be crashed again.
//!
//! Each instance reads it once at its start, and the lease holder writes it when a request is
//! added or released: one call per instance start, and one or two per request that crashes servers.

use super::Quarantined;
use crate::{
  content,
  store::{Object, Result},
  stored::{self, Calls, Content},
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

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
pub type Call = stored::Call<Record>;

/// An instance's view of the stored record.
#[derive(Clone, Debug, Default)]
pub struct Stored {
  calls: Calls,
  /// Contents in the record, and when their quarantine ends, in ms since the Unix epoch.
  contents: BTreeMap<content::Key, u64>,
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
    let is_due = holding && self.differs(entries, unix_ms);
    self
      .calls
      .next(now, || is_due.then(|| Record::of(entries, unix_ms)))
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
    let revision = self.calls.revision();
    if revision.is_some_and(|revision| revision.era < era) {
      self.calls.invalidate();
      self.restored = true;
    }
  }

  /// Returns whether the record was read; until then the quarantine is unknown.
  pub fn is_read(&self) -> bool {
    self.calls.is_read()
  }

  /// Handles the result of a call; returns the record that was read, if it is to be applied.
  pub fn answered(&mut self, now: u64, call: &Call, result: Result<Object>) -> Option<Record> {
    match (call, self.calls.finish(now, call, result)) {
      (_, Content::Absent) => {
        self.contents.clear();
        None
      }
      (_, Content::Read(record)) => {
        let restored = std::mem::take(&mut self.restored);
        self.contents = contents(&record);
        // An older copy lacks recent releases: contents released since then must stay released.
        (!restored).then_some(record)
      }
      (Call::Write { record, .. }, Content::Written) => {
        self.contents = contents(record);
        None
      }
      (_, Content::Written | Content::Unknown) => None,
    }
  }
}

fn contents(record: &Record) -> BTreeMap<content::Key, u64> {
  let entries = record.entries.iter();
  entries
    .filter_map(|entry| Some((entry.key()?, entry.until_ms)))
    .collect()
}
