//! Quota units that one instance may use.
//!
//! The lease holder grants units ahead to each instance, according to its recent use. For a request
//! beyond that the instance asks for a grant, and the request waits a few milliseconds. If the
//! holder does not respond, an instance uses an equal share of the quota that remained according to
//! the holder's last sums. It admits whole requests at random, so that all instances together keep
//! the quota.

use super::{Allowance, Basis, Grant, Id, Quarters, Shortage, Sums, Use, Window};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::HashMap;

/// Lifetime of a grant after the report that it answers: longer than three lost reports in a row.
/// Its unused units are granted to other instances later.
pub(super) const GRANT_MS: u64 = 2_000;
/// Time without an answer to a requested grant after which the holder counts as unreachable: the
/// request is repeated every 40 ms, and a small instance may be busy for half a second.
const HOLDER_TIMEOUT_MS: u64 = 1_000;
/// Time without use after which the balance of a permit is dropped: later than at the holder, which
/// could otherwise mistake used units for refunded ones.
const PERMIT_IDLE_MS: u64 = 30_000;
/// Nobody knows the units used between a holder's last sums and its end. They count as
/// this many seconds of use at the quota's rate: half a second of a customer that sends 7.5 times
/// its usual load, with a quota of 1.8 times that load.
pub(super) const UNKNOWN_USE_S: f64 = 2.0;
/// Published sums are taken as older by this, since they take some time to arrive.
const PUBLISHED_LATER_MS: u64 = 300;
/// Fraction of the reserve that instances share while no holder responds.
const UNGRANTED_FRACTION: f64 = 0.5;
/// How long a request waits for a grant: an answer takes a few ms, a lost one is requested again,
/// and latency objectives are 300 ms or more.
const GRANT_TIMEOUT_MS: u64 = 150;
/// Interval at which needed units are requested again.
pub const GRANT_RETRY_MS: u64 = 40;
/// Maximum time for which an exceeded quota refuses requests without asking the holder again:
/// another instance may have refunded units.
const MAX_EXCEEDED_MS: u64 = 200;
/// Time without use after which a quota is no longer reported.
const IDLE_MS: u64 = 8_000;
/// Maximum number of uses in one report, 20 bytes each.
const MAX_USES: usize = 200;
/// Maximum retry-after sent to a caller: slightly longer than a window.
const MAX_RETRY_MS: u64 = 10_000;
/// Jitter of retry-after, so that callers refused together do not retry together.
const RETRY_JITTER_MS: u64 = 100;

/// Result of acquiring units for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
  Granted,
  /// Requested from the holder; the request waits until this time at most, in ms.
  Pending(u64),
  Exceeded(Shortage),
}

#[derive(Clone, Debug, Default)]
struct Balance {
  /// Units used since this instance started.
  used: i64,
  /// Value that `used` may reach before `expires_at`.
  limit: i64,
  /// When the grant expires, in ms.
  expires_at: u64,
  /// Until when the quota counts as exceeded, in ms.
  exceeded_until: u64,
  /// When the needed units will fit into the quota, in ms.
  fits_at: u64,
  /// When a request last tried to acquire units, in ms.
  last_used_at: u64,
  /// `None` if no request has tried to acquire units yet.
  history: Option<History>,
}

/// What happened to a quota at this instance within the last window.
#[derive(Clone, Debug)]
struct History {
  /// Units used.
  used: Window,
  /// Units of the share that were used up, also by requests that were refused.
  share: Window,
}

impl Balance {
  fn history(&mut self, length_ms: u64) -> &mut History {
    self.history.get_or_insert_with(|| History {
      used: Window::new(length_ms),
      share: Window::new(length_ms),
    })
  }

  /// Uses units; those without a grant also use up the share.
  fn spend(&mut self, now: u64, units: u32, of_share: f64, length_ms: u64) {
    self.used += i64::from(units);
    let history = self.history(length_ms);
    history.used.add(now, units.into());
    history.share.add(now, of_share);
  }

