//! Simulates in virtual time a fleet of instances that enforce customers' quotas together.

use bendsaddle::{
  customer::{Customer, Digest, Directory, Unit},
  quota::{Accounts, Allowance, Balances, Bound, Decision, Grant, Id, Quota, Sums, Use},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::HashMap;

/// Quota bounds of the users' deployment.
pub const BOUND: Bound = Bound {
  window_ms: 8_000,
  overage: 0.1,
  slack: 17_000.0,
};
const REPORT_MS: u64 = 500;
/// Range of the tokens of a request.
const COST: std::ops::Range<u32> = 300..1_900;
/// Time from the loss of a holder until the next one takes over, ms.
const TAKEOVER_MS: u64 = 3_500;

/// How requests that no grant covers are handled.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Strategy {
  /// Each instance has an equal share and requests nothing.
  Equal,
  /// Shares depend on recent usage only, and no more is requested.
  Leases,
  /// Shares depend on recent usage, and missing units are requested from the holder.
  Requested,
}

/// Load and failures of a simulated fleet.
#[derive(Clone, Debug)]
pub struct Scenario {
  pub seed: u64,
  pub instances: usize,
  /// Average tokens per second of each customer.
  pub usual: Vec<f64>,
  /// A customer with raised usage: index, factor, start and end, ms.
  pub hot_customer: Option<(usize, f64, u64, u64)>,
  /// A customer whose requests all go to one instance from a time on: index, time, ms.
  pub pinned_customer: Option<(usize, u64)>,
  /// Fraction of the instances that are killed, at which time, ms, and whether the holder is too.
  pub kill: Option<(f64, u64, bool)>,
  /// When the holder fails and another instance follows, ms, in ascending order.
  pub holder_losses: &'static [u64],
  /// Number of instances whose messages are lost, with start and end, ms.
  pub partitioned: Option<(usize, u64, u64)>,
  /// Number of instances that are suspended, with start and end, ms.
  pub suspended: Option<(usize, u64, u64)>,
  pub loss: f64,
  pub length_ms: u64,
}

/// Results of a simulation.
#[derive(Default)]
pub struct Outcome {
  /// Highest usage of a customer in any window, as a fraction of what is allowed.
  pub worst: f64,
  /// Number of requests within their customer's quota, and how many of those were refused.
  pub within: usize,
  pub refused: usize,
  /// When requests were refused although their customer had not used its quota, with them, in the
  /// window that ended then, in ms.
  pub refused_early: Vec<u64>,
  pub messages: usize,
}

enum Message {
  Uses(usize, u64, u64, Vec<Use>),
  Grants(usize, u64, u64, Vec<Grant>),
}

struct Instance {
  quotas: Balances,
  process: u64,
  /// Waiting requests: customer, cost, arrival time in ms.
  waiting: Vec<(usize, u32, u64)>,
  report_at: u64,
}

struct Fleet<'a> {
  scenario: &'a Scenario,
  strategy: Strategy,
  rng: SmallRng,
  book: Directory,
  customers: Vec<(Id, Quota)>,
  instances: Vec<Instance>,
  accounts: Accounts,
  /// No holder answers before this time, ms.
  holder_at: u64,
  in_flight: Vec<(u64, Message)>,
  /// Requests that ran, by customer: time in ms and cost.
  ran: Vec<Vec<(u64, u32)>>,
  /// All requests, by customer: time in ms, cost, and whether they were refused.
  sent: Vec<Vec<(u64, u32, bool)>>,
  messages: usize,
  /// Usage that the holder published last, with the time, ms.
  sums: (u64, Sums),
}

fn customer(name: &str, usual: f64) -> (Customer, Quota) {
  // As in the users' quota sheet: 1.8 times the usual rate, at least 4,200.
  let rate = (usual * 1.8).max(4_200.0);
  let quota = Quota { rate, burst: rate };
  let customer = Customer {
    name: name.into(),
    keys: vec![Digest::of(name.as_bytes())],
    priority: None,
    unit: Unit::Tokens { default_cost: 200 },
    quota: Some(quota),
  };
  (customer, quota)
}

fn allowance(book: &Directory, id: Id) -> Option<Allowance> {
  let quota = book.get(id)?.quota?;
  Some(Allowance {
    quota,
    bound: BOUND,
  })
}

/// Simulates a scenario.
pub fn simulate(scenario: &Scenario, strategy: Strategy) -> Outcome {
  let mut rng = SmallRng::seed_from_u64(scenario.seed);
  let names = (0..scenario.usual.len()).map(|number| format!("c{number}"));
  let all: Vec<(Customer, Quota)> = names
    .zip(&scenario.usual)
    .map(|(name, usual)| customer(&name, *usual))
    .collect();
  let ids = all
    .iter()
    .map(|(customer, quota)| (Id::for_customer(&customer.name), *quota));
  let customers = ids.collect();
  let instances = (0..scenario.instances)
    .map(|_| instance(&mut rng))
    .collect();
  let mut fleet = Fleet {
    scenario,
    strategy,
    book: Directory::new(all.into_iter().map(|(customer, _)| customer).collect()).unwrap(),
    customers,
    instances,
    accounts: Accounts::default(),
    sums: (0, Sums::new()),
    holder_at: 0,
    in_flight: Vec::new(),
    ran: vec![Vec::new(); scenario.usual.len()],
    sent: vec![Vec::new(); scenario.usual.len()],
    messages: 0,
    rng,
  };
  for now in 1..scenario.length_ms {
    fleet.step(now);
  }
  fleet.outcome()
}

