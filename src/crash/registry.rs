//! Finds the requests that cause crashes.
//!
//! A crash ends every run of its server, and one of them, the culprit, caused it. Most of the
//! others, its companions, are served by their next server, while the culprit is present at
//! every crash. The crashes are explained by as few contents as possible, the highest score
//! first, and again with each newly reported crash. Contents that were blamed for crashes that
//! another content explains better are released.

use super::{
  Crash, Quarantined, REPUBLISHED, Suspected, cleared::Cleared, evict, filter::SUSPECT_TTL_MS,
  part::ASK_INTERVAL_MS, served::Question,
};
use crate::{content, life::Life};
use std::{
  cmp::Reverse,
  collections::{BTreeMap, BTreeSet},
};

/// Crashes after which a request is blamed. A request that only ran beside a culprit may be in
/// two, because most routes allow two sends.
pub const CULPRIT_CRASHES: usize = 3;
/// Servers that end within this time end together, as those on one machine do. A report that was lost is
/// repeated within it.
const TOGETHER_MS: u64 = 150;
/// Crashed servers after which a request waits for its turn.
pub const SUSPECT_CRASHES: usize = 2;
/// Two contents that were in the same crashes are both quarantined after this time: within it
/// the innocent one is mostly served. Half of 3 s, the shortest time within which deployments
/// require a quarantine.
const TIE_TIMEOUT_MS: u64 = 1_500;
/// Runs of a content that count at one crash. Two contents differ by fewer runs.
const MAX_RUNS_PER_CRASH: usize = 8;
/// Crashes are forgotten after this time: callers retry within seconds.
const CRASH_TTL_MS: u64 = 300_000;
/// Duration of a quarantine: by then an operator has fixed the servers or no longer needs it,
/// and a mistaken quarantine ends.
const QUARANTINE_MS: u64 = 1_800_000;
/// Duration of the quarantine of a content that is blamed again after its release. It is longer, which tells it
/// from a quarantine that began before the release.
const RENEWED_QUARANTINE_MS: u64 = QUARANTINE_MS + RELEASE_HOLD_MS;
/// About 200 bytes each; enough for all runs of 80 servers that crash together. The least
/// recently seen suspects are evicted first.
const MAX_SUSPECTS: usize = 1_024;
/// After the release of a content, all published quarantines of it that are not renewed are ignored for this
/// long: the three sends of an earlier quarantine are over by then.
const RELEASE_HOLD_MS: u64 = 2_000;
/// Time for which a release is published for instances that have just started: by then it is in the
/// store.
const RELEASE_PUBLISHED_MS: u64 = 10_000;
/// The quarantines that end first are evicted first.
const MAX_QUARANTINED: usize = 256;
/// Greatest difference in progress between the runs of a culprit: those seen so far crashed
/// their servers before their first event. Of 139 companions that were in two or more crashes
/// on two days, 101 differed by more.
pub const SIMILAR_PROGRESS_MS: u32 = 50;
/// Time in which most reports of a crash arrive. With six and seven instances those of 178 of
/// 184 crashes did; the slowest took 40 ms.
pub(super) const SETTLE_MS: u64 = 20;
/// An instance that is not an analyzer knows only its own crashes, and analyzes them only if
/// the analyzers have published nothing for this long.
const NON_ANALYZER_DELAY_MS: u64 = 1_000;

/// A content whose runs ended in crashes.
#[derive(Clone, Debug, Default)]
struct Suspect {
  /// Its runs, by crashed server.
  servers: BTreeMap<Life, Ended>,
  /// Lowest and highest progress of its runs, in ms.
  progress: Option<(u32, u32)>,
  /// When the last crash was reported, in ms.
  last_seen: u64,
  /// When the first crash was reported, and when instances were last asked, in ms.
  first_seen: u64,
  asked_at: Option<u64>,
  /// When it reached `CULPRIT_CRASHES`, in ms.
  culprit_since: Option<u64>,
}

/// The runs of a content at a server that crashed.
#[derive(Clone, Debug, Default)]
struct Ended {
  /// When the crash was first reported, in ms.
  at: u64,
  runs: BTreeSet<u32>,
}

