//! How close requests came to what servers had said: for each instance and server, its last send
//! after an answer that said that the server leaves, and its sends in each rest that was asked for.

use crate::explain::Line;
use serde_json::Value;
use std::collections::BTreeMap;

/// Sends so soon after an answer that asks for rest may have crossed it, ms.
const CROSSING_MS: f64 = 500.0;

/// A send, as its line names it; times in ms of the day.
struct Send<'a> {
  line: &'a Line,
  sent: f64,
  /// When the answer's head came; none: no answer did.
  answered: Option<f64>,
}

impl<'a> Send<'a> {
  fn of(line: &'a Line) -> Self {
    let number = |field: &str| line.fields.get(field).and_then(Value::as_f64);
    let sent = line.at * 1_000.0 - number("took_ms").unwrap_or_default();
    Self {
      line,
      sent,
      answered: number("head_ms").map(|after| sent + after),
    }
  }

  /// When an answer said that its server leaves.
  fn leaving(&self) -> Option<f64> {
    self.line.text("leaving").and(self.answered)
  }

  /// When an answer asked for rest, and until when.
  fn rest(&self) -> Option<(f64, f64)> {
    let seconds = self.line.text("retry_after")?.parse::<f64>().ok()?;
    let from = self.answered?;
    Some((from + CROSSING_MS, from + seconds * 1_000.0))
  }
}

/// Sends by instance and server, in order of time.
fn sends(lines: &[Line]) -> BTreeMap<(&str, &str), Vec<Send<'_>>> {
  let mut sends: BTreeMap<(&str, &str), Vec<Send>> = BTreeMap::new();
  for line in lines.iter().filter(|line| line.message() == "sent") {
    if let (Some(instance), Some(server)) = (line.text("instance"), line.text("server")) {
      let sends = sends.entry((instance, server)).or_default();
      sends.push(Send::of(line));
    }
  }
  for sends in sends.values_mut() {
    sends.sort_by(|one, two| one.sent.total_cmp(&two.sent));
  }
  sends
}

/// By instance and server: how long after the first answer that said that it leaves the last send
/// went out, ms; 0: none did.
pub fn last_send_after_leaving(lines: &[Line]) -> Vec<(String, String, u64)> {
  let pairs = sends(lines).into_iter();
  let measured = pairs.filter_map(|((instance, server), sends)| {
    let told = sends.iter().filter_map(Send::leaving);
    let told = told.min_by(f64::total_cmp)?;
    let last = sends.last()?.sent;
    let after = (last - told).max(0.0).round() as u64;
    Some((instance.to_string(), server.to_string(), after))
  });
  measured.collect()
}

/// By instance and server: the most sends in one rest, but for those that may have crossed the
/// answer that asked for it.
pub fn sends_during_backoff(lines: &[Line]) -> Vec<(String, String, usize)> {
  let pairs = sends(lines).into_iter();
  let measured = pairs.filter_map(|((instance, server), sends)| {
    let rests = sends.iter().filter_map(Send::rest);
    let within = |(from, to): (f64, f64)| {
      let sends = sends.iter();
      sends.filter(|send| (from..to).contains(&send.sent)).count()
    };
    let most = rests.map(within).max()?;
    Some((instance.to_string(), server.to_string(), most))
  });
  measured.collect()
}
