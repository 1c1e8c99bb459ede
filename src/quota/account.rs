//! What all instances together use of quotas, as the holder of the lease counts it.
//!
//! Of each quota the holder keeps the sum of the last window. What an instance may use
//! counts when it is granted, not when it is used: so in any window all use at most the quota
//! and what was granted before, which is kept below the reserve. An instance that falls silent
//! may go on by an equal share, so that part is not granted to others; what it used beyond its
//! grant counts when it is heard of again.

use super::{Allowance, Grant, Id, Use, purse, window::Window};
use std::collections::HashMap;

/// An instance that was not heard of for so long goes by its own share, ms: its grants count
/// for less after the report that they answer.
const SILENT_MS: u64 = purse::GRANT_MS + 200;
/// Use is granted ahead for so long, ms: reports come every half second, and a lost one must
/// not make requests wait.
const AHEAD_MS: f64 = 1_500.0;
/// Time over which an instance's use counts by half as much, ms.
const HALF_MS: f64 = 1_000.0;
/// Sums passed on at the most, 12 bytes each: the largest part of their quotas first.
const SUMS: usize = 64;
/// Part of a window's quota below which nothing is granted ahead: what is left goes where
/// requests wait.
const SCARCE: f64 = 0.25;
/// Part of the reserve that may be granted at any time: a window's slots count a thirty-second
/// part longer than they must.
const SPREAD: f64 = 0.1;
/// What instances said of a leave is forgotten after so long, ms: longer than it counts.
const LEAVE_KEPT_MS: u64 = 15_000;
/// Leaves that nobody uses are looked for this often, ms.
const FORGET_MS: u64 = 1_000;
/// Weight of a new request in what one mostly needs.
const NEW: f64 = 0.1;

/// The use of a quota over the fleet.
#[derive(Clone, Debug)]
struct Account {
  /// Units granted, or used without a grant.
  window: Window,
  /// Units granted and not used yet, over all instances.
  ahead: f64,
  /// Units that requests mostly need.
  typical: f64,
  /// Units granted since this holder began.
  granted: f64,
}

/// What one instance uses of one quota.
#[derive(Clone, Debug, Default)]
struct Line {
  used: i64,
  limit: i64,
  /// Units that were granted last.
  granted: f64,
  /// Units a second, lately.
  rate: f64,
  at: u64,
}

#[derive(Clone, Debug, Default)]
struct Instance {
  heard: u64,
  /// What it was granted was taken back, for it does not count any more.
  lapsed: bool,
  lines: HashMap<Id, Line>,
}

/// How much of a quota is used over the fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
  /// Units used or granted within the window.
  pub used: f64,
  /// Units granted to instances and not used.
  pub ahead: f64,
  /// Units a second, lately.
  pub rate: f64,
}

/// All accounts, and what instances said.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
  accounts: HashMap<Id, Account>,
  instances: HashMap<u64, Instance>,
  /// When this holder took over, ms, and whether it knows what was used before.
  took_over: Option<(u64, bool)>,
  /// The longest window of a quota that was reported, ms.
  longest_ms: u64,
  /// When leaves that nobody uses were last forgotten, ms.
  forgot: u64,
}

/// What was used of quotas within the last window, for the next holder.
pub type Sums = Vec<(Id, Quarters)>;

/// Units used in each quarter of a window, the latest first.
pub type Quarters = [u32; 4];

impl Accounts {
  /// The accounts of a holder that begins now, with what was used before some time, ms; none:
  /// it is not known. The first holder ever has the default ones.
  pub fn new(
    now: u64,
    sums: Option<(u64, &Sums)>,
    allow: impl Fn(Id) -> Option<Allowance>,
  ) -> Self {
    let mut accounts = Self {
      took_over: Some((now, sums.is_some())),
      ..Self::default()
    };
    let Some((then, sums)) = sums else {
      return accounts;
    };
    for (id, quarters) in sums {
      // Of one that has no quota any more nothing counts.
      let Some(allowance) = allow(*id) else {
        continue;
      };
      let mut account = Account::open(&allowance);
      account.window.add_quarters(now, then, quarters);
      accounts.accounts.insert(*id, account);
    }
    accounts
  }

