//! The `soak` command: injects random faults into real instances, reproducible by seed.

use lexopt::prelude::*;
use soak::{
  build::{self, Shares},
  check::{Bounds, Violation, check},
  history::{End, History},
  leaving,
  plan::{self, Size, Step},
  switch::Break,
  world::{LEASE_MS, Options, simulate},
};
use std::{
  collections::BTreeMap,
  path::PathBuf,
  process::ExitCode,
  sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
  },
  time::{Instant, SystemTime, UNIX_EPOCH},
};

const USAGE: &str = "usage: soak --program FILE [--seed N]... [--seconds S] [--instances N]
            [--servers N] [--callers N] [--faults-ms MS] [--steps N] [--untimed]
            [--break NAME] [--logs DIR] [--shrink]";

/// Time from the last fault to the end of a run: recovery, then requests without faults.
const CALM_MS: u64 = 9_000;

#[derive(Clone)]
struct Arguments {
  program: PathBuf,
  seeds: Vec<u64>,
  /// How long random seeds are run, in seconds.
  seconds: u64,
  size: Size,
  /// Number of steps of the plan to run.
  steps: usize,
  timed: bool,
  switch: Option<(&'static str, Break, &'static str)>,
  logs: Option<PathBuf>,
  shrink: bool,
}

fn main() -> ExitCode {
  match arguments().map_err(|error| error.to_string()) {
    Ok(arguments) => run(&arguments),
    Err(error) => {
      eprintln!("error: {error}\n{USAGE}");
      ExitCode::FAILURE
    }
  }
}

fn arguments() -> Result<Arguments, lexopt::Error> {
  let mut arguments = Arguments {
    program: PathBuf::new(),
    seeds: Vec::new(),
    seconds: 0,
    size: Size::default(),
    steps: usize::MAX,
    timed: true,
    switch: None,
    logs: None,
    shrink: false,
  };
  let mut parser = lexopt::Parser::from_env();
  while let Some(argument) = parser.next()? {
    match argument {
      Long("program") => arguments.program = parser.value()?.into(),
      Long("seed") => arguments.seeds.push(parser.value()?.parse()?),
      Long("seconds") => arguments.seconds = parser.value()?.parse()?,
      Long("instances") => arguments.size.instances = parser.value()?.parse()?,
      Long("servers") => arguments.size.servers = parser.value()?.parse()?,
      Long("callers") => arguments.size.callers = parser.value()?.parse()?,
      Long("faults-ms") => arguments.size.faults_ms = parser.value()?.parse()?,
      Long("steps") => arguments.steps = parser.value()?.parse()?,
      Long("untimed") => arguments.timed = false,
      Long("break") => arguments.switch = Some(parse_switch(&parser.value()?.string()?)?),
      Long("logs") => arguments.logs = Some(parser.value()?.into()),
      Long("shrink") => arguments.shrink = true,
      other => return Err(other.unexpected()),
    }
  }
  if !arguments.program.is_file() {
    let text = format!("--program: `{}` is not a file", arguments.program.display());
    return Err(text.into());
  }
  if arguments.size.instances == 0 || arguments.size.servers == 0 {
    return Err("--instances, --servers: `0` is not positive".into());
  }
  Ok(arguments)
}

fn parse_switch(name: &str) -> Result<(&'static str, Break, &'static str), lexopt::Error> {
  let entry = Break::ALL.into_iter().find(|(entry, ..)| *entry == name);
  entry.ok_or_else(|| format!("--break: `{name}` is unknown").into())
}

fn run(arguments: &Arguments) -> ExitCode {
  let stop = Arc::new(AtomicBool::new(false));
  let handler_stop = stop.clone();
  // On a signal the run ends, which stops the instances it started.
  if let Err(error) = ctrlc::set_handler(move || handler_stop.store(true, Ordering::Relaxed)) {
    eprintln!("error: cannot install the signal handler: {error}");
    return ExitCode::FAILURE;
  }
  let started_at = Instant::now();
  let mut failed = Vec::new();
  let mut seeds = arguments.seeds.clone();
  let mut seeds_run = 0;
  while !stop.load(Ordering::Relaxed) {
    let may_draw = started_at.elapsed().as_secs() < arguments.seconds;
    let Some(seed) = seeds.pop().or_else(|| may_draw.then(random_seed)) else {
      break;
    };
    seeds_run += 1;
    if !run_seed(arguments, seed, &stop) {
      failed.push(seed);
    }
  }
  println!(
    "{seeds_run} seeds in {} s, failed: {failed:?}",
    started_at.elapsed().as_secs()
  );
  match failed.is_empty() {
    true => ExitCode::SUCCESS,
    false => ExitCode::FAILURE,
  }
}

fn random_seed() -> u64 {
  let since = SystemTime::now().duration_since(UNIX_EPOCH);
  since.map_or(1, |since| since.as_nanos() as u64 % 1_000_000_007)
}

