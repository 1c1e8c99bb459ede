//! Which models and adapters a group of backend servers holds: decided by the one
//! machine that holds the group's lease.
//!
//! A server carries out one order at a time. A model that is wanted goes to the
//! server where it is ready soonest: by the nearest copy of its checkpoint, and by
//! what has to give way for it.

use super::{
  gone::Gone,
  models::{self, Models, PoolKey},
  need::Need,
  orders::UNLOAD_MS,
  publish::{PUBLISH_LEAST_MS, PUBLISH_MS},
  remote::Remote,
  report::Member,
  server::{self, Job, Server, Step},
};
pub use super::{publish::Publication, report::Report};
use crate::{
  backend::{Spec, Stage},
  command::Command,
  deployment::Deployment,
  life::Life,
  policy::Policy,
  selector::Labels,
};
use slotmap::SlotMap;
use std::{
  collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
  net::SocketAddr,
  sync::Arc,
};

/// A server reports its holdings with this lag, ms.
pub(crate) const LAG_MS: u64 = 200;
/// Pause between two questions whether a load is done, ms.
pub(crate) const ASK_MS: u64 = 100;
/// What needs no request to wait is looked after this often, ms.
const SWEEP_MS: u64 = 40;
/// What a request running on a server adds to the cost of a load there, ms: its
/// adapters cannot be changed meanwhile.
pub(crate) const LOAD_COST: u64 = 15;
/// Time for instances to report to a new holder, ms.
const SETTLE_MS: u64 = 150;
/// Use of each replica, in requests at once, from which a model gets a further one
/// where there is room.
pub(crate) const HEAVY_USE: f64 = 1.5;

/// Something to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
  Order(Command),
  Query {
    id: String,
    address: SocketAddr,
  },
  Publish(Publication),
  /// A decision, for the log: what, about which server and model, and why.
  Log {
    what: &'static str,
    server: String,
    model: String,
    why: String,
  },
}

/// A server of another group, as far as it is published.
#[derive(Clone, Debug)]
pub struct OtherServer {
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
  pub(crate) group: u32,
  pub(crate) models: Models,
  pub(crate) servers: SlotMap<server::Key, Server>,
  /// Servers by what names them in reports, whichever of their lives it is.
  pub(crate) ids: HashMap<u64, server::Key>,
  /// Some server needs help.
  pub(crate) any_limited: bool,
  /// Some server turns requests away until then, ms.
  pub(crate) turned_away_until: u64,
  /// Servers that models leave.
  pub(crate) leaving: BTreeSet<server::Key>,
  /// Groups of other servers, as far as they are published.
  pub(crate) groups: BTreeSet<u32>,
  /// When servers are due to be gone on with.
  timers: BTreeSet<(u64, server::Key)>,
  /// Servers whose holdings may have changed since they were last published.
  pub(crate) dirty: BTreeSet<server::Key>,
  /// Counts steps in which demand was served.
  pub(crate) served: u64,
  /// What callers wait for, or will come back for, as of the last step.
  pub(crate) needs: Vec<Need>,
  /// When what needs no request to wait was last looked after, ms.
  swept: u64,
  /// Nothing is moved before this time: instances have not reported yet, ms.
  pub(crate) settled_at: u64,
  pub(crate) machine: String,
  pub(crate) term: u64,
  /// Orders may go out.
  pub(crate) ordering: bool,
  pub(crate) deployment: Arc<Deployment>,
  /// Servers whose entries may come back.
  pub(crate) gone: BTreeMap<u64, Gone>,
  pub(crate) members: BTreeMap<SocketAddr, Member>,
  pub(crate) faded: u64,
  pub(crate) remote: Remote,
  /// Loads from the weight store that are under way.
  pub(crate) remote_jobs: usize,
  /// Time that an unload without runs takes, as learnt from orders, ms.
  pub(crate) unload_ms: f64,
  /// One server's even share of each pool's requests, requests a second, as of the last sweep.
  pub(crate) even: BTreeMap<PoolKey, f64>,
  /// Policies by name, as operators wrote them, and that of models that none selects.
  policies: BTreeMap<String, Policy>,
  default_policy: Policy,
  pub(crate) published_at: u64,
  /// Time from one publication of changes to the next, ms.
  pub(super) pause: u64,
  pub(crate) unpublished: bool,
  /// Counts changes of holdings in this term.
  pub(crate) changes: u64,
  /// The last change of each server, by count.
  pub(super) changed: BTreeMap<u64, server::Key>,
  /// When changes were lately published, ms, and up to which count.
  pub(super) published: VecDeque<(u64, u64)>,
  pub(crate) now: u64,
  pub(crate) out: Vec<Effect>,
}

