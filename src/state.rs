//! State of one instance, and helpers that several modules use.

use crate::{
  batches::Batches,
  catalog::{Catalog, DEFAULT_POLICY, Model, Server as Spec},
  claims::Claims,
  effect::Effect,
  fact::{Body, Fact, Health, Key, MachineState, Member, Version},
  facts::Table,
  gossip::Gossip,
  group::{self, Group},
  history::History,
  job::Job,
  journal::Entry,
  members::Members,
  policy::Policy,
  replica::{Id, Replica},
  request::{Descriptor, Ticket},
  server::{self, Server},
  settings::Limits,
  verdict::Verdict,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Identity and addresses of this instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
  pub instance: String,
  pub zone: String,
  /// Address for peers, as `ip:port`.
  pub peer_address: String,
  /// Address for operators, as `ip:port`.
  pub operator_address: String,
  /// Start time of the process in ms.
  pub boot: u64,
  /// Peer addresses from the settings.
  pub seeds: Vec<String>,
}

/// A request that has arrived and has no final response yet.
#[derive(Clone, Debug)]
pub struct Request {
  pub descriptor: Descriptor,
  /// Group of a model request; `None` for a service call.
  pub group: Option<group::Key>,
  /// Number of attempts started.
  pub attempts: u32,
  /// Server and replica of the current attempt; `None` if no attempt runs on a replica.
  pub running_on: Option<(server::Key, Id)>,
  /// Address of the latest attempt at a plain service.
  pub address: Option<String>,
  /// Combined verdict of the failed attempts.
  pub verdict: Verdict,
  /// Time of arrival in ms.
  pub arrived: u64,
  /// Time in ms at which the latest attempt was sent.
  pub sent: u64,
  /// Time in ms from the arrival to the deadline that the caller asked for.
  pub time_limit: u64,
  /// Whether no replica was ready on arrival, so that the request waits for a load.
  pub cold: bool,
}

/// State of a model for which this instance normally decides.
#[derive(Clone, Debug, Default)]
pub struct Owned {
  /// Whether the record was read since this instance became the owner.
  pub record_read: bool,
  /// Inter-arrival history from the record.
  pub gaps: Vec<u32>,
  /// Replicas that are decided but not loaded, with the time in ms at which this was detected.
  pub missing: BTreeMap<Id, u64>,
  /// Time in ms of the next read of the record.
  pub audit_at: u64,
  /// Time in ms at which the pending read started; `None` if no read is pending.
  pub read_started_at: Option<u64>,
}

/// State of one instance.
pub struct State {
  pub me: Identity,
  pub limits: Limits,
  pub now: u64,
  pub rng: SmallRng,
  pub catalog: Catalog,
  /// Whether any configuration is known.
  pub configured: bool,
  /// Number of applied objects that have no timeline entry yet, and the newest version
  /// among them.
  pub updates: (usize, u64),
  pub facts: Table,
  pub members: Members,
  pub gossip: Gossip,
  pub groups: SlotMap<group::Key, Group>,
  pub group_keys: HashMap<(String, String), group::Key>,
  /// Groups with waiting requests, running requests or loaded replicas.
  pub active: BTreeSet<group::Key>,
  pub servers: SlotMap<server::Key, Server>,
  pub server_keys: HashMap<String, server::Key>,
  pub requests: HashMap<Ticket, Request>,
  pub jobs: BTreeMap<Id, Job>,
  pub owned: BTreeMap<String, Owned>,
  /// Servers that this instance polls and inspects.
  pub owned_servers: Vec<String>,
  /// Server and id of each decided replica, by model.
  pub placed: HashMap<String, Vec<(server::Key, Id)>>,
  /// Membership epoch and value of `configured` at the last choice of watchers.
  pub watchers_chosen_for: Option<(u64, bool)>,
  /// Membership epoch for which `owned` was computed, plus 1.
  pub owned_epoch: u64,
  pub claims: Claims,
  pub batches: Batches,
  /// Load time in microseconds per MB for the tiers memory, disk and remote.
  pub load_us_per_mb: [u64; 3],
  /// Remaining retry budget in hundredths of a retry.
  pub retry_budget: u32,
  pub stopping: bool,
  pub stopped: bool,
  pub watching: bool,
  /// Time in ms of the next housekeeping pass.
  pub next_housekeeping_at: u64,
  /// Time in ms of the next recovery pass over all owned models.
  pub next_recovery_at: u64,
  pub out: Vec<Effect>,
}

/// Load time in microseconds per MB, by tier, that is assumed until a load is measured.
const INITIAL_LOAD_US_PER_MB: [u64; 3] = [100, 500, 4_000];
/// Retry budget at start in hundredths of a retry.
const INITIAL_RETRY_BUDGET: u32 = 1_000;

impl State {
  /// Creates the state of an instance that knows no other instance.
  pub fn new(me: Identity, limits: Limits, seed: u64, now: u64) -> Self {
    let mut state = Self {
      me,
      limits,
      now,
      rng: SmallRng::seed_from_u64(seed),
      catalog: Catalog::default(),
      configured: false,
      updates: (0, 0),
      facts: Table::default(),
      members: Members::default(),
      gossip: Gossip::default(),
      groups: SlotMap::with_key(),
      group_keys: HashMap::new(),
      active: BTreeSet::new(),
      servers: SlotMap::with_key(),
      server_keys: HashMap::new(),
      requests: HashMap::new(),
      jobs: BTreeMap::new(),
      owned: BTreeMap::new(),
      owned_servers: Vec::new(),
      placed: HashMap::new(),
      watchers_chosen_for: None,
      owned_epoch: 0,
      claims: Claims::default(),
      batches: Batches::default(),
      load_us_per_mb: INITIAL_LOAD_US_PER_MB,
      retry_budget: INITIAL_RETRY_BUDGET,
      stopping: false,
      stopped: false,
      watching: false,
      next_housekeeping_at: 0,
      next_recovery_at: 0,
      out: Vec::new(),
    };
    state.announce(0);
    state
  }

