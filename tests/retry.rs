//! Retry budgets of instances that start, stop and change in number.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::{Holding, Spec},
  deployment::Engine,
  dispatch::{Change, Descriptor, Effect, End, Event, State},
  request::Ticket,
  retry::{Bound, Share},
  route::Repeat,
};
use requests::{BOUND, refused, restarted, route, spec};
use std::sync::Arc;

const INSTANCES: usize = 9;
/// Interval of the requests of each instance.
const REQUEST_INTERVAL_MS: u64 = 100;
const RUN_MS: u64 = 40_000;

fn descriptor(ticket: Ticket, deadline: u64) -> Descriptor {
  Descriptor {
    ticket,
    id: ticket.0.to_string(),
    route: Arc::new(route(Repeat::Always, None, 3)),
    pool: "pool".into(),
    model: None,
    affinity: 0,
    deadline,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  }
}

/// One process of an instance. Its clock starts with the process.
struct Process {
  state: State,
  started: u64,
}

impl Process {
  fn start(started: u64) -> Self {
    let mut state = restarted(Engine::default(), started);
    let servers = (0..8).map(|index| spec(&format!("server-{index}")));
    state.reduce(0, Event::Servers(vec![Change::All(servers.collect())]));
    Self { state, started }
  }

  fn reduce(&mut self, now: u64, event: Event) -> Vec<Effect> {
    self.state.reduce(now - self.started, event)
  }

  /// Receives the number of instances.
  fn update(&mut self, now: u64, instances: usize) {
    let event = Event::Updated {
      holdings: Vec::<Holding>::new(),
      group: None,
      loads: None,
      instances,
    };
    self.reduce(now, event);
  }

  /// Runs a request that every server rejects. Returns the number of its sends.
  fn reject(&mut self, now: u64) -> u32 {
    let ticket = Ticket(now);
    let deadline = now - self.started + 5_000;
    let mut sends = 0;
    let mut effects = self.reduce(now, Event::Arrived(descriptor(ticket, deadline)));
    while effects
      .iter()
      .any(|effect| matches!(effect, Effect::Send(_)))
    {
      sends += 1;
      let end = End::Full;
      effects = self.reduce(now, Event::Ended { ticket, end });
    }
    self.reduce(now, Event::CallerGone(ticket));
    sends
  }
}

/// Times of the requests and of the retries of a fleet whose servers reject everything.
#[derive(Default)]
struct Record {
  requests: Vec<u64>,
  retries: Vec<u64>,
}

impl Record {
  fn add(&mut self, now: u64, sends: u32) {
    self.requests.push(now);
    let retries = sends.saturating_sub(1);
    self.retries.extend((0..retries).map(|_| now));
  }

  /// Asserts that no window holds more retries than the bound allows for the requests of that
  /// window, of the one before it or of the one half a window before it.
  fn assert_within(&self, bound: &Bound) {
    let count = |times: &[u64], start: u64| {
      let window = start..start + bound.window_ms;
      times.iter().filter(|at| window.contains(at)).count() as f64
    };
    for start in (bound.window_ms..RUN_MS).step_by(100) {
      let starts = [start, start - bound.window_ms / 2, start - bound.window_ms];
      let requests = starts.map(|start| count(&self.requests, start));
      let requests = requests.into_iter().fold(0.0, f64::max);
      let retries = count(&self.retries, start);
      let allowed = bound.ratio * requests + bound.slack;
      assert!(
        retries <= allowed,
        "{retries} retries for {requests} requests from {start} ms, allowed {allowed}"
      );
    }
  }
}

/// Guards against restarts that renew the share of the slack which an earlier life has used.
#[test]
fn restarts_in_series_add_no_retries_to_the_shared_slack() {
  let mut processes: Vec<Process> = (0..INSTANCES).map(|_| Process::start(0)).collect();
  let mut record = Record::default();
  for now in (0..RUN_MS).step_by(REQUEST_INTERVAL_MS as usize) {
    let is_kill = now >= 15_000 && now.is_multiple_of(2_500);
    for (index, process) in processes.iter_mut().enumerate() {
      if is_kill && index % 3 != 0 {
        *process = Process::start(now);
      }
      process.update(now, INSTANCES);
      record.add(now, process.reject(now));
    }
  }
  record.assert_within(&BOUND);
}

/// Guards against a holder that knows few instances: the others' retries of the window stand.
#[test]
fn a_smaller_published_fleet_adds_no_retries_within_the_window() {
  let mut processes: Vec<Process> = (0..INSTANCES).map(|_| Process::start(0)).collect();
  let mut record = Record::default();
  for now in (0..RUN_MS).step_by(REQUEST_INTERVAL_MS as usize) {
    // For less than a window, updates come from a holder that has heard of two instances.
    let known = match now {
      20_000..25_000 => 2,
      _ => INSTANCES,
    };
    for process in &mut processes {
      process.update(now, known);
      record.add(now, process.reject(now));
    }
  }
  record.assert_within(&BOUND);
}

