//! Policies: selectors, precedence, slices, keep-alive and comparison.

use bendsaddle::{
  catalog::{Catalog, Model},
  compare::{Sample, quantile, table},
  history::History,
  journal::{Entry, Line},
  object::{Kind, Name},
  policy::Policy,
  rendezvous,
  replica::Id,
  selector::{Labels, Selector},
  settings::Settings,
  share::divide,
};
use serde_json::json;
use std::collections::BTreeMap;

fn labels(pairs: &[(&str, &str)]) -> Labels {
  let pairs = pairs.iter();
  pairs
    .map(|(key, value)| (key.to_string(), value.to_string()))
    .collect()
}

fn selects(selector: serde_json::Value, pairs: &[(&str, &str)]) -> bool {
  let selector: Selector = serde_json::from_value(selector).unwrap();
  selector.matches(&labels(pairs))
}

#[test]
fn selectors_know_equality_and_set_forms() {
  let office = [("site", "sk"), ("tier", "gold")];
  assert!(selects(json!({}), &office));
  assert!(selects(json!({ "matchLabels": { "site": "sk" } }), &office));
  assert!(!selects(
    json!({ "matchLabels": { "site": "pe" } }),
    &office
  ));
  let expression = |operator: &str, values: &[&str]| json!({ "matchExpressions": [{ "key": "tier", "operator": operator, "values": values }] });
  assert!(selects(expression("In", &["gold", "iron"]), &office));
  assert!(!selects(expression("NotIn", &["gold"]), &office));
  assert!(selects(expression("NotIn", &["gold"]), &[("site", "sk")]));
  assert!(selects(expression("Exists", &[]), &office));
  assert!(selects(expression("DoesNotExist", &[]), &[("site", "sk")]));
}

fn catalog(policies: &[(&str, serde_json::Value)]) -> Catalog {
  let mut catalog = Catalog::default();
  for (name, value) in policies {
    let name = Name::new(Kind::Policy, *name);
    catalog.put(&name, Some(&value.to_string())).unwrap();
  }
  catalog
}

fn model(pairs: &[(&str, &str)]) -> Model {
  Model {
    labels: labels(pairs).into(),
    memory_mb: 1,
    base: None,
  }
}

fn policy_name(catalog: &Catalog, model: &Model, caller: u64) -> Option<String> {
  catalog
    .policy(model, caller)
    .map(|(name, _)| name.to_string())
}

#[test]
fn the_highest_precedence_rules_and_ties_go_to_the_smaller_name() {
  let catalog = catalog(&[
    ("b", json!({ "precedence": 1 })),
    ("a", json!({ "precedence": 1 })),
    (
      "c",
      json!({ "precedence": 2, "models": { "matchLabels": { "site": "pe" } } }),
    ),
  ]);
  assert_eq!(
    policy_name(&catalog, &model(&[("site", "pe")]), 0).as_deref(),
    Some("c")
  );
  assert_eq!(
    policy_name(&catalog, &model(&[("site", "sk")]), 0).as_deref(),
    Some("a")
  );
}

#[test]
fn slices_divide_callers_and_hold_on_to_them() {
  let catalog = catalog(&[
    (
      "new",
      json!({ "precedence": 1, "slice": { "from": 0, "to": 30 } }),
    ),
    ("old", json!({})),
  ]);
  let model = model(&[]);
  let under = |name: &str| {
    let callers = 0..100_u64;
    callers
      .filter(|caller| policy_name(&catalog, &model, *caller).as_deref() == Some(name))
      .count()
  };
  assert_eq!((under("new"), under("old")), (30, 70));
}

#[test]
fn faulty_policies_are_told_field_and_value() {
  let error = |value: serde_json::Value| {
    let name = Name::new(Kind::Policy, "x");
    Catalog::check(&name, Some(&value.to_string())).unwrap_err()
  };
  assert!(error(json!({ "maxReplicas": 1, "minReplicas": 2 })).contains("maxReplicas: `1`"));
  assert!(error(json!({ "slice": { "from": 9, "to": 5 } })).contains("slice: `9..5`"));
  assert!(error(json!({ "furtherAt": 0 })).contains("furtherAt: `0`"));
  assert!(error(json!({ "keepAliv": 0 })).contains("unknown field `keepAliv`"));
  let expression = json!([{ "key": "a", "operator": "In" }]);
  assert!(error(json!({ "models": { "matchExpressions": expression } })).contains("operator `In`"));
  let server = json!({ "address": "host:80", "zone": "a", "memoryMb": 1, "slots": 1,
    "fencing": true });
  let name = Name::new(Kind::Server, "x");
  let error = Catalog::check(&name, Some(&server.to_string())).unwrap_err();
  assert!(
    error.contains("address: `host:80` is not ip:port"),
    "{error}"
  );
}

