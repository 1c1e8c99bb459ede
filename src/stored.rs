//! Calls for a record in the store that each instance reads at its start and the lease holder
//! writes.

use crate::store::{Error, Object, Result, Revision};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Name of the object that holds a record.
pub const NAME: &str = "main";
/// Pause before a failed call is retried. While the store is down, 295 starting instances make
/// this call in addition to their other calls.
const RETRY_MS: u64 = 2_000;
/// Pause before a failed call is retried until the first read has succeeded: before that an
/// instance accepts no callers.
const FIRST_READ_RETRY_MS: u64 = 250;

/// A call to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call<R> {
  Read,
  /// Replaces the record of this revision; its number is 0 if there is no record.
  Write {
    record: R,
    revision: Revision,
  },
}

/// What a call showed about the stored record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content<R> {
  Absent,
  Read(R),
  Written,
  /// The call failed, or the record became invalid meanwhile. A write may have taken effect, or may
  /// still do so.
  Unknown,
}

/// The calls of one instance. Times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Calls {
  /// Revision of the record as last read or written; `None` if it has to be read.
  revision: Option<Revision>,
  in_flight: bool,
  /// The record became invalid while a call was in flight.
  outdated: bool,
  retry_at: u64,
  /// Whether the record was read at least once.
  read: bool,
}

impl Calls {
  /// Revision of the record as last read or written; `None` if it has to be read.
  pub fn revision(&self) -> Option<Revision> {
    self.revision
  }

  /// Whether the record was read at least once.
  pub fn is_read(&self) -> bool {
    self.read
  }

  /// Has the record read again, because another instance may have written it, or it may be lost.
  pub fn invalidate(&mut self) {
    self.revision = None;
    self.outdated = self.in_flight;
  }

  /// Returns the next call if one is due. `record` returns the record if it is to be written.
  pub fn next<R>(&mut self, now: u64, record: impl FnOnce() -> Option<R>) -> Option<Call<R>> {
    if self.in_flight || now < self.retry_at {
      return None;
    }
    let call = match self.revision {
      None => Call::Read,
      Some(revision) => Call::Write {
        record: record()?,
        revision,
      },
    };
    self.in_flight = true;
    Some(call)
  }

  /// Handles the result of a call. A record that cannot be decoded counts as an empty one.
  pub fn finish<R: DeserializeOwned + Default>(
    &mut self,
    now: u64,
    call: &Call<R>,
    result: Result<Object>,
  ) -> Content<R> {
    self.in_flight = false;
    let responded = matches!(result, Ok(_) | Err(Error::Absent { .. }));
    if std::mem::take(&mut self.outdated) && responded {
      return Content::Unknown;
    }
    match (call, result) {
      (Call::Read, Err(Error::Absent { era })) => {
        self.read = true;
        self.revision = Some(Revision::first(era));
        Content::Absent
      }
      (Call::Read, Ok(object)) => {
        self.read = true;
        self.revision = Some(object.revision);
        Content::Read(serde_json::from_value(object.spec).unwrap_or_default())
      }
      (Call::Write { .. }, Ok(object)) => {
        self.revision = Some(object.revision);
        Content::Written
      }
      (_, Err(_)) => {
        let retry_ms = match self.read {
          true => RETRY_MS,
          false => FIRST_READ_RETRY_MS,
        };
        self.revision = None;
        self.retry_at = now + retry_ms;
        Content::Unknown
      }
    }
  }
}

/// Encodes a record as it is stored.
pub fn encode<R: Serialize>(record: &R) -> Result<Value> {
  serde_json::to_value(record).map_err(|error| Error::Malformed(error.to_string()))
}
