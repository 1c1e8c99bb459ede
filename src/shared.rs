//! State shared by the threads of an instance.

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
  web::Stop,
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

/// Timeout of a query of the state.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Tells a request's thread how to continue.
pub enum Directive {
  Send(Attempt),
  Refuse(Refusal),
  Replay { status: u16, body: Option<String> },
  Batch(Outcome),
}

/// A query of the state, run on the reducer's thread.
pub type Query = Box<dyn FnOnce(&State) + Send>;

/// Input of the reducer's thread.
pub enum Input {
  Event(Event),
  Query(Query),
}

/// State shared by all threads of an instance.
pub struct Shared {
  pub settings: Settings,
  pub boot: u64,
  pub log: Logger,
  pub metrics: Metrics,
  pub journal: Mutex<Journal>,
  pub platform: Client,
  /// Traffic counters between this instance and others.
  pub traffic: Arc<Traffic>,
  /// A planned stop, and the requests in progress.
  pub stop: Arc<Stop>,
  pub(crate) input: Sender<Input>,
  pub(crate) directives: Mutex<HashMap<Ticket, Sender<Directive>>>,
  pub(crate) tickets: AtomicU64,
  pub(crate) started: Moment,
  pub(crate) watching: AtomicBool,
}

/// Locks a mutex, ignoring poisoning: a holder that panicked leaves usable data here.
pub fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
  /// Time in ms: the wall clock at the start plus the monotonic time since then.
  pub fn now(&self) -> u64 {
    self.boot + self.started.elapsed().as_millis() as u64
  }

  /// Sends an event to the reducer.
  pub fn notify(&self, event: Event) {
    // Fails only after the reducer has ended, when the process ends too.
    let _ = self.input.send(Input::Event(event));
  }

  /// Creates a ticket and the channel that receives its directives.
  pub fn open_ticket(&self) -> (Ticket, Receiver<Directive>) {
    let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed) + 1);
    let (sender, receiver) = channel();
    lock(&self.directives).insert(ticket, sender);
    (ticket, receiver)
  }

  /// Removes a ticket.
  pub fn close_ticket(&self, ticket: Ticket) {
    lock(&self.directives).remove(&ticket);
  }

  /// Sends a directive to a request's thread.
  pub fn send(&self, ticket: Ticket, directive: Directive) {
    if let Some(sender) = lock(&self.directives).get(&ticket) {
      // Fails if the request's thread has ended.
      let _ = sender.send(directive);
    }
  }

  /// Runs a query of the state on the reducer's thread; `None` if the reducer does not
  /// respond in time.
  pub fn query<T: Send + 'static>(
    &self,
    query: impl FnOnce(&State) -> T + Send + 'static,
  ) -> Option<T> {
    let (sender, receiver) = channel();
    let query: Query = Box::new(move |state| {
      // The querying thread may have timed out.
      let _ = sender.send(query(state));
    });
    self.input.send(Input::Query(query)).ok()?;
    receiver.recv_timeout(QUERY_TIMEOUT).ok()
  }

  /// The instance's state, for operators.
  pub fn status(&self) -> Option<Status> {
    let status = self.query(Status::new)?;
    let sent = self.traffic.sent.load(Ordering::Relaxed);
    let received = self.traffic.received.load(Ordering::Relaxed);
    Some(Status {
      peer_bytes: sent + received,
      peer_messages: self.traffic.messages.load(Ordering::Relaxed),
      ..status
    })
  }

  /// Lines of the timeline after `since`, in ms.
  pub fn lines(&self, since: u64) -> Vec<Line> {
    let journal = lock(&self.journal);
    let lines = journal.lines().filter(|line| line.at > since);
    lines.cloned().collect()
  }

  /// Records an entry in the metrics and the journal, and logs it if it is a state change.
  pub fn record(&self, entry: Entry) {
    self.metrics.record_entry(&entry);
    if !entry.is_count() {
      info!(self.log, "changed"; journal::Fields(&entry));
    }
    lock(&self.journal).push(self.now(), entry);
  }
}

/// Notifies the reducer of the end of an attempt.
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
