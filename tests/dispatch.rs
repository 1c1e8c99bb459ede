//! Reducer of routed requests: server selection, retries, verdicts and refusals.

mod requests;

use bendsaddle::{
  backend::{Holding, Spec, Stage, short_hash},
  demand::Model,
  deployment::{Deployment, Engine},
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  reachability::Outage,
  refusal::Reason,
  request::Ticket,
  retry::Budget,
  route::{Repeat, Route, Stream},
  verdict::Verdict,
};
use requests::{BOUND, refused};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

fn route(repeat: Repeat, stream: Option<Stream>, attempts: u32) -> Arc<Route> {
  Arc::new(requests::route(repeat, stream, attempts))
}

fn spec(id: &str, models: &[&str]) -> Spec {
  let models = models.iter().map(|name| (name.to_string(), Vec::new()));
  Spec {
    models: models.collect(),
    ..requests::spec(id)
  }
}

fn state(specs: Vec<Spec>) -> State {
  let engine = Engine {
    slots: 8,
    ..Engine::default()
  };
  let mut state = requests::deployed(engine);
  state.reduce(0, Event::Servers(vec![Change::All(specs)]));
  state
}

fn arrived(ticket: u64, route: &Arc<Route>, model: Option<&str>) -> Event {
  Event::Arrived(Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: route.clone(),
    pool: "pool".into(),
    model: model.map(Model::parse),
    affinity: 0,
    deadline: 5_000,
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

fn stopping(accept_until: u64, refuse_waiting_at: u64, end_at: u64) -> Event {
  Event::Stopping {
    accept_until,
    refuse_waiting_at,
    end_at,
  }
}

fn sent(effects: &[Effect]) -> Option<String> {
  effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some(attempt.id.clone()),
    _ => None,
  })
}

#[test]
fn a_run_that_may_have_begun_is_repeated_only_where_the_route_allows() {
  for (repeat, stream, is_retried) in [
    (Repeat::Always, None, true),
    (Repeat::Never, None, false),
    (
      Repeat::Never,
      Some(Stream {
        resumable: true,
        gap_ms: 300,
      }),
      true,
    ),
    (
      Repeat::Never,
      Some(Stream {
        resumable: false,
        gap_ms: 300,
      }),
      false,
    ),
  ] {
    let route = route(repeat, stream, 2);
    let mut state = state(vec![spec("one", &[]), spec("two", &[])]);
    let first = sent(&state.reduce(1, arrived(1, &route, None))).unwrap();
    let effects = state.reduce(2, ended(1, End::Broken));
    if is_retried {
      let second = sent(&effects).unwrap();
      assert_ne!(first, second);
      let effects = state.reduce(3, ended(1, End::Broken));
      assert_eq!(sent(&effects), None, "no more runs than attempts");
      assert_eq!(refused(&effects).unwrap().verdict, Verdict::MayHaveRun);
    } else {
      assert_eq!(sent(&effects), None);
      let refusal = refused(&effects).unwrap();
      assert_eq!(refusal.verdict, Verdict::MayHaveRun);
      assert_eq!(refusal.reason, Reason::ServerFailed);
    }
  }
}

#[test]
fn a_declined_request_goes_on_and_its_refusal_is_true() {
  let route = route(Repeat::Never, None, 1);
  let mut state = state(vec![spec("one", &[]), spec("two", &[])]);
  let first = sent(&state.reduce(1, arrived(1, &route, None))).unwrap();
  let second = sent(&state.reduce(2, ended(1, End::Full))).unwrap();
  assert_ne!(first, second);
  state.reduce(3, ended(1, End::Unreached));
  let effects = state.reduce(5_000, Event::Recheck(Ticket(1)));
  let refusal = refused(&effects).unwrap();
  assert_eq!(refusal.verdict, Verdict::NotRun);
  assert!(refusal.retry_after.is_some());
}

