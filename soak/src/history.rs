//! What a run has seen, in its own time: milliseconds since its start.

use std::{
  sync::{Mutex, PoisonError},
  time::Instant,
};

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Kind {
  /// A call that may run at most once.
  Once,
  /// A call that may be repeated.
  Again,
  /// A stream that another server may resume.
  Stream,
  /// A stream that runs at most once.
  Single,
  /// Work that may wait, for a model.
  Batch,
}

impl Kind {
  /// All kinds.
  pub const ALL: [Self; 5] = [
    Self::Once,
    Self::Again,
    Self::Stream,
    Self::Single,
    Self::Batch,
  ];

  /// The route's name.
  pub fn route(self) -> &'static str {
    match self {
      Self::Once => "once",
      Self::Again => "again",
      Self::Stream => "stream",
      Self::Single => "stream-once",
      Self::Batch => "batch",
    }
  }

  /// How long its caller waits, ms.
  pub fn deadline_ms(self) -> u64 {
    match self {
      Self::Once | Self::Again => 2_000,
      Self::Stream | Self::Single => 5_000,
      Self::Batch => 9_000,
    }
  }

  /// Whether it may run more than once.
  pub fn repeatable(self) -> bool {
    matches!(self, Self::Again | Self::Stream | Self::Batch)
  }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
  /// A success, and whether it is the whole answer to this very request.
  Success { own: bool },
  /// A failure: its status, and whether it comes from a backend server.
  Failure { status: u16, signed: bool },
  /// The answer broke off after its head.
  Cut,
  /// The connection ended without an answer.
  Closed,
  /// No connection came up.
  Unreached,
  /// The caller left on purpose.
  Left,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Sent {
  pub id: String,
  pub kind: Kind,
  pub instance: usize,
  /// On a connection that had carried others.
  pub reused: bool,
  pub at: u64,
  pub ended: u64,
  pub end: End,
  /// The server whose answer it got.
  pub server: Option<String>,
  /// The body of a success that is not the whole answer to this very request.
  pub foreign: Option<String>,
}

/// A request as a backend server saw it.
#[derive(Clone, Debug)]
pub struct Run {
  pub id: String,
  pub server: String,
  pub at: u64,
}

/// A request that came to a backend server, run or not.
#[derive(Clone, Debug)]
pub struct Arrival {
  pub id: String,
  pub server: String,
  pub at: u64,
}

/// A server said in its answers from a moment on that it leaves.
#[derive(Clone, Debug)]
pub struct Leaver {
  pub server: String,
  pub from: u64,
}

/// A server turned a request away, and asked for rest until a moment.
#[derive(Clone, Debug)]
pub struct Rest {
  pub server: String,
  /// The request.
  pub id: String,
  pub from: u64,
  pub to: u64,
}

/// A server named a limit, requests a second, from a moment to another one.
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

/// What a fault struck.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
  Instance(usize),
  Server(String),
  Store,
}

/// What a trouble is called that follows a planned stop.
pub const STOPPED: &str = "stopped";
/// What a trouble is called that stops a process for a while.
pub const FROZEN: &str = "freeze";

/// A fault, while it lasted.
#[derive(Clone, Debug)]
pub struct Trouble {
  pub target: Target,
  pub what: &'static str,
  pub from: u64,
  /// `u64::MAX` while it lasts.
  pub to: u64,
}

/// The newest configuration found in force at an instance.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
  pub instance: usize,
  /// Counts the starts of its process.
  pub life: u32,
  /// When the probe began.
  pub at: u64,
  pub version: u64,
}

/// A server held the bounded model from a moment on, and to another one no more.
#[derive(Clone, Debug)]
pub struct Hold {
  pub server: String,
  pub from: u64,
  pub to: u64,
}

/// Everything a run has seen.
#[derive(Clone, Debug, Default)]
pub struct History {
  pub sent: Vec<Sent>,
  pub runs: Vec<Run>,
  /// Requests that came to servers which said something in their answers.
  pub arrivals: Vec<Arrival>,
  pub leavers: Vec<Leaver>,
  pub rests: Vec<Rest>,
  pub limits: Vec<Limit>,
  pub orders: Vec<Order>,
  pub troubles: Vec<Trouble>,
  pub probes: Vec<Probe>,
  /// Versions that the store acknowledged, and when.
  pub configured: Vec<(u64, u64)>,
  /// Servers that said that they leave, and when.
  pub drained: Vec<(String, u64)>,
  /// Loads beyond a server's memory.
  pub overfull: Vec<(String, u64)>,
  /// When servers held the bounded model, and whether an order was carried out late.
  pub holds: Vec<Hold>,
  pub late_orders: bool,
  /// Servers that crashed, or whose entries went for good, and when.
  pub gone: Vec<(String, u64)>,
  /// When the last fault had ended.
  pub calm_from: u64,
  /// Longest delay of this process's own threads, ms.
  pub lag_ms: u64,
}

impl History {
  /// Whether a fault at a target lasted at some time between two, ms.
  pub fn troubled(&self, target: &Target, from: u64, to: u64) -> bool {
    let mut troubles = self.troubles.iter();
    troubles.any(|trouble| trouble.target == *target && trouble.from <= to && trouble.to >= from)
  }
}

/// A history that threads write.
pub struct Book {
  start: Instant,
  history: Mutex<History>,
}

impl Book {
  /// An empty history that begins now.
  pub fn open() -> Self {
    Self {
      start: Instant::now(),
      history: Mutex::default(),
    }
  }

  /// Milliseconds since the start.
  pub fn now(&self) -> u64 {
    self.start.elapsed().as_millis() as u64
  }

  /// A moment as milliseconds since the start.
  pub fn at(&self, moment: Instant) -> u64 {
    moment.saturating_duration_since(self.start).as_millis() as u64
  }

  /// Writes to the history.
  pub fn note<T>(&self, write: impl FnOnce(&mut History) -> T) -> T {
    let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
    write(&mut history)
  }

  /// A trouble begins; gives its number.
  pub fn begin(&self, target: Target, what: &'static str) -> usize {
    let from = self.now();
    self.note(|history| {
      history.troubles.push(Trouble {
        target,
        what,
        from,
        to: u64::MAX,
      });
      history.troubles.len() - 1
    })
  }

  /// A trouble ends.
  pub fn end(&self, number: usize) {
    let now = self.now();
    self.note(|history| history.troubles[number].to = now);
  }
}
