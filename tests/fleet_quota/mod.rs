//! A fleet of instances that keep customers' quotas together, played in virtual time.

use bendsaddle::{
  customer::{Customer, Digest, Directory, Unit},
  quota::{Accounts, Allowance, Balances, Bound, Decision, Grant, Id, Quota, Sums, Use},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::collections::HashMap;

/// Bounds of the users' deployment.
pub const BOUND: Bound = Bound {
  window_ms: 8_000,
  overage: 0.1,
  slack: 17_000.0,
};
const REPORT_MS: u64 = 500;
/// Tokens of a request, least and most.
const COST: std::ops::Range<u32> = 300..1_900;
/// Time in which a holder that is gone is followed by the next one, ms.
const TAKEOVER_MS: u64 = 3_500;

/// How requests that no grant covers are decided.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Way {
  /// An equal share for each instance; nobody is asked.
  Equal,
  /// Shares by recent use alone; nobody is asked for more.
  Leases,
  /// Shares by recent use, and the holder is asked for what lacks.
  Asked,
}

/// What happens to a fleet.
#[derive(Clone, Debug)]
pub struct Story {
  pub seed: u64,
  pub instances: usize,
  /// Tokens a second that each customer uses, on the average.
  pub usual: Vec<f64>,
  /// A customer, how many times its usual it sends, from and to, ms.
  pub hot: Option<(usize, f64, u64, u64)>,
  /// All requests of a customer go to one instance from then on, ms.
  pub moves: Option<(usize, u64)>,
  /// Part of the instances that are killed at a time, ms; the holder among them or not.
  pub herd: Option<(f64, u64, bool)>,
  /// Instances whose messages are lost between two times, ms.
  pub cut: Option<(usize, u64, u64)>,
  /// Instances that stand still between two times, ms.
  pub frozen: Option<(usize, u64, u64)>,
  pub loss: f64,
  pub length_ms: u64,
}

/// What came of it.
#[derive(Default)]
pub struct Outcome {
  /// The most that a window held of a customer, as a part of what it may.
  pub worst: f64,
  /// Requests within their customer's quota, and those of them that were refused.
  pub within: usize,
  pub refused: usize,
  pub messages: usize,
}

enum Mail {
  Uses(usize, u64, u64, Vec<Use>),
  Grants(usize, u64, u64, Vec<Grant>),
}

struct Instance {
  purse: Balances,
  process: u64,
  /// Requests that wait: customer, cost, since.
  waiting: Vec<(usize, u32, u64)>,
  report_at: u64,
}

struct Fleet<'a> {
  story: &'a Story,
  way: Way,
  rng: SmallRng,
  book: Directory,
  customers: Vec<(Id, Quota)>,
  instances: Vec<Instance>,
  accounts: Accounts,
  /// No holder answers before this time, ms.
  holder_at: u64,
  mail: Vec<(u64, Mail)>,
  /// Requests that ran, by customer: when they were sent, and their cost.
  ran: Vec<Vec<(u64, u32)>>,
  /// All requests, with whether they were refused.
  sent: Vec<Vec<(u64, u32, bool)>>,
  messages: usize,
  /// What the holder published last.
  sums: (u64, Sums),
}

