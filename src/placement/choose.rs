//! Where a model that is wanted is loaded, and what gives way for it.

use crate::{
  backend::{Stage, missing_name},
  demand::{Demand, Model},
  deployment::Engine,
  placement::held::{Job, Server, Step, base, load_ms},
  placement::plan::{LOAD_COST, Plan},
  placement::urgency::gain,
  policy::Evict,
  report::Tier,
};
use std::{collections::BTreeSet, sync::Arc};

/// Time for instances to hear that a model leaves before it is unloaded, ms.
const LEAVE_MS: u64 = 25;
/// A model used within this time does not give way, ms.
const FRESH_MS: u64 = 400;
/// Weight of a model's other replicas when it is considered to give way.
const SPARE: u64 = 8;
/// A request that waits for longer may have its model loaded from the weight
/// store although some server has a copy: that server seems to be of no use, ms.
const REMOTE_AGE_MS: u64 = 8_000;
/// Time that each group has for a model that is waited for before the next one may
/// load it, ms: an order is published within some ten.
const TURN_MS: u64 = 300;

/// Why a model is loaded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
  /// Requests wait for it.
  Waiting,
  /// Its replicas are too slow for its requests.
  Strained,
}

impl Plan {
  /// Whether a server of another group holds a model.
  pub(crate) fn elsewhere(&self, pool: &str, model: &Model) -> bool {
    let others = self.others.iter().filter(|other| other.pool == pool);
    let mut held = others.filter_map(|other| other.models.get(&model.name));
    held.any(|adapters| {
      let adapter = model.adapter.as_ref();
      adapter.is_none_or(|adapter| adapters.contains(adapter))
    })
  }

