//! Decisions of a model's owner: when to load and when to retire replicas.

use crate::{
  fact::MachineState,
  group,
  job::Step,
  journal::Entry,
  policy::KeepAlive,
  replica::{Id, Replica, Target},
  report::Tier,
  state::State,
};

/// Delay after a load decision, so that one without effect is not repeated immediately.
const LOAD_DECISION_DELAY_MS: u64 = 300;
/// Idle time that a cold start is worth, as a multiple of the load time, when `thrift`
/// weighs both equally.
const COLD_START_LOAD_MULTIPLE: u64 = 2;
/// Accumulated idle time that is written to the timeline in one entry.
const IDLE_ENTRY_MS: u64 = 1_000;
/// Points of `thrift` that halve the idle time that a cold start is worth.
const THRIFT_POINTS_PER_HALVING: u32 = 10;

impl State {
  /// Decides whether a group needs another replica, and starts its load.
  pub fn decide(&mut self, key: group::Key) {
    let model = self.groups[key].model.clone();
    let record_read = self
      .owned
      .get(&model)
      .is_some_and(|owned| owned.record_read);
    if self.stopping || self.groups[key].hold_until > self.now {
      return;
    }
    if !record_read {
      if self.groups[key].waiting(self.now) > 0 {
        self.read_record_now(&model);
      }
      return;
    }
    if !self.catalog.models.contains_key(&model) {
      return;
    }
    let (loaded, pending) = self.count_replicas(key);
    let policy = self.policy(&self.groups[key].policy.clone());
    let waiting = self.groups[key].waiting(self.now);
    let wanted = match loaded + pending {
      0 if waiting > 0 => 1,
      count if pending == 0 && waiting > loaded * policy.further_at => count + 1,
      count => count,
    };
    let wanted = wanted.max(policy.min_replicas).min(policy.max_replicas);
    if loaded + pending < wanted {
      self.start_load(key, policy.max_replicas);
    }
  }

  /// Number of ready replicas of a group, and of those being decided, loaded or unloaded.
  fn count_replicas(&self, key: group::Key) -> (u32, u32) {
    let group = &self.groups[key];
    let of_group: Vec<&Replica> = self
      .placement(&group.model)
      .iter()
      .filter(|replica| replica.policy == group.policy)
      .collect();
    let ready = of_group
      .iter()
      .filter(|replica| self.is_ready(replica))
      .count();
    let deciding = self
      .jobs
      .values()
      .filter(|job| job.step == Step::Decide)
      .filter(|job| job.model == group.model && job.replica.policy == group.policy);
    let pending = of_group.len() - ready + deciding.count();
    (ready as u32, pending as u32)
  }

  fn is_ready(&self, replica: &Replica) -> bool {
    let server = self.server_keys.get(&replica.server);
    replica.target == Target::Loaded
      && server.is_some_and(|key| self.servers[*key].ready(replica.id))
  }

  fn start_load(&mut self, key: group::Key, limit: u32) {
    let (model, policy) = {
      let group = &self.groups[key];
      (group.model.clone(), group.policy.clone())
    };
    self.groups[key].hold_until = self.now + LOAD_DECISION_DELAY_MS;
    let Some(server) = self.choose_server(key) else {
      self.request_base(key);
      return;
    };
    let id = Id(self.random(u64::MAX));
    let replica = Replica {
      id,
      server: server.clone(),
      target: Target::Loaded,
      policy: policy.clone(),
    };
    self.log(Entry::Decided {
      model: model.clone(),
      replica: id.to_string(),
      server,
      policy,
    });
    self.start_job(&model, replica, Step::Decide, limit);
  }

  /// Reports demand for the base of an adapter that no server can hold.
  fn request_base(&mut self, key: group::Key) {
    let model = self.groups[key].model.clone();
    let spec = self.catalog.models.get(&model);
    let Some(base) = spec.and_then(|spec| spec.base.clone()) else {
      return;
    };
    let Some(spec) = self.catalog.models.get(&base) else {
      return;
    };
    let policy = self.effective_policy(spec, 0);
    let waiting = self.groups[key].waiting(self.now).max(1);
    let from = format!("{}:{model}", self.me.instance);
    self.report_demand_for(&from, &base, &policy, waiting);
  }

  fn report_demand_for(&mut self, from: &str, model: &str, policy: &str, waiting: u32) {
    let owner = self.members.owner(model).map(str::to_string);
    match owner {
      Some(owner) if owner != self.me.instance => {
        let notice = crate::notice::Notice::Demand {
          model: model.into(),
          policy: policy.into(),
          waiting,
          running: 0,
          arrived: waiting,
        };
        self.notify(&owner, notice);
      }
      _ => {
        let demand = group::Demand {
          waiting,
          running: 0,
          at: self.now,
        };
        let key = self.group(model, policy);
        self.groups[key].record_demand(from, demand, waiting);
        self.mark_active(key);
        self.decide(key);
      }
    }
  }

