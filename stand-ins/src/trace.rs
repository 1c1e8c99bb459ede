//! Replays seeded traces of a compressed day against real instances. Named policies are compared
//! on the same trace and seed.

use crate::{
  caller::{self, Answer, Request},
  engine::{Engine, answer},
  fleet::{Fleet, Plan},
  store::Store,
};
use bendsaddle::{compare::quantile, report::Tier};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use std::{
  io,
  path::Path,
  thread,
  time::{Duration, Instant},
};

/// Numbers of models and backend servers, and sizes in MB. The servers have memory for half of
/// the models.
const MODELS: usize = 24;
const SERVERS: usize = 4;
const SERVER_MB: u64 = 600;
const MODEL_MB: u64 = 200;
/// Number of seconds of a day that one second of a trace represents.
pub const COMPRESSION: u64 = 60;
/// Length of each of the four parts of the day.
const PART: Duration = Duration::from_secs(8);
const TOKENS: u32 = 6;

/// A request of a trace.
#[derive(Clone, Debug)]
struct Arrival {
  at: Duration,
  model: usize,
  prompt: String,
  /// Index of the instance that receives the request.
  instance: usize,
}

/// An event of a trace other than a request.
#[derive(Clone, Copy, Debug)]
enum Event {
  SlowStore(f64),
  LoseServer(usize),
}

/// A policy under test.
pub struct Variant {
  pub name: &'static str,
  pub policy: Value,
  pub limits: Value,
}

/// Results of one or more replays.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
  /// Waiting times of requests that needed a load, in seconds.
  pub cold: Vec<f64>,
  /// Time to first token of every completed request, in seconds.
  pub first: Vec<f64>,
  /// Idle time of loaded replicas, in seconds.
  pub idle: f64,
  pub loads: u64,
  pub asked: usize,
  pub refused: usize,
  /// Number of responses that were neither complete nor properly refused.
  pub broken: usize,
  pub violations: usize,
  /// Maximum number of requests waiting in an engine at the same time.
  pub crowd: u32,
}

impl Outcome {
  /// Adds the results of another replay.
  pub fn add(&mut self, other: Self) {
    self.cold.extend(other.cold);
    self.first.extend(other.first);
    self.idle += other.idle;
    self.loads += other.loads;
    self.asked += other.asked;
    self.refused += other.refused;
    self.broken += other.broken;
    self.violations += other.violations;
    self.crowd = self.crowd.max(other.crowd);
  }
}

/// The policies that can be selected by name.
pub fn variants() -> Vec<Variant> {
  let variant = |name, policy| Variant {
    name,
    policy,
    limits: json!({}),
  };
  let fixed =
    |ms: u64| json!({ "keepAlive": { "fixed": ms }, "place": "leastLoaded", "evict": "oldest" });
  let adaptive = json!({ "keepAlive": { "adaptive": 600_000 } });
  let thrift = |name, thrift: u32| Variant {
    name,
    policy: adaptive.clone(),
    limits: json!({ "thrift": thrift }),
  };
  vec![
    variant("fixed", fixed(10_000)),
    variant("on-demand", fixed(0)),
    variant("default", adaptive.clone()),
    variant("soonest-only", json!({ "keepAlive": { "fixed": 10_000 } })),
    variant(
      "adaptive-only",
      json!({ "keepAlive": { "adaptive": 600_000 }, "place": "leastLoaded", "evict": "oldest" }),
    ),
    thrift("thrift-10", 10),
    thrift("thrift-30", 30),
    thrift("thrift-70", 70),
    thrift("thrift-90", 90),
    Variant {
      name: "push",
      policy: adaptive.clone(),
      limits: json!({ "dispatch": "push" }),
    },
  ]
}

