//! Customers: their keys, their quotas over a fleet, and fair ordering between them.

mod fleet_quota;

use bendsaddle::{
  customer::{Caller, Customer, Digest, Directory, Rejection, Scheduler, Unit, authenticate},
  http::Headers,
  quota::{Allowance, Balances, Decision, Grant, Id, Quota, Window},
};
use fleet_quota::{Scenario, Strategy, simulate};
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::SmallRng};

fn customer(name: &str, keys: &[&str]) -> Customer {
  Customer {
    name: name.into(),
    keys: keys.iter().map(|key| Digest::of(key.as_bytes())).collect(),
    priority: None,
    unit: Unit::Tokens { default_cost: 200 },
    quota: None,
  }
}

fn headers(lines: &[(&str, &str)]) -> Headers {
  let lines = lines.iter();
  Headers(
    lines
      .map(|(name, value)| (name.to_string(), value.as_bytes().to_vec()))
      .collect(),
  )
}

fn identify(lines: &[(&str, &str)]) -> Result<Caller, Rejection> {
  let book = Directory::new(vec![
    customer("one", &["k1", "k2"]),
    customer("two", &["k3"]),
  ])
  .unwrap();
  authenticate(&headers(lines), "usage", &book)
}

#[test]
fn a_key_names_its_customer() {
  for (value, name) in [
    ("Bearer k1", "one"),
    ("bearer  k2 ", "one"),
    ("BEARER k3", "two"),
  ] {
    let caller = identify(&[("Authorization", value)]).unwrap();
    assert_eq!(caller.customer, Id::for_customer(name), "{value}");
    assert_eq!(caller.cost, 200);
  }
  let usage = [("authorization", "Bearer k1"), ("Usage", "1460,80")];
  assert_eq!(identify(&usage).unwrap().cost, 1_540);
}

#[test]
fn what_is_no_known_key_names_nobody() {
  for value in ["", "Bearer", "Bearer ", "Basic k1", "k1", "Bearerk1"] {
    assert_eq!(
      identify(&[("Authorization", value)]),
      Err(Rejection::Missing)
    );
  }
  let other = identify(&[("Authorization", "Bearer K1")]);
  assert_eq!(other, Err(Rejection::Unknown));
  let twice = [
    ("Authorization", "Bearer k1"),
    ("authorization", "Bearer k1"),
  ];
  assert_eq!(identify(&twice), Err(Rejection::Missing));
  assert_eq!(identify(&[]), Err(Rejection::Missing));
}

quickcheck! {
  /// No headers identify a caller without exactly one known key.
  fn nobody_is_found_without_a_key(lines: Vec<(String, String)>, scheme: String) -> bool {
    let mut lines: Vec<(&str, &str)> = lines
      .iter()
      .map(|(name, value)| (name.as_str(), value.as_str()))
      .collect();
    let own = format!("{scheme}k9");
    lines.push(("Authorization", &own));
    identify(&lines).is_err()
  }

  /// A digest is parsed back from its text, and another text never gives the same digest.
  fn digests_are_read_back(key: Vec<u8>, text: String) -> bool {
    let digest = Digest::of(&key);
    Digest::parse(&digest.hex()) == Some(digest)
      && Digest::parse(&text).is_none_or(|other| other.hex() == text.to_lowercase())
      && !format!("{digest:?}").contains(&digest.hex()[..8])
  }
}

#[test]
fn faulty_customers_are_named_with_their_fault() {
  let quota = |rate, burst| {
    let mut customer = customer("q", &[]);
    customer.quota = Some(Quota { rate, burst });
    customer
  };
  for (customers, error) in [
    (
      vec![customer("one", &["k"]), customer("two", &["k"])],
      "keys: customers `one` and `two` share one",
    ),
    (
      vec![customer("one", &[]), customer("one", &[])],
      "customer: `one` is there twice",
    ),
    (vec![customer("", &["k"])], "customer: `` has no name"),
    (
      vec![customer("a\r\nb", &["k"])],
      "customer: `a\r\nb` is not plain ASCII",
    ),
    (
      vec![quota(-1.0, 0.0)],
      "rate: `-1` of customer `q` is not a quota",
    ),
    (
      vec![quota(1.0, f64::NAN)],
      "burst: `NaN` of customer `q` is not a quota",
    ),
  ] {
    assert_eq!(Directory::new(customers), Err(error.to_string()));
  }
  let valid = vec![
    customer("one", &["k", "k"]),
    customer("two", &[]),
    quota(0.0, 0.0),
  ];
  assert!(Directory::new(valid).is_ok());
}

