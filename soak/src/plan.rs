//! The plan of a run: faults and load, all from a seed.

use rand::{Rng, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use std::fmt;

/// How a connection is cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
  /// New connections are refused, open ones end.
  Refuse,
  /// Nothing passes either way; connections stay.
  Silent,
  /// Questions pass and answers do not.
  OneWay,
}

/// What the platform's store does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
  Down,
  /// Down, and entries of servers lapse meanwhile.
  Lapse,
  Silent,
  Slow,
  LosesAnswers,
  WritesLate,
  Forgets,
  /// It comes back from a copy that is so many tenths of a second older than its absence.
  Returns(u32),
  /// Entries of another writer stand among those of servers.
  Foreign,
}

/// What a server does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Server {
  Crash,
  /// It crashes and starts again under its id and address.
  Restart,
  Drain,
  /// Its entry goes without a word, and it serves on for a while.
  Vanish,
  Slow,
  Fails,
  Declines,
  LosesAnswers,
  BreaksStreams,
  OrdersLate,
  Cut(Cut),
  Delay,
  /// Its answers say that it leaves, while its entry says otherwise.
  Says,
  /// It turns all requests away, and asks for so many tenths of a second of rest.
  Rest(u32),
  /// It needs help, and names so many requests in ten seconds that it takes.
  Limit(u32),
}

/// A fault; instances and servers by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
  /// SIGKILL; it starts again at the end.
  Kill(usize),
  /// SIGSTOP until the end.
  Freeze(usize),
  /// SIGTERM; it starts again when it has ended.
  Stop(usize),
  /// SIGHUP.
  Reload(usize),
  /// SIGKILL of all.
  KillAll,
  Store(Store),
  StoreCut(usize, Cut),
  Server(usize, Server),
  /// Changes of the configuration, one after the other.
  Configure(u32),
  /// Many times the requests.
  Burst,
}

/// A fault with its time, ms since the load began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
  pub at: u64,
  pub lasts: u64,
  pub fault: Fault,
}

impl fmt::Display for Step {
  fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
    write!(
      f,
      "{:>6} ms for {:>5} ms: {:?}",
      self.at, self.lasts, self.fault
    )
  }
}

/// Sizes of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
  pub instances: usize,
  /// Model engines, and as many plain servers.
  pub servers: usize,
  /// Callers of each instance.
  pub callers: usize,
  /// Time in which faults begin, ms.
  pub faults_ms: u64,
}

impl Default for Size {
  fn default() -> Self {
    Self {
      instances: 3,
      servers: 4,
      callers: 6,
      faults_ms: 12_000,
    }
  }
}

/// Mean pause between two faults, ms.
const PAUSE_MS: u64 = 700;
/// A fault comes with a second one at the same time, in hundredths.
const TWICE: u32 = 25;

/// Seeds below this one keep the plans under which some of them failed once.
const EXTENDED: u64 = 1_000;
/// Mean pause between two of the faults that only later seeds have, ms.
const EXTENDED_PAUSE_MS: u64 = 3_000;

/// Seeds from this one on have servers that need help.
const NEEDY: u64 = 10_000;
/// Mean pause between two of them, ms; each needs help for longer than it takes to be told.
const NEEDY_PAUSE_MS: u64 = 5_000;
const NEEDY_MS: std::ops::Range<u64> = 5_000..9_000;
/// Requests in ten seconds that one names.
const NEEDY_RATE: std::ops::Range<u32> = 5..60;

/// Seeds from this one on have nothing but servers that leave beside instances without the
/// store: other faults would excuse late requests.
const LEAVING: u64 = 30_000;
/// Seeds from this one on have such servers among all other faults.
const LEAVING_TOO: u64 = 20_000;
/// Mean pause between two of them, ms.
const LEAVING_PAUSE_MS: u64 = 4_000;
/// How long the store does not answer the instance, ms: longer than three heartbeats of servers.
const UNANSWERED_MS: std::ops::Range<u64> = 3_300..5_000;
/// From the end of that to the departure, ms: while the instance has not noticed it yet.
const LEAVES_AFTER_MS: std::ops::Range<u64> = 0..1_500;

/// Seeds from this one on have everything, and servers that say more in their answers; those whose
/// remainder by four is nothing have only these, beside a store that is down, kills and cuts.
const SAYING: u64 = 40_000;
const SAYING_ALONE: u64 = 4;
/// Mean pause between two of them, ms.
const SAYING_PAUSE_MS: u64 = 2_500;
/// Tenths of a second of rest, and how long requests are turned away, ms.
const REST: std::ops::Range<u32> = 10..40;
const TURNS_AWAY_MS: std::ops::Range<u64> = 1_000..6_000;

