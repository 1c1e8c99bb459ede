//! Lists in pages of a store that repeats a page, adds pages without end, or names objects oddly: each
//! ends within bounds, and says where objects may be missing.

use bendsaddle::{
  store::{Changes, Error, Gap, List, Object, Page, Range, Revision, Store},
  target,
};
use percent_encoding::percent_decode_str;
use quickcheck::{Gen, QuickCheck};
use std::{
  sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
  },
  time::Duration,
};

type Lister = dyn Fn(Option<&str>) -> Page + Send + Sync;

/// A store that lists by this function, and its number of list calls.
fn store(list: Box<Lister>) -> (Store, Arc<AtomicU32>) {
  let calls = Arc::new(AtomicU32::new(0));
  let counted = calls.clone();
  let store = Store {
    list: Box::new(move |_, after| {
      counted.fetch_add(1, Ordering::Relaxed);
      Ok(list(after))
    }),
    watch: Box::new(|_, _, _| Ok(Changes::default())),
    read: Box::new(|_, _| Err(Error::Absent { era: 0 })),
    write: Box::new(|_, _, _, _| Err(Error::Conflict)),
  };
  (store, calls)
}

fn object(name: &str, revision: u64) -> Object {
  Object {
    name: name.into(),
    revision: revision.into(),
    spec: revision.into(),
  }
}

/// A page of these objects.
fn page(names: &[&str], more: bool) -> Page {
  Page {
    objects: names.iter().map(|name| object(name, 1)).collect(),
    last: names.last().map(|name| name.to_string()),
    more,
    revision: Revision::from(7),
    ..Page::default()
  }
}

/// The page behind a name, of a store that reads the name as `read` does.
fn paged(names: &[&str], size: usize, read: impl Fn(&str) -> String, after: Option<&str>) -> Page {
  let after = after.map(read).unwrap_or_default();
  let rest: Vec<&str> = names
    .iter()
    .copied()
    .filter(|name| *name > after.as_str())
    .collect();
  page(&rest[..size.min(rest.len())], rest.len() > size)
}

fn names(list: &List) -> Vec<&str> {
  list
    .objects
    .iter()
    .map(|object| object.name.as_str())
    .collect()
}

fn list(store: &Store) -> List {
  store
    .list("kind", &Range::default(), |_| {})
    .expect("failed to list")
}

/// Guards against a list that asks for the same page without end, and against objects behind it that
/// are lost with it.
#[test]
fn a_list_goes_on_behind_a_name_that_the_store_does_not_pass() {
  const NAMES: [&str; 6] = ["a01", "a02&b=", "a02&c", "a03", "m", "z"];
  for size in 1..=NAMES.len() {
    let (store, calls) = store(Box::new(move |after| {
      let read = |name: &str| name.split('&').next().unwrap_or_default().to_string();
      paged(&NAMES, size, read, after)
    }));
    let list = list(&store);
    assert!(calls.load(Ordering::Relaxed) <= 9, "{size}: {calls:?}");
    for name in ["a01", "a02&b=", "a03", "m", "z"] {
      assert!(names(&list).contains(&name), "{size}: {list:?}");
    }
    let complete = names(&list).len() == NAMES.len();
    assert!(complete || list.gap.is_some(), "{size}: {list:?}");
  }
}

/// Guards against a store that repeats its first page, whatever the name.
#[test]
fn a_list_that_does_not_advance_ends() {
  let (store, calls) = store(Box::new(|_| page(&["a", "é&"], true)));
  let list = list(&store);
  assert_eq!(names(&list), ["a", "é&"]);
  assert!(matches!(list.gap, Some(Gap::Repeated { .. })), "{list:?}");
  assert!(calls.load(Ordering::Relaxed) <= 20, "{calls:?}");
}

/// Guards against a list that takes the store's word for more pages, each with another name.
#[test]
fn a_list_of_ever_new_names_ends() {
  let next = AtomicU32::new(0);
  let (store, calls) = store(Box::new(move |_| {
    let name = format!("n{:09}", next.fetch_add(1, Ordering::Relaxed));
    page(&[&name], true)
  }));
  let list = list(&store);
  assert!(
    matches!(list.gap, Some(Gap::TooLong { .. })),
    "{:?}",
    list.gap
  );
  assert!(calls.load(Ordering::Relaxed) <= 2_000, "{calls:?}");
}

