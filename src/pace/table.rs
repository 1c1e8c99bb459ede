//! The published paces, as an instance keeps them: for its own choices, and for the next holder of
//! the lease, which continues from them.

use super::{Pace, Published};
use crate::{dispatch::State, life::Life};
use std::collections::BTreeMap;

/// A current pace that was not published again for this long has passed, ms: holders repeat it
/// every second.
const CURRENT_TTL_MS: u64 = 3_000;
/// A pace that was not published again for this long belongs to a server that is gone, ms: holders
/// repeat all of them within about ten seconds, and nothing is forgotten while there is no holder.
const LASTING_TTL_MS: u64 = 120_000;
/// Maximum entries. Beyond it servers that are not known yet count as the median.
const MAX_ENTRIES: usize = 8_192;

#[derive(Clone, Copy, Debug)]
struct Entry {
  pace: Pace,
  received_at: u64,
}

/// Paces by the short hash of the server's life.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
  entries: BTreeMap<u32, Entry>,
  swept_at: u64,
}

impl Table {
  fn receive(&mut self, now: u64, published: &[Published]) {
    for entry in published {
      if self.entries.len() >= MAX_ENTRIES && !self.entries.contains_key(&entry.server()) {
        continue;
      }
      let pace = entry.pace();
      let received_at = now;
      self
        .entries
        .insert(entry.server(), Entry { pace, received_at });
    }
    if now >= self.swept_at + LASTING_TTL_MS / 4 {
      self.swept_at = now;
      let fresh = |entry: &Entry| now < entry.received_at + LASTING_TTL_MS;
      self.entries.retain(|_, entry| fresh(entry));
    }
  }

  /// The pace of a server; the median if none was published.
  pub(crate) fn pace(&self, server: Life, now: u64) -> Pace {
    let Some(entry) = self.entries.get(&server.short_hash()) else {
      return Pace::default();
    };
    let lasting = entry.pace.lasting;
    let passed = now >= entry.received_at + CURRENT_TTL_MS;
    Pace {
      lasting,
      current: if passed { lasting } else { entry.pace.current },
    }
  }
}

impl State {
  /// Applies published paces.
  pub(crate) fn receive_paces(&mut self, published: &[Published]) {
    self.paces.receive(self.now, published);
    self.refresh_paces(self.now);
  }

  /// Updates the paces of all servers: current ones that were not repeated have passed.
  pub fn refresh_paces(&mut self, now: u64) {
    if !self.features.pace {
      return;
    }
    for backend in self.backends.values_mut() {
      backend.pace = self.paces.pace(backend.spec.life(), now);
    }
  }

  /// Known paces by the short hash of the server's life, for a new holder of the lease.
  pub fn known_paces(&self) -> Vec<(u32, f32)> {
    let entries = self.paces.entries.iter();
    entries
      .map(|(server, entry)| (*server, entry.pace.lasting))
      .collect()
  }
}
