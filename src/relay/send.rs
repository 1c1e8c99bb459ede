//! One send: the request to a server, and the head of its answer.

use super::{Disposition, Outcome, Relay, outcome, severed};
use crate::{
  clock::Moment,
  dispatch::{Attempt, End, Event},
  http::{Decoder, Framing, Request, Response},
  limit,
  socket::{Fill, Interest, Socket, wait},
  statement::{Hints, MISDIRECTED_REQUEST},
};
use slog::warn;
use std::{io, time::Duration};

/// A repeatable request moves on when its server has not answered within this
/// many objectives.
const STALL_OBJECTIVES: u64 = 4;
/// But not before this time, ms.
const STALL_LEAST_MS: u64 = 900;
/// A resumable stream moves on after this many of the pauses allowed.
const STALL_GAPS: u64 = 4;

/// A request that broke off sooner than this after its send went to a connection whose server
/// had ended before, ms: between availability zones bytes take some, and a first token more.
const REACHED_MS: u64 = 10;
/// Time for a connection that shows whether a server lives: a refusal takes a few ms, and a
/// machine that says nothing accuses nobody.
const LOOK: Duration = Duration::from_millis(100);

/// An answer is waited for so long after its caller has left: a server that turns requests away does
/// so within some ms, and its wish for rest counts whoever reads it.
const HEAR_ON: Duration = Duration::from_millis(10);

/// Whether a connection to a server carries another request.
#[derive(Clone, Copy)]
enum Reuse {
  No,
  /// Yes; with the time for which the server keeps it at rest, where it says so.
  Within(Option<Duration>),
}

