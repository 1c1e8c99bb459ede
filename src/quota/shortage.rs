//! Why units of a quota were not granted, for operators.

use std::fmt::{self, Display, Formatter};

/// Who decided that a quota is exceeded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
  /// The lease holder stated that the units do not fit.
  Holder,
  /// No holder responds, and the units do not fit into the share of this instance.
  OwnShare,
  /// The holder responds, but not in time for this request.
  Timeout,
}

impl Display for Basis {
  fn fmt(&self, f: &mut Formatter) -> fmt::Result {
    f.write_str(match self {
      Self::Holder => "the holder stated that the quota is exceeded",
      Self::OwnShare => "no holder responds, and the share of this instance is used up",
      Self::Timeout => {
        "the holder did not answer in time, and the share of this instance is used up"
      }
    })
  }
}

/// A quota that is exceeded, as known to the instance that refuses a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Shortage {
  pub basis: Basis,
  /// Units that the request needs.
  pub cost: u32,
  /// Units that remain of this instance's grant.
  pub granted: i64,
  /// Units that this instance may use without a grant.
  pub share: u64,
  /// Units that the quota allows within a window.
  pub allowed: u64,
  /// Units used by all instances within the window, and the age of that sum in ms, as last
  /// published by the holder.
  pub fleet_usage: Option<(u64, u64)>,
  /// Time after which a retry may be served, in ms.
  pub retry_after: u64,
}
