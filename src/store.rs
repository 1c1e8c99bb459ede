//! The platform's store, as far as routing needs it: objects by kind and name
//! with revisions, conditional writes and watches.
//!
//! A deployment's own spelling is behind these closures.

use serde_json::Value;
use std::time::Duration;

/// An object of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Object {
  pub name: String,
  /// Revision of its last change.
  pub revision: u64,
  pub spec: Value,
}

/// Some of a kind's objects.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
  pub objects: Vec<Object>,
  /// More objects follow the last one here.
  pub more: bool,
  /// The store's revision.
  pub revision: u64,
}

/// What has changed since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
  /// Objects, and whether each was removed.
  pub objects: Vec<(Object, bool)>,
  /// The store's revision.
  pub revision: u64,
}

/// Why a call brought nothing.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
  /// The object has another revision, or exists already.
  Conflict,
  Absent,
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

impl std::fmt::Display for Error {
  fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
    match self {
      Self::Conflict => f.write_str("another revision is there"),
      Self::Absent => f.write_str("object is absent"),
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
type Watch = dyn Fn(&str, u64, Duration) -> Result<Changes> + Send + Sync;
type Read = dyn Fn(&str, &str) -> Result<Object> + Send + Sync;
type Write = dyn Fn(&str, &str, u64, &Value) -> Result<Object> + Send + Sync;

/// Calls of the store.
pub struct Store {
  /// Objects of a kind, after a name.
  pub list: Box<List>,
  /// Changes of a kind after a revision; waits for one.
  pub watch: Box<Watch>,
  pub read: Box<Read>,
  /// Writes an object that has a revision; 0: that does not exist.
  pub write: Box<Write>,
}

impl Store {
  /// All objects of a kind, page by page, and the store's revision at the first page:
  /// changes after it come again with a watch from there.
  pub fn all(&self, kind: &str) -> Result<(Vec<Object>, u64)> {
    let mut objects: Vec<Object> = Vec::new();
    let mut revision = None;
    loop {
      let after = objects.last().map(|object| object.name.clone());
      let page = (self.list)(kind, after.as_deref())?;
      revision.get_or_insert(page.revision);
      // A page without objects would be asked for again and again.
      let more = page.more && !page.objects.is_empty();
      objects.extend(page.objects);
      if !more {
        return Ok((objects, revision.unwrap_or_default()));
      }
    }
  }
}
