//! Events and effects of the reducer for routed requests.

use super::choice::expect::Lateness;
use crate::{
  backend::{self, Holding, Spec},
  build::{
    self,
    resume::{Decision, Resumption},
  },
  content,
  crash::{Quarantined, Suspected, served},
  customer::Caller,
  demand::Model,
  deployment::Deployment,
  life::Life,
  pace::Published,
  quota::{Grant, Sums},
  reachability::Outage,
  refusal::Refusal,
  request::Ticket,
  retry::Standing,
  route::Route,
  statement::{Recorded, Statement},
  tokens::Tokens,
  verdict::Verdict,
};
use std::{net::SocketAddr, sync::Arc};

/// The properties of a request on which decisions depend.
#[derive(Clone, Debug)]
pub struct Descriptor {
  pub ticket: Ticket,
  /// Request id, chosen by the caller.
  pub id: String,
  pub route: Arc<Route>,
  pub pool: String,
  pub model: Option<Model>,
  /// Equal for requests that share a prompt prefix.
  pub affinity: u64,
  /// Time in milliseconds at which the request times out.
  pub deadline: u64,
  /// Equal for requests with the same content.
  pub content: content::Key,
  /// The parts of the prompt that other requests may share: all but the last one.
  pub parts: Arc<Vec<content::Key>>,
  /// The authenticated caller, if customers are configured.
  pub caller: Option<Caller>,
  /// `None` if the caller does not state them.
  pub tokens: Option<Tokens>,
  /// The stream that the caller resumes; `None` if it has no events yet.
  pub resumption: Option<Resumption>,
}

impl Descriptor {
  /// Priority of the request; 0 is the most urgent.
  pub fn priority(&self) -> u8 {
    let customer_priority = self.caller.and_then(|caller| caller.priority);
    customer_priority.unwrap_or(self.route.priority)
  }
}

/// One send of a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
  pub ticket: Ticket,
  pub backend: backend::Key,
  pub id: String,
  pub life: Life,
  pub build: build::Id,
  pub address: SocketAddr,
  /// Number of this send among the sends of its request, from 1.
  pub number: u32,
  /// Whether the server had announced a rate limit when the send was decided.
  pub limited: bool,
  /// Whether this is a trial request to a server after its backoff.
  pub trial: bool,
  /// How long the server's entry had been missing when the send was decided; `None` if it was
  /// present.
  pub missing_ms: Option<u64>,
  /// Expected time to the first event, and expected pause of the streams that run on the server, in
  /// ms; `None` if they did not decide.
  pub expected_first_ms: Option<u32>,
  pub expected_pause_ms: Option<u32>,
  /// Whether the first event or a pause is expected to exceed the route's limits; `None` if that did
  /// not decide.
  pub expected_late: Option<Lateness>,
  /// Prompt and expected response in tokens.
  pub tokens: Option<u32>,
  /// Age of the published holding that the choice rested on; `None` if it rested on the server's
  /// own entry.
  pub holding_ms: Option<u64>,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
  /// The caller has received the complete response.
  Whole,
  /// The server responded with an error, which was passed on to the caller.
  Failed,
  /// The server is full and did not run the request.
  Full,
  /// The server does not hold the model and did not run the request.
  Missing,
  /// Another server uses the address now.
  Replaced,
  /// No connection could be established.
  Unreached,
  /// The request timed out before anything was sent.
  Unsent,
  /// Before anything was sent, the server was found to be leaving.
  Leaving,
  /// Before anything was sent, the server was found to have requested a backoff.
  Resting,
  /// The caller's key was revoked before anything was sent.
  Barred,
  /// When the request was to be sent, it was unknown whether the caller's key was still valid.
  Unsure,
  /// The request may have run, but there is no usable response.
  Broken,
  /// Like `Broken`, and the server's process has ended.
  Crashed,
  /// The server has sent nothing for too long; its run goes on until another server continues the
  /// stream.
  Stalled,
  /// The server of the earlier run continued the stream before this one did.
  Superseded,
  /// Like `Superseded`, before anything was sent.
  Withdrawn,
  /// The caller disconnected.
  Left,
  /// The request timed out after it was sent.
  Late,
}

