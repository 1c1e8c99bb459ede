//! Handles the end of a send: updates the server's state, then retries, finishes or refuses the
//! request.

use super::{
  RECHECK_MS, State,
  event::{Attempt, Effect, End},
};
use crate::{
  backend::{self, Backend, missing_name},
  cold::give_up_at,
  content,
  crash::{Crash, part},
  demand::Model,
  dispatch::Request,
  life::Life,
  refusal::Reason,
  request::Ticket,
  verdict::Verdict,
};
use std::net::SocketAddr;

/// How long a server gets no requests after its first failure; doubled for each further failure.
const FAILURE_PAUSE_MS: u64 = 500;
/// Upper bound of the pause after failures.
const MAX_FAILURE_PAUSE_MS: u64 = 4_000;
/// How long a server gets no requests after it declined one because it was full.
const FULL_PAUSE_MS: u64 = 60;

impl State {
  pub(super) fn on_ended(&mut self, ticket: Ticket, end: End) {
    if end == End::Stalled {
      return self.on_stalled(ticket);
    }
    if matches!(end, End::Left | End::Late) {
      self.observe_departure(ticket);
    }
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    let Some(key) = request.backend.take() else {
      return;
    };
    if end.verdict() == Verdict::MayHaveRun {
      request.runs += 1;
      request.failed_at = self.now;
      request.tried.push(key);
    }
    request.verdict = request.verdict.and(end.verdict());
    self.release_limit_unit(ticket, end.may_have_reached_server());
    self.release_permits(ticket, Some(end));
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let model = request.descriptor.model.clone();
    if end == End::Full {
      self.record_rejection(key);
      self.record_declined(ticket, key);
    }
    if end == End::Crashed {
      self.record_crash(ticket, key);
    }
    if end == End::Whole {
      self.record_served(ticket);
      self.learn_whole(ticket, key);
    }
    self.release_tokens(ticket);
    self.finish_send(key, model, end);
    let stalled = self.is_stalled(ticket);
    match end {
      End::Whole | End::Failed | End::Left => self.forget(ticket),
      End::Superseded | End::Withdrawn => self.continue_run(ticket),
      End::Late | End::Unsent => self.refuse(ticket, Reason::TooLate),
      end if stalled => self.on_second_send_ended(ticket, end),
      End::Full | End::Missing | End::Replaced => self.retry(ticket),
      End::Broken | End::Crashed | End::Stalled => self.retry_if_repeatable(ticket),
      End::Barred => self.refuse(ticket, Reason::KeyUnknown),
      End::Unsure => self.refuse(ticket, Reason::KeysUnsure),
      // The request reached no server, so the next send does not count as a retry.
      End::Leaving | End::Resting | End::Unreached => self.dispatch(ticket),
    }
    self.dispatch_waiting();
  }

  fn record_served(&mut self, ticket: Ticket) {
    if let Some(request) = self.requests.get(&ticket) {
      self.crash_filter.record_served(request.descriptor.content);
      let parts = &request.descriptor.parts;
      if self
        .served
        .record(self.now, request.descriptor.content, parts)
      {
        self.out.push(Effect::ReportCrashes);
      }
    }
  }

  fn retry_if_repeatable(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let route = &request.descriptor.route;
    if route.repeatable() && request.runs < route.attempts && !request.plain_started {
      self.retry(ticket);
    } else {
      self.refuse(ticket, Reason::ServerFailed);
    }
  }

  fn retry(&mut self, ticket: Ticket) {
    match self.reserve_retry(ticket) {
      true => self.dispatch(ticket),
      false => self.defer_retry(ticket),
    }
  }

  /// Lets a request whose retry the budget does not allow wait, or refuses it.
  pub(super) fn defer_retry(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get(&ticket).cloned() else {
      return;
    };
    if request.response_started {
      return self.wait_for_budget(ticket);
    }
    if let Some(retry_after) = self.retry_after_last_send_ms(&request) {
      return self.refuse_with_retry_after(ticket, Reason::ServerRest, retry_after);
    }
    if self.retry_share.is_pending(self.now) && self.now < give_up_at(&request) {
      return self.wait_for_budget(ticket);
    }
    let reason = match request.verdict {
      Verdict::NotRun => Reason::NoServer,
      Verdict::MayHaveRun => Reason::ServerFailed,
    };
    self.refuse(ticket, reason);
  }

  /// Lets a request wait until the budget allows a retry: one whose response has begun, because
  /// without the rest what the caller has got is worth nothing, or one whose instance does not know
  /// its share of the budget yet.
  fn wait_for_budget(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    request.awaits_budget = true;
    let request = request.clone();
    let give_up = give_up_at(&request);
    if self.now >= give_up || self.failed_everywhere(&request) {
      return self.refuse(ticket, Reason::ServerFailed);
    }
    let deadline = request.descriptor.deadline;
    let until = deadline.min(give_up).min(self.now + RECHECK_MS);
    self.enqueue(ticket, until);
  }

  /// Whether the budget allows a retry of a request, which must then be sent or cancelled.
  pub(super) fn reserve_retry(&mut self, ticket: Ticket) -> bool {
    let now = self.now;
    let Some(request) = self.requests.get_mut(&ticket) else {
      return false;
    };
    let pool = &request.descriptor.pool;
    let budget = self.budgets.entry(pool.clone()).or_default();
    let slack = self.retry_share.slack(now, &self.retry_bound);
    let fits = budget.try_retry(now, &self.retry_bound, slack);
    if let Some(standing) = budget.report(now, &self.retry_bound, slack, fits) {
      let pool = pool.clone();
      self.out.push(Effect::RetryBudget { pool, standing });
    }
    request.retry_pending = fits;
    request.awaits_budget &= !fits;
    fits
  }

