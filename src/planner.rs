//! The planner's thread: the lease, the plan, and word between instances.
//!
//! Instances tell the lease's holder what they wait for and what they have
//! running; it tells them what servers hold. Both go as datagrams that may be
//! lost: each is told again while it counts.

use crate::{
  backend::{Holding, Spec},
  command::{Command, Inventory, Taken},
  dispatch::Event,
  edge::Edge,
  feed,
  hub::Hub,
  lease::{self, Lease, Word},
  plan::{Effect, News, Plan, Report},
  pool::Pool,
  settings::Settings,
  socket::{Bell, Want, wait},
  store,
};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use std::{
  io,
  net::{SocketAddr, UdpSocket},
  sync::{
    Arc,
    atomic::Ordering,
    mpsc::{Receiver, Sender, channel},
  },
  thread,
};

/// Name of the lease object.
const LEASE: &str = "orders";
/// Threads for orders and questions; one order a server is under way.
const ORDER_THREADS: usize = 6;
/// Waiting requests are told again this often, ms.
const DEMAND_MS: u64 = 150;
/// Running requests are told this often, ms.
const RUNNING_MS: u64 = 300;
/// An instance that has neither says so this often, ms.
const IDLE_MS: u64 = 1_000;
/// Holdings in one datagram.
const HOLDINGS: usize = 6;
/// Bytes of a datagram taken.
const DATAGRAM: usize = 60 << 10;
/// Longest sleep of the planner's thread, ms.
const SLEEP_MS: u64 = 1_000;
/// Most by which takers of a lease are spread, ms.
const JITTER_MS: u64 = 250;

/// A datagram between instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
  Report(Report),
  Told(Told),
}

/// What the lease's holder tells other instances.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
  pub word: Word,
  /// How far the holder has followed the deployment and the servers.
  pub deployments: feed::Word,
  pub servers: feed::Word,
  pub instances: u32,
  /// Changes of holdings between these counts; from 0: all holdings.
  pub since: u64,
  pub latest: u64,
  pub holdings: Vec<Holding>,
  /// Holdings known before no longer count.
  pub first: bool,
  /// Requests of all instances at servers that have some; empty when not told.
  pub loads: Vec<(u32, u16)>,
}

/// What other threads bring back.
enum Done {
  Lease(lease::Call, store::Result<store::Object>),
  Ordered(Command, Taken),
  Asked(String, Option<Inventory>),
}

/// Everything the planner's thread works with.
struct Planner {
  hub: Arc<Hub>,
  edge: Arc<Edge>,
  socket: UdpSocket,
  instance: String,
  lease: Lease,
  plan: Plan,
  holding: bool,
  calls: Pool,
  orders: Pool,
  done: Sender<Done>,
  finished: Receiver<Done>,
  bell: Arc<Bell>,
  /// Version of the servers that the plan has.
  seen: u64,
  reported: u64,
  last: Option<Report>,
  /// Term, and count up to which changes of holdings are known.
  known: (u64, u64),
  /// Changes were missed and not yet asked for.
  behind: bool,
  /// Where datagrams are taken.
  buffer: Vec<u8>,
}

/// Binds the instance's port and starts the planner's thread.
pub fn spawn(hub: &Arc<Hub>, edge: &Arc<Edge>, settings: &Settings) -> io::Result<SocketAddr> {
  let socket = UdpSocket::bind(&settings.peers)?;
  socket.set_nonblocking(true)?;
  let address = socket.local_addr()?;
  let routing = settings.routing.clone().unwrap_or_default();
  let (done, finished) = channel();
  let jitter = rand::random::<u64>() % JITTER_MS;
  let planner = Planner {
    hub: hub.clone(),
    edge: edge.clone(),
    socket,
    instance: settings.instance.clone(),
    lease: Lease::open(&routing.machine, address, routing.lease_ms, jitter),
    plan: Plan::open(
      &routing.machine,
      routing.load_window_ms,
      routing.load_overage,
      routing.loads_at_once,
    ),
    holding: false,
    calls: Pool::spawn("lease", 1)?,
    orders: Pool::spawn("order", ORDER_THREADS)?,
    done,
    finished,
    bell: Arc::new(Bell::open()?),
    seen: 0,
    reported: 0,
    last: None,
    known: (0, 0),
    behind: false,
    buffer: vec![0; DATAGRAM],
  };
  let builder = thread::Builder::new().name("planner".into());
  builder.spawn(move || planner.run())?;
  Ok(address)
}

