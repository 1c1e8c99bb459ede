//! Simulates the load of a fleet with the pure planner: without sockets or a clock, from a seed.
//!
//! Requests for rare models arrive evenly over many instances. Each waits for its model and runs
//! on a server that has the model according to the lease holder's last update. Servers execute
//! orders, one at a time, and answer inventory queries.

use bendsaddle::{
  backend::{Spec, Stage},
  build,
  command::{Act, Command, Inventory, Taken, Unheard},
  demand::{Demand, Model},
  deployment::{Checkpoint, Deployment, Engine, Pool},
  life::Life,
  placement::{
    plan::{Effect, Plan, Publication, Report},
    urgency::Wait,
  },
  strain::Sample,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use rustix::time::{ClockId, clock_gettime};
use std::{
  cmp::Reverse,
  collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap},
  net::SocketAddr,
  sync::Arc,
  time::Duration,
};

/// Size of a fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct Size {
  pub servers: usize,
  pub instances: usize,
  /// Number of rarely used models.
  pub rare: usize,
  /// Requests per second for rare models.
  pub rare_per_s: f64,
  /// Number of model places on servers that common models occupy.
  pub common_places: usize,
  /// Simulated time, in ms.
  pub ms: u64,
  /// A model in high demand, or `None` for a fleet without one.
  pub popular: Option<Popular>,
}

/// A model that needs replicas on many servers.
#[derive(Clone, Copy, Debug)]
pub struct Popular {
  /// Requests per second between `from` and `to`, which are in ms.
  pub per_s: f64,
  pub from: u64,
  pub to: u64,
  /// Delay until an update reaches all instances, in ms. In a large fleet it is several hundred.
  pub update_ms: u64,
}

impl Size {
  /// A fleet of `servers` servers, with a proportional load.
  pub fn of(servers: usize) -> Self {
    Self {
      servers,
      instances: servers * 295 / 256,
      rare: servers * 1_295 / 256,
      rare_per_s: servers as f64 * 160.0 / 256.0,
      common_places: servers * 120 / 256,
      ms: 20_000,
      popular: None,
    }
  }
}

/// Name of the popular model, the number of servers with a copy on disk, and the number of servers
/// that have it loaded at the start.
const POPULAR: &str = "popular";
const POPULAR_COPIES: usize = 64;
const POPULAR_HELD: usize = 2;
/// Concurrent requests per server.
const SLOTS: u32 = 12;
/// Fraction of their objective that requests spend at a server with free slots, and the fraction
/// that full slots add.
const FREE_SLOTS_SLOWNESS: f32 = 0.05;
const FULL_SLOTS_SLOWNESS: f32 = 0.4;
/// Number of commonly used models.
const COMMON: usize = 8;
/// Models that fit on a server, and the size of each in MB.
const MODELS_PER_SERVER: usize = 3;
const MODEL_MB: u64 = 70;
/// Number of copies of each rare model on disks.
const COPIES: usize = 2;
const DISK_MS: u64 = 600;
const REMOTE_MS: u64 = 13_200;
/// Duration of a run, in ms.
const RUN_MS: u64 = 800;
/// Objective and patience of requests for rare models, in ms.
const OBJECTIVE_MS: u32 = 2_000;
const PATIENCE_MS: u32 = 7_000;
/// Fraction of their objective that requests spend at servers.
const SLOWNESS: f32 = 0.1;
/// Interval between the reports of an instance, in ms.
const REPORT_MS: u64 = 150;
/// Round-trip time of an order or an inventory query, in ms.
const ORDER_MS: u64 = 4;
/// Duration of an unload without active runs, in ms.
const UNLOAD_MS: u64 = 40;
/// Delay until an update reaches all instances, in ms.
const UPDATE_MS: u64 = 10;

/// Processor time available to the lease holder for planner steps.
#[derive(Clone, Copy, Debug)]
pub enum Holder {
  /// Steps take no time.
  Free,
  /// Steps take the processor time measured here, scaled to this many `cores`, followed by a pause
  /// of `rest` times that duration.
  Paced { cores: f64, rest: f64 },
}

