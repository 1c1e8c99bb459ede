//! A fleet's load played through the pure planner: no sockets, no clock, a seed.
//!
//! Rare models are asked for evenly over many instances; each waits for its model and runs
//! where the holder's last update says that the model is. Servers carry orders out, one at a
//! time, and answer questions.

use bendsaddle::{
  backend::{Spec, Stage},
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

/// Sizes of a fleet and its load.
#[derive(Clone, Copy, Debug)]
pub struct Size {
  pub servers: usize,
  pub instances: usize,
  /// Models that nobody asks for often.
  pub rare: usize,
  /// Requests a second for rare models.
  pub rare_per_s: f64,
  /// Servers' places that common models take.
  pub common_places: usize,
  /// Time that is played, ms.
  pub ms: u64,
  /// One model that many ask for.
  pub popular: Option<Popular>,
}

/// A model that needs many servers.
#[derive(Clone, Copy, Debug)]
pub struct Popular {
  /// Requests a second, from and to a time, ms.
  pub per_s: f64,
  pub from: u64,
  pub to: u64,
  /// Time of an update on its way to all instances, ms: at size it is some hundred.
  pub update_ms: u64,
}

impl Size {
  /// A fleet of so many servers, with a load in proportion.
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

/// The model that many ask for, copies of it on disks, and servers that hold it at first.
const POPULAR: &str = "popular";
const POPULAR_COPIES: usize = 64;
const POPULAR_HELD: usize = 2;
/// Requests that a server runs at once.
const SLOTS: u32 = 12;
/// Part of their objective that requests spend at a server with free slots, and what full
/// slots add.
const QUICK: f32 = 0.05;
const CROWDED: f32 = 0.4;
/// Models in common use.
const COMMON: usize = 8;
/// Places of a server, and what each holds, MB.
const PLACES: usize = 3;
const MODEL_MB: u64 = 70;
/// Copies of each rare model on disks.
const COPIES: usize = 2;
const DISK_MS: u64 = 600;
const REMOTE_MS: u64 = 13_200;
/// Time of a run, ms.
const RUN_MS: u64 = 800;
/// Objective and patience of requests for rare models, ms.
const OBJECTIVE_MS: u32 = 2_000;
const PATIENCE_MS: u32 = 7_000;
/// Part of their objective that requests spend at servers.
const SLOWNESS: f32 = 0.1;
/// Time between two reports of an instance, ms.
const REPORT_MS: u64 = 150;
/// Time of an order or a question on its way, ms, both ways.
const ORDER_MS: u64 = 4;
/// Time of an unload without runs, ms.
const UNLOAD_MS: u64 = 40;
/// Time of an update on its way to all instances, ms.
const UPDATE_MS: u64 = 10;

/// What a holder can spend on its steps.
#[derive(Clone, Copy, Debug)]
pub enum Holder {
  /// Steps take no time.
  Free,
  /// Steps take the time that they take here, on so much of a core, and a rest of some
  /// times as long.
  Paced { cores: f64, rest: f64 },
}

/// Trouble of a replay, each with its times, ms.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trouble {
  /// From, to, and how many times the requests.
  pub burst: Option<(u64, u64, f64)>,
  /// When so large a part of the servers is lost, and when they are back, empty.
  pub lost: Option<(u64, u64, f64)>,
  /// Time of an unload without runs, ms, where it is another one than is believed.
  pub unload_ms: Option<u64>,
  /// One of so many unloads waits for runs that came while it was decided.
  pub waits: Option<usize>,
  /// When another holder takes over, and for how long nobody held the lease before.
  pub takeover: Option<(u64, u64)>,
}

/// What a replay showed.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
  /// Processor time of each step.
  pub steps: Vec<Duration>,
  /// From a decision to load to the load's order, and from a model's first waiting request
  /// to that decision, ms.
  pub ordered_ms: Vec<u64>,
  pub decided_ms: Vec<u64>,
  /// Requests for rare models: all, sent in time for their objective, sent at all.
  pub requests: u32,
  pub in_time: u32,
  pub served: u32,
  pub orders: u32,
  /// Requests for the popular model while it is in steady demand: all, those that ran, those
  /// that servers declined as full.
  pub popular: u32,
  pub popular_served: u32,
  pub popular_declined: u32,
  /// Its loads and its unloads while it is in demand.
  pub popular_loads: u32,
  pub popular_unloads: u32,
  /// Servers that hold it, at each second.
  pub popular_holders: Vec<usize>,
  /// Bytes of holdings published, as encoded, for one instance.
  pub published: usize,
  pub holdings: usize,
}