impl Planner {
  fn run(mut self) {
    loop {
      let now = self.hub.now();
      let due = self.due(now);
      let until = self.hub.instant(due);
      let waited = wait(
        [
          Some((&self.socket, Want::Read)),
          Some((&self.hub.want_bell, Want::Read)),
          Some((&*self.bell, Want::Read)),
        ],
        until,
      );
      let Ok([_, wanted, finished]) = waited else {
        warn!(self.hub.log, "planner cannot wait"; "until_ms" => due);
        return;
      };
      if wanted {
        self.hub.want_bell.clear();
      }
      if finished {
        self.bell.clear();
      }
      self.receive();
      self.finish();
      self.lease();
      self.report(wanted);
      self.plan();
    }
  }

  fn due(&self, now: u64) -> u64 {
    let mut due = self.lease.due(now).min(now + SLEEP_MS);
    due = due.min(self.reported + self.pause());
    if self.holding {
      due = due.min(self.plan.due(now));
    }
    due.max(now)
  }

  /// Time from one report to the next.
  fn pause(&self) -> u64 {
    match &self.last {
      Some(last) if !last.demand.is_empty() => DEMAND_MS,
      Some(last) if !last.running.is_empty() => RUNNING_MS,
      _ => IDLE_MS,
    }
  }

  fn receive(&mut self) {
    let mut buffer = std::mem::take(&mut self.buffer);
    while let Ok((length, from)) = self.socket.recv_from(&mut buffer) {
      let now = self.hub.now();
      match postcard::from_bytes::<Message>(&buffer[..length]) {
        Ok(Message::Report(report)) => self.plan.report(now, from, report),
        Ok(Message::Told(told)) => self.hear(now, told, from),
        Err(error) => {
          warn!(self.hub.log, "datagram not understood"; "from" => %from, "error" => %error);
        }
      }
    }
    self.buffer = buffer;
  }

  /// Takes up the holder's word.
  fn hear(&mut self, now: u64, told: Told, from: SocketAddr) {
    let term = told.word.term;
    self.lease.told(now, told.word, from);
    if self.holding {
      return;
    }
    self.hub.gates.deployments.told(told.deployments);
    self.hub.gates.servers.told(told.servers);
    let all = told.since == 0;
    let follows = self.known.0 == term && self.known.1 >= told.since;
    if !all && !follows {
      // Something between was lost: the next report says so.
      self.known = (term, 0);
      self.behind = true;
    }
    if all || follows {
      self.known = (term, told.latest.max(if all { 0 } else { self.known.1 }));
    }
    let taken = all || follows;
    let event = Event::Told {
      holdings: if taken { told.holdings } else { Vec::new() },
      all: taken && told.first,
      loads: (!told.loads.is_empty()).then_some(told.loads),
      instances: told.instances as usize,
    };
    self.hub.apply(event, None);
  }

  fn finish(&mut self) {
    while let Ok(done) = self.finished.try_recv() {
      let now = self.hub.now();
      match done {
        Done::Lease(call, result) => {
          let failed = result.as_ref().err().map(ToString::to_string);
          if let (Some(error), lease::Call::Write { record, revision }) = (&failed, &call) {
            info!(self.hub.log, "lease not written"; "error" => error,
              "term" => record.term, "revision" => revision);
          }
          if self.lease.answered(now, &call, result) {
            let term = self.lease.term(now).unwrap_or_default();
            info!(self.hub.log, "lease taken"; "term" => term);
            self.plan.begin(term);
            self.seen = 0;
          }
        }
        Done::Ordered(command, taken) => {
          info!(self.hub.log, "ordered"; "server" => &command.id,
            "act" => format!("{:?}", command.act), "model" => &command.model.name,
            "adapter" => &command.model.adapter, "orders" => command.orders,
            "term" => command.term, "taken" => format!("{taken:?}"));
          self.plan.ordered(now, &command, taken);
        }
        Done::Asked(id, inventory) => self.plan.inventory(now, &id, inventory),
      }
    }
  }

  fn lease(&mut self) {
    let now = self.hub.now();
    let stopping = self.hub.stopping.load(Ordering::Relaxed);
    let held = !stopping && self.lease.term(now).is_some();
    if held != self.holding {
      self.holding = held;
      self.hub.gates.deployments.lead(held);
      self.hub.gates.servers.lead(held);
      info!(self.hub.log, "orders"; "given_here" => held);
    }
    let Some(call) = self.lease.call(now, stopping) else {
      return;
    };
    let (edge, done, bell) = (self.edge.clone(), self.done.clone(), self.bell.clone());
    self.calls.run(move || {
      let kind = edge.kinds.leases;
      let result = match &call {
        lease::Call::Read => (edge.store.read)(kind, LEASE),
        lease::Call::Write { record, revision } => {
          let spec = serde_json::to_value(record).unwrap_or_default();
          (edge.store.write)(kind, LEASE, *revision, &spec)
        }
      };
      // The planner's thread lives as long as the process.
      let _ = done.send(Done::Lease(call, result));
      bell.ring();
    });
  }

