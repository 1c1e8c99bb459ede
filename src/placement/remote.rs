//! Loads from the weight store: how many have begun lately, and how many it serves at once at
//! full speed, as learnt from the time that loads take. Deployments state the first bound only.

use std::collections::VecDeque;

/// Loads at once before any has ended: a few, for where the store serves more, waiting costs
/// callers whole loads.
const AT_ONCE: f64 = 4.0;
/// A load that takes this many times as long as stated was slowed by others; reports show its
/// end some hundred ms late.
const SLOWED: f64 = 1.25;

/// The weight store, as one holder sees it.
#[derive(Debug)]
pub struct Remote {
  /// When loads began, ms.
  begun: VecDeque<u64>,
  window_ms: u64,
  /// Part of the loads that the deployment allows which this holder takes.
  part: f64,
  at_once: f64,
}

impl Remote {
  /// Nothing was loaded yet; the window in which loads are bounded, and this holder's part.
  pub fn new(window_ms: u64, part: f64) -> Self {
    Self {
      begun: VecDeque::new(),
      window_ms,
      part,
      at_once: AT_ONCE,
    }
  }

  /// Whether another load may begin beside so many that are under way.
  pub fn allows(&self, now: u64, under_way: usize, loads_per_s: f64) -> bool {
    let from = now.saturating_sub(self.window_ms);
    let recent = self.begun.iter().rev().take_while(|at| **at >= from);
    let window_s = self.window_ms as f64 / 1_000.0;
    // The allowance on top is left to what other machines began before.
    let allowed = loads_per_s * window_s * self.part.min(1.0);
    let rate = loads_per_s == 0.0 || recent.count() as f64 + 1.0 <= allowed;
    rate && under_way < self.at_once as usize
  }

  /// A load begins.
  pub fn record_start(&mut self, now: u64) {
    let from = now.saturating_sub(self.window_ms);
    while self.begun.front().is_some_and(|at| *at < from) {
      self.begun.pop_front();
    }
    self.begun.push_back(now);
  }

  /// A load that is stated to take so long has taken this, with so many under way; `ended`: it
  /// is over.
  pub fn observe(&mut self, took_ms: u64, stated_ms: u64, under_way: usize, ended: bool) {
    let (took, stated) = (took_ms as f64, stated_ms.max(1) as f64);
    let under_way = under_way.max(1) as f64;
    if took > stated * SLOWED {
      // Each takes in proportion longer: so many would not have.
      self.at_once = self.at_once.min(under_way * stated / took).max(1.0);
    } else if ended && under_way >= self.at_once.floor() {
      self.at_once += 1.0;
    }
  }
}