/// Evidence against a content, in order of precedence: crashes, whether its runs had similar
/// progress, and runs.
type Score = (usize, bool, usize);

impl Suspect {
  /// Returns whether its runs had similar progress when their servers crashed.
  fn has_similar_progress(&self) -> bool {
    self.progress_spread_ms() <= SIMILAR_PROGRESS_MS
  }

  fn progress_spread_ms(&self) -> u32 {
    self
      .progress
      .map_or(0, |(lowest, highest)| highest - lowest)
  }

  /// Its runs at the servers whose crashes are not explained.
  fn unexplained(&self, explained: &BTreeSet<Life>) -> impl Iterator<Item = &Ended> {
    let servers = self.servers.iter();
    let unexplained = servers.filter(|(server, _)| !explained.contains(server));
    unexplained.map(|(_, ended)| ended)
  }

  /// The number of its crashes that are not explained. Runs that a request ends come equally far each time;
  /// where they have not, servers that ended together did so for another reason, and count once.
  fn crashes(&self, explained: &BTreeSet<Life>) -> usize {
    let unexplained = self.unexplained(explained);
    match self.has_similar_progress() {
      true => unexplained.count(),
      false => count_events(unexplained),
    }
  }

  fn score(&self, explained: &BTreeSet<Life>) -> Score {
    let crashes = self.crashes(explained);
    let runs = self.unexplained(explained).map(|ended| ended.runs.len());
    (crashes, self.has_similar_progress(), runs.sum())
  }

  /// Whether the crashes that are not explained are too few to blame it. Another instance may have
  /// blamed it for crashes that are unknown here.
  fn is_cleared_by(&self, explained: &BTreeSet<Life>) -> bool {
    let unexplained = self.crashes(explained);
    let is_known = self.crashes(&BTreeSet::new()) >= CULPRIT_CRASHES;
    unexplained == 0 || (is_known && unexplained < CULPRIT_CRASHES)
  }

  /// Whether both were in a crash that is not explained.
  fn shares_crash(&self, other: &Self, explained: &BTreeSet<Life>) -> bool {
    let mut servers = self.servers.keys();
    servers.any(|server| !explained.contains(server) && other.servers.contains_key(server))
  }
}

/// Number of events in which servers ended; those that ended together were one.
fn count_events<'a>(ended: impl Iterator<Item = &'a Ended>) -> usize {
  let mut times: Vec<u64> = ended.map(|ended| ended.at).collect();
  times.sort_unstable();
  let (mut events, mut counted_until) = (0, 0);
  for at in times {
    if events == 0 || at >= counted_until {
      events += 1;
      counted_until = at + TOGETHER_MS;
    }
  }
  events
}

/// A content found to cause crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Culprit {
  pub content: content::Key,
  /// Crashes that no other content explains, and its runs in them.
  pub crashes: usize,
  pub runs: usize,
}

/// Contents that explain the crashes, as few as possible.
#[derive(Debug, Default)]
struct Cover {
  culprits: Vec<Culprit>,
  explained: BTreeSet<Life>,
  /// Until when contents tied for the highest score are not blamed, in ms.
  tied_until: Option<u64>,
}

impl Cover {
  fn is_culprit(&self, content: &content::Key) -> bool {
    self
      .culprits
      .iter()
      .any(|culprit| culprit.content == *content)
  }
}

/// Crashes, suspects and quarantined contents known to an instance.
#[derive(Clone, Debug, Default)]
pub struct Registry {
  suspects: BTreeMap<content::Key, Suspect>,
  cleared: Cleared,
  /// When the quarantine of each content ends, in ms.
  quarantined: BTreeMap<content::Key, u64>,
  /// When the first crash since the last analysis was reported, in ms.
  unanalyzed_since: Option<u64>,
  /// Until when contents tied for the highest score are not blamed, in ms.
  tied_until: Option<u64>,
  /// When contents were released, in ms. Quarantines of them that began before are ignored.
  released: BTreeMap<content::Key, u64>,
  /// Servers whose crashes a part explains, and when that was found, in ms.
  explained: BTreeMap<Life, u64>,
  /// Published suspects, with their number of crashes.
  published: BTreeMap<content::Key, usize>,
}

