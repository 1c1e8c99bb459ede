//! From a request's id to what happened to it: reads the log files of many
//! instances and puts the lines that matter in order.
//!
//! Lines may carry a prefix before their JSON, as log collectors add one; lines
//! that are no JSON are counted and passed over.

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

/// Lines of other requests' causes are taken from this long before the request's
/// first line, in seconds: a load and its takeover fit in.
const BEFORE_S: f64 = 3.0;

/// A line of a log.
#[derive(Clone, Debug)]
pub struct Line {
  /// Seconds of its day.
  pub at: f64,
  pub time: String,
  pub fields: Map<String, Value>,
}

impl Line {
  /// The line in this text; none: it is no line of ours.
  pub fn parse(text: &str) -> Option<Self> {
    let json = &text[text.find('{')?..];
    let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
    let time = fields.get("ts")?.as_str()?.to_string();
    Some(Self {
      at: seconds(&time)?,
      time,
      fields,
    })
  }

  /// A field that is text.
  pub fn text(&self, field: &str) -> Option<&str> {
    self.fields.get(field)?.as_str()
  }

  /// What the line is about.
  pub fn message(&self) -> &str {
    self.text("msg").unwrap_or_default()
  }
}

/// Seconds of the day in `2026-01-31T12:34:56.789Z`.
fn seconds(time: &str) -> Option<f64> {
  let clock = time.split('T').nth(1)?.trim_end_matches('Z');
  let mut parts = clock.split(':').map(str::parse::<f64>);
  let (hours, minutes) = (parts.next()?.ok()?, parts.next()?.ok()?);
  Some(hours * 3_600.0 + minutes * 60.0 + parts.next()?.ok()?)
}

/// The lines that explain a request, in order of time.
pub fn lines(request: &str, mut all: Vec<Line>) -> Vec<Line> {
  all.sort_by(|one, two| one.at.total_cmp(&two.at));
  let own: Vec<&Line> = all
    .iter()
    .filter(|line| line.text("request") == Some(request))
    .collect();
  let (Some(first), Some(last)) = (own.first(), own.last()) else {
    return Vec::new();
  };
  let (from, to) = (first.at - BEFORE_S, last.at);
  let named = |field: &str| -> BTreeSet<&str> {
    let values = own.iter().filter_map(|line| line.text(field));
    values
      .map(|value| value.split('/').next().unwrap_or(value))
      .collect()
  };
  let (models, servers, instances) = (named("model"), named("server"), named("instance"));
  let concerns = |line: &Line| match line.message() {
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
  let mine = |line: &Line| line.text("request") == Some(request);
  let kept = all
    .iter()
    .filter(|line| mine(line) || (from..=to).contains(&line.at) && concerns(line));
  kept.cloned().collect()
}

/// What the request's own lines amount to, in a sentence.
pub fn conclusion(request: &str, lines: &[Line]) -> String {
  let mine = |line: &&Line| line.text("request") == Some(request);
  let Some(last) = lines.iter().rev().find(mine) else {
    return format!("request `{request}` is in none of the files");
  };
  let waited = last.fields.get("waited_ms").and_then(Value::as_u64);
  let waited = waited.unwrap_or_default();
  match last.message() {
    "sent" => format!(
      "send {} to `{}` ended as {} ({}); it had waited {waited} ms",
      last.fields.get("send").unwrap_or(&Value::Null),
      last.text("server").unwrap_or_default(),
      last.text("end").unwrap_or_default(),
      last.text("why").unwrap_or_default(),
    ),
    "refused" => format!(
      "refused after {waited} ms: {}, verdict {}",
      last.text("reason").unwrap_or_default(),
      last.text("verdict").unwrap_or("not-run"),
    ),
    "caller left" => format!("the caller left after {waited} ms while it waited"),
    "waiting" => "it waits, or its instance has ended".into(),
    other => other.to_string(),
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

/// The lines of log files, and how many are none of ours.
pub fn read(files: &[String]) -> Result<(Vec<Line>, usize), Report<Error>> {
  let mut all = Vec::new();
  let mut other = 0;
  for file in files {
    let unread = || Error(format!("could not read `{file}`"));
    let reader = BufReader::new(File::open(Path::new(file)).change_context_lazy(unread)?);
    for text in reader.lines() {
      match Line::parse(&text.change_context_lazy(unread)?) {
        Some(line) => all.push(line),
        None => other += 1,
      }
    }
  }
  Ok((all, other))
}

/// Explains a request from log files.
pub fn explain(rest: &[String]) -> Result<ExitCode, Report<Error>> {
  let [request, files @ ..] = rest else {
    return Err(Report::new(Error(
      "explain: name a request and files".into(),
    )));
  };
  let (all, other) = read(files)?;
  let lines = lines(request, all);
  lines.iter().for_each(print);
  if other > 0 {
    println!("({other} lines are not of bendsaddle)");
  }
  println!("{}", conclusion(request, &lines));
  Ok(match lines.is_empty() {
    true => ExitCode::FAILURE,
    false => ExitCode::SUCCESS,
  })
}
