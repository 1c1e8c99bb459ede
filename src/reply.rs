//! Answers to callers.

use crate::{
  batch::Item,
  refusal::{Reason, Refusal},
  web::{Request, Writer},
};
use serde_json::{Value, json};
use std::io::Read;
use ureq::Body;

const JSON: (&str, &str) = ("content-type", "application/json");

/// Answers with JSON.
pub fn json(request: &mut Request, status: u16, body: &Value) {
  request.respond(status, &[JSON], body.to_string().as_bytes());
}

/// Answers that the request itself is at fault.
pub fn error(request: &mut Request, status: u16, code: &str, text: &str) {
  let body = json!({ "error": { "type": code, "message": text, "verdict": "not-run" } });
  json(request, status, &body);
}

/// The body of a refusal.
pub fn refusal_body(refusal: Refusal) -> Value {
  json!({ "error": {
    "type": "refused",
    "message": format!("refused: {}", refusal.reason.as_str()),
    "reason": refusal.reason.as_str(),
    "verdict": refusal.verdict.as_str(),
    "retry_after_ms": refusal.retry_after,
  } })
}

/// Answers with a refusal.
pub fn refuse(request: &mut Request, refusal: Refusal) {
  let body = refusal_body(refusal).to_string();
  let after = refusal.retry_after.map(|ms| ms.div_ceil(1_000).to_string());
  let mut headers = vec![JSON];
  if let Some(after) = &after {
    headers.push(("retry-after", after));
  }
  request.respond(refusal.reason.status(), &headers, body.as_bytes());
}

/// Answers with the recorded answer of an earlier call.
pub fn replay(request: &mut Request, status: u16, body: Option<String>) {
  match body {
    Some(body) => {
      let headers = [JSON, ("idempotent-replayed", "true")];
      request.respond(status, &headers, body.as_bytes());
    }
    None => {
      let body = json!({ "done": true, "status": status, "result": "not kept" });
      json(request, 200, &body);
    }
  }
}

/// A plain service's answer.
pub struct Answer {
  pub status: u16,
  content: String,
  body: Vec<u8>,
}

impl Answer {
  /// Reads a whole answer; none when it breaks off or is too large.
  pub fn read(response: ureq::http::Response<Body>, limit: usize) -> Option<Self> {
    let status = response.status().as_u16();
    let content = response
      .headers()
      .get("content-type")
      .and_then(|value| value.to_str().ok())
      .unwrap_or("application/octet-stream")
      .to_string();
    let mut body = Vec::new();
    let mut reader = response.into_body().into_reader().take(limit as u64 + 1);
    reader.read_to_end(&mut body).ok()?;
    (body.len() <= limit).then_some(Self {
      status,
      content,
      body,
    })
  }

  /// The body, where it is text.
  pub fn text(&self) -> Option<String> {
    String::from_utf8(self.body.clone()).ok()
  }
}

/// Passes a plain service's answer on.
pub fn raw(request: &mut Request, answer: &Answer) {
  let headers = [("content-type", answer.content.as_str())];
  request.respond(answer.status, &headers, &answer.body);
}

enum Output<'a> {
  /// No byte has been sent.
  Untouched(&'a mut Request),
  /// The head of a stream has been sent.
  Stream(&'a mut Request, Writer),
  /// Kept here, for a batch.
  Gather,
  /// Ended.
  Closed,
}

/// The answer to a completion.
pub struct Reply<'a> {
  output: Output<'a>,
  id: String,
  model: String,
  chat: bool,
  streams: bool,
  text: String,
  tokens: usize,
  refusal: Option<Refusal>,
}

impl<'a> Reply<'a> {
  /// An answer to a caller.
  pub fn open(request: &'a mut Request, id: &str, model: &str, chat: bool, streams: bool) -> Self {
    Self {
      output: Output::Untouched(request),
      id: id.into(),
      model: model.into(),
      chat,
      streams,
      text: String::new(),
      tokens: 0,
      refusal: None,
    }
  }

  /// An answer that is kept.
  pub fn gather() -> Self {
    Self {
      output: Output::Gather,
      id: String::new(),
      model: String::new(),
      chat: false,
      streams: false,
      text: String::new(),
      tokens: 0,
      refusal: None,
    }
  }

  /// Takes a token; false when the caller is gone.
  pub fn token(&mut self, text: &str) -> bool {
    self.tokens += 1;
    self.text.push_str(text);
    if !self.streams {
      return true;
    }
    self.begin();
    let event = format!("data: {}\n\n", self.chunk(text));
    self.write(&event)
  }

  /// Whether the caller has gone; found without sending anything.
  pub fn gone(&self) -> bool {
    match &self.output {
      Output::Untouched(request) => request.is_disconnected(),
      Output::Stream(request, _) => request.is_disconnected(),
      Output::Gather | Output::Closed => false,
    }
  }

  fn begin(&mut self) {
    if !matches!(self.output, Output::Untouched(_)) {
      return;
    }
    let Output::Untouched(request) = std::mem::replace(&mut self.output, Output::Closed) else {
      return;
    };
    let headers = [
      ("content-type", "text/event-stream"),
      ("cache-control", "no-cache"),
    ];
    if let Ok(parts) = request.stream(&headers) {
      self.output = Output::Stream(request, parts);
    }
  }

  fn write(&mut self, event: &str) -> bool {
    let Output::Stream(request, parts) = &mut self.output else {
      return false;
    };
    let written = parts.send(event).is_ok();
    if !written {
      request.close();
    }
    written
  }

  fn chunk(&self, text: &str) -> Value {
    match self.chat {
      true => json!({ "id": self.id, "object": "chat.completion.chunk", "model": self.model,
        "choices": [{ "index": 0, "delta": { "content": text } }] }),
      false => json!({ "id": self.id, "object": "text_completion", "model": self.model,
        "choices": [{ "index": 0, "text": text }] }),
    }
  }

  /// Ends a whole answer.
  pub fn finish(&mut self) {
    if self.streams {
      self.begin();
      self.write("data: [DONE]\n\n");
      self.output = Output::Closed;
      return;
    }
    if let Output::Untouched(request) = std::mem::replace(&mut self.output, Output::Closed) {
      let choice = match self.chat {
        true => json!({ "index": 0, "finish_reason": "stop",
          "message": { "role": "assistant", "content": self.text } }),
        false => json!({ "index": 0, "finish_reason": "stop", "text": self.text }),
      };
      let object = if self.chat {
        "chat.completion"
      } else {
        "text_completion"
      };
      let body = json!({ "id": self.id, "object": object, "model": self.model,
        "choices": [choice], "usage": { "completion_tokens": self.tokens } });
      json(request, 200, &body);
    }
  }

  /// Ends with a refusal; a stream that has begun says so as an event.
  pub fn refuse(&mut self, refusal: Refusal) {
    self.refusal = Some(refusal);
    match std::mem::replace(&mut self.output, Output::Closed) {
      Output::Untouched(request) => refuse(request, refusal),
      Output::Stream(request, parts) => {
        self.output = Output::Stream(request, parts);
        self.write(&format!("data: {}\n\n", refusal_body(refusal)));
        self.output = Output::Closed;
      }
      Output::Gather | Output::Closed => {}
    }
  }

  /// What became of a batch's item.
  pub fn item(self) -> Item {
    match self.refusal {
      None => Item::Done { text: self.text },
      Some(Refusal {
        reason: reason @ Reason::UnknownModel,
        ..
      }) => Item::Refused {
        reason: reason.as_str().into(),
      },
      // A completion may run again, so no verdict ends an item.
      Some(_) => Item::Waiting,
    }
  }
}
