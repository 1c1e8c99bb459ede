//! What servers say of themselves, in the reducer of routed requests.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  ask::Ticket,
  backend::{Holding, Spec, Stage},
  deployment::Engine,
  dispatch::{Ask, Attempt, Change, Effect, End, Event, State},
  http::Headers,
  life::Life,
  route::Repeat,
  statement::{Content, Said, Statement},
};
use quickcheck::quickcheck;
use std::sync::Arc;

fn servers(ids: &[&str]) -> State {
  let mut state = requests::deployed(Engine::default());
  let specs = ids.iter().map(|id| requests::spec(id));
  state.reduce(0, Event::Servers(vec![Change::All(specs.collect())]));
  state
}

fn arrived(ticket: u64) -> Event {
  Event::Arrived(Ask {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: Arc::new(requests::route(Repeat::Always, None, 3)),
    pool: "pool".into(),
    model: None,
    affinity: 0,
    until: 5_000,
    content: Default::default(),
    caller: None,
  })
}

fn sent(effects: &[Effect]) -> Option<Attempt> {
  effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some(attempt.clone()),
    _ => None,
  })
}

fn life(id: &str) -> Life {
  Life::of(id, 0)
}

/// Whether the next request goes to the one server there is.
fn used(state: &mut State, now: u64) -> bool {
  let ticket = now + 1;
  let attempt = sent(&state.reduce(now, arrived(ticket)));
  state.reduce(now, Event::Left(Ticket(ticket)));
  attempt.is_some()
}

fn set(spec: Spec) -> Event {
  Event::Servers(vec![Change::Set(spec)])
}

#[test]
fn that_a_server_leaves_stands_whatever_its_entry_says() {
  let mut state = servers(&["s"]);
  assert!(used(&mut state, 10));
  let effects = state.reduce(20, Event::Leaving(life("s")));
  assert_eq!(
    effects,
    [Effect::Leaving {
      id: "s".into(),
      own: true
    }]
  );
  assert!(!used(&mut state, 30));
  let ready = requests::spec("s");
  for (now, event) in [
    (40, set(ready.clone())),
    (50, Event::Servers(vec![Change::All(vec![ready.clone()])])),
    (60, Event::Servers(vec![Change::Gone("s".into())])),
    (70, set(ready.clone())),
    (80, Event::Servers(vec![Change::Faulty("s".into())])),
    (90, set(ready)),
  ] {
    state.reduce(now, event);
    assert!(!used(&mut state, now), "at {now} ms");
  }
  let holding = Holding {
    id: "s".into(),
    ..Holding::default()
  };
  let updated = Event::Updated {
    holdings: vec![holding],
    all: Some((0, 1)),
    loads: None,
    instances: 3,
  };
  state.reduce(100, updated);
  assert!(!used(&mut state, 100));
}

#[test]
fn it_ends_with_the_servers_life() {
  let born = |born| Spec {
    born,
    ..requests::spec("s")
  };
  let mut state = requests::deployed(Engine::default());
  state.reduce(0, Event::Servers(vec![Change::All(vec![born(5)])]));
  state.reduce(10, Event::Leaving(Life::of("s", 5)));
  assert!(!used(&mut state, 20));
  state.reduce(30, set(born(6)));
  assert!(used(&mut state, 40));
  // What is older than the life that is known changes nothing.
  state.reduce(50, set(born(5)));
  assert!(used(&mut state, 60));
}

#[test]
fn a_request_that_was_decided_before_is_not_sent() {
  let mut state = servers(&["s"]);
  let attempt = sent(&state.reduce(10, arrived(1))).expect("a send");
  assert!(state.stands(&attempt));
  state.reduce(11, Event::Leaving(life("s")));
  assert!(!state.stands(&attempt));
  let ticket = Ticket(1);
  let end = End::Leaving;
  state.reduce(12, Event::Ended { ticket, end });
  let effects = state.reduce(13, set(requests::spec("other")));
  assert_eq!(sent(&effects).expect("a send").id, "other");
}

#[test]
fn the_planner_counts_it_as_leaving_and_others_are_told_once() {
  let mut state = servers(&["s"]);
  let changes = state.changes;
  state.reduce(10, Event::Leaving(life("s")));
  state.reduce(11, Event::Leaving(life("s")));
  assert_eq!(state.changes, changes + 1);
  let key = state.ids["s"];
  assert_eq!(state.backends[key].found().stage, Stage::Draining);
  assert_eq!(state.take_statements(), [(life("s"), true)]);
  assert_eq!(state.take_statements(), []);
  let statement = Statement {
    server: life("s"),
    content: Content::Leaving,
    age_ms: 90,
  };
  assert_eq!(state.statements(100), [statement]);
  let mut other = servers(&["s"]);
  other.reduce(5_000, Event::Statements(vec![statement]));
  assert!(!used(&mut other, 5_001));
  assert_eq!(other.take_statements(), [(life("s"), false)]);
}

fn said(name: &str, value: &str, status: u16) -> Said {
  let mut headers = Headers::default();
  headers.set(name, value);
  Said::of(status, &headers, &bendsaddle::dialect::Dialect::OWN)
}

#[test]
fn any_answer_of_the_server_that_was_meant_says_that_it_leaves() {
  for status in [200, 202, 409, 500, 503] {
    assert_eq!(said("x-server-leaving", "1", status).leaves(), Ok(true));
  }
  assert_eq!(said("x-server-leaving", "1", 421).leaves(), Ok(false));
  assert_eq!(said("x-other", "1", 200).leaves(), Ok(false));
  let odd = said("x-server-leaving", "yes", 200).leaves();
  assert_eq!(odd, Err("leaving: `yes` is not 1".into()));
}

quickcheck! {
  /// In whatever order entries come, a server that leaves gets nothing.
  fn no_history_of_entries_brings_it_back(changes: Vec<u8>) -> bool {
    let mut state = servers(&["s"]);
    state.reduce(1, Event::Leaving(life("s")));
    changes.into_iter().zip(2..).all(|(change, now)| {
      let change = match change % 5 {
        0 => Change::Set(requests::spec("s")),
        1 => Change::All(vec![requests::spec("s")]),
        2 => Change::All(Vec::new()),
        3 => Change::Gone("s".into()),
        _ => Change::Faulty("s".into()),
      };
      state.reduce(now, Event::Servers(vec![change]));
      !used(&mut state, now)
    })
  }
}
