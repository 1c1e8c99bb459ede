//! Replication of holdings to other instances: a lost datagram is detected, only its content is
//! sent again, and nothing is sent again to an instance that is up to date.

use bendsaddle::{
  backend::{Holding, Spec, Stage},
  build,
  command::Inventory,
  demand::Model,
  deployment::{Checkpoint, Deployment, Engine, Pool},
  life::Life,
  placement::plan::{Effect, Plan, Publication, Report},
  replication::{Ahead, Fit, Position, parts},
};
use std::{
  collections::{BTreeMap, BTreeSet, VecDeque},
  net::SocketAddr,
  sync::Arc,
};

const SERVERS: usize = 30;
const TERM: u64 = 3;
/// Interval between two steps of the holder, ms.
const STEP_MS: u64 = 10;
/// Interval between two reports of an instance, ms.
const REPORT_MS: u64 = 300;
/// Steps until a report reaches the holder, which publishes changes in the meantime.
const REPORT_DELAY_STEPS: u64 = 3;

/// An instance that receives holdings.
#[derive(Default)]
struct Instance {
  known: Position,
  ahead: Ahead,
  holdings: BTreeMap<String, Holding>,
  behind: bool,
}

impl Instance {
  /// Applies an update except for the lost datagrams.
  fn receive(&mut self, update: &Publication, lost: impl Fn(usize) -> bool) {
    for (number, part) in parts(update).into_iter().enumerate() {
      if lost(number) {
        continue;
      }
      let range = (TERM, part.since, part.latest);
      let (fit, holdings) = self.ahead.receive(&mut self.known, range, part.holdings);
      match fit {
        Fit::Gap => self.behind = true,
        Fit::Snapshot => self.holdings.clear(),
        Fit::Consecutive => {}
      }
      for holding in holdings {
        self.holdings.insert(holding.id.clone(), holding);
      }
    }
  }

  fn report(&mut self) -> Report {
    Report {
      instance: "other".into(),
      machine: 2,
      demand: Vec::new(),
      running: Vec::new(),
      missing: Vec::new(),
      resting: Vec::new(),
      strain: Vec::new(),
      known: vec![self.known.count],
      behind: std::mem::take(&mut self.behind),
    }
  }
}

/// A holder whose servers change their loaded models.
struct Holder {
  plan: Plan,
  now: u64,
  /// Models that servers report as loaded, by server ID.
  held: BTreeMap<String, String>,
  /// Number of holdings sent to single instances.
  resent: usize,
}

fn address() -> SocketAddr {
  "127.0.0.1:2000".parse().unwrap()
}

fn spec(number: usize) -> Spec {
  Spec {
    id: format!("s{number:02}"),
    born: 0,
    build: build::Id::of("1"),
    pool: "pool".into(),
    address: "127.0.0.1:1".parse().unwrap(),
    zone: "a".into(),
    slots: 8,
    stage: Stage::Ready,
    models: BTreeMap::new(),
    in_memory: Vec::new(),
    on_disk: Vec::new(),
  }
}

fn deployment() -> Deployment {
  let checkpoint = Checkpoint {
    memory_mb: 10,
    warm_ms: 400,
    disk_ms: 800,
    remote_ms: 6_000,
    adapters: Vec::new(),
    adapter_mb: 1,
  };
  let models = ["m0", "m1", "m2"].map(|name| (name.to_string(), checkpoint.clone()));
  let engine = Engine {
    slots: 8,
    kv_tokens: 1_000,
    memory_mb: 100,
    adapter_slots: 2,
    loads_per_s: 10.0,
    models: models.into_iter().collect(),
  };
  let pool = Pool {
    engine: Some(Arc::new(engine)),
    ..Pool::default()
  };
  Deployment {
    pools: [("pool".to_string(), pool)].into_iter().collect(),
    ..Deployment::default()
  }
}

