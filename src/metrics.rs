//! Metrics of an instance with engines, scraped in the Prometheus text format.

use crate::{
  exporter::{Exporter, counter, label, ms_to_s, time_histogram},
  journal::Entry,
};
use opentelemetry::metrics::{Counter, Histogram};

/// The instruments of one instance.
pub struct Metrics {
  exporter: Exporter,
  cold: Histogram<f64>,
  queue: Histogram<f64>,
  load: Histogram<f64>,
  refusals: Counter<u64>,
  retries: Counter<u64>,
  decisions: Counter<u64>,
  unloads: Counter<u64>,
  idle: Counter<f64>,
  claims: Counter<u64>,
  claim_writes: Counter<u64>,
  /// Calls to the platform, by result.
  calls: Counter<u64>,
}

impl Metrics {
  /// Creates the instruments.
  pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
    let exporter = Exporter::new()?;
    let meter = exporter.meter();
    let idle = meter
      .f64_counter("idle_accelerator")
      .with_description("Time for which loaded replicas stood idle, by policy")
      .with_unit("s")
      .build();
    Ok(Self {
      cold: time_histogram(&meter, "cold_start", "Wait of requests that needed a load"),
      queue: time_histogram(&meter, "queue", "Wait of requests that needed none"),
      load: time_histogram(&meter, "load", "From decision to loaded replica"),
      refusals: counter(&meter, "refusals", "Refusals by reason and verdict"),
      retries: counter(&meter, "retries", "Attempts after the first"),
      decisions: counter(&meter, "loads_decided", "Replicas decided"),
      unloads: counter(&meter, "unloads", "Replicas let go"),
      claims: counter(&meter, "claims", "Claim changes written"),
      claim_writes: counter(&meter, "claim_writes", "Updates that carried them"),
      calls: counter(&meter, "platform_calls", "Calls to the platform by result"),
      idle,
      exporter,
    })
  }

  /// Records a journal entry.
  pub fn record_entry(&self, entry: &Entry) {
    match entry {
      Entry::Cold {
        policy, waited_ms, ..
      } => self
        .cold
        .record(ms_to_s(*waited_ms), &[label("policy", policy)]),
      Entry::Warm { policy, waited_ms } => {
        self
          .queue
          .record(ms_to_s(*waited_ms), &[label("policy", policy)]);
      }
      Entry::Ready {
        policy, took_ms, ..
      } => self
        .load
        .record(ms_to_s(*took_ms), &[label("policy", policy)]),
      Entry::Refused {
        policy,
        reason,
        verdict,
      } => self.refusals.add(
        1,
        &[
          label("policy", policy),
          label("reason", reason.as_str()),
          label("verdict", verdict.as_str()),
        ],
      ),
      Entry::Retried { verdict } => self.retries.add(1, &[label("verdict", verdict.as_str())]),
      Entry::Decided { policy, .. } => self.decisions.add(1, &[label("policy", policy)]),
      Entry::Retiring { why, .. } => self.unloads.add(1, &[label("why", why)]),
      Entry::Idle {
        policy, ms: idle, ..
      } => self.idle.add(ms_to_s(*idle), &[label("policy", policy)]),
      Entry::Claimed { grouped } => {
        self.claims.add(u64::from(*grouped), &[]);
        self.claim_writes.add(1, &[]);
      }
      _ => {}
    }
  }

  /// Records platform calls made since the previous call of this method.
  pub fn record_platform_calls(&self, answered: u64, failed: u64) {
    self.calls.add(answered, &[label("result", "answered")]);
    self.calls.add(failed, &[label("result", "failed")]);
  }

  /// Encodes all instruments in the text format.
  pub fn text(&self) -> String {
    let mut text = Vec::new();
    // Writing to memory does not fail; an encoding error truncates the text.
    let _ = self.exporter.encode(&mut text);
    String::from_utf8_lossy(&text).into_owned()
  }
}