  /// Tells the holder, or this machine's own plan, what is wanted and running.
  fn report(&mut self, wanted: bool) {
    let now = self.hub.now();
    if !wanted && !self.behind && now < self.reported + self.pause() {
      return;
    }
    let report = self.state_report(now);
    self.behind = false;
    self.reported = now;
    self.last = Some(report.clone());
    if self.holding {
      if let Ok(own) = self.socket.local_addr() {
        self.plan.report(now, own, report);
      }
    } else if let Some(holder) = self.lease.holder() {
      self.send(&Message::Report(report), holder);
    }
  }

  fn state_report(&self, now: u64) -> Report {
    let state = self.hub.state();
    let running = state.running.iter().filter_map(|((key, model), count)| {
      let backend = state.backends.get(*key)?;
      Some((backend.spec.id.clone(), model.clone(), *count))
    });
    Report {
      instance: self.instance.clone(),
      demand: state.demand(now),
      running: running.collect(),
      known: self.known.1,
    }
  }

  fn send(&self, message: &Message, to: SocketAddr) {
    match postcard::to_stdvec(message) {
      // A datagram that is lost is told again.
      Ok(bytes) => drop(self.socket.send_to(&bytes, to)),
      Err(error) => warn!(self.hub.log, "message not encoded"; "error" => %error),
    }
  }

  fn plan(&mut self) {
    if !self.holding {
      return;
    }
    self.feed_plan();
    let now = self.hub.now();
    for effect in self.plan.step(now) {
      match effect {
        Effect::Order(command) => self.order(command),
        Effect::Ask { id, address } => self.ask(id, address),
        Effect::Tell(news) => self.tell(&news),
        Effect::Note {
          what,
          server,
          model,
          why,
        } => info!(self.hub.log, "planned"; "what" => what, "server" => server,
          "model" => model, "why" => why),
      }
    }
  }

  fn feed_plan(&mut self) {
    let state = self.hub.state();
    if state.changes == self.seen {
      return;
    }
    self.seen = state.changes;
    let Some(deployment) = state.deployment.clone() else {
      return;
    };
    let specs: Vec<Spec> = state
      .ids
      .values()
      .map(|key| state.backends[*key].spec.clone())
      .collect();
    drop(state);
    self.plan.servers(deployment, specs);
  }

  fn order(&self, command: Command) {
    let (edge, done, bell) = (self.edge.clone(), self.done.clone(), self.bell.clone());
    let (hub, until) = (self.hub.clone(), self.lease.until());
    self.orders.run(move || {
      // A pause between decision and here must not let an order out late.
      let taken = match hub.now() < until {
        true => (edge.order)(&command),
        false => Taken::NotSent,
      };
      let _ = done.send(Done::Ordered(command, taken));
      bell.ring();
    });
  }

  fn ask(&self, id: String, address: SocketAddr) {
    let (edge, done, bell) = (self.edge.clone(), self.done.clone(), self.bell.clone());
    self.orders.run(move || {
      let inventory = (edge.report)(address, &id);
      let _ = done.send(Done::Asked(id, inventory));
      bell.ring();
    });
  }

  fn tell(&mut self, news: &News) {
    let now = self.hub.now();
    let Some(word) = self.lease.word(now) else {
      return;
    };
    let own = self.socket.local_addr().ok();
    let members = self.plan.members(now);
    let instances = members.len().max(1);
    let to: Vec<SocketAddr> = match news.to {
      Some(address) => vec![address],
      None => members,
    };
    let empty: &[Holding] = &[];
    let mut parts: Vec<&[Holding]> = news.holdings.chunks(HOLDINGS).collect();
    if parts.is_empty() {
      parts.push(empty);
    }
    let last = parts.len() - 1;
    for (number, part) in parts.into_iter().enumerate() {
      let message = Message::Told(Told {
        word: word.clone(),
        deployments: self.hub.gates.deployments.word(),
        servers: self.hub.gates.servers.word(),
        instances: instances as u32,
        since: news.since,
        // Only the last part brings an instance up to date.
        latest: if number == last {
          news.latest
        } else {
          news.since
        },
        holdings: part.to_vec(),
        first: news.since == 0 && number == 0,
        loads: if number == 0 {
          news.loads.clone()
        } else {
          Vec::new()
        },
      });
      for member in to.iter().filter(|member| Some(**member) != own) {
        self.send(&message, *member);
      }
    }
    if news.to.is_none() || news.to == own {
      self.known = (word.term, news.latest);
      let event = Event::Told {
        holdings: news.holdings.clone(),
        all: news.since == 0,
        loads: (!news.loads.is_empty()).then(|| news.loads.clone()),
        instances,
      };
      self.hub.apply(event, None);
    }
  }
}
