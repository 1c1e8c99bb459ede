//! HTTP server of the caller port: one thread per connection, with limits on the number of
//! connections, message sizes and waiting times.
//!
//! `tiny_http` limits neither connections nor waiting times, and its accept thread ends when file
//! descriptors run out. `oxhttp` limits both but buffers streams. This module therefore parses
//! heads with `httparse`, decodes chunked bodies with `chunked_transfer`, and implements the rest.
//! docs/DESIGN.md has the measurements.

use crate::{activity::Activity, clock::Moment, essential, http};
use chunked_transfer::{Decoder, Encoder};
use socket2::{Domain, Socket, Type};
use std::{
  io::{self, BufRead, BufReader, Read, Write},
  net::{SocketAddr, TcpListener, TcpStream},
  sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
  },
  thread,
  time::Duration,
};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 64;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time limit for writing the response to a rejected connection.
const REJECTION_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Limits on what callers may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
  pub connections: usize,
  /// Maximum size of a request's head.
  pub head_bytes: usize,
  /// Maximum size of a request's body.
  pub body_bytes: usize,
  /// From the first byte of a request to its last.
  pub request_timeout: Duration,
  /// Between two requests on a connection.
  pub idle_timeout: Duration,
  /// For a caller that does not read its response.
  pub write_timeout: Duration,
  /// Stack size of a connection's thread.
  pub stack_bytes: usize,
}

/// Why a request could not be read.
enum ReadError {
  /// The connection was closed, or the request did not arrive in time.
  Closed,
  Invalid(String),
  TooLarge(String),
}

impl From<io::Error> for ReadError {
  fn from(_: io::Error) -> Self {
    Self::Closed
  }
}

/// A reader with one deadline for all its reads, however few bytes each of them returns.
struct DeadlineReader {
  stream: TcpStream,
  deadline: Moment,
}

impl Read for DeadlineReader {
  fn read(&mut self, bytes: &mut [u8]) -> io::Result<usize> {
    loop {
      let left = self.deadline.saturating_duration_since(Moment::now());
      if left.is_zero() {
        return Err(io::ErrorKind::TimedOut.into());
      }
      self.stream.set_read_timeout(Some(left))?;
      match self.stream.read(bytes) {
        // A read with a timeout is interrupted when its process is suspended.
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
        result => return result,
      }
    }
  }
}

/// A request and the connection for its response.
pub struct Request {
  pub method: String,
  /// Path and query.
  pub target: String,
  headers: Vec<(String, String)>,
  pub body: Vec<u8>,
  /// Address of the caller.
  pub peer: SocketAddr,
  stream: TcpStream,
  keep_alive: bool,
  /// A stop that closes the connection after this request; `None` if the next request has been read
  /// already.
  stop: Option<Arc<Stop>>,
}

impl Request {
  /// Whether the connection stays open after the response whose head is written now.
  fn keeps_alive(&mut self) -> bool {
    let stops = |stop: &Arc<Stop>| stop.has_started.load(Ordering::Relaxed);
    self.keep_alive &= !self.stop.as_ref().is_some_and(stops);
    self.keep_alive
  }

  /// Returns the first value of a header.
  pub fn header(&self, name: &str) -> Option<&str> {
    let mut headers = self.headers.iter();
    let header = headers.find(|(field, _)| field.eq_ignore_ascii_case(name));
    header.map(|(_, value)| value.as_str())
  }

  /// Returns the target without its query.
  pub fn path(&self) -> &str {
    self.target.split('?').next().unwrap_or_default()
  }

  /// Sends a complete response. To a HEAD request, its body is left out.
  pub fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) {
    let keep_alive = self.keeps_alive();
    let head = encode_head(
      status,
      headers,
      &format!("content-length: {}", body.len()),
      keep_alive,
    );
    let body = match http::has_body(&self.method, status) {
      true => body,
      false => &[],
    };
    let written = self
      .stream
      .write_all(&[head.as_bytes(), body].concat())
      .and_then(|()| self.stream.flush());
    // If the caller has disconnected, the response is dropped and no further request is read.
    self.keep_alive &= written.is_ok();
  }

  /// Starts a chunked response with status 200 whose parts are sent as they are written.
  pub fn stream(&mut self, headers: &[(&str, &str)]) -> io::Result<Writer> {
    let keep_alive = self.keeps_alive();
    let head = encode_head(200, headers, "transfer-encoding: chunked", keep_alive);
    self.stream.write_all(head.as_bytes())?;
    Ok(Writer {
      encoder: Encoder::new(self.stream.try_clone()?),
    })
  }

  /// Closes the connection after this request.
  pub fn close(&mut self) {
    self.keep_alive = false;
  }

  /// Returns whether the caller has closed its connection.
  pub fn is_disconnected(&self) -> bool {
    let mut byte = [0];
    if self.stream.set_nonblocking(true).is_err() {
      return true;
    }
    let peeked = self.stream.peek(&mut byte);
    let restored = self.stream.set_nonblocking(false);
    let would_block = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
    restored.is_err() || !(matches!(peeked, Ok(1..)) || peeked.as_ref().is_err_and(would_block))
  }
}

