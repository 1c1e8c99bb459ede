//! Simulates in virtual time a fleet of instances in front of servers that announce limits: the
//! reducers of all instances, the holder's accounts, and datagrams between them that are delayed or
//! lost.

use bendsaddle::{
  backend::Spec,
  build,
  deployment::{Deployment, Pool},
  dispatch::{Attempt, Change, Descriptor, Effect, End, Event, State},
  life::Life,
  quota::{Accounts, Grant, Sums, Use},
  refusal::{Reason, Refusal},
  request::Ticket,
  retry::Bound,
  route::{Repeat, Route},
  statement::{Recorded, Statement, recorded},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use std::{
  cmp::Reverse,
  collections::{BTreeMap, BTreeSet, BinaryHeap},
  sync::Arc,
};

/// Window in which users check a limit, ms, and what they allow in it: one and a half times the
/// limit plus five requests.
pub const WINDOW_MS: u64 = 4_000;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time from a response that announces a limit to the last request of that instance that may exceed
/// it, ms.
pub const ENFORCEMENT_DELAY_MS: u64 = 500;
/// Time from the loss of a holder until the next one takes over, ms.
const TAKEOVER_MS: u64 = 3_500;
/// Intervals at which the holder publishes usage sums and all limits that it knows, ms.
const SUMS_MS: u64 = 500;
const LISTS_MS: u64 = 2_000;
/// Interval at which the holder writes the lease's record, ms.
const RECORD_MS: u64 = 1_500;
/// Times after a change at which it is sent, ms.
const SENDS_MS: [u64; 3] = [0, 100, 400];

/// Load and failures of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Scenario {
  pub seed: u64,
  pub instances: usize,
  pub servers: usize,
  /// Requests per second of all callers together.
  pub load: f64,
  /// Limits that the first server announces: from which time, ms, and requests per second; `None`
  /// ends the limit.
  pub announced: Vec<(u64, Option<f64>)>,
  /// Time at which the first server restarts, ms; it then announces the same limit.
  pub restart: Option<u64>,
  /// Number of instances that are killed and restart, at which time, ms, and whether the holder is
  /// killed too. Where all are, they know what the lease's record contains, and all their requests count.
  pub kill: Option<(usize, u64, bool)>,
  /// Number of instances whose datagrams are lost, with start and end, ms.
  pub partitioned: Option<(usize, u64, u64)>,
  /// Number of instances that are suspended, with start and end, ms.
  pub suspended: Option<(usize, u64, u64)>,
  /// Fractions of sends that servers decline, and that break after they started.
  pub declined: f64,
  pub broken: f64,
  pub loss: f64,
  pub length_ms: u64,
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct Outcome {
  /// By how much the fullest window exceeds what is allowed in it, counting requests of instances
  /// that know the limit; negative if it is below.
  pub excess: f64,
  /// Number of requests that the first server received while it announced a limit, and the number
  /// that the limit allowed.
  pub received: usize,
  pub allowed: f64,
  pub served: usize,
  pub refused: usize,
  /// Longest wait of a request that was refused because of a limit without being sent, ms.
  pub slowest_refusal_ms: u64,
  /// Number of requests that the first server received in the last second.
  pub received_in_last_second: usize,
  pub messages: usize,
}

#[derive(Clone, Debug)]
enum Message {
  Uses(usize, u64, u64, Vec<Use>, Vec<Statement>),
  Grants(usize, u64, u64, Vec<Grant>),
  Limits(usize, Vec<Statement>),
  Sums(usize, Sums),
  /// A request reaches a server; its response head arrives; its attempt ends.
  Reaches(usize, u64, Attempt),
  LimitAnnounced(usize, u64, Ticket, Option<f64>),
  Ended(usize, u64, Ticket, End),
  Recheck(usize, u64, Ticket),
}

struct Instance {
  state: State,
  process: u64,
  report_at: u64,
  /// Servers whose statements are to be reported, with the times, ms.
  due: Vec<(Life, u64)>,
  /// Time of the first response that announced a limit to this instance, ms.
  informed_at: Option<u64>,
}

struct Fleet<'a> {
  scenario: &'a Scenario,
  rng: SmallRng,
  instances: Vec<Instance>,
  /// Index of the holder, and the time before which no holder responds, ms.
  holder: usize,
  holder_at: u64,
  accounts: Accounts,
  sums: (u64, Sums),
  /// The sums and statements in the lease's record.
  record: (Sums, Value),
  queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
  messages: BTreeMap<usize, Message>,
  number: usize,
  tickets: u64,
  arrived: BTreeMap<u64, u64>,
  /// Tickets of requests that were sent to any server.
  sent: BTreeSet<u64>,
  lives: u64,
  /// Times of requests at the first server, ms: those of instances that know its limit, and all.
  informed_received_at: Vec<u64>,
  received_at: Vec<u64>,
  outcome: Outcome,
}

