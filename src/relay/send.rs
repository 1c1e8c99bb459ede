//! One send of a request to a server, and the head of the response.

use super::{Disposition, Outcome, Relay, STALLED, Stream, disconnected, outcome};
use crate::{
  clock::Moment,
  dispatch::{Attempt, End, Event},
  http::{Framing, Request, Response},
  limit,
  response::{self, Reader},
  socket::{Fill, Interest, Socket, wait},
  statement::{Hints, MISDIRECTED_REQUEST},
  tunnel, upstream,
};
use slog::{info, warn};
use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

/// A repeatable request is retried when its server has not responded within this many objectives.
const STALL_OBJECTIVES: u64 = 4;
/// Minimum time before such a retry.
const MIN_STALL_MS: u64 = 900;
/// A resumable stream is retried after a pause of this many allowed gaps: a sound server may be
/// silent for about a second.
const STALL_GAPS: u64 = 5;

/// Reads after the end of a request's time. A process that was suspended finds a response there.
const MAX_OVERDUE_READS: u32 = 64;
/// Interval at which a silent run is checked again after that.
const SILENCE_CHECK_MS: u64 = 100;

/// A connection to a server.
struct Connection {
  socket: Socket,
  /// The instance whose tunnel it is; `None` if it is direct.
  via: Option<SocketAddr>,
}

/// Whether a connection to a server can carry another request.
#[derive(Clone, Copy)]
pub(super) enum Reuse {
  No,
  /// Yes, with the time for which the server keeps it idle, if stated.
  Within(Option<Duration>),
}

/// How the writing of a request ended.
enum Written {
  Whole,
  /// The connection broke or ended. A response may have come before.
  Cut,
  /// The response came before the end of its request.
  Early(Response, Framing),
}

