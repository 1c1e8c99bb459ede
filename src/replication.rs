//! Replication of holding changes to the other instances. An update is split into consecutive
//! datagrams, so that a lost datagram is detected and only its changes are sent again.

use crate::{backend::Holding, placement::plan::Publication};

/// Maximum number of holdings in one datagram.
const MAX_HOLDINGS_PER_PART: usize = 6;

/// Part of an update that is sent in one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
  /// The part covers the changes between these counts; it starts a snapshot if `since` is 0.
  pub since: u64,
  pub latest: u64,
  pub holdings: Vec<Holding>,
}

/// Splits an update into at least one part.
pub fn parts(update: &Publication) -> Vec<Part> {
  let mut parts: Vec<Part> = Vec::new();
  let mut since = update.since;
  for chunk in update.holdings.chunks(MAX_HOLDINGS_PER_PART) {
    let latest = chunk.last().map_or(since, |(count, _)| *count);
    parts.push(Part {
      since,
      latest,
      holdings: chunk.iter().map(|(_, holding)| holding.clone()).collect(),
    });
    since = latest;
  }
  match parts.last_mut() {
    Some(last) => last.latest = update.latest,
    None => parts.push(Part {
      since,
      latest: update.latest,
      holdings: Vec::new(),
    }),
  }
  parts
}

/// Relation of an update to the changes that an instance knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
  /// The update replaces all known holdings.
  Snapshot,
  Consecutive,
  /// Changes before the update are missing.
  Gap,
}

/// Position in the changes of a group's holdings up to which an instance knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
  /// Term of the holder that counts the changes.
  pub term: u64,
  pub count: u64,
}

impl Position {
  /// Advances past an update, unless changes before it are missing.
  pub fn advance(&mut self, term: u64, since: u64, latest: u64) -> Fit {
    if since == 0 {
      *self = Self {
        term,
        count: latest,
      };
      return Fit::Snapshot;
    }
    if self.term != term {
      *self = Self { term, count: 0 };
    }
    if self.count == 0 || self.count < since {
      return Fit::Gap;
    }
    self.count = self.count.max(latest);
    Fit::Consecutive
  }
}

/// Bound of the datagrams remembered as received before those that precede them.
const MAX_AHEAD: usize = 64;

/// A datagram that was received before the one that precedes it.
#[derive(Clone, Debug)]
struct Range {
  since: u64,
  latest: u64,
  servers: Vec<String>,
}

/// Datagrams received before those that precede them: datagrams overtake each other between
/// availability zones. Without this an instance would ask for changes that it has, and later take
/// an older holding for the newest.
#[derive(Clone, Debug, Default)]
pub struct Ahead {
  term: u64,
  ranges: Vec<Range>,
}

impl Ahead {
  /// Advances `position` past an update. Returns how the update fits, and the holdings in it that
  /// are newer than those known.
  pub fn receive(
    &mut self,
    position: &mut Position,
    (term, since, latest): (u64, u64, u64),
    mut holdings: Vec<Holding>,
  ) -> (Fit, Vec<Holding>) {
    if self.term != term {
      *self = Self {
        term,
        ranges: Vec::new(),
      };
    }
    let known = if position.term == term {
      position.count
    } else {
      0
    };
    if known > 0 && latest <= known && since < latest {
      return (Fit::Consecutive, Vec::new());
    }
    let fit = position.advance(term, since, latest);
    let newer = |range: &Range, id: &str| {
      range.latest > latest && range.servers.iter().any(|server| server == id)
    };
    holdings.retain(|holding| !self.ranges.iter().any(|range| newer(range, &holding.id)));
    match fit {
      Fit::Snapshot => self.ranges.clear(),
      Fit::Consecutive => self.close_gaps(position),
      Fit::Gap if self.ranges.len() < MAX_AHEAD => self.ranges.push(Range {
        since,
        latest,
        servers: holdings.iter().map(|holding| holding.id.clone()).collect(),
      }),
      Fit::Gap => return (fit, Vec::new()),
    }
    (fit, holdings)
  }

  /// Advances past the datagrams that follow `position` by now.
  fn close_gaps(&mut self, position: &mut Position) {
    self.ranges.sort_by_key(|range| range.since);
    self.ranges.retain(|range| {
      let follows = range.since <= position.count;
      if follows {
        position.count = position.count.max(range.latest);
      }
      !follows
    });
  }

  /// Whether changes are missing.
  pub fn is_behind(&self) -> bool {
    !self.ranges.is_empty()
  }
}
