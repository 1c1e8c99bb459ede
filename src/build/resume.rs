//! Decides at which build a stream continues that a caller resumes.

use super::{
  Id, Key, MAX_LIST_LAG_MS,
  confirm::{Failure, Knowledge},
};
use crate::{
  deployment::Deployment,
  dispatch::{Change, Effect, Request, State},
  refusal::Reason,
  request::Ticket,
};
use std::{net::SocketAddr, time::Duration};

/// Number of instances that are asked about an attempt. More than have its record, because two
/// instances may know different lists of instances, and because all that answer may be partitioned
/// from the others together: if that is a third of the instances, from 1 in 6,561 streams' eight.
pub(crate) const ASKED: usize = 8;
/// How long answers are awaited, in ms, and how many times the question is sent. The answers of
/// instances with a quarter of a core take up to some ten ms.
const ANSWER_MS: u64 = 30;
const ROUNDS: u32 = 2;
/// Part of a route's objective within which the store, or the list of instances, is awaited, as refusals
/// are due then.
const WAIT_PART: u64 = 4;

/// A caller's resumption of a stream, at its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resumption {
  /// The attempt whose caller received the first event; `None` if the caller does not name it.
  pub attempt: Option<Key>,
  /// How old the list of servers is, in ms; `None` if it was never read.
  pub list_age_ms: Option<u64>,
  /// Time since the store last responded to any instance, as far as this one knows, in ms.
  pub store_age_ms: Option<u64>,
}

impl Resumption {
  /// Whether the list of servers was complete a moment before the request arrived. `is_outage` means
  /// that the store responds to no instance if it does not respond to this one: no list is newer.
  fn has_fresh_list(&self, waited_ms: u64, is_outage: bool) -> bool {
    let Some(age_ms) = self.list_age_ms else {
      return false;
    };
    let store_age_ms = self.store_age_ms.filter(|_| is_outage).unwrap_or_default();
    age_ms.saturating_sub(store_age_ms) + waited_ms <= MAX_LIST_LAG_MS
  }
}

/// A question to other instances about the stream of a request.
#[derive(Clone, Debug)]
pub(crate) struct Question {
  /// Until when answers are awaited, in ms.
  until: u64,
  /// Number of times that it was sent.
  rounds: u32,
  /// Instances that do not know the stream.
  unknown_to: Vec<SocketAddr>,
  /// Whether the stream may have begun before one of them started.
  has_young_answer: bool,
}

/// The build at which a resumed stream continues, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
  pub request: String,
  /// `None` if the stream is refused because its build is unknown.
  pub build: Option<Id>,
  pub basis: Basis,
  /// How long the decision took, in ms.
  pub took_ms: u64,
  /// Number of instances that answered that they do not know the stream.
  pub unknown_to: usize,
  /// Whether the stream may have begun before one of these started.
  pub has_young_answer: bool,
  /// How long this instance has known the servers of all pools, in ms; `None` if it does not.
  pub watched_ms: Option<u64>,
  /// How old its list of servers was at the arrival, in ms; `None` if it was never read.
  pub list_age_ms: Option<u64>,
}

/// What a decision rests on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
  /// A record: the instance that sent it, `None` if it is this one, and its age in ms.
  Record(Option<SocketAddr>, u64),
  /// The pool's servers have had one build lately.
  OnlyBuild,
  /// The stream is unknown, and the pool has had several builds.
  SeveralBuilds,
  /// The stream is unknown, and so is whether the pool has several builds.
  OldList,
  /// The stream is unknown, and so is whether the pool had another build before this instance knew
  /// all servers.
  UnknownPast,
}

/// Until when the store, or the list of instances, is awaited for a request, in ms.
fn wait_deadline(request: &Request) -> u64 {
  request.arrived + request.descriptor.route.objective_ms / WAIT_PART
}

