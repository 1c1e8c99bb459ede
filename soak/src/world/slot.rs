//! A slot for consecutive servers at one address, and the faults of servers.

use super::{World, faults::cut_temporarily, lock};
use crate::{
  history::{Serving, Target},
  plan::Server,
  switch::Break,
};
use platform_stand_in::{
  deployment::MODELS,
  runner::{self, Behavior, Runner},
  store::Store,
};
use stand_ins::proxy::{Fault as ProxyFault, Proxy};
use std::{
  io,
  sync::{
    Mutex,
    atomic::{AtomicU32, Ordering},
  },
  thread,
  time::Duration,
};

/// Time from a crash until the entry of a server expires.
pub(super) const ENTRY_EXPIRY: Duration = Duration::from_millis(800);
/// How long a server keeps serving after its entry is removed.
const SERVES_AFTER_REMOVAL: Duration = Duration::from_millis(2_500);
/// Share of requests to a server in trouble that get what is no response, in percent.
const TROUBLE_PERCENT: u64 = 40;
/// Time in which responses without a length end.
const UNFRAMED_END: Duration = Duration::from_millis(500);
/// How long the delay fault delays each chunk of data.
const PROXY_DELAY: Duration = Duration::from_millis(40);

/// A slot for a server: its proxy, and the server that is currently behind it.
pub(super) struct Slot {
  pub(super) proxy: Proxy,
  service: &'static str,
  pub runner: Mutex<Runner>,
  starts: AtomicU32,
}

impl Slot {
  pub(super) fn start(
    store: &Store,
    number: usize,
    engines: usize,
    version: u32,
  ) -> io::Result<Self> {
    // The proxy's target is set once the server listens.
    let proxy = Proxy::bind(store.address)?;
    let (service, id) = match number < engines {
      true => ("models", format!("m{number}.0")),
      false => ("plain", format!("p{number}.0")),
    };
    let pair = [MODELS[number % 2], MODELS[2 + number % 4]];
    let models: &[&str] = if service == "models" { &pair } else { &[] };
    let runner = start_runner(store, &proxy, (&id, service), models, version);
    Ok(Self {
      proxy,
      service,
      runner: Mutex::new(runner),
      starts: AtomicU32::new(0),
    })
  }
}

