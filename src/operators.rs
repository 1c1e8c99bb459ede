//! The operators' HTTP port: health, metrics, status, configuration and timeline.

use crate::{essential, shared::Shared, status::Configuration};
use rouille::{Request, Response, Server};
use std::{io, net::SocketAddr, sync::Arc, sync::atomic::Ordering, thread, time::Duration};

/// Timeout of one poll for requests.
const POLL_TIMEOUT: Duration = Duration::from_millis(100);
/// Number of threads that serve operators.
const THREADS: usize = 2;

/// Binds the port and serves requests until the process ends.
pub fn bind(shared: &Arc<Shared>) -> io::Result<SocketAddr> {
  let address = shared.settings.operators.clone();
  let (shared, log) = (shared.clone(), shared.log.clone());
  let server = Server::new(address, move |request| respond(&shared, request))
    .map_err(|error| io::Error::other(error.to_string()))?
    .pool_size(THREADS);
  let address = server.server_addr();
  essential::spawn(thread::Builder::new(), "operators", &log, move || {
    loop {
      server.poll_timeout(POLL_TIMEOUT);
    }
  })?;
  Ok(address)
}

fn respond(shared: &Shared, request: &Request) -> Response {
  match request.url().as_str() {
    "/health" => health(shared),
    "/metrics" => Response::text(shared.metrics.text()),
    "/status" => match shared.status() {
      Some(status) => Response::json(&status),
      None => Response::text("no status").with_status_code(503),
    },
    "/configuration" => match shared.query(Configuration::new) {
      Some(configuration) => Response::json(&configuration),
      None => Response::text("no configuration").with_status_code(503),
    },
    "/timeline" => {
      let since = request
        .get_param("since")
        .and_then(|since| since.parse().ok());
      Response::json(&shared.lines(since.unwrap_or_default()))
    }
    _ => Response::empty_404(),
  }
}

fn health(shared: &Shared) -> Response {
  if shared.stop.has_started.load(Ordering::Relaxed) {
    return Response::text("stopping").with_status_code(503);
  }
  match shared.status() {
    Some(status) if status.serving => Response::text("serving"),
    _ => Response::text("starting").with_status_code(503),
  }
}