/// Guards against large objects of one writer that hide all others, or that fill the memory of an
/// instance.
#[test]
fn large_objects_hide_no_others() {
  let large: Vec<String> = (0..20).map(|number| format!("a{number:02}")).collect();
  let (store, calls) = store(Box::new(move |after| {
    let next = large
      .iter()
      .find(|name| after.is_none_or(|after| name.as_str() > after));
    let Some(name) = next else {
      return page(&["i-1", "main"], false);
    };
    let mut object = object(name, 1);
    object.spec = "x".repeat(1 << 20).into();
    Page {
      objects: vec![object],
      bytes: 1 << 20,
      ..page(&[name], true)
    }
  }));
  let list = list(&store);
  assert!(
    matches!(list.gap, Some(Gap::TooLarge { .. })),
    "{:?}",
    list.gap
  );
  assert_eq!(
    (names(&list).len(), calls.load(Ordering::Relaxed)),
    (22, 21)
  );
  let held: usize = list
    .objects
    .iter()
    .map(|object| object.spec.to_string().len())
    .sum();
  assert!(held <= 9 << 20, "{held} bytes");
  assert!(
    list.objects[20..]
      .iter()
      .all(|object| !object.spec.is_null()),
    "small ones are kept"
  );
}

/// Guards against a page of unreadable objects that ends a list as though it were complete.
#[test]
fn a_page_without_a_readable_name_is_a_gap() {
  let (store, _) = store(Box::new(|after| match after {
    None => page(&["a"], true),
    Some(_) => Page {
      unreadable: 3,
      ..page(&[], true)
    },
  }));
  let list = list(&store);
  let gap = Gap::Unreadable {
    after: "a".into(),
    continued: Some("a~".into()),
  };
  assert_eq!((list.gap.clone(), list.unreadable), (Some(gap), 9));
  assert_eq!(names(&list), ["a"]);
}

/// Guards against an object that an unreadable one behind it hides, or that is listed twice.
#[test]
fn a_list_goes_on_behind_an_unreadable_object() {
  let (store, _) = store(Box::new(|after| match after {
    None => Page {
      last: Some("b".into()),
      unreadable: 1,
      ..page(&["a"], true)
    },
    Some("b") => Page {
      objects: vec![object("a", 2), object("c", 2)],
      ..page(&["a", "c"], false)
    },
    Some(other) => panic!("after `{other}`"),
  }));
  let list = list(&store);
  assert_eq!((list.gap, list.unreadable), (None, 1));
  assert_eq!(list.objects, [object("a", 2), object("c", 2)]);
}

/// Guards against pages of two eras of the store in one list.
#[test]
fn a_list_across_a_restore_is_no_list() {
  let (store, _) = store(Box::new(|after| Page {
    revision: Revision::first(u64::from(after.is_some())),
    ..page(&[after.unwrap_or("a")], true)
  }));
  let error = store
    .list("kind", &Range::default(), |_| {})
    .expect_err("a list");
  assert_eq!(error, Error::HistoryGone);
}

/// Guards against a name that means something else in a target.
#[test]
fn a_target_holds_any_text() {
  fn holds(segment: String, name: String, value: String) -> bool {
    let target = target::encode(&["api", &segment], &[("a", "1"), (&name, &value)]);
    let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"/?&=%-._~".contains(&byte);
    let decode = |text: &str| percent_decode_str(text).decode_utf8().unwrap().into_owned();
    let (path, query) = target.split_once('?').unwrap();
    let segments: Vec<String> = path[1..].split('/').map(decode).collect();
    let pairs = query.split('&').map(|pair| pair.split_once('=').unwrap());
    let pairs: Vec<(String, String)> = pairs
      .map(|(name, value)| (decode(name), decode(value)))
      .collect();
    target.bytes().all(plain)
      && segments == ["api".to_string(), segment]
      && pairs == [("a".to_string(), "1".to_string()), (name, value)]
  }
  QuickCheck::new()
    .rng(Gen::from_size_and_seed(40, 1))
    .tests(2_000)
    .quickcheck(holds as fn(String, String, String) -> bool);
}

/// Guards against one page that the store cannot return now, with which the pages before it are lost.
#[test]
fn a_page_that_is_refused_for_a_moment_is_read_again() {
  for error in [
    Error::Refused(429),
    Error::Refused(503),
    Error::NoAnswer,
    Error::Unreached,
  ] {
    let refused = AtomicU32::new(0);
    let (store, calls) = failing(move |after| match after {
      Some("b") if refused.fetch_add(1, Ordering::Relaxed) < 2 => Some(error.clone()),
      _ => None,
    });
    let list = list(&store);
    assert_eq!(
      (names(&list), list.gap.clone()),
      (vec!["a", "b", "c", "main"], None)
    );
    assert_eq!(calls.load(Ordering::Relaxed), 6);
  }
}

