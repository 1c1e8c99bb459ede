//! Quotas that all instances keep together: how much of something may be used in a window of
//! time, whichever of them uses it.
//!
//! The holder of the lease counts what is used and grants each instance how far it may go
//! (`Accounts`); an instance spends what it was granted, and goes by its share of what was left
//! where no holder answers (`Purse`). Customers have quotas, and so have backend servers in need.
//! Pure: no I/O, no clock.

mod account;
mod purse;
mod window;

pub use account::{Accounts, Quarters, Standing, Sums};
pub use purse::{Balances, Decision, GRANT_RETRY_MS};
pub use window::Window;

use crate::life::Life;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Names whose quota it is, over all instances: a hash. Of ten thousand two share one with a
/// probability of 3 in 10^12.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Id(pub u64);

impl Id {
  /// The customer of a name.
  pub fn for_customer(name: &str) -> Self {
    Self(xxh3_64(name.as_bytes()) & !LEAVES)
  }

  /// One life of a backend server: the next one has named no limit yet.
  pub fn for_server(life: Life) -> Self {
    Self(xxh3_64_with_seed(&life.bytes(), SERVERS) & !LEAVES)
  }

  /// The leave of a content at a stage.
  pub fn for_permit(content: u128, stage: u32) -> Self {
    Self(xxh3_64_with_seed(&content.to_le_bytes(), stage.into()) | LEAVES)
  }

  /// Whether it names a leave: whoever grants it needs to know nothing of it.
  pub fn is_permit(self) -> bool {
    self.0 & LEAVES > 0
  }
}

/// Set in the names of leaves only.
const LEAVES: u64 = 1 << 63;

/// Keeps servers' names apart from customers'.
const SERVERS: u64 = 1;

/// What may be used, over all instances together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
  /// Units a second.
  pub rate: f64,
  /// Units on top, at once.
  pub burst: f64,
}

/// What all instances together must keep of a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
  /// Length of the window, ms.
  pub window_ms: u64,
  /// Part of a window's quota that may be used on top.
  pub overage: f64,
  /// Units on top besides.
  pub slack: f64,
}

/// What is kept where the settings state nothing else.
pub const DEFAULT_BOUND: Bound = Bound {
  window_ms: 8_000,
  overage: 0.1,
  slack: 0.0,
};

/// A quota with what all instances must keep of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
  pub quota: Quota,
  pub bound: Bound,
}

impl Allowance {
  /// Units allowed in one window.
  pub fn window(&self) -> f64 {
    self.bound.window(&self.quota)
  }

  /// Units that may be used in one window beyond the quota itself.
  pub fn reserve(&self) -> f64 {
    self.bound.reserve(&self.quota)
  }
}

impl Bound {
  /// Units that a quota allows in one window.
  pub fn window(&self, quota: &Quota) -> f64 {
    quota.rate * self.window_ms as f64 / 1_000.0 + quota.burst
  }

  /// Units that may be used in one window beyond the quota itself.
  pub fn reserve(&self, quota: &Quota) -> f64 {
    self.window(quota) * self.overage + self.slack
  }
}

/// What an instance has used of a quota since it started, and needs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
  pub id: Id,
  pub used: i64,
  /// Units of requests that wait for a grant.
  pub need: u32,
  /// Units used without a grant within the last window, for a holder that has taken over.
  #[serde(rename = "apart")]
  pub ungranted: u32,
}

/// How far an instance may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
  pub id: Id,
  /// It may use until what it has used since its start reaches this.
  pub limit: i64,
  /// What it needs is beyond the quota for so much longer, ms; 0: it is not.
  pub over_ms: u32,
}