#[test]
fn a_window_forgets_what_is_older_and_no_sooner() {
  let mut window = Window::new(8_000);
  window.add(1_000, 5.0);
  window.add(2_000, 7.0);
  assert_eq!(window.sum(8_900), 12.0);
  assert_eq!(window.sum(9_300), 7.0);
  assert!((700..=1_000).contains(&window.time_until_reduced(9_300, 7.0)));
  assert_eq!(window.sum(20_000), 0.0);
  window.add_at(30_000, 25_000, 3.0);
  window.add(30_000, 4.0);
  assert_eq!(window.quarters(30_000), [4.0, 0.0, 3.0, 0.0]);
  assert_eq!(window.sum(33_500), 4.0);
}

#[test]
fn what_was_surely_not_run_is_given_back() {
  let mut quotas = Balances::new(1);
  let id = Id::for_customer("one");
  let grant = Grant {
    id,
    limit: 500,
    over_ms: 0,
  };
  quotas.receive_grants(1_010, 1_010, &[grant]);
  let allowance = Allowance {
    quota: Quota {
      rate: 100.0,
      burst: 100.0,
    },
    bound: fleet_quota::BOUND,
  };
  let spend = |quotas: &mut Balances, now| quotas.acquire(now, (id, &allowance), 400, Some(0), 100);
  assert_eq!(spend(&mut quotas, 1_020), Decision::Granted);
  assert!(matches!(spend(&mut quotas, 1_030), Decision::Exceeded(_)));
  quotas.refund(id, 400);
  assert_eq!(spend(&mut quotas, 1_050), Decision::Granted);
  assert_eq!(quotas.usage(1_050, id), (400, 100));
  // Its grant has expired.
  quotas.refund(id, 400);
  assert_ne!(spend(&mut quotas, 3_060), Decision::Granted);
}

#[test]
fn one_large_customer_and_fifteen_small_ones_take_turns() {
  let mut turns = Scheduler::default();
  let large = Id(0);
  let mut waiting: Vec<(u64, Id)> = (0..300).map(|_| (turns.tag(large, 1_000), large)).collect();
  for small in 1..=15 {
    waiting.push((turns.tag(Id(small), 1_000), Id(small)));
  }
  waiting.sort();
  let last = waiting.iter().rposition(|(_, who)| *who != large).unwrap();
  assert!(
    last < 16,
    "a small customer waits for {last} other requests"
  );
  // A customer that arrives later starts at the current tag, without credit for earlier turns.
  turns.record_dispatch(50_000);
  assert_eq!(turns.tag(Id(99), 1_000), 50_000);
}

/// A fleet of the users' size, with a few large customers and more small ones.
fn scenario(seed: u64) -> Scenario {
  Scenario {
    seed,
    instances: 71,
    usual: vec![
      150_000.0, 80_000.0, 40_000.0, 20_000.0, 10_000.0, 5_000.0, 4_000.0, 2_000.0,
    ],
    hot_customer: None,
    pinned_customer: None,
    kill: None,
    holder_losses: &[],
    partitioned: None,
    suspended: None,
    loss: 0.01,
    length_ms: 24_000,
  }
}

/// Scenarios with their names.
fn scenarios() -> Vec<(&'static str, Scenario)> {
  let hot_customer = |who| Some((who, 7.5, 8_000, 16_000));
  vec![
    ("quiet", scenario(1)),
    (
      "a large customer at 7.5 times its usual rate",
      Scenario {
        hot_customer: hot_customer(0),
        ..scenario(2)
      },
    ),
    (
      "a small customer at 7.5 times its usual rate",
      Scenario {
        hot_customer: hot_customer(5),
        ..scenario(3)
      },
    ),
    (
      "all callers of one customer move to one instance",
      Scenario {
        pinned_customer: Some((1, 8_000)),
        ..scenario(4)
      },
    ),
    (
      "half of all instances and the holder fail",
      Scenario {
        kill: Some((0.5, 10_000, true)),
        hot_customer: hot_customer(0),
        ..scenario(5)
      },
    ),
    (
      "one instance is partitioned from all others",
      Scenario {
        partitioned: Some((1, 8_000, 16_000)),
        hot_customer: hot_customer(1),
        ..scenario(6)
      },
    ),
  ]
}

