//! Enforcement of the request rate limits that overloaded backend servers announce, across a fleet.

mod fleet_limit;
#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::Spec,
  deployment::Engine,
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  life::Life,
  limit::{Limits, allowance, parse},
  refusal::Reason,
  request::Ticket,
  route::{Repeat, Stream},
  statement::{Content, Recorded, Statement, recorded},
  verdict::Verdict,
};
use fleet_limit::{Outcome, Scenario, WINDOW_MS, simulate};
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use requests::refused;
use serde_json::{Value, json};
use std::{collections::BTreeMap, sync::Arc};

/// Longest time that a refused request may wait for a unit of a server's limit: until the holder
/// answers or the instance stops waiting for its answer.
const MAX_REFUSAL_MS: u64 = 200;

/// Three servers, one of which announces a limit from 4 s on.
fn scenario(seed: u64, instances: usize, rate: f64) -> Scenario {
  Scenario {
    seed,
    instances,
    servers: 3,
    load: 60.0,
    announced: vec![(4_000, Some(rate))],
    restart: None,
    kill: None,
    partitioned: None,
    suspended: None,
    declined: 0.0,
    broken: 0.0,
    loss: 0.01,
    length_ms: 20_000,
  }
}

fn scenarios(instances: usize, rate: f64) -> Vec<(&'static str, Scenario)> {
  let scenario = |seed| scenario(seed, instances, rate);
  let half = instances / 2;
  vec![
    ("no faults", scenario(1)),
    (
      "the holder dies",
      Scenario {
        kill: Some((1, 9_000, true)),
        ..scenario(2)
      },
    ),
    (
      "half of the instances and the holder die",
      Scenario {
        kill: Some((half, 9_000, true)),
        ..scenario(3)
      },
    ),
    (
      "half of the instances restart",
      Scenario {
        kill: Some((half, 9_000, false)),
        ..scenario(4)
      },
    ),
    (
      "three instances are partitioned",
      Scenario {
        partitioned: Some((3, 3_000, 12_000)),
        ..scenario(5)
      },
    ),
    (
      "three instances are suspended",
      Scenario {
        suspended: Some((3, 7_000, 11_000)),
        ..scenario(6)
      },
    ),
    (
      "requests are declined, broken off and retried",
      Scenario {
        declined: 0.3,
        broken: 0.2,
        ..scenario(7)
      },
    ),
    (
      "datagrams are lost",
      Scenario {
        loss: 0.15,
        ..scenario(8)
      },
    ),
    (
      "the server restarts",
      Scenario {
        restart: Some(10_000),
        ..scenario(9)
      },
    ),
    (
      "the server withdraws the limit and announces it again",
      Scenario {
        announced: vec![(4_000, Some(rate)), (9_000, None), (13_000, Some(rate))],
        ..scenario(10)
      },
    ),
    (
      "the limit changes",
      Scenario {
        announced: vec![(4_000, Some(rate)), (9_000, Some(rate / 2.0))],
        ..scenario(11)
      },
    ),
    (
      "the limited server is the only one",
      Scenario {
        servers: 1,
        ..scenario(12)
      },
    ),
  ]
}

fn assert_limit_kept(name: &str, outcome: &Outcome) {
  println!("{name}: {outcome:?}");
  assert!(outcome.excess <= 0.0, "{name}: {outcome:?}");
  assert!(
    outcome.slowest_refusal_ms <= MAX_REFUSAL_MS,
    "{name}: {outcome:?}"
  );
}

#[test]
fn a_limit_holds_at_seven_instances() {
  for rate in [1.0, 2.3, 0.3, 8.0] {
    for (name, scenario) in scenarios(7, rate) {
      assert_limit_kept(
        &format!("{name}, {rate} requests per second"),
        &simulate(&scenario),
      );
    }
  }
}

#[test]
fn a_limit_of_one_a_second_holds_at_295_instances() {
  for (name, scenario) in scenarios(295, 1.0) {
    assert_limit_kept(
      name,
      &simulate(&Scenario {
        load: 600.0,
        ..scenario
      }),
    );
  }
}

#[test]
fn a_limit_holds_when_all_instances_are_killed_at_once() {
  for rate in [1.0, 2.3, 0.3, 8.0] {
    for seed in 50..60 {
      let killed = Scenario {
        kill: Some((7, 8_300 + seed * 37, true)),
        ..scenario(seed, 7, rate)
      };
      assert_limit_kept(&format!("{rate} requests per second"), &simulate(&killed));
    }
  }
}

