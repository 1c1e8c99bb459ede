//! The stored builds of the pools: who reads and writes them, and when they count as complete.

use bendsaddle::{
  build::{
    Id,
    history::{History, Known, Record},
  },
  store::{Error, Object, Revision},
  stored::{Call, encode},
};
use serde_json::json;

const POOL: u64 = 7;

fn known(versions: &[&str], complete: bool) -> Known {
  let builds = versions.iter().map(|version| (POOL, Id::of(version)));
  Known {
    builds: builds.collect(),
    complete,
  }
}

fn at(era: u64, number: u64) -> Revision {
  Revision { era, number }
}

fn object(era: u64, number: u64, record: &Record) -> Object {
  Object {
    name: "main".into(),
    revision: at(era, number),
    spec: encode(record).unwrap(),
  }
}

/// Performs the call that is due, which has to be a write, at revision `number`.
fn write(history: &mut History, now: u64, era: u64, known: &Known, number: u64) -> Record {
  let call = history.call(now, true, at(era, 0), || known.clone());
  let Some(Call::Write { record, .. }) = call.clone() else {
    panic!("no write: {call:?}");
  };
  let result = Ok(object(era, number, &record));
  assert_eq!(history.answered(now, &call.unwrap(), result), None);
  record
}

/// Performs the call that is due, which has to be a read. Returns what was read.
fn read(
  history: &mut History,
  now: u64,
  holding: bool,
  era: u64,
  result: Result<Object, Error>,
) -> Option<Known> {
  let call = history.call(now, holding, at(era, 0), Known::default);
  assert_eq!(call, Some(Call::Read));
  history.answered(now, &call.unwrap(), result)
}

fn absent(era: u64) -> Result<Object, Error> {
  Err(Error::Absent { era })
}

/// Guards against builds that are written late, or again and again.
#[test]
fn the_holder_writes_a_build_that_joins_or_has_left_once() {
  let mut history = History::default();
  assert_eq!(read(&mut history, 0, true, 0, absent(0)), None);
  let one = known(&["v1"], true);
  write(&mut history, 1, 0, &one, 4);
  assert_eq!(history.call(2, true, at(0, 0), || one.clone()), None);
  let two = known(&["v1", "v2"], true);
  write(&mut history, 3, 0, &two, 5);
  write(&mut history, 4, 0, &known(&["v2"], true), 6);
  assert_eq!(
    history.call(5, false, at(0, 0), || two.clone()),
    None,
    "not the holder"
  );
}

/// Guards against a holder that goes by what it read before its predecessor wrote.
#[test]
fn a_new_holder_reads_the_builds_before_it_writes() {
  let mut history = History::default();
  assert_eq!(read(&mut history, 0, false, 0, absent(0)), None);
  let record = {
    let mut former = History::default();
    read(&mut former, 0, true, 0, absent(0));
    write(&mut former, 1, 0, &known(&["v1", "v2"], true), 4)
  };
  let stored = read(&mut history, 2, true, 0, Ok(object(0, 4, &record)));
  assert_eq!(stored, Some(known(&["v1", "v2"], true)));
}

/// Guards against a write whose outcome is unknown and is taken for done or undone.
#[test]
fn builds_are_read_again_after_a_failed_write() {
  for error in [Error::NoAnswer, Error::Conflict] {
    let mut history = History::default();
    read(&mut history, 0, true, 0, absent(0));
    let call = history
      .call(1, true, at(0, 0), || known(&["v1"], true))
      .unwrap();
    assert!(matches!(call, Call::Write { .. }));
    history.answered(2, &call, Err(error));
    let record = Record::default();
    let stored = read(&mut history, 5_000, true, 0, Ok(object(0, 4, &record)));
    assert_eq!(stored, Some(known(&[], false)));
  }
}

/// Guards against a response that was on its way while builds came and went unseen.
#[test]
fn builds_are_read_again_if_the_watch_was_interrupted_during_the_read() {
  let mut history = History::default();
  let call = history.call(0, false, at(0, 0), Known::default).unwrap();
  assert_eq!(call, Call::Read);
  history.invalidate();
  let record = Record {
    complete: true,
    ..Record::default()
  };
  let stored = history.answered(5_000, &call, Ok(object(0, 4, &record)));
  assert_eq!(stored, None);
  let stored = read(&mut history, 10_000, false, 0, Ok(object(0, 5, &record)));
  assert_eq!(stored, Some(known(&[], true)));
}

/// Guards against builds that a store lost which was restored from an older copy.
#[test]
fn stored_builds_of_an_earlier_era_are_incomplete_until_a_holder_writes_them_again() {
  let mut holder = History::default();
  read(&mut holder, 0, true, 0, absent(0));
  let record = write(&mut holder, 1, 0, &known(&["v1"], true), 4);
  let mut copy = object(1, 4, &record);
  let mut young = History::default();
  let stored = read(&mut young, 2, false, 1, Ok(copy.clone()));
  assert_eq!(stored, Some(known(&["v1"], false)));
  assert_eq!(
    read(&mut holder, 3, true, 1, Ok(copy.clone())),
    Some(known(&["v1"], false))
  );
  let record = write(&mut holder, 4, 1, &known(&["v1", "v2"], true), 5);
  copy = object(1, 5, &record);
  let mut young = History::default();
  let stored = read(&mut young, 5, false, 1, Ok(copy));
  assert_eq!(stored, Some(known(&["v1", "v2"], true)));
}

