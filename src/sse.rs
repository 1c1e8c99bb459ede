//! Streams of events: whole events are distinguished from broken ones, so that a
//! stream can go on at another backend server after its last whole event.

/// Takes a stream apart as its bytes arrive.
#[derive(Clone, Debug, Default)]
pub struct Parser {
  partial: Vec<u8>,
  /// Id of the last whole event.
  pub last_id: Option<String>,
  /// Whole events seen.
  pub count: u64,
}

impl Parser {
  /// Takes bytes and gives those that complete events.
  pub fn push(&mut self, bytes: &[u8]) -> Vec<u8> {
    let before = self.partial.len();
    self.partial.extend_from_slice(bytes);
    let Some(end) = last_end(&self.partial, before) else {
      return Vec::new();
    };
    let whole: Vec<u8> = self.partial.drain(..end).collect();
    for line in whole.split(|byte| *byte == b'\n') {
      if line.is_empty() || line == b"\r" {
        self.count += 1;
      }
      if let Some(id) = line.strip_prefix(b"id:") {
        let id = String::from_utf8_lossy(id);
        self.last_id = Some(id.trim().to_string());
      }
    }
    self.count = self.count.saturating_sub(1);
    whole
  }

  /// Bytes of an event whose end has not arrived.
  pub fn partial(&self) -> &[u8] {
    &self.partial
  }

  /// Forgets the event whose end did not arrive.
  pub fn discard_partial(&mut self) {
    self.partial.clear();
  }
}

/// Where the last whole event ends.
fn last_end(bytes: &[u8], before: usize) -> Option<usize> {
  let from = before.saturating_sub(3);
  let tail = &bytes[from..];
  let ends = |mark: &[u8]| {
    let at = tail.windows(mark.len()).rposition(|window| window == mark);
    at.map(|at| from + at + mark.len())
  };
  ends(b"\n\n").max(ends(b"\r\n\r\n"))
}
