//! How quotas of customers and limits of servers are kept over all instances: each reports to the
//! holder of the lease what it has used and needs, and gets back how far it may go.
//!
//! The same answer confirms what an instance knows of keys: it names how far the holder has
//! followed the deployment, as of the question. So a datagram that waited in the socket of a
//! process that stood still makes no key look known.

use crate::{
  crash::permit,
  customer::{Directory, Standing},
  dispatch::Event,
  hub::lock,
  limit::Limits,
  message::{Grants, Message, Uses},
  planner::Planner,
  quota::{Accounts, Allowance, Bound, Grant, Id, Sums, Use},
};
use serde_json::{Value, json};
use slog::info;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Uses are reported this often, ms, with up to 160 instances: what is granted ahead lasts for
/// 1,500.
const REPORT_MS: u64 = 500;
/// And this much less often with each further one, ms: the holder answers each, and with 295
/// instances would 1,200 times a second.
const REPORT_INSTANCE_MS: u64 = 3;
/// But so often at least, ms: what is known of keys counts for four seconds, and two reports
/// may be lost. An instance without any use asks as often.
const REPORT_MOST_MS: u64 = 1_000;
/// Customers' standings are written down for operators this often, ms.
const STANDINGS_MS: u64 = 1_000;
/// A customer that used this part of its quota within a window is logged, and so many are
/// looked at.
const NEAR: f64 = 0.8;
const NEAR_LINES: usize = 32;
/// What customers used is published this often, ms.
const SUMS_MS: u64 = 500;
/// What the last holder published counts before what lies in the store for so long, ms.
const SUMS_FRESH_MS: u64 = 10_000;
/// The field of the lease's record that keeps it.
const SUMS_FIELD: &str = "sums";

/// What customers may use, and servers in need may be sent.
struct Allowances {
  book: Option<Arc<Directory>>,
  bound: Bound,
  limits: Limits,
}

impl Allowances {
  fn get(&self, id: Id) -> Option<Allowance> {
    let customer = self.book.as_ref().and_then(|book| book.get(id));
    let own = customer.map(|customer| {
      let bound = self.bound;
      customer.quota.map(|quota| Allowance { quota, bound })
    });
    own.unwrap_or_else(|| permit::allowance(id).or_else(|| self.limits.allowance(id)))
  }
}

impl Planner {
  /// Reports what is used of quotas and needed, where that is due.
  pub(crate) fn report_uses(&mut self, wanted: bool) {
    let now = self.hub.now();
    let said = self.reported_statements.due().is_some_and(|due| now >= due);
    if !wanted && !said && now < self.next_uses_report_at {
      return;
    }
    let (uses, ask_at, limited, freed) = {
      let mut state = self.hub.state();
      let freed = state.take_permits_released();
      let keyed = state.deployment.as_ref();
      let keyed = keyed.is_some_and(|deployment| deployment.customers.is_some());
      let limited = state.limits.any();
      let waits = freed || state.needs_units();
      if !keyed && !limited && !waits && !said {
        self.next_uses_report_at = now + REPORT_MOST_MS;
        return;
      }
      (
        state.uses(now),
        state.quotas().next_request_at(),
        limited,
        freed,
      )
    };
    let needed = uses.iter().any(|one| one.need > 0);
    if now < self.next_uses_report_at && !needed && !said && !freed {
      return;
    }
    let pause = match uses.is_empty() && !limited {
      true => REPORT_MOST_MS,
      false => self.report_pause(),
    };
    self.next_uses_report_at = match needed {
      true => ask_at.max(now + 1),
      false => now + pause,
    };
    self.send_uses(now, uses);
  }

  fn report_pause(&self) -> u64 {
    let instances = self.members.len() as u64;
    (instances * REPORT_INSTANCE_MS).clamp(REPORT_MS, REPORT_MOST_MS)
  }

