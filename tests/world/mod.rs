//! Simulation of several reducers with a model of the platform, engines and network. A list of
//! numbers determines the interleaving, losses, pauses and restarts.

use bendsaddle::{
  attempt::{Attempt, End},
  claim,
  effect::Effect,
  event::{Event, Listing},
  fact::MachineState,
  ledger,
  object::{Kind, Name, Object},
  order::{self, Act, Order, Status},
  record,
  reduce::reduce,
  refusal::Refusal,
  replica::Id,
  report::{Report, Resident, Stage},
  request::{Class, Descriptor, Ticket, Work},
  settings::Limits,
  state::{Identity, State},
  update::{Change, Outcome, Stored, Value},
  verdict::Verdict,
};
use std::collections::{BTreeMap, BTreeSet};

pub const INSTANCES: usize = 3;
pub const MODELS: [&str; 3] = ["alpha", "beta", "gamma"];
pub const SERVERS: [&str; 2] = ["north", "south"];
const MODEL_MB: u64 = 60;
const CAPACITY_MB: u64 = 100;

struct Engine {
  fencing: bool,
  fence: u64,
  boot: u64,
  seq: u64,
  replicas: BTreeMap<Id, (String, Stage)>,
}

struct Node {
  state: State,
  alive: bool,
  paused: bool,
}

/// An effect, message or write in transit. The first two fields of all variants except
/// `DelayedWrite` are the index and the boot of an instance.
#[derive(Clone)]
enum Pending {
  Effect(usize, u64, Effect),
  /// An order on the network. The last field is the time it was sent, ms.
  Order(usize, u64, Order, u64, u64),
  Event(usize, u64, Event),
  /// A conditional write whose sender no longer waits for the result.
  DelayedWrite(Name, u64, Value),
}

/// A mechanism that is disabled to verify that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
  /// Memory is reserved beyond the capacity.
  Memory,
  /// Replicas are decided beyond the limit.
  Limit,
  /// Memory is freed while a load order may be in transit.
  InFlight,
  /// Claims are lost.
  Claims,
}

impl Defect {
  fn inject(self, change: Change, value: &mut Value) -> Change {
    match (self, change) {
      (Self::Memory, Change::Server(mut change)) => {
        if let ledger::Change::Reserve { capacity_mb, .. } = &mut change {
          *capacity_mb *= 10;
        }
        Change::Server(change)
      }
      (Self::Limit, Change::Model(mut change)) => {
        if let record::Change::Add { limit, .. } = &mut change {
          *limit *= 10;
        }
        Change::Model(change)
      }
      (Self::InFlight, Change::Server(mut change)) => {
        if let ledger::Change::Release { fenced, .. } = &mut change {
          *fenced = true;
        }
        Change::Server(change)
      }
      (Self::Claims, change @ Change::Claims { .. }) => {
        *value = Value::Claims(claim::Shard::default());
        change
      }
      (_, change) => change,
    }
  }
}

pub struct World {
  defect: Option<Defect>,
  /// Whether one of the engines checks fencing tokens.
  fenced: bool,
  now: u64,
  nodes: Vec<Node>,
  platform: BTreeMap<Name, (u64, Value)>,
  revision: u64,
  engines: BTreeMap<String, Engine>,
  pending: Vec<Pending>,
  listed: BTreeMap<String, MachineState>,
  /// Number of runs of each request; `ran_key` has those of each key.
  ran: BTreeMap<(usize, u64, u64), u32>,
  ran_key: BTreeMap<u64, u32>,
  keys: BTreeMap<(usize, u64, u64), u64>,
  answered: BTreeSet<(usize, u64, u64)>,
  requested: BTreeSet<(usize, u64, u64)>,
  next_ticket: u64,
  /// Whether to hold the next load order in transit.
  delay_load: bool,
  delayed: Option<(Order, u64)>,
  pub violations: Vec<String>,
}

fn limits() -> Limits {
  Limits {
    order_ttl_ms: 3_000,
    load_ms: 20_000,
    audit_ms: 2_000,
    deadline_ms: 20_000,
    ..Limits::default()
  }
}

fn identity(at: usize, boot: u64) -> Identity {
  Identity {
    instance: format!("entry-{at}"),
    zone: "zone".into(),
    peer_address: format!("10.0.0.{at}:1"),
    operator_address: format!("10.0.0.{at}:2"),
    boot,
    seeds: (0..INSTANCES).map(|at| format!("10.0.0.{at}:1")).collect(),
  }
}

