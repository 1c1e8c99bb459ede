//! What is loaded, copied and let go without a request that waits for it.

use crate::{
  deployment::Engine,
  dispatch::{Demand, Model},
  held::{load_ms, whole},
  plan::{HEAVY_USE, LOAD_COST, Plan},
  report::Tier,
};
use std::{collections::BTreeMap, sync::Arc};

/// Loads from the weight store at once that are begun without demand: further
/// ones would slow those that requests wait for.
pub(crate) const AHEAD_AT_ONCE: usize = 2;
/// Time over which a model's use is forgotten by half, ms.
const FADE_MS: f64 = 15_000.0;
/// Use is counted this often, ms.
const FADE_STEP_MS: u64 = 200;
/// Servers with a place that can be freed at once, kept in each pool and group.
const FREEABLE: usize = 1;
/// Requests a replica carries, in hundredths of its slots, before another one is
/// loaded; and up to which the others take over those of one that leaves.
const FURTHER_PERCENT: u32 = 6;
const CARRY_PERCENT: u32 = 4;
/// But not fewer than these, where a server has few slots.
const FURTHER_LEAST: u32 = 3;
const CARRY_LEAST: u32 = 2;

impl Plan {
  /// Takes up what is in use now, and forgets what was.
  pub(crate) fn fade(&mut self) {
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
  pub(crate) fn fill_room(&mut self, least: f64) {
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

  pub(crate) fn load_ahead(&mut self, engine: &Engine, pool: &str, model: &str, used: f64) {
    let Some(checkpoint) = engine.models.get(model) else {
      return;
    };
    let policy = self.policy(pool, model);
    if self.holders(pool, model).len() as u32 >= policy.max_replicas {
      return;
    }
    let remote = self.remote_jobs();
    // A model that nobody holds comes sooner from the server that has its copy.
    let wait = self.holders(pool, model).is_empty() && self.copied(pool, model);
    let mut best: Option<(u64, String)> = None;
    for (id, server) in &self.servers {
      let room = engine.memory_mb.saturating_sub(server.memory(engine));
      let here = server.models.contains_key(model);
      let chosen = server.spec.pool == pool && policy.servers.matches(&server.labels());
      if !chosen || here || !server.free(self.now) || room < checkpoint.memory_mb {
        continue;
      }
      let tier = server.spec.tier(model);
      if tier == Tier::Remote && (wait || remote >= AHEAD_AT_ONCE || !self.may_load(engine)) {
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

  /// Lets a replica go that its model can do without, where too few servers have
  /// a place that can be freed at once.
  pub(crate) fn free_places(&mut self) {
    let pools: Vec<(String, Arc<Engine>)> = self
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
  pub(crate) fn spread(&mut self, pool: &str, engine: &Engine) {
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
      let holders = self.holders(pool, &model.name).to_vec();
      let most = holders.len() as u32 * (engine.slots * FURTHER_PERCENT / 100).max(FURTHER_LEAST);
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

  pub(crate) fn leave_one(&mut self, pool: &str, engine: &Engine) {
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
        let least = self.policy(pool, name).min_replicas.max(1);
        let spare = holders.len() as u32 > least;
        let rest = (holders.len() as u32).saturating_sub(1);
        let carried = running <= rest * (engine.slots * CARRY_PERCENT / 100).max(CARRY_LEAST);
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
      self.index();
      let why = format!("{running} requests there, others carry them");
      self.note("leave", &id, &name, why);
    }
  }
}
