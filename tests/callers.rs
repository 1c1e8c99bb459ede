//! Replicas by what callers see: the instance that sends requests and the planner together, over
//! a small fake of the servers.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::{Spec, Stage},
  build,
  command::{Act, Command, Inventory, Taken},
  content,
  demand::Model,
  deployment::{Checkpoint, Deployment, Engine, Pool},
  dispatch::{Descriptor, Effect, End, Event, State},
  feature::Features,
  message::Extension,
  placement::plan::{self, Plan, Report},
  request::Ticket,
  route::{Repeat, Route, Stream},
  tokens::Tokens,
};
use requests::BOUND;
use std::{
  collections::{BTreeMap, VecDeque},
  net::SocketAddr,
  sync::Arc,
};

const SLOTS: usize = 12;
const QUEUE: usize = 36;
const MODEL_MB: u64 = 70;
/// Time to read a prompt on an idle server, ms.
const PROMPT_MS: u64 = 66;
/// Duration of a stream among few and among many others after its first event, ms.
const STREAM_MS: u64 = 1_000;
const CROWDED_STREAM_MS: u64 = 2_500;
/// Streams from which a server is crowded.
const CROWD: usize = 6;
/// Time until a caller without a byte leaves, ms.
const PATIENCE_MS: u64 = 2_400;
const LOAD_MS: u64 = 800;
const STEP_MS: u64 = 5;
const REPORT_MS: u64 = 150;
const RECHECK_MS: u64 = 100;

/// A server that reads one prompt at a time.
struct Server {
  spec: Spec,
  held: Vec<String>,
  orders: u64,
  busy_until: u64,
  loading: Option<String>,
  /// Requests whose prompts were not read yet.
  queue: VecDeque<(Ticket, String)>,
  /// When the prompt of the first request in the queue has been read, ms.
  read_at: Option<u64>,
  /// Streams and their ends, ms.
  streams: Vec<(Ticket, u64)>,
}

impl Server {
  fn new(number: usize, held: &[String], on_disk: &[String]) -> Self {
    let models = held.iter().map(|name| (name.clone(), Vec::new()));
    let models = models.collect();
    let spec = Spec {
      id: format!("s{number}"),
      born: 1,
      build: build::Id::of("1"),
      pool: "pool".into(),
      address: "127.0.0.1:9".parse().unwrap(),
      zone: "a".into(),
      slots: SLOTS as u32,
      stage: Stage::Ready,
      models,
      in_memory: Vec::new(),
      on_disk: on_disk.to_vec(),
    };
    Self {
      spec,
      held: held.to_vec(),
      orders: 0,
      busy_until: 0,
      loading: None,
      queue: VecDeque::new(),
      read_at: None,
      streams: Vec::new(),
    }
  }

  fn finish_load(&mut self, now: u64) {
    if now >= self.busy_until
      && let Some(model) = self.loading.take()
    {
      self.held.push(model);
    }
  }
}

/// An instance, the planner and the servers.
struct World {
  state: State,
  plan: Plan,
  servers: Vec<Server>,
  now: u64,
  next_ticket: u64,
  /// Requests without a byte, and when their callers leave, ms.
  silent: BTreeMap<Ticket, u64>,
  /// Loads ordered: when, ms, where, and the model.
  loads: Vec<(u64, String, String)>,
  /// Callers that left, by model.
  left: BTreeMap<String, u32>,
  /// Models of the requests.
  models: BTreeMap<Ticket, String>,
}

fn route() -> Route {
  let stream = Stream {
    resumable: true,
    gap_ms: 300,
  };
  Route {
    objective_ms: 600,
    timeout_ms: 10_000,
    ..requests::route(Repeat::Never, Some(stream), 2)
  }
}

fn deployment(names: &[String]) -> Deployment {
  let checkpoint = Checkpoint {
    memory_mb: MODEL_MB,
    warm_ms: 400,
    disk_ms: LOAD_MS,
    remote_ms: 13_000,
    adapters: Vec::new(),
    adapter_mb: 1,
  };
  let engine = Engine {
    slots: SLOTS as u32,
    kv_tokens: 68_000,
    memory_mb: 230,
    adapter_slots: 8,
    loads_per_s: 52.0,
    models: names
      .iter()
      .map(|name| (name.clone(), checkpoint.clone()))
      .collect(),
  };
  let pool = Pool {
    engine: Some(Arc::new(engine)),
    ..Pool::default()
  };
  Deployment {
    version: 1,
    routes: vec![Arc::new(route())],
    pools: BTreeMap::from([("pool".into(), pool)]),
    ..Deployment::default()
  }
}