fn configuration(fenced: bool) -> Vec<Object> {
  let object = |kind, name: &str, version, value: serde_json::Value| Object {
    name: Name::new(kind, name),
    version,
    value: Some(value.to_string()),
  };
  let models = MODELS.iter().enumerate().map(|(at, name)| {
    let value = serde_json::json!({ "memoryMb": MODEL_MB });
    object(Kind::Model, name, at as u64 + 1, value)
  });
  let servers = SERVERS.iter().enumerate().map(|(at, name)| {
    let value = serde_json::json!({ "address": format!("10.0.1.{at}:1"), "zone": "zone",
      "memoryMb": CAPACITY_MB, "slots": 2, "fencing": fenced && at == 0 });
    object(Kind::Server, name, at as u64 + 11, value)
  });
  let policy = serde_json::json!({ "keepAlive": { "fixed": 1_500 } });
  let service = serde_json::json!({ "addresses": ["10.0.2.1:1", "10.0.2.2:1"] });
  models
    .chain(servers)
    .chain([
      object(Kind::Policy, "all", 21, policy),
      object(Kind::Service, "portal", 22, service),
    ])
    .collect()
}

impl World {
  pub fn open(defect: Option<Defect>) -> Self {
    Self::with(defect, true)
  }

  /// Creates a world whose engines all ignore fencing tokens.
  pub fn unfenced(defect: Option<Defect>) -> Self {
    Self::with(defect, false)
  }

  fn with(defect: Option<Defect>, fenced: bool) -> Self {
    let now = 1_000_000;
    let engine = |fencing| Engine {
      fencing,
      fence: 0,
      boot: 1,
      seq: 0,
      replicas: BTreeMap::new(),
    };
    let mut world = Self {
      defect,
      fenced,
      now,
      nodes: Vec::new(),
      platform: BTreeMap::new(),
      revision: 100,
      engines: BTreeMap::from([
        (SERVERS[0].to_string(), engine(fenced)),
        (SERVERS[1].to_string(), engine(false)),
      ]),
      pending: Vec::new(),
      listed: BTreeMap::new(),
      ran: BTreeMap::new(),
      ran_key: BTreeMap::new(),
      keys: BTreeMap::new(),
      answered: BTreeSet::new(),
      requested: BTreeSet::new(),
      next_ticket: 0,
      delay_load: false,
      delayed: None,
      violations: Vec::new(),
    };
    for at in 0..INSTANCES {
      let limits = world.limits();
      let state = State::new(identity(at, now), limits, at as u64, now);
      world.nodes.push(Node {
        state,
        alive: true,
        paused: false,
      });
      world
        .listed
        .insert(format!("entry-{at}"), MachineState::Live);
      world.handle(at, Event::ConfigurationRead(configuration(fenced)));
    }
    world
  }

  fn limits(&self) -> Limits {
    let order_ttl_ms = match self.defect {
      Some(Defect::InFlight) => 0,
      _ => limits().order_ttl_ms,
    };
    Limits {
      order_ttl_ms,
      ..limits()
    }
  }

  fn boot(&self, at: usize) -> u64 {
    self.nodes[at].state.me.boot
  }

  /// Lets an instance handle an event immediately.
  fn handle(&mut self, at: usize, event: Event) {
    if !self.nodes[at].alive {
      return;
    }
    let now = self.now;
    let boot = self.boot(at);
    for effect in reduce(&mut self.nodes[at].state, now, event) {
      match effect {
        Effect::Log(_) | Effect::Watch(_) | Effect::Stopped => {}
        effect => self.pending.push(Pending::Effect(at, boot, effect)),
      }
    }
    self.check();
  }

  fn handle_if_running(&mut self, at: usize, boot: u64, event: Event) {
    if self.boot(at) != boot || !self.nodes[at].alive {
      return;
    }
    if self.nodes[at].paused {
      self.pending.push(Pending::Event(at, boot, event));
    } else {
      self.handle(at, event);
    }
  }

