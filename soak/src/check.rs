//! The promises, checked against a history.

use crate::history::{End, FROZEN, History, Kind, Limit, Order, STOPPED, Sent, Target};
use crate::leaving::{self, Last};
use crate::said::{self, After};
use std::collections::{BTreeMap, HashMap};

/// Bounds that hold on top of the machine's own delays, ms.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
  /// From the end of a caller's patience to its final answer.
  pub answer_ms: u64,
  /// From the store's word that a server leaves to the last new request there.
  pub drain_ms: u64,
  /// From the store's word of a configuration to its force everywhere.
  pub configure_ms: u64,
  /// Without trouble for this long an instance is in touch.
  pub contact_ms: u64,
  /// Between orders of two holders to one server.
  pub lease_ms: u64,
  /// After a freeze or a cut, orders that were on their way may still arrive.
  pub thaw_ms: u64,
  /// From the end of all faults to full service.
  pub recover_ms: u64,
  /// From an answer that names a limit to the last request beyond it.
  pub heard_ms: u64,
  /// Window in which a limit is judged, and what it allows there on top: a part of it, and
  /// requests besides.
  pub limit_window_ms: u64,
  pub limit_overage: f64,
  pub limit_slack: f64,
  /// From an answer that asks for rest to the last request that may have crossed it, and requests
  /// of one instance after that, in the rest.
  pub crossing_ms: u64,
  pub in_rest: usize,
  /// Replicas that the policy allows for the bounded model.
  pub replicas: usize,
  /// Whether bounds of time are checked: they depend on the machine's speed.
  pub timed: bool,
}

impl Default for Bounds {
  /// The bounds of the users' deployments (`drain_ms`, `config_apply_ms`,
  /// `contact_ms`, `thaw_slack_ms`, `recovery_s`), with some room for one machine.
  fn default() -> Self {
    Self {
      answer_ms: 500,
      drain_ms: 2_500,
      configure_ms: 2_500,
      contact_ms: 3_000,
      lease_ms: 1_000,
      thaw_ms: 400,
      recover_ms: 6_000,
      heard_ms: 500,
      limit_window_ms: 4_000,
      limit_overage: 0.5,
      limit_slack: 5.0,
      crossing_ms: 500,
      in_rest: 2,
      replicas: 2,
      timed: true,
    }
  }
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
  pub promise: &'static str,
  pub at: u64,
  pub text: String,
}

/// Part of calm requests that must be served, in hundredths.
const SERVED_PERCENT: usize = 90;
/// Factor on this machine's longest delay where times are compared.
const LAG: u64 = 2;

struct Check<'a> {
  history: &'a History,
  bounds: Bounds,
  /// Servers that ran a request, with times.
  runs: HashMap<&'a str, Vec<(&'a str, u64)>>,
  found: Vec<Violation>,
}

/// All broken promises, in order of time.
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
    found: Vec::new(),
  };
  check.requests();
  check.orders();
  check.memory();
  check.configurations();
  if bounds.timed {
    check.drained();
    check.limits();
    check.said();
  }
  check.recovery();
  let mut found = check.found;
  found.sort_by_key(|violation| violation.at);
  found
}

