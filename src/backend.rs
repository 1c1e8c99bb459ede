//! Backend servers: what they say of themselves, and what is known from use.

use crate::{life::Life, report::Tier};
use std::{collections::BTreeMap, net::SocketAddr};

/// Time for which a server is believed not to hold what it said it lacked, ms: a load that was
/// taken as done too early ends within some ten; and its doublings where it says so again.
const MISSING_MS: u64 = 100;
const MISSING_DOUBLINGS: u32 = 5;
/// Then it is forgotten, ms.
const MISSING_FORGOTTEN_MS: u64 = 5_000;

slotmap::new_key_type! {
  /// Identifies a backend server within one instance.
  pub struct Key;
}

/// Whether new work may go to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
  Ready,
  /// It leaves: no new work.
  Draining,
}

/// What a backend server states of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Spec {
  pub id: String,
  /// When the server started, Unix ms; 0: it does not say.
  pub born: u64,
  pub pool: String,
  pub address: SocketAddr,
  pub zone: String,
  pub slots: u32,
  pub stage: Stage,
  /// Models held, each with its adapters.
  pub models: BTreeMap<String, Vec<String>>,
  /// Checkpoints with a copy in the server's memory or on its disk.
  pub in_memory: Vec<String>,
  pub on_disk: Vec<String>,
}

impl Spec {
  /// The life in which the server stated this.
  pub fn life(&self) -> Life {
    Life::of(&self.id, self.born)
  }

  /// The nearest copy of a model's checkpoint.
  pub fn tier(&self, model: &str) -> Tier {
    let among = |names: &[String]| names.iter().any(|name| name == model);
    match () {
      () if among(&self.in_memory) => Tier::Memory,
      () if among(&self.on_disk) => Tier::Disk,
      () => Tier::Remote,
    }
  }
}

/// The holdings of a server as the planner last knew them; newer than what the
/// server itself has stated.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Holding {
  pub id: String,
  /// When the server that holds this started, Unix ms; 0: it does not say.
  pub born: u64,
  pub models: BTreeMap<String, Vec<String>>,
  /// Models about to be unloaded: no new work.
  pub leaving: Vec<String>,
  /// The model that is being loaded.
  pub coming: Option<String>,
}

impl Holding {
  /// The life of the server that holds this.
  pub fn life(&self) -> Life {
    Life::of(&self.id, self.born)
  }
}

/// A load under way, as far as it was published.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loading {
  pub model: String,
  pub tier: Tier,
  /// When it was first published, ms.
  pub since: u64,
}

/// A server's id, short enough to be sent often.
pub fn short_hash(id: &str) -> u32 {
  xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}

/// A model that a server was found not to hold, against what was published.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Missing {
  /// Until when that is believed, ms.
  pub until: u64,
  /// How often in a row it was found so.
  pub times: u32,
}

/// A backend server as one instance sees it.
#[derive(Clone, Debug)]
pub struct Backend {
  pub spec: Spec,
  /// When the server's own statement was last heard, ms.
  pub spec_received_at: u64,
  pub holding: Option<Holding>,
  /// Requests of all instances there, as published.
  pub load: u32,
  /// This instance's requests there, now and when the others' were last published.
  pub running: u32,
  pub running_at_publish: u32,
  /// Failures in a row.
  pub failures: u32,
  /// Gets nothing before this time, ms.
  pub avoid_until: u64,
  /// Models it was found not to hold.
  pub missing: BTreeMap<String, Missing>,
  /// Its entry is missing since then, ms; it may come back.
  pub missing_since: Option<u64>,
  /// It said that it leaves.
  pub leaving: bool,
  /// Its entry may be that of an older copy of the store until then, ms.
  pub unconfirmed_until: u64,
  /// Another server answered at its address. Not the stage that it stated: a holder that took
  /// its own finding for that would not publish the statement when it comes.
  pub replaced: bool,
  pub loading: Option<Loading>,
}

