//! Decisions of the owner of a model: when to load, when to let go.

use crate::{
  fact::Listed,
  group,
  job::Step,
  journal::Entry,
  policy::KeepAlive,
  replica::{Id, Replica, Target},
  report::Tier,
  state::State,
};

/// Pause after a decision that came to nothing, ms.
const HOLD_MS: u64 = 300;
/// Idle time, in multiples of the load time, that a cold start is worth when both
/// measures weigh the same.
const WORTH: u64 = 2;
/// Idle time recorded at once, ms.
const IDLE_NOTE_MS: u64 = 1_000;
/// Points of thrift that halve that worth.
const HALVING: u32 = 10;

impl State {
  /// Decides whether a group needs a further replica.
  pub fn decide(&mut self, key: group::Key) {
    let model = self.groups[key].model.clone();
    let known = self
      .owned
      .get(&model)
      .is_some_and(|owned| owned.record_read);
    if self.stopping || self.groups[key].hold_until > self.now {
      return;
    }
    if !known {
      if self.groups[key].waiting(self.now) > 0 {
        self.audit_now(&model);
      }
      return;
    }
    if !self.catalog.models.contains_key(&model) {
      return;
    }
    let (loaded, pending) = self.count(key);
    let policy = self.policy(&self.groups[key].policy.clone());
    let waiting = self.groups[key].waiting(self.now);
    let wanted = match loaded + pending {
      0 if waiting > 0 => 1,
      some if pending == 0 && waiting > loaded * policy.further_at => some + 1,
      some => some,
    };
    let wanted = wanted.max(policy.min_replicas).min(policy.max_replicas);
    if loaded + pending < wanted {
      self.load(key, policy.max_replicas);
    }
  }

  /// Replicas of a group that are ready, and those on their way or leaving.
  fn count(&self, key: group::Key) -> (u32, u32) {
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

  fn load(&mut self, key: group::Key, limit: u32) {
    let (model, policy) = {
      let group = &self.groups[key];
      (group.model.clone(), group.policy.clone())
    };
    self.groups[key].hold_until = self.now + HOLD_MS;
    let Some(server) = self.choose_server(key) else {
      self.ask_for_base(key);
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

  /// An adapter that finds no server with its base asks for the base.
  fn ask_for_base(&mut self, key: group::Key) {
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
    self.tell_for(&from, &base, &policy, waiting);
  }

  fn tell_for(&mut self, from: &str, model: &str, policy: &str, waiting: u32) {
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

  /// Lets go of replicas that are idle for long, and of those on servers that
  /// leave.
  pub fn let_go(&mut self, key: group::Key) {
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
    let mut kept = standing(&replicas, &policy_name);
    for replica in replicas {
      let idle = replica.policy == policy_name && self.idle_out(key, &policy.keep_alive);
      let spare = kept > policy.min_replicas;
      let leaving = !self.is_usable(&replica.server);
      let why = match () {
        () if replica.target == Target::Gone => "withdrawn",
        () if leaving => "server leaving",
        () if idle && spare && !self.carries_here(&replica.server, &model) => "idle",
        () => continue,
      };
      kept = kept.saturating_sub(1);
      self.retire(&model, replica, why);
    }
  }

  /// Adds up the time for which ready replicas of an owned group stand idle.
  pub fn count_idle(&mut self, key: group::Key) {
    if !self.owned.contains_key(&self.groups[key].model) {
      return;
    }
    let ready = u64::from(self.count(key).0);
    let now = self.now;
    let group = &mut self.groups[key];
    let since = std::mem::replace(&mut group.idle_at, now);
    let idle = !group.in_use(now) && since > 0;
    let added = if idle { (now - since) * ready } else { 0 };
    group.idle_ms += added;
    let due = group.idle_ms >= IDLE_NOTE_MS || (added == 0 && group.idle_ms > 0);
    if due {
      let ms = std::mem::take(&mut group.idle_ms);
      let (model, policy) = (group.model.clone(), group.policy.clone());
      self.log(Entry::Idle { model, policy, ms });
    }
  }

  fn carries_here(&self, server: &str, base: &str) -> bool {
    let Some(key) = self.server_keys.get(server) else {
      return false;
    };
    let decided = self.servers[*key].decided.values();
    decided
      .filter_map(|model| self.catalog.models.get(model))
      .any(|spec| spec.base.as_deref() == Some(base))
  }

  fn idle_out(&self, key: group::Key, keep: &KeepAlive) -> bool {
    let group = &self.groups[key];
    if group.in_use(self.now) || group.last_use == 0 {
      return false;
    }
    let keep_ms = match keep {
      KeepAlive::Fixed(ms) => *ms,
      KeepAlive::Adaptive(most) => group.history.keep_alive(self.penalty(key), *most),
    };
    self.now >= group.last_use + keep_ms
  }

  /// Idle time that a cold start of the group's model is worth, ms.
  fn penalty(&self, key: group::Key) -> u64 {
    let model = &self.groups[key].model;
    let tier = self
      .placement(model)
      .iter()
      .filter_map(|replica| self.server_keys.get(&replica.server))
      .map(|server| self.servers[*server].tier(model))
      .min()
      .unwrap_or(Tier::Remote);
    let base = self.load_estimate(model, tier).max(1) * WORTH;
    let thrift = self.limits.thrift;
    let halvings = thrift.abs_diff(50) / HALVING;
    if thrift > 50 {
      base >> halvings
    } else {
      base << halvings
    }
  }

  /// Starts letting a replica go, unless a job is at work on it already.
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

  /// Another model has use for the memory of an idle replica.
  pub fn on_yield(&mut self, model: &str, id: Id) {
    let replicas = self.placement(model);
    let Some(replica) = replicas.iter().find(|replica| replica.id == id).cloned() else {
      return;
    };
    let key = self.group(model, &replica.policy);
    let policy = self.policy(&replica.policy);
    let standing = standing(self.placement(model), &replica.policy);
    let busy = self.groups[key].in_use(self.now);
    if busy || standing <= policy.min_replicas || self.carries_here(&replica.server, model) {
      return;
    }
    self.retire(model, replica, "yields");
  }

  /// Decides again for a model on a server whose state changed.
  pub fn recheck_model(&mut self, model: &str) {
    let groups: Vec<group::Key> = self
      .active
      .iter()
      .copied()
      .filter(|key| self.groups[*key].model == model)
      .collect();
    for key in groups {
      self.let_go(key);
    }
  }

  /// Whether a server's memory is known to be free because the machine is gone.
  pub fn server_gone(&self, server: &str) -> bool {
    self.listed(server) == Listed::Gone
  }
}

fn standing(replicas: &[Replica], policy: &str) -> u32 {
  let of_policy = replicas
    .iter()
    .filter(|replica| replica.policy == policy && replica.target == Target::Loaded);
  of_policy.count() as u32
}
