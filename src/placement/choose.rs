//! Chooses the server that loads a model, and the models that are evicted for it.

use crate::{
  backend::missing_name,
  placement::{
    models,
    need::Need,
    plan::{Plan, REQUEST_COST_MS},
    publish::PUBLISH_INTERVAL_MS,
    server::{self, Job, LEAVE_NOTICE_MS, Server, Step},
    urgency::gain,
  },
  policy::Evict,
  report::Tier,
};
use std::collections::BTreeSet;

/// A model used within this time is not evicted, ms.
const RECENT_USE_MS: u64 = 400;
/// Divisor of the eviction cost of a replica whose requests other replicas can take over.
const SPARE_REPLICA_DIVISOR: u64 = 8;
/// A model whose requests have waited for longer than this may be loaded from the weight store
/// although a server has a copy, ms: that server seems to be unusable.
const REMOTE_FALLBACK_MS: u64 = 8_000;
/// Models per step for which all servers are searched because none has a copy: the weight store
/// serves only a few loads at once.
pub(crate) const MAX_REMOTE_SEARCHES: usize = 4;
/// Time that each group has to load a needed model before the next group may, ms: an order is
/// published within about 10 ms.
const GROUP_TURN_MS: u64 = 300;

/// Added to the cost of a load on a limited server, ms: more than any other cost, because the
/// server could not serve the requests that the load is for.
const LIMITED_COST_MS: u64 = 60_000;

/// Servers on which a policy allows a load of a model.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Loads {
  Anywhere,
  /// Only where an earlier order got no answer: such a server counts as a replica already, and at most
  /// one of the two orders is carried out.
  Again,
  Nowhere,
}

/// A server that can load a model, and the models evicted for it.
struct Choice {
  cost: u64,
  server: server::Key,
  victims: Vec<models::Key>,
}

