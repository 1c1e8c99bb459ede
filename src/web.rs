//! The HTTP server of the callers' port: a thread for each connection, with
//! bounds on connections, sizes and waits.
//!
//! `tiny_http` bounds neither connections nor waits, and its accepting thread
//! ends when descriptors run out; `oxhttp` bounds both but buffers streams. So
//! the head is parsed by `httparse`, bodies by `chunked_transfer`, and what lies
//! between is here. docs/DESIGN.md has the measurements.

use crate::clock::Moment;
use chunked_transfer::{Decoder, Encoder};
use socket2::{Domain, Socket, Type};
use std::{
  io::{self, BufRead, BufReader, Read, Write},
  net::{SocketAddr, TcpListener, TcpStream},
  sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
  },
  thread,
  time::Duration,
};

/// Headers of one request, at most.
const HEADERS: usize = 64;
/// Pause after an accept that failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Longest wait to write to a caller that is turned away.
const TURN_AWAY: Duration = Duration::from_millis(100);

/// Bounds on what callers may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
  pub connections: usize,
  /// Bytes of a request's head.
  pub head_bytes: usize,
  /// Bytes of a request's body.
  pub body_bytes: usize,
  /// From the first byte of a request to its last.
  pub request_timeout: Duration,
  /// Between two requests of a connection.
  pub idle_timeout: Duration,
  /// For a caller that does not read.
  pub write_timeout: Duration,
  /// Stack of a connection's thread, bytes.
  pub stack_bytes: usize,
}

/// Why a request could not be read.
enum Fault {
  /// The connection ended, or nothing came in time.
  Gone,
  Bad(String),
  TooLarge(String),
}

impl From<io::Error> for Fault {
  fn from(_: io::Error) -> Self {
    Self::Gone
  }
}

/// Reads until a moment, however the bytes are spread.
struct Timed {
  stream: TcpStream,
  until: Moment,
}

impl Read for Timed {
  fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
    let left = self.until.saturating_duration_since(Moment::now());
    if left.is_zero() {
      return Err(io::ErrorKind::TimedOut.into());
    }
    self.stream.set_read_timeout(Some(left))?;
    self.stream.read(bytes)
  }
}

/// A request with the connection on which it is answered.
pub struct Request {
  pub method: String,
  /// Path and query.
  pub target: String,
  headers: Vec<(String, String)>,
  pub body: Vec<u8>,
  /// Address of the caller.
  pub peer: SocketAddr,
  stream: TcpStream,
  keep: bool,
}

impl Request {
  /// The value of a header.
  pub fn header(&self, name: &str) -> Option<&str> {
    let mut headers = self.headers.iter();
    let found = headers.find(|(field, _)| field.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
  }

  /// The path without its query.
  pub fn path(&self) -> &str {
    self.target.split('?').next().unwrap_or_default()
  }

  /// Answers whole.
  pub fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) {
    let text = head(
      status,
      headers,
      &format!("content-length: {}", body.len()),
      self.keep,
    );
    let written = self
      .stream
      .write_all(&[text.as_bytes(), body].concat())
      .and_then(|()| self.stream.flush());
    // A caller that is gone needs no answer, and no further request.
    self.keep &= written.is_ok();
  }

  /// Begins an answer whose parts leave as they are written.
  pub fn stream(&mut self, headers: &[(&str, &str)]) -> io::Result<Writer> {
    let text = head(200, headers, "transfer-encoding: chunked", self.keep);
    self.stream.write_all(text.as_bytes())?;
    Ok(Writer {
      encoder: Encoder::new(self.stream.try_clone()?),
    })
  }

  /// Ends the connection after this request.
  pub fn close(&mut self) {
    self.keep = false;
  }

  /// Whether the caller has closed its connection.
  pub fn is_disconnected(&self) -> bool {
    let mut byte = [0];
    if self.stream.set_nonblocking(true).is_err() {
      return true;
    }
    let peeked = self.stream.peek(&mut byte);
    let restored = self.stream.set_nonblocking(false);
    let waits = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
    restored.is_err() || !(matches!(peeked, Ok(1..)) || peeked.as_ref().is_err_and(waits))
  }
}