impl Relay<'_> {
  /// Sends the request once and forwards the response.
  pub(super) fn send(&mut self, attempt: &Attempt) -> Outcome {
    let once = !self.incoming.route.repeatable();
    let now = self.hub.now();
    if now >= self.deadline {
      return outcome(End::Unsent, "time over before it was sent");
    }
    let Ok(connection) = self.connect(attempt, once) else {
      return outcome(End::Unreached, "no connection");
    };
    self.sending.via = connection.via;
    if self.hub.now() >= self.deadline {
      return outcome(End::Unsent, "time over while the connection came up");
    }
    if self.poll_stalled() {
      self.release(connection.socket, attempt, Reuse::Within(None));
      return outcome(End::Withdrawn, "the earlier server continues the stream");
    }
    // New facts about the server may have arrived while the connection was established.
    if let Some(end) = self.hub.state().abort_reason(attempt) {
      return outcome(end, "overtaken by what became known of the server");
    }
    if let Some(end) = self.hub.key_rejection(self.incoming.caller.as_ref()) {
      return outcome(end, "key taken away, or not surely known");
    }
    self.events.discard_partial();
    self.sending.sent_at = self.hub.now();
    let result = self.exchange(connection.socket, attempt);
    result.unwrap_or_else(|result| self.check_crash(result, attempt))
  }

  /// Keeps a connection for the next send to its server, if it can carry one.
  pub(super) fn release(&self, socket: Socket, attempt: &Attempt, reuse: Reuse) {
    if let Reuse::Within(idle) = reuse
      && socket.input.is_empty()
      && self.sending.via.is_none()
    {
      self.hub.pool.release(attempt.backend, socket, idle);
    }
  }

  /// Returns a connection to a server: an idle one, a new one, or a tunnel if this instance does not
  /// reach the server.
  fn connect(&self, attempt: &Attempt, once: bool) -> Result<Connection, tunnel::Failure> {
    let hub = self.hub;
    let direct = |socket| Connection { socket, via: None };
    if let Some(socket) = hub
      .pool
      .take_idle(attempt.backend, once, response::hash(&self.id))
    {
      return Ok(direct(socket));
    }
    if let Some(timeout) = hub.paths.direct_timeout(attempt.backend, hub.now()) {
      match Socket::connect(attempt.address, timeout) {
        Ok(socket) => {
          hub.record_path(attempt.backend, &attempt.id);
          hub.measures.record_connection();
          return Ok(direct(socket));
        }
        Err(error) => {
          let use_tunnel = hub.paths.record_failure(attempt.backend, hub.now());
          info!(hub.log, "server not reached"; "request" => &self.id, "server" => &attempt.id,
            "tried_ms" => timeout.as_millis() as u64, "partitioned" => hub.paths.is_partitioned(),
            "tunnel" => use_tunnel, "error" => %error);
          if !use_tunnel {
            return Err(tunnel::Failure::NoPeer);
          }
        }
      }
    }
    let (socket, peer) = self.open_tunnel(attempt)?;
    Ok(Connection {
      socket,
      via: Some(peer),
    })
  }

  pub(super) fn open_tunnel(
    &self,
    attempt: &Attempt,
  ) -> Result<(Socket, SocketAddr), tunnel::Failure> {
    let target = tunnel::Target {
      server: &attempt.id,
      address: attempt.address,
      request: &self.id,
      deadline: self.deadline,
    };
    tunnel::open(self.hub, &target)
  }

  /// If customers are configured, the server receives the configured customer name and no API key.
  fn set_customer(&self, head: &mut Request) {
    let state = self.hub.state();
    let deployment = state.deployment.as_ref();
    let Some(customers) = deployment.and_then(|deployment| deployment.customers.as_ref()) else {
      return;
    };
    head.headers.remove("authorization");
    head.headers.remove(self.hub.dialect.customer);
    let caller = self.incoming.caller.as_ref();
    if let Some(customer) = caller.and_then(|caller| customers.get(caller.customer)) {
      head.headers.set(self.hub.dialect.customer, &customer.name);
    }
  }

  fn encode_request(&self, attempt: &Attempt) -> Vec<u8> {
    let dialect = &self.hub.dialect;
    let mut head = self.incoming.head.clone();
    head.headers.remove_hop_by_hop();
    head.headers.remove("expect");
    for name in dialect.reserved {
      head.headers.remove(name);
    }
    self.set_customer(&mut head);
    let remaining_ms = self.deadline.saturating_sub(self.hub.now()).max(1);
    head
      .headers
      .set(dialect.deadline_ms, &remaining_ms.to_string());
    head.headers.set(dialect.expected_server, &attempt.id);
    let own = self.incoming.caller.and_then(|caller| caller.priority);
    let priority = own.unwrap_or(self.incoming.route.priority).min(9);
    head.headers.set(dialect.priority, &priority.to_string());
    if let Some(last) = &self.events.last_id {
      head.headers.set("Last-Event-Id", last);
    }
    let framing = match self.incoming.head.framing() {
      Ok(Framing::Empty) | Err(_) => Framing::Empty,
      Ok(_) => Framing::Length(self.incoming.body.len() as u64),
    };
    let mut bytes = head.encode(framing);
    bytes.extend_from_slice(&self.incoming.body);
    bytes
  }

  /// Deadline for the next byte of a response: the request's own deadline if it may not be sent
  /// again.
  pub(super) fn read_deadline(&self, events: bool) -> u64 {
    let route = &self.incoming.route;
    let now = self.hub.now();
    if !route.repeatable() {
      return self.deadline;
    }
    let stall = match (route.stream, events) {
      (Some(stream), true) => stream.gap_ms * STALL_GAPS,
      _ => (route.objective_ms * STALL_OBJECTIVES).max(MIN_STALL_MS),
    };
    (now + stall).min(self.deadline)
  }

  /// When the request ends even if its server still runs it: at its deadline, or before the process
  /// exits.
  fn end_at(&self) -> u64 {
    self.deadline.min(self.hub.end_at())
  }

  /// The outcome of a send that is still under way when the request ends.
  fn time_over(&self) -> Option<Outcome> {
    let now = self.hub.now();
    match now >= self.deadline {
      true => Some(outcome(End::Late, "time over")),
      false => (now >= self.end_at()).then(|| outcome(End::Late, "instance exits")),
    }
  }

  /// Like `read_server`, but goes on waiting for a silent server while no other one can take the
  /// request: silence does not show that it has given the run up.
  pub(super) fn read_patiently(
    &mut self,
    socket: &mut Socket,
    until: u64,
  ) -> Result<Fill, Outcome> {
    let mut until = until;
    loop {
      let read = self.read_server(socket, until);
      let now = self.hub.now();
      match read {
        Err(result) if result.why == STALLED => {
          if self.hub.state().may_replace_run(now, self.ticket) {
            return Err(result);
          }
          until = now + SILENCE_CHECK_MS;
        }
        read => return read,
      }
    }
  }

  /// Waits for data from the server; an error is the outcome that ends the send.
  pub(super) fn read_server(&mut self, socket: &mut Socket, until: u64) -> Result<Fill, Outcome> {
    let mut timeout_at = self.hub.instant(until);
    loop {
      let stopping = self.hub.stopping.load(Ordering::Acquire);
      let has_room = self.has_room()?;
      let listen = self.caller.input.is_empty();
      let caller = listen.then_some((&self.caller.stream as &dyn rustix::fd::AsFd, Interest::Read));
      let server = has_room.then_some((&socket.stream as &dyn rustix::fd::AsFd, Interest::Read));
      let waiting_since = Moment::now();
      let check_at = self.backlog.check_at(timeout_at);
      let end_at = self.hub.instant(self.end_at());
      let stop = (!stopping).then_some((
        &self.hub.stop_waker as &dyn rustix::fd::AsFd,
        Interest::Read,
      ));
      let sources = [
        caller,
        server,
        self.write_source(),
        self.stalled_source(),
        stop,
      ];
      let waited = wait(sources, check_at.min(end_at));
      let Ok([caller_ready, server_ready, writable, stalled_ready, _]) = waited else {
        return Err(outcome(End::Broken, "wait failed"));
      };
      if writable && self.write_backlog().is_err() {
        self.disposition = Disposition::Close;
        return Err(outcome(End::Left, "caller left"));
      }
      if let Some(cause) = self.drop_cause() {
        return Err(self.drop_reader(cause));
      }
      if !has_room {
        // The server is not to blame for the time in which it was not read.
        timeout_at = timeout_at + waiting_since.elapsed();
      }
      if stalled_ready && self.poll_stalled() {
        return Err(outcome(
          End::Superseded,
          "the earlier server continues the stream",
        ));
      }
      if server_ready && self.may_read_on() {
        return socket
          .fill()
          .map_err(|_| disconnected("connection reset by server"));
      }
      if caller_ready {
        if self.read_caller().is_err() {
          self.disposition = Disposition::Close;
          return Err(outcome(End::Left, "caller left"));
        }
      } else if let Some(result) = self.time_over() {
        return Err(result);
      } else if Moment::now() >= timeout_at {
        return Err(outcome(End::Broken, STALLED));
      }
    }
  }

  /// Whether the server is still read: bytes may come without end.
  fn may_read_on(&mut self) -> bool {
    if self.hub.now() < self.end_at() {
      return true;
    }
    self.overdue_reads += 1;
    self.overdue_reads <= MAX_OVERDUE_READS
  }

  /// Writes the request; an early response stops the writing, what may come in front of one does not.
  fn write_request(
    &mut self,
    socket: &mut Socket,
    bytes: &[u8],
    reader: &mut Reader,
  ) -> Result<Written, Outcome> {
    let mut remaining = bytes;
    let until = self.read_deadline(false);
    loop {
      match socket.try_write(remaining) {
        Ok(length) => remaining = &remaining[length..],
        // Data received before the connection broke may be a response, if it states its end.
        Err(_) => return Ok(Written::Cut),
      }
      if remaining.is_empty() {
        return Ok(Written::Whole);
      }
      let stopping = self.hub.is_stopping();
      if let Some(result) = self.time_over() {
        return Err(result);
      }
      let server = Some((&socket.stream as &dyn rustix::fd::AsFd, Interest::Write));
      let response = Some((&socket.stream as &dyn rustix::fd::AsFd, Interest::Read));
      let stop = (!stopping).then_some((
        &self.hub.stop_waker as &dyn rustix::fd::AsFd,
        Interest::Read,
      ));
      let wait_until = self.hub.instant(until.min(self.end_at()));
      let Ok([writable, readable, _]) = wait([server, response, stop], wait_until) else {
        return Err(outcome(End::Broken, "wait failed"));
      };
      if readable && !writable {
        match socket.fill() {
          Ok(Fill::Data | Fill::Empty) => {}
          Ok(Fill::Eof) | Err(_) => return Ok(Written::Cut),
        }
        if let Some((head, framing)) = self.parse_head(socket, reader)? {
          return Ok(Written::Early(head, framing));
        }
      }
      if !writable && self.hub.now() >= until {
        return Err(outcome(End::Broken, "server takes no bytes"));
      }
    }
  }

  /// Parses the head of the response, skipping responses to other requests; `None` if more input is needed.
  fn parse_head(
    &self,
    socket: &mut Socket,
    reader: &mut Reader,
  ) -> Result<Option<(Response, Framing)>, Outcome> {
    let id_header = self.hub.dialect.request_id;
    let read = reader.read(&mut socket.input, &socket.carried, id_header);
    read.map_err(|error| outcome(End::Broken, error.as_str()))
  }

  /// Reads the head of the response, skipping responses to other requests.
  fn read_head(
    &mut self,
    socket: &mut Socket,
    reader: &mut Reader,
  ) -> Result<(Response, Framing), Outcome> {
    let until = self.read_deadline(false);
    loop {
      if let Some(response) = self.parse_head(socket, reader)? {
        return Ok(response);
      }
      if self.read_patiently(socket, until)? == Fill::Eof {
        return Err(disconnected("connection closed by server"));
      }
    }
  }

  fn log_skipped(&self, reader: &Reader, attempt: &Attempt) {
    if reader.skipped > 0 {
      info!(self.hub.log, "surplus responses skipped"; "request" => &self.id,
        "server" => &attempt.id, "send" => attempt.number, "count" => reader.skipped);
    }
  }

  /// Applies the limit that a response names; a response from another server at the address is
  /// ignored.
  fn apply_limit(&self, status: u16, attempt: &Attempt) {
    let limit = self.sending.hints.limit.as_deref();
    if status == MISDIRECTED_REQUEST || limit.is_none() && !attempt.limited {
      return;
    }
    let rate = match limit.map(limit::parse).transpose() {
      Ok(rate) => rate,
      Err(error) => {
        warn!(self.hub.log, "server limit could not be parsed"; "server" => &attempt.id, "error" => error);
        return;
      }
    };
    let ticket = self.ticket;
    self.apply(Event::LimitAnnounced { ticket, rate });
  }

  /// Applies the hints about the server in the head of a response.
  pub(super) fn apply_head(&mut self, head: &Response, attempt: &Attempt) {
    if self.sending.via.is_none() {
      self.hub.paths.record_response(self.hub.now());
    }
    self.sending.hints = Hints::from_head(head.status, &head.headers, &self.hub.dialect);
    self.sending.head_at = Some(self.hub.now());
    let (sent_at, hints) = (self.sending.sent_at, &self.sending.hints);
    self
      .hub
      .apply_hints(attempt.life, &attempt.id, sent_at, hints);
  }

  fn exchange(&mut self, mut socket: Socket, attempt: &Attempt) -> Result<Outcome, Outcome> {
    socket.carried.push(&self.id, &self.incoming.head.method);
    let bytes = self.encode_request(attempt);
    let mut reader = Reader::default();
    let written = self.write_request(&mut socket, &bytes, &mut reader)?;
    drop(bytes);
    let is_written = matches!(written, Written::Whole);
    let read = match written {
      Written::Early(head, framing) => Ok((head, framing)),
      Written::Whole | Written::Cut => self.read_head(&mut socket, &mut reader),
    };
    self.log_skipped(&reader, attempt);
    let (head, framing) = match read {
      Err(result) if result.end == End::Left => {
        self.abandon(socket, reader, attempt);
        return Err(result);
      }
      head => head?,
    };
    self.apply_head(&head, attempt);
    if attempt.trial && self.sending.hints.retry_after.is_none() {
      self.apply(Event::TrialAccepted(attempt.life));
    }
    self.apply_limit(head.status, attempt);
    let dialect = &self.hub.dialect;
    let echoed = head.headers.get(dialect.request_id).is_some();
    let signed = head.headers.get(dialect.signature).is_some();
    let success = (200..300).contains(&head.status);
    if success && !(echoed && signed) {
      return Err(outcome(End::Broken, "answer without signature"));
    }
    if success && head.headers.get("content-encoding").is_some() {
      return Err(outcome(End::Broken, "answer in an encoding not asked for"));
    }
    let reuse = match is_written && head.keep_alive() && framing != Framing::Close {
      true => Reuse::Within(upstream::idle_timeout(&head.headers)),
      false => Reuse::No,
    };
    if success && self.incoming.route.stream.is_some() {
      let stream = Stream::new(socket, attempt, head, framing, reuse);
      return self.follow(stream);
    }
    let result = self.relay_plain(&mut socket, head, framing, attempt)?;
    self.release(socket, attempt, reuse);
    Ok(result)
  }
}