#[test]
fn a_request_broken_once_is_never_called_not_run() {
  let route = route(Repeat::Always, None, 3);
  let mut state = state(vec![spec("one", &[]), spec("two", &[])]);
  state.reduce(1, arrived(1, &route, None));
  state.reduce(2, ended(1, End::Broken));
  state.reduce(3, ended(1, End::Full));
  let effects = state.reduce(5_000, Event::Recheck(Ticket(1)));
  assert_eq!(refused(&effects).unwrap().verdict, Verdict::MayHaveRun);
}

#[test]
fn a_request_waits_for_its_model_and_is_sent_when_it_is_told_of() {
  let route = route(Repeat::Always, None, 2);
  let mut state = state(vec![spec("one", &["warm"])]);
  let effects = state.reduce(1, arrived(1, &route, Some("cold/a1")));
  assert!(effects.contains(&Effect::ReportDemand), "{effects:?}");
  assert_eq!(sent(&effects), None);
  let demand = state.demand(101);
  assert_eq!((demand[0].waiting, demand[0].age_ms), (1, 100));
  let holding = Holding {
    id: "one".into(),
    born: 0,
    models: BTreeMap::from([("cold".into(), vec!["a1".into()])]),
    leaving: Vec::new(),
    coming: None,
  };
  let update = Event::Updated {
    holdings: vec![holding],
    group: None,
    loads: None,
    instances: 3,
  };
  assert_eq!(sent(&state.reduce(200, update)).as_deref(), Some("one"));
  assert!(state.demand(200).is_empty());
}

#[test]
fn an_instance_cut_off_sends_callers_elsewhere_at_once() {
  let route = route(Repeat::Never, None, 1);
  let mut state = state(vec![spec("one", &["warm"])]);
  let update = Event::Updated {
    holdings: Vec::new(),
    group: None,
    loads: None,
    instances: 3,
  };
  state.reduce(1_000, update);
  state.reduce(1_000, Event::StoreLost);
  let effects = state.reduce(2_000, arrived(1, &route, Some("cold")));
  assert_eq!(refused(&effects), None, "an update of a planner is recent");
  let effects = state.reduce(4_000, arrived(2, &route, Some("cold")));
  let refusal = refused(&effects).unwrap();
  assert_eq!(refusal.verdict, Verdict::NotRun);
  assert!(refusal.retry_after.is_some());
  let effects = state.reduce(4_000, arrived(3, &route, Some("warm")));
  assert_eq!(
    sent(&effects).as_deref(),
    Some("one"),
    "a model that is held is served"
  );
  state.reduce(4_000, store_restored(3_000));
  let effects = state.reduce(4_100, arrived(4, &route, Some("cold")));
  assert_eq!(
    refused(&effects),
    None,
    "the store is available to find a planner"
  );
}

#[test]
fn a_model_that_leaves_gets_no_new_requests() {
  let route = route(Repeat::Always, None, 2);
  let mut state = state(vec![spec("one", &["m"]), spec("two", &["m"])]);
  let holding = Holding {
    id: "one".into(),
    born: 0,
    models: BTreeMap::from([("m".into(), Vec::new())]),
    leaving: vec!["m".into()],
    coming: None,
  };
  let update = Event::Updated {
    holdings: vec![holding],
    group: None,
    loads: None,
    instances: 3,
  };
  state.reduce(1, update);
  for ticket in 0..20 {
    let effects = state.reduce(2, arrived(ticket, &route, Some("m")));
    assert_eq!(sent(&effects).as_deref(), Some("two"));
  }
}

#[test]
fn a_server_that_leaves_or_is_replaced_gets_no_new_requests() {
  let route = route(Repeat::Always, None, 2);
  let mut state = state(vec![spec("one", &[]), spec("two", &[]), spec("three", &[])]);
  let mut leaving = spec("one", &[]);
  leaving.stage = Stage::Draining;
  state.reduce(1, Event::Servers(vec![Change::Set(leaving)]));
  state.reduce(1, Event::Servers(vec![Change::Removed("two".into())]));
  for ticket in 0..20 {
    let effects = state.reduce(2, arrived(ticket, &route, None));
    assert_eq!(sent(&effects).as_deref(), Some("three"));
  }
  let effects = state.reduce(3, ended(0, End::Replaced));
  assert_eq!(sent(&effects), None);
  let effects = state.reduce(4_000, arrived(30, &route, None));
  assert_eq!(
    sent(&effects),
    None,
    "its address belongs to another server"
  );
}

