//! `soak`: random faults against real instances, by seed.

use lexopt::prelude::*;
use soak::{
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

/// Time from the last fault to the end of a run, ms: recovery, then calm requests.
const CALM_MS: u64 = 9_000;

#[derive(Clone)]
struct Arguments {
  program: PathBuf,
  seeds: Vec<u64>,
  /// Fresh seeds are played for this long.
  seconds: u64,
  size: Size,
  /// Steps of the plan that are played.
  steps: usize,
  timed: bool,
  broken: Option<(&'static str, Break, &'static str)>,
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
    broken: None,
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
      Long("break") => arguments.broken = Some(switch(&parser.value()?.string()?)?),
      Long("logs") => arguments.logs = Some(parser.value()?.into()),
      Long("shrink") => arguments.shrink = true,
      other => return Err(other.unexpected()),
    }
  }
  if !arguments.program.is_file() {
    let text = format!("--program: `{}` is no file", arguments.program.display());
    return Err(text.into());
  }
  if arguments.size.instances == 0 || arguments.size.servers == 0 {
    return Err("--instances, --servers: `0` is not positive".into());
  }
  Ok(arguments)
}

fn switch(name: &str) -> Result<(&'static str, Break, &'static str), lexopt::Error> {
  let known = Break::ALL.into_iter().find(|(known, ..)| *known == name);
  known.ok_or_else(|| format!("--break: `{name}` is unknown").into())
}

fn run(arguments: &Arguments) -> ExitCode {
  let stop = Arc::new(AtomicBool::new(false));
  let asked = stop.clone();
  // Instances end with the run that started them.
  if let Err(error) = ctrlc::set_handler(move || asked.store(true, Ordering::Relaxed)) {
    eprintln!("error: signals cannot be handled: {error}");
    return ExitCode::FAILURE;
  }
  let began = Instant::now();
  let mut failed = Vec::new();
  let mut seeds = arguments.seeds.clone();
  let mut played = 0;
  while !stop.load(Ordering::Relaxed) {
    let fresh = began.elapsed().as_secs() < arguments.seconds;
    let Some(seed) = seeds.pop().or_else(|| fresh.then(draw)) else {
      break;
    };
    played += 1;
    if !one(arguments, seed, &stop) {
      failed.push(seed);
    }
  }
  println!(
    "{played} seeds in {} s, failed: {failed:?}",
    began.elapsed().as_secs()
  );
  match failed.is_empty() {
    true => ExitCode::SUCCESS,
    false => ExitCode::FAILURE,
  }
}

fn draw() -> u64 {
  let since = SystemTime::now().duration_since(UNIX_EPOCH);
  since.map_or(1, |since| since.as_nanos() as u64 % 1_000_000_007)
}

/// Plays one seed; whether it kept all promises, or broke the one that a switch breaks.
fn one(arguments: &Arguments, seed: u64, stop: &AtomicBool) -> bool {
  let mut steps = match arguments.broken {
    Some((_, broken, _)) => broken.steps(),
    None => plan::generate(seed, &arguments.size),
  };
  steps.truncate(arguments.steps);
  println!("seed {seed}, {} faults", steps.len());
  let Some((history, found)) = played(arguments, seed, &steps, stop) else {
    return false;
  };
  report(&history);
  report_leaving(&history);
  if let Some((name, _, promise)) = arguments.broken {
    let noticed = found.iter().any(|violation| violation.promise == promise);
    println!(
      "  switch `{name}`: `{promise}` {}",
      if noticed { "noticed" } else { "NOT NOTICED" }
    );
    return noticed;
  }
  if found.is_empty() {
    return true;
  }
  steps.iter().for_each(|step| println!("  {step}"));
  print_found(&found);
  if arguments.shrink {
    shrink(arguments, seed, &steps, stop);
  }
  false
}

fn played(
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
    switch: arguments.broken.map(|(_, broken, _)| broken),
    logs,
    calm_ms: CALM_MS,
  };
  let bounds = Bounds {
    lease_ms: LEASE_MS,
    timed: arguments.timed,
    ..Bounds::default()
  };
  match simulate(&options, stop) {
    Ok(history) => {
      let found = check(&history, &bounds);
      Some((history, found))
    }
    Err(error) => {
      eprintln!("error: seed {seed} could not be played: {error}");
      None
    }
  }
}

/// Halves the plan as long as a prefix still fails.
fn shrink(arguments: &Arguments, seed: u64, steps: &[Step], stop: &AtomicBool) {
  let (mut passes, mut fails) = (0, steps.len());
  while fails - passes > 1 && !stop.load(Ordering::Relaxed) {
    let middle = (passes + fails) / 2;
    let found = played(arguments, seed, &steps[..middle], stop);
    match found.is_some_and(|(_, found)| !found.is_empty()) {
      true => fails = middle,
      false => passes = middle,
    }
  }
  println!("  shortest prefix that fails: --seed {seed} --steps {fails}");
}

fn print_found(found: &[Violation]) {
  const MOST: usize = 20;
  for violation in found.iter().take(MOST) {
    let Violation { promise, at, text } = violation;
    println!("  BROKEN {promise} at {at} ms: {text}");
  }
  if found.len() > MOST {
    println!("  and {} more", found.len() - MOST);
  }
}

/// The latest requests to servers that leave, of instances in touch.
fn report_leaving(history: &History) {
  let mut after: Vec<u64> = leaving::last(history, &Bounds::default())
    .iter()
    .map(|last| last.after_ms)
    .collect();
  after.sort_unstable_by_key(|after| std::cmp::Reverse(*after));
  println!(
    "  {} servers left, last requests after {after:?} ms",
    history.drained.len()
  );
}

fn report(history: &History) {
  let mut ends: BTreeMap<&str, usize> = BTreeMap::new();
  for sent in &history.sent {
    let word = match sent.end {
      End::Success { .. } => "served",
      End::Failure { status: 503, .. } => "refused",
      End::Failure { .. } => "failed",
      End::Cut => "cut",
      End::Closed => "closed",
      End::Unreached => "unreached",
      End::Left => "left",
    };
    *ends.entry(word).or_default() += 1;
  }
  println!(
    "  {} requests {ends:?}, {} runs, {} orders, {} probes, lag {} ms",
    history.sent.len(),
    history.runs.len(),
    history.orders.len(),
    history.probes.len(),
    history.lag_ms
  );
}
