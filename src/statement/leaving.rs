//! Servers that say that they leave, in their answers or entries.

use super::{Content, RETENTION_MS, Statement, age_ms};
use crate::{
  dispatch::{Effect, State},
  life::Life,
};
use std::collections::BTreeMap;

/// Servers that said that they leave, by their lives, and when, ms. It holds until the life ends:
/// an entry that says otherwise, or comes back, is older.
#[derive(Clone, Debug, Default)]
pub struct Leaving {
  said: BTreeMap<Life, u64>,
  /// Those that the planner has not taken, and whether this instance heard it of the server.
  changed: Vec<(Life, bool)>,
}

impl Leaving {
  /// Whether a server said that it leaves.
  pub fn contains(&self, server: Life) -> bool {
    self.said.contains_key(&server)
  }

  /// Takes up what a server said at a time, ms; whether it is new. `own`: this instance heard it
  /// of the server.
  pub fn hear(&mut self, server: Life, at: u64, own: bool) -> bool {
    let new = !self.contains(server);
    if new {
      self.said.insert(server, at);
      self.changed.push((server, own));
    }
    new
  }

  /// Takes up that a server's entry says so, which all instances read.
  pub fn read(&mut self, server: Life, at: u64) {
    self.said.entry(server).or_insert(at);
  }

  /// Servers that said so.
  pub fn servers(&self) -> impl Iterator<Item = Life> {
    self.said.keys().copied()
  }

  /// What a server said, for other instances.
  pub fn statement(&self, server: Life, now: u64) -> Option<Statement> {
    let at = self.said.get(&server)?;
    Some(Statement {
      server,
      content: Content::Leaving,
      age_ms: age_ms(now, *at),
    })
  }

  /// Changes since this was last asked, and whether this instance heard them of the server.
  pub fn take_changed(&mut self) -> Vec<(Life, bool)> {
    std::mem::take(&mut self.changed)
  }

  /// Forgets what was said long ago by servers that are not there.
  pub fn forget(&mut self, now: u64, there: impl Fn(Life) -> bool) {
    self
      .said
      .retain(|server, at| there(*server) || now < *at + RETENTION_MS);
  }
}

impl State {
  /// A server says at a time, ms, that it leaves. `own`: to this instance.
  pub(crate) fn receive_leaving(&mut self, server: Life, at: u64, own: bool) {
    if !self.leaving.hear(server, at, own) {
      return;
    }
    self.forget_leaving();
    for backend in self.backends.values_mut() {
      if backend.spec.life() == server {
        backend.leaving = true;
        let id = backend.spec.id.clone();
        self.out.push(Effect::Leaving { id, own });
      }
    }
    // The planner counts its models as gone.
    self.changes += 1;
    self.dispatch_waiting();
  }

  /// A server's entry says that it leaves.
  pub(crate) fn record_leaving_entry(&mut self, server: Life) {
    if !self.leaving.contains(server) {
      self.leaving.read(server, self.now);
      self.forget_leaving();
    }
  }

  fn forget_leaving(&mut self) {
    let there: Vec<Life> = self.backends.values().map(|one| one.spec.life()).collect();
    self.leaving.forget(self.now, |life| there.contains(&life));
  }
}
