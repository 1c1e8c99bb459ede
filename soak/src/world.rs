//! A deployment of real instances before stand-ins, and the faults done to it.

use crate::{
  history::{Book, FROZEN, History, Hold, Order, Probe, Run, STOPPED, Target},
  load::{self, Traffic},
  plan::{Cut, Fault, Server, Size, Step, Store as StoreFault},
};
use platform_stand_in::{
  client::{self, Ask, DEADLINE_MS},
  deployment::{MODELS, config, route},
  instance::{Instance, Setup},
  runner::{Mood, Runner},
  store::{Fate, Store},
};
use rustix::process::Signal;
use serde_json::{Value, json};
use stand_ins::proxy::{Fault as ProxyFault, Proxy};
use std::{
  io,
  path::{Path, PathBuf},
  sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
  },
  thread,
  time::{Duration, Instant},
};

/// A switch that breaks a mechanism: the check named must notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Break {
  /// A call that may not be repeated is configured as one that may.
  Repeat,
  /// Servers run what they say they did not run.
  Lie,
  /// Servers answer with another request's answer.
  Mix,
  /// One instance takes the lease of orders early.
  Lease,
  /// Instances are given less time for a planned stop than it takes.
  Grace,
  /// One instance does not hear from the store.
  Deaf,
  /// Servers leave without a word.
  Leave,
  /// The configuration names more memory than servers have.
  Memory,
  /// Callers state a longer deadline than they keep.
  Patience,
  /// No policy bounds the replicas.
  Policy,
}

impl Break {
  /// All switches, by name, with the promise whose check must notice.
  pub const ALL: [(&'static str, Self, &'static str); 10] = [
    ("repeat", Self::Repeat, "once"),
    ("lie", Self::Lie, "refusal"),
    ("mix", Self::Mix, "answer"),
    ("lease", Self::Lease, "orders"),
    ("grace", Self::Grace, "answer"),
    ("deaf", Self::Deaf, "configuration"),
    ("leave", Self::Leave, "leaving"),
    ("memory", Self::Memory, "memory"),
    ("patience", Self::Patience, "in time"),
    ("policy", Self::Policy, "replicas"),
  ];

  /// The faults in which the broken mechanism shows.
  pub fn steps(self) -> Vec<Step> {
    let step = |at, lasts, fault| Step { at, lasts, fault };
    match self {
      Self::Grace => vec![
        step(1_000, 0, Fault::Stop(0)),
        step(1_000, 3_000, Fault::Burst),
      ],
      Self::Deaf => (0..6)
        .map(|n| step(500 + n * 1_000, 0, Fault::Configure(1)))
        .collect(),
      Self::Leave => vec![step(500, 0, Fault::Server(5, Server::Drain))],
      Self::Policy => vec![step(300, 6_000, Fault::Burst)],
      // What only this server held is loaded where there is no room.
      Self::Memory => vec![step(500, 500, Fault::Server(0, Server::Crash))],
      Self::Repeat | Self::Lie | Self::Mix | Self::Lease | Self::Patience => {
        vec![step(300, 4_000, Fault::Burst)]
      }
    }
  }
}

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct Options {
  pub program: PathBuf,
  pub seed: u64,
  pub size: Size,
  pub steps: Vec<Step>,
  pub broken: Option<Break>,
  /// Logs of the instances go here.
  pub logs: Option<PathBuf>,
  /// From the last fault's end to the end of the load, ms.
  pub calm_ms: u64,
}

/// Time between orders of two instances to one server, ms.
pub const LEASE_MS: u64 = 1_000;
/// Grace time of a planned stop, ms.
const GRACE_MS: u64 = 8_000;
/// Time from a crash to the removal of a server's entry.
const LAPSE: Duration = Duration::from_millis(800);
/// A server serves on for this long after its entry has gone.
const SERVES_ON: Duration = Duration::from_millis(2_500);
/// Pause between two looks at what is in force.
const PROBE: Duration = Duration::from_millis(150);
/// Misses after which a balancer sends no more callers.
const MISSES: u32 = 2;
/// Pause between the balancer's questions.
const READY: Duration = Duration::from_millis(400);
/// Pause between two changes of a series.
const SERIES: Duration = Duration::from_millis(200);
/// The model whose replicas a policy bounds, and how many there may be.
const BOUNDED: &str = MODELS[0];
const REPLICAS: u32 = 2;

/// One place for a server: its proxy, and who is behind it now.
struct Place {
  proxy: Proxy,
  service: &'static str,
  runner: Mutex<Runner>,
  starts: AtomicU32,
}

