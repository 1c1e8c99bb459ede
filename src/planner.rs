//! The planner's thread: the lease, the plan, and datagrams between instances.
//!
//! Instances report to the lease's holder what they wait for and what they have
//! running; it publishes what servers hold. Both go as datagrams that may be
//! lost: each is sent again while it counts.

use crate::{
  backend::{self, Backend, Spec},
  clock::{Moment, Suspension},
  command::{Command, Inventory, Taken, Unheard},
  crash::{Crash, Quarantined, Registry, Repeated, stored},
  dispatch::Event,
  edge::Edge,
  exchange::{BITS, BITS_MS, PUBLISH_PART},
  hub::Hub,
  lease::promise,
  lease::{self, Lease},
  life::Life,
  message::Message,
  outbox::{self, Outbox},
  placement::plan::{Effect, OtherServer, Plan, Report},
  policy::Policy,
  pool::Pool,
  quota::{Accounts, Bound, Sums},
  replication::Position,
  settings::{Routing, Settings},
  socket::{Interest, Waker, wait},
  statement::Reply,
  store,
};
use slog::{info, warn};
use std::{
  collections::BTreeMap,
  io,
  net::{SocketAddr, UdpSocket},
  sync::{
    Arc,
    atomic::Ordering,
    mpsc::{Receiver, Sender, channel},
  },
  thread,
  time::Duration,
};

/// Threads for orders at the most; one order a server is under way. One to a server that is
/// cut off takes a thread for up to a second, and the servers of a fleet may be cut off
/// together: orders to the others must not wait for them.
const ORDER_THREADS: usize = 24;
/// Threads for questions at the most: apart, for servers that are cut off are asked again and
/// again.
const ASK_THREADS: usize = 24;
/// Waiting requests are reported again this often, ms.
const DEMAND_MS: u64 = 150;
/// Running requests are reported this often, ms.
const RUNNING_MS: u64 = 300;
/// Changes that are lacking are asked for after this time, ms: what is asked for comes within
/// some.
const BEHIND_MS: u64 = 20;
/// Doublings of that time while more is lacking each time: a change that is lost to many would
/// have 295 of them report 15,000 times a second, and lose more.
const BEHIND_DOUBLINGS: u32 = 4;
/// An instance that has neither says so this often, ms.
const IDLE_MS: u64 = 1_000;
/// Bytes of a datagram taken.
const DATAGRAM: usize = 60 << 10;
/// Longest sleep of the planner's thread, ms.
const SLEEP_MS: u64 = 1_000;
/// The lease is given the machines that report this often, ms: gathering 295 with each
/// datagram took more time than taking it up.
const HEAR_MS: u64 = 50;
/// Most by which takers of a lease are spread, ms.
const JITTER_MS: u64 = 250;
/// Each lease that an instance holds keeps it back from taking another one, ms.
const RELUCTANCE_MS: u64 = 400;
/// An instance smaller than this leaves the lease to others for a while: orders of a
/// holder with 0.12 cores and 10 Mbit/s took 0.5 s where 90 servers and 69 instances
/// were to be updated (7 ms on a larger one).
const HOLDER_CORES: f64 = 0.2;
const HOLDER_LINK_MBPS: f64 = 50.0;
/// For this long, ms: longer than takers are spread.
const SMALL_MS: u64 = 600;
/// One with a slower link leaves it for a shorter time to those that can publish faster: at 295
/// instances ten changes take 170 ms of a fifth of 50 Mbit/s.
const MIDDLE_LINK_MBPS: f64 = 100.0;
const MIDDLE_MS: u64 = 300;
/// Policies are read this often, ms: operators change them some times a day.
const POLICIES_MS: u64 = 10_000;
/// And again this long after a read that failed, ms.
const POLICIES_AGAIN_MS: u64 = 300;
/// A holder that never read policies orders nothing for this long, ms: it would load more
/// replicas than they allow. Then it serves without: the store may not give them at all.
const POLICIES_WAIT_MS: u64 = 3_000;
/// A wait that ends so much later than it should shows that this process stood still, ms: at a
/// tenth of a processor its thread waits for some ten at the most.
const STALLED_MS: u64 = 500;
/// A step is followed by a rest of this many times its length: the holder serves
/// requests too.
const PACE: u32 = 6;

