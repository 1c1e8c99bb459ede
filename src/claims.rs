//! Claims on their way: grouped by shard, through the shard's owner.
//!
//! While one group of a shard is being written, later claims gather for the
//! next, so one conditional update carries all that arrived during the one
//! before. The owner is asked first only to make the groups larger; when it
//! cannot be reached an instance writes for itself.

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

/// Most items in one group.
const GROUP: usize = 512;
/// Time for which an owner that did not answer is passed over, ms.
const BYPASS_MS: u64 = 2_000;
/// Time after which a group that has no outcome counts as lost, ms.
const LOST_MS: u64 = 15_000;
/// Pause before an outcome that could not be recorded is tried again, ms.
const RETRY_MS: u64 = 1_000;
/// Time after which the caller of a running call may ask again, ms.
const RETRY_AFTER_MS: u64 = 1_000;
/// Outcomes kept for a later try.
const DEFERRED: usize = 4_096;

/// Who waits for an item's outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Origin {
  /// A request of this instance.
  Request(Ticket),
  /// Nobody; the outcome is to be recorded all the same.
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
struct Flight {
  group: u64,
  items: Vec<Pending>,
  since: u64,
}

#[derive(Clone, Debug, Default)]
struct Desk {
  queue: Vec<Pending>,
  flight: Option<Flight>,
  bypass_until: u64,
  /// Time of the next write, ms.
  next_at: u64,
}

/// Claims on their way, by shard.
#[derive(Clone, Debug, Default)]
pub struct Claims {
  desks: BTreeMap<u32, Desk>,
  next: u64,
  /// Changes nobody waits for, with the time of their next try.
  deferred: Vec<(u64, u32, Change)>,
}

impl Claims {
  /// Whether anything is still to be recorded.
  pub fn is_idle(&self) -> bool {
    self.deferred.is_empty()
      && self
        .desks
        .values()
        .all(|desk| desk.queue.is_empty() && desk.flight.is_none())
  }
}

impl State {
  fn shard(&self, key: u64) -> u32 {
    (key % u64::from(self.limits.claim_shards)) as u32
  }

  fn token(&self, ticket: Ticket) -> String {
    format!("{}/{}", self.orderer(), ticket.0)
  }

  /// Claims the key of a call before it goes out.
  pub fn claim(&mut self, ticket: Ticket, key: u64) {
    let expires = self.now + self.limits.claim_ms;
    let act = Act::Take { expires };
    self.queue_claim(ticket, key, act, Origin::Request(ticket));
  }

  fn queue_claim(&mut self, ticket: Ticket, key: u64, act: Act, origin: Origin) {
    let change = Change {
      key,
      token: self.token(ticket),
      act,
    };
    let shard = self.shard(key);
    let desk = self.claims.desks.entry(shard).or_default();
    desk.queue.push(Pending { change, origin });
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
    self.queue_claim(ticket, key, act, Origin::Nobody);
  }

