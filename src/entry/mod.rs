//! Caller port of a routing instance: accepts connections, reads requests and finds their routes.

mod read;

use crate::{
  activity::Active,
  admission::{Admission, Cause, Overload},
  clock::Moment,
  customer::{self, Caller},
  deployment::{Bounds, Deployment},
  essential,
  http::{Headers, Request, Response},
  hub::{Hub, Mailbox},
  reader::{self, Book},
  refusal::{Reason, Refusal},
  relay::{self, Disposition, Incoming},
  route::{self, Route},
  socket::{self, Fill, Interest, Socket, wait},
  verdict::Verdict,
  web,
};
use read::{Full, Partial, ReadError, Received, Rejection, read_request};
use slog::{info, warn};
use std::{
  io,
  net::{SocketAddr, TcpListener, TcpStream},
  sync::Arc,
  thread,
  time::Duration,
};

/// Stack size of a connection's thread.
const STACK_BYTES: usize = 128 << 10;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time limit for writing a short response that this instance creates itself.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time limit for the first byte on a connection that is accepted during a planned stop, and for the
/// next request on one whose last response did not say that it is closed.
const STOPPING_IDLE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Retry delay for a request that is refused because no configuration is known.
const UNCONFIGURED_RETRY_MS: u64 = 300;

/// Retry delay for a request that has not arrived in full when a planned stop refuses requests.
const STOPPING_RETRY_MS: u64 = 500;
/// Retry delay for a request whose key could not be checked. By then, the load balancer has taken
/// this instance out of service.
const UNVERIFIED_KEY_RETRY_MS: u64 = 1_000;

/// What a connection's thread runs.
pub type Task = Box<dyn FnOnce() + Send>;

/// Binds the caller port and serves at most `max_connections` connections at once.
pub fn bind(hub: &Arc<Hub>, address: &str, max_connections: usize) -> io::Result<SocketAddr> {
  bind_with(hub, address, max_connections, |builder, task| {
    builder.spawn(task).map(drop)
  })
}

/// Like `bind`, with a function that starts the threads of connections.
pub fn bind_with(
  hub: &Arc<Hub>,
  address: &str,
  max_connections: usize,
  start: impl Fn(thread::Builder, Task) -> io::Result<()> + Send + 'static,
) -> io::Result<SocketAddr> {
  let listener = web::listen(address)?;
  let address = listener.local_addr()?;
  hub
    .admission
    .get_or_init(|| Admission::new(max_connections));
  let hub = hub.clone();
  let (builder, log) = (thread::Builder::new(), hub.log.clone());
  essential::spawn(builder, "accept", &log, move || {
    accept(&hub, &listener, &start)
  })?;
  Ok(address)
}

fn accept(
  hub: &Arc<Hub>,
  listener: &TcpListener,
  start: &impl Fn(thread::Builder, Task) -> io::Result<()>,
) {
  let mut overload = Overload::default();
  loop {
    let stream = match listener.accept() {
      Ok((stream, _)) => stream,
      Err(error) => {
        warn!(hub.log, "accept failed"; "error" => %error);
        thread::sleep(ACCEPT_RETRY_DELAY);
        continue;
      }
    };
    let Some(admission) = hub.admission.get() else {
      continue;
    };
    // The caller of a connection that is closed here sees that its request was not read, and may send
    // it to another instance.
    let waited_ms = socket::time_unread(&stream).as_millis() as u64;
    let admitted = admission.admit_after(waited_ms, || hub.shortest_objective_ms());
    let arrived_at = hub.now().saturating_sub(waited_ms);
    let admitted = admitted.and_then(|()| spawn(hub, admission, stream, arrived_at, start));
    record_admission(hub, admission, &mut overload, admitted);
  }
}

/// Records whether a connection was accepted; logs the first one of an overload that was closed, and
/// how many there were in the end.
fn record_admission(
  hub: &Hub,
  admission: &Admission,
  overload: &mut Overload,
  admitted: Result<(), Cause>,
) {
  let (now, open) = (hub.now(), admission.open());
  let active = || hub.active.count();
  let Err(cause) = admitted else {
    if let Some(ended) = overload.record_accepted(now) {
      info!(hub.log, "connections are accepted again"; "closed" => ended.closed,
        "after_ms" => ended.after_ms, "connections" => open, "active" => active());
    }
    return;
  };
  hub.measures.record_closed_unread(cause);
  admission.record_closed(now);
  if overload.record_closed(now) {
    warn!(hub.log, "new connections are closed unread"; "cause" => cause.as_str(),
      "connections" => open, "active" => active(), "window" => admission.window());
  }
}

