//! Reports crashes and publishes suspects and quarantined requests to all instances.
//!
//! Each instance reports the runs that ended in crashes to the analyzers: the lease holders and
//! two other instances, because a holder may be lost at that moment. An analyzer publishes a
//! culprit as soon as it finds one, and holders regularly publish the whole quarantine for
//! instances that have just started. So a fleet with many crashes sends three datagrams for
//! each of them, not one to each instance.

use crate::{
  clock, content,
  crash::{Crash, Culprit, Quarantined, Suspected, stored::Call},
  dispatch::Event,
  message::Message,
  planner::{Completion, Group, Planner},
  store,
};
use slog::info;
use std::{collections::BTreeSet, net::SocketAddr};
use xxhash_rust::xxh3::xxh3_64;

/// Instances besides the lease holders to which crashes are reported.
const EXTRA_ANALYZERS: usize = 2;
/// Why a content is released.
pub(crate) const EXPLAINED: &str = "another request explains its crashes";
/// Entries per datagram, 40 bytes each.
const MAX_ENTRIES: usize = 100;

impl Planner {
  /// Reports crashes, analyzes them if due, and publishes the results.
  pub(crate) fn process_crashes(&mut self) {
    let now = self.hub.now();
    let crashes = self.hub.state().take_crashes();
    self.registry.add(now, &crashes);
    for crash in crashes {
      self.reported_crashes.add(now, crash);
    }
    self.process_part_crashes();
    self.analyze_crashes(now);
    let due = self.reported_crashes.take(now);
    if !due.is_empty() {
      let other_analyzers = self.other_analyzers(now);
      for entries in due.chunks(MAX_ENTRIES) {
        self.send(&Message::Crashes(entries.to_vec()), &other_analyzers);
      }
    }
    self.report_read_quarantine(now);
    let due = self.published_quarantine.take(now);
    if !due.is_empty() {
      let other_instances = self.other_instances(now);
      for entries in due.chunks(MAX_ENTRIES) {
        self.send_paced(&Message::Quarantine(entries.to_vec()), &other_instances);
      }
    }
  }

  /// Returns when contents read from the store are to be reported to the analyzers, in ms; `None` while this
  /// instance knows none.
  pub(crate) fn read_quarantine_due(&self, now: u64) -> Option<u64> {
    let due = self.read_quarantine.due()?;
    let are_known = !self.other_analyzers(now).is_empty();
    are_known.then_some(due)
  }

  /// Reports to the analyzers what was read from the store: the record may be older than a release, which
  /// they then publish.
  fn report_read_quarantine(&mut self, now: u64) {
    if self.read_quarantine_due(now).is_none_or(|due| now < due) {
      return;
    }
    let due = self.read_quarantine.take(now);
    let mut entries = self.registry.quarantined(now);
    entries.retain(|entry| due.contains(&entry.content));
    let other_analyzers = self.other_analyzers(now);
    for entries in entries.chunks(MAX_ENTRIES) {
      self.send(&Message::Quarantine(entries.to_vec()), &other_analyzers);
    }
  }

  /// Returns when this instance has to analyze the reported crashes, in ms.
  pub(crate) fn analysis_at(&self, now: u64) -> Option<u64> {
    self.registry.analysis_at(now, || self.is_analyzer(now))
  }

  /// Returns when this instance has to analyze the parts in crashes, in ms.
  pub(crate) fn part_analysis_at(&self, now: u64) -> Option<u64> {
    let at = self.parts.analysis_at()?;
    self.is_analyzer(now).then_some(at)
  }

  /// Analyzes crashes once their reports have settled, and publishes the results.
  pub(crate) fn analyze_crashes(&mut self, now: u64) {
    if self.analysis_at(now).is_none_or(|at| now < at) {
      return;
    }
    let culprits = self.registry.find_culprits(now);
    if !culprits.is_empty() {
      self.publish_quarantine(now, &culprits);
    }
    let innocent = self.registry.release_companions(now);
    if !innocent.is_empty() {
      self.publish_release(now, &innocent, EXPLAINED);
    }
    let suspects = self.registry.new_suspects(now);
    if !suspects.is_empty() {
      self.publish_suspects(now, suspects);
    }
  }

