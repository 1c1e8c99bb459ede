//! Threads that an instance cannot do without.
//!
//! Without one of them an instance would go on as if it were ready, so its end ends the process, which
//! the platform starts again. So does a panic that may have left the state half-changed.

use slog::{Discard, Logger, crit, o};
use std::{
  any::Any,
  io,
  panic::{AssertUnwindSafe, catch_unwind},
  process,
  sync::atomic::{AtomicBool, Ordering},
  thread::{self, Builder},
  time::Duration,
};

/// Exit status of a process that ends because one of its threads has ended.
const EXIT_STATUS: i32 = 70;
/// Time in which the log's own thread writes the last line.
const LOG_DELAY: Duration = Duration::from_millis(50);
/// How long other threads that meet the end of the process wait for it.
const END_TIMEOUT: Duration = Duration::from_secs(60);

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
fn message(panic: &(dyn Any + Send)) -> &str {
  let text = panic.downcast_ref::<String>().map(String::as_str);
  let text = text.or_else(|| panic.downcast_ref::<&str>().copied());
  text.unwrap_or("panic without a message")
}
