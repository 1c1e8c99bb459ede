//! Which models and adapters a group of backend servers holds: decided by the one
//! machine that holds the group's lease.
//!
//! A server carries out one order at a time. A model that is wanted goes to the
//! server where it is ready soonest: by the nearest copy of its checkpoint, and by
//! what has to give way for it.

use crate::{
  backend::{Holding, Spec, Stage, missing_name, short},
  command::{Act, Command, Inventory, Taken},
  deployment::{Checkpoint, Deployment, Engine},
  dispatch::{Demand, Model},
  policy::{Evict, Policy},
  report::Tier,
};
use std::{
  collections::{BTreeMap, BTreeSet, VecDeque},
  net::SocketAddr,
  sync::Arc,
};

/// An instance not heard of for this long does not count, ms.
const MEMBER_MS: u64 = 3_000;
/// Demand told longer ago does not count, ms.
const DEMAND_MS: u64 = 600;
/// Time for instances to hear that a model leaves before it is unloaded, ms.
const LEAVE_MS: u64 = 25;
/// Pause between an unload and the load that follows, ms: runners were seen to take
/// between 30 and 60 ms for an unload without runs.
const UNLOAD_MS: u64 = 60;
/// Pause before an order that met another one is sent again, ms.
const AGAIN_MS: u64 = 60;
/// Sends of an order that meets another one.
const AGAIN_MOST: u32 = 12;
/// A server tells its holdings with this lag, ms.
const LAG_MS: u64 = 200;
/// Pause between two questions whether a load is done, ms.
const ASK_MS: u64 = 100;
/// A load may take this many times its estimate.
const LATE: u64 = 4;
/// A model used within this time does not give way, ms.
const FRESH_MS: u64 = 400;
/// Pause of a server whose order got no answer, ms: one that is carried out late
/// finds another count of orders.
const DOUBT_MS: u64 = 1_000;
/// An adapter comes within some milliseconds; time until requests may try it, ms.
const ADAPTER_MS: u64 = 15;
/// Instances cannot use what they were not told: told again this often, ms.
const TELL_MS: u64 = 500;
/// An instance that lacks changes is told all within this time after it says so,
/// ms; later it has said so again.
const BEHIND_MS: u64 = 100;
/// Changes are told together when they come this close, ms.
const TELL_LEAST_MS: u64 = 10;
/// Weight of a model's other replicas when it is considered to give way.
const SPARE: u64 = 8;
/// A request that waits for longer may have its model loaded from the weight
/// store although some server has a copy: that server seems to be of no use, ms.
const REMOTE_AGE_MS: u64 = 3_000;
/// What a request running on a server adds to the cost of a load there, ms: its
/// adapters cannot be changed meanwhile.
const LOAD_COST: u64 = 15;
/// Weight of a waiting request of the most urgent priority; a quarter for each
/// step below.
const URGENCY: u64 = 1 << 16;
/// Loads from the weight store at once that are begun without demand: further
/// ones would slow those that requests wait for.
const AHEAD_AT_ONCE: usize = 2;
/// Time over which a model's use is forgotten by half, ms.
const FADE_MS: f64 = 15_000.0;
/// Time for instances to report to a new holder, ms.
const SETTLE_MS: u64 = 150;
/// Time that each group has for a model that is waited for before the next one may
/// load it, ms: an order is told of within some ten.
const TURN_MS: u64 = 300;
/// Use is counted this often, ms.
const FADE_STEP_MS: u64 = 200;
/// Use of each replica, in requests at once, from which a model gets a further one
/// where there is room.
const HEAVY_USE: f64 = 1.5;
/// Use, in requests at once, below which a model is not loaded ahead of demand.
const USE_LEAST: f64 = 0.05;
/// Servers with a place that can be freed at once, kept in each pool and group.
const FREEABLE: usize = 1;
/// Requests a replica carries, in hundredths of its slots, before another one is
/// loaded; and up to which the others take over those of one that leaves.
const FURTHER_PERCENT: u32 = 6;
const CARRY_PERCENT: u32 = 4;
/// Requests by which a server must be below the one that has an adapter to get a
/// copy of it.
const COPY_LEAST: u32 = 2;

/// What an instance tells the planner.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Report {
  pub instance: String,
  pub demand: Vec<Demand>,
  /// Requests sent and not ended, by server and model.
  pub running: Vec<(String, Model, u32)>,
  /// For each group, the count up to which it knows the changes of holdings.
  pub known: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Member {
  address: SocketAddr,
  heard: u64,
  report: Report,
}

impl Member {
  fn knows(&self, group: u32) -> u64 {
    let known = self.report.known.get(group as usize);
    known.copied().unwrap_or_default()
  }
}

/// A step of changing what a server holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
  /// Instances are told that the victim leaves.
  Leave,
  Unload,
  Load,
  /// The load is under way.
  Await,
}

/// A change of what a server holds.
#[derive(Clone, Debug)]
struct Job {
  model: String,
  victims: Vec<String>,
  step: Step,
  due: u64,
  /// An order or a question is under way.
  waiting: bool,
  tries: u32,
  /// It takes the weight store's time.
  remote: bool,
  /// When the load should be done, and when it is given up, ms.
  until: u64,
}

#[derive(Clone, Debug)]
struct Server {
  spec: Spec,
  models: BTreeMap<String, Vec<String>>,
  orders: u64,
  /// The server was asked since this machine took the lease.
  synced: bool,
  asking: bool,
  leaving: BTreeSet<String>,
  job: Option<Job>,
  /// Adapter orders under way.
  adapters: Vec<(Model, Act)>,
  rest_until: u64,
  /// When models and adapters were last in use, ms.
  used: BTreeMap<Model, u64>,
  /// Requests of all instances, by model and adapter.
  running: BTreeMap<Model, u32>,
  /// The holding as last told, and the count of that change.
  told: Option<Holding>,
  changed: u64,
}

