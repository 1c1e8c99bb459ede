//! Sliding sum of the units used within a time window, kept in time slots.

use super::Quarters;
use std::collections::VecDeque;

/// Slots per window. Units count for up to a thirty-second part of the window longer than
/// necessary.
const SLOTS: u64 = 32;

/// A sliding sum over a time window.
#[derive(Clone, Debug)]
pub struct Window {
  length_ms: u64,
  /// Slot numbers, and the units used in each slot; oldest first.
  slots: VecDeque<(u64, f64)>,
  sum: f64,
}

impl Window {
  /// Creates an empty window of this length in ms.
  pub fn new(length_ms: u64) -> Self {
    Self {
      length_ms: length_ms.max(SLOTS),
      slots: VecDeque::new(),
      sum: 0.0,
    }
  }

  fn slot_ms(&self) -> u64 {
    self.length_ms / SLOTS
  }

  /// Adds units used now; a negative number refunds units.
  pub fn add(&mut self, now: u64, units: f64) {
    self.trim(now);
    let slot = now / self.slot_ms();
    match self.slots.back_mut() {
      Some((last, used)) if *last >= slot => *used += units,
      _ => self.slots.push_back((slot, units)),
    }
    self.sum += units;
  }

  /// Adds units that were used at an earlier time, in ms.
  pub fn add_at(&mut self, now: u64, at: u64, units: f64) {
    let slot = at.min(now) / self.slot_ms();
    let position = self.slots.partition_point(|(other, _)| *other < slot);
    match self.slots.get_mut(position) {
      Some((other, used)) if *other == slot => *used += units,
      _ => self.slots.insert(position, (slot, units)),
    }
    self.sum += units;
    self.trim(now);
  }

  /// Adds the units used in each quarter of a window that ended at time `end`, in ms. They are
  /// added at the end of their quarter, so that they count for longer rather than shorter.
  pub fn add_quarters(&mut self, now: u64, end: u64, quarters: &Quarters) {
    for (quarter, units) in quarters.iter().enumerate() {
      let at = end.saturating_sub(quarter as u64 * self.length_ms / 4);
      self.add_at(now, at, f64::from(*units));
    }
  }

  /// Units used in each quarter of the window, latest first.
  pub fn quarters(&mut self, now: u64) -> [f64; 4] {
    self.trim(now);
    let mut quarters = [0.0; 4];
    for (slot, used) in &self.slots {
      let age = now.saturating_sub(slot * self.slot_ms());
      let quarter = (age * 4 / self.length_ms).min(3) as usize;
      quarters[quarter] += used;
    }
    quarters
  }

  /// Units used from this time on, in ms, and in the rest of its slot.
  pub fn sum_since(&mut self, now: u64, from: u64) -> f64 {
    self.trim(now);
    let slot_ms = self.slot_ms();
    let slots = self.slots.iter().rev();
    let recent = slots.take_while(|(slot, _)| (slot + 1) * slot_ms > from);
    recent.map(|(_, used)| used).sum()
  }

  /// Units used within the window.
  pub fn sum(&mut self, now: u64) -> f64 {
    self.trim(now);
    self.sum
  }

  /// Time in ms until the sum has fallen by this number of units.
  pub fn time_until_reduced(&self, now: u64, units: f64) -> u64 {
    let mut left = units;
    for (slot, used) in &self.slots {
      left -= used;
      if left <= 0.0 {
        let expires_at = (slot + 1) * self.slot_ms() + self.length_ms;
        return expires_at.saturating_sub(now);
      }
    }
    self.length_ms
  }

  fn trim(&mut self, now: u64) {
    let slot_ms = self.slot_ms();
    while let Some((slot, used)) = self.slots.front().copied() {
      if (slot + 1) * slot_ms + self.length_ms > now {
        return;
      }
      self.sum -= used;
      self.slots.pop_front();
    }
    if self.slots.is_empty() {
      // Rounding errors of fractions may leave a remainder.
      self.sum = 0.0;
    }
  }
}
