//! A fleet of instances before servers that name limits, played in virtual time: the reducers of
//! all instances, the holder's accounts, and datagrams between them that come late or never.

use bendsaddle::{
  backend::Spec,
  deployment::{Deployment, Pool},
  dispatch::{Attempt, Change, Descriptor, Effect, End, Event, State},
  life::Life,
  quota::{Accounts, Grant, Sums, Use},
  refusal::{Reason, Refusal},
  request::Ticket,
  retry::Bound,
  route::{Repeat, Route},
  statement::Statement,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
  cmp::Reverse,
  collections::{BTreeMap, BTreeSet, BinaryHeap},
  sync::Arc,
};

/// Window in which users judge a limit, ms, and what they allow there: one and a half times the
/// limit and five requests.
pub const WINDOW_MS: u64 = 4_000;
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;
/// From an answer that names a limit to the last request beyond it of that instance, ms.
pub const HEARD_MS: u64 = 500;
/// Time in which a holder that is gone is followed by the next one, ms.
const TAKEOVER_MS: u64 = 3_500;
/// The holder publishes sums this often, and all limits that it knows, ms.
const SUMS_MS: u64 = 500;
const LISTS_MS: u64 = 2_000;
/// When what has changed is sent, ms after the change.
const SENDS_MS: [u64; 3] = [0, 100, 400];

/// What happens to a fleet.
#[derive(Clone, Debug)]
pub struct Story {
  pub seed: u64,
  pub instances: usize,
  pub servers: usize,
  /// Requests a second of all callers.
  pub load: f64,
  /// What the first server names: from when, ms, and how many a second.
  pub named: Vec<(u64, Option<f64>)>,
  /// The first server starts again then, ms, and names the same.
  pub restart: Option<u64>,
  /// Instances that are killed at a time, ms, the holder among them or not; they start again.
  pub herd: Option<(usize, u64, bool)>,
  /// Instances whose datagrams are lost between two times, ms.
  pub cut: Option<(usize, u64, u64)>,
  /// Instances that stand still between two times, ms.
  pub frozen: Option<(usize, u64, u64)>,
  /// Parts of sends that servers decline, and that break off after they began.
  pub declined: f64,
  pub broken: f64,
  pub loss: f64,
  pub length_ms: u64,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Outcome {
  /// The most that a window held of what instances sent that had heard the limit, beyond what is
  /// allowed there; negative: less.
  pub beyond: f64,
  /// Requests that the first server got while it named a limit, and what that allowed.
  pub got: usize,
  pub allowed: f64,
  pub served: usize,
  pub refused: usize,
  /// The longest that a request waited that was refused for want of room, and sent nowhere, ms.
  pub slowest_refusal_ms: u64,
  /// Requests that the first server got in the last second.
  pub at_last: usize,
  pub messages: usize,
}

#[derive(Clone, Debug)]
enum Mail {
  Uses(usize, u64, u64, Vec<Use>, Vec<Statement>),
  Grants(usize, u64, u64, Vec<Grant>),
  Limits(usize, Vec<Statement>),
  Sums(usize, Sums),
  /// A request reaches a server; its answer's head comes; its end.
  Reaches(usize, u64, Attempt),
  Named(usize, u64, Ticket, Option<f64>),
  Ended(usize, u64, Ticket, End),
  Look(usize, u64, Ticket),
}

struct Instance {
  state: State,
  process: u64,
  report_at: u64,
  /// What it heard that is to be reported, with the times, ms.
  due: Vec<(Life, u64)>,
  /// When it first passed an answer on that named a limit, ms.
  told: Option<u64>,
}

struct Fleet<'a> {
  story: &'a Story,
  rng: SmallRng,
  instances: Vec<Instance>,
  /// The holder, and before when no holder answers, ms.
  holder: usize,
  holder_at: u64,
  accounts: Accounts,
  sums: (u64, Sums),
  mail: BinaryHeap<Reverse<(u64, u64, usize)>>,
  posted: BTreeMap<usize, Mail>,
  number: usize,
  tickets: u64,
  arrived: BTreeMap<u64, u64>,
  /// Requests that were sent somewhere.
  sent: BTreeSet<u64>,
  lives: u64,
  /// Requests at the first server of instances that had heard its limit, and all.
  counted: Vec<u64>,
  got: Vec<u64>,
  outcome: Outcome,
}