#[test]
fn what_a_lone_server_takes_is_used_and_the_rest_is_refused_at_once() {
  for (instances, load) in [(7, 60.0), (295, 600.0)] {
    for rate in [1.0, 2.3] {
      let lone_server = Scenario {
        servers: 1,
        load,
        ..scenario(20, instances, rate)
      };
      let outcome = simulate(&lone_server);
      println!("{instances} instances, {rate} requests per second: {outcome:?}");
      let used = outcome.received as f64 / outcome.allowed;
      assert!(
        used > 0.6,
        "{instances}, {rate}: {used:.2} of the limit is used"
      );
      assert!(outcome.slowest_refusal_ms <= MAX_REFUSAL_MS, "{outcome:?}");
    }
  }
}

#[test]
fn where_others_have_room_nothing_is_refused() {
  for instances in [7, 295] {
    let outcome = simulate(&scenario(30, instances, 1.0));
    assert_eq!(outcome.refused, 0, "{instances}: {outcome:?}");
  }
}

#[test]
fn a_server_that_names_no_limit_any_more_gets_its_share_again() {
  for (instances, load) in [(7, 60.0), (295, 600.0)] {
    let ends = Scenario {
      load,
      announced: vec![(4_000, Some(1.0)), (9_000, None)],
      ..scenario(40, instances, 1.0)
    };
    let outcome = simulate(&ends);
    let share = load / 3.0;
    assert!(
      outcome.received_in_last_second as f64 > share / 2.0,
      "{instances}: {outcome:?}"
    );
  }
}

/// Returns a random scenario of crashes, suspensions, partitions, restarts and lost datagrams.
fn random_scenario(rng: &mut SmallRng) -> Scenario {
  let rate = [0.5, 1.0, 2.3, 5.0][rng.random_range(0..4)];
  let at = rng.random_range(4_500..12_000);
  let mut scenario = Scenario {
    instances: rng.random_range(2..30),
    servers: rng.random_range(1..4),
    load: rng.random_range(10.0..120.0),
    loss: rng.random_range(0.0..0.2),
    declined: rng.random_range(0.0..0.3),
    broken: rng.random_range(0.0..0.3),
    ..scenario(rng.random(), 7, rate)
  };
  let affected = rng.random_range(1..=scenario.instances.div_ceil(2));
  let faults: u32 = rng.random();
  if faults & 1 > 0 {
    scenario.kill = Some((affected, at, faults & 2 > 0));
  }
  if faults & 4 > 0 {
    scenario.partitioned = Some((affected, at, at + 4_000));
  }
  if faults & 8 > 0 {
    scenario.suspended = Some((affected, at, at + 3_000));
  }
  if faults & 16 > 0 {
    scenario.restart = Some(at + 1_500);
  }
  if faults & 32 > 0 {
    scenario.announced.push((at, None));
    scenario.announced.push((at + 2_000, Some(rate)));
  }
  scenario
}

#[test]
fn a_limit_holds_in_any_history() {
  let mut rng = SmallRng::seed_from_u64(4_000);
  for number in 0..150 {
    let scenario = random_scenario(&mut rng);
    let outcome = simulate(&scenario);
    assert!(
      outcome.excess <= 0.0,
      "{number}: {outcome:?} of {scenario:?}"
    );
  }
}

#[test]
fn what_names_no_rate_is_said_with_its_value() {
  assert_eq!(parse("2.3"), Ok(2.3));
  assert_eq!(parse(" 1 "), Ok(1.0));
  assert_eq!(parse("0"), Ok(0.0));
  for text in ["", "-1", "NaN", "inf", "1/s", "1\r\n2"] {
    let error = parse(text).unwrap_err();
    assert_eq!(
      error,
      format!("limit: `{}` is not a rate", text.escape_debug())
    );
  }
}

#[test]
fn a_later_word_counts_and_an_answer_from_before_ends_nothing() {
  let server = Life::of("s", 1);
  let mut limits = Limits::default();
  assert!(limits.update(server, Some(2.0), 100, true));
  // The request of this response was sent before the limit was announced.
  assert!(!limits.update(server, None, 100, true));
  assert!(!limits.update(server, Some(3.0), 90, false));
  assert_eq!(limits.rate(server), Some(2.0));
  assert!(limits.update(server, None, 101, true));
  assert_eq!(limits.rate(server), None);
  assert_eq!(
    limits.rate(Life::of("s", 2)),
    None,
    "the next life of the server has announced no limit"
  );
  assert_eq!(limits.take_changed(), [(server, true), (server, true)]);
}

