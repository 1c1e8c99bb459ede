//! When connections to servers ended with a response.

use crate::{backend, clock::Moment, hub::lock};
use slotmap::SecondaryMap;
use std::{sync::Mutex, time::Duration};

/// Connections that end within this time of each other may have ended with their process.
const SAME_TIME: Duration = Duration::from_millis(20);

/// Ends by server, for a short time.
#[derive(Debug, Default)]
pub(crate) struct Ends(Mutex<SecondaryMap<backend::Key, Vec<Moment>>>);

impl Ends {
  /// Records the end of a connection to a server.
  pub(super) fn record(&self, key: backend::Key, at: Moment) {
    let mut ends = lock(&self.0);
    // A server that was removed has no key any more.
    let Some(ends) = ends.entry(key).map(|entry| entry.or_default()) else {
      return;
    };
    ends.retain(|end| at.saturating_duration_since(*end) < SAME_TIME);
    ends.push(at);
  }

  /// Number of connections to a server that have ended at the same time as the one that ended `at`.
  pub(super) fn count(&self, key: backend::Key, at: Moment) -> usize {
    let ends = lock(&self.0);
    let distance = |end: &Moment| at.max(*end).saturating_duration_since(at.min(*end));
    let near = ends.get(key).into_iter().flatten();
    near.filter(|end| distance(end) < SAME_TIME).count()
  }

  /// Drops what is known of other servers.
  pub(crate) fn retain(&self, known: impl Fn(backend::Key) -> bool) {
    lock(&self.0).retain(|key, _| known(key));
  }
}
