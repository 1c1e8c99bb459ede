//! Each check passes what is allowed and finds what is not.

use soak::{
  check::{Bounds, check},
  history::{
    Arrival, End, FROZEN, History, Hold, Kind, Leaver, Limit, Order, Probe, Rest, Run, STOPPED,
    Sent, Target, Trouble,
  },
};

/// A history in which everything is served after the last fault.
fn calm() -> History {
  let sent = Kind::ALL.iter().map(|kind| Sent {
    at: 20_000,
    ended: 20_050,
    ..sent("calm", *kind, End::Success { own: true })
  });
  History {
    sent: sent.collect(),
    calm_from: 10_000,
    ..History::default()
  }
}

fn sent(id: &str, kind: Kind, end: End) -> Sent {
  Sent {
    id: id.into(),
    kind,
    instance: 0,
    reused: false,
    at: 1_000,
    ended: 1_100,
    end,
    server: None,
    foreign: None,
  }
}

fn run(id: &str, server: &str, at: u64) -> Run {
  Run {
    id: id.into(),
    server: server.into(),
    at,
  }
}

fn trouble(target: Target, what: &'static str, from: u64, to: u64) -> Trouble {
  Trouble {
    target,
    what,
    from,
    to,
  }
}

/// The promises that a history breaks.
fn broken(history: &History) -> Vec<&'static str> {
  let found = check(history, &Bounds::default());
  found.iter().map(|violation| violation.promise).collect()
}

/// The promises broken by one request and its runs.
fn with(sent: Sent, runs: &[Run]) -> Vec<&'static str> {
  let mut history = calm();
  history.sent.push(sent);
  history.runs.extend(runs.iter().cloned());
  broken(&history)
}

const SERVED: End = End::Success { own: true };

#[test]
fn a_calm_history_breaks_nothing() {
  assert!(broken(&calm()).is_empty());
}

#[test]
fn what_may_not_be_repeated_runs_once() {
  let runs = [run("r", "a", 1_010), run("r", "b", 1_020)];
  for kind in Kind::ALL {
    let expected: &[&str] = if kind.repeatable() { &[] } else { &["once"] };
    assert_eq!(with(sent("r", kind, SERVED), &runs), expected, "{kind:?}");
    assert!(with(sent("r", kind, SERVED), &runs[..1]).is_empty());
  }
}

#[test]
fn a_refusal_is_true() {
  let refused = |status, signed| sent("r", Kind::Again, End::Failure { status, signed });
  let runs = [run("r", "a", 1_010)];
  assert_eq!(with(refused(503, false), &runs), ["refusal"]);
  assert_eq!(with(refused(429, false), &runs), ["refusal"]);
  assert!(with(refused(503, false), &[]).is_empty());
  assert!(
    with(refused(502, false), &runs).is_empty(),
    "502 promises nothing"
  );
  assert!(
    with(refused(503, true), &runs).is_empty(),
    "the server's own"
  );
}

#[test]
fn a_caller_gets_the_whole_answer_to_its_own_request() {
  let end = |end| sent("r", Kind::Once, end);
  assert_eq!(with(end(End::Success { own: false }), &[]), ["answer"]);
  assert_eq!(with(end(End::Cut), &[]), ["answer"]);
  assert_eq!(with(end(End::Closed), &[]), ["stop"]);
  let mut crossed = end(End::Closed);
  crossed.reused = true;
  assert!(with(crossed.clone(), &[]).is_empty(), "it was not read");
  assert_eq!(with(crossed, &[run("r", "a", 1_010)]), ["stop"]);
}

#[test]
fn a_fault_at_the_instance_excuses_a_cut_and_a_planned_stop_does_not() {
  for (what, from, excused) in [
    ("kill", 1_050, true),
    (STOPPED, 1_050, false),
    (STOPPED, 900, true),
  ] {
    let mut history = calm();
    history.sent.push(sent("r", Kind::Once, End::Closed));
    history
      .troubles
      .push(trouble(Target::Instance(0), what, from, 2_000));
    assert_eq!(broken(&history).is_empty(), excused, "{what} from {from}");
    history.troubles[0].target = Target::Instance(1);
    assert_eq!(broken(&history), ["stop"], "another instance");
  }
}

