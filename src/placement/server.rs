//! What one backend server holds, as the planner of its group knows it, and the
//! change that is under way there.

use crate::{
  backend::{Holding, Spec, Stage},
  command::{Act, Command, Taken},
  placement::{
    models::{self, Models, PoolKey},
    plan::{ASK_MS, LAG_MS},
    urgency::{Wait, gain},
  },
  report::Tier,
  selector::Labels,
};
use std::collections::BTreeMap;

slotmap::new_key_type! {
  /// Identifies a server of the group, in one of its lives.
  pub(crate) struct Key;
}

/// Pause of a server whose order got no answer, ms: one that is carried out late
/// finds another count of orders.
pub(crate) const RECHECK_MS: u64 = 1_000;
/// Time for instances to hear that a model leaves before it is unloaded, ms.
pub(crate) const LEAVE_MS: u64 = 25;
/// Doublings of that pause for a server that does not answer again and again.
const SILENT_MOST: u32 = 3;
/// An adapter comes within some milliseconds; time until requests may try it, ms.
const ADAPTER_MS: u64 = 15;

/// A server's pace before it was seen at work: reports that lag never show less.
const PACE_FIRST: f64 = 1.0;
/// Change of a server's pace after a load that ended later than its estimate, and after
/// one that had ended by then: one request in some twenty finds its model too early.
const PACE_UP: f64 = 0.1;
const PACE_DOWN: f64 = 0.005;
const PACE_LEAST: f64 = 0.5;
const PACE_MOST: f64 = 4.0;

/// Time over which the use of an order path counts by half as much, ms: some five loads
/// from a near copy.
const PATH_HALF_MS: f64 = 4_000.0;

/// A step of changing what a server holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Step {
  /// It is published that the victim leaves.
  Leave,
  Unload,
  Load,
  /// The load is under way.
  Await,
}

/// A change of what a server holds.
#[derive(Clone, Debug)]
pub(crate) struct Job {
  pub(crate) model: models::Key,
  pub(crate) victims: Vec<models::Key>,
  pub(crate) step: Step,
  pub(crate) due: u64,
  /// An order or a question is under way.
  pub(crate) waiting: bool,
  pub(crate) tries: u32,
  /// Its last order was an unload.
  pub(crate) unloaded: bool,
  /// Pause kept between that and the load's order, ms.
  pub(crate) paused: u64,
  /// It takes the weight store's time.
  pub(crate) remote: bool,
  /// When its load began, ms.
  pub(crate) began: u64,
  /// When the load should be done, and when it is given up, ms.
  pub(crate) until: u64,
}

/// Models held, each with its adapters.
pub(crate) type Held = BTreeMap<models::Key, Vec<models::Key>>;

#[derive(Clone, Debug)]
pub(crate) struct Server {
  pub(crate) spec: Spec,
  pub(crate) pool: PoolKey,
  /// Its pool has an engine: it takes orders.
  pub(crate) engine: bool,
  pub(crate) models: Held,
  /// Models with a copy of their checkpoints here.
  pub(crate) copies: BTreeMap<models::Key, Tier>,
  pub(crate) orders: u64,
  /// The server was asked since this machine took the lease.
  pub(crate) synced: bool,
  /// It answered since then, or did not answer a question.
  pub(crate) heard: bool,
  pub(crate) asking: bool,
  pub(crate) leaving: Vec<models::Key>,
  pub(crate) job: Option<Job>,
  /// Adapter orders under way.
  pub(crate) adapters: Vec<(models::Key, Act)>,
  pub(crate) rest_until: u64,
  /// It needs help: it takes less than its requests.
  pub(crate) limited: bool,
  /// It turns requests away, as far as instances say, until then, ms.
  pub(crate) turns_away_until: u64,
  /// When it was last asked because a request did not find a model there, ms.
  pub(crate) rechecked: u64,
  /// Questions without an answer, in a row.
  pub(crate) silent: u32,
  /// When models and adapters that are held were last in use, ms.
  pub(crate) used: BTreeMap<models::Key, u64>,
  /// A load that was taken as done when its time was over, and when the server is asked
  /// whether it is, ms.
  pub(crate) taken_as_done: Option<(models::Key, u64)>,
  /// How long loads take here, as a multiple of what their checkpoints state.
  pub(crate) pace: f64,
  /// The part of the time in which its order path was occupied lately, 0 to 1.
  pub(crate) occupied: f64,
  /// What requests gained from loads here lately, fading, and when it was counted, ms.
  earned: f64,
  earned_at: u64,
  /// Requests of all instances, by model and adapter.
  pub(crate) running: BTreeMap<models::Key, u32>,
  /// The holding as last published, and the count of that change.
  pub(crate) published: Option<Holding>,
  pub(crate) changed: u64,
  /// When it is due to be gone on with, as it stands in the plan's timers, ms.
  pub(crate) timer: Option<u64>,
}