/// Requests for an occasionally used model, with heavy-tailed gaps.
fn occasional_arrivals(
  rng: &mut SmallRng,
  model: usize,
  until: Duration,
  instances: usize,
) -> Vec<Arrival> {
  // A few models are used often, most of them rarely.
  let mean = 0.4 + 0.5 * model as f64;
  let mut at = rng.random_range(0.0..mean);
  let mut arrivals = Vec::new();
  while at < until.as_secs_f64() {
    for _ in 0..rng.random_range(1..3) {
      arrivals.push(arrival(rng, at, model, instances));
    }
    let uniform: f64 = rng.random_range(0.05..1.0);
    at += mean * (-uniform.ln()).powf(1.5).max(0.1);
  }
  arrivals
}

fn arrival(rng: &mut SmallRng, at: f64, model: usize, instances: usize) -> Arrival {
  Arrival {
    at: Duration::from_secs_f64(at),
    model,
    prompt: format!("{:016x}", rng.random::<u64>()),
    instance: rng.random_range(0..instances),
  }
}

/// Requests of the evening: bursts for cold models, each across all instances at the same time.
fn evening_arrivals(rng: &mut SmallRng, from: Duration, instances: usize) -> Vec<Arrival> {
  let mut arrivals = Vec::new();
  for burst in 0..6 {
    let model = rng.random_range(0..MODELS);
    let start = from.as_secs_f64() + f64::from(burst) * PART.as_secs_f64() / 6.0;
    for _ in 0..14 {
      let at = start + rng.random_range(0.0..0.15);
      arrivals.push(arrival(rng, at, model, instances));
    }
  }
  arrivals
}

fn trace(seed: u64, instances: usize) -> (Vec<Arrival>, Vec<(Duration, Event)>) {
  let mut rng = SmallRng::seed_from_u64(seed);
  let day = PART * 4;
  let mut arrivals = Vec::new();
  for model in 0..MODELS {
    arrivals.extend(occasional_arrivals(&mut rng, model, day, instances));
  }
  arrivals.extend(evening_arrivals(&mut rng, PART, instances));
  arrivals.sort_by_key(|arrival| arrival.at);
  let lost = rng.random_range(0..SERVERS);
  let events = vec![
    (PART * 2, Event::SlowStore(3.0)),
    (PART * 3, Event::SlowStore(1.0)),
    (PART * 3 + PART / 4, Event::LoseServer(lost)),
  ];
  (arrivals, events)
}

/// Replays the trace of a seed for a variant, with instances of `program`.
pub fn replay(
  program: &Path,
  variant: &Variant,
  seed: u64,
  instances: usize,
) -> io::Result<Outcome> {
  let fleet = deploy(program, variant, seed, instances)?;
  let (arrivals, events) = trace(seed, instances);
  let start = Instant::now();
  let store = fleet.engines[0].options().store.clone();
  let mut events = events.into_iter().peekable();
  let mut threads = Vec::new();
  for arrival in arrivals {
    while let Some((at, event)) = events.next_if(|(at, _)| *at <= arrival.at) {
      sleep_until(start + at);
      apply(&fleet, store.as_ref(), event);
    }
    sleep_until(start + arrival.at);
    let address = fleet.callers(arrival.instance).to_string();
    let builder = thread::Builder::new().stack_size(128 << 10);
    threads.push(builder.spawn(move || {
      let model = format!("model-{}", arrival.model);
      let ask = Request::of(&model, &arrival.prompt, TOKENS).with_deadline(Duration::from_secs(15));
      let reply = ask.send(&address);
      let complete = reply.matches(&answer(&arrival.prompt, TOKENS as usize));
      (complete, reply)
    })?);
  }
  let replies: Vec<(bool, Answer)> = threads.into_iter().filter_map(|t| t.join().ok()).collect();
  Ok(summarize(&fleet, &replies))
}

fn sleep_until(at: Instant) {
  thread::sleep(at.saturating_duration_since(Instant::now()));
}

