//! Refusals: final responses to callers whose requests were not served.

use crate::{quota::Shortage, verdict::Verdict};
use serde::{Deserialize, Serialize};

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
  UnknownModel,
  QueueFull,
  TooLate,
  Stopping,
  NoServer,
  /// The model is being loaded for callers that retry.
  Loading,
  PlatformUnavailable,
  ServerFailed,
  Claimed,
  ClaimsFull,
  CallerGone,
  /// The request crashes the servers that run it.
  Quarantined,
  /// The request has no valid key.
  KeyUnknown,
  /// This instance does not know whether the key of the request is still valid.
  KeysUnsure,
  /// The customer has exceeded its quota.
  QuotaExceeded,
  /// The servers that could run the request are overloaded, and their limits are reached.
  ServerLimit,
  /// The servers that could run the request have requested a backoff.
  ServerRest,
  /// This instance holds as many bytes for callers as its memory allows.
  MemoryFull,
  /// The build at which the stream began is unknown, and servers may have several builds.
  BuildUnknown,
  /// No server is left of the build at which the stream began.
  BuildGone,
}

impl Reason {
  /// Returns the name that is sent to callers and used as a metric label.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::UnknownModel => "unknown-model",
      Self::QueueFull => "queue-full",
      Self::TooLate => "too-late",
      Self::Stopping => "stopping",
      Self::NoServer => "no-server",
      Self::Loading => "loading",
      Self::PlatformUnavailable => "platform-unavailable",
      Self::ServerFailed => "server-failed",
      Self::Claimed => "claimed",
      Self::ClaimsFull => "claims-full",
      Self::CallerGone => "caller-gone",
      Self::Quarantined => "quarantined",
      Self::KeyUnknown => "key-unknown",
      Self::KeysUnsure => "keys-unsure",
      Self::QuotaExceeded => "quota-exceeded",
      Self::ServerLimit => "server-limit",
      Self::ServerRest => "server-rest",
      Self::MemoryFull => "memory-full",
      Self::BuildUnknown => "build-unknown",
      Self::BuildGone => "build-gone",
    }
  }

  /// Returns the HTTP status for the reason.
  pub fn status(self) -> u16 {
    match self {
      Self::UnknownModel => 404,
      Self::KeyUnknown => 401,
      Self::QueueFull | Self::QuotaExceeded => 429,
      Self::ServerFailed | Self::Quarantined => 502,
      Self::Claimed => 409,
      _ => 503,
    }
  }
}

/// A refusal with its verdict and retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
  pub reason: Reason,
  pub verdict: Verdict,
  /// Time after which a retry may be served, ms; `None` if the request should not be retried.
  pub retry_after: Option<u64>,
  /// The exceeded quota, for the log.
  #[serde(skip)]
  pub shortage: Option<Shortage>,
}
