//! Reads the entries of known servers that an incomplete list lacks, each by its name: only the store's
//! response that there is none shows that a server is gone.

use crate::{
  clock::Moment,
  feed,
  store::{Error, Object, Result},
};
use std::{collections::BTreeSet, time::Duration};

/// Maximum number of entries read after a list.
const MAX_READS: usize = 16;
/// Minimum time between two lists after which entries are read: a long list arrives in many parts.
const MIN_INTERVAL: Duration = feed::LIST_INTERVAL.checked_div(3).unwrap();

/// Which entries are read next.
#[derive(Debug, Default)]
pub struct Reader {
  /// Name of the last entry that was read.
  last: String,
  read_at: Option<Moment>,
}

impl Reader {
  /// Reads some of the entries under these names, in turn. Returns those that exist, and the names of
  /// those that do not as of the list's era: a copy of the store may lack entries that will be back.
  pub fn read(
    &mut self,
    names: &BTreeSet<String>,
    list_era: Option<u64>,
    read: impl Fn(&str) -> Result<Object>,
  ) -> (Vec<Object>, Vec<String>) {
    let (mut found, mut absent) = (Vec::new(), Vec::new());
    if names.is_empty() || self.read_at.is_some_and(|at| at.elapsed() < MIN_INTERVAL) {
      return (found, absent);
    }
    self.read_at = Some(Moment::now());
    let last = self.last.clone();
    let later = names.iter().filter(|name| **name > last);
    let earlier = names.iter().filter(|name| **name <= last);
    let plain = later.chain(earlier).filter(|name| is_plain(name));
    for name in plain.take(MAX_READS) {
      match read(name) {
        Ok(object) => found.push(object),
        Err(Error::Absent { era }) if Some(era) == list_era => absent.push(name.clone()),
        Err(_) => break,
      }
      self.last = name.clone();
    }
    (found, absent)
  }
}

/// Whether every store reads a name alike. Another name may be absent only as the store reads it.
fn is_plain(name: &str) -> bool {
  let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
  name.bytes().all(is_plain)
}
