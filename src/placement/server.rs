//! What one backend server holds, as the planner of its group knows it, and the change in progress
//! there.

use crate::{
  backend::{Holding, Spec, Stage},
  command::{Act, Command, Taken},
  placement::{
    models::{self, Models, PoolKey},
    plan::{QUERY_INTERVAL_MS, REPORT_LAG_MS},
    urgency::{Wait, gain},
    work::Seen,
  },
  report::Tier,
  selector::Labels,
};
use std::collections::{BTreeMap, BTreeSet};

slotmap::new_key_type! {
  /// Identifies a server of the group from one start of it to the next.
  pub(crate) struct Key;
}

/// Pause for a server whose order got no answer, ms: an order that is carried out late then finds
/// another order count.
pub(crate) const RECHECK_MS: u64 = 1_000;
/// Time for instances to learn that a model will be unloaded before the unload is ordered, ms.
pub(crate) const LEAVE_NOTICE_MS: u64 = 25;
/// An order without an answer is carried out within this time or never, ms: engines take up to 12 s.
pub(crate) const MAX_ORDER_DELAY_MS: u64 = 13_000;
/// Consecutive queries without an answer after which a server counts as taking no requests.
const UNHEARD_QUERIES: u32 = 2;
/// Doublings of `RECHECK_MS` for a server that repeatedly does not answer.
const MAX_RECHECK_DOUBLINGS: u32 = 3;
/// Pause after an adapter order until requests may use the adapter, ms: it loads within a few
/// milliseconds.
const ADAPTER_LOAD_MS: u64 = 15;

/// A server's load factor before its loads have been observed: reports lag, so they never show a
/// lower one.
const INITIAL_LOAD_FACTOR: f64 = 1.0;
/// Change of the load factor after a load that took longer than estimated, and after one that was
/// done in time, so that about one request in 20 arrives before its model is loaded.
const LOAD_FACTOR_INCREASE: f64 = 0.1;
const LOAD_FACTOR_DECREASE: f64 = 0.005;
const MIN_LOAD_FACTOR: f64 = 0.5;
const MAX_LOAD_FACTOR: f64 = 4.0;

/// Half-life of the measured use of an order path, ms: about five loads from a nearby copy.
const ORDER_PATH_HALF_LIFE_MS: f64 = 4_000.0;

/// A step of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
  /// The planner publishes that the victims will be unloaded.
  Leave,
  Unload,
  Load,
  /// The load is in progress.
  Await,
}

/// A change of what a server holds.
#[derive(Clone, Debug)]
pub(crate) struct Job {
  pub(crate) model: models::Key,
  pub(crate) victims: Vec<models::Key>,
  pub(crate) step: Step,
  pub(crate) due: u64,
  /// An order or a query is in progress.
  pub(crate) awaiting_reply: bool,
  pub(crate) attempts: u32,
  /// The last order was an unload.
  pub(crate) after_unload: bool,
  /// Pause between that unload and the order to load, ms.
  pub(crate) unload_pause_ms: u64,
  /// The model is loaded from the weight store.
  pub(crate) remote: bool,
  /// When the load started, ms.
  pub(crate) started_at: u64,
  /// Estimated load time until the load is ordered, then the time at which it is given up, ms.
  pub(crate) until: u64,
}

/// A load whose order got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Unanswered {
  /// The count of orders that it names. A server with a higher count declines it. `None` if it was
  /// ordered by an earlier holder and the server has not stated its count since.
  pub(crate) orders: Option<u64>,
  /// When it will not be carried out any more, ms.
  pub(crate) until: u64,
}

/// Loaded models, each with its loaded adapters.
pub(crate) type Loaded = BTreeMap<models::Key, Vec<models::Key>>;

