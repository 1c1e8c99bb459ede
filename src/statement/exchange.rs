//! How what servers say reaches all instances.
//!
//! An instance that hears something new reports it to the holder of the lease with its uses, at
//! once and twice more, for a datagram may be lost; the holder publishes it to all in the same
//! way, and all that it knows with each list of instances, for those that start.

use super::{Content, Hints, Statement};
use crate::{
  dispatch::{Event, State},
  hub::Hub,
  life::Life,
  message::Message,
  planner::Planner,
  quota::Use,
};
use slog::warn;
use std::net::SocketAddr;

/// Statements of one datagram: some 20 bytes each.
const STATEMENTS: usize = 100;

impl Planner {
  /// Takes up what has become known here: the holder publishes it, another instance reports what
  /// it heard itself.
  pub(crate) fn exchange_statements(&mut self) {
    let now = self.hub.now();
    let changed = self.hub.state().take_statements();
    let holding = self.groups.first().is_some_and(|group| group.holds_lease);
    for (server, own) in changed {
      match (holding, own) {
        (true, _) => self.published_statements.add(now, server),
        (false, true) => self.reported_statements.add(now, server),
        (false, false) => {}
      }
    }
    let due = self.published_statements.take(now);
    if due.is_empty() {
      return;
    }
    let statements = self.statements_of(now, &due);
    let others = self.peer_addresses(now, 0);
    self.publish_statements(statements, &others);
  }

  /// Publishes what servers said to some instances.
  pub(crate) fn publish_statements(&mut self, statements: Vec<Statement>, to: &[SocketAddr]) {
    for part in statements.chunks(STATEMENTS) {
      self.send_paced(&Message::Statements(part.to_vec()), to);
    }
  }

  /// Takes up what another instance heard of servers.
  pub(crate) fn receive_statements(&mut self, mut statements: Vec<Statement>) {
    if self.stalled {
      statements.retain(Statement::applies_when_late);
    }
    if !statements.is_empty() {
      self.hub.apply(Event::Statements(statements), None);
    }
  }

  /// What goes with a report of uses: what is new, and the limits of servers whose units are
  /// needed, for a holder that has taken over.
  pub(crate) fn statements_for(&mut self, now: u64, uses: &[Use]) -> Vec<Statement> {
    let due = self.reported_statements.take(now);
    let mut statements = self.statements_of(now, &due);
    let state = self.hub.state();
    let needed = uses.iter().filter(|one| one.need > 0);
    for statement in needed.filter_map(|one| state.limits.statement_by_id(one.id, now)) {
      if !statements.iter().any(|one| one.server == statement.server) {
        statements.push(statement);
      }
    }
    statements.truncate(STATEMENTS);
    statements
  }

  fn statements_of(&self, now: u64, servers: &[Life]) -> Vec<Statement> {
    let state = self.hub.state();
    let servers = servers.iter();
    servers
      .flat_map(|server| state.statements_of(*server, now))
      .collect()
  }

  /// Reports once more which servers leave: a holder that has taken over may not have heard it.
  pub(crate) fn resend_leaving(&mut self, now: u64) {
    let leaving: Vec<Life> = self.hub.state().leaving.servers().collect();
    for server in leaving {
      self.reported_statements.add(now, server);
    }
  }
}

impl State {
  /// What a server said, for other instances.
  pub fn statements_of(&self, server: Life, now: u64) -> impl Iterator<Item = Statement> {
    let limit = self.limits.statement(server, now);
    limit.into_iter().chain(self.leaving.statement(server, now))
  }

  /// What all servers said, for instances that know nothing yet.
  pub fn all_statements(&self, now: u64) -> Vec<Statement> {
    let leaving = self.leaving.servers();
    let leaving = leaving.filter_map(|server| self.leaving.statement(server, now));
    self
      .limits
      .statements(now)
      .into_iter()
      .chain(leaving)
      .collect()
  }

  /// Servers of which something is known that was not when this was last asked, and whether this
  /// instance heard it of the server.
  pub fn take_statements(&mut self) -> Vec<(Life, bool)> {
    let mut changed = self.limits.take_changed();
    changed.extend(self.leaving.take_changed());
    changed
  }

  /// Takes up what other instances heard of servers.
  pub(crate) fn receive_statements(&mut self, statements: &[Statement]) {
    for statement in statements {
      let at = self.now.saturating_sub(statement.age_ms.into());
      match statement.content {
        Content::Limit(rate) => self.receive_limit(statement.server, rate, at),
        Content::Leaving => self.receive_leaving(statement.server, at, false),
      }
    }
  }
}

impl Hub {
  /// Takes up what the head of an answer says of its server.
  pub(crate) fn apply_hints(&self, server: Life, id: &str, said: &Hints) {
    match said.is_leaving() {
      Ok(true) => self.apply(Event::Leaving(server), None),
      Ok(false) => {}
      Err(error) => warn!(self.log, "statement not understood"; "server" => id, "error" => error),
    }
    match said.backoff_ms() {
      Ok(Some(rest_ms)) => self.apply(
        Event::Backoff {
          server,
          backoff_ms: rest_ms,
        },
        None,
      ),
      Ok(None) => {}
      Err(error) => warn!(self.log, "statement not understood"; "server" => id, "error" => error),
    }
  }
}