#[test]
fn a_request_is_answered_in_time() {
  let mut late = sent("r", Kind::Once, SERVED);
  late.ended = late.at + late.kind.deadline_ms() + 400;
  assert!(with(late.clone(), &[]).is_empty());
  late.ended += 200;
  assert_eq!(with(late, &[]), ["in time"]);
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
    let mut history = calm();
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
  let mut thawed = early;
  thawed
    .troubles
    .push(trouble(Target::Instance(1), FROZEN, 4_000, 5_400));
  assert!(broken(&thawed).is_empty(), "it was on its way");
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
  let mut history = calm();
  history.overfull.push(("a".into(), 1));
  assert_eq!(broken(&history), ["memory"]);
  let mut history = calm();
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
    let mut history = calm();
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
    .troubles
    .push(trouble(Target::Store, "store", 4_000, 5_500));
  assert!(broken(&cut).is_empty(), "the store was down");
  let mut restarted = probes(&[probe(6_000, 2), probe(6_200, 1)]);
  restarted.probes[1].life = 2;
  assert!(broken(&restarted).is_empty(), "another process");
}

#[test]
fn a_server_that_leaves_gets_no_new_work() {
  let history = |at| {
    let mut history = calm();
    history.drained.push(("a".into(), 1_000));
    history.runs.push(run("calm", "a", at));
    history
  };
  assert!(broken(&history(3_000)).is_empty());
  assert_eq!(broken(&history(4_000)), ["leaving"]);
}

// An instance is in touch three seconds after its last fault, also where that came shortly
// before the departure, or after it.
#[test]
fn a_fault_excuses_a_late_request_to_a_leaving_server_while_it_is_recent() {
  let history = |from, to| {
    let mut history = calm();
    history.drained.push(("a".into(), 9_000));
    history.runs.push(run("calm", "a", 12_000));
    let target = Target::Instance(0);
    history.troubles.push(trouble(target, "cut", from, to));
    history
  };
  assert_eq!(broken(&history(5_000, 8_900)), ["leaving"]);
  assert!(broken(&history(5_000, 9_100)).is_empty());
}

#[test]
fn after_all_faults_every_kind_is_served() {
  let mut history = calm();
  history.sent.pop();
  assert_eq!(broken(&history), ["recovery"], "nothing of a kind was sent");
  let mut history = calm();
  history.sent[0].end = End::Failure {
    status: 503,
    signed: false,
  };
  assert_eq!(broken(&history), ["recovery"]);
}

#[test]
fn times_are_left_out_where_the_machine_decides_them() {
  let mut history = calm();
  let mut late = sent("r", Kind::Once, SERVED);
  late.ended = 30_000;
  history.sent.push(late);
  let bounds = Bounds {
    timed: false,
    ..Bounds::default()
  };
  assert!(check(&history, &bounds).is_empty());
}

/// A server that takes one request a second from 1 s on, and gets one every so many milliseconds
/// from two instances.
fn needy(pause_ms: u64) -> History {
  let mut history = calm();
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
    history.sent.push(Sent {
      instance: number % 2,
      at,
      ended: at + 50,
      ..sent(&id, Kind::Again, SERVED)
    });
  }
  history
}

#[test]
fn a_server_in_need_gets_what_it_takes() {
  assert!(broken(&needy(400)).is_empty(), "ten in four seconds");
  assert_eq!(broken(&needy(300)), ["limit"], "thirteen in four seconds");
  let mut untold = needy(300);
  untold.sent.iter_mut().for_each(|sent| {
    if matches!(sent.end, End::Success { .. }) && sent.id.starts_with('n') {
      sent.end = End::Left;
    }
  });
  assert!(broken(&untold).is_empty(), "nobody had heard of it");
  let mut frozen = needy(300);
  frozen
    .troubles
    .push(trouble(Target::Instance(0), FROZEN, 2_000, 9_000));
  assert!(broken(&frozen).is_empty(), "one of the two is excused");
}

