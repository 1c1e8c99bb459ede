//! Callers that send requests of all kinds and record the outcome of each.

use crate::{
  customer::Customer,
  history::{End, Kind, Recorder, Request},
  stream,
};
use platform_stand_in::{
  client::{self, Answer, Outgoing},
  deployment::MODELS,
  runner::{EVENTS, encode_event, plain_body},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
  net::{SocketAddr, TcpStream},
  sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
  },
  thread,
  time::Duration,
};

/// Mean pause of a caller between two requests.
const MEAN_PAUSE_MS: u64 = 60;
/// Increase of the request rate per burst, as a multiple of the normal rate.
const BURST_FACTOR: u64 = 6;
/// Share of requests whose caller disconnects before the response, in percent.
const ABANDON_PERCENT: u32 = 3;
/// One in this many requests to a plain server is an upload, whose body does not fit into the system's buffers.
const UPLOAD_EVERY: u64 = 64;
pub const UPLOAD_BYTES: usize = 3 << 20;
/// Most requests that a caller sends on one connection.
const MAX_CONNECTION_REQUESTS: u32 = 12;

/// Callers that send at the same moments: one in this many, and how far apart the moments are.
const IN_STEP_EVERY: usize = 3;
const STEP_MS: u64 = 500;
/// Tokens of the last part of a prompt whose caller states them, and of its response. An engine's
/// memory holds some ten such requests.
const LAST_PART_TOKENS: std::ops::Range<u32> = 10..120;
const RESPONSE_TOKENS: u32 = 20;

/// The first part of all prompts, which callers share.
pub const FIRST_PART: &str = "f1:10";
/// Its tokens.
const FIRST_PART_TOKENS: u32 = 10;

/// Value of `Traffic::crowded` if no instance gets all new connections.
pub const NO_CROWD: usize = usize::MAX;

/// State that callers share with the simulation.
pub struct Traffic {
  pub recorder: Arc<Recorder>,
  /// Address of each instance, and whether a load balancer would send requests there.
  pub instances: Vec<(SocketAddr, AtomicBool)>,
  /// Number of active bursts.
  pub bursts: AtomicU64,
  /// The instance that gets all new connections; `NO_CROWD` if callers are spread evenly.
  pub crowded: AtomicUsize,
  /// Multiplier of the deadline that callers state: 1, except for the switch `patience`, which the
  /// deadline check must notice.
  pub deadline_factor: u64,
  /// Whether callers resume streams.
  pub resumes: bool,
  /// Whether callers state the tokens of their requests, some of them send at the same moments, and
  /// some belong to a customer with a quota.
  pub states_tokens: bool,
  /// Whether a few requests have large bodies.
  pub uploads: bool,
  /// Longest time until a patient caller resumes a stream.
  pub max_absence_ms: u64,
  /// Methods of requests that may be repeated; all others are POST.
  pub methods: &'static [&'static str],
  pub stopped: AtomicBool,
}

impl Traffic {
  /// The instance to which the load balancer sends a caller's next connection.
  fn instance_for(&self, own: usize) -> usize {
    let crowded = self.crowded.load(Ordering::Relaxed);
    let is_ready = |(_, ready): &(SocketAddr, AtomicBool)| ready.load(Ordering::Relaxed);
    match self.instances.get(crowded).is_some_and(is_ready) {
      true => crowded,
      false => own,
    }
  }

  /// The customer to which a caller belongs.
  fn customer(&self, caller: usize) -> Customer {
    match self.states_tokens {
      true => Customer::of_caller(caller),
      false => Customer::Unlimited,
    }
  }

  fn is_crowded(&self) -> bool {
    self.crowded.load(Ordering::Relaxed) != NO_CROWD
  }
}

/// Sends requests to one instance until the traffic stops.
pub fn run_caller(traffic: &Traffic, own: usize, caller: usize, seed: u64) {
  let mut rng = SmallRng::seed_from_u64(seed ^ (own as u64 * 1_000 + caller as u64));
  let mut connection: Option<(TcpStream, u32)> = None;
  let mut number = 0;
  while !traffic.stopped.load(Ordering::Relaxed) {
    let burst = 1 + traffic.bursts.load(Ordering::Relaxed) * BURST_FACTOR;
    let pause_ms = rng.random_range(1..=MEAN_PAUSE_MS * 2) / burst;
    let in_step = traffic.states_tokens && caller.is_multiple_of(IN_STEP_EVERY);
    let pause_ms = match in_step {
      true => STEP_MS - traffic.recorder.now() % STEP_MS,
      false => pause_ms,
    };
    thread::sleep(Duration::from_millis(pause_ms));
    if traffic.is_crowded() {
      connection = None;
    }
    let instance = traffic.instance_for(own);
    let (address, ready) = &traffic.instances[instance];
    if !ready.load(Ordering::Relaxed) {
      connection = None;
      continue;
    }
    number += 1;
    let kind = random_kind(&mut rng);
    let id = format!("r-{own}-{caller}-{number}");
    if traffic.resumes && kind == Kind::Stream {
      stream::run(traffic, &mut rng, instance, &id, traffic.customer(caller));
      continue;
    }
    let model = random_model(&mut rng, kind);
    let method = match kind {
      Kind::Repeatable if traffic.methods.len() > 1 => pick_method(&mut rng, traffic.methods),
      _ => "POST",
    };
    let abandons = rng.random_ratio(ABANDON_PERCENT, 100);
    let customer = traffic.customer(caller);
    let tokens = traffic
      .states_tokens
      .then(|| rng.random_range(LAST_PART_TOKENS));
    let uploads = traffic.uploads && number % UPLOAD_EVERY == 0 && method == "POST";
    let body = match uploads && matches!(kind, Kind::Once | Kind::Repeatable) {
      true => format!("{id} {}", "x".repeat(UPLOAD_BYTES)),
      false => "body".to_string(),
    };
    let reused = connection.is_some();
    let at = traffic.recorder.now();
    let stated_deadline_ms = kind.deadline_ms() * traffic.deadline_factor;
    let Outcome {
      end,
      unexpected_body,
      server,
      connection: stream,
    } = send(
      connection.take(),
      *address,
      (kind, method, &body),
      &id,
      &model,
      (stated_deadline_ms, abandons, tokens, customer),
    );
    connection =
      stream.filter(|(_, requests)| *requests < MAX_CONNECTION_REQUESTS && instance == own);
    let ended = traffic.recorder.now();
    let request = Request {
      id,
      kind,
      instance,
      customer,
      reused,
      returns: false,
      at,
      ended,
      end,
      unexpected_body,
      server,
    };
    traffic
      .recorder
      .record(|history| history.requests.push(request));
  }
}