impl Plan {
  /// The plan of a machine that holds no lease yet.
  pub fn new(machine: &str, group: u32, load_window_ms: u64, load_overage: f64) -> Self {
    Self {
      group,
      models: Models::default(),
      servers: SlotMap::with_key(),
      ids: HashMap::new(),
      any_limited: false,
      turned_away_until: 0,
      leaving: BTreeSet::new(),
      groups: BTreeSet::new(),
      timers: BTreeSet::new(),
      dirty: BTreeSet::new(),
      served: 1,
      needs: Vec::new(),
      swept: 0,
      settled_at: 0,
      machine: machine.into(),
      term: 0,
      ordering: true,
      deployment: Arc::default(),
      gone: BTreeMap::new(),
      members: BTreeMap::new(),
      faded: 0,
      remote: Remote::new(load_window_ms, load_overage),
      remote_jobs: 0,
      unload_ms: UNLOAD_MS,
      even: BTreeMap::new(),
      policies: BTreeMap::new(),
      default_policy: Policy::default_routed(),
      published_at: 0,
      pause: PUBLISH_LEAST_MS,
      unpublished: false,
      changes: 0,
      changed: BTreeMap::new(),
      published: VecDeque::new(),
      now: 0,
      out: Vec::new(),
    }
  }

  /// The lease was taken: nothing that was known of the servers counts.
  pub fn start_term(&mut self, now: u64, term: u64) {
    self.now = now;
    self.settled_at = now + SETTLE_MS;
    self.term = term;
    self.changes = 0;
    self.changed.clear();
    self.published.clear();
    let keys: Vec<server::Key> = self.servers.keys().collect();
    for key in keys {
      self.change(key, |server, _| server.forget());
    }
  }

  /// Takes up the deployment and the servers of the group.
  pub fn update_servers(&mut self, deployment: Arc<Deployment>, mut specs: Vec<Spec>) {
    if !Arc::ptr_eq(&self.deployment, &deployment) {
      self.models.deploy(&deployment);
      self.deployment = deployment;
    }
    let listed: BTreeSet<u64> = specs.iter().map(|spec| spec.life().server()).collect();
    let unlisted = self.ids.extract_if(|server, _| !listed.contains(server));
    let unlisted: Vec<server::Key> = unlisted.map(|(_, key)| key).collect();
    let gone: Vec<Server> = unlisted
      .into_iter()
      .filter_map(|key| self.take_out(key))
      .collect();
    self.leave_out(gone);
    // In the order of their ids, whatever order they come in: plans repeat.
    specs.sort_by(|one, two| one.id.cmp(&two.id));
    let mut new = false;
    for spec in specs {
      new |= self.list(spec);
    }
    if new {
      self.count();
    }
  }

  /// Takes up a server's entry; whether it is that of a new life.
  fn list(&mut self, spec: Spec) -> bool {
    let life = spec.life();
    self.gone.remove(&life.server());
    let known = self.ids.get(&life.server()).copied();
    let current = known.map(|key| self.servers[key].spec.life());
    if let (Some(key), Some(current)) = (known, current) {
      if current.ends(life) {
        // Older than what the server said when asked.
        return false;
      }
      if !life.ends(current) {
        let server = &self.servers[key];
        let engine = self.models.engine(server.pool).is_some();
        if server.spec != spec || server.engine != engine {
          self.change(key, |server, models| {
            server.spec = spec;
            server.state(models);
          });
        }
        return false;
      }
      self.take_out(key);
    }
    let server = Server::open(spec, &mut self.models);
    let key = self.servers.insert(server);
    self.ids.insert(life.server(), key);
    self.enter(key);
    true
  }