struct Member {
  proxy: Proxy,
  instance: Mutex<Instance>,
  life: AtomicU32,
}

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
pub fn play(options: &Options, stop: &AtomicBool) -> io::Result<History> {
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
    let broken = options.broken;
    if broken != Some(Break::Policy) {
      let spec = json!({ "models": { "matchLabels": { "model": BOUNDED } },
        "maxReplicas": REPLICAS, "minReplicas": 1 });
      store.put("bendsaddle-policies", "bounded", spec);
    }
    let book = Arc::new(Book::open());
    let size = options.size;
    let places = (0..size.servers * 2)
      .map(|number| place(&store, number, size.servers))
      .collect::<io::Result<Vec<Place>>>()?;
    let runners = places.iter().map(|place| lock(&place.runner).clone());
    let runners = Mutex::new(runners.collect());
    let members = (0..size.instances)
      .map(|number| member(options, &store, number))
      .collect::<io::Result<Vec<Member>>>()?;
    let callers = members.iter().map(|member| lock(&member.instance).callers);
    let traffic = Arc::new(Traffic {
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
    });
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
    world.configure();
    for place in &world.places {
      lock(&place.runner).mood(world.mood());
    }
    for member in &world.members {
      lock(&member.instance).wait_ready();
    }
    if let (Some(Break::Deaf), Some(member)) = (broken, world.members.first()) {
      member.proxy.hold(true, true);
    }
    Ok(world)
  }

  /// What all servers do where no fault says otherwise.
  fn mood(&self) -> Mood {
    let mut mood = Mood {
      work: Duration::from_millis(20),
      ..Mood::default()
    };
    match self.broken {
      Some(Break::Lie) => mood.lie = 5,
      Some(Break::Mix) => mood.mix = 5,
      Some(Break::Repeat) => mood.lose = 10,
      Some(Break::Patience | Break::Grace) => mood.work = Duration::from_millis(4_000),
      Some(Break::Policy) => mood.work = Duration::from_millis(400),
      _ => {}
    }
    mood
  }

  /// Writes the next version of the configuration: each has one route of its own.
  fn configure(&self) {
    let mut version = lock(&self.version);
    *version += 1;
    let spec = configuration(*version, self.broken);
    self.store.put("config", "main", spec);
    let at = self.book.now();
    self
      .book
      .note(|history| history.configured.push((*version, at)));
  }

  /// Starts callers and everything that looks on.
  fn watch(self: &Arc<Self>, options: &Options) -> Vec<thread::JoinHandle<()>> {
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

  fn ask(&self, address: std::net::SocketAddr, version: u64) -> Option<u16> {
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

  /// Begins each fault at its time, in a thread of its own.
  fn strike(self: &Arc<Self>, steps: &[Step], stop: &AtomicBool) -> Vec<thread::JoinHandle<()>> {
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
      Fault::Reload(instance) => {
        let instance = lock(&self.members[instance].instance);
        // It may have ended by another fault.
        let _ = instance.signal(Signal::HUP);
      }
      Fault::Store(fault) => self.store(fault, lasts),
      Fault::StoreCut(instance, cut) => {
        let trouble = self
          .book
          .begin(Target::Instance(instance), "cut from the store");
        sever(&self.members[instance].proxy, cut, lasts);
        self.book.end(trouble);
      }
      Fault::Server(place, fault) => self.server(place, fault, lasts),
      Fault::Configure(changes) => {
        for _ in 0..changes {
          self.configure();
          thread::sleep(SERIES);
        }
      }
      Fault::Burst => {
        self.traffic.bursts.fetch_add(1, Ordering::Relaxed);
        thread::sleep(lasts);
        self.traffic.bursts.fetch_sub(1, Ordering::Relaxed);
      }
    }
  }

  fn kill(&self, number: usize, lasts: Duration) {
    let member = &self.members[number];
    let mut instance = lock(&member.instance);
    let trouble = self.book.begin(Target::Instance(number), "kill");
    let _ = instance.child.kill();
    thread::sleep(lasts);
    self.start(member, &mut instance);
    self.book.end(trouble);
  }

  fn start(&self, member: &Member, instance: &mut Instance) {
    member.life.fetch_add(1, Ordering::Relaxed);
    if let Err(error) = instance.restart() {
      eprintln!("instance does not start again: {error}");
    }
  }

  fn freeze(&self, number: usize, lasts: Duration) {
    let instance = lock(&self.members[number].instance);
    let trouble = self.book.begin(Target::Instance(number), FROZEN);
    let _ = instance.signal(Signal::STOP);
    thread::sleep(lasts);
    let _ = instance.signal(Signal::CONT);
    self.book.end(trouble);
  }

  /// A planned stop: requests may not suffer while the process lives.
  fn stop(&self, number: usize) {
    let member = &self.members[number];
    let mut instance = lock(&member.instance);
    let _ = instance.signal(Signal::TERM);
    let _ = instance.child.wait();
    let trouble = self.book.begin(Target::Instance(number), STOPPED);
    self.start(member, &mut instance);
    self.book.end(trouble);
  }

  fn store(&self, fault: StoreFault, lasts: Duration) {
    let trouble = self.book.begin(Target::Store, "store");
    match fault {
      StoreFault::Forgets => self.store.forget(),
      StoreFault::Down => self.fate(Fate::Refuses, lasts),
      StoreFault::Silent => self.fate(Fate::Mute, lasts),
      StoreFault::Slow => self.fate(Fate::Slow(Duration::from_millis(250)), lasts),
      StoreFault::LosesAnswers => self.fate(Fate::Loses, lasts),
      StoreFault::WritesLate => self.fate(Fate::Late(Duration::from_millis(1_200)), lasts),
      StoreFault::Lapse => self.lapse(lasts),
    }
    self.book.end(trouble);
  }

  fn fate(&self, fate: Fate, lasts: Duration) {
    self.store.fate(fate);
    thread::sleep(lasts);
    self.store.fate(Fate::Answers);
  }

  /// The store is down, and entries of servers are back a little after it.
  fn lapse(&self, lasts: Duration) {
    self.store.fate(Fate::Refuses);
    thread::sleep(lasts);
    let held: Vec<MutexGuard<Runner>> = self
      .places
      .iter()
      .map(|place| lock(&place.runner))
      .collect();
    held
      .iter()
      .for_each(|runner| self.store.remove("servers", &runner.id));
    self.store.fate(Fate::Answers);
    thread::sleep(LAPSE);
    held.iter().for_each(|runner| runner.beat("ready"));
  }

  fn server(&self, number: usize, fault: Server, lasts: Duration) {
    let place = &self.places[number];
    let mut runner = lock(&place.runner);
    let trouble = self.book.begin(Target::Server(runner.id.clone()), "server");
    let mood = self.mood();
    match fault {
      Server::Crash => self.crash(place, &mut runner, lasts),
      Server::Drain => self.drain(place, &mut runner, true),
      Server::Vanish => self.drain(place, &mut runner, false),
      Server::Cut(cut) => sever(&place.proxy, cut, lasts),
      Server::Delay => {
        place
          .proxy
          .fault(ProxyFault::Delay(Duration::from_millis(40)));
        thread::sleep(lasts);
        place.proxy.fault(ProxyFault::None);
      }
      Server::Slow => {
        let work = mood.work * 10;
        feel(&runner, Mood { work, ..mood }, mood, lasts);
      }
      Server::Fails => feel(&runner, Mood { fail: 40, ..mood }, mood, lasts),
      Server::Declines => feel(
        &runner,
        Mood {
          decline: 40,
          ..mood
        },
        mood,
        lasts,
      ),
      Server::LosesAnswers => feel(&runner, Mood { lose: 20, ..mood }, mood, lasts),
      Server::BreaksStreams => feel(&runner, Mood { cut: 30, ..mood }, mood, lasts),
      Server::OrdersLate => {
        self.late.store(true, Ordering::Relaxed);
        feel(&runner, Mood { late: 50, ..mood }, mood, lasts);
      }
    }
    self.book.end(trouble);
  }

  /// The server crashes, and another one comes at its address.
  fn crash(&self, place: &Place, runner: &mut Runner, lasts: Duration) {
    runner.end();
    self.gone(&runner.id);
    place.proxy.fault(ProxyFault::Refuse);
    thread::sleep(LAPSE);
    self.store.remove("servers", &runner.id);
    thread::sleep(lasts);
    place.proxy.fault(ProxyFault::None);
    self.replace(place, runner);
  }

  /// The server leaves, with a word or without, and another one comes.
  fn drain(&self, place: &Place, runner: &mut Runner, word: bool) {
    let at = self.book.now();
    let id = runner.id.clone();
    if self.broken != Some(Break::Leave) {
      match word {
        true => runner.beat("draining"),
        false => self.remove(&id),
      }
    }
    self.book.note(|history| history.drained.push((id, at)));
    thread::sleep(SERVES_ON * 2);
    self.remove(&runner.id);
    runner.end();
    place.proxy.cut();
    self.replace(place, runner);
  }

  /// Its entry goes for good.
  fn remove(&self, id: &str) {
    self.store.remove("servers", id);
    self.gone(id);
  }

  fn gone(&self, id: &str) {
    let at = self.book.now();
    self
      .book
      .note(|history| history.gone.push((id.to_string(), at)));
  }

  fn replace(&self, place: &Place, runner: &mut Runner) {
    let start = place.starts.fetch_add(1, Ordering::Relaxed);
    let name = runner.id.split('.').next().unwrap_or_default();
    let id = format!("{name}.{}", start + 1);
    *runner = behind(&self.store, &place.proxy, &id, place.service, &[]);
    runner.mood(self.mood());
    lock(&self.runners).push(runner.clone());
  }

  /// When a server held the bounded model, as it wrote down itself, while it was there.
  fn holds(&self, runner: &Runner, gone: &[(String, u64)]) -> Vec<Hold> {
    let gone = gone.iter().find(|(id, _)| *id == runner.id);
    let last = gone.map_or(u64::MAX, |(_, at)| *at);
    let mut holds: Vec<Hold> = Vec::new();
    let changes = runner.changes().into_iter();
    for change in changes.filter(|change| change.model == BOUNDED) {
      let at = self.book.at(change.at).min(last);
      match (change.held, holds.last_mut()) {
        (false, Some(hold)) => hold.to = at,
        (false, None) => {}
        (true, _) => holds.push(Hold {
          server: runner.id.clone(),
          from: at,
          to: last,
        }),
      }
    }
    holds
  }

  /// Adds what servers have seen to the history.
  fn gather(&self) -> History {
    let mut history = self.book.note(std::mem::take);
    for runner in lock(&self.runners).iter() {
      for seen in runner.seen() {
        history.runs.push(Run {
          id: seen.id,
          server: runner.id.clone(),
          at: self.book.at(seen.at),
        });
      }
      for order in runner.commands() {
        history.orders.push(Order {
          server: runner.id.clone(),
          holder: order.holder().to_string(),
          term: order.term(),
          at: self.book.at(order.at),
        });
      }
      let holds = self.holds(runner, &history.gone);
      history.holds.extend(holds);
      let overfull = runner.overfull();
      if overfull > 0 {
        history.overfull.push((runner.id.clone(), overfull));
      }
    }
    history.late_orders = self.late.load(Ordering::Relaxed);
    history
  }
}

