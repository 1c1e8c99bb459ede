//! The reducer for routed requests: admission, server selection, retries and refusals.
//!
//! It takes events with timestamps and returns effects. The surrounding threads execute the
//! effects and make no decisions of their own.

mod charge;
pub mod choice;
mod ending;
mod event;
mod refuse;
mod send;
mod stalled;
mod wait;

pub use event::{Attempt, Change, Descriptor, Effect, End, Event};
pub(crate) use wait::queue_key;

use crate::{
  backend::{self, Backend, Holding},
  build::{self, resume::Question, streams::Streams},
  cold::Deferrals,
  concurrency::{Brittle, Reports},
  crash::{Admission, Filter, Permit, part, served::Served},
  customer::Scheduler,
  demand::Model,
  deployment::{Deployment, Engine},
  expiry::Expiry,
  feature::Features,
  limit::{Choice, Limits},
  pace::{samples::Samples, table::Table},
  quota::{self, Balances},
  refusal::Reason,
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
  /// Whether the last list was complete.
  pub list_complete: bool,
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
  /// When the first of the servers that were found replaced no longer counts as such, in ms.
  pub(crate) replaced_end: Option<u64>,
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
      list_complete: false,
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
      replaced_end: None,
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

  /// Applies an event and returns the resulting effects.
  pub fn reduce(&mut self, now: u64, event: Event) -> Vec<Effect> {
    self.now = now;
    self.expire_loads();
    // Entries that this event restores must not be dropped first.
    if !matches!(event, Event::Servers(_)) {
      self.drop_missing();
    }
    self.end_replaced();
    match event {
      Event::Deployed(deployment) => self.on_deployed(deployment),
      Event::Servers(changes) => self.update_servers(changes),
      Event::Updated {
        holdings,
        group,
        loads,
        instances,
      } => {
        let were_known = self.planner_seen_at > 0;
        if were_known && instances < self.instances {
          self.streams.record_lost_instances(now);
        }
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
      Event::BuildsConfirmed { as_of, servers } => self.confirm_builds(as_of, servers),
      Event::RecordsRead => self.records_read = true,
      Event::QuotaUsage(sums) => self.quotas.receive_sums(now, &sums),
      Event::Granted { sent, grants } => {
        let grants = self.receive_slots(sent, grants);
        self.quotas.receive_grants(now, sent, &grants);
        self.dispatch_waiting();
      }
      Event::LimitAnnounced { ticket, rate } => self.record_announced_limit(ticket, rate),
      Event::Statements(statements) => self.receive_statements(&statements),
      Event::RecordedStatements(statements) => self.receive_recorded(&statements),
      Event::Brittle { server, max, sent } => {
        let at = if max.is_some() { now } else { sent };
        self.receive_brittle(server, max, at, true);
      }
      Event::Leaving(server) => self.receive_leaving(server, now, true),
      Event::Backoff { server, backoff_ms } => self.receive_backoff(server, backoff_ms),
      Event::TrialAccepted(server) => self.record_trial_accepted(server),
      Event::Builds { from, records } => self.receive_builds(from, &records),
      Event::BuildsUnknown {
        from,
        attempts,
        outlasts_streams,
      } => self.receive_unknown(from, &attempts, outlasts_streams),
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

  /// Time in milliseconds until which the last published holdings are valid.
  pub(crate) fn holdings_valid_until(&self) -> u64 {
    self.planner_seen_at + HOLDINGS_VALID_MS
  }

  pub(crate) fn engine(&self, pool: &str) -> Option<&Engine> {
    let pool = self.deployment.as_ref()?.pools.get(pool)?;
    pool.engine.as_deref()
  }
}
