//! Detection of requests that crash backend servers, and their quarantine.

mod requests;

use bendsaddle::{
  content,
  crash::{
    Crash, Quarantined, Registry, Repeated,
    stored::{Call, Entry, Record, Stored},
  },
  deployment::Engine,
  dialect::Dialect,
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  life::Life,
  refusal::Reason,
  request::Ticket,
  route::Repeat,
  store::{Error, Object, Revision},
  stored::encode,
  verdict::Verdict,
};
use quickcheck::quickcheck;
use requests::refused;
use std::{collections::BTreeSet, sync::Arc};

const CULPRIT: u128 = 1;
const BYSTANDER: u128 = 2;

/// A run of a request content on a server that crashed.
fn crash(content: u128, server: u64, run: u32) -> Crash {
  Crash {
    content: content::Key(content),
    server: Life::of(&server.to_string(), 1),
    run,
    progress_ms: 0,
  }
}

fn culprits(registry: &mut Registry, now: u64) -> Vec<u128> {
  let found = registry.find_culprits(now);
  found.iter().map(|culprit| culprit.content.0).collect()
}

#[test]
fn two_crashes_speak_against_nobody() {
  let mut registry = Registry::default();
  registry.add(0, &[crash(CULPRIT, 1, 1), crash(CULPRIT, 2, 2)]);
  assert_eq!(culprits(&mut registry, 10_000), Vec::<u128>::new());
}

#[test]
fn many_runs_at_one_server_are_one_crash() {
  let mut registry = Registry::default();
  let runs: Vec<Crash> = (0..20).map(|run| crash(CULPRIT, 1, run)).collect();
  registry.add(0, &runs);
  assert_eq!(culprits(&mut registry, 10_000), Vec::<u128>::new());
}

/// Servers that ended together, as those on one machine do, were three crashes of the request that ran on
/// all of them.
#[test]
fn servers_that_end_together_are_one_crash_of_runs_that_came_differently_far() {
  let run = |server: u64| Crash {
    progress_ms: 400 * server as u32,
    ..crash(BYSTANDER, server, server as u32)
  };
  let mut registry = Registry::default();
  for server in 1..=5 {
    registry.add(10 * server, &[run(server)]);
  }
  // The report of another server was lost, and is repeated 100 ms later.
  registry.add(110, &[run(6)]);
  assert_eq!(culprits(&mut registry, 10_000), Vec::<u128>::new());
  assert_eq!(registry.questions(10_000).len(), 1, "nobody is asked");
  registry.add(20_000, &[run(7)]);
  assert_eq!(culprits(&mut registry, 20_100), Vec::<u128>::new());
  registry.add(21_000, &[run(8)]);
  assert_eq!(culprits(&mut registry, 21_100), [BYSTANDER]);
}

/// Copies of a request that crashes servers, sent together, end them together, and must be found as fast as
/// others.
#[test]
fn servers_that_end_together_count_each_where_runs_came_equally_far() {
  let mut registry = Registry::default();
  for server in 1..=3 {
    registry.add(10 * server, &[crash(CULPRIT, server, server as u32)]);
  }
  assert_eq!(culprits(&mut registry, 60), [CULPRIT]);
}

#[test]
fn a_crash_that_is_reported_again_counts_once() {
  let mut registry = Registry::default();
  for _ in 0..5 {
    registry.add(0, &[crash(CULPRIT, 1, 1), crash(CULPRIT, 2, 1)]);
  }
  assert_eq!(culprits(&mut registry, 10_000), Vec::<u128>::new());
}

#[test]
fn the_third_crash_is_enough() {
  let mut registry = Registry::default();
  for server in 1..=3 {
    registry.add(server, &[crash(CULPRIT, server, server as u32)]);
  }
  assert_eq!(culprits(&mut registry, 4), vec![CULPRIT]);
  assert_eq!(
    culprits(&mut registry, 5),
    Vec::<u128>::new(),
    "reported once"
  );
  let quarantined = registry.quarantined(5);
  assert_eq!(quarantined.len(), 1);
  assert_eq!(quarantined[0].content, content::Key(CULPRIT));
}

