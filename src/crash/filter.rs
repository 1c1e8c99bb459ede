//! Which requests pass to servers: those that crash them do not, and suspects part.
//!
//! Load pattern: a crash throws twenty to ninety requests back at once, one of them its cause.
//! Where they all go on to the same next server it ends too, and after the third nothing tells
//! them apart. So a content that was in a crash goes to the server that its hash names, the
//! same one from all instances; after the second crash it waits for its turn there, and after
//! the third for the verdict. Pure: no I/O, no clock.

use super::{
  Crash, LISTED, Quarantined, Suspected,
  registry::{ALIKE_MS, CRASHES, SUSPICIOUS},
};
use crate::{content, life::Life};
use std::collections::HashMap;

/// A turn is published within this time after a second crash, ms: reports settle for 20 and
/// take some more to the judges and back.
const TURN_WAIT_MS: u64 = 100;
/// From one turn to the next, ms: a request that crashes servers ended them 130 to 230 ms
/// after it was sent.
const TURN_MS: u64 = 80;
/// Turns at the most; later suspects go with the last one. An innocent one waits for 260 ms,
/// with the time that reports take.
const TURNS: u32 = 3;
/// A verdict is published within this time after a third crash, ms: two that nothing tells
/// apart are both kept from servers after 1,500.
const VERDICT_WAIT_MS: u64 = 1_700;
/// Suspects are forgotten after this time, ms: each instance hears of later crashes anew.
pub(super) const SUSPECT_MS: u64 = 30_000;
/// Suspects remembered at the most, 100 bytes each; the ones least lately seen go first.
const SUSPECTS: usize = 1_024;

/// Whether a request may go to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
  Allowed,
  /// To the server that its content and this count of crashes name.
  Isolated(u32),
  /// Not before this time, ms.
  Delayed(u64),
  Denied,
}

#[derive(Clone, Debug, Default)]
struct Suspect {
  /// Servers that ended under it, as found here.
  servers: Vec<Life>,
  /// Crashes as known here or published.
  crashes: u32,
  /// How far its runs had come, least and most, ms.
  progress: Option<(u32, u32)>,
  /// It is not sent before this time, ms.
  wait_until: u64,
  seen: u64,
}

impl Suspect {
  fn alike(&self) -> bool {
    self
      .progress
      .is_none_or(|(least, most)| most - least <= ALIKE_MS)
  }
}

/// What one instance knows of requests that end servers.
#[derive(Clone, Debug, Default)]
pub struct Filter {
  /// Runs that ended with their servers and are not reported yet.
  crashes: Vec<Crash>,
  /// Until when contents go to no server, ms.
  quarantined: HashMap<content::Key, u64>,
  suspects: HashMap<content::Key, Suspect>,
}

impl Filter {
  /// Whether a request of this content may go to a server.
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

  /// Whether a content goes to no server.
  pub fn is_quarantined(&self, now: u64, content: content::Key) -> bool {
    let until = self.quarantined.get(&content);
    until.is_some_and(|until| now < *until)
  }

  /// A run has ended with its server.
  pub fn record_crash(&mut self, now: u64, crash: Crash) {
    self.crashes.push(crash);
    self.forget(now);
    let suspect = self.suspects.entry(crash.content).or_default();
    suspect.seen = now;
    let (least, most) = suspect.progress.unwrap_or((u32::MAX, 0));
    let progress = crash.progress_ms;
    suspect.progress = Some((least.min(progress), most.max(progress)));
    if suspect.servers.contains(&crash.server) {
      return;
    }
    if suspect.servers.len() < CRASHES {
      suspect.servers.push(crash.server);
    }
    suspect.crashes = suspect.crashes.max(suspect.servers.len() as u32);
    if suspect.alike() {
      let wait = match suspect.servers.len() {
        0..SUSPICIOUS => 0,
        SUSPICIOUS..CRASHES => TURN_WAIT_MS,
        _ => VERDICT_WAIT_MS,
      };
      suspect.wait_until = suspect.wait_until.max(now + wait);
    }
  }

  /// A request was served: its content ends no servers.
  pub fn record_served(&mut self, content: content::Key) {
    if !self.suspects.is_empty() {
      self.suspects.remove(&content);
    }
  }

  /// Takes up who may be to blame, with turns.
  pub fn update_suspects(&mut self, now: u64, entries: &[Suspected]) {
    self.forget(now);
    for entry in entries {
      let suspect = self.suspects.entry(entry.content).or_default();
      suspect.seen = now;
      // Found here a moment ago, and waiting for the turn; or heard from another judge.
      if entry.crashes < suspect.crashes {
        continue;
      }
      if entry.turn == LISTED {
        suspect.crashes = entry.crashes;
        continue;
      }
      let wait = match entry.crashes as usize {
        0..CRASHES => TURN_MS * u64::from(entry.turn.min(TURNS - 1)),
        _ => VERDICT_WAIT_MS,
      };
      suspect.crashes = entry.crashes;
      suspect.wait_until = now + wait;
    }
  }

  /// Takes up who goes to no server, or is released. The crashes are explained: nobody else
  /// is suspected for them.
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

  /// Runs that ended with their servers since this was last asked.
  pub fn take_crashes(&mut self) -> Vec<Crash> {
    std::mem::take(&mut self.crashes)
  }

  fn forget(&mut self, now: u64) {
    let kept = |suspect: &Suspect| now < suspect.seen + SUSPECT_MS;
    self.suspects.retain(|_, suspect| kept(suspect));
    while self.suspects.len() > SUSPECTS {
      let oldest = self.suspects.iter().min_by_key(|(_, suspect)| suspect.seen);
      let Some(oldest) = oldest.map(|(content, _)| *content) else {
        return;
      };
      self.suspects.remove(&oldest);
    }
  }
}
