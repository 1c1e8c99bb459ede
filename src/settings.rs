//! Settings of one instance, read from JSON with comments and validated before startup.

use crate::feature::Features;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use std::{net::SocketAddr, path::Path};

/// Why a command failed or a settings file is invalid, as a message for the operator.
#[derive(Debug)]
pub struct Error(pub String);

impl std::fmt::Display for Error {
  fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
    f.write_str(&self.0)
  }
}

impl std::error::Error for Error {}

/// How waiting requests are assigned to a replica's slots.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Dispatch {
  /// Each instance sends to the replica that it estimates to be least loaded.
  Push,
  /// The deciding instance grants shares of the slots by demand.
  #[default]
  Share,
}

/// Timeouts, intervals, limits and budgets; times in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct Limits {
  /// Maximum number of concurrent caller connections.
  pub requests: usize,
  /// Maximum number of requests waiting for one model.
  pub queue: usize,
  /// Maximum size of a request body in bytes.
  pub body_bytes: usize,
  /// Timeout of a write to a caller that does not read.
  pub caller_stall_ms: u64,
  /// Maximum idle time between two requests on a connection.
  pub caller_idle_ms: u64,
  /// Deadline of an interactive request that sets none.
  pub deadline_ms: u64,
  /// Maximum number of attempts per request.
  pub attempts: u32,
  /// Retries allowed per 100 requests.
  pub retry_percent: u32,
  /// Timeout between two tokens from an engine.
  pub token_stall_ms: u64,
  /// Timeout for establishing a connection.
  pub connect_ms: u64,
  /// Interval between two exchanges with a peer.
  pub exchange_ms: u64,
  /// Time from the suspicion to the removal of an instance.
  pub suspect_ms: u64,
  /// Interval between two reads of the platform's list of instances.
  pub list_ms: u64,
  /// Interval between two status requests to an engine.
  pub poll_ms: u64,
  /// Time from withdrawing a replica to ordering its unload.
  pub drain_ms: u64,
  /// Maximum time from reading a decision to sending its order.
  pub fresh_ms: u64,
  /// Maximum time that an order stays in flight after its sender gave up.
  pub order_ttl_ms: u64,
  /// Maximum duration of a load.
  pub load_ms: u64,
  /// Interval between two reads of an owned model's record.
  pub audit_ms: u64,
  /// How long a claim is kept.
  pub claim_ms: u64,
  /// Minimum time between two writes of a claim shard.
  pub claim_gather_ms: u64,
  /// Number of claim shards.
  pub claim_shards: u32,
  /// Maximum platform calls per second over all instances.
  pub platform_budget: u32,
  /// Maximum platform calls per second of one instance.
  pub platform_rate: u32,
  /// Timeout of a platform call, including retries.
  pub platform_ms: u64,
  /// Minimum idle time of a replica before it is evicted for another model.
  pub yield_ms: u64,
  /// How waiting requests are assigned to slots.
  pub dispatch: Dispatch,
  /// Trade-off in percent: 0 weighs only cold-start time, 100 only idle accelerators.
  pub thrift: u32,
  /// Maximum bytes of facts in one exchange.
  pub delta_bytes: usize,
}

impl Default for Limits {
  fn default() -> Self {
    Self {
      requests: 1024,
      queue: 512,
      body_bytes: 1 << 20,
      caller_stall_ms: 10_000,
      caller_idle_ms: 60_000,
      deadline_ms: 60_000,
      attempts: 3,
      retry_percent: 20,
      token_stall_ms: 10_000,
      connect_ms: 500,
      exchange_ms: 250,
      suspect_ms: 1_500,
      list_ms: 1_000,
      poll_ms: 250,
      drain_ms: 500,
      fresh_ms: 2_000,
      order_ttl_ms: 5_000,
      load_ms: 120_000,
      audit_ms: 60_000,
      claim_ms: 600_000,
      claim_gather_ms: 50,
      claim_shards: 4,
      platform_budget: 1_000,
      platform_rate: 60,
      platform_ms: 3_000,
      yield_ms: 1_000,
      dispatch: Dispatch::Share,
      thrift: 50,
      delta_bytes: 65_536,
    }
  }
}