fn pick_method(rng: &mut SmallRng, methods: &[&'static str]) -> &'static str {
  methods[rng.random_range(0..methods.len())]
}

fn random_kind(rng: &mut SmallRng) -> Kind {
  match rng.random_range(0..100) {
    0..25 => Kind::Once,
    25..50 => Kind::Repeatable,
    50..75 => Kind::Stream,
    75..90 => Kind::StreamOnce,
    _ => Kind::Batch,
  }
}

/// Picks a model; two of them get most of the requests.
pub(crate) fn random_model(rng: &mut SmallRng, kind: Kind) -> Option<String> {
  let number: usize = rng.random_range(0..100);
  let index = match number {
    0..80 => number % 2,
    _ => 2 + number % (MODELS.len() - 2),
  };
  match kind {
    Kind::Once | Kind::Repeatable => None,
    Kind::Batch => Some(MODELS[number % MODELS.len()].into()),
    Kind::Stream | Kind::StreamOnce if number.is_multiple_of(5) => {
      Some(format!("{}/a1", MODELS[index]))
    }
    Kind::Stream | Kind::StreamOnce => Some(MODELS[index].into()),
  }
}

type Connection = Option<(TcpStream, u32)>;

/// Outcome of a request.
struct Outcome {
  end: End,
  unexpected_body: Option<String>,
  server: Option<String>,
  connection: Connection,
}

/// Outcome of a request without a response.
fn unanswered(end: End) -> Outcome {
  Outcome {
    end,
    unexpected_body: None,
    server: None,
    connection: None,
  }
}

fn send(
  connection: Connection,
  address: SocketAddr,
  (kind, method, body): (Kind, &str, &str),
  id: &str,
  model: &Option<String>,
  (deadline_ms, abandons, tokens, customer): (u64, bool, Option<u32>, Customer),
) -> Outcome {
  let (stream, requests) = match connection {
    Some(connection) => connection,
    None => match TcpStream::connect(address) {
      Ok(stream) => (stream, 0),
      Err(_) => return unanswered(End::Unreached),
    },
  };
  let mut stream = stream;
  let path = format!("/{}/x", kind.route());
  let last_part = tokens.unwrap_or(10);
  let parts = format!("{FIRST_PART},{:x}:{last_part}", id.len());
  let usage = format!("{},{RESPONSE_TOKENS}", FIRST_PART_TOKENS + last_part);
  let mut headers = vec![
    ("Authorization", customer.authorization()),
    (client::PROMPT_PARTS, &*parts),
  ];
  if tokens.is_some() {
    headers.push((client::TOKEN_USAGE, &*usage));
  }
  let request = Outgoing {
    method,
    path: &path,
    id,
    model: model.as_deref(),
    deadline_ms,
    headers: &headers,
    body: if method == "POST" { body } else { "" },
  };
  // A closed connection is detected when the response is read.
  let _ = client::write(&mut stream, &request);
  if abandons {
    return unanswered(End::Left);
  }
  let Some(answer) = client::read(&mut stream, method) else {
    return unanswered(End::Closed);
  };
  let keep_alive = answer.is_complete && answer.keep_alive();
  let end = match (method, answer.status) {
    // Its body is left out.
    ("HEAD", 200) => End::Success {
      intact: answer.is_signed() && answer.body.is_empty(),
    },
    _ => outcome_end(kind, id, &answer, 1),
  };
  let unexpected_body = (end == End::Success { intact: false }).then(|| answer.text());
  Outcome {
    end,
    unexpected_body,
    server: answer.server(),
    connection: keep_alive.then_some((stream, requests + 1)),
  }
}

/// How a request ended for its caller; a stream is to begin with this event.
pub(crate) fn outcome_end(kind: Kind, id: &str, answer: &Answer, first: u64) -> End {
  if !answer.is_complete {
    return End::Truncated;
  }
  if answer.status == 200 {
    let body = match kind {
      Kind::Stream | Kind::StreamOnce => {
        let events = answer.events();
        let mut versions = events.iter().map(|event| event.version.as_str());
        (first..=EVENTS)
          .map(|number| encode_event(id, number, versions.next().unwrap_or_default()))
          .collect()
      }
      _ => plain_body(id),
    };
    let intact = answer.is_signed() && answer.text() == body;
    return End::Success { intact };
  }
  End::Failure {
    status: answer.status,
    signed: answer.is_signed(),
  }
}
