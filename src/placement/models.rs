//! Models and adapters of all pools under small keys, with what is known of each: who holds
//! it, who has a copy, how much it is used.
//!
//! A fleet has thousands of models and a step looks some up by each; all indices are kept up
//! to date by each change of a server.

use crate::{
  demand::Model,
  deployment::{Checkpoint, Deployment, Engine},
  placement::{obstacle::Delay, server},
  report::Tier,
  strain::Strain,
};
use std::{
  collections::HashMap,
  ops::{Index, IndexMut},
  sync::Arc,
};

/// Names a model, or an adapter of it, of one pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Key(u32);

/// Names a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct PoolKey(u16);

/// What a model takes on a server.
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

  /// Time of a load from a tier, ms.
  pub(crate) fn load_ms(&self, tier: Tier) -> u64 {
    match tier {
      Tier::Memory => self.warm_ms,
      Tier::Disk => self.disk_ms,
      Tier::Remote => self.remote_ms,
    }
  }
}

/// What is known of a model or an adapter.
#[derive(Debug)]
pub(crate) struct Entry {
  pub(crate) pool: PoolKey,
  pub(crate) model: Model,
  /// The model itself, where this is an adapter.
  pub(crate) base: Key,
  /// None where the deployment does not name it.
  pub(crate) size: Option<Size>,
  /// Servers that take work and hold it, and keep it.
  pub(crate) holders: Vec<server::Key>,
  /// Servers that take work and have a copy of its checkpoint.
  pub(crate) copies: Vec<(server::Key, Tier)>,
  /// Loads under way.
  pub(crate) loads: usize,
  /// Servers of other groups that hold it, and groups whose servers have a copy of it or
  /// hold it.
  pub(crate) elsewhere: usize,
  pub(crate) copies_elsewhere: Vec<u32>,
  pub(crate) groups: Vec<u32>,
  /// How much it is used: requests at once, fading.
  pub(crate) used: f64,
  /// How slow servers are for it.
  pub(crate) strain: Option<Strain>,
  /// What has kept it from being loaded.
  pub(crate) delay: Delay,
  /// The last step at which callers waited for it, or would come back for it.
  pub(crate) wanted: u64,
}

/// A pool of servers.
#[derive(Debug)]
pub(crate) struct Pooled {
  pub(crate) name: String,
  pub(crate) engine: Option<Arc<Engine>>,
  /// The models by name, with their adapters by name.
  keys: HashMap<String, (Key, HashMap<String, Key>)>,
}

/// All models of all pools.
#[derive(Debug, Default)]
pub(crate) struct Models {
  entries: Vec<Entry>,
  pools: Vec<Pooled>,
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
  /// Takes up what a deployment says of pools and models.
  pub(crate) fn deploy(&mut self, deployment: &Deployment) {
    for entry in &mut self.entries {
      entry.size = None;
    }
    for pool in &mut self.pools {
      pool.engine = None;
    }
    for (name, pool) in &deployment.pools {
      let key = self.pool(name);
      self.pools[usize::from(key.0)].engine = pool.engine.clone();
      let Some(engine) = &pool.engine else {
        continue;
      };
      for (name, checkpoint) in &engine.models {
        let model = self.insert(key, name, None);
        self[model].size = Some(Size::of(checkpoint));
      }
    }
  }

  /// The key of a pool, known or not.
  pub(crate) fn pool(&mut self, name: &str) -> PoolKey {
    if let Some(key) = self.find_pool(name) {
      return key;
    }
    self.pools.push(Pooled {
      name: name.into(),
      engine: None,
      keys: HashMap::new(),
    });
    PoolKey(self.pools.len() as u16 - 1)
  }

  /// The key of a pool; there are a few.
  pub(crate) fn find_pool(&self, name: &str) -> Option<PoolKey> {
    let place = self.pools.iter().position(|pool| pool.name == name)?;
    Some(PoolKey(place as u16))
  }

  /// All pools.
  pub(crate) fn pools(&self) -> impl Iterator<Item = PoolKey> + use<> {
    (0..self.pools.len() as u16).map(PoolKey)
  }

  pub(crate) fn of_pool(&self, key: PoolKey) -> &Pooled {
    &self.pools[usize::from(key.0)]
  }

  /// The engine of a pool, where it has one.
  pub(crate) fn engine(&self, key: PoolKey) -> Option<&Arc<Engine>> {
    self.of_pool(key).engine.as_ref()
  }

  /// All models and adapters.
  pub(crate) fn keys(&self) -> impl Iterator<Item = Key> + use<> {
    (0..self.entries.len() as u32).map(Key)
  }

  pub(crate) fn entries_mut(&mut self) -> impl Iterator<Item = &mut Entry> {
    self.entries.iter_mut()
  }

  /// The key of a model, or of an adapter of it, where it is known.
  pub(crate) fn find(&self, pool: PoolKey, model: &str, adapter: Option<&str>) -> Option<Key> {
    let (base, adapters) = self.of_pool(pool).keys.get(model)?;
    match adapter {
      Some(adapter) => adapters.get(adapter).copied(),
      None => Some(*base),
    }
  }

  /// The key of what a caller names: only what the deployment names is remembered, for
  /// callers may name anything.
  pub(crate) fn named(&mut self, pool: &str, model: &Model) -> Option<Key> {
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
    Some(self.insert(pool, &model.name, Some(adapter)))
  }

  /// The key of a model, or of an adapter of it, known or not.
  pub(crate) fn insert(&mut self, pool: PoolKey, model: &str, adapter: Option<&str>) -> Key {
    if let Some(key) = self.find(pool, model, adapter) {
      return key;
    }
    let Some(adapter) = adapter else {
      let key = self.push(pool, model, None, None);
      let entry = (key, HashMap::new());
      self.pools[usize::from(pool.0)]
        .keys
        .insert(model.into(), entry);
      return key;
    };
    let base = self.insert(pool, model, None);
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
      elsewhere: 0,
      copies_elsewhere: Vec::new(),
      groups: Vec::new(),
      used: 0.0,
      strain: None,
      delay: Delay::default(),
      wanted: 0,
    });
    key
  }

  /// The name of the adapter that a key names.
  pub(crate) fn adapter(&self, key: Key) -> String {
    self[key].model.adapter.clone().unwrap_or_default()
  }
}
