//! Orders of two machines are always at least the gap apart, for any responses, losses and delays
//! of the store, and for suspensions of any length.

use bendsaddle::{
  lease::promise::{Promise, Request, short_hash},
  lease::{Call, Heartbeat, Lease, Record},
  store::{Error, Object, Revision},
};
use quickcheck::{TestResult, quickcheck};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::{BTreeSet, VecDeque};

const GAP_MS: u64 = 3_000;

/// A store of one object.
#[derive(Default)]
struct Store {
  object: Option<Object>,
  revision: u64,
  era: u64,
  /// Copies of the object and the revision, one for each of the last steps.
  copies: VecDeque<(Option<Object>, u64)>,
}

/// Number of steps for which copies are kept.
const COPY_COUNT: usize = 160;

impl Store {
  fn apply(&mut self, call: &Call) -> Result<Object, Error> {
    let Call::Write { record, revision } = call else {
      return self.object.clone().ok_or(Error::Absent { era: self.era });
    };
    let current = self.object.as_ref();
    let current = current.map_or(Revision::default(), |object| object.revision);
    // The store does not know in which era a write was created.
    if current.number != revision.number {
      return Err(Error::Conflict);
    }
    self.revision += 1;
    let object = Object {
      name: "orders".into(),
      revision: Revision {
        era: self.era,
        number: self.revision,
      },
      spec: serde_json::to_value(record).unwrap(),
    };
    self.object = Some(object.clone());
    Ok(object)
  }

  fn keep_copy(&mut self) {
    self.copies.push_back((self.object.clone(), self.revision));
    if self.copies.len() > COPY_COUNT {
      self.copies.pop_front();
    }
  }

  /// Restores a copy that is this number of steps old.
  fn restore(&mut self, steps: usize) {
    let kept = self.copies.len().saturating_sub(steps).max(1);
    self.copies.truncate(kept);
    self.era += 1;
    if let Some((object, revision)) = self.copies.back().cloned() {
      self.revision = revision;
      let era = self.era;
      self.object = object.map(|object| Object {
        revision: Revision {
          era,
          ..object.revision
        },
        ..object
      });
    }
  }

  fn record(&self) -> Record {
    serde_json::from_value(self.object.as_ref().unwrap().spec.clone()).unwrap()
  }
}

fn new_lease(name: &str) -> Lease {
  new_lease_at(name, 0)
}

fn new_lease_at(name: &str, now: u64) -> Lease {
  Lease::new(name, "127.0.0.1:1".parse().unwrap(), GAP_MS, 0, now)
}

fn machines(names: &[&str]) -> BTreeSet<u32> {
  names.iter().map(|name| short_hash(name)).collect()
}

/// Makes the calls of an instance; the store responds immediately.
fn run(lease: &mut Lease, store: &mut Store, now: u64) {
  for _ in 0..4 {
    if let Some(call) = lease.next_call(now, false) {
      let result = store.apply(&call);
      lease.record_call_result(now, &call, result);
    }
  }
}

#[test]
fn the_first_takes_it_and_keeps_it() {
  let mut store = Store::default();
  let (mut one, mut two) = (new_lease("one"), new_lease("two"));
  for now in (0..20_000).step_by(100) {
    run(&mut one, &mut store, now);
    run(&mut two, &mut store, now);
    assert_eq!(one.term(now), Some(1), "{now}");
    assert_eq!(two.term(now), None, "{now}");
  }
}

#[test]
fn a_machine_that_starts_again_goes_on_at_once_under_a_new_term() {
  let mut store = Store::default();
  let mut old = new_lease("one");
  run(&mut old, &mut store, 0);
  let mut new = new_lease("one");
  run(&mut new, &mut store, 10);
  assert_eq!(new.term(10), Some(2));
}

