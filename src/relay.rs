//! One routed request: from its arrival over its sends to its final answer.

use crate::{
  ask::Ticket,
  demand::Model,
  dispatch::{Ask, Attempt, End, Event},
  http::{Body, Framing, LAST_CHUNK, Request, Response, chunk},
  hub::{Directive, Hub, Mailbox},
  measures,
  refusal::{Reason, Refusal},
  route::Route,
  socket::{Fill, Socket, Want, wait},
  sse::Events,
  verdict::Verdict,
};
use slog::info;
use std::{
  io,
  sync::{Arc, atomic::Ordering},
  time::{Duration, Instant},
};
use xxhash_rust::xxh3::xxh3_64;

/// Longest wait on a caller that does not read.
const CALLER_STALL: Duration = Duration::from_millis(5_000);
/// A repeatable request moves on when its server has not answered within this
/// many objectives.
const STALL_OBJECTIVES: u64 = 4;
/// But not before this time, ms.
const STALL_LEAST_MS: u64 = 900;
/// A resumable stream moves on after this many of the pauses allowed.
const STALL_GAPS: u64 = 4;
/// Bytes of a plain answer held back until it is whole.
const HELD: usize = 256 << 10;
/// Time kept for the final answer when a request's time is over, ms.
const ANSWER_MS: u64 = 30;

/// A caller's request in whole.
pub struct Incoming {
  pub head: Request,
  pub body: Vec<u8>,
  pub route: Arc<Route>,
  /// When its first byte was read, ms.
  pub arrived: u64,
}

/// A request being answered.
pub struct Relay<'a> {
  hub: &'a Hub,
  caller: &'a mut Socket,
  incoming: &'a Incoming,
  id: String,
  until: u64,
  ticket: Ticket,
  /// The answer's head has gone to the caller.
  begun: Option<Framing>,
  events: Events,
  first_ms: Option<u64>,
  /// It has waited for a server.
  waited: bool,
  /// When events last came, and the longest pause between them, ms.
  event_ms: u64,
  pause_ms: u64,
  /// A server's failure, given to the caller when nothing better comes.
  held: Option<(Response, Vec<u8>)>,
  /// The connection to the caller can carry another request.
  keep: bool,
}

/// Whether a connection to a server carries another request.
#[derive(Clone, Copy)]
enum Reuse {
  No,
  /// Yes; with the time for which the server keeps it at rest, where it says so.
  Within(Option<Duration>),
}

/// What came of a send, with why.
struct Outcome {
  end: End,
  why: &'static str,
}

fn outcome(end: End, why: &'static str) -> Outcome {
  Outcome { end, why }
}

/// Answers a request; false when the caller's connection is to be closed.
pub fn serve(hub: &Hub, mailbox: &Arc<Mailbox>, caller: &mut Socket, incoming: &Incoming) -> bool {
  let dialect = &hub.dialect;
  let header = |name: &str| incoming.head.headers.get(name);
  let id = header(dialect.request_id).unwrap_or_default().to_string();
  let asked = header(dialect.deadline_ms).and_then(|text| text.parse::<f64>().ok());
  let timeout = incoming.route.timeout_ms;
  let allowed = asked.map_or(timeout, |ms| (ms.max(0.0) as u64).min(timeout));
  let until = incoming.arrived + allowed.saturating_sub(ANSWER_MS);
  let model = header(dialect.model).map(Model::parse);
  let ticket = hub.ticket(mailbox);
  let pool = incoming.route.pool(xxh3_64(id.as_bytes()));
  let ask = Ask {
    ticket,
    id: id.clone(),
    route: incoming.route.clone(),
    pool: pool.unwrap_or_default().to_string(),
    model: model.clone(),
    affinity: affinity(header(dialect.prompt_parts), model.as_ref()),
    until,
  };
  let keep = incoming.head.keeps() && !hub.stopping.load(Ordering::Relaxed);
  let mut relay = Relay {
    hub,
    caller,
    incoming,
    id,
    until,
    ticket,
    begun: None,
    events: Events::default(),
    first_ms: None,
    waited: false,
    event_ms: 0,
    pause_ms: 0,
    held: None,
    keep,
  };
  hub.measures.request();
  mailbox.bell.clear();
  mailbox.take();
  hub.apply(Event::Arrived(ask), Some(ticket));
  relay.run(ticket, mailbox);
  hub.close(ticket);
  relay.keep
}