/// Disruptions of a replay. Times are in ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct Disruptions {
  /// Start and end of a burst, and the factor on the request rate.
  pub burst: Option<(u64, u64, f64)>,
  /// When servers are lost, when they return without models in memory, and the fraction of servers
  /// affected.
  pub lost: Option<(u64, u64, f64)>,
  /// Duration of an unload without active runs, in ms, if it differs from the planner's estimate.
  pub unload_ms: Option<u64>,
  /// If set to n, an unload that is an n-th order waits for runs that started while it was decided.
  pub waits: Option<usize>,
  /// When the lease is lost, and how long nobody holds it before another holder takes over.
  pub takeover: Option<(u64, u64)>,
}

/// Results of a replay.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
  /// Processor time of each step.
  pub steps: Vec<Duration>,
  /// Time from the decision to load a model to its load order, and from the model's first waiting
  /// request to that decision, in ms.
  pub ordered_ms: Vec<u64>,
  pub decided_ms: Vec<u64>,
  /// Number of requests for rare models: all, those sent within their objective, and those sent.
  pub requests: u32,
  pub in_time: u32,
  pub served: u32,
  pub orders: u32,
  /// Number of requests for the popular model during its steady demand: all, those that ran, and
  /// those that full servers declined.
  pub popular: u32,
  pub popular_served: u32,
  pub popular_declined: u32,
  /// Number of its loads and unloads while it is in demand.
  pub popular_loads: u32,
  pub popular_unloads: u32,
  /// Number of servers that have it loaded, sampled every second.
  pub popular_holders: Vec<usize>,
  /// Encoded size of the published holdings for one instance, in bytes.
  pub published: usize,
  pub holdings: usize,
}

/// The percentile of `values` at `hundredths`, or the default if there are no values.
pub fn percentile<T: Copy + Ord + Default>(values: &[T], hundredths: usize) -> T {
  let mut sorted = values.to_vec();
  sorted.sort();
  let last = sorted.len().saturating_sub(1);
  sorted
    .get((sorted.len() * hundredths / 100).min(last))
    .copied()
    .unwrap_or_default()
}

struct Server {
  spec: Spec,
  held: BTreeSet<String>,
  orders: u64,
  busy_until: u64,
  loading: Option<String>,
  running: BTreeMap<String, u32>,
  /// Whether it has crashed and not returned yet.
  lost: bool,
}

struct Waiting {
  model: String,
  arrived: u64,
}

/// A scheduled event.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
  Order(usize),
  Query(String),
  Update(usize),
  /// A run ends: server, model and index of the instance.
  RunEnds(String, String, usize),
}

/// A running replay.
pub struct Replay {
  plan: Plan,
  size: Size,
  disruptions: Disruptions,
  deployment: Arc<Deployment>,
  term: u64,
  holder: Holder,
  rng: SmallRng,
  now: u64,
  servers: BTreeMap<String, Server>,
  names: Vec<String>,
  waiting: Vec<Vec<Waiting>>,
  /// Number of active runs of each instance, by server and model.
  runs: Vec<BTreeMap<(String, String), u32>>,
  /// Number of requests per model that each instance counted since its last report.
  seen: Vec<BTreeMap<String, u32>>,
  /// Servers by model, as last published.
  known: HashMap<String, BTreeSet<String>>,
  holdings: HashMap<String, BTreeSet<String>>,
  events: BinaryHeap<Reverse<(u64, u64, Event)>>,
  count: u64,
  commands: Vec<Command>,
  updates: Vec<Publication>,
  next_request: f64,
  next_popular: f64,
  /// By instance: number of requests for the popular model, and the sum of the fractions of their
  /// objectives that they spent at servers.
  slowness: Vec<(u32, f32)>,
  holder_free_at: u64,
  step_due_at: u64,
  decided_at: HashMap<String, u64>,
  waiting_since: HashMap<String, u64>,
  pub outcome: Outcome,
}

fn rare(number: usize) -> String {
  format!("rare{number:05}")
}

fn common(number: usize) -> String {
  format!("comm{number:05}")
}

