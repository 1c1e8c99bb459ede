//! Fleet-wide usage of quotas, counted by the lease holder.
//!
//! For each quota the holder keeps the units used within the last window, as reported, and the units
//! granted and not used yet. Units count as used from the report that states them, which is later
//! than their use. So in any window all instances together use at most the sum of both, which stays
//! below the quota plus a part of the reserve. An instance that stops reporting may continue with an
//! equal share, so this share is not granted to others; units that it used beyond its grants count
//! once it reports again.

use super::{
  Allowance, Grant, Id, Use, promise::Promises, purse, reserve::Reserve, window::Window,
};
use std::collections::HashMap;

/// Time without a report after which an instance counts as silent and uses its own share. Its
/// grants expire earlier, `GRANT_MS` after the report that they answer.
const SILENT_MS: u64 = purse::GRANT_MS + 200;
/// Period for which units are granted ahead: reports come every half second, and a lost one must
/// not make requests wait.
const AHEAD_MS: f64 = 1_500.0;
/// Half-life of an instance's measured rate of use.
const RATE_HALF_LIFE_MS: f64 = 1_000.0;
/// Maximum number of published sums, 12 bytes each: those that use the largest fractions of their
/// quotas come first.
const MAX_SUMS: usize = 64;
/// Fraction of a window's quota below which nothing is granted ahead: the remaining units go to
/// instances where requests wait.
const SCARCE_FRACTION: f64 = 0.25;
/// Fraction of the reserve that may be used in addition to the quota: units count for longer than
/// necessary, and requests count while they wait for a server. Without it a customer is refused
/// before it has used its quota. The rest is for units that nobody reports.
const USED_FRACTION: f64 = 0.6;
/// How long an instance's use of a permit is kept: longer than a permit lasts.
const PERMIT_KEPT_MS: u64 = 15_000;
/// Interval at which unused permits are dropped.
const PERMIT_CLEANUP_MS: u64 = 1_000;
/// Time after a takeover by which each instance has reported.
const ALL_REPORTED_MS: u64 = 1_200;
/// Fraction of the unknown use that counts from then on: for instances that ended together with the
/// previous holder, or are cut off.
const UNREPORTED_FRACTION: f64 = 0.25;
/// Time after a takeover for which sums of the former holder are taken.
const FORMER_TAKEN_MS: u64 = 2 * ALL_REPORTED_MS;
/// Units used over a period count in this number of equal parts of it.
const SPREAD_PARTS: u64 = 8;
/// Longest time in ms until units fit that is stated.
const MAX_TIME_MS: u64 = 60_000;
/// Weight of a new request in the moving average of units that requests need.
const NEED_WEIGHT: f64 = 0.1;

/// Fleet-wide usage of a quota.
#[derive(Clone, Debug)]
struct Account {
  /// Units used.
  window: Window,
  /// Units granted and not used yet, over all instances.
  ahead: f64,
  /// Moving average of the units that reports request.
  typical_need: f64,
  /// Units granted since this holder took over.
  granted: f64,
  /// Units used since this holder took over.
  used: f64,
  /// Units that may have been used after the previous holder last published its sums.
  unknown: f64,
  /// `None` if grants need no record of the lease.
  reserve: Option<Reserve>,
  /// Units promised to callers that were refused.
  promises: Promises,
}

/// Usage of one quota by one instance.
#[derive(Clone, Debug, Default)]
struct Usage {
  used: i64,
  /// Units granted in response to the last report.
  granted: f64,
  /// Moving average in units per second, as of `updated_at`.
  rate: f64,
  updated_at: u64,
}

#[derive(Clone, Debug, Default)]
struct Instance {
  last_report_at: u64,
  /// Its grants have expired and were reclaimed.
  expired: bool,
  usages: HashMap<Id, Usage>,
}

/// How units of a quota are granted.
#[derive(Clone, Copy, Debug, Default)]
pub struct Terms {
  /// Units that were refused are promised for the time in the answer.
  pub promised: bool,
  /// No more is granted than the lease's record reserves.
  pub reserved: bool,
}

/// Fleet-wide usage of a quota, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Standing {
  /// Units used or granted within the window.
  pub used: f64,
  /// Units granted to instances and not used yet.
  pub ahead: f64,
  /// Moving average in units per second.
  pub rate: f64,
}

