//! What the head of one answer says.

use crate::{dialect::Dialect, http::Headers};

/// Status of an answer of a server that is not the one meant, or lacks the model.
pub const MISDIRECTED_REQUEST: u16 = 421;
/// Status of an answer of a server that takes no more now.
const UNAVAILABLE: u16 = 503;

/// What the head of an answer says of the server that gave it, as it stands there.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hints {
  /// Requests a second that it takes from all instances together.
  pub limit: Option<String>,
  /// It takes no new work.
  pub leaving: Option<String>,
  /// Seconds for which it wants nothing from this instance.
  pub retry_after: Option<String>,
}

impl Hints {
  /// What an answer says. One of another server at the address says nothing of the one meant.
  pub fn from_head(status: u16, headers: &Headers, dialect: &Dialect) -> Self {
    if status == MISDIRECTED_REQUEST {
      return Self::default();
    }
    let value = |name: &str| headers.get(name).map(str::to_string);
    let rests = status == UNAVAILABLE;
    Self {
      limit: value(dialect.limit),
      leaving: value(dialect.leaving),
      retry_after: value("retry-after").filter(|_| rests),
    }
  }
}

/// What became of a call, and what the answer's head said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<T> {
  pub outcome: T,
  pub hints: Hints,
}

impl Hints {
  /// Whether the server leaves.
  ///
  /// # Errors
  ///
  /// A value other than `1`.
  pub fn is_leaving(&self) -> Result<bool, String> {
    match self.leaving.as_deref() {
      None => Ok(false),
      Some("1") => Ok(true),
      Some(other) => Err(format!("leaving: `{}` is not 1", other.escape_debug())),
    }
  }

  /// For how long the server wants nothing from this instance, ms.
  ///
  /// # Errors
  ///
  /// A value that is no number of seconds: a date is not understood.
  pub fn backoff_ms(&self) -> Result<Option<u64>, String> {
    let Some(text) = self.retry_after.as_deref() else {
      return Ok(None);
    };
    let seconds = text.parse::<f64>().ok();
    let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
    let seconds =
      seconds.ok_or_else(|| format!("retry-after: `{}` is not seconds", text.escape_debug()))?;
    // What is too large for a number is the largest.
    let rest_ms = (seconds * 1_000.0).ceil() as u64;
    Ok((rest_ms > 0).then_some(rest_ms))
  }
}
