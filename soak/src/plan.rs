//! The plan of a run: faults and load, generated from a seed.

use rand::{
  Rng, SeedableRng,
  rngs::SmallRng,
  seq::{IndexedRandom, SliceRandom},
};
use std::fmt;

/// How connections are cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
  /// New connections are refused and open ones are closed.
  Refuse,
  /// No data passes in either direction; connections stay open.
  Silent,
  /// Requests pass, but responses do not.
  OneWay,
}

/// Faults of the platform's store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
  Down,
  /// Refuses calls while the entries of servers expire.
  Lapse,
  Silent,
  Slow,
  LosesAnswers,
  WritesLate,
  Forgets,
  /// Restores an earlier copy after an outage. The value is the age of the copy at the start of the
  /// outage, in tenths of a second.
  Returns(u32),
  /// Holds entries of another writer among those of servers.
  Foreign,
}

/// Faults and departures of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Server {
  Crash,
  /// Crashes and restarts with the same id and address.
  Restart,
  /// The same, at this software version.
  RestartAt(u32),
  /// Crashes, and a server with another id and this software version takes its address, whose entry
  /// replaces the old one later, in tenths of a second.
  Renew(u32, u32),
  /// Drains, and a server with this software version takes its slot.
  Roll(u32),
  Drain,
  /// Its entry is removed without a draining state, and it keeps serving for a while.
  Vanish,
  Slow,
  Fails,
  Declines,
  LosesAnswers,
  BreaksStreams,
  /// Pauses in some streams for longer than an instance waits for the next event.
  PausesStreams,
  OrdersLate,
  Cut(Cut),
  Delay,
  /// Announces its departure in responses, while its entry in the store does not show it.
  Says,
  /// Declines all requests and asks for a backoff, in tenths of a second.
  Rest(u32),
  /// Responds to some requests with what is no response.
  Malformed,
  /// The same, or an interim response, before it has read them.
  Early,
  /// Its responses have no length.
  Unframed,
  /// Is overloaded and announces a limit, in requests per ten seconds.
  Limit(u32),
}

/// A fault; instances and servers are given by index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
  /// SIGKILL; the instance restarts when the fault ends.
  Kill(usize),
  /// SIGSTOP until the fault ends.
  Freeze(usize),
  /// SIGTERM; the instance restarts once the process has exited.
  Stop(usize),
  /// SIGHUP.
  Reload(usize),
  /// SIGKILL of all instances.
  KillAll,
  Store(Store),
  StoreCut(usize, Cut),
  Server(usize, Server),
  /// Number of consecutive configuration changes.
  Configure(u32),
  /// Callers send several times as many requests.
  Burst,
  /// The servers of a service (0: engines, 1: plain) state this number of rejections within a second
  /// beyond which they fall over.
  Brittle(usize, u32),
  /// Requests with a part in their prompts that crashes servers, which this number tells apart.
  DeadlyPart(u32),
  /// The load balancer sends new connections to this instance only while it is ready, and callers
  /// open one for each request.
  Crowd(usize),
}

/// A fault with its start, in ms since the load started, and its duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
  pub at: u64,
  pub duration_ms: u64,
  pub fault: Fault,
}

impl fmt::Display for Step {
  fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
    write!(
      f,
      "{:>6} ms for {:>5} ms: {:?}",
      self.at, self.duration_ms, self.fault
    )
  }
}

