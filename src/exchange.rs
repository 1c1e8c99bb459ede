//! What instances exchange: reports of demand to the holders of leases,
//! and their updates of what servers hold.

use crate::{
  clock::Moment,
  dispatch::Event,
  feed::Gate,
  lease::promise::Request,
  message::{Kind, Message, StoreAge, Update},
  placement::plan::{Publication, Report},
  planner::Planner,
  replication::{Fit, Position, parts},
};
use slog::{info, warn};
use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

/// The holder publishes the list of instances this often, ms.
const MEMBERS_MS: u64 = 2_000;
/// One of so many rounds of questions for promises is logged.
const ROUNDS_LOGGED: u32 = 10;
/// Part of its link that a holder takes to publish, as a divisor: it serves requests too.
pub(crate) const PUBLISH_PART: f64 = 2.0;
/// Bits of a byte, and bits that a link of 1 Mbit/s carries in a millisecond.
pub(crate) const BITS: f64 = 8.0;
pub(crate) const BITS_MS: f64 = 1_000.0;

impl Planner {
  /// Takes up a holder's update.
  pub(crate) fn hear(&mut self, now: u64, mut update: Update, from: SocketAddr) {
    let groups = self.groups.len() as u32;
    let Some(group) = self.groups.get_mut(update.group as usize) else {
      warn!(self.hub.log, "instances differ in their groups"; "from" => %from,
        "group" => update.group, "groups" => groups);
      return;
    };
    let term = update.heartbeat.term;
    group.lease.receive(now, update.heartbeat, from);
    if !update.members.is_empty() {
      self.members = update.members;
    }
    let holding = group.holds_lease;
    let successor = !holding && term != group.known.term;
    self.receive_store_age(update.store);
    self.receive_quarantine(now, &update.quarantined, from);
    if let Some(sums) = update.sums.take() {
      self.hub.apply(Event::QuotaUsage(sums.clone()), None);
      self.known_sums = Some((now, sums));
    }
    if holding {
      return;
    }
    if successor {
      self.report_leaving(now);
    }
    let group = &mut self.groups[update.group as usize];
    self.hub.gates.deployments.follow(update.deployments);
    self.hub.gates.servers.follow(update.servers);
    let fit = group.known.advance(term, update.since, update.latest);
    // The next report asks for what is lacking.
    self.behind |= fit == Fit::Gap;
    let event = Event::Updated {
      holdings: match fit {
        Fit::Gap => Vec::new(),
        Fit::Snapshot | Fit::Consecutive => update.holdings,
      },
      group: (fit == Fit::Snapshot).then_some((update.group, groups)),
      loads: (!update.loads.is_empty()).then_some(update.loads),
      instances: update.instances as usize,
    };
    self.hub.apply(event, None);
  }

  /// A holder whose renewal is late asks the others not to take its lease.
  pub(crate) fn ask_promises(&mut self, now: u64, index: usize) {
    let group = &mut self.groups[index];
    let Some(question) = group.lease.next_promise_request(now) else {
      return;
    };
    if question.round % ROUNDS_LOGGED == 1 {
      info!(self.hub.log, "promises asked for"; "lease" => &group.name, "term" => question.term,
        "round" => question.round, "orders_until_ms" => group.lease.valid_until(), "now_ms" => now);
    }
    let members = self.peer_addresses(now, index);
    self.send(&Message::Question(index as u32, question), &members);
  }

  /// Answers a holder that asks for a promise.
  pub(crate) fn promise(&mut self, now: u64, index: u32, question: Request, from: SocketAddr) {
    let Some(group) = self.groups.get_mut(index as usize) else {
      return;
    };
    let promise = group.lease.promise(now, question);
    let message = Message::Promise(index, promise, self.store_age());
    self.send(&message, &[from]);
  }

  fn store_age(&self) -> StoreAge {
    let age = self.hub.gates.reachability.age();
    age.map(|age| age.as_millis() as u64)
  }

  /// Takes up when the store answered another instance.
  pub(crate) fn receive_store_age(&self, age: StoreAge) {
    // What waited in the socket while this process stood still would look fresh.
    let age = age.filter(|_| !self.stalled).map(Duration::from_millis);
    if let Some(at) = age.and_then(|age| Moment::now().checked_sub(age)) {
      self.hub.gates.reachability.record_peer_response(at);
    }
  }

  /// Where the instances hear of a group, this one among them.
  fn members(&self, now: u64, index: usize) -> Vec<SocketAddr> {
    let members = self.groups[index].plan.members(now).into_iter();
    let members: BTreeSet<SocketAddr> = members.chain(self.members.iter().copied()).collect();
    members.into_iter().collect()
  }

  /// Where the other instances hear of a group.
  pub(crate) fn peer_addresses(&self, now: u64, index: usize) -> Vec<SocketAddr> {
    let mut members = self.members(now, index);
    members.retain(|member| *member != self.own_address);
    members
  }

  /// The gate of a kind's changes.
  pub(crate) fn gate(&self, kind: Kind) -> &Gate {
    match kind {
      Kind::Deployments => &self.hub.gates.deployments,
      Kind::Servers => &self.hub.gates.servers,
    }
  }

