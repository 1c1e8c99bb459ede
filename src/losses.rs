//! Where requests are lost: reads the log files of all instances and counts each request
//! that was not served in time under the one cause that cost it most.

use crate::{
  explain::{self, Line},
  settings::Error,
};
use error_stack::Report;
use serde_json::Value;
use std::{
  collections::{BTreeMap, HashMap},
  fmt,
  process::ExitCode,
};

/// Why a request was not served in time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Cause {
  /// It waited for the decision to load its model, most of its wait.
  Decision,
  /// It waited for the order after that decision.
  Order,
  /// It waited for the load.
  Load,
  /// It waited, and no load of its model was planned meanwhile.
  Unplanned,
  /// Its first bytes came late from a server that had the model.
  Server,
  /// A pause between its events was too long.
  Pause,
  /// Refused, with the reason.
  Refused(String),
  /// Its last send failed, with why.
  Failed(String),
  /// Its caller left while it waited.
  CallerGone,
  /// Its log ends before it does: its instance ended, or the log.
  Unfinished,
}

impl fmt::Display for Cause {
  fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
    match self {
      Self::Decision => f.write_str("cold: waited for a decision"),
      Self::Order => f.write_str("cold: waited for the order"),
      Self::Load => f.write_str("cold: waited for the load"),
      Self::Unplanned => f.write_str("waited without a load of its own"),
      Self::Server => f.write_str("first bytes late at the server"),
      Self::Pause => f.write_str("pause between events"),
      Self::Refused(reason) => write!(f, "refused: {reason}"),
      Self::Failed(why) => write!(f, "failed: {why}"),
      Self::CallerGone => f.write_str("caller left"),
      Self::Unfinished => f.write_str("unfinished"),
    }
  }
}

/// All requests of some logs, and those lost by cause and route.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Table {
  pub requests: usize,
  pub lost: BTreeMap<Cause, BTreeMap<String, usize>>,
}

/// When loads of each model were planned and ordered, in seconds.
type Times<'a> = HashMap<&'a str, Vec<f64>>;

/// Counts the requests of some lines.
pub fn table(mut lines: Vec<Line>) -> Table {
  lines.sort_by(|one, two| one.at.total_cmp(&two.at));
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
  for own in requests.values() {
    let Some(cause) = cause(own, &planned, &ordered) else {
      continue;
    };
    let route = own.iter().find_map(|line| line.text("route"));
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

/// Why a request was lost, by its own lines in order of time; none: served in time.
fn cause(own: &[&Line], planned: &Times, ordered: &Times) -> Option<Cause> {
  let last = own.last()?;
  let text = |field: &str| last.text(field).unwrap_or_default().to_string();
  match (last.message(), text("end").as_str(), text("late").as_str()) {
    ("sent", "Whole", "no") => None,
    ("sent", "Whole", "pause") => Some(Cause::Pause),
    ("sent", "Whole", _) => Some(late(own, last, planned, ordered)),
    ("sent", "Left", _) | ("caller left", ..) => Some(Cause::CallerGone),
    ("sent", ..) => Some(Cause::Failed(text("why"))),
    ("refused", ..) => Some(Cause::Refused(text("reason"))),
    ("no route", ..) => Some(Cause::Refused("no-route".into())),
    _ => Some(Cause::Unfinished),
  }
}

/// What a request that came late waited for most.
fn late(own: &[&Line], last: &Line, planned: &Times, ordered: &Times) -> Cause {
  let Some(waiting) = own.iter().find(|line| line.message() == "waiting") else {
    return Cause::Server;
  };
  let took = last.fields.get("took_ms").and_then(Value::as_f64);
  let sent = last.at - took.unwrap_or_default() / 1_000.0;
  let model = waiting.text("model").unwrap_or_default();
  let model = model.split('/').next().unwrap_or_default();
  let within = |times: &Times, from: f64| {
    let times = times.get(model)?;
    times.iter().copied().find(|at| (from..=sent).contains(at))
  };
  let Some(decided) = within(planned, waiting.at) else {
    return Cause::Unplanned;
  };
  let order = within(ordered, decided).unwrap_or(decided);
  let parts = [
    (decided - waiting.at, Cause::Decision),
    (order - decided, Cause::Order),
    (sent - order, Cause::Load),
  ];
  let most = parts
    .into_iter()
    .max_by(|(one, _), (two, _)| one.total_cmp(two));
  most.map_or(Cause::Unplanned, |(_, cause)| cause)
}

fn print(table: &Table) {
  let all = table.requests.max(1) as f64;
  let mut rows: Vec<(usize, &Cause, &BTreeMap<String, usize>)> = table
    .lost
    .iter()
    .map(|(cause, routes)| (routes.values().sum(), cause, routes))
    .collect();
  rows.sort_by_key(|(count, ..)| std::cmp::Reverse(*count));
  let lost: usize = rows.iter().map(|(count, ..)| count).sum();
  println!("{} requests, {lost} lost", table.requests);
  for (count, cause, routes) in rows {
    let share = count as f64 / all;
    let routes: Vec<String> = routes
      .iter()
      .map(|(route, count)| format!("{route} {count}"))
      .collect();
    println!("{count:7}  {share:.4}  {cause}  ({})", routes.join(", "));
  }
}

/// Prints the table of some log files.
pub fn losses(files: &[String]) -> Result<ExitCode, Report<Error>> {
  if files.is_empty() {
    return Err(Report::new(Error("losses: name log files".into())));
  }
  let (lines, other) = explain::read(files)?;
  print(&table(lines));
  if other > 0 {
    println!("({other} lines are not of bendsaddle)");
  }
  Ok(ExitCode::SUCCESS)
}
