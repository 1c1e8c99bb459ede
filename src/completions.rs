//! Completions: from a caller's request to its whole answer.

use crate::{
  attempt::End,
  batch::Item,
  callers::{DEADLINE_GRACE, parse_options, queue_full},
  engine::{self, Completion},
  event::Event,
  reply::{self, Reply},
  request::{Class, Descriptor, Ticket, Work},
  shared::{Directive, Shared, ended},
  web::Request,
};
use serde::Deserialize;
use std::{
  sync::mpsc::{Receiver, RecvTimeoutError},
  time::Duration,
};

/// Pause between two looks whether a waiting caller is still there.
const LOOK: Duration = Duration::from_millis(250);
/// Tokens of a completion that names no bound.
pub const MAX_TOKENS: u32 = 256;

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

/// Carries a completion or chat request.
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
  let ask = Descriptor {
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
  ask: Descriptor,
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
  shared.notify(Event::RequestArrived(ask));
  loop {
    let attempt = match await_turn(shared, directives, ticket, deadline, reply) {
      Some(Directive::Send(attempt)) => attempt,
      Some(Directive::Refuse(refusal)) => return reply.refuse(refusal),
      _ => return reply.refuse(queue_full()),
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

/// The next directive, with a look now and then whether the caller is still
/// there; one that has gone gives its place in the queue back.
fn await_turn(
  shared: &Shared,
  directives: &Receiver<Directive>,
  ticket: Ticket,
  deadline: u64,
  reply: &Reply,
) -> Option<Directive> {
  let until = deadline + DEADLINE_GRACE.as_millis() as u64;
  let mut notified = false;
  while shared.now() < until {
    match directives.recv_timeout(LOOK) {
      Ok(directive) => return Some(directive),
      Err(RecvTimeoutError::Disconnected) => return None,
      Err(RecvTimeoutError::Timeout) if !notified && reply.gone() => {
        notified = true;
        shared.notify(Event::CallerLeft { ticket });
      }
      Err(RecvTimeoutError::Timeout) => {}
    }
  }
  None
}

/// Runs one item of a batch.
pub fn run_item(
  shared: &Shared,
  ask: Descriptor,
  directives: &Receiver<Directive>,
  prompt: String,
  max_tokens: u32,
) -> Item {
  let mut reply = Reply::gather();
  run(shared, ask, directives, prompt, max_tokens, &mut reply);
  reply.item()
}

/// Lists the models in force.
pub fn models(shared: &Shared, request: &mut Request) {
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
