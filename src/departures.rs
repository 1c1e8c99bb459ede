//! How close requests came to servers that had left: reads the log files of all instances and
//! measures, from the first line of any instance that names a departure, how long each of them
//! went on sending there.

use crate::{
  explain::{self, Line},
  settings::Error,
  statement::margin,
};
use error_stack::Report;
use serde_json::Value;
use std::{
  collections::{BTreeMap, HashMap},
  process::ExitCode,
};

/// Width of a row of the histogram, ms.
const ROW_MS: u64 = 250;
/// Departures that are named one by one.
const NAMED: usize = 5;

/// The last send of one instance to a server that had left.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LastSend {
  /// After the departure was first named, ms; 0: nothing was sent after it.
  pub after_ms: u64,
  pub server: String,
  pub instance: String,
  /// When the departure was first named.
  pub time: String,
}

/// A departure as the lines name it.
struct Departure<'a> {
  named: &'a Line,
  /// The server said that it leaves: its entry does not come back as before.
  said: bool,
}

/// The last sends to servers that left for good, the latest first.
pub fn last_sends(mut lines: Vec<Line>) -> Vec<LastSend> {
  lines.sort_by(|one, two| one.at.total_cmp(&two.at));
  let departures = left(&lines);
  let mut last: BTreeMap<(&str, &str), u64> = BTreeMap::new();
  for line in lines.iter().filter(|line| line.message() == "sent") {
    let (Some(server), Some(instance)) = (line.text("server"), line.text("instance")) else {
      continue;
    };
    let Some(departure) = departures.get(server) else {
      continue;
    };
    let took = line.fields.get("took_ms").and_then(Value::as_f64);
    let sent = line.at - took.unwrap_or_default() / 1_000.0;
    let after_ms = ((sent - departure.named.at) * 1_000.0).round().max(0.0) as u64;
    let known = last.entry((server, instance)).or_default();
    *known = after_ms.max(*known);
  }
  let mut last: Vec<LastSend> = last
    .into_iter()
    .map(|((server, instance), after_ms)| LastSend {
      after_ms,
      server: server.into(),
      instance: instance.into(),
      time: departures[server].named.time.clone(),
    })
    .collect();
  last.sort_by(|one, two| two.cmp(one));
  last
}

/// The servers that left and did not come back, by id.
fn left(lines: &[Line]) -> HashMap<&str, Departure<'_>> {
  let mut departures: HashMap<&str, Departure> = HashMap::new();
  for line in lines {
    let Some(server) = line.text("server") else {
      continue;
    };
    let draining = line.text("stage") == Some("Draining");
    let departure = |said| Departure { named: line, said };
    match line.message() {
      "server says that it leaves" => {
        departures.entry(server).or_insert(departure(true));
      }
      "server" if draining => {
        departures.entry(server).or_insert(departure(true));
      }
      "server" if departures.get(server).is_some_and(|known| !known.said) => {
        departures.remove(server);
      }
      "server's entry is missing" | "server is gone" => {
        departures.entry(server).or_insert(departure(false));
      }
      _ => {}
    }
  }
  departures
}

/// Rows of the histogram: from so many ms on, and how many last sends.
pub fn histogram(last: &[LastSend]) -> BTreeMap<u64, usize> {
  let mut rows = BTreeMap::new();
  for one in last {
    *rows.entry(one.after_ms / ROW_MS * ROW_MS).or_default() += 1;
  }
  rows
}

/// Prints how close sends came to what servers said in their answers.
fn report_said(lines: &[explain::Line]) {
  let mut leaving = margin::after_leaving(lines);
  leaving.sort_by_key(|(.., after)| std::cmp::Reverse(*after));
  println!(
    "{} servers said that they leave, by instance",
    leaving.len()
  );
  for (instance, server, after) in leaving.iter().take(NAMED) {
    println!("{after:7} ms  last send of {instance} to {server} after that");
  }
  let mut rests = margin::in_rests(lines);
  rests.sort_by_key(|(.., most)| std::cmp::Reverse(*most));
  println!("{} servers asked for rest, by instance", rests.len());
  for (instance, server, most) in rests.iter().take(NAMED) {
    println!("{most:7}     sends of {instance} to {server} in a rest");
  }
}

/// Prints how long instances went on sending to servers that had left.
pub fn departures(files: &[String]) -> Result<ExitCode, Report<Error>> {
  if files.is_empty() {
    return Err(Report::new(Error("departures: name log files".into())));
  }
  let (lines, other) = explain::read(files)?;
  report_said(&lines);
  let last = last_sends(lines);
  println!("{} last sends to servers that left", last.len());
  for (from, count) in histogram(&last) {
    println!("{count:7}  from {from} ms on");
  }
  for one in last.iter().take(NAMED) {
    println!(
      "{:7} ms  {} to {}, which left at {}",
      one.after_ms, one.instance, one.server, one.time
    );
  }
  if other > 0 {
    println!("({other} lines are not of bendsaddle)");
  }
  Ok(ExitCode::SUCCESS)
}
