//! How fast backend servers are, as measured by the responses that instances relay.
//!
//! Instances measure ([`gaps`], [`samples`]) and report; the holder of a group's lease separates
//! what is due to the server from what is due to the model ([`estimate`]) and publishes the result,
//! which every instance keeps ([`table`]). An instance alone sees too few responses of one server.

pub mod estimate;
pub mod gaps;
pub mod samples;
pub mod table;

use serde::{Deserialize, Serialize};

/// Step of a published pace, in natural logarithms: 2% of the value.
const PACE_STEP: f32 = 0.02;
/// Step of a reported duration, in natural logarithms: 4% of the value.
const DURATION_STEP: f32 = 0.04;
/// Shortest duration that can be reported, ms. The longest is 10 s.
const MIN_DURATION_MS: f32 = 0.4;
/// A server this much slower or faster than its pool's median is slow or fast. A stream whose
/// events come 1.25 times as far apart misses the bound on its pauses about twice as often.
const CLASS_FACTOR: f32 = 1.25;

/// How slow a server is in relation to its pool: 1 is the pool's median, 2 takes twice as long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
  /// Over the life of the server.
  pub lasting: f32,
  /// Over the last seconds.
  pub current: f32,
}

impl Default for Pace {
  /// The median, which holds for servers that were not measured yet.
  fn default() -> Self {
    Self {
      lasting: 1.0,
      current: 1.0,
    }
  }
}

/// Classes of lasting pace, for logs and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
  Fast,
  Medium,
  Slow,
}

impl Class {
  /// The class of a lasting pace.
  pub fn of(lasting: f32) -> Self {
    match () {
      () if lasting >= CLASS_FACTOR => Self::Slow,
      () if lasting <= 1.0 / CLASS_FACTOR => Self::Fast,
      () => Self::Medium,
    }
  }

  /// The name used in logs and as a metric label.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Fast => "fast",
      Self::Medium => "medium",
      Self::Slow => "slow",
    }
  }
}

/// Measures of one server and unit since the last report of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
  /// Short hash of the server's life.
  server: [u8; 4],
  /// Short hash of what was measured, see [`unit`].
  unit: [u8; 4],
  /// Logarithmic mean of the durations.
  duration: u8,
  /// Number of measures.
  pub count: u8,
}

impl Sample {
  /// A sample of `count` measures with the logarithmic mean `ln_ms`.
  pub fn new(server: u32, unit: u32, ln_ms: f32, count: u8) -> Self {
    let steps = (ln_ms - MIN_DURATION_MS.ln()) / DURATION_STEP;
    Self {
      server: server.to_le_bytes(),
      unit: unit.to_le_bytes(),
      duration: steps.round().clamp(0.0, f32::from(u8::MAX)) as u8,
      count,
    }
  }

  pub fn server(&self) -> u32 {
    u32::from_le_bytes(self.server)
  }

  pub fn unit(&self) -> u32 {
    u32::from_le_bytes(self.unit)
  }

  /// Natural logarithm of the mean duration in ms.
  pub fn ln_ms(&self) -> f32 {
    f32::from(self.duration) * DURATION_STEP + MIN_DURATION_MS.ln()
  }
}

/// The pace of one server, as published.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
  /// Short hash of the server's life.
  server: [u8; 4],
  lasting: i8,
  current: i8,
}

impl Published {
  pub fn new(server: u32, pace: Pace) -> Self {
    Self {
      server: server.to_le_bytes(),
      lasting: quantise(pace.lasting),
      current: quantise(pace.current),
    }
  }

  pub fn server(&self) -> u32 {
    u32::from_le_bytes(self.server)
  }

  pub fn pace(&self) -> Pace {
    Pace {
      lasting: (f32::from(self.lasting) * PACE_STEP).exp(),
      current: (f32::from(self.current) * PACE_STEP).exp(),
    }
  }

  /// Whether the values differ enough from those published before to be published again: by 6% in
  /// the lasting pace, or by 15% in the current one.
  pub(crate) fn has_changed(&self, previous: &Self) -> bool {
    let steps = |one: i8, two: i8| (i16::from(one) - i16::from(two)).abs();
    steps(self.lasting, previous.lasting) >= 3 || steps(self.current, previous.current) >= 7
  }

  /// Whether the current pace differs from the lasting one.
  pub(crate) fn is_passing(&self) -> bool {
    self.lasting != self.current
  }
}

fn quantise(pace: f32) -> i8 {
  let steps = (pace.ln() / PACE_STEP).round();
  steps.clamp(f32::from(i8::MIN), f32::from(i8::MAX)) as i8
}

/// Short hash of what is measured: the gaps of a model's streams, or the responses of a route
/// without models. Servers are compared only by the same unit.
pub fn unit(pool: &str, model: Option<&str>, route: &str) -> u32 {
  let name = match model {
    Some(model) => format!("{pool}\nmodel\n{model}"),
    None => format!("{pool}\nroute\n{route}"),
  };
  xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}
