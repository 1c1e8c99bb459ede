//! Whether a server outlives a response that ended with its connection.
//!
//! The server has to answer a request that is sent after the end. That its port accepts connections
//! shows nothing: a process that ends in order closes its port last, and the system accepts
//! connections for it until then.

use super::{CLOSING_TIME, Liveness, PROBE_TIMEOUT, Probe, probe};
use crate::{
  backend,
  clock::Moment,
  hub::Hub,
  life::Life,
  outbound::{self, Answer, Call},
  socket::Socket,
  statement::MISDIRECTED_REQUEST,
  upstream,
};
use slog::info;
use std::{io, mem, net::SocketAddr, thread, time::Duration};

/// Time limit of a check: a health check may wait for a place at its server.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// A process that ends in order closes its port within this time after its connections.
const SHUTDOWN_TIME: Duration = Duration::from_millis(300);
/// Interval at which a server that closes new connections is asked again.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum size of the body of an answer.
const MAX_ANSWER_BYTES: usize = 16 << 10;

/// The server of a response that ended with its connection.
#[derive(Debug)]
pub(crate) struct Server<'a> {
  pub(crate) key: backend::Key,
  pub(crate) id: &'a str,
  pub(crate) life: Life,
  pub(crate) address: SocketAddr,
  /// Id of the request, for the log.
  pub(crate) request: &'a str,
}

/// What a server replies to a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reply {
  /// It is well, or well enough to decline for want of a place.
  Well,
  /// It is leaving or not well. So is a process that is about to end.
  Unwell,
  /// Another server has the address.
  Other,
  /// Its machine refuses connections.
  Refused,
  /// The connection was closed without an answer.
  Closed,
  /// The connection could not be established in time.
  Unreached,
  Silent,
}

impl Reply {
  fn liveness(self) -> Liveness {
    match self {
      Self::Well | Self::Unwell => Liveness::Running,
      Self::Refused => Liveness::Ended,
      Self::Other | Self::Closed | Self::Unreached | Self::Silent => Liveness::Unknown,
    }
  }

  /// Whether a process that is about to end may reply so.
  fn may_change(self) -> bool {
    matches!(self, Self::Well | Self::Unwell | Self::Closed)
  }
}

struct Check<'a> {
  hub: &'a Hub,
  server: &'a Server<'a>,
  health_path: String,
  until: Moment,
}

/// Checks a server right after a response of it has ended with its connection.
pub(crate) fn check(hub: &Hub, server: &Server, until: Moment) -> Liveness {
  let started = Moment::now();
  hub.ends.record(server.key, started);
  let health_path = hub.state().health_path(server.key);
  let Some(health_path) = health_path else {
    return check_port(hub, server);
  };
  let check = Check {
    hub,
    server,
    health_path,
    until,
  };
  let (reply, connections) = check.run(started);
  let liveness = match reply.liveness() {
    Liveness::Running if check.is_replaced() => Liveness::Unknown,
    liveness => liveness,
  };
  info!(hub.log, "checked whether a server outlives its response"; "request" => server.request,
    "server" => server.id, "reply" => format!("{reply:?}"), "connections" => connections,
    "result" => format!("{liveness:?}"), "took_ms" => started.elapsed().as_millis() as u64);
  liveness
}

/// Checks whether the port of a server accepts connections.
pub(crate) fn check_port(hub: &Hub, server: &Server) -> Liveness {
  match probe(server.address) {
    Probe::Accepts(socket) => {
      hub.measures.record_connection();
      hub.keep_connection(server.key, socket, None);
      Liveness::Running
    }
    Probe::Refuses => Liveness::Ended,
    Probe::Silent => {
      hub.paths.record_failure(server.key, hub.now());
      Liveness::Unknown
    }
  }
}

