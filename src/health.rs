//! The health port: whether an instance takes requests, and its metrics.

use crate::{
  http::Request,
  hub::{Hub, lock},
  quota::Id,
  web,
};
use serde_json::{Value, json};
use std::{
  io::{self, Read, Write},
  net::{SocketAddr, TcpStream},
  sync::Arc,
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
        if stream.write_all(answer.as_bytes()).is_err() || !head.keep_alive() {
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

/// What is known of customers and their quotas, JSON; no key is among it.
fn customers(hub: &Hub) -> String {
  let now = hub.now();
  let state = hub.state();
  let book = state.deployment.as_ref();
  let book = book.and_then(|deployment| deployment.customers.clone());
  let customers = book.iter().flat_map(|book| book.all());
  let customers = customers.map(|customer| {
    let (used, left) = state.purse().standing(now, Id::of(&customer.name));
    json!({
      "name": customer.name, "keys": customer.keys.len(), "priority": customer.priority,
      "rate": customer.quota.map(|quota| quota.rate),
      "burst": customer.quota.map(|quota| quota.burst), "used": used, "granted": left,
    })
  });
  let customers: Vec<Value> = customers.collect();
  let standings = lock(&hub.standings);
  let fleet = standings.iter().map(|one| {
    json!({ "name": one.name, "used": one.over_fleet.used,
      "granted": one.over_fleet.ahead, "rate": one.over_fleet.rate })
  });
  let fleet: Vec<Value> = fleet.collect();
  let keys_age = hub.gates.deployments.sure_age();
  json!({
    "version": state.deployment.as_ref().map(|deployment| deployment.version),
    "keysAgeMs": keys_age.map(|age| age.as_millis() as u64),
    "grantsAgeMs": state.purse().age(now), "customers": customers, "fleet": fleet,
  })
  .to_string()
}

fn page(hub: &Hub, path: &str) -> (u16, String) {
  if path.ends_with("/metrics") {
    return match hub.measures.text() {
      Ok(text) => (200, text),
      Err(error) => (500, format!("metrics not encoded: {error}\n")),
    };
  }
  if path.ends_with("/customers") {
    return (200, customers(hub));
  }
  match hub.ready() {
    true => (200, "ready\n".into()),
    false => (503, "not ready\n".into()),
  }
}
