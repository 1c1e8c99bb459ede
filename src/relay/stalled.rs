//! The stream of a run whose server sends nothing for a while. Its connection is kept until another
//! server continues the stream, and the run is continued if its server sends first.

use super::{Relay, Stream, outcome};
use crate::{
  dispatch::{End, Event},
  http::Framing,
  socket::{Fill, Interest},
};
use rustix::fd::AsFd;
use slog::info;

impl Relay<'_> {
  /// Whether the current run is kept when its stream stalls: the caller has got a part of the
  /// answer, and no other run is kept already.
  pub(super) fn may_stall(&self) -> bool {
    self.first_event_at.is_some() && self.stalled.is_none()
  }

  /// Keeps a stream whose server sends nothing for now.
  pub(super) fn keep_stalled(&mut self, mut stream: Stream) {
    stream.partial = self.events.take_partial();
    stream.sending = self.sending.clone();
    self.stalled = Some(stream);
  }

  /// Bytes held for the stalled run.
  pub(super) fn stalled_bytes(&self) -> usize {
    let stream = self.stalled.as_ref();
    stream.map_or(0, |stream| stream.partial.len() + stream.socket.input.len())
  }

  /// The connection of the stalled run, if there is one.
  pub(super) fn stalled_source(&self) -> Option<(&dyn AsFd, Interest)> {
    let stream = self.stalled.as_ref()?;
    Some((&stream.socket.stream as &dyn AsFd, Interest::Read))
  }

  /// Reads what the server of the stalled run has sent; returns whether its stream continues. If it has
  /// closed the connection, the run is dropped.
  pub(super) fn poll_stalled(&mut self) -> bool {
    let Some(stream) = &mut self.stalled else {
      return false;
    };
    match stream.socket.fill() {
      Ok(Fill::Data) => return true,
      Ok(Fill::Empty) => return false,
      // The close may be the end of the stream.
      Ok(Fill::Eof) if stream.framing == Framing::Close => return true,
      Ok(Fill::Eof) | Err(_) => {}
    }
    self.end_stalled("connection closed by server");
    self.apply(Event::StalledRunLost(self.ticket));
    false
  }

  /// Forwards the stream of the stalled run, whose server sends again; returns true if that finishes
  /// the request.
  pub(super) fn continue_stalled(&mut self) -> bool {
    let Some(mut stream) = self.stalled.take() else {
      return false;
    };
    info!(self.hub.log, "stalled server continues"; "request" => &self.id,
      "server" => &stream.attempt.id, "send" => stream.attempt.number,
      "silent_ms" => self.hub.now().saturating_sub(self.last_event_at));
    self.sending = std::mem::take(&mut stream.sending);
    self.events.set_partial(std::mem::take(&mut stream.partial));
    let attempt = stream.attempt.clone();
    let result = self.follow(stream);
    let result = result.unwrap_or_else(|result| self.check_crash(result, &attempt));
    self.end_send(&attempt, &result)
  }

  /// Closes the connection of the stalled run, if there is one.
  pub(super) fn end_stalled(&mut self, why: &'static str) {
    if let Some(stream) = self.stalled.take() {
      let result = outcome(End::Broken, why);
      self.log_send(&stream.attempt, &result, &stream.sending);
    }
  }
}
