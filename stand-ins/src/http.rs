//! A small HTTP server: a thread for each request.

use std::{io, net::SocketAddr, sync::Arc, thread};
use tiny_http::{Request, Response, Server};

/// Stack of a request's thread, bytes.
const STACK: usize = 128 << 10;

/// Binds an address and hands every request to `handle` on a thread of its own.
pub fn bind(
  address: &str,
  handle: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
  let listener = bendsaddle::web::listen(address)?;
  let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
  let address = server.server_addr().to_ip();
  let address = address.ok_or_else(|| io::Error::other("not an ip address"))?;
  let handle = Arc::new(handle);
  thread::spawn(move || {
    for request in server.incoming_requests() {
      let handle = handle.clone();
      let builder = thread::Builder::new().stack_size(STACK);
      // A request that finds no thread is closed with its connection.
      drop(builder.spawn(move || handle(request)));
    }
  });
  Ok(address)
}

/// The request's body.
pub fn body(request: &mut Request) -> Vec<u8> {
  let mut body = Vec::new();
  // A body that breaks off is handled as the part that came.
  let _ = request.as_reader().read_to_end(&mut body);
  body
}

/// Answers with JSON.
pub fn json(request: Request, status: u16, body: &serde_json::Value) {
  let response = Response::from_string(body.to_string()).with_status_code(status);
  let _ = request.respond(response);
}

/// A query parameter.
pub fn param(url: &str, name: &str) -> Option<String> {
  let query = url.split_once('?')?.1;
  let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
  let mut found = pairs.filter(|(key, _)| *key == name);
  found.next().map(|(_, value)| value.to_string())
}

/// The value of a header.
pub fn header(request: &Request, name: &str) -> Option<String> {
  let mut headers = request.headers().iter();
  let found = headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
  found.map(|header| header.value.to_string())
}
