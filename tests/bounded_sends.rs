//! Sends beyond a server's slots are bounded; the rest waits at its instance.

mod holder;
#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::Spec,
  demand::Model,
  deployment::{Deployment, Engine},
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  life::Life,
  message::{self, Extension, Message},
  placement::plan,
  request::Ticket,
  route::{Repeat, Route, Stream},
  verdict::Verdict,
};
use holder::World;
use requests::refused;
use std::{collections::BTreeMap, sync::Arc};

const SLOTS: u32 = 12;
/// Slots, and at most a quarter beyond them.
const MOST: usize = 15;

fn route(priority: u8) -> Arc<Route> {
  let stream = Stream {
    resumable: false,
    gap_ms: 300,
  };
  Arc::new(Route {
    priority,
    objective_ms: 600,
    ..requests::route(Repeat::Never, Some(stream), 2)
  })
}

fn state(seed: u64, servers: &[&str]) -> State {
  let engine = Engine {
    slots: SLOTS,
    ..Engine::default()
  };
  let mut state = requests::seeded(engine, seed);
  state.features.bounded_sends = true;
  let spec = |id: &&str| Spec {
    models: BTreeMap::from([("m".to_string(), Vec::new())]),
    slots: SLOTS,
    ..requests::spec(id)
  };
  let specs = servers.iter().map(spec).collect();
  state.reduce(0, Event::Servers(vec![Change::All(specs)]));
  state
}

fn arrived(ticket: u64, route: &Arc<Route>) -> Event {
  Event::Arrived(Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: route.clone(),
    pool: "pool".into(),
    model: Some(Model::parse("m")),
    affinity: 0,
    deadline: 60_000,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  })
}

fn publish(state: &mut State, now: u64, load: u16, waiting: u16) -> Vec<Effect> {
  let id = Life::of("one", 0).short_hash();
  state.reduce(now, Event::Waiting(vec![(id, waiting)]));
  let update = Event::Updated {
    holdings: Vec::new(),
    group: None,
    loads: Some(vec![(id, load)]),
    instances: 79,
  };
  state.reduce(now, update)
}

fn sends(effects: &[Effect]) -> Vec<Ticket> {
  let tickets = effects.iter().filter_map(|effect| match effect {
    Effect::Send(attempt) => Some(attempt.ticket),
    _ => None,
  });
  tickets.collect()
}

fn ended(ticket: u64) -> Event {
  Event::Ended {
    ticket: Ticket(ticket),
    end: End::Whole,
  }
}

/// Requests waited in the server's own queue: 60 were sent to 12 slots.
#[test]
fn the_queue_of_a_full_server_is_not_used_as_a_waiting_room() {
  let route = route(1);
  let mut state = state(1, &["one"]);
  let mut sent = Vec::new();
  let mut demand = false;
  for ticket in 0..22 {
    let effects = state.reduce(10, arrived(ticket, &route));
    assert_eq!(refused(&effects), None);
    demand |= effects.contains(&Effect::ReportDemand);
    sent.extend(sends(&effects));
  }
  assert!(
    (SLOTS as usize..=MOST).contains(&sent.len()),
    "{} sends to 12 slots",
    sent.len()
  );
  assert!(demand, "the planner learns of those that wait");
  assert_eq!(state.demand(20)[0].waiting as usize, 22 - sent.len());
  let strain = state.take_strain();
  assert_eq!(
    strain[0].requests as usize,
    22 - sent.len(),
    "each that waits counts like one that a full server declined"
  );
  for ticket in 0..sent.len() as u64 {
    let effects = state.reduce(500, ended(ticket));
    sent.extend(sends(&effects));
  }
  assert_eq!(sent.len(), 22, "each end makes room for one that waits");
}

/// A request was held until its caller left, although no room could come in time.
#[test]
fn what_cannot_be_met_is_refused_at_once() {
  let route = route(1);
  let mut state = state(1, &["one"]);
  let mut at_once = 0;
  for ticket in 0..200 {
    let effects = state.reduce(10, arrived(ticket, &route));
    if let Some(refusal) = refused(&effects) {
      assert_eq!(refusal.verdict, Verdict::NotRun);
      assert!(refusal.retry_after.is_some_and(|after| after >= 500));
      at_once += 1;
    }
  }
  assert!(at_once > 150, "{at_once} of 200 refused on arrival");
  let waiting: Vec<Ticket> = state.waiting.iter().map(|entry| entry.2).collect();
  assert!(!waiting.is_empty());
  for ticket in waiting {
    let effects = state.reduce(2_400, Event::Recheck(ticket));
    let refusal = refused(&effects).expect("given up before the caller leaves");
    assert_eq!(refusal.verdict, Verdict::NotRun);
  }
}

/// The server's own queue is out of reach of priorities set by customers.
#[test]
fn room_goes_to_the_most_urgent_first() {
  let (urgent, usual) = (route(0), route(1));
  let mut state = state(1, &["one"]);
  let mut running = Vec::new();
  for ticket in 0..18 {
    running.extend(sends(&state.reduce(10, arrived(ticket, &usual))));
  }
  let effects = state.reduce(20, arrived(100, &urgent));
  assert_eq!(sends(&effects), []);
  let effects = state.reduce(30, ended(running[0].0));
  assert_eq!(sends(&effects), [Ticket(100)]);
}

