//! Limits of backend servers in need: the requests a second that one takes from all instances
//! together, as its answers name it.
//!
//! Load pattern: a server that usually gets requests of many instances asks for one or two a
//! second, which is less than one of each. So no instance goes by the limit alone: each request
//! for such a server takes a unit of a quota that all instances share (`quota`), also one that is
//! repeated or goes on elsewhere. What has no unit goes to another server, or to one that loads
//! its model; where that takes longer than its caller waits, it is refused at once.
//!
//! An answer that names a limit counts from its arrival; one that names none ends the limit when
//! its request was sent after the limit was last heard of. Instances report what changes to the
//! holder of the lease, which publishes it to all.

mod selection;

pub(crate) use selection::Choice;

use crate::{
  life::Life,
  quota::{Allowance, Bound, Id, Quota},
  statement::{Content, KEPT_MS, Statement, age_ms},
};
use std::collections::BTreeMap;

/// Window in which a limit is kept, ms: whole requests fit into it also where one a second is
/// taken, and users' rules count in windows of four seconds. Nothing is used beyond it, so what
/// they tolerate is left for instances that hear late or take over.
const BOUND: Bound = Bound {
  window_ms: 4_000,
  overage: 0.0,
  slack: 0.0,
};
/// A server that takes less than this, requests a second, gets one request in a window: one that
/// gets nothing answers nothing, and could never say that it needs no help any more.
const LEAST: f64 = 0.25;
/// That a limit has ended is published for so long, ms: some rounds of the list that instances
/// get which start.
const ENDED_MS: u64 = 10_000;

/// What one server last said.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Limit {
  rate: Option<f64>,
  /// When, ms: of a limit its arrival, of its end when the request was sent that showed it.
  at: u64,
}

/// What servers in need said, by their lives: a server that starts again has said nothing.
#[derive(Clone, Debug, Default)]
pub struct Limits {
  said: BTreeMap<Life, Limit>,
  /// Servers by the names of their quotas.
  ids: BTreeMap<Id, Life>,
  /// Changes that the planner has not taken, and whether this instance heard them of the server.
  changed: Vec<(Life, bool)>,
}

/// The limit that an answer names, requests a second.
///
/// # Errors
///
/// What does not name a rate.
pub fn parse(text: &str) -> Result<f64, String> {
  let rate = text.trim().parse::<f64>().ok();
  let rate = rate.filter(|rate| rate.is_finite() && *rate >= 0.0);
  rate.ok_or_else(|| format!("limit: `{}` is not a rate", text.escape_debug()))
}

/// What all instances together may send to a server that takes so many requests a second.
pub fn allowance(rate: f64) -> Allowance {
  let quota = Quota {
    rate: rate.max(LEAST),
    burst: 0.0,
  };
  Allowance {
    quota,
    bound: BOUND,
  }
}

impl Limits {
  /// Requests a second that a server takes; none: it named no limit.
  pub fn rate(&self, server: Life) -> Option<f64> {
    self.said.get(&server)?.rate
  }

  /// Whether some server named a limit.
  pub fn any(&self) -> bool {
    self.said.values().any(|limit| limit.rate.is_some())
  }

  /// What may be sent to a server, by the name of its quota.
  pub fn allowance(&self, id: Id) -> Option<Allowance> {
    let server = self.ids.get(&id)?;
    self.rate(*server).map(allowance)
  }

  /// Servers that named limits, and those whose limits ended lately.
  pub fn statements(&self, now: u64) -> Vec<Statement> {
    let said = self.said.iter();
    let fresh = |limit: &Limit| limit.rate.is_some() || now < limit.at + ENDED_MS;
    said
      .filter(|(_, limit)| fresh(limit))
      .map(|(server, limit)| limit.statement(*server, now))
      .collect()
  }

  /// What a server last said.
  pub fn statement(&self, server: Life, now: u64) -> Option<Statement> {
    let limit = self.said.get(&server)?;
    Some(limit.statement(server, now))
  }

  /// The same by the name of its quota.
  pub fn statement_by_id(&self, id: Id, now: u64) -> Option<Statement> {
    self.statement(*self.ids.get(&id)?, now)
  }

  /// Servers that name limits.
  pub fn servers(&self) -> impl Iterator<Item = Life> {
    let said = self.said.iter();
    said
      .filter(|(_, limit)| limit.rate.is_some())
      .map(|(server, _)| *server)
  }

  /// Takes up what a server said at a time, ms; whether that changes what is known. `own`: this
  /// instance heard it of the server.
  pub fn update(&mut self, server: Life, rate: Option<f64>, at: u64, own: bool) -> bool {
    let known = self.said.get(&server).copied();
    let known = known.unwrap_or(Limit { rate: None, at: 0 });
    let newer = match rate {
      Some(_) => at >= known.at,
      None => at > known.at,
    };
    if !newer {
      return false;
    }
    self.said.insert(server, Limit { rate, at });
    self.ids.insert(Id::for_server(server), server);
    let changed = known.rate != rate;
    if changed {
      self.changed.push((server, own));
    }
    changed
  }

  /// Changes since this was last asked, and whether this instance heard them of the server.
  pub fn take_changed(&mut self) -> Vec<(Life, bool)> {
    std::mem::take(&mut self.changed)
  }

  /// Forgets what was said long ago by servers that are not there.
  pub fn prune(&mut self, now: u64, there: impl Fn(Life) -> bool) {
    self
      .said
      .retain(|server, limit| there(*server) || now < limit.at + KEPT_MS);
    let said = &self.said;
    self.ids.retain(|_, server| said.contains_key(server));
  }
}

impl Limit {
  fn statement(&self, server: Life, now: u64) -> Statement {
    Statement {
      server,
      content: Content::Limit(self.rate),
      age_ms: age_ms(now, self.at),
    }
  }
}