impl World {
  pub(super) fn inject_server_fault(&self, number: usize, fault: Server, duration: Duration) {
    let slot = &self.slots[number];
    let mut runner = lock(&slot.runner);
    // A pause excuses nothing: the server goes on.
    let target = (fault != Server::PausesStreams).then(|| Target::Server(runner.id.clone()));
    let incident = target.map(|target| self.recorder.start_incident(target, "server"));
    let mood = self.default_mood();
    match fault {
      Server::Crash => self.crash(slot, &mut runner, duration),
      Server::Restart => self.restart(slot, &mut runner, duration, None),
      Server::RestartAt(version) => self.restart(slot, &mut runner, duration, Some(version)),
      Server::Renew(version, tenths) => {
        let entry_delay = Duration::from_millis(u64::from(tenths) * 100);
        self.renew(slot, &mut runner, duration, (version, entry_delay));
      }
      Server::Roll(version) => self.drain(slot, &mut runner, true, Some(version)),
      Server::Drain => self.drain(slot, &mut runner, true, None),
      Server::Vanish => self.drain(slot, &mut runner, false, None),
      Server::Cut(cut) => cut_temporarily(&slot.proxy, cut, duration),
      Server::Delay => delay_temporarily(&slot.proxy, duration),
      Server::Slow => {
        let work = mood.work * 10;
        set_mood_temporarily(&runner, Behavior { work, ..mood }, mood, duration);
      }
      Server::Fails => set_mood_temporarily(&runner, Behavior { fail: 40, ..mood }, mood, duration),
      Server::Declines => set_mood_temporarily(
        &runner,
        Behavior {
          decline: 40,
          ..mood
        },
        mood,
        duration,
      ),
      Server::LosesAnswers => {
        set_mood_temporarily(&runner, Behavior { lose: 20, ..mood }, mood, duration)
      }
      Server::BreaksStreams => {
        set_mood_temporarily(&runner, Behavior { cut: 30, ..mood }, mood, duration)
      }
      Server::PausesStreams => {
        set_mood_temporarily(&runner, Behavior { pause: 30, ..mood }, mood, duration)
      }
      Server::Malformed => {
        let malformed = Behavior {
          malformed: TROUBLE_PERCENT,
          ..mood
        };
        set_mood_temporarily(&runner, malformed, mood, duration);
      }
      Server::Early => {
        let early = Behavior {
          early: TROUBLE_PERCENT,
          ..mood
        };
        set_mood_temporarily(&runner, early, mood, duration);
      }
      Server::Unframed => {
        let unframed = Behavior {
          unframed: true,
          ..mood
        };
        set_mood_temporarily(&runner, unframed, mood, duration);
        // A crash behind the proxy would look like the end of a response.
        thread::sleep(UNFRAMED_END);
      }
      Server::Says => {
        runner.announce_leaving();
        thread::sleep(duration);
        self.drain(slot, &mut runner, true, None);
      }
      Server::Rest(tenths) => {
        let seconds = f64::from(tenths) / 10.0;
        runner.set_backoff(Some(&seconds.to_string()));
        thread::sleep(duration);
        runner.set_backoff(None);
      }
      Server::Limit(in_ten_seconds) => {
        runner.set_limit(Some(f64::from(in_ten_seconds) / 10.0));
        thread::sleep(duration);
        runner.set_limit(None);
      }
      Server::OrdersLate => {
        self.late_orders.store(true, Ordering::Relaxed);
        set_mood_temporarily(&runner, Behavior { late: 50, ..mood }, mood, duration);
      }
    }
    if let Some(incident) = incident {
      self.recorder.end_incident(incident);
    }
  }

  /// The server crashes, and another one starts at its address.
  fn crash(&self, slot: &Slot, runner: &mut Runner, duration: Duration) {
    self.record_end_of_service(&runner.id);
    runner.kill();
    self.record_removal(&runner.id);
    slot.proxy.fault(ProxyFault::Refuse);
    thread::sleep(ENTRY_EXPIRY);
    self.store.remove("servers", &runner.id);
    thread::sleep(duration);
    self.replace(slot, runner, None);
  }

  /// The server crashes, and another one with this software version starts at its address. The
  /// entry of the old one stays until that of the new one is written.
  fn renew(
    &self,
    slot: &Slot,
    runner: &mut Runner,
    duration: Duration,
    (version, entry_delay): (u32, Duration),
  ) {
    let old = runner.id.clone();
    self.record_end_of_service(&old);
    runner.kill();
    slot.proxy.fault(ProxyFault::Refuse);
    thread::sleep(duration);
    *runner = self.start_next(slot, runner, Some(version));
    thread::sleep(entry_delay);
    self.remove_entry(&old);
    self.list(slot, runner);
  }

  /// The server crashes and restarts with the same id and address, while its entry stays. Its
  /// software version stays if none is given.
  fn restart(&self, slot: &Slot, runner: &mut Runner, duration: Duration, version: Option<u32>) {
    self.record_end_of_service(&runner.id);
    runner.kill();
    slot.proxy.fault(ProxyFault::Refuse);
    thread::sleep(duration);
    let id = runner.id.clone();
    *runner = self.start_runner(slot, &id, version.unwrap_or_else(|| version_of(runner)));
    self.list(slot, runner);
  }

  /// The server leaves, and another one takes its slot. If `announced`, its entry changes to
  /// draining first; otherwise the entry is removed at once. The other one has the same software
  /// version if none is given.
  fn drain(&self, slot: &Slot, runner: &mut Runner, announced: bool, version: Option<u32>) {
    let at = self.recorder.now();
    let id = runner.id.clone();
    self.record_end_of_service(&id);
    if self.switch != Some(Break::Leave) {
      match announced {
        true => runner.write_entry("draining"),
        false => self.remove_entry(&id),
      }
    }
    self
      .recorder
      .record(|history| history.drained.push((id, at)));
    thread::sleep(SERVES_AFTER_REMOVAL * 2);
    self.remove_entry(&runner.id);
    runner.kill();
    slot.proxy.close_connections();
    self.replace(slot, runner, version);
  }