#[test]
fn an_older_deployment_never_comes_back() {
  let mut state = state(Vec::new());
  let with = |version| {
    Event::Deployed(Arc::new(Deployment {
      version,
      ..Deployment::default()
    }))
  };
  state.reduce(1, with(5));
  state.reduce(2, with(4));
  assert_eq!(state.deployment.unwrap().version, 5);
}

#[test]
fn what_waits_at_a_planned_stop_is_refused_as_not_run() {
  let route = route(Repeat::Never, None, 1);
  let mut state = state(Vec::new());
  state.reduce(1, arrived(1, &route, None));
  state.reduce(2, stopping(500, 1_000, 2_000));
  assert_eq!(refused(&state.reduce(999, Event::Recheck(Ticket(1)))), None);
  let refusal = refused(&state.reduce(1_000, Event::Recheck(Ticket(1)))).unwrap();
  assert_eq!(refusal.verdict, Verdict::NotRun);
  assert_eq!(refusal.reason, Reason::Stopping);
}

#[test]
fn nothing_is_taken_long_after_a_planned_stop_began() {
  let route = route(Repeat::Never, None, 1);
  let mut state = state(vec![spec("one", &[])]);
  state.reduce(1, stopping(500, 1_000, 2_000));
  let effects = state.reduce(499, arrived(1, &route, None));
  assert!(sent(&effects).is_some());
  let effects = state.reduce(500, arrived(2, &route, None));
  assert_eq!(sent(&effects), None);
  let refusal = refused(&effects).unwrap();
  assert_eq!(refusal.verdict, Verdict::NotRun);
  assert!(refusal.retry_after.is_some());
}

#[test]
fn repeats_of_all_instances_stay_within_the_budget() {
  let instances = 4;
  let mut budgets = vec![Budget::default(); instances];
  let mut retries = 0;
  for now in 0..1_000u64 {
    for budget in &mut budgets {
      if now % 10 == 0 {
        budget.record_request(now, &BOUND);
      }
      if budget.try_retry(now, &BOUND, BOUND.slack / instances as f64) {
        budget.record_sent(now);
        retries += 1;
      }
    }
  }
  let allowed = BOUND.ratio * 400.0 + BOUND.slack;
  assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
  assert!(
    f64::from(retries) >= allowed * 0.5,
    "{retries} of {allowed}"
  );
}

#[test]
fn requests_go_to_the_server_with_fewer_of_them() {
  let route = route(Repeat::Always, None, 2);
  let mut state = state(vec![spec("one", &["m"]), spec("two", &["m"])]);
  let mut counts = BTreeMap::new();
  for ticket in 0..40 {
    let id = sent(&state.reduce(1, arrived(ticket, &route, Some("m")))).unwrap();
    *counts.entry(id).or_insert(0) += 1;
  }
  assert!(
    counts.values().all(|count| (17..=23).contains(count)),
    "{counts:?}"
  );
}

/// An outage of the store: its length and the times since its end and since the last failed call,
/// ms.
fn outage(length_ms: u64, since_recovery_ms: u64, since_failure_ms: u64) -> Outage {
  let [length, since_recovery, since_failure] =
    [length_ms, since_recovery_ms, since_failure_ms].map(Duration::from_millis);
  Outage {
    length,
    since_recovery,
    since_failure,
  }
}

fn store_restored(outage_ms: u64) -> Event {
  Event::StoreBack(outage(outage_ms, 0, 0))
}

/// A state in which the entry of server "s" is missing after an outage of the store.
fn with_missing_entry(outage_ms: u64) -> (State, Vec<Effect>) {
  let mut state = state(vec![spec("s", &[])]);
  state.reduce(50, Event::StoreLost);
  state.reduce(100, store_restored(outage_ms));
  let effects = state.reduce(100, Event::Servers(vec![Change::Removed("s".into())]));
  (state, effects)
}