impl Check<'_> {
  fn found(&mut self, promise: &'static str, at: u64, text: String) {
    self.found.push(Violation { promise, at, text });
  }

  fn troubled(&self, target: &Target, from: u64, to: u64) -> bool {
    self.history.troubled(target, from, to)
  }

  /// Whether a fault at its instance excuses how a request ended; a planned stop does
  /// so only for what came after the end of the process.
  fn excused(&self, sent: &Sent) -> bool {
    let mut troubles = self.history.troubles.iter();
    troubles.any(|trouble| {
      let begins = match trouble.what {
        STOPPED => trouble.from <= sent.at,
        _ => trouble.from <= sent.ended,
      };
      trouble.target == Target::Instance(sent.instance) && begins && trouble.to >= sent.at
    })
  }

  fn any_server_troubled(&self, from: u64, to: u64) -> bool {
    let mut troubles = self.history.troubles.iter();
    troubles.any(|trouble| {
      matches!(trouble.target, Target::Server(_)) && trouble.from <= to && trouble.to >= from
    })
  }

  fn slack(&self) -> u64 {
    LAG * self.history.lag_ms
  }

  fn requests(&mut self) {
    for sent in &self.history.sent {
      self.once(sent);
      self.refusal(sent);
      self.answer(sent);
      if self.bounds.timed {
        self.in_time(sent);
      }
    }
  }

  fn runs_of(&self, sent: &Sent) -> usize {
    self.runs.get(sent.id.as_str()).map_or(0, Vec::len)
  }

  /// What may not be repeated runs at most once.
  fn once(&mut self, sent: &Sent) {
    let runs = self.runs_of(sent);
    if !sent.kind.repeatable() && runs > 1 {
      let text = format!("`{}` ran {runs} times", sent.id);
      self.found("once", sent.at, text);
    }
  }

  /// What is called not run has not run.
  fn refusal(&mut self, sent: &Sent) {
    let End::Failure { status, signed } = sent.end else {
      return;
    };
    let runs = self.runs_of(sent);
    if matches!(status, 408 | 421 | 429 | 503) && !signed && runs > 0 {
      let text = format!(
        "`{}` was refused with {status} and ran {runs} times",
        sent.id
      );
      self.found("refusal", sent.at, text);
    }
  }

  /// A caller gets the whole answer to its own request, or a final answer.
  fn answer(&mut self, sent: &Sent) {
    let excused = self.excused(sent);
    // A request that crosses the close of a connection at rest has not been read.
    let crossed = sent.reused && self.runs_of(sent) == 0;
    match sent.end {
      End::Success { own: false } => {
        let text = format!(
          "`{}` got what is not its own whole answer: {:?}",
          sent.id,
          sent.foreign.as_deref().unwrap_or_default()
        );
        self.found("answer", sent.at, text);
      }
      End::Cut if !excused && !self.any_server_troubled(sent.at, sent.ended) => {
        let text = format!("the answer to `{}` broke off without a fault", sent.id);
        self.found("answer", sent.at, text);
      }
      End::Closed if !(excused || crossed) => {
        let text = format!("`{}` ended without an answer", sent.id);
        self.found("stop", sent.at, text);
      }
      _ => {}
    }
  }

  /// Served or refused in time.
  fn in_time(&mut self, sent: &Sent) {
    let last = sent.at + sent.kind.deadline_ms() + self.bounds.answer_ms + self.slack();
    if sent.ended > last && !self.excused(sent) {
      let took = sent.ended - sent.at;
      let text = format!("`{}` took {took} ms to its final answer", sent.id);
      self.found("in time", sent.at, text);
    }
  }

  /// One holder gives orders to a server at a time.
  fn orders(&mut self) {
    let mut servers: BTreeMap<&str, Vec<&Order>> = BTreeMap::new();
    for order in &self.history.orders {
      servers.entry(&order.server).or_default().push(order);
    }
    for (server, mut orders) in servers {
      orders.sort_by_key(|order| order.at);
      let pairs: Vec<(&Order, &Order)> = orders.windows(2).map(|pair| (pair[0], pair[1])).collect();
      for (one, two) in pairs {
        if one.holder != two.holder && !self.on_its_way(server, two.at) {
          self.two_holders(server, one, two);
        }
      }
    }
  }

  fn two_holders(&mut self, server: &str, one: &Order, two: &Order) {
    let between = two.at - one.at;
    let wrong = match () {
      () if one.term == two.term => "with the same term",
      () if one.term > two.term => "with a lower term",
      () if self.bounds.timed && between + self.slack() < self.bounds.lease_ms => "too soon",
      () => return,
    };
    let text = format!(
      "server `{server}` got orders of `{}` (term {}) and {between} ms later of `{}` (term {}): {wrong}",
      one.holder, one.term, two.holder, two.term
    );
    self.found("orders", two.at, text);
  }

  /// An order that a cut or a freeze held up may arrive after it.
  fn on_its_way(&self, server: &str, at: u64) -> bool {
    let from = at.saturating_sub(self.bounds.thaw_ms + self.slack());
    let mut troubles = self.history.troubles.iter();
    troubles.any(|trouble| {
      let held = match &trouble.target {
        Target::Instance(_) => trouble.what == FROZEN,
        Target::Server(id) => id == server,
        Target::Store => false,
      };
      held && trouble.from <= at && trouble.to >= from
    })
  }

  /// Memory is not overcommitted, and no more replicas are loaded than decided.
  fn memory(&mut self) {
    for (server, loads) in &self.history.overfull {
      let text = format!("server `{server}` was given {loads} loads beyond its memory");
      self.found("memory", 0, text);
    }
    if !self.history.late_orders {
      self.replicas();
    }
  }

  /// The first moment at which more servers held the bounded model than may.
  fn replicas(&mut self) {
    let most = self.bounds.replicas;
    let holds = &self.history.holds;
    let at_once = |at: u64| {
      holds
        .iter()
        .filter(move |hold| hold.from <= at && at < hold.to)
    };
    let over = holds.iter().map(|hold| hold.from);
    let over = over.filter(|at| at_once(*at).count() > most).min();
    if let Some(at) = over {
      let names: Vec<&str> = at_once(at).map(|hold| hold.server.as_str()).collect();
      let count = names.len();
      let text = format!("{count} servers hold the model that {most} may hold: {names:?}");
      self.found("replicas", at, text);
    }
  }

  /// A configuration is in force in time and never goes back.
  fn configurations(&mut self) {
    let mut newest: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    for probe in &self.history.probes {
      let before = newest.entry((probe.instance, probe.life)).or_default();
      if probe.version < *before {
        let text = format!(
          "instance {} went from version {before} back to {}",
          probe.instance, probe.version
        );
        self.found("configuration", probe.at, text);
      }
      *before = (*before).max(probe.version);
      let bound = self.bounds.configure_ms + self.slack();
      let due = self.history.configured.iter();
      let due = due.filter(|(_, at)| at + bound <= probe.at);
      let due = due.map(|(version, _)| *version).max().unwrap_or_default();
      let from = probe.at.saturating_sub(self.bounds.contact_ms + bound);
      let excused = self.troubled(&Target::Instance(probe.instance), from, probe.at)
        || self.troubled(&Target::Store, from, probe.at);
      if self.bounds.timed && probe.version < due && !excused {
        let text = format!(
          "instance {} has version {}, not {due}",
          probe.instance, probe.version
        );
        self.found("configuration", probe.at, text);
      }
    }
  }

  /// A server that leaves gets no new work.
  fn drained(&mut self) {
    let bound = self.bounds.drain_ms + self.slack();
    let last = leaving::last(self.history, &self.bounds);
    for Last { run, after_ms } in last.iter().filter(|last| last.after_ms > bound) {
      let (server, id) = (&run.server, &run.id);
      let text = format!("server `{server}` got `{id}` {after_ms} ms after it began to leave");
      self.found("leaving", run.at, text);
    }
    for Last { run, after_ms } in leaving::back(self.history, &self.bounds) {
      if after_ms > bound {
        let (server, id) = (&run.server, &run.id);
        let text =
          format!("server `{server}` got `{id}` {after_ms} ms after it was known to leave");
        self.found("back", run.at, text);
      }
    }
  }

  /// A server in need gets no more than it names, of the instances that it has told.
  fn limits(&mut self) {
    for limit in &self.history.limits {
      let counted = self.told(limit);
      let window_s = self.bounds.limit_window_ms as f64 / 1_000.0;
      let allowed = limit.rate * window_s * (1.0 + self.bounds.limit_overage);
      let allowed = (allowed + self.bounds.limit_slack) as usize;
      let mut first = 0;
      for (last, at) in counted.iter().enumerate() {
        while counted[first] + self.bounds.limit_window_ms <= *at {
          first += 1;
        }
        let got = last + 1 - first;
        if got > allowed {
          let (server, rate) = (&limit.server, limit.rate);
          let text = format!(
            "server `{server}` took {rate} requests a second and got {got} in {} ms, {allowed} are allowed",
            self.bounds.limit_window_ms
          );
          self.found("limit", *at, text);
          break;
        }
      }
    }
  }

  /// When requests came to a server from instances that had heard its limit, but for those that
  /// a fault struck meanwhile.
  fn told(&self, limit: &Limit) -> Vec<u64> {
    let sent: HashMap<&str, &Sent> = self
      .history
      .sent
      .iter()
      .map(|one| (&*one.id, one))
      .collect();
    let arrivals = self.history.arrivals.iter();
    let arrivals: Vec<(u64, &Sent)> = arrivals
      .filter(|one| one.server == limit.server && (limit.from..limit.to).contains(&one.at))
      .filter_map(|one| Some((one.at, *sent.get(one.id.as_str())?)))
      .collect();
    let mut heard: BTreeMap<usize, u64> = BTreeMap::new();
    for (_, sent) in &arrivals {
      if matches!(sent.end, End::Success { .. }) {
        let first = heard.entry(sent.instance).or_insert(u64::MAX);
        *first = (*first).min(sent.ended);
      }
    }
    let bound = self.bounds.heard_ms + self.slack();
    let counts = |(at, sent): &(u64, &Sent)| {
      let told = heard.get(&sent.instance);
      let from = at.saturating_sub(self.bounds.contact_ms);
      told.is_some_and(|told| *at >= told + bound)
        && !self.troubled(&Target::Instance(sent.instance), from, *at)
    };
    let mut counted: Vec<u64> = arrivals
      .iter()
      .filter(|one| counts(one))
      .map(|(at, _)| *at)
      .collect();
    counted.sort_unstable();
    counted
  }

  /// What servers say in their answers holds.
  fn said(&mut self) {
    let bound = self.bounds.drain_ms + self.slack();
    let late = said::after_leaving(self.history);
    for After { arrival, after_ms } in late.iter().filter(|last| last.after_ms > bound) {
      let (server, id) = (&arrival.server, &arrival.id);
      let text = format!(
        "server `{server}` got `{id}` {after_ms} ms after its instance had passed on that it leaves"
      );
      self.found("said leaving", arrival.at, text);
    }
    let crossing = self.bounds.crossing_ms + self.slack();
    for (rest, got) in said::in_rests(self.history, crossing) {
      if got > self.bounds.in_rest {
        let text = format!(
          "server `{}` got {got} requests of one instance in a rest of {} ms",
          rest.server,
          rest.to - rest.from
        );
        self.found("rest", rest.from, text);
      }
    }
  }

  /// After all faults everything is served again.
  fn recovery(&mut self) {
    let from = self.history.calm_from + self.bounds.recover_ms;
    for kind in Kind::ALL {
      let calm = self.history.sent.iter();
      let calm: Vec<&Sent> = calm
        .filter(|sent| sent.kind == kind && sent.at >= from && sent.end != End::Left)
        .collect();
      let served = calm.iter();
      let served = served
        .filter(|sent| matches!(sent.end, End::Success { .. }))
        .count();
      let enough = match self.bounds.timed {
        true => served * 100 >= calm.len() * SERVED_PERCENT,
        false => served > 0,
      };
      if calm.is_empty() || !enough {
        let text = format!(
          "{served} of {} requests `{}` were served",
          calm.len(),
          kind.route()
        );
        self.found("recovery", from, text);
      }
    }
  }
}
