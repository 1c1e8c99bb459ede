//! Metrics of a routing instance, scraped in the Prometheus text format.
//!
//! Labels have low cardinality: reasons, verdicts, ends and outcomes, never names of
//! requests, models or servers.

use crate::{
  admission,
  command::{Act, Taken},
  dispatch::End,
  exporter::{Exporter, counter, label, ms_to_s, time_histogram},
  pace::Class,
  reader,
  refusal::Refusal,
};
use opentelemetry::metrics::{Counter, Histogram};
use std::time::Duration;

/// A completed send of a request.
#[derive(Clone, Copy, Debug)]
pub struct Send {
  /// Number of this send among the sends of the request, from 1.
  pub number: u32,
  pub end: End,
  /// Time from the request's arrival to this send.
  pub waited_ms: u64,
  /// Time from the request's arrival to the first byte of the response.
  pub first_ms: Option<u64>,
  /// Longest pause between events of the response.
  pub pause_ms: u64,
  /// Class of the server's pace; `None` if it is not measured.
  pub pace: Option<Class>,
  /// Whether it was expected to exceed its route's limits.
  pub expected_late: bool,
}

/// The instruments of a routing instance.
pub struct Measures {
  exporter: Exporter,
  requests: Counter<u64>,
  sends: Counter<u64>,
  retries: Counter<u64>,
  /// Sends that were expected to exceed their route's limits, for lack of a better server.
  expected_late: Counter<u64>,
  refusals: Counter<u64>,
  answers_cut: Counter<u64>,
  /// Callers that left a server before the first event.
  left_silent: Counter<u64>,
  /// Callers that disconnected while their request waited.
  callers_gone: Counter<u64>,
  connections: Counter<u64>,
  orders: Counter<u64>,
  leases: Counter<u64>,
  /// Failed watches of the store, by kind.
  store_losses: Counter<u64>,
  /// Invalid entries of the store, by kind.
  invalid_entries: Counter<u64>,
  /// Requests that crash servers, detected here or published by other instances.
  quarantined: Counter<u64>,
  /// Callers that were dropped because they did not read, by cause.
  readers_dropped: Counter<u64>,
  /// Callers' connections closed with their request unread, by cause.
  closed_unread: Counter<u64>,
  /// From the arrival of a caller's connection to the start of its thread.
  start_delay: Histogram<f64>,
  first_byte: Histogram<f64>,
  wait: Histogram<f64>,
  pause: Histogram<f64>,
}

impl Measures {
  /// Creates the instruments.
  pub fn new() -> Result<Self, Box<dyn std::error::Error>> {
    let exporter = Exporter::new()?;
    let meter = exporter.meter();
    Ok(Self {
      requests: counter(&meter, "routed_requests", "Requests taken"),
      sends: counter(&meter, "routed_sends", "Sends to backend servers by end"),
      retries: counter(&meter, "routed_repeats", "Sends after the first"),
      expected_late: counter(&meter, "routed_expected_late", "Sends expected to be late"),
      refusals: counter(&meter, "routed_refusals", "Refusals by reason and verdict"),
      answers_cut: counter(&meter, "answers_cut", "Answers that ended early, by reason"),
      callers_gone: counter(&meter, "routed_left", "Callers that left while they waited"),
      left_silent: counter(
        &meter,
        "routed_left_silent",
        "Callers that left a server before the first event",
      ),
      connections: counter(&meter, "routed_connections", "New connections to servers"),
      orders: counter(&meter, "orders", "Orders to servers by act and outcome"),
      leases: counter(&meter, "leases_taken", "Leases of orders taken here"),
      store_losses: counter(
        &meter,
        "store_lost",
        "Losses of the platform's store by kind",
      ),
      invalid_entries: counter(&meter, "entries_faulty", "Faulty entries by kind"),
      quarantined: counter(
        &meter,
        "requests_quarantined",
        "Requests kept from servers that they crash",
      ),
      readers_dropped: counter(
        &meter,
        "readers_dropped",
        "Callers dropped because they did not read, by cause",
      ),
      closed_unread: counter(
        &meter,
        "callers_closed_unread",
        "Connections of callers closed with their request unread, by cause",
      ),
      start_delay: time_histogram(
        &meter,
        "caller_start_delay",
        "From the arrival of a connection to the start of its thread",
      ),
      first_byte: time_histogram(&meter, "routed_first_byte", "From arrival to first byte"),
      wait: time_histogram(&meter, "routed_wait", "From arrival to the first send"),
      pause: time_histogram(&meter, "routed_pause", "Longest pause of a stream"),
      exporter,
    })
  }

