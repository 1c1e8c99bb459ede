//! The reducer for routed requests: admission, server selection, retries and refusals.
//!
//! It takes events with timestamps and returns effects. The surrounding threads execute the
//! effects and make no decisions of their own.

pub mod choice;
mod ending;
mod event;
mod stalled;

pub use event::{Attempt, Change, Descriptor, Effect, End, Event};

use crate::{
  backend::{self, Backend, Holding},
  build::{self, resume::Question, streams::Streams},
  cold::{Deferrals, give_up_at},
  concurrency::{Brittle, Reports},
  crash::{Admission, Filter, Permit, part, served::Served},
  customer::Scheduler,
  demand::Model,
  deployment::{Deployment, Engine},
  expiry::Expiry,
  feature::Features,
  limit::{Choice, Limits},
  pace::{samples::Samples, table::Table},
  quota::{self, Allowance, Balances, Decision, Use},
  refusal::{Reason, Refusal},
  request::Ticket,
  restored::Restored,
  retry::{Bound, Budget, Share},
  samples::{self, Counted},
  statement::{Backoffs, Leaving},
  strain::Totals,
  verdict::Verdict,
  wall,
};
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;
use std::{
  collections::{BTreeMap, BTreeSet, HashMap},
  sync::Arc,
};

/// Interval at which a waiting request is checked again if nothing changes.
pub(crate) const RECHECK_MS: u64 = 100;
/// Additional sends beyond a route's attempts, to make up for declined sends.
const MAX_DECLINED_SENDS: u32 = 4;
/// How long published holdings are valid. The planner publishes every half second, and a server's
/// own entry takes about two seconds to show a change.
const HOLDINGS_VALID_MS: u64 = 2_500;
/// An instance that has lost the store and has received no planner update for this long cannot
/// get models loaded. A planner publishes every half second, even while it may not issue orders.
const ISOLATED_MS: u64 = 1_800;
/// Default retry-after of a refusal. A load from a server's disk takes about as long.
const RETRY_AFTER_MS: u64 = 500;

/// State of a request between its arrival and its final response. Times are in milliseconds.
#[derive(Clone, Debug)]
pub struct Request {
  pub descriptor: Descriptor,
  pub sends: u32,
  /// Sends beside a stalled run that no server has run; they do not count among those that servers
  /// may decline.
  pub(crate) uncounted_sends: u32,
  /// Number of sends that servers may have run.
  pub runs: u32,
  pub backend: Option<backend::Key>,
  pub tried: Vec<backend::Key>,
  pub verdict: Verdict,
  pub arrived: u64,
  /// Since when the request has been waiting for a server.
  pub waiting_since: Option<u64>,
  /// When the request was last sent.
  pub(crate) sent: u64,
  /// Whether any part of a response has arrived, and whether it is one that no other run can
  /// continue.
  pub(crate) response_started: bool,
  plain_started: bool,
  /// When the current send delivered its first event.
  pub(crate) first_event_at: Option<u64>,
  /// Whether a retry was allowed that has not been sent yet.
  pub(crate) retry_pending: bool,
  /// Whether the next send is a retry that the budget has not allowed yet.
  awaits_budget: bool,
  /// When a run of the request last ended without a response.
  pub(crate) failed_at: u64,
  /// Whether the request's units are charged to its customer's quota.
  quota_charged: bool,
  /// When those units were requested.
  quota_requested_at: Option<u64>,
  /// Fair queuing tag of the request while it waits.
  tag: Option<u64>,
  /// The unit of a server's limit that the current send has taken.
  pub(crate) limit_unit: Option<quota::Id>,
  /// Permits held by a request that may crash servers: its own and the server's.
  pub(crate) permits: Vec<quota::Id>,
  /// The quota unit that was requested, and when.
  pub(crate) pending_unit: Option<(quota::Id, u64)>,
  /// Tokens that the request holds at its server.
  pub(crate) held: Option<choice::memory::Held>,
  /// The run whose stream has stalled and that no other server has continued yet.
  pub(crate) stalled: Option<stalled::Run>,
  pub(crate) counted: Counted,
  /// The build of the server of the current send.
  pub(crate) sent_build: Option<build::Id>,
  /// The build at which the caller's stream began; `None` before its first event.
  pub(crate) build: Option<build::Id>,
  /// The question to other instances about that build.
  pub(crate) question: Option<Question>,
}

