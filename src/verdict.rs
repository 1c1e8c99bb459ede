//! What is known of a request that was not answered whole.

use serde::{Deserialize, Serialize};

/// Whether a request may have run on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
  /// No backend server has begun the request, and none will.
  NotRun,
  /// A backend server may have run the request, in part or whole.
  MayHaveRun,
}

impl Verdict {
  /// The word sent to callers and used as a metric label.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::NotRun => "not-run",
      Self::MayHaveRun => "may-have-run",
    }
  }

  /// The verdict on a sequence of attempts.
  pub fn and(self, other: Self) -> Self {
    if self == Self::NotRun { other } else { self }
  }
}
