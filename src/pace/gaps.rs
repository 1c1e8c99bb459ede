//! Gaps between the events of a stream, measured over windows of a fraction of a second.
//!
//! Load pattern: streams of a few to some hundred events, interrupted while the server reads other
//! prompts. The middle half of a window's gaps leaves these interruptions out, and events that the
//! network delivered together.

/// A window ends when it has this many gaps and has lasted this long, ms: a slowdown of a second is
/// then seen while it lasts.
const MIN_WINDOW_GAPS: usize = 8;
const MIN_WINDOW_MS: u64 = 300;
/// The last window of a stream counts from this many gaps.
const MIN_LAST_GAPS: usize = 4;
/// Maximum gaps that a window keeps.
const MAX_WINDOW_GAPS: usize = 64;
/// A middle gap of 0 ms was less than a millisecond.
const MIN_GAP_MS: f32 = 0.5;

/// The gaps of the current window, ms.
#[derive(Clone, Debug, Default)]
pub struct Gaps {
  gaps: Vec<u64>,
  elapsed_ms: u64,
}

impl Gaps {
  /// Adds a gap; returns the window's middle gap in ms if this one completes it.
  pub fn add(&mut self, gap_ms: u64) -> Option<f32> {
    if self.gaps.len() < MAX_WINDOW_GAPS {
      self.gaps.push(gap_ms);
    }
    self.elapsed_ms += gap_ms;
    let complete = self.gaps.len() >= MIN_WINDOW_GAPS && self.elapsed_ms >= MIN_WINDOW_MS;
    complete.then(|| self.take())
  }

  /// The middle gap of the last window in ms, unless the window is too short.
  pub fn finish(&mut self) -> Option<f32> {
    (self.gaps.len() >= MIN_LAST_GAPS).then(|| self.take())
  }

  /// Starts a new window, for a stream that another server continues.
  pub fn clear(&mut self) {
    self.gaps.clear();
    self.elapsed_ms = 0;
  }

  /// Mean of the middle half of the gaps.
  fn take(&mut self) -> f32 {
    let mut gaps = std::mem::take(&mut self.gaps);
    self.clear();
    gaps.sort_unstable();
    let quarter = gaps.len() / 4;
    let middle = &gaps[quarter..gaps.len() - quarter];
    let mean = middle.iter().sum::<u64>() as f32 / middle.len() as f32;
    mean.max(MIN_GAP_MS)
  }
}
