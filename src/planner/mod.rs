//! The planner thread: handles leases, plans and datagrams between instances.
//!
//! Instances report waiting and running requests to the lease holder, which publishes the models
//! that servers hold. Reports and updates are datagrams that may be lost, so each is repeated while
//! it is relevant.

mod calls;
mod leases;
mod steps;

use crate::{
  build::{self, confirm::Calls as Confirmations, history::History},
  clock::Suspension,
  command::{Command, Inventory, Taken, Unheard},
  concurrency::Ledger,
  content,
  crash::{self, Crash, Quarantined, Registry, Repeated, part, served},
  dispatch::Event,
  edge::{Edge, Kinds},
  essential::{self, Pulse},
  exchange::{BITS_PER_BYTE, MBPS_BITS_PER_MS, PUBLISH_LINK_DIVISOR},
  former,
  hub::Hub,
  lease::promise,
  lease::{self, Lease},
  life::Life,
  message::{self, Message},
  outbox::{self, Outbox},
  placement::plan::{Plan, Report},
  policies,
  pool::Pool,
  quota::{Accounts, Bound},
  replication::{Ahead, Position},
  settings::Settings,
  socket::{Interest, Waker, wait},
  statement::Reply,
  store, stored, sums, tunnel,
};
use serde_json::Value;
use slog::{info, warn};
use std::{
  io,
  net::{SocketAddr, UdpSocket},
  sync::{
    Arc,
    mpsc::{Receiver, Sender, channel},
  },
  thread,
  time::Duration,
};

/// Maximum number of threads that send orders, with one order per server at a time. An order to an
/// unreachable server blocks a thread for up to a second, and many servers may become unreachable
/// at once; orders to the other servers must not wait for them.
const MAX_ORDER_THREADS: usize = 24;
/// Maximum number of threads that query servers. They are separate from the order threads because
/// unreachable servers are queried repeatedly.
const MAX_QUERY_THREADS: usize = 24;
/// Interval between reports while requests wait.
const DEMAND_REPORT_INTERVAL_MS: u64 = 150;
/// Interval between reports while requests run and none wait.
const RUNNING_REPORT_INTERVAL_MS: u64 = 300;
/// Delay before missing changes are requested; they usually arrive within a few milliseconds.
const RESYNC_DELAY_MS: u64 = 20;
/// Limit on how often the resync delay doubles while changes are still missing. Without doubling, a
/// change lost by 295 instances makes them send 15,000 reports per second, which causes more loss.
const MAX_RESYNC_DOUBLINGS: u32 = 4;
/// Interval between reports while no requests wait or run.
const IDLE_REPORT_INTERVAL_MS: u64 = 1_000;
/// Size of the receive buffer.
const MAX_DATAGRAM_BYTES: usize = 60 << 10;
/// Maximum time for which the planner thread sleeps.
const MAX_SLEEP_MS: u64 = 1_000;
/// A wait that ends this much too late shows that the process was stalled. With a tenth of a
/// processor, the thread is delayed by about ten milliseconds at most.
const STALL_THRESHOLD_MS: u64 = 500;

/// Result of a call that ran on another thread.
pub(crate) enum Completion {
  Lease(usize, lease::Call, store::Result<store::Object>),
  Ordered(usize, Command, Reply<Taken>),
  Queried(usize, String, Reply<Result<Inventory, Unheard>>),
  Policies(store::Result<store::List>),
  Quarantine(crash::stored::Call, store::Result<store::Object>),
  Builds(
    stored::Call<build::history::Record>,
    store::Result<store::Object>,
    build::history::Since,
  ),
  /// Changes of the servers since the known ones, as of a time in ms; `None` if deployments changed.
  BuildsConfirmed(u64, store::Result<Option<store::Changes>>),
}

/// A group of servers with its lease, and the plan that is in effect while this machine holds the
/// lease. Times are in milliseconds.
pub(crate) struct Group {
  pub(crate) number: u32,
  /// Name of the lease object.
  pub(crate) name: String,
  pub(crate) lease: Lease,
  pub(crate) plan: Plan,
  pub(crate) holds_lease: bool,
  /// The plan takes no step before this time, which limits its use of the processor.
  pub(crate) paused_until: u64,
  /// Change counts of the state that the plan was last updated from.
  pub(crate) planned_counts: (u64, u64),
  /// Position in the sequence of holding changes up to which changes are known.
  pub(crate) position: Position,
  pub(crate) ahead: Ahead,
  /// Loads of the holders that servers may still carry out.
  pub(crate) former_loads: former::Loads,
  /// Time at which the lease last got the list of reporting machines.
  pub(crate) machines_updated_at: u64,
  /// Time at which the list of instances was last published.
  pub(crate) members_published_at: u64,
}