/// Guards against a budget that an instance without updates computes from a number it assumes.
#[test]
fn instances_that_know_no_fleet_size_use_no_slack() {
  let fleet = 300;
  let mut processes: Vec<Process> = (0..fleet).map(|_| Process::start(0)).collect();
  let mut record = Record::default();
  for now in (15_000..25_000).step_by(1_000) {
    for process in &mut processes {
      record.add(now, process.reject(now));
    }
  }
  record.assert_within(&BOUND);
}

/// An instance that starts with the whole system and knows no number of instances yet.
fn first_start() -> Process {
  let mut process = Process::start(0);
  process.state.retry_share = Share::first();
  process
}

/// Whether the effects let the request wait.
fn waits(effects: &[Effect]) -> bool {
  let waits = |effect: &Effect| matches!(effect, Effect::Wait(..));
  effects.iter().any(waits) && refused(effects).is_none()
}

/// Guards against requests that are refused at the first start of the system, though another server has
/// room, because the number of instances is not known yet.
#[test]
fn a_retry_at_the_first_start_waits_for_the_number_of_instances() {
  let mut process = first_start();
  let ticket = Ticket(1);
  process.reduce(200, Event::Arrived(descriptor(ticket, 5_200)));
  let effects = process.reduce(
    210,
    Event::Ended {
      ticket,
      end: End::Full,
    },
  );
  assert!(waits(&effects), "{effects:?}");
  let effects = process.reduce(310, Event::Recheck(ticket));
  assert!(waits(&effects), "{effects:?}");
  process.update(350, INSTANCES);
  let effects = process.reduce(410, Event::Recheck(ticket));
  let sent = |effect: &Effect| matches!(effect, Effect::Send(_));
  assert!(effects.iter().any(sent), "{effects:?}");
}

/// Guards against requests that wait for a number of instances that nobody publishes.
#[test]
fn a_retry_without_a_published_number_of_instances_is_refused_in_the_end() {
  let mut process = first_start();
  let ticket = Ticket(1);
  process.reduce(200, Event::Arrived(descriptor(ticket, 5_200)));
  let end = End::Full;
  let mut effects = process.reduce(210, Event::Ended { ticket, end });
  let mut now = 210;
  while waits(&effects) {
    now += 100;
    effects = process.reduce(now, Event::Recheck(ticket));
  }
  assert!(refused(&effects).is_some(), "{effects:?}");
  assert!(now <= 2_200, "refused after {now} ms");
}

/// Guards against a share that many instances assume before they know how many they are.
#[test]
fn instances_at_their_first_start_use_no_slack_before_they_know_their_number() {
  let fleet = 300;
  let mut retries = 0;
  for _ in 0..fleet {
    let mut process = first_start();
    for now in (0..2_000).step_by(500) {
      retries += process.reject(now).saturating_sub(1);
    }
  }
  assert_eq!(
    retries, 0,
    "retries of instances that sent four requests each"
  );
}

/// Guards against retries that wait, and arrive in a window that does not count them.
#[test]
fn a_retry_that_waits_counts_when_it_is_sent() {
  let instances = 8;
  let mut process = Process::start(0);
  process.update(0, instances);
  let list = |process: &mut Process, now: u64, servers: Vec<Spec>| {
    process.reduce(now, Event::Servers(vec![Change::All(servers)]))
  };
  let sends = |effects: &[Effect]| {
    let sent = |effect: &&Effect| matches!(effect, Effect::Send(_));
    effects.iter().filter(sent).count()
  };
  let tickets: Vec<Ticket> = (0..7).map(Ticket).collect();
  for ticket in &tickets {
    process.reduce(20_000, Event::Arrived(descriptor(*ticket, 25_000)));
  }
  list(&mut process, 20_001, Vec::new());
  for ticket in &tickets {
    let (ticket, end) = (*ticket, End::Full);
    let effects = process.reduce(20_002, Event::Ended { ticket, end });
    assert_eq!(sends(&effects), 0, "the retry waits");
  }
  let servers = (0..8).map(|index| spec(&format!("new-{index}")));
  let mut retries = sends(&list(&mut process, 24_000, servers.collect()));
  assert_eq!(retries, tickets.len(), "the retries are sent");
  let mut requests = tickets.len();
  for now in (30_100..30_700).step_by(100) {
    requests += 1;
    retries += process.reject(now).saturating_sub(1) as usize;
  }
  let allowed = BOUND.ratio * requests as f64 + BOUND.slack / instances as f64;
  assert!(
    retries as f64 <= allowed,
    "{retries} retries for {requests} requests within 7 s, allowed {allowed}"
  );
}
