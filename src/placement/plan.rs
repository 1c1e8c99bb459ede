//! Which models and adapters a group of backend servers holds: decided by the one
//! machine that holds the group's lease.
//!
//! A server carries out one order at a time. A model that is wanted goes to the
//! server where it is ready soonest: by the nearest copy of its checkpoint, and by
//! what has to give way for it.

use crate::{
  backend::{Holding, Spec, short},
  command::Command,
  demand::{Demand, Model},
  deployment::Deployment,
  placement::choose::Cause,
  placement::gone::Gone,
  placement::held::{Job, Server, Step, base},
  placement::obstacle::Delay,
  placement::urgency::gain,
  placement::work::UNLOAD_MS,
  policy::Policy,
  selector::Labels,
  strain::{Seen, Strain},
};
use std::{
  collections::{BTreeMap, BTreeSet, VecDeque},
  net::SocketAddr,
  sync::Arc,
};

/// An instance not heard of for this long does not count, ms.
const MEMBER_MS: u64 = 3_000;
/// Demand reported longer ago does not count, ms.
pub(crate) const DEMAND_MS: u64 = 600;
/// A server reports its holdings with this lag, ms.
pub(crate) const LAG_MS: u64 = 200;
/// Pause between two questions whether a load is done, ms.
pub(crate) const ASK_MS: u64 = 100;
/// Loads, and that there is a holder, are published this often, ms.
const PUBLISH_MS: u64 = 500;
/// A report that arrives within this time after a change was published, or after what its
/// instance lacked was sent, may have crossed it, ms: datagrams take some, and an instance
/// handles them a few later.
const CROSSING_MS: u64 = 100;
/// Holdings sent in one step to instances that lack changes: 300 instances sent all of
/// 3,000 servers at once took their holder 515 MB.
const RESYNC_HOLDINGS: usize = 8_000;
/// What needs no request to wait is looked after this often, ms.
const SWEEP_MS: u64 = 40;
/// Changes are published together when they come this close, ms.
const PUBLISH_LEAST_MS: u64 = 10;
/// What a request running on a server adds to the cost of a load there, ms: its
/// adapters cannot be changed meanwhile.
pub(crate) const LOAD_COST: u64 = 15;
/// Time for instances to report to a new holder, ms.
const SETTLE_MS: u64 = 150;
/// Use of each replica, in requests at once, from which a model gets a further one
/// where there is room.
pub(crate) const HEAVY_USE: f64 = 1.5;

/// What an instance reports to the planner.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
  pub instance: String,
  /// Its machine's short name.
  pub machine: u32,
  pub demand: Vec<Demand>,
  /// Requests sent and not ended, by server and model.
  pub running: Vec<(String, Model, u32)>,
  /// Models that servers were found not to hold, against what was published.
  pub missing: Vec<(String, String)>,
  /// How slow servers were for each model since the last report.
  pub strain: Vec<Seen>,
  /// For each group, the count up to which it knows the changes of holdings.
  pub known: Vec<u64>,
  /// It noticed that it lacks changes.
  pub behind: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Member {
  address: SocketAddr,
  heard: u64,
  /// It lacks changes, as its last report shows, and was not sent them since.
  behind: bool,
  /// When it was last sent what it lacked, ms.
  resynced: u64,
  report: Report,
}

impl Member {
  pub(crate) fn knows(&self, group: u32) -> u64 {
    let known = self.report.known.get(group as usize);
    known.copied().unwrap_or_default()
  }
}

/// An update of holdings for other instances.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holdings {
  /// None: all instances.
  pub to: Option<SocketAddr>,
  /// Holdings that changed between these counts; from 0: all holdings.
  pub since: u64,
  pub latest: u64,
  /// Each with the count of its change, in that order.
  pub holdings: Vec<(u64, Holding)>,
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
  Publish(Holdings),
  /// A decision, for the log: what, about which server and model, and why.
  Note {
    what: &'static str,
    server: String,
    model: String,
    why: String,
  },
}