impl Relay<'_> {
  /// Sends the request once and passes on what comes.
  pub(super) fn send(&mut self, attempt: &Attempt) -> Outcome {
    let once = !self.incoming.route.repeatable();
    let now = self.hub.now();
    self.said = Hints::default();
    self.head_ms = None;
    if now >= self.until {
      return outcome(End::Unsent, "time over before it was sent");
    }
    let Ok((mut socket, used)) = self
      .hub
      .pool
      .connect(attempt.backend, attempt.address, once)
    else {
      return outcome(End::Unreached, "no connection");
    };
    if !used {
      self.hub.measures.record_connection();
    }
    if self.hub.now() >= self.until {
      return outcome(End::Unsent, "time over while the connection came up");
    }
    // More may have become known of the server while the connection came up.
    if let Some(end) = self.hub.state().abort_reason(attempt) {
      return outcome(end, "overtaken by what became known of the server");
    }
    if let Some(end) = self.hub.key_rejection(self.incoming.caller.as_ref()) {
      return outcome(end, "key taken away, or not surely known");
    }
    self.events.discard_partial();
    let sent = self.hub.now();
    let result = self.exchange(&mut socket, attempt);
    let result = result.map_err(|result| self.look_for_crash(result, sent, attempt));
    match result {
      Ok((result, reuse)) => {
        if let Reuse::Within(rest) = reuse
          && socket.input.is_empty()
        {
          self.hub.pool.release(attempt.backend, socket, rest);
        }
        result
      }
      Err(result) => result,
    }
  }

  /// A run that its server cut off: whether the server's process has ended.
  fn look_for_crash(&self, result: Outcome, sent: u64, attempt: &Attempt) -> Outcome {
    let ran = self.hub.now() >= sent + REACHED_MS;
    if !result.severed || !ran || !self.refuses(attempt) {
      return result;
    }
    outcome(End::Crashed, "server ended")
  }

  /// Whether a server's port refuses a connection. One that comes up is kept: the next send
  /// needs it.
  fn refuses(&self, attempt: &Attempt) -> bool {
    match Socket::connect(attempt.address, LOOK) {
      Ok(socket) => {
        self.hub.measures.record_connection();
        self.hub.pool.release(attempt.backend, socket, None);
        false
      }
      Err(error) => error.kind() == io::ErrorKind::ConnectionRefused,
    }
  }

  /// Where customers are known, a server sees the customer as it is known here, and no key.
  fn name_customer(&self, head: &mut Request) {
    let state = self.hub.state();
    let deployment = state.deployment.as_ref();
    let Some(book) = deployment.and_then(|deployment| deployment.customers.as_ref()) else {
      return;
    };
    head.headers.remove("authorization");
    head.headers.remove(self.hub.dialect.customer);
    let caller = self.incoming.caller.as_ref();
    if let Some(customer) = caller.and_then(|caller| book.get(caller.customer)) {
      head.headers.set(self.hub.dialect.customer, &customer.name);
    }
  }

  fn outgoing(&self, attempt: &Attempt) -> Vec<u8> {
    let dialect = &self.hub.dialect;
    let mut head = self.incoming.head.clone();
    head.headers.remove_hop_by_hop();
    head.headers.remove("expect");
    for name in dialect.reserved {
      head.headers.remove(name);
    }
    self.name_customer(&mut head);
    let left = self.until.saturating_sub(self.hub.now()).max(1);
    head.headers.set(dialect.deadline_ms, &left.to_string());
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

  /// Longest wait for the next byte of an answer; none for a request that may not
  /// be sent again.
  pub(super) fn stall(&self, events: bool) -> u64 {
    let route = &self.incoming.route;
    let now = self.hub.now();
    if !route.repeatable() {
      return self.until;
    }
    let stall = match (route.stream, events) {
      (Some(stream), true) => stream.gap_ms * STALL_GAPS,
      _ => (route.objective_ms * STALL_OBJECTIVES).max(STALL_LEAST_MS),
    };
    (now + stall).min(self.until)
  }

  /// Waits for the server; an outcome says why the send ends here.
  pub(super) fn hear(&mut self, socket: &mut Socket, until: u64) -> Result<Fill, Outcome> {
    let moment = self.hub.instant(until);
    loop {
      let listen = self.caller.input.is_empty();
      let caller = listen.then_some((&self.caller.stream as &dyn rustix::fd::AsFd, Interest::Read));
      let server = Some((&socket.stream as &dyn rustix::fd::AsFd, Interest::Read));
      let waited = wait([caller, server], moment);
      let Ok([called, served]) = waited else {
        return Err(outcome(End::Broken, "wait failed"));
      };
      if served {
        return socket
          .fill()
          .map_err(|_| severed("connection reset by server"));
      }
      if called {
        if self.hear_caller().is_err() {
          self.then = Disposition::Close;
          return Err(outcome(End::Left, "caller left"));
        }
      } else if self.hub.now() >= self.until {
        return Err(outcome(End::Late, "time over"));
      } else if Moment::now() >= moment {
        return Err(outcome(End::Broken, "server stalled"));
      }
    }
  }

  /// Writes the request; an early answer ends the writing. Returns whether all of it
  /// went out.
  fn write(&mut self, socket: &mut Socket, bytes: &[u8]) -> Result<bool, Outcome> {
    let mut left = bytes;
    let until = self.hub.instant(self.stall(false));
    loop {
      match socket.try_write(left) {
        Ok(length) => left = &left[length..],
        // What came before the break may be an answer.
        Err(_) => return Ok(false),
      }
      if left.is_empty() {
        return Ok(true);
      }
      let server = Some((&socket.stream as &dyn rustix::fd::AsFd, Interest::Write));
      let answer = Some((&socket.stream as &dyn rustix::fd::AsFd, Interest::Read));
      let Ok([writable, readable]) = wait([server, answer], until) else {
        return Err(outcome(End::Broken, "wait failed"));
      };
      if readable && !writable {
        return Ok(false);
      }
      if !writable {
        return Err(outcome(End::Broken, "server takes no bytes"));
      }
    }
  }

  /// The answer's head; answers to other requests are passed over.
  fn head(&mut self, socket: &mut Socket) -> Result<(Response, Framing), Outcome> {
    let until = self.stall(false);
    let method = self.incoming.head.method.clone();
    loop {
      let parsed = Response::parse(&socket.input);
      let Ok(parsed) = parsed else {
        return Err(outcome(End::Broken, "not an answer"));
      };
      let Some((head, length)) = parsed else {
        if self.hear(socket, until)? == Fill::Eof {
          return Err(severed("connection closed by server"));
        }
        continue;
      };
      socket.input.drain(..length);
      if head.status < 200 {
        continue;
      }
      let Ok(framing) = head.framing(&method) else {
        return Err(outcome(End::Broken, "not an answer"));
      };
      let echoed = head.headers.get(self.hub.dialect.request_id);
      match echoed {
        Some(echoed) if echoed != self.id => self.skip(socket, framing, until)?,
        _ => return Ok((head, framing)),
      }
    }
  }

  fn skip(&mut self, socket: &mut Socket, framing: Framing, until: u64) -> Result<(), Outcome> {
    let mut body = Decoder::new(framing);
    let mut out = Vec::new();
    loop {
      if body.decode(&mut socket.input, &mut out).is_err() {
        return Err(outcome(End::Broken, "not an answer"));
      }
      out.clear();
      if body.is_complete() {
        return Ok(());
      }
      if self.hear(socket, until)? == Fill::Eof {
        return Err(outcome(End::Broken, "connection closed by server"));
      }
    }
  }

  /// Takes up which limit an answer names; one of another server at the address says nothing.
  fn hear_limit(&self, status: u16, attempt: &Attempt) {
    if status == MISDIRECTED_REQUEST || self.said.limit.is_none() && !attempt.limited {
      return;
    }
    let rate = match self.said.limit.as_deref().map(limit::parse).transpose() {
      Ok(rate) => rate,
      Err(error) => {
        warn!(self.hub.log, "limit not understood"; "server" => &attempt.id, "error" => error);
        return;
      }
    };
    let ticket = self.ticket;
    self.apply(Event::LimitAnnounced { ticket, rate });
  }

  /// Takes up what the head of an answer says of its server.
  fn hear_head(&mut self, head: &Response, attempt: &Attempt) {
    self.said = Hints::from_head(head.status, &head.headers, &self.hub.dialect);
    self.head_ms = Some(self.hub.now());
    self.hub.apply_hints(attempt.life, &attempt.id, &self.said);
  }

  /// Reads an answer that comes as its caller leaves for what it says of the server.
  fn hear_on(&mut self, socket: &mut Socket, attempt: &Attempt) {
    let until = Moment::now() + HEAR_ON;
    loop {
      match Response::parse(&socket.input) {
        Ok(Some((head, _))) => return self.hear_head(&head, attempt),
        Ok(None) => {}
        Err(_) => return,
      }
      let server = Some((&socket.stream as &dyn rustix::fd::AsFd, Interest::Read));
      let served = matches!(wait([None, server], until), Ok([_, true]));
      if !served || !matches!(socket.fill(), Ok(Fill::Data)) {
        return;
      }
    }
  }

  fn exchange(
    &mut self,
    socket: &mut Socket,
    attempt: &Attempt,
  ) -> Result<(Outcome, Reuse), Outcome> {
    let bytes = self.outgoing(attempt);
    let written = self.write(socket, &bytes)?;
    let (head, framing) = match self.head(socket) {
      Err(result) if result.end == End::Left => {
        self.hear_on(socket, attempt);
        return Err(result);
      }
      head => head?,
    };
    self.hear_head(&head, attempt);
    if attempt.trial && self.said.retry_after.is_none() {
      self.apply(Event::TrialAccepted(attempt.life));
    }
    self.hear_limit(head.status, attempt);
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
    let reuse = match written && head.keep_alive() && framing != Framing::Close {
      true => Reuse::Within(rest_allowed(&head)),
      false => Reuse::No,
    };
    let streams = success && self.incoming.route.stream.is_some();
    let result = if streams {
      self.stream(socket, &head, framing)?
    } else {
      self.whole(socket, head, framing, attempt)?
    };
    Ok((result, reuse))
  }
}

/// Time for which a server keeps a connection at rest, where it says so.
fn rest_allowed(head: &Response) -> Option<Duration> {
  let header = head.headers.get("keep-alive")?;
  let timeout = header
    .split(',')
    .find_map(|item| item.trim().strip_prefix("timeout="))?;
  timeout.parse().ok().map(Duration::from_secs)
}
