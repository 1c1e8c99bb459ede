//! Readers of heads, bodies, events and settings, run on mutations of valid ones. `BENDSADDLE_FUZZ_INPUTS` is the
//! number of inputs of each property.

use bendsaddle::{
  http::{Decoder, Framing, Request, Response, STATUSES},
  response::{Carried, Reader},
  settings::Settings,
  sse::Parser,
};
use quickcheck::{Gen, QuickCheck};
use stand_ins::mutation::{inputs, mutate, rng, split};

const ID: &str = "X-Id";

fn check(seed: u64, property: fn(u64)) {
  QuickCheck::new()
    .rng(Gen::from_size_and_seed(100, seed))
    .tests(inputs())
    .max_tests(inputs())
    .min_tests_passed(inputs())
    .quickcheck(property);
}

const RESPONSES: [&str; 7] = [
  "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 5\r\n\r\nwhole",
  "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\n\r\nwhole",
  "HTTP/1.1 103 Early Hints\r\nX-Link: a\r\n\r\nHTTP/1.1 204 No Content\r\nX-Id: a\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 500 Failed\r\nX-Id: a\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.0 304 Not Modified\r\nX-Id: a\r\nContent-Length: 5\r\n\r\n",
  "HTTP/1.1 503 Full\r\nX-Id: a\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
];

const REQUESTS: [&str; 4] = [
  "GET /a?b=c+d%20e HTTP/1.1\r\nHost: h\r\n\r\n",
  "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nwhole",
  "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
  "HEAD /a HTTP/1.0\r\nX-Name: ä\r\nConnection: keep-alive\r\n\r\n",
];

const BODIES: [&str; 4] = [
  "5\r\nwhole\r\n0\r\n\r\n",
  "1;a=b\r\nx\r\n00a\r\n0123456789\r\n0\r\nX-Trailer: a\r\n\r\n",
  "5\r\nwhole\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
  "ffffffffffffffff\r\nx",
];

const EVENTS: [&str; 4] = [
  "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
  "id: 1\r\ndata: a\r\n\r\nid: 2\r\ndata: b\r\n\r\n",
  ": comment\n\nevent: e\ndata: a\ndata: b\nid: 7\n\nid:\ndata\n\n",
  "id: ä\ndata: a\n\ndata: HTTP/1.1 200 OK\n\n",
];

const SETTINGS: [&str; 2] = [
  r#"{ "instance": "entry-0", "zone": "a", "callers": "127.0.0.1:1", "health": "127.0.0.1:2",
  "peers": "127.0.0.1:3", "operators": "127.0.0.1:4", "platform": "127.0.0.1:5", // a comment
  "routing": { "machine": "entry-0", "leaseMs": 600, "firstStart": true } }"#,
  r#"{ "instance": "entry-0", "zone": "a", "callers": "[::1]:1", "peers": "127.0.0.1:3",
  "operators": "127.0.0.1:4", "platform": "127.0.0.1:5", "seeds": ["127.0.0.1:6"],
  "limits": { "requests": 5, "queue": 5, "deadlineMs": 18446744073709551615, "thrift": 100 } }"#,
];

/// What may be put into a message.
const PARTS: [&[u8]; 26] = [
  b"\r\n",
  b"\n",
  b"\r",
  b"\r\n\r\n",
  b" ",
  b"\t",
  b"\0",
  b":",
  b"\x7f",
  b"\xff",
  b"HTTP/1.1 200 OK\r\n",
  b"Content-Length: 5\r\n",
  b"Content-Length: 18446744073709551616\r\n",
  b"Content-Length: +5\r\n",
  b"Transfer-Encoding: chunked\r\n",
  b"Transfer-Encoding: gzip\r\n",
  b"X-Id: a\r\n",
  b"X-Id: b\r\n",
  b" folded\r\n",
  b"0\r\n\r\n",
  b"fffffffffffffffff\r\n",
  b"id: 1\n",
  b"\n\n",
  b"data: x\n\n",
  b"Connection: close\r\n",
  b"HTTP/1.1 000 None\r\n\r\n",
];

