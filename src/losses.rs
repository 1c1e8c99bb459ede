//! Reports why requests were lost: reads the log files of all instances and counts each
//! request that was not served in time under its one main cause.

use crate::{
  explain::{self, Line},
  pace::Class,
  settings::Error,
};
use error_stack::Report;
use serde_json::Value;
use std::{
  collections::{BTreeMap, HashMap},
  fmt,
  process::ExitCode,
};

/// Models and servers that are printed at most.
const MAX_PLACES: usize = 10;

/// Why a request was not served in time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
  /// It spent most of its wait on the decision to load its model.
  Decision,
  /// It spent most of its wait on the order that follows the decision.
  Order,
  /// It spent most of its wait on the load.
  Load,
  /// It waited, and no load of its model was planned in that time.
  Unplanned,
  /// The first bytes came late from a server that had the model.
  Server,
  /// The same, as expected when it was sent: no server was better.
  ServerExpected,
  /// A pause between two events of its response was too long.
  Pause,
  /// Such a pause at a server of slow pace.
  SlowServerPause,
  /// The same, as expected when it was sent.
  PauseExpected,
  /// Refused, with the reason.
  Refused(String),
  /// Its last send failed, with the reason.
  Failed(String),
  /// The caller disconnected.
  CallerGone,
  /// The caller was dropped because it did not read, with the reason.
  ReaderDropped(String),
  /// The log has no end of the request: the instance or its log ended earlier.
  Unfinished,
}

impl fmt::Display for Cause {
  fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
    match self {
      Self::Decision => f.write_str("cold: waited for a decision"),
      Self::Order => f.write_str("cold: waited for the order"),
      Self::Load => f.write_str("cold: waited for the load"),
      Self::Unplanned => f.write_str("waited, but no load was planned"),
      Self::Server => f.write_str("late first bytes from the server"),
      Self::ServerExpected => f.write_str("late first bytes, expected when sent"),
      Self::PauseExpected => f.write_str("pause between events, expected when sent"),
      Self::Pause => f.write_str("pause between events"),
      Self::SlowServerPause => f.write_str("pause between events of a slow server"),
      Self::Refused(reason) => write!(f, "refused: {reason}"),
      Self::Failed(why) => write!(f, "failed: {why}"),
      Self::CallerGone => f.write_str("caller left"),
      Self::ReaderDropped(why) => write!(f, "caller did not read, and was dropped: {why}"),
      Self::Unfinished => f.write_str("unfinished"),
    }
  }
}

/// Number of requests in the logs, and number of lost requests by cause and route.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Table {
  pub requests: usize,
  pub lost: BTreeMap<Cause, BTreeMap<String, usize>>,
  /// Callers that left a server before the first event, by model and server.
  pub left_silent: BTreeMap<(String, String), usize>,
}

/// Times of an event by model, in seconds since midnight.
type Times<'a> = HashMap<&'a str, Vec<f64>>;

/// Counts requests and lost requests in log lines.
pub fn table(mut lines: Vec<Line>) -> Table {
  lines.sort_by(|a, b| a.at.total_cmp(&b.at));
  let planned = times(&lines, |line| {
    line.message() == "planned" && line.text("what") == Some("load")
  });
  let ordered = times(&lines, |line| {
    line.message() == "ordered"
      && line.text("act") == Some("Load")
      && line.text("adapter").is_none()
      && line.text("taken") == Some("Accepted")
  });
  let mut requests: BTreeMap<&str, Vec<&Line>> = BTreeMap::new();
  for line in &lines {
    if let Some(request) = line.text("request") {
      requests.entry(request).or_default().push(line);
    }
  }
  let mut table = Table {
    requests: requests.len(),
    ..Table::default()
  };
  for request_lines in requests.values() {
    let Some(cause) = loss_cause(request_lines, &planned, &ordered) else {
      continue;
    };
    if let Some(place) = left_silent(request_lines) {
      *table.left_silent.entry(place).or_default() += 1;
    }
    let route = request_lines.iter().find_map(|line| line.text("route"));
    let routes = table.lost.entry(cause).or_default();
    *routes.entry(route.unwrap_or("-").into()).or_default() += 1;
  }
  table
}

fn times<'a>(lines: &'a [Line], matches: impl Fn(&Line) -> bool) -> Times<'a> {
  let mut times: Times = HashMap::new();
  for line in lines.iter().filter(|line| matches(line)) {
    if let Some(model) = line.text("model") {
      times.entry(model).or_default().push(line.at);
    }
  }
  times
}

