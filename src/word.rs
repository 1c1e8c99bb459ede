//! What an instance tells others, and hears: reports of demand to the holders of leases,
//! and the holders' word on what servers hold.

use crate::{
  dispatch::Event,
  feed::Gate,
  lease::promise::Question,
  message::{Kind, Message, Told},
  placement::plan::{News, Report},
  planner::Planner,
  replication::{Fit, Known, parts},
};
use slog::{info, warn};
use std::net::SocketAddr;

/// The holder tells others of all instances this often, ms.
const MEMBERS_MS: u64 = 2_000;
/// One of so many rounds of questions for promises is logged.
const ROUNDS_LOGGED: u32 = 10;
/// Part of its link that a holder takes to tell others, as a divisor.
const TELL_PART: f64 = 5.0;
/// Bits of a byte, and bits that a link of 1 Mbit/s carries in a millisecond.
const BITS: f64 = 8.0;
const BITS_MS: f64 = 1_000.0;

impl Planner {
  /// Takes up a holder's word.
  pub(crate) fn hear(&mut self, now: u64, told: Told, from: SocketAddr) {
    let groups = self.groups.len() as u32;
    let Some(group) = self.groups.get_mut(told.group as usize) else {
      warn!(self.hub.log, "instances differ in their groups"; "from" => %from,
        "group" => told.group, "groups" => groups);
      return;
    };
    let term = told.word.term;
    group.lease.told(now, told.word, from);
    if !told.members.is_empty() {
      self.members = told.members;
    }
    if group.holding {
      return;
    }
    self.hub.gates.deployments.told(told.deployments);
    self.hub.gates.servers.told(told.servers);
    let fit = group.known.take(term, told.since, told.latest);
    // The next report asks for what is lacking.
    self.behind |= fit == Fit::Gap;
    let event = Event::Told {
      holdings: match fit {
        Fit::Gap => Vec::new(),
        Fit::Snapshot | Fit::Follows => told.holdings,
      },
      all: (fit == Fit::Snapshot).then_some((told.group, groups)),
      loads: (!told.loads.is_empty()).then_some(told.loads),
      instances: told.instances as usize,
    };
    self.hub.apply(event, None);
  }

  /// A holder whose renewal is late asks the others not to take its lease.
  pub(crate) fn ask_promises(&mut self, now: u64, index: usize) {
    let group = &mut self.groups[index];
    let Some(question) = group.lease.question(now) else {
      return;
    };
    if question.round % ROUNDS_LOGGED == 1 {
      info!(self.hub.log, "promises asked for"; "lease" => &group.name, "term" => question.term,
        "round" => question.round, "orders_until_ms" => group.lease.until(), "now_ms" => now);
    }
    let members = self.addresses(now, index);
    self.send(&Message::Question(index as u32, question), &members);
  }

  pub(crate) fn promise(&mut self, now: u64, index: u32, question: Question, from: SocketAddr) {
    let Some(group) = self.groups.get_mut(index as usize) else {
      return;
    };
    if let Some(promise) = group.lease.promise(now, question) {
      self.send(&Message::Promise(index, promise), &[from]);
    }
  }

  /// Where the other instances hear of a group.
  fn addresses(&self, now: u64, index: usize) -> Vec<SocketAddr> {
    let mut members = self.groups[index].plan.members(now);
    for member in &self.members {
      if !members.contains(member) {
        members.push(*member);
      }
    }
    members.retain(|member| *member != self.own);
    members
  }

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
      let mut members: Vec<SocketAddr> = Vec::new();
      for index in 0..self.groups.len() {
        let others = self.addresses(now, index);
        members.extend(
          others
            .into_iter()
            .filter(|one| !members.contains(one))
            .collect::<Vec<_>>(),
        );
      }
      for batch in batches {
        self.send(&Message::Changes(kind, batch), &members);
      }
    }
  }

  /// Tells the holders what is wanted and running here.
  pub(crate) fn report(&mut self, wanted: bool) {
    let now = self.hub.now();
    let due = self.reported + self.pause();
    if !wanted && now < due {
      return;
    }
    self.reported = now;
    let report = self.state_report(now);
    self.behind = false;
    let mut holders: Vec<SocketAddr> = Vec::new();
    for group in &mut self.groups {
      if group.leads(now) {
        group.plan.report(now, self.own, report.clone());
      } else if let Some(holder) = group.lease.holder()
        && holder != self.own
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
      Some((backend.spec.id.clone(), model.clone(), *count))
    });
    Report {
      instance: self.instance.clone(),
      machine: self.machine,
      demand: state.demand(now),
      running: running.collect(),
      missing: state.missing(now),
      strain,
      known: self.groups.iter().map(|group| group.known.count).collect(),
      behind: self.behind,
    }
  }

  /// Sends a datagram to some instances; gives the bytes sent.
  fn send(&self, message: &Message, to: &[SocketAddr]) -> usize {
    match postcard::to_stdvec(message) {
      Ok(bytes) => {
        for address in to {
          // A datagram that is lost is told again.
          let _ = self.socket.send_to(&bytes, address);
        }
        bytes.len() * to.len()
      }
      Err(error) => {
        warn!(self.hub.log, "message not encoded"; "error" => %error);
        0
      }
    }
  }

  pub(crate) fn tell(&mut self, index: usize, news: &News) {
    // The word of a change should not come before the change.
    self.publish_changes();
    let now = self.hub.now();
    let groups = self.groups.len() as u32;
    let group = &mut self.groups[index];
    let Some(word) = group.lease.word(now) else {
      return;
    };
    let age_ms = group.lease.renewal_age(now);
    let mut members = group.plan.members(now);
    for member in &self.members {
      if !members.contains(member) {
        members.push(*member);
      }
    }
    let instances = members.len().max(1);
    let tell_members = news.to.is_none() && now >= group.told_members + MEMBERS_MS;
    if tell_members {
      group.told_members = now;
      self.members = group.plan.members(now);
    }
    let parts = parts(news);
    let own = self.own;
    let to: Vec<SocketAddr> = match news.to {
      Some(address) => vec![address],
      None => members.clone(),
    };
    let mine = news.to.is_none() || news.to == Some(own);
    if mine {
      group.known = Known {
        term: word.term,
        count: news.latest,
      };
    }
    let others: Vec<SocketAddr> = to.into_iter().filter(|member| *member != own).collect();
    let mut bytes = 0;
    for (number, part) in parts.into_iter().enumerate() {
      let message = Message::Told(Told {
        group: index as u32,
        word: word.clone(),
        deployments: self.hub.gates.deployments.word(age_ms),
        servers: self.hub.gates.servers.word(age_ms),
        instances: instances as u32,
        members: match tell_members && number == 0 {
          true => members.clone(),
          false => Vec::new(),
        },
        since: part.since,
        latest: part.latest,
        holdings: part.holdings,
        loads: if number == 0 {
          news.loads.clone()
        } else {
          Vec::new()
        },
      });
      bytes += self.send(&message, &others);
    }
    let pause = bytes as f64 * BITS * TELL_PART / (self.link_mbps * BITS_MS);
    self.groups[index].plan.pace(pause as u64);
    if mine {
      let event = Event::Told {
        holdings: news
          .holdings
          .iter()
          .map(|(_, holding)| holding.clone())
          .collect(),
        all: (news.since == 0).then_some((index as u32, groups)),
        loads: (!news.loads.is_empty()).then(|| news.loads.clone()),
        instances,
      };
      self.hub.apply(event, None);
    }
  }
}