/// Serves an admitted connection in a thread; closes it if none can be started.
fn spawn(
  hub: &Arc<Hub>,
  admission: &Admission,
  stream: TcpStream,
  arrived_at: u64,
  start: &impl Fn(thread::Builder, Task) -> io::Result<()>,
) -> Result<(), Cause> {
  let hub = hub.clone();
  let builder = thread::Builder::new()
    .name("caller".into())
    .stack_size(STACK_BYTES);
  let task = move || {
    let _open = Open(&hub);
    record_start(&hub, arrived_at);
    serve(&hub, stream);
  };
  start(builder, Box::new(task)).map_err(|_| {
    admission.cancel();
    Cause::NoThread
  })
}

/// A connection whose thread runs; releases its place, however the thread ends.
struct Open<'a>(&'a Hub);

impl Drop for Open<'_> {
  fn drop(&mut self) {
    if let Some(admission) = self.0.admission.get() {
      admission.release();
    }
  }
}

fn record_start(hub: &Hub, arrived_at: u64) {
  let now = hub.now();
  hub
    .measures
    .record_start_delay(Duration::from_millis(now - arrived_at));
  if let Some(admission) = hub.admission.get() {
    admission.record_start(arrived_at, now, || hub.shortest_objective_ms());
  }
}

fn serve(hub: &Hub, stream: TcpStream) {
  let (Ok(mut socket), Ok(mailbox)) = (Socket::accept(stream), Mailbox::new()) else {
    return;
  };
  let mailbox = Arc::new(mailbox);
  let mut first = true;
  // Held until the next request if the response before it has not said that the connection closes.
  let mut kept = None;
  loop {
    let ready = wait_for_request(hub, &mut socket, std::mem::take(&mut first));
    let Ok(Some(active)) = ready else {
      return;
    };
    drop(kept.take());
    match read_request(hub, &mut socket) {
      Ok(received) => match respond(hub, &mailbox, &mut socket, received) {
        Disposition::Keep => {}
        Disposition::Close => return close(socket),
        Disposition::Reset => return reset(hub, socket),
      },
      Err(ReadError::Closed) => return,
      Err(ReadError::Full(full)) => {
        let keep_alive = !full.partial && !hub.closes(&socket);
        let written = refuse_full(hub, &mut socket, &full, keep_alive);
        if written != Disposition::Keep {
          discard_input(hub, &mut socket);
          return close(socket);
        }
      }
      Err(ReadError::Stopping(partial)) => {
        refuse_partial(hub, &mut socket, &partial);
        discard_input(hub, &mut socket);
        return close(socket);
      }
      Err(ReadError::Rejected(rejection)) => {
        info!(hub.log, "request rejected"; "status" => rejection.status,
          "why" => &rejection.message);
        let response = error_response(&rejection, false);
        // Best effort: the sender of an invalid request may not read the response either.
        let _ = socket.write_all(&response, Moment::now() + RESPONSE_TIMEOUT);
        return close(socket);
      }
    }
    kept = hub.is_stopping().then_some(active);
  }
}

/// Closes a connection so that everything written still arrives. Closing it with unread input would
/// reset it.
fn close(mut socket: Socket) {
  // A connection that has already ended needs no shutdown.
  let _ = socket.stream.shutdown(std::net::Shutdown::Write);
  while let Ok(Fill::Data) = socket.fill() {
    socket.input.clear();
  }
}

/// Resets a connection so that its last response does not look complete.
fn reset(hub: &Hub, socket: Socket) {
  if let Err(error) = socket.reset() {
    warn!(hub.log, "connection reset failed"; "error" => %error);
  }
}

fn limits(hub: &Hub) -> Bounds {
  let state = hub.state();
  state
    .deployment
    .as_ref()
    .map(|deployment| deployment.bounds)
    .unwrap_or_default()
}