  /// Runs one step of the history.
  pub fn step(&mut self, number: u16) {
    let choice = usize::from(number >> 4);
    let at = choice % INSTANCES;
    match number & 15 {
      0..=5 => self.deliver(choice, false),
      6 => self.deliver(choice, true),
      7 => self.now += [1, 20, 60, 400][choice % 4],
      8 => self.tick(at),
      9 => self.request_model(at, choice / INSTANCES),
      10 => self.request_service(at, choice / INSTANCES),
      11 => self.nodes[at].paused ^= choice % 2 == 0,
      12 if choice % 8 == 0 => self.restart(at),
      13 if choice % 8 == 0 => self.restart_engine(choice / 8),
      14 => self.now += [100, 1_000, 3_000, 8_000][choice % 4],
      15 => self.list(at),
      _ => self.tick(at),
    }
    self.check();
  }

  fn tick(&mut self, at: usize) {
    if !self.nodes[at].paused {
      self.handle(at, Event::Tick);
    }
  }

  fn request_model(&mut self, at: usize, choice: usize) {
    let model = MODELS[choice % MODELS.len()].to_string();
    self.request(at, Work::Model { model }, None);
  }

  fn request_service(&mut self, at: usize, choice: usize) {
    let key = (choice % 4) as u64;
    let work = Work::Service {
      service: "portal".into(),
      repeatable: false,
      key: Some(key),
    };
    self.request(at, work, Some(key));
  }

  fn request(&mut self, at: usize, work: Work, key: Option<u64>) {
    if self.nodes[at].paused {
      return;
    }
    self.next_ticket += 1;
    let ticket = self.next_ticket;
    let name = (at, self.boot(at), ticket);
    self.requested.insert(name);
    if let Some(key) = key {
      self.keys.insert(name, key);
    }
    self.handle(
      at,
      Event::RequestArrived(Descriptor {
        ticket: Ticket(ticket),
        work,
        class: Class::Interactive,
        deadline: self.now + 20_000,
        caller: ticket,
      }),
    );
  }

  /// Replaces a process by a new one.
  fn restart(&mut self, at: usize) {
    self.now += 1;
    let boot = self.now;
    let kept = |name: &(usize, u64, u64)| name.0 != at;
    self.requested.retain(kept);
    self.nodes[at] = Node {
      state: State::new(identity(at, boot), self.limits(), boot, boot),
      alive: true,
      paused: false,
    };
    self.handle(at, Event::ConfigurationRead(configuration(self.fenced)));
  }

  fn restart_engine(&mut self, choice: usize) {
    let name = SERVERS[choice % SERVERS.len()];
    let now = self.now;
    if let Some(engine) = self.engines.get_mut(name) {
      engine.boot = now.max(engine.boot + 1);
      engine.seq = 0;
      engine.replicas.clear();
    }
  }

  fn list(&mut self, at: usize) {
    let entries = self.listed.iter().map(|(id, state)| Listing {
      id: id.clone(),
      peer: None,
      state: *state,
    });
    let entries: Vec<_> = entries.collect();
    let revision = self.now;
    if !self.nodes[at].paused {
      self.handle(at, Event::InstancesListed { revision, entries });
    }
  }

  fn deliver(&mut self, choice: usize, fail: bool) {
    if self.pending.is_empty() {
      return;
    }
    let pick = choice % self.pending.len();
    match self.pending.swap_remove(pick) {
      Pending::DelayedWrite(name, version, value) => self.commit_write(name, version, value),
      Pending::Event(at, boot, event) => {
        let deferred = self.boot(at) == boot && self.nodes[at].paused;
        if deferred {
          self.pending.push(Pending::Event(at, boot, event));
        } else {
          self.handle_if_running(at, boot, event);
        }
      }
      Pending::Order(at, boot, order, step, sent) => self.arrive(at, boot, order, step, sent, fail),
      Pending::Effect(at, boot, effect) => {
        // Unsent effects are lost when the process ends and held while it is paused.
        if self.boot(at) != boot {
          return;
        }
        if self.nodes[at].paused {
          self.pending.push(Pending::Effect(at, boot, effect));
          return;
        }
        self.run_effect(at, boot, effect, choice, fail);
      }
    }
  }

