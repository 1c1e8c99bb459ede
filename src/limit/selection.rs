//! Selects the server for a request, subject to the limits of servers.

use super::allowance;
use crate::{
  backend::{self, Backend},
  cold::give_up_at,
  concurrency::Slot,
  crash::Permit,
  dispatch::{Effect, Request, State},
  life::Life,
  quota::{Decision, GRANT_RETRY_MS, Id},
  refusal::Reason,
  request::Ticket,
  verdict::Verdict,
};

/// Server for the next attempt of a request.
pub(crate) enum Choice {
  Server(backend::Key),
  /// A unit or permit is requested; to be checked again at this time, in ms.
  Pending(u64),
  /// All candidates are at their limits; the first has a free unit after this time, in ms.
  AtLimit(u64),
  /// There is no candidate.
  Unavailable,
}

/// Result of acquiring a unit of a server's limit.
enum Outcome {
  Granted,
  /// A unit is requested; to be checked again at this time, in ms.
  Pending(u64),
  /// The next unit is free after this time, in ms.
  AtLimit(u64),
}

impl State {
  /// Chooses the server for the next attempt of a request. A suspect with this number of crashes
  /// runs isolated from other suspects.
  pub(crate) fn choose_server(&mut self, ticket: Ticket, crashes: Option<u32>) -> Choice {
    let mut candidates = self.candidates(ticket);
    let mut soonest: Option<u64> = None;
    let mut requested = self.requested_server(ticket, &candidates);
    loop {
      let picked = requested
        .take()
        .or_else(|| self.pick_backend(ticket, &candidates, crashes));
      let Some(key) = picked else {
        break;
      };
      candidates.retain(|(other, _)| *other != key);
      let Some(backend) = self.backends.get(key) else {
        continue;
      };
      let server = backend.spec.life();
      match self.acquire_server_permit(ticket, server, crashes.unwrap_or_default()) {
        Permit::Granted => {}
        Permit::Requested(until) => return Choice::Pending(until),
        // Another suspect runs on this server.
        Permit::Taken => continue,
      }
      match self.acquire_slot(ticket, key, candidates.is_empty()) {
        Slot::Granted => {}
        Slot::Pending(until) => return Choice::Pending(until),
        Slot::Full(after) => {
          soonest = Some(soonest.map_or(after, |least| least.min(after)));
          continue;
        }
      }
      match self.acquire_limit_unit(ticket, key, candidates.is_empty()) {
        Outcome::Granted => return Choice::Server(key),
        Outcome::Pending(until) => return Choice::Pending(until),
        Outcome::AtLimit(after) => soonest = Some(soonest.map_or(after, |least| least.min(after))),
      }
    }
    soonest.map_or(Choice::Unavailable, Choice::AtLimit)
  }

  /// Acquires a unit for a request if the server has a limit. `is_last` means that no other
  /// candidate is left.
  fn acquire_limit_unit(&mut self, ticket: Ticket, key: backend::Key, is_last: bool) -> Outcome {
    let now = self.now;
    let Some(backend) = self.backends.get(key) else {
      return Outcome::AtLimit(GRANT_RETRY_MS);
    };
    let server = backend.spec.life();
    let (Some(rate), Some(request)) = (self.limits.rate(server), self.requests.get_mut(&ticket))
    else {
      return Outcome::Granted;
    };
    let id = Id::for_server(server);
    let requested = request.pending_unit.filter(|(pending, _)| *pending == id);
    let requested = requested.map(|(_, since)| since);
    let grant_deadline = requested.unwrap_or(now) + GRANT_RETRY_MS;
    if !is_last && now >= grant_deadline {
      // Try the next candidate instead of waiting any longer.
      return Outcome::AtLimit(GRANT_RETRY_MS);
    }
    let limit = (id, &allowance(rate));
    match self
      .quotas
      .acquire(now, limit, 1, requested, self.instances)
    {
      Decision::Granted => {
        request.limit_unit = Some(id);
        request.pending_unit = None;
        Outcome::Granted
      }
      Decision::Pending(until) => {
        if requested.is_none() {
          request.pending_unit = Some((id, now));
          self.out.push(Effect::RequestQuota);
        }
        Outcome::Pending(if is_last { until } else { grant_deadline })
      }
      Decision::Exceeded(shortage) => {
        request.pending_unit = None;
        Outcome::AtLimit(shortage.retry_after)
      }
    }
  }

