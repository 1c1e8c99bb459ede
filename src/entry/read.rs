//! Reads requests of callers, within the limits of the deployment and of a planned stop.

use super::limits;
use crate::{
  clock::Moment,
  deployment::Bounds,
  http::{Decoder, Error, Framing, Request},
  hub::Hub,
  reader::{self, Account, Book, Scope},
  socket::{Fill, Interest, READ_BYTES, Socket, wait},
};
use std::{io, time::Duration};

/// Time limit for receiving a body, from the end of its head.
const BODY_TIMEOUT: Duration = Duration::from_secs(15);

/// Why a request could not be read.
pub(super) enum ReadError {
  /// The connection was closed, or was idle for too long.
  Closed,
  Rejected(Rejection),
  /// It has not arrived in full when a planned stop refuses requests.
  Stopping(Box<Partial>),
  /// Too many bytes are held for callers.
  Full(Box<Full>),
}

/// A request that is invalid or exceeds a limit.
pub(super) struct Rejection {
  pub(super) status: u16,
  pub(super) message: String,
  /// Method of the request; empty if its head was not read.
  pub(super) method: String,
}

/// A request that has not arrived in full.
#[derive(Default)]
pub(super) struct Partial {
  /// Empty if its head was not read.
  pub(super) method: String,
  /// Its id.
  pub(super) request: Option<String>,
}

/// A request that does not fit into the bounds on bytes held.
pub(super) struct Full {
  pub(super) method: String,
  /// Its id.
  pub(super) request: Option<String>,
  pub(super) scope: Scope,
  /// Whether its body has not arrived in full.
  pub(super) partial: bool,
}

/// A request as it was received.
pub(super) struct Received {
  pub(super) head: Request,
  pub(super) body: Vec<u8>,
  /// When its first byte was read, in ms.
  pub(super) arrived: u64,
  pub(super) account: Option<Account>,
}

impl ReadError {
  /// Adds the method and the id of the request whose body could not be read.
  fn with_head(mut self, method: &str, id: Option<&str>) -> Self {
    match &mut self {
      Self::Rejected(rejection) => rejection.method = method.into(),
      Self::Stopping(partial) => {
        partial.method = method.into();
        partial.request = id.map(str::to_string);
      }
      Self::Closed | Self::Full(_) => {}
    }
    self
  }
}

impl From<io::Error> for ReadError {
  fn from(_: io::Error) -> Self {
    // No response can be sent if the connection failed.
    Self::Closed
  }
}

/// Reads a request whose first byte has arrived, within the limits of the current deployment.
pub(super) fn read_request(hub: &Hub, socket: &mut Socket) -> Result<Received, ReadError> {
  let arrived = hub.now();
  let limits = limits(hub);
  let head = read_head(hub, socket, &limits)?;
  let id = head.headers.get(hub.dialect.request_id);
  let full = |scope, partial| {
    ReadError::Full(Box::new(Full {
      method: head.method.clone(),
      request: id.map(str::to_string),
      scope,
      partial,
    }))
  };
  let account = match hub.readers.get().map(Book::open).transpose() {
    Ok(account) => account,
    Err(scope) => return Err(full(scope, head.framing() != Ok(Framing::Empty))),
  };
  let body = read_body(hub, socket, &head, &limits, account.as_ref(), |scope| {
    full(scope, true)
  });
  let body = body.map_err(|error| error.with_head(&head.method, id))?;
  if let Some(account) = &account {
    account.settle();
  }
  Ok(Received {
    head,
    body,
    arrived,
    account,
  })
}

fn rejected(status: u16, message: String) -> ReadError {
  ReadError::Rejected(Rejection {
    status,
    message,
    method: String::new(),
  })
}

fn invalid(error: Error) -> ReadError {
  rejected(400, error.0)
}

/// Like `Socket::fill_by`, but not beyond the time at which a planned stop refuses requests.
fn fill_by(hub: &Hub, socket: &mut Socket, deadline: Moment) -> io::Result<Fill> {
  loop {
    let refuse_at = hub.shutdown().map(|times| hub.instant(times.refuse_at));
    let until = refuse_at.map_or(deadline, |refuse_at| refuse_at.min(deadline));
    let stop = refuse_at.is_none().then_some(&hub.stop_waker);
    let stop = stop.map(|waker| (waker as _, Interest::Read));
    let connection = Some((&socket.stream as _, Interest::Read));
    let [readable, stopped] = wait([connection, stop], until)?;
    if readable {
      return socket.fill();
    }
    if !stopped {
      return Err(io::ErrorKind::TimedOut.into());
    }
  }
}

