//! Lists of all objects of a kind, read page by page.
//!
//! A store may repeat a page, or add pages without end. Each list ends within bounds, and says where
//! objects may be missing.

use super::{
  Error, Object, Page, Result, Revision,
  retry::{TOO_MANY_REQUESTS, is_transient, sleep, sleep_after},
};
use crate::clock::Moment;
use serde_json::Value;
use std::{
  collections::{BTreeSet, HashMap},
  fmt,
  time::Duration,
};

/// Maximum number of pages of a list, more than there are servers.
pub const MAX_PAGES: u32 = 2_000;
/// Maximum time of a list. A page takes some ms, or a few hundred if the store is slow.
const MAX_TIME: Duration = Duration::from_secs(10);
/// Maximum size of the objects of a list, as received. Decoded ones take a few times as much.
const MAX_BYTES: usize = 8 << 20;
/// Where a list exceeds that, larger objects are listed without their content.
const LARGE_BYTES: usize = 64 << 10;
/// Maximum number of times that a list continues behind a name that the store did not pass.
const MAX_SKIPS: u32 = 16;
/// Names behind which a list begins whose first page is not readable, in the order of stores.
const FIRST_NAMES: [&str; 11] = ["!", "0", "8", "A", "N", "a", "d", "h", "m", "r", "w"];
/// Maximum number of times that a page is read again which the store could not return.
const MAX_RETRIES: u32 = 4;
/// Range of the interval between pages once one of them was beyond the store's rate. The interval is
/// doubled by each further one, and shortened by each page in between.
const MIN_INTERVAL: Duration = Duration::from_millis(5);
const MAX_INTERVAL: Duration = Duration::from_millis(200);
const INTERVAL_DECREASE: f64 = 0.95;

/// The part of a list to read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Range {
  /// Name behind which it begins; `None` for the start.
  pub after: Option<String>,
  /// Time after which it ends.
  pub time_limit: Duration,
  /// Whether the list begins behind some name if the store refuses the first page for good, or it is
  /// unreadable.
  pub skips_first: bool,
}

impl Default for Range {
  fn default() -> Self {
    Self {
      after: None,
      time_limit: MAX_TIME,
      skips_first: false,
    }
  }
}

/// Where objects of a list may be missing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Gap {
  /// The store repeated what follows a name. The list continued behind another one, if any.
  Repeated {
    after: String,
    continued: Option<String>,
  },
  /// The store refused the page behind a name, or it was unreadable. The list continued behind another
  /// name, if any.
  Unreadable {
    after: String,
    continued: Option<String>,
  },
  /// The first page had no name behind which the next one begins.
  Unnamed,
  /// The list was too large for the content of an object.
  TooLarge { name: String },
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
      Self::Unreadable {
        after,
        continued: Some(name),
      } => write!(f, "unreadable after `{after}`, continued after `{name}`"),
      Self::Unreadable { after, .. } => write!(f, "unreadable after `{after}`"),
      Self::Unnamed => f.write_str("a page without a readable name"),
      Self::TooLarge { name } => write!(f, "too large for the content of `{name}`"),
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
  /// Number of pages read.
  pub pages: u32,
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
  retries: u32,
  /// Interval between pages; zero until one was beyond the store's rate.
  interval: Duration,
  /// Names behind which the list may begin if its first page is not readable.
  first_names: std::slice::Iter<'static, &'static str>,
  started_at: Moment,
  time_limit: Duration,
}

impl Reader {
  fn new(range: &Range) -> Self {
    Self {
      list: List::default(),
      positions: HashMap::new(),
      cursors: BTreeSet::new(),
      after: range.after.clone(),
      pages: 0,
      bytes: 0,
      skips: 0,
      retries: 0,
      interval: Duration::ZERO,
      first_names: match range.skips_first {
        true => FIRST_NAMES.iter(),
        false => [].iter(),
      },
      started_at: Moment::now(),
      time_limit: range.time_limit,
    }
  }

