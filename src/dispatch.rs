//! The reducer of routed requests: admission, choice of a backend server,
//! retries and refusals.
//!
//! Events go in with their time, effects come out; threads around it carry
//! effects out and hold no decision of their own.

mod choice;
mod ending;
mod event;

pub use event::{Attempt, Change, Descriptor, Effect, End, Event};

use crate::{
  backend::{self, Backend, Holding},
  cold::{Deferrals, give_up_at},
  crash::{Admission, Filter, Permit},
  customer::Turns,
  demand::Model,
  deployment::{Deployment, Engine},
  lapse::Expiry,
  limit::{Choice, Limits},
  quota::{self, Allowance, Purse, Spending, Use},
  refusal::{Reason, Refusal},
  request::Ticket,
  retry::{Bound, Budget},
  returned::Restored,
  statement::{Leaving, Rests},
  strain::Totals,
  verdict::Verdict,
};
use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;
use std::{
  collections::{BTreeMap, BTreeSet, HashMap},
  sync::Arc,
};

/// Pause before a waiting request is looked at again without a change, ms.
pub(crate) const RECHECK_MS: u64 = 100;
/// Sends beyond a route's attempts, for sends that were declined.
const DECLINED_MOST: u32 = 4;
/// Time for which published holdings count, ms: the planner publishes every half
/// second, and a server's own entry takes about two seconds to show a change.
const CURRENT_MS: u64 = 2_500;
/// An instance without the store that has heard of no planner for this long cannot
/// have models loaded, ms: a planner publishes every half second, also while it may not order.
const ISOLATED_MS: u64 = 1_800;
/// Time after which a refused caller may come back, ms: a load from a server's disk
/// takes about as long.
const RETRY_AFTER_MS: u64 = 500;

/// A request between arrival and its final answer.
#[derive(Clone, Debug)]
pub struct Request {
  pub descriptor: Descriptor,
  pub sends: u32,
  /// Sends that may have run.
  pub runs: u32,
  pub backend: Option<backend::Key>,
  pub tried: Vec<backend::Key>,
  pub verdict: Verdict,
  pub arrived: u64,
  /// It waits for a server since then, ms.
  pub waiting_since: Option<u64>,
  /// When it was last sent, ms.
  pub(crate) sent: u64,
  /// Something of an answer has come.
  pub(crate) response_started: bool,
  /// When the send under way brought its first event, ms.
  pub(crate) first_event_at: Option<u64>,
  /// When a run of it last ended without an answer, ms.
  pub(crate) failed_at: u64,
  /// Its units count in its customer's quota.
  paid: bool,
  /// They were asked for then, ms.
  asked: Option<u64>,
  /// Its place among those that wait.
  tag: Option<u64>,
  /// The unit of a server's limit that its send under way took.
  pub(crate) limit_unit: Option<quota::Id>,
  /// The leaves that it has, for itself and at a server: it may crash servers.
  pub(crate) permits: Vec<quota::Id>,
  /// The unit that it asked for, and since when, ms.
  pub(crate) pending_unit: Option<(quota::Id, u64)>,
}