/// The value below which so many hundredths lie.
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
  /// It has crashed and is not back.
  lost: bool,
}

struct Waiting {
  model: String,
  arrived: u64,
}

/// Something that comes about later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Later {
  Order(usize),
  Ask(String),
  Update(usize),
  /// A run of a model at a server ends, for an instance.
  RunEnds(String, String, usize),
}

/// A replay under way.
pub struct Replay {
  plan: Plan,
  size: Size,
  trouble: Trouble,
  deployment: Arc<Deployment>,
  term: u64,
  holder: Holder,
  rng: SmallRng,
  now: u64,
  servers: BTreeMap<String, Server>,
  names: Vec<String>,
  waiting: Vec<Vec<Waiting>>,
  /// Runs of each instance, by server and model.
  runs: Vec<BTreeMap<(String, String), u32>>,
  /// Models that each instance's requests found answered since its last report.
  seen: Vec<BTreeMap<String, u32>>,
  /// Servers that hold a model, as last published.
  known: HashMap<String, BTreeSet<String>>,
  holdings: HashMap<String, BTreeSet<String>>,
  later: BinaryHeap<Reverse<(u64, u64, Later)>>,
  count: u64,
  commands: Vec<Command>,
  updates: Vec<Publication>,
  next_request: f64,
  next_popular: f64,
  /// Parts of their objectives that requests for the popular model spent at servers, by instance.
  slowness: Vec<(u32, f32)>,
  free_at: u64,
  due: u64,
  decided: HashMap<String, u64>,
  first_wait: HashMap<String, u64>,
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
    memory_mb: MODEL_MB * PLACES as u64 + 20,
    adapter_slots: 8,
    loads_per_s: 98.0,
    models: names.map(|name| (name, checkpoint.clone())).collect(),
  };
  let pool = Pool {
    engine: Some(Arc::new(engine)),
  };
  Deployment {
    version: 1,
    pools: BTreeMap::from([("pool".into(), pool)]),
    ..Deployment::default()
  }
}

