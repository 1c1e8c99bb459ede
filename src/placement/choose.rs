//! Where a model that is wanted is loaded, and what gives way for it.

use crate::{
  backend::missing_name,
  placement::{
    models,
    need::Need,
    plan::{LOAD_COST, Plan},
    publish::PUBLISH_MS,
    server::{self, Job, LEAVE_MS, Server, Step},
    urgency::gain,
  },
  policy::Evict,
  report::Tier,
};
use std::collections::BTreeSet;

/// A model used within this time does not give way, ms.
const FRESH_MS: u64 = 400;
/// Weight of a model's other replicas when it is considered to give way.
const SPARE: u64 = 8;
/// A request that waits for longer may have its model loaded from the weight
/// store although some server has a copy: that server seems to be of no use, ms.
const REMOTE_AGE_MS: u64 = 8_000;
/// Models a step for which all servers are looked at, for want of a copy near any: the weight
/// store serves a few loads at once.
pub(crate) const REMOTE_LOOKS: usize = 4;
/// Time that each group has for a model that is waited for before the next one may
/// load it, ms: an order is published within some ten.
const TURN_MS: u64 = 300;

/// What a load costs more at a server that needs help, ms: more than any other, for it could not
/// serve the requests that the load is for.
const LIMITED_COST: u64 = 60_000;

/// A server that can take a load.
struct Choice {
  cost: u64,
  server: server::Key,
  victims: Vec<models::Key>,
}