#[test]
fn an_entry_that_lapsed_with_the_store_may_come_back() {
  let (mut state, _) = with_missing_entry(4_000);
  let route = route(Repeat::Always, None, 2);
  assert_eq!(
    sent(&state.reduce(200, arrived(1, &route, None))),
    Some("s".into())
  );
  state.reduce(1_600, Event::Servers(vec![Change::Set(spec("s", &[]))]));
  let effects = state.reduce(4_100, arrived(2, &route, None));
  assert_eq!(sent(&effects), Some("s".into()));
  assert!(!effects.contains(&Effect::Expired("s".into())));
}

#[test]
fn an_entry_that_does_not_come_back_is_gone() {
  let (mut state, _) = with_missing_entry(4_000);
  let route = route(Repeat::Always, None, 2);
  let changes = state.changes;
  let effects = state.reduce(2_100, arrived(1, &route, None));
  assert!(
    effects.contains(&Effect::Expired("s".into())),
    "{effects:?}"
  );
  assert_eq!(sent(&effects), None);
  assert!(state.changes > changes, "the planner is not informed");
}

#[test]
fn an_entry_that_goes_without_a_silence_of_the_store_is_gone_at_once() {
  let (mut state, _) = with_missing_entry(500);
  let route = route(Repeat::Always, None, 2);
  assert_eq!(sent(&state.reduce(200, arrived(1, &route, None))), None);
}

#[test]
fn a_server_that_was_leaving_is_gone_at_once_also_after_a_silence() {
  let mut leaving = spec("s", &[]);
  leaving.stage = Stage::Draining;
  let mut state = state(vec![leaving]);
  state.reduce(50, Event::StoreLost);
  state.reduce(100, store_restored(4_000));
  state.reduce(100, Event::Servers(vec![Change::Removed("s".into())]));
  assert!(state.by_id.is_empty());
}

#[test]
fn a_store_that_falls_silent_again_gives_entries_time_anew() {
  let (mut state, _) = with_missing_entry(4_000);
  state.reduce(600, Event::StoreLost);
  let route = route(Repeat::Always, None, 2);
  let effects = state.reduce(2_500, arrived(1, &route, None));
  assert_eq!(sent(&effects), Some("s".into()));
  state.reduce(2_600, store_restored(900));
  let effects = state.reduce(4_500, arrived(2, &route, None));
  assert_eq!(sent(&effects), Some("s".into()));
  let effects = state.reduce(4_600, arrived(3, &route, None));
  assert_eq!(sent(&effects), None);
}

#[test]
fn a_request_whose_time_is_over_says_nothing_of_its_server() {
  let mut state = state(vec![spec("s", &[])]);
  let route = route(Repeat::Never, None, 1);
  assert!(sent(&state.reduce(0, arrived(1, &route, None))).is_some());
  let refusal = refused(&state.reduce(10, ended(1, End::Unsent))).unwrap();
  assert_eq!(refusal.reason, Reason::TooLate);
  assert_eq!(refusal.verdict, Verdict::NotRun);
  assert!(sent(&state.reduce(20, arrived(2, &route, None))).is_some());
}

#[test]
fn a_server_that_is_not_named_among_the_loads_has_none() {
  let route = route(Repeat::Never, None, 1);
  let mut state = state(vec![spec("one", &["m"]), spec("two", &["m"])]);
  let update = |one: u16, two: u16| {
    let loads = [("one", one), ("two", two)];
    let nonzero = loads.into_iter().filter(|(_, load)| *load > 0);
    Event::Updated {
      holdings: Vec::new(),
      group: None,
      loads: Some(nonzero.map(|(id, load)| (short_hash(id), load)).collect()),
      instances: 3,
    }
  };
  state.reduce(1, update(6, 3));
  let effects = state.reduce(2, arrived(1, &route, Some("m")));
  assert_eq!(sent(&effects).as_deref(), Some("two"));
  state.reduce(3, update(0, 3));
  let effects = state.reduce(4, arrived(2, &route, Some("m")));
  assert_eq!(sent(&effects).as_deref(), Some("one"));
}

