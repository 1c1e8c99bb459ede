//! Requests and tunnels in progress, which a process waits for before it exits.

use std::sync::atomic::{AtomicUsize, Ordering};

/// Marks that nothing begins any more.
const CLOSED: usize = 1 << (usize::BITS - 1);

/// What is in progress.
#[derive(Debug, Default)]
pub struct Activity {
  /// The count, and `CLOSED`. In one value, so that nothing begins between the check that nothing is
  /// in progress and the exit.
  count: AtomicUsize,
}

/// Something in progress until it is dropped.
#[derive(Debug)]
pub struct Active<'a>(&'a Activity);

impl Activity {
  /// Counts something that begins; `None` if the process exits.
  pub fn begin(&self) -> Option<Active<'_>> {
    let before = self.count.fetch_add(1, Ordering::SeqCst);
    let active = Active(self);
    (before & CLOSED == 0).then_some(active)
  }

  /// How much is in progress.
  pub fn count(&self) -> usize {
    self.count.load(Ordering::SeqCst) & !CLOSED
  }

  /// If nothing is in progress, lets nothing begin any more. Returns whether it does.
  pub fn close_if_idle(&self) -> bool {
    let swapped = self
      .count
      .compare_exchange(0, CLOSED, Ordering::SeqCst, Ordering::SeqCst);
    swapped.is_ok()
  }

  /// Lets nothing begin any more.
  pub fn close(&self) {
    self.count.fetch_or(CLOSED, Ordering::SeqCst);
  }
}

impl Drop for Active<'_> {
  fn drop(&mut self) {
    self.0.count.fetch_sub(1, Ordering::SeqCst);
  }
}
