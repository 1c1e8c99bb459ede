//! Choice of servers by expected time: no herd, slow servers and running streams are spared.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::{Spec, short_hash},
  demand::Model,
  deployment::Engine,
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  pace::Pace,
  request::Ticket,
  route::{Repeat, Route, Stream},
  tokens::Tokens,
};
use std::{
  collections::{BTreeMap, BTreeSet},
  sync::Arc,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SLOTS: u32 = 12;

fn route(objective_ms: u64) -> Arc<Route> {
  let stream = Stream {
    resumable: false,
    gap_ms: 300,
  };
  Arc::new(Route {
    objective_ms,
    ..requests::route(Repeat::Never, Some(stream), 2)
  })
}

fn spec(id: &str) -> Spec {
  Spec {
    models: BTreeMap::from([("m".to_string(), Vec::new())]),
    slots: SLOTS,
    ..requests::spec(id)
  }
}

fn names(count: usize) -> Vec<String> {
  (0..count).map(|index| format!("server-{index}")).collect()
}

fn state(seed: u64, servers: &[String], expected_time: bool) -> State {
  let engine = Engine {
    slots: SLOTS,
    ..Engine::default()
  };
  let mut state = requests::seeded(engine, seed);
  state.features.expected_time = expected_time;
  let specs = servers.iter().map(|id| spec(id)).collect();
  state.reduce(0, Event::Servers(vec![Change::All(specs)]));
  state
}

fn set_pace(state: &mut State, server: &str, value: f32) {
  let key = state.by_id[server];
  state.backends[key].pace = Pace {
    lasting: value,
    current: value,
  };
}

fn publish(state: &mut State, now: u64, loads: &[(&str, u16)]) {
  let loads = loads
    .iter()
    .map(|(id, load)| (bendsaddle::life::Life::of(id, 0).short_hash(), *load));
  let update = Event::Updated {
    holdings: Vec::new(),
    group: None,
    loads: Some(loads.collect()),
    instances: 79,
  };
  state.reduce(now, update);
}

fn descriptor(ticket: u64, route: &Arc<Route>, affinity: u64, input: u32) -> Descriptor {
  Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: route.clone(),
    pool: "pool".into(),
    model: Some(Model::parse("m")),
    affinity,
    deadline: 60_000,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    resumption: None,
    tokens: Some(Tokens {
      input,
      max_output: 200,
      hinted_output: Some(100),
    }),
  }
}

fn sent(effects: &[Effect]) -> Option<String> {
  effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some(attempt.id.clone()),
    _ => None,
  })
}

/// Counts where many instances that see the same loads send one request each.
fn spread(
  instances: u64,
  prepare: impl Fn(u64) -> State,
  next: impl Fn(u64) -> Descriptor,
) -> BTreeMap<String, u64> {
  let mut counts = BTreeMap::new();
  for seed in 0..instances {
    let mut state = prepare(seed);
    let server = sent(&state.reduce(10, Event::Arrived(next(seed)))).unwrap();
    *counts.entry(server).or_default() += 1;
  }
  counts
}

/// Between two publications all instances picked the same least loaded server.
#[test]
fn instances_that_see_the_same_loads_do_not_all_pick_one_server() {
  let servers = names(8);
  let route = route(600);
  let prepare = |seed| {
    let mut state = state(seed, &servers, true);
    let loads: Vec<(&str, u16)> = servers.iter().map(|id| (id.as_str(), 3)).collect();
    publish(&mut state, 1, &loads);
    state
  };
  let counts = spread(160, prepare, |seed| descriptor(seed, &route, 7, 1_400));
  let most = counts.values().max().unwrap();
  assert!(*most <= 40, "a quarter at most on one of 8: {counts:?}");
}

/// Servers at 2.5 times the usual pace got as many requests as the others.
#[test]
fn slow_servers_get_little() {
  let servers = names(20);
  let route = route(600);
  let slow: BTreeSet<&String> = servers[..3].iter().collect();
  let prepare = |seed| {
    let mut state = state(seed, &servers, true);
    for id in &slow {
      set_pace(&mut state, id, 2.5);
    }
    let loads: Vec<(&str, u16)> = servers.iter().map(|id| (id.as_str(), 3)).collect();
    publish(&mut state, 1, &loads);
    state
  };
  let counts = spread(300, prepare, |seed| descriptor(seed, &route, seed, 1_400));
  let to_slow: u64 = slow.iter().filter_map(|id| counts.get(*id)).sum();
  assert!(to_slow <= 15, "5% of 300 at most, not 15%: {to_slow}");
}

