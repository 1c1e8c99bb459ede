//! One routed request, from its arrival through its sends to its final response.

mod answer;
mod backlog;
mod caller;
mod crashed;
mod late;
mod refusal;
mod send;
mod stalled;
mod stream;

pub use refusal::encode_refusal;

use backlog::Backlog;
use caller::Wake;
use late::Abandoned;
use stream::Stream;

use crate::{
  build::resume::Resumption,
  content,
  customer::Caller,
  demand::Model,
  dispatch::{Attempt, Descriptor, End, Event, choice::expect::Lateness},
  http::{Framing, Request, Response},
  hub::{Directive, Hub, Mailbox},
  measures,
  pace::{Class, Pace, gaps::Gaps},
  reader::Account,
  refusal::{Reason, Refusal},
  request::Ticket,
  route::Route,
  socket::Socket,
  sse::Parser,
  statement::Hints,
  tokens::Tokens,
  verdict::Verdict,
};
use slog::info;
use std::{
  net::SocketAddr,
  sync::{Arc, atomic::Ordering},
  thread,
  time::Duration,
};
use xxhash_rust::xxh3::xxh3_64;

/// Time reserved for the final response when a request reaches its deadline.
const RESPONSE_RESERVE_MS: u64 = 30;
/// Why a send ended whose server sent nothing for too long.
const STALLED: &str = "server stalled";
/// Refusal used if the reducer provides none.
const FALLBACK_REFUSAL: Refusal = Refusal {
  reason: Reason::NoServer,
  verdict: Verdict::MayHaveRun,
  retry_after: None,
  shortage: None,
};

/// A complete request from a caller.
pub struct Incoming {
  pub head: Request,
  pub body: Vec<u8>,
  pub route: Arc<Route>,
  /// When its first byte was read, in ms.
  pub arrived_at: u64,
  /// The caller, if customers are configured.
  pub caller: Option<Caller>,
  /// Bytes held for it, if they are bounded.
  pub account: Option<Account>,
}

/// A request in progress.
pub struct Relay<'a> {
  hub: &'a Hub,
  caller: &'a mut Socket,
  incoming: &'a Incoming,
  id: String,
  content: content::Key,
  deadline: u64,
  ticket: Ticket,
  /// Framing of the response whose head was sent to the caller; `None` before that.
  response_framing: Option<Framing>,
  /// Whether a response that the close of its connection delimits is complete.
  unframed_complete: bool,
  events: Parser,
  first_event_at: Option<u64>,
  /// Whether the request has waited for a server.
  has_waited: bool,
  /// When events last arrived, and the longest gap between them, both in ms.
  last_event_at: u64,
  max_gap_ms: u64,
  /// Whether servers' pace is measured, and the gaps that are not measured yet.
  measures_pace: bool,
  gaps: Gaps,
  /// The next gap spans two sends.
  resumed: bool,
  sending: Sending,
  /// The stream of a run whose server sends nothing for now; another server may continue it.
  stalled: Option<Stream>,
  /// Reads of servers after the end of the request's time.
  overdue_reads: u32,
  /// A server's error response, sent to the caller if no better response follows.
  held_failure: Option<(Response, Vec<u8>)>,
  abandoned: Option<Abandoned>,
  disposition: Disposition,
  backlog: Backlog,
}

/// What is known of the current send.
#[derive(Clone, Default)]
struct Sending {
  /// When it began, in ms.
  sent_at: u64,
  /// Age of the list of servers, and the known pace of the server, at that time.
  servers_age: Option<Duration>,
  pace: Option<Pace>,
  /// Hints from the response about its server, and when its head arrived, in ms.
  hints: Hints,
  head_at: Option<u64>,
  /// The instance whose tunnel it uses.
  via: Option<SocketAddr>,
}

/// Result of a send, and the reason for it.
struct Outcome {
  end: End,
  why: &'static str,
  /// The server's side closed the connection while the request may have been running.
  disconnected: bool,
}

