//! HTTP client that sends requests to an instance and records the responses.

use serde_json::{Value, json};
use std::{
  io::{BufRead, BufReader},
  time::{Duration, Instant},
};
use ureq::Agent;

/// A response as received by the client.
#[derive(Clone, Debug, Default)]
pub struct Answer {
  /// HTTP status, 0 if the connection failed.
  pub status: u16,
  /// How the connection failed, empty if it did not.
  pub failure: String,
  pub text: String,
  /// The stream ended with `[DONE]`, or the body was read completely.
  pub is_complete: bool,
  /// Reason and verdict from the error object, empty if there is none.
  pub reason: String,
  pub verdict: String,
  pub retry_after_ms: Option<u64>,
  pub time_to_first_token: Duration,
  pub total: Duration,
  /// The response body, null if it is not JSON.
  pub body: Value,
  /// The response body as text.
  pub raw: String,
}

impl Answer {
  /// Whether the response is complete and its text is exactly `text`.
  pub fn matches(&self, text: &str) -> bool {
    self.status == 200 && self.is_complete && self.text == text
  }

  fn set_error(&mut self, error: &Value) {
    let text = |field: &str| error[field].as_str().unwrap_or_default().to_string();
    self.reason = text("reason");
    self.verdict = text("verdict");
    self.retry_after_ms = error["retry_after_ms"].as_u64();
  }
}

fn agent(timeout: Duration) -> Agent {
  Agent::config_builder()
    .http_status_as_error(false)
    .max_redirects(0)
    .proxy(None)
    .max_idle_connections(0)
    .timeout_global(Some(timeout))
    .build()
    .new_agent()
}

/// A completion request.
#[derive(Clone, Debug)]
pub struct Request {
  pub model: String,
  pub prompt: String,
  pub tokens: u32,
  pub stream: bool,
  pub deadline: Duration,
  pub class: &'static str,
  pub caller: String,
}

impl Request {
  /// A streamed, interactive completion.
  pub fn of(model: &str, prompt: &str, tokens: u32) -> Self {
    Self {
      model: model.into(),
      prompt: prompt.into(),
      tokens,
      stream: true,
      deadline: Duration::from_secs(30),
      class: "interactive",
      caller: "tester".into(),
    }
  }

  /// Replaces the deadline.
  pub fn with_deadline(self, deadline: Duration) -> Self {
    Self { deadline, ..self }
  }

  /// Replaces the caller's name.
  pub fn with_caller(self, caller: &str) -> Self {
    Self {
      caller: caller.into(),
      ..self
    }
  }

  /// Sends the request to an instance and reads the response to its end.
  pub fn send(&self, address: &str) -> Answer {
    let start = Instant::now();
    let body = json!({ "model": self.model, "prompt": self.prompt, "max_tokens": self.tokens,
      "stream": self.stream });
    let sent = agent(self.deadline + Duration::from_secs(30))
      .post(format!("http://{address}/v1/completions"))
      .header("x-deadline-ms", self.deadline.as_millis().to_string())
      .header("x-class", self.class)
      .header("x-caller", &self.caller)
      .send(body.to_string());
    let mut answer = Answer::default();
    match sent {
      Ok(response) => {
        answer.status = response.status().as_u16();
        if answer.status == 200 && self.stream {
          read_stream(response, start, &mut answer);
        } else {
          read_body(response, &mut answer);
        }
      }
      Err(error) => answer.failure = error.to_string(),
    }
    answer.total = start.elapsed();
    answer
  }
}

fn read_stream(response: ureq::http::Response<ureq::Body>, start: Instant, answer: &mut Answer) {
  let reader = BufReader::new(response.into_body().into_reader());
  for line in reader.lines().map_while(Result::ok) {
    let Some(data) = line.strip_prefix("data: ") else {
      continue;
    };
    if data == "[DONE]" {
      answer.is_complete = true;
      return;
    }
    let event: Value = serde_json::from_str(data).unwrap_or_default();
    if event["error"].is_object() {
      answer.set_error(&event["error"]);
      return;
    }
    if answer.text.is_empty() {
      answer.time_to_first_token = start.elapsed();
    }
    answer.text += event["choices"][0]["text"].as_str().unwrap_or_default();
  }
}

fn read_body(mut response: ureq::http::Response<ureq::Body>, answer: &mut Answer) {
  let Ok(text) = response.body_mut().read_to_string() else {
    return;
  };
  answer.is_complete = true;
  answer.body = serde_json::from_str(&text).unwrap_or_default();
  answer.raw = text;
  let body = answer.body.clone();
  if body["error"].is_object() {
    answer.set_error(&body["error"]);
  }
  let choice = &body["choices"][0];
  let text = choice["text"]
    .as_str()
    .or(choice["message"]["content"].as_str());
  answer.text = text.unwrap_or_default().to_string();
}

/// Calls a plain service through an instance, with an idempotency key if one is given.
pub fn call(address: &str, path: &str, key: Option<&str>, body: &str) -> Answer {
  let start = Instant::now();
  let mut request = agent(Duration::from_secs(60)).post(format!("http://{address}{path}"));
  if let Some(key) = key {
    request = request.header("idempotency-key", key);
  }
  let mut answer = Answer::default();
  if let Ok(response) = request.send(body) {
    answer.status = response.status().as_u16();
    read_body(response, &mut answer);
  }
  answer.total = start.elapsed();
  answer
}

/// Sends a GET request to an instance.
pub fn get(address: &str, path: &str) -> Answer {
  let mut answer = Answer::default();
  let sent = agent(Duration::from_secs(10))
    .get(format!("http://{address}{path}"))
    .call();
  if let Ok(response) = sent {
    answer.status = response.status().as_u16();
    read_body(response, &mut answer);
  }
  answer
}
