//! Finding the response to a request among surplus ones on its connection.

use bendsaddle::{
  http::{Decoder, Framing, Headers, LAST_CHUNK, Response, encode_chunk},
  response::{Carried, Error, Reader},
};
use quickcheck::{TestResult, quickcheck};

const ID: &str = "X-Id";
const METHODS: [&str; 3] = ["GET", "HEAD", "POST"];

/// A response to the request with this number: its head, and its body if its method has one.
fn encode(number: usize, method: &str, status: u16, chunked: bool, body: &str) -> Vec<u8> {
  let mut head = Response {
    status,
    reason: "X".into(),
    minor: 1,
    headers: Headers::default(),
  };
  head.headers.set(ID, &number.to_string());
  if !chunked {
    return head.encode_complete(method, body.as_bytes(), true);
  }
  let mut bytes = head.encode(Framing::Chunked, true);
  if method != "HEAD" {
    bytes.extend(encode_chunk(body.as_bytes()));
    bytes.extend(LAST_CHUNK);
  }
  bytes
}

/// Reads a response from input that arrives in pieces of `step` bytes; returns its id and body.
fn read(
  reader: &mut Reader,
  carried: &Carried,
  bytes: &[u8],
  step: usize,
) -> Option<(String, Vec<u8>)> {
  let mut input = Vec::new();
  let mut found = None;
  let mut body = Vec::new();
  for piece in bytes.chunks(step) {
    input.extend_from_slice(piece);
    if found.is_none()
      && let Some((head, framing)) = reader.read(&mut input, carried, ID).unwrap()
    {
      found = Some((head, Decoder::new(framing)));
    }
    if let Some((_, decoder)) = &mut found {
      decoder.decode(&mut input, &mut body).unwrap();
    }
  }
  let (head, decoder) = found?;
  assert!(decoder.is_complete() && input.is_empty());
  Some((head.headers.get(ID)?.to_string(), body))
}

quickcheck! {
  /// Guards against a surplus response that is framed by another request's method, or taken for the
  /// response that is due, however its bytes arrive.
  fn the_response_that_is_due_is_found(copies: Vec<(u8, bool)>, last: u8, step: u8) -> TestResult {
    if copies.len() > 20 {
      return TestResult::discard();
    }
    let mut carried = Carried::default();
    let mut bytes = Vec::new();
    let method = |kind: u8| METHODS[usize::from(kind) % METHODS.len()];
    // Bodies that look like the response that is due.
    let due = copies.len();
    let alike = String::from_utf8(encode(due, "GET", 200, false, "foreign")).unwrap();
    for (number, (kind, chunked)) in copies.iter().enumerate() {
      carried.push(&number.to_string(), method(*kind));
      bytes.extend(encode(number, method(*kind), 503, *chunked, &alike));
      bytes.extend(b"HTTP/1.1 103 Early\r\n\r\n");
    }
    carried.push(&due.to_string(), method(last));
    let whole = format!("{alike}{alike}");
    bytes.extend(encode(due, method(last), 200, last.is_multiple_of(2), &whole));
    let expected = if method(last) == "HEAD" { "" } else { &whole };
    let mut reader = Reader::default();
    let found = read(&mut reader, &carried, &bytes, usize::from(step) + 1);
    assert_eq!(reader.skipped as usize, copies.len());
    TestResult::from_bool(found == Some((due.to_string(), expected.as_bytes().to_vec())))
  }
}

/// Heads of responses to a request with this id, as servers send them.
fn heads(id: &str) -> [Vec<u8>; 5] {
  let head = |start: &str, more: &str| {
    format!("HTTP/1.1 {start}\r\nServer: s\r\n{ID}: {id}\r\n{more}X-Last: 1\r\n\r\n").into_bytes()
  };
  [
    head("200 OK", "Content-Length: 0\r\n"),
    head("200 OK", "Transfer-Encoding: chunked\r\n"),
    head("200 OK", ""),
    head("204 No Content", ""),
    head("503 Service Unavailable", "Content-Length: 0\r\n"),
  ]
}

/// Guards against a head that ends early with its connection and is taken for a response, whatever is in
/// front of it.
#[test]
fn a_head_that_is_cut_is_no_response() {
  let interim = b"HTTP/1.1 103 Early Hints\r\nX-A: b\r\n\r\n".to_vec();
  let surplus = encode(0, "GET", 200, false, "body");
  for (head, method) in heads("1").iter().zip(METHODS.iter().cycle()) {
    for front in [Vec::new(), interim.clone(), surplus.clone()] {
      let bytes = [front, head.clone()].concat();
      for cut in 0..=bytes.len() {
        let mut carried = Carried::default();
        carried.push("0", "GET");
        carried.push("1", method);
        let read = Reader::default().read(&mut bytes[..cut].to_vec(), &carried, ID);
        let found = read.expect("not a prefix of a response").is_some();
        assert_eq!(found, cut == bytes.len(), "{method}, {cut} bytes");
      }
    }
  }
}