impl Registry {
  /// Adds reported crashes; a crash may be reported several times.
  pub fn add(&mut self, now: u64, crashes: &[Crash]) {
    let explained = self.explained_servers();
    let cleared = &self.cleared;
    let counted = crashes
      .iter()
      .filter(|crash| !cleared.contains(crash.content, crash.server));
    for crash in counted {
      let suspect = self.suspects.entry(crash.content).or_insert(Suspect {
        first_seen: now,
        ..Suspect::default()
      });
      suspect.last_seen = now;
      let known_servers = suspect.servers.len();
      let ended = suspect.servers.entry(crash.server).or_insert(Ended {
        at: now,
        ..Ended::default()
      });
      let runs = &mut ended.runs;
      if runs.len() < MAX_RUNS_PER_CRASH && runs.insert(crash.run) {
        let (lowest, highest) = suspect.progress.unwrap_or((u32::MAX, 0));
        let progress = crash.progress_ms;
        suspect.progress = Some((lowest.min(progress), highest.max(progress)));
      }
      if suspect.servers.len() > known_servers && !explained.contains(&crash.server) {
        self.unanalyzed_since.get_or_insert(now);
      }
      if suspect.crashes(&explained) >= CULPRIT_CRASHES {
        suspect.culprit_since.get_or_insert(now);
      }
    }
    self.evict_suspects(now);
  }

  fn evict_suspects(&mut self, now: u64) {
    self.forget_explained(now);
    self
      .suspects
      .retain(|_, suspect| now < suspect.last_seen + CRASH_TTL_MS);
    evict(&mut self.suspects, MAX_SUSPECTS, |suspect| {
      suspect.last_seen
    });
  }

  /// Forgets crashes that were explained long ago.
  fn forget_explained(&mut self, now: u64) {
    let suspects = &mut self.suspects;
    self.explained.retain(|server, at| {
      let is_kept = now < *at + CRASH_TTL_MS;
      if !is_kept {
        suspects.values_mut().for_each(|suspect| {
          suspect.servers.remove(server);
        });
      }
      is_kept
    });
    suspects.retain(|_, suspect| !suspect.servers.is_empty());
  }

  fn explained_servers(&self) -> BTreeSet<Life> {
    self.explained.keys().copied().collect()
  }

  /// Returns when this instance has to analyze the reported crashes, in ms. All instances report a
  /// crash within a few milliseconds, and an analysis of only some of the reports blames a
  /// companion. `is_analyzer` returns whether crashes are reported to this instance; it is
  /// called only once the reports have settled.
  pub fn analysis_at(&self, now: u64, is_analyzer: impl FnOnce() -> bool) -> Option<u64> {
    let settled = self.unanalyzed_since.map(|since| since + SETTLE_MS);
    let settled = settled.into_iter().chain(self.tied_until).min()?;
    match now < settled || is_analyzer() {
      true => Some(settled),
      false => Some(settled + NON_ANALYZER_DELAY_MS),
    }
  }

  /// Finds contents that cause crashes and quarantines them; returns those newly quarantined.
  pub fn find_culprits(&mut self, now: u64) -> Vec<Culprit> {
    self.unanalyzed_since = None;
    let cover = self.cover(now);
    self.tied_until = cover.tied_until;
    let mut found = Vec::new();
    for culprit in cover.culprits {
      if self.quarantine_culprit(now, culprit.content) {
        found.push(culprit);
      }
    }
    found
  }

  /// Releases and returns companions: quarantined contents that were in some of a culprit's
  /// crashes and in no others, and were blamed while fewer crashes were known. Crashes that a part
  /// explains speak neither for nor against it.
  pub fn release_companions(&mut self, now: u64) -> Vec<content::Key> {
    let cover = self.cover(now);
    let quarantined = self.quarantined.keys();
    let innocent = quarantined.filter(|content| self.is_companion(content, &cover));
    let innocent: Vec<content::Key> = innocent.copied().collect();
    self.release(now, &innocent);
    innocent
  }