/// Waits for the first byte of the next request; returns `None` if the connection is to be closed.
/// A planned stop closes idle connections, but not at once: the next request may be on its way, and
/// the response to it says that the connection is closed. New connections are still served, because
/// a load balancer that does not know of the stop yet keeps opening them.
fn wait_for_request<'a>(
  hub: &'a Hub,
  socket: &mut Socket,
  first: bool,
) -> Result<Option<Active<'a>>, ReadError> {
  let idle_since = Moment::now();
  let mut idle_deadline = idle_since + limits(hub).idle_timeout;
  while socket.input.is_empty() {
    let stopping = hub.is_stopping();
    let deadline = match stopping {
      true => idle_deadline.min(stopping_deadline(hub, idle_since, first)),
      false => idle_deadline,
    };
    let stop = (!stopping).then_some((&hub.stop_waker as _, Interest::Read));
    let [readable, stopped] = wait(
      [Some((&socket.stream as _, Interest::Read)), stop],
      deadline,
    )?;
    if readable {
      // Begins before it is read: a request that the process does not answer stays unread.
      let Some(active) = hub.active.begin() else {
        return Ok(None);
      };
      match socket.fill()? {
        Fill::Data => return Ok(Some(active)),
        Fill::Eof => return Ok(None),
        Fill::Empty => {}
      }
    } else if !stopped {
      // A deployment that was received in the meantime may allow a longer idle time.
      let new_deadline = idle_since + limits(hub).idle_timeout;
      if stopping || new_deadline <= idle_deadline {
        return Ok(None);
      }
      idle_deadline = new_deadline;
    }
  }
  Ok(hub.active.begin())
}

/// Until when a planned stop leaves an idle connection open.
fn stopping_deadline(hub: &Hub, idle_since: Moment, first: bool) -> Moment {
  match hub.shutdown() {
    Some(shutdown) if !first => {
      let accept_until = hub.instant(shutdown.accept_until);
      accept_until.max(idle_since + STOPPING_IDLE_TIMEOUT)
    }
    _ => Moment::now() + STOPPING_IDLE_TIMEOUT,
  }
}

/// Refuses a request that does not fit into the bounds on bytes held.
fn refuse_full(hub: &Hub, socket: &mut Socket, full: &Full, keep_alive: bool) -> Disposition {
  let refusal = Refusal {
    reason: Reason::MemoryFull,
    verdict: Verdict::NotRun,
    retry_after: Some(reader::RETRY_MS),
    shortage: None,
  };
  hub.measures.record_refusal(&refusal);
  info!(hub.log, "refused"; "request" => &full.request, "reason" => refusal.reason.as_str(),
    "verdict" => refusal.verdict.as_str(), "bound" => full.scope.as_str(),
    "held_bytes" => hub.readers.get().map(Book::total), "partial" => full.partial);
  let response = relay::encode_refusal(&refusal, &full.method, keep_alive);
  write_response(socket, &response, keep_alive)
}

/// Refuses a request that has not arrived in full and that no server would get any more.
fn refuse_partial(hub: &Hub, socket: &mut Socket, partial: &Partial) {
  let refusal = Refusal {
    reason: Reason::Stopping,
    verdict: Verdict::NotRun,
    retry_after: Some(STOPPING_RETRY_MS),
    shortage: None,
  };
  hub.measures.record_refusal(&refusal);
  info!(hub.log, "refused"; "request" => &partial.request, "reason" => refusal.reason.as_str(),
    "verdict" => refusal.verdict.as_str(), "partial" => true);
  let response = relay::encode_refusal(&refusal, &partial.method, false);
  write_response(socket, &response, false);
}

/// Reads and discards the rest of a body, for a short time: closing a connection with unread input
/// would reset it, and its caller might not see the response.
fn discard_input(hub: &Hub, socket: &mut Socket) {
  let end_at = hub.shutdown().map(|shutdown| hub.instant(shutdown.end_at));
  let deadline = Moment::now() + RESPONSE_TIMEOUT;
  let deadline = end_at.map_or(deadline, |end_at| end_at.min(deadline));
  socket.input = Vec::new();
  while let Ok(Fill::Data | Fill::Empty) = socket.fill_by(deadline) {
    socket.input.clear();
    if Moment::now() >= deadline {
      return;
    }
  }
}

/// Returns the current deployment; `None` until the records of requests that crash servers have
/// been read, since without them such a request would be sent to a server.
fn known_deployment(hub: &Hub) -> Option<Arc<Deployment>> {
  let state = hub.state();
  let records_read = state.records_read;
  state.deployment.clone().filter(|_| records_read)
}

