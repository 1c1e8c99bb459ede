//! Names of the headers between callers, this system and backend servers.

/// Header names of one deployment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Dialect {
  /// Identifies a caller's request.
  pub request_id: &'static str,
  /// Time for which the caller will wait, ms.
  pub deadline_ms: &'static str,
  /// Model, with an adapter after a slash.
  pub model: &'static str,
  /// Parts of the prompt, `ID:TOKENS` separated by commas.
  pub prompt_parts: &'static str,
  /// Tokens of the prompt and maximum tokens of the output, `IN,OUT`.
  pub token_usage: &'static str,
  /// The caller's estimate of the tokens of the output.
  pub length_hint: &'static str,
  /// The customer; sent to backend servers.
  pub customer: &'static str,
  /// Of a request that continues a stream: id of the caller's attempt that received its first event.
  pub resumes: &'static str,
  /// Proves that a response comes from a backend server.
  pub signature: &'static str,
  /// The server that the request is meant for; any other server declines it.
  pub expected_server: &'static str,
  /// The server that sent the response.
  pub server: &'static str,
  /// Present when the server did not run the request and will not.
  pub not_run: &'static str,
  /// Requests per second that an overloaded server accepts from all instances together; part of its
  /// responses.
  pub limit: &'static str,
  /// `1` in all responses of a server that is leaving and accepts no new requests.
  pub leaving: &'static str,
  /// Number of requests that a brittle server can reject within a second; in all its responses.
  pub brittle: &'static str,
  /// Priority of the request; 0 is the most urgent.
  pub priority: &'static str,
  /// Headers of a request that servers read as part of its content, the same in each of its attempts.
  pub content: &'static [&'static str],
  /// Headers that only this system may set.
  pub reserved: &'static [&'static str],
}

impl Dialect {
  /// The default names of this product.
  pub const DEFAULT: Self = Self {
    request_id: "x-request-id",
    deadline_ms: "x-deadline-ms",
    model: "x-model",
    prompt_parts: "x-prompt-parts",
    token_usage: "x-token-usage",
    length_hint: "x-length-hint",
    customer: "x-customer",
    resumes: "x-resumes",
    signature: "x-signature",
    expected_server: "x-expected-server",
    server: "x-server",
    not_run: "x-not-run",
    limit: "x-server-limit",
    leaving: "x-server-leaving",
    brittle: "x-server-brittle",
    priority: "x-priority",
    content: &["x-model", "x-prompt-parts", "x-token-usage"],
    reserved: &["x-expected-server", "x-priority"],
  };
}
