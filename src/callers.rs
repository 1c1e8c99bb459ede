//! The callers' port: routing, and what every request says of itself.

use crate::{
  batch::Change,
  completions,
  instance::STACK,
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

/// Longest deadline a caller may name, ms.
pub const MAX_DEADLINE_MS: u64 = 86_400_000;
/// Bytes of a request's head.
const HEAD_BYTES: usize = 16 << 10;
/// Time past its deadline after which a request's thread stops waiting.
pub const DEADLINE_GRACE: Duration = Duration::from_secs(30);

/// Binds the port and answers until the process ends.
pub fn bind(shared: &Arc<Shared>) -> io::Result<SocketAddr> {
  let limits = &shared.settings.limits;
  let bounds = Limits {
    connections: limits.requests,
    head_bytes: HEAD_BYTES,
    body_bytes: limits.body_bytes,
    request_timeout: Duration::from_millis(limits.caller_stall_ms),
    idle_timeout: Duration::from_millis(limits.caller_idle_ms),
    write_timeout: Duration::from_millis(limits.caller_stall_ms),
    stack_bytes: STACK,
  };
  let busy = reply::refusal_body(queue_full()).to_string();
  let worker = shared.clone();
  web::bind(&shared.settings.callers, bounds, busy, move |request| {
    handle(&worker, request);
  })
}

/// The refusal of a caller beyond the instance's bounds.
pub fn queue_full() -> Refusal {
  Refusal {
    reason: Reason::QueueFull,
    verdict: Verdict::NotRun,
    retry_after: Some(1_000),
  }
}

fn handle(shared: &Shared, request: &mut Request) {
  let path = request.path().to_string();
  let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
  match (request.method.as_str(), parts.as_slice()) {
    ("POST", ["v1", "completions"]) => completions::complete(shared, request, false),
    ("POST", ["v1", "chat", "completions"]) => completions::complete(shared, request, true),
    ("GET", ["v1", "models"]) => completions::models(shared, request),
    ("POST", ["v1", "batches"]) => submissions::submit(shared, request),
    ("GET", ["v1", "batches", id]) => submissions::batch(shared, request, id, None),
    ("POST", ["v1", "batches", id, "cancel"]) => {
      submissions::batch(shared, request, id, Some(Change::Cancel));
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

/// What every request says of itself in its headers.
pub struct Options {
  pub class: Class,
  /// Time by which the first byte must be on its way, ms.
  pub deadline: u64,
  /// Hash of the caller's identity.
  pub caller: u64,
}

/// Reads and checks a request's headers.
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
  let wait = match request.header("x-deadline-ms") {
    None => shared.settings.limits.deadline_ms,
    Some(text) => match text.parse::<u64>() {
      Ok(wait) if (1..=MAX_DEADLINE_MS).contains(&wait) => wait,
      _ => {
        return Err(format!(
          "x-deadline-ms: `{text}` is not within 1..={MAX_DEADLINE_MS}"
        ));
      }
    },
  };
  let name = user
    .or_else(|| request.header("x-caller"))
    .or_else(|| request.header("authorization"));
  let caller = match name {
    Some(name) => xxh3_64(name.as_bytes()),
    None => xxh3_64(request.peer.ip().to_string().as_bytes()),
  };
  Ok(Options {
    class,
    deadline: shared.now() + wait,
    caller,
  })
}

/// The next directive; none when the reducer has not answered long past the
/// deadline.
pub fn next_directive(
  shared: &Shared,
  directives: &Receiver<Directive>,
  deadline: u64,
) -> Option<Directive> {
  let left = Duration::from_millis(deadline.saturating_sub(shared.now()));
  directives.recv_timeout(left + DEADLINE_GRACE).ok()
}