/// Settings of one instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "camelCase")]
pub struct Settings {
  /// Identity in the platform's list of instances.
  pub instance: String,
  pub zone: String,
  /// Address for callers, `ip:port`.
  pub callers: String,
  /// Address for other instances, `ip:port`.
  pub peers: String,
  /// Address for operators, `ip:port`.
  pub operators: String,
  /// Address of the platform's object API, `ip:port`.
  pub platform: String,
  /// Peer addresses to contact while the platform is unreachable.
  #[serde(default)]
  pub seeds: Vec<String>,
  #[serde(default)]
  pub limits: Limits,
  /// Address of the load balancer's health check, `ip:port`.
  #[serde(default)]
  pub health: Option<String>,
  /// Set on an instance that routes requests by the deployment's routes.
  #[serde(default)]
  pub routing: Option<Routing>,
}

/// Limits of a routing instance; times in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default, rename_all = "camelCase")]
pub struct Routing {
  /// Machine name that identifies the sender in orders to backend servers.
  pub machine: String,
  /// Retries allowed per request of a pool, over all instances.
  pub retry_ratio: f64,
  /// Additional retries allowed per window.
  pub retry_slack: f64,
  pub retry_window_ms: u64,
  /// Whether the whole system starts for the first time, so that no earlier process of this
  /// instance can have sent retries.
  pub first_start: bool,
  /// Minimum time between the orders of two instances to the same server.
  pub lease_ms: u64,
  /// Number of groups of backend servers, each with its own lease; the same on all
  /// instances.
  pub groups: u32,
  /// Window in which loads from the weight store are counted.
  pub load_window_ms: u64,
  /// Loads allowed per window, as a fraction of the rate that the weight store allows.
  pub load_overage: f64,
  /// Time from the stop signal to the end of the process.
  pub grace_ms: u64,
  /// CPU cores and network bandwidth in Mbit/s of the instance. Small instances leave
  /// orders to others.
  pub cores: f64,
  pub link_mbps: f64,
  /// Memory of the instance in MiB, from which the bounds on bytes held for callers follow; `None`
  /// for no bounds.
  pub memory_mb: Option<u64>,
  /// A request sent this long after the revocation of its key does not run; 0 for no bound.
  pub revoke_ms: u64,
  /// Window in which customers' quotas are counted, the usage allowed beyond a window's
  /// quota as a fraction of it, and the units allowed in addition.
  pub quota_window_ms: u64,
  pub quota_overage: f64,
  pub quota_slack: f64,
  /// Decisions that the deployment calls for.
  pub features: Features,
}

impl Default for Routing {
  /// Defaults of the users' platform where it specifies nothing else.
  fn default() -> Self {
    Self {
      machine: "127.0.0.1".into(),
      retry_ratio: 0.2,
      retry_slack: 50.0,
      retry_window_ms: 10_000,
      first_start: false,
      lease_ms: 3_000,
      groups: 1,
      load_window_ms: 5_000,
      load_overage: 1.0,
      grace_ms: 7_000,
      cores: 1.0,
      link_mbps: 1_000.0,
      memory_mb: None,
      revoke_ms: 0,
      quota_window_ms: 8_000,
      quota_overage: 0.1,
      quota_slack: 0.0,
      features: Features::default(),
    }
  }
}

impl Routing {
  /// The retry budget.
  pub fn retry_bound(&self) -> crate::retry::Bound {
    crate::retry::Bound {
      ratio: self.retry_ratio,
      slack: self.retry_slack,
      window_ms: self.retry_window_ms,
    }
  }

  /// The share of the retry budget's slack with which a process starts.
  pub fn retry_share(&self) -> crate::retry::Share {
    match self.first_start {
      true => crate::retry::Share::first(),
      false => crate::retry::Share::default(),
    }
  }

  /// The bound on customers' quota usage over all instances.
  pub fn quota_bound(&self) -> crate::quota::Bound {
    crate::quota::Bound {
      window_ms: self.quota_window_ms,
      overage: self.quota_overage,
      slack: self.quota_slack,
    }
  }

  /// The bounds on bytes held for callers, if they are switched on.
  pub fn reader_bounds(&self) -> Option<crate::reader::Bounds> {
    let memory_mb = self.memory_mb.filter(|_| self.features.reader_bounds);
    memory_mb.map(crate::reader::Bounds::of_memory)
  }

