//! The platform's store, as far as routing needs it: objects by kind and name
//! with revisions, conditional writes and watches.
//!
//! A deployment's own spelling is behind these closures.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{fmt, time::Duration};

/// A point in the store's history. Numbers are given out again when the store comes back from an
/// older copy, so they are compared within one era.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
  /// Rises each time the store comes back from a copy.
  pub era: u64,
  /// Rises with every change of an era; 0: before all.
  pub number: u64,
}

impl Revision {
  /// Where an era begins.
  pub fn first(era: u64) -> Self {
    Self { era, number: 0 }
  }
}

impl From<u64> for Revision {
  /// A number of a store that never came back from a copy.
  fn from(number: u64) -> Self {
    Self { era: 0, number }
  }
}

impl fmt::Display for Revision {
  fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
    write!(f, "{}/{}", self.era, self.number)
  }
}

/// An object of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
  pub name: String,
  /// Revision of its last change.
  pub revision: Revision,
  pub spec: Value,
}

/// Some of a kind's objects.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
  pub objects: Vec<Object>,
  /// More objects follow the last one here.
  pub more: bool,
  /// The store's revision.
  pub revision: Revision,
}

/// What has changed since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
  /// Objects, and whether each was removed.
  pub objects: Vec<(Object, bool)>,
  /// The store's revision.
  pub revision: Revision,
}

/// Why a call brought nothing.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
  /// The object has another revision, or exists already.
  Conflict,
  /// There is no such object, as of an era.
  Absent { era: u64 },
  /// The store has forgotten what came after the revision.
  HistoryGone,
  /// The store did nothing; the status says why.
  Refused(u16),
  /// No connection came up: nothing was done.
  Unreached,
  /// No answer: a write may have been done, or may be done yet.
  NoAnswer,
  /// The answer is not understood.
  Malformed(String),
}

impl Error {
  /// Whether a write may have been done, or may be done yet.
  pub fn may_have_run(&self) -> bool {
    matches!(self, Self::NoAnswer | Self::Malformed(_))
  }
}

impl fmt::Display for Error {
  fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
    match self {
      Self::Conflict => f.write_str("another revision is there"),
      Self::Absent { .. } => f.write_str("object is absent"),
      Self::HistoryGone => f.write_str("history is gone"),
      Self::Refused(status) => write!(f, "refused with status {status}"),
      Self::Unreached => f.write_str("no connection"),
      Self::NoAnswer => f.write_str("no answer"),
      Self::Malformed(text) => write!(f, "answer not understood: {text}"),
    }
  }
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

type List = dyn Fn(&str, Option<&str>) -> Result<Page> + Send + Sync;
type Watch = dyn Fn(&str, Revision, Duration) -> Result<Changes> + Send + Sync;
type Read = dyn Fn(&str, &str) -> Result<Object> + Send + Sync;
type Write = dyn Fn(&str, &str, Revision, &Value) -> Result<Object> + Send + Sync;

/// Calls of the store.
pub struct Store {
  /// Objects of a kind, after a name.
  pub list: Box<List>,
  /// Changes of a kind after a revision; waits for one. Those of a later era are no answer: what
  /// was given out before the revision's number is lacking.
  pub watch: Box<Watch>,
  pub read: Box<Read>,
  /// Writes an object that has a revision; number 0: that does not exist.
  pub write: Box<Write>,
}

impl Store {
  /// All objects of a kind, page by page, and the store's revision at the first page:
  /// changes after it come again with a watch from there.
  pub fn list_all(&self, kind: &str) -> Result<(Vec<Object>, Revision)> {
    let mut objects: Vec<Object> = Vec::new();
    let mut revision: Option<Revision> = None;
    loop {
      let after = objects.last().map(|object| object.name.clone());
      let page = (self.list)(kind, after.as_deref())?;
      let first = *revision.get_or_insert(page.revision);
      if page.revision.era != first.era {
        return Err(Error::HistoryGone);
      }
      // A page without objects would be asked for again and again.
      let more = page.more && !page.objects.is_empty();
      objects.extend(page.objects);
      if !more {
        return Ok((objects, revision.unwrap_or_default()));
      }
    }
  }
}
