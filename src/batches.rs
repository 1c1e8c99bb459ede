//! Execution of batches.
//!
//! A batch is stored in the platform. The owner of its id runs the items and records
//! their outcomes, several in one update. Items may run again after an owner is lost;
//! an item keeps its first recorded outcome.

use crate::{
  batch::{Batch, Change, Item},
  effect::Effect,
  event::Tag,
  fact::{Body, Key, Version},
  group,
  object::{Kind, Name},
  request::{Class, Ticket},
  state::State,
  update::{self, Outcome, Value},
};
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of items of one batch that run concurrently.
const MAX_CONCURRENT_ITEMS: usize = 4;
/// Interval between two updates that record outcomes.
const RECORD_INTERVAL_MS: u64 = 250;
/// Delay before a failed platform call is retried.
const RETRY_DELAY_MS: u64 = 1_000;
/// Time after which a missing response is considered lost.
const RESPONSE_TIMEOUT_MS: u64 = 15_000;
/// Delay before a refused item is retried.
const ITEM_RETRY_DELAY_MS: u64 = 500;
/// Items run as interactive requests once at most this multiple of the estimated run time
/// is left before the deadline.
const DEADLINE_MARGIN: u64 = 3;
/// Time after its deadline for which a finished batch can still be polled.
const RETENTION_MS: u64 = 86_400_000;
/// Estimated run time of an item of a model without measurements.
const DEFAULT_ITEM_MS: u64 = 1_000;

/// State of a batch that this instance knows.
#[derive(Clone, Debug, Default)]
struct Entry {
  finished: bool,
  /// The batch; `None` until its owner has read it.
  batch: Option<Batch>,
  running: BTreeSet<usize>,
  /// Outcomes that are not recorded yet.
  outcomes: BTreeMap<usize, Item>,
  /// Outcomes in the pending update.
  writing: BTreeMap<usize, Item>,
  /// Time in ms of the next platform call.
  next_call_at: u64,
  /// Time in ms at which the pending platform call started; `None` if no call is pending.
  call_started_at: Option<u64>,
  /// Time in ms before which no item is started.
  paused_until: u64,
  /// Version last read by the owner, and the time in ms at which the batch is removed.
  retention: Option<(u64, u64)>,
}

/// Batches by id.
#[derive(Clone, Debug, Default)]
pub struct Batches {
  entries: BTreeMap<String, Entry>,
}

impl Batches {
  /// Whether no item runs and no outcome is left to be recorded.
  pub fn is_idle(&self) -> bool {
    self.entries.values().all(|entry| {
      entry.running.is_empty() && entry.outcomes.is_empty() && entry.writing.is_empty()
    })
  }
}

fn owner_key(id: &str) -> String {
  format!("batch/{id}")
}

impl State {
  /// Submits, polls or cancels a batch for a caller.
  pub fn on_batch_requested(&mut self, ticket: Ticket, id: String, change: Option<Change>) {
    self.emit(Effect::Update {
      tag: Tag::Caller { ticket },
      name: Name::new(Kind::Batch, id),
      change: change.map(update::Change::Batch),
      urgent: true,
    });
  }

  /// Responds to a caller's batch call.
  pub fn on_caller_updated(&mut self, ticket: Ticket, name: &Name, outcome: Outcome) {
    if let Outcome::Applied(stored) | Outcome::Rejected(_, stored) = &outcome
      && let Value::Batch(batch) = &stored.value
      && !batch.prompts.is_empty()
    {
      self.publish_batch(&name.name, stored.version, batch);
    }
    self.emit(Effect::BatchAnswer { ticket, outcome });
  }

  fn publish_batch(&mut self, id: &str, version: u64, batch: &Batch) {
    let finished = batch.finished();
    let key = Key::Batch(id.into());
    let published = self.facts.get(&key).map(|(body, _)| body.clone());
    if published != Some(Body::Batch { finished }) {
      self.publish(key, Version(version, 0), Body::Batch { finished });
    }
    if let Some(entry) = self.batches.entries.get_mut(id)
      && entry.batch.is_some()
    {
      entry.batch = Some(batch.clone());
    }
  }

  /// Records that a batch exists and whether it is finished.
  pub fn learn_batch(&mut self, id: &str, finished: bool) {
    let entry = self.batches.entries.entry(id.into()).or_default();
    entry.finished = finished;
    if finished {
      entry.batch = None;
    }
  }

