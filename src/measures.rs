//! What a routing instance measures, scraped in the Prometheus text format.
//!
//! Labels have few values each: reasons, verdicts, ends and outcomes, never names of
//! requests, models or servers.

use crate::{
  command::{Act, Taken},
  dispatch::End,
  exporter::{Exporter, count, label, ms, seconds},
  refusal::Refusal,
};
use opentelemetry::metrics::{Counter, Histogram};

/// One send of a request, as it ended.
#[derive(Clone, Copy, Debug)]
pub struct Send {
  /// Counts the sends of the request, from 1.
  pub number: u32,
  pub end: End,
  /// From arrival to this send, ms.
  pub waited_ms: u64,
  /// From arrival to the first byte of the answer, ms.
  pub first_ms: Option<u64>,
  /// Longest pause between events, ms.
  pub pause_ms: u64,
}

/// The instruments of a routing instance.
pub struct Measures {
  exporter: Exporter,
  requests: Counter<u64>,
  sends: Counter<u64>,
  repeats: Counter<u64>,
  refusals: Counter<u64>,
  /// Callers that left while their request waited.
  left: Counter<u64>,
  connections: Counter<u64>,
  orders: Counter<u64>,
  leases: Counter<u64>,
  /// Failed watches of the store, by kind.
  lost: Counter<u64>,
  /// Entries of the store that are faulty, by kind.
  faulty: Counter<u64>,
  /// Requests that crash servers, found here or published by others.
  quarantined: Counter<u64>,
  first: Histogram<f64>,
  wait: Histogram<f64>,
  pause: Histogram<f64>,
}

impl Measures {
  /// Opens the instruments.
  pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
    let exporter = Exporter::open()?;
    let meter = exporter.meter();
    Ok(Self {
      requests: count(&meter, "routed_requests", "Requests taken"),
      sends: count(&meter, "routed_sends", "Sends to backend servers by end"),
      repeats: count(&meter, "routed_repeats", "Sends after the first"),
      refusals: count(&meter, "routed_refusals", "Refusals by reason and verdict"),
      left: count(&meter, "routed_left", "Callers that left while they waited"),
      connections: count(&meter, "routed_connections", "New connections to servers"),
      orders: count(&meter, "orders", "Orders to servers by act and outcome"),
      leases: count(&meter, "leases_taken", "Leases of orders taken here"),
      lost: count(
        &meter,
        "store_lost",
        "Losses of the platform's store by kind",
      ),
      faulty: count(&meter, "entries_faulty", "Faulty entries by kind"),
      quarantined: count(
        &meter,
        "requests_quarantined",
        "Requests kept from servers that they crash",
      ),
      first: seconds(&meter, "routed_first_byte", "From arrival to first byte"),
      wait: seconds(&meter, "routed_wait", "From arrival to the first send"),
      pause: seconds(&meter, "routed_pause", "Longest pause of a stream"),
      exporter,
    })
  }

  /// A request was taken.
  pub fn record_request(&self) {
    self.requests.add(1, &[]);
  }

  /// A send has ended.
  pub fn record_send(&self, send: &Send) {
    self.sends.add(1, &[label("end", send.end.as_str())]);
    match send.number {
      1 => self.wait.record(ms(send.waited_ms), &[]),
      _ => self.repeats.add(1, &[]),
    }
    if let (End::Whole, Some(first)) = (send.end, send.first_ms) {
      self.first.record(ms(first), &[]);
      // Plain answers have no pause.
      if send.pause_ms > 0 {
        self.pause.record(ms(send.pause_ms), &[]);
      }
    }
  }

  /// A request was refused.
  pub fn record_refusal(&self, refusal: &Refusal) {
    let reason = label("reason", refusal.reason.as_str());
    let verdict = label("verdict", refusal.verdict.as_str());
    self.refusals.add(1, &[reason, verdict]);
  }

  /// Requests are kept from servers from now on.
  pub fn record_quarantined(&self, requests: usize) {
    self.quarantined.add(requests as u64, &[]);
  }

  /// A caller left while its request waited.
  pub fn record_caller_gone(&self) {
    self.left.add(1, &[]);
  }

  /// A connection to a server came up.
  pub fn record_connection(&self) {
    self.connections.add(1, &[]);
  }

  /// An order has its outcome.
  pub fn record_order(&self, act: Act, taken: Taken) {
    let act = label("act", act.as_str());
    self.orders.add(1, &[act, label("taken", taken.as_str())]);
  }

  /// A lease was taken.
  pub fn record_lease(&self) {
    self.leases.add(1, &[]);
  }

  /// The store does not answer for a kind.
  pub fn record_store_lost(&self, kind: &str) {
    self.lost.add(1, &[label("kind", kind)]);
  }

  /// An entry of the store is faulty.
  pub fn record_invalid_entry(&self, kind: &str) {
    self.faulty.add(1, &[label("kind", kind)]);
  }

  /// All instruments in the text format; an error says what could not be encoded.
  pub fn text(&self) -> Result<String, prometheus::Error> {
    let mut text = Vec::new();
    self.exporter.encode(&mut text)?;
    Ok(String::from_utf8_lossy(&text).into_owned())
  }
}
