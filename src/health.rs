//! Health port: readiness of an instance, its metrics, and the state of its customers.

use crate::{
  essential,
  http::{self, Request},
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

/// Timeout of each read and write on a connection.
const IO_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a request's head.
const MAX_HEAD_BYTES: usize = 4 << 10;
/// Stack size of a connection's thread.
const STACK_BYTES: usize = 64 << 10;

/// Binds the health port.
pub fn bind(hub: &Arc<Hub>, address: &str) -> io::Result<SocketAddr> {
  let listener = web::listen(address)?;
  let address = listener.local_addr()?;
  let hub = hub.clone();
  let (builder, log) = (thread::Builder::new(), hub.log.clone());
  essential::spawn(builder, "health", &log, move || {
    loop {
      // A failed accept needs no handling, since health checks are repeated.
      let Ok((stream, _)) = listener.accept() else {
        thread::sleep(Duration::from_millis(10));
        continue;
      };
      let hub = hub.clone();
      let builder = thread::Builder::new()
        .name("question".into())
        .stack_size(STACK_BYTES);
      // Without a thread, the request gets no response, so the instance counts as not ready.
      let _ = builder.spawn(move || serve(&hub, stream));
    }
  })?;
  Ok(address)
}

/// Serves requests on a connection until it is idle for too long.
fn serve(hub: &Hub, mut stream: TcpStream) {
  let configured = stream
    .set_read_timeout(Some(IO_TIMEOUT))
    .and_then(|()| stream.set_write_timeout(Some(IO_TIMEOUT)));
  if configured.is_err() {
    return;
  }
  let mut input = Vec::new();
  let mut bytes = [0; 1024];
  loop {
    match Request::parse(&input) {
      Ok(Some((head, length))) => {
        input.drain(..length);
        let (status, body) = render(hub, head.path());
        let length = body.len();
        let body = match http::has_body(&head.method, status) {
          true => body,
          false => String::new(),
        };
        let response = format!(
          "HTTP/1.1 {status} Health\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        if stream.write_all(response.as_bytes()).is_err() || !head.keep_alive() {
          return;
        }
      }
      Ok(None) if input.len() < MAX_HEAD_BYTES => match stream.read(&mut bytes) {
        Ok(length) if length > 0 => input.extend_from_slice(&bytes[..length]),
        // A read with a timeout is interrupted when its process is suspended.
        Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
        _ => return,
      },
      _ => return,
    }
  }
}

/// Returns what is known of customers and their quotas, as JSON without any API keys.
fn customers(hub: &Hub) -> String {
  let now = hub.now();
  let state = hub.state();
  let list = state.deployment.as_ref();
  let list = list.and_then(|deployment| deployment.customers.clone());
  let customers = list.iter().flat_map(|list| list.all());
  let customers = customers.map(|customer| {
    let (used, left) = state.quotas().usage(now, Id::for_customer(&customer.name));
    json!({
      "name": customer.name, "keys": customer.keys.len(), "priority": customer.priority,
      "rate": customer.quota.map(|quota| quota.rate),
      "burst": customer.quota.map(|quota| quota.burst), "used": used, "granted": left,
    })
  });
  let customers: Vec<Value> = customers.collect();
  let standings = lock(&hub.standings);
  let fleet = standings.iter().map(|standing| {
    json!({ "name": standing.name, "used": standing.fleet_usage.used,
      "granted": standing.fleet_usage.ahead, "rate": standing.fleet_usage.rate })
  });
  let fleet: Vec<Value> = fleet.collect();
  let keys_age = hub.gates.deployments.guaranteed_age();
  json!({
    "version": state.deployment.as_ref().map(|deployment| deployment.version),
    "keysAgeMs": keys_age.map(|age| age.as_millis() as u64),
    "grantsAgeMs": state.quotas().answer_age(now), "customers": customers, "fleet": fleet,
  })
  .to_string()
}

fn render(hub: &Hub, path: &str) -> (u16, String) {
  if path.ends_with("/metrics") {
    return match hub.measures.text() {
      Ok(text) => (200, text),
      Err(error) => (500, format!("metrics not encoded: {error}\n")),
    };
  }
  if path.ends_with("/customers") {
    return (200, customers(hub));
  }
  match hub.readiness().is_ready() {
    true => (200, "ready\n".into()),
    false => (503, "not ready\n".into()),
  }
}