  /// Processes the platform's list of batches; finished batches that are no longer listed
  /// were removed.
  pub fn on_batches_listed(&mut self, listed: Vec<(String, u64)>) {
    let names: BTreeSet<&String> = listed.iter().map(|(id, _)| id).collect();
    let is_kept = |id: &String, entry: &Entry| !entry.finished || names.contains(id);
    self.batches.entries.retain(|id, entry| is_kept(id, entry));
    for (id, _) in listed {
      let is_owner = self.owns(&owner_key(&id));
      let entry = self.batches.entries.entry(id).or_default();
      if is_owner && entry.retention.is_none() {
        // The owner reads the batch once, to learn when it may be removed.
        entry.finished = false;
      }
    }
  }

  /// Reads and runs the batches of this instance and records outcomes.
  pub fn run_batches(&mut self) {
    let unfinished: Vec<String> = self
      .batches
      .entries
      .iter()
      .filter(|(_, entry)| !entry.finished || !entry.outcomes.is_empty())
      .map(|(id, _)| id.clone())
      .collect();
    self.remove_expired();
    for id in unfinished {
      let is_owner = self.owns(&owner_key(&id)) && !self.stopping;
      self.record_items(&id);
      if is_owner {
        self.read_batch(&id);
        self.start_items(&id);
      } else {
        self.release_batch(&id);
      }
    }
  }

  /// Removes finished batches of this instance that can no longer be polled.
  fn remove_expired(&mut self) {
    let now = self.now;
    let expired: Vec<(String, u64)> = self
      .batches
      .entries
      .iter()
      .filter(|(_, entry)| entry.finished && entry.outcomes.is_empty())
      .filter_map(|(id, entry)| Some((id.clone(), entry.retention?)))
      .filter(|(_, (_, until))| *until <= now)
      .map(|(id, (version, _))| (id, version))
      .collect();
    for (id, version) in expired {
      self.batches.entries.remove(&id);
      self.emit(Effect::Remove {
        name: Name::new(Kind::Batch, id),
        version,
      });
    }
  }

  fn release_batch(&mut self, id: &str) {
    if let Some(entry) = self.batches.entries.get_mut(id)
      && entry.running.is_empty()
      && entry.outcomes.is_empty()
    {
      entry.batch = None;
    }
  }

  fn read_batch(&mut self, id: &str) {
    let now = self.now;
    let Some(entry) = self.batches.entries.get_mut(id) else {
      return;
    };
    if entry.batch.is_some() || !try_start_call(entry, now) {
      return;
    }
    self.update_batch(id, None);
  }

  fn update_batch(&mut self, id: &str, change: Option<Change>) {
    self.emit(Effect::Update {
      tag: Tag::Batch { id: id.into() },
      name: Name::new(Kind::Batch, id),
      change: change.map(update::Change::Batch),
      urgent: false,
    });
  }

  fn record_items(&mut self, id: &str) {
    let now = self.now;
    let Some(entry) = self.batches.entries.get_mut(id) else {
      return;
    };
    if entry.outcomes.is_empty() || !try_start_call(entry, now) {
      return;
    }
    entry.writing.append(&mut entry.outcomes);
    let outcomes = entry.writing.clone().into_iter().collect();
    self.update_batch(id, Some(Change::Record(outcomes)));
  }

  /// Processes the outcome of a read or update of a batch.
  pub fn on_batch_updated(&mut self, id: &str, outcome: Outcome) {
    let now = self.now;
    let Some(entry) = self.batches.entries.get_mut(id) else {
      return;
    };
    entry.call_started_at = None;
    match outcome {
      Outcome::Unavailable => {
        entry.outcomes.append(&mut entry.writing);
        entry.next_call_at = now + RETRY_DELAY_MS;
      }
      Outcome::Rejected(..) => {
        entry.finished = true;
        entry.writing.clear();
      }
      Outcome::Applied(stored) => {
        entry.writing.clear();
        entry.next_call_at = now + RECORD_INTERVAL_MS;
        let Value::Batch(batch) = stored.value else {
          return;
        };
        if batch.prompts.is_empty() {
          entry.finished = true;
          return;
        }
        entry.retention = Some((stored.version, batch.deadline + RETENTION_MS));
        entry.finished = batch.finished();
        entry.batch = (!entry.finished).then(|| batch.clone());
        self.publish_batch(id, stored.version, &batch);
      }
    }
  }

