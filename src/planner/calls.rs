//! Calls to the store and to servers that run on other threads, and their results.

use super::{Completion, Planner};
use crate::{
  command::{Command, Inventory, Unheard},
  edge::Edge,
  life::Life,
  policy::Policy,
  pool::Pool,
  store, stored,
};
use serde::Serialize;
use slog::{info, warn};
use std::{collections::BTreeMap, net::SocketAddr};

impl Planner {
  /// Runs a call on a thread of a pool, and has its result processed by the planner thread.
  pub(crate) fn run_call(
    &self,
    pool: &Pool,
    call: impl FnOnce(&Edge) -> Completion + Send + 'static,
  ) {
    let edge = self.edge.clone();
    let completion_sender = self.completion_sender.clone();
    let waker = self.waker.clone();
    pool.run(move || {
      let completion = call(&edge);
      // The planner thread runs as long as the process, so the receiver exists.
      let _ = completion_sender.send(completion);
      waker.wake();
    });
  }

  pub(super) fn process_completions(&mut self) {
    while let Ok(completion) = self.completions.try_recv() {
      let now = self.hub.now();
      match completion {
        Completion::Lease(index, call, result) => self.finish_lease_call(now, index, &call, result),
        Completion::Ordered(index, command, reply) => {
          self
            .hub
            .apply_hints(command.life(), &command.id, now, &reply.hints);
          let taken = reply.outcome;
          info!(self.hub.log, "ordered"; "server" => &command.id,
            "act" => format!("{:?}", command.act), "model" => &command.model.name,
            "adapter" => &command.model.adapter, "orders" => command.orders,
            "term" => command.term, "taken" => format!("{taken:?}"));
          self.hub.measures.record_order(command.act, taken);
          self.groups[index]
            .plan
            .record_order_result(now, &command, taken);
        }
        Completion::Policies(objects) => self.finish_policies_read(now, objects),
        Completion::Builds(call, result, since) => {
          self.finish_builds_call(now, &call, result, since);
        }
        Completion::BuildsConfirmed(as_of, result) => self.finish_confirmation(as_of, result),
        Completion::Quarantine(call, result) => self.finish_quarantine_call(now, &call, result),
        Completion::Queried(index, id, reply) => {
          let inventory = reply.outcome;
          let life = self.life_of(&id, &inventory);
          self.hub.apply_hints(life, &id, now, &reply.hints);
          if let Err(error) = &inventory {
            info!(self.hub.log, "server returned no inventory"; "server" => &id,
              "why" => format!("{error:?}"));
          }
          self.groups[index]
            .plan
            .receive_inventory(now, &id, inventory);
        }
      }
    }
  }

  /// The life that a queried server stated in its inventory; without one, the last known life.
  fn life_of(&self, id: &str, inventory: &Result<Inventory, Unheard>) -> Life {
    if let Ok(inventory) = inventory {
      return Life::of(id, inventory.born);
    }
    let state = self.hub.state();
    let known = state.listed_backend(id);
    known.map_or(Life::of(id, 0), |backend| backend.spec.life())
  }

  /// Reads the operators' policies at intervals while this instance holds a lease.
  pub(super) fn read_policies(&mut self) {
    let now = self.hub.now();
    let holds_any = self.groups.iter().any(|group| group.holds_lease);
    if !holds_any || !self.policy_reads.start(now) {
      return;
    }
    self.run_call(&self.calls, |edge| {
      Completion::Policies(
        edge
          .store
          .list(edge.kinds.policies, &store::Range::default(), |_| {}),
      )
    });
  }

  fn finish_policies_read(&mut self, now: u64, list: store::Result<store::List>) {
    let list = match list {
      Ok(list) => list,
      Err(store::Error::Absent { .. }) => store::List::default(),
      Err(error) => {
        self.policy_reads.failed(now);
        info!(self.hub.log, "failed to read policies; the previous ones stay in effect";
          "error" => %error, "known" => self.policy_reads.are_known(),
          "orders_wait" => !self.policy_reads.allow_orders(now));
        return;
      }
    };
    if let Some(gap) = &list.gap {
      warn!(self.hub.log, "policies may be missing"; "gap" => %gap,
        "known" => self.policy_reads.are_known());
      if self.policy_reads.are_known() {
        return;
      }
    }
    self.policy_reads.succeeded(now);
    let mut policies = BTreeMap::new();
    for object in list.objects {
      let policy = serde_json::from_value::<Policy>(object.spec).map_err(|error| error.to_string());
      let validated = policy.and_then(|policy| policy.validation_error().map_or(Ok(policy), Err));
      match validated {
        Ok(policy) => {
          policies.insert(object.name, policy);
        }
        Err(error) => warn!(self.hub.log, "ignoring an invalid policy";
          "policy" => &object.name, "revision" => %object.revision, "fault" => error),
      }
    }
    for group in &mut self.groups {
      group.plan.update_policies(policies.clone());
    }
  }

  /// Starts a read or write of a record in the store.
  pub(crate) fn start_record_call<R: Serialize + Send + 'static>(
    &self,
    kind: &'static str,
    call: stored::Call<R>,
    completion: fn(stored::Call<R>, store::Result<store::Object>) -> Completion,
  ) {
    self.run_call(&self.calls, move |edge| {
      let result = match &call {
        stored::Call::Read => (edge.store.read)(kind, stored::NAME),
        stored::Call::Write { record, revision } => stored::encode(record)
          .and_then(|spec| (edge.store.write)(kind, stored::NAME, *revision, &spec)),
      };
      completion(call, result)
    });
  }

  pub(super) fn send_order(&self, index: usize, command: Command) {
    let (hub, until) = (self.hub.clone(), self.groups[index].lease.valid_until());
    self.run_call(&self.orders, move |edge| {
      // The deadline prevents a late send if the thread is delayed after the decision.
      let reply = (edge.send_order)(&command, hub.instant(until));
      Completion::Ordered(index, command, reply)
    });
  }

  pub(super) fn query_server(&self, index: usize, id: String, address: SocketAddr) {
    self.run_call(&self.queries, move |edge| {
      let reply = (edge.query_inventory)(address, &id);
      Completion::Queried(index, id, reply)
    });
  }
}
