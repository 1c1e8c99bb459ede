//! Outbound calls: send deadlines and timeouts.

use bendsaddle::{
  http::Request,
  outbound::{Call, Client, Failure},
};
use std::{
  io::{Read, Write},
  net::{SocketAddr, TcpListener},
  thread,
  time::Duration,
};

/// A call with long time limits.
fn get<'a>() -> Call<'a> {
  Call {
    method: "GET",
    target: "/",
    headers: &[],
    body: &[],
    max_answer_bytes: 1 << 10,
    connect_timeout: Duration::from_secs(5),
    read_timeout: Duration::from_secs(5),
    total_timeout: Duration::from_secs(5),
    send_before: None,
  }
}

/// A call is not sent after its deadline even if the connection is established: the process may
/// have been suspended in the meantime.
#[test]
fn a_call_whose_moment_has_passed_is_not_sent() {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  let call = Call {
    method: "POST",
    body: b"order",
    send_before: Some(bendsaddle::clock::Moment::now()),
    ..get()
  };
  let receiver = thread::spawn(move || {
    let (mut stream, _) = listener.accept().unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    bytes
  });
  let result = Client::default().send(address, &call);
  assert_eq!(result.err(), Some(Failure::NotSent));
  assert!(
    receiver.join().unwrap().is_empty(),
    "a connection is established, but no bytes are sent"
  );
}

// With packet loss, a deployment of about ten kilobytes takes longer than the one second within
// which the store starts to answer. A response that is still arriving is awaited for up to five
// times as long.
#[test]
fn an_answer_that_goes_on_arriving_is_waited_for() {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  let idle_timeout = Duration::from_millis(500);
  let call = Call {
    read_timeout: idle_timeout,
    total_timeout: idle_timeout * 5,
    ..get()
  };
  thread::spawn(move || {
    let (mut stream, _) = listener.accept().unwrap();
    let _ = stream.read(&mut [0; 1024]).unwrap();
    stream
      .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")
      .unwrap();
    for byte in b"answered" {
      thread::sleep(idle_timeout / 5);
      stream.write_all(&[*byte]).unwrap();
    }
  });
  let answer = Client::default().send(address, &call).expect("a response");
  assert_eq!(answer.body, b"answered");
}

#[test]
fn an_answer_that_drips_is_given_up() {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  let call = Call {
    read_timeout: Duration::from_millis(100),
    total_timeout: Duration::from_millis(500),
    ..get()
  };
  thread::spawn(move || {
    let (mut stream, _) = listener.accept().unwrap();
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";
    let mut result = stream.write_all(head);
    while result.is_ok() {
      thread::sleep(Duration::from_millis(20));
      result = stream.write_all(b"x");
    }
  });
  let result = Client::default().send(address, &call);
  assert_eq!(result.err(), Some(Failure::NoAnswer));
}

#[test]
fn a_call_to_an_address_where_nothing_listens_is_refused() {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  drop(listener);
  let result = Client::default().send(address, &get());
  assert_eq!(result.err(), Some(Failure::Refused));
}

/// Responds to call N with body N, behind a copy of the response before.
fn serve_copies() -> SocketAddr {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  thread::spawn(move || {
    let mut number = 0;
    for mut stream in listener.incoming().flatten() {
      let mut copy = String::new();
      let mut input = Vec::new();
      let mut bytes = [0; 1024];
      while let Ok(count @ 1..) = stream.read(&mut bytes) {
        input.extend_from_slice(&bytes[..count]);
        let Some((head, length)) = Request::parse(&input).unwrap() else {
          continue;
        };
        input.drain(..length);
        number += 1;
        let id = head.headers.get("X-Id").unwrap();
        let body = number.to_string();
        let length = body.len();
        let response =
          format!("HTTP/1.1 200 OK\r\nX-Id: {id}\r\nContent-Length: {length}\r\n\r\n{body}");
        let sent = std::mem::replace(&mut copy, response.clone()) + &response;
        stream.write_all(sent.as_bytes()).unwrap();
      }
    }
  });
  address
}

/// Guards against a second response to an earlier call that is taken for the response to this one.
#[test]
fn a_copy_is_no_response_to_a_later_call() {
  let address = serve_copies();
  let client = Client::with_ids("X-Id");
  for number in 1..=100 {
    let answer = client.send(address, &get()).expect("a response");
    assert_eq!(answer.body, number.to_string().as_bytes());
  }
}

/// Guards against connections that are not reused because their server echoes no ids.
#[test]
fn connections_to_servers_that_echo_no_ids_are_reused() {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  let server = thread::spawn(move || {
    let (mut stream, _) = listener.accept().unwrap();
    let mut bytes = [0; 1024];
    for _ in 0..3 {
      let _ = stream.read(&mut bytes).unwrap();
      stream
        .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        .unwrap();
    }
  });
  let client = Client::with_ids("X-Id");
  for _ in 0..3 {
    client.send(address, &get()).expect("a response");
  }
  server.join().unwrap();
}

