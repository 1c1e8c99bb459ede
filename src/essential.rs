//! Threads that an instance cannot do without.
//!
//! Without one of them an instance would go on as if it were ready, so its end ends the process, which
//! the platform starts again. So does a panic that may have left the state half-changed, and a loop that
//! does not go round any more.

use slog::{Discard, Logger, crit, o};
use std::{
  any::Any,
  io,
  panic::{AssertUnwindSafe, catch_unwind},
  process,
  sync::{
    Arc, Mutex, Once, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
  },
  thread::{self, Builder},
  time::Duration,
};

/// Exit status of a process that ends because one of its threads has ended.
const EXIT_STATUS: i32 = 70;
/// Time in which the log's own thread writes the last line.
const LOG_DELAY: Duration = Duration::from_millis(50);
/// How long other threads that meet the end of the process wait for it.
const END_TIMEOUT: Duration = Duration::from_secs(60);

/// Interval at which loops are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// A loop hangs if it has not gone round within this many checks. Checks are counted, not time: a
/// process that was suspended has not checked anything meanwhile.
const MAX_CHECKS: u32 = 60;

/// Shows that a loop goes round.
#[derive(Clone, Debug, Default)]
pub struct Pulse(Arc<AtomicU64>);

impl Pulse {
  /// Records that the loop goes round.
  pub fn beat(&self) {
    self.0.fetch_add(1, Ordering::Relaxed);
  }

  fn count(&self) -> u64 {
    self.0.load(Ordering::Relaxed)
  }
}

/// A loop that is watched.
struct Watched {
  thread: String,
  log: Logger,
  pulse: Pulse,
  last_count: u64,
  /// Checks since it last went round.
  checks: u32,
}

static WATCHED: Mutex<Vec<Watched>> = Mutex::new(Vec::new());
static WATCHDOG: Once = Once::new();

/// Whether a thread has begun to end the process.
static ENDING: AtomicBool = AtomicBool::new(false);

/// Starts a thread whose end ends the process.
pub fn spawn(
  builder: Builder,
  name: &str,
  log: &Logger,
  run: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
  let (thread, log) = (name.to_string(), log.clone());
  let run = move || {
    complete(&log, &thread, run);
    end_process(&log, &thread, "the thread has returned")
  };
  builder.name(name.into()).spawn(run).map(drop)
}

/// Starts a thread like `spawn`, whose loop beats the pulse each time that it goes round. If it stops
/// doing so, the process ends.
pub fn spawn_loop(
  builder: Builder,
  name: &str,
  log: &Logger,
  run: impl FnOnce(&Pulse) + Send + 'static,
) -> io::Result<()> {
  let pulse = Pulse::default();
  let watched = Watched {
    thread: name.into(),
    log: log.clone(),
    pulse: pulse.clone(),
    last_count: 0,
    checks: 0,
  };
  spawn(builder, name, log, move || run(&pulse))?;
  WATCHED
    .lock()
    .unwrap_or_else(PoisonError::into_inner)
    .push(watched);
  let mut started = Ok(());
  WATCHDOG.call_once(|| {
    started = spawn(Builder::new(), "watchdog", &no_log(), || {
      loop {
        thread::sleep(CHECK_INTERVAL);
        check_loops();
      }
    });
  });
  started
}

/// Checks once whether each loop has gone round since the last check, and ends the process if one hangs.
pub fn check_loops() {
  let mut watched = WATCHED.lock().unwrap_or_else(PoisonError::into_inner);
  for watched in watched.iter_mut() {
    let count = watched.pulse.count();
    watched.checks = match count == watched.last_count {
      true => watched.checks + 1,
      false => 0,
    };
    watched.last_count = count;
    if watched.checks >= MAX_CHECKS {
      let why = format!("its loop has hung for {MAX_CHECKS} checks");
      end_process(&watched.log, &watched.thread, &why);
    }
  }
}

/// Runs what others wait for without an end; a panic ends the process.
pub fn complete(log: &Logger, part: &str, run: impl FnOnce()) {
  if let Err(panic) = catch_unwind(AssertUnwindSafe(run)) {
    end_process(log, part, message(&*panic));
  }
}

/// A log for parts that have none: the reason still goes to standard error.
pub(crate) fn no_log() -> Logger {
  Logger::root(Discard, o!())
}

/// Ends the process because the thread or state `part` cannot be used any more.
pub fn end_process(log: &Logger, part: &str, why: &str) -> ! {
  if ENDING.swap(true, Ordering::SeqCst) {
    thread::sleep(END_TIMEOUT);
  }
  crit!(log, "process ends: an essential part of it has failed"; "part" => part, "why" => why);
  eprintln!("error: `{part}` has failed: {why}");
  thread::sleep(LOG_DELAY);
  process::exit(EXIT_STATUS)
}

/// The message of a panic.
pub(crate) fn message(panic: &(dyn Any + Send)) -> &str {
  let text = panic.downcast_ref::<String>().map(String::as_str);
  let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
  text.unwrap_or("panic without a message")
}
