//! Requests are checked against the limits of the deployment that is in force when they are sent, and
//! connections that get no thread are closed unread.

use bendsaddle::{
  deployment::{Bounds, Deployment},
  dialect::Dialect,
  dispatch::{Event, State},
  entry,
  hub::Hub,
  retry::Bound,
  socket,
};
use slog::{Discard, Drain, Logger, o};
use std::{
  io::{self, Read, Write},
  net::{SocketAddr, TcpListener, TcpStream},
  sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
  },
  thread,
  time::Duration,
};

const LONG_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle timeout of connections under the first version of the deployment.
const SHORT_IDLE_TIMEOUT: Duration = Duration::from_millis(200);

/// Stack larger than any address space, so that no thread can be started with it.
const IMPOSSIBLE_STACK_BYTES: usize = 1 << 50;
/// Connections that get no thread.
const CLOSED: usize = 20;

fn hub() -> Arc<Hub> {
  hub_with_log(Logger::root(Discard, o!()))
}

fn hub_with_log(log: Logger) -> Arc<Hub> {
  let bound = Bound {
    ratio: 0.2,
    slack: 80.0,
    window_ms: 10_000,
  };
  let state = State::new("a", bound, 1);
  Hub::new(state, Dialect::DEFAULT, log).unwrap()
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
  connect_to(entry::bind(hub, "127.0.0.1:0", 8).unwrap())
}

fn connect_to(address: SocketAddr) -> TcpStream {
  let stream = TcpStream::connect(address).unwrap();
  stream.set_read_timeout(Some(LONG_TIMEOUT)).unwrap();
  stream
}

/// Sends a request with a body; returns the status of the response.
fn status(stream: &mut TcpStream, bytes: usize) -> u16 {
  response(stream, bytes)[9..12].parse().unwrap()
}

/// Sends a request with a body; returns the response.
fn response(stream: &mut TcpStream, bytes: usize) -> String {
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
  String::from_utf8(response).unwrap()
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

/// The lines of a log.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    self.0.lock().unwrap().write(bytes)
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}

impl Lines {
  /// The lines of one kind.
  fn find(&self, message: &str) -> Vec<String> {
    let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
    let found = text.lines().filter(|line| line.contains(message));
    found.map(str::to_string).collect()
  }
}

/// Sends a request on a new connection; returns whether it ends unread.
fn ends_unread(address: SocketAddr) -> bool {
  let mut stream = connect_to(address);
  // The connection may end before all of it is written.
  let _ = stream.write_all(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n");
  match stream.read(&mut [0; 1]) {
    Ok(length) => length == 0,
    Err(error) => error.kind() == io::ErrorKind::ConnectionReset,
  }
}

/// Connections without a thread were not counted as closed unread, each one was a line of the log,
/// and connections at rest kept their threads.
#[test]
fn a_connection_without_a_thread_ends_unread_and_is_counted() {
  let lines = Lines::default();
  let drain = Mutex::new(slog_json::Json::default(lines.clone())).fuse();
  let hub = hub_with_log(Logger::root(drain, o!()));
  deploy(&hub, 1, 10, LONG_TIMEOUT);
  let exhausted = Arc::new(AtomicBool::new(false));
  let is_exhausted = exhausted.clone();
  let start = move |builder: thread::Builder, task: entry::Task| {
    let builder = match is_exhausted.load(Ordering::SeqCst) {
      true => builder.stack_size(IMPOSSIBLE_STACK_BYTES),
      false => builder,
    };
    builder.spawn(task).map(drop)
  };
  let address = entry::bind_with(&hub, "127.0.0.1:0", 2 * CLOSED, start).unwrap();
  let mut resting = connect_to(address);
  assert!(!response(&mut resting, 5).contains("Connection: close"));

  exhausted.store(true, Ordering::SeqCst);
  let closed = (0..CLOSED).filter(|_| ends_unread(address)).count();
  assert_eq!(closed, CLOSED, "connections without a thread");
  let last = response(&mut resting, 5);
  exhausted.store(false, Ordering::SeqCst);
  assert_eq!(status(&mut connect_to(address), 5), 404, "served again");

  let metrics = hub.measures.text().unwrap();
  let mut metrics = metrics.lines();
  let count = metrics.find(|line| line.contains("callers_closed_unread_total{"));
  let count = count.unwrap_or("no count").to_string();
  let closed = lines.find("closed unread");
  println!("{count}, {} lines name threads", lines.find("thread").len());
  assert!(last.contains("Connection: close"), "{last}");
  assert!(count.contains(r#"cause="no-thread""#), "{count}");
  assert!(count.ends_with(&format!(" {CLOSED}")), "{count}");
  assert_eq!(closed.len(), 1, "{closed:?}");
  assert_eq!(lines.find("thread"), closed);
}

/// A connection that waits to be accepted was taken for a new one.
#[test]
fn what_arrived_unread_has_an_age() {
  let listener = TcpListener::bind("127.0.0.1:0").unwrap();
  let mut caller = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
  caller.write_all(b"POST").unwrap();
  let waited = Duration::from_millis(100);
  thread::sleep(waited);
  let (stream, _) = listener.accept().unwrap();
  // The system counts in units of a few ms.
  assert!(socket::time_unread(&stream) >= waited * 9 / 10);
}
