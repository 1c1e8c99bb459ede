//! Servers that are brittle, and requests with a part in their prompts that crashes servers.

use super::{World, lock, slot::ENTRY_EXPIRY};
use crate::{
  customer::Customer,
  history::{BrittlePeriod, Kind, PartRuns, Target},
  load,
};
use platform_stand_in::{
  client::{self, Outgoing},
  deployment::MODELS,
  runner::{Brittle, Runner},
};
use stand_ins::proxy::Fault as ProxyFault;
use std::{
  collections::BTreeSet,
  sync::atomic::{AtomicBool, Ordering},
  thread,
  time::{Duration, Instant},
};

/// Number of requests that a server runs at once, as its entry states.
const SLOTS: u32 = 8;
/// Pause between two requests with a part that crashes servers.
const DEADLY_PAUSE: Duration = Duration::from_millis(120);
/// Time from the start of such a run to the crash.
const CRASH_DELAY: Duration = Duration::from_millis(40);
/// Time for which the entry of a server that has crashed stays, and then until its slot is taken again.
const DOWNTIME: Duration = Duration::from_millis(600);

/// What servers that start must be like, besides their ordinary behavior.
#[derive(Clone, Debug, Default)]
pub(super) struct Fragility {
  /// Rejections within a second beyond which the servers of a service fall over.
  brittle: [Option<u32>; 2],
  deadly_parts: Vec<String>,
}

/// Index of the service of a server: 0 for the model engines, 1 for the plain servers.
fn service_of(runner: &Runner) -> usize {
  usize::from(!runner.id.starts_with('m'))
}

impl World {
  /// Gives a server that has started what all servers of its service have.
  pub(super) fn apply_fragility(&self, runner: &Runner) {
    let fragility = lock(&self.fragility).clone();
    if let Some(max) = fragility.brittle[service_of(runner)] {
      runner.set_brittle(Some(Brittle::new(max, SLOTS)));
    }
    if !fragility.deadly_parts.is_empty() {
      let parts: Vec<&str> = fragility.deadly_parts.iter().map(String::as_str).collect();
      runner.crash_on_parts(&parts, CRASH_DELAY);
    }
  }

  /// Lets the servers of a service be brittle for a while.
  pub(super) fn let_be_brittle(&self, service: usize, max: u32, duration: Duration) {
    let from = self.recorder.now();
    self.set_brittle(service, Some(max));
    thread::sleep(duration);
    self.set_brittle(service, None);
    let to = self.recorder.now();
    let runners = lock(&self.runners);
    let ids = runners.iter().filter(|it| service_of(it) == service);
    let servers: BTreeSet<String> = ids.map(|runner| runner.id.clone()).collect();
    let size = self.slots.len() / 2;
    self.recorder.record(|history| {
      history.brittle.push(BrittlePeriod {
        servers,
        size,
        from,
        to,
      })
    });
  }

  fn set_brittle(&self, service: usize, max: Option<u32>) {
    lock(&self.fragility).brittle[service] = max;
    let runners = lock(&self.runners).clone();
    for runner in runners.iter().filter(|it| service_of(it) == service) {
      runner.set_brittle(max.map(|max| Brittle::new(max, SLOTS)));
    }
  }

  /// Sends requests with a part that crashes servers to all instances for a while.
  pub(super) fn send_deadly_parts(&self, number: u32, duration: Duration) {
    let part = format!("dead{number:04x}");
    lock(&self.fragility).deadly_parts.push(part.clone());
    for runner in lock(&self.runners).clone() {
      self.apply_fragility(&runner);
    }
    let is_over = AtomicBool::new(false);
    thread::scope(|scope| {
      scope.spawn(|| {
        while self.replace_crashed() || !is_over.load(Ordering::Relaxed) {
          thread::sleep(Duration::from_millis(1));
        }
      });
      self.send_deadly_for(number, &part, duration);
      is_over.store(true, Ordering::Relaxed);
    });
    self.recorder.record(|history| {
      history.deadly.push(PartRuns {
        prefix: format!("deadly-{number}-"),
        crashes: Vec::new(),
      })
    });
  }

  /// Sends requests with a part for this long, and waits for their responses.
  fn send_deadly_for(&self, number: u32, part: &str, duration: Duration) {
    let until = Instant::now() + duration;
    thread::scope(|scope| {
      for attempt in 0.. {
        if Instant::now() >= until {
          break;
        }
        let (address, ready) = &self.traffic.instances[attempt % self.members.len()];
        if ready.load(Ordering::Relaxed) {
          let address = *address;
          scope.spawn(move || send_deadly(address, part, number, attempt));
        }
        thread::sleep(DEADLY_PAUSE);
      }
    });
  }

  /// Starts servers in the slots of those that a request has crashed; returns whether some are left.
  fn replace_crashed(&self) -> bool {
    let mut are_left = false;
    for slot in &self.slots {
      // Another fault holds the slot.
      let Ok(mut runner) = slot.runner.try_lock() else {
        are_left = true;
        continue;
      };
      let Some(crashed_at) = runner.crashed_at() else {
        continue;
      };
      slot.proxy.fault(ProxyFault::Refuse);
      if crashed_at.elapsed() < DOWNTIME.max(ENTRY_EXPIRY) {
        are_left = true;
        continue;
      }
      self.end_crashed(&runner.id);
      self.replace(slot, &mut runner, None);
    }
    are_left
  }

  fn end_crashed(&self, id: &str) {
    self.record_end_of_service(id);
    self.remove_entry(id);
  }

  /// Adds the times at which servers fell over or were crashed by requests to the history, which excuse
  /// what ran there.
  pub(super) fn collect_crashes(&self, runner: &Runner, history: &mut crate::history::History) {
    let margin = 300;
    let downtime = (DOWNTIME + ENTRY_EXPIRY).as_millis() as u64 + 1_000;
    let falls = runner.falls();
    for at in falls.iter().copied().chain(runner.crashed_at()) {
      let at = self.recorder.ms_at(at);
      history.incidents.push(crate::history::Incident {
        target: Target::Server(runner.id.clone()),
        cause: "crash",
        from: at.saturating_sub(margin),
        to: at + downtime,
      });
    }
    let falls = falls.iter().map(|at| self.recorder.ms_at(*at));
    history
      .falls
      .extend(falls.map(|at| (runner.id.clone(), at)));
    let Some(crashed_at) = runner.crashed_at() else {
      return;
    };
    let at = self.recorder.ms_at(crashed_at);
    for runs in &mut history.deadly {
      let executed = runner.executed();
      let mut executed = executed.iter();
      if executed.any(|seen| seen.id.starts_with(&runs.prefix)) {
        runs.crashes.push(at);
      }
    }
  }
}

/// Sends a request with a part that crashes servers. Its caller expects nothing.
fn send_deadly(address: std::net::SocketAddr, part: &str, number: u32, attempt: usize) {
  let id = format!("deadly-{number}-{attempt}");
  let parts = format!("{},{part}:10,{attempt:x}:10", load::FIRST_PART);
  let path = format!("/{}/x", Kind::Stream.route());
  let request = Outgoing {
    method: "POST",
    path: &path,
    id: &id,
    model: Some(MODELS[attempt % 2]),
    deadline_ms: Kind::Stream.deadline_ms(),
    headers: &[
      ("Authorization", Customer::Unlimited.authorization()),
      (client::PROMPT_PARTS, &parts),
    ],
    body: &id,
  };
  client::send(address, &request);
}