impl Group {
  /// Whether this instance is the last known holder. During an outage of the store its lease may
  /// have expired, but earlier orders continue and their results are still published.
  pub(crate) fn leads(&self, now: u64) -> bool {
    self.lease.heartbeat(now).is_some()
  }
}

/// State of the planner thread. Times are in milliseconds.
pub(crate) struct Planner {
  pub(crate) hub: Arc<Hub>,
  edge: Arc<Edge>,
  pub(crate) socket: UdpSocket,
  pub(crate) own_address: SocketAddr,
  pub(crate) instance: String,
  /// Hash of this machine's name.
  pub(crate) machine: u32,
  pub(crate) groups: Vec<Group>,
  pub(crate) calls: Pool,
  orders: Pool,
  queries: Pool,
  completion_sender: Sender<Completion>,
  completions: Receiver<Completion>,
  waker: Arc<Waker>,
  pub(crate) last_report_at: u64,
  pub(crate) last_report: Option<Report>,
  policy_reads: policies::Reads,
  /// Whether entries of servers may be missing that expired before this instance started.
  unknown_servers: bool,
  /// How long this instance leaves a free lease to others, in milliseconds.
  acquire_delay_ms: u64,
  /// Datagrams waiting to be sent to many instances.
  pub(crate) outbox: Outbox,
  /// A holder needs this instance's report, or this instance misses changes.
  pub(crate) needs_resync: bool,
  /// The process was stalled, so datagrams in its socket may be old.
  pub(crate) stalled: bool,
  /// Number of consecutive reports that requested a resync.
  pub(crate) resync_attempts: u32,
  /// Instances published by the holders.
  pub(crate) members: Vec<SocketAddr>,
  /// Other instances to which records of streams could be sent.
  pub(crate) record_holders: Vec<SocketAddr>,
  /// The stored builds of the pools.
  pub(crate) build_history: History,
  pub(crate) build_calls: Pool,
  pub(crate) confirmations: Confirmations,
  /// Requests known or suspected to crash servers.
  pub(crate) registry: Registry,
  pub(crate) stored_quarantine: crash::stored::Stored,
  /// Crashes to report, and quarantined requests to publish.
  pub(crate) reported_crashes: Repeated<Crash>,
  pub(crate) published_quarantine: Repeated<Quarantined>,
  /// Contents read from the store, to be reported to the analyzers, which may have released them since.
  pub(crate) read_quarantine: Repeated<content::Key>,
  /// Parts of prompts in crashes, and what is reported and asked about them.
  pub(crate) parts: part::Registry,
  pub(crate) reported_part_crashes: Repeated<part::Crash>,
  pub(crate) served_questions: Repeated<served::Question>,
  /// Statements of servers to report, and to publish.
  pub(crate) reported_statements: Repeated<Life>,
  pub(crate) published_statements: Repeated<Life>,
  /// Quota usage of all instances while this one holds the lease.
  pub(crate) accounts: Accounts,
  /// Requests of all instances on brittle servers, as counted by this holder.
  pub(crate) slots: Ledger,
  pub(crate) quota_bound: Bound,
  /// Identifies this process in its usage reports.
  pub(crate) process: u64,
  /// Times of the next usage report and of the next write of the standings.
  pub(crate) next_uses_report_at: u64,
  pub(crate) next_standings_write_at: u64,
  /// Usage of the customers within the last window with the time it refers to, kept for the next
  /// holder, and the time at which this instance publishes it next.
  pub(crate) known_sums: Option<sums::Known>,
  /// The record of the lease that was read last, and the sums in it.
  pub(crate) read_record: Option<Value>,
  /// Whether the record of the lease was read at least once, or the store has none.
  pub(crate) lease_read: bool,
  /// Whether the state knows that the records were read.
  pub(crate) records_reported: bool,
  pub(crate) recorded_sums: Option<sums::Known>,
  /// What the former holder published last, and when its successor was first heard of, in ms.
  pub(crate) former_sums: Option<(u64, sums::Known)>,
  pub(crate) next_sums_publish_at: u64,
  /// Receive buffer for datagrams.
  buffer: Vec<u8>,
}

