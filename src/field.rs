//! Values of header fields and targets of requests.

/// Whether text can be the value of a field as it is: it is not empty, and has no control characters
/// and no blanks around it, which the receiver would drop.
pub fn is_value(text: &str) -> bool {
  !text.is_empty() && text.trim() == text && !text.chars().any(char::is_control)
}

/// Whether text can be the target of a request as it is: a path in visible ASCII characters.
pub fn is_target(text: &str) -> bool {
  text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic())
}
