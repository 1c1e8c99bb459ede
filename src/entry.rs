//! The callers' port of a routing instance: connections, heads, bodies, routes.

use crate::{
  clock::Moment,
  customer::{self, Caller},
  deployment::{Bounds, Deployment},
  http::{Decoder, Error, Framing, Headers, Request, Response},
  hub::{Hub, Mailbox},
  refusal::{Reason, Refusal},
  relay::{self, Incoming, Then},
  route::{self, Route},
  socket::{Fill, Interest, Socket, wait},
  verdict::Verdict,
  web,
};
use slog::{info, warn};
use std::{
  io,
  net::{SocketAddr, TcpListener, TcpStream},
  sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
  },
  thread,
  time::Duration,
};

/// Stack of a connection's thread, bytes.
const STACK: usize = 128 << 10;
/// Pause after an accept that failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Time for a body to arrive, from the end of its head.
const BODY_TIME: Duration = Duration::from_secs(15);
/// Time for a short answer of this instance's own to be taken.
const ANSWER_TIME: Duration = Duration::from_secs(1);
/// Time for the first byte of a caller that comes during a planned stop.
const LATE_CALLER: Duration = Duration::from_millis(1_000);
/// Time after which a caller refused for want of a configuration comes back, ms.
const UNCONFIGURED_MS: u64 = 300;

/// Time after which a caller may come back whose key could not be looked up, ms: the balancer
/// has taken this instance out by then.
const UNSURE_MS: u64 = 1_000;

/// Why a request could not be read.
enum Stop {
  /// The connection ended, or was idle for too long.
  Closed,
  Answer(u16, String),
}

impl From<io::Error> for Stop {
  fn from(_: io::Error) -> Self {
    // A caller whose connection broke gets no answer.
    Self::Closed
  }
}

/// Binds the callers' port; at most `most` connections at once.
pub fn bind(hub: &Arc<Hub>, address: &str, most: usize) -> io::Result<SocketAddr> {
  let listener = web::listen(address)?;
  let address = listener.local_addr()?;
  let hub = hub.clone();
  let builder = thread::Builder::new().name("accept".into());
  builder.spawn(move || accept(&hub, &listener, most))?;
  Ok(address)
}

fn accept(hub: &Arc<Hub>, listener: &TcpListener, most: usize) {
  let open = Arc::new(AtomicUsize::new(0));
  loop {
    let stream = match listener.accept() {
      Ok((stream, _)) => stream,
      Err(error) => {
        warn!(hub.log, "accept failed"; "error" => %error);
        thread::sleep(ACCEPT_PAUSE);
        continue;
      }
    };
    if open.fetch_add(1, Ordering::Relaxed) >= most {
      open.fetch_sub(1, Ordering::Relaxed);
      warn!(hub.log, "caller turned away"; "connections" => most);
      turn_away(stream);
      continue;
    }
    let (hub, counted) = (hub.clone(), open.clone());
    let builder = thread::Builder::new()
      .name("caller".into())
      .stack_size(STACK);
    let spawned = builder.spawn(move || {
      serve(&hub, stream);
      counted.fetch_sub(1, Ordering::Relaxed);
    });
    if spawned.is_err() {
      open.fetch_sub(1, Ordering::Relaxed);
    }
  }
}

fn turn_away(stream: TcpStream) {
  let refusal = Refusal {
    reason: Reason::QueueFull,
    verdict: Verdict::NotRun,
    retry_after: Some(UNCONFIGURED_MS),
  };
  if let Ok(mut socket) = Socket::accept(stream) {
    // A caller that does not take even this is owed nothing more.
    let _ = socket.try_write(&relay::refusal_answer(&refusal, false));
  }
}

fn serve(hub: &Hub, stream: TcpStream) {
  let (Ok(mut socket), Ok(mailbox)) = (Socket::accept(stream), Mailbox::open()) else {
    return;
  };
  let mailbox = Arc::new(mailbox);
  let mut first = true;
  loop {
    let begun = begin(hub, &mut socket, std::mem::take(&mut first));
    match begun.and_then(|begun| begun.then(|| read(hub, &mut socket)).transpose()) {
      Ok(Some((head, body, arrived))) => {
        hub.active.fetch_add(1, Ordering::Relaxed);
        let then = answer(hub, &mailbox, &mut socket, head, body, arrived);
        hub.active.fetch_sub(1, Ordering::Relaxed);
        match then {
          Then::Keep => {}
          Then::Close => return close(socket),
          Then::Reset => return reset(hub, socket),
        }
      }
      Ok(None) | Err(Stop::Closed) => return,
      Err(Stop::Answer(status, text)) => {
        info!(hub.log, "request declined"; "status" => status, "why" => &text);
        let answer = error_answer(status, &text);
        // Whoever sent what cannot be read may not read this either.
        let _ = socket.write_all(&answer, Moment::now() + ANSWER_TIME);
        return close(socket);
      }
    }
  }
}