/// Guards against a holder that has just started and takes what it sees for all there was.
#[test]
fn a_holder_that_knows_only_its_own_time_writes_incomplete_builds() {
  let mut history = History::default();
  read(&mut history, 0, true, 0, absent(0));
  let record = write(&mut history, 1, 0, &known(&["v2"], false), 4);
  assert!(!record.complete);
  let record = write(&mut history, 40_000, 0, &known(&["v2"], true), 5);
  assert!(record.complete);
}

/// Guards against a holder that withdraws a complete record because it could not read the store for a
/// while: after a loss of power each stream beside one build would be refused for 40 s.
#[test]
fn a_record_stays_complete_when_its_holder_could_not_read_the_servers_for_a_while() {
  let mut history = History::default();
  read(&mut history, 0, true, 0, absent(0));
  let record = write(&mut history, 1, 0, &known(&["v1"], true), 4);
  history.invalidate();
  let own = read(&mut history, 9_000, true, 0, Ok(object(0, 4, &record)));
  assert_eq!(own, Some(known(&["v1"], true)));
  assert_eq!(
    history.call(9_001, true, at(0, 0), || known(&["v1"], true)),
    None
  );
}

/// Guards against an instance that refuses streams beside one build for as long as they last, because
/// it read the record before a holder had completed it.
#[test]
fn an_absent_or_incomplete_record_is_read_again_until_the_builds_are_known() {
  let incomplete = object(0, 4, &Record::default());
  for first in [absent(0), Ok(incomplete)] {
    let mut history = History::default();
    read(&mut history, 0, false, 0, first);
    assert_eq!(history.call(1_999, false, at(0, 0), Known::default), None);
    let record = Record {
      complete: true,
      ..Record::default()
    };
    let stored = read(&mut history, 2_000, false, 0, Ok(object(0, 5, &record)));
    assert_eq!(stored, Some(known(&[], true)));
    assert_eq!(history.call(9_000, false, at(0, 0), Known::default), None);
  }
  let mut history = History::default();
  read(&mut history, 0, false, 0, absent(0));
  let own = || known(&["v1"], true);
  assert_eq!(
    history.call(40_000, false, at(0, 0), own),
    None,
    "not needed"
  );
}

/// Guards against a record that another program wrote and that hides a build.
#[test]
fn a_record_with_an_invalid_entry_is_incomplete() {
  for spec in [
    json!({ "era": 0, "complete": true, "builds": [{ "pool": "x", "build": "1" }] }),
    json!({ "complete": true }),
    json!(null),
    json!(5),
  ] {
    let mut history = History::default();
    let object = Object {
      name: "main".into(),
      revision: Revision::from(4),
      spec: spec.clone(),
    };
    let stored = read(&mut history, 0, false, 0, Ok(object)).expect("read");
    assert!(!stored.complete, "{spec}");
  }
}

/// Guards against a record whose revision the store's history does not reach, as it was written long ago.
#[test]
fn the_holder_renews_the_revision_in_its_record() {
  let mut history = History::default();
  read(&mut history, 0, true, 0, absent(0));
  let own = known(&["v1"], true);
  let mut call = |now, number| {
    let call = history.call(now, true, at(0, number), || own.clone());
    if let Some(Call::Write { record, .. }) = &call {
      history.answered(now, call.as_ref().unwrap(), Ok(object(0, now, record)));
    }
    call.map(|call| match call {
      Call::Write { record, .. } => record.servers,
      Call::Read => panic!("read again"),
    })
  };
  assert_eq!(call(1, 10), Some(Some(10)));
  assert_eq!(call(5_000, 20), None, "too soon");
  assert_eq!(call(5_001, 10), None, "nothing has changed");
  assert_eq!(call(5_002, 20), Some(Some(20)));
}

/// The same of a record that an earlier version wrote, and after the store forgot its history.
#[test]
fn a_holder_that_has_read_its_record_again_renews_it_at_once() {
  let mut history = History::default();
  read(&mut history, 0, true, 0, absent(0));
  let own = known(&["v1"], true);
  let record = write(&mut history, 1, 0, &own, 4);
  let earlier = Record {
    servers: None,
    ..record.clone()
  };
  for (now, stored) in [(2, record), (3, earlier)] {
    history.invalidate();
    read(&mut history, now, true, 0, Ok(object(0, 4, &stored)));
    let call = history.call(now, true, at(0, 9), || own.clone());
    let Some(Call::Write { record, .. }) = &call else {
      panic!("no write: {call:?}");
    };
    assert_eq!(record.servers, Some(9));
    history.answered(now, call.as_ref().unwrap(), Ok(object(0, now + 10, record)));
  }
}

/// Guards against a revision of another era of the store than the record's.
#[test]
fn a_record_names_no_revision_of_another_era() {
  let mut history = History::default();
  read(&mut history, 0, true, 1, absent(1));
  let call = history.call(1, true, at(0, 9), || known(&["v1"], true));
  let Some(Call::Write { record, .. }) = call else {
    panic!("no write: {call:?}");
  };
  assert_eq!((record.era, record.servers), (1, None));
}

/// Guards against a record of an earlier version that is taken for an incomplete one.
#[test]
fn a_record_without_a_revision_counts_as_before() {
  let mut history = History::default();
  let spec = json!({ "era": 0, "complete": true, "builds": [] });
  let object = Object {
    name: "main".into(),
    revision: Revision::from(4),
    spec,
  };
  let stored = read(&mut history, 0, false, 0, Ok(object));
  assert_eq!(stored, Some(known(&[], true)));
}
