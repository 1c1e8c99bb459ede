//! Changes that one instance read from the store, as sent to other instances.

use crate::store::{Object, Revision};
use serde::{Deserialize, Serialize};

/// Maximum size of the objects in a batch, which must fit in one datagram.
const MAX_BATCH_BYTES: usize = 48 << 10;

/// Changes to a kind, as read by the instance that watches on behalf of others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
  /// Revision of the last relevant change before these.
  pub since: Revision,
  /// The changes came after this revision, up to and including `revision`.
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
  /// Content of the object as JSON.
  pub spec: String,
}

impl Batch {
  /// Builds a batch; `None` if the changes do not fit in a datagram.
  pub(super) fn new(
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
    (bytes <= MAX_BATCH_BYTES).then_some(Self {
      since,
      after,
      revision,
      changes,
    })
  }

  /// Whether the batch continues from a known revision. It does not if part of it is already known:
  /// a removal carries the revision of its object's last change, so known and new changes cannot be
  /// told apart.
  pub(super) fn follows(&self, revision: Revision) -> bool {
    (self.since..=self.after).contains(&revision)
  }

  /// Decodes the changed objects; `None` if one cannot be parsed.
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
