//! A running instance: the reducer's thread and the executor of its effects.

use crate::{
  batch::Item,
  callers,
  clock::Moment,
  completions,
  effect::Effect,
  engine,
  essential::{self, Pulse},
  event::Event,
  metrics::Metrics,
  operators, order,
  peer::Port,
  platform::Client,
  pool::Pool,
  reduce::reduce,
  request::{Descriptor, Work},
  settings::Settings,
  shared::{Directive, Input, Shared},
  state::{Identity, State},
  watchers,
};
use slog::{Logger, error};
use std::{
  io,
  net::SocketAddr,
  panic::{AssertUnwindSafe, catch_unwind},
  sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
    mpsc::{Receiver, RecvTimeoutError, Sender, channel},
  },
  thread,
  time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Why an item is refused whose run panicked.
const INTERNAL_ERROR: &str = "internal-error";
/// Maximum time between two events of the reducer.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Number of threads for platform calls, for orders and for status requests.
const PLATFORM_THREADS: usize = 8;
const ORDER_THREADS: usize = 8;
const POLL_THREADS: usize = 4;
/// Maximum time for which a planned stop without further work waits for requests that are being read,
/// refused or answered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval at which it checks whether there are any.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Stack size of a thread that handles a request.
pub const STACK_BYTES: usize = 192 << 10;

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
    let metrics = Metrics::new().map_err(|error| io::Error::other(error.to_string()))?;
    let shared = Arc::new(Shared {
      boot,
      log,
      metrics,
      journal: Mutex::default(),
      platform: Client::new(&settings),
      traffic: Arc::default(),
      stop: Arc::default(),
      input,
      directives: Mutex::default(),
      tickets: AtomicU64::new(0),
      started: Moment::now(),
      watching: AtomicBool::new(false),
      settings,
    });
    let event_sink = shared.clone();
    let port = Port::bind(
      &shared.settings.peers,
      &shared.settings.instance,
      boot,
      shared.traffic.clone(),
      Arc::new(move |event| event_sink.notify(event)),
    )?;
    let operators = operators::bind(&shared)?;
    let callers = callers::bind(&shared)?;
    let peers = port.address;
    let me = identity(&shared, peers, operators);
    let (finished, stopped) = channel();
    watchers::spawn(&shared)?;
    let executor = Executor::new(shared.clone(), port)?;
    let state = State::new(me, shared.settings.limits.clone(), rand::random(), boot);
    let log = shared.log.clone();
    essential::spawn_loop(thread::Builder::new(), "reducer", &log, move |pulse| {
      run_reducer(state, &executor, &inputs, (pulse, &finished))
    })?;
    Ok(Self {
      shared,
      callers,
      peers,
      operators,
      stopped,
    })
  }

  /// Starts a planned stop.
  pub fn stop(&self) {
    let stop = &self.shared.stop;
    stop.has_started.store(true, Ordering::Relaxed);
    self.shared.notify(Event::Stop);
  }

  /// Waits until a planned stop is complete.
  pub fn wait(&self) {
    // An error also means that the reducer has ended.
    let _ = self.stopped.recv();
    let active = &self.shared.stop.active;
    let started = Moment::now();
    while started.elapsed() < ANSWER_TIMEOUT && !active.close_if_idle() {
      thread::sleep(STOP_CHECK_INTERVAL);
    }
    active.close();
  }
}

fn identity(shared: &Shared, peers: SocketAddr, operators: SocketAddr) -> Identity {
  let settings = &shared.settings;
  Identity {
    instance: settings.instance.clone(),
    zone: settings.zone.clone(),
    peer_address: peers.to_string(),
    operator_address: operators.to_string(),
    boot: shared.boot,
    seeds: settings.seeds.clone(),
  }
}

