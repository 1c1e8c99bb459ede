//! Fixtures shared by the tests of the reducer for routed requests.

use bendsaddle::{
  backend::{Spec, Stage},
  build,
  deployment::{Deployment, Engine, Pool},
  dispatch::{Effect, Event, State},
  refusal::Refusal,
  retry::{Bound, Share},
  route::{Part, Repeat, Route, Stream},
};
use std::{collections::BTreeMap, sync::Arc};

/// Retry budget of the instance under test.
pub const BOUND: Bound = Bound {
  ratio: 0.2,
  slack: 80.0,
  window_ms: 10_000,
};

/// A route to the only pool, with an objective of 300 ms and a timeout of 5 s.
pub fn route(repeat: Repeat, stream: Option<Stream>, attempts: u32) -> Route {
  Route {
    name: "r".into(),
    host: "host".into(),
    prefix: "/".into(),
    parts: vec![Part {
      pool: "pool".into(),
      weight: 1,
    }],
    repeat,
    stream,
    attempts,
    timeout_ms: 5_000,
    objective_ms: 300,
    priority: 1,
    public: false,
  }
}

/// A ready server of the only pool, without any models.
pub fn spec(id: &str) -> Spec {
  Spec {
    id: id.into(),
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
  }
}

/// An instance with a single pool deployed and no servers.
pub fn deployed(engine: Engine) -> State {
  seeded(engine, 1)
}

/// Same as [`deployed`], with a seed for the random number generator.
pub fn seeded(engine: Engine, seed: u64) -> State {
  let mut state = restarted(engine, seed);
  state.retry_share = Share::first();
  state.retry_share.record_fleet_size(0, &BOUND, 8);
  state
}

/// An instance whose earlier processes are unknown to it, with a single pool deployed.
pub fn restarted(engine: Engine, seed: u64) -> State {
  let mut state = State::new("a", BOUND, seed);
  let pool = Pool {
    engine: Some(Arc::new(engine)),
    ..Pool::default()
  };
  let deployment = Deployment {
    version: 1,
    pools: BTreeMap::from([("pool".into(), pool)]),
    ..Deployment::default()
  };
  state.reduce(0, Event::Deployed(Arc::new(deployment)));
  state
}

/// The first refusal among the effects, `None` if there is none.
pub fn refused(effects: &[Effect]) -> Option<Refusal> {
  effects.iter().find_map(|effect| match effect {
    Effect::Refuse(_, refusal) => Some(*refusal),
    _ => None,
  })
}
