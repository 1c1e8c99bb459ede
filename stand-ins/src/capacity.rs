//! Measurements for docs/CAPACITY.md: the cost of one additional instance, model,
//! server, change, load or claim for an instance and for the platform.

use crate::{
  caller::{self, Request},
  fleet::{Fleet, Plan},
};
use bendsaddle::object::Kind;
use serde_json::{Value, json};
use std::{
  io,
  path::Path,
  thread,
  time::{Duration, Instant},
};

/// Duration of the measurement of a point.
const WINDOW: Duration = Duration::from_secs(5);
/// Time for a fleet to become idle before a point is measured.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Cost per second for an instance and for the platform, averaged over a window.
#[derive(Clone, Debug)]
pub struct Point {
  /// CPU time of one instance, in ms per second.
  pub cpu_ms: f64,
  /// Resident memory of one instance, in MB.
  pub memory_mb: f64,
  /// Bytes that one instance exchanges with other instances, sent and received.
  pub bytes: f64,
  /// Platform reads and writes by all instances.
  pub reads: f64,
  pub writes: f64,
}

#[derive(Clone, Copy)]
struct Reading {
  cpu_ms: f64,
  memory_mb: f64,
  bytes: f64,
}

/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;
/// Bytes per page in `/proc/PID/statm`.
const PAGE_BYTES: f64 = 4096.0;

/// Average resident memory of an instance, in MB.
pub fn memory_mb(fleet: &Fleet) -> f64 {
  read(fleet).memory_mb / fleet.members.len() as f64
}

fn read(fleet: &Fleet) -> Reading {
  let mut sum = Reading {
    cpu_ms: 0.0,
    memory_mb: 0.0,
    bytes: 0.0,
  };
  for member in &fleet.members {
    let pid = member.pid().unwrap_or_default();
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<f64> = stat
      .rsplit(')')
      .next()
      .unwrap_or_default()
      .split_whitespace()
      .map(|field| field.parse().unwrap_or_default())
      .collect();
    let ticks = fields.get(11).unwrap_or(&0.0) + fields.get(12).unwrap_or(&0.0);
    sum.cpu_ms += ticks / TICKS_PER_SECOND * 1_000.0;
    let statm = std::fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = statm
      .split_whitespace()
      .nth(1)
      .and_then(|pages| pages.parse::<f64>().ok());
    sum.memory_mb += pages.unwrap_or_default() * PAGE_BYTES / 1e6;
    sum.bytes += member.status()["peer_bytes"].as_f64().unwrap_or_default();
  }
  sum
}

/// Runs `work` and measures the cost over at least one window.
fn measure(fleet: &Fleet, work: impl FnOnce()) -> Point {
  let count = fleet.members.len() as f64;
  let (before, calls, start) = (read(fleet), fleet.platform.calls(), Instant::now());
  work();
  thread::sleep(WINDOW.saturating_sub(start.elapsed()));
  let (after, now) = (read(fleet), fleet.platform.calls());
  let seconds = start.elapsed().as_secs_f64();
  let rate = |before: f64, after: f64| (after - before) / seconds;
  let reads = |calls: &crate::platform::Calls| (calls.reads + calls.watches) as f64;
  Point {
    cpu_ms: rate(before.cpu_ms, after.cpu_ms) / count,
    memory_mb: after.memory_mb / count,
    bytes: rate(before.bytes, after.bytes) / count,
    reads: rate(reads(&calls), reads(&now)),
    writes: rate(calls.writes as f64, now.writes as f64),
  }
}

/// Least-squares line through the points: its slope and its value at 0.
pub fn fit(points: &[(f64, f64)]) -> (f64, f64) {
  let count = points.len() as f64;
  let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
  let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
  let numerator = points
    .iter()
    .map(|(x, y)| (x - mean_x) * (y - mean_y))
    .sum::<f64>();
  let denominator = points
    .iter()
    .map(|(x, _)| (x - mean_x).powi(2))
    .sum::<f64>();
  let slope = if denominator > 0.0 {
    numerator / denominator
  } else {
    0.0
  };
  (slope, mean_y - slope * mean_x)
}