/// Seeds from this one on have a store that comes back from copies besides; those whose remainder by
/// four is one have only this, beside changes of the configuration, departures and kills.
const RETURNING: u64 = 50_000;
/// Mean pause between two returns, ms; a part of them comes twice in a row, in hundredths.
const RETURNING_PAUSE_MS: u64 = 5_000;
const RETURNING_TWICE: u32 = 30;
/// Age of a copy, tenths of a second, and how long the store is away, ms.
const COPY_AGE: std::ops::Range<u32> = 3..40;
const AWAY_MS: std::ops::Range<u64> = 200..2_600;

/// Draws a plan; the same seed and size give the same.
pub fn generate(seed: u64, size: &Size) -> Vec<Step> {
  if (LEAVING..SAYING).contains(&seed) {
    return leaving(seed, size);
  }
  if seed >= RETURNING && seed % SAYING_ALONE == 1 {
    return returning(seed, size, true);
  }
  if seed >= SAYING && seed.is_multiple_of(SAYING_ALONE) {
    return saying(seed, size, true);
  }
  let mut steps = first(seed, size);
  if seed >= EXTENDED {
    steps.extend(further(seed, size));
  }
  if seed >= NEEDY {
    steps.extend(needy(seed, size));
  }
  if seed >= LEAVING_TOO {
    steps.extend(leaving(seed, size));
  }
  if seed >= SAYING {
    steps.extend(saying(seed, size, false));
  }
  if seed >= RETURNING {
    steps.extend(returning(seed, size, false));
  }
  steps.sort_by_key(|step| step.at);
  steps
}

/// Servers that leave without a word when the store answers an instance again.
fn leaving(seed: u64, size: &Size) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(16));
  let mut steps = Vec::new();
  let mut at = rng.random_range(0..LEAVING_PAUSE_MS / 2);
  while at < size.faults_ms {
    let instance = rng.random_range(0..size.instances);
    let lasts = rng.random_range(UNANSWERED_MS);
    steps.push(Step {
      at,
      lasts,
      fault: Fault::StoreCut(instance, cut(&mut rng)),
    });
    let server = size.servers + rng.random_range(0..size.servers);
    steps.push(Step {
      at: at + lasts + rng.random_range(LEAVES_AFTER_MS),
      lasts: 1,
      fault: Fault::Server(server, Server::Vanish),
    });
    steps.retain(|step| step.at < size.faults_ms);
    at += rng.random_range(LEAVING_PAUSE_MS / 3..LEAVING_PAUSE_MS * 5 / 3);
  }
  steps.sort_by_key(|step| step.at);
  steps
}

/// A store that comes back from copies; `alone`: with what it may bring back or lose.
fn returning(seed: u64, size: &Size, alone: bool) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(24));
  let mut steps = Vec::new();
  let mut at = rng
    .random_range(0..RETURNING_PAUSE_MS)
    .min(size.faults_ms - 1);
  while at < size.faults_ms {
    let age = rng.random_range(COPY_AGE);
    let lasts = rng.random_range(AWAY_MS);
    let fault = Fault::Store(Store::Returns(age));
    steps.push(Step { at, lasts, fault });
    let back = at + u64::from(age) * 100 + lasts;
    if rng.random_ratio(RETURNING_TWICE, 100) {
      let at = back + rng.random_range(0..500);
      let lasts = rng.random_range(AWAY_MS);
      let fault = Fault::Store(Store::Returns(rng.random_range(COPY_AGE)));
      steps.push(Step { at, lasts, fault });
    }
    if alone {
      let within = at..back + 1_000;
      let other = match rng.random_range(0..4) {
        0 => Fault::Kill(rng.random_range(0..size.instances)),
        1 => Fault::Configure(rng.random_range(1..4)),
        2 => Fault::Server(rng.random_range(0..size.servers * 2), Server::Drain),
        _ => Fault::Server(rng.random_range(0..size.servers * 2), Server::Vanish),
      };
      steps.push(Step {
        at: rng.random_range(within),
        lasts: rng.random_range(200..2_000),
        fault: other,
      });
    }
    steps.retain(|step| step.at < size.faults_ms);
    at = back + rng.random_range(RETURNING_PAUSE_MS / 3..RETURNING_PAUSE_MS * 5 / 3);
  }
  steps.sort_by_key(|step| step.at);
  steps
}

