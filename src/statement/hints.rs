//! Hints about a server in the head of one of its responses.

use crate::{concurrency, dialect::Dialect, http::Headers};

/// Status of a response from a server that is not the intended one, or lacks the model.
pub const MISDIRECTED_REQUEST: u16 = 421;
/// Status of a response from a server that accepts no more requests for now.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Hints in a response about the server that sent it, as the unparsed header values.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Hints {
  /// Whether the server responded at all.
  pub responded: bool,
  /// Requests per second that the server accepts from all instances together.
  pub limit: Option<String>,
  /// The server accepts no new work.
  pub leaving: Option<String>,
  /// Seconds for which this instance must send nothing to the server.
  pub retry_after: Option<String>,
  /// Number of requests that the server can reject within a second.
  pub brittle: Option<String>,
}

impl Hints {
  /// Reads the hints in a response. A response from another server at the address has none for the
  /// intended one.
  pub fn from_head(status: u16, headers: &Headers, dialect: &Dialect) -> Self {
    if status == MISDIRECTED_REQUEST {
      return Self::default();
    }
    let value = |name: &str| headers.get(name).map(str::to_string);
    let unavailable = status == SERVICE_UNAVAILABLE;
    Self {
      responded: true,
      limit: value(dialect.limit),
      leaving: value(dialect.leaving),
      retry_after: value("retry-after").filter(|_| unavailable),
      brittle: value(dialect.brittle),
    }
  }
}

/// Outcome of a call, and the hints in the head of its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply<T> {
  pub outcome: T,
  pub hints: Hints,
}

impl Hints {
  /// Whether the server announces that it is leaving.
  ///
  /// # Errors
  ///
  /// Returns an error for a value other than `1`.
  pub fn is_leaving(&self) -> Result<bool, String> {
    match self.leaving.as_deref() {
      None => Ok(false),
      Some("1") => Ok(true),
      Some(other) => Err(format!("leaving: `{}` is not 1", other.escape_debug())),
    }
  }

  /// The number of requests that the server can reject within a second; `None` if it is not brittle.
  ///
  /// # Errors
  ///
  /// Returns an error for a value that is not a whole number.
  pub fn max_rejections(&self) -> Result<Option<u32>, String> {
    self.brittle.as_deref().map(concurrency::parse).transpose()
  }

  /// Backoff in ms that the server requests from this instance; `None` if it requests none.
  ///
  /// # Errors
  ///
  /// Returns an error for a value that is not a number of seconds; a date is not supported.
  pub fn backoff_ms(&self) -> Result<Option<u64>, String> {
    let Some(text) = self.retry_after.as_deref() else {
      return Ok(None);
    };
    let seconds = text.parse::<f64>().ok();
    let seconds = seconds.filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
    let seconds =
      seconds.ok_or_else(|| format!("retry-after: `{}` is not seconds", text.escape_debug()))?;
    // The conversion saturates at the maximum of `u64`.
    let backoff_ms = (seconds * 1_000.0).ceil() as u64;
    Ok((backoff_ms > 0).then_some(backoff_ms))
  }
}