impl World {
  /// Servers with the models that they hold and those of which they have a copy on disk.
  fn new(servers: &[(Vec<String>, Vec<String>)]) -> Self {
    let features = Features {
      caller_strain: true,
      prompt_work: true,
      ..Features::default()
    };
    let names = servers
      .iter()
      .flat_map(|(held, on_disk)| held.iter().chain(on_disk));
    let names: Vec<String> = names.cloned().collect();
    let deployment = Arc::new(deployment(&names));
    let servers = servers.iter().enumerate();
    let servers: Vec<Server> = servers
      .map(|(number, (held, on_disk))| Server::new(number, held, on_disk))
      .collect();
    let specs: Vec<Spec> = servers.iter().map(|server| server.spec.clone()).collect();
    let mut state = State::new("a", BOUND, 1);
    state.features = features;
    state.reduce(0, Event::Deployed(deployment.clone()));
    let list = bendsaddle::dispatch::Change::All(specs.clone());
    state.reduce(0, Event::Servers(vec![list]));
    let mut plan = Plan::new("10.0.0.1", 0, 5_000, 1.1);
    plan.features = features;
    plan.start_term(0, 1);
    plan.update_servers(deployment, specs);
    let mut world = Self {
      state,
      plan,
      servers,
      now: 0,
      next_ticket: 0,
      silent: BTreeMap::new(),
      loads: Vec::new(),
      left: BTreeMap::new(),
      models: BTreeMap::new(),
    };
    // The planner queries the servers before anything arrives.
    world.run(1_000, &[]);
    world
  }

  /// Runs for `ms`. Each of `demand` is an interval in ms, and the models that are requested in
  /// turn at this interval.
  fn run(&mut self, ms: u64, demand: &[(u64, &[String])]) {
    let end = self.now + ms;
    while self.now < end {
      self.now += STEP_MS;
      for (interval, models) in demand {
        if self.now.is_multiple_of(*interval) {
          let turn = (self.now / interval) as usize % models.len();
          self.arrive(&models[turn]);
        }
      }
      self.let_callers_leave();
      for index in 0..self.servers.len() {
        self.advance_server(index);
      }
      self.recheck();
      if self.now.is_multiple_of(REPORT_MS) {
        self.report();
      }
      let effects = self.plan.step(self.now);
      effects
        .into_iter()
        .for_each(|effect| self.carry_out(effect));
    }
  }

  fn arrive(&mut self, model: &str) {
    self.next_ticket += 1;
    let ticket = Ticket(self.next_ticket);
    let descriptor = Descriptor {
      ticket,
      id: format!("r{}", ticket.0),
      route: Arc::new(route()),
      pool: "pool".into(),
      model: Some(Model::parse(model)),
      affinity: 0,
      deadline: self.now + 10_000,
      content: content::Key(u128::from(ticket.0)),
      parts: Default::default(),
      caller: None,
      tokens: Tokens::parse(Some("1460,200"), None),
      resumption: None,
    };
    self.silent.insert(ticket, self.now + PATIENCE_MS);
    self.models.insert(ticket, model.into());
    self.apply(Event::Arrived(descriptor));
  }

  /// Checks the waiting requests again.
  fn recheck(&mut self) {
    if self.now.is_multiple_of(RECHECK_MS) {
      let waiting = self.state.waiting.iter().map(|(.., ticket)| *ticket);
      let waiting: Vec<Ticket> = waiting.collect();
      waiting
        .into_iter()
        .for_each(|ticket| self.apply(Event::Recheck(ticket)));
    }
  }

  fn apply(&mut self, event: Event) {
    for effect in self.state.reduce(self.now, event) {
      match effect {
        Effect::Send(attempt) => self.receive(&attempt.id, attempt.ticket),
        Effect::Refuse(ticket, _) => {
          self.silent.remove(&ticket);
        }
        _ => {}
      }
    }
  }

