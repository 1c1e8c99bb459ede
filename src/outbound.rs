//! HTTP client with a connection pool, for small calls: to the platform's store, and for orders and
//! reports.

use crate::{
  clock::Moment,
  http::{Decoder, Framing, Headers, Request},
  response::{Carried, Reader},
  socket::{Fill, Socket},
};
use std::{
  collections::HashMap,
  io,
  net::SocketAddr,
  sync::{Mutex, PoisonError},
  time::Duration,
};

/// An idle connection is not reused after this time.
const MAX_IDLE_TIME: Duration = Duration::from_millis(2_000);
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// Why a call got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
  /// The connection was refused, so the call was not sent.
  Refused,
  /// No connection was established in time, so the call was not sent.
  NotSent,
  /// The call may have been sent. The server may have executed it, or may still do so.
  NoAnswer,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
  pub status: u16,
  pub headers: Headers,
  pub body: Vec<u8>,
}

/// A request to send.
#[derive(Clone, Debug)]
pub struct Call<'a> {
  pub method: &'a str,
  pub target: &'a str,
  /// Headers other than `Host` and the framing.
  pub headers: &'a [(&'a str, &'a str)],
  pub body: &'a [u8],
  /// Maximum size of the body of the response: many calls are made at once, and bytes may come without end.
  pub max_answer_bytes: usize,
  /// Time limit for connecting.
  pub connect_timeout: Duration,
  /// Time limit for the next bytes of the response.
  pub read_timeout: Duration,
  /// Time limit for sending the request and receiving the complete response.
  pub total_timeout: Duration,
  /// The request is sent before this moment or not at all, even if the process was suspended while
  /// connecting.
  pub send_before: Option<Moment>,
}

/// Makes calls and keeps idle connections for reuse.
#[derive(Debug, Default)]
pub struct Client {
  /// Header in which servers echo the ids of calls; `None` if calls have no ids.
  id_header: Option<&'static str>,
  idle: Mutex<HashMap<SocketAddr, Vec<(Socket, Moment)>>>,
}

impl Client {
  /// Returns a client for servers that may send a response twice: each call has an id of its own, and
  /// a response that echoes the id of another call is skipped.
  pub fn with_ids(id_header: &'static str) -> Self {
    Self {
      id_header: Some(id_header),
      ..Self::default()
    }
  }

  fn take_idle(&self, address: SocketAddr) -> Option<Socket> {
    let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
    let sockets = idle.get_mut(&address)?;
    while let Some((mut socket, idle_since)) = sockets.pop() {
      if idle_since.elapsed() < MAX_IDLE_TIME && socket.is_idle() {
        return Some(socket);
      }
    }
    None
  }

  fn release(&self, address: SocketAddr, socket: Socket) {
    let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
    let sockets = idle.entry(address).or_default();
    if sockets.len() < MAX_IDLE_PER_ADDRESS {
      sockets.push((socket, Moment::now()));
    }
  }

  /// Makes a call without retries.
  pub fn send(&self, address: SocketAddr, call: &Call) -> Result<Answer, Failure> {
    let mut socket = match self.take_idle(address) {
      Some(socket) => socket,
      None => Socket::connect(address, call.connect_timeout).map_err(|error| to_failure(&error))?,
    };
    if call
      .send_before
      .is_some_and(|before| Moment::now() >= before)
    {
      return Err(Failure::NotSent);
    }
    let (answer, reusable) =
      exchange(&mut socket, address, call, self.id_header).map_err(|_| Failure::NoAnswer)?;
    if answer
      .headers
      .get(self.id_header.unwrap_or_default())
      .is_none()
    {
      // Only their order tells the responses of this server apart.
      socket.carried = Carried::default();
    }
    if reusable && !socket.carried.is_full() {
      self.release(address, socket);
    }
    Ok(answer)
  }
}

/// Sends a call on a connection and receives its response; returns whether the connection can be reused.
/// `id_header` is the header in which the server echoes the ids of calls, if they have any.
pub(crate) fn exchange(
  socket: &mut Socket,
  address: SocketAddr,
  call: &Call,
  id_header: Option<&str>,
) -> io::Result<(Answer, bool)> {
  let total_deadline = Moment::now() + call.total_timeout;
  let read_deadline = || total_deadline.min(Moment::now() + call.read_timeout);
  let bytes = encode(&mut socket.carried, address, call, id_header);
  socket.write_all(&bytes, read_deadline())?;
  let id_header = id_header.unwrap_or_default();
  let mut reader = Reader::default();
  let (head, framing) = loop {
    let read = reader.read(&mut socket.input, &socket.carried, id_header);
    if let Some(response) = read.map_err(|error| io::Error::other(error.as_str()))? {
      break response;
    }
    if socket.fill_by(read_deadline())? == Fill::Eof {
      return Err(io::ErrorKind::UnexpectedEof.into());
    }
  };
  let body = read_body(socket, framing, call.max_answer_bytes, read_deadline)?;
  let reusable = head.keep_alive() && framing != Framing::Close && socket.input.is_empty();
  let answer = Answer {
    status: head.status,
    headers: head.headers,
    body,
  };
  Ok((answer, reusable))
}

/// Encodes a call, which is added to those that its connection has carried.
fn encode(
  carried: &mut Carried,
  address: SocketAddr,
  call: &Call,
  id_header: Option<&str>,
) -> Vec<u8> {
  let mut request = Request {
    method: call.method.into(),
    target: call.target.into(),
    minor: 1,
    headers: Headers::default(),
  };
  request.headers.set("Host", &address.to_string());
  for (name, value) in call.headers {
    request.headers.set(name, value);
  }
  let id = format!("{:016x}", rand::random::<u64>());
  carried.push(&id, call.method);
  if let Some(name) = id_header {
    request.headers.set(name, &id);
  }
  let framing = match (call.method, call.body.len()) {
    ("GET" | "DELETE", 0) => Framing::Empty,
    (_, length) => Framing::Length(length as u64),
  };
  let mut bytes = request.encode(framing);
  bytes.extend_from_slice(call.body);
  bytes
}

fn to_failure(error: &io::Error) -> Failure {
  match error.kind() {
    io::ErrorKind::ConnectionRefused => Failure::Refused,
    _ => Failure::NotSent,
  }
}

fn too_large(max_bytes: usize) -> io::Error {
  io::Error::other(format!("body: more than {max_bytes} bytes"))
}

/// Receives a body of at most `max_bytes`. `deadline` returns the time limit for its next bytes.
fn read_body(
  socket: &mut Socket,
  framing: Framing,
  max_bytes: usize,
  deadline: impl Fn() -> Moment,
) -> io::Result<Vec<u8>> {
  if matches!(framing, Framing::Length(length) if length > max_bytes as u64) {
    return Err(too_large(max_bytes));
  }
  let mut decoder = Decoder::new(framing);
  let mut body = Vec::new();
  loop {
    decoder
      .decode(&mut socket.input, &mut body)
      .map_err(|error| io::Error::other(error.0))?;
    if body.len() > max_bytes {
      return Err(too_large(max_bytes));
    }
    if decoder.is_complete() {
      return Ok(body);
    }
    if socket.fill_by(deadline())? == Fill::Eof {
      return match decoder.finish() {
        true => Ok(body),
        false => Err(io::ErrorKind::UnexpectedEof.into()),
      };
    }
  }
}
