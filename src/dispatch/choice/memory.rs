//! Token memory of engines: prompt and expected response of the requests that run on a server.
//!
//! Load pattern: long prompts or long responses together exceed an engine's memory. It then preempts
//! a request, whose prompt is read again while its stream pauses.

use super::super::{Request, State};
use crate::{
  backend::{self, Backend},
  request::Ticket,
};

/// Part of the token memory that sends may use, in percent. The rest is for blocks that are not full
/// and for responses that become longer than hinted.
const USABLE_PERCENT: u64 = 90;

/// Tokens that a request holds at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Held {
  key: backend::Key,
  /// Prompt that is not read yet.
  unread: u32,
  /// Prompt and expected response.
  tokens: u32,
}

/// Returns whether a request fits into an engine's memory. One that is too large for an empty server
/// fits there, because no other would take it either.
pub fn fits(capacity: u64, held: u64, tokens: u64) -> bool {
  held == 0 || held + tokens <= capacity * USABLE_PERCENT / 100
}

impl State {
  /// Tokens of a request's prompt, or the pool's mean if the caller does not state them.
  pub(super) fn prompt_tokens(&self, request: &Request) -> f32 {
    let rates = self.rates(&request.descriptor.pool);
    let stated = request.descriptor.tokens;
    stated.map_or(rates.prompt_tokens, |tokens| tokens.input as f32)
  }

  /// Prompt and expected response of a request, or the pool's mean.
  fn request_tokens(&self, request: &Request) -> u32 {
    let learned = self.learned.get(&request.descriptor.pool);
    let learned = learned.cloned().unwrap_or_default();
    match request.descriptor.tokens {
      Some(tokens) => {
        let output = learned.output_tokens(tokens.max_output, tokens.hinted_output);
        tokens.input.saturating_add(output)
      }
      None => learned.held_tokens() as u32,
    }
  }

  /// Prompt and expected response of a request whose caller states them.
  pub(crate) fn stated_tokens(&self, ticket: Ticket) -> Option<u32> {
    let request = self.requests.get(&ticket)?;
    request.descriptor.tokens?;
    Some(self.request_tokens(request))
  }

  /// Whether a server's token memory suffices for a request.
  pub(super) fn fits_memory(&self, backend: &Backend, request: &Request) -> bool {
    let pool = &request.descriptor.pool;
    let capacity = self.engine(pool).map_or(0, |engine| engine.kv_tokens);
    if !self.features.token_memory || capacity == 0 {
      return true;
    }
    let slots = self.engine(pool).map_or(0, |engine| engine.slots);
    let of_others = backend
      .estimated_load(self.instances)
      .saturating_sub(backend.running);
    // Requests in the server's queue hold no memory yet.
    let of_others = of_others.min(slots) as f32;
    let mean = self.learned.get(pool).map_or_else(
      || super::learned::Learned::default().held_tokens(),
      |learned| learned.held_tokens(),
    );
    let held = backend.held_tokens + (of_others * mean) as u64;
    fits(capacity, held, u64::from(self.request_tokens(request)))
  }

  /// Records the tokens of a request that is sent to a server.
  pub(crate) fn hold_tokens(&mut self, ticket: Ticket, key: backend::Key) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let held = Held {
      key,
      unread: self.prompt_tokens(request) as u32,
      tokens: self.request_tokens(request),
    };
    let Some(backend) = self.backends.get_mut(key) else {
      return;
    };
    backend.unread_tokens += u64::from(held.unread);
    backend.held_tokens += u64::from(held.tokens);
    if let Some(request) = self.requests.get_mut(&ticket) {
      request.held = Some(held);
    }
  }

  /// Records that a prompt was read.
  pub(crate) fn prompt_was_read(&mut self, ticket: Ticket) {
    let request = self.requests.get_mut(&ticket);
    let Some(held) = request.and_then(|request| request.held.as_mut()) else {
      return;
    };
    let unread = std::mem::take(&mut held.unread);
    if let Some(backend) = self.backends.get_mut(held.key) {
      backend.unread_tokens = backend.unread_tokens.saturating_sub(u64::from(unread));
    }
  }

  /// Releases the tokens of a request whose send has ended.
  pub(crate) fn release_tokens(&mut self, ticket: Ticket) {
    self.prompt_was_read(ticket);
    let request = self.requests.get_mut(&ticket);
    let Some(held) = request.and_then(|request| request.held.take()) else {
      return;
    };
    self.release_held(held);
  }

  /// Releases the tokens that a run has held.
  pub(crate) fn release_held(&mut self, held: Held) {
    if let Some(backend) = self.backends.get_mut(held.key) {
      backend.unread_tokens = backend.unread_tokens.saturating_sub(u64::from(held.unread));
      backend.held_tokens = backend.held_tokens.saturating_sub(u64::from(held.tokens));
    }
  }
}