/// The state on which decisions about routed requests are based. Times are in milliseconds.
pub struct State {
  pub zone: String,
  pub features: Features,
  pub retry_bound: Bound,
  pub deployment: Option<Arc<Deployment>>,
  pub backends: SlotMap<backend::Key, Backend>,
  pub by_id: HashMap<String, backend::Key>,
  /// Whether the list of servers was read at least once.
  pub listed: bool,
  /// Whether the quarantined requests were read from the store.
  pub records_read: bool,
  /// Number of changes of the deployment and of servers.
  pub changes: u64,
  pub requests: HashMap<Ticket, Request>,
  /// Waiting requests, by priority and then by fair queuing tag or deadline.
  pub waiting: BTreeSet<(u8, u64, Ticket)>,
  /// Number of requests at servers, by server and model.
  pub running: BTreeMap<(backend::Key, Model), u32>,
  pub budgets: BTreeMap<String, Budget>,
  /// This instance's share of the budgets' slack.
  pub retry_share: Share,
  /// Number of instances.
  pub instances: usize,
  /// Requests that arrive from this time on are refused because their responses might be cut off.
  accept_until: u64,
  /// Requests that still wait at this time are refused because the process is about to exit: those
  /// whose answer has not begun, and all.
  refuse_waiting_at: u64,
  end_at: u64,
  /// When the last planner update arrived; 0 if none has arrived.
  pub planner_seen_at: u64,
  pub(crate) expiry: Expiry,
  pub(crate) restored: Restored,
  /// Demand of callers that were refused with a Retry-After.
  pub(crate) deferrals: Deferrals,
  /// How slow servers were for each model since the last report.
  pub(crate) strain: Totals,
  /// Measures of servers' pace since the last report, and published paces.
  pub(crate) pace_samples: Samples,
  pub(crate) paces: Table,
  /// What callers saw since the last report.
  pub(crate) samples: samples::Totals,
  /// Holdings of servers whose entries have not been read yet, with the time of their arrival.
  pub(crate) early_holdings: BTreeMap<String, (Holding, u64)>,
  /// Number of changes of published holdings.
  pub updates: u64,
  /// Decides whether requests that may crash servers are sent.
  crash_filter: Filter,
  /// Parts of prompts in crashes that are not reported yet.
  part_crashes: Vec<part::Crash>,
  /// Contents and parts that were served.
  served: Served,
  /// What servers stated in their responses: limits, whether they are leaving, and backoffs.
  pub(crate) limits: Limits,
  pub(crate) leaving: Leaving,
  pub(crate) backoffs: Backoffs,
  pub(crate) brittle: Brittle,
  pub(crate) slot_reports: Reports,
  /// Selects the servers of which this instance has a slot while no holder responds.
  pub(crate) seed: u64,
  /// The builds at which streams began.
  pub streams: Streams,
  /// Relates the clock of events to the time in which servers state their start.
  pub wall: wall::Clock,
  /// Quota units that this instance may use.
  pub(crate) quotas: Balances,
  /// The bound on customers' quotas that all instances together keep.
  quota_bound: quota::Bound,
  fair_queue: Scheduler,
  /// Whether permits were released since the last report.
  pub(crate) permits_released: bool,
  rng: SmallRng,
  /// What was learned from own requests, by pool.
  pub(crate) learned: BTreeMap<String, choice::learned::Learned>,
  /// When loads of servers were last published, in ms; `None` once they are too old to count.
  pub(crate) loads_at: Option<u64>,
  /// Published numbers of requests that wait for the models of a server, by its short hash.
  pub(crate) published_waiting: BTreeMap<u32, u16>,
  pub(crate) now: u64,
  pub(crate) out: Vec<Effect>,
}