/// Binds the instance's port and starts the planner thread. Returns the bound address, or an error
/// if the socket or a thread cannot be created.
pub fn spawn(hub: &Arc<Hub>, edge: &Arc<Edge>, settings: &Settings) -> io::Result<SocketAddr> {
  let (socket, address) = bind(hub, &settings.peers)?;
  let routing = settings.routing.clone().unwrap_or_default();
  let (completion_sender, completions) = channel();
  let planner = Planner {
    hub: hub.clone(),
    edge: edge.clone(),
    socket,
    own_address: address,
    instance: settings.instance.clone(),
    machine: promise::short_hash(&routing.machine),
    groups: (0..routing.groups)
      .map(|number| leases::new_group(number, &routing, address))
      .collect(),
    calls: Pool::spawn("lease", 2)?,
    orders: Pool::spawn("order", MAX_ORDER_THREADS)?,
    queries: Pool::spawn("ask", MAX_QUERY_THREADS)?,
    completion_sender,
    completions,
    waker: Arc::new(Waker::new()?),
    last_report_at: 0,
    last_report: None,
    policy_reads: policies::Reads::default(),
    unknown_servers: false,
    acquire_delay_ms: leases::acquire_delay_ms(&routing),
    outbox: Outbox::new(
      (routing.link_mbps * MBPS_BITS_PER_MS / BITS_PER_BYTE / PUBLISH_LINK_DIVISOR) as u64,
    ),
    needs_resync: false,
    stalled: false,
    resync_attempts: 0,
    members: Vec::new(),
    record_holders: Vec::new(),
    registry: Registry::default(),
    stored_quarantine: crash::stored::Stored::default(),
    build_history: History::default(),
    build_calls: Pool::spawn("build", 1)?,
    confirmations: Confirmations::default(),
    reported_crashes: Repeated::default(),
    parts: part::Registry::default(),
    reported_part_crashes: Repeated::default(),
    served_questions: Repeated::default(),
    published_quarantine: Repeated::default(),
    read_quarantine: Repeated::default(),
    reported_statements: Repeated::default(),
    published_statements: Repeated::default(),
    accounts: Accounts::default(),
    slots: Ledger::default(),
    quota_bound: routing.quota_bound(),
    process: rand::random(),
    next_uses_report_at: 0,
    next_standings_write_at: 0,
    known_sums: None,
    read_record: None,
    lease_read: false,
    records_reported: false,
    recorded_sums: None,
    former_sums: None,
    next_sums_publish_at: 0,
    buffer: vec![0; MAX_DATAGRAM_BYTES],
  };
  hub.set_planner_waker(planner.waker.clone());
  hub.gates.deployments.set_waker(planner.waker.clone());
  hub.gates.servers.set_waker(planner.waker.clone());
  let (builder, log) = (thread::Builder::new(), hub.log.clone());
  essential::spawn_loop(builder, "planner", &log, move |pulse| planner.run(pulse))?;
  Ok(address)
}

/// Binds the peer address, for datagrams and for tunnels at the same port.
fn bind(hub: &Arc<Hub>, address: &str) -> io::Result<(UdpSocket, SocketAddr)> {
  let address: SocketAddr = address.parse().map_err(io::Error::other)?;
  let bound = tunnel::bind(hub, address)?;
  let socket = UdpSocket::bind(bound)?;
  socket.set_nonblocking(true)?;
  Ok((socket, bound))
}

impl Planner {
  fn run(mut self, pulse: &Pulse) {
    let mut suspension = Suspension::start();
    loop {
      pulse.beat();
      let now = self.hub.now();
      let due = self.due(now);
      let until = self.hub.instant(due);
      let waited = wait(
        [
          Some((&self.socket, Interest::Read)),
          Some((&self.hub.report_waker, Interest::Read)),
          Some((&*self.waker, Interest::Read)),
        ],
        until,
      );
      let Ok([_, report_requested, completed]) = waited else {
        warn!(self.hub.log, "planner cannot wait"; "until_ms" => due);
        return;
      };
      self.stalled = self.hub.now() > due + STALL_THRESHOLD_MS;
      if report_requested {
        self.hub.report_waker.clear();
      }
      if completed {
        self.waker.clear();
      }
      if let Some(suspended_for) = suspension.take() {
        self.record_suspension(suspended_for);
      }
      self.receive_datagrams();
      self.process_crashes();
      self.flush_outbox();
      self.process_completions();
      self.poll_leases();
      self.read_policies();
      self.sync_quarantine();
      self.sync_build_history();
      self.confirm_builds();
      self.report_records_read();
      self.exchange_statements();
      self.exchange_builds();
      self.report_uses(report_requested);
      self.report(report_requested);
      self.publish_changes();
      for index in 0..self.groups.len() {
        self.step_plan(index);
      }
    }
  }

  /// Requests a resync after the machine was suspended: it missed the updates published meanwhile.
  fn record_suspension(&mut self, suspended_for: Duration) {
    let now = self.hub.now();
    let held = self.groups.iter().filter(|group| group.holds_lease);
    info!(self.hub.log, "machine was suspended"; "away_ms" => suspended_for.as_millis() as u64,
      "leases_held" => held.count(),
      "leases_lapsed" => self.groups.iter()
        .filter(|group| group.holds_lease && group.lease.term(now).is_none()).count());
    self.needs_resync = true;
    self.stalled = true;
    if suspended_for > build::MAX_LIST_LAG {
      self.interrupt_build_watch();
    }
  }

