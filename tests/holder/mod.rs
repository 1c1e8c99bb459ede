//! A simulated lease holder, and the servers that execute its orders.
#![allow(dead_code)]

use bendsaddle::{
  backend::{Spec, Stage},
  build,
  command::{Act, Command, Inventory, Taken, Unheard},
  demand::{Demand, Model},
  deployment::{Checkpoint, Deployment, Engine, Pool},
  life::Life,
  placement::plan::{Effect, Plan, Report},
  placement::urgency::Wait,
  strain::Sample,
};
use std::{
  collections::{BTreeMap, BTreeSet},
  sync::Arc,
};

pub const MEMORY_MB: u64 = 230;
pub const MODEL_MB: u64 = 70;

/// Servers that execute orders, and the plan that sends the orders.
pub struct World {
  pub plan: Plan,
  pub deployment: Arc<Deployment>,
  pub now: u64,
  pub servers: BTreeMap<String, Server>,
  /// Models with their numbers of waiting requests, and running requests by server and model.
  pub waiting: Vec<(String, u32)>,
  pub running: Vec<(String, String, u32)>,
  pub orders: Vec<Command>,
  pub query_count: u32,
  /// Time that adapters take to arrive, ms.
  pub adapters_arrive_after_ms: u64,
  /// Whether adapters are in use; such adapters are unloaded only once their requests have ended.
  pub adapters_in_use: bool,
  /// Servers and models that requests did not find there.
  pub missing: Vec<(String, String)>,
  /// Servers that requested a backoff.
  pub backing_off: Vec<String>,
  /// Load samples of servers, as observed by requests.
  pub strain: Vec<Sample>,
  /// Result of all further orders, which are then not executed; `None` to execute them.
  pub order_result: Option<Taken>,
  /// Servers whose processes have terminated.
  pub ended: BTreeSet<String>,
  /// Servers whose responses have not arrived yet.
  pub unresponsive: BTreeSet<String>,
  /// How long the oldest waiting request has waited, ms.
  pub age_ms: u64,
}

pub struct Server {
  pub spec: Spec,
  pub held: BTreeMap<String, Vec<String>>,
  pub orders: u64,
  pub busy_until: u64,
  pub loading: Option<String>,
  /// Adapters on their way: when they arrive, ms, the model and the adapter.
  pub incoming: Vec<(u64, String, String)>,
}

pub fn engine(models: &[&str]) -> Engine {
  let checkpoint = Checkpoint {
    memory_mb: MODEL_MB,
    warm_ms: 400,
    disk_ms: 800,
    remote_ms: 6_000,
    adapters: vec!["a1".into(), "a2".into(), "a3".into()],
    adapter_mb: 1,
  };
  Engine {
    slots: 64,
    kv_tokens: 100_000,
    memory_mb: MEMORY_MB,
    adapter_slots: 2,
    loads_per_s: 3.0,
    models: models
      .iter()
      .map(|name| (name.to_string(), checkpoint.clone()))
      .collect(),
  }
}

impl World {
  pub fn new(models: &[&str], servers: &[(&str, &[&str], &[&str])]) -> Self {
    let mut plan = Plan::new("10.0.0.1", 0, 5_000, 1.0);
    let pool = Pool {
      engine: Some(Arc::new(engine(models))),
      ..Pool::default()
    };
    let deployment = Deployment {
      version: 1,
      pools: BTreeMap::from([("pool".into(), pool)]),
      ..Deployment::default()
    };
    let servers: BTreeMap<String, Server> = servers
      .iter()
      .map(|(id, held, disk)| {
        let held: BTreeMap<String, Vec<String>> = held
          .iter()
          .map(|name| (name.to_string(), Vec::new()))
          .collect();
        let spec = Spec {
          id: id.to_string(),
          born: 0,
          build: build::Id::of("1"),
          pool: "pool".into(),
          address: "127.0.0.1:9".parse().unwrap(),
          zone: "a".into(),
          slots: 64,
          stage: Stage::Ready,
          models: held.clone(),
          in_memory: Vec::new(),
          on_disk: disk.iter().map(|name| name.to_string()).collect(),
        };
        let server = Server {
          spec,
          held,
          orders: 0,
          busy_until: 0,
          loading: None,
          incoming: Vec::new(),
        };
        (id.to_string(), server)
      })
      .collect();
    plan.start_term(0, 1);
    let specs = servers.values().map(|server| server.spec.clone()).collect();
    let deployment = Arc::new(deployment);
    plan.update_servers(deployment.clone(), specs);
    Self {
      plan,
      deployment,
      now: 10_000,
      servers,
      waiting: Vec::new(),
      running: Vec::new(),
      orders: Vec::new(),
      query_count: 0,
      adapters_arrive_after_ms: 0,
      adapters_in_use: false,
      missing: Vec::new(),
      backing_off: Vec::new(),
      strain: Vec::new(),
      order_result: None,
      ended: BTreeSet::new(),
      unresponsive: BTreeSet::new(),
      age_ms: 0,
    }
  }

  /// Lists these servers, and no others, in the store.
  pub fn list_servers(&mut self, ids: &[&str]) {
    let deployment = self.deployment.clone();
    let listed = self.servers.iter_mut();
    let listed = listed.filter(|(id, _)| ids.contains(&id.as_str()));
    let specs = listed.map(|(_, server)| {
      server.spec.models = server.held.clone();
      server.spec.clone()
    });
    self.plan.update_servers(deployment, specs.collect());
  }

