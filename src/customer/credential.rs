//! Reads who sends a request from its head.

use super::{Caller, Digest, Directory, Unit};
use crate::http::Headers;
use crate::quota::Id;

/// The header that carries a key.
const AUTHORIZATION: &str = "authorization";
/// The scheme of that header.
const SCHEME: &str = "bearer ";

/// Why a request has no customer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
  /// It names no key, or more than one.
  Missing,
  Unknown,
}

impl Rejection {
  /// The word used in logs and answers.
  pub fn as_str(self) -> &'static str {
    match self {
      Self::Missing => "no key",
      Self::Unknown => "the key is not known",
    }
  }
}

/// Who sends a request; `usage` names the header that tells its tokens.
pub fn authenticate(headers: &Headers, usage: &str, book: &Directory) -> Result<Caller, Rejection> {
  let key = key(headers).ok_or(Rejection::Missing)?;
  let customer = book.key_owner(key).ok_or(Rejection::Unknown)?;
  Ok(Caller {
    customer: Id::for_customer(&customer.name),
    key,
    priority: customer.priority,
    cost: cost(headers.get(usage), customer.unit),
  })
}

fn key(headers: &Headers) -> Option<Digest> {
  let mut values = headers.get_all(AUTHORIZATION);
  let value = values.next()?;
  // Of two keys it would be anybody's guess which one counts.
  if values.next().is_some() {
    return None;
  }
  let (scheme, key) = value.split_at_checked(SCHEME.len())?;
  let key = key.trim_ascii();
  let named = scheme.eq_ignore_ascii_case(SCHEME.as_bytes()) && !key.is_empty();
  named.then(|| Digest::of(key))
}

/// Units that a request counts.
fn cost(usage: Option<&str>, unit: Unit) -> u32 {
  match unit {
    Unit::Requests => 1,
    Unit::Tokens {
      default_cost: plain,
    } => usage.and_then(tokens).unwrap_or(plain),
  }
}

/// Tokens in and out, as `IN,OUT`.
fn tokens(usage: &str) -> Option<u32> {
  let (tokens_in, tokens_out) = usage.split_once(',')?;
  let number = |text: &str| text.trim().parse::<u32>().ok();
  number(tokens_in)?.checked_add(number(tokens_out)?)
}
