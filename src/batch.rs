//! Batches: work that may wait, kept in the platform until it has an outcome.

use serde::{Deserialize, Serialize};

/// Largest encoded batch, below the platform's limit of a megabyte.
pub const MAX_BATCH_BYTES: usize = 900_000;

/// What became of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Item {
  /// Not finished.
  Waiting,
  /// Answered.
  Done { text: String },
  /// Refused, with the reason.
  Refused { reason: String },
  /// Cancelled by the caller.
  Cancelled,
}

/// A batch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Batch {
  pub model: String,
  /// Time by which every item has its outcome, ms.
  pub deadline: u64,
  /// Hash of the caller.
  pub caller: u64,
  pub max_tokens: u32,
  pub prompts: Vec<String>,
  /// One for each prompt; empty for a batch that was never submitted.
  pub items: Vec<Item>,
}

/// A change of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
  /// Submits it.
  Submit(Box<Batch>),
  /// Records outcomes by position; an item keeps its first.
  Record(Vec<(usize, Item)>),
  /// Cancels what waits.
  Cancel,
}

/// Why a change was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
  /// No such batch.
  Missing,
  /// Another batch has the id.
  Taken,
}

impl Batch {
  /// Whether every item has its outcome.
  pub fn finished(&self) -> bool {
    !self.items.contains(&Item::Waiting)
  }

  /// Positions of items without outcome.
  pub fn waiting(&self) -> Vec<usize> {
    let waiting = self.items.iter().enumerate();
    waiting
      .filter(|(_, item)| **item == Item::Waiting)
      .map(|(at, _)| at)
      .collect()
  }

  /// Applies a change; true when the batch differs afterwards.
  pub fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
    match change {
      Change::Submit(batch) => self.submit(batch),
      _ if self.prompts.is_empty() => Err(Rejection::Missing),
      Change::Record(outcomes) => Ok(self.record(outcomes)),
      Change::Cancel => {
        let all: Vec<_> = self.waiting();
        let outcomes = all.into_iter().map(|at| (at, Item::Cancelled));
        Ok(self.record(&outcomes.collect::<Vec<_>>()))
      }
    }
  }

  fn submit(&mut self, batch: &Self) -> Result<bool, Rejection> {
    if self.prompts.is_empty() {
      *self = batch.clone();
      return Ok(true);
    }
    // A repeat comes later, so its deadline differs; the first one's holds.
    let same = self.model == batch.model
      && self.prompts == batch.prompts
      && self.max_tokens == batch.max_tokens;
    if same {
      Ok(false)
    } else {
      Err(Rejection::Taken)
    }
  }

  fn record(&mut self, outcomes: &[(usize, Item)]) -> bool {
    let mut changed = false;
    for (at, outcome) in outcomes {
      let Some(item) = self.items.get_mut(*at) else {
        continue;
      };
      if *item == Item::Waiting {
        *item = outcome.clone();
        changed = true;
      }
    }
    changed
  }
}
