//! How what servers in need say reaches all instances.
//!
//! An instance that hears something new reports it to the holder of the lease with its uses, at
//! once and twice more, for a datagram may be lost; the holder publishes it to all in the same
//! way, and all that it knows with each list of instances, for those that start.

use super::Statement;
use crate::{dispatch::Event, life::Life, message::Message, planner::Planner, quota::Use};
use std::net::SocketAddr;

/// Statements of one datagram: some 20 bytes each.
const STATEMENTS: usize = 100;

impl Planner {
  /// Takes up what has become known here: the holder publishes it, another instance reports what
  /// it heard itself.
  pub(crate) fn limits(&mut self) {
    let now = self.hub.now();
    let changed = self.hub.state().take_limits();
    let holding = self.groups.first().is_some_and(|group| group.holding);
    for (server, own) in changed {
      match (holding, own) {
        (true, _) => self.published_limits.add(now, server),
        (false, true) => self.reported_limits.add(now, server),
        (false, false) => {}
      }
    }
    let due = self.published_limits.take(now);
    if due.is_empty() {
      return;
    }
    let statements = self.statements(now, &due);
    let others = self.addresses(now, 0);
    self.publish_limits(statements, &others);
  }

  /// Publishes what servers said to some instances.
  pub(crate) fn publish_limits(&mut self, statements: Vec<Statement>, to: &[SocketAddr]) {
    for part in statements.chunks(STATEMENTS) {
      self.spread(&Message::Limits(part.to_vec()), to);
    }
  }

  /// Takes up what another instance says of servers' limits.
  pub(crate) fn hear_limits(&mut self, mut statements: Vec<Statement>) {
    if self.woken {
      statements.retain(Statement::counts_late);
    }
    if !statements.is_empty() {
      self.hub.apply(Event::Limits(statements), None);
    }
  }

  /// What goes with a report of uses: what is new, and the limits of servers whose units are
  /// needed, for a holder that has taken over.
  pub(crate) fn limits_for(&mut self, now: u64, uses: &[Use]) -> Vec<Statement> {
    let due = self.reported_limits.take(now);
    let mut statements = self.statements(now, &due);
    let state = self.hub.state();
    let needed = uses.iter().filter(|one| one.need > 0);
    for statement in needed.filter_map(|one| state.limits.statement_of(one.id, now)) {
      if !statements.iter().any(|one| one.server == statement.server) {
        statements.push(statement);
      }
    }
    statements.truncate(STATEMENTS);
    statements
  }

  fn statements(&self, now: u64, servers: &[Life]) -> Vec<Statement> {
    let state = self.hub.state();
    let servers = servers.iter();
    servers
      .filter_map(|server| state.limits.statement(*server, now))
      .collect()
  }
}