/// All accounts, and the usage reported by each instance.
#[derive(Clone, Debug, Default)]
pub struct Accounts {
  accounts: HashMap<Id, Account>,
  instances: HashMap<u64, Instance>,
  /// The process that last reported from each address.
  processes: HashMap<u64, u64>,
  /// When this holder took over, in ms, and whether it knows the usage before that.
  takeover: Option<(u64, bool)>,
  /// Units of each quota in the sums that it opened its accounts from, or got since.
  former: HashMap<Id, f64>,
  /// Those of quotas that are not known yet, with their time: an instance that has just started may take
  /// over before it knows the customers.
  unopened: HashMap<Id, Vec<(u64, Quarters)>>,
  /// Time up to which this holder knew the usage when it took over, in ms.
  known_until: Option<u64>,
  /// Whether grants wait for a record of the lease.
  needs_record: bool,
  /// Longest window of all reported quotas.
  longest_window_ms: u64,
  /// When unused permits were last dropped, in ms.
  last_cleanup_at: u64,
}

/// Units of each quota used within the last window, for the next holder.
pub type Sums = Vec<(Id, Quarters)>;

/// Units used in each quarter of a window, latest first.
pub type Quarters = [u32; 4];

impl Accounts {
  /// Creates the accounts of a holder that takes over now, from the sums as of an earlier time in
  /// ms; `None` if the earlier usage is unknown. The very first holder uses the default accounts.
  pub fn new(
    now: u64,
    sums: Option<(u64, &Sums)>,
    allow: impl Fn(Id) -> Option<Allowance>,
  ) -> Self {
    let mut accounts = Self {
      takeover: Some((now, sums.is_some())),
      known_until: sums.map(|(as_of, _)| as_of),
      ..Self::default()
    };
    let Some((as_of, sums)) = sums else {
      return accounts;
    };
    for (id, quarters) in sums {
      accounts.former.insert(*id, total(quarters));
      accounts.unopened.insert(*id, vec![(as_of, *quarters)]);
    }
    accounts.open_former(now, allow);
    accounts
  }

  /// Opens the accounts of quotas that the former holder counted and that are known by now.
  fn open_former(&mut self, now: u64, allow: impl Fn(Id) -> Option<Allowance>) {
    let accounts = &mut self.accounts;
    self.unopened.retain(|id, sums| {
      let Some(allowance) = allow(*id) else {
        return true;
      };
      let account = accounts.entry(*id);
      let account = account.or_insert_with(|| Account::open(&allowance));
      for (as_of, quarters) in sums {
        account.window.add_quarters(now, *as_of, quarters);
      }
      // The previous holder granted no more than this.
      let left = most(&allowance, allowance.window_units()) - account.window.sum(now);
      account.unknown = account.unknown.min(left.max(0.0));
      false
    });
  }

  /// Adds the units in sums that the former holder published after those that the accounts were opened from.
  /// Returns their number, over all quotas.
  pub fn add_former(
    &mut self,
    now: u64,
    as_of: u64,
    sums: &Sums,
    allow: impl Fn(Id) -> Option<Allowance>,
  ) -> f64 {
    let is_recent = |(since, _): (u64, bool)| now < since + FORMER_TAKEN_MS;
    if !self.takeover.is_some_and(is_recent) {
      return 0.0;
    }
    let mut added = 0.0;
    for (id, quarters) in sums {
      let known = self.former.entry(*id).or_default();
      let missing = (total(quarters) - *known).max(0.0);
      *known += missing;
      added += missing;
      let Some(allowance) = allow(*id) else {
        let unopened = self.unopened.entry(*id).or_default();
        unopened.push((as_of, [missing as u32, 0, 0, 0]));
        continue;
      };
      let account = self.accounts.entry(*id);
      let account = account.or_insert_with(|| Account::open(&allowance));
      account.window.add_at(now, as_of, missing);
    }
    added
  }

  /// Returns the units of each quota used within the last window, for the next holder.
  pub fn sums(&mut self, now: u64, allow: impl Fn(Id) -> Option<Allowance>) -> Sums {
    self.sums_with(now, allow, |_| 0.0)
  }

  /// Returns the same for publication: what the last record reserved counts as used.
  pub fn published_sums(&mut self, now: u64, allow: impl Fn(Id) -> Option<Allowance>) -> Sums {
    self.sums_with(now, allow, |account| {
      let reserve = account.reserve.as_ref();
      reserve.map_or(0.0, |reserve| reserve.unused(account.level()))
    })
  }

