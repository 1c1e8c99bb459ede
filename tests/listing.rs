//! Reducer of routed requests: the list of servers around outages of the store.

mod requests;

use bendsaddle::{
  backend::{Holding, Spec, Stage},
  demand::Model,
  deployment::Engine,
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  reachability::Outage,
  request::Ticket,
  route::{Repeat, Stream},
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// Length of an outage of the store in which entries may lapse, in ms.
const OUTAGE_MS: u64 = 4_000;
/// Random histories that are tried, their largest number of steps, and their seed.
const HISTORIES: u64 = 3_000;
const MAX_STEPS: usize = 80;
const SEED: u64 = 91;
/// Longest time between two steps of a random history, in ms.
const MAX_STEP_MS: u64 = 1_500;
const SERVERS: [&str; 3] = ["a", "b", "c"];
/// Tickets of a random history; several requests have the same one, in turn.
const TICKETS: u64 = 6;

fn store_back() -> Event {
  Event::StoreBack(Outage {
    length: Duration::from_millis(OUTAGE_MS),
    since_recovery: Duration::ZERO,
    since_failure: Duration::ZERO,
  })
}

fn spec(id: &str, born: u64) -> Spec {
  Spec {
    born,
    models: BTreeMap::from([("m".into(), Vec::new())]),
    ..requests::spec(id)
  }
}

fn state() -> State {
  requests::deployed(Engine {
    slots: 8,
    ..Engine::default()
  })
}

fn servers(changes: Vec<Change>) -> Event {
  Event::Servers(changes)
}

fn arrived(ticket: u64, model: Option<&str>, deadline: u64) -> Event {
  let stream = Stream {
    gap_ms: 300,
    resumable: true,
  };
  Event::Arrived(Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: Arc::new(requests::route(Repeat::Always, Some(stream), 3)),
    pool: "pool".into(),
    model: model.map(Model::parse),
    affinity: 0,
    deadline,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  })
}

fn ended(ticket: u64, end: End) -> Event {
  Event::Ended {
    ticket: Ticket(ticket),
    end,
  }
}

/// Server "a" runs request 1, its entry has not returned after an outage, and the store is away again
/// from 5 s to 9 s.
fn removed_while_it_runs() -> State {
  let mut state = state();
  state.reduce(0, servers(vec![Change::All(vec![spec("a", 1)])]));
  state.reduce(10, arrived(1, None, 60_000));
  state.reduce(20, Event::StoreLost);
  state.reduce(100, store_back());
  state.reduce(110, servers(vec![Change::Removed("a".into())]));
  let effects = state.reduce(3_000, Event::StoreCurrent);
  assert!(
    effects.contains(&Effect::Expired("a".into())),
    "{effects:?}"
  );
  state.reduce(5_000, Event::StoreLost);
  state
}

/// A server that is gone is looked up again at the end of the next outage if a request still runs on
/// it.
#[test]
fn a_server_that_is_gone_is_gone_once() {
  let mut state = removed_while_it_runs();
  state.reduce(9_000, store_back());
  let effects = state.reduce(12_000, Event::StoreCurrent);
  assert_eq!(effects, []);
  state.reduce(12_010, ended(1, End::Whole));
  assert!(state.backends.is_empty());
}

/// The former life of a server, whose entry was missing when the next one came, takes that one along
/// at the end of the next outage.
#[test]
fn a_server_that_has_restarted_stays_when_its_former_life_is_dropped() {
  let mut state = state();
  state.reduce(0, servers(vec![Change::All(vec![spec("a", 1)])]));
  state.reduce(10, arrived(1, None, 60_000));
  state.reduce(20, Event::StoreLost);
  state.reduce(100, store_back());
  state.reduce(110, servers(vec![Change::Removed("a".into())]));
  state.reduce(500, servers(vec![Change::Set(spec("a", 2))]));
  let effects = state.reduce(3_000, arrived(2, None, 60_000));
  let sent = effects
    .iter()
    .any(|effect| matches!(effect, Effect::Send(_)));
  assert!(sent, "{effects:?}");
  assert_eq!(requests::refused(&effects), None);
  assert!(state.by_id.contains_key("a"));
}

/// One step of a random history.
#[derive(Clone, Copy, Debug)]
struct Step {
  kind: u8,
  server: usize,
  ticket: u64,
  wait_ms: u64,
  end: End,
  with_model: bool,
}

impl Arbitrary for Step {
  fn arbitrary(generator: &mut Gen) -> Self {
    const ENDS: [End; 17] = [
      End::Whole,
      End::Failed,
      End::Full,
      End::Missing,
      End::Replaced,
      End::Unreached,
      End::Unsent,
      End::Leaving,
      End::Resting,
      End::Broken,
      End::Crashed,
      End::Stalled,
      End::Stalled,
      End::Superseded,
      End::Withdrawn,
      End::Left,
      End::Late,
    ];
    Self {
      kind: u8::arbitrary(generator) % 22,
      server: usize::arbitrary(generator) % SERVERS.len(),
      ticket: u64::arbitrary(generator) % TICKETS,
      wait_ms: u64::arbitrary(generator) % MAX_STEP_MS,
      end: *generator.choose(&ENDS).unwrap(),
      with_model: bool::arbitrary(generator),
    }
  }
}