impl Holder {
  fn open() -> Self {
    let mut plan = Plan::new("holder", 0, 5_000, 1.0);
    plan.start_term(0, TERM);
    plan.update_servers(Arc::new(deployment()), (0..SERVERS).map(spec).collect());
    plan.set_publish_interval(0);
    let mut holder = Self {
      plan,
      now: 10_000,
      held: BTreeMap::new(),
      resent: 0,
    };
    holder
      .plan
      .receive_report(holder.now, address(), Instance::default().report());
    holder
  }

  /// Replaces the model of a server, which then reports the new one in its inventory.
  fn set_model(&mut self, server: usize, model: &str) {
    self.held.insert(format!("s{server:02}"), model.into());
    let id = format!("s{server:02}");
    self.send_inventory(&id);
  }

  fn send_inventory(&mut self, id: &str) {
    let model = self.held.get(id).cloned().unwrap_or_else(|| "m0".into());
    let inventory = Inventory {
      born: 0,
      models: [(model, Vec::new())].into_iter().collect(),
      incoming: BTreeMap::new(),
      busy: false,
      orders: 0,
      queued: 0,
      running: 0,
    };
    self.plan.receive_inventory(self.now, id, Ok(inventory));
  }

  /// Runs a step. Returns the updates published to all instances and those sent to one instance.
  fn step(&mut self) -> (Vec<Publication>, Vec<Publication>) {
    self.now += STEP_MS;
    let mut published = (Vec::new(), Vec::new());
    for effect in self.plan.step(self.now) {
      match effect {
        Effect::Query { id, .. } => self.send_inventory(&id),
        Effect::Publish(update) if update.to.is_some() => {
          self.resent += update.holdings.len();
          published.1.push(update);
        }
        Effect::Publish(update) => published.0.push(update),
        Effect::Order(_) | Effect::Log { .. } => {}
      }
    }
    published
  }
}

/// Simulates a change at every step. `lost` tells which parts of the updates to all instances
/// are dropped.
fn simulate(steps: u64, lost: impl Fn(u64, usize) -> bool) -> (Holder, Instance) {
  let (mut holder, mut instance) = (Holder::open(), Instance::default());
  let mut reports: VecDeque<(u64, Report)> = VecDeque::new();
  for step in 0..steps {
    while let Some((_, report)) = reports.pop_front_if(|(at, _)| *at <= step) {
      holder.plan.receive_report(holder.now, address(), report);
    }
    // Each server gets a different model than the last time.
    let model = ["m0", "m1", "m2"][step as usize / SERVERS % 3];
    holder.set_model(step as usize % SERVERS, model);
    let (all, direct) = holder.step();
    all
      .iter()
      .for_each(|update| instance.receive(update, |part| lost(step, part)));
    direct
      .iter()
      .for_each(|update| instance.receive(update, |_| false));
    let due = (step * STEP_MS).is_multiple_of(REPORT_MS);
    if due || instance.behind {
      reports.push_back((step + REPORT_DELAY_STEPS, instance.report()));
    }
  }
  (holder, instance)
}

fn assert_in_sync(holder: &Holder, instance: &Instance) {
  for (id, model) in &holder.held {
    let held = instance.holdings[id].models.keys();
    assert_eq!(held.collect::<Vec<_>>(), [model], "{id}");
  }
}

#[test]
fn an_instance_that_lacks_nothing_is_sent_nothing() {
  let (mut holder, mut instance) = simulate(300, |_, _| false);
  let before = holder.resent;
  // Only the first snapshot may be sent to the instance alone.
  assert!(before <= SERVERS, "{before} holdings were sent again");
  for _ in 0..100 {
    let (all, _) = holder.step();
    all
      .iter()
      .for_each(|update| instance.receive(update, |_| false));
  }
  assert_in_sync(&holder, &instance);
}

