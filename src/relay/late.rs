//! Responses that arrive after their caller has disconnected. They are read for what they say about
//! their server: a backoff that it requests applies even without the caller.

use super::Relay;
use crate::{
  clock::Moment,
  dispatch::Attempt,
  response::Reader,
  socket::{Fill, Socket},
  statement::REJECTION_MS,
};
use slog::info;
use std::{io, net::Shutdown, sync::atomic::Ordering, time::Duration};

/// How long the connection stays open for the response: a server rejects requests within a few ms
/// unless it is busy.
const OPEN_TIMEOUT: Duration = Duration::from_millis(10);
/// How long the response is awaited after that.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(REJECTION_MS);

/// A send without a response whose caller has disconnected.
pub(super) struct Abandoned {
  socket: Socket,
  reader: Reader,
  attempt: Attempt,
}

impl Relay<'_> {
  /// Waits a moment for the response of a send whose caller has disconnected, and otherwise leaves
  /// it to `await_abandoned`.
  pub(super) fn abandon(&mut self, mut socket: Socket, mut reader: Reader, attempt: &Attempt) {
    let until = Moment::now() + OPEN_TIMEOUT;
    let read = self.read_late_head(&mut socket, &mut reader, attempt, until);
    if read.is_err_and(|error| error.kind() == io::ErrorKind::TimedOut) {
      self.abandoned = Some(Abandoned {
        socket,
        reader,
        attempt: attempt.clone(),
      });
    }
  }

  /// Waits for the response of an abandoned send, whose request no longer takes a place at the
  /// server.
  pub(super) fn await_abandoned(&mut self) {
    let Some(abandoned) = self.abandoned.take() else {
      return;
    };
    if self.hub.stopping.load(Ordering::Relaxed) {
      return;
    }
    let Abandoned {
      mut socket,
      mut reader,
      attempt,
    } = abandoned;
    // The caller may have closed only its sending side. Connections that have already ended need no
    // shutdown.
    let _ = self.caller.stream.shutdown(Shutdown::Write);
    // The server ends its run as if the connection were closed. A tunnel would close it.
    if self.sending.via.is_none() {
      let _ = socket.stream.shutdown(Shutdown::Write);
    }
    let until = Moment::now() + REJECTION_TIMEOUT;
    if let Err(error) = self.read_late_head(&mut socket, &mut reader, &attempt, until) {
      info!(self.hub.log, "no response after the caller left"; "request" => &self.id,
        "server" => &attempt.id, "error" => %error);
    }
  }

  /// Reads the head of a response and applies its hints about the server.
  fn read_late_head(
    &mut self,
    socket: &mut Socket,
    reader: &mut Reader,
    attempt: &Attempt,
    until: Moment,
  ) -> io::Result<()> {
    let id_header = self.hub.dialect.request_id;
    loop {
      let read = reader.read(&mut socket.input, &socket.carried, id_header);
      if let Some((head, _)) = read.map_err(|error| io::Error::other(error.as_str()))? {
        self.apply_head(&head, attempt);
        return Ok(());
      }
      if socket.fill_by(until)? == Fill::Eof {
        return Err(io::ErrorKind::UnexpectedEof.into());
      }
    }
  }
}
