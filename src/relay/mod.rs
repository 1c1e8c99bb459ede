//! One routed request: from its arrival over its sends to its final answer.

mod answer;
mod caller;
mod refusal;
mod send;

pub use refusal::encode_refusal;

use crate::{
  content,
  customer::Caller,
  demand::Model,
  dispatch::{Attempt, Descriptor, End, Event},
  http::{Framing, Request, Response},
  hub::{Directive, Hub, Mailbox},
  measures,
  refusal::{Reason, Refusal},
  request::Ticket,
  route::Route,
  socket::Socket,
  sse::Parser,
  statement::Hints,
  verdict::Verdict,
};
use slog::info;
use std::{
  sync::{Arc, atomic::Ordering},
  time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Time kept for the final answer when a request's time is over, ms.
const ANSWER_MS: u64 = 30;
/// The final answer where the reducer has none.
const UNANSWERED: Refusal = Refusal {
  reason: Reason::NoServer,
  verdict: Verdict::MayHaveRun,
  retry_after: None,
};

/// A caller's request in whole.
pub struct Incoming {
  pub head: Request,
  pub body: Vec<u8>,
  pub route: Arc<Route>,
  /// When its first byte was read, ms.
  pub arrived_at: u64,
  /// Who sent it, where customers are known.
  pub caller: Option<Caller>,
}

/// A request being answered.
pub struct Relay<'a> {
  hub: &'a Hub,
  caller: &'a mut Socket,
  incoming: &'a Incoming,
  id: String,
  content: content::Key,
  until: u64,
  ticket: Ticket,
  /// The answer's head has gone to the caller.
  begun: Option<Framing>,
  events: Parser,
  first_ms: Option<u64>,
  /// It has waited for a server.
  waited: bool,
  /// When events last came, and the longest pause between them, ms.
  event_ms: u64,
  pause_ms: u64,
  /// What the last answer said of its server, and when its head came, ms.
  said: Hints,
  head_ms: Option<u64>,
  /// A server's failure, given to the caller when nothing better comes.
  held: Option<(Response, Vec<u8>)>,
  then: Disposition,
}

/// What came of a send, with why.
struct Outcome {
  end: End,
  why: &'static str,
  /// The server's side closed the connection while the request may have been running.
  severed: bool,
}

fn outcome(end: End, why: &'static str) -> Outcome {
  Outcome {
    end,
    why,
    severed: false,
  }
}

/// A run whose connection the server's side closed.
fn severed(why: &'static str) -> Outcome {
  Outcome {
    severed: true,
    ..outcome(End::Broken, why)
  }
}

/// What becomes of a caller's connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
  /// It can carry another request.
  Keep,
  Close,
  /// The answer broke off, and would look whole at an orderly end.
  Reset,
}

