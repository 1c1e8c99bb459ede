//! A deployment of real instances before stand-ins, and the faults done to it.

mod configuration;
mod faults;
mod gather;
mod member;
mod place;
mod store;
mod watchers;

use crate::{
  history::{Book, History},
  load::Traffic,
  plan::{Size, Step},
  switch::Break,
};
use member::Member;
use place::Place;
use platform_stand_in::{runner::Runner, store::Store};
use std::{
  io,
  path::PathBuf,
  sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  thread,
  time::{Duration, Instant},
};

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
  pub program: PathBuf,
  pub seed: u64,
  pub size: Size,
  pub steps: Vec<Step>,
  pub switch: Option<Break>,
  /// Logs of the instances go here.
  pub logs: Option<PathBuf>,
  /// From the last fault's end to the end of the load, ms.
  pub calm_ms: u64,
}

/// Time between orders of two instances to one server, ms.
pub const LEASE_MS: u64 = 1_000;

/// Everything that runs.
pub struct World {
  book: Arc<Book>,
  store: Store,
  members: Vec<Member>,
  places: Vec<Place>,
  /// All servers there ever were.
  runners: Mutex<Vec<Runner>>,
  traffic: Arc<Traffic>,
  version: Mutex<u64>,
  late: AtomicBool,
  broken: Option<Break>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Plays a run; ends early when `stop` is set.
pub fn simulate(options: &Options, stop: &AtomicBool) -> io::Result<History> {
  let world = Arc::new(World::open(options)?);
  let watchers = world.watch(options);
  let faults = world.strike(&options.steps, stop);
  for fault in faults {
    // A fault's thread ends with its fault.
    let _ = fault.join();
  }
  let calm_from = world.book.now();
  world.book.note(|history| history.calm_from = calm_from);
  rest(options.calm_ms, stop);
  world.traffic.over.store(true, Ordering::Relaxed);
  for watcher in watchers {
    let _ = watcher.join();
  }
  Ok(world.gather())
}

fn rest(ms: u64, stop: &AtomicBool) {
  let until = Instant::now() + Duration::from_millis(ms);
  while Instant::now() < until && !stop.load(Ordering::Relaxed) {
    thread::sleep(Duration::from_millis(50));
  }
}

impl World {
  fn open(options: &Options) -> io::Result<Self> {
    let store = Store::start();
    let broken = options.switch;
    if broken != Some(Break::Policy) {
      configuration::bound(&store);
    }
    let book = Arc::new(Book::open());
    let size = options.size;
    let places = (0..size.servers * 2)
      .map(|number| Place::open(&store, number, size.servers))
      .collect::<io::Result<Vec<Place>>>()?;
    let runners = places.iter().map(|place| lock(&place.runner).clone());
    let runners = Mutex::new(runners.collect());
    let members = (0..size.instances)
      .map(|number| Member::open(options, &store, number))
      .collect::<io::Result<Vec<Member>>>()?;
    let traffic = Arc::new(traffic(&book, &members, broken));
    let world = Self {
      book,
      store,
      members,
      places,
      runners,
      traffic,
      version: Mutex::new(0),
      late: AtomicBool::new(false),
      broken,
    };
    world.begin();
    Ok(world)
  }

  /// Puts the first configuration in force and waits for all instances.
  fn begin(&self) {
    self.configure();
    for place in &self.places {
      lock(&place.runner).mood(self.mood());
    }
    for member in &self.members {
      lock(&member.instance).wait_ready();
    }
    if let (Some(Break::Deaf), Some(member)) = (self.broken, self.members.first()) {
      member.proxy.hold(true, true);
    }
  }
}

fn traffic(book: &Arc<Book>, members: &[Member], broken: Option<Break>) -> Traffic {
  let callers = members.iter().map(|member| lock(&member.instance).callers);
  Traffic {
    book: book.clone(),
    instances: callers
      .map(|callers| (callers, AtomicBool::new(true)))
      .collect(),
    bursts: AtomicU64::new(0),
    patience: if broken == Some(Break::Patience) {
      3
    } else {
      1
    },
    over: AtomicBool::new(false),
  }
}
