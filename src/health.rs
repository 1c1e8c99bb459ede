//! The health port: whether an instance takes requests, and its metrics.

use crate::{http::Request, hub::Hub, web};
use std::{
  io::{self, Read, Write},
  net::{SocketAddr, TcpStream},
  sync::{Arc, atomic::Ordering},
  thread,
  time::Duration,
};

/// Time for a question to arrive and for its answer to be taken.
const CALL: Duration = Duration::from_secs(2);
/// Bytes of a question.
const QUESTION: usize = 4 << 10;
/// Stack of a connection's thread, bytes.
const STACK: usize = 64 << 10;

/// Binds the health port.
pub fn bind(hub: &Arc<Hub>, address: &str) -> io::Result<SocketAddr> {
  let listener = web::listen(address)?;
  let address = listener.local_addr()?;
  let hub = hub.clone();
  let builder = thread::Builder::new().name("health".into());
  builder.spawn(move || {
    loop {
      // An accept that fails is answered by the next question.
      let Ok((stream, _)) = listener.accept() else {
        thread::sleep(Duration::from_millis(10));
        continue;
      };
      let hub = hub.clone();
      let builder = thread::Builder::new()
        .name("question".into())
        .stack_size(STACK);
      // Without a thread the question stays unanswered: not ready.
      let _ = builder.spawn(move || answer(&hub, stream));
    }
  })?;
  Ok(address)
}

/// Answers questions on one connection until it rests for too long.
fn answer(hub: &Hub, mut stream: TcpStream) {
  let bounded = stream
    .set_read_timeout(Some(CALL))
    .and_then(|()| stream.set_write_timeout(Some(CALL)));
  if bounded.is_err() {
    return;
  }
  let mut input = Vec::new();
  let mut bytes = [0; 1024];
  loop {
    match Request::parse(&input) {
      Ok(Some((head, length))) => {
        input.drain(..length);
        let (status, body) = page(hub, head.path());
        let length = body.len();
        let answer = format!(
          "HTTP/1.1 {status} Health\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        if stream.write_all(answer.as_bytes()).is_err() || !head.keeps() {
          return;
        }
      }
      Ok(None) if input.len() < QUESTION => match stream.read(&mut bytes) {
        Ok(length) if length > 0 => input.extend_from_slice(&bytes[..length]),
        _ => return,
      },
      _ => return,
    }
  }
}

fn page(hub: &Hub, path: &str) -> (u16, String) {
  if path.ends_with("/metrics") {
    return match hub.measures.text() {
      Ok(text) => (200, text),
      Err(error) => (500, format!("metrics not encoded: {error}\n")),
    };
  }
  let ready = hub.state().ready() && !hub.stopping.load(Ordering::Relaxed);
  match ready {
    true => (200, "ready\n".into()),
    false => (503, "not ready\n".into()),
  }
}