/// Answers a request.
pub fn serve(
  hub: &Hub,
  mailbox: &Arc<Mailbox>,
  caller: &mut Socket,
  incoming: &Incoming,
) -> Disposition {
  let dialect = &hub.dialect;
  let header = |name: &str| incoming.head.headers.get(name);
  let id = header(dialect.request_id).unwrap_or_default().to_string();
  let asked = header(dialect.deadline_ms).and_then(|text| text.parse::<f64>().ok());
  let timeout = incoming.route.timeout_ms;
  let allowed = asked.map_or(timeout, |ms| (ms.max(0.0) as u64).min(timeout));
  let until = incoming.arrived_at + allowed.saturating_sub(ANSWER_MS);
  let model = header(dialect.model).map(Model::parse);
  let ticket = hub.ticket(mailbox);
  let content = content::Key::of(&incoming.head, &incoming.body);
  let pool = incoming.route.pool(xxh3_64(id.as_bytes()));
  let ask = Descriptor {
    ticket,
    id: id.clone(),
    route: incoming.route.clone(),
    pool: pool.unwrap_or_default().to_string(),
    model: model.clone(),
    affinity: affinity(header(dialect.prompt_parts), model.as_ref()),
    deadline: until,
    content,
    caller: incoming.caller,
  };
  let keep = incoming.head.keep_alive() && !hub.stopping.load(Ordering::Relaxed);
  let mut relay = Relay {
    hub,
    caller,
    incoming,
    id,
    content,
    until,
    ticket,
    begun: None,
    events: Parser::default(),
    first_ms: None,
    waited: false,
    event_ms: 0,
    pause_ms: 0,
    said: Hints::default(),
    head_ms: None,
    held: None,
    then: if keep {
      Disposition::Keep
    } else {
      Disposition::Close
    },
  };
  hub.measures.record_request();
  mailbox.waker.clear();
  mailbox.take();
  hub.apply(Event::Arrived(ask), Some(ticket));
  relay.run(mailbox);
  hub.close(ticket);
  relay.then
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
  fn run(&mut self, mailbox: &Mailbox) {
    let mut directive = mailbox.take();
    loop {
      directive = match directive {
        Some(Directive::Send(attempt)) => {
          if self.attempt(&attempt) {
            return;
          }
          mailbox.take()
        }
        Some(Directive::Wait(until)) => match self.await_change(mailbox, until) {
          Ok(true) => mailbox.take().or(Some(Directive::Wait(until))),
          Ok(false) => {
            self.apply(Event::Recheck(self.ticket));
            mailbox.take()
          }
          Err(_) => return self.leave(),
        },
        Some(Directive::Refuse(refusal)) => return self.refuse(refusal),
        // The reducer answers every event of a ticket it knows.
        None => return self.refuse(UNANSWERED),
      }
    }
  }

  fn apply(&self, event: Event) {
    self.hub.apply(event, Some(self.ticket));
  }

  /// Sends the request once; true when that ends it.
  fn attempt(&mut self, attempt: &Attempt) -> bool {
    let sent = self.hub.now();
    let age = self.hub.gates.servers.age();
    let result = self.send(attempt);
    self.note(attempt, &result, sent, age);
    let (ticket, end) = (self.ticket, result.end);
    self.apply(Event::Ended { ticket, end });
    matches!(end, End::Whole | End::Failed | End::Left)
  }

  /// The caller has gone while its request waited.
  fn leave(&mut self) {
    self.hub.measures.record_caller_gone();
    info!(self.hub.log, "caller left"; "request" => &self.id, "phase" => "waiting",
      "waited_ms" => self.hub.now() - self.incoming.arrived_at);
    self.then = Disposition::Close;
    self.apply(Event::CallerGone(self.ticket));
  }

  fn model(&self) -> Option<&str> {
    self.incoming.head.headers.get(self.hub.dialect.model)
  }

  /// What of an answer came later than its route allows, for the log.
  fn late(&self) -> &'static str {
    let route = &self.incoming.route;
    let first_ms = self.first_ms.map_or(0, |at| at - self.incoming.arrived_at);
    match route.stream {
      _ if first_ms > route.objective_ms => "first",
      Some(stream) if self.pause_ms > stream.gap_ms => "pause",
      _ => "no",
    }
  }

  fn note(&self, attempt: &Attempt, result: &Outcome, sent: u64, age: Option<Duration>) {
    let now = self.hub.now();
    self.hub.measures.record_send(&measures::Send {
      number: attempt.number,
      end: result.end,
      waited_ms: sent.saturating_sub(self.incoming.arrived_at),
      first_ms: self.first_ms.map(|at| at - self.incoming.arrived_at),
      pause_ms: self.pause_ms,
    });
    // Requests of the same content are told by it where something went wrong.
    let content = (result.end != End::Whole).then(|| self.content.to_string());
    info!(self.hub.log, "sent"; "request" => &self.id, "route" => &self.incoming.route.name,
      "content" => content,
      "model" => self.model(), "late" => self.late(),
      "server" => &attempt.id, "limit" => &self.said.limit,
      "leaving" => &self.said.leaving, "retry_after" => &self.said.retry_after,
      "head_ms" => self.head_ms.map(|at| at.saturating_sub(sent)), "send" => attempt.number, "end" => format!("{:?}", result.end),
      "why" => result.why, "verdict" => result.end.verdict().as_str(),
      "waited_ms" => sent.saturating_sub(self.incoming.arrived_at), "took_ms" => now - sent,
      "first_ms" => self.first_ms.map(|at| at - self.incoming.arrived_at),
      "events" => self.events.count, "pause_ms" => self.pause_ms,
      "servers_age_ms" => age.map(|age| age.as_millis() as u64),
      "missing_ms" => attempt.missing_ms);
  }
}
