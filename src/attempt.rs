//! Attempts to serve a request on a backend server.

use crate::{replica, request::Ticket, verdict::Verdict};

/// An attempt with the backend server that it is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
  pub ticket: Ticket,
  /// Number of this attempt among those of its request, from 1.
  pub number: u32,
  /// Address of the backend server, `ip:port`.
  pub address: String,
  /// The replica of the model; `None` for a plain service.
  pub replica: Option<replica::Id>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
  /// The caller has received the complete response.
  Whole,
  /// The backend server declined the request without running it.
  Declined,
  /// The connection or the backend server failed.
  Broken(Verdict),
  /// Like `Broken`, after the caller received a part of the response from this attempt.
  CutOff,
  /// The caller disconnected and the stream was cancelled.
  CallerGone,
}
