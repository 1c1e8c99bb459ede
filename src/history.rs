//! Inter-arrival history of a model, and the keep-alive derived from it.

/// Histogram of the gaps between uses, by power of two of their length in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
  counts: Vec<u32>,
}

/// Maximum number of buckets; the last one counts gaps of 12 days and more.
const MAX_BUCKETS: usize = 31;
/// Total count above which all counts are halved, so that old gaps lose weight.
const DECAY_THRESHOLD: u32 = 256;

/// Number of observed gaps at which the assumed gaps have half their weight.
const HALF_WEIGHT_GAPS: u64 = 8;

impl History {
  /// Restores the history from the counts in a record.
  pub fn from_counts(counts: &[u32]) -> Self {
    let mut counts = counts.to_vec();
    counts.truncate(MAX_BUCKETS);
    Self { counts }
  }

  /// Counts to store in a record.
  pub fn counts(&self) -> &[u32] {
    &self.counts
  }

  /// Adds a gap in ms between two uses.
  pub fn add(&mut self, gap: u64) {
    let bucket = (gap.max(1).ilog2() as usize).min(MAX_BUCKETS - 1);
    if self.counts.len() <= bucket {
      self.counts.resize(bucket + 1, 0);
    }
    self.counts[bucket] += 1;
    if self.counts.iter().sum::<u32>() > DECAY_THRESHOLD {
      self.counts.iter_mut().for_each(|count| *count /= 2);
    }
  }

  /// Keep-alive in ms with the lowest expected cost, limited to `max`. The cost of a gap
  /// is the idle time while the replica is kept, plus `penalty` (the idle time in ms that
  /// a cold start is worth) if the gap outlasts the keep-alive.
  ///
  /// Four gaps are assumed besides the observed ones: three of half the penalty and an
  /// infinite one. Without history the result is therefore `penalty`, which costs at most
  /// twice the optimum for any gap. The weight of the three decreases with the number of
  /// observed gaps.
  pub fn keep_alive(&self, penalty: u64, max: u64) -> u64 {
    let candidates = (0..self.counts.len() as u32).map(|bucket| 2u64 << bucket);
    let best = std::iter::once(0)
      .chain(candidates)
      .chain(std::iter::once(penalty))
      .min_by_key(|keep| (self.cost(*keep, penalty), *keep));
    best.unwrap_or(penalty).min(max)
  }

  fn cost(&self, keep: u64, penalty: u64) -> u64 {
    let observed: u64 = self
      .counts
      .iter()
      .enumerate()
      .map(|(bucket, count)| u64::from(*count) * gap_cost(3 << bucket >> 1, keep, penalty))
      .sum();
    let infinite = gap_cost(u64::MAX, keep, penalty);
    let assumed = gap_cost(penalty / 2, keep, penalty);
    let count: u64 = self.counts.iter().copied().map(u64::from).sum();
    (observed + infinite) * (HALF_WEIGHT_GAPS + count) + 3 * HALF_WEIGHT_GAPS * assumed
  }
}

fn gap_cost(gap: u64, keep: u64, penalty: u64) -> u64 {
  if gap <= keep { gap } else { keep + penalty }
}
