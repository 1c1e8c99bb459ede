//! One attempt to serve a request on a backend server.

use crate::{replica, request::Ticket, verdict::Verdict};

/// Where an attempt goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
  pub ticket: Ticket,
  /// Counts the attempts of one request, from 1.
  pub number: u32,
  /// Address of the backend server, `ip:port`.
  pub address: String,
  /// The replica, for a model.
  pub replica: Option<replica::Id>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
  /// The caller has the whole answer.
  Whole,
  /// The backend server declined without running it.
  Declined,
  /// The connection broke or the server failed.
  Broken(Verdict),
  /// The caller is gone; the stream was cancelled.
  CallerGone,
}
