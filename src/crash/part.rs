//! Finds the parts of prompts that crash the servers that answer them.
//!
//! Load pattern: requests with such a part arrive at all instances, no two alike, and each server that
//! begins an answer crashes together with everything else it runs. All other parts of these requests,
//! and of their companions, belong to requests that are served. So a part is blamed if it was in several
//! crashes, one after the other, and no instance has served a request with it since the first of them.
//! Where a single content was in all of these crashes, it is the narrower explanation.
//! Pure: no I/O, no clock.

use super::{cleared::Cleared, evict, registry::SETTLE_MS, served::Question};
use crate::{content, life::Life};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes after which a part is blamed, each of a run that began after the one before.
const CULPRIT_CRASHES: usize = 3;
/// Crashes after which instances are asked whether they have served requests with a part.
const SUSPECT_CRASHES: usize = 2;
/// Time in which most instances answer. The question is sent three times.
const ANSWER_MS: u64 = 150;
/// Interval at which instances are asked again.
pub(super) const ASK_INTERVAL_MS: u64 = 1_000;
/// Time for which instances are asked about a part that was blamed.
const RELEASE_ASKED_MS: u64 = 10_000;
/// Longest time from the first event of a run to a crash that it caused.
pub const MAX_PROGRESS_MS: u32 = 150;
/// Crashes are forgotten after this time.
const CRASH_TTL_MS: u64 = 60_000;
/// About 300 bytes each; the least recently seen parts are evicted first.
const MAX_SUSPECTS: usize = 512;

/// A part of the prompt of a run that had hardly begun when its server crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
  pub part: content::Key,
  /// Position of the part in the prompt; 0 for the first one.
  pub position: u8,
  pub server: Life,
  /// Time from the send to the crash.
  pub took_ms: u32,
}

/// A part found to crash servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Culprit {
  pub part: content::Key,
  pub crashes: usize,
  pub position: u8,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
  position: u8,
  /// When its run was sent and when the crash was reported, in ms, by server.
  crashes: BTreeMap<Life, (u64, u64)>,
  last_seen: u64,
  /// When instances were first and last asked, in ms.
  asked: Option<(u64, u64)>,
}

impl Suspect {
  /// When crashes ended, one after the other, of servers that nothing else explains, in ms. Servers that
  /// end at the same time count once.
  fn chain(&self, explained: &BTreeSet<Life>) -> Vec<u64> {
    let unexplained = self.crashes.iter();
    let unexplained = unexplained.filter(|(server, _)| !explained.contains(server));
    let mut spans: Vec<(u64, u64)> = unexplained.map(|(_, span)| *span).collect();
    spans.sort_by_key(|(_, ended)| *ended);
    let mut chain = Vec::new();
    for (sent, ended) in spans {
      if chain.last().is_none_or(|last| sent >= *last) {
        chain.push(ended);
      }
    }
    chain
  }

  /// When it may be blamed, in ms: instances have answered, and the other reports of its last necessary crash
  /// have arrived. `None` if it may not.
  fn blamable_at(&self, explained: &BTreeSet<Life>) -> Option<u64> {
    let (asked, _) = self.asked?;
    let chain = self.chain(explained);
    let reported = chain.get(CULPRIT_CRASHES - 1)?;
    Some((asked + ANSWER_MS).max(reported + SETTLE_MS))
  }

  /// Whether it may be to blame instead of a first part, as it is in all crashes of that part.
  fn may_replace(&self, first: &Self) -> bool {
    let mut servers = first.crashes.keys();
    self.position > 0 && servers.all(|server| self.crashes.contains_key(server))
  }

  /// Whether it is to blame instead of a first part.
  fn replaces(&self, first: &Self, now: u64) -> bool {
    let blamable_at = self.blamable_at(&BTreeSet::new());
    self.may_replace(first) && blamable_at.is_some_and(|at| now >= at)
  }

  fn first_crash_at(&self) -> u64 {
    let ends = self.crashes.values().map(|(_, ended)| *ended);
    ends.min().unwrap_or(self.last_seen)
  }
}

/// The parts in reported crashes, as known to an instance that analyzes them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
  suspects: BTreeMap<content::Key, Suspect>,
  cleared: Cleared,
  /// Parts that were blamed.
  blamed: BTreeSet<content::Key>,
  /// Servers whose crashes these explain, and whether there are new ones.
  explained: BTreeSet<Life>,
  explained_changed: bool,
  /// Servers whose crashes only parts explained that were released since. No other part is blamed for these
  /// crashes, but contents are.
  refuted: BTreeSet<Life>,
  /// Servers that crashed under each content that may be to blame.
  contents: Vec<BTreeSet<Life>>,
}

