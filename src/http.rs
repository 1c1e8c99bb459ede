//! HTTP/1.1 messages: heads are parsed by `httparse`, bodies are decoded by their framing.
//!
//! Parsing is strict to prevent request smuggling: a message that two parsers could split
//! differently is an error.

use std::{fmt::Write, ops::RangeInclusive};

/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 100;
/// Maximum size of a response's head: bytes that are no response may come without end.
const MAX_RESPONSE_HEAD_BYTES: usize = 64 << 10;
/// Maximum length of a chunk's size line and of a trailer line.
const MAX_LINE_BYTES: usize = 256;
/// Maximum size of the trailers of a body.
const MAX_TRAILER_BYTES: usize = 64 << 10;
/// Statuses that have a class (RFC 9110, section 15). A response with another one is invalid.
pub const STATUSES: RangeInclusive<u16> = 100..=599;

/// Describes why a message is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(pub String);

/// The headers of a message, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, Vec<u8>)>);

impl Headers {
  /// Returns the first value of a header, trimmed; `None` if it is missing or not UTF-8.
  pub fn get(&self, name: &str) -> Option<&str> {
    let value = self.get_all(name).next()?;
    std::str::from_utf8(value).ok().map(str::trim)
  }

  /// Returns all values of a header.
  pub fn get_all<'a, 'b>(&'a self, name: &'b str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'b> {
    self
      .0
      .iter()
      .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
      .map(|(_, value)| value.as_slice())
  }

  /// Returns whether a comma-separated header contains `token`, ignoring case.
  pub fn has_token(&self, header: &str, token: &str) -> bool {
    self.get_all(header).any(|value| {
      let value = String::from_utf8_lossy(value);
      value
        .split(',')
        .any(|item| item.trim().eq_ignore_ascii_case(token))
    })
  }

  /// Removes all values of a header.
  pub fn remove(&mut self, name: &str) {
    self
      .0
      .retain(|(field, _)| !field.eq_ignore_ascii_case(name));
  }

  /// Sets a header to a single value, replacing existing ones.
  pub fn set(&mut self, name: &str, value: &str) {
    self.remove(name);
    self.0.push((name.into(), value.as_bytes().to_vec()));
  }

  /// Removes hop-by-hop headers: those listed in `Connection` and `HOP_BY_HOP`, framing included.
  pub fn remove_hop_by_hop(&mut self) {
    let listed: Vec<String> = self
      .get_all("connection")
      .flat_map(|value| {
        let value = String::from_utf8_lossy(value).into_owned();
        value
          .split(',')
          .map(|item| item.trim().to_string())
          .collect::<Vec<_>>()
      })
      .collect();
    for name in listed.iter().map(String::as_str).chain(HOP_BY_HOP) {
      self.remove(name);
    }
  }
}

/// Headers that apply to a single connection.
const HOP_BY_HOP: [&str; 10] = [
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
];

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
  /// The message has no body.
  Empty,
  /// The body has this many bytes.
  Length(u64),
  Chunked,
  /// The body ends when the connection is closed.
  Close,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
  pub method: String,
  /// Path and query.
  pub target: String,
  /// Minor version: 0 for HTTP/1.0, 1 for HTTP/1.1.
  pub minor: u8,
  pub headers: Headers,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
  pub status: u16,
  pub reason: String,
  pub minor: u8,
  pub headers: Headers,
}

fn convert_headers(parsed: &[httparse::Header]) -> Headers {
  let lines = parsed.iter();
  Headers(
    lines
      .map(|line| (line.name.to_string(), line.value.to_vec()))
      .collect(),
  )
}

fn has_bare_line_ending(head: &[u8]) -> bool {
  let line_feeds = head.iter().filter(|byte| **byte == b'\n').count();
  let crlf_pairs = head.windows(2).filter(|pair| pair == b"\r\n").count();
  let carriage_returns = head.iter().filter(|byte| **byte == b'\r').count();
  line_feeds != crlf_pairs || carriage_returns != crlf_pairs
}

/// Length of the part of a status line that `is_status_line` checks.
const STATUS_LINE_BYTES: usize = "HTTP/1.1 200".len();

