//! Backend servers: what they state about themselves, and what is learned from using them.

use crate::{build, concurrency, life::Life, pace::Pace, report::Tier};
use std::{collections::BTreeMap, net::SocketAddr};

/// Time for which a model is considered missing after its server has reported that it lacks it:
/// a load that was considered done too early ends within about 10 ms. Doubled with each further
/// report, up to `MISSING_DOUBLINGS` times.
const MISSING_MS: u64 = 100;
const MISSING_DOUBLINGS: u32 = 5;
/// A missing model is forgotten this long after it is no longer considered missing.
const MISSING_TTL_MS: u64 = 5_000;

/// Lowest pace that estimates use.
const MIN_PACE: f32 = 0.1;

slotmap::new_key_type! {
  /// Identifies a backend server within one instance.
  pub struct Key;
}

/// Whether a backend server accepts new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
  Ready,
  /// The server is leaving and gets no new work.
  Draining,
}

/// What a backend server states about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
  pub id: String,
  /// When the server started, in ms since the Unix epoch; 0 if unknown.
  pub born: u64,
  pub build: build::Id,
  pub pool: String,
  pub address: SocketAddr,
  pub zone: String,
  pub slots: u32,
  pub stage: Stage,
  /// Models that the server holds, each with its adapters.
  pub models: BTreeMap<String, Vec<String>>,
  /// Checkpoints of which the server has a copy in memory or on disk.
  pub in_memory: Vec<String>,
  pub on_disk: Vec<String>,
}

impl Spec {
  /// Returns the life of the server that stated this.
  pub fn life(&self) -> Life {
    Life::of(&self.id, self.born)
  }

  /// Returns where the nearest copy of a model's checkpoint is.
  pub fn tier(&self, model: &str) -> Tier {
    let contains_model = |names: &[String]| names.iter().any(|name| name == model);
    match () {
      () if contains_model(&self.in_memory) => Tier::Memory,
      () if contains_model(&self.on_disk) => Tier::Disk,
      () => Tier::Remote,
    }
  }
}

/// Models held by a server as last published by the planner; newer than what the server itself
/// has stated.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holding {
  pub id: String,
  /// When the server that holds this started, in ms since the Unix epoch; 0 if unknown.
  pub born: u64,
  pub models: BTreeMap<String, Vec<String>>,
  /// Models about to be unloaded, which get no new work.
  pub leaving: Vec<String>,
  /// Model that is being loaded.
  pub coming: Option<String>,
}

impl Holding {
  /// Returns the life of the server that holds this.
  pub fn life(&self) -> Life {
    Life::of(&self.id, self.born)
  }
}

/// A load in progress, as published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loading {
  pub model: String,
  pub tier: Tier,
  /// When it was first published, in ms.
  pub since: u64,
}

/// Returns a short hash of a server's id, for messages that are sent often.
pub fn short_hash(id: &str) -> u32 {
  xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}

/// A model that a server reported missing, contrary to what was published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing {
  /// Until when the model is considered missing, in ms.
  pub until: u64,
  /// Number of consecutive reports.
  pub times: u32,
}

/// A backend server as one instance sees it.
#[derive(Clone, Debug)]
pub struct Backend {
  pub spec: Spec,
  /// When the server's own statement was last received, in ms.
  pub spec_received_at: u64,
  pub holding: Option<Holding>,
  /// When that was last published as changed, in ms.
  pub holding_received_at: u64,
  /// Requests of all instances on the server, as published.
  pub load: u32,
  /// This instance's requests on the server, now and when `load` was last published.
  pub running: u32,
  pub running_at_publish: u32,
  /// Consecutive failures.
  pub failures: u32,
  /// Gets no requests before this time, in ms.
  pub avoid_until: u64,
  /// Models that the server was found not to hold.
  pub missing: BTreeMap<String, Missing>,
  /// Since when the server's entry is missing, in ms; the entry may return.
  pub missing_since: Option<u64>,
  /// The server has announced that it is leaving.
  pub leaving: bool,
  /// Until this time, in ms, the server's entry may come from an older copy of the store.
  pub unconfirmed_until: u64,
  /// Until when the server counts as replaced, in ms: another one answered at its address. Kept apart
  /// from the stage in `spec`: a holder that stored its own finding there would not publish the
  /// server's statement when it arrives.
  pub replaced_until: Option<u64>,
  pub loading: Option<Loading>,
  pub pace: Pace,
  /// Prompt tokens of this instance's requests that have no event yet, and the tokens that its
  /// requests are expected to hold.
  pub unread_tokens: u64,
  pub held_tokens: u64,
  /// Requests of all instances that wait for the server's models, as published, and how many of this
  /// instance's may be sent until the next publication.
  pub waiting: u32,
  pub allotment: u32,
  /// This instance's slots while the server is brittle.
  pub share: concurrency::Share,
}