impl Plan {
  /// Returns the rank of this group among the groups that may load a model: those with a copy of
  /// its checkpoint, or all groups if there is none.
  fn group_rank(&self, key: models::Key) -> u64 {
    let entry = &self.models[key];
    let base = &self.models[entry.base];
    let groups_with_model = match key == entry.base {
      true => &base.copy_groups,
      false => &base.holder_groups,
    };
    let mut groups: BTreeSet<u32> = groups_with_model.iter().copied().collect();
    let available_here = match key == entry.base {
      true => self.has_copy_in_group(key),
      false => !base.holders.is_empty(),
    };
    if available_here || groups.is_empty() {
      groups.insert(self.group);
    }
    if groups.len() == 1 && groups.contains(&self.group) && !available_here {
      // No group has a copy: all groups may load the model, one after the other.
      groups.extend(&self.groups);
    }
    let name = missing_name(&entry.model.name, entry.model.adapter.as_deref());
    let hash = |group: &u32| xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), (*group).into());
    let own_hash = hash(&self.group);
    let preceding = groups.iter().filter(|group| hash(group) > own_hash).count();
    match groups.contains(&self.group) {
      true => preceding as u64,
      false => groups.len() as u64,
    }
  }

  /// Whether this group may load a model, given how long its requests have waited.
  pub(crate) fn is_own_turn(&self, need: &Need) -> bool {
    self.groups.is_empty() || need.age_ms >= self.group_rank(need.model) * GROUP_TURN_MS
  }

  /// Ready servers that hold a model and are not about to unload it.
  pub(crate) fn holders(&self, model: models::Key) -> &[server::Key] {
    &self.models[model].holders
  }

  /// Number of holders that are not limited. It is called for each candidate for eviction, and
  /// usually no server is limited.
  pub(crate) fn holders_with_capacity(&self, model: models::Key) -> usize {
    if !self.any_limited && self.now >= self.any_rejecting_until {
      return self.holders(model).len();
    }
    let holders = self.holders(model).iter();
    holders
      .filter(|key| !self.servers[**key].is_limited(self.now))
      .count()
  }

  /// Whether a ready server that does not hold the model has a copy of its checkpoint.
  fn has_copy(&self, model: models::Key) -> bool {
    self.has_copy_in_group(model) || !self.models[model].copy_groups.is_empty()
  }

  fn has_copy_in_group(&self, model: models::Key) -> bool {
    let mut copies = self.models[model].copies.iter();
    copies.any(|(key, _)| !self.servers[*key].models.contains_key(&model))
  }

  /// Keeps a model that was about to be unloaded and is needed again, if its unload is not part of
  /// a job yet.
  pub(crate) fn cancel_eviction(&mut self, model: models::Key) -> bool {
    let pool = self.models[model].pool;
    let found = self.leaving.iter().copied().find(|key| {
      let server = &self.servers[*key];
      let mut jobs = server.job.iter();
      let is_victim = jobs.any(|job| job.victims.contains(&model));
      server.pool == pool && server.leaving.contains(&model) && !is_victim
    });
    let Some(key) = found else {
      return false;
    };
    self.change(key, |server, _| {
      server.leaving.retain(|other| *other != model)
    });
    self.publish_pending = true;
    true
  }

  /// Number of servers that count towards a policy's `max_replicas`: those that hold a model, even
  /// if it or they are about to leave, those that are loading it, those that have not been queried
  /// yet, and unlisted ones that may return. When only holders that keep the model were counted, a
  /// burst of 200 requests loaded a model on four servers where two were allowed.
  fn replica_count(&self, model: models::Key) -> u32 {
    let entry = &self.models[model];
    let servers = self.servers_in_pool(entry.pool);
    let own = servers.filter(|(_, server)| server.may_hold(self.now, model));
    (own.count() + entry.holders_elsewhere + self.unlisted_holders(model)) as u32
  }

  /// Whether a model's policy allows a further replica.
  pub(crate) fn below_max_replicas(&self, model: models::Key) -> bool {
    self.allowed_loads(model) == Loads::Anywhere
  }

  /// The servers on which a model's policy allows a load. Any number of unknown servers may hold it.
  fn allowed_loads(&self, model: models::Key) -> Loads {
    let max = self.max_replicas(model);
    if max == u32::MAX {
      return Loads::Anywhere;
    }
    if self.unknown_servers {
      return Loads::Nowhere;
    }
    let count = self.replica_count(model);
    let mut servers = self.servers_in_pool(self.models[model].pool);
    match () {
      () if count < max => Loads::Anywhere,
      () if count > max => Loads::Nowhere,
      () if servers.any(|(_, server)| server.may_load(self.now, model)) => Loads::Again,
      () => Loads::Nowhere,
    }
  }

  /// Loads a further replica of a model whose replicas are too slow for its requests, if some
  /// server can take it that the model would not fill beyond `max_filling`.
  pub(crate) fn load_further_replica(&mut self, model: models::Key, max_filling: f64) -> bool {
    let need = Need::empty(model);
    if !self.below_max_replicas(model) {
      return false;
    }
    let copy_exists = self.has_copy(model);
    let gain = self.further_replica_gain(model);
    let has_room = |server: &Server, _: Tier| self.filling(server, model) <= max_filling;
    let Some(choice) = self.choose(&need, gain, !copy_exists, has_room) else {
      if self.follows_work() {
        self.reserve_server(model, gain);
      }
      return false;
    };
    self.start_load(choice.server, choice.victims, choice.cost, &need);
    true
  }

  /// Loads a model that requests wait for on the server where it costs least, if some server can
  /// take it.
  pub(crate) fn load_needed(&mut self, need: &Need, remote_searches: &mut usize) {
    let model = need.model;
    let entry = &self.models[model];
    let Some(size) = entry.size else {
      return;
    };
    let Some(engine) = self.models.engine(entry.pool) else {
      return;
    };
    let max_loads = 1 + need.waiting / (engine.slots / 2).max(1);
    let allowed = self.allowed_loads(model);
    if entry.loads >= max_loads as usize || allowed == Loads::Nowhere {
      return;
    }
    let copy_exists = self.has_copy(model);
    let mut remote = !copy_exists || need.age_ms > REMOTE_FALLBACK_MS;
    if remote && *remote_searches == 0 {
      remote = false;
    }
    let now = self.now;
    let worth_loading = |server: &Server, tier: Tier| {
      let allowed = allowed == Loads::Anywhere || server.may_load(now, model);
      let worth = || server.worth_loading(now, &need.waits, size.load_ms(tier));
      allowed && (tier != Tier::Remote || worth())
    };
    match self.choose(need, f64::from(need.waiting.max(1)), remote, worth_loading) {
      Some(choice) => self.start_load(choice.server, choice.victims, choice.cost, need),
      None => {
        *remote_searches -= usize::from(remote);
        self.record_delay(model);
      }
    }
  }

  /// Number of requests that gain from a further replica of a model while the model evicted for it
  /// is loaded again.
  fn further_replica_gain(&self, model: models::Key) -> f64 {
    let load_ms = self.time_to_ready_ms(model).unwrap_or_default();
    self.needed_rate(model) * load_ms as f64 / 1_000.0
  }

  /// Chooses the server on which a load for `requests` requests costs least. With `remote`, servers
  /// without a copy are considered too.
  fn choose(
    &self,
    need: &Need,
    requests: f64,
    remote: bool,
    worth_loading: impl Fn(&Server, Tier) -> bool,
  ) -> Option<Choice> {
    let entry = &self.models[need.model];
    let mut best: Option<Choice> = None;
    for (key, tier) in &entry.copies {
      self.consider(
        (need.model, requests),
        *key,
        *tier,
        &worth_loading,
        &mut best,
      );
    }
    if remote && self.store_allows_load(need.model) {
      for (key, server) in self.servers_in_pool(entry.pool) {
        if !server.copies.contains_key(&need.model) {
          self.consider(
            (need.model, requests),
            key,
            Tier::Remote,
            &worth_loading,
            &mut best,
          );
        }
      }
    }
    best
  }

  fn consider(
    &self,
    (model, requests): (models::Key, f64),
    key: server::Key,
    tier: Tier,
    worth_loading: &impl Fn(&Server, Tier) -> bool,
    best: &mut Option<Choice>,
  ) {
    let server = &self.servers[key];
    let loaded = server.models.contains_key(&model);
    if loaded || !server.can_take_order(self.now) || !self.allows(self.policy(model), server) {
      return;
    }
    if self.is_reserved(server, model, requests) {
      return;
    }
    let Some(size) = self.models[model].size else {
      return;
    };
    let Some((cost, victims)) = self.plan_eviction(server, model, requests) else {
      return;
    };
    if !worth_loading(server, tier) {
      return;
    }
    let load_ms = size.load_ms(tier);
    let delay_ms = load_ms as f64 * server.occupancy;
    let cost =
      cost + load_ms + delay_ms as u64 + REQUEST_COST_MS * u64::from(server.running_total());
    let cost = cost + self.work_cost_ms(server, model);
    let cost = cost + LIMITED_COST_MS * u64::from(server.is_limited(self.now));
    if best.as_ref().is_none_or(|best| cost < best.cost) {
      *best = Some(Choice {
        cost,
        server: key,
        victims,
      });
    }
  }

  /// Time from the decision to load a model until it can be used, from its nearest copy on a ready
  /// server, ms; `None` if the model's size is unknown.
  pub(crate) fn time_to_ready_ms(&self, model: models::Key) -> Option<u64> {
    let entry = &self.models[model];
    let copies = entry.copies.iter().map(|(_, tier)| *tier);
    let tier = copies.min().unwrap_or(Tier::Remote);
    Some(LEAVE_NOTICE_MS + self.unload_ms as u64 + entry.size?.load_ms(tier))
  }

  /// Starts a job that loads a model.
  pub(crate) fn start_load(
    &mut self,
    key: server::Key,
    victims: Vec<models::Key>,
    cost: u64,
    need: &Need,
  ) {
    let (now, model) = (self.now, need.model);
    let Some(size) = self.models[model].size else {
      return;
    };
    let tier = self.servers[key].tier(model);
    if tier == Tier::Remote {
      self.remote.record_start(now);
    }
    // The exact time is set when the change is published.
    let notice_ms = match victims.is_empty() {
      true => 0,
      false => PUBLISH_INTERVAL_MS + LEAVE_NOTICE_MS,
    };
    let evicted = self.change(key, |server, models| {
      server.add_gain(now, gain(&need.waits, size.load_ms(tier)));
      server.leaving.extend(&victims);
      let names = victims
        .iter()
        .map(|victim| models[*victim].model.name.clone());
      let names: Vec<String> = names.collect();
      server.job = Some(Job {
        model,
        victims,
        step: Step::Leave,
        due: now + notice_ms,
        awaiting_reply: false,
        attempts: 0,
        after_unload: false,
        unload_pause_ms: 0,
        remote: tier == Tier::Remote,
        started_at: now,
        until: size.load_ms(tier),
      });
      names
    });
    self.publish_pending = true;
    let delay = std::mem::take(&mut self.models[model].delay);
    let mut why = format!(
      "{} waiting for up to {} ms, from {tier:?}, evicting {:?}, cost {cost}, delayed by [{}]",
      need.waiting,
      need.age_ms,
      evicted.unwrap_or_default(),
      delay.summary()
    );
    if self.follows_work() && need.waiting == 0 {
      why = format!("{why}; {}", self.work_summary(model));
    }
    self.log_decision("load", key, model, why);
  }

  /// Whether another load from the weight store may start now.
  pub(crate) fn store_allows_load(&self, model: models::Key) -> bool {
    let Some(engine) = self.models.engine(self.models[model].pool) else {
      return false;
    };
    self
      .remote
      .allows(self.now, self.remote_jobs, engine.loads_per_s)
  }

  /// Returns the cost of making room on a server for a load that serves `requests` requests, and
  /// the models to evict; `None` if there is no room.
  fn plan_eviction(
    &self,
    server: &Server,
    model: models::Key,
    requests: f64,
  ) -> Option<(u64, Vec<models::Key>)> {
    let needed_mb = self.models[model].size?.memory_mb;
    let memory_mb = self.models.engine(server.pool)?.memory_mb;
    // What is held may add up to more than the memory where the size of a model is unknown.
    let mut used_mb = server.memory_used(&self.models);
    let has_room = |used_mb: u64| used_mb + needed_mb <= memory_mb;
    let mut cost = 0;
    let mut victims = Vec::new();
    if has_room(used_mb) {
      return Some((cost, victims));
    }
    let models = server.models.keys();
    let costs =
      models.filter_map(|model| Some((self.eviction_cost(server, *model, requests)?, *model)));
    let mut candidates: Vec<(u64, models::Key)> = costs.collect();
    candidates.sort();
    for (model_cost, model) in candidates {
      if has_room(used_mb) {
        break;
      }
      used_mb -= server.memory_of(model, &self.models);
      cost += model_cost;
      victims.push(model);
    }
    has_room(used_mb).then_some((cost, victims))
  }

  /// Whether requests wait for a model, or callers are expected to return for it.
  pub(crate) fn has_demand(&self, model: models::Key) -> bool {
    self.models[model].last_demand_step == self.demand_step
  }

  /// Cost of evicting a model for a load that serves `requests` requests; `None` if it must not be
  /// evicted.
  ///
  /// A replica that requests need costs at least as much as the requests that it would serve until
  /// it is loaded again. When only its idle time counted, a replica that instances did not know of
  /// yet was evicted for a single request and loaded again a moment later.
  pub(crate) fn eviction_cost(
    &self,
    server: &Server,
    model: models::Key,
    requests: f64,
  ) -> Option<u64> {
    if self.has_demand(model) || server.busy_with(model, &self.models) {
      return None;
    }
    if server.leaving.contains(&model) {
      return Some(0);
    }
    let used = server.last_used(model);
    let idle = self.now.saturating_sub(used);
    if used > 0 && idle < RECENT_USE_MS {
      return None;
    }
    let entry = &self.models[model];
    let reload_ms = entry
      .size
      .map_or(0, |size| size.load_ms(server.tier(model)));
    let replicas = entry.holders.len() as u64 + u64::from(entry.holders_elsewhere > 0);
    let policy = self.policy(model);
    if replicas <= u64::from(policy.min_replicas) {
      return None;
    }
    let base_cost = match policy.evict {
      Evict::Oldest => 1_000_000 / (idle + 1),
      Evict::Cheapest => reload_ms * 1_000 / (idle + 500),
    };
    let needed_rate = self.needed_rate(model);
    if needed_rate * reload_ms as f64 / 1_000.0 > requests {
      return None;
    }
    let needed = (reload_ms as f64 * needed_rate) as u64;
    match replicas > 1 && needed_rate == 0.0 {
      true => Some(base_cost / SPARE_REPLICA_DIVISOR),
      false => Some(base_cost.max(needed)),
    }
  }
}
