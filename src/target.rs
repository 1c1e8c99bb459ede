//! Targets of requests, of parts that may hold any text.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use std::fmt::Write;

/// All but the unreserved characters of RFC 3986. A plus is encoded too: some servers read it as a
/// blank.
const RESERVED: &AsciiSet = &NON_ALPHANUMERIC
  .remove(b'-')
  .remove(b'.')
  .remove(b'_')
  .remove(b'~');

/// Encodes a path of these segments and a query of these fields.
pub fn encode(segments: &[&str], query: &[(&str, &str)]) -> String {
  let mut target = String::new();
  for segment in segments {
    target.push('/');
    target.extend(utf8_percent_encode(segment, RESERVED));
  }
  for (number, (name, value)) in query.iter().enumerate() {
    target.push(if number == 0 { '?' } else { '&' });
    let (name, value) = [name, value]
      .map(|part| utf8_percent_encode(part, RESERVED))
      .into();
    // Writing to a string cannot fail.
    let _ = write!(target, "{name}={value}");
  }
  target
}
