//! What one instance may use of quotas.
//!
//! The holder of the lease grants each instance how far it may go, ahead by what it used
//! lately. A request beyond that is asked for and waits some milliseconds. Where the holder
//! says nothing, an instance goes by an equal share of what was left by the holder's last word,
//! in whole requests by chance: all together they keep the quota.

use super::{Allowance, Grant, Id, Quarters, Sums, Use, Window};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::HashMap;

/// A grant counts for so long after the report that it answers, ms: longer than three reports
/// that are lost in a row, and what it leaves unused is granted to others later.
pub(super) const GRANT_MS: u64 = 2_000;
/// A holder that has not answered for so long what is needed is not there, ms: it is asked again
/// each 40, and a small one may be busy for half a second.
const UNANSWERED_MS: u64 = 1_000;
/// What is known of a leave is forgotten after so long without use, ms: later than the holder
/// forgets it, which could take what was used for given back.
const LEAVE_IDLE_MS: u64 = 30_000;
/// What is used between a holder's last word and its end is not known to anybody, and counts as
/// the rate's use in so many seconds: half a second of a customer that sends 7.5 times its usual,
/// where quotas are 1.8 times that.
pub(super) const UNKNOWN_S: f64 = 2.0;
/// Part of the reserve that instances share while no holder is heard of.
const APART: f64 = 0.5;
/// A request waits so long for a grant, ms: an answer takes some ms, one that is lost is asked
/// for again, and an objective is 300 or more.
const ASK_MS: u64 = 150;
/// Pause before what is needed is asked for again, ms.
pub const GRANT_RETRY_MS: u64 = 40;
/// A customer that is beyond its quota is taken for it for so long at the most, ms: a request
/// of another instance may have been given back.
const OVER_MS: u64 = 200;
/// Without use for so long a customer is not reported, ms.
const IDLE_MS: u64 = 8_000;
/// Uses of one report at the most: 20 bytes each.
const USES: usize = 200;
/// Longest time after which a caller is told to come back, ms: a window, and some.
const RETRY_MOST_MS: u64 = 10_000;
/// Spread of the times after which callers come back, ms: those refused together must not
/// return together.
const RETRY_SPREAD_MS: u64 = 100;

/// What becomes of a request's units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
  Granted,
  /// The holder is asked; it waits until then at the most, ms.
  Pending(u64),
  /// Beyond the quota; it fits after so long, ms.
  Exceeded(u64),
}

#[derive(Clone, Debug, Default)]
struct Wallet {
  /// Units used since this instance started.
  used: i64,
  /// May go up to this, before this time, ms.
  limit: i64,
  until: u64,
  /// Taken for beyond its quota until then, ms.
  over_until: u64,
  /// When what it needs will fit, ms.
  fits_at: u64,
  /// When a request last counted, ms.
  active: u64,
  /// Units used without a grant; none: nothing was spent yet.
  apart: Option<Window>,
}

impl Wallet {
  /// Units used without a grant, in windows of a length, ms.
  fn apart(&mut self, length_ms: u64) -> &mut Window {
    self.apart.get_or_insert_with(|| Window::new(length_ms))
  }

  fn left(&self, now: u64) -> i64 {
    match now < self.until {
      true => self.limit - self.used,
      false => 0,
    }
  }
}

/// What all instances used within the last window, by the holder's word.
#[derive(Clone, Debug)]
struct Fleet {
  /// As of this time, ms.
  then: u64,
  sums: HashMap<Id, Quarters>,
}

impl Fleet {
  fn used(&self, now: u64, id: Id, length_ms: u64) -> f64 {
    let Some(quarters) = self.sums.get(&id) else {
      return 0.0;
    };
    let mut window = Window::new(length_ms);
    window.add_quarters(now, self.then, quarters);
    window.sum(now)
  }
}

/// What one instance knows of quotas.
#[derive(Clone, Debug)]
pub struct Balances {
  wallets: HashMap<Id, Wallet>,
  /// None: nothing was heard of a holder since this instance started.
  fleet: Option<Fleet>,
  /// When this instance first spent something, ms; 0: it has not.
  started: u64,
  /// When the report was sent that the holder last answered, and when the answer came, ms.
  answered: Option<(u64, u64)>,
  /// When what is needed was first asked for that the holder has not answered, ms; none: it has
  /// answered all.
  unanswered: Option<u64>,
  /// When the holder was last asked for what waits, ms.
  asked: u64,
  rng: SmallRng,
}

impl Balances {
  /// A purse of an instance that has started now.
  pub fn new(seed: u64) -> Self {
    Self {
      wallets: HashMap::new(),
      fleet: None,
      started: 0,
      answered: None,
      unanswered: None,
      asked: 0,
      rng: SmallRng::seed_from_u64(seed),
    }
  }

  /// Takes units of a quota for a request that waits for them since `asked`, ms, where that is
  /// allowed; `instances` share the quota.
  pub fn acquire(
    &mut self,
    now: u64,
    (id, allowance): (Id, &Allowance),
    cost: u32,
    asked: Option<u64>,
    instances: usize,
  ) -> Decision {
    let answers = self.holder_responds(now);
    if self.started == 0 {
      self.started = now;
    }
    let left = self.left_apart(now, (id, allowance), instances);
    let length_ms = allowance.bound.window_ms;
    let wallet = self.wallets.entry(id).or_default();
    wallet.active = now;
    if wallet.left(now) >= i64::from(cost) {
      wallet.used += i64::from(cost);
      return Decision::Granted;
    }
    if now < wallet.over_until {
      return Decision::Exceeded(self.retry_after(now, id));
    }
    let patience = asked.unwrap_or(now) + ASK_MS;
    if answers && now < patience {
      return Decision::Pending(patience);
    }
    // Whole requests by chance, on the average what the share holds: less than a request's
    // share is used up by either outcome, or those refused would draw again until one fits.
    let units = f64::from(cost);
    if left >= units || self.rng.random_range(0.0..units.max(1.0)) < left {
      wallet.used += i64::from(cost);
      wallet.apart(length_ms).add(now, units.min(left));
      return Decision::Granted;
    }
    wallet.apart(length_ms).add(now, left);
    let share = allowance.quota.rate / instances.max(1) as f64;
    let after = (units / share.max(f64::MIN_POSITIVE) * 1_000.0) as u64;
    Decision::Exceeded(after.clamp(RETRY_SPREAD_MS, RETRY_MOST_MS))
  }