impl State {
  /// Finds the build of the stream that a caller resumes. Returns whether the request may be sent
  /// now; otherwise it waits for answers of other instances, or was refused.
  pub(crate) fn resolve_build(&mut self, ticket: Ticket) -> bool {
    let now = self.now;
    let Some(request) = self.requests.get(&ticket) else {
      return false;
    };
    let Some(resumption) = request.descriptor.resumption else {
      return true;
    };
    if request.build.is_some() {
      return true;
    }
    let known = resumption
      .attempt
      .and_then(|attempt| self.streams.find(now, attempt));
    if let Some(known) = known {
      let basis = Basis::Record(known.from, now - known.at);
      return self.decide_build(ticket, Some(known.build), basis);
    }
    if let Some(attempt) = resumption.attempt
      && let Some(until) = self.question_until(ticket, attempt)
    {
      self.enqueue(ticket, until);
      return false;
    }
    let Some(request) = self.requests.get(&ticket) else {
      return false;
    };
    let only = self.streams.only_build(now, &request.descriptor.pool);
    let covered = self.knows_present(request, resumption);
    let until = wait_deadline(request);
    let knowledge = self.streams.confirmation.knowledge(request.arrived);
    let awaits_present = !covered && knowledge == Knowledge::Unconfirmed;
    let awaits_past = covered && self.streams.awaits_past(now);
    if only.is_some() && now < until && (awaits_present || awaits_past) {
      if awaits_present {
        self.request_confirmation();
      }
      self.enqueue(ticket, until);
      return false;
    }
    let (build, basis) = match (only, covered) {
      (None, _) => (None, Basis::SeveralBuilds),
      (Some(_), false) => (None, Basis::OldList),
      (Some(_), true) if !self.streams.knows_past(now) => (None, Basis::UnknownPast),
      (only, true) => (only, Basis::OnlyBuild),
    };
    self.decide_build(ticket, build, basis)
  }

  /// Whether the builds of the time at which a stream began are known, which nobody knows. The store
  /// has confirmed them since; or the list of servers is new, and no instance that may know of
  /// another build is partitioned from this one. Those that have just started know only the present,
  /// so their answers count only if the store does not respond in time.
  fn knows_present(&self, request: &Request, resumption: Resumption) -> bool {
    if !self.list_complete {
      return false;
    }
    let knowledge = self.streams.confirmation.knowledge(request.arrived);
    if knowledge == Knowledge::Confirmed {
      return true;
    }
    let others = self.instances.saturating_sub(1);
    let question = request.question.as_ref();
    let answers = question.map_or(0, |question| question.unknown_to.len());
    let is_young = question.is_some_and(|question| question.has_young_answer);
    let is_unavailable = knowledge == Knowledge::Failed(Failure::Unavailable);
    let is_late = knowledge == Knowledge::Unconfirmed && self.now >= wait_deadline(request);
    let all_answer = match others {
      // Nobody else is known, so the store is asked first.
      0 => is_unavailable,
      _ if is_young => answers >= others.min(ASKED) && (is_unavailable || is_late),
      _ => answers >= others.min(ASKED),
    };
    let listed_at = request
      .arrived
      .saturating_sub(resumption.list_age_ms.unwrap_or_default());
    let is_outage = self.streams.has_all_instances_since(listed_at);
    let waited_ms = self.now - request.arrived;
    all_answer && resumption.has_fresh_list(waited_ms, is_outage)
  }

  fn request_confirmation(&mut self) {
    self.streams.confirmation.request();
    self.out.push(Effect::ExchangeBuilds);
  }