fn deployment(size: &Size) -> Deployment {
  let checkpoint = Checkpoint {
    memory_mb: MODEL_MB,
    warm_ms: DISK_MS * 3 / 4,
    disk_ms: DISK_MS,
    remote_ms: REMOTE_MS,
    adapters: Vec::new(),
    adapter_mb: 1,
  };
  let names = (0..size.rare).map(rare).chain((0..COMMON).map(common));
  let names = names.chain([POPULAR.to_string()]);
  let engine = Engine {
    slots: SLOTS,
    kv_tokens: 69_467,
    memory_mb: MODEL_MB * MODELS_PER_SERVER as u64 + 20,
    adapter_slots: 8,
    loads_per_s: 98.0,
    models: names.map(|name| (name, checkpoint.clone())).collect(),
  };
  let pool = Pool {
    engine: Some(Arc::new(engine)),
    ..Pool::default()
  };
  Deployment {
    version: 1,
    pools: BTreeMap::from([("pool".into(), pool)]),
    ..Deployment::default()
  }
}

impl Replay {
  /// Creates a fleet whose servers have some models loaded and copies of the rare and popular models
  /// on their disks.
  pub fn open(size: Size, holder: Holder, seed: u64) -> Self {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut servers: Vec<Server> = (0..size.servers).map(server).collect();
    for number in 0..size.common_places {
      let server = &mut servers[number % size.servers];
      server.held.insert(common(number % COMMON));
    }
    for number in 0..size.rare {
      for _ in 0..COPIES {
        let index = rng.random_range(0..size.servers);
        servers[index].spec.on_disk.push(rare(number));
        if servers[index].held.len() < MODELS_PER_SERVER {
          servers[index].held.insert(rare(number));
        }
      }
    }
    if size.popular.is_some() {
      for number in 0..POPULAR_COPIES.min(size.servers) {
        let server = &mut servers[number * size.servers / POPULAR_COPIES.min(size.servers)];
        server.spec.on_disk.push(POPULAR.into());
        if number < POPULAR_HELD {
          server.held.pop_last();
          server.held.insert(POPULAR.into());
        }
      }
    }
    for server in &mut servers {
      let held = server.held.iter();
      server.spec.models = held.map(|name| (name.clone(), Vec::new())).collect();
    }
    let mut replay = Self {
      plan: Plan::new("10.0.0.1", 0, 5_000, 1.0),
      size,
      disruptions: Disruptions::default(),
      deployment: Arc::new(deployment(&size)),
      term: 0,
      holder,
      rng,
      now: 0,
      names: (0..size.rare).map(rare).collect(),
      waiting: (0..size.instances).map(|_| Vec::new()).collect(),
      runs: (0..size.instances).map(|_| BTreeMap::new()).collect(),
      seen: (0..size.instances).map(|_| BTreeMap::new()).collect(),
      known: HashMap::new(),
      holdings: HashMap::new(),
      events: BinaryHeap::new(),
      count: 0,
      commands: Vec::new(),
      updates: Vec::new(),
      next_request: 0.0,
      next_popular: size
        .popular
        .map_or(f64::INFINITY, |popular| popular.from as f64),
      slowness: vec![(0, 0.0); size.instances],
      holder_free_at: 0,
      step_due_at: 0,
      decided_at: HashMap::new(),
      waiting_since: HashMap::new(),
      servers: servers
        .into_iter()
        .map(|server| (server.spec.id.clone(), server))
        .collect(),
      outcome: Outcome::default(),
    };
    replay.run_common();
    replay.take_over();
    replay
  }

  /// Adds disruptions to the replay.
  pub fn with(mut self, disruptions: Disruptions) -> Self {
    self.disruptions = disruptions;
    self
  }

  /// A new lease holder starts with an empty state.
  fn take_over(&mut self) {
    self.term += 1;
    self.plan = Plan::new("10.0.0.1", 0, 5_000, 1.0);
    self.plan.start_term(self.now, self.term);
    self.update_servers();
  }

  /// Passes the specs of all available servers to the planner.
  fn update_servers(&mut self) {
    let available = self.servers.values().filter(|server| !server.lost);
    let specs = available.map(|server| server.spec.clone()).collect();
    self.plan.update_servers(self.deployment.clone(), specs);
    self.step_due_at = 0;
  }

