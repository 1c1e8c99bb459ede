//! The deployment in force: routes, pools of backend servers, and what callers
//! may send.

use crate::{customer::Book, route::Route};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// A model's checkpoint and what loading it takes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Checkpoint {
  pub memory_mb: u64,
  /// Load time from the server's memory copy, its disk, and the weight store, ms.
  pub warm_ms: u64,
  pub disk_ms: u64,
  pub remote_ms: u64,
  /// Names of its adapters.
  pub adapters: Vec<String>,
  /// Memory of one adapter, MB.
  pub adapter_mb: u64,
}

/// What a pool's model engines have in common.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
  /// Requests run at once.
  pub slots: u32,
  /// Memory for running requests and cached prompts, tokens.
  pub kv_tokens: u64,
  /// Memory for models and adapters, MB.
  pub memory_mb: u64,
  /// Adapters held at once.
  pub adapter_slots: u32,
  /// Loads a second that the weight store allows to the whole pool.
  pub loads_per_s: f64,
  pub models: BTreeMap<String, Checkpoint>,
}

/// Backend servers of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
  /// None: a plain service.
  pub engine: Option<Arc<Engine>>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
  pub head_bytes: usize,
  pub body_bytes: usize,
  /// From a request's first byte to the end of its head.
  pub head_timeout: Duration,
  /// Between two requests of a connection.
  pub idle_timeout: Duration,
}

impl Default for Bounds {
  /// Until a configuration is known; the values operators use as a rule.
  fn default() -> Self {
    Self {
      head_bytes: 16 << 10,
      body_bytes: 4 << 20,
      head_timeout: Duration::from_secs(3),
      idle_timeout: Duration::from_secs(15),
    }
  }
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Deployment {
  pub version: u64,
  pub routes: Vec<Arc<Route>>,
  pub pools: BTreeMap<String, Pool>,
  pub bounds: Bounds,
  /// Who may call; none: requests need no key.
  pub customers: Option<Arc<Book>>,
}
