//! Random histories of a planner: entries of servers that come, change and go, also with numbers and names that
//! no sound server states, and answers that arrive late, for servers and models that are gone.

use bendsaddle::{
  backend::{Spec, Stage},
  build,
  command::{Command, Inventory, Taken, Unheard},
  demand::{Demand, Model},
  deployment::{Checkpoint, Deployment, Engine, Pool},
  life::Life,
  placement::{
    plan::{Effect, OtherServer, Plan, Report},
    urgency::Wait,
  },
  strain::Sample,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::{
  collections::{BTreeMap, BTreeSet},
  net::SocketAddr,
  panic::{AssertUnwindSafe, catch_unwind},
  sync::Arc,
};

/// Histories that are tried, and their largest number of steps.
const HISTORIES: u64 = 5_000;
const MAX_STEPS: usize = 120;
const SERVERS: u8 = 5;
const MODELS: [&str; 4] = ["one", "two", "three", ""];
const POOLS: [&str; 3] = ["pool", "plain", "unknown"];
/// Counts and times, most of which no sound server states.
const NUMBERS: [u64; 8] = [
  0,
  1,
  2,
  3_000,
  u32::MAX as u64,
  1 << 40,
  u64::MAX - 1,
  u64::MAX,
];

/// A choice among a few possibilities each: what happens, and to what.
#[derive(Clone, Copy, Debug)]
struct Step {
  kind: u8,
  server: u8,
  model: u8,
  number: u8,
  other: u8,
}

impl Arbitrary for Step {
  fn arbitrary(generator: &mut Gen) -> Self {
    Self {
      kind: u8::arbitrary(generator),
      server: u8::arbitrary(generator) % SERVERS,
      model: u8::arbitrary(generator),
      number: u8::arbitrary(generator),
      other: u8::arbitrary(generator),
    }
  }
}

#[derive(Clone, Debug)]
struct History(Vec<Step>);

impl Arbitrary for History {
  fn arbitrary(generator: &mut Gen) -> Self {
    let count = usize::arbitrary(generator) % MAX_STEPS;
    Self((0..count).map(|_| Step::arbitrary(generator)).collect())
  }

  fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
    let steps = self.0.clone();
    Box::new((0..steps.len()).map(move |index| {
      let mut shorter = steps.clone();
      shorter.remove(index);
      Self(shorter)
    }))
  }
}

fn id(server: u8) -> String {
  format!("i-{server}")
}

fn address(server: u8) -> SocketAddr {
  SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::from(server)))
}

impl Step {
  fn number(self) -> u64 {
    NUMBERS[usize::from(self.number) % NUMBERS.len()]
  }

  fn other_number(self) -> u64 {
    NUMBERS[usize::from(self.other) % NUMBERS.len()]
  }

  fn name(self) -> &'static str {
    MODELS[usize::from(self.model) % MODELS.len()]
  }

  fn pool(self) -> &'static str {
    POOLS[usize::from(self.other / 8) % POOLS.len()]
  }

  /// Some models, each with some adapters.
  fn models(self) -> BTreeMap<String, Vec<String>> {
    let held = MODELS.iter().enumerate();
    let held = held.filter(|(index, _)| self.model >> index & 1 == 1);
    let adapters = || match self.other % 3 {
      0 => Vec::new(),
      1 => vec!["a1".into()],
      _ => vec!["a1".into(), "a1".into(), "strange".into()],
    };
    held
      .map(|(_, name)| (name.to_string(), adapters()))
      .collect()
  }

  fn spec(self) -> Spec {
    let copies = |shift: u8| {
      let chosen = MODELS.iter().enumerate();
      let chosen = chosen.filter(|(index, _)| self.other >> (*index as u8 + shift) & 1 == 1);
      chosen.map(|(_, name)| name.to_string()).collect()
    };
    Spec {
      id: id(self.server),
      born: self.number(),
      build: build::Id::of("1"),
      pool: self.pool().into(),
      address: address(self.server),
      zone: "a".into(),
      slots: self.other_number() as u32,
      stage: match self.other % 4 {
        0 => Stage::Draining,
        _ => Stage::Ready,
      },
      models: self.models(),
      in_memory: copies(0),
      on_disk: copies(4),
    }
  }

  fn inventory(self) -> Result<Inventory, Unheard> {
    match self.other % 5 {
      0 => Err(Unheard::Ended),
      1 => Err(Unheard::Silent),
      _ => Ok(Inventory {
        born: self.number(),
        models: self.models(),
        incoming: match self.other % 2 {
          0 => BTreeMap::new(),
          _ => self.models(),
        },
        busy: self.number.is_multiple_of(2),
        orders: self.other_number(),
        queued: self.number() as u32,
        running: self.other_number() as u32,
      }),
    }
  }

  fn taken(self) -> Taken {
    match self.other % 7 {
      0 => Taken::Accepted,
      1 => Taken::Done,
      2 => Taken::Conflict,
      3 => Taken::Declined(500),
      4 => Taken::Replaced,
      5 => Taken::NotSent,
      _ => Taken::Unknown,
    }
  }

  fn report(self) -> Report {
    let life = Life::of(&id(self.server), self.number());
    // Instances count their own requests, so these are sound numbers.
    let (count, ms) = (u32::from(self.other), 100 * u32::from(self.number));
    let name = match self.other % 2 {
      0 => self.name().to_string(),
      _ => format!("{}/a1", self.name()),
    };
    let model = Model::parse(&name);
    Report {
      instance: "one".into(),
      machine: u32::from(self.server),
      demand: vec![Demand {
        pool: self.pool().into(),
        model: model.clone(),
        waiting: count,
        priority: self.other,
        age_ms: ms.into(),
        waits: vec![Wait {
          requests: count,
          objective_ms: ms,
          patience_ms: 2 * ms,
        }],
      }],
      running: vec![(life, model.clone(), count)],
      missing: vec![(life, self.name().into())],
      resting: vec![life],
      strain: Vec::<Sample>::new(),
      known: vec![self.number()],
      behind: self.other.is_multiple_of(2),
    }
  }
}

