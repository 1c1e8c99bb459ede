//! The callers' port: completions, plain services and batches.

use crate::{
  ask::{Ask, Class, Ticket, Work},
  attempt::{Attempt, End},
  batch::{BATCH_LIMIT, Batch, Change, Item},
  call::{self, Waits},
  engine::{self, Completion},
  event::Event,
  instance::{Directive, STACK, Shared, ended},
  refusal::{Reason, Refusal},
  reply::{self, Reply},
  update::{Outcome, Value},
  verdict::Verdict,
  web::{self, Bounds, Request},
};
use serde::Deserialize;
use std::{
  io,
  net::SocketAddr,
  sync::{
    Arc,
    mpsc::{Receiver, RecvTimeoutError},
  },
  time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Longest prompt batch, items.
const ITEMS: usize = 10_000;
/// Longest deadline a caller may name, ms.
const DEADLINE_MOST: u64 = 86_400_000;
/// Bytes of a request's head.
const HEAD_BYTES: usize = 16 << 10;
/// Pause between two looks whether a waiting caller is still there.
const LOOK: Duration = Duration::from_millis(250);
/// Time past its deadline after which a request's thread stops waiting.
const GRACE: Duration = Duration::from_secs(30);
/// Tokens of a completion that names no bound.
const MAX_TOKENS: u32 = 256;

/// A completion or chat request, as callers send it.
#[derive(Deserialize)]
struct Body {
  model: String,
  #[serde(default)]
  prompt: Option<String>,
  #[serde(default)]
  messages: Vec<Message>,
  #[serde(default)]
  max_tokens: Option<u32>,
  #[serde(default)]
  stream: bool,
  #[serde(default)]
  user: Option<String>,
}

#[derive(Deserialize)]
struct Message {
  role: String,
  content: String,
}

#[derive(Deserialize)]
struct BatchBody {
  model: String,
  prompts: Vec<String>,
  #[serde(default)]
  max_tokens: Option<u32>,
  /// Time until the outcomes are wanted, ms.
  completion_window_ms: u64,
}

/// Binds the port and answers until the process ends.
pub fn bind(shared: &Arc<Shared>) -> io::Result<SocketAddr> {
  let limits = &shared.settings.limits;
  let bounds = Bounds {
    connections: limits.requests,
    head: HEAD_BYTES,
    body: limits.body_bytes,
    arrive: Duration::from_millis(limits.caller_stall_ms),
    idle: Duration::from_millis(limits.caller_idle_ms),
    stall: Duration::from_millis(limits.caller_stall_ms),
    stack: STACK,
  };
  let busy = reply::refusal_body(busy()).to_string();
  let worker = shared.clone();
  web::bind(&shared.settings.callers, bounds, busy, move |request| {
    handle(&worker, request);
  })
}

fn busy() -> Refusal {
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
    ("POST", ["v1", "completions"]) => complete(shared, request, false),
    ("POST", ["v1", "chat", "completions"]) => complete(shared, request, true),
    ("GET", ["v1", "models"]) => models(shared, request),
    ("POST", ["v1", "batches"]) => submit(shared, request),
    ("GET", ["v1", "batches", id]) => batch(shared, request, id, None),
    ("POST", ["v1", "batches", id, "cancel"]) => {
      batch(shared, request, id, Some(Change::Cancel));
    }
    ("GET" | "POST", ["services", service, ..]) => {
      let call = path.splitn(4, '/').nth(3).unwrap_or_default();
      serve(shared, request, service, &format!("/{call}"));
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
struct Terms {
  class: Class,
  deadline: u64,
  caller: u64,
}

fn terms(shared: &Shared, request: &Request, user: Option<&str>) -> Result<Terms, String> {
  let class = match request.header("x-class") {
    None | Some("interactive") => Class::Interactive,
    Some("batch") => Class::Batch,
    Some(other) => return Err(format!("x-class: `{other}` is not interactive or batch")),
  };
  let wait = match request.header("x-deadline-ms") {
    None => shared.settings.limits.deadline_ms,
    Some(text) => match text.parse::<u64>() {
      Ok(wait) if (1..=DEADLINE_MOST).contains(&wait) => wait,
      _ => {
        return Err(format!(
          "x-deadline-ms: `{text}` is not within 1..={DEADLINE_MOST}"
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
  Ok(Terms {
    class,
    deadline: shared.now() + wait,
    caller,
  })
}

fn prompt(body: &Body) -> Result<String, String> {
  if let Some(prompt) = &body.prompt {
    return Ok(prompt.clone());
  }
  if body.messages.is_empty() {
    return Err("prompt: neither prompt nor messages".into());
  }
  let lines = body
    .messages
    .iter()
    .map(|message| format!("{}: {}", message.role, message.content));
  Ok(lines.collect::<Vec<_>>().join("\n"))
}

fn complete(shared: &Shared, request: &mut Request, chat: bool) {
  let parsed = serde_json::from_slice::<Body>(&request.body)
    .map_err(|error| format!("body: {error}"))
    .and_then(|body| {
      Ok((
        prompt(&body)?,
        terms(shared, request, body.user.as_deref())?,
        body,
      ))
    });
  let (prompt, terms, body) = match parsed {
    Ok(parsed) => parsed,
    Err(text) => return reply::error(request, 400, "invalid_request", &text),
  };
  let (ticket, directives) = shared.open_ticket();
  let ask = Ask {
    ticket,
    work: Work::Model {
      model: body.model.clone(),
    },
    class: terms.class,
    deadline: terms.deadline,
    caller: terms.caller,
  };
  let id = format!("{}-{}-{}", shared.settings.instance, shared.boot, ticket.0);
  let mut reply = Reply::open(request, &id, &body.model, chat, body.stream);
  let max_tokens = body.max_tokens.unwrap_or(MAX_TOKENS);
  run(shared, ask, &directives, prompt, max_tokens, &mut reply);
  shared.close_ticket(ticket);
}

/// Carries a model's request from admission to its final answer.
fn run(
  shared: &Shared,
  ask: Ask,
  directives: &Receiver<Directive>,
  prompt: String,
  max_tokens: u32,
  reply: &mut Reply,
) {
  let ticket = ask.ticket;
  let deadline = ask.deadline;
  let priority = u8::from(ask.class == Class::Batch);
  let Work::Model { model } = ask.work.clone() else {
    return;
  };
  let request = format!("{}/{}/{}", shared.settings.instance, shared.boot, ticket.0);
  let mut completion = Completion {
    replica: 0,
    model,
    prompt,
    max_tokens,
    attempt: String::new(),
    request,
    priority,
    resume: Vec::new(),
  };
  shared.tell(Event::Asked(ask));
  loop {
    let attempt = match await_turn(shared, directives, ticket, deadline, reply) {
      Some(Directive::Send(attempt)) => attempt,
      Some(Directive::Refuse(refusal)) => return reply.refuse(refusal),
      _ => return reply.refuse(busy()),
    };
    completion.replica = attempt.replica.map(|id| id.0).unwrap_or_default();
    completion.attempt = format!("{}/{}", completion.request, attempt.number);
    let mut taken = Vec::new();
    let end = engine::complete(&attempt, &completion, &shared.settings.limits, |text| {
      let there = reply.token(&text);
      taken.push(text);
      there
    });
    completion.resume.append(&mut taken);
    if end == End::CallerGone {
      engine::cancel(
        &attempt.address,
        &completion.attempt,
        &shared.settings.limits,
      );
    }
    if end == End::Whole {
      reply.finish();
    }
    ended(shared, &attempt, end, None);
    if matches!(end, End::Whole | End::CallerGone) {
      return;
    }
  }
}

/// The next directive; none when the reducer has not answered long past the
/// deadline.
fn next(shared: &Shared, directives: &Receiver<Directive>, deadline: u64) -> Option<Directive> {
  let left = Duration::from_millis(deadline.saturating_sub(shared.now()));
  directives.recv_timeout(left + GRACE).ok()
}

/// The next directive, with a look now and then whether the caller is still
/// there; one that has gone gives its place in the queue back.
fn await_turn(
  shared: &Shared,
  directives: &Receiver<Directive>,
  ticket: Ticket,
  deadline: u64,
  reply: &Reply,
) -> Option<Directive> {
  let until = deadline + GRACE.as_millis() as u64;
  let mut told = false;
  while shared.now() < until {
    match directives.recv_timeout(LOOK) {
      Ok(directive) => return Some(directive),
      Err(RecvTimeoutError::Disconnected) => return None,
      Err(RecvTimeoutError::Timeout) if !told && reply.gone() => {
        told = true;
        shared.tell(Event::CallerLeft { ticket });
      }
      Err(RecvTimeoutError::Timeout) => {}
    }
  }
  None
}

/// Runs one item of a batch.
pub fn run_item(
  shared: &Shared,
  ask: Ask,
  directives: &Receiver<Directive>,
  prompt: String,
  max_tokens: u32,
) -> Item {
  let mut reply = Reply::gather();
  run(shared, ask, directives, prompt, max_tokens, &mut reply);
  reply.item()
}

fn models(shared: &Shared, request: &mut Request) {
  let names = shared.look(|state| state.catalog.models.keys().cloned().collect::<Vec<_>>());
  let models: Vec<_> = names
    .unwrap_or_default()
    .into_iter()
    .map(|name| serde_json::json!({ "id": name, "object": "model" }))
    .collect();
  reply::json(
    request,
    200,
    &serde_json::json!({ "object": "list", "data": models }),
  );
}

/// Carries a plain service's call.
fn serve(shared: &Shared, request: &mut Request, service: &str, path: &str) {
  let terms = match terms(shared, request, None) {
    Ok(terms) => terms,
    Err(text) => return reply::error(request, 400, "invalid_request", &text),
  };
  let repeatable = request.method == "GET" || repeatable(shared, service, path);
  let key = request
    .header("idempotency-key")
    .map(|key| xxh3_64(format!("{service}{path}\n{key}").as_bytes()))
    .filter(|_| !repeatable);
  let content = request
    .header("content-type")
    .unwrap_or("application/octet-stream")
    .to_string();
  let (ticket, directives) = shared.open_ticket();
  shared.tell(Event::Asked(Ask {
    ticket,
    work: Work::Service {
      service: service.into(),
      repeatable,
      key,
    },
    class: terms.class,
    deadline: terms.deadline,
    caller: terms.caller,
  }));
  let id = format!("{}/{}/{}", shared.settings.instance, shared.boot, ticket.0);
  loop {
    match next(shared, &directives, terms.deadline) {
      Some(Directive::Send(attempt)) => {
        let outgoing = outgoing(request, &attempt, path, &content, &id);
        if let Some(answer) = call_once(shared, &attempt, outgoing) {
          reply::raw(request, &answer);
          break;
        }
      }
      Some(Directive::Refuse(refusal)) => {
        reply::refuse(request, refusal);
        break;
      }
      Some(Directive::Replay { status, body }) => {
        reply::replay(request, status, body);
        break;
      }
      Some(Directive::Batch(_)) | None => {
        reply::refuse(request, busy());
        break;
      }
    }
  }
  shared.close_ticket(ticket);
}

fn repeatable(shared: &Shared, service: &str, path: &str) -> bool {
  let services = shared.services.lock();
  let services = services.unwrap_or_else(std::sync::PoisonError::into_inner);
  let paths = services.get(service);
  paths.is_some_and(|paths| paths.iter().any(|repeatable| repeatable == path))
}

fn outgoing(
  request: &Request,
  attempt: &Attempt,
  path: &str,
  content: &str,
  id: &str,
) -> Result<ureq::http::Request<Vec<u8>>, call::Failure> {
  ureq::http::Request::builder()
    .method(request.method.as_str())
    .uri(format!("http://{}{path}", attempt.address))
    .header("content-type", content)
    .header("x-request", id)
    .body(request.body.clone())
    .map_err(|error| call::Failure {
      verdict: Verdict::NotRun,
      text: error.to_string(),
    })
}

/// Makes a service's call; none when the reducer is to say how it goes on.
fn call_once(
  shared: &Shared,
  attempt: &Attempt,
  request: Result<ureq::http::Request<Vec<u8>>, call::Failure>,
) -> Option<reply::Answer> {
  let stall = Duration::from_millis(shared.settings.limits.token_stall_ms);
  let waits = Waits {
    connect: Duration::from_millis(shared.settings.limits.connect_ms),
    answer: stall,
    read: stall,
  };
  let response = match request.and_then(|request| call::send(request, waits)) {
    Ok(response) => response,
    Err(failure) => {
      ended(shared, attempt, End::Broken(failure.verdict), None);
      return None;
    }
  };
  match reply::Answer::read(response, shared.settings.limits.body_bytes) {
    Some(answer) => {
      let kept = (answer.status, answer.text());
      ended(shared, attempt, End::Whole, Some(kept));
      Some(answer)
    }
    None => {
      ended(shared, attempt, End::Broken(Verdict::MayHaveRun), None);
      None
    }
  }
}

fn submit(shared: &Shared, request: &mut Request) {
  let parsed = serde_json::from_slice::<BatchBody>(&request.body)
    .map_err(|error| format!("body: {error}"))
    .and_then(check_batch)
    .and_then(|body| Ok((terms(shared, request, None)?, body)));
  let (terms, body) = match parsed {
    Ok(parsed) => parsed,
    Err(text) => return reply::error(request, 400, "invalid_request", &text),
  };
  let batch = Batch {
    model: body.model,
    deadline: shared.now() + body.completion_window_ms,
    caller: terms.caller,
    max_tokens: body.max_tokens.unwrap_or(MAX_TOKENS),
    items: vec![Item::Waiting; body.prompts.len()],
    prompts: body.prompts,
  };
  let size = serde_json::to_vec(&batch).unwrap_or_default().len();
  if size > BATCH_LIMIT {
    let text =
      format!("prompts: `{size}` bytes are more than {BATCH_LIMIT}; submit several batches");
    return reply::error(request, 413, "invalid_request", &text);
  }
  let id = match request.header("idempotency-key") {
    Some(key) => format!(
      "{:016x}",
      xxh3_64(format!("{}\n{key}", terms.caller).as_bytes())
    ),
    None => format!("{:016x}", rand::random::<u64>()),
  };
  let change = Change::Submit(Box::new(batch));
  self::batch(shared, request, &id, Some(change));
}

fn check_batch(body: BatchBody) -> Result<BatchBody, String> {
  let count = body.prompts.len();
  if count == 0 || count > ITEMS {
    return Err(format!(
      "prompts: `{count}` items are not within 1..={ITEMS}"
    ));
  }
  let window = body.completion_window_ms;
  if window == 0 || window > DEADLINE_MOST {
    return Err(format!(
      "completion_window_ms: `{window}` is not within 1..={DEADLINE_MOST}"
    ));
  }
  Ok(body)
}

/// Submits, polls or cancels a batch.
fn batch(shared: &Shared, request: &mut Request, id: &str, change: Option<Change>) {
  let submits = matches!(change, Some(Change::Submit(_)));
  let (ticket, directives) = shared.open_ticket();
  shared.tell(Event::BatchAsked {
    ticket,
    id: id.into(),
    change,
  });
  let directive = next(shared, &directives, shared.now());
  shared.close_ticket(ticket);
  match directive {
    Some(Directive::Batch(Outcome::Applied(stored))) => match stored.value {
      Value::Batch(batch) if !batch.prompts.is_empty() => {
        let status = if submits { 202 } else { 200 };
        reply::json(request, status, &describe(id, &batch));
      }
      _ => reply::error(
        request,
        404,
        "not_found",
        &format!("batch: `{id}` is unknown"),
      ),
    },
    Some(Directive::Batch(Outcome::Rejected(..))) if submits => {
      let text = "idempotency-key: another batch was submitted under it";
      reply::error(request, 409, "conflict", text);
    }
    Some(Directive::Batch(Outcome::Rejected(..))) => {
      reply::error(
        request,
        404,
        "not_found",
        &format!("batch: `{id}` is unknown"),
      );
    }
    _ => reply::refuse(request, unavailable(submits)),
  }
}

/// A submission whose write was not answered may stand all the same.
fn unavailable(submits: bool) -> Refusal {
  Refusal {
    reason: Reason::PlatformUnavailable,
    verdict: match submits {
      true => Verdict::MayHaveRun,
      false => Verdict::NotRun,
    },
    retry_after: Some(1_000),
  }
}

fn describe(id: &str, batch: &Batch) -> serde_json::Value {
  serde_json::json!({
    "id": id,
    "object": "batch",
    "model": batch.model,
    "status": if batch.finished() { "completed" } else { "in_progress" },
    "deadline": batch.deadline,
    "waiting": batch.waiting().len(),
    "items": batch.items,
  })
}