impl Plan {
  /// This group's turn among those that could load a model: those with a copy of
  /// its checkpoint, or all.
  fn turn(&self, key: models::Key) -> u64 {
    let entry = &self.models[key];
    let base = &self.models[entry.base];
    let near = match key == entry.base {
      true => &base.copies_elsewhere,
      false => &base.groups,
    };
    let mut groups: BTreeSet<u32> = near.iter().copied().collect();
    let own = match key == entry.base {
      true => self.copied_here(key),
      false => !base.holders.is_empty(),
    };
    if own || groups.is_empty() {
      groups.insert(self.group);
    }
    if groups.len() == 1 && groups.contains(&self.group) && !own {
      // No group has a copy: all may, one after the other.
      groups.extend(&self.groups);
    }
    let name = missing_name(&entry.model.name, entry.model.adapter.as_deref());
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
  pub(crate) fn may_serve(&self, need: &Need) -> bool {
    self.groups.is_empty() || need.age_ms >= self.turn(need.model) * TURN_MS
  }

  /// Servers that hold a model and keep it.
  pub(crate) fn holders(&self, model: models::Key) -> &[server::Key] {
    &self.models[model].holders
  }

  /// How many of them need no help. Each loss that a load may cost asks for it, and mostly no
  /// server needs any.
  pub(crate) fn sound_holders(&self, model: models::Key) -> usize {
    if !self.any_limited && self.now >= self.turned_away_until {
      return self.holders(model).len();
    }
    let holders = self.holders(model).iter();
    holders
      .filter(|key| !self.servers[**key].in_need(self.now))
      .count()
  }

  /// Whether a server that takes work, and does not hold the model, has a copy of its
  /// checkpoint.
  fn copied(&self, model: models::Key) -> bool {
    self.copied_here(model) || !self.models[model].copies_elsewhere.is_empty()
  }

  fn copied_here(&self, model: models::Key) -> bool {
    let mut copies = self.models[model].copies.iter();
    copies.any(|(key, _)| !self.servers[*key].models.contains_key(&model))
  }

  /// Keeps a model that was to leave and is wanted again, where its unload has not
  /// begun.
  pub(crate) fn keep(&mut self, model: models::Key) -> bool {
    let pool = self.models[model].pool;
    let kept = self.leaving.iter().copied().find(|key| {
      let server = &self.servers[*key];
      let mut jobs = server.job.iter();
      let given = jobs.any(|job| job.victims.contains(&model));
      server.pool == pool && server.leaving.contains(&model) && !given
    });
    let Some(key) = kept else {
      return false;
    };
    self.change(key, |server, _| {
      server.leaving.retain(|other| *other != model)
    });
    self.unpublished = true;
    true
  }

  /// Servers that hold a model, also where it is about to leave or they are, those that load
  /// it, those that were not asked yet, and those whose entry may come back: what a policy's
  /// bound counts. While only those counted that keep it, a burst of 200 requests loaded a
  /// model on four servers of which two were allowed.
  fn replicas(&self, model: models::Key) -> u32 {
    let entry = &self.models[model];
    let servers = self.of_pool(entry.pool);
    let own = servers.filter(|(_, server)| server.may_hold(model));
    (own.count() + entry.elsewhere + self.gone_with(model)) as u32
  }

  /// Whether a model's policy lets it have a further replica.
  pub(crate) fn below_most(&self, model: models::Key) -> bool {
    let most = self.policy(model).max_replicas;
    most == u32::MAX || self.replicas(model) < most
  }

  /// Loads a further replica of a model, where its replicas are too slow for its requests and
  /// some server can take it.
  pub(crate) fn load_strained(&mut self, model: models::Key) {
    let need = Need::nobody(model);
    if !self.below_most(model) {
      return;
    }
    let near = self.copied(model);
    if let Some(choice) = self.choose(&need, self.strained_gain(model), !near, |_, _| true) {
      self.start(choice.server, choice.victims, choice.cost, &need);
    }
  }

  /// Loads a model that requests wait for where it costs least, if some server can take it.
  pub(crate) fn load_wanted(&mut self, need: &Need, remote_looks: &mut usize) {
    let model = need.model;
    let entry = &self.models[model];
    let Some(size) = entry.size else {
      return;
    };
    let Some(engine) = self.models.engine(entry.pool) else {
      return;
    };
    let at_once = 1 + need.waiting / (engine.slots / 2).max(1);
    if entry.loads >= at_once as usize || !self.below_most(model) {
      return;
    }
    let near = self.copied(model);
    let mut remote = !near || need.age_ms > REMOTE_AGE_MS;
    if remote && *remote_looks == 0 {
      remote = false;
    }
    let now = self.now;
    let pays = |server: &Server, tier: Tier| {
      tier != Tier::Remote || server.pays(now, &need.waits, size.load_ms(tier))
    };
    match self.choose(need, f64::from(need.waiting.max(1)), remote, pays) {
      Some(choice) => self.start(choice.server, choice.victims, choice.cost, need),
      None => {
        *remote_looks -= usize::from(remote);
        self.delayed(model);
      }
    }
  }

  /// Requests that gain from a further replica of a model while another one, which gives way
  /// for it, is loaded again.
  fn strained_gain(&self, model: models::Key) -> f64 {
    let load_ms = self.path_ms(model).unwrap_or_default();
    self.earning(model) * load_ms as f64 / 1_000.0
  }

  /// The server on which a load costs least, for so many requests; `remote`: also one without
  /// a copy.
  fn choose(
    &self,
    need: &Need,
    requests: f64,
    remote: bool,
    pays: impl Fn(&Server, Tier) -> bool,
  ) -> Option<Choice> {
    let entry = &self.models[need.model];
    let mut best: Option<Choice> = None;
    for (key, tier) in &entry.copies {
      self.consider((need.model, requests), *key, *tier, &pays, &mut best);
    }
    if remote && self.may_load(need.model) {
      for (key, server) in self.of_pool(entry.pool) {
        if !server.copies.contains_key(&need.model) {
          self.consider((need.model, requests), key, Tier::Remote, &pays, &mut best);
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
    pays: &impl Fn(&Server, Tier) -> bool,
    best: &mut Option<Choice>,
  ) {
    let server = &self.servers[key];
    let here = server.models.contains_key(&model);
    if here || !server.free(self.now) || !self.allows(self.policy(model), server) {
      return;
    }
    let Some(size) = self.models[model].size else {
      return;
    };
    let Some((cost, victims)) = self.room(server, model, requests) else {
      return;
    };
    if !pays(server, tier) {
      return;
    }
    let load = size.load_ms(tier);
    let others = load as f64 * server.occupied;
    let cost = cost + load + others as u64 + LOAD_COST * u64::from(server.load());
    let cost = cost + LIMITED_COST * u64::from(server.in_need(self.now));
    if best.as_ref().is_none_or(|best| cost < best.cost) {
      *best = Some(Choice {
        cost,
        server: key,
        victims,
      });
    }
  }

  /// Time from a decision to load a model until it can be used, from its nearest copy
  /// on a server that takes work, ms.
  pub(crate) fn path_ms(&self, model: models::Key) -> Option<u64> {
    let entry = &self.models[model];
    let copies = entry.copies.iter().map(|(_, tier)| *tier);
    let tier = copies.min().unwrap_or(Tier::Remote);
    Some(LEAVE_MS + self.unload_ms as u64 + entry.size?.load_ms(tier))
  }

  /// Begins to load a model.
  pub(crate) fn start(
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
    // With its publication it gets the time that counts.
    let wait = match victims.is_empty() {
      true => 0,
      false => PUBLISH_MS + LEAVE_MS,
    };
    let gave = self.change(key, |server, models| {
      server.earn(now, gain(&need.waits, size.load_ms(tier)));
      server.leaving.extend(&victims);
      let names = victims
        .iter()
        .map(|victim| models[*victim].model.name.clone());
      let names: Vec<String> = names.collect();
      server.job = Some(Job {
        model,
        victims,
        step: Step::Leave,
        due: now + wait,
        waiting: false,
        tries: 0,
        unloaded: false,
        paused: 0,
        remote: tier == Tier::Remote,
        began: now,
        until: size.load_ms(tier),
      });
      names
    });
    self.unpublished = true;
    let delay = std::mem::take(&mut self.models[model].delay);
    let why = format!(
      "{} waiting for {} ms, from {tier:?}, instead of {:?}, cost {cost}, delayed by [{}]",
      need.waiting,
      need.age_ms,
      gave.unwrap_or_default(),
      delay.text()
    );
    self.note("load", key, model, why);
  }

  /// Whether the weight store allows another load now.
  pub(crate) fn may_load(&self, model: models::Key) -> bool {
    let Some(engine) = self.models.engine(self.models[model].pool) else {
      return false;
    };
    self
      .remote
      .allows(self.now, self.remote_jobs, engine.loads_per_s)
  }

  /// What has to give way on a server for so many requests for a model, and what that costs;
  /// none when there is no room.
  fn room(
    &self,
    server: &Server,
    model: models::Key,
    requests: f64,
  ) -> Option<(u64, Vec<models::Key>)> {
    let need = self.models[model].size?.memory_mb;
    let memory_mb = self.models.engine(server.pool)?.memory_mb;
    let mut free = memory_mb.saturating_sub(server.memory(&self.models));
    let mut cost = 0;
    let mut victims = Vec::new();
    if free >= need {
      return Some((cost, victims));
    }
    let held = server.models.keys();
    let losses = held.filter_map(|model| Some((self.loss(server, *model, requests)?, *model)));
    let mut candidates: Vec<(u64, models::Key)> = losses.collect();
    candidates.sort();
    for (loss, model) in candidates {
      if free >= need {
        break;
      }
      free += server.memory_of(model, &self.models);
      cost += loss;
      victims.push(model);
    }
    (free >= need).then_some((cost, victims))
  }

  /// Whether callers wait for a model, or will come back for it.
  pub(crate) fn wanted(&self, model: models::Key) -> bool {
    self.models[model].wanted == self.served
  }

  /// What it costs when a model gives way for so many requests; none: it may not.
  ///
  /// A replica that requests need is as much a loss as the requests that it would serve until
  /// it is loaded again. While only its rest counted, one that instances did not know of yet
  /// gave way for a single request, and was loaded again a moment later.
  pub(crate) fn loss(&self, server: &Server, model: models::Key, requests: f64) -> Option<u64> {
    if self.wanted(model) || server.busy_with(model, &self.models) {
      return None;
    }
    if server.leaving.contains(&model) {
      return Some(0);
    }
    let used = server.last_used(model);
    let idle = self.now.saturating_sub(used);
    if used > 0 && idle < FRESH_MS {
      return None;
    }
    let entry = &self.models[model];
    let reload = entry
      .size
      .map_or(0, |size| size.load_ms(server.tier(model)));
    let others = entry.holders.len() as u64 + u64::from(entry.elsewhere > 0);
    let policy = self.policy(model);
    if others <= u64::from(policy.min_replicas) {
      return None;
    }
    let worth = match policy.evict {
      Evict::Oldest => 1_000_000 / (idle + 1),
      Evict::Cheapest => reload * 1_000 / (idle + 500),
    };
    let earning = self.earning(model);
    if earning * reload as f64 / 1_000.0 > requests {
      return None;
    }
    let needed = (reload as f64 * earning) as u64;
    match others > 1 && earning == 0.0 {
      true => Some(worth / SPARE),
      false => Some(worth.max(needed)),
    }
  }
}
