//! Log lines can be queried by their typed fields, and a full log queue does not block.

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

/// A writer that blocks while its mutex is held elsewhere.
struct BlockedWriter(Arc<Mutex<()>>, Sink);

impl Write for BlockedWriter {
  fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
    let _guard = self.0.lock().unwrap();
    self.1.write(bytes)
  }

  fn flush(&mut self) -> io::Result<()> {
    Ok(())
  }
}

#[test]
fn a_full_queue_drops_counts_and_does_not_block() {
  let (gate, sink) = (Arc::new(Mutex::new(())), Sink::default());
  let guard = gate.lock().unwrap();
  let json = slog_json::Json::default(BlockedWriter(gate.clone(), sink.clone())).ignore_res();
  let (drain, flush_guard) = slog_async::Async::new(json)
    .chan_size(4)
    .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
    .build_with_guard();
  let log = Logger::root(drain.ignore_res(), o!());
  for number in 0..100 {
    // The writer is blocked, so this loop would never finish if logging waited for it.
    info!(log, "line"; "number" => number);
  }
  drop(guard);
  let text = || String::from_utf8(sink.0.lock().unwrap().clone()).unwrap();
  // The number of dropped messages is logged with the next line that fits into the queue.
  while !text().contains("logger dropped messages") {
    info!(log, "last");
    std::thread::yield_now();
  }
  drop(log);
  drop(flush_guard);
  let text = text();
  let written = text
    .lines()
    .filter(|line| line.contains("\"line\""))
    .count();
  assert!((1..100).contains(&written), "{written}");
}