/// An answer in parts.
pub struct Writer {
  encoder: Encoder<TcpStream>,
}

impl Writer {
  /// Sends a part at once.
  pub fn send(&mut self, part: &str) -> io::Result<()> {
    self.encoder.write_all(part.as_bytes())?;
    self.encoder.flush()
  }
}

fn head(status: u16, headers: &[(&str, &str)], length: &str, keep: bool) -> String {
  let reason = match status {
    200 => "OK",
    202 => "Accepted",
    400 => "Bad Request",
    404 => "Not Found",
    409 => "Conflict",
    413 => "Content Too Large",
    429 => "Too Many Requests",
    502 => "Bad Gateway",
    503 => "Service Unavailable",
    _ => "Answer",
  };
  let connection = if keep { "keep-alive" } else { "close" };
  let mut text = format!("HTTP/1.1 {status} {reason}\r\n{length}\r\nconnection: {connection}\r\n");
  for (name, value) in headers {
    text += &format!("{name}: {value}\r\n");
  }
  text + "\r\n"
}

/// Binds an address; `handle` answers each request, `busy` is the body for
/// callers beyond the bound on connections.
pub fn bind(
  address: &str,
  bounds: Limits,
  busy: String,
  handle: impl Fn(&mut Request) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
  let listener = listen(address)?;
  let address = listener.local_addr()?;
  let handle = Arc::new(handle);
  let open = Arc::new(AtomicUsize::new(0));
  let builder = thread::Builder::new().name("callers".into());
  builder.spawn(move || {
    loop {
      match listener.accept() {
        Ok((stream, peer)) => admit(stream, peer, bounds, &busy, &open, &handle),
        Err(_) => thread::sleep(ACCEPT_PAUSE),
      }
    }
  })?;
  Ok(address)
}

/// Bursts come at once: the usual backlog of 128 would drop connections, which
/// callers try again only after a second.
const BACKLOG: i32 = 1024;

/// A listening socket with room for a burst.
pub fn listen(address: &str) -> io::Result<TcpListener> {
  let address: SocketAddr = address.parse().map_err(io::Error::other)?;
  let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
  socket.set_reuse_address(true)?;
  socket.bind(&address.into())?;
  socket.listen(BACKLOG)?;
  Ok(socket.into())
}

fn admit<F: Fn(&mut Request) + Send + Sync + 'static>(
  stream: TcpStream,
  peer: SocketAddr,
  bounds: Limits,
  busy: &str,
  open: &Arc<AtomicUsize>,
  handle: &Arc<F>,
) {
  if open.fetch_add(1, Ordering::Relaxed) >= bounds.connections {
    open.fetch_sub(1, Ordering::Relaxed);
    turn_away(stream, busy);
    return;
  }
  let (counted, handle) = (open.clone(), handle.clone());
  let builder = thread::Builder::new()
    .name("caller".into())
    .stack_size(bounds.stack_bytes);
  let spawned = builder.spawn(move || {
    // However the connection ends, its place is free again.
    let _place = Place(counted);
    serve(stream, peer, bounds, &*handle);
  });
  if spawned.is_err() {
    open.fetch_sub(1, Ordering::Relaxed);
  }
}

struct Place(Arc<AtomicUsize>);

impl Drop for Place {
  fn drop(&mut self) {
    self.0.fetch_sub(1, Ordering::Relaxed);
  }
}

fn turn_away(mut stream: TcpStream, busy: &str) {
  let headers = [("content-type", "application/json"), ("retry-after", "1")];
  let text = head(
    503,
    &headers,
    &format!("content-length: {}", busy.len()),
    false,
  );
  // Nothing is owed to a caller that does not take even this.
  let _ = stream.set_write_timeout(Some(TURN_AWAY));
  let _ = stream.write_all(format!("{text}{busy}").as_bytes());
}