  /// Retires replicas whose keep-alive has expired and those on servers that are leaving.
  pub fn retire_unneeded(&mut self, key: group::Key) {
    let model = self.groups[key].model.clone();
    if !self
      .owned
      .get(&model)
      .is_some_and(|owned| owned.record_read)
    {
      return;
    }
    let replicas = self.placement(&model).to_vec();
    let policy_name = self.groups[key].policy.clone();
    let policy = self.policy(&policy_name);
    let mut kept = count_decided(&replicas, &policy_name);
    for replica in replicas {
      let expired =
        replica.policy == policy_name && self.keep_alive_expired(key, &policy.keep_alive);
      let above_minimum = kept > policy.min_replicas;
      let leaving = !self.is_usable(&replica.server);
      let why = match () {
        () if replica.target == Target::Gone => "withdrawn",
        () if leaving => "server leaving",
        () if expired && above_minimum && !self.has_decided_adapters(&replica.server, &model) => {
          "idle"
        }
        () => continue,
      };
      kept = kept.saturating_sub(1);
      self.retire(&model, replica, why);
    }
  }

  /// Accumulates the idle time of ready replicas of an owned group.
  pub fn count_idle(&mut self, key: group::Key) {
    if !self.owned.contains_key(&self.groups[key].model) {
      return;
    }
    let ready = u64::from(self.count_replicas(key).0);
    let now = self.now;
    let group = &mut self.groups[key];
    let since = std::mem::replace(&mut group.idle_counted_until, now);
    let idle = !group.in_use(now) && since > 0;
    let added_ms = if idle { (now - since) * ready } else { 0 };
    group.idle_ms += added_ms;
    let write_entry = group.idle_ms >= IDLE_ENTRY_MS || (added_ms == 0 && group.idle_ms > 0);
    if write_entry {
      let ms = std::mem::take(&mut group.idle_ms);
      let (model, policy) = (group.model.clone(), group.policy.clone());
      self.log(Entry::Idle { model, policy, ms });
    }
  }

  fn has_decided_adapters(&self, server: &str, base: &str) -> bool {
    let Some(key) = self.server_keys.get(server) else {
      return false;
    };
    let decided = self.servers[*key].decided.values();
    decided
      .filter_map(|model| self.catalog.models.get(model))
      .any(|spec| spec.base.as_deref() == Some(base))
  }

  fn keep_alive_expired(&self, key: group::Key, keep_alive: &KeepAlive) -> bool {
    let group = &self.groups[key];
    if group.in_use(self.now) || group.last_use == 0 {
      return false;
    }
    let keep_ms = match keep_alive {
      KeepAlive::Fixed(ms) => *ms,
      KeepAlive::Adaptive(max_ms) => group
        .history
        .keep_alive(self.cold_start_penalty_ms(key), *max_ms),
    };
    self.now >= group.last_use + keep_ms
  }

  /// Idle time in ms that a cold start of the group's model is worth.
  fn cold_start_penalty_ms(&self, key: group::Key) -> u64 {
    let model = &self.groups[key].model;
    let tier = self
      .placement(model)
      .iter()
      .filter_map(|replica| self.server_keys.get(&replica.server))
      .map(|server| self.servers[*server].tier(model))
      .min()
      .unwrap_or(Tier::Remote);
    let balanced_ms = self.load_estimate(model, tier).max(1) * COLD_START_LOAD_MULTIPLE;
    let thrift = self.limits.thrift;
    let halvings = thrift.abs_diff(50) / THRIFT_POINTS_PER_HALVING;
    if thrift > 50 {
      balanced_ms >> halvings
    } else {
      balanced_ms << halvings
    }
  }

  /// Starts to unload a replica unless it already has a job. A load in progress is abandoned
  /// if its server is leaving.
  pub fn retire(&mut self, model: &str, replica: Replica, why: &str) {
    if let Some(job) = self.jobs.get_mut(&replica.id) {
      if job.is_loading() && job.step != Step::Deregister && why == "server leaving" {
        job.load_deadline = self.now;
      }
      return;
    }
    self.log(Entry::Retiring {
      model: model.into(),
      replica: replica.id.to_string(),
      server: replica.server.clone(),
      why: why.into(),
    });
    self.start_job(model, replica, Step::Retire, 0);
  }

  /// Retires an idle replica whose memory another model needs.
  pub fn on_yield(&mut self, model: &str, id: Id) {
    let replicas = self.placement(model);
    let Some(replica) = replicas.iter().find(|replica| replica.id == id).cloned() else {
      return;
    };
    let key = self.group(model, &replica.policy);
    let policy = self.policy(&replica.policy);
    let kept = count_decided(self.placement(model), &replica.policy);
    let busy = self.groups[key].in_use(self.now);
    if busy || kept <= policy.min_replicas || self.has_decided_adapters(&replica.server, model) {
      return;
    }
    self.retire(model, replica, "yields");
  }

  /// Checks the replicas of a model again after the state of a server changed.
  pub fn recheck_model(&mut self, model: &str) {
    let groups: Vec<group::Key> = self
      .active
      .iter()
      .copied()
      .filter(|key| self.groups[*key].model == model)
      .collect();
    for key in groups {
      self.retire_unneeded(key);
    }
  }

  /// Whether a server's memory is known to be free because the machine is gone.
  pub fn server_gone(&self, server: &str) -> bool {
    self.listed(server) == MachineState::Gone
  }
}

fn count_decided(replicas: &[Replica], policy: &str) -> u32 {
  let of_policy = replicas
    .iter()
    .filter(|replica| replica.policy == policy && replica.target == Target::Loaded);
  of_policy.count() as u32
}
