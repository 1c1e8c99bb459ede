//! Checks the invariants of the system against a recorded history.

use crate::build::{self, Shares};
use crate::customer::{self, Customer};
use crate::history::{End, FROZEN, History, KILLED, Kind, Limit, Order, Request, STOPPED, Target};
use crate::leaving::{self, LateRun};
use crate::plan;
use crate::said::{self, LateArrival};
use std::collections::{BTreeMap, HashMap};

/// Limits that the checks apply, in addition to the measured scheduling lag.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
  /// Longest time from a request's deadline to its final response.
  pub deadline_overrun_ms: u64,
  /// Longest time from the draining state in the store to the last new request to the server.
  pub drain_ms: u64,
  /// Longest time from the store's acknowledgement of a configuration until all instances use it.
  pub config_apply_ms: u64,
  /// Time without faults after which an instance counts as connected to the store.
  pub contact_ms: u64,
  /// Shortest time between orders of two lease holders to one server.
  pub lease_ms: u64,
  /// Time after a freeze or a connection cut in which delayed orders may still arrive.
  pub thaw_slack_ms: u64,
  /// Longest time from the end of all faults to full service.
  pub recovery_ms: u64,
  /// Longest time from a response that announces a rate limit until the instance applies it.
  pub limit_notice_ms: u64,
  /// Window over which the request rate is compared with an announced limit. The allowed count is
  /// the limit, plus `limit_overage` as a fraction of it, plus `limit_slack` requests.
  pub limit_window_ms: u64,
  pub limit_overage: f64,
  pub limit_slack: f64,
  /// Time after a response that asks for a backoff in which requests may still be in flight, and
  /// the most requests that one instance may send after that until the backoff ends.
  pub in_flight_ms: u64,
  pub max_backoff_requests: usize,
  /// Replicas that the policy allows for the bounded model.
  pub max_replicas: usize,
  /// Most runs of requests with a part that has crashed five servers, `contact_ms` after the fifth.
  pub max_part_runs: usize,
  /// Most streams that may hold events of several software versions.
  pub max_joined_streams: usize,
  /// Least number of resumptions for which their share is checked, and the least share that goes
  /// on, as a part of the share of new streams that begin.
  pub min_resumptions: usize,
  pub min_resumed_share: f64,
  /// Whether time limits are checked. They depend on the speed of the machine.
  pub timed: bool,
}

impl Default for Bounds {
  /// The limits of the users' deployments (`drain_ms`, `config_apply_ms`,
  /// `contact_ms`, `thaw_slack_ms`, `recovery_s`), with a margin because all processes share one
  /// machine.
  fn default() -> Self {
    Self {
      deadline_overrun_ms: 500,
      drain_ms: 2_500,
      config_apply_ms: 2_500,
      contact_ms: 3_000,
      lease_ms: 1_000,
      thaw_slack_ms: 400,
      recovery_ms: 6_000,
      limit_notice_ms: 500,
      limit_window_ms: 4_000,
      limit_overage: 0.5,
      limit_slack: 5.0,
      in_flight_ms: 500,
      max_backoff_requests: 2,
      max_replicas: 2,
      max_part_runs: 3,
      max_joined_streams: 2,
      min_resumptions: 12,
      min_resumed_share: 0.5,
      timed: true,
    }
  }
}

impl Bounds {
  /// The limits for a seed. Where nothing but a release changes software versions, no stream may be
  /// joined.
  pub fn for_seed(seed: u64) -> Self {
    let bounds = Self::default();
    match plan::has_release(seed) {
      true => Self {
        max_joined_streams: 0,
        ..bounds
      },
      false => bounds,
    }
  }
}

/// A violated invariant. `at` is in ms since the start of the run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
  pub invariant: &'static str,
  pub at: u64,
  pub text: String,
}

/// Share of the requests after the recovery time that must be served, in percent.
const MIN_SERVED_PERCENT: usize = 90;
/// Multiplier of the measured scheduling lag that is added to time limits.
const LAG_FACTOR: u64 = 2;