fn plan(program: &Path, instances: usize, servers: usize, models: usize) -> Plan {
  let mut plan = Plan::default()
    .program(program)
    .instances(instances)
    .policy("all", json!({ "keepAlive": { "fixed": 600_000 } }))
    .engines(servers, |options| {
      options.memory_mb = 100_000;
      options.load = [Duration::ZERO; 3];
      options.token = Duration::ZERO;
    });
  for at in 0..models {
    let name = format!("model-{at:05}");
    let base = json!({ "memoryMb": 20, "labels": { "tenant": format!("t{}", at % 50) } });
    plan.models.push((name, base));
  }
  plan
}

fn point(name: &str, at: f64, point: &Point) -> Value {
  eprintln!("{name} {at}: {point:?}");
  json!({ "at": at, "cpuMs": point.cpu_ms, "memoryMb": point.memory_mb, "bytes": point.bytes,
    "reads": point.reads, "writes": point.writes })
}

/// Cost of idle instances by fleet size.
fn instances(program: &Path) -> io::Result<Value> {
  let mut points = Vec::new();
  for count in [3, 7, 14, 28, 42] {
    let fleet = plan(program, count, 4, 100).start()?;
    thread::sleep(SETTLE_TIME);
    points.push(point("instances", count as f64, &measure(&fleet, || {})));
  }
  Ok(json!(points))
}

/// Cost by number of configured models.
fn models(program: &Path) -> io::Result<Value> {
  let mut points = Vec::new();
  for count in [100, 5_000, 10_000, 20_000] {
    let fleet = plan(program, 3, 2, count).start()?;
    // Wait until the initial synchronization of the configuration has ended.
    thread::sleep(SETTLE_TIME + Duration::from_millis(count as u64));
    points.push(point("models", count as f64, &measure(&fleet, || {})));
  }
  Ok(json!(points))
}

/// Cost by number of idle backend servers that an instance monitors.
fn servers(program: &Path) -> io::Result<Value> {
  let mut points = Vec::new();
  for count in [2, 8, 24, 48] {
    let fleet = plan(program, 2, count, 100).start()?;
    thread::sleep(SETTLE_TIME);
    // Each of the two instances monitors half of the servers.
    points.push(point(
      "servers",
      count as f64 / 2.0,
      &measure(&fleet, || {}),
    ));
  }
  Ok(json!(points))
}

/// Cost by configuration changes per second, with the time until a change is in
/// force at every instance.
fn changes(program: &Path) -> io::Result<Value> {
  let mut points = Vec::new();
  for rate in [0_u64, 5, 20] {
    let fleet = plan(program, 7, 2, 100).start()?;
    thread::sleep(SETTLE_TIME);
    let mut spread = Vec::new();
    let measured = measure(&fleet, || {
      for at in 0..rate * WINDOW.as_secs() {
        let start = Instant::now();
        let value = json!({ "memoryMb": 20 + at, "labels": {} });
        let version = fleet
          .platform
          .put(Kind::Model, &format!("model-{:05}", at % 100), value);
        if at % rate == 0 {
          spread.push(time_to_reach(&fleet, version).as_secs_f64() * 1_000.0);
        }
        let pause = Duration::from_millis(1_000 / rate);
        thread::sleep(pause.saturating_sub(start.elapsed()));
      }
    });
    let mut row = point("changes", rate as f64, &measured);
    row["inForceMs"] = json!(spread);
    points.push(row);
  }
  Ok(json!(points))
}

/// Time until an object of at least this version is in force at every instance.
fn time_to_reach(fleet: &Fleet, version: u64) -> Duration {
  let start = Instant::now();
  for member in &fleet.members {
    loop {
      let list = member.configured();
      let newest = list
        .iter()
        .filter_map(|entry| entry["version"].as_u64())
        .max();
      if newest >= Some(version) || start.elapsed() > WINDOW {
        break;
      }
    }
  }
  start.elapsed()
}

/// Cost by models per second that are loaded on demand and become idle again.
fn wakes(program: &Path) -> io::Result<Value> {
  let mut points = Vec::new();
  for rate in [0_u64, 4, 12] {
    let mut plan = plan(program, 7, 4, 400);
    plan.policies[0].1 = json!({ "keepAlive": { "fixed": 300 } });
    let fleet = plan.limits(json!({ "drainMs": 100 })).start()?;
    thread::sleep(SETTLE_TIME);
    let measured = measure(&fleet, || {
      for at in 0..rate * WINDOW.as_secs() {
        let address = fleet.callers(at as usize).to_string();
        let model = format!("model-{:05}", at % 400);
        let send = move || Request::of(&model, "wake", 1).send(&address);
        // Only the cost is measured, so the response is ignored.
        drop(thread::spawn(send));
        thread::sleep(Duration::from_millis(1_000 / rate));
      }
      thread::sleep(Duration::from_millis(700));
    });
    points.push(point("wakes", rate as f64, &measured));
  }
  Ok(json!(points))
}

