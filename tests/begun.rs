//! Reducer: requests whose response has begun for the caller.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::Spec,
  deployment::{Deployment, Engine, Pool},
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  refusal::Reason,
  request::Ticket,
  retry::Bound,
  route::{Part, Repeat, Route, Stream},
  verdict::Verdict,
};
use requests::{BOUND, refused, restarted, route, seeded, spec};
use std::{collections::BTreeMap, sync::Arc};

const STREAM: Option<Stream> = Some(Stream {
  resumable: true,
  gap_ms: 300,
});
const BEGUN: Ticket = Ticket(1);
/// Time of the break, and a time by which callers of the route have given up, in ms.
const BROKEN_AT: u64 = 100;
const GIVEN_UP_AT: u64 = BROKEN_AT + 2_400;
/// Requests that allow one retry: 8 x 0.2 x the usable 70%.
const REQUESTS_PER_RETRY: u64 = 8;

fn arrived(ticket: Ticket, route: &Arc<Route>) -> Event {
  Event::Arrived(Descriptor {
    ticket,
    id: ticket.0.to_string(),
    route: route.clone(),
    pool: "pool".into(),
    model: None,
    affinity: 0,
    deadline: 5_000,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  })
}

fn sent(effects: &[Effect], to: Ticket) -> Option<String> {
  effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) if attempt.ticket == to => Some(attempt.id.clone()),
    _ => None,
  })
}

fn stream_route() -> Arc<Route> {
  Arc::new(route(Repeat::Never, STREAM, 3))
}

/// Adds servers, and begins a stream at one of them that then breaks off; returns the effects of
/// the break.
fn break_off(state: &mut State, servers: &[&str], route: &Arc<Route>) -> Vec<Effect> {
  break_off_after(state, servers, route, Event::ResponseStarted(BEGUN))
}

/// Same as `break_off`, for a response that starts like this.
fn break_off_after(
  state: &mut State,
  servers: &[&str],
  route: &Arc<Route>,
  start: Event,
) -> Vec<Effect> {
  let servers: Vec<Spec> = servers.iter().map(|id| spec(id)).collect();
  state.reduce(0, Event::Servers(vec![Change::All(servers)]));
  let effects = state.reduce(1, arrived(BEGUN, route));
  assert!(sent(&effects, BEGUN).is_some());
  state.reduce(50, start);
  let end = End::Broken;
  state.reduce(BROKEN_AT, Event::Ended { ticket: BEGUN, end })
}

// It was given up at once, though the budget allowed a retry a moment later.
#[test]
fn a_begun_stream_that_breaks_off_waits_for_the_retry_budget() {
  let route = stream_route();
  let mut state = restarted(Engine::default(), 1);
  let effects = break_off(&mut state, &["one", "two"], &route);
  assert_eq!(refused(&effects), None);
  assert_eq!(sent(&effects, BEGUN), None, "the budget allows no retry");
  for number in 2..=REQUESTS_PER_RETRY {
    let effects = state.reduce(BROKEN_AT + 50, arrived(Ticket(number), &route));
    assert_eq!(refused(&effects), None);
  }
  let effects = state.reduce(BROKEN_AT + 100, Event::Recheck(BEGUN));
  assert!(sent(&effects, BEGUN).is_some(), "{effects:?}");
}

// Guards against a wait that outlasts the caller, and against one for a retry that has no server.
#[test]
fn the_wait_for_the_retry_budget_ends() {
  let route = stream_route();
  let mut state = restarted(Engine::default(), 1);
  break_off(&mut state, &["one", "two"], &route);
  let effects = state.reduce(GIVEN_UP_AT, Event::Recheck(BEGUN));
  let refusal = refused(&effects).expect("it still waits");
  assert_eq!(refusal.reason, Reason::ServerFailed);
  assert_eq!(refusal.verdict, Verdict::MayHaveRun);
  let mut state = restarted(Engine::default(), 1);
  let effects = break_off(&mut state, &["one"], &route);
  let refusal = refused(&effects).expect("it waits without any server");
  assert_eq!(refusal.reason, Reason::ServerFailed);
}

