//! Copies of one request that may crash servers: of such a request one copy runs over all instances
//! at any time.
//!
//! Two servers had ended under a request, by two copies each, and nobody could take it for four
//! seconds. Then one server came back, and six copies from four instances reached it within a
//! millisecond: it ended 220 ms later with all of them and eight others' requests. What parts
//! suspects names a server for each, and says nothing of copies; where one server is left, it
//! parts nothing.

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
/// When the one server comes back, ms, and how long a copy runs there before it ends it.
const BACK_MS: u64 = 1_000;
const RUN_MS: u64 = 220;
/// Times at which copies of the day arrived, by instance, ms.
const COPIES: [(usize, u64); 7] = [
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
  /// Whether the holder answers, and which instances hear it.
  answers: bool,
  cut: Vec<usize>,
  /// Sends, with instance and ticket.
  sends: Vec<(u64, usize, u64)>,
  refused: Vec<(u64, Verdict)>,
  looks: BTreeMap<(u64, usize, u64), ()>,
}

impl Fleet {
  fn open(instances: usize, seed: u64) -> Self {
    let mut fleet = Self {
      now: 0,
      states: (0..instances)
        .map(|index| requests::seeded(Engine::default(), seed * 100 + index as u64))
        .collect(),
      accounts: Accounts::default(),
      answers: true,
      cut: Vec::new(),
      sends: Vec::new(),
      refused: Vec::new(),
      looks: BTreeMap::new(),
    };
    let entry = Suspected {
      content: SUSPECT,
      crashes: 2,
      turn: 0,
    };
    for index in 0..instances {
      fleet.count(index);
      fleet.apply(index, Event::Servers(vec![Change::All(Vec::new())]));
      fleet.apply(index, Event::Suspected(vec![entry]));
    }
    fleet
  }

  fn count(&mut self, index: usize) {
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
          self.looks.insert((until.max(now + 1), index, ticket.0), ());
        }
        Effect::Refuse(ticket, refusal) => self.refused.push((ticket.0, refusal.verdict)),
        _ => {}
      }
    }
  }

  fn arrive(&mut self, index: usize, ticket: u64, content: content::Key) {
    let until = self.now + 12_000;
    let ask = Descriptor {
      ticket: Ticket(ticket),
      id: ticket.to_string(),
      route: Arc::new(requests::route(Repeat::Always, None, 3)),
      pool: "pool".into(),
      model: None,
      affinity: 0,
      deadline: until,
      content,
      caller: None,
    };
    self.apply(index, Event::Arrived(ask));
  }

  /// A server is there.
  fn back(&mut self, id: &str) {
    for index in 0..self.states.len() {
      let set = Event::Servers(vec![Change::Set(requests::spec(id))]);
      self.apply(index, set);
    }
  }

  /// Goes on to a time, ms: instances look at what waits, and report each ten milliseconds.
  fn run(&mut self, until: u64) {
    while self.now < until {
      self.now += 1;
      while let Some(((at, index, ticket), ())) =
        self.looks.first_key_value().map(|(k, v)| (*k, *v))
        && at <= self.now
      {
        self.looks.pop_first();
        self.apply(index, Event::Recheck(Ticket(ticket)));
      }
      if self.answers && self.now.is_multiple_of(10) {
        for index in 0..self.states.len() {
          self.report(index);
        }
      }
    }
  }

  fn report(&mut self, index: usize) {
    if self.cut.contains(&index) {
      return;
    }
    let uses = self.states[index].uses(self.now);
    let grants = self
      .accounts
      .report(self.now, index as u64, &uses, permit::allowance);
    let sent = self.now;
    self.apply(index, Event::Granted { sent, grants });
  }

  fn end(&mut self, index: usize, ticket: u64, end: End) {
    let ticket = Ticket(ticket);
    self.apply(index, Event::Ended { ticket, end });
  }

  /// The copies of the day wait at four of its instances until a server is back.
  fn play() -> Self {
    let mut fleet = Self::open(7, 1);
    let mut copies = COPIES;
    copies.sort_by_key(|(_, at)| *at);
    for (ticket, (index, at)) in copies.into_iter().enumerate() {
      fleet.run(at);
      fleet.arrive(index, ticket as u64, SUSPECT);
    }
    fleet.run(BACK_MS);
    fleet.back("i-0164a1c60a");
    fleet
  }
}

#[test]
fn one_copy_of_a_suspect_reaches_the_server_that_comes_back_alone() {
  let mut fleet = Fleet::play();
  fleet.run(BACK_MS + RUN_MS);
  assert_eq!(fleet.sends.len(), 1, "{:?}", fleet.sends);
}

#[test]
fn the_next_copy_goes_when_the_last_one_has_ended_without_a_crash() {
  let mut fleet = Fleet::play();
  for number in 1..=COPIES.len() {
    fleet.run(BACK_MS + RUN_MS * number as u64);
    assert_eq!(fleet.sends.len(), number, "{:?}", fleet.sends);
    let (_, index, ticket) = fleet.sends[number - 1];
    // Its server declined it, so it says nothing of the content.
    fleet.end(index, ticket, End::Left);
  }
  assert!(fleet.refused.is_empty(), "{:?}", fleet.refused);
}

