//! Authenticates requests by the API key in their headers.

use super::{Caller, Digest, Directory, Unit};
use crate::http::Headers;
use crate::quota::Id;

/// Header that carries the key.
const AUTHORIZATION: &str = "authorization";
/// Authentication scheme in that header.
const SCHEME: &str = "bearer ";

/// Reason why a request could not be authenticated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
  /// The request has no well-formed key, or more than one `authorization` header.
  Missing,
  Unknown,
}

impl Rejection {
  /// Text used in logs and responses.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Missing => "no key",
      Self::Unknown => "the key is not known",
    }
  }
}

/// Identifies the caller of a request by its key; `usage_header` is the header that states the
/// request's token counts.
///
/// # Errors
///
/// The key is missing, ambiguous or unknown.
pub fn authenticate(
  headers: &Headers,
  usage_header: &str,
  directory: &Directory,
) -> Result<Caller, Rejection> {
  let key = key(headers).ok_or(Rejection::Missing)?;
  let customer = directory.key_owner(key).ok_or(Rejection::Unknown)?;
  Ok(Caller {
    customer: Id::for_customer(&customer.name),
    key,
    priority: customer.priority,
    cost: cost(headers.get(usage_header), customer.unit),
  })
}

fn key(headers: &Headers) -> Option<Digest> {
  let mut values = headers.get_all(AUTHORIZATION);
  let value = values.next()?;
  // With two keys it is ambiguous which one applies.
  if values.next().is_some() {
    return None;
  }
  let (scheme, key) = value.split_at_checked(SCHEME.len())?;
  let key = key.trim_ascii();
  let is_valid = scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) && !key.is_empty();
  is_valid.then(|| Digest::of(key))
}

/// Units that a request costs.
fn cost(usage: Option<&str>, unit: Unit) -> u32 {
  match unit {
    Unit::Requests => 1,
    Unit::Tokens { default_cost } => usage.and_then(tokens).unwrap_or(default_cost),
  }
}

/// Parses `IN,OUT` and returns the sum of input and output tokens.
fn tokens(usage: &str) -> Option<u32> {
  let (tokens_in, tokens_out) = usage.split_once(',')?;
  let number = |text: &str| text.trim().parse::<u32>().ok();
  number(tokens_in)?.checked_add(number(tokens_out)?)
}