/// Number of instances assumed until the planner has published it.
const DEFAULT_INSTANCES: usize = 8;

impl State {
  /// The initial state of an instance.
  pub fn new(zone: &str, bound: Bound, seed: u64) -> Self {
    Self {
      zone: zone.into(),
      features: Features::default(),
      retry_bound: bound,
      deployment: None,
      backends: SlotMap::with_key(),
      by_id: HashMap::new(),
      listed: false,
      records_read: false,
      changes: 0,
      requests: HashMap::new(),
      waiting: BTreeSet::new(),
      running: BTreeMap::new(),
      budgets: BTreeMap::new(),
      retry_share: Share::default(),
      instances: DEFAULT_INSTANCES,
      accept_until: u64::MAX,
      refuse_waiting_at: u64::MAX,
      end_at: u64::MAX,
      planner_seen_at: 0,
      expiry: Expiry::default(),
      restored: Restored::default(),
      deferrals: Deferrals::new(),
      strain: Totals::new(),
      pace_samples: Samples::default(),
      paces: Table::default(),
      samples: samples::Totals::default(),
      early_holdings: BTreeMap::new(),
      updates: 0,
      crash_filter: Filter::default(),
      part_crashes: Vec::new(),
      served: Served::default(),
      limits: Limits::default(),
      leaving: Leaving::default(),
      backoffs: Backoffs::default(),
      brittle: Brittle::default(),
      slot_reports: Reports::default(),
      seed,
      streams: Streams::default(),
      wall: wall::Clock::default(),
      quotas: Balances::new(seed),
      quota_bound: quota::DEFAULT_BOUND,
      fair_queue: Scheduler::default(),
      permits_released: false,
      rng: SmallRng::seed_from_u64(seed),
      learned: BTreeMap::new(),
      loads_at: None,
      published_waiting: BTreeMap::new(),
      now: 0,
      out: Vec::new(),
    }
  }

  /// Whether requests can be served.
  pub fn ready(&self) -> bool {
    self.deployment.is_some() && self.listed && self.records_read
  }