  /// Units used since a time, in ms.
  fn used_since(&mut self, now: u64, from: u64) -> f64 {
    let history = self.history.as_mut();
    history.map_or(0.0, |history| history.used.sum_since(now, from))
  }

  fn remaining(&self, now: u64) -> i64 {
    match now < self.expires_at {
      true => self.limit - self.used,
      false => 0,
    }
  }
}

/// Units used by all instances within the last window, as published by the holder.
#[derive(Clone, Debug)]
struct Fleet {
  /// Time of the sums, in ms.
  as_of: u64,
  sums: HashMap<Id, Quarters>,
}

impl Fleet {
  fn used(&self, now: u64, id: Id, length_ms: u64) -> f64 {
    let Some(quarters) = self.sums.get(&id) else {
      return 0.0;
    };
    let mut window = Window::new(length_ms);
    window.add_quarters(now, self.as_of, quarters);
    window.sum(now)
  }
}

/// Balances of all quotas at one instance.
#[derive(Clone, Debug)]
pub struct Balances {
  balances: HashMap<Id, Balance>,
  /// `None` if no sums were received since this instance started.
  fleet: Option<Fleet>,
  /// When this instance first tried to acquire units, in ms; 0 if it has not.
  first_used_at: u64,
  /// When the report was sent that the holder last answered, and when its answer arrived, in ms.
  last_answer: Option<(u64, u64)>,
  /// When the oldest unanswered request for units was sent, in ms; `None` if all are answered.
  unanswered_since: Option<u64>,
  /// When needed units were last requested from the holder, in ms.
  requested_at: u64,
  rng: SmallRng,
}

impl Balances {
  /// Creates the balances of an instance that starts now.
  pub fn new(seed: u64) -> Self {
    Self {
      balances: HashMap::new(),
      fleet: None,
      first_used_at: 0,
      last_answer: None,
      unanswered_since: None,
      requested_at: 0,
      rng: SmallRng::seed_from_u64(seed),
    }
  }

  /// Acquires units of a quota for a request, if allowed. The request has waited for them since
  /// `requested`, in ms; `instances` is the number of instances that share the quota.
  pub fn acquire(
    &mut self,
    now: u64,
    (id, allowance): (Id, &Allowance),
    cost: u32,
    requested: Option<u64>,
    instances: usize,
  ) -> Decision {
    let holder_responds = self.holder_responds(now);
    if self.first_used_at == 0 {
      self.first_used_at = now;
    }
    let share = self.remaining_share(now, (id, allowance), instances);
    let length_ms = allowance.bound.window_ms;
    let balance = self.balances.entry(id).or_default();
    balance.last_used_at = now;
    if balance.remaining(now) >= i64::from(cost) {
      balance.spend(now, cost, 0.0, length_ms);
      return Decision::Granted;
    }
    if now < balance.exceeded_until {
      let retry_after = self.retry_after(now, id);
      return self.exceeded(
        now,
        (id, allowance),
        (Basis::Holder, cost, share),
        retry_after,
      );
    }
    let grant_deadline = requested.unwrap_or(now) + GRANT_TIMEOUT_MS;
    if holder_responds && now < grant_deadline {
      return Decision::Pending(grant_deadline);
    }
    // Admits whole requests at random, on average as many as the share allows. A share of less than
    // one request is used up by either outcome; otherwise refused requests would be retried until
    // one is admitted.
    let units = f64::from(cost);
    if share >= units || self.rng.random_range(0.0..units.max(1.0)) < share {
      balance.spend(now, cost, units.min(share), length_ms);
      return Decision::Granted;
    }
    balance.history(length_ms).share.add(now, share);
    let rate = allowance.quota.rate / instances.max(1) as f64;
    let after = (units / rate.max(f64::MIN_POSITIVE) * 1_000.0) as u64;
    let basis = match holder_responds {
      true => Basis::Timeout,
      false => Basis::OwnShare,
    };
    let retry_after = after.clamp(RETRY_JITTER_MS, MAX_RETRY_MS);
    self.exceeded(now, (id, allowance), (basis, cost, share), retry_after)
  }

