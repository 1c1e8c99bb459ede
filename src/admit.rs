//! Admission, queueing and dispatch of requests.

use crate::{
  attempt::{Attempt, End},
  effect::Effect,
  group::{self, moving_average},
  journal::Entry,
  refusal::{Reason, Refusal},
  replica::{Id, Target},
  request::{Class, Descriptor, Ticket, Work},
  server,
  settings::Dispatch,
  state::{Request, State},
  verdict::Verdict,
};

/// Amount of the retry budget that one retry uses, in hundredths of a retry.
const RETRY_COST: u32 = 100;
/// Maximum retry budget in hundredths of a retry.
const MAX_RETRY_BUDGET: u32 = 5_000;
/// How long a server is skipped after a failure.
const AVOID_AFTER_FAILURE_MS: u64 = 1_000;
/// How long a server is skipped after it declined a request.
const AVOID_AFTER_DECLINE_MS: u64 = 50;
/// Minimum retry-after of a refused request that may be retried.
const MIN_RETRY_AFTER_MS: u64 = 500;

impl State {
  /// Admits or refuses a request that arrived.
  pub fn on_request_arrived(&mut self, descriptor: Descriptor) {
    self.retry_budget = (self.retry_budget + self.limits.retry_percent).min(MAX_RETRY_BUDGET);
    let mut request = Request {
      group: None,
      attempts: 0,
      running_on: None,
      address: None,
      verdict: Verdict::NotRun,
      arrived: self.now,
      sent: 0,
      cold: false,
      time_limit: descriptor.deadline.saturating_sub(self.now),
      descriptor,
    };
    let ticket = request.descriptor.ticket;
    let work = request.descriptor.work.clone();
    match work {
      _ if self.stopping => self.refuse_arrival(request, Reason::Stopping, MIN_RETRY_AFTER_MS),
      _ if !self.configured => {
        self.refuse_arrival(request, Reason::PlatformUnavailable, MIN_RETRY_AFTER_MS)
      }
      Work::Service { service, key, .. } => {
        if !self.catalog.services.contains_key(&service) {
          self.refuse_arrival(request, Reason::UnknownModel, 0);
          return;
        }
        self.requests.insert(ticket, request);
        match key {
          Some(key) => self.claim(ticket, key),
          None => self.call_service(ticket),
        }
      }
      Work::Model { model } => {
        let Some(spec) = self.catalog.models.get(&model) else {
          self.refuse_arrival(request, Reason::UnknownModel, 0);
          return;
        };
        let policy = self.effective_policy(spec, request.descriptor.caller);
        let group = self.group(&model, &policy);
        request.group = Some(group);
        self.admit(group, request);
      }
    }
  }

  fn refuse_arrival(&mut self, request: Request, reason: Reason, retry_after: u64) {
    let ticket = request.descriptor.ticket;
    self.requests.insert(ticket, request);
    self.refuse(ticket, reason, retry_after);
  }

  fn admit(&mut self, key: group::Key, mut request: Request) {
    let ready = self.has_ready(key);
    let estimate_ms = self.wait_estimate(key, request.descriptor.class, ready);
    let group = &mut self.groups[key];
    if group.queue.len() >= self.limits.queue {
      self.refuse_arrival(
        request,
        Reason::QueueFull,
        estimate_ms.max(MIN_RETRY_AFTER_MS),
      );
      return;
    }
    if self.now + estimate_ms > request.descriptor.deadline {
      self.refuse_arrival(
        request,
        Reason::TooLate,
        estimate_ms.max(MIN_RETRY_AFTER_MS),
      );
      return;
    }
    request.cold = !ready;
    group.unreported_arrivals += 1;
    let descriptor = &request.descriptor;
    group
      .queue
      .insert((descriptor.class, descriptor.deadline, descriptor.ticket));
    self.requests.insert(descriptor.ticket, request);
    self.mark_active(key);
    self.dispatch_queued(key);
  }

  /// Estimated time in ms until a request that arrives now is sent.
  fn wait_estimate(&self, key: group::Key, class: Class, ready: bool) -> u64 {
    let group = &self.groups[key];
    let ahead = match class {
      Class::Interactive => {
        let queued = group.queue.iter();
        queued
          .filter(|(class, ..)| *class == Class::Interactive)
          .count()
      }
      Class::Batch => group.queue.len(),
    };
    let slots: u32 = self
      .ready(key)
      .iter()
      .map(|(server, _)| self.slots(*server))
      .sum();
    let queue_ms = ahead as u64 * group.service_ms / u64::from(slots.max(1));
    if ready {
      queue_ms
    } else {
      queue_ms + group.cold_ms
    }
  }

  /// Concurrent requests of one replica on the server; 0 if the server is not configured.
  pub fn slots(&self, key: server::Key) -> u32 {
    let spec = self.spec(&self.servers[key].name);
    spec.map(|spec| spec.slots).unwrap_or_default()
  }

