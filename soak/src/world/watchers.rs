//! Callers, and what looks on while they send: probes, the balancer, the replicas.

use super::{Options, World, lock};
use crate::{history::Probe, load};
use platform_stand_in::client::{self, Ask, DEADLINE_MS};
use std::{
  net::SocketAddr,
  sync::{Arc, atomic::Ordering},
  thread,
  time::{Duration, Instant},
};

/// Pause between two looks at what is in force.
const PROBE: Duration = Duration::from_millis(150);
/// Misses after which a balancer sends no more callers.
const MISSES: u32 = 2;
/// Pause between the balancer's questions.
const READY: Duration = Duration::from_millis(400);

impl World {
  /// Starts callers and everything that looks on.
  pub(super) fn watch(self: &Arc<Self>, options: &Options) -> Vec<thread::JoinHandle<()>> {
    let mut threads = Vec::new();
    for instance in 0..self.members.len() {
      for caller in 0..options.size.callers {
        let (traffic, seed) = (self.traffic.clone(), options.seed);
        threads.push(thread::spawn(move || {
          load::call(&traffic, instance, caller, seed);
        }));
      }
      let world = self.clone();
      threads.push(thread::spawn(move || world.probe(instance)));
      let world = self.clone();
      threads.push(thread::spawn(move || world.balance(instance)));
    }
    let world = self.clone();
    threads.push(thread::spawn(move || world.look()));
    threads
  }

  fn over(&self) -> bool {
    self.traffic.over.load(Ordering::Relaxed)
  }

  /// Asks an instance which configuration is in force.
  fn probe(&self, instance: usize) {
    let (address, ready) = &self.traffic.instances[instance];
    let mut known = 1;
    while !self.over() {
      thread::sleep(PROBE);
      if !ready.load(Ordering::Relaxed) {
        continue;
      }
      let life = self.members[instance].life.load(Ordering::Relaxed);
      let newest = *lock(&self.version);
      let at = self.book.now();
      let in_force = |version: &u64| self.ask(*address, *version) == Some(200);
      let found = (known.min(newest)..=newest).rev().find(in_force);
      known = found.unwrap_or(known);
      let same = life == self.members[instance].life.load(Ordering::Relaxed);
      if let (Some(version), true) = (found, same) {
        let probe = Probe {
          instance,
          life,
          at,
          version,
        };
        self.book.note(|history| history.probes.push(probe));
      }
    }
  }

  fn ask(&self, address: SocketAddr, version: u64) -> Option<u16> {
    let path = format!("/version-{version}/x");
    let ask = Ask {
      method: "POST",
      path: &path,
      id: "probe",
      model: None,
      deadline_ms: DEADLINE_MS,
      headers: &[],
      body: "",
    };
    client::send(address, &ask).map(|answer| answer.status)
  }

  /// Takes an instance out for callers while it does not call itself ready.
  fn balance(&self, instance: usize) {
    let health = lock(&self.members[instance].instance).health;
    let mut misses = 0;
    while !self.over() {
      let ready = client::ready(health);
      misses = if ready { 0 } else { misses + 1 };
      let (_, sends) = &self.traffic.instances[instance];
      sends.store(misses < MISSES, Ordering::Relaxed);
      thread::sleep(READY);
    }
  }

  /// Measures this process's own delays.
  fn look(&self) {
    let pause = Duration::from_millis(20);
    while !self.over() {
      let began = Instant::now();
      thread::sleep(pause);
      let lag = began.elapsed().saturating_sub(pause).as_millis() as u64;
      self
        .book
        .note(|history| history.lag_ms = history.lag_ms.max(lag));
    }
  }
}
