//! Servers that announce in their responses or entries that they are leaving.

use super::{Content, RETENTION_MS, Statement, age_ms};
use crate::{
  dispatch::{Effect, State},
  life::Life,
};
use std::{collections::BTreeMap, ops::Range};

/// Leaving servers by life, with the time in ms of the announcement. An announcement holds until
/// the life ends: an entry that contradicts it or reappears is older.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
  announced_at: BTreeMap<Life, u64>,
  /// Servers that the planner has not yet taken, each with whether this instance received the
  /// announcement from the server itself.
  changed: Vec<(Life, bool)>,
}

impl Leaving {
  /// Whether a server announced that it is leaving.
  pub fn contains(&self, server: Life) -> bool {
    self.announced_at.contains_key(&server)
  }

  /// Records an announcement made at a time in ms, and returns whether it is new. `own` tells
  /// whether this instance received it from the server itself.
  pub fn record(&mut self, server: Life, at: u64, own: bool) -> bool {
    let new = !self.contains(server);
    if new {
      self.announced_at.insert(server, at);
      self.changed.push((server, own));
    }
    new
  }

  /// Records an announcement in a server's entry, which all instances read.
  pub fn record_entry(&mut self, server: Life, at: u64) {
    self.announced_at.entry(server).or_insert(at);
  }

  /// The lives within a range that announced that they are leaving.
  pub(super) fn lives(&self, range: Range<Life>) -> impl Iterator<Item = Life> {
    self.announced_at.range(range).map(|(life, _)| *life)
  }

  /// Assigns to a life an announcement that was recorded for the earlier life of its server but made
  /// after the life began, by `is_own` of a time in ms.
  pub(super) fn inherit(&mut self, earlier: Life, life: Life, is_own: impl Fn(u64) -> bool) {
    let announced_at = self.announced_at.get(&earlier).copied();
    if let Some(at) = announced_at.filter(|at| is_own(*at)) {
      self.record(life, at, false);
    }
  }

  /// The leaving servers.
  pub fn servers(&self) -> impl Iterator<Item = Life> {
    self.announced_at.keys().copied()
  }

  /// The statement that a server is leaving, for other instances.
  pub fn statement(&self, server: Life, now: u64) -> Option<Statement> {
    let at = self.announced_at.get(&server)?;
    Some(Statement {
      server,
      content: Content::Leaving,
      age_ms: age_ms(now, *at),
    })
  }

  /// Takes the changes since the last call, each with whether this instance received it from the
  /// server itself.
  pub fn take_changed(&mut self) -> Vec<(Life, bool)> {
    std::mem::take(&mut self.changed)
  }

  /// Removes old announcements of servers that no longer have an entry.
  pub fn prune(&mut self, now: u64, is_listed: impl Fn(Life) -> bool) {
    self
      .announced_at
      .retain(|server, at| is_listed(*server) || now < *at + RETENTION_MS);
  }
}

impl State {
  /// Processes a server's announcement, made at a time in ms, that it is leaving. `own` tells
  /// whether this instance received it from the server itself.
  pub(crate) fn receive_leaving(&mut self, server: Life, at: u64, own: bool) {
    if !self.leaving.record(server, at, own) {
      return;
    }
    self.prune_leaving();
    for backend in self.backends.values_mut() {
      if backend.spec.life() == server {
        backend.leaving = true;
        let id = backend.spec.id.clone();
        self.out.push(Effect::Leaving { id, own });
      }
    }
    // The planner stops counting the server's models.
    self.changes += 1;
    self.dispatch_waiting();
  }

  /// Records that a server's entry announces that it is leaving.
  pub(crate) fn record_leaving_entry(&mut self, server: Life) {
    if !self.leaving.contains(server) {
      self.leaving.record_entry(server, self.now);
      self.prune_leaving();
    }
  }

  fn prune_leaving(&mut self) {
    let listed: Vec<Life> = self
      .backends
      .values()
      .map(|backend| backend.spec.life())
      .collect();
    self.leaving.prune(self.now, |life| listed.contains(&life));
  }
}