  fn run_effect(&mut self, at: usize, boot: u64, effect: Effect, choice: usize, fail: bool) {
    match effect {
      Effect::Update {
        tag, name, change, ..
      } => {
        let (version, value) = self.read(&name);
        let stored = Stored { version, value };
        let outcome = self.update(&name, stored, change, choice, fail);
        let event = Event::Updated { tag, name, outcome };
        self.push_event(at, boot, event);
      }
      Effect::Order { order, step } => {
        let replica = order.replica;
        if self.now < order.fresh_until {
          let in_transit = Pending::Order(at, boot, order, step, self.now);
          self.pending.push(in_transit);
        } else {
          let outcome = order::Outcome::NotSent;
          self.ordered(at, boot, replica, step, outcome);
        }
      }
      Effect::Poll { server, .. } => {
        let report = if fail { None } else { self.report(&server) };
        let status = Status {
          server,
          requested_at: self.now,
          report,
        };
        self.push_event(at, boot, Event::Reported(status));
      }
      Effect::Exchange {
        peer,
        address,
        delta,
      } => {
        let to = self.node(&address);
        if fail || self.nodes[to].paused {
          self.push_event(at, boot, Event::Exchanged { peer, delta: None });
          return;
        }
        let before = self.pending.len();
        let call = bendsaddle::event::Call(self.next_ticket);
        self.handle(to, Event::Exchange { call, delta });
        let mut reply = None;
        let mut kept = Vec::new();
        for pending in self.pending.drain(before..) {
          match pending {
            Pending::Effect(_, _, Effect::Answer { delta, .. }) => reply = Some(delta),
            other => kept.push(other),
          }
        }
        self.pending.extend(kept);
        self.push_event(at, boot, Event::Exchanged { peer, delta: reply });
      }
      Effect::Notify { address, items } if !fail => {
        let to = self.node(&address);
        let from = format!("entry-{at}");
        let boot = self.boot(to);
        self.push_event(to, boot, Event::Notified { from, items });
      }
      Effect::Claim { shard, group, .. } => {
        // The owner is unreachable, so the instance writes the claims itself.
        let outcomes = None;
        self.push_event(
          at,
          boot,
          Event::ClaimAnswered {
            shard,
            group,
            outcomes,
          },
        );
      }
      Effect::Send(attempt) => self.attempt(at, boot, &attempt, choice, fail),
      Effect::Refuse { ticket, refusal } => self.refused(at, boot, ticket, refusal),
      Effect::Replay { ticket, .. } => {
        let key = self
          .keys
          .get(&(at, boot, ticket.0))
          .copied()
          .unwrap_or_default();
        if self.ran_key.get(&key).copied().unwrap_or_default() == 0 {
          self
            .violations
            .push(format!("replayed key {key}, which never ran"));
        }
        self.answered.insert((at, boot, ticket.0));
      }
      _ => {}
    }
  }

  fn push_event(&mut self, at: usize, boot: u64, event: Event) {
    self.pending.push(Pending::Event(at, boot, event));
  }

  fn ordered(&mut self, at: usize, boot: u64, replica: Id, step: u64, outcome: order::Outcome) {
    let event = Event::OrderEnded {
      replica,
      step,
      outcome,
    };
    self.push_event(at, boot, event);
  }

  fn node(&self, address: &str) -> usize {
    let mine = |node: &Node| node.state.me.peer_address == address;
    self.nodes.iter().position(mine).unwrap_or_default()
  }

  fn read(&self, name: &Name) -> (u64, Value) {
    match self.platform.get(name) {
      Some(found) => found.clone(),
      None => (0, Value::absent(name.kind).expect("a kind of our own")),
    }
  }

  fn update(
    &mut self,
    name: &Name,
    mut stored: Stored,
    change: Option<Change>,
    choice: usize,
    fail: bool,
  ) -> Outcome {
    let Some(change) = change else {
      return if fail {
        Outcome::Unavailable
      } else {
        Outcome::Applied(stored)
      };
    };
    let version = stored.version;
    let change = match self.defect {
      Some(defect) => defect.inject(change, &mut stored.value),
      None => change,
    };
    match stored.value.apply(&change) {
      Err(why) => return Outcome::Rejected(why, stored),
      Ok(false) => return Outcome::Applied(stored),
      Ok(true) => {}
    }
    match (fail, choice % 3) {
      (true, 0) => Outcome::Unavailable,
      (true, 1) => {
        let write = Pending::DelayedWrite(name.clone(), version, stored.value);
        self.pending.push(write);
        Outcome::Unavailable
      }
      (lost, _) => {
        self.commit_write(name.clone(), version, stored.value.clone());
        stored.version = self.revision;
        if lost {
          Outcome::Unavailable
        } else {
          Outcome::Applied(stored)
        }
      }
    }
  }

