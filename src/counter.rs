//! Counts that are released however a thread ends.

use std::sync::atomic::{AtomicUsize, Ordering};

/// One of those that a counter counts, until it is dropped.
#[derive(Debug)]
pub(crate) struct Guard<'a>(&'a AtomicUsize);

impl<'a> Guard<'a> {
  /// Adds one to the counter; also returns the number of the others.
  pub(crate) fn add(counter: &'a AtomicUsize) -> (Self, usize) {
    let others = counter.fetch_add(1, Ordering::Relaxed);
    (Self(counter), others)
  }
}

impl Drop for Guard<'_> {
  fn drop(&mut self) {
    self.0.fetch_sub(1, Ordering::Relaxed);
  }
}