/// Guards against the status or headers of a surplus response whose head is cut in the response that is due,
/// which follows it.
#[test]
fn a_head_that_is_cut_adds_nothing_to_the_next_one() {
  let mut carried = Carried::default();
  carried.push("0", "GET");
  carried.push("1", "GET");
  for surplus in heads("0") {
    for due in heads("1") {
      let (expected, _) = Response::parse(&due).unwrap().unwrap();
      for cut in 0..surplus.len() {
        let mut bytes = [&surplus[..cut], &due].concat();
        let read = Reader::default().read(&mut bytes, &carried, ID);
        if let Ok(Some((head, _))) = read {
          let surplus = String::from_utf8_lossy(&surplus[..cut]);
          assert_eq!(head, expected, "after `{surplus}`");
        }
      }
    }
  }
}

/// Guards against a response that is rejected because a header quotes a protocol.
#[test]
fn a_header_may_name_a_protocol() {
  let head = b"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\nUpgrade: HTTP/2.0\r\n\r\n";
  assert!(matches!(Response::parse(head), Ok(Some(_))));
}

/// Guards against a response without an id that is taken for the one that is due, though it may belong to
/// an earlier request of the connection.
#[test]
fn a_response_without_an_id_counts_on_the_first_request_only() {
  let bytes = b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n".to_vec();
  for id in ["one", ""] {
    let mut carried = Carried::default();
    carried.push(id, "GET");
    let read = Reader::default().read(&mut bytes.clone(), &carried, ID);
    assert!(read.is_ok_and(|response| response.is_some()));
    carried.push("two", "GET");
    let read = Reader::default().read(&mut bytes.clone(), &carried, ID);
    assert_eq!(read.err(), Some(Error::Unidentified));
  }
}

/// Guards against surplus responses that are read without end, or that end only with their connection.
#[test]
fn surplus_responses_without_an_end_are_errors() {
  let mut carried = Carried::default();
  carried.push("one", "GET");
  carried.push("two", "GET");
  let mut unframed = b"HTTP/1.1 200 OK\r\nX-Id: one\r\n\r\nbody".to_vec();
  let read = Reader::default().read(&mut unframed, &carried, ID);
  assert_eq!(read.err(), Some(Error::Unframed));
  let copy = encode(0, "GET", 200, false, &"x".repeat(64 << 10));
  let mut carried = Carried::default();
  carried.push("0", "GET");
  carried.push("1", "GET");
  let (mut reader, mut count) = (Reader::default(), 0);
  let error = loop {
    count += 1;
    assert!(count < 1_000);
    if let Err(error) = reader.read(&mut copy.clone(), &carried, ID) {
      break error;
    }
  };
  assert_eq!(error, Error::Malformed);
}

/// Guards against a response to a request of another connection that is framed by the method of the
/// request that waits: it took bytes of the response that is due, or left its own body in front of it.
#[test]
fn a_stranger_takes_no_bytes_of_the_response_that_is_due() {
  let body = "body of the stranger";
  for (method, chunked, step) in METHODS
    .iter()
    .flat_map(|method| [(method, false), (method, true)])
    .flat_map(|(method, chunked)| [1, 7, 10_000].map(|step| (*method, chunked, step)))
  {
    let mut carried = Carried::default();
    carried.push("0", "GET");
    carried.push("1", method);
    let due = encode(1, method, 200, chunked, "due");
    let mut bytes = encode(7, "GET", 503, chunked, body);
    bytes.extend(&due);
    let expected = if method == "HEAD" { "" } else { "due" };
    let found = read(&mut Reader::default(), &carried, &bytes, step);
    assert_eq!(found, Some(("1".into(), expected.into())), "{method}");
    // Without its body, it may be one to HEAD, or one whose body looks like a response.
    let mut bytes = encode(7, "HEAD", 503, chunked, body);
    bytes.extend(&due);
    let read = Reader::default().read(&mut bytes, &carried, ID);
    assert_eq!(read.err(), Some(Error::Stranger), "{method}");
    // Without a stated body, it ends with its head.
    let mut bytes = encode(7, "GET", 204, false, "");
    bytes.extend(&due);
    let found = read_due(&carried, bytes);
    assert_eq!(found.as_deref(), Some("1"), "{method}");
  }
}

/// Reads a response whose bytes have all arrived; returns its id.
fn read_due(carried: &Carried, mut bytes: Vec<u8>) -> Option<String> {
  let response = Reader::default().read(&mut bytes, carried, ID).unwrap();
  let (head, _) = response?;
  Some(head.headers.get(ID)?.to_string())
}

/// What followed a switch to another protocol was taken for the response.
#[test]
fn nothing_behind_a_switch_of_protocols_is_a_response() {
  let mut carried = Carried::default();
  carried.push("b", "GET");
  let whole = b"HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 0\r\n\r\n";
  for (status, expected) in [
    ("100 Continue", None),
    ("101 Switching Protocols", Some(Error::Malformed)),
  ] {
    let front = format!("HTTP/1.1 {status}\r\nUpgrade: x\r\n\r\n");
    let mut bytes = [front.as_bytes(), whole].concat();
    let read = Reader::default().read(&mut bytes, &carried, ID);
    assert_eq!(read.err(), expected, "{status}");
  }
}