/// What instances are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
  /// None: all instances.
  pub to: Option<SocketAddr>,
  /// Holdings that changed between these counts; from 0: all holdings.
  pub since: u64,
  pub latest: u64,
  pub holdings: Vec<Holding>,
  /// Requests at servers that have some, by short id.
  pub loads: Vec<(u32, u16)>,
}

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
  Order(Command),
  Ask {
    id: String,
    address: SocketAddr,
  },
  Tell(News),
  /// A decision, for the log: what, about which server and model, and why.
  Note {
    what: &'static str,
    server: String,
    model: String,
    why: String,
  },
}

/// A server of another group, as far as it is told.
#[derive(Clone, Debug)]
pub struct Other {
  pub group: u32,
  pub pool: String,
  /// Models that can be used there.
  pub models: BTreeMap<String, Vec<String>>,
  /// Checkpoints with a copy there.
  pub copies: Vec<String>,
}

/// The planner of one group.
pub struct Plan {
  /// Which of the groups this is.
  group: u32,
  others: Vec<Other>,
  /// Nothing is moved before this time: instances have not reported yet, ms.
  settled_at: u64,
  machine: String,
  term: u64,
  deployment: Arc<Deployment>,
  servers: BTreeMap<String, Server>,
  members: BTreeMap<String, Member>,
  /// How much each pool's models are used: requests at once, fading.
  used: BTreeMap<(String, String), f64>,
  faded: u64,
  /// Loads from the weight store, ms.
  remote: VecDeque<u64>,
  load_window_ms: u64,
  load_overage: f64,
  loads_at_once: usize,
  policy: Policy,
  told: u64,
  news: bool,
  /// Counts changes of holdings in this term.
  changes: u64,
  now: u64,
  out: Vec<Effect>,
}

impl Plan {
  /// The plan of a machine that holds no lease yet.
  pub fn open(
    machine: &str,
    group: u32,
    load_window_ms: u64,
    load_overage: f64,
    loads_at_once: usize,
  ) -> Self {
    Self {
      group,
      others: Vec::new(),
      settled_at: 0,
      machine: machine.into(),
      term: 0,
      deployment: Arc::default(),
      servers: BTreeMap::new(),
      members: BTreeMap::new(),
      used: BTreeMap::new(),
      faded: 0,
      remote: VecDeque::new(),
      load_window_ms,
      load_overage,
      loads_at_once,
      policy: Policy::default(),
      told: 0,
      news: false,
      changes: 0,
      now: 0,
      out: Vec::new(),
    }
  }

  /// The lease was taken: nothing that was known of the servers counts.
  pub fn begin(&mut self, now: u64, term: u64) {
    self.settled_at = now + SETTLE_MS;
    self.term = term;
    self.changes = 0;
    for server in self.servers.values_mut() {
      server.synced = false;
      server.asking = false;
      server.job = None;
      server.adapters.clear();
      server.leaving.clear();
      server.told = None;
      server.changed = 0;
    }
  }

  /// Takes up the deployment and the servers of the group.
  pub fn servers(&mut self, deployment: Arc<Deployment>, specs: Vec<Spec>) {
    self.deployment = deployment;
    let known = |id: &String| specs.iter().any(|spec| spec.id == *id);
    self.servers.retain(|id, _| known(id));
    for spec in specs {
      match self.servers.get_mut(&spec.id) {
        Some(server) => server.spec = spec,
        None => {
          self.servers.insert(spec.id.clone(), Server::open(spec));
        }
      }
    }
  }

  /// Takes up what servers of other groups hold.
  pub fn others(&mut self, others: Vec<Other>) {
    self.others = others;
  }

  /// Whether a server of another group holds a model.
  fn elsewhere(&self, pool: &str, model: &Model) -> bool {
    let others = self.others.iter().filter(|other| other.pool == pool);
    let mut held = others.filter_map(|other| other.models.get(&model.name));
    held.any(|adapters| {
      let adapter = model.adapter.as_ref();
      adapter.is_none_or(|adapter| adapters.contains(adapter))
    })
  }