// Guards against taking reports for complete that may lack orders of the earlier process.
#[test]
fn orders_of_another_machine_are_the_gap_ago_and_those_of_an_earlier_process_are_not() {
  let mut store = Store::default();
  let mut one = new_lease("one");
  run(&mut one, &mut store, 0);
  assert_eq!(one.foreign_orders_until(), None, "nobody held it before");
  let mut again = new_lease("one");
  run(&mut again, &mut store, 100);
  assert_eq!(again.foreign_orders_until(), Some(100));
  let mut two = new_lease("two");
  let acquired_at = (200..40_000).step_by(100).find(|now| {
    run(&mut two, &mut store, *now);
    two.term(*now).is_some()
  });
  let acquired_at = acquired_at.expect("not acquired");
  assert_eq!(two.foreign_orders_until(), Some(acquired_at - GAP_MS));
}

#[test]
fn a_released_lease_is_taken_after_the_gap() {
  let mut store = Store::default();
  let (mut one, mut two) = (new_lease("one"), new_lease("two"));
  run(&mut one, &mut store, 0);
  run(&mut two, &mut store, 0);
  let call = one.next_call(1_000, true).unwrap();
  let result = store.apply(&call);
  one.record_call_result(1_000, &call, result);
  assert_eq!(one.term(1_000), None);
  assert!(store.record().released);
  let acquired_at = (1_000..20_000).step_by(50).find(|now| {
    run(&mut two, &mut store, *now);
    two.term(*now).is_some()
  });
  let acquired_at = acquired_at.expect("the lease is acquired");
  assert!(
    (1_000 + GAP_MS..1_000 + GAP_MS + 1_500).contains(&acquired_at),
    "{acquired_at}"
  );
}

/// Guards against a planner thread that spins while its instance stays without the lease.
#[test]
fn a_lease_that_stays_released_is_not_due() {
  let mut store = Store::default();
  let mut one = new_lease("one");
  run(&mut one, &mut store, 0);
  while let Some(call) = one.next_call(10_000, true) {
    let result = store.apply(&call);
    one.record_call_result(10_000, &call, result);
  }
  assert!(one.next_call(10_001, true).is_none());
  for now in [10_001, 12_000] {
    assert!(one.due(now) > now, "due at {} ms", one.due(now));
  }
  let acquired = (10_100..20_000).step_by(50).any(|now| {
    run(&mut one, &mut store, now);
    one.term(now).is_some()
  });
  assert!(acquired, "the lease is not acquired again");
}

#[test]
fn a_write_without_answer_is_read_back() {
  let mut store = Store::default();
  let mut one = new_lease("one");
  run(&mut one, &mut store, 0);
  let call = one.next_call(800, false).unwrap();
  store.apply(&call).unwrap();
  one.record_call_result(850, &call, Err(Error::NoAnswer));
  let again = one.next_call(1_050, false).unwrap();
  assert_eq!(again, Call::Read);
  let result = store.apply(&again);
  one.record_call_result(1_050, &again, result);
  run(&mut one, &mut store, 1_060);
  assert_eq!(one.term(2_000), Some(1));
}

#[test]
fn word_of_the_holder_holds_a_taker_back() {
  let mut store = Store::default();
  let (mut one, mut two) = (new_lease("one"), new_lease("two"));
  run(&mut one, &mut store, 0);
  run(&mut two, &mut store, 0);
  let address = "127.0.0.1:1".parse().unwrap();
  for now in (0..15_000).step_by(250) {
    run(&mut one, &mut store, now);
    two.receive(now, one.heartbeat(now).unwrap(), address);
    // One read shows that no acquire of an earlier process is pending; further reads would show no
    // more than the heartbeat.
    let called = two.next_call(now, false);
    let read = (now == 10_000).then_some(Call::Read);
    assert_eq!(called, read, "{now}");
    if let Some(call) = called {
      two.record_call_result(now, &call, store.apply(&call));
    }
  }
}

/// A call in flight, which gets a response, is lost, or is applied late.
struct PendingCall {
  at: u64,
  /// Index of the caller; `None` if the store applies a write late.
  who: Option<usize>,
  call: Call,
  applied: bool,
  has_response: bool,
}

/// A datagram between machines.
#[derive(Clone)]
enum Datagram {
  Heartbeat(Heartbeat),
  Request(usize, Request),
  Promise(Promise),
}

