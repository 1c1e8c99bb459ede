//! Pace of servers: how instances measure it, how the holder separates it from the duration of
//! models, and how it is published. The load is a fleet whose servers differ by a factor of 2.7 and
//! whose models differ by a factor of three.

#[allow(dead_code)]
mod requests;

use bendsaddle::{
  backend::Spec,
  demand::Model,
  deployment::{Deployment, Engine, Pool},
  dispatch::{Attempt, Descriptor, Effect, End, Event, State},
  feature::Features,
  life::Life,
  message::{self, Extension, Message, StoreAge},
  pace::{Class, Pace, Published, Sample, gaps::Gaps, unit},
  placement::plan::{Effect as Planned, Plan, Publication},
  request::Ticket,
  route::{Repeat, Stream},
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use requests::route;
use std::{collections::BTreeMap, sync::Arc};

/// Speeds of servers: a third of them each, in relation to the middle one.
const SPEEDS: [f32; 3] = [0.6, 1.0, 1.6];
/// Gaps of the streams of fast and slow models on a server of middle speed, ms.
const FAST_GAP_MS: f32 = 13.0;
const SLOW_GAP_MS: f32 = 40.0;
/// A server gives about four measures a second.
const MEASURES_PER_S: f64 = 4.0;
const STEP_MS: u64 = 50;
/// Standard deviation of a measure, in logarithms.
const NOISE: f32 = 0.2;
const PACED: Features = Features {
  pace: true,
  expected_time: false,
  token_memory: false,
  caller_strain: false,
  prompt_work: false,
  bounded_sends: false,
  returns: false,
  reader_bounds: false,
};

struct Server {
  spec: Spec,
  /// Duration in relation to a server of middle speed.
  pace: f32,
  models: Vec<String>,
  /// Factor of a passing slowdown.
  slowed: f32,
}

/// A holder, instances that receive its publications, and servers that run streams.
struct Fleet {
  plan: Plan,
  features: Features,
  instances: Vec<State>,
  servers: Vec<Server>,
  now: u64,
  rng: SmallRng,
  /// Part of the publications that each instance misses.
  loss: f64,
  published: Vec<Publication>,
  logged: Vec<String>,
}

fn plan(features: Features) -> Plan {
  let mut plan = Plan::new("10.0.0.1", 0, 5_000, 1.0);
  plan.features = features;
  plan.start_term(0, 1);
  plan
}

/// The gap of a model's streams on a server of middle speed, ms; every third model is fast.
fn gap_ms(model: &str) -> f32 {
  let number: usize = model[1..].parse().unwrap();
  if number.is_multiple_of(3) {
    FAST_GAP_MS
  } else {
    SLOW_GAP_MS
  }
}

fn life(server: &Server) -> Life {
  server.spec.life()
}

impl Fleet {
  fn new(servers: usize, features: Features) -> Self {
    let servers: Vec<Server> = (0..servers)
      .map(|number| Server {
        spec: Spec {
          born: 1_000,
          ..requests::spec(&format!("s{number}"))
        },
        pace: 1.0 / SPEEDS[number % 3],
        models: (0..3).map(|at| format!("m{}", number * 2 + at)).collect(),
        slowed: 1.0,
      })
      .collect();
    let mut fleet = Self {
      plan: plan(features),
      features,
      instances: Vec::new(),
      servers,
      now: 0,
      rng: SmallRng::seed_from_u64(7),
      loss: 0.0,
      published: Vec::new(),
      logged: Vec::new(),
    };
    fleet.add_instance();
    fleet.list();
    fleet
  }

  fn add_instance(&mut self) {
    let mut state = requests::deployed(Engine::default());
    state.features = self.features;
    let specs = self.servers.iter().map(|server| server.spec.clone());
    let change = bendsaddle::dispatch::Change::All(specs.collect());
    state.reduce(self.now, Event::Servers(vec![change]));
    self.instances.push(state);
  }

  /// Lists all servers in the store.
  fn list(&mut self) {
    let specs: Vec<Spec> = self
      .servers
      .iter()
      .map(|server| server.spec.clone())
      .collect();
    self.list_specs(specs);
  }

  fn list_specs(&mut self, specs: Vec<Spec>) {
    let pool = Pool {
      engine: Some(Arc::new(Engine::default())),
      ..Pool::default()
    };
    let deployment = Deployment {
      version: 1,
      pools: BTreeMap::from([("pool".into(), pool)]),
      ..Deployment::default()
    };
    self
      .plan
      .update_servers(Arc::new(deployment), specs.clone());
    for state in &mut self.instances {
      let change = bendsaddle::dispatch::Change::All(specs.clone());
      state.reduce(self.now, Event::Servers(vec![change]));
    }
  }

  /// One measure of a random model on a server, as an instance reports it.
  fn measure(&mut self, number: usize) {
    let server = &self.servers[number];
    let model = &server.models[self.rng.random_range(0..server.models.len())];
    let noise: f32 = (0..12).map(|_| self.rng.random::<f32>()).sum::<f32>() - 6.0;
    let ms = gap_ms(model) * server.pace * server.slowed * (noise * NOISE).exp();
    let unit = unit("pool", Some(model), "");
    let sample = Sample::new(life(server).short_hash(), unit, ms.ln(), 1);
    let extension = Extension {
      pace_samples: vec![sample],
      ..Extension::default()
    };
    let address = "10.0.0.2:1".parse().unwrap();
    self.plan.receive_extension(self.now, address, &extension);
  }

  /// Lets the streams run; `slowdown` is the factor for a server at a time.
  fn run(&mut self, ms: u64, slowdown: impl Fn(usize, u64) -> f32) {
    let end = self.now + ms;
    while self.now < end {
      self.now += STEP_MS;
      for number in 0..self.servers.len() {
        self.servers[number].slowed = slowdown(number, self.now);
        let rate = MEASURES_PER_S * STEP_MS as f64 / 1_000.0;
        if self.rng.random_bool(rate) {
          self.measure(number);
        }
      }
      self.step();
    }
  }

  fn step(&mut self) {
    for effect in self.plan.step(self.now) {
      match effect {
        Planned::Publish(publication) => self.deliver(publication),
        Planned::Log {
          what: "pace",
          server,
          why,
          ..
        } => self.logged.push(format!("{server}: {why}")),
        _ => {}
      }
    }
  }

  fn deliver(&mut self, publication: Publication) {
    for state in &mut self.instances {
      if publication.to.is_none()
        && !publication.paces.is_empty()
        && !self.rng.random_bool(self.loss)
      {
        state.reduce(self.now, Event::Paces(publication.paces.clone()));
      }
    }
    self.published.push(publication);
  }

  fn pace(&self, number: usize) -> Pace {
    self.plan.pace_of_life(life(&self.servers[number]))
  }

  /// The pace that an instance knows of a server.
  fn known(&self, instance: usize, number: usize) -> Pace {
    let state = &self.instances[instance];
    state.backends[state.by_id[&self.servers[number].spec.id]].pace
  }

  /// Largest factor between the lasting pace of a server and its true one.
  fn largest_error(&self) -> f32 {
    let errors = (0..self.servers.len()).map(|number| {
      let ratio = self.pace(number).lasting / self.servers[number].pace;
      ratio.max(1.0 / ratio)
    });
    errors.fold(1.0, f32::max)
  }

  /// Replaces the holder by one on the machine of an instance.
  fn replace_holder(&mut self, instance: usize) {
    self.plan = plan(self.features);
    self.list();
    self.plan.start_term(self.now, 2);
    self
      .plan
      .start_paces(self.instances[instance].known_paces());
  }
}

fn steady(_: usize, _: u64) -> f32 {
  1.0
}

/// Guards against choices that take a server of 0.6 of the middle speed for one of 1.6: all of them
/// counted as 1.
#[test]
fn servers_are_told_apart_by_their_own_pace() {
  let mut fleet = Fleet::new(24, PACED);
  fleet.run(20_000, steady);
  let error = fleet.largest_error();
  assert!(error < 1.2, "largest error is a factor of {error}");
  let classes = |number: usize| Class::of(fleet.pace(number).lasting);
  assert_eq!(classes(0), Class::Slow);
  assert_eq!(classes(1), Class::Medium);
  assert_eq!(classes(2), Class::Fast);
}

/// Guards against servers that look slow because their models are.
#[test]
fn a_slow_model_does_not_make_its_servers_look_slow() {
  let mut fleet = Fleet::new(24, PACED);
  for number in 0..24 {
    // All servers are alike, and each model is held by four of them.
    fleet.servers[number].pace = 1.0;
    let first = number / 4 * 2;
    fleet.servers[number].models = vec![format!("m{first}"), format!("m{}", first + 2)];
  }
  fleet.run(30_000, steady);
  let error = fleet.largest_error();
  assert!(error < 1.25, "largest error is a factor of {error}");
}

/// Guards against a lasting pace that follows slowdowns of 0.6 s, which are over before anyone can
/// act on them.
#[test]
fn slowdowns_that_pass_do_not_change_the_lasting_pace() {
  let mut fleet = Fleet::new(24, PACED);
  fleet.run(20_000, steady);
  // Every fourth server is 2.5 times slower for 15% of the time.
  let passing = |number: usize, now: u64| match number.is_multiple_of(4) && now % 4_000 < 600 {
    true => 2.5,
    false => 1.0,
  };
  for _ in 0..40 {
    fleet.run(1_000, passing);
    let error = fleet.largest_error();
    assert!(error < 1.25, "largest error is a factor of {error}");
  }
}

/// Guards against a server that turns slow for seconds and keeps its work, and against one that
/// stays avoided after it.
#[test]
fn a_slowdown_of_seconds_shows_in_the_current_pace_and_ends_there() {
  let mut fleet = Fleet::new(24, PACED);
  fleet.run(20_000, steady);
  let until = fleet.now + 3_000;
  let slow = |number: usize, now: u64| match number == 1 && now <= until {
    true => 2.5,
    false => 1.0,
  };
  fleet.run(2_000, slow);
  let known = fleet.known(0, 1);
  assert!(known.current > 1.5, "{known:?}");
  assert!(known.lasting < 1.25, "{known:?}");
  fleet.run(6_000, slow);
  let known = fleet.known(0, 1);
  assert!(
    (known.current / known.lasting - 1.0).abs() < 0.1,
    "{known:?}"
  );
}

/// Guards against a lasting change that is taken for a passing one forever.
#[test]
fn a_lasting_change_is_followed() {
  let mut fleet = Fleet::new(24, PACED);
  fleet.run(20_000, steady);
  fleet.servers[2].pace = 1.0 / SPEEDS[0];
  fleet.run(240_000, steady);
  assert_eq!(
    Class::of(fleet.pace(2).lasting),
    Class::Slow,
    "{:?}",
    fleet.pace(2)
  );
  let changes: Vec<&String> = fleet
    .logged
    .iter()
    .filter(|line| line.starts_with("s2:"))
    .collect();
  assert!((2..=4).contains(&changes.len()), "{changes:?}");
}

/// Guards against a restarted server that inherits the pace of its earlier life.
#[test]
fn a_new_life_starts_at_the_median() {
  let mut fleet = Fleet::new(24, PACED);
  fleet.run(20_000, steady);
  assert!(fleet.known(0, 0).lasting > 1.3);
  fleet.servers[0].spec.born = 2_000;
  fleet.list();
  assert_eq!(fleet.pace(0), Pace::default());
  assert_eq!(fleet.known(0, 0), Pace::default());
  // The published paces of the earlier life change nothing either.
  fleet.run(1_000, |_, _| 1.0);
  fleet.servers[0].pace = 1.0;
  fleet.run(20_000, steady);
  assert_eq!(Class::of(fleet.pace(0).lasting), Class::Medium);
}

/// Guards against a pace that is lost when an entry expires in an outage of the store.
#[test]
fn an_entry_that_returns_keeps_its_pace() {
  let mut fleet = Fleet::new(24, PACED);
  fleet.run(20_000, steady);
  let before = fleet.pace(0);
  let others = fleet.servers[1..].iter().map(|server| server.spec.clone());
  let others: Vec<Spec> = others.collect();
  fleet.list_specs(others);
  assert_eq!(fleet.pace(0), Pace::default());
  for _ in 0..20 {
    fleet.now += 500;
    fleet.step();
  }
  fleet.list();
  let after = fleet.pace(0).lasting;
  assert!(
    (after / before.lasting - 1.0).abs() < 0.1,
    "{before:?} {after}"
  );
  assert!(fleet.known(0, 0).lasting > 1.3);
}

/// Guards against a new holder that starts from nothing and publishes the median for all servers.
#[test]
fn the_next_holder_goes_on_from_what_was_published() {
  let mut fleet = Fleet::new(24, PACED);
  fleet.run(30_000, steady);
  fleet.replace_holder(0);
  for number in 0..24 {
    let known = fleet.known(0, number).lasting;
    let pace = fleet.pace(number).lasting;
    assert!(
      (pace / known - 1.0).abs() < 0.01,
      "{number}: {known} {pace}"
    );
  }
  for _ in 0..20 {
    fleet.run(1_000, steady);
    let error = fleet.largest_error();
    assert!(error < 1.35, "largest error is a factor of {error}");
  }
  assert!(fleet.largest_error() < 1.2);
}

/// Guards against an instance that starts later, or loses half of the datagrams, and never learns
/// of a pace that does not change any more.
#[test]
fn an_instance_that_loses_datagrams_knows_all_paces_soon() {
  let mut fleet = Fleet::new(24, PACED);
  fleet.run(30_000, steady);
  fleet.loss = 0.5;
  fleet.add_instance();
  fleet.run(40_000, steady);
  assert_eq!(Class::of(fleet.known(1, 0).lasting), Class::Slow);
  for number in 0..24 {
    let (one, two) = (fleet.known(1, number).lasting, fleet.pace(number).lasting);
    assert!((one / two - 1.0).abs() < 0.15, "{number}: {one} {two}");
  }
}

/// Guards against a current pace that stays when its holder is gone.
#[test]
fn a_current_pace_passes_when_no_holder_repeats_it() {
  let mut fleet = Fleet::new(3, PACED);
  let server = life(&fleet.servers[0]).short_hash();
  let pace = Pace {
    lasting: 1.5,
    current: 3.0,
  };
  let publish = |server| Event::Paces(vec![Published::new(server, pace)]);
  fleet.instances[0].reduce(1_000, publish(server));
  assert!(fleet.known(0, 0).current > 2.5);
  // Instances do this before each of their reports, which need no holder.
  fleet.instances[0].refresh_paces(5_000);
  let known = fleet.known(0, 0);
  assert!(
    known.lasting > 1.4 && known.current == known.lasting,
    "{known:?}"
  );
}

/// Guards against unbounded memory and messages, whatever instances report.
#[test]
fn what_is_kept_and_sent_is_bounded() {
  let mut fleet = Fleet::new(300, PACED);
  let server = life(&fleet.servers[0]).short_hash();
  for number in 0..10_000u32 {
    // Units that nobody knows, and servers that do not exist.
    let samples = vec![
      Sample::new(server, number, 3.0, 255),
      Sample::new(number, 1, f32::NAN, 0),
      Sample::new(server, 1, f32::INFINITY, 0),
    ];
    let extension = Extension {
      pace_samples: samples,
      ..Extension::default()
    };
    let address = "10.0.0.2:1".parse().unwrap();
    fleet.plan.receive_extension(1, address, &extension);
  }
  fleet.run(20_000, |number, now| {
    match (number + now as usize / 500) % 2 {
      0 => 4.0,
      _ => 0.25,
    }
  });
  let longest = fleet.published.iter().map(|one| one.paces.len()).max();
  assert!(longest <= Some(96), "{longest:?}");
  let (servers, units) = fleet.plan.pace_sizes();
  assert!(servers <= 300 && units <= 300 * 12, "{servers} {units}");
  assert!(fleet.pace(0).lasting.is_finite());
}

/// Bytes that pace adds to an update or report.
fn added_bytes(extension: &Extension) -> usize {
  let message = Message::Promise(0, None, StoreAge::None);
  let bare = message::encode(&message, &Extension::default()).unwrap();
  message::encode(&message, extension).unwrap().len() - bare.len()
}

/// Guards against messages that grow beyond their part of an instance's link: the figures are those
/// of docs/design/pace.md.
#[test]
fn the_bytes_of_paces_stay_within_their_part_of_the_link() {
  let mut fleet = Fleet::new(140, PACED);
  fleet.run(20_000, steady);
  fleet.published.clear();
  fleet.run(60_000, |number, now| {
    match (number as u64 * 37 + now) % 4_000 < 600 {
      true if number.is_multiple_of(7) => 2.5,
      _ => 1.0,
    }
  });
  let bytes = fleet.published.iter().map(|publication| {
    added_bytes(&Extension {
      paces: publication.paces.clone(),
      ..Extension::default()
    })
  });
  let update_bytes_per_s = bytes.sum::<usize>() as f64 / 60.0;
  let samples = (0..3).map(|number| Sample::new(u32::MAX - number, u32::MAX, 3.0, 9));
  let report_bytes = added_bytes(&Extension {
    pace_samples: samples.collect(),
    ..Extension::default()
  });
  println!("update: {update_bytes_per_s} B/s, report with three samples: {report_bytes} B");
  assert!(update_bytes_per_s < 400.0, "{update_bytes_per_s}");
  assert!(report_bytes <= 40, "{report_bytes}");
}

/// Guards against a change where the switch is off: no event, no byte and no pace differs.
#[test]
fn nothing_changes_without_the_switch() {
  let mut fleet = Fleet::new(24, Features::default());
  fleet.run(10_000, steady);
  assert!(fleet.published.iter().all(|one| one.paces.is_empty()));
  assert!(fleet.logged.is_empty());
  assert_eq!(fleet.pace(0), Pace::default());
  assert_eq!(added_bytes(&Extension::default()), 0);
  let (mut state, _) = sent(Some("m"), Features::default());
  assert!(
    state
      .reduce(20, Event::Measured(Ticket(1), 40.0))
      .is_empty()
  );
  assert!(state.take_pace_samples().is_empty());
}

/// An instance that has sent a request to its only server.
fn sent(model: Option<&str>, features: Features) -> (State, Attempt) {
  let mut state = requests::deployed(Engine::default());
  state.features = features;
  let models = model.map(|model| (model.to_string(), Vec::new()));
  let spec = Spec {
    models: models.into_iter().collect(),
    ..requests::spec("one")
  };
  let change = bendsaddle::dispatch::Change::All(vec![spec]);
  state.reduce(0, Event::Servers(vec![change]));
  let stream = Stream {
    resumable: true,
    gap_ms: 300,
  };
  let descriptor = Descriptor {
    ticket: Ticket(1),
    id: "1".into(),
    route: Arc::new(route(Repeat::Always, Some(stream), 2)),
    pool: "pool".into(),
    model: model.map(Model::parse),
    affinity: 0,
    deadline: 5_000,
    content: Default::default(),
    parts: Default::default(),
    caller: None,
    tokens: None,
    resumption: None,
  };
  let effects = state.reduce(10, Event::Arrived(descriptor));
  match effects.into_iter().next() {
    Some(Effect::Send(attempt)) => (state, attempt),
    other => panic!("not sent: {other:?}"),
  }
}

/// Guards against measures that are counted for another server or unit: adapters share their
/// model's unit, and responses without a model have their route's.
#[test]
fn measures_are_reported_for_the_server_that_gave_them() {
  for (model, expected) in [
    (Some("m/a1"), unit("pool", Some("m"), "r")),
    (None, unit("pool", None, "r")),
  ] {
    let (mut state, attempt) = match model {
      Some(_) => sent(Some("m"), PACED),
      None => sent(None, PACED),
    };
    for ms in [20.0, 40.0, 80.0] {
      state.reduce(20, Event::Measured(Ticket(1), ms));
    }
    let samples = state.take_pace_samples();
    assert_eq!(samples.len(), 1);
    let sample = samples[0];
    assert_eq!(sample.server(), attempt.life.short_hash());
    assert_eq!((sample.unit(), sample.count), (expected, 3));
    assert!((sample.ln_ms().exp() / 40.0 - 1.0).abs() < 0.03);
    assert!(state.take_pace_samples().is_empty());
    // A request that has ended measures nothing.
    let (ticket, end) = (Ticket(1), End::Whole);
    state.reduce(30, Event::Ended { ticket, end });
    state.reduce(40, Event::Measured(Ticket(1), 40.0));
    assert!(state.take_pace_samples().is_empty());
  }
}

/// Guards against pauses for other prompts, and events that arrive together, that are taken for the
/// server's pace.
#[test]
fn interruptions_and_bursts_do_not_change_a_measure() {
  let measure = |gaps: &[u64]| {
    let mut window = Gaps::default();
    let mut measures: Vec<f32> = gaps.iter().filter_map(|gap| window.add(*gap)).collect();
    measures.extend(window.finish());
    measures
  };
  let steady = measure(&[40; 8]);
  assert_eq!(steady, [40.0]);
  let disturbed = measure(&[40, 300, 38, 42, 0, 40, 41, 39, 40, 40, 40, 40]);
  assert!(
    disturbed.iter().all(|ms| (ms - 40.0).abs() < 2.0),
    "{disturbed:?}"
  );
  // Three gaps say too little; hundreds of events without a pause are bounded.
  assert!(measure(&[40; 3]).is_empty());
  assert!(measure(&[0; 10_000]).iter().all(|ms| *ms == 0.5));
}
