//! Models and adapters of all pools by small keys, with their state: which servers hold them, which
//! have a copy, and how much they are used.
//!
//! A fleet has thousands of models, and a step looks up servers for each of them. So each change of
//! a server updates all indexes.

use crate::{
  demand::Model,
  deployment::{Checkpoint, Deployment, Engine},
  placement::{obstacle::Delay, server, work::Work},
  report::Tier,
  samples::model_hash,
  strain::Strain,
};
use std::{
  collections::HashMap,
  ops::{Index, IndexMut},
  sync::Arc,
};

/// Identifies a model, or an adapter of it, of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Key(u32);

/// Identifies a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PoolKey(u16);

impl PoolKey {
  pub(crate) fn number(self) -> u16 {
    self.0
  }
}

/// Memory that a model takes on a server, and its load times.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
  pub(crate) memory_mb: u64,
  pub(crate) adapter_mb: u64,
  warm_ms: u64,
  disk_ms: u64,
  remote_ms: u64,
}

impl Size {
  pub(crate) fn of(checkpoint: &Checkpoint) -> Self {
    Self {
      memory_mb: checkpoint.memory_mb,
      adapter_mb: checkpoint.adapter_mb,
      warm_ms: checkpoint.warm_ms,
      disk_ms: checkpoint.disk_ms,
      remote_ms: checkpoint.remote_ms,
    }
  }

  /// Time to load the model from a tier, ms.
  pub(crate) fn load_ms(&self, tier: Tier) -> u64 {
    match tier {
      Tier::Memory => self.warm_ms,
      Tier::Disk => self.disk_ms,
      Tier::Remote => self.remote_ms,
    }
  }
}

/// State of a model or an adapter.
#[derive(Debug)]
pub(crate) struct Entry {
  pub(crate) pool: PoolKey,
  pub(crate) model: Model,
  /// The adapter's model; for a model its own key.
  pub(crate) base: Key,
  /// `None` if the deployment does not name the model.
  pub(crate) size: Option<Size>,
  /// Ready servers that hold it and are not about to unload it.
  pub(crate) holders: Vec<server::Key>,
  /// Ready servers that have a copy of its checkpoint.
  pub(crate) copies: Vec<(server::Key, Tier)>,
  /// Loads in progress.
  pub(crate) loads: usize,
  /// Number of servers of other groups that hold it.
  pub(crate) holders_elsewhere: usize,
  /// Other groups whose servers have a copy of its checkpoint.
  pub(crate) copy_groups: Vec<u32>,
  /// Other groups whose servers hold it.
  pub(crate) holder_groups: Vec<u32>,
  /// Concurrent requests, as a decaying mean.
  pub(crate) usage: f64,
  /// How slow servers are for it.
  pub(crate) strain: Option<Strain>,
  /// Its requests and their prompts.
  pub(crate) work: Option<Work>,
  /// What has delayed its load.
  pub(crate) delay: Delay,
  /// The last demand step at which requests waited for it, or callers were expected to return for
  /// it.
  pub(crate) last_demand_step: u64,
}

/// A pool of servers.
#[derive(Debug)]
pub(crate) struct Pool {
  pub(crate) name: String,
  pub(crate) engine: Option<Arc<Engine>>,
  /// Models by name, each with its adapters by name.
  keys: HashMap<String, (Key, HashMap<String, Key>)>,
}

/// All models of all pools.
#[derive(Debug, Default)]
pub(crate) struct Models {
  entries: Vec<Entry>,
  pools: Vec<Pool>,
  /// Models by their hash in samples.
  by_hash: HashMap<u32, Key>,
}

impl Index<Key> for Models {
  type Output = Entry;

  fn index(&self, key: Key) -> &Entry {
    &self.entries[key.0 as usize]
  }
}

impl IndexMut<Key> for Models {
  fn index_mut(&mut self, key: Key) -> &mut Entry {
    &mut self.entries[key.0 as usize]
  }
}

impl Models {
  /// Applies the pools and models of a deployment.
  pub(crate) fn apply_deployment(&mut self, deployment: &Deployment) {
    for entry in &mut self.entries {
      entry.size = None;
    }
    for pool in &mut self.pools {
      pool.engine = None;
    }
    for (name, pool) in &deployment.pools {
      let key = self.intern_pool(name);
      self.pools[usize::from(key.0)].engine = pool.engine.clone();
      let Some(engine) = &pool.engine else {
        continue;
      };
      for (name, checkpoint) in &engine.models {
        let model = self.intern(key, name, None);
        self[model].size = Some(Size::of(checkpoint));
      }
    }
  }

