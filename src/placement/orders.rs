//! Jobs that change what a server holds: their orders, the results of these, and queries to the
//! server in between.

use crate::{
  backend::Stage,
  command::{Act, Command, Inventory, Taken, Unheard},
  life::Life,
  placement::{
    models,
    plan::{Effect, Plan, QUERY_INTERVAL_MS, REPORT_LAG_MS},
    report::REJECTING_MS,
    server::{self, Loaded, Server, Step, intern_models},
  },
  report::Tier,
};
use std::collections::BTreeSet;

/// Pause between an unload and the next order before any unload was observed, ms. It changes by the
/// next two after an order that found the unload in progress, and after one that did not, so that
/// one in 20 does.
pub(crate) const INITIAL_UNLOAD_MS: f64 = 40.0;
const UNLOAD_INCREASE_MS: f64 = 10.0;
const UNLOAD_DECREASE_MS: f64 = 0.5;
/// An order with more conflicts than this met an unload that waits for running requests. That may
/// happen on any server at any time and says nothing about other unloads: when the first conflict
/// of each counted, the pause of a fleet in trouble grew to 400 ms, while a load from disk takes
/// 600 ms.
const MAX_UNLOAD_CONFLICTS: u32 = 4;
/// Pause before an order that conflicted with another one is sent again, ms.
const CONFLICT_RETRY_MS: u64 = 20;
/// Attempts of an order that conflicts with another one.
const MAX_ATTEMPTS: u32 = 36;
/// Time after which a server is queried about a load that was assumed to be done, ms: by then its
/// reports show what it held at that moment.
const ASSUMED_CHECK_MS: u64 = REPORT_LAG_MS * 2;
/// Age that no inventory reaches when it is queried, ms. One that still names fewer orders than were
/// counted is right: a server need not count an order for what it holds already. When the count was
/// kept, such a server got no more orders.
pub(crate) const MAX_REPORT_AGE_MS: u64 = REPORT_LAG_MS * 5;
/// A load may take this multiple of its estimated time.
const LOAD_TIMEOUT_FACTOR: u64 = 4;

/// What the result of an order shows about the unload before it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Unload {
  Unobserved,
  /// The order after the unload found it finished.
  Finished,
  /// The order after this pause, ms, found the unload in progress, and finished soon after.
  InProgress(u64),
}

impl Plan {
  /// Records the result of an order.
  pub fn record_order_result(&mut self, now: u64, command: &Command, taken: Taken) {
    self.now = now;
    // An order from before a restart of the server no longer counts.
    let Some(key) = self.find_server(command.life()) else {
      return;
    };
    let pool = self.servers[key].pool;
    let name = &command.model.name;
    let base = self.models.intern(pool, name, None);
    if let Some(adapter) = &command.model.adapter {
      let adapter = self.models.intern(pool, name, Some(adapter));
      self.change(key, |server, _| {
        server.record_adapter_result(now, (base, adapter), command, taken);
      });
      self.publish_pending = true;
      return;
    }
    let unload_ms = self.unload_ms as u64;
    let observed = self.change(key, |server, _| match server.awaits_result(command, base) {
      true => server.record_model_result(now, (command, base), taken, unload_ms),
      false => server.record_late_result(now, (command, base), taken),
    });
    match observed {
      Some(Unload::Finished) => self.unload_ms = (self.unload_ms - UNLOAD_DECREASE_MS).max(0.0),
      // Orders sent together show the same conflict: when each of them extended the pause, a burst
      // of 222 loads raised it to 1.3 s.
      Some(Unload::InProgress(pause_ms)) => {
        self.unload_ms = self.unload_ms.max(pause_ms as f64 + UNLOAD_INCREASE_MS);
      }
      Some(Unload::Unobserved) | None => {}
    }
  }

