//! Parts of a response that the caller has not read yet. They are held within the bounds of
//! `reader`, so that the server's connection is still read.

use super::{Disposition, Outcome, Relay, outcome};
use crate::{
  clock::Moment,
  dispatch::End,
  reader::{self, Account, Cause, Scope},
  socket::{Interest, READ_BYTES, wait},
};
use rustix::fd::AsFd;
use slog::info;
use std::{collections::VecDeque, io};

/// What is held for a caller.
#[derive(Default)]
pub(super) struct Backlog {
  /// Each is full but the last one.
  buffers: VecDeque<Vec<u8>>,
  /// Bytes of the first buffer that the caller has taken.
  written: usize,
  /// Bytes that the caller has not taken.
  held: usize,
  /// Loose and fixed bytes that the account was charged with.
  charged: usize,
  gathered: usize,
  /// Bytes taken since `progress_at`.
  progress: usize,
  /// When the caller last made progress; `None` while nothing is held.
  progress_at: Option<Moment>,
  /// From when the server has been left unread.
  server_unread_since: Option<Moment>,
}

impl Backlog {
  /// When a thread that waits until `until` checks whether its caller is to be dropped.
  pub(super) fn check_at(&self, until: Moment) -> Moment {
    match self.charged > 0 || self.progress_at.is_some() || self.server_unread_since.is_some() {
      true => until.min(Moment::now() + reader::CHECK_INTERVAL),
      false => until,
    }
  }

  /// Charges the bytes of a plain answer that is gathered before the caller gets any of it.
  pub(super) fn gathered(&mut self, account: Option<&Account>, bytes: usize) {
    let Some(account) = account.filter(|_| bytes.max(self.gathered) > READ_BYTES) else {
      return;
    };
    account.hold(self.gathered as u64, bytes as u64);
    self.gathered = bytes;
  }

  /// The server's connection is no longer this request's.
  pub(super) fn leave_server(&mut self) {
    self.server_unread_since = None;
  }

  fn push(&mut self, account: &Account, mut bytes: &[u8]) {
    self.progress_at.get_or_insert_with(Moment::now);
    self.held += bytes.len();
    while !bytes.is_empty() {
      let room = self
        .buffers
        .back()
        .map_or(0, |last| READ_BYTES - last.len());
      if room == 0 {
        self.buffers.push_back(account.take_buffer());
        continue;
      }
      let (part, rest) = bytes.split_at(room.min(bytes.len()));
      if let Some(last) = self.buffers.back_mut() {
        last.extend_from_slice(part);
      }
      bytes = rest;
    }
  }

  /// The next bytes to write; empty if nothing is held.
  fn front(&self) -> &[u8] {
    self
      .buffers
      .front()
      .map_or(&[], |front| &front[self.written..])
  }

  /// Removes bytes of the front that were written.
  fn consume(&mut self, account: &Account, length: usize) {
    self.written += length;
    self.held -= length;
    self.progress += length;
    if self.front().is_empty() {
      self.written = 0;
      if let Some(buffer) = self.buffers.pop_front() {
        account.return_buffer(buffer);
      }
    }
    if self.held == 0 {
      self.progress_at = None;
      self.progress = 0;
    } else if self.progress >= reader::MIN_PROGRESS_BYTES {
      self.progress_at = Some(Moment::now());
      self.progress = 0;
    }
  }

  /// Discards what is held.
  fn discard(&mut self, account: &Account) {
    for buffer in self.buffers.drain(..) {
      account.return_buffer(buffer);
    }
    *self = Self::default();
  }
}