  /// This group's turn among those that could load a model: those with a copy of
  /// its checkpoint, or all.
  fn turn(&self, pool: &str, model: &Model) -> u64 {
    let mut groups: BTreeSet<u32> = BTreeSet::new();
    for other in self.others.iter().filter(|other| other.pool == pool) {
      let near = match model.adapter {
        None => other.copies.contains(&model.name),
        Some(_) => other.models.contains_key(&model.name),
      };
      if near {
        groups.insert(other.group);
      }
    }
    let own = match model.adapter {
      None => self.copied_here(pool, &model.name),
      Some(_) => !self.holders(pool, &model.name).is_empty(),
    };
    if own || groups.is_empty() {
      groups.insert(self.group);
    }
    if groups.len() == 1 && groups.contains(&self.group) && !own {
      // No group has a copy: all may, one after the other.
      groups.extend(self.others.iter().map(|other| other.group));
    }
    let name = missing_name(&model.name, model.adapter.as_deref());
    let weight =
      |group: &u32| xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), (*group).into());
    let mine = weight(&self.group);
    let ahead = groups.iter().filter(|group| weight(group) > mine).count();
    match groups.contains(&self.group) {
      true => ahead as u64,
      false => groups.len() as u64,
    }
  }

  /// Whether this group's turn has come for what has waited for so long.
  fn may_serve(&self, demand: &Demand) -> bool {
    demand.age_ms >= self.turn(&demand.pool, &demand.model) * TURN_MS
  }

  /// Takes up an instance's report.
  pub fn report(&mut self, now: u64, address: SocketAddr, report: Report) {
    let instance = report.instance.clone();
    let member = Member {
      address,
      heard: now,
      report,
    };
    let new = self.members.insert(instance, member).is_none();
    self.news |= new;
    self.count();
  }

  fn count(&mut self) {
    for server in self.servers.values_mut() {
      server.running.clear();
    }
    let now = self.now;
    for member in self.members.values() {
      if now > member.heard + MEMBER_MS {
        continue;
      }
      for (id, model, count) in &member.report.running {
        if let Some(server) = self.servers.get_mut(id) {
          *server.running.entry(model.clone()).or_default() += count;
          server.used.insert(model.clone(), member.heard);
        }
      }
    }
  }

  /// Addresses of the instances that report.
  pub fn members(&self, now: u64) -> Vec<SocketAddr> {
    let members = self.members.values();
    let live = members.filter(|member| now <= member.heard + MEMBER_MS);
    live.map(|member| member.address).collect()
  }

  /// Takes up what became of an order.
  pub fn ordered(&mut self, now: u64, command: &Command, taken: Taken) {
    self.now = now;
    let Some(server) = self.servers.get_mut(&command.id) else {
      return;
    };
    if command.model.adapter.is_some() {
      server.adapter_ordered(now, command, taken);
      self.news = true;
      return;
    }
    if taken == Taken::Accepted {
      server.orders = server.orders.max(command.orders + 1);
    }
    if command.act == Act::Unload && matches!(taken, Taken::Accepted | Taken::Done) {
      server.models.remove(&command.model.name);
      server.leaving.remove(&command.model.name);
      self.news = true;
    }
    let Some(mut job) = server.job.take() else {
      return;
    };
    job.waiting = false;
    let again = job.tries < AGAIN_MOST;
    match (taken, job.step) {
      (Taken::Accepted | Taken::Done, Step::Unload) => {
        job.victims.retain(|victim| *victim != command.model.name);
        job.tries = 0;
        if job.victims.is_empty() {
          job.step = Step::Load;
        }
        job.due = now + UNLOAD_MS;
        server.job = Some(job);
      }
      (Taken::Accepted, Step::Load) => {
        let took = job.until;
        job.step = Step::Await;
        job.due = now + took;
        job.until = now + (took + LAG_MS) * LATE;
        server.job = Some(job);
      }
      (Taken::Conflict, _) if again => {
        job.tries += 1;
        job.due = now + AGAIN_MS;
        server.job = Some(job);
        if job_tries(server) % 4 == 3 {
          // The count of orders may be another one.
          server.synced = false;
        }
      }
      _ => server.doubt(now, taken),
    }
  }

  /// Takes up a server's answer to a question.
  pub fn inventory(&mut self, now: u64, id: &str, inventory: Option<Inventory>) {
    self.now = now;
    let Some(server) = self.servers.get_mut(id) else {
      return;
    };
    server.asking = false;
    let Some(inventory) = inventory else {
      server.rest_until = now + DOUBT_MS;
      if let Some(job) = &mut server.job {
        job.waiting = false;
        job.due = now + ASK_MS;
      }
      return;
    };
    let first = !server.synced;
    if inventory.orders < server.orders {
      // Older than the last order.
      server.rest_until = server.rest_until.max(now + ASK_MS);
      if let Some(job) = &mut server.job {
        job.waiting = false;
        job.due = now + ASK_MS;
      }
      return;
    }
    server.synced = true;
    server.orders = inventory.orders;
    let Some(mut job) = server.job.take() else {
      if first || !inventory.busy {
        self.news |= server.models != inventory.models;
        server.models = inventory.models;
      }
      if inventory.busy {
        server.rest_until = now + ASK_MS;
        server.synced = false;
      }
      return;
    };
    job.waiting = false;
    if job.step != Step::Await {
      server.models = inventory.models;
      server.job = Some(job);
      return;
    }
    let done = inventory.models.contains_key(&job.model);
    if done && !inventory.busy {
      server.models = inventory.models;
      server.used.insert(whole(&job.model), now);
      self.news = true;
      return;
    }
    if now >= job.until || !inventory.busy && now >= job.due + LAG_MS * 2 {
      server.models = inventory.models;
      self.news = true;
      return;
    }
    job.due = now + ASK_MS;
    server.job = Some(job);
  }

  /// Goes on with everything that is due.
  pub fn step(&mut self, now: u64) -> Vec<Effect> {
    self.now = now;
    self.count();
    let ids: Vec<String> = self.servers.keys().cloned().collect();
    for id in &ids {
      self.sync(id);
      self.work(id);
    }
    self.fade();
    if now >= self.settled_at {
      self.fill_room(HEAVY_USE);
      self.serve_demand();
      self.fill_room(USE_LEAST);
      self.free_places();
    }
    for id in &ids {
      self.work(id);
    }
    self.tell();
    std::mem::take(&mut self.out)
  }

  /// When to step again, ms.
  pub fn due(&self, now: u64) -> u64 {
    let servers = self.servers.values();
    let jobs = servers.filter_map(|server| server.job.as_ref());
    let open = jobs.filter(|job| !job.waiting).map(|job| job.due).min();
    let wait = self.told + TELL_MS;
    let tell = match self.news {
      true => self.told + TELL_LEAST_MS,
      false => wait,
    };
    open.unwrap_or(wait).min(tell).max(now + 1)
  }

  /// Takes up what is in use now, and forgets what was.
  fn fade(&mut self) {
    let elapsed = self.now.saturating_sub(self.faded);
    if elapsed < FADE_STEP_MS {
      return;
    }
    self.faded = self.now;
    let rest = 0.5f64.powf(elapsed as f64 / FADE_MS);
    self.used.values_mut().for_each(|used| *used *= rest);
    let mut seen: BTreeMap<(String, String), u32> = BTreeMap::new();
    for server in self.servers.values() {
      for (model, count) in &server.running {
        let key = (server.spec.pool.clone(), model.name.clone());
        *seen.entry(key).or_default() += count;
      }
    }
    for demand in self.demand() {
      let key = (demand.pool, demand.model.name);
      *seen.entry(key).or_default() += demand.waiting;
    }
    for (key, count) in seen {
      *self.used.entry(key).or_default() += f64::from(count) * (1.0 - rest);
    }
  }

  /// Loads models in use where there is room without anything giving way: on
  /// servers that came empty, while those that leave still serve. A model counts
  /// when each of its replicas carries `least` requests or more.
  fn fill_room(&mut self, least: f64) {
    let mut wanted: Vec<(f64, (String, String))> = Vec::new();
    for (key, used) in &self.used {
      let (pool, model) = key;
      let holders = self.holders(pool, model).len() + usize::from(self.loading(model));
      let served = holders > 0 || self.elsewhere(pool, &whole(model));
      if served && (least < HEAVY_USE || holders == 0) {
        continue;
      }
      let each = used / holders.max(1) as f64;
      if each >= least {
        wanted.push((each, key.clone()));
      }
    }
    wanted.sort_by(|one, two| two.0.total_cmp(&one.0));
    for (used, (pool, model)) in wanted {
      if let Some(engine) = self.engine(&pool) {
        self.load_ahead(&engine, &pool, &model, used);
      }
    }
  }

  fn load_ahead(&mut self, engine: &Engine, pool: &str, model: &str, used: f64) {
    let Some(checkpoint) = engine.models.get(model) else {
      return;
    };
    let remote = self.remote_jobs();
    let mut best: Option<(u64, String)> = None;
    for (id, server) in &self.servers {
      let room = engine.memory_mb.saturating_sub(server.memory(engine));
      let here = server.models.contains_key(model);
      if server.spec.pool != pool || here || !server.free(self.now) || room < checkpoint.memory_mb {
        continue;
      }
      let tier = server.spec.tier(model);
      if tier == Tier::Remote && (remote >= AHEAD_AT_ONCE || !self.may_load(engine)) {
        continue;
      }
      let cost = load_ms(checkpoint, tier) + LOAD_COST * u64::from(server.load());
      if best.as_ref().is_none_or(|(least, _)| cost < *least) {
        best = Some((cost, id.clone()));
      }
    }
    let Some((cost, id)) = best else {
      return;
    };
    let demand = Demand {
      pool: pool.into(),
      model: whole(model),
      waiting: 0,
      priority: u8::MAX,
      age_ms: 0,
    };
    self.start(engine, &id, model, Vec::new(), cost, &demand);
    self.note("ahead", &id, model, format!("use {used:.2}"));
  }

  fn note(&mut self, what: &'static str, server: &str, model: &str, why: String) {
    self.out.push(Effect::Note {
      what,
      server: server.into(),
      model: model.into(),
      why,
    });
  }

  fn tell(&mut self) {
    let since = self.now.saturating_sub(self.told);
    let due = since >= TELL_MS || self.news && since >= TELL_LEAST_MS;
    if !due {
      return;
    }
    let due_loads = since >= TELL_MS;
    self.told = self.now;
    self.news = false;
    let since = self.changes;
    for server in self.servers.values_mut().filter(|server| server.synced) {
      let holding = server.holding();
      if server.told.as_ref() != Some(&holding) {
        self.changes += 1;
        server.changed = self.changes;
        server.told = Some(holding);
      }
    }
    let loads = match due_loads {
      true => self.loads(),
      false => Vec::new(),
    };
    self.tell_since(None, since, loads);
    let behind = self
      .members
      .values()
      .filter(|member| member.knows(self.group) < since && self.now <= member.heard + BEHIND_MS);
    let behind: Vec<SocketAddr> = behind.map(|member| member.address).collect();
    for address in behind {
      self.tell_since(Some(address), 0, Vec::new());
    }
  }

  fn tell_since(&mut self, to: Option<SocketAddr>, since: u64, loads: Vec<(u32, u16)>) {
    let told = self
      .servers
      .values()
      .filter(|server| server.changed > since);
    let news = News {
      to,
      since,
      latest: self.changes,
      holdings: told.filter_map(|server| server.told.clone()).collect(),
      loads,
    };
    self.out.push(Effect::Tell(news));
  }

  fn loads(&self) -> Vec<(u32, u16)> {
    let loads = self.servers.iter().map(|(id, server)| (id, server.load()));
    let some = loads.filter(|(_, load)| *load > 0);
    some
      .map(|(id, load)| (short(id), load.min(u32::from(u16::MAX)) as u16))
      .collect()
  }

  fn sync(&mut self, id: &str) {
    let Some(server) = self.servers.get_mut(id) else {
      return;
    };
    let engine = self.deployment.pools.get(&server.spec.pool);
    let engine = engine.and_then(|pool| pool.engine.as_ref());
    if server.synced || server.asking || self.now < server.rest_until || engine.is_none() {
      return;
    }
    if server.job.as_ref().is_some_and(|job| job.waiting) {
      return;
    }
    server.asking = true;
    let effect = Effect::Ask {
      id: id.into(),
      address: server.spec.address,
    };
    self.out.push(effect);
  }

  /// Goes on with a server's job.
  fn work(&mut self, id: &str) {
    let now = self.now;
    let Some(server) = self.servers.get_mut(id) else {
      return;
    };
    let Some(job) = &mut server.job else {
      return;
    };
    if job.waiting || now < job.due {
      return;
    }
    if job.step == Step::Leave {
      job.step = match job.victims.is_empty() {
        true => Step::Load,
        false => Step::Unload,
      };
    }
    if job.step == Step::Await {
      job.waiting = true;
      server.asking = true;
      let address = server.spec.address;
      self.out.push(Effect::Ask {
        id: id.into(),
        address,
      });
      return;
    }
    let (act, model) = match (job.step, job.victims.first()) {
      (Step::Unload, Some(victim)) => (Act::Unload, victim.clone()),
      _ => (Act::Load, job.model.clone()),
    };
    job.waiting = true;
    let command = Command {
      id: id.into(),
      address: server.spec.address,
      act,
      model: whole(&model),
      orders: server.orders,
      holder: self.machine.clone(),
      term: self.term,
    };
    self.out.push(Effect::Order(command));
  }

  fn demand(&self) -> Vec<Demand> {
    let mut all: BTreeMap<(String, Model), Demand> = BTreeMap::new();
    for member in self.members.values() {
      let age = self.now.saturating_sub(member.heard);
      if age > DEMAND_MS {
        continue;
      }
      for demand in &member.report.demand {
        let key = (demand.pool.clone(), demand.model.clone());
        let sum = all.entry(key).or_insert_with(|| Demand {
          waiting: 0,
          age_ms: 0,
          ..demand.clone()
        });
        sum.waiting += demand.waiting;
        sum.priority = sum.priority.min(demand.priority);
        sum.age_ms = sum.age_ms.max(demand.age_ms + age);
      }
    }
    let mut all: Vec<Demand> = all.into_values().collect();
    all.sort_by_key(|demand| (demand.priority, std::cmp::Reverse(demand.age_ms)));
    all
  }

  fn serve_demand(&mut self) {
    let demand = self.demand();
    for demand in self.without_holder(&demand) {
      let Some(engine) = self.engine(&demand.pool) else {
        continue;
      };
      if !self.keep(&demand.pool, &demand.model.name) && self.may_serve(&demand) {
        self.load(&engine, &demand);
      }
    }
    for demand in demand {
      let Some(engine) = self.engine(&demand.pool) else {
        continue;
      };
      let holders = self.holders(&demand.pool, &demand.model.name);
      if holders.is_empty() || self.elsewhere(&demand.pool, &demand.model) {
        continue;
      }
      if let Some(adapter) = &demand.model.adapter
        && self.may_serve(&demand)
      {
        let adapter = adapter.clone();
        self.load_adapter(&engine, &demand, &adapter, &holders);
      }
    }
  }

  /// Demand for models that no server holds, adapters taken together: what the
  /// most urgent requests wait for goes first.
  fn without_holder(&self, demand: &[Demand]) -> Vec<Demand> {
    let mut models: BTreeMap<(&str, &str), (u64, Demand)> = BTreeMap::new();
    for demand in demand {
      let (pool, name) = (demand.pool.as_str(), demand.model.name.as_str());
      if !self.holders(pool, name).is_empty() || self.elsewhere(pool, &whole(name)) {
        continue;
      }
      let weight = u64::from(demand.waiting) * (URGENCY >> (2 * demand.priority.min(8)));
      let (total, sum) = models.entry((pool, name)).or_insert_with(|| {
        let empty = Demand {
          waiting: 0,
          model: whole(name),
          ..demand.clone()
        };
        (0, empty)
      });
      *total += weight;
      sum.waiting += demand.waiting;
      sum.age_ms = sum.age_ms.max(demand.age_ms);
    }
    let mut models: Vec<(u64, Demand)> = models.into_values().collect();
    models.sort_by_key(|(weight, demand)| std::cmp::Reverse((*weight, demand.age_ms)));
    models.into_iter().map(|(_, demand)| demand).collect()
  }

  fn engine(&self, pool: &str) -> Option<Engine> {
    self.deployment.pools.get(pool)?.engine.clone()
  }

  /// Servers of a pool that hold a model and keep it.
  fn holders(&self, pool: &str, model: &str) -> Vec<String> {
    let servers = self.servers.iter().filter(|(_, server)| {
      server.spec.pool == pool
        && server.spec.stage == Stage::Ready
        && server.models.contains_key(model)
        && !server.leaving.contains(model)
    });
    servers.map(|(id, _)| id.clone()).collect()
  }

  /// Whether a server that takes work has a copy of a model's checkpoint.
  fn copied(&self, pool: &str, model: &str) -> bool {
    let mut others = self.others.iter().filter(|other| other.pool == pool);
    self.copied_here(pool, model)
      || others.any(|other| other.copies.iter().any(|name| name == model))
  }

  fn copied_here(&self, pool: &str, model: &str) -> bool {
    self.servers.values().any(|server| {
      server.spec.pool == pool
        && server.spec.stage == Stage::Ready
        && server.spec.tier(model) != Tier::Remote
    })
  }

  /// Keeps a model that was to leave and is wanted again, where its unload has not
  /// begun.
  fn keep(&mut self, pool: &str, model: &str) -> bool {
    let kept = self.servers.values_mut().find(|server| {
      let mut jobs = server.job.iter();
      let given = jobs.any(|job| job.victims.iter().any(|name| name == model));
      server.spec.pool == pool && server.leaving.contains(model) && !given
    });
    let Some(server) = kept else {
      return false;
    };
    server.leaving.remove(model);
    self.news = true;
    true
  }

  fn loading(&self, model: &str) -> bool {
    let mut jobs = self
      .servers
      .values()
      .filter_map(|server| server.job.as_ref());
    jobs.any(|job| job.model == model)
  }

  fn load(&mut self, engine: &Engine, demand: &Demand) {
    let model = demand.model.name.clone();
    if self.loading(&model) || !engine.models.contains_key(&model) {
      return;
    }
    let mut best: Option<(u64, String, Vec<String>)> = None;
    let near = self.copied(&demand.pool, &model);
    let remote = demand.waiting > 0 && (!near || demand.age_ms > REMOTE_AGE_MS);
    for (id, server) in &self.servers {
      let here = server.models.contains_key(&model);
      if server.spec.pool != demand.pool || here || !server.free(self.now) {
        continue;
      }
      let tier = server.spec.tier(&model);
      if tier == Tier::Remote && !(remote && self.may_load(engine)) {
        continue;
      }
      let Some((cost, victims)) = self.room(engine, id, &model) else {
        continue;
      };
      let cost =
        cost + load_ms(&engine.models[&model], tier) + LOAD_COST * u64::from(server.load());
      if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
        best = Some((cost, id.clone(), victims));
      }
    }
    let Some((cost, id, victims)) = best else {
      return;
    };
    self.start(engine, &id, &model, victims, cost, demand);
  }

  fn start(
    &mut self,
    engine: &Engine,
    id: &str,
    model: &str,
    victims: Vec<String>,
    cost: u64,
    demand: &Demand,
  ) {
    let now = self.now;
    let Some(server) = self.servers.get_mut(id) else {
      return;
    };
    let tier = server.spec.tier(model);
    if tier == Tier::Remote {
      self.remote.push_back(now);
    }
    let wait = if victims.is_empty() { 0 } else { LEAVE_MS };
    server.leaving.extend(victims.iter().cloned());
    server.job = Some(Job {
      model: model.into(),
      victims: victims.clone(),
      step: Step::Leave,
      due: now + wait,
      waiting: false,
      tries: 0,
      remote: tier == Tier::Remote,
      until: load_ms(&engine.models[model], tier),
    });
    self.news = true;
    let why = format!(
      "{} waiting for {} ms, from {tier:?}, instead of {victims:?}, cost {cost}",
      demand.waiting, demand.age_ms
    );
    self.note("load", id, model, why);
  }

  fn remote_jobs(&self) -> usize {
    let jobs = self
      .servers
      .values()
      .filter_map(|server| server.job.as_ref());
    jobs.filter(|job| job.remote).count()
  }

  /// Whether the weight store allows another load now.
  fn may_load(&self, engine: &Engine) -> bool {
    if self.remote_jobs() >= self.loads_at_once {
      return false;
    }
    let from = self.now.saturating_sub(self.load_window_ms);
    let recent = self.remote.iter().filter(|at| **at >= from).count();
    let window_s = self.load_window_ms as f64 / 1_000.0;
    // The allowance on top is left to what other machines began before.
    let allowed = engine.loads_per_s * window_s * self.load_overage.min(1.0);
    engine.loads_per_s == 0.0 || (recent as f64) + 1.0 <= allowed
  }

  /// What has to give way on a server for a model, and what that costs; none when
  /// there is no room.
  fn room(&self, engine: &Engine, id: &str, model: &str) -> Option<(u64, Vec<String>)> {
    let server = self.servers.get(id)?;
    let need = engine.models.get(model)?.memory_mb;
    let mut free = engine.memory_mb.saturating_sub(server.memory(engine));
    let mut cost = 0;
    let mut victims = Vec::new();
    let mut candidates: Vec<(u64, String)> = server
      .models
      .keys()
      .filter_map(|name| Some((self.loss(engine, server, name)?, name.clone())))
      .collect();
    candidates.sort();
    for (loss, name) in candidates {
      if free >= need {
        break;
      }
      free += server.memory_of(engine, &name);
      cost += loss;
      victims.push(name);
    }
    (free >= need).then_some((cost, victims))
  }

  /// What it costs when a model gives way; none: it may not.
  fn loss(&self, engine: &Engine, server: &Server, name: &str) -> Option<u64> {
    if server.busy_with(name) {
      return None;
    }
    if server.leaving.contains(name) {
      return Some(0);
    }
    let used = server.last_used(name);
    let idle = self.now.saturating_sub(used);
    if used > 0 && idle < FRESH_MS {
      return None;
    }
    let checkpoint = engine.models.get(name);
    let reload = checkpoint.map_or(0, |checkpoint| load_ms(checkpoint, server.spec.tier(name)));
    let elsewhere = self.elsewhere(&server.spec.pool, &whole(name));
    let others = self.holders(&server.spec.pool, name).len() as u64 + u64::from(elsewhere);
    let worth = match self.policy.evict {
      Evict::Oldest => 1_000_000 / (idle + 1),
      Evict::Cheapest => reload * 1_000 / (idle + 500),
    };
    Some(if others > 1 { worth / SPARE } else { worth })
  }

  fn load_adapter(&mut self, engine: &Engine, demand: &Demand, adapter: &str, holders: &[String]) {
    let model = &demand.model;
    let coming = |server: &Server| {
      let mut orders = server.adapters.iter();
      orders.any(|(other, act)| other == model && *act == Act::Load)
    };
    let servers = &self.servers;
    if holders
      .iter()
      .any(|id| servers[id].has(model) || coming(&servers[id]))
    {
      return;
    }
    let now = self.now;
    let usable = |id: &&String| {
      let server = &servers[*id];
      server.free(now)
    };
    let free = holders.iter().filter(usable);
    let best = free.min_by_key(|id| {
      let server = &servers[*id];
      (server.adapter_count(), server.load())
    });
    let Some(id) = best.cloned() else {
      return;
    };
    let slots = engine.adapter_slots as usize;
    if servers[&id].adapter_count() >= slots && !self.drop_adapter(&id) {
      return;
    }
    let why = format!("{} waiting for {} ms", demand.waiting, demand.age_ms);
    self.order_adapter(&id, model.clone(), Act::Load);
    self.note(
      "load adapter",
      &id,
      &format!("{}/{adapter}", model.name),
      why,
    );
  }

  /// Unloads the adapter of a server that was not used for longest.
  fn drop_adapter(&mut self, id: &str) -> bool {
    let server = &self.servers[id];
    let held = server.models.iter().flat_map(|(name, adapters)| {
      adapters.iter().map(|adapter| Model {
        name: name.clone(),
        adapter: Some(adapter.clone()),
      })
    });
    let idle = held.filter(|model| !server.running.contains_key(model));
    let oldest = idle.min_by_key(|model| server.used.get(model).copied().unwrap_or_default());
    let Some(model) = oldest else {
      return false;
    };
    self.order_adapter(id, model, Act::Unload);
    // The load follows when the place is known to be free.
    false
  }

  fn order_adapter(&mut self, id: &str, model: Model, act: Act) {
    let (machine, term) = (self.machine.clone(), self.term);
    let Some(server) = self.servers.get_mut(id) else {
      return;
    };
    let mut orders = server.adapters.iter();
    if !server.adapters.is_empty() && orders.any(|(other, _)| *other == model) {
      return;
    }
    // One order at a time, whatever it is for.
    if !server.adapters.is_empty() || server.job.is_some() {
      return;
    }
    server.adapters.push((model.clone(), act));
    let command = Command {
      id: id.into(),
      address: server.spec.address,
      act,
      model,
      orders: server.orders,
      holder: machine,
      term,
    };
    self.out.push(Effect::Order(command));
  }

  /// Lets a replica go that its model can do without, where too few servers have
  /// a place that can be freed at once.
  fn free_places(&mut self) {
    let pools: Vec<(String, Engine)> = self
      .deployment
      .pools
      .iter()
      .filter_map(|(name, pool)| Some((name.clone(), pool.engine.clone()?)))
      .collect();
    for (pool, engine) in pools {
      self.spread(&pool, &engine);
      let of_pool = || {
        self
          .servers
          .values()
          .filter(|server| server.spec.pool == pool)
      };
      let freeable = of_pool().filter(|server| {
        let mut names = server.models.keys();
        server.memory(&engine) < engine.memory_mb / 2
          || names.any(|name| self.loss(&engine, server, name).is_some())
          || !server.leaving.is_empty()
      });
      if freeable.count() < FREEABLE {
        self.leave_one(&pool, &engine);
      }
    }
  }

  /// Loads a further replica of a model, or a further copy of an adapter, where
  /// those that are there carry many requests.
  fn spread(&mut self, pool: &str, engine: &Engine) {
    let mut running: BTreeMap<Model, u32> = BTreeMap::new();
    for server in self
      .servers
      .values()
      .filter(|server| server.spec.pool == pool)
    {
      for (model, count) in &server.running {
        *running.entry(model.clone()).or_default() += count;
        if model.adapter.is_some() {
          *running.entry(whole(&model.name)).or_default() += count;
        }
      }
    }
    for (model, count) in running {
      let holders = self.holders(pool, &model.name);
      let most = holders.len() as u32 * engine.slots * FURTHER_PERCENT / 100;
      let demand = Demand {
        pool: pool.into(),
        model: model.clone(),
        waiting: 0,
        priority: u8::MAX,
        age_ms: 0,
      };
      let adapters = engine
        .models
        .get(&model.name)
        .map_or(0, |found| found.adapters.len());
      let elsewhere = self
        .others
        .iter()
        .filter(|other| other.pool == pool && other.models.contains_key(&model.name));
      let places = (holders.len() + elsewhere.count()) * engine.adapter_slots as usize;
      let heavy = count > most || (adapters > places && count as usize > holders.len());
      match &model.adapter {
        None if heavy && !holders.is_empty() => self.load(engine, &demand),
        Some(adapter) if count > 0 => self.copy_adapter(engine, &demand, adapter, &holders),
        None => self.fetch_adapter(engine, &demand, &holders),
        _ => {}
      }
    }
  }

  /// Loads an adapter of a model in use ahead of demand: one that no server has.
  fn fetch_adapter(&mut self, engine: &Engine, demand: &Demand, holders: &[String]) {
    let name = &demand.model.name;
    let Some(checkpoint) = engine.models.get(name) else {
      return;
    };
    let servers = &self.servers;
    let absent = checkpoint.adapters.iter().find(|adapter| {
      let model = Model {
        name: name.clone(),
        adapter: Some((*adapter).clone()),
      };
      let there = |id: &String| {
        let mut coming = servers[id].adapters.iter();
        servers[id].has(&model) || coming.any(|(other, _)| *other == model)
      };
      !holders.iter().any(there) && !self.elsewhere(&demand.pool, &model)
    });
    let slots = engine.adapter_slots as usize;
    let now = self.now;
    let room = |id: &&String| servers[*id].free(now) && servers[*id].adapter_count() < slots;
    let id = holders
      .iter()
      .filter(room)
      .min_by_key(|id| servers[*id].adapter_count());
    if let (Some(adapter), Some(id)) = (absent.cloned(), id.cloned()) {
      let model = Model {
        name: name.clone(),
        adapter: Some(adapter.clone()),
      };
      self.order_adapter(&id, model, Act::Load);
      self.note(
        "fetch adapter",
        &id,
        &format!("{name}/{adapter}"),
        "model is in use".into(),
      );
    }
  }

  /// Loads a further copy of an adapter at a holder with fewer requests.
  fn copy_adapter(&mut self, engine: &Engine, demand: &Demand, adapter: &str, holders: &[String]) {
    let model = &demand.model;
    let has = |id: &&String| self.servers[*id].has(model);
    let least = holders
      .iter()
      .filter(has)
      .map(|id| self.servers[id].load())
      .min();
    let slots = engine.adapter_slots as usize;
    let (now, servers) = (self.now, &self.servers);
    let others = holders.iter().filter(|id| {
      let server = &servers[*id];
      !server.has(model) && server.free(now) && server.adapter_count() < slots
    });
    let best = others.min_by_key(|id| servers[*id].load()).cloned();
    let (Some(least), Some(id)) = (least, best) else {
      return;
    };
    if self.servers[&id].load() + COPY_LEAST <= least {
      let why = format!("{least} requests where it is");
      self.order_adapter(&id, model.clone(), Act::Load);
      self.note(
        "copy adapter",
        &id,
        &format!("{}/{adapter}", model.name),
        why,
      );
    }
  }

  fn leave_one(&mut self, pool: &str, engine: &Engine) {
    let mut best: Option<(u32, String, String)> = None;
    for (id, server) in &self.servers {
      if server.spec.pool != pool || !server.synced {
        continue;
      }
      for name in server.models.keys() {
        let holders = self.holders(pool, name);
        let running: u32 = holders
          .iter()
          .map(|id| self.servers[id].running_of(name))
          .sum();
        let spare = holders.len() as u32 > self.policy.min_replicas.max(1);
        let rest = (holders.len() as u32).saturating_sub(1);
        let carried = running <= rest * engine.slots * CARRY_PERCENT / 100;
        let here = server.running_of(name);
        let less = best.as_ref().is_none_or(|(least, ..)| here < *least);
        if spare && carried && less {
          best = Some((here, id.clone(), name.clone()));
        }
      }
    }
    let Some((running, id, name)) = best else {
      return;
    };
    if let Some(server) = self.servers.get_mut(&id) {
      server.leaving.insert(name.clone());
      self.news = true;
      let why = format!("{running} requests there, others carry them");
      self.note("leave", &id, &name, why);
    }
  }
}

