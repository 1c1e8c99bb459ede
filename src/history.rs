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

/// Gaps seen after which the assumed ones weigh half.
const TRUST: u64 = 8;

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
  /// A few gaps are assumed besides those seen, three of half the penalty and one
  /// without end: without history the answer is `penalty` itself, which costs at
  /// most twice the best for any gap. The three weigh less the more was seen.
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
    let endless = gap_cost(u64::MAX, keep, penalty);
    let assumed = gap_cost(penalty / 2, keep, penalty);
    let count: u64 = self.counts.iter().copied().map(u64::from).sum();
    (seen + endless) * (TRUST + count) + 3 * TRUST * assumed
  }
}

fn gap_cost(gap: u64, keep: u64, penalty: u64) -> u64 {
  if gap <= keep { gap } else { keep + penalty }
}