  /// Handles a server's answer to a query.
  pub fn receive_inventory(&mut self, now: u64, id: &str, inventory: Result<Inventory, Unheard>) {
    self.now = now;
    let born = inventory.as_ref().map_or(0, |inventory| inventory.born);
    let life = Life::of(id, born);
    let Some(key) = self.by_id.get(&life.server()).copied() else {
      return self.receive_unlisted_inventory(id, life, inventory);
    };
    let known = self.servers[key].spec.life();
    if known.supersedes(life) {
      // The answer is from before the server's restart; the query after the restart is still open.
      return;
    }
    if life.supersedes(known) {
      self.change(key, |server, models| server.restart(born, models));
      self.publish_pending = true;
    }
    let Ok(inventory) = inventory else {
      self.change(key, |server, _| {
        server.querying = false;
        server.query_failed(now);
      });
      let server = &self.servers[key];
      if server.is_unheard() {
        let next_query = server.paused_until + REJECTING_MS;
        self.any_rejecting_until = self.any_rejecting_until.max(next_query);
      }
      return;
    };
    let complete = self.servers[key].queried_at >= self.reports_complete_from;
    match complete {
      true => self.unconfirmed.remove(&key),
      false => self.unconfirmed.insert(key),
    };
    self.log_inventory(key, &inventory, complete);
    let in_progress = self.remote_jobs;
    let loading = self.servers[key].remote_load_in_progress();
    let changed = self.change(key, |server, models| {
      let stated = intern_models(server.pool, &inventory.models, models);
      let incoming = intern_models(server.pool, &inventory.incoming, models);
      let arriving = incoming.into_values().flatten().collect();
      server.apply_inventory(now, &inventory, (stated, arriving), complete)
    });
    self.publish_pending |= changed == Some(true);
    if let Some((model, started_at)) = loading
      && let Some(size) = self.models[model].size
    {
      let ended = self.servers[key].models.contains_key(&model);
      let stated_ms = size.load_ms(Tier::Remote);
      self.remote.observe(
        now.saturating_sub(started_at),
        stated_ms,
        in_progress,
        ended,
      );
    }
    self.check_job(key);
  }

  /// Assumes that a load from a nearby copy is done when its time is over, because a report would
  /// show it only after a lag. The server is queried later.
  fn assume_done(&mut self, key: server::Key) {
    let now = self.now;
    self.change(key, |server, _| {
      if let Some(job) = server.job.take() {
        server.models.insert(job.model, Vec::new());
        server.used_at.insert(job.model, now);
        server.assumed_done = Some((job.model, now + ASSUMED_CHECK_MS));
      }
    });
    self.publish_pending = true;
  }

  /// Continues a job after its server was queried again, if there is still room for the load: an
  /// earlier order without an answer may have been carried out meanwhile.
  fn check_job(&mut self, key: server::Key) {
    let server = &self.servers[key];
    let Some(job) = &server.job else {
      return;
    };
    let Some(engine) = self.models.engine(server.pool) else {
      return;
    };
    if job.step == Step::Await || !server.synced {
      return;
    }
    let models = &self.models;
    let freed = job.victims.iter();
    let freed: u64 = freed.map(|model| server.memory_of(*model, models)).sum();
    let needed_mb = models[job.model].size.map(|size| size.memory_mb);
    let free_mb = engine
      .memory_mb
      .saturating_sub(server.memory_used(models) - freed);
    let loaded = server.models.contains_key(&job.model);
    if !loaded && needed_mb.is_some_and(|needed_mb| needed_mb <= free_mb) {
      return;
    }
    let why = format!("{free_mb} MB free for {needed_mb:?} MB, or the model is already loaded");
    self.abandon_load(key, why);
  }

  /// Gives up a load that has not been ordered yet.
  fn abandon_load(&mut self, key: server::Key, why: String) {
    let job = self.change(key, |server, _| {
      server.leaving.clear();
      server.job.take()
    });
    self.publish_pending = true;
    if let Some(job) = job.flatten() {
      self.log_decision("load given up", key, job.model, why);
    }
  }

  /// Queries a server for what it holds, if that is due.
  pub(crate) fn query_if_due(&mut self, key: server::Key) {
    let now = self.now;
    let Some(server) = self.servers.get(key) else {
      return;
    };
    let check_due = |(_, at): (models::Key, u64)| now >= at;
    if server.job.is_none() && server.assumed_done.is_some_and(check_due) {
      // Unless the next load is in progress, the server is queried about the last one.
      self.change(key, |server, _| {
        server.adjust_load_factor(true);
        server.synced = false;
      });
    }
    let server = &self.servers[key];
    let awaiting_reply = server.job.as_ref().is_some_and(|job| job.awaiting_reply);
    if server.synced
      || server.querying
      || awaiting_reply
      || now < server.paused_until
      || !server.has_engine
    {
      return;
    }
    self.query(key);
  }

  /// Queries servers again whose inventories may lack orders of an earlier holder: until then they
  /// count towards every `max_replicas`.
  pub(crate) fn confirm_inventories(&mut self) {
    let due = self.now >= self.reports_complete_from && !self.unconfirmed.is_empty();
    if !due || !self.limits_replicas() {
      return;
    }
    let idle = |key: &server::Key| self.servers[*key].job.is_none();
    let idle: Vec<server::Key> = self.unconfirmed.iter().copied().filter(idle).collect();
    for key in idle {
      self.unconfirmed.remove(&key);
      self.change(key, |server, _| server.synced = false);
    }
  }