fn job_tries(server: &Server) -> u32 {
  server.job.as_ref().map_or(0, |job| job.tries)
}

/// The model itself, without an adapter.
fn whole(name: &str) -> Model {
  Model {
    name: name.into(),
    adapter: None,
  }
}

/// Time of a load from a tier, ms.
fn load_ms(checkpoint: &Checkpoint, tier: Tier) -> u64 {
  match tier {
    Tier::Memory => checkpoint.warm_ms,
    Tier::Disk => checkpoint.disk_ms,
    Tier::Remote => checkpoint.remote_ms,
  }
}

impl Server {
  fn open(spec: Spec) -> Self {
    Self {
      models: spec.models.clone(),
      orders: 0,
      spec,
      synced: false,
      asking: false,
      leaving: BTreeSet::new(),
      job: None,
      adapters: Vec::new(),
      rest_until: 0,
      used: BTreeMap::new(),
      running: BTreeMap::new(),
      told: None,
      changed: 0,
    }
  }

  fn free(&self, now: u64) -> bool {
    self.spec.stage == Stage::Ready
      && self.synced
      && self.job.is_none()
      && self.adapters.is_empty()
      && now >= self.rest_until
  }

  fn doubt(&mut self, now: u64, taken: Taken) {
    self.synced = false;
    self.leaving.clear();
    self.rest_until = match taken {
      Taken::Unknown | Taken::NotSent => now + DOUBT_MS,
      _ => now + LAG_MS + ASK_MS,
    };
  }

