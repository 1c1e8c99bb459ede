//! Demonstration: a burst of requests for cold models is sent to several instances
//! concurrently, and every request must be answered completely.

use crate::{
  caller::Request,
  engine::{Engine, answer},
  fleet::{Fleet, Plan},
};
use serde_json::json;
use std::{io, thread, time::Duration};

/// Requests per model in the burst.
const REQUESTS: usize = 12;
const MODELS: usize = 4;
const TOKENS: u32 = 20;

/// Result of the demonstration.
pub struct Summary {
  pub completed: usize,
  pub requests: usize,
  pub loads: u64,
  pub violations: Vec<String>,
  /// Times to first token in ascending order.
  pub first: Vec<Duration>,
}

impl Summary {
  /// Whether every request was answered completely, no limit was exceeded and the
  /// number of loads equals the number of models.
  pub fn succeeded(&self) -> bool {
    self.completed == self.requests && self.violations.is_empty() && self.loads == MODELS as u64
  }
}

/// Runs the demonstration and prints the result.
pub fn run() -> io::Result<Summary> {
  let mut plan = Plan::default().engines(3, |options| options.memory_mb = 400);
  for at in 0..MODELS {
    plan = plan.model(&format!("model-{at}"), 200);
  }
  let fleet = plan
    .policy("all", json!({ "keepAlive": { "adaptive": 600_000 } }))
    .limits(json!({ "listMs": 200 }))
    .start()?;
  println!(
    "3 instances, 3 engines, {MODELS} cold models; a burst of {} requests",
    REQUESTS * MODELS
  );
  let summary = burst(&fleet);
  print(&fleet, &summary);
  Ok(summary)
}

fn burst(fleet: &Fleet) -> Summary {
  let mut threads = Vec::new();
  for at in 0..REQUESTS * MODELS {
    let address = fleet.callers(at).to_string();
    threads.push(thread::spawn(move || {
      let prompt = format!("question {at}");
      let request = Request::of(&format!("model-{}", at % MODELS), &prompt, TOKENS);
      let reply = request.send(&address);
      (
        reply.matches(&answer(&prompt, TOKENS as usize)),
        reply.time_to_first_token,
      )
    }));
  }
  let answers: Vec<_> = threads
    .into_iter()
    .filter_map(|thread| thread.join().ok())
    .collect();
  let mut first: Vec<Duration> = answers.iter().map(|(_, first)| *first).collect();
  first.sort();
  Summary {
    completed: answers.iter().filter(|(complete, _)| *complete).count(),
    requests: REQUESTS * MODELS,
    loads: fleet.engines.iter().map(Engine::loads).sum(),
    violations: fleet.violations(),
    first,
  }
}

fn print(fleet: &Fleet, summary: &Summary) {
  println!(
    "answered completely: {} of {}",
    summary.completed, summary.requests
  );
  println!("loads: {} for {MODELS} models", summary.loads);
  println!("violations: {}", summary.violations.len());
  let percentile = |part: f64| {
    let index = (summary.first.len() as f64 * part) as usize;
    summary
      .first
      .get(index.min(summary.first.len() - 1))
      .copied()
      .unwrap_or_default()
  };
  println!(
    "time to first token: p50 {:?}, p99 {:?}",
    percentile(0.5),
    percentile(0.99)
  );
  println!("timeline:");
  let mut lines = Vec::new();
  for member in &fleet.members {
    let body = crate::caller::get(&member.operators, "/timeline").body;
    for line in body.as_array().into_iter().flatten() {
      let what = line["what"].as_str().unwrap_or_default().to_string();
      if ["decided", "ordered", "ready"].contains(&what.as_str()) {
        let at = line["at"].as_u64().unwrap_or_default();
        let model = line["model"].as_str().unwrap_or_default().to_string();
        let server = line["server"].as_str().unwrap_or_default().to_string();
        lines.push((at, member.name.clone(), what, model, server));
      }
    }
  }
  lines.sort();
  let start = lines.first().map(|line| line.0).unwrap_or_default();
  for (at, name, what, model, server) in lines {
    println!(
      "{:>6} ms  {name}  {what:<8} {model} on {server}",
      at - start
    );
  }
}
