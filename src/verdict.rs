//! Verdicts on requests that did not get a complete response.

use serde::{Deserialize, Serialize};

/// Whether a request may have run on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
  /// No backend server has started the request, and none will.
  NotRun,
  /// A backend server may have run the request, partially or completely.
  MayHaveRun,
}

impl Verdict {
  /// Returns the name that is sent to callers and used as a metric label.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::NotRun => "not-run",
      Self::MayHaveRun => "may-have-run",
    }
  }

  /// Combines the verdicts of two attempts to serve a request.
  pub fn and(self, other: Self) -> Self {
    if self == Self::NotRun { other } else { self }
  }
}
