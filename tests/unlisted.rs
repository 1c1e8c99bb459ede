//! Entries that an incomplete list lacks are read by name: a server is gone only where the store says so.

use bendsaddle::{
  store::{Error, Object},
  unlisted::Reader,
};
use std::{cell::Cell, collections::BTreeSet};

fn names(names: &[&str]) -> BTreeSet<String> {
  names.iter().map(|name| name.to_string()).collect()
}

fn object(name: &str) -> Object {
  Object {
    name: name.into(),
    revision: 7.into(),
    spec: 7.into(),
  }
}

/// Guards against a server that is taken for gone although it is only hidden, or whose name the store
/// misreads.
#[test]
fn a_server_is_gone_only_if_the_store_says_so() {
  let read = |name: &str| match name {
    "here" => Ok(object(name)),
    "trouble" => Err(Error::Refused(503)),
    _ => Err(Error::Absent { era: 0 }),
  };
  let all = names(&["gone", "here", "a+b", "a%41", "trouble", "unread"]);
  let (found, absent) = Reader::default().read(&all, Some(0), read);
  assert_eq!(found, [object("here")]);
  assert_eq!(absent, ["gone"]);
}

/// Guards against a server that is taken for gone because a copy of the store lacks its entry.
#[test]
fn a_server_that_a_restored_store_lacks_is_not_gone() {
  let read = |_: &str| Err(Error::Absent { era: 1 });
  let (_, absent) = Reader::default().read(&names(&["i-0"]), Some(0), read);
  assert!(absent.is_empty(), "{absent:?}");
}

/// Guards against thousands of reads after a list, and after each part of a long one.
#[test]
fn a_list_is_followed_by_a_few_reads() {
  let all: BTreeSet<String> = (0..100).map(|number| format!("i-{number:03}")).collect();
  let reads = Cell::new(0);
  let read = |_: &str| {
    reads.set(reads.get() + 1);
    Err(Error::Absent { era: 0 })
  };
  let mut reader = Reader::default();
  let (_, absent) = reader.read(&all, Some(0), read);
  assert_eq!((absent.len(), reads.get()), (16, 16));
  reader.read(&all, Some(0), read);
  assert_eq!(reads.get(), 16);
}