const JSON_PARTS: [&[u8]; 16] = [
  b"null",
  b"-1",
  b"0",
  b"1e999",
  b"\"\"",
  b"\"x\"",
  b"{}",
  b"[]",
  b",",
  b"\"",
  b"/*",
  b"//",
  b"\\u0000",
  b"\\ud800",
  b"18446744073709551616",
  b"[[[[[[[[",
];

fn is_token(name: &str) -> bool {
  let is_legal = |byte: u8| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
  !name.is_empty() && name.bytes().all(is_legal)
}

fn is_value(value: &[u8]) -> bool {
  let is_legal = |byte: &u8| *byte == b'\t' || *byte >= b' ' && *byte != 0x7f;
  value.iter().all(is_legal)
}

/// A head that is passed on reads the same once more, and holds no line of another message.
#[test]
fn an_accepted_response_head_can_be_passed_on() {
  fn property(seed: u64) {
    let mut rng = rng(seed);
    let bytes = mutate(&mut rng, &RESPONSES, &PARTS);
    let Ok(Some((mut head, length))) = Response::parse(&bytes) else {
      return;
    };
    assert!(length <= bytes.len());
    assert!(STATUSES.contains(&head.status), "{}", head.status);
    for (name, value) in &head.headers.0 {
      assert!(is_token(name) && is_value(value), "{name}: {value:?}");
    }
    for cut in 0..length {
      let parsed = Response::parse(&bytes[..cut]);
      assert!(!matches!(parsed, Ok(Some(_))), "cut at {cut}");
    }
    head.headers.remove_hop_by_hop();
    let encoded = head.encode(Framing::Chunked, true);
    let (again, length) = Response::parse(&encoded).unwrap().expect("a head");
    assert_eq!((again.status, length), (head.status, encoded.len()));
    assert!(again.framing("GET").is_ok());
    let mut headers = again.headers;
    headers.remove_hop_by_hop();
    assert_eq!(headers, head.headers);
  }
  check(101, property);
}

/// The same for requests, whose bodies are framed in one way only.
#[test]
fn an_accepted_request_head_can_be_passed_on() {
  fn property(seed: u64) {
    let mut rng = rng(seed);
    let bytes = mutate(&mut rng, &REQUESTS, &PARTS);
    let Ok(Some((mut head, _))) = Request::parse(&bytes) else {
      return;
    };
    let Ok(framing) = head.framing() else {
      return;
    };
    assert_ne!(framing, Framing::Close);
    for (name, value) in &head.headers.0 {
      assert!(is_token(name) && is_value(value), "{name}: {value:?}");
    }
    head.headers.remove_hop_by_hop();
    let encoded = head.encode(Framing::Length(5));
    let (again, length) = Request::parse(&encoded).unwrap().expect("a head");
    assert_eq!(length, encoded.len());
    assert_eq!((&again.method, &again.target), (&head.method, &head.target));
    assert_eq!(again.framing(), Ok(Framing::Length(5)));
  }
  check(102, property);
}

/// What a decoder gives: the content, what it left, and whether the body is complete; `None` if it is invalid.
type Decoded = Option<(Vec<u8>, Vec<u8>, bool)>;

fn decode(framing: Framing, pieces: &[Vec<u8>]) -> Decoded {
  let (mut decoder, mut input, mut out) = (Decoder::new(framing), Vec::new(), Vec::new());
  for piece in pieces {
    input.extend_from_slice(piece);
    decoder.decode(&mut input, &mut out).ok()?;
  }
  Some((out, input, decoder.is_complete()))
}

/// Guards against a body that depends on how its bytes arrive.
#[test]
fn a_body_is_the_same_however_it_arrives() {
  fn property(seed: u64) {
    let mut rng = rng(seed);
    let bytes = mutate(&mut rng, &BODIES, &PARTS);
    let pieces = split(&mut rng, &bytes);
    for framing in [Framing::Chunked, Framing::Length(7), Framing::Close] {
      let whole = decode(framing, std::slice::from_ref(&bytes));
      assert_eq!(decode(framing, &pieces), whole, "{framing:?}");
    }
  }
  check(103, property);
}

