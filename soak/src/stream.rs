//! Callers that resume streams at other instances, as the users' clients do.

use crate::{
  customer::Customer,
  history::{self, End, Kind, Request, Resumption},
  load::{Traffic, outcome_end, random_model},
};
use platform_stand_in::{
  client::{Answer, Outgoing, Stream},
  runner::EVENTS,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::Value;
use std::{net::TcpStream, sync::atomic::Ordering, thread, time::Duration};

/// Route of resumable streams of the plain service.
pub const PLAIN_STREAM_ROUTE: &str = "stream-plain";
/// Share of streams of the plain service, in percent.
const PLAIN_PERCENT: u32 = 70;
/// Share of attempts whose connection breaks after some events, in percent.
const BREAK_PERCENT: u32 = 30;
/// Most resumptions of a stream, and most instances to which each is sent.
const MAX_RESUMPTIONS: usize = 3;
const MAX_SENDS: usize = 3;
/// Pause before a refused resumption is sent to another instance.
const PAUSE: Duration = Duration::from_millis(100);
/// Mean pause of a patient caller between two streams.
const PATIENT_PAUSE_MS: u64 = 200;
/// Shortest time until it resumes a stream.
const MIN_ABSENCE_MS: u64 = 200;

/// Why an instance refused a request, as the body of its response states it.
fn reason(answer: &Answer) -> Option<String> {
  let body: Value = serde_json::from_slice(&answer.body).ok()?;
  Some(body["error"]["reason"].as_str()?.into())
}

/// A stream in progress.
struct Call<'a> {
  traffic: &'a Traffic,
  id: &'a str,
  customer: Customer,
  /// Whether its service has no models.
  plain: bool,
  path: String,
  model: Option<String>,
  stream: Stream,
  /// Number of attempts so far.
  attempts: usize,
  /// Whether it is resumed long after it broke.
  returns: bool,
  /// Why its attempts were refused.
  reasons: Vec<String>,
  /// When the caller gives up, in ms since the start of the run.
  deadline: u64,
}

/// Sends a stream to an instance, resumes it until it is whole, and records what came of it.
pub fn run(traffic: &Traffic, rng: &mut SmallRng, instance: usize, id: &str, customer: Customer) {
  let plain = rng.random_ratio(PLAIN_PERCENT, 100);
  let mut call = Call::new(traffic, rng, (id, customer, plain));
  let at = traffic.recorder.now();
  call.attempt(rng, instance, BREAK_PERCENT);
  let ended = traffic.recorder.now();
  for _ in 0..MAX_RESUMPTIONS {
    let is_begun = !call.stream.events.is_empty();
    if !is_begun || call.stream.is_whole() || call.left_ms() == 0 {
      break;
    }
    if let Some(resumption) = call.resume(rng) {
      traffic
        .recorder
        .record(|history| history.resumptions.push(resumption));
    }
  }
  call.finish(instance, (at, ended));
}

/// Begins streams of the plain service at one instance and resumes each once, long after its connection
/// broke, until the traffic stops.
pub fn run_patient_caller(traffic: &Traffic, own: usize, caller: usize, seed: u64) {
  let mut rng = SmallRng::seed_from_u64(!(seed ^ (own as u64 * 1_000 + caller as u64)));
  let is_stopped = || traffic.stopped.load(Ordering::Relaxed);
  let mut number = 0;
  while !is_stopped() {
    thread::sleep(Duration::from_millis(
      rng.random_range(0..PATIENT_PAUSE_MS * 2),
    ));
    let (_, ready) = &traffic.instances[own];
    if !ready.load(Ordering::Relaxed) {
      continue;
    }
    number += 1;
    let id = format!("p-{own}-{caller}-{number}");
    let mut call = Call::new(traffic, &mut rng, (&id, Customer::Unlimited, true));
    let at = traffic.recorder.now();
    call.attempt(&mut rng, own, 100);
    let ended = traffic.recorder.now();
    let back_at = ended + rng.random_range(MIN_ABSENCE_MS..traffic.max_absence_ms);
    let is_begun = !call.stream.events.is_empty();
    while is_begun && !is_stopped() && !call.is_back(back_at) {
      thread::sleep(PAUSE);
    }
    if is_begun && !is_stopped() {
      call.returns = true;
      call.deadline = traffic.recorder.now() + Kind::Stream.deadline_ms();
      if let Some(resumption) = call.resume(&mut rng) {
        traffic
          .recorder
          .record(|history| history.returns.push(resumption));
      }
    }
    call.finish(own, (at, ended));
  }
}