  /// Returns the key of a pool, which is added if it is unknown.
  pub(crate) fn intern_pool(&mut self, name: &str) -> PoolKey {
    if let Some(key) = self.find_pool(name) {
      return key;
    }
    self.pools.push(Pool {
      name: name.into(),
      engine: None,
      keys: HashMap::new(),
    });
    PoolKey(self.pools.len() as u16 - 1)
  }

  /// Returns the key of a known pool. There are only a few pools.
  pub(crate) fn find_pool(&self, name: &str) -> Option<PoolKey> {
    let index = self.pools.iter().position(|pool| pool.name == name)?;
    Some(PoolKey(index as u16))
  }

  /// All pools.
  pub(crate) fn pools(&self) -> impl Iterator<Item = PoolKey> + use<> {
    (0..self.pools.len() as u16).map(PoolKey)
  }

  pub(crate) fn pool(&self, key: PoolKey) -> &Pool {
    &self.pools[usize::from(key.0)]
  }

  /// The engine of a pool, if it has one.
  pub(crate) fn engine(&self, key: PoolKey) -> Option<&Arc<Engine>> {
    self.pool(key).engine.as_ref()
  }

  /// All models and adapters.
  pub(crate) fn keys(&self) -> impl Iterator<Item = Key> + use<> {
    (0..self.entries.len() as u32).map(Key)
  }

  pub(crate) fn entries_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
    self.entries.iter_mut()
  }

  /// Returns the key of a known model, or of an adapter of it.
  pub(crate) fn find(&self, pool: PoolKey, model: &str, adapter: Option<&str>) -> Option<Key> {
    let (base, adapters) = self.pool(pool).keys.get(model)?;
    match adapter {
      Some(adapter) => adapters.get(adapter).copied(),
      None => Some(*base),
    }
  }

  /// Returns the key of the model with this hash in samples.
  pub(crate) fn find_hash(&self, hash: u32) -> Option<Key> {
    self.by_hash.get(&hash).copied()
  }

  /// Returns the key of a model that a caller names. Only names in the deployment are added,
  /// because callers may send any name.
  pub(crate) fn intern_deployed(&mut self, pool: &str, model: &Model) -> Option<Key> {
    let pool = self.find_pool(pool)?;
    let base = self.find(pool, &model.name, None)?;
    let adapter = model.adapter.as_deref();
    if let Some(key) = self.find(pool, &model.name, adapter) {
      return Some(key);
    }
    self[base].size?;
    let engine = self.engine(pool)?;
    let adapters = &engine.models.get(&model.name)?.adapters;
    let adapter = adapter.filter(|adapter| adapters.iter().any(|name| name == adapter))?;
    Some(self.intern(pool, &model.name, Some(adapter)))
  }

  /// Returns the key of a model, or of an adapter of it, which is added if it is unknown.
  pub(crate) fn intern(&mut self, pool: PoolKey, model: &str, adapter: Option<&str>) -> Key {
    if let Some(key) = self.find(pool, model, adapter) {
      return key;
    }
    let Some(adapter) = adapter else {
      let key = self.push(pool, model, None, None);
      let hash = model_hash(&self.pool(pool).name, model);
      self.by_hash.insert(hash, key);
      let entry = (key, HashMap::new());
      self.pools[usize::from(pool.0)]
        .keys
        .insert(model.into(), entry);
      return key;
    };
    let base = self.intern(pool, model, None);
    let key = self.push(pool, model, Some(adapter), Some(base));
    if let Some((_, adapters)) = self.pools[usize::from(pool.0)].keys.get_mut(model) {
      adapters.insert(adapter.into(), key);
    }
    key
  }

  fn push(&mut self, pool: PoolKey, model: &str, adapter: Option<&str>, base: Option<Key>) -> Key {
    let key = Key(self.entries.len() as u32);
    self.entries.push(Entry {
      pool,
      model: Model {
        name: model.into(),
        adapter: adapter.map(str::to_string),
      },
      base: base.unwrap_or(key),
      size: None,
      holders: Vec::new(),
      copies: Vec::new(),
      loads: 0,
      holders_elsewhere: 0,
      copy_groups: Vec::new(),
      holder_groups: Vec::new(),
      usage: 0.0,
      strain: None,
      work: None,
      delay: Delay::default(),
      last_demand_step: 0,
    });
    key
  }

  /// The name of an adapter; empty for a model.
  pub(crate) fn adapter_name(&self, key: Key) -> String {
    self[key].model.adapter.clone().unwrap_or_default()
  }
}