#[test]
fn who_stood_beside_three_crashes_with_fewer_runs_is_cleared() {
  let mut registry = Registry::default();
  for server in 1..=3 {
    let run = server as u32;
    registry.add(
      0,
      &[
        crash(CULPRIT, server, run),
        crash(CULPRIT, server, run + 10),
        crash(BYSTANDER, server, run),
      ],
    );
  }
  assert_eq!(culprits(&mut registry, 10_000), vec![CULPRIT]);
}

#[test]
fn of_two_alike_neither_is_blamed_until_time_would_have_told() {
  let mut registry = Registry::default();
  for server in 1..=3 {
    let run = server as u32;
    registry.add(
      0,
      &[crash(CULPRIT, server, run), crash(BYSTANDER, server, run)],
    );
  }
  assert_eq!(culprits(&mut registry, 100), Vec::<u128>::new());
  registry.add(200, &[crash(CULPRIT, 4, 4)]);
  assert_eq!(culprits(&mut registry, 200), vec![CULPRIT]);
  assert_eq!(culprits(&mut registry, 60_000), Vec::<u128>::new());
}

#[test]
fn of_two_alike_both_are_kept_from_servers_within_three_seconds() {
  let mut registry = Registry::default();
  for server in 1..=3 {
    let run = server as u32;
    registry.add(
      0,
      &[crash(CULPRIT, server, run), crash(BYSTANDER, server, run)],
    );
  }
  assert_eq!(culprits(&mut registry, 2_900), vec![CULPRIT, BYSTANDER]);
}

#[test]
fn what_is_kept_from_servers_comes_to_an_end() {
  let mut registry = Registry::default();
  let content = content::Key(CULPRIT);
  let entry = |left_ms| Quarantined { content, left_ms };
  assert!(registry.quarantine(0, entry(1_000)));
  assert!(
    !registry.quarantine(500, entry(1_000)),
    "already quarantined"
  );
  assert!(registry.quarantined(1_000).is_empty());
  assert!(
    registry.quarantine(1_000, entry(1_000)),
    "quarantined anew after expiry"
  );
}

quickcheck! {
  /// For any reports in any order, a content with fewer than three crashes is never quarantined,
  /// and the registry stays bounded.
  fn nobody_is_blamed_for_fewer_than_three_crashes(reports: Vec<(u8, u8, u8)>) -> bool {
    let mut registry = Registry::default();
    let mut known: BTreeSet<(u8, u8)> = BTreeSet::new();
    for (now, (content, server, run)) in reports.into_iter().enumerate() {
      let (content, server) = (content % 8, server % 16);
      registry.add(now as u64, &[crash(content.into(), server.into(), run.into())]);
      known.insert((content, server));
      for found in culprits(&mut registry, now as u64) {
        let crashes = known.iter().filter(|(content, _)| u128::from(*content) == found);
        if crashes.count() < 3 {
          return false;
        }
      }
    }
    true
  }
}

#[test]
fn suspects_are_bounded() {
  let mut registry = Registry::default();
  for number in 0..5_000_u64 {
    registry.add(number, &[crash(number.into(), number, 1)]);
  }
  assert_eq!(registry.sizes(), (1_024, 0));
}

#[test]
fn what_may_be_lost_is_sent_three_times() {
  let mut repeated = Repeated::default();
  repeated.add(1_000, 7);
  let mut sent = Vec::new();
  for now in (1_000..3_000).step_by(10) {
    for value in repeated.take(now) {
      sent.push((now, value));
    }
  }
  assert_eq!(sent, vec![(1_000, 7), (1_100, 7), (1_400, 7)]);
  assert_eq!(repeated.due(), None);
}

fn state() -> State {
  let engine = Engine {
    slots: 8,
    ..Engine::default()
  };
  let mut state = requests::deployed(engine);
  let specs = ["one", "two", "three"].map(requests::spec);
  state.reduce(0, Event::Servers(vec![Change::All(specs.to_vec())]));
  state
}

fn arrived(ticket: u64, content: u128, repeat: Repeat) -> Event {
  Event::Arrived(Descriptor {
    ticket: Ticket(ticket),
    id: ticket.to_string(),
    route: Arc::new(requests::route(repeat, None, 3)),
    pool: "pool".into(),
    model: None,
    affinity: 0,
    deadline: 20_000,
    content: content::Key(content),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  })
}