  /// Applies an event and returns the resulting effects.
  pub fn reduce(&mut self, now: u64, event: Event) -> Vec<Effect> {
    self.now = now;
    self.expire_loads();
    // Entries that this event restores must not be dropped first.
    if !matches!(event, Event::Servers(_)) {
      self.drop_missing();
    }
    match event {
      Event::Deployed(deployment) => self.on_deployed(deployment),
      Event::Servers(changes) => self.update_servers(changes),
      Event::Updated {
        holdings,
        group,
        loads,
        instances,
      } => {
        self.instances = instances.max(1);
        let bound = self.retry_bound;
        self
          .retry_share
          .record_fleet_size(now, &bound, self.instances);
        self.planner_seen_at = now;
        if let Some(loads) = loads {
          self.update_loads(&loads);
          self.divide_room();
        }
        self.receive_holdings(holdings, group);
      }
      Event::Arrived(descriptor) => self.on_arrived(descriptor),
      Event::Ended { ticket, end } => self.on_ended(ticket, end),
      Event::ResponseStarted(ticket) => {
        self.record_build(ticket);
        self.record_first_event(ticket);
        self.record_answer_start(ticket);
      }
      Event::PlainStarted(ticket) => self.on_plain_started(ticket),
      Event::Recheck(ticket) => self.dispatch(ticket),
      Event::CallerGone(ticket) => self.on_caller_gone(ticket),
      Event::StoreLost => self.expiry.store_lost(now),
      Event::StoreBack(outage) => self.store_back(&outage),
      Event::StoreRestored => {
        self.restored.record_restore(now);
        self.expiry.store_restored(now);
      }
      Event::StoreCurrent => self.expiry.store_current(),
      Event::StreamEnded { ticket, pause_ms } => self.observe_stream(ticket, pause_ms),
      Event::Resumed(ticket) => {
        self.record_first_event(ticket);
        self.end_stalled_run(ticket);
      }
      Event::Continued(ticket) => self.on_continued(ticket),
      Event::StalledRunLost(ticket) => self.end_stalled_run(ticket),
      Event::Measured(ticket, ms) => self.record_pace(ticket, ms),
      Event::Paces(paces) => self.receive_paces(&paces),
      Event::Waiting(waiting) => self.published_waiting = waiting.into_iter().collect(),
      Event::Streamed { ticket, gap_ms } => self.learn_gap(ticket, gap_ms),
      Event::Quarantined(entries) => {
        self.crash_filter.update_quarantine(now, &entries);
        self.dispatch_waiting();
      }
      Event::ServedQuestions(questions) => {
        if self.served.ask(now, &questions) {
          self.out.push(Effect::ReportCrashes);
        }
      }
      Event::BuildHistory(history) => self.add_build_history(&history),
      Event::BuildsUnwatched => self.streams.interrupt_watch(now),
      Event::RecordsRead => self.records_read = true,
      Event::QuotaUsage(sums) => self.quotas.receive_sums(now, &sums),
      Event::Granted { sent, grants } => {
        let grants = self.receive_slots(sent, grants);
        self.quotas.receive_grants(now, sent, &grants);
        self.dispatch_waiting();
      }
      Event::LimitAnnounced { ticket, rate } => self.record_announced_limit(ticket, rate),
      Event::Statements(statements) => self.receive_statements(&statements),
      Event::Brittle { server, max, sent } => {
        let at = if max.is_some() { now } else { sent };
        self.receive_brittle(server, max, at, true);
      }
      Event::Leaving(server) => self.receive_leaving(server, now, true),
      Event::Backoff { server, backoff_ms } => self.receive_backoff(server, backoff_ms),
      Event::TrialAccepted(server) => self.record_trial_accepted(server),
      Event::Builds { from, records } => self.receive_builds(from, &records),
      Event::BuildsUnknown { from, attempts } => self.receive_unknown(from, &attempts),
      Event::Suspected(entries) => self.crash_filter.update_suspects(now, &entries),
      Event::Stopping {
        accept_until,
        refuse_waiting_at,
        end_at,
      } => {
        self.accept_until = accept_until;
        self.refuse_waiting_at = refuse_waiting_at;
        self.end_at = end_at;
      }
    }
    std::mem::take(&mut self.out)
  }

  fn on_deployed(&mut self, deployment: Arc<Deployment>) {
    let newer = |old: &Arc<Deployment>| old.version < deployment.version;
    if self.deployment.as_ref().is_none_or(newer) {
      self.update_build_routes(&deployment);
      self.deployment = Some(deployment);
      self.changes += 1;
      self.dispatch_waiting();
    }
  }

  fn on_arrived(&mut self, descriptor: Descriptor) {
    let (now, bound) = (self.now, self.retry_bound);
    self.budget(&descriptor.pool).record_request(now, &bound);
    let ticket = descriptor.ticket;
    let request = Request {
      descriptor,
      sends: 0,
      uncounted_sends: 0,
      runs: 0,
      backend: None,
      tried: Vec::new(),
      verdict: Verdict::NotRun,
      arrived: self.now,
      waiting_since: None,
      sent: 0,
      response_started: false,
      plain_started: false,
      first_event_at: None,
      retry_pending: false,
      awaits_budget: false,
      failed_at: 0,
      quota_charged: false,
      quota_requested_at: None,
      tag: None,
      limit_unit: None,
      permits: Vec::new(),
      pending_unit: None,
      held: None,
      stalled: None,
      counted: Counted::default(),
      sent_build: None,
      build: None,
      question: None,
    };
    self.learn_arrival(&request.descriptor);
    self.requests.insert(ticket, request);
    if self.now >= self.accept_until {
      return self.refuse(ticket, Reason::Stopping);
    }
    if self.goes_after_waiting(ticket) {
      self.dispatch_waiting();
    }
    self.dispatch(ticket);
  }

