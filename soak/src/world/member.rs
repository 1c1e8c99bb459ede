//! One instance with its proxy before the store, and the faults of instances.

use super::{LEASE_MS, Options, World, faults::sever, lock};
use crate::{
  history::{FROZEN, STOPPED, Target},
  plan::Cut,
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

/// Grace time of a planned stop, ms.
const GRACE_MS: u64 = 8_000;

/// An instance, started again after each end.
pub(super) struct Member {
  /// Before the store.
  pub proxy: Proxy,
  pub instance: Mutex<Instance>,
  /// Starts after the first.
  pub life: AtomicU32,
}

impl Member {
  pub(super) fn open(options: &Options, store: &Store, number: usize) -> io::Result<Self> {
    let proxy = Proxy::bind(store.address)?;
    let name = format!("soak-{}-{number}", options.seed);
    let log = options.logs.as_deref();
    let log = log.map(|folder: &Path| folder.join(format!("{number}.log")));
    let early = options.switch == Some(Break::Lease) && number > 0;
    let short = options.switch == Some(Break::Grace);
    let setup = Setup {
      lease_ms: if early { 60 } else { LEASE_MS },
      grace_ms: if short { 1_050 } else { GRACE_MS },
      log,
      ..Setup::new(&options.program, &name, proxy.address)
    };
    Ok(Self {
      proxy,
      instance: Mutex::new(Instance::start(setup)?),
      life: AtomicU32::new(0),
    })
  }

  fn start(&self, instance: &mut Instance) {
    self.life.fetch_add(1, Ordering::Relaxed);
    if let Err(error) = instance.restart() {
      eprintln!("instance does not start again: {error}");
    }
  }
}

impl World {
  pub(super) fn kill(&self, number: usize, lasts: Duration) {
    let member = &self.members[number];
    let mut instance = lock(&member.instance);
    let trouble = self.book.begin(Target::Instance(number), "kill");
    let _ = instance.child.kill();
    thread::sleep(lasts);
    member.start(&mut instance);
    self.book.end(trouble);
  }

  pub(super) fn freeze(&self, number: usize, lasts: Duration) {
    let instance = lock(&self.members[number].instance);
    let trouble = self.book.begin(Target::Instance(number), FROZEN);
    let _ = instance.signal(Signal::STOP);
    thread::sleep(lasts);
    let _ = instance.signal(Signal::CONT);
    self.book.end(trouble);
  }

  /// A planned stop: requests may not suffer while the process lives.
  pub(super) fn stop(&self, number: usize) {
    let member = &self.members[number];
    let mut instance = lock(&member.instance);
    let _ = instance.signal(Signal::TERM);
    let _ = instance.child.wait();
    let trouble = self.book.begin(Target::Instance(number), STOPPED);
    member.start(&mut instance);
    self.book.end(trouble);
  }

  pub(super) fn reload(&self, number: usize) {
    let instance = lock(&self.members[number].instance);
    // It may have ended by another fault.
    let _ = instance.signal(Signal::HUP);
  }

  pub(super) fn cut_from_store(&self, number: usize, cut: Cut, lasts: Duration) {
    let trouble = self
      .book
      .begin(Target::Instance(number), "cut from the store");
    sever(&self.members[number].proxy, cut, lasts);
    self.book.end(trouble);
  }
}
