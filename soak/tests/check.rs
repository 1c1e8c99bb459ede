//! Each check accepts valid histories and reports violations.

use soak::{
  check::{Bounds, check},
  customer::{self, Customer},
  history::{
    Arrival, Backoff, BrittlePeriod, Departure, End, FROZEN, History, Hold, Incident, KILLED, Kind,
    Limit, Order, PartRuns, Probe, Request, Resumption, Run, STOPPED, Serving, Stream, Target,
  },
};

/// A history in which all requests are served after the last fault.
fn baseline() -> History {
  let requests = Kind::ALL.iter().map(|kind| Request {
    at: 20_000,
    ended: 20_050,
    ..request("calm", *kind, End::Success { intact: true })
  });
  History {
    requests: requests.collect(),
    faults_ended_at: 10_000,
    ..History::default()
  }
}

fn request(id: &str, kind: Kind, end: End) -> Request {
  Request {
    id: id.into(),
    kind,
    instance: 0,
    customer: Customer::Unlimited,
    reused: false,
    returns: false,
    at: 1_000,
    ended: 1_100,
    end,
    server: None,
    unexpected_body: None,
  }
}

fn run(id: &str, server: &str, at: u64) -> Run {
  Run {
    id: id.into(),
    server: server.into(),
    at,
  }
}

fn incident(target: Target, cause: &'static str, from: u64, to: u64) -> Incident {
  Incident {
    target,
    cause,
    from,
    to,
  }
}

/// Returns the invariants that a history violates.
fn broken(history: &History) -> Vec<&'static str> {
  let found = check(history, &Bounds::default());
  found.iter().map(|violation| violation.invariant).collect()
}

/// Returns the invariants violated by one request and its runs.
fn broken_by(request: Request, runs: &[Run]) -> Vec<&'static str> {
  let mut history = baseline();
  history.requests.push(request);
  history.runs.extend(runs.iter().cloned());
  broken(&history)
}

const SERVED: End = End::Success { intact: true };

#[test]
fn a_calm_history_breaks_nothing() {
  assert!(broken(&baseline()).is_empty());
}

#[test]
fn what_may_not_be_repeated_runs_once() {
  let runs = [run("r", "a", 1_010), run("r", "b", 1_020)];
  for kind in Kind::ALL {
    let expected: &[&str] = if kind.repeatable() { &[] } else { &["once"] };
    assert_eq!(
      broken_by(request("r", kind, SERVED), &runs),
      expected,
      "{kind:?}"
    );
    assert!(broken_by(request("r", kind, SERVED), &runs[..1]).is_empty());
  }
}

#[test]
fn a_refusal_is_true() {
  let refused = |status, signed| request("r", Kind::Repeatable, End::Failure { status, signed });
  let runs = [run("r", "a", 1_010)];
  assert_eq!(broken_by(refused(503, false), &runs), ["refusal"]);
  assert_eq!(broken_by(refused(429, false), &runs), ["refusal"]);
  assert!(broken_by(refused(503, false), &[]).is_empty());
  assert!(
    broken_by(refused(502, false), &runs).is_empty(),
    "502 does not say whether it ran"
  );
  assert!(
    broken_by(refused(503, true), &runs).is_empty(),
    "a refusal by the server itself"
  );
}

#[test]
fn a_caller_gets_the_whole_answer_to_its_own_request() {
  let end = |end| request("r", Kind::Once, end);
  assert_eq!(
    broken_by(end(End::Success { intact: false }), &[]),
    ["answer"]
  );
  assert_eq!(broken_by(end(End::Truncated), &[]), ["answer"]);
  assert_eq!(broken_by(end(End::Closed), &[]), ["stop"]);
  let mut closed_while_idle = end(End::Closed);
  closed_while_idle.reused = true;
  assert!(
    broken_by(closed_while_idle.clone(), &[]).is_empty(),
    "the request was not read"
  );
  assert_eq!(
    broken_by(closed_while_idle, &[run("r", "a", 1_010)]),
    ["stop"]
  );
}