  /// Units that this instance may use without a grant: its part of what was left.
  fn left_apart(&mut self, now: u64, (id, allowance): (Id, &Allowance), instances: usize) -> f64 {
    let wallet = self.wallets.entry(id).or_default();
    let apart = wallet.apart(allowance.bound.window_ms).sum(now);
    let rate = allowance.quota.rate;
    let all = match &self.fleet {
      Some(fleet) => {
        let used = fleet.used(now, id, allowance.bound.window_ms);
        let reserve = allowance.reserve() * APART;
        allowance.window() + reserve - used - rate * UNKNOWN_S
      }
      // What was used before it started is not known to it.
      None => allowance
        .window()
        .min(rate * (now - self.started) as f64 / 1_000.0),
    };
    (all / instances.max(1) as f64 - apart).max(0.0)
  }

  /// Takes up what all instances used within the last window, as of a time, ms.
  pub fn receive_sums(&mut self, then: u64, sums: &Sums) {
    let sums = sums.iter().copied().collect();
    self.fleet = Some(Fleet { then, sums });
  }

  /// Whether the holder answers, as far as known: where there was nothing to report for a while
  /// it was not asked.
  pub fn holder_responds(&self, now: u64) -> bool {
    self
      .unanswered
      .is_none_or(|since| now < since + UNANSWERED_MS)
  }

  fn retry_after(&mut self, now: u64, id: Id) -> u64 {
    let until = self.wallets.get(&id).map_or(now, |wallet| wallet.fits_at);
    let spread = self.rng.random_range(0..RETRY_SPREAD_MS);
    (until.saturating_sub(now) + spread).clamp(RETRY_SPREAD_MS, RETRY_MOST_MS)
  }

  /// A request that counted was surely not run.
  pub fn refund(&mut self, id: Id, cost: u32) {
    if let Some(wallet) = self.wallets.get_mut(&id) {
      wallet.used -= i64::from(cost);
    }
  }

  /// Takes up the holder's answer to the report that was sent at a time, ms.
  pub fn receive_grants(&mut self, now: u64, sent: u64, grants: &[Grant]) {
    if self.answered.is_some_and(|(last, _)| sent < last) {
      // A later report was answered before.
      return;
    }
    self.answered = Some((sent, now));
    self.unanswered = self.unanswered.filter(|since| *since > sent);
    for grant in grants {
      let wallet = self.wallets.entry(grant.id).or_default();
      wallet.limit = grant.limit;
      wallet.until = sent + GRANT_MS;
      if grant.over_ms == 0 && grant.limit <= wallet.used {
        // Nothing was needed: that says nothing of what fits.
        continue;
      }
      let over = u64::from(grant.over_ms);
      wallet.over_until = now + over.min(OVER_MS);
      wallet.fits_at = now + over;
    }
  }

  /// What was used lately and what is needed, for the holder; those first that need some.
  pub fn uses(&mut self, now: u64, needs: &HashMap<Id, u32>) -> Vec<Use> {
    let kept = |wallet: &Wallet| now < wallet.active + IDLE_MS || now < wallet.until;
    // What was used by an idle one was reported long ago, and counts in its limit.
    let mut uses: Vec<Use> = self
      .wallets
      .iter_mut()
      .filter(|(_, wallet)| kept(wallet))
      .map(|(id, wallet)| Use {
        id: *id,
        used: wallet.used,
        need: needs.get(id).copied().unwrap_or_default(),
        ungranted: wallet
          .apart
          .as_mut()
          .map_or(0.0, |apart| apart.sum(now))
          .max(0.0) as u32,
      })
      .collect();
    uses.sort_by_key(|one| (one.need == 0, one.id));
    uses.truncate(USES);
    if !needs.is_empty() {
      self.asked = now;
      self.unanswered.get_or_insert(now);
    }
    self.forget_leaves(now);
    uses
  }

  fn forget_leaves(&mut self, now: u64) {
    let kept = |id: &Id, wallet: &Wallet| !id.is_permit() || now < wallet.active + LEAVE_IDLE_MS;
    self.wallets.retain(|id, wallet| kept(id, wallet));
  }

  /// When what is needed is to be asked for again, ms.
  pub fn next_request_at(&self) -> u64 {
    self.asked + GRANT_RETRY_MS
  }

  /// Units used since the start, and what is left of the grant.
  pub fn standing(&self, now: u64, id: Id) -> (i64, i64) {
    let wallet = self.wallets.get(&id);
    wallet.map_or((0, 0), |wallet| (wallet.used, wallet.left(now).max(0)))
  }

  /// Since the holder's last answer, ms; none: there was none.
  pub fn age(&self, now: u64) -> Option<u64> {
    self.answered.map(|(_, came)| now.saturating_sub(came))
  }
}

/// The part of the reserve that may be granted ahead: the rest is for what instances use that
/// are not heard of.
const AHEAD: f64 = 0.5;

/// Units that may be granted ahead to all instances together.
pub(super) fn ahead(allowance: &Allowance) -> f64 {
  allowance.reserve() * AHEAD
}