#[test]
fn after_a_crash_no_copy_goes_before_all_could_know() {
  let mut fleet = Fleet::play();
  fleet.run(BACK_MS + RUN_MS);
  let (_, index, ticket) = fleet.sends[0];
  fleet.end(index, ticket, End::Crashed);
  fleet.back("i-next");
  // Nobody says to the others that a third server has ended.
  fleet.run(BACK_MS + RUN_MS + 3_000);
  let others = fleet.sends.iter().filter(|(_, one, _)| *one != index);
  assert_eq!(others.count(), 0, "{:?}", fleet.sends);
}

#[test]
fn copies_that_wait_longer_than_they_can_are_refused_and_have_not_run() {
  let mut fleet = Fleet::play();
  let (_, _, first) = fleet.sends.first().copied().unwrap_or_default();
  fleet.run(14_000);
  assert_eq!(fleet.refused.len(), COPIES.len() - fleet.sends.len());
  for (ticket, verdict) in &fleet.refused {
    assert_ne!(*ticket, first);
    assert_eq!(*verdict, Verdict::NotRun);
  }
}

/// The instance that runs a copy is gone without a word: what it took is not taken for ever.
#[test]
fn a_leave_whose_instance_died_counts_for_ten_seconds() {
  let mut fleet = Fleet::play();
  fleet.run(BACK_MS + RUN_MS);
  let (_, died, _) = fleet.sends[0];
  fleet.cut.push(died);
  let other = (died + 1) % 4;
  fleet.run(BACK_MS + 9_000);
  assert_eq!(fleet.sends.len(), 1);
  fleet.arrive(other, 99, SUSPECT);
  fleet.run(BACK_MS + 11_000);
  assert_eq!(fleet.sends.len(), 2, "{:?}", fleet.sends);
}

/// A holder that takes over knows from the one before which leaves are taken.
#[test]
fn a_new_holder_gives_no_leave_that_is_taken() {
  let mut fleet = Fleet::play();
  fleet.run(BACK_MS + 50);
  assert_eq!(fleet.sends.len(), 1);
  let sums = fleet.accounts.sums(fleet.now, permit::allowance);
  fleet.accounts = Accounts::new(fleet.now, Some((fleet.now, &sums)), permit::allowance);
  fleet.run(BACK_MS + 3_000);
  assert_eq!(fleet.sends.len(), 1, "{:?}", fleet.sends);
}

#[test]
fn without_a_holder_at_most_one_copy_goes_in_the_mean() {
  let mut sent = 0;
  for seed in 0..40 {
    let mut fleet = Fleet::open(7, seed);
    fleet.answers = false;
    for index in 0..7 {
      // The holder's last word before it went: no leave is taken.
      fleet.apply(index, Event::QuotaUsage(Vec::new()));
    }
    fleet.back("i-0164a1c60a");
    let before = fleet.sends.len();
    for index in 0..7 {
      fleet.arrive(index, index as u64, SUSPECT);
    }
    fleet.run(3_000);
    let copies = fleet.sends[before..]
      .iter()
      .filter(|(_, _, ticket)| *ticket < 7);
    sent += copies.count();
  }
  println!("{sent} copies in 40 plays");
  assert!(sent > 0, "somebody goes on");
  // One a play in the mean, and three standard deviations of 280 draws of one in seven.
  let chance = 3.0 * (40.0f64 * 6.0 / 7.0).sqrt();
  assert!(
    f64::from(sent as u32) <= 40.0 + chance,
    "{sent} copies in 40 plays"
  );
}

#[test]
fn other_requests_wait_for_nothing() {
  let mut fleet = Fleet::play();
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

/// Two suspects wait at three instances while no server is there.
fn two_suspects(servers: &[&str]) -> Fleet {
  let mut fleet = Fleet::open(7, 1);
  let other = content::Key(8);
  let entry = Suspected {
    content: other,
    crashes: 2,
    turn: 0,
  };
  for index in 0..7 {
    fleet.apply(index, Event::Suspected(vec![entry]));
  }
  fleet.run(50);
  for (ticket, content) in [SUSPECT, other, SUSPECT, other].into_iter().enumerate() {
    fleet.arrive(ticket, ticket as u64, content);
  }
  for server in servers {
    fleet.back(server);
  }
  fleet.run(300);
  fleet
}

#[test]
fn a_server_that_comes_back_alone_takes_one_suspect_and_then_the_next() {
  let mut fleet = two_suspects(&["one"]);
  assert_eq!(fleet.sends.len(), 1, "{:?}", fleet.sends);
  let (_, index, ticket) = fleet.sends[0];
  fleet.end(index, ticket, End::Whole);
  fleet.run(600);
  assert_eq!(fleet.sends.len(), 2, "{:?}", fleet.sends);
}

#[test]
fn two_suspects_go_to_two_servers() {
  let fleet = two_suspects(&["one", "two", "three"]);
  assert_eq!(fleet.sends.len(), 2, "{:?}", fleet.sends);
}
