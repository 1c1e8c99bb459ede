//! Leaves of suspects: of a request that may crash servers one copy runs over all instances at any
//! time.
//!
//! Load pattern: callers repeat such a request at all instances, and its copies wait together for
//! the one server that is left. So from the second crash on each send takes the one unit of a quota
//! that all instances share, and gives it back when its run has ended without a crash. After a
//! crash nothing is given back: the next stage has a unit of its own, for those who know of the
//! crash. A server takes one suspect at a time in the same way, whichever it is: nothing tells two
//! apart that end it together.

use super::SUSPICIOUS;
use crate::{
  ask::Ticket,
  content,
  dispatch::{Effect, End, State},
  life::Life,
  quota::{Allowance, Bound, Id, Quota, Spending},
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

/// Names the place of suspects at a server.
fn place(server: Life) -> Id {
  Id::of_leave(u128::from_le_bytes(server.bytes()), PLACES)
}

/// No stage: after so many crashes nobody is a suspect.
const PLACES: u32 = 0;

/// The allowance of an id, where it names a leave.
pub fn allowance(id: Id) -> Option<Allowance> {
  id.is_leave().then_some(LEAVE)
}

/// Whether a copy may go now.
pub(crate) enum Permit {
  Granted,
  /// The leave is asked for; it is looked at again at this time, ms.
  Requested(u64),
  /// Another one has the leave.
  Taken,
}

impl State {
  /// Takes the leave of a suspect for one of its copies.
  pub(crate) fn acquire_permit(&mut self, ticket: Ticket, crashes: u32) -> Permit {
    let request = self.requests.get(&ticket);
    let id = request.map(|request| id(request.ask.content, crashes));
    self.take_leave(ticket, id.filter(|_| crashes as usize >= SUSPICIOUS))
  }

  /// Takes the place of suspects at a server for a copy of one.
  pub(crate) fn acquire_server_permit(
    &mut self,
    ticket: Ticket,
    server: Life,
    crashes: u32,
  ) -> Permit {
    // Without a holder a leave is had by chance, and two of them hardly ever.
    let wanted = crashes as usize >= SUSPICIOUS && self.purse.answers(self.now);
    self.take_leave(ticket, wanted.then(|| place(server)))
  }

  /// Takes a leave, where one is wanted and the copy does not have it.
  fn take_leave(&mut self, ticket: Ticket, id: Option<Id>) -> Permit {
    let now = self.now;
    let (Some(id), Some(request)) = (id, self.requests.get_mut(&ticket)) else {
      return Permit::Granted;
    };
    if request.leaves.contains(&id) {
      return Permit::Granted;
    }
    let asked = request.wants.filter(|(wanted, _)| *wanted == id);
    let asked = asked.map(|(_, since)| since);
    match self
      .purse
      .spend(now, (id, &LEAVE), 1, asked, self.instances)
    {
      Spending::Spent => {
        request.leaves.push(id);
        request.wants = None;
        Permit::Granted
      }
      Spending::Ask(until) => {
        if asked.is_none() {
          request.wants = Some((id, now));
          self.out.push(Effect::Need);
        }
        Permit::Requested(until)
      }
      Spending::Over(_) => {
        request.wants = None;
        Permit::Taken
      }
    }
  }

  /// Gives the leaves of a copy back whose run has ended, or that goes nowhere; `end` of the run.
  pub(crate) fn release_permits(&mut self, ticket: Ticket, end: Option<End>) {
    let request = self.requests.get_mut(&ticket);
    let leaves = request.map(|request| std::mem::take(&mut request.leaves));
    let leaves = leaves.unwrap_or_default();
    if end == Some(End::Crashed) || leaves.is_empty() {
      return;
    }
    for id in leaves {
      self.purse.give_back(id, 1);
    }
    self.freed = true;
    self.out.push(Effect::Need);
  }

  /// Whether leaves were given back since this was last asked: others wait for them.
  pub fn take_freed(&mut self) -> bool {
    std::mem::take(&mut self.freed)
  }
}
