//! Completions: a slot, a stream of tokens, and its faults.

use super::{
  Options, Run,
  state::{Held, lock},
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

/// Takes a slot; none when the engine declines.
fn enter(inner: &Held, options: &Options, completion: &Completion) -> Option<u64> {
  let mut held = lock(inner);
  let boot = held.boot;
  let leaving = held.leaving;
  let loaded = held.replicas.get_mut(&completion.replica)?;
  let takes = loaded.stage == Stage::Ready && loaded.model == completion.model && !leaving;
  if !takes || loaded.waiting >= options.queue {
    return None;
  }
  let urgent = u32::from(completion.priority == 0);
  loaded.waiting += 1;
  loaded.urgent += urgent;
  let waiting: u32 = held.replicas.values().map(|loaded| loaded.waiting).sum();
  held.crowd = held.crowd.max(waiting.saturating_sub(1));
  loop {
    if held.boot != boot {
      return None;
    }
    held.count_idle();
    let loaded = held.replicas.get_mut(&completion.replica)?;
    // Urgent requests take free slots first.
    let turn = urgent == 1 || loaded.urgent == 0;
    if loaded.running < options.slots && turn {
      loaded.waiting -= 1;
      loaded.urgent -= urgent;
      loaded.running += 1;
      held.runs.push(Run {
        request: completion.request.clone(),
        attempt: completion.attempt.clone(),
        model: completion.model.clone(),
        tokens: 0,
        whole: false,
      });
      return Some(boot);
    }
    let waited = inner.1.wait_timeout(held, Duration::from_millis(50));
    held = waited.unwrap_or_else(PoisonError::into_inner).0;
  }
}

fn leave(inner: &Held, completion: &Completion, boot: u64, tokens: usize, whole: bool) {
  let mut held = lock(inner);
  if held.boot == boot
    && let Some(loaded) = held.replicas.get_mut(&completion.replica)
  {
    loaded.running = loaded.running.saturating_sub(1);
    loaded.idle_since = Instant::now();
    if loaded.loaded_at.is_some() {
      loaded.loaded_at = Some(Instant::now());
    }
  }
  let runs = held.runs.iter_mut().rev();
  let mut runs = runs.filter(|run| run.attempt == completion.attempt);
  if let Some(run) = runs.next() {
    run.tokens = tokens;
    run.whole = whole;
  }
  inner.1.notify_all();
}

pub(super) fn complete(inner: &Held, options: &Options, request: Request, completion: &Completion) {
  let Some(boot) = enter(inner, options, completion) else {
    return http::json(request, 503, &json!({ "error": "declined" }));
  };
  let mut writer = request.into_writer();
  let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n";
  let mut there = writer.write_all(head.as_bytes()).is_ok() && writer.flush().is_ok();
  let (disorder, break_after) = {
    let mut held = lock(inner);
    (held.faults.disorder, held.faults.break_after.pop())
  };
  let mut sent = 0;
  let total = completion.max_tokens as usize;
  let mut index = completion.resume.len();
  while there && index < total {
    thread::sleep(options.token);
    let gone = {
      let held = lock(inner);
      held.boot != boot || held.cancelled.contains(&completion.attempt)
    };
    if gone || break_after == Some(sent) {
      break;
    }
    let step = if disorder { 2 } else { 1 };
    let lines = lines(completion, index, step.min(total - index), disorder);
    there = writer.write_all(lines.as_bytes()).is_ok() && writer.flush().is_ok();
    index += step.min(total - index);
    sent += 1;
  }
  let whole = there && index == total;
  if whole {
    let done = Done {
      attempt: completion.attempt.clone(),
      total,
    };
    let line = format!("data: {}\n\n", json!(done));
    let _ = writer
      .write_all(line.as_bytes())
      .and_then(|()| writer.flush());
  }
  leave(inner, completion, boot, index, whole);
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