  /// Returns the same for a record of the lease, in which units that may be used before the next record
  /// count as used. Grants may use them after `finish_record`.
  pub fn start_record(&mut self, now: u64, allow: impl Fn(Id) -> Option<Allowance>) -> Sums {
    self.needs_record = false;
    self.sums_with(now, allow, |account| {
      let level = account.level();
      let reserve = account.reserve.as_mut();
      reserve.map_or(0.0, |reserve| reserve.start_record(level))
    })
  }

  /// Handles the end of the record that was started last.
  pub fn finish_record(&mut self, written: bool) {
    let accounts = self.accounts.values_mut();
    for reserve in accounts.filter_map(|account| account.reserve.as_mut()) {
      reserve.finish_record(written);
    }
  }

  /// Whether grants wait for a record of the lease.
  pub fn needs_record(&self) -> bool {
    self.needs_record
  }

  fn sums_with(
    &mut self,
    now: u64,
    allow: impl Fn(Id) -> Option<Allowance>,
    reserve: impl Fn(&mut Account) -> f64,
  ) -> Sums {
    self.open_former(now, &allow);
    let accounts = self.accounts.iter_mut();
    let mut sums: Vec<(f64, Id, Quarters)> = accounts
      .filter_map(|(id, account)| {
        let allowance = allow(*id)?;
        let reserved = reserve(account);
        let sum = account.window.sum(now) + account.ahead + reserved;
        let fraction = sum / allowance.window_units().max(1.0);
        let mut quarters = account.window.quarters(now);
        quarters[0] += account.ahead + reserved;
        let quarters = quarters.map(|units| units.max(0.0) as u32);
        (sum >= 1.0).then_some((fraction, *id, quarters))
      })
      .collect();
    // Quotas come before permits: losing the sum of a permit allows one more copy, losing that of a
    // quota allows everything that the quota bounds.
    sums.sort_by(|left, right| {
      let by_kind = left.1.is_permit().cmp(&right.1.is_permit());
      by_kind.then(right.0.total_cmp(&left.0))
    });
    sums.truncate(MAX_SUMS);
    let sums = sums.into_iter();
    sums.map(|(_, id, quarters)| (id, quarters)).collect()
  }

  /// Records the usage reported by an instance, identified by a number, and returns its grants.
  pub fn report(
    &mut self,
    now: u64,
    instance: u64,
    uses: &[Use],
    allow: impl Fn(Id) -> Option<Allowance>,
  ) -> Vec<Grant> {
    self.report_with_terms(now, instance, uses, allow, |_| Terms::default())
  }

  /// Like `report`, with terms for each quota.
  pub fn report_with_terms(
    &mut self,
    now: u64,
    instance: u64,
    uses: &[Use],
    allow: impl Fn(Id) -> Option<Allowance>,
    terms: impl Fn(Id) -> Terms,
  ) -> Vec<Grant> {
    self.expire(now);
    self.open_former(now, &allow);
    let reporter = self.instances.entry(instance).or_default();
    reporter.last_report_at = now;
    reporter.expired = false;
    let share = self.share(now);
    let grants = uses.iter().filter_map(|reported| {
      let allowance = allow(reported.id)?;
      // Grants are whole units, so at least one unit is allowed.
      let allowed = (allowance.window_units() * share).max(1.0);
      let terms = terms(reported.id);
      Some(self.process_use(now, instance, reported, (&allowance, allowed), terms))
    });
    grants.collect()
  }

  /// Records the process at an address. The one before it at the same address has ended: it uses no
  /// share of its own, and the units granted to it count as used. Returns the process that has ended.
  pub fn record_process(&mut self, now: u64, address: u64, instance: u64) -> Option<u64> {
    let previous = self.processes.insert(address, instance);
    let previous = previous.filter(|previous| *previous != instance)?;
    let Some(ended) = self.instances.remove(&previous) else {
      return Some(previous);
    };
    for (id, usage) in &ended.usages {
      if let Some(account) = self.accounts.get_mut(id) {
        account.reclaim(usage);
        account.add_used(now, usage.granted);
      }
    }
    Some(previous)
  }

  /// Fraction of a quota that may be granted, without the shares of silent instances.
  fn share(&self, now: u64) -> f64 {
    let silent = |instance: &&Instance| now > instance.last_report_at + SILENT_MS;
    let silent = self.instances.values().filter(silent).count();
    1.0 - silent as f64 / self.instances.len().max(1) as f64
  }