/// A state that knows limits of servers from other instances.
fn informed(limits: &[(Life, Option<f64>)], age_ms: u32) -> State {
  let mut state = state_without_holder(&["s"]);
  state.reduce(100_000, heard(limits, age_ms));
  state
}

fn heard(limits: &[(Life, Option<f64>)], age_ms: u32) -> Event {
  let statements = limits.iter().map(|(server, rate)| Statement {
    server: *server,
    content: Content::Limit(*rate),
    age_ms,
  });
  Event::Statements(statements.collect())
}

/// The lease's record of a holder in this state.
fn recorded_by(state: &State) -> Value {
  let mut record = json!({ "term": 3 });
  recorded::add(&mut record, &state.recorded_statements());
  record
}

/// Guards against limits that end with all instances that heard of them.
#[test]
fn a_limit_in_the_leases_record_is_known_to_an_instance_that_starts() {
  let server = Life::of("s", 0);
  let record = recorded_by(&informed(&[(server, Some(2.3))], 0));
  let mut young = state_without_holder(&["s"]);
  young.reduce(50, Event::RecordedStatements(recorded::read(&record)));
  assert_eq!(young.limits().rate(server), Some(2.3));
  assert_eq!(
    young.limits().rate(Life::of("s", 1)),
    None,
    "the next life of the server has announced no limit"
  );
  assert_eq!(recorded_by(&young), record);
}

/// Guards against a limit that ended and comes back from a record, also from one of a restored store.
#[test]
fn whatever_else_is_known_of_a_limit_is_newer_than_a_record() {
  let server = Life::of("s", 0);
  let record = recorded_by(&informed(&[(server, Some(2.0))], 0));
  let read = || Event::RecordedStatements(recorded::read(&record));
  for (known, rate) in [(None, None), (Some(5.0), Some(5.0))] {
    let mut later = informed(&[(server, Some(2.0))], 30_000);
    later.reduce(100_001, heard(&[(server, known)], 9_000));
    later.reduce(100_002, read());
    assert_eq!(later.limits().rate(server), rate);
    let mut earlier = state_without_holder(&["s"]);
    earlier.reduce(100_000, read());
    earlier.reduce(100_001, heard(&[(server, known)], 9_000));
    assert_eq!(earlier.limits().rate(server), rate);
  }
  let ended = informed(&[(server, Some(2.0))], 30_000);
  let mut ended_later = ended;
  ended_later.reduce(100_001, heard(&[(server, None)], 0));
  assert_eq!(recorded_by(&ended_later), json!({ "term": 3 }));
}

/// Maximum size of the statements in a record, in bytes.
const MAX_RECORD_BYTES: usize = 5_000;

#[test]
fn a_record_contains_a_bounded_number_of_limits_the_lowest_ones() {
  let limits: Vec<(Life, Option<f64>)> = (1..700_u32)
    .map(|number| {
      let life = Life::of(&format!("s{number}"), 1_764_892_800_000);
      (life, Some(f64::from(number) / 10.0))
    })
    .collect();
  let record = recorded_by(&informed(&limits, 0));
  assert!(record.to_string().len() < MAX_RECORD_BYTES, "{record}");
  let read = recorded::read(&record);
  let lowest = limits[..read.len()].iter();
  let lowest = lowest.map(|(server, rate)| Recorded {
    server: *server,
    content: Content::Limit(*rate),
  });
  assert_eq!(read, lowest.collect::<Vec<_>>());
  assert!(read.len() >= 40);
}

#[test]
fn a_record_of_another_version_is_read_as_far_as_it_is_understood() {
  assert_eq!(recorded::read(&json!({ "term": 3 })), []);
  assert_eq!(recorded::read(&json!({ "statements": "none" })), []);
  let mut record = recorded_by(&informed(&[(Life::of("s", 0), Some(2.0))], 0));
  let statements = record["statements"].as_array_mut().unwrap();
  statements.insert(0, json!({ "server": 3, "content": "Other" }));
  assert_eq!(recorded::read(&record).len(), 1);
}

quickcheck! {
  /// At least one request fits into a window at any announced rate.
  fn a_window_holds_a_request(rate: f64) -> bool {
    let rate = rate.abs();
    let allowed = allowance(if rate.is_finite() { rate } else { 0.0 });
    allowed.window_units() >= 1.0 && allowed.bound.window_ms == WINDOW_MS
  }
}

