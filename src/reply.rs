//! Responses to callers.

use crate::{
  batch::Item,
  refusal::{Reason, Refusal},
  web::{Request, Writer},
};
use serde_json::{Value, json};
use std::io::Read;
use ureq::Body;

const JSON: (&str, &str) = ("content-type", "application/json");

/// Responds with JSON.
pub fn json(request: &mut Request, status: u16, body: &Value) {
  request.respond(status, &[JSON], body.to_string().as_bytes());
}

/// Responds that the request is invalid; `code` is the type of the error.
pub fn error(request: &mut Request, status: u16, code: &str, text: &str) {
  let body = json!({ "error": { "type": code, "message": text, "verdict": "not-run" } });
  json(request, status, &body);
}

/// Returns the body of a refusal.
pub fn refusal_body(refusal: Refusal) -> Value {
  json!({ "error": {
    "type": "refused",
    "message": format!("refused: {}", refusal.reason.as_str()),
    "reason": refusal.reason.as_str(),
    "verdict": refusal.verdict.as_str(),
    "retry_after_ms": refusal.retry_after,
  } })
}

/// Responds with a refusal.
pub fn refuse(request: &mut Request, refusal: Refusal) {
  let body = refusal_body(refusal).to_string();
  let retry_after = refusal.retry_after.map(|ms| ms.div_ceil(1_000).to_string());
  let mut headers = vec![JSON];
  if let Some(retry_after) = &retry_after {
    headers.push(("retry-after", retry_after));
  }
  request.respond(refusal.reason.status(), &headers, body.as_bytes());
}

/// Responds with the recorded response of an earlier call. `body` is `None` if it was not kept.
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

/// A complete response of a plain service.
pub struct Answer {
  pub status: u16,
  content_type: String,
  body: Vec<u8>,
}

impl Answer {
  /// Reads a complete response; `None` if it is cut off or larger than `limit` bytes.
  pub fn read(response: ureq::http::Response<Body>, limit: usize) -> Option<Self> {
    let status = response.status().as_u16();
    let content_type = response
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
      content_type,
      body,
    })
  }

  /// Returns the body; `None` if it is not UTF-8.
  pub fn text(&self) -> Option<String> {
    String::from_utf8(self.body.clone()).ok()
  }
}

/// Forwards a plain service's response.
pub fn forward(request: &mut Request, answer: &Answer) {
  let headers = [("content-type", answer.content_type.as_str())];
  request.respond(answer.status, &headers, &answer.body);
}

enum Output<'a> {
  /// Nothing has been sent.
  Unsent(&'a mut Request),
  /// The head of a stream has been sent.
  Stream(&'a mut Request, Writer),
  /// The text is kept for an item of a batch.
  Buffered,
  /// The response has ended.
  Closed,
}

/// The response to a completion.
pub struct Reply<'a> {
  output: Output<'a>,
  id: String,
  model: String,
  chat: bool,
  stream: bool,
  text: String,
  tokens: usize,
  refusal: Option<Refusal>,
}

impl<'a> Reply<'a> {
  /// Creates a response to a caller.
  pub fn open(request: &'a mut Request, id: &str, model: &str, chat: bool, stream: bool) -> Self {
    Self {
      output: Output::Unsent(request),
      id: id.into(),
      model: model.into(),
      chat,
      stream,
      text: String::new(),
      tokens: 0,
      refusal: None,
    }
  }

  /// Creates a response that is kept for an item of a batch.
  pub fn buffered() -> Self {
    Self {
      output: Output::Buffered,
      id: String::new(),
      model: String::new(),
      chat: false,
      stream: false,
      text: String::new(),
      tokens: 0,
      refusal: None,
    }
  }

  /// Adds a token; returns false if the caller has disconnected.
  pub fn push_token(&mut self, text: &str) -> bool {
    self.tokens += 1;
    self.text.push_str(text);
    if !self.stream {
      return true;
    }
    self.start_stream();
    let event = format!("data: {}\n\n", self.chunk(text));
    self.write_event(&event)
  }

  /// Returns whether the caller has disconnected, without sending anything.
  pub fn is_disconnected(&self) -> bool {
    match &self.output {
      Output::Unsent(request) => request.is_disconnected(),
      Output::Stream(request, _) => request.is_disconnected(),
      Output::Buffered | Output::Closed => false,
    }
  }

  fn start_stream(&mut self) {
    if !matches!(self.output, Output::Unsent(_)) {
      return;
    }
    let Output::Unsent(request) = std::mem::replace(&mut self.output, Output::Closed) else {
      return;
    };
    let headers = [
      ("content-type", "text/event-stream"),
      ("cache-control", "no-cache"),
    ];
    if let Ok(writer) = request.stream(&headers) {
      self.output = Output::Stream(request, writer);
    }
  }

  fn write_event(&mut self, event: &str) -> bool {
    let Output::Stream(request, writer) = &mut self.output else {
      return false;
    };
    let written = writer.send(event).is_ok();
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

  /// Ends a complete response.
  pub fn finish(&mut self) {
    if self.stream {
      self.start_stream();
      self.write_event("data: [DONE]\n\n");
      self.output = Output::Closed;
      return;
    }
    if let Output::Unsent(request) = std::mem::replace(&mut self.output, Output::Closed) {
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

  /// Ends the response with a refusal; a started stream sends it as an event.
  pub fn refuse(&mut self, refusal: Refusal) {
    self.refusal = Some(refusal);
    match std::mem::replace(&mut self.output, Output::Closed) {
      Output::Unsent(request) => refuse(request, refusal),
      Output::Stream(request, writer) => {
        self.output = Output::Stream(request, writer);
        self.write_event(&format!("data: {}\n\n", refusal_body(refusal)));
        self.output = Output::Closed;
      }
      Output::Buffered | Output::Closed => {}
    }
  }

  /// Returns the result of an item of a batch.
  pub fn into_item(self) -> Item {
    match self.refusal {
      None => Item::Done { text: self.text },
      Some(Refusal {
        reason: reason @ Reason::UnknownModel,
        ..
      }) => Item::Refused {
        reason: reason.as_str().into(),
      },
      // A completion may run again, so the item stays waiting regardless of the verdict.
      Some(_) => Item::Waiting,
    }
  }
}
