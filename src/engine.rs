//! Client of model engines.
//!
//! `GET /status` returns a report; `POST /control/load` and `/control/unload`
//! accept orders (202 accepted, 409 stale fencing number, 422 declined);
//! `POST /v1/completions` streams tokens as server-sent events, each with its
//! index, or declines with 429 or 503 before running anything.

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

/// Timeout of a status request and of an order.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Maximum length of a line of a token stream.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// The body of a completion request to an engine.
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
  /// Lower values are served first.
  pub priority: u8,
  /// Tokens that the caller already has; the stream starts after them.
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
  /// Number of tokens of the complete response.
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

fn control_timeouts(limits: &Limits) -> Timeouts {
  Timeouts {
    connect: Duration::from_millis(limits.connect_ms),
    response: CONTROL_TIMEOUT,
    read: CONTROL_TIMEOUT,
  }
}

/// Requests the status of an engine; `None` on any failure.
pub fn status(address: &str, limits: &Limits) -> Option<Report> {
  let request = ureq::http::Request::get(format!("http://{address}/status"));
  let request = request.body(Vec::new()).ok()?;
  let mut response = call::send(request, control_timeouts(limits)).ok()?;
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
    .and_then(|request| call::send(request, control_timeouts(limits)));
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

/// Orders the tokens of an attempt's stream and drops everything that does not belong to it.
#[derive(Debug)]
pub struct Sequence {
  attempt: String,
  next: usize,
  out_of_order: BTreeMap<usize, String>,
  total: Option<usize>,
}

impl Sequence {
  /// Creates a sequence for an attempt whose caller already has `delivered` tokens.
  pub fn new(attempt: &str, delivered: usize) -> Self {
    Self {
      attempt: attempt.into(),
      next: delivered,
      out_of_order: BTreeMap::new(),
      total: None,
    }
  }

  /// Adds a line of the stream and returns the tokens that are next in order.
  pub fn push(&mut self, line: &str) -> Vec<String> {
    let Some(data) = line.strip_prefix("data: ") else {
      return Vec::new();
    };
    if let Ok(chunk) = serde_json::from_str::<Chunk>(data) {
      if chunk.attempt == self.attempt && chunk.index >= self.next {
        self.out_of_order.insert(chunk.index, chunk.text);
      }
    } else if let Ok(done) = serde_json::from_str::<Done>(data)
      && done.attempt == self.attempt
    {
      self.total = Some(done.total);
    }
    let mut ready = Vec::new();
    while let Some(text) = self.out_of_order.remove(&self.next) {
      self.next += 1;
      ready.push(text);
    }
    ready
  }

  /// Whether all tokens of the response were received.
  pub fn is_complete(&self) -> bool {
    self.total == Some(self.next)
  }
}

/// Streams a completion. `on_token` receives each token and returns whether the caller is
/// still connected.
pub fn complete(
  attempt: &Attempt,
  completion: &Completion,
  limits: &Limits,
  mut on_token: impl FnMut(String) -> bool,
) -> End {
  let stall = Duration::from_millis(limits.token_stall_ms);
  let timeouts = Timeouts {
    connect: Duration::from_millis(limits.connect_ms),
    response: stall,
    read: stall,
  };
  let body = serde_json::to_vec(completion).unwrap_or_default();
  let sent = call::post(&attempt.address, "/v1/completions", body)
    .and_then(|request| call::send(request, timeouts));
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
    let read = std::io::Read::take(&mut lines, MAX_LINE_BYTES).read_line(&mut line);
    if !matches!(read, Ok(length) if length > 0) {
      return End::Broken(Verdict::MayHaveRun);
    }
    for text in sequence.push(line.trim_end()) {
      if !on_token(text) {
        return End::CallerGone;
      }
    }
    if sequence.is_complete() {
      return End::Whole;
    }
  }
}

/// Notifies an engine that the response to an attempt is no longer needed.
pub fn cancel(address: &str, attempt: &str, limits: &Limits) {
  let body = serde_json::json!({ "attempt": attempt }).to_string();
  if let Ok(request) = call::post(address, "/control/cancel", body.into_bytes()) {
    // Errors are ignored: the engine also detects the closed connection, only later.
    let _ = call::send(request, control_timeouts(limits));
  }
}
