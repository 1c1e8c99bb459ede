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
  ask::Ticket,
  content,
  crash::Suspected,
  deployment::Engine,
  dispatch::{Ask, Change, Effect, Event, State},
  quota::Accounts,
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
  fn open(instances: usize) -> Self {
    let mut fleet = Self {
      now: 0,
      states: (0..instances)
        .map(|_| requests::deployed(Engine::default()))
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
        all: None,
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
    let ask = Ask {
      ticket: Ticket(ticket),
      id: ticket.to_string(),
      route: Arc::new(requests::route(Repeat::Always, None, 3)),
      pool: "pool".into(),
      model: None,
      affinity: 0,
      until,
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
        self.apply(index, Event::Look(Ticket(ticket)));
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
      .report(self.now, index as u64, &uses, |_| None);
    let sent = self.now;
    self.apply(index, Event::Granted { sent, grants });
  }

  /// The copies of the day wait at four of its instances until a server is back.
  fn play() -> Self {
    let mut fleet = Self::open(7);
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