fn quarantine(content: u128) -> Event {
  Event::Quarantined(vec![Quarantined {
    content: content::Key(content),
    left_ms: 10_000,
  }])
}

fn sends(effects: &[Effect]) -> bool {
  effects
    .iter()
    .any(|effect| matches!(effect, Effect::Send(_)))
}

#[test]
fn what_is_kept_from_servers_is_refused_at_once_and_not_called_not_run() {
  for repeat in [Repeat::Always, Repeat::Never] {
    let mut state = state();
    state.reduce(1, quarantine(CULPRIT));
    let effects = state.reduce(2, arrived(1, CULPRIT, repeat));
    let refusal = refused(&effects).expect("a refusal");
    assert_eq!(refusal.reason, Reason::Quarantined);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
    assert_eq!(refusal.retry_after, None);
    assert!(sends(&state.reduce(3, arrived(2, BYSTANDER, repeat))));
    // The quarantine has expired.
    assert!(sends(&state.reduce(10_001, arrived(3, CULPRIT, repeat))));
  }
}

#[test]
fn a_run_that_ended_with_its_server_is_reported_and_begun_again_elsewhere() {
  let mut state = state();
  state.reduce(1, arrived(1, CULPRIT, Repeat::Always));
  let ticket = Ticket(1);
  let end = End::Crashed;
  let effects = state.reduce(2, Event::Ended { ticket, end });
  assert!(effects.contains(&Effect::ReportCrashes));
  assert!(sends(&effects));
  let crashes = state.take_crashes();
  assert_eq!(crashes.len(), 1);
  assert_eq!(crashes[0].content, content::Key(CULPRIT));
  assert!(state.take_crashes().is_empty());
}

#[test]
fn a_repeat_that_was_decided_is_not_sent_once_it_is_kept_from_servers() {
  let mut state = state();
  let effects = state.reduce(1, arrived(1, CULPRIT, Repeat::Always));
  let Some(Effect::Send(attempt)) = effects.first().cloned() else {
    panic!("expected a send: {effects:?}");
  };
  assert_eq!(state.abort_reason(&attempt), None);
  state.reduce(2, quarantine(CULPRIT));
  assert_eq!(state.abort_reason(&attempt), Some(End::Leaving));
  let ticket = attempt.ticket;
  let end = End::Leaving;
  let effects = state.reduce(3, Event::Ended { ticket, end });
  let refusal = refused(&effects).expect("a refusal");
  assert_eq!(refusal.reason, Reason::Quarantined);
}

#[test]
fn contents_differ_by_method_host_target_and_body() {
  let head = |method: &str, host: &str, target: &str| {
    let mut head = bendsaddle::http::Request {
      method: method.into(),
      target: target.into(),
      minor: 1,
      headers: Default::default(),
    };
    head.headers.set("Host", host);
    head.headers.set("X-Request-Id", "any");
    head
  };
  let key = |head: &bendsaddle::http::Request, body: &[u8]| content::Key::of(head, &[], body);
  let base = key(&head("POST", "host", "/a"), b"body");
  assert_eq!(base, key(&head("POST", "HOST", "/a"), b"body"));
  for other in [
    key(&head("PUT", "host", "/a"), b"body"),
    key(&head("POST", "other", "/a"), b"body"),
    key(&head("POST", "host", "/a?b"), b"body"),
    key(&head("POST", "host", "/a"), b"bodies"),
    key(&head("POST", "host", "/abody"), b""),
  ] {
    assert_ne!(base, other);
  }
}

