//! Streams that have begun and whose server sends nothing for a while.
//!
//! Silence does not show that the server has given the run up, and the part that the caller has got
//! is worth nothing without the rest. So the run goes on, and its request waits for another server,
//! until either of them sends the next event.

use super::{
  RECHECK_MS, State,
  choice::memory::Held,
  ending::avoid_after_failure,
  event::{Effect, End},
  queue_key,
};
use crate::{
  backend, crash::Admission, limit::Choice, refusal::Reason, request::Ticket, verdict::Verdict,
};

/// The last of a route's attempts is kept for a break until a stream has been silent for this many
/// further allowed gaps: a slow server stalls again and again.
const LAST_ATTEMPT_GAPS: u64 = 2;

/// A run whose server sends nothing for now. Times are in milliseconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Run {
  key: backend::Key,
  held: Option<Held>,
  /// When the request was sent to the server, and when its first event arrived.
  sent: u64,
  first_event_at: Option<u64>,
  /// When another server may be tried again; `None` if it must not.
  retry_at: Option<u64>,
}

impl State {
  /// Whether a request has a run whose stream has stalled.
  pub(super) fn is_stalled(&self, ticket: Ticket) -> bool {
    let request = self.requests.get(&ticket);
    request.is_some_and(|request| request.stalled.is_some())
  }

  /// Records that a request's server has sent nothing for too long, and looks for another one.
  pub(super) fn on_stalled(&mut self, ticket: Ticket) {
    self.release_limit_unit(ticket, true);
    let now = self.now;
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    let Some(key) = request.backend.take() else {
      return;
    };
    request.runs += 1;
    request.tried.push(key);
    request.failed_at = now;
    request.verdict = Verdict::MayHaveRun;
    request.stalled = Some(Run {
      key,
      held: request.held.take(),
      sent: request.sent,
      first_event_at: request.first_event_at,
      retry_at: Some(now),
    });
    if let Some(backend) = self.backends.get_mut(key) {
      avoid_after_failure(backend, now);
    }
    self.dispatch(ticket);
    self.dispatch_waiting();
  }

  /// Whether a silent run whose caller has got nothing from it may be given up: another server can take
  /// the request now. A response that has begun goes on there only if the route and the retry budget
  /// allow it; the caller of one that has not may send its request again.
  pub fn may_replace_run(&mut self, now: u64, ticket: Ticket) -> bool {
    self.now = self.now.max(now);
    let Some(request) = self.requests.get(&ticket) else {
      return true;
    };
    let (current, begun) = (request.backend, request.response_started);
    let has_attempt = request.runs + 1 < request.descriptor.route.attempts;
    let candidates = self.candidates(ticket);
    let has_other = candidates.iter().any(|(key, _)| Some(*key) != current);
    if !has_other || !begun {
      return has_other;
    }
    let may = has_attempt && self.reserve_retry(ticket);
    self.cancel_retry(ticket);
    may
  }

  /// Sends a request whose stream has stalled to another server if one can take it now.
  pub(super) fn dispatch_stalled(&mut self, ticket: Ticket) {
    let now = self.now;
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if now >= request.descriptor.deadline {
      return self.refuse(ticket, Reason::TooLate);
    }
    if now >= self.end_at {
      return self.refuse(ticket, Reason::Stopping);
    }
    let deadline = request.descriptor.deadline;
    let until = deadline.min(self.end_at).min(now + RECHECK_MS);
    let Some(retry_at) = self.retry_at(ticket) else {
      return self.await_stalled_run(ticket, until);
    };
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    let new = request.waiting_since.is_none();
    request.waiting_since.get_or_insert(now);
    let is_due = now >= retry_at && !self.candidates(ticket).is_empty();
    if is_due && self.reserve_retry(ticket) {
      match self.choose_server(ticket, None) {
        Choice::Server(key) => return self.send(ticket, key),
        Choice::Pending(_) | Choice::AtLimit(_) | Choice::Unavailable => self.cancel_retry(ticket),
      }
    }
    let Some(request) = self.requests.get(&ticket).cloned() else {
      return;
    };
    self.enqueue(ticket, until);
    if new && self.waits_for_room(&request) {
      self.record_no_room(ticket);
    }
    if new && request.descriptor.model.is_some() {
      self.out.push(Effect::ReportDemand);
    }
  }

  /// Lets a request that may not be sent to another server wait for its own, unseen by those that
  /// wait for a server.
  fn await_stalled_run(&mut self, ticket: Ticket, until: u64) {
    if let Some(request) = self.requests.get_mut(&ticket) {
      self.waiting.remove(&queue_key(request));
      request.waiting_since = None;
    }
    self.out.push(Effect::Wait(ticket, until));
  }

  /// When a request whose stream has stalled may be sent to another server; `None` if it must not. A
  /// request that may crash servers runs only once at a time.
  fn retry_at(&self, ticket: Ticket) -> Option<u64> {
    let request = self.requests.get(&ticket)?;
    let route = &request.descriptor.route;
    let retry_at = request.stalled?.retry_at?;
    let admission = self.admission(&request.descriptor);
    if admission != Admission::Allowed || request.runs >= route.attempts {
      return None;
    }
    let gap_ms = route.stream.map_or(0, |stream| stream.gap_ms);
    let reserve_ms = match request.runs + 1 == route.attempts {
      true => gap_ms * LAST_ATTEMPT_GAPS,
      false => 0,
    };
    Some(retry_at.max(request.failed_at + reserve_ms))
  }

  /// Records that a send beside a stalled run has ended without an event.
  pub(super) fn on_second_send_ended(&mut self, ticket: Ticket, end: End) {
    let now = self.now;
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if end.verdict() == Verdict::NotRun {
      request.uncounted_sends += 1;
    }
    if let Some(run) = &mut request.stalled {
      run.retry_at = (end != End::Barred).then_some(now + RECHECK_MS);
    }
    self.dispatch(ticket);
  }

  /// Records that the server of a stalled stream sends again. A send that was decided meanwhile and
  /// has not begun is cancelled.
  pub(super) fn on_continued(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    let model = request.descriptor.model.clone();
    if let Some(key) = request.backend.take() {
      self.release_limit_unit(ticket, false);
      self.release_tokens(ticket);
      self.finish_send(key, model, End::Superseded);
    }
    self.continue_run(ticket);
  }

  /// Makes the stalled run of a request its current one again.
  pub(super) fn continue_run(&mut self, ticket: Ticket) {
    self.cancel_retry(ticket);
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    self.waiting.remove(&queue_key(request));
    request.waiting_since = None;
    request.pending_unit = None;
    let Some(run) = request.stalled.take() else {
      return;
    };
    request.backend = Some(run.key);
    request.held = run.held;
    request.sent = run.sent;
    request.first_event_at = run.first_event_at;
    request.runs -= 1;
    request.tried.retain(|key| *key != run.key);
    if let Some(backend) = self.backends.get_mut(run.key) {
      backend.failures = backend.failures.saturating_sub(1);
    }
  }

  /// Ends the stalled run of a request: another server continues its stream, or nobody does.
  pub(super) fn end_stalled_run(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    let model = request.descriptor.model.clone();
    let Some(run) = request.stalled.take() else {
      return;
    };
    if let Some(held) = run.held {
      self.release_held(held);
    }
    self.count_paused_stream(ticket, run.key);
    self.finish_send(run.key, model, End::Stalled);
  }
}