const MACHINES: usize = 4;

/// Simulates machines with an unreliable store. The last machine starts late, and the others don't
/// know it at first. Returns the orders that each machine could send: time, machine and term.
fn simulate(seed: u64) -> Vec<(u64, usize, u64)> {
  simulate_with(seed, false)
}

/// Same as `simulate`; with `restores`, the store is occasionally restored from copies up to 8 s
/// old.
fn simulate_with(seed: u64, restores: bool) -> Vec<(u64, usize, u64)> {
  let mut restore_rng = SmallRng::seed_from_u64(!seed);
  let mut rng = SmallRng::seed_from_u64(seed);
  let mut store = Store::default();
  let names = ["one", "two", "three", "four"];
  let mut leases: Vec<Lease> = names.iter().map(|name| new_lease(name)).collect();
  // The other machines have been running since the start.
  let joins_at = rng.random_range(15_000..50_000);
  let known_at = joins_at + rng.random_range(0..20_000);
  leases[3] = new_lease_at(names[3], joins_at);
  let mut cut_off_until = [0u64; MACHINES];
  let mut suspended_until = [0u64; MACHINES];
  let mut pending_calls: Vec<PendingCall> = Vec::new();
  let mut datagrams: Vec<(u64, usize, Datagram)> = Vec::new();
  let mut orders = Vec::new();
  let address = "127.0.0.1:1".parse().unwrap();
  for now in (0..90_000u64).step_by(50) {
    if restores && restore_rng.random_range(0..250) == 0 {
      store.restore(restore_rng.random_range(0..COPY_COUNT));
    }
    store.keep_copy();
    let due: Vec<(u64, usize, Datagram)> = datagrams
      .extract_if(.., |(at, who, _)| {
        *at <= now && now >= suspended_until[*who]
      })
      .collect();
    for (_, who, datagram) in due {
      match datagram {
        Datagram::Heartbeat(heartbeat) => leases[who].receive(now, heartbeat, address),
        Datagram::Request(from, request) => {
          if let Some(promise) = leases[who].promise(now, request) {
            let at = now + rng.random_range(1..100);
            datagrams.push((at, from, Datagram::Promise(promise)));
          }
        }
        Datagram::Promise(promise) => leases[who].receive_promise(&promise),
      }
    }
    let (due, later): (Vec<PendingCall>, Vec<PendingCall>) = pending_calls
      .into_iter()
      .partition(|call_in_flight| call_in_flight.at <= now);
    pending_calls = later;
    for call_in_flight in due {
      let result = match call_in_flight.applied {
        true => store.apply(&call_in_flight.call),
        false => Err(Error::Refused(503)),
      };
      let Some(who) = call_in_flight.who else {
        continue;
      };
      let arrives = call_in_flight.has_response && now >= suspended_until[who];
      let result = if arrives {
        result
      } else {
        Err(Error::NoAnswer)
      };
      leases[who].record_call_result(now, &call_in_flight.call, result);
    }
    for who in 0..MACHINES {
      if who == 3 && now < joins_at {
        continue;
      }
      let known = if now < known_at {
        &names[..3]
      } else {
        &names[..]
      };
      leases[who].set_machines(machines(known));
      if rng.random_range(0..300) == 0 {
        cut_off_until[who] = now + rng.random_range(500..12_000);
      }
      if rng.random_range(0..400) == 0 {
        suspended_until[who] = now + rng.random_range(200..9_000);
      }
      if rng.random_range(0..1_500) == 0 {
        leases[who] = new_lease_at(names[who], now);
        pending_calls.retain(|call_in_flight| call_in_flight.who != Some(who));
      }
      if now < suspended_until[who] {
        continue;
      }
      if let Some(term) = leases[who].term(now) {
        orders.push((now, who, term));
      }
      if rng.random_range(0..6) == 0
        && let Some(heartbeat) = leases[who].heartbeat(now)
      {
        let other = (who + rng.random_range(1..MACHINES)) % MACHINES;
        datagrams.push((
          now + rng.random_range(1..300),
          other,
          Datagram::Heartbeat(heartbeat),
        ));
      }
      if let Some(request) = leases[who].next_promise_request(now) {
        for other in (0..MACHINES).filter(|other| *other != who) {
          let reached = (other < 3 || now >= known_at) && rng.random_range(0..8) > 0;
          if reached {
            let at = now + rng.random_range(1..150);
            datagrams.push((at, other, Datagram::Request(who, request)));
          }
        }
      }
      if let Some(call) = leases[who].next_call(now, false) {
        let at = now + rng.random_range(1..400);
        let kind = match now < cut_off_until[who] {
          true => 2,
          false => rng.random_range(0..10),
        };
        let late = kind == 0;
        pending_calls.push(PendingCall {
          at,
          who: Some(who),
          call: call.clone(),
          applied: kind > 2,
          has_response: kind > 3,
        });
        if late {
          pending_calls.push(PendingCall {
            at: at + rng.random_range(1_000..6_000),
            who: None,
            call,
            applied: true,
            has_response: false,
          });
        }
      }
    }
  }
  orders
}

