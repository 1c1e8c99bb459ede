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
