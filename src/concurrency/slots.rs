//! Slots of brittle servers for the requests of an instance.

use super::{Share, UNGRANTED_PERCENT, have_grants_expired};
use crate::{
  backend::{self, Backend},
  dispatch::{Effect, State},
  life::Life,
  quota::{GRANT_RETRY_MS, Grant, Id, Use},
  request::Ticket,
};
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// How long a request waits for a grant: an answer takes a few ms, and a lost one is requested again.
const GRANT_TIMEOUT_MS: u64 = 150;
/// Time after which the answer to a report counts as lost.
const ANSWER_TIMEOUT_MS: u64 = GRANT_RETRY_MS;
/// Minimum time between two reports of an instance, for each instance of the fleet, and its maximum: the
/// holder answers all of them.
const INTERVAL_PER_INSTANCE_MS: u64 = 1;
const MAX_INTERVAL_MS: u64 = 100;

/// Result of acquiring a slot of a server for a request.
pub(crate) enum Slot {
  Granted,
  /// A slot is requested; to be checked again at this time, in ms.
  Pending(u64),
  /// The server has no free slot for this time, in ms.
  Full(u64),
}

/// Reports of slots to the lease holder. One follows another only when that is answered: the holder
/// grants to others what the latest report does not state, so an earlier answer must not be used after
/// it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reports {
  /// When the last report was sent, in ms.
  sent_at: u64,
  answered: bool,
  /// Whether something is to be reported as soon as that report is answered.
  deferred: bool,
  /// Whether slots were released that other instances may wait for.
  pub(crate) released: bool,
}

impl Reports {
  /// Until when no other report may be sent, unless the last one is answered before; `None` if one may
  /// be sent now.
  pub(crate) fn wait_until(&mut self, now: u64, instances: usize) -> Option<u64> {
    let interval = (instances as u64 * INTERVAL_PER_INSTANCE_MS).min(MAX_INTERVAL_MS);
    let wait = match self.answered {
      true => interval,
      false => interval.max(ANSWER_TIMEOUT_MS),
    };
    let until = self.sent_at + wait;
    let waits = now < until;
    self.deferred |= waits;
    waits.then_some(until)
  }

  fn record_sent(&mut self, now: u64) {
    *self = Self {
      sent_at: now,
      ..Self::default()
    };
  }

  /// Records an answer; returns whether it is that to the last report.
  fn record_answer(&mut self, sent: u64) -> bool {
    let is_latest = sent == self.sent_at;
    self.answered |= is_latest;
    is_latest
  }
}

impl State {
  /// Acquires a slot for a request if the server is brittle. `is_last` means that no other candidate
  /// is left. A slot is in use while the instance runs a request on the server.
  pub(crate) fn acquire_slot(&mut self, ticket: Ticket, key: backend::Key, is_last: bool) -> Slot {
    let now = self.now;
    let Some(backend) = self.backends.get(key) else {
      return Slot::Full(GRANT_RETRY_MS);
    };
    if !self.is_brittle(backend) {
      return Slot::Granted;
    }
    let (id, running) = (Id::for_slots(backend.spec.life()), backend.running);
    let holder_responds = self.quotas.holder_responds(now);
    let own_share = self.own_share(backend);
    let silent_ms = self.quotas.holder_silent_ms(now);
    let (backend, request) = (self.backends.get_mut(key), self.requests.get_mut(&ticket));
    let (Some(backend), Some(request)) = (backend, request) else {
      return Slot::Full(GRANT_RETRY_MS);
    };
    let share = &mut backend.share;
    share.record_need(now);
    let requested = request.pending_unit.filter(|(pending, _)| *pending == id);
    let requested = requested.map(|(_, since)| since);
    if share.has_slot(now, running, own_share, silent_ms) {
      request.pending_unit = None;
      return Slot::Granted;
    }
    if let Some(until) = share.full_until(now) {
      request.pending_unit = None;
      return Slot::Full(until - now);
    }
    let timeout = requested.unwrap_or(now) + GRANT_TIMEOUT_MS;
    if holder_responds && now < timeout {
      if requested.is_none() {
        request.pending_unit = Some((id, now));
        self.out.push(Effect::RequestQuota);
      }
      let retry_at = requested.unwrap_or(now) + GRANT_RETRY_MS;
      if !is_last && now >= retry_at {
        // Try the next candidate instead of waiting any longer.
        return Slot::Full(GRANT_RETRY_MS);
      }
      return Slot::Pending(if is_last { timeout } else { retry_at });
    }
    request.pending_unit = None;
    share.set_full(now + GRANT_RETRY_MS);
    Slot::Full(GRANT_RETRY_MS)
  }

