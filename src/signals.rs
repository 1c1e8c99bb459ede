//! Signals that ask for a planned stop or for the settings to be read again.

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

/// Longest wait at once.
const WAIT: Duration = Duration::from_secs(60);

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
  Stop,
  Reload,
}

/// Signals as they come.
pub struct Signals {
  stop: PipeReader,
  reload: PipeReader,
}

impl Signals {
  /// Takes over SIGTERM, SIGINT and SIGHUP.
  pub fn open() -> io::Result<Self> {
    let (stop, stopped) = io::pipe()?;
    let (reload, reloaded) = io::pipe()?;
    pipe::register(SIGTERM, stopped.try_clone()?)?;
    pipe::register(SIGINT, stopped)?;
    pipe::register(SIGHUP, reloaded)?;
    Ok(Self { stop, reload })
  }

  /// Waits for the next signal.
  pub fn wait(&mut self) -> io::Result<Signal> {
    loop {
      let until = Moment::now() + WAIT;
      let waits = [
        Some((&self.stop as _, Interest::Read)),
        Some((&self.reload as _, Interest::Read)),
      ];
      let [stop, reload] = wait(waits, until)?;
      // A byte a signal.
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
