//! Passes bytes between the two connections of a tunnel.

use crate::{
  clock::Moment,
  socket::{Fill, Interest, READ_BYTES, Socket, wait},
};
use std::{io, net::Shutdown};

/// How a tunnel ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
  /// The instance that opened it closed its connection.
  Closed,
  /// The server closed its connection, and all its bytes were passed on.
  Finished,
  /// The server's connection broke.
  Broken,
  /// The request timed out.
  TimedOut,
}

impl End {
  pub(super) fn as_str(self) -> &'static str {
    match self {
      Self::Closed => "closed",
      Self::Finished => "finished",
      Self::Broken => "broken",
      Self::TimedOut => "timed out",
    }
  }
}

/// Passes bytes on until either side ends. Each direction holds at most two reads.
pub(super) fn run(peer: &mut Socket, server: &mut Socket, until: Moment) -> End {
  let mut server_ended = false;
  // A server that reads no further may have responded before.
  let mut server_reads = true;
  loop {
    // A connection's input is what it has read and the other one has not written yet.
    server_reads &= pass_on(peer, server).is_ok();
    if !server_reads {
      peer.input.clear();
    }
    if pass_on(server, peer).is_err() {
      return End::Closed;
    }
    if server_ended && server.input.is_empty() {
      return End::Finished;
    }
    let has_room = |socket: &Socket| socket.input.len() < READ_BYTES;
    let peer_input = has_room(peer).then_some((&peer.stream as _, Interest::Read));
    let server_input =
      (!server_ended && has_room(server)).then_some((&server.stream as _, Interest::Read));
    let peer_output = (!server.input.is_empty()).then_some((&peer.stream as _, Interest::Write));
    let server_output = (!peer.input.is_empty()).then_some((&server.stream as _, Interest::Write));
    let sources = [peer_input, server_input, peer_output, server_output];
    let Ok([peer_ready, server_ready, ..]) = wait(sources, until) else {
      return End::Broken;
    };
    if peer_ready && !matches!(peer.fill(), Ok(Fill::Data | Fill::Empty)) {
      return End::Closed;
    }
    if server_ready {
      match server.fill() {
        Ok(Fill::Data | Fill::Empty) => {}
        Ok(Fill::Eof) => server_ended = true,
        Err(_) => return End::Broken,
      }
    }
    if Moment::now() >= until {
      return End::TimedOut;
    }
  }
}

/// Ends the connection to the instance that opened a finished tunnel, and discards what that still sends until it
/// closes the connection: a close with unread input would reset it.
pub(super) fn finish(peer: &mut Socket, until: Moment) -> io::Result<()> {
  peer.stream.shutdown(Shutdown::Write)?;
  while peer.fill_by(until)? != Fill::Eof {
    peer.input.clear();
    if Moment::now() >= until {
      return Err(io::ErrorKind::TimedOut.into());
    }
  }
  Ok(())
}

/// Writes what `from` has read to `to`, as much as fits.
fn pass_on(from: &mut Socket, to: &mut Socket) -> io::Result<()> {
  if !from.input.is_empty() {
    let length = to.try_write(&from.input)?;
    from.input.drain(..length);
  }
  Ok(())
}
