//! Messages are parsed strictly, and independently of how their bytes are split on arrival.

use bendsaddle::{
  http::{Decoder, Framing, Headers, LAST_CHUNK, Request, Response, encode_chunk, has_body},
  sse::Parser,
};
use quickcheck::quickcheck;

fn framing(head: &str) -> Result<Framing, String> {
  let parsed = Request::parse(head.as_bytes()).map_err(|error| error.0)?;
  let (request, _) = parsed.expect("the head is complete");
  request.framing().map_err(|error| error.0)
}

#[test]
fn a_request_whose_length_is_in_doubt_is_a_fault() {
  let heads = [
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: +3\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\n",
    "POST / HTTP/1.1\r\nContent-Length: \r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST / HTTP/1.1\nContent-Length: 3\n\n",
    "POST / HTTP/1.1\r\nContent-Length : 3\r\n\r\n",
    "POST / HTTP/1.1\r\nA: b\r\n Content-Length: 3\r\n\r\n",
  ];
  for head in heads {
    assert!(framing(head).is_err(), "{head:?}");
  }
  assert_eq!(framing("GET / HTTP/1.1\r\n\r\n"), Ok(Framing::Empty));
  assert_eq!(
    framing("POST / HTTP/1.1\r\ncontent-length: 3\r\n\r\n"),
    Ok(Framing::Length(3))
  );
}

/// A response that states two codings, or one that is no text, was framed by the first that was
/// understood; for HEAD, 204 and 304 nothing was checked.
#[test]
fn a_response_whose_length_is_in_doubt_is_a_fault() {
  let lines: [&[u8]; 11] = [
    b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    b"Content-Length: 3\r\nContent-Length: 3\r\n",
    b"Content-Length: 3, 3\r\n",
    b"Content-Length: +3\r\n",
    b"Content-Length: \r\n",
    b"Content-Length: \xff\r\n",
    b"Transfer-Encoding: gzip\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n",
    b"Transfer-Encoding: \xff\r\n",
    b"Transfer-Encoding: \xff\r\nContent-Length: 3\r\n",
  ];
  for lines in lines {
    for (status, method) in [
      ("200", "GET"),
      ("200", "HEAD"),
      ("204", "GET"),
      ("304", "GET"),
    ] {
      let head = [b"HTTP/1.1 ", status.as_bytes(), b" Any\r\n", lines, b"\r\n"].concat();
      let (response, _) = Response::parse(&head).unwrap().unwrap();
      let head = String::from_utf8_lossy(&head);
      assert!(response.framing(method).is_err(), "{method}: {head:?}");
    }
  }
}

/// Decodes a chunked body that arrives in pieces of a size; returns its content, whether it is complete,
/// and what is left.
fn decode_chunked(body: &[u8], size: usize) -> Result<(Vec<u8>, bool, Vec<u8>), String> {
  let mut decoder = Decoder::new(Framing::Chunked);
  let (mut input, mut out) = (Vec::new(), Vec::new());
  for piece in body.chunks(size) {
    input.extend_from_slice(piece);
    decoder
      .decode(&mut input, &mut out)
      .map_err(|error| error.0)?;
  }
  Ok((out, decoder.is_complete(), input))
}

/// A line without a size was taken for the chunk that ends a body.
#[test]
fn a_chunk_without_a_size_is_a_fault() {
  for line in [
    "",
    " ",
    "\t",
    ";",
    ";a=b",
    " ;a=b",
    " 0",
    "+0",
    "0x0",
    "0 0",
    "00000000000000000",
  ] {
    for size in [1, 7, 64] {
      let body = format!("4\r\nfour\r\n{line}\r\n\r\n");
      let decoded = decode_chunked(body.as_bytes(), size);
      assert!(decoded.is_err(), "{line:?}: {decoded:?}");
    }
  }
  for line in ["0", "00", "0;a=b", "0 ;a=b", "0 "] {
    let body = format!("4\r\nfour\r\n{line}\r\n\r\nnext");
    let decoded = decode_chunked(body.as_bytes(), 64);
    assert_eq!(
      decoded,
      Ok((b"four".to_vec(), true, b"next".to_vec())),
      "{line:?}"
    );
  }
}

