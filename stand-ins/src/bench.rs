//! Benchmarks of the request path: added latency, memory with many open streams,
//! and the two dispatch modes for a replica's slots, compared in one run.

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

/// Requests sent through an instance, and as many sent directly, to measure added latency.
const REQUESTS: usize = 300;
/// Concurrently open streams.
const STREAMS: usize = 500;
/// Requests in a burst for one replica, spread over `INSTANCES` instances.
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

/// Time to first token of a request sent directly to the engine, `Duration::MAX` if it fails.
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

/// Time to first token in ms, through an instance and directly, and the difference.
fn latency(program: &Path) -> io::Result<Value> {
  let fleet = plan(program)
    .instances(1)
    .engines(1, |options| options.token = Duration::ZERO)
    .start()?;
  Request::of("model", "warm", 1).send(fleet.callers(0));
  let replica = replica(&fleet);
  let (mut through_times, mut direct_times) = (Vec::new(), Vec::new());
  for at in 0..REQUESTS {
    let prompt = format!("prompt {at}");
    let reply = Request::of("model", &prompt, TOKENS).send(fleet.callers(0));
    assert!(
      reply.matches(&answer(&prompt, TOKENS as usize)),
      "{reply:?}"
    );
    through_times.push(reply.time_to_first_token.as_secs_f64() * 1_000.0);
    direct_times.push(direct(&fleet, replica, &prompt).as_secs_f64() * 1_000.0);
  }
  let added = |part| quantile(&through_times, part) - quantile(&direct_times, part);
  Ok(json!({
    "directP50Ms": quantile(&direct_times, 0.5), "directP99Ms": quantile(&direct_times, 0.99),
    "throughP50Ms": quantile(&through_times, 0.5), "throughP99Ms": quantile(&through_times, 0.99),
    "addedP50Ms": added(0.5), "addedP99Ms": added(0.99),
  }))
}

/// Memory of an idle instance and of one with many open streams, in MB.
fn streams(program: &Path) -> io::Result<Value> {
  let fleet = plan(program)
    .instances(1)
    .engines(1, |options| {
      options.slots = STREAMS as u32;
      options.token = Duration::from_millis(100);
    })
    .start()?;
  Request::of("model", "warm", 1).send(fleet.callers(0));
  let idle = memory_mb(&fleet);
  let threads: Vec<_> = (0..STREAMS)
    .map(|at| {
      let address = fleet.callers(0).to_string();
      let run = move || Request::of("model", &format!("{at}"), 60).send(&address);
      thread::Builder::new().stack_size(128 << 10).spawn(run)
    })
    .collect::<Result<_, _>>()?;
  let (mut open, mut busy) = (0, idle);
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
  let complete = replies.iter().filter(|reply| reply.is_complete).count();
  Ok(json!({
    "openStreams": open, "answeredWhole": complete, "restMb": idle, "busyMb": busy,
    "kbEachStream": (busy - idle) * 1_000.0 / f64::from(open.max(1)),
  }))
}

/// Sends bursts to all instances for one replica with few slots, using dispatch mode `mode`.
fn dispatch(program: &Path, mode: &str) -> io::Result<Value> {
  let fleet = plan(program)
    .instances(INSTANCES)
    .limits(json!({ "dispatch": mode }))
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
    first.extend(
      replies
        .iter()
        .map(|reply| reply.time_to_first_token.as_secs_f64()),
    );
    eprintln!(
      "{mode}: {} complete in {:?}",
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

/// Total retries from the `/metrics` page of an instance.
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