#[test]
fn a_caller_that_leaves_as_its_request_is_sent_counts_nowhere() {
  let route = route(Repeat::Always, None, 2);
  let mut state = state(vec![spec("s", &["m"])]);
  assert!(sent(&state.reduce(1, arrived(1, &route, Some("m")))).is_some());
  // Its thread has not seen the decision, and nothing was sent.
  state.reduce(2, Event::CallerGone(Ticket(1)));
  assert!(state.running.is_empty(), "{:?}", state.running);
  assert_eq!(state.backends[state.by_id["s"]].running, 0);
}

/// The planner's update that server "s" holds a model; `all`: it covers all holdings.
fn holdings_update(model: &str, all: bool) -> Event {
  Event::Updated {
    holdings: vec![Holding {
      id: "s".into(),
      born: 0,
      models: BTreeMap::from([(model.into(), Vec::new())]),
      leaving: Vec::new(),
      coming: None,
    }],
    group: all.then_some((0, 1)),
    loads: None,
    instances: 3,
  }
}

#[test]
fn a_holdings_update_counts_for_a_server_whose_entry_comes_after_it() {
  let route = route(Repeat::Always, None, 2);
  for all in [false, true] {
    let mut state = state(Vec::new());
    state.reduce(1, holdings_update("m", all));
    state.reduce(2, Event::Servers(vec![Change::Set(spec("s", &[]))]));
    let effects = state.reduce(3, arrived(1, &route, Some("m")));
    assert_eq!(sent(&effects).as_deref(), Some("s"), "all: {all}");
  }
}

#[test]
fn of_two_holdings_updates_for_a_server_without_an_entry_the_newer_counts() {
  let route = route(Repeat::Always, None, 2);
  let mut state = state(Vec::new());
  state.reduce(1, holdings_update("old", false));
  state.reduce(2, holdings_update("new", true));
  state.reduce(3, Event::Servers(vec![Change::Set(spec("s", &[]))]));
  assert_eq!(
    sent(&state.reduce(4, arrived(1, &route, Some("old")))),
    None
  );
  assert!(sent(&state.reduce(5, arrived(2, &route, Some("new")))).is_some());
}

#[test]
fn a_call_that_fails_once_gives_missing_entries_no_time_anew() {
  let (mut state, _) = with_missing_entry(4_000);
  state.reduce(1_900, Event::StoreLost);
  state.reduce(2_000, store_restored(100));
  let route = route(Repeat::Always, None, 2);
  let effects = state.reduce(2_200, arrived(1, &route, None));
  assert_eq!(sent(&effects), None, "missing for two seconds");
}

// Another server responded at its address. The stage that the server states is kept separately,
// because the holder publishes a statement only where it differs from the previous one.
#[test]
fn a_server_that_was_found_replaced_gets_nothing_and_states_what_it_stated() {
  let route = route(Repeat::Always, None, 2);
  let mut state = state(vec![spec("s", &["m"])]);
  assert!(sent(&state.reduce(1, arrived(1, &route, Some("m")))).is_some());
  let end = End::Replaced;
  let ticket = Ticket(1);
  state.reduce(2, Event::Ended { ticket, end });
  assert_eq!(state.backends[state.by_id["s"]].spec.stage, Stage::Ready);
  assert_eq!(sent(&state.reduce(3, arrived(2, &route, Some("m")))), None);
}

// Only a change of its entry ended that, and an entry that stays as it is is not sent again: a server that
// was still there got nothing more.
#[test]
fn a_server_that_was_found_replaced_gets_requests_again_without_a_new_entry() {
  let route = route(Repeat::Always, None, 2);
  let mut state = state(vec![spec("s", &[])]);
  let key = state.by_id["s"];
  let arrives = |now, ticket| match arrived(ticket, &route, None) {
    Event::Arrived(descriptor) => Event::Arrived(Descriptor {
      deadline: now + 1_000,
      ..descriptor
    }),
    event => event,
  };
  let mut now = 1;
  for ticket in [1, 3, 5] {
    assert!(sent(&state.reduce(now, arrives(now, ticket))).is_some());
    state.reduce(now, ended(ticket, End::Replaced));
    let stage = state.backends[key].effective_spec().stage;
    assert_eq!(stage, Stage::Draining);
    now += 4_999;
    let effects = state.reduce(now, arrives(now, ticket + 1));
    assert_eq!(sent(&effects), None, "another server may have the address");
    now += 1;
    let changes = state.changes;
    let effects = state.reduce(now, Event::Recheck(Ticket(ticket + 1)));
    assert!(sent(&effects).is_some(), "it is tried again");
    let stage = state.backends[key].effective_spec().stage;
    assert_eq!(stage, Stage::Ready);
    assert!(state.changes > changes, "the planner reads it again");
    state.reduce(now, ended(ticket + 1, End::Whole));
  }
}

