//! Reports of instances to the planner, and the instances that send them.

use super::{models, need::Need, plan::Plan, server};
use crate::{
  demand::{Demand, Model},
  life::Life,
  message::{Extension, Unanswered},
  strain::Sample,
};
use std::{collections::BTreeSet, net::SocketAddr};

/// An instance that has not reported for this long does not count, ms.
const MEMBER_TIMEOUT_MS: u64 = 3_000;
/// A server counts as rejecting requests for this long after a report that names it, ms: instances
/// report at least every second.
pub(crate) const REJECTING_MS: u64 = 1_500;
/// A report that arrives within this time after a publication or a resync may have been sent before
/// its instance received that, ms: datagrams take a few milliseconds, and an instance handles them
/// a few milliseconds later.
const DELIVERY_MS: u64 = 100;

/// A report of an instance to the planner.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Report {
  pub instance: String,
  /// Short name of its machine.
  pub machine: u32,
  pub demand: Vec<Demand>,
  /// Requests sent that have not ended, by server and model.
  pub running: Vec<(Life, Model, u32)>,
  /// Models that servers were found not to hold, contrary to what was published.
  pub missing: Vec<(Life, String)>,
  /// Servers that asked the instance to back off.
  pub resting: Vec<Life>,
  /// How slow servers were for each model since the last report.
  pub strain: Vec<Sample>,
  /// For each group, the number of the last change of holdings that it knows.
  pub known: Vec<u64>,
  /// It has noticed that it lacks changes.
  pub behind: bool,
}

/// An instance that reports.
#[derive(Clone, Debug)]
pub(crate) struct Member {
  pub(super) reported_at: u64,
  machine: u32,
  /// Models that its requests wait for.
  pub(super) needs: Vec<Need>,
  /// Its requests that have not ended, as reported, and as counted at servers.
  running: Vec<(Life, Model, u32)>,
  counted: Vec<(server::Key, models::Key, u32)>,
  /// The number of the last change of the group's holdings that it knows.
  pub(super) known: u64,
  /// It lacks changes according to its last report, and has not been sent them since.
  pub(super) lacks_changes: bool,
  /// When it was last sent the changes that it lacked, ms.
  pub(super) resynced_at: u64,
}

impl Plan {
  /// Handles an instance's report.
  pub fn receive_report(&mut self, now: u64, address: SocketAddr, report: Report) {
    self.apply_missing(now, &report.missing);
    self.apply_resting(now, &report.resting);
    self.apply_strain(now, &report.strain);
    let needs = report
      .demand
      .iter()
      .filter_map(|demand| self.resolve_need(demand));
    let needs: Vec<Need> = needs.collect();
    let known = report.known.get(self.group as usize).copied();
    let known = known.unwrap_or_default();
    let previous = self.members.remove(&address);
    let resynced_at = previous.as_ref().map_or(0, |member| member.resynced_at);
    self.publish_pending |= previous.is_none();
    if let Some(previous) = previous {
      self.subtract_running(&previous.counted);
    }
    let lacks_changes = report.behind || known < self.delivered_changes(now);
    let mut member = Member {
      reported_at: now,
      machine: report.machine,
      needs,
      running: report.running,
      counted: Vec::new(),
      known,
      lacks_changes: lacks_changes && now >= resynced_at + DELIVERY_MS,
      resynced_at,
    };
    member.counted = self.count_running(&member);
    self.members.insert(address, member);
  }

  /// Handles the extension of an instance's report.
  pub fn receive_extension(&mut self, now: u64, _address: SocketAddr, extension: &Extension) {
    self.receive_pace_samples(now, &extension.pace_samples);
    self.apply_samples(now, &extension.samples);
    self.adopt_unanswered(now, extension.unanswered.as_deref().unwrap_or_default());
  }

  /// Counts loads of an earlier holder that servers may still carry out.
  fn adopt_unanswered(&mut self, now: u64, loads: &[Unanswered]) {
    let term_started_at = self.term_started_at;
    for load in loads {
      let server = self.by_short_hash(load.server);
      if let (Some(key), Some(model)) = (server, self.models.find_hash(load.model)) {
        self.change(key, |server, _| {
          server.adopt_unanswered(now, model, term_started_at)
        });
      }
    }
  }

