//! Small HTTP calls over kept connections: to the platform's store and for
//! orders and reports.

use crate::{
  clock::Moment,
  http::{Decoder, Framing, Headers, Request, Response},
  socket::{Fill, Socket},
};
use std::{
  collections::HashMap,
  io,
  net::SocketAddr,
  sync::{Mutex, PoisonError},
  time::Duration,
};

/// Largest answer taken, bytes: a page of the store holds 1 MB.
const ANSWER_MOST: usize = 16 << 20;
/// A kept connection that rested longer is not used again.
const REST_MOST: Duration = Duration::from_millis(2_000);
/// Connections kept for one address.
const KEPT: usize = 4;

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
  /// Nothing listens there: the call was not made.
  Refused,
  /// No connection came up in time: the call was not made.
  NotSent,
  /// The call went out and may have been carried out, now or later.
  NoAnswer,
}

/// An answer in whole.
#[derive(Clone, Debug)]
pub struct Answer {
  pub status: u16,
  pub headers: Headers,
  pub body: Vec<u8>,
}

/// A call to make.
#[derive(Clone, Debug)]
pub struct Call<'a> {
  pub method: &'a str,
  pub target: &'a str,
  /// Headers besides host and framing.
  pub headers: &'a [(&'a str, &'a str)],
  pub body: &'a [u8],
  /// Time for connecting.
  pub connect_timeout: Duration,
  /// Longest wait for the answer's next bytes.
  pub read_timeout: Duration,
  /// Time for the whole answer.
  pub total_timeout: Duration,
  /// The call goes out before this moment or not at all, however long the process
  /// stood still while it connected.
  pub send_before: Option<Moment>,
}

/// Makes calls; connections are kept for the next one.
#[derive(Debug, Default)]
pub struct Client {
  kept: Mutex<HashMap<SocketAddr, Vec<(Socket, Moment)>>>,
}

impl Client {
  fn kept(&self, address: SocketAddr) -> Option<Socket> {
    let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
    let sockets = kept.get_mut(&address)?;
    while let Some((mut socket, since)) = sockets.pop() {
      if since.elapsed() < REST_MOST && socket.is_idle() {
        return Some(socket);
      }
    }
    None
  }

  fn keep(&self, address: SocketAddr, socket: Socket) {
    let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
    let sockets = kept.entry(address).or_default();
    if sockets.len() < KEPT {
      sockets.push((socket, Moment::now()));
    }
  }

  /// Makes one call, once.
  pub fn send(&self, address: SocketAddr, call: &Call) -> Result<Answer, Failure> {
    let mut socket = match self.kept(address) {
      Some(socket) => socket,
      None => Socket::connect(address, call.connect_timeout).map_err(|error| not_sent(&error))?,
    };
    if call
      .send_before
      .is_some_and(|before| Moment::now() >= before)
    {
      return Err(Failure::NotSent);
    }
    let (answer, keep) = exchange(&mut socket, address, call).map_err(|_| Failure::NoAnswer)?;
    if keep && socket.input.is_empty() {
      self.keep(address, socket);
    }
    Ok(answer)
  }
}

fn not_sent(error: &io::Error) -> Failure {
  match error.kind() {
    io::ErrorKind::ConnectionRefused => Failure::Refused,
    _ => Failure::NotSent,
  }
}

fn exchange(socket: &mut Socket, address: SocketAddr, call: &Call) -> io::Result<(Answer, bool)> {
  let last = Moment::now() + call.total_timeout;
  let until = || last.min(Moment::now() + call.read_timeout);
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
  let framing = match (call.method, call.body.len()) {
    ("GET" | "DELETE", 0) => Framing::Empty,
    (_, length) => Framing::Length(length as u64),
  };
  let mut bytes = request.encode(framing);
  bytes.extend_from_slice(call.body);
  socket.write_all(&bytes, until())?;
  let head = loop {
    match Response::parse(&socket.input).map_err(|fault| io::Error::other(fault.0))? {
      Some((head, length)) => {
        socket.input.drain(..length);
        if head.status >= 200 {
          break head;
        }
      }
      None => match socket.fill_by(until())? {
        Fill::Eof => return Err(io::ErrorKind::UnexpectedEof.into()),
        Fill::Data | Fill::Empty => {}
      },
    }
  };
  let framing = head
    .framing(call.method)
    .map_err(|fault| io::Error::other(fault.0))?;
  let mut body = Decoder::new(framing);
  let mut out = Vec::new();
  loop {
    body
      .decode(&mut socket.input, &mut out)
      .map_err(|fault| io::Error::other(fault.0))?;
    if body.is_complete() {
      break;
    }
    if out.len() > ANSWER_MOST {
      return Err(io::ErrorKind::InvalidData.into());
    }
    if socket.fill_by(until())? == Fill::Eof {
      if body.finish() {
        break;
      }
      return Err(io::ErrorKind::UnexpectedEof.into());
    }
  }
  let keep = head.keep_alive() && framing != Framing::Close;
  let answer = Answer {
    status: head.status,
    headers: head.headers,
    body: out,
  };
  Ok((answer, keep))
}
