//! Exchange between instances: demand reports to the lease holders, and the holders' updates of the
//! models that servers hold.

use crate::{
  backend,
  clock::Moment,
  dispatch::Event,
  feed::Gate,
  lease::promise::Request,
  message::{self, Extension, Kind, Message, StoreAge, Unanswered, Update},
  pace,
  placement::plan::{Publication, Report},
  planner::Planner,
  replication::{Fit, Position, parts},
  samples::model_hash,
};
use slog::{info, warn};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

/// Interval at which the holder publishes the list of instances.
const MEMBERS_INTERVAL_MS: u64 = 2_000;
/// The same for each instance in the list, while some of them were not published yet: the bytes of a
/// publication grow with the square of their number.
const JOINED_INTERVAL_MS: u64 = 5;
/// One of this many rounds of promise requests is logged.
const ROUNDS_PER_LOG_LINE: u32 = 10;
/// A holder publishes at the rate of its link divided by this, because it also serves requests.
pub(crate) const PUBLISH_LINK_DIVISOR: f64 = 2.0;
pub(crate) const BITS_PER_BYTE: f64 = 8.0;
/// Bits that a link of 1 Mbit/s transmits per millisecond.
pub(crate) const MBPS_BITS_PER_MS: f64 = 1_000.0;

impl Planner {
  /// Applies a holder's update.
  pub(crate) fn receive_update(
    &mut self,
    now: u64,
    mut update: Update,
    extension: Extension,
    from: SocketAddr,
  ) {
    let groups = self.groups.len() as u32;
    let Some(group) = self.groups.get_mut(update.group as usize) else {
      warn!(self.hub.log,
        "ignoring an update for an unknown group; instances are configured with different groups";
        "from" => %from, "group" => update.group, "groups" => groups);
      return;
    };
    let term = update.heartbeat.term;
    let loads = update.loads(&extension).map(<[_]>::to_vec);
    group.lease.receive(now, update.heartbeat, from);
    let holds_lease = group.holds_lease;
    let successor = !holds_lease && term != group.position.term;
    if !update.members.is_empty() {
      self.set_members(update.members);
    }
    self.receive_store_age(update.store);
    self.receive_quarantine(now, &update.quarantined, from);
    if successor && update.group == 0 {
      self.keep_former_sums(now);
    }
    if let Some(sums) = update.sums.take() {
      self.receive_sums(now, sums);
    }
    if holds_lease {
      return;
    }
    self.receive_paces(extension.paces);
    if successor {
      self.resend_leaving(now);
      self.end_term_of_former_holder(now, update.group as usize);
    }
    if let Some(unanswered) = extension.unanswered {
      let group = &mut self.groups[update.group as usize];
      group.former_loads.publish(unanswered);
    }
    let group = &mut self.groups[update.group as usize];
    self
      .hub
      .gates
      .deployments
      .receive_progress(update.deployments);
    self.hub.gates.servers.receive_progress(update.servers);
    let was_behind = group.ahead.is_behind();
    let range = (term, update.since, update.latest);
    let (fit, holdings) = group
      .ahead
      .receive(&mut group.position, range, update.holdings);
    // The next report requests the missing changes, unless they arrive before it.
    self.needs_resync |= fit == Fit::Gap;
    if was_behind && fit == Fit::Consecutive && !group.ahead.is_behind() {
      self.needs_resync = false;
    }
    let event = Event::Updated {
      holdings,
      group: (fit == Fit::Snapshot).then_some((update.group, groups)),
      instances: update.instances as usize,
      loads,
    };
    if matches!(event, Event::Updated { loads: Some(_), .. }) {
      self.hub.apply(Event::Waiting(extension.waiting), None);
    }
    self.hub.apply(event, None);
  }

  /// Prepares to report the loads of the former holder to its successor.
  pub(crate) fn end_term_of_former_holder(&mut self, now: u64, index: usize) {
    let groups = self.groups.len() as u32;
    let state = self.hub.state();
    let in_progress = state.backends.iter().filter_map(|(_, backend)| {
      let holding = backend.holding.as_ref()?;
      let in_group = backend::group(&holding.id, groups) == index as u32;
      let model = holding.coming.as_ref().filter(|_| in_group)?;
      Some(Unanswered {
        server: holding.life().short_hash(),
        model: model_hash(&backend.spec.pool, model),
      })
    });
    let loads = &mut self.groups[index].former_loads;
    loads.end_term(now, in_progress);
    // The successor decides a moment later.
    self.needs_resync |= !loads.to_report(now).is_empty();
  }

