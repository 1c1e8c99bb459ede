//! Sends fit into the token memory of engines.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::Spec,
  demand::Model,
  deployment::Engine,
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  life::Life,
  request::Ticket,
  route::{Repeat, Route, Stream},
  tokens::Tokens,
};
use std::{collections::BTreeMap, sync::Arc};

fn route() -> Arc<Route> {
  let stream = Stream {
    resumable: false,
    gap_ms: 300,
  };
  Arc::new(requests::route(Repeat::Never, Some(stream), 2))
}

fn state(servers: &[&str], enabled: bool) -> State {
  let engine = Engine {
    slots: 12,
    kv_tokens: 10_000,
    ..Engine::default()
  };
  let mut state = requests::deployed(engine);
  state.features.token_memory = enabled;
  let spec = |id: &&str| Spec {
    models: BTreeMap::from([("m".to_string(), Vec::new())]),
    ..requests::spec(id)
  };
  let specs = servers.iter().map(spec).collect();
  state.reduce(0, Event::Servers(vec![Change::All(specs)]));
  state
}

fn arrived(ticket: u64, input: u32, max_output: u32, hint: Option<u32>) -> Event {
  Event::Arrived(Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: route(),
    pool: "pool".into(),
    model: Some(Model::parse("m")),
    affinity: 0,
    deadline: 60_000,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    resumption: None,
    tokens: Some(Tokens {
      input,
      max_output,
      hinted_output: hint,
    }),
  })
}

fn sent(effects: &[Effect]) -> Option<(Ticket, String)> {
  effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some((attempt.ticket, attempt.id.clone())),
    _ => None,
  })
}

fn ended(ticket: u64, end: End) -> Event {
  let ticket = Ticket(ticket);
  Event::Ended { ticket, end }
}

/// Requests that together exceed an engine's memory were sent, and one of them was preempted.
#[test]
fn a_send_that_would_exceed_the_memory_waits() {
  let mut state = state(&["one"], true);
  assert!(sent(&state.reduce(1, arrived(1, 4_000, 500, Some(400)))).is_some());
  assert!(sent(&state.reduce(1, arrived(2, 4_000, 500, Some(400)))).is_some());
  assert_eq!(
    sent(&state.reduce(1, arrived(3, 4_000, 500, Some(400)))),
    None
  );
  let effects = state.reduce(50, ended(1, End::Whole));
  assert_eq!(sent(&effects), Some((Ticket(3), "one".into())));
}

/// It goes to another server that has the memory, also to a more loaded one.
#[test]
fn a_send_that_would_exceed_the_memory_goes_elsewhere() {
  let mut state = state(&["one", "two"], true);
  let first = sent(&state.reduce(1, arrived(1, 8_000, 500, None))).unwrap();
  for ticket in 2..6 {
    let other = sent(&state.reduce(1, arrived(ticket, 900, 100, Some(100)))).unwrap();
    assert_ne!(first.1, other.1, "request {ticket}");
  }
}

/// Tokens of sends that ended in any way are released.
#[test]
fn memory_is_released_however_a_send_ends() {
  for end in [End::Whole, End::Failed, End::Broken, End::Left, End::Late] {
    let mut state = state(&["one"], true);
    state.reduce(1, arrived(1, 8_000, 500, None));
    state.reduce(2, ended(1, end));
    let key = state.by_id["one"];
    assert_eq!(state.backends[key].held_tokens, 0, "{end:?}");
    assert_eq!(state.backends[key].unread_tokens, 0, "{end:?}");
  }
  let mut state = state(&["one"], true);
  state.reduce(1, arrived(1, 8_000, 500, None));
  state.reduce(2, Event::CallerGone(Ticket(1)));
  let key = state.by_id["one"];
  assert_eq!(state.backends[key].held_tokens, 0);
}

/// Requests of other instances count by the published load and the mean tokens of a request.
#[test]
fn requests_of_other_instances_count() {
  let mut state = state(&["one"], true);
  for ticket in 0..40 {
    state.reduce(1, arrived(ticket, 1_800, 400, Some(200)));
    state.reduce(1, ended(ticket, End::Whole));
  }
  let update = Event::Updated {
    holdings: Vec::new(),
    group: None,
    loads: Some(vec![(Life::of("one", 0).short_hash(), 5)]),
    instances: 79,
  };
  state.reduce(2, update);
  assert_eq!(
    sent(&state.reduce(3, arrived(100, 1_800, 400, Some(200)))),
    None
  );
}

/// A request that no server could hold beside others is sent to an empty one, not held back.
#[test]
fn a_request_larger_than_the_margin_goes_to_an_empty_server() {
  let mut state = state(&["one"], true);
  assert!(sent(&state.reduce(1, arrived(1, 9_800, 500, None))).is_some());
}

/// With the switch off, all are sent.
#[test]
fn without_the_switch_memory_is_not_considered() {
  let mut state = state(&["one"], false);
  for ticket in 0..20 {
    assert!(sent(&state.reduce(1, arrived(ticket, 4_000, 500, None))).is_some());
  }
}

/// Loads that a holder had published before it ended counted as memory in use until the next holder,
/// however long that took.
#[test]
fn published_loads_count_for_a_bounded_time() {
  let mut state = state(&["one"], true);
  let life = requests::spec("one").life().short_hash();
  let updated = Event::Updated {
    holdings: Vec::new(),
    group: None,
    loads: Some(vec![(life, 12)]),
    instances: 2,
  };
  state.reduce(1_000, updated);
  assert!(sent(&state.reduce(1_001, arrived(1, 8_000, 500, None))).is_none());
  let rechecked = state.reduce(30_000, Event::Recheck(Ticket(1)));
  assert!(sent(&rechecked).is_some(), "{rechecked:?}");
}
