//! Batches run by this instance.
//!
//! A batch lives in the platform; whoever owns its id runs its items and
//! records their outcomes, several to one update. Items may be run again after
//! an owner is lost: an item keeps its first recorded outcome.

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

/// Items of one batch run at once.
const WIDTH: usize = 4;
/// Pause between two records of outcomes, ms.
const RECORD_MS: u64 = 250;
/// Pause before a platform call that failed is tried again, ms.
const RETRY_MS: u64 = 1_000;
/// Time after which an answer that has not come counts as lost, ms.
const LOST_MS: u64 = 15_000;
/// Pause before an item that was refused is tried again, ms.
const ITEM_PAUSE_MS: u64 = 500;
/// How many times the estimated run time is left before the deadline.
const MARGIN: u64 = 3;
/// How long after its deadline a finished batch can still be polled, ms.
const KEEP_MS: u64 = 86_400_000;
/// Estimated time of an item of a model never seen, ms.
const ITEM_MS: u64 = 1_000;

/// A batch known to this instance.
#[derive(Clone, Debug, Default)]
struct Entry {
  finished: bool,
  /// The batch, once read by its owner.
  batch: Option<Batch>,
  running: BTreeSet<usize>,
  /// Outcomes not yet recorded.
  outcomes: BTreeMap<usize, Item>,
  /// Outcomes in the update on its way.
  writing: BTreeMap<usize, Item>,
  /// Time of the next platform call, ms.
  next_at: u64,
  /// A platform call is on its way since this time, ms.
  asked_at: Option<u64>,
  /// No item is started before this time, ms.
  pause_until: u64,
  /// As last read by its owner: version, and the time after which it is removed.
  kept: Option<(u64, u64)>,
}

/// Batches by id.
#[derive(Clone, Debug, Default)]
pub struct Batches {
  entries: BTreeMap<String, Entry>,
}

impl Batches {
  /// Whether no outcome waits to be recorded.
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
  /// A caller submits, polls or cancels a batch.
  pub fn on_batch_requested(&mut self, ticket: Ticket, id: String, change: Option<Change>) {
    self.emit(Effect::Update {
      tag: Tag::Caller { ticket },
      name: Name::new(Kind::Batch, id),
      change: change.map(update::Change::Batch),
      urgent: true,
    });
  }

  /// Answers a caller's batch call.
  pub fn on_caller_updated(&mut self, ticket: Ticket, name: &Name, outcome: Outcome) {
    if let Outcome::Applied(stored) | Outcome::Rejected(_, stored) = &outcome
      && let Value::Batch(batch) = &stored.value
      && !batch.prompts.is_empty()
    {
      self.tell_batch(&name.name, stored.version, batch);
    }
    self.emit(Effect::BatchAnswer { ticket, outcome });
  }

  fn tell_batch(&mut self, id: &str, version: u64, batch: &Batch) {
    let finished = batch.finished();
    let key = Key::Batch(id.into());
    let held = self.facts.get(&key).map(|(body, _)| body.clone());
    if held != Some(Body::Batch { finished }) {
      self.publish(key, Version(version, 0), Body::Batch { finished });
    }
    if let Some(entry) = self.batches.entries.get_mut(id)
      && entry.batch.is_some()
    {
      entry.batch = Some(batch.clone());
    }
  }

  /// A batch became known.
  pub fn learn_batch(&mut self, id: &str, finished: bool) {
    let entry = self.batches.entries.entry(id.into()).or_default();
    entry.finished = finished;
    if finished {
      entry.batch = None;
    }
  }

  /// Takes up the platform's list of batches: finished ones that are no longer
  /// listed were removed.
  pub fn on_batches_listed(&mut self, listed: Vec<(String, u64)>) {
    let names: BTreeSet<&String> = listed.iter().map(|(id, _)| id).collect();
    let kept = |id: &String, entry: &Entry| !entry.finished || names.contains(id);
    self.batches.entries.retain(|id, entry| kept(id, entry));
    for (id, _) in listed {
      let mine = self.owns(&owner_key(&id));
      let entry = self.batches.entries.entry(id).or_default();
      if mine && entry.kept.is_none() {
        // Its owner reads it once, to know when it may be removed.
        entry.finished = false;
      }
    }
  }

  /// Brings the batches of this instance further.
  pub fn run_batches(&mut self) {
    let open: Vec<String> = self
      .batches
      .entries
      .iter()
      .filter(|(_, entry)| !entry.finished || !entry.outcomes.is_empty())
      .map(|(id, _)| id.clone())
      .collect();
    self.remove_old();
    for id in open {
      let mine = self.owns(&owner_key(&id)) && !self.stopping;
      self.record_items(&id);
      if mine {
        self.read_batch(&id);
        self.start_items(&id);
      } else {
        self.disown(&id);
      }
    }
  }

  /// Removes finished batches of this instance that nobody polls any more.
  fn remove_old(&mut self) {
    let now = self.now;
    let old: Vec<(String, u64)> = self
      .batches
      .entries
      .iter()
      .filter(|(_, entry)| entry.finished && entry.outcomes.is_empty())
      .filter_map(|(id, entry)| Some((id.clone(), entry.kept?)))
      .filter(|(_, (_, until))| *until <= now)
      .map(|(id, (version, _))| (id, version))
      .collect();
    for (id, version) in old {
      self.batches.entries.remove(&id);
      self.emit(Effect::Remove {
        name: Name::new(Kind::Batch, id),
        version,
      });
    }
  }

