//! Connects the reducer for routed requests with the threads that wait for its decisions.

use crate::{
  activity::Activity,
  admission::Admission,
  backend,
  build::resume::{Basis, Decision},
  clock::{self, Moment},
  content,
  crash::Crash,
  customer::{Caller, Standing},
  deployment::Deployment,
  dialect::Dialect,
  dispatch::{Attempt, Effect, End, Event, State},
  essential,
  expiry::REAPPEAR_MS,
  feed::{Gate, OUTAGE_THRESHOLD},
  http::Request,
  life::Life,
  liveness::Ends,
  measures::Measures,
  message::{self, Extension, Message},
  reachability::Reachability,
  reader::Book,
  readiness::Readiness,
  refusal::Refusal,
  request::Ticket,
  socket::{Socket, Waker},
  tunnel::{Paths, Peers},
  upstream::Pool,
};
use slog::{Logger, crit, info, warn};
use std::{
  collections::{HashMap, VecDeque},
  io,
  net::SocketAddr,
  panic::{AssertUnwindSafe, catch_unwind},
  sync::{
    Arc, Mutex, MutexGuard, OnceLock, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  time::Duration,
};

/// A partition from all servers is acted on after this time; lost packets end sooner.
const PARTITION_CONFIRMED_MS: u64 = 1_500;

/// Times of a graceful shutdown, in ms on the hub's clock.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
  /// New requests are accepted until then.
  pub accept_until: u64,
  /// Requests that still wait or arrive then are refused.
  pub refuse_at: u64,
  /// Requests that still run then are ended.
  pub end_at: u64,
}

/// The next action of a request's thread.
#[derive(Clone, Debug)]
pub enum Directive {
  Send(Attempt),
  /// Check again when woken, or at this time in milliseconds.
  Wait(u64),
  Refuse(Refusal),
}

/// The directives for one thread.
#[derive(Debug)]
pub struct Mailbox {
  directives: Mutex<VecDeque<Directive>>,
  pub waker: Waker,
}

impl Mailbox {
  /// Creates an empty mailbox.
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

  /// Takes the newest directive and discards older ones.
  pub fn take(&self) -> Option<Directive> {
    let mut directives = lock(&self.directives);
    let newest = directives.pop_back();
    directives.clear();
    newest
  }
}

/// Controls which kinds of objects this instance watches in the store itself.
#[derive(Debug)]
pub struct Gates {
  pub deployments: Gate,
  pub servers: Gate,
  /// When the store responded to any instance.
  pub reachability: Arc<Reachability>,
}

impl Gates {
  fn new() -> Self {
    let reachability = Arc::new(Reachability::default());
    Self {
      deployments: Gate::new(reachability.clone()),
      servers: Gate::new(reachability.clone()),
      reachability,
    }
  }

  /// How long entries of servers may still be missing that expired before this instance read the
  /// entries for the first time. It cannot tell such servers from servers that do not exist.
  pub(crate) fn unknown_servers_for(&self) -> Duration {
    let first_known_at = self.servers.first_known_at();
    let outage_end =
      first_known_at.and_then(|at| self.reachability.last_outage_end(at, OUTAGE_THRESHOLD));
    let since = outage_end.map_or(Duration::ZERO, Moment::elapsed);
    Duration::from_millis(REAPPEAR_MS).saturating_sub(since)
  }
}

/// State shared by the threads of a routing instance.
pub struct Hub {
  pub log: Logger,
  pub dialect: Dialect,
  pub pool: Pool,
  /// Which servers this instance reaches, and the instances that may carry tunnels to them.
  pub(crate) paths: Paths,
  pub(crate) peers: Peers,
  /// When connections to servers ended together with a response.
  pub(crate) ends: Ends,
  pub measures: Measures,
  pub gates: Gates,
  /// Whether a graceful shutdown has started.
  pub stopping: AtomicBool,
  /// Its times, once it has started.
  shutdown: OnceLock<Shutdown>,
  /// Signalled when a graceful shutdown starts.
  pub stop_waker: Waker,
  /// Signalled when demand should be reported to the planner.
  pub report_waker: Waker,
  /// Wakes the planner without a report.
  planner_waker: OnceLock<Arc<Waker>>,
  /// Requests in progress.
  pub active: Activity,
  /// Connections of callers, once their port is bound.
  pub admission: OnceLock<Admission>,
  /// Bytes held for callers, if they are bounded.
  pub readers: OnceLock<Book>,
  /// Customers' quota usage, if this instance holds the lease.
  pub standings: Mutex<Vec<Standing>>,
  /// How long known keys are trusted after they were last confirmed.
  max_key_age_ms: AtomicU64,
  started: Moment,
  /// This process, among the servers that requests crash.
  life: Life,
  tickets: AtomicU64,
  /// Readiness as last logged; `None` before the first question.
  last_readiness: Mutex<Option<Readiness>>,
  state: Mutex<State>,
  mailboxes: Mutex<HashMap<Ticket, Arc<Mailbox>>>,
}