  /// Takes up which servers need help.
  pub fn update_limited(&mut self, lives: &BTreeSet<Life>) {
    self.any_limited = !lives.is_empty();
    for server in self.servers.values_mut() {
      server.limited = lives.contains(&server.spec.life());
    }
  }

  /// Takes a server out, with all that is looked up by it.
  fn take_out(&mut self, key: server::Key) -> Option<Server> {
    self.leave(key);
    self.dirty.remove(&key);
    let server = self.servers.remove(key)?;
    self.changed.remove(&server.changed);
    Some(server)
  }

  /// Changes a server, and brings up to date what is looked up of it by model and by time.
  pub(crate) fn change<R>(
    &mut self,
    key: server::Key,
    change: impl FnOnce(&mut Server, &mut Models) -> R,
  ) -> Option<R> {
    self.leave(key);
    let result = change(self.servers.get_mut(key)?, &mut self.models);
    self.enter(key);
    Some(result)
  }

  /// Enters a server where it is looked up.
  fn enter(&mut self, key: server::Key) {
    let Some(server) = self.servers.get_mut(key) else {
      return;
    };
    self.dirty.insert(key);
    if !server.leaving.is_empty() {
      self.leaving.insert(key);
    }
    server.timer = server.due();
    self.timers.extend(server.timer.map(|at| (at, key)));
    if let Some(job) = &server.job {
      self.models[job.model].loads += 1;
      self.remote_jobs += usize::from(job.remote);
    }
    if server.spec.stage != Stage::Ready {
      return;
    }
    for (model, tier) in &server.copies {
      self.models[*model].copies.push((key, *tier));
    }
    for model in server.models.keys() {
      if !server.leaving.contains(model) {
        self.models[*model].holders.push(key);
      }
    }
  }

  /// Takes a server out of where it is looked up.
  fn leave(&mut self, key: server::Key) {
    let Some(server) = self.servers.get_mut(key) else {
      return;
    };
    if let Some(at) = server.timer.take() {
      self.timers.remove(&(at, key));
    }
    self.leaving.remove(&key);
    if let Some(job) = &server.job {
      self.models[job.model].loads -= 1;
      self.remote_jobs -= usize::from(job.remote);
    }
    if server.spec.stage != Stage::Ready {
      return;
    }
    for model in server.copies.keys() {
      self.models[*model]
        .copies
        .retain(|(other, _)| *other != key);
    }
    for model in server.models.keys() {
      if !server.leaving.contains(model) {
        self.models[*model].holders.retain(|other| *other != key);
      }
    }
  }

  /// The server that is named by a life, unless it has a later one.
  pub(crate) fn living(&self, life: Life) -> Option<server::Key> {
    let key = *self.ids.get(&life.server())?;
    let server = self.servers.get(key)?;
    life.counts(server.spec.life()).then_some(key)
  }

  /// Servers of a pool.
  pub(crate) fn of_pool(&self, pool: PoolKey) -> impl Iterator<Item = (server::Key, &Server)> {
    let servers = self.servers.iter();
    servers.filter(move |(_, server)| server.pool == pool)
  }

  /// Takes up what servers of other groups hold.
  pub fn update_other_servers(&mut self, others: Vec<OtherServer>) {
    if others.is_empty() && self.groups.is_empty() {
      return;
    }
    self.groups = others.iter().map(|other| other.group).collect();
    for entry in self.models.entries_mut() {
      entry.elsewhere = 0;
      entry.copies_elsewhere.clear();
      entry.groups.clear();
    }
    for other in others {
      let pool = self.models.pool(&other.pool);
      for (name, adapters) in &other.models {
        let base = self.models.insert(pool, name, None);
        self.models[base].elsewhere += 1;
        self.models[base].groups.push(other.group);
        for adapter in adapters {
          let adapter = self.models.insert(pool, name, Some(adapter));
          self.models[adapter].elsewhere += 1;
        }
      }
      for name in &other.copies {
        let base = self.models.insert(pool, name, None);
        self.models[base].copies_elsewhere.push(other.group);
      }
    }
  }