#[derive(Clone, Debug)]
pub(crate) struct Server {
  pub(crate) spec: Spec,
  pub(crate) pool: PoolKey,
  /// Its pool has an engine, so it takes orders.
  pub(crate) has_engine: bool,
  pub(crate) models: Loaded,
  /// Models whose checkpoints have a copy on this server.
  pub(crate) copies: BTreeMap<models::Key, Tier>,
  pub(crate) orders: u64,
  /// When the result of an order last raised that count, ms.
  pub(crate) counted_at: u64,
  /// When it was last queried, ms.
  pub(crate) queried_at: u64,
  /// When it last stated what it holds, ms; 0 if it has not.
  pub(crate) stated_at: u64,
  /// It has been queried since this machine acquired the lease.
  pub(crate) synced: bool,
  /// It has stated everything that it holds since then.
  pub(crate) answered: bool,
  pub(crate) querying: bool,
  pub(crate) leaving: Vec<models::Key>,
  pub(crate) job: Option<Job>,
  /// Loads that may still be carried out.
  pub(crate) unanswered: BTreeMap<models::Key, Unanswered>,
  /// Adapters that were ordered and that the server has not stated to have arrived.
  pub(crate) arriving: BTreeSet<models::Key>,
  /// Adapter orders in progress.
  pub(crate) adapter_orders: Vec<(models::Key, Act)>,
  pub(crate) paused_until: u64,
  /// It has stated a limit: it accepts fewer requests than it gets.
  pub(crate) limited: bool,
  /// Until when it counts as rejecting requests, according to reports of instances, ms.
  pub(crate) rejecting_until: u64,
  /// When it was last queried because what it holds was in question, ms.
  pub(crate) rechecked_at: u64,
  /// Consecutive queries without an answer.
  pub(crate) unanswered_queries: u32,
  /// When the models and adapters that it holds were last used, ms.
  pub(crate) used_at: BTreeMap<models::Key, u64>,
  /// A load that was assumed to be done when its time was over, and when the server is queried
  /// about it, ms.
  pub(crate) assumed_done: Option<(models::Key, u64)>,
  /// How long loads take here, as a multiple of the times stated for their checkpoints.
  pub(crate) load_factor: f64,
  /// Recent fraction of the time in which its order path was occupied, 0 to 1.
  pub(crate) occupancy: f64,
  /// Recent gain of requests from loads here, decaying, and the time of its last update, ms.
  gained: f64,
  gained_at: u64,
  /// Running requests of all instances, by model and adapter.
  pub(crate) running: BTreeMap<models::Key, u32>,
  /// Part of a median server's time that its prompts may fill and do fill, as of the last sweep.
  pub(crate) capacity: f64,
  pub(crate) filled: f64,
  /// What callers saw of it.
  pub(crate) seen: Seen,
  /// Kept for a replica of this model that serves this many requests, until then, ms.
  pub(crate) reserved: Option<(models::Key, f64, u64)>,
  /// The holding as last published, and the number of that change.
  pub(crate) published: Option<Holding>,
  pub(crate) change_number: u64,
  /// When its next action is due, as listed in the plan's timers, ms.
  pub(crate) timer: Option<u64>,
}

impl Server {
  pub(crate) fn new(spec: Spec, models: &mut Models) -> Self {
    let pool = models.intern_pool(&spec.pool);
    let mut server = Self {
      pool,
      has_engine: false,
      models: Loaded::new(),
      copies: BTreeMap::new(),
      orders: 0,
      counted_at: 0,
      queried_at: 0,
      stated_at: 0,
      spec,
      synced: false,
      answered: false,
      querying: false,
      leaving: Vec::new(),
      job: None,
      unanswered: BTreeMap::new(),
      arriving: BTreeSet::new(),
      adapter_orders: Vec::new(),
      paused_until: 0,
      limited: false,
      rejecting_until: 0,
      rechecked_at: 0,
      unanswered_queries: 0,
      used_at: BTreeMap::new(),
      assumed_done: None,
      load_factor: INITIAL_LOAD_FACTOR,
      occupancy: 0.0,
      gained: 0.0,
      gained_at: 0,
      running: BTreeMap::new(),
      capacity: 0.0,
      filled: 0.0,
      seen: Seen::default(),
      reserved: None,
      published: None,
      change_number: 0,
      timer: None,
    };
    server.models = intern_models(pool, &server.spec.models, models);
    server.apply_spec(models);
    server
  }

  /// Applies what the server's entry states, except for the models that it holds.
  pub(crate) fn apply_spec(&mut self, models: &mut Models) {
    self.has_engine = models.engine(self.pool).is_some();
    let mut copies = BTreeMap::new();
    for name in &self.spec.on_disk {
      copies.insert(models.intern(self.pool, name, None), Tier::Disk);
    }
    for name in &self.spec.in_memory {
      copies.insert(models.intern(self.pool, name, None), Tier::Memory);
    }
    self.copies = copies;
  }

  /// Resets the state of a server that has restarted: only the copies on its disk remain.
  pub(crate) fn restart(&mut self, born: u64, models: &mut Models) {
    let spec = Spec {
      born,
      models: BTreeMap::new(),
      in_memory: Vec::new(),
      ..self.spec.clone()
    };
    let published = self.published.take();
    *self = Self {
      published,
      change_number: self.change_number,
      timer: self.timer,
      ..Self::new(spec, models)
    };
  }

