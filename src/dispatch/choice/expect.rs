//! Expected times of a request at a server: until its first event, and the pause that reading its
//! prompt causes in the streams that run there.
//!
//! Load pattern: the time between events hardly depends on the number of streams, but an engine that
//! reads prompts delays all of them. Servers differ in pace, and slow for moments.

use super::learned::Rates;

/// Ratio of an expected time to its limit up to which a server suits requests that can wait. Servers
/// slow by 2 to 3 times for moments, so the limit still holds then.
const COMFORTABLE: f32 = 0.4;
/// Lowest ratio that counts: below it, other effects exceed those of reading prompts.
const MIN_RATIO: f32 = 0.1;
/// A request can wait if its objective is at least this many allowed gaps.
const PATIENT_GAPS: u64 = 4;
/// Time added for a server in another availability zone, in ms: both ways of a message and of the
/// first event. It also bounds the share of bytes that pass between zones.
const CROSS_ZONE_MS: f32 = 6.0;
/// Weight of servers in other availability zones, whose traffic is paid for.
const CROSS_ZONE_WEIGHT: f32 = 0.5;
/// Free slots assumed at a full server, so that the least bad of full servers is found.
const MIN_ROOM: f32 = 0.25;

/// A server as one instance sees it.
#[derive(Clone, Copy, Debug)]
pub struct Situation {
  pub slots: f32,
  /// Requests of all instances, estimated.
  pub load: f32,
  /// Requests of other instances, estimated.
  pub load_of_others: f32,
  /// Prompt tokens of this instance's requests that have no event yet.
  pub unread_tokens: f32,
  /// How slow the server is: 1 is its pool's median.
  pub pace: f32,
  pub same_zone: bool,
}

/// Limits of a request's route, in ms.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
  /// What is left of the objective.
  pub first_ms: f32,
  /// Allowed gap between events; `None` for responses that are no streams.
  pub gap_ms: Option<f32>,
  /// Whether the request can wait longer than most.
  pub patient: bool,
}

impl Limits {
  /// Limits of a request that has waited for `waited_ms` since it arrived.
  pub fn new(objective_ms: u64, gap_ms: Option<u64>, waited_ms: u64) -> Self {
    Self {
      first_ms: objective_ms.saturating_sub(waited_ms).max(1) as f32,
      gap_ms: gap_ms.map(|gap| gap.max(1) as f32),
      patient: gap_ms.is_some_and(|gap| objective_ms >= gap * PATIENT_GAPS),
    }
  }
}

/// Expected times, in ms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Expected {
  pub first_ms: f32,
  /// Longest pause of the streams that run there; 0 if none does.
  pub pause_ms: f32,
}

/// The limit of a route that a request exceeds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lateness {
  No,
  First,
  Pause,
}

impl Lateness {
  /// The name used in log lines.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::No => "no",
      Self::First => "first",
      Self::Pause => "pause",
    }
  }
}

impl Expected {
  /// The limit that is expected to be exceeded.
  pub fn lateness(&self, limits: &Limits) -> Lateness {
    match limits.gap_ms {
      _ if self.first_ms > limits.first_ms => Lateness::First,
      Some(gap) if self.pause_ms > gap => Lateness::Pause,
      _ => Lateness::No,
    }
  }

  /// The largest ratio of an expected time to its limit; above 1 a limit is broken.
  pub fn ratio(&self, limits: &Limits) -> f32 {
    let pause = limits.gap_ms.map_or(0.0, |gap| self.pause_ms / gap);
    (self.first_ms / limits.first_ms).max(pause)
  }
}

/// Returns the expected times of a request with this many prompt tokens.
pub fn expect(server: &Situation, tokens: f32, rates: &Rates) -> Expected {
  let unread_of_others = server.load_of_others * rates.unread_share * rates.prompt_tokens;
  let unread = server.unread_tokens + unread_of_others;
  let read_ms = (unread + tokens) * rates.prompt_ms * server.pace;
  let queued = (server.load + 1.0 - server.slots).max(0.0);
  let queue_ms = queued / server.slots.max(1.0) * rates.duration_ms * server.pace;
  let link_ms = if server.same_zone { 0.0 } else { CROSS_ZONE_MS };
  Expected {
    first_ms: queue_ms + read_ms + link_ms,
    pause_ms: match server.load >= 1.0 {
      true => rates.gap_ms * server.pace + read_ms,
      false => 0.0,
    },
  }
}

/// Weight of a server in the choice, in proportion to its room and to how far the request stays
/// within the limits there.
pub fn weight(server: &Situation, expected: &Expected, limits: &Limits) -> f32 {
  let room = (server.slots - server.load).max(MIN_ROOM);
  let zone = if server.same_zone {
    1.0
  } else {
    CROSS_ZONE_WEIGHT
  };
  let ratio = expected.ratio(limits);
  match limits.patient && ratio <= COMFORTABLE {
    // Fast servers are left to requests that cannot wait.
    true => room * zone * server.pace / (COMFORTABLE * COMFORTABLE),
    false => room * zone / ratio.max(MIN_RATIO).powi(2),
  }
}
