//! How crashes and what follows from them reach all instances.
//!
//! Each instance reports the runs that crashes ended to the holders and to two judges beside
//! them, for a holder may be lost at that moment; whoever finds a request to blame publishes
//! that at once, and holders publish all that is kept from servers now and then, for instances
//! that start. So a fleet with many crashes sends three datagrams each, not one to
//! each instance.

use crate::{
  content,
  crash::{Crash, Culprit, Quarantined, Suspected, stored::Call},
  dispatch::Event,
  message::Message,
  planner::Planner,
  store,
};
use slog::info;
use std::{
  collections::BTreeSet,
  net::SocketAddr,
  time::{SystemTime, UNIX_EPOCH},
};
use xxhash_rust::xxh3::xxh3_64;

/// Instances besides the holders that crashes are reported to.
const JUDGES: usize = 2;
/// Entries of one datagram: 40 bytes each.
const ENTRIES: usize = 100;

impl Planner {
  /// Reports crashes, finds who is to blame and publishes it.
  pub(crate) fn process_crashes(&mut self) {
    let now = self.hub.now();
    let crashes = self.hub.state().take_crashes();
    self.registry.add(now, &crashes);
    for crash in crashes {
      self.reported_crashes.add(now, crash);
    }
    self.judge(now);
    let due = self.reported_crashes.take(now);
    if !due.is_empty() {
      let judges = self.judges(now);
      for part in due.chunks(ENTRIES) {
        self.send(&Message::Crashes(part.to_vec()), &judges);
      }
    }
    let due = self.published_quarantine.take(now);
    if !due.is_empty() {
      let others = self.others(now);
      for part in due.chunks(ENTRIES) {
        self.spread(&Message::Quarantine(part.to_vec()), &others);
      }
    }
  }

  /// When this instance judges what became known of crashes, ms.
  pub(crate) fn analysis_at(&self, now: u64) -> Option<u64> {
    self.registry.analysis_at(now, || self.is_judge(now))
  }

  /// Judges once all reports of a crash are there, and publishes what follows.
  fn judge(&mut self, now: u64) {
    if self.analysis_at(now).is_none_or(|at| now < at) {
      return;
    }
    let found = self.registry.find_culprits(now);
    if !found.is_empty() {
      self.blame(now, &found);
    }
    let innocent = self.registry.release_companions(now);
    if !innocent.is_empty() {
      self.release(now, &innocent);
    }
    let suspected = self.registry.new_suspects(now);
    if !suspected.is_empty() {
      self.suspect(now, suspected);
    }
  }

  /// Publishes requests that may be to blame, with their turns, at once: the next crash comes
  /// within some hundred milliseconds, and one that is not heard costs a wait.
  fn suspect(&mut self, now: u64, suspected: Vec<Suspected>) {
    for entry in &suspected {
      info!(self.hub.log, "request suspected"; "content" => entry.content.to_string(),
        "crashes" => entry.crashes, "turn" => entry.turn);
    }
    let others = self.others(now);
    for part in suspected.chunks(ENTRIES) {
      self.spread(&Message::Suspects(part.to_vec()), &others);
    }
    self.hub.apply(Event::Suspected(suspected), None);
  }

  /// Publishes suspects again, for instances that start: one that knows of none sends copies of
  /// them as it likes.
  pub(crate) fn republish_suspects(&mut self, now: u64, to: &[SocketAddr]) {
    for part in self.registry.current_suspects(now).chunks(ENTRIES) {
      self.spread(&Message::Suspects(part.to_vec()), to);
    }
  }

  /// Publishes that requests were blamed for what others explain.
  fn release(&mut self, now: u64, innocent: &[content::Key]) {
    let entries = innocent.iter().map(|content| Quarantined {
      content: *content,
      left_ms: 0,
    });
    let entries: Vec<Quarantined> = entries.collect();
    for entry in &entries {
      info!(self.hub.log, "request released"; "content" => entry.content.to_string(),
        "why" => "another one explains its crashes");
      self.published_quarantine.add(now, *entry);
    }
    self.enforce(entries);
  }

