//! A final answer to a caller whose request was not served.

use crate::verdict::Verdict;
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
  /// The model is being loaded for callers that come back.
  Loading,
  PlatformUnavailable,
  ServerFailed,
  Claimed,
  ClaimsFull,
  CallerGone,
  /// It crashes the servers that run it.
  Quarantined,
  /// It names no key that counts.
  KeyUnknown,
  /// Whether its key still counts is not known here.
  KeysUnsure,
  /// Its customer is beyond its quota.
  QuotaExceeded,
  /// The servers that could run it are in need, and their limits are reached.
  ServerLimit,
  /// The servers that could run it want rest.
  ServerRest,
}

impl Reason {
  /// The word sent to callers and used as a metric label.
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
    }
  }

  /// HTTP status for the reason.
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

/// A refusal with its verdict and when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
  pub reason: Reason,
  pub verdict: Verdict,
  /// Milliseconds after which a repeat may be served; `None`: do not repeat.
  pub retry_after: Option<u64>,
}
