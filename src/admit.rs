//! Admission, waiting and dispatch of requests.

use crate::{
  ask::{Ask, Class, Ticket, Work},
  attempt::{Attempt, End},
  effect::Effect,
  group::{self, blend},
  journal::Entry,
  refusal::{Reason, Refusal},
  replica::{Id, Target},
  server,
  settings::Dispatch,
  state::{Request, State},
  verdict::Verdict,
};

/// Cost of a retry and most of the budget, in hundredths of a retry.
const RETRY_COST: u32 = 100;
const RETRY_MOST: u32 = 5_000;
/// Time for which a server that failed is passed over, ms.
const AVOID_MS: u64 = 1_000;
/// Time for which a server that declined is passed over, ms.
const DECLINED_MS: u64 = 50;
/// Least time after which a refused caller may come back, ms.
const RETRY_AFTER_MS: u64 = 500;

impl State {
  /// Admits a request or refuses it at once.
  pub fn on_asked(&mut self, ask: Ask) {
    self.retry_budget = (self.retry_budget + self.limits.retry_percent).min(RETRY_MOST);
    let mut request = Request {
      group: None,
      attempts: 0,
      running_on: None,
      address: None,
      verdict: Verdict::NotRun,
      arrived: self.now,
      sent: 0,
      cold: false,
      descriptor: ask,
    };
    let ticket = request.descriptor.ticket;
    let work = request.descriptor.work.clone();
    match work {
      _ if self.stopping => self.turn_away(request, Reason::Stopping, RETRY_AFTER_MS),
      _ if !self.configured => self.turn_away(request, Reason::PlatformUnavailable, RETRY_AFTER_MS),
      Work::Service { service, key, .. } => {
        if !self.catalog.services.contains_key(&service) {
          self.turn_away(request, Reason::UnknownModel, 0);
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
          self.turn_away(request, Reason::UnknownModel, 0);
          return;
        };
        let policy = self.effective_policy(spec, request.descriptor.caller);
        let group = self.group(&model, &policy);
        request.group = Some(group);
        self.admit(group, request);
      }
    }
  }

  fn turn_away(&mut self, request: Request, reason: Reason, retry_after: u64) {
    let ticket = request.descriptor.ticket;
    self.requests.insert(ticket, request);
    self.refuse(ticket, reason, retry_after);
  }

  fn admit(&mut self, key: group::Key, mut request: Request) {
    let ready = self.has_ready(key);
    let estimate = self.wait_estimate(key, request.descriptor.class, ready);
    let group = &mut self.groups[key];
    if group.queue.len() >= self.limits.queue {
      self.turn_away(request, Reason::QueueFull, estimate.max(RETRY_AFTER_MS));
      return;
    }
    if self.now + estimate > request.descriptor.deadline {
      self.turn_away(request, Reason::TooLate, estimate.max(RETRY_AFTER_MS));
      return;
    }
    request.cold = !ready;
    group.unreported_arrivals += 1;
    let ask = &request.descriptor;
    group.queue.insert((ask.class, ask.deadline, ask.ticket));
    self.requests.insert(ask.ticket, request);
    self.mark_active(key);
    self.dispatch_queued(key);
  }