  /// Writes or forwards what has gathered for a shard.
  fn flush_claims(&mut self, shard: u32) {
    let owner = self.members.owner(&format!("claims/{shard}"));
    let owner = owner.filter(|owner| *owner != self.me.instance);
    let address = owner.and_then(|owner| self.peer_address(owner));
    let now = self.now;
    let gather = self.limits.claim_gather_ms;
    let Some(desk) = self.claims.desks.get_mut(&shard) else {
      return;
    };
    if desk.flight.is_some() || desk.queue.is_empty() {
      return;
    }
    let for_peer = |item: &Pending| matches!(item.origin, Origin::Peer(_));
    let bypass = desk.bypass_until > now || desk.queue.iter().any(for_peer);
    let address = address.filter(|_| !bypass);
    if address.is_none() {
      // A busy shard gathers; a quiet one is written at once.
      if desk.next_at > now {
        return;
      }
      desk.next_at = now + gather;
    }
    let count = desk.queue.len().min(GROUP);
    let items: Vec<Pending> = desk.queue.drain(..count).collect();
    let changes: Vec<Change> = items.iter().map(|item| item.change.clone()).collect();
    self.claims.next += 1;
    let group = self.claims.next;
    desk.flight = Some(Flight {
      group,
      items,
      since: now,
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

  /// Takes up another instance's claims.
  pub fn on_claims_requested(&mut self, call: Call, shard: u32, changes: Vec<Change>) {
    if changes.is_empty() || shard >= self.limits.claim_shards {
      self.emit(Effect::ClaimAnswer {
        call,
        outcomes: Vec::new(),
      });
      return;
    }
    let desk = self.claims.desks.entry(shard).or_default();
    let items = changes.into_iter().map(|change| Pending {
      change,
      origin: Origin::Peer(call),
    });
    desk.queue.extend(items);
    self.flush_claims(shard);
  }

  fn landed(&mut self, shard: u32, group: u64) -> Option<Vec<Pending>> {
    let desk = self.claims.desks.get_mut(&shard)?;
    let current = desk.flight.as_ref()?.group == group;
    current
      .then(|| desk.flight.take())?
      .map(|flight| flight.items)
  }

  /// Takes up the end of a shard's update.
  pub fn on_claims_updated(&mut self, shard: u32, group: u64, outcome: &update::Outcome) {
    let Some(items) = self.landed(shard, group) else {
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
    self.claims_ended(shard, items, outcomes);
  }

  /// Takes up the owner's answer; without one this instance writes for itself.
  pub fn on_claim_answered(&mut self, shard: u32, group: u64, outcomes: Option<Vec<Outcome>>) {
    let Some(items) = self.landed(shard, group) else {
      return;
    };
    match outcomes.filter(|outcomes| outcomes.len() == items.len()) {
      Some(outcomes) => self.claims_ended(shard, items, outcomes),
      None => {
        let until = self.now + BYPASS_MS;
        if let Some(desk) = self.claims.desks.get_mut(&shard) {
          desk.bypass_until = until;
          desk.queue.splice(..0, items);
        }
        self.flush_claims(shard);
      }
    }
  }

  fn claims_ended(&mut self, shard: u32, items: Vec<Pending>, outcomes: Vec<Outcome>) {
    let mut answers: BTreeMap<Call, Vec<Outcome>> = BTreeMap::new();
    for (item, outcome) in items.into_iter().zip(outcomes) {
      match item.origin {
        Origin::Peer(call) => answers.entry(call).or_default().push(outcome),
        Origin::Request(ticket) => self.claim_ended(ticket, shard, item.change, outcome),
        Origin::Nobody if outcome == Outcome::Unavailable => self.defer(shard, item.change),
        Origin::Nobody => {}
      }
    }
    for (call, outcomes) in answers {
      self.emit(Effect::ClaimAnswer { call, outcomes });
    }
    self.flush_claims(shard);
  }

  fn claim_ended(&mut self, ticket: Ticket, shard: u32, change: Change, outcome: Outcome) {
    let waiting = self.requests.get(&ticket);
    let timely = waiting.is_some_and(|request| request.descriptor.deadline > self.now);
    match outcome {
      Outcome::Granted if timely => self.call_service(ticket),
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

  /// The key is another call's, which may have run.
  fn refuse_held(&mut self, ticket: Ticket, progress: &Progress) {
    if let Some(request) = self.requests.get_mut(&ticket) {
      request.verdict = Verdict::MayHaveRun;
    }
    let wait = match progress {
      Progress::Taken => RETRY_AFTER_MS,
      _ => 0,
    };
    self.refuse(ticket, Reason::Claimed, wait);
  }

  fn defer(&mut self, shard: u32, change: Change) {
    if self.claims.deferred.len() < DEFERRED {
      let at = self.now + RETRY_MS + self.random(RETRY_MS);
      self.claims.deferred.push((at, shard, change));
    }
  }

  /// Tries deferred changes again and gives up groups that were lost.
  pub fn retry_claims(&mut self) {
    let now = self.now;
    let deferred = std::mem::take(&mut self.claims.deferred);
    let (due, later): (Vec<_>, Vec<_>) = deferred.into_iter().partition(|(at, ..)| *at <= now);
    self.claims.deferred = later;
    for (_, shard, change) in due {
      let desk = self.claims.desks.entry(shard).or_default();
      desk.queue.push(Pending {
        change,
        origin: Origin::Nobody,
      });
    }
    let lost: Vec<(u32, u64)> = self
      .claims
      .desks
      .iter()
      .filter_map(|(shard, desk)| Some((*shard, desk.flight.as_ref()?)))
      .filter(|(_, flight)| flight.since + LOST_MS < now)
      .map(|(shard, flight)| (shard, flight.group))
      .collect();
    for (shard, group) in lost {
      self.on_claims_updated(shard, group, &update::Outcome::Unavailable);
    }
  }

  /// Writes what has gathered long enough.
  pub fn flush_due_claims(&mut self) {
    let due = |desk: &Desk| !desk.queue.is_empty() && desk.flight.is_none();
    let desks = self.claims.desks.iter();
    let due: Vec<u32> = desks
      .filter(|(_, desk)| due(desk))
      .map(|(shard, _)| *shard)
      .collect();
    for shard in due {
      self.flush_claims(shard);
    }
  }
}
