//! The current deployment: routes, pools of backend servers and limits on requests.

use crate::{customer::Directory, route::Route};
use std::{collections::BTreeMap, sync::Arc, time::Duration};

/// A model's checkpoint with its memory use and load times.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Checkpoint {
  pub memory_mb: u64,
  /// Load times from the server's memory copy, its disk and the weight store.
  pub warm_ms: u64,
  pub disk_ms: u64,
  pub remote_ms: u64,
  /// Names of its adapters.
  pub adapters: Vec<String>,
  /// Memory of one adapter.
  pub adapter_mb: u64,
}

/// Properties that the model engines of a pool share.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Engine {
  /// Number of requests that run concurrently.
  pub slots: u32,
  /// Memory for running requests and cached prompts.
  pub kv_tokens: u64,
  /// Memory for models and adapters.
  pub memory_mb: u64,
  /// Number of adapters held at the same time.
  pub adapter_slots: u32,
  /// Loads per second that the weight store allows for the whole pool.
  pub loads_per_s: f64,
  pub models: BTreeMap<String, Checkpoint>,
}

/// Backend servers of one kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
  /// `None` for a plain service.
  pub engine: Option<Arc<Engine>>,
  /// Path of the servers' health check.
  pub health_path: Option<String>,
}

/// Size and time limits on callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
  pub head_bytes: usize,
  pub body_bytes: usize,
  /// Maximum time from a request's first byte to the end of its head.
  pub head_timeout: Duration,
  /// Maximum time between two requests on a connection.
  pub idle_timeout: Duration,
}

impl Default for Bounds {
  /// Used until a configuration is known: the values that operators usually set.
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
  /// Customers who may send requests; `None` if requests need no key.
  pub customers: Option<Arc<Directory>>,
}