/// Size of a run.
#[derive(Clone, Copy, Debug)]
pub struct Size {
  pub instances: usize,
  /// Number of model engines; there are as many plain servers.
  pub servers: usize,
  /// Number of callers per instance.
  pub callers: usize,
  /// Time in which faults start, in ms.
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

/// Mean pause between two faults.
const MEAN_PAUSE_MS: u64 = 700;
/// Share of faults that are followed by another one at the same time.
const SIMULTANEOUS_PERCENT: u32 = 25;

/// First seed whose plan has the extended faults. Seeds below it keep their plans, because
/// some of them failed once.
const EXTENDED_FROM_SEED: u64 = 1_000;
/// Mean pause between two extended faults.
const EXTENDED_PAUSE_MS: u64 = 3_000;

/// First seed whose plan has servers that announce a rate limit.
const LIMITS_FROM_SEED: u64 = 10_000;
/// Mean pause between two rate limits. Each lasts longer than instances need to receive it.
const LIMIT_PAUSE_MS: u64 = 5_000;
const LIMIT_DURATION_MS: std::ops::Range<u64> = 5_000..9_000;
/// Announced limit, in requests per ten seconds.
const LIMIT_PER_10_S: std::ops::Range<u32> = 5..60;

/// First seed whose plan has only departures of servers together with instances that are cut off
/// from the store. Other faults would excuse late requests.
const DEPARTURES_ONLY_FROM_SEED: u64 = 30_000;
/// First seed whose plan has such departures among all other faults.
const DEPARTURES_FROM_SEED: u64 = 20_000;
/// Mean pause between two such departures.
const DEPARTURE_PAUSE_MS: u64 = 4_000;
/// How long the instance is cut off from the store: longer than three heartbeats of servers.
const STORE_CUT_MS: std::ops::Range<u64> = 3_300..5_000;
/// Delay from the end of the cut to the departure, short enough that the instance has not yet
/// noticed that the store is back.
const DEPARTURE_DELAY_MS: std::ops::Range<u64> = 0..1_500;

/// First seed whose plan also has servers that announce departures and backoffs in responses. Seeds
/// with remainder zero modulo four have only these, together with store outages, kills and cuts.
const ANNOUNCEMENTS_FROM_SEED: u64 = 40_000;
const SCENARIO_MODULUS: u64 = 4;
/// Mean pause between two announcements.
const ANNOUNCEMENT_PAUSE_MS: u64 = 2_500;
/// Length of a requested backoff, and how long a server announces its departure or declines
/// requests.
const BACKOFF_TENTHS_S: std::ops::Range<u32> = 10..40;
const ANNOUNCEMENT_DURATION_MS: std::ops::Range<u64> = 1_000..6_000;

/// First seed whose plan also has a store that is restored from copies. Seeds with remainder one
/// modulo four have only this, together with configuration changes, departures and kills.
const RESTORES_FROM_SEED: u64 = 50_000;
/// Mean pause between two restores, and the share of them followed by a second one.
const RESTORE_PAUSE_MS: u64 = 5_000;
const SECOND_RESTORE_PERCENT: u32 = 30;
/// Age of a copy, and how long the store is down.
const COPY_AGE_TENTHS_S: std::ops::Range<u32> = 3..40;
const STORE_DOWN_MS: std::ops::Range<u64> = 200..2_600;

/// First seed whose servers run several software versions, while callers resume streams. Seeds with
/// remainder two modulo four have only restarts and departures of servers, kills and stops of
/// instances.
const BUILDS_FROM_SEED: u64 = 80_000;
/// Mean pause between two changes of a server's software version.
const BUILD_PAUSE_MS: u64 = 1_200;
/// How long a server is down at a change, and how much later its entry is written.
const BUILD_DOWN_MS: std::ops::Range<u64> = 50..600;
const LATE_ENTRY_TENTHS_S: std::ops::Range<u32> = 2..20;
/// Versions that are started in each third of a run.
const ROLLOUT: [&[u32]; 3] = [&[1, 2], &[1, 2, 3], &[2, 3]];

/// First seed whose plan has servers that pause in streams. Seeds with remainder three modulo eight have
/// only these and stops of instances, and those with remainder seven all faults.
const PAUSES_FROM_SEED: u64 = 90_000;
const PAUSES_MODULUS: u64 = 8;
/// Mean pause between two such faults, and how long one lasts.
const PAUSES_PAUSE_MS: u64 = 2_000;
const PAUSES_DURATION_MS: std::ops::Range<u64> = 2_000..5_000;

/// First seed whose plan has brittle servers and parts of prompts that crash servers. Seeds with
/// remainder seven modulo sixteen have only brittle servers, bursts, kills and stops, those with
/// remainder eleven only such parts beside them, and those with remainder fifteen all faults.
const FRAGILE_FROM_SEED: u64 = 100_000;
const FRAGILE_MODULUS: u64 = 16;
/// Length of such a fault, and the rejections that a brittle server states.
const BRITTLE_MS: std::ops::Range<u64> = 4_000..7_000;
const DEADLY_MS: std::ops::Range<u64> = 4_000..8_000;
const MAX_REJECTIONS: std::ops::Range<u32> = 0..6;

/// First seed whose plan has times in which new connections go to one instance. Seeds with remainder
/// thirteen modulo sixteen have only these, together with bursts and stops.
const CROWDS_FROM_SEED: u64 = 120_000;
/// Mean pause between two such times, and how long one lasts.
const CROWD_PAUSE_MS: u64 = 5_000;
const CROWD_MS: std::ops::Range<u64> = 2_000..6_000;

/// First seed whose plan has servers that send what is no response, while callers send uploads. Seeds with
/// remainder one modulo four have only these, bursts, kills and stops, and those with remainder three all
/// faults.
const MALFORMED_FROM_SEED: u64 = 190_000;
/// Mean pause between two such faults, how long one lasts, and the share that concerns all servers of a
/// service at once.
const MALFORMED_PAUSE_MS: u64 = 1_500;
const MALFORMED_MS: std::ops::Range<u64> = 1_000..4_000;
const SERVICE_PERCENT: u32 = 25;

/// Whether the plan has servers that send what is no response, and callers send uploads.
pub fn has_malformed(seed: u64) -> bool {
  seed >= MALFORMED_FROM_SEED && !seed.is_multiple_of(2)
}

/// First seed whose servers send some responses twice, while callers use several methods.
const COPIES_FROM_SEED: u64 = 140_000;

/// Whether servers send some responses twice.
pub fn has_copies(seed: u64) -> bool {
  seed >= COPIES_FROM_SEED
}

/// First seed whose store lists in pages of a few objects, beside entries of another writer under odd
/// names in each kind that is listed.
const ODD_NAMES_FROM_SEED: u64 = 180_000;
/// Largest page of such a store.
const MAX_PAGE: u64 = 7;

/// Number of objects in a page of the store; `None` if lists have a single one and plain names.
pub fn page_size(seed: u64) -> Option<usize> {
  (seed >= ODD_NAMES_FROM_SEED).then_some((seed % MAX_PAGE + 1) as usize)
}

/// Whether the store reads a plus in a query as a blank.
pub fn plus_is_blank(seed: u64) -> bool {
  seed / MAX_PAGE % 2 == 1
}

/// First seed whose instances have all features of the deployment's settings, while callers state
/// the tokens of their requests and some of them send at the same moments.
const FEATURES_FROM_SEED: u64 = 160_000;

/// Whether instances have all features, and callers state tokens.
pub fn has_features(seed: u64) -> bool {
  seed >= FEATURES_FROM_SEED
}

/// Whether servers of several software versions serve side by side.
pub fn has_builds(seed: u64) -> bool {
  seed >= BUILDS_FROM_SEED
}

/// First seed whose plan has releases: all servers change to another software version within some
/// seconds, and all instances are killed later. Seeds with remainder two modulo sixteen have only this,
/// and those with remainder ten the same with one version all along.
const RELEASES_FROM_SEED: u64 = 170_000;
const RELEASE_MODULUS: u64 = 16;
/// When the first server changes, and the pause before the next one does.
const RELEASE_AT_MS: std::ops::Range<u64> = 1_500..3_000;
const RELEASE_PAUSE_MS: std::ops::Range<u64> = 0..400;
/// Time from the end of the last server of the old version to the end of the first instance.
const KILLED_SOON_MS: std::ops::Range<u64> = 200..3_000;
const KILLED_LATE_MS: std::ops::Range<u64> = 3_000..20_000;
/// How long the instances are down, and the pause before the next one is killed.
const KILLED_MS: std::ops::Range<u64> = 100..1_500;
const KILLS_PAUSE_MS: std::ops::Range<u64> = 300..2_000;
/// How much longer than other plans a release may take.
const RELEASE_MS: u64 = 20_000;

/// Whether the plan is a release, so that callers resume streams long after they broke.
pub fn has_release(seed: u64) -> bool {
  seed >= RELEASES_FROM_SEED && matches!(seed % RELEASE_MODULUS, 2 | 10)
}

/// Software version of a slot's first server.
pub fn first_version(seed: u64, slot: usize) -> u32 {
  match has_builds(seed) && !has_release(seed) {
    true => 1 + slot as u32 % 2,
    false => 1,
  }
}

/// Time until which faults start, in ms.
pub fn end_ms(seed: u64, size: &Size) -> u64 {
  match has_release(seed) {
    true => size.faults_ms + RELEASE_MS,
    false => size.faults_ms,
  }
}

/// Generates a plan; the same seed and size give the same plan.
pub fn generate(seed: u64, size: &Size) -> Vec<Step> {
  if (DEPARTURES_ONLY_FROM_SEED..ANNOUNCEMENTS_FROM_SEED).contains(&seed) {
    return departure_steps(seed, size);
  }
  if has_release(seed) {
    return release_steps(seed, size);
  }
  if has_malformed(seed) && seed % SCENARIO_MODULUS == 1 {
    return malformed_steps(seed, size, true);
  }
  if seed >= CROWDS_FROM_SEED && seed % FRAGILE_MODULUS == 13 {
    return crowd_steps(seed, size, true);
  }
  if seed >= RESTORES_FROM_SEED && seed % SCENARIO_MODULUS == 1 {
    return restore_steps(seed, size, true);
  }
  if seed >= ANNOUNCEMENTS_FROM_SEED && seed.is_multiple_of(SCENARIO_MODULUS) {
    return announcement_steps(seed, size, true);
  }
  if has_builds(seed) && seed % SCENARIO_MODULUS == 2 {
    return build_steps(seed, size, true);
  }
  if seed >= FRAGILE_FROM_SEED && matches!(seed % FRAGILE_MODULUS, 7 | 11) && !has_malformed(seed) {
    return fragile_steps(seed, size, true);
  }
  if seed >= PAUSES_FROM_SEED && seed % PAUSES_MODULUS == 3 && !has_malformed(seed) {
    return pause_steps(seed, size, true);
  }
  let mut steps = base_steps(seed, size);
  if seed >= EXTENDED_FROM_SEED {
    steps.extend(extended_steps(seed, size));
  }
  if seed >= LIMITS_FROM_SEED {
    steps.extend(limit_steps(seed, size));
  }
  if seed >= DEPARTURES_FROM_SEED {
    steps.extend(departure_steps(seed, size));
  }
  if seed >= ANNOUNCEMENTS_FROM_SEED {
    steps.extend(announcement_steps(seed, size, false));
  }
  if seed >= RESTORES_FROM_SEED {
    steps.extend(restore_steps(seed, size, false));
  }
  if has_builds(seed) {
    steps.extend(build_steps(seed, size, false));
  }
  if seed >= PAUSES_FROM_SEED {
    steps.extend(pause_steps(seed, size, false));
  }
  if seed >= FRAGILE_FROM_SEED {
    steps.extend(fragile_steps(seed, size, false));
  }
  if seed >= CROWDS_FROM_SEED {
    steps.extend(crowd_steps(seed, size, false));
  }
  if has_malformed(seed) {
    steps.extend(malformed_steps(seed, size, false));
  }
  steps.sort_by_key(|step| step.at);
  steps
}

/// Servers whose entry is removed just after an instance reaches the store again.
fn departure_steps(seed: u64, size: &Size) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(16));
  let mut steps = Vec::new();
  let mut at = rng.random_range(0..DEPARTURE_PAUSE_MS / 2);
  while at < size.faults_ms {
    let instance = rng.random_range(0..size.instances);
    let duration_ms = rng.random_range(STORE_CUT_MS);
    steps.push(Step {
      at,
      duration_ms,
      fault: Fault::StoreCut(instance, random_cut(&mut rng)),
    });
    let server = size.servers + rng.random_range(0..size.servers);
    steps.push(Step {
      at: at + duration_ms + rng.random_range(DEPARTURE_DELAY_MS),
      duration_ms: 1,
      fault: Fault::Server(server, Server::Vanish),
    });
    steps.retain(|step| step.at < size.faults_ms);
    at += rng.random_range(DEPARTURE_PAUSE_MS / 3..DEPARTURE_PAUSE_MS * 5 / 3);
  }
  steps.sort_by_key(|step| step.at);
  steps
}

