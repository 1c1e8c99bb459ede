//! Forwards a server's response to the caller, and measures streams.

use super::{Outcome, Relay, disconnected, outcome};
use crate::{
  dispatch::{Attempt, End, Event},
  http::{Decoder, Framing, Response},
  socket::{Fill, Socket},
};

/// Maximum bytes of a plain response held back until it is complete.
const MAX_HELD_BYTES: usize = 256 << 10;

impl Relay<'_> {
  /// Records when an event arrived; the first one starts the response.
  pub(super) fn record_event(&mut self) {
    let now = self.hub.now();
    if self.first_event_at.is_some() {
      let gap_ms = now - self.last_event_at;
      self.max_gap_ms = self.max_gap_ms.max(gap_ms);
      self.record_gap(gap_ms);
    }
    self.last_event_at = now;
    if self.first_event_at.is_none() {
      self.first_event_at = Some(now);
      self.apply(Event::ResponseStarted(self.ticket));
    }
  }

  /// Measures the server's pace by the gaps between its events. The first gap of a later send is the
  /// wait for its first event.
  fn record_gap(&mut self, gap_ms: u64) {
    if !self.measures_pace {
      return;
    }
    if std::mem::replace(&mut self.resumed, false) {
      return self.gaps.clear();
    }
    let middle_ms = self.gaps.add(gap_ms);
    self.record_measure(middle_ms);
  }

  fn record_measure(&self, ms: Option<f32>) {
    if let Some(ms) = ms {
      self.apply(Event::Measured(self.ticket, ms));
    }
  }

  /// Measures the server's pace by a completed response.
  pub(super) fn record_completed(&mut self, end: End, sent_at: u64) {
    if !self.measures_pace {
      return;
    }
    let plain = self.incoming.route.stream.is_none() && self.model().is_none();
    let took_ms = self.hub.now().saturating_sub(sent_at).max(1) as f32;
    let measure = match self.gaps.finish() {
      None if plain && end == End::Whole => Some(took_ms),
      middle_ms => middle_ms,
    };
    self.record_measure(measure);
  }

  /// Reports the mean gap between the events of a complete stream.
  pub(super) fn report_gap(&self) {
    let gaps = self.events.count.saturating_sub(1);
    if let (Some(first), true) = (self.first_event_at, gaps > 0) {
      let gap_ms = (self.last_event_at - first) as f32 / gaps as f32;
      self.apply(Event::Streamed {
        ticket: self.ticket,
        gap_ms,
      });
    }
  }

  /// Reads a complete plain response before the caller receives any of it, unless it is too large
  /// to hold. One that has begun is only ended by its server or the deadline: no other run can
  /// continue it.
  pub(super) fn relay_plain(
    &mut self,
    socket: &mut Socket,
    head: Response,
    framing: Framing,
    attempt: &Attempt,
  ) -> Result<Outcome, Outcome> {
    let mut body = Decoder::new(framing);
    let mut bytes = Vec::new();
    let mut until = self.read_deadline(false);
    // The caller already received the start of another response, which this one cannot continue.
    let astray = self.response_framing.is_some();
    let mut begun = false;
    loop {
      if body.decode(&mut socket.input, &mut bytes).is_err() {
        return Err(outcome(End::Broken, "not an answer"));
      }
      if body.is_complete() {
        break;
      }
      if bytes.len() > MAX_HELD_BYTES {
        if let Some(result) = self.decline_outcome(&head, attempt) {
          return Err(result);
        }
        if astray {
          return Err(outcome(End::Broken, "server's own failure"));
        }
        if !std::mem::replace(&mut begun, true) {
          self.begin_plain();
          until = self.deadline;
        }
        self.last_event_at = self.hub.now();
        self.forward(&head, framing, &std::mem::take(&mut bytes), false)?;
      }
      self
        .backlog
        .gathered(self.incoming.account.as_ref(), bytes.len());
      if self.read_patiently(socket, until)? == Fill::Eof {
        if !body.finish() {
          return Err(disconnected("answer broken off"));
        }
        // A head that declines the request needs no body.
        if self.decline_outcome(&head, attempt).is_none() {
          self.confirm_end(attempt)?;
        }
      }
    }
    if let Some(result) = self.decline_outcome(&head, attempt) {
      return Ok(result);
    }
    if astray {
      return Ok(outcome(End::Broken, "server's own failure"));
    }
    if head.status >= 500 && !begun {
      self.held_failure = Some((head, bytes));
      return Ok(outcome(End::Broken, "server's own failure"));
    }
    self.send_response(&head, bytes)?;
    match head.status >= 400 {
      true => Ok(outcome(End::Failed, "server's own failure")),
      false => Ok(outcome(End::Whole, "whole answer")),
    }
  }

  /// Records that the caller receives the start of a plain response.
  fn begin_plain(&mut self) {
    self.first_event_at = Some(self.hub.now());
    self.apply(Event::PlainStarted(self.ticket));
  }

  fn decline_outcome(&self, head: &Response, attempt: &Attempt) -> Option<Outcome> {
    let dialect = &self.hub.dialect;
    if head.status == 421 {
      let other = head
        .headers
        .get(dialect.server)
        .is_some_and(|id| id != attempt.id);
      let model = self.incoming.head.headers.get(dialect.model).is_some();
      return Some(match model && !other {
        true => outcome(End::Missing, "model not there"),
        false => outcome(End::Replaced, "another server has the address"),
      });
    }
    let declined = head.headers.get(dialect.not_run).is_some();
    declined.then(|| outcome(End::Full, "server declined"))
  }
}