/// State of an instance that has no holder, with servers that hold one model.
fn state_without_holder(ids: &[&str]) -> State {
  let mut state = requests::deployed(Engine::default());
  let specs = ids.iter().map(|id| Spec {
    models: BTreeMap::from([("m".to_string(), Vec::new())]),
    ..requests::spec(id)
  });
  state.reduce(0, Event::Servers(vec![Change::All(specs.collect())]));
  state
}

fn arrived(ticket: u64) -> Event {
  let stream = Stream {
    resumable: true,
    gap_ms: 300,
  };
  Event::Arrived(Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: Arc::new(requests::route(Repeat::Never, Some(stream), 3)),
    pool: "pool".into(),
    model: Some(bendsaddle::demand::Model::parse("m")),
    affinity: 0,
    deadline: 5_000,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  })
}

fn sent(effects: &[Effect]) -> Option<(String, bool)> {
  effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some((attempt.id.clone(), attempt.limited)),
    _ => None,
  })
}

fn limit_announced(ticket: u64, rate: Option<f64>) -> Event {
  let ticket = Ticket(ticket);
  Event::LimitAnnounced { ticket, rate }
}

fn ended(ticket: u64, end: End) -> Event {
  let ticket = Ticket(ticket);
  Event::Ended { ticket, end }
}

/// Counts the sends of one instance in two seconds to a server with a limit of one request per
/// second. Without grants, the instance may use only its part of what an eighth of a fleet may
/// send.
#[test]
fn an_instance_that_hears_of_no_holder_goes_by_its_share() {
  let mut state = state_without_holder(&["s"]);
  assert!(sent(&state.reduce(10, arrived(1))).is_some());
  let effects = state.reduce(20, limit_announced(1, Some(1.0)));
  assert!(matches!(
    effects[..],
    [Effect::LimitChanged {
      rate: Some(1.0),
      ..
    }]
  ));
  state.reduce(30, ended(1, End::Whole));
  let mut sends = 0;
  for ticket in 2..200 {
    let now = 30 + ticket * 10;
    let mut effects = state.reduce(now, arrived(ticket));
    if sent(&effects).is_none() && refused(&effects).is_none() {
      // The request has waited as long as it may.
      effects = state.reduce(now + 160, Event::Recheck(Ticket(ticket)));
    }
    if sent(&effects).is_some() {
      sends += 1;
      state.reduce(now + 165, ended(ticket, End::Whole));
    } else if let Some(refusal) = refused(&effects) {
      assert_eq!(refusal.reason, Reason::ServerLimit);
      assert_eq!(refusal.verdict, Verdict::NotRun);
      assert!(refusal.retry_after.is_some_and(|after| after > 0));
    }
  }
  assert!(sends <= 2, "{sends} requests");
}

#[test]
fn a_stream_that_goes_on_elsewhere_takes_a_unit_there_too() {
  let mut state = state_without_holder(&["one", "two"]);
  // Both servers announce a limit.
  let mut tickets = BTreeMap::new();
  for ticket in 1..=20 {
    let (id, _) = sent(&state.reduce(10, arrived(ticket))).unwrap();
    state.reduce(11, limit_announced(ticket, Some(1.0)));
    tickets.insert(id, ticket);
    if tickets.len() == 2 {
      break;
    }
  }
  let broken = tickets["one"];
  let effects = state.reduce(20, ended(broken, End::Broken));
  assert_eq!(
    sent(&effects),
    None,
    "a unit of the other server is requested"
  );
  assert!(effects.contains(&Effect::RequestQuota));
  let uses = state.uses(20);
  let needed: Vec<u32> = uses.iter().map(|usage| usage.need).collect();
  assert!(needed.contains(&1), "{needed:?}");
  let two = bendsaddle::quota::Id::for_server(Life::of("two", 0));
  let grant = bendsaddle::quota::Grant {
    id: two,
    limit: 1,
    over_ms: 0,
  };
  let granted = Event::Granted {
    sent: 20,
    grants: vec![grant],
  };
  let effects = state.reduce(25, granted);
  assert_eq!(sent(&effects), Some(("two".to_string(), true)));
  // The request did not reach the server, so its unit is free for the next request.
  let effects = state.reduce(30, ended(broken, End::Unreached));
  assert_eq!(state.quotas().usage(30, two).1, 1, "{effects:?}");
}
