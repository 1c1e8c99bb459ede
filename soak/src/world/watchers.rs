//! Starts the callers and the threads that observe the run: probes, the load balancer, and the
//! measurement of scheduling lag.

use super::{Options, World, lock};
use crate::{history::Probe, load, plan, stream};
use platform_stand_in::client::{self, DEADLINE_MS, Outgoing};
use std::{
  net::SocketAddr,
  sync::{Arc, atomic::Ordering},
  thread,
  time::{Duration, Instant},
};

/// Callers per instance that resume streams long after these broke.
const PATIENT_CALLERS: usize = 8;
/// Pause between two probes of the current configuration.
const PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Failed readiness checks after which the load balancer sends no more callers.
const MAX_MISSES: u32 = 2;
/// Pause between two readiness checks of the load balancer.
const READY_INTERVAL: Duration = Duration::from_millis(400);

impl World {
  /// Starts the callers and the observing threads.
  pub(super) fn start_watchers(self: &Arc<Self>, options: &Options) -> Vec<thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    for instance in 0..self.members.len() {
      for caller in 0..options.size.callers {
        let (traffic, seed) = (self.traffic.clone(), options.seed);
        threads.push(thread::spawn(move || {
          load::run_caller(&traffic, instance, caller, seed);
        }));
      }
      let patient_callers = match plan::has_release(options.seed) {
        true => PATIENT_CALLERS,
        false => 0,
      };
      for caller in 0..patient_callers {
        let (traffic, seed) = (self.traffic.clone(), options.seed);
        threads.push(thread::spawn(move || {
          stream::run_patient_caller(&traffic, instance, caller, seed);
        }));
      }
      let world = self.clone();
      threads.push(thread::spawn(move || world.probe(instance)));
      let world = self.clone();
      threads.push(thread::spawn(move || world.check_readiness(instance)));
    }
    let world = self.clone();
    threads.push(thread::spawn(move || world.measure_lag()));
    threads
  }

  fn is_stopped(&self) -> bool {
    self.traffic.stopped.load(Ordering::Relaxed)
  }

  /// Probes which configuration version an instance uses.
  fn probe(&self, instance: usize) {
    let (address, ready) = &self.traffic.instances[instance];
    let mut last_found = 1;
    while !self.is_stopped() {
      thread::sleep(PROBE_INTERVAL);
      if !ready.load(Ordering::Relaxed) {
        continue;
      }
      let life = self.members[instance].life.load(Ordering::Relaxed);
      let newest = *lock(&self.version);
      let at = self.recorder.now();
      let is_current = |version: &u64| self.query_version(*address, *version) == Some(200);
      let found = (last_found.min(newest)..=newest).rev().find(is_current);
      last_found = found.unwrap_or(last_found);
      let same_process = life == self.members[instance].life.load(Ordering::Relaxed);
      if let (Some(version), true) = (found, same_process) {
        let probe = Probe {
          instance,
          life,
          at,
          version,
        };
        self.recorder.record(|history| history.probes.push(probe));
      }
    }
  }

  fn query_version(&self, address: SocketAddr, version: u64) -> Option<u16> {
    let path = format!("/version-{version}/x");
    let request = Outgoing {
      method: "POST",
      path: &path,
      id: "probe",
      model: None,
      deadline_ms: DEADLINE_MS,
      headers: &[],
      body: "",
    };
    client::send(address, &request).map(|answer| answer.status)
  }

  /// Keeps callers away from an instance while it does not report that it is ready.
  fn check_readiness(&self, instance: usize) {
    let health = lock(&self.members[instance].instance).health;
    let mut misses = 0;
    while !self.is_stopped() {
      let ready = client::is_ready(health);
      misses = if ready { 0 } else { misses + 1 };
      let (_, receives_callers) = &self.traffic.instances[instance];
      receives_callers.store(misses < MAX_MISSES, Ordering::Relaxed);
      thread::sleep(READY_INTERVAL);
    }
  }

  /// Measures the scheduling lag of this process.
  fn measure_lag(&self) {
    let pause = Duration::from_millis(20);
    while !self.is_stopped() {
      let started_at = Instant::now();
      thread::sleep(pause);
      let lag = started_at.elapsed().saturating_sub(pause).as_millis() as u64;
      self
        .recorder
        .record(|history| history.max_lag_ms = history.max_lag_ms.max(lag));
    }
  }
}
