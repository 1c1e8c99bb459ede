//! Customers' quotas and servers' limits of waiting requests.

use super::{State, event::Effect};
use crate::{
  limit::Limits,
  quota::{self, Allowance, Balances, Decision, Use},
  refusal::{Reason, Refusal},
  request::Ticket,
};
use std::collections::HashMap;

impl State {
  /// Charges a request to its customer's quota. Returns whether it may proceed now.
  pub(super) fn charge_quota(&mut self, ticket: Ticket) -> bool {
    let now = self.now;
    let customers = self.deployment.as_ref();
    let customers = customers.and_then(|deployment| deployment.customers.clone());
    let Some(request) = self.requests.get_mut(&ticket) else {
      return false;
    };
    let quota = match (request.quota_charged, request.descriptor.caller, customers) {
      (false, Some(caller), Some(book)) => {
        let customer = book.get(caller.customer);
        customer.and_then(|customer| Some((caller, customer.quota?)))
      }
      _ => None,
    };
    let Some((caller, quota)) = quota else {
      request.quota_charged = true;
      return true;
    };
    let allowance = Allowance {
      quota,
      bound: self.quota_bound,
    };
    let customer = (caller.customer, &allowance);
    let requested_at = request.quota_requested_at;
    match self
      .quotas
      .acquire(now, customer, caller.cost, requested_at, self.instances)
    {
      Decision::Granted => {
        request.quota_charged = true;
        true
      }
      Decision::Pending(until) => {
        let new = request.quota_requested_at.is_none();
        request.quota_requested_at.get_or_insert(now);
        let until = until
          .min(request.descriptor.deadline)
          .min(now + quota::GRANT_RETRY_MS);
        self.enqueue(ticket, until);
        if new {
          self.out.push(Effect::RequestQuota);
        }
        false
      }
      Decision::Exceeded(shortage) => {
        let returns = self.features.returns;
        if returns {
          let (id, cost) = (caller.customer, caller.cost);
          self.quotas.promise(id, cost, quota.rate, self.instances);
        }
        // A caller that would come back too late is not invited.
        let in_time = now + shortage.retry_after < request.descriptor.deadline;
        let retry_after = (!returns || in_time).then_some(shortage.retry_after);
        let refusal = Refusal {
          reason: Reason::QuotaExceeded,
          verdict: request.verdict,
          retry_after,
          shortage: Some(shortage),
        };
        self.out.push(Effect::Refuse(ticket, refusal));
        self.forget(ticket);
        false
      }
    }
  }

  /// Whether any request waits for a unit of a limit or for a permit.
  pub fn needs_units(&self) -> bool {
    let mut waiting = self.waiting_requests();
    waiting.any(|request| request.pending_unit.is_some())
  }

  /// Quota units that this instance uses and needs, for the lease holder.
  pub fn uses(&mut self, now: u64) -> Vec<Use> {
    let needs = self.needs();
    self.quotas.uses(now, &needs)
  }

  /// Units and slots that waiting requests need.
  pub(crate) fn needs(&self) -> HashMap<quota::Id, u32> {
    let mut needs: HashMap<quota::Id, u32> = HashMap::new();
    for request in self.waiting_requests() {
      if let (false, Some(caller)) = (request.quota_charged, request.descriptor.caller) {
        *needs.entry(caller.customer).or_default() += caller.cost;
      }
      if let Some((id, _)) = request.pending_unit {
        *needs.entry(id).or_default() += 1;
      }
    }
    needs
  }

  /// The limits that servers have announced, as known to this instance.
  pub fn limits(&self) -> &Limits {
    &self.limits
  }

  /// Sets the bound on customers' quotas that all instances together keep.
  pub fn set_quota_bound(&mut self, bound: quota::Bound) {
    self.quota_bound = bound;
  }

  /// The quota state of this instance.
  pub fn quotas(&self) -> &Balances {
    &self.quotas
  }

  /// Lets a request wait for the requested unit of a server's limit.
  pub(super) fn wait_for_unit(&mut self, ticket: Ticket, until: u64) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let until = until
      .min(request.descriptor.deadline)
      .min(self.now + quota::GRANT_RETRY_MS);
    self.enqueue(ticket, until);
  }
}