/// Requests without a body, whose prompts are named in headers, had one content, and servers that ended
/// under them had a whole route refused.
#[test]
fn contents_differ_by_the_headers_that_carry_the_prompt() {
  let dialect = Dialect::DEFAULT;
  let key = |headers: &[(&str, &str)]| {
    let mut head = bendsaddle::http::Request {
      method: "POST".into(),
      target: "/chat".into(),
      minor: 1,
      headers: Default::default(),
    };
    for (name, value) in headers {
      head.headers.set(name, value);
    }
    content::Key::of(&head, dialect.content, b"")
  };
  let prompt = [
    (dialect.model, "m"),
    (dialect.prompt_parts, "aa:10,bb:20"),
    (dialect.token_usage, "30,60"),
  ];
  let base = key(&prompt);
  for changed in 0..prompt.len() {
    let mut other = prompt;
    other[changed].1 = "40";
    assert_ne!(key(&other), base, "{other:?}");
    other[changed].1 = "";
    let without: Vec<(&str, &str)> = other
      .iter()
      .filter(|(_, value)| !value.is_empty())
      .copied()
      .collect();
    assert_ne!(key(&without), base, "{without:?}");
    assert_ne!(
      key(&without),
      key(&other),
      "an empty header is not an absent one"
    );
  }
  // The same request in another attempt.
  let attempt = [
    (dialect.request_id, "second"),
    (dialect.deadline_ms, "100"),
    (dialect.length_hint, "7"),
    (dialect.resumes, "first"),
    ("connection", "close"),
  ];
  assert_eq!(key(&[&prompt[..], &attempt[..]].concat()), base);
}

fn object(revision: u64, spec: serde_json::Value) -> bendsaddle::store::Object {
  bendsaddle::store::Object {
    name: "main".into(),
    revision: revision.into(),
    spec,
  }
}

#[test]
fn what_is_kept_from_servers_outlasts_all_instances() {
  let entry = Quarantined {
    content: content::Key(CULPRIT),
    left_ms: 60_000,
  };
  let mut holder = Stored::default();
  let read = holder.call(0, 1_000, true, &[]).expect("a read first");
  assert_eq!(read, Call::Read);
  assert_eq!(
    holder.call(0, 1_000, true, &[entry]),
    None,
    "one call at a time"
  );
  assert_eq!(
    holder.answered(1, &read, Err(Error::Absent { era: 0 })),
    None
  );
  assert_eq!(
    holder.call(2, 1_000, false, &[entry]),
    None,
    "only the holder writes"
  );
  let write = holder.call(2, 1_000, true, &[entry]).expect("a write");
  let Call::Write { record, revision } = write.clone() else {
    panic!("{write:?}");
  };
  assert_eq!(revision.number, 0);
  let spec = encode(&record).unwrap();
  holder.answered(3, &write, Ok(object(7, spec.clone())));
  assert_eq!(holder.call(4, 1_000, true, &[entry]), None, "written once");

  let mut successor = Stored::default();
  let read = successor.call(0, 21_000, false, &[]).expect("a read");
  let found = successor
    .answered(1, &read, Ok(object(7, spec)))
    .expect("a record");
  let found = found.quarantined(21_000);
  assert_eq!(found.len(), 1);
  assert_eq!(
    (found[0].content, found[0].left_ms),
    (entry.content, 40_000)
  );
  assert!(
    record.quarantined(61_001).is_empty(),
    "the quarantine has expired"
  );
}

#[test]
fn a_write_without_answer_is_looked_at_before_the_next() {
  let entry = Quarantined {
    content: content::Key(CULPRIT),
    left_ms: 60_000,
  };
  for error in [Error::NoAnswer, Error::Conflict, Error::Refused(503)] {
    let mut stored = Stored::default();
    let read = stored.call(0, 0, true, &[]).unwrap();
    stored.answered(0, &read, Err(Error::Absent { era: 0 }));
    let write = stored.call(0, 0, true, &[entry]).unwrap();
    stored.answered(0, &write, Err(error));
    assert_eq!(
      stored.call(1, 0, true, &[entry]),
      None,
      "calls pause after an error"
    );
    assert_eq!(stored.call(3_000, 0, true, &[entry]), Some(Call::Read));
  }
}

