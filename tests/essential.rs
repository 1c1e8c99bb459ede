//! An instance does not go on without one of its threads, and goes on without a caller's.
//!
//! A thread's end ends its process, so these tests run themselves again as a child process.

use bendsaddle::{
  backend::{Spec, Stage},
  build, content,
  deployment::{self, Deployment},
  dialect::Dialect,
  dispatch::{Change, Event, State},
  entry,
  essential::{self, Pulse},
  http::{Headers, Request},
  hub::Hub,
  message::{self, Message},
  pool::Pool,
  retry::Bound,
  route::{Part, Repeat, Route},
};
use slog::{Discard, Drain, Logger, Never, OwnedKVList, Record, o};
use std::{
  collections::BTreeMap,
  env,
  io::{Read, Write},
  net::{SocketAddr, TcpStream, UdpSocket},
  process::{Command, Output},
  sync::Arc,
  thread,
  time::{Duration, Instant},
};

/// Set in the child process.
const CHILD: &str = "BENDSADDLE_TEST_CHILD";
const INPUT: &str = "BENDSADDLE_TEST_INPUT";
/// Checks of loops, more than one may miss.
const CHECKS: usize = 100;
/// Longest time that the child process waits for its end; it succeeds after it.
const CHILD_LIFE: Duration = Duration::from_secs(5);
/// Connections of callers that an instance takes.
const CONNECTIONS: usize = 4;
const TIMEOUT: Duration = Duration::from_secs(10);

/// Runs a test again as a child process, which runs `run`; `None` in the child, which ends with
/// success unless `run` has ended it.
fn in_child(test: &str, run: impl FnOnce()) -> Option<Output> {
  in_child_with(test, "", run)
}

/// Like `in_child`; the child finds `input` in the variable `INPUT`.
fn in_child_with(test: &str, input: &str, run: impl FnOnce()) -> Option<Output> {
  if env::var_os(CHILD).is_some() {
    run();
    thread::sleep(CHILD_LIFE);
    return None;
  }
  let mut command = Command::new(env::current_exe().unwrap());
  command
    .args(["--exact", test, "--nocapture"])
    .env(CHILD, "1")
    .env(INPUT, input);
  Some(command.output().unwrap())
}

/// The child process has failed, and said which part of it and why.
fn assert_ended(output: Option<Output>, part: &str, why: &str) {
  let Some(output) = output else {
    return;
  };
  let text = String::from_utf8_lossy(&output.stderr);
  let line = format!("error: `{part}` has failed: {why}");
  assert!(text.contains(&line), "{text}");
  assert_eq!(output.status.code(), Some(70), "{text}");
}

fn hub(log: Logger) -> Arc<Hub> {
  let bound = Bound {
    ratio: 0.2,
    slack: 80.0,
    window_ms: 10_000,
  };
  Hub::new(State::new("a", bound, 1), Dialect::DEFAULT, log).unwrap()
}

fn quiet() -> Logger {
  Logger::root(Discard, o!())
}

/// An instance whose thread had panicked went on without the servers' entries, and said that it was
/// ready.
#[test]
fn a_thread_that_panics_ends_the_process() {
  let output = in_child("a_thread_that_panics_ends_the_process", || {
    let run = || panic!("entry {} is gone", 7);
    essential::spawn(thread::Builder::new(), "servers", &quiet(), run).unwrap();
  });
  assert_ended(output, "servers", "entry 7 is gone");
}

/// A thread that gives up is as much missed as one that panics.
#[test]
fn a_thread_that_returns_ends_the_process() {
  let output = in_child("a_thread_that_returns_ends_the_process", || {
    essential::spawn(thread::Builder::new(), "planner", &quiet(), || {}).unwrap();
  });
  assert_ended(output, "planner", "the thread has returned");
}

/// The outcome of a call that panicked was waited for without an end.
#[test]
fn a_call_that_panics_ends_the_process() {
  let output = in_child("a_call_that_panics_ends_the_process", || {
    let pool = Pool::spawn("order", 1).unwrap();
    pool.run(|| panic!("no answer"));
    thread::sleep(CHILD_LIFE);
  });
  assert_ended(output, "order", "no answer");
}

/// An instance whose planner or feed hung would go on as if it were ready.
#[test]
fn a_loop_that_hangs_ends_the_process() {
  let output = in_child("a_loop_that_hangs_ends_the_process", || {
    let run = |pulse: &Pulse| {
      pulse.beat();
      thread::sleep(2 * CHILD_LIFE);
    };
    essential::spawn_loop(thread::Builder::new(), "planner", &quiet(), run).unwrap();
    (0..CHECKS).for_each(|_| essential::check_loops());
  });
  assert_ended(output, "planner", "its loop has hung for 60 checks");
}

/// Guards against the end of a process whose loops go round, however often they are checked.
#[test]
fn a_loop_that_goes_round_goes_on() {
  let output = in_child("a_loop_that_goes_round_goes_on", || {
    let run = |pulse: &Pulse| {
      loop {
        pulse.beat();
        thread::sleep(Duration::from_millis(1));
      }
    };
    essential::spawn_loop(thread::Builder::new(), "planner", &quiet(), run).unwrap();
    for _ in 0..CHECKS {
      essential::check_loops();
      thread::sleep(Duration::from_millis(10));
    }
  });
  if let Some(output) = output {
    let text = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{text}");
  }
}

