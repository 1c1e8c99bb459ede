//! Decides which models and adapters a group of backend servers holds. Only the machine that holds
//! the group's lease decides.
//!
//! A server carries out one order at a time. A needed model goes to the server where it is ready
//! soonest, considering the nearest copy of its checkpoint and the models to evict for it.

use super::{
  gone::Unlisted,
  models::{self, Models, PoolKey},
  need::Need,
  orders::{INITIAL_UNLOAD_MS, MAX_REPORT_AGE_MS},
  pace::Paces,
  publish::{MIN_PUBLISH_INTERVAL_MS, PUBLISH_INTERVAL_MS},
  remote::Remote,
  report::Member,
  server::{self, Job, Server, Step},
  work::Reading,
};
pub use super::{publish::Publication, report::Report};
use crate::{
  backend::{Spec, Stage},
  command::Command,
  deployment::Deployment,
  feature::Features,
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

/// Lag with which a server reports its holdings, ms.
pub(crate) const REPORT_LAG_MS: u64 = 200;
/// Interval of queries whether a load is done, ms.
pub(crate) const QUERY_INTERVAL_MS: u64 = 100;
/// Interval of the work that no request waits for, such as preloads, ms.
const SWEEP_INTERVAL_MS: u64 = 40;
/// Added to the cost of a load for each request that runs on the server, ms: its adapters cannot be
/// changed during the load.
pub(crate) const REQUEST_COST_MS: u64 = 15;
/// Time for instances to report to a new lease holder, ms.
const SETTLE_MS: u64 = 150;
/// Usage of each replica, in concurrent requests, from which a model gets a further replica where
/// there is room.
pub(crate) const HEAVY_USAGE: f64 = 1.5;

/// An action for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
  Order(Command),
  Query {
    id: String,
    address: SocketAddr,
  },
  Publish(Publication),
  /// A decision for the log: what was decided, for which server and model, and why.
  Log {
    what: &'static str,
    server: String,
    model: String,
    why: String,
  },
}

/// A server of another group, as published.
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
  /// Number of the group.
  pub(crate) group: u32,
  pub(crate) models: Models,
  pub(crate) servers: SlotMap<server::Key, Server>,
  /// Servers by the hash of their id, which reports use and which a restart does not change.
  pub(crate) by_id: HashMap<u64, server::Key>,
  /// Some server is limited.
  pub(crate) any_limited: bool,
  /// Some server counts as rejecting requests until then, ms.
  pub(crate) any_rejecting_until: u64,
  /// Servers that are about to unload models.
  pub(crate) leaving: BTreeSet<server::Key>,
  /// Other groups whose servers have been published.
  pub(crate) groups: BTreeSet<u32>,
  /// When actions of servers are due.
  timers: BTreeSet<(u64, server::Key)>,
  /// Servers whose holdings may have changed since the last publication.
  pub(crate) dirty: BTreeSet<server::Key>,
  /// Counts the steps that handled demand.
  pub(crate) demand_step: u64,
  /// Models that requests wait for, or that callers are expected to return for, as of the last
  /// step.
  pub(crate) needs: Vec<Need>,
  /// When the last sweep was, ms.
  swept_at: u64,
  pub(crate) term_started_at: u64,
  /// No model is loaded or evicted before this time, because instances have not reported yet, ms.
  pub(crate) settled_at: u64,
  pub(crate) machine: String,
  pub(crate) term: u64,
  /// Queries from this time on show the effect of every order of an earlier holder that its server
  /// carried out when it arrived, ms.
  pub(crate) reports_complete_from: u64,
  /// Servers whose last inventory may lack such an order.
  pub(crate) unconfirmed: BTreeSet<server::Key>,
  /// Orders may be sent.
  pub(crate) ordering: bool,
  pub(crate) deployment: Arc<Deployment>,
  /// Entries of servers that this machine never knew may be missing.
  pub(crate) unknown_servers: bool,
  /// Servers whose entries may return.
  pub(crate) unlisted: BTreeMap<u64, Unlisted>,
  pub(crate) members: BTreeMap<SocketAddr, Member>,
  pub(crate) usage_updated_at: u64,
  pub(crate) remote: Remote,
  /// Loads from the weight store in progress.
  pub(crate) remote_jobs: usize,
  /// Duration of an unload of a model without running requests, as observed from orders, ms.
  pub(crate) unload_ms: f64,
  /// One server's even share of each pool's requests, requests a second, as of the last sweep.
  pub(crate) even_share: BTreeMap<PoolKey, f64>,
  /// Time that quiet servers of each pool took to read prompts.
  pub(crate) readings: BTreeMap<PoolKey, Reading>,
  /// Policies by name, as operators wrote them, and the policy of models that none of them selects.
  policies: BTreeMap<String, Policy>,
  default_policy: Policy,
  policies_known: bool,
  pub(crate) published_at: u64,
  /// When loads were last published, ms. Changes of holdings may be published all the time.
  pub(crate) loads_published_at: u64,
  /// Minimum time between two publications of changes, ms.
  pub(super) publish_interval_ms: u64,
  pub(crate) publish_pending: bool,
  /// Number of changes of holdings in this term.
  pub(crate) changes: u64,
  /// Servers by the number of their last change.
  pub(super) changed_servers: BTreeMap<u64, server::Key>,
  /// Recent publications of changes: when, ms, and the number of the last change published.
  pub(super) publications: VecDeque<(u64, u64)>,
  /// How slow servers are, as measured by instances.
  pub(crate) paces: Paces,
  pub features: Features,
  pub(crate) now: u64,
  pub(crate) effects: Vec<Effect>,
}