/// The head of the next response was taken for the trailer of a body that was cut after its last chunk.
#[test]
fn a_response_behind_a_last_chunk_is_no_trailer() {
  for cut in ["0\r\n", "0;a", "0\r\nA: b\r\n", "0\r\nA"] {
    for size in [1, 7, 256] {
      let body = format!("4\r\nfour\r\n{cut}HTTP/1.1 200 OK\r\nX-Id: b\r\n\r\nnext");
      let decoded = decode_chunked(body.as_bytes(), size);
      assert!(decoded.is_err(), "{cut:?}: {decoded:?}");
    }
  }
  let trailer = b"0\r\nA: b\r\nX-C: HTTP/1.1\r\n\r\nnext";
  let expected = (Vec::new(), true, b"next".to_vec());
  assert_eq!(decode_chunked(trailer, 256), Ok(expected));
}

/// Trailers without end were read up to the end of a request's time.
#[test]
fn trailers_without_end_are_a_fault() {
  let trailers = "X-Name: value\r\n".repeat(10_000);
  let body = format!("4\r\nfour\r\n0\r\n{trailers}");
  assert!(decode_chunked(body.as_bytes(), 4_096).is_err());
}

/// A line that is no field was taken for a trailer.
#[test]
fn a_trailer_whose_name_is_malformed_is_a_fault() {
  for line in [
    "X Name: a",
    "X-Name : a",
    "X-\x01Name: a",
    " folded",
    ": a",
    "X-Name",
  ] {
    let body = format!("4\r\nfour\r\n0\r\n{line}\r\n\r\n");
    let decoded = decode_chunked(body.as_bytes(), 64);
    assert!(decoded.is_err(), "{line:?}: {decoded:?}");
  }
}

/// A status that HTTP does not define was read as that of a response.
#[test]
fn a_status_without_a_class_is_a_fault() {
  for status in ["000", "099", "600", "999"] {
    let head = format!("HTTP/1.1 {status} Odd\r\n\r\n");
    let parsed = Response::parse(head.as_bytes());
    assert!(parsed.is_err(), "{status}: {parsed:?}");
  }
  for status in ["100", "599"] {
    let head = format!("HTTP/1.1 {status} Any\r\n\r\n");
    assert!(
      matches!(Response::parse(head.as_bytes()), Ok(Some(_))),
      "{status}"
    );
  }
}

#[test]
fn headers_of_one_connection_are_not_passed_on() {
  let text = "GET / HTTP/1.1\r\nConnection: close, X-Mine\r\nX-Mine: 1\r\nKeep-Alive: timeout=5\r\n\
    TE: trailers\r\nX-Kept: 2\r\n\r\n";
  let (mut request, _) = Request::parse(text.as_bytes()).unwrap().unwrap();
  assert!(!request.keep_alive());
  request.headers.remove_hop_by_hop();
  let names: Vec<&str> = request
    .headers
    .0
    .iter()
    .map(|(name, _)| name.as_str())
    .collect();
  assert_eq!(names, ["X-Kept"]);
}

#[test]
fn an_answer_without_length_ends_with_its_connection() {
  let text = "HTTP/1.1 200 OK\r\n\r\nbytes";
  let (response, length) = Response::parse(text.as_bytes()).unwrap().unwrap();
  let framing = response.framing("GET").unwrap();
  assert_eq!(framing, Framing::Close);
  let mut body = Decoder::new(framing);
  let mut out = Vec::new();
  body
    .decode(&mut text.as_bytes()[length..].to_vec(), &mut out)
    .unwrap();
  assert!(!body.is_complete());
  assert!(body.finish());
  assert_eq!(out, b"bytes");
}

#[test]
fn a_body_cut_short_is_not_whole() {
  for (framing, bytes) in [
    (Framing::Length(5), "four".to_string()),
    (Framing::Chunked, "4\r\nfour\r\n".to_string()),
    (Framing::Chunked, "4\r\nfo".to_string()),
  ] {
    let mut body = Decoder::new(framing);
    body
      .decode(&mut bytes.into_bytes(), &mut Vec::new())
      .unwrap();
    assert!(!body.is_complete() && !body.finish(), "{framing:?}");
  }
}