fn life(number: usize, born: u64) -> Spec {
  Spec {
    id: format!("s{number}"),
    born,
    build: build::Id::of("1"),
    pool: "pool".into(),
    address: "127.0.0.1:9".parse().unwrap(),
    zone: "a".into(),
    slots: 64,
    stage: bendsaddle::backend::Stage::Ready,
    models: BTreeMap::new(),
    in_memory: Vec::new(),
    on_disk: Vec::new(),
  }
}

fn route() -> Arc<Route> {
  Arc::new(Route {
    name: "r".into(),
    host: "host".into(),
    prefix: "/".into(),
    parts: Default::default(),
    repeat: Repeat::Always,
    stream: None,
    attempts: 3,
    timeout_ms: 5_000,
    objective_ms: 400,
    priority: 1,
    public: false,
  })
}

fn is_affected(span: Option<(usize, u64, u64)>, instance: usize, now: u64) -> bool {
  span.is_some_and(|(count, from, to)| instance < count && (from..to).contains(&now))
}

/// Drops what does not count from a datagram that waited while its reader was suspended.
fn drop_outdated(message: Message) -> Message {
  match message {
    Message::Limits(index, mut statements) => {
      statements.retain(Statement::applies_when_late);
      Message::Limits(index, statements)
    }
    other => other,
  }
}

/// Simulates a scenario.
pub fn simulate(scenario: &Scenario) -> Outcome {
  let mut fleet = Fleet {
    rng: SmallRng::seed_from_u64(scenario.seed),
    instances: Vec::new(),
    holder: scenario.instances - 1,
    holder_at: 0,
    accounts: Accounts::default(),
    sums: (0, Sums::new()),
    record: (Sums::new(), json!({})),
    queue: BinaryHeap::new(),
    messages: BTreeMap::new(),
    number: 0,
    tickets: 0,
    arrived: BTreeMap::new(),
    sent: BTreeSet::new(),
    lives: 1,
    informed_received_at: Vec::new(),
    received_at: Vec::new(),
    outcome: Outcome {
      excess: f64::NEG_INFINITY,
      ..Outcome::default()
    },
    scenario,
  };
  fleet.instances = (0..scenario.instances).map(|_| fleet.instance(0)).collect();
  for now in 1..scenario.length_ms {
    fleet.step(now);
  }
  fleet.finish()
}