impl<'a> Call<'a> {
  fn new(
    traffic: &'a Traffic,
    rng: &mut SmallRng,
    (id, customer, plain): (&'a str, Customer, bool),
  ) -> Self {
    let kind = Kind::Stream;
    let route = if plain {
      PLAIN_STREAM_ROUTE
    } else {
      kind.route()
    };
    Self {
      traffic,
      id,
      customer,
      plain,
      path: format!("/{route}/x"),
      model: random_model(rng, kind).filter(|_| !plain),
      stream: Stream::default(),
      attempts: 0,
      returns: false,
      reasons: Vec::new(),
      deadline: traffic.recorder.now() + kind.deadline_ms(),
    }
  }

  /// Records what came of the stream, whose first attempt took this time.
  fn finish(&self, instance: usize, (at, ended): (u64, u64)) {
    let versions = self.stream.versions().into_iter();
    let stream = history::Stream {
      id: self.id.into(),
      plain: self.plain,
      instance,
      at,
      ended,
      versions: versions.map(str::to_string).collect(),
    };
    self
      .traffic
      .recorder
      .record(|history| history.streams.push(stream));
  }

  /// Whether the time of its return has come and an instance is ready.
  fn is_back(&self, at: u64) -> bool {
    let mut instances = self.traffic.instances.iter();
    self.traffic.recorder.now() >= at && instances.any(|(_, ready)| ready.load(Ordering::Relaxed))
  }

  fn left_ms(&self) -> u64 {
    self.deadline.saturating_sub(self.traffic.recorder.now())
  }

  /// Sends the next attempt to an instance and records it. Its connection breaks after some events in
  /// this share of attempts, in percent. Returns whether it brought an event.
  fn attempt(&mut self, rng: &mut SmallRng, instance: usize, break_percent: u32) -> bool {
    self.attempts += 1;
    let id = match self.attempts {
      1 => self.id.to_string(),
      number => format!("{}.{number}", self.id),
    };
    let received = self.stream.events.len();
    let missing = EVENTS as usize - received;
    let breaks = missing > 1 && rng.random_ratio(break_percent, 100);
    let count = match breaks {
      true => rng.random_range(1..missing),
      false => usize::MAX,
    };
    let deadline_ms = self.left_ms() * self.traffic.deadline_factor;
    let outgoing = Outgoing {
      method: "POST",
      path: &self.path,
      id: &id,
      model: self.model.as_deref(),
      deadline_ms,
      headers: &[("Authorization", self.customer.authorization())],
      body: "body",
    };
    let at = self.traffic.recorder.now();
    let (address, _) = self.traffic.instances[instance];
    let connection = TcpStream::connect(address);
    let is_reached = connection.is_ok();
    let answer = connection.ok().and_then(|mut connection| {
      let stream = &mut self.stream;
      stream.attempt_on(&mut connection, &outgoing, count)
    });
    let is_broken = breaks && self.stream.events.len() == received + count;
    let end = match &answer {
      Some(_) if is_broken => End::Left,
      Some(answer) => outcome_end(Kind::Stream, &id, answer, received as u64 + 1),
      None if is_reached => End::Closed,
      None => End::Unreached,
    };
    self.reasons.extend(answer.as_ref().and_then(reason));
    let incomplete = end == (End::Success { intact: false });
    let request = Request {
      kind: Kind::Stream,
      instance,
      customer: self.customer,
      reused: false,
      returns: self.returns,
      at,
      ended: self.traffic.recorder.now(),
      end,
      unexpected_body: answer.as_ref().filter(|_| incomplete).map(|one| one.text()),
      server: answer.and_then(|answer| answer.server()),
      id,
    };
    self
      .traffic
      .recorder
      .record(|history| history.requests.push(request));
    self.stream.events.len() > received
  }

  /// Resumes the stream at instances that are ready, until one of them continues it. Returns `None` if
  /// it was sent to none.
  fn resume(&mut self, rng: &mut SmallRng) -> Option<Resumption> {
    let versions = self.stream.versions();
    let version = versions.last().map(|version| version.to_string());
    let mut resumption = Resumption {
      id: self.id.into(),
      plain: self.plain,
      version: version.unwrap_or_default(),
      instances: Vec::new(),
      at: self.traffic.recorder.now(),
      ended: 0,
      went_on: false,
      reasons: Vec::new(),
    };
    self.reasons.clear();
    for send in 0..MAX_SENDS {
      if send > 0 {
        thread::sleep(PAUSE);
      }
      let instance = rng.random_range(0..self.traffic.instances.len());
      let (_, ready) = &self.traffic.instances[instance];
      if self.left_ms() == 0 || !ready.load(Ordering::Relaxed) {
        continue;
      }
      resumption.instances.push(instance);
      resumption.went_on = self.attempt(rng, instance, BREAK_PERCENT);
      if resumption.went_on || self.stream.is_whole() {
        break;
      }
    }
    resumption.ended = self.traffic.recorder.now();
    resumption.reasons = std::mem::take(&mut self.reasons);
    (!resumption.instances.is_empty()).then_some(resumption)
  }
}