impl End {
  /// The name used as a metric label.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Whole => "whole",
      Self::Failed => "failed",
      Self::Full => "full",
      Self::Missing => "missing",
      Self::Replaced => "replaced",
      Self::Unreached => "unreached",
      Self::Unsent => "unsent",
      Self::Leaving => "leaving",
      Self::Resting => "resting",
      Self::Barred => "barred",
      Self::Unsure => "unsure",
      Self::Broken => "broken",
      Self::Crashed => "crashed",
      Self::Stalled => "stalled",
      Self::Superseded => "superseded",
      Self::Withdrawn => "withdrawn",
      Self::Left => "left",
      Self::Late => "late",
    }
  }

  /// Whether the request may have reached a server.
  pub fn may_have_reached_server(self) -> bool {
    !matches!(
      self,
      Self::Unreached
        | Self::Unsent
        | Self::Leaving
        | Self::Resting
        | Self::Barred
        | Self::Unsure
        | Self::Withdrawn
    )
  }

  /// Whether the server may have run the request.
  pub fn verdict(self) -> Verdict {
    match self {
      Self::Full
      | Self::Missing
      | Self::Replaced
      | Self::Unreached
      | Self::Unsent
      | Self::Leaving
      | Self::Resting
      | Self::Barred
      | Self::Unsure
      | Self::Withdrawn => Verdict::NotRun,
      _ => Verdict::MayHaveRun,
    }
  }
}

/// A change to a pool's servers.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
  /// The complete list of servers.
  All(Vec<Spec>),
  /// A list of servers in which some may be missing.
  Part(Vec<Spec>),
  Set(Spec),
  Removed(String),
  /// The server's entry exists but does not describe a usable server.
  Invalid(String),
}

/// An input of the reducer. Times are in milliseconds.
#[derive(Clone, Debug)]
#[expect(clippy::large_enum_variant)] // arrivals are the most frequent events
pub enum Event {
  Deployed(Arc<Deployment>),
  Servers(Vec<Change>),
  /// The planner published what servers hold and the number of instances.
  Updated {
    holdings: Vec<Holding>,
    /// The index of a group of servers and the number of groups if `holdings` lists all holdings of
    /// that group; `None` if it lists only changes.
    group: Option<(u32, u32)>,
    /// Number of requests at each server, by the short hash of the server's id and start time;
    /// `None` if this update does not include it.
    loads: Option<Vec<(u32, u16)>>,
    instances: usize,
  },
  Arrived(Descriptor),
  Ended {
    ticket: Ticket,
    end: End,
  },
  /// The first response to a request has started.
  ResponseStarted(Ticket),
  /// The caller receives the start of a plain response, which no other run can continue.
  PlainStarted(Ticket),
  /// The stream of a send has ended; its longest pause between two events was `pause_ms`.
  StreamEnded {
    ticket: Ticket,
    pause_ms: u64,
  },
  /// A later send has delivered its first event.
  Resumed(Ticket),
  /// The server of a stalled stream sends again.
  Continued(Ticket),
  /// The connection of a stalled stream ended while its request ran at another server.
  StalledRunLost(Ticket),
  /// A unit of work at a request's server took this long, in ms: see [`crate::pace::unit`].
  Measured(Ticket, f32),
  /// The planner published the paces of servers.
  Paces(Vec<Published>),
  /// A stream has ended; the mean gap between its events, in ms.
  Streamed {
    ticket: Ticket,
    gap_ms: f32,
  },
  /// The planner published how many requests of all instances wait for the models of a server, by
  /// the short hash of the server's id and start time. Precedes the loads of the same publication.
  Waiting(Vec<(u32, u16)>),
  /// A waiting request is due to be checked again.
  Recheck(Ticket),
  /// The caller of a waiting request disconnected.
  CallerGone(Ticket),
  /// The platform's store has stopped responding to this instance.
  StoreLost,
  /// The store responds to this instance again.
  StoreBack(Outage),
  /// The store was restored from an older copy; its contents may be older than the local state.
  StoreRestored,
  /// Everything that the store had acknowledged when it came back has been read.
  StoreCurrent,
  /// Requests that are not sent to any server from now on because they crash the servers that run
  /// them.
  Quarantined(Vec<Quarantined>),
  /// Whether requests with these contents or parts of their prompts were served.
  ServedQuestions(Vec<served::Question>),
  /// Builds that the pools have had lately were read from the store.
  BuildHistory(build::history::Known),
  /// The servers of all pools are not known.
  BuildsUnwatched,
  /// The store was asked at `as_of` for the servers that changed.
  BuildsConfirmed {
    as_of: u64,
    servers: Result<Vec<build::confirm::Server>, build::confirm::Failure>,
  },
  /// The quarantined requests and the lease's record were read from the store.
  RecordsRead,
  /// Usage of customers' quotas by all instances within the last window.
  QuotaUsage(Sums),
  /// How far this instance may use customers' quotas; the response to the report that it sent at
  /// `sent`.
  Granted {
    sent: u64,
    grants: Vec<Grant>,
  },
  /// The response to a send has arrived. `rate` is the server's limit in requests per second,
  /// `None` if the response has no limit.
  LimitAnnounced {
    ticket: Ticket,
    rate: Option<f64>,
  },
  /// Statements of servers, forwarded by other instances.
  Statements(Vec<Statement>),
  /// Statements of servers that the lease's record contains.
  RecordedStatements(Vec<Recorded>),
  /// A server announced to this instance that it is leaving.
  Leaving(Life),
  /// A server rejected a request of this instance and requested a backoff.
  Backoff {
    server: Life,
    backoff_ms: u64,
  },
  /// The response to a request that was sent at `sent` states that its server is brittle, or not.
  Brittle {
    server: Life,
    max: Option<u32>,
    sent: u64,
  },
  /// A server accepted a trial request after its backoff.
  TrialAccepted(Life),
  /// Builds at which streams began, sent by another instance.
  Builds {
    from: SocketAddr,
    records: Vec<build::Record>,
  },
  /// Another instance does not know these attempts.
  BuildsUnknown {
    from: SocketAddr,
    attempts: Vec<build::Key>,
    /// Whether it has run for longer than streams last.
    outlasts_streams: bool,
  },
  /// Requests that may have caused crashes, with the order in which they may run.
  Suspected(Vec<Suspected>),
  /// Graceful shutdown.
  Stopping {
    /// New requests are refused from this time on.
    accept_until: u64,
    /// Requests that wait are refused at this time, unless their answer has begun.
    refuse_waiting_at: u64,
    /// What still waits or runs ends at this time, because the process exits.
    end_at: u64,
  },
}