impl Fleet<'_> {
  fn instance(&mut self, now: u64) -> Instance {
    let bound = Bound {
      ratio: 0.2,
      slack: 50.0,
      window_ms: 10_000,
    };
    let mut state = State::new("a", bound, self.rng.random());
    let deployment = Deployment {
      version: 1,
      pools: BTreeMap::from([("pool".into(), Pool::default())]),
      ..Deployment::default()
    };
    state.reduce(now, Event::Deployed(Arc::new(deployment)));
    state.reduce(now, Event::Servers(vec![Change::All(self.specs())]));
    let mut instance = Instance {
      state,
      process: self.rng.random(),
      report_at: now + self.rng.random_range(0..500),
      due: Vec::new(),
      informed_at: None,
    };
    self.update_instance_count(now, &mut instance);
    instance
  }

  fn specs(&self) -> Vec<Spec> {
    let others = (1..self.scenario.servers).map(|number| life(number, 1));
    [life(0, self.lives)].into_iter().chain(others).collect()
  }

  /// Informs an instance of the number of instances, as the holder does.
  fn update_instance_count(&self, now: u64, instance: &mut Instance) {
    let updated = Event::Updated {
      holdings: Vec::new(),
      group: None,
      loads: None,
      instances: self.scenario.instances,
    };
    instance.state.reduce(now, updated);
  }

  fn is_partitioned(&self, now: u64, index: usize) -> bool {
    is_affected(self.scenario.partitioned, index, now)
  }

  fn frozen(&self, now: u64, index: usize) -> bool {
    is_affected(self.scenario.suspended, index, now)
  }

  fn post(&mut self, at: u64, message: Message) {
    self.number += 1;
    self.messages.insert(self.number, message);
    self
      .queue
      .push(Reverse((at, self.number as u64, self.number)));
  }

  /// Sends a datagram between an instance and the holder, in either direction.
  fn datagram(&mut self, now: u64, index: usize, message: Message) {
    self.outcome.messages += 1;
    let cut = self.is_partitioned(now, index) || self.is_partitioned(now, self.holder);
    if !cut && !self.rng.random_bool(self.scenario.loss) {
      let at = now + self.rng.random_range(1..8);
      self.post(at, message);
    }
  }

  fn step(&mut self, now: u64) {
    self.apply_failures(now);
    while let Some(Reverse((at, ..))) = self.queue.peek()
      && *at <= now
    {
      let Reverse((.., number)) = self.queue.pop().unwrap();
      let message = self.messages.remove(&number).unwrap();
      self.deliver(now, message);
    }
    self.arrive(now);
    self.publish(now);
    for index in 0..self.instances.len() {
      if !self.frozen(now, index) {
        self.report(now, index);
      }
    }
  }

  fn apply_failures(&mut self, now: u64) {
    if self.scenario.restart == Some(now) {
      self.lives += 1;
      for index in 0..self.instances.len() {
        let change = Event::Servers(vec![Change::Set(life(0, self.lives))]);
        self.apply(now, index, change);
        self.instances[index].informed_at = None;
      }
      self.close_window();
    }
    if let Some((count, at, holder)) = self.scenario.kill
      && now == at
    {
      for index in 0..count {
        self.instances[index] = self.instance(now);
      }
      if count == self.instances.len() {
        self.start_from_record(now);
      }
      if holder {
        self.holder = (self.holder + 1) % self.instances.len();
        self.holder_at = now + TAKEOVER_MS;
      }
    }
    if let Some((count, _, until)) = self.scenario.suspended
      && now == until
    {
      // After a suspension an instance must receive the limit again before its requests count.
      for instance in &mut self.instances[..count] {
        instance.informed_at = None;
      }
    }
    if self.holder_at == now && now > 0 {
      let state = &self.instances[self.holder].state;
      let sums = (!self.sums.1.is_empty()).then_some((self.sums.0, &self.sums.1));
      self.accounts = Accounts::new(now, sums, |id| state.limits().allowance(id));
    }
  }

  /// Nothing is on its way any more after a loss of all instances.
  fn start_from_record(&mut self, now: u64) {
    self.queue.clear();
    self.messages.clear();
    let (sums, record) = self.record.clone();
    self.sums = (now, sums.clone());
    let statements: Vec<Recorded> = recorded::read(&record);
    for index in 0..self.instances.len() {
      self.instances[index].informed_at = Some(now.saturating_sub(ENFORCEMENT_DELAY_MS));
      self.apply(now, index, Event::QuotaUsage(sums.clone()));
      self.apply(now, index, Event::RecordedStatements(statements.clone()));
    }
  }

  fn apply(&mut self, now: u64, index: usize, event: Event) {
    let effects = self.instances[index].state.reduce(now, event);
    let process = self.instances[index].process;
    for effect in effects {
      match effect {
        Effect::Send(attempt) => {
          let at = now + self.rng.random_range(1..6);
          self.sent.insert(attempt.ticket.0);
          self.post(at, Message::Reaches(index, process, attempt));
        }
        Effect::Wait(ticket, until) => {
          self.post(until.max(now + 1), Message::Recheck(index, process, ticket));
        }
        Effect::Refuse(ticket, refusal) => self.refused(now, ticket, &refusal),
        Effect::RequestQuota | Effect::LimitChanged { .. } => self.instances[index].report_at = now,
        _ => {}
      }
    }
    for (server, own) in self.instances[index].state.take_statements() {
      if own || index == self.holder {
        let due = SENDS_MS.iter().map(|after| (server, now + after));
        self.instances[index].due.extend(due);
      }
    }
  }

  fn refused(&mut self, now: u64, ticket: Ticket, refusal: &Refusal) {
    self.outcome.refused += 1;
    let arrived = self.arrived[&ticket.0];
    if refusal.reason == Reason::ServerLimit && !self.sent.contains(&ticket.0) {
      let waited = now - arrived;
      self.outcome.slowest_refusal_ms = self.outcome.slowest_refusal_ms.max(waited);
    }
  }

  fn deliver(&mut self, now: u64, message: Message) {
    let to = match &message {
      Message::Uses(..) | Message::Reaches(..) => None,
      Message::Grants(index, ..)
      | Message::Limits(index, ..)
      | Message::Sums(index, ..)
      | Message::LimitAnnounced(index, ..)
      | Message::Ended(index, ..)
      | Message::Recheck(index, ..) => Some(*index),
    };
    if let Some(index) = to
      && self.frozen(now, index)
    {
      // A suspended instance reads messages when it resumes.
      let (_, _, until) = self.scenario.suspended.unwrap();
      return self.post(until, drop_outdated(message));
    }
    match message {
      Message::Uses(index, process, sent, uses, limits) => {
        self.receive_uses(now, index, (process, sent), &uses, limits);
      }
      Message::Grants(index, process, sent, grants) => {
        if self.instances[index].process == process {
          self.apply(now, index, Event::Granted { sent, grants });
        }
      }
      Message::Limits(index, limits) => self.apply(now, index, Event::Statements(limits)),
      Message::Sums(index, sums) => self.apply(now, index, Event::QuotaUsage(sums)),
      Message::Reaches(index, process, attempt) => self.reaches(now, index, process, attempt),
      Message::LimitAnnounced(index, process, ticket, rate) => {
        let alive = self.instances[index].process == process;
        if alive {
          if rate.is_some() {
            self.instances[index].informed_at.get_or_insert(now);
          }
          self.apply(now, index, Event::LimitAnnounced { ticket, rate });
        }
      }
      Message::Ended(index, process, ticket, end) => {
        if self.instances[index].process == process {
          self.outcome.served += usize::from(end == End::Whole);
          self.apply(now, index, Event::Ended { ticket, end });
        }
      }
      Message::Recheck(index, process, ticket) => {
        if self.instances[index].process == process {
          self.apply(now, index, Event::Recheck(ticket));
        }
      }
    }
  }

  fn receive_uses(
    &mut self,
    now: u64,
    index: usize,
    (process, sent): (u64, u64),
    uses: &[Use],
    limits: Vec<Statement>,
  ) {
    if now < self.holder_at || self.frozen(now, self.holder) {
      return;
    }
    self.apply(now, self.holder, Event::Statements(limits));
    let state = &self.instances[self.holder].state;
    let allow = |id| state.limits().allowance(id);
    let grants = self.accounts.report(now, process, uses, allow);
    self.datagram(now, index, Message::Grants(index, process, sent, grants));
  }

  /// Limit that the first server announces at a time; `None` if it announces none.
  fn announced_rate(&self, now: u64) -> Option<f64> {
    let mut announced = self.scenario.announced.iter();
    let last = announced.rfind(|(at, _)| *at <= now);
    last.and_then(|(_, rate)| *rate)
  }

  fn reaches(&mut self, now: u64, index: usize, process: u64, attempt: Attempt) {
    if self.instances[index].process != process {
      return;
    }
    let first = attempt.id == "s0";
    let rate = if first {
      self.announced_rate(now)
    } else {
      None
    };
    if first {
      self.received_at.push(now);
      if rate.is_some() {
        self.outcome.received += 1;
      }
      let informed_at = self.instances[index].informed_at;
      if rate.is_some()
        && informed_at.is_some_and(|informed_at| now >= informed_at + ENFORCEMENT_DELAY_MS)
      {
        self.informed_received_at.push(now);
      }
    }
    let head = now + self.rng.random_range(5..60);
    let ticket = attempt.ticket;
    if rate.is_some() || attempt.limited {
      self.post(head, Message::LimitAnnounced(index, process, ticket, rate));
    }
    let sample: f64 = self.rng.random();
    let end = match () {
      () if sample < self.scenario.declined => End::Full,
      () if sample < self.scenario.declined + self.scenario.broken => End::Broken,
      () => End::Whole,
    };
    let at = head + self.rng.random_range(1..200);
    self.post(at, Message::Ended(index, process, ticket, end));
  }

  fn arrive(&mut self, now: u64) {
    let mut expected = self.scenario.load / 1_000.0;
    while expected > 0.0 && self.rng.random_bool(expected.min(1.0)) {
      expected -= 1.0;
      let index = self.rng.random_range(0..self.instances.len());
      if self.frozen(now, index) {
        continue;
      }
      self.tickets += 1;
      self.arrived.insert(self.tickets, now);
      let descriptor = Descriptor {
        ticket: Ticket(self.tickets),
        id: self.tickets.to_string(),
        route: route(),
        pool: "pool".into(),
        model: None,
        affinity: 0,
        deadline: now + 5_000,
        content: Default::default(),
        parts: Default::default(),
        caller: None,
        tokens: None,
        resumption: None,
      };
      self.apply(now, index, Event::Arrived(descriptor));
    }
  }

  /// Publishes from the holder usage sums, changed limits, and periodically all limits.
  fn publish(&mut self, now: u64) {
    let holder = self.holder;
    if now < self.holder_at || self.frozen(now, holder) {
      return;
    }
    if now.is_multiple_of(SUMS_MS) {
      let state = &self.instances[holder].state;
      let allow = |id| state.limits().allowance(id);
      self.sums = (now, self.accounts.sums(now, allow));
      if !self.sums.1.is_empty() {
        let sums = self.sums.1.clone();
        self.broadcast(now, |index| Message::Sums(index, sums.clone()));
        self.apply(now, holder, Event::QuotaUsage(self.sums.1.clone()));
      }
    }
    if now.is_multiple_of(RECORD_MS) {
      let state = &self.instances[holder].state;
      let allow = |id| state.limits().allowance(id);
      let mut record = json!({});
      recorded::add(&mut record, &state.recorded_statements());
      self.record = (self.accounts.sums(now, allow), record);
    }
    let limits = match now.is_multiple_of(LISTS_MS) {
      true => self.instances[holder].state.limits().statements(now),
      false => self.take_due(now, holder),
    };
    if !limits.is_empty() {
      self.broadcast(now, |index| Message::Limits(index, limits.clone()));
    }
  }

  fn broadcast(&mut self, now: u64, message: impl Fn(usize) -> Message) {
    let holder = self.holder;
    for index in (0..self.instances.len()).filter(|index| *index != holder) {
      self.datagram(now, index, message(index));
    }
  }

  /// Removes and returns the statements that are due at an instance.
  fn take_due(&mut self, now: u64, index: usize) -> Vec<Statement> {
    let instance = &mut self.instances[index];
    let due = instance.due.iter().filter(|(_, at)| *at <= now);
    let due: Vec<Life> = due.map(|(server, _)| *server).collect();
    instance.due.retain(|(_, at)| *at > now);
    let limits = instance.state.limits();
    due
      .into_iter()
      .filter_map(|server| limits.statement(server, now))
      .collect()
  }

  fn report(&mut self, now: u64, index: usize) {
    let instance = &mut self.instances[index];
    let statement_due = instance.due.iter().any(|(_, at)| *at <= now);
    let due = now >= instance.report_at && instance.state.limits().any();
    if !due && !statement_due {
      return;
    }
    let next_request_at = instance.state.quotas().next_request_at();
    let uses = instance.state.uses(now);
    let needed = uses.iter().any(|one| one.need > 0);
    if needed && now < next_request_at && !statement_due {
      instance.report_at = next_request_at;
      return;
    }
    let pause = (self.scenario.instances as u64 * 3).clamp(500, 1_000);
    instance.report_at = match needed {
      true => instance.state.quotas().next_request_at().max(now + 1),
      false => now + pause,
    };
    let process = instance.process;
    if index == self.holder {
      if now < self.holder_at {
        return;
      }
      let state = &self.instances[index].state;
      let allow = |id| state.limits().allowance(id);
      let grants = self.accounts.report(now, process, &uses, allow);
      return self.apply(now, index, Event::Granted { sent: now, grants });
    }
    let mut limits = self.take_due(now, index);
    let state = &self.instances[index].state;
    let needed = uses.iter().filter(|one| one.need > 0);
    limits.extend(needed.filter_map(|one| state.limits().statement_by_id(one.id, now)));
    let message = Message::Uses(index, process, now, uses, limits);
    self.datagram(now, index, message);
  }

  /// Records the fullest window so far; later windows belong to another life of the server.
  fn close_window(&mut self) {
    let informed_received_at = std::mem::take(&mut self.informed_received_at);
    let rates = self.scenario.announced.iter().filter_map(|(_, rate)| *rate);
    let most_rate = rates.fold(0.0, f64::max);
    let allowed = most_rate * WINDOW_MS as f64 / 1_000.0 * OVERAGE + SLACK;
    let mut first = 0;
    for (last, at) in informed_received_at.iter().enumerate() {
      while informed_received_at[first] + WINDOW_MS <= *at {
        first += 1;
      }
      let excess = (last + 1 - first) as f64 - allowed;
      self.outcome.excess = self.outcome.excess.max(excess);
    }
  }

  fn finish(mut self) -> Outcome {
    self.close_window();
    let announced_at = self.scenario.announced.first().map_or(0, |(at, _)| *at);
    let rate = self
      .announced_rate(self.scenario.length_ms)
      .unwrap_or_default();
    self.outcome.allowed = rate * (self.scenario.length_ms - announced_at) as f64 / 1_000.0;
    let last = self.scenario.length_ms - 1_000;
    self.outcome.received_in_last_second =
      self.received_at.iter().filter(|at| **at >= last).count();
    self.outcome
  }
}
