//! What is kept from servers, in the store: it outlasts a loss of power of all instances, after
//! which each server would be crashed anew.
//!
//! Each instance reads it once, at its start; the holder writes it when a request is added: a
//! call an instance's life, and one a request that crashes servers.

use super::Quarantined;
use crate::{
  content,
  store::{Error, Object, Result, Revision},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeSet;

/// Name of the object.
pub const NAME: &str = "main";
/// A call that failed is made again after this time, ms: 295 instances that start while the
/// store is down call it beside all else that they need of it.
const AGAIN_MS: u64 = 2_000;

/// The object's content.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Record {
  pub entries: Vec<Entry>,
}

/// A request that goes to no server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Entry {
  /// The content's key, as logs name it.
  pub content: String,
  /// Until when, Unix ms.
  pub until_ms: u64,
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
  Read,
  /// Writes a record over the one of a revision; number 0: there is none.
  Write {
    record: Record,
    revision: Revision,
  },
}

/// The first read that failed is made again after this time, ms: until it has come an instance
/// takes no callers.
const FIRST_AGAIN_MS: u64 = 250;

/// What an instance knows of the stored record.
#[derive(Clone, Debug, Default)]
pub struct Stored {
  /// Revision of the record as it was read or written; none: it is to be read.
  revision: Option<Revision>,
  /// Contents that it holds.
  contents: BTreeSet<content::Key>,
  calling: bool,
  again_at: u64,
  /// It was read once.
  read: bool,
  /// It is read because the store came back from a copy.
  again: bool,
}

impl Record {
  /// The record of what is kept from servers at a time, Unix ms.
  fn of(entries: &[Quarantined], unix_ms: u64) -> Self {
    let entries = entries.iter().map(|entry| Entry {
      content: entry.content.to_string(),
      until_ms: unix_ms + u64::from(entry.left_ms),
    });
    Self {
      entries: entries.collect(),
    }
  }

  /// What it keeps from servers at a time, Unix ms; entries that name no content are left out.
  pub fn quarantined(&self, unix_ms: u64) -> Vec<Quarantined> {
    let entries = self.entries.iter();
    let entries = entries.filter_map(|entry| {
      let content = u128::from_str_radix(&entry.content, 16).ok()?;
      let left_ms = entry.until_ms.saturating_sub(unix_ms);
      (left_ms > 0).then_some(Quarantined {
        content: content::Key(content),
        left_ms: u32::try_from(left_ms).unwrap_or(u32::MAX),
      })
    });
    entries.collect()
  }
}

impl Stored {
  /// The next call, where one is due; `holding`: this instance writes for all.
  pub fn call(
    &mut self,
    now: u64,
    unix_ms: u64,
    holding: bool,
    entries: &[Quarantined],
  ) -> Option<Call> {
    if self.calling || now < self.again_at {
      return None;
    }
    let new = |entry: &Quarantined| !self.contents.contains(&entry.content);
    let call = match self.revision {
      None => Call::Read,
      Some(revision) if holding && entries.iter().any(new) => Call::Write {
        record: Record::of(entries, unix_ms),
        revision,
      },
      Some(_) => return None,
    };
    self.calling = true;
    Some(call)
  }

  /// The store is in an era: what was written in an earlier one may be lost.
  pub fn set_era(&mut self, era: u64) {
    if self.revision.is_some_and(|revision| revision.era < era) {
      self.revision = None;
      self.again = true;
    }
  }

  /// Whether the record was read: before that nothing says what is kept from servers.
  pub fn is_read(&self) -> bool {
    self.read
  }

  /// Takes up what became of a call; a record that was read.
  pub fn answered(&mut self, now: u64, call: &Call, result: Result<Object>) -> Option<Record> {
    self.calling = false;
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
        let again = std::mem::take(&mut self.again);
        self.revision = Some(object.revision);
        // One that another writer spoilt keeps nothing from servers, and is written anew.
        let record: Record = serde_json::from_value(object.spec).unwrap_or_default();
        self.contents = contents(&record);
        // A copy is older than what is known here: what was released since stays so.
        (!again).then_some(record)
      }
      (Call::Write { record, .. }, Ok(object)) => {
        self.revision = Some(object.revision);
        self.contents = contents(record);
        None
      }
      (_, Err(_)) => {
        // A write may have been done, or be done yet.
        self.revision = None;
        self.again_at = now + if self.read { AGAIN_MS } else { FIRST_AGAIN_MS };
        None
      }
    }
  }
}

fn contents(record: &Record) -> BTreeSet<content::Key> {
  let all = record.quarantined(0);
  all.iter().map(|entry| entry.content).collect()
}

/// The record as it stands in the store.
pub fn encode(record: &Record) -> std::result::Result<Value, Error> {
  serde_json::to_value(record).map_err(|error| Error::Malformed(error.to_string()))
}
