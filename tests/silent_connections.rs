//! Times after which a connection ends whose peer has fallen silent, as behind a network partition.
//!
//! The peer's socket drops all segments that it receives, so it acknowledges nothing.

use bendsaddle::{
  clock::Moment,
  socket::{Fill, Socket},
};
use std::{
  io::{ErrorKind, Read},
  net::{SocketAddr, TcpListener, TcpStream},
  os::fd::AsRawFd,
  thread,
  time::{Duration, Instant},
};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time for which a test waits for the end of a connection.
const PATIENCE: Duration = Duration::from_secs(8);
/// Times within which a connection to a silent peer ends: the user timeout of 2.5 s, and the next probe or
/// retransmission after it.
const EARLIEST: Duration = Duration::from_millis(2_400);
const LATEST: Duration = Duration::from_millis(4_500);
/// Time for which a peer does not read, although it acknowledges.
const READ_PAUSE: Duration = Duration::from_millis(3_500);
/// More than the buffers of both sides hold.
const LARGE_BODY_BYTES: usize = 32 << 20;

/// Connects to a listener of this process. Returns the connection and its peer.
fn pair() -> (Socket, TcpStream) {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address: SocketAddr = listener.local_addr().unwrap();
  let socket = Socket::connect(address, CONNECT_TIMEOUT).unwrap();
  let (peer, _) = listener.accept().unwrap();
  (socket, peer)
}

/// Drops all segments that a socket receives from now on.
fn silence(peer: &TcpStream) {
  let mut drop_all = libc::sock_filter {
    code: (libc::BPF_RET | libc::BPF_K) as u16,
    jt: 0,
    jf: 0,
    k: 0,
  };
  let program = libc::sock_fprog {
    len: 1,
    filter: &mut drop_all,
  };
  // SAFETY: the program and its filter live until the system has copied them.
  let result = unsafe {
    libc::setsockopt(
      peer.as_raw_fd(),
      libc::SOL_SOCKET,
      libc::SO_ATTACH_FILTER,
      (&raw const program).cast(),
      size_of::<libc::sock_fprog>() as libc::socklen_t,
    )
  };
  assert_eq!(result, 0, "{}", std::io::Error::last_os_error());
}

/// Time until a connection ends, which must be by a time-out of the system.
fn time_to_end(socket: &mut Socket) -> Duration {
  let started = Instant::now();
  let result = socket.fill_by(Moment::now() + PATIENCE);
  let elapsed = started.elapsed();
  assert!(elapsed < PATIENCE, "open after {elapsed:?}");
  let error = result.expect_err("the peer sent something");
  assert_eq!(error.kind(), ErrorKind::TimedOut, "{error}");
  elapsed
}

fn assert_in_time(name: &str, elapsed: Duration) {
  println!("{name}: {elapsed:?}");
  assert!((EARLIEST..LATEST).contains(&elapsed), "{name}: {elapsed:?}");
}

/// Guards against reads that wait on a connection to a peer behind a partition.
#[test]
fn a_read_from_a_silent_peer_ends() {
  let (mut socket, peer) = pair();
  silence(&peer);
  assert_in_time("read", time_to_end(&mut socket));
}

/// Guards against data without an acknowledgement, for which no keepalive probes are sent.
#[test]
fn a_write_to_a_silent_peer_ends() {
  let (mut socket, peer) = pair();
  silence(&peer);
  let body = vec![0; 1_000];
  socket
    .write_all(&body, Moment::now() + CONNECT_TIMEOUT)
    .expect("the buffers take a small body");
  assert_in_time("write", time_to_end(&mut socket));
}

/// The same for a connection that another instance opened.
#[test]
fn a_read_from_a_silent_instance_ends() {
  let (socket, peer) = pair();
  let mut accepted = Socket::accept_peer(peer).unwrap();
  silence(&socket.stream);
  assert_in_time("accepted", time_to_end(&mut accepted));
}

/// Guards against the end of connections to peers that acknowledge but do not read for a while, for which
/// the user timeout counts as well.
#[test]
fn a_peer_that_does_not_read_for_a_while_keeps_its_connection() {
  let (mut socket, mut peer) = pair();
  let reader = thread::spawn(move || {
    thread::sleep(READ_PAUSE);
    let (mut bytes, mut total) = (vec![0; 1 << 20], 0);
    while total < LARGE_BODY_BYTES {
      match peer.read(&mut bytes) {
        Ok(0) | Err(_) => break,
        Ok(length) => total += length,
      }
    }
    (peer, total)
  });
  let body = vec![0; LARGE_BODY_BYTES];
  let written = socket.write_all(&body, Moment::now() + PATIENCE * 2);
  let (_peer, total) = reader.join().unwrap();
  assert!(written.is_ok(), "{written:?}, {total} bytes read");
  assert_eq!(total, LARGE_BODY_BYTES);
  assert_eq!(socket.fill().unwrap(), Fill::Empty);
}