  /// Sends the other instances what this one read of the store for them: before that
  /// each fetched every change itself, 608 calls of 76 instances while 90 servers entered
  /// themselves.
  pub(crate) fn publish_changes(&mut self) {
    let now = self.hub.now();
    for kind in [Kind::Deployments, Kind::Servers] {
      let batches = self.gate(kind).published();
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

  /// Reports to the holders what is wanted and running here.
  pub(crate) fn report(&mut self, wanted: bool) {
    let now = self.hub.now();
    let due = self.reported + self.pause();
    if !wanted && now < due {
      return;
    }
    self.reported = now;
    let report = self.state_report(now);
    self.lacked = if self.behind { self.lacked + 1 } else { 0 };
    self.behind = false;
    let mut holders: Vec<SocketAddr> = Vec::new();
    for group in &mut self.groups {
      if group.leads(now) {
        group
          .plan
          .receive_report(now, self.own_address, report.clone());
      } else if let Some(holder) = group.lease.holder()
        && holder != self.own_address
        && !holders.contains(&holder)
      {
        holders.push(holder);
      }
    }
    let message = Message::Report(report.clone());
    self.send(&message, &holders);
    self.last = Some(report);
  }

  fn state_report(&self, now: u64) -> Report {
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
      resting: state.resting(now),
      strain,
      known: self.groups.iter().map(|group| group.known.count).collect(),
      behind: self.behind,
    }
  }

  /// Sends a datagram to some instances at once.
  pub(crate) fn send(&self, message: &Message, to: &[SocketAddr]) {
    match postcard::to_stdvec(message) {
      Ok(bytes) => {
        for address in to {
          // A datagram that is lost is sent again.
          let _ = self.socket.send_to(&bytes, address);
        }
      }
      Err(error) => warn!(self.hub.log, "message not encoded"; "error" => %error),
    }
  }

  /// Sends a datagram to some instances as the link allows.
  pub(crate) fn send_paced(&mut self, message: &Message, to: &[SocketAddr]) {
    match postcard::to_stdvec(message) {
      Ok(bytes) => {
        // Each time another one is the last.
        let first = rand::random_range(0..to.len().max(1));
        let turned = to[first..].iter().chain(&to[..first]);
        self.outbox.push(bytes, turned.copied());
        self.flush();
      }
      Err(error) => warn!(self.hub.log, "message not encoded"; "error" => %error),
    }
  }

  /// Sends what is due of what waits.
  pub(crate) fn flush(&mut self) {
    for (bytes, address) in self.outbox.take_due(self.hub.now()) {
      // A datagram that is lost is sent again.
      let _ = self.socket.send_to(&bytes, address);
    }
  }

  /// Publishes an update of a group's holdings, to one instance or to all.
  pub(crate) fn publish(&mut self, index: usize, update: &Publication) {
    // A change should reach the others before the progress that names it.
    self.publish_changes();
    let now = self.hub.now();
    let Some(heartbeat) = self.groups[index].lease.heartbeat(now) else {
      return;
    };
    let members = self.members(now, index);
    let instances = members.len().max(1);
    let own = self.own_address;
    let others = match update.to {
      Some(address) => vec![address],
      None => members.clone(),
    };
    let (mine, others): (Vec<_>, Vec<_>) = others.into_iter().partition(|one| *one == own);
    let mine = update.to.is_none() || !mine.is_empty();
    let listed = self.list_members(now, index, update, members);
    let new = update.to.is_some() || !listed.is_empty();
    let head = Update {
      group: index as u32,
      heartbeat: heartbeat.clone(),
      deployments: self.hub.gates.deployments.progress(),
      servers: self.hub.gates.servers.progress(),
      store: self.store_age(),
      instances: instances as u32,
      members: listed,
      since: update.since,
      latest: update.latest,
      holdings: Vec::new(),
      loads: update.loads.clone(),
      // With each update 256 entries would be 1.7 MB for 295 instances.
      quarantined: match new {
        true => self.registry.quarantined(now),
        false => Vec::new(),
      },
      // One that goes to a single instance must not take the others' turn.
      sums: match update.to {
        Some(_) => None,
        None => self.sums(now),
      },
    };
    self.send_parts(head, update, &others);
    if new {
      let statements = self.hub.state().statements(now);
      self.publish_statements(statements, &others);
      self.republish_suspects(now, &others);
    }
    let pause = self.outbox.drain_time_ms();
    self.groups[index].plan.set_publish_interval(pause);
    if mine {
      self.take_own(index, heartbeat.term, update, instances);
    }
  }

  /// The list of instances, where it is due to be published.
  fn list_members(
    &mut self,
    now: u64,
    index: usize,
    update: &Publication,
    members: Vec<SocketAddr>,
  ) -> Vec<SocketAddr> {
    let group = &mut self.groups[index];
    if update.to.is_some() || now < group.members_sent + MEMBERS_MS {
      return Vec::new();
    }
    group.members_sent = now;
    self.members = group.plan.members(now);
    members
  }

  /// Sends an update in parts; only the first one carries members, loads and quarantine.
  fn send_parts(&mut self, mut head: Update, update: &Publication, to: &[SocketAddr]) {
    for part in parts(update) {
      head.since = part.since;
      head.latest = part.latest;
      head.holdings = part.holdings;
      let message = Message::Update(head.clone());
      self.send_paced(&message, to);
      head.members.clear();
      head.loads.clear();
      head.quarantined.clear();
      head.sums = None;
    }
  }

  /// Takes up an update of this instance's own.
  fn take_own(&mut self, index: usize, term: u64, update: &Publication, instances: usize) {
    let groups = self.groups.len() as u32;
    self.groups[index].known = Position {
      term,
      count: update.latest,
    };
    let holdings = update.holdings.iter();
    let event = Event::Updated {
      holdings: holdings.map(|(_, holding)| holding.clone()).collect(),
      group: (update.since == 0).then_some((index as u32, groups)),
      loads: (!update.loads.is_empty()).then(|| update.loads.clone()),
      instances,
    };
    self.hub.apply(event, None);
  }
}
