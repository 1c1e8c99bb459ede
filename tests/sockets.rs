//! Connections that break, and what their reads return then.

use bendsaddle::socket::{Fill, Socket};
use socket2::SockRef;
use std::{
  io::{self, ErrorKind, Read, Write},
  net::{Shutdown, TcpListener, TcpStream},
  thread,
  time::Duration,
};

const TIMEOUT: Duration = Duration::from_secs(2);
/// Time in which what a peer did arrives.
const ARRIVAL: Duration = Duration::from_millis(20);

/// A connection and its peer, which has sent four bytes.
fn connect() -> (Socket, TcpStream) {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let socket = Socket::connect(listener.local_addr().unwrap(), TIMEOUT).unwrap();
  let (mut peer, _) = listener.accept().unwrap();
  peer.write_all(b"part").unwrap();
  (socket, peer)
}

fn reset(peer: TcpStream) {
  let reset = SockRef::from(&peer).set_linger(Some(Duration::ZERO));
  reset.unwrap();
  drop(peer);
  thread::sleep(ARRIVAL);
}

/// Writes until that fails.
fn break_write(socket: &mut Socket) -> ErrorKind {
  loop {
    if let Err(error) = socket.try_write(b"x") {
      return error.kind();
    }
    thread::sleep(ARRIVAL);
  }
}

/// What is read up to the end of a connection, and how that ends.
fn read(socket: &mut Socket) -> (Vec<u8>, io::Result<Fill>) {
  loop {
    let fill = socket.fill();
    if !matches!(fill, Ok(Fill::Data | Fill::Empty)) {
      return (std::mem::take(&mut socket.input), fill);
    }
  }
}

/// A write that met a reset took it, and the reads found an ordinary end.
#[test]
fn a_reset_that_a_write_has_met_is_no_end() {
  let (mut socket, peer) = connect();
  reset(peer);
  assert_eq!(break_write(&mut socket), ErrorKind::ConnectionReset);
  let (bytes, end) = read(&mut socket);
  assert_eq!(bytes, b"part");
  assert_eq!(
    end.map_err(|error| error.kind()),
    Err(ErrorKind::ConnectionReset)
  );
  // The system itself reports an end from then on.
  assert!(matches!(socket.stream.read(&mut [0]), Ok(0)));
}

/// A second read found an ordinary end behind a reset.
#[test]
fn a_reset_that_a_read_has_met_stays_one() {
  let (mut socket, peer) = connect();
  reset(peer);
  for _ in 0..3 {
    let (_, end) = read(&mut socket);
    assert_eq!(
      end.map_err(|error| error.kind()),
      Err(ErrorKind::ConnectionReset)
    );
  }
}

/// Guards against a response that counts as cut though its server had ended it before it reset the connection.
#[test]
fn an_end_before_a_reset_is_one() {
  let (mut socket, peer) = connect();
  peer.shutdown(Shutdown::Write).unwrap();
  socket.try_write(b"unread").unwrap();
  thread::sleep(ARRIVAL);
  reset(peer);
  assert_eq!(break_write(&mut socket), ErrorKind::BrokenPipe);
  let (bytes, end) = read(&mut socket);
  assert_eq!(
    (bytes.as_slice(), end.unwrap()),
    (b"part".as_slice(), Fill::Eof)
  );
}