  fn is_companion(&self, content: &content::Key, cover: &Cover) -> bool {
    let Some(suspect) = self.suspects.get(content) else {
      return false;
    };
    let servers = self.unexplained_servers(suspect);
    let culprits = cover.culprits.iter();
    let mut culprits = culprits.filter_map(|culprit| self.suspects.get(&culprit.content));
    !servers.is_empty()
      && !cover.is_culprit(content)
      && culprits.any(|culprit| {
        let others = self.unexplained_servers(culprit);
        servers.is_subset(&others) && others.len() > servers.len()
      })
  }

  /// Servers whose crashes with a content no part explains.
  fn unexplained_servers(&self, suspect: &Suspect) -> BTreeSet<Life> {
    let servers = suspect.servers.keys();
    let unexplained = servers.filter(|server| !self.explained.contains_key(server));
    unexplained.copied().collect()
  }

  /// Explains the crashes by as few contents as possible, the highest score first.
  fn cover(&self, now: u64) -> Cover {
    let mut cover = Cover {
      explained: self.explained_servers(),
      ..Cover::default()
    };
    loop {
      let highest_scored = self.highest_scored(now, &mut cover);
      if highest_scored.is_empty() {
        return cover;
      }
      for culprit in highest_scored {
        let suspect = self.suspects.get(&culprit.content);
        let servers = suspect
          .into_iter()
          .flat_map(|suspect| suspect.servers.keys());
        cover.explained.extend(servers.copied());
        cover.culprits.push(culprit);
      }
    }
  }

  /// Returns the content with the highest score if it has enough crashes, or all contents tied
  /// for that score if they share a crash and the tie has lasted for `TIE_TIMEOUT_MS`.
  fn highest_scored(&self, now: u64, cover: &mut Cover) -> Vec<Culprit> {
    let suspects = self.suspects.iter();
    let scored: Vec<(Score, &content::Key, &Suspect)> = suspects
      .filter(|(content, _)| !cover.is_culprit(content))
      .map(|(content, suspect)| (suspect.score(&cover.explained), content, suspect))
      .filter(|((crashes, ..), ..)| *crashes >= CULPRIT_CRASHES)
      .collect();
    let Some((highest, _, first)) = scored.iter().max_by_key(|(score, ..)| *score) else {
      return Vec::new();
    };
    let explained = self.explained_servers();
    let mut tied: Vec<Culprit> = scored
      .iter()
      .filter(|(score, _, suspect)| score == highest && first.shares_crash(suspect, &explained))
      .map(|((crashes, _, runs), content, _)| Culprit {
        content: **content,
        crashes: *crashes,
        runs: *runs,
      })
      .collect();
    let is_quarantined = |culprit: &Culprit| self.quarantined.contains_key(&culprit.content);
    if tied.iter().any(is_quarantined) {
      // Another instance was able to break the tie.
      tied.retain(is_quarantined);
      return tied;
    }
    let since = first.culprit_since.unwrap_or(now);
    if tied.len() > 1 && now < since + TIE_TIMEOUT_MS {
      cover.tied_until = Some(since + TIE_TIMEOUT_MS);
      return Vec::new();
    }
    tied
  }

  /// Returns the servers that crashed under each content with enough crashes to be blamed.
  pub fn candidates(&self) -> Vec<BTreeSet<Life>> {
    let explained = self.explained_servers();
    let suspects = self.suspects.values();
    let candidates = suspects.filter(|suspect| {
      suspect.has_similar_progress() && suspect.crashes(&explained) >= CULPRIT_CRASHES
    });
    candidates
      .map(|suspect| suspect.servers.keys().copied().collect())
      .collect()
  }

  /// Returns the contents in two or more unexplained crashes that may be to blame, in the order
  /// of their turns; empty if all of them were published before.
  pub fn new_suspects(&mut self, now: u64) -> Vec<Suspected> {
    let mut suspects = self.unexplained_suspects(now);
    suspects.sort_by_key(|(progress_spread_ms, content, crashes)| {
      (Reverse(*crashes), *progress_spread_ms, *content)
    });
    let is_new = |entry: &(u32, content::Key, usize)| {
      let (_, content, crashes) = entry;
      self.published.get(content) != Some(crashes)
    };
    if !suspects.iter().any(is_new) {
      return Vec::new();
    }
    let crashes = suspects
      .iter()
      .map(|(_, content, crashes)| (*content, *crashes));
    self.published = crashes.collect();
    let turns = suspects.into_iter().enumerate();
    let turns = turns.map(|(turn, (_, content, crashes))| Suspected {
      content,
      crashes: crashes as u32,
      turn: turn as u32,
    });
    turns.collect()
  }