#[test]
fn only_what_was_lost_is_sent_again() {
  let (mut holder, mut instance) = simulate(600, |step, _| step % 20 == 7);
  // One update in twenty is lost, and some changes follow before the gap is detected.
  assert!(holder.resent <= SERVERS + 600 / 20 * 6, "{}", holder.resent);
  for _ in 0..100 {
    let (all, direct) = holder.step();
    all
      .iter()
      .chain(&direct)
      .for_each(|update| instance.receive(update, |_| false));
    holder
      .plan
      .receive_report(holder.now, address(), instance.report());
  }
  assert_in_sync(&holder, &instance);
}

#[test]
fn a_lost_part_in_the_middle_is_noticed() {
  let holding = |number: usize| Holding {
    id: format!("s{number}"),
    ..Holding::default()
  };
  let update = Publication {
    to: None,
    since: 0,
    latest: 20,
    holdings: (0..20)
      .map(|number| (number as u64 + 1, holding(number)))
      .collect(),
    paces: Vec::new(),
    unanswered: None,
    loads: None,
    waiting: Vec::new(),
  };
  let count = parts(&update).len();
  assert!(count > 2);
  for missing in 0..count {
    let mut instance = Instance::default();
    instance.receive(&update, |part| part == missing);
    let last = missing == count - 1;
    assert!(
      instance.behind || last,
      "part {missing} was lost undetected"
    );
    assert!(instance.known.count < update.latest);
  }
  let mut instance = Instance::default();
  instance.receive(&update, |_| false);
  let ids: BTreeSet<&String> = instance.holdings.keys().collect();
  assert_eq!((ids.len(), instance.known.count), (20, 20));
}

#[test]
fn counts_of_an_earlier_term_do_not_count() {
  let mut known = Position { term: 1, count: 40 };
  assert_eq!(known.advance(2, 30, 41), Fit::Gap);
  assert_eq!(known, Position { term: 2, count: 0 });
  assert_eq!(known.advance(2, 0, 9), Fit::Snapshot);
  assert_eq!(known.advance(2, 9, 12), Fit::Consecutive);
  assert_eq!(known.advance(2, 13, 14), Fit::Gap);
  assert_eq!(known.count, 12);
}

#[test]
fn datagrams_that_overtake_each_other_leave_no_gap_and_no_older_holding() {
  // Two datagrams of one publication, and of two, arrive in the other order: the instance asked
  // for changes that it had received, and then took an older holding of a server for its newest.
  let holding = |model: &str| Holding {
    id: "s".into(),
    models: BTreeMap::from([(model.to_string(), Vec::new())]),
    ..Holding::default()
  };
  let publication = |since, latest, model: &str| Publication {
    to: None,
    since,
    latest,
    holdings: vec![(latest, holding(model))],
    paces: Vec::new(),
    unanswered: None,
    waiting: Vec::new(),
    loads: None,
  };
  let mut instance = Instance::default();
  instance.receive(&publication(0, 5, "first"), |_| false);
  instance.receive(&publication(6, 7, "third"), |_| false);
  assert!(instance.holdings["s"].models.contains_key("third"));
  instance.receive(&publication(5, 6, "second"), |_| false);
  assert_eq!(instance.known.count, 7);
  assert!(instance.holdings["s"].models.contains_key("third"));
  instance.receive(&publication(5, 6, "second"), |_| false);
  assert!(
    instance.holdings["s"].models.contains_key("third"),
    "a datagram that arrives late"
  );
}

// Guards against instances that never learn the loads of servers while holdings change all the time.
#[test]
fn loads_are_published_although_holdings_change_at_every_step() {
  let mut holder = Holder::open();
  let model = Model::parse("m0");
  let running = vec![(Life::of("s00", 0), model, 3)];
  let mut published = 0;
  for step in 0..200 {
    holder.set_model(step % SERVERS, ["m0", "m1", "m2"][step / SERVERS % 3]);
    let report = Report {
      running: running.clone(),
      ..Instance::default().report()
    };
    holder.plan.receive_report(holder.now, address(), report);
    let (all, _) = holder.step();
    published += all.iter().filter(|update| update.loads.is_some()).count();
  }
  // Every 500 ms of 2 s.
  assert!((3..=5).contains(&published), "published {published} times");
}
