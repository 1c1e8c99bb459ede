//! Crashes for which a content or a part of prompts is not to blame, as it was served since.

use super::evict;
use crate::{content, life::Life};
use std::collections::BTreeMap;

/// Longer than an instance that was suspended takes to repeat its reports.
const KEPT_MS: u64 = 60_000;
/// 40 bytes each; the oldest are dropped first.
const MAX_CLEARED: usize = 4_096;

/// Servers that crashed before each content or part was served, and when it was, in ms. Reports are sent several
/// times, and one that arrives after that is no new crash.
#[derive(Clone, Debug, Default)]
pub struct Cleared {
  servers: BTreeMap<(content::Key, Life), u64>,
}

impl Cleared {
  /// Records that a content or part was served after the crashes of these servers.
  pub fn record<'a>(
    &mut self,
    now: u64,
    key: content::Key,
    servers: impl Iterator<Item = &'a Life>,
  ) {
    self.servers.retain(|_, at| now < *at + KEPT_MS);
    self
      .servers
      .extend(servers.map(|server| ((key, *server), now)));
    evict(&mut self.servers, MAX_CLEARED, |at| *at);
  }

  /// Whether a content or part is not to blame for a server's crash.
  pub fn contains(&self, key: content::Key, server: Life) -> bool {
    self.servers.contains_key(&(key, server))
  }
}
