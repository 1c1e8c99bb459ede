//! Interface to the platform's store, as far as routing needs it: objects by kind and
//! name with revisions, conditional writes and watches.
//!
//! The closures hide the protocol of the deployment's store.

mod list;
mod retry;

pub use list::{Gap, List, MAX_PAGES, Range, Reading};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{fmt, time::Duration};

/// A point in the store's history. Numbers are reused when the store is restored from an older
/// copy, so they are only comparable within one era.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision {
  /// Increases each time the store is restored from a copy.
  pub era: u64,
  /// Increases with every change within an era; 0 is before the first change.
  pub number: u64,
}

impl Revision {
  /// The start of an era.
  pub fn first(era: u64) -> Self {
    Self { era, number: 0 }
  }
}

impl From<u64> for Revision {
  /// A revision number of a store that was never restored from a copy.
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

/// A page of the objects of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
  pub objects: Vec<Object>,
  /// Name of the last object, also of one that is not readable otherwise; `None` if no object of the
  /// page has a readable name.
  pub last: Option<String>,
  /// Whether more objects follow the last one of this page.
  pub more: bool,
  /// The store's revision.
  pub revision: Revision,
  /// Size of the page as received.
  pub bytes: usize,
  /// Number of objects without a readable name or revision, which are left out.
  pub unreadable: usize,
}

/// Changes since a revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
  /// Changed objects, each with whether it was removed.
  pub objects: Vec<(Object, bool)>,
  /// The store's revision.
  pub revision: Revision,
  /// Number of changes without a readable name or revision, which are left out.
  pub unreadable: usize,
}

/// Why a call failed.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
  /// The object has another revision or already exists.
  Conflict,
  /// The object does not exist as of this era.
  Absent { era: u64 },
  /// The store no longer has the changes after the revision.
  HistoryGone,
  /// The store rejected the call and did nothing; the status says why.
  Refused(u16),
  /// No connection was established, so nothing was done.
  Unreached,
  /// No response: a write may have been done, or may still be done.
  NoAnswer,
  /// The response could not be interpreted.
  Malformed(String),
}

impl Error {
  /// Whether a write may have been done, or may still be done.
  pub fn may_have_run(&self) -> bool {
    matches!(self, Self::NoAnswer | Self::Malformed(_))
  }

  /// Whether the same read fails again, as far as its error shows.
  pub fn is_final(&self) -> bool {
    matches!(self, Self::Refused(_) | Self::Malformed(_)) && !retry::is_transient(self)
  }
}

impl fmt::Display for Error {
  fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
    match self {
      Self::Conflict => f.write_str("revision conflict"),
      Self::Absent { .. } => f.write_str("object does not exist"),
      Self::HistoryGone => f.write_str("history is no longer available"),
      Self::Refused(status) => write!(f, "refused with status {status}"),
      Self::Unreached => f.write_str("no connection"),
      Self::NoAnswer => f.write_str("no response"),
      Self::Malformed(text) => write!(f, "malformed response: {text}"),
    }
  }
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

type ListPage = dyn Fn(&str, Option<&str>) -> Result<Page> + Send + Sync;
type Watch = dyn Fn(&str, Revision, Duration) -> Result<Changes> + Send + Sync;
type Read = dyn Fn(&str, &str) -> Result<Object> + Send + Sync;
type Write = dyn Fn(&str, &str, Revision, &Value) -> Result<Object> + Send + Sync;

/// Calls to the store.
pub struct Store {
  /// Lists objects of a kind after a name.
  pub list: Box<ListPage>,
  /// Waits for changes of a kind after a revision. It must not return changes of a later era, as
  /// those up to the revision's number would be missing.
  pub watch: Box<Watch>,
  pub read: Box<Read>,
  /// Writes an object if it has the given revision; number 0 requires that it does not exist.
  pub write: Box<Write>,
}

impl Store {
  /// Lists the objects of a kind page by page. `observe` is called before each page.
  pub fn list(&self, kind: &str, range: &Range, observe: impl FnMut(Reading)) -> Result<List> {
    list::read(range, |after| (self.list)(kind, after), observe)
  }
  /// Reads an object, again while the store does not return it for a moment, about until the time is
  /// over.
  pub fn read_in(&self, time_limit: Duration, kind: &str, name: &str) -> Result<Object> {
    retry::read(time_limit, || (self.read)(kind, name))
  }
}