  fn query(&mut self, key: server::Key) {
    let now = self.now;
    self.change(key, |server, _| {
      server.querying = true;
      server.queried_at = now;
    });
    let spec = &self.servers[key].spec;
    let effect = Effect::Query {
      id: spec.id.clone(),
      address: spec.address,
    };
    self.effects.push(effect);
  }

  /// Advances a server's job.
  pub(crate) fn advance_job(&mut self, key: server::Key) {
    let now = self.now;
    let Some(server) = self.servers.get(key) else {
      return;
    };
    let Some(job) = &server.job else {
      return;
    };
    let inventory_known = server.synced || job.step == Step::Await;
    let allowed = self.ordering || job.step == Step::Await;
    if job.awaiting_reply || now < job.due || !inventory_known || !allowed {
      return;
    }
    if job.step != Step::Await && server.spec.stage != Stage::Ready {
      return self.abandon_load(key, "server leaves".into());
    }
    if job.step == Step::Await && !job.remote {
      return self.assume_done(key);
    }
    if job.step == Step::Await {
      self.change(key, |server, _| {
        server
          .job
          .iter_mut()
          .for_each(|job| job.awaiting_reply = true);
      });
      return self.query(key);
    }
    let (act, model) = match job.victims.first() {
      Some(victim) if job.step != Step::Load => (Act::Unload, *victim),
      _ => (Act::Load, job.model),
    };
    self.change(key, |server, _| {
      if let Some(job) = &mut server.job {
        job.awaiting_reply = true;
        job.step = match act {
          Act::Load => Step::Load,
          Act::Unload => Step::Unload,
        };
      }
    });
    self.send_order(key, act, model);
  }

  /// Orders the load or unload of a model or an adapter.
  pub(crate) fn send_order(&mut self, key: server::Key, act: Act, model: models::Key) {
    self.log_order(key, act, model);
    let server = &self.servers[key];
    self.effects.push(Effect::Order(Command {
      id: server.spec.id.clone(),
      born: server.spec.born,
      address: server.spec.address,
      act,
      model: self.models[model].model.clone(),
      orders: server.orders,
      holder: self.machine.clone(),
      term: self.term,
    }));
  }
}

impl Server {
  /// The load from the weight store in progress, and when it started, ms.
  fn remote_load_in_progress(&self) -> Option<(models::Key, u64)> {
    let job = self.job.as_ref()?;
    (job.remote && job.step == Step::Await).then_some((job.model, job.started_at))
  }

  /// Whether a result is that of the order that the job waits for, not of an order from before this
  /// machine acquired the lease again or the server's entry returned.
  fn awaits_result(&self, command: &Command, model: models::Key) -> bool {
    let Some(job) = &self.job else {
      return false;
    };
    let ordered = match job.step {
      Step::Load => Some((Act::Load, job.model)),
      Step::Unload => job.victims.first().map(|victim| (Act::Unload, *victim)),
      Step::Leave | Step::Await => None,
    };
    job.awaiting_reply && ordered == Some((command.act, model))
  }

  /// Records the result of an order whose job is gone. Only an accepted order changes the server,
  /// and the inventories known so far may not include it.
  fn record_late_result(
    &mut self,
    now: u64,
    (command, model): (&Command, models::Key),
    taken: Taken,
  ) -> Unload {
    if taken != Taken::Unknown && command.act == Act::Load {
      self.unanswered.remove(&model);
    }
    if taken == Taken::Accepted && command.orders >= self.orders {
      self.count_order(now, command);
      self.synced = false;
    }
    Unload::Unobserved
  }