  /// Whether a server counts as brittle.
  pub(crate) fn is_brittle(&self, backend: &Backend) -> bool {
    self
      .brittle
      .contains(backend.spec.life(), &backend.spec.pool)
  }

  /// The number of requests that this instance may run on a server while no holder responds. Where
  /// there are fewer slots than instances, a hash selects the instances that have one. An instance that
  /// has never heard of the others has none.
  fn own_share(&self, backend: &Backend) -> u32 {
    if self.planner_seen_at == 0 {
      return 0;
    }
    let instances = self.instances.max(1) as u64;
    let shared = u64::from(self.slots(backend).max(1)) * u64::from(UNGRANTED_PERCENT);
    let whole = shared / (instances * 100);
    let rest = shared % (instances * 100);
    let draw = xxh3_64_with_seed(&backend.spec.life().bytes(), self.seed) % (instances * 100);
    (whole + u64::from(draw < rest)) as u32
  }

  /// The server whose slot was requested for a request, if it is still a candidate: a grant for it
  /// may have arrived.
  pub(crate) fn requested_server(
    &self,
    ticket: Ticket,
    candidates: &[(backend::Key, u32)],
  ) -> Option<backend::Key> {
    let (id, _) = self.requests.get(&ticket)?.pending_unit?;
    let mut keys = candidates.iter().map(|(key, _)| *key);
    keys.find(|key| {
      let server = self.backends.get(*key).map(|backend| backend.spec.life());
      server.is_some_and(|server| Id::for_slots(server) == id)
    })
  }

  /// Records that a server rejected a request, for want of room or without a reason.
  pub(crate) fn record_rejection(&mut self, key: backend::Key) {
    let brittle = self
      .backends
      .get(key)
      .is_some_and(|backend| self.is_brittle(backend));
    if let Some(backend) = self.backends.get_mut(key).filter(|_| brittle) {
      backend.share.record_rejection(self.now);
      self.slot_reports.released = true;
      self.out.push(Effect::RequestQuota);
    }
  }

  /// Reports a slot at once that has become free at a brittle server, if others may wait for it.
  pub(crate) fn report_free_slot(&mut self, key: backend::Key) {
    let Some(backend) = self.backends.get(key) else {
      return;
    };
    if self.is_brittle(backend) && backend.load.max(backend.running) * 2 >= self.slots(backend) {
      self.slot_reports.released = true;
      self.out.push(Effect::RequestQuota);
    }
  }

  /// What this instance runs on brittle servers, and the slots that it needs there, for a report that
  /// is sent now.
  pub(crate) fn slot_uses(&mut self, now: u64) -> Vec<Use> {
    if !self.brittle.any() {
      return Vec::new();
    }
    let needs = self.needs();
    let ungranted = self.ungranted_slots(now);
    self.slot_reports.record_sent(now);
    let mut uses: BTreeMap<Id, Use> = BTreeMap::new();
    let brittle = &self.brittle;
    let backends = self.backends.iter_mut();
    let bounded =
      backends.filter(|(_, backend)| brittle.contains(backend.spec.life(), &backend.spec.pool));
    for (key, backend) in bounded {
      let ungranted = ungranted.get(&key).copied().unwrap_or_default();
      if ungranted == 0 && !backend.share.is_reported(now, backend.running) {
        continue;
      }
      let id = Id::for_slots(backend.spec.life());
      let used = uses.entry(id).or_insert(Use {
        id,
        used: 0,
        need: needs.get(&id).copied().unwrap_or_default(),
        unreported: 0,
      });
      used.used += i64::from(backend.running.max(ungranted));
      used.unreported += backend.share.report(backend.running, ungranted);
    }
    uses.into_values().collect()
  }