impl Relay<'_> {
  /// Writes what the caller takes at once and holds the rest.
  pub(super) fn write_or_queue(&mut self, mut bytes: &[u8]) -> Result<(), Outcome> {
    while self.backlog.held == 0 && !bytes.is_empty() {
      match self.caller.try_write(bytes) {
        Ok(0) => break,
        Ok(length) => bytes = &bytes[length..],
        Err(_) => {
          self.disposition = Disposition::Close;
          return Err(outcome(End::Left, "caller left"));
        }
      }
    }
    let Some(account) = &self.incoming.account else {
      return Ok(());
    };
    if !bytes.is_empty() {
      self.backlog.push(account, bytes);
    }
    // The bytes are in memory already; `has_room` decides about further ones.
    self.backlog.gathered(Some(account), 0);
    let held = self.backlog.held;
    if held > self.backlog.charged {
      account.keep(held as u64);
      self.backlog.charged = held;
    }
    Ok(())
  }

  /// The caller's connection, if bytes wait to be written to it.
  pub(super) fn write_source(&self) -> Option<(&dyn AsFd, Interest)> {
    let waits = self.backlog.held > 0;
    waits.then_some((&self.caller.stream as &dyn AsFd, Interest::Write))
  }

  /// Writes what the caller takes of the bytes held for it.
  pub(super) fn write_backlog(&mut self) -> io::Result<()> {
    let Some(account) = &self.incoming.account else {
      return Ok(());
    };
    while self.backlog.held > 0 {
      match self.caller.try_write(self.backlog.front())? {
        0 => break,
        length => self.backlog.consume(account, length),
      }
    }
    Ok(())
  }

  /// Whether another part of the answer may be read. Without bounds and without bytes held, it may.
  ///
  /// # Errors
  ///
  /// The answer cannot be held although the caller has read all that it was sent.
  pub(super) fn has_room(&mut self) -> Result<bool, Outcome> {
    let Some(account) = &self.incoming.account else {
      return Ok(true);
    };
    let held = self.backlog.held + self.events.partial().len() + self.stalled_bytes();
    // The charge of each request covers this much.
    let covered = held + READ_BYTES <= reader::BASE_BYTES as usize;
    let wanted = if covered { 0 } else { held + READ_BYTES };
    if wanted == self.backlog.charged {
      self.backlog.server_unread_since = None;
      return Ok(true);
    }
    match account.grow(wanted as u64) {
      Ok(()) => {
        self.backlog.charged = wanted;
        self.backlog.server_unread_since = None;
        Ok(true)
      }
      Err(Scope::Caller) if self.backlog.held == 0 => {
        Err(outcome(End::Broken, "an event exceeds the caller's bound"))
      }
      Err(_) => {
        self
          .backlog
          .server_unread_since
          .get_or_insert_with(Moment::now);
        Ok(false)
      }
    }
  }

  /// Why the caller is to be dropped now; `None` if it is not.
  pub(super) fn drop_cause(&self) -> Option<Cause> {
    let account = self.incoming.account.as_ref()?;
    let backlog = &self.backlog;
    let unread = backlog.server_unread_since.map(Moment::elapsed);
    if unread.is_some_and(|unread| unread >= reader::MAX_SERVER_UNREAD) {
      return Some(Cause::ServerUnread);
    }
    let idle = backlog.progress_at.map(Moment::elapsed);
    if idle.is_some_and(|idle| idle >= reader::MAX_READER_IDLE) {
      return Some(Cause::Idle);
    }
    (backlog.charged > 0 && account.is_dropped()).then_some(Cause::Pressure)
  }

  /// Drops the caller. The reset also releases what the system holds for its connection, and an
  /// incomplete response does not look complete.
  pub(super) fn drop_reader(&mut self, cause: Cause) -> Outcome {
    let backlog = &mut self.backlog;
    let account = self.incoming.account.as_ref();
    self.hub.measures.record_reader_dropped(cause);
    info!(self.hub.log, "reader dropped"; "request" => &self.id,
      "route" => &self.incoming.route.name, "cause" => cause.as_str(),
      "bytes" => backlog.held,
      "unread_ms" => backlog.progress_at.map(|at| at.elapsed().as_millis() as u64),
      "server_unread_ms" =>
        backlog.server_unread_since.map(|at| at.elapsed().as_millis() as u64),
      "held_bytes" => account.map(Account::total));
    if let Some(account) = account {
      backlog.discard(account);
      account.keep(0);
    }
    self.disposition = Disposition::Reset;
    outcome(End::Left, "caller does not read")
  }

  /// Writes what is still held when the request has ended, while the caller reads it.
  pub(super) fn flush(&mut self) {
    let Some(account) = &self.incoming.account else {
      return;
    };
    while self.backlog.held > 0 && self.disposition != Disposition::Reset {
      if self.backlog.charged != self.backlog.held {
        account.keep(self.backlog.held as u64);
        self.backlog.charged = self.backlog.held;
      }
      let check_at = self
        .backlog
        .check_at(Moment::now() + reader::MAX_READER_IDLE);
      let waited = wait([self.write_source()], check_at);
      let written = match waited {
        Ok([true]) => self.write_backlog(),
        Ok([false]) => Ok(()),
        Err(error) => Err(error),
      };
      if written.is_err() {
        info!(self.hub.log, "caller left"; "request" => &self.id, "phase" => "reading",
          "waited_ms" => self.hub.now() - self.incoming.arrived_at);
        self.disposition = Disposition::Close;
        break;
      }
      if let Some(cause) = self.drop_cause() {
        self.drop_reader(cause);
      }
    }
    self.backlog.discard(account);
  }
}