fn instance(rng: &mut SmallRng) -> Instance {
  Instance {
    quotas: Balances::new(rng.random()),
    process: rng.random(),
    waiting: Vec::new(),
    report_at: rng.random_range(0..REPORT_MS),
  }
}

fn is_affected(span: Option<(usize, u64, u64)>, instance: usize, now: u64) -> bool {
  span.is_some_and(|(count, from, to)| instance < count && (from..to).contains(&now))
}

impl Fleet<'_> {
  fn step(&mut self, now: u64) {
    if now >= self.holder_at && now.is_multiple_of(REPORT_MS) {
      self.sums = (now, self.accounts.sums(now, |id| allowance(&self.book, id)));
      for index in 0..self.instances.len() {
        let unreachable = is_affected(self.scenario.partitioned, index, now)
          || is_affected(self.scenario.suspended, index, now);
        if self.strategy != Strategy::Equal && !unreachable {
          self.instances[index].quotas.receive_sums(now, &self.sums.1);
        }
      }
    }
    self.kill(now);
    if self.scenario.holder_losses.contains(&now) {
      self.holder_at = now + TAKEOVER_MS;
    }
    self.deliver(now);
    self.arrive(now);
    for index in 0..self.instances.len() {
      if !is_affected(self.scenario.suspended, index, now) {
        self.retry(now, index);
        self.report(now, index);
      }
    }
  }

  fn kill(&mut self, now: u64) {
    let Some((part, at, holder)) = self.scenario.kill else {
      return;
    };
    if now != at {
      return;
    }
    let count = (self.instances.len() as f64 * part) as usize;
    for index in 0..count {
      self.instances[index] = instance(&mut self.rng);
      if self.strategy != Strategy::Equal {
        // An instance reads the lease's record when it starts.
        self.instances[index].quotas.receive_sums(now, &self.sums.1);
      }
    }
    if holder {
      self.holder_at = now + TAKEOVER_MS;
    }
  }

  fn deliver(&mut self, now: u64) {
    if self.holder_at == now {
      let sums = Some((self.sums.0, &self.sums.1));
      self.accounts = Accounts::new(now, sums, |id| allowance(&self.book, id));
    }
    let due: Vec<Message> = {
      let (due, later) = std::mem::take(&mut self.in_flight)
        .into_iter()
        .partition(|(at, _)| *at <= now);
      self.in_flight = later;
      let due: Vec<(u64, Message)> = due;
      due.into_iter().map(|(_, message)| message).collect()
    };
    for message in due {
      match message {
        Message::Uses(index, process, sent, uses) if now >= self.holder_at => {
          let grants = self
            .accounts
            .report(now, process, &uses, |id| allowance(&self.book, id));
          self.post(now, index, Message::Grants(index, process, sent, grants));
        }
        Message::Uses(..) => {}
        Message::Grants(index, process, sent, grants) => {
          // A suspended instance reads messages when it resumes.
          if is_affected(self.scenario.suspended, index, now) {
            let (_, _, until) = self.scenario.suspended.unwrap();
            self
              .in_flight
              .push((until, Message::Grants(index, process, sent, grants)));
          } else if self.instances[index].process == process {
            self.instances[index]
              .quotas
              .receive_grants(now, sent, &grants);
          }
        }
      }
    }
  }

  fn post(&mut self, now: u64, index: usize, message: Message) {
    self.messages += 1;
    let lost = self.rng.random_bool(self.scenario.loss)
      || is_affected(self.scenario.partitioned, index, now);
    if !lost {
      let at = now + self.rng.random_range(1..8);
      self.in_flight.push((at, message));
    }
  }

  fn arrive(&mut self, now: u64) {
    for customer in 0..self.scenario.usual.len() {
      let mut rate = self.scenario.usual[customer];
      if let Some((hot_customer, times, from, to)) = self.scenario.hot_customer
        && hot_customer == customer
        && (from..to).contains(&now)
      {
        rate *= times;
      }
      let mean = f64::from(COST.start + COST.end) / 2.0;
      let mut expected = rate / mean / 1_000.0;
      while expected > 0.0 && self.rng.random_bool(expected.min(1.0)) {
        self.request(now, customer);
        expected -= 1.0;
      }
    }
  }

  fn request(&mut self, now: u64, customer: usize) {
    let moved = |(who, at): (usize, u64)| who == customer && now >= at;
    let index = match self.scenario.pinned_customer {
      Some(pinned_customer) if moved(pinned_customer) => self.instances.len() - 1,
      _ => self.rng.random_range(0..self.instances.len()),
    };
    let cost = self.rng.random_range(COST);
    self.sent[customer].push((now, cost, false));
    let number = (self.sent[customer].len() - 1) as u64;
    if is_affected(self.scenario.suspended, index, now) {
      self.instances[index].waiting.push((customer, cost, now));
      return;
    }
    self.decide(now, index, (customer, cost, now), number);
  }

  fn decide(&mut self, now: u64, index: usize, request: (usize, u32, u64), _number: u64) {
    let (customer, cost, since) = request;
    let (id, quota) = self.customers[customer];
    let allowance = Allowance {
      quota,
      bound: BOUND,
    };
    let count = self.instances.len();
    let instance = &mut self.instances[index];
    let requested_at = match self.strategy {
      Strategy::Requested => Some(since),
      // As if it had waited since time 0, so it doesn't wait any longer.
      Strategy::Equal | Strategy::Leases => Some(0),
    };
    match instance
      .quotas
      .acquire(now, (id, &allowance), cost, requested_at, count)
    {
      Decision::Granted => self.ran[customer].push((since, cost)),
      Decision::Pending(_) => {
        instance.waiting.push(request);
        instance.report_at = instance.report_at.min(now);
      }
      Decision::Exceeded(_) => self.refuse(customer, since, cost),
    }
  }

  fn refuse(&mut self, customer: usize, since: u64, cost: u32) {
    let mut sent = self.sent[customer].iter_mut();
    if let Some(request) = sent.find(|request| request.0 == since && request.1 == cost) {
      request.2 = true;
    }
  }

  fn retry(&mut self, now: u64, index: usize) {
    let waiting = std::mem::take(&mut self.instances[index].waiting);
    for request in waiting {
      self.decide(now, index, request, 0);
    }
  }

  fn report(&mut self, now: u64, index: usize) {
    let instance = &mut self.instances[index];
    if self.strategy == Strategy::Equal || now < instance.report_at {
      return;
    }
    let mut needs: HashMap<Id, u32> = HashMap::new();
    for (customer, cost, _) in &instance.waiting {
      *needs.entry(self.customers[*customer].0).or_default() += cost;
    }
    if !needs.is_empty() && now < instance.quotas.next_request_at() {
      return;
    }
    let uses = instance.quotas.uses(now, &needs);
    instance.report_at = now + REPORT_MS;
    if !needs.is_empty() {
      instance.report_at = instance.quotas.next_request_at();
    }
    let process = instance.process;
    self.post(now, index, Message::Uses(index, process, now, uses));
  }

  fn outcome(mut self) -> Outcome {
    let mut outcome = Outcome {
      messages: self.messages,
      ..Outcome::default()
    };
    for (customer, (_, quota)) in self.customers.iter().enumerate() {
      let allowed = BOUND.window_units(quota) + BOUND.reserve(quota);
      let ran = &mut self.ran[customer];
      ran.sort_unstable();
      outcome.worst = outcome.worst.max(max_usage(ran) / allowed);
      let (within, refused) = count_within_quota(&self.sent[customer], BOUND.window_units(quota));
      outcome.within += within;
      outcome.refused += refused;
      let early = refused_early(&self.sent[customer], ran, BOUND.window_units(quota));
      outcome.refused_early.extend(early);
    }
    outcome
  }
}