/// A request that arrives as room appears went ahead of more urgent ones that waited for it.
#[test]
fn an_arrival_does_not_overtake_more_urgent_requests() {
  let (urgent, usual) = (route(0), route(1));
  let mut state = state(1, &["one"]);
  for ticket in 0..16 {
    state.reduce(10, arrived(ticket, &usual));
  }
  state.reduce(10, arrived(100, &urgent));
  let key = state.by_id["one"];
  // Room that no event announces.
  state.backends[key].running -= 1;
  let effects = state.reduce(20, arrived(101, &usual));
  assert_eq!(sends(&effects), [Ticket(100)]);
}

/// After a publication each of many instances took the same few free slots.
#[test]
fn instances_share_the_room_that_a_publication_shows() {
  let route = route(1);
  let mut total = 0;
  for seed in 0..40 {
    let mut state = state(seed, &["one"]);
    publish(&mut state, 5, 20, 0);
    let effects = state.reduce(10, arrived(1, &route));
    assert_eq!(sends(&effects), [], "full");
    total += sends(&publish(&mut state, 500, 11, 40)).len();
  }
  assert!((1..=10).contains(&total), "{total} sends for 4 places");
}

/// Only servers admit the more urgent first over all instances: what is urgent waits there.
#[test]
fn urgent_requests_use_part_of_the_servers_queue() {
  let (urgent, usual) = (route(0), route(1));
  let mut state = state(1, &["one"]);
  let old = state.deployment.clone().unwrap();
  let deployment = Deployment {
    version: 2,
    routes: vec![urgent.clone(), usual.clone()],
    ..(*old).clone()
  };
  state.reduce(1, Event::Deployed(Arc::new(deployment)));
  let mut sent = 0;
  for ticket in 0..16 {
    sent += sends(&state.reduce(10, arrived(ticket, &usual))).len();
  }
  assert!(sent <= MOST);
  for ticket in 100..120 {
    sent += sends(&state.reduce(10, arrived(ticket, &urgent))).len();
  }
  assert!((18..=21).contains(&sent), "{sent} of 36 at 12 slots");
}

/// An arrival between two publications waited for the next one although there was room.
#[test]
fn an_instance_where_none_waits_may_use_room() {
  let route = route(1);
  let mut total = 0;
  for seed in 0..40 {
    let mut state = state(seed, &["one"]);
    publish(&mut state, 5, 11, 5);
    total += sends(&state.reduce(10, arrived(1, &route))).len();
  }
  assert!((10..=35).contains(&total), "{total} of 40 at 3 of 5 places");
}

/// Low priorities waited without an answer while urgent requests kept coming.
#[test]
fn nothing_waits_longer_than_its_caller() {
  let (urgent, usual) = (route(0), route(1));
  let mut state = state(1, &["one"]);
  let mut running = Vec::new();
  for ticket in 0..15 {
    running.extend(sends(&state.reduce(10, arrived(ticket, &urgent))));
  }
  state.reduce(10, arrived(50, &usual));
  let mut outcome = None;
  for step in 1..40u64 {
    let now = 10 + step * 100;
    let mut effects = state.reduce(now, arrived(100 + step, &urgent));
    effects.extend(state.reduce(now, ended(running.remove(0).0)));
    effects.extend(state.reduce(now, Event::Recheck(Ticket(50))));
    running.extend(sends(&effects));
    let is_refused = |effect: &Effect| matches!(effect, Effect::Refuse(Ticket(50), _));
    if sends(&effects).contains(&Ticket(50)) || effects.iter().any(is_refused) {
      outcome.get_or_insert(now);
    }
  }
  assert!(outcome.is_some_and(|at| at <= 2_400), "{outcome:?}");
}

/// With the switch off, all are sent.
#[test]
fn without_the_switch_sends_are_not_bounded() {
  let route = route(1);
  let mut state = state(1, &["one"]);
  state.features.bounded_sends = false;
  for ticket in 0..60 {
    assert_eq!(sends(&state.reduce(10, arrived(ticket, &route))).len(), 1);
  }
}

fn published_waiting(enabled: bool) -> Vec<(u32, u16)> {
  let mut world = World::new(&["a", "d"], &[("one", &["a"], &[]), ("two", &[], &[])]);
  world.plan.features.bounded_sends = enabled;
  world.running = vec![("one".into(), "a".into(), 12)];
  world.run(1_000);
  world.waiting = vec![("a".into(), 7)];
  world.run(100);
  let mut published = Vec::new();
  for _ in 0..100 {
    world.now += 10;
    world.report();
    for effect in world.plan.step(world.now) {
      if let plan::Effect::Publish(publication) = effect
        && publication
          .loads
          .as_ref()
          .is_some_and(|loads| !loads.is_empty())
      {
        published = publication.waiting;
      }
    }
  }
  published
}

/// No instance knew how many requests of others wait for the same room.
#[test]
fn the_holder_publishes_what_waits_for_a_held_model() {
  assert_eq!(
    published_waiting(true),
    [(Life::of("one", 0).short_hash(), 7)]
  );
  assert_eq!(published_waiting(false), []);
}

/// A holder of an earlier version sends no extension.
#[test]
fn an_update_without_the_extension_states_nothing_that_waits() {
  let message = Message::Statements(Vec::new());
  let bytes = message::encode(&message, &Extension::default()).unwrap();
  assert_eq!(message::decode(&bytes).unwrap().1.waiting, []);
  let extension = Extension {
    waiting: vec![(1, 2), (3, 4)],
    ..Extension::default()
  };
  let bytes = message::encode(&message, &extension).unwrap();
  assert_eq!(message::decode(&bytes).unwrap().1, extension);
}
