//! Collects what servers recorded into the history.

use super::{World, configuration::BOUNDED_MODEL, lock};
use crate::history::{Arrival, Backoff, Departure, History, Hold, Limit, Order, Run};
use platform_stand_in::runner::Runner;
use std::sync::atomic::Ordering;

impl World {
  /// Returns when a server held the bounded model, from its own records, until it was removed.
  fn model_holds(&self, runner: &Runner, removed: &[(String, u64)]) -> Vec<Hold> {
    let removed = removed.iter().find(|(id, _)| *id == runner.id);
    let end = removed.map_or(u64::MAX, |(_, at)| *at);
    let mut holds: Vec<Hold> = Vec::new();
    let changes = runner.changes().into_iter();
    for change in changes.filter(|change| change.model == BOUNDED_MODEL) {
      let at = self.recorder.ms_at(change.at).min(end);
      match (change.held, holds.last_mut()) {
        (false, Some(hold)) => hold.to = at,
        (false, None) => {}
        (true, _) => holds.push(Hold {
          server: runner.id.clone(),
          from: at,
          to: end,
        }),
      }
    }
    holds
  }

  /// Adds what a server announced in responses, and the requests that reached it.
  fn collect_announcements(&self, runner: &Runner, history: &mut History) {
    let (limits, backoffs, leaving_at) = (
      runner.limit_changes(),
      runner.rejections(),
      runner.leaving_since(),
    );
    if limits.is_empty() && backoffs.is_empty() && leaving_at.is_none() {
      return;
    }
    history.departures.extend(leaving_at.map(|from| Departure {
      server: runner.id.clone(),
      from: self.recorder.ms_at(from),
    }));
    history.backoffs.extend(backoffs.into_iter().map(|backoff| {
      let seconds: f64 = backoff.seconds.parse().unwrap_or_default();
      let from = self.recorder.ms_at(backoff.at);
      Backoff {
        server: runner.id.clone(),
        id: backoff.id,
        from,
        to: from + (seconds * 1_000.0) as u64,
      }
    }));
    for (number, (from, rate)) in limits.iter().enumerate() {
      let Some(rate) = rate else {
        continue;
      };
      let next = limits.get(number + 1);
      history.limits.push(Limit {
        server: runner.id.clone(),
        rate: *rate,
        from: self.recorder.ms_at(*from),
        to: next.map_or(u64::MAX, |(to, _)| self.recorder.ms_at(*to)),
      });
    }
    for arrival in runner.arrivals() {
      history.arrivals.push(Arrival {
        id: arrival.id,
        server: runner.id.clone(),
        at: self.recorder.ms_at(arrival.at),
      });
    }
  }

  /// Completes the history with what servers recorded, and returns it.
  pub(super) fn collect(&self) -> History {
    for (number, member) in self.members.iter().enumerate() {
      self.record_own_end(number, &mut lock(&member.instance));
    }
    let mut history = self.recorder.record(std::mem::take);
    for runner in lock(&self.runners).iter() {
      for seen in runner.executed() {
        history.runs.push(Run {
          id: seen.id,
          server: runner.id.clone(),
          at: self.recorder.ms_at(seen.at),
        });
      }
      for order in runner.received_orders() {
        history.orders.push(Order {
          server: runner.id.clone(),
          holder: order.holder().to_string(),
          term: order.term(),
          at: self.recorder.ms_at(order.at),
        });
      }
      history.copies += runner.copies_sent();
      self.collect_announcements(runner, &mut history);
      self.collect_crashes(runner, &mut history);
      let holds = self.model_holds(runner, &history.removed);
      history.holds.extend(holds);
      let excess_loads = runner.overcommitted_loads();
      if excess_loads > 0 {
        history
          .overcommitted
          .push((runner.id.clone(), excess_loads));
      }
    }
    history.has_quotas = self.has_quotas;
    history.late_orders = self.late_orders.load(Ordering::Relaxed);
    history
  }
}