#[test]
fn what_is_kept_from_servers_is_written_again_after_the_stores_return() {
  let quarantined = |content| Quarantined {
    content: content::Key(content),
    left_ms: 60_000,
  };
  let released = Record {
    entries: vec![Entry {
      content: content::Key(CULPRIT + 1).to_string(),
      until_ms: 60_000,
    }],
  };
  let mut holder = Stored::default();
  let read = holder.call(0, 0, true, &[]).expect("a read first");
  holder.answered(0, &read, Err(Error::Absent { era: 1 }));
  let write = holder
    .call(0, 0, true, &[quarantined(CULPRIT)])
    .expect("a write");
  let written = Object {
    revision: Revision { era: 1, number: 7 },
    ..object(7, serde_json::Value::Null)
  };
  holder.answered(0, &write, Ok(written.clone()));
  holder.set_era(1);
  assert_eq!(
    holder.call(1, 0, true, &[quarantined(CULPRIT)]),
    None,
    "the entry is already stored"
  );
  holder.set_era(2);
  let read = holder
    .call(2, 0, true, &[quarantined(CULPRIT)])
    .expect("a read");
  assert_eq!(read, Call::Read);
  let copy = Object {
    revision: Revision { era: 2, number: 5 },
    spec: encode(&released).unwrap(),
    ..written
  };
  assert_eq!(
    holder.answered(3, &read, Ok(copy)),
    None,
    "the restored copy is older than the local state"
  );
  let write = holder
    .call(4, 0, true, &[quarantined(CULPRIT)])
    .expect("a write");
  let Call::Write { record, revision } = &write else {
    panic!("{write:?}");
  };
  assert_eq!(*revision, Revision { era: 2, number: 5 });
  let contents: Vec<content::Key> = record
    .quarantined(0)
    .iter()
    .map(|entry| entry.content)
    .collect();
  assert_eq!(contents, [content::Key(CULPRIT)]);
}

quickcheck! {
  /// An invalid record of another writer causes no failure and quarantines nothing.
  fn a_record_of_another_writer_keeps_nothing_from_servers(text: String, until_ms: u64) -> bool {
    let specs = [
      serde_json::json!(text),
      serde_json::json!({ "entries": text }),
      serde_json::json!({ "entries": [{ "content": format!("no {text}"), "untilMs": until_ms }] }),
      serde_json::Value::Null,
    ];
    specs.into_iter().all(|spec| {
      let mut stored = Stored::default();
      let read = stored.call(0, 0, true, &[]).unwrap();
      let record = stored.answered(0, &read, Ok(object(3, spec)));
      record.is_some_and(|record| record.quarantined(0).is_empty())
    })
  }
}

/// Equal requests that run everywhere were blamed for servers that restarted under them.
#[test]
fn a_content_that_was_served_since_its_first_crash_is_not_blamed() {
  let mut registry = Registry::default();
  registry.add(0, &[crash(CULPRIT, 1, 1), crash(CULPRIT, 2, 2)]);
  let questions = registry.questions(0);
  assert_eq!(questions.len(), 1);
  assert_eq!(questions[0].key, content::Key(CULPRIT));
  assert!(!registry.record_served(10, content::Key(CULPRIT)));
  registry.add(100, &[crash(CULPRIT, 3, 3)]);
  assert_eq!(culprits(&mut registry, 10_000), Vec::<u128>::new());
}

/// Repeated reports of crashes before a content was served had it quarantined after it.
#[test]
fn a_report_that_is_repeated_after_a_content_was_served_counts_no_more() {
  let mut registry = Registry::default();
  let crashes: Vec<Crash> = (1..=3).map(|server| crash(CULPRIT, server, 1)).collect();
  registry.add(0, &crashes);
  registry.record_served(10, content::Key(CULPRIT));
  registry.add(100, &crashes);
  assert_eq!(culprits(&mut registry, 10_000), Vec::<u128>::new());
  let crashes: Vec<Crash> = (4..=6).map(|server| crash(CULPRIT, server, 1)).collect();
  registry.add(20_000, &crashes);
  assert_eq!(
    culprits(&mut registry, 20_100),
    [CULPRIT],
    "new crashes count"
  );
}

#[test]
fn a_content_that_was_blamed_and_is_served_is_released() {
  let mut registry = Registry::default();
  let crashes: Vec<Crash> = (1..=3).map(|server| crash(CULPRIT, server, 1)).collect();
  registry.add(0, &crashes);
  assert_eq!(culprits(&mut registry, 100), [CULPRIT]);
  assert!(registry.record_served(200, content::Key(CULPRIT)));
  assert!(registry.quarantined(200).is_empty());
  assert_eq!(culprits(&mut registry, 300), Vec::<u128>::new());
}

fn lives(servers: &[u64]) -> BTreeSet<Life> {
  let lives = servers.iter();
  lives
    .map(|server| Life::of(&server.to_string(), 1))
    .collect()
}