  fn receive(&mut self, id: &str, ticket: Ticket) {
    let server = self.servers.iter_mut().find(|server| server.spec.id == id);
    let server = server.unwrap();
    let model = self.models[&ticket].clone();
    if !server.held.contains(&model) {
      return self.end(ticket, End::Missing);
    }
    if server.queue.len() + server.streams.len() >= SLOTS + QUEUE {
      return self.end(ticket, End::Full);
    }
    server.queue.push_back((ticket, model));
  }

  fn end(&mut self, ticket: Ticket, end: End) {
    self.apply(Event::Ended { ticket, end });
  }

  fn let_callers_leave(&mut self) {
    let now = self.now;
    let leaving: Vec<Ticket> = self
      .silent
      .extract_if(.., |_, until| *until <= now)
      .map(|(ticket, _)| ticket)
      .collect();
    for ticket in leaving {
      *self.left.entry(self.models[&ticket].clone()).or_default() += 1;
      let queues = self.servers.iter_mut().map(|server| &mut server.queue);
      queues.for_each(|queue| queue.retain(|(queued, _)| *queued != ticket));
      let sent = self.state.requests[&ticket].backend.is_some();
      match sent {
        true => self.end(ticket, End::Left),
        false => self.apply(Event::CallerGone(ticket)),
      }
    }
  }

  fn advance_server(&mut self, index: usize) {
    let now = self.now;
    let server = &mut self.servers[index];
    server.finish_load(now);
    let done = server.streams.extract_if(.., |(_, until)| *until <= now);
    let done: Vec<Ticket> = done.map(|(ticket, _)| ticket).collect();
    if server.read_at.is_some_and(|at| at <= now) {
      server.read_at = None;
      if let Some((ticket, _)) = server.queue.pop_front() {
        let crowded = server.streams.len() >= CROWD;
        let stream_ms = if crowded {
          CROWDED_STREAM_MS
        } else {
          STREAM_MS
        };
        server.streams.push((ticket, now + stream_ms));
        self.silent.remove(&ticket);
        self.apply(Event::ResponseStarted(ticket));
      }
    }
    let server = &mut self.servers[index];
    if server.read_at.is_none() && !server.queue.is_empty() && server.streams.len() < SLOTS {
      server.read_at = Some(now + PROMPT_MS);
    }
    for ticket in done {
      self.end(ticket, End::Whole);
    }
  }

  fn report(&mut self) {
    let now = self.now;
    let state = &mut self.state;
    let running = state.running.iter().map(|((key, model), count)| {
      let life = state.backends[*key].spec.life();
      (life, model.clone(), *count)
    });
    let running = running.collect();
    let extension = Extension {
      samples: state.take_samples(now),
      ..Extension::default()
    };
    let report = Report {
      instance: "one".into(),
      machine: 1,
      demand: state.demand(now),
      running,
      missing: state.missing(now),
      resting: Vec::new(),
      strain: state.take_strain(),
      known: Vec::new(),
      behind: false,
    };
    let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
    self.plan.receive_report(now, address, report);
    self.plan.receive_extension(now, address, &extension);
  }

  fn carry_out(&mut self, effect: plan::Effect) {
    let now = self.now;
    match effect {
      plan::Effect::Order(command) => {
        let taken = self.order(&command);
        self.plan.record_order_result(now, &command, taken);
      }
      plan::Effect::Query { id, .. } => {
        let server = self.servers.iter().find(|server| server.spec.id == id);
        let server = server.unwrap();
        let held = server.held.iter().map(|name| (name.clone(), Vec::new()));
        let inventory = Inventory {
          born: 1,
          models: held.collect(),
          incoming: BTreeMap::new(),
          busy: now < server.busy_until,
          orders: server.orders,
          queued: 0,
          running: 0,
        };
        self.plan.receive_inventory(now, &id, Ok(inventory));
      }
      plan::Effect::Publish(publication) => {
        let holdings = publication.holdings.into_iter();
        self.apply(Event::Updated {
          holdings: holdings.map(|(_, holding)| holding).collect(),
          group: None,
          loads: publication.loads,
          instances: 1,
        });
      }
      plan::Effect::Log { .. } => {}
    }
  }

  /// When a model was first ordered to be loaded, ms, and where.
  fn first_load(&self, model: &str) -> Option<(u64, String)> {
    let found = self.loads.iter().find(|(.., name)| name == model);
    found.map(|(at, server, _)| (*at, server.clone()))
  }