  /// Publishes suspects and their turns immediately and without repeats: the next crash follows
  /// within a few hundred milliseconds, and a lost datagram only costs a delay.
  fn publish_suspects(&mut self, now: u64, suspects: Vec<Suspected>) {
    for entry in &suspects {
      info!(self.hub.log, "request suspected"; "content" => entry.content.to_string(),
        "crashes" => entry.crashes, "turn" => entry.turn);
    }
    let other_instances = self.other_instances(now);
    for entries in suspects.chunks(MAX_ENTRIES) {
      self.send_paced(&Message::Suspects(entries.to_vec()), &other_instances);
    }
    self.hub.apply(Event::Suspected(suspects), None);
  }

  /// Publishes suspects again for instances that have just started: an instance that knows of
  /// none sends copies of them without limit.
  pub(crate) fn republish_suspects(&mut self, now: u64, to: &[SocketAddr]) {
    for entries in self.registry.current_suspects(now).chunks(MAX_ENTRIES) {
      self.send_paced(&Message::Suspects(entries.to_vec()), to);
    }
  }

  /// Publishes the release of contents or parts.
  pub(crate) fn publish_release(&mut self, now: u64, innocent: &[content::Key], why: &str) {
    let entries = innocent.iter().map(|content| Quarantined {
      content: *content,
      left_ms: 0,
    });
    let entries: Vec<Quarantined> = entries.collect();
    for entry in &entries {
      info!(self.hub.log, "request released"; "content" => entry.content.to_string(),
        "why" => why);
    }
    self.publish_entries(now, &entries);
    self.enforce(entries);
  }

  fn publish_quarantine(&mut self, now: u64, culprits: &[Culprit]) {
    for culprit in culprits {
      info!(self.hub.log, "request quarantined"; "content" => culprit.content.to_string(),
        "crashes" => culprit.crashes, "runs" => culprit.runs, "by" => "local crash analysis");
    }
    let keys: Vec<content::Key> = culprits.iter().map(|culprit| culprit.content).collect();
    self.publish_quarantined(now, &keys);
  }

  /// Publishes the quarantine of contents or parts that are in the registry.
  fn publish_quarantined(&mut self, now: u64, keys: &[content::Key]) {
    let all = self.registry.quarantined(now);
    let is_new = |entry: &&Quarantined| keys.contains(&entry.content);
    let new: Vec<Quarantined> = all.iter().filter(is_new).copied().collect();
    self.publish_entries(now, &new);
    self.enforce(new);
  }

  /// Publishes entries in place of what is still being sent about their contents.
  fn publish_entries(&mut self, now: u64, entries: &[Quarantined]) {
    self.withdraw(entries);
    for entry in entries {
      self.published_quarantine.add(now, *entry);
    }
  }

  /// Ends the sends of entries that newer ones about the same contents replace.
  fn withdraw(&mut self, newer: &[Quarantined]) {
    let is_replaced =
      |entry: &Quarantined| newer.iter().any(|newer| newer.content == entry.content);
    self.published_quarantine.remove(is_replaced);
  }

  /// Quarantines parts and publishes that.
  pub(crate) fn publish_blamed(&mut self, now: u64, parts: &[content::Key]) {
    self.registry.quarantine_found(now, parts);
    self.publish_quarantined(now, parts);
  }

  /// Adds crashes reported by another instance.
  pub(crate) fn receive_crashes(&mut self, now: u64, crashes: &[Crash]) {
    self.registry.add(now, crashes);
  }

  /// Applies quarantines and releases published by another instance.
  pub(crate) fn receive_quarantine(&mut self, now: u64, entries: &[Quarantined], from: SocketAddr) {
    self.answer_stale(now, entries, from);
    let current = entries.iter().copied();
    let current: Vec<Quarantined> = current
      .filter(|entry| entry.left_ms == 0 || !self.registry.is_stale(now, *entry))
      .collect();
    self.record_quarantined_parts(now, &current);
    let mut new = Vec::new();
    for entry in &current {
      if self.registry.quarantine(now, *entry) {
        let message = match entry.left_ms {
          0 => "request released",
          _ => "request quarantined",
        };
        info!(self.hub.log, "{}", message; "content" => entry.content.to_string(),
          "left_ms" => entry.left_ms, "by" => %from);
        new.push(*entry);
      }
    }
    if new.is_empty() {
      return;
    }
    self.withdraw(&new);
    if !self.is_analyzer(now) {
      self.registry.clear_suspects();
    }
    self.enforce(new);
  }