  /// Handles the result of a call for a page; returns whether another call follows.
  fn receive(&mut self, page: Result<Page>) -> Result<bool> {
    match page {
      Ok(page) => {
        self.retries = 0;
        let more = self.add(page)?;
        if more {
          self.pause();
        }
        Ok(more)
      }
      Err(error) if self.pages == 0 && error.is_final() => self.skip_first(error),
      // Without a page there is nothing to continue.
      Err(error) if self.pages == 0 => Err(error),
      Err(Error::Refused(TOO_MANY_REQUESTS)) => Ok(self.wait_for_rate()),
      Err(error) if is_transient(&error) => self.wait_for_retry(error),
      Err(Error::Refused(_) | Error::Malformed(_)) => Ok(self.pass_unreadable()),
      Err(error) => Err(error),
    }
  }

  /// Begins behind the next name that the list may begin behind; returns the error if there is none.
  fn skip_first(&mut self, error: Error) -> Result<bool> {
    let name = self.first_names.next().ok_or(error)?;
    self.after = Some(name.to_string());
    self.list.gap = Some(Gap::Unreadable {
      after: String::new(),
      continued: self.after.clone(),
    });
    Ok(true)
  }

  /// Waits before a page is read again; returns the error if it was read again often enough.
  fn wait_for_retry(&mut self, error: Error) -> Result<bool> {
    if self.retries >= MAX_RETRIES || self.started_at.elapsed() >= self.time_limit {
      return Err(error);
    }
    sleep_after(self.retries);
    self.retries += 1;
    Ok(true)
  }

  /// Waits before a page is read again that was beyond the store's rate. Returns whether the list
  /// continues: it ends after its time, and keeps what was read, since all instances would otherwise
  /// read again what they have read, at the same rate.
  fn wait_for_rate(&mut self) -> bool {
    if self.started_at.elapsed() >= self.time_limit {
      let after = self.after.clone().unwrap_or_default();
      self.record_gap(Gap::TooLong { after });
      return false;
    }
    sleep_after(self.retries);
    self.retries += 1;
    self.interval = (self.interval * 2).clamp(MIN_INTERVAL, MAX_INTERVAL);
    true
  }

  /// Waits before the next page if one was beyond the store's rate.
  fn pause(&mut self) {
    if !self.interval.is_zero() {
      sleep(self.interval);
      self.interval = self.interval.mul_f64(INTERVAL_DECREASE);
    }
  }

  /// Continues behind a page that is not readable; returns whether the list may continue.
  fn pass_unreadable(&mut self) -> bool {
    let Some(after) = self.after.take() else {
      self.record_gap(Gap::Unnamed);
      return false;
    };
    self.after = self.skip(&after);
    self.record_gap(Gap::Unreadable {
      after,
      continued: self.after.clone(),
    });
    self.after.is_some()
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
    self.list.unreadable += page.unreadable;
    let (more, last) = (page.more, page.last);
    for object in self.fit(page.objects, page.bytes) {
      self.add_object(object);
    }
    match last {
      _ if !more => Ok(false),
      Some(last) => Ok(self.advance(last)),
      None => Ok(self.pass_unreadable()),
    }
  }

  /// Counts the objects of a page. Where the list becomes too large, the content of large ones is left
  /// out: one writer must not hide the objects of others.
  fn fit(&mut self, mut objects: Vec<Object>, bytes: usize) -> Vec<Object> {
    if self.bytes + bytes < MAX_BYTES {
      self.bytes += bytes;
      return objects;
    }
    for object in &mut objects {
      let size = object.spec.to_string().len();
      if size <= LARGE_BYTES {
        self.bytes += size;
        continue;
      }
      object.spec = Value::Null;
      self.record_gap(Gap::TooLarge {
        name: object.name.clone(),
      });
    }
    objects
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
    self.pages >= MAX_PAGES
      || self.bytes >= MAX_BYTES
      || self.started_at.elapsed() >= self.time_limit
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
  range: &Range,
  page: impl Fn(Option<&str>) -> Result<Page>,
  mut observe: impl FnMut(Reading),
) -> Result<List> {
  let mut reader = Reader::new(range);
  loop {
    observe(Reading {
      pages: reader.pages,
      objects: reader.list.objects.len(),
      after: reader.after.as_deref(),
    });
    if !reader.receive(page(reader.after.as_deref()))? {
      return Ok(List {
        pages: reader.pages,
        ..reader.list
      });
    }
  }
}