impl Replay {
  /// A fleet whose servers hold some models, with copies of all on their disks.
  pub fn open(size: Size, holder: Holder, seed: u64) -> Self {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut servers: Vec<Server> = (0..size.servers).map(server).collect();
    for number in 0..size.common_places {
      let server = &mut servers[number % size.servers];
      server.held.insert(common(number % COMMON));
    }
    for number in 0..size.rare {
      for _ in 0..COPIES {
        let place = rng.random_range(0..size.servers);
        servers[place].spec.on_disk.push(rare(number));
        if servers[place].held.len() < PLACES {
          servers[place].held.insert(rare(number));
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
      trouble: Trouble::default(),
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
      later: BinaryHeap::new(),
      count: 0,
      commands: Vec::new(),
      updates: Vec::new(),
      next_request: 0.0,
      next_popular: size
        .popular
        .map_or(f64::INFINITY, |popular| popular.from as f64),
      slowness: vec![(0, 0.0); size.instances],
      free_at: 0,
      due: 0,
      decided: HashMap::new(),
      first_wait: HashMap::new(),
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

  /// The same with trouble.
  pub fn with(mut self, trouble: Trouble) -> Self {
    self.trouble = trouble;
    self
  }

  /// A holder begins, and knows nothing.
  fn take_over(&mut self) {
    self.term += 1;
    self.plan = Plan::new("10.0.0.1", 0, 5_000, 1.0);
    self.plan.start_term(self.now, self.term);
    self.list();
  }

  /// The holder reads the entries of the servers that are there.
  fn list(&mut self) {
    let there = self.servers.values().filter(|server| !server.lost);
    let specs = there.map(|server| server.spec.clone()).collect();
    self.plan.update_servers(self.deployment.clone(), specs);
    self.due = 0;
  }

  fn strike(&mut self) {
    if let Some((at, back, part)) = self.trouble.lost {
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
        self.list();
      }
    }
    if let Some((at, gap)) = self.trouble.takeover {
      if self.now == at {
        self.free_at = self.now + gap;
      }
      if self.now == at + gap {
        self.take_over();
      }
    }
  }

  /// Requests for common models run all the time.
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

  /// Plays all of it.
  pub fn play(mut self) -> Outcome {
    while self.now < self.size.ms {
      self.tick();
    }
    self.outcome
  }

  /// One millisecond.
  pub fn tick(&mut self) {
    self.now += 1;
    self.strike();
    self.arrive();
    self.arrive_popular();
    self.count_holders();
    while let Some(Reverse((at, _, _))) = self.later.peek()
      && *at <= self.now
    {
      if let Some(Reverse((_, _, later))) = self.later.pop() {
        self.come(later);
      }
    }
    for instance in 0..self.size.instances {
      if (self.now + instance as u64 * 7).is_multiple_of(REPORT_MS) {
        self.report(instance);
      }
    }
    if self.now >= self.due.max(self.free_at) {
      self.step();
    }
  }

  fn later(&mut self, ms: u64, later: Later) {
    self.count += 1;
    let entry = (self.now + ms, self.count, later);
    self.later.push(Reverse(entry));
  }

  fn arrive(&mut self) {
    while self.next_request <= self.now as f64 {
      let pause: f64 = self.rng.random_range(0.0..2.0);
      let now = self.now;
      let burst = self.trouble.burst;
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
        let since = self.first_wait.entry(waiting.model.clone());
        since.or_insert(self.now);
        self.waiting[instance].push(waiting);
        self.report(instance);
      }
    }
  }

  fn arrive_popular(&mut self) {
    let Some(popular) = self.size.popular else {
      return;
    };
    while self.next_popular <= self.now as f64 && self.now < popular.to {
      let pause: f64 = self.rng.random_range(0.0..2.0);
      self.next_popular += pause * 1_000.0 / popular.per_s;
      let instance = self.rng.random_range(0..self.size.instances);
      // Replicas take some seconds to come.
      let steady = self.now >= popular.from + (popular.to - popular.from) / 2;
      let ran = self.send_popular(instance);
      if steady {
        self.outcome.popular += 1;
        self.outcome.popular_served += u32::from(ran == Some(true));
        self.outcome.popular_declined += u32::from(ran == Some(false));
      }
    }
  }

  /// Sends a request for the popular model to the less busy of two servers; whether it ran,
  /// where the server held the model.
  fn send_popular(&mut self, instance: usize) -> Option<bool> {
    let holders: Vec<String> = self.known.get(POPULAR)?.iter().cloned().collect();
    let mut drawn = || holders.get(self.rng.random_range(0..holders.len().max(1)));
    let (one, other) = (drawn()?, drawn()?);
    let id = match self.servers[one].busy() <= self.servers[other].busy() {
      true => one,
      false => other,
    };
    let server = self.servers.get_mut(id).expect("a server");
    server.finish(self.now);
    if server.lost || !server.held.contains(POPULAR) {
      return None;
    }
    let (requests, slowness) = &mut self.slowness[instance];
    *requests += 1;
    if server.busy() >= SLOTS {
      *slowness += 1.0;
      return Some(false);
    }
    *slowness += QUICK + CROWDED * server.busy() as f32 / SLOTS as f32;
    *server.running.entry(POPULAR.into()).or_default() += 1;
    let run = (id.clone(), POPULAR.to_string());
    *self.runs[instance].entry(run).or_default() += 1;
    let ends = Later::RunEnds(id.clone(), POPULAR.into(), instance);
    self.later(RUN_MS, ends);
    Some(true)
  }

  fn count_holders(&mut self) {
    if self.size.popular.is_some() && self.now.is_multiple_of(1_000) {
      let held = self.servers.values();
      let held = held.filter(|server| server.held.contains(POPULAR)).count();
      self.outcome.popular_holders.push(held);
    }
  }

  /// Sends a request where its model is known to be; whether it ran.
  fn send(&mut self, instance: usize, waiting: &Waiting) -> bool {
    let holders = self.known.get(&waiting.model);
    let Some(id) = holders.and_then(|holders| holders.first()).cloned() else {
      return false;
    };
    let server = self.servers.get_mut(&id).expect("a server");
    server.finish(self.now);
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
    let took = self.now - waiting.arrived;
    self.outcome.in_time += u32::from(took <= u64::from(OBJECTIVE_MS));
    self.first_wait.remove(&waiting.model);
    let ends = Later::RunEnds(id, waiting.model.clone(), instance);
    self.later(RUN_MS, ends);
    true
  }

  fn come(&mut self, later: Later) {
    match later {
      Later::Order(number) => {
        let command = self.commands[number].clone();
        let server = self.servers.get_mut(&command.id).expect("a server");
        let waits = self.trouble.waits;
        let waits = waits.is_some_and(|waits| number.is_multiple_of(waits));
        let unload_ms = match waits {
          true => RUN_MS,
          false => self.trouble.unload_ms.unwrap_or(UNLOAD_MS),
        };
        let taken = server.carry_out(self.now, &command, unload_ms);
        self.plan.record_order_result(self.now, &command, taken);
        self.due = 0;
      }
      Later::Ask(id) => {
        let server = self.servers.get_mut(&id).expect("a server");
        let inventory = match server.lost {
          true => Err(Unheard::Ended),
          false => Ok(server.report(self.now)),
        };
        self.plan.receive_inventory(self.now, &id, inventory);
        self.due = 0;
      }
      Later::Update(number) => self.take_update(number),
      Later::RunEnds(id, model, instance) => {
        let server = self.servers.get_mut(&id).expect("a server");
        end(&mut server.running, model.clone());
        end(&mut self.runs[instance], (id, model));
      }
    }
  }

  fn take_update(&mut self, number: usize) {
    let update = std::mem::replace(&mut self.updates[number], nothing());
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
        // A caller leaves when its patience is over.
        let late = self.now > request.arrived + u64::from(PATIENCE_MS);
        if !late && !self.send(instance, &request) {
          self.waiting[instance].push(request);
        }
      }
    }
  }