  /// Returns the contents at two or more servers whose crashes are not explained that may be to blame,
  /// each as the difference in progress of its runs in ms, the content and its number of servers.
  fn unexplained_suspects(&self, now: u64) -> Vec<(u32, content::Key, usize)> {
    let cover = self.cover(now);
    let suspects = self.suspects.iter();
    suspects
      .filter(|(content, suspect)| {
        suspect.has_similar_progress() && !self.quarantined.contains_key(content)
      })
      .map(|(content, suspect)| {
        let servers = suspect.unexplained(&cover.explained).count();
        (suspect.progress_spread_ms(), *content, servers)
      })
      .filter(|(.., crashes)| *crashes >= SUSPECT_CRASHES)
      .collect()
  }

  /// Returns the suspects for instances that have just started and know of no crash, as long as
  /// other instances remember these suspects.
  pub fn current_suspects(&self, now: u64) -> Vec<Suspected> {
    let suspects = self.unexplained_suspects(now).into_iter();
    let is_recent = |content: &content::Key| {
      let suspect = self.suspects.get(content);
      suspect.is_some_and(|suspect| now < suspect.last_seen + SUSPECT_TTL_MS)
    };
    suspects
      .filter(|(_, content, _)| is_recent(content))
      .map(|(_, content, crashes)| Suspected {
        content,
        crashes: crashes as u32,
        turn: REPUBLISHED,
      })
      .collect()
  }

  /// Quarantines or releases a content; returns whether anything changed.
  pub fn quarantine(&mut self, now: u64, entry: Quarantined) -> bool {
    self.quarantined.retain(|_, until| now < *until);
    let until = now + u64::from(entry.left_ms);
    if until <= now {
      let was_quarantined = self.quarantined.remove(&entry.content).is_some();
      // Otherwise holders that publish each other's releases would never end.
      if was_quarantined || !self.released.contains_key(&entry.content) {
        self.record_release(now, entry.content);
      }
      return was_quarantined;
    }
    if self.is_stale(now, entry) || self.quarantined.contains_key(&entry.content) {
      return false;
    }
    self.released.remove(&entry.content);
    self.quarantined.insert(entry.content, until);
    evict(&mut self.quarantined, MAX_QUARANTINED, |until| *until);
    true
  }

  fn record_release(&mut self, now: u64, content: content::Key) {
    self.released.retain(|_, at| now < *at + QUARANTINE_MS);
    self.released.insert(content, now);
    evict(&mut self.released, MAX_QUARANTINED, |at| *at);
  }

  /// Whether a quarantine began before its content was released.
  pub fn is_stale(&self, now: u64, entry: Quarantined) -> bool {
    let left_ms = u64::from(entry.left_ms);
    let released = self.released.get(&entry.content);
    released.is_some_and(|at| match now < at + RELEASE_HOLD_MS {
      true => left_ms <= QUARANTINE_MS,
      false => now + left_ms <= at + QUARANTINE_MS,
    })
  }

  /// Returns the questions to ask about contents in two or more crashes.
  pub fn questions(&mut self, now: u64) -> Vec<Question> {
    let mut questions = Vec::new();
    for (content, suspect) in &mut self.suspects {
      let is_due = suspect
        .asked_at
        .is_none_or(|at| now >= at + ASK_INTERVAL_MS);
      if is_due && suspect.servers.len() >= SUSPECT_CRASHES {
        suspect.asked_at = Some(now);
        questions.push(Question {
          key: *content,
          since_ms: (now - suspect.first_seen) as u32,
        });
      }
    }
    questions
  }

