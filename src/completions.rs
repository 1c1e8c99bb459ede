//! Completions, from a caller's request to its complete response.

use crate::{
  attempt::End,
  batch::Item,
  callers::{DEADLINE_GRACE, parse_options, queue_full},
  engine::{self, Completion},
  event::Event,
  reply::{self, Reply},
  request::{Class, Descriptor, Ticket, Work},
  shared::{Directive, Shared, notify_attempt_ended},
  web::Request,
};
use serde::Deserialize;
use std::{
  sync::mpsc::{Receiver, RecvTimeoutError},
  time::Duration,
};

/// Interval for checking whether a waiting caller is still connected.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of tokens for a completion that does not set one.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// Body of a completion or chat request.
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

/// Serves a completion or chat request.
pub fn complete(shared: &Shared, request: &mut Request, chat: bool) {
  let parsed = serde_json::from_slice::<Body>(&request.body)
    .map_err(|error| format!("body: {error}"))
    .and_then(|body| {
      Ok((
        prompt(&body)?,
        parse_options(shared, request, body.user.as_deref())?,
        body,
      ))
    });
  let (prompt, terms, body) = match parsed {
    Ok(parsed) => parsed,
    Err(text) => return reply::error(request, 400, "invalid_request", &text),
  };
  let (ticket, directives) = shared.open_ticket();
  let descriptor = Descriptor {
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
  let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
  run(
    shared,
    descriptor,
    &directives,
    prompt,
    max_tokens,
    &mut reply,
  );
  shared.close_ticket(ticket);
}

/// Runs a completion from admission to its final response, including all attempts.
fn run(
  shared: &Shared,
  descriptor: Descriptor,
  directives: &Receiver<Directive>,
  prompt: String,
  max_tokens: u32,
  reply: &mut Reply,
) {
  let ticket = descriptor.ticket;
  let deadline = descriptor.deadline;
  let priority = u8::from(descriptor.class == Class::Batch);
  let Work::Model { model } = descriptor.work.clone() else {
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
  let time_limit = deadline.saturating_sub(shared.now());
  shared.notify(Event::RequestArrived(descriptor));
  loop {
    // A response that was cut off has its time limit anew.
    let deadline = deadline.max(shared.now() + time_limit);
    let attempt = match wait_for_directive(shared, directives, ticket, deadline, reply) {
      Some(Directive::Send(attempt)) => attempt,
      Some(Directive::Refuse(refusal)) => return reply.refuse(refusal),
      _ => return reply.refuse(queue_full()),
    };
    completion.replica = attempt.replica.map(|id| id.0).unwrap_or_default();
    completion.attempt = format!("{}/{}", completion.request, attempt.number);
    let mut tokens = Vec::new();
    let end = engine::complete(&attempt, &completion, &shared.settings.limits, |text| {
      let connected = reply.push_token(&text);
      tokens.push(text);
      connected
    });
    let end = match end {
      End::Broken(_) if !tokens.is_empty() => End::CutOff,
      end => end,
    };
    completion.resume.append(&mut tokens);
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
    notify_attempt_ended(shared, &attempt, end, None);
    if matches!(end, End::Whole | End::CallerGone) {
      return;
    }
  }
}

/// Waits for the next directive and checks periodically whether the caller is still connected. If
/// it is not, the reducer is notified so that the request leaves the queue.
fn wait_for_directive(
  shared: &Shared,
  directives: &Receiver<Directive>,
  ticket: Ticket,
  deadline: u64,
  reply: &Reply,
) -> Option<Directive> {
  let give_up_at = deadline + DEADLINE_GRACE.as_millis() as u64;
  let mut notified = false;
  while shared.now() < give_up_at {
    match directives.recv_timeout(DISCONNECT_CHECK_INTERVAL) {
      Ok(directive) => return Some(directive),
      Err(RecvTimeoutError::Disconnected) => return None,
      Err(RecvTimeoutError::Timeout) if !notified && reply.is_disconnected() => {
        notified = true;
        shared.notify(Event::CallerLeft { ticket });
      }
      Err(RecvTimeoutError::Timeout) => {}
    }
  }
  None
}

/// Runs an item of a batch.
pub fn run_item(
  shared: &Shared,
  descriptor: Descriptor,
  directives: &Receiver<Directive>,
  prompt: String,
  max_tokens: u32,
) -> Item {
  let mut reply = Reply::buffered();
  run(
    shared, descriptor, directives, prompt, max_tokens, &mut reply,
  );
  reply.into_item()
}

/// Responds with the list of models in the current catalog.
pub fn models(shared: &Shared, request: &mut Request) {
  let names = shared.query(|state| state.catalog.models.keys().cloned().collect::<Vec<_>>());
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