/// A store that is restored from copies. If `isolated`, the plan also has faults whose effects the
/// restore may undo or lose.
fn restore_steps(seed: u64, size: &Size, isolated: bool) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(24));
  let mut steps = Vec::new();
  let mut at = rng
    .random_range(0..RESTORE_PAUSE_MS)
    .min(size.faults_ms - 1);
  while at < size.faults_ms {
    let age = rng.random_range(COPY_AGE_TENTHS_S);
    let duration_ms = rng.random_range(STORE_DOWN_MS);
    let fault = Fault::Store(Store::Returns(age));
    steps.push(Step {
      at,
      duration_ms,
      fault,
    });
    let restored_at = at + u64::from(age) * 100 + duration_ms;
    if rng.random_ratio(SECOND_RESTORE_PERCENT, 100) {
      let at = restored_at + rng.random_range(0..500);
      let duration_ms = rng.random_range(STORE_DOWN_MS);
      let fault = Fault::Store(Store::Returns(rng.random_range(COPY_AGE_TENTHS_S)));
      steps.push(Step {
        at,
        duration_ms,
        fault,
      });
    }
    if isolated {
      let within = at..restored_at + 1_000;
      let other_fault = match rng.random_range(0..4) {
        0 => Fault::Kill(rng.random_range(0..size.instances)),
        1 => Fault::Configure(rng.random_range(1..4)),
        2 => Fault::Server(rng.random_range(0..size.servers * 2), Server::Drain),
        _ => Fault::Server(rng.random_range(0..size.servers * 2), Server::Vanish),
      };
      steps.push(Step {
        at: rng.random_range(within),
        duration_ms: rng.random_range(200..2_000),
        fault: other_fault,
      });
    }
    steps.retain(|step| step.at < size.faults_ms);
    at = restored_at + rng.random_range(RESTORE_PAUSE_MS / 3..RESTORE_PAUSE_MS * 5 / 3);
  }
  steps.sort_by_key(|step| step.at);
  steps
}