/// Runs one seed. Returns whether no invariant was violated or, with a switch, whether the
/// invariant that it breaks was reported.
fn run_seed(arguments: &Arguments, seed: u64, stop: &AtomicBool) -> bool {
  let mut steps = match arguments.switch {
    Some((_, switch, _)) => switch.steps(),
    None => plan::generate(seed, &arguments.size),
  };
  steps.truncate(arguments.steps);
  println!("seed {seed}, {} faults", steps.len());
  let Some((history, violations)) = run_plan(arguments, seed, &steps, stop) else {
    return false;
  };
  report_requests(&history);
  report_leaving(&history);
  report_streams(&history);
  if let Some((name, _, invariant)) = arguments.switch {
    let noticed = violations
      .iter()
      .any(|violation| violation.invariant == invariant);
    println!(
      "  switch `{name}`: `{invariant}` {}",
      if noticed { "noticed" } else { "NOT NOTICED" }
    );
    return noticed;
  }
  if violations.is_empty() {
    return true;
  }
  steps.iter().for_each(|step| println!("  {step}"));
  print_violations(&violations);
  if arguments.shrink {
    shrink(arguments, seed, &steps, stop);
  }
  false
}

fn run_plan(
  arguments: &Arguments,
  seed: u64,
  steps: &[Step],
  stop: &AtomicBool,
) -> Option<(History, Vec<Violation>)> {
  let logs = arguments
    .logs
    .as_ref()
    .map(|folder| folder.join(seed.to_string()));
  if let Some(Err(error)) = logs.as_ref().map(std::fs::create_dir_all) {
    eprintln!("error: --logs: {error}");
    return None;
  }
  let options = Options {
    program: arguments.program.clone(),
    seed,
    size: arguments.size,
    steps: steps.to_vec(),
    switch: arguments.switch.map(|(_, switch, _)| switch),
    logs,
    calm_ms: CALM_MS,
  };
  let bounds = Bounds {
    lease_ms: LEASE_MS,
    timed: arguments.timed,
    ..Bounds::for_seed(seed)
  };
  match simulate(&options, stop) {
    Ok(history) => {
      let violations = check(&history, &bounds);
      Some((history, violations))
    }
    Err(error) => {
      eprintln!("error: cannot run seed {seed}: {error}");
      None
    }
  }
}

/// Finds the shortest prefix of the plan that fails, by bisection.
fn shrink(arguments: &Arguments, seed: u64, steps: &[Step], stop: &AtomicBool) {
  let (mut passing, mut failing) = (0, steps.len());
  while failing - passing > 1 && !stop.load(Ordering::Relaxed) {
    let middle = (passing + failing) / 2;
    let violations = run_plan(arguments, seed, &steps[..middle], stop);
    match violations.is_some_and(|(_, violations)| !violations.is_empty()) {
      true => failing = middle,
      false => passing = middle,
    }
  }
  println!("  shortest prefix that fails: --seed {seed} --steps {failing}");
}

fn print_violations(violations: &[Violation]) {
  const MAX_PRINTED: usize = 20;
  for violation in violations.iter().take(MAX_PRINTED) {
    let Violation {
      invariant,
      at,
      text,
    } = violation;
    println!("  BROKEN {invariant} at {at} ms: {text}");
  }
  if violations.len() > MAX_PRINTED {
    println!("  and {} more", violations.len() - MAX_PRINTED);
  }
}

/// Prints how many streams were joined and resumed.
fn report_streams(history: &History) {
  if history.streams.is_empty() {
    return;
  }
  let Shares { resumed, new } = build::shares(history, &Bounds::default());
  println!(
    "  {} streams, {} joined; {} resumptions, of those that count {} of {} went on; {} of {} new ones began",
    history.streams.len(),
    build::joined(history).len(),
    history.resumptions.len(),
    resumed.count,
    resumed.total,
    new.count,
    new.total
  );
  let returns = &history.returns;
  if !returns.is_empty() {
    let went_on = returns.iter().filter(|one| one.went_on).count();
    println!("  {} came back later, {went_on} went on", returns.len());
  }
}

/// Prints how late the last requests of connected instances to leaving servers came.
fn report_leaving(history: &History) {
  let mut delays_ms: Vec<u64> = leaving::last_runs(history, &Bounds::default())
    .iter()
    .map(|last| last.after_ms)
    .collect();
  delays_ms.sort_unstable_by_key(|delay_ms| std::cmp::Reverse(*delay_ms));
  println!(
    "  {} servers left, last requests after {delays_ms:?} ms",
    history.drained.len()
  );
}

fn report_requests(history: &History) {
  let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
  for request in &history.requests {
    let outcome = match request.end {
      End::Success { .. } => "served",
      End::Failure { status: 503, .. } => "refused",
      End::Failure { .. } => "failed",
      End::Truncated => "cut",
      End::Closed => "closed",
      End::Unreached => "unreached",
      End::Left => "left",
    };
    *ends.entry(outcome).or_default() += 1;
  }
  println!(
    "  {} requests {ends:?}, {} runs, {} orders, {} probes, lag {} ms",
    history.requests.len(),
    history.runs.len(),
    history.orders.len(),
    history.probes.len(),
    history.max_lag_ms
  );
}