/// Guards against a store's rate that many instances share: each read its list again from the start, at
/// the same rate.
#[test]
fn a_list_beyond_the_rate_goes_on_where_it_was() {
  const REJECTIONS: u32 = 7;
  let rejected = AtomicU32::new(0);
  let (store, calls) = failing(move |after| {
    let is_beyond = after == Some("b") && rejected.fetch_add(1, Ordering::Relaxed) < REJECTIONS;
    is_beyond.then_some(Error::Refused(429))
  });
  let list = list(&store);
  assert_eq!(
    (names(&list), list.gap.clone()),
    (vec!["a", "b", "c", "main"], None)
  );
  assert_eq!(calls.load(Ordering::Relaxed), 4 + REJECTIONS);
}

/// Guards against a list whose pages stay beyond the rate, and that takes no end or loses what was read.
#[test]
fn a_list_that_stays_beyond_the_rate_ends_in_time_with_what_was_read() {
  let (store, calls) = failing(|after| (after == Some("b")).then_some(Error::Refused(429)));
  let range = Range {
    time_limit: Duration::from_millis(300),
    ..Range::default()
  };
  let list = store.list("kind", &range, |_| {}).expect("failed to list");
  assert_eq!(names(&list), ["a", "b"]);
  assert_eq!(list.gap, Some(Gap::TooLong { after: "b".into() }));
  assert!(calls.load(Ordering::Relaxed) <= 8, "{calls:?}");
}

/// Guards against a name that the store refuses, or behind which a page is malformed, and that hides all
/// others for good.
#[test]
fn a_page_that_is_not_readable_hides_only_what_is_near() {
  for error in [Error::Refused(400), Error::Malformed("cut".into())] {
    let (store, _) = failing(move |after| (after == Some("b")).then(|| error.clone()));
    let list = list(&store);
    assert_eq!(names(&list), ["a", "b", "c", "main"]);
    assert!(
      matches!(list.gap, Some(Gap::Unreadable { .. })),
      "{:?}",
      list.gap
    );
  }
}

/// Guards against a first page that fails and is taken for an empty list.
#[test]
fn a_list_without_a_first_page_is_an_error() {
  for error in [Error::Refused(400), Error::Refused(503), Error::NoAnswer] {
    let expected = error.clone();
    let (store, calls) = failing(move |_| Some(error.clone()));
    assert_eq!(store.list("kind", &Range::default(), |_| {}), Err(expected));
    assert_eq!(calls.load(Ordering::Relaxed), 1);
  }
}

/// Guards against a first page that the store never returns, and that hides all others.
#[test]
fn a_list_may_begin_behind_its_first_page() {
  let range = Range {
    skips_first: true,
    ..Range::default()
  };
  for error in [Error::Refused(400), Error::Malformed("cut".into())] {
    let (store, _) =
      failing(move |after| after.is_none_or(|after| after < "8").then(|| error.clone()));
    let list = store.list("kind", &range, |_| {}).expect("failed to list");
    let gap = Gap::Unreadable {
      after: "".into(),
      continued: Some("8".into()),
    };
    assert_eq!(list.gap, Some(gap));
    assert_eq!(names(&list), ["a", "b", "c", "main"]);
  }
  let (store, calls) = failing(|_| Some(Error::Refused(400)));
  let list = store.list("kind", &range, |_| {});
  assert_eq!(list, Err(Error::Refused(400)));
  assert_eq!(calls.load(Ordering::Relaxed), 12);
}

/// A store with pages of one object, whose calls fail by this function.
fn failing(
  error: impl Fn(Option<&str>) -> Option<Error> + Send + Sync + 'static,
) -> (Store, Arc<AtomicU32>) {
  let (store, calls) = store(Box::new(|after| {
    paged(&["a", "b", "c", "main"], 1, str::to_string, after)
  }));
  let list = store.list;
  let store = Store {
    list: Box::new(move |kind, after| {
      let page = list(kind, after)?;
      error(after).map_or(Ok(page), Err)
    }),
    ..store
  };
  (store, calls)
}
