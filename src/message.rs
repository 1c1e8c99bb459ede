//! Datagrams between routing instances, encoded with `postcard`. All carry soft state that is sent
//! again if a datagram is lost.
//!
//! A message may be followed by an extension in the same datagram, which earlier versions ignore.

use crate::{
  backend::Holding,
  build, content,
  crash::{Crash, Quarantined, Suspected, part, served},
  feed,
  lease::Heartbeat,
  lease::promise::{Promise, Request},
  pace,
  placement::plan::Report,
  quota::{Grant, Sums, Use},
  samples::Samples,
  statement::Statement,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Milliseconds since the platform's store last responded to any instance, as far as the sender
/// knows; `None` if it never has.
pub type StoreAge = Option<u64>;

/// A datagram between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
  Report(Report),
  Update(Update),
  /// Request of a group's holder for a promise.
  #[serde(rename = "Question")]
  PromiseRequest(u32, Request),
  /// Answer to a group's holder: the promise, if the sender gives one, and when the store last
  /// responded to others, since the request shows that the store does not respond to the holder.
  Promise(u32, Option<Promise>, StoreAge),
  /// Changes that a holder read from the store.
  Changes(Kind, feed::Batch),
  /// Requests that were running when their servers crashed, for the instances that find the cause.
  Crashes(Vec<Crash>),
  /// Requests that are no longer sent to any server.
  Quarantine(Vec<Quarantined>),
  /// Requests suspected of causing crashes.
  Suspects(Vec<Suspected>),
  /// Quota usage of an instance.
  Uses(Uses),
  /// The holder's answer to [`Message::Uses`].
  Grants(Grants),
  /// Statements of backend servers about themselves.
  Statements(Vec<Statement>),
  /// Builds at which streams began.
  Builds(Vec<build::Record>),
  /// Question about attempts, to instances that may have their records.
  BuildQuestion(Vec<build::Key>),
  /// The attempts of a question that the sender does not know.
  BuildsUnknown(Vec<build::Key>),
  /// Parts of the prompts of runs that had just begun when their servers crashed.
  PartCrashes(Vec<part::Crash>),
  /// Question of an analyzer whether requests with these contents or parts were served.
  ServedQuestions(Vec<served::Question>),
  /// Contents and parts of requests that were served since their first crash.
  Served(Vec<content::Key>),
  /// Units of quotas that the former holder published last, and the time since then, for its successor.
  FormerSums {
    age_ms: u32,
    sums: Sums,
  },
}

/// Additions to a report or an update. Fields are only ever appended, because `postcard` does not
/// name them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Extension {
  /// Report: measures of servers' pace since the last one.
  pub pace_samples: Vec<pace::Sample>,
  /// Update: paces of servers.
  pub paces: Vec<pace::Published>,
  /// In an update: number of requests from all instances that wait for the models of a server, by the
  /// short hash of the server's id and start time.
  pub waiting: Vec<(u32, u16)>,
  /// Of a report: what callers saw.
  pub samples: Samples,
  /// Of an update: loads that may still be carried out; `None` if not included. Of a report: those
  /// that an earlier holder published last.
  pub unanswered: Option<Vec<Unanswered>>,
  /// Of attempts that the sender does not know: whether it has run for longer than streams last.
  /// Earlier versions do not state it, and count as instances that have just started.
  pub outlasts_streams: bool,
}

/// A load that a server may carry out although its order got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Unanswered {
  /// Short hash of the life of the server.
  pub server: u32,
  /// Hash of the model.
  pub model: u32,
}

/// Encodes a datagram.
pub fn encode(message: &Message, extension: &Extension) -> postcard::Result<Vec<u8>> {
  let bytes = postcard::to_stdvec(message)?;
  match *extension == Extension::default() {
    true => Ok(bytes),
    false => postcard::to_extend(extension, bytes),
  }
}

/// Decodes a datagram. An extension that is missing, or that an earlier version sent with fewer
/// fields, is empty.
pub fn decode(bytes: &[u8]) -> postcard::Result<(Message, Extension)> {
  let (message, rest) = postcard::take_from_bytes(bytes)?;
  let extension = postcard::from_bytes(rest).unwrap_or_default();
  Ok((message, extension))
}

/// Quota usage of an instance. It is sent even without any usage, to learn how far the holder has
/// followed the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Uses {
  /// Identifies the process of the instance.
  pub process: u64,
  /// Time of sending in milliseconds on the sender's clock.
  pub sent: u64,
  pub uses: Vec<Use>,
  /// Statements that servers made to the instance.
  pub statements: Vec<Statement>,
}

/// The holder's answer to an instance's quota usage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
  /// Time at which the answered message was sent, in milliseconds on the clock of its sender.
  pub sent: u64,
  pub deployments: feed::Progress,
  /// Milliseconds since the time up to which the holder certainly knows all changes of the
  /// deployment.
  pub sure_ms: u64,
  pub grants: Vec<Grant>,
}

/// Subject of changes in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
  Deployments,
  Servers,
}

/// Update published by the holder of a group's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
  pub group: u32,
  pub heartbeat: Heartbeat,
  /// How far the holder has followed the deployment and the servers.
  pub deployments: feed::Progress,
  pub servers: feed::Progress,
  pub store: StoreAge,
  pub instances: u32,
  /// Addresses of the instances, so that the next holder knows them; empty if not included.
  pub members: Vec<SocketAddr>,
  /// The update contains the changes of holdings between these counts, or all holdings if `since`
  /// is 0.
  pub since: u64,
  pub latest: u64,
  pub holdings: Vec<Holding>,
  /// Number of requests from all instances for each server that has any; see `Update::loads`.
  pub loads: Vec<(u32, u16)>,
  /// Requests that are not sent to any server, for instances that do not know them yet.
  pub quarantined: Vec<Quarantined>,
  /// Quota usage within the last windows; `None` if not included.
  pub sums: Option<Sums>,
}

impl Update {
  /// The loads of servers, or `None` if the update does not include them. Loads that may still be
  /// carried out are published with them, also where there are none.
  pub fn loads(&self, extension: &Extension) -> Option<&[(u32, u16)]> {
    let included = extension.unanswered.is_some() || !self.loads.is_empty();
    included.then_some(&self.loads)
  }
}
