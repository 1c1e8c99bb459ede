//! The model record, which lists the decided replicas of a model.
//!
//! The record is changed only by conditional updates. Each change names the replica
//! that it affects, so changes are idempotent: a writer that missed the response reads
//! the record again and reapplies the change.

use crate::replica::{Id, Replica, Target};
use serde::{Deserialize, Serialize};

/// Decided replicas of one model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
  pub replicas: Vec<Replica>,
  /// Inter-arrival history, as counts by power of two of the gap in milliseconds.
  #[serde(default)]
  pub gaps: Vec<u32>,
}

/// A change of a model record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
  /// Adds a replica unless its policy already has `limit` replicas.
  Add { replica: Replica, limit: u32 },
  /// Marks a replica for removal and stores the history.
  Retire { id: Id, gaps: Vec<u32> },
  /// Removes a replica that has no reservation on any server.
  Drop { id: Id },
}

/// Why a change was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
  /// The policy already has the maximum number of replicas.
  Limit,
  /// The replica is marked for removal or not decided.
  Withdrawn,
}

impl Record {
  /// The replica with this id.
  pub fn find(&self, id: Id) -> Option<&Replica> {
    self.replicas.iter().find(|replica| replica.id == id)
  }

  /// Applies a change and returns whether the record differs afterwards.
  pub fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
    match change {
      Change::Add { replica, limit } => self.add(replica, *limit),
      Change::Retire { id, gaps } => Ok(self.retire(*id, gaps)),
      Change::Drop { id } => {
        let count_before = self.replicas.len();
        self.replicas.retain(|replica| replica.id != *id);
        Ok(self.replicas.len() != count_before)
      }
    }
  }

  fn add(&mut self, replica: &Replica, limit: u32) -> Result<bool, Rejection> {
    match self.find(replica.id) {
      Some(existing) if existing.target == Target::Loaded => return Ok(false),
      Some(_) => return Err(Rejection::Withdrawn),
      None => {}
    }
    let same_policy = |other: &&Replica| other.policy == replica.policy;
    if self.replicas.iter().filter(same_policy).count() >= limit as usize {
      return Err(Rejection::Limit);
    }
    self.replicas.push(replica.clone());
    Ok(true)
  }

  fn retire(&mut self, id: Id, gaps: &[u32]) -> bool {
    let Some(replica) = self.replicas.iter_mut().find(|replica| replica.id == id) else {
      return false;
    };
    if replica.target == Target::Gone {
      return false;
    }
    replica.target = Target::Gone;
    if !gaps.is_empty() {
      self.gaps = gaps.to_vec();
    }
    true
  }
}