/// An instance and the entries that the store has told it of.
struct World {
  state: State,
  now: u64,
  /// Start times of the servers whose entries are present, and of the latest life of each server.
  present: BTreeMap<&'static str, u64>,
  born: [u64; SERVERS.len()],
}

impl World {
  fn new() -> Self {
    let mut state = state();
    state.features.bounded_sends = true;
    Self {
      state,
      now: 0,
      present: BTreeMap::new(),
      born: [1; SERVERS.len()],
    }
  }

  fn set(&mut self, server: usize, stage: Stage) -> Event {
    let (id, born) = (SERVERS[server], self.born[server]);
    self.present.insert(id, born);
    let spec = Spec {
      stage,
      ..spec(id, born)
    };
    servers(vec![Change::Set(spec)])
  }

  fn list(&self) -> Event {
    let specs = self.present.iter();
    let specs = specs.map(|(id, born)| spec(id, *born)).collect();
    servers(vec![Change::All(specs)])
  }

  fn event(&mut self, step: Step) -> Event {
    let id = SERVERS[step.server];
    let ticket = Ticket(step.ticket);
    match step.kind {
      0..=2 => self.set(step.server, Stage::Ready),
      3 => self.set(step.server, Stage::Draining),
      4 => {
        self.born[step.server] += 1;
        self.set(step.server, Stage::Ready)
      }
      5..=7 => {
        self.present.remove(id);
        servers(vec![Change::Removed(id.into())])
      }
      8 => {
        self.present.remove(id);
        servers(vec![Change::Invalid(id.into())])
      }
      9 => self.list(),
      10 => Event::StoreLost,
      11 | 12 => store_back(),
      13 => Event::StoreCurrent,
      14 => Event::StoreRestored,
      15 => self.holdings(step),
      16 if self.state.requests.contains_key(&ticket) => Event::Recheck(ticket),
      16 | 17 if !self.state.requests.contains_key(&ticket) => {
        let model = step.with_model.then_some("m");
        arrived(step.ticket, model, self.now + 8_000)
      }
      18 => Event::CallerGone(ticket),
      19 => Event::Continued(ticket),
      20 => Event::Resumed(ticket),
      _ => ended(step.ticket, step.end),
    }
  }

  /// Published holdings of a server's latest life.
  fn holdings(&self, step: Step) -> Event {
    let spec = spec(SERVERS[step.server], self.born[step.server]);
    let hash = spec.life().short_hash();
    Event::Updated {
      holdings: vec![Holding {
        id: spec.id,
        born: spec.born,
        models: spec.models,
        ..Holding::default()
      }],
      group: None,
      loads: step.with_model.then(|| vec![(hash, 3)]),
      instances: 2,
    }
  }

  fn step(&mut self, step: Step) -> Result<(), String> {
    self.now += step.wait_ms;
    let event = self.event(step);
    self.state.reduce(self.now, event);
    self.check()
  }

  fn check(&self) -> Result<(), String> {
    for (id, born) in &self.present {
      let key = self.state.by_id.get(*id);
      let backend = key.and_then(|key| self.state.backends.get(*key));
      let known = backend.map(|backend| backend.spec.born);
      if known < Some(*born) {
        return Err(format!("server `{id}` of {born} is known as {known:?}"));
      }
    }
    for (key, backend) in &self.state.backends {
      let id = &backend.spec.id;
      let is_listed = self.state.by_id.get(id) == Some(&key);
      if !is_listed && (backend.running == 0 || !backend.is_leaving()) {
        return Err(format!("server `{id}` is kept though it is gone"));
      }
    }
    Ok(())
  }
}

/// Whatever the store says of servers, and whatever their requests do meanwhile, no event ends the
/// reducer, a server whose entry is present is known, and one that is gone is kept for its requests
/// only.
#[test]
fn servers_are_known_as_long_as_their_entries_are_there() {
  fn holds(steps: Vec<Step>) -> Result<(), String> {
    let mut world = World::new();
    steps.into_iter().try_for_each(|step| world.step(step))
  }
  QuickCheck::new()
    .rng(Gen::from_size_and_seed(MAX_STEPS, SEED))
    .tests(HISTORIES)
    .min_tests_passed(HISTORIES)
    .quickcheck(holds as fn(Vec<Step>) -> Result<(), String>);
}

/// Guards against an incomplete list by which servers are removed, or that counts as a complete one.
#[test]
fn an_incomplete_list_removes_nothing() {
  let mut state = state();
  state.reduce(0, servers(vec![Change::Part(vec![spec("a", 1)])]));
  assert!(state.listed && !state.list_complete);
  state.reduce(
    10,
    servers(vec![Change::All(vec![spec("a", 1), spec("b", 1)])]),
  );
  assert!(state.listed && state.list_complete);
  state.reduce(20, servers(vec![Change::Part(vec![spec("c", 1)])]));
  assert!(state.listed && !state.list_complete);
  let mut known: Vec<&String> = state.by_id.keys().collect();
  known.sort();
  assert_eq!(known, ["a", "b", "c"]);
}