impl Registry {
  /// Sets the servers that crashed under each content that may be to blame.
  pub fn set_contents(&mut self, contents: Vec<BTreeSet<Life>>) {
    self.contents = contents;
  }

  /// Whether a content was in all crashes of a part that nothing else explains.
  fn is_explained_by_content(&self, suspect: &Suspect) -> bool {
    let mut contents = self.contents.iter();
    contents.any(|servers| {
      let crashed = suspect.crashes.keys();
      let mut unexplained = crashed.filter(|server| !self.explained.contains(server));
      unexplained.all(|server| servers.contains(server))
    })
  }

  /// Adds reported crashes; a crash may be reported several times.
  pub fn add(&mut self, now: u64, crashes: &[Crash]) {
    let cleared = &self.cleared;
    let counted = crashes
      .iter()
      .filter(|crash| !cleared.contains(crash.part, crash.server));
    for crash in counted {
      if self.blamed.contains(&crash.part) {
        self.explained_changed |= self.explained.insert(crash.server);
      }
      let suspect = self.suspects.entry(crash.part).or_default();
      suspect.position = suspect.position.max(crash.position);
      suspect.last_seen = now;
      let sent = now.saturating_sub(crash.took_ms.into());
      suspect.crashes.entry(crash.server).or_insert((sent, now));
    }
    self.evict(now);
  }

  fn evict(&mut self, now: u64) {
    self
      .suspects
      .retain(|_, suspect| now < suspect.last_seen + CRASH_TTL_MS);
    evict(&mut self.suspects, MAX_SUSPECTS, |suspect| {
      suspect.last_seen
    });
  }

  /// Records that a request with a part was served after its first crash; returns the servers whose crashes
  /// no part explains any more.
  pub fn record_served(&mut self, now: u64, part: content::Key) -> BTreeSet<Life> {
    let refuted = self.release(part);
    if let Some(suspect) = self.suspects.remove(&part) {
      self.cleared.record(now, part, suspect.crashes.keys());
    }
    refuted
  }

  /// Returns the questions to ask now.
  pub fn questions(&mut self, now: u64) -> Vec<Question> {
    let replacing = self.replacing();
    let explained = &self.explained;
    let mut questions = Vec::new();
    for (part, suspect) in &mut self.suspects {
      let is_due = suspect
        .asked
        .is_none_or(|(_, last)| now >= last + ASK_INTERVAL_MS);
      let first = suspect.asked.map_or(now, |(first, _)| first);
      // An answer may have been lost, and one that is late releases the part.
      let may_be_released = self.blamed.contains(part) && now < first + RELEASE_ASKED_MS;
      let is_suspect = suspect.chain(explained).len() >= SUSPECT_CRASHES
        || may_be_released
        || replacing.contains(part);
      if !is_due || !is_suspect {
        continue;
      }
      suspect.asked = Some((first, now));
      questions.push(Question {
        key: *part,
        since_ms: (now - suspect.first_crash_at()) as u32,
      });
    }
    questions
  }

  /// When the next part may be blamed, in ms; `None` if none may.
  pub fn analysis_at(&self) -> Option<u64> {
    self.candidates().map(|(.., at)| at).min()
  }

  /// Parts that are in enough crashes, and when they may be blamed, in ms.
  fn candidates(&self) -> impl Iterator<Item = (&content::Key, &Suspect, u64)> {
    let others = self.suspects.iter();
    let others = others.filter(|(part, suspect)| {
      !self.blamed.contains(part) && !self.is_explained_by_content(suspect)
    });
    others.filter_map(|(part, suspect)| {
      let at = suspect.blamable_at(&self.explained)?;
      Some((part, suspect, at))
    })
  }

