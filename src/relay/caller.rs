//! The caller's side: waiting beside it, and writing an answer to it.

use super::{Disposition, Outcome, Relay, encode_refusal, outcome};
use crate::{
  clock::Moment,
  dispatch::End,
  http::{Framing, LAST_CHUNK, Response, encode_chunk},
  hub::Mailbox,
  refusal::Refusal,
  socket::{Fill, Interest, wait},
};
use slog::info;
use std::{io, time::Duration};

/// Longest wait on a caller that does not read.
const CALLER_STALL: Duration = Duration::from_millis(5_000);

impl Relay<'_> {
  /// Waits as `rest` does; the first wait of a request is recorded.
  pub(super) fn await_change(&mut self, mailbox: &Mailbox, until: u64) -> io::Result<bool> {
    if !std::mem::replace(&mut self.waited, true) {
      info!(self.hub.log, "waiting"; "request" => &self.id,
        "route" => &self.incoming.route.name, "model" => self.model(),
        "why" => "no server can take it now",
        "planner_age_ms" => self.hub.now().saturating_sub(self.hub.state().planner_seen_at));
    }
    self.rest(mailbox, until)
  }

  /// Waits for the bell or a time; an error says that the caller has gone.
  fn rest(&mut self, mailbox: &Mailbox, until: u64) -> io::Result<bool> {
    let until = self.hub.instant(until);
    loop {
      // What a caller sends ahead is left in its socket.
      let listen = self.caller.input.is_empty();
      let caller = listen.then_some((&self.caller.stream as &dyn rustix::fd::AsFd, Interest::Read));
      let [called, rung] = wait([caller, Some((&mailbox.waker, Interest::Read))], until)?;
      if rung {
        mailbox.waker.clear();
        return Ok(true);
      }
      if !called {
        return Ok(false);
      }
      self.hear_caller()?;
    }
  }

  pub(super) fn hear_caller(&mut self) -> io::Result<()> {
    match self.caller.fill()? {
      Fill::Eof => Err(io::ErrorKind::ConnectionReset.into()),
      Fill::Data | Fill::Empty => Ok(()),
    }
  }

  fn keeps(&self) -> bool {
    self.then == Disposition::Keep
  }

  pub(super) fn give(&mut self, head: &Response, bytes: Vec<u8>) -> Result<(), Outcome> {
    if self.begun.is_some() {
      self.deliver(head, Framing::Close, &bytes, true)?;
      return self.finish(head, Framing::Close);
    }
    let framing = match self.incoming.head.method == "HEAD" || matches!(head.status, 204 | 304) {
      true => Framing::Empty,
      false => Framing::Length(bytes.len() as u64),
    };
    let mut head = head.clone();
    head.headers.remove_hop_by_hop();
    let mut answer = head.encode(framing, self.keeps());
    answer.extend_from_slice(&bytes);
    self.first_ms.get_or_insert(self.hub.now());
    self.begun = Some(framing);
    self.write_caller(&answer)
  }

  /// Passes bytes of a body on, after the head when they are the first.
  pub(super) fn deliver(
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
      head.headers.remove_hop_by_hop();
      answer = head.encode(framing, self.keeps());
      self.begun = Some(framing);
      if framing == Framing::Close {
        self.then = Disposition::Close;
      }
    }
    match self.begun {
      Some(Framing::Chunked) if !bytes.is_empty() => answer.extend_from_slice(&encode_chunk(bytes)),
      _ => answer.extend_from_slice(bytes),
    }
    if last && self.begun == Some(Framing::Chunked) {
      answer.extend_from_slice(LAST_CHUNK);
      self.begun = Some(Framing::Length(0));
    }
    self.write_caller(&answer)
  }

  /// Marks the body as whole, where `deliver` has not.
  pub(super) fn finish(&mut self, head: &Response, framing: Framing) -> Result<(), Outcome> {
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
    let until = Moment::now() + CALLER_STALL;
    self.caller.write_all(bytes, until).map_err(|_| {
      self.then = Disposition::Close;
      outcome(End::Left, "caller does not read")
    })
  }

  /// The final answer to a request that is not served.
  pub(super) fn refuse(&mut self, refusal: Refusal) {
    self.hub.measures.record_refusal(&refusal);
    info!(self.hub.log, "refused"; "request" => &self.id, "route" => &self.incoming.route.name,
      "reason" => refusal.reason.as_str(), "verdict" => refusal.verdict.as_str(),
      "model" => self.model(), "begun" => self.begun.is_some(),
      "waited_ms" => self.hub.now() - self.incoming.arrived_at);
    if self.begun.is_some() {
      // An answer that ends early must not look whole.
      self.then = match self.begun {
        Some(Framing::Close) => Disposition::Reset,
        _ => Disposition::Close,
      };
      return;
    }
    let written = match self.held.take() {
      Some((head, bytes)) => self.give(&head, bytes),
      None => {
        let answer = encode_refusal(&refusal, self.keeps());
        self.write_caller(&answer)
      }
    };
    if written.is_err() {
      self.then = Disposition::Close;
    }
  }
}