/// Equal requests beside a part that crashes servers stayed quarantined for one crash of four that the
/// part did not explain.
#[test]
fn a_content_that_would_not_be_blamed_without_explained_crashes_is_released() {
  let mut registry = Registry::default();
  let crashes: Vec<Crash> = (1..=4).map(|server| crash(BYSTANDER, server, 1)).collect();
  registry.add(0, &crashes[..3]);
  assert_eq!(culprits(&mut registry, 100), [BYSTANDER]);
  registry.add(110, &crashes[3..]);
  let released = registry.release_explained(120, &lives(&[1, 2, 4]));
  assert_eq!(released, [content::Key(BYSTANDER)]);
  assert!(registry.quarantined(120).is_empty());
}

/// Crashes that a part explains must not release a request that crashes servers by itself.
#[test]
fn a_content_with_enough_unexplained_crashes_stays_quarantined() {
  let mut registry = Registry::default();
  let crashes: Vec<Crash> = (1..=4).map(|server| crash(CULPRIT, server, 1)).collect();
  registry.add(0, &crashes);
  assert_eq!(culprits(&mut registry, 100), [CULPRIT]);
  assert!(registry.release_explained(120, &lives(&[4])).is_empty());
  assert_eq!(registry.quarantined(120).len(), 1);
}

/// An analyzer that has not received all reports must not release what another one has blamed.
#[test]
fn a_content_blamed_elsewhere_is_not_released_for_crashes_that_are_unknown_here() {
  let mut registry = Registry::default();
  registry.add(0, &[crash(CULPRIT, 1, 1), crash(CULPRIT, 2, 1)]);
  registry.quarantine_found(100, &[content::Key(CULPRIT)]);
  assert!(registry.release_explained(120, &lives(&[1])).is_empty());
  assert_eq!(registry.quarantined(120).len(), 1);
}

/// Crashes are reported three times; the later reports blamed a released request again.
#[test]
fn an_explained_crash_that_is_reported_again_does_not_count() {
  let mut registry = Registry::default();
  let crashes: Vec<Crash> = (1..=3).map(|server| crash(BYSTANDER, server, 1)).collect();
  registry.add(0, &crashes);
  assert_eq!(culprits(&mut registry, 100), [BYSTANDER]);
  let released = registry.release_explained(120, &lives(&[1, 2, 3]));
  assert_eq!(released, [content::Key(BYSTANDER)]);
  registry.add(150, &crashes);
  assert_eq!(culprits(&mut registry, 3_000), Vec::<u128>::new());
}

/// Three more servers crashed on a request whose crashes were explained by a part that was served later.
#[test]
fn a_content_is_blamed_again_after_the_part_that_explained_its_crashes_was_served() {
  let mut registry = Registry::default();
  let crashes: Vec<Crash> = (1..=3).map(|server| crash(CULPRIT, server, 1)).collect();
  registry.add(0, &crashes);
  assert_eq!(culprits(&mut registry, 100), [CULPRIT]);
  registry.release_explained(120, &lives(&[1, 2, 3]));
  assert!(registry.quarantined(600).is_empty());
  registry.count_again(600, &lives(&[1, 2, 3]));
  assert_eq!(registry.analysis_at(600, || true), Some(600));
  assert_eq!(culprits(&mut registry, 600), [CULPRIT]);
}

/// Crashes that were explained before they were analyzed were lost too.
#[test]
fn a_content_whose_crashes_were_explained_first_is_blamed_after_the_part_was_served() {
  let mut registry = Registry::default();
  let crashes: Vec<Crash> = (1..=3).map(|server| crash(CULPRIT, server, 1)).collect();
  registry.add(0, &crashes[..2]);
  registry.release_explained(120, &lives(&[1, 2, 3]));
  registry.add(130, &crashes[2..]);
  assert_eq!(culprits(&mut registry, 200), Vec::<u128>::new());
  registry.count_again(600, &lives(&[1, 2, 3]));
  assert_eq!(culprits(&mut registry, 600), [CULPRIT]);
}

#[test]
fn a_content_that_was_served_is_not_blamed_again_with_the_part_released() {
  let mut registry = Registry::default();
  let crashes: Vec<Crash> = (1..=3).map(|server| crash(BYSTANDER, server, 1)).collect();
  registry.add(0, &crashes);
  assert_eq!(culprits(&mut registry, 100), [BYSTANDER]);
  registry.release_explained(120, &lives(&[1, 2, 3]));
  let asked = registry.questions(130);
  assert_eq!(asked[0].key, content::Key(BYSTANDER));
  registry.record_served(300, content::Key(BYSTANDER));
  registry.count_again(600, &lives(&[1, 2, 3]));
  assert_eq!(culprits(&mut registry, 5_000), Vec::<u128>::new());
}