#[test]
fn a_fault_at_the_instance_excuses_a_cut_and_a_planned_stop_does_not() {
  for (cause, from, excused) in [
    ("kill", 1_050, true),
    (STOPPED, 1_050, false),
    (STOPPED, 900, true),
  ] {
    let mut history = baseline();
    history.requests.push(request("r", Kind::Once, End::Closed));
    history
      .incidents
      .push(incident(Target::Instance(0), cause, from, 2_000));
    assert_eq!(broken(&history).is_empty(), excused, "{cause} from {from}");
    history.incidents[0].target = Target::Instance(1);
    assert_eq!(broken(&history), ["stop"], "another instance");
  }
}

#[test]
fn a_request_is_answered_in_time() {
  let mut late = request("r", Kind::Once, SERVED);
  late.ended = late.at + late.kind.deadline_ms() + 400;
  assert!(broken_by(late.clone(), &[]).is_empty());
  late.ended += 200;
  assert_eq!(broken_by(late, &[]), ["in time"]);
}

#[test]
fn one_holder_orders_a_server_at_a_time() {
  let order = |holder: &str, term, at| Order {
    server: "a".into(),
    holder: holder.into(),
    term,
    at,
  };
  let orders = |one, two| {
    let mut history = baseline();
    history.orders = vec![one, two];
    history
  };
  let one = || order("x", 1, 5_000);
  assert!(broken(&orders(one(), order("x", 1, 5_010))).is_empty());
  assert!(broken(&orders(one(), order("y", 2, 6_100))).is_empty());
  assert_eq!(
    broken(&orders(one(), order("y", 1, 7_000))),
    ["orders"],
    "the same term"
  );
  assert_eq!(
    broken(&orders(one(), order("y", 0, 7_000))),
    ["orders"],
    "a lower term"
  );
  let early = orders(one(), order("y", 2, 5_500));
  assert_eq!(broken(&early), ["orders"], "too soon");
  let mut delayed = early;
  delayed
    .incidents
    .push(incident(Target::Instance(1), FROZEN, 4_000, 5_400));
  assert!(broken(&delayed).is_empty(), "the order was delayed");
}

fn hold(server: &str, from: u64, to: u64) -> Hold {
  Hold {
    server: server.into(),
    from,
    to,
  }
}

#[test]
fn memory_and_replicas_stay_within_their_bounds() {
  let mut history = baseline();
  history.overcommitted.push(("a".into(), 1));
  assert_eq!(broken(&history), ["memory"]);
  let mut history = baseline();
  history.holds = vec![hold("a", 0, 500), hold("b", 0, 900), hold("c", 500, 800)];
  assert!(broken(&history).is_empty(), "never three at once");
  history.holds.push(hold("d", 799, 801));
  assert_eq!(broken(&history), ["replicas"]);
  history.late_orders = true;
  assert!(broken(&history).is_empty(), "an order was carried out late");
}

#[test]
fn a_configuration_is_in_force_in_time_and_never_goes_back() {
  let probe = |at, version| Probe {
    instance: 0,
    life: 1,
    at,
    version,
  };
  let probes = |probes: &[Probe]| {
    let mut history = baseline();
    history.configured = vec![(1, 0), (2, 5_000)];
    history.probes = probes.to_vec();
    history
  };
  assert!(broken(&probes(&[probe(6_000, 1), probe(7_600, 2)])).is_empty());
  assert_eq!(
    broken(&probes(&[probe(6_000, 2), probe(6_200, 1)])),
    ["configuration"]
  );
  let late = probes(&[probe(7_600, 1)]);
  assert_eq!(broken(&late), ["configuration"]);
  let mut cut = late.clone();
  cut
    .incidents
    .push(incident(Target::Store, "store", 4_000, 5_500));
  assert!(broken(&cut).is_empty(), "the store was down");
  let mut restarted = probes(&[probe(6_000, 2), probe(6_200, 1)]);
  restarted.probes[1].life = 2;
  assert!(broken(&restarted).is_empty(), "another process");
}

#[test]
fn a_server_that_leaves_gets_no_new_work() {
  let history = |at| {
    let mut history = baseline();
    history.drained.push(("a".into(), 1_000));
    history.runs.push(run("calm", "a", at));
    history
  };
  assert!(broken(&history(3_000)).is_empty());
  assert_eq!(broken(&history(4_000)), ["leaving"]);
}