  /// All instances know what a server holds.
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
    let often = common(self.rng.random_range(0..COMMON));
    *self.seen[instance].entry(often).or_default() += 1;
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
    self.due = 0;
  }

  fn step(&mut self) {
    let began = processor_time();
    let effects = self.plan.step(self.now);
    let took = processor_time().saturating_sub(began);
    self.outcome.steps.push(took);
    if let Holder::Paced { cores, rest } = self.holder {
      let ms = took.as_secs_f64() * 1_000.0 / cores * (1.0 + rest);
      self.free_at = self.now + ms as u64;
    }
    for effect in effects {
      self.effect(effect);
    }
    self.due = self.plan.next_step_at(self.now);
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
          && let Some(at) = self.decided.remove(&command.model.name)
        {
          self.outcome.ordered_ms.push(self.now - at);
        }
        self.commands.push(command);
        let number = self.commands.len() - 1;
        self.later(ORDER_MS, Later::Order(number));
      }
      Effect::Query { id, .. } => self.later(ORDER_MS, Later::Ask(id)),
      Effect::Publish(update) => {
        self.outcome.holdings += update.holdings.len();
        self.updates.push(update);
        let number = self.updates.len() - 1;
        let update_ms = self
          .size
          .popular
          .map_or(UPDATE_MS, |popular| popular.update_ms);
        self.later(update_ms, Later::Update(number));
      }
      Effect::Log {
        what: "load",
        model,
        ..
      } => {
        if let Some(since) = self.first_wait.get(&model) {
          self.outcome.decided_ms.push(self.now - since);
        }
        self.decided.insert(model, self.now);
      }
      Effect::Log { .. } => {}
    }
  }
}

/// Processor time of this thread: a wall clock counts what other processes take.
fn processor_time() -> Duration {
  let time = clock_gettime(ClockId::ThreadCPUTime);
  Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}

fn nothing() -> Publication {
  Publication {
    to: None,
    since: 0,
    latest: 0,
    holdings: Vec::new(),
    loads: Vec::new(),
  }
}

fn end<K: Ord>(runs: &mut BTreeMap<K, u32>, run: K) {
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
  /// It crashes, or is back, with nothing but its disk.
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

  /// Requests that it runs.
  fn busy(&self) -> u32 {
    self.running.values().sum()
  }

  fn finish(&mut self, now: u64) {
    if now >= self.busy_until
      && let Some(model) = self.loading.take()
    {
      self.held.insert(model);
    }
  }

  fn carry_out(&mut self, now: u64, command: &Command, unload_ms: u64) -> Taken {
    if self.lost {
      return Taken::NotSent;
    }
    self.finish(now);
    if now < self.busy_until || command.born != self.spec.born || command.orders != self.orders {
      return Taken::Conflict;
    }
    self.orders += 1;
    let name = command.model.name.clone();
    match command.act {
      Act::Load => {
        let near = self.spec.on_disk.contains(&name);
        self.busy_until = now + if near { DISK_MS } else { REMOTE_MS };
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
    self.finish(now);
    let held = self.held.iter();
    Inventory {
      born: self.spec.born,
      models: held.map(|name| (name.clone(), Vec::new())).collect(),
      busy: now < self.busy_until,
      orders: self.orders,
      queued: 0,
      running: 0,
    }
  }
}