  /// Until when an answer to the question about an attempt is awaited, in ms; `None` if no more
  /// answers are expected. Sends the question if it is due.
  fn question_until(&mut self, ticket: Ticket, attempt: Key) -> Option<u64> {
    let (now, others) = (self.now, self.instances.saturating_sub(1));
    let last_round_at = self.last_round_at(ticket).filter(|at| now < *at);
    let request = self.requests.get_mut(&ticket)?;
    let question = request.question.get_or_insert(Question {
      until: 0,
      rounds: 0,
      unknown_to: Vec::new(),
      has_young_answer: false,
    });
    if last_round_at.is_none() && question.unknown_to.len() >= others.min(ASKED) {
      return None;
    }
    if now < question.until {
      return Some(question.until);
    }
    if question.rounds >= ROUNDS {
      return None;
    }
    question.rounds = match last_round_at {
      Some(_) => ROUNDS - 1,
      None => question.rounds + 1,
    };
    let until = now + ANSWER_MS;
    let until = last_round_at.map_or(until, |at| until.min(at));
    question.until = until;
    let unanswered = question.rounds > 1;
    let pool = &request.descriptor.pool;
    if unanswered && self.streams.only_build(now, pool).is_some() {
      self.streams.confirmation.request();
    }
    self.streams.ask(attempt);
    self.out.push(Effect::ExchangeBuilds);
    Some(until)
  }

  /// Until when the question about a stream that may be of several builds is repeated, in ms, because
  /// instances that are to be asked are not known yet: one that has just started knows none.
  fn last_round_at(&self, ticket: Ticket) -> Option<u64> {
    let request = self.requests.get(&ticket)?;
    let pool = &request.descriptor.pool;
    let several = self.streams.only_build(self.now, pool).is_none();
    let last_round_at = wait_deadline(request).saturating_sub(ANSWER_MS);
    (several && self.streams.misses_instances()).then_some(last_round_at)
  }

  fn decide_build(&mut self, ticket: Ticket, build: Option<Id>, basis: Basis) -> bool {
    let now = self.now;
    let watched_ms = self.streams.watched_ms(now);
    let Some(request) = self.requests.get_mut(&ticket) else {
      return false;
    };
    let resumption = request.descriptor.resumption;
    request.build = build;
    let question = request.question.take();
    self.out.push(Effect::Resumption(Decision {
      request: request.descriptor.id.clone(),
      build,
      basis,
      took_ms: now - request.arrived,
      unknown_to: question
        .as_ref()
        .map_or(0, |question| question.unknown_to.len()),
      has_young_answer: question.is_some_and(|question| question.has_young_answer),
      watched_ms,
      list_age_ms: resumption.and_then(|resumption| resumption.list_age_ms),
    }));
    match build {
      Some(build) => self.move_to_build(ticket, build),
      None => self.refuse(ticket, Reason::BuildUnknown),
    }
    build.is_some()
  }