/// Closes so that what was written still arrives: unread bytes would reset the
/// connection.
fn close(mut socket: Socket) {
  // A connection that has ended already needs no shutdown.
  let _ = socket.stream.shutdown(std::net::Shutdown::Write);
  while let Ok(Fill::Data) = socket.fill() {
    socket.input.clear();
  }
}

/// Ends a connection so that its last answer does not look whole.
fn reset(hub: &Hub, socket: Socket) {
  if let Err(error) = socket.reset() {
    warn!(hub.log, "connection not reset"; "error" => %error);
  }
}

fn bounds(hub: &Hub) -> Bounds {
  let state = hub.state();
  state
    .deployment
    .as_ref()
    .map(|deployment| deployment.bounds)
    .unwrap_or_default()
}

/// Waits for the next request's first byte; false when the connection is to end. A
/// planned stop ends connections at rest, but a balancer that does not know of it
/// yet still sends new ones.
fn begin(hub: &Hub, socket: &mut Socket, first: bool) -> Result<bool, Stop> {
  let rests = Moment::now();
  let mut idle = rests + bounds(hub).idle_time;
  while socket.input.is_empty() {
    let stopping = hub.stopping.load(Ordering::Relaxed);
    if stopping && !first {
      return Ok(false);
    }
    let until = match stopping {
      true => idle.min(Moment::now() + LATE_CALLER),
      false => idle,
    };
    let stop = (!stopping).then_some((&hub.stop_bell as _, Interest::Read));
    let [called, stopped] = wait([Some((&socket.stream as _, Interest::Read)), stop], until)?;
    if called {
      if socket.fill()? == Fill::Eof {
        return Ok(false);
      }
    } else if !stopped {
      // A deployment that came meanwhile may allow a longer rest.
      let newest = rests + bounds(hub).idle_time;
      if stopping || newest <= idle {
        return Ok(false);
      }
      idle = newest;
    }
  }
  Ok(true)
}

/// Reads a request that has begun, within the bounds that are in force by now.
fn read(hub: &Hub, socket: &mut Socket) -> Result<(Request, Vec<u8>, u64), Stop> {
  let arrived = hub.now();
  let bounds = bounds(hub);
  let head = read_head(socket, &bounds)?;
  let body = read_body(socket, &head, &bounds)?;
  Ok((head, body, arrived))
}

fn bad(fault: Error) -> Stop {
  Stop::Answer(400, fault.0)
}

fn late(error: io::Error, what: &str) -> Stop {
  match error.kind() {
    io::ErrorKind::TimedOut => Stop::Answer(408, format!("{what}: not whole in time")),
    _ => Stop::Closed,
  }
}

fn read_head(socket: &mut Socket, bounds: &Bounds) -> Result<Request, Stop> {
  let until = Moment::now() + bounds.head_time;
  loop {
    // An empty line before a request is allowed.
    while socket.input.starts_with(b"\r\n") {
      socket.input.drain(..2);
    }
    if let Some((head, length)) = Request::parse(&socket.input).map_err(bad)? {
      if length > bounds.head_bytes {
        return Err(large_head(bounds));
      }
      socket.input.drain(..length);
      return Ok(head);
    }
    if socket.input.len() > bounds.head_bytes {
      return Err(large_head(bounds));
    }
    let filled = socket.fill_by(until);
    if filled.map_err(|error| late(error, "head"))? == Fill::Eof {
      return Err(Stop::Closed);
    }
  }
}

fn large_head(bounds: &Bounds) -> Stop {
  Stop::Answer(431, format!("head: more than {} bytes", bounds.head_bytes))
}

fn read_body(socket: &mut Socket, head: &Request, bounds: &Bounds) -> Result<Vec<u8>, Stop> {
  let framing = head.framing().map_err(bad)?;
  let large = || Stop::Answer(413, format!("body: more than {} bytes", bounds.body_bytes));
  if matches!(framing, Framing::Length(length) if length > bounds.body_bytes as u64) {
    return Err(large());
  }
  let mut body = Decoder::new(framing);
  let mut bytes = Vec::new();
  let until = Moment::now() + BODY_TIME;
  if head.headers.has_token("expect", "100-continue")
    && !body.is_complete()
    && socket.input.is_empty()
  {
    socket.write_all(b"HTTP/1.1 100 Continue\r\n\r\n", until)?;
  }
  loop {
    body.decode(&mut socket.input, &mut bytes).map_err(bad)?;
    if bytes.len() > bounds.body_bytes {
      return Err(large());
    }
    if body.is_complete() {
      return Ok(bytes);
    }
    let filled = socket.fill_by(until);
    if filled.map_err(|error| late(error, "body"))? == Fill::Eof {
      return Err(Stop::Closed);
    }
  }
}