  /// Removes the entry of a server for good.
  pub(super) fn remove_entry(&self, id: &str) {
    self.store.remove("servers", id);
    self.record_removal(id);
  }

  fn record_removal(&self, id: &str) {
    let at = self.recorder.now();
    self
      .recorder
      .record(|history| history.removed.push((id.to_string(), at)));
  }

  pub(super) fn replace(&self, slot: &Slot, runner: &mut Runner, version: Option<u32>) {
    *runner = self.start_next(slot, runner, version);
    self.list(slot, runner);
  }

  /// Starts a server with the next id of the slot, which has no entry yet.
  fn start_next(&self, slot: &Slot, runner: &Runner, version: Option<u32>) -> Runner {
    let start = slot.starts.fetch_add(1, Ordering::Relaxed);
    let name = runner.id.split('.').next().unwrap_or_default();
    let id = format!("{name}.{}", start + 1);
    self.start_runner(slot, &id, version.unwrap_or_else(|| version_of(runner)))
  }

  /// Starts a server that has no entry yet.
  fn start_runner(&self, slot: &Slot, id: &str, version: u32) -> Runner {
    // A fault may have ended the server before.
    slot.proxy.fault(ProxyFault::None);
    let runner = start_runner(&self.store, &slot.proxy, (id, slot.service), &[], version);
    self.prepare_runner(&runner);
    lock(&self.runners).push(runner.clone());
    runner
  }

  /// Sets the behavior of a server that has started.
  pub(super) fn prepare_runner(&self, runner: &Runner) {
    runner.set_behavior(self.default_mood());
    self.apply_fragility(runner);
    if self.switch == Some(Break::Build) {
      runner.state_version(runner::VERSION);
    }
  }

  /// Writes the entry of a server that has started, from which on it counts as serving.
  pub(super) fn list(&self, slot: &Slot, runner: &Runner) {
    runner.write_entry("ready");
    if slot.service == "plain" {
      self.record_service(runner);
    }
  }

  fn record_service(&self, runner: &Runner) {
    let serving = Serving {
      server: runner.id.clone(),
      version: runner.version(),
      from: self.recorder.now(),
      to: u64::MAX,
    };
    self
      .recorder
      .record(|history| history.serving.push(serving));
  }

  pub(super) fn record_end_of_service(&self, id: &str) {
    let at = self.recorder.now();
    self.recorder.record(|history| {
      let serving = history.serving.iter_mut();
      serving
        .filter(|one| one.server == id && one.to == u64::MAX)
        .for_each(|one| one.to = at);
    });
  }
}

/// Number of a server's software version.
fn version_of(runner: &Runner) -> u32 {
  let version = runner.version();
  let number = version.strip_prefix('v').and_then(|text| text.parse().ok());
  number.expect("not a version of this soak")
}

fn set_mood_temporarily(runner: &Runner, mood: Behavior, normal: Behavior, duration: Duration) {
  runner.set_behavior(mood);
  thread::sleep(duration);
  runner.set_behavior(normal);
}

fn delay_temporarily(proxy: &Proxy, duration: Duration) {
  proxy.fault(ProxyFault::Delay(PROXY_DELAY));
  thread::sleep(duration);
  proxy.fault(ProxyFault::None);
}

/// Starts a server that has no entry yet.
fn start_runner(
  store: &Store,
  proxy: &Proxy,
  (id, service): (&str, &str),
  models: &[&str],
  version: u32,
) -> Runner {
  let version = format!("v{version}");
  let runner = Runner::start_unlisted(store, id, service, models, &version, |address| {
    proxy.retarget(address);
    proxy.address
  });
  let proxy = proxy.clone();
  runner.before_crash(move || proxy.fault(ProxyFault::Refuse));
  runner
}