struct Check<'a> {
  history: &'a History,
  bounds: Bounds,
  /// Servers that ran each request, by request id, with times.
  runs: HashMap<&'a str, Vec<(&'a str, u64)>>,
  violations: Vec<Violation>,
}

/// Returns all violated invariants in order of time.
pub fn check(history: &History, bounds: &Bounds) -> Vec<Violation> {
  let mut runs: HashMap<&str, Vec<(&str, u64)>> = HashMap::new();
  for run in &history.runs {
    let entry = runs.entry(&run.id).or_default();
    entry.push((&run.server, run.at));
  }
  let mut check = Check {
    history,
    bounds: *bounds,
    runs,
    violations: Vec::new(),
  };
  check.check_processes();
  check.check_requests();
  check.check_orders();
  check.check_memory();
  check.check_configurations();
  check.check_builds();
  if bounds.timed {
    check.check_departures();
    check.check_limits();
    check.check_announcements();
    check.check_falls();
    check.check_parts();
  }
  check.check_quota();
  check.check_recovery();
  check.check_calm();
  let mut violations = check.violations;
  violations.sort_by_key(|violation| violation.at);
  violations
}

impl Check<'_> {
  fn report(&mut self, invariant: &'static str, at: u64, text: String) {
    self.violations.push(Violation {
      invariant,
      at,
      text,
    });
  }

  fn had_incident(&self, target: &Target, from: u64, to: u64) -> bool {
    self.history.had_incident(target, from, to)
  }

  /// Whether a fault of the request's instance excuses its outcome. A planned stop excuses only
  /// requests sent after the process ended.
  fn is_excused(&self, request: &Request) -> bool {
    let mut incidents = self.history.incidents.iter();
    incidents.any(|incident| {
      let started = match incident.cause {
        STOPPED => incident.from <= request.at,
        _ => incident.from <= request.ended,
      };
      incident.target == Target::Instance(request.instance) && started && incident.to >= request.at
    })
  }

  fn any_server_had_incident(&self, from: u64, to: u64) -> bool {
    let mut incidents = self.history.incidents.iter();
    incidents.any(|incident| {
      matches!(incident.target, Target::Server(_)) && incident.from <= to && incident.to >= from
    })
  }

  fn lag_slack(&self) -> u64 {
    LAG_FACTOR * self.history.max_lag_ms
  }

  /// No instance ends by itself.
  fn check_processes(&mut self) {
    for (instance, at, status) in &self.history.ended {
      let text = format!("instance {instance} ended by itself: {status}");
      self.report("process", *at, text);
    }
  }

  fn check_requests(&mut self) {
    for request in &self.history.requests {
      self.check_single_run(request);
      self.check_refusal(request);
      self.check_response(request);
      if self.bounds.timed {
        self.check_deadline(request);
      }
    }
  }

  fn runs_of(&self, request: &Request) -> usize {
    self.runs.get(request.id.as_str()).map_or(0, Vec::len)
  }

  /// A request that is not repeatable runs at most once.
  fn check_single_run(&mut self, request: &Request) {
    let runs = self.runs_of(request);
    if !request.kind.repeatable() && runs > 1 {
      let text = format!("`{}` ran {runs} times", request.id);
      self.report("once", request.at, text);
    }
  }

  /// A request that was refused as not run did not run on any server.
  fn check_refusal(&mut self, request: &Request) {
    let End::Failure { status, signed } = request.end else {
      return;
    };
    let runs = self.runs_of(request);
    if matches!(status, 408 | 421 | 429 | 503) && !signed && runs > 0 {
      let text = format!(
        "`{}` was refused with {status} and ran {runs} times",
        request.id
      );
      self.report("refusal", request.at, text);
    }
  }

  /// A caller gets the complete response to its own request, or a final error.
  fn check_response(&mut self, request: &Request) {
    let excused = self.is_excused(request);
    // The instance may close an idle connection as the request arrives, without reading it.
    let closed_while_idle = request.reused && self.runs_of(request) == 0;
    match request.end {
      End::Success { intact: false } => {
        let text = format!(
          "`{}` got an incomplete or foreign response: {:?}",
          request.id,
          request.unexpected_body.as_deref().unwrap_or_default()
        );
        self.report("answer", request.at, text);
      }
      End::Truncated if !excused && !self.any_server_had_incident(request.at, request.ended) => {
        let text = format!(
          "the response to `{}` was truncated without a fault",
          request.id
        );
        self.report("answer", request.at, text);
      }
      End::Closed if !(excused || closed_while_idle) => {
        let text = format!(
          "the connection of `{}` closed without a response",
          request.id
        );
        self.report("stop", request.at, text);
      }
      _ => {}
    }
  }

  /// Requests are served or refused within their deadline.
  fn check_deadline(&mut self, request: &Request) {
    let latest =
      request.at + request.kind.deadline_ms() + self.bounds.deadline_overrun_ms + self.lag_slack();
    if request.ended > latest && !self.is_excused(request) {
      let took = request.ended - request.at;
      let text = format!("`{}` took {took} ms to get its final response", request.id);
      self.report("in time", request.at, text);
    }
  }

  /// Only one lease holder at a time sends orders to a server.
  fn check_orders(&mut self) {
    let mut servers: BTreeMap<&str, Vec<&Order>> = BTreeMap::new();
    for order in &self.history.orders {
      servers.entry(&order.server).or_default().push(order);
    }
    for (server, mut orders) in servers {
      orders.sort_by_key(|order| order.at);
      let pairs: Vec<(&Order, &Order)> = orders.windows(2).map(|pair| (pair[0], pair[1])).collect();
      for (one, two) in pairs {
        if one.holder != two.holder && !self.may_be_delayed(server, two.at) {
          self.check_holders(server, one, two);
        }
      }
    }
  }

  fn check_holders(&mut self, server: &str, one: &Order, two: &Order) {
    let between = two.at - one.at;
    let reason = match () {
      () if one.term == two.term => "with the same term",
      () if one.term > two.term => "with a lower term",
      () if self.bounds.timed && between + self.lag_slack() < self.bounds.lease_ms => "too soon",
      () => return,
    };
    let text = format!(
      "server `{server}` got orders from `{}` (term {}) and {between} ms later from `{}` (term {}): {reason}",
      one.holder, one.term, two.holder, two.term
    );
    self.report("orders", two.at, text);
  }

  /// Whether a freeze or a connection cut may have delayed an order to this server.
  fn may_be_delayed(&self, server: &str, at: u64) -> bool {
    let from = at.saturating_sub(self.bounds.thaw_slack_ms + self.lag_slack());
    let mut incidents = self.history.incidents.iter();
    incidents.any(|incident| {
      let delays = match &incident.target {
        Target::Instance(_) => incident.cause == FROZEN,
        Target::Server(id) => id == server,
        Target::Store => false,
      };
      delays && incident.from <= at && incident.to >= from
    })
  }

  /// Server memory is not overcommitted, and replicas stay within the policy unless servers carried
  /// out orders late.
  fn check_memory(&mut self) {
    for (server, loads) in &self.history.overcommitted {
      let text = format!("server `{server}` got {loads} load orders beyond its memory");
      self.report("memory", 0, text);
    }
    if !self.history.late_orders {
      self.check_replicas();
    }
  }

  /// Reports the first time at which too many servers held the bounded model.
  fn check_replicas(&mut self) {
    let max_replicas = self.bounds.max_replicas;
    let holds = &self.history.holds;
    let holders_at = |at: u64| {
      holds
        .iter()
        .filter(move |hold| hold.from <= at && at < hold.to)
    };
    let exceeded = holds.iter().map(|hold| hold.from);
    let exceeded = exceeded
      .filter(|at| holders_at(*at).count() > max_replicas)
      .min();
    if let Some(at) = exceeded {
      let names: Vec<&str> = holders_at(at).map(|hold| hold.server.as_str()).collect();
      let count = names.len();
      let text = format!("{count} servers hold the model that {max_replicas} may hold: {names:?}");
      self.report("replicas", at, text);
    }
  }

  /// Each configuration is applied in time, and an instance never returns to an older version.
  fn check_configurations(&mut self) {
    let mut newest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    for probe in &self.history.probes {
      let newest_seen = newest.entry((probe.instance, probe.life)).or_default();
      if probe.version < *newest_seen {
        let text = format!(
          "instance {} went from version {newest_seen} back to {}",
          probe.instance, probe.version
        );
        self.report("configuration", probe.at, text);
      }
      *newest_seen = (*newest_seen).max(probe.version);
      let bound = self.bounds.config_apply_ms + self.lag_slack();
      let required = self.history.configured.iter();
      let required = required.filter(|(_, at)| at + bound <= probe.at);
      let required = required
        .map(|(version, _)| *version)
        .max()
        .unwrap_or_default();
      let from = probe.at.saturating_sub(self.bounds.contact_ms + bound);
      let excused = self.had_incident(&Target::Instance(probe.instance), from, probe.at)
        || self.had_incident(&Target::Store, from, probe.at);
      if self.bounds.timed && probe.version < required && !excused {
        let text = format!(
          "instance {} has version {}, not {required}",
          probe.instance, probe.version
        );
        self.report("configuration", probe.at, text);
      }
    }
  }

  /// A server that is leaving gets no new requests, also not after a restore of the store.
  fn check_departures(&mut self) {
    let bound = self.bounds.drain_ms + self.lag_slack();
    let runs = leaving::last_runs(self.history, &self.bounds);
    for LateRun { run, after_ms } in runs.iter().filter(|one| one.after_ms > bound) {
      let (server, id) = (&run.server, &run.id);
      let text = format!("server `{server}` got `{id}` {after_ms} ms after it started to leave");
      self.report("leaving", run.at, text);
    }
    for LateRun { run, after_ms } in leaving::runs_after_restore(self.history, &self.bounds) {
      if after_ms > bound {
        let (server, id) = (&run.server, &run.id);
        let text = format!(
          "server `{server}` got `{id}` {after_ms} ms after its departure, which the instance knew"
        );
        self.report("back", run.at, text);
      }
    }
  }

  /// Instances that received a server's rate limit keep to it.
  fn check_limits(&mut self) {
    for limit in &self.history.limits {
      let counted = self.arrivals_after_notice(limit);
      let window_s = self.bounds.limit_window_ms as f64 / 1_000.0;
      let allowed = limit.rate * window_s * (1.0 + self.bounds.limit_overage);
      let allowed = (allowed + self.bounds.limit_slack) as usize;
      let mut first = 0;
      for (last, at) in counted.iter().enumerate() {
        while counted[first] + self.bounds.limit_window_ms <= *at {
          first += 1;
        }
        let received = last + 1 - first;
        if received > allowed {
          let (server, rate) = (&limit.server, limit.rate);
          let text = format!(
            "server `{server}` announced a limit of {rate} requests per second and got {received} in {} ms; at most {allowed} are allowed",
            self.bounds.limit_window_ms
          );
          self.report("limit", *at, text);
          break;
        }
      }
    }
  }

  /// Returns the arrival times, in ms, of requests from instances that had received the limit.
  /// Requests of instances with a recent fault are left out.
  fn arrivals_after_notice(&self, limit: &Limit) -> Vec<u64> {
    let by_id: HashMap<&str, &Request> = self
      .history
      .requests
      .iter()
      .map(|one| (&*one.id, one))
      .collect();
    let arrivals = self.history.arrivals.iter();
    let arrivals: Vec<(u64, &Request)> = arrivals
      .filter(|one| one.server == limit.server && (limit.from..limit.to).contains(&one.at))
      .filter_map(|one| Some((one.at, *by_id.get(one.id.as_str())?)))
      .collect();
    let mut noticed: BTreeMap<usize, u64> = BTreeMap::new();
    for (_, request) in &arrivals {
      if matches!(request.end, End::Success { .. }) {
        let first = noticed.entry(request.instance).or_insert(u64::MAX);
        *first = (*first).min(request.ended);
      }
    }
    let bound = self.bounds.limit_notice_ms + self.lag_slack();
    let is_counted = |(at, request): &(u64, &Request)| {
      let noticed_at = noticed.get(&request.instance);
      let from = at.saturating_sub(self.bounds.contact_ms);
      noticed_at.is_some_and(|noticed_at| *at >= noticed_at + bound)
        && !self.had_incident(&Target::Instance(request.instance), from, *at)
    };
    let mut counted: Vec<u64> = arrivals
      .iter()
      .filter(|one| is_counted(one))
      .map(|(at, _)| *at)
      .collect();
    counted.sort_unstable();
    counted
  }

  /// Instances act on the departures and backoffs that servers announce in responses.
  fn check_announcements(&mut self) {
    let bound = self.bounds.drain_ms + self.lag_slack();
    let arrivals = said::last_arrivals_after_departure(self.history);
    for LateArrival { arrival, after_ms } in arrivals.iter().filter(|one| one.after_ms > bound) {
      let (server, id) = (&arrival.server, &arrival.id);
      let text = format!(
        "server `{server}` got `{id}` {after_ms} ms after the instance relayed its departure notice"
      );
      self.report("said leaving", arrival.at, text);
    }
    let in_flight_ms = self.bounds.in_flight_ms + self.lag_slack();
    for (backoff, received) in said::requests_in_backoffs(self.history, in_flight_ms) {
      if received > self.bounds.max_backoff_requests {
        let text = format!(
          "server `{}` got {received} requests from one instance during a backoff of {} ms",
          backoff.server,
          backoff.to - backoff.from
        );
        self.report("rest", backoff.from, text);
      }
    }
  }

  /// Brittle servers rarely fall over. Instances that are suspended or cut off may not know of it.
  fn check_falls(&mut self) {
    for time in &self.history.brittle {
      if self.instances_out_of_touch(time.from, time.to) {
        continue;
      }
      let falls = self.history.falls.iter();
      let falls = falls
        .filter(|(server, at)| time.servers.contains(server) && (time.from..time.to).contains(at));
      let (falls, allowed) = (falls.count(), 2 + time.size / 10);
      if falls > allowed {
        let text = format!(
          "{} brittle servers fell over {falls} times; {allowed} are allowed",
          time.size
        );
        self.report("brittle", time.from, text);
      }
    }
  }

  /// Requests with a part that has crashed five servers reach few more.
  fn check_parts(&mut self) {
    for part in &self.history.deadly {
      let mut crashes = part.crashes.clone();
      crashes.sort_unstable();
      let Some(fifth) = crashes.get(4) else {
        continue;
      };
      let known_at = fifth + self.bounds.contact_ms + self.lag_slack();
      if self.instances_out_of_touch(crashes[0], u64::MAX) {
        continue;
      }
      let runs = self.history.runs.iter();
      let late = runs.filter(|run| run.id.starts_with(&part.prefix) && run.at > known_at);
      let late = late.count();
      if late > self.bounds.max_part_runs {
        let text = format!(
          "{late} requests `{}..` ran later than {known_at} ms, after five of {} crashes",
          part.prefix,
          crashes.len()
        );
        self.report("part", known_at, text);
      }
    }
  }

  /// Whether an instance may have been out of touch with the others or the store.
  fn instances_out_of_touch(&self, from: u64, to: u64) -> bool {
    let from = from.saturating_sub(self.bounds.contact_ms);
    let mut incidents = self.history.incidents.iter();
    incidents.any(|incident| {
      let separates = match &incident.target {
        Target::Instance(_) => !matches!(incident.cause, STOPPED | KILLED),
        Target::Store => true,
        Target::Server(_) => false,
      };
      separates && incident.from <= to && incident.to >= from
    })
  }

  /// Streams keep to the software version that began them, and enough of those that callers resume
  /// go on.
  fn check_builds(&mut self) {
    let joined = build::joined(self.history);
    if joined.len() > self.bounds.max_joined_streams {
      let text = format!(
        "{} of {} streams hold events of several software versions, the first is `{}` with {:?}",
        joined.len(),
        self.history.streams.len(),
        joined[0].id,
        joined[0].versions
      );
      self.report("build", joined[0].at, text);
    }
    let Shares { resumed, new } = build::shares(self.history, &self.bounds);
    let least = new.ratio() * self.bounds.min_resumed_share;
    if resumed.total >= self.bounds.min_resumptions && resumed.ratio() < least {
      let text = format!(
        "{} of {} resumed streams went on, {} of {} new ones began",
        resumed.count, resumed.total, new.count, new.total
      );
      self.report("build", 0, text);
    }
    let unknown = build::unknown_returns(self.history);
    if let Some(first) = unknown.first() {
      let text = format!(
        "{} of {} streams were refused as of unknown version though there was one, the first is `{}`",
        unknown.len(),
        self.history.returns.len(),
        first.id
      );
      self.report("build", first.at, text);
    }
  }

  /// After all faults have ended, no request to a plain server fails for a fault of its own response.
  fn check_calm(&mut self) {
    let from = self.history.faults_ended_at + self.bounds.recovery_ms;
    for request in &self.history.requests {
      let plain = matches!(request.kind, Kind::Once | Kind::Repeatable);
      let failed = matches!(
        request.end,
        End::Failure {
          status: 502,
          signed: false
        }
      );
      if plain && failed && request.at >= from {
        let text = format!(
          "`{}` failed with 502 although nothing was at fault",
          request.id
        );
        self.report("calm", request.at, text);
      }
    }
  }

  /// No more requests of a customer with a quota are both sent and run in a window than it allows,
  /// whatever the faults.
  fn check_quota(&mut self) {
    if !self.history.has_quotas {
      return;
    }
    let requests = self.history.requests.iter();
    let limited = requests.filter(|request| request.customer == Customer::Limited);
    let mut ran: Vec<(u64, u64)> = limited
      .filter_map(|request| {
        let runs = self.runs.get(request.id.as_str())?;
        let first = runs.iter().map(|(_, at)| *at).min()?;
        Some((request.at, first))
      })
      .collect();
    ran.sort_unstable();
    for (index, (from, _)) in ran.iter().enumerate() {
      let to = from + customer::WINDOW_MS;
      let sent_within = ran[index..].iter();
      let within = sent_within.filter(|(_, run)| *run < to).count();
      if within > customer::max_runs() {
        let max = customer::max_runs();
        let text = format!("{within} requests of a customer ran in a window, {max} may");
        self.report("quota", *from, text);
        return;
      }
    }
  }

  /// After all faults have ended, requests of every kind are served again.
  fn check_recovery(&mut self) {
    let from = self.history.faults_ended_at + self.bounds.recovery_ms;
    for kind in Kind::ALL {
      let after_faults = self.history.requests.iter();
      let after_faults: Vec<&Request> = after_faults
        .filter(|request| request.kind == kind && request.at >= from && request.end != End::Left)
        .filter(|request| request.customer != Customer::Limited && !request.returns)
        .collect();
      let served = after_faults.iter();
      let served = served
        .filter(|request| matches!(request.end, End::Success { .. }))
        .count();
      let is_enough = match self.bounds.timed {
        true => served * 100 >= after_faults.len() * MIN_SERVED_PERCENT,
        false => served > 0,
      };
      if after_faults.is_empty() || !is_enough {
        let text = format!(
          "{served} of {} `{}` requests were served",
          after_faults.len(),
          kind.route()
        );
        self.report("recovery", from, text);
      }
    }
  }
}
