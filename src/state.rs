//! All state of one instance, and the parts that every module shares.

use crate::{
  ask::{Ask, Ticket},
  batches::Batches,
  catalog::{Catalog, DEFAULT_POLICY, Model, Server as Spec},
  claims::Claims,
  effect::Effect,
  fact::{Body, Fact, Health, Key, Listed, Member, Version},
  facts::Table,
  gossip::Gossip,
  group::{self, Group},
  history::History,
  job::Job,
  journal::Entry,
  members::Members,
  policy::Policy,
  replica::{Id, Replica},
  server::{self, Server},
  settings::Limits,
  verdict::Verdict,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Who this instance is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
  pub instance: String,
  pub zone: String,
  /// Peer address, `ip:port`.
  pub peers: String,
  /// Operators' address, `ip:port`.
  pub operators: String,
  /// Start time of the process, ms.
  pub boot: u64,
  /// Peer addresses known from settings.
  pub seeds: Vec<String>,
}

/// A request between arrival and its final answer.
#[derive(Clone, Debug)]
pub struct Request {
  pub descriptor: Ask,
  /// The group of a model's request.
  pub group: Option<group::Key>,
  /// Attempts so far.
  pub attempts: u32,
  /// Where the current attempt runs.
  pub running_on: Option<(server::Key, Id)>,
  /// Address of the current attempt at a plain service.
  pub address: Option<String>,
  /// What the attempts so far amount to.
  pub verdict: Verdict,
  pub arrived: u64,
  pub sent: u64,
  /// It waited for a load.
  pub cold: bool,
}

/// A model whose decisions this instance usually takes.
#[derive(Clone, Debug, Default)]
pub struct Owned {
  /// The record was read since this instance owns the model.
  pub record_read: bool,
  /// Inter-arrival history stored in the record.
  pub gaps: Vec<u32>,
  /// Replicas decided but not loaded, with the time this was first noticed, ms.
  pub missing: BTreeMap<Id, u64>,
  /// Time of the next read of the record, ms.
  pub audit_at: u64,
  /// A read is on its way since this time, ms.
  pub read_started_at: Option<u64>,
}

/// State of one instance.
pub struct State {
  pub me: Identity,
  pub limits: Limits,
  pub now: u64,
  pub rng: SmallRng,
  pub catalog: Catalog,
  /// Some configuration is known.
  pub configured: bool,
  /// Objects that came into force and are not yet recorded, and the newest
  /// version among them.
  pub updates: (usize, u64),
  pub facts: Table,
  pub members: Members,
  pub gossip: Gossip,
  pub groups: SlotMap<group::Key, Group>,
  pub group_keys: HashMap<(String, String), group::Key>,
  /// Groups with something waiting, running or loaded.
  pub active: BTreeSet<group::Key>,
  pub servers: SlotMap<server::Key, Server>,
  pub server_keys: HashMap<String, server::Key>,
  pub requests: HashMap<Ticket, Request>,
  pub jobs: BTreeMap<Id, Job>,
  pub owned: BTreeMap<String, Owned>,
  /// Servers this instance looks after.
  pub owned_servers: Vec<String>,
  /// Where each model's replicas are decided.
  pub placed: HashMap<String, Vec<(server::Key, Id)>>,
  /// Epoch and configuration for which the watchers were chosen.
  pub watchers_chosen_for: Option<(u64, bool)>,
  /// Membership epoch for which `owned` was worked out.
  pub owned_epoch: u64,
  pub claims: Claims,
  pub batches: Batches,
  /// Load time in microseconds for each MB, by tier: memory, disk, remote.
  pub load_rates: [u64; 3],
  /// Retries allowed, in hundredths.
  pub retry_budget: u32,
  pub stopping: bool,
  pub stopped: bool,
  pub watching: bool,
  /// Next housekeeping, ms.
  pub next_housekeeping_at: u64,
  /// Next round through all owned models, ms.
  pub next_recovery_at: u64,
  pub out: Vec<Effect>,
}

/// Load time assumed before the first load was seen, microseconds for each MB.
const LOAD_RATES: [u64; 3] = [100, 500, 4_000];
/// Retries allowed at the start, in hundredths.
const RETRY_START: u32 = 1_000;

impl State {
  /// State of an instance that knows nobody yet.
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
      load_rates: LOAD_RATES,
      retry_budget: RETRY_START,
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