/// Servers that say in their answers that they leave, or ask for rest; `alone`: with faults that
/// hide it from other instances.
fn saying(seed: u64, size: &Size, alone: bool) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(48));
  let mut steps = Vec::new();
  let mut at = rng.random_range(0..SAYING_PAUSE_MS).min(size.faults_ms - 1);
  while at < size.faults_ms {
    let server = rng.random_range(0..size.servers * 2);
    let says = match rng.random_bool(0.5) {
      true => Server::Says,
      false => Server::Rest(rng.random_range(REST)),
    };
    steps.push(Step {
      at,
      lasts: rng.random_range(TURNS_AWAY_MS),
      fault: Fault::Server(server, says),
    });
    if alone {
      let instance = rng.random_range(0..size.instances);
      let fault = match rng.random_range(0..4) {
        0 => Fault::Kill(instance),
        1 => Fault::StoreCut(instance, cut(&mut rng)),
        _ => Fault::Store(Store::Down),
      };
      let lasts = rng.random_range(500..4_500);
      steps.push(Step { at, lasts, fault });
    }
    at += rng.random_range(SAYING_PAUSE_MS / 3..SAYING_PAUSE_MS * 5 / 3);
  }
  steps
}

/// Servers that name limits.
fn needy(seed: u64, size: &Size) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32));
  let mut steps = Vec::new();
  let mut at = rng.random_range(0..NEEDY_PAUSE_MS).min(size.faults_ms - 1);
  while at < size.faults_ms {
    let server = rng.random_range(0..size.servers * 2);
    steps.push(Step {
      at,
      lasts: rng.random_range(NEEDY_MS),
      fault: Fault::Server(server, Server::Limit(rng.random_range(NEEDY_RATE))),
    });
    at += rng.random_range(NEEDY_PAUSE_MS / 3..NEEDY_PAUSE_MS * 5 / 3);
  }
  steps
}

/// Servers that start again under their ids, and entries of other writers.
fn further(seed: u64, size: &Size) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(!seed);
  let mut steps = Vec::new();
  let mut at = rng
    .random_range(0..EXTENDED_PAUSE_MS)
    .min(size.faults_ms - 1);
  while at < size.faults_ms {
    let server = rng.random_range(0..size.servers * 2);
    let fault = match rng.random_ratio(2, 3) {
      true => Fault::Server(server, Server::Restart),
      false => Fault::Store(Store::Foreign),
    };
    steps.push(Step {
      at,
      lasts: rng.random_range(50..2_000),
      fault,
    });
    at += rng.random_range(EXTENDED_PAUSE_MS / 3..EXTENDED_PAUSE_MS * 5 / 3);
  }
  steps
}

fn first(seed: u64, size: &Size) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed);
  let mut steps = Vec::new();
  let mut at = 500;
  while at < size.faults_ms {
    steps.push(step(&mut rng, size, at));
    if !rng.random_ratio(TWICE, 100) {
      at += rng.random_range(PAUSE_MS / 3..PAUSE_MS * 5 / 3);
    }
  }
  steps
}

fn step(rng: &mut SmallRng, size: &Size, at: u64) -> Step {
  Step {
    at,
    lasts: rng.random_range(500..4_500),
    fault: fault(rng, size),
  }
}

fn fault(rng: &mut SmallRng, size: &Size) -> Fault {
  let instance = rng.random_range(0..size.instances);
  match rng.random_range(0..100) {
    0..8 => Fault::Kill(instance),
    8..16 => Fault::Freeze(instance),
    16..22 => Fault::Stop(instance),
    22..26 => Fault::Reload(instance),
    26..28 => Fault::KillAll,
    28..44 => Fault::Store(store(rng)),
    44..54 => Fault::StoreCut(instance, cut(rng)),
    54..84 => Fault::Server(rng.random_range(0..size.servers * 2), server(rng)),
    84..96 => Fault::Configure(rng.random_range(1..5)),
    _ => Fault::Burst,
  }
}

fn pick<T: Copy>(rng: &mut SmallRng, among: &[T]) -> T {
  *among.choose(rng).expect("something to choose from")
}

fn cut(rng: &mut SmallRng) -> Cut {
  pick(rng, &[Cut::Refuse, Cut::Silent, Cut::OneWay])
}

fn store(rng: &mut SmallRng) -> Store {
  let all = [
    Store::Down,
    Store::Lapse,
    Store::Silent,
    Store::Slow,
    Store::LosesAnswers,
    Store::WritesLate,
    Store::Forgets,
  ];
  pick(rng, &all)
}

fn server(rng: &mut SmallRng) -> Server {
  let cut = Server::Cut(cut(rng));
  let all = [
    Server::Crash,
    Server::Crash,
    Server::Drain,
    Server::Drain,
    Server::Vanish,
    Server::Slow,
    Server::Fails,
    Server::Declines,
    Server::LosesAnswers,
    Server::BreaksStreams,
    Server::OrdersLate,
    cut,
    Server::Delay,
  ];
  pick(rng, &all)
}