  /// Counts an instance's usage of a quota and grants it more units, within those allowed in a
  /// window.
  fn process_use(
    &mut self,
    now: u64,
    instance: u64,
    reported: &Use,
    (allowance, allowed): (&Allowance, f64),
    terms: Terms,
  ) -> Grant {
    let rate = allowance.quota.rate;
    self.longest_window_ms = self.longest_window_ms.max(allowance.bound.window_ms);
    let account = self
      .accounts
      .entry(reported.id)
      .or_insert_with(|| Account::open(allowance));
    let instance = self.instances.entry(instance).or_default();
    let is_known = instance.usages.contains_key(&reported.id);
    if !is_known {
      let from = self.known_until.unwrap_or(now);
      account.add_spread(now, from, reported.unreported.into());
      account.used += f64::from(reported.unreported);
    }
    let initial = Usage {
      used: reported.used,
      granted: 0.0,
      rate: 0.0,
      updated_at: now,
    };
    let usage = instance.usages.entry(reported.id).or_insert(initial);
    account.add_used(now, (reported.used - usage.used) as f64);
    account.reclaim(usage);
    usage.record(now, reported.used);
    let need = f64::from(reported.need);
    account.record_need(need);
    // Units granted for waiting requests are mostly used by now, and all units granted ahead may
    // be. Counting them as unused let 13 requests in 40 ms go to a server that accepts one in two
    // seconds. Those granted ahead stay below the used part of the reserve and cause no refusals.
    let max_ahead = purse::max_ahead(allowance);
    let mut available = most(allowance, allowed) - account.window.sum(now) - account.ahead;
    let is_recent = |(since, _): &(u64, bool)| now < since + allowance.bound.window_ms;
    if let Some((since, has_sums)) = self.takeover.filter(is_recent) {
      // By now each instance that still runs has reported what it used.
      available -= match now < since + ALL_REPORTED_MS {
        true => account.unknown,
        false => account.unknown * UNREPORTED_FRACTION,
      };
      let elapsed = (now - since) as f64 / 1_000.0;
      if !has_sums {
        available = available.min(rate * elapsed - account.granted);
      }
    }
    let wanted = match available < allowed * SCARCE_FRACTION {
      true => need,
      false => need + account.ahead_for(now, usage),
    };
    let headroom = (max_ahead - account.ahead).max(need);
    let granted = wanted.min(headroom).min(available).max(0.0).floor();
    let fits = granted >= need;
    let level = account.level();
    let reserve = terms.reserved.then(|| account.reserve(allowance));
    let reserved = reserve
      .as_ref()
      .map_or(f64::INFINITY, |reserve| reserve.left(now, level).floor());
    let is_short = reserved < granted.min(need);
    if let Some(reserve) = reserve.filter(|_| is_short) {
      reserve.record_short(now);
      self.needs_record = true;
    }
    let granted = granted.min(reserved);
    account.grant(granted);
    usage.granted = granted;
    // A request whose units wait for a record is not refused, and asks again.
    let over_ms = match !fits && !is_short {
      true => {
        let missing = need - available;
        let over_ms = account.time_until_free(now, rate, missing, terms.promised);
        if terms.promised {
          account.promises.add(now + over_ms, need - granted);
        }
        over_ms.max(1) as u32
      }
      false => 0,
    };
    Grant {
      id: reported.id,
      limit: usage.used + granted as i64,
      over_ms,
    }
  }

  /// Reclaims the grants of silent instances, and drops instances that have not reported for a
  /// window.
  fn expire(&mut self, now: u64) {
    let accounts = &mut self.accounts;
    for instance in self.instances.values_mut() {
      if instance.expired || now <= instance.last_report_at + SILENT_MS {
        continue;
      }
      instance.expired = true;
      for (id, usage) in &mut instance.usages {
        if let Some(account) = accounts.get_mut(id) {
          account.reclaim(usage);
        }
        usage.granted = 0.0;
      }
    }
    if now >= self.last_cleanup_at + PERMIT_CLEANUP_MS {
      self.last_cleanup_at = now;
      self.drop_unused_permits(now);
    }
    let kept_ms = self.longest_window_ms;
    self
      .instances
      .retain(|_, instance| now < instance.last_report_at + kept_ms.max(SILENT_MS));
  }

  /// Drops unused permits: there is one for each request that was in a crash.
  fn drop_unused_permits(&mut self, now: u64) {
    self
      .accounts
      .retain(|id, account| !id.is_permit() || account.window.sum(now) + account.ahead > 0.0);
    for instance in self.instances.values_mut() {
      let usages = &mut instance.usages;
      usages.retain(|id, usage| !id.is_permit() || now < usage.updated_at + PERMIT_KEPT_MS);
    }
  }