  /// Moves a request to a pool of its route that has servers of a build, if its own has none: the
  /// route's parts are drawn anew for each attempt of a caller.
  fn move_to_build(&mut self, ticket: Ticket, build: Id) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let descriptor = &request.descriptor;
    let has_build = |pool: &str| {
      let mut backends = self.backends.values();
      backends.any(|backend| {
        backend.spec.pool == pool && !backend.is_leaving() && build.matches(backend.spec.build)
      })
    };
    if has_build(&descriptor.pool) {
      return;
    }
    let parts = descriptor.route.parts.iter().filter(|part| part.weight > 0);
    let mut pools = parts.map(|part| &part.pool);
    let Some(pool) = pools.find(|pool| has_build(pool)).cloned() else {
      return;
    };
    if let Some(request) = self.requests.get_mut(&ticket) {
      request.descriptor.pool = pool;
    }
  }

  /// Processes what another instance answered, or sent on its own.
  pub(crate) fn receive_builds(&mut self, from: SocketAddr, known: &[super::Record]) {
    for record in known {
      self.streams.receive(self.now, *record, from);
    }
    let attempts: Vec<Key> = known.iter().map(|record| record.attempt).collect();
    for ticket in self.asking(&attempts) {
      self.dispatch(ticket);
    }
  }

  /// Processes that another instance does not know these attempts, and whether it has run for longer
  /// than streams last.
  pub(crate) fn receive_unknown(
    &mut self,
    from: SocketAddr,
    attempts: &[Key],
    outlasts_streams: bool,
  ) {
    for ticket in self.asking(attempts) {
      let request = self.requests.get_mut(&ticket);
      if let Some(question) = request.and_then(|request| request.question.as_mut()) {
        question.has_young_answer |= !outlasts_streams;
        if !question.unknown_to.contains(&from) {
          question.unknown_to.push(from);
        }
      }
      self.dispatch(ticket);
    }
  }

  /// Requests that wait for answers about one of these attempts.
  fn asking(&self, attempts: &[Key]) -> Vec<Ticket> {
    let asking = self.waiting_requests().filter(|request| {
      let resumption = request.descriptor.resumption;
      let attempt = resumption.and_then(|resumption| resumption.attempt);
      request.question.is_some() && attempt.is_some_and(|key| attempts.contains(&key))
    });
    asking.map(|request| request.descriptor.ticket).collect()
  }

  /// Adds builds that were stored for instances that start later.
  pub(crate) fn add_build_history(&mut self, history: &super::history::Known) {
    self.streams.end_wait();
    if self.streams.add_history(self.now, history) {
      self.out.push(Effect::ExchangeBuilds);
    }
    self.dispatch_waiting();
  }

  /// Updates the builds of the pools after servers changed.
  pub(crate) fn update_builds(&mut self) {
    if self.list_complete {
      self.streams.watch(self.now);
    }
    let by_id = self.by_id.values();
    let specs = by_id.filter_map(|key| Some(&self.backends.get(*key)?.spec));
    let servers = specs.map(|spec| (spec.pool.as_str(), spec.build));
    if self.streams.update_pools(self.now, servers) {
      self.out.push(Effect::ExchangeBuilds);
    }
  }
}

impl State {
  /// Updates the pools of the routes after the deployment changed.
  pub(crate) fn update_build_routes(&mut self, deployment: &Deployment) {
    let routes = deployment.routes.iter();
    let resumable = routes.filter(|route| route.stream.is_some_and(|stream| stream.resumable));
    let parts = resumable.flat_map(|route| {
      let parts = route.parts.iter();
      parts.map(|part| (route.name.as_str(), part.pool.as_str()))
    });
    if self.streams.update_routes(self.now, parts) {
      self.out.push(Effect::ExchangeBuilds);
    }
  }

  /// Records the builds of servers in changes, of which later ones may undo earlier ones.
  pub(crate) fn record_passing_builds(&mut self, changes: &[Change]) {
    // A further list does not show builds that came and went since the changes that were read last.
    if self.listed
      && changes
        .iter()
        .any(|change| matches!(change, Change::All(_)))
    {
      self.streams.interrupt_watch(self.now);
      self.out.push(Effect::ExchangeBuilds);
    }
    let specs = changes.iter().filter_map(|change| match change {
      Change::Set(spec) => Some((spec.pool.as_str(), spec.build)),
      Change::All(_) | Change::Part(_) | Change::Removed(_) | Change::Invalid(_) => None,
    });
    self.record_passing(specs);
  }

  /// Records the builds of servers that may have left again.
  pub(super) fn record_passing<'a>(&mut self, servers: impl Iterator<Item = (&'a str, Id)>) {
    if self.streams.record_passing(self.now, servers) {
      self.out.push(Effect::ExchangeBuilds);
    }
  }
}

impl Resumption {
  /// The resumption that a caller's headers state; `None` if it has no events yet.
  pub fn parse(
    last_event: Option<&str>,
    attempt: Option<&str>,
    list_age: Option<Duration>,
    store_age: Option<Duration>,
  ) -> Option<Self> {
    let ms = |age: Duration| age.as_millis() as u64;
    last_event.map(|_| Self {
      attempt: attempt.map(Key::of),
      list_age_ms: list_age.map(ms),
      store_age_ms: store_age.map(ms),
    })
  }
}
