//! Values of header fields.

/// Whether text can be the value of a field as it is: it is not empty, and has no control characters
/// and no blanks around it, which the receiver would drop.
pub fn is_value(text: &str) -> bool {
  !text.is_empty() && text.trim() == text && !text.chars().any(char::is_control)
}
