//! Pending claims, grouped by shard and sent through the shard's owner.
//!
//! While one group of a shard is being written, later claims are queued for the next
//! group, so one conditional update carries all that arrived during the previous one.
//! Claims go through the owner only to make the groups larger; if it cannot be reached,
//! an instance writes its claims directly.

use crate::{
  attempt::End,
  claim::{Act, Change, MAX_RESULT_BYTES, Outcome, Progress},
  effect::Effect,
  event::{Call, Tag},
  journal::Entry,
  object::{Kind, Name},
  refusal::Reason,
  request::Ticket,
  state::State,
  update::{self, Value},
  verdict::Verdict,
};
use std::collections::BTreeMap;

/// Maximum number of changes in one group.
const MAX_GROUP_SIZE: usize = 512;
/// Time for which an owner that did not respond is bypassed.
const OWNER_BYPASS_MS: u64 = 2_000;
/// Time after which a group without an outcome is considered lost.
const GROUP_TIMEOUT_MS: u64 = 15_000;
/// Minimum delay before an outcome that could not be recorded is retried.
const RETRY_DELAY_MS: u64 = 1_000;
/// Retry-after time for the caller of a call that is still running.
const RETRY_AFTER_MS: u64 = 1_000;
/// Maximum number of changes kept for a later retry.
const MAX_DEFERRED: usize = 4_096;

/// Who waits for the outcome of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Origin {
  /// A request at this instance.
  Request(Ticket),
  /// No one, but the change must still be recorded.
  Nobody,
  /// Another instance.
  Peer(Call),
}

#[derive(Clone, Debug)]
struct Pending {
  change: Change,
  origin: Origin,
}

#[derive(Clone, Debug)]
struct InFlight {
  group: u64,
  items: Vec<Pending>,
  sent_at: u64,
}

#[derive(Clone, Debug, Default)]
struct ShardQueue {
  pending: Vec<Pending>,
  in_flight: Option<InFlight>,
  bypass_owner_until: u64,
  /// Time in ms before which this instance does not write the shard again.
  next_write_at: u64,
}

/// Pending claims, by shard.
#[derive(Clone, Debug, Default)]
pub struct Claims {
  queues: BTreeMap<u32, ShardQueue>,
  last_group: u64,
  /// Retry time in ms, shard and change, for changes that no one waits for.
  deferred: Vec<(u64, u32, Change)>,
}

impl Claims {
  /// Whether nothing is left to be recorded.
  pub fn is_idle(&self) -> bool {
    self.deferred.is_empty()
      && self
        .queues
        .values()
        .all(|queue| queue.pending.is_empty() && queue.in_flight.is_none())
  }
}

impl State {
  fn shard(&self, key: u64) -> u32 {
    (key % u64::from(self.limits.claim_shards)) as u32
  }

  fn token(&self, ticket: Ticket) -> String {
    format!("{}/{}", self.orderer(), ticket.0)
  }

  /// Claims the key of a call before the call is sent.
  pub fn claim(&mut self, ticket: Ticket, key: u64) {
    let expires = self.now + self.limits.claim_ms;
    let act = Act::Take { expires };
    self.enqueue_change(ticket, key, act, Origin::Request(ticket));
  }

  fn enqueue_change(&mut self, ticket: Ticket, key: u64, act: Act, origin: Origin) {
    let change = Change {
      key,
      token: self.token(ticket),
      act,
    };
    let shard = self.shard(key);
    let queue = self.claims.queues.entry(shard).or_default();
    queue.pending.push(Pending { change, origin });
    self.flush_claims(shard);
  }

  /// Records how a claimed call ended.
  pub fn record_claim_outcome(
    &mut self,
    ticket: Ticket,
    key: u64,
    end: End,
    answer: Option<(u16, Option<String>)>,
  ) {
    let act = match (end, answer) {
      (_, Some((status, body))) => Act::Finish {
        progress: Progress::Done {
          status,
          body: body.filter(|body| body.len() <= MAX_RESULT_BYTES),
        },
      },
      (End::Declined | End::Broken(Verdict::NotRun), None) => Act::Free,
      _ => Act::Finish {
        progress: Progress::Unknown,
      },
    };
    self.enqueue_change(ticket, key, act, Origin::Nobody);
  }

