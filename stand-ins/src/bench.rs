//! Benchmarks of the path: added latency, memory at many open streams, and the
//! two ways of sharing a replica's slots, each against the other in one run.

use crate::{
  caller::{Answer, Request},
  capacity::memory_mb,
  engine::answer,
  fleet::{Fleet, Plan},
};
use bendsaddle::{compare::quantile, engine::Completion};
use serde_json::{Value, json};
use std::{
  io::{self, BufRead, BufReader},
  path::Path,
  thread,
  time::{Duration, Instant},
};

/// Requests of each kind for the added latency.
const REQUESTS: usize = 300;
/// Streams open at once.
const STREAMS: usize = 500;
/// Requests of a burst at one replica, over this many instances.
const BURST: usize = 210;
const INSTANCES: usize = 7;
const ROUNDS: usize = 3;
const TOKENS: u32 = 10;

fn plan(program: &Path) -> Plan {
  Plan::default()
    .program(program)
    .policy("all", json!({ "keepAlive": { "fixed": 600_000 } }))
    .model("model", 200)
}

fn replica(fleet: &Fleet) -> u64 {
  let record = fleet.platform.record("model");
  record
    .replicas
    .first()
    .map(|replica| replica.id.0)
    .unwrap_or_default()
}

/// Time to first token of a call made straight to the engine.
fn direct(fleet: &Fleet, replica: u64, prompt: &str) -> Duration {
  let start = Instant::now();
  let body = json!(Completion {
    replica,
    model: "model".into(),
    prompt: prompt.into(),
    max_tokens: TOKENS,
    attempt: format!("direct/{prompt}/1"),
    request: format!("direct/{prompt}"),
    priority: 0,
    resume: Vec::new(),
  });
  let url = format!("http://{}/v1/completions", fleet.engines[0].address);
  let config = ureq::Agent::config_builder()
    .max_idle_connections(0)
    .build();
  let Ok(response) = config.new_agent().post(url).send(body.to_string()) else {
    return Duration::MAX;
  };
  let mut first = None;
  let lines = BufReader::new(response.into_body().into_reader()).lines();
  for line in lines.map_while(Result::ok) {
    if line.contains("\"index\"") {
      first.get_or_insert_with(|| start.elapsed());
    }
    if line.contains("\"total\"") {
      break;
    }
  }
  first.unwrap_or(Duration::MAX)
}

/// Time to first token through an instance, against a direct call.
fn latency(program: &Path) -> io::Result<Value> {
  let fleet = plan(program)
    .instances(1)
    .engines(1, |options| options.token = Duration::ZERO)
    .start()?;
  Request::of("model", "warm", 1).send(fleet.callers(0));
  let replica = replica(&fleet);
  let (mut through, mut straight) = (Vec::new(), Vec::new());
  for at in 0..REQUESTS {
    let prompt = format!("prompt {at}");
    let reply = Request::of("model", &prompt, TOKENS).send(fleet.callers(0));
    assert!(
      reply.matches(&answer(&prompt, TOKENS as usize)),
      "{reply:?}"
    );
    through.push(reply.first.as_secs_f64() * 1_000.0);
    straight.push(direct(&fleet, replica, &prompt).as_secs_f64() * 1_000.0);
  }
  let added = |part| quantile(&through, part) - quantile(&straight, part);
  Ok(json!({
    "directP50Ms": quantile(&straight, 0.5), "directP99Ms": quantile(&straight, 0.99),
    "throughP50Ms": quantile(&through, 0.5), "throughP99Ms": quantile(&through, 0.99),
    "addedP50Ms": added(0.5), "addedP99Ms": added(0.99),
  }))
}

/// Memory of an instance at rest and with many streams open.
fn streams(program: &Path) -> io::Result<Value> {
  let fleet = plan(program)
    .instances(1)
    .engines(1, |options| {
      options.slots = STREAMS as u32;
      options.token = Duration::from_millis(100);
    })
    .start()?;
  Request::of("model", "warm", 1).send(fleet.callers(0));
  let rest = memory_mb(&fleet);
  let threads: Vec<_> = (0..STREAMS)
    .map(|at| {
      let address = fleet.callers(0).to_string();
      let run = move || Request::of("model", &format!("{at}"), 60).send(&address);
      thread::Builder::new().stack_size(128 << 10).spawn(run)
    })
    .collect::<Result<_, _>>()?;
  let (mut open, mut busy) = (0, rest);
  let until = Instant::now() + Duration::from_secs(5);
  while open < STREAMS as u32 && Instant::now() < until {
    thread::sleep(Duration::from_millis(50));
    open = open.max(fleet.engines[0].busy());
    busy = memory_mb(&fleet).max(busy);
  }
  let replies: Vec<Answer> = threads
    .into_iter()
    .filter_map(|thread| thread.join().ok())
    .collect();
  let whole = replies.iter().filter(|reply| reply.is_complete).count();
  Ok(json!({
    "openStreams": open, "answeredWhole": whole, "restMb": rest, "busyMb": busy,
    "kbEachStream": (busy - rest) * 1_000.0 / f64::from(open.max(1)),
  }))
}

/// A burst at all instances for one replica with few slots.
fn dispatch(program: &Path, way: &str) -> io::Result<Value> {
  let fleet = plan(program)
    .instances(INSTANCES)
    .limits(json!({ "dispatch": way }))
    .engines(1, |options| {
      options.slots = 8;
      options.queue = 8;
      options.token = Duration::from_millis(5);
    })
    .start()?;
  let mut first = Vec::new();
  for _ in 0..ROUNDS {
    let start = Instant::now();
    let threads: Vec<_> = (0..BURST)
      .map(|at| {
        let address = fleet.callers(at).to_string();
        let run = move || Request::of("model", &format!("{at}"), TOKENS).send(&address);
        thread::Builder::new().stack_size(128 << 10).spawn(run)
      })
      .collect::<Result<_, _>>()?;
    let replies: Vec<Answer> = threads
      .into_iter()
      .filter_map(|thread| thread.join().ok())
      .collect();
    first.extend(replies.iter().map(|reply| reply.first.as_secs_f64()));
    eprintln!(
      "{way}: {} whole in {:?}",
      replies.iter().filter(|r| r.is_complete).count(),
      start.elapsed()
    );
    thread::sleep(Duration::from_secs(1));
  }
  let metrics = fleet
    .members
    .iter()
    .map(|member| retries(&member.operators));
  Ok(json!({
    "firstP50S": quantile(&first, 0.5), "firstP99S": quantile(&first, 0.99),
    "mostQueuedAtEngine": fleet.engines[0].peak_waiting(), "declinedAttempts": metrics.fold(0.0, |sum, count| sum + count),
  }))
}

/// Retries that an instance counted.
fn retries(operators: &str) -> f64 {
  let text = crate::caller::get(operators, "/metrics").raw;
  let lines = text
    .lines()
    .filter(|line| line.starts_with("retries_total"));
  lines
    .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
    .sum()
}

/// Runs all benchmarks.
pub fn run(program: &Path) -> io::Result<Value> {
  Ok(json!({
    "latency": latency(program)?,
    "streams": streams(program)?,
    "push": dispatch(program, "push")?,
    "share": dispatch(program, "share")?,
  }))
}
