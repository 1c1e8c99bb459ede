//! Who is to blame for crashes.
//!
//! A crash ends every run of its server, and one of them brought it about. Most of the others
//! are served at their next server; the one to blame is there at every crash, mostly in
//! several runs at once. So contents are judged in the order of the crashes that nothing else
//! explains, and those beside a content that is to blame are cleared of them.

use super::{Crash, Quarantined};
use crate::{content, life::Life};
use std::collections::{BTreeMap, BTreeSet};

/// Crashes after which a request is to blame: two may befall a request that only stands
/// beside one, for a route mostly allows two sends.
const CRASHES: usize = 3;
/// Where two were in the same crashes, both are kept from servers after this time, ms: within
/// it the one that is not to blame is mostly served. Half of the least time, 3 s, in which
/// deployments want a request kept from servers.
const TIED_MS: u64 = 1_500;
/// Runs of a content counted at one crash: two contents differ by less.
const RUNS: usize = 8;
/// A crash counts for so long, ms: callers come again within seconds.
const COUNTS_MS: u64 = 300_000;
/// A request is kept from servers for so long, ms: an operator has mended its servers, or
/// cares no longer, and a mistake has an end.
const QUARANTINE_MS: u64 = 1_800_000;
/// Contents remembered at the most, 200 bytes each: all runs of eighty servers that crash
/// together. The ones least lately seen go first.
const SUSPECTS: usize = 1_024;
/// Contents kept from servers at the most; the ones whose time ends first go first.
const QUARANTINED: usize = 256;

/// What is known of a content whose runs ended in crashes.
#[derive(Clone, Debug, Default)]
struct Suspect {
  /// Runs at each server that crashed.
  servers: BTreeMap<Life, BTreeSet<u32>>,
  /// When the last crash became known, ms.
  seen: u64,
  /// When there were enough to be to blame, ms.
  enough: Option<u64>,
}

/// How much speaks against a content: crashes first, then runs in them.
type Weight = (usize, usize);

impl Suspect {
  fn weight(&self, explained: &BTreeSet<Life>) -> Weight {
    let open = self.servers.iter();
    let open = open.filter(|(server, _)| !explained.contains(server));
    open.fold((0, 0), |(crashes, runs), (_, of)| {
      (crashes + 1, runs + of.len())
    })
  }
}

/// A content found to blame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sentence {
  pub content: content::Key,
  /// Crashes that nothing else explains, and its runs there.
  pub crashes: usize,
  pub runs: usize,
}

/// Crashes, suspects and what is kept from servers, as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
  suspects: BTreeMap<content::Key, Suspect>,
  /// Until when contents are kept from servers, ms.
  quarantined: BTreeMap<content::Key, u64>,
}

impl Registry {
  /// Takes up crashes, some perhaps again.
  pub fn add(&mut self, now: u64, crashes: &[Crash]) {
    for crash in crashes {
      let suspect = self.suspects.entry(crash.content).or_default();
      suspect.seen = now;
      let runs = suspect.servers.entry(crash.server).or_default();
      if runs.len() < RUNS {
        runs.insert(crash.run);
      }
      if suspect.servers.len() >= CRASHES {
        suspect.enough.get_or_insert(now);
      }
    }
    self.forget(now);
  }

  fn forget(&mut self, now: u64) {
    self
      .suspects
      .retain(|_, suspect| now < suspect.seen + COUNTS_MS);
    while self.suspects.len() > SUSPECTS {
      let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.seen);
      let Some(oldest) = oldest.map(|(content, _)| *content) else {
        return;
      };
      self.suspects.remove(&oldest);
    }
  }

  /// Finds contents to blame; from now on they are kept from servers.
  pub fn judge(&mut self, now: u64) -> Vec<Sentence> {
    let mut found = Vec::new();
    loop {
      let heaviest = self.heaviest(now);
      if heaviest.is_empty() {
        return found;
      }
      for sentence in heaviest {
        let content = sentence.content;
        let left_ms = QUARANTINE_MS as u32;
        self.quarantine(now, Quarantined { content, left_ms });
        found.push(sentence);
      }
    }
  }

  /// The content that most speaks against, where that is enough; all of them where several
  /// were in the same crashes, and time has not told them apart.
  fn heaviest(&self, now: u64) -> Vec<Sentence> {
    let explained = self.explained();
    let suspects = self.suspects.iter();
    let weighed: Vec<(Weight, &content::Key, &Suspect)> = suspects
      .filter(|(content, _)| !self.quarantined.contains_key(content))
      .filter(|(_, suspect)| suspect.servers.len() >= CRASHES)
      .map(|(content, suspect)| (suspect.weight(&explained), content, suspect))
      .filter(|((crashes, _), ..)| *crashes >= CRASHES)
      .collect();
    let Some((most, _, first)) = weighed.iter().max_by_key(|(weight, ..)| *weight) else {
      return Vec::new();
    };
    let tied = weighed
      .iter()
      .filter(|(weight, _, suspect)| weight == most && shares(first, suspect));
    let tied: Vec<Sentence> = tied
      .map(|((crashes, runs), content, _)| Sentence {
        content: **content,
        crashes: *crashes,
        runs: *runs,
      })
      .collect();
    let since = first.enough.unwrap_or(now);
    if tied.len() > 1 && now < since + TIED_MS {
      return Vec::new();
    }
    tied
  }

  /// Crashes that a content kept from servers was in.
  fn explained(&self) -> BTreeSet<Life> {
    let blamed = self.quarantined.keys();
    let blamed = blamed.filter_map(|content| self.suspects.get(content));
    blamed
      .flat_map(|suspect| suspect.servers.keys().copied())
      .collect()
  }

  /// Keeps a content from servers; whether that is new.
  pub fn quarantine(&mut self, now: u64, entry: Quarantined) -> bool {
    self.quarantined.retain(|_, until| now < *until);
    let until = now + u64::from(entry.left_ms);
    let known = self.quarantined.get(&entry.content).copied();
    if known.is_some() || until <= now {
      return false;
    }
    self.quarantined.insert(entry.content, until);
    if self.quarantined.len() > QUARANTINED {
      let first = self.quarantined.iter().min_by_key(|(_, until)| **until);
      if let Some(first) = first.map(|(content, _)| *content) {
        self.quarantined.remove(&first);
      }
    }
    true
  }

  /// What is kept from servers.
  pub fn quarantined(&self, now: u64) -> Vec<Quarantined> {
    let kept = self.quarantined.iter().filter(|(_, until)| now < **until);
    kept
      .map(|(content, until)| Quarantined {
        content: *content,
        left_ms: (until - now) as u32,
      })
      .collect()
  }

  /// Contents that crashes speak against, and contents kept from servers.
  pub fn sizes(&self) -> (usize, usize) {
    (self.suspects.len(), self.quarantined.len())
  }
}

fn shares(one: &Suspect, other: &Suspect) -> bool {
  one
    .servers
    .keys()
    .any(|server| other.servers.contains_key(server))
}