impl Hub {
  /// The name of a request's customer, for the log.
  pub fn customer_name(&self, caller: Option<&Caller>) -> Option<String> {
    let caller = caller?;
    let state = self.state();
    let customers = state.deployment.as_ref()?.customers.as_ref()?;
    let customer = customers.get(caller.customer)?;
    Some(customer.name.clone())
  }

  /// Creates a hub around a state.
  pub fn new(state: State, dialect: Dialect, log: Logger) -> io::Result<Arc<Self>> {
    let measures = Measures::new().map_err(|error| io::Error::other(error.to_string()))?;
    Ok(Arc::new(Self {
      log,
      dialect,
      pool: Pool::default(),
      paths: Paths::default(),
      peers: Peers::default(),
      ends: Ends::default(),
      measures,
      gates: Gates::new(),
      stopping: AtomicBool::new(false),
      shutdown: OnceLock::new(),
      stop_waker: Waker::new()?,
      report_waker: Waker::new()?,
      planner_waker: OnceLock::new(),
      active: Activity::default(),
      admission: OnceLock::new(),
      readers: OnceLock::new(),
      standings: Mutex::default(),
      max_key_age_ms: AtomicU64::new(u64::MAX),
      started: Moment::now(),
      life: Life::of(&format!("{:016x}", rand::random::<u64>()), clock::unix_ms()),
      tickets: AtomicU64::new(0),
      last_readiness: Mutex::default(),
      state: Mutex::new(state),
      mailboxes: Mutex::default(),
    }))
  }

  /// Sets the addresses of the other instances.
  pub fn set_instances(&self, others: impl Iterator<Item = SocketAddr>) {
    self.peers.set(others);
  }

  /// Sets the waker of the planner. Only the first one counts.
  pub(crate) fn set_planner_waker(&self, waker: Arc<Waker>) {
    self.planner_waker.get_or_init(|| waker);
  }

  fn log_resumption(&self, decision: &Decision) {
    let (basis, from, age_ms) = match decision.basis {
      Basis::Record(from, age_ms) => ("record", from, Some(age_ms)),
      Basis::OnlyBuild => ("only build of the pool", None, None),
      Basis::SeveralBuilds => ("unknown, and the pool has several builds", None, None),
      Basis::OldList => ("unknown, and the list of servers is old", None, None),
      Basis::UnknownPast => ("unknown, and so are the builds that have left", None, None),
    };
    info!(self.log, "stream resumed by its caller"; "request" => &decision.request,
      "build" => decision.build.map(|build| build.to_string()), "basis" => basis,
      "from" => from.map(|from| from.to_string()), "age_ms" => age_ms,
      "took_ms" => decision.took_ms, "unknown_to" => decision.unknown_to, "young_answer" => decision.has_young_answer,
      "watched_ms" => decision.watched_ms, "list_age_ms" => decision.list_age_ms);
  }

  /// Sets how long keys are trusted after the moment as of which they are known with certainty.
  pub fn set_max_key_age(&self, age: Duration) {
    let ms = age.as_millis() as u64;
    self.max_key_age_ms.store(ms, Ordering::Relaxed);
  }

  /// Whether the known keys are recent enough to be trusted.
  pub fn keys_fresh(&self) -> bool {
    let max_age_ms = self.max_key_age_ms.load(Ordering::Relaxed);
    let age = self.gates.deployments.guaranteed_age();
    max_age_ms == u64::MAX || age.is_some_and(|age| age.as_millis() < u128::from(max_age_ms))
  }

  /// What this instance has of what it needs to serve requests, including those with a key if
  /// customers are configured. Logs changes.
  pub fn readiness(&self) -> Readiness {
    let state = self.state();
    let with_customers = |deployment: &Arc<Deployment>| deployment.customers.is_some();
    let has_customers = state.deployment.as_ref().is_some_and(with_customers);
    let readiness = Readiness {
      configuration: state.deployment.is_some(),
      servers: state.listed,
      records: state.records_read,
      keys: !has_customers || self.keys_fresh(),
      running: !self.stopping.load(Ordering::Relaxed),
    };
    drop(state);
    let previous = lock(&self.last_readiness).replace(readiness);
    if previous != Some(readiness) {
      info!(self.log, "readiness"; "ready" => readiness.is_ready(),
        "configuration" => readiness.configuration, "servers" => readiness.servers,
        "records" => readiness.records, "keys" => readiness.keys, "running" => readiness.running);
    }
    readiness
  }

