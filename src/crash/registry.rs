//! Who is to blame for crashes.
//!
//! A crash ends every run of its server, and one of them brought it about. Most of the others
//! are served at their next server; the one to blame is there at every crash. Crashes are
//! explained by as few contents as can be, the heaviest first, anew with each crash that
//! becomes known: whoever was blamed for crashes that another content explains better is
//! released.

use super::{Crash, LISTED, Quarantined, Suspected, filter::SUSPECT_MS};
use crate::{content, life::Life};
use std::{
  cmp::Reverse,
  collections::{BTreeMap, BTreeSet},
};

/// Crashes after which a request is to blame: two may befall a request that only stands
/// beside one, for a route mostly allows two sends.
pub const CRASHES: usize = 3;
/// Crashes after which a request is held for its turn.
pub const SUSPICIOUS: usize = 2;
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
/// A verdict that is published thrice is over after this time, ms: what is released stays free.
const RELEASED_MS: u64 = 2_000;
/// Contents kept from servers at the most; the ones whose time ends first go first.
const QUARANTINED: usize = 256;
/// Runs that are ended by their own request differ by less in how far they came, ms: the
/// requests seen so far ended their servers before their first event. Of 139 companions in two
/// crashes or more on two days, 101 differed by more.
pub const ALIKE_MS: u32 = 50;
/// Most reports of one crash arrive within this time, ms: at six and seven instances those of
/// 178 of 184 crashes did, the slowest took 40.
const SETTLE_MS: u64 = 20;
/// An instance that is no judge knows its own crashes alone, and judges by them only where
/// nothing was heard of judges for this long, ms.
const LONE_MS: u64 = 1_000;

/// What is known of a content whose runs ended in crashes.
#[derive(Clone, Debug, Default)]
struct Suspect {
  /// Runs at each server that crashed.
  servers: BTreeMap<Life, BTreeSet<u32>>,
  /// How far its runs had come, least and most, ms.
  progress: Option<(u32, u32)>,
  /// When the last crash became known, ms.
  seen: u64,
  /// When there were enough to be to blame, ms.
  enough: Option<u64>,
}

/// How much speaks against a content: crashes first, then runs that came equally far, then
/// runs.
type Weight = (usize, bool, usize);

impl Suspect {
  /// Whether its runs came equally far before their servers ended.
  fn alike(&self) -> bool {
    self.spread() <= ALIKE_MS
  }

  fn spread(&self) -> u32 {
    self.progress.map_or(0, |(least, most)| most - least)
  }

  fn weight(&self, explained: &BTreeSet<Life>) -> Weight {
    let open = self.servers.iter();
    let open = open.filter(|(server, _)| !explained.contains(server));
    open.fold((0, self.alike(), 0), |(crashes, alike, runs), (_, of)| {
      (crashes + 1, alike, runs + of.len())
    })
  }

  fn shares(&self, other: &Self) -> bool {
    self
      .servers
      .keys()
      .any(|server| other.servers.contains_key(server))
  }
}

/// A content found to blame, or released.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Culprit {
  pub content: content::Key,
  /// Crashes that nothing else explains, and its runs there.
  pub crashes: usize,
  pub runs: usize,
}

/// Contents that explain the crashes.
#[derive(Debug, Default)]
struct Cover {
  blamed: Vec<Culprit>,
  explained: BTreeSet<Life>,
  /// Until when the heaviest contents are left alone because nothing tells them apart, ms.
  tied_until: Option<u64>,
}

impl Cover {
  fn blames(&self, content: &content::Key) -> bool {
    self.blamed.iter().any(|one| one.content == *content)
  }
}

/// Crashes, suspects and what is kept from servers, as one instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Registry {
  suspects: BTreeMap<content::Key, Suspect>,
  /// Until when contents are kept from servers, ms.
  quarantined: BTreeMap<content::Key, u64>,
  /// When something new became known of crashes, ms, until it is judged.
  unsettled: Option<u64>,
  /// Until when contents that nothing tells apart are left alone, ms.
  tied_until: Option<u64>,
  /// Contents that were released, and until when what others still publish against them does
  /// not count, ms.
  released: BTreeMap<content::Key, u64>,
  /// Suspects that were published, with their crashes.
  published: BTreeMap<content::Key, usize>,
}