  fn exceeded(
    &self,
    now: u64,
    (id, allowance): (Id, &Allowance),
    (basis, cost, share): (Basis, u32, f64),
    retry_after: u64,
  ) -> Decision {
    let usage = |fleet: &Fleet| {
      let used = fleet.used(now, id, allowance.bound.window_ms);
      (used.max(0.0) as u64, now.saturating_sub(fleet.as_of))
    };
    Decision::Exceeded(Shortage {
      basis,
      cost,
      granted: self.usage(now, id).1,
      share: share as u64,
      allowed: allowance.window_units() as u64,
      fleet_usage: self.fleet.as_ref().map(usage),
      retry_after,
    })
  }

  /// Units that this instance may use without a grant: its share of the remaining quota.
  fn remaining_share(
    &mut self,
    now: u64,
    (id, allowance): (Id, &Allowance),
    instances: usize,
  ) -> f64 {
    let balance = self.balances.entry(id).or_default();
    let used_up = balance.history(allowance.bound.window_ms).share.sum(now);
    let rate = allowance.quota.rate;
    let remaining = match &self.fleet {
      Some(fleet) => {
        let used = fleet.used(now, id, allowance.bound.window_ms);
        let reserve = allowance.reserve() * UNGRANTED_FRACTION;
        allowance.window_units() + reserve - used - rate * UNKNOWN_USE_S
      }
      // The usage before this instance started is unknown.
      None => allowance
        .window_units()
        .min(rate * (now - self.first_used_at) as f64 / 1_000.0),
    };
    (remaining / instances.max(1) as f64 - used_up).max(0.0)
  }

  /// Stores the units used by all instances within the last window, as of a time in ms.
  pub fn receive_sums(&mut self, as_of: u64, sums: &Sums) {
    let sums = sums.iter().copied().collect();
    self.fleet = Some(Fleet { as_of, sums });
  }

  /// Returns whether the holder responds, as far as known: it is not contacted while there is
  /// nothing to report.
  pub fn holder_responds(&self, now: u64) -> bool {
    self
      .unanswered_since
      .is_none_or(|since| now < since + HOLDER_TIMEOUT_MS)
  }

  /// Time since the oldest unanswered request for units, in ms.
  pub fn holder_silent_ms(&self, now: u64) -> u64 {
    let since = self.unanswered_since.unwrap_or(now);
    now.saturating_sub(since)
  }

  fn retry_after(&mut self, now: u64, id: Id) -> u64 {
    let fits_at = self
      .balances
      .get(&id)
      .map_or(now, |balance| balance.fits_at);
    let jitter = self.rng.random_range(0..RETRY_JITTER_MS);
    (fits_at.saturating_sub(now) + jitter).clamp(RETRY_JITTER_MS, MAX_RETRY_MS)
  }

  /// Counts the units of a refused request until the quota has room, so that the next caller which
  /// this instance refuses without asking the holder gets a later retry-after.
  pub fn promise(&mut self, id: Id, cost: u32, rate: f64, instances: usize) {
    let rate = rate / instances.max(1) as f64;
    let after_ms = f64::from(cost) / rate.max(f64::MIN_POSITIVE) * 1_000.0;
    if let Some(balance) = self.balances.get_mut(&id) {
      balance.fits_at += after_ms.min(MAX_RETRY_MS as f64) as u64;
    }
  }

  /// Refunds the units of a request that certainly did not run.
  pub fn refund(&mut self, id: Id, cost: u32) {
    if let Some(balance) = self.balances.get_mut(&id) {
      balance.used -= i64::from(cost);
      if let Some(history) = &mut balance.history {
        history.used.add(balance.last_used_at, -f64::from(cost));
      }
    }
  }

