//! Statements of servers in the lease's record: after a loss of all instances they are not known
//! anywhere else.
//!
//! The holder adds the limits in force and some brittle servers to each record. An instance that
//! reads a record applies the statements of servers of which it knows nothing: whatever it hears
//! otherwise is newer.

use super::Content;
use crate::{
  dispatch::{Event, State},
  life::Life,
  planner::Planner,
};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// Field of the lease's record that contains the statements.
const STATEMENTS_FIELD: &str = "statements";
/// Maximum number of limits in a record, at about 80 bytes each: the lowest ones.
const MAX_LIMITS: usize = 48;
/// Maximum number of brittle servers in a record, and of those of one pool: the others of the pool
/// count as brittle while nothing is known of them.
const MAX_BRITTLE: usize = 16;
const MAX_BRITTLE_PER_POOL: usize = 4;
/// Age that statements in a record are taken to have: older than those that instances exchange, and
/// still kept while their servers are not listed.
const RECORDED_AGE_MS: u64 = 60_000;

/// A statement that is in force, as recorded.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Recorded {
  pub server: Life,
  pub content: Content,
}

/// Adds statements to a record of the lease; without any, the record stays as it is.
pub fn add(record: &mut Value, statements: &[Recorded]) {
  if let (Some(fields), false) = (record.as_object_mut(), statements.is_empty()) {
    fields.insert(STATEMENTS_FIELD.into(), json!(statements));
  }
}

/// The statements in a record of the lease, without those that a later version added.
pub fn read(record: &Value) -> Vec<Recorded> {
  let statements = record.get(STATEMENTS_FIELD).and_then(Value::as_array);
  let statements = statements.into_iter().flatten();
  statements
    .filter_map(|statement| Recorded::deserialize(statement).ok())
    .take(MAX_LIMITS + MAX_BRITTLE)
    .collect()
}

impl Planner {
  /// Adds the statements that are in force to a record of the lease.
  pub(crate) fn with_statements(&self, mut record: Value) -> Value {
    add(&mut record, &self.hub.state().recorded_statements());
    record
  }

  /// Applies the statements in a record of the lease that was read.
  pub(crate) fn read_recorded_statements(&self, record: &Value) {
    let statements = read(record);
    if !statements.is_empty() {
      self.hub.apply(Event::RecordedStatements(statements), None);
    }
  }
}

impl State {
  /// Statements that are in force, for the lease's record.
  pub fn recorded_statements(&self) -> Vec<Recorded> {
    let mut statements = self.recorded_limits();
    statements.extend(self.recorded_brittle());
    statements
  }

  fn recorded_limits(&self) -> Vec<Recorded> {
    let mut limits: Vec<(f64, Life)> = self
      .limits
      .servers()
      .filter_map(|server| Some((self.limits.rate(server)?, server)))
      .collect();
    limits.sort_by(|left, right| left.0.total_cmp(&right.0).then(left.1.cmp(&right.1)));
    limits.truncate(MAX_LIMITS);
    let limits = limits.into_iter();
    limits
      .map(|(rate, server)| Recorded {
        server,
        content: Content::Limit(Some(rate)),
      })
      .collect()
  }

  fn recorded_brittle(&self) -> Vec<Recorded> {
    let listed = self.listed().map(|(_, backend)| &backend.spec);
    let brittle: BTreeMap<Life, (&str, u32)> = listed
      .filter_map(|spec| {
        let max = self.brittle.max_rejections(spec.life())?;
        Some((spec.life(), (spec.pool.as_str(), max)))
      })
      .collect();
    let mut by_pool: BTreeMap<&str, usize> = BTreeMap::new();
    let recorded = brittle.into_iter().filter(|(_, (pool, _))| {
      let count = by_pool.entry(pool).or_default();
      *count += 1;
      *count <= MAX_BRITTLE_PER_POOL
    });
    let statements = recorded.map(|(server, (_, max))| Recorded {
      server,
      content: Content::Brittle(Some(max)),
    });
    statements.take(MAX_BRITTLE).collect()
  }

  /// Processes statements from the lease's record.
  pub(crate) fn receive_recorded(&mut self, statements: &[Recorded]) {
    let at = self.now.saturating_sub(RECORDED_AGE_MS);
    for statement in statements {
      let server = statement.server;
      match statement.content {
        Content::Limit(rate) if !self.limits.is_known(server) => {
          self.receive_limit(server, rate, at);
        }
        Content::Brittle(max) if !self.brittle.is_known(server) => {
          self.receive_brittle(server, max, at, false);
        }
        _ => {}
      }
    }
  }
}