  fn commit_write(&mut self, name: Name, version: u64, value: Value) {
    let held = self.platform.get(&name).map(|held| held.0);
    if held.unwrap_or_default() == version {
      self.revision += 1;
      self.platform.insert(name, (self.revision, value));
    }
  }

  fn arrive(&mut self, at: usize, boot: u64, order: Order, step: u64, sent: u64, fail: bool) {
    let replica = order.replica;
    // The sender gives up after a second, the network after the lifetime of the order.
    if self.now > sent + limits().order_ttl_ms {
      let outcome = order::Outcome::Unknown;
      self.ordered(at, boot, replica, step, outcome);
      return;
    }
    if self.delay_load && matches!(order.act, Act::Load { .. }) {
      self.delay_load = false;
      self.delayed = Some((order, sent));
      let outcome = order::Outcome::Unknown;
      self.ordered(at, boot, replica, step, outcome);
      return;
    }
    if fail {
      let outcome = order::Outcome::Unknown;
      self
        .pending
        .push(Pending::Order(at, boot, order, u64::MAX, sent));
      self.ordered(at, boot, replica, step, outcome);
      return;
    }
    let outcome = self.execute(&order);
    self.ordered(at, boot, replica, step, outcome);
  }

  fn execute(&mut self, order: &Order) -> order::Outcome {
    let Some(engine) = self.engines.get_mut(&order.server) else {
      return order::Outcome::Unknown;
    };
    if engine.fencing && order.fence < engine.fence {
      return order::Outcome::Stale;
    }
    engine.fence = engine.fence.max(order.fence);
    match &order.act {
      Act::Load { model, .. } => {
        let entry = (model.clone(), Stage::Loading);
        engine.replicas.entry(order.replica).or_insert(entry);
      }
      Act::Unload => drop(engine.replicas.remove(&order.replica)),
    }
    order::Outcome::Accepted
  }

  /// Returns the report of an engine and completes its loads, so that the next report shows them
  /// as ready.
  fn report(&mut self, server: &str) -> Option<Report> {
    let engine = self.engines.get_mut(server)?;
    engine.seq += 1;
    let residents = engine.replicas.iter().map(|(id, (model, stage))| Resident {
      replica: *id,
      model: model.clone(),
      stage: *stage,
      running: 0,
      idle_ms: 60_000,
    });
    let report = Report {
      boot: engine.boot,
      seq: engine.seq,
      leaving: false,
      residents: residents.collect(),
      cached: Vec::new(),
    };
    for (_, stage) in engine.replicas.values_mut() {
      *stage = Stage::Ready;
    }
    Some(report)
  }

  fn attempt(&mut self, at: usize, boot: u64, attempt: &Attempt, choice: usize, fail: bool) {
    let name = (at, boot, attempt.ticket.0);
    let (runs, end) = match (fail, choice % 4) {
      (false, _) => (true, End::Whole),
      (true, 0) => (false, End::Broken(Verdict::NotRun)),
      (true, 1) => (false, End::Declined),
      (true, 2) => (false, End::Broken(Verdict::MayHaveRun)),
      (true, _) => (true, End::Broken(Verdict::MayHaveRun)),
    };
    if runs {
      *self.ran.entry(name).or_default() += 1;
      if let Some(key) = self.keys.get(&name) {
        *self.ran_key.entry(*key).or_default() += 1;
      }
    }
    if end == End::Whole {
      self.answered.insert(name);
    }
    let answer = (end == End::Whole).then(|| (200, Some("done".to_string())));
    let event = Event::AttemptEnded {
      ticket: attempt.ticket,
      number: attempt.number,
      end,
      answer,
    };
    self.push_event(at, boot, event);
  }

  fn refused(&mut self, at: usize, boot: u64, ticket: Ticket, refusal: Refusal) {
    let name = (at, boot, ticket.0);
    let ran = self.ran.get(&name).copied().unwrap_or_default();
    if refusal.verdict == Verdict::NotRun && ran > 0 {
      let text = format!("request {name:?} ran {ran} times, refused as not run");
      self.violations.push(text);
    }
    if !self.answered.insert(name) {
      self
        .violations
        .push(format!("request {name:?} answered twice"));
    }
  }

