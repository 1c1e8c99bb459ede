//! Carries tunnels of other instances.

use super::{
  ASK, CHECK_TIMEOUT, MAX_HEAD_BYTES, OPEN, SERVER_CONNECT_TIMEOUT, STATUS_UNAVAILABLE,
  STATUS_UNREACHABLE,
  pipe::{self, End},
};
use crate::{
  backend::{self, Backend},
  clock::Moment,
  counter, essential,
  http::{Request, Response},
  hub::Hub,
  life::Life,
  liveness::{self, Liveness, Server},
  socket::{Fill, Socket},
};
use slog::{info, warn};
use socket2::{Domain, Socket as RawSocket, Type};
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

/// Maximum number of tunnels. Each takes a thread, two descriptors and up to 64 KiB.
const MAX_TUNNELS: usize = 128;
/// Maximum number of connections, including those that have not opened their tunnel yet.
const MAX_CONNECTIONS: usize = 2 * MAX_TUNNELS;
/// Longest time that a tunnel stays open.
const MAX_REMAINING: Duration = Duration::from_secs(600);
/// So many own requests take away one tunnel: callers of this instance come first.
const REQUESTS_PER_TUNNEL: usize = 4;
const STACK_BYTES: usize = 64 << 10;
/// Connections that wait to be accepted.
const BACKLOG: i32 = 128;
/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time limit for the head that opens a tunnel.
const HEAD_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which a tunnel outlasts its request's deadline; its opener ends it at the deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(500);

/// The head that opens a tunnel or asks about a server.
struct Opening {
  asks: bool,
  server: String,
  request: String,
  remaining: Duration,
}

/// Binds the address at which other instances open tunnels. A free port is chosen if its port is 0.
pub(crate) fn bind(hub: &Arc<Hub>, address: SocketAddr) -> io::Result<SocketAddr> {
  let listener = match address.port() {
    0 => listen_on_free_port(address)?,
    _ => crate::web::listen(&address.to_string())?,
  };
  let address = listener.local_addr()?;
  let hub = hub.clone();
  let builder = thread::Builder::new().stack_size(STACK_BYTES);
  let log = hub.log.clone();
  essential::spawn(builder, "tunnels", &log, move || accept(&hub, &listener))?;
  Ok(address)
}

/// Listens without `SO_REUSEADDR`, with which the kernel also gives out ports that another socket
/// keeps for a process that starts later.
fn listen_on_free_port(address: SocketAddr) -> io::Result<TcpListener> {
  let socket = RawSocket::new(Domain::for_address(address), Type::STREAM, None)?;
  socket.bind(&address.into())?;
  socket.listen(BACKLOG)?;
  Ok(socket.into())
}

fn accept(hub: &Arc<Hub>, listener: &TcpListener) {
  let open_tunnels = Arc::new(AtomicUsize::new(0));
  loop {
    let (stream, from) = match listener.accept() {
      Ok(accepted) => accepted,
      Err(error) => {
        warn!(hub.log, "accept of a tunnel failed"; "error" => %error);
        thread::sleep(ACCEPT_RETRY_DELAY);
        continue;
      }
    };
    if open_tunnels.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
      warn!(hub.log, "connection for a tunnel rejected: limit reached"; "from" => %from,
        "connections" => MAX_CONNECTIONS);
      continue;
    }
    let (tunnel_hub, count) = (hub.clone(), open_tunnels.clone());
    let builder = thread::Builder::new()
      .name("tunnel".into())
      .stack_size(STACK_BYTES);
    let spawned = builder.spawn(move || {
      let (_open, others) = counter::Guard::add(&count);
      serve(&tunnel_hub, stream, from, others);
    });
    if let Err(error) = spawned {
      warn!(hub.log, "no thread for a tunnel"; "from" => %from, "error" => %error);
    }
  }
}

fn serve(hub: &Hub, stream: TcpStream, from: SocketAddr, others: usize) {
  let started = Moment::now();
  let Ok(mut peer) = Socket::accept_peer(stream) else {
    return;
  };
  let opening = match read_opening(hub, &mut peer) {
    Ok(opening) => opening,
    Err(error) => {
      warn!(hub.log, "tunnel was not opened"; "from" => %from, "error" => %error);
      return;
    }
  };
  if opening.asks {
    let (status, why) = check(hub, &opening);
    info!(hub.log, "asked whether a server runs"; "request" => &opening.request,
      "server" => &opening.server, "from" => %from, "status" => status, "why" => why);
    return answer(&mut peer, status, why);
  }
  let Some(_active) = hub.active.begin() else {
    return;
  };
  let mut server = match connect(hub, &opening, others) {
    Ok(server) => server,
    Err((status, why)) => {
      info!(hub.log, "tunnel declined"; "request" => &opening.request, "server" => &opening.server,
        "from" => %from, "status" => status, "why" => why, "tunnels" => others);
      return answer(&mut peer, status, why);
    }
  };
  // A response that the close of its connection delimits must not look complete unless it is.
  set_reset_on_close(hub, &peer, true);
  answer(&mut peer, 200, "connected");
  let until = started + opening.remaining + DEADLINE_MARGIN;
  let end = pipe::run(&mut peer, &mut server, until);
  if end == End::Finished {
    set_reset_on_close(hub, &peer, false);
    if let Err(error) = pipe::finish(&mut peer, until) {
      info!(hub.log, "end of a tunnel was not awaited"; "request" => &opening.request,
        "from" => %from, "error" => %error);
    }
  }
  info!(hub.log, "tunnel ended"; "request" => &opening.request, "server" => &opening.server,
    "from" => %from, "end" => end.as_str(), "took_ms" => started.elapsed().as_millis() as u64);
}