impl Server {
  pub(crate) fn open(spec: Spec, models: &mut Models) -> Self {
    let pool = models.pool(&spec.pool);
    let mut server = Self {
      pool,
      engine: false,
      models: Held::new(),
      copies: BTreeMap::new(),
      orders: 0,
      spec,
      synced: false,
      heard: false,
      asking: false,
      leaving: Vec::new(),
      job: None,
      adapters: Vec::new(),
      rest_until: 0,
      limited: false,
      turns_away_until: 0,
      rechecked: 0,
      silent: 0,
      used: BTreeMap::new(),
      taken_as_done: None,
      pace: PACE_FIRST,
      occupied: 0.0,
      earned: 0.0,
      earned_at: 0,
      running: BTreeMap::new(),
      published: None,
      changed: 0,
      timer: None,
    };
    server.models = by_key(pool, &server.spec.models, models);
    server.state(models);
    server
  }

  /// Takes up what the server's entry states besides what it holds.
  pub(crate) fn state(&mut self, models: &mut Models) {
    self.engine = models.engine(self.pool).is_some();
    let mut copies = BTreeMap::new();
    for name in &self.spec.on_disk {
      copies.insert(models.insert(self.pool, name, None), Tier::Disk);
    }
    for name in &self.spec.in_memory {
      copies.insert(models.insert(self.pool, name, None), Tier::Memory);
    }
    self.copies = copies;
  }