  fn receive_paces(&self, paces: Vec<pace::Published>) {
    if !paces.is_empty() {
      self.hub.apply(Event::Paces(paces), None);
    }
  }

  /// Requests promises from the other instances if this holder's renewal is late.
  pub(crate) fn request_promises(&mut self, now: u64, index: usize) {
    let group = &mut self.groups[index];
    let Some(request) = group.lease.next_promise_request(now) else {
      return;
    };
    if request.round % ROUNDS_PER_LOG_LINE == 1 {
      info!(self.hub.log, "requested promises from other instances"; "lease" => &group.name,
        "term" => request.term, "round" => request.round,
        "orders_until_ms" => group.lease.valid_until(), "now_ms" => now);
    }
    let members = self.peer_addresses(now, index);
    self.send(&Message::PromiseRequest(index as u32, request), &members);
  }

  /// Answers a holder's request for a promise.
  pub(crate) fn answer_promise_request(
    &mut self,
    now: u64,
    index: u32,
    request: Request,
    from: SocketAddr,
  ) {
    let Some(group) = self.groups.get_mut(index as usize) else {
      return;
    };
    let promise = group.lease.promise(now, request);
    let message = Message::Promise(index, promise, self.store_age());
    self.send(&message, &[from]);
  }

  fn store_age(&self) -> StoreAge {
    let age = self.hub.gates.reachability.age();
    age.map(|age| age.as_millis() as u64)
  }

  /// Records when the store last responded to another instance.
  pub(crate) fn receive_store_age(&self, age: StoreAge) {
    // After a stall, datagrams may have waited in the socket, so the ages in them are too low.
    let age = age.filter(|_| !self.stalled).map(Duration::from_millis);
    if let Some(at) = age.and_then(|age| Moment::now().checked_sub(age)) {
      self.hub.gates.reachability.record_peer_response(at);
    }
  }

  /// Addresses of all instances that receive updates of a group, including this one.
  fn member_addresses(&self, now: u64, index: usize) -> Vec<SocketAddr> {
    let members = self.groups[index].plan.members(now).into_iter();
    let members: BTreeSet<SocketAddr> = members.chain(self.members.iter().copied()).collect();
    members.into_iter().collect()
  }

  /// Addresses of the other instances that receive updates of a group.
  pub(crate) fn peer_addresses(&self, now: u64, index: usize) -> Vec<SocketAddr> {
    let mut members = self.member_addresses(now, index);
    members.retain(|member| *member != self.own_address);
    members
  }

  /// The gate for changes of this kind.
  pub(crate) fn gate(&self, kind: Kind) -> &Gate {
    match kind {
      Kind::Deployments => &self.hub.gates.deployments,
      Kind::Servers => &self.hub.gates.servers,
    }
  }

  /// Sends the other instances the changes that this one read from the store. If each instance
  /// reads every change itself, 76 instances make 608 calls while 90 servers register.
  pub(crate) fn publish_changes(&mut self) {
    let now = self.hub.now();
    for kind in [Kind::Deployments, Kind::Servers] {
      let batches = self.gate(kind).take_published();
      if batches.is_empty() {
        continue;
      }
      let members = (0..self.groups.len()).flat_map(|index| self.peer_addresses(now, index));
      let members: BTreeSet<SocketAddr> = members.collect();
      let members: Vec<SocketAddr> = members.into_iter().collect();
      for batch in batches {
        self.send_paced(&Message::Changes(kind, batch), &members);
      }
    }
  }

