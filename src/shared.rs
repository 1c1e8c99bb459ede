//! What the threads of an instance share.

use crate::{
  attempt::{Attempt, End},
  clock::Moment,
  event::Event,
  journal::{self, Entry, Journal, Line},
  metrics::Metrics,
  peer::Traffic,
  platform::Client,
  refusal::Refusal,
  request::Ticket,
  settings::Settings,
  state::State,
  status::Status,
  update::Outcome,
};
use slog::{Logger, info};
use std::{
  collections::HashMap,
  sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
    mpsc::{Receiver, Sender, channel},
  },
  time::Duration,
};

/// Longest wait for a look at the state.
const LOOK: Duration = Duration::from_secs(2);

/// How a request's thread is to go on.
pub enum Directive {
  Send(Attempt),
  Refuse(Refusal),
  Replay { status: u16, body: Option<String> },
  Batch(Outcome),
}

/// A look at the state, made on the reducer's thread.
pub type Look = Box<dyn FnOnce(&State) + Send>;

/// What reaches the reducer's thread.
pub enum Input {
  Event(Event),
  Look(Look),
}

/// What all threads of an instance share.
pub struct Shared {
  pub settings: Settings,
  pub boot: u64,
  pub log: Logger,
  pub metrics: Metrics,
  pub journal: Mutex<Journal>,
  pub platform: Client,
  /// What went between this instance and others.
  pub traffic: Arc<Traffic>,
  /// A planned stop has begun.
  pub stopping: AtomicBool,
  pub(crate) input: Sender<Input>,
  pub(crate) directives: Mutex<HashMap<Ticket, Sender<Directive>>>,
  pub(crate) tickets: AtomicU64,
  pub(crate) started: Moment,
  pub(crate) watching: AtomicBool,
}

/// Locks a mutex; a holder that panicked leaves usable data here.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
  /// Time, ms: wall clock at the start, monotonic after it.
  pub fn now(&self) -> u64 {
    self.boot + self.started.elapsed().as_millis() as u64
  }

  /// Notifies the reducer of an event.
  pub fn notify(&self, event: Event) {
    // Fails only after the reducer has ended, with the process.
    let _ = self.input.send(Input::Event(event));
  }

  /// A new ticket with the channel on which its directives come.
  pub fn open_ticket(&self) -> (Ticket, Receiver<Directive>) {
    let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed) + 1);
    let (sender, receiver) = channel();
    lock(&self.directives).insert(ticket, sender);
    (ticket, receiver)
  }

  /// Forgets a ticket.
  pub fn close_ticket(&self, ticket: Ticket) {
    lock(&self.directives).remove(&ticket);
  }

  /// Notifies a request's thread how it goes on.
  pub fn send(&self, ticket: Ticket, directive: Directive) {
    if let Some(sender) = lock(&self.directives).get(&ticket) {
      // The request's thread has ended: nobody is left to notify.
      let _ = sender.send(directive);
    }
  }

  /// What a look at the state finds; none when the reducer does not answer.
  pub fn query<T: Send + 'static>(
    &self,
    look: impl FnOnce(&State) -> T + Send + 'static,
  ) -> Option<T> {
    let (sender, receiver) = channel();
    let look: Look = Box::new(move |state| {
      // The asker may have given up.
      let _ = sender.send(look(state));
    });
    self.input.send(Input::Look(look)).ok()?;
    receiver.recv_timeout(LOOK).ok()
  }

  /// The instance's state, for operators.
  pub fn status(&self) -> Option<Status> {
    let status = self.query(Status::of)?;
    let sent = self.traffic.sent.load(Ordering::Relaxed);
    let received = self.traffic.received.load(Ordering::Relaxed);
    Some(Status {
      peer_bytes: sent + received,
      peer_messages: self.traffic.messages.load(Ordering::Relaxed),
      ..status
    })
  }

  /// Lines of the time line after `since`, ms.
  pub fn lines(&self, since: u64) -> Vec<Line> {
    let journal = lock(&self.journal);
    let lines = journal.lines().filter(|line| line.at > since);
    lines.cloned().collect()
  }

  /// Records a change of state.
  pub fn record(&self, entry: Entry) {
    self.metrics.count(&entry);
    if !entry.is_count() {
      info!(self.log, "changed"; journal::Fields(&entry));
    }
    lock(&self.journal).push(self.now(), entry);
  }
}

/// Notifies the reducer of an attempt's end.
pub fn notify_attempt_ended(
  shared: &Shared,
  attempt: &Attempt,
  end: End,
  answer: Option<(u16, Option<String>)>,
) {
  shared.notify(Event::AttemptEnded {
    ticket: attempt.ticket,
    number: attempt.number,
    end,
    answer,
  });
}
