//! The command line.

use crate::{
  apply, compare, departures,
  edge::Edge,
  explain,
  instance::Instance,
  losses,
  router::Router,
  settings::{Error, Settings},
  signals::{Signal, Signals},
  timeline,
};
use error_stack::{Report, ResultExt};
use lexopt::{
  Arg::{Long, Value},
  Parser, ValueExt,
};
use slog::{Drain, Logger, o};
use std::{path::PathBuf, process::ExitCode};

const USAGE: &str = "\
usage: bendsaddle serve --settings FILE
       bendsaddle check FILE...
       bendsaddle apply DIR --platform IP:PORT
       bendsaddle get [KIND [NAME]] --platform IP:PORT
       bendsaddle status --instance IP:PORT
       bendsaddle timeline --instance IP:PORT [--trace]
       bendsaddle compare POLICY POLICY --instance IP:PORT [--plot FILE.svg]
       bendsaddle explain REQUEST FILE...
       bendsaddle losses FILE...
       bendsaddle departures FILE...";

type Outcome = Result<ExitCode, Report<Error>>;

/// Options of every command.
#[derive(Default)]
struct Options {
  settings: Option<PathBuf>,
  platform: Option<String>,
  instance: Option<String>,
  trace: bool,
  plot: Option<PathBuf>,
  rest: Vec<String>,
}

/// Runs the command named on the command line.
pub fn run() -> ExitCode {
  match dispatch() {
    Ok(code) => code,
    Err(report) => {
      eprintln!("error: {report}");
      ExitCode::FAILURE
    }
  }
}

fn dispatch() -> Outcome {
  let mut parser = Parser::from_env();
  let (command, options) = parse(&mut parser).change_context(Error(USAGE.into()))?;
  match command.as_str() {
    "serve" => serve(&options),
    "check" => check(&options),
    "apply" => apply::apply(&options.rest, &named(&options.platform, "--platform")?),
    "get" => apply::get(&options.rest, &named(&options.platform, "--platform")?),
    "status" => timeline::status(&named(&options.instance, "--instance")?),
    "timeline" => timeline::timeline(&named(&options.instance, "--instance")?, options.trace),
    "compare" => compare::compare(
      &options.rest,
      &named(&options.instance, "--instance")?,
      options.plot.as_deref(),
    ),
    "explain" => explain::explain(&options.rest),
    "losses" => losses::losses(&options.rest),
    "departures" => departures::departures(&options.rest),
    "help" | "" => {
      println!("{USAGE}");
      Ok(ExitCode::SUCCESS)
    }
    other => Err(Report::new(Error(format!(
      "command: `{other}` is unknown\n{USAGE}"
    )))),
  }
}

fn parse(parser: &mut Parser) -> Result<(String, Options), lexopt::Error> {
  let mut options = Options::default();
  let mut command = String::new();
  while let Some(arg) = parser.next()? {
    match arg {
      Long("settings") => options.settings = Some(parser.value()?.into()),
      Long("platform") => options.platform = Some(parser.value()?.string()?),
      Long("instance") => options.instance = Some(parser.value()?.string()?),
      Long("plot") => options.plot = Some(parser.value()?.into()),
      Long("trace") => options.trace = true,
      Long("help") => command = "help".into(),
      Value(value) if command.is_empty() => command = value.string()?,
      Value(value) => options.rest.push(value.string()?),
      other => return Err(other.unexpected()),
    }
  }
  Ok((command, options))
}

fn named(value: &Option<String>, option: &str) -> Result<String, Report<Error>> {
  let missing = || Report::new(Error(format!("{option}: missing\n{USAGE}")));
  let value = value.clone().ok_or_else(missing)?;
  match value.parse::<std::net::SocketAddr>() {
    Ok(_) => Ok(value),
    Err(_) => Err(Report::new(Error(format!(
      "{option}: `{value}` is not ip:port"
    )))),
  }
}

fn serve(options: &Options) -> Outcome {
  let path = options.settings.clone();
  let path = path.ok_or_else(|| Report::new(Error(format!("--settings: missing\n{USAGE}"))))?;
  let settings = Settings::open(&path)?;
  let log = logger(&settings.instance);
  let failed = || Error("could not start the instance".into());
  let instance = Instance::spawn(settings, log).change_context_lazy(failed)?;
  let ports = serde_json::json!({ "callers": instance.callers.to_string(),
    "peers": instance.peers.to_string(), "operators": instance.operators.to_string() });
  println!("{ports}");
  let mut signals = Signals::open().change_context_lazy(failed)?;
  // An instance reads its settings at its start only.
  while signals.wait().change_context_lazy(failed)? == Signal::Reload {}
  instance.stop();
  instance.wait();
  Ok(ExitCode::SUCCESS)
}

/// Runs an instance that routes requests; `edge` makes its edges.
pub fn run_router(edge: fn(&Settings) -> Result<Edge, String>) -> ExitCode {
  match routed(edge) {
    Ok(code) => code,
    Err(report) => {
      eprintln!("error: {report}");
      ExitCode::FAILURE
    }
  }
}

fn routed(edge: fn(&Settings) -> Result<Edge, String>) -> Outcome {
  let mut parser = Parser::from_env();
  let (command, options) = parse(&mut parser).change_context(Error(USAGE.into()))?;
  if command != "serve" {
    return Err(Report::new(Error(format!(
      "command: `{command}` is unknown"
    ))));
  }
  let path = options.settings.clone();
  let path = path.ok_or_else(|| Report::new(Error(format!("--settings: missing\n{USAGE}"))))?;
  let settings = Settings::open(&path)?;
  let log = logger(&settings.instance);
  let edge = edge(&settings).map_err(|fault| Report::new(Error(fault)))?;
  let failed = || Error("could not start the instance".into());
  let router = Router::spawn(&settings, edge, log).change_context_lazy(failed)?;
  let mut signals = Signals::open().change_context_lazy(failed)?;
  while signals.wait().change_context_lazy(failed)? == Signal::Reload {
    router.reload(Settings::open(&path));
  }
  router.stop();
  Ok(ExitCode::SUCCESS)
}

/// Lines that wait to be written; further ones are dropped, and a line counts them.
const LOG_LINES: usize = 2_048;

/// A log of JSON lines on standard output. Writing never blocks a request: a thread
/// writes, from a bounded queue.
fn logger(instance: &str) -> Logger {
  // Nobody could be notified that standard output is closed.
  let drain = slog_json::Json::default(std::io::stdout()).ignore_res();
  let drain = slog_async::Async::new(drain)
    .chan_size(LOG_LINES)
    .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
    .build()
    .ignore_res();
  Logger::root(drain, o!("instance" => instance.to_string()))
}

fn check(options: &Options) -> Outcome {
  if options.rest.is_empty() {
    return Err(Report::new(Error(format!("check: no file\n{USAGE}"))));
  }
  let mut code = ExitCode::SUCCESS;
  for file in &options.rest {
    for fault in apply::validation_errors(std::path::Path::new(file)) {
      eprintln!("{file}: {fault}");
      code = ExitCode::FAILURE;
    }
  }
  Ok(code)
}