fn run_reducer(
  mut state: State,
  executor: &Executor,
  inputs: &Receiver<Input>,
  (pulse, finished): (&Pulse, &Sender<()>),
) {
  loop {
    pulse.beat();
    let event = match inputs.recv_timeout(TICK_INTERVAL) {
      Ok(Input::Event(event)) => event,
      Ok(Input::Query(query)) => {
        query(&state);
        continue;
      }
      Err(RecvTimeoutError::Timeout) => Event::Tick,
      Err(RecvTimeoutError::Disconnected) => return,
    };
    for effect in reduce(&mut state, executor.shared.now(), event) {
      if effect == Effect::Stopped {
        let _ = finished.send(());
      } else {
        executor.execute(effect);
      }
    }
  }
}

/// Executes effects with its threads and clients.
struct Executor {
  shared: Arc<Shared>,
  port: Port,
  platform: Pool,
  orders: Pool,
  polls: Pool,
}

impl Executor {
  fn new(shared: Arc<Shared>, port: Port) -> io::Result<Self> {
    Ok(Self {
      shared,
      port,
      platform: Pool::spawn("platform", PLATFORM_THREADS)?,
      orders: Pool::spawn("order", ORDER_THREADS)?,
      polls: Pool::spawn("poll", POLL_THREADS)?,
    })
  }

  fn execute(&self, effect: Effect) {
    let shared = self.shared.clone();
    match effect {
      Effect::Send(attempt) => shared.send(attempt.ticket, Directive::Send(attempt)),
      Effect::Refuse { ticket, refusal } => shared.send(ticket, Directive::Refuse(refusal)),
      Effect::Replay {
        ticket,
        status,
        body,
      } => shared.send(ticket, Directive::Replay { status, body }),
      Effect::BatchAnswer { ticket, outcome } => shared.send(ticket, Directive::Batch(outcome)),
      Effect::RunItem { .. } => self.run_item(effect),
      Effect::Update {
        tag,
        name,
        change,
        urgent,
      } => self.platform.run(move || {
        let outcome = shared.platform.update(&name, change.as_ref(), urgent);
        shared.notify(Event::Updated { tag, name, outcome });
      }),
      Effect::Remove { name, version } => self.platform.run(move || {
        // If the removal fails, the object is listed again and its owner retries then.
        let _ = shared.platform.remove(&name, version);
      }),
      Effect::Order { order, step } => self.orders.run(move || {
        let replica = order.replica;
        // An order that was delayed since its decision must not be sent once it is too old.
        let outcome = match shared.now() < order.fresh_until {
          true => engine::order(&order, &shared.settings.limits),
          false => order::Outcome::NotSent,
        };
        shared.notify(Event::OrderEnded {
          replica,
          step,
          outcome,
        });
      }),
      Effect::Poll { server, address } => self.polls.run(move || {
        let asked_at = shared.now();
        let report = engine::status(&address, &shared.settings.limits);
        shared.notify(Event::Reported(order::Status {
          server,
          requested_at: asked_at,
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
      Effect::LimitPlatformRate(rate) => shared.platform.set_rate(rate),
      Effect::Log(entry) => shared.record(entry),
      Effect::Stopped => {}
    }
  }

  fn run_item(&self, effect: Effect) {
    let Effect::RunItem {
      id,
      index: at,
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
    let builder = thread::Builder::new()
      .name("item".into())
      .stack_size(STACK_BYTES);
    let run = {
      let (shared, id) = (shared.clone(), id.clone());
      move || {
        let (ticket, directives) = shared.open_ticket();
        let descriptor = Descriptor {
          ticket,
          work: Work::Model { model },
          class,
          deadline,
          caller,
        };
        let run = || completions::run_item(&shared, descriptor, &directives, prompt, max_tokens);
        // The reducer waits for an outcome, and an item that panics once would do so again.
        let item = catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|panic| {
          let why = essential::message(&*panic);
          error!(shared.log, "item of a batch failed"; "batch" => %id, "item" => at, "why" => why);
          Item::Refused {
            reason: INTERNAL_ERROR.into(),
          }
        });
        shared.close_ticket(ticket);
        shared.notify(Event::ItemEnded {
          id,
          index: at,
          item,
        });
      }
    };
    if builder.spawn(run).is_err() {
      shared.notify(Event::ItemEnded {
        id,
        index: at,
        item: Item::Waiting,
      });
    }
  }
}
