//! Claims: durable leave to run a call that may not be repeated.
//!
//! Many claims share one object, a shard, and so one conditional update. A
//! claim is taken before its call goes out and is never taken twice.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Largest result kept with a claim, in bytes.
pub const MAX_RESULT_BYTES: usize = 2048;
/// Largest encoded shard, below the platform's limit of a megabyte.
pub const MAX_SHARD_BYTES: usize = 900_000;

/// How far a claimed call is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
  /// The call may be on its way.
  Taken,
  /// The call was answered; the body is kept where it fits.
  Done { status: u16, body: Option<String> },
  /// The call went out and its answer was lost.
  Unknown,
}

/// A claim on one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
  /// Who took it: `instance/boot/ticket`.
  pub token: String,
  /// Time after which it may be forgotten, ms.
  pub expires: u64,
  pub progress: Progress,
}

/// What is done to one claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Act {
  /// Takes the key unless it is taken.
  Take { expires: u64 },
  /// Records the outcome.
  Finish { progress: Progress },
  /// Gives the key back: the call certainly did not run.
  Free,
}

/// One item of a grouped change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
  pub key: u64,
  pub token: String,
  pub act: Act,
}

/// What became of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
  /// The sender holds the key, or its change is recorded.
  Granted,
  /// Another holds the key.
  Held(Progress),
  /// The shard has no room.
  Full,
  /// The platform could not be asked.
  Unavailable,
}

/// Claims by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
  pub claims: BTreeMap<u64, Claim>,
}

impl Shard {
  /// Applies a group of changes at time `now`; true when the shard differs.
  pub fn apply(&mut self, changes: &[Change], now: u64) -> bool {
    let before = self.claims.len();
    self.claims.retain(|_, claim| claim.expires > now);
    let mut changed = self.claims.len() != before;
    let mut room = MAX_SHARD_BYTES.saturating_sub(self.bytes());
    for change in changes {
      changed |= self.apply_one(change, &mut room);
    }
    changed
  }

  fn bytes(&self) -> usize {
    self.claims.values().map(size).sum()
  }

  fn apply_one(&mut self, change: &Change, room: &mut usize) -> bool {
    let held = self.claims.get_mut(&change.key);
    match (&change.act, held) {
      (Act::Take { expires }, None) => {
        let claim = Claim {
          token: change.token.clone(),
          expires: *expires,
          progress: Progress::Taken,
        };
        // Room for the result is taken with the claim, so that it fits later.
        let need = size(&claim);
        if need > *room {
          return false;
        }
        *room -= need;
        self.claims.insert(change.key, claim);
        true
      }
      (Act::Finish { progress }, Some(claim)) if claim.token == change.token => {
        let differs = claim.progress != *progress;
        claim.progress = progress.clone();
        differs
      }
      (Act::Free, Some(claim))
        if claim.token == change.token && claim.progress == Progress::Taken =>
      {
        self.claims.remove(&change.key);
        true
      }
      _ => false,
    }
  }

  /// What became of a change, read from the shard after it was applied.
  pub fn outcome(&self, change: &Change) -> Outcome {
    match (&change.act, self.claims.get(&change.key)) {
      (Act::Take { .. }, None) => Outcome::Full,
      (Act::Take { .. }, Some(claim)) if claim.token != change.token => {
        Outcome::Held(claim.progress.clone())
      }
      _ => Outcome::Granted,
    }
  }
}

fn size(claim: &Claim) -> usize {
  const FRAME: usize = 96;
  let body = match &claim.progress {
    Progress::Done {
      body: Some(body), ..
    } => body.len(),
    _ => 0,
  };
  FRAME + claim.token.len() + body
}
