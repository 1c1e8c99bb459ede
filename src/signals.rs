//! Signals that request a planned stop or a reload of the settings.

use crate::clock::Moment;
use crate::socket::{Interest, wait};
use signal_hook::{
  consts::{SIGHUP, SIGINT, SIGTERM},
  low_level::pipe,
};
use std::{
  io::{self, PipeReader, Read},
  time::Duration,
};

/// Timeout of one wait for a signal.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// What a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
  Stop,
  Reload,
}

/// Receives the process's signals.
pub struct Signals {
  stop: PipeReader,
  reload: PipeReader,
}

impl Signals {
  /// Registers handlers for SIGTERM, SIGINT and SIGHUP.
  pub fn new() -> io::Result<Self> {
    let (stop, stop_writer) = io::pipe()?;
    let (reload, reload_writer) = io::pipe()?;
    pipe::register(SIGTERM, stop_writer.try_clone()?)?;
    pipe::register(SIGINT, stop_writer)?;
    pipe::register(SIGHUP, reload_writer)?;
    Ok(Self { stop, reload })
  }

  /// Waits for the next signal.
  pub fn wait(&mut self) -> io::Result<Signal> {
    loop {
      let deadline = Moment::now() + WAIT_TIMEOUT;
      let pipes = [
        Some((&self.stop as _, Interest::Read)),
        Some((&self.reload as _, Interest::Read)),
      ];
      let [stop, reload] = wait(pipes, deadline)?;
      // The handler writes one byte per signal.
      let mut byte = [0];
      if stop {
        self.stop.read_exact(&mut byte)?;
        return Ok(Signal::Stop);
      }
      if reload {
        self.reload.read_exact(&mut byte)?;
        return Ok(Signal::Reload);
      }
    }
  }
}