  /// Replicas of a group that accept requests now.
  pub fn ready(&self, key: group::Key) -> Vec<(server::Key, Id)> {
    let group = &self.groups[key];
    let policy_exists = self.catalog.policies.contains_key(&group.policy);
    self
      .placement(&group.model)
      .iter()
      .filter(|replica| replica.target == Target::Loaded)
      .filter(|replica| replica.policy == group.policy || !policy_exists)
      .filter(|replica| self.is_usable(&replica.server))
      .filter_map(|replica| Some((*self.server_keys.get(&replica.server)?, replica.id)))
      .filter(|(server, id)| self.servers[*server].ready(*id))
      .collect()
  }

  /// Whether any replica of a group accepts requests now.
  pub fn has_ready(&self, key: group::Key) -> bool {
    !self.ready(key).is_empty()
  }

  /// Sends queued requests of a group while its replicas have free slots.
  pub fn dispatch_queued(&mut self, key: group::Key) {
    while let Some(&(class, deadline, ticket)) = self.groups[key].queue.first() {
      let Some((server, replica)) = self.replica_with_free_slot(key) else {
        return;
      };
      self.groups[key].queue.remove(&(class, deadline, ticket));
      self.send(ticket, key, server, replica);
    }
  }

  fn replica_with_free_slot(&self, key: group::Key) -> Option<(server::Key, Id)> {
    let group = &self.groups[key];
    self
      .ready(key)
      .into_iter()
      .filter(|(server, _)| self.servers[*server].avoid_until <= self.now)
      .map(|(server, id)| (self.free_slots(group, server, id), server, id))
      .filter(|(free, ..)| *free > 0)
      .max_by_key(|(free, _, id)| (*free, *id))
      .map(|(_, server, id)| (server, id))
  }

  /// Number of further requests that this instance may send to the replica; zero or negative
  /// if there are none.
  fn free_slots(&self, group: &group::Group, key: server::Key, id: Id) -> i64 {
    let server = &self.servers[key];
    let slots = i64::from(self.slots(key));
    let share = match self.limits.dispatch {
      Dispatch::Share => group.share(id, self.now),
      Dispatch::Push => None,
    };
    match share {
      Some(share) => i64::from(share) - i64::from(server.own_load(id)),
      None => slots - i64::from(server.load(id)),
    }
  }

  fn send(&mut self, ticket: Ticket, key: group::Key, server: server::Key, replica: Id) {
    let now = self.now;
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    request.attempts += 1;
    request.sent = now;
    request.running_on = Some((server, replica));
    let waited_ms = now - request.arrived;
    let first = request.attempts == 1;
    let cold = request.cold;
    let number = request.attempts;
    *self.servers[server]
      .own_requests
      .entry(replica)
      .or_default() += 1;
    let group = &mut self.groups[key];
    group.running += 1;
    let (model, policy) = (group.model.clone(), group.policy.clone());
    if first && cold {
      group.cold_ms = moving_average(group.cold_ms, waited_ms);
      self.log(Entry::Cold {
        model,
        policy,
        waited_ms,
      });
    } else if first {
      self.log(Entry::Warm { policy, waited_ms });
    }
    let address = self.spec(&self.servers[server].name.clone());
    let address = address.map(|spec| spec.address.clone()).unwrap_or_default();
    self.emit(Effect::Send(Attempt {
      ticket,
      number,
      address,
      replica: Some(replica),
    }));
  }

  /// Sends a plain service's call to one of its backend servers.
  pub fn call_service(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let Work::Service { service, .. } = &request.descriptor.work else {
      return;
    };
    let Some(spec) = self.catalog.services.get(service) else {
      self.refuse(ticket, Reason::UnknownModel, 0);
      return;
    };
    let mut addresses = spec.addresses.clone();
    let previous = request.address.clone();
    if addresses.len() > 1 {
      addresses.retain(|address| Some(address) != previous.as_ref());
    }
    if addresses.is_empty() {
      self.fail_request(ticket, Reason::NoServer);
      return;
    }
    let index = self.random(addresses.len() as u64) as usize;
    let address = addresses.swap_remove(index);
    let now = self.now;
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    request.attempts += 1;
    request.sent = now;
    request.address = Some(address.clone());
    let number = request.attempts;
    self.emit(Effect::Send(Attempt {
      ticket,
      number,
      address,
      replica: None,
    }));
  }

