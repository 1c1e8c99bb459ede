//! Sends of requests to servers, and the first events of their responses.

use super::{
  State,
  event::{Attempt, Effect},
  queue_key,
};
use crate::{backend, request::Ticket, retry::Budget};

impl State {
  pub(super) fn send(&mut self, ticket: Ticket, key: backend::Key) {
    let Some(build) = self.backends.get(key).map(|backend| backend.spec.build) else {
      return self.wait_for_server(ticket);
    };
    let expected = self.expected(ticket, key);
    let tokens = self.stated_tokens(ticket);
    self.observe_send(ticket, key);
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    request.sends += 1;
    request.backend = Some(key);
    request.sent_build = Some(build);
    let retries = std::mem::take(&mut request.retry_pending);
    request.waiting_since = None;
    request.sent = self.now;
    request.first_event_at = None;
    let waiting_key = queue_key(request);
    if let Some(tag) = request.tag.take() {
      self.fair_queue.record_dispatch(tag);
    }
    let Some(backend) = self.backends.get_mut(key) else {
      return;
    };
    backend.running += 1;
    if let Some(model) = &request.descriptor.model {
      *self.running.entry((key, model.clone())).or_default() += 1;
    }
    let limited = self.limits.rate(backend.spec.life()).is_some();
    let trial = self.backoffs.record_send(backend.spec.life(), self.now);
    let missing_since = backend.missing_since;
    let published_at = backend
      .holding
      .as_ref()
      .map(|_| backend.holding_received_at);
    let attempt = Attempt {
      ticket,
      expected_first_ms: expected.map(|(expected, _)| expected.first_ms as u32),
      expected_pause_ms: expected.map(|(expected, _)| expected.pause_ms as u32),
      expected_late: expected.map(|(_, lateness)| lateness),
      tokens,
      limited,
      trial,
      missing_ms: missing_since.map(|since| self.now.saturating_sub(since)),
      holding_ms: published_at.map(|at| self.now.saturating_sub(at)),
      backend: key,
      id: backend.spec.id.clone(),
      life: backend.spec.life(),
      build: backend.spec.build,
      address: backend.spec.address,
      number: request.sends,
    };
    let (now, pool) = (self.now, backend.spec.pool.clone());
    if retries {
      self.budget(&pool).record_sent(now);
    }
    self.waiting.remove(&waiting_key);
    self.hold_tokens(ticket, key);
    self.out.push(Effect::Send(attempt));
  }

  /// Records that the caller receives the start of a plain response.
  pub(super) fn on_plain_started(&mut self, ticket: Ticket) {
    self.record_first_event(ticket);
    self.record_answer_start(ticket);
    if let Some(request) = self.requests.get_mut(&ticket) {
      request.plain_started = true;
    }
  }

  /// Records the first event of the current send.
  pub(super) fn record_first_event(&mut self, ticket: Ticket) {
    let now = self.now;
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if request.first_event_at.is_some() {
      return;
    }
    request.first_event_at = Some(now);
    self.learn_first(ticket);
    self.prompt_was_read(ticket);
  }

  /// The retry budget of a pool.
  pub(super) fn budget(&mut self, pool: &str) -> &mut Budget {
    self.budgets.entry(pool.into()).or_default()
  }
}
