//! Reports the parts of prompts in crashes, and publishes the quarantine of those that cause them.
//!
//! As with whole requests, instances report to the analyzers. An analyzer asks all instances about a
//! part that it suspects: one that has served requests with it answers at once.

use crate::{
  content,
  crash::{
    Quarantined,
    part::{Crash, Culprit, Question},
  },
  dispatch::Event,
  message::Message,
  planner::Planner,
};
use slog::info;

/// Entries per datagram, 30 bytes each.
const MAX_ENTRIES: usize = 100;

impl Planner {
  /// Reports parts in crashes and parts that were served, analyzes them, and publishes the results.
  pub(crate) fn process_part_crashes(&mut self) {
    let now = self.hub.now();
    let (crashes, served) = {
      let mut state = self.hub.state();
      (state.take_part_crashes(), state.take_served_parts())
    };
    self.parts.add(now, &crashes);
    for crash in crashes {
      self.reported_part_crashes.add(now, crash);
    }
    if !served.is_empty() {
      let other_analyzers = self.other_analyzers(now);
      self.send(&Message::PartsServed(served.clone()), &other_analyzers);
      self.receive_served_parts(now, &served);
    }
    if self.is_analyzer(now) {
      self.analyze_parts(now);
    }
    let due = self.reported_part_crashes.take(now);
    if !due.is_empty() {
      let other_analyzers = self.other_analyzers(now);
      for entries in due.chunks(MAX_ENTRIES) {
        self.send(&Message::PartCrashes(entries.to_vec()), &other_analyzers);
      }
    }
    let due = self.part_questions.take(now);
    if !due.is_empty() {
      let other_instances = self.other_instances(now);
      for entries in due.chunks(MAX_ENTRIES) {
        self.send_paced(&Message::PartQuestions(entries.to_vec()), &other_instances);
      }
    }
  }

  fn analyze_parts(&mut self, now: u64) {
    let questions = self.parts.questions(now);
    for question in &questions {
      info!(self.hub.log, "prompt part suspected"; "part" => question.part.to_string(),
        "since_ms" => question.since_ms);
      self.part_questions.add(now, *question);
    }
    if !questions.is_empty() {
      self.hub.apply(Event::PartQuestions(questions), None);
    }
    let culprits = self.parts.find_culprits(now);
    if !culprits.is_empty() {
      self.quarantine_parts(now, &culprits);
    }
  }

  fn quarantine_parts(&mut self, now: u64, culprits: &[Culprit]) {
    for culprit in culprits {
      info!(self.hub.log, "prompt part quarantined"; "part" => culprit.part.to_string(),
        "crashes" => culprit.crashes, "position" => culprit.position);
    }
    let keys: Vec<content::Key> = culprits.iter().map(|culprit| culprit.part).collect();
    self.publish_blamed(now, &keys);
    // Requests that were in no other crashes were not to blame for them.
    let innocent = self.registry.release_explained(now, self.parts.explained());
    if !innocent.is_empty() {
      self.publish_release(now, &innocent);
    }
  }

  /// Adds crashes reported by another instance.
  pub(crate) fn receive_part_crashes(&mut self, now: u64, crashes: &[Crash]) {
    self.parts.add(now, crashes);
  }

  /// Processes the parts of requests that this or another instance has served since their first crash.
  pub(crate) fn receive_served_parts(&mut self, now: u64, parts: &[content::Key]) {
    let blamed = parts.iter().filter(|part| self.parts.record_served(**part));
    let innocent: Vec<content::Key> = blamed.copied().collect();
    if !innocent.is_empty() {
      self.publish_release(now, &innocent);
    }
  }

  /// Processes another analyzer's questions.
  pub(crate) fn receive_part_questions(&self, questions: Vec<Question>) {
    self.hub.apply(Event::PartQuestions(questions), None);
  }

  /// Records quarantines and releases that another instance has published, for parts among them.
  pub(crate) fn record_quarantined_parts(&mut self, entries: &[Quarantined]) {
    for entry in entries {
      match entry.left_ms {
        0 => self.parts.release(entry.content),
        _ => self.parts.blame(entry.content),
      }
    }
  }
}
