//! Decides whether a request may be sent to a server: requests that crash servers are rejected,
//! and suspects are spread over different servers.
//!
//! Load pattern: a crash returns 20 to 90 requests at once, one of which caused it. If all of
//! them move to the same next server, it crashes too, and after the third crash nothing
//! distinguishes them. So a content that was in a crash goes to the server selected by its
//! hash, which is the same from all instances. After the second crash it waits for its turn
//! there, and after the third for the result of the analysis. Pure: no I/O, no clock.

use super::{
  Crash, Quarantined, REPUBLISHED, Suspected, evict,
  registry::{CULPRIT_CRASHES, SIMILAR_PROGRESS_MS, SUSPECT_CRASHES},
};
use crate::{content, life::Life};
use std::collections::{BTreeMap, HashMap};

/// A turn is published within this time after a second crash: the analyzers collect reports
/// for 20 ms, and the messages to them and back take a few more.
const TURN_WAIT_MS: u64 = 100;
/// Interval between turns. Requests that crash servers did so 130 to 230 ms after they were
/// sent.
const TURN_INTERVAL_MS: u64 = 80;
/// Later suspects share the last turn. An innocent request waits for up to 260 ms, including
/// the time that reports take.
const MAX_TURNS: u32 = 3;
/// A culprit is published within this time after a third crash: two suspects that nothing
/// distinguishes are both quarantined after 1,500 ms.
const ANALYSIS_WAIT_MS: u64 = 1_700;
/// Suspects are dropped after this time. Later crashes are published to each instance again.
pub(super) const SUSPECT_TTL_MS: u64 = 30_000;
/// About 100 bytes each; the least recently seen suspects are evicted first.
const MAX_SUSPECTS: usize = 1_024;

/// Whether a request may be sent to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
  Allowed,
  /// Only to the server selected by its content and this number of crashes.
  Isolated(u32),
  /// Not before this time, in ms.
  Delayed(u64),
  Denied,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
  /// Servers that crashed while running it, as observed by this instance.
  servers: Vec<Life>,
  /// Number of crashes observed here or published.
  crashes: u32,
  /// Lowest and highest progress of its runs, in ms.
  progress: Option<(u32, u32)>,
  /// Not sent before this time, in ms.
  wait_until: u64,
  last_seen: u64,
}

impl Suspect {
  fn has_similar_progress(&self) -> bool {
    self
      .progress
      .is_none_or(|(lowest, highest)| highest - lowest <= SIMILAR_PROGRESS_MS)
  }
}

/// An instance's view of requests that crash servers.
#[derive(Clone, Debug, Default)]
pub struct Filter {
  /// Runs that ended in a crash and are not reported yet.
  crashes: Vec<Crash>,
  /// When the quarantine of each content or part of prompts ends, in ms.
  quarantined: HashMap<content::Key, u64>,
  suspects: BTreeMap<content::Key, Suspect>,
}

impl Filter {
  /// Returns whether a request with this content may be sent to a server.
  pub fn admission(&self, now: u64, content: content::Key) -> Admission {
    if self.is_quarantined(now, content) {
      return Admission::Denied;
    }
    match self.suspects.get(&content) {
      Some(suspect) if now < suspect.wait_until => Admission::Delayed(suspect.wait_until),
      Some(suspect) => Admission::Isolated(suspect.crashes),
      None => Admission::Allowed,
    }
  }

  /// Returns whether requests with this content, or this part of their prompts, must not be sent to
  /// any server.
  pub fn is_quarantined(&self, now: u64, key: content::Key) -> bool {
    let until = self.quarantined.get(&key);
    until.is_some_and(|until| now < *until)
  }

  /// Records a run that ended in the crash of its server.
  pub fn record_crash(&mut self, now: u64, crash: Crash) {
    self.crashes.push(crash);
    self.evict_suspects(now);
    let suspect = self.suspects.entry(crash.content).or_default();
    suspect.last_seen = now;
    let (lowest, highest) = suspect.progress.unwrap_or((u32::MAX, 0));
    let progress = crash.progress_ms;
    suspect.progress = Some((lowest.min(progress), highest.max(progress)));
    if suspect.servers.contains(&crash.server) {
      return;
    }
    if suspect.servers.len() < CULPRIT_CRASHES {
      suspect.servers.push(crash.server);
    }
    suspect.crashes = suspect.crashes.max(suspect.servers.len() as u32);
    if suspect.has_similar_progress() {
      let wait = match suspect.servers.len() {
        0..SUSPECT_CRASHES => 0,
        SUSPECT_CRASHES..CULPRIT_CRASHES => TURN_WAIT_MS,
        _ => ANALYSIS_WAIT_MS,
      };
      suspect.wait_until = suspect.wait_until.max(now + wait);
    }
  }

  /// Clears a content of suspicion after one of its requests was served without a crash.
  pub fn record_served(&mut self, content: content::Key) {
    if !self.suspects.is_empty() {
      self.suspects.remove(&content);
    }
  }

  /// Applies published suspects and their turns.
  pub fn update_suspects(&mut self, now: u64, entries: &[Suspected]) {
    self.evict_suspects(now);
    for entry in entries {
      let suspect = self.suspects.entry(entry.content).or_default();
      suspect.last_seen = now;
      // The higher count was just observed here, and its turn is not published yet, or it was
      // published by another analyzer.
      if entry.crashes < suspect.crashes {
        continue;
      }
      if entry.turn == REPUBLISHED {
        suspect.crashes = entry.crashes;
        continue;
      }
      let wait = match entry.crashes as usize {
        0..CULPRIT_CRASHES => TURN_INTERVAL_MS * u64::from(entry.turn.min(MAX_TURNS - 1)),
        _ => ANALYSIS_WAIT_MS,
      };
      suspect.crashes = entry.crashes;
      suspect.wait_until = now + wait;
    }
  }

  /// Applies published quarantines and releases. They explain the crashes, so all suspects are
  /// dropped.
  pub fn update_quarantine(&mut self, now: u64, entries: &[Quarantined]) {
    self.quarantined.retain(|_, until| now < *until);
    for entry in entries {
      match entry.left_ms {
        0 => self.quarantined.remove(&entry.content),
        left_ms => self
          .quarantined
          .insert(entry.content, now + u64::from(left_ms)),
      };
    }
    self.suspects.clear();
  }

  /// Returns the runs that ended in a crash since the last call.
  pub fn take_crashes(&mut self) -> Vec<Crash> {
    std::mem::take(&mut self.crashes)
  }

  fn evict_suspects(&mut self, now: u64) {
    let is_current = |suspect: &Suspect| now < suspect.last_seen + SUSPECT_TTL_MS;
    self.suspects.retain(|_, suspect| is_current(suspect));
    evict(&mut self.suspects, MAX_SUSPECTS, |suspect| {
      suspect.last_seen
    });
  }
}
