//! Servers that ask this instance for rest.
//!
//! Load pattern: a server that is overloaded turns requests away, and the instances that it turned
//! away come back together when its rest is over. So a server that has rested is tried out first:
//! few requests go there until one of them is taken, or none is turned away.

use super::RETENTION_MS;
use crate::{
  backend::Backend,
  cold::give_up_at,
  dispatch::{Effect, RECHECK_MS, Request, State},
  life::Life,
  verdict::Verdict,
};
use std::collections::BTreeMap;

/// Requests that try a server out.
const TRIALS: u32 = 2;
/// A server that turns requests away does so within this time, ms: an answer of another
/// availability zone takes some, of a busy machine some ten.
const TRIAL_MS: u64 = 300;
/// Added to the end of a rest where a caller is to come back after it, ms: one that comes at the
/// end meets those that try the server out.
const MARGIN_MS: u64 = 100;

/// A rest that one server asked for.
#[derive(Clone, Copy, Debug, Default)]
struct Rest {
  /// Its end, ms.
  until: u64,
  /// Requests sent since then, and when the first of them was, ms.
  trials: u32,
  tried: u64,
}

impl Rest {
  /// Until when nothing is sent there, ms; none: something may be.
  fn closed_until(&self, now: u64) -> Option<u64> {
    let until = match self.trials >= TRIALS {
      true => self.tried + TRIAL_MS,
      false => self.until,
    };
    (now < until).then_some(until)
  }

  /// Whether nobody was turned away for long enough.
  fn over(&self, now: u64) -> bool {
    self.trials > 0 && now >= self.tried + TRIAL_MS
  }
}

/// Rests by the lives of servers. A rest is between one instance and a server: others go on.
#[derive(Clone, Debug, Default)]
pub(crate) struct Backoffs {
  rests: BTreeMap<Life, Rest>,
}

impl Backoffs {
  /// Whether no server asked for rest lately.
  pub(crate) fn is_empty(&self) -> bool {
    self.rests.is_empty()
  }

  /// A server asks for so much rest, ms; a rest that it asked for before goes on.
  fn ask(&mut self, server: Life, now: u64, rest_ms: u64) {
    self
      .rests
      .retain(|_, rest| now < rest.until.saturating_add(RETENTION_MS));
    let rest = self.rests.entry(server).or_default();
    *rest = Rest {
      until: rest.until.max(now.saturating_add(rest_ms)),
      trials: 0,
      tried: 0,
    };
  }

  /// Until when a server gets nothing, ms; none: it may get something.
  pub(crate) fn closed_until(&self, server: Life, now: u64) -> Option<u64> {
    self.rests.get(&server)?.closed_until(now)
  }

  /// Whether a server's rest lasts.
  fn lasts(&self, server: Life, now: u64) -> bool {
    let rest = self.rests.get(&server);
    rest.is_some_and(|rest| now < rest.until)
  }

  /// A request is sent to a server; whether it tries the server out.
  pub(crate) fn record_send(&mut self, server: Life, now: u64) -> bool {
    let Some(rest) = self.rests.get_mut(&server) else {
      return false;
    };
    if rest.over(now) {
      self.rests.remove(&server);
      return false;
    }
    if rest.trials == 0 {
      rest.tried = now;
    }
    rest.trials += 1;
    true
  }

  /// A server took a request that tried it out.
  fn take(&mut self, server: Life, now: u64) {
    if !self.lasts(server, now) {
      self.rests.remove(&server);
    }
  }

  /// Servers whose rests last.
  fn resting(&self, now: u64) -> impl Iterator<Item = Life> {
    let rests = self.rests.iter();
    rests
      .filter(move |(_, rest)| now < rest.until)
      .map(|(server, _)| *server)
  }
}

impl State {
  /// A server asks this instance for so much rest, ms.
  pub(crate) fn receive_backoff(&mut self, server: Life, rest_ms: u64) {
    self.backoffs.ask(server, self.now, rest_ms);
    let known = self.backends.values();
    let known = known.map(|backend| &backend.spec);
    let id = known
      .filter(|spec| spec.life() == server)
      .map(|spec| spec.id.clone());
    let id = id.last().unwrap_or_default();
    self.out.push(Effect::Backoff {
      id,
      backoff_ms: rest_ms,
    });
    self.dispatch_waiting();
  }

  /// A server took a request after its rest.
  pub(crate) fn record_trial_accepted(&mut self, server: Life) {
    self.backoffs.take(server, self.now);
    self.dispatch_waiting();
  }

  /// Servers that rest, for the planner.
  pub fn servers_backing_off(&self, now: u64) -> Vec<Life> {
    self.backoffs.resting(now).collect()
  }

  /// Whether a server takes requests, as far as it asked for rest.
  pub(crate) fn accepts_requests(&self, backend: &Backend) -> bool {
    let open = |life| self.backoffs.closed_until(life, self.now).is_none();
    self.backoffs.is_empty() || open(backend.spec.life())
  }

  /// Whether a server's rest lasts.
  pub(crate) fn is_backing_off(&self, backend: &Backend) -> bool {
    self.backoffs.lasts(backend.spec.life(), self.now)
  }

  /// For a request whose servers all want rest for longer than its caller waits: after how long it
  /// should come back, ms. One that has begun waits: nothing else could go on with it.
  pub(crate) fn retry_after_backoff_ms(&self, request: &Request) -> Option<u64> {
    if self.backoffs.is_empty() || request.verdict != Verdict::NotRun {
      return None;
    }
    let ends = self
      .eligible_servers(request)
      .map(|backend| self.backoffs.closed_until(backend.spec.life(), self.now));
    let ends: Option<Vec<u64>> = ends.collect();
    let end = ends?.into_iter().min()?;
    let ready = self.ready_elsewhere(request);
    let soonest = ready.map_or(end, |ready| ready.min(end));
    // Others may try the server out first; one that waits already was told that it has time.
    let new = request.waiting_since == Some(self.now);
    let margin = if new { TRIAL_MS + RECHECK_MS } else { 0 };
    let in_time = soonest.saturating_add(margin) <= give_up_at(request);
    let after = soonest.saturating_sub(self.now).saturating_add(MARGIN_MS);
    (!in_time).then_some(after)
  }
}