/// Guards against a request that ends one instance after the other: the others count its ends like
/// those of servers.
#[test]
fn a_request_whose_event_panics_is_reported_to_the_other_instances() {
  let other = UdpSocket::bind("127.0.0.1:0").unwrap();
  other.set_read_timeout(Some(TIMEOUT)).unwrap();
  let address = other.local_addr().unwrap().to_string();
  let test = "a_request_whose_event_panics_is_reported_to_the_other_instances";
  let head = Request {
    method: "GET".into(),
    target: "/x".into(),
    minor: 1,
    headers: Headers::default(),
  };
  let content = content::Key::of(&head, &[], b"body");
  let output = in_child_with(test, &address, || {
    let hub = hub(quiet());
    let other = env::var(INPUT).unwrap().parse().unwrap();
    hub.set_instances([other].into_iter());
    hub.change(
      |_| Some((content, "request".into())),
      |_| panic!("half-changed"),
    )
  });
  if output.is_none() {
    return;
  }
  assert_ended(output, "state", "half-changed");
  let mut bytes = [0; 1_500];
  let length = other.recv(&mut bytes).unwrap();
  let (message, _) = message::decode(&bytes[..length]).unwrap();
  let Message::Crashes(crashes) = message else {
    panic!("another message");
  };
  let contents: Vec<content::Key> = crashes.iter().map(|crash| crash.content).collect();
  assert_eq!(contents, [content]);
}

/// A panic within the reducer, in whatever thread, leaves a state that nothing is known of.
#[test]
fn a_panic_with_the_state_locked_ends_the_process() {
  let output = in_child("a_panic_with_the_state_locked_ends_the_process", || {
    let hub = hub(quiet());
    let other = hub.clone();
    let panicked = thread::spawn(move || {
      let _state = other.state();
      panic!("half-changed");
    });
    assert!(panicked.join().is_err());
    hub.apply(Event::RecordsRead, None);
  });
  assert_ended(output, "state", "a thread panicked with the state locked");
}

/// A log that panics on the line with this message.
struct Trap(&'static str);

impl Drain for Trap {
  type Ok = ();
  type Err = Never;

  fn log(&self, record: &Record, _: &OwnedKVList) -> Result<(), Never> {
    let message = record.msg().to_string();
    assert_ne!(message, self.0, "trapped");
    Ok(())
  }
}

/// Waits until a condition holds, but not for longer than `TIMEOUT`.
fn wait_until(condition: impl Fn() -> bool) {
  let started = Instant::now();
  while !condition() && started.elapsed() < TIMEOUT {
    thread::sleep(Duration::from_millis(1));
  }
}

/// Sends a request to an instance whose log panics on a line; returns what is answered.
fn ask(address: SocketAddr) -> Vec<u8> {
  let mut stream = TcpStream::connect(address).unwrap();
  stream.set_read_timeout(Some(TIMEOUT)).unwrap();
  let request = b"GET / HTTP/1.1\r\nhost: host\r\nconnection: close\r\n\r\n";
  stream.write_all(request).unwrap();
  let mut answer = Vec::new();
  // The connection may be reset.
  let _ = stream.read_to_end(&mut answer);
  answer
}

/// Requests in progress were counted without an end where their threads had panicked, so a planned
/// stop waited for them, and their connections took the places of others.
#[test]
fn a_callers_thread_that_panics_releases_what_it_holds() {
  let hub = hub(Logger::root(Trap("refused"), o!()));
  let address = entry::bind(&hub, "127.0.0.1:0", CONNECTIONS).unwrap();
  for _ in 0..3 * CONNECTIONS {
    assert_eq!(ask(address), b"");
  }
  let open = || hub.admission.get().unwrap().open();
  let active = || hub.active.count();
  wait_until(|| open() == 0 && active() == 0);
  assert_eq!((open(), active()), (0, 0));
}

fn route() -> Route {
  Route {
    name: "r".into(),
    host: "host".into(),
    prefix: "/".into(),
    parts: vec![Part {
      pool: "pool".into(),
      weight: 1,
    }],
    repeat: Repeat::Always,
    stream: None,
    attempts: 2,
    timeout_ms: 5_000,
    objective_ms: 300,
    priority: 1,
    public: false,
  }
}

/// A server at a port that refuses connections.
fn unreachable_server() -> Spec {
  Spec {
    id: "s".into(),
    born: 0,
    build: build::Id::of("1"),
    pool: "pool".into(),
    address: "127.0.0.1:9".parse().unwrap(),
    zone: "a".into(),
    slots: 8,
    stage: Stage::Ready,
    models: BTreeMap::new(),
    in_memory: Vec::new(),
    on_disk: Vec::new(),
  }
}

/// A server counted a request without an end whose thread had panicked, and was taken for busy.
#[test]
fn a_request_ends_with_its_thread() {
  let hub = hub(Logger::root(Trap("server not reached"), o!()));
  let pool = deployment::Pool::default();
  let deployment = Deployment {
    version: 1,
    routes: vec![Arc::new(route())],
    pools: BTreeMap::from([("pool".into(), pool)]),
    ..Deployment::default()
  };
  hub.apply(Event::Deployed(Arc::new(deployment)), None);
  let servers = vec![Change::All(vec![unreachable_server()])];
  hub.apply(Event::Servers(servers), None);
  hub.apply(Event::RecordsRead, None);
  let address = entry::bind(&hub, "127.0.0.1:0", CONNECTIONS).unwrap();
  assert_eq!(ask(address), b"");
  let running = || {
    let state = hub.state();
    let servers = state.backends.values();
    let at_servers: u32 = servers.map(|backend| backend.running).sum();
    (state.requests.len(), at_servers)
  };
  wait_until(|| running() == (0, 0));
  assert_eq!(running(), (0, 0));
}