  /// Discards the state of orders and queries, but for loads without an answer: a new lease holder
  /// does not know what the server holds.
  pub(crate) fn reset(&mut self, now: u64) {
    self.synced = false;
    self.answered = false;
    self.querying = false;
    self.unanswered_queries = 0;
    if let Some(job) = self.job.take() {
      self.keep_unanswered_load(now, &job);
    }
    self.adapter_orders.clear();
    self.leaving.clear();
    self.published = None;
    self.change_number = 0;
  }

  /// When its next action is due, ms; `None` if it only waits for an action in progress.
  pub(crate) fn due_at(&self) -> Option<u64> {
    if !self.has_engine {
      return None;
    }
    let job = self.job.as_ref();
    let awaiting_reply = job.is_some_and(|job| job.awaiting_reply);
    let known = |job: &&Job| self.synced || job.step == Step::Await;
    let job_due = job.filter(|job| !job.awaiting_reply).filter(known);
    let query_due =
      (!self.synced && !self.querying && !awaiting_reply).then_some(self.paused_until);
    let check_due = self.assumed_done.filter(|_| job.is_none());
    let times = [
      job_due.map(|job| job.due),
      query_due,
      check_due.map(|(_, at)| at),
    ];
    times.into_iter().flatten().min()
  }

  /// The tier of the nearest copy of a model's checkpoint.
  pub(crate) fn tier(&self, model: models::Key) -> Tier {
    self.copies.get(&model).copied().unwrap_or(Tier::Remote)
  }

  /// Labels by which policies select servers.
  pub(crate) fn labels(&self) -> Labels {
    [("server", &self.spec.id), ("zone", &self.spec.zone)]
      .map(|(key, value)| (key.to_string(), value.clone()))
      .into_iter()
      .collect()
  }

  /// Whether it accepts fewer requests than it gets.
  pub(crate) fn is_limited(&self, now: u64) -> bool {
    self.limited || now < self.rejecting_until || self.is_unheard()
  }

  /// Whether several queries in a row got no answer: requests are likely to get none either.
  pub(crate) fn is_unheard(&self) -> bool {
    self.unanswered_queries >= UNHEARD_QUERIES
  }

  pub(crate) fn can_take_order(&self, now: u64) -> bool {
    self.spec.stage == Stage::Ready
      && self.synced
      && self.job.is_none()
      && self.adapter_orders.is_empty()
      && now >= self.paused_until
  }

  /// Handles a request that did not find a model that should be here. An unload that got no answer
  /// may have been carried out late, so the server is queried.
  pub(crate) fn model_missing(&mut self, now: u64, model: models::Key) {
    let too_early = |(loaded, until): &(models::Key, u64)| *loaded == model && now < *until;
    if self.assumed_done.as_ref().is_some_and(too_early) {
      return self.adjust_load_factor(false);
    }
    let expected = self.models.contains_key(&model) && !self.leaving.contains(&model);
    if expected && self.can_take_order(now) {
      self.recheck(now);
    }
  }

  /// Has the server queried, unless it was queried a moment ago.
  pub(crate) fn recheck(&mut self, now: u64) {
    if now >= self.rechecked_at + RECHECK_MS {
      self.rechecked_at = now;
      self.synced = false;
    }
  }

  /// Updates the occupancy of the order path with the last `elapsed_ms`.
  pub(crate) fn update_occupancy(&mut self, elapsed_ms: u64) {
    let decay = 0.5f64.powf(elapsed_ms as f64 / ORDER_PATH_HALF_LIFE_MS);
    let occupied = f64::from(u8::from(self.job.is_some()));
    self.occupancy = self.occupancy * decay + occupied * (1.0 - decay);
  }

  /// Recent gain of requests for each millisecond of the order path.
  fn gain_rate(&self, now: u64) -> f64 {
    let elapsed = now.saturating_sub(self.gained_at) as f64;
    let gained = self.gained * 0.5f64.powf(elapsed / ORDER_PATH_HALF_LIFE_MS);
    gained * std::f64::consts::LN_2 / ORDER_PATH_HALF_LIFE_MS
  }

  /// Adds the gain of requests from a load that starts.
  pub(crate) fn add_gain(&mut self, now: u64, gain: f64) {
    self.gained = self.gain_rate(now) * ORDER_PATH_HALF_LIFE_MS / std::f64::consts::LN_2 + gain;
    self.gained_at = now;
  }

  /// Whether a long load gains at least as much as other loads here gained in the same time.
  pub(crate) fn worth_loading(&self, now: u64, waits: &[Wait], load_ms: u64) -> bool {
    gain(waits, load_ms) >= self.gain_rate(now) * load_ms as f64
  }

