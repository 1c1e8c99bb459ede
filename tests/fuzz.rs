//! Decoders of external input, run on arbitrary bytes: they don't panic, and an accepted value is
//! the same after it is encoded and decoded again.

use bendsaddle::{
  apply,
  batch::Batch,
  catalog::Catalog,
  claim::{Act, Change, Outcome, Progress, Shard},
  engine::Sequence,
  event::{Call, Delta, Event},
  fact::{Body, Fact, Key, Version},
  notice::Notice,
  object::{Kind, Name, Object},
  reduce::reduce,
  replica::Id,
  report::Report,
  settings::{Limits, Settings},
  state::{Identity, State},
  update::Value,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};

const INPUT_COUNT: u64 = 2_000;

fn check(seed: u64, property: impl Testable) {
  QuickCheck::new()
    .rng(Gen::from_size_and_seed(200, seed))
    .tests(INPUT_COUNT)
    .min_tests_passed(INPUT_COUNT)
    .quickcheck(property);
}

/// JSON-like text, which gets further into a decoder than random bytes.
#[derive(Clone, Debug)]
struct Text(String);

impl Arbitrary for Text {
  fn arbitrary(generator: &mut Gen) -> Self {
    const PARTS: [&str; 24] = [
      "{",
      "}",
      "[",
      "]",
      ":",
      ",",
      "\"",
      "1",
      "-1",
      "1e999",
      "null",
      "true",
      "//",
      "/*",
      "\\u0000",
      "\"kind\":\"policy\"",
      "\"name\":\"x\"",
      "\"spec\":{",
      "\"memoryMb\":0",
      "\"replicas\":[",
      "\"claims\":{",
      "\"value\":",
      "data: ",
      "\"index\":18446744073709551615",
    ];
    let length = usize::arbitrary(generator) % 40;
    let part = |_| *generator.choose(&PARTS).unwrap_or(&"");
    Self((0..length).map(part).collect())
  }
}

fn state() -> State {
  let identity = Identity {
    instance: "entry-0".into(),
    zone: "zone".into(),
    peer_address: "10.0.0.1:1".into(),
    operator_address: "10.0.0.1:2".into(),
    boot: 1,
    seeds: Vec::new(),
  };
  State::new(identity, Limits::default(), 1, 1)
}

#[test]
fn facts_and_notices_survive_any_bytes() {
  fn property(bytes: Vec<u8>) -> bool {
    let fact = Fact::decode(&bytes);
    let encoded = fact.as_ref().map(Fact::encode);
    let is_same = encoded.is_none_or(|encoded| Fact::decode(&encoded) == fact);
    drop(Notice::decode(&bytes));
    is_same
  }
  check(1, property as fn(Vec<u8>) -> bool);
}

#[test]
fn the_reducer_takes_any_delta() {
  fn property(facts: Vec<Vec<u8>>, seen: u64, upto: u64, buckets: Vec<u64>) -> bool {
    let mut state = state();
    let delta = Delta {
      from: "entry-1".into(),
      boot: 2,
      seen,
      upto,
      facts,
      buckets,
    };
    let call = Call(1);
    let effects = reduce(&mut state, 10, Event::Exchange { call, delta });
    // The peer gets a response to any delta.
    effects
      .iter()
      .any(|effect| matches!(effect, bendsaddle::effect::Effect::Answer { .. }))
  }
  check(2, property as fn(Vec<Vec<u8>>, u64, u64, Vec<u64>) -> bool);
}

#[test]
fn a_fact_about_this_instance_cannot_silence_it() {
  fn property(incarnation: u32, health: u8) -> bool {
    use bendsaddle::fact::{Health, Member};
    let mut state = state();
    let health = [Health::Alive, Health::Suspect, Health::Dead][usize::from(health) % 3];
    let member = Member {
      address: "10.0.0.1:1".into(),
      operators: "10.0.0.1:2".into(),
      zone: "zone".into(),
      boot: 1,
      leaving: false,
      health,
    };
    let fact = Fact {
      key: Key::Member("entry-0".into()),
      version: Version(1, u64::from(incarnation) * 4 + health as u64),
      body: Body::Member(member),
    };
    let delta = Delta {
      from: "entry-1".into(),
      boot: 2,
      facts: vec![fact.encode()],
      ..Delta::default()
    };
    reduce(
      &mut state,
      10,
      Event::Exchange {
        call: Call(1),
        delta,
      },
    );
    state.members.live == ["entry-0"]
  }
  check(3, property as fn(u32, u8) -> bool);
}