/// Everything that routed requests are decided by.
pub struct State {
  pub zone: String,
  pub retry_bound: Bound,
  pub deployment: Option<Arc<Deployment>>,
  pub backends: SlotMap<backend::Key, Backend>,
  pub by_id: HashMap<String, backend::Key>,
  /// The servers were read at least once.
  pub listed: bool,
  /// What is kept from servers was read from the store.
  pub records_read: bool,
  /// Counts changes of the deployment and of servers.
  pub changes: u64,
  pub requests: HashMap<Ticket, Request>,
  /// Waiting requests: the most urgent first, then the one that ends first.
  pub waiting: BTreeSet<(u8, u64, Ticket)>,
  /// Requests sent, by server and model.
  pub running: BTreeMap<(backend::Key, Model), u32>,
  pub budgets: BTreeMap<String, Budget>,
  /// Instances that share the budget.
  pub instances: usize,
  /// Requests that arrive from this time on are refused: their answers might be
  /// cut off, ms.
  new_until: u64,
  /// Requests that wait at this time are refused: the process is to end, ms.
  stop_at: u64,
  /// When a planner was last heard of, ms.
  pub planner_seen_at: u64,
  pub(crate) expiry: Expiry,
  pub(crate) restored: Restored,
  /// What callers want that were sent away with a Retry-After.
  pub(crate) deferrals: Deferrals,
  /// How slow servers were for each model since the last report.
  pub(crate) strain: Totals,
  /// Holdings of servers whose entries were not read yet, and when they came, ms.
  pub(crate) early_holdings: BTreeMap<String, (Holding, u64)>,
  /// Counts changes of holdings that were published.
  pub updates: u64,
  /// Which requests pass to servers that they may crash.
  door: Filter,
  /// What servers said of themselves in their answers.
  pub(crate) limits: Limits,
  pub(crate) leaving: Leaving,
  pub(crate) backoffs: Rests,
  /// What this instance may use of quotas.
  pub(crate) quotas: Purse,
  /// What all instances keep of customers' quotas.
  quota_bound: quota::Bound,
  turns: Turns,
  /// Leaves were given back.
  pub(crate) permits_released: bool,
  rng: SmallRng,
  pub(crate) now: u64,
  pub(crate) out: Vec<Effect>,
}

/// Instances assumed until the planner has published how many there are.
const INSTANCES: usize = 8;

impl State {
  /// State of an instance that knows nothing yet.
  pub fn new(zone: &str, bound: Bound, seed: u64) -> Self {
    Self {
      zone: zone.into(),
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
      instances: INSTANCES,
      new_until: u64::MAX,
      stop_at: u64::MAX,
      planner_seen_at: 0,
      expiry: Expiry::default(),
      restored: Restored::default(),
      deferrals: Deferrals::new(),
      strain: Totals::new(),
      early_holdings: BTreeMap::new(),
      updates: 0,
      door: Filter::default(),
      limits: Limits::default(),
      leaving: Leaving::default(),
      backoffs: Rests::default(),
      quotas: Purse::open(seed),
      quota_bound: quota::BOUND,
      turns: Turns::default(),
      permits_released: false,
      rng: SmallRng::seed_from_u64(seed),
      now: 0,
      out: Vec::new(),
    }
  }

  /// Whether requests can be served.
  pub fn ready(&self) -> bool {
    self.deployment.is_some() && self.listed && self.records_read
  }

  /// Takes up an event; gives what is to be done.
  pub fn reduce(&mut self, now: u64, event: Event) -> Vec<Effect> {
    self.now = now;
    // An entry that a change brings back must not be dropped before it.
    if !matches!(event, Event::Servers(_)) {
      self.drop_lapsed();
    }
    match event {
      Event::Deployed(deployment) => self.deployed(deployment),
      Event::Servers(changes) => self.servers(changes),
      Event::Updated {
        holdings,
        group: all,
        loads,
        instances,
      } => {
        self.instances = instances.max(1);
        self.planner_seen_at = now;
        if let Some(loads) = loads {
          self.loads(&loads);
        }
        self.take_holdings(holdings, all);
      }
      Event::Arrived(ask) => self.arrived(ask),
      Event::Ended { ticket, end } => self.ended(ticket, end),
      Event::ResponseStarted(ticket) => {
        self.answering(ticket);
        self.record_answer_start(ticket);
      }
      Event::Recheck(ticket) => self.dispatch(ticket),
      Event::CallerGone(ticket) => self.left(ticket),
      Event::StoreLost => self.expiry.lose(now),
      Event::StoreBack(silence) => self.store_back(&silence),
      Event::StoreRestored => {
        self.restored.record_restore(now);
        self.expiry.lack(now);
      }
      Event::StoreCurrent => self.expiry.close(),
      Event::Resumed(ticket) => self.answering(ticket),
      Event::Quarantined(entries) => {
        self.door.update_quarantine(now, &entries);
        self.dispatch_waiting();
      }
      Event::RecordsRead => self.records_read = true,
      Event::QuotaUsage(sums) => self.quotas.hear(now, &sums),
      Event::Granted { sent, grants } => {
        self.quotas.grant(now, sent, &grants);
        self.dispatch_waiting();
      }
      Event::LimitAnnounced { ticket, rate } => self.named(ticket, rate),
      Event::Statements(statements) => self.hear_statements(&statements),
      Event::Leaving(server) => self.hear_leaving(server, now, true),
      Event::Backoff {
        server,
        backoff_ms: rest_ms,
      } => self.hear_rest(server, rest_ms),
      Event::TrialAccepted(server) => self.took(server),
      Event::Suspected(entries) => self.door.update_suspects(now, &entries),
      Event::Stopping(new_until, wait_until) => {
        self.new_until = new_until;
        self.stop_at = wait_until;
      }
    }
    std::mem::take(&mut self.out)
  }

