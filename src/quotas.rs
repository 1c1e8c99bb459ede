//! Enforces quotas of customers and limits of servers over all instances: each instance reports its
//! usage and needs to the lease holder, and receives grants.
//!
//! The holder's answer also confirms the API keys that an instance knows: it states the deployment
//! revision that the holder has reached, as of the time of the report. So a datagram that waited in
//! the socket of a suspended process does not make outdated keys look confirmed.

use crate::{
  concurrency::Ledger,
  crash::permit,
  customer::{Directory, Standing},
  dispatch::Event,
  hub::lock,
  lease::Lease,
  limit::Limits,
  message::{Grants, Message, Uses},
  planner::Planner,
  quota::{Accounts, Allowance, Bound, Grant, Id, Terms, Use},
};
use slog::info;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum interval between reports, with up to 160 instances: units granted ahead last for
/// 1,500 ms.
const MIN_REPORT_INTERVAL_MS: u64 = 500;
/// Report interval per instance: the holder answers each report, and with 295 instances would
/// otherwise answer 1,200 times per second.
const REPORT_INTERVAL_PER_INSTANCE_MS: u64 = 3;
/// Maximum interval between reports, which also applies to an instance without any use: known keys
/// stay valid for four seconds, and two reports may be lost.
const MAX_REPORT_INTERVAL_MS: u64 = 1_000;
/// Interval at which customers' standings are updated for operators.
const STANDINGS_INTERVAL_MS: u64 = 1_000;
/// Fraction of a window's quota from which a customer's usage is logged.
const NEAR_QUOTA: f64 = 0.8;
/// Number of customers that are checked for this.
const MAX_NEAR_QUOTA_CHECKS: usize = 32;
/// Allowances of customers, of permits and of servers with a limit.
pub(crate) struct Allowances {
  pub(crate) directory: Option<Arc<Directory>>,
  /// Whether the deployment is known, and with it whether there are customers.
  pub(crate) deployed: bool,
  bound: Bound,
  limits: Limits,
  returns: bool,
}

impl Allowances {
  /// How units of this quota are granted. The use of customers outlasts all instances; what servers
  /// announced does not.
  fn terms(&self, id: Id) -> Terms {
    let customer = self
      .directory
      .as_ref()
      .and_then(|directory| directory.get(id));
    let is_customer = customer.is_some();
    Terms {
      promised: self.returns && is_customer,
      reserved: is_customer,
    }
  }

  pub(crate) fn get(&self, id: Id) -> Option<Allowance> {
    let customer = self
      .directory
      .as_ref()
      .and_then(|directory| directory.get(id));
    let of_customer = customer.map(|customer| {
      let bound = self.bound;
      customer.quota.map(|quota| Allowance { quota, bound })
    });
    of_customer.unwrap_or_else(|| permit::allowance(id).or_else(|| self.limits.allowance(id)))
  }
}

impl Planner {
  /// Reports usage and needs if a report is due. `woken` means that units may be needed before
  /// that.
  pub(crate) fn report_uses(&mut self, woken: bool) {
    let now = self.hub.now();
    let statements_due = self.reported_statements.due().is_some_and(|due| now >= due);
    if !woken && !statements_due && now < self.next_uses_report_at {
      return;
    }
    let (uses, next_request_at, has_limits, permits_released, needs_units) = {
      let mut state = self.hub.state();
      let instances = state.instances;
      if state.brittle.any()
        && let Some(until) = state.slot_reports.wait_until(now, instances)
      {
        self.next_uses_report_at = until;
        return;
      }
      let slots_released = std::mem::take(&mut state.slot_reports.released);
      let permits_released = state.take_permits_released() || slots_released;
      let deployment = state.deployment.as_ref();
      let has_customers = deployment.is_some_and(|deployment| deployment.customers.is_some());
      let has_limits = state.limits.any() || state.brittle.any();
      let needs_units = state.needs_units();
      let has_unit_needs = permits_released || needs_units;
      if !has_customers && !has_limits && !has_unit_needs && !statements_due {
        self.next_uses_report_at = now + MAX_REPORT_INTERVAL_MS;
        return;
      }
      (
        state.uses(now),
        state.quotas().next_request_at(),
        has_limits,
        permits_released,
        needs_units,
      )
    };
    let has_needs = needs_units || uses.iter().any(|usage| usage.need > 0);
    if now < self.next_uses_report_at && !has_needs && !statements_due && !permits_released {
      return;
    }
    let interval = match uses.is_empty() && !has_limits {
      true => MAX_REPORT_INTERVAL_MS,
      false => self.report_interval(),
    };
    self.next_uses_report_at = match has_needs {
      true => next_request_at.max(now + 1),
      false => now + interval,
    };
    let slot_uses = self.hub.state().slot_uses(now);
    self.send_uses(now, slot_uses.into_iter().chain(uses).collect());
  }

