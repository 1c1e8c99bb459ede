//! Runs stand-ins from the command line.

use lexopt::{
  Arg::{Long, Value},
  ValueExt,
};
use stand_ins::{
  bench, budget, capacity, demo,
  engine::{Engine, Options},
  faults,
  platform::Platform,
  proxy::Proxy,
  replay::{Holder, Replay, Size, percentile},
  service::Service,
  trace,
};
use std::{error::Error, path::PathBuf, process::ExitCode, time::Duration};

const USAGE: &str = "usage: stand-ins demo
       stand-ins trace --program BENDSADDLE [--seeds N] [--instances N] [POLICY...]
       stand-ins bench --program BENDSADDLE
       stand-ins plan [--load PERCENT] [SERVERS...]
       stand-ins faults --program BENDSADDLE
       stand-ins capacity --program BENDSADDLE [PART...]
       stand-ins budget CAPACITY.json
       stand-ins platform [--listen IP:PORT] [--lag-ms N]
       stand-ins engine [--listen IP:PORT] [--name NAME] [--memory-mb N] [--slots N] [--no-fencing]
       stand-ins service [--listen IP:PORT] [--time-ms N]
       stand-ins proxy --target IP:PORT";

struct Args {
  command: String,
  listen: String,
  target: Option<String>,
  name: String,
  memory_mb: u64,
  slots: u32,
  fencing: bool,
  ms: u64,
  program: Option<PathBuf>,
  seeds: u64,
  instances: usize,
  load: u32,
  rest: Vec<String>,
}

fn parse() -> Result<Args, lexopt::Error> {
  let mut args = Args {
    command: String::new(),
    listen: "127.0.0.1:0".into(),
    target: None,
    name: "server-0".into(),
    memory_mb: 1_000,
    slots: 4,
    fencing: true,
    ms: 0,
    program: None,
    seeds: 2,
    instances: 4,
    load: 100,
    rest: Vec::new(),
  };
  let mut parser = lexopt::Parser::from_env();
  while let Some(arg) = parser.next()? {
    match arg {
      Long("listen") => args.listen = parser.value()?.string()?,
      Long("target") => args.target = Some(parser.value()?.string()?),
      Long("name") => args.name = parser.value()?.string()?,
      Long("memory-mb") => args.memory_mb = parser.value()?.parse()?,
      Long("slots") => args.slots = parser.value()?.parse()?,
      Long("no-fencing") => args.fencing = false,
      Long("lag-ms" | "time-ms") => args.ms = parser.value()?.parse()?,
      Long("program") => args.program = Some(parser.value()?.into()),
      Long("seeds") => args.seeds = parser.value()?.parse()?,
      Long("load") => args.load = parser.value()?.parse()?,
      Long("instances") => args.instances = parser.value()?.parse()?,
      Value(command) if args.command.is_empty() => args.command = command.string()?,
      Value(value) => args.rest.push(value.string()?),
      other => return Err(other.unexpected()),
    }
  }
  Ok(args)
}

/// Replays every seed for every named policy. The policies of one seed run one after another,
/// so that all of them see similar load on the machine.
fn run_traces(args: &Args) -> Result<bool, Box<dyn Error>> {
  let program = args.program.as_ref().ok_or("trace: --program is missing")?;
  let known = trace::variants();
  let unknown = |name: &&String| !known.iter().any(|variant| variant.name == name.as_str());
  if let Some(name) = args.rest.iter().find(unknown) {
    return Err(format!("trace: policy `{name}` is unknown").into());
  }
  let selected = |variant: &&trace::Variant| {
    args.rest.is_empty() || args.rest.iter().any(|name| name == variant.name)
  };
  let variants: Vec<_> = known.iter().filter(selected).collect();
  let mut outcomes = vec![trace::Outcome::default(); variants.len()];
  for seed in 1..=args.seeds {
    for (variant, outcome) in variants.iter().zip(&mut outcomes) {
      let replayed = trace::replay(program, variant, seed, args.instances)?;
      eprintln!("seed {seed} {}", trace::row(variant.name, &replayed));
      outcome.add(replayed);
    }
  }
  println!("{}", trace::HEAD);
  for (variant, outcome) in variants.iter().zip(&outcomes) {
    println!("{}", trace::row(variant.name, outcome));
  }
  Ok(
    outcomes
      .iter()
      .all(|outcome| outcome.violations == 0 && outcome.broken == 0),
  )
}