fn serve(stream: TcpStream, peer: SocketAddr, bounds: Limits, handle: &impl Fn(&mut Request)) {
  let ready = stream
    .set_nodelay(true)
    .and_then(|()| stream.set_write_timeout(Some(bounds.write_timeout)));
  let Ok(reading) = stream.try_clone() else {
    return;
  };
  if ready.is_err() {
    return;
  }
  let timed = Timed {
    stream: reading,
    until: Moment::now() + bounds.idle_timeout,
  };
  let mut reader = BufReader::new(timed);
  let mut stream = stream;
  loop {
    reader.get_mut().until = Moment::now() + bounds.idle_timeout;
    if !matches!(reader.fill_buf(), Ok(bytes) if !bytes.is_empty()) {
      return;
    }
    reader.get_mut().until = Moment::now() + bounds.request_timeout;
    let mut request = match read(&mut reader, &stream, peer, bounds) {
      Ok(request) => request,
      Err(fault) => return refuse(stream, &fault),
    };
    handle(&mut request);
    if !request.keep {
      return;
    }
    stream = request.stream;
  }
}

fn refuse(mut stream: TcpStream, fault: &Fault) {
  let (status, text) = match fault {
    Fault::Gone => return,
    Fault::Bad(text) => (400, text),
    Fault::TooLarge(text) => (413, text),
  };
  let body = serde_json::json!({ "error": {
    "type": "invalid_request", "message": text, "verdict": "not-run" } });
  let body = body.to_string();
  let headers = [("content-type", "application/json")];
  let head = head(
    status,
    &headers,
    &format!("content-length: {}", body.len()),
    false,
  );
  let _ = stream.write_all(format!("{head}{body}").as_bytes());
}

fn read(
  reader: &mut BufReader<Timed>,
  stream: &TcpStream,
  peer: SocketAddr,
  bounds: Limits,
) -> Result<Request, Fault> {
  let text = read_head(reader, bounds.head_bytes)?;
  let mut headers = [httparse::EMPTY_HEADER; HEADERS];
  let mut parsed = httparse::Request::new(&mut headers);
  let status = parsed.parse(&text);
  if !matches!(status, Ok(httparse::Status::Complete(_))) {
    return Err(Fault::Bad("head: not an HTTP request".into()));
  }
  let headers = parsed.headers.iter().map(|header| {
    let value = String::from_utf8_lossy(header.value).into_owned();
    (header.name.to_string(), value)
  });
  let mut request = Request {
    method: parsed.method.unwrap_or_default().into(),
    target: parsed.path.unwrap_or_default().into(),
    headers: headers.collect(),
    body: Vec::new(),
    peer,
    stream: stream.try_clone()?,
    keep: parsed.version == Some(1),
  };
  let closes = |value: &str| value.eq_ignore_ascii_case("close");
  request.keep &= !request.header("connection").is_some_and(closes);
  if request.header("expect").is_some() {
    request.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
  }
  request.body = read_body(reader, &request, bounds.body_bytes)?;
  Ok(request)
}

fn read_head(reader: &mut BufReader<Timed>, limit: usize) -> Result<Vec<u8>, Fault> {
  let mut text = Vec::new();
  loop {
    let before = text.len();
    let room = (limit - before) as u64;
    let length = reader.take(room).read_until(b'\n', &mut text)?;
    match &text[before..] {
      b"\r\n" | b"\n" => return Ok(text),
      _ if length == 0 && room > 0 => return Err(Fault::Gone),
      _ if text.len() >= limit => {
        return Err(Fault::TooLarge(format!("head: more than {limit} bytes")));
      }
      _ => {}
    }
  }
}

fn read_body(
  reader: &mut BufReader<Timed>,
  request: &Request,
  limit: usize,
) -> Result<Vec<u8>, Fault> {
  let too_large = || Fault::TooLarge(format!("body: more than {limit} bytes"));
  let mut body = Vec::new();
  let coding = request.header("transfer-encoding");
  if coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
    Decoder::new(reader)
      .take(limit as u64 + 1)
      .read_to_end(&mut body)?;
    return if body.len() > limit {
      Err(too_large())
    } else {
      Ok(body)
    };
  }
  let Some(length) = request.header("content-length") else {
    return Ok(body);
  };
  let length: usize = length
    .parse()
    .map_err(|_| Fault::Bad(format!("content-length: `{length}` is not a number")))?;
  if length > limit {
    return Err(too_large());
  }
  body.resize(length, 0);
  reader.read_exact(&mut body)?;
  Ok(body)
}