fn deployment(step: Step) -> Arc<Deployment> {
  let checkpoint = Checkpoint {
    memory_mb: 70,
    warm_ms: 400,
    disk_ms: 800,
    remote_ms: 6_000,
    adapters: vec!["a1".into(), "a2".into()],
    adapter_mb: 1,
  };
  let models = step.models().into_keys();
  let engine = Engine {
    slots: 64,
    kv_tokens: 100_000,
    memory_mb: 230,
    adapter_slots: 2,
    loads_per_s: 3.0,
    models: models.map(|name| (name, checkpoint.clone())).collect(),
  };
  let pool = |engine| Pool {
    engine,
    ..Pool::default()
  };
  let mut pools = BTreeMap::from([("plain".into(), pool(None))]);
  if !step.other.is_multiple_of(4) {
    pools.insert("pool".into(), pool(Some(Arc::new(engine))));
  }
  Arc::new(Deployment {
    version: 1,
    pools,
    ..Deployment::default()
  })
}

/// A planner, the entries that it is given, and its orders that have no result yet.
struct World {
  plan: Plan,
  now: u64,
  term: u64,
  deployment: Arc<Deployment>,
  entries: BTreeMap<u8, Spec>,
  orders: Vec<Command>,
}

impl World {
  fn new() -> Self {
    let mut plan = Plan::new("10.0.0.1", 0, 5_000, 1.0);
    plan.start_term(0, 1);
    let all = Step {
      kind: 0,
      server: 0,
      model: u8::MAX,
      number: 0,
      other: 1,
    };
    Self {
      plan,
      now: 10_000,
      term: 1,
      deployment: deployment(all),
      entries: BTreeMap::new(),
      orders: Vec::new(),
    }
  }

  fn update(&mut self) {
    let specs = self.entries.values().cloned().collect();
    self.plan.update_servers(self.deployment.clone(), specs);
  }

  fn apply(&mut self, step: Step) {
    match step.kind % 13 {
      0..=2 => {
        self.entries.insert(step.server, step.spec());
        self.update();
      }
      3 => {
        self.entries.remove(&step.server);
        self.update();
      }
      4 => {
        self.deployment = deployment(step);
        self.update();
      }
      5 => {
        self.term += 1;
        self.plan.start_term(self.now, self.term);
      }
      6 => self
        .plan
        .receive_inventory(self.now, &id(step.server), step.inventory()),
      7 if !self.orders.is_empty() => {
        let command = self
          .orders
          .remove(usize::from(step.number) % self.orders.len());
        self
          .plan
          .record_order_result(self.now, &command, step.taken());
      }
      8 => self
        .plan
        .receive_report(self.now, address(step.server), step.report()),
      9 => {
        let limited = BTreeSet::from([Life::of(&id(step.server), step.number())]);
        self.plan.update_limited(&limited);
      }
      10 => self.plan.update_other_servers(vec![OtherServer {
        group: step.other_number() as u32,
        pool: step.pool().into(),
        models: step.models(),
        copies: step.models().into_keys().collect(),
      }]),
      _ => self.now += u64::from(step.number) * u64::from(step.other),
    }
    for effect in self.plan.step(self.now) {
      if let Effect::Order(command) = effect {
        self.orders.push(command);
      }
    }
  }
}

/// Whatever servers state of themselves, and whenever they are gone, no event ends the planner.
#[test]
fn no_history_of_servers_ends_the_planner() {
  fn holds(history: History) -> bool {
    let run = || {
      let mut world = World::new();
      history.0.iter().for_each(|step| world.apply(*step));
    };
    catch_unwind(AssertUnwindSafe(run)).is_ok()
  }
  QuickCheck::new()
    .tests(HISTORIES)
    .max_tests(HISTORIES)
    .quickcheck(holds as fn(History) -> bool);
}