fn life(number: usize, born: u64) -> Spec {
  Spec {
    id: format!("s{number}"),
    born,
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
    parts: Vec::new(),
    repeat: Repeat::Always,
    stream: None,
    attempts: 3,
    timeout_ms: 5_000,
    objective_ms: 400,
    priority: 1,
    public: false,
  })
}

fn within(span: Option<(usize, u64, u64)>, instance: usize, now: u64) -> bool {
  span.is_some_and(|(count, from, to)| instance < count && (from..to).contains(&now))
}

/// What is left of a datagram that waited while its reader stood still.
fn overtaken(mail: Mail) -> Mail {
  match mail {
    Mail::Limits(index, mut statements) => {
      statements.retain(Statement::applies_when_late);
      Mail::Limits(index, statements)
    }
    other => other,
  }
}

/// Plays a story.
pub fn play(story: &Story) -> Outcome {
  let mut fleet = Fleet {
    rng: SmallRng::seed_from_u64(story.seed),
    instances: Vec::new(),
    holder: story.instances - 1,
    holder_at: 0,
    accounts: Accounts::default(),
    sums: (0, Sums::new()),
    mail: BinaryHeap::new(),
    posted: BTreeMap::new(),
    number: 0,
    tickets: 0,
    arrived: BTreeMap::new(),
    sent: BTreeSet::new(),
    lives: 1,
    counted: Vec::new(),
    got: Vec::new(),
    outcome: Outcome {
      beyond: f64::NEG_INFINITY,
      ..Outcome::default()
    },
    story,
  };
  fleet.instances = (0..story.instances).map(|_| fleet.instance(0)).collect();
  for now in 1..story.length_ms {
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
      told: None,
    };
    self.count(now, &mut instance);
    instance
  }

  fn specs(&self) -> Vec<Spec> {
    let others = (1..self.story.servers).map(|number| life(number, 1));
    [life(0, self.lives)].into_iter().chain(others).collect()
  }

  /// It hears of a holder how many instances there are.
  fn count(&self, now: u64, instance: &mut Instance) {
    let updated = Event::Updated {
      holdings: Vec::new(),
      group: None,
      loads: None,
      instances: self.story.instances,
    };
    instance.state.reduce(now, updated);
  }

  fn deaf(&self, now: u64, index: usize) -> bool {
    within(self.story.cut, index, now)
  }

  fn frozen(&self, now: u64, index: usize) -> bool {
    within(self.story.frozen, index, now)
  }

  fn post(&mut self, at: u64, mail: Mail) {
    self.number += 1;
    self.posted.insert(self.number, mail);
    self
      .mail
      .push(Reverse((at, self.number as u64, self.number)));
  }

  /// A datagram between an instance and the holder, or the other way.
  fn datagram(&mut self, now: u64, index: usize, mail: Mail) {
    self.outcome.messages += 1;
    let cut = self.deaf(now, index) || self.deaf(now, self.holder);
    if !cut && !self.rng.random_bool(self.story.loss) {
      let at = now + self.rng.random_range(1..8);
      self.post(at, mail);
    }
  }

  fn step(&mut self, now: u64) {
    self.strike(now);
    while let Some(Reverse((at, ..))) = self.mail.peek()
      && *at <= now
    {
      let Reverse((.., number)) = self.mail.pop().unwrap();
      let mail = self.posted.remove(&number).unwrap();
      self.deliver(now, mail);
    }
    self.arrive(now);
    self.publish(now);
    for index in 0..self.instances.len() {
      if !self.frozen(now, index) {
        self.report(now, index);
      }
    }
  }

  fn strike(&mut self, now: u64) {
    if self.story.restart == Some(now) {
      self.lives += 1;
      for index in 0..self.instances.len() {
        let change = Event::Servers(vec![Change::Set(life(0, self.lives))]);
        self.apply(now, index, change);
        self.instances[index].told = None;
      }
      self.close_window();
    }
    if let Some((count, at, holder)) = self.story.herd
      && now == at
    {
      for index in 0..count {
        self.instances[index] = self.instance(now);
      }
      if holder {
        self.holder = (self.holder + 1) % self.instances.len();
        self.holder_at = now + TAKEOVER_MS;
      }
    }
    if let Some((count, _, until)) = self.story.frozen
      && now == until
    {
      // One that stood still has to be told anew before its requests count.
      for instance in &mut self.instances[..count] {
        instance.told = None;
      }
    }
    if self.holder_at == now && now > 0 {
      let state = &self.instances[self.holder].state;
      let sums = (!self.sums.1.is_empty()).then_some((self.sums.0, &self.sums.1));
      self.accounts = Accounts::new(now, sums, |id| state.limits().allowance(id));
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
          self.post(at, Mail::Reaches(index, process, attempt));
        }
        Effect::Wait(ticket, until) => {
          self.post(until.max(now + 1), Mail::Look(index, process, ticket));
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

  fn deliver(&mut self, now: u64, mail: Mail) {
    let to = match &mail {
      Mail::Uses(..) | Mail::Reaches(..) => None,
      Mail::Grants(index, ..)
      | Mail::Limits(index, ..)
      | Mail::Sums(index, ..)
      | Mail::Named(index, ..)
      | Mail::Ended(index, ..)
      | Mail::Look(index, ..) => Some(*index),
    };
    if let Some(index) = to
      && self.frozen(now, index)
    {
      // What comes while it stands still is read when it goes on.
      let (_, _, until) = self.story.frozen.unwrap();
      return self.post(until, overtaken(mail));
    }
    match mail {
      Mail::Uses(index, process, sent, uses, limits) => {
        self.hear_uses(now, index, (process, sent), &uses, limits);
      }
      Mail::Grants(index, process, sent, grants) => {
        if self.instances[index].process == process {
          self.apply(now, index, Event::Granted { sent, grants });
        }
      }
      Mail::Limits(index, limits) => self.apply(now, index, Event::Statements(limits)),
      Mail::Sums(index, sums) => self.apply(now, index, Event::QuotaUsage(sums)),
      Mail::Reaches(index, process, attempt) => self.reaches(now, index, process, attempt),
      Mail::Named(index, process, ticket, rate) => {
        let alive = self.instances[index].process == process;
        if alive {
          if rate.is_some() {
            self.instances[index].told.get_or_insert(now);
          }
          self.apply(now, index, Event::LimitAnnounced { ticket, rate });
        }
      }
      Mail::Ended(index, process, ticket, end) => {
        if self.instances[index].process == process {
          self.outcome.served += usize::from(end == End::Whole);
          self.apply(now, index, Event::Ended { ticket, end });
        }
      }
      Mail::Look(index, process, ticket) => {
        if self.instances[index].process == process {
          self.apply(now, index, Event::Recheck(ticket));
        }
      }
    }
  }

  fn hear_uses(
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
    self.datagram(now, index, Mail::Grants(index, process, sent, grants));
  }

  /// What the first server names at a time; none: nothing.
  fn named(&self, now: u64) -> Option<f64> {
    let mut named = self.story.named.iter();
    let last = named.rfind(|(at, _)| *at <= now);
    last.and_then(|(_, rate)| *rate)
  }

  fn reaches(&mut self, now: u64, index: usize, process: u64, attempt: Attempt) {
    if self.instances[index].process != process {
      return;
    }
    let first = attempt.id == "s0";
    let rate = if first { self.named(now) } else { None };
    if first {
      self.got.push(now);
      if rate.is_some() {
        self.outcome.got += 1;
      }
      let told = self.instances[index].told;
      if rate.is_some() && told.is_some_and(|told| now >= told + HEARD_MS) {
        self.counted.push(now);
      }
    }
    let head = now + self.rng.random_range(5..60);
    let ticket = attempt.ticket;
    if rate.is_some() || attempt.limited {
      self.post(head, Mail::Named(index, process, ticket, rate));
    }
    let drawn: f64 = self.rng.random();
    let end = match () {
      () if drawn < self.story.declined => End::Full,
      () if drawn < self.story.declined + self.story.broken => End::Broken,
      () => End::Whole,
    };
    let at = head + self.rng.random_range(1..200);
    self.post(at, Mail::Ended(index, process, ticket, end));
  }

  fn arrive(&mut self, now: u64) {
    let mut expected = self.story.load / 1_000.0;
    while expected > 0.0 && self.rng.random_bool(expected.min(1.0)) {
      expected -= 1.0;
      let index = self.rng.random_range(0..self.instances.len());
      if self.frozen(now, index) {
        continue;
      }
      self.tickets += 1;
      self.arrived.insert(self.tickets, now);
      let ask = Descriptor {
        ticket: Ticket(self.tickets),
        id: self.tickets.to_string(),
        route: route(),
        pool: "pool".into(),
        model: None,
        affinity: 0,
        deadline: now + 5_000,
        content: Default::default(),
        caller: None,
      };
      self.apply(now, index, Event::Arrived(ask));
    }
  }

  /// The holder publishes sums, limits that changed, and now and then all limits.
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
        self.spread(now, |index| Mail::Sums(index, sums.clone()));
        self.apply(now, holder, Event::QuotaUsage(self.sums.1.clone()));
      }
    }
    let limits = match now.is_multiple_of(LISTS_MS) {
      true => self.instances[holder].state.limits().statements(now),
      false => self.due(now, holder),
    };
    if !limits.is_empty() {
      self.spread(now, |index| Mail::Limits(index, limits.clone()));
    }
  }

  fn spread(&mut self, now: u64, mail: impl Fn(usize) -> Mail) {
    let holder = self.holder;
    for index in (0..self.instances.len()).filter(|index| *index != holder) {
      self.datagram(now, index, mail(index));
    }
  }

  /// What is due of what an instance heard.
  fn due(&mut self, now: u64, index: usize) -> Vec<Statement> {
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
    let said = instance.due.iter().any(|(_, at)| *at <= now);
    let due = now >= instance.report_at && instance.state.limits().any();
    if !due && !said {
      return;
    }
    let ask_at = instance.state.quotas().next_request_at();
    let uses = instance.state.uses(now);
    let needed = uses.iter().any(|one| one.need > 0);
    if needed && now < ask_at && !said {
      instance.report_at = ask_at;
      return;
    }
    let pause = (self.story.instances as u64 * 3).clamp(500, 1_000);
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
    let mut limits = self.due(now, index);
    let state = &self.instances[index].state;
    let needed = uses.iter().filter(|one| one.need > 0);
    limits.extend(needed.filter_map(|one| state.limits().statement_by_id(one.id, now)));
    let mail = Mail::Uses(index, process, now, uses, limits);
    self.datagram(now, index, mail);
  }

  /// Takes up the fullest window so far; the next one is of another life.
  fn close_window(&mut self) {
    let counted = std::mem::take(&mut self.counted);
    let rates = self.story.named.iter().filter_map(|(_, rate)| *rate);
    let most_rate = rates.fold(0.0, f64::max);
    let allowed = most_rate * WINDOW_MS as f64 / 1_000.0 * OVERAGE + SLACK;
    let mut first = 0;
    for (last, at) in counted.iter().enumerate() {
      while counted[first] + WINDOW_MS <= *at {
        first += 1;
      }
      let beyond = (last + 1 - first) as f64 - allowed;
      self.outcome.beyond = self.outcome.beyond.max(beyond);
    }
  }

  fn finish(mut self) -> Outcome {
    self.close_window();
    let named = self.story.named.first().map_or(0, |(at, _)| *at);
    let rate = self.named(self.story.length_ms).unwrap_or_default();
    self.outcome.allowed = rate * (self.story.length_ms - named) as f64 / 1_000.0;
    let last = self.story.length_ms - 1_000;
    self.outcome.at_last = self.got.iter().filter(|at| **at >= last).count();
    self.outcome
  }
}