// An instance counts as connected three seconds after its last fault, also if the fault was shortly
// before or after the departure.
#[test]
fn a_fault_excuses_a_late_request_to_a_leaving_server_while_it_is_recent() {
  let history = |from, to| {
    let mut history = baseline();
    history.drained.push(("a".into(), 9_000));
    history.runs.push(run("calm", "a", 12_000));
    let target = Target::Instance(0);
    history.incidents.push(incident(target, "cut", from, to));
    history
  };
  assert_eq!(broken(&history(5_000, 8_900)), ["leaving"]);
  assert!(broken(&history(5_000, 9_100)).is_empty());
}

#[test]
fn after_all_faults_every_kind_is_served() {
  let mut history = baseline();
  history.requests.pop();
  assert_eq!(broken(&history), ["recovery"], "one kind has no requests");
  let mut history = baseline();
  history.requests[0].end = End::Failure {
    status: 503,
    signed: false,
  };
  assert_eq!(broken(&history), ["recovery"]);
}

/// Guards against requests that fail while no fault is played.
#[test]
fn requests_do_not_fail_in_calm_times() {
  let failed = End::Failure {
    status: 502,
    signed: false,
  };
  let mut history = baseline();
  let served = history.requests.clone();
  history
    .requests
    .extend(served.iter().cycle().take(100).cloned());
  let mut during = request("during", Kind::Once, failed);
  during.at = 12_000;
  history.requests.push(during.clone());
  assert!(broken(&history).is_empty());
  during.at = 17_000;
  history.requests.push(during);
  assert_eq!(broken(&history), ["calm"]);
}

#[test]
fn times_are_left_out_where_the_machine_decides_them() {
  let mut history = baseline();
  let mut late = request("r", Kind::Once, SERVED);
  late.ended = 30_000;
  history.requests.push(late);
  let bounds = Bounds {
    timed: false,
    ..Bounds::default()
  };
  assert!(check(&history, &bounds).is_empty());
}

/// A server that announces a limit of one request per second from 1 s on, and gets one request
/// every `pause_ms` from two instances.
fn limited(pause_ms: u64) -> History {
  let mut history = baseline();
  history.limits.push(Limit {
    server: "a".into(),
    rate: 1.0,
    from: 1_000,
    to: 10_000,
  });
  for (number, at) in (1_000..10_000).step_by(pause_ms as usize).enumerate() {
    let id = format!("n{number}");
    history.arrivals.push(Arrival {
      id: id.clone(),
      server: "a".into(),
      at,
    });
    history.requests.push(Request {
      instance: number % 2,
      at,
      ended: at + 50,
      ..request(&id, Kind::Repeatable, SERVED)
    });
  }
  history
}

#[test]
fn a_server_in_need_gets_what_it_takes() {
  assert!(broken(&limited(400)).is_empty(), "ten in four seconds");
  assert_eq!(broken(&limited(300)), ["limit"], "thirteen in four seconds");
  let mut without_notice = limited(300);
  without_notice.requests.iter_mut().for_each(|request| {
    if matches!(request.end, End::Success { .. }) && request.id.starts_with('n') {
      request.end = End::Left;
    }
  });
  assert!(
    broken(&without_notice).is_empty(),
    "no instance received the limit"
  );
  let mut frozen = limited(300);
  frozen
    .incidents
    .push(incident(Target::Instance(0), FROZEN, 2_000, 9_000));
  assert!(broken(&frozen).is_empty(), "one of the two is excused");
}

/// A server announces its departure at 2,000 ms. The instance relays the notice at 2,200 ms and
/// sends it one more request `later_ms` after that.
fn announced(later_ms: u64) -> History {
  let mut history = baseline();
  history.departures.push(Departure {
    server: "a".into(),
    from: 2_000,
  });
  for (id, at) in [("told", 2_100), ("late", 2_200 + later_ms)] {
    history.arrivals.push(Arrival {
      id: id.into(),
      server: "a".into(),
      at,
    });
    history.requests.push(Request {
      at,
      ended: at + 100,
      server: Some("a".into()),
      ..request(id, Kind::Repeatable, SERVED)
    });
  }
  history
}

