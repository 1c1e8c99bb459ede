//! The ledger of bytes held for callers that send or read slowly.

use bendsaddle::{
  quota::Id,
  reader::{Account, BASE_BYTES, Book, Bounds, Key, Ledger, Scope},
};
use quickcheck::quickcheck;

const ONE: Id = Id(1);
const TWO: Id = Id(2);

/// Bounds in units of what each request is charged.
fn bounds(caller: u64, customer: u64, instance: u64) -> Bounds {
  Bounds {
    caller: caller * BASE_BYTES,
    customer: customer * BASE_BYTES,
    instance: instance * BASE_BYTES,
  }
}

fn admitted(ledger: &mut Ledger, customer: Id) -> Key {
  let key = ledger.admit().expect("room for a request");
  ledger.assign(key, customer).expect("room for its customer");
  key
}

// A body of 4 MB that arrives a few bytes at a time was held whatever else the instance held.
#[test]
fn a_body_beyond_a_bound_is_refused_and_drops_nobody() {
  let mut ledger = Ledger::new(bounds(4, 20, 8));
  let [first, second] = [(); 2].map(|()| ledger.admit().unwrap());
  assert_eq!(ledger.receive(first, 4 * BASE_BYTES), Ok(()));
  assert_eq!(ledger.receive(first, 5 * BASE_BYTES), Err(Scope::Caller));
  // An eighth is kept for new requests.
  assert_eq!(ledger.receive(second, 4 * BASE_BYTES), Err(Scope::Instance));
  assert!(!ledger.is_dropped(first));
  assert_eq!(ledger.total(), 5 * BASE_BYTES);
}

/// Bodies that reached the bound together were all refused, though some fit without the others.
#[test]
fn bodies_that_reach_the_bound_together_are_not_all_refused() {
  let book = Book::new(bounds(16, 64, 64));
  let accounts: Vec<Account> = (0..5).map(|_| book.open().unwrap()).collect();
  for account in &accounts {
    account.receive(11 * BASE_BYTES).unwrap();
  }
  let results: Vec<_> = accounts
    .iter()
    .map(|account| account.receive(13 * BASE_BYTES))
    .collect();
  assert_eq!(
    results,
    [Err(Scope::Instance), Ok(()), Ok(()), Ok(()), Ok(())]
  );
}

// Readers that stall must not keep new requests out for as long as they like.
#[test]
fn a_full_instance_refuses_and_drops_the_caller_that_holds_most() {
  let mut ledger = Ledger::new(bounds(4, 20, 8));
  let [small, large] = [(); 2].map(|()| ledger.admit().unwrap());
  ledger.grow(small, 3 * BASE_BYTES).unwrap();
  ledger.grow(large, 4 * BASE_BYTES).unwrap();
  let _last = ledger.admit().unwrap();
  assert_eq!(ledger.admit(), Err(Scope::Instance));
  assert_eq!(
    [small, large].map(|key| ledger.is_dropped(key)),
    [false, true]
  );
  // The room that its drop releases is counted before another one is dropped.
  assert_eq!(ledger.grow(small, 4 * BASE_BYTES), Err(Scope::Instance));
  assert!(!ledger.is_dropped(small));
  ledger.release(large);
  assert_eq!(ledger.grow(small, 4 * BASE_BYTES), Ok(()));
  assert!(ledger.admit().is_ok());
}

// A customer whose callers do not read must not take the room of the others.
#[test]
fn a_customer_at_its_bound_drops_its_own_caller() {
  let mut ledger = Ledger::new(bounds(8, 10, 30));
  let other = admitted(&mut ledger, TWO);
  ledger.grow(other, 8 * BASE_BYTES).unwrap();
  let [large, small] = [(); 2].map(|()| admitted(&mut ledger, ONE));
  ledger.grow(large, 7 * BASE_BYTES).unwrap();
  assert_eq!(ledger.grow(small, 4 * BASE_BYTES), Err(Scope::Customer));
  let dropped = [other, large, small].map(|key| ledger.is_dropped(key));
  assert_eq!(dropped, [false, true, false]);
  let late = ledger.admit().unwrap();
  ledger.grow(small, 3 * BASE_BYTES).unwrap();
  assert_eq!(ledger.assign(late, ONE), Err(Scope::Customer));
  assert_eq!(ledger.assign(late, TWO), Ok(()));
}