  /// What was used within the last window, for the next holder.
  pub fn sums(&mut self, now: u64, allow: impl Fn(Id) -> Option<Allowance>) -> Sums {
    let accounts = self.accounts.iter_mut();
    let mut sums: Vec<(f64, Id, Quarters)> = accounts
      .filter_map(|(id, account)| {
        let allowance = allow(*id)?;
        let sum = account.window.sum(now);
        let part = sum / allowance.window().max(1.0);
        let quarters = account.window.quarters(now);
        let quarters = quarters.map(|units| units.max(0.0) as u32);
        (sum >= 1.0).then_some((part, *id, quarters))
      })
      .collect();
    // A leave that is not passed on costs a copy more, a quota all that it bounds.
    sums.sort_by(|one, two| {
      let leaves = one.1.is_permit().cmp(&two.1.is_permit());
      leaves.then(two.0.total_cmp(&one.0))
    });
    sums.truncate(SUMS);
    let sums = sums.into_iter();
    sums.map(|(_, id, quarters)| (id, quarters)).collect()
  }

  /// Takes up what an instance, named by a number of its own, has used; gives how far it may
  /// go.
  pub fn report(
    &mut self,
    now: u64,
    instance: u64,
    uses: &[Use],
    allow: impl Fn(Id) -> Option<Allowance>,
  ) -> Vec<Grant> {
    self.lapse(now);
    let heard = self.instances.entry(instance).or_default();
    heard.heard = now;
    heard.lapsed = false;
    let share = self.share(now);
    let grants = uses.iter().filter_map(|one| {
      let allowance = allow(one.id)?;
      // A part of a unit is none.
      let allowed = (allowance.window() * share).max(1.0);
      Some(self.settle(now, instance, one, (&allowance, allowed)))
    });
    grants.collect()
  }

  /// The part of a quota that may be granted: without that of instances that are not heard of.
  fn share(&self, now: u64) -> f64 {
    let silent = |instance: &&Instance| now > instance.heard + SILENT_MS;
    let silent = self.instances.values().filter(silent).count();
    1.0 - silent as f64 / self.instances.len().max(1) as f64
  }

  /// Counts what an instance has used of a quota and grants it more, up to the units allowed
  /// in a window.
  fn settle(
    &mut self,
    now: u64,
    instance: u64,
    one: &Use,
    (allowance, allowed): (&Allowance, f64),
  ) -> Grant {
    let rate = allowance.quota.rate;
    self.longest_ms = self.longest_ms.max(allowance.bound.window_ms);
    let account = self
      .accounts
      .entry(one.id)
      .or_insert_with(|| Account::open(allowance));
    let instance = self.instances.entry(instance).or_default();
    let known = instance.lines.contains_key(&one.id);
    if !known {
      account.window.add(now, one.ungranted.into());
    }
    let new = Line {
      used: one.used,
      limit: one.used,
      granted: 0.0,
      rate: 0.0,
      at: now,
    };
    let line = instance.lines.entry(one.id).or_insert(new);
    line.count(now, one.used);
    account.take_back(now, line);
    let need = f64::from(one.need);
    account.learn(need);
    // What is granted ahead is bounded by the reserve, and refuses nobody; nor do requests whose
    // units count twice while they are taken back and granted anew.
    let spread = allowance.reserve() * SPREAD;
    // What was granted for requests is mostly used by now: 13 requests in 40 ms went to a server
    // that takes one in two seconds while all that is granted counted as unused.
    let ahead = purse::ahead(allowance);
    let mut level = allowed + account.ahead.min(ahead) + spread - account.window.sum(now);
    let lately = |(since, _): &(u64, bool)| now < since + allowance.bound.window_ms;
    if let Some((since, known)) = self.took_over.filter(lately) {
      // What was used in the half second after the last word of the one before.
      level -= rate * purse::UNKNOWN_S;
      let elapsed = (now - since) as f64 / 1_000.0;
      if !known {
        level = level.min(rate * elapsed - account.granted);
      }
    }
    let wanted = match level < allowed * SCARCE {
      true => need,
      false => need + account.ahead_for(now, line),
    };
    let room = (ahead - account.ahead).max(need);
    let granted = wanted.min(room).min(level).max(0.0).floor();
    account.grant(now, granted);
    line.granted = granted;
    line.limit = line.used + granted as i64;
    let over_ms = match granted < need {
      true => account
        .window
        .falls_by(now, need - granted - level.max(0.0) + granted),
      false => 0,
    };
    Grant {
      id: one.id,
      limit: line.limit,
      over_ms: if granted < need {
        over_ms.max(1) as u32
      } else {
        0
      },
    }
  }