/// What other threads bring back.
enum Done {
  Lease(usize, lease::Call, store::Result<store::Object>),
  Ordered(usize, Command, Reply<Taken>),
  Asked(usize, String, Reply<Result<Inventory, Unheard>>),
  Policies(store::Result<Vec<store::Object>>),
  Quarantine(stored::Call, store::Result<store::Object>),
}

/// A group of servers: its lease, and the plan that counts while this machine
/// holds it.
pub(crate) struct Group {
  pub(crate) number: u32,
  /// Name of the lease object.
  pub(crate) name: String,
  pub(crate) lease: Lease,
  pub(crate) plan: Plan,
  pub(crate) holds_lease: bool,
  /// No step before this time: deciding takes its part of the processor only, ms.
  pub(crate) rest_until: u64,
  /// Counts of the state that the plan has seen.
  pub(crate) seen: (u64, u64),
  /// Up to which change the holdings are known.
  pub(crate) known: Position,
  /// When the lease was last given the machines that report, ms.
  pub(crate) heard: u64,
  /// When the list of instances was last published, ms.
  pub(crate) members_sent: u64,
}

impl Group {
  /// Whether this instance is the last holder as far as it knows. While the store is
  /// down its time may be over; what it ordered before goes on, and is published.
  pub(crate) fn leads(&self, now: u64) -> bool {
    self.lease.heartbeat(now).is_some()
  }
}

/// Everything the planner's thread works with.
pub(crate) struct Planner {
  pub(crate) hub: Arc<Hub>,
  edge: Arc<Edge>,
  pub(crate) socket: UdpSocket,
  pub(crate) own_address: SocketAddr,
  pub(crate) instance: String,
  /// This machine's short name.
  pub(crate) machine: u32,
  pub(crate) groups: Vec<Group>,
  calls: Pool,
  orders: Pool,
  asks: Pool,
  done: Sender<Done>,
  finished: Receiver<Done>,
  bell: Arc<Waker>,
  pub(crate) reported: u64,
  pub(crate) last: Option<Report>,
  /// When policies are read next, ms.
  policies_at: u64,
  /// Until when orders wait for the first policies, ms.
  policies_until: u64,
  /// How long this instance leaves a free lease to others, ms.
  reluctance: u64,
  /// What waits to be sent to many instances.
  pub(crate) outbox: Outbox,
  /// A holder lacks this instance's report, or it lacks changes.
  pub(crate) behind: bool,
  /// This process stood still: what its socket holds now may be old.
  pub(crate) stalled: bool,
  /// Reports in a row that asked for changes.
  pub(crate) lacked: u32,
  /// Instances that holders published.
  pub(crate) members: Vec<SocketAddr>,
  /// What is known of requests that crash servers.
  pub(crate) registry: Registry,
  pub(crate) stored_quarantine: stored::Stored,
  /// Crashes to report, and what is kept from servers to publish.
  pub(crate) reported_crashes: Repeated<Crash>,
  pub(crate) published_quarantine: Repeated<Quarantined>,
  /// What servers said: to report, and to publish.
  pub(crate) reported_statements: Repeated<Life>,
  pub(crate) published_statements: Repeated<Life>,
  /// What all instances use of quotas, while this one holds the lease.
  pub(crate) accounts: Accounts,
  pub(crate) quota_bound: Bound,
  /// Names this process among those that report uses.
  pub(crate) process: u64,
  /// When uses are reported next, and standings written down, ms.
  pub(crate) next_uses_report_at: u64,
  pub(crate) next_standings_write_at: u64,
  /// What customers used within the last window as of then, ms, for the next holder; and when
  /// this one publishes it next.
  pub(crate) known_sums: Option<(u64, Sums)>,
  pub(crate) next_sums_publish_at: u64,
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
  let planner = Planner {
    hub: hub.clone(),
    edge: edge.clone(),
    socket,
    own_address: address,
    instance: settings.instance.clone(),
    machine: promise::short_hash(&routing.machine),
    groups: (0..routing.groups)
      .map(|number| group(number, &routing, address))
      .collect(),
    calls: Pool::spawn("lease", 2)?,
    orders: Pool::spawn("order", ORDER_THREADS)?,
    asks: Pool::spawn("ask", ASK_THREADS)?,
    done,
    finished,
    bell: Arc::new(Waker::new()?),
    reported: 0,
    last: None,
    policies_at: 0,
    policies_until: u64::MAX,
    reluctance: reluctance(&routing),
    outbox: Outbox::new((routing.link_mbps * BITS_MS / BITS / PUBLISH_PART) as u64),
    behind: false,
    stalled: false,
    lacked: 0,
    members: Vec::new(),
    registry: Registry::default(),
    stored_quarantine: stored::Stored::default(),
    reported_crashes: Repeated::default(),
    published_quarantine: Repeated::default(),
    reported_statements: Repeated::default(),
    published_statements: Repeated::default(),
    accounts: Accounts::default(),
    quota_bound: routing.quota_bound(),
    process: rand::random(),
    next_uses_report_at: 0,
    next_standings_write_at: 0,
    known_sums: None,
    next_sums_publish_at: 0,
    buffer: vec![0; DATAGRAM],
  };
  hub.gates.deployments.ring(planner.bell.clone());
  hub.gates.servers.ring(planner.bell.clone());
  let builder = thread::Builder::new().name("planner".into());
  builder.spawn(move || planner.run())?;
  Ok(address)
}

