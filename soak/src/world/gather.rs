//! What servers have seen, for the history.

use super::{World, lock};
use crate::history::{History, Order, Run};
use std::sync::atomic::Ordering;

impl World {
  /// Adds what servers have seen to the history.
  pub(super) fn gather(&self) -> History {
    let mut history = self.book.note(std::mem::take);
    for runner in lock(&self.runners).iter() {
      for seen in runner.seen() {
        history.runs.push(Run {
          id: seen.id,
          server: runner.id.clone(),
          at: self.book.at(seen.at),
        });
      }
      for order in runner.commands() {
        history.orders.push(Order {
          server: runner.id.clone(),
          holder: order.holder().to_string(),
          term: order.term(),
          at: self.book.at(order.at),
        });
      }
      let overfull = runner.overfull();
      if overfull > 0 {
        history.overfull.push((runner.id.clone(), overfull));
      }
    }
    history.late_orders = self.late.load(Ordering::Relaxed);
    history
  }
}