  fn validation_error(&self) -> Option<String> {
    let quotas = [
      ("quotaOverage", self.quota_overage),
      ("quotaSlack", self.quota_slack),
    ];
    let negative = quotas.into_iter().find(|(_, value)| *value < 0.0);
    if let Some((field, value)) = negative {
      return Some(format!("routing.{field}: `{value}` is negative"));
    }
    let positive = [
      ("memoryMb", self.memory_mb.unwrap_or(1)),
      ("quotaWindowMs", self.quota_window_ms),
      ("retryWindowMs", self.retry_window_ms),
      ("leaseMs", self.lease_ms),
      ("groups", self.groups.into()),
      ("loadWindowMs", self.load_window_ms),
      ("graceMs", self.grace_ms),
    ];
    let zero = positive.into_iter().find(|(_, value)| *value == 0);
    let zero = zero.map(|(field, _)| format!("routing.{field}: `0` is not positive"));
    let sizes = [("cores", self.cores), ("linkMbps", self.link_mbps)];
    let size = sizes.into_iter().find(|(_, value)| *value <= 0.0);
    zero.or(size.map(|(field, value)| format!("routing.{field}: `{value}` is not positive")))
  }
}

impl Settings {
  /// Reads and validates a settings file.
  pub fn load(path: &Path) -> Result<Self, Report<Error>> {
    let text = std::fs::read_to_string(path)
      .change_context_lazy(|| Error(format!("could not read settings `{}`", path.display())))?;
    Self::parse(&text).map_err(|error| Report::new(Error(format!("{}: {error}", path.display()))))
  }

  /// Parses and validates settings. An error is one line.
  pub fn parse(text: &str) -> Result<Self, String> {
    Self::decode(text).map_err(|error| one_line(&error))
  }

  fn decode(text: &str) -> Result<Self, String> {
    let value = parse_jsonc(text)?;
    let settings: Self = serde_json::from_value(value).map_err(|error| error.to_string())?;
    match settings.validation_error() {
      Some(error) => Err(error),
      None => Ok(settings),
    }
  }

  fn validation_error(&self) -> Option<String> {
    if self.instance.is_empty() || self.instance.contains('/') {
      return Some(format!(
        "instance: `{}` is empty or contains a slash",
        self.instance
      ));
    }
    let fields = [
      ("callers", &self.callers),
      ("peers", &self.peers),
      ("operators", &self.operators),
      ("platform", &self.platform),
    ];
    let seeds = self.seeds.iter().map(|seed| ("seeds", seed));
    let health = self.health.iter().map(|health| ("health", health));
    for (field, value) in fields.into_iter().chain(seeds).chain(health) {
      if value.parse::<SocketAddr>().is_err() {
        return Some(format!("{field}: `{value}` is not ip:port"));
      }
    }
    let routing = self.routing.as_ref().and_then(Routing::validation_error);
    routing.or_else(|| self.limits.validation_error())
  }
}

impl Limits {
  fn validation_error(&self) -> Option<String> {
    let positive = [
      ("requests", self.requests as u64),
      ("queue", self.queue as u64),
      ("bodyBytes", self.body_bytes as u64),
      ("deadlineMs", self.deadline_ms),
      ("attempts", self.attempts.into()),
      ("exchangeMs", self.exchange_ms),
      ("pollMs", self.poll_ms),
      ("listMs", self.list_ms),
      ("claimShards", self.claim_shards.into()),
      ("platformRate", self.platform_rate.into()),
      ("platformBudget", self.platform_budget.into()),
      ("deltaBytes", self.delta_bytes as u64),
    ];
    let zero = positive.into_iter().find(|(_, value)| *value == 0);
    if let Some((field, _)) = zero {
      return Some(format!("limits.{field}: `0` is not positive"));
    }
    if self.thrift > 100 {
      return Some(format!("limits.thrift: `{}` is above 100", self.thrift));
    }
    None
  }
}

/// Escapes the control characters of an error, which may quote text with a line end.
fn one_line(error: &str) -> String {
  let escape = |char: char| match char.is_control() {
    true => char.escape_default().to_string(),
    false => char.to_string(),
  };
  error.chars().map(escape).collect()
}

/// Parses JSON with comments.
pub fn parse_jsonc(text: &str) -> Result<serde_json::Value, String> {
  jsonc_parser::parse_to_serde_value(text, &Default::default()).map_err(|error| error.to_string())
}