  /// Returns the fleet-wide usage of a quota.
  pub fn standing(&mut self, now: u64, id: Id) -> Standing {
    let usages = self.instances.values();
    let usages = usages.filter_map(|instance| instance.usages.get(&id));
    let rate = usages.map(|usage| usage.decayed_rate(now)).sum();
    let account = self.accounts.get_mut(&id);
    let (used, ahead) = account.map_or((0.0, 0.0), |account| {
      (account.window.sum(now) + account.ahead, account.ahead)
    });
    Standing { used, ahead, rate }
  }
}

fn total(quarters: &Quarters) -> f64 {
  quarters.iter().copied().map(f64::from).sum()
}

/// Units that may be used within a window and granted ahead, where the quota allows `allowed`.
fn most(allowance: &Allowance, allowed: f64) -> f64 {
  allowed + allowance.reserve() * USED_FRACTION
}

impl Account {
  fn open(allowance: &Allowance) -> Self {
    Self {
      window: Window::new(allowance.bound.window_ms),
      ahead: 0.0,
      typical_need: 0.0,
      granted: 0.0,
      used: 0.0,
      reserve: None,
      unknown: allowance.quota.rate * purse::UNKNOWN_USE_S,
      promises: Promises::default(),
    }
  }

  /// Adds units that were used since a time, in ms, evenly up to now.
  fn add_spread(&mut self, now: u64, from: u64, units: f64) {
    let span = now.saturating_sub(from);
    for part in 0..SPREAD_PARTS {
      let at = now - span * part / SPREAD_PARTS;
      self.window.add_at(now, at, units / SPREAD_PARTS as f64);
    }
  }

  /// Time in ms until this number of units fits that is missing now, after those promised before.
  fn time_until_free(&mut self, now: u64, rate: f64, missing: f64, promise: bool) -> u64 {
    let promised = match promise {
      true => self.promises.outstanding(now),
      false => 0.0,
    };
    let used = self.window.sum(now);
    let later = (missing + promised - used).max(0.0) / rate.max(f64::MIN_POSITIVE);
    let later_ms = (later * 1_000.0).min(MAX_TIME_MS as f64) as u64;
    self.window.time_until_reduced(now, missing + promised) + later_ms
  }

  /// The reserve of a quota whose grants need a record of the lease.
  fn reserve(&mut self, allowance: &Allowance) -> &mut Reserve {
    self
      .reserve
      .get_or_insert_with(|| Reserve::new(allowance.window_units()))
  }

  /// Units used and granted since this holder took over.
  fn level(&self) -> f64 {
    self.used + self.ahead
  }

  /// Counts units that were used now; a negative number refunds units.
  fn add_used(&mut self, now: u64, units: f64) {
    self.window.add(now, units);
    self.used += units;
  }

  /// Takes back the units granted to an instance: those that it used count as such.
  fn reclaim(&mut self, usage: &Usage) {
    self.ahead = (self.ahead - usage.granted).max(0.0);
  }

  fn grant(&mut self, units: f64) {
    self.ahead += units;
    self.granted += units;
  }

  fn record_need(&mut self, need: f64) {
    if need > 0.0 {
      let weight = if self.typical_need > 0.0 {
        NEED_WEIGHT
      } else {
        1.0
      };
      self.typical_need += (need - self.typical_need) * weight;
    }
  }

  /// Units that an instance is expected to need before its next report, at least those of one
  /// request.
  fn ahead_for(&self, now: u64, usage: &Usage) -> f64 {
    let expected = usage.decayed_rate(now) * AHEAD_MS / 1_000.0;
    expected.max(self.typical_need)
  }
}

impl Usage {
  /// Records the units used since the last report.
  fn record(&mut self, now: u64, used: i64) {
    let added = (used - self.used).max(0) as f64;
    self.rate =
      self.decayed_rate(now) + added * std::f64::consts::LN_2 * 1_000.0 / RATE_HALF_LIFE_MS;
    self.updated_at = now;
    self.used = used;
  }

  fn decayed_rate(&self, now: u64) -> f64 {
    let elapsed = now.saturating_sub(self.updated_at) as f64;
    self.rate * 0.5f64.powf(elapsed / RATE_HALF_LIFE_MS)
  }
}