/// Of two contents in the same crashes neither was ever blamed again, as their tie began anew at each analysis.
#[test]
fn contents_tied_for_crashes_that_count_again_are_blamed_once_the_tie_has_lasted() {
  let mut registry = Registry::default();
  let crashes = |server| [crash(CULPRIT, server, 1), crash(BYSTANDER, server, 1)];
  registry.add(0, &crashes(1));
  registry.add(10, &crashes(2));
  registry.release_explained(120, &lives(&[1, 2, 3]));
  registry.add(130, &crashes(3));
  registry.count_again(600, &lives(&[1, 2, 3]));
  let mut blamed = Vec::new();
  while let Some(at) = registry
    .analysis_at(60_000, || true)
    .filter(|at| *at < 20_000)
  {
    blamed.extend(culprits(&mut registry, at));
  }
  blamed.sort_unstable();
  assert_eq!(blamed, [CULPRIT, BYSTANDER]);
}

/// A companion stayed quarantined for a crash that a part explained and its culprit was not in.
#[test]
fn a_companion_in_an_explained_crash_besides_is_released() {
  let mut registry = Registry::default();
  registry.add(0, &[crash(BYSTANDER, 1, 1)]);
  registry.release_explained(100, &lives(&[1]));
  for server in 2..=4 {
    registry.add(
      200,
      &[crash(CULPRIT, server, 1), crash(BYSTANDER, server, 1)],
    );
  }
  registry.quarantine_found(300, &[content::Key(BYSTANDER)]);
  registry.add(400, &[crash(CULPRIT, 5, 1)]);
  assert_eq!(culprits(&mut registry, 500), [CULPRIT]);
  assert_eq!(registry.release_companions(500), [content::Key(BYSTANDER)]);
}

/// Guards against a release for a culprit that has nothing to do with the content.
#[test]
fn a_content_whose_crashes_are_all_explained_is_no_companion() {
  let mut registry = Registry::default();
  registry.add(0, &[crash(BYSTANDER, 1, 1)]);
  registry.release_explained(100, &lives(&[1]));
  registry.quarantine_found(200, &[content::Key(BYSTANDER)]);
  for server in 2..=4 {
    registry.add(300, &[crash(CULPRIT, server, 1)]);
  }
  assert_eq!(culprits(&mut registry, 400), [CULPRIT]);
  assert_eq!(registry.release_companions(400), []);
}

/// Instances ignored the quarantine of a content that was blamed again within two seconds of its release.
#[test]
fn a_renewed_quarantine_holds_at_instances_that_have_just_released_the_content() {
  let entry = |left_ms| Quarantined {
    content: content::Key(CULPRIT),
    left_ms,
  };
  let mut analyzer = Registry::default();
  let crashes: Vec<Crash> = (1..=3).map(|server| crash(CULPRIT, server, 1)).collect();
  analyzer.add(0, &crashes);
  assert_eq!(culprits(&mut analyzer, 100), [CULPRIT]);
  let first = analyzer.quarantined(100)[0];
  let mut other = Registry::default();
  other.quarantine(100, first);
  analyzer.release_explained(120, &lives(&[1, 2, 3]));
  other.quarantine(120, entry(0));
  assert!(!other.quarantine(520, first), "a late send of the first");
  analyzer.count_again(600, &lives(&[1, 2, 3]));
  assert_eq!(culprits(&mut analyzer, 600), [CULPRIT]);
  let renewed = analyzer.quarantined(600)[0];
  assert!(!other.is_stale(605, renewed));
  assert!(other.quarantine(605, renewed));
  // A renewed quarantine that began before a later release is stale as well.
  other.quarantine(9_000, entry(0));
  assert!(other.is_stale(60_000, analyzer.quarantined(60_000)[0]));
}

