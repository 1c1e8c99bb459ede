//! Which server a request goes to, where some are in need.

use super::allowance;
use crate::{
  backend::{self, Backend},
  cold::give_up_at,
  crash::Permit,
  dispatch::{Effect, Request, State},
  life::Life,
  quota::{Decision, GRANT_RETRY_MS, Id},
  refusal::Reason,
  request::Ticket,
  verdict::Verdict,
};

/// The server for a request's next send.
pub(crate) enum Choice {
  Server(backend::Key),
  /// A server's unit is asked for; it is looked at again at this time, ms.
  Pending(u64),
  /// Those that could take it are in need and have no room; some after so long, ms.
  AtLimit(u64),
  /// There is none.
  Unavailable,
}

/// What a server's limit leaves for a request.
enum Room {
  Free,
  Ask(u64),
  Full(u64),
}

impl State {
  /// Chooses the server for a request's next send; one that was in so many crashes parts from
  /// others.
  pub(crate) fn choose_server(&mut self, ticket: Ticket, crashes: Option<u32>) -> Choice {
    let mut found = self.candidates(ticket);
    let mut full: Option<u64> = None;
    while let Some(key) = self.pick_backend(ticket, &found, crashes) {
      found.retain(|(other, _)| *other != key);
      let server = self.backends[key].spec.life();
      match self.acquire_server_permit(ticket, server, crashes.unwrap_or_default()) {
        Permit::Granted => {}
        Permit::Requested(until) => return Choice::Pending(until),
        // Another suspect is there.
        Permit::Taken => continue,
      }
      match self.room(ticket, key, found.is_empty()) {
        Room::Free => return Choice::Server(key),
        Room::Ask(until) => return Choice::Pending(until),
        Room::Full(after) => full = Some(full.map_or(after, |least| least.min(after))),
      }
    }
    full.map_or(Choice::Unavailable, Choice::AtLimit)
  }

  /// Takes a unit of a server in need for a request, where there is one; `last`: no other server
  /// can take it.
  fn room(&mut self, ticket: Ticket, key: backend::Key, last: bool) -> Room {
    let now = self.now;
    let server = self.backends[key].spec.life();
    let (Some(rate), Some(request)) = (self.limits.rate(server), self.requests.get_mut(&ticket))
    else {
      return Room::Free;
    };
    let id = Id::for_server(server);
    let asked = request.pending_unit.filter(|(wanted, _)| *wanted == id);
    let asked = asked.map(|(_, since)| since);
    let patience = asked.unwrap_or(now) + GRANT_RETRY_MS;
    if !last && now >= patience {
      // Another one can take it now.
      return Room::Full(GRANT_RETRY_MS);
    }
    let own = (id, &allowance(rate));
    match self.quotas.acquire(now, own, 1, asked, self.instances) {
      Decision::Granted => {
        request.limit_unit = Some(id);
        request.pending_unit = None;
        Room::Free
      }
      Decision::Pending(until) => {
        if asked.is_none() {
          request.pending_unit = Some((id, now));
          self.out.push(Effect::RequestQuota);
        }
        Room::Ask(if last { until } else { patience })
      }
      Decision::Exceeded(after) => {
        request.pending_unit = None;
        Room::Full(after)
      }
    }
  }

  /// A send has ended that surely did not reach its server: its unit is free again.
  pub(crate) fn release_limit_unit(&mut self, ticket: Ticket, reached: bool) {
    let request = self.requests.get_mut(&ticket);
    let room = request.and_then(|request| request.limit_unit.take());
    if let (Some(id), false) = (room, reached) {
      self.quotas.refund(id, 1);
    }
  }

  /// Goes on with a request whose servers have no room, as their limits say: their model may be
  /// loaded elsewhere in time; otherwise it is refused at once. One that has begun waits for room
  /// as long as its caller does: nothing else could go on with it.
  pub(crate) fn wait_or_refuse(&mut self, ticket: Ticket, after: u64) {
    let Some(request) = self.requests.get(&ticket).cloned() else {
      return;
    };
    let sound = self
      .eligible_servers(&request)
      .any(|backend| !self.has_limit(backend));
    if sound || request.verdict != Verdict::NotRun {
      return self.wait_for_server(ticket);
    }
    let after = after.max(1);
    match self.ready_elsewhere(&request) {
      Some(ready) if ready <= give_up_at(&request) => self.wait_for_server(ticket),
      Some(_) => {
        // The next one finds it loaded.
        self.add_deferral(&request.descriptor, after);
        self.out.push(Effect::ReportDemand);
        self.refuse_with_retry_after(ticket, Reason::ServerLimit, after);
      }
      None => self.refuse_with_retry_after(ticket, Reason::ServerLimit, after),
    }
  }

  /// Servers that take work and could run a request.
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
          && !request.tried.contains(key)
          && self.holds_model(backend, ask)
      })
      .map(|(_, backend)| backend)
  }

  /// Whether a server named a limit.
  pub(crate) fn has_limit(&self, backend: &Backend) -> bool {
    self.limits.rate(backend.spec.life()).is_some()
  }

  /// The answer of a send has come, and names a limit or none.
  pub(crate) fn record_announced_limit(&mut self, ticket: Ticket, rate: Option<f64>) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let Some(backend) = request.backend.and_then(|key| self.backends.get(key)) else {
      return;
    };
    let server = backend.spec.life();
    // Whether it needs help still was known to it when the request arrived, or later.
    let at = if rate.is_some() {
      self.now
    } else {
      request.sent
    };
    if self.limits.update(server, rate, at, true) {
      self.limit_changed(server, rate);
    }
  }

  /// Takes up what another instance heard at a time, ms, of a server's limit.
  pub(crate) fn receive_limit(&mut self, server: Life, rate: Option<f64>, at: u64) {
    if self.limits.update(server, rate, at, false) {
      self.limit_changed(server, rate);
    }
  }

  fn limit_changed(&mut self, server: Life, rate: Option<f64>) {
    let there: Vec<_> = self.backends.values().map(|one| one.spec.life()).collect();
    self.limits.prune(self.now, |life| there.contains(&life));
    self.updates += 1;
    let ids = self.backends.values();
    let id = ids
      .map(|backend| &backend.spec)
      .find(|spec| spec.life() == server);
    let id = id.map(|spec| spec.id.clone()).unwrap_or_default();
    self.out.push(Effect::LimitChanged { id, rate });
    self.dispatch_waiting();
  }
}
