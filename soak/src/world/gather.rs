//! What servers have seen, for the history.

use super::{World, configuration::BOUNDED, lock};
use crate::history::{Arrival, History, Hold, Leaver, Limit, Order, Rest, Run};
use platform_stand_in::runner::Runner;
use std::sync::atomic::Ordering;

impl World {
  /// When a server held the bounded model, as it wrote down itself, while it was there.
  fn holds(&self, runner: &Runner, gone: &[(String, u64)]) -> Vec<Hold> {
    let gone = gone.iter().find(|(id, _)| *id == runner.id);
    let last = gone.map_or(u64::MAX, |(_, at)| *at);
    let mut holds: Vec<Hold> = Vec::new();
    let changes = runner.changes().into_iter();
    for change in changes.filter(|change| change.model == BOUNDED) {
      let at = self.book.at(change.at).min(last);
      match (change.held, holds.last_mut()) {
        (false, Some(hold)) => hold.to = at,
        (false, None) => {}
        (true, _) => holds.push(Hold {
          server: runner.id.clone(),
          from: at,
          to: last,
        }),
      }
    }
    holds
  }

  /// What a server said in its answers, and what came to it.
  fn said(&self, runner: &Runner, history: &mut History) {
    let (named, rests, leaving) = (runner.limits(), runner.rests(), runner.leaving());
    if named.is_empty() && rests.is_empty() && leaving.is_none() {
      return;
    }
    history.leavers.extend(leaving.map(|from| Leaver {
      server: runner.id.clone(),
      from: self.book.at(from),
    }));
    history.rests.extend(rests.into_iter().map(|rest| {
      let seconds: f64 = rest.seconds.parse().unwrap_or_default();
      let from = self.book.at(rest.at);
      Rest {
        server: runner.id.clone(),
        id: rest.id,
        from,
        to: from + (seconds * 1_000.0) as u64,
      }
    }));
    for (number, (from, rate)) in named.iter().enumerate() {
      let Some(rate) = rate else {
        continue;
      };
      let next = named.get(number + 1);
      history.limits.push(Limit {
        server: runner.id.clone(),
        rate: *rate,
        from: self.book.at(*from),
        to: next.map_or(u64::MAX, |(to, _)| self.book.at(*to)),
      });
    }
    for arrival in runner.arrivals() {
      history.arrivals.push(Arrival {
        id: arrival.id,
        server: runner.id.clone(),
        at: self.book.at(arrival.at),
      });
    }
  }

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
      self.said(runner, &mut history);
      let holds = self.holds(runner, &history.gone);
      history.holds.extend(holds);
      let overfull = runner.overfull();
      if overfull > 0 {
        history.overfull.push((runner.id.clone(), overfull));
      }
    }
    history.late_orders = self.late.load(Ordering::Relaxed);
    history
  }
}
