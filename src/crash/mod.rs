//! Requests that crash the servers that run them: what is known of crashes, and which
//! requests are kept from all servers for it.
//!
//! Load pattern: one request comes again under new ids at all instances at once, and each
//! server that begins to run it ends, with all that runs there. Pure: no I/O, no clock.

mod filter;
pub mod permit;
mod registry;
mod repeated;
pub mod stored;

pub use filter::{Admission, Filter};
pub(crate) use permit::Permit;
pub(crate) use registry::SUSPICIOUS;
pub use registry::{Culprit, Registry};
pub use repeated::Repeated;

use crate::{content, life::Life};
use serde::{Deserialize, Serialize};

/// A run that ended with the process of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
  pub content: content::Key,
  pub server: Life,
  /// Short name of the request's id.
  pub run: u32,
  /// From the run's first event to its end, ms; 0: there was none.
  pub progress_ms: u32,
}

/// A request that goes to no server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
  pub content: content::Key,
  /// For so much longer, ms; 0: it is released.
  pub left_ms: u32,
}

/// A request that may be to blame for crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspected {
  pub content: content::Key,
  /// Crashes that nothing else explains.
  pub crashes: u32,
  /// Its place among those that may be to blame; `LISTED`: it was published with that before.
  pub turn: u32,
}

/// The turn of a suspect that is published again, for instances that start.
pub const LISTED: u32 = u32::MAX;
