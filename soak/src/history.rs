//! What a run recorded. All times are in milliseconds since the start of the run.

use crate::customer::Customer;
use std::{
  collections::BTreeSet,
  sync::{Mutex, PoisonError},
  time::Instant,
};

/// Kind of a request; each kind has its own route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
  /// A unary request that may run at most once.
  Once,
  /// A unary request that may be repeated.
  Repeatable,
  /// A streaming request that another server may resume.
  Stream,
  /// A streaming request that may run at most once.
  StreamOnce,
  /// A batch request for a model, which may wait.
  Batch,
}

impl Kind {
  pub const ALL: [Self; 5] = [
    Self::Once,
    Self::Repeatable,
    Self::Stream,
    Self::StreamOnce,
    Self::Batch,
  ];

  /// Name of the route.
  pub fn route(self) -> &'static str {
    match self {
      Self::Once => "once",
      Self::Repeatable => "again",
      Self::Stream => "stream",
      Self::StreamOnce => "stream-once",
      Self::Batch => "batch",
    }
  }

  /// How long the caller waits, in ms.
  pub fn deadline_ms(self) -> u64 {
    match self {
      Self::Once | Self::Repeatable => 2_000,
      Self::Stream | Self::StreamOnce => 5_000,
      Self::Batch => 9_000,
    }
  }

  /// Whether the request may run more than once.
  pub fn repeatable(self) -> bool {
    matches!(self, Self::Repeatable | Self::Stream | Self::Batch)
  }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
  /// Success; `intact` if the response is complete and belongs to this request.
  Success { intact: bool },
  /// Failure with its HTTP status; `signed` if it comes from a backend server.
  Failure { status: u16, signed: bool },
  /// The response was truncated after its head.
  Truncated,
  /// The connection closed without a response.
  Closed,
  /// The connection could not be established.
  Unreached,
  /// The caller disconnected on purpose.
  Left,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Request {
  pub id: String,
  pub kind: Kind,
  pub instance: usize,
  pub customer: Customer,
  /// Whether the connection had carried earlier requests.
  pub reused: bool,
  /// Whether it resumes a stream long after that broke, which may be refused.
  pub returns: bool,
  pub at: u64,
  pub ended: u64,
  pub end: End,
  /// The backend server that sent the response.
  pub server: Option<String>,
  /// Body of a successful response that is incomplete or belongs to another request.
  pub unexpected_body: Option<String>,
}

/// One execution of a request, as a backend server saw it.
#[derive(Clone, Debug)]
pub struct Run {
  pub id: String,
  pub server: String,
  pub at: u64,
}

/// A request that reached a backend server, whether or not it ran.
#[derive(Clone, Debug)]
pub struct Arrival {
  pub id: String,
  pub server: String,
  pub at: u64,
}

/// A server that announces its departure in responses, from `from` on.
#[derive(Clone, Debug)]
pub struct Departure {
  pub server: String,
  pub from: u64,
}

/// A server declined a request and asked for a backoff until `to`.
#[derive(Clone, Debug)]
pub struct Backoff {
  pub server: String,
  /// Id of the declined request.
  pub id: String,
  pub from: u64,
  pub to: u64,
}

/// A server announced a rate limit, in requests per second, from `from` until `to`.
#[derive(Clone, Debug)]
pub struct Limit {
  pub server: String,
  pub rate: f64,
  pub from: u64,
  pub to: u64,
}

/// An order as a backend server saw it.
#[derive(Clone, Debug)]
pub struct Order {
  pub server: String,
  pub holder: String,
  pub term: u64,
  pub at: u64,
}

/// What a fault affected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
  Instance(usize),
  Server(String),
  Store,
}

/// Cause of the incident that follows a planned stop.
pub const STOPPED: &str = "stopped";
/// Cause of an incident in which a process is killed and started again.
pub const KILLED: &str = "kill";
/// Cause of an incident in which a process is suspended.
pub const FROZEN: &str = "freeze";

/// A fault of one target, from its start to its end.
#[derive(Clone, Debug)]
pub struct Incident {
  pub target: Target,
  pub cause: &'static str,
  pub from: u64,
  /// `u64::MAX` until the incident ends.
  pub to: u64,
}

/// The newest configuration version that an instance was found to use.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
  pub instance: usize,
  /// Number of process starts, which tells restarted processes apart.
  pub life: u32,
  /// When the probe started.
  pub at: u64,
  pub version: u64,
}

/// A server held the bounded model from `from` until `to`.
#[derive(Clone, Debug)]
pub struct Hold {
  pub server: String,
  pub from: u64,
  pub to: u64,
}

/// A resumable stream over all attempts of its caller.
#[derive(Clone, Debug)]
pub struct Stream {
  /// Id of the first attempt.
  pub id: String,
  /// Whether its service has no models, so that every server of its software version can resume it.
  pub plain: bool,
  /// Instance of the first attempt.
  pub instance: usize,
  pub at: u64,
  pub ended: u64,
  /// Software versions of its events; empty if none came.
  pub versions: Vec<String>,
}