impl Plan {
  /// Creates the plan of a machine that does not hold the lease yet.
  pub fn new(machine: &str, group: u32, load_window_ms: u64, load_overage: f64) -> Self {
    Self {
      group,
      models: Models::default(),
      servers: SlotMap::with_key(),
      by_id: HashMap::new(),
      any_limited: false,
      any_rejecting_until: 0,
      leaving: BTreeSet::new(),
      groups: BTreeSet::new(),
      timers: BTreeSet::new(),
      dirty: BTreeSet::new(),
      demand_step: 1,
      needs: Vec::new(),
      swept_at: 0,
      term_started_at: 0,
      settled_at: 0,
      machine: machine.into(),
      term: 0,
      reports_complete_from: 0,
      unconfirmed: BTreeSet::new(),
      ordering: true,
      deployment: Arc::default(),
      unknown_servers: false,
      unlisted: BTreeMap::new(),
      members: BTreeMap::new(),
      usage_updated_at: 0,
      remote: Remote::new(load_window_ms, load_overage),
      remote_jobs: 0,
      unload_ms: INITIAL_UNLOAD_MS,
      even_share: BTreeMap::new(),
      readings: BTreeMap::new(),
      policies: BTreeMap::new(),
      default_policy: Policy::default_routed(),
      policies_known: true,
      published_at: 0,
      loads_published_at: 0,
      publish_interval_ms: MIN_PUBLISH_INTERVAL_MS,
      publish_pending: false,
      changes: 0,
      changed_servers: BTreeMap::new(),
      publications: VecDeque::new(),
      paces: Paces::default(),
      features: Features::default(),
      now: 0,
      effects: Vec::new(),
    }
  }

  /// Starts a term after the lease was acquired: what was known of the servers no longer counts.
  pub fn start_term(&mut self, now: u64, term: u64) {
    self.now = now;
    self.term_started_at = now;
    self.settled_at = now + SETTLE_MS;
    self.term = term;
    self.set_last_foreign_order(Some(now));
    self.unconfirmed.clear();
    self.changes = 0;
    self.changed_servers.clear();
    self.publications.clear();
    let keys: Vec<server::Key> = self.servers.keys().collect();
    for key in keys {
      self.change(key, |server, _| server.reset(now));
    }
  }

  /// Sets the time until which earlier holders may have sent orders, ms; `None` if there were none.
  /// Servers report with a lag, so a query soon after it may return a report that lacks the last ones.
  pub fn set_last_foreign_order(&mut self, at: Option<u64>) {
    self.reports_complete_from = at.map_or(0, |at| at + MAX_REPORT_AGE_MS);
  }

