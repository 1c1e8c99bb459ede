//! Lines of the log can be queried by their fields.

use bendsaddle::journal::{Entry, Fields};
use slog::{Drain, Logger, info, o};
use std::{
  io::{self, Write},
  sync::{Arc, Mutex},
};

#[derive(Clone, Default)]
struct Sink(Arc<Mutex<Vec<u8>>>);

impl Write for Sink {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    self.0.lock().unwrap().extend_from_slice(bytes);
    Ok(bytes.len())
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}

#[test]
fn a_change_of_state_is_a_line_with_typed_fields() {
  let sink = Sink::default();
  let drain = Mutex::new(slog_json::Json::default(sink.clone())).fuse();
  let log = Logger::root(drain, o!("instance" => "one"));
  let entry = Entry::Configured {
    objects: 3,
    version: 17,
  };
  info!(log, "changed"; Fields(&entry));
  let text = String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
  let line: serde_json::Value = serde_json::from_str(&text).unwrap();
  assert_eq!(line["what"], "configured");
  assert_eq!(line["version"], 17);
  assert_eq!(line["objects"], 3);
  assert_eq!(line["instance"], "one");
}

/// A writer that is stuck until it is let go.
struct Stuck(Arc<Mutex<()>>, Sink);

impl Write for Stuck {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    let _held = self.0.lock().unwrap();
    self.1.write(bytes)
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}

#[test]
fn a_full_queue_drops_counts_and_does_not_block() {
  let (gate, sink) = (Arc::new(Mutex::new(())), Sink::default());
  let held = gate.lock().unwrap();
  let json = slog_json::Json::default(Stuck(gate.clone(), sink.clone())).ignore_res();
  let (drain, end) = slog_async::Async::new(json)
    .chan_size(4)
    .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
    .build_with_guard();
  let log = Logger::root(drain.ignore_res(), o!());
  for number in 0..100 {
    // Would never end if writing blocked: the writer is stuck.
    info!(log, "line"; "number" => number);
  }
  drop(held);
  let text = || String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
  // The count goes out with the next line for which there is room.
  while !text().contains("logger dropped messages") {
    info!(log, "last");
    std::thread::yield_now();
  }
  drop(log);
  drop(end);
  let text = text();
  let written = text
    .lines()
    .filter(|line| line.contains("\"line\""))
    .count();
  assert!((1..100).contains(&written), "{written}");
}