  /// Writes the queued changes of a shard or forwards them to its owner.
  fn flush_claims(&mut self, shard: u32) {
    let owner = self.members.owner(&format!("claims/{shard}"));
    let owner = owner.filter(|owner| *owner != self.me.instance);
    let address = owner.and_then(|owner| self.peer_address(owner));
    let now = self.now;
    let batching_ms = self.limits.claim_gather_ms;
    let Some(queue) = self.claims.queues.get_mut(&shard) else {
      return;
    };
    if queue.in_flight.is_some() || queue.pending.is_empty() {
      return;
    }
    let is_from_peer = |item: &Pending| matches!(item.origin, Origin::Peer(_));
    let bypass_owner = queue.bypass_owner_until > now || queue.pending.iter().any(is_from_peer);
    let address = address.filter(|_| !bypass_owner);
    if address.is_none() {
      // Changes of a busy shard are batched; an idle shard is written at once.
      if queue.next_write_at > now {
        return;
      }
      queue.next_write_at = now + batching_ms;
    }
    let count = queue.pending.len().min(MAX_GROUP_SIZE);
    let items: Vec<Pending> = queue.pending.drain(..count).collect();
    let changes: Vec<Change> = items.iter().map(|item| item.change.clone()).collect();
    self.claims.last_group += 1;
    let group = self.claims.last_group;
    queue.in_flight = Some(InFlight {
      group,
      items,
      sent_at: now,
    });
    match address {
      Some(address) => self.emit(Effect::Claim {
        address,
        shard,
        group,
        changes,
      }),
      None => {
        self.log(Entry::Claimed {
          grouped: count as u32,
        });
        self.emit(Effect::Update {
          tag: Tag::Claims { shard, group },
          name: Name::new(Kind::Claims, shard.to_string()),
          change: Some(update::Change::Claims { changes, now }),
          urgent: true,
        });
      }
    }
  }

  /// Queues the claim changes of another instance.
  pub fn on_claims_requested(&mut self, call: Call, shard: u32, changes: Vec<Change>) {
    if changes.is_empty() || shard >= self.limits.claim_shards {
      self.emit(Effect::ClaimAnswer {
        call,
        outcomes: Vec::new(),
      });
      return;
    }
    let queue = self.claims.queues.entry(shard).or_default();
    let items = changes.into_iter().map(|change| Pending {
      change,
      origin: Origin::Peer(call),
    });
    queue.pending.extend(items);
    self.flush_claims(shard);
  }

  fn take_group(&mut self, shard: u32, group: u64) -> Option<Vec<Pending>> {
    let queue = self.claims.queues.get_mut(&shard)?;
    let is_current = queue.in_flight.as_ref()?.group == group;
    is_current
      .then(|| queue.in_flight.take())?
      .map(|in_flight| in_flight.items)
  }

  /// Processes the outcome of an update of a shard.
  pub fn on_claims_updated(&mut self, shard: u32, group: u64, outcome: &update::Outcome) {
    let Some(items) = self.take_group(shard, group) else {
      return;
    };
    let value = match outcome {
      update::Outcome::Applied(stored) => Some(&stored.value),
      _ => None,
    };
    let outcomes = items
      .iter()
      .map(|item| match value {
        Some(Value::Claims(claims)) => claims.outcome(&item.change),
        _ => Outcome::Unavailable,
      })
      .collect();
    self.finish_group(shard, items, outcomes);
  }

  /// Processes the owner's response; without one, this instance writes the changes directly.
  pub fn on_claim_answered(&mut self, shard: u32, group: u64, outcomes: Option<Vec<Outcome>>) {
    let Some(items) = self.take_group(shard, group) else {
      return;
    };
    match outcomes.filter(|outcomes| outcomes.len() == items.len()) {
      Some(outcomes) => self.finish_group(shard, items, outcomes),
      None => {
        let until = self.now + OWNER_BYPASS_MS;
        if let Some(queue) = self.claims.queues.get_mut(&shard) {
          queue.bypass_owner_until = until;
          queue.pending.splice(..0, items);
        }
        self.flush_claims(shard);
      }
    }
  }

