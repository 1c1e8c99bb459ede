//! The planner against servers whose reports lag and whose orders are late, lost or executed out of
//! order, while the lease passes between machines. No order may exceed what a server holds.

use bendsaddle::{
  backend::{Spec, Stage},
  command::{Act, Command, Inventory, Taken, Unheard},
  demand::{Demand, Model},
  deployment::{Checkpoint, Deployment, Engine, Pool},
  life::Life,
  placement::{
    plan::{Effect, Plan, Report},
    urgency::Wait,
  },
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::{
  collections::{BTreeMap, VecDeque},
  panic::{AssertUnwindSafe, catch_unwind},
  sync::Arc,
  thread,
};

const MEMORY_MB: u64 = 230;
const MODEL_MB: u64 = 70;
const ADAPTER_SLOTS: usize = 3;
const MODELS: [&str; 7] = ["a", "b", "c", "d", "e", "f", "g"];
const ADAPTERS: [&str; 5] = ["a1", "a2", "a3", "a4", "a5"];
/// Adapters that may be on their way to a server at once.
const MAX_INCOMING: usize = 4;
const STEP_MS: u64 = 10;
const RUN_MS: u64 = 90_000;
const SEEDS: u64 = 200;
const THREADS: u64 = 4;
/// A run with fewer orders tests nothing.
const MIN_ORDERS: u64 = 20;
/// When an order without a response is given up, ms.
const RESPONSE_TIMEOUT_MS: u64 = 700;
/// Lines of a server's history that a failure prints.
const TRACE_LINES: usize = 60;

/// How the servers of one run behave.
#[derive(Clone, Copy, Debug)]
struct Habits {
  /// Age of what a report states, ms.
  report_lag_ms: u64,
  /// Whether an order that asks for what is already there counts as an order.
  counts_done: bool,
  /// Whether a server is busy while an adapter in use is unloaded.
  busy_with_adapters: bool,
  /// Percentages of orders whose response is lost, and that are executed late.
  lost: u32,
  late: u32,
  /// Factor by which loads take longer than stated.
  slowness: u64,
  /// Time that an adapter takes, ms.
  adapter_ms: u64,
}

impl Habits {
  fn draw(rng: &mut SmallRng) -> Self {
    Self {
      report_lag_ms: rng.random_range(50..400),
      counts_done: rng.random(),
      busy_with_adapters: rng.random(),
      lost: rng.random_range(0..15),
      late: rng.random_range(0..15),
      slowness: *[1, 1, 2, 7].choose(rng).unwrap(),
      adapter_ms: *[6, 60, 600].choose(rng).unwrap(),
    }
  }
}

/// An order that a server executes.
#[derive(Clone, Debug, PartialEq)]
enum Work {
  Load(String),
  Unload(String),
  UnloadAdapter(String, String),
}

#[derive(Default)]
struct Server {
  held: BTreeMap<String, Vec<String>>,
  incoming: Vec<(u64, String, String)>,
  /// Orders in progress, each with the earliest time of its end, ms.
  work: Vec<(u64, Work)>,
  seq: u64,
  /// Until when requests use a model or adapter, ms.
  used_until: BTreeMap<String, u64>,
  /// Past states with their times, ms.
  reports: VecDeque<(u64, Inventory)>,
  trace: VecDeque<String>,
}

fn model_name(model: &str, adapter: Option<&str>) -> String {
  adapter.map_or(model.into(), |adapter| format!("{model}/{adapter}"))
}

impl Server {
  fn note(&mut self, line: String) {
    self.trace.push_back(line);
    if self.trace.len() > TRACE_LINES {
      self.trace.pop_front();
    }
  }

  fn is_used(&self, now: u64, model: &str, adapter: Option<&str>) -> bool {
    let until = self.used_until.get(&model_name(model, adapter));
    until.is_some_and(|until| now < *until)
  }

  /// Whether a model or an adapter of it is in use.
  fn is_model_used(&self, now: u64, model: &str) -> bool {
    let adapters = self.held.get(model).into_iter().flatten();
    let mut adapters = adapters.map(|adapter| self.is_used(now, model, Some(adapter)));
    self.is_used(now, model, None) || adapters.any(|used| used)
  }

  fn is_leaving(&self, model: &str) -> bool {
    let mut work = self.work.iter();
    work.any(|(_, work)| *work == Work::Unload(model.into()))
  }

  fn adapter_count(&self) -> usize {
    self.held.values().map(Vec::len).sum::<usize>() + self.incoming.len()
  }

  fn advance(&mut self, now: u64, habits: &Habits) {
    let arrived: Vec<_> = self
      .incoming
      .extract_if(.., |(at, ..)| *at <= now)
      .collect();
    for (_, model, adapter) in arrived {
      if let Some(adapters) = self.held.get_mut(&model) {
        adapters.push(adapter);
      }
    }
    let (ended, open): (Vec<_>, Vec<_>) = self.work.drain(..).partition(|(at, _)| *at <= now);
    self.work = open;
    for (at, work) in ended {
      let waits = match &work {
        Work::Load(_) => false,
        Work::Unload(model) => self.is_model_used(now, model),
        Work::UnloadAdapter(model, adapter) => self.is_used(now, model, Some(adapter)),
      };
      if waits {
        self.work.push((at, work));
        continue;
      }
      match work {
        Work::Load(model) => {
          self.held.insert(model, Vec::new());
        }
        Work::Unload(model) => {
          self.held.remove(&model);
          self.incoming.retain(|(_, other, _)| *other != model);
        }
        Work::UnloadAdapter(model, adapter) => {
          if let Some(adapters) = self.held.get_mut(&model) {
            adapters.retain(|known| *known != adapter);
          }
        }
      }
    }
    self.record_report(now, habits);
  }

  fn is_busy(&self, habits: &Habits) -> bool {
    let mut work = self.work.iter();
    work.any(|(_, work)| habits.busy_with_adapters || !matches!(work, Work::UnloadAdapter(..)))
  }

  fn record_report(&mut self, now: u64, habits: &Habits) {
    let mut models = self.held.clone();
    let mut incoming: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (_, model, adapter) in &self.incoming {
      for adapters in [&mut models, &mut incoming] {
        adapters
          .entry(model.clone())
          .or_default()
          .push(adapter.clone());
      }
    }
    let inventory = Inventory {
      born: 0,
      models,
      incoming,
      busy: self.is_busy(habits),
      orders: self.seq,
      queued: 0,
      running: 0,
    };
    self.reports.push_back((now, inventory));
    while self.reports.len() > 1 && self.reports[1].0 + habits.report_lag_ms <= now {
      self.reports.pop_front();
    }
  }

  /// Executes an order. Panics if it exceeds the server's memory or adapter slots.
  fn execute(&mut self, now: u64, command: &Command, habits: &Habits) -> Taken {
    if command.orders != self.seq || self.is_busy(habits) {
      return Taken::Conflict;
    }
    let model = command.model.name.clone();
    let taken = match (command.act, &command.model.adapter) {
      (Act::Load, None) if self.held.contains_key(&model) => Taken::Done,
      (Act::Load, None) => {
        let used_mb = self.held.len() as u64 * MODEL_MB;
        assert!(
          used_mb + MODEL_MB <= MEMORY_MB,
          "no memory for {command:?}: {:?}, {:?}\n{:#?}",
          self.held,
          self.work,
          self.trace
        );
        self
          .work
          .push((now + 800 * habits.slowness, Work::Load(model)));
        Taken::Accepted
      }
      (Act::Unload, None) if !self.held.contains_key(&model) => Taken::Done,
      (Act::Unload, None) => {
        self.work.push((now + 40, Work::Unload(model)));
        Taken::Accepted
      }
      (Act::Load, Some(adapter)) => {
        let Some(adapters) = self.held.get(&model) else {
          return Taken::Declined(400);
        };
        let mut incoming = self.incoming.iter();
        if adapters.contains(adapter)
          || incoming.any(|(_, one, two)| (one, two) == (&model, adapter))
        {
          Taken::Done
        } else if self.is_leaving(&model) || self.incoming.len() >= MAX_INCOMING {
          return Taken::Conflict;
        } else {
          assert!(
            self.adapter_count() < ADAPTER_SLOTS,
            "no slot for {command:?}: {:?}, {:?}, {:?}\n{:#?}",
            self.held,
            self.incoming,
            self.work,
            self.trace
          );
          self
            .incoming
            .push((now + habits.adapter_ms, model, adapter.clone()));
          Taken::Accepted
        }
      }
      (Act::Unload, Some(adapter)) => {
        let used = self.is_used(now, &model, Some(adapter));
        let adapters = self.held.get_mut(&model);
        match adapters.filter(|adapters| adapters.contains(adapter)) {
          Some(_) if used => {
            self
              .work
              .push((now, Work::UnloadAdapter(model, adapter.clone())));
            Taken::Accepted
          }
          Some(adapters) => {
            adapters.retain(|known| known != adapter);
            self.seq += 1;
            return Taken::Done;
          }
          None => Taken::Done,
        }
      }
    };
    if taken == Taken::Accepted || habits.counts_done {
      self.seq += 1;
    }
    taken
  }
}

enum Event {
  /// An order reaches its server; its result returns to the sender unless it is late or lost.
  Arrive {
    holder: usize,
    command: Command,
    answered: bool,
  },
  Result {
    holder: usize,
    command: Command,
    taken: Taken,
  },
  Answer {
    holder: usize,
    id: String,
    inventory: Result<Inventory, Unheard>,
  },
}

/// Two machines of which one holds the lease, and the servers that they order.
struct World {
  now: u64,
  rng: SmallRng,
  habits: Habits,
  servers: BTreeMap<String, Server>,
  /// Servers without an entry, and when it is back, ms.
  unlisted: BTreeMap<String, u64>,
  plans: [Plan; 2],
  holder: usize,
  term: u64,
  events: Vec<(u64, Event)>,
  waiting: BTreeMap<String, u64>,
  deployment: Arc<Deployment>,
}

fn deployment() -> Arc<Deployment> {
  let checkpoint = Checkpoint {
    memory_mb: MODEL_MB,
    warm_ms: 400,
    disk_ms: 800,
    remote_ms: 800,
    adapters: ADAPTERS.map(String::from).to_vec(),
    adapter_mb: 1,
  };
  let engine = Engine {
    slots: 64,
    kv_tokens: 100_000,
    memory_mb: MEMORY_MB,
    adapter_slots: ADAPTER_SLOTS as u32,
    loads_per_s: 30.0,
    models: MODELS
      .map(|name| (name.to_string(), checkpoint.clone()))
      .into(),
  };
  let pool = Pool {
    engine: Some(Arc::new(engine)),
    ..Pool::default()
  };
  Arc::new(Deployment {
    version: 1,
    pools: BTreeMap::from([("pool".into(), pool)]),
    ..Deployment::default()
  })
}

impl World {
  fn new(seed: u64) -> Self {
    let mut rng = SmallRng::seed_from_u64(seed);
    let habits = Habits::draw(&mut rng);
    let plan = |name| Plan::new(name, 0, 5_000, 1.0);
    let mut servers = BTreeMap::new();
    for id in ["one", "two", "three"] {
      let held = MODELS.choose_multiple(&mut rng, 3);
      let mut server = Server {
        held: held.map(|name| (name.to_string(), Vec::new())).collect(),
        ..Server::default()
      };
      server.record_report(0, &habits);
      servers.insert(id.to_string(), server);
    }
    let mut world = Self {
      now: 0,
      rng,
      habits,
      servers,
      unlisted: BTreeMap::new(),
      plans: [plan("10.0.0.1"), plan("10.0.0.2")],
      holder: 0,
      term: 1,
      events: Vec::new(),
      waiting: BTreeMap::new(),
      deployment: deployment(),
    };
    world.list();
    world.plans[0].start_term(0, 1);
    world.plans[1].set_ordering(false);
    world
  }

  /// Passes the entries of the servers to both machines.
  fn list(&mut self) {
    let listed = self.servers.iter();
    let listed = listed.filter(|(id, _)| !self.unlisted.contains_key(*id));
    let specs: Vec<Spec> = listed
      .map(|(id, server)| Spec {
        id: id.clone(),
        born: 0,
        build: bendsaddle::build::Id::of("1"),
        pool: "pool".into(),
        address: "127.0.0.1:9".parse().unwrap(),
        zone: "a".into(),
        slots: 64,
        stage: Stage::Ready,
        models: server.reports[0].1.models.clone(),
        in_memory: Vec::new(),
        on_disk: MODELS[..4].iter().map(|name| name.to_string()).collect(),
      })
      .collect();
    for plan in &mut self.plans {
      plan.update_servers(self.deployment.clone(), specs.clone());
    }
  }

  fn chance(&mut self, percent: u32) -> bool {
    self.rng.random_range(0..100) < percent
  }

  fn after(&mut self, ms: std::ops::Range<u64>, event: Event) {
    let at = self.now + self.rng.random_range(ms);
    self.events.push((at, event));
  }

  fn send(&mut self, holder: usize, command: Command) {
    let drawn = self.rng.random_range(0..100);
    let (lost, late) = (self.habits.lost, self.habits.late);
    if drawn >= lost + late {
      let delay = if self.chance(10) { 1..400 } else { 1..15 };
      let answered = true;
      return self.after(
        delay,
        Event::Arrive {
          holder,
          command,
          answered,
        },
      );
    }
    let delay = if drawn < lost { 1..15 } else { 1_500..6_000 };
    let arrival = Event::Arrive {
      holder,
      command: command.clone(),
      answered: false,
    };
    self.after(delay, arrival);
    let timeout = RESPONSE_TIMEOUT_MS..RESPONSE_TIMEOUT_MS + 10;
    let taken = Taken::Unknown;
    self.after(
      timeout,
      Event::Result {
        holder,
        command,
        taken,
      },
    );
  }

  fn handle(&mut self, event: Event) {
    let (now, habits) = (self.now, self.habits);
    match event {
      Event::Arrive {
        holder,
        command,
        answered,
      } => {
        let server = self.servers.get_mut(&command.id).unwrap();
        server.advance(now, &habits);
        let taken = server.execute(now, &command, &habits);
        let (act, model, orders, term) =
          (command.act, &command.model, command.orders, command.term);
        server.note(format!(
          "{now} {holder}/{term} {act:?} {model:?} after {orders}: {taken:?}, answered: {answered}; \
           {:?} {:?} {:?}",
          server.held, server.incoming, server.work
        ));
        if answered {
          let delay = if self.chance(10) { 1..400 } else { 1..15 };
          self.after(
            delay,
            Event::Result {
              holder,
              command,
              taken,
            },
          );
        }
      }
      Event::Result {
        holder,
        command,
        taken,
      } => {
        self.plans[holder].record_order_result(now, &command, taken);
      }
      Event::Answer {
        holder,
        id,
        inventory,
      } => {
        if let Ok(stated) = &inventory {
          let line = format!("{now} {holder} receives {stated:?}");
          self.servers.get_mut(&id).unwrap().note(line);
        }
        self.plans[holder].receive_inventory(now, &id, inventory);
      }
    }
  }

  fn report(&mut self) {
    let demand = self.waiting.iter().map(|(model, since)| Demand {
      pool: "pool".into(),
      model: Model::parse(model),
      waiting: 2,
      priority: 0,
      age_ms: self.now - since,
      waits: vec![Wait {
        requests: 2,
        objective_ms: 1_000,
        patience_ms: 10_000,
      }],
    });
    let demand: Vec<Demand> = demand.collect();
    let mut running = Vec::new();
    for (id, server) in &self.servers {
      for (name, until) in &server.used_until {
        if self.now < *until {
          running.push((Life::of(id, 0), Model::parse(name), 1));
        }
      }
    }
    let report = Report {
      instance: "one".into(),
      machine: 1,
      demand,
      running,
      missing: Vec::new(),
      known: Vec::new(),
      behind: false,
      resting: Vec::new(),
      strain: Vec::new(),
    };
    let address = "127.0.0.1:1".parse().unwrap();
    for plan in &mut self.plans {
      plan.receive_report(self.now, address, report.clone());
    }
  }

  /// Requests begin and end at random models and adapters.
  fn change_demand(&mut self) {
    let now = self.now;
    self.waiting.retain(|name, since| {
      let model = Model::parse(name);
      let served = self.servers.values().any(|server| {
        let adapters = server.held.get(&model.name);
        adapters.is_some_and(|held| model.adapter.as_ref().is_none_or(|one| held.contains(one)))
      });
      !served && now < *since + 8_000
    });
    if self.chance(8) {
      let name = *MODELS.choose(&mut self.rng).unwrap();
      let adapter = *ADAPTERS.choose(&mut self.rng).unwrap();
      let adapter = self.chance(60).then_some(adapter);
      self.waiting.entry(model_name(name, adapter)).or_insert(now);
    }
    for server in self.servers.values_mut() {
      let names = server.held.iter().flat_map(|(model, adapters)| {
        let adapters = adapters
          .iter()
          .map(|adapter| model_name(model, Some(adapter)));
        adapters.chain([model.clone()])
      });
      let names: Vec<String> = names.collect();
      for name in names {
        let (model, adapter) = name.split_once('/').unwrap_or((&name, ""));
        let leaves = server.work.iter().any(|(_, work)| match work {
          Work::Load(_) => false,
          Work::Unload(other) => other == model,
          Work::UnloadAdapter(one, two) => (one.as_str(), two.as_str()) == (model, adapter),
        });
        if !leaves && self.rng.random_range(0..400) == 0 {
          let until = now + self.rng.random_range(50..2_000);
          server.used_until.insert(name, until);
        }
      }
    }
  }

  /// Entries of servers disappear and return.
  fn change_entries(&mut self) {
    let now = self.now;
    let before = self.unlisted.len();
    self.unlisted.retain(|_, until| now < *until);
    let mut changed = self.unlisted.len() != before;
    if self.rng.random_range(0..1_000) == 0 {
      let ids: Vec<String> = self.servers.keys().cloned().collect();
      let id = ids.choose(&mut self.rng).unwrap().clone();
      let until = now + self.rng.random_range(20..1_500);
      self.unlisted.insert(id, until);
      changed = true;
    }
    if changed || now.is_multiple_of(400) {
      self.list();
    }
  }

  /// The lease is acquired anew, by either machine, while earlier orders may still be in transit.
  fn change_holder(&mut self) {
    if self.rng.random_range(0..500) != 0 {
      return;
    }
    self.plans[self.holder].set_ordering(false);
    if self.chance(50) {
      self.holder = 1 - self.holder;
    }
    self.term += 1;
    self.plans[self.holder].set_ordering(true);
    self.plans[self.holder].start_term(self.now, self.term);
  }

  fn step(&mut self) {
    self.now += STEP_MS;
    let now = self.now;
    let (due, open): (Vec<_>, Vec<_>) = self.events.drain(..).partition(|(at, _)| *at <= now);
    self.events = open;
    for (_, event) in due {
      self.handle(event);
    }
    for server in self.servers.values_mut() {
      server.advance(now, &self.habits);
    }
    self.change_demand();
    self.change_entries();
    self.change_holder();
    if now.is_multiple_of(50) {
      self.report();
    }
    for holder in 0..self.plans.len() {
      for effect in self.plans[holder].step(now) {
        match effect {
          Effect::Order(command) => self.send(holder, command),
          Effect::Query { id, .. } => self.query(holder, id),
          Effect::Publish(_) | Effect::Log { .. } => {}
        }
      }
    }
  }

  fn query(&mut self, holder: usize, id: String) {
    let inventory = match self.chance(5) {
      true => Err(Unheard::Silent),
      false => Ok(self.servers[&id].reports[0].1.clone()),
    };
    let delay = if self.chance(5) { 1..600 } else { 1..15 };
    self.after(
      delay,
      Event::Answer {
        holder,
        id,
        inventory,
      },
    );
  }

  fn run(&mut self) {
    while self.now < RUN_MS {
      self.step();
    }
  }
}

/// Plays seeds in turn, as one of several threads.
fn play(seeds: impl Iterator<Item = u64>) {
  for seed in seeds {
    let mut world = World::new(seed);
    let habits = world.habits;
    let run = catch_unwind(AssertUnwindSafe(|| world.run()));
    assert!(run.is_ok(), "seed {seed}: {habits:?}");
    let orders: u64 = world.servers.values().map(|server| server.seq).sum();
    assert!(orders > MIN_ORDERS, "seed {seed}: only {orders} orders");
  }
}

/// Guards against orders that exceed what a server holds, whatever becomes of earlier orders.
#[test]
fn no_order_exceeds_the_room_of_a_server() {
  thread::scope(|scope| {
    for first in 0..THREADS {
      scope.spawn(move || play((first..SEEDS).step_by(THREADS as usize)));
    }
  });
}