  fn report_interval(&self) -> u64 {
    let instances = self.members.len() as u64;
    (instances * REPORT_INTERVAL_PER_INSTANCE_MS)
      .clamp(MIN_REPORT_INTERVAL_MS, MAX_REPORT_INTERVAL_MS)
  }

  fn send_uses(&mut self, now: u64, uses: Vec<Use>) {
    let statements = self.statements_for(now, &uses);
    let Some(group) = self.groups.first() else {
      return;
    };
    if group.holds_lease {
      let grants = self.record_uses(now, self.own_address, self.process, &uses);
      let sent = now;
      self.hub.apply(Event::Granted { sent, grants }, None);
      if let Some(directory) = self.directory() {
        self.update_standings(now, &directory);
      }
      return;
    }
    let Some(holder) = group
      .lease
      .holder()
      .filter(|holder| *holder != self.own_address)
    else {
      return;
    };
    let statements = self.send_new_statements(statements, holder);
    let uses = Uses {
      process: self.process,
      sent: now,
      uses,
      statements,
    };
    self.send_former_sums(now, holder);
    self.send(&Message::Uses(uses), &[holder]);
  }

  fn record_uses(&mut self, now: u64, from: SocketAddr, process: u64, uses: &[Use]) -> Vec<Grant> {
    let address = from.to_string();
    let instance = xxh3_64_with_seed(address.as_bytes(), process);
    let ended =
      self
        .accounts
        .record_process(now, xxh3_64_with_seed(address.as_bytes(), 0), instance);
    if let Some(ended) = ended {
      self.slots.remove(ended);
    }
    self.slots.record_reporter(now, instance);
    let allowances = self.allowances();
    let mut grants = self.record_slots(now, instance, uses, &allowances);
    let allow = |id| allowances.get(id);
    let terms = |id| allowances.terms(id);
    let of_quotas = self
      .accounts
      .report_with_terms(now, instance, uses, allow, terms);
    grants.extend(of_quotas);
    if self.accounts.needs_record()
      && let Some(group) = self.groups.first_mut()
    {
      group.lease.renew_early();
    }
    grants
  }

  /// Records what an instance runs on brittle servers, and grants it slots.
  fn record_slots(
    &mut self,
    now: u64,
    instance: u64,
    uses: &[Use],
    allowances: &Allowances,
  ) -> Vec<Grant> {
    let others = uses.iter().filter(|used| allowances.get(used.id).is_none());
    let others: Vec<&Use> = others.collect();
    if others.is_empty() {
      return Vec::new();
    }
    let slots = self.hub.state().slots_by_id();
    self.slots.prune(now);
    let grants = others.into_iter().filter_map(|used| {
      let slots = slots.get(&used.id)?;
      Some(self.slots.report(now, instance, used, *slots))
    });
    grants.collect()
  }

  /// Answers an instance's report with grants.
  pub(crate) fn receive_uses(&mut self, now: u64, uses: &Uses, from: SocketAddr) {
    let holds_lease = self.groups.first().is_some_and(|group| group.holds_lease);
    if !holds_lease {
      return;
    }
    // Applies the statements first, so that units of a server whose limit only that instance knows
    // are granted too.
    self.receive_statements(uses.statements.clone());
    let grants = self.record_uses(now, from, uses.process, &uses.uses);
    let gate = &self.hub.gates.deployments;
    let Some(sure_age) = gate.guaranteed_age() else {
      return;
    };
    let answer = Grants {
      sent: uses.sent,
      deployments: gate.progress(),
      sure_ms: sure_age.as_millis() as u64,
      grants,
    };
    self.send(&Message::Grants(answer), &[from]);
  }

