//! Claims: durable permission to send a call that must not be repeated.
//!
//! Many claims are stored in one object, a shard, so that one conditional update can
//! write several of them. A claim is acquired before its call is sent and is never
//! acquired twice.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum size of a response body that is stored with a claim.
pub const MAX_RESULT_BYTES: usize = 2048;
/// Maximum encoded size of a shard, below the platform's limit of one megabyte.
pub const MAX_SHARD_BYTES: usize = 900_000;

/// Progress of a claimed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
  /// The call may have been sent.
  Taken,
  /// A response arrived; its body is stored if it is small enough.
  Done { status: u16, body: Option<String> },
  /// The call was sent and its response was lost.
  Unknown,
}

/// A claim on one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
  /// Holder of the claim, as `instance/boot/ticket`.
  pub token: String,
  /// Time in ms at which the claim may be dropped.
  pub expires: u64,
  pub progress: Progress,
}

/// Operation on one claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Act {
  /// Acquires the key unless it is held already.
  Take { expires: u64 },
  /// Records the outcome of the call.
  Finish { progress: Progress },
  /// Releases the key because the call certainly did not run.
  Free,
}

/// One change in a group of changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
  pub key: u64,
  pub token: String,
  pub act: Act,
}

/// Outcome of one change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
  /// The sender holds the key, or its change was recorded.
  Granted,
  /// Another call holds the key and has made this progress.
  Held(Progress),
  /// The shard has no space for another claim.
  Full,
  /// The platform could not be reached.
  Unavailable,
}

/// The claims in one shard, by key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Shard {
  pub claims: BTreeMap<u64, Claim>,
}

impl Shard {
  /// Drops expired claims, applies a group of changes at time `now` in ms, and returns
  /// whether the shard changed.
  pub fn apply(&mut self, changes: &[Change], now: u64) -> bool {
    let count_before = self.claims.len();
    self.claims.retain(|_, claim| claim.expires > now);
    let mut changed = self.claims.len() != count_before;
    let mut free_bytes = MAX_SHARD_BYTES.saturating_sub(self.bytes());
    for change in changes {
      changed |= self.apply_one(change, &mut free_bytes);
    }
    changed
  }

  fn bytes(&self) -> usize {
    self.claims.values().map(estimated_bytes).sum()
  }

  fn apply_one(&mut self, change: &Change, free_bytes: &mut usize) -> bool {
    let existing = self.claims.get_mut(&change.key);
    match (&change.act, existing) {
      (Act::Take { expires }, None) => {
        let claim = Claim {
          token: change.token.clone(),
          expires: *expires,
          progress: Progress::Taken,
        };
        // Space for the result is reserved with the claim, so that the result fits later.
        let needed_bytes = estimated_bytes(&claim);
        if needed_bytes > *free_bytes {
          return false;
        }
        *free_bytes -= needed_bytes;
        self.claims.insert(change.key, claim);
        true
      }
      (Act::Finish { progress }, Some(claim)) if claim.token == change.token => {
        let changed = claim.progress != *progress;
        claim.progress = progress.clone();
        changed
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

  /// Outcome of a change, read from the shard after the change was applied.
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

fn estimated_bytes(claim: &Claim) -> usize {
  const OVERHEAD_BYTES: usize = 96;
  let body = match &claim.progress {
    Progress::Done {
      body: Some(body), ..
    } => body.len(),
    _ => 0,
  };
  OVERHEAD_BYTES + claim.token.len() + body
}