fn feel(runner: &Runner, mood: Mood, after: Mood, lasts: Duration) {
  runner.mood(mood);
  thread::sleep(lasts);
  runner.mood(after);
}

fn sever(proxy: &Proxy, cut: Cut, lasts: Duration) {
  match cut {
    Cut::Refuse => proxy.fault(ProxyFault::Refuse),
    Cut::Silent => proxy.hold(true, true),
    Cut::OneWay => proxy.hold(false, true),
  }
  thread::sleep(lasts);
  proxy.hold(false, false);
  proxy.fault(ProxyFault::None);
}

fn configuration(version: u64, broken: Option<Break>) -> Value {
  let once = match broken {
    Some(Break::Repeat) => "safe",
    _ => "unsafe",
  };
  let mut single = route("stream-once", "streaming", "models");
  single["resumable"] = json!(false);
  let routes = [
    route("once", once, "plain"),
    route("again", "safe", "plain"),
    route("stream", "streaming", "models"),
    single,
    route("batch", "safe", "models"),
    route(&format!("version-{version}"), "safe", "plain"),
  ];
  let mut spec = config(version, &routes, &MODELS);
  if broken == Some(Break::Memory) {
    spec["services"][1]["engine"]["weights_mb"] = json!(450.0);
  }
  spec
}

