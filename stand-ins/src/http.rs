//! A small HTTP server with one thread per request.

use std::{io, net::SocketAddr, sync::Arc, thread};
use tiny_http::{Request, Response, Server};

/// Stack size of a request thread, in bytes.
const STACK_BYTES: usize = 128 << 10;

/// Binds an address and calls `handle` for every request, each on a new thread.
pub fn bind(
  address: &str,
  handle: impl Fn(Request) + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
  let listener = bendsaddle::web::listen(address)?;
  let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
  let address = server.server_addr().to_ip();
  let address =
    address.ok_or_else(|| io::Error::other("listener is not bound to an IP address"))?;
  let handle = Arc::new(handle);
  thread::spawn(move || {
    for request in server.incoming_requests() {
      let handle = handle.clone();
      let builder = thread::Builder::new().stack_size(STACK_BYTES);
      // If no thread can be started, the request is dropped and its connection closes.
      drop(builder.spawn(move || handle(request)));
    }
  });
  Ok(address)
}

/// Reads the request's body.
pub fn body(request: &mut Request) -> Vec<u8> {
  let mut body = Vec::new();
  // A truncated body is returned as far as it was received.
  let _ = request.as_reader().read_to_end(&mut body);
  body
}

/// Responds with a status and a JSON body.
pub fn json(request: Request, status: u16, body: &serde_json::Value) {
  let response = Response::from_string(body.to_string()).with_status_code(status);
  let _ = request.respond(response);
}

/// The value of a query parameter, or `None` if the URL lacks it.
pub fn param(url: &str, name: &str) -> Option<String> {
  let query = url.split_once('?')?.1;
  let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
  let mut found = pairs.filter(|(key, _)| *key == name);
  found.next().map(|(_, value)| value.to_string())
}

/// The value of a header, or `None` if the request lacks it. Names match in any case.
pub fn header(request: &Request, name: &str) -> Option<String> {
  let mut headers = request.headers().iter();
  let found = headers.find(|header| header.field.as_str().as_str().eq_ignore_ascii_case(name));
  found.map(|header| header.value.to_string())
}
