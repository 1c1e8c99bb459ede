//! Limits of backend servers in need, kept over a fleet.

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
  verdict::Verdict,
};
use fleet_limit::{Outcome, Scenario, WINDOW_MS, simulate};
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use requests::refused;
use std::{collections::BTreeMap, sync::Arc};

/// A refused request waits for a unit of a server's limit at the most so long, ms: until the holder
/// has answered, or is taken not to.
const REFUSED_MS: u64 = 200;

/// Three servers, one of which needs help from 4 s on.
fn story(seed: u64, instances: usize, rate: f64) -> Scenario {
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

fn stories(instances: usize, rate: f64) -> Vec<(&'static str, Scenario)> {
  let story = |seed| story(seed, instances, rate);
  let half = instances / 2;
  vec![
    ("quiet", story(1)),
    (
      "the holder dies",
      Scenario {
        kill: Some((1, 9_000, true)),
        ..story(2)
      },
    ),
    (
      "half of all and the holder die",
      Scenario {
        kill: Some((half, 9_000, true)),
        ..story(3)
      },
    ),
    (
      "half of all start again",
      Scenario {
        kill: Some((half, 9_000, false)),
        ..story(4)
      },
    ),
    (
      "three are cut off",
      Scenario {
        partitioned: Some((3, 3_000, 12_000)),
        ..story(5)
      },
    ),
    (
      "three stand still",
      Scenario {
        suspended: Some((3, 7_000, 11_000)),
        ..story(6)
      },
    ),
    (
      "declined, broken off and repeated",
      Scenario {
        declined: 0.3,
        broken: 0.2,
        ..story(7)
      },
    ),
    (
      "datagrams are lost",
      Scenario {
        loss: 0.15,
        ..story(8)
      },
    ),
    (
      "the server starts again",
      Scenario {
        restart: Some(10_000),
        ..story(9)
      },
    ),
    (
      "it stops saying so and begins again",
      Scenario {
        announced: vec![(4_000, Some(rate)), (9_000, None), (13_000, Some(rate))],
        ..story(10)
      },
    ),
    (
      "the limit changes",
      Scenario {
        announced: vec![(4_000, Some(rate)), (9_000, Some(rate / 2.0))],
        ..story(11)
      },
    ),
    (
      "all servers but it are gone",
      Scenario {
        servers: 1,
        ..story(12)
      },
    ),
  ]
}

fn kept(name: &str, outcome: &Outcome) {
  println!("{name}: {outcome:?}");
  assert!(outcome.excess <= 0.0, "{name}: {outcome:?}");
  assert!(
    outcome.slowest_refusal_ms <= REFUSED_MS,
    "{name}: {outcome:?}"
  );
}

#[test]
fn a_limit_holds_at_seven_instances() {
  for rate in [1.0, 2.3, 0.3, 8.0] {
    for (name, story) in stories(7, rate) {
      kept(&format!("{name}, {rate} a second"), &simulate(&story));
    }
  }
}

#[test]
fn a_limit_of_one_a_second_holds_at_295_instances() {
  for (name, story) in stories(295, 1.0) {
    kept(
      name,
      &simulate(&Scenario {
        load: 600.0,
        ..story
      }),
    );
  }
}

#[test]
fn what_a_lone_server_takes_is_used_and_the_rest_is_refused_at_once() {
  for (instances, load) in [(7, 60.0), (295, 600.0)] {
    for rate in [1.0, 2.3] {
      let alone = Scenario {
        servers: 1,
        load,
        ..story(20, instances, rate)
      };
      let outcome = simulate(&alone);
      println!("{instances} instances, {rate} a second: {outcome:?}");
      let used = outcome.received as f64 / outcome.allowed;
      assert!(
        used > 0.6,
        "{instances}, {rate}: {used:.2} of the limit is used"
      );
      assert!(outcome.slowest_refusal_ms <= REFUSED_MS, "{outcome:?}");
    }
  }
}

#[test]
fn where_others_have_room_nothing_is_refused() {
  for instances in [7, 295] {
    let outcome = simulate(&story(30, instances, 1.0));
    assert_eq!(outcome.refused, 0, "{instances}: {outcome:?}");
  }
}

#[test]
fn a_server_that_names_no_limit_any_more_gets_its_share_again() {
  for (instances, load) in [(7, 60.0), (295, 600.0)] {
    let ends = Scenario {
      load,
      announced: vec![(4_000, Some(1.0)), (9_000, None)],
      ..story(40, instances, 1.0)
    };
    let outcome = simulate(&ends);
    let share = load / 3.0;
    assert!(
      outcome.received_in_last_second as f64 > share / 2.0,
      "{instances}: {outcome:?}"
    );
  }
}

/// Histories of deaths, suspensions, partitions, restarts and lost datagrams, all drawn.
fn drawn(rng: &mut SmallRng) -> Scenario {
  let rate = [0.5, 1.0, 2.3, 5.0][rng.random_range(0..4)];
  let at = rng.random_range(4_500..12_000);
  let mut story = Scenario {
    instances: rng.random_range(2..30),
    servers: rng.random_range(1..4),
    load: rng.random_range(10.0..120.0),
    loss: rng.random_range(0.0..0.2),
    declined: rng.random_range(0.0..0.3),
    broken: rng.random_range(0.0..0.3),
    ..story(rng.random(), 7, rate)
  };
  let some = rng.random_range(1..=story.instances.div_ceil(2));
  let what: u32 = rng.random();
  if what & 1 > 0 {
    story.kill = Some((some, at, what & 2 > 0));
  }
  if what & 4 > 0 {
    story.partitioned = Some((some, at, at + 4_000));
  }
  if what & 8 > 0 {
    story.suspended = Some((some, at, at + 3_000));
  }
  if what & 16 > 0 {
    story.restart = Some(at + 1_500);
  }
  if what & 32 > 0 {
    story.announced.push((at, None));
    story.announced.push((at + 2_000, Some(rate)));
  }
  story
}

#[test]
fn a_limit_holds_in_any_history() {
  let mut rng = SmallRng::seed_from_u64(4_000);
  for number in 0..150 {
    let story = drawn(&mut rng);
    let outcome = simulate(&story);
    assert!(outcome.excess <= 0.0, "{number}: {outcome:?} of {story:?}");
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
  // Its request was sent before the limit was named.
  assert!(!limits.update(server, None, 100, true));
  assert!(!limits.update(server, Some(3.0), 90, false));
  assert_eq!(limits.rate(server), Some(2.0));
  assert!(limits.update(server, None, 101, true));
  assert_eq!(limits.rate(server), None);
  assert_eq!(
    limits.rate(Life::of("s", 2)),
    None,
    "its next life has said nothing"
  );
  assert_eq!(limits.take_changed(), [(server, true), (server, true)]);
}

quickcheck! {
  /// Whatever rate is named, at least one request fits into a window.
  fn a_window_holds_a_request(rate: f64) -> bool {
    let rate = rate.abs();
    let allowed = allowance(if rate.is_finite() { rate } else { 0.0 });
    allowed.window_units() >= 1.0 && allowed.bound.window_ms == WINDOW_MS
  }
}

/// An instance without a holder, before some servers that hold one model.
fn alone(ids: &[&str]) -> State {
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
    caller: None,
  })
}

