//! Server state after the store has been restored from an older backup.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::{Spec, Stage},
  deployment::Engine,
  dispatch::{Change, Descriptor, Effect, Event, State},
  request::Ticket,
  route::Repeat,
};
use std::sync::Arc;

/// Time within which servers with expired entries register again, ms.
const REREGISTRATION_MS: u64 = 2_000;
/// Time within which the entries of absent servers are removed from a restored backup, ms.
const REMOVAL_MS: u64 = 5_000;

fn servers(ids: &[&str]) -> State {
  let mut state = requests::deployed(Engine::default());
  state.reduce(0, all(ids));
  state
}

fn all(ids: &[&str]) -> Event {
  let specs = ids.iter().map(|id| requests::spec(id));
  Event::Servers(vec![Change::All(specs.collect())])
}

fn set(spec: Spec) -> Event {
  Event::Servers(vec![Change::Set(spec)])
}

fn draining(id: &str) -> Spec {
  Spec {
    stage: Stage::Draining,
    ..requests::spec(id)
  }
}

/// ID of the server that the next request is sent to, `None` if it is not sent.
fn next_target(state: &mut State, now: u64) -> Option<String> {
  let ticket = Ticket(now + 1);
  let arrived = Event::Arrived(Descriptor {
    ticket,
    id: now.to_string(),
    route: Arc::new(requests::route(Repeat::Always, None, 3)),
    pool: "pool".into(),
    model: None,
    affinity: 0,
    deadline: now + 5_000,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  });
  let effects = state.reduce(now, arrived);
  state.reduce(now, Event::CallerGone(ticket));
  effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some(attempt.id.clone()),
    _ => None,
  })
}

/// Restores the store from a backup that holds entries for the given servers.
fn restore(state: &mut State, now: u64, ids: &[&str]) {
  state.reduce(now, Event::StoreRestored);
  state.reduce(now, all(ids));
  state.reduce(now, Event::StoreCurrent);
}

#[test]
fn a_server_that_had_said_that_it_leaves_is_not_ready_again_with_the_copy() {
  let mut state = servers(&["s"]);
  state.reduce(10, set(draining("s")));
  restore(&mut state, 1_000, &["s"]);
  assert_eq!(next_target(&mut state, 1_010), None);
  assert_eq!(next_target(&mut state, 60_000), None);
}

#[test]
fn a_server_that_was_gone_is_not_back_with_the_copy_alone() {
  let mut state = servers(&["s"]);
  state.reduce(10, Event::Servers(vec![Change::Removed("s".into())]));
  restore(&mut state, 1_000, &["s"]);
  assert_eq!(next_target(&mut state, 1_010), None);
  // A second listing gives no new information about the server.
  state.reduce(2_000, all(&["s"]));
  assert_eq!(next_target(&mut state, 2_010), None);
  // The entry of an absent server would have been removed by now.
  assert!(next_target(&mut state, 1_000 + REMOVAL_MS).is_some());
}

#[test]
fn it_is_back_once_it_writes_its_entry_again() {
  let mut state = servers(&["s"]);
  state.reduce(10, Event::Servers(vec![Change::Removed("s".into())]));
  restore(&mut state, 1_000, &["s"]);
  state.reduce(1_500, set(requests::spec("s")));
  assert!(next_target(&mut state, 1_510).is_some());
}

#[test]
fn a_server_that_the_copy_lacks_is_used_on_until_it_should_be_back() {
  let mut state = servers(&["s"]);
  restore(&mut state, 1_000, &[]);
  assert!(next_target(&mut state, 1_010).is_some());
  assert!(next_target(&mut state, 1_000 + REREGISTRATION_MS - 10).is_some());
  assert_eq!(next_target(&mut state, 1_000 + REREGISTRATION_MS), None);
  let mut state = servers(&["s"]);
  restore(&mut state, 1_000, &[]);
  state.reduce(2_000, set(requests::spec("s")));
  assert!(next_target(&mut state, 10_000).is_some());
}

#[test]
fn what_is_removed_after_the_return_has_left() {
  let mut state = servers(&["s"]);
  restore(&mut state, 1_000, &["s"]);
  state.reduce(1_100, Event::Servers(vec![Change::Removed("s".into())]));
  assert_eq!(next_target(&mut state, 1_110), None);
}

#[test]
fn an_instance_that_starts_hears_of_the_others_who_left() {
  let mut running_instance = servers(&["s"]);
  running_instance.reduce(10, set(draining("s")));
  let mut starting_instance = servers(&["s"]);
  starting_instance.reduce(20, Event::Statements(running_instance.all_statements(15)));
  assert_eq!(next_target(&mut starting_instance, 30), None);
}
