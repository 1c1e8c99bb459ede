//! Capacity calculation for docs/CAPACITY.md: the cost of each role at the size
//! expected in two years, from the slopes in docs/capacity.json.

use crate::capacity::fit;
use serde_json::Value;

/// Size expected in two years, for one of three regions. Rates are per second.
pub mod size {
  pub const REGIONS: f64 = 3.0;
  pub const NODES: f64 = 420.0 / REGIONS;
  pub const SERVERS: f64 = 670.0 / REGIONS;
  pub const REPLICAS: f64 = 5_300.0 / REGIONS;
  /// Every region has the full catalogue.
  pub const MODELS: f64 = 19_930.0;
  pub const REQUESTS: f64 = 8_900.0 / REGIONS;
  /// Models and adapters per second that are loaded on demand and become idle again.
  pub const WAKES: f64 = MODELS * 0.48 / 2.0 / 3_600.0 / REGIONS;
  /// Assumed ratio of peak load to the load of an average hour.
  pub const PEAK: f64 = 2.0;
  /// Configuration changes per second: ten per minute, seven times the average.
  pub const CHANGES: f64 = 10.0 / 60.0;
  /// Fraction of requests that must not be retried.
  pub const ONCE: f64 = 0.02;
  pub const ZONES: f64 = 3.0;
}

/// Limits on the cost of the control plane: per node, and for all nodes on the platform.
pub mod limit {
  /// Milliseconds of CPU time per second.
  pub const CPU_MS: f64 = 43.0;
  pub const MEMORY_MB: f64 = 32.0;
  pub const BYTES: f64 = 7_000.0;
  pub const READS: f64 = 2_000.0;
  pub const WRITES: f64 = 300.0;
  pub const IN_FORCE_MS: f64 = 5_000.0;
}

/// Cost of a role per second: CPU, memory and bytes of one node, reads and writes of
/// the platform by all nodes.
#[derive(Clone, Debug, Default)]
pub struct Role {
  pub name: &'static str,
  pub cpu_ms: f64,
  pub memory_mb: f64,
  pub bytes: f64,
  pub reads: f64,
  pub writes: f64,
}

fn points(measured: &Value, part: &str, field: &str) -> Vec<(f64, f64)> {
  let rows = measured[part].as_array().cloned().unwrap_or_default();
  let point = |row: &Value| Some((row["at"].as_f64()?, row[field].as_f64()?));
  rows.iter().filter_map(point).collect()
}

/// Cost of one additional unit of a part, at least 0.
pub fn slope(measured: &Value, part: &str, field: &str) -> f64 {
  fit(&points(measured, part, field)).0.max(0.0)
}

/// The value at the last measured size of a part, NaN if there is none.
fn last(measured: &Value, part: &str, field: &str) -> f64 {
  let points = points(measured, part, field);
  points.last().map(|(_, value)| *value).unwrap_or(f64::NAN)
}

/// A role whose cost is proportional to `units`.
fn role(measured: &Value, name: &'static str, part: &str, units: f64) -> Role {
  Role {
    name,
    cpu_ms: slope(measured, part, "cpuMs") * units,
    memory_mb: 0.0,
    bytes: slope(measured, part, "bytes") * units,
    reads: slope(measured, part, "reads") * units,
    writes: slope(measured, part, "writes") * units,
  }
}

