//! Routes: which requests go to which pool of backend servers, and how.

use serde::{Deserialize, Serialize};

/// What may be done with a request of a route a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
  /// It runs at most once.
  Never,
  /// It may run again.
  Always,
}

/// A stream of events as the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Stream {
  /// Another backend server may go on after the last event delivered.
  pub resumable: bool,
  /// Longest pause between events of an answer in time, ms.
  pub gap_ms: u64,
}

/// A pool's part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
  pub pool: String,
  pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Route {
  pub name: String,
  pub host: String,
  /// Starts and ends with a slash.
  pub prefix: String,
  pub parts: Vec<Part>,
  pub repeat: Repeat,
  #[serde(default)]
  pub stream: Option<Stream>,
  /// Backend servers that one request may be sent to.
  pub attempts: u32,
  /// Longest time a request is held, ms.
  pub timeout_ms: u64,
  /// Time within which an answer, or a stream's first event, is worth most, ms.
  pub objective_ms: u64,
  /// 0 is the most urgent.
  pub priority: u8,
  /// Its requests need no customer's key.
  #[serde(default)]
  pub public: bool,
}

impl Route {
  /// Whether a run that broke off may be begun again.
  pub fn repeatable(&self) -> bool {
    match self.stream {
      Some(stream) => stream.resumable,
      None => self.repeat == Repeat::Always,
    }
  }

  /// The pool for a request; `draw` is any number.
  pub fn pool(&self, draw: u64) -> Option<&str> {
    let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
    let mut left = draw % total.max(1);
    for part in &self.parts {
      let weight = u64::from(part.weight);
      if left < weight {
        return Some(&part.pool);
      }
      left -= weight;
    }
    self.parts.first().map(|part| part.pool.as_str())
  }

  /// The first fault of the route, naming field and value.
  pub fn fault(&self) -> Option<String> {
    if !self.prefix.starts_with('/') || !self.prefix.ends_with('/') {
      let text = "does not start and end with a slash";
      return Some(format!("prefix: `{}` {text}", self.prefix));
    }
    if self.parts.is_empty() {
      return Some(format!("parts: route `{}` has none", self.name));
    }
    if self.attempts == 0 {
      return Some("attempts: `0` is not positive".into());
    }
    None
  }
}

/// The route of a request: of the host's routes the longest prefix of its path.
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