  /// Applies the holder's answer to the report that was sent at time `sent`, in ms.
  pub fn receive_grants(&mut self, now: u64, sent: u64, grants: &[Grant]) {
    if self.last_answer.is_some_and(|(last, _)| sent < last) {
      // The answer to a later report has already arrived.
      return;
    }
    self.last_answer = Some((sent, now));
    self.unanswered_since = self.unanswered_since.filter(|since| *since > sent);
    for grant in grants {
      let balance = self.balances.entry(grant.id).or_default();
      balance.limit = grant.limit;
      balance.expires_at = sent + GRANT_MS;
      if grant.over_ms == 0 && grant.limit <= balance.used {
        // No units were needed, so the grant does not show whether more would fit.
        continue;
      }
      let over_ms = u64::from(grant.over_ms);
      balance.exceeded_until = now + over_ms.min(MAX_EXCEEDED_MS);
      balance.fits_at = now + over_ms;
    }
  }

  /// Returns recent usage and needed units for a report to the holder, quotas with a need first.
  pub fn uses(&mut self, now: u64, needs: &HashMap<Id, u32>) -> Vec<Use> {
    let is_active =
      |balance: &Balance| now < balance.last_used_at + IDLE_MS || now < balance.expires_at;
    let reported_until = self.reported_until();
    // The usage of an idle quota was reported long ago and is included in its limit.
    let mut uses: Vec<Use> = self
      .balances
      .iter_mut()
      .filter(|(_, balance)| is_active(balance))
      .map(|(id, balance)| Use {
        id: *id,
        used: balance.used,
        need: needs.get(id).copied().unwrap_or_default(),
        unreported: balance.used_since(now, reported_until).max(0.0) as u32,
      })
      .collect();
    uses.sort_by_key(|usage| (usage.need == 0, usage.id));
    uses.truncate(MAX_USES);
    if !needs.is_empty() {
      self.requested_at = now;
      self.unanswered_since.get_or_insert(now);
    }
    self.drop_idle_permits(now);
    uses
  }

  /// Time until which a holder that takes over knows the usage of this instance, in ms: a report
  /// was answered, and sums were published after it.
  fn reported_until(&self) -> u64 {
    let answered = self.last_answer.map_or(0, |(sent, _)| sent);
    let published = self.fleet.as_ref().map_or(0, |fleet| fleet.as_of);
    answered.min(published.saturating_sub(PUBLISHED_LATER_MS))
  }

  fn drop_idle_permits(&mut self, now: u64) {
    let is_kept =
      |id: &Id, balance: &Balance| !id.is_permit() || now < balance.last_used_at + PERMIT_IDLE_MS;
    self.balances.retain(|id, balance| is_kept(id, balance));
  }

  /// When needed units are to be requested again, in ms.
  pub fn next_request_at(&self) -> u64 {
    self.requested_at + GRANT_RETRY_MS
  }

  /// Units used since the start, and units that remain of the grant.
  pub fn usage(&self, now: u64, id: Id) -> (i64, i64) {
    let balance = self.balances.get(&id);
    balance.map_or((0, 0), |balance| {
      (balance.used, balance.remaining(now).max(0))
    })
  }

  /// Time since the holder's last answer, in ms; `None` if there was none.
  pub fn answer_age(&self, now: u64) -> Option<u64> {
    self
      .last_answer
      .map(|(_, arrived)| now.saturating_sub(arrived))
  }
}

/// Fraction of the reserve that may be granted ahead: the rest is for units that instances use
/// while they do not report.
const AHEAD_FRACTION: f64 = 0.5;

/// Units that may be granted ahead to all instances together.
pub(super) fn max_ahead(allowance: &Allowance) -> f64 {
  allowance.reserve() * AHEAD_FRACTION
}
