//! Requests that wait for their turn or for a server.

use super::{RECHECK_MS, Request, State, event::Effect};
use crate::{
  backend::{self, Backend},
  cold::give_up_at,
  refusal::Reason,
  request::Ticket,
  verdict::Verdict,
};

/// An instance that has lost the store and has received no planner update for this long cannot
/// get models loaded. A planner publishes every half second, even while it may not issue orders.
const ISOLATED_MS: u64 = 1_800;

impl State {
  /// Adds a request to the waiting requests and schedules its next check for `until`.
  pub(crate) fn enqueue(&mut self, ticket: Ticket, until: u64) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if let (None, Some(caller)) = (request.tag, request.descriptor.caller) {
      request.tag = Some(self.fair_queue.tag(caller.customer, caller.cost));
    }
    self.waiting.insert(queue_key(request));
    self.out.push(Effect::Wait(ticket, until));
  }

  /// The waiting requests, in the order of their turns.
  pub(crate) fn waiting_requests(&self) -> impl Iterator<Item = &Request> {
    let tickets = self.waiting.iter().map(|(.., ticket)| ticket);
    tickets.filter_map(|ticket| self.requests.get(ticket))
  }

  pub(crate) fn dispatch_waiting(&mut self) {
    let tickets: Vec<Ticket> = self.waiting.iter().map(|entry| entry.2).collect();
    for ticket in tickets {
      self.dispatch(ticket);
    }
  }

  /// Lets a request that may have caused crashes wait until it may run.
  pub(super) fn wait_for_turn(&mut self, ticket: Ticket, turn_at: u64) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let give_up = give_up_at(request);
    if self.now >= give_up {
      return self.refuse(ticket, Reason::NoServer);
    }
    let deadline = request.descriptor.deadline.min(self.end_at);
    let until = deadline.min(give_up).min(turn_at);
    self.enqueue(ticket, until);
  }

  pub(crate) fn wait_for_server(&mut self, ticket: Ticket) {
    self.count_arrival(ticket);
    let now = self.now;
    let isolated = self.is_isolated();
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if isolated && request.descriptor.model.is_some() && request.verdict == Verdict::NotRun {
      // No planner receives the demand of this instance; another instance may serve the request.
      return self.refuse(ticket, Reason::NoServer);
    }
    let new = request.waiting_since.is_none();
    request.waiting_since.get_or_insert(now);
    let request = request.clone();
    if self.refuse_hopeless(&request, new) {
      return;
    }
    let deadline = request.descriptor.deadline.min(give_up_at(&request));
    self.enqueue(ticket, deadline.min(now + RECHECK_MS));
    if new && self.waits_for_room(&request) {
      self.record_no_room(ticket);
    }
    if new && request.descriptor.model.is_some() {
      self.out.push(Effect::ReportDemand);
    }
  }

  /// Whether this instance can get no models loaded.
  fn is_isolated(&self) -> bool {
    let planner_silent = self.planner_seen_at > 0 && self.now > self.planner_seen_at + ISOLATED_MS;
    planner_silent && self.expiry.is_store_lost()
  }

  /// Refuses a request for which waiting would be pointless, and returns whether it did. `new` means
  /// that the request has not waited before.
  fn refuse_hopeless(&mut self, request: &Request, new: bool) -> bool {
    let ticket = request.descriptor.ticket;
    if self.failed_everywhere(request) {
      self.refuse(ticket, Reason::ServerFailed);
    } else if self.build_is_gone(request) {
      self.refuse(ticket, Reason::BuildGone);
    } else if let Some(retry_after) = self.retry_after_backoff_ms(request) {
      self.defer(request, Reason::ServerRest, retry_after);
    } else if let Some(retry_after) = self.retry_after_ms(request) {
      self.defer(request, Reason::Loading, retry_after);
    } else if self.now >= give_up_at(request) {
      self.refuse(ticket, Reason::NoServer);
    } else if let Some(retry_after) = self.retry_after_room_ms(request) {
      // A deferral would count as a waiting request, and have others refused.
      if new {
        self.record_no_room(ticket);
      }
      self.refuse_with_retry_after(ticket, Reason::NoServer, retry_after);
    } else {
      return false;
    }
    true
  }

  /// Refuses a request that is expected back after this time, in ms, and counts as demand until then.
  fn defer(&mut self, request: &Request, reason: Reason, retry_after: u64) {
    self.add_deferral(&request.descriptor, retry_after);
    self.out.push(Effect::ReportDemand);
    self.refuse_with_retry_after(request.descriptor.ticket, reason, retry_after);
  }

  /// Whether a request has already run at each server that could take it, so that waiting would be
  /// pointless.
  pub(super) fn failed_everywhere(&self, request: &Request) -> bool {
    let pool = &request.descriptor.pool;
    let untried = |(key, backend): (backend::Key, &Backend)| {
      backend.spec.pool == *pool
        && !backend.is_leaving()
        && request.accepts_build(backend.spec.build)
        && !request.tried.contains(&key)
    };
    !request.tried.is_empty() && !self.backends.iter().any(untried)
  }
}

/// Sort key of waiting requests: the priority, then the customer's fair queuing tag or, without a
/// customer, the deadline.
pub(crate) fn queue_key(request: &Request) -> (u8, u64, Ticket) {
  let descriptor = &request.descriptor;
  (
    descriptor.priority(),
    request.tag.unwrap_or(descriptor.deadline),
    descriptor.ticket,
  )
}
