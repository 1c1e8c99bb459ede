//! A deployment of real instances against stand-ins, and the faults injected into it.

mod collect;
mod configuration;
mod faults;
mod fragile;
mod member;
mod slot;
mod store;
mod watchers;

use crate::{
  history::{History, Recorder},
  load::{NO_CROWD, Traffic},
  plan::{self, Size, Step},
  switch::Break,
};
use fragile::Fragility;
use member::Member;
use platform_stand_in::{runner::Runner, store::Store};
use slot::Slot;
use std::{
  io,
  path::PathBuf,
  sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
  },
  thread,
  time::{Duration, Instant},
};

/// Options of a run.
#[derive(Clone, Debug)]
pub struct Options {
  pub program: PathBuf,
  pub seed: u64,
  pub size: Size,
  pub steps: Vec<Step>,
  pub switch: Option<Break>,
  /// Directory for the logs of the instances.
  pub logs: Option<PathBuf>,
  /// Time from the end of the last fault to the end of the load, in ms.
  pub calm_ms: u64,
}

/// Shortest time between orders of two instances to one server.
pub const LEASE_MS: u64 = 1_000;

/// How long after the last fault callers still come back to streams that began with the run, in ms.
const RETURNS_MS: u64 = 6_000;

/// Instances, servers, callers and the store of a run.
pub struct World {
  recorder: Arc<Recorder>,
  store: Store,
  members: Vec<Member>,
  slots: Vec<Slot>,
  /// All servers ever started.
  runners: Mutex<Vec<Runner>>,
  traffic: Arc<Traffic>,
  version: Mutex<u64>,
  late_orders: AtomicBool,
  fragility: Mutex<Fragility>,
  switch: Option<Break>,
  /// Whether servers of several software versions serve side by side.
  has_builds: bool,
  /// Whether servers send some responses twice.
  copies: bool,
  /// Whether customers have quotas.
  has_quotas: bool,
  /// Whether callers send uploads.
  has_uploads: bool,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Runs a plan and returns its history; ends early when `stop` is set.
pub fn simulate(options: &Options, stop: &AtomicBool) -> io::Result<History> {
  let world = Arc::new(World::start(options)?);
  let watchers = world.start_watchers(options);
  let faults = world.inject_all(&options.steps, stop);
  for fault in faults {
    // The thread of a fault ends when the fault ends.
    let _ = fault.join();
  }
  let faults_ended_at = world.recorder.now();
  world
    .recorder
    .record(|history| history.faults_ended_at = faults_ended_at);
  sleep_until_stopped(options.calm_ms, stop);
  world.traffic.stopped.store(true, Ordering::Relaxed);
  for watcher in watchers {
    let _ = watcher.join();
  }
  Ok(world.collect())
}

fn sleep_until_stopped(ms: u64, stop: &AtomicBool) {
  let deadline = Instant::now() + Duration::from_millis(ms);
  while Instant::now() < deadline && !stop.load(Ordering::Relaxed) {
    thread::sleep(Duration::from_millis(50));
  }
}

impl World {
  fn start(options: &Options) -> io::Result<Self> {
    let store = Store::start();
    store::prepare(&store, options.seed);
    let switch = options.switch;
    if switch != Some(Break::Policy) {
      configuration::write_policy(&store);
    }
    let recorder = Arc::new(Recorder::start());
    let size = options.size;
    let copies = plan::has_copies(options.seed);
    let has_builds = plan::has_builds(options.seed) || switch == Some(Break::Build);
    let slots = (0..size.servers * 2)
      .map(|number| {
        let version = match switch {
          Some(Break::Build) => 1 + number as u32 % 2,
          _ => plan::first_version(options.seed, number),
        };
        Slot::start(&store, number, size.servers, version)
      })
      .collect::<io::Result<Vec<Slot>>>()?;
    if plan::has_malformed(options.seed) {
      slots.iter().for_each(|slot| slot.proxy.pass_resets());
    }
    let runners = slots.iter().map(|slot| lock(&slot.runner).clone());
    let runners = Mutex::new(runners.collect());
    let members = (0..size.instances)
      .map(|number| Member::start(options, &store, number))
      .collect::<io::Result<Vec<Member>>>()?;
    let last_fault_at = options.steps.iter().map(|step| step.at).max();
    let last_fault_at = last_fault_at.unwrap_or_default();
    let traffic = new_traffic(&recorder, &members, switch);
    let traffic = Arc::new(Traffic {
      resumes: has_builds,
      max_absence_ms: last_fault_at + RETURNS_MS,
      states_tokens: plan::has_features(options.seed),
      uploads: plan::has_malformed(options.seed),
      methods: if copies {
        &["POST", "GET", "HEAD"]
      } else {
        &["POST"]
      },
      ..traffic
    });
    let world = Self {
      recorder,
      store,
      members,
      slots,
      runners,
      traffic,
      version: Mutex::new(0),
      late_orders: AtomicBool::new(false),
      fragility: Mutex::default(),
      switch,
      has_builds,
      copies,
      has_quotas: plan::has_features(options.seed),
      has_uploads: plan::has_malformed(options.seed),
    };
    world.prepare();
    Ok(world)
  }

  /// Writes the first configuration and waits until all instances are ready.
  fn prepare(&self) {
    self.configure();
    for slot in &self.slots {
      let runner = lock(&slot.runner);
      self.prepare_runner(&runner);
      self.list(slot, &runner);
    }
    for member in &self.members {
      lock(&member.instance).wait_ready();
    }
    if let (Some(Break::Deaf), Some(member)) = (self.switch, self.members.first()) {
      member.proxy.pause(true, true);
    }
  }
}

fn new_traffic(recorder: &Arc<Recorder>, members: &[Member], switch: Option<Break>) -> Traffic {
  let callers = members.iter().map(|member| lock(&member.instance).callers);
  Traffic {
    recorder: recorder.clone(),
    instances: callers
      .map(|callers| (callers, AtomicBool::new(true)))
      .collect(),
    bursts: AtomicU64::new(0),
    deadline_factor: if switch == Some(Break::Patience) {
      3
    } else {
      1
    },
    crowded: AtomicUsize::new(NO_CROWD),
    resumes: false,
    states_tokens: false,
    uploads: false,
    max_absence_ms: RETURNS_MS,
    methods: &["POST"],
    stopped: AtomicBool::new(false),
  }
}
