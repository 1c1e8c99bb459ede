//! Distributed quotas: how much all instances together may use within a sliding time window.
//!
//! The lease holder counts usage and grants units to each instance (`Accounts`). An instance uses
//! its grants, or its share of the remaining quota if no holder responds (`Balances`). Customers
//! have quotas, and so do backend servers that announce a limit. Pure: no I/O, no clock.

mod account;
mod promise;
mod purse;
mod reserve;
mod shortage;
mod window;

pub use account::{Accounts, Quarters, Standing, Sums, Terms};
pub use purse::{Balances, Decision, GRANT_RETRY_MS};
pub use shortage::{Basis, Shortage};
pub use window::Window;

use crate::life::Life;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Id of a quota: a hash that is the same on all instances. Among ten thousand ids the probability
/// of a collision is 3 in 10^12.
#[derive(
  Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
pub struct Id(pub u64);

impl Id {
  /// Quota of the customer with this name.
  pub fn for_customer(name: &str) -> Self {
    Self(xxh3_64(name.as_bytes()) & !PERMIT_BIT)
  }

  /// Limit of one life of a backend server: the next life has not announced a limit yet.
  pub fn for_server(life: Life) -> Self {
    Self(xxh3_64_with_seed(&life.bytes(), SERVER_SEED) & !PERMIT_BIT)
  }

  /// Slots of a brittle backend server. All its lives share them, because instances learn of a new
  /// life at different times.
  pub fn for_slots(life: Life) -> Self {
    Self(xxh3_64_with_seed(&life.server().to_le_bytes(), SLOTS_SEED) & !PERMIT_BIT)
  }

  /// Permit for a content at a stage.
  pub fn for_permit(content: u128, stage: u32) -> Self {
    Self(xxh3_64_with_seed(&content.to_le_bytes(), stage.into()) | PERMIT_BIT)
  }

  /// Returns whether this is the id of a permit, which a holder can grant without knowing anything
  /// else about it.
  pub fn is_permit(self) -> bool {
    self.0 & PERMIT_BIT > 0
  }
}

/// Bit that is set only in the ids of permits.
const PERMIT_BIT: u64 = 1 << 63;

/// Hash seeds that separate the ids of servers' limits and slots from those of customers.
const SERVER_SEED: u64 = 1;
const SLOTS_SEED: u64 = 2;

/// A quota that all instances share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
  /// Units per second.
  pub rate: f64,
  /// Additional units that may be used at once.
  pub burst: f64,
}

/// Window and tolerance with which all instances together keep a quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
  /// Length of the window in ms.
  pub window_ms: u64,
  /// Fraction of a window's quota that may be used in addition to it.
  pub overage: f64,
  /// Units that may be used in addition to quota and overage.
  pub slack: f64,
}

/// Bound that applies unless the settings state another.
pub const DEFAULT_BOUND: Bound = Bound {
  window_ms: 8_000,
  overage: 0.1,
  slack: 0.0,
};

/// A quota and its bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
  pub quota: Quota,
  pub bound: Bound,
}

impl Allowance {
  /// Units allowed within one window.
  pub fn window_units(&self) -> f64 {
    self.bound.window_units(&self.quota)
  }

  /// Units that may be used within one window in addition to the quota.
  pub fn reserve(&self) -> f64 {
    self.bound.reserve(&self.quota)
  }
}

impl Bound {
  /// Units that a quota allows within one window.
  pub fn window_units(&self, quota: &Quota) -> f64 {
    quota.rate * self.window_ms as f64 / 1_000.0 + quota.burst
  }

  /// Units that may be used within one window in addition to the quota.
  pub fn reserve(&self, quota: &Quota) -> f64 {
    self.window_units(quota) * self.overage + self.slack
  }
}

/// Units of a quota that an instance has used since it started, and those that it needs now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
  pub id: Id,
  /// Of a brittle server's slots: the requests that run there.
  pub used: i64,
  /// Units needed by requests that wait for a grant.
  pub need: u32,
  /// Units used within the last window that a holder which has just taken over does not know. Of a
  /// brittle server's slots: the requests that it has rejected.
  #[serde(rename = "apart")]
  pub unreported: u32,
}

/// Units of a quota granted to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
  pub id: Id,
  /// The instance may use units until its total since it started reaches this.
  pub limit: i64,
  /// Time in ms until the needed units fit into the quota; 0 if they fit now.
  pub over_ms: u32,
}