/// Servers that announce their departure or ask for a backoff in responses. If `isolated`, the plan
/// also has faults that hide the announcement from other instances.
fn announcement_steps(seed: u64, size: &Size, isolated: bool) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(48));
  let mut steps = Vec::new();
  let mut at = rng
    .random_range(0..ANNOUNCEMENT_PAUSE_MS)
    .min(size.faults_ms - 1);
  while at < size.faults_ms {
    let server = rng.random_range(0..size.servers * 2);
    let behavior = match rng.random_bool(0.5) {
      true => Server::Says,
      false => Server::Rest(rng.random_range(BACKOFF_TENTHS_S)),
    };
    steps.push(Step {
      at,
      duration_ms: rng.random_range(ANNOUNCEMENT_DURATION_MS),
      fault: Fault::Server(server, behavior),
    });
    if isolated {
      let instance = rng.random_range(0..size.instances);
      let fault = match rng.random_range(0..4) {
        0 => Fault::Kill(instance),
        1 => Fault::StoreCut(instance, random_cut(&mut rng)),
        _ => Fault::Store(Store::Down),
      };
      let duration_ms = rng.random_range(500..4_500);
      steps.push(Step {
        at,
        duration_ms,
        fault,
      });
    }
    at += rng.random_range(ANNOUNCEMENT_PAUSE_MS / 3..ANNOUNCEMENT_PAUSE_MS * 5 / 3);
  }
  steps
}

