//! Reducer of routed requests: streams that have begun and whose server sends nothing for a while.

mod requests;

use bendsaddle::{
  backend::Spec,
  deployment::Engine,
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  refusal::Reason,
  request::Ticket,
  retry::Bound,
  route::{Repeat, Stream},
};
use requests::{refused, spec};
use std::sync::Arc;

/// The only request.
const TICKET: Ticket = Ticket(1);
/// When it arrives, in ms: long after the start of the process.
const ARRIVED_AT: u64 = 60_000;
/// Its deadline, in ms.
const DEADLINE_MS: u64 = ARRIVED_AT + 5_000;
/// When its stream stalls, in ms.
const STALLED_AT: u64 = ARRIVED_AT + 1_300;

/// A stream that runs at server `one` and has begun, beside these further servers.
fn begun(others: &[&str], attempts: u32) -> State {
  let mut state = running_at_one(others, attempts);
  state.reduce(ARRIVED_AT + 102, Event::ResponseStarted(TICKET));
  state
}

/// A request for a stream that runs at server `one`, beside these further servers.
fn running_at_one(others: &[&str], attempts: u32) -> State {
  let mut state = requests::deployed(Engine::default());
  let servers = vec![Change::All(vec![spec("one")])];
  state.reduce(ARRIVED_AT - 1, Event::Servers(servers));
  let stream = Stream {
    resumable: true,
    gap_ms: 300,
  };
  let descriptor = Descriptor {
    ticket: TICKET,
    id: "1".into(),
    route: Arc::new(requests::route(Repeat::Never, Some(stream), attempts)),
    pool: "pool".into(),
    model: None,
    affinity: 0,
    deadline: DEADLINE_MS,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  };
  assert_eq!(
    sent(&state.reduce(ARRIVED_AT, Event::Arrived(descriptor))),
    Some("one".into())
  );
  let others: Vec<Change> = others.iter().map(|id| Change::Set(spec(id))).collect();
  state.reduce(ARRIVED_AT + 101, Event::Servers(others));
  state
}

fn sent(effects: &[Effect]) -> Option<String> {
  effects.iter().find_map(|effect| match effect {
    Effect::Send(attempt) => Some(attempt.id.clone()),
    _ => None,
  })
}

fn ended(end: End) -> Event {
  Event::Ended {
    ticket: TICKET,
    end,
  }
}

fn running(state: &State, id: &str) -> u32 {
  state.backends[state.by_id[id]].running
}

// A stream was given up for a place that did not exist.
#[test]
fn a_stalled_stream_without_another_server_waits_for_its_own() {
  let mut state = begun(&[], 3);
  for (at, event) in [
    (STALLED_AT, ended(End::Stalled)),
    (STALLED_AT + 100, Event::Recheck(TICKET)),
    (DEADLINE_MS - 1, Event::Recheck(TICKET)),
  ] {
    let effects = state.reduce(at, event);
    assert_eq!(refused(&effects), None, "at {at}");
  }
  assert_eq!(running(&state, "one"), 1);
  state.reduce(DEADLINE_MS - 1, Event::Continued(TICKET));
  state.reduce(DEADLINE_MS - 1, ended(End::Whole));
  assert_eq!(running(&state, "one"), 0);
}

// Without a deadline of its own the wait for a silent server would not end.
#[test]
fn a_stalled_stream_ends_at_its_deadline() {
  let mut state = begun(&[], 3);
  state.reduce(STALLED_AT, ended(End::Stalled));
  let refusal = refused(&state.reduce(DEADLINE_MS, Event::Recheck(TICKET)));
  assert_eq!(refusal.unwrap().reason, Reason::TooLate);
  assert_eq!(running(&state, "one"), 0);
}

// Only the first event of the other server ends the first run, and its place is free again.
#[test]
fn a_stalled_run_ends_when_another_server_continues() {
  let mut state = begun(&["two"], 3);
  let effects = state.reduce(STALLED_AT, ended(End::Stalled));
  assert_eq!(sent(&effects), Some("two".into()));
  assert_eq!(running(&state, "one"), 1);
  state.reduce(STALLED_AT + 50, Event::Resumed(TICKET));
  assert_eq!((running(&state, "one"), running(&state, "two")), (0, 1));
  state.reduce(STALLED_AT + 60, ended(End::Whole));
  assert_eq!(running(&state, "two"), 0);
}

// Whatever becomes of the second send, the first run still stands.
#[test]
fn a_second_send_that_fails_leaves_the_stalled_run() {
  for end in [
    End::Full,
    End::Missing,
    End::Unreached,
    End::Broken,
    End::Leaving,
  ] {
    let mut state = begun(&["two"], 3);
    state.reduce(STALLED_AT, ended(End::Stalled));
    let effects = state.reduce(STALLED_AT + 10, ended(end));
    assert_eq!((sent(&effects), refused(&effects)), (None, None), "{end:?}");
    assert_eq!(running(&state, "one"), 1, "{end:?}");
    state.reduce(STALLED_AT + 20, Event::Continued(TICKET));
    state.reduce(STALLED_AT + 30, ended(End::Whole));
    assert_eq!(
      (running(&state, "one"), running(&state, "two")),
      (0, 0),
      "{end:?}"
    );
  }
}