  fn start_items(&mut self, id: &str) {
    let Some(entry) = self.batches.entries.get(id) else {
      return;
    };
    let Some(batch) = entry.batch.clone() else {
      return;
    };
    let startable: Vec<usize> = batch
      .waiting()
      .into_iter()
      .filter(|item_index| {
        !entry.running.contains(item_index) && !entry.outcomes.contains_key(item_index)
      })
      .filter(|item_index| !entry.writing.contains_key(item_index))
      .collect();
    let free_slots = MAX_CONCURRENT_ITEMS.saturating_sub(entry.running.len());
    let paused = entry.paused_until > self.now;
    if self.now >= batch.deadline {
      let reason = "deadline".to_string();
      let refused = startable.into_iter().map(|item_index| {
        let reason = reason.clone();
        (item_index, Item::Refused { reason })
      });
      self.end_items(id, refused.collect());
      return;
    }
    let Some(class) = self.batch_class(&batch) else {
      return;
    };
    if paused {
      return;
    }
    for item_index in startable.into_iter().take(free_slots) {
      self.start_item(id, item_index, class, &batch);
    }
  }

  /// Class with which items may run now, or `None` if they must wait. Items run as batch
  /// requests while a replica is ready and no interactive request waits, and as
  /// interactive requests once the deadline leaves no time to wait for that.
  fn batch_class(&mut self, batch: &Batch) -> Option<Class> {
    let spec = self.catalog.models.get(&batch.model)?;
    let policy = self.effective_policy(spec, batch.caller);
    let key = self.group(&batch.model, &policy);
    if self.now + self.batch_estimate(key, batch) * DEADLINE_MARGIN >= batch.deadline {
      return Some(Class::Interactive);
    }
    let mut waiting = self.groups[key].queue.iter();
    let is_quiet = !waiting.any(|(class, ..)| *class == Class::Interactive);
    (is_quiet && self.has_ready(key)).then_some(Class::Batch)
  }

  fn batch_estimate(&self, key: group::Key, batch: &Batch) -> u64 {
    let group = &self.groups[key];
    let item = match group.service_ms {
      0 => DEFAULT_ITEM_MS,
      measured => measured,
    };
    let rounds = batch.waiting().len().div_ceil(MAX_CONCURRENT_ITEMS) as u64;
    let load = self.load_estimate(&batch.model, crate::report::Tier::Remote);
    group.cold_ms.max(load) + rounds * item
  }

  fn start_item(&mut self, id: &str, item_index: usize, class: Class, batch: &Batch) {
    let Some(prompt) = batch.prompts.get(item_index).cloned() else {
      return;
    };
    if let Some(entry) = self.batches.entries.get_mut(id) {
      entry.running.insert(item_index);
    }
    self.emit(Effect::RunItem {
      id: id.into(),
      index: item_index,
      class,
      model: batch.model.clone(),
      prompt,
      max_tokens: batch.max_tokens,
      deadline: batch.deadline,
      caller: batch.caller,
    });
  }

  /// Processes the end of an item; `Item::Waiting` means that it is retried.
  pub fn on_item_ended(&mut self, id: &str, item_index: usize, item: Item) {
    let paused_until = self.now + ITEM_RETRY_DELAY_MS;
    let Some(entry) = self.batches.entries.get_mut(id) else {
      return;
    };
    entry.running.remove(&item_index);
    if item == Item::Waiting {
      entry.paused_until = paused_until;
    } else {
      self.end_items(id, vec![(item_index, item)]);
    }
  }

  fn end_items(&mut self, id: &str, items: Vec<(usize, Item)>) {
    if let Some(entry) = self.batches.entries.get_mut(id) {
      entry.outcomes.extend(items);
    }
  }
}

/// Returns whether a platform call may start now, and marks it as started if so.
fn try_start_call(entry: &mut Entry, now: u64) -> bool {
  let is_pending = entry
    .call_started_at
    .is_some_and(|started_at| started_at + RESPONSE_TIMEOUT_MS > now);
  if is_pending || entry.next_call_at > now {
    return false;
  }
  if entry.call_started_at.is_some() {
    // The response was lost, so the outcomes of that update are recorded again.
    let mut unrecorded = std::mem::take(&mut entry.writing);
    entry.outcomes.append(&mut unrecorded);
  }
  entry.call_started_at = Some(now);
  true
}
