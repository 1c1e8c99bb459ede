//! Refusals of requests.

use super::{State, event::Effect};
use crate::{
  refusal::{Reason, Refusal},
  request::Ticket,
  verdict::Verdict,
};

/// Default retry-after of a refusal. A load from a server's disk takes about as long.
const RETRY_AFTER_MS: u64 = 500;

impl State {
  pub(crate) fn refuse(&mut self, ticket: Ticket, reason: Reason) {
    self.refuse_with_retry_after(ticket, reason, RETRY_AFTER_MS);
  }

  /// Refuses a request; its caller may retry after `retry_after` milliseconds.
  pub(crate) fn refuse_with_retry_after(
    &mut self,
    ticket: Ticket,
    reason: Reason,
    retry_after: u64,
  ) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let refusal = Refusal {
      reason,
      verdict: request.verdict,
      retry_after: Some(retry_after),
      shortage: None,
    };
    self.out.push(Effect::Refuse(ticket, refusal));
    self.forget(ticket);
  }

  /// Refuses a request that crashes servers. It gets no Retry-After, so that its caller is not
  /// invited to retry.
  pub(super) fn refuse_quarantined(&mut self, ticket: Ticket) {
    let refusal = Refusal {
      reason: Reason::Quarantined,
      // The same content has run under another request id.
      verdict: Verdict::MayHaveRun,
      retry_after: None,
      shortage: None,
    };
    self.out.push(Effect::Refuse(ticket, refusal));
    self.forget(ticket);
  }
}
