//! Batches: prompts that may wait, stored in the platform until each has an outcome.

use serde::{Deserialize, Serialize};

/// Maximum encoded size of a batch, below the platform's limit of one megabyte.
pub const MAX_BATCH_BYTES: usize = 900_000;

/// State of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum Item {
  /// No outcome yet.
  Waiting,
  /// Completed with this text.
  Done { text: String },
  /// Refused for this reason.
  Refused { reason: String },
  /// Cancelled by the caller.
  Cancelled,
}

/// A batch of prompts for one model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Batch {
  pub model: String,
  /// Time in ms by which every item has an outcome.
  pub deadline: u64,
  /// Hash of the caller.
  pub caller: u64,
  pub max_tokens: u32,
  pub prompts: Vec<String>,
  /// One item for each prompt; empty if the batch was never submitted.
  pub items: Vec<Item>,
}

/// A change of a batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
  /// Submits the batch.
  Submit(Box<Batch>),
  /// Records outcomes by item index; an item keeps its first outcome.
  Record(Vec<(usize, Item)>),
  /// Cancels the items that have no outcome yet.
  Cancel,
}

/// Why a change was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
  /// The batch does not exist.
  Missing,
  /// The id belongs to another batch.
  Taken,
}

impl Batch {
  /// Whether every item has an outcome.
  pub fn finished(&self) -> bool {
    !self.items.contains(&Item::Waiting)
  }

  /// Indices of the items without an outcome.
  pub fn waiting(&self) -> Vec<usize> {
    let waiting = self.items.iter().enumerate();
    waiting
      .filter(|(_, item)| **item == Item::Waiting)
      .map(|(index, _)| index)
      .collect()
  }

  /// Applies a change and returns whether the batch changed.
  pub fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
    match change {
      Change::Submit(batch) => self.submit(batch),
      _ if self.prompts.is_empty() => Err(Rejection::Missing),
      Change::Record(outcomes) => Ok(self.record(outcomes)),
      Change::Cancel => {
        let waiting: Vec<_> = self.waiting();
        let outcomes = waiting.into_iter().map(|index| (index, Item::Cancelled));
        Ok(self.record(&outcomes.collect::<Vec<_>>()))
      }
    }
  }

  fn submit(&mut self, batch: &Self) -> Result<bool, Rejection> {
    if self.prompts.is_empty() {
      *self = batch.clone();
      return Ok(true);
    }
    // A repeated submission has a later deadline; the deadline of the first one is kept.
    let is_repeat = self.model == batch.model
      && self.prompts == batch.prompts
      && self.max_tokens == batch.max_tokens;
    if is_repeat {
      Ok(false)
    } else {
      Err(Rejection::Taken)
    }
  }

  fn record(&mut self, outcomes: &[(usize, Item)]) -> bool {
    let mut changed = false;
    for (index, outcome) in outcomes {
      let Some(item) = self.items.get_mut(*index) else {
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