  /// Whether a connection stays open after the response to its request, unless a planned stop closes it.
  pub fn keeps_alive(&self, request: &Request) -> bool {
    let active = self.active.count();
    let has_room = |admission: &Admission| admission.keeps_idle(self.now(), active);
    request.keep_alive() && self.admission.get().is_none_or(has_room)
  }

  /// Whether a planned stop closes a connection after the response that is written now. A request on
  /// it that has been read already is answered first.
  pub fn closes(&self, caller: &Socket) -> bool {
    self.is_stopping() && caller.input.is_empty()
  }

  /// Whether a graceful shutdown has started.
  pub fn is_stopping(&self) -> bool {
    self.stopping.load(Ordering::Acquire)
  }

  /// The shortest objective of the deployment's routes, in ms.
  pub fn shortest_objective_ms(&self) -> Option<u64> {
    let state = self.state();
    let routes = &state.deployment.as_ref()?.routes;
    routes.iter().map(|route| route.objective_ms).min()
  }

  /// Why a caller's request may not be sent any more; `None` if it may.
  pub fn key_rejection(&self, caller: Option<&Caller>) -> Option<End> {
    let caller = caller?;
    if !self.keys_fresh() {
      return Some(End::Unsure);
    }
    let state = self.state();
    let book = state.deployment.as_ref()?.customers.as_ref()?;
    (!book.is_key_valid(caller)).then_some(End::Barred)
  }

  /// Keeps a connection to a server for the next send, if there may be one. `idle` is the time for
  /// which the server keeps it, if stated.
  pub(crate) fn keep_connection(
    &self,
    key: backend::Key,
    socket: Option<Socket>,
    idle: Option<Duration>,
  ) {
    let is_leaving = {
      let state = self.state();
      state
        .backends
        .get(key)
        .is_none_or(backend::Backend::is_leaving)
    };
    if let Some(socket) = socket.filter(|_| !is_leaving) {
      self.pool.release(key, socket, idle);
    }
  }

  /// Records an established connection to a server.
  pub(crate) fn record_path(&self, key: backend::Key, id: &str) {
    if self.paths.record_connection(key, self.now()) {
      info!(self.log, "server reached again"; "server" => id);
    }
  }

  /// Whether other instances have reached servers for some time in which this one has not.
  pub(crate) fn is_partitioned_alone(&self) -> bool {
    let now = self.now();
    self.paths.is_partitioned_for(now, PARTITION_CONFIRMED_MS)
      && self.peers.carried_within(now, PARTITION_CONFIRMED_MS)
  }

  /// Milliseconds since the start on the monotonic clock.
  pub fn now(&self) -> u64 {
    self.started.elapsed().as_millis() as u64
  }

  /// Converts a time on the hub's clock, in milliseconds, to a moment.
  pub fn instant(&self, ms: u64) -> Moment {
    self.started + Duration::from_millis(ms)
  }

  /// Creates a ticket whose directives go to `mailbox`.
  pub fn ticket(&self, mailbox: &Arc<Mailbox>) -> Ticket {
    let ticket = Ticket(self.tickets.fetch_add(1, Ordering::Relaxed));
    lock(&self.mailboxes).insert(ticket, mailbox.clone());
    ticket
  }

  /// Closes a ticket, which gets no further directives.
  pub fn close(&self, ticket: Ticket) {
    lock(&self.mailboxes).remove(&ticket);
  }