  /// Time until a request arriving now would be sent, ms.
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
    let queue = ahead as u64 * group.service_ms / u64::from(slots.max(1));
    if ready { queue } else { queue + group.cold_ms }
  }

  /// Requests that one replica on the server runs at once.
  pub fn slots(&self, key: server::Key) -> u32 {
    let spec = self.spec(&self.servers[key].name);
    spec.map(|spec| spec.slots).unwrap_or_default()
  }

  /// Replicas of a group that take requests now.
  pub fn ready(&self, key: group::Key) -> Vec<(server::Key, Id)> {
    let group = &self.groups[key];
    let ruled = self.catalog.policies.contains_key(&group.policy);
    self
      .placement(&group.model)
      .iter()
      .filter(|replica| replica.target == Target::Loaded)
      .filter(|replica| replica.policy == group.policy || !ruled)
      .filter(|replica| self.is_usable(&replica.server))
      .filter_map(|replica| Some((*self.server_keys.get(&replica.server)?, replica.id)))
      .filter(|(server, id)| self.servers[*server].ready(*id))
      .collect()
  }

  /// Whether some replica of a group takes requests now.
  pub fn has_ready(&self, key: group::Key) -> bool {
    !self.ready(key).is_empty()
  }

  /// Sends what waits in a group as far as replicas have free slots.
  pub fn dispatch_queued(&mut self, key: group::Key) {
    while let Some(&(class, deadline, ticket)) = self.groups[key].queue.first() {
      let Some((server, replica)) = self.free_replica(key) else {
        return;
      };
      self.groups[key].queue.remove(&(class, deadline, ticket));
      self.send(ticket, key, server, replica);
    }
  }

  fn free_replica(&self, key: group::Key) -> Option<(server::Key, Id)> {
    let group = &self.groups[key];
    self
      .ready(key)
      .into_iter()
      .filter(|(server, _)| self.servers[*server].avoid_until <= self.now)
      .map(|(server, id)| (self.room(group, server, id), server, id))
      .filter(|(room, ..)| *room > 0)
      .max_by_key(|(room, _, id)| (*room, *id))
      .map(|(_, server, id)| (server, id))
  }

  /// Requests of this instance that the replica can take further.
  fn room(&self, group: &group::Group, key: server::Key, id: Id) -> i64 {
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
      group.cold_ms = blend(group.cold_ms, waited_ms);
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

  /// Sends a plain service's call to one of its runners.
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
    let last = request.address.clone();
    if addresses.len() > 1 {
      addresses.retain(|address| Some(address) != last.as_ref());
    }
    if addresses.is_empty() {
      self.give_up(ticket, Reason::NoServer);
      return;
    }
    let pick = self.random(addresses.len() as u64) as usize;
    let address = addresses.swap_remove(pick);
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

  /// Takes up the end of an attempt.
  pub fn on_ended(
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
    let at = request.running_on.take();
    let held = self.now.saturating_sub(request.sent);
    let group = request.group;
    if let (Some((server, replica)), Some(key)) = (at, group) {
      self.free_slot(key, server, replica, end, held);
    }
    match end {
      End::Whole | End::CallerGone => self.finish(ticket, end, answer),
      End::Declined => self.retry(ticket, Verdict::NotRun),
      End::Broken(verdict) => self.retry(ticket, verdict),
    }
    if let Some(key) = group {
      self.dispatch_queued(key);
    }
  }

  fn free_slot(&mut self, key: group::Key, at: server::Key, id: Id, end: End, held: u64) {
    let now = self.now;
    let group = &mut self.groups[key];
    group.running = group.running.saturating_sub(1);
    let server = &mut self.servers[at];
    if let Some(mine) = server.own_requests.get_mut(&id) {
      *mine = mine.saturating_sub(1);
      if *mine == 0 {
        server.own_requests.remove(&id);
      }
    }
    match end {
      End::Whole => group.service_ms = blend(group.service_ms, held.max(1)),
      End::Broken(_) => server.avoid_until = now + AVOID_MS,
      // Others fill the replica, or it is being unloaded.
      End::Declined => server.avoid_until = server.avoid_until.max(now + DECLINED_MS),
      End::CallerGone => {}
    }
  }

  fn finish(&mut self, ticket: Ticket, end: End, answer: Option<(u16, Option<String>)>) {
    if let Some(request) = self.requests.remove(&ticket)
      && let Work::Service { key: Some(key), .. } = request.descriptor.work
    {
      self.settle_claim(ticket, key, end, answer);
    }
  }

  fn retry(&mut self, ticket: Ticket, verdict: Verdict) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    request.verdict = request.verdict.and(verdict);
    let once = matches!(
      request.descriptor.work,
      Work::Service {
        repeatable: false,
        ..
      }
    );
    let spent = request.attempts >= self.limits.attempts || self.retry_budget < RETRY_COST;
    // A declined attempt cost the server nothing, and waiting is bounded.
    let free = verdict == Verdict::NotRun && request.group.is_some();
    let late = self.now >= request.descriptor.deadline && request.verdict == Verdict::NotRun;
    if late || (once && verdict == Verdict::MayHaveRun) || (spent && !free) {
      self.give_up(ticket, Reason::ServerFailed);
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

  fn give_up(&mut self, ticket: Ticket, reason: Reason) {
    if let Some(request) = self.requests.get(&ticket)
      && let Work::Service { key: Some(key), .. } = request.descriptor.work
    {
      let end = End::Broken(request.verdict);
      self.settle_claim(ticket, key, end, None);
    }
    self.refuse(ticket, reason, RETRY_AFTER_MS);
  }

  /// Ends a request with a refusal; `retry_after` 0: do not repeat.
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
    };
    self.log(Entry::Refused {
      policy,
      reason,
      verdict: refusal.verdict,
    });
    self.emit(Effect::Refuse { ticket, refusal });
  }

  /// Refuses what has waited past its deadline.
  pub fn expire(&mut self, key: group::Key) {
    let now = self.now;
    let late: Vec<Ticket> = self.groups[key]
      .queue
      .iter()
      .filter(|(_, deadline, _)| *deadline <= now)
      .map(|(.., ticket)| *ticket)
      .collect();
    for ticket in late {
      let wait = self.groups[key].cold_ms.max(RETRY_AFTER_MS);
      self.refuse(ticket, Reason::TooLate, wait);
    }
  }

  /// The caller of a waiting request is gone; a running one ends by itself.
  pub fn on_caller_left(&mut self, ticket: Ticket) {
    let request = self.requests.get(&ticket);
    let waits =
      request.is_some_and(|request| request.group.is_some() && request.running_on.is_none());
    if waits {
      self.refuse(ticket, Reason::CallerGone, 0);
    }
  }
}