/// Every role at the two-year size.
pub fn roles(measured: &Value) -> Vec<Role> {
  let rest = Role {
    name: "membership and rest (largest fleet measured)",
    cpu_ms: last(measured, "instances", "cpuMs"),
    memory_mb: fit(&points(measured, "models", "memoryMb")).1,
    bytes: last(measured, "instances", "bytes"),
    // Two readers per zone: one list per second, a watch every 5 s, names every 10 s.
    reads: 2.0 * size::ZONES * (1.0 + 0.2 + 0.1),
    writes: 0.0,
  };
  let catalogue = Role {
    name: "configuration held",
    memory_mb: slope(measured, "models", "memoryMb") * size::MODELS,
    ..Role::default()
  };
  let audit_s = bendsaddle::settings::Limits::default().audit_ms as f64 / 1_000.0;
  let unplaced = (size::MODELS - size::REPLICAS) / (21.0 * audit_s);
  let audits = Role {
    name: "recovery: records read again",
    reads: (size::REPLICAS + size::SERVERS) / audit_s + unplaced,
    ..Role::default()
  };
  let servers = role(
    measured,
    "servers looked after",
    "servers",
    size::SERVERS / size::NODES,
  );
  let wakes = role(
    measured,
    "deciding: wakes at the peak",
    "wakes",
    size::WAKES * size::PEAK,
  );
  let changes = role(measured, "configuration changes", "changes", size::CHANGES);
  let requests = size::REQUESTS / size::NODES;
  let demand = Role {
    name: "demand and shares",
    bytes: slope(measured, "requests", "bytes") * requests,
    ..Role::default()
  };
  let claims = Role {
    name: "claims",
    writes: claim_writes(measured),
    ..Role::default()
  };
  vec![
    rest, catalogue, audits, servers, wakes, changes, demand, claims,
  ]
}

/// Platform writes per second for claims. Each call acquires and completes one claim.
/// A batch has all claims that arrive during a write, so the write rate levels off
/// under load.
fn claim_writes(measured: &Value) -> f64 {
  let calls = size::REQUESTS * size::ONCE;
  let rows = points(measured, "claims", "claimsPerWrite");
  let below = rows.iter().rev().find(|(rate, _)| *rate <= calls);
  let per_write = below.or(rows.first()).map(|(_, per_write)| *per_write);
  2.0 * calls / per_write.unwrap_or(1.0).max(1.0)
}

/// The sum of all roles.
pub fn total(roles: &[Role]) -> Role {
  let mut total = Role {
    name: "total",
    ..Role::default()
  };
  for role in roles {
    total.cpu_ms += role.cpu_ms;
    total.memory_mb += role.memory_mb;
    total.bytes += role.bytes;
    total.reads += role.reads;
    total.writes += role.writes;
  }
  total
}

/// Longest measured time until a change was in force at every instance, in ms.
pub fn in_force_ms(measured: &Value) -> f64 {
  let rows = measured["changes"].as_array().cloned().unwrap_or_default();
  let times = rows.iter().filter_map(|row| row["inForceMs"].as_array());
  times
    .flatten()
    .filter_map(Value::as_f64)
    .fold(0.0, f64::max)
}

/// Limits that the total exceeds, with both values.
pub fn exceeded(measured: &Value) -> Vec<String> {
  let total = total(&roles(measured));
  let checks = [
    ("processor time, ms/s", total.cpu_ms, limit::CPU_MS),
    ("memory, MB", total.memory_mb, limit::MEMORY_MB),
    ("bytes a second", total.bytes, limit::BYTES),
    ("platform reads a second", total.reads, limit::READS),
    ("platform writes a second", total.writes, limit::WRITES),
    (
      "configuration in force, ms",
      in_force_ms(measured),
      limit::IN_FORCE_MS,
    ),
  ];
  let exceeded = checks
    .into_iter()
    .filter(|(_, value, bound)| value > bound || value.is_nan());
  exceeded
    .map(|(name, value, bound)| format!("{name}: {value:.1} is above {bound:.1}"))
    .collect()
}

/// Markdown table of the roles, their total and the limits.
pub fn table(measured: &Value) -> String {
  let roles = roles(measured);
  let mut text = String::from(
    "| role | cpu ms/s | memory MB | bytes/s | platform reads/s | platform writes/s |\n|---|---|---|---|---|---|\n",
  );
  for role in roles.iter().chain([&total(&roles)]) {
    text += &format!(
      "| {} | {:.2} | {:.1} | {:.0} | {:.1} | {:.1} |\n",
      role.name, role.cpu_ms, role.memory_mb, role.bytes, role.reads, role.writes
    );
  }
  text
    + &format!(
      "| limit | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} |\n",
      limit::CPU_MS,
      limit::MEMORY_MB,
      limit::BYTES,
      limit::READS,
      limit::WRITES
    )
}