  fn adapter_ordered(&mut self, now: u64, command: &Command, taken: Taken) {
    self.adapters.retain(|(model, _)| *model != command.model);
    let Some(adapter) = command.model.adapter.clone() else {
      return;
    };
    match taken {
      Taken::Accepted | Taken::Done => {
        self.orders = self.orders.max(command.orders + 1);
        self.rest_until = self.rest_until.max(now + ADAPTER_MS);
        let Some(adapters) = self.models.get_mut(&command.model.name) else {
          return;
        };
        adapters.retain(|name| *name != adapter);
        if command.act == Act::Load {
          adapters.push(adapter);
          self.used.insert(command.model.clone(), now);
        }
      }
      _ => self.doubt(now, taken),
    }
  }

  fn holding(&self) -> Holding {
    Holding {
      id: self.spec.id.clone(),
      models: self.models.clone(),
      leaving: self.leaving.iter().cloned().collect(),
    }
  }

  fn load(&self) -> u32 {
    self.running.values().sum()
  }

  fn running_of(&self, name: &str) -> u32 {
    let running = self.running.iter().filter(|(model, _)| model.name == name);
    running.map(|(_, count)| count).sum()
  }

  fn busy_with(&self, name: &str) -> bool {
    self.running_of(name) > 0
  }

  fn last_used(&self, name: &str) -> u64 {
    let used = self.used.iter().filter(|(model, _)| model.name == name);
    used.map(|(_, at)| *at).max().unwrap_or_default()
  }

  fn has(&self, model: &Model) -> bool {
    self.models.get(&model.name).is_some_and(|adapters| {
      let adapter = model.adapter.as_ref();
      adapter.is_none_or(|adapter| adapters.contains(adapter))
    })
  }

  fn adapter_count(&self) -> usize {
    self.models.values().map(Vec::len).sum()
  }

  /// Memory of a model and its adapters, MB.
  fn memory_of(&self, engine: &Engine, name: &str) -> u64 {
    let adapters = self.models.get(name).map_or(0, Vec::len) as u64;
    let checkpoint = engine.models.get(name);
    checkpoint.map_or(0, |checkpoint| {
      checkpoint.memory_mb + adapters * checkpoint.adapter_mb
    })
  }

  fn memory(&self, engine: &Engine) -> u64 {
    let models = self.models.keys();
    models.map(|name| self.memory_of(engine, name)).sum()
  }
}
