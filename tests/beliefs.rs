//! What an instance believes of a server that keeps requests from it ends by itself, for a server without requests
//! can show nothing.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::Spec,
  demand::Model,
  deployment::{Checkpoint, Engine},
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  request::Ticket,
  route::{Repeat, Route},
};
use std::{collections::BTreeMap, sync::Arc};

const MODEL: &str = "m";
/// Time within which each belief must end, in ms.
const LONGEST_MS: u64 = 5_000;
/// Times that a belief is confirmed in a row.
const CONFIRMATIONS: u64 = 8;

fn state() -> State {
  let checkpoint = Checkpoint::default();
  let mut state = requests::deployed(Engine {
    slots: 8,
    models: BTreeMap::from([(MODEL.into(), checkpoint)]),
    ..Engine::default()
  });
  let spec = Spec {
    models: BTreeMap::from([(MODEL.into(), Vec::new())]),
    ..requests::spec("s")
  };
  state.reduce(0, Event::Servers(vec![Change::All(vec![spec])]));
  state
}

/// A request that may be sent once more.
fn arrived(ticket: u64, now: u64, route: &Arc<Route>) -> Event {
  Event::Arrived(Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: route.clone(),
    pool: "pool".into(),
    model: Some(Model::parse(MODEL)),
    affinity: 0,
    deadline: now + 2 * LONGEST_MS,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  })
}

fn is_sent(effects: &[Effect]) -> bool {
  let mut effects = effects.iter();
  effects.any(|effect| matches!(effect, Effect::Send(_)))
}

/// Sends requests to the only server that all end in this way, each as soon as the server may get one; returns the
/// longest time in which it got none, in ms. Nothing else is heard of the server.
fn longest_pause(end: End) -> u64 {
  let route = Arc::new(requests::route(Repeat::Never, None, 1));
  let (mut state, mut now, mut longest) = (state(), 1, 0);
  for confirmation in 0..CONFIRMATIONS {
    let since = now;
    let mut ticket = Ticket(confirmation << 32);
    while !is_sent(&state.reduce(now, arrived(ticket.0, now, &route))) {
      assert!(
        now < since + LONGEST_MS,
        "{end:?}: nothing sent for {LONGEST_MS} ms"
      );
      state.reduce(now, Event::CallerGone(ticket));
      now += 10;
      ticket.0 += 1;
    }
    longest = longest.max(now - since);
    state.reduce(now, Event::Ended { ticket, end });
    state.reduce(now, Event::CallerGone(ticket));
  }
  longest
}

#[test]
fn what_a_failed_send_shows_of_a_server_ends_by_itself() {
  for (end, at_least, at_most) in [
    (End::Full, 60, 60),
    (End::Missing, 3_200, 3_200),
    (End::Broken, 4_000, 4_000),
    (End::Unreached, 4_000, 4_000),
    (End::Crashed, 4_000, 4_000),
    (End::Replaced, LONGEST_MS, LONGEST_MS),
    (End::Late, 0, 0),
    (End::Failed, 0, 0),
  ] {
    let longest = longest_pause(end);
    assert!(
      (at_least..=at_most).contains(&longest),
      "{end:?}: {longest} ms"
    );
  }
}