fn reluctance(routing: &Routing) -> u64 {
  let small = routing.cores < HOLDER_CORES || routing.link_mbps < HOLDER_LINK_MBPS;
  match () {
    () if small => SMALL_MS,
    () if routing.link_mbps < MIDDLE_LINK_MBPS => MIDDLE_MS,
    () => 0,
  }
}

fn group(number: u32, routing: &Routing, address: SocketAddr) -> Group {
  let jitter = rand::random::<u64>() % JITTER_MS;
  let groups = routing.groups.max(1);
  let overage = routing.load_overage.min(1.0) / f64::from(groups);
  Group {
    number,
    name: format!("orders-{number}"),
    lease: Lease::new(&routing.machine, address, routing.lease_ms, jitter, 0),
    plan: Plan::new(&routing.machine, number, routing.load_window_ms, overage),
    holds_lease: false,
    rest_until: 0,
    seen: (0, 0),
    known: Position::default(),
    heard: 0,
    members_sent: 0,
  }
}

impl Planner {
  fn run(mut self) {
    let mut suspension = Suspension::start();
    loop {
      let now = self.hub.now();
      let due = self.due(now);
      let until = self.hub.instant(due);
      let waited = wait(
        [
          Some((&self.socket, Interest::Read)),
          Some((&self.hub.report_waker, Interest::Read)),
          Some((&*self.bell, Interest::Read)),
        ],
        until,
      );
      let Ok([_, wanted, finished]) = waited else {
        warn!(self.hub.log, "planner cannot wait"; "until_ms" => due);
        return;
      };
      self.stalled = self.hub.now() > due + STALLED_MS;
      if wanted {
        self.hub.report_waker.clear();
      }
      if finished {
        self.bell.clear();
      }
      if let Some(away) = suspension.take() {
        self.woke(away);
      }
      self.receive();
      self.process_crashes();
      self.flush();
      self.finish();
      self.lease();
      self.read_policies();
      self.sync_quarantine();
      self.statements();
      self.report_uses(wanted);
      self.report(wanted);
      self.publish_changes();
      for index in 0..self.groups.len() {
        self.plan(index);
      }
    }
  }

  /// The machine was suspended: what was published meanwhile is lost.
  fn woke(&mut self, away: Duration) {
    let now = self.hub.now();
    let held = self.groups.iter().filter(|group| group.holds_lease);
    info!(self.hub.log, "machine was suspended"; "away_ms" => away.as_millis() as u64,
      "leases_held" => held.count(),
      "leases_lapsed" => self.groups.iter()
        .filter(|group| group.holds_lease && group.lease.term(now).is_none()).count());
    self.behind = true;
    self.stalled = true;
  }

  fn due(&self, now: u64) -> u64 {
    let mut due = (now + SLEEP_MS).min(self.reported + self.pause());
    due = due.min(self.next_uses_report_at.max(now + 1));
    for group in &self.groups {
      due = due.min(group.lease.due(now));
      if group.leads(now) {
        due = due.min(group.plan.next_step_at(now).max(group.rest_until));
      }
      if group.holds_lease {
        due = due.min(self.policies_at);
      }
    }
    let repeated = [
      self.analysis_at(now),
      self.reported_crashes.due(),
      self.published_quarantine.due(),
      self.reported_statements.due(),
      self.published_statements.due(),
    ];
    for next in repeated {
      due = due.min(next.unwrap_or(due));
    }
    if self.outbox.has_pending() {
      due = due.min(now + outbox::SLOT_MS);
    }
    due.max(now)
  }

