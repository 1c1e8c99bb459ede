//! Completions: slot allocation, the token stream, and injected stream faults.

use super::{
  Options, Run,
  state::{Shared, lock},
  token,
};
use crate::http;
use bendsaddle::{
  engine::{Chunk, Completion, Done},
  report::Stage,
};
use serde_json::json;
use std::{
  io::Write,
  sync::PoisonError,
  thread,
  time::{Duration, Instant},
};
use tiny_http::Request;

/// Waits for a slot and returns the engine's boot number, `None` if the request is
/// declined or the engine restarts.
fn enter(shared: &Shared, options: &Options, completion: &Completion) -> Option<u64> {
  let mut state = lock(shared);
  let boot = state.boot;
  let leaving = state.leaving;
  let loaded = state.replicas.get_mut(&completion.replica)?;
  let accepts = loaded.stage == Stage::Ready && loaded.model == completion.model && !leaving;
  if !accepts || loaded.waiting >= options.queue {
    return None;
  }
  let urgent = u32::from(completion.priority == 0);
  loaded.waiting += 1;
  loaded.urgent += urgent;
  let waiting: u32 = state.replicas.values().map(|loaded| loaded.waiting).sum();
  state.peak_waiting = state.peak_waiting.max(waiting.saturating_sub(1));
  loop {
    if state.boot != boot {
      return None;
    }
    state.count_idle();
    let loaded = state.replicas.get_mut(&completion.replica)?;
    // Urgent requests get free slots first.
    let may_run = urgent == 1 || loaded.urgent == 0;
    if loaded.running < options.slots && may_run {
      loaded.waiting -= 1;
      loaded.urgent -= urgent;
      loaded.running += 1;
      state.runs.push(Run {
        request: completion.request.clone(),
        attempt: completion.attempt.clone(),
        model: completion.model.clone(),
        prompt: completion.prompt.clone(),
        tokens: 0,
        is_complete: false,
      });
      return Some(boot);
    }
    let waited = shared.1.wait_timeout(state, Duration::from_millis(50));
    state = waited.unwrap_or_else(PoisonError::into_inner).0;
  }
}

fn leave(shared: &Shared, completion: &Completion, boot: u64, tokens: usize, is_complete: bool) {
  let mut state = lock(shared);
  if state.boot == boot
    && let Some(loaded) = state.replicas.get_mut(&completion.replica)
  {
    loaded.running = loaded.running.saturating_sub(1);
    loaded.idle_since = Instant::now();
    if loaded.loaded_at.is_some() {
      loaded.loaded_at = Some(Instant::now());
    }
  }
  let runs = state.runs.iter_mut().rev();
  let mut runs = runs.filter(|run| run.attempt == completion.attempt);
  if let Some(run) = runs.next() {
    run.tokens = tokens;
    run.is_complete = is_complete;
  }
  shared.1.notify_all();
}

pub(super) fn complete(
  shared: &Shared,
  options: &Options,
  request: Request,
  completion: &Completion,
) {
  let Some(boot) = enter(shared, options, completion) else {
    return http::json(request, 503, &json!({ "error": "declined" }));
  };
  let mut writer = request.into_writer();
  let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
  let mut connected = writer.write_all(head.as_bytes()).is_ok() && writer.flush().is_ok();
  let (disorder, break_after) = {
    let mut state = lock(shared);
    (state.faults.disorder, state.faults.break_after.pop())
  };
  let mut sent = 0;
  let total = completion.max_tokens as usize;
  let mut index = completion.resume.len();
  while connected && index < total {
    thread::sleep(options.token);
    let stopped = {
      let state = lock(shared);
      state.boot != boot || state.cancelled.contains(&completion.attempt)
    };
    if stopped || break_after == Some(sent) {
      break;
    }
    let step = if disorder { 2 } else { 1 };
    let lines = lines(completion, index, step.min(total - index), disorder);
    connected = writer.write_all(lines.as_bytes()).is_ok() && writer.flush().is_ok();
    index += step.min(total - index);
    sent += 1;
  }
  let is_complete = connected && index == total;
  if is_complete {
    let done = Done {
      attempt: completion.attempt.clone(),
      total,
    };
    let line = format!("data: {}\n\n", json!(done));
    let _ = writer
      .write_all(line.as_bytes())
      .and_then(|()| writer.flush());
  }
  leave(shared, completion, boot, index, is_complete);
}

fn lines(completion: &Completion, index: usize, count: usize, disorder: bool) -> String {
  let line = |attempt: &str, index: usize| {
    let chunk = Chunk {
      attempt: attempt.into(),
      index,
      text: token(&completion.prompt, index),
    };
    format!("data: {}\n\n", json!(chunk))
  };
  if !disorder {
    return line(&completion.attempt, index);
  }
  let mut text = line("stray/attempt/1", index);
  for at in (index..index + count).rev() {
    text += &line(&completion.attempt, at);
    text += &line(&completion.attempt, at);
  }
  text
}
