//! A running instance: the reducer's thread and what carries out its effects.

use crate::{
  ask::{Ask, Ticket, Work},
  attempt::{Attempt, End},
  batch::Item,
  callers,
  effect::Effect,
  engine,
  event::Event,
  journal::{Entry, Journal, Line},
  metrics::Metrics,
  object::Kind,
  operators, order,
  peer::{Port, Traffic},
  platform::Client,
  pool::Pool,
  reduce::reduce,
  refusal::Refusal,
  settings::Settings,
  state::{Identity, State},
  status::Status,
  update::Outcome,
};
use slog::{Logger, info};
use std::{
  collections::HashMap,
  io,
  net::SocketAddr,
  sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
    mpsc::{Receiver, RecvTimeoutError, Sender, channel},
  },
  thread,
  time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Longest pause between two events of the reducer.
const TICK: Duration = Duration::from_millis(10);
/// Threads for platform calls, for orders and for status questions.
const PLATFORM_THREADS: usize = 8;
const ORDER_THREADS: usize = 8;
const POLL_THREADS: usize = 4;
/// Longest wait for a look at the state.
const LOOK: Duration = Duration::from_secs(2);
/// Longest wait of one watch.
const WATCH: Duration = Duration::from_secs(5);
/// Pause before a failed watch is made again.
const WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Reads of the list between two listings of batches.
const BATCH_LIST_EVERY: u32 = 10;
/// Stack of a thread that carries a request, bytes.
pub const STACK: usize = 192 << 10;

/// What a request's thread is told.
pub enum Directive {
  Send(Attempt),
  Refuse(Refusal),
  Replay { status: u16, body: Option<String> },
  Batch(Outcome),
}

/// A look at the state, made on the reducer's thread.
type Look = Box<dyn FnOnce(&State) + Send>;

enum Input {
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
  /// Repeatable paths of plain services in force.
  pub services: Mutex<HashMap<String, Vec<String>>>,
  /// What went between this instance and others.
  pub traffic: Arc<Traffic>,
  /// A planned stop has begun.
  pub stopping: AtomicBool,
  input: Sender<Input>,
  directives: Mutex<HashMap<Ticket, Sender<Directive>>>,
  tickets: AtomicU64,
  started: Instant,
  watching: AtomicBool,
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
  mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
  /// Time, ms: wall clock at the start, monotonic after it.
  pub fn now(&self) -> u64 {
    self.boot + self.started.elapsed().as_millis() as u64
  }

  /// Gives the reducer an event.
  pub fn tell(&self, event: Event) {
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

  fn direct(&self, ticket: Ticket, directive: Directive) {
    if let Some(sender) = lock(&self.directives).get(&ticket) {
      // The request's thread has ended: nobody is left to tell.
      let _ = sender.send(directive);
    }
  }

  /// What a look at the state finds; none when the reducer does not answer.
  pub fn look<T: Send + 'static>(
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
    let status = self.look(Status::of)?;
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

  /// Tells the requests' threads which paths may be repeated.
  fn put_services(&self, state: &State) {
    let services = state.catalog.services.iter();
    let paths = services.map(|(name, service)| (name.clone(), service.repeatable.clone()));
    *lock(&self.services) = paths.collect();
  }

  fn note(&self, entry: Entry) {
    self.metrics.count(&entry);
    if !entry.is_count() {
      let text = serde_json::to_string(&entry).unwrap_or_default();
      info!(self.log, "{}", text);
    }
    lock(&self.journal).push(self.now(), entry);
  }
}

/// A running instance.
pub struct Instance {
  pub shared: Arc<Shared>,
  pub callers: SocketAddr,
  pub peers: SocketAddr,
  pub operators: SocketAddr,
  stopped: Receiver<()>,
}

impl Instance {
  /// Binds the instance's ports and starts its threads.
  pub fn spawn(settings: Settings, log: Logger) -> io::Result<Self> {
    let boot = SystemTime::now()
      .duration_since(UNIX_EPOCH)
      .map_err(io::Error::other)?
      .as_millis() as u64;
    let (input, inputs) = channel();
    let metrics = Metrics::open().map_err(|error| io::Error::other(error.to_string()))?;
    let shared = Arc::new(Shared {
      boot,
      log,
      metrics,
      journal: Mutex::default(),
      platform: Client::open(&settings),
      services: Mutex::default(),
      traffic: Arc::default(),
      stopping: AtomicBool::new(false),
      input,
      directives: Mutex::default(),
      tickets: AtomicU64::new(0),
      started: Instant::now(),
      watching: AtomicBool::new(false),
      settings,
    });
    let sink = shared.clone();
    let port = Port::bind(
      &shared.settings.peers,
      &shared.settings.instance,
      boot,
      shared.traffic.clone(),
      Arc::new(move |event| sink.tell(event)),
    )?;
    let operators = operators::bind(&shared)?;
    let callers = callers::bind(&shared)?;
    let peers = port.address;
    let me = identity(&shared, peers, operators);
    let (finished, stopped) = channel();
    start_watchers(&shared)?;
    let hands = Hands::open(shared.clone(), port)?;
    let state = State::open(me, shared.settings.limits.clone(), rand::random(), boot);
    let builder = thread::Builder::new().name("reducer".into());
    builder.spawn(move || run(state, &hands, &inputs, &finished))?;
    Ok(Self {
      shared,
      callers,
      peers,
      operators,
      stopped,
    })
  }

