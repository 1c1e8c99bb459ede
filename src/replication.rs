//! How changes of holdings reach the other instances: cut into datagrams that each go on
//! where the one before ends, so that a lost one is noticed and only what it carried is
//! sent again.

use crate::{backend::Holding, placement::plan::Publication};

/// Holdings in one datagram.
const HOLDINGS: usize = 6;

/// What one datagram carries of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
  /// Counts of changes that it lies between; from 0: a snapshot begins.
  pub since: u64,
  pub latest: u64,
  pub holdings: Vec<Holding>,
}

/// The parts of an update, one at least.
pub fn parts(update: &Publication) -> Vec<Part> {
  let mut parts: Vec<Part> = Vec::new();
  let mut since = update.since;
  for chunk in update.holdings.chunks(HOLDINGS) {
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

/// How an update fits what an instance knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fit {
  /// It replaces all that was known.
  Snapshot,
  Consecutive,
  /// Something before it is lacking.
  Gap,
}

/// Up to which change an instance knows the holdings of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Position {
  /// Term of the holder that counts the changes.
  pub term: u64,
  pub count: u64,
}

impl Position {
  /// Takes up an update of a term, where it fits.
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