  /// What was granted to instances that are not heard of any more does not count, and goes
  /// back; those that were not heard of for a window are gone.
  fn lapse(&mut self, now: u64) {
    let accounts = &mut self.accounts;
    for instance in self.instances.values_mut() {
      if instance.lapsed || now <= instance.heard + SILENT_MS {
        continue;
      }
      instance.lapsed = true;
      for (id, line) in &mut instance.lines {
        if let Some(account) = accounts.get_mut(id) {
          account.take_back(now, line);
        }
        line.limit = line.used;
        line.granted = 0.0;
      }
    }
    if now >= self.forgot + FORGET_MS {
      self.forgot = now;
      self.forget_leaves(now);
    }
    let kept_ms = self.longest_ms;
    self
      .instances
      .retain(|_, instance| now < instance.heard + kept_ms.max(SILENT_MS));
  }

  /// Forgets leaves: there is one for each request that was in a crash.
  fn forget_leaves(&mut self, now: u64) {
    self
      .accounts
      .retain(|id, account| !id.is_permit() || account.window.sum(now) > 0.0);
    for instance in self.instances.values_mut() {
      let lines = &mut instance.lines;
      lines.retain(|id, line| !id.is_permit() || now < line.at + LEAVE_KEPT_MS);
    }
  }

  /// How much of a quota is used.
  pub fn standing(&mut self, now: u64, id: Id) -> Standing {
    let lines = self.instances.values();
    let lines = lines.filter_map(|instance| instance.lines.get(&id));
    let rate = lines.map(|line| line.faded(now)).sum();
    let account = self.accounts.get_mut(&id);
    let (used, ahead) = account.map_or((0.0, 0.0), |account| {
      (account.window.sum(now), account.ahead)
    });
    Standing { used, ahead, rate }
  }
}

impl Account {
  fn open(allowance: &Allowance) -> Self {
    Self {
      window: Window::new(allowance.bound.window_ms),
      ahead: 0.0,
      typical: 0.0,
      granted: 0.0,
    }
  }

  /// What a line was granted and did not use is free again; what it used without a grant
  /// counts.
  fn take_back(&mut self, now: u64, line: &Line) {
    let left = (line.limit - line.used) as f64;
    self.window.add(now, -left);
    self.ahead = (self.ahead - line.granted).max(0.0);
  }

  fn grant(&mut self, now: u64, units: f64) {
    self.window.add(now, units);
    self.ahead += units;
    self.granted += units;
  }

  fn learn(&mut self, need: f64) {
    if need > 0.0 {
      let weight = if self.typical > 0.0 { NEW } else { 1.0 };
      self.typical += (need - self.typical) * weight;
    }
  }

  /// Units that a line will need before its next report, one request's at least.
  fn ahead_for(&self, now: u64, line: &Line) -> f64 {
    let lately = line.faded(now) * AHEAD_MS / 1_000.0;
    lately.max(self.typical)
  }
}

impl Line {
  /// Takes up what was used since the last report.
  fn count(&mut self, now: u64, used: i64) {
    let added = (used - self.used).max(0) as f64;
    self.rate = self.faded(now) + added * std::f64::consts::LN_2 * 1_000.0 / HALF_MS;
    self.at = now;
    self.used = used;
  }

  fn faded(&self, now: u64) -> f64 {
    let elapsed = now.saturating_sub(self.at) as f64;
    self.rate * 0.5f64.powf(elapsed / HALF_MS)
  }
}