/// Writes a chunked response.
pub struct Writer {
  encoder: Encoder<TcpStream>,
}

impl Writer {
  /// Sends a part immediately.
  pub fn send(&mut self, part: &str) -> io::Result<()> {
    self.encoder.write_all(part.as_bytes())?;
    self.encoder.flush()
  }
}

fn encode_head(status: u16, headers: &[(&str, &str)], framing: &str, keep_alive: bool) -> String {
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
  let connection = if keep_alive { "keep-alive" } else { "close" };
  let mut head = format!("HTTP/1.1 {status} {reason}\r\n{framing}\r\nconnection: {connection}\r\n");
  for (name, value) in headers {
    head += &format!("{name}: {value}\r\n");
  }
  head + "\r\n"
}

/// A planned stop, as the connections of callers see it.
#[derive(Debug, Default)]
pub struct Stop {
  pub has_started: AtomicBool,
  /// Requests that are read, handled or answered.
  pub active: Activity,
}

/// Binds an address and serves it in a thread. `handle` responds to each request; `busy_body` is
/// the response body for connections beyond the limit.
pub fn bind(
  address: &str,
  limits: Limits,
  busy_body: String,
  stop: &Arc<Stop>,
  handle: impl Fn(&mut Request) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
  let listener = listen(address)?;
  let address = listener.local_addr()?;
  let (handle, stop) = (Arc::new(handle), stop.clone());
  let open_connections = Arc::new(AtomicUsize::new(0));
  essential::spawn(
    thread::Builder::new(),
    "callers",
    &essential::no_log(),
    move || {
      loop {
        match listener.accept() {
          Ok((stream, peer)) => {
            let serve = (&handle, &stop);
            accept(stream, peer, limits, &busy_body, &open_connections, serve);
          }
          Err(_) => thread::sleep(ACCEPT_RETRY_DELAY),
        }
      }
    },
  )?;
  Ok(address)
}

/// With the usual backlog of 128, a burst would drop connections, which callers retry only after a
/// second.
const BACKLOG: i32 = 1024;

/// Opens a listening socket with a backlog that is large enough for bursts. The error names the
/// address.
pub fn listen(address: &str) -> io::Result<TcpListener> {
  open_listener(address).map_err(|error| {
    let text = format!("cannot listen on `{address}`: {error}");
    io::Error::new(error.kind(), text)
  })
}

fn open_listener(address: &str) -> io::Result<TcpListener> {
  let address: SocketAddr = address.parse().map_err(io::Error::other)?;
  let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
  socket.set_reuse_address(true)?;
  socket.bind(&address.into())?;
  socket.listen(BACKLOG)?;
  Ok(socket.into())
}

fn accept<F: Fn(&mut Request) + Send + Sync + 'static>(
  stream: TcpStream,
  peer: SocketAddr,
  limits: Limits,
  busy_body: &str,
  open_connections: &Arc<AtomicUsize>,
  (handle, stop): (&Arc<F>, &Arc<Stop>),
) {
  if open_connections.fetch_add(1, Ordering::Relaxed) >= limits.connections {
    open_connections.fetch_sub(1, Ordering::Relaxed);
    reject(stream, busy_body);
    return;
  }
  let (slot_count, handle) = (open_connections.clone(), handle.clone());
  let stop = stop.clone();
  let builder = thread::Builder::new()
    .name("caller".into())
    .stack_size(limits.stack_bytes);
  let spawned = builder.spawn(move || {
    // Releases the slot, however the thread ends.
    let _slot = Slot(slot_count);
    serve(stream, peer, limits, &stop, &*handle);
  });
  if spawned.is_err() {
    open_connections.fetch_sub(1, Ordering::Relaxed);
  }
}

struct Slot(Arc<AtomicUsize>);

impl Drop for Slot {
  fn drop(&mut self) {
    self.0.fetch_sub(1, Ordering::Relaxed);
  }
}

