//! What instances report to the planner, and which of them report.

use super::{models, need::Need, plan::Plan, server};
use crate::{
  demand::{Demand, Model},
  life::Life,
  strain::Seen,
};
use std::{collections::BTreeSet, net::SocketAddr};

/// An instance not heard of for this long does not count, ms.
const MEMBER_MS: u64 = 3_000;
/// A server counts as resting for this long after a report that names it, ms: instances report
/// every second at least.
const RESTING_MS: u64 = 1_500;
/// A report that arrives within this time after a change was published, or after what its
/// instance lacked was sent, may have crossed it, ms: datagrams take some, and an instance
/// handles them a few later.
const CROSSING_MS: u64 = 100;

/// What an instance reports to the planner.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
  pub instance: String,
  /// Its machine's short name.
  pub machine: u32,
  pub demand: Vec<Demand>,
  /// Requests sent and not ended, by server and model.
  pub running: Vec<(Life, Model, u32)>,
  /// Models that servers were found not to hold, against what was published.
  pub missing: Vec<(Life, String)>,
  /// Servers that asked it for rest.
  pub resting: Vec<Life>,
  /// How slow servers were for each model since the last report.
  pub strain: Vec<Seen>,
  /// For each group, the count up to which it knows the changes of holdings.
  pub known: Vec<u64>,
  /// It noticed that it lacks changes.
  pub behind: bool,
}

/// An instance that reports.
#[derive(Clone, Debug)]
pub(crate) struct Member {
  pub(super) heard: u64,
  machine: u32,
  /// What its requests wait for.
  pub(super) needs: Vec<Need>,
  /// Its requests sent and not ended, as it named them, and as they are counted.
  running: Vec<(Life, Model, u32)>,
  counted: Vec<(server::Key, models::Key, u32)>,
  /// Up to which change it knows the group's holdings.
  pub(super) known: u64,
  /// It lacks changes, as its last report shows, and was not sent them since.
  pub(super) behind: bool,
  /// When it was last sent what it lacked, ms.
  pub(super) resynced: u64,
}

impl Plan {
  /// Takes up an instance's report.
  pub fn receive_report(&mut self, now: u64, address: SocketAddr, report: Report) {
    self.take_missing(now, &report.missing);
    self.take_resting(now, &report.resting);
    self.take_strain(now, &report.strain);
    let needs = report.demand.iter().filter_map(|demand| self.need(demand));
    let needs: Vec<Need> = needs.collect();
    let known = report.known.get(self.group as usize).copied();
    let known = known.unwrap_or_default();
    let former = self.members.remove(&address);
    let resynced = former.as_ref().map_or(0, |member| member.resynced);
    self.unpublished |= former.is_none();
    if let Some(former) = former {
      self.uncount(&former.counted);
    }
    let lacks = report.behind || known < self.arrived(now);
    let mut member = Member {
      heard: now,
      machine: report.machine,
      needs,
      running: report.running,
      counted: Vec::new(),
      known,
      behind: lacks && now >= resynced + CROSSING_MS,
      resynced,
    };
    member.counted = self.count_running(&member);
    self.members.insert(address, member);
  }

  fn take_missing(&mut self, now: u64, missing: &[(Life, String)]) {
    for (life, name) in missing {
      let Some(key) = self.living(*life) else {
        continue;
      };
      if let Some(model) = self.models.find(self.servers[key].pool, name, None) {
        self.change(key, |server, _| server.missed(now, model));
      }
    }
  }

  /// A server that asks some instance for rest takes less than its requests.
  fn take_resting(&mut self, now: u64, resting: &[Life]) {
    for life in resting {
      if let Some(key) = self.living(*life) {
        self.servers[key].turns_away_until = now + RESTING_MS;
        self.turned_away_until = now + RESTING_MS;
      }
    }
  }

  fn take_strain(&mut self, now: u64, strain: &[Seen]) {
    for seen in strain {
      let pool = self.models.find_pool(&seen.pool);
      let Some(model) = pool.and_then(|pool| self.models.find(pool, &seen.model, None)) else {
        continue;
      };
      let (requests, slowness) = (f64::from(seen.requests), f64::from(seen.slowness));
      let servers = self.in_use(model);
      let strain = self.models[model].strain.get_or_insert_default();
      strain.add(now, requests, slowness, servers);
    }
  }

  fn need(&mut self, demand: &Demand) -> Option<Need> {
    Some(Need {
      model: self.models.named(&demand.pool, &demand.model)?,
      waiting: demand.waiting,
      priority: demand.priority,
      age_ms: demand.age_ms,
      waits: demand.waits.clone(),
    })
  }

  /// Up to which count changes have reached every instance that got what was published.
  fn arrived(&mut self, now: u64) -> u64 {
    let due = |(at, _): &(u64, u64)| at + CROSSING_MS <= now;
    while self.published.get(1).is_some_and(due) {
      self.published.pop_front();
    }
    let oldest = self.published.front().filter(|entry| due(entry));
    oldest.map_or(0, |(_, count)| *count)
  }

  /// Counts what an instance runs at the servers that it names; gives what was counted.
  fn count_running(&mut self, member: &Member) -> Vec<(server::Key, models::Key, u32)> {
    let mut counted = Vec::with_capacity(member.running.len());
    for (life, model, count) in &member.running {
      let Some(key) = self.living(*life) else {
        continue;
      };
      let server = &mut self.servers[key];
      let adapter = model.adapter.as_deref();
      let model = self.models.insert(server.pool, &model.name, adapter);
      *server.running.entry(model).or_default() += count;
      server.used.insert(model, member.heard);
      counted.push((key, model, *count));
    }
    counted
  }

  fn uncount(&mut self, counted: &[(server::Key, models::Key, u32)]) {
    for (key, model, count) in counted {
      let Some(server) = self.servers.get_mut(*key) else {
        continue;
      };
      if let Some(running) = server.running.get_mut(model) {
        *running = running.saturating_sub(*count);
        if *running == 0 {
          server.running.remove(model);
        }
      }
    }
  }

  /// Counts anew what runs: servers have come that instances had named before.
  pub(crate) fn count(&mut self) {
    for server in self.servers.values_mut() {
      server.running.clear();
    }
    let mut members = std::mem::take(&mut self.members);
    for member in members.values_mut() {
      member.counted = self.count_running(member);
    }
    self.members = members;
  }

  /// Instances that were not heard of for long do not count any more.
  pub(crate) fn forget_members(&mut self) {
    let now = self.now;
    let gone = self
      .members
      .extract_if(.., |_, member| now > member.heard + MEMBER_MS);
    let gone: Vec<Member> = gone.map(|(_, member)| member).collect();
    for member in gone {
      self.uncount(&member.counted);
    }
  }

  /// Addresses of the instances that report.
  pub fn members(&self, now: u64) -> Vec<SocketAddr> {
    let live = self.live(now);
    live.map(|(address, _)| *address).collect()
  }

  /// Short names of the machines whose instances report.
  pub fn machines(&self, now: u64) -> BTreeSet<u32> {
    self.live(now).map(|(_, member)| member.machine).collect()
  }

  fn live(&self, now: u64) -> impl Iterator<Item = (&SocketAddr, &Member)> {
    let members = self.members.iter();
    members.filter(move |(_, member)| now <= member.heard + MEMBER_MS)
  }
}
