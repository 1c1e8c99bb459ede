//! A server's answer, passed on to the caller.

use super::{Outcome, Relay, outcome, severed};
use crate::{
  dispatch::{Attempt, End, Event},
  http::{Decoder, Framing, Response},
  socket::{Fill, Socket},
};

/// Bytes of a plain answer held back until it is whole.
const HELD: usize = 256 << 10;

impl Relay<'_> {
  /// Passes a stream's events on as they come.
  pub(super) fn stream(
    &mut self,
    socket: &mut Socket,
    head: &Response,
    framing: Framing,
  ) -> Result<Outcome, Outcome> {
    let mut body = Decoder::new(framing);
    let mut bytes = Vec::new();
    let mut any = false;
    loop {
      if body.decode(&mut socket.input, &mut bytes).is_err() {
        return Err(outcome(End::Broken, "not an answer"));
      }
      let whole = self.events.push(&bytes);
      bytes.clear();
      if !whole.is_empty() {
        if !std::mem::replace(&mut any, true) && self.first_ms.is_some() {
          self.apply(Event::Resumed(self.ticket));
        }
        self.clock_event();
        // A part of an event that follows shows that the stream is not complete.
        let last = body.is_complete() && self.events.partial().is_empty();
        self.deliver(head, framing, &whole, last)?;
      }
      if body.is_complete() {
        if !self.events.partial().is_empty() {
          return Err(outcome(End::Broken, "stream ends within an event"));
        }
        self.finish(head, framing)?;
        return Ok(outcome(End::Whole, "whole stream"));
      }
      let until = self.stall(any);
      if self.hear(socket, until)? == Fill::Eof && !body.finish() {
        return Err(severed("stream broken off"));
      }
    }
  }

  /// Records when an event came; the first one is the beginning of the answer.
  fn clock_event(&mut self) {
    let now = self.hub.now();
    if self.first_ms.is_some() {
      self.pause_ms = self.pause_ms.max(now - self.event_ms);
    }
    self.event_ms = now;
    if self.first_ms.is_none() {
      self.first_ms = Some(now);
      self.apply(Event::ResponseStarted(self.ticket));
    }
  }

  /// Takes a plain answer in whole before the caller sees any of it.
  pub(super) fn whole(
    &mut self,
    socket: &mut Socket,
    head: Response,
    framing: Framing,
    attempt: &Attempt,
  ) -> Result<Outcome, Outcome> {
    let mut body = Decoder::new(framing);
    let mut bytes = Vec::new();
    let until = self.stall(false);
    loop {
      if body.decode(&mut socket.input, &mut bytes).is_err() {
        return Err(outcome(End::Broken, "not an answer"));
      }
      if body.is_complete() {
        break;
      }
      if bytes.len() > HELD {
        self.deliver(&head, framing, &std::mem::take(&mut bytes), false)?;
      }
      if self.hear(socket, until)? == Fill::Eof && !body.finish() {
        return Err(severed("answer broken off"));
      }
    }
    if let Some(result) = self.declined(&head, attempt) {
      return Ok(result);
    }
    let failed = head.status >= 400;
    if failed && self.begun.is_some() {
      // The caller has the start of another answer, which this one is no part of.
      return Ok(outcome(End::Broken, "server's own failure"));
    }
    if head.status >= 500 {
      self.held = Some((head, bytes));
      return Ok(outcome(End::Broken, "server's own failure"));
    }
    self.give(&head, bytes)?;
    match failed {
      true => Ok(outcome(End::Failed, "server's own failure")),
      false => Ok(outcome(End::Whole, "whole answer")),
    }
  }

  fn declined(&self, head: &Response, attempt: &Attempt) -> Option<Outcome> {
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