fn is_status_line(bytes: &[u8]) -> bool {
  match bytes.strip_prefix(b"HTTP/1.") {
    Some([minor, b' ', status @ ..]) => {
      minor.is_ascii_digit() && status.iter().all(u8::is_ascii_digit)
    }
    _ => false,
  }
}

/// Number of status lines, at any position.
fn count_status_lines(bytes: &[u8]) -> usize {
  let lines = bytes.windows(STATUS_LINE_BYTES);
  lines.filter(|bytes| is_status_line(bytes)).count()
}

/// Whether a response head contains a second status line: a head that was cut short, joined with the
/// next one.
fn is_joined(head: &[u8]) -> bool {
  count_status_lines(head) > 1
}

/// Checks that a line of a chunked body is not joined with the head of the next response.
fn check_line(line: &[u8]) -> Result<(), Error> {
  match count_status_lines(line) {
    0 => Ok(()),
    _ => Err(Error("body: a status line is within it".into())),
  }
}

/// Checks that a trailer line is a field. Empty is the line that ends the trailers.
fn check_trailer(line: &[u8]) -> Result<(), Error> {
  check_line(line)?;
  if line.is_empty() {
    return Ok(());
  }
  // The parser of heads takes a line with the end of a head behind it.
  let line = [line, b"\r\n\r\n"].concat();
  match httparse::parse_headers(&line, &mut [httparse::EMPTY_HEADER; 1]) {
    Ok(httparse::Status::Complete(_)) => Ok(()),
    Ok(httparse::Status::Partial) => Err(Error("body: a trailer is cut".into())),
    Err(error) => Err(Error(format!("body: trailer: {error}"))),
  }
}

impl Request {
  /// Parses the request head at the start of `bytes` and returns it with its length in bytes;
  /// `None` if the head is incomplete.
  pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, Error> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Request::new(&mut lines);
    let length = match parsed.parse(bytes) {
      Ok(httparse::Status::Complete(length)) => length,
      Ok(httparse::Status::Partial) => return Ok(None),
      Err(error) => return Err(Error(format!("head: {error}"))),
    };
    if has_bare_line_ending(&bytes[..length]) {
      return Err(Error("head: a line does not end with CR LF".into()));
    }
    let request = Self {
      method: parsed.method.unwrap_or_default().into(),
      target: parsed.path.unwrap_or_default().into(),
      minor: parsed.version.unwrap_or(1),
      headers: convert_headers(parsed.headers),
    };
    Ok(Some((request, length)))
  }

  /// Determines the framing of the body; an ambiguous request is an error.
  pub fn framing(&self) -> Result<Framing, Error> {
    let lengths: Vec<&[u8]> = self.headers.get_all("content-length").collect();
    let codings: Vec<&[u8]> = self.headers.get_all("transfer-encoding").collect();
    match (lengths.as_slice(), codings.as_slice()) {
      ([], []) => Ok(Framing::Empty),
      ([length], []) => Ok(Framing::Length(parse_len(length)?)),
      ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") && self.minor == 1 => {
        Ok(Framing::Chunked)
      }
      ([], [coding, ..]) => Err(Error(format!(
        "transfer-encoding: `{}` is not understood",
        String::from_utf8_lossy(coding)
      ))),
      _ => Err(Error("head: the body's length is given twice".into())),
    }
  }

  /// Returns whether the connection stays open after the response.
  pub fn keep_alive(&self) -> bool {
    self.minor == 1 && !self.headers.has_token("connection", "close")
  }

  /// Returns the target without its query.
  pub fn path(&self) -> &str {
    self.target.split('?').next().unwrap_or_default()
  }

  /// Serializes the head, including the header that `framing` requires.
  pub fn encode(&self, framing: Framing) -> Vec<u8> {
    let start_line = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
    encode(start_line, &self.headers, framing, "")
  }
}

