//! Statements of servers about themselves, in the reducer for routed requests.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::{Holding, Spec, Stage},
  deployment::Engine,
  dispatch::{Attempt, Change, Descriptor, Effect, End, Event, State},
  http::Headers,
  life::Life,
  refusal::Reason,
  request::Ticket,
  route::Repeat,
  statement::{Content, Hints, Recorded, Statement, recorded},
  verdict::Verdict,
};
use quickcheck::quickcheck;
use serde_json::json;
use std::sync::Arc;

fn servers(ids: &[&str]) -> State {
  let mut state = requests::deployed(Engine::default());
  let specs = ids.iter().map(|id| requests::spec(id));
  state.reduce(0, Event::Servers(vec![Change::All(specs.collect())]));
  state
}

fn arrived(ticket: u64) -> Event {
  arrived_until(ticket, 5_000)
}

/// A request with a deadline, ms.
fn arrived_until(ticket: u64, deadline_ms: u64) -> Event {
  Event::Arrived(Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: Arc::new(requests::route(Repeat::Always, None, 3)),
    pool: "pool".into(),
    model: None,
    affinity: 0,
    deadline: deadline_ms,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
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

/// Whether the next request is sent to the only server.
fn receives_request(state: &mut State, now: u64) -> bool {
  let ticket = now + 1;
  let attempt = sent(&state.reduce(now, arrived_until(ticket, now + 5_000)));
  state.reduce(now, Event::CallerGone(Ticket(ticket)));
  attempt.is_some()
}

fn set(spec: Spec) -> Event {
  Event::Servers(vec![Change::Set(spec)])
}

#[test]
fn that_a_server_leaves_stands_whatever_its_entry_says() {
  let mut state = servers(&["s"]);
  assert!(receives_request(&mut state, 10));
  let effects = state.reduce(20, Event::Leaving(life("s")));
  assert_eq!(
    effects,
    [Effect::Leaving {
      id: "s".into(),
      own: true
    }]
  );
  assert!(!receives_request(&mut state, 30));
  let ready = requests::spec("s");
  for (now, event) in [
    (40, set(ready.clone())),
    (50, Event::Servers(vec![Change::All(vec![ready.clone()])])),
    (60, Event::Servers(vec![Change::Removed("s".into())])),
    (70, set(ready.clone())),
    (80, Event::Servers(vec![Change::Invalid("s".into())])),
    (90, set(ready)),
  ] {
    state.reduce(now, event);
    assert!(!receives_request(&mut state, now), "at {now} ms");
  }
  let holding = Holding {
    id: "s".into(),
    ..Holding::default()
  };
  let updated = Event::Updated {
    holdings: vec![holding],
    group: Some((0, 1)),
    loads: None,
    instances: 3,
  };
  state.reduce(100, updated);
  assert!(!receives_request(&mut state, 100));
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
  assert!(!receives_request(&mut state, 20));
  state.reduce(30, set(born(6)));
  assert!(receives_request(&mut state, 40));
  // An entry of an earlier life of the server changes nothing.
  state.reduce(50, set(born(5)));
  assert!(receives_request(&mut state, 60));
}

#[test]
fn a_request_that_was_decided_before_is_not_sent() {
  let mut state = servers(&["s"]);
  let attempt = sent(&state.reduce(10, arrived(1))).expect("a send");
  assert_eq!(state.abort_reason(&attempt), None);
  state.reduce(11, Event::Leaving(life("s")));
  assert_eq!(state.abort_reason(&attempt), Some(End::Leaving));
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
  let key = state.by_id["s"];
  assert_eq!(state.backends[key].effective_spec().stage, Stage::Draining);
  assert_eq!(state.take_statements(), [(life("s"), true)]);
  assert_eq!(state.take_statements(), []);
  let statement = Statement {
    server: life("s"),
    content: Content::Leaving,
    age_ms: 90,
  };
  assert_eq!(state.all_statements(100), [statement]);
  let mut other = servers(&["s"]);
  other.reduce(5_000, Event::Statements(vec![statement]));
  assert!(!receives_request(&mut other, 5_001));
  assert_eq!(other.take_statements(), [(life("s"), false)]);
}

fn hints(name: &str, value: &str, status: u16) -> Hints {
  let mut headers = Headers::default();
  headers.set(name, value);
  Hints::from_head(status, &headers, &bendsaddle::dialect::Dialect::DEFAULT)
}

#[test]
fn any_answer_of_the_server_that_was_meant_says_that_it_leaves() {
  for status in [200, 202, 409, 500, 503] {
    assert_eq!(
      hints("x-server-leaving", "1", status).is_leaving(),
      Ok(true)
    );
  }
  assert_eq!(hints("x-server-leaving", "1", 421).is_leaving(), Ok(false));
  assert_eq!(hints("x-other", "1", 200).is_leaving(), Ok(false));
  let invalid = hints("x-server-leaving", "yes", 200).is_leaving();
  assert_eq!(invalid, Err("leaving: `yes` is not 1".into()));
}

quickcheck! {
  /// A leaving server gets no requests, in whatever order its entries arrive.
  fn no_history_of_entries_brings_it_back(changes: Vec<u8>) -> bool {
    let mut state = servers(&["s"]);
    state.reduce(1, Event::Leaving(life("s")));
    changes.into_iter().zip(2..).all(|(change, now)| {
      let change = match change % 5 {
        0 => Change::Set(requests::spec("s")),
        1 => Change::All(vec![requests::spec("s")]),
        2 => Change::All(Vec::new()),
        3 => Change::Removed("s".into()),
        _ => Change::Invalid("s".into()),
      };
      state.reduce(now, Event::Servers(vec![change]));
      !receives_request(&mut state, now)
    })
  }
}

fn backoff(id: &str, delay_ms: u64) -> Event {
  let server = life(id);
  Event::Backoff {
    server,
    backoff_ms: delay_ms,
  }
}

fn ended(ticket: u64, end: End) -> Event {
  let ticket = Ticket(ticket);
  Event::Ended { ticket, end }
}

#[test]
fn a_server_that_rests_gets_nothing_until_the_rest_is_over() {
  let mut state = servers(&["s"]);
  state.reduce(10, backoff("s", 3_000));
  // A repeated or shorter backoff does not end the current one sooner.
  state.reduce(20, backoff("s", 100));
  for now in [11, 1_000, 3_009] {
    assert!(!receives_request(&mut state, now), "at {now} ms");
  }
  assert!(receives_request(&mut state, 3_010));
}

#[test]
fn one_that_was_decided_before_the_rest_goes_elsewhere_and_is_no_repeat() {
  let mut state = servers(&["s", "t"]);
  let attempt = sent(&state.reduce(10, arrived(1))).expect("a send");
  state.reduce(11, backoff(&attempt.id, 3_000));
  assert_eq!(state.abort_reason(&attempt), Some(End::Resting));
  assert!(!End::Resting.may_have_reached_server());
  let other = sent(&state.reduce(12, ended(1, End::Resting))).expect("a send");
  assert_ne!(other.id, attempt.id);
}

#[test]
fn a_request_that_was_turned_away_does_not_come_back_in_the_rest() {
  let mut state = servers(&["s", "t"]);
  let first = sent(&state.reduce(10, arrived(1))).expect("a send");
  state.reduce(11, backoff(&first.id, 6_000));
  let second = sent(&state.reduce(11, ended(1, End::Full))).expect("a send");
  assert_ne!(second.id, first.id);
  state.reduce(12, backoff(&second.id, 5_500));
  let refused = requests::refused(&state.reduce(12, ended(1, End::Full)));
  let refused = refused.expect("a refusal");
  assert_eq!(refused.reason, Reason::ServerRest);
  assert_eq!(refused.verdict, Verdict::NotRun);
  // The time until the first backoff ends.
  let after = refused.retry_after.expect("a time");
  assert!((5_500..=5_700).contains(&after), "{after} ms");
}

/// Guards against callers invited back into a server's backoff.
#[test]
fn a_refusal_without_retry_budget_names_the_end_of_the_backoff() {
  let mut state = servers(&["s"]);
  state.retry_bound.ratio = 0.0;
  state.retry_bound.slack = 0.0;
  state.reduce(10, arrived(1));
  state.reduce(11, backoff("s", 4_000));
  let refused = requests::refused(&state.reduce(11, ended(1, End::Full)));
  let refused = refused.expect("a refusal");
  assert_eq!(refused.reason, Reason::ServerRest);
  let after = refused.retry_after.expect("a time");
  assert!((4_000..=4_200).contains(&after), "{after} ms");
}

#[test]
fn where_the_rest_ends_in_time_a_request_waits_for_it() {
  let mut state = servers(&["s"]);
  state.reduce(10, backoff("s", 1_000));
  let effects = state.reduce(20, arrived(1));
  assert!(matches!(effects[..], [Effect::Wait(..)]), "{effects:?}");
  assert_eq!(sent(&state.reduce(1_000, Event::Recheck(Ticket(1)))), None);
  assert!(sent(&state.reduce(1_010, Event::Recheck(Ticket(1)))).is_some());
}

#[test]
fn after_a_rest_two_requests_try_the_server_out_before_the_others() {
  let mut state = servers(&["s"]);
  state.reduce(10, backoff("s", 1_000));
  for ticket in 1..=20 {
    state.reduce(20, arrived(ticket));
  }
  let recheck_all = |state: &mut State, now| -> Vec<Attempt> {
    let rechecks = (1..=20).map(|ticket| state.reduce(now, Event::Recheck(Ticket(ticket))));
    rechecks.filter_map(|effects| sent(&effects)).collect()
  };
  let first = recheck_all(&mut state, 1_010);
  assert_eq!(first.len(), 2);
  assert!(first.iter().all(|attempt| attempt.trial));
  assert_eq!(recheck_all(&mut state, 1_100).len(), 0);
  // Both trial requests are rejected, so no other request is sent.
  state.reduce(1_110, backoff("s", 500));
  assert_eq!(recheck_all(&mut state, 1_600).len(), 0);
  assert_eq!(recheck_all(&mut state, 1_610).len(), 2);
  // One of the next two trial requests is accepted, so all others are sent.
  let effects = state.reduce(1_650, Event::TrialAccepted(life("s")));
  let sends = effects.iter();
  let sends = sends.filter(|effect| matches!(effect, Effect::Send(attempt) if !attempt.trial));
  assert_eq!(sends.count(), 16);
}

#[test]
fn a_server_that_turns_nobody_away_for_a_while_is_used_again() {
  let mut state = servers(&["s"]);
  state.reduce(10, backoff("s", 500));
  for ticket in 1..=4 {
    state.reduce(600, arrived(ticket));
  }
  let attempt = sent(&state.reduce(901, arrived(5))).expect("a send");
  assert!(!attempt.trial);
}

#[test]
fn the_next_life_of_a_server_wants_no_rest() {
  let born = |born| Spec {
    born,
    ..requests::spec("s")
  };
  let mut state = requests::deployed(Engine::default());
  state.reduce(0, Event::Servers(vec![Change::All(vec![born(5)])]));
  let server = Life::of("s", 5);
  let delay_ms = u64::MAX;
  state.reduce(
    10,
    Event::Backoff {
      server,
      backoff_ms: delay_ms,
    },
  );
  assert!(!receives_request(&mut state, 1_000_000));
  assert_eq!(state.servers_backing_off(1_000_000), [server]);
  state.reduce(1_000_010, set(born(6)));
  assert!(receives_request(&mut state, 1_000_020));
}

/// Unix time of the tests' clock at 0, ms.
const UNIX_MS: u64 = 1_700_000_000_000;

/// A server whose entry still names the life that began at 5 ms, of which nothing was stated.
fn server_with_a_late_entry() -> State {
  let mut state = requests::deployed(Engine::default());
  state.wall.observe(0, UNIX_MS);
  let spec = Spec {
    born: UNIX_MS + 5,
    ..requests::spec("s")
  };
  state.reduce(10, Event::Servers(vec![Change::All(vec![spec])]));
  state
}

/// The entry of the life that began at `at`, ms, arrives.
fn restarted(state: &mut State, now: u64, at: u64) {
  state.wall.observe(now, UNIX_MS + now);
  let spec = Spec {
    born: UNIX_MS + at,
    ..requests::spec("s")
  };
  state.reduce(now, set(spec));
}

fn requests_backoff(state: &mut State, now: u64, backoff_ms: u64) {
  let server = Life::of("s", UNIX_MS + 5);
  state.reduce(now, Event::Backoff { server, backoff_ms });
}

// Guards against a backoff that ends when the entry of the life that requested it arrives late.
#[test]
fn a_backoff_that_was_requested_before_the_entry_of_its_life_stands() {
  let mut state = server_with_a_late_entry();
  requests_backoff(&mut state, 1_100, 2_000);
  restarted(&mut state, 1_500, 1_000);
  assert!(!receives_request(&mut state, 3_000));
  assert!(receives_request(&mut state, 3_200));
}

// Guards against a new life that inherits the backoff of the earlier life, beside one of its own.
#[test]
fn of_two_backoffs_a_new_life_keeps_the_one_that_it_requested_itself() {
  let mut state = server_with_a_late_entry();
  requests_backoff(&mut state, 900, 60_000);
  requests_backoff(&mut state, 1_100, 2_000);
  restarted(&mut state, 1_500, 1_000);
  assert!(!receives_request(&mut state, 3_000));
  assert!(receives_request(&mut state, 3_200));
}

// Guards against a server that leaves and gets requests because its entry arrives after it said so.
#[test]
fn a_server_that_leaves_before_the_entry_of_its_life_gets_nothing_more() {
  let mut state = server_with_a_late_entry();
  state.reduce(1_100, Event::Leaving(Life::of("s", UNIX_MS + 5)));
  restarted(&mut state, 1_500, 1_000);
  assert!(!receives_request(&mut state, 2_000));
}

// Guards against a new life that is taken for leaving because the earlier life left.
#[test]
fn the_next_life_of_a_server_that_left_is_used() {
  let mut state = server_with_a_late_entry();
  state.reduce(900, Event::Leaving(Life::of("s", UNIX_MS + 5)));
  restarted(&mut state, 1_500, 1_000);
  assert!(receives_request(&mut state, 2_000));
}

// Guards against a limit that ends when the entry of the life that stated it arrives late.
#[test]
fn a_limit_that_was_stated_before_the_entry_of_its_life_stands() {
  let mut state = server_with_a_late_entry();
  let statement = |age_ms| Statement {
    server: Life::of("s", UNIX_MS + 5),
    content: Content::Limit(Some(1.0)),
    age_ms,
  };
  state.reduce(1_200, Event::Statements(vec![statement(100)]));
  restarted(&mut state, 1_500, 1_000);
  let life = Life::of("s", UNIX_MS + 1_000);
  assert_eq!(state.limits().rate(life), Some(1.0));
}

// Guards against statements of the earlier life that a machine with a clock that was set wrong takes
// for those of the next one.
#[test]
fn a_machine_whose_clock_was_set_assigns_nothing_to_the_next_life() {
  let mut state = server_with_a_late_entry();
  state.wall.observe(900, UNIX_MS + 900 + 3_000);
  state.reduce(900, Event::Leaving(Life::of("s", UNIX_MS + 5)));
  restarted(&mut state, 1_500, 1_000);
  assert!(receives_request(&mut state, 2_000));
}

#[test]
fn how_long_a_server_rests_is_read_as_seconds() {
  let backoff = |text: &str, status| hints("retry-after", text, status).backoff_ms();
  assert_eq!(backoff("3", 503), Ok(Some(3_000)));
  assert_eq!(backoff(" 0.25 ", 503), Ok(Some(250)));
  assert_eq!(backoff("0", 503), Ok(None));
  assert_eq!(backoff("1e300", 503), Ok(Some(u64::MAX)));
  assert_eq!(backoff("3", 200), Ok(None));
  assert_eq!(backoff("3", 421), Ok(None));
  assert_eq!(hints("x-other", "3", 503).backoff_ms(), Ok(None));
  for text in [
    "",
    "-1",
    "NaN",
    "inf",
    "3 s",
    "Wed, 21 Oct 2026 07:28:00 GMT",
  ] {
    let error = format!("retry-after: `{text}` is not seconds");
    assert_eq!(backoff(text, 503), Err(error));
  }
}

quickcheck! {
  /// No request is sent during a backoff, whatever the responses.
  fn no_request_is_sent_in_a_rest(steps: Vec<(u8, u16)>) -> bool {
    let mut state = servers(&["s"]);
    let (mut now, mut backoff_end) = (0, 0);
    steps.into_iter().all(|(step, ms)| {
      now += u64::from(ms % 400);
      match step % 4 {
        0 => {
          backoff_end = backoff_end.max(now + u64::from(ms));
          state.reduce(now, backoff("s", ms.into()));
        }
        1 => {
          state.reduce(now, Event::TrialAccepted(life("s")));
        }
        2 => {
          state.reduce(now, set(requests::spec("s")));
        }
        _ => return !receives_request(&mut state, now) || now >= backoff_end,
      }
      true
    })
  }
}

fn brittle(id: &str, max: Option<u32>, age_ms: u32) -> Event {
  Event::Statements(vec![Statement {
    server: life(id),
    content: Content::Brittle(max),
    age_ms,
  }])
}

/// The brittle servers that became known or unknown by an event.
fn brittle_changes(state: &mut State, now: u64, event: Event) -> Vec<(String, Option<u32>)> {
  let effects = state.reduce(now, event).into_iter();
  effects
    .filter_map(|effect| match effect {
      Effect::BrittleChanged {
        id, max_rejections, ..
      } => Some((id, max_rejections)),
      _ => None,
    })
    .collect()
}

/// Guards against brittle servers that are known to nobody after a loss of all instances.
#[test]
fn a_brittle_server_in_the_leases_record_is_known_to_an_instance_that_starts() {
  let mut state = servers(&["a", "b", "c", "d", "e", "f"]);
  for id in ["a", "b", "c", "d", "e", "f"] {
    state.reduce(100_000, brittle(id, Some(2), 0));
  }
  let mut record = json!({});
  recorded::add(&mut record, &state.recorded_statements());
  let read = recorded::read(&record);
  assert_eq!(read.len(), 4, "the others of the pool count as brittle too");
  let event = Event::RecordedStatements(read.clone());
  let mut young = servers(&["a", "b", "c", "d", "e", "f"]);
  let changes = brittle_changes(&mut young, 50, event);
  assert_eq!(changes.len(), 4);
  assert!(changes.iter().all(|(_, max)| *max == Some(2)));
  assert_eq!(young.recorded_statements(), read);
}

/// Guards against a statement that ended and comes back from a record.
#[test]
fn whatever_else_is_known_of_a_brittle_server_is_newer_than_a_record() {
  let recorded = || {
    Event::RecordedStatements(vec![Recorded {
      server: life("s"),
      content: Content::Brittle(Some(2)),
    }])
  };
  let ended = [("s".to_string(), None)];
  let mut state = servers(&["s"]);
  state.reduce(100_000, brittle("s", Some(2), 0));
  assert_eq!(
    brittle_changes(&mut state, 100_001, brittle("s", None, 0)),
    ended
  );
  assert_eq!(brittle_changes(&mut state, 100_002, recorded()), []);
  let mut state = servers(&["s"]);
  assert_eq!(brittle_changes(&mut state, 100_000, recorded()).len(), 1);
  assert_eq!(
    brittle_changes(&mut state, 100_001, brittle("s", None, 9_000)),
    ended
  );
}
