//! Contents and parts of prompts that an instance has served, which speaks against their causing crashes.

use crate::content;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, HashMap};

/// Time for which an instance that was asked about a key reports it when it serves it.
const ASKED_MS: u64 = 30_000;
/// Number of keys after which the older half of those served is forgotten, 24 bytes each.
const MAX_SERVED: usize = 2_048;

/// Question whether requests with a content or a part of their prompts were served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Question {
  pub key: content::Key,
  /// Time since the first crash.
  pub since_ms: u32,
}

/// When an instance last served requests with each key, and what it was asked.
#[derive(Clone, Debug, Default)]
pub struct Served {
  latest: HashMap<content::Key, u64>,
  earlier: HashMap<content::Key, u64>,
  /// Until when a key is to be reported when it is served, in ms.
  asked: HashMap<content::Key, u64>,
  answers: BTreeSet<content::Key>,
}

impl Served {
  /// Records that a request with this content and these parts was served whole; returns whether that
  /// is to be reported.
  pub fn record(&mut self, now: u64, content: content::Key, parts: &[content::Key]) -> bool {
    for key in parts.iter().chain([&content]) {
      if self.latest.len() >= MAX_SERVED {
        self.earlier = std::mem::take(&mut self.latest);
      }
      self.latest.insert(*key, now);
      if self.asked.remove(key).is_some_and(|until| now < until) {
        self.answers.insert(*key);
      }
    }
    !self.answers.is_empty()
  }

  /// Receives questions; returns whether there are answers.
  pub fn ask(&mut self, now: u64, questions: &[Question]) -> bool {
    self.asked.retain(|_, until| now < *until);
    for question in questions {
      let latest = self.latest.get(&question.key);
      let served_at = latest.or_else(|| self.earlier.get(&question.key));
      let since = now.saturating_sub(question.since_ms.into());
      if served_at.is_some_and(|at| *at > since) {
        self.answers.insert(question.key);
      } else {
        self.asked.insert(question.key, now + ASKED_MS);
      }
    }
    !self.answers.is_empty()
  }

  /// Takes the keys that were served, for the instances that asked.
  pub fn take_answers(&mut self) -> Vec<content::Key> {
    let answers = std::mem::take(&mut self.answers);
    answers.into_iter().collect()
  }
}
