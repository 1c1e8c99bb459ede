//! The command line.

use crate::{
  allocator, apply, compare, departures,
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

type CommandResult = Result<ExitCode, Report<Error>>;

/// Options of all commands.
#[derive(Default)]
struct Options {
  settings: Option<PathBuf>,
  platform: Option<String>,
  instance: Option<String>,
  trace: bool,
  plot: Option<PathBuf>,
  args: Vec<String>,
}

/// Runs the command named on the command line.
pub fn run() -> ExitCode {
  allocator::return_large_blocks();
  match run_command() {
    Ok(code) => code,
    Err(report) => {
      eprintln!("error: {report:#}");
      ExitCode::FAILURE
    }
  }
}

fn run_command() -> CommandResult {
  let mut parser = Parser::from_env();
  let (command, options) = parse(&mut parser).change_context(Error(USAGE.into()))?;
  match command.as_str() {
    "serve" => serve(&options),
    "check" => check(&options),
    "apply" => apply::apply(
      &options.args,
      &required_address(&options.platform, "--platform")?,
    ),
    "get" => apply::get(
      &options.args,
      &required_address(&options.platform, "--platform")?,
    ),
    "status" => timeline::status(&required_address(&options.instance, "--instance")?),
    "timeline" => timeline::timeline(
      &required_address(&options.instance, "--instance")?,
      options.trace,
    ),
    "compare" => compare::compare(
      &options.args,
      &required_address(&options.instance, "--instance")?,
      options.plot.as_deref(),
    ),
    "explain" => explain::explain(&options.args),
    "losses" => losses::losses(&options.args),
    "departures" => departures::departures(&options.args),
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
      Value(value) => options.args.push(value.string()?),
      other => return Err(other.unexpected()),
    }
  }
  Ok((command, options))
}

fn required_address(value: &Option<String>, option: &str) -> Result<String, Report<Error>> {
  let missing = || Report::new(Error(format!("{option}: missing\n{USAGE}")));
  let value = value.clone().ok_or_else(missing)?;
  match value.parse::<std::net::SocketAddr>() {
    Ok(_) => Ok(value),
    Err(_) => Err(Report::new(Error(format!(
      "{option}: `{value}` is not ip:port"
    )))),
  }
}

fn serve(options: &Options) -> CommandResult {
  let start_error = || Error("could not start the instance".into());
  // Until its handlers are registered, a signal ends the process.
  let mut signals = Signals::new().change_context_lazy(start_error)?;
  let path = options.settings.clone();
  let path = path.ok_or_else(|| Report::new(Error(format!("--settings: missing\n{USAGE}"))))?;
  let settings = Settings::load(&path)?;
  let log = logger(&settings.instance);
  let instance = Instance::spawn(settings, log).change_context_lazy(start_error)?;
  let ports = serde_json::json!({ "callers": instance.callers.to_string(),
    "peers": instance.peers.to_string(), "operators": instance.operators.to_string() });
  println!("{ports}");
  // Settings are only read at startup, so a reload signal is ignored.
  while signals.wait().change_context_lazy(start_error)? == Signal::Reload {}
  instance.stop();
  instance.wait();
  Ok(ExitCode::SUCCESS)
}

/// Runs a routing instance; `edge` builds its deployment interface from the settings.
pub fn run_router(edge: fn(&Settings) -> Result<Edge, String>) -> ExitCode {
  allocator::return_large_blocks();
  match try_run_router(edge) {
    Ok(code) => code,
    Err(report) => {
      eprintln!("error: {report:#}");
      ExitCode::FAILURE
    }
  }
}

fn try_run_router(edge: fn(&Settings) -> Result<Edge, String>) -> CommandResult {
  let start_error = || Error("could not start the instance".into());
  // Until its handlers are registered, a signal ends the process.
  let mut signals = Signals::new().change_context_lazy(start_error)?;
  let mut parser = Parser::from_env();
  let (command, options) = parse(&mut parser).change_context(Error(USAGE.into()))?;
  if command != "serve" {
    return Err(Report::new(Error(format!(
      "command: `{command}` is unknown"
    ))));
  }
  let path = options.settings.clone();
  let path = path.ok_or_else(|| Report::new(Error(format!("--settings: missing\n{USAGE}"))))?;
  let settings = Settings::load(&path)?;
  let log = logger(&settings.instance);
  let edge = edge(&settings).map_err(|error| Report::new(Error(error)))?;
  let router = Router::spawn(&settings, edge, log).change_context_lazy(start_error)?;
  while signals.wait().change_context_lazy(start_error)? == Signal::Reload {
    router.reload(Settings::load(&path));
  }
  router.stop();
  Ok(ExitCode::SUCCESS)
}

/// Capacity of the log queue. Further lines are dropped, and a line reports their number.
const LOG_QUEUE_LINES: usize = 2_048;

/// Logs JSON lines to standard output. A separate thread writes them from a bounded queue,
/// so that logging never blocks a request.
fn logger(instance: &str) -> Logger {
  // Write errors are ignored: there is no other place to report a closed standard output.
  let drain = slog_json::Json::default(std::io::stdout()).ignore_res();
  let drain = slog_async::Async::new(drain)
    .chan_size(LOG_QUEUE_LINES)
    .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
    .build()
    .ignore_res();
  Logger::root(drain, o!("instance" => instance.to_string()))
}

fn check(options: &Options) -> CommandResult {
  if options.args.is_empty() {
    return Err(Report::new(Error(format!("check: no file given\n{USAGE}"))));
  }
  let mut code = ExitCode::SUCCESS;
  for file in &options.args {
    for error in apply::validation_errors(std::path::Path::new(file)) {
      eprintln!("{file}: {error}");
      code = ExitCode::FAILURE;
    }
  }
  Ok(code)
}