  /// Records that a request with a content or a part was served after its first crash; returns whether
  /// that releases it from the quarantine.
  pub fn record_served(&mut self, now: u64, key: content::Key) -> bool {
    if let Some(suspect) = self.suspects.remove(&key) {
      self.cleared.record(now, key, suspect.servers.keys());
    }
    self.published.remove(&key);
    let released = Quarantined {
      content: key,
      left_ms: 0,
    };
    self.quarantined.contains_key(&key) && self.quarantine(now, released)
  }

  /// Releases contents or parts that cause no crashes.
  pub fn release(&mut self, now: u64, keys: &[content::Key]) {
    for content in keys.iter().copied() {
      let released = Quarantined {
        content,
        left_ms: 0,
      };
      self.quarantine(now, released);
    }
  }

  /// Quarantines contents or parts that were found to cause crashes.
  pub fn quarantine_found(&mut self, now: u64, keys: &[content::Key]) {
    for content in keys.iter().copied() {
      self.quarantine_culprit(now, content);
    }
  }

  fn quarantine_culprit(&mut self, now: u64, content: content::Key) -> bool {
    let left_ms = match self.released.remove(&content) {
      Some(_) => RENEWED_QUARANTINE_MS,
      None => QUARANTINE_MS,
    };
    let left_ms = left_ms as u32;
    self.quarantine(now, Quarantined { content, left_ms })
  }

  /// Releases and returns the quarantined contents that would not be blamed without the crashes of these
  /// servers, which a part of their prompts explains, and counts these crashes no more.
  pub fn release_explained(&mut self, now: u64, explained: &BTreeSet<Life>) -> Vec<content::Key> {
    let is_new = |server: &Life| explained.contains(server) && !self.explained.contains_key(server);
    let suspects = self.suspects.iter();
    let innocent = suspects.filter(|(content, suspect)| {
      self.quarantined.contains_key(content)
        && suspect.servers.keys().any(is_new)
        && suspect.is_cleared_by(explained)
    });
    let innocent: Vec<content::Key> = innocent.map(|(content, _)| *content).collect();
    self.release(now, &innocent);
    for server in explained {
      self.explained.entry(*server).or_insert(now);
    }
    innocent
  }

  /// Counts the crashes of these servers again, after the part that explained them was released. They are due
  /// to be analyzed at once, as all their reports have arrived.
  pub fn count_again(&mut self, now: u64, servers: &BTreeSet<Life>) {
    for server in servers {
      if self.explained.remove(server).is_some() {
        let settled_since = now.saturating_sub(SETTLE_MS);
        self.unanalyzed_since.get_or_insert(settled_since);
      }
    }
    let explained = self.explained_servers();
    let suspects = self.suspects.values_mut();
    for suspect in suspects.filter(|suspect| suspect.crashes(&explained) >= CULPRIT_CRASHES) {
      suspect.culprit_since.get_or_insert(now);
    }
  }

  /// Returns the quarantined contents.
  pub fn quarantined(&self, now: u64) -> Vec<Quarantined> {
    let quarantined = self.quarantined.iter().filter(|(_, until)| now < **until);
    quarantined
      .map(|(content, until)| Quarantined {
        content: *content,
        left_ms: (until - now) as u32,
      })
      .collect()
  }

  /// Returns the quarantined contents and, without time left, those that were released lately.
  pub fn published(&self, now: u64) -> Vec<Quarantined> {
    let mut entries = self.quarantined(now);
    let released = self.released.iter();
    let released = released.filter(|(_, at)| now < **at + RELEASE_PUBLISHED_MS);
    entries.extend(released.map(|(content, _)| Quarantined {
      content: *content,
      left_ms: 0,
    }));
    entries
  }

  /// Whether there are crashes to analyze.
  pub fn has_suspects(&self, now: u64) -> bool {
    let mut suspects = self.suspects.values();
    suspects.any(|suspect| now < suspect.last_seen + CRASH_TTL_MS)
  }

  /// Drops all suspects after an instance that knows more has explained the crashes known here.
  pub fn clear_suspects(&mut self) {
    self.suspects.clear();
    self.unanalyzed_since = None;
    self.tied_until = None;
  }

  /// Returns the number of suspects and the number of quarantined contents.
  pub fn sizes(&self) -> (usize, usize) {
    (self.suspects.len(), self.quarantined.len())
  }
}
