//! Leaves of suspects: of a request that may crash servers one copy runs over all instances at any
//! time.
//!
//! Load pattern: callers repeat such a request at all instances, and its copies wait together for
//! the one server that is left. So from the second crash on each send takes the one unit of a quota
//! that all instances share, and gives it back when its run has ended without a crash. After a crash nothing is given
//! back: the next stage has a unit of its own, for those who know of the crash.

use super::SUSPICIOUS;
use crate::{
  ask::Ticket,
  content,
  dispatch::{Effect, End, State},
  quota::{AGAIN_MS, Allowance, Bound, Id, Quota, Spending},
};

/// A leave that nobody gave back counts for so long, ms: a run takes a few seconds, and the
/// instance that took it may have died.
const LEAVE_MS: u64 = 10_000;

/// What all instances may send of one suspect at a time.
pub const LEAVE: Allowance = Allowance {
  quota: Quota {
    rate: 0.0,
    burst: 1.0,
  },
  bound: Bound {
    window_ms: LEAVE_MS,
    overage: 0.0,
    slack: 0.0,
  },
};

/// Names the leave of a suspect that was in so many crashes.
pub fn id(content: content::Key, crashes: u32) -> Id {
  Id::of_leave(content.0, crashes)
}

/// The allowance of an id, where it names a leave.
pub fn allow(id: Id) -> Option<Allowance> {
  id.is_leave().then_some(LEAVE)
}

/// Whether a copy may go now.
pub(crate) enum Turn {
  Now,
  /// It is looked at again at this time, ms.
  At(u64),
}

impl State {
  /// Takes the leave of a suspect for one of its copies.
  pub(crate) fn turn(&mut self, ticket: Ticket, crashes: u32) -> Turn {
    let now = self.now;
    let suspicious = crashes as usize >= SUSPICIOUS;
    let Some(request) = self.requests.get_mut(&ticket).filter(|_| suspicious) else {
      return Turn::Now;
    };
    let id = id(request.ask.content, crashes);
    if request.leave == Some(id) {
      return Turn::Now;
    }
    let asked = request.wants.filter(|(wanted, _)| *wanted == id);
    let asked = asked.map(|(_, since)| since);
    match self
      .purse
      .spend(now, (id, &LEAVE), 1, asked, self.instances)
    {
      Spending::Spent => {
        request.leave = Some(id);
        request.wants = None;
        Turn::Now
      }
      Spending::Ask(until) => {
        if asked.is_none() {
          request.wants = Some((id, now));
          self.out.push(Effect::Need);
        }
        Turn::At(until)
      }
      Spending::Over(_) => {
        request.wants = None;
        Turn::At(now + AGAIN_MS)
      }
    }
  }

  /// Gives the leave of a copy back whose run has ended, or that goes nowhere; `end` of the run.
  pub(crate) fn leave_ended(&mut self, ticket: Ticket, end: Option<End>) {
    let request = self.requests.get_mut(&ticket);
    let Some(id) = request.and_then(|request| request.leave.take()) else {
      return;
    };
    if end != Some(End::Crashed) {
      self.purse.give_back(id, 1);
      self.freed = true;
      self.out.push(Effect::Need);
    }
  }

  /// Whether leaves were given back since this was last asked: others wait for them.
  pub fn take_freed(&mut self) -> bool {
    std::mem::take(&mut self.freed)
  }
}