  /// Updates the deployment and the servers of the group.
  pub fn update_servers(&mut self, deployment: Arc<Deployment>, mut specs: Vec<Spec>) {
    if !Arc::ptr_eq(&self.deployment, &deployment) {
      self.models.apply_deployment(&deployment);
      self.deployment = deployment;
    }
    let listed: BTreeSet<u64> = specs.iter().map(|spec| spec.life().server()).collect();
    let unlisted = self.by_id.extract_if(|server, _| !listed.contains(server));
    let unlisted: Vec<server::Key> = unlisted.map(|(_, key)| key).collect();
    let removed: Vec<Server> = unlisted
      .into_iter()
      .filter_map(|key| self.remove_server(key))
      .collect();
    self.track_unlisted(removed);
    // Sorted by id regardless of the input order, so that plans are reproducible.
    specs.sort_by(|one, two| one.id.cmp(&two.id));
    let mut any_new = false;
    for spec in specs {
      any_new |= self.update_entry(spec);
    }
    if any_new {
      self.recount_running();
    }
    self.update_pace_servers();
  }

  /// Updates a server from its entry; returns whether the server is new or has restarted.
  fn update_entry(&mut self, spec: Spec) -> bool {
    let life = spec.life();
    let unlisted = self.unlisted.remove(&life.server());
    let known = self.by_id.get(&life.server()).copied();
    let current = known.map(|key| self.servers[key].spec.life());
    if let (Some(key), Some(current)) = (known, current) {
      if current.supersedes(life) {
        // The entry is older than what the server stated when it was queried.
        return false;
      }
      if !life.supersedes(current) {
        let server = &self.servers[key];
        let engine = self.models.engine(server.pool).is_some();
        if server.spec != spec || server.has_engine != engine {
          self.change(key, |server, models| {
            server.spec = spec;
            server.apply_spec(models);
          });
        }
        return false;
      }
      self.remove_server(key);
    }
    let mut server = Server::new(spec, &mut self.models);
    server.unanswered =
      unlisted.map_or_else(BTreeMap::new, |unlisted| unlisted.unanswered_of(life));
    let key = self.servers.insert(server);
    self.by_id.insert(life.server(), key);
    self.add_to_indexes(key);
    true
  }

  /// Updates which servers are limited.
  pub fn update_limited(&mut self, lives: &BTreeSet<Life>) {
    self.any_limited = !lives.is_empty();
    for server in self.servers.values_mut() {
      server.limited = lives.contains(&server.spec.life());
    }
  }

  /// Removes a server, also from all indexes.
  fn remove_server(&mut self, key: server::Key) -> Option<Server> {
    self.remove_from_indexes(key);
    self.dirty.remove(&key);
    self.unconfirmed.remove(&key);
    let server = self.servers.remove(key)?;
    self.changed_servers.remove(&server.change_number);
    Some(server)
  }

  /// Changes a server, and updates the indexes and timers that refer to it.
  pub(crate) fn change<R>(
    &mut self,
    key: server::Key,
    change: impl FnOnce(&mut Server, &mut Models) -> R,
  ) -> Option<R> {
    self.remove_from_indexes(key);
    let result = change(self.servers.get_mut(key)?, &mut self.models);
    self.add_to_indexes(key);
    Some(result)
  }

