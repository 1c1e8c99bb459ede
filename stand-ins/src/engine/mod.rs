//! A model engine: loads that take time, streamed tokens, and records of what
//! ran and of every limit that was passed.

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
use state::{Held, Inner, lock};
use std::{
  collections::HashMap,
  io,
  net::SocketAddr,
  sync::{Arc, Condvar, Mutex},
  time::Duration,
};
use tiny_http::{Method, Request};
use xxhash_rust::xxh3::xxh3_64;

/// How an engine is built.
#[derive(Clone)]
pub struct Options {
  pub name: String,
  pub memory_mb: u64,
  pub slots: u32,
  /// Requests waiting for a slot before the engine declines.
  pub queue: u32,
  pub fencing: bool,
  /// Load time for each MB by tier: memory, disk, remote.
  pub load: [Duration; 3],
  pub token: Duration,
  pub cached: HashMap<String, Tier>,
  pub store: Option<Store>,
  /// Where decisions are looked up to count violations.
  pub platform: Option<Platform>,
}

impl Options {
  /// A small, quick engine.
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

/// Faults of the token stream.
#[derive(Clone, Debug, Default)]
pub struct Faults {
  /// Break the next streams after this many tokens, as often as listed.
  pub break_after: Vec<usize>,
  /// Send tokens doubled and in pairs out of order, with strays of others.
  pub disorder: bool,
  /// Loads take this much longer.
  pub slow_load: Duration,
}

/// One attempt that began to run.
#[derive(Clone, Debug)]
pub struct Run {
  pub request: String,
  pub attempt: String,
  pub model: String,
  pub tokens: usize,
  pub whole: bool,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
  inner: Arc<Held>,
  options: Arc<Options>,
  pub address: SocketAddr,
}

/// The token at a position of the answer to a prompt.
pub fn token(prompt: &str, index: usize) -> String {
  let hash = xxh3_64(format!("{prompt}/{index}").as_bytes());
  format!("{index}:{:04x} ", hash & 0xffff)
}

/// The whole answer to a prompt.
pub fn answer(prompt: &str, tokens: usize) -> String {
  (0..tokens).map(|index| token(prompt, index)).collect()
}

impl Engine {
  /// Binds an engine.
  pub fn bind(address: &str, options: Options) -> io::Result<Self> {
    let inner = Inner::open(options.cached.clone());
    let inner = Arc::new((Mutex::new(inner), Condvar::new()));
    let options = Arc::new(options);
    let (served, with) = (inner.clone(), options.clone());
    let address = http::bind(address, move |request| serve(&served, &with, request))?;
    Ok(Self {
      inner,
      options,
      address,
    })
  }

  /// The engine's name.
  pub fn name(&self) -> &str {
    &self.options.name
  }

  /// How it was built.
  pub fn options(&self) -> &Options {
    &self.options
  }

  /// Changes the faults in force.
  pub fn fault(&self, change: impl FnOnce(&mut Faults)) {
    change(&mut lock(&self.inner).faults);
  }

  /// Restarts with empty memory; streams break.
  pub fn restart(&self) {
    let mut inner = lock(&self.inner);
    inner.restart();
    self.inner.1.notify_all();
  }

  /// Says of itself that it leaves.
  pub fn leave(&self) {
    lock(&self.inner).leaving = true;
  }

  /// Limits passed so far.
  pub fn violations(&self) -> Vec<String> {
    lock(&self.inner).violations.clone()
  }

  /// Attempts that began to run.
  pub fn runs(&self) -> Vec<Run> {
    lock(&self.inner).runs.clone()
  }

  /// Loads begun.
  pub fn loads(&self) -> u64 {
    lock(&self.inner).loads
  }

  /// Orders taken, with their replicas.
  pub fn orders(&self) -> Vec<(u64, &'static str)> {
    lock(&self.inner).orders.clone()
  }

  /// Models on the engine and how far they are.
  pub fn residents(&self) -> Vec<(String, Stage)> {
    let inner = lock(&self.inner);
    let replicas = inner.replicas.values();
    replicas
      .map(|loaded| (loaded.model.clone(), loaded.stage))
      .collect()
  }

  /// Requests running or waiting.
  pub fn busy(&self) -> u32 {
    let inner = lock(&self.inner);
    inner.replicas.values().map(|loaded| loaded.running).sum()
  }

  /// Time for which loaded replicas stood idle.
  pub fn idle(&self) -> Duration {
    let mut inner = lock(&self.inner);
    inner.count_idle();
    inner.idle
  }

  /// Most requests that waited for a slot at once.
  pub fn peak_waiting(&self) -> u32 {
    lock(&self.inner).crowd
  }
}

fn serve(inner: &Arc<Held>, options: &Arc<Options>, mut request: Request) {
  let path = request.url().to_string();
  match (request.method().clone(), path.as_str()) {
    (Method::Get, "/status") => {
      let report = lock(inner).report();
      http::json(request, 200, &json!(report));
    }
    (Method::Post, "/control/load") => {
      let body = http::body(&mut request);
      let status = match serde_json::from_slice::<OrderBody>(&body) {
        Ok(order) => load(inner, options, order),
        Err(_) => 400,
      };
      http::json(request, status, &json!({}));
    }
    (Method::Post, "/control/unload") => {
      let body = http::body(&mut request);
      let status = match serde_json::from_slice::<OrderBody>(&body) {
        Ok(order) => unload(inner, options, &order),
        Err(_) => 400,
      };
      http::json(request, status, &json!({}));
    }
    (Method::Post, "/control/cancel") => {
      let body = http::body(&mut request);
      let body: serde_json::Value = serde_json::from_slice(&body).unwrap_or_default();
      let attempt = body["attempt"].as_str().unwrap_or_default().to_string();
      lock(inner).cancelled.insert(attempt);
      http::json(request, 200, &json!({}));
    }
    (Method::Post, "/v1/completions") => {
      let body = http::body(&mut request);
      match serde_json::from_slice::<Completion>(&body) {
        Ok(completion) => complete(inner, options, request, &completion),
        Err(error) => http::json(request, 400, &json!({ "error": error.to_string() })),
      }
    }
    _ => http::json(request, 404, &json!({})),
  }
}
