//! HTTP/1.1 messages: heads by `httparse`, bodies by their framing.
//!
//! Parsing is strict: a message that two readers could split differently is a
//! fault, so that no request hides inside another one.

use std::fmt::Write;

/// Header lines of one message, at most.
const HEADER_LINES: usize = 100;
/// Bytes of a chunk's size line, at most.
const CHUNK_LINE: usize = 256;

/// Why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error(pub String);

/// The header lines of a message, in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<(String, Vec<u8>)>);

impl Headers {
  /// The first value of a header, where it is text.
  pub fn get(&self, name: &str) -> Option<&str> {
    let found = self.get_all(name).next()?;
    std::str::from_utf8(found).ok().map(str::trim)
  }

  /// All values of a header.
  pub fn get_all<'a, 'b>(&'a self, name: &'b str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'b> {
    self
      .0
      .iter()
      .filter(move |(field, _)| field.eq_ignore_ascii_case(name))
      .map(|(_, value)| value.as_slice())
  }

  /// Whether a comma-separated header names `token`.
  pub fn has_token(&self, header: &str, token: &str) -> bool {
    self.get_all(header).any(|value| {
      let value = String::from_utf8_lossy(value);
      value
        .split(',')
        .any(|item| item.trim().eq_ignore_ascii_case(token))
    })
  }

  /// Removes a header.
  pub fn remove(&mut self, name: &str) {
    self
      .0
      .retain(|(field, _)| !field.eq_ignore_ascii_case(name));
  }

  /// Replaces a header.
  pub fn set(&mut self, name: &str, value: &str) {
    self.remove(name);
    self.0.push((name.into(), value.as_bytes().to_vec()));
  }

  /// Removes what concerns one connection only, framing included.
  pub fn remove_hop_by_hop(&mut self) {
    let named: Vec<String> = self
      .get_all("connection")
      .flat_map(|value| {
        let value = String::from_utf8_lossy(value).into_owned();
        value
          .split(',')
          .map(|item| item.trim().to_string())
          .collect::<Vec<_>>()
      })
      .collect();
    for name in named.iter().map(String::as_str).chain(HOP) {
      self.remove(name);
    }
  }
}

/// Headers that concern one connection only.
const HOP: [&str; 10] = [
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

/// How a body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
  /// There is none.
  Empty,
  /// After so many bytes.
  Length(u64),
  Chunked,
  /// With the connection.
  Close,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
  pub method: String,
  /// Path and query.
  pub target: String,
  /// HTTP/1.0 or 1.1.
  pub minor: u8,
  pub headers: Headers,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
  pub status: u16,
  pub reason: String,
  pub minor: u8,
  pub headers: Headers,
}

fn headers(parsed: &[httparse::Header]) -> Headers {
  let lines = parsed.iter();
  Headers(
    lines
      .map(|line| (line.name.to_string(), line.value.to_vec()))
      .collect(),
  )
}

fn bare_line_end(head: &[u8]) -> bool {
  let feeds = head.iter().filter(|byte| **byte == b'\n').count();
  let pairs = head.windows(2).filter(|pair| pair == b"\r\n").count();
  let returns = head.iter().filter(|byte| **byte == b'\r').count();
  feeds != pairs || returns != pairs
}

impl Request {
  /// The request at the start of `bytes` and its head's length; none while the
  /// head is incomplete.
  pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, Error> {
    let mut lines = [httparse::EMPTY_HEADER; HEADER_LINES];
    let mut parsed = httparse::Request::new(&mut lines);
    let length = match parsed.parse(bytes) {
      Ok(httparse::Status::Complete(length)) => length,
      Ok(httparse::Status::Partial) => return Ok(None),
      Err(error) => return Err(Error(format!("head: {error}"))),
    };
    if bare_line_end(&bytes[..length]) {
      return Err(Error("head: a line does not end with CR LF".into()));
    }
    let request = Self {
      method: parsed.method.unwrap_or_default().into(),
      target: parsed.path.unwrap_or_default().into(),
      minor: parsed.version.unwrap_or(1),
      headers: headers(parsed.headers),
    };
    Ok(Some((request, length)))
  }