  fn apply_disruptions(&mut self) {
    if let Some((at, back, part)) = self.disruptions.lost {
      let count = (self.size.servers as f64 * part) as usize;
      if self.now == at || self.now == back {
        let lost = self.now == at;
        let born = self.now;
        let ids: Vec<String> = self.servers.keys().take(count).cloned().collect();
        for id in ids {
          self.publish_holding(&id, BTreeSet::new());
          if let Some(server) = self.servers.get_mut(&id) {
            server.crash(lost, born);
          }
        }
        self.update_servers();
      }
    }
    if let Some((at, gap)) = self.disruptions.takeover {
      if self.now == at {
        self.holder_free_at = self.now + gap;
      }
      if self.now == at + gap {
        self.take_over();
      }
    }
  }

  /// Starts runs for common models that never end.
  fn run_common(&mut self) {
    let mut instance = 0;
    for (id, server) in &mut self.servers {
      for name in server.held.iter().filter(|name| name.starts_with("comm")) {
        *server.running.entry(name.clone()).or_default() += 4;
        for _ in 0..4 {
          let run = (id.clone(), name.clone());
          *self.runs[instance].entry(run).or_default() += 1;
          instance = (instance + 1) % self.size.instances;
        }
      }
    }
  }

  /// Runs the replay to its end.
  pub fn play(mut self) -> Outcome {
    while self.now < self.size.ms {
      self.tick();
    }
    self.outcome
  }

  /// Advances the replay by one millisecond.
  pub fn tick(&mut self) {
    self.now += 1;
    self.apply_disruptions();
    self.add_arrivals();
    self.add_popular_arrivals();
    self.count_holders();
    while let Some(Reverse((at, _, _))) = self.events.peek()
      && *at <= self.now
    {
      if let Some(Reverse((_, _, event))) = self.events.pop() {
        self.handle_event(event);
      }
    }
    for instance in 0..self.size.instances {
      if (self.now + instance as u64 * 7).is_multiple_of(REPORT_MS) {
        self.report(instance);
      }
    }
    if self.now >= self.step_due_at.max(self.holder_free_at) {
      self.step();
    }
  }

  fn schedule(&mut self, delay_ms: u64, event: Event) {
    self.count += 1;
    let entry = (self.now + delay_ms, self.count, event);
    self.events.push(Reverse(entry));
  }

  fn add_arrivals(&mut self) {
    while self.next_request <= self.now as f64 {
      let pause: f64 = self.rng.random_range(0.0..2.0);
      let now = self.now;
      let burst = self.disruptions.burst;
      let burst = burst.filter(|(from, to, _)| (*from..*to).contains(&now));
      let rate = self.size.rare_per_s * burst.map_or(1.0, |(_, _, times)| times);
      self.next_request += pause * 1_000.0 / rate;
      let instance = self.rng.random_range(0..self.size.instances);
      let model = self.names[self.rng.random_range(0..self.names.len())].clone();
      self.outcome.requests += 1;
      let waiting = Waiting {
        model,
        arrived: self.now,
      };
      if !self.send(instance, &waiting) {
        let since = self.waiting_since.entry(waiting.model.clone());
        since.or_insert(self.now);
        self.waiting[instance].push(waiting);
        self.report(instance);
      }
    }
  }

  fn add_popular_arrivals(&mut self) {
    let Some(popular) = self.size.popular else {
      return;
    };
    while self.next_popular <= self.now as f64 && self.now < popular.to {
      let pause: f64 = self.rng.random_range(0.0..2.0);
      self.next_popular += pause * 1_000.0 / popular.per_s;
      let instance = self.rng.random_range(0..self.size.instances);
      // Replicas take several seconds to load.
      let steady = self.now >= popular.from + (popular.to - popular.from) / 2;
      let ran = self.send_popular(instance);
      if steady {
        self.outcome.popular += 1;
        self.outcome.popular_served += u32::from(ran == Some(true));
        self.outcome.popular_declined += u32::from(ran == Some(false));
      }
    }
  }