fn reject(mut stream: TcpStream, busy_body: &str) {
  let headers = [("content-type", "application/json"), ("retry-after", "1")];
  let head = encode_head(
    503,
    &headers,
    &format!("content-length: {}", busy_body.len()),
    false,
  );
  // Best effort: the connection is closed even if the caller does not read this response.
  let _ = stream.set_write_timeout(Some(REJECTION_WRITE_TIMEOUT));
  let _ = stream.write_all(format!("{head}{busy_body}").as_bytes());
}

fn serve(
  stream: TcpStream,
  peer: SocketAddr,
  limits: Limits,
  stop: &Arc<Stop>,
  handle: &impl Fn(&mut Request),
) {
  let configured = stream
    .set_nodelay(true)
    .and_then(|()| stream.set_write_timeout(Some(limits.write_timeout)));
  let Ok(read_stream) = stream.try_clone() else {
    return;
  };
  if configured.is_err() {
    return;
  }
  let deadline_reader = DeadlineReader {
    stream: read_stream,
    deadline: Moment::now() + limits.idle_timeout,
  };
  let mut reader = BufReader::new(deadline_reader);
  let mut stream = stream;
  loop {
    reader.get_mut().deadline = Moment::now() + limits.idle_timeout;
    if !matches!(reader.fill_buf(), Ok(bytes) if !bytes.is_empty()) {
      return;
    }
    let Some(_active) = stop.active.begin() else {
      return;
    };
    reader.get_mut().deadline = Moment::now() + limits.request_timeout;
    let mut request = match read_request(&mut reader, &stream, peer, limits) {
      Ok(request) => request,
      Err(error) => return respond_to_error(stream, &error),
    };
    if reader.buffer().is_empty() {
      request.stop = Some(stop.clone());
    }
    handle(&mut request);
    if !request.keep_alive {
      return;
    }
    stream = request.stream;
  }
}

fn respond_to_error(mut stream: TcpStream, error: &ReadError) {
  let (status, text) = match error {
    ReadError::Closed => return,
    ReadError::Invalid(text) => (400, text),
    ReadError::TooLarge(text) => (413, text),
  };
  let body = serde_json::json!({ "error": {
    "type": "invalid_request", "message": text, "verdict": "not-run" } });
  let body = body.to_string();
  let headers = [("content-type", "application/json")];
  let head = encode_head(
    status,
    &headers,
    &format!("content-length: {}", body.len()),
    false,
  );
  let _ = stream.write_all(format!("{head}{body}").as_bytes());
}

fn read_request(
  reader: &mut BufReader<DeadlineReader>,
  stream: &TcpStream,
  peer: SocketAddr,
  limits: Limits,
) -> Result<Request, ReadError> {
  let head = read_head(reader, limits.head_bytes)?;
  let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
  let mut parsed = httparse::Request::new(&mut headers);
  let status = parsed.parse(&head);
  if !matches!(status, Ok(httparse::Status::Complete(_))) {
    return Err(ReadError::Invalid("head: not an HTTP request".into()));
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
    keep_alive: parsed.version == Some(1),
    stop: None,
  };
  let is_close = |value: &str| value.eq_ignore_ascii_case("close");
  request.keep_alive &= !request.header("connection").is_some_and(is_close);
  if request.header("expect").is_some() {
    request.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
  }
  request.body = read_body(reader, &request, limits.body_bytes)?;
  Ok(request)
}

fn read_head(reader: &mut BufReader<DeadlineReader>, limit: usize) -> Result<Vec<u8>, ReadError> {
  let mut head = Vec::new();
  loop {
    let line_start = head.len();
    let remaining = (limit - line_start) as u64;
    let length = reader.take(remaining).read_until(b'\n', &mut head)?;
    match &head[line_start..] {
      b"\r\n" | b"\n" => return Ok(head),
      _ if length == 0 && remaining > 0 => return Err(ReadError::Closed),
      _ if head.len() >= limit => {
        return Err(ReadError::TooLarge(format!(
          "head: more than {limit} bytes"
        )));
      }
      _ => {}
    }
  }
}

fn read_body(
  reader: &mut BufReader<DeadlineReader>,
  request: &Request,
  limit: usize,
) -> Result<Vec<u8>, ReadError> {
  let too_large = || ReadError::TooLarge(format!("body: more than {limit} bytes"));
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
    .map_err(|_| ReadError::Invalid(format!("content-length: `{length}` is not a number")))?;
  if length > limit {
    return Err(too_large());
  }
  body.resize(length, 0);
  reader.read_exact(&mut body)?;
  Ok(body)
}