  /// Handles a caller that disconnected. A send that its thread has not picked up yet is cancelled.
  fn on_caller_gone(&mut self, ticket: Ticket) {
    self.observe_departure(ticket);
    let decided = self
      .requests
      .get_mut(&ticket)
      .and_then(|request| Some((request.backend.take()?, request.descriptor.model.clone())));
    self.release_tokens(ticket);
    if let Some((key, model)) = decided {
      self.finish_send(key, model, End::Left);
    }
    self.forget(ticket);
  }

  fn forget(&mut self, ticket: Ticket) {
    self.release_permits(ticket, None);
    self.end_stalled_run(ticket);
    let Some(request) = self.requests.remove(&ticket) else {
      return;
    };
    self.waiting.remove(&queue_key(&request));
    if request.retry_pending {
      self.budget(&request.descriptor.pool).cancel();
    }
    if let (true, Verdict::NotRun, Some(caller)) = (
      request.quota_charged,
      request.verdict,
      request.descriptor.caller,
    ) {
      self.quotas.refund(caller.customer, caller.cost);
    }
  }

  /// Charges a request to its customer's quota. Returns whether it may proceed now.
  fn charge_quota(&mut self, ticket: Ticket) -> bool {
    let now = self.now;
    let customers = self.deployment.as_ref();
    let customers = customers.and_then(|deployment| deployment.customers.clone());
    let Some(request) = self.requests.get_mut(&ticket) else {
      return false;
    };
    let quota = match (request.quota_charged, request.descriptor.caller, customers) {
      (false, Some(caller), Some(book)) => {
        let customer = book.get(caller.customer);
        customer.and_then(|customer| Some((caller, customer.quota?)))
      }
      _ => None,
    };
    let Some((caller, quota)) = quota else {
      request.quota_charged = true;
      return true;
    };
    let allowance = Allowance {
      quota,
      bound: self.quota_bound,
    };
    let customer = (caller.customer, &allowance);
    let requested_at = request.quota_requested_at;
    match self
      .quotas
      .acquire(now, customer, caller.cost, requested_at, self.instances)
    {
      Decision::Granted => {
        request.quota_charged = true;
        true
      }
      Decision::Pending(until) => {
        let new = request.quota_requested_at.is_none();
        request.quota_requested_at.get_or_insert(now);
        let until = until
          .min(request.descriptor.deadline)
          .min(now + quota::GRANT_RETRY_MS);
        self.enqueue(ticket, until);
        if new {
          self.out.push(Effect::RequestQuota);
        }
        false
      }
      Decision::Exceeded(shortage) => {
        let returns = self.features.returns;
        if returns {
          let (id, cost) = (caller.customer, caller.cost);
          self.quotas.promise(id, cost, quota.rate, self.instances);
        }
        // A caller that would come back too late is not invited.
        let in_time = now + shortage.retry_after < request.descriptor.deadline;
        let retry_after = (!returns || in_time).then_some(shortage.retry_after);
        let refusal = Refusal {
          reason: Reason::QuotaExceeded,
          verdict: request.verdict,
          retry_after,
          shortage: Some(shortage),
        };
        self.out.push(Effect::Refuse(ticket, refusal));
        self.forget(ticket);
        false
      }
    }
  }

