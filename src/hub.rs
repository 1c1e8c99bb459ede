//! The routed requests' reducer and the threads that wait for its decisions.

use crate::{
  clock::Moment,
  contact::Reachability,
  customer::{Caller, Standing},
  deployment::Deployment,
  dialect::Dialect,
  dispatch::{Attempt, Effect, End, Event, State},
  feed::Gate,
  measures::Measures,
  refusal::Refusal,
  request::Ticket,
  socket::Waker,
  upstream::Pool,
};
use slog::{Logger, info};
use std::{
  collections::{HashMap, VecDeque},
  io,
  sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
  },
  time::Duration,
};

/// What a request's thread is to do next.
#[derive(Clone, Debug)]
pub enum Directive {
  Send(Attempt),
  /// Look again at this time, ms, or when the bell rings.
  Wait(u64),
  Refuse(Refusal),
}

/// Where a thread finds its directives.
#[derive(Debug)]
pub struct Mailbox {
  directives: Mutex<VecDeque<Directive>>,
  pub waker: Waker,
}

impl Mailbox {
  /// An empty mailbox.
  pub fn new() -> io::Result<Self> {
    Ok(Self {
      directives: Mutex::default(),
      waker: Waker::new()?,
    })
  }

  fn put(&self, directive: Directive) {
    let mut directives = lock(&self.directives);
    directives.push_back(directive);
  }

  /// The newest directive; older ones no longer count.
  pub fn take(&self) -> Option<Directive> {
    let mut directives = lock(&self.directives);
    let newest = directives.pop_back();
    directives.clear();
    newest
  }
}

/// Who watches what of the store.
#[derive(Debug)]
pub struct Gates {
  pub deployments: Gate,
  pub servers: Gate,
  /// When the store answered anybody.
  pub reachability: Arc<Reachability>,
}

impl Gates {
  fn open() -> Self {
    let contact = Arc::new(Reachability::default());
    Self {
      deployments: Gate::open(contact.clone()),
      servers: Gate::open(contact.clone()),
      reachability: contact,
    }
  }
}

/// What the threads of a routing instance share.
pub struct Hub {
  pub log: Logger,
  pub dialect: Dialect,
  pub pool: Pool,
  pub measures: Measures,
  pub gates: Gates,
  /// A planned stop has begun.
  pub stopping: AtomicBool,
  /// Rings at a planned stop.
  pub stop_waker: Waker,
  /// Rings when demand should be reported to the planner.
  pub report_waker: Waker,
  /// Requests under way.
  pub active: AtomicUsize,
  /// Customers' standings, where this instance holds the lease.
  pub standings: Mutex<Vec<Standing>>,
  /// What is known of keys counts for so long, ms.
  key_age_ms: AtomicU64,
  started: Moment,
  tickets: AtomicU64,
  state: Mutex<State>,
  mailboxes: Mutex<HashMap<Ticket, Arc<Mailbox>>>,
}

impl Hub {
  /// A hub around a state.
  pub fn new(state: State, dialect: Dialect, log: Logger) -> io::Result<Arc<Self>> {
    let measures = Measures::open().map_err(|error| io::Error::other(error.to_string()))?;
    Ok(Arc::new(Self {
      log,
      dialect,
      pool: Pool::default(),
      measures,
      gates: Gates::open(),
      stopping: AtomicBool::new(false),
      stop_waker: Waker::new()?,
      report_waker: Waker::new()?,
      active: AtomicUsize::new(0),
      standings: Mutex::default(),
      key_age_ms: AtomicU64::new(u64::MAX),
      started: Moment::now(),
      tickets: AtomicU64::new(0),
      state: Mutex::new(state),
      mailboxes: Mutex::default(),
    }))
  }

  /// Keys count for so long after the moment as of which they are surely known.
  pub fn set_max_key_age(&self, age: Duration) {
    let ms = age.as_millis() as u64;
    self.key_age_ms.store(ms, Ordering::Relaxed);
  }

  /// Whether what is known of keys still counts.
  pub fn keys_fresh(&self) -> bool {
    let bound = self.key_age_ms.load(Ordering::Relaxed);
    let age = self.gates.deployments.sure_age();
    bound == u64::MAX || age.is_some_and(|age| age.as_millis() < u128::from(bound))
  }