  /// How the body ends; an ambiguous request is a fault.
  pub fn framing(&self) -> Result<Framing, Error> {
    let lengths: Vec<&[u8]> = self.headers.get_all("content-length").collect();
    let codings: Vec<&[u8]> = self.headers.get_all("transfer-encoding").collect();
    match (lengths.as_slice(), codings.as_slice()) {
      ([], []) => Ok(Framing::Empty),
      ([length], []) => Ok(Framing::Length(number(length)?)),
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

  /// Whether the connection stays open after the answer.
  pub fn keep_alive(&self) -> bool {
    self.minor == 1 && !self.headers.has_token("connection", "close")
  }

  /// The path without its query.
  pub fn path(&self) -> &str {
    self.target.split('?').next().unwrap_or_default()
  }

  /// The head's bytes.
  pub fn encode(&self, framing: Framing) -> Vec<u8> {
    let start = format!("{} {} HTTP/1.1\r\n", self.method, self.target);
    encode(start, &self.headers, framing, "")
  }
}

impl Response {
  /// The answer at the start of `bytes` and its head's length; none while the
  /// head is incomplete.
  pub fn parse(bytes: &[u8]) -> Result<Option<(Self, usize)>, Error> {
    let mut lines = [httparse::EMPTY_HEADER; HEADER_LINES];
    let mut parsed = httparse::Response::new(&mut lines);
    let length = match parsed.parse(bytes) {
      Ok(httparse::Status::Complete(length)) => length,
      Ok(httparse::Status::Partial) => return Ok(None),
      Err(error) => return Err(Error(format!("head: {error}"))),
    };
    let response = Self {
      status: parsed.code.unwrap_or_default(),
      reason: parsed.reason.unwrap_or_default().into(),
      minor: parsed.version.unwrap_or(1),
      headers: headers(parsed.headers),
    };
    Ok(Some((response, length)))
  }

  /// How the body ends.
  pub fn framing(&self, method: &str) -> Result<Framing, Error> {
    if method == "HEAD" || self.status < 200 || matches!(self.status, 204 | 304) {
      return Ok(Framing::Empty);
    }
    let mut lengths = self.headers.get_all("content-length");
    match (self.headers.get("transfer-encoding"), lengths.next()) {
      (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
      (Some(coding), _) => Err(Error(format!(
        "transfer-encoding: `{coding}` is not understood"
      ))),
      (None, Some(length)) if lengths.next().is_none() => Ok(Framing::Length(number(length)?)),
      (None, Some(_)) => Err(Error("head: the body's length is given twice".into())),
      (None, None) => Ok(Framing::Close),
    }
  }

  /// Whether the connection stays open after the answer.
  pub fn keep_alive(&self) -> bool {
    self.minor == 1 && !self.headers.has_token("connection", "close")
  }

  /// The head's bytes.
  pub fn encode(&self, framing: Framing, keep: bool) -> Vec<u8> {
    let start = format!("HTTP/1.1 {} {}\r\n", self.status, self.reason);
    let connection = match keep && framing != Framing::Close {
      true => "",
      false => "Connection: close\r\n",
    };
    encode(start, &self.headers, framing, connection)
  }
}

fn number(digits: &[u8]) -> Result<u64, Error> {
  let text = String::from_utf8_lossy(digits);
  let fault = || Error(format!("content-length: `{text}` is not a number"));
  if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
    return Err(fault());
  }
  text.parse().map_err(|_| fault())
}

fn encode(mut start: String, headers: &Headers, framing: Framing, connection: &str) -> Vec<u8> {
  start += connection;
  match framing {
    Framing::Length(length) => {
      // Writing to a string does not fail.
      let _ = write!(start, "Content-Length: {length}\r\n");
    }
    Framing::Chunked => start += "Transfer-Encoding: chunked\r\n",
    Framing::Empty | Framing::Close => {}
  }
  let mut bytes = start.into_bytes();
  for (name, value) in &headers.0 {
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(b": ");
    bytes.extend_from_slice(value);
    bytes.extend_from_slice(b"\r\n");
  }
  bytes.extend_from_slice(b"\r\n");
  bytes
}

/// A piece of a body as one chunk.
pub fn encode_chunk(piece: &[u8]) -> Vec<u8> {
  let mut bytes = format!("{:x}\r\n", piece.len()).into_bytes();
  bytes.extend_from_slice(piece);
  bytes.extend_from_slice(b"\r\n");
  bytes
}

/// The chunk that ends a body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Where a chunked body's decoder stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
  Size,
  Data(u64),
  DataEnd,
  Trailer,
}

/// Takes a body apart as its bytes arrive.
#[derive(Clone, Debug)]
pub struct Decoder {
  framing: Framing,
  left: u64,
  part: Part,
  done: bool,
}

impl Decoder {
  /// A body of which nothing has arrived.
  pub fn new(framing: Framing) -> Self {
    let left = match framing {
      Framing::Length(length) => length,
      _ => 0,
    };
    Self {
      framing,
      left,
      part: Part::Size,
      done: matches!(framing, Framing::Empty | Framing::Length(0)),
    }
  }

