//! Customers of a run: one without a quota, and one that asks for more than its quota allows.

use serde_json::{Value, json};

/// Units in addition to a quota that the instances' settings allow.
pub const SLACK: u32 = 10;
/// Window in which a quota is counted, in ms, and what may be used beyond it, in percent.
pub const WINDOW_MS: u64 = 8_000;
const OVERAGE_PERCENT: usize = 10;
/// Requests of the customer with a quota, per second and in addition.
const RATE: usize = 10;
const BURST: usize = 10;
/// One caller in this many belongs to the customer with a quota.
const LIMITED_EVERY: usize = 6;

/// A customer of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Customer {
  Unlimited,
  Limited,
}

impl Customer {
  /// The customer to which a caller of an instance belongs.
  pub fn of_caller(caller: usize) -> Self {
    match caller % LIMITED_EVERY {
      1 => Self::Limited,
      _ => Self::Unlimited,
    }
  }

  /// Value of the header with the customer's key.
  pub fn authorization(self) -> &'static str {
    match self {
      Self::Unlimited => "Bearer key-of-unlimited",
      Self::Limited => "Bearer key-of-limited",
    }
  }
}

/// The customers of a configuration.
pub fn all() -> Value {
  json!([
    { "name": "unlimited", "api_keys": ["key-of-unlimited"], "priority": 1 },
    { "name": "limited", "api_keys": ["key-of-limited"], "priority": 1,
      "rate_per_s": RATE, "burst": BURST },
  ])
}

/// Most requests of the limited customer that may run in a window.
pub fn max_runs() -> usize {
  let quota = RATE * WINDOW_MS as usize / 1_000 + BURST;
  quota * (100 + OVERAGE_PERCENT) / 100 + SLACK as usize
}