fn customer(name: &str, usual: f64) -> (Customer, Quota) {
  // As the users' sheet: 1.8 times the usual, 4,200 at least.
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

/// Plays a story.
pub fn play(story: &Story, way: Way) -> Outcome {
  let mut rng = SmallRng::seed_from_u64(story.seed);
  let names = (0..story.usual.len()).map(|number| format!("c{number}"));
  let all: Vec<(Customer, Quota)> = names
    .zip(&story.usual)
    .map(|(name, usual)| customer(&name, *usual))
    .collect();
  let ids = all
    .iter()
    .map(|(customer, quota)| (Id::for_customer(&customer.name), *quota));
  let customers = ids.collect();
  let instances = (0..story.instances).map(|_| instance(&mut rng)).collect();
  let mut fleet = Fleet {
    story,
    way,
    book: Directory::new(all.into_iter().map(|(customer, _)| customer).collect()).unwrap(),
    customers,
    instances,
    accounts: Accounts::default(),
    sums: (0, Sums::new()),
    holder_at: 0,
    mail: Vec::new(),
    ran: vec![Vec::new(); story.usual.len()],
    sent: vec![Vec::new(); story.usual.len()],
    messages: 0,
    rng,
  };
  for now in 1..story.length_ms {
    fleet.step(now);
  }
  fleet.outcome()
}

fn instance(rng: &mut SmallRng) -> Instance {
  Instance {
    purse: Balances::new(rng.random()),
    process: rng.random(),
    waiting: Vec::new(),
    report_at: rng.random_range(0..REPORT_MS),
  }
}

fn within(span: Option<(usize, u64, u64)>, instance: usize, now: u64) -> bool {
  span.is_some_and(|(count, from, to)| instance < count && (from..to).contains(&now))
}

impl Fleet<'_> {
  fn step(&mut self, now: u64) {
    if now >= self.holder_at && now.is_multiple_of(REPORT_MS) {
      self.sums = (now, self.accounts.sums(now, |id| allowance(&self.book, id)));
      for index in 0..self.instances.len() {
        let deaf = within(self.story.cut, index, now) || within(self.story.frozen, index, now);
        if self.way != Way::Equal && !deaf {
          self.instances[index].purse.receive_sums(now, &self.sums.1);
        }
      }
    }
    self.herd(now);
    self.deliver(now);
    self.arrive(now);
    for index in 0..self.instances.len() {
      if !within(self.story.frozen, index, now) {
        self.retry(now, index);
        self.report(now, index);
      }
    }
  }

  fn herd(&mut self, now: u64) {
    let Some((part, at, holder)) = self.story.herd else {
      return;
    };
    if now != at {
      return;
    }
    let count = (self.instances.len() as f64 * part) as usize;
    for index in 0..count {
      self.instances[index] = instance(&mut self.rng);
      if self.way != Way::Equal {
        // It reads the lease's record when it starts.
        self.instances[index].purse.receive_sums(now, &self.sums.1);
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
    let due: Vec<Mail> = {
      let (due, later) = std::mem::take(&mut self.mail)
        .into_iter()
        .partition(|(at, _)| *at <= now);
      self.mail = later;
      let due: Vec<(u64, Mail)> = due;
      due.into_iter().map(|(_, mail)| mail).collect()
    };
    for mail in due {
      match mail {
        Mail::Uses(index, process, sent, uses) if now >= self.holder_at => {
          let grants = self
            .accounts
            .report(now, process, &uses, |id| allowance(&self.book, id));
          self.post(now, index, Mail::Grants(index, process, sent, grants));
        }
        Mail::Uses(..) => {}
        Mail::Grants(index, process, sent, grants) => {
          // What comes while it stands still is read when it goes on.
          if within(self.story.frozen, index, now) {
            let (_, _, until) = self.story.frozen.unwrap();
            self
              .mail
              .push((until, Mail::Grants(index, process, sent, grants)));
          } else if self.instances[index].process == process {
            self.instances[index]
              .purse
              .receive_grants(now, sent, &grants);
          }
        }
      }
    }
  }

  fn post(&mut self, now: u64, index: usize, mail: Mail) {
    self.messages += 1;
    let lost = self.rng.random_bool(self.story.loss) || within(self.story.cut, index, now);
    if !lost {
      let at = now + self.rng.random_range(1..8);
      self.mail.push((at, mail));
    }
  }

  fn arrive(&mut self, now: u64) {
    for customer in 0..self.story.usual.len() {
      let mut rate = self.story.usual[customer];
      if let Some((hot, times, from, to)) = self.story.hot
        && hot == customer
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
    let index = match self.story.moves {
      Some(moves) if moved(moves) => self.instances.len() - 1,
      _ => self.rng.random_range(0..self.instances.len()),
    };
    let cost = self.rng.random_range(COST);
    self.sent[customer].push((now, cost, false));
    let number = (self.sent[customer].len() - 1) as u64;
    if within(self.story.frozen, index, now) {
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
    let asked = match self.way {
      Way::Asked => Some(since),
      // Its patience is over at once.
      Way::Equal | Way::Leases => Some(0),
    };
    match instance
      .purse
      .acquire(now, (id, &allowance), cost, asked, count)
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
    if let Some(one) = sent.find(|one| one.0 == since && one.1 == cost) {
      one.2 = true;
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
    if self.way == Way::Equal || now < instance.report_at {
      return;
    }
    let mut needs: HashMap<Id, u32> = HashMap::new();
    for (customer, cost, _) in &instance.waiting {
      *needs.entry(self.customers[*customer].0).or_default() += cost;
    }
    if !needs.is_empty() && now < instance.purse.next_request_at() {
      return;
    }
    let uses = instance.purse.uses(now, &needs);
    instance.report_at = now + REPORT_MS;
    if !needs.is_empty() {
      instance.report_at = instance.purse.next_request_at();
    }
    let process = instance.process;
    self.post(now, index, Mail::Uses(index, process, now, uses));
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
      outcome.worst = outcome.worst.max(most(ran) / allowed);
      let (within, refused) = kept(&self.sent[customer], BOUND.window_units(quota));
      outcome.within += within;
      outcome.refused += refused;
    }
    outcome
  }
}

/// The most that a window held.
fn most(ran: &[(u64, u32)]) -> f64 {
  let (mut most, mut sum, mut first) = (0.0f64, 0.0, 0);
  for (at, cost) in ran {
    sum += f64::from(*cost);
    while ran[first].0 + BOUND.window_ms <= *at {
      sum -= f64::from(ran[first].1);
      first += 1;
    }
    most = most.max(sum);
  }
  most
}

/// Requests that fit into their quota by what was asked before them, and how many of them were
/// refused.
fn kept(sent: &[(u64, u32, bool)], allowed: f64) -> (usize, usize) {
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
