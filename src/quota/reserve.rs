//! Units that the lease's record counts as used although they are not yet.
//!
//! A holder that is lost together with all others tells nobody what it granted after its last
//! record. So each record reserves units ahead, like a log that is written ahead, and a grant beyond
//! them waits for the next record. Pure: no I/O, no clock.

/// Least fraction of a window's quota that a record reserves. It is also what the next holder assumes of a
/// quota that the record does not list.
const MIN_FRACTION: f64 = 1.0 / 16.0;
/// Fraction that is reserved once grants had to wait.
const GROWN_FRACTION: f64 = 1.0 / 4.0;
/// Multiple of what was granted between the last two records.
const MARGIN: f64 = 1.5;
/// How long grants wait for a record, ms: requests wait 150 ms for a grant, and the store usually
/// responds within a few ms. While it does not, nothing is reserved.
const MAX_WAIT_MS: u64 = 100;

/// The reserved units of one quota. A level is the number of units used and granted since the holder took
/// over.
#[derive(Clone, Debug)]
pub(super) struct Reserve {
  window_units: f64,
  /// Level that grants may reach.
  until: f64,
  /// Level at the last record, and the units that it reserved.
  recorded: (f64, f64),
  /// Level that grants may reach once the record in progress is written.
  pending_until: Option<f64>,
  /// Since when grants wait for a record, ms.
  short_since: Option<u64>,
}

impl Reserve {
  /// The reserve of a quota that allows this number of units within a window.
  pub(super) fn new(window_units: f64) -> Self {
    let units = window_units * MIN_FRACTION;
    Self {
      window_units,
      until: units,
      recorded: (0.0, units),
      pending_until: None,
      short_since: None,
    }
  }

  /// Units that may be granted at this level.
  pub(super) fn left(&self, now: u64, level: f64) -> f64 {
    match self.short_since {
      Some(since) if now >= since + MAX_WAIT_MS => f64::INFINITY,
      _ => (self.until - level).max(0.0),
    }
  }

  /// Units that the last record reserved and that were not granted since.
  pub(super) fn unused(&self, level: f64) -> f64 {
    let (recorded_level, units) = self.recorded;
    (recorded_level + units - level).max(0.0)
  }

  /// Records that a grant waits for the next record.
  pub(super) fn record_short(&mut self, now: u64) {
    self.short_since.get_or_insert(now);
  }

  /// Starts a record at this level; returns the units that it reserves.
  pub(super) fn start_record(&mut self, level: f64) -> f64 {
    let (recorded_level, recorded_units) = self.recorded;
    let least = match self.short_since {
      // Grants waited again although more was reserved.
      Some(_) if recorded_units >= self.window_units * GROWN_FRACTION => self.window_units,
      Some(_) => self.window_units * GROWN_FRACTION,
      None => self.window_units * MIN_FRACTION,
    };
    let units = least.max((level - recorded_level) * MARGIN);
    let units = units.min(self.window_units).ceil();
    self.recorded = (level, units);
    self.pending_until = Some(level + units);
    units
  }

  /// Handles the end of the record in progress.
  pub(super) fn finish_record(&mut self, written: bool) {
    let Some(until) = self.pending_until.take().filter(|_| written) else {
      return;
    };
    self.until = until;
    self.short_since = None;
  }
}