// A caller that catches up before its thread looks is not dropped, then or later.
#[test]
fn a_caller_that_has_read_all_is_not_dropped() {
  let mut ledger = Ledger::new(bounds(4, 20, 5));
  let key = ledger.admit().unwrap();
  ledger.grow(key, 4 * BASE_BYTES).unwrap();
  let _last = ledger.admit().unwrap();
  assert_eq!(ledger.admit(), Err(Scope::Instance));
  assert!(ledger.is_dropped(key));
  ledger.grow(key, 0).unwrap();
  ledger.grow(key, 2 * BASE_BYTES).unwrap();
  assert!(!ledger.is_dropped(key));
}

// Requests whose bodies are complete run at servers: dropping their callers loses work done.
#[test]
fn a_request_with_a_complete_body_is_no_victim() {
  let mut ledger = Ledger::new(bounds(4, 20, 5));
  let key = ledger.admit().unwrap();
  ledger.receive(key, 4 * BASE_BYTES).unwrap();
  ledger.settle(key);
  ledger.hold(key, 0, BASE_BYTES);
  assert_eq!(ledger.admit(), Err(Scope::Instance));
  assert!(!ledger.is_dropped(key));
  assert_eq!(ledger.victim(None), None);
}

#[test]
fn bounds_follow_from_memory() {
  let bounds = Bounds::of_memory(120);
  assert_eq!(bounds.instance, 30 << 20);
  assert!(bounds.caller < bounds.customer && bounds.customer < bounds.instance);
}

/// A step of a history: what is done, to which request, with how many bytes.
type Step = (u8, u8, u16);

/// Applies a step; returns whether it may exceed the bounds, since an answer is in memory already.
fn apply(ledger: &mut Ledger, keys: &mut Vec<Key>, (act, which, size): Step) -> bool {
  let bytes = u64::from(size) * 8;
  let key = keys.get(usize::from(which) % keys.len().max(1)).copied();
  match (act % 8, key) {
    (0, _) | (_, None) => keys.extend(ledger.admit()),
    (1, Some(key)) => {
      ledger.release(key);
      keys.retain(|known| *known != key);
    }
    (2 | 3, Some(key)) => {
      let fits = ledger.grow(key, bytes);
      assert!(fits.is_err() || ledger.loose(key) == bytes);
    }
    (4, Some(key)) => {
      let before = ledger.loose(key);
      let fits = ledger.receive(key, bytes);
      assert!(fits.is_ok() || ledger.loose(key) == before);
    }
    (5, Some(key)) => ledger.settle(key),
    (6, Some(key)) => {
      ledger.keep(key, bytes);
      return true;
    }
    (_, Some(key)) => {
      ledger.hold(key, 0, bytes);
      return true;
    }
  }
  false
}

quickcheck! {
  // Whatever requests come, grow and end in whichever order: what is taken in stays within the
  // bounds, nothing is left behind, and only callers with releasable bytes are dropped.
  fn what_is_taken_in_stays_within_the_bounds(steps: Vec<Step>) -> bool {
    let bounds = bounds(4, 8, 16);
    let mut ledger = Ledger::new(bounds);
    let mut keys = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
      let before = ledger.total();
      let known = keys.len();
      let forced = apply(&mut ledger, &mut keys, step);
      if keys.len() > known {
        let customer = [ONE, TWO][number % 2];
        let held = ledger.customer_total(customer);
        let assigned = ledger.assign(keys[known], customer);
        assert!(assigned.is_ok() || held + BASE_BYTES > bounds.customer);
      }
      let within = ledger.total() <= bounds.instance.max(before);
      if !(within || forced) {
        return false;
      }
      if keys.iter().any(|key| ledger.is_dropped(*key) && ledger.loose(*key) == 0) {
        return false;
      }
    }
    for key in keys {
      ledger.release(key);
    }
    ledger.total() == 0 && [ONE, TWO].map(|customer| ledger.customer_total(customer)) == [0, 0]
  }
}
