//! Decisions reach the threads that wait for them in the order in which they are made.

use bendsaddle::{
  backend::{Holding, Spec, Stage},
  build,
  demand::Model,
  deployment::{Deployment, Engine, Pool},
  dialect::Dialect,
  dispatch::{Change, Descriptor, End, Event, State},
  hub::{Directive, Hub, Mailbox},
  request::Ticket,
  retry::Bound,
  route::{Part, Repeat, Route},
  socket::{Interest, wait},
};
use slog::{Discard, Logger, o};
use std::{
  collections::BTreeMap,
  sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
  },
  thread,
};

/// Number of threads that send requests, and of requests per thread.
const THREADS: usize = 4;
const REQUESTS: usize = 5_000;
/// Time for which a request waits, ms; longer than the test takes.
const PATIENCE_MS: u64 = 600_000;

fn route() -> Arc<Route> {
  Arc::new(Route {
    name: "r".into(),
    host: "host".into(),
    prefix: "/".into(),
    parts: vec![Part {
      pool: "pool".into(),
      weight: 1,
    }],
    repeat: Repeat::Always,
    stream: None,
    attempts: 2,
    timeout_ms: PATIENCE_MS,
    objective_ms: 300,
    priority: 1,
    public: false,
  })
}

/// A hub with one server.
fn hub() -> Arc<Hub> {
  let bound = Bound {
    ratio: 0.2,
    slack: 80.0,
    window_ms: 10_000,
  };
  let state = State::new("a", bound, 1);
  let hub = Hub::new(state, Dialect::DEFAULT, Logger::root(Discard, o!())).unwrap();
  let pool = Pool {
    engine: Some(Arc::new(Engine {
      slots: 8,
      ..Engine::default()
    })),
    ..Pool::default()
  };
  let deployment = Deployment {
    version: 1,
    pools: BTreeMap::from([("pool".into(), pool)]),
    ..Deployment::default()
  };
  hub.apply(Event::Deployed(Arc::new(deployment)), None);
  let spec = Spec {
    id: "s".into(),
    born: 0,
    build: build::Id::of("1"),
    pool: "pool".into(),
    address: "127.0.0.1:9".parse().unwrap(),
    zone: "a".into(),
    slots: 8,
    stage: Stage::Ready,
    models: BTreeMap::new(),
    in_memory: Vec::new(),
    on_disk: Vec::new(),
  };
  hub.apply(Event::Servers(vec![Change::All(vec![spec])]), None);
  hub
}

/// An update that the server holds a model, or no model if `model` is `None`.
fn holdings_update(model: Option<&str>) -> Event {
  let models = model.iter().map(|name| (name.to_string(), Vec::new()));
  Event::Updated {
    holdings: vec![Holding {
      id: "s".into(),
      born: 0,
      models: models.collect(),
      leaving: Vec::new(),
      coming: None,
    }],
    group: None,
    loads: None,
    instances: 1,
  }
}

/// Waits for a request's decision as its thread does; returns whether the request is to be sent.
fn wait_until_decided(hub: &Hub, mailbox: &Mailbox, ticket: Ticket) -> bool {
  let mut directive = mailbox.take();
  while let Some(Directive::Wait(until)) = directive {
    let [woken] = wait([Some((&mailbox.waker, Interest::Read))], hub.instant(until)).unwrap();
    if woken {
      mailbox.waker.clear();
      directive = mailbox.take().or(directive);
    } else {
      hub.apply(Event::Recheck(ticket), Some(ticket));
      directive = mailbox.take();
    }
  }
  matches!(directive, Some(Directive::Send(_)))
}

fn run_request(hub: &Hub, mailbox: &Arc<Mailbox>, route: &Arc<Route>) {
  let ticket = hub.ticket(mailbox);
  mailbox.waker.clear();
  mailbox.take();
  let descriptor = Descriptor {
    ticket,
    id: "id".into(),
    route: route.clone(),
    pool: "pool".into(),
    model: Some(Model::parse("m")),
    affinity: 0,
    deadline: PATIENCE_MS,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  };
  hub.apply(Event::Arrived(descriptor), Some(ticket));
  assert!(
    wait_until_decided(hub, mailbox, ticket),
    "the decision was lost"
  );
  let end = End::Whole;
  hub.apply(Event::Ended { ticket, end }, Some(ticket));
  hub.close(ticket);
}

#[test]
fn a_decision_made_for_a_request_reaches_its_thread() {
  let (hub, route) = (hub(), route());
  let done = Arc::new(AtomicBool::new(false));
  let planner = {
    let (hub, done) = (hub.clone(), done.clone());
    thread::spawn(move || {
      while !done.load(Ordering::Relaxed) {
        hub.apply(holdings_update(Some("m")), None);
        hub.apply(holdings_update(None), None);
      }
      hub.apply(holdings_update(Some("m")), None);
    })
  };
  let callers: Vec<_> = (0..THREADS)
    .map(|_| {
      let (hub, route) = (hub.clone(), route.clone());
      thread::spawn(move || {
        let mailbox = Arc::new(Mailbox::new().unwrap());
        (0..REQUESTS).for_each(|_| run_request(&hub, &mailbox, &route));
      })
    })
    .collect();
  let ended: Vec<bool> = callers
    .into_iter()
    .map(|caller| caller.join().is_ok())
    .collect();
  done.store(true, Ordering::Relaxed);
  planner.join().unwrap();
  assert_eq!(ended, [true; THREADS]);
  assert!(hub.state().running.is_empty());
}
