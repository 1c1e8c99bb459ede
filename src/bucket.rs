//! A token bucket in which urgent calls go before others.

use crate::clock::Moment;
use std::time::Duration;

/// Part of the bucket that is kept for urgent calls.
const RESERVE: f64 = 0.25;

/// A token bucket; holds one second's worth of calls.
#[derive(Debug)]
pub struct Bucket {
  rate: f64,
  tokens: f64,
  filled: Moment,
}

impl Bucket {
  /// A full bucket for `rate` calls a second.
  pub fn new(rate: u32, now: Moment) -> Self {
    let rate = f64::from(rate);
    Self {
      rate,
      tokens: rate,
      filled: now,
    }
  }

  /// Changes the rate.
  pub fn set_rate(&mut self, rate: u32) {
    self.rate = f64::from(rate);
    self.tokens = self.tokens.min(self.rate);
  }

  /// Takes a token, or says how long to wait for one.
  pub fn acquire(&mut self, urgent: bool, now: Moment) -> Result<(), Duration> {
    let gained = (now - self.filled).as_secs_f64() * self.rate;
    self.tokens = (self.tokens + gained).min(self.rate);
    self.filled = now;
    let floor = if urgent { 0.0 } else { self.rate * RESERVE };
    let short = floor + 1.0 - self.tokens;
    if short <= 0.0 {
      self.tokens -= 1.0;
      return Ok(());
    }
    Err(Duration::from_secs_f64(short / self.rate))
  }
}
