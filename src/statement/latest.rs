//! The latest statements of servers of one kind, by server life.

use super::RETENTION_MS;
use crate::life::Life;
use std::{collections::BTreeMap, ops::Range};

/// How long the end of a statement is published: several rounds of the list that starting instances
/// receive.
const ENDED_PUBLISH_MS: u64 = 10_000;

/// The latest statement of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stated<T> {
  /// What the server states; `None` if it no longer states anything.
  pub value: Option<T>,
  /// Time in ms: when the statement arrived, or when the request was sent whose response showed
  /// that it has ended.
  pub at: u64,
}

/// The latest statements, by server life: a server that restarts has stated nothing.
#[derive(Clone, Debug)]
pub struct Latest<T> {
  stated: BTreeMap<Life, Stated<T>>,
  /// Changes that the planner has not taken yet, and whether this instance got them from the
  /// server itself.
  changed: Vec<(Life, bool)>,
}

impl<T> Default for Latest<T> {
  fn default() -> Self {
    Self {
      stated: BTreeMap::new(),
      changed: Vec::new(),
    }
  }
}

impl<T: Copy + PartialEq> Latest<T> {
  /// Whether no statement is known.
  pub fn is_empty(&self) -> bool {
    self.stated.is_empty()
  }

  /// A server's latest statement; `None` if it has made none.
  pub fn get(&self, server: Life) -> Option<Stated<T>> {
    self.stated.get(&server).copied()
  }

  /// What a server states; `None` if it states nothing.
  pub fn value(&self, server: Life) -> Option<T> {
    self.get(server)?.value
  }

  /// Servers that state something, with what they state.
  pub fn current(&self) -> impl Iterator<Item = (Life, T)> {
    let stated = self.stated.iter();
    stated.filter_map(|(server, stated)| Some((*server, stated.value?)))
  }

  /// Statements that are in force, and those that ended recently.
  pub fn published(&self, now: u64) -> impl Iterator<Item = (Life, Stated<T>)> {
    let stated = self.stated.iter();
    stated
      .filter(move |(_, stated)| stated.value.is_some() || now < stated.at + ENDED_PUBLISH_MS)
      .map(|(server, stated)| (*server, *stated))
  }

  /// The lives within a range that made a statement or ended one.
  pub fn lives(&self, range: Range<Life>) -> impl Iterator<Item = Life> {
    self.stated.range(range).map(|(life, _)| *life)
  }

  /// Assigns to a life the statement that was recorded for the earlier life of its server but made
  /// after the life began, by `is_own` of a time in ms.
  pub fn inherit(&mut self, earlier: Life, life: Life, is_own: impl Fn(u64) -> bool) {
    if let Some(stated) = self.get(earlier).filter(|stated| is_own(stated.at)) {
      self.update(life, stated.value, stated.at, false);
    }
  }

  /// Records what a server stated at time `at`, in ms, and returns whether that changed. `own` means
  /// that this instance got it from the server itself.
  pub fn update(&mut self, server: Life, value: Option<T>, at: u64, own: bool) -> bool {
    let known = self.get(server).unwrap_or(Stated { value: None, at: 0 });
    let newer = match value {
      Some(_) => at >= known.at,
      None => at > known.at,
    };
    if !newer {
      return false;
    }
    self.stated.insert(server, Stated { value, at });
    let changed = known.value != value;
    if changed {
      self.changed.push((server, own));
    }
    changed
  }

  /// Takes the changes since the last call, and whether this instance got them from the server
  /// itself.
  pub fn take_changed(&mut self) -> Vec<(Life, bool)> {
    std::mem::take(&mut self.changed)
  }

  /// Drops old statements of servers that no longer exist.
  pub fn prune(&mut self, now: u64, exists: impl Fn(Life) -> bool) {
    self
      .stated
      .retain(|server, stated| exists(*server) || now < stated.at + RETENTION_MS);
  }
}