/// Equal for requests whose prompts start alike: all parts but the last, which is
/// the request's own.
fn affinity(parts: Option<&str>, model: Option<&Model>) -> u64 {
  let shared = parts
    .and_then(|parts| parts.rsplit_once(','))
    .map(|(shared, _)| shared);
  let name = model.map(|model| model.name.as_str());
  xxh3_64(
    format!(
      "{}\n{}",
      name.unwrap_or_default(),
      shared.unwrap_or_default()
    )
    .as_bytes(),
  )
}

impl Relay<'_> {
  fn run(&mut self, ticket: Ticket, mailbox: &Mailbox) {
    let mut directive = mailbox.take();
    loop {
      match directive {
        Some(Directive::Send(attempt)) => {
          let sent = self.hub.now();
          let result = self.send(&attempt);
          self.note(&attempt, &result, sent);
          self.hub.apply(
            Event::Ended {
              ticket,
              end: result.end,
            },
            Some(ticket),
          );
          if matches!(result.end, End::Whole | End::Failed | End::Left) {
            return;
          }
          directive = mailbox.take();
        }
        Some(Directive::Wait(until)) => match self.await_change(mailbox, until) {
          Ok(true) => directive = mailbox.take().or(Some(Directive::Wait(until))),
          Ok(false) => {
            self.hub.apply(Event::Look(ticket), Some(ticket));
            directive = mailbox.take();
          }
          Err(_) => {
            self.hub.measures.left();
            info!(self.hub.log, "caller left"; "request" => &self.id, "phase" => "waiting",
              "waited_ms" => self.hub.now() - self.incoming.arrived);
            self.keep = false;
            self.hub.apply(Event::Left(ticket), Some(ticket));
            return;
          }
        },
        Some(Directive::Refuse(refusal)) => return self.refuse(refusal),
        None => {
          // The reducer answers every event of a ticket it knows.
          return self.refuse(Refusal {
            reason: Reason::NoServer,
            verdict: Verdict::MayHaveRun,
            retry_after: None,
          });
        }
      }
    }
  }

  /// Waits as `rest` does; the first wait of a request is recorded.
  fn await_change(&mut self, mailbox: &Mailbox, until: u64) -> io::Result<bool> {
    if !std::mem::replace(&mut self.waited, true) {
      info!(self.hub.log, "waiting"; "request" => &self.id,
        "route" => &self.incoming.route.name, "model" => self.model(),
        "why" => "no server can take it now",
        "planner_age_ms" => self.hub.now().saturating_sub(self.hub.state().updated_at));
    }
    self.rest(mailbox, until)
  }

  /// Waits for the bell or a time; an error says that the caller has gone.
  fn rest(&mut self, mailbox: &Mailbox, until: u64) -> io::Result<bool> {
    let until = self.hub.instant(until);
    loop {
      // What a caller sends ahead is left in its socket.
      let listen = self.caller.input.is_empty();
      let caller = listen.then_some((&self.caller.stream as &dyn rustix::fd::AsFd, Want::Read));
      let [called, rung] = wait([caller, Some((&mailbox.bell, Want::Read))], until)?;
      if rung {
        mailbox.bell.clear();
        return Ok(true);
      }
      if !called {
        return Ok(false);
      }
      self.hear_caller()?;
    }
  }

  fn hear_caller(&mut self) -> io::Result<()> {
    match self.caller.fill()? {
      Fill::End => Err(io::ErrorKind::ConnectionReset.into()),
      Fill::Some | Fill::Empty => Ok(()),
    }
  }

  fn model(&self) -> Option<&str> {
    self.incoming.head.headers.get(self.hub.dialect.model)
  }

  /// What of an answer came later than its route allows, for the log.
  fn late(&self) -> &'static str {
    let route = &self.incoming.route;
    let first_ms = self.first_ms.map_or(0, |at| at - self.incoming.arrived);
    match route.stream {
      _ if first_ms > route.objective_ms => "first",
      Some(stream) if self.pause_ms > stream.gap_ms => "pause",
      _ => "no",
    }
  }

  fn note(&self, attempt: &Attempt, result: &Outcome, sent: u64) {
    let now = self.hub.now();
    self.hub.measures.send(&measures::Send {
      number: attempt.number,
      end: result.end,
      waited_ms: sent.saturating_sub(self.incoming.arrived),
      first_ms: self.first_ms.map(|at| at - self.incoming.arrived),
      pause_ms: self.pause_ms,
    });
    info!(self.hub.log, "sent"; "request" => &self.id, "route" => &self.incoming.route.name,
      "model" => self.model(), "late" => self.late(),
      "server" => &attempt.id, "send" => attempt.number, "end" => format!("{:?}", result.end),
      "why" => result.why, "verdict" => result.end.verdict().word(),
      "waited_ms" => sent.saturating_sub(self.incoming.arrived), "took_ms" => now - sent,
      "first_ms" => self.first_ms.map(|at| at - self.incoming.arrived),
      "events" => self.events.count, "pause_ms" => self.pause_ms);
  }

  /// Sends the request once and passes on what comes.
  fn send(&mut self, attempt: &Attempt) -> Outcome {
    let once = !self.incoming.route.repeatable();
    let now = self.hub.now();
    if now >= self.until {
      return outcome(End::Unsent, "time over before it was sent");
    }
    let Ok((mut socket, used)) = self.hub.pool.connect(&attempt.id, attempt.address, once) else {
      return outcome(End::Unreached, "no connection");
    };
    if !used {
      self.hub.measures.connection();
    }
    // Its leaving may have become known while the connection came up.
    if !self.hub.state().stands(attempt) {
      return outcome(End::Leaving, "server leaves");
    }
    self.events.cut();
    let result = self.exchange(&mut socket, attempt);
    match result {
      Ok((result, reuse)) => {
        if let Reuse::Within(rest) = reuse
          && socket.input.is_empty()
        {
          self.hub.pool.keep(&attempt.id, socket, rest);
        }
        result
      }
      Err(result) => result,
    }
  }

  fn outgoing(&self, attempt: &Attempt) -> Vec<u8> {
    let dialect = &self.hub.dialect;
    let mut head = self.incoming.head.clone();
    head.headers.remove_hop();
    head.headers.remove("expect");
    for name in dialect.reserved {
      head.headers.remove(name);
    }
    let left = self.until.saturating_sub(self.hub.now()).max(1);
    head.headers.set(dialect.deadline_ms, &left.to_string());
    head.headers.set(dialect.expected_server, &attempt.id);
    let priority = self.incoming.route.priority.min(9);
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
  fn stall(&self, events: bool) -> u64 {
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
  fn hear(&mut self, socket: &mut Socket, until: u64) -> Result<Fill, Outcome> {
    let moment = self.hub.instant(until);
    loop {
      let listen = self.caller.input.is_empty();
      let caller = listen.then_some((&self.caller.stream as &dyn rustix::fd::AsFd, Want::Read));
      let server = Some((&socket.stream as &dyn rustix::fd::AsFd, Want::Read));
      let waited = wait([caller, server], moment);
      let Ok([called, served]) = waited else {
        return Err(outcome(End::Broken, "wait failed"));
      };
      if served {
        return socket
          .fill()
          .map_err(|_| outcome(End::Broken, "connection reset by server"));
      }
      if called {
        if self.hear_caller().is_err() {
          self.keep = false;
          return Err(outcome(End::Left, "caller left"));
        }
      } else if self.hub.now() >= self.until {
        return Err(outcome(End::Late, "time over"));
      } else if Instant::now() >= moment {
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
      match socket.push(left) {
        Ok(length) => left = &left[length..],
        // What came before the break may be an answer.
        Err(_) => return Ok(false),
      }
      if left.is_empty() {
        return Ok(true);
      }
      let server = Some((&socket.stream as &dyn rustix::fd::AsFd, Want::Write));
      let answer = Some((&socket.stream as &dyn rustix::fd::AsFd, Want::Read));
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
        if self.hear(socket, until)? == Fill::End {
          return Err(outcome(End::Broken, "connection closed by server"));
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
    let mut body = Body::open(framing);
    let mut out = Vec::new();
    loop {
      if body.take(&mut socket.input, &mut out).is_err() {
        return Err(outcome(End::Broken, "not an answer"));
      }
      out.clear();
      if body.done() {
        return Ok(());
      }
      if self.hear(socket, until)? == Fill::End {
        return Err(outcome(End::Broken, "connection closed by server"));
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
    let (head, framing) = self.head(socket)?;
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
    let reuse = match written && head.keeps() && framing != Framing::Close {
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

  /// Passes a stream's events on as they come.
  fn stream(
    &mut self,
    socket: &mut Socket,
    head: &Response,
    framing: Framing,
  ) -> Result<Outcome, Outcome> {
    let mut body = Body::open(framing);
    let mut bytes = Vec::new();
    let mut any = false;
    loop {
      if body.take(&mut socket.input, &mut bytes).is_err() {
        return Err(outcome(End::Broken, "not an answer"));
      }
      let whole = self.events.take(&bytes);
      bytes.clear();
      if !whole.is_empty() {
        any = true;
        let now = self.hub.now();
        if self.first_ms.is_some() {
          self.pause_ms = self.pause_ms.max(now - self.event_ms);
        }
        self.event_ms = now;
        if self.first_ms.is_none() {
          self.first_ms = Some(now);
          self.hub.apply(Event::Began(self.ticket), Some(self.ticket));
        }
        // A part of an event that follows shows that the stream is not complete.
        let last = body.done() && self.events.partial().is_empty();
        self.deliver(head, framing, &whole, last)?;
      }
      if body.done() {
        if !self.events.partial().is_empty() {
          return Err(outcome(End::Broken, "stream ends within an event"));
        }
        self.finish(head, framing)?;
        return Ok(outcome(End::Whole, "whole stream"));
      }
      let until = self.stall(any);
      if self.hear(socket, until)? == Fill::End && !body.end() {
        return Err(outcome(End::Broken, "stream broken off"));
      }
    }
  }

  /// Takes a plain answer in whole before the caller sees any of it.
  fn whole(
    &mut self,
    socket: &mut Socket,
    head: Response,
    framing: Framing,
    attempt: &Attempt,
  ) -> Result<Outcome, Outcome> {
    let mut body = Body::open(framing);
    let mut bytes = Vec::new();
    let until = self.stall(false);
    loop {
      if body.take(&mut socket.input, &mut bytes).is_err() {
        return Err(outcome(End::Broken, "not an answer"));
      }
      if body.done() {
        break;
      }
      if bytes.len() > HELD {
        self.deliver(&head, framing, &std::mem::take(&mut bytes), false)?;
      }
      if self.hear(socket, until)? == Fill::End && !body.end() {
        return Err(outcome(End::Broken, "answer broken off"));
      }
    }
    if let Some(result) = self.declined(&head, attempt) {
      return Ok(result);
    }
    let failed = head.status >= 400;
    if failed && self.begun.is_some() {
      // The caller has the start of another answer, which this one is no part of.
      return Ok(outcome(End::Broken, "server's own failure"));
    }
    if head.status >= 500 {
      self.held = Some((head, bytes));
      return Ok(outcome(End::Broken, "server's own failure"));
    }
    self.give(&head, bytes)?;
    match failed {
      true => Ok(outcome(End::Failed, "server's own failure")),
      false => Ok(outcome(End::Whole, "whole answer")),
    }
  }

  fn declined(&self, head: &Response, attempt: &Attempt) -> Option<Outcome> {
    let dialect = &self.hub.dialect;
    if head.status == 421 {
      let other = head
        .headers
        .get(dialect.server)
        .is_some_and(|id| id != attempt.id);
      let model = self.incoming.head.headers.get(dialect.model).is_some();
      return Some(match model && !other {
        true => outcome(End::Missing, "model not there"),
        false => outcome(End::Replaced, "another server has the address"),
      });
    }
    let declined = head.headers.get(dialect.not_run).is_some();
    declined.then(|| outcome(End::Full, "server declined"))
  }

  fn give(&mut self, head: &Response, bytes: Vec<u8>) -> Result<(), Outcome> {
    if self.begun.is_some() {
      self.deliver(head, Framing::Close, &bytes, true)?;
      return self.finish(head, Framing::Close);
    }
    let framing = match self.incoming.head.method == "HEAD" || matches!(head.status, 204 | 304) {
      true => Framing::Empty,
      false => Framing::Length(bytes.len() as u64),
    };
    let mut head = head.clone();
    head.headers.remove_hop();
    let mut answer = head.encode(framing, self.keep);
    answer.extend_from_slice(&bytes);
    self.first_ms.get_or_insert(self.hub.now());
    self.begun = Some(framing);
    self.write_caller(&answer)
  }

  /// Passes bytes of a body on, after the head when they are the first.
  fn deliver(
    &mut self,
    head: &Response,
    framing: Framing,
    bytes: &[u8],
    last: bool,
  ) -> Result<(), Outcome> {
    let mut answer = Vec::new();
    if self.begun.is_none() {
      // An answer that ends with its connection does so towards the caller too.
      let framing = match framing {
        Framing::Close => Framing::Close,
        _ => Framing::Chunked,
      };
      let mut head = head.clone();
      head.headers.remove_hop();
      answer = head.encode(framing, self.keep);
      self.begun = Some(framing);
      self.keep &= framing != Framing::Close;
    }
    match self.begun {
      Some(Framing::Chunked) if !bytes.is_empty() => answer.extend_from_slice(&chunk(bytes)),
      _ => answer.extend_from_slice(bytes),
    }
    if last && self.begun == Some(Framing::Chunked) {
      answer.extend_from_slice(LAST_CHUNK);
      self.begun = Some(Framing::Length(0));
    }
    self.write_caller(&answer)
  }

  /// Marks the body as whole, where `deliver` has not.
  fn finish(&mut self, head: &Response, framing: Framing) -> Result<(), Outcome> {
    match self.begun {
      None => self.deliver(head, framing, &[], true),
      Some(Framing::Chunked) => {
        self.begun = Some(Framing::Length(0));
        self.write_caller(LAST_CHUNK)
      }
      Some(_) => Ok(()),
    }
  }

  fn write_caller(&mut self, bytes: &[u8]) -> Result<(), Outcome> {
    let until = Instant::now() + CALLER_STALL;
    self.caller.write_all(bytes, until).map_err(|_| {
      self.keep = false;
      outcome(End::Left, "caller does not read")
    })
  }

  /// The final answer to a request that is not served.
  fn refuse(&mut self, refusal: Refusal) {
    self.hub.measures.refusal(&refusal);
    info!(self.hub.log, "refused"; "request" => &self.id, "route" => &self.incoming.route.name,
      "reason" => refusal.reason.word(), "verdict" => refusal.verdict.word(),
      "model" => self.model(), "begun" => self.begun.is_some(),
      "waited_ms" => self.hub.now() - self.incoming.arrived);
    if self.begun.is_some() {
      // An answer that ends early must not look whole.
      self.keep = false;
      return;
    }
    let written = match self.held.take() {
      Some((head, bytes)) => self.give(&head, bytes),
      None => {
        let answer = refusal_answer(&refusal, self.keep);
        self.write_caller(&answer)
      }
    };
    if written.is_err() {
      self.keep = false;
    }
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

/// The status of a refusal: only what has not run may be called so.
pub fn status(refusal: &Refusal) -> u16 {
  match (refusal.verdict, refusal.reason) {
    (Verdict::NotRun, _) => 503,
    (Verdict::MayHaveRun, Reason::TooLate) => 504,
    (Verdict::MayHaveRun, _) => 502,
  }
}

/// A refusal's bytes.
pub fn refusal_answer(refusal: &Refusal, keep: bool) -> Vec<u8> {
  let status = status(refusal);
  let body = crate::reply::refusal_body(*refusal).to_string();
  let mut head = Response {
    status,
    reason: "Refused".into(),
    minor: 1,
    headers: crate::http::Headers::default(),
  };
  head.headers.set("Content-Type", "application/json");
  if let (503, Some(ms)) = (status, refusal.retry_after) {
    let seconds = format!("{:.1}", ms as f64 / 1_000.0);
    head.headers.set("Retry-After", &seconds);
  }
  let mut bytes = head.encode(Framing::Length(body.len() as u64), keep);
  bytes.extend_from_slice(body.as_bytes());
  bytes
}
