//! Keeps a stream at the build that began it.

use super::{Id, Key};
use crate::{
  dispatch::{Effect, Request, State},
  request::Ticket,
};

impl Request {
  /// Whether a server of this build may run the request: any server may until a stream has begun.
  pub(crate) fn accepts_build(&self, build: Id) -> bool {
    self.build.is_none_or(|begun| begun.matches(build))
  }
}

impl State {
  /// Records the build of a stream whose first event was delivered to its caller.
  pub(crate) fn record_build(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    let (Some(stream), Some(sent)) = (request.descriptor.route.stream, request.sent_build) else {
      return;
    };
    let build = *request.build.get_or_insert(sent);
    if !stream.resumable {
      return;
    }
    let (attempt, pool) = (Key::of(&request.descriptor.id), &request.descriptor.pool);
    if self.streams.record(self.now, attempt, pool, build) {
      self.out.push(Effect::ExchangeBuilds);
    }
  }

  /// Whether no server is left at which the stream of a request may continue.
  pub(crate) fn build_is_gone(&self, request: &Request) -> bool {
    let mut backends = self.backends.values();
    request.build.is_some()
      && !backends.any(|backend| {
        let same_pool = backend.spec.pool == request.descriptor.pool;
        same_pool && !backend.is_leaving() && request.accepts_build(backend.spec.build)
      })
  }
}