impl Check<'_> {
  /// Returns the last reply, and on how many new connections the server was asked: again if its process
  /// might have been about to end.
  fn run(&self, ended_at: Moment) -> (Reply, u32) {
    // A process that ends closes its connections one after the other.
    thread::sleep(CLOSING_TIME);
    let kept = self.hub.pool.take_kept(self.server.key, ended_at);
    let mut is_doubtful = kept.lost;
    if let Some(socket) = kept.socket {
      // A connection from before the end belongs to the same process.
      match self.ask(socket) {
        Reply::Well if !is_doubtful => return (Reply::Well, 0),
        Reply::Other => return (Reply::Other, 0),
        _ => is_doubtful = true,
      }
    }
    let settled_at = ended_at + SHUTDOWN_TIME;
    let mut count = 0;
    loop {
      let reply = self.ask_anew();
      count += 1;
      is_doubtful |= reply != Reply::Well;
      is_doubtful |= self.all_ended(ended_at);
      let now = Moment::now();
      if !is_doubtful || !reply.may_change() || now >= settled_at {
        return (reply, count);
      }
      if settled_at >= self.until {
        return (Reply::Silent, count);
      }
      let until_settled = settled_at.saturating_duration_since(now);
      thread::sleep(match reply {
        Reply::Closed => until_settled.min(RETRY_INTERVAL),
        _ => until_settled,
      });
    }
  }

  /// Whether all sends of this instance to the server have ended at the same time, and not only one.
  fn all_ended(&self, at: Moment) -> bool {
    let key = self.server.key;
    let ended = self.hub.ends.count(key, at);
    let state = self.hub.state();
    let running = state.backends.get(key).map_or(0, |backend| backend.running);
    ended > 1 && ended >= running as usize
  }

  /// Asks on a new connection.
  fn ask_anew(&self) -> Reply {
    match Socket::connect(self.server.address, PROBE_TIMEOUT) {
      Ok(socket) => {
        self.hub.measures.record_connection();
        self.ask(socket)
      }
      Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => Reply::Refused,
      Err(_) => {
        let hub = self.hub;
        hub.paths.record_failure(self.server.key, hub.now());
        Reply::Unreached
      }
    }
  }

  /// Asks on a connection, which is kept for the next send if it can carry one.
  fn ask(&self, mut socket: Socket) -> Reply {
    let dialect = &self.hub.dialect;
    let remaining = self.until.saturating_duration_since(Moment::now());
    let remaining_ms = remaining.as_millis().max(1).to_string();
    let call = Call {
      method: "GET",
      target: &self.health_path,
      headers: &[
        (dialect.expected_server, self.server.id),
        (dialect.deadline_ms, &remaining_ms),
      ],
      body: &[],
      max_answer_bytes: MAX_ANSWER_BYTES,
      connect_timeout: PROBE_TIMEOUT,
      read_timeout: remaining,
      total_timeout: remaining,
      send_before: None,
    };
    let id_header = Some(dialect.request_id);
    // Answers to health checks may echo no id, and surplus responses to requests do.
    let earlier = mem::take(&mut socket.carried);
    let result = outbound::exchange(&mut socket, self.server.address, &call, id_header);
    socket.carried.prepend(earlier);
    match result {
      Ok((answer, reusable)) => {
        let idle = upstream::idle_timeout(&answer.headers);
        let socket = Some(socket).filter(|_| reusable);
        self.hub.keep_connection(self.server.key, socket, idle);
        self.classify(&answer)
      }
      Err(error) if error.kind() == io::ErrorKind::TimedOut => Reply::Silent,
      // Bytes that are no response.
      Err(error) if error.kind() == io::ErrorKind::Other => Reply::Unwell,
      Err(_) => Reply::Closed,
    }
  }

  fn classify(&self, answer: &Answer) -> Reply {
    let dialect = &self.hub.dialect;
    let id = answer.headers.get(dialect.server);
    if answer.status == MISDIRECTED_REQUEST || id.is_some_and(|id| id != self.server.id) {
      return Reply::Other;
    }
    let is_full = answer.headers.get(dialect.not_run).is_some();
    match (200..300).contains(&answer.status) || is_full {
      true => Reply::Well,
      false => Reply::Unwell,
    }
  }

  /// Whether another server has the address by now, or a later life of the same one.
  fn is_replaced(&self) -> bool {
    let state = self.hub.state();
    state.has_other_server(self.server.address, self.server.life)
  }
}