impl Response {
  /// Parses the response head at the start of `bytes` and returns it with its length in bytes;
  /// `None` if the head is incomplete.
  pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, Error> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut lines);
    let length = match parsed.parse(bytes) {
      Ok(httparse::Status::Complete(length)) => length,
      Ok(httparse::Status::Partial) if bytes.len() > MAX_RESPONSE_HEAD_BYTES => {
        return Err(Error(format!(
          "head: more than {MAX_RESPONSE_HEAD_BYTES} bytes"
        )));
      }
      Ok(httparse::Status::Partial) => return Ok(None),
      Err(error) => return Err(Error(format!("head: {error}"))),
    };
    if is_joined(&bytes[..length]) {
      return Err(Error("head: a status line is within it".into()));
    }
    let status = parsed.code.unwrap_or_default();
    if !STATUSES.contains(&status) {
      return Err(Error(format!("head: status `{status:03}` has no class")));
    }
    let response = Self {
      status,
      reason: parsed.reason.unwrap_or_default().into(),
      minor: parsed.version.unwrap_or(1),
      headers: convert_headers(parsed.headers),
    };
    Ok(Some((response, length)))
  }

  /// Determines the framing of the body, given the method of the request. An ambiguous response is an
  /// error, also if it has no body: what follows it is in doubt.
  pub fn framing(&self, method: &str) -> Result<Framing, Error> {
    let stated = self.stated_framing()?;
    Ok(match has_body(method, self.status) {
      true => stated,
      false => Framing::Empty,
    })
  }

  fn stated_framing(&self) -> Result<Framing, Error> {
    let mut lengths = self.headers.get_all("content-length");
    let mut codings = self.headers.get_all("transfer-encoding");
    let (length, coding) = (lengths.next(), codings.next());
    if lengths.next().is_some() || codings.next().is_some() {
      return Err(Error("head: the body's length is given twice".into()));
    }
    match (length, coding) {
      (None, None) => Ok(Framing::Close),
      (Some(length), None) => Ok(Framing::Length(parse_len(length)?)),
      (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
      (None, Some(coding)) => Err(Error(format!(
        "transfer-encoding: `{}` is not understood",
        String::from_utf8_lossy(coding)
      ))),
      (Some(_), Some(_)) => Err(Error("head: the body's length is given twice".into())),
    }
  }

  /// Returns whether the connection stays open after the response.
  pub fn keep_alive(&self) -> bool {
    self.minor == 1 && !self.headers.has_token("connection", "close")
  }

  /// Serializes the head, including the header that `framing` requires.
  pub fn encode(&self, framing: Framing, keep_alive: bool) -> Vec<u8> {
    let start_line = format!("HTTP/1.1 {} {}\r\n", self.status, self.reason);
    let connection = match keep_alive && framing != Framing::Close {
      true => "",
      false => "Connection: close\r\n",
    };
    encode(start_line, &self.headers, framing, connection)
  }

  /// Serializes a complete response to a request with this method. The response to a HEAD request
  /// states the length of its body and leaves it out.
  pub fn encode_complete(&self, method: &str, body: &[u8], keep_alive: bool) -> Vec<u8> {
    let mut bytes = self.encode(Framing::Length(body.len() as u64), keep_alive);
    if has_body(method, self.status) {
      bytes.extend_from_slice(body);
    }
    bytes
  }
}

/// Whether a response with this status to a request with this method may have a body.
pub fn has_body(method: &str, status: u16) -> bool {
  method != "HEAD" && status >= 200 && !matches!(status, 204 | 304)
}

fn parse_len(digits: &[u8]) -> Result<u64, Error> {
  let text = String::from_utf8_lossy(digits);
  let error = || Error(format!("content-length: `{text}` is not a number"));
  if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
    return Err(error());
  }
  text.parse().map_err(|_| error())
}

fn encode(
  mut start_line: String,
  headers: &Headers,
  framing: Framing,
  connection: &str,
) -> Vec<u8> {
  start_line += connection;
  match framing {
    Framing::Length(length) => {
      // Writing to a `String` cannot fail.
      let _ = write!(start_line, "Content-Length: {length}\r\n");
    }
    Framing::Chunked => start_line += "Transfer-Encoding: chunked\r\n",
    Framing::Empty | Framing::Close => {}
  }
  let mut bytes = start_line.into_bytes();
  for (name, value) in &headers.0 {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
  }
  bytes.extend_from_slice(b"\r\n");
  bytes
}

/// Encodes `data` as one chunk of a body.
pub fn encode_chunk(data: &[u8]) -> Vec<u8> {
  let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
  bytes.extend_from_slice(data);
  bytes.extend_from_slice(b"\r\n");
  bytes
}