  fn blame(&mut self, now: u64, found: &[Culprit]) {
    for sentence in found {
      info!(self.hub.log, "request quarantined"; "content" => sentence.content.to_string(),
        "crashes" => sentence.crashes, "runs" => sentence.runs, "by" => "crashes known here");
    }
    let all = self.registry.quarantined(now);
    let is_new = |entry: &&Quarantined| found.iter().any(|one| one.content == entry.content);
    let new: Vec<Quarantined> = all.iter().filter(is_new).copied().collect();
    for entry in &new {
      self.published_quarantine.add(now, *entry);
    }
    self.enforce(new);
  }

  /// Takes up crashes that another instance reports.
  pub(crate) fn receive_crashes(&mut self, now: u64, crashes: &[Crash]) {
    self.registry.add(now, crashes);
  }

  /// Takes up what another instance keeps from servers.
  pub(crate) fn receive_quarantine(&mut self, now: u64, entries: &[Quarantined], from: SocketAddr) {
    let mut new = Vec::new();
    for entry in entries {
      if self.registry.quarantine(now, *entry) {
        let what = match entry.left_ms {
          0 => "request released",
          _ => "request quarantined",
        };
        info!(self.hub.log, "{}", what; "content" => entry.content.to_string(),
          "left_ms" => entry.left_ms, "by" => %from);
        new.push(*entry);
      }
    }
    if new.is_empty() {
      return;
    }
    if !self.is_judge(now) {
      self.registry.clear_suspects();
    }
    self.enforce(new);
  }

  /// Reads what was kept from servers before this instance started; writes what has come,
  /// where it holds a lease.
  pub(crate) fn sync_quarantine(&mut self) {
    let now = self.hub.now();
    let holding = self.groups.first().is_some_and(|group| group.holding);
    let entries = self.registry.quarantined(now);
    if holding {
      let era = self.hub.gates.servers.progress().revision.era;
      self.stored_quarantine.set_era(era);
    }
    if let Some(call) = self
      .stored_quarantine
      .call(now, unix_ms(), holding, &entries)
    {
      self.call_quarantine(call);
    }
  }

  /// Takes up what became of such a call.
  pub(crate) fn finish_quarantine_call(
    &mut self,
    now: u64,
    call: &Call,
    result: store::Result<store::Object>,
  ) {
    if let Err(error) = &result
      && !matches!(error, store::Error::Absent { .. })
    {
      info!(self.hub.log, "quarantine not read or written"; "error" => %error);
    }
    let record = self.stored_quarantine.answered(now, call, result);
    if self.stored_quarantine.is_read() {
      self.hub.apply(Event::RecordsRead, None);
    }
    let Some(record) = record else {
      return;
    };
    let mut new = Vec::new();
    for entry in record.quarantined(unix_ms()) {
      if self.registry.quarantine(now, entry) {
        info!(self.hub.log, "request quarantined"; "content" => entry.content.to_string(),
          "left_ms" => entry.left_ms, "by" => "the store");
        new.push(entry);
      }
    }
    if !new.is_empty() {
      self.enforce(new);
    }
  }

  fn enforce(&self, entries: Vec<Quarantined>) {
    self.hub.measures.quarantined(entries.len());
    self.hub.apply(Event::Quarantined(entries), None);
  }

  /// All other instances known here.
  fn others(&self, now: u64) -> Vec<SocketAddr> {
    let groups = 0..self.groups.len();
    let others: BTreeSet<SocketAddr> = groups
      .flat_map(|index| self.addresses(now, index))
      .collect();
    others.into_iter().collect()
  }

  /// Who finds out whom crashes are due to: two that all choose alike, and the holders.
  fn all_judges(&self, now: u64) -> Vec<SocketAddr> {
    let mut members = self.others(now);
    members.push(self.own);
    members.sort_by_key(|address| xxh3_64(address.to_string().as_bytes()));
    members.truncate(JUDGES);
    let holders = self.groups.iter().filter_map(|group| group.lease.holder());
    for holder in holders {
      if !members.contains(&holder) {
        members.push(holder);
      }
    }
    members
  }

  fn is_judge(&self, now: u64) -> bool {
    self.groups.iter().any(|group| group.holding) || self.all_judges(now).contains(&self.own)
  }

  /// The judges besides this instance.
  fn judges(&self, now: u64) -> Vec<SocketAddr> {
    let mut judges = self.all_judges(now);
    judges.retain(|judge| *judge != self.own);
    judges
  }
}

fn unix_ms() -> u64 {
  let since = SystemTime::now().duration_since(UNIX_EPOCH);
  since.map_or(0, |since| since.as_millis() as u64)
}
