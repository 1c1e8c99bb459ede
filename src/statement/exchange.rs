//! Exchange of server statements between instances.
//!
//! An instance that receives a new statement reports it to the lease holder along with its uses, at
//! once and twice more because a datagram may be lost. The holder publishes it to all instances in
//! the same way, and publishes all known statements with each list of instances, for those that
//! start.

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

/// Maximum number of statements in a datagram, at about 20 bytes each.
const MAX_STATEMENTS: usize = 100;

impl Planner {
  /// Distributes new statements: the holder publishes them, and another instance reports those that
  /// it received from servers directly.
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

  /// Publishes statements to some instances.
  pub(crate) fn publish_statements(&mut self, statements: Vec<Statement>, to: &[SocketAddr]) {
    // In datagrams of their own, because an earlier version drops one that it cannot decode whole.
    let (known, new) = by_version(statements);
    for part in known
      .chunks(MAX_STATEMENTS)
      .chain(new.chunks(MAX_STATEMENTS))
    {
      self.send_paced(&Message::Statements(part.to_vec()), to);
    }
  }

  /// Processes statements from another instance.
  pub(crate) fn receive_statements(&mut self, mut statements: Vec<Statement>) {
    if self.stalled {
      statements.retain(Statement::applies_when_late);
    }
    if !statements.is_empty() {
      self.hub.apply(Event::Statements(statements), None);
    }
  }

  /// Statements to send with a report of uses: new ones and, for a holder that has just taken over,
  /// the limits of servers whose units are needed.
  pub(crate) fn statements_for(&mut self, now: u64, uses: &[Use]) -> Vec<Statement> {
    let due = self.reported_statements.take(now);
    let mut statements = self.statements_of(now, &due);
    let state = self.hub.state();
    let needed = uses.iter().filter(|usage| usage.need > 0);
    for statement in needed.filter_map(|usage| state.limits.statement_by_id(usage.id, now)) {
      if !statements
        .iter()
        .any(|known| known.server == statement.server)
      {
        statements.push(statement);
      }
    }
    statements.truncate(MAX_STATEMENTS);
    statements
  }

  /// Sends the holder the statements that instances of earlier versions cannot decode, which would
  /// otherwise drop the report with them, and returns the others.
  pub(crate) fn send_new_statements(
    &mut self,
    statements: Vec<Statement>,
    holder: SocketAddr,
  ) -> Vec<Statement> {
    let (known, new) = by_version(statements);
    if !new.is_empty() {
      self.send(&Message::Statements(new), &[holder]);
    }
    known
  }

  fn statements_of(&self, now: u64, servers: &[Life]) -> Vec<Statement> {
    let state = self.hub.state();
    let servers = servers.iter();
    servers
      .flat_map(|server| state.statements_of(*server, now))
      .collect()
  }

  /// Reports leaving servers again, because a new holder may not know them.
  pub(crate) fn resend_leaving(&mut self, now: u64) {
    let leaving: Vec<Life> = self.hub.state().leaving.servers().collect();
    for server in leaving {
      self.reported_statements.add(now, server);
    }
  }
}

/// Divides statements into those that instances of all versions can decode, and others.
fn by_version(statements: Vec<Statement>) -> (Vec<Statement>, Vec<Statement>) {
  let statements = statements.into_iter();
  statements.partition(Statement::is_known_to_all)
}

impl State {
  /// Statements of a server, for other instances.
  pub fn statements_of(&self, server: Life, now: u64) -> impl Iterator<Item = Statement> {
    let limit = self.limits.statement(server, now);
    let leaving = self.leaving.statement(server, now);
    let brittle = self.brittle.statement(server, now);
    limit.into_iter().chain(leaving).chain(brittle)
  }

  /// Statements of all servers, for instances that have just started.
  pub fn all_statements(&self, now: u64) -> Vec<Statement> {
    let leaving = self.leaving.servers();
    let leaving = leaving.filter_map(|server| self.leaving.statement(server, now));
    self
      .limits
      .statements(now)
      .into_iter()
      .chain(leaving)
      .chain(self.brittle.statements(now))
      .collect()
  }

  /// Takes the servers with statements that are new since the last call, each with whether this
  /// instance received the statement from the server itself.
  pub fn take_statements(&mut self) -> Vec<(Life, bool)> {
    let mut changed = self.limits.take_changed();
    changed.extend(self.leaving.take_changed());
    changed.extend(self.brittle.take_changed());
    changed
  }

  /// Processes statements that other instances received.
  pub(crate) fn receive_statements(&mut self, statements: &[Statement]) {
    for statement in statements {
      let at = self.now.saturating_sub(statement.age_ms.into());
      match statement.content {
        Content::Limit(rate) => self.receive_limit(statement.server, rate, at),
        Content::Leaving => self.receive_leaving(statement.server, at, false),
        Content::Brittle(max) => self.receive_brittle(statement.server, max, at, false),
      }
    }
  }
}

impl Hub {
  /// Applies the hints from the head of a response.
  ///
  /// `sent` is when the request was sent, in ms.
  pub(crate) fn apply_hints(&self, server: Life, id: &str, sent: u64, hints: &Hints) {
    match hints.max_rejections() {
      Ok(None) if !hints.responded || !self.state().brittle.is_stated(server) => {}
      Ok(max) => self.apply(Event::Brittle { server, max, sent }, None),
      Err(error) => {
        warn!(self.log, "server statement could not be parsed"; "server" => id, "error" => error)
      }
    }
    match hints.is_leaving() {
      Ok(true) => self.apply(Event::Leaving(server), None),
      Ok(false) => {}
      Err(error) => {
        warn!(self.log, "server statement could not be parsed"; "server" => id, "error" => error)
      }
    }
    match hints.backoff_ms() {
      Ok(Some(backoff_ms)) => self.apply(Event::Backoff { server, backoff_ms }, None),
      Ok(None) => {}
      Err(error) => {
        warn!(self.log, "server statement could not be parsed"; "server" => id, "error" => error)
      }
    }
  }
}
