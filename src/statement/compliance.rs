//! Measures how far sends respected server statements, by instance and server: the last send after
//! a response that announced that the server is leaving, and the sends during each backoff.

use crate::explain::Line;
use serde_json::Value;
use std::collections::BTreeMap;

/// Sends within this time after a response that requests a backoff may have crossed it.
const MAX_CROSSING_MS: f64 = 500.0;

/// A send, as read from its log line; times in ms of the day.
struct Send<'a> {
  line: &'a Line,
  sent_at: f64,
  /// When the head of the response arrived; `None` without a response.
  head_at: Option<f64>,
}

impl<'a> Send<'a> {
  fn new(line: &'a Line) -> Self {
    let number = |field: &str| line.fields.get(field).and_then(Value::as_f64);
    let sent_at = line.at * 1_000.0 - number("took_ms").unwrap_or_default();
    Self {
      line,
      sent_at,
      head_at: number("head_ms").map(|after| sent_at + after),
    }
  }

  /// When a response announced that its server is leaving.
  fn leaving(&self) -> Option<f64> {
    self.line.text("leaving").and(self.head_at)
  }

  /// Start and end of the backoff that a response requested.
  fn backoff(&self) -> Option<(f64, f64)> {
    let seconds = self.line.text("retry_after")?.parse::<f64>().ok()?;
    let from = self.head_at?;
    Some((from + MAX_CROSSING_MS, from + seconds * 1_000.0))
  }
}

/// Sends by instance and server, in order of time.
fn sends(lines: &[Line]) -> BTreeMap<(&str, &str), Vec<Send<'_>>> {
  let mut sends: BTreeMap<(&str, &str), Vec<Send>> = BTreeMap::new();
  for line in lines.iter().filter(|line| line.message() == "sent") {
    if let (Some(instance), Some(server)) = (line.text("instance"), line.text("server")) {
      let sends = sends.entry((instance, server)).or_default();
      sends.push(Send::new(line));
    }
  }
  for sends in sends.values_mut() {
    sends.sort_by(|a, b| a.sent_at.total_cmp(&b.sent_at));
  }
  sends
}

/// Time in ms from the first response that announced that the server is leaving to the last send,
/// by instance and server; 0 if no send followed.
pub fn last_send_after_leaving(lines: &[Line]) -> Vec<(String, String, u64)> {
  let pairs = sends(lines).into_iter();
  let measured = pairs.filter_map(|((instance, server), sends)| {
    let announced_at = sends.iter().filter_map(Send::leaving);
    let announced_at = announced_at.min_by(f64::total_cmp)?;
    let last = sends.last()?.sent_at;
    let after = (last - announced_at).max(0.0).round() as u64;
    Some((instance.to_string(), server.to_string(), after))
  });
  measured.collect()
}

/// Maximum number of sends during one backoff by instance and server, without those that may have
/// crossed the response that requested it.
pub fn sends_during_backoff(lines: &[Line]) -> Vec<(String, String, usize)> {
  let pairs = sends(lines).into_iter();
  let measured = pairs.filter_map(|((instance, server), sends)| {
    let backoffs = sends.iter().filter_map(Send::backoff);
    let within = |(from, to): (f64, f64)| {
      let sends = sends.iter();
      sends
        .filter(|send| (from..to).contains(&send.sent_at))
        .count()
    };
    let most = backoffs.map(within).max()?;
    Some((instance.to_string(), server.to_string(), most))
  });
  measured.collect()
}