fn sent(effects: &[Effect]) -> Option<(String, bool)> {
  effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some((attempt.id.clone(), attempt.limited)),
    _ => None,
  })
}

fn named(ticket: u64, rate: Option<f64>) -> Event {
  let ticket = Ticket(ticket);
  Event::LimitAnnounced { ticket, rate }
}

fn ended(ticket: u64, end: End) -> Event {
  let ticket = Ticket(ticket);
  Event::Ended { ticket, end }
}

/// Sends that one instance makes in two seconds to a server that takes one a second, while nobody
/// grants it anything: its part of what an eighth of a fleet may send.
#[test]
fn an_instance_that_hears_of_no_holder_goes_by_its_share() {
  let mut state = alone(&["s"]);
  assert!(sent(&state.reduce(10, arrived(1))).is_some());
  let effects = state.reduce(20, named(1, Some(1.0)));
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
      // Its patience is over.
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
  let mut state = alone(&["one", "two"]);
  // Both are in need.
  let mut at = BTreeMap::new();
  for ticket in 1..=20 {
    let (id, _) = sent(&state.reduce(10, arrived(ticket))).unwrap();
    state.reduce(11, named(ticket, Some(1.0)));
    at.insert(id, ticket);
    if at.len() == 2 {
      break;
    }
  }
  let broken = at["one"];
  let effects = state.reduce(20, ended(broken, End::Broken));
  assert_eq!(sent(&effects), None, "a unit of the other one is asked for");
  assert!(effects.contains(&Effect::RequestQuota));
  let uses = state.uses(20);
  let needed: Vec<u32> = uses.iter().map(|one| one.need).collect();
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
  // It did not get there: the unit is free for the next one.
  let effects = state.reduce(30, ended(broken, End::Unreached));
  assert_eq!(state.quotas().usage(30, two).1, 1, "{effects:?}");
}
