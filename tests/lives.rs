//! A server that restarts under the same id and address: no state of its earlier life applies to
//! the later one, in whatever order updates about the two lives arrive.

mod holder;
mod requests;

use bendsaddle::{
  backend::{Holding, Spec},
  command::{Command, Inventory, Taken},
  demand::Model,
  deployment::Engine,
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  placement::plan::{Effect as Planned, Publication},
  request::Ticket,
  route::Repeat,
};
use holder::World;
use requests::{refused, route};
use std::collections::BTreeMap;

/// Start times of a server's lives, in Unix milliseconds.
const FIRST: u64 = 1_000;
const SECOND: u64 = 2_000;
const THIRD: u64 = 3_000;

/// A holder and a server in its first life, which has `a` loaded and `d` on its disk.
fn world() -> World {
  let mut world = World::new(&["a", "d"], &[("one", &["a"], &["d"])]);
  world.servers.get_mut("one").unwrap().spec.born = FIRST;
  world.list_servers(&["one"]);
  world.run(500);
  world
}

/// Runs until the next order and returns it without executing or answering it.
fn next_order(world: &mut World) -> Command {
  for _ in 0..100 {
    world.now += 10;
    world.report();
    for effect in world.plan.step(world.now) {
      match effect {
        Planned::Order(command) => return command,
        Planned::Query { id, .. } => world.respond_to_query(&id),
        Planned::Publish(_) | Planned::Log { .. } => {}
      }
    }
  }
  panic!("no order within 1 s");
}

fn inventory(born: u64, models: &[&str], orders: u64) -> Inventory {
  let models = models.iter().map(|name| (name.to_string(), Vec::new()));
  Inventory {
    born,
    models: models.collect(),
    incoming: BTreeMap::new(),
    busy: false,
    orders,
    queued: 0,
    running: 0,
  }
}

/// Returns the models that the holder publishes for server `one`.
fn published(world: &mut World) -> Vec<String> {
  world.now += 1_000;
  world.plan.request_publish();
  let mut models = Vec::new();
  let effects = world.plan.step(world.now);
  for effect in &effects {
    if let Planned::Publish(Publication { holdings, .. }) = effect {
      for (_, holding) in holdings.iter().filter(|(_, holding)| holding.id == "one") {
        models = holding.models.keys().cloned().collect();
      }
    }
  }
  models
}

#[test]
fn an_answer_to_an_order_of_the_earlier_life_changes_nothing() {
  let mut world = world();
  world.waiting = vec![("d".into(), 1)];
  let order = next_order(&mut world);
  world.restart("one", SECOND);
  world.list_servers(&["one"]);
  world
    .plan
    .record_order_result(world.now, &order, Taken::Accepted);
  world.run(3_000);
  let first = world.orders.first().map(|order| order.orders);
  assert_eq!(
    first,
    Some(0),
    "the order count restarts at 0: {:?}",
    world.orders
  );
  assert!(world.holds("one", "d"), "{:?}", world.orders);
}

#[test]
fn a_report_of_a_later_life_ends_the_earlier_one_before_its_entry_comes() {
  let mut world = world();
  world.waiting = vec![("d".into(), 1)];
  // From here on, the order count of this life exceeds that of the next one.
  world.run(2_000);
  assert!(world.holds("one", "d"));
  world.restart("one", SECOND);
  world.missing = vec![("one".into(), "d".into())];
  world.run(4_000);
  assert!(
    world.holds("one", "d"),
    "the model is loaded again: {:?}",
    world.orders
  );
}

#[test]
fn a_late_report_of_the_earlier_life_changes_nothing() {
  let mut world = world();
  world.restart("one", SECOND);
  world.list_servers(&["one"]);
  world.run(500);
  let stale = inventory(FIRST, &["a"], 5);
  world.plan.receive_inventory(world.now, "one", Ok(stale));
  world.waiting = vec![("d".into(), 1)];
  world.run(2_000);
  assert!(world.holds("one", "d"), "{:?}", world.orders);
  assert_eq!(published(&mut world), ["d"]);
}

#[test]
fn a_birth_that_goes_backwards_changes_nothing_of_a_plan() {
  let mut world = world();
  world.restart("one", SECOND);
  world.list_servers(&["one"]);
  world.waiting = vec![("d".into(), 1)];
  world.run(2_000);
  let orders = world.orders.len();
  world.servers.get_mut("one").unwrap().spec.born = FIRST;
  world.list_servers(&["one"]);
  world.servers.get_mut("one").unwrap().spec.born = SECOND;
  world.run(1_000);
  assert_eq!(world.orders.len(), orders, "{:?}", world.orders);
  assert_eq!(published(&mut world), ["d"]);
}

#[test]
fn requests_of_the_earlier_life_keep_no_model_of_the_later_one() {
  let mut world = World::new(
    &["a", "b", "c", "d"],
    &[("one", &["a", "b", "c"], &["a", "d"])],
  );
  world.servers.get_mut("one").unwrap().spec.born = FIRST;
  world.list_servers(&["one"]);
  world.run(500);
  world.servers.get_mut("one").unwrap().spec.born = SECOND;
  world.list_servers(&["one"]);
  // The reporting instance does not know the later life yet.
  let later_life = world.life("one");
  world.servers.get_mut("one").unwrap().spec.born = FIRST;
  assert_ne!(world.life("one"), later_life);
  world.running = ["a", "b", "c"]
    .map(|model| ("one".to_string(), model.to_string(), 1))
    .into();
  world.waiting = vec![("d".into(), 1)];
  world.report();
  world.servers.get_mut("one").unwrap().spec.born = SECOND;
  world.running.clear();
  let order = next_order(&mut world);
  assert_eq!(order.life(), later_life);
}