  /// Handles the end of an attempt.
  pub fn on_attempt_ended(
    &mut self,
    ticket: Ticket,
    number: u32,
    end: End,
    answer: Option<(u16, Option<String>)>,
  ) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if request.attempts != number {
      return;
    }
    let target = request.running_on.take();
    let held_ms = self.now.saturating_sub(request.sent);
    let group = request.group;
    if let (Some((server, replica)), Some(key)) = (target, group) {
      self.release_slot(key, server, replica, end, held_ms);
    }
    match end {
      End::Whole | End::CallerGone => self.finish(ticket, end, answer),
      End::Declined => self.retry(ticket, Verdict::NotRun),
      End::Broken(verdict) => self.retry(ticket, verdict),
      End::CutOff => {
        self.renew_deadline(ticket);
        self.retry(ticket, Verdict::MayHaveRun);
      }
    }
    if let Some(key) = group {
      self.dispatch_queued(key);
    }
  }

  fn release_slot(
    &mut self,
    key: group::Key,
    server_key: server::Key,
    id: Id,
    end: End,
    held_ms: u64,
  ) {
    let now = self.now;
    let group = &mut self.groups[key];
    group.running = group.running.saturating_sub(1);
    let server = &mut self.servers[server_key];
    if let Some(running) = server.own_requests.get_mut(&id) {
      *running = running.saturating_sub(1);
      if *running == 0 {
        server.own_requests.remove(&id);
      }
    }
    match end {
      End::Whole => group.service_ms = moving_average(group.service_ms, held_ms.max(1)),
      End::Broken(_) | End::CutOff => server.avoid_until = now + AVOID_AFTER_FAILURE_MS,
      // Requests of other instances fill the replica, or it is being unloaded.
      End::Declined => server.avoid_until = server.avoid_until.max(now + AVOID_AFTER_DECLINE_MS),
      End::CallerGone => {}
    }
  }

  fn finish(&mut self, ticket: Ticket, end: End, answer: Option<(u16, Option<String>)>) {
    if let Some(request) = self.requests.remove(&ticket)
      && let Work::Service { key: Some(key), .. } = request.descriptor.work
    {
      self.record_claim_outcome(ticket, key, end, answer);
    }
  }

  /// Gives a request whose response has begun as much time for the next token as it had for the
  /// first one.
  fn renew_deadline(&mut self, ticket: Ticket) {
    if let Some(request) = self.requests.get_mut(&ticket) {
      let renewed = self.now + request.time_limit;
      request.descriptor.deadline = request.descriptor.deadline.max(renewed);
    }
  }

  fn retry(&mut self, ticket: Ticket, verdict: Verdict) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    request.verdict = request.verdict.and(verdict);
    let at_most_once = matches!(
      request.descriptor.work,
      Work::Service {
        repeatable: false,
        ..
      }
    );
    let retries_exhausted =
      request.attempts >= self.limits.attempts || self.retry_budget < RETRY_COST;
    // A declined attempt costs the server nothing, and the deadline bounds the wait.
    let exempt = verdict == Verdict::NotRun && request.group.is_some();
    let expired = self.now >= request.descriptor.deadline && request.verdict == Verdict::NotRun;
    if expired || (at_most_once && verdict == Verdict::MayHaveRun) || (retries_exhausted && !exempt)
    {
      self.fail_request(ticket, Reason::ServerFailed);
      return;
    }
    self.retry_budget = self.retry_budget.saturating_sub(RETRY_COST);
    self.log(Entry::Retried { verdict });
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    match request.group {
      None => self.call_service(ticket),
      Some(key) => {
        let entry = (
          request.descriptor.class,
          request.descriptor.deadline,
          ticket,
        );
        self.groups[key].queue.insert(entry);
        self.mark_active(key);
      }
    }
  }

  fn fail_request(&mut self, ticket: Ticket, reason: Reason) {
    if let Some(request) = self.requests.get(&ticket)
      && let Work::Service { key: Some(key), .. } = request.descriptor.work
    {
      let end = End::Broken(request.verdict);
      self.record_claim_outcome(ticket, key, end, None);
    }
    self.refuse(ticket, reason, MIN_RETRY_AFTER_MS);
  }

  /// Refuses a request; a `retry_after` of 0 ms tells the caller not to retry.
  pub fn refuse(&mut self, ticket: Ticket, reason: Reason, retry_after: u64) {
    let Some(request) = self.requests.remove(&ticket) else {
      return;
    };
    let policy = match request.group {
      Some(key) => {
        let entry = (
          request.descriptor.class,
          request.descriptor.deadline,
          ticket,
        );
        self.groups[key].queue.remove(&entry);
        self.groups[key].policy.clone()
      }
      None => String::new(),
    };
    let refusal = Refusal {
      reason,
      verdict: request.verdict,
      retry_after: (retry_after > 0).then_some(retry_after),
      shortage: None,
    };
    self.log(Entry::Refused {
      policy,
      reason,
      verdict: refusal.verdict,
    });
    self.emit(Effect::Refuse { ticket, refusal });
  }

  /// Refuses queued requests whose deadline has passed.
  pub fn expire(&mut self, key: group::Key) {
    let now = self.now;
    let expired: Vec<Ticket> = self.groups[key]
      .queue
      .iter()
      .filter(|(_, deadline, _)| *deadline <= now)
      .map(|(.., ticket)| *ticket)
      .collect();
    for ticket in expired {
      let retry_after = self.groups[key].cold_ms.max(MIN_RETRY_AFTER_MS);
      self.refuse(ticket, Reason::TooLate, retry_after);
    }
  }

  /// Refuses a queued request whose caller disconnected. The end of a running attempt
  /// arrives as an event of its own.
  pub fn on_caller_left(&mut self, ticket: Ticket) {
    let request = self.requests.get(&ticket);
    let is_waiting =
      request.is_some_and(|request| request.group.is_some() && request.running_on.is_none());
    if is_waiting {
      self.refuse(ticket, Reason::CallerGone, 0);
    }
  }
}