#[test]
fn a_content_with_three_crashes_that_nothing_explains_may_be_to_blame() {
  let mut registry = Registry::default();
  let crashes: Vec<Crash> = (1..=3).map(|server| crash(CULPRIT, server, 1)).collect();
  registry.add(0, &crashes[..2]);
  assert!(registry.candidates().is_empty());
  registry.add(500, &crashes[2..]);
  assert_eq!(registry.candidates(), [lives(&[1, 2, 3])]);
  registry.release_explained(600, &lives(&[1]));
  assert!(registry.candidates().is_empty());
}

/// The last send of a release undid the quarantine of a content that was blamed again.
#[test]
fn sends_about_a_content_end_when_newer_ones_replace_them() {
  let mut sends = Repeated::default();
  sends.add(0, CULPRIT);
  sends.add(0, BYSTANDER);
  assert_eq!(sends.take(0), [CULPRIT, BYSTANDER]);
  sends.remove(|content| *content == CULPRIT);
  assert_eq!(sends.take(1_000), [BYSTANDER]);
}

/// A released request was denied again by instances that read the stored quarantine later.
#[test]
fn a_release_is_written_to_the_store() {
  let entry = |content| Quarantined {
    content: content::Key(content),
    left_ms: 60_000,
  };
  let mut holder = Stored::default();
  let read = holder.call(0, 0, true, &[]).expect("a read first");
  holder.answered(0, &read, Err(Error::Absent { era: 0 }));
  let both = [entry(CULPRIT), entry(BYSTANDER)];
  let write = holder.call(0, 0, true, &both).expect("a write");
  holder.answered(0, &write, Ok(object(7, serde_json::Value::Null)));
  let left = [entry(CULPRIT)];
  assert_eq!(holder.call(1, 1, false, &left), None, "only holders write");
  let write = holder.call(1, 1, true, &left).expect("a second write");
  let Call::Write { record, .. } = &write else {
    panic!("{write:?}");
  };
  assert_eq!(record.entries.len(), 1);
  holder.answered(2, &write, Ok(object(8, serde_json::Value::Null)));
  assert_eq!(holder.call(3, 3, true, &left), None, "written once");
  // What expires needs no write.
  assert_eq!(holder.call(4, 60_001, true, &[]), None);
}

/// A holder that had missed the release of a request published its quarantine again, and all denied it.
#[test]
fn a_quarantine_that_began_before_its_release_is_ignored_and_answered() {
  let content = content::Key(BYSTANDER);
  let mut blamed = Registry::default();
  let crashes: Vec<Crash> = (1..=3).map(|server| crash(BYSTANDER, server, 1)).collect();
  blamed.add(0, &crashes);
  assert_eq!(culprits(&mut blamed, 100), [BYSTANDER]);
  let mut released = blamed.clone();
  released.record_served(200, content);
  let stale = blamed.quarantined(60_000)[0];
  assert!(released.is_stale(60_000, stale));
  assert!(!released.quarantine(60_000, stale));
  assert!(released.quarantined(60_000).is_empty());
  // It crashes servers after its release.
  let left_ms = stale.left_ms + 1_000;
  assert!(released.quarantine(60_000, Quarantined { content, left_ms }));
  assert!(!released.is_stale(60_000, stale));
}

/// An instance that starts reads the stored quarantine from before the release.
#[test]
fn a_recent_release_is_published_beside_the_quarantine() {
  let mut registry = Registry::default();
  let crashes: Vec<Crash> = (1..=3).map(|server| crash(BYSTANDER, server, 1)).collect();
  registry.add(0, &crashes);
  assert_eq!(culprits(&mut registry, 100), [BYSTANDER]);
  registry.record_served(200, content::Key(BYSTANDER));
  let release = Quarantined {
    content: content::Key(BYSTANDER),
    left_ms: 0,
  };
  assert_eq!(registry.published(5_000), [release]);
  assert!(registry.published(60_000).is_empty());
}

/// Two lease holders that publish each other's releases went on with that for good.
#[test]
fn a_release_that_is_published_again_is_not_a_new_one() {
  let release = Quarantined {
    content: content::Key(BYSTANDER),
    left_ms: 0,
  };
  let mut registry = Registry::default();
  registry.quarantine(0, release);
  registry.quarantine(8_000, release);
  assert_eq!(registry.published(9_000), [release]);
  assert!(registry.published(12_000).is_empty());
}