  /// Begins a planned stop.
  pub fn stop(&self) {
    self.shared.stopping.store(true, Ordering::Relaxed);
    self.shared.tell(Event::Stop);
  }

  /// Waits until a planned stop is done.
  pub fn wait(&self) {
    // An error says the same: the reducer has ended.
    let _ = self.stopped.recv();
  }
}

fn identity(shared: &Shared, peers: SocketAddr, operators: SocketAddr) -> Identity {
  let settings = &shared.settings;
  Identity {
    instance: settings.instance.clone(),
    zone: settings.zone.clone(),
    peers: peers.to_string(),
    operators: operators.to_string(),
    boot: shared.boot,
    seeds: settings.seeds.clone(),
  }
}

fn run(mut state: State, hands: &Hands, inputs: &Receiver<Input>, finished: &Sender<()>) {
  loop {
    let event = match inputs.recv_timeout(TICK) {
      Ok(Input::Event(event)) => event,
      Ok(Input::Look(look)) => {
        look(&state);
        continue;
      }
      Err(RecvTimeoutError::Timeout) => Event::Tick,
      Err(RecvTimeoutError::Disconnected) => return,
    };
    let configures = matches!(
      event,
      Event::Watched(_) | Event::Exchange { .. } | Event::Exchanged { .. }
    );
    let effects = reduce(&mut state, hands.shared.now(), event);
    if configures {
      hands.shared.put_services(&state);
    }
    for effect in effects {
      if effect == Effect::Stopped {
        let _ = finished.send(());
      } else {
        hands.carry_out(effect);
      }
    }
  }
}

/// Threads and clients that carry out effects.
struct Hands {
  shared: Arc<Shared>,
  port: Port,
  platform: Pool,
  orders: Pool,
  polls: Pool,
}

impl Hands {
  fn open(shared: Arc<Shared>, port: Port) -> io::Result<Self> {
    Ok(Self {
      shared,
      port,
      platform: Pool::spawn("platform", PLATFORM_THREADS)?,
      orders: Pool::spawn("order", ORDER_THREADS)?,
      polls: Pool::spawn("poll", POLL_THREADS)?,
    })
  }

  fn carry_out(&self, effect: Effect) {
    let shared = self.shared.clone();
    match effect {
      Effect::Send(attempt) => shared.direct(attempt.ticket, Directive::Send(attempt)),
      Effect::Refuse { ticket, refusal } => shared.direct(ticket, Directive::Refuse(refusal)),
      Effect::Replay {
        ticket,
        status,
        body,
      } => shared.direct(ticket, Directive::Replay { status, body }),
      Effect::BatchAnswer { ticket, outcome } => shared.direct(ticket, Directive::Batch(outcome)),
      Effect::RunItem { .. } => self.run_item(effect),
      Effect::Update {
        tag,
        name,
        change,
        urgent,
      } => self.platform.run(move || {
        let outcome = shared.platform.update(&name, change.as_ref(), urgent);
        shared.tell(Event::Updated { tag, name, outcome });
      }),
      Effect::Order { order, step } => self.orders.run(move || {
        let replica = order.replica;
        // A pause between decision and here must not let an old order out.
        let outcome = match shared.now() < order.fresh_until {
          true => engine::order(&order, &shared.settings.limits),
          false => order::Outcome::NotSent,
        };
        shared.tell(Event::Ordered {
          replica,
          step,
          outcome,
        });
      }),
      Effect::Poll { server, address } => self.polls.run(move || {
        let asked_at = shared.now();
        let report = engine::status(&address, &shared.settings.limits);
        shared.tell(Event::Reported(order::Status {
          server,
          asked_at,
          report,
        }));
      }),
      Effect::Exchange {
        peer,
        address,
        delta,
      } => self.port.exchange(peer, &address, delta),
      Effect::Answer { call, delta } => self.port.answer(call, delta),
      Effect::Notify { address, items } => self.port.notify(&address, &items),
      Effect::Claim {
        address,
        shard,
        group,
        changes,
      } => self.port.claim(&address, shard, group, &changes),
      Effect::ClaimAnswer { call, outcomes } => self.port.answer_claims(call, outcomes),
      Effect::Watch(on) => shared.watching.store(on, Ordering::Relaxed),
      Effect::Note(entry) => shared.note(entry),
      Effect::Stopped => {}
    }
  }