  fn order(&mut self, command: &Command) -> Taken {
    let now = self.now;
    let mut servers = self.servers.iter_mut();
    let server = servers.find(|server| server.spec.id == command.id).unwrap();
    if now < server.busy_until || command.orders != server.orders {
      return Taken::Conflict;
    }
    server.orders += 1;
    let name = command.model.name.clone();
    match command.act {
      Act::Load => {
        self.loads.push((now, command.id.clone(), name.clone()));
        server.busy_until = now + LOAD_MS;
        server.loading = Some(name);
      }
      Act::Unload => {
        server.held.retain(|held| *held != name);
        server.busy_until = now + 40;
      }
    }
    Taken::Accepted
  }
}

fn names(prefix: &str, numbers: std::ops::Range<usize>) -> Vec<String> {
  numbers.map(|number| format!("{prefix}{number}")).collect()
}

#[test]
fn a_model_in_demand_leaves_its_only_server_within_a_second() {
  // Callers that left without a byte and those that still waited were no samples, so a server
  // ran 41 to 51 requests for 17 s while others were idle. The only other server with a copy
  // loaded models for one or two waiting requests each.
  let popular = vec!["popular".to_string()];
  let rare = names("rare", 0..40);
  let mut servers = vec![([popular.clone(), names("held", 0..2)].concat(), vec![])];
  for number in 1..6 {
    let held = names("held", 3 * number..3 * number + 3);
    let mut copies = rare.clone();
    if number == 1 {
      copies.push("popular".into());
    }
    servers.push((held, copies));
  }
  let mut world = World::new(&servers);
  world.run(3_000, &[(150, &rare)]);
  let began = world.now;
  world.run(6_000, &[(40, &popular), (150, &rare)]);
  let first = world.first_load("popular").map(|(at, _)| at - began);
  let left = world.left.get("popular").copied().unwrap_or_default();
  assert!(
    first.is_some_and(|ms| ms < 1_000),
    "ordered after {first:?} ms, {left} callers left"
  );
}

#[test]
fn callers_that_left_or_still_wait_are_samples() {
  // Only requests that were answered or declined were samples, so the slowest server had fewest.
  let servers = [(vec!["popular".to_string()], vec![])];
  let mut world = World::new(&servers);
  // The server answers nothing.
  world.servers[0].read_at = Some(u64::MAX);
  world.arrive("popular");
  world.arrive("popular");
  let sample = |world: &mut World| {
    let samples = world.state.take_samples(world.now);
    let slowness: f32 = world
      .state
      .take_strain()
      .iter()
      .map(|sample| sample.slowness)
      .sum();
    let left: u32 = samples.models.iter().map(|sample| sample.left).sum();
    (slowness, left)
  };
  assert_eq!(sample(&mut world), (0.0, 0));
  world.now += 650;
  assert_eq!(sample(&mut world), (2.0, 0), "one objective has passed");
  assert_eq!(sample(&mut world), (0.0, 0), "which counts once");
  world.now += PATIENCE_MS;
  world.let_callers_leave();
  assert_eq!(
    sample(&mut world),
    (6.0, 2),
    "each objective counts until the caller leaves, up to four"
  );
}

#[test]
fn replicas_give_way_when_demand_moves() {
  // Waves out of phase: a model's replicas are not kept after its demand has gone.
  let one = vec!["one".to_string()];
  let two = vec!["two".to_string()];
  let mut servers = vec![
    ([one.clone(), names("held", 0..2)].concat(), vec![]),
    ([two.clone(), names("held", 3..5)].concat(), vec![]),
  ];
  for number in 2..8 {
    let held = names("held", 3 * number..3 * number + 3);
    servers.push((held, vec!["one".into(), "two".into()]));
  }
  let mut world = World::new(&servers);
  world.run(8_000, &[(100, &one)]);
  let holders = |world: &World, model: &str| {
    let servers = world.servers.iter();
    let held = servers.filter(|server| server.held.iter().any(|held| held == model));
    held.count()
  };
  let before = (holders(&world, "one"), holders(&world, "two"));
  assert!(before.0 >= 3 && before.1 == 1, "{before:?}");
  world.run(8_000, &[(100, &two)]);
  let after = (holders(&world, "one"), holders(&world, "two"));
  assert!(after.1 >= 3, "{after:?}");
}