fn too_close(orders: &[(u64, usize, u64)]) -> Option<String> {
  for pair in orders.windows(2) {
    let ((before, one, term), (after, two, next)) = (pair[0], pair[1]);
    if one != two && after < before + GAP_MS {
      return Some(format!("{one} at {before}, {two} at {after}"));
    }
    if next < term || (one != two && next == term) {
      return Some(format!("term {next} of {two} after {term} of {one}"));
    }
  }
  None
}

#[test]
fn a_holder_that_hears_of_another_one_does_not_renew_its_lease() {
  let mut store = Store::default();
  let (mut one, mut two) = (new_lease("one"), new_lease("two"));
  one.set_machines(machines(&["two"]));
  run(&mut one, &mut store, 0);
  run(&mut two, &mut store, 0);
  for now in (0..8_000).step_by(50) {
    run(&mut two, &mut store, now);
  }
  assert_eq!(two.term(7_950), Some(2));
  let address = "127.0.0.1:1".parse().unwrap();
  one.receive(7_960, two.heartbeat(7_960).unwrap(), address);
  run(&mut one, &mut store, 8_000);
  assert_eq!(one.term(8_000), None);
  assert_eq!(store.record().machine, "two");
}

quickcheck! {
  fn orders_of_two_machines_lie_the_gap_apart(seed: u64) -> TestResult {
    match too_close(&simulate(seed)) {
      None => TestResult::passed(),
      Some(violation) => TestResult::error(format!("seed {seed}: {violation}")),
    }
  }
}

quickcheck! {
  fn orders_lie_the_gap_apart_where_the_store_comes_back_from_copies(seed: u64) -> TestResult {
    match too_close(&simulate_with(seed, true)) {
      None => TestResult::passed(),
      Some(violation) => TestResult::error(format!("seed {seed}: {violation}")),
    }
  }
}

#[test]
fn orders_lie_the_gap_apart_where_the_store_came_back_and_they_once_did_not() {
  for seed in [
    13_477_489_758_470_426_805,
    7_638_941_219_290_358_921,
    523_618_388_040_073_492,
    12,
  ] {
    assert_eq!(too_close(&simulate_with(seed, true)), None, "seed {seed}");
  }
}

/// Simulates machines with a store that is unavailable for `outage_ms` and is restored at 10 s from
/// a copy that is `steps` steps old; with `dies`, the first machine fails then. Returns the orders:
/// time and machine.
fn simulate_restore(steps: usize, outage_ms: u64, dies: bool) -> Vec<(u64, usize)> {
  let names = ["one", "two", "three"];
  let mut store = Store::default();
  let mut leases: Vec<Lease> = names.iter().map(|name| new_lease(name)).collect();
  let address = "127.0.0.1:1".parse().unwrap();
  let mut orders = Vec::new();
  for now in (0..60_000).step_by(50) {
    store.keep_copy();
    if now == 10_000 {
      store.restore(steps);
    }
    for who in 0..3 {
      if dies && who == 0 && now >= 10_000 {
        continue;
      }
      leases[who].set_machines(machines(&names));
      if let Some(heartbeat) = leases[who].heartbeat(now) {
        let others = (0..3).filter(|other| *other != who);
        others.for_each(|other| leases[other].receive(now, heartbeat.clone(), address));
      }
      if leases[who].term(now).is_some() {
        orders.push((now, who));
      }
      let unavailable = (10_000 - outage_ms..10_000).contains(&now);
      match unavailable {
        false => run(&mut leases[who], &mut store, now),
        true => {
          if let Some(call) = leases[who].next_call(now, false) {
            leases[who].record_call_result(now, &call, Err(Error::Refused(503)));
          }
        }
      }
    }
  }
  orders
}