/// Whether a planned stop refuses requests that have not arrived in full.
fn refuses_partial(hub: &Hub) -> bool {
  let shutdown = hub.shutdown();
  shutdown.is_some_and(|times| hub.now() >= times.refuse_at)
}

fn incomplete(hub: &Hub, error: io::Error, part: &str) -> ReadError {
  match error.kind() {
    io::ErrorKind::TimedOut if refuses_partial(hub) => ReadError::Stopping(Box::default()),
    io::ErrorKind::TimedOut => rejected(408, format!("{part}: not whole in time")),
    _ => ReadError::Closed,
  }
}

fn read_head(hub: &Hub, socket: &mut Socket, limits: &Bounds) -> Result<Request, ReadError> {
  let deadline = Moment::now() + limits.head_timeout;
  loop {
    // Empty lines before a request are allowed.
    while socket.input.starts_with(b"\r\n") {
      socket.input.drain(..2);
    }
    if let Some((head, length)) = Request::parse(&socket.input).map_err(invalid)? {
      if length > limits.head_bytes {
        return Err(head_too_large(limits));
      }
      socket.input.drain(..length);
      return Ok(head);
    }
    if socket.input.len() > limits.head_bytes {
      return Err(head_too_large(limits));
    }
    let fill = fill_by(hub, socket, deadline);
    if fill.map_err(|error| incomplete(hub, error, "head"))? == Fill::Eof {
      return Err(ReadError::Closed);
    }
  }
}

fn head_too_large(limits: &Bounds) -> ReadError {
  rejected(431, format!("head: more than {} bytes", limits.head_bytes))
}

fn read_body(
  hub: &Hub,
  socket: &mut Socket,
  head: &Request,
  limits: &Bounds,
  account: Option<&Account>,
  full: impl Fn(Scope) -> ReadError,
) -> Result<Vec<u8>, ReadError> {
  let framing = head.framing().map_err(invalid)?;
  let body_too_large = || rejected(413, format!("body: more than {} bytes", limits.body_bytes));
  if matches!(framing, Framing::Length(length) if length > limits.body_bytes as u64) {
    return Err(body_too_large());
  }
  let mut decoder = Decoder::new(framing);
  let mut bytes = Vec::new();
  let deadline = Moment::now() + BODY_TIMEOUT;
  if head.headers.has_token("expect", "100-continue")
    && !decoder.is_complete()
    && socket.input.is_empty()
  {
    socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", deadline)?;
  }
  loop {
    decoder
      .decode(&mut socket.input, &mut bytes)
      .map_err(invalid)?;
    if bytes.len() > limits.body_bytes {
      return Err(body_too_large());
    }
    if decoder.is_complete() {
      return Ok(bytes);
    }
    let held = (bytes.len() + READ_BYTES) as u64;
    let bounded = account.filter(|_| held > reader::BASE_BYTES);
    if let Some(account) = bounded {
      account.receive(held).map_err(&full)?;
    }
    let fill = match bounded {
      Some(account) => fill_bounded(hub, socket, deadline, account).map_err(&full)?,
      None => fill_by(hub, socket, deadline),
    };
    if fill.map_err(|error| incomplete(hub, error, "body"))? == Fill::Eof {
      return Err(ReadError::Closed);
    }
  }
}

/// Like `fill_by`; an error means that the sender was chosen to be dropped.
fn fill_bounded(
  hub: &Hub,
  socket: &mut Socket,
  deadline: Moment,
  account: &Account,
) -> Result<io::Result<Fill>, Scope> {
  loop {
    let check_at = Moment::now() + reader::CHECK_INTERVAL;
    let fill = fill_by(hub, socket, check_at.min(deadline));
    let timed_out = matches!(&fill, Err(error) if error.kind() == io::ErrorKind::TimedOut);
    if account.is_dropped() {
      return Err(Scope::Instance);
    }
    if !timed_out || Moment::now() >= deadline || refuses_partial(hub) {
      return Ok(fill);
    }
  }
}