impl Event {
  /// Whether the event states which lives servers have, or is a server's statement about its life.
  pub fn concerns_lives(&self) -> bool {
    matches!(
      self,
      Self::Servers(_)
        | Self::LimitAnnounced { .. }
        | Self::Statements(_)
        | Self::RecordedStatements(_)
        | Self::Leaving(_)
        | Self::Brittle { .. }
        | Self::Backoff { .. }
    )
  }
}

/// An output of the reducer. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
  Send(Attempt),
  /// Wait for a change, at most until the given time.
  Wait(Ticket, u64),
  Refuse(Ticket, Refusal),
  /// Report demand, because the planner should load a model.
  ReportDemand,
  /// Report the recorded crashes.
  ReportCrashes,
  /// Report quota use and needs to the lease holder.
  RequestQuota,
  /// Send records of streams, and questions about attempts, to other instances.
  ExchangeBuilds,
  /// At which build a stream continues that its caller resumes.
  Resumption(Decision),
  /// A pool's retry budget, at most once per second.
  RetryBudget {
    pool: String,
    standing: Standing,
  },
  /// A server's entry is missing; the server is kept for `kept_ms` in case the entry reappears.
  Missing {
    id: String,
    kept_ms: u64,
  },
  /// A server's entry was removed.
  Removed(String),
  /// A server was dropped because its missing entry did not reappear.
  Expired(String),
  /// A server announced that it is leaving; `own` if it did so to this instance.
  Leaving {
    id: String,
    own: bool,
  },
  /// A server requested a backoff from this instance.
  Backoff {
    id: String,
    /// Start time of the server in Unix milliseconds, as known here.
    born: u64,
    backoff_ms: u64,
  },
  /// A server became brittle, or ceased to be (`None`); `own` if it stated that to this instance.
  BrittleChanged {
    id: String,
    max_rejections: Option<u32>,
    own: bool,
  },
  /// A server's limit changed; `rate` is in requests per second, `None` if it has no limit.
  LimitChanged {
    id: String,
    rate: Option<f64>,
  },
}