  /// Whether the body is whole.
  pub fn is_complete(&self) -> bool {
    self.done
  }

  /// The connection has ended; whether that makes the body whole.
  pub fn finish(&mut self) -> bool {
    self.done |= self.framing == Framing::Close;
    self.done
  }

  /// Moves what belongs to the body from `bytes` to `out`.
  pub fn decode(&mut self, bytes: &mut Vec<u8>, out: &mut Vec<u8>) -> Result<(), Error> {
    let mut used = 0;
    while !self.done && used < bytes.len() {
      let step = match self.framing {
        Framing::Empty => 0,
        Framing::Close => self.data(&bytes[used..], u64::MAX, out),
        Framing::Length(_) => {
          let step = self.data(&bytes[used..], self.left, out);
          self.left -= step as u64;
          self.done = self.left == 0;
          step
        }
        Framing::Chunked => self.chunked(&bytes[used..], out)?,
      };
      if step == 0 {
        break;
      }
      used += step;
    }
    bytes.drain(..used);
    Ok(())
  }

  fn data(&self, bytes: &[u8], most: u64, out: &mut Vec<u8>) -> usize {
    let length = (bytes.len() as u64).min(most) as usize;
    out.extend_from_slice(&bytes[..length]);
    length
  }

  fn chunked(&mut self, bytes: &[u8], out: &mut Vec<u8>) -> Result<usize, Error> {
    match self.part {
      Part::Size => {
        let parsed = httparse::parse_chunk_size(bytes);
        let Ok(parsed) = parsed else {
          return Err(Error("body: a chunk has no size".into()));
        };
        let httparse::Status::Complete((used, size)) = parsed else {
          return match bytes.len() > CHUNK_LINE {
            true => Err(Error("body: a chunk's size line is too long".into())),
            false => Ok(0),
          };
        };
        self.part = match size {
          0 => Part::Trailer,
          size => Part::Data(size),
        };
        Ok(used)
      }
      Part::Data(left) => {
        let step = self.data(bytes, left, out);
        self.part = match left - step as u64 {
          0 => Part::DataEnd,
          left => Part::Data(left),
        };
        Ok(step)
      }
      Part::DataEnd => match bytes {
        [b'\r', b'\n', ..] => {
          self.part = Part::Size;
          Ok(2)
        }
        [b'\r'] => Ok(0),
        _ => Err(Error("body: a chunk does not end where it should".into())),
      },
      Part::Trailer => {
        let Some(end) = bytes.windows(2).position(|pair| pair == b"\r\n") else {
          return match bytes.len() > CHUNK_LINE {
            true => Err(Error("body: a trailer line is too long".into())),
            false => Ok(0),
          };
        };
        self.done = end == 0;
        Ok(end + 2)
      }
    }
  }
}
