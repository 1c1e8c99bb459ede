//! Passes bytes between the two connections of a tunnel.

use crate::{
  clock::Moment,
  socket::{Fill, Interest, READ_BYTES, Socket, wait},
};

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
  loop {
    // A connection's input is what it has read and the other one has not written yet.
    if pass_on(peer, server).is_err() {
      return End::Broken;
    }
    if pass_on(server, peer).is_err() {
      return End::Closed;
    }
    if server_ended && server.input.is_empty() {
      return End::Finished;
    }
    let reads = |socket: &Socket| socket.input.len() < READ_BYTES;
    let peer_reads = reads(peer).then_some((&peer.stream as _, Interest::Read));
    let server_reads =
      (!server_ended && reads(server)).then_some((&server.stream as _, Interest::Read));
    let peer_writes = (!server.input.is_empty()).then_some((&peer.stream as _, Interest::Write));
    let server_writes = (!peer.input.is_empty()).then_some((&server.stream as _, Interest::Write));
    let sources = [peer_reads, server_reads, peer_writes, server_writes];
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

/// Writes what `from` has read to `to`, as much as fits.
fn pass_on(from: &mut Socket, to: &mut Socket) -> std::io::Result<()> {
  if !from.input.is_empty() {
    let length = to.try_write(&from.input)?;
    from.input.drain(..length);
  }
  Ok(())
}