/// What a reader gives: the status, headers and framing of the response, and what follows its head. An error
/// may come earlier or later.
fn read(pieces: &[Vec<u8>]) -> Result<Option<(Response, Framing, Vec<u8>)>, ()> {
  let mut carried = Carried::default();
  carried.push("b", "GET");
  carried.push("a", "GET");
  let (mut reader, mut input) = (Reader::default(), Vec::new());
  for (number, piece) in pieces.iter().enumerate() {
    input.extend_from_slice(piece);
    let found = reader.read(&mut input, &carried, ID).map_err(drop)?;
    if let Some((head, framing)) = found {
      input.extend(pieces[number + 1..].concat());
      return Ok(Some((head, framing, input)));
    }
  }
  Ok(None)
}

/// Guards against a response that depends on how its bytes arrive, or belongs to another request.
#[test]
fn a_response_is_the_same_however_it_arrives() {
  fn property(seed: u64) {
    let mut rng = rng(seed);
    let bytes = mutate(&mut rng, &RESPONSES, &PARTS);
    let pieces = split(&mut rng, &bytes);
    let whole = read(std::slice::from_ref(&bytes));
    assert_eq!(read(&pieces), whole);
    if let Ok(Some((head, ..))) = whole {
      assert!(head.status >= 200);
      assert_eq!(head.headers.get(ID), Some("a"));
    }
  }
  check(104, property);
}

/// Guards against events that depend on how their bytes arrive, or that are lost or doubled.
#[test]
fn events_are_the_same_however_they_arrive() {
  fn property(seed: u64) {
    let mut rng = rng(seed);
    let bytes = mutate(&mut rng, &EVENTS, &PARTS);
    let (mut parser, mut complete) = (Parser::default(), Vec::new());
    let mut mixed = false;
    for piece in split(&mut rng, &bytes) {
      match parser.push(&piece, ID) {
        Ok(events) => complete.extend(events),
        Err(_) => {
          mixed = true;
          break;
        }
      }
    }
    assert!(bytes.starts_with(&complete));
    let mut whole = Parser::default();
    let events = whole.push(&bytes, ID);
    assert_eq!(events.is_err(), mixed);
    if let Ok(events) = events {
      assert_eq!(events, complete);
      assert_eq!(whole.partial(), parser.partial());
      assert_eq!(whole.last_id, parser.last_id);
      assert_eq!([events, whole.partial().to_vec()].concat(), bytes);
    }
  }
  check(105, property);
}

/// An error of settings is one line for the log.
#[test]
fn settings_are_taken_or_rejected_in_one_line() {
  fn property(seed: u64) {
    let mut rng = rng(seed);
    let bytes = mutate(&mut rng, &SETTINGS, &JSON_PARTS);
    let text = String::from_utf8_lossy(&bytes);
    if let Err(error) = Settings::parse(&text) {
      assert!(!error.is_empty() && !error.contains('\n'), "{error:?}");
    }
  }
  check(106, property);
}

/// A blank line behind the last event, which arrived by itself, made its stream look cut.
#[test]
fn a_blank_line_behind_an_event_is_no_part_of_another_one() {
  for blank in ["\n", "\r\n", "\n\n", "\n\r\n"] {
    let mut parser = Parser::default();
    parser.push(b"id: 1\ndata: a\n\n", ID).unwrap();
    let events = parser.push(blank.as_bytes(), ID).unwrap();
    assert_eq!(events, blank.as_bytes());
    assert_eq!((parser.partial(), parser.count), (&b""[..], 1), "{blank:?}");
  }
}

/// Guards against a stream of blank lines that counts as one with an event.
#[test]
fn blank_lines_are_no_event() {
  let mut parser = Parser::default();
  parser.push(b"\n\n\r\n", ID).unwrap();
  assert_eq!((parser.partial(), parser.count), (&b""[..], 0));
}