fn outcome(end: End, why: &'static str) -> Outcome {
  Outcome {
    end,
    why,
    disconnected: false,
  }
}

/// Outcome of a run whose connection the server's side closed.
fn disconnected(why: &'static str) -> Outcome {
  Outcome {
    disconnected: true,
    ..outcome(End::Broken, why)
  }
}

/// What happens to a caller's connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disposition {
  /// Keep it open for another request.
  Keep,
  Close,
  /// Reset it: the response was truncated, and an orderly close would make it look complete.
  Reset,
}

/// Serves a request.
pub fn serve(
  hub: &Hub,
  mailbox: &Arc<Mailbox>,
  caller: &mut Socket,
  incoming: &Incoming,
) -> Disposition {
  let dialect = &hub.dialect;
  let header = |name: &str| incoming.head.headers.get(name);
  let id = header(dialect.request_id).unwrap_or_default().to_string();
  let requested_ms = header(dialect.deadline_ms).and_then(|text| text.parse::<f64>().ok());
  let timeout = incoming.route.timeout_ms;
  let allowed_ms = requested_ms.map_or(timeout, |ms| (ms.max(0.0) as u64).min(timeout));
  let deadline = incoming.arrived_at + allowed_ms.saturating_sub(RESPONSE_RESERVE_MS);
  let model = header(dialect.model).map(Model::parse);
  let ticket = hub.ticket(mailbox);
  let content = content::Key::of(&incoming.head, dialect.content, &incoming.body);
  let pool = incoming.route.pool(xxh3_64(id.as_bytes()));
  let descriptor = Descriptor {
    ticket,
    id: id.clone(),
    route: incoming.route.clone(),
    pool: pool.unwrap_or_default().to_string(),
    model: model.clone(),
    affinity: affinity(header(dialect.prompt_parts), model.as_ref()),
    parts: content::shared_parts(header(dialect.prompt_parts)).into(),
    deadline,
    content,
    caller: incoming.caller,
    tokens: Tokens::parse(header(dialect.token_usage), header(dialect.length_hint)),
    resumption: resumption(hub, incoming),
  };
  let keep_alive = hub.keeps_alive(&incoming.head);
  let mut relay = Relay {
    hub,
    caller,
    incoming,
    id,
    content,
    deadline,
    ticket,
    response_framing: None,
    unframed_complete: false,
    events: Parser::default(),
    first_event_at: None,
    has_waited: false,
    last_event_at: 0,
    max_gap_ms: 0,
    measures_pace: hub.state().features.pace,
    gaps: Gaps::default(),
    resumed: false,
    sending: Sending::default(),
    stalled: None,
    overdue_reads: 0,
    held_failure: None,
    abandoned: None,
    disposition: if keep_alive {
      Disposition::Keep
    } else {
      Disposition::Close
    },
    backlog: Backlog::default(),
  };
  hub.measures.record_request();
  mailbox.waker.clear();
  mailbox.take();
  let open = Open { hub, ticket };
  hub.apply(Event::Arrived(descriptor), Some(ticket));
  relay.run(mailbox);
  drop(open);
  relay.end_stalled(STALLED);
  relay.flush();
  relay.end_unframed();
  relay.await_abandoned();
  relay.disposition
}

/// A request that the reducer knows of. If its thread panics, it ends as if its caller had left, and
/// takes no place at its server any more.
struct Open<'a> {
  hub: &'a Hub,
  ticket: Ticket,
}

impl Drop for Open<'_> {
  fn drop(&mut self) {
    self.hub.close(self.ticket);
    if thread::panicking() {
      self.hub.apply(Event::CallerGone(self.ticket), None);
    }
  }
}

