//! Client of model engines.
//!
//! `GET /status` answers a report; `POST /control/load` and `/control/unload`
//! take orders (202 taken, 409 stale fencing number, 422 declined);
//! `POST /v1/completions` streams tokens as server-sent events, each with its
//! index, and declines with 429 or 503 before running anything.

use crate::{
  attempt::{Attempt, End},
  call::{self, Failure, Timeouts},
  order::{Act, Order, Outcome},
  report::Report,
  settings::Limits,
  verdict::Verdict,
};
use serde::{Deserialize, Serialize};
use std::{
  collections::BTreeMap,
  io::{BufRead, BufReader},
  time::Duration,
};

/// Longest wait for a status or an order's answer.
const CONTROL: Duration = Duration::from_millis(1_000);
/// Longest line of a token stream, bytes.
const LINE_LIMIT: u64 = 1 << 20;

/// A completion, as an engine takes it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Completion {
  pub replica: u64,
  pub model: String,
  pub prompt: String,
  pub max_tokens: u32,
  /// Identifies the attempt in the engine's records.
  pub attempt: String,
  /// Identifies the caller's request over all attempts.
  pub request: String,
  /// Lower goes first.
  pub priority: u8,
  /// Tokens the caller has already; the stream begins after them.
  pub resume: Vec<String>,
}

/// One event of a token stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Chunk {
  pub attempt: String,
  pub index: usize,
  pub text: String,
}

/// The last event of a token stream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Done {
  pub attempt: String,
  /// Tokens of the whole answer.
  pub total: usize,
}

/// The body of an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderBody {
  pub replica: u64,
  #[serde(default)]
  pub model: String,
  #[serde(default)]
  pub base: Option<String>,
  #[serde(default)]
  pub memory_mb: u64,
  pub fence: u64,
}

fn control_waits(limits: &Limits) -> Timeouts {
  Timeouts {
    connect: Duration::from_millis(limits.connect_ms),
    response: CONTROL,
    read: CONTROL,
  }
}

/// Asks an engine for its status.
pub fn status(address: &str, limits: &Limits) -> Option<Report> {
  let request = ureq::http::Request::get(format!("http://{address}/status"));
  let request = request.body(Vec::new()).ok()?;
  let mut response = call::send(request, control_waits(limits)).ok()?;
  if response.status() != 200 {
    return None;
  }
  response.body_mut().read_json().ok()
}

/// Sends an order.
pub fn order(order: &Order, limits: &Limits) -> Outcome {
  let (path, body) = match &order.act {
    Act::Load {
      model,
      base,
      memory_mb,
    } => (
      "/control/load",
      OrderBody {
        replica: order.replica.0,
        model: model.clone(),
        base: base.clone(),
        memory_mb: *memory_mb,
        fence: order.fence,
      },
    ),
    Act::Unload => (
      "/control/unload",
      OrderBody {
        replica: order.replica.0,
        model: String::new(),
        base: None,
        memory_mb: 0,
        fence: order.fence,
      },
    ),
  };
  let body = serde_json::to_vec(&body).unwrap_or_default();
  let sent = call::post(&order.address, path, body)
    .and_then(|request| call::send(request, control_waits(limits)));
  match sent {
    Ok(response) => match response.status().as_u16() {
      200 | 202 => Outcome::Accepted,
      409 => Outcome::Stale,
      422 => Outcome::Declined,
      _ => Outcome::Unknown,
    },
    Err(Failure {
      verdict: Verdict::NotRun,
      ..
    }) => Outcome::NotSent,
    Err(_) => Outcome::Unknown,
  }
}

/// Puts a stream's tokens in order and drops what does not belong to it.
#[derive(Debug)]
pub struct Sequence {
  attempt: String,
  next: usize,
  early: BTreeMap<usize, String>,
  total: Option<usize>,
}

impl Sequence {
  /// A sequence for an attempt whose caller has `delivered` tokens.
  pub fn new(attempt: &str, delivered: usize) -> Self {
    Self {
      attempt: attempt.into(),
      next: delivered,
      early: BTreeMap::new(),
      total: None,
    }
  }

  /// Takes a line of the stream; answers the tokens now due, in order.
  pub fn push(&mut self, line: &str) -> Vec<String> {
    let Some(data) = line.strip_prefix("data: ") else {
      return Vec::new();
    };
    if let Ok(chunk) = serde_json::from_str::<Chunk>(data) {
      if chunk.attempt == self.attempt && chunk.index >= self.next {
        self.early.insert(chunk.index, chunk.text);
      }
    } else if let Ok(done) = serde_json::from_str::<Done>(data)
      && done.attempt == self.attempt
    {
      self.total = Some(done.total);
    }
    let mut due = Vec::new();
    while let Some(text) = self.early.remove(&self.next) {
      self.next += 1;
      due.push(text);
    }
    due
  }

  /// Whether the whole answer was taken.
  pub fn is_complete(&self) -> bool {
    self.total == Some(self.next)
  }
}

/// Streams a completion; `token` takes each token and answers whether the caller
/// is still there.
pub fn complete(
  attempt: &Attempt,
  completion: &Completion,
  limits: &Limits,
  mut token: impl FnMut(String) -> bool,
) -> End {
  let stall = Duration::from_millis(limits.token_stall_ms);
  let waits = Timeouts {
    connect: Duration::from_millis(limits.connect_ms),
    response: stall,
    read: stall,
  };
  let body = serde_json::to_vec(completion).unwrap_or_default();
  let sent = call::post(&attempt.address, "/v1/completions", body)
    .and_then(|request| call::send(request, waits));
  let response = match sent {
    Ok(response) => response,
    Err(failure) => return End::Broken(failure.verdict),
  };
  match response.status().as_u16() {
    200 => {}
    429 | 503 | 404 => return End::Declined,
    _ => return End::Broken(Verdict::MayHaveRun),
  }
  let mut sequence = Sequence::new(&completion.attempt, completion.resume.len());
  let reader = response.into_body().into_reader();
  let mut lines = BufReader::new(std::io::Read::take(reader, u64::MAX));
  let mut line = String::new();
  loop {
    line.clear();
    let read = std::io::Read::take(&mut lines, LINE_LIMIT).read_line(&mut line);
    if !matches!(read, Ok(length) if length > 0) {
      return End::Broken(Verdict::MayHaveRun);
    }
    for text in sequence.push(line.trim_end()) {
      if !token(text) {
        return End::CallerGone;
      }
    }
    if sequence.is_complete() {
      return End::Whole;
    }
  }
}

/// Notifies an engine that nobody waits for an attempt any more.
pub fn cancel(address: &str, attempt: &str, limits: &Limits) {
  let body = serde_json::json!({ "attempt": attempt }).to_string();
  if let Ok(request) = call::post(address, "/control/cancel", body.into_bytes()) {
    // The engine also notices the closed connection; this is only sooner.
    let _ = call::send(request, control_waits(limits));
  }
}
