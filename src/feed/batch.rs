//! Changes that one instance has read of the store, for the others.

use crate::store::{Object, Revision};
use serde::{Deserialize, Serialize};

/// Bytes of objects that one batch carries at the most: it goes as a datagram.
const BATCH_BYTES: usize = 48 << 10;

/// Changes of a kind as the instance that watches for others read them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
  /// The last change that mattered before these.
  pub since: Revision,
  /// All of these came after this revision, and up to the next one.
  pub after: Revision,
  pub revision: Revision,
  pub changes: Vec<Change>,
}

/// A changed object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
  pub name: String,
  pub revision: Revision,
  pub removed: bool,
  /// Its content, JSON.
  pub spec: String,
}

impl Batch {
  /// The changes as a batch; none when they are too large for a datagram.
  pub(super) fn open(
    since: Revision,
    (after, revision): (Revision, Revision),
    objects: &[(Object, bool)],
  ) -> Option<Self> {
    let change = |(object, removed): &(Object, bool)| Change {
      name: object.name.clone(),
      revision: object.revision,
      removed: *removed,
      spec: object.spec.to_string(),
    };
    let changes: Vec<Change> = objects.iter().map(change).collect();
    let bytes: usize = changes
      .iter()
      .map(|change| change.name.len() + change.spec.len())
      .sum();
    (bytes <= BATCH_BYTES).then_some(Self {
      since,
      after,
      revision,
      changes,
    })
  }

  /// Whether it goes on from what is known up to a revision. Where a part of it is known
  /// already it does not: a removal names its object's last change, so the parts cannot be
  /// told from each other.
  pub(super) fn follows(&self, revision: Revision) -> bool {
    (self.since..=self.after).contains(&revision)
  }

  /// The changed objects; none when the batch is not understood.
  pub(super) fn objects(&self) -> Option<Vec<(Object, bool)>> {
    let object = |change: &Change| {
      let object = Object {
        name: change.name.clone(),
        revision: change.revision,
        spec: serde_json::from_str(&change.spec).ok()?,
      };
      Some((object, change.removed))
    };
    self.changes.iter().map(object).collect()
  }
}