/// Servers whose software version changes. If `isolated`, the plan also has servers that keep their
/// id, and kills and stops of instances. Beside a store that is cut off, nobody could tell the
/// version of a server that keeps its id.
fn build_steps(seed: u64, size: &Size, isolated: bool) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(40));
  let mut steps = Vec::new();
  let mut at = rng.random_range(0..BUILD_PAUSE_MS).min(size.faults_ms - 1);
  while at < size.faults_ms {
    let third = at * ROLLOUT.len() as u64 / size.faults_ms;
    let version = pick(&mut rng, ROLLOUT[third as usize]);
    let change = match rng.random_range(0..3) {
      0 => Server::Roll(version),
      1 if isolated => Server::RestartAt(version),
      _ => Server::Renew(version, rng.random_range(LATE_ENTRY_TENTHS_S)),
    };
    let server = rng.random_range(0..size.servers * 2);
    steps.push(Step {
      at,
      duration_ms: rng.random_range(BUILD_DOWN_MS),
      fault: Fault::Server(server, change),
    });
    if isolated {
      let instance = rng.random_range(0..size.instances);
      let fault = match rng.random_bool(0.5) {
        true => Fault::Kill(instance),
        false => Fault::Stop(instance),
      };
      steps.push(Step {
        at,
        duration_ms: rng.random_range(200..1_500),
        fault,
      });
    }
    at += rng.random_range(BUILD_PAUSE_MS / 3..BUILD_PAUSE_MS * 5 / 3);
  }
  steps
}

