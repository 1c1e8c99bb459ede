//! Permits for suspects: at most one copy of a request that may crash servers runs at a time over
//! all instances.
//!
//! Load pattern: callers retry such a request at all instances, and its copies wait together for
//! the one server that is left. So from the second crash on, each send acquires the only unit of a
//! quota that all instances share, and releases it when its run has ended without a crash. After a
//! crash the unit is not released: the next crash count has a unit of its own, for instances that
//! know of the crash. In the same way a server runs one suspect at a time, because nothing
//! distinguishes two suspects that crash it together.

use super::SUSPECT_CRASHES;
use crate::{
  content,
  dispatch::{Effect, End, State},
  life::Life,
  quota::{Allowance, Bound, Decision, Id, Quota},
  request::Ticket,
};

/// A permit that is not released expires after this time: a run takes a few seconds, and the
/// instance that holds the permit may have died.
const PERMIT_TTL_MS: u64 = 10_000;

/// Allows one copy of a suspect at a time over all instances.
pub const ALLOWANCE: Allowance = Allowance {
  quota: Quota {
    rate: 0.0,
    burst: 1.0,
  },
  bound: Bound {
    window_ms: PERMIT_TTL_MS,
    overage: 0.0,
    slack: 0.0,
  },
};

/// Returns the quota id of the permit for a suspect with this number of crashes.
pub fn id(content: content::Key, crashes: u32) -> Id {
  Id::for_permit(content.0, crashes)
}

/// Returns the quota id of the permit to run a suspect on a server.
fn server_permit_id(server: Life) -> Id {
  Id::for_permit(u128::from_le_bytes(server.bytes()), SERVER_PERMIT)
}

/// Takes the place of the number of crashes; no suspect has 0 crashes.
const SERVER_PERMIT: u32 = 0;

/// Returns the allowance of a permit; `None` if the id is not that of a permit.
pub fn allowance(id: Id) -> Option<Allowance> {
  id.is_permit().then_some(ALLOWANCE)
}

/// Result of acquiring a permit for a copy of a suspect.
pub(crate) enum Permit {
  Granted,
  /// Requested from the quota holder; to be checked again at this time, in ms.
  Requested(u64),
  /// Held by another copy or suspect.
  Taken,
}

impl State {
  /// Acquires the permit of a suspect for one of its copies.
  pub(crate) fn acquire_permit(&mut self, ticket: Ticket, crashes: u32) -> Permit {
    let request = self.requests.get(&ticket);
    let id = request.map(|request| id(request.descriptor.content, crashes));
    self.acquire(ticket, id.filter(|_| crashes as usize >= SUSPECT_CRASHES))
  }

  /// Acquires the permit to run a copy of a suspect on a server.
  pub(crate) fn acquire_server_permit(
    &mut self,
    ticket: Ticket,
    server: Life,
    crashes: u32,
  ) -> Permit {
    // Without a quota holder permits are granted at random, and a copy rarely gets two of them.
    let required = crashes as usize >= SUSPECT_CRASHES && self.quotas.holder_responds(self.now);
    self.acquire(ticket, required.then(|| server_permit_id(server)))
  }

  /// Acquires a permit unless `id` is `None` or the copy already holds it.
  fn acquire(&mut self, ticket: Ticket, id: Option<Id>) -> Permit {
    let now = self.now;
    let (Some(id), Some(request)) = (id, self.requests.get_mut(&ticket)) else {
      return Permit::Granted;
    };
    if request.permits.contains(&id) {
      return Permit::Granted;
    }
    let requested = request.pending_unit.filter(|(pending, _)| *pending == id);
    let requested = requested.map(|(_, since)| since);
    match self
      .quotas
      .acquire(now, (id, &ALLOWANCE), 1, requested, self.instances)
    {
      Decision::Granted => {
        request.permits.push(id);
        request.pending_unit = None;
        Permit::Granted
      }
      Decision::Pending(until) => {
        if requested.is_none() {
          request.pending_unit = Some((id, now));
          self.out.push(Effect::RequestQuota);
        }
        Permit::Requested(until)
      }
      Decision::Exceeded(_) => {
        request.pending_unit = None;
        Permit::Taken
      }
    }
  }

  /// Releases the permits of a copy after its run has ended with `end`, or if it is not sent
  /// anywhere (`None`). After a crash they are not released.
  pub(crate) fn release_permits(&mut self, ticket: Ticket, end: Option<End>) {
    let request = self.requests.get_mut(&ticket);
    let permits = request.map(|request| std::mem::take(&mut request.permits));
    let permits = permits.unwrap_or_default();
    if end == Some(End::Crashed) || permits.is_empty() {
      return;
    }
    for id in permits {
      self.quotas.refund(id, 1);
    }
    self.permits_released = true;
    self.out.push(Effect::RequestQuota);
  }

  /// Returns whether permits that other copies wait for were released since the last call.
  pub fn take_permits_released(&mut self) -> bool {
    std::mem::take(&mut self.permits_released)
  }
}