  /// Sends a request for the popular model to the less busy of two random servers. Returns whether
  /// it ran, or `None` if no server was found or the server does not have the model.
  fn send_popular(&mut self, instance: usize) -> Option<bool> {
    let holders: Vec<String> = self.known.get(POPULAR)?.iter().cloned().collect();
    let mut random_holder = || holders.get(self.rng.random_range(0..holders.len().max(1)));
    let (first, second) = (random_holder()?, random_holder()?);
    let id = match self.servers[first].active_requests() <= self.servers[second].active_requests() {
      true => first,
      false => second,
    };
    let server = self.servers.get_mut(id).expect("server id is known");
    server.finish_load(self.now);
    if server.lost || !server.held.contains(POPULAR) {
      return None;
    }
    let (requests, slowness) = &mut self.slowness[instance];
    *requests += 1;
    if server.active_requests() >= SLOTS {
      *slowness += 1.0;
      return Some(false);
    }
    *slowness +=
      FREE_SLOTS_SLOWNESS + FULL_SLOTS_SLOWNESS * server.active_requests() as f32 / SLOTS as f32;
    *server.running.entry(POPULAR.into()).or_default() += 1;
    let run = (id.clone(), POPULAR.to_string());
    *self.runs[instance].entry(run).or_default() += 1;
    let ends = Event::RunEnds(id.clone(), POPULAR.into(), instance);
    self.schedule(RUN_MS, ends);
    Some(true)
  }

  fn count_holders(&mut self) {
    if self.size.popular.is_some() && self.now.is_multiple_of(1_000) {
      let held = self.servers.values();
      let held = held.filter(|server| server.held.contains(POPULAR)).count();
      self.outcome.popular_holders.push(held);
    }
  }

  /// Sends a request to a server that is known to have its model. Returns whether it ran.
  fn send(&mut self, instance: usize, waiting: &Waiting) -> bool {
    let holders = self.known.get(&waiting.model);
    let Some(id) = holders.and_then(|holders| holders.first()).cloned() else {
      return false;
    };
    let server = self.servers.get_mut(&id).expect("server id is known");
    server.finish_load(self.now);
    if server.lost || !server.held.contains(&waiting.model) {
      return false;
    }
    *server.running.entry(waiting.model.clone()).or_default() += 1;
    let run = (id.clone(), waiting.model.clone());
    *self.runs[instance].entry(run).or_default() += 1;
    *self.seen[instance]
      .entry(waiting.model.clone())
      .or_default() += 1;
    self.outcome.served += 1;
    let elapsed = self.now - waiting.arrived;
    self.outcome.in_time += u32::from(elapsed <= u64::from(OBJECTIVE_MS));
    self.waiting_since.remove(&waiting.model);
    let ends = Event::RunEnds(id, waiting.model.clone(), instance);
    self.schedule(RUN_MS, ends);
    true
  }

  fn handle_event(&mut self, event: Event) {
    match event {
      Event::Order(number) => {
        let command = self.commands[number].clone();
        let server = self
          .servers
          .get_mut(&command.id)
          .expect("server id is known");
        let waits = self.disruptions.waits;
        let waits = waits.is_some_and(|waits| number.is_multiple_of(waits));
        let unload_ms = match waits {
          true => RUN_MS,
          false => self.disruptions.unload_ms.unwrap_or(UNLOAD_MS),
        };
        let taken = server.execute(self.now, &command, unload_ms);
        self.plan.record_order_result(self.now, &command, taken);
        self.step_due_at = 0;
      }
      Event::Query(id) => {
        let server = self.servers.get_mut(&id).expect("server id is known");
        let inventory = match server.lost {
          true => Err(Unheard::Ended),
          false => Ok(server.report(self.now)),
        };
        self.plan.receive_inventory(self.now, &id, inventory);
        self.step_due_at = 0;
      }
      Event::Update(number) => self.apply_update(number),
      Event::RunEnds(id, model, instance) => {
        let server = self.servers.get_mut(&id).expect("server id is known");
        end_run(&mut server.running, model.clone());
        end_run(&mut self.runs[instance], (id, model));
      }
    }
  }