  /// Cancels a retry that was allowed and is not sent.
  pub(super) fn cancel_retry(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if std::mem::take(&mut request.retry_pending) {
      let pool = request.descriptor.pool.clone();
      self.budget(&pool).cancel();
    }
  }

  /// Updates the state of a send's server after the send has ended.
  pub(super) fn finish_send(&mut self, key: backend::Key, model: Option<Model>, end: End) {
    let now = self.now;
    let Some(backend) = self.backends.get_mut(key) else {
      return;
    };
    backend.running = backend.running.saturating_sub(1);
    match end {
      End::Whole => {
        backend.failures = 0;
        if let Some(model) = &model {
          let name = missing_name(&model.name, model.adapter.as_deref());
          backend.missing.remove(&name);
        }
      }
      End::Failed
      | End::Left
      | End::Stalled
      | End::Superseded
      | End::Withdrawn
      | End::Late
      | End::Unsent
      | End::Leaving
      | End::Resting
      | End::Barred
      | End::Unsure => {}
      End::Full => backend.avoid_until = backend.avoid_until.max(now + FULL_PAUSE_MS),
      End::Missing => {
        if let Some(model) = &model {
          let name = missing_name(&model.name, model.adapter.as_deref());
          if backend.mark_missing(name, now) {
            self.out.push(Effect::ReportDemand);
          }
        }
      }
      End::Replaced => self.record_replaced(key),
      End::Unreached | End::Broken | End::Crashed => {
        avoid_after_failure(backend, now);
      }
    }
    if let Some(model) = model {
      let entry = (key, model);
      if let Some(count) = self.running.get_mut(&entry) {
        *count -= 1;
        if *count == 0 {
          self.running.remove(&entry);
        }
      }
    }
    self.report_free_slot(key);
    self.drop_if_unused(key);
  }

  /// Why a send must be aborted because of something learned since it was decided; `None` if it may
  /// proceed.
  pub fn abort_reason(&self, attempt: &Attempt) -> Option<End> {
    let backend = self.backends.get(attempt.backend);
    let request = self.requests.get(&attempt.ticket);
    let quarantined = |request: &Request| self.is_quarantined(&request.descriptor);
    // The server has restarted, or its entry was older than it is.
    let other_build = |backend: &Backend| backend.spec.build != attempt.build;
    let unfit = |backend: &Backend| backend.is_leaving() || other_build(backend);
    if request.is_some_and(quarantined) || backend.is_none_or(unfit) {
      return Some(End::Leaving);
    }
    let backing_off = backend.is_some_and(|backend| self.is_backing_off(backend));
    backing_off.then_some(End::Resting)
  }

  /// Whether an address belongs to another server than this one by now, or to a later life of it.
  pub(crate) fn has_other_server(&self, address: SocketAddr, life: Life) -> bool {
    let mut there = self
      .backends
      .values()
      .filter(|backend| backend.spec.address == address);
    there.any(|backend| backend.replaced_until.is_some() || !life.applies_to(backend.spec.life()))
  }

  /// The path of a server's health check; `None` if none is configured.
  pub(crate) fn health_path(&self, key: backend::Key) -> Option<String> {
    let backend = self.backends.get(key)?;
    let pools = &self.deployment.as_ref()?.pools;
    pools.get(&backend.spec.pool)?.health_path.clone()
  }

  /// Records that a server's process ended while it ran the request.
  fn record_crash(&mut self, ticket: Ticket, key: backend::Key) {
    let (Some(request), Some(backend)) = (self.requests.get(&ticket), self.backends.get(key))
    else {
      return;
    };
    let since = request.first_event_at.unwrap_or(self.now);
    let crash = Crash {
      content: request.descriptor.content,
      server: backend.spec.life(),
      run: backend::short_hash(&request.descriptor.id),
      progress_ms: (self.now - since) as u32,
    };
    if crash.progress_ms <= part::MAX_PROGRESS_MS {
      let took_ms = self.now.saturating_sub(request.sent) as u32;
      let parts = request.descriptor.parts.iter().zip(0u8..);
      let crashes = parts.map(|(part, position)| part::Crash {
        part: *part,
        position,
        server: crash.server,
        took_ms,
      });
      self.part_crashes.extend(crashes);
    }
    self.crash_filter.record_crash(self.now, crash);
    self.out.push(Effect::ReportCrashes);
  }

  /// Takes the crashes that were recorded since the last call.
  pub fn take_crashes(&mut self) -> Vec<Crash> {
    self.crash_filter.take_crashes()
  }

  /// Takes the parts of prompts in crashes that were recorded since the last call.
  pub fn take_part_crashes(&mut self) -> Vec<part::Crash> {
    std::mem::take(&mut self.part_crashes)
  }

  /// Takes the contents and parts that were served although they are suspected.
  pub fn take_served(&mut self) -> Vec<content::Key> {
    self.served.take_answers()
  }
}

/// Lets a server that has failed get no requests for a while.
pub(super) fn avoid_after_failure(backend: &mut Backend, now: u64) {
  let pause = FAILURE_PAUSE_MS << backend.failures.min(4);
  backend.failures += 1;
  backend.avoid_until = now + pause.min(MAX_FAILURE_PAUSE_MS);
}