  /// Takes up the operators' policies.
  pub fn update_policies(&mut self, policies: BTreeMap<String, Policy>) {
    self.policies = policies;
  }

  /// The policy of a model: of those that select it by its labels `model` and
  /// `pool` the one of highest precedence, then of the smallest name.
  pub(crate) fn policy(&self, model: models::Key) -> &Policy {
    if self.policies.is_empty() {
      return &self.default_policy;
    }
    let entry = &self.models[model];
    let pool = &self.models.of_pool(entry.pool).name;
    let labels: Labels = [("model", &entry.model.name), ("pool", pool)]
      .map(|(key, value)| (key.to_string(), value.clone()))
      .into_iter()
      .collect();
    let chosen = self
      .policies
      .iter()
      .filter(|(_, policy)| policy.models.matches(&labels))
      .max_by_key(|(name, policy)| (policy.precedence, std::cmp::Reverse(*name)));
    chosen.map_or(&self.default_policy, |(_, policy)| policy)
  }

  /// Whether a model's policy lets a server hold it.
  pub(crate) fn allows(&self, policy: &Policy, server: &Server) -> bool {
    self.policies.is_empty() || policy.servers.matches(&server.labels())
  }

  /// Whether orders may go out: otherwise what is under way is followed to its end.
  pub fn set_ordering(&mut self, may: bool) {
    self.ordering = may;
  }

  /// Goes on with everything that is due.
  pub fn step(&mut self, now: u64) -> Vec<Effect> {
    self.now = now;
    self.forget_members();
    self.forget_gone();
    self.follow();
    self.fade();
    if self.ordering && now >= self.settled_at {
      let sweep = now >= self.swept + SWEEP_MS;
      if sweep {
        self.swept = now;
        self.fill_room();
        self.replicate();
      }
      self.serve_demand();
      if sweep {
        self.free_places();
      }
    }
    self.follow();
    self.publish();
    std::mem::take(&mut self.out)
  }

  /// Goes on with the servers that are due.
  fn follow(&mut self) {
    let due = self.timers.iter().take_while(|(at, _)| *at <= self.now);
    let due: Vec<server::Key> = due.map(|(_, key)| *key).collect();
    for key in due {
      self.sync(key);
      self.work(key);
    }
  }

  /// When to step again, ms.
  pub fn next_step_at(&self, now: u64) -> u64 {
    let wait = self.published_at + PUBLISH_MS;
    let publish = match self.unpublished {
      true => self.published_at + self.pause,
      false => wait.max(self.published_at + self.pause),
    };
    let goes_on = |job: &Job| self.ordering || job.step == Step::Await;
    let mut timers = self.timers.iter().take_while(|(at, _)| *at < wait);
    let open = timers.find(|(_, key)| {
      let job = self
        .servers
        .get(*key)
        .and_then(|server| server.job.as_ref());
      job.is_none_or(goes_on)
    });
    let open = open.map_or(wait, |(at, _)| *at);
    open.min(publish).max(now + 1)
  }

  /// Notes a decision about a server and a model, for the log.
  pub(crate) fn note(
    &mut self,
    what: &'static str,
    server: server::Key,
    model: models::Key,
    why: String,
  ) {
    let model = &self.models[model].model;
    let model = match &model.adapter {
      Some(adapter) => format!("{}/{adapter}", model.name),
      None => model.name.clone(),
    };
    let id = self
      .servers
      .get(server)
      .map(|server| server.spec.id.clone());
    self.out.push(Effect::Log {
      what,
      server: id.unwrap_or_default(),
      model,
      why,
    });
  }
}