  /// The slots of listed brittle servers that this instance may use without a grant; none while grants
  /// of a holder may be valid.
  fn ungranted_slots(&self, now: u64) -> HashMap<backend::Key, u32> {
    if !have_grants_expired(self.quotas.holder_silent_ms(now)) {
      return HashMap::new();
    }
    let brittle = self
      .listed()
      .filter(|(_, backend)| self.is_brittle(backend));
    brittle
      .map(|(key, backend)| (key, self.own_share(backend)))
      .collect()
  }

  /// Applies the holder's answer to the report that was sent at `sent`, and returns the grants that
  /// are not of slots.
  pub(crate) fn receive_slots(&mut self, sent: u64, grants: Vec<Grant>) -> Vec<Grant> {
    if grants.is_empty() || !self.brittle.any() {
      return grants;
    }
    let now = self.now;
    let is_latest = self.slot_reports.record_answer(sent);
    if std::mem::take(&mut self.slot_reports.deferred) {
      self.slot_reports.released = true;
      self.out.push(Effect::RequestQuota);
    }
    let of_slots: HashMap<Id, Grant> = grants.iter().map(|grant| (grant.id, *grant)).collect();
    let mut applied = Vec::new();
    let earlier = self.running_on_earlier_lives();
    for (key, backend) in &mut self.backends {
      let id = Id::for_slots(backend.spec.life());
      if let Some(grant) = of_slots.get(&id) {
        applied.push(id);
        let limit = u32::try_from(grant.limit).unwrap_or_default();
        let limit = limit.saturating_sub(earlier.get(&id).copied().unwrap_or_default());
        let listed = self.by_id.get(&backend.spec.id) == Some(&key);
        if is_latest && listed {
          backend
            .share
            .receive_grant(now, sent, limit, grant.over_ms.into());
        }
      }
    }
    let others = grants.into_iter();
    others
      .filter(|grant| !applied.contains(&grant.id))
      .collect()
  }

  /// The number of requests that this instance still runs on earlier lives of listed servers.
  fn running_on_earlier_lives(&self) -> HashMap<Id, u32> {
    let backends = self.backends.iter();
    let earlier = backends.filter(|(key, it)| self.by_id.get(&it.spec.id) != Some(key));
    let mut running: HashMap<Id, u32> = HashMap::new();
    for (_, backend) in earlier {
      *running
        .entry(Id::for_slots(backend.spec.life()))
        .or_default() += backend.running;
    }
    running
  }

  /// The slots of all listed servers, by the ids under which they are reported.
  pub(crate) fn slots_by_id(&self) -> BTreeMap<Id, u32> {
    let backends = self.backends.values();
    backends
      .map(|backend| {
        let id = Id::for_slots(backend.spec.life());
        (id, self.slots(backend).max(1))
      })
      .collect()
  }

  /// Records what a server stated at time `at`, in ms. `own` means that it did so to this instance.
  pub(crate) fn receive_brittle(&mut self, server: Life, max: Option<u32>, at: u64, own: bool) {
    if !self.brittle.update(server, max, at, own) {
      return;
    }
    self.update_brittle();
    let backends = self.backends.values();
    let id = backends
      .map(|backend| &backend.spec)
      .find(|spec| spec.life() == server);
    let id = id.map(|spec| spec.id.clone()).unwrap_or_default();
    self.out.push(Effect::BrittleChanged {
      id,
      max_rejections: max,
      own,
    });
    self.dispatch_waiting();
  }

  /// Updates the pools of brittle servers after a statement or the list of servers has changed.
  pub(crate) fn update_brittle(&mut self) {
    if self.brittle.is_empty() {
      return;
    }
    let lives: Vec<Life> = self
      .backends
      .values()
      .map(|backend| backend.spec.life())
      .collect();
    self.brittle.prune(self.now, |life| lives.contains(&life));
    let by_id = self.by_id.values();
    let listed = by_id.filter_map(|key| {
      let spec = &self.backends.get(*key)?.spec;
      Some((spec.life(), spec.pool.as_str()))
    });
    self.brittle.set_pools(listed);
    if !self.brittle.any() {
      for backend in self.backends.values_mut() {
        backend.share = Share::default();
      }
    }
  }
}