  /// The server has started again: it knows nothing of before, but for what lies on its
  /// disk.
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
      changed: self.changed,
      timer: self.timer,
      ..Self::open(spec, models)
    };
  }

  /// A new holder knows nothing of what the server holds.
  pub(crate) fn forget(&mut self) {
    self.synced = false;
    self.heard = false;
    self.asking = false;
    self.silent = 0;
    self.job = None;
    self.adapters.clear();
    self.leaving.clear();
    self.published = None;
    self.changed = 0;
  }

  /// When it is due to be gone on with, ms; none: nothing is, but for what is under way.
  pub(crate) fn due(&self) -> Option<u64> {
    if !self.engine {
      return None;
    }
    let job = self.job.as_ref();
    let waiting = job.is_some_and(|job| job.waiting);
    let known = |job: &&Job| self.synced || job.step == Step::Await;
    let work = job.filter(|job| !job.waiting).filter(known);
    let ask = (!self.synced && !self.asking && !waiting).then_some(self.rest_until);
    let check = self.taken_as_done.filter(|_| job.is_none());
    let times = [work.map(|job| job.due), ask, check.map(|(_, at)| at)];
    times.into_iter().flatten().min()
  }

  /// The nearest copy of a model's checkpoint.
  pub(crate) fn tier(&self, model: models::Key) -> Tier {
    self.copies.get(&model).copied().unwrap_or(Tier::Remote)
  }

  /// Labels that policies select servers by.
  pub(crate) fn labels(&self) -> Labels {
    [("server", &self.spec.id), ("zone", &self.spec.zone)]
      .map(|(key, value)| (key.to_string(), value.clone()))
      .into_iter()
      .collect()
  }

  /// Whether it takes less than its requests.
  pub(crate) fn in_need(&self, now: u64) -> bool {
    self.limited || now < self.turns_away_until
  }

  pub(crate) fn free(&self, now: u64) -> bool {
    self.spec.stage == Stage::Ready
      && self.synced
      && self.job.is_none()
      && self.adapters.is_empty()
      && now >= self.rest_until
  }

  /// A request did not find a model that should be here: an unload that got no answer
  /// may have been carried out late. The server is asked.
  pub(crate) fn missed(&mut self, now: u64, model: models::Key) {
    let early = |(loaded, until): &(models::Key, u64)| *loaded == model && now < *until;
    if self.taken_as_done.as_ref().is_some_and(early) {
      return self.paced(false);
    }
    let believed = self.models.contains_key(&model) && !self.leaving.contains(&model);
    if believed && self.free(now) && now >= self.rechecked + RECHECK_MS {
      self.rechecked = now;
      self.synced = false;
    }
  }

  /// Counts the time for which the order path was occupied, or not.
  pub(crate) fn occupy(&mut self, elapsed_ms: u64) {
    let rest = 0.5f64.powf(elapsed_ms as f64 / PATH_HALF_MS);
    let now = f64::from(u8::from(self.job.is_some()));
    self.occupied = self.occupied * rest + now * (1.0 - rest);
  }

  /// What requests gained lately in a millisecond of the order path.
  fn earning(&self, now: u64) -> f64 {
    let elapsed = now.saturating_sub(self.earned_at) as f64;
    let earned = self.earned * 0.5f64.powf(elapsed / PATH_HALF_MS);
    earned * std::f64::consts::LN_2 / PATH_HALF_MS
  }

  /// Requests gain so much from a load that begins.
  pub(crate) fn earn(&mut self, now: u64, gain: f64) {
    self.earned = self.earning(now) * PATH_HALF_MS / std::f64::consts::LN_2 + gain;
    self.earned_at = now;
  }

  /// Whether a long load gains as much as others did in so much time here.
  pub(crate) fn pays(&self, now: u64, waits: &[Wait], load_ms: u64) -> bool {
    gain(waits, load_ms) >= self.earning(now) * load_ms as f64
  }

  /// Takes up whether the load that was taken as done was.
  pub(crate) fn paced(&mut self, done: bool) {
    if self.taken_as_done.take().is_none() {
      return;
    }
    let change = if done { -PACE_DOWN } else { PACE_UP };
    self.pace = (self.pace + change).clamp(PACE_LEAST, PACE_MOST);
  }

  /// A question got no answer: the server rests, longer each time.
  pub(crate) fn unanswered(&mut self, now: u64) {
    self.rest_until = now + (RECHECK_MS << self.silent.min(SILENT_MOST));
    self.silent += 1;
    if let Some(job) = &mut self.job {
      job.waiting = false;
      job.due = self.rest_until;
    }
  }

  pub(crate) fn recheck(&mut self, now: u64, taken: Taken) {
    self.synced = false;
    self.leaving.clear();
    self.rest_until = match taken {
      Taken::Unknown | Taken::NotSent => now + RECHECK_MS,
      _ => now + LAG_MS + ASK_MS,
    };
  }

  /// Takes up what became of an order for an adapter of a model.
  pub(crate) fn adapter_ordered(
    &mut self,
    now: u64,
    (base, adapter): (models::Key, models::Key),
    command: &Command,
    taken: Taken,
  ) {
    self.adapters.retain(|(other, _)| *other != adapter);
    match (taken, command.act) {
      // It is in use, and keeps its place until the server says otherwise.
      (Taken::Accepted, Act::Unload) => {
        self.orders = self.orders.max(command.orders + 1);
        self.recheck(now, taken);
      }
      (Taken::Accepted | Taken::Done, _) => {
        self.orders = self.orders.max(command.orders + 1);
        self.rest_until = self.rest_until.max(now + ADAPTER_MS);
        let Some(adapters) = self.models.get_mut(&base) else {
          return;
        };
        adapters.retain(|known| *known != adapter);
        if command.act == Act::Load {
          adapters.push(adapter);
          self.used.insert(adapter, now);
        }
      }
      _ => self.recheck(now, taken),
    }
  }

  /// What instances are sent of it: a model that leaves is not held any more for them.
  pub(crate) fn holding(&self, models: &Models) -> Holding {
    let name = |key: &models::Key| models[*key].model.name.clone();
    let kept = self.models.iter();
    let kept = kept.filter(|(model, _)| !self.leaving.contains(model));
    let adapters = |keys: &Vec<models::Key>| keys.iter().map(|key| models.adapter(*key)).collect();
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

  pub(crate) fn load(&self) -> u32 {
    self.running.values().sum()
  }

  /// Requests that run of a model and its adapters.
  pub(crate) fn running_of(&self, model: models::Key, models: &Models) -> u32 {
    let running = self.running.iter();
    let running = running.filter(|(key, _)| models[**key].base == model);
    running.map(|(_, count)| count).sum()
  }

  /// Instances are sent by then what leaves here: the unload follows when they have heard it.
  pub(crate) fn heard_to_leave(&mut self, sent: u64) {
    let job = self.job.as_mut();
    let leaves = job.filter(|job| job.step == Step::Leave && !job.victims.is_empty());
    if let Some(job) = leaves {
      job.due = sent + LEAVE_MS;
    }
  }

  /// Whether it counts for a model's bound: it holds the model, loads it, or may do so.
  pub(crate) fn may_hold(&self, model: models::Key) -> bool {
    let coming = self.job.as_ref().is_some_and(|job| job.model == model);
    // Its entry may be older than what it holds.
    self.models.contains_key(&model) || coming || !self.heard
  }

  pub(crate) fn busy_with(&self, model: models::Key, models: &Models) -> bool {
    self.running_of(model, models) > 0
  }

  /// When a model, or an adapter of it, was last in use, ms.
  pub(crate) fn last_used(&self, model: models::Key) -> u64 {
    let adapters = self.models.get(&model).into_iter().flatten();
    let used = adapters
      .chain([&model])
      .filter_map(|key| self.used.get(key));
    used.max().copied().unwrap_or_default()
  }

  /// Whether it holds a model, and the adapter where one is named.
  pub(crate) fn has(&self, key: models::Key, models: &Models) -> bool {
    let base = models[key].base;
    let held = self.models.get(&base);
    held.is_some_and(|adapters| key == base || adapters.contains(&key))
  }

  pub(crate) fn adapter_count(&self) -> usize {
    self.models.values().map(Vec::len).sum()
  }

  /// Memory of a model and its adapters, MB.
  pub(crate) fn memory_of(&self, model: models::Key, models: &Models) -> u64 {
    let adapters = self.models.get(&model).map_or(0, Vec::len) as u64;
    let size = models[model].size;
    size.map_or(0, |size| size.memory_mb + adapters * size.adapter_mb)
  }

  pub(crate) fn memory(&self, models: &Models) -> u64 {
    let held = self.models.keys();
    held.map(|model| self.memory_of(*model, models)).sum()
  }

  /// Sends of the order that is under way.
  pub(crate) fn tries(&self) -> u32 {
    self.job.as_ref().map_or(0, |job| job.tries)
  }
}

/// Models that a server states, by key.
pub(crate) fn by_key(
  pool: PoolKey,
  stated: &BTreeMap<String, Vec<String>>,
  models: &mut Models,
) -> Held {
  let mut held = Held::new();
  for (name, adapters) in stated {
    let base = models.insert(pool, name, None);
    let adapters = adapters.iter();
    let adapters = adapters.map(|adapter| models.insert(pool, name, Some(adapter)));
    held.insert(base, adapters.collect());
  }
  held
}
