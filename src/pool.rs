//! A fixed number of threads that run closures in order of arrival.

use std::{
  sync::{
    Arc, Mutex, PoisonError,
    mpsc::{Receiver, Sender, channel},
  },
  thread,
};

type Task = Box<dyn FnOnce() + Send>;

/// A pool of threads; ends when dropped.
pub struct Pool {
  sender: Sender<Task>,
}

/// Stack of a pool's thread, bytes.
const STACK: usize = 256 << 10;

impl Pool {
  /// Starts `threads` threads.
  pub fn spawn(name: &str, threads: usize) -> std::io::Result<Self> {
    let (sender, receiver) = channel::<Task>();
    let receiver = Arc::new(Mutex::new(receiver));
    for _ in 0..threads {
      let receiver = receiver.clone();
      let builder = thread::Builder::new().name(name.into()).stack_size(STACK);
      builder.spawn(move || work(&receiver))?;
    }
    Ok(Self { sender })
  }

  /// Runs a closure on one of the threads.
  pub fn run(&self, task: impl FnOnce() + Send + 'static) {
    // Fails only after every thread has ended, with the process.
    let _ = self.sender.send(Box::new(task));
  }
}

fn work(receiver: &Mutex<Receiver<Task>>) {
  loop {
    let task = receiver
      .lock()
      .unwrap_or_else(PoisonError::into_inner)
      .recv();
    match task {
      Ok(task) => task(),
      Err(_) => return,
    }
  }
}