quickcheck! {
  fn a_chunked_body_is_whole_however_it_arrives(chunks: Vec<Vec<u8>>, cuts: Vec<usize>) -> bool {
    let chunks: Vec<Vec<u8>> = chunks.into_iter().filter(|chunk| !chunk.is_empty()).collect();
    let mut wire: Vec<u8> = chunks.iter().flat_map(|chunk| encode_chunk(chunk)).collect();
    wire.extend_from_slice(LAST_CHUNK);
    wire.extend_from_slice(b"next");
    let mut body = Decoder::new(Framing::Chunked);
    let (mut input, mut out) = (Vec::new(), Vec::new());
    let mut cuts = cuts.into_iter();
    while !wire.is_empty() {
      let length = cuts.next().map_or(wire.len(), |cut| cut % wire.len() + 1);
      input.extend(wire.drain(..length));
      body.decode(&mut input, &mut out).unwrap();
    }
    body.is_complete() && out == chunks.concat() && input == b"next"
  }

  fn events_come_out_whole_however_they_arrive(count: u8, cuts: Vec<usize>) -> bool {
    let text: String = (0..count).map(|id| format!("id: {id}\ndata: x\n\n")).collect();
    let mut wire = text.clone().into_bytes();
    let (mut parser, mut out) = (Parser::default(), Vec::new());
    let mut cuts = cuts.into_iter();
    while !wire.is_empty() {
      let length = cuts.next().map_or(wire.len(), |cut| cut % wire.len() + 1);
      let part: Vec<u8> = wire.drain(..length).collect();
      let complete = parser.push(&part, "X-Id").unwrap();
      if !complete.is_empty() && !complete.ends_with(b"\n\n") {
        return false;
      }
      out.extend(complete);
    }
    let last = count.checked_sub(1).map(|id| id.to_string());
    out == text.as_bytes() && parser.count == u64::from(count) && parser.last_id == last
  }
}

#[test]
fn a_stream_cut_within_an_event_keeps_the_last_whole_one() {
  let mut parser = Parser::default();
  let complete = parser.push(b"id: 1\ndata: a\n\nid: 2\nda", "X-Id").unwrap();
  assert_eq!(complete, b"id: 1\ndata: a\n\n");
  assert_eq!(parser.last_id.as_deref(), Some("1"));
  parser.discard_partial();
  assert!(parser.partial().is_empty());
  assert_eq!(parser.last_id.as_deref(), Some("1"));
}

quickcheck! {
  /// A complete response is read back as it was written, and nothing is left that the next response
  /// would begin with.
  fn complete_responses_end_where_their_framing_says(method: u8, status: u8, body: Vec<u8>, keep: bool) -> bool {
    let method = ["GET", "POST", "HEAD"][usize::from(method) % 3];
    let status = [200, 204, 304, 400, 404, 413, 429, 502, 503][usize::from(status) % 9];
    let response = Response {
      status,
      reason: "Any".into(),
      minor: 1,
      headers: Headers::default(),
    };
    let mut bytes = response.encode_complete(method, &body, keep);
    let (head, length) = Response::parse(&bytes).unwrap().unwrap();
    bytes.drain(..length);
    let mut decoder = Decoder::new(head.framing(method).unwrap());
    let mut decoded = Vec::new();
    decoder.decode(&mut bytes, &mut decoded).unwrap();
    let expected = if has_body(method, status) { body } else { Vec::new() };
    decoder.is_complete() && bytes.is_empty() && decoded == expected && head.keep_alive() == keep
  }
}

/// Guards against a response within a stream that is forwarded as events, or whose event ids count,
/// however its bytes arrive.
#[test]
fn a_response_within_a_stream_is_no_event() {
  let stream = b"id: 1\ndata: a\n\nid: 2\ndaHTTP/1.1 200 OK\r\nx-id: b\r\n\r\nid: 7\ndata: c\n\n";
  for step in 1..=stream.len() {
    let (mut parser, mut out) = (Parser::default(), Vec::new());
    let mixed = stream
      .chunks(step)
      .any(|part| match parser.push(part, "X-Id") {
        Ok(complete) => {
          out.extend(complete);
          false
        }
        Err(_) => true,
      });
    assert!(mixed, "step {step}");
    assert!(b"id: 1\ndata: a\n\n".starts_with(&out[..]), "step {step}");
    assert_ne!(parser.last_id.as_deref(), Some("7"), "step {step}");
  }
  // Not at the start of a line.
  let event = b"data: X-Id: b\n\n";
  assert_eq!(Parser::default().push(event, "X-Id"), Ok(event.to_vec()));
}

/// Guards against an id that adds a header to the request that resumes its stream.
#[test]
fn an_id_that_no_header_can_hold_ends_its_stream() {
  for id in ["5\rx: y", "5\0", "5\tb", "\u{7f}"] {
    let event = format!("id: {id}\ndata: a\n\n");
    let mut parser = Parser::default();
    assert!(parser.push(event.as_bytes(), "X-Id").is_err(), "{id:?}");
    assert_eq!(parser.last_id, None, "{id:?}");
  }
}