  /// Ends the use of a limit unit by an attempt; refunds the unit if the attempt certainly did not
  /// reach its server.
  pub(crate) fn release_limit_unit(&mut self, ticket: Ticket, reached: bool) {
    let request = self.requests.get_mut(&ticket);
    let unit = request.and_then(|request| request.limit_unit.take());
    if let (Some(id), false) = (unit, reached) {
      self.quotas.refund(id, 1);
    }
  }

  /// Handles a request whose candidates are all at their limits: it waits if another server has no
  /// limit or its model will be loaded elsewhere in time, and is refused immediately otherwise. A
  /// request that may already have run waits for a unit as long as its caller does, because no other
  /// server could continue it.
  pub(crate) fn wait_or_refuse(&mut self, ticket: Ticket, after: u64) {
    let Some(request) = self.requests.get(&ticket).cloned() else {
      return;
    };
    let has_unlimited = self
      .eligible_servers(&request)
      .any(|backend| !self.has_limit(backend));
    if has_unlimited || request.verdict != Verdict::NotRun {
      return self.wait_for_server(ticket);
    }
    let after = after.max(1);
    match self.ready_elsewhere(&request) {
      Some(ready) if ready <= give_up_at(&request) => self.wait_for_server(ticket),
      Some(_) => {
        // Reports the demand, so that the model is loaded for the next request.
        self.add_deferral(&request.descriptor, after);
        self.out.push(Effect::ReportDemand);
        self.refuse_with_retry_after(ticket, Reason::ServerLimit, after);
      }
      None => self.refuse_with_retry_after(ticket, Reason::ServerLimit, after),
    }
  }

  /// Servers that accept work, can run a request and have not been tried for it.
  pub(crate) fn eligible_servers<'a>(
    &'a self,
    request: &'a Request,
  ) -> impl Iterator<Item = &'a Backend> {
    let backends = self.backends.iter();
    backends
      .filter(|(key, backend)| {
        let ask = &request.descriptor;
        backend.spec.pool == ask.pool
          && !backend.is_leaving()
          && request.accepts_build(backend.spec.build)
          && !request.tried.contains(key)
          && self.holds_model(backend, ask)
      })
      .map(|(_, backend)| backend)
  }

  /// Returns whether a server has a limit.
  pub(crate) fn has_limit(&self, backend: &Backend) -> bool {
    self.limits.rate(backend.spec.life()).is_some()
  }

  /// Records the limit, or its absence, that the response to an attempt states.
  pub(crate) fn record_announced_limit(&mut self, ticket: Ticket, rate: Option<f64>) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let Some(backend) = request.backend.and_then(|key| self.backends.get(key)) else {
      return;
    };
    let server = backend.spec.life();
    // The server decided whether its limit still applies when the request arrived, or later.
    let at = if rate.is_some() {
      self.now
    } else {
      request.sent
    };
    if self.limits.update(server, rate, at, true) {
      self.limit_changed(server, rate);
    }
  }

  /// Records a server's limit that another instance received at time `at`, in ms.
  pub(crate) fn receive_limit(&mut self, server: Life, rate: Option<f64>, at: u64) {
    if self.limits.update(server, rate, at, false) {
      self.limit_changed(server, rate);
    }
  }

  fn limit_changed(&mut self, server: Life, rate: Option<f64>) {
    let lives: Vec<_> = self
      .backends
      .values()
      .map(|backend| backend.spec.life())
      .collect();
    self.limits.prune(self.now, |life| lives.contains(&life));
    self.updates += 1;
    let backends = self.backends.values();
    let id = backends
      .map(|backend| &backend.spec)
      .find(|spec| spec.life() == server);
    let id = id.map(|spec| spec.id.clone()).unwrap_or_default();
    self.out.push(Effect::LimitChanged { id, rate });
    self.dispatch_waiting();
  }
}