#[test]
fn settings_are_told_field_and_value() {
  let good = json!({ "instance": "a", "zone": "z", "callers": "127.0.0.1:0",
    "peers": "127.0.0.1:0", "operators": "127.0.0.1:0", "platform": "127.0.0.1:1" });
  assert!(Settings::parse(&format!("// a comment\n{good}")).is_ok());
  let error = |field: &str, value: serde_json::Value| {
    let mut settings = good.clone();
    settings[field] = value;
    Settings::parse(&settings.to_string()).unwrap_err()
  };
  assert!(error("platform", json!("nowhere")).contains("platform: `nowhere`"));
  assert!(error("instance", json!("a/b")).contains("instance: `a/b`"));
  assert!(error("limits", json!({ "queue": 0 })).contains("limits.queue: `0`"));
  assert!(error("limits", json!({ "thrift": 101 })).contains("limits.thrift: `101`"));
  assert!(error("limits", json!({ "quue": 1 })).contains("unknown field `quue`"));
}

#[test]
fn without_history_the_keep_alive_is_what_a_cold_start_is_worth() {
  assert_eq!(History::default().keep_alive(5_000, 600_000), 5_000);
  assert_eq!(History::default().keep_alive(5_000, 1_000), 1_000);
}

#[test]
fn a_model_used_at_short_gaps_is_kept_over_them() {
  let mut history = History::default();
  for _ in 0..50 {
    history.add(900);
  }
  let keep = history.keep_alive(5_000, 600_000);
  assert!((900..5_000).contains(&keep), "{keep}");
}

#[test]
fn a_model_used_at_long_gaps_is_let_go_at_once() {
  let mut history = History::default();
  for _ in 0..50 {
    history.add(3_600_000);
  }
  assert_eq!(history.keep_alive(5_000, 600_000), 0);
}

#[test]
fn old_habits_fade() {
  let mut history = History::default();
  for _ in 0..200 {
    history.add(900);
  }
  for _ in 0..600 {
    history.add(3_600_000);
  }
  assert_eq!(history.keep_alive(5_000, 600_000), 0);
}

#[test]
fn slots_are_divided_by_demand_and_none_is_lost() {
  let demand = BTreeMap::from([
    ("a".to_string(), 6),
    ("b".to_string(), 2),
    ("c".to_string(), 1),
  ]);
  let shares = divide(&[(Id(1), 8), (Id(2), 4)], &demand, 0);
  let slots_of = |id: u64| {
    let shares = shares.iter().filter(|(replica, ..)| *replica == Id(id));
    shares.map(|(.., slots)| slots).sum::<u32>()
  };
  assert_eq!((slots_of(1), slots_of(2)), (8, 4));
  let a: u32 = shares
    .iter()
    .filter(|(_, who, _)| who == "a")
    .map(|(.., slots)| slots)
    .sum();
  assert!(a >= 7, "{shares:?}");
}

#[test]
fn turns_let_everyone_have_the_only_slot() {
  let demand: BTreeMap<String, u32> = ["a", "b", "c"].map(|who| (who.to_string(), 1)).into();
  let mut winners: Vec<String> = (0..3)
    .flat_map(|turn| divide(&[(Id(1), 1)], &demand, turn))
    .filter(|(.., slots)| *slots == 1)
    .map(|(_, who, _)| who)
    .collect();
  winners.sort();
  assert_eq!(winners, ["a", "b", "c"]);
}