  /// Finds the parts that explain the crashes. Of several, one behind the first is preferred, which most
  /// requests of a route share, then the one with the most crashes, then the later one, which fewer
  /// requests share.
  pub fn find_culprits(&mut self, now: u64) -> Vec<Culprit> {
    let mut found = Vec::new();
    loop {
      let settled = self.candidates().filter(|(.., at)| now >= *at);
      let culprit = settled
        .map(|(part, suspect, _)| Culprit {
          part: *part,
          crashes: suspect.chain(&self.explained).len(),
          position: suspect.position,
        })
        .max_by_key(|culprit| (culprit.position > 0, culprit.crashes, culprit.position));
      let Some(culprit) = culprit else {
        return found;
      };
      self.blame(culprit.part);
      found.push(culprit);
    }
  }

  /// Releases and returns the first parts that were blamed before the reports of another part arrived that
  /// is in all of their crashes. That part is found to be a culprit then.
  pub fn release_replaced(&mut self, now: u64) -> Vec<content::Key> {
    let replaced = self.blamed_firsts().filter(|(_, first)| {
      let mut suspects = self.suspects.values();
      suspects.any(|suspect| suspect.replaces(first, now))
    });
    let replaced: Vec<content::Key> = replaced.map(|(part, _)| *part).collect();
    for part in &replaced {
      self.blamed.remove(part);
      if let Some(suspect) = self.suspects.get(part) {
        let servers = &suspect.crashes;
        self
          .explained
          .retain(|server| !servers.contains_key(server));
      }
    }
    if !replaced.is_empty() {
      self.explain_again();
    }
    replaced
  }

  fn blamed_firsts(&self) -> impl Iterator<Item = (&content::Key, &Suspect)> {
    let blamed = self.blamed.iter();
    let known = blamed.filter_map(|part| Some((part, self.suspects.get(part)?)));
    known.filter(|(_, suspect)| suspect.position == 0)
  }

  /// Parts that may be to blame instead of first parts that were.
  fn replacing(&self) -> BTreeSet<content::Key> {
    let may_replace = |suspect: &Suspect| {
      let mut firsts = self.blamed_firsts();
      firsts.any(|(_, first)| suspect.may_replace(first))
    };
    let suspects = self.suspects.iter();
    let replacing = suspects.filter(|(_, suspect)| may_replace(suspect));
    replacing.map(|(part, _)| *part).collect()
  }

  /// Adds the crashes of all blamed parts to those explained.
  fn explain_again(&mut self) {
    let blamed: Vec<content::Key> = self.blamed.iter().copied().collect();
    for part in blamed {
      self.blame(part);
    }
  }

  /// Records that a part is to blame, as found here or by another instance.
  pub fn blame(&mut self, part: content::Key) {
    self.blamed.insert(part);
    if let Some(suspect) = self.suspects.get(&part) {
      let known = self.explained.len();
      self.explained.extend(suspect.crashes.keys());
      let refuted = self.refuted.len();
      self
        .refuted
        .retain(|server| !suspect.crashes.contains_key(server));
      self.explained_changed |= self.explained.len() > known || self.refuted.len() < refuted;
    }
  }

  /// Records that a part is no longer to blame; returns the servers whose crashes no part explains any more.
  pub fn release(&mut self, part: content::Key) -> BTreeSet<Life> {
    if !self.blamed.remove(&part) {
      return BTreeSet::new();
    }
    let suspect = self.suspects.get(&part);
    let servers = suspect
      .into_iter()
      .flat_map(|suspect| suspect.crashes.keys());
    let refuted = servers.filter(|server| !self.is_explained_by_blamed(server));
    let refuted: BTreeSet<Life> = refuted.copied().collect();
    self.refuted.extend(&refuted);
    refuted
  }

  fn is_explained_by_blamed(&self, server: &Life) -> bool {
    let blamed = self.blamed.iter();
    let mut suspects = blamed.filter_map(|part| self.suspects.get(part));
    suspects.any(|suspect| suspect.crashes.contains_key(server))
  }

  /// Whether there are crashes to analyze.
  pub fn has_suspects(&self, now: u64) -> bool {
    let mut suspects = self.suspects.values();
    self.explained_changed || suspects.any(|suspect| now < suspect.last_seen + CRASH_TTL_MS)
  }

  /// Whether a part was blamed.
  pub fn is_blamed(&self, part: content::Key) -> bool {
    self.blamed.contains(&part)
  }

  /// Whether more crashes are explained since the last call.
  pub fn take_explained_changed(&mut self) -> bool {
    std::mem::take(&mut self.explained_changed)
  }

  /// Servers whose crashes are explained by parts.
  pub fn explained(&self) -> BTreeSet<Life> {
    &self.explained - &self.refuted
  }
}
