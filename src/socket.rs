//! Non-blocking sockets: reads, writes and waits, each with a time limit.

use crate::{clock::Moment, response::Carried};
use rustix::{
  event::{EventfdFlags, PollFd, PollFlags, Timespec, eventfd, poll},
  fd::{AsFd, OwnedFd},
};
use socket2::{Domain, SockRef, Socket as RawSocket, TcpKeepalive, Type};
use std::{
  io::{self, Read, Write},
  mem::MaybeUninit,
  net::{SocketAddr, TcpStream},
  os::fd::AsRawFd,
  time::Duration,
};

/// Size of the buffer for a single read.
pub const READ_BYTES: usize = 16 << 10;
/// Idle time before the first TCP keepalive probe, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_millis(1_000);
/// TCP user timeout: the connection is closed if sent data is not acknowledged for this long, since
/// a peer behind a network partition sends nothing.
const USER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Wakes a thread that is waiting for sockets.
#[derive(Debug)]
pub struct Waker(OwnedFd);

impl Waker {
  /// Creates a waker without a pending wakeup.
  pub fn new() -> io::Result<Self> {
    let flags = EventfdFlags::NONBLOCK | EventfdFlags::CLOEXEC;
    Ok(Self(eventfd(0, flags)?))
  }

  /// Wakes the waiting thread, or the next one that waits.
  pub fn wake(&self) {
    // If the counter is full, a wakeup is already pending.
    let _ = rustix::io::write(&self.0, &1u64.to_ne_bytes());
  }

  /// Clears a pending wakeup.
  pub fn clear(&self) {
    // If the counter is zero, no wakeup is pending.
    let _ = rustix::io::read(&self.0, &mut [0u8; 8]);
  }
}

impl AsFd for Waker {
  fn as_fd(&self) -> rustix::fd::BorrowedFd<'_> {
    self.0.as_fd()
  }
}

/// Time since data last arrived on a connection or, if none did, since it was established; zero if the
/// system does not tell. What is unread has waited for at least this long.
pub fn time_unread(stream: &TcpStream) -> Duration {
  let mut info = MaybeUninit::<libc::tcp_info>::zeroed();
  let mut length = size_of::<libc::tcp_info>() as libc::socklen_t;
  // SAFETY: the system writes at most `length` bytes, and zeros are a valid `tcp_info`.
  let info = unsafe {
    let result = libc::getsockopt(
      stream.as_raw_fd(),
      libc::IPPROTO_TCP,
      libc::TCP_INFO,
      info.as_mut_ptr().cast(),
      &mut length,
    );
    if result != 0 {
      return Duration::ZERO;
    }
    info.assume_init()
  };
  Duration::from_millis(info.tcpi_last_data_recv.into())
}

/// The kind of readiness to wait for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Interest {
  Read,
  Write,
}

/// Waits until a descriptor is ready or the deadline is reached; returns which ones are ready.
pub fn wait<const N: usize>(
  sources: [Option<(&dyn AsFd, Interest)>; N],
  deadline: Moment,
) -> io::Result<[bool; N]> {
  let mut ready = [false; N];
  let mut fds = Vec::with_capacity(N);
  let mut indices = Vec::with_capacity(N);
  for (index, source) in sources.iter().enumerate() {
    if let Some((fd, interest)) = source {
      let flags = match interest {
        Interest::Read => PollFlags::IN,
        Interest::Write => PollFlags::OUT,
      };
      fds.push(PollFd::from_borrowed_fd(fd.as_fd(), flags));
      indices.push(index);
    }
  }
  loop {
    let remaining = deadline.saturating_duration_since(Moment::now());
    let timeout = Timespec {
      tv_sec: remaining.as_secs() as i64,
      tv_nsec: remaining.subsec_nanos().into(),
    };
    match poll(&mut fds, Some(&timeout)) {
      Ok(_) => break,
      Err(rustix::io::Errno::INTR) => {}
      Err(error) => return Err(error.into()),
    }
  }
  for (fd, index) in fds.iter().zip(indices) {
    ready[index] = !fd.revents().is_empty();
  }
  Ok(ready)
}

/// Result of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fill {
  Data,
  /// No data is available yet.
  Empty,
  /// The peer has closed its side of the connection.
  Eof,
}

/// A non-blocking connection with an input buffer.
#[derive(Debug)]
pub struct Socket {
  pub stream: TcpStream,
  /// Data that has been read but not yet consumed.
  pub input: Vec<u8>,
  /// Requests that a connection to a server has carried.
  pub carried: Carried,
  /// Whether the connection broke before its peer ended it. The system reports that once, to a read or
  /// a write, and an end of the input from then on.
  broken: bool,
  /// When it was accepted or established.
  pub open_since: Moment,
}