  fn run_item(&self, effect: Effect) {
    let Effect::RunItem {
      id,
      at,
      class,
      model,
      prompt,
      max_tokens,
      deadline,
      caller,
    } = effect
    else {
      return;
    };
    let shared = self.shared.clone();
    let builder = thread::Builder::new().name("item".into()).stack_size(STACK);
    let run = {
      let (shared, id) = (shared.clone(), id.clone());
      move || {
        let (ticket, directives) = shared.open_ticket();
        let ask = Ask {
          ticket,
          work: Work::Model { model },
          class,
          deadline,
          caller,
        };
        let item = callers::run_item(&shared, ask, &directives, prompt, max_tokens);
        shared.close_ticket(ticket);
        shared.tell(Event::ItemEnded { id, at, item });
      }
    };
    if builder.spawn(run).is_err() {
      shared.tell(Event::ItemEnded {
        id,
        at,
        item: Item::Waiting,
      });
    }
  }
}

fn start_watchers(shared: &Arc<Shared>) -> io::Result<()> {
  let watcher = shared.clone();
  thread::Builder::new()
    .name("watch".into())
    .spawn(move || watch(&watcher))?;
  let lister = shared.clone();
  thread::Builder::new()
    .name("list".into())
    .spawn(move || list(&lister))?;
  Ok(())
}

fn pause(base: Duration) {
  thread::sleep(base.mul_f64(rand::random_range(0.5..1.5)));
}

fn watch(shared: &Shared) {
  let mut after = 0;
  let mut reached = true;
  loop {
    if !shared.watching.load(Ordering::Relaxed) {
      pause(WATCH_PAUSE);
      continue;
    }
    let answer = shared.platform.watch(after, WATCH);
    if answer.is_ok() != reached {
      reached = answer.is_ok();
      shared.note(match reached {
        true => Entry::PlatformBack,
        false => Entry::PlatformLost,
      });
    }
    match answer {
      Ok((revision, objects)) => {
        after = after.max(revision);
        shared.tell(Event::Watched(objects));
      }
      Err(_) => pause(WATCH_PAUSE * 2),
    }
  }
}

fn list(shared: &Shared) {
  let every = Duration::from_millis(shared.settings.limits.list_ms);
  let mut round = 0;
  let mut counted = (0, 0);
  loop {
    count_calls(shared, &mut counted);
    if shared.watching.load(Ordering::Relaxed) {
      if let Ok((revision, entries)) = shared.platform.list() {
        shared.tell(Event::Listed { revision, entries });
      }
      if round % BATCH_LIST_EVERY == 0
        && let Ok(names) = shared.platform.names(Kind::Batch)
      {
        shared.tell(Event::BatchesListed(names));
      }
      round += 1;
    }
    pause(every);
  }
}

fn count_calls(shared: &Shared, counted: &mut (u64, u64)) {
  let calls = shared.platform.calls.load(Ordering::Relaxed);
  let failed = shared.platform.failures.load(Ordering::Relaxed);
  let new_calls = calls.saturating_sub(counted.0);
  let new_failed = failed.saturating_sub(counted.1);
  shared
    .metrics
    .platform(new_calls.saturating_sub(new_failed), new_failed);
  *counted = (calls, failed);
}

/// How an attempt's end is told to the reducer.
pub fn ended(shared: &Shared, attempt: &Attempt, end: End, answer: Option<(u16, Option<String>)>) {
  shared.tell(Event::Ended {
    ticket: attempt.ticket,
    number: attempt.number,
    end,
    answer,
  });
}