/// Cost by requests per second for a loaded model.
fn requests(program: &Path) -> io::Result<Value> {
  let mut points = Vec::new();
  for rate in [0_u64, 60, 180] {
    let fleet = plan(program, 3, 2, 10).start()?;
    let warm = Request::of("model-00001", "warm", 1).send(fleet.callers(0));
    assert_eq!(warm.status, 200, "{warm:?}");
    thread::sleep(SETTLE_TIME);
    let send = |address: &str| Request::of("model-00001", "prompt", 1).send(address);
    let measured = measure(&fleet, || drop(send_at(&fleet, rate, send)));
    points.push(point("requests", rate as f64 / 3.0, &measured));
  }
  Ok(json!(points))
}

/// Sends `rate` requests per second for one window, each on its own thread, and
/// returns the responses.
fn send_at(
  fleet: &Fleet,
  rate: u64,
  send: impl Fn(&str) -> caller::Answer + Send + Clone + 'static,
) -> Vec<caller::Answer> {
  let start = Instant::now();
  let mut threads = Vec::new();
  for at in 0..rate * WINDOW.as_secs() {
    let due = Duration::from_secs_f64(at as f64 / rate as f64);
    thread::sleep(due.saturating_sub(start.elapsed()));
    let address = fleet.callers(at as usize).to_string();
    let send = send.clone();
    threads.push(thread::spawn(move || send(&address)));
  }
  let ended = threads.into_iter().filter_map(|thread| thread.join().ok());
  ended.collect()
}

/// Cost by calls per second that must not be retried, with the claims per platform
/// write and the latency that a claim adds.
fn claims(program: &Path) -> io::Result<Value> {
  let mut points = Vec::new();
  for rate in [50_u64, 150, 400] {
    let fleet = plan(program, 3, 1, 1).services(2, Duration::ZERO).start()?;
    thread::sleep(SETTLE_TIME);
    let plain = |address: &str| caller::call(address, "/services/portal/x", None, "deck");
    let keyed = |address: &str| {
      let key = format!("{:016x}", rand::random::<u64>());
      caller::call(address, "/services/portal/x", Some(&key), "deck")
    };
    let without = times(&send_at(&fleet, rate, plain));
    let mut with = Vec::new();
    let measured = measure(&fleet, || with = times(&send_at(&fleet, rate, keyed)));
    let mut row = point("claims", rate as f64, &measured);
    row["claimsPerWrite"] = json!(2.0 * rate as f64 / measured.writes);
    let quantile = |times: &[f64], part| bendsaddle::compare::quantile(times, part);
    row["addedP50Ms"] = json!(quantile(&with, 0.5) - quantile(&without, 0.5));
    row["addedP99Ms"] = json!(quantile(&with, 0.99) - quantile(&without, 0.99));
    eprintln!("{row}");
    points.push(row);
  }
  Ok(json!(points))
}

fn times(replies: &[caller::Answer]) -> Vec<f64> {
  let answered = replies.iter().filter(|reply| reply.status == 200);
  answered
    .map(|reply| reply.total.as_secs_f64() * 1_000.0)
    .collect()
}

/// Measures the parts in `parts`, or all parts if it is empty.
pub fn run(program: &Path, parts: &[String]) -> io::Result<Value> {
  type Part = (&'static str, fn(&Path) -> io::Result<Value>);
  let all: [Part; 7] = [
    ("instances", instances),
    ("models", models),
    ("servers", servers),
    ("changes", changes),
    ("wakes", wakes),
    ("requests", requests),
    ("claims", claims),
  ];
  let mut measured = json!({});
  for (name, part) in all {
    if parts.is_empty() || parts.iter().any(|wanted| wanted == name) {
      measured[name] = part(program)?;
    }
  }
  Ok(measured)
}
