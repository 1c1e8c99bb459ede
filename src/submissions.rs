//! API by which callers submit, poll and cancel batches.

use crate::{
  batch::{Batch, Change, Item, MAX_BATCH_BYTES},
  callers::{MAX_DEADLINE_MS, next_directive, parse_options},
  completions::DEFAULT_MAX_TOKENS,
  event::Event,
  refusal::{Reason, Refusal},
  reply,
  shared::{Directive, Shared},
  update::{Outcome, Value},
  verdict::Verdict,
  web::Request,
};
use serde::Deserialize;
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of items in one batch.
const MAX_ITEMS: usize = 10_000;

#[derive(Deserialize)]
struct BatchBody {
  model: String,
  prompts: Vec<String>,
  #[serde(default)]
  max_tokens: Option<u32>,
  /// Time in ms within which every item must have an outcome.
  completion_window_ms: u64,
}

/// Submits a batch.
pub fn submit(shared: &Shared, request: &mut Request) {
  let parsed = serde_json::from_slice::<BatchBody>(&request.body)
    .map_err(|error| format!("body: {error}"))
    .and_then(check_batch)
    .and_then(|body| Ok((parse_options(shared, request, None)?, body)));
  let (terms, body) = match parsed {
    Ok(parsed) => parsed,
    Err(text) => return reply::error(request, 400, "invalid_request", &text),
  };
  let batch = Batch {
    model: body.model,
    deadline: shared.now() + body.completion_window_ms,
    caller: terms.caller,
    max_tokens: body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS),
    items: vec![Item::Waiting; body.prompts.len()],
    prompts: body.prompts,
  };
  let size = serde_json::to_vec(&batch).unwrap_or_default().len();
  if size > MAX_BATCH_BYTES {
    let text =
      format!("prompts: `{size}` bytes are more than {MAX_BATCH_BYTES}; submit several batches");
    return reply::error(request, 413, "invalid_request", &text);
  }
  let id = match request.header("idempotency-key") {
    Some(key) => format!(
      "{:016x}",
      xxh3_64(format!("{}\n{key}", terms.caller).as_bytes())
    ),
    None => format!("{:016x}", rand::random::<u64>()),
  };
  let change = Change::Submit(Box::new(batch));
  self::handle(shared, request, &id, Some(change));
}

fn check_batch(body: BatchBody) -> Result<BatchBody, String> {
  let count = body.prompts.len();
  if count == 0 || count > MAX_ITEMS {
    return Err(format!(
      "prompts: `{count}` items are not within 1..={MAX_ITEMS}"
    ));
  }
  let window = body.completion_window_ms;
  if window == 0 || window > MAX_DEADLINE_MS {
    return Err(format!(
      "completion_window_ms: `{window}` is not within 1..={MAX_DEADLINE_MS}"
    ));
  }
  Ok(body)
}

/// Submits, polls or cancels a batch.
pub fn handle(shared: &Shared, request: &mut Request, id: &str, change: Option<Change>) {
  let is_submission = matches!(change, Some(Change::Submit(_)));
  let (ticket, directives) = shared.open_ticket();
  shared.notify(Event::BatchRequested {
    ticket,
    id: id.into(),
    change,
  });
  let directive = next_directive(shared, &directives, shared.now());
  shared.close_ticket(ticket);
  match directive {
    Some(Directive::Batch(Outcome::Applied(stored))) => match stored.value {
      Value::Batch(batch) if !batch.prompts.is_empty() => {
        let status = if is_submission { 202 } else { 200 };
        reply::json(request, status, &describe(id, &batch));
      }
      _ => reply::error(
        request,
        404,
        "not_found",
        &format!("batch: `{id}` is unknown"),
      ),
    },
    Some(Directive::Batch(Outcome::Rejected(..))) if is_submission => {
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
    _ => reply::refuse(request, unavailable_refusal(is_submission)),
  }
}

/// Refusal for a missing response. A submission whose write was not confirmed may still
/// take effect.
fn unavailable_refusal(is_submission: bool) -> Refusal {
  Refusal {
    reason: Reason::PlatformUnavailable,
    verdict: match is_submission {
      true => Verdict::MayHaveRun,
      false => Verdict::NotRun,
    },
    retry_after: Some(1_000),
    shortage: None,
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
