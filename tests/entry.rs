//! Requests are checked against the limits of the deployment that is in force when they are sent.

use bendsaddle::{
  deployment::{Bounds, Deployment},
  dialect::Dialect,
  dispatch::{Event, State},
  entry,
  hub::Hub,
  retry::Bound,
};
use slog::{Discard, Logger, o};
use std::{
  io::{Read, Write},
  net::TcpStream,
  sync::Arc,
  time::Duration,
};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle timeout of connections under the first version of the deployment.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

fn hub() -> Arc<Hub> {
  let bound = Bound {
    ratio: 0.2,
    slack: 80.0,
    window_ms: 10_000,
  };
  let state = State::new("a", bound, 1);
  Hub::new(state, Dialect::DEFAULT, Logger::root(Discard, o!())).unwrap()
}

fn deploy(hub: &Hub, version: u64, body_bytes: usize, idle_timeout: Duration) {
  let bounds = Bounds {
    body_bytes,
    idle_timeout,
    ..Bounds::default()
  };
  let deployment = Deployment {
    version,
    bounds,
    ..Deployment::default()
  };
  hub.apply(Event::Deployed(Arc::new(deployment)), None);
  hub.apply(Event::RecordsRead, None);
}

fn connect(hub: &Arc<Hub>) -> TcpStream {
  let address = entry::bind(hub, "127.0.0.1:0", 8).unwrap();
  let stream = TcpStream::connect(address).unwrap();
  stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
  stream
}

/// Sends a request with a body; returns the status of the response.
fn status(stream: &mut TcpStream, bytes: usize) -> u16 {
  let head = format!("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: {bytes}\r\n\r\n");
  stream.write_all(head.as_bytes()).unwrap();
  stream.write_all(&vec![b'x'; bytes]).unwrap();
  let mut response = Vec::new();
  let mut buffer = [0; 1024];
  while !response.ends_with(b"}}") {
    let length = stream.read(&mut buffer).unwrap();
    assert!(length > 0, "closed without a response");
    response.extend_from_slice(&buffer[..length]);
  }
  let text = String::from_utf8(response).unwrap();
  text[9..12].parse().unwrap()
}

#[test]
fn a_connection_at_rest_goes_by_the_newest_bounds() {
  let hub = hub();
  deploy(&hub, 1, 10, LONG_TIMEOUT);
  let mut stream = connect(&hub);
  assert_eq!(status(&mut stream, 5), 404);
  deploy(&hub, 2, 1_000, LONG_TIMEOUT);
  assert_eq!(
    status(&mut stream, 500),
    404,
    "the limit of the first version was applied"
  );
}

#[test]
fn a_connection_rests_for_as_long_as_the_newest_bounds_say() {
  let hub = hub();
  deploy(&hub, 1, 10, SHORT_IDLE_TIMEOUT);
  let mut stream = connect(&hub);
  assert_eq!(status(&mut stream, 5), 404);
  deploy(&hub, 2, 10, LONG_TIMEOUT);
  stream
    .set_read_timeout(Some(SHORT_IDLE_TIMEOUT * 3))
    .unwrap();
  let read = stream.read(&mut [0; 1]);
  assert!(
    read.is_err(),
    "closed after the idle timeout of the first version"
  );
  stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
  assert_eq!(status(&mut stream, 5), 404);
}