  /// Reports waiting and running requests of this instance to the holders, immediately if
  /// `requested` and otherwise when the next report is due.
  pub(crate) fn report(&mut self, requested: bool) {
    let now = self.hub.now();
    let due = self.last_report_at + self.report_interval_ms();
    if !requested && now < due {
      return;
    }
    self.last_report_at = now;
    let extension = self.build_extension(now);
    let report = self.build_report(now);
    self.resync_attempts = if self.needs_resync {
      self.resync_attempts + 1
    } else {
      0
    };
    self.needs_resync = false;
    let mut holders: Vec<SocketAddr> = Vec::new();
    for group in &mut self.groups {
      if group.leads(now) {
        group
          .plan
          .receive_report(now, self.own_address, report.clone());
        group
          .plan
          .receive_extension(now, self.own_address, &extension);
      } else if let Some(holder) = group.lease.holder()
        && holder != self.own_address
        && !holders.contains(&holder)
      {
        holders.push(holder);
      }
    }
    let message = Message::Report(report.clone());
    self.send_extended(&message, &extension, &holders);
    self.last_report = Some(report);
  }

  fn build_report(&self, now: u64) -> Report {
    let mut state = self.hub.state();
    let strain = state.take_strain();
    let running = state.running.iter().filter_map(|((key, model), count)| {
      let backend = state.backends.get(*key)?;
      Some((backend.spec.life(), model.clone(), *count))
    });
    Report {
      instance: self.instance.clone(),
      machine: self.machine,
      demand: state.demand(now),
      running: running.collect(),
      missing: state.missing(now),
      resting: state.servers_backing_off(now),
      strain,
      known: self
        .groups
        .iter()
        .map(|group| group.position.count)
        .collect(),
      behind: self.needs_resync,
    }
  }

  /// The extension of a report.
  fn build_extension(&self, now: u64) -> Extension {
    let mut state = self.hub.state();
    state.refresh_paces(now);
    let groups = self.groups.iter();
    let former_loads = groups.flat_map(|group| group.former_loads.to_report(now));
    let unanswered: Vec<Unanswered> = former_loads.copied().collect();
    Extension {
      pace_samples: state.take_pace_samples(),
      samples: state.take_samples(now),
      unanswered: (!unanswered.is_empty()).then_some(unanswered),
      ..Extension::default()
    }
  }

  /// Sends a datagram to several instances immediately.
  pub(crate) fn send(&self, message: &Message, to: &[SocketAddr]) {
    self.send_extended(message, &Extension::default(), to);
  }

  /// The same with additions.
  pub(crate) fn send_extended(&self, message: &Message, extension: &Extension, to: &[SocketAddr]) {
    match message::encode(message, extension) {
      Ok(bytes) => {
        for address in to {
          // Errors are ignored because lost datagrams are sent again.
          let _ = self.socket.send_to(&bytes, address);
        }
      }
      Err(error) => warn!(self.hub.log, "failed to encode a message"; "error" => %error),
    }
  }

  /// Queues a datagram for several instances, to be sent at the rate that the link allows.
  pub(crate) fn send_paced(&mut self, message: &Message, to: &[SocketAddr]) {
    self.send_paced_extended(message, &Extension::default(), to);
  }

  fn send_paced_extended(&mut self, message: &Message, extension: &Extension, to: &[SocketAddr]) {
    match message::encode(message, extension) {
      Ok(bytes) => {
        // Start at a random instance so that the last position varies.
        let first = rand::random_range(0..to.len().max(1));
        let rotated = to[first..].iter().chain(&to[..first]);
        self.outbox.push(bytes, rotated.copied());
        self.flush_outbox();
      }
      Err(error) => warn!(self.hub.log, "failed to encode a message"; "error" => %error),
    }
  }

  /// Sends the queued datagrams that are due.
  pub(crate) fn flush_outbox(&mut self) {
    for (bytes, address) in self.outbox.take_due(self.hub.now()) {
      // Errors are ignored because lost datagrams are sent again.
      let _ = self.socket.send_to(&bytes, address);
    }
  }