/// A server of another group, as far as it is published.
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
  pub(crate) group: u32,
  pub(crate) others: Vec<Other>,
  /// Who holds what, by pool and model.
  pub(crate) held: BTreeMap<String, BTreeMap<String, Vec<String>>>,
  /// Pools and models that callers wait for, or will come back for.
  pub(crate) wanted: BTreeSet<(String, String)>,
  /// What has kept models that are waited for from being loaded, by pool and model.
  pub(crate) delays: BTreeMap<(String, String), Delay>,
  /// When what needs no request to wait was last looked after, ms.
  swept: u64,
  /// Nothing is moved before this time: instances have not reported yet, ms.
  pub(crate) settled_at: u64,
  pub(crate) machine: String,
  pub(crate) term: u64,
  /// Orders may go out.
  pub(crate) ordering: bool,
  pub(crate) deployment: Arc<Deployment>,
  pub(crate) servers: BTreeMap<String, Server>,
  /// Servers whose entries may come back.
  pub(crate) gone: BTreeMap<String, Gone>,
  pub(crate) members: BTreeMap<String, Member>,
  /// How much each pool's models are used: requests at once, fading.
  pub(crate) used: BTreeMap<(String, String), f64>,
  pub(crate) faded: u64,
  /// How slow servers are for each pool's models.
  pub(crate) strain: BTreeMap<(String, String), Strain>,
  /// Loads from the weight store, ms.
  pub(crate) remote: VecDeque<u64>,
  /// Time that an unload without runs takes, as learnt from orders, ms.
  pub(crate) unload_ms: f64,
  pub(crate) load_window_ms: u64,
  pub(crate) load_overage: f64,
  pub(crate) loads_at_once: usize,
  /// Policies by name, as operators wrote them.
  policies: BTreeMap<String, Policy>,
  pub(crate) published_at: u64,
  /// Time from one telling of changes to the next, ms.
  pause: u64,
  pub(crate) unpublished: bool,
  /// Counts changes of holdings in this term.
  pub(crate) changes: u64,
  /// When changes were lately published, ms, and up to which count.
  published: VecDeque<(u64, u64)>,
  pub(crate) now: u64,
  pub(crate) out: Vec<Effect>,
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
      held: BTreeMap::new(),
      wanted: BTreeSet::new(),
      delays: BTreeMap::new(),
      swept: 0,
      settled_at: 0,
      machine: machine.into(),
      term: 0,
      ordering: true,
      deployment: Arc::default(),
      servers: BTreeMap::new(),
      gone: BTreeMap::new(),
      members: BTreeMap::new(),
      used: BTreeMap::new(),
      faded: 0,
      strain: BTreeMap::new(),
      remote: VecDeque::new(),
      unload_ms: UNLOAD_MS,
      load_window_ms,
      load_overage,
      loads_at_once,
      policies: BTreeMap::new(),
      published_at: 0,
      pause: PUBLISH_LEAST_MS,
      unpublished: false,
      changes: 0,
      published: VecDeque::new(),
      now: 0,
      out: Vec::new(),
    }
  }

  /// The lease was taken: nothing that was known of the servers counts.
  pub fn begin(&mut self, now: u64, term: u64) {
    self.now = now;
    self.settled_at = now + SETTLE_MS;
    self.term = term;
    self.changes = 0;
    self.published.clear();
    for server in self.servers.values_mut() {
      server.synced = false;
      server.heard = false;
      server.asking = false;
      server.silent = 0;
      server.job = None;
      server.adapters.clear();
      server.leaving.clear();
      server.published = None;
      server.changed = 0;
    }
  }

  /// Takes up the deployment and the servers of the group.
  pub fn servers(&mut self, deployment: Arc<Deployment>, specs: Vec<Spec>) {
    self.deployment = deployment;
    let known = |id: &String| specs.iter().any(|spec| spec.id == *id);
    let gone = self.servers.extract_if(.., |id, _| !known(id));
    let gone: Vec<(String, Server)> = gone.collect();
    self.leave_out(gone);
    for spec in specs {
      self.gone.remove(&spec.id);
      match self.servers.get_mut(&spec.id) {
        Some(server) => server.spec = spec,
        None => {
          self.servers.insert(spec.id.clone(), Server::open(spec));
        }
      }
    }
  }

  /// Takes up the operators' policies.
  pub fn policies(&mut self, policies: BTreeMap<String, Policy>) {
    self.policies = policies;
  }

  /// The policy of a model: of those that select it by its labels `model` and
  /// `pool` the one of highest precedence, then of the smallest name.
  pub(crate) fn policy(&self, pool: &str, model: &str) -> Policy {
    if self.policies.is_empty() {
      return Policy::default_routed();
    }
    let labels: Labels = [("model", model), ("pool", pool)]
      .map(|(key, value)| (key.to_string(), value.to_string()))
      .into_iter()
      .collect();
    let chosen = self
      .policies
      .iter()
      .filter(|(_, policy)| policy.models.matches(&labels))
      .max_by_key(|(name, policy)| (policy.precedence, std::cmp::Reverse(*name)));
    chosen.map_or_else(Policy::default_routed, |(_, policy)| policy.clone())
  }

  /// Changes are published no closer than this, ms: what it costs decides.
  pub fn pace(&mut self, pause: u64) {
    self.pause = pause.clamp(PUBLISH_LEAST_MS, PUBLISH_MS);
  }

  /// Publishes at the next step, changed or not.
  pub fn publish_soon(&mut self) {
    self.unpublished = true;
  }

  /// Takes up what servers of other groups hold.
  pub fn others(&mut self, others: Vec<Other>) {
    self.others = others;
  }

  /// Takes up an instance's report.
  pub fn report(&mut self, now: u64, address: SocketAddr, report: Report) {
    for (id, model) in &report.missing {
      if let Some(server) = self.servers.get_mut(id) {
        server.missed(now, model);
      }
    }
    for seen in &report.strain {
      let key = (seen.pool.clone(), seen.model.clone());
      let (requests, slowness) = (f64::from(seen.requests), f64::from(seen.slowness));
      let strain = self.strain.entry(key).or_default();
      strain.add(now, requests, slowness);
    }
    let instance = report.instance.clone();
    let known = self.members.get(&instance);
    let mut member = Member {
      address,
      heard: now,
      behind: false,
      resynced: known.map_or(0, |member| member.resynced),
      report,
    };
    let lacks = member.report.behind || member.knows(self.group) < self.arrived(now);
    member.behind = lacks && now >= member.resynced + CROSSING_MS;
    let new = self.members.insert(instance, member).is_none();
    self.unpublished |= new;
    self.count();
  }

  /// Up to which count changes have reached every instance that got what was published.
  fn arrived(&mut self, now: u64) -> u64 {
    let due = |(at, _): &(u64, u64)| at + CROSSING_MS <= now;
    while self.published.get(1).is_some_and(due) {
      self.published.pop_front();
    }
    let oldest = self.published.front().filter(|entry| due(entry));
    oldest.map_or(0, |(_, count)| *count)
  }

  pub(crate) fn count(&mut self) {
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

  /// Short names of the machines whose instances report.
  pub fn machines(&self, now: u64) -> BTreeSet<u32> {
    let members = self.members.values();
    let live = members.filter(|member| now <= member.heard + MEMBER_MS);
    live.map(|member| member.report.machine).collect()
  }

  /// Whether orders may go out: otherwise what is under way is followed to its end.
  pub fn order(&mut self, may: bool) {
    self.ordering = may;
  }

  /// Goes on with everything that is due.
  pub fn step(&mut self, now: u64) -> Vec<Effect> {
    self.now = now;
    self.count();
    self.index();
    self.forget_gone();
    let ids: Vec<String> = self.servers.keys().cloned().collect();
    for id in &ids {
      self.sync(id);
      self.work(id);
    }
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
    for id in &ids {
      self.work(id);
    }
    self.publish();
    std::mem::take(&mut self.out)
  }

  /// When to step again, ms.
  pub fn due(&self, now: u64) -> u64 {
    let servers = self.servers.values();
    let jobs = servers.filter_map(|server| server.job.as_ref());
    let goes_on = |job: &&Job| !job.waiting && (self.ordering || job.step == Step::Await);
    let open = jobs.filter(goes_on).map(|job| job.due).min();
    let wait = self.published_at + PUBLISH_MS;
    let publish = match self.unpublished {
      true => self.published_at + self.pause,
      false => wait,
    };
    open.unwrap_or(wait).min(publish).max(now + 1)
  }

  pub(crate) fn note(&mut self, what: &'static str, server: &str, model: &str, why: String) {
    self.out.push(Effect::Note {
      what,
      server: server.into(),
      model: model.into(),
      why,
    });
  }

  pub(crate) fn publish(&mut self) {
    let since = self.now.saturating_sub(self.published_at);
    let due = since >= PUBLISH_MS || self.unpublished && since >= self.pause;
    if !due {
      return;
    }
    let due_loads = since >= PUBLISH_MS;
    self.published_at = self.now;
    self.unpublished = false;
    let since = self.changes;
    for server in self.servers.values_mut().filter(|server| server.synced) {
      let holding = server.holding();
      if server.published.as_ref() != Some(&holding) {
        self.changes += 1;
        server.changed = self.changes;
        server.published = Some(holding);
      }
    }
    let loads = match due_loads {
      true => self.loads(),
      false => Vec::new(),
    };
    if self.changes > since {
      self.published.push_back((self.now, self.changes));
    }
    self.publish_since(None, since, loads);
    self.resync();
  }

  /// Sends instances the changes that they lack, once for each report that shows it,
  /// those first that were sent such longest ago. While reports that had crossed a change
  /// counted as well, and all holdings were sent each time, 77 instances before 90 servers
  /// were sent 460 MB in 35 s, beside 16 MB of changes; their links lost the rest.
  fn resync(&mut self) {
    let members = self.members.iter().filter(|(_, member)| member.behind);
    let mut behind: Vec<(u64, &String)> = members
      .map(|(instance, member)| (member.resynced, instance))
      .collect();
    behind.sort();
    let behind: Vec<String> = behind.into_iter().map(|(_, id)| id.clone()).collect();
    let mut left = RESYNC_HOLDINGS;
    for instance in behind {
      let (now, group, changes) = (self.now, self.group, self.changes);
      let Some(member) = self.members.get_mut(&instance) else {
        continue;
      };
      // A count beyond the newest one is of an earlier term.
      let known = Some(member.knows(group)).filter(|known| *known <= changes);
      let (address, since) = (member.address, known.unwrap_or_default());
      let lacking = self
        .servers
        .values()
        .filter(|server| server.changed > since);
      let lacking = lacking.count();
      if lacking > left && left < RESYNC_HOLDINGS {
        break;
      }
      left = left.saturating_sub(lacking);
      member.behind = false;
      member.resynced = now;
      self.publish_since(Some(address), since, Vec::new());
    }
  }

  pub(crate) fn publish_since(
    &mut self,
    to: Option<SocketAddr>,
    since: u64,
    loads: Vec<(u32, u16)>,
  ) {
    let changed = self.servers.values();
    let changed = changed.filter(|server| server.changed > since);
    let mut holdings: Vec<(u64, Holding)> = changed
      .filter_map(|server| Some((server.changed, server.published.clone()?)))
      .collect();
    holdings.sort_by_key(|(count, _)| *count);
    let holdings = Holdings {
      to,
      since,
      latest: self.changes,
      holdings,
      loads,
    };
    self.out.push(Effect::Publish(holdings));
  }

  pub(crate) fn loads(&self) -> Vec<(u32, u16)> {
    let loads = self.servers.iter().map(|(id, server)| (id, server.load()));
    let some = loads.filter(|(_, load)| *load > 0);
    some
      .map(|(id, load)| (short(id), load.min(u32::from(u16::MAX)) as u16))
      .collect()
  }

  pub(crate) fn demand(&self) -> Vec<Demand> {
    let mut all: BTreeMap<(String, Model), Demand> = BTreeMap::new();
    for member in self.members.values() {
      let age = self.now.saturating_sub(member.heard);
      if age > DEMAND_MS {
        continue;
      }
      for demand in &member.report.demand {
        let key = (demand.pool.clone(), demand.model.clone());
        let sum = all.entry(key).or_insert_with(|| Demand {
          priority: demand.priority,
          ..Demand::ahead(&demand.pool, demand.model.clone())
        });
        let waits = demand.waits.iter();
        waits.for_each(|wait| sum.add(wait.aged(age)));
        sum.priority = sum.priority.min(demand.priority);
        sum.age_ms = sum.age_ms.max(demand.age_ms + age);
      }
    }
    let mut all: Vec<Demand> = all.into_values().collect();
    all.sort_by_key(|demand| (demand.priority, std::cmp::Reverse(demand.age_ms)));
    all
  }

  pub(crate) fn serve_demand(&mut self) {
    let demand = self.demand();
    let wanted = demand.iter();
    self.wanted = wanted
      .map(|demand| (demand.pool.clone(), demand.model.name.clone()))
      .collect();
    for demand in self.without_holder(&demand) {
      let Some(engine) = self.engine(&demand.pool) else {
        continue;
      };
      if !self.keep(&demand.pool, &demand.model.name) && self.may_serve(&demand) {
        self.load(&engine, &demand, Cause::Waiting);
      }
    }
    for demand in demand {
      let Some(engine) = self.engine(&demand.pool) else {
        continue;
      };
      let holders = self.holders(&demand.pool, &demand.model.name).to_vec();
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

  /// Demand for models that no server holds, adapters taken together: what gains most
  /// from being loaded now goes first.
  pub(crate) fn without_holder(&self, demand: &[Demand]) -> Vec<Demand> {
    let mut models: BTreeMap<(&str, &str), Demand> = BTreeMap::new();
    for demand in demand {
      let (pool, name) = (demand.pool.as_str(), demand.model.name.as_str());
      if !self.holders(pool, name).is_empty() || self.elsewhere(pool, &base(name)) {
        continue;
      }
      let sum = models.entry((pool, name)).or_insert_with(|| Demand {
        priority: demand.priority,
        ..Demand::ahead(pool, base(name))
      });
      let waits = demand.waits.iter();
      waits.for_each(|wait| sum.add(*wait));
      sum.age_ms = sum.age_ms.max(demand.age_ms);
    }
    let mut models: Vec<(f64, Demand)> = models
      .into_values()
      .map(|demand| (self.gain_rate(&demand), demand))
      .collect();
    models.sort_by(|(one, first), (two, second)| {
      let later = second.age_ms.cmp(&first.age_ms);
      two.total_cmp(one).then(later)
    });
    models.into_iter().map(|(_, demand)| demand).collect()
  }

  /// What requests gain from a load of their model for each second that it takes.
  fn gain_rate(&self, demand: &Demand) -> f64 {
    let Some(engine) = self.engine(&demand.pool) else {
      return 0.0;
    };
    let Some(path_ms) = self.path_ms(&engine, &demand.pool, &demand.model.name) else {
      return 0.0;
    };
    gain(&demand.waits, path_ms) * 1_000.0 / path_ms as f64
  }
}
