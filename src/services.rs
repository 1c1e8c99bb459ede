//! Calls to plain services.

use crate::{
  attempt::{Attempt, End},
  call::{self, Timeouts},
  callers::{next_directive, parse_options, queue_full},
  event::Event,
  reply,
  request::{Descriptor, Work},
  shared::{Directive, Shared, notify_attempt_ended},
  verdict::Verdict,
  web::Request,
};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Serves a call to a plain service.
pub fn serve(shared: &Shared, request: &mut Request, service: &str, path: &str) {
  let options = match parse_options(shared, request, None) {
    Ok(options) => options,
    Err(text) => return reply::error(request, 400, "invalid_request", &text),
  };
  let repeatable = request.method == "GET" || is_repeatable(shared, service, path);
  let key = request
    .header("idempotency-key")
    .map(|key| xxh3_64(format!("{service}{path}\n{key}").as_bytes()))
    .filter(|_| !repeatable);
  let content_type = request
    .header("content-type")
    .unwrap_or("application/octet-stream")
    .to_string();
  let (ticket, directives) = shared.open_ticket();
  shared.notify(Event::RequestArrived(Descriptor {
    ticket,
    work: Work::Service {
      service: service.into(),
      repeatable,
      key,
    },
    class: options.class,
    deadline: options.deadline,
    caller: options.caller,
  }));
  let id = format!("{}/{}/{}", shared.settings.instance, shared.boot, ticket.0);
  loop {
    match next_directive(shared, &directives, options.deadline) {
      Some(Directive::Send(attempt)) => {
        let outgoing = build_request(request, &attempt, path, &content_type, &id);
        if let Some(answer) = call_once(shared, &attempt, outgoing) {
          reply::forward(request, &answer);
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
        reply::refuse(request, queue_full());
        break;
      }
    }
  }
  shared.close_ticket(ticket);
}

fn is_repeatable(shared: &Shared, service: &str, path: &str) -> bool {
  let (service, path) = (service.to_string(), path.to_string());
  let repeatable = shared.query(move |state| {
    let service = state.catalog.services.get(&service);
    service.is_some_and(|service| service.repeatable.contains(&path))
  });
  // If the reducer does not respond, the call is treated as one that may not be repeated.
  repeatable.unwrap_or(false)
}

fn build_request(
  request: &Request,
  attempt: &Attempt,
  path: &str,
  content_type: &str,
  id: &str,
) -> Result<ureq::http::Request<Vec<u8>>, call::Failure> {
  ureq::http::Request::builder()
    .method(request.method.as_str())
    .uri(format!("http://{}{path}", attempt.address))
    .header("content-type", content_type)
    .header("x-request", id)
    .body(request.body.clone())
    .map_err(|error| call::Failure {
      verdict: Verdict::NotRun,
      text: error.to_string(),
    })
}

/// Makes one attempt at a call; `None` if it failed and the reducer decides how to continue.
fn call_once(
  shared: &Shared,
  attempt: &Attempt,
  request: Result<ureq::http::Request<Vec<u8>>, call::Failure>,
) -> Option<reply::Answer> {
  let stall_timeout = Duration::from_millis(shared.settings.limits.token_stall_ms);
  let timeouts = Timeouts {
    connect: Duration::from_millis(shared.settings.limits.connect_ms),
    response: stall_timeout,
    read: stall_timeout,
  };
  let response = match request.and_then(|request| call::send(request, timeouts)) {
    Ok(response) => response,
    Err(failure) => {
      notify_attempt_ended(shared, attempt, End::Broken(failure.verdict), None);
      return None;
    }
  };
  match reply::Answer::read(response, shared.settings.limits.body_bytes) {
    Some(answer) => {
      let recorded = (answer.status, answer.text());
      notify_attempt_ended(shared, attempt, End::Whole, Some(recorded));
      Some(answer)
    }
    None => {
      notify_attempt_ended(shared, attempt, End::Broken(Verdict::MayHaveRun), None);
      None
    }
  }
}
