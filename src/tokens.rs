//! Tokens of a request, as its caller states them.

/// Tokens of the prompt, and of the response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tokens {
  pub input: u32,
  /// Maximum of the response.
  pub max_output: u32,
  /// The caller's estimate of the response.
  pub hinted_output: Option<u32>,
}

impl Tokens {
  /// Parses the values of the headers for token usage, `IN,OUT`, and for the length hint. `None`
  /// if the usage is missing or malformed.
  pub fn parse(usage: Option<&str>, hint: Option<&str>) -> Option<Self> {
    let (input, output) = usage?.split_once(',')?;
    Some(Self {
      input: input.trim().parse().ok()?,
      max_output: output.trim().parse().ok()?,
      hinted_output: hint.and_then(|text| text.trim().parse().ok()),
    })
  }
}