  /// Records an accepted request.
  pub fn record_request(&self) {
    self.requests.add(1, &[]);
  }

  /// Records the end of a send.
  pub fn record_send(&self, send: &Send) {
    let end = label("end", send.end.as_str());
    match send.pace {
      Some(class) => {
        let pace = label("pace", class.as_str());
        self.sends.add(1, &[end, pace]);
      }
      None => self.sends.add(1, &[end]),
    }
    self.expected_late.add(u64::from(send.expected_late), &[]);
    if send.end == End::Left && send.first_ms.is_none() {
      self.left_silent.add(1, &[]);
    }
    match send.number {
      1 => self.wait.record(ms_to_s(send.waited_ms), &[]),
      _ => self.retries.add(1, &[]),
    }
    if let (End::Whole, Some(first_byte)) = (send.end, send.first_ms) {
      self.first_byte.record(ms_to_s(first_byte), &[]);
      // Responses that are not streamed have no pause.
      if send.pause_ms > 0 {
        self.pause.record(ms_to_s(send.pause_ms), &[]);
      }
    }
  }

  /// Records a refused request.
  pub fn record_refusal(&self, refusal: &Refusal) {
    let reason = label("reason", refusal.reason.as_str());
    let verdict = label("verdict", refusal.verdict.as_str());
    self.refusals.add(1, &[reason, verdict]);
  }

  /// Records a refusal of a request whose answer had begun: the caller got an incomplete answer.
  pub fn record_cut_answer(&self, refusal: &Refusal) {
    let reason = label("reason", refusal.reason.as_str());
    self.answers_cut.add(1, &[reason]);
  }

  /// Records newly quarantined requests.
  pub fn record_quarantined(&self, requests: usize) {
    self.quarantined.add(requests as u64, &[]);
  }

  /// Records a caller that disconnected while its request waited.
  pub fn record_caller_gone(&self) {
    self.callers_gone.add(1, &[]);
  }

  /// Records a caller that was dropped because it did not read.
  pub fn record_reader_dropped(&self, cause: reader::Cause) {
    self
      .readers_dropped
      .add(1, &[label("cause", cause.as_str())]);
  }

  /// Records a caller's connection that was closed with its request unread.
  pub fn record_closed_unread(&self, cause: admission::Cause) {
    self.closed_unread.add(1, &[label("cause", cause.as_str())]);
  }

  /// Records how long a connection of a caller waited for its thread.
  pub fn record_start_delay(&self, delay: Duration) {
    self.start_delay.record(delay.as_secs_f64(), &[]);
  }

  /// Records a new connection to a server.
  pub fn record_connection(&self) {
    self.connections.add(1, &[]);
  }

  /// Records the outcome of an order.
  pub fn record_order(&self, act: Act, taken: Taken) {
    let act = label("act", act.as_str());
    self.orders.add(1, &[act, label("taken", taken.as_str())]);
  }

  /// Records an acquired lease.
  pub fn record_lease(&self) {
    self.leases.add(1, &[]);
  }

  /// Records that the store did not respond for a kind.
  pub fn record_store_lost(&self, kind: &str) {
    self.store_losses.add(1, &[label("kind", kind)]);
  }

  /// Records an invalid entry of the store.
  pub fn record_invalid_entry(&self, kind: &str) {
    self.invalid_entries.add(1, &[label("kind", kind)]);
  }

  /// Encodes all instruments in the text format.
  ///
  /// # Errors
  ///
  /// An error says what could not be encoded.
  pub fn text(&self) -> Result<String, prometheus::Error> {
    let mut text = Vec::new();
    self.exporter.encode(&mut text)?;
    Ok(String::from_utf8_lossy(&text).into_owned())
  }
}