  fn apply_update(&mut self, number: usize) {
    let update = std::mem::replace(&mut self.updates[number], empty_publication());
    for (_, holding) in update.holdings {
      let usable = holding.models.keys().cloned();
      let usable: BTreeSet<String> = usable
        .filter(|name| !holding.leaving.contains(name))
        .collect();
      self.publish_holding(&holding.id, usable);
    }
    for instance in 0..self.size.instances {
      let waiting = std::mem::take(&mut self.waiting[instance]);
      for request in waiting {
        // A caller gives up when its patience has run out.
        let expired = self.now > request.arrived + u64::from(PATIENCE_MS);
        if !expired && !self.send(instance, &request) {
          self.waiting[instance].push(request);
        }
      }
    }
  }

  /// Publishes the usable models of a server to all instances.
  fn publish_holding(&mut self, id: &str, usable: BTreeSet<String>) {
    let before = self.holdings.insert(id.into(), usable.clone());
    for gone in before.unwrap_or_default().difference(&usable) {
      if let Some(holders) = self.known.get_mut(gone) {
        holders.remove(id);
      }
    }
    for name in usable {
      self.known.entry(name).or_default().insert(id.into());
    }
  }

  fn report(&mut self, instance: usize) {
    let now = self.now;
    let mut demand: BTreeMap<&str, Demand> = BTreeMap::new();
    for request in &self.waiting[instance] {
      let age = now - request.arrived;
      let entry = demand
        .entry(&request.model)
        .or_insert_with(|| Demand::preload("pool", Model::parse(&request.model)));
      entry.waiting += 1;
      entry.priority = 1;
      entry.age_ms = entry.age_ms.max(age);
      entry.waits.push(
        Wait {
          requests: 1,
          objective_ms: OBJECTIVE_MS,
          patience_ms: PATIENCE_MS,
        }
        .aged(age),
      );
    }
    let common_model = common(self.rng.random_range(0..COMMON));
    *self.seen[instance].entry(common_model).or_default() += 1;
    let seen = std::mem::take(&mut self.seen[instance]).into_iter();
    let strain = seen.map(|(model, requests)| Sample {
      pool: "pool".into(),
      model,
      requests: requests as f32,
      slowness: requests as f32 * SLOWNESS,
    });
    let (requests, slowness) = std::mem::take(&mut self.slowness[instance]);
    let popular = (requests > 0).then(|| Sample {
      pool: "pool".into(),
      model: POPULAR.into(),
      requests: requests as f32,
      slowness,
    });
    let strain = strain.chain(popular);
    let running = self.runs[instance].iter();
    let report = Report {
      instance: format!("instance-{instance}"),
      machine: instance as u32,
      demand: demand.into_values().collect(),
      running: running
        .map(|((id, model), count)| {
          let life = Life::of(id, self.servers[id].spec.born);
          (life, Model::parse(model), *count)
        })
        .collect(),
      missing: Vec::new(),
      strain: strain.collect(),
      known: vec![u64::MAX],
      behind: false,
      resting: Vec::new(),
    };
    let address = SocketAddr::from(([10, 1, (instance >> 8) as u8, instance as u8], 7_000));
    self.plan.receive_report(now, address, report);
    self.step_due_at = 0;
  }

  fn step(&mut self) {
    let started = processor_time();
    let effects = self.plan.step(self.now);
    let elapsed = processor_time().saturating_sub(started);
    self.outcome.steps.push(elapsed);
    if let Holder::Paced { cores, rest } = self.holder {
      let ms = elapsed.as_secs_f64() * 1_000.0 / cores * (1.0 + rest);
      self.holder_free_at = self.now + ms as u64;
    }
    for effect in effects {
      self.effect(effect);
    }
    self.step_due_at = self.plan.next_step_at(self.now);
  }