  pub fn report(&mut self) {
    let demand = self.waiting.iter().map(|(model, waiting)| Demand {
      pool: "pool".into(),
      model: Model::parse(model),
      waiting: *waiting,
      priority: 0,
      age_ms: self.age_ms,
      waits: vec![Wait {
        requests: *waiting,
        objective_ms: 1_000,
        patience_ms: 10_000,
      }],
    });
    let missing = std::mem::take(&mut self.missing);
    let running = self.running.iter();
    let report = Report {
      instance: "one".into(),
      machine: 1,
      demand: demand.collect(),
      running: running
        .map(|(id, model, count)| (self.life(id), Model::parse(model), *count))
        .collect(),
      missing: missing
        .into_iter()
        .map(|(id, model)| (self.life(&id), model))
        .collect(),
      known: Vec::new(),
      behind: false,
      resting: self.backing_off.iter().map(|id| self.life(id)).collect(),
      strain: self.strain.clone(),
    };
    let address = "127.0.0.1:1".parse().unwrap();
    self.plan.receive_report(self.now, address, report);
  }

  /// Advances the time; executes orders and responds to queries.
  pub fn run(&mut self, ms: u64) {
    let end = self.now + ms;
    while self.now < end {
      self.now += 10;
      self.report();
      for effect in self.plan.step(self.now) {
        match effect {
          Effect::Order(command) => self.order(command),
          Effect::Query { id, .. } => self.respond_to_query(&id),
          Effect::Publish(_) | Effect::Log { .. } => {}
        }
      }
    }
  }

  pub fn order(&mut self, command: Command) {
    self.orders.push(command.clone());
    let result = match self.order_result {
      Some(fate) => fate,
      None => self.carry_out(&command),
    };
    self.plan.record_order_result(self.now, &command, result);
  }

  pub fn carry_out(&mut self, command: &Command) -> Taken {
    let now = self.now;
    let server = self.servers.get_mut(&command.id).unwrap();
    server.finish(now);
    if now < server.busy_until || command.orders != server.orders {
      return Taken::Conflict;
    }
    server.orders += 1;
    let name = command.model.name.clone();
    match (command.act, &command.model.adapter) {
      (Act::Load, Some(adapter)) => {
        let arrives_at = now + self.adapters_arrive_after_ms;
        server.incoming.push((arrives_at, name, adapter.clone()));
        server.finish(now);
      }
      (Act::Unload, Some(_)) if self.adapters_in_use => return Taken::Accepted,
      (Act::Unload, Some(adapter)) => {
        let held = server.held.get_mut(&name).unwrap();
        held.retain(|known| known != adapter);
        return Taken::Done;
      }
      (Act::Load, None) => {
        let used = server.held.len() as u64 * MODEL_MB;
        assert!(
          used + MODEL_MB <= MEMORY_MB,
          "{} is overcommitted",
          command.id
        );
        let is_on_disk = server.spec.on_disk.contains(&name);
        server.busy_until = now + if is_on_disk { 800 } else { 6_000 };
        server.loading = Some(name);
      }
      (Act::Unload, None) => {
        server.held.remove(&name);
        server.busy_until = now + 40;
      }
    }
    let adapters: usize = server.held.values().map(Vec::len).sum();
    let adapters = adapters + server.incoming.len();
    assert!(adapters <= 2, "{} has more adapters than slots", command.id);
    Taken::Accepted
  }

  pub fn respond_to_query(&mut self, id: &str) {
    self.query_count += 1;
    let now = self.now;
    if self.unresponsive.contains(id) {
      return;
    }
    if self.ended.contains(id) {
      return self.plan.receive_inventory(now, id, Err(Unheard::Ended));
    }
    let server = self.servers.get_mut(id).unwrap();
    server.finish(now);
    let mut models = server.held.clone();
    let mut incoming: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (_, model, adapter) in &server.incoming {
      for adapters in [&mut models, &mut incoming] {
        adapters
          .entry(model.clone())
          .or_default()
          .push(adapter.clone());
      }
    }
    let inventory = Inventory {
      born: server.spec.born,
      models,
      incoming,
      busy: now < server.busy_until,
      orders: server.orders,
      queued: 0,
      running: 0,
    };
    self.plan.receive_inventory(now, id, Ok(inventory));
  }

  /// Returns the current life of a server.
  pub fn life(&self, id: &str) -> Life {
    Life::of(
      id,
      self.servers.get(id).map_or(0, |server| server.spec.born),
    )
  }

  /// Restarts a server under its id and address: it holds no models and counts orders from 0.
  pub fn restart(&mut self, id: &str, born: u64) {
    let server = self.servers.get_mut(id).unwrap();
    server.spec.born = born;
    server.spec.models.clear();
    server.held.clear();
    server.orders = 0;
    server.busy_until = 0;
    server.loading = None;
  }

  pub fn holds(&mut self, id: &str, model: &str) -> bool {
    let now = self.now;
    let server = self.servers.get_mut(id).unwrap();
    server.finish(now);
    server.held.contains_key(model)
  }

  pub fn loads(&self) -> Vec<(String, String)> {
    let loads = self
      .orders
      .iter()
      .filter(|order| order.act == Act::Load && order.model.adapter.is_none());
    loads
      .map(|order| (order.id.clone(), order.model.name.clone()))
      .collect()
  }
}

impl Server {
  pub fn finish(&mut self, now: u64) {
    if now >= self.busy_until
      && let Some(model) = self.loading.take()
    {
      self.held.insert(model, Vec::new());
    }
    for (_, model, adapter) in self.incoming.extract_if(.., |(at, ..)| *at <= now) {
      self.held.get_mut(&model).unwrap().push(adapter);
    }
  }
}