#[test]
fn a_server_that_says_that_it_leaves_gets_nothing_of_who_was_told() {
  assert!(broken(&announced(2_400)).is_empty());
  assert_eq!(broken(&announced(2_600)), ["said leaving"]);
  let mut other = announced(2_600);
  let late = other
    .requests
    .iter_mut()
    .find(|request| request.id == "late");
  late.expect("a request").instance = 1;
  assert!(broken(&other).is_empty(), "its instance had no notice");
  for (cause, excuses) in [
    ("kill", true),
    (FROZEN, true),
    ("cut from the store", false),
  ] {
    let mut with_fault = announced(2_600);
    let target = Target::Instance(0);
    with_fault
      .incidents
      .push(incident(target, cause, 3_000, 3_100));
    assert_eq!(broken(&with_fault).is_empty(), excuses, "{cause}");
  }
}

/// A server asks for a backoff from 2,000 to 5,000 ms, and gets this many requests more than half a
/// second after it starts.
fn backed_off(requests: u64) -> History {
  let mut history = baseline();
  history.backoffs.push(Backoff {
    server: "a".into(),
    id: "asked".into(),
    from: 2_000,
    to: 5_000,
  });
  let declined = End::Failure {
    status: 503,
    signed: false,
  };
  let ids = (0..requests).map(|number| (format!("n{number}"), 2_600 + number * 100));
  for (id, at) in ids.chain([("asked".to_string(), 2_000), ("crossed".to_string(), 2_400)]) {
    history.arrivals.push(Arrival {
      id: id.clone(),
      server: "a".into(),
      at,
    });
    history.requests.push(Request {
      at,
      ended: at + 10,
      ..request(&id, Kind::Repeatable, declined)
    });
  }
  history
}

#[test]
fn a_server_gets_two_requests_in_its_rest() {
  assert!(broken(&backed_off(2)).is_empty());
  assert_eq!(broken(&backed_off(3)), ["rest"]);
  let mut others = backed_off(3);
  let of = |request: &&mut Request| request.id == "n1";
  others.requests.iter_mut().find(of).expect("one").instance = 1;
  assert!(
    broken(&others).is_empty(),
    "a backoff applies to one instance"
  );
  for cause in ["kill", FROZEN, "cut from the store"] {
    let mut with_fault = backed_off(3);
    let target = Target::Instance(0);
    with_fault
      .incidents
      .push(incident(target, cause, 3_000, 3_100));
    assert!(broken(&with_fault).is_empty(), "{cause}");
  }
}

/// A server left at 5,000 ms without any fault. The instance sends it a request 8 s later, after
/// the store was restored from a copy.
fn restored() -> History {
  let mut history = baseline();
  history.drained.push(("a".into(), 5_000));
  history.runs.push(run("late", "a", 13_000));
  history.requests.push(Request {
    at: 12_990,
    ended: 13_050,
    ..request("late", Kind::Repeatable, SERVED)
  });
  let returned = incident(Target::Store, "store", 9_000, 12_000);
  history.incidents.push(returned);
  history
}

#[test]
fn a_server_that_was_known_to_leave_stays_so_over_the_stores_return() {
  assert_eq!(broken(&restored()), ["back"]);
  let mut restarted = restored();
  let killed = incident(Target::Instance(0), "kill", 9_000, 10_000);
  restarted.incidents.push(killed);
  assert!(
    broken(&restarted).is_empty(),
    "the restart lost the departure"
  );
  let mut unknown = restored();
  let store = incident(Target::Store, "store", 5_500, 6_000);
  unknown.incidents.push(store);
  assert!(
    broken(&unknown).is_empty(),
    "the instance may not have known"
  );
}

/// Two servers of `v1` and two of `v2`. Twelve streams begin at `v1`; their callers resume them at
/// another instance, and `went_on` of them go on.
fn resumed(went_on: usize) -> History {
  let mut history = baseline();
  for (server, version) in [("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")] {
    history.serving.push(Serving {
      server: server.into(),
      version: version.into(),
      from: 0,
      to: u64::MAX,
    });
  }
  for number in 0..12 {
    let id = format!("s{number}");
    history.streams.push(Stream {
      id: id.clone(),
      plain: true,
      instance: 0,
      at: 7_000,
      ended: 7_100,
      versions: vec!["v1".into()],
    });
    history.resumptions.push(Resumption {
      id,
      plain: true,
      version: "v1".into(),
      instances: vec![1],
      at: 8_100,
      ended: 8_300,
      went_on: number < went_on,
      reasons: Vec::new(),
    });
  }
  history
}