/// The prompt would have broken the allowed pause of streams on a slow server in the same zone.
#[test]
fn a_long_prompt_keeps_off_a_server_whose_streams_it_would_stop() {
  let servers = names(2);
  let route = route(2_500);
  for seed in 0..50 {
    let mut state = state(seed, &servers, true);
    set_pace(&mut state, &servers[0], 1.6);
    set_pace(&mut state, &servers[1], 0.8);
    publish(&mut state, 1, &[(&servers[0], 1), (&servers[1], 3)]);
    let effects = state.reduce(10, Event::Arrived(descriptor(1, &route, seed, 4_000)));
    assert_eq!(sent(&effects).as_deref(), Some(servers[1].as_str()));
  }
}

/// Sends without a first event count at once, before any load is published.
#[test]
fn own_prompts_that_are_not_read_yet_keep_the_next_one_away() {
  let servers = names(4);
  let route = route(600);
  for seed in 0..20 {
    let mut state = state(seed, &servers, true);
    let mut used = BTreeSet::new();
    for ticket in 0..4 {
      let arrival = Event::Arrived(descriptor(ticket, &route, seed, 4_000));
      used.insert(sent(&state.reduce(10, arrival)).unwrap());
    }
    assert_eq!(used.len(), 4, "one long prompt each");
  }
}

/// Requests with long objectives took the fast servers from those with short ones.
#[test]
fn requests_that_can_wait_leave_fast_servers() {
  let servers = names(8);
  let prepare = |seed| {
    let mut state = state(seed, &servers, true);
    for (index, id) in servers.iter().enumerate() {
      set_pace(&mut state, id, if index < 4 { 0.6 } else { 1.0 });
    }
    let loads: Vec<(&str, u16)> = servers.iter().map(|id| (id.as_str(), 2)).collect();
    publish(&mut state, 1, &loads);
    state
  };
  let to_fast = |objective_ms| {
    let route = route(objective_ms);
    let counts = spread(300, prepare, |seed| descriptor(seed, &route, seed, 300));
    let fast = servers[..4].iter().filter_map(|id| counts.get(id));
    fast.sum::<u64>()
  };
  assert!(
    to_fast(2_500) < 140,
    "requests that can wait: {}",
    to_fast(2_500)
  );
  assert!(to_fast(500) > 180, "requests that cannot: {}", to_fast(500));
}

/// The log states what decided.
#[test]
fn a_send_states_what_was_expected() {
  let servers = names(1);
  let route = route(600);
  let mut state = state(1, &servers, true);
  let effects = state.reduce(10, Event::Arrived(descriptor(1, &route, 0, 1_000)));
  let attempt = effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some(attempt.clone()),
    _ => None,
  });
  let attempt = attempt.unwrap();
  assert_eq!(attempt.expected_first_ms, Some(50));
  assert_eq!(attempt.expected_pause_ms, Some(0), "no stream runs there");
  assert_eq!(attempt.tokens, Some(1_100));
}

/// What was learned from slow answers raises the expected times.
#[test]
fn the_time_per_prompt_token_is_learned() {
  let servers = names(1);
  let route = route(600);
  let mut state = state(1, &servers, true);
  let mut now = 10;
  let mut last = 0;
  for ticket in 0..200 {
    let effects = state.reduce(now, Event::Arrived(descriptor(ticket, &route, 0, 1_000)));
    for effect in effects {
      if let Effect::Send(attempt) = effect {
        last = attempt.expected_first_ms.unwrap();
      }
    }
    now += 200;
    state.reduce(now, Event::ResponseStarted(Ticket(ticket)));
    let end = End::Whole;
    state.reduce(
      now + 300,
      Event::Ended {
        ticket: Ticket(ticket),
        end,
      },
    );
    now += 400;
  }
  assert!((150..=250).contains(&last), "answers took 200 ms: {last}");
}

/// With the switch off, the choice is exactly the one of before: the least load within 2% of the
/// slots, then rendezvous hashing on the prompt's prefix.
#[test]
fn without_the_switch_choices_are_as_before() {
  for seed in 0..200 {
    let servers = names(6);
    let mut state = state(seed, &servers, false);
    let load = |index: usize| (xxh3_64_with_seed(b"load", seed * 10 + index as u64) % 4) as u16;
    let loads: Vec<(&str, u16)> = servers
      .iter()
      .enumerate()
      .map(|(index, id)| (id.as_str(), load(index)))
      .collect();
    for id in &servers {
      set_pace(
        &mut state,
        id,
        0.5 + f32::from(short_hash(id) as u8) / 100.0,
      );
    }
    publish(&mut state, 1, &loads);
    let least = loads.iter().map(|(_, load)| load).min().unwrap();
    let best = loads
      .iter()
      .filter(|(_, load)| load == least)
      .max_by_key(|(id, _)| xxh3_64_with_seed(id.as_bytes(), seed));
    let route = route(600);
    let effects = state.reduce(10, Event::Arrived(descriptor(1, &route, seed, 4_000)));
    assert_eq!(sent(&effects).as_deref(), best.map(|(id, _)| *id));
  }
}