  /// Applies the holder's answer.
  pub(crate) fn receive_grants(&mut self, answer: Grants) {
    let gate = &self.hub.gates.deployments;
    let sent = self.hub.instant(answer.sent);
    gate.record_peer_confirmation(
      sent,
      answer.deployments,
      Duration::from_millis(answer.sure_ms),
    );
    let event = Event::Granted {
      sent: answer.sent,
      grants: answer.grants,
    };
    self.hub.apply(event, None);
  }

  /// Creates the accounts of a holder that has acquired the lease.
  ///
  /// `first` means that there was none before it.
  pub(crate) fn open_accounts(&mut self, now: u64, term: u64, first: bool) {
    if first {
      // Nothing was used before the very first holder.
      self.accounts = Accounts::default();
      self.slots = Ledger::default();
      return;
    }
    self.slots = self.new_ledger(now);
    let known = self.known_sums.as_ref();
    info!(self.hub.log, "accounts opened"; "term" => term,
      "customers" => known.map(|known| known.sums.len()), "instances" => self.slots.expected_instances(now),
      "age_ms" => known.map(|known| now.saturating_sub(known.as_of)),
      "published" => known.map(|known| known.published));
    let sums = known.map(|known| (known.as_of, &known.sums));
    let allowances = self.allowances();
    let allow = |id| allowances.get(id);
    self.accounts = Accounts::new(now, sums, allow);
    // The former holder may have used what its last record reserved, after it published its sums.
    if let Some(record) = &self.recorded_sums {
      let added = self
        .accounts
        .add_former(now, record.as_of, &record.sums, allow);
      info!(self.hub.log, "reserved units added"; "units" => added as u64);
    }
  }

  fn new_ledger(&self, now: u64) -> Ledger {
    let lease = self.groups.first().map(|group| &group.lease);
    let instances = lease.map_or(0, Lease::listed_machines);
    let last_grant_at = lease.and_then(Lease::foreign_orders_until).unwrap_or(now);
    Ledger::new(now, last_grant_at, instances)
  }

  fn directory(&self) -> Option<Arc<Directory>> {
    let state = self.hub.state();
    state.deployment.as_ref()?.customers.clone()
  }

  pub(crate) fn allowances(&self) -> Allowances {
    let state = self.hub.state();
    let deployment = state.deployment.as_ref();
    Allowances {
      deployed: deployment.is_some(),
      directory: deployment.and_then(|deployment| deployment.customers.clone()),
      bound: self.quota_bound,
      limits: state.limits.clone(),
      returns: state.features.returns,
    }
  }

  fn update_standings(&mut self, now: u64, directory: &Directory) {
    if now < self.next_standings_write_at {
      return;
    }
    self.next_standings_write_at = now + STANDINGS_INTERVAL_MS;
    let customers = directory.all().iter();
    let accounts = &mut self.accounts;
    let standings: Vec<Standing> = customers
      .map(|customer| Standing {
        name: customer.name.clone(),
        fleet_usage: accounts.standing(now, Id::for_customer(&customer.name)),
        quota: customer.quota,
      })
      .collect();
    for standing in standings.iter().take(MAX_NEAR_QUOTA_CHECKS) {
      let Some(quota) = standing.quota else {
        continue;
      };
      let allowed = self.quota_bound.window_units(&quota);
      let name = &standing.name;
      let usage = standing.fleet_usage;
      if usage.used >= allowed * NEAR_QUOTA {
        info!(self.hub.log, "customer is near its quota"; "customer" => name,
          "used" => usage.used as u64, "allowed" => allowed as u64, "ahead" => usage.ahead as u64,
          "rate" => usage.rate as u64);
      }
    }
    *lock(&self.hub.standings) = standings;
  }
}