  fn effect(&mut self, effect: Effect) {
    match effect {
      Effect::Order(command) => {
        self.outcome.orders += 1;
        let popular = self.size.popular;
        if command.model.name == POPULAR && popular.is_some_and(|popular| self.now < popular.to) {
          self.outcome.popular_loads += u32::from(command.act == Act::Load);
          self.outcome.popular_unloads += u32::from(command.act == Act::Unload);
        }
        if command.act == Act::Load
          && let Some(at) = self.decided_at.remove(&command.model.name)
        {
          self.outcome.ordered_ms.push(self.now - at);
        }
        self.commands.push(command);
        let number = self.commands.len() - 1;
        self.schedule(ORDER_MS, Event::Order(number));
      }
      Effect::Query { id, .. } => self.schedule(ORDER_MS, Event::Query(id)),
      Effect::Publish(update) => {
        self.outcome.holdings += update.holdings.len();
        self.updates.push(update);
        let number = self.updates.len() - 1;
        let update_ms = self
          .size
          .popular
          .map_or(UPDATE_MS, |popular| popular.update_ms);
        self.schedule(update_ms, Event::Update(number));
      }
      Effect::Log {
        what: "load",
        model,
        ..
      } => {
        if let Some(since) = self.waiting_since.get(&model) {
          self.outcome.decided_ms.push(self.now - since);
        }
        self.decided_at.insert(model, self.now);
      }
      Effect::Log { .. } => {}
    }
  }
}

/// Processor time of this thread. Wall time would include the time of other processes.
fn processor_time() -> Duration {
  let time = clock_gettime(ClockId::ThreadCPUTime);
  Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn empty_publication() -> Publication {
  Publication {
    to: None,
    since: 0,
    latest: 0,
    holdings: Vec::new(),
    waiting: Vec::new(),
    loads: None,
    paces: Vec::new(),
    unanswered: None,
  }
}

fn end_run<K: Ord>(runs: &mut BTreeMap<K, u32>, run: K) {
  if let Some(count) = runs.get_mut(&run) {
    *count -= 1;
    if *count == 0 {
      runs.remove(&run);
    }
  }
}

fn server(number: usize) -> Server {
  let spec = Spec {
    id: format!("i-{number:08x}"),
    born: 1,
    build: build::Id::of("1"),
    pool: "pool".into(),
    address: SocketAddr::from(([10, 2, (number >> 8) as u8, number as u8], 8_000)),
    zone: "a".into(),
    slots: 12,
    stage: Stage::Ready,
    models: BTreeMap::new(),
    in_memory: Vec::new(),
    on_disk: Vec::new(),
  };
  Server {
    spec,
    held: BTreeSet::new(),
    orders: 0,
    busy_until: 0,
    loading: None,
    running: BTreeMap::new(),
    lost: false,
  }
}

impl Server {
  /// Crashes or restarts the server. Only the models on its disk remain.
  fn crash(&mut self, lost: bool, born: u64) {
    self.lost = lost;
    self.held.clear();
    self.running.clear();
    self.loading = None;
    self.busy_until = 0;
    self.orders = 0;
    self.spec.models.clear();
    self.spec.born = born;
  }

  /// Number of running requests.
  fn active_requests(&self) -> u32 {
    self.running.values().sum()
  }

  fn finish_load(&mut self, now: u64) {
    if now >= self.busy_until
      && let Some(model) = self.loading.take()
    {
      self.held.insert(model);
    }
  }

  fn execute(&mut self, now: u64, command: &Command, unload_ms: u64) -> Taken {
    if self.lost {
      return Taken::NotSent;
    }
    self.finish_load(now);
    if now < self.busy_until || command.born != self.spec.born || command.orders != self.orders {
      return Taken::Conflict;
    }
    self.orders += 1;
    let name = command.model.name.clone();
    match command.act {
      Act::Load => {
        let on_disk = self.spec.on_disk.contains(&name);
        self.busy_until = now + if on_disk { DISK_MS } else { REMOTE_MS };
        self.loading = Some(name);
      }
      Act::Unload => {
        let runs = self.running.contains_key(&name);
        self.held.remove(&name);
        self.busy_until = now + if runs { RUN_MS } else { unload_ms };
      }
    }
    Taken::Accepted
  }

  fn report(&mut self, now: u64) -> Inventory {
    self.finish_load(now);
    let held = self.held.iter();
    Inventory {
      born: self.spec.born,
      models: held.map(|name| (name.clone(), Vec::new())).collect(),
      incoming: BTreeMap::new(),
      busy: now < self.busy_until,
      orders: self.orders,
      queued: 0,
      running: 0,
    }
  }
}