/// The stream that a request resumes.
fn resumption(hub: &Hub, incoming: &Incoming) -> Option<Resumption> {
  incoming.route.stream.filter(|stream| stream.resumable)?;
  let header = |name: &str| incoming.head.headers.get(name);
  let (last_event, attempt) = (header("Last-Event-Id"), header(hub.dialect.resumes));
  let store_age = hub.gates.reachability.age();
  Resumption::parse(last_event, attempt, hub.gates.servers.age(), store_age)
}

/// Hash that is equal for requests whose prompts share a prefix: all parts but the last, which is
/// specific to the request.
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
        Some(Directive::Wait(until)) => match self.wait_for_directive(mailbox, until) {
          Ok(Wake::Directive) => mailbox.take().or(Some(Directive::Wait(until))),
          Ok(Wake::Timeout) => {
            self.apply(Event::Recheck(self.ticket));
            mailbox.take()
          }
          Ok(Wake::Server) => {
            self.apply(Event::Continued(self.ticket));
            if self.continue_stalled() {
              return;
            }
            mailbox.take()
          }
          Err(_) => return self.record_caller_gone(),
        },
        Some(Directive::Refuse(refusal)) => return self.refuse(refusal),
        // The reducer responds to every event of a ticket that it knows.
        None => return self.refuse(FALLBACK_REFUSAL),
      }
    }
  }

  fn apply(&self, event: Event) {
    self.hub.apply(event, Some(self.ticket));
  }

  /// Sends the request once; returns true if that finishes it.
  fn attempt(&mut self, attempt: &Attempt) -> bool {
    self.sending = Sending {
      sent_at: self.hub.now(),
      servers_age: self.hub.gates.servers.age(),
      pace: self.server_pace(attempt),
      ..Sending::default()
    };
    let result = self.send(attempt);
    self.end_send(attempt, &result)
  }

  /// Records the end of a send, or that its stream has stalled; returns true if that finishes the
  /// request.
  fn end_send(&mut self, attempt: &Attempt, result: &Outcome) -> bool {
    self.backlog.leave_server();
    if result.why == STALLED {
      self.log_stall(attempt);
    }
    let (ticket, end) = (self.ticket, result.end);
    if end == End::Stalled {
      self.record_completed(end, self.sending.sent_at);
      self.apply(Event::Ended { ticket, end });
      return false;
    }
    self.log_send(attempt, result, &self.sending);
    self.record_completed(end, self.sending.sent_at);
    // The events so far came from the stalled run.
    let streamed = self.first_event_at.is_some() && self.stalled.is_none();
    if streamed && self.hub.state().features.caller_strain {
      // A stream that broke off was silent until now.
      let silent_ms = self.hub.now().saturating_sub(self.last_event_at);
      let pause_ms = match end {
        End::Whole => self.max_gap_ms,
        _ => self.max_gap_ms.max(silent_ms),
      };
      self.apply(Event::StreamEnded { ticket, pause_ms });
    }
    self.apply(Event::Ended { ticket, end });
    match end {
      End::Superseded | End::Withdrawn => self.continue_stalled(),
      end => matches!(end, End::Whole | End::Failed | End::Left),
    }
  }

  /// Logs that a server sends nothing, and how many others could take the request now.
  fn log_stall(&self, attempt: &Attempt) {
    let begun = self.response_framing.is_some();
    let since = self.last_event_at.max(self.sending.sent_at);
    let others = self.hub.state().other_servers(attempt);
    info!(self.hub.log, "server stalled"; "request" => &self.id, "server" => &attempt.id,
      "send" => attempt.number, "begun" => begun, "events" => self.events.count,
      "silent_ms" => self.hub.now().saturating_sub(since), "other_servers" => others,
      "stopping" => self.hub.stopping.load(Ordering::Relaxed));
  }

  /// The known pace of the server of a send; `None` if pace is not measured.
  fn server_pace(&self, attempt: &Attempt) -> Option<Pace> {
    if !self.measures_pace {
      return None;
    }
    let state = self.hub.state();
    state
      .backends
      .get(attempt.backend)
      .map(|backend| backend.pace)
  }

  /// Records that the caller disconnected while its request waited.
  fn record_caller_gone(&mut self) {
    self.hub.measures.record_caller_gone();
    info!(self.hub.log, "caller left"; "request" => &self.id, "phase" => "waiting",
      "waited_ms" => self.hub.now() - self.incoming.arrived_at);
    if self.disposition != Disposition::Reset {
      self.disposition = Disposition::Close;
    }
    self.apply(Event::CallerGone(self.ticket));
  }

  /// The attempt whose stream the caller continues.
  fn resumes(&self) -> Option<&str> {
    self.incoming.head.headers.get(self.hub.dialect.resumes)
  }

  fn model(&self) -> Option<&str> {
    self.incoming.head.headers.get(self.hub.dialect.model)
  }

  /// Names the part of a response that exceeded its route's limits, for the log.
  fn lateness(&self) -> &'static str {
    let route = &self.incoming.route;
    let first_ms = self
      .first_event_at
      .map_or(0, |at| at - self.incoming.arrived_at);
    match route.stream {
      _ if first_ms > route.objective_ms => "first",
      Some(stream) if self.max_gap_ms > stream.gap_ms => "pause",
      _ => "no",
    }
  }

  fn log_send(&self, attempt: &Attempt, result: &Outcome, sending: &Sending) {
    let now = self.hub.now();
    let (sent_at, pace, hints) = (sending.sent_at, sending.pace, &sending.hints);
    self.hub.measures.record_send(&measures::Send {
      number: attempt.number,
      end: result.end,
      waited_ms: sent_at.saturating_sub(self.incoming.arrived_at),
      first_ms: self.first_event_at.map(|at| at - self.incoming.arrived_at),
      pause_ms: self.max_gap_ms,
      pace: pace.map(|pace| Class::of(pace.lasting)),
      expected_late: attempt
        .expected_late
        .is_some_and(|late| late != Lateness::No),
    });
    // The content key identifies failed requests with the same content.
    let content = (result.end != End::Whole).then(|| self.content.to_string());
    let caller = self.incoming.caller.as_ref();
    info!(self.hub.log, "sent"; "request" => &self.id, "route" => &self.incoming.route.name,
      "customer" => self.hub.customer_name(caller), "units" => caller.map(|caller| caller.cost),
      "content" => content,
      "resumes" => self.resumes(), "model" => self.model(), "late" => self.lateness(),
      "server" => &attempt.id, "build" => %attempt.build, "via" => sending.via.map(|peer| peer.to_string()), "limit" => &hints.limit, "brittle" => &hints.brittle,
      "leaving" => &hints.leaving, "retry_after" => &hints.retry_after,
      "head_ms" => sending.head_at.map(|at| at.saturating_sub(sent_at)), "send" => attempt.number, "end" => format!("{:?}", result.end),
      "why" => result.why, "verdict" => result.end.verdict().as_str(),
      "waited_ms" => sent_at.saturating_sub(self.incoming.arrived_at), "took_ms" => now - sent_at,
      "first_ms" => self.first_event_at.map(|at| at - self.incoming.arrived_at),
      "events" => self.events.count, "pause_ms" => self.max_gap_ms,
      "servers_age_ms" => sending.servers_age.map(|age| age.as_millis() as u64),
      "missing_ms" => attempt.missing_ms,
      "pace" => pace.map(|pace| rounded(pace.lasting)),
      "pace_now" => pace.map(|pace| rounded(pace.current)),
      "expected_first_ms" => attempt.expected_first_ms,
      "expected_pause_ms" => attempt.expected_pause_ms,
      "expected_late" => attempt.expected_late.map(|late| late.as_str()), "tokens" => attempt.tokens,
      "holding_ms" => attempt.holding_ms);
  }
}

/// A pace with two decimals, for the log.
fn rounded(pace: f32) -> f64 {
  (f64::from(pace) * 100.0).round() / 100.0
}