fn member(options: &Options, store: &Store, number: usize) -> io::Result<Member> {
  let proxy = Proxy::bind(store.address)?;
  let name = format!("soak-{}-{number}", options.seed);
  let log = options.logs.as_deref();
  let log = log.map(|folder: &Path| folder.join(format!("{number}.log")));
  let early = options.broken == Some(Break::Lease) && number > 0;
  let short = options.broken == Some(Break::Grace);
  let setup = Setup {
    lease_ms: if early { 60 } else { LEASE_MS },
    grace_ms: if short { 1_050 } else { GRACE_MS },
    log,
    ..Setup::new(&options.program, &name, proxy.address)
  };
  Ok(Member {
    proxy,
    instance: Mutex::new(Instance::start(setup)?),
    life: AtomicU32::new(0),
  })
}

fn place(store: &Store, number: usize, engines: usize) -> io::Result<Place> {
  // The proxy's target is set once the server listens.
  let proxy = Proxy::bind(store.address)?;
  let (service, id) = match number < engines {
    true => ("models", format!("m{number}.0")),
    false => ("plain", format!("p{number}.0")),
  };
  let models = [MODELS[number % 2], MODELS[2 + number % 4]];
  let held: &[&str] = if service == "models" { &models } else { &[] };
  let runner = behind(store, &proxy, &id, service, held);
  Ok(Place {
    proxy,
    service,
    runner: Mutex::new(runner),
    starts: AtomicU32::new(0),
  })
}

fn behind(store: &Store, proxy: &Proxy, id: &str, service: &str, models: &[&str]) -> Runner {
  Runner::start_behind(store, id, service, models, |address| {
    proxy.retarget(address);
    proxy.address
  })
}