  fn check(&mut self) {
    for (key, ran) in &self.ran_key {
      if *ran > 1 {
        self.violations.push(format!("key {key} ran {ran} times"));
      }
    }
    let mut loaded: BTreeMap<&str, usize> = BTreeMap::new();
    for (server, engine) in &self.engines {
      let used = engine.replicas.len() as u64 * MODEL_MB;
      if used > CAPACITY_MB {
        self
          .violations
          .push(format!("{server}: {used} of {CAPACITY_MB} MB"));
      }
      for (model, _) in engine.replicas.values() {
        *loaded.entry(model).or_default() += 1;
      }
    }
    for (model, count) in loaded {
      let name = Name::new(Kind::ModelRecord, model);
      let decided = match self.platform.get(&name) {
        Some((_, Value::Model(record))) => record.replicas.len(),
        _ => 0,
      };
      if count > decided || decided > 1 {
        let text = format!("{model}: {count} loaded, {decided} decided, 1 allowed");
        self.violations.push(text);
      }
    }
  }

  /// Ends all injected failures and runs until the system is idle. Every request of a live process
  /// must have been answered by then.
  pub fn settle(&mut self) {
    for node in &mut self.nodes {
      node.paused = false;
    }
    for round in 0..1_500 {
      self.now += 40;
      for at in 0..INSTANCES {
        self.tick(at);
        if round % 50 == 0 {
          self.list(at);
        }
      }
      let mut budget = 200;
      while !self.pending.is_empty() && budget > 0 {
        self.deliver(0, false);
        budget -= 1;
      }
    }
    for name in self.requested.clone() {
      if !self.answered.contains(&name) {
        self
          .violations
          .push(format!("request {name:?} has no answer"));
      }
    }
  }

  /// Delays the load order of a process that ends until the last moment of the order's lifetime,
  /// while other processes unload the replica.
  pub fn deliver_late_load(&mut self) {
    self.run(|world| {
      let mut nodes = world.nodes.iter();
      nodes.all(|node| node.state.members.live.len() == INSTANCES)
    });
    self.delay_load = true;
    self.request_model(0, 0);
    self.run(|world| world.delayed.is_some());
    let ready = |engine: &Engine| {
      let mut replicas = engine.replicas.values();
      replicas.any(|(_, stage)| *stage == Stage::Ready)
    };
    self.run(|world| world.engines.values().any(ready));
    let mut nodes = self.nodes.iter();
    let sender = nodes.position(|node| !node.state.jobs.is_empty());
    self.restart(sender.unwrap_or_default());
    let sent = self.delayed.as_ref().map(|(_, sent)| *sent);
    let last = sent.unwrap_or_default() + limits().order_ttl_ms;
    self.run(|world| world.outstanding() == (0, 0) || world.now + 40 >= last);
    if let Some((order, _)) = self.delayed.take() {
      self.execute(&order);
      self.check();
    }
  }

  /// Runs without injected failures until a condition holds.
  fn run(&mut self, until: impl Fn(&Self) -> bool) {
    for _ in 0..1_500 {
      if until(self) {
        return;
      }
      self.now += 20;
      for at in 0..INSTANCES {
        self.tick(at);
      }
      for _ in 0..100 {
        self.deliver(0, false);
      }
    }
    self.violations.push("a condition was never met".into());
  }

  /// Number of replicas in records and of reservations in ledgers, to detect leaks.
  pub fn outstanding(&self) -> (usize, usize) {
    let mut held = (0, 0);
    for (_, value) in self.platform.values() {
      match value {
        Value::Model(record) => held.0 += record.replicas.len(),
        Value::Server(ledger) => held.1 += ledger.reservations.len(),
        _ => {}
      }
    }
    held
  }

  /// Describes the remaining state for a failure message.
  pub fn describe(&self) -> String {
    let jobs = self.nodes.iter().map(|node| {
      let jobs = node.state.jobs.values();
      let jobs: Vec<_> = jobs.map(|job| (job.step, job.due, job.failures)).collect();
      (node.state.members.live.clone(), jobs)
    });
    let jobs: Vec<_> = jobs.collect();
    format!(
      "now {} jobs {jobs:?} pending {} records {:?}",
      self.now,
      self.pending.len(),
      self.platform
    )
  }

  /// Number of answered requests.
  pub fn answered_count(&self) -> usize {
    self.answered.len()
  }
}