/// Responds to a request.
fn respond(
  hub: &Hub,
  mailbox: &Arc<Mailbox>,
  socket: &mut Socket,
  received: Received,
) -> Disposition {
  let Received {
    head,
    body,
    arrived,
    account,
  } = received;
  let deployment = known_deployment(hub);
  let keep_alive = hub.keeps_alive(&head) && !hub.closes(socket);
  let Some(deployment) = deployment else {
    let refusal = Refusal {
      reason: Reason::PlatformUnavailable,
      verdict: Verdict::NotRun,
      retry_after: Some(UNCONFIGURED_RETRY_MS),
      shortage: None,
    };
    info!(hub.log, "refused"; "request" => head.headers.get(hub.dialect.request_id),
      "reason" => refusal.reason.as_str(), "why" => "no configuration is known");
    return write_response(
      socket,
      &relay::encode_refusal(&refusal, &head.method, keep_alive),
      keep_alive,
    );
  };
  let host = head.headers.get("host").unwrap_or_default();
  let Some(route) = route::find(&deployment.routes, host, head.path()) else {
    info!(hub.log, "no route"; "request" => head.headers.get(hub.dialect.request_id),
      "host" => host, "path" => head.path(), "version" => deployment.version);
    let rejection = Rejection {
      status: 404,
      message: format!("route: none for `{host}{}`", head.path()),
      method: head.method.clone(),
    };
    return write_response(socket, &error_response(&rejection, keep_alive), keep_alive);
  };
  let caller = match caller(hub, &deployment, route, &head) {
    Ok(caller) => caller,
    Err(refusal) => {
      info!(hub.log, "refused"; "request" => head.headers.get(hub.dialect.request_id),
        "route" => &route.name, "reason" => refusal.reason.as_str(), "verdict" => "not-run",
        "version" => deployment.version, "waited_ms" => 0,
        "keys_age_ms" => hub.gates.deployments.guaranteed_age().map(|age| age.as_millis() as u64));
      hub.measures.record_refusal(&refusal);
      return write_response(
        socket,
        &relay::encode_refusal(&refusal, &head.method, keep_alive),
        keep_alive,
      );
    }
  };
  let incoming = Incoming {
    route: route.clone(),
    head,
    body,
    arrived_at: arrived,
    caller,
    account,
  };
  let customer = incoming.caller.map(|caller| caller.customer);
  if let (Some(account), Some(customer)) = (&incoming.account, customer)
    && let Err(scope) = account.assign(customer)
  {
    let request = incoming.head.headers.get(hub.dialect.request_id);
    let full = Full {
      method: incoming.head.method.clone(),
      request: request.map(str::to_string),
      scope,
      partial: false,
    };
    return refuse_full(hub, socket, &full, keep_alive);
  }
  relay::serve(hub, mailbox, socket, &incoming)
}

/// Identifies the caller of a request by its key. Returns `None` if there is no valid key and none
/// is required, a refusal if one is required.
fn caller(
  hub: &Hub,
  deployment: &Deployment,
  route: &Route,
  head: &Request,
) -> Result<Option<Caller>, Refusal> {
  let Some(customers) = &deployment.customers else {
    return Ok(None);
  };
  let caller = customer::authenticate(&head.headers, hub.dialect.token_usage, customers);
  if route.public {
    // A valid key identifies its customer on a public route as well.
    return Ok(caller.ok().filter(|_| hub.keys_fresh()));
  }
  if !hub.keys_fresh() {
    return Err(Refusal {
      reason: Reason::KeysUnsure,
      verdict: Verdict::NotRun,
      retry_after: Some(UNVERIFIED_KEY_RETRY_MS),
      shortage: None,
    });
  }
  caller.map(Some).map_err(|_| Refusal {
    reason: Reason::KeyUnknown,
    verdict: Verdict::NotRun,
    retry_after: None,
    shortage: None,
  })
}

fn write_response(socket: &mut Socket, response: &[u8], keep_alive: bool) -> Disposition {
  let written = socket.write_all(response, Moment::now() + RESPONSE_TIMEOUT);
  match keep_alive && written.is_ok() {
    true => Disposition::Keep,
    false => Disposition::Close,
  }
}

fn error_response(rejection: &Rejection, keep_alive: bool) -> Vec<u8> {
  let body = serde_json::json!({ "error": {
    "type": "invalid_request", "message": &rejection.message, "verdict": "not-run" } });
  let mut head = Response {
    status: rejection.status,
    reason: "Declined".into(),
    minor: 1,
    headers: Headers::default(),
  };
  head.headers.set("Content-Type", "application/json");
  head.encode_complete(&rejection.method, body.to_string().as_bytes(), keep_alive)
}