  /// Publishes an update of a group's holdings to one instance or to all.
  pub(crate) fn publish(&mut self, index: usize, update: &Publication) {
    // Changes must be sent before the progress that refers to them.
    self.publish_changes();
    let now = self.hub.now();
    let Some(heartbeat) = self.groups[index].lease.heartbeat(now) else {
      return;
    };
    let members = self.member_addresses(now, index);
    // A holder that has just taken over has not heard from all instances yet.
    let instances = members.len().max(self.slots.expected_instances(now)).max(1);
    let own_address = self.own_address;
    let others = match update.to {
      Some(address) => vec![address],
      None => members.clone(),
    };
    let (mine, others): (Vec<_>, Vec<_>) = others
      .into_iter()
      .partition(|address| *address == own_address);
    let mine = update.to.is_none() || !mine.is_empty();
    let published_members = self.members_to_publish(now, index, update, members);
    let extended = update.to.is_some() || !published_members.is_empty();
    let header = Update {
      group: index as u32,
      heartbeat: heartbeat.clone(),
      deployments: self.hub.gates.deployments.progress(),
      servers: self.hub.gates.servers.progress(),
      store: self.store_age(),
      instances: instances as u32,
      members: published_members,
      since: update.since,
      latest: update.latest,
      holdings: Vec::new(),
      loads: update.loads.clone().unwrap_or_default(),
      // Sending 256 entries with every update would take 1.7 MB for 295 instances.
      quarantined: match extended {
        true => self.registry.published(now),
        false => Vec::new(),
      },
      // An update for a single instance must not count as the periodic publication to all.
      sums: match update.to {
        Some(_) => None,
        None => self.due_sums(now),
      },
    };
    self.send_parts(header, update, &others);
    if extended {
      let statements = self.hub.state().all_statements(now);
      self.publish_statements(statements, &others);
      self.republish_suspects(now, &others);
    }
    let interval = self.outbox.drain_time_ms();
    self.groups[index].plan.set_publish_interval(interval);
    if mine {
      self.apply_own_update(index, heartbeat.term, update, instances);
    }
  }

  /// The list of instances if it is due to be published, or for a single instance; otherwise empty.
  fn members_to_publish(
    &mut self,
    now: u64,
    index: usize,
    update: &Publication,
    members: Vec<SocketAddr>,
  ) -> Vec<SocketAddr> {
    if update.to.is_some() {
      // An instance that has just started knows no others.
      return members;
    }
    let published_at = self.groups[index].members_published_at;
    let joined = members.iter().any(|member| !self.members.contains(member));
    let interval = match joined {
      true => MEMBERS_INTERVAL_MS.min(JOINED_INTERVAL_MS * members.len() as u64),
      false => MEMBERS_INTERVAL_MS,
    };
    if now < published_at + interval {
      return Vec::new();
    }
    let group = &mut self.groups[index];
    group.members_published_at = now;
    let known = group.plan.members(now);
    self.set_members(known);
    members
  }

  fn set_members(&mut self, members: Vec<SocketAddr>) {
    let own_address = self.own_address;
    let others = members.iter().filter(|member| **member != own_address);
    self.hub.set_instances(others.copied());
    self.members = members;
  }

  /// Sends an update in parts; only the first part carries members, loads, quarantine and sums.
  fn send_parts(&mut self, mut header: Update, update: &Publication, to: &[SocketAddr]) {
    let mut extension = Extension {
      paces: update.paces.clone(),
      waiting: update.waiting.clone(),
      unanswered: update.unanswered.clone(),
      ..Extension::default()
    };
    for part in parts(update) {
      header.since = part.since;
      header.latest = part.latest;
      header.holdings = part.holdings;
      let message = Message::Update(header.clone());
      self.send_paced_extended(&message, &extension, to);
      extension = Extension::default();
      header.members.clear();
      header.loads.clear();
      header.quarantined.clear();
      header.sums = None;
    }
  }

  /// Applies an update that this instance publishes itself.
  fn apply_own_update(&mut self, index: usize, term: u64, update: &Publication, instances: usize) {
    let groups = self.groups.len() as u32;
    self.groups[index].position = Position {
      term,
      count: update.latest,
    };
    if let Some(unanswered) = &update.unanswered {
      self.groups[index].former_loads.publish(unanswered.clone());
    }
    if update.loads.is_some() {
      self.hub.apply(Event::Waiting(update.waiting.clone()), None);
    }
    let holdings = update.holdings.iter();
    let event = Event::Updated {
      holdings: holdings.map(|(_, holding)| holding.clone()).collect(),
      group: (update.since == 0).then_some((index as u32, groups)),
      loads: update.loads.clone(),
      instances,
    };
    self.hub.apply(event, None);
    self.receive_paces(update.paces.clone());
  }
}
