//! Thread pools: threads are started as needed up to a limit, and closures run once, in order.

use bendsaddle::pool::Pool;
use std::{
  sync::{
    Arc, Barrier,
    atomic::{AtomicUsize, Ordering},
    mpsc::channel,
  },
  thread,
  time::Duration,
};

/// Longest wait for an expected event.
const TIMEOUT: Duration = Duration::from_secs(20);

#[test]
fn closures_wait_for_none_but_the_bound() {
  let pool = Pool::spawn("p", 3).unwrap();
  let all = Arc::new(Barrier::new(4));
  for _ in 0..3 {
    let all = all.clone();
    pool.run(move || _ = all.wait());
  }
  // Returns only if three closures run concurrently.
  all.wait();
}

#[test]
fn a_pool_starts_no_more_threads_than_its_bound() {
  let pool = Pool::spawn("p", 2).unwrap();
  let (running, max_running) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
  let (done, finished) = channel();
  for _ in 0..50 {
    let (running, max_running, done) = (running.clone(), max_running.clone(), done.clone());
    pool.run(move || {
      max_running.fetch_max(running.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
      thread::sleep(Duration::from_millis(1));
      running.fetch_sub(1, Ordering::SeqCst);
      done.send(()).unwrap();
    });
  }
  for _ in 0..50 {
    finished.recv_timeout(TIMEOUT).unwrap();
  }
  assert_eq!(max_running.load(Ordering::SeqCst), 2);
}

#[test]
fn one_thread_runs_closures_in_order() {
  let pool = Pool::spawn("p", 1).unwrap();
  let (done, finished) = channel();
  for number in 0..100 {
    let done = done.clone();
    pool.run(move || done.send(number).unwrap());
  }
  let order: Vec<i32> = (0..100)
    .map(|_| finished.recv_timeout(TIMEOUT).unwrap())
    .collect();
  assert_eq!(order, (0..100).collect::<Vec<i32>>());
}

#[test]
fn what_was_given_to_a_pool_is_run_after_it_was_dropped() {
  let pool = Pool::spawn("p", 1).unwrap();
  let (done, finished) = channel();
  let (release, blocked) = channel::<()>();
  pool.run(move || _ = blocked.recv());
  pool.run(move || done.send(()).unwrap());
  drop(pool);
  release.send(()).unwrap();
  finished.recv_timeout(TIMEOUT).unwrap();
}
