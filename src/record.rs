//! The model record: which replicas of a model are decided.
//!
//! Changed by conditional update alone. Each change carries the identity of
//! what it changes, so applying it again has no further effect; a writer that
//! lost its answer reads the record back and applies the change once more.

use crate::replica::{Id, Replica, Target};
use serde::{Deserialize, Serialize};

/// Decided replicas of one model.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
  pub replicas: Vec<Replica>,
  /// Inter-arrival history: counts by power of two of the gap in seconds.
  #[serde(default)]
  pub gaps: Vec<u32>,
}

/// A change of a model record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
  /// Decides a replica, unless `limit` replicas of its policy stand already.
  Add { replica: Replica, limit: u32 },
  /// Decides that a replica is to go, and keeps the history.
  Retire { id: Id, gaps: Vec<u32> },
  /// Forgets a replica that no server holds a reservation for.
  Drop { id: Id },
}

/// Why a change was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
  /// The limit of replicas stands already.
  Limit,
  /// The replica is to go, or is not decided.
  Withdrawn,
}

impl Record {
  /// The replica with this id.
  pub fn find(&self, id: Id) -> Option<&Replica> {
    self.replicas.iter().find(|replica| replica.id == id)
  }

  /// Applies a change; true when the record differs afterwards.
  pub fn apply(&mut self, change: &Change) -> Result<bool, Rejection> {
    match change {
      Change::Add { replica, limit } => self.add(replica, *limit),
      Change::Retire { id, gaps } => Ok(self.retire(*id, gaps)),
      Change::Drop { id } => {
        let before = self.replicas.len();
        self.replicas.retain(|replica| replica.id != *id);
        Ok(self.replicas.len() != before)
      }
    }
  }

  fn add(&mut self, replica: &Replica, limit: u32) -> Result<bool, Rejection> {
    match self.find(replica.id) {
      Some(found) if found.target == Target::Loaded => return Ok(false),
      Some(_) => return Err(Rejection::Withdrawn),
      None => {}
    }
    let same = |held: &&Replica| held.policy == replica.policy;
    if self.replicas.iter().filter(same).count() >= limit as usize {
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
