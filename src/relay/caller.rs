//! The caller's side: waits while watching its connection, and writes the response to it.

use super::{Disposition, Outcome, Relay, encode_refusal, outcome};
use crate::{
  clock::Moment,
  dispatch::End,
  http::{Framing, LAST_CHUNK, Response, encode_chunk, has_body},
  hub::Mailbox,
  refusal::Refusal,
  socket::{Fill, Interest, wait},
};
use slog::{info, warn};
use std::{io, time::Duration};

/// Maximum time to wait for a caller that does not read.
const CALLER_WRITE_TIMEOUT: Duration = Duration::from_millis(5_000);

/// What ended a wait.
pub(super) enum Wake {
  /// There may be a directive.
  Directive,
  Timeout,
  /// The server of the stalled run sends again, or has closed the connection.
  Server,
}

impl Relay<'_> {
  /// Waits like `wait_for_wake`, and logs the first wait of a request.
  pub(super) fn wait_for_directive(&mut self, mailbox: &Mailbox, until: u64) -> io::Result<Wake> {
    if !std::mem::replace(&mut self.has_waited, true) {
      info!(self.hub.log, "waiting"; "request" => &self.id,
        "route" => &self.incoming.route.name, "model" => self.model(),
        "why" => "no server can take it now",
        "planner_age_ms" => self.hub.now().saturating_sub(self.hub.state().planner_seen_at));
    }
    self.wait_for_wake(mailbox, until)
  }

  /// Waits for the waker, the server of the stalled run or a deadline; an error means that the caller
  /// disconnected.
  fn wait_for_wake(&mut self, mailbox: &Mailbox, until: u64) -> io::Result<Wake> {
    let until = self.hub.instant(until);
    loop {
      // Data that the caller pipelines stays in its socket.
      let listen = self.caller.input.is_empty();
      let caller = listen.then_some((&self.caller.stream as &dyn rustix::fd::AsFd, Interest::Read));
      let waker = Some((&mailbox.waker as &dyn rustix::fd::AsFd, Interest::Read));
      let check_at = self.backlog.check_at(until);
      let sources = [caller, waker, self.write_source(), self.stalled_source()];
      let [caller_ready, woken, writable, server_ready] = wait(sources, check_at)?;
      if writable {
        self.write_backlog()?;
      }
      if let Some(cause) = self.drop_cause() {
        self.drop_reader(cause);
        return Err(io::ErrorKind::TimedOut.into());
      }
      if server_ready {
        return Ok(Wake::Server);
      }
      if woken {
        mailbox.waker.clear();
        return Ok(Wake::Directive);
      }
      if caller_ready {
        self.read_caller()?;
      } else if !writable && Moment::now() >= until {
        return Ok(Wake::Timeout);
      }
    }
  }

  pub(super) fn read_caller(&mut self) -> io::Result<()> {
    match self.caller.fill()? {
      Fill::Eof => Err(io::ErrorKind::ConnectionReset.into()),
      Fill::Data | Fill::Empty => Ok(()),
    }
  }

  /// Whether the connection stays open after the response whose head is written now.
  fn keep_alive(&mut self) -> bool {
    if self.disposition == Disposition::Keep && self.hub.closes(self.caller) {
      self.disposition = Disposition::Close;
    }
    self.disposition == Disposition::Keep
  }

  pub(super) fn send_response(&mut self, head: &Response, bytes: Vec<u8>) -> Result<(), Outcome> {
    if self.response_framing.is_some() {
      self.forward(head, Framing::Close, &bytes, true)?;
      return self.finish_body(head, Framing::Close);
    }
    let framing = match has_body(&self.incoming.head.method, head.status) {
      true => Framing::Length(bytes.len() as u64),
      false => Framing::Empty,
    };
    let mut head = head.clone();
    head.headers.remove_hop_by_hop();
    let mut response = head.encode(framing, self.keep_alive());
    response.extend_from_slice(&bytes);
    self.first_event_at.get_or_insert(self.hub.now());
    self.response_framing = Some(framing);
    self.write_caller(&response)
  }

  /// Forwards body bytes, preceded by the head if nothing was sent yet.
  pub(super) fn forward(
    &mut self,
    head: &Response,
    framing: Framing,
    bytes: &[u8],
    last: bool,
  ) -> Result<(), Outcome> {
    let mut response = Vec::new();
    if self.response_framing.is_none() {
      // A response delimited by the close of its connection is delimited that way for the caller
      // too. Chunks are unknown to HTTP/1.0.
      let framing = match framing {
        Framing::Empty => Framing::Empty,
        Framing::Close => Framing::Close,
        _ if self.incoming.head.minor == 0 => Framing::Close,
        _ => Framing::Chunked,
      };
      let mut head = head.clone();
      head.headers.remove_hop_by_hop();
      response = head.encode(framing, self.keep_alive());
      self.response_framing = Some(framing);
      if framing == Framing::Close {
        self.disposition = Disposition::Close;
        self.set_reset_on_close(true);
      }
    }
    match self.response_framing {
      Some(Framing::Chunked) if !bytes.is_empty() => {
        response.extend_from_slice(&encode_chunk(bytes))
      }
      _ => response.extend_from_slice(bytes),
    }
    if last && self.response_framing == Some(Framing::Chunked) {
      response.extend_from_slice(LAST_CHUNK);
      self.response_framing = Some(Framing::Length(0));
    }
    self.write_caller(&response)
  }

  /// Ends the body unless `forward` has done so.
  pub(super) fn finish_body(&mut self, head: &Response, framing: Framing) -> Result<(), Outcome> {
    match self.response_framing {
      None => {
        self.unframed_complete = true;
        self.forward(head, framing, &[], true)
      }
      Some(Framing::Chunked) => {
        self.response_framing = Some(Framing::Length(0));
        self.write_caller(LAST_CHUNK)
      }
      Some(Framing::Close) => {
        self.unframed_complete = true;
        Ok(())
      }
      Some(_) => Ok(()),
    }
  }

  /// Lets a complete response that is delimited by the close of its connection end in an orderly
  /// way, and one that is incomplete with a reset.
  pub(super) fn end_unframed(&mut self) {
    if self.response_framing != Some(Framing::Close) || self.disposition != Disposition::Close {
      return;
    }
    match self.unframed_complete {
      true => self.set_reset_on_close(false),
      false => self.disposition = Disposition::Reset,
    }
  }

  fn set_reset_on_close(&self, reset: bool) {
    if let Err(error) = self.caller.set_reset_on_close(reset) {
      warn!(self.hub.log, "connection option not set"; "request" => &self.id, "reset" => reset,
        "error" => %error);
    }
  }

  fn write_caller(&mut self, bytes: &[u8]) -> Result<(), Outcome> {
    if self.incoming.account.is_some() {
      return self.write_or_queue(bytes);
    }
    let until = Moment::now() + CALLER_WRITE_TIMEOUT;
    self.caller.write_all(bytes, until).map_err(|_| {
      self.disposition = Disposition::Close;
      outcome(End::Left, "caller does not read")
    })
  }

  /// Sends the final response to a request that is not served.
  pub(super) fn refuse(&mut self, refusal: Refusal) {
    self.hub.measures.record_refusal(&refusal);
    let caller = self.incoming.caller.as_ref();
    let shortage = refusal.shortage;
    let fleet_usage = shortage.and_then(|shortage| shortage.fleet_usage);
    info!(self.hub.log, "refused"; "request" => &self.id, "route" => &self.incoming.route.name,
      "reason" => refusal.reason.as_str(), "verdict" => refusal.verdict.as_str(),
      "model" => self.model(), "begun" => self.response_framing.is_some(),
      "waited_ms" => self.hub.now() - self.incoming.arrived_at, "customer" => self.hub.customer_name(caller),
      "units" => caller.map(|caller| caller.cost), "retry_after_ms" => refusal.retry_after,
      "why" => shortage.map(|shortage| shortage.basis.to_string()),
      "allowed" => shortage.map(|shortage| shortage.allowed),
      "granted" => shortage.map(|shortage| shortage.granted),
      "share" => shortage.map(|shortage| shortage.share),
      "fleet_used" => fleet_usage.map(|(used, _)| used),
      "fleet_age_ms" => fleet_usage.map(|(_, age)| age));
    if self.response_framing.is_some() {
      self.hub.measures.record_cut_answer(&refusal);
      // A truncated response must not look complete.
      self.disposition = match self.response_framing {
        Some(Framing::Close) => Disposition::Reset,
        _ => Disposition::Close,
      };
      return;
    }
    let written = match self.held_failure.take() {
      Some((head, bytes)) => self.send_response(&head, bytes),
      None => {
        let response = encode_refusal(&refusal, &self.incoming.head.method, self.keep_alive());
        self.write_caller(&response)
      }
    };
    if written.is_err() {
      self.disposition = Disposition::Close;
    }
  }
}