/// All servers are replaced by others, and all instances are killed later, at once or in turn.
fn release_steps(seed: u64, size: &Size) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(20));
  let version = match seed % RELEASE_MODULUS {
    2 => 2,
    _ => 1,
  };
  let mut steps = Vec::new();
  let mut servers: Vec<usize> = (0..size.servers * 2).collect();
  servers.shuffle(&mut rng);
  let mut at = rng.random_range(RELEASE_AT_MS);
  let mut left_at = at;
  for server in servers {
    let duration_ms = rng.random_range(BUILD_DOWN_MS);
    steps.push(Step {
      at,
      duration_ms,
      fault: Fault::Server(server, Server::Renew(version, 0)),
    });
    left_at = left_at.max(at + duration_ms);
    at += rng.random_range(RELEASE_PAUSE_MS);
  }
  let delay = match rng.random_bool(0.5) {
    true => rng.random_range(KILLED_SOON_MS),
    false => rng.random_range(KILLED_LATE_MS),
  };
  let kill = |rng: &mut SmallRng, at, fault| Step {
    at,
    duration_ms: rng.random_range(KILLED_MS),
    fault,
  };
  let mut at = left_at + delay;
  if rng.random_bool(0.5) {
    steps.push(kill(&mut rng, at, Fault::KillAll));
    return steps;
  }
  for instance in 0..size.instances {
    steps.push(kill(&mut rng, at, Fault::Kill(instance)));
    at += rng.random_range(KILLS_PAUSE_MS);
  }
  steps
}

/// Servers that pause in streams. If `isolated`, the plan also has stops of instances, which excuse no
/// response that is cut.
fn pause_steps(seed: u64, size: &Size, isolated: bool) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(56));
  let mut steps = Vec::new();
  let mut at = rng.random_range(0..PAUSES_PAUSE_MS).min(size.faults_ms - 1);
  while at < size.faults_ms {
    let server = rng.random_range(0..size.servers * 2);
    steps.push(Step {
      at,
      duration_ms: rng.random_range(PAUSES_DURATION_MS),
      fault: Fault::Server(server, Server::PausesStreams),
    });
    if isolated && rng.random_bool(0.5) {
      steps.push(Step {
        at: at + rng.random_range(0..1_000),
        duration_ms: rng.random_range(200..1_500),
        fault: Fault::Stop(rng.random_range(0..size.instances)),
      });
    }
    steps.retain(|step| step.at < size.faults_ms);
    at += rng.random_range(PAUSES_PAUSE_MS / 3..PAUSES_PAUSE_MS * 5 / 3);
  }
  steps.sort_by_key(|step| step.at);
  steps
}

