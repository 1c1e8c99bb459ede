//! Backoffs that servers request from this instance.
//!
//! Load pattern: an overloaded server rejects requests, and the instances that it rejected all come
//! back when its backoff ends. So after a backoff the server first gets only a few trial requests,
//! until it accepts one or none was rejected for some time.

use super::RETENTION_MS;
use crate::{
  backend::Backend,
  cold::give_up_at,
  dispatch::{Effect, RECHECK_MS, Request, State},
  life::Life,
  verdict::Verdict,
};
use std::{collections::BTreeMap, ops::Range};

/// Maximum number of trial requests after a backoff.
const MAX_TRIALS: u32 = 2;
/// Time within which an overloaded server rejects a request: a response from another availability
/// zone takes some ms, and one from a busy machine some tens of ms.
pub(crate) const REJECTION_MS: u64 = 300;
/// Added to the retry-after given to a caller: a caller that returns at the end of the backoff
/// would compete with the trial requests.
const RETRY_MARGIN_MS: u64 = 100;

/// Requests for a backoff that are remembered for each server. More only come from requests that
/// were under way at the same time.
const MAX_REQUESTS: usize = 8;

/// When a server requested a backoff, and the end that it requested, in ms.
#[derive(Clone, Copy, Debug)]
struct Requested {
  at: u64,
  until: u64,
}

/// A backoff that one server requested.
#[derive(Clone, Debug, Default)]
struct Backoff {
  /// End of the backoff in ms.
  until: u64,
  /// The latest requests.
  requests: Vec<Requested>,
  /// Requests sent since the backoff ended, and when the first was sent, in ms.
  trials: u32,
  first_trial_at: u64,
}

impl Backoff {
  /// The backoff that follows from some requests.
  fn of(requests: Vec<Requested>) -> Self {
    let ends = requests.iter().map(|request| request.until);
    Self {
      until: ends.max().unwrap_or_default(),
      requests,
      ..Self::default()
    }
  }

  /// Time in ms until which nothing is sent to the server; `None` if requests may be sent.
  fn blocked_until(&self, now: u64) -> Option<u64> {
    let until = match self.trials >= MAX_TRIALS {
      true => self.first_trial_at + REJECTION_MS,
      false => self.until,
    };
    (now < until).then_some(until)
  }

  /// Whether trial requests were sent and none was rejected within `REJECTION_MS`.
  fn trials_passed(&self, now: u64) -> bool {
    self.trials > 0 && now >= self.first_trial_at + REJECTION_MS
  }
}

/// Backoffs by server life. A backoff applies to this instance only; other instances keep sending.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoffs {
  backoffs: BTreeMap<Life, Backoff>,
}

impl Backoffs {
  /// Whether no server requested a backoff recently.
  pub(crate) fn is_empty(&self) -> bool {
    self.backoffs.is_empty()
  }

  /// Records a requested backoff in ms; an earlier request with a later end still applies.
  fn record_request(&mut self, server: Life, now: u64, backoff_ms: u64) {
    self
      .backoffs
      .retain(|_, backoff| now < backoff.until.saturating_add(RETENTION_MS));
    let backoff = self.backoffs.entry(server).or_default();
    let earlier_end = backoff.until;
    let mut requests = std::mem::take(&mut backoff.requests);
    if requests.len() >= MAX_REQUESTS {
      requests.remove(0);
    }
    requests.push(Requested {
      at: now,
      until: now.saturating_add(backoff_ms),
    });
    *backoff = Backoff::of(requests);
    backoff.until = backoff.until.max(earlier_end);
  }

  /// The lives within a range that requested a backoff.
  pub(super) fn lives(&self, range: Range<Life>) -> impl Iterator<Item = Life> {
    self.backoffs.range(range).map(|(life, _)| *life)
  }

  /// Assigns to a life what was recorded for the earlier life of its server but requested after the
  /// life began, by `is_own` of a time in ms.
  pub(super) fn inherit(&mut self, earlier: Life, life: Life, is_own: impl Fn(u64) -> bool) {
    let Some(backoff) = self.backoffs.get(&earlier) else {
      return;
    };
    let requests = backoff.requests.iter().copied();
    let own: Vec<Requested> = requests.filter(|request| is_own(request.at)).collect();
    if !own.is_empty() {
      self.backoffs.insert(life, Backoff::of(own));
    }
  }

  /// Time in ms until which a server receives nothing; `None` if it may receive requests.
  pub(crate) fn blocked_until(&self, server: Life, now: u64) -> Option<u64> {
    self.backoffs.get(&server)?.blocked_until(now)
  }