  /// Adds a request to the waiting requests and schedules its next check for `until`.
  pub(crate) fn enqueue(&mut self, ticket: Ticket, until: u64) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if let (None, Some(caller)) = (request.tag, request.descriptor.caller) {
      request.tag = Some(self.fair_queue.tag(caller.customer, caller.cost));
    }
    self.waiting.insert(queue_key(request));
    self.out.push(Effect::Wait(ticket, until));
  }

  /// Whether any request waits for a unit of a limit or for a permit.
  pub fn needs_units(&self) -> bool {
    let mut waiting = self.waiting.iter();
    waiting.any(|(.., ticket)| self.requests[ticket].pending_unit.is_some())
  }

  /// Quota units that this instance uses and needs, for the lease holder.
  pub fn uses(&mut self, now: u64) -> Vec<Use> {
    let needs = self.needs();
    self.quotas.uses(now, &needs)
  }

  /// Units and slots that waiting requests need.
  pub(crate) fn needs(&self) -> HashMap<quota::Id, u32> {
    let mut needs: HashMap<quota::Id, u32> = HashMap::new();
    for (.., ticket) in &self.waiting {
      let request = &self.requests[ticket];
      if let (false, Some(caller)) = (request.quota_charged, request.descriptor.caller) {
        *needs.entry(caller.customer).or_default() += caller.cost;
      }
      if let Some((id, _)) = request.pending_unit {
        *needs.entry(id).or_default() += 1;
      }
    }
    needs
  }

  /// The limits that servers have announced, as known to this instance.
  pub fn limits(&self) -> &Limits {
    &self.limits
  }

  /// Sets the bound on customers' quotas that all instances together keep.
  pub fn set_quota_bound(&mut self, bound: quota::Bound) {
    self.quota_bound = bound;
  }

  /// The quota state of this instance.
  pub fn quotas(&self) -> &Balances {
    &self.quotas
  }

  pub(crate) fn refuse(&mut self, ticket: Ticket, reason: Reason) {
    self.refuse_with_retry_after(ticket, reason, RETRY_AFTER_MS);
  }

  /// Refuses a request; its caller may retry after `retry_after` milliseconds.
  pub(crate) fn refuse_with_retry_after(
    &mut self,
    ticket: Ticket,
    reason: Reason,
    retry_after: u64,
  ) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let refusal = Refusal {
      reason,
      verdict: request.verdict,
      retry_after: Some(retry_after),
      shortage: None,
    };
    self.out.push(Effect::Refuse(ticket, refusal));
    self.forget(ticket);
  }

  pub(crate) fn dispatch_waiting(&mut self) {
    let tickets: Vec<Ticket> = self.waiting.iter().map(|entry| entry.2).collect();
    for ticket in tickets {
      self.dispatch(ticket);
    }
  }

  /// Sends a request, lets it wait or refuses it.
  pub(crate) fn dispatch(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    if request.backend.is_some() {
      return;
    }
    if request.stalled.is_some() {
      return self.dispatch_stalled(ticket);
    }
    let pass = self.admission(&request.descriptor);
    if pass == Admission::Denied {
      return self.refuse_quarantined(ticket);
    }
    if self.now >= request.descriptor.deadline {
      return self.refuse(ticket, Reason::TooLate);
    }
    // An answer that has begun cannot be refused, only cut.
    let give_up_at = match request.response_started {
      true => self.end_at,
      false => self.refuse_waiting_at,
    };
    if self.now >= give_up_at {
      return self.refuse(ticket, Reason::Stopping);
    }
    let sends = request.sends - request.uncounted_sends;
    if sends >= request.descriptor.route.attempts + MAX_DECLINED_SENDS {
      return self.refuse(ticket, Reason::NoServer);
    }
    if request.awaits_budget && !self.reserve_retry(ticket) {
      return self.defer_retry(ticket);
    }
    if !self.resolve_build(ticket) || !self.charge_quota(ticket) {
      return;
    }
    let choice = match pass {
      Admission::Delayed(until) => return self.wait_for_turn(ticket, until),
      // Don't request a permit that could not be used.
      Admission::Isolated(_) if self.candidates(ticket).is_empty() => Choice::Unavailable,
      Admission::Isolated(crashes) => match self.acquire_permit(ticket, crashes) {
        Permit::Granted => self.choose_server(ticket, Some(crashes)),
        Permit::Requested(until) => return self.wait_for_turn(ticket, until),
        Permit::Taken => return self.wait_for_turn(ticket, self.now + quota::GRANT_RETRY_MS),
      },
      Admission::Allowed | Admission::Denied => self.choose_server(ticket, None),
    };
    match choice {
      Choice::Server(key) => self.send(ticket, key),
      Choice::Pending(until) => self.wait_for_unit(ticket, until),
      Choice::AtLimit(after) => self.wait_or_refuse(ticket, after),
      Choice::Unavailable => self.wait_for_server(ticket),
    }
  }

  /// Whether a request may be sent to a server, as far as it may crash servers.
  pub(crate) fn admission(&self, descriptor: &Descriptor) -> Admission {
    match self.is_quarantined(descriptor) {
      true => Admission::Denied,
      false => self.crash_filter.admission(self.now, descriptor.content),
    }
  }

  /// Whether a request, or a part of its prompt, was found to crash servers.
  pub(crate) fn is_quarantined(&self, descriptor: &Descriptor) -> bool {
    let mut keys = descriptor.parts.iter().chain([&descriptor.content]);
    keys.any(|key| self.crash_filter.is_quarantined(self.now, *key))
  }

  /// Lets a request wait for the requested unit of a server's limit.
  fn wait_for_unit(&mut self, ticket: Ticket, until: u64) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let until = until
      .min(request.descriptor.deadline)
      .min(self.now + quota::GRANT_RETRY_MS);
    self.enqueue(ticket, until);
  }

  /// Lets a request that may have caused crashes wait until it may run.
  fn wait_for_turn(&mut self, ticket: Ticket, turn_at: u64) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let give_up = give_up_at(request);
    if self.now >= give_up {
      return self.refuse(ticket, Reason::NoServer);
    }
    let deadline = request.descriptor.deadline.min(self.end_at);
    let until = deadline.min(give_up).min(turn_at);
    self.enqueue(ticket, until);
  }

  /// Records that the caller receives the start of a plain response.
  fn on_plain_started(&mut self, ticket: Ticket) {
    self.record_first_event(ticket);
    self.record_answer_start(ticket);
    if let Some(request) = self.requests.get_mut(&ticket) {
      request.plain_started = true;
    }
  }

  /// Records the first event of the current send.
  fn record_first_event(&mut self, ticket: Ticket) {
    let now = self.now;
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if request.first_event_at.is_some() {
      return;
    }
    request.first_event_at = Some(now);
    self.learn_first(ticket);
    self.prompt_was_read(ticket);
  }

  pub(crate) fn wait_for_server(&mut self, ticket: Ticket) {
    self.count_arrival(ticket);
    let now = self.now;
    let planner_silent = self.planner_seen_at > 0 && now > self.planner_seen_at + ISOLATED_MS;
    let isolated = planner_silent && self.expiry.is_store_lost();
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if isolated && request.descriptor.model.is_some() && request.verdict == Verdict::NotRun {
      // No planner receives the demand of this instance; another instance may serve the request.
      return self.refuse(ticket, Reason::NoServer);
    }
    let new = request.waiting_since.is_none();
    request.waiting_since.get_or_insert(now);
    let give_up = give_up_at(request);
    let request = request.clone();
    if self.failed_everywhere(&request) {
      return self.refuse(ticket, Reason::ServerFailed);
    }
    if self.build_is_gone(&request) {
      return self.refuse(ticket, Reason::BuildGone);
    }
    if let Some(retry_after) = self.retry_after_backoff_ms(&request) {
      self.add_deferral(&request.descriptor, retry_after);
      self.out.push(Effect::ReportDemand);
      return self.refuse_with_retry_after(ticket, Reason::ServerRest, retry_after);
    }
    if let Some(retry_after) = self.retry_after_ms(&request) {
      self.add_deferral(&request.descriptor, retry_after);
      self.out.push(Effect::ReportDemand);
      return self.refuse_with_retry_after(ticket, Reason::Loading, retry_after);
    }
    if now >= give_up {
      return self.refuse(ticket, Reason::NoServer);
    }
    if let Some(retry_after) = self.retry_after_room_ms(&request) {
      // A deferral would count as a waiting request, and have others refused.
      if new {
        self.record_no_room(ticket);
      }
      return self.refuse_with_retry_after(ticket, Reason::NoServer, retry_after);
    }
    let until = request
      .descriptor
      .deadline
      .min(give_up)
      .min(now + RECHECK_MS);
    let needs_model = request.descriptor.model.is_some();
    self.enqueue(ticket, until);
    if new && self.waits_for_room(&request) {
      self.record_no_room(ticket);
    }
    if new && needs_model {
      self.out.push(Effect::ReportDemand);
    }
  }

  /// Whether a request has already run at each server that could take it, so that waiting would be
  /// pointless.
  fn failed_everywhere(&self, request: &Request) -> bool {
    let pool = &request.descriptor.pool;
    let untried = |(key, backend): (backend::Key, &Backend)| {
      backend.spec.pool == *pool
        && !backend.is_leaving()
        && request.accepts_build(backend.spec.build)
        && !request.tried.contains(&key)
    };
    !request.tried.is_empty() && !self.backends.iter().any(untried)
  }

  fn send(&mut self, ticket: Ticket, key: backend::Key) {
    let expected = self.expected(ticket, key);
    let tokens = self.stated_tokens(ticket);
    self.observe_send(ticket, key);
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    request.sends += 1;
    request.backend = Some(key);
    request.sent_build = Some(self.backends[key].spec.build);
    let retries = std::mem::take(&mut request.retry_pending);
    request.waiting_since = None;
    request.sent = self.now;
    request.first_event_at = None;
    let waiting_key = queue_key(request);
    if let Some(tag) = request.tag.take() {
      self.fair_queue.record_dispatch(tag);
    }
    let backend = &mut self.backends[key];
    backend.running += 1;
    if let Some(model) = &request.descriptor.model {
      *self.running.entry((key, model.clone())).or_default() += 1;
    }
    let limited = self.limits.rate(backend.spec.life()).is_some();
    let trial = self.backoffs.record_send(backend.spec.life(), self.now);
    let missing_since = backend.missing_since;
    let published_at = backend
      .holding
      .as_ref()
      .map(|_| backend.holding_received_at);
    let attempt = Attempt {
      ticket,
      expected_first_ms: expected.map(|(expected, _)| expected.first_ms as u32),
      expected_pause_ms: expected.map(|(expected, _)| expected.pause_ms as u32),
      expected_late: expected.map(|(_, lateness)| lateness),
      tokens,
      limited,
      trial,
      missing_ms: missing_since.map(|since| self.now.saturating_sub(since)),
      holding_ms: published_at.map(|at| self.now.saturating_sub(at)),
      backend: key,
      id: backend.spec.id.clone(),
      life: backend.spec.life(),
      build: backend.spec.build,
      address: backend.spec.address,
      number: request.sends,
    };
    let (now, pool) = (self.now, backend.spec.pool.clone());
    if retries {
      self.budget(&pool).record_sent(now);
    }
    self.waiting.remove(&waiting_key);
    self.hold_tokens(ticket, key);
    self.out.push(Effect::Send(attempt));
  }

  /// Refuses a request that crashes servers. It gets no Retry-After, so that its caller is not
  /// invited to retry.
  fn refuse_quarantined(&mut self, ticket: Ticket) {
    let refusal = Refusal {
      reason: Reason::Quarantined,
      // The same content has run under another request id.
      verdict: Verdict::MayHaveRun,
      retry_after: None,
      shortage: None,
    };
    self.out.push(Effect::Refuse(ticket, refusal));
    self.forget(ticket);
  }

  /// Time in milliseconds until which the last published holdings are valid.
  pub(crate) fn holdings_valid_until(&self) -> u64 {
    self.planner_seen_at + HOLDINGS_VALID_MS
  }

  /// The retry budget of a pool.
  fn budget(&mut self, pool: &str) -> &mut Budget {
    self.budgets.entry(pool.into()).or_default()
  }

  pub(crate) fn engine(&self, pool: &str) -> Option<&Engine> {
    let pool = self.deployment.as_ref()?.pools.get(pool)?;
    pool.engine.as_deref()
  }
}

/// Sort key of waiting requests: the priority, then the customer's fair queuing tag or, without a
/// customer, the deadline.
fn queue_key(request: &Request) -> (u8, u64, Ticket) {
  let descriptor = &request.descriptor;
  (
    descriptor.priority(),
    request.tag.unwrap_or(descriptor.deadline),
    descriptor.ticket,
  )
}
