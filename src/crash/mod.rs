//! Requests that crash the servers that run them: reported crashes, suspects and the
//! quarantine.
//!
//! Load pattern: the same request arrives under new ids at all instances at once, and each
//! server that starts it crashes together with everything else it runs. Pure: no I/O, no clock.

mod cleared;
mod filter;
pub mod part;
pub mod permit;
mod registry;
mod repeated;
pub mod served;
pub mod stored;

pub use filter::{Admission, Filter};
pub(crate) use permit::Permit;
pub(crate) use registry::SUSPECT_CRASHES;
pub use registry::{Culprit, Registry};
pub use repeated::Repeated;

use crate::{content, life::Life};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A run that ended because its server process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
  pub content: content::Key,
  pub server: Life,
  /// Short hash of the request id.
  pub run: u32,
  /// Time from the run's first event to its end; 0 if there was no event.
  pub progress_ms: u32,
}

/// A request that must not be sent to any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quarantined {
  pub content: content::Key,
  /// Remaining time; 0 if the request is released.
  pub left_ms: u32,
}

/// A request that may have caused crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspected {
  pub content: content::Key,
  /// Crashes that no other request explains.
  pub crashes: u32,
  /// Position among the suspects; `REPUBLISHED` if the position was published before.
  pub turn: u32,
}

/// Turn of a suspect that is published again for instances that have just started.
pub const REPUBLISHED: u32 = u32::MAX;

/// Removes the entries with the earliest times, beyond `max` of them.
fn evict<K: Copy + Ord, T>(entries: &mut BTreeMap<K, T>, max: usize, time: impl Fn(&T) -> u64) {
  while entries.len() > max {
    let earliest = entries.iter().min_by_key(|(_, entry)| time(entry));
    let Some(earliest) = earliest.map(|(key, _)| *key) else {
      return;
    };
    entries.remove(&earliest);
  }
}