  /// Adjusts the load factor by whether the load that was assumed to be done was done.
  pub(crate) fn adjust_load_factor(&mut self, done: bool) {
    if self.assumed_done.take().is_none() {
      return;
    }
    let change = if done {
      -LOAD_FACTOR_DECREASE
    } else {
      LOAD_FACTOR_INCREASE
    };
    self.load_factor = (self.load_factor + change).clamp(MIN_LOAD_FACTOR, MAX_LOAD_FACTOR);
  }

  /// Handles a query without an answer: the server is paused, for longer each time.
  pub(crate) fn query_failed(&mut self, now: u64) {
    self.paused_until = now + (RECHECK_MS << self.unanswered_queries.min(MAX_RECHECK_DOUBLINGS));
    self.unanswered_queries += 1;
    if let Some(job) = &mut self.job {
      job.awaiting_reply = false;
      job.due = self.paused_until;
    }
  }

  pub(crate) fn schedule_recheck(&mut self, now: u64, taken: Taken) {
    self.synced = false;
    self.leaving.clear();
    self.paused_until = match taken {
      Taken::Unknown | Taken::NotSent => now + RECHECK_MS,
      _ => now + REPORT_LAG_MS + QUERY_INTERVAL_MS,
    };
  }

  /// Counts an order that the server has accepted.
  pub(crate) fn count_order(&mut self, now: u64, command: &Command) {
    if command.orders >= self.orders {
      self.set_orders(command.orders.saturating_add(1));
      self.unanswered.retain(|_, load| load.orders.is_some());
      self.counted_at = now;
    }
  }

  /// Sets the number of orders that the server has accepted. It declines those that name another.
  pub(crate) fn set_orders(&mut self, orders: u64) {
    self.orders = orders;
    let is_open = |load: &Unanswered| load.orders.is_none_or(|named| named >= orders);
    self.unanswered.retain(|_, load| is_open(load));
  }

  /// Records a load whose order got no answer.
  pub(crate) fn record_unanswered(&mut self, now: u64, model: models::Key, orders: u64) {
    let load = Unanswered {
      orders: Some(orders),
      until: now + MAX_ORDER_DELAY_MS,
    };
    if orders >= self.orders {
      self.unanswered.insert(model, load);
    }
  }

  /// Records a load that an earlier holder ordered without an answer, unless an order of the term
  /// that started at `term_started_at` has superseded it.
  pub(crate) fn adopt_unanswered(&mut self, now: u64, model: models::Key, term_started_at: u64) {
    let load = Unanswered {
      orders: None,
      until: now + MAX_ORDER_DELAY_MS,
    };
    if self.counted_at < term_started_at {
      self.unanswered.entry(model).or_insert(load);
    }
  }

  /// Limits loads of an earlier holder to the count of orders that the server states: they name no
  /// higher one.
  pub(crate) fn limit_adopted(&mut self) {
    for load in self.unanswered.values_mut() {
      load.orders.get_or_insert(self.orders);
    }
  }

  /// Keeps the load of a job that is dropped while its order has no answer yet.
  fn keep_unanswered_load(&mut self, now: u64, job: &Job) {
    if job.step == Step::Load && job.awaiting_reply {
      self.record_unanswered(now, job.model, self.orders);
    }
  }

  /// Whether a load of a model was ordered without an answer and may still be carried out.
  pub(crate) fn may_load(&self, now: u64, model: models::Key) -> bool {
    let load = self.unanswered.get(&model);
    load.is_some_and(|load| now < load.until)
  }

  /// Records the result of an order for an adapter of a model.
  pub(crate) fn record_adapter_result(
    &mut self,
    now: u64,
    (base, adapter): (models::Key, models::Key),
    command: &Command,
    taken: Taken,
  ) {
    self.adapter_orders.retain(|(other, _)| *other != adapter);
    if command.orders < self.orders {
      // The last inventory includes the order, and perhaps later ones for the same adapter.
      return;
    }
    if command.orders > self.orders {
      // The last inventory lacks orders before this one.
      return self.schedule_recheck(now, taken);
    }
    match (taken, command.act) {
      // The adapter is in use and keeps its slot until the server states otherwise.
      (Taken::Accepted, Act::Unload) => {
        self.count_order(now, command);
        self.schedule_recheck(now, taken);
      }
      (Taken::Accepted | Taken::Done, _) => {
        self.count_order(now, command);
        self.paused_until = self.paused_until.max(now + ADAPTER_LOAD_MS);
        let Some(adapters) = self.models.get_mut(&base) else {
          return;
        };
        adapters.retain(|known| *known != adapter);
        self.arriving.remove(&adapter);
        if command.act == Act::Load {
          adapters.push(adapter);
          self.arriving.insert(adapter);
          self.used_at.insert(adapter, now);
        }
      }
      _ => self.schedule_recheck(now, taken),
    }
  }

