//! Rate limits that overloaded backend servers announce in their responses: the requests per
//! second that a server accepts from all instances together.
//!
//! Load pattern: a server that usually gets requests from many instances limits them to one or two
//! per second, which is less than one per instance. So no instance enforces the limit on its own:
//! each request to such a server, including retries and continued requests, acquires a unit of a
//! quota that all instances share (`quota`). A request without a unit goes to another server, or to
//! one that loads its model; if that takes longer than the caller waits, the request is refused
//! immediately.
//!
//! A limit takes effect when the response that states it arrives. A response that states none
//! removes the limit if its request was sent after the limit was last reported. Instances report
//! changes to the lease holder, which publishes them to all instances.

mod selection;

pub(crate) use selection::Choice;

use crate::{
  life::Life,
  quota::{Allowance, Bound, Id, Quota},
  statement::{Content, Latest, Stated, Statement, age_ms},
};
use std::{collections::BTreeMap, ops::Range};

/// Bound on a server's limit. Whole requests fit into the window even if a server accepts one per
/// second, and users' rules count in windows of four seconds. There is no overage, so that what the
/// rules tolerate remains for instances that learn of a limit late or take over the lease.
const BOUND: Bound = Bound {
  window_ms: 4_000,
  overage: 0.0,
  slack: 0.0,
};
/// Lowest enforced limit, which is one request per window. A server without any requests sends no
/// responses, and could never state that its limit has ended.
const MIN_REQUESTS_PER_S: f64 = 0.25;
/// Limits by server life: a server that restarts has no limit.
#[derive(Clone, Debug, Default)]
pub struct Limits {
  latest: Latest<f64>,
  /// Servers by the ids of their quotas.
  ids: BTreeMap<Id, Life>,
}

/// Parses the limit that a response states, in requests per second.
///
/// # Errors
///
/// The text is not a finite, non-negative number.
pub fn parse(text: &str) -> Result<f64, String> {
  let rate = text.trim().parse::<f64>().ok();
  let rate = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
  rate.ok_or_else(|| format!("limit: `{}` is not a rate", text.escape_debug()))
}

/// Returns the quota of all instances together for a server with this limit, in requests per
/// second.
pub fn allowance(rate: f64) -> Allowance {
  let quota = Quota {
    rate: rate.max(MIN_REQUESTS_PER_S),
    burst: 0.0,
  };
  Allowance {
    quota,
    bound: BOUND,
  }
}

impl Limits {
  /// A server's limit in requests per second; `None` if it has none.
  pub fn rate(&self, server: Life) -> Option<f64> {
    self.latest.value(server)
  }

  /// Returns whether a server stated a limit or its end.
  pub(crate) fn is_known(&self, server: Life) -> bool {
    self.latest.get(server).is_some()
  }

  /// Returns whether any server has a limit.
  pub fn any(&self) -> bool {
    self.latest.current().next().is_some()
  }

  /// Looks up the allowance of a server by the id of its quota.
  pub fn allowance(&self, id: Id) -> Option<Allowance> {
    let server = self.ids.get(&id)?;
    self.rate(*server).map(allowance)
  }

  /// Statements of current limits and of those that ended recently.
  pub fn statements(&self, now: u64) -> Vec<Statement> {
    let published = self.latest.published(now);
    published
      .map(|(server, limit)| statement(server, limit, now))
      .collect()
  }

  /// Statement of a server's latest limit.
  pub fn statement(&self, server: Life, now: u64) -> Option<Statement> {
    let limit = self.latest.get(server)?;
    Some(statement(server, limit, now))
  }

  /// Statement of a server's latest limit, by the id of its quota.
  pub fn statement_by_id(&self, id: Id, now: u64) -> Option<Statement> {
    self.statement(*self.ids.get(&id)?, now)
  }

  /// The lives within a range that stated a limit or its end.
  pub(crate) fn lives(&self, range: Range<Life>) -> impl Iterator<Item = Life> {
    self.latest.lives(range)
  }

  /// Assigns to a life the limit that was recorded for the earlier life of its server but stated
  /// after the life began, by `is_own` of a time in ms.
  pub(crate) fn inherit(&mut self, earlier: Life, life: Life, is_own: impl Fn(u64) -> bool) {
    self.latest.inherit(earlier, life, is_own);
    if self.latest.get(life).is_some() {
      self.ids.insert(Id::for_server(life), life);
    }
  }

  /// Servers that have a limit.
  pub fn servers(&self) -> impl Iterator<Item = Life> {
    self.latest.current().map(|(server, _)| server)
  }

  /// Records the limit that a server stated at time `at`, in ms, and returns whether the limit
  /// changed. `own` means that this instance got it from the server itself.
  pub fn update(&mut self, server: Life, rate: Option<f64>, at: u64, own: bool) -> bool {
    let changed = self.latest.update(server, rate, at, own);
    if self.latest.get(server).is_some() {
      self.ids.insert(Id::for_server(server), server);
    }
    changed
  }

  /// Takes the changes since the last call, and whether this instance got them from the server
  /// itself.
  pub fn take_changed(&mut self) -> Vec<(Life, bool)> {
    self.latest.take_changed()
  }

  /// Drops old limits of servers that no longer exist.
  pub fn prune(&mut self, now: u64, exists: impl Fn(Life) -> bool) {
    self.latest.prune(now, exists);
    let latest = &self.latest;
    self.ids.retain(|_, server| latest.get(*server).is_some());
  }
}

fn statement(server: Life, limit: Stated<f64>, now: u64) -> Statement {
  Statement {
    server,
    content: Content::Limit(limit.value),
    age_ms: age_ms(now, limit.at),
  }
}