/// A server said at 2,000 ms that it leaves; its instance passed that on at 2,200 ms, and sent it
/// one more request so much later, ms.
fn said(later_ms: u64) -> History {
  let mut history = calm();
  history.leavers.push(Leaver {
    server: "a".into(),
    from: 2_000,
  });
  for (id, at) in [("told", 2_100), ("late", 2_200 + later_ms)] {
    history.arrivals.push(Arrival {
      id: id.into(),
      server: "a".into(),
      at,
    });
    history.sent.push(Sent {
      at,
      ended: at + 100,
      server: Some("a".into()),
      ..sent(id, Kind::Again, SERVED)
    });
  }
  history
}

#[test]
fn a_server_that_says_that_it_leaves_gets_nothing_of_who_was_told() {
  assert!(broken(&said(2_400)).is_empty());
  assert_eq!(broken(&said(2_600)), ["said leaving"]);
  let mut other = said(2_600);
  let late = other.sent.iter_mut().find(|sent| sent.id == "late");
  late.expect("a request").instance = 1;
  assert!(broken(&other).is_empty(), "its instance was not told");
  for (what, excuses) in [
    ("kill", true),
    (FROZEN, true),
    ("cut from the store", false),
  ] {
    let mut struck = said(2_600);
    let target = Target::Instance(0);
    struck.troubles.push(trouble(target, what, 3_000, 3_100));
    assert_eq!(broken(&struck).is_empty(), excuses, "{what}");
  }
}

/// A server asked for rest from 2,000 to 5,000 ms, and got so many requests after half a second.
fn rested(requests: u64) -> History {
  let mut history = calm();
  history.rests.push(Rest {
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
    history.sent.push(Sent {
      at,
      ended: at + 10,
      ..sent(&id, Kind::Again, declined)
    });
  }
  history
}

#[test]
fn a_server_gets_two_requests_in_its_rest() {
  assert!(broken(&rested(2)).is_empty());
  assert_eq!(broken(&rested(3)), ["rest"]);
  let mut others = rested(3);
  let of = |sent: &&mut Sent| sent.id == "n1";
  others.sent.iter_mut().find(of).expect("one").instance = 1;
  assert!(
    broken(&others).is_empty(),
    "it is between it and one instance"
  );
  for what in ["kill", FROZEN, "cut from the store"] {
    let mut struck = rested(3);
    let target = Target::Instance(0);
    struck.troubles.push(trouble(target, what, 3_000, 3_100));
    assert!(broken(&struck).is_empty(), "{what}");
  }
}

/// A server left at 5,000 ms while all was sound; its instance sent a request there 8 s later, after
/// the store had come back from a copy.
fn back() -> History {
  let mut history = calm();
  history.drained.push(("a".into(), 5_000));
  history.runs.push(run("late", "a", 13_000));
  history.sent.push(Sent {
    at: 12_990,
    ended: 13_050,
    ..sent("late", Kind::Again, SERVED)
  });
  let returned = trouble(Target::Store, "store", 9_000, 12_000);
  history.troubles.push(returned);
  history
}

#[test]
fn a_server_that_was_known_to_leave_stays_so_over_the_stores_return() {
  assert_eq!(broken(&back()), ["back"]);
  let mut restarted = back();
  let killed = trouble(Target::Instance(0), "kill", 9_000, 10_000);
  restarted.troubles.push(killed);
  assert!(broken(&restarted).is_empty(), "it had to learn it anew");
  let mut unknown = back();
  let store = trouble(Target::Store, "store", 5_500, 6_000);
  unknown.troubles.push(store);
  assert!(broken(&unknown).is_empty(), "it may not have known it");
}
