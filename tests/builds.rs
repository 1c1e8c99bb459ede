//! A stream continues only at servers of the build that began it.

mod requests;

use bendsaddle::{
  backend::{Holding, Spec, Stage},
  build,
  deployment::Engine,
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  refusal::Reason,
  request::Ticket,
  route::{Repeat, Route, Stream},
};
use requests::refused;
use std::sync::Arc;

/// Number of times that a choice among servers is repeated.
const REPETITIONS: u64 = 50;

fn route() -> Arc<Route> {
  let stream = Stream {
    resumable: true,
    gap_ms: 300,
  };
  Arc::new(requests::route(Repeat::Never, Some(stream), 4))
}

/// A server whose id begins with the version of its software.
fn spec(id: &str) -> Spec {
  Spec {
    build: build::Id::of(&id[..2]),
    ..requests::spec(id)
  }
}

fn state(ids: &[&str]) -> State {
  let engine = Engine {
    slots: 8,
    ..Engine::default()
  };
  let mut state = requests::deployed(engine);
  state.instances = 4;
  let specs = ids.iter().map(|id| spec(id)).collect();
  state.reduce(0, Event::Servers(vec![Change::All(specs)]));
  state
}

fn descriptor(ticket: u64) -> Descriptor {
  Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: route(),
    pool: "pool".into(),
    model: None,
    affinity: ticket,
    deadline: 5_000,
    content: Default::default(),
    caller: None,
    tokens: None,
  }
}

fn ended(ticket: u64, end: End) -> Event {
  Event::Ended {
    ticket: Ticket(ticket),
    end,
  }
}

/// Id of the server to which a request is sent.
fn sent(effects: &[Effect]) -> Option<String> {
  effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some(attempt.id.clone()),
    _ => None,
  })
}

/// Starts a stream, which delivers its first event. Returns the version of its server.
fn begin(state: &mut State, ticket: u64) -> String {
  let effects = state.reduce(1, Event::Arrived(descriptor(ticket)));
  let server = sent(&effects).unwrap();
  state.reduce(2, Event::ResponseStarted(Ticket(ticket)));
  server[..2].into()
}

/// Guards against a stream that an instance continues at another build.
#[test]
fn a_broken_stream_continues_at_its_build() {
  for ticket in 0..REPETITIONS {
    let mut state = state(&["v1-a", "v1-b", "v2-a", "v2-b", "v3-a", "v3-b"]);
    let begun = begin(&mut state, ticket);
    let effects = state.reduce(3, ended(ticket, End::Broken));
    assert_eq!(sent(&effects).unwrap()[..2], begun);
  }
}

/// Guards against a build that is taken from the last send, which may have delivered nothing.
#[test]
fn the_build_of_the_first_event_counts_not_that_of_the_last_send() {
  for ticket in 0..REPETITIONS {
    let mut state = state(&["v1-a", "v1-b", "v1-c", "v2-a", "v2-b", "v2-c"]);
    let begun = begin(&mut state, ticket);
    let effects = state.reduce(3, ended(ticket, End::Broken));
    let second = sent(&effects).unwrap();
    let changed = Spec {
      build: build::Id::of("v3"),
      ..spec(&second)
    };
    state.reduce(4, Event::Servers(vec![Change::Set(changed)]));
    let effects = state.reduce(5, ended(ticket, End::Broken));
    assert_eq!(sent(&effects).unwrap()[..2], begun);
  }
}

/// Guards against a request that is bound to a build before its caller has any event.
#[test]
fn a_request_without_events_may_run_at_any_build() {
  let mut state = state(&["v1-a", "v2-a"]);
  let effects = state.reduce(1, Event::Arrived(descriptor(1)));
  let first = sent(&effects).unwrap();
  let effects = state.reduce(2, ended(1, End::Broken));
  assert_ne!(sent(&effects).unwrap(), first);
}

/// Guards against a stream that waits for a build without any server left.
#[test]
fn a_stream_ends_when_no_server_of_its_build_is_left() {
  let mut state = state(&["v1-a", "v2-a", "v2-b"]);
  let mut draining = spec("v2-b");
  draining.stage = Stage::Draining;
  state.reduce(1, Event::Servers(vec![Change::Set(draining)]));
  begin(&mut state, 1);
  let effects = state.reduce(3, ended(1, End::Broken));
  assert_eq!(sent(&effects), None);
  assert_eq!(refused(&effects).unwrap().reason, Reason::ServerFailed);
}

/// Guards against a server that is taken for its earlier life, which had another build.
#[test]
fn a_restarted_server_whose_entry_is_unread_continues_no_stream() {
  let mut state = state(&["v1-a", "v1-b"]);
  begin(&mut state, 1);
  let restarted = |id: &str| Holding {
    id: id.into(),
    born: 1_000,
    ..Default::default()
  };
  let known = |id: &str| Spec {
    born: 500,
    ..spec(id)
  };
  let specs = ["v1-a", "v1-b"].map(known);
  state.reduce(3, Event::Servers(vec![Change::All(specs.into())]));
  state.reduce(
    4,
    Event::Updated {
      holdings: vec![restarted("v1-a"), restarted("v1-b")],
      group: None,
      loads: None,
      instances: 4,
    },
  );
  let effects = state.reduce(5, ended(1, End::Broken));
  assert_eq!(sent(&effects), None);
}

/// Guards against a send that was decided by an entry which has changed since.
#[test]
fn a_send_to_a_server_whose_build_has_changed_is_decided_again() {
  let mut state = state(&["v1-a"]);
  let effects = state.reduce(1, Event::Arrived(descriptor(1)));
  let attempt = effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some(attempt.clone()),
    _ => None,
  });
  let attempt = attempt.unwrap();
  assert_eq!(state.abort_reason(&attempt), None);
  let changed = Spec {
    build: build::Id::of("v2"),
    ..spec("v1-a")
  };
  state.reduce(2, Event::Servers(vec![Change::Set(changed)]));
  assert_eq!(state.abort_reason(&attempt), Some(End::Leaving));
}
