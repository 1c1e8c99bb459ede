//! Decisions of a single reducer, with the result of each effect supplied step by step.

use bendsaddle::{
  effect::Effect,
  event::{Event, Tag},
  ledger,
  object::{Kind, Name, Object},
  record,
  reduce::reduce,
  request::{Class, Descriptor, Ticket, Work},
  settings::Limits,
  state::{Identity, State},
  update::{Change, Outcome, Rejection, Stored, Value},
};
use serde_json::json;

const START: u64 = 1_000_000;

/// An instance that has read a model and two servers, and the effects of that read.
fn state() -> (State, Vec<Effect>) {
  let identity = Identity {
    instance: "entry-0".into(),
    zone: "zone".into(),
    peer_address: "10.0.0.1:1".into(),
    operator_address: "10.0.0.1:2".into(),
    boot: START,
    seeds: Vec::new(),
  };
  let mut state = State::new(identity, Limits::default(), 1, START);
  let object = |kind, name: &str, version, value: serde_json::Value| Object {
    name: Name::new(kind, name),
    version,
    value: Some(value.to_string()),
  };
  let server = |at: u64| {
    let value = json!({ "address": format!("10.0.1.{at}:1"), "zone": "zone", "memoryMb": 100,
      "slots": 2, "fencing": true });
    object(Kind::Server, &format!("server-{at}"), at, value)
  };
  let model = object(Kind::Model, "contracts", 9, json!({ "memoryMb": 60 }));
  let objects = vec![server(1), server(2), model];
  let effects = reduce(&mut state, START, Event::ConfigurationRead(objects));
  (state, effects)
}

fn request_arrived() -> Event {
  Event::RequestArrived(Descriptor {
    ticket: Ticket(1),
    work: Work::Model {
      model: "contracts".into(),
    },
    class: Class::Interactive,
    deadline: START + 30_000,
    caller: 1,
  })
}

/// Returns the update or read of the model's record among the effects.
fn record_update(effects: &[Effect]) -> Option<(Tag, Name, Option<Change>)> {
  effects.iter().find_map(|effect| match effect {
    Effect::Update {
      tag, name, change, ..
    } if name.kind == Kind::ModelRecord => Some((tag.clone(), name.clone(), change.clone())),
    _ => None,
  })
}

fn is_read(effects: &[Effect]) -> bool {
  matches!(record_update(effects), Some((Tag::Audit { .. }, _, None)))
}

fn updated(tag: Tag, name: Name, outcome: Outcome) -> Event {
  Event::Updated { tag, name, outcome }
}

fn stored(version: u64, value: Value) -> Stored {
  Stored { version, value }
}

#[test]
fn a_record_not_read_yet_is_read_at_once_when_someone_waits() {
  let (mut state, effects) = state();
  let (tag, name, _) = record_update(&effects).unwrap();
  let lost = updated(tag, name, Outcome::Unavailable);
  assert!(!is_read(&reduce(&mut state, START + 1, lost)));
  let effects = reduce(&mut state, START + 2, request_arrived());
  assert!(is_read(&effects), "{effects:?}");
}

/// Returns the decision to add a replica among the effects, with the record that it results in.
fn added_replica(effects: &[Effect]) -> Option<(Tag, Name, record::Record)> {
  match record_update(effects)? {
    (tag, name, Some(Change::Model(change @ record::Change::Add { .. }))) => {
      let mut record = record::Record::default();
      record.apply(&change).ok()?;
      Some((tag, name, record))
    }
    _ => None,
  }
}

#[test]
fn without_memory_a_server_with_room_is_decided_for_at_once() {
  let (mut state, effects) = state();
  let (tag, name, _) = record_update(&effects).unwrap();
  let absent = stored(0, Value::Model(record::Record::default()));
  let audited = updated(tag, name, Outcome::Applied(absent));
  reduce(&mut state, START + 1, audited);
  let effects = reduce(&mut state, START + 2, request_arrived());
  let (tag, name, record) = added_replica(&effects).unwrap();
  let first = record.replicas[0].server.clone();
  let value = Value::Model(record);
  let mut effects = reduce(
    &mut state,
    START + 3,
    updated(tag, name, Outcome::Applied(stored(20, value.clone()))),
  );
  // The reservation is rejected for lack of memory, the decision is withdrawn, there is no
  // reservation to release, and the replica is removed from the record.
  for at in 4..8 {
    let update = effects.iter().find_map(|effect| match effect {
      Effect::Update {
        tag: tag @ Tag::Job { .. },
        name,
        change: Some(change),
        ..
      } => Some((tag.clone(), name.clone(), change.clone())),
      _ => None,
    });
    let (tag, name, change) = update.unwrap();
    let empty = stored(1, Value::Server(ledger::Ledger::default()));
    let none = stored(20 + at, Value::Model(record::Record::default()));
    let outcome = match change {
      Change::Server(ledger::Change::Reserve { .. }) => {
        Outcome::Rejected(Rejection::Server(ledger::Rejection::Memory), empty)
      }
      Change::Server(_) => Outcome::Rejected(Rejection::Server(ledger::Rejection::Missing), empty),
      _ => Outcome::Applied(none),
    };
    effects = reduce(&mut state, START + at, updated(tag, name, outcome));
  }
  let (_, _, record) = added_replica(&effects).unwrap_or_else(|| panic!("{effects:?}"));
  assert_ne!(record.replicas[0].server, first);
}