// A send that the first server overtakes must neither count as running nor be decided again.
#[test]
fn a_stalled_run_that_continues_first_supersedes_the_second_send() {
  let mut state = begun(&["two"], 3);
  state.reduce(STALLED_AT, ended(End::Stalled));
  let effects = state.reduce(STALLED_AT + 10, ended(End::Superseded));
  assert_eq!((sent(&effects), refused(&effects)), (None, None));
  assert_eq!((running(&state, "one"), running(&state, "two")), (1, 0));
  state.reduce(STALLED_AT + 20, ended(End::Whole));
  assert_eq!(running(&state, "one"), 0);
}

// A send that is withdrawn before it begins is no attempt of the route.
#[test]
fn a_withdrawn_send_counts_as_no_attempt() {
  let mut state = begun(&["two"], 3);
  for round in 0..4 {
    let at = STALLED_AT + round * 200;
    assert_eq!(
      sent(&state.reduce(at, ended(End::Stalled))),
      Some("two".into())
    );
    state.reduce(at + 10, ended(End::Withdrawn));
  }
  assert_eq!((running(&state, "one"), running(&state, "two")), (1, 0));
}

// A send that was decided and that no thread has begun when the first server continues.
#[test]
fn a_send_that_has_not_begun_is_cancelled_when_the_stalled_run_continues() {
  let mut state = begun(&["two"], 3);
  state.reduce(STALLED_AT, ended(End::Stalled));
  state.reduce(STALLED_AT + 1, Event::Continued(TICKET));
  assert_eq!((running(&state, "one"), running(&state, "two")), (1, 0));
}

// The wait of a stream whose stalled run is lost was counted from the start of the process, and over.
#[test]
fn a_stream_whose_stalled_run_is_lost_waits_for_another_server() {
  for end in [End::Full, End::Missing, End::Unreached] {
    let mut state = begun(&["two"], 3);
    state.reduce(STALLED_AT, ended(End::Stalled));
    state.reduce(STALLED_AT + 10, Event::StalledRunLost(TICKET));
    let effects = state.reduce(STALLED_AT + 20, ended(end));
    assert_eq!(refused(&effects), None, "{end:?}");
    let effects = state.reduce(STALLED_AT + 1_000, Event::Recheck(TICKET));
    assert_eq!(refused(&effects), None, "{end:?}");
  }
}

// A caller that leaves must free both servers.
#[test]
fn a_caller_that_leaves_ends_the_stalled_run_too() {
  let mut state = begun(&["two"], 3);
  state.reduce(STALLED_AT, ended(End::Stalled));
  state.reduce(STALLED_AT + 10, ended(End::Left));
  assert_eq!((running(&state, "one"), running(&state, "two")), (0, 0));
  let mut state = begun(&[], 3);
  state.reduce(STALLED_AT, ended(End::Stalled));
  state.reduce(STALLED_AT + 10, Event::CallerGone(TICKET));
  assert_eq!(running(&state, "one"), 0);
}

/// Silence after which the last attempt may be used: two further gaps.
const LAST_ATTEMPT_MS: u64 = 600;

// The stalled run counts as one of the route's attempts.
#[test]
fn a_stalled_stream_runs_on_no_more_servers_than_its_route_allows() {
  let mut state = begun(&["two", "three"], 2);
  let effects = state.reduce(STALLED_AT, ended(End::Stalled));
  assert_eq!(sent(&effects), None, "the last attempt is for a break");
  let at = STALLED_AT + LAST_ATTEMPT_MS;
  assert!(sent(&state.reduce(at, Event::Recheck(TICKET))).is_some());
  for (at, event) in [
    (at + 10, ended(End::Broken)),
    (at + 1_000, Event::Recheck(TICKET)),
  ] {
    let effects = state.reduce(at, event);
    assert_eq!((sent(&effects), refused(&effects)), (None, None));
  }
  let mut state = begun(&["two"], 1);
  state.reduce(STALLED_AT, ended(End::Stalled));
  let effects = state.reduce(STALLED_AT + 1_000, Event::Recheck(TICKET));
  assert_eq!((sent(&effects), refused(&effects)), (None, None));
  // It must not be loaded for, nor have others refused for want of room.
  assert!(state.waiting.is_empty());
}

// A slow server whose stream stalls again and again used up the attempts that its end needs.
#[test]
fn a_stream_that_has_stalled_twice_is_retried_when_it_breaks_off() {
  let mut state = begun(&["two", "three"], 3);
  for at in [STALLED_AT, STALLED_AT + 400] {
    if sent(&state.reduce(at, ended(End::Stalled))).is_some() {
      state.reduce(at + 10, ended(End::Superseded));
    } else {
      state.reduce(at + 10, Event::Continued(TICKET));
    }
  }
  let effects = state.reduce(STALLED_AT + 500, ended(End::Broken));
  assert!(sent(&effects).is_some(), "{effects:?}");
}

