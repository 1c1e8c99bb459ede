//! Calls that have a last moment.

use bendsaddle::outbound::{Call, Client, Failure};
use std::{
  io::Read,
  net::TcpListener,
  thread,
  time::{Duration, Instant},
};

/// A connection that comes up counts for nothing once the moment has passed: a
/// process may have stood still meanwhile.
#[test]
fn a_call_whose_moment_has_passed_is_not_sent() {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let address = listener.local_addr().unwrap();
  let call = Call {
    method: "POST",
    target: "/",
    headers: &[],
    body: b"order",
    connect: Duration::from_secs(5),
    answer: Duration::from_secs(5),
    before: Some(Instant::now()),
  };
  let heard = thread::spawn(move || {
    let (mut stream, _) = listener.accept().unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).unwrap();
    bytes
  });
  let sent = Client::default().send(address, &call);
  assert_eq!(sent.err(), Some(Failure::NotSent));
  assert!(
    heard.join().unwrap().is_empty(),
    "connected, and nothing sent"
  );
}
