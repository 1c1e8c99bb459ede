//! Datagrams between routing instances, encoded by `postcard`. All are soft state:
//! one that is lost is sent again.

use crate::{
  backend::Holding,
  crash::{Crash, Quarantined, Suspected},
  feed,
  lease::Heartbeat,
  lease::promise::{Promise, Request},
  placement::plan::Report,
  quota::{Grant, Sums, Use},
  statement::Statement,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Since the platform's store last answered anybody that the sender has heard of, ms; none:
/// never.
pub type StoreAge = Option<u64>;

/// A datagram between instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
  Report(Report),
  Update(Update),
  /// A group's holder asks for a promise.
  Question(u32, Request),
  /// What the holder of a group asked for, if the sender gives it, and what its asking shows
  /// that it lacks: when the store answered others.
  Promise(u32, Option<Promise>, StoreAge),
  /// Changes that a holder read from the store.
  Changes(Kind, feed::Batch),
  /// Runs that ended with their servers, for those who find out why.
  Crashes(Vec<Crash>),
  /// Requests that go to no server from now on.
  Quarantine(Vec<Quarantined>),
  /// Requests that may be to blame for crashes.
  Suspects(Vec<Suspected>),
  /// What an instance has used of quotas.
  Uses(Uses),
  /// The holder's answer.
  Grants(Grants),
  /// What backend servers say of themselves.
  Statements(Vec<Statement>),
}

/// What an instance has used of quotas; also without any use it asks how far the holder has
/// followed the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Uses {
  /// Names the instance's process.
  pub process: u64,
  /// When it was sent, ms on the sender's clock.
  pub sent: u64,
  pub uses: Vec<Use>,
  /// What servers said to it.
  pub statements: Vec<Statement>,
}

/// The holder's answer to an instance's uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grants {
  /// When what it answers was sent, ms on the clock of whom it answers.
  pub sent: u64,
  pub deployments: feed::Progress,
  /// Since when the holder surely knows all changes of the deployment, ms.
  pub sure_ms: u64,
  pub grants: Vec<Grant>,
}

/// What the store's changes are about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
  Deployments,
  Servers,
}

/// What the holder of a group's lease publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
  pub group: u32,
  pub heartbeat: Heartbeat,
  /// How far the holder has followed the deployment and the servers.
  pub deployments: feed::Progress,
  pub servers: feed::Progress,
  pub store: StoreAge,
  pub instances: u32,
  /// Where instances hear each other, so that the next holder knows them; empty
  /// when not sent.
  pub members: Vec<SocketAddr>,
  /// Changes of holdings between these counts; from 0: all holdings.
  pub since: u64,
  pub latest: u64,
  pub holdings: Vec<Holding>,
  /// Requests of all instances at servers that have some; empty when not sent.
  pub loads: Vec<(u32, u16)>,
  /// Requests that go to no server, for instances that do not know of them yet.
  pub quarantined: Vec<Quarantined>,
  /// What was used of quotas within their last windows; none when not sent.
  pub sums: Option<Sums>,
}
