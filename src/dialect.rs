//! Header names that callers, this system and backend servers use between them.

/// The names in use on one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dialect {
  /// Identifies one request of a caller.
  pub request_id: &'static str,
  /// Milliseconds the caller will wait.
  pub deadline_ms: &'static str,
  /// Model, with an adapter after a slash.
  pub model: &'static str,
  /// Parts of the prompt, `ID:TOKENS` separated by commas.
  pub prompt_parts: &'static str,
  /// Tokens of the prompt and the most that come out, `IN,OUT`.
  pub token_usage: &'static str,
  /// The customer, for backend servers.
  pub customer: &'static str,
  /// Proves that an answer is a backend server's.
  pub signature: &'static str,
  /// The server that is meant; another one declines.
  pub expected_server: &'static str,
  /// The server that answers.
  pub server: &'static str,
  /// Present when the server did not run the request and will not.
  pub not_run: &'static str,
  /// Requests a second that the server takes from all instances together, in the answers of one
  /// in need.
  pub limit: &'static str,
  /// `1` in all answers of a server that leaves.
  pub leaving: &'static str,
  /// 0 is the most urgent.
  pub priority: &'static str,
  /// Headers that only this system may set.
  pub reserved: &'static [&'static str],
}

impl Dialect {
  /// The product's own names.
  pub const DEFAULT: Self = Self {
    request_id: "x-request-id",
    deadline_ms: "x-deadline-ms",
    model: "x-model",
    prompt_parts: "x-prompt-parts",
    token_usage: "x-token-usage",
    customer: "x-customer",
    signature: "x-signature",
    expected_server: "x-expected-server",
    server: "x-server",
    not_run: "x-not-run",
    limit: "x-server-limit",
    leaving: "x-server-leaving",
    priority: "x-priority",
    reserved: &["x-expected-server", "x-priority"],
  };
}
