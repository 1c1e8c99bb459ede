//! Measures how long instances kept sending to servers that had left: reads the log files of all
//! instances and takes the time from the first line of any instance that reports a departure to
//! the last send of each instance to that server.

use crate::{
  explain::{self, Line},
  settings::Error,
  statement::compliance,
};
use error_stack::Report;
use serde_json::Value;
use std::{
  collections::{BTreeMap, HashMap},
  process::ExitCode,
};

/// Width of a histogram bucket.
const BUCKET_MS: u64 = 250;
/// Maximum number of departures that are listed individually.
const MAX_LISTED: usize = 5;

/// The last send of one instance to a server that had left.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LastSend {
  /// Time from the first report of the departure in ms; 0 if nothing was sent after it.
  pub after_ms: u64,
  pub server: String,
  pub instance: String,
  /// Timestamp of the first report of the departure.
  pub time: String,
}

/// A departure found in the log.
struct Departure<'a> {
  line: &'a Line,
  /// Whether the server announced that it leaves: its entry then does not come back as before.
  announced: bool,
}

/// The last sends to servers that left and did not come back, latest first.
pub fn last_sends(mut lines: Vec<Line>) -> Vec<LastSend> {
  lines.sort_by(|a, b| a.at.total_cmp(&b.at));
  let departures = departed_servers(&lines);
  let mut last: BTreeMap<(&str, &str), u64> = BTreeMap::new();
  for line in lines.iter().filter(|line| line.message() == "sent") {
    let (Some(server), Some(instance)) = (line.text("server"), line.text("instance")) else {
      continue;
    };
    let Some(departure) = departures.get(server) else {
      continue;
    };
    let took_ms = line.fields.get("took_ms").and_then(Value::as_f64);
    let sent_at = line.at - took_ms.unwrap_or_default() / 1_000.0;
    let after_ms = ((sent_at - departure.line.at) * 1_000.0).round().max(0.0) as u64;
    let latest = last.entry((server, instance)).or_default();
    *latest = after_ms.max(*latest);
  }
  let mut last: Vec<LastSend> = last
    .into_iter()
    .map(|((server, instance), after_ms)| LastSend {
      after_ms,
      server: server.into(),
      instance: instance.into(),
      time: departures[server].line.time.clone(),
    })
    .collect();
  last.sort_by(|a, b| b.cmp(a));
  last
}

/// The servers that left and did not come back, by id.
fn departed_servers(lines: &[Line]) -> HashMap<&str, Departure<'_>> {
  let mut departures: HashMap<&str, Departure> = HashMap::new();
  for line in lines {
    let Some(server) = line.text("server") else {
      continue;
    };
    let draining = line.text("stage") == Some("Draining");
    let departure = |announced| Departure { line, announced };
    match line.message() {
      "server says that it leaves" => {
        departures.entry(server).or_insert(departure(true));
      }
      "server" if draining => {
        departures.entry(server).or_insert(departure(true));
      }
      "server" if departures.get(server).is_some_and(|known| !known.announced) => {
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

/// Histogram of last sends: number of last sends by lower bound of the bucket in ms.
pub fn histogram(last: &[LastSend]) -> BTreeMap<u64, usize> {
  let mut rows = BTreeMap::new();
  for send in last {
    *rows
      .entry(send.after_ms / BUCKET_MS * BUCKET_MS)
      .or_default() += 1;
  }
  rows
}

/// Prints sends after servers announced in a response that they leave, or requested a backoff.
fn print_announced(lines: &[explain::Line]) {
  let mut leaving = compliance::last_send_after_leaving(lines);
  leaving.sort_by_key(|(.., after_ms)| std::cmp::Reverse(*after_ms));
  println!(
    "{} servers announced that they leave, by instance",
    leaving.len()
  );
  for (instance, server, after_ms) in leaving.iter().take(MAX_LISTED) {
    println!("{after_ms:7} ms  last send of {instance} to {server} after the announcement");
  }
  let mut backoffs = compliance::sends_during_backoff(lines);
  backoffs.sort_by_key(|(.., count)| std::cmp::Reverse(*count));
  println!(
    "{} servers requested a backoff, by instance",
    backoffs.len()
  );
  for (instance, server, count) in backoffs.iter().take(MAX_LISTED) {
    println!("{count:7}     sends of {instance} to {server} during a backoff");
  }
}

/// Prints how long instances kept sending to servers that had left.
pub fn departures(files: &[String]) -> Result<ExitCode, Report<Error>> {
  if files.is_empty() {
    return Err(Report::new(Error("departures: no log file given".into())));
  }
  let (lines, skipped) = explain::read(files)?;
  print_announced(&lines);
  let last = last_sends(lines);
  println!("{} last sends to servers that left", last.len());
  for (from, count) in histogram(&last) {
    println!("{count:7}  from {from} ms");
  }
  for send in last.iter().take(MAX_LISTED) {
    println!(
      "{:7} ms  {} to {}, which left at {}",
      send.after_ms, send.instance, send.server, send.time
    );
  }
  if skipped > 0 {
    println!("({skipped} lines skipped: not bendsaddle log lines)");
  }
  Ok(ExitCode::SUCCESS)
}