#[test]
fn settings_objects_and_records_survive_any_text() {
  fn property(text: Text) -> bool {
    let text = &text.0;
    drop(Settings::parse(text));
    for kind in Kind::CONFIGURED {
      drop(Catalog::check(&Name::new(kind, "x"), Some(text)));
    }
    for kind in [
      Kind::ModelRecord,
      Kind::ServerRecord,
      Kind::Claims,
      Kind::Batch,
    ] {
      drop(Value::decode(kind, text));
    }
    drop(serde_json::from_str::<Report>(text));
    drop(serde_json::from_str::<Batch>(text));
    true
  }
  check(4, property as fn(Text) -> bool);
}

#[test]
fn an_object_from_the_platform_is_taken_or_shown_as_rejected() {
  fn property(text: Text, version: u32) -> bool {
    let mut state = state();
    let name = Name::new(Kind::Policy, "x");
    let version = u64::from(version) + 1;
    let object = Object {
      name: name.clone(),
      version,
      value: Some(text.0),
    };
    reduce(&mut state, 10, Event::ConfigurationRead(vec![object]));
    let accepted = state.facts.version(&Key::Object(name.clone())).0 == version;
    let rejected = state.facts.version(&Key::Rejected(name)).0 == version;
    accepted != rejected
  }
  check(5, property as fn(Text, u32) -> bool);
}

#[test]
fn files_of_any_text_are_judged() {
  fn property(text: Text) -> bool {
    let path = std::env::temp_dir().join(format!("bendsaddle-fuzz-{}", std::process::id()));
    std::fs::write(&path, &text.0).unwrap();
    drop(apply::validation_errors(&path));
    true
  }
  check(6, property as fn(Text) -> bool);
}

#[test]
fn a_token_stream_of_any_lines_is_never_whole_by_chance() {
  fn property(lines: Vec<Text>) -> bool {
    let mut sequence = Sequence::new("attempt", 0);
    let tokens: usize = lines.iter().map(|line| sequence.push(&line.0).len()).sum();
    tokens == 0 && !sequence.is_complete()
  }
  check(7, property as fn(Vec<Text>) -> bool);
}

/// Any order of chunks, also with duplicates, gives the same tokens.
#[test]
fn a_token_stream_in_any_order_gives_each_token_once() {
  fn property(order: Vec<u8>) -> bool {
    const TOKENS: usize = 8;
    let mut lines: Vec<String> = (0..TOKENS)
      .map(|at| format!("data: {{\"attempt\":\"a\",\"index\":{at},\"text\":\"t{at} \"}}"))
      .collect();
    lines.push(format!("data: {{\"attempt\":\"a\",\"total\":{TOKENS}}}"));
    let mut sequence = Sequence::new("a", 0);
    let picks = order.iter().map(|pick| usize::from(*pick) % lines.len());
    let mut text = String::new();
    for pick in picks.chain(0..lines.len()) {
      text += &sequence.push(&lines[pick]).concat();
    }
    sequence.is_complete() && text == "t0 t1 t2 t3 t4 t5 t6 t7 "
  }
  check(8, property as fn(Vec<u8>) -> bool);
}

/// For any sequence of claims, completions and releases, a key has one holder until it is released,
/// and its outcome doesn't change.
#[test]
fn a_key_has_one_holder() {
  fn property(steps: Vec<(u8, u8, u8)>) -> bool {
    let mut shard = Shard::default();
    let mut holders: std::collections::BTreeMap<u64, String> = Default::default();
    for (key, token, act) in steps {
      let key = u64::from(key % 4);
      let token = format!("t{}", token % 3);
      let act = match act % 4 {
        0 | 1 => Act::Take { expires: 1_000 },
        2 => Act::Finish {
          progress: Progress::Unknown,
        },
        _ => Act::Free,
      };
      let change = Change {
        key,
        token: token.clone(),
        act: act.clone(),
      };
      shard.apply(std::slice::from_ref(&change), 1);
      let outcome = shard.outcome(&change);
      match act {
        Act::Take { .. } if outcome == Outcome::Granted => {
          let holder = holders.entry(key).or_insert_with(|| token.clone());
          if *holder != token {
            return false;
          }
        }
        Act::Free if !shard.claims.contains_key(&key) => drop(holders.remove(&key)),
        _ => {}
      }
    }
    true
  }
  check(9, property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn a_placement_for_a_replica_nobody_knows_is_harmless() {
  let mut state = state();
  let fact = Fact {
    key: Key::Residence("nowhere".into()),
    version: Version(1, 1),
    body: Body::Residence {
      residents: vec![bendsaddle::fact::Resident {
        replica: Id(7),
        stage: bendsaddle::report::Stage::Ready,
      }],
      leaving: false,
    },
  };
  let delta = Delta {
    from: "entry-1".into(),
    boot: 2,
    facts: vec![fact.encode()],
    ..Delta::default()
  };
  reduce(
    &mut state,
    10,
    Event::Exchange {
      call: Call(1),
      delta,
    },
  );
  assert_eq!(
    state.facts.version(&Key::Residence("nowhere".into())),
    Version(1, 1)
  );
}