/// Highest usage in any window.
fn max_usage(ran: &[(u64, u32)]) -> f64 {
  let (mut max_usage, mut sum, mut first) = (0.0f64, 0.0, 0);
  for (at, cost) in ran {
    sum += f64::from(*cost);
    while ran[first].0 + BOUND.window_ms <= *at {
      sum -= f64::from(ran[first].1);
      first += 1;
    }
    max_usage = max_usage.max(sum);
  }
  max_usage
}

/// Number of requests that fit into the quota together with the requests before them, and how many
/// of those were refused.
fn count_within_quota(sent: &[(u64, u32, bool)], allowed: f64) -> (usize, usize) {
  let (mut within, mut refused, mut sum, mut first) = (0, 0, 0.0, 0);
  for (at, cost, was_refused) in sent {
    sum += f64::from(*cost);
    while sent[first].0 + BOUND.window_ms <= *at {
      sum -= f64::from(sent[first].1);
      first += 1;
    }
    if sum <= allowed {
      within += 1;
      refused += usize::from(*was_refused);
    }
  }
  (within, refused)
}

/// Times of refused requests that would have fit into the quota together with those that ran
/// within the window before them.
fn refused_early(sent: &[(u64, u32, bool)], ran: &[(u64, u32)], allowed: f64) -> Vec<u64> {
  let (mut early, mut sum, mut first, mut next) = (Vec::new(), 0.0, 0, 0);
  for (at, cost, was_refused) in sent {
    while next < ran.len() && ran[next].0 <= *at {
      sum += f64::from(ran[next].1);
      next += 1;
    }
    while first < next && ran[first].0 + BOUND.window_ms <= *at {
      sum -= f64::from(ran[first].1);
      first += 1;
    }
    if *was_refused && sum + f64::from(*cost) <= allowed {
      early.push(*at);
    }
  }
  early
}
