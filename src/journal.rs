//! The timeline of one instance: a bounded record of state changes.

use crate::{refusal::Reason, verdict::Verdict};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A state change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "what")]
pub enum Entry {
  Waiting {
    model: String,
    policy: String,
  },
  Decided {
    model: String,
    replica: String,
    server: String,
    policy: String,
  },
  Ordered {
    model: String,
    replica: String,
    server: String,
  },
  Ready {
    model: String,
    replica: String,
    server: String,
    policy: String,
    took_ms: u64,
  },
  Retiring {
    model: String,
    replica: String,
    server: String,
    why: String,
  },
  Gone {
    model: String,
    replica: String,
    server: String,
  },
  /// A request was dispatched after it waited for a load.
  Cold {
    model: String,
    policy: String,
    waited_ms: u64,
  },
  /// A request was dispatched without a load.
  Warm {
    policy: String,
    waited_ms: u64,
  },
  Refused {
    policy: String,
    reason: Reason,
    verdict: Verdict,
  },
  /// A loaded replica was idle.
  Idle {
    model: String,
    policy: String,
    ms: u64,
  },
  Retried {
    verdict: Verdict,
  },
  Member {
    instance: String,
    state: String,
  },
  /// Configuration objects took effect; `version` is the version of the newest.
  Configured {
    objects: usize,
    version: u64,
  },
  Rejected {
    object: String,
    version: u64,
    why: String,
  },
  PlatformLost,
  PlatformBack,
  Claimed {
    grouped: u32,
  },
  Stopping,
}

impl Entry {
  /// Whether the entry counts an event rather than being a state change worth a log line.
  pub fn is_count(&self) -> bool {
    matches!(
      self,
      Self::Cold { .. }
        | Self::Warm { .. }
        | Self::Idle { .. }
        | Self::Retried { .. }
        | Self::Refused { .. }
        | Self::Claimed { .. }
    )
  }
}

/// The fields of an entry as typed key-value pairs of a log line.
pub struct Fields<'a>(pub &'a Entry);

impl slog::KV for Fields<'_> {
  fn serialize(&self, _: &slog::Record, out: &mut dyn slog::Serializer) -> slog::Result {
    let fields = serde_json::to_value(self.0).map_err(std::io::Error::other)?;
    for (name, value) in fields.as_object().into_iter().flatten() {
      match (value.as_u64(), value.as_str()) {
        (Some(number), _) => out.emit_u64(name.clone().into(), number)?,
        (_, Some(text)) => out.emit_str(name.clone().into(), text)?,
        _ => out.emit_str(name.clone().into(), &value.to_string())?,
      }
    }
    Ok(())
  }
}

/// An entry with its time in ms.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
  pub at: u64,
  #[serde(flatten)]
  pub entry: Entry,
}

/// The newest lines of the timeline.
#[derive(Debug, Default)]
pub struct Journal {
  lines: VecDeque<Line>,
}

/// Maximum number of lines kept.
const MAX_LINES: usize = 10_000;

impl Journal {
  /// Appends a line; drops the oldest if the journal is full.
  pub fn push(&mut self, at: u64, entry: Entry) {
    if self.lines.len() == MAX_LINES {
      self.lines.pop_front();
    }
    self.lines.push_back(Line { at, entry });
  }

  /// The lines, oldest first.
  pub fn lines(&self) -> impl Iterator<Item = &Line> {
    self.lines.iter()
  }
}