  /// The holding as sent to instances, which no longer includes models that are about to be
  /// unloaded.
  pub(crate) fn holding(&self, models: &Models) -> Holding {
    let name = |key: &models::Key| models[*key].model.name.clone();
    let kept = self.models.iter();
    let kept = kept.filter(|(model, _)| !self.leaving.contains(model));
    let adapters =
      |keys: &Vec<models::Key>| keys.iter().map(|key| models.adapter_name(*key)).collect();
    Holding {
      id: self.spec.id.clone(),
      born: self.spec.born,
      models: kept
        .map(|(model, keys)| (name(model), adapters(keys)))
        .collect(),
      leaving: Vec::new(),
      coming: self.job.as_ref().map(|job| name(&job.model)),
    }
  }

  pub(crate) fn running_total(&self) -> u32 {
    self.running.values().sum()
  }

  /// Running requests of a model and its adapters.
  pub(crate) fn running_of(&self, model: models::Key, models: &Models) -> u32 {
    let running = self.running.iter();
    let running = running.filter(|(key, _)| models[**key].base == model);
    running.map(|(_, count)| count).sum()
  }

  /// Schedules the unload for when instances know of it: they will have been sent the change by
  /// `sent`, ms.
  pub(crate) fn schedule_unload(&mut self, sent: u64) {
    let job = self.job.as_mut();
    let leaving_job = job.filter(|job| job.step == Step::Leave && !job.victims.is_empty());
    if let Some(job) = leaving_job {
      job.due = sent + LEAVE_NOTICE_MS;
    }
  }

  /// Whether it counts towards a model's `max_replicas`: it holds the model, is loading it, may hold
  /// it or may load it yet.
  pub(crate) fn may_hold(&self, now: u64, model: models::Key) -> bool {
    let loading = self.job.as_ref().is_some_and(|job| job.model == model);
    let held = self.models.contains_key(&model);
    // Its entry may be older than what it holds.
    held || loading || !self.answered || self.may_load(now, model)
  }

  pub(crate) fn busy_with(&self, model: models::Key, models: &Models) -> bool {
    self.running_of(model, models) > 0
  }

  /// When a model or one of its adapters was last used, ms.
  pub(crate) fn last_used(&self, model: models::Key) -> u64 {
    let adapters = self.models.get(&model).into_iter().flatten();
    let used = adapters
      .chain([&model])
      .filter_map(|key| self.used_at.get(key));
    used.max().copied().unwrap_or_default()
  }

  /// Whether it holds a model, and the adapter if `key` names one.
  pub(crate) fn holds(&self, key: models::Key, models: &Models) -> bool {
    let base = models[key].base;
    let held = self.models.get(&base);
    held.is_some_and(|adapters| key == base || adapters.contains(&key))
  }

  pub(crate) fn adapter_count(&self) -> usize {
    self.models.values().map(Vec::len).sum()
  }

  /// Memory of a model and its adapters, MB. A model that the deployment does not name may take all
  /// of the server's.
  pub(crate) fn memory_of(&self, model: models::Key, models: &Models) -> u64 {
    let adapters = self.models.get(&model).map_or(0, Vec::len) as u64;
    match models[model].size {
      Some(size) => size.memory_mb + adapters * size.adapter_mb,
      None => models
        .engine(self.pool)
        .map_or(0, |engine| engine.memory_mb),
    }
  }

  pub(crate) fn memory_used(&self, models: &Models) -> u64 {
    let held = self.models.keys();
    held.map(|model| self.memory_of(*model, models)).sum()
  }

  /// Attempts of the order in progress.
  pub(crate) fn attempts(&self) -> u32 {
    self.job.as_ref().map_or(0, |job| job.attempts)
  }
}

/// Returns the keys of the models that a server states.
pub(crate) fn intern_models(
  pool: PoolKey,
  stated: &BTreeMap<String, Vec<String>>,
  models: &mut Models,
) -> Loaded {
  let mut loaded = Loaded::new();
  for (name, adapters) in stated {
    let base = models.intern(pool, name, None);
    let adapters = adapters.iter();
    let adapters = adapters.map(|adapter| models.intern(pool, name, Some(adapter)));
    loaded.insert(base, adapters.collect());
  }
  loaded
}