impl Backend {
  /// A server not used so far.
  pub fn new(spec: Spec, now: u64) -> Self {
    Self {
      spec,
      spec_received_at: now,
      holding: None,
      load: 0,
      running: 0,
      running_at_publish: 0,
      failures: 0,
      avoid_until: 0,
      missing: BTreeMap::new(),
      missing_since: None,
      leaving: false,
      unconfirmed_until: 0,
      replaced: false,
      loading: None,
    }
  }

  /// Takes up the planner's word on what is held.
  pub fn update(&mut self, holding: Holding, now: u64) {
    let same = |loading: &Loading| Some(&loading.model) == holding.coming.as_ref();
    if !self.loading.as_ref().is_some_and(same) {
      self.loading = holding.coming.as_ref().map(|model| Loading {
        model: model.clone(),
        tier: self.spec.tier(model),
        since: now,
      });
    }
    // What has come since it was found missing is there now.
    let held = |name: &str, models: &BTreeMap<String, Vec<String>>| {
      let (model, adapter) = name.split_once('/').unwrap_or((name, ""));
      let adapters = models.get(model);
      adapters.is_some_and(|known| adapter.is_empty() || known.iter().any(|one| one == adapter))
    };
    let before = self.holding.as_ref().map(|holding| &holding.models);
    self.missing.retain(|name, missing| {
      let came = !before.is_some_and(|models| held(name, models)) && held(name, &holding.models);
      !came && now < missing.until + MISSING_FORGOTTEN_MS
    });
    self.holding = Some(holding);
  }

  /// A model was found not to be there; whether that is new.
  pub fn mark_missing(&mut self, name: String, now: u64) -> bool {
    let missing = self
      .missing
      .entry(name)
      .or_insert(Missing { until: 0, times: 0 });
    missing.until = now + (MISSING_MS << missing.times.min(MISSING_DOUBLINGS));
    missing.times += 1;
    missing.times == 1
  }

  /// Whether a request for a model, and an adapter of it, can run there. The
  /// planner's word counts before `until`, ms, and after it until the server says
  /// otherwise: without a planner nothing changes.
  pub fn holds(&self, model: &str, adapter: Option<&str>, until: u64, now: u64) -> bool {
    let word = self
      .holding
      .as_ref()
      .filter(|_| self.spec_received_at < until);
    let models = word.map_or(&self.spec.models, |holding| &holding.models);
    let leaves = word.is_some_and(|holding| holding.leaving.iter().any(|name| name == model));
    let found = models.get(model).is_some_and(|adapters| match adapter {
      Some(adapter) => adapters.iter().any(|name| name == adapter),
      None => true,
    });
    found && !leaves && !self.misses(model, adapter, now)
  }

  /// Whether a model was lately found not to be there. Each request looks at all servers, and
  /// few miss anything.
  fn misses(&self, model: &str, adapter: Option<&str>, now: u64) -> bool {
    if self.missing.is_empty() {
      return false;
    }
    let missing = self.missing.get(&missing_name(model, adapter));
    missing.is_some_and(|missing| now < missing.until)
  }

  /// Requests of all instances there, as far as known: what was published, and since then
  /// what this instance added, as likely for each of the others.
  pub fn estimated_load(&self, instances: usize) -> u32 {
    let added = i64::from(self.running) - i64::from(self.running_at_publish);
    let load = i64::from(self.load) + added * (instances as i64).min(1);
    u32::try_from(load).unwrap_or_default().max(self.running)
  }

  /// Whether it leaves, as its entry states, as it said or as was found.
  pub fn is_leaving(&self) -> bool {
    self.leaving || self.replaced || self.spec.stage == Stage::Draining
  }

  /// What it stated, but for its stage, which is as found.
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

  /// Whether new work may go there.
  pub fn is_usable(&self, now: u64) -> bool {
    !self.is_leaving() && now >= self.avoid_until && now >= self.unconfirmed_until
  }
}

/// The name under which a missing model or adapter is remembered.
pub fn missing_name(model: &str, adapter: Option<&str>) -> String {
  match adapter {
    Some(adapter) => format!("{model}/{adapter}"),
    None => model.into(),
  }
}

/// The group of servers, of so many, that a server belongs to.
pub fn group(id: &str, groups: u32) -> u32 {
  short_hash(id) % groups.max(1)
}