/// A resumption of a stream by its caller, over all instances that it was sent to.
#[derive(Clone, Debug)]
pub struct Resumption {
  /// Id of the stream's first attempt.
  pub id: String,
  pub plain: bool,
  /// Software version that the stream had so far.
  pub version: String,
  pub instances: Vec<usize>,
  pub at: u64,
  pub ended: u64,
  /// Whether it brought an event.
  pub went_on: bool,
  /// Why instances refused it.
  pub reasons: Vec<String>,
}

/// A server of the plain service that serves at a software version, until it is stopped or replaced.
#[derive(Clone, Debug)]
pub struct Serving {
  pub server: String,
  pub version: String,
  pub from: u64,
  /// `u64::MAX` while it serves.
  pub to: u64,
}

/// A time in which the servers of a service were brittle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrittlePeriod {
  /// Servers of the service, also those that started meanwhile.
  pub servers: BTreeSet<String>,
  /// Number of its servers at a time.
  pub size: usize,
  pub from: u64,
  pub to: u64,
}

/// Requests with a part in their prompts that crashes servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PartRuns {
  /// Prefix of their ids.
  pub prefix: String,
  /// When they crashed servers.
  pub crashes: Vec<u64>,
}

/// Everything that a run recorded.
#[derive(Clone, Debug, Default)]
pub struct History {
  pub requests: Vec<Request>,
  pub runs: Vec<Run>,
  /// Requests to servers that announced a departure, a backoff or a limit in responses.
  pub arrivals: Vec<Arrival>,
  pub departures: Vec<Departure>,
  pub backoffs: Vec<Backoff>,
  pub limits: Vec<Limit>,
  pub orders: Vec<Order>,
  pub incidents: Vec<Incident>,
  pub probes: Vec<Probe>,
  /// Configuration versions acknowledged by the store, with times.
  pub configured: Vec<(u64, u64)>,
  /// Servers that left, by a draining state or by removal of their entry, with times.
  pub drained: Vec<(String, u64)>,
  /// Number of loads beyond a server's memory, by server.
  pub overcommitted: Vec<(String, u64)>,
  /// When servers held the bounded model; `late_orders` is set if servers may have carried out
  /// orders late.
  pub holds: Vec<Hold>,
  pub late_orders: bool,
  /// Servers that crashed or whose entries were removed for good, with times.
  pub removed: Vec<(String, u64)>,
  pub streams: Vec<Stream>,
  pub resumptions: Vec<Resumption>,
  /// Resumptions long after their streams broke.
  pub returns: Vec<Resumption>,
  pub serving: Vec<Serving>,
  pub brittle: Vec<BrittlePeriod>,
  /// Servers that fell over because they had to reject too many requests, with times.
  pub falls: Vec<(String, u64)>,
  pub deadly: Vec<PartRuns>,
  /// Responses that servers sent twice.
  pub copies: u64,
  /// Whether customers have quotas.
  pub has_quotas: bool,
  /// Instances whose process ended by itself, with the time at which that was found, and its status.
  pub ended: Vec<(usize, u64, String)>,
  /// When the last fault ended.
  pub faults_ended_at: u64,
  /// Longest scheduling delay of the threads of this process, in ms.
  pub max_lag_ms: u64,
}

impl History {
  /// Whether a fault of the target overlaps the time from `from` to `to`, in ms.
  pub fn had_incident(&self, target: &Target, from: u64, to: u64) -> bool {
    let mut incidents = self.incidents.iter();
    incidents
      .any(|incident| incident.target == *target && incident.from <= to && incident.to >= from)
  }
}

/// Records a history from several threads.
pub struct Recorder {
  start: Instant,
  history: Mutex<History>,
}

impl Recorder {
  /// Starts an empty history whose clock starts now.
  pub fn start() -> Self {
    Self {
      start: Instant::now(),
      history: Mutex::default(),
    }
  }

  /// Returns the time since the start, in ms.
  pub fn now(&self) -> u64 {
    self.start.elapsed().as_millis() as u64
  }

  /// Converts an instant to ms since the start.
  pub fn ms_at(&self, instant: Instant) -> u64 {
    instant.saturating_duration_since(self.start).as_millis() as u64
  }

  /// Locks the history and applies `write` to it.
  pub fn record<T>(&self, write: impl FnOnce(&mut History) -> T) -> T {
    let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
    write(&mut history)
  }

  /// Starts an incident and returns its index.
  pub fn start_incident(&self, target: Target, cause: &'static str) -> usize {
    let from = self.now();
    self.record(|history| {
      history.incidents.push(Incident {
        target,
        cause,
        from,
        to: u64::MAX,
      });
      history.incidents.len() - 1
    })
  }

  /// Ends an incident.
  pub fn end_incident(&self, number: usize) {
    let now = self.now();
    self.record(|history| history.incidents[number].to = now);
  }
}
