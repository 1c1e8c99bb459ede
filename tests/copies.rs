//! Copies of a request that is suspected of crashing servers: at most one copy runs at any time
//! over all instances.
//!
//! Guards against a crash by concurrent copies. Two servers had crashed under a request, with two
//! copies on each, and for four seconds no server could accept it. Then one server came back, and
//! six copies from four instances reached it within a millisecond: it crashed 220 ms later with all
//! of them and with eight other requests. Separating suspects assigns a server to each suspect, but
//! doesn't limit its copies, and has no effect when only one server is left.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  content,
  crash::{Suspected, permit},
  deployment::Engine,
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  quota::Accounts,
  request::Ticket,
  route::Repeat,
  verdict::Verdict,
};
use std::{collections::BTreeMap, sync::Arc};

const SUSPECT: content::Key = content::Key(7);
/// When the one server comes back, ms, and how long a copy runs there before the server crashes.
const SERVER_BACK_MS: u64 = 1_000;
const RUN_MS: u64 = 220;
/// Instance and time, ms, at which each copy arrived in the incident.
const ARRIVALS: [(usize, u64); 7] = [
  (0, 110),
  (1, 200),
  (1, 530),
  (2, 610),
  (2, 990),
  (3, 580),
  (3, 690),
];

/// A fleet of instances that report to the first one.
struct Fleet {
  now: u64,
  states: Vec<State>,
  accounts: Accounts,
  /// Whether the holder responds, and the instances that it cannot reach.
  holder_responds: bool,
  partitioned: Vec<usize>,
  /// Time, ms, instance and ticket of each send.
  sends: Vec<(u64, usize, u64)>,
  refused: Vec<(u64, Verdict)>,
  rechecks: BTreeMap<(u64, usize, u64), ()>,
}

impl Fleet {
  fn new(instances: usize, seed: u64) -> Self {
    let mut fleet = Self {
      now: 0,
      states: (0..instances)
        .map(|index| requests::seeded(Engine::default(), seed * 100 + index as u64))
        .collect(),
      accounts: Accounts::default(),
      holder_responds: true,
      partitioned: Vec::new(),
      sends: Vec::new(),
      refused: Vec::new(),
      rechecks: BTreeMap::new(),
    };
    let entry = Suspected {
      content: SUSPECT,
      crashes: 2,
      turn: 0,
    };
    for index in 0..instances {
      fleet.update_instance_count(index);
      fleet.apply(index, Event::Servers(vec![Change::All(Vec::new())]));
      fleet.apply(index, Event::Suspected(vec![entry]));
    }
    fleet
  }

  fn update_instance_count(&mut self, index: usize) {
    let instances = self.states.len();
    self.apply(
      index,
      Event::Updated {
        holdings: Vec::new(),
        group: None,
        loads: None,
        instances,
      },
    );
  }

  fn apply(&mut self, index: usize, event: Event) {
    let now = self.now;
    for effect in self.states[index].reduce(now, event) {
      match effect {
        Effect::Send(attempt) => self.sends.push((now, index, attempt.ticket.0)),
        Effect::Wait(ticket, until) => {
          self
            .rechecks
            .insert((until.max(now + 1), index, ticket.0), ());
        }
        Effect::Refuse(ticket, refusal) => self.refused.push((ticket.0, refusal.verdict)),
        _ => {}
      }
    }
  }

  fn arrive(&mut self, index: usize, ticket: u64, content: content::Key) {
    let deadline = self.now + 12_000;
    let descriptor = Descriptor {
      ticket: Ticket(ticket),
      id: ticket.to_string(),
      route: Arc::new(requests::route(Repeat::Always, None, 3)),
      pool: "pool".into(),
      model: None,
      affinity: 0,
      deadline,
      content,
      parts: Default::default(),
      caller: None,
      tokens: None,
      resumption: None,
    };
    self.apply(index, Event::Arrived(descriptor));
  }

  /// Adds a server at every instance.
  fn add_server(&mut self, id: &str) {
    for index in 0..self.states.len() {
      let set = Event::Servers(vec![Change::Set(requests::spec(id))]);
      self.apply(index, set);
    }
  }