  /// Whether a server's backoff is in force.
  fn in_force(&self, server: Life, now: u64) -> bool {
    let backoff = self.backoffs.get(&server);
    backoff.is_some_and(|backoff| now < backoff.until)
  }

  /// Records a send to a server; returns whether it is a trial request.
  pub(crate) fn record_send(&mut self, server: Life, now: u64) -> bool {
    let Some(backoff) = self.backoffs.get_mut(&server) else {
      return false;
    };
    if backoff.trials_passed(now) {
      self.backoffs.remove(&server);
      return false;
    }
    if backoff.trials == 0 {
      backoff.first_trial_at = now;
    }
    backoff.trials += 1;
    true
  }

  /// Records that a server accepted a trial request.
  fn record_trial_accepted(&mut self, server: Life, now: u64) {
    if !self.in_force(server, now) {
      self.backoffs.remove(&server);
    }
  }

  /// Servers whose backoff is in force.
  fn servers(&self, now: u64) -> impl Iterator<Item = Life> {
    let backoffs = self.backoffs.iter();
    backoffs
      .filter(move |(_, backoff)| now < backoff.until)
      .map(|(server, _)| *server)
  }
}

impl State {
  /// Processes a server's request for a backoff of this instance, in ms.
  pub(crate) fn receive_backoff(&mut self, server: Life, backoff_ms: u64) {
    self.backoffs.record_request(server, self.now, backoff_ms);
    let known = self.backends.values();
    let known = known.map(|backend| &backend.spec);
    let id = known
      .filter(|spec| spec.life() == server)
      .map(|spec| spec.id.clone());
    let id = id.last().unwrap_or_default();
    self.out.push(Effect::Backoff {
      id,
      born: server.born(),
      backoff_ms,
    });
    self.dispatch_waiting();
  }

  /// Records that a server accepted a request after its backoff.
  pub(crate) fn record_trial_accepted(&mut self, server: Life) {
    self.backoffs.record_trial_accepted(server, self.now);
    self.dispatch_waiting();
  }

  /// Servers whose backoff is in force, for the planner.
  pub fn servers_backing_off(&self, now: u64) -> Vec<Life> {
    self.backoffs.servers(now).collect()
  }

  /// Whether a server's backoff permits requests to it.
  pub(crate) fn accepts_requests(&self, backend: &Backend) -> bool {
    let open = |life| self.backoffs.blocked_until(life, self.now).is_none();
    self.backoffs.is_empty() || open(backend.spec.life())
  }

  /// Whether a server's backoff is in force.
  pub(crate) fn is_backing_off(&self, backend: &Backend) -> bool {
    self.backoffs.in_force(backend.spec.life(), self.now)
  }

  /// Retry-after in ms for a request whose servers all require a backoff longer than its caller
  /// waits; `None` if the request should wait. A request that may have started on a server waits,
  /// because nothing else could continue it.
  pub(crate) fn retry_after_backoff_ms(&self, request: &Request) -> Option<u64> {
    let soonest = self.backoffs_end(request)?;
    // Other requests may become the trial requests first; a request that already waits was found to
    // have enough time.
    let new = request.waiting_since == Some(self.now);
    let margin = if new { REJECTION_MS + RECHECK_MS } else { 0 };
    let in_time = soonest.saturating_add(margin) <= give_up_at(request);
    (!in_time).then_some(self.retry_after_at(soonest))
  }

  /// The retry-after of a request that is not sent again although a server may accept it sooner
  /// than it gives up; `None` unless all its servers are in a backoff.
  pub(crate) fn retry_after_last_send_ms(&self, request: &Request) -> Option<u64> {
    self
      .backoffs_end(request)
      .map(|soonest| self.retry_after_at(soonest))
  }

  /// When the first of a request's servers may accept it, in ms; `None` unless all of them are in a
  /// backoff.
  fn backoffs_end(&self, request: &Request) -> Option<u64> {
    if self.backoffs.is_empty() || request.verdict != Verdict::NotRun {
      return None;
    }
    let ends = self
      .eligible_servers(request)
      .map(|backend| self.backoffs.blocked_until(backend.spec.life(), self.now));
    let ends: Option<Vec<u64>> = ends.collect();
    let end = ends?.into_iter().min()?;
    let ready = self.ready_elsewhere(request);
    Some(ready.map_or(end, |ready| ready.min(end)))
  }

  fn retry_after_at(&self, at: u64) -> u64 {
    at.saturating_sub(self.now).saturating_add(RETRY_MARGIN_MS)
  }
}
