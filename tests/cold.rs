//! Requests for models that no server holds: which ones wait, and which get a retry-after.

mod requests;

use bendsaddle::{
  backend::{Holding, Spec},
  demand::Model,
  deployment::{Checkpoint, Engine},
  dispatch::{Change, Descriptor, Effect, Event, State},
  refusal::Reason,
  request::Ticket,
  route::{Repeat, Route, Stream},
  verdict::Verdict,
};
use requests::refused;
use std::sync::Arc;

/// A caller of the route disconnects after 2.4 s without data, which is eight gaps of 300 ms.
const PATIENCE_MS: u64 = 2_400;

fn route() -> Arc<Route> {
  let stream = Stream {
    resumable: true,
    gap_ms: 300,
  };
  Arc::new(Route {
    timeout_ms: 15_000,
    objective_ms: 400,
    ..requests::route(Repeat::Never, Some(stream), 2)
  })
}

/// An instance with one server, which has the model `near` on disk and does not have `far`.
fn state() -> State {
  let checkpoint = Checkpoint {
    memory_mb: 1,
    warm_ms: 400,
    disk_ms: 800,
    remote_ms: 6_000,
    ..Checkpoint::default()
  };
  let models = ["near", "far"].map(|name| (name.to_string(), checkpoint.clone()));
  let engine = Engine {
    slots: 8,
    models: models.into(),
    ..Engine::default()
  };
  let mut state = requests::deployed(engine);
  let spec = Spec {
    on_disk: vec!["near".into()],
    ..requests::spec("one")
  };
  state.reduce(0, Event::Servers(vec![Change::All(vec![spec])]));
  update_holdings(&mut state, 0, None, &[]);
  state
}

/// Applies an update of the planner about the models that the server holds and loads.
fn update_holdings(
  state: &mut State,
  now: u64,
  loading: Option<&str>,
  held: &[&str],
) -> Vec<Effect> {
  let held = held.iter().map(|name| (name.to_string(), Vec::new()));
  let holding = Holding {
    id: "one".into(),
    born: 0,
    models: held.collect(),
    leaving: Vec::new(),
    coming: loading.map(str::to_string),
  };
  let event = Event::Updated {
    holdings: vec![holding],
    group: None,
    loads: None,
    instances: 3,
  };
  state.reduce(now, event)
}

fn arrive(state: &mut State, now: u64, ticket: u64, model: &str) -> Vec<Effect> {
  let descriptor = Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: route(),
    pool: "pool".into(),
    model: Some(Model::parse(model)),
    affinity: 0,
    deadline: now + 15_000,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  };
  state.reduce(now, Event::Arrived(descriptor))
}

#[test]
fn a_caller_that_would_leave_before_the_load_ends_is_told_when_to_come_back() {
  let mut state = state();
  let refusal = refused(&arrive(&mut state, 100, 1, "far")).expect("a refusal at once");
  assert_eq!(
    (refusal.reason, refusal.verdict),
    (Reason::Loading, Verdict::NotRun)
  );
  let retry_after = refusal.retry_after.unwrap();
  assert!((6_000..6_500).contains(&retry_after), "{retry_after}");
}

#[test]
fn a_caller_whose_model_comes_in_time_waits_for_it() {
  let mut state = state();
  assert_eq!(refused(&arrive(&mut state, 100, 1, "near")), None);
  let effects = update_holdings(&mut state, 900, None, &["near"]);
  assert!(matches!(effects[..], [Effect::Send(_)]), "{effects:?}");
}

#[test]
fn what_a_refused_caller_wants_is_demand_until_it_is_back() {
  let mut state = state();
  let effects = arrive(&mut state, 100, 1, "far");
  assert!(
    effects.contains(&Effect::ReportDemand),
    "demand is reported to the planner immediately"
  );
  let retry_after = refused(&effects).unwrap().retry_after.unwrap();
  let demand = state.demand(100 + retry_after);
  assert_eq!((demand.len(), demand[0].waiting), (1, 1));
  assert_eq!(demand[0].age_ms, retry_after);
  assert!(state.demand(100 + retry_after + 1_000).is_empty());
}

#[test]
fn the_time_to_come_back_counts_from_the_loads_begin() {
  let mut state = state();
  update_holdings(&mut state, 100, Some("far"), &[]);
  // A repeated update describes the same load.
  update_holdings(&mut state, 600, Some("far"), &[]);
  let refusal = refused(&arrive(&mut state, 1_100, 1, "far")).unwrap();
  let retry_after = refusal.retry_after.unwrap();
  assert!((5_000..5_500).contains(&retry_after), "{retry_after}");
  // A request that arrives near the end of the load waits.
  update_holdings(&mut state, 4_000, Some("far"), &[]);
  assert_eq!(refused(&arrive(&mut state, 5_000, 2, "far")), None);
}

#[test]
fn a_request_that_waits_in_vain_is_refused_before_its_caller_leaves() {
  let mut state = state();
  arrive(&mut state, 100, 1, "near");
  let mut now = 100;
  let refusal = loop {
    now += 100;
    assert!(now < 100 + PATIENCE_MS, "the caller has disconnected");
    let mut effects = update_holdings(&mut state, now, None, &[]);
    effects.extend(state.reduce(now, Event::Recheck(Ticket(1))));
    if let Some(refusal) = refused(&effects) {
      break refusal;
    }
  };
  assert!(now > 100 + PATIENCE_MS / 2, "refused at {now} ms");
  assert_eq!(refusal.verdict, Verdict::NotRun);
  assert!(refusal.retry_after.is_some());
}