  /// Runs until a time, ms: instances recheck waiting requests and report every 10 ms.
  fn run_until(&mut self, until: u64) {
    while self.now < until {
      self.now += 1;
      while let Some(((at, index, ticket), ())) =
        self.rechecks.first_key_value().map(|(k, v)| (*k, *v))
        && at <= self.now
      {
        self.rechecks.pop_first();
        self.apply(index, Event::Recheck(Ticket(ticket)));
      }
      if self.holder_responds && self.now.is_multiple_of(10) {
        for index in 0..self.states.len() {
          self.report(index);
        }
      }
    }
  }

  fn report(&mut self, index: usize) {
    if self.partitioned.contains(&index) {
      return;
    }
    let uses = self.states[index].uses(self.now);
    let grants = self
      .accounts
      .report(self.now, index as u64, &uses, permit::allowance);
    let sent = self.now;
    self.apply(index, Event::Granted { sent, grants });
  }

  fn end_attempt(&mut self, index: usize, ticket: u64, end: End) {
    let ticket = Ticket(ticket);
    self.apply(index, Event::Ended { ticket, end });
  }

  /// Replays the incident: copies wait at four instances until a server comes back.
  fn replay_incident() -> Self {
    let mut fleet = Self::new(7, 1);
    let mut copies = ARRIVALS;
    copies.sort_by_key(|(_, at)| *at);
    for (ticket, (index, at)) in copies.into_iter().enumerate() {
      fleet.run_until(at);
      fleet.arrive(index, ticket as u64, SUSPECT);
    }
    fleet.run_until(SERVER_BACK_MS);
    fleet.add_server("i-0164a1c60a");
    fleet
  }
}

#[test]
fn one_copy_of_a_suspect_reaches_the_server_that_comes_back_alone() {
  let mut fleet = Fleet::replay_incident();
  fleet.run_until(SERVER_BACK_MS + RUN_MS);
  assert_eq!(fleet.sends.len(), 1, "{:?}", fleet.sends);
}

#[test]
fn the_next_copy_goes_when_the_last_one_has_ended_without_a_crash() {
  let mut fleet = Fleet::replay_incident();
  for number in 1..=ARRIVALS.len() {
    fleet.run_until(SERVER_BACK_MS + RUN_MS * number as u64);
    assert_eq!(fleet.sends.len(), number, "{:?}", fleet.sends);
    let (_, index, ticket) = fleet.sends[number - 1];
    // The attempt ended without evidence about the content.
    fleet.end_attempt(index, ticket, End::Left);
  }
  assert!(fleet.refused.is_empty(), "{:?}", fleet.refused);
}

#[test]
fn after_a_crash_no_copy_goes_before_all_could_know() {
  let mut fleet = Fleet::replay_incident();
  fleet.run_until(SERVER_BACK_MS + RUN_MS);
  let (_, index, ticket) = fleet.sends[0];
  fleet.end_attempt(index, ticket, End::Crashed);
  fleet.add_server("i-next");
  // The other instances are not informed that a third server has crashed.
  fleet.run_until(SERVER_BACK_MS + RUN_MS + 3_000);
  let others = fleet.sends.iter().filter(|(_, sender, _)| *sender != index);
  assert_eq!(others.count(), 0, "{:?}", fleet.sends);
}

#[test]
fn copies_that_wait_longer_than_they_can_are_refused_and_have_not_run() {
  let mut fleet = Fleet::replay_incident();
  let (_, _, first) = fleet.sends.first().copied().unwrap_or_default();
  fleet.run_until(14_000);
  assert_eq!(fleet.refused.len(), ARRIVALS.len() - fleet.sends.len());
  for (ticket, verdict) in &fleet.refused {
    assert_ne!(*ticket, first);
    assert_eq!(*verdict, Verdict::NotRun);
  }
}

