//! Caller port: routes requests and reads the headers that are common to all of them.

use crate::{
  batch::Change,
  completions,
  instance::STACK_BYTES,
  refusal::{Reason, Refusal},
  reply,
  request::Class,
  services,
  shared::{Directive, Shared},
  submissions,
  verdict::Verdict,
  web::{self, Limits, Request},
};
use std::{
  io,
  net::SocketAddr,
  sync::{Arc, mpsc::Receiver},
  time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Longest time until the deadline that a caller may request.
pub const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// Time past the deadline after which a request's thread stops waiting for a directive.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(30);

/// Binds the port and serves it until the process ends.
pub fn bind(shared: &Arc<Shared>) -> io::Result<SocketAddr> {
  let limits = &shared.settings.limits;
  let web_limits = Limits {
    connections: limits.requests,
    head_bytes: MAX_HEAD_BYTES,
    body_bytes: limits.body_bytes,
    request_timeout: Duration::from_millis(limits.caller_stall_ms),
    idle_timeout: Duration::from_millis(limits.caller_idle_ms),
    write_timeout: Duration::from_millis(limits.caller_stall_ms),
    stack_bytes: STACK_BYTES,
  };
  let busy_body = reply::refusal_body(queue_full()).to_string();
  let handler_shared = shared.clone();
  web::bind(
    &shared.settings.callers,
    web_limits,
    busy_body,
    &shared.stop,
    move |request| {
      handle(&handler_shared, request);
    },
  )
}

/// The refusal for a caller when the instance's limits are reached.
pub fn queue_full() -> Refusal {
  Refusal {
    reason: Reason::QueueFull,
    verdict: Verdict::NotRun,
    retry_after: Some(1_000),
    shortage: None,
  }
}

fn handle(shared: &Shared, request: &mut Request) {
  let path = request.path().to_string();
  let segments: Vec<&str> = path.trim_start_matches('/').split('/').collect();
  match (request.method.as_str(), segments.as_slice()) {
    ("POST", ["v1", "completions"]) => completions::complete(shared, request, false),
    ("POST", ["v1", "chat", "completions"]) => completions::complete(shared, request, true),
    ("GET", ["v1", "models"]) => completions::models(shared, request),
    ("POST", ["v1", "batches"]) => submissions::submit(shared, request),
    ("GET", ["v1", "batches", id]) => submissions::handle(shared, request, id, None),
    ("POST", ["v1", "batches", id, "cancel"]) => {
      submissions::handle(shared, request, id, Some(Change::Cancel));
    }
    ("GET" | "POST", ["services", service, ..]) => {
      let call = path.splitn(4, '/').nth(3).unwrap_or_default();
      services::serve(shared, request, service, &format!("/{call}"));
    }
    _ => reply::error(
      request,
      404,
      "not_found",
      &format!("path: `{path}` is unknown"),
    ),
  }
}

/// Options from the headers that are common to all requests.
pub struct Options {
  pub class: Class,
  /// Time by which the first byte of the response must be sent, ms.
  pub deadline: u64,
  /// Hash of the caller's identity.
  pub caller: u64,
}

/// Parses and validates the headers of a request. `user` takes precedence over the headers that
/// identify the caller.
pub fn parse_options(
  shared: &Shared,
  request: &Request,
  user: Option<&str>,
) -> Result<Options, String> {
  let class = match request.header("x-class") {
    None | Some("interactive") => Class::Interactive,
    Some("batch") => Class::Batch,
    Some(other) => return Err(format!("x-class: `{other}` is not interactive or batch")),
  };
  let timeout_ms = match request.header("x-deadline-ms") {
    None => shared.settings.limits.deadline_ms,
    Some(text) => match text.parse::<u64>() {
      Ok(timeout_ms) if (1..=MAX_DEADLINE_MS).contains(&timeout_ms) => timeout_ms,
      _ => {
        return Err(format!(
          "x-deadline-ms: `{text}` is not within 1..={MAX_DEADLINE_MS}"
        ));
      }
    },
  };
  let identity = user
    .or_else(|| request.header("x-caller"))
    .or_else(|| request.header("authorization"));
  let caller = match identity {
    Some(identity) => xxh3_64(identity.as_bytes()),
    None => xxh3_64(request.peer.ip().to_string().as_bytes()),
  };
  Ok(Options {
    class,
    deadline: shared.now() + timeout_ms,
    caller,
  })
}

/// Waits for the next directive; `None` if the reducer sends none within `DEADLINE_GRACE` after the
/// deadline.
pub fn next_directive(
  shared: &Shared,
  directives: &Receiver<Directive>,
  deadline: u64,
) -> Option<Directive> {
  let remaining = Duration::from_millis(deadline.saturating_sub(shared.now()));
  directives.recv_timeout(remaining + DEADLINE_GRACE).ok()
}
