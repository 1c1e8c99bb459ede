//! Routes: which requests go to which pool of backend servers, and how.

use serde::{Deserialize, Serialize};

/// Whether a request of a route may run a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
  /// A request runs at most once.
  Never,
  /// A request may run again.
  Always,
}

/// Properties of a response that is a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Stream {
  /// Whether another backend server may continue after the last delivered event.
  pub resumable: bool,
  /// Longest pause between events of a timely response.
  pub gap_ms: u64,
}

/// A pool's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
  pub pool: String,
  pub weight: u32,
}

/// Assigns the requests for a host and path prefix to pools of backend servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Route {
  pub name: String,
  pub host: String,
  /// Path prefix; starts and ends with a slash.
  pub prefix: String,
  pub parts: Vec<Part>,
  pub repeat: Repeat,
  #[serde(default)]
  pub stream: Option<Stream>,
  /// Maximum number of backend servers that one request may be sent to.
  pub attempts: u32,
  /// Longest time until a request is answered or refused.
  pub timeout_ms: u64,
  /// Target latency of a response or of a stream's first event.
  pub objective_ms: u64,
  /// 0 is the most urgent.
  pub priority: u8,
  /// Whether requests need no customer's key.
  #[serde(default)]
  pub public: bool,
}

impl Route {
  /// Whether a run that was interrupted may be started again.
  pub fn repeatable(&self) -> bool {
    match self.stream {
      Some(stream) => stream.resumable,
      None => self.repeat == Repeat::Always,
    }
  }

  /// The pool for a request, chosen by weight; `hash` can be any number.
  pub fn pool(&self, hash: u64) -> Option<&str> {
    let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
    let mut remainder = hash % total.max(1);
    for part in &self.parts {
      let weight = u64::from(part.weight);
      if remainder < weight {
        return Some(&part.pool);
      }
      remainder -= weight;
    }
    self.parts.first().map(|part| part.pool.as_str())
  }

  /// The first invalid field of the route and its value.
  pub fn fault(&self) -> Option<String> {
    if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
      let text = "does not start and end with a slash";
      return Some(format!("prefix: `{}` {text}", self.prefix));
    }
    if self.parts.is_empty() {
      return Some(format!("parts: route `{}` has no parts", self.name));
    }
    if self.attempts == 0 {
      return Some("attempts: `0` is not positive".into());
    }
    None
  }
}

/// The route of a request: the host's route with the longest matching path prefix.
pub fn find<'a>(
  routes: &'a [std::sync::Arc<Route>],
  host: &str,
  path: &str,
) -> Option<&'a std::sync::Arc<Route>> {
  let host = host.rsplit_once(':').map_or(host, |(name, port)| {
    match port.bytes().all(|byte| byte.is_ascii_digit()) {
      true => name,
      false => host,
    }
  });
  routes
    .iter()
    .filter(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix))
    .max_by_key(|route| route.prefix.len())
}
