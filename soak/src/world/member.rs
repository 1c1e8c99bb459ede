//! An instance behind a proxy to the store, and the faults of instances.

use super::{LEASE_MS, Options, World, faults::cut_temporarily, lock};
use crate::{
  customer,
  history::{FROZEN, KILLED, STOPPED, Target},
  plan::{self, Cut},
  switch::Break,
};
use platform_stand_in::{
  instance::{Instance, Setup},
  store::Store,
};
use rustix::process::Signal;
use stand_ins::proxy::Proxy;
use std::{
  io,
  path::Path,
  sync::{
    Mutex,
    atomic::{AtomicU32, Ordering},
  },
  thread,
  time::Duration,
};

/// Grace period of a planned stop.
const GRACE_MS: u64 = 8_000;

/// Memory of an instance with bounds for what it holds for callers, in MiB.
const MEMORY_MB: u64 = 260;

/// An instance, which is restarted each time it ends.
pub(super) struct Member {
  /// Proxy between the instance and the store.
  pub proxy: Proxy,
  pub instance: Mutex<Instance>,
  /// Number of restarts.
  pub life: AtomicU32,
}

impl Member {
  pub(super) fn start(options: &Options, store: &Store, number: usize) -> io::Result<Self> {
    let proxy = Proxy::bind(store.address)?;
    let name = format!("soak-{}-{number}", options.seed);
    let log = options.logs.as_deref();
    let log = log.map(|folder: &Path| folder.join(format!("{number}.log")));
    let all_features = plan::has_features(options.seed);
    let short_lease = options.switch == Some(Break::Lease) && number > 0;
    let short_grace = options.switch == Some(Break::Grace);
    let setup = Setup {
      lease_ms: if short_lease { 60 } else { LEASE_MS },
      grace_ms: if short_grace { 1_050 } else { GRACE_MS },
      log,
      memory_mb: all_features.then_some(MEMORY_MB),
      all_features,
      quota_slack: customer::SLACK,
      ..Setup::new(&options.program, &name, proxy.address)
    };
    Ok(Self {
      proxy,
      instance: Mutex::new(Instance::start(setup)?),
      life: AtomicU32::new(0),
    })
  }

  fn restart(&self, instance: &mut Instance) {
    self.life.fetch_add(1, Ordering::Relaxed);
    if let Err(error) = instance.restart() {
      eprintln!("instance does not start again: {error}");
    }
  }
}

impl World {
  /// Records if the process of an instance has ended without a fault of its own.
  pub(super) fn record_own_end(&self, number: usize, instance: &mut Instance) {
    if let Ok(Some(status)) = instance.child.try_wait() {
      let (at, status) = (self.recorder.now(), status.to_string());
      self
        .recorder
        .record(|history| history.ended.push((number, at, status)));
    }
  }

  pub(super) fn kill(&self, number: usize, duration: Duration) {
    let member = &self.members[number];
    let mut instance = lock(&member.instance);
    self.record_own_end(number, &mut instance);
    let incident = self
      .recorder
      .start_incident(Target::Instance(number), KILLED);
    let _ = instance.child.kill();
    thread::sleep(duration);
    member.restart(&mut instance);
    self.recorder.end_incident(incident);
  }

  pub(super) fn freeze(&self, number: usize, duration: Duration) {
    let mut instance = lock(&self.members[number].instance);
    self.record_own_end(number, &mut instance);
    let incident = self
      .recorder
      .start_incident(Target::Instance(number), FROZEN);
    let _ = instance.signal(Signal::STOP);
    thread::sleep(duration);
    let _ = instance.signal(Signal::CONT);
    self.recorder.end_incident(incident);
  }

  /// Stops an instance as planned. The incident starts only when the process has exited, because
  /// requests must not fail before that.
  pub(super) fn stop(&self, number: usize) {
    let member = &self.members[number];
    let mut instance = lock(&member.instance);
    self.record_own_end(number, &mut instance);
    let _ = instance.signal(Signal::TERM);
    let _ = instance.child.wait();
    let incident = self
      .recorder
      .start_incident(Target::Instance(number), STOPPED);
    member.restart(&mut instance);
    self.recorder.end_incident(incident);
  }

  pub(super) fn reload(&self, number: usize) {
    let instance = lock(&self.members[number].instance);
    // Another fault may have ended the process.
    let _ = instance.signal(Signal::HUP);
  }

  pub(super) fn cut_from_store(&self, number: usize, cut: Cut, duration: Duration) {
    let incident = self
      .recorder
      .start_incident(Target::Instance(number), "cut from the store");
    cut_temporarily(&self.members[number].proxy, cut, duration);
    self.recorder.end_incident(incident);
  }
}