  /// Locks the state. A thread that panicked with the state locked may have left it half-changed, and
  /// then the process ends.
  pub fn state(&self) -> MutexGuard<'_, State> {
    let state = self.state.lock();
    state.unwrap_or_else(|_| {
      essential::end_process(
        &self.log,
        "state",
        "a thread panicked with the state locked",
      )
    })
  }

  fn reduce(&self, event: Event, own: Option<Ticket>) -> Vec<Effect> {
    let arrived = match &event {
      Event::Arrived(descriptor) => Some((descriptor.content, descriptor.id.clone())),
      _ => None,
    };
    let known = |state: &State| {
      let descriptor = &state.requests.get(&own?)?.descriptor;
      Some((descriptor.content, descriptor.id.clone()))
    };
    let request = |state: &State| arrived.or_else(|| known(state));
    self.change(request, |state| {
      let now = self.now();
      if event.concerns_lives() {
        state.wall.observe(now, clock::unix_ms());
      }
      state.reduce(now, event)
    })
  }

  /// Changes the state. A panic ends the process, as it may leave the state half-changed; if it is a
  /// request's, which `request` returns by its content and id, the other instances count it as one of a
  /// server that the request has crashed: sent again, it would end one instance after the other.
  pub fn change<T>(
    &self,
    request: impl FnOnce(&State) -> Option<(content::Key, String)>,
    change: impl FnOnce(&mut State) -> T,
  ) -> T {
    let mut state = self.state();
    match catch_unwind(AssertUnwindSafe(|| change(&mut state))) {
      Ok(value) => value,
      Err(panic) => {
        let why = essential::message(&*panic);
        if let Some((content, id)) = request(&state) {
          crit!(self.log, "a request has ended this instance"; "request" => &id,
            "content" => content.to_string(), "why" => why);
          self.report_end(content, &id);
        }
        // The state stays locked, so that no other thread uses it.
        essential::end_process(&self.log, "state", why)
      }
    }
  }

  /// Reports to the other instances that a request ends this one.
  fn report_end(&self, content: content::Key, id: &str) {
    let crash = Crash {
      content,
      server: self.life,
      run: backend::short_hash(id),
      progress_ms: 0,
    };
    let message = Message::Crashes(vec![crash]);
    let sent = message::encode(&message, &Extension::default())
      .map_err(io::Error::other)
      .and_then(|bytes| self.peers.send(&bytes));
    if let Err(error) = sent {
      warn!(self.log, "the end of this instance was not reported"; "error" => %error);
    }
  }

  /// Applies an event and distributes its effects. The thread of ticket `own` is not woken.
  pub fn apply(&self, event: Event, own: Option<Ticket>) {
    // Locked before the decision, so that later decisions are not distributed earlier.
    let mailboxes = lock(&self.mailboxes);
    let effects = self.reduce(event, own);
    for effect in effects {
      let (ticket, directive) = match effect {
        Effect::Send(attempt) => (attempt.ticket, Directive::Send(attempt)),
        Effect::Wait(ticket, until) => (ticket, Directive::Wait(until)),
        Effect::Refuse(ticket, refusal) => (ticket, Directive::Refuse(refusal)),
        Effect::ReportDemand | Effect::ReportCrashes | Effect::RequestQuota => {
          self.report_waker.wake();
          continue;
        }
        Effect::ExchangeBuilds => {
          if let Some(waker) = self.planner_waker.get() {
            waker.wake();
          }
          continue;
        }
        Effect::Resumption(decision) => {
          self.log_resumption(&decision);
          continue;
        }
        Effect::RetryBudget { pool, standing } => {
          info!(self.log, "retry budget"; "pool" => pool, "allowed" => standing.fits,
            "retries" => standing.retries, "retries_allowed" => standing.allowed,
            "slack" => standing.slack, "requests" => standing.requests,
            "instances" => self.state().instances, "life_ms" => self.now());
          continue;
        }
        Effect::LimitChanged { id, rate } => {
          info!(self.log, "server limit changed"; "server" => id, "rate" => rate);
          self.report_waker.wake();
          continue;
        }
        Effect::BrittleChanged {
          id,
          max_rejections,
          own,
        } => {
          info!(self.log, "brittle server changed"; "server" => id, "max_rejections" => max_rejections,
            "to_this_instance" => own);
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
          born,
          backoff_ms,
        } => {
          info!(self.log, "server requested a backoff"; "server" => id, "born" => born,
            "rest_ms" => backoff_ms);
          continue;
        }
        Effect::Missing { id, kept_ms } => {
          info!(self.log, "server's entry is missing"; "server" => id, "kept_ms" => kept_ms);
          continue;
        }
        Effect::Removed(id) => {
          info!(self.log, "server is gone"; "server" => id, "why" => "entry was removed");
          continue;
        }
        Effect::Expired(id) => {
          info!(self.log, "server is gone"; "server" => id,
            "why" => "entry did not reappear after the store outage");
          continue;
        }
      };
      let Some(mailbox) = mailboxes.get(&ticket) else {
        continue;
      };
      let is_own = own == Some(ticket);
      if !is_own && matches!(directive, Directive::Wait(_)) {
        // Its thread is waiting already and checks again on its own.
        continue;
      }
      mailbox.put(directive);
      if !is_own {
        mailbox.waker.wake();
      }
    }
  }

  /// The times of a graceful shutdown; `None` before it.
  pub fn shutdown(&self) -> Option<&Shutdown> {
    self.shutdown.get()
  }

  /// When requests that still run end because the process exits, in ms.
  pub fn end_at(&self) -> u64 {
    self.shutdown().map_or(u64::MAX, |shutdown| shutdown.end_at)
  }

  /// Starts a graceful shutdown.
  pub fn stop(&self, shutdown: Shutdown) {
    self.shutdown.get_or_init(|| shutdown);
    // Who sees that the shutdown has started also sees its times.
    self.stopping.store(true, Ordering::Release);
    self.stop_waker.wake();
  }
}

/// Locks a mutex and ignores poisoning, for contents that no panic leaves inconsistent.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