fn set_reset_on_close(hub: &Hub, peer: &Socket, reset: bool) {
  if let Err(error) = peer.set_reset_on_close(reset) {
    warn!(hub.log, "connection option not set"; "reset" => reset, "error" => %error);
  }
}

fn read_opening(hub: &Hub, peer: &mut Socket) -> Result<Opening, String> {
  let until = Moment::now() + HEAD_TIMEOUT;
  let head = loop {
    if let Some((head, length)) = Request::parse(&peer.input).map_err(|error| error.0)? {
      peer.input.drain(..length);
      break head;
    }
    let closed = peer.fill_by(until).map_err(|error| error.to_string())? == Fill::Eof;
    if closed || peer.input.len() > MAX_HEAD_BYTES {
      return Err(format!("head: {} bytes without an end", peer.input.len()));
    }
  };
  let asks = head.method == ASK;
  if !asks && head.method != OPEN {
    return Err(format!("method: `{}` opens no tunnel", head.method));
  }
  let header = |name: &str| {
    let value = head.headers.get(name);
    value.ok_or_else(|| format!("header: `{name}` is missing"))
  };
  let dialect = &hub.dialect;
  let remaining = header(dialect.deadline_ms)?;
  let remaining_ms: u64 = remaining
    .parse()
    .map_err(|_| format!("deadline: `{remaining}` is not a number"))?;
  Ok(Opening {
    asks,
    server: header(dialect.expected_server)?.into(),
    request: header(dialect.request_id)?.into(),
    remaining: Duration::from_millis(remaining_ms).min(MAX_REMAINING),
  })
}

/// Returns the status and the reason of the answer to whether a server runs. One that is leaving
/// counts as long as it responds.
fn check(hub: &Hub, opening: &Opening) -> (u16, &'static str) {
  let Some((key, life, address)) = known_server(hub, &opening.server) else {
    return (STATUS_UNAVAILABLE, "server unknown");
  };
  let server = Server {
    key,
    id: &opening.server,
    life,
    address,
    request: &opening.request,
  };
  let until = Moment::now() + opening.remaining.min(CHECK_TIMEOUT);
  match liveness::check(hub, &server, until) {
    Liveness::Running => (200, "runs"),
    Liveness::Ended => (STATUS_UNREACHABLE, "connection refused"),
    Liveness::Unknown => (STATUS_UNAVAILABLE, "no answer"),
  }
}

/// Connects to the server of a tunnel; otherwise returns the status of the answer and its reason.
fn connect(hub: &Hub, opening: &Opening, others: usize) -> Result<Socket, (u16, &'static str)> {
  if hub.stopping.load(Ordering::Relaxed) {
    return Err((STATUS_UNAVAILABLE, "stopping"));
  }
  let own_requests = hub.active.count().saturating_sub(others + 1);
  if others + own_requests / REQUESTS_PER_TUNNEL >= MAX_TUNNELS {
    return Err((STATUS_UNAVAILABLE, "too many tunnels"));
  }
  let Some((key, address)) = server_address(hub, &opening.server) else {
    return Err((STATUS_UNREACHABLE, "server unknown or leaving"));
  };
  let Some(timeout) = hub.paths.direct_timeout(key, hub.now()) else {
    return Err(unreached(hub));
  };
  match Socket::connect(address, timeout.min(SERVER_CONNECT_TIMEOUT)) {
    Ok(socket) => {
      hub.record_path(key, &opening.server);
      hub.measures.record_connection();
      Ok(socket)
    }
    Err(_) => {
      hub.paths.record_failure(key, hub.now());
      Err(unreached(hub))
    }
  }
}

fn unreached(hub: &Hub) -> (u16, &'static str) {
  match hub.paths.is_partitioned() {
    true => (STATUS_UNAVAILABLE, "no server reached"),
    false => (STATUS_UNREACHABLE, "server not reached"),
  }
}

/// A server by its id, with its life and address; `None` if another one is known there, or none.
fn known_server(hub: &Hub, id: &str) -> Option<(backend::Key, Life, SocketAddr)> {
  let state = hub.state();
  let key = *state.by_id.get(id)?;
  let spec = &state.backends.get(key)?.spec;
  let (life, address) = (spec.life(), spec.address);
  (!state.has_other_server(address, life)).then_some((key, life, address))
}

fn server_address(hub: &Hub, id: &str) -> Option<(backend::Key, SocketAddr)> {
  let state = hub.state();
  let key = *state.by_id.get(id)?;
  let backend: &Backend = state.backends.get(key)?;
  (!backend.is_leaving()).then_some((key, backend.spec.address))
}

/// Answers the head that opens a tunnel.
fn answer(peer: &mut Socket, status: u16, reason: &str) {
  let head = Response {
    status,
    reason: reason.into(),
    minor: 1,
    headers: Default::default(),
  };
  let bytes = head.encode(crate::http::Framing::Empty, true);
  // Best effort: an opener that gets no answer tries another instance.
  let _ = peer.write_all(&bytes, Moment::now() + HEAD_TIMEOUT);
}
