//! Commands that read the instances: `status` and `timeline`.
//!
//! One instance names all others, so any live instance will do.

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

/// Longest wait for an instance.
const CALL: Duration = Duration::from_secs(5);

fn get<T: DeserializeOwned>(address: &str, path: &str) -> Result<T, Report<Error>> {
  let failed = || Error(format!("could not read `http://{address}{path}`"));
  let agent: Agent = Agent::config_builder()
    .proxy(None)
    .timeout_global(Some(CALL))
    .build()
    .new_agent();
  let mut response = agent
    .get(format!("http://{address}{path}"))
    .call()
    .change_context_lazy(failed)?;
  response.body_mut().read_json().change_context_lazy(failed)
}

/// Prints an instance's state.
pub fn status(address: &str) -> Result<ExitCode, Report<Error>> {
  let status: Status = get(address, "/status")?;
  let failed = || Error("could not print the status".into());
  let text = serde_json::to_string_pretty(&status).change_context_lazy(failed)?;
  println!("{text}");
  let configuration: Configuration = get(address, "/configuration")?;
  let text = serde_json::to_string_pretty(&configuration).change_context_lazy(failed)?;
  println!("{text}");
  Ok(ExitCode::SUCCESS)
}

/// What the instances answered.
pub struct Gathered {
  /// Lines by time, with the instance that wrote each.
  pub lines: Vec<(String, Line)>,
  /// Instances that did not answer.
  pub silent: Vec<Member>,
}

/// Lines of all instances that answer, by time, with those that do not.
pub fn gather(address: &str) -> Result<Gathered, Report<Error>> {
  let status: Status = get(address, "/status")?;
  let mut lines = Vec::new();
  let mut silent = Vec::new();
  for member in status.members {
    match get::<Vec<Line>>(&member.operators, "/timeline") {
      Ok(read) => lines.extend(read.into_iter().map(|line| (member.instance.clone(), line))),
      Err(_) => silent.push(member),
    }
  }
  lines.sort_by_key(|(_, line)| line.at);
  Ok(Gathered { lines, silent })
}

/// Prints the time line of all instances, as text or as trace events.
pub fn timeline(address: &str, trace: bool) -> Result<ExitCode, Report<Error>> {
  let Gathered { lines, silent } = gather(address)?;
  for member in silent {
    eprintln!("{}: no answer from `{}`", member.instance, member.operators);
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

/// The lines in the JSON trace-event format that browsers open; times in
/// microseconds.
pub fn trace_events(lines: &[(String, Line)]) -> Value {
  let events = lines.iter().map(|(instance, line)| {
    let entry = serde_json::to_value(&line.entry).unwrap_or_default();
    let took = entry["took_ms"].as_u64().or(entry["waited_ms"].as_u64());
    let took = took.unwrap_or_default();
    json!({
      "name": entry["what"],
      "ph": if took > 0 { "X" } else { "i" },
      "ts": line.at.saturating_sub(took) * 1_000,
      "dur": took * 1_000,
      "pid": instance,
      "tid": entry["model"].as_str().unwrap_or("instance"),
      "s": "p",
      "args": entry,
    })
  });
  json!({ "traceEvents": events.collect::<Vec<_>>() })
}
