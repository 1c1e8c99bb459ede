//! Server-sent events. Complete events are separated from partial ones, so that a stream can be
//! resumed on another backend server after its last complete event.

use crate::field;

/// The stream contains the head of a response, or an id that no header can hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mixed;

/// Splits a stream into events as its bytes arrive.
#[derive(Clone, Debug, Default)]
pub struct Parser {
  partial: Vec<u8>,
  /// Id of the last complete event that has one.
  pub last_id: Option<String>,
  /// Number of complete events.
  pub count: u64,
}

impl Parser {
  /// Adds bytes of the stream and returns all complete events that have not been returned yet. It is an
  /// error if one has a line with `id_header`, the header in which responses echo the ids of their
  /// requests, or an id that cannot be sent to resume the stream.
  pub fn push(&mut self, bytes: &[u8], id_header: &str) -> Result<Vec<u8>, Mixed> {
    let checked = self.partial.len();
    self.partial.extend_from_slice(bytes);
    let Some(end) = last_event_end(&self.partial, checked) else {
      return Ok(Vec::new());
    };
    let mut lines = self.partial[..end].split(|byte| *byte == b'\n');
    if lines.any(|line| is_header(line, id_header)) {
      return Err(Mixed);
    }
    let complete: Vec<u8> = self.partial.drain(..end).collect();
    let mut within = false;
    for line in complete.split(|byte| *byte == b'\n') {
      let blank = line.is_empty() || line == b"\r";
      self.count += u64::from(within && blank);
      within = !blank;
      if let Some(id) = line.strip_prefix(b"id:") {
        let id = String::from_utf8_lossy(id).trim().to_string();
        if !id.is_empty() && !field::is_value(&id) {
          return Err(Mixed);
        }
        self.last_id = Some(id);
      }
    }
    Ok(complete)
  }

  /// Returns the bytes after the last complete event.
  pub fn partial(&self) -> &[u8] {
    &self.partial
  }

  /// Takes the bytes after the last complete event.
  pub fn take_partial(&mut self) -> Vec<u8> {
    std::mem::take(&mut self.partial)
  }

  /// Replaces the bytes after the last complete event.
  pub fn set_partial(&mut self, partial: Vec<u8>) {
    self.partial = partial;
  }

  /// Discards the bytes after the last complete event.
  pub fn discard_partial(&mut self) {
    self.partial.clear();
  }
}

/// Whether a line is a header with this name.
fn is_header(line: &[u8], name: &str) -> bool {
  let (start, rest) = line.split_at(name.len().min(line.len()));
  rest.first() == Some(&b':') && start.eq_ignore_ascii_case(name.as_bytes())
}

/// Returns the offset after the last complete event and the blank lines behind it, which belong to
/// none. Bytes before `checked` were searched already.
fn last_event_end(bytes: &[u8], checked: usize) -> Option<usize> {
  let from = checked.saturating_sub(3);
  let tail = &bytes[from..];
  let end_after = |separator: &[u8]| {
    let start = tail
      .windows(separator.len())
      .rposition(|window| window == separator);
    start.map(|start| from + start + separator.len())
  };
  let end = end_after(b"\n\n").max(end_after(b"\r\n\r\n"));
  let end = end.unwrap_or_default();
  let end = end + blank_lines(&bytes[end..]);
  (end > 0).then_some(end)
}

/// Length of the blank lines at the start of `bytes`.
fn blank_lines(bytes: &[u8]) -> usize {
  let mut length = 0;
  loop {
    match &bytes[length..] {
      [b'\n', ..] => length += 1,
      [b'\r', b'\n', ..] => length += 2,
      _ => return length,
    }
  }
}
