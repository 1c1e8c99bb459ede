//! Loads of an earlier lease holder that servers may still carry out, as this instance knows them from
//! that holder's updates. They are reported to the next holder, which knows nothing of them.

use crate::message::Unanswered;

/// How long they are reported after the change of the holder, ms: instances report at least every
/// second.
const REPORTED_FOR_MS: u64 = 2_000;

/// Loads of the holders of one group. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Loads {
  /// Those without an answer that the present holder published last.
  published: Vec<Unanswered>,
  /// Those of the last holder.
  former: Vec<Unanswered>,
  reported_until: u64,
}

impl Loads {
  /// Records what the present holder published.
  pub fn publish(&mut self, loads: Vec<Unanswered>) {
    self.published = loads;
  }

  /// Handles the end of a term. `in_progress` are the loads that its holder published as in progress:
  /// their orders may not have been answered.
  pub fn end_term(&mut self, now: u64, in_progress: impl Iterator<Item = Unanswered>) {
    self.former = std::mem::take(&mut self.published);
    self.former.extend(in_progress);
    self.former.sort_unstable();
    self.former.dedup();
    self.reported_until = now + REPORTED_FOR_MS;
  }

  /// The loads of the last holder, while they are to be reported.
  pub fn to_report(&self, now: u64) -> &[Unanswered] {
    match now < self.reported_until {
      true => &self.former,
      false => &[],
    }
  }
}