/// The deployment in force, once what is kept from servers was read too: a request that crashes
/// them would reach one before.
fn known_deployment(hub: &Hub) -> Option<Arc<Deployment>> {
  let state = hub.state();
  let read = state.records_read;
  state.deployment.clone().filter(|_| read)
}

/// Answers a request.
fn answer(
  hub: &Hub,
  mailbox: &Arc<Mailbox>,
  socket: &mut Socket,
  head: Request,
  body: Vec<u8>,
  arrived: u64,
) -> Then {
  let deployment = known_deployment(hub);
  let keep = head.keep_alive();
  let Some(deployment) = deployment else {
    let refusal = Refusal {
      reason: Reason::PlatformUnavailable,
      verdict: Verdict::NotRun,
      retry_after: Some(UNCONFIGURED_MS),
    };
    info!(hub.log, "refused"; "request" => head.headers.get(hub.dialect.request_id),
      "reason" => refusal.reason.as_str(), "why" => "no configuration is known");
    return own(socket, &relay::refusal_answer(&refusal, keep), keep);
  };
  let host = head.headers.get("host").unwrap_or_default();
  let Some(route) = route::find(&deployment.routes, host, head.path()) else {
    info!(hub.log, "no route"; "request" => head.headers.get(hub.dialect.request_id),
      "host" => host, "path" => head.path(), "version" => deployment.version);
    let text = format!("route: none for `{host}{}`", head.path());
    return own(socket, &error_answer(404, &text), keep);
  };
  let caller = match caller(hub, &deployment, route, &head) {
    Ok(caller) => caller,
    Err(refusal) => {
      info!(hub.log, "refused"; "request" => head.headers.get(hub.dialect.request_id),
        "route" => &route.name, "reason" => refusal.reason.as_str(), "verdict" => "not-run",
        "version" => deployment.version, "waited_ms" => 0,
        "keys_age_ms" => hub.gates.deployments.sure_age().map(|age| age.as_millis() as u64));
      hub.measures.refusal(&refusal);
      return own(socket, &relay::refusal_answer(&refusal, keep), keep);
    }
  };
  let incoming = Incoming {
    route: route.clone(),
    head,
    body,
    arrived,
    caller,
  };
  relay::serve(hub, mailbox, socket, &incoming)
}

/// Who sends a request, where that is to be known; a refusal otherwise.
fn caller(
  hub: &Hub,
  deployment: &Deployment,
  route: &Route,
  head: &Request,
) -> Result<Option<Caller>, Refusal> {
  let Some(book) = &deployment.customers else {
    return Ok(None);
  };
  let caller = customer::caller(&head.headers, hub.dialect.token_usage, book);
  if route.public {
    // A key that counts is its customer's all the same.
    return Ok(caller.ok().filter(|_| hub.keys_sure()));
  }
  if !hub.keys_sure() {
    return Err(Refusal {
      reason: Reason::KeysUnsure,
      verdict: Verdict::NotRun,
      retry_after: Some(UNSURE_MS),
    });
  }
  caller.map(Some).map_err(|_| Refusal {
    reason: Reason::KeyUnknown,
    verdict: Verdict::NotRun,
    retry_after: None,
  })
}

fn own(socket: &mut Socket, answer: &[u8], keep: bool) -> Then {
  let written = socket.write_all(answer, Moment::now() + ANSWER_TIME);
  match keep && written.is_ok() {
    true => Then::Keep,
    false => Then::Close,
  }
}

fn error_answer(status: u16, text: &str) -> Vec<u8> {
  let body = serde_json::json!({ "error": {
    "type": "invalid_request", "message": text, "verdict": "not-run" } });
  let body = body.to_string();
  let mut head = Response {
    status,
    reason: "Declined".into(),
    minor: 1,
    headers: Headers::default(),
  };
  head.headers.set("Content-Type", "application/json");
  let mut bytes = head.encode(Framing::Length(body.len() as u64), status == 404);
  bytes.extend_from_slice(body.as_bytes());
  bytes
}
