//! A thread pool that runs closures in order of arrival. Threads are started as needed up to a
//! limit, and all but one end after a while without work.

use crate::essential;
use std::{
  collections::VecDeque,
  sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
  thread,
  time::Duration,
};

type Task = Box<dyn FnOnce() + Send>;

/// Stack size of a pool thread.
const STACK_BYTES: usize = 256 << 10;
/// An idle thread ends after this time: an instance that sends no orders keeps only one, and one
/// that does rarely starts new ones.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

#[derive(Default)]
struct State {
  tasks: VecDeque<Task>,
  threads: usize,
  idle: usize,
  /// The pool was dropped.
  closed: bool,
}

#[derive(Default)]
struct Shared {
  state: Mutex<State>,
  changed: Condvar,
}

impl Shared {
  fn lock(&self) -> MutexGuard<'_, State> {
    self.state.lock().unwrap_or_else(PoisonError::into_inner)
  }
}

/// A pool of threads. After it is dropped, the closures passed to it still run, and its threads
/// end.
pub struct Pool {
  name: String,
  max_threads: usize,
  shared: Arc<Shared>,
}

impl Pool {
  /// Creates a pool of at most `max_threads` threads and starts the first one. Fails if it cannot
  /// be started, because then no closure would ever run.
  pub fn spawn(name: &str, max_threads: usize) -> std::io::Result<Self> {
    let pool = Self {
      name: name.into(),
      max_threads: max_threads.max(1),
      shared: Arc::default(),
    };
    pool.start()?;
    Ok(pool)
  }

  /// Runs a closure on one of the threads.
  pub fn run(&self, task: impl FnOnce() + Send + 'static) {
    let mut state = self.shared.lock();
    state.tasks.push_back(Box::new(task));
    let needs_thread = state.tasks.len() > state.idle && state.threads < self.max_threads;
    drop(state);
    if needs_thread {
      // If no further thread can be started, the existing ones run the closure later.
      let _ = self.start();
    }
    self.shared.changed.notify_one();
  }

  fn start(&self) -> std::io::Result<()> {
    self.shared.lock().threads += 1;
    let (shared, name) = (self.shared.clone(), self.name.clone());
    let builder = thread::Builder::new()
      .name(name.clone())
      .stack_size(STACK_BYTES);
    let started = builder.spawn(move || run_tasks(&shared, &name));
    if started.is_err() {
      self.shared.lock().threads -= 1;
    }
    started.map(drop)
  }
}

impl Drop for Pool {
  fn drop(&mut self) {
    self.shared.lock().closed = true;
    self.shared.changed.notify_all();
  }
}

fn run_tasks(shared: &Shared, name: &str) {
  let mut state = shared.lock();
  loop {
    if let Some(task) = state.tasks.pop_front() {
      drop(state);
      // Who passed the closure waits for its outcome.
      essential::complete(&essential::no_log(), name, task);
      state = shared.lock();
      continue;
    }
    // Except after the pool was dropped, the last thread keeps running.
    if state.closed {
      state.threads -= 1;
      return;
    }
    state.idle += 1;
    let waited = shared.changed.wait_timeout(state, IDLE_TIMEOUT);
    let (guard, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
    state = guard;
    state.idle -= 1;
    if timeout.timed_out() && state.tasks.is_empty() && state.threads > 1 {
      state.threads -= 1;
      return;
    }
  }
}