  fn apply_missing(&mut self, now: u64, missing: &[(Life, String)]) {
    for (life, name) in missing {
      let Some(key) = self.find_server(*life) else {
        continue;
      };
      if let Some(model) = self.models.find(self.servers[key].pool, name, None) {
        self.change(key, |server, _| server.model_missing(now, model));
      }
    }
  }

  /// Marks servers that asked an instance to back off: they accept fewer requests than they get.
  fn apply_resting(&mut self, now: u64, resting: &[Life]) {
    for life in resting {
      if let Some(key) = self.find_server(*life) {
        self.servers[key].rejecting_until = now + REJECTING_MS;
        self.any_rejecting_until = self.any_rejecting_until.max(now + REJECTING_MS);
      }
    }
  }

  fn apply_strain(&mut self, now: u64, strain: &[Sample]) {
    for sample in strain {
      let pool = self.models.find_pool(&sample.pool);
      let Some(model) = pool.and_then(|pool| self.models.find(pool, &sample.model, None)) else {
        continue;
      };
      let (requests, slowness) = (f64::from(sample.requests), f64::from(sample.slowness));
      let servers = self.replicas_in_use(model);
      let strain = self.models[model].strain.get_or_insert_default();
      strain.add(now, requests, slowness, servers);
    }
  }

  fn resolve_need(&mut self, demand: &Demand) -> Option<Need> {
    Some(Need {
      model: self.models.intern_deployed(&demand.pool, &demand.model)?,
      waiting: demand.waiting,
      priority: demand.priority,
      age_ms: demand.age_ms,
      waits: demand.waits.clone(),
    })
  }

  /// The number of the last change that was published long enough ago to have reached every
  /// instance, unless a datagram was lost.
  fn delivered_changes(&mut self, now: u64) -> u64 {
    let due = |(at, _): &(u64, u64)| at + DELIVERY_MS <= now;
    while self.publications.get(1).is_some_and(due) {
      self.publications.pop_front();
    }
    let oldest = self.publications.front().filter(|entry| due(entry));
    oldest.map_or(0, |(_, count)| *count)
  }

  /// Adds an instance's running requests to the servers that it names; returns what was added.
  fn count_running(&mut self, member: &Member) -> Vec<(server::Key, models::Key, u32)> {
    let mut counted = Vec::with_capacity(member.running.len());
    for (life, model, count) in &member.running {
      let Some(key) = self.find_server(*life) else {
        continue;
      };
      let server = &mut self.servers[key];
      let adapter = model.adapter.as_deref();
      let model = self.models.intern(server.pool, &model.name, adapter);
      *server.running.entry(model).or_default() += count;
      server.used_at.insert(model, member.reported_at);
      counted.push((key, model, *count));
    }
    counted
  }

  fn subtract_running(&mut self, counted: &[(server::Key, models::Key, u32)]) {
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

  /// Recounts running requests after servers were added that instances may have named before.
  pub(crate) fn recount_running(&mut self) {
    for server in self.servers.values_mut() {
      server.running.clear();
    }
    let mut members = std::mem::take(&mut self.members);
    for member in members.values_mut() {
      member.counted = self.count_running(member);
    }
    self.members = members;
  }

  /// Removes instances that have not reported for too long.
  pub(crate) fn remove_silent_members(&mut self) {
    let now = self.now;
    let silent = self
      .members
      .extract_if(.., |_, member| now > member.reported_at + MEMBER_TIMEOUT_MS);
    let silent: Vec<Member> = silent.map(|(_, member)| member).collect();
    for member in silent {
      self.subtract_running(&member.counted);
    }
  }

  /// Addresses of the instances that report.
  pub fn members(&self, now: u64) -> Vec<SocketAddr> {
    let live_members = self.live_members(now);
    live_members.map(|(address, _)| *address).collect()
  }

  /// Short names of the machines whose instances report.
  pub fn machines(&self, now: u64) -> BTreeSet<u32> {
    self
      .live_members(now)
      .map(|(_, member)| member.machine)
      .collect()
  }

  fn live_members(&self, now: u64) -> impl Iterator<Item = (&SocketAddr, &Member)> {
    let members = self.members.iter();
    members.filter(move |(_, member)| now <= member.reported_at + MEMBER_TIMEOUT_MS)
  }
}