#[test]
fn a_holder_that_takes_over_knows_each_life() {
  let mut world = world();
  world.waiting = vec![("d".into(), 1)];
  let order = next_order(&mut world);
  world.plan.start_term(world.now, 2);
  world.restart("one", SECOND);
  world.list_servers(&["one"]);
  world
    .plan
    .record_order_result(world.now, &order, Taken::Accepted);
  let stale = inventory(FIRST, &["a"], 9);
  world.plan.receive_inventory(world.now, "one", Ok(stale));
  world.run(3_000);
  assert!(world.holds("one", "d"), "{:?}", world.orders);
}

fn spec(born: u64, models: &[&str]) -> Spec {
  let models = models.iter().map(|name| (name.to_string(), Vec::new()));
  Spec {
    born,
    models: models.collect(),
    ..requests::spec("s")
  }
}

fn state(changes: Vec<Change>) -> State {
  let engine = Engine {
    slots: 8,
    ..Engine::default()
  };
  let mut state = requests::deployed(engine);
  state.reduce(0, Event::Servers(changes));
  state
}

fn holding(born: u64, models: &[&str]) -> Event {
  let models = models.iter().map(|name| (name.to_string(), Vec::new()));
  let holding = Holding {
    id: "s".into(),
    born,
    models: models.collect(),
    ..Holding::default()
  };
  Event::Updated {
    holdings: vec![holding],
    group: None,
    loads: None,
    instances: 1,
  }
}

/// Returns whether a request for `model` is sent immediately.
fn sent(state: &mut State, now: u64, ticket: u64, model: &str) -> bool {
  let descriptor = Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: route(Repeat::Always, None, 3).into(),
    pool: "pool".into(),
    model: Some(Model::parse(model)),
    affinity: 0,
    deadline: now + 5_000,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  };
  let effects = state.reduce(now, Event::Arrived(descriptor));
  effects
    .iter()
    .any(|effect| matches!(effect, Effect::Send(_)))
}

fn ended(state: &mut State, now: u64, ticket: u64, end: End) -> Vec<Effect> {
  let ticket = Ticket(ticket);
  state.reduce(now, Event::Ended { ticket, end })
}

#[test]
fn a_holding_of_the_earlier_life_is_dropped() {
  let mut state = state(vec![Change::All(vec![spec(FIRST, &["m"])])]);
  state.reduce(1, Event::Servers(vec![Change::Set(spec(SECOND, &[]))]));
  state.reduce(2, holding(FIRST, &["m"]));
  assert!(!sent(&mut state, 3, 1, "m"));
}

#[test]
fn a_holding_of_a_later_life_ends_the_earlier_one() {
  let mut state = state(vec![Change::All(vec![spec(FIRST, &["m"])])]);
  state.reduce(1, holding(SECOND, &["n"]));
  assert!(!sent(&mut state, 2, 1, "m"));
  assert!(sent(&mut state, 2, 2, "n"));
  // The server's earlier entry, from the store's history.
  state.reduce(3, Event::Servers(vec![Change::Set(spec(FIRST, &["m"]))]));
  assert!(!sent(&mut state, 4, 3, "m"));
  assert!(sent(&mut state, 4, 4, "n"));
}

#[test]
fn a_listing_read_across_a_restart_changes_nothing_of_the_later_life() {
  let mut state = state(vec![Change::All(vec![spec(FIRST, &["m"])])]);
  state.reduce(1, Event::Servers(vec![Change::Set(spec(SECOND, &["n"]))]));
  state.reduce(
    2,
    Event::Servers(vec![Change::All(vec![spec(FIRST, &["m"])])]),
  );
  assert!(!sent(&mut state, 3, 1, "m"));
  assert!(sent(&mut state, 3, 2, "n"));
}

#[test]
fn two_restarts_in_one_watch_leave_the_last_life() {
  let mut state = state(vec![Change::All(vec![spec(FIRST, &["m"])])]);
  let lives = vec![
    Change::Set(spec(SECOND, &["n"])),
    Change::Set(spec(THIRD, &[])),
    Change::Set(spec(SECOND, &["n"])),
  ];
  state.reduce(1, Event::Servers(lives));
  assert!(!sent(&mut state, 2, 1, "m"));
  assert!(!sent(&mut state, 2, 2, "n"));
  assert_eq!(state.backends[state.by_id["s"]].spec.born, THIRD);
}

#[test]
fn failures_of_the_earlier_life_do_not_count_against_the_later_one() {
  for end in [End::Broken, End::Missing, End::Replaced, End::Full] {
    let mut state = state(vec![Change::All(vec![spec(FIRST, &["m"])])]);
    assert!(sent(&mut state, 1, 1, "m"));
    state.reduce(2, Event::Servers(vec![Change::Set(spec(SECOND, &["m"]))]));
    let effects = ended(&mut state, 3, 1, end);
    assert_eq!(refused(&effects), None, "{end:?}");
    assert!(sent(&mut state, 4, 2, "m"), "{end:?}");
    let lives: BTreeMap<u64, u32> = state
      .backends
      .values()
      .map(|backend| (backend.spec.born, backend.running))
      .collect();
    assert!(
      !lives.contains_key(&FIRST),
      "the earlier life is removed with its last request: {lives:?}"
    );
  }
}
