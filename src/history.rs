//! Inter-arrival history of a model, and the keep-alive that follows from it.

/// Gaps between uses, counted by power of two of their length in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
  counts: Vec<u32>,
}

/// Buckets kept: the last one holds gaps of 12 days and more.
const BUCKETS: usize = 31;
/// Total above which counts are halved, so that old habits fade.
const FADE: u32 = 256;

impl History {
  /// The history stored in a record.
  pub fn from_counts(counts: &[u32]) -> Self {
    let mut counts = counts.to_vec();
    counts.truncate(BUCKETS);
    Self { counts }
  }

  /// The counts, for a record.
  pub fn counts(&self) -> &[u32] {
    &self.counts
  }

  /// Takes up a gap between two uses, ms.
  pub fn add(&mut self, gap: u64) {
    let bucket = (gap.max(1).ilog2() as usize).min(BUCKETS - 1);
    if self.counts.len() <= bucket {
      self.counts.resize(bucket + 1, 0);
    }
    self.counts[bucket] += 1;
    if self.counts.iter().sum::<u32>() > FADE {
      self.counts.iter_mut().for_each(|count| *count /= 2);
    }
  }

  /// The keep-alive, ms, with the least expected cost: idle time while the
  /// replica is kept, and `penalty` (ms of idle time a cold start is worth) for
  /// each gap that outlasts it. Never above `most`.
  ///
  /// One gap of unknown length is added to what was seen: without history the
  /// answer is `penalty` itself, within a factor of two of the best for any gap.
  pub fn keep_alive(&self, penalty: u64, most: u64) -> u64 {
    let candidates = (0..self.counts.len() as u32).map(|bucket| 2u64 << bucket);
    let best = std::iter::once(0)
      .chain(candidates)
      .chain(std::iter::once(penalty))
      .min_by_key(|keep| (self.cost(*keep, penalty), *keep));
    best.unwrap_or(penalty).min(most)
  }

  fn cost(&self, keep: u64, penalty: u64) -> u64 {
    let seen: u64 = self
      .counts
      .iter()
      .enumerate()
      .map(|(bucket, count)| u64::from(*count) * gap_cost(3 << bucket >> 1, keep, penalty))
      .sum();
    seen + gap_cost(penalty, keep, penalty) + gap_cost(u64::MAX, keep, penalty) / 2
  }
}

fn gap_cost(gap: u64, keep: u64, penalty: u64) -> u64 {
  if gap <= keep { gap } else { keep + penalty }
}
