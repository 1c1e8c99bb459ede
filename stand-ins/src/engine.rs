//! A model engine: loads that take time, streamed tokens, and records of what
//! ran and of every limit that was passed.

use crate::{http, platform::Platform, store::Store};
use bendsaddle::{
  engine::{Chunk, Completion, Done, OrderBody},
  replica::{Id, Target},
  report::{Cached, Report, Resident, Stage, Tier},
};
use serde_json::json;
use std::{
  collections::{BTreeMap, BTreeSet, HashMap},
  io::{self, Write},
  net::SocketAddr,
  sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
  thread,
  time::{Duration, Instant, SystemTime, UNIX_EPOCH},
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

#[derive(Debug)]
struct Loaded {
  model: String,
  memory_mb: u64,
  stage: Stage,
  running: u32,
  waiting: u32,
  /// Of those waiting, the urgent ones.
  urgent: u32,
  idle_since: Instant,
  loaded_at: Option<Instant>,
}

struct Inner {
  boot: u64,
  seq: u64,
  fence: u64,
  leaving: bool,
  replicas: BTreeMap<u64, Loaded>,
  cached: HashMap<String, Tier>,
  violations: Vec<String>,
  runs: Vec<Run>,
  cancelled: BTreeSet<String>,
  faults: Faults,
  loads: u64,
  orders: Vec<(u64, &'static str)>,
  idle: Duration,
  /// Most requests that waited for a slot at once.
  crowd: u32,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
  inner: Arc<(Mutex<Inner>, Condvar)>,
  options: Arc<Options>,
  pub address: SocketAddr,
}

type Held = (Mutex<Inner>, Condvar);

fn lock(inner: &Held) -> MutexGuard<'_, Inner> {
  inner.0.lock().unwrap_or_else(PoisonError::into_inner)
}

fn clock() -> u64 {
  let now = SystemTime::now().duration_since(UNIX_EPOCH);
  now.unwrap_or_default().as_millis() as u64
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
    let inner = Inner {
      boot: clock(),
      seq: 0,
      fence: 0,
      leaving: false,
      replicas: BTreeMap::new(),
      cached: options.cached.clone(),
      violations: Vec::new(),
      runs: Vec::new(),
      cancelled: BTreeSet::new(),
      faults: Faults::default(),
      loads: 0,
      orders: Vec::new(),
      idle: Duration::ZERO,
      crowd: 0,
    };
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
    inner.count_idle();
    inner.boot = clock().max(inner.boot + 1);
    inner.seq = 0;
    inner.fence = 0;
    inner.replicas.clear();
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
  pub fn crowd(&self) -> u32 {
    lock(&self.inner).crowd
  }
}

impl Inner {
  fn used_mb(&self) -> u64 {
    self.replicas.values().map(|loaded| loaded.memory_mb).sum()
  }

  fn report(&mut self) -> Report {
    self.seq += 1;
    let residents = self.replicas.iter().map(|(id, loaded)| Resident {
      replica: Id(*id),
      model: loaded.model.clone(),
      stage: loaded.stage,
      running: loaded.running + loaded.waiting,
      idle_ms: match loaded.running + loaded.waiting {
        0 => loaded.idle_since.elapsed().as_millis() as u64,
        _ => 0,
      },
    });
    let cached = self.cached.iter().map(|(model, tier)| Cached {
      model: model.clone(),
      tier: *tier,
    });
    let mut cached: Vec<Cached> = cached.collect();
    cached.sort_by(|a, b| a.model.cmp(&b.model));
    Report {
      boot: self.boot,
      seq: self.seq,
      leaving: self.leaving,
      residents: residents.collect(),
      cached,
    }
  }

  /// Adds up the idle time of loaded replicas so far.
  fn count_idle(&mut self) {
    let now = Instant::now();
    for loaded in self.replicas.values_mut() {
      if loaded.loaded_at.is_some() && loaded.running == 0 {
        self.idle += now - loaded.idle_since.max(loaded.loaded_at.unwrap_or(now));
        loaded.loaded_at = Some(now);
      }
    }
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

fn stale(inner: &mut Inner, options: &Options, fence: u64) -> bool {
  if options.fencing && fence < inner.fence {
    return true;
  }
  inner.fence = inner.fence.max(fence);
  false
}

fn load(inner: &Arc<Held>, options: &Arc<Options>, order: OrderBody) -> u16 {
  let mut held = lock(inner);
  if stale(&mut held, options, order.fence) {
    return 409;
  }
  if held.replicas.contains_key(&order.replica) {
    return 202;
  }
  let ready =
    |loaded: &Loaded, base: &String| loaded.model == *base && loaded.stage == Stage::Ready;
  if let Some(base) = &order.base
    && !held.replicas.values().any(|loaded| ready(loaded, base))
  {
    return 422;
  }
  held.orders.push((order.replica, "load"));
  held.loads += 1;
  let loaded = Loaded {
    model: order.model.clone(),
    memory_mb: order.memory_mb,
    stage: Stage::Loading,
    running: 0,
    waiting: 0,
    urgent: 0,
    idle_since: Instant::now(),
    loaded_at: None,
  };
  held.replicas.insert(order.replica, loaded);
  check(&mut held, options, &order);
  let boot = held.boot;
  drop(held);
  let (inner, options) = (inner.clone(), options.clone());
  thread::spawn(move || fetch(&inner, &options, &order, boot));
  202
}

/// Counts what the load breaks: memory, or a replica that was not decided.
fn check(inner: &mut Inner, options: &Options, order: &OrderBody) {
  let used = inner.used_mb();
  if used > options.memory_mb {
    let text = format!("{}: {used} of {} MB", options.name, options.memory_mb);
    inner.violations.push(text);
  }
  let Some(platform) = &options.platform else {
    return;
  };
  let record = platform.record(&order.model);
  let decided = record
    .replicas
    .iter()
    .any(|replica| replica.id.0 == order.replica && replica.server == options.name);
  if !decided {
    let text = format!(
      "{}: replica {:x} of {} not decided",
      options.name, order.replica, order.model
    );
    inner.violations.push(text);
  }
}

fn fetch(inner: &Held, options: &Options, order: &OrderBody, boot: u64) {
  let (tier, extra) = {
    let held = lock(inner);
    let tier = held.cached.get(&order.model).copied();
    (tier.unwrap_or(Tier::Remote), held.faults.slow_load)
  };
  thread::sleep(extra);
  let time = options.load[tier as usize] * order.memory_mb as u32;
  match &options.store {
    Some(store) if tier == Tier::Remote => store.load(time),
    _ => thread::sleep(time),
  }
  let mut held = lock(inner);
  if held.boot != boot {
    return;
  }
  held
    .cached
    .insert(order.model.clone(), Tier::Memory.max(tier.min(Tier::Disk)));
  if let Some(loaded) = held.replicas.get_mut(&order.replica)
    && loaded.stage == Stage::Loading
  {
    loaded.stage = Stage::Ready;
    loaded.idle_since = Instant::now();
    loaded.loaded_at = Some(Instant::now());
  }
  inner.1.notify_all();
}

fn unload(inner: &Arc<Held>, options: &Options, order: &OrderBody) -> u16 {
  let mut held = lock(inner);
  if stale(&mut held, options, order.fence) {
    return 409;
  }
  held.count_idle();
  let Some(loaded) = held.replicas.get_mut(&order.replica) else {
    return 200;
  };
  let first = loaded.stage != Stage::Unloading;
  loaded.stage = Stage::Unloading;
  loaded.loaded_at = None;
  if !first {
    return 202;
  }
  held.orders.push((order.replica, "unload"));
  let boot = held.boot;
  drop(held);
  let (inner, replica) = (inner.clone(), order.replica);
  thread::spawn(move || {
    let mut held = lock(&inner);
    while held.boot == boot
      && held
        .replicas
        .get(&replica)
        .is_some_and(|loaded| loaded.running + loaded.waiting > 0)
    {
      let waited = inner.1.wait_timeout(held, Duration::from_millis(50));
      held = waited.unwrap_or_else(PoisonError::into_inner).0;
    }
    if held.boot == boot {
      held.replicas.remove(&replica);
    }
  });
  202
}

/// Takes a slot; none when the engine declines.
fn enter(inner: &Held, options: &Options, completion: &Completion) -> Option<u64> {
  let mut held = lock(inner);
  let boot = held.boot;
  let leaving = held.leaving;
  let loaded = held.replicas.get_mut(&completion.replica)?;
  let takes = loaded.stage == Stage::Ready && loaded.model == completion.model && !leaving;
  if !takes || loaded.waiting >= options.queue {
    return None;
  }
  let urgent = u32::from(completion.priority == 0);
  loaded.waiting += 1;
  loaded.urgent += urgent;
  let waiting: u32 = held.replicas.values().map(|loaded| loaded.waiting).sum();
  held.crowd = held.crowd.max(waiting.saturating_sub(1));
  loop {
    if held.boot != boot {
      return None;
    }
    held.count_idle();
    let loaded = held.replicas.get_mut(&completion.replica)?;
    // Urgent requests take free slots first.
    let turn = urgent == 1 || loaded.urgent == 0;
    if loaded.running < options.slots && turn {
      loaded.waiting -= 1;
      loaded.urgent -= urgent;
      loaded.running += 1;
      held.runs.push(Run {
        request: completion.request.clone(),
        attempt: completion.attempt.clone(),
        model: completion.model.clone(),
        tokens: 0,
        whole: false,
      });
      return Some(boot);
    }
    let waited = inner.1.wait_timeout(held, Duration::from_millis(50));
    held = waited.unwrap_or_else(PoisonError::into_inner).0;
  }
}

fn leave(inner: &Held, completion: &Completion, boot: u64, tokens: usize, whole: bool) {
  let mut held = lock(inner);
  if held.boot == boot
    && let Some(loaded) = held.replicas.get_mut(&completion.replica)
  {
    loaded.running = loaded.running.saturating_sub(1);
    loaded.idle_since = Instant::now();
    if loaded.loaded_at.is_some() {
      loaded.loaded_at = Some(Instant::now());
    }
  }
  let runs = held.runs.iter_mut().rev();
  let mut runs = runs.filter(|run| run.attempt == completion.attempt);
  if let Some(run) = runs.next() {
    run.tokens = tokens;
    run.whole = whole;
  }
  inner.1.notify_all();
}

fn complete(inner: &Held, options: &Options, request: Request, completion: &Completion) {
  let Some(boot) = enter(inner, options, completion) else {
    return http::json(request, 503, &json!({ "error": "declined" }));
  };
  let mut writer = request.into_writer();
  let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
  let mut there = writer.write_all(head.as_bytes()).is_ok() && writer.flush().is_ok();
  let (disorder, break_after) = {
    let mut held = lock(inner);
    (held.faults.disorder, held.faults.break_after.pop())
  };
  let mut sent = 0;
  let total = completion.max_tokens as usize;
  let mut index = completion.resume.len();
  while there && index < total {
    thread::sleep(options.token);
    let gone = {
      let held = lock(inner);
      held.boot != boot || held.cancelled.contains(&completion.attempt)
    };
    if gone || break_after == Some(sent) {
      break;
    }
    let step = if disorder { 2 } else { 1 };
    let lines = lines(completion, index, step.min(total - index), disorder);
    there = writer.write_all(lines.as_bytes()).is_ok() && writer.flush().is_ok();
    index += step.min(total - index);
    sent += 1;
  }
  let whole = there && index == total;
  if whole {
    let done = Done {
      attempt: completion.attempt.clone(),
      total,
    };
    let line = format!("data: {}\n\n", json!(done));
    let _ = writer
      .write_all(line.as_bytes())
      .and_then(|()| writer.flush());
  }
  leave(inner, completion, boot, index, whole);
}

fn lines(completion: &Completion, index: usize, count: usize, disorder: bool) -> String {
  let line = |attempt: &str, index: usize| {
    let chunk = Chunk {
      attempt: attempt.into(),
      index,
      text: token(&completion.prompt, index),
    };
    format!("data: {}\n\n", json!(chunk))
  };
  if !disorder {
    return line(&completion.attempt, index);
  }
  let mut text = line("stray/attempt/1", index);
  for at in (index..index + count).rev() {
    text += &line(&completion.attempt, at);
    text += &line(&completion.attempt, at);
  }
  text
}

/// Whether every replica on the engines is decided by its record, and no model
/// has more than its record holds.
pub fn census(platform: &Platform, engines: &[Engine]) -> Vec<String> {
  let mut faults = Vec::new();
  let mut loaded: BTreeMap<String, usize> = BTreeMap::new();
  for engine in engines {
    for (model, _) in engine.residents() {
      *loaded.entry(model).or_default() += 1;
    }
  }
  for (model, count) in loaded {
    let decided = platform.record(&model).replicas.len();
    if count > decided {
      faults.push(format!("{model}: {count} loaded, {decided} decided"));
    }
  }
  faults
}

/// Replicas of a model that its record wants loaded.
pub fn wanted(platform: &Platform, model: &str) -> usize {
  let record = platform.record(model);
  let replicas = record.replicas.iter();
  replicas
    .filter(|replica| replica.target == Target::Loaded)
    .count()
}