/// Guards against an order or a call to the store that counts as done, or as absent, by a response
/// whose head or body never arrived in full.
#[test]
fn a_response_cut_at_any_byte_is_none() {
  let heads = [
    "HTTP/1.1 200 OK\r\nStore-Era: 12\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
    "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
  ];
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  let sends = heads
    .iter()
    .flat_map(|head| (0..head.len()).map(|cut| &head[..cut]));
  let sends: Vec<&str> = sends.collect();
  let server_sends = sends.clone();
  thread::spawn(move || {
    for part in server_sends {
      let (mut stream, _) = listener.accept().unwrap();
      let _ = stream.read(&mut [0; 1024]).unwrap();
      stream.write_all(part.as_bytes()).unwrap();
    }
  });
  let client = Client::default();
  for part in sends {
    let result = client.send(address, &get());
    assert_eq!(result.err(), Some(Failure::NoAnswer), "`{part}`");
  }
}

/// An answer of the store, or to an order or a report, that states its framing twice or lacks the size of a chunk
/// counted as whole.
#[test]
fn a_response_whose_end_is_in_doubt_is_none() {
  let responses = [
    "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "Content-Length: 2\r\nContent-Length: 2\r\n\r\n{}",
    "Content-Length: two\r\n\r\n{}",
    "Transfer-Encoding: gzip\r\n\r\n{}",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n\r\n2\r\n{}\r\n0\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n;a\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
  ];
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  thread::spawn(move || {
    for response in responses {
      let (mut stream, _) = listener.accept().unwrap();
      let _ = stream.read(&mut [0; 1024]).unwrap();
      let bytes = format!("HTTP/1.1 200 OK\r\n{response}");
      stream.write_all(bytes.as_bytes()).unwrap();
    }
  });
  let client = Client::default();
  for response in responses {
    let result = client.send(address, &get());
    assert_eq!(result.err(), Some(Failure::NoAnswer), "`{response}`");
  }
}

/// Guards against a call that counts as answered by a response whose status HTTP does not define, or whose
/// head another reader would split differently.
#[test]
fn a_response_with_a_malformed_head_is_none() {
  let heads = [
    "000 Odd\r\n",
    "099 Odd\r\n",
    "600 Odd\r\n",
    "999 Odd\r\n",
    "200 OK\r\nX Name: a\r\n",
    "200 OK\r\nX-Name : a\r\n",
    "200 OK\r\nX-\x01Name: a\r\n",
    "200 OK\r\n folded\r\n",
    "200 OK\r\nX-Name: a\r\n folded\r\n",
  ];
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  thread::spawn(move || {
    for head in heads {
      let (mut stream, _) = listener.accept().unwrap();
      let _ = stream.read(&mut [0; 1024]).unwrap();
      let bytes = format!("HTTP/1.1 {head}Content-Length: 2\r\n\r\n{{}}");
      stream.write_all(bytes.as_bytes()).unwrap();
    }
  });
  let client = Client::default();
  for head in heads {
    let result = client.send(address, &get());
    assert_eq!(result.err(), Some(Failure::NoAnswer), "`{head:?}`");
  }
}

/// Guards against calls that together take the memory of an instance: each took up to 16 MiB of whatever
/// came.
#[test]
fn a_body_beyond_the_bound_of_its_call_is_none() {
  let max = get().max_answer_bytes;
  let over = "x".repeat(max + 1);
  let whole = &over[1..];
  let length = |body: &str| format!("Content-Length: {}\r\n\r\n{body}", body.len());
  let chunk = |body: &str| {
    format!(
      "Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
      body.len()
    )
  };
  let close = |body: &str| format!("\r\n{body}");
  let cases = [
    length(&over),
    chunk(&over),
    close(&over),
    length(whole),
    chunk(whole),
    close(whole),
  ];
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  let responses = cases.clone();
  thread::spawn(move || {
    for response in responses {
      let (mut stream, _) = listener.accept().unwrap();
      let _ = stream.read(&mut [0; 1024]).unwrap();
      let bytes = format!("HTTP/1.1 200 OK\r\nConnection: close\r\n{response}");
      stream.write_all(bytes.as_bytes()).unwrap();
    }
  });
  let client = Client::default();
  let lengths = cases.map(|_| {
    client
      .send(address, &get())
      .ok()
      .map(|answer| answer.body.len())
  });
  assert_eq!(lengths, [None, None, None, Some(max), Some(max), Some(max)]);
}