  /// Sends releases to an instance that missed them and still publishes the quarantine. Only analyzers
  /// answer, so that not all instances do.
  fn answer_stale(&mut self, now: u64, entries: &[Quarantined], from: SocketAddr) {
    let stale = entries.iter().copied();
    let stale = stale.filter(|entry| entry.left_ms > 0 && self.registry.is_stale(now, *entry));
    let releases: Vec<Quarantined> = stale
      .map(|entry| Quarantined {
        content: entry.content,
        left_ms: 0,
      })
      .collect();
    if releases.is_empty() || !self.is_analyzer(now) {
      return;
    }
    for entries in releases.chunks(MAX_ENTRIES) {
      self.send(&Message::Quarantine(entries.to_vec()), &[from]);
    }
  }

  /// Reads the stored quarantine if it was not read yet; writes new entries if this instance
  /// holds a lease.
  pub(crate) fn sync_quarantine(&mut self) {
    let now = self.hub.now();
    let holding = self.groups.first().is_some_and(|group| group.holds_lease);
    let entries = self.registry.quarantined(now);
    if holding {
      let era = self.hub.gates.servers.progress().revision.era;
      self.stored_quarantine.set_era(era);
    }
    if let Some(call) = self
      .stored_quarantine
      .call(now, clock::unix_ms(), holding, &entries)
    {
      self.start_record_call(self.kinds().quarantine, call, Completion::Quarantine);
    }
  }

  /// Reports that the records are read which an instance needs before it takes a caller. Where there is a
  /// holder that others know, it publishes what the lease's record contains.
  pub(crate) fn report_records_read(&mut self) {
    let holder = |group: &Group| group.lease.holder().is_some();
    let is_lease_known = self.lease_read || self.groups.first().is_none_or(holder);
    if self.stored_quarantine.is_read() && is_lease_known && !self.records_reported {
      self.records_reported = true;
      self.hub.apply(Event::RecordsRead, None);
    }
  }

  /// Handles the result of a call that reads or writes the stored quarantine.
  pub(crate) fn finish_quarantine_call(
    &mut self,
    now: u64,
    call: &Call,
    result: store::Result<store::Object>,
  ) {
    if let Err(error) = &result
      && !matches!(error, store::Error::Absent { .. })
    {
      info!(self.hub.log, "failed to read or write the stored quarantine"; "error" => %error);
    }
    let was_read = self.stored_quarantine.is_read();
    let record = self.stored_quarantine.answered(now, call, result);
    if self.stored_quarantine.is_read() && !was_read {
      info!(self.hub.log, "stored quarantine read"; "at_ms" => now);
    }
    let Some(record) = record else {
      return;
    };
    let mut new = Vec::new();
    for entry in record.quarantined(clock::unix_ms()) {
      if self.registry.quarantine(now, entry) {
        info!(self.hub.log, "request quarantined"; "content" => entry.content.to_string(),
          "left_ms" => entry.left_ms, "by" => "the store");
        self.read_quarantine.add(now, entry.content);
        new.push(entry);
      }
    }
    if !new.is_empty() {
      self.enforce(new);
    }
  }

  fn enforce(&self, entries: Vec<Quarantined>) {
    self.hub.measures.record_quarantined(entries.len());
    self.hub.apply(Event::Quarantined(entries), None);
  }

  /// Returns all other known instances.
  pub(crate) fn other_instances(&self, now: u64) -> Vec<SocketAddr> {
    let groups = 0..self.groups.len();
    let other_instances: BTreeSet<SocketAddr> = groups
      .flat_map(|index| self.peer_addresses(now, index))
      .collect();
    other_instances.into_iter().collect()
  }

  /// Returns the instances that analyze crashes: the lease holders, and two instances selected by
  /// hash so that all instances select the same ones.
  fn analyzers(&self, now: u64) -> Vec<SocketAddr> {
    let mut members = self.other_instances(now);
    members.push(self.own_address);
    members.sort_by_cached_key(|address| xxh3_64(address.to_string().as_bytes()));
    members.truncate(EXTRA_ANALYZERS);
    let holders = self.groups.iter().filter_map(|group| group.lease.holder());
    for holder in holders {
      if !members.contains(&holder) {
        members.push(holder);
      }
    }
    members
  }

  pub(crate) fn is_analyzer(&self, now: u64) -> bool {
    self.groups.iter().any(|group| group.holds_lease)
      || self.analyzers(now).contains(&self.own_address)
  }

  /// Returns the analyzers other than this instance.
  pub(crate) fn other_analyzers(&self, now: u64) -> Vec<SocketAddr> {
    let mut other_analyzers = self.analyzers(now);
    other_analyzers.retain(|analyzer| *analyzer != self.own_address);
    other_analyzers
  }
}
