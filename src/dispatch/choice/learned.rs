//! What an instance learns from its own streams about the servers of a pool, at the pool's median
//! pace.

/// Quantile of the time per prompt token that is followed: the low ones show reading alone, the
/// others also what was read before.
const PROMPT_QUANTILE: f32 = 0.25;
/// Step of that quantile for one sample.
const QUANTILE_STEP: f32 = 0.05;
/// Prompts with fewer tokens say little about the time per token.
const MIN_TOKENS: f32 = 200.0;
/// Number of samples over which means are taken.
const MEAN_SAMPLES: f32 = 64.0;
/// Values until streams were measured: those of a large model on a current accelerator.
const PRIOR_PROMPT_MS: f32 = 0.05;
const PRIOR_GAP_MS: f32 = 50.0;
const PRIOR_DURATION_MS: f32 = 1_500.0;
const PRIOR_FIRST_MS: f32 = 150.0;
const PRIOR_TOKENS: f32 = 1_000.0;
/// Share of the maximal response that is expected of a caller that gives no hint.
const PRIOR_OUTPUT_SHARE: f32 = 0.5;
/// Weight of the priors, in samples.
const PRIOR_SAMPLES: f32 = 4.0;

/// A mean that follows recent samples.
#[derive(Clone, Copy, Debug)]
struct Mean {
  value: f32,
  samples: f32,
}

impl Mean {
  fn new(prior: f32) -> Self {
    Self {
      value: prior,
      samples: PRIOR_SAMPLES,
    }
  }

  fn add(&mut self, sample: f32) {
    self.samples = (self.samples + 1.0).min(MEAN_SAMPLES);
    self.value += (sample - self.value) / self.samples;
  }
}

/// The figures used to estimate times.
#[derive(Clone, Copy, Debug)]
pub struct Rates {
  /// Time to read one token of a prompt, in ms.
  pub prompt_ms: f32,
  /// Time between events while no prompt is read, in ms.
  pub gap_ms: f32,
  /// Time of a request at its server, in ms.
  pub duration_ms: f32,
  /// Share of a request's time in which its prompt is not read.
  pub unread_share: f32,
  /// Tokens of a prompt.
  pub prompt_tokens: f32,
}

/// What an instance has learned about a pool.
#[derive(Clone, Debug)]
pub struct Learned {
  prompt_ms: f32,
  gap_ms: Mean,
  duration_ms: Mean,
  first_ms: Mean,
  prompt_tokens: Mean,
  /// Hinted share of the maximal response.
  output_share: Mean,
  /// Tokens that a request holds at its end.
  held_tokens: Mean,
}

impl Default for Learned {
  fn default() -> Self {
    Self {
      prompt_ms: PRIOR_PROMPT_MS,
      gap_ms: Mean::new(PRIOR_GAP_MS),
      duration_ms: Mean::new(PRIOR_DURATION_MS),
      first_ms: Mean::new(PRIOR_FIRST_MS),
      prompt_tokens: Mean::new(PRIOR_TOKENS),
      output_share: Mean::new(PRIOR_OUTPUT_SHARE),
      held_tokens: Mean::new(PRIOR_TOKENS),
    }
  }
}

impl Learned {
  /// The figures for estimates.
  pub fn rates(&self) -> Rates {
    Rates {
      prompt_ms: self.prompt_ms,
      gap_ms: self.gap_ms.value,
      duration_ms: self.duration_ms.value,
      unread_share: (self.first_ms.value / self.duration_ms.value.max(1.0)).min(1.0),
      prompt_tokens: self.prompt_tokens.value,
    }
  }

  /// Tokens that a request of other instances is expected to hold.
  pub fn held_tokens(&self) -> f32 {
    self.held_tokens.value
  }

  /// Expected tokens of a response, of which callers may give a hint.
  pub fn output_tokens(&self, max: u32, hint: Option<u32>) -> u32 {
    match hint {
      Some(hint) => hint.min(max),
      None => (max as f32 * self.output_share.value) as u32,
    }
  }

  /// Records the tokens of an arriving request.
  pub fn record_arrival(&mut self, input: u32, max: u32, hint: Option<u32>) {
    self.prompt_tokens.add(input as f32);
    if let (Some(hint), true) = (hint, max > 0) {
      let share = hint.min(max) as f32 / max as f32;
      self.output_share.add(share);
    }
    let held = input + self.output_tokens(max, hint);
    self.held_tokens.add(held as f32);
  }

  /// Records the time to the first event of a request with this many prompt tokens.
  pub fn record_first(&mut self, first_ms: f32, tokens: f32, pace: f32) {
    self.first_ms.add(first_ms / pace);
    if tokens < MIN_TOKENS {
      return;
    }
    let sample = first_ms / tokens / pace;
    let factor = match sample < self.prompt_ms {
      true => 1.0 - QUANTILE_STEP * (1.0 - PROMPT_QUANTILE),
      false => 1.0 + QUANTILE_STEP * PROMPT_QUANTILE,
    };
    self.prompt_ms *= factor;
  }

  /// Records a complete response: its time at the server, and the mean gap between its events.
  pub fn record_whole(&mut self, duration_ms: f32, pace: f32) {
    self.duration_ms.add(duration_ms / pace);
  }

  /// Records the mean gap between the events of a stream.
  pub fn record_gap(&mut self, gap_ms: f32, pace: f32) {
    self.gap_ms.add(gap_ms / pace);
  }
}
