//! Injects the faults of a plan.

use super::{World, sleep_until_stopped};
use crate::{
  load::NO_CROWD,
  plan::{Cut, Fault, Step},
};
use stand_ins::proxy::{Fault as ProxyFault, Proxy};
use std::{
  sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
  },
  thread,
  time::Duration,
};

/// Pause between two configuration changes of one fault.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

impl World {
  /// Starts each fault at its time, in its own thread.
  pub(super) fn inject_all(
    self: &Arc<Self>,
    steps: &[Step],
    stop: &AtomicBool,
  ) -> Vec<thread::JoinHandle<()>> {
    let started_at = self.recorder.now();
    let mut threads = Vec::new();
    for step in steps {
      let wait = (started_at + step.at).saturating_sub(self.recorder.now());
      sleep_until_stopped(wait, stop);
      if stop.load(Ordering::Relaxed) {
        break;
      }
      let (world, step) = (self.clone(), *step);
      threads.push(thread::spawn(move || world.inject(&step)));
    }
    threads
  }

  fn inject(&self, step: &Step) {
    let duration = Duration::from_millis(step.duration_ms);
    match step.fault {
      Fault::Kill(instance) => self.kill(instance, duration),
      Fault::KillAll => thread::scope(|scope| {
        for instance in 0..self.members.len() {
          scope.spawn(move || self.kill(instance, duration));
        }
      }),
      Fault::Freeze(instance) => self.freeze(instance, duration),
      Fault::Stop(instance) => self.stop(instance),
      Fault::Reload(instance) => self.reload(instance),
      Fault::Store(fault) => self.inject_store_fault(fault, duration),
      Fault::StoreCut(instance, cut) => self.cut_from_store(instance, cut, duration),
      Fault::Server(slot, fault) => self.inject_server_fault(slot, fault, duration),
      Fault::Configure(changes) => self.configure_repeatedly(changes),
      Fault::Burst => self.burst(duration),
      Fault::Brittle(service, max) => self.let_be_brittle(service, max, duration),
      Fault::Crowd(instance) => self.crowd(instance, duration),
      Fault::DeadlyPart(number) => self.send_deadly_parts(number, duration),
    }
  }

  fn configure_repeatedly(&self, changes: u32) {
    for _ in 0..changes {
      self.configure();
      thread::sleep(CHANGE_PAUSE);
    }
  }

  fn crowd(&self, instance: usize, duration: Duration) {
    let crowded = &self.traffic.crowded;
    crowded.store(instance, Ordering::Relaxed);
    thread::sleep(duration);
    // Another such time may have begun.
    let _ = crowded.compare_exchange(instance, NO_CROWD, Ordering::Relaxed, Ordering::Relaxed);
  }

  fn burst(&self, duration: Duration) {
    self.traffic.bursts.fetch_add(1, Ordering::Relaxed);
    thread::sleep(duration);
    self.traffic.bursts.fetch_sub(1, Ordering::Relaxed);
  }
}

/// Cuts the connections of a proxy for `duration`.
pub(super) fn cut_temporarily(proxy: &Proxy, cut: Cut, duration: Duration) {
  match cut {
    Cut::Refuse => proxy.fault(ProxyFault::Refuse),
    Cut::Silent => proxy.pause(true, true),
    Cut::OneWay => proxy.pause(false, true),
  }
  thread::sleep(duration);
  proxy.pause(false, false);
  proxy.fault(ProxyFault::None);
}