/// The chunk that ends a body, without trailers.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// What the decoder of a chunked body expects next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
  Size,
  Data(u64),
  DataEnd,
  Trailer,
}

/// Decodes a body incrementally as its bytes arrive.
#[derive(Clone, Debug)]
pub struct Decoder {
  framing: Framing,
  remaining: u64,
  expected: Expected,
  /// Size of the trailers so far.
  trailer_bytes: usize,
  complete: bool,
}

impl Decoder {
  /// Creates a decoder for a body of which no byte has arrived.
  pub fn new(framing: Framing) -> Self {
    let remaining = match framing {
      Framing::Length(length) => length,
      _ => 0,
    };
    Self {
      framing,
      remaining,
      expected: Expected::Size,
      trailer_bytes: 0,
      complete: matches!(framing, Framing::Empty | Framing::Length(0)),
    }
  }

  /// Returns whether the body is complete.
  pub fn is_complete(&self) -> bool {
    self.complete
  }

  /// Handles the end of the connection; returns whether the body is complete.
  pub fn finish(&mut self) -> bool {
    self.complete |= self.framing == Framing::Close;
    self.complete
  }

  /// Consumes bytes of the body from `bytes` and appends its decoded content to `out`.
  pub fn decode(&mut self, bytes: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), Error> {
    let mut consumed = 0;
    while !self.complete && consumed < bytes.len() {
      let length = match self.framing {
        Framing::Empty => 0,
        Framing::Close => self.copy_data(&bytes[consumed..], u64::MAX, out),
        Framing::Length(_) => {
          let length = self.copy_data(&bytes[consumed..], self.remaining, out);
          self.remaining -= length as u64;
          self.complete = self.remaining == 0;
          length
        }
        Framing::Chunked => self.decode_chunked(&bytes[consumed..], out)?,
      };
      if length == 0 {
        break;
      }
      consumed += length;
    }
    bytes.drain(..consumed);
    Ok(())
  }

  fn copy_data(&self, bytes: &[u8], limit: u64, out: &mut Vec<u8>) -> usize {
    let length = (bytes.len() as u64).min(limit) as usize;
    out.extend_from_slice(&bytes[..length]);
    length
  }

  fn decode_chunked(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, Error> {
    match self.expected {
      Expected::Size => {
        let parsed = httparse::parse_chunk_size(bytes);
        // The parser takes a line without digits for a size of 0, which ends the body.
        let starts_with_digit = bytes.first().is_none_or(u8::is_ascii_hexdigit);
        let Some(parsed) = parsed.ok().filter(|_| starts_with_digit) else {
          return Err(Error("body: a chunk has no size".into()));
        };
        let httparse::Status::Complete((consumed, size)) = parsed else {
          return match bytes.len() > MAX_LINE_BYTES {
            true => Err(Error("body: a chunk's size line is too long".into())),
            false => Ok(0),
          };
        };
        check_line(&bytes[..consumed])?;
        self.expected = match size {
          0 => Expected::Trailer,
          size => Expected::Data(size),
        };
        Ok(consumed)
      }
      Expected::Data(remaining) => {
        let length = self.copy_data(bytes, remaining, out);
        self.expected = match remaining - length as u64 {
          0 => Expected::DataEnd,
          remaining => Expected::Data(remaining),
        };
        Ok(length)
      }
      Expected::DataEnd => match bytes {
        [b'\r', b'\n', ..] => {
          self.expected = Expected::Size;
          Ok(2)
        }
        [b'\r'] => Ok(0),
        _ => Err(Error("body: a chunk does not end where it should".into())),
      },
      Expected::Trailer => {
        let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else {
          return match bytes.len() > MAX_LINE_BYTES {
            true => Err(Error("body: a trailer line is too long".into())),
            false => Ok(0),
          };
        };
        check_trailer(&bytes[..end])?;
        self.trailer_bytes += end;
        if self.trailer_bytes > MAX_TRAILER_BYTES {
          return Err(Error(format!(
            "body: more than {MAX_TRAILER_BYTES} bytes of trailers"
          )));
        }
        self.complete = end == 0;
        Ok(end + 2)
      }
    }
  }
}