fn deploy(program: &Path, variant: &Variant, seed: u64, instances: usize) -> io::Result<Fleet> {
  let mut rng = SmallRng::seed_from_u64(seed ^ 0x5eed);
  // Three loads per second of the day would be far slower here. The rate is scaled with the
  // load times; the limit on loads at full speed is not.
  let store = Store::open(3, 4, 0.2);
  let mut cached = Vec::new();
  for _ in 0..SERVERS {
    let mut near = std::collections::HashMap::new();
    for model in 0..MODELS {
      match rng.random_range(0..10) {
        0 => drop(near.insert(format!("model-{model}"), Tier::Memory)),
        1..=3 => drop(near.insert(format!("model-{model}"), Tier::Disk)),
        _ => {}
      }
    }
    cached.push(near);
  }
  let mut plan = Plan::default()
    .program(program)
    .instances(instances)
    .limits(merge(
      json!({ "listMs": 200, "yieldMs": 300, "drainMs": 200, "pollMs": 100, "orderTtlMs": 1_000 }),
      &variant.limits,
    ))
    .policy("under-test", variant.policy.clone());
  for near in cached {
    plan = plan.engines(1, |options| {
      options.memory_mb = SERVER_MB;
      options.cached = near.clone();
      options.store = Some(store.clone());
      options.load = [
        Duration::from_micros(150),
        Duration::from_micros(750),
        Duration::from_micros(4_000),
      ];
      options.token = Duration::from_millis(3);
    });
  }
  for at in 0..MODELS {
    plan = plan.model(&format!("model-{at}"), MODEL_MB);
  }
  plan.start()
}

fn merge(mut base: Value, more: &Value) -> Value {
  for (key, value) in more.as_object().into_iter().flatten() {
    base[key] = value.clone();
  }
  base
}

fn apply(fleet: &Fleet, store: Option<&Store>, event: Event) {
  match (event, store) {
    (Event::SlowStore(factor), Some(store)) => store.slow(factor),
    (Event::SlowStore(_), None) => {}
    (Event::LoseServer(at), _) => fleet.engines[at].restart(),
  }
}

fn summarize(fleet: &Fleet, replies: &[(bool, Answer)]) -> Outcome {
  let mut outcome = Outcome {
    asked: replies.len(),
    idle: fleet
      .engines
      .iter()
      .map(|engine| engine.idle().as_secs_f64())
      .sum(),
    loads: fleet.engines.iter().map(Engine::loads).sum(),
    violations: fleet.violations().len(),
    crowd: fleet
      .engines
      .iter()
      .map(Engine::peak_waiting)
      .max()
      .unwrap_or_default(),
    ..Outcome::default()
  };
  for (complete, reply) in replies {
    match (complete, reply.verdict.as_str()) {
      (true, _) => outcome.first.push(reply.time_to_first_token.as_secs_f64()),
      (false, "") => outcome.broken += 1,
      (false, _) => outcome.refused += 1,
    }
  }
  for member in &fleet.members {
    let body = caller::get(&member.operators, "/timeline").body;
    for line in body.as_array().into_iter().flatten() {
      if line["what"] == "cold" {
        let waited = line["waited_ms"].as_f64().unwrap_or_default();
        outcome.cold.push(waited / 1_000.0);
      }
    }
  }
  outcome
}

/// Header of the table of outcomes.
pub const HEAD: &str = "| policy | requests | cold | cold p50 s | cold p95 s | cold p99 s | first p99 s | idle s | loads | refused | broken | violations | crowd |
|---|---|---|---|---|---|---|---|---|---|---|---|---|";

/// Formats an outcome as a row of the table.
pub fn row(name: &str, outcome: &Outcome) -> String {
  let cold = |part| quantile(&outcome.cold, part);
  format!(
    "| {name} | {} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {:.1} | {} | {} | {} | {} | {} |",
    outcome.asked,
    outcome.cold.len(),
    cold(0.5),
    cold(0.95),
    cold(0.99),
    quantile(&outcome.first, 0.99),
    outcome.idle,
    outcome.loads,
    outcome.refused,
    outcome.broken,
    outcome.violations,
    outcome.crowd
  )
}
