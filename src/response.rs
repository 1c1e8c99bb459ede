//! Finds the response to a request among those that arrive on its connection.
//!
//! A server may send a surplus response to an earlier request, in the place of the next one due. The
//! id that a response echoes shows which request it belongs to, and the method of that request how
//! it is framed.

use crate::http::{Decoder, Framing, Response};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum bytes in front of a response: interim responses and surplus ones.
const MAX_SKIPPED_BYTES: usize = 4 << 20;

/// Maximum number of requests on a connection, whose ids are remembered.
const MAX_CARRIED: usize = 64;

/// Status of a response behind which another protocol is spoken.
const SWITCHING_PROTOCOLS: u16 = 101;

/// First bytes of each response.
const START: &[u8] = b"HTTP/1.";

/// Why the response cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
  /// The bytes are not a response, or too many are in front of it.
  Malformed,
  /// The response echoes no id, on a connection that has carried other requests.
  Unidentified,
  /// A surplus response ends only with the connection.
  Unframed,
  /// Where a response to a request of another connection ends depends on the method of that request.
  Stranger,
}

impl Error {
  /// Describes it for the log.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Malformed => "not an answer",
      Self::Unidentified => "answer without an id",
      Self::Unframed => "answer to another request without a length",
      Self::Stranger => "answer to a request of another connection",
    }
  }
}

/// Returns the hash by which a request is told apart from others on its connection.
pub fn hash(id: &str) -> u64 {
  xxh3_64(id.as_bytes())
}

/// A request that a connection has carried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Sent {
  /// Hash of its id.
  id: u64,
  /// Whether it is a HEAD request, whose response has no body.
  is_head: bool,
}

impl Sent {
  fn framing(self, head: &Response) -> Result<Framing, Error> {
    let method = if self.is_head { "HEAD" } else { "GET" };
    head.framing(method).map_err(|_| Error::Malformed)
  }
}

/// The requests that a connection has carried, oldest first. Each id occurs at most once.
#[derive(Clone, Debug, Default)]
pub struct Carried(Vec<Sent>);

impl Carried {
  /// Adds a request that is about to be sent.
  pub fn push(&mut self, id: &str, method: &str) {
    self.0.push(Sent {
      id: hash(id),
      is_head: method == "HEAD",
    });
  }

  /// Adds the requests that the connection carried before these.
  pub fn prepend(&mut self, earlier: Self) {
    let later = std::mem::replace(self, earlier);
    self.0.extend(later.0);
  }

  /// Whether it has carried a request with this hash of its id.
  pub fn contains(&self, id: u64) -> bool {
    self.0.iter().any(|sent| sent.id == id)
  }

  /// Whether its connection is to carry no further request.
  pub fn is_full(&self) -> bool {
    self.0.len() >= MAX_CARRIED
  }
}

/// Reads the response to the last request that a connection has carried.
#[derive(Debug, Default)]
pub struct Reader {
  /// Body of the surplus response that is being skipped.
  surplus: Option<Decoder>,
  skipped_bytes: usize,
  /// Number of surplus responses.
  pub skipped: u32,
}

impl Reader {
  /// Returns the head of the response and the framing of its body, and removes everything up to
  /// that body from `input`; `None` if more input is needed. `id_header` is the header in which
  /// responses echo the ids of their requests.
  pub fn read(
    &mut self,
    input: &mut Vec<u8>,
    carried: &Carried,
    id_header: &str,
  ) -> Result<Option<(Response, Framing)>, Error> {
    loop {
      if !self.skip_body(input)? {
        return Ok(None);
      }
      if self.skipped_bytes > MAX_SKIPPED_BYTES {
        return Err(Error::Malformed);
      }
      let parsed = Response::parse(input).map_err(|_| Error::Malformed)?;
      let Some((head, length)) = parsed else {
        return Ok(None);
      };
      // No request asks for another protocol.
      if head.status == SWITCHING_PROTOCOLS {
        return Err(Error::Malformed);
      }
      if head.status < 200 {
        input.drain(..length);
        self.skipped_bytes += length;
        continue;
      }
      let owner = identify(&head, carried, id_header)?;
      let framing = match owner {
        Some(sent) => sent.framing(&head)?,
        None => match stranger_framing(&head, &input[length..])? {
          Some(framing) => framing,
          None => return Ok(None),
        },
      };
      input.drain(..length);
      if owner.is_some() && owner == carried.0.last().copied() {
        return Ok(Some((head, framing)));
      }
      if framing == Framing::Close {
        return Err(Error::Unframed);
      }
      self.skipped_bytes += length;
      self.skipped += 1;
      self.surplus = Some(Decoder::new(framing));
    }
  }

  /// Removes what has arrived of the body of a surplus response; returns whether none remains.
  fn skip_body(&mut self, input: &mut Vec<u8>) -> Result<bool, Error> {
    let Some(body) = &mut self.surplus else {
      return Ok(true);
    };
    let mut bytes = Vec::new();
    let decoded = body.decode(input, &mut bytes);
    self.skipped_bytes += bytes.len();
    if decoded.is_err() || self.skipped_bytes > MAX_SKIPPED_BYTES {
      return Err(Error::Malformed);
    }
    if !body.is_complete() {
      return Ok(false);
    }
    self.surplus = None;
    Ok(true)
  }
}

/// Returns the request that a response belongs to; `None` if the connection has not carried it.
fn identify(head: &Response, carried: &Carried, id_header: &str) -> Result<Option<Sent>, Error> {
  let last = *carried.0.last().ok_or(Error::Unidentified)?;
  let Some(echoed) = head.headers.get(id_header).map(hash) else {
    // It may be a further response to an earlier request.
    return match carried.0.len() {
      1 => Ok(Some(last)),
      _ => Err(Error::Unidentified),
    };
  };
  let sent = carried.0.iter().rev().find(|sent| sent.id == echoed);
  Ok(sent.copied())
}

/// Returns the framing of a response to a request of another connection, whose method is not known;
/// `None` if more input is needed. `rest` is what follows its head.
fn stranger_framing(head: &Response, rest: &[u8]) -> Result<Option<Framing>, Error> {
  let framing = head.framing("GET").map_err(|_| Error::Malformed)?;
  if matches!(framing, Framing::Empty | Framing::Close) {
    return Ok(Some(framing));
  }
  // A response to HEAD is followed by another response, which may also be the start of a body.
  if rest.starts_with(START) {
    return Err(Error::Stranger);
  }
  Ok((!START.starts_with(rest)).then_some(framing))
}