/// Why a request was lost, from its lines ordered by time; `None` if it was served in time.
fn loss_cause(request_lines: &[&Line], planned: &Times, ordered: &Times) -> Option<Cause> {
  let last = request_lines.last()?;
  let dropped = request_lines
    .iter()
    .find(|line| line.message() == "reader dropped");
  if let Some(dropped) = dropped {
    let why = dropped.text("cause").unwrap_or_default();
    return Some(Cause::ReaderDropped(why.into()));
  }
  let text = |field: &str| last.text(field).unwrap_or_default().to_string();
  match (last.message(), text("end").as_str(), text("late").as_str()) {
    ("sent", "Whole", "no") => None,
    ("sent", "Whole", "pause") if is_server_slow(last) => Some(Cause::SlowServerPause),
    ("sent", "Whole", "pause") if expected_late(last) => Some(Cause::PauseExpected),
    ("sent", "Whole", "pause") => Some(Cause::Pause),
    ("sent", "Whole", _) => Some(late_cause(request_lines, last, planned, ordered)),
    ("sent", "Left", _) | ("caller left", ..) => Some(Cause::CallerGone),
    ("sent", ..) => Some(Cause::Failed(text("why"))),
    ("refused", ..) => Some(Cause::Refused(refusal_reason(last))),
    ("no route", ..) => Some(Cause::Refused("no-route".into())),
    _ => Some(Cause::Unfinished),
  }
}

/// The reason of a refusal, for an exceeded quota with what it rested on.
fn refusal_reason(refused: &Line) -> String {
  let reason = refused.text("reason").unwrap_or_default();
  match refused.text("why") {
    Some(why) => format!("{reason}: {why}"),
    None => reason.into(),
  }
}

/// Whether the server of a send was known to be slow at that time.
fn is_server_slow(sent: &Line) -> bool {
  let paces = ["pace", "pace_now"].map(|field| sent.fields.get(field).and_then(Value::as_f64));
  let slowest = paces.into_iter().flatten().fold(0.0, f64::max);
  Class::of(slowest as f32) == Class::Slow
}

/// Whether a request was sent although it was expected to be late, for lack of a better server.
fn expected_late(sent: &Line) -> bool {
  matches!(sent.text("expected_late"), Some("first" | "pause"))
}

/// The model and server of a request whose caller left before the first event.
fn left_silent(request_lines: &[&Line]) -> Option<(String, String)> {
  let last = request_lines.last()?;
  let left = last.message() == "sent" && last.text("end") == Some("Left");
  let silent = last.fields.get("first_ms").is_none_or(Value::is_null);
  let name = |field: &str| last.text(field).unwrap_or("-").to_string();
  (left && silent).then(|| (name("model"), name("server")))
}

/// The phase on which a late request spent most of its wait.
fn late_cause(request_lines: &[&Line], last: &Line, planned: &Times, ordered: &Times) -> Cause {
  let Some(waiting) = request_lines
    .iter()
    .find(|line| line.message() == "waiting")
  else {
    return match expected_late(last) {
      true => Cause::ServerExpected,
      false => Cause::Server,
    };
  };
  let took_ms = last.fields.get("took_ms").and_then(Value::as_f64);
  let sent_at = last.at - took_ms.unwrap_or_default() / 1_000.0;
  let model = waiting.text("model").unwrap_or_default();
  let model = model.split('/').next().unwrap_or_default();
  let first_within = |times: &Times, from: f64| {
    let times = times.get(model)?;
    times
      .iter()
      .copied()
      .find(|at| (from..=sent_at).contains(at))
  };
  let Some(decided_at) = first_within(planned, waiting.at) else {
    return Cause::Unplanned;
  };
  let ordered_at = first_within(ordered, decided_at).unwrap_or(decided_at);
  let phases = [
    (decided_at - waiting.at, Cause::Decision),
    (ordered_at - decided_at, Cause::Order),
    (sent_at - ordered_at, Cause::Load),
  ];
  let longest = phases.into_iter().max_by(|(a, _), (b, _)| a.total_cmp(b));
  longest.map_or(Cause::Unplanned, |(_, cause)| cause)
}

fn print(table: &Table) {
  let total = table.requests.max(1) as f64;
  let mut rows: Vec<(usize, &Cause, &BTreeMap<String, usize>)> = table
    .lost
    .iter()
    .map(|(cause, routes)| (routes.values().sum(), cause, routes))
    .collect();
  rows.sort_by_key(|(count, ..)| std::cmp::Reverse(*count));
  let lost: usize = rows.iter().map(|(count, ..)| count).sum();
  println!("{} requests, {lost} lost", table.requests);
  for (count, cause, routes) in rows {
    let share = count as f64 / total;
    let routes: Vec<String> = routes
      .iter()
      .map(|(route, count)| format!("{route} {count}"))
      .collect();
    println!("{count:7}  {share:.4}  {cause}  ({})", routes.join(", "));
  }
  let mut places: Vec<(&(String, String), &usize)> = table.left_silent.iter().collect();
  places.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
  for ((model, server), count) in places.into_iter().take(MAX_PLACES) {
    println!("{count:7}  left before the first event: model {model} on {server}");
  }
}

/// Prints the table of losses of log files.
pub fn losses(files: &[String]) -> Result<ExitCode, Report<Error>> {
  if files.is_empty() {
    return Err(Report::new(Error("losses: no log file given".into())));
  }
  let (lines, skipped) = explain::read(files)?;
  print(&table(lines));
  if skipped > 0 {
    println!("({skipped} lines skipped: not bendsaddle log lines)");
  }
  Ok(ExitCode::SUCCESS)
}