  /// This group's turn among those that could load a model: those with a copy of
  /// its checkpoint, or all.
  pub(crate) fn turn(&self, pool: &str, model: &Model) -> u64 {
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
  pub(crate) fn may_serve(&self, demand: &Demand) -> bool {
    demand.age_ms >= self.turn(&demand.pool, &demand.model) * TURN_MS
  }

  pub(crate) fn engine(&self, pool: &str) -> Option<Arc<Engine>> {
    self.deployment.pools.get(pool)?.engine.clone()
  }

  /// Servers of a pool that hold a model and keep it.
  pub(crate) fn holders(&self, pool: &str, model: &str) -> &[String] {
    let held = self.held.get(pool).and_then(|models| models.get(model));
    held.map(Vec::as_slice).unwrap_or_default()
  }

  /// Works out who holds what; due after every change of it.
  pub(crate) fn index(&mut self) {
    self.held.clear();
    for (id, server) in &self.servers {
      if server.spec.stage != Stage::Ready {
        continue;
      }
      let models = self.held.entry(server.spec.pool.clone()).or_default();
      for name in server.models.keys() {
        if !server.leaving.contains(name) {
          models.entry(name.clone()).or_default().push(id.clone());
        }
      }
    }
  }

  /// Whether a server that takes work, and does not hold the model, has a copy of its
  /// checkpoint.
  pub(crate) fn copied(&self, pool: &str, model: &str) -> bool {
    let mut others = self.others.iter().filter(|other| other.pool == pool);
    self.copied_here(pool, model)
      || others.any(|other| other.copies.iter().any(|name| name == model))
  }

  pub(crate) fn copied_here(&self, pool: &str, model: &str) -> bool {
    self.servers.values().any(|server| {
      server.spec.pool == pool
        && server.spec.stage == Stage::Ready
        && server.spec.tier(model) != Tier::Remote
        && !server.models.contains_key(model)
    })
  }

  /// Keeps a model that was to leave and is wanted again, where its unload has not
  /// begun.
  pub(crate) fn keep(&mut self, pool: &str, model: &str) -> bool {
    let kept = self.servers.values_mut().find(|server| {
      let mut jobs = server.job.iter();
      let given = jobs.any(|job| job.victims.iter().any(|name| name == model));
      server.spec.pool == pool && server.leaving.contains(model) && !given
    });
    let Some(server) = kept else {
      return false;
    };
    server.leaving.remove(model);
    self.unpublished = true;
    self.index();
    true
  }

  pub(crate) fn loading(&self, model: &str) -> bool {
    let mut jobs = self
      .servers
      .values()
      .filter_map(|server| server.job.as_ref());
    jobs.any(|job| job.model == model)
  }

  /// Loads of a model that are under way in a pool.
  pub(crate) fn loads_of(&self, pool: &str, model: &str) -> usize {
    let servers = self.servers.values();
    let jobs = servers
      .filter(|server| server.spec.pool == pool)
      .filter_map(|server| server.job.as_ref());
    jobs.filter(|job| job.model == model).count()
  }

  /// Servers that hold a model, also where it is about to leave or they are, those that load
  /// it, those that were not asked yet, and those whose entry may come back: what a policy's
  /// bound counts. While only those counted that keep it, a burst of 200 requests loaded a
  /// model on four servers of which two were allowed.
  pub(crate) fn replicas(&self, pool: &str, model: &str) -> u32 {
    let servers = self.servers.values();
    let servers = servers.filter(|server| server.spec.pool == pool);
    let own = servers.filter(|server| server.may_hold(model));
    let others = self.others.iter().filter(|other| other.pool == pool);
    let others = others.filter(|other| other.models.contains_key(model));
    (own.count() + others.count() + self.gone_with(pool, model)) as u32
  }

  /// Loads a model where it costs least, if some server can take it.
  pub(crate) fn load(&mut self, engine: &Engine, demand: &Demand, cause: Cause) {
    let model = demand.model.name.clone();
    if !engine.models.contains_key(&model) {
      return;
    }
    let at_once = 1 + demand.waiting / (engine.slots / 2).max(1);
    if cause == Cause::Waiting && self.loads_of(&demand.pool, &model) >= at_once as usize {
      return;
    }
    let mut best: Option<(u64, String, Vec<String>)> = None;
    let policy = self.policy(&demand.pool, &model);
    if self.replicas(&demand.pool, &model) >= policy.max_replicas {
      return;
    }
    let near = self.copied(&demand.pool, &model);
    let remote = match cause {
      Cause::Strained => !near,
      Cause::Waiting => !near || demand.age_ms > REMOTE_AGE_MS,
    };
    for (id, server) in &self.servers {
      let here = server.models.contains_key(&model);
      let chosen = server.spec.pool == demand.pool && policy.servers.matches(&server.labels());
      if !chosen || here || !server.free(self.now) {
        continue;
      }
      let tier = server.spec.tier(&model);
      if tier == Tier::Remote && !(remote && self.may_load(engine)) {
        continue;
      }
      let Some((cost, victims)) = self.room(engine, id, &model) else {
        continue;
      };
      let load = load_ms(&engine.models[&model], tier);
      if cause == Cause::Waiting && tier == Tier::Remote && !server.pays(self.now, demand, load) {
        continue;
      }
      let others = load as f64 * server.occupied;
      let cost = cost + load + others as u64 + LOAD_COST * u64::from(server.load());
      if best.as_ref().is_none_or(|(least, ..)| cost < *least) {
        best = Some((cost, id.clone(), victims));
      }
    }
    let Some((cost, id, victims)) = best else {
      if cause == Cause::Waiting {
        self.delayed(engine, &demand.pool, &model);
      }
      return;
    };
    self.start(engine, &id, &model, victims, cost, demand);
  }

  /// Time from a decision to load a model until it can be used, from its nearest copy
  /// on a server that takes work, ms.
  pub(crate) fn path_ms(&self, engine: &Engine, pool: &str, model: &str) -> Option<u64> {
    let checkpoint = engine.models.get(model)?;
    let servers = self.servers.values();
    let working =
      servers.filter(|server| server.spec.pool == pool && server.spec.stage == Stage::Ready);
    let tier = working.map(|server| server.spec.tier(model)).min()?;
    Some(LEAVE_MS + self.unload_ms as u64 + load_ms(checkpoint, tier))
  }

  pub(crate) fn start(
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
    server.earn(
      now,
      gain(&demand.waits, load_ms(&engine.models[model], tier)),
    );
    let wait = if victims.is_empty() { 0 } else { LEAVE_MS };
    server.leaving.extend(victims.iter().cloned());
    server.job = Some(Job {
      model: model.into(),
      victims: victims.clone(),
      step: Step::Leave,
      due: now + wait,
      waiting: false,
      tries: 0,
      unloaded: false,
      remote: tier == Tier::Remote,
      until: load_ms(&engine.models[model], tier),
    });
    self.unpublished = true;
    let delay = self.delays.remove(&(demand.pool.clone(), model.into()));
    let why = format!(
      "{} waiting for {} ms, from {tier:?}, instead of {victims:?}, cost {cost}, delayed by [{}]",
      demand.waiting,
      demand.age_ms,
      delay.unwrap_or_default().text()
    );
    self.note("load", id, model, why);
  }

  pub(crate) fn remote_jobs(&self) -> usize {
    let jobs = self
      .servers
      .values()
      .filter_map(|server| server.job.as_ref());
    jobs.filter(|job| job.remote).count()
  }

  /// Whether the weight store allows another load now.
  pub(crate) fn may_load(&self, engine: &Engine) -> bool {
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
  pub(crate) fn room(&self, engine: &Engine, id: &str, model: &str) -> Option<(u64, Vec<String>)> {
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
  pub(crate) fn loss(&self, engine: &Engine, server: &Server, name: &str) -> Option<u64> {
    let wanted = (server.spec.pool.clone(), name.to_string());
    if server.busy_with(name) || self.wanted.contains(&wanted) {
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
    let elsewhere = self.elsewhere(&server.spec.pool, &base(name));
    let others = self.holders(&server.spec.pool, name).len() as u64 + u64::from(elsewhere);
    let policy = self.policy(&server.spec.pool, name);
    if others <= u64::from(policy.min_replicas) {
      return None;
    }
    let worth = match policy.evict {
      Evict::Oldest => 1_000_000 / (idle + 1),
      Evict::Cheapest => reload * 1_000 / (idle + 500),
    };
    Some(if others > 1 { worth / SPARE } else { worth })
  }
}
