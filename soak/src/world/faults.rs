//! Faults of a plan, each begun at its time in a thread of its own.

use super::{World, rest};
use crate::plan::{Cut, Fault, Step};
use stand_ins::proxy::{Fault as ProxyFault, Proxy};
use std::{
  sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
  },
  thread,
  time::Duration,
};

/// Pause between two changes of a series.
const SERIES: Duration = Duration::from_millis(200);

impl World {
  /// Begins each fault at its time, in a thread of its own.
  pub(super) fn strike(
    self: &Arc<Self>,
    steps: &[Step],
    stop: &AtomicBool,
  ) -> Vec<thread::JoinHandle<()>> {
    let began = self.book.now();
    let mut threads = Vec::new();
    for step in steps {
      let wait = (began + step.at).saturating_sub(self.book.now());
      rest(wait, stop);
      if stop.load(Ordering::Relaxed) {
        break;
      }
      let (world, step) = (self.clone(), *step);
      threads.push(thread::spawn(move || world.fault(&step)));
    }
    threads
  }

  fn fault(&self, step: &Step) {
    let lasts = Duration::from_millis(step.lasts);
    match step.fault {
      Fault::Kill(instance) => self.kill(instance, lasts),
      Fault::KillAll => thread::scope(|scope| {
        for instance in 0..self.members.len() {
          scope.spawn(move || self.kill(instance, lasts));
        }
      }),
      Fault::Freeze(instance) => self.freeze(instance, lasts),
      Fault::Stop(instance) => self.stop(instance),
      Fault::Reload(instance) => self.reload(instance),
      Fault::Store(fault) => self.store(fault, lasts),
      Fault::StoreCut(instance, cut) => self.cut_from_store(instance, cut, lasts),
      Fault::Server(place, fault) => self.server(place, fault, lasts),
      Fault::Configure(changes) => self.series(changes),
      Fault::Burst => self.burst(lasts),
    }
  }

  fn series(&self, changes: u32) {
    for _ in 0..changes {
      self.configure();
      thread::sleep(SERIES);
    }
  }

  fn burst(&self, lasts: Duration) {
    self.traffic.bursts.fetch_add(1, Ordering::Relaxed);
    thread::sleep(lasts);
    self.traffic.bursts.fetch_sub(1, Ordering::Relaxed);
  }
}

/// Cuts the connections of a proxy for a time.
pub(super) fn sever(proxy: &Proxy, cut: Cut, lasts: Duration) {
  match cut {
    Cut::Refuse => proxy.fault(ProxyFault::Refuse),
    Cut::Silent => proxy.hold(true, true),
    Cut::OneWay => proxy.hold(false, true),
  }
  thread::sleep(lasts);
  proxy.hold(false, false);
  proxy.fault(ProxyFault::None);
}
