//! Reports the parts of prompts in crashes, and publishes the quarantine of those that cause them.
//!
//! As with whole requests, instances report to the analyzers. An analyzer asks all instances about a
//! content or part that it suspects: one that has served requests with it answers at once.

use crate::{
  content,
  crash::{
    Quarantined,
    part::{Crash, Culprit},
    served::Question,
  },
  dispatch::Event,
  message::Message,
  planner::Planner,
  quarantine::EXPLAINED,
};
use slog::info;

/// Why a content or part is released.
const SERVED: &str = "it was served";
/// Entries per datagram, 30 bytes each.
const MAX_ENTRIES: usize = 100;

impl Planner {
  /// Reports parts in crashes and parts that were served, analyzes them, and publishes the results.
  pub(crate) fn process_part_crashes(&mut self) {
    let now = self.hub.now();
    let (crashes, served) = {
      let mut state = self.hub.state();
      (state.take_part_crashes(), state.take_served())
    };
    self.parts.add(now, &crashes);
    for crash in crashes {
      self.reported_part_crashes.add(now, crash);
    }
    if !served.is_empty() {
      let other_analyzers = self.other_analyzers(now);
      self.send(&Message::Served(served.clone()), &other_analyzers);
      self.receive_served(now, &served);
    }
    let has_suspects = self.parts.has_suspects(now) || self.registry.has_suspects(now);
    if has_suspects && self.is_analyzer(now) {
      self.analyze_parts(now);
    }
    let due = self.reported_part_crashes.take(now);
    if !due.is_empty() {
      let other_analyzers = self.other_analyzers(now);
      for entries in due.chunks(MAX_ENTRIES) {
        self.send(&Message::PartCrashes(entries.to_vec()), &other_analyzers);
      }
    }
    let due = self.served_questions.take(now);
    if !due.is_empty() {
      let other_instances = self.other_instances(now);
      for entries in due.chunks(MAX_ENTRIES) {
        self.send_paced(
          &Message::ServedQuestions(entries.to_vec()),
          &other_instances,
        );
      }
    }
  }

  fn analyze_parts(&mut self, now: u64) {
    let mut questions = self.parts.questions(now);
    for question in &questions {
      info!(self.hub.log, "prompt part suspected"; "part" => question.key.to_string(),
        "since_ms" => question.since_ms);
    }
    questions.extend(self.registry.questions(now));
    for question in &questions {
      self.served_questions.add(now, *question);
    }
    if !questions.is_empty() {
      self.hub.apply(Event::ServedQuestions(questions), None);
    }
    self.parts.set_contents(self.registry.candidates());
    let innocent = self.parts.release_replaced(now);
    if !innocent.is_empty() {
      self.registry.release(now, &innocent);
      self.publish_release(now, &innocent, EXPLAINED);
    }
    let culprits = self.parts.find_culprits(now);
    if !culprits.is_empty() {
      self.quarantine_parts(now, &culprits);
    }
    self.release_explained(now);
  }

  fn quarantine_parts(&mut self, now: u64, culprits: &[Culprit]) {
    for culprit in culprits {
      info!(self.hub.log, "prompt part quarantined"; "part" => culprit.part.to_string(),
        "crashes" => culprit.crashes, "position" => culprit.position);
    }
    let keys: Vec<content::Key> = culprits.iter().map(|culprit| culprit.part).collect();
    self.publish_blamed(now, &keys);
  }

  /// Releases requests that were in no crashes but those that parts explain, also if another instance
  /// found these parts, or reported more of their crashes since.
  fn release_explained(&mut self, now: u64) {
    if !self.parts.take_explained_changed() {
      return;
    }
    let innocent = self
      .registry
      .release_explained(now, &self.parts.explained());
    if !innocent.is_empty() {
      self.publish_release(now, &innocent, EXPLAINED);
    }
  }

  /// Adds crashes reported by another instance.
  pub(crate) fn receive_part_crashes(&mut self, now: u64, crashes: &[Crash]) {
    self.parts.add(now, crashes);
  }

  /// Processes contents and parts that this or another instance has served since their first crash.
  pub(crate) fn receive_served(&mut self, now: u64, keys: &[content::Key]) {
    let mut innocent = Vec::new();
    for key in keys {
      let refuted = self.parts.record_served(now, *key);
      self.registry.count_again(now, &refuted);
      if self.registry.record_served(now, *key) {
        innocent.push(*key);
      }
    }
    if !innocent.is_empty() {
      // Contents that are blamed instead of a part are quarantined before it is released.
      self.analyze_crashes(now);
      self.publish_release(now, &innocent, SERVED);
    }
  }

  /// Processes another analyzer's questions.
  pub(crate) fn receive_served_questions(&self, questions: Vec<Question>) {
    self.hub.apply(Event::ServedQuestions(questions), None);
  }

  /// Records quarantines and releases that another instance has published, for parts among them.
  pub(crate) fn record_quarantined_parts(&mut self, now: u64, entries: &[Quarantined]) {
    for entry in entries {
      if entry.left_ms > 0 {
        self.parts.blame(entry.content);
        continue;
      }
      let refuted = self.parts.release(entry.content);
      self.registry.count_again(now, &refuted);
    }
  }
}