  /// Name of this process in server records, as `instance/boot`.
  pub fn orderer(&self) -> String {
    format!("{}/{}", self.me.instance, self.me.boot)
  }

  /// Publishes this instance as a member; a higher incarnation overrides suspicion.
  pub fn announce(&mut self, incarnation: u64) {
    let member = Member {
      address: self.me.peer_address.clone(),
      operators: self.me.operator_address.clone(),
      zone: self.me.zone.clone(),
      boot: self.me.boot,
      leaving: self.stopping,
      health: Health::Alive,
    };
    let version = Version(self.me.boot, incarnation * 4);
    let key = Key::Member(self.me.instance.clone());
    self.publish(key, version, Body::Member(member));
  }

  /// Adds a fact that this instance produced.
  pub fn publish(&mut self, key: Key, version: Version, body: Body) {
    self.merge_fact(Fact { key, version, body }, "");
  }

  /// Queues `effect` for execution.
  pub fn emit(&mut self, effect: Effect) {
    self.out.push(effect);
  }

  /// Queues a timeline entry for a change of state.
  pub fn log(&mut self, entry: Entry) {
    self.out.push(Effect::Log(entry));
  }

  /// Returns a random number below `limit`, or 0 if `limit` is 0.
  pub fn random(&mut self, limit: u64) -> u64 {
    self.rng.random_range(0..limit.max(1))
  }

  /// Exponential backoff: `base` doubled for each failure up to `max`, of which half is random.
  pub fn backoff(&mut self, base: u64, failures: u32, max: u64) -> u64 {
    let delay = (base << failures.min(10)).min(max);
    delay / 2 + self.random(delay / 2 + 1)
  }

  /// Whether this instance is the owner of `key`.
  pub fn owns(&self, key: &str) -> bool {
    self.members.owner(key) == Some(self.me.instance.as_str())
  }

  /// Peer address of an instance; `None` if the instance is unknown.
  pub fn peer_address(&self, instance: &str) -> Option<String> {
    match self.facts.get(&Key::Member(instance.into())) {
      Some((Body::Member(member), _)) => Some(member.address.clone()),
      _ => None,
    }
  }

  /// State of a machine in the platform's list; a machine that was never listed counts
  /// as live.
  pub fn listed(&self, machine: &str) -> MachineState {
    match self.facts.get(&Key::Listing(machine.into())) {
      Some((Body::Listing(listed), _)) => *listed,
      _ => MachineState::Live,
    }
  }

  /// Whether the process `instance/boot` is known to have ended because its machine is
  /// gone or a later process runs there.
  pub fn process_ended(&self, orderer: &str) -> bool {
    let Some((instance, boot)) = orderer.rsplit_once('/') else {
      return false;
    };
    let boot: u64 = boot.parse().unwrap_or(u64::MAX);
    let replaced = match self.facts.get(&Key::Member(instance.into())) {
      Some((Body::Member(member), _)) => member.boot > boot,
      _ => false,
    };
    replaced || self.listed(instance) == MachineState::Gone
  }

  /// Returns the key of a server and adds the server if it is new.
  pub fn server(&mut self, name: &str) -> server::Key {
    if let Some(key) = self.server_keys.get(name) {
      return *key;
    }
    let server = Server {
      name: name.into(),
      ..Server::default()
    };
    let key = self.servers.insert(server);
    self.server_keys.insert(name.into(), key);
    key
  }

  /// Returns the key of a group and adds the group if it is new.
  pub fn group(&mut self, model: &str, policy: &str) -> group::Key {
    let name = (model.to_string(), policy.to_string());
    if let Some(key) = self.group_keys.get(&name) {
      return *key;
    }
    let mut group = Group {
      model: model.into(),
      policy: policy.into(),
      ..Group::default()
    };
    if let Some(owned) = self.owned.get(model) {
      group.history = History::from_counts(&owned.gaps);
    }
    let key = self.groups.insert(group);
    self.group_keys.insert(name, key);
    key
  }

  /// The policy of this name, or the built-in policy if there is none.
  pub fn policy(&self, name: &str) -> Policy {
    self.catalog.policies.get(name).cloned().unwrap_or_default()
  }

  /// Name of the policy that applies to a model for a caller.
  pub fn effective_policy(&self, model: &Model, caller: u64) -> String {
    let policy = self.catalog.policy(model, caller);
    policy.map_or(DEFAULT_POLICY, |(name, _)| name).to_string()
  }

  /// Whether a server accepts new replicas and requests.
  pub fn is_usable(&self, name: &str) -> bool {
    let leaving = self
      .server_keys
      .get(name)
      .is_some_and(|key| self.servers[*key].leaving);
    !leaving && self.listed(name) == MachineState::Live && self.catalog.servers.contains_key(name)
  }

  /// Decided replicas of a model, as last published.
  pub fn placement(&self, model: &str) -> &[Replica] {
    match self.facts.get(&Key::Placement(model.into())) {
      Some((Body::Placement(replicas), _)) => replicas,
      _ => &[],
    }
  }

  /// Configuration of a server; `None` if it is not configured.
  pub fn spec(&self, server: &str) -> Option<&Spec> {
    self.catalog.servers.get(server)
  }

  /// Includes a group in housekeeping.
  pub fn mark_active(&mut self, key: group::Key) {
    self.active.insert(key);
  }
}