/// Brittle servers, and parts of prompts that crash servers. If `isolated`, the plan has one of both and
/// faults of instances that leave the others in touch with each other.
fn fragile_steps(seed: u64, size: &Size, isolated: bool) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(8));
  let is_brittle = match isolated {
    true => seed % FRAGILE_MODULUS == 7,
    false => rng.random_bool(0.5),
  };
  let step = |at, duration_ms, fault| Step {
    at,
    duration_ms,
    fault,
  };
  let mut steps = Vec::new();
  let mut at = rng.random_range(0..1_000).min(size.faults_ms - 1);
  let mut number = 0;
  while at < size.faults_ms {
    let duration_ms = match is_brittle {
      true => rng.random_range(BRITTLE_MS),
      false => rng.random_range(DEADLY_MS),
    };
    let fault = match is_brittle {
      true => Fault::Brittle(rng.random_range(0..2), rng.random_range(MAX_REJECTIONS)),
      false => Fault::DeadlyPart(number),
    };
    number += 1;
    steps.push(step(at, duration_ms, fault));
    if isolated {
      let within = at..at + duration_ms;
      let burst = rng.random_range(within.clone());
      steps.push(step(burst, rng.random_range(1_000..3_000), Fault::Burst));
      let instance = rng.random_range(0..size.instances);
      let fault = match rng.random_bool(0.5) {
        true => Fault::Kill(instance),
        false => Fault::Stop(instance),
      };
      steps.push(step(rng.random_range(within), 300, fault));
    }
    at += duration_ms + rng.random_range(1_000..3_000);
  }
  steps.retain(|step| step.at < size.faults_ms);
  steps.sort_by_key(|step| step.at);
  steps
}

/// New connections that all go to one instance, half of the times in a burst. If `isolated`, that
/// instance is stopped meanwhile half of the times.
fn crowd_steps(seed: u64, size: &Size, isolated: bool) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(40));
  let mut steps = Vec::new();
  let mut at = rng.random_range(0..1_000).min(size.faults_ms - 1);
  while at < size.faults_ms {
    let duration_ms = rng.random_range(CROWD_MS);
    let instance = rng.random_range(0..size.instances);
    let step = |at, fault| Step {
      at,
      duration_ms,
      fault,
    };
    steps.push(step(at, Fault::Crowd(instance)));
    if rng.random_bool(0.5) {
      steps.push(step(at, Fault::Burst));
    }
    if isolated && rng.random_bool(0.5) {
      let stop_at = rng.random_range(at..at + duration_ms);
      steps.push(step(stop_at, Fault::Stop(instance)));
    }
    at += rng.random_range(CROWD_PAUSE_MS / 3..CROWD_PAUSE_MS * 5 / 3);
  }
  steps.retain(|step| step.at < size.faults_ms);
  steps.sort_by_key(|step| step.at);
  steps
}

/// Servers that send what is no response, one or all of a service. If `isolated`, the plan also has bursts, and
/// kills and stops of instances.
fn malformed_steps(seed: u64, size: &Size, isolated: bool) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(28));
  let mut steps = Vec::new();
  let mut at = rng
    .random_range(0..MALFORMED_PAUSE_MS)
    .min(size.faults_ms - 1);
  while at < size.faults_ms {
    let fault = pick(
      &mut rng,
      &[Server::Malformed, Server::Early, Server::Unframed],
    );
    let server = rng.random_range(0..size.servers * 2);
    let first = server / size.servers * size.servers;
    let servers = match rng.random_ratio(SERVICE_PERCENT, 100) {
      true => first..first + size.servers,
      false => server..server + 1,
    };
    let duration_ms = rng.random_range(MALFORMED_MS);
    steps.extend(servers.map(|server| Step {
      at,
      duration_ms,
      fault: Fault::Server(server, fault),
    }));
    if isolated && rng.random_bool(0.5) {
      let instance = rng.random_range(0..size.instances);
      let fault = match rng.random_range(0..3) {
        0 => Fault::Kill(instance),
        1 => Fault::Stop(instance),
        _ => Fault::Burst,
      };
      steps.push(Step {
        at: at + rng.random_range(0..1_000),
        duration_ms: rng.random_range(200..1_500),
        fault,
      });
    }
    at += rng.random_range(MALFORMED_PAUSE_MS / 3..MALFORMED_PAUSE_MS * 5 / 3);
  }
  steps.retain(|step| step.at < size.faults_ms);
  steps.sort_by_key(|step| step.at);
  steps
}

