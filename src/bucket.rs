//! A token bucket with a reserve for urgent calls.

use crate::clock::Moment;
use std::time::Duration;

/// Fraction of the bucket that is reserved for urgent calls.
const URGENT_FRACTION: f64 = 0.25;

/// A token bucket that holds the calls of one second.
#[derive(Debug)]
pub struct Bucket {
  rate: f64,
  tokens: f64,
  refilled_at: Moment,
}

impl Bucket {
  /// Creates a full bucket for `rate` calls per second.
  pub fn new(rate: u32, now: Moment) -> Self {
    let rate = f64::from(rate);
    Self {
      rate,
      tokens: rate,
      refilled_at: now,
    }
  }

  /// Sets the rate, in calls per second.
  pub fn set_rate(&mut self, rate: u32) {
    self.rate = f64::from(rate);
    self.tokens = self.tokens.min(self.rate);
  }

  /// Takes a token, or returns the time until one is available.
  pub fn acquire(&mut self, urgent: bool, now: Moment) -> Result<(), Duration> {
    let refill = (now - self.refilled_at).as_secs_f64() * self.rate;
    self.tokens = (self.tokens + refill).min(self.rate);
    self.refilled_at = now;
    let reserve = if urgent {
      0.0
    } else {
      self.rate * URGENT_FRACTION
    };
    let shortfall = reserve + 1.0 - self.tokens;
    if shortfall <= 0.0 {
      self.tokens -= 1.0;
      return Ok(());
    }
    Err(Duration::from_secs_f64(shortfall / self.rate))
  }
}
