//! Simulated model engine: loads with a configurable duration, streamed tokens, and
//! records of all runs and of every exceeded limit.

mod census;
mod completion;
mod orders;
mod state;

pub use census::{census, target_loaded};

use crate::{http, platform::Platform, store::Store};
use bendsaddle::{
  engine::{Completion, OrderBody},
  report::{Stage, Tier},
};
use completion::complete;
use orders::{load, unload};
use serde_json::json;
use state::{Shared, State, lock};
use std::{
  collections::HashMap,
  io,
  net::SocketAddr,
  sync::{Arc, Condvar, Mutex},
  time::Duration,
};
use tiny_http::{Method, Request};
use xxhash_rust::xxh3::xxh3_64;

/// Configuration of an engine.
#[derive(Clone)]
pub struct Options {
  pub name: String,
  pub memory_mb: u64,
  pub slots: u32,
  /// Requests of a replica that may wait for a slot; further requests are declined.
  pub queue: u32,
  pub fencing: bool,
  /// Load time per MB by tier: memory, disk, remote.
  pub load: [Duration; 3],
  pub token: Duration,
  pub cached: HashMap<String, Tier>,
  pub store: Option<Store>,
  /// Platform whose records are checked for violations, `None` to skip the check.
  pub platform: Option<Platform>,
}

impl Options {
  /// Options for a small, fast engine.
  pub fn named(name: &str) -> Self {
    Self {
      name: name.into(),
      memory_mb: 1_000,
      slots: 4,
      queue: 64,
      fencing: true,
      load: [
        Duration::from_micros(50),
        Duration::from_micros(200),
        Duration::from_micros(1_000),
      ],
      token: Duration::from_millis(2),
      cached: HashMap::new(),
      store: None,
      platform: None,
    }
  }
}

/// Injected faults of loads and of the token stream.
#[derive(Clone, Debug, Default)]
pub struct Faults {
  /// Number of sent chunks after which a stream breaks; each stream takes one entry
  /// from the end.
  pub break_after: Vec<usize>,
  /// Sends each token twice, pairs in reverse order, and chunks of another attempt.
  pub disorder: bool,
  /// Delay added to each load.
  pub slow_load: Duration,
}

/// An attempt that was given a slot.
#[derive(Clone, Debug)]
pub struct Run {
  pub request: String,
  pub attempt: String,
  pub model: String,
  pub prompt: String,
  pub tokens: usize,
  pub is_complete: bool,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
  shared: Arc<Shared>,
  options: Arc<Options>,
  pub address: SocketAddr,
}

/// The token at an index of the completion of a prompt.
pub fn token(prompt: &str, index: usize) -> String {
  let hash = xxh3_64(format!("{prompt}/{index}").as_bytes());
  format!("{index}:{:04x} ", hash & 0xffff)
}

/// The full completion of a prompt.
pub fn answer(prompt: &str, tokens: usize) -> String {
  (0..tokens).map(|index| token(prompt, index)).collect()
}

impl Engine {
  /// Starts an engine that listens on `address`.
  pub fn bind(address: &str, options: Options) -> io::Result<Self> {
    let state = State::open(options.cached.clone());
    let shared = Arc::new((Mutex::new(state), Condvar::new()));
    let options = Arc::new(options);
    let (served, with_options) = (shared.clone(), options.clone());
    let address = http::bind(address, move |request| {
      serve(&served, &with_options, request)
    })?;
    Ok(Self {
      shared,
      options,
      address,
    })
  }

  /// The engine's name.
  pub fn name(&self) -> &str {
    &self.options.name
  }

  /// The engine's configuration.
  pub fn options(&self) -> &Options {
    &self.options
  }

  /// Changes the injected faults.
  pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
    change(&mut lock(&self.shared).faults);
  }

  /// Restarts with empty memory, which breaks open streams.
  pub fn restart(&self) {
    let mut state = lock(&self.shared);
    state.restart();
    self.shared.1.notify_all();
  }

  /// Reports the engine as leaving and declines further requests.
  pub fn leave(&self) {
    lock(&self.shared).leaving = true;
  }

  /// Violations recorded so far.
  pub fn violations(&self) -> Vec<String> {
    lock(&self.shared).violations.clone()
  }

  /// Attempts that were given a slot.
  pub fn runs(&self) -> Vec<Run> {
    lock(&self.shared).runs.clone()
  }

  /// Number of started loads.
  pub fn loads(&self) -> u64 {
    lock(&self.shared).loads
  }

  /// Accepted orders with their replicas.
  pub fn orders(&self) -> Vec<(u64, &'static str)> {
    lock(&self.shared).orders.clone()
  }

  /// Models on the engine and their stages.
  pub fn residents(&self) -> Vec<(String, Stage)> {
    let state = lock(&self.shared);
    let replicas = state.replicas.values();
    replicas
      .map(|loaded| (loaded.model.clone(), loaded.stage))
      .collect()
  }

  /// Number of running requests.
  pub fn busy(&self) -> u32 {
    let state = lock(&self.shared);
    state.replicas.values().map(|loaded| loaded.running).sum()
  }

  /// Total idle time of loaded replicas.
  pub fn idle(&self) -> Duration {
    let mut state = lock(&self.shared);
    state.count_idle();
    state.idle
  }

  /// Largest number of requests that waited for a slot at the same time.
  pub fn peak_waiting(&self) -> u32 {
    lock(&self.shared).peak_waiting
  }
}

fn serve(shared: &Arc<Shared>, options: &Arc<Options>, mut request: Request) {
  let path = request.url().to_string();
  match (request.method().clone(), path.as_str()) {
    (Method::Get, "/status") => {
      let report = lock(shared).report();
      http::json(request, 200, &json!(report));
    }
    (Method::Post, "/control/load") => {
      let body = http::body(&mut request);
      let status = match serde_json::from_slice::<OrderBody>(&body) {
        Ok(order) => load(shared, options, order),
        Err(_) => 400,
      };
      http::json(request, status, &json!({}));
    }
    (Method::Post, "/control/unload") => {
      let body = http::body(&mut request);
      let status = match serde_json::from_slice::<OrderBody>(&body) {
        Ok(order) => unload(shared, options, &order),
        Err(_) => 400,
      };
      http::json(request, status, &json!({}));
    }
    (Method::Post, "/control/cancel") => {
      let body = http::body(&mut request);
      let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
      let attempt = body["attempt"].as_str().unwrap_or_default().to_string();
      lock(shared).cancelled.insert(attempt);
      http::json(request, 200, &json!({}));
    }
    (Method::Post, "/v1/completions") => {
      let body = http::body(&mut request);
      match serde_json::from_slice::<Completion>(&body) {
        Ok(completion) => complete(shared, options, request, &completion),
        Err(error) => http::json(request, 400, &json!({ "error": error.to_string() })),
      }
    }
    _ => http::json(request, 404, &json!({})),
  }
}