  fn send_uses(&mut self, now: u64, uses: Vec<Use>) {
    let statements = self.statements_for(now, &uses);
    let Some(group) = self.groups.first() else {
      return;
    };
    if group.holds_lease {
      let grants = self.account(now, self.own_address, self.process, &uses);
      let sent = now;
      self.hub.apply(Event::Granted { sent, grants }, None);
      if let Some(book) = self.book() {
        self.note_standings(now, &book);
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
    let uses = Uses {
      process: self.process,
      sent: now,
      uses,
      statements,
    };
    self.send(&Message::Uses(uses), &[holder]);
  }

  fn account(&mut self, now: u64, from: SocketAddr, process: u64, uses: &[Use]) -> Vec<Grant> {
    let instance = xxh3_64_with_seed(from.to_string().as_bytes(), process);
    let allowances = self.allowances();
    let allow = |id| allowances.get(id);
    self.accounts.report(now, instance, uses, allow)
  }

  /// Answers an instance that reports its uses.
  pub(crate) fn receive_uses(&mut self, now: u64, uses: &Uses, from: SocketAddr) {
    let holding = self.groups.first().is_some_and(|group| group.holds_lease);
    if !holding {
      return;
    }
    // The units of a server that only this instance knows of are granted too.
    self.hear_statements(uses.statements.clone());
    let grants = self.account(now, from, uses.process, &uses.uses);
    let gate = &self.hub.gates.deployments;
    let Some(sure) = gate.sure_age() else {
      return;
    };
    let answer = Grants {
      sent: uses.sent,
      deployments: gate.progress(),
      sure_ms: sure.as_millis() as u64,
      grants,
    };
    self.send(&Message::Grants(answer), &[from]);
  }

  /// Takes up the holder's answer.
  pub(crate) fn receive_grants(&mut self, answer: Grants) {
    let gate = &self.hub.gates.deployments;
    let asked = self.hub.instant(answer.sent);
    gate.vouch(
      asked,
      answer.deployments,
      Duration::from_millis(answer.sure_ms),
    );
    let event = Event::Granted {
      sent: answer.sent,
      grants: answer.grants,
    };
    self.hub.apply(event, None);
  }

  /// What was used of quotas within their last windows, as this holder counted it; none: it is
  /// not due to be published. That nothing was used is published too: the next holder knows it.
  pub(crate) fn due_sums(&mut self, now: u64) -> Option<Sums> {
    if now < self.next_sums_publish_at {
      return None;
    }
    self.next_sums_publish_at = now + SUMS_MS;
    let allowances = self.allowances();
    Some(self.accounts.sums(now, |id| allowances.get(id)))
  }

  /// Adds them to a record of the lease: after a loss of all instances nobody else knows them.
  pub(crate) fn with_sums(&mut self, now: u64, mut record: Value) -> Value {
    let allowances = self.allowances();
    if allowances.book.is_none() {
      // After a loss of all instances nobody knows of a server's limit, and it is named anew.
      return record;
    }
    let sums = self.accounts.sums(now, |id| allowances.get(id));
    if let Some(fields) = record.as_object_mut() {
      fields.insert(SUMS_FIELD.into(), json!(sums));
    }
    record
  }

  /// Takes up the sums in a record of the lease that was read, where the holder's own were not
  /// heard lately.
  pub(crate) fn read_sums(&mut self, now: u64, record: &Value) {
    let fresh = |(heard, _): &(u64, Sums)| now < heard + SUMS_FRESH_MS;
    if self.known_sums.as_ref().is_some_and(fresh) {
      return;
    }
    // A record of another writer, or of before, has none.
    let sums = record.get(SUMS_FIELD);
    let sums = sums.and_then(|sums| serde_json::from_value::<Sums>(sums.clone()).ok());
    if let Some(sums) = sums {
      self.hub.apply(Event::QuotaUsage(sums.clone()), None);
      self.known_sums = Some((now, sums));
    }
  }

  /// Opens the accounts of a holder that has taken the lease.
  pub(crate) fn open_accounts(&mut self, now: u64, term: u64, first: bool) {
    if first {
      // The first holder ever: nothing was used.
      self.accounts = Accounts::default();
      return;
    }
    let known = self.known_sums.as_ref();
    let sums = known.map(|(heard, sums)| (*heard, sums));
    info!(self.hub.log, "accounts opened"; "term" => term,
      "customers" => sums.map(|(_, sums)| sums.len()),
      "age_ms" => sums.map(|(heard, _)| now.saturating_sub(heard)));
    let allowances = self.allowances();
    self.accounts = Accounts::new(now, sums, |id| allowances.get(id));
  }

  fn book(&self) -> Option<Arc<Directory>> {
    let state = self.hub.state();
    state.deployment.as_ref()?.customers.clone()
  }

  fn allowances(&self) -> Allowances {
    let state = self.hub.state();
    let deployment = state.deployment.as_ref();
    Allowances {
      book: deployment.and_then(|deployment| deployment.customers.clone()),
      bound: self.quota_bound,
      limits: state.limits.clone(),
    }
  }

  fn note_standings(&mut self, now: u64, book: &Directory) {
    if now < self.next_standings_write_at {
      return;
    }
    self.next_standings_write_at = now + STANDINGS_MS;
    let customers = book.all().iter();
    let accounts = &mut self.accounts;
    let standings: Vec<Standing> = customers
      .map(|customer| Standing {
        name: customer.name.clone(),
        over_fleet: accounts.standing(now, Id::for_customer(&customer.name)),
        quota: customer.quota,
      })
      .collect();
    for one in standings.iter().take(NEAR_LINES) {
      let Some(quota) = one.quota else {
        continue;
      };
      let allowed = self.quota_bound.window(&quota);
      let name = &one.name;
      let one = one.over_fleet;
      if one.used >= allowed * NEAR {
        info!(self.hub.log, "customer is near its quota"; "customer" => name,
          "used" => one.used as u64, "allowed" => allowed as u64, "ahead" => one.ahead as u64,
          "rate" => one.rate as u64);
      }
    }
    *lock(&self.hub.standings) = standings;
  }
}