  fn deployed(&mut self, deployment: Arc<Deployment>) {
    let newer = |old: &Arc<Deployment>| old.version < deployment.version;
    if self.deployment.as_ref().is_none_or(newer) {
      self.deployment = Some(deployment);
      self.changes += 1;
      self.dispatch_waiting();
    }
  }

  fn arrived(&mut self, ask: Descriptor) {
    let budget = self.budgets.entry(ask.pool.clone()).or_default();
    budget.record_request(self.now, &self.retry_bound);
    let ticket = ask.ticket;
    let request = Request {
      descriptor: ask,
      sends: 0,
      runs: 0,
      backend: None,
      tried: Vec::new(),
      verdict: Verdict::NotRun,
      arrived: self.now,
      waiting_since: None,
      sent: 0,
      response_started: false,
      first_event_at: None,
      failed_at: 0,
      paid: false,
      asked: None,
      tag: None,
      limit_unit: None,
      permits: Vec::new(),
      pending_unit: None,
    };
    self.requests.insert(ticket, request);
    if self.now >= self.new_until {
      return self.refuse(ticket, Reason::Stopping);
    }
    self.dispatch(ticket);
  }

  /// The caller has gone; a send that its thread has not seen yet is not made.
  fn left(&mut self, ticket: Ticket) {
    let decided = self
      .requests
      .get_mut(&ticket)
      .and_then(|request| Some((request.backend.take()?, request.descriptor.model.clone())));
    if let Some((key, model)) = decided {
      self.settle(key, model, End::Left);
    }
    self.forget(ticket);
  }

  fn forget(&mut self, ticket: Ticket) {
    self.release_permits(ticket, None);
    let Some(request) = self.requests.remove(&ticket) else {
      return;
    };
    self.waiting.remove(&order(&request));
    if let (true, Verdict::NotRun, Some(caller)) =
      (request.paid, request.verdict, request.descriptor.caller)
    {
      self.quotas.give_back(caller.customer, caller.cost);
    }
  }

  /// Counts a request in its customer's quota; whether it may go on now.
  fn pay(&mut self, ticket: Ticket) -> bool {
    let now = self.now;
    let customers = self.deployment.as_ref();
    let customers = customers.and_then(|deployment| deployment.customers.clone());
    let Some(request) = self.requests.get_mut(&ticket) else {
      return false;
    };
    let quota = match (request.paid, request.descriptor.caller, customers) {
      (false, Some(caller), Some(book)) => {
        let customer = book.get(caller.customer);
        customer.and_then(|customer| Some((caller, customer.quota?)))
      }
      _ => None,
    };
    let Some((caller, quota)) = quota else {
      request.paid = true;
      return true;
    };
    let allowance = Allowance {
      quota,
      bound: self.quota_bound,
    };
    let customer = (caller.customer, &allowance);
    let asked = request.asked;
    match self
      .quotas
      .spend(now, customer, caller.cost, asked, self.instances)
    {
      Spending::Spent => {
        request.paid = true;
        true
      }
      Spending::Ask(until) => {
        let new = request.asked.is_none();
        request.asked.get_or_insert(now);
        let until = until
          .min(request.descriptor.deadline)
          .min(now + quota::AGAIN_MS);
        self.wait(ticket, until);
        if new {
          self.out.push(Effect::RequestQuota);
        }
        false
      }
      Spending::Over(retry_after) => {
        self.refuse_with_retry_after(ticket, Reason::QuotaExceeded, retry_after);
        false
      }
    }
  }

