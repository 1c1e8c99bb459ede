//! Limits of the port for callers.

use bendsaddle::web::{self, Limits};
use serde_json::json;
use stand_ins::fleet::{Plan, wait_for};
use std::{
  io::{Read, Write},
  net::{SocketAddr, TcpStream},
  sync::Arc,
  thread,
  time::Duration,
};

const LIMITS: Limits = Limits {
  connections: 2,
  head_bytes: 512,
  body_bytes: 64,
  request_timeout: Duration::from_secs(2),
  idle_timeout: Duration::from_secs(5),
  write_timeout: Duration::from_secs(2),
  stack_bytes: 128 << 10,
};

/// Time in which all threads of a process have stopped or wait again.
const SIGNAL_TIME: Duration = Duration::from_millis(300);

fn echo(limits: Limits) -> SocketAddr {
  web::bind(
    "127.0.0.1:0",
    limits,
    "busy".into(),
    &Arc::default(),
    |request| {
      let body = request.body.clone();
      request.respond(200, &[], &body);
    },
  )
  .unwrap()
}

fn send(stream: &mut TcpStream, text: &str) {
  stream.write_all(text.as_bytes()).unwrap();
}

/// Reads until the text contains `end` or the connection closes.
fn read_to(stream: &mut TcpStream, end: &str) -> String {
  let mut text = String::new();
  let mut bytes = [0; 1024];
  while !text.contains(end) {
    match stream.read(&mut bytes) {
      Ok(length) if length > 0 => text += &String::from_utf8_lossy(&bytes[..length]),
      _ => break,
    }
  }
  text
}

#[test]
fn a_connection_carries_several_requests() {
  let mut stream = TcpStream::connect(echo(LIMITS)).unwrap();
  for body in ["first", "second"] {
    let length = body.len();
    send(
      &mut stream,
      &format!("POST / HTTP/1.1\r\ncontent-length: {length}\r\n\r\n{body}"),
    );
    let answer = read_to(&mut stream, body);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.ends_with(body), "{answer}");
  }
}

#[test]
fn a_chunked_body_is_read() {
  let mut stream = TcpStream::connect(echo(LIMITS)).unwrap();
  let head = "POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
  send(
    &mut stream,
    &format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"),
  );
  assert!(read_to(&mut stream, "abcde").ends_with("abcde"));
}

#[test]
fn a_connection_beyond_the_bound_is_turned_away() {
  let address = echo(LIMITS);
  let mut held = [
    TcpStream::connect(address).unwrap(),
    TcpStream::connect(address).unwrap(),
  ];
  for stream in &mut held {
    send(stream, "GET / HTTP/1.1\r\n\r\n");
    read_to(stream, "\r\n\r\n");
  }
  let mut third = TcpStream::connect(address).unwrap();
  let answer = read_to(&mut third, "busy");
  assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
  drop(held);
  wait_for("a free connection", || {
    let mut stream = TcpStream::connect(address).unwrap();
    send(&mut stream, "GET / HTTP/1.1\r\n\r\n");
    read_to(&mut stream, "\r\n\r\n").starts_with("HTTP/1.1 200")
  });
}

#[test]
fn sizes_beyond_the_bounds_are_named() {
  let mut stream = TcpStream::connect(echo(LIMITS)).unwrap();
  send(&mut stream, "POST / HTTP/1.1\r\ncontent-length: 65\r\n\r\n");
  let answer = read_to(&mut stream, "bytes");
  assert!(
    answer.contains("413") && answer.contains("body: more than 64 bytes"),
    "{answer}"
  );
  let mut stream = TcpStream::connect(echo(LIMITS)).unwrap();
  send(
    &mut stream,
    &format!("GET / HTTP/1.1\r\nx: {}", "y".repeat(600)),
  );
  let answer = read_to(&mut stream, "bytes");
  assert!(answer.contains("head: more than 512 bytes"), "{answer}");
}

#[test]
fn a_request_that_never_ends_frees_its_place() {
  let limits = Limits {
    connections: 1,
    request_timeout: Duration::from_millis(50),
    ..LIMITS
  };
  let address = echo(limits);
  let mut slow = TcpStream::connect(address).unwrap();
  send(&mut slow, "POST / HTTP/1.1\r\ncontent-le");
  wait_for("the connection to be freed", || {
    let mut stream = TcpStream::connect(address).unwrap();
    send(&mut stream, "GET / HTTP/1.1\r\n\r\n");
    read_to(&mut stream, "\r\n\r\n").starts_with("HTTP/1.1 200")
  });
}

#[test]
fn a_caller_that_leaves_the_queue_gives_its_place_back() {
  let fleet = Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .engines(1, |_| {})
    .model("contracts", 200)
    .instances(1)
    .start()
    .unwrap();
  fleet.engines[0].fault(|faults| faults.slow_load = Duration::from_secs(20));
  let mut stream = TcpStream::connect(fleet.callers(0)).unwrap();
  let body = json!({ "model": "contracts", "prompt": "left" }).to_string();
  let length = body.len();
  send(
    &mut stream,
    &format!("POST /v1/completions HTTP/1.1\r\ncontent-length: {length}\r\n\r\n{body}"),
  );
  wait_for("the request to wait", || {
    fleet.members[0].status()["waiting"] == 1
  });
  drop(stream);
  wait_for("the queue to be empty", || {
    fleet.members[0].status()["requests"] == 0
  });
  assert_eq!(fleet.engines[0].runs().len(), 0);
}

/// Guards against a connection that is closed without a response because its process was suspended
/// while it waited for the request.
#[test]
fn a_request_that_arrives_while_the_process_is_suspended_is_served() {
  let fleet = Plan::default()
    .program(env!("CARGO_BIN_EXE_bendsaddle"))
    .engines(1, |_| {})
    .model("contracts", 200)
    .start()
    .unwrap();
  let mut stream = TcpStream::connect(fleet.callers(0)).unwrap();
  stream
    .set_read_timeout(Some(Duration::from_secs(10)))
    .unwrap();
  for connection in ["new", "kept"] {
    // The thread of the connection waits for the first byte by then, and is stopped before it arrives.
    thread::sleep(SIGNAL_TIME);
    fleet.members[0].signal("-STOP");
    thread::sleep(SIGNAL_TIME);
    send(&mut stream, "GET /v1/models HTTP/1.1\r\nhost: test\r\n\r\n");
    fleet.members[0].signal("-CONT");
    let text = read_to(&mut stream, "}");
    assert!(
      text.starts_with("HTTP/1.1 200"),
      "{connection} connection: {text:?}"
    );
  }
}
