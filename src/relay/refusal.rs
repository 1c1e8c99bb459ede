//! The final response to a request that is not served.

use crate::{
  http::{Headers, Response},
  refusal::{Reason, Refusal},
  reply,
  verdict::Verdict,
};

/// HTTP status of a refusal; only requests that have not run may get a status that says so.
fn status(refusal: &Refusal) -> u16 {
  match (refusal.verdict, refusal.reason) {
    (Verdict::NotRun, Reason::KeyUnknown) => 401,
    (Verdict::NotRun, Reason::QuotaExceeded) => 429,
    (Verdict::NotRun, _) => 503,
    (Verdict::MayHaveRun, Reason::TooLate) => 504,
    (Verdict::MayHaveRun, _) => 502,
  }
}

/// Encodes a refusal as the HTTP response to a request with this method.
pub fn encode_refusal(refusal: &Refusal, method: &str, keep_alive: bool) -> Vec<u8> {
  let status = status(refusal);
  let body = reply::refusal_body(*refusal).to_string();
  let mut head = Response {
    status,
    reason: "Refused".into(),
    minor: 1,
    headers: Headers::default(),
  };
  head.headers.set("Content-Type", "application/json");
  if status == 401 {
    head.headers.set("WWW-Authenticate", "Bearer");
  }
  if let (429 | 503, Some(ms)) = (status, refusal.retry_after) {
    let seconds = format!("{:.1}", ms as f64 / 1_000.0);
    head.headers.set("Retry-After", &seconds);
  }
  head.encode_complete(method, body.as_bytes(), keep_alive)
}