// The last failed call of this instance was 900 ms before it learned of the recovery, and the store
// responded to another instance 300 ms before it: missing entries have two seconds from that
// response to return.
#[test]
fn the_time_of_missing_entries_begins_with_the_first_answer_to_anybody() {
  let mut state = state(vec![spec("s", &[])]);
  state.reduce(50, Event::StoreLost);
  let outage = outage(4_000, 300, 900);
  state.reduce(1_000, Event::StoreBack(outage));
  state.reduce(1_000, Event::Servers(vec![Change::Removed("s".into())]));
  let route = route(Repeat::Always, None, 2);
  let effects = state.reduce(2_600, arrived(1, &route, None));
  assert_eq!(sent(&effects), Some("s".into()));
  let effects = state.reduce(2_700, arrived(2, &route, None));
  assert_eq!(sent(&effects), None);
}

// The store may have recovered long before this instance notices, since a call without a response
// takes seconds. A departure must not be treated as an entry lost in the outage once this instance
// counts as connected to the store.
#[test]
fn missing_entries_are_not_kept_once_calls_have_passed_for_long() {
  let mut state = state(vec![spec("s", &[])]);
  state.reduce(50, Event::StoreLost);
  let outage = outage(4_000, 0, 2_500);
  state.reduce(2_000, Event::StoreBack(outage));
  state.reduce(2_000, Event::Servers(vec![Change::Removed("s".into())]));
  let route = route(Repeat::Always, None, 2);
  let effects = state.reduce(2_200, arrived(1, &route, None));
  assert_eq!(sent(&effects), Some("s".into()));
  let effects = state.reduce(2_500, arrived(2, &route, None));
  assert_eq!(sent(&effects), None);
}

#[test]
fn an_entry_that_is_removed_after_the_store_was_back_is_a_departure() {
  let mut state = state(vec![spec("s", &[]), spec("t", &[])]);
  state.reduce(50, Event::StoreLost);
  state.reduce(100, store_restored(4_000));
  state.reduce(100, Event::Servers(vec![Change::Removed("s".into())]));
  state.reduce(100, Event::StoreCurrent);
  assert!(state.by_id.contains_key("s"), "its entry may return");
  let effects = state.reduce(300, Event::Servers(vec![Change::Removed("t".into())]));
  assert!(
    effects.contains(&Effect::Removed("t".into())),
    "{effects:?}"
  );
  assert!(!state.by_id.contains_key("t"));
}

// The list is read again while the entry is still missing.
#[test]
fn an_entry_that_is_still_missing_keeps_its_time() {
  let (mut state, _) = with_missing_entry(4_000);
  state.reduce(100, Event::StoreCurrent);
  state.reduce(500, Event::Servers(vec![Change::All(Vec::new())]));
  let route = route(Repeat::Always, None, 2);
  let effects = state.reduce(2_000, arrived(1, &route, None));
  assert_eq!(sent(&effects), Some("s".into()));
  let effects = state.reduce(2_100, arrived(2, &route, None));
  assert_eq!(sent(&effects), None);
}

#[test]
fn an_entry_that_is_back_as_its_time_ends_is_kept() {
  let (mut state, _) = with_missing_entry(4_000);
  let effects = state.reduce(2_200, Event::Servers(vec![Change::Set(spec("s", &[]))]));
  assert!(
    !effects.contains(&Effect::Expired("s".into())),
    "{effects:?}"
  );
  let route = route(Repeat::Always, None, 2);
  let effects = state.reduce(2_300, arrived(1, &route, None));
  assert_eq!(sent(&effects), Some("s".into()));
}