  /// Adds a server to the indexes and timers.
  fn add_to_indexes(&mut self, key: server::Key) {
    let Some(server) = self.servers.get_mut(key) else {
      return;
    };
    self.dirty.insert(key);
    if !server.leaving.is_empty() {
      self.leaving.insert(key);
    }
    server.timer = server.due_at();
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

  /// Removes a server from the indexes and timers.
  fn remove_from_indexes(&mut self, key: server::Key) {
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

  /// Returns the server that a life names, unless the server has restarted since.
  pub(crate) fn find_server(&self, life: Life) -> Option<server::Key> {
    let key = *self.by_id.get(&life.server())?;
    let server = self.servers.get(key)?;
    life.applies_to(server.spec.life()).then_some(key)
  }

  /// Servers of a pool.
  pub(crate) fn servers_in_pool(
    &self,
    pool: PoolKey,
  ) -> impl Iterator<Item = (server::Key, &Server)> {
    let servers = self.servers.iter();
    servers.filter(move |(_, server)| server.pool == pool)
  }

  /// Updates what servers of other groups hold.
  pub fn update_other_servers(&mut self, others: Vec<OtherServer>) {
    if others.is_empty() && self.groups.is_empty() {
      return;
    }
    self.groups = others.iter().map(|other| other.group).collect();
    for entry in self.models.entries_mut() {
      entry.holders_elsewhere = 0;
      entry.copy_groups.clear();
      entry.holder_groups.clear();
    }
    for other in others {
      let pool = self.models.intern_pool(&other.pool);
      for (name, adapters) in &other.models {
        let base = self.models.intern(pool, name, None);
        self.models[base].holders_elsewhere += 1;
        self.models[base].holder_groups.push(other.group);
        for adapter in adapters {
          let adapter = self.models.intern(pool, name, Some(adapter));
          self.models[adapter].holders_elsewhere += 1;
        }
      }
      for name in &other.copies {
        let base = self.models.intern(pool, name, None);
        self.models[base].copy_groups.push(other.group);
      }
    }
  }

  /// Replaces the operators' policies.
  pub fn update_policies(&mut self, policies: BTreeMap<String, Policy>) {
    self.policies = policies;
  }

  /// Sets whether the operators' policies were ever read.
  pub fn set_policies_known(&mut self, known: bool) {
    self.policies_known = known;
  }

  /// The most replicas that a model may have. Every policy allows one.
  pub(crate) fn max_replicas(&self, model: models::Key) -> u32 {
    match self.policies_known {
      true => self.policy(model).max_replicas,
      false => 1,
    }
  }

  /// The policy of a model: among those that select it by its labels `model` and `pool`, the one of
  /// highest precedence, then of the smallest name.
  pub(crate) fn policy(&self, model: models::Key) -> &Policy {
    if self.policies.is_empty() {
      return &self.default_policy;
    }
    let entry = &self.models[model];
    let pool = &self.models.pool(entry.pool).name;
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

  /// Whether a policy allows its models on a server.
  pub(crate) fn allows(&self, policy: &Policy, server: &Server) -> bool {
    self.policies.is_empty() || policy.servers.matches(&server.labels())
  }

  /// Sets whether orders may be sent. If not, only loads in progress are followed to their end.
  pub fn set_ordering(&mut self, allowed: bool) {
    self.ordering = allowed;
  }

  /// Sets whether entries of servers that this machine never knew may be missing.
  pub fn set_unknown_servers(&mut self, unknown: bool) {
    self.unknown_servers = unknown;
  }

  /// Carries out everything that is due; returns the resulting effects.
  pub fn step(&mut self, now: u64) -> Vec<Effect> {
    self.now = now;
    self.remove_silent_members();
    self.remove_expired_unlisted();
    self.advance_due_servers();
    self.update_usage();
    if self.ordering && now >= self.settled_at {
      let sweep = now >= self.swept_at + SWEEP_INTERVAL_MS;
      if sweep {
        self.swept_at = now;
        self.confirm_inventories();
        self.preload_models();
        self.add_replicas();
      }
      self.handle_needs();
      if sweep {
        self.ensure_freeable_servers();
      }
    }
    self.advance_due_servers();
    self.publish();
    std::mem::take(&mut self.effects)
  }

  /// Advances the servers whose actions are due.
  fn advance_due_servers(&mut self) {
    let due = self.timers.iter().take_while(|(at, _)| *at <= self.now);
    let due: Vec<server::Key> = due.map(|(_, key)| *key).collect();
    for key in due {
      self.query_if_due(key);
      self.advance_job(key);
    }
  }

  /// When the next step is due, ms.
  pub fn next_step_at(&self, now: u64) -> u64 {
    let regular_at = self.published_at + PUBLISH_INTERVAL_MS;
    let publish_at = match self.publish_pending {
      true => self.published_at + self.publish_interval_ms,
      false => regular_at.max(self.published_at + self.publish_interval_ms),
    };
    let proceeds = |job: &Job| self.ordering || job.step == Step::Await;
    let mut timers = self.timers.iter().take_while(|(at, _)| *at < regular_at);
    let next_timer = timers.find(|(_, key)| {
      let job = self
        .servers
        .get(*key)
        .and_then(|server| server.job.as_ref());
      job.is_none_or(proceeds)
    });
    let next_timer = next_timer.map_or(regular_at, |(at, _)| *at);
    next_timer.min(publish_at).max(now + 1)
  }

  /// Logs a decision about a server and a model.
  pub(crate) fn log_decision(
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
    self.effects.push(Effect::Log {
      what,
      server: id.unwrap_or_default(),
      model,
      why,
    });
  }
}