/// Prints the table of roles, and the exceeded limits to stderr.
fn run_budget(args: &Args) -> Result<bool, Box<dyn Error>> {
  let path = args
    .rest
    .first()
    .ok_or("budget: file of measured points is missing")?;
  let measured = serde_json::from_str(&std::fs::read_to_string(path)?)?;
  print!("{}", budget::table(&measured));
  let exceeded = budget::exceeded(&measured);
  for limit in &exceeded {
    eprintln!("{limit}");
  }
  Ok(exceeded.is_empty())
}

/// Runs the benchmarks and prints the results as JSON.
fn run_bench(args: &Args) -> Result<bool, Box<dyn Error>> {
  let program = args.program.as_ref().ok_or("bench: --program is missing")?;
  println!("{}", serde_json::to_string_pretty(&bench::run(program)?)?);
  Ok(true)
}

/// Measures capacity and prints the measured points as JSON.
fn run_capacity(args: &Args) -> Result<bool, Box<dyn Error>> {
  let program = args
    .program
    .as_ref()
    .ok_or("capacity: --program is missing")?;
  let measured = capacity::run(program, &args.rest)?;
  println!("{}", serde_json::to_string_pretty(&measured)?);
  Ok(true)
}

/// Simulates fleets of several sizes with the planner and prints its costs and results.
fn run_plan(args: &Args) -> Result<bool, Box<dyn Error>> {
  let sizes = match args.rest.is_empty() {
    true => vec![16, 64, 256],
    false => args
      .rest
      .iter()
      .map(|size| {
        size
          .parse()
          .map_err(|_| format!("plan: `{size}` is not a number of servers"))
      })
      .collect::<Result<Vec<usize>, String>>()?,
  };
  println!(
    "servers  steps  step us p50 p99  decided ms p50 p90  ordered ms p50 p90  requests  in time  served  orders  holdings"
  );
  for servers in sizes {
    let holder = Holder::Paced {
      cores: 0.5,
      rest: 6.0,
    };
    let base = Size::of(servers);
    let size = Size {
      rare_per_s: base.rare_per_s * f64::from(args.load) / 100.0,
      ..base
    };
    let outcome = Replay::open(size, holder, 1).play();
    let us = |hundredths| percentile(&outcome.steps, hundredths).as_micros();
    let fraction = |count: u32| f64::from(count) / f64::from(outcome.requests.max(1));
    println!(
      "{servers:>7} {:>6} {:>11} {:>4} {:>14} {:>4} {:>14} {:>4} {:>9} {:>8.3} {:>7.3} {:>7} {:>9}",
      outcome.steps.len(),
      us(50),
      us(99),
      percentile(&outcome.decided_ms, 50),
      percentile(&outcome.decided_ms, 90),
      percentile(&outcome.ordered_ms, 50),
      percentile(&outcome.ordered_ms, 90),
      outcome.requests,
      fraction(outcome.in_time),
      fraction(outcome.served),
      outcome.orders,
      outcome.holdings,
    );
  }
  Ok(true)
}

fn run() -> Result<bool, Box<dyn Error>> {
  let args = parse()?;
  let address = match args.command.as_str() {
    "demo" => return Ok(demo::run()?.succeeded()),
    "plan" => return run_plan(&args),
    "trace" => return run_traces(&args),
    "capacity" => return run_capacity(&args),
    "bench" => return run_bench(&args),
    "budget" => return run_budget(&args),
    "faults" => {
      faults::run(
        args
          .program
          .as_ref()
          .ok_or("faults: --program is missing")?,
      )?;
      return Ok(true);
    }
    "platform" => Platform::bind(&args.listen, Duration::from_millis(args.ms))?.address,
    "service" => Service::bind(&args.listen, Duration::from_millis(args.ms))?.address,
    "engine" => {
      let options = Options {
        memory_mb: args.memory_mb,
        slots: args.slots,
        fencing: args.fencing,
        ..Options::named(&args.name)
      };
      Engine::bind(&args.listen, options)?.address
    }
    "proxy" => {
      let target = args.target.ok_or("proxy: --target is missing")?;
      Proxy::bind(
        target
          .parse()
          .map_err(|_| format!("--target: `{target}` is not ip:port"))?,
      )?
      .address
    }
    other => return Err(format!("command: `{other}` is unknown\n{USAGE}").into()),
  };
  println!("{address}");
  let (sender, receiver) = std::sync::mpsc::channel();
  ctrlc::set_handler(move || {
    let _ = sender.send(());
  })?;
  receiver.recv()?;
  Ok(true)
}

fn main() -> ExitCode {
  match run() {
    Ok(true) => ExitCode::SUCCESS,
    Ok(false) => ExitCode::FAILURE,
    Err(error) => {
      eprintln!("error: {error}");
      ExitCode::FAILURE
    }
  }
}
