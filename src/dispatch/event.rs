//! What goes into the reducer of routed requests, and what comes out.

use crate::{
  backend::{self, Holding, Spec},
  contact::Outage,
  content,
  crash::{Quarantined, Suspected},
  customer::Caller,
  demand::Model,
  deployment::Deployment,
  life::Life,
  quota::{Grant, Sums},
  refusal::Refusal,
  request::Ticket,
  route::Route,
  statement::Statement,
  verdict::Verdict,
};
use std::{net::SocketAddr, sync::Arc};

/// A request, as far as decisions need it.
#[derive(Clone, Debug)]
pub struct Descriptor {
  pub ticket: Ticket,
  /// The caller's own id of the request.
  pub id: String,
  pub route: Arc<Route>,
  pub pool: String,
  pub model: Option<Model>,
  /// Equal for requests that share the start of their prompt.
  pub affinity: u64,
  /// When it is given up, ms.
  pub deadline: u64,
  /// The same for requests that ask for the same thing.
  pub content: content::Key,
  /// Who sent it, where customers are known.
  pub caller: Option<Caller>,
}

impl Descriptor {
  /// Its rank; 0 is the most urgent.
  pub fn priority(&self) -> u8 {
    let own = self.caller.and_then(|caller| caller.priority);
    own.unwrap_or(self.route.priority)
  }
}

/// One send of a request to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
  pub ticket: Ticket,
  pub backend: backend::Key,
  pub id: String,
  pub life: Life,
  pub address: SocketAddr,
  /// Counts the sends of one request, from 1.
  pub number: u32,
  /// The server had named a limit when this was decided.
  pub limited: bool,
  /// It tries the server out after its rest.
  pub trial: bool,
  /// Since the server's own entry was missing when this was decided, ms.
  pub missing_ms: Option<u64>,
}

/// How a send ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
  /// The caller has the whole answer.
  Whole,
  /// The server answered with a failure of its own, which the caller has.
  Failed,
  /// The server is full: it did not run the request.
  Full,
  /// The server does not hold the model: it did not run the request.
  Missing,
  /// Another server has the address now.
  Replaced,
  /// No connection came up.
  Unreached,
  /// Its time was over before anything went out.
  Unsent,
  /// The server was found to leave before anything went out.
  Leaving,
  /// The server was found to want rest before anything went out.
  Resting,
  /// Its key was taken away before anything went out.
  Barred,
  /// Whether its key still counts was not known when it was to go out.
  Unsure,
  /// The request may have run; nothing of an answer counts.
  Broken,
  /// As `Broken`, and the server's process has ended.
  Crashed,
  /// The caller has gone.
  Left,
  /// The request's time is over.
  Late,
}

impl End {
  /// The word used as a metric label.
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
      Self::Left => "left",
      Self::Late => "late",
    }
  }

  /// Whether the request may have reached a server.
  pub fn may_have_reached_server(self) -> bool {
    !matches!(
      self,
      Self::Unreached | Self::Unsent | Self::Leaving | Self::Resting | Self::Barred | Self::Unsure
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
      | Self::Unsure => Verdict::NotRun,
      _ => Verdict::MayHaveRun,
    }
  }
}

/// A change of a pool's servers.
#[derive(Clone, Debug, PartialEq)]
pub enum Change {
  /// All servers there are.
  All(Vec<Spec>),
  Set(Spec),
  Removed(String),
  /// Its entry is there and names no server to use.
  Invalid(String),
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
  Deployed(Arc<Deployment>),
  Servers(Vec<Change>),
  /// The planner published what servers hold, and how many instances there are.
  Updated {
    holdings: Vec<Holding>,
    /// These are all holdings of a group, of so many, not only those that changed.
    group: Option<(u32, u32)>,
    /// Requests at servers, by their lives' short names; none: not sent this time.
    loads: Option<Vec<(u32, u16)>>,
    instances: usize,
  },
  Arrived(Descriptor),
  Ended {
    ticket: Ticket,
    end: End,
  },
  /// The answer of a request's first send has begun.
  ResponseStarted(Ticket),
  /// A later send has brought its first event.
  Resumed(Ticket),
  /// A waiting request's time has come to be looked at again.
  Recheck(Ticket),
  /// The caller of a waiting request has gone.
  CallerGone(Ticket),
  /// The platform's store does not answer this instance.
  StoreLost,
  /// It does again.
  StoreBack(Outage),
  /// It came back from an older copy: what it holds may be older than what is known.
  StoreRestored,
  /// All that it had acknowledged by then is known.
  StoreCurrent,
  /// Requests that go to no server from now on: they crash those that run them.
  Quarantined(Vec<Quarantined>),
  /// What is kept from servers was read from the store.
  RecordsRead,
  /// What all instances used of customers' quotas within the last window.
  QuotaUsage(Sums),
  /// How far this instance may use customers' quotas, in answer to the report that it sent at
  /// a time, ms.
  Granted {
    sent: u64,
    grants: Vec<Grant>,
  },
  /// The answer of a request's send has come, and names so many requests a second that its
  /// server takes, or none.
  LimitAnnounced {
    ticket: Ticket,
    rate: Option<f64>,
  },
  /// What other instances heard of servers.
  Statements(Vec<Statement>),
  /// A server said to this instance that it leaves.
  Leaving(Life),
  /// A server turned this instance away, and asks it for so much rest, ms.
  Backoff {
    server: Life,
    backoff_ms: u64,
  },
  /// A server took a request that tried it out after its rest.
  TrialAccepted(Life),
  /// Requests that may be to blame for crashes, with their turns.
  Suspected(Vec<Suspected>),
  /// A planned stop: nothing new is taken from the first time on, and what waits is
  /// refused at the second, ms.
  Stopping(u64, u64),
}

/// Something to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
  Send(Attempt),
  /// Wait for a change, at most until then, ms.
  Wait(Ticket, u64),
  Refuse(Ticket, Refusal),
  /// The planner should load a model.
  ReportDemand,
  /// Crashes wait to be reported.
  ReportCrashes,
  /// Units of a quota are needed.
  RequestQuota,
  /// A server's entry is missing, and may come back for so long, ms.
  Missing {
    id: String,
    kept_ms: u64,
  },
  /// A server's entry was removed.
  Removed(String),
  /// A server whose entry was missing did not come back.
  Expired(String),
  /// A server says that it leaves; `own`: to this instance.
  Leaving {
    id: String,
    own: bool,
  },
  /// A server asks this instance for so much rest, ms.
  Backoff {
    id: String,
    backoff_ms: u64,
  },
  /// What is known of a server's limit has changed: requests a second, or none.
  LimitChanged {
    id: String,
    rate: Option<f64>,
  },
}
