//! Calls to plain services.

use crate::{
  attempt::{Attempt, End},
  call::{self, Timeouts},
  callers::{next_directive, parse_options, queue_full},
  event::Event,
  reply,
  request::{Descriptor, Work},
  shared::{Directive, Shared, ended},
  verdict::Verdict,
  web::Request,
};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Carries a plain service's call.
pub fn serve(shared: &Shared, request: &mut Request, service: &str, path: &str) {
  let terms = match parse_options(shared, request, None) {
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
  shared.notify(Event::RequestArrived(Descriptor {
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
    match next_directive(shared, &directives, terms.deadline) {
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
        reply::refuse(request, queue_full());
        break;
      }
    }
  }
  shared.close_ticket(ticket);
}

fn repeatable(shared: &Shared, service: &str, path: &str) -> bool {
  let (service, path) = (service.to_string(), path.to_string());
  let known = shared.look(move |state| {
    let service = state.catalog.services.get(&service);
    service.is_some_and(|service| service.repeatable.contains(&path))
  });
  // Without an answer the call counts as one that may not be repeated.
  known.unwrap_or(false)
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
  let waits = Timeouts {
    connect: Duration::from_millis(shared.settings.limits.connect_ms),
    response: stall,
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