#[test]
fn one_member_more_moves_only_its_own_share_of_keys() {
  let members: Vec<String> = (0..10).map(|at| format!("entry-{at}")).collect();
  let more: Vec<String> = (0..11).map(|at| format!("entry-{at}")).collect();
  let keys: Vec<String> = (0..1_000).map(|at| format!("model-{at}")).collect();
  let moved = keys.iter().filter(|key| {
    let (before, after) = (
      rendezvous::owner(&members, key),
      rendezvous::owner(&more, key),
    );
    before != after
  });
  let moved: Vec<_> = moved.collect();
  assert!((50..150).contains(&moved.len()), "{}", moved.len());
  assert!(
    moved
      .iter()
      .all(|key| rendezvous::owner(&more, key) == Some("entry-10"))
  );
}

fn line(entry: Entry) -> Line {
  Line { at: 0, entry }
}

fn lines(policy: &str, cold: usize, waited_ms: u64) -> Vec<Line> {
  let cold = (0..cold).map(|at| {
    line(Entry::Cold {
      model: format!("model-{}", at % 6),
      policy: policy.into(),
      waited_ms: waited_ms + at as u64,
    })
  });
  let idle = (0..6).map(|at| {
    line(Entry::Idle {
      model: format!("model-{at}"),
      policy: policy.into(),
      ms: 1_000 * (at + 1),
    })
  });
  cold.chain(idle).collect()
}

#[test]
fn a_comparison_counts_each_policys_own_and_gives_intervals() {
  let all = [lines("a", 40, 100), lines("b", 40, 900)].concat();
  let a = Sample::new(all.iter(), "a");
  let b = Sample::new(all.iter(), "b");
  assert_eq!((a.cold.len(), b.cold.len()), (40, 40));
  assert_eq!(a.idle_time().value, 21.0);
  let (slow, quick) = (b.cold_start(0.95), a.cold_start(0.95));
  assert!(quick.high < slow.low, "{quick:?} {slow:?}");
  assert_eq!(a.too_small(), None);
  assert_eq!(a.cold_start(0.95), a.cold_start(0.95));
}

#[test]
fn a_small_sample_is_said_to_be_small() {
  let few = lines("a", 3, 100);
  let sample = Sample::new(few.iter(), "a");
  assert!(table(&[("a", sample)]).contains("too small to judge: 3 cold starts, below 30"));
}

#[test]
fn urgent_calls_have_a_part_of_the_budget_to_themselves() {
  use bendsaddle::bucket::Bucket;
  let start = bendsaddle::clock::Moment::now();
  let mut bucket = Bucket::new(8, start);
  let taken = |bucket: &mut Bucket, urgent| {
    (0..20)
      .filter(|_| bucket.acquire(urgent, start).is_ok())
      .count()
  };
  assert_eq!(taken(&mut bucket, false), 6);
  assert_eq!(taken(&mut bucket, true), 2);
  let later = start + std::time::Duration::from_secs(5);
  bucket.set_rate(4);
  assert_eq!(
    (0..20)
      .filter(|_| bucket.acquire(true, later).is_ok())
      .count(),
    4
  );
}

#[test]
fn quantiles_are_values_of_the_sample() {
  assert_eq!(quantile(&[], 0.5), 0.0);
  assert_eq!(quantile(&[3.0, 1.0, 2.0], 0.5), 2.0);
  assert_eq!(quantile(&[3.0, 1.0, 2.0], 0.99), 3.0);
}

#[test]
fn the_examples_are_valid() {
  for site in ["prevodna", "fichas"] {
    let folder = std::path::Path::new("examples").join(site);
    let mut catalog = Catalog::default();
    let mut files = 0;
    for entry in std::fs::read_dir(folder).unwrap() {
      let path = entry.unwrap().path();
      assert_eq!(
        bendsaddle::apply::validation_errors(&path),
        Vec::<String>::new(),
        "{path:?}"
      );
      for (name, spec) in bendsaddle::apply::read(&path).unwrap() {
        catalog.put(&name, Some(&spec.to_string())).unwrap();
      }
      files += 1;
    }
    assert!(files > 0);
    assert_eq!(catalog.dangling(), Vec::<String>::new());
    assert_eq!((catalog.models.len(), catalog.servers.len()), (110, 10));
    assert_eq!(catalog.services["portal"].addresses.len(), 3);
  }
}

#[test]
fn a_policy_without_fields_is_the_default() {
  assert_eq!(
    serde_json::from_str::<Policy>("{}").unwrap(),
    Policy::default()
  );
}