// Servers that decline were asked again at once, until no send was left for one that has room later.
#[test]
fn servers_that_decline_a_stalled_stream_are_asked_again_later() {
  let mut state = begun(&["two"], 3);
  // Each send is a retry that the budget must allow.
  state.retry_bound.slack *= 10.0;
  state.reduce(STALLED_AT, ended(End::Stalled));
  for round in 0..10 {
    let at = STALLED_AT + 10 + round * 100;
    let effects = state.reduce(at, ended(End::Full));
    assert_eq!(sent(&effects), None, "at once in round {round}");
    let effects = state.reduce(at + 100, Event::Recheck(TICKET));
    assert_eq!(sent(&effects), Some("two".into()), "round {round}");
  }
}

// A key that is revoked leads to no further sends, and ends no run that has begun.
#[test]
fn a_stalled_stream_whose_key_is_revoked_is_sent_nowhere_else() {
  let mut state = begun(&["two"], 3);
  state.reduce(STALLED_AT, ended(End::Stalled));
  state.reduce(STALLED_AT + 10, ended(End::Barred));
  let effects = state.reduce(STALLED_AT + 1_000, Event::Recheck(TICKET));
  assert_eq!((sent(&effects), refused(&effects)), (None, None));
}

// Silence is no failure: a server that goes on must not be avoided longer at each pause.
#[test]
fn a_server_that_continues_is_not_avoided_longer_each_time() {
  let mut state = begun(&[], 3);
  for at in (0..6).map(|round| STALLED_AT + round * 300) {
    state.reduce(at, ended(End::Stalled));
    state.reduce(at + 100, Event::Continued(TICKET));
  }
  assert_eq!(state.backends[state.by_id["one"]].failures, 0);
}

// A second run is a retry: without budget the stream waits for its server, and is not cut.
#[test]
fn a_stalled_stream_without_retry_budget_waits_for_its_server() {
  let mut state = begun(&["two"], 3);
  state.retry_bound = Bound {
    ratio: 0.0,
    slack: 0.0,
    window_ms: 10_000,
  };
  let effects = state.reduce(STALLED_AT, ended(End::Stalled));
  assert_eq!((sent(&effects), refused(&effects)), (None, None));
  state.retry_bound = requests::BOUND;
  let effects = state.reduce(STALLED_AT + 100, Event::Recheck(TICKET));
  assert_eq!(sent(&effects), Some("two".into()));
}

// A run without a response was given up though no other server could take the request.
#[test]
fn a_silent_run_is_replaced_only_where_another_server_can_take_it() {
  let at = STALLED_AT;
  assert!(begun(&["two"], 3).may_replace_run(at, TICKET));
  assert!(
    !begun(&[], 3).may_replace_run(at, TICKET),
    "no other server"
  );
  assert!(
    !begun(&["two"], 1).may_replace_run(at, TICKET),
    "last attempt"
  );
  let mut state = begun(&["two"], 3);
  state.retry_bound.slack = 0.0;
  state.retry_bound.ratio = 0.0;
  assert!(!state.may_replace_run(at, TICKET), "no retry budget");
}

// The caller of a request without any response can send it again, and was kept waiting instead.
#[test]
fn a_silent_run_without_a_response_ends_where_another_server_is_free() {
  for attempts in [1, 3] {
    assert!(running_at_one(&["two"], attempts).may_replace_run(STALLED_AT, TICKET));
    assert!(!running_at_one(&[], attempts).may_replace_run(STALLED_AT, TICKET));
  }
}

fn stopping() -> Event {
  Event::Stopping {
    accept_until: ARRIVED_AT + 2_000,
    refuse_waiting_at: ARRIVED_AT + 3_000,
    end_at: ARRIVED_AT + 4_000,
  }
}

// At a stop an answer that had begun was cut together with the refusals of what waits.
#[test]
fn an_answer_that_has_begun_waits_until_the_exit() {
  for stalled in [true, false] {
    let mut state = begun(&[], 3);
    // A server that cannot take the request yet, so that waiting is worth it.
    let later = Spec {
      stage: bendsaddle::backend::Stage::Ready,
      ..spec("later")
    };
    state.reduce(STALLED_AT, stopping());
    state.reduce(ARRIVED_AT + 2_800, Event::Servers(vec![Change::Set(later)]));
    let first = state.reduce(
      ARRIVED_AT + 2_900,
      ended(if stalled { End::Stalled } else { End::Broken }),
    );
    assert_eq!(sent(&first), Some("later".into()));
    state.reduce(ARRIVED_AT + 2_910, ended(End::Full));
    for at in [3_000, 3_500, 3_999].map(|at| ARRIVED_AT + at) {
      let effects = state.reduce(at, Event::Recheck(TICKET));
      assert_eq!(refused(&effects), None, "at {at}, stalled {stalled}");
      if sent(&effects).is_some() {
        state.reduce(at, ended(End::Full));
      }
    }
    let refusal = refused(&state.reduce(ARRIVED_AT + 4_000, Event::Recheck(TICKET)));
    assert_eq!(refusal.unwrap().reason, Reason::Stopping);
  }
}