impl Backend {
  /// Creates a server that was not used so far.
  pub fn new(spec: Spec, now: u64) -> Self {
    Self {
      spec,
      spec_received_at: now,
      holding: None,
      holding_received_at: 0,
      load: 0,
      running: 0,
      running_at_publish: 0,
      failures: 0,
      avoid_until: 0,
      missing: BTreeMap::new(),
      missing_since: None,
      leaving: false,
      unconfirmed_until: 0,
      replaced_until: None,
      loading: None,
      pace: Pace::default(),
      unread_tokens: 0,
      held_tokens: 0,
      waiting: 0,
      allotment: 0,
      share: concurrency::Share::default(),
    }
  }

  /// How slow the server is now, in relation to its pool.
  pub fn slowness(&self) -> f32 {
    self.pace.lasting.max(self.pace.current).max(MIN_PACE)
  }

  /// Applies the models held by the server as published by the planner.
  pub fn update(&mut self, holding: Holding, now: u64) {
    let is_same_model = |loading: &Loading| Some(&loading.model) == holding.coming.as_ref();
    if !self.loading.as_ref().is_some_and(is_same_model) {
      self.loading = holding.coming.as_ref().map(|model| Loading {
        model: model.clone(),
        tier: self.spec.tier(model),
        since: now,
      });
    }
    // A missing model or adapter that was published as loaded since then is no longer missing.
    let held = |name: &str, models: &BTreeMap<String, Vec<String>>| {
      let (model, adapter) = name.split_once('/').unwrap_or((name, ""));
      let adapters = models.get(model);
      adapters.is_some_and(|known| {
        adapter.is_empty() || known.iter().any(|adapter_name| adapter_name == adapter)
      })
    };
    let before = self.holding.as_ref().map(|holding| &holding.models);
    self.missing.retain(|name, missing| {
      let arrived = !before.is_some_and(|models| held(name, models)) && held(name, &holding.models);
      !arrived && now < missing.until + MISSING_TTL_MS
    });
    self.holding = Some(holding);
    self.holding_received_at = now;
  }

  /// Records that the server lacks a model or adapter; returns whether that is new.
  pub fn mark_missing(&mut self, name: String, now: u64) -> bool {
    let missing = self
      .missing
      .entry(name)
      .or_insert(Missing { until: 0, times: 0 });
    missing.until = now + (MISSING_MS << missing.times.min(MISSING_DOUBLINGS));
    missing.times += 1;
    missing.times == 1
  }

  /// Returns whether a request for a model, and an adapter of it, can run on the server. What
  /// the planner published counts unless the server's own statement was received at or after
  /// `until`, in ms: without a planner nothing changes.
  pub fn holds(&self, model: &str, adapter: Option<&str>, until: u64, now: u64) -> bool {
    let publication = self
      .holding
      .as_ref()
      .filter(|_| self.spec_received_at < until);
    let models = publication.map_or(&self.spec.models, |holding| &holding.models);
    let is_leaving =
      publication.is_some_and(|holding| holding.leaving.iter().any(|name| name == model));
    let found = models.get(model).is_some_and(|adapters| match adapter {
      Some(adapter) => adapters.iter().any(|name| name == adapter),
      None => true,
    });
    found && !is_leaving && !self.is_missing(model, adapter, now)
  }

  /// Returns whether a model was recently found missing. Each request checks all servers, and
  /// few of them have missing models, so the empty case returns early.
  fn is_missing(&self, model: &str, adapter: Option<&str>, now: u64) -> bool {
    if self.missing.is_empty() {
      return false;
    }
    let missing = self.missing.get(&missing_name(model, adapter));
    missing.is_some_and(|missing| now < missing.until)
  }

  /// Estimates the requests of all instances on the server: the published number plus what this
  /// instance has added since, which is as likely for each of the others.
  pub fn estimated_load(&self, instances: usize) -> u32 {
    let added = i64::from(self.running) - i64::from(self.running_at_publish);
    let load = i64::from(self.load) + added * (instances as i64).min(1);
    u32::try_from(load).unwrap_or_default().max(self.running)
  }

  /// Returns whether the server is leaving, according to its entry, its own announcement or
  /// because it was replaced.
  pub fn is_leaving(&self) -> bool {
    self.leaving || self.replaced_until.is_some() || self.spec.stage == Stage::Draining
  }

  /// Returns the server's spec with the stage that this instance has found.
  pub fn effective_spec(&self) -> Spec {
    let stage = match self.is_leaving() {
      true => Stage::Draining,
      false => Stage::Ready,
    };
    Spec {
      stage,
      ..self.spec.clone()
    }
  }

  /// Returns whether the server may get new work.
  pub fn is_usable(&self, now: u64) -> bool {
    !self.is_leaving() && now >= self.avoid_until && now >= self.unconfirmed_until
  }
}

/// Returns the key of a missing model or adapter in `Backend::missing`.
pub fn missing_name(model: &str, adapter: Option<&str>) -> String {
  match adapter {
    Some(adapter) => format!("{model}/{adapter}"),
    None => model.into(),
  }
}

/// Returns which of `groups` groups of servers a server belongs to.
pub fn group(id: &str, groups: u32) -> u32 {
  short_hash(id) % groups.max(1)
}
