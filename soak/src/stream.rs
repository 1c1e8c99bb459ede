//! Callers that resume streams at other instances, as the users' clients do.

use crate::{
  customer::Customer,
  history::{self, End, Kind, Request, Resumption},
  load::{Traffic, outcome_end, random_model},
};
use platform_stand_in::{
  client::{Outgoing, Stream},
  runner::EVENTS,
};
use rand::{Rng, rngs::SmallRng};
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

/// A stream in progress.
struct Call<'a> {
  traffic: &'a Traffic,
  id: &'a str,
  customer: Customer,
  path: String,
  model: Option<String>,
  stream: Stream,
  /// Number of attempts so far.
  attempts: usize,
  /// When the caller gives up, in ms since the start of the run.
  deadline: u64,
}

/// Sends a stream to an instance, resumes it until it is whole, and records what came of it.
pub fn run(traffic: &Traffic, rng: &mut SmallRng, instance: usize, id: &str, customer: Customer) {
  let kind = Kind::Stream;
  let plain = rng.random_ratio(PLAIN_PERCENT, 100);
  let route = if plain {
    PLAIN_STREAM_ROUTE
  } else {
    kind.route()
  };
  let at = traffic.recorder.now();
  let mut call = Call {
    traffic,
    id,
    customer,
    path: format!("/{route}/x"),
    model: random_model(rng, kind).filter(|_| !plain),
    stream: Stream::default(),
    attempts: 0,
    deadline: at + kind.deadline_ms(),
  };
  call.attempt(rng, instance);
  let ended = traffic.recorder.now();
  for _ in 0..MAX_RESUMPTIONS {
    let is_begun = !call.stream.events.is_empty();
    if !is_begun || call.stream.is_whole() || call.left_ms() == 0 {
      break;
    }
    call.resume(rng, plain);
  }
  let versions = call.stream.versions().into_iter();
  let stream = history::Stream {
    id: id.into(),
    plain,
    instance,
    at,
    ended,
    versions: versions.map(str::to_string).collect(),
  };
  traffic
    .recorder
    .record(|history| history.streams.push(stream));
}

impl Call<'_> {
  fn left_ms(&self) -> u64 {
    self.deadline.saturating_sub(self.traffic.recorder.now())
  }

  /// Sends the next attempt to an instance and records it. Returns whether it brought an event.
  fn attempt(&mut self, rng: &mut SmallRng, instance: usize) -> bool {
    self.attempts += 1;
    let id = match self.attempts {
      1 => self.id.to_string(),
      number => format!("{}.{number}", self.id),
    };
    let received = self.stream.events.len();
    let missing = EVENTS as usize - received;
    let breaks = missing > 1 && rng.random_ratio(BREAK_PERCENT, 100);
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
    let incomplete = end == (End::Success { intact: false });
    let request = Request {
      kind: Kind::Stream,
      instance,
      customer: self.customer,
      reused: false,
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

  /// Resumes the stream at instances that are ready, until one of them continues it.
  fn resume(&mut self, rng: &mut SmallRng, plain: bool) {
    let versions = self.stream.versions();
    let version = versions.last().map(|version| version.to_string());
    let mut resumption = Resumption {
      id: self.id.into(),
      plain,
      version: version.unwrap_or_default(),
      instances: Vec::new(),
      at: self.traffic.recorder.now(),
      ended: 0,
      went_on: false,
    };
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
      resumption.went_on = self.attempt(rng, instance);
      if resumption.went_on || self.stream.is_whole() {
        break;
      }
    }
    resumption.ended = self.traffic.recorder.now();
    if resumption.instances.is_empty() {
      return;
    }
    self
      .traffic
      .recorder
      .record(|history| history.resumptions.push(resumption));
  }
}