/// Ends a connection whose peer no longer responds.
fn detect_silence(raw: &SockRef) -> io::Result<()> {
  let keepalive = TcpKeepalive::new()
    .with_time(KEEPALIVE_INTERVAL)
    .with_interval(KEEPALIVE_INTERVAL)
    .with_retries(2);
  raw.set_tcp_keepalive(&keepalive)?;
  raw.set_tcp_user_timeout(Some(USER_TIMEOUT))
}

impl Socket {
  /// Configures an accepted connection.
  pub fn accept(stream: TcpStream) -> io::Result<Self> {
    let raw = SockRef::from(&stream);
    raw.set_tcp_nodelay(true)?;
    stream.set_nonblocking(true)?;
    Ok(Self {
      stream,
      input: Vec::new(),
      carried: Carried::default(),
      broken: false,
      open_since: Moment::now(),
    })
  }

  /// Connects within `timeout`. A peer that stops responding later is detected by keepalive probes
  /// and the TCP user timeout.
  pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
    let raw = RawSocket::new(Domain::for_address(address), Type::STREAM, None)?;
    raw.set_tcp_nodelay(true)?;
    raw.connect_timeout(&address.into(), timeout)?;
    raw.set_nonblocking(true)?;
    detect_silence(&SockRef::from(&raw))?;
    Ok(Self {
      stream: raw.into(),
      input: Vec::new(),
      carried: Carried::default(),
      broken: false,
      open_since: Moment::now(),
    })
  }

  /// Configures a connection accepted from another instance, which may become unreachable without
  /// closing it.
  pub fn accept_peer(stream: TcpStream) -> io::Result<Self> {
    let socket = Self::accept(stream)?;
    detect_silence(&SockRef::from(&socket.stream))?;
    Ok(socket)
  }

  /// Closes the connection with a reset. An incomplete response that ends with its connection must
  /// not look complete.
  pub fn reset(self) -> io::Result<()> {
    self.set_reset_on_close(true)
  }

  /// Sets whether the connection is reset when it is closed, also by the end of the process, or is
  /// closed in an orderly way.
  pub fn set_reset_on_close(&self, reset: bool) -> io::Result<()> {
    SockRef::from(&self.stream).set_linger(reset.then_some(Duration::ZERO))
  }

  /// Reads available data into the input buffer. The end of a connection that broke is an error, even if
  /// a write has met the break first.
  pub fn fill(&mut self) -> io::Result<Fill> {
    let mut bytes = [0; READ_BYTES];
    loop {
      match self.stream.read(&mut bytes) {
        Ok(0) if self.broken => return Err(io::ErrorKind::ConnectionReset.into()),
        Ok(0) => return Ok(Fill::Eof),
        Ok(length) => {
          self.input.extend_from_slice(&bytes[..length]);
          return Ok(Fill::Data);
        }
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(Fill::Empty),
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
        Err(error) => return Err(self.record_break(error)),
      }
    }
  }

  /// A pipe is reported as broken where the peer had ended its side before, and all that it sent can be
  /// read.
  fn record_break(&mut self, error: io::Error) -> io::Error {
    self.broken |= error.kind() != io::ErrorKind::BrokenPipe;
    error
  }

  /// Writes as much as possible without blocking; returns the number of bytes written.
  pub fn try_write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    loop {
      match self.stream.write(bytes) {
        Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
        Ok(length) => return Ok(length),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(0),
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
        Err(error) => return Err(self.record_break(error)),
      }
    }
  }

  /// Writes all bytes before the deadline.
  pub fn write_all(&mut self, mut bytes: &[u8], deadline: Moment) -> io::Result<()> {
    loop {
      let length = self.try_write(bytes)?;
      bytes = &bytes[length..];
      if bytes.is_empty() {
        return Ok(());
      }
      let [ready] = wait([Some((&self.stream, Interest::Write))], deadline)?;
      if !ready {
        return Err(io::ErrorKind::TimedOut.into());
      }
    }
  }

  /// Waits for data until the deadline and reads it into the input buffer.
  pub fn fill_by(&mut self, deadline: Moment) -> io::Result<Fill> {
    let [ready] = wait([Some((&self.stream, Interest::Read))], deadline)?;
    match ready {
      true => self.fill(),
      false => Err(io::ErrorKind::TimedOut.into()),
    }
  }

  /// Returns whether no data has arrived and the peer has not closed the connection.
  pub fn is_idle(&mut self) -> bool {
    self.input.is_empty() && matches!(self.fill(), Ok(Fill::Empty))
  }
}