  /// Whether requests can be served: where customers are known, those with a key too.
  pub fn ready(&self) -> bool {
    let state = self.state();
    let keyed = |deployment: &Arc<Deployment>| deployment.customers.is_some();
    let keyed = state.deployment.as_ref().is_some_and(keyed);
    state.ready() && (!keyed || self.keys_fresh()) && !self.stopping.load(Ordering::Relaxed)
  }

  /// Why a request of a caller may not go out any more; none: it may.
  pub fn key_rejection(&self, caller: Option<&Caller>) -> Option<End> {
    let caller = caller?;
    if !self.keys_fresh() {
      return Some(End::Unsure);
    }
    let state = self.state();
    let book = state.deployment.as_ref()?.customers.as_ref()?;
    (!book.admits(caller)).then_some(End::Barred)
  }

  /// Milliseconds on the steady clock since the start.
  pub fn now(&self) -> u64 {
    self.started.elapsed().as_millis() as u64
  }

  /// The moment of a time on the hub's clock.
  pub fn instant(&self, ms: u64) -> Moment {
    self.started + Duration::from_millis(ms)
  }

  /// A new ticket whose directives go to `mailbox`.
  pub fn ticket(&self, mailbox: &Arc<Mailbox>) -> Ticket {
    let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
    lock(&self.mailboxes).insert(ticket, mailbox.clone());
    ticket
  }

  /// Ends a ticket.
  pub fn close(&self, ticket: Ticket) {
    lock(&self.mailboxes).remove(&ticket);
  }

  /// The state, for a look.
  pub fn state(&self) -> MutexGuard<'_, State> {
    lock(&self.state)
  }

  /// Takes up an event and hands its effects out; `own` needs no bell.
  pub fn apply(&self, event: Event, own: Option<Ticket>) {
    // Locked before the decision: what is decided later must not be handed out earlier.
    let mailboxes = lock(&self.mailboxes);
    let effects = self.state().reduce(self.now(), event);
    for effect in effects {
      let (ticket, directive) = match effect {
        Effect::Send(attempt) => (attempt.ticket, Directive::Send(attempt)),
        Effect::Wait(ticket, until) => (ticket, Directive::Wait(until)),
        Effect::Refuse(ticket, refusal) => (ticket, Directive::Refuse(refusal)),
        Effect::ReportDemand | Effect::ReportCrashes | Effect::RequestQuota => {
          self.report_waker.wake();
          continue;
        }
        Effect::LimitChanged { id, rate } => {
          info!(self.log, "server limit"; "server" => id, "rate" => rate);
          self.report_waker.wake();
          continue;
        }
        Effect::Leaving { id, own } => {
          info!(self.log, "server says that it leaves"; "server" => id, "to_this_instance" => own);
          self.report_waker.wake();
          continue;
        }
        Effect::Backoff {
          id,
          backoff_ms: rest_ms,
        } => {
          info!(self.log, "server asks for rest"; "server" => id, "rest_ms" => rest_ms);
          continue;
        }
        Effect::Missing { id, kept_ms } => {
          info!(self.log, "server's entry is missing"; "server" => id, "kept_ms" => kept_ms);
          continue;
        }
        Effect::Removed(id) => {
          info!(self.log, "server is gone"; "server" => id, "why" => "its entry was removed");
          continue;
        }
        Effect::Expired(id) => {
          info!(self.log, "server is gone"; "server" => id,
            "why" => "its entry did not come back with the store");
          continue;
        }
      };
      let Some(mailbox) = mailboxes.get(&ticket) else {
        continue;
      };
      let own = own == Some(ticket);
      if !own && matches!(directive, Directive::Wait(_)) {
        // Its thread waits already and looks again by itself.
        continue;
      }
      mailbox.put(directive);
      if !own {
        mailbox.waker.wake();
      }
    }
  }

  /// Begins a planned stop.
  pub fn stop(&self) {
    self.stopping.store(true, Ordering::Relaxed);
    self.stop_waker.wake();
  }
}

/// Locks what no panic leaves half done.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