  /// The process, as server records name it.
  pub fn orderer(&self) -> String {
    format!("{}/{}", self.me.instance, self.me.boot)
  }

  /// Announces this instance; a higher incarnation overrides suspicion.
  pub fn announce(&mut self, incarnation: u64) {
    let member = Member {
      address: self.me.peers.clone(),
      operators: self.me.operators.clone(),
      zone: self.me.zone.clone(),
      boot: self.me.boot,
      leaving: self.stopping,
      health: Health::Alive,
    };
    let version = Version(self.me.boot, incarnation * 4);
    let key = Key::Member(self.me.instance.clone());
    self.publish(key, version, Body::Member(member));
  }

  /// Takes up a fact of this instance's own making.
  pub fn publish(&mut self, key: Key, version: Version, body: Body) {
    self.take(Fact { key, version, body }, "");
  }

  /// Asks for `effect`.
  pub fn emit(&mut self, effect: Effect) {
    self.out.push(effect);
  }

  /// Records a change of state.
  pub fn log(&mut self, entry: Entry) {
    self.out.push(Effect::Log(entry));
  }

  /// A random number below `below`.
  pub fn random(&mut self, below: u64) -> u64 {
    self.rng.random_range(0..below.max(1))
  }

  /// `base` doubled for each failure up to `most`, with half of it random.
  pub fn backoff(&mut self, base: u64, failures: u32, most: u64) -> u64 {
    let full = (base << failures.min(10)).min(most);
    full / 2 + self.random(full / 2 + 1)
  }

  /// Whether this instance usually acts for `key`.
  pub fn owns(&self, key: &str) -> bool {
    self.members.owner(key) == Some(self.me.instance.as_str())
  }

  /// Peer address of an instance.
  pub fn peer_address(&self, instance: &str) -> Option<String> {
    match self.facts.get(&Key::Member(instance.into())) {
      Some((Body::Member(member), _)) => Some(member.address.clone()),
      _ => None,
    }
  }

  /// State of a machine in the platform's list; a machine never listed counts as
  /// live.
  pub fn listed(&self, machine: &str) -> Listed {
    match self.facts.get(&Key::Listing(machine.into())) {
      Some((Body::Listing(listed), _)) => *listed,
      _ => Listed::Live,
    }
  }

  /// Whether a process, named `instance/boot`, is known to have ended: its
  /// machine is gone, or a later process runs there.
  pub fn process_ended(&self, orderer: &str) -> bool {
    let Some((instance, boot)) = orderer.rsplit_once('/') else {
      return false;
    };
    let boot: u64 = boot.parse().unwrap_or(u64::MAX);
    let later = match self.facts.get(&Key::Member(instance.into())) {
      Some((Body::Member(member), _)) => member.boot > boot,
      _ => false,
    };
    later || self.listed(instance) == Listed::Gone
  }

  /// The server's key, made when first needed.
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

  /// The group's key, made when first needed.
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

  /// The policy of this name, or the built-in one.
  pub fn policy(&self, name: &str) -> Policy {
    self.catalog.policies.get(name).cloned().unwrap_or_default()
  }

  /// Name of the policy that rules a model for a caller.
  pub fn effective_policy(&self, model: &Model, caller: u64) -> String {
    let found = self.catalog.policy(model, caller);
    found.map_or(DEFAULT_POLICY, |(name, _)| name).to_string()
  }

  /// Whether a server takes new replicas and requests.
  pub fn is_usable(&self, name: &str) -> bool {
    let leaving = self
      .server_keys
      .get(name)
      .is_some_and(|key| self.servers[*key].leaving);
    !leaving && self.listed(name) == Listed::Live && self.catalog.servers.contains_key(name)
  }

  /// Decided replicas of a model, as last published.
  pub fn placement(&self, model: &str) -> &[Replica] {
    match self.facts.get(&Key::Placement(model.into())) {
      Some((Body::Placement(replicas), _)) => replicas,
      _ => &[],
    }
  }

  /// Configuration of a server.
  pub fn spec(&self, server: &str) -> Option<&Spec> {
    self.catalog.servers.get(server)
  }

  /// Keeps a group in housekeeping.
  pub fn mark_active(&mut self, key: group::Key) {
    self.active.insert(key);
  }
}
