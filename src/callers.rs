//! The callers' port: completions, plain services and batches.

use crate::{
  ask::{Ask, Class, Work},
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
};
use serde::Deserialize;
use std::{
  io::{self, Read},
  net::SocketAddr,
  sync::{Arc, atomic::Ordering, mpsc::Receiver},
  thread,
  time::Duration,
};
use tiny_http::{Method, Request, Server};
use xxhash_rust::xxh3::xxh3_64;

/// Longest prompt batch, items.
const ITEMS: usize = 10_000;
/// Longest deadline a caller may name, ms.
const DEADLINE_MOST: u64 = 86_400_000;
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
  let listener = std::net::TcpListener::bind(&shared.settings.callers)?;
  let socket = socket2::Socket::from(listener);
  // Accepted sockets inherit these: a caller that stops reading frees its thread.
  let stall = Duration::from_millis(shared.settings.limits.caller_stall_ms);
  socket.set_write_timeout(Some(stall))?;
  socket.set_tcp_nodelay(true)?;
  socket.set_keepalive(true)?;
  let listener = std::net::TcpListener::from(socket);
  let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
  let address = server.server_addr().to_ip();
  let address = address.ok_or_else(|| io::Error::other("callers: not an ip address"))?;
  let shared = shared.clone();
  let builder = thread::Builder::new().name("callers".into());
  builder.spawn(move || accept(&shared, &server))?;
  Ok(address)
}

fn accept(shared: &Arc<Shared>, server: &Server) {
  loop {
    let Ok(request) = server.recv() else {
      continue;
    };
    let limit = shared.settings.limits.requests;
    if shared.open.load(Ordering::Relaxed) >= limit {
      reply::refuse(request, busy());
      continue;
    }
    shared.open.fetch_add(1, Ordering::Relaxed);
    let worker = shared.clone();
    let builder = thread::Builder::new()
      .name("request".into())
      .stack_size(STACK);
    let spawned = builder.spawn(move || {
      handle(&worker, request);
      worker.open.fetch_sub(1, Ordering::Relaxed);
    });
    if spawned.is_err() {
      shared.open.fetch_sub(1, Ordering::Relaxed);
    }
  }
}

fn busy() -> Refusal {
  Refusal {
    reason: Reason::QueueFull,
    verdict: Verdict::NotRun,
    retry_after: Some(1_000),
  }
}

fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
  let mut headers = request.headers().iter();
  let found = headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
  found.map(|header| header.value.as_str())
}

fn handle(shared: &Shared, mut request: Request) {
  let limit = shared.settings.limits.body_bytes;
  let mut body = Vec::new();
  let read = request
    .as_reader()
    .take(limit as u64 + 1)
    .read_to_end(&mut body);
  if read.is_err() {
    return;
  }
  if body.len() > limit {
    let text = format!("body: more than {limit} bytes");
    reply::error(request, 413, "invalid_request", &text);
    return;
  }
  let path = request
    .url()
    .split('?')
    .next()
    .unwrap_or_default()
    .to_string();
  let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
  match (request.method().clone(), parts.as_slice()) {
    (Method::Post, ["v1", "completions"]) => complete(shared, request, &body, false),
    (Method::Post, ["v1", "chat", "completions"]) => complete(shared, request, &body, true),
    (Method::Get, ["v1", "models"]) => models(shared, request),
    (Method::Post, ["v1", "batches"]) => submit(shared, request, &body),
    (Method::Get, ["v1", "batches", id]) => batch(shared, request, id, None),
    (Method::Post, ["v1", "batches", id, "cancel"]) => {
      batch(shared, request, id, Some(Change::Cancel));
    }
    (method @ (Method::Get | Method::Post), ["services", service, ..]) => {
      let service = service.to_string();
      let call = path.splitn(4, '/').nth(3).unwrap_or_default().to_string();
      serve(shared, request, method, &service, &format!("/{call}"), body);
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
  let class = match header(request, "x-class") {
    None | Some("interactive") => Class::Interactive,
    Some("batch") => Class::Batch,
    Some(other) => return Err(format!("x-class: `{other}` is not interactive or batch")),
  };
  let wait = match header(request, "x-deadline-ms") {
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
    .or_else(|| header(request, "x-caller"))
    .or_else(|| header(request, "authorization"));
  let caller = match (name, request.remote_addr()) {
    (Some(name), _) => xxh3_64(name.as_bytes()),
    (None, Some(address)) => xxh3_64(address.ip().to_string().as_bytes()),
    (None, None) => 0,
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

fn complete(shared: &Shared, request: Request, body: &[u8], chat: bool) {
  let parsed = serde_json::from_slice::<Body>(body)
    .map_err(|error| format!("body: {error}"))
    .and_then(|body| {
      Ok((
        prompt(&body)?,
        terms(shared, &request, body.user.as_deref())?,
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
    let attempt = match next(shared, directives, deadline) {
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

fn models(shared: &Shared, request: Request) {
  let rulings = shared.status().map(|status| status.rulings);
  let models: Vec<_> = rulings
    .unwrap_or_default()
    .into_iter()
    .map(|ruling| serde_json::json!({ "id": ruling.model, "object": "model" }))
    .collect();
  reply::json(
    request,
    200,
    &serde_json::json!({ "object": "list", "data": models }),
  );
}

/// Carries a plain service's call.
fn serve(
  shared: &Shared,
  request: Request,
  method: Method,
  service: &str,
  path: &str,
  body: Vec<u8>,
) {
  let terms = match terms(shared, &request, None) {
    Ok(terms) => terms,
    Err(text) => return reply::error(request, 400, "invalid_request", &text),
  };
  let repeatable = method == Method::Get || repeatable(shared, service, path);
  let key = header(&request, "idempotency-key")
    .map(|key| xxh3_64(format!("{service}{path}\n{key}").as_bytes()))
    .filter(|_| !repeatable);
  let content = header(&request, "content-type")
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
        let outgoing = outgoing(&method, &attempt, path, &content, &id, &body);
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
  method: &Method,
  attempt: &Attempt,
  path: &str,
  content: &str,
  id: &str,
  body: &[u8],
) -> Result<ureq::http::Request<Vec<u8>>, call::Failure> {
  ureq::http::Request::builder()
    .method(method.as_str())
    .uri(format!("http://{}{path}", attempt.address))
    .header("content-type", content)
    .header("x-request", id)
    .body(body.to_vec())
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

fn submit(shared: &Shared, request: Request, body: &[u8]) {
  let parsed = serde_json::from_slice::<BatchBody>(body)
    .map_err(|error| format!("body: {error}"))
    .and_then(check_batch)
    .and_then(|body| Ok((terms(shared, &request, None)?, body)));
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
  let id = match header(&request, "idempotency-key") {
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
fn batch(shared: &Shared, request: Request, id: &str, change: Option<Change>) {
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