  /// Time from one report to the next.
  pub(crate) fn pause(&self) -> u64 {
    match &self.last {
      _ if self.behind => BEHIND_MS << self.lacked.min(BEHIND_DOUBLINGS),
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
        Ok(Message::Report(report)) => {
          for group in self.groups.iter_mut().filter(|group| group.leads(now)) {
            group.plan.receive_report(now, from, report.clone());
          }
        }
        Ok(Message::Update(update)) => self.hear(now, update, from),
        Ok(Message::Question(index, question)) => self.promise(now, index, question, from),
        Ok(Message::Changes(kind, batch)) => self.gate(kind).offer(batch),
        Ok(Message::Crashes(crashes)) => self.receive_crashes(now, &crashes),
        Ok(Message::Quarantine(entries)) => self.receive_quarantine(now, &entries, from),
        Ok(Message::Suspects(entries)) => self.hub.apply(Event::Suspected(entries), None),
        Ok(Message::Uses(uses)) => self.hear_uses(now, &uses, from),
        Ok(Message::Grants(answer)) => self.hear_grants(answer),
        Ok(Message::Statements(statements)) => self.hear_statements(statements),
        Ok(Message::Promise(index, promise, store_ms)) => {
          self.receive_store_age(store_ms);
          let group = self.groups.get_mut(index as usize);
          if let (Some(group), Some(promise)) = (group, promise) {
            group.lease.receive_promise(&promise);
          }
        }
        Err(error) => {
          warn!(self.hub.log, "datagram not understood"; "from" => %from, "error" => %error);
        }
      }
    }
    self.buffer = buffer;
  }

  fn finish(&mut self) {
    while let Ok(done) = self.finished.try_recv() {
      let now = self.hub.now();
      match done {
        Done::Lease(index, call, result) => self.leased(now, index, &call, result),
        Done::Ordered(index, command, reply) => {
          self.hub.hear(command.life(), &command.id, &reply.said);
          let taken = reply.outcome;
          info!(self.hub.log, "ordered"; "server" => &command.id,
            "act" => format!("{:?}", command.act), "model" => &command.model.name,
            "adapter" => &command.model.adapter, "orders" => command.orders,
            "term" => command.term, "taken" => format!("{taken:?}"));
          self.hub.measures.order(command.act, taken);
          self.groups[index]
            .plan
            .record_order_result(now, &command, taken);
        }
        Done::Policies(objects) => self.take_policies(now, objects),
        Done::Quarantine(call, result) => self.finish_quarantine_call(now, &call, result),
        Done::Asked(index, id, reply) => {
          let inventory = reply.outcome;
          let life = self.life_of(&id, &inventory);
          self.hub.hear(life, &id, &reply.said);
          if let Err(unheard) = &inventory {
            info!(self.hub.log, "server did not say what it holds"; "server" => &id,
              "why" => format!("{unheard:?}"));
          }
          self.groups[index]
            .plan
            .receive_inventory(now, &id, inventory);
        }
      }
    }
  }

  /// The life of a server that was asked, as it says itself or as it is known.
  fn life_of(&self, id: &str, inventory: &Result<Inventory, Unheard>) -> Life {
    if let Ok(inventory) = inventory {
      return Life::of(id, inventory.born);
    }
    let state = self.hub.state();
    let known = state.by_id.get(id);
    known.map_or(Life::of(id, 0), |key| state.backends[*key].spec.life())
  }

  fn leased(
    &mut self,
    now: u64,
    index: usize,
    call: &lease::Call,
    result: store::Result<store::Object>,
  ) {
    if let (Ok(object), lease::Call::Read) = (&result, call) {
      self.read_sums(now, &object.spec);
    }
    let group = &mut self.groups[index];
    if let (Err(error), lease::Call::Write { record, revision }) = (&result, call) {
      info!(self.hub.log, "lease not written"; "lease" => &group.name, "error" => %error,
        "term" => record.term, "revision" => %revision);
    }
    if result.is_ok() {
      self.hub.gates.reachability.record_response(Moment::now());
      // Others learn of the renewal at once.
      group.plan.request_publish();
    }
    if group.lease.record_call_result(now, call, result) {
      let term = group.lease.term(now).unwrap_or_default();
      self.hub.measures.lease();
      info!(self.hub.log, "lease taken"; "lease" => &group.name, "term" => term);
      group.plan.start_term(now, term);
      // Those of an earlier holding may be old.
      self.policies_at = now;
      if self.policies_until == u64::MAX {
        self.policies_until = now + POLICIES_WAIT_MS;
      }
      group.seen = (0, 0);
      group.members_sent = 0;
      self.behind = true;
      if index == 0 {
        let first = matches!(call, lease::Call::Write { revision, .. } if revision.number == 0);
        self.open_accounts(now, term, first);
      }
    }
  }

  fn lease(&mut self) {
    let now = self.hub.now();
    let stopping = self.hub.stopping.load(Ordering::Relaxed);
    let held = |group: &Group| !stopping && group.lease.term(now).is_some();
    let count = self.groups.iter().filter(|group| held(group)).count() as u64;
    for index in 0..self.groups.len() {
      let group = &mut self.groups[index];
      let holding = held(group);
      if holding != group.holds_lease {
        group.holds_lease = holding;
        info!(self.hub.log, "orders"; "lease" => &group.name, "given_here" => holding);
      }
      group
        .lease
        .set_acquire_delay(self.reluctance + count * RELUCTANCE_MS);
      if group.leads(now) && now >= group.heard + HEAR_MS {
        group.heard = now;
        group.lease.set_machines(group.plan.machines(now));
      }
      if let Some(call) = group.lease.next_call(now, stopping) {
        self.call(index, call);
      }
      self.ask_promises(now, index);
    }
    let leads = self.groups.iter().any(|group| group.holds_lease);
    self.hub.gates.deployments.lead(leads);
    self.hub.gates.servers.lead(leads);
  }

  /// Reads the operators' policies now and then, while this machine gives orders.
  fn read_policies(&mut self) {
    let now = self.hub.now();
    let holds = self.groups.iter().any(|group| group.holds_lease);
    if !holds || now < self.policies_at {
      return;
    }
    self.policies_at = now + POLICIES_MS;
    let (edge, done, bell) = (self.edge.clone(), self.done.clone(), self.bell.clone());
    self.calls.run(move || {
      let policies = edge.store.all(edge.kinds.policies);
      let _ = done.send(Done::Policies(policies.map(|(objects, _)| objects)));
      bell.wake();
    });
  }

  fn take_policies(&mut self, now: u64, objects: store::Result<Vec<store::Object>>) {
    let objects = match objects {
      Ok(objects) => objects,
      Err(store::Error::Absent { .. }) => Vec::new(),
      Err(error) => {
        self.policies_at = now + POLICIES_AGAIN_MS;
        info!(self.hub.log, "policies not read, the last ones stay in force"; "error" => %error);
        return;
      }
    };
    self.policies_until = 0;
    let mut policies = BTreeMap::new();
    for object in objects {
      let policy = serde_json::from_value::<Policy>(object.spec).map_err(|error| error.to_string());
      let checked = policy.and_then(|policy| policy.fault().map_or(Ok(policy), Err));
      match checked {
        Ok(policy) => {
          policies.insert(object.name, policy);
        }
        Err(fault) => warn!(self.hub.log, "policy is faulty and left out";
          "policy" => &object.name, "revision" => %object.revision, "fault" => fault),
      }
    }
    for group in &mut self.groups {
      group.plan.update_policies(policies.clone());
    }
  }

  /// Reads or writes what is kept from servers, where that is due.
  pub(crate) fn start_quarantine_call(&self, call: stored::Call) {
    let (edge, done, bell) = (self.edge.clone(), self.done.clone(), self.bell.clone());
    self.calls.run(move || {
      let kind = edge.kinds.quarantine;
      let result = match &call {
        stored::Call::Read => (edge.store.read)(kind, stored::NAME),
        stored::Call::Write { record, revision } => stored::encode(record)
          .and_then(|spec| (edge.store.write)(kind, stored::NAME, *revision, &spec)),
      };
      // The planner's thread lives as long as the process.
      let _ = done.send(Done::Quarantine(call, result));
      bell.wake();
    });
  }

  fn call(&mut self, index: usize, call: lease::Call) {
    let record = match &call {
      lease::Call::Write { record, .. } => serde_json::to_value(record).ok(),
      lease::Call::Read => None,
    };
    let now = self.hub.now();
    let leads = index == 0 && self.groups[index].holds_lease;
    let record = match record {
      Some(record) if leads => Some(self.with_sums(now, record)),
      record => record,
    };
    let (edge, done, bell) = (self.edge.clone(), self.done.clone(), self.bell.clone());
    let name = self.groups[index].name.clone();
    self.calls.run(move || {
      let kind = edge.kinds.leases;
      let result = match &call {
        lease::Call::Read => (edge.store.read)(kind, &name),
        lease::Call::Write { revision, .. } => match &record {
          Some(spec) => (edge.store.write)(kind, &name, *revision, spec),
          None => Err(store::Error::Malformed("lease: not encoded".into())),
        },
      };
      // The planner's thread lives as long as the process.
      let _ = done.send(Done::Lease(index, call, result));
      bell.wake();
    });
  }

  fn plan(&mut self, index: usize) {
    let now = self.hub.now();
    let group = &mut self.groups[index];
    if !group.leads(now) || now < group.rest_until {
      return;
    }
    group
      .plan
      .set_ordering(group.holds_lease && now >= self.policies_until);
    self.feed_plan(index);
    let began = Moment::now();
    let effects = self.groups[index].plan.step(now);
    let took = began.elapsed() * PACE;
    self.groups[index].rest_until = now + took.as_millis() as u64;
    for effect in effects {
      match effect {
        Effect::Order(command) => self.order(index, command),
        Effect::Query { id, address } => self.ask(index, id, address),
        Effect::Publish(update) => self.publish(index, &update),
        Effect::Log {
          what,
          server,
          model,
          why,
        } => info!(self.hub.log, "planned"; "what" => what, "server" => server,
          "model" => model, "why" => why),
      }
    }
  }

  fn feed_plan(&mut self, index: usize) {
    let groups = self.groups.len() as u32;
    let group = &mut self.groups[index];
    let state = self.hub.state();
    let counts = (state.changes, state.updates);
    if counts == group.seen {
      return;
    }
    let Some(deployment) = state.deployment.clone() else {
      return;
    };
    let mine = |id: &str| backend::group(id, groups) == group.number;
    if counts.0 != group.seen.0 {
      let specs: Vec<Spec> = state
        .by_id
        .iter()
        .filter(|(id, _)| mine(id))
        .map(|(_, key)| state.backends[*key].effective_spec())
        .collect();
      group.plan.update_servers(deployment, specs);
    }
    if groups > 1 {
      let others = state.by_id.iter().filter(|(id, _)| !mine(id));
      let others = others.map(|(id, key)| other(backend::group(id, groups), &state.backends[*key]));
      group.plan.update_other_servers(others.collect());
    }
    group.plan.update_limited(&state.limits.servers().collect());
    group.seen = counts;
  }

  fn order(&self, index: usize, command: Command) {
    let (edge, done, bell) = (self.edge.clone(), self.done.clone(), self.bell.clone());
    let (hub, until) = (self.hub.clone(), self.groups[index].lease.valid_until());
    self.orders.run(move || {
      // A pause between decision and sending must not let an order out late.
      let reply = (edge.send_order)(&command, hub.instant(until));
      let _ = done.send(Done::Ordered(index, command, reply));
      bell.wake();
    });
  }

  fn ask(&self, index: usize, id: String, address: SocketAddr) {
    let (edge, done, bell) = (self.edge.clone(), self.done.clone(), self.bell.clone());
    self.asks.run(move || {
      let reply = (edge.query_inventory)(address, &id);
      let _ = done.send(Done::Asked(index, id, reply));
      bell.wake();
    });
  }
}

/// A server of another group, as this instance knows it.
fn other(group: u32, backend: &Backend) -> OtherServer {
  let (mut models, spec) = match &backend.holding {
    Some(holding) => (holding.models.clone(), &backend.spec),
    None => (backend.spec.models.clone(), &backend.spec),
  };
  if let Some(holding) = &backend.holding {
    models.retain(|name, _| !holding.leaving.contains(name));
  }
  let ready = !backend.is_leaving();
  if !ready {
    models.clear();
  }
  let copies = spec.in_memory.iter().chain(&spec.on_disk);
  OtherServer {
    group,
    pool: spec.pool.clone(),
    models,
    copies: if ready {
      copies.cloned().collect()
    } else {
      Vec::new()
    },
  }
}
