//! Explains what happened to a request: reads the log files of several instances and
//! prints the relevant lines in order of time.
//!
//! Lines may have a prefix before their JSON, as added by log collectors. Lines that
//! are not JSON are counted and skipped.

use crate::settings::Error;
use error_stack::{Report, ResultExt};
use serde_json::{Map, Value};
use std::{
  collections::BTreeSet,
  fs::File,
  io::{BufRead, BufReader},
  path::Path,
  process::ExitCode,
};

/// Lines of related events are included from this long before the request's first line,
/// in seconds: long enough for a load and its takeover.
const CONTEXT_BEFORE_S: f64 = 3.0;

/// A line of a log file.
#[derive(Clone, Debug)]
pub struct Line {
  /// Time in seconds since midnight.
  pub at: f64,
  pub time: String,
  pub fields: Map<String, Value>,
}

impl Line {
  /// Parses a line; `None` if it is not a bendsaddle log line.
  pub fn parse(text: &str) -> Option<Self> {
    let json = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let time = fields.get("ts")?.as_str()?.to_string();
    Some(Self {
      at: seconds_of_day(&time)?,
      time,
      fields,
    })
  }

  /// The value of a string field.
  pub fn text(&self, field: &str) -> Option<&str> {
    self.fields.get(field)?.as_str()
  }

  /// The log message; empty if the line has none.
  pub fn message(&self) -> &str {
    self.text("msg").unwrap_or_default()
  }
}

/// Seconds since midnight of a timestamp such as `2026-01-31T12:34:56.789Z`.
fn seconds_of_day(time: &str) -> Option<f64> {
  let clock = time.split('T').nth(1)?.trim_end_matches('Z');
  let mut parts = clock.split(':').map(str::parse::<f64>);
  let (hours, minutes) = (parts.next()?.ok()?, parts.next()?.ok()?);
  Some(hours * 3_600.0 + minutes * 60.0 + parts.next()?.ok()?)
}

/// Selects the lines that explain a request, ordered by time; empty if none belongs to it.
pub fn lines(request: &str, mut all_lines: Vec<Line>) -> Vec<Line> {
  all_lines.sort_by(|a, b| a.at.total_cmp(&b.at));
  let own: Vec<&Line> = all_lines
    .iter()
    .filter(|line| line.text("request") == Some(request))
    .collect();
  let (Some(first), Some(last)) = (own.first(), own.last()) else {
    return Vec::new();
  };
  let (from, to) = (first.at - CONTEXT_BEFORE_S, last.at);
  let values_of = |field: &str| -> BTreeSet<&str> {
    let values = own.iter().filter_map(|line| line.text(field));
    values
      .map(|value| value.split('/').next().unwrap_or(value))
      .collect()
  };
  let (models, servers, instances) = (
    values_of("model"),
    values_of("server"),
    values_of("instance"),
  );
  let is_related = |line: &Line| match line.message() {
    "planned" if line.text("what") == Some("pace") => line
      .text("server")
      .is_some_and(|server| servers.contains(server)),
    "planned" | "ordered" => {
      let model = line.text("model").and_then(|model| model.split('/').next());
      model.is_some_and(|model| models.contains(model))
    }
    "server" | "server is gone" => line
      .text("server")
      .is_some_and(|server| servers.contains(server)),
    "orders" | "lease taken" => true,
    "configured" | "store is lost" | "store is back" | "stopping" | "started" => line
      .text("instance")
      .is_some_and(|instance| instances.contains(instance)),
    _ => false,
  };
  let is_own = |line: &Line| line.text("request") == Some(request);
  let selected = all_lines
    .iter()
    .filter(|line| is_own(line) || (from..=to).contains(&line.at) && is_related(line));
  selected.cloned().collect()
}

/// Summarizes the lines of a request in one sentence.
pub fn conclusion(request: &str, lines: &[Line]) -> String {
  let is_own = |line: &&Line| line.text("request") == Some(request);
  let Some(last) = lines.iter().rev().find(is_own) else {
    return format!("request `{request}` was not found in the files");
  };
  let waited_ms = last.fields.get("waited_ms").and_then(Value::as_u64);
  let waited_ms = waited_ms.unwrap_or_default();
  match last.message() {
    "sent" => format!(
      "send {} to `{}` ended as {} ({}) after waiting {waited_ms} ms",
      last.fields.get("send").unwrap_or(&Value::Null),
      last.text("server").unwrap_or_default(),
      last.text("end").unwrap_or_default(),
      last.text("why").unwrap_or_default(),
    ),
    "refused" => format!(
      "refused after {waited_ms} ms: {}, verdict {}",
      last.text("reason").unwrap_or_default(),
      last.text("verdict").unwrap_or("not-run"),
    ),
    "caller left" => format!("the caller disconnected after waiting {waited_ms} ms"),
    "waiting" => "still waiting, or its instance has ended".into(),
    message => message.to_string(),
  }
}

fn print(line: &Line) {
  let instance = line.text("instance").unwrap_or_default();
  let mut text = format!("{} {instance} {}", line.time, line.message());
  for (field, value) in &line.fields {
    if !matches!(
      field.as_str(),
      "ts" | "msg" | "level" | "instance" | "request"
    ) && !value.is_null()
    {
      text += &format!(" {field}={value}");
    }
  }
  println!("{text}");
}

/// Reads log files. Returns their lines and the number of skipped lines, which are not
/// bendsaddle log lines.
pub fn read(files: &[String]) -> Result<(Vec<Line>, usize), Report<Error>> {
  let mut all_lines = Vec::new();
  let mut skipped = 0;
  for file in files {
    let read_error = || Error(format!("could not read `{file}`"));
    let reader = BufReader::new(File::open(Path::new(file)).change_context_lazy(read_error)?);
    for text in reader.lines() {
      match Line::parse(&text.change_context_lazy(read_error)?) {
        Some(line) => all_lines.push(line),
        None => skipped += 1,
      }
    }
  }
  Ok((all_lines, skipped))
}

/// Explains a request from log files.
pub fn explain(args: &[String]) -> Result<ExitCode, Report<Error>> {
  let [request, files @ ..] = args else {
    return Err(Report::new(Error(
      "explain: a request ID and log files are required".into(),
    )));
  };
  let (all_lines, skipped) = read(files)?;
  let lines = lines(request, all_lines);
  lines.iter().for_each(print);
  if skipped > 0 {
    println!("({skipped} lines skipped: not bendsaddle log lines)");
  }
  println!("{}", conclusion(request, &lines));
  Ok(match lines.is_empty() {
    true => ExitCode::FAILURE,
    false => ExitCode::SUCCESS,
  })
}