  fn finish_group(&mut self, shard: u32, items: Vec<Pending>, outcomes: Vec<Outcome>) {
    let mut answers: BTreeMap<Call, Vec<Outcome>> = BTreeMap::new();
    for (item, outcome) in items.into_iter().zip(outcomes) {
      match item.origin {
        Origin::Peer(call) => answers.entry(call).or_default().push(outcome),
        Origin::Request(ticket) => self.finish_claim(ticket, shard, item.change, outcome),
        Origin::Nobody if outcome == Outcome::Unavailable => self.defer(shard, item.change),
        Origin::Nobody => {}
      }
    }
    for (call, outcomes) in answers {
      self.emit(Effect::ClaimAnswer { call, outcomes });
    }
    self.flush_claims(shard);
  }

  fn finish_claim(&mut self, ticket: Ticket, shard: u32, change: Change, outcome: Outcome) {
    let request = self.requests.get(&ticket);
    let in_time = request.is_some_and(|request| request.descriptor.deadline > self.now);
    match outcome {
      Outcome::Granted if in_time => self.call_service(ticket),
      Outcome::Granted | Outcome::Unavailable => {
        let free = Change {
          act: Act::Free,
          ..change
        };
        self.defer(shard, free);
        let reason = match outcome {
          Outcome::Granted => Reason::TooLate,
          _ => Reason::PlatformUnavailable,
        };
        self.refuse(ticket, reason, RETRY_AFTER_MS);
      }
      Outcome::Full => self.refuse(ticket, Reason::ClaimsFull, RETRY_AFTER_MS),
      Outcome::Held(Progress::Done { status, body }) => {
        self.requests.remove(&ticket);
        self.emit(Effect::Replay {
          ticket,
          status,
          body,
        });
      }
      Outcome::Held(progress) => self.refuse_held(ticket, &progress),
    }
  }

  /// Refuses a request whose key is held by another call, which may have run.
  fn refuse_held(&mut self, ticket: Ticket, progress: &Progress) {
    if let Some(request) = self.requests.get_mut(&ticket) {
      request.verdict = Verdict::MayHaveRun;
    }
    let retry_after_ms = match progress {
      Progress::Taken => RETRY_AFTER_MS,
      _ => 0,
    };
    self.refuse(ticket, Reason::Claimed, retry_after_ms);
  }

  fn defer(&mut self, shard: u32, change: Change) {
    if self.claims.deferred.len() < MAX_DEFERRED {
      let at = self.now + RETRY_DELAY_MS + self.random(RETRY_DELAY_MS);
      self.claims.deferred.push((at, shard, change));
    }
  }

  /// Retries deferred changes and abandons groups that were lost.
  pub fn retry_claims(&mut self) {
    let now = self.now;
    let deferred = std::mem::take(&mut self.claims.deferred);
    let (due, later): (Vec<_>, Vec<_>) = deferred.into_iter().partition(|(at, ..)| *at <= now);
    self.claims.deferred = later;
    for (_, shard, change) in due {
      let queue = self.claims.queues.entry(shard).or_default();
      queue.pending.push(Pending {
        change,
        origin: Origin::Nobody,
      });
    }
    let lost: Vec<(u32, u64)> = self
      .claims
      .queues
      .iter()
      .filter_map(|(shard, queue)| Some((*shard, queue.in_flight.as_ref()?)))
      .filter(|(_, in_flight)| in_flight.sent_at + GROUP_TIMEOUT_MS < now)
      .map(|(shard, in_flight)| (shard, in_flight.group))
      .collect();
    for (shard, group) in lost {
      self.on_claims_updated(shard, group, &update::Outcome::Unavailable);
    }
  }

  /// Writes queued changes whose batching delay is over, in shards without a group in flight.
  pub fn flush_due_claims(&mut self) {
    let due = |queue: &ShardQueue| !queue.pending.is_empty() && queue.in_flight.is_none();
    let queues = self.claims.queues.iter();
    let due: Vec<u32> = queues
      .filter(|(_, queue)| due(queue))
      .map(|(shard, _)| *shard)
      .collect();
    for shard in due {
      self.flush_claims(shard);
    }
  }
}