#[test]
fn at_most_two_streams_hold_events_of_two_versions() {
  let joined = |count: usize| {
    let mut history = resumed(12);
    let streams = history.streams.iter_mut().take(count);
    streams.for_each(|stream| stream.versions.push("v2".into()));
    broken(&history)
  };
  assert!(joined(2).is_empty());
  assert_eq!(joined(3), ["build"]);
}

#[test]
fn a_release_joins_no_stream() {
  assert_eq!(Bounds::for_seed(170_002).max_joined_streams, 0);
  assert_eq!(Bounds::for_seed(169_986).max_joined_streams, 2);
  assert_eq!(Bounds::for_seed(170_006).max_joined_streams, 2);
}

/// Guards against a check that counts joined streams only where no fault excuses them.
#[test]
fn no_fault_excuses_streams_of_two_versions() {
  let mut history = resumed(12);
  let streams = history.streams.iter_mut().take(3);
  streams.for_each(|stream| stream.versions.push("v2".into()));
  for target in [Target::Instance(0), Target::Instance(1), Target::Store] {
    history.incidents.push(incident(target, "cut", 0, 9_000));
  }
  assert_eq!(broken(&history), ["build"]);
}

#[test]
fn half_of_the_resumed_streams_go_on() {
  assert!(broken(&resumed(6)).is_empty());
  assert_eq!(broken(&resumed(5)), ["build"]);
  let mut fewer = resumed(0);
  fewer.resumptions.pop();
  assert!(broken(&fewer).is_empty(), "eleven resumptions");
  let mut alone = resumed(0);
  alone.serving[1].to = 8_200;
  assert!(broken(&alone).is_empty(), "one server of the version");
  let mut unknown = resumed(0);
  unknown.serving[1].from = 5_500;
  assert!(broken(&unknown).is_empty(), "the second server is new");
  let mut scarce = resumed(5);
  let streams = scarce.streams.iter_mut().take(2);
  streams.for_each(|stream| stream.versions.clear());
  assert!(broken(&scarce).is_empty(), "ten of twelve new ones began");
}

#[test]
fn a_fault_at_the_resuming_instance_or_at_a_server_excuses_a_resumption() {
  let with_fault = |target| {
    let mut history = resumed(0);
    history
      .incidents
      .push(incident(target, "kill", 8_000, 8_050));
    broken(&history).is_empty()
  };
  assert!(with_fault(Target::Instance(1)));
  assert!(with_fault(Target::Store));
  let began = with_fault(Target::Instance(0));
  assert!(!began, "the instance that began the streams was killed");
  let mut history = resumed(0);
  let server = Target::Server("a".into());
  history
    .incidents
    .push(incident(server, "server", 8_000, 8_200));
  assert!(
    broken(&history).is_empty(),
    "a server of the version failed"
  );
}

/// Twelve streams whose callers come back to instances that were killed meanwhile, among servers of one
/// version; `unknown` of them are refused because their version is not known.
fn returned(unknown: usize) -> History {
  let mut history = resumed(12);
  history.serving.truncate(2);
  let mut returns = std::mem::take(&mut history.resumptions);
  for one in returns.iter_mut().take(unknown) {
    one.went_on = false;
    one.reasons = vec!["build-unknown".into()];
  }
  history.returns = returns;
  for instance in [0, 1] {
    let killed = incident(Target::Instance(instance), KILLED, 7_500, 8_050);
    history.incidents.push(killed);
  }
  history
}

#[test]
fn beside_one_version_no_return_is_refused_as_unknown() {
  assert!(broken(&returned(0)).is_empty());
  assert_eq!(broken(&returned(1)), ["build"], "a kill does not excuse it");
  let mut two_versions = returned(12);
  two_versions.serving[1].version = "v2".into();
  assert!(broken(&two_versions).is_empty(), "nobody may know it");
  let mut without_store = returned(12);
  let store = incident(Target::Store, "store", 8_000, 8_150);
  without_store.incidents.push(store);
  assert!(broken(&without_store).is_empty(), "nobody could read it");
  let mut other_reason = returned(1);
  other_reason.returns[0].reasons = vec!["no-server".into()];
  assert!(broken(&other_reason).is_empty(), "another reason");
}