  /// Records the result of an order for a model.
  fn record_model_result(
    &mut self,
    now: u64,
    (command, model): (&Command, models::Key),
    taken: Taken,
    unload_ms: u64,
  ) -> Unload {
    if taken == Taken::Accepted {
      self.count_order(now, command);
      self.adjust_load_factor(true);
    }
    if command.act == Act::Unload && matches!(taken, Taken::Accepted | Taken::Done) {
      self.remove_model(model);
    }
    let Some(mut job) = self.job.take() else {
      return Unload::Unobserved;
    };
    job.awaiting_reply = false;
    let conflicts = job.attempts;
    let follows_unload = job.step == Step::Load && job.after_unload;
    match (taken, job.step) {
      (Taken::Accepted | Taken::Done, Step::Unload) => {
        job.victims.retain(|victim| *victim != model);
        job.attempts = 0;
        if job.victims.is_empty() {
          job.step = Step::Load;
        }
        job.after_unload = true;
        job.unload_pause_ms = unload_ms;
        job.due = now + unload_ms;
        self.job = Some(job);
        Unload::Unobserved
      }
      (Taken::Accepted, Step::Load) => {
        let pause_ms = job.unload_pause_ms;
        let estimate_ms = match job.remote {
          true => job.until,
          false => (job.until as f64 * self.load_factor) as u64,
        };
        job.step = Step::Await;
        job.started_at = now;
        job.due = now + estimate_ms;
        job.until = now + (estimate_ms + REPORT_LAG_MS) * LOAD_TIMEOUT_FACTOR;
        self.job = Some(job);
        match conflicts {
          _ if !follows_unload => Unload::Unobserved,
          0 => Unload::Finished,
          _ if conflicts <= MAX_UNLOAD_CONFLICTS => Unload::InProgress(pause_ms),
          _ => Unload::Unobserved,
        }
      }
      (Taken::Conflict, _) if job.attempts < MAX_ATTEMPTS => {
        job.attempts += 1;
        self.adjust_load_factor(false);
        job.due = now + CONFLICT_RETRY_MS;
        self.job = Some(job);
        if self.attempts() % 4 == 3 {
          // The order count may have changed.
          self.synced = false;
        }
        Unload::Unobserved
      }
      (Taken::Unknown, Step::Load) => {
        self.record_unanswered(now, model, command.orders);
        self.schedule_recheck(now, taken);
        Unload::Unobserved
      }
      _ => {
        self.schedule_recheck(now, taken);
        Unload::Unobserved
      }
    }
  }

  /// Removes a model that has been unloaded, with its adapters.
  fn remove_model(&mut self, model: models::Key) {
    let adapters = self.models.remove(&model).unwrap_or_default();
    self.leaving.retain(|leaving| *leaving != model);
    self.used_at.remove(&model);
    for adapter in adapters {
      self.used_at.remove(&adapter);
      self.arriving.remove(&adapter);
    }
  }

  /// Updates the state from the models and the arriving adapters that the server states; returns
  /// whether to publish it. An inventory that is not `complete` may lack orders of an earlier holder.
  fn apply_inventory(
    &mut self,
    now: u64,
    inventory: &Inventory,
    (models, arriving): (Loaded, BTreeSet<models::Key>),
    complete: bool,
  ) -> bool {
    self.querying = false;
    self.unanswered_queries = 0;
    let was_unsynced = !self.synced;
    if inventory.orders < self.orders && self.queried_at < self.counted_at + MAX_REPORT_AGE_MS {
      // The answer is older than the last order.
      self.paused_until = self.paused_until.max(now + QUERY_INTERVAL_MS);
      if let Some(job) = &mut self.job {
        job.awaiting_reply = false;
        job.due = now + QUERY_INTERVAL_MS;
      }
      return false;
    }
    self.synced = true;
    self.stated_at = now;
    self.arriving = arriving;
    // An inventory does not name a load in progress. If that is not the load of this job, it was
    // started by an earlier lease holder or before the server's entry disappeared, or it was
    // assumed to be done too early.
    self.answered = complete && !inventory.busy || self.answered && self.job.is_some();
    self.set_orders(inventory.orders);
    if complete {
      self.limit_adopted();
    }
    let Some(mut job) = self.job.take() else {
      let changed = (was_unsynced || !inventory.busy) && self.models != models;
      if was_unsynced || !inventory.busy {
        self.models = models;
      }
      if inventory.busy {
        self.wait_until_idle(now);
      }
      return changed;
    };
    job.awaiting_reply = false;
    if job.step != Step::Await {
      self.models = models;
      job.attempts += 1;
      if !inventory.busy {
        let held = &self.models;
        job.victims.retain(|victim| held.contains_key(victim));
        if job.victims.is_empty() && job.step == Step::Unload {
          job.step = Step::Load;
        }
        self.job = Some(job);
        return true;
      }
      match job.attempts < MAX_ATTEMPTS {
        true => self.job = Some(job),
        false => self.leaving.clear(),
      }
      self.wait_until_idle(now);
      return true;
    }
    let done = models.contains_key(&job.model);
    if done && !inventory.busy {
      self.models = models;
      self.used_at.insert(job.model, now);
      return true;
    }
    if now >= job.until || !inventory.busy && now >= job.due + REPORT_LAG_MS * 2 {
      self.models = models;
      if inventory.busy {
        self.wait_until_idle(now);
      }
      return true;
    }
    job.due = now + QUERY_INTERVAL_MS;
    self.job = Some(job);
    false
  }

  /// Queries the server until no order is in progress: a load in progress takes memory that the
  /// inventory does not name. When a load that exceeded its time was dropped as if it had failed,
  /// its memory counted as free, and the next load brought the server down.
  fn wait_until_idle(&mut self, now: u64) {
    self.synced = false;
    self.paused_until = now + QUERY_INTERVAL_MS;
  }
}