#[test]
fn a_holder_whose_time_ended_while_the_store_was_away_goes_on_with_its_return() {
  for steps in [0, 10, 100] {
    let orders = simulate_restore(steps, 2_500, false);
    let next = orders.iter().find(|(now, _)| *now >= 10_000);
    let (now, who) = next.expect("an order follows");
    assert!(
      *who == 0 && *now <= 11_000,
      "{steps} steps: {who} at {now} ms"
    );
  }
}

#[test]
fn a_holder_goes_on_when_the_store_comes_back_from_a_copy() {
  for steps in [0, 10, 100] {
    let orders = simulate_restore(steps, 0, false);
    let gaps = orders.windows(2).map(|pair| pair[1].0 - pair[0].0);
    assert!(gaps.max().unwrap() <= 100, "{steps} steps");
    assert!(orders.iter().all(|(_, who)| *who == 0), "{steps} steps");
  }
}

#[test]
fn a_lease_whose_holder_ends_with_the_return_is_taken() {
  for steps in [0, 10, 100] {
    let orders = simulate_restore(steps, 0, true);
    let next = orders.iter().find(|(now, _)| *now >= 12_000);
    let (now, _) = next.expect("the lease is acquired");
    // Same delay as after any other failure of a holder that the store's record shows.
    assert!(*now <= 18_000, "{steps} steps: at {now} ms");
  }
}

/// Simulates three machines of which the store refuses the first one, the holder, from 5 s to 12 s.
fn simulate_refusal(promises: bool) -> Vec<(u64, usize)> {
  let names = ["one", "two", "three"];
  let mut store = Store::default();
  let mut leases: Vec<Lease> = names.iter().map(|name| new_lease(name)).collect();
  let address = "127.0.0.1:1".parse().unwrap();
  let mut orders = Vec::new();
  for now in (0..25_000).step_by(50) {
    for who in 0..3 {
      leases[who].set_machines(machines(&names));
      if let Some(heartbeat) = leases[who].heartbeat(now) {
        let others = (0..3).filter(|other| *other != who);
        others.for_each(|other| leases[other].receive(now, heartbeat.clone(), address));
      }
      if leases[who].term(now).is_some() {
        orders.push((now, who));
      }
      if let Some(call) = leases[who].next_call(now, false) {
        let result = match who == 0 && (5_000..12_000).contains(&now) {
          true => Err(Error::Refused(503)),
          false => store.apply(&call),
        };
        leases[who].record_call_result(now, &call, result);
      }
      let Some(request) = leases[who].next_promise_request(now).filter(|_| promises) else {
        continue;
      };
      for other in (0..3).filter(|other| *other != who) {
        if let Some(promise) = leases[other].promise(now, request) {
          leases[who].receive_promise(&promise);
        }
      }
    }
  }
  orders
}

#[test]
fn a_holder_that_the_store_turns_away_goes_on_while_all_others_promise() {
  let gap = |orders: &[(u64, usize)]| {
    let pairs = orders.windows(2).map(|pair| pair[1].0 - pair[0].0);
    pairs.max().unwrap()
  };
  let (without, with) = (simulate_refusal(false), simulate_refusal(true));
  assert!(gap(&without) >= GAP_MS, "{}", gap(&without));
  // A machine that started recently makes no promise, because its earlier process may still acquire
  // the lease.
  let later: Vec<(u64, usize)> = with
    .iter()
    .copied()
    .filter(|(now, _)| *now >= 10_000)
    .collect();
  assert!(gap(&later) <= 100, "{}", gap(&later));
}

