//! Lists of all objects of a kind, read page by page.
//!
//! A store may repeat a page, or add pages without end. Each list ends within bounds, and says where
//! objects may be missing.

use super::{Error, Object, Page, Result, Revision};
use crate::clock::Moment;
use std::{
  collections::{BTreeSet, HashMap},
  fmt,
  time::Duration,
};

/// Maximum number of pages of a list, more than there are servers.
const MAX_PAGES: u32 = 2_000;
/// Maximum time of a list. A page takes some ms, or a few hundred if the store is slow.
const MAX_TIME: Duration = Duration::from_secs(10);
/// Maximum size of all pages of a list, as received. Decoded objects take a few times as much.
const MAX_BYTES: usize = 8 << 20;
/// Maximum number of times that a list continues behind a name that the store did not pass.
const MAX_SKIPS: u32 = 16;

/// Where objects of a list may be missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gap {
  /// The store repeated what follows a name. The list continued behind another one, if any.
  Repeated {
    after: String,
    continued: Option<String>,
  },
  /// A page had no name behind which the next one begins.
  Unnamed,
  /// The list had too many pages, was too large or took too long.
  TooLong { after: String },
}

impl fmt::Display for Gap {
  fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
    match self {
      Self::Repeated {
        after,
        continued: Some(name),
      } => write!(f, "repeated after `{after}`, continued after `{name}`"),
      Self::Repeated { after, .. } => write!(f, "repeated after `{after}`"),
      Self::Unnamed => f.write_str("a page without a readable name"),
      Self::TooLong { after } => write!(f, "too long, ended after `{after}`"),
    }
  }
}

/// The objects of a kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct List {
  pub objects: Vec<Object>,
  /// The store's revision at the first page: a watch from there returns all later changes, some of
  /// them again.
  pub revision: Revision,
  /// Where the first objects may be missing; `None` if the list is complete.
  pub gap: Option<Gap>,
  /// Number of objects without a readable name or revision, which are left out.
  pub unreadable: usize,
}

/// How far a list has got.
#[derive(Clone, Copy, Debug)]
pub struct Reading<'a> {
  /// Number of pages read.
  pub pages: u32,
  /// Number of objects read.
  pub objects: usize,
  /// Name behind which the next page begins; `None` before the first page.
  pub after: Option<&'a str>,
}

/// A list in progress.
struct Reader {
  list: List,
  /// Positions of objects by name.
  positions: HashMap<String, usize>,
  /// Names behind which pages began.
  cursors: BTreeSet<String>,
  after: Option<String>,
  pages: u32,
  bytes: usize,
  skips: u32,
  started_at: Moment,
}

impl Reader {
  fn new() -> Self {
    Self {
      list: List::default(),
      positions: HashMap::new(),
      cursors: BTreeSet::new(),
      after: None,
      pages: 0,
      bytes: 0,
      skips: 0,
      started_at: Moment::now(),
    }
  }

  /// Adds a page; returns whether another one follows.
  fn add(&mut self, page: Page) -> Result<bool> {
    if self.pages == 0 {
      self.list.revision = page.revision;
    }
    if page.revision.era != self.list.revision.era {
      return Err(Error::HistoryGone);
    }
    self.pages += 1;
    self.bytes += page.bytes;
    self.list.unreadable += page.unreadable;
    let more = page.more;
    let last = page.last;
    for object in page.objects {
      self.add_object(object);
    }
    if !more {
      return Ok(false);
    }
    let Some(last) = last else {
      self.record_gap(Gap::Unnamed);
      return Ok(false);
    };
    Ok(self.advance(last))
  }

  /// Adds an object, or replaces an older one: a page may repeat what an earlier one contained.
  fn add_object(&mut self, object: Object) {
    let objects = &mut self.list.objects;
    match self.positions.get(&object.name) {
      Some(position) if objects[*position].revision < object.revision => {
        objects[*position] = object;
      }
      Some(_) => {}
      None => {
        self.positions.insert(object.name.clone(), objects.len());
        objects.push(object);
      }
    }
  }

  /// Continues the list behind the last name of a page; returns whether it may continue.
  fn advance(&mut self, last: String) -> bool {
    if self.is_too_long() {
      self.record_gap(Gap::TooLong { after: last });
      return false;
    }
    if self.cursors.insert(last.clone()) {
      self.after = Some(last);
      return true;
    }
    let next = self.skip(&last);
    self.record_gap(Gap::Repeated {
      after: last,
      continued: next.clone(),
    });
    self.after = next;
    self.after.is_some()
  }

  fn is_too_long(&self) -> bool {
    self.pages >= MAX_PAGES || self.bytes >= MAX_BYTES || self.started_at.elapsed() >= MAX_TIME
  }

  /// A name behind one that the store does not pass, of characters that every store reads alike.
  fn skip(&mut self, name: &str) -> Option<String> {
    let plain = name.find(|c: char| !c.is_ascii_alphanumeric());
    let mut prefix = &name[..plain.unwrap_or(name.len())];
    loop {
      if self.skips >= MAX_SKIPS {
        return None;
      }
      self.skips += 1;
      let next = format!("{prefix}~");
      if next.as_str() > name && self.cursors.insert(next.clone()) {
        return Some(next);
      }
      prefix = &prefix[..prefix.len().checked_sub(1)?];
    }
  }

  fn record_gap(&mut self, gap: Gap) {
    self.list.gap.get_or_insert(gap);
  }
}

/// Reads a list with a function that returns the page behind a name. `observe` is called before each
/// page.
pub(super) fn read(
  page: impl Fn(Option<&str>) -> Result<Page>,
  mut observe: impl FnMut(Reading),
) -> Result<List> {
  let mut reader = Reader::new();
  loop {
    observe(Reading {
      pages: reader.pages,
      objects: reader.list.objects.len(),
      after: reader.after.as_deref(),
    });
    if !reader.add(page(reader.after.as_deref())?)? {
      return Ok(reader.list);
    }
  }
}