impl Registry {
  /// Takes up crashes, some perhaps again.
  pub fn add(&mut self, now: u64, crashes: &[Crash]) {
    for crash in crashes {
      let suspect = self.suspects.entry(crash.content).or_default();
      suspect.seen = now;
      let known = suspect.servers.len();
      let runs = suspect.servers.entry(crash.server).or_default();
      if runs.len() < RUNS && runs.insert(crash.run) {
        let (least, most) = suspect.progress.unwrap_or((u32::MAX, 0));
        let progress = crash.progress_ms;
        suspect.progress = Some((least.min(progress), most.max(progress)));
      }
      if suspect.servers.len() > known {
        self.unsettled.get_or_insert(now);
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

  /// When what became known of crashes is to be judged here, ms: all instances report a crash
  /// within some milliseconds, and a part of the reports blames a companion. `judge`: whether
  /// crashes are reported to this instance; asked only once they are settled.
  pub fn analysis_at(&self, now: u64, judge: impl FnOnce() -> bool) -> Option<u64> {
    let settled = self.unsettled.map(|since| since + SETTLE_MS);
    let settled = settled.into_iter().chain(self.tied_until).min()?;
    match now < settled || judge() {
      true => Some(settled),
      false => Some(settled + LONE_MS),
    }
  }

  /// Finds contents to blame; from now on they are kept from servers.
  pub fn find_culprits(&mut self, now: u64) -> Vec<Culprit> {
    self.unsettled = None;
    let cover = self.cover(now);
    self.tied_until = cover.tied_until;
    let mut found = Vec::new();
    for sentence in cover.blamed {
      let content = sentence.content;
      self.released.remove(&content);
      let left_ms = QUARANTINE_MS as u32;
      if self.quarantine(now, Quarantined { content, left_ms }) {
        found.push(sentence);
      }
    }
    found
  }

  /// Contents kept from servers that were at some of the crashes that a content to blame was
  /// at, and at no other: companions that were blamed on less knowledge. They are released.
  pub fn release_companions(&mut self, now: u64) -> Vec<content::Key> {
    let cover = self.cover(now);
    let kept = self.quarantined.keys();
    let innocent = kept.filter(|content| self.accompanies(content, &cover));
    let innocent: Vec<content::Key> = innocent.copied().collect();
    for content in &innocent {
      self.quarantine(
        now,
        Quarantined {
          content: *content,
          left_ms: 0,
        },
      );
    }
    innocent
  }

  fn accompanies(&self, content: &content::Key, cover: &Cover) -> bool {
    let Some(suspect) = self.suspects.get(content) else {
      return false;
    };
    let blamed = cover.blamed.iter();
    let mut blamed = blamed.filter_map(|sentence| self.suspects.get(&sentence.content));
    !cover.blames(content)
      && blamed.any(|blamed| {
        let mut servers = suspect.servers.keys();
        let within = servers.all(|server| blamed.servers.contains_key(server));
        within && blamed.servers.len() > suspect.servers.len()
      })
  }

  /// As few contents as explain the crashes, the heaviest first.
  fn cover(&self, now: u64) -> Cover {
    let mut cover = Cover::default();
    loop {
      let heaviest = self.heaviest(now, &mut cover);
      if heaviest.is_empty() {
        return cover;
      }
      for sentence in heaviest {
        let servers = self.suspects[&sentence.content].servers.keys();
        cover.explained.extend(servers.copied());
        cover.blamed.push(sentence);
      }
    }
  }

  /// The content that most speaks against, where that is enough; all of them where several
  /// were in the same crashes, and time has not told them apart.
  fn heaviest(&self, now: u64, cover: &mut Cover) -> Vec<Culprit> {
    let suspects = self.suspects.iter();
    let weighed: Vec<(Weight, &content::Key, &Suspect)> = suspects
      .filter(|(content, _)| !cover.blames(content))
      .map(|(content, suspect)| (suspect.weight(&cover.explained), content, suspect))
      .filter(|((crashes, ..), ..)| *crashes >= CRASHES)
      .collect();
    let Some((most, _, first)) = weighed.iter().max_by_key(|(weight, ..)| *weight) else {
      return Vec::new();
    };
    let mut tied: Vec<Culprit> = weighed
      .iter()
      .filter(|(weight, _, suspect)| weight == most && first.shares(suspect))
      .map(|((crashes, _, runs), content, _)| Culprit {
        content: **content,
        crashes: *crashes,
        runs: *runs,
      })
      .collect();
    let kept = |sentence: &Culprit| self.quarantined.contains_key(&sentence.content);
    if tied.iter().any(kept) {
      // Another instance could tell them apart.
      tied.retain(kept);
      return tied;
    }
    let since = first.enough.unwrap_or(now);
    if tied.len() > 1 && now < since + TIED_MS {
      cover.tied_until = Some(since + TIED_MS);
      return Vec::new();
    }
    tied
  }

  /// Contents in two crashes or more that nothing explains and that may be to blame, in the
  /// order of their turns; none where they were published before.
  pub fn new_suspects(&mut self, now: u64) -> Vec<Suspected> {
    let mut open = self.open(now);
    open.sort_by_key(|(spread, content, crashes)| (Reverse(*crashes), *spread, *content));
    let new = |entry: &(u32, content::Key, usize)| {
      let (_, content, crashes) = entry;
      self.published.get(content) != Some(crashes)
    };
    if !open.iter().any(new) {
      return Vec::new();
    }
    let crashes = open
      .iter()
      .map(|(_, content, crashes)| (*content, *crashes));
    self.published = crashes.collect();
    let turns = open.into_iter().enumerate();
    let turns = turns.map(|(turn, (_, content, crashes))| Suspected {
      content,
      crashes: crashes as u32,
      turn: turn as u32,
    });
    turns.collect()
  }

  /// Contents in two crashes or more that nothing explains and that may be to blame: how much
  /// their runs differ, ms, and their crashes.
  fn open(&self, now: u64) -> Vec<(u32, content::Key, usize)> {
    let cover = self.cover(now);
    let suspects = self.suspects.iter();
    suspects
      .filter(|(content, suspect)| suspect.alike() && !self.quarantined.contains_key(content))
      .map(|(content, suspect)| {
        let (crashes, ..) = suspect.weight(&cover.explained);
        (suspect.spread(), *content, crashes)
      })
      .filter(|(.., crashes)| *crashes >= SUSPICIOUS)
      .collect()
  }

  /// The same for instances that start and have heard of no crash, as long as the others
  /// remember them.
  pub fn current_suspects(&self, now: u64) -> Vec<Suspected> {
    let open = self.open(now).into_iter();
    let lately = |content: &content::Key| now < self.suspects[content].seen + SUSPECT_MS;
    open
      .filter(|(_, content, _)| lately(content))
      .map(|(_, content, crashes)| Suspected {
        content,
        crashes: crashes as u32,
        turn: LISTED,
      })
      .collect()
  }

  /// Keeps a content from servers; whether that is new.
  pub fn quarantine(&mut self, now: u64, entry: Quarantined) -> bool {
    self.quarantined.retain(|_, until| now < *until);
    let until = now + u64::from(entry.left_ms);
    if until <= now {
      self.released.insert(entry.content, now + RELEASED_MS);
      return self.quarantined.remove(&entry.content).is_some();
    }
    self.released.retain(|_, until| now < *until);
    if self.released.contains_key(&entry.content) {
      return false;
    }
    if self.quarantined.contains_key(&entry.content) {
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

  /// Another instance that knows more has found who is to blame for what is known here.
  pub fn clear_suspects(&mut self) {
    self.suspects.clear();
    self.unsettled = None;
    self.tied_until = None;
  }

  /// Contents that crashes speak against, and contents kept from servers.
  pub fn sizes(&self) -> (usize, usize) {
    (self.suspects.len(), self.quarantined.len())
  }
}