/// Servers that announce rate limits.
fn limit_steps(seed: u64, size: &Size) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed.rotate_left(32));
  let mut steps = Vec::new();
  let mut at = rng.random_range(0..LIMIT_PAUSE_MS).min(size.faults_ms - 1);
  while at < size.faults_ms {
    let server = rng.random_range(0..size.servers * 2);
    steps.push(Step {
      at,
      duration_ms: rng.random_range(LIMIT_DURATION_MS),
      fault: Fault::Server(server, Server::Limit(rng.random_range(LIMIT_PER_10_S))),
    });
    at += rng.random_range(LIMIT_PAUSE_MS / 3..LIMIT_PAUSE_MS * 5 / 3);
  }
  steps
}

/// Servers that restart with the same id, and entries of other writers in the store.
fn extended_steps(seed: u64, size: &Size) -> Vec<Step> {
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
      duration_ms: rng.random_range(50..2_000),
      fault,
    });
    at += rng.random_range(EXTENDED_PAUSE_MS / 3..EXTENDED_PAUSE_MS * 5 / 3);
  }
  steps
}

fn base_steps(seed: u64, size: &Size) -> Vec<Step> {
  let mut rng = SmallRng::seed_from_u64(seed);
  let mut steps = Vec::new();
  let mut at = 500;
  while at < size.faults_ms {
    steps.push(random_step(&mut rng, size, at));
    if !rng.random_ratio(SIMULTANEOUS_PERCENT, 100) {
      at += rng.random_range(MEAN_PAUSE_MS / 3..MEAN_PAUSE_MS * 5 / 3);
    }
  }
  steps
}

fn random_step(rng: &mut SmallRng, size: &Size, at: u64) -> Step {
  Step {
    at,
    duration_ms: rng.random_range(500..4_500),
    fault: random_fault(rng, size),
  }
}

fn random_fault(rng: &mut SmallRng, size: &Size) -> Fault {
  let instance = rng.random_range(0..size.instances);
  match rng.random_range(0..100) {
    0..8 => Fault::Kill(instance),
    8..16 => Fault::Freeze(instance),
    16..22 => Fault::Stop(instance),
    22..26 => Fault::Reload(instance),
    26..28 => Fault::KillAll,
    28..44 => Fault::Store(random_store(rng)),
    44..54 => Fault::StoreCut(instance, random_cut(rng)),
    54..84 => Fault::Server(rng.random_range(0..size.servers * 2), random_server(rng)),
    84..96 => Fault::Configure(rng.random_range(1..5)),
    _ => Fault::Burst,
  }
}

fn pick<T: Copy>(rng: &mut SmallRng, options: &[T]) -> T {
  *options.choose(rng).expect("no options to choose from")
}

fn random_cut(rng: &mut SmallRng) -> Cut {
  pick(rng, &[Cut::Refuse, Cut::Silent, Cut::OneWay])
}

fn random_store(rng: &mut SmallRng) -> Store {
  let options = [
    Store::Down,
    Store::Lapse,
    Store::Silent,
    Store::Slow,
    Store::LosesAnswers,
    Store::WritesLate,
    Store::Forgets,
  ];
  pick(rng, &options)
}

fn random_server(rng: &mut SmallRng) -> Server {
  let cut = Server::Cut(random_cut(rng));
  let options = [
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
  pick(rng, &options)
}
