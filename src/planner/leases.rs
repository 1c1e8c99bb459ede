//! The leases of the groups of servers: when they are read, acquired, renewed and released.

use super::{Completion, Group, Planner};
use crate::{
  clock::Moment,
  former,
  lease::{self, Lease},
  placement::plan::Plan,
  replication::{Ahead, Position},
  settings::Routing,
  store,
};
use slog::info;
use std::{net::SocketAddr, sync::atomic::Ordering};

/// Interval at which the lease gets the list of reporting machines. Collecting 295 machines for
/// every datagram took longer than processing the datagram.
const MACHINES_INTERVAL_MS: u64 = 50;
/// Upper bound of the random delay before a lease is acquired.
const MAX_JITTER_MS: u64 = 250;
/// Additional delay before an instance acquires a lease, for each lease that it already holds.
const DELAY_PER_LEASE_MS: u64 = 400;
/// An instance with fewer cores or a slower link delays acquiring a lease. With 90 servers and 69
/// instances to update, orders from a holder with 0.12 cores and 10 Mbit/s took 0.5 s, compared to
/// 7 ms from a larger one.
const SMALL_CORES: f64 = 0.2;
const SMALL_LINK_MBPS: f64 = 50.0;
/// Delay of a small instance; longer than the random delay before a lease is acquired.
const SMALL_DELAY_MS: u64 = 600;
/// An instance with a link slower than this waits for a shorter time, so that one that can publish
/// faster acquires the lease. With 295 instances, ten changes take 170 ms at a fifth of 50 Mbit/s.
const MEDIUM_LINK_MBPS: f64 = 100.0;
const MEDIUM_DELAY_MS: u64 = 300;

impl Planner {
  pub(super) fn poll_leases(&mut self) {
    let now = self.hub.now();
    // Orders need this instance's own connections: servers tell holders apart by their address.
    let release = self.hub.stopping.load(Ordering::Relaxed) || self.hub.is_partitioned_alone();
    let may_order = |group: &Group| !release && group.lease.term(now).is_some();
    let held_leases = self.groups.iter().filter(|group| may_order(group)).count() as u64;
    for index in 0..self.groups.len() {
      let group = &mut self.groups[index];
      let holds_lease = may_order(group);
      if holds_lease != group.holds_lease {
        group.holds_lease = holds_lease;
        info!(self.hub.log, "orders"; "lease" => &group.name, "given_here" => holds_lease);
      }
      group
        .lease
        .set_acquire_delay(self.acquire_delay_ms + held_leases * DELAY_PER_LEASE_MS);
      if group.leads(now) && now >= group.machines_updated_at + MACHINES_INTERVAL_MS {
        group.machines_updated_at = now;
        group.lease.set_machines(group.plan.machines(now));
      }
      if let Some(call) = group.lease.next_call(now, release) {
        self.start_lease_call(index, call);
      }
      self.request_promises(now, index);
    }
    let holds_any = self.groups.iter().any(|group| group.holds_lease);
    self.hub.gates.deployments.set_leading(holds_any);
    self.hub.gates.servers.set_leading(holds_any);
  }

  fn start_lease_call(&mut self, index: usize, call: lease::Call) {
    let record = match &call {
      lease::Call::Write { record, .. } => serde_json::to_value(record).ok(),
      lease::Call::Read => None,
    };
    let now = self.hub.now();
    let record = match record {
      Some(record) if index == 0 => {
        let record = self.with_sums(now, record);
        Some(self.with_statements(record))
      }
      record => record,
    };
    let name = self.groups[index].name.clone();
    self.run_call(&self.calls, move |edge| {
      let kind = edge.kinds.leases;
      let result = match &call {
        lease::Call::Read => (edge.store.read)(kind, &name),
        lease::Call::Write { revision, .. } => match &record {
          Some(spec) => (edge.store.write)(kind, &name, *revision, spec),
          None => Err(store::Error::Malformed(
            "failed to encode the lease record".into(),
          )),
        },
      };
      Completion::Lease(index, call, result)
    });
  }

  pub(super) fn finish_lease_call(
    &mut self,
    now: u64,
    index: usize,
    call: &lease::Call,
    result: store::Result<store::Object>,
  ) {
    if let (Ok(object), lease::Call::Read) = (&result, call) {
      self.read_sums(now, &object.spec);
      if index == 0 {
        self.read_recorded_statements(&object.spec);
      }
    }
    let responded = matches!(&result, Ok(_) | Err(store::Error::Absent { .. }));
    if index == 0 && responded && *call == lease::Call::Read {
      self.lease_read = true;
    }
    if index == 0 && matches!(call, lease::Call::Write { .. }) {
      self.accounts.finish_record(result.is_ok());
    }
    let group = &mut self.groups[index];
    if let (Err(error), lease::Call::Write { record, revision }) = (&result, call) {
      info!(self.hub.log, "failed to write the lease"; "lease" => &group.name, "error" => %error,
        "term" => record.term, "revision" => %revision);
    }
    if result.is_ok() {
      self.hub.gates.reachability.record_response(Moment::now());
      // Inform other instances of the renewal without delay.
      group.plan.request_publish();
    }
    let knew_holder = group.lease.holder().is_some();
    let acquired = group.lease.record_call_result(now, call, result);
    if !knew_holder && group.lease.holder().is_some() {
      // The holder's answer to a report names the other instances.
      self.needs_resync = true;
    }
    if acquired {
      // Promises may extend a lease whose time was over when the response arrived.
      let term = group.lease.held_term().unwrap_or_default();
      self.hub.measures.record_lease();
      let foreign_orders_until = group.lease.foreign_orders_until();
      info!(self.hub.log, "lease taken"; "lease" => &group.name, "term" => term,
        "earlier_orders_ms_ago" => foreign_orders_until.map(|until| now.saturating_sub(until)));
      group.plan.start_term(now, term);
      group.plan.set_last_foreign_order(foreign_orders_until);
      group.plan.start_paces(self.hub.state().known_paces());
      self.policy_reads.lease_acquired(now);
      group.planned_counts = (0, 0);
      group.members_published_at = 0;
      self.needs_resync = true;
      self.end_term_of_former_holder(now, index);
      if index == 0 {
        let first = matches!(call, lease::Call::Write { revision, .. } if revision.number == 0);
        self.open_accounts(now, term, first);
      }
    }
  }
}

/// How much later than others this instance acquires a lease.
pub(super) fn acquire_delay_ms(routing: &Routing) -> u64 {
  let small = routing.cores < SMALL_CORES || routing.link_mbps < SMALL_LINK_MBPS;
  match () {
    () if small => SMALL_DELAY_MS,
    () if routing.link_mbps < MEDIUM_LINK_MBPS => MEDIUM_DELAY_MS,
    () => 0,
  }
}

/// A group whose lease this instance does not know yet.
pub(super) fn new_group(number: u32, routing: &Routing, address: SocketAddr) -> Group {
  let jitter = rand::random::<u64>() % MAX_JITTER_MS;
  let groups = routing.groups.max(1);
  let overage = routing.load_overage.min(1.0) / f64::from(groups);
  let mut plan = Plan::new(&routing.machine, number, routing.load_window_ms, overage);
  plan.features = routing.features;
  Group {
    number,
    name: format!("orders-{number}"),
    lease: Lease::new(&routing.machine, address, routing.lease_ms, jitter, 0),
    plan,
    holds_lease: false,
    paused_until: 0,
    planned_counts: (0, 0),
    position: Position::default(),
    ahead: Ahead::default(),
    former_loads: former::Loads::default(),
    machines_updated_at: 0,
    members_published_at: 0,
  }
}