  /// Puts a request among those that wait, and has it looked at again at a time, ms.
  fn wait(&mut self, ticket: Ticket, until: u64) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if let (None, Some(caller)) = (request.tag, request.descriptor.caller) {
      request.tag = Some(self.turns.tag(caller.customer, caller.cost));
    }
    self.waiting.insert(order(request));
    self.out.push(Effect::Wait(ticket, until));
  }

  /// Whether requests wait for a unit of a limit, or for a leave.
  pub fn needs_units(&self) -> bool {
    let mut waiting = self.waiting.iter();
    waiting.any(|(.., ticket)| self.requests[ticket].pending_unit.is_some())
  }

  /// What is used of quotas here, and needed, for the holder of the lease.
  pub fn uses(&mut self, now: u64) -> Vec<Use> {
    let mut needs: HashMap<quota::Id, u32> = HashMap::new();
    for (.., ticket) in &self.waiting {
      let request = &self.requests[ticket];
      if let (false, Some(caller)) = (request.paid, request.descriptor.caller) {
        *needs.entry(caller.customer).or_default() += caller.cost;
      }
      if let Some((id, _)) = request.pending_unit {
        *needs.entry(id).or_default() += 1;
      }
    }
    self.quotas.uses(now, &needs)
  }

  /// What servers in need said, as this instance knows it.
  pub fn limits(&self) -> &Limits {
    &self.limits
  }

  /// Bounds what all instances keep of customers' quotas.
  pub fn set_quota_bound(&mut self, bound: quota::Bound) {
    self.quota_bound = bound;
  }

  /// What this instance knows of quotas.
  pub fn quotas(&self) -> &Purse {
    &self.quotas
  }

  fn refuse(&mut self, ticket: Ticket, reason: Reason) {
    self.refuse_with_retry_after(ticket, reason, RETRY_AFTER_MS);
  }

  /// Refuses a request; its caller may come back after some time, ms.
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

  /// Sends a request, lets it wait, or gives it up.
  fn dispatch(&mut self, ticket: Ticket) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    if request.backend.is_some() {
      return;
    }
    let pass = self.door.admission(self.now, request.descriptor.content);
    if pass == Admission::Denied {
      return self.refuse_quarantined(ticket);
    }
    if self.now >= request.descriptor.deadline {
      return self.refuse(ticket, Reason::TooLate);
    }
    if self.now >= self.stop_at {
      return self.refuse(ticket, Reason::Stopping);
    }
    if request.sends >= request.descriptor.route.attempts + DECLINED_MOST {
      return self.refuse(ticket, Reason::NoServer);
    }
    if !self.pay(ticket) {
      return;
    }
    let choice = match pass {
      Admission::Delayed(until) => return self.hold_suspect(ticket, until),
      // Nobody asks for a leave that could not be used.
      Admission::Isolated(_) if self.candidates(ticket).is_empty() => Choice::Nobody,
      Admission::Isolated(crashes) => match self.acquire_permit(ticket, crashes) {
        Permit::Granted => self.choose(ticket, Some(crashes)),
        Permit::Requested(until) => return self.hold_suspect(ticket, until),
        Permit::Taken => return self.hold_suspect(ticket, self.now + quota::AGAIN_MS),
      },
      Admission::Allowed | Admission::Denied => self.choose(ticket, None),
    };
    match choice {
      Choice::Server(key) => self.send(ticket, key),
      Choice::Ask(until) => self.ask_for_room(ticket, until),
      Choice::Full(after) => self.hold_full(ticket, after),
      Choice::Nobody => self.wait_for_server(ticket),
    }
  }

  /// Lets a request wait for a unit of a server's limit, which was asked for.
  fn ask_for_room(&mut self, ticket: Ticket, until: u64) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let until = until
      .min(request.descriptor.deadline)
      .min(self.now + quota::AGAIN_MS);
    self.wait(ticket, until);
  }

  /// Lets a request that may be to blame for crashes wait for its turn.
  fn hold_suspect(&mut self, ticket: Ticket, turn: u64) {
    let Some(request) = self.requests.get(&ticket) else {
      return;
    };
    let give_up = give_up_at(request);
    if self.now >= give_up {
      return self.refuse(ticket, Reason::NoServer);
    }
    let until = request.descriptor.deadline.min(give_up).min(turn);
    self.wait(ticket, until);
  }

  /// A send has brought its first event.
  fn answering(&mut self, ticket: Ticket) {
    let now = self.now;
    if let Some(request) = self.requests.get_mut(&ticket) {
      request.first_event_at.get_or_insert(now);
    }
  }

  pub(crate) fn wait_for_server(&mut self, ticket: Ticket) {
    let now = self.now;
    let silent = self.planner_seen_at > 0 && now > self.planner_seen_at + ISOLATED_MS;
    let isolated = silent && self.expiry.lost();
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    if isolated && request.descriptor.model.is_some() && request.verdict == Verdict::NotRun {
      // Nobody hears what is wanted here: another instance can do more.
      return self.refuse(ticket, Reason::NoServer);
    }
    let new = request.waiting_since.is_none();
    request.waiting_since.get_or_insert(now);
    let give_up = give_up_at(request);
    let request = request.clone();
    if self.failed_everywhere(&request) {
      return self.refuse(ticket, Reason::ServerFailed);
    }
    if let Some(retry_after) = self.after_rest_ms(&request) {
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
    let until = request
      .descriptor
      .deadline
      .min(give_up)
      .min(now + RECHECK_MS);
    let wants = request.descriptor.model.is_some();
    self.wait(ticket, until);
    if new && wants {
      self.out.push(Effect::ReportDemand);
    }
  }

  /// Whether a request has run at each server that could take it: its caller would wait for
  /// nothing.
  fn failed_everywhere(&self, request: &Request) -> bool {
    let pool = &request.descriptor.pool;
    let open = |(key, backend): (backend::Key, &Backend)| {
      backend.spec.pool == *pool && !backend.is_leaving() && !request.tried.contains(&key)
    };
    !request.tried.is_empty() && !self.backends.iter().any(open)
  }

  fn send(&mut self, ticket: Ticket, key: backend::Key) {
    let Some(request) = self.requests.get_mut(&ticket) else {
      return;
    };
    request.sends += 1;
    request.backend = Some(key);
    request.waiting_since = None;
    request.sent = self.now;
    request.first_event_at = None;
    let entry = order(request);
    if let Some(tag) = request.tag.take() {
      self.turns.went(tag);
    }
    let backend = &mut self.backends[key];
    backend.running += 1;
    if let Some(model) = &request.descriptor.model {
      *self.running.entry((key, model.clone())).or_default() += 1;
    }
    let limited = self.limits.rate(backend.spec.life()).is_some();
    let trial = self.backoffs.send(backend.spec.life(), self.now);
    let missing = backend.missing_since;
    let attempt = Attempt {
      ticket,
      limited,
      trial,
      missing_ms: missing.map(|since| self.now.saturating_sub(since)),
      backend: key,
      id: backend.spec.id.clone(),
      life: backend.spec.life(),
      address: backend.spec.address,
      number: request.sends,
    };
    self.waiting.remove(&entry);
    self.out.push(Effect::Send(attempt));
  }

  /// Refuses a request that crashes servers: at once, and nothing invites its caller back.
  fn refuse_quarantined(&mut self, ticket: Ticket) {
    let refusal = Refusal {
      reason: Reason::Quarantined,
      // Under another id it has run.
      verdict: Verdict::MayHaveRun,
      retry_after: None,
    };
    self.out.push(Effect::Refuse(ticket, refusal));
    self.forget(ticket);
  }

  /// Until when the holdings published last count, ms.
  pub(crate) fn holdings_valid_until(&self) -> u64 {
    self.planner_seen_at + CURRENT_MS
  }

  pub(crate) fn engine(&self, pool: &str) -> Option<&Engine> {
    let pool = self.deployment.as_ref()?.pools.get(pool)?;
    pool.engine.as_deref()
  }
}

/// The order of those that wait: by rank, then by turns of customers; without customers by who
/// has the least time left.
fn order(request: &Request) -> (u8, u64, Ticket) {
  let ask = &request.descriptor;
  (
    ask.priority(),
    request.tag.unwrap_or(ask.deadline),
    ask.ticket,
  )
}