#[test]
fn no_window_holds_more_than_a_quota_allows() {
  for (name, scenario) in scenarios() {
    let outcome = simulate(&scenario, Strategy::Requested);
    assert!(outcome.worst <= 1.0, "{name}: {:.3}", outcome.worst);
  }
}

#[test]
fn what_is_within_a_quota_is_seldom_refused() {
  for (name, scenario) in scenarios() {
    let outcome = simulate(&scenario, Strategy::Requested);
    let refused = outcome.refused as f64 / outcome.within.max(1) as f64;
    let most = if name == "quiet" { 0.005 } else { 0.02 };
    assert!(refused < most, "{name}: {refused:.4} of {}", outcome.within);
  }
}

/// Compares the strategies; `cargo test the_way -- --nocapture` prints the figures of each.
#[test]
fn the_way_that_asks_refuses_least() {
  let mut sums = [0.0; 3];
  for (name, scenario) in scenarios() {
    for (sum, strategy) in
      sums
        .iter_mut()
        .zip([Strategy::Equal, Strategy::Leases, Strategy::Requested])
    {
      let outcome = simulate(&scenario, strategy);
      let refused = outcome.refused as f64 / outcome.within.max(1) as f64;
      *sum += refused;
      println!(
        "{name}: worst window {:.3}, refused within quota {refused:.4}, messages per second {}",
        outcome.worst,
        outcome.messages * 1_000 / scenario.length_ms as usize
      );
    }
  }
  assert!(sums[2] < sums[0] && sums[2] < sums[1], "{sums:?}");
}

/// A random scenario of failures, suspensions, partitions and late messages.
fn random_scenario(seed: u64, faults: u8, at: u16, count: u8) -> Scenario {
  let at = 2_000 + u64::from(at) % 8_000;
  let span = Some((1 + usize::from(count) % 6, at, at + 4_000));
  let mut scenario = Scenario {
    instances: 20,
    usual: vec![120_000.0, 30_000.0, 6_000.0],
    hot_customer: Some((
      usize::from(count) % 3,
      7.5,
      at.saturating_sub(2_000),
      at + 5_000,
    )),
    loss: 0.05,
    length_ms: 16_000,
    ..scenario(seed)
  };
  if faults & 1 > 0 {
    scenario.kill = Some((0.5, at, faults & 2 > 0));
  }
  if faults & 4 > 0 {
    scenario.partitioned = span;
  }
  if faults & 8 > 0 {
    scenario.suspended = span;
  }
  scenario
}

/// Histories in which usage has exceeded the bound. Causes: a holder that knew too little of the
/// usage before its term, shares that were granted repeatedly, too much granted in advance.
const PAST_VIOLATIONS: [(u64, u8, u16, u8); 6] = [
  (0, 183, 0, 0),
  (0, 59, 0, 0),
  (0, 191, 0, 0),
  (0, 191, 26, 0),
  (0, 3, 0, 0),
  (3, 8, 37_766, 95),
];
/// Number of further histories, drawn from a fixed seed so that the result is reproducible.
const RANDOM_HISTORIES: usize = 120;

#[test]
fn the_sum_over_any_window_stays_under_the_bound_in_any_history() {
  let mut rng = SmallRng::seed_from_u64(8_000);
  let random = (0..RANDOM_HISTORIES).map(|_| rng.random::<(u64, u8, u16, u8)>());
  for (seed, faults, at, count) in PAST_VIOLATIONS.into_iter().chain(random) {
    let worst = simulate(
      &self::random_scenario(seed, faults, at, count),
      Strategy::Requested,
    )
    .worst;
    assert!(
      worst <= 1.0,
      "({seed}, {faults}, {at}, {count}): {worst:.3}"
    );
  }
}
