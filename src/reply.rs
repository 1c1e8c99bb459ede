//! Answers to callers.

use crate::{
  batch::Item,
  refusal::{Reason, Refusal},
};
use chunked_transfer::Encoder;
use serde_json::{Value, json};
use std::io::{self, Read, Write};
use tiny_http::{Header, Request, Response};
use ureq::Body;

fn header(name: &str, value: &str) -> Option<Header> {
  Header::from_bytes(name.as_bytes(), value.as_bytes()).ok()
}

/// Answers with JSON.
pub fn json(request: Request, status: u16, body: &Value) {
  send(
    request,
    status,
    body.to_string(),
    &[("content-type", "application/json")],
  );
}

fn send(request: Request, status: u16, body: String, headers: &[(&str, &str)]) {
  let mut response = Response::from_string(body).with_status_code(status);
  for (name, value) in headers {
    if let Some(header) = header(name, value) {
      response.add_header(header);
    }
  }
  // A caller that is gone needs no answer.
  let _ = request.respond(response);
}

/// Answers that the request itself is at fault.
pub fn error(request: Request, status: u16, code: &str, text: &str) {
  let body = json!({ "error": { "type": code, "message": text, "verdict": "not-run" } });
  json(request, status, &body);
}

fn refusal_body(refusal: Refusal) -> Value {
  json!({ "error": {
    "type": "refused",
    "message": format!("refused: {}", refusal.reason.word()),
    "reason": refusal.reason.word(),
    "verdict": refusal.verdict.word(),
    "retry_after_ms": refusal.retry_after,
  } })
}

/// Answers with a refusal.
pub fn refuse(request: Request, refusal: Refusal) {
  let body = refusal_body(refusal).to_string();
  let after = refusal.retry_after.map(|ms| ms.div_ceil(1_000).to_string());
  let mut headers = vec![("content-type", "application/json")];
  if let Some(after) = &after {
    headers.push(("retry-after", after));
  }
  send(request, refusal.reason.status(), body, &headers);
}

/// Answers with the recorded answer of an earlier call.
pub fn replay(request: Request, status: u16, body: Option<String>) {
  match body {
    Some(body) => {
      let headers = [
        ("content-type", "application/json"),
        ("idempotent-replayed", "true"),
      ];
      send(request, status, body, &headers);
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
pub fn raw(request: Request, answer: &Answer) {
  let mut response = Response::from_data(answer.body.clone()).with_status_code(answer.status);
  if let Some(header) = header("content-type", &answer.content) {
    response.add_header(header);
  }
  let _ = request.respond(response);
}

/// A writer that flushes after each write: the encoder's own flush stops at the
/// server's buffer.
struct Flush(Box<dyn Write + Send>);

impl Write for Flush {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    self.0.write_all(bytes)?;
    self.0.flush()?;
    Ok(bytes.len())
  }

  fn flush(&mut self) -> io::Result<()> {
    self.0.flush()
  }
}

enum Output {
  /// No byte has been sent.
  Untouched(Request),
  /// The head of a stream has been sent.
  Stream(Encoder<Flush>),
  /// Kept here, for a batch.
  Gather,
  /// Ended.
  Closed,
}

/// The answer to a completion.
pub struct Reply {
  output: Output,
  id: String,
  model: String,
  chat: bool,
  streams: bool,
  text: String,
  tokens: usize,
  refusal: Option<Refusal>,
}

impl Reply {
  /// An answer to a caller.
  pub fn open(request: Request, id: &str, model: &str, chat: bool, streams: bool) -> Self {
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

  fn begin(&mut self) {
    if !matches!(self.output, Output::Untouched(_)) {
      return;
    }
    let Output::Untouched(request) = std::mem::replace(&mut self.output, Output::Closed) else {
      return;
    };
    let mut writer = Flush(request.into_writer());
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                cache-control: no-cache\r\ntransfer-encoding: chunked\r\n\r\n";
    if writer.write_all(head.as_bytes()).is_ok() {
      self.output = Output::Stream(Encoder::new(writer));
    }
  }

  fn write(&mut self, event: &str) -> bool {
    let Output::Stream(encoder) = &mut self.output else {
      return false;
    };
    let written = encoder
      .write_all(event.as_bytes())
      .and_then(|()| encoder.flush());
    written.is_ok()
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
      Output::Stream(encoder) => {
        self.output = Output::Stream(encoder);
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
        reason: reason.word().into(),
      },
      // A completion may run again, so no verdict ends an item.
      Some(_) => Item::Waiting,
    }
  }
}
