//! Transitions of a job after the outcome of each step.

use crate::{
  fact::{Body, Key, Version},
  group::moving_average,
  job::Step,
  journal::Entry,
  ledger,
  notice::Notice,
  order::{self, Status},
  record,
  replica::{Id, Target},
  report::{Report, Stage},
  state::State,
  update::{self, Outcome, Value},
};

impl State {
  /// Handles the outcome of a job's update or read.
  pub fn on_job_updated(&mut self, id: Id, number: u64, outcome: Outcome) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    if job.number != number {
      return;
    }
    let step = job.step;
    let model = job.model.clone();
    if let Outcome::Applied(stored) | Outcome::Rejected(_, stored) = &outcome
      && let Value::Model(record) = &stored.value
    {
      self.publish_record(&model, stored.version, record);
    }
    match outcome {
      Outcome::Unavailable => self.on_unavailable(id, step),
      Outcome::Applied(stored) => self.on_applied(id, step, &stored.value),
      Outcome::Rejected(why, stored) => self.on_rejected(id, step, why, &stored.value),
    }
  }

  fn on_unavailable(&mut self, id: Id, step: Step) {
    // The decision was not verified, so the reservation is read again before the order.
    let next = if step == Step::Verify {
      Step::Reserve
    } else {
      step
    };
    self.enter_step_later(id, next);
  }

  fn on_applied(&mut self, id: Id, step: Step, value: &Value) {
    if let (Value::Server(ledger), Some(job)) = (value, self.jobs.get_mut(&id)) {
      job.fence = ledger.fence;
    }
    match step {
      Step::Inspect => self.on_inspected(id, value),
      Step::Decide => self.enter_step(id, Step::Reserve),
      Step::Reserve => self.enter_step(id, Step::Verify),
      Step::Verify => self.on_verified(id, value),
      Step::Retire => self.on_retired(id),
      Step::MarkUnloading => self.enter_step(id, Step::Unload),
      Step::Release => self.enter_step(id, Step::Drop),
      Step::Deregister => self.end_job(id),
      Step::Drop => self.on_dropped(id),
      _ => {}
    }
  }

  /// Clears a reservation whose replica is not decided: the process that made it ended
  /// before it could read the decision again.
  fn on_inspected(&mut self, id: Id, value: &Value) {
    let decided = matches!(value, Value::Model(record) if record.find(id).is_some());
    if decided {
      self.end_job(id);
    } else {
      self.enter_step(id, Step::MarkUnloading);
    }
  }

  fn on_verified(&mut self, id: Id, value: &Value) {
    let Value::Model(record) = value else {
      return;
    };
    let target = record.find(id).map(|replica| replica.target);
    // If the replica was retired or removed meanwhile, this job clears its reservation.
    let next = match target {
      Some(Target::Loaded) => Step::Load,
      _ => Step::MarkUnloading,
    };
    self.enter_step(id, next);
  }

  fn on_dropped(&mut self, id: Id) {
    if let Some(job) = self.jobs.get(&id) {
      self.log(Entry::Gone {
        model: job.model.clone(),
        replica: id.to_string(),
        server: job.replica.server.clone(),
      });
    }
    self.end_job(id);
  }

  fn on_rejected(&mut self, id: Id, step: Step, why: update::Rejection, value: &Value) {
    use ledger::Rejection as Ledger;
    use update::Rejection::{Model, Server};
    match (step, why) {
      (Step::Decide, _) => self.end_job(id),
      (Step::Reserve, Server(Ledger::Memory)) => self.on_no_memory(id),
      (Step::Reserve, Server(Ledger::Unloading)) => self.enter_step(id, Step::Deregister),
      (Step::MarkUnloading, Server(Ledger::Missing)) => self.enter_step(id, Step::Drop),
      (Step::Release, Server(Ledger::InFlight)) => self.on_in_flight(id, value),
      (_, Model(_)) => self.end_job(id),
      _ => self.enter_step_later(id, step),
    }
  }

  /// Handles a server whose memory other processes reserved first. A server with free memory
  /// is ready sooner than one where a replica must be evicted.
  fn on_no_memory(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let (model, server) = (job.model.clone(), job.replica.server.clone());
    let policy_name = job.replica.policy.clone();
    let policy = self.policy(&policy_name);
    if !self.fits_elsewhere(&model, &policy, &server) {
      self.enter_step(id, Step::Evict);
      return;
    }
    let key = self.server(&server);
    self.servers[key].full_until = self.now + self.limits.yield_ms;
    // The next decision need not be delayed, since it chooses another server.
    let group = self.group(&model, &policy_name);
    self.groups[group].hold_until = 0;
    self.enter_step(id, Step::Retire);
  }

  /// Drains the replica only if it may have received requests.
  fn on_retired(&mut self, id: Id) {
    let reserved = self.jobs.get(&id).is_some_and(|job| job.fence > 0);
    let is_new = self.jobs.get(&id).is_some_and(|job| job.is_new);
    let next = match is_new && !reserved {
      true => Step::MarkUnloading,
      false => Step::Drain,
    };
    self.enter_step(id, next);
  }

  /// Another process may still send an order, so the job waits until that process has
  /// deregistered or is known to have ended, and then polls the engine again.
  fn on_in_flight(&mut self, id: Id, value: &Value) {
    let Value::Server(ledger) = value else {
      return;
    };
    let reservation = ledger.find(id);
    let orderers = reservation
      .map(|reservation| reservation.orderers.clone())
      .unwrap_or_default();
    let own_name = self.orderer();
    let ended: Vec<String> = orderers
      .into_iter()
      .filter(|orderer| *orderer != own_name && self.process_ended(orderer))
      .collect();
    let in_flight_until = self.now + self.limits.order_ttl_ms;
    if let Some(job) = self.jobs.get_mut(&id)
      && ended
        .iter()
        .any(|orderer| !job.ended_orderers.contains(orderer))
    {
      // The last order of an ended process may still be in flight.
      job.ended_orderers = ended;
      job.in_flight_until = job.in_flight_until.max(in_flight_until);
    }
    self.enter_step_later(id, Step::MarkUnloading);
  }

  /// Handles the outcome of an order.
  pub fn on_order_ended(&mut self, id: Id, number: u64, outcome: order::Outcome) {
    let in_flight_until = self.now + self.limits.order_ttl_ms;
    let Some(job) = self.jobs.get_mut(&id) else {
      return;
    };
    if outcome == order::Outcome::Unknown {
      job.in_flight_until = job.in_flight_until.max(in_flight_until);
    }
    if job.number != number {
      return;
    }
    let step = job.step;
    match (step, outcome) {
      (Step::Load, order::Outcome::Accepted) => self.enter_step(id, Step::AwaitReady),
      (Step::Load, order::Outcome::Declined) => self.enter_step(id, Step::Retire),
      (Step::Load, _) => self.enter_step_later(id, Step::Reserve),
      (Step::Unload, order::Outcome::Accepted) => self.enter_step(id, Step::AwaitGone),
      (Step::Unload, _) if self.job_server_gone(id) => self.enter_step(id, Step::Release),
      (Step::Unload, _) => self.enter_step_later(id, Step::MarkUnloading),
      _ => {}
    }
  }

  fn job_server_gone(&self, id: Id) -> bool {
    let job = self.jobs.get(&id);
    job.is_some_and(|job| self.server_gone(&job.replica.server))
  }

  /// Passes a status report to every job that waits for one.
  pub fn notify_jobs(&mut self, status: &Status) {
    let Some(report) = &status.report else {
      return;
    };
    let waiting_jobs: Vec<Id> = self
      .jobs
      .iter()
      .filter(|(_, job)| {
        job.replica.server == status.server && job.step_started_at <= status.requested_at
      })
      .map(|(id, _)| *id)
      .collect();
    for id in waiting_jobs {
      match self.jobs.get(&id).map(|job| job.step) {
        Some(Step::AwaitReady) => self.on_load_report(id, report),
        Some(Step::AwaitGone) => self.on_unload_report(id, report),
        Some(Step::Evict) => self.on_eviction_report(id, report),
        _ => {}
      }
    }
  }

  fn on_load_report(&mut self, id: Id, report: &Report) {
    match report.find(id).map(|resident| resident.stage) {
      Some(Stage::Ready) => self.on_ready(id, report),
      Some(_) => {}
      // The engine restarted or abandoned the load, so the same order is sent again.
      None => self.enter_step_later(id, Step::Reserve),
    }
  }

  fn on_ready(&mut self, id: Id, report: &Report) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let took_ms = self.now - job.step_started_at;
    let model = job.model.clone();
    let tier = report.tier(&model) as usize;
    let memory_mb = self.catalog.models.get(&model).map(|spec| spec.memory_mb);
    if let Some(memory_mb) = memory_mb {
      self.load_us_per_mb[tier] = moving_average(
        self.load_us_per_mb[tier],
        took_ms * 1_000 / memory_mb.max(1),
      )
      .max(1);
    }
    self.log(Entry::Ready {
      model,
      replica: id.to_string(),
      server: job.replica.server.clone(),
      policy: job.replica.policy.clone(),
      took_ms: self.now - job.started_at,
    });
    self.enter_step(id, Step::Deregister);
  }

  fn on_unload_report(&mut self, id: Id, report: &Report) {
    match report.find(id).map(|resident| resident.stage) {
      None => self.enter_step(id, Step::Release),
      Some(Stage::Unloading) => {}
      // An order of another process arrived after this one.
      Some(_) => self.enter_step_later(id, Step::MarkUnloading),
    }
  }

  fn on_eviction_report(&mut self, id: Id, report: &Report) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let (model, policy) = (job.model.clone(), job.replica.policy.clone());
    let started_at = job.started_at;
    let server = self.server(&job.replica.server.clone());
    let capacity_mb = self
      .spec(&self.servers[server].name)
      .map(|spec| spec.memory_mb);
    let used_mb = self.decided_mb(&self.servers[server]);
    let need_mb = used_mb
      .saturating_sub(capacity_mb.unwrap_or_default())
      .max(1);
    let key = self.group(&model, &policy);
    let victims = self.victims(key, report, need_mb);
    // Waiting longer for this server does not help, but another server may have free memory.
    if victims.is_empty() && self.now > started_at + 4 * self.limits.drain_ms {
      self.servers[server].full_until = self.now + self.limits.yield_ms;
      self.enter_step(id, Step::Retire);
      return;
    }
    for (model, replica) in victims {
      let owner = self.members.owner(&model).map(str::to_string);
      match owner {
        Some(owner) if owner != self.me.instance => {
          self.notify(&owner, Notice::Yield { model, replica });
        }
        _ => self.on_yield(&model, replica),
      }
    }
    let due = self.now + self.limits.drain_ms / 2;
    if let Some(job) = self.jobs.get_mut(&id) {
      job.step = Step::Reserve;
      job.due = due;
    }
  }

  fn end_job(&mut self, id: Id) {
    let Some(job) = self.jobs.remove(&id) else {
      return;
    };
    let key = self.group(&job.model, &job.replica.policy);
    self.mark_active(key);
    self.decide(key);
  }

  /// Publishes the decided replicas of a model record to all instances.
  pub fn publish_record(&mut self, model: &str, version: u64, record: &record::Record) {
    let key = Key::Placement(model.into());
    if self.facts.version(&key).0 > version {
      return;
    }
    if let Some(owned) = self.owned.get_mut(model) {
      owned.record_read = true;
      owned.gaps = record.gaps.clone();
    }
    if record.replicas.is_empty() && self.facts.get(&key).is_none() {
      // Most models never have a replica, so there is nothing to publish.
      return;
    }
    let body = Body::Placement(record.replicas.clone());
    self.publish(key, Version(version, 0), body);
  }
}
