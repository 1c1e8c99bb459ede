//! The `status` and `timeline` commands, which query instances.
//!
//! Each instance lists all others, so any live instance can be queried.

use crate::{
  journal::Line,
  settings::Error,
  status::{Configuration, Member, Status},
};
use error_stack::{Report, ResultExt};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use std::{process::ExitCode, time::Duration};
use ureq::Agent;

/// Timeout of a call to an instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn get<T: DeserializeOwned>(address: &str, path: &str) -> Result<T, Report<Error>> {
  let read_error = || Error(format!("could not read `http://{address}{path}`"));
  let agent: Agent = Agent::config_builder()
    .proxy(None)
    .timeout_global(Some(CALL_TIMEOUT))
    .build()
    .new_agent();
  let mut response = agent
    .get(format!("http://{address}{path}"))
    .call()
    .change_context_lazy(read_error)?;
  response
    .body_mut()
    .read_json()
    .change_context_lazy(read_error)
}

/// Prints the state and the configuration of an instance.
pub fn status(address: &str) -> Result<ExitCode, Report<Error>> {
  let status: Status = get(address, "/status")?;
  let print_error = || Error("could not print the status".into());
  let text = serde_json::to_string_pretty(&status).change_context_lazy(print_error)?;
  println!("{text}");
  let configuration: Configuration = get(address, "/configuration")?;
  let text = serde_json::to_string_pretty(&configuration).change_context_lazy(print_error)?;
  println!("{text}");
  Ok(ExitCode::SUCCESS)
}

/// Timeline of all instances.
pub struct Timeline {
  /// Lines ordered by time, each with the instance that wrote it.
  pub lines: Vec<(String, Line)>,
  /// Instances that did not respond.
  pub unreachable: Vec<Member>,
}

/// Fetches the lines of all instances that the instance at `address` lists.
pub fn fetch_timeline(address: &str) -> Result<Timeline, Report<Error>> {
  let status: Status = get(address, "/status")?;
  let mut lines = Vec::new();
  let mut unreachable = Vec::new();
  for member in status.members {
    match get::<Vec<Line>>(&member.operators, "/timeline") {
      Ok(fetched) => lines.extend(
        fetched
          .into_iter()
          .map(|line| (member.instance.clone(), line)),
      ),
      Err(_) => unreachable.push(member),
    }
  }
  lines.sort_by_key(|(_, line)| line.at);
  Ok(Timeline { lines, unreachable })
}

/// Prints the timeline of all instances as text or as trace events.
pub fn timeline(address: &str, trace: bool) -> Result<ExitCode, Report<Error>> {
  let Timeline { lines, unreachable } = fetch_timeline(address)?;
  for member in unreachable {
    eprintln!(
      "{}: no response from `{}`",
      member.instance, member.operators
    );
  }
  if trace {
    println!("{}", trace_events(&lines));
    return Ok(ExitCode::SUCCESS);
  }
  for (instance, line) in lines {
    let entry = serde_json::to_string(&line.entry).unwrap_or_default();
    println!("{} {instance} {entry}", line.at);
  }
  Ok(ExitCode::SUCCESS)
}

/// Converts lines to the JSON trace-event format, which browsers can open; times in
/// microseconds.
pub fn trace_events(lines: &[(String, Line)]) -> Value {
  let events = lines.iter().map(|(instance, line)| {
    let entry = serde_json::to_value(&line.entry).unwrap_or_default();
    let duration_ms = entry["took_ms"].as_u64().or(entry["waited_ms"].as_u64());
    let duration_ms = duration_ms.unwrap_or_default();
    json!({
      "name": entry["what"],
      "ph": if duration_ms > 0 { "X" } else { "i" },
      "ts": line.at.saturating_sub(duration_ms) * 1_000,
      "dur": duration_ms * 1_000,
      "pid": instance,
      "tid": entry["model"].as_str().unwrap_or("instance"),
      "s": "p",
      "args": entry,
    })
  });
  json!({ "traceEvents": events.collect::<Vec<_>>() })
}