// Guards against retries that many waiting streams send once the budget allows one.
#[test]
fn begun_streams_that_wait_for_the_retry_budget_stay_within_it() {
  let route = stream_route();
  let mut state = restarted(Engine::default(), 1);
  let servers = ["one", "two", "three"].map(spec).to_vec();
  state.reduce(0, Event::Servers(vec![Change::All(servers)]));
  let count = 4 * REQUESTS_PER_RETRY;
  for number in 1..=count {
    state.reduce(1, arrived(Ticket(number), &route));
  }
  let mut retries = 0;
  let mut count_retries = |effects: Vec<Effect>| {
    let sends = effects
      .iter()
      .filter(|effect| matches!(effect, Effect::Send(_)));
    retries += sends.count() as u64;
  };
  for number in 1..=count {
    let (ticket, end) = (Ticket(number), End::Broken);
    count_retries(state.reduce(50, Event::ResponseStarted(ticket)));
    count_retries(state.reduce(BROKEN_AT, Event::Ended { ticket, end }));
  }
  for now in (BROKEN_AT..GIVEN_UP_AT).step_by(100) {
    for number in 1..=count {
      count_retries(state.reduce(now, Event::Recheck(Ticket(number))));
    }
  }
  assert!(retries > 0);
  assert!(retries <= count / REQUESTS_PER_RETRY + 1, "{retries}");
}

// The caller got the start of a plain response, and then all of another server's. On a route with streams
// a server's failure is a plain response too.
#[test]
fn a_begun_plain_response_is_not_retried() {
  for stream in [None, STREAM] {
    let route = Arc::new(route(Repeat::Always, stream, 3));
    let mut state = seeded(Engine::default(), 1);
    let start = Event::PlainStarted(BEGUN);
    let effects = break_off_after(&mut state, &["one", "two"], &route, start);
    assert_eq!(sent(&effects, BEGUN), None);
    let refusal = refused(&effects).expect("it waits for a server");
    assert_eq!(refusal.reason, Reason::ServerFailed);
  }
}

/// A newer deployment in which only `pools` remain and no route leads to the first one.
fn deployment(pools: &[&str]) -> Event {
  let moved = Route {
    parts: vec![Part {
      pool: "other".into(),
      weight: 1,
    }],
    timeout_ms: 10,
    ..route(Repeat::Never, STREAM, 3)
  };
  let pools = pools.iter().map(|name| {
    let engine = Some(Arc::new(Engine::default()));
    (
      name.to_string(),
      Pool {
        engine,
        ..Pool::default()
      },
    )
  });
  Event::Deployed(Arc::new(Deployment {
    version: 2,
    routes: vec![Arc::new(moved)],
    pools: BTreeMap::from_iter(pools),
    ..Deployment::default()
  }))
}

// Guards against a change of the configuration that ends or redirects a response that has begun.
#[test]
fn a_begun_stream_outlives_changes_of_its_route_while_it_waits() {
  for pools in [&["pool", "other"][..], &["other"]] {
    let route = stream_route();
    let mut state = seeded(Engine::default(), 1);
    // The second server gets the retry and is full.
    break_off(&mut state, &["one", "two"], &route);
    let end = End::Full;
    state.reduce(BROKEN_AT + 1, Event::Ended { ticket: BEGUN, end });
    let effects = state.reduce(BROKEN_AT + 2, deployment(pools));
    assert_eq!(refused(&effects), None, "{pools:?}");
    // A reload of the settings allows no further retries.
    state.retry_bound = Bound {
      ratio: 0.0,
      slack: 0.0,
      ..BOUND
    };
    let other = Spec {
      pool: "other".into(),
      ..spec("astray")
    };
    let effects = state.reduce(BROKEN_AT + 10, Event::Servers(vec![Change::Set(other)]));
    assert_eq!(refused(&effects), None);
    assert_eq!(sent(&effects, BEGUN), None, "a server of another pool");
    let three = Change::Set(spec("three"));
    let effects = state.reduce(BROKEN_AT + 20, Event::Servers(vec![three]));
    assert_eq!(sent(&effects, BEGUN).as_deref(), Some("three"), "{pools:?}");
  }
}