/// An instance fails while it runs a copy, without releasing its permit, which therefore expires.
#[test]
fn a_permit_whose_instance_died_expires_after_ten_seconds() {
  let mut fleet = Fleet::replay_incident();
  fleet.run_until(SERVER_BACK_MS + RUN_MS);
  let (_, failed, _) = fleet.sends[0];
  fleet.partitioned.push(failed);
  let other = (failed + 1) % 4;
  fleet.run_until(SERVER_BACK_MS + 9_000);
  assert_eq!(fleet.sends.len(), 1);
  fleet.arrive(other, 99, SUSPECT);
  fleet.run_until(SERVER_BACK_MS + 11_000);
  assert_eq!(fleet.sends.len(), 2, "{:?}", fleet.sends);
}

/// A new holder learns from the published sums of the previous one which permits are in use.
#[test]
fn a_new_holder_grants_no_permit_that_is_in_use() {
  let mut fleet = Fleet::replay_incident();
  fleet.run_until(SERVER_BACK_MS + 50);
  assert_eq!(fleet.sends.len(), 1);
  let sums = fleet.accounts.sums(fleet.now, permit::allowance);
  fleet.accounts = Accounts::new(fleet.now, Some((fleet.now, &sums)), permit::allowance);
  fleet.run_until(SERVER_BACK_MS + 3_000);
  assert_eq!(fleet.sends.len(), 1, "{:?}", fleet.sends);
}

#[test]
fn without_a_holder_at_most_one_copy_goes_in_the_mean() {
  let mut sent = 0;
  for seed in 0..40 {
    let mut fleet = Fleet::new(7, seed);
    fleet.holder_responds = false;
    for index in 0..7 {
      // The last update of the holder before it failed: no permit is in use.
      fleet.apply(index, Event::QuotaUsage(Vec::new()));
    }
    fleet.add_server("i-0164a1c60a");
    let before = fleet.sends.len();
    for index in 0..7 {
      fleet.arrive(index, index as u64, SUSPECT);
    }
    fleet.run_until(3_000);
    let copies = fleet.sends[before..]
      .iter()
      .filter(|(_, _, ticket)| *ticket < 7);
    sent += copies.count();
  }
  println!("{sent} copies in 40 runs");
  assert!(sent > 0, "at least one copy is sent");
  // A mean of one copy per run, plus three standard deviations of 280 draws with probability 1/7.
  let chance = 3.0 * (40.0f64 * 6.0 / 7.0).sqrt();
  assert!(
    f64::from(sent as u32) <= 40.0 + chance,
    "{sent} copies in 40 runs"
  );
}

#[test]
fn other_requests_wait_for_nothing() {
  let mut fleet = Fleet::replay_incident();
  let before = fleet.sends.len();
  for ticket in 100..120 {
    fleet.arrive(
      ticket as usize % 7,
      ticket,
      content::Key(u128::from(ticket)),
    );
  }
  assert_eq!(fleet.sends.len(), before + 20);
}

/// Two suspects, two copies of each, wait at four instances while there is no server; then the
/// servers are added.
fn two_suspects(servers: &[&str]) -> Fleet {
  let mut fleet = Fleet::new(7, 1);
  let other = content::Key(8);
  let entry = Suspected {
    content: other,
    crashes: 2,
    turn: 0,
  };
  for index in 0..7 {
    fleet.apply(index, Event::Suspected(vec![entry]));
  }
  fleet.run_until(50);
  for (ticket, content) in [SUSPECT, other, SUSPECT, other].into_iter().enumerate() {
    fleet.arrive(ticket, ticket as u64, content);
  }
  for server in servers {
    fleet.add_server(server);
  }
  fleet.run_until(300);
  fleet
}

#[test]
fn a_server_that_comes_back_alone_takes_one_suspect_and_then_the_next() {
  let mut fleet = two_suspects(&["one"]);
  assert_eq!(fleet.sends.len(), 1, "{:?}", fleet.sends);
  let (_, index, ticket) = fleet.sends[0];
  fleet.end_attempt(index, ticket, End::Whole);
  fleet.run_until(600);
  assert_eq!(fleet.sends.len(), 2, "{:?}", fleet.sends);
}

#[test]
fn two_suspects_go_to_two_servers() {
  let fleet = two_suspects(&["one", "two", "three"]);
  assert_eq!(fleet.sends.len(), 2, "{:?}", fleet.sends);
}
