//! Forwards the events of a stream as they arrive.

use super::{Outcome, Relay, STALLED, Sending, disconnected, outcome, send::Reuse};
use crate::{
  dispatch::{Attempt, End, Event},
  http::{Decoder, Framing, Response},
  socket::{Fill, Socket},
};

/// Maximum size of an event: bytes that are no event may come without end.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// A stream that a server sends.
pub(super) struct Stream {
  pub(super) socket: Socket,
  pub(super) attempt: Attempt,
  pub(super) framing: Framing,
  head: Response,
  body: Decoder,
  reuse: Reuse,
  /// Whether a complete event has arrived.
  started: bool,
  /// While it is stalled: bytes after its last complete event, and what is known of its send.
  pub(super) partial: Vec<u8>,
  pub(super) sending: Sending,
}

impl Stream {
  /// A stream whose head was read.
  pub(super) fn new(
    socket: Socket,
    attempt: &Attempt,
    head: Response,
    framing: Framing,
    reuse: Reuse,
  ) -> Self {
    Self {
      socket,
      attempt: attempt.clone(),
      framing,
      head,
      body: Decoder::new(framing),
      reuse,
      started: false,
      partial: Vec::new(),
      sending: Sending::default(),
    }
  }
}

impl Relay<'_> {
  /// Forwards a stream until it ends, or until its server has sent nothing for too long.
  pub(super) fn follow(&mut self, mut stream: Stream) -> Result<Outcome, Outcome> {
    let mut bytes = Vec::new();
    loop {
      if stream
        .body
        .decode(&mut stream.socket.input, &mut bytes)
        .is_err()
      {
        return Err(outcome(End::Broken, "not an answer"));
      }
      let complete = self
        .events
        .push(&bytes, self.hub.dialect.request_id)
        .map_err(|_| outcome(End::Broken, "a response within the stream"))?;
      bytes.clear();
      if !complete.is_empty() {
        self.forward_events(&mut stream, &complete)?;
      }
      if self.events.partial().len() > MAX_EVENT_BYTES {
        return Err(outcome(End::Broken, "an event is too large"));
      }
      if stream.body.is_complete() {
        return self.finish_stream(stream);
      }
      let until = self.read_deadline(stream.started);
      let read = match self.may_stall() {
        true => self.read_server(&mut stream.socket, until),
        false => self.read_patiently(&mut stream.socket, until),
      };
      match read {
        Ok(Fill::Eof) if !self.ends_between_events(&mut stream) => {
          return Err(disconnected("stream broken off"));
        }
        Ok(Fill::Eof) => self.confirm_end(&stream.attempt)?,
        Ok(Fill::Data | Fill::Empty) => {}
        Err(result) if result.why == STALLED && self.may_stall() => {
          self.keep_stalled(stream);
          return Err(outcome(End::Stalled, STALLED));
        }
        Err(result) => return Err(result),
      }
    }
  }

  /// Whether a stream may be complete that ends with its connection.
  fn ends_between_events(&self, stream: &mut Stream) -> bool {
    stream.body.finish() && self.events.partial().is_empty() && self.has_events()
  }

  /// Whether the caller has got an event of the stream, in this response or in an earlier one: a server
  /// that stops right behind the head has sent none.
  fn has_events(&self) -> bool {
    let headers = &self.incoming.head.headers;
    self.events.count > 0 || headers.get("Last-Event-Id").is_some()
  }

  fn forward_events(&mut self, stream: &mut Stream, complete: &[u8]) -> Result<(), Outcome> {
    if !std::mem::replace(&mut stream.started, true) && self.first_event_at.is_some() {
      self.resumed = true;
      self.end_stalled(STALLED);
      self.apply(Event::Resumed(self.ticket));
    }
    self.record_event();
    // A partial event after the complete ones shows that the stream is incomplete.
    let last = stream.body.is_complete() && self.events.partial().is_empty();
    self.forward(&stream.head, stream.framing, complete, last)
  }

  fn finish_stream(&mut self, stream: Stream) -> Result<Outcome, Outcome> {
    if !self.events.partial().is_empty() {
      return Err(outcome(End::Broken, "stream ends within an event"));
    }
    self.finish_body(&stream.head, stream.framing)?;
    self.report_gap();
    self.release(stream.socket, &stream.attempt, stream.reuse);
    Ok(outcome(End::Whole, "whole stream"))
  }
}