#[test]
fn a_machine_that_is_not_listed_waits_until_no_extension_can_be_in_force() {
  let mut store = Store::default();
  let (mut one, mut two) = (new_lease("one"), new_lease("two"));
  run(&mut one, &mut store, 0);
  let acquired_at = (0..60_000).step_by(50).find(|now| {
    run(&mut two, &mut store, *now);
    two.term(*now).is_some()
  });
  let acquired_at = acquired_at.expect("the lease is acquired");
  assert!((24_000..27_000).contains(&acquired_at), "{acquired_at}");
}

#[test]
fn a_machine_whose_taking_may_be_on_its_way_promises_nothing() {
  let mut store = Store::default();
  let (mut one, mut two) = (new_lease("one"), new_lease("two"));
  one.set_machines(machines(&["two"]));
  run(&mut one, &mut store, 0);
  run(&mut two, &mut store, 0);
  let acquire_write = (0..9_000).step_by(50).find_map(|now| {
    let call = two.next_call(now, false)?;
    if let Call::Write { .. } = call {
      return Some((now, call));
    }
    two.record_call_result(now, &call, store.apply(&call));
    None
  });
  let (now, call) = acquire_write.expect("the holder sends no heartbeat");
  let request = |now: u64| Request {
    term: 1,
    extends: true,
    round: now as u32,
  };
  assert_eq!(
    two.promise(now + 10, request(now)),
    None,
    "the write is in flight"
  );
  two.record_call_result(now + 1_000, &call, Err(Error::NoAnswer));
  assert_eq!(
    two.promise(now + 1_100, request(now)),
    None,
    "the write got no response"
  );
  assert_eq!(
    two.promise(now + 9_000, request(now)),
    None,
    "the write may be applied late"
  );
  assert_eq!(
    two.promise(now + 12_000, request(now)),
    None,
    "the record was not read since"
  );
  let read = two.next_call(now + 12_000, false).unwrap();
  assert_eq!(read, Call::Read);
  two.record_call_result(now + 12_010, &read, store.apply(&read));
  assert!(two.promise(now + 12_100, request(now)).is_some());
}

#[test]
fn orders_lie_the_gap_apart_where_they_once_did_not() {
  // Causes: an acquire had reached the store without its machine knowing; a restarted machine lost
  // its promise; the heartbeat of a holder that extended its lease gave the time of its renewal.
  let seeds = [
    2_052_517,
    3_061_382,
    3_107_320,
    2_108_073,
    1_123_812,
    5_606_866_251_557_674_693,
    14_294_883_148_380_129_774,
    1_081_553_691_701_409,
  ];
  for seed in seeds {
    assert_eq!(too_close(&simulate(seed)), None, "seed {seed}");
  }
}

#[test]
fn the_histories_have_several_holders() {
  let holders = |seed| {
    let orders = simulate(seed);
    let changes = orders.windows(2).filter(|pair| pair[0].1 != pair[1].1);
    changes.count()
  };
  let changes: usize = (0..20).map(holders).sum();
  assert!(changes > 20, "{changes}");
}

/// Guards against orders with no term under a lease that was acquired by a slow response and whose time other
/// instances then extend.
#[test]
fn a_lease_whose_time_is_over_when_it_is_acquired_has_its_term() {
  let mut store = Store::default();
  let mut old = new_lease("one");
  run(&mut old, &mut store, 0);
  let mut new = new_lease("one");
  let read = new.next_call(10, false).unwrap();
  assert_eq!(read, Call::Read);
  new.record_call_result(10, &read, store.apply(&read));
  let write = new.next_call(11, false).unwrap();
  let result = store.apply(&write);
  let late = 11 + GAP_MS;
  assert!(new.record_call_result(late, &write, result), "not acquired");
  assert_eq!(new.term(late), None);
  assert_eq!(new.held_term(), Some(2));
}
