//! Concurrency limits of brittle backend servers.
//!
//! A server that states that it is brittle falls over if it must reject more than a few requests
//! within a second for want of room, and soon takes fewer requests than its queue usually holds.
//!
//! Load pattern: many instances send a server one or two requests each, which together exceed its
//! room by dozens, so no instance can keep the bound on its own. While a server is brittle, the
//! lease holder counts the requests of all instances on it (`Ledger`) and grants slots; an instance
//! sends a request only if a slot is left of its `Share`. Other requests go to another server or wait
//! at their instance, where priorities and refusals in time still apply.
//!
//! An instance reports how many requests it runs on the server, not changes of that number. So a lost
//! report delays a grant and falsifies nothing, and a holder that takes over knows all numbers as soon
//! as each instance has reported. Until then it reserves what the others may use. An instance without
//! a holder uses its own share once no grant is valid any more. Pure: no I/O, no clock.

mod ledger;
mod share;
mod slots;

pub use ledger::Ledger;
pub use share::{Share, have_grants_expired};
pub(crate) use slots::{Reports, Slot};

use crate::{
  life::Life,
  statement::{Content, Latest, Stated, Statement, age_ms},
};
use std::{collections::BTreeSet, ops::Range};

/// Window in which a brittle server counts the requests that it rejects.
const REJECTION_WINDOW_MS: u64 = 1_000;

/// Part of a server's slots, in percent, that instances share while no holder responds: their own
/// shares are drawn independently of each other.
const UNGRANTED_PERCENT: u32 = 75;

/// Parses the statement of a brittle server: the maximum number of requests that it can reject
/// within a second.
///
/// # Errors
///
/// The text is not a whole number.
pub fn parse(text: &str) -> Result<u32, String> {
  let max = text.trim().parse::<u32>();
  max.map_err(|_| format!("brittle: `{}` is not a number", text.escape_debug()))
}

/// Which servers are brittle, by life, each with the maximum number of rejections within a second.
#[derive(Clone, Debug, Default)]
pub struct Brittle {
  latest: Latest<u32>,
  /// Pools of listed servers that are brittle.
  pools: BTreeSet<String>,
}

impl Brittle {
  /// Whether a server of a pool counts as brittle. One that has not responded yet does if another one
  /// of its pool is: a server that has fallen over comes back as a new life.
  pub fn contains(&self, server: Life, pool: &str) -> bool {
    !self.pools.is_empty()
      && match self.latest.get(server) {
        Some(stated) => stated.value.is_some(),
        None => self.pools.contains(pool),
      }
  }

  /// Whether a server stated that it is brittle, or that it is no longer.
  pub(crate) fn is_known(&self, server: Life) -> bool {
    self.latest.get(server).is_some()
  }

  /// The rejections within a second that a server states it can bear; `None` if it states none.
  pub(crate) fn max_rejections(&self, server: Life) -> Option<u32> {
    self.latest.value(server)
  }

  /// Whether a server itself states that it is brittle.
  pub fn is_stated(&self, server: Life) -> bool {
    self.latest.value(server).is_some()
  }

  /// Whether no server was ever brittle, as far as known.
  pub(crate) fn is_empty(&self) -> bool {
    self.pools.is_empty() && self.latest.is_empty()
  }

  /// Whether any listed server of any pool is brittle.
  pub fn any(&self) -> bool {
    !self.pools.is_empty()
  }

  /// Whether any listed server of a pool is brittle.
  pub fn contains_pool(&self, pool: &str) -> bool {
    self.pools.contains(pool)
  }

  /// Sets the pools from the lives of all listed servers.
  pub(crate) fn set_pools<'a>(&mut self, listed: impl Iterator<Item = (Life, &'a str)>) {
    let brittle = listed.filter(|(life, _)| self.latest.value(*life).is_some());
    self.pools = brittle.map(|(_, pool)| pool.to_string()).collect();
  }

  /// Records what a server stated at time `at`, in ms, and returns whether that changed.
  pub fn update(&mut self, server: Life, max: Option<u32>, at: u64, own: bool) -> bool {
    // Servers that were never brittle need no record.
    if max.is_none() && self.latest.get(server).is_none() && !self.any() {
      return false;
    }
    self.latest.update(server, max, at, own)
  }

  /// Statements of brittle servers, and of those that ceased to be.
  pub fn statements(&self, now: u64) -> impl Iterator<Item = Statement> {
    let published = self.latest.published(now);
    published.map(move |(server, stated)| statement(server, stated, now))
  }

  /// A server's latest statement.
  pub fn statement(&self, server: Life, now: u64) -> Option<Statement> {
    Some(statement(server, self.latest.get(server)?, now))
  }

  pub(crate) fn lives(&self, range: Range<Life>) -> impl Iterator<Item = Life> {
    self.latest.lives(range)
  }

  pub(crate) fn inherit(&mut self, earlier: Life, life: Life, is_own: impl Fn(u64) -> bool) {
    self.latest.inherit(earlier, life, is_own);
  }

  /// Takes the changes since the last call, and whether this instance got them from the server itself.
  pub fn take_changed(&mut self) -> Vec<(Life, bool)> {
    self.latest.take_changed()
  }

  /// Drops old statements of servers that no longer exist.
  pub fn prune(&mut self, now: u64, exists: impl Fn(Life) -> bool) {
    self.latest.prune(now, exists);
  }
}

fn statement(server: Life, stated: Stated<u32>, now: u64) -> Statement {
  Statement {
    server,
    content: Content::Brittle(stated.value),
    age_ms: age_ms(now, stated.at),
  }
}