  fn due(&self, now: u64) -> u64 {
    let mut due = (now + MAX_SLEEP_MS).min(self.last_report_at + self.report_interval_ms());
    due = due.min(self.next_uses_report_at.max(now + 1));
    for group in &self.groups {
      due = due.min(group.lease.due(now));
      if group.leads(now) {
        due = due.min(group.plan.next_step_at(now).max(group.paused_until));
      }
      if group.holds_lease {
        due = due.min(self.policy_reads.due());
      }
    }
    let repeated = [
      self.analysis_at(now),
      self.part_analysis_at(now),
      self.reported_part_crashes.due(),
      self.served_questions.due(),
      self.reported_crashes.due(),
      self.published_quarantine.due(),
      self.read_quarantine_due(now),
      self.reported_statements.due(),
      self.published_statements.due(),
      self.confirmations.due(),
    ];
    for next in repeated {
      due = due.min(next.unwrap_or(due));
    }
    if self.outbox.has_pending() {
      due = due.min(now + outbox::SLOT_MS);
    }
    due.max(now)
  }

  /// Time between two reports.
  pub(crate) fn report_interval_ms(&self) -> u64 {
    match &self.last_report {
      _ if self.needs_resync => RESYNC_DELAY_MS << self.resync_attempts.min(MAX_RESYNC_DOUBLINGS),
      Some(last) if !last.demand.is_empty() => DEMAND_REPORT_INTERVAL_MS,
      Some(last) if !last.running.is_empty() => RUNNING_REPORT_INTERVAL_MS,
      _ => IDLE_REPORT_INTERVAL_MS,
    }
  }

  fn receive_datagrams(&mut self) {
    let mut buffer = std::mem::take(&mut self.buffer);
    while let Ok((length, from)) = self.socket.recv_from(&mut buffer) {
      let now = self.hub.now();
      match message::decode(&buffer[..length]) {
        Ok((Message::Report(report), extension)) => {
          for group in self.groups.iter_mut().filter(|group| group.leads(now)) {
            group.plan.receive_report(now, from, report.clone());
            group.plan.receive_extension(now, from, &extension);
          }
        }
        Ok((Message::Update(update), extension)) => {
          self.receive_update(now, update, extension, from)
        }
        Ok((Message::PromiseRequest(index, request), _)) => {
          self.answer_promise_request(now, index, request, from)
        }
        Ok((Message::Changes(kind, batch), _)) => self.gate(kind).receive_batch(batch),
        Ok((Message::Crashes(crashes), _)) => self.receive_crashes(now, &crashes),
        Ok((Message::Quarantine(entries), _)) => self.receive_quarantine(now, &entries, from),
        Ok((Message::PartCrashes(crashes), _)) => self.receive_part_crashes(now, &crashes),
        Ok((Message::ServedQuestions(questions), _)) => self.receive_served_questions(questions),
        Ok((Message::Served(keys), _)) => self.receive_served(now, &keys),
        Ok((Message::Suspects(entries), _)) => self.hub.apply(Event::Suspected(entries), None),
        Ok((Message::Uses(uses), _)) => self.receive_uses(now, &uses, from),
        Ok((Message::FormerSums { age_ms, sums }, _)) => {
          self.receive_former_sums(now, age_ms, &sums)
        }
        Ok((Message::Grants(answer), _)) => self.receive_grants(answer),
        Ok((Message::Statements(statements), _)) => self.receive_statements(statements),
        Ok((Message::Builds(records), _)) => self.receive_builds(records, from),
        Ok((Message::BuildQuestion(attempts), _)) => self.answer_builds(now, &attempts, from),
        Ok((Message::BuildsUnknown(attempts), extension)) => {
          self.receive_unknown_builds(attempts, from, extension.outlasts_streams)
        }
        Ok((Message::Promise(index, promise, store_ms), _)) => {
          self.receive_store_age(store_ms);
          let group = self.groups.get_mut(index as usize);
          if let (Some(group), Some(promise)) = (group, promise) {
            group.lease.receive_promise(&promise);
          }
        }
        Err(error) => {
          warn!(self.hub.log, "failed to decode a datagram"; "from" => %from, "error" => %error);
        }
      }
    }
    self.buffer = buffer;
  }

  pub(crate) fn edge(&self) -> &Edge {
    &self.edge
  }

  /// Kinds of the store's objects.
  pub(crate) fn kinds(&self) -> Kinds {
    self.edge.kinds
  }
}
