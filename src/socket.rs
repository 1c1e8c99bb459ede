//! Sockets that never block: reads, writes and waits with a bound on each.

use crate::clock::Moment;
use rustix::{
  event::{EventfdFlags, PollFd, PollFlags, Timespec, eventfd, poll},
  fd::{AsFd, OwnedFd},
};
use socket2::{Domain, SockRef, Socket as Raw, TcpKeepalive, Type};
use std::{
  io::{self, Read, Write},
  net::{SocketAddr, TcpStream},
  time::Duration,
};

/// Bytes taken from the system at once.
const READ: usize = 16 << 10;
/// After this long without a byte the system asks whether the peer is there.
const KEEPALIVE: Duration = Duration::from_millis(1_000);
/// Bytes without acknowledgement for this long end the connection; a peer behind
/// a cut says nothing.
const UNACKNOWLEDGED: Duration = Duration::from_millis(2_500);

/// Wakes a thread that waits for sockets.
#[derive(Debug)]
pub struct Waker(OwnedFd);

impl Waker {
  /// A bell that has not rung.
  pub fn new() -> io::Result<Self> {
    let flags = EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC;
    Ok(Self(eventfd(0, flags)?))
  }

  /// Wakes whoever waits, now or later.
  pub fn wake(&self) {
    // A full counter has rung already.
    let _ = rustix::io::write(&self.0, &1u64.to_ne_bytes());
  }

  /// Silences the bell.
  pub fn clear(&self) {
    // An empty counter is silent already.
    let _ = rustix::io::read(&self.0, &mut [0u8; 8]);
  }
}

impl AsFd for Waker {
  fn as_fd(&self) -> rustix::fd::BorrowedFd<'_> {
    self.0.as_fd()
  }
}

/// What a wait is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
  Read,
  Write,
}

/// Waits until one is ready or the time has come; returns which are ready.
pub fn wait<const N: usize>(
  waits: [Option<(&dyn AsFd, Interest)>; N],
  until: Moment,
) -> io::Result<[bool; N]> {
  let mut ready = [false; N];
  let mut fds = Vec::with_capacity(N);
  let mut places = Vec::with_capacity(N);
  for (place, wait) in waits.iter().enumerate() {
    if let Some((fd, want)) = wait {
      let flags = match want {
        Interest::Read => PollFlags::IN,
        Interest::Write => PollFlags::OUT,
      };
      fds.push(PollFd::from_borrowed_fd(fd.as_fd(), flags));
      places.push(place);
    }
  }
  loop {
    let left = until.saturating_duration_since(Moment::now());
    let timeout = Timespec {
      tv_sec: left.as_secs() as i64,
      tv_nsec: left.subsec_nanos().into(),
    };
    match poll(&mut fds, Some(&timeout)) {
      Ok(_) => break,
      Err(rustix::io::Errno::INTR) => {}
      Err(error) => return Err(error.into()),
    }
  }
  for (fd, place) in fds.iter().zip(places) {
    ready[place] = !fd.revents().is_empty();
  }
  Ok(ready)
}

/// What a read brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
  Data,
  /// Nothing yet.
  Empty,
  /// The peer has ended its side in order.
  Eof,
}

/// A connection that never blocks, with what has arrived on it.
#[derive(Debug)]
pub struct Socket {
  pub stream: TcpStream,
  /// Arrived and not yet used.
  pub input: Vec<u8>,
}

impl Socket {
  /// Takes an accepted connection.
  pub fn accept(stream: TcpStream) -> io::Result<Self> {
    let raw = SockRef::from(&stream);
    raw.set_tcp_nodelay(true)?;
    stream.set_nonblocking(true)?;
    Ok(Self {
      stream,
      input: Vec::new(),
    })
  }

  /// Connects within `limit`; a peer that falls silent later is noticed.
  pub fn connect(address: SocketAddr, limit: Duration) -> io::Result<Self> {
    let raw = Raw::new(Domain::for_address(address), Type::STREAM, None)?;
    raw.set_tcp_nodelay(true)?;
    raw.connect_timeout(&address.into(), limit)?;
    raw.set_nonblocking(true)?;
    let probes = TcpKeepalive::new()
      .with_time(KEEPALIVE)
      .with_interval(KEEPALIVE)
      .with_retries(2);
    raw.set_tcp_keepalive(&probes)?;
    raw.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    Ok(Self {
      stream: raw.into(),
      input: Vec::new(),
    })
  }

  /// The connection ends with a reset when it is dropped: an answer whose end is that of its
  /// connection must not look whole when it broke off.
  pub fn reset(self) -> io::Result<()> {
    SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))
  }

  /// Takes what has arrived.
  pub fn fill(&mut self) -> io::Result<Fill> {
    let mut bytes = [0; READ];
    loop {
      match self.stream.read(&mut bytes) {
        Ok(0) => return Ok(Fill::Eof),
        Ok(length) => {
          self.input.extend_from_slice(&bytes[..length]);
          return Ok(Fill::Data);
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(Fill::Empty),
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
        Err(error) => return Err(error),
      }
    }
  }

  /// Writes what the system takes now; returns how much.
  pub fn try_write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    loop {
      match self.stream.write(bytes) {
        Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
        Ok(length) => return Ok(length),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(0),
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
        Err(error) => return Err(error),
      }
    }
  }

  /// Writes everything by a moment.
  pub fn write_all(&mut self, mut bytes: &[u8], until: Moment) -> io::Result<()> {
    loop {
      let length = self.try_write(bytes)?;
      bytes = &bytes[length..];
      if bytes.is_empty() {
        return Ok(());
      }
      let [ready] = wait([Some((&self.stream, Interest::Write))], until)?;
      if !ready {
        return Err(io::ErrorKind::TimedOut.into());
      }
    }
  }

  /// Waits for bytes by a moment and takes them.
  pub fn fill_by(&mut self, until: Moment) -> io::Result<Fill> {
    let [ready] = wait([Some((&self.stream, Interest::Read))], until)?;
    match ready {
      true => self.fill(),
      false => Err(io::ErrorKind::TimedOut.into()),
    }
  }

  /// Whether nothing has arrived and the peer has not ended the connection.
  pub fn is_idle(&mut self) -> bool {
    self.input.is_empty() && matches!(self.fill(), Ok(Fill::Empty))
  }
}