/// Guards against returns that do not count beside one version.
#[test]
fn beside_one_version_half_of_the_returns_go_on() {
  let mut history = returned(12);
  history.incidents.clear();
  for one in &mut history.returns {
    one.reasons = vec!["no-server".into()];
  }
  assert_eq!(broken(&history), ["build"]);
}

/// Guards against a check that lets refusals of returns, which two versions excuse, count as trouble.
#[test]
fn refused_returns_are_no_lack_of_recovery() {
  let mut history = baseline();
  let refused = End::Failure {
    status: 503,
    signed: false,
  };
  for number in 0..40 {
    history.requests.push(Request {
      at: 20_000,
      ended: 20_050,
      returns: true,
      ..request(&format!("p{number}"), Kind::Stream, refused)
    });
  }
  assert!(broken(&history).is_empty());
  for request in &mut history.requests {
    request.returns = false;
  }
  assert_eq!(broken(&history), ["recovery"]);
}

fn falls(count: u64) -> History {
  History {
    brittle: vec![BrittlePeriod {
      servers: ["p0.0".to_string(), "p1.0".to_string()].into(),
      size: 4,
      from: 2_000,
      to: 6_000,
    }],
    falls: (0..count)
      .map(|number| ("p1.0".to_string(), 3_000 + number * 500))
      .collect(),
    ..baseline()
  }
}

#[test]
fn brittle_servers_may_fall_over_twice() {
  assert_eq!(broken(&falls(2)), Vec::<&str>::new());
  assert_eq!(broken(&falls(3)), ["brittle"]);
  let mut other = falls(3);
  other.falls[0].0 = "m1.0".into();
  assert_eq!(broken(&other), Vec::<&str>::new());
}

#[test]
fn falls_beside_instances_that_were_killed_count_and_beside_suspended_ones_do_not() {
  let with = |cause| History {
    incidents: vec![incident(Target::Instance(0), cause, 2_500, 3_000)],
    ..falls(3)
  };
  assert_eq!(broken(&with(KILLED)), ["brittle"]);
  assert_eq!(broken(&with(FROZEN)), Vec::<&str>::new());
}

#[test]
fn requests_with_a_part_that_crashed_five_servers_run_three_times_at_most() {
  let history = |late| History {
    deadly: vec![PartRuns {
      prefix: "deadly-0-".into(),
      crashes: vec![1_000, 1_100, 1_200, 1_300, 1_400, 1_500],
    }],
    runs: (0..late)
      .map(|number| run(&format!("deadly-0-{number}"), "m0.0", 4_500 + number))
      .collect(),
    ..baseline()
  };
  assert_eq!(broken(&history(3)), Vec::<&str>::new());
  assert_eq!(broken(&history(4)), ["part"]);
}

/// Requests of a customer with a quota, one each 50 ms, all of which run at once.
fn customer_history(customer: Customer, count: usize, took_ms: u64) -> History {
  let mut history = History {
    has_quotas: true,
    ..baseline()
  };
  for number in 0..count {
    let at = 1_000 + number as u64 * 50;
    let id = format!("q{number}");
    history.requests.push(Request {
      customer,
      at,
      ended: at + took_ms,
      ..request(&id, Kind::Repeatable, SERVED)
    });
    history.runs.push(run(&id, "a", at + took_ms));
  }
  history
}

#[test]
fn a_customer_runs_no_more_than_its_quota() {
  let max = customer::max_runs();
  for (customer, count, took_ms, broken) in [
    (Customer::Limited, max, 10, false),
    (Customer::Limited, max + 1, 10, true),
    (Customer::Unlimited, max + 1, 10, false),
    // Sent in a window and run after it.
    (Customer::Limited, max + 1, customer::WINDOW_MS, false),
  ] {
    let history = customer_history(customer, count, took_ms);
    let violations = check(&history, &Bounds::default());
    let found = violations.iter().any(|found| found.invariant == "quota");
    assert_eq!(
      found, broken,
      "{customer:?} {count} {took_ms}: {violations:?}"
    );
  }
}

#[test]
fn no_instance_ends_by_itself() {
  let history = History {
    ended: vec![(1, 2_000, "signal: 6".into())],
    ..baseline()
  };
  assert_eq!(broken(&history), ["process"]);
}