  fn disown(&mut self, id: &str) {
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
    if entry.batch.is_some() || !ask(entry, now) {
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
    if entry.outcomes.is_empty() || !ask(entry, now) {
      return;
    }
    entry.writing.append(&mut entry.outcomes);
    let outcomes = entry.writing.clone().into_iter().collect();
    self.update_batch(id, Some(Change::Record(outcomes)));
  }

  /// Takes up the end of a batch's read or record.
  pub fn on_batch_updated(&mut self, id: &str, outcome: Outcome) {
    let now = self.now;
    let Some(entry) = self.batches.entries.get_mut(id) else {
      return;
    };
    entry.asked_at = None;
    match outcome {
      Outcome::Unavailable => {
        entry.outcomes.append(&mut entry.writing);
        entry.next_at = now + RETRY_MS;
      }
      Outcome::Rejected(..) => {
        entry.finished = true;
        entry.writing.clear();
      }
      Outcome::Applied(stored) => {
        entry.writing.clear();
        entry.next_at = now + RECORD_MS;
        let Value::Batch(batch) = stored.value else {
          return;
        };
        if batch.prompts.is_empty() {
          entry.finished = true;
          return;
        }
        entry.kept = Some((stored.version, batch.deadline + KEEP_MS));
        entry.finished = batch.finished();
        entry.batch = (!entry.finished).then(|| batch.clone());
        self.tell_batch(id, stored.version, &batch);
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
    let open: Vec<usize> = batch
      .waiting()
      .into_iter()
      .filter(|at| !entry.running.contains(at) && !entry.outcomes.contains_key(at))
      .filter(|at| !entry.writing.contains_key(at))
      .collect();
    let room = WIDTH.saturating_sub(entry.running.len());
    let paused = entry.pause_until > self.now;
    if self.now >= batch.deadline {
      let reason = "deadline".to_string();
      let refused = open.into_iter().map(|at| {
        let reason = reason.clone();
        (at, Item::Refused { reason })
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
    for at in open.into_iter().take(room) {
      self.start_item(id, at, class, &batch);
    }
  }

  /// Whether items may run now, and how urgently: in quiet moments of a loaded
  /// model, or when the deadline leaves no more time to wait for one.
  fn batch_class(&mut self, batch: &Batch) -> Option<Class> {
    let spec = self.catalog.models.get(&batch.model)?;
    let policy = self.effective_policy(spec, batch.caller);
    let key = self.group(&batch.model, &policy);
    if self.now + self.batch_estimate(key, batch) * MARGIN >= batch.deadline {
      return Some(Class::Interactive);
    }
    let mut waiting = self.groups[key].queue.iter();
    let quiet = !waiting.any(|(class, ..)| *class == Class::Interactive);
    (quiet && self.has_ready(key)).then_some(Class::Batch)
  }

  fn batch_estimate(&self, key: group::Key, batch: &Batch) -> u64 {
    let group = &self.groups[key];
    let item = match group.service_ms {
      0 => ITEM_MS,
      known => known,
    };
    let rounds = batch.waiting().len().div_ceil(WIDTH) as u64;
    let load = self.load_estimate(&batch.model, crate::report::Tier::Remote);
    group.cold_ms.max(load) + rounds * item
  }

  fn start_item(&mut self, id: &str, at: usize, class: Class, batch: &Batch) {
    let Some(prompt) = batch.prompts.get(at).cloned() else {
      return;
    };
    if let Some(entry) = self.batches.entries.get_mut(id) {
      entry.running.insert(at);
    }
    self.emit(Effect::RunItem {
      id: id.into(),
      index: at,
      class,
      model: batch.model.clone(),
      prompt,
      max_tokens: batch.max_tokens,
      deadline: batch.deadline,
      caller: batch.caller,
    });
  }

  /// Takes up the end of an item. `Waiting`: it is to be tried again.
  pub fn on_item_ended(&mut self, id: &str, at: usize, item: Item) {
    let pause = self.now + ITEM_PAUSE_MS;
    let Some(entry) = self.batches.entries.get_mut(id) else {
      return;
    };
    entry.running.remove(&at);
    if item == Item::Waiting {
      entry.pause_until = pause;
    } else {
      self.end_items(id, vec![(at, item)]);
    }
  }

  fn end_items(&mut self, id: &str, items: Vec<(usize, Item)>) {
    if let Some(entry) = self.batches.entries.get_mut(id) {
      entry.outcomes.extend(items);
    }
  }
}

/// Whether a platform call may be made now; marks it as made.
fn ask(entry: &mut Entry, now: u64) -> bool {
  let busy = entry.asked_at.is_some_and(|at| at + LOST_MS > now);
  if busy || entry.next_at > now {
    return false;
  }
  if entry.asked_at.is_some() {
    // The answer was lost: what it would have recorded is recorded again.
    let mut again = std::mem::take(&mut entry.writing);
    entry.outcomes.append(&mut again);
  }
  entry.asked_at = Some(now);
  true
}
