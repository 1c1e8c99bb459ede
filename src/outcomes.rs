//! What follows from the outcome of each step of a job.

use crate::{
  fact::{Body, Key, Version},
  group::blend,
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
  /// Takes up the end of a job's update or read.
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
      self.see_record(&model, stored.version, record);
    }
    match outcome {
      Outcome::Unavailable => self.on_unavailable(id, step),
      Outcome::Applied(stored) => self.on_applied(id, step, &stored.value),
      Outcome::Rejected(why, stored) => self.on_rejected(id, step, why, &stored.value),
    }
  }

  fn on_unavailable(&mut self, id: Id, step: Step) {
    // The reservation is read again before an order that was not verified.
    let back = if step == Step::Verify {
      Step::Reserve
    } else {
      step
    };
    self.go_later(id, back);
  }

  fn on_applied(&mut self, id: Id, step: Step, value: &Value) {
    if let (Value::Server(ledger), Some(job)) = (value, self.jobs.get_mut(&id)) {
      job.fence = ledger.fence;
    }
    match step {
      Step::Inspect => self.on_inspected(id, value),
      Step::Decide => self.go(id, Step::Reserve),
      Step::Reserve => self.go(id, Step::Verify),
      Step::Verify => self.on_verified(id, value),
      Step::Retire => self.on_withdrawn(id),
      Step::Unreserve => self.go(id, Step::Unload),
      Step::Release => self.go(id, Step::Drop),
      Step::Deregister => self.end_job(id),
      Step::Drop => self.on_dropped(id),
      _ => {}
    }
  }

  /// A reservation whose replica is not decided was made by a process that ended
  /// before it could look at the decision again.
  fn on_inspected(&mut self, id: Id, value: &Value) {
    let decided = matches!(value, Value::Model(record) if record.find(id).is_some());
    if decided {
      self.end_job(id);
    } else {
      self.go(id, Step::Unreserve);
    }
  }

  fn on_verified(&mut self, id: Id, value: &Value) {
    let Value::Model(record) = value else {
      return;
    };
    let target = record.find(id).map(|replica| replica.target);
    // Withdrawn meanwhile, perhaps forgotten: the reservation is ours to clear.
    let next = match target {
      Some(Target::Loaded) => Step::Load,
      _ => Step::Unreserve,
    };
    self.go(id, next);
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
      (Step::Reserve, Server(Ledger::Unloading)) => self.go(id, Step::Deregister),
      (Step::Unreserve, Server(Ledger::Missing)) => self.go(id, Step::Drop),
      (Step::Release, Server(Ledger::InFlight)) => self.on_in_flight(id, value),
      (_, Model(_)) => self.end_job(id),
      _ => self.go_later(id, step),
    }
  }

  /// Others were quicker on this server: a server with room is sooner than one
  /// where a replica must give way.
  fn on_no_memory(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let (model, server) = (job.model.clone(), job.replica.server.clone());
    let policy_name = job.replica.policy.clone();
    let policy = self.policy(&policy_name);
    if !self.room_elsewhere(&model, &policy, &server) {
      self.go(id, Step::MakeRoom);
      return;
    }
    let key = self.server(&server);
    self.servers[key].full_until = self.now + self.limits.yield_ms;
    // The next decision need not wait: it goes elsewhere.
    let group = self.group(&model, &policy_name);
    self.groups[group].hold_until = 0;
    self.go(id, Step::Retire);
  }

  /// Requests are drained only from a replica that may have taken some.
  fn on_withdrawn(&mut self, id: Id) {
    let reserved = self.jobs.get(&id).is_some_and(|job| job.fence > 0);
    let placed = self.jobs.get(&id).is_some_and(|job| job.is_new);
    let next = match placed && !reserved {
      true => Step::Unreserve,
      false => Step::Drain,
    };
    self.go(id, next);
  }

  /// Another process may still send an order: wait until it has settled or is
  /// known to have ended, and look at the engine again after that.
  fn on_in_flight(&mut self, id: Id, value: &Value) {
    let Value::Server(ledger) = value else {
      return;
    };
    let held = ledger.find(id);
    let orderers = held.map(|held| held.orderers.clone()).unwrap_or_default();
    let mine = self.orderer();
    let ended: Vec<String> = orderers
      .into_iter()
      .filter(|orderer| *orderer != mine && self.process_ended(orderer))
      .collect();
    let until = self.now + self.limits.order_ttl_ms;
    if let Some(job) = self.jobs.get_mut(&id)
      && ended
        .iter()
        .any(|orderer| !job.ended_orderers.contains(orderer))
    {
      // What an ended process sent last may still be on its way.
      job.ended_orderers = ended;
      job.in_flight_until = job.in_flight_until.max(until);
    }
    self.go_later(id, Step::Unreserve);
  }

  /// Takes up the end of an order.
  pub fn on_ordered(&mut self, id: Id, number: u64, outcome: order::Outcome) {
    let until = self.now + self.limits.order_ttl_ms;
    let Some(job) = self.jobs.get_mut(&id) else {
      return;
    };
    if outcome == order::Outcome::Unknown {
      job.in_flight_until = job.in_flight_until.max(until);
    }
    if job.number != number {
      return;
    }
    let step = job.step;
    match (step, outcome) {
      (Step::Load, order::Outcome::Accepted) => self.go(id, Step::AwaitReady),
      (Step::Load, order::Outcome::Declined) => self.go(id, Step::Retire),
      (Step::Load, _) => self.go_later(id, Step::Reserve),
      (Step::Unload, order::Outcome::Accepted) => self.go(id, Step::AwaitGone),
      (Step::Unload, _) if self.server_gone_of(id) => self.go(id, Step::Release),
      (Step::Unload, _) => self.go_later(id, Step::Unreserve),
      _ => {}
    }
  }

  fn server_gone_of(&self, id: Id) -> bool {
    let job = self.jobs.get(&id);
    job.is_some_and(|job| self.server_gone(&job.replica.server))
  }

  /// Takes up an engine's report for every job that waits for one.
  pub fn jobs_reported(&mut self, status: &Status) {
    let Some(report) = &status.report else {
      return;
    };
    let concerned: Vec<Id> = self
      .jobs
      .iter()
      .filter(|(_, job)| {
        job.replica.server == status.server && job.step_started_at <= status.requested_at
      })
      .map(|(id, _)| *id)
      .collect();
    for id in concerned {
      match self.jobs.get(&id).map(|job| job.step) {
        Some(Step::AwaitReady) => self.on_load_report(id, report),
        Some(Step::AwaitGone) => self.on_unload_report(id, report),
        Some(Step::MakeRoom) => self.on_room_report(id, report),
        _ => {}
      }
    }
  }

  fn on_load_report(&mut self, id: Id, report: &Report) {
    match report.find(id).map(|resident| resident.stage) {
      Some(Stage::Ready) => self.on_ready(id, report),
      Some(_) => {}
      // The engine restarted or gave the load up: the same order again.
      None => self.go_later(id, Step::Reserve),
    }
  }

  fn on_ready(&mut self, id: Id, report: &Report) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let took_ms = self.now - job.step_started_at;
    let model = job.model.clone();
    let tier = report.tier(&model) as usize;
    let memory = self.catalog.models.get(&model).map(|spec| spec.memory_mb);
    if let Some(memory) = memory {
      self.load_rates[tier] = blend(self.load_rates[tier], took_ms * 1_000 / memory.max(1)).max(1);
    }
    self.log(Entry::Ready {
      model,
      replica: id.to_string(),
      server: job.replica.server.clone(),
      policy: job.replica.policy.clone(),
      took_ms: self.now - job.started_at,
    });
    self.go(id, Step::Deregister);
  }

  fn on_unload_report(&mut self, id: Id, report: &Report) {
    match report.find(id).map(|resident| resident.stage) {
      None => self.go(id, Step::Release),
      Some(Stage::Unloading) => {}
      // An order of another came after ours.
      Some(_) => self.go_later(id, Step::Unreserve),
    }
  }

  fn on_room_report(&mut self, id: Id, report: &Report) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let (model, policy) = (job.model.clone(), job.replica.policy.clone());
    let began = job.started_at;
    let server = self.server(&job.replica.server.clone());
    let capacity = self
      .spec(&self.servers[server].name)
      .map(|spec| spec.memory_mb);
    let used = self.decided_mb(&self.servers[server]);
    let need = used.saturating_sub(capacity.unwrap_or_default()).max(1);
    let key = self.group(&model, &policy);
    let victims = self.victims(key, report, need);
    // Waiting here helps no more: another server may have room.
    if victims.is_empty() && self.now > began + 4 * self.limits.drain_ms {
      self.servers[server].full_until = self.now + self.limits.yield_ms;
      self.go(id, Step::Retire);
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

  /// Takes up a model record: what is decided is published to all.
  pub fn see_record(&mut self, model: &str, version: u64, record: &record::Record) {
    let key = Key::Placement(model.into());
    if self.facts.version(&key).0 > version {
      return;
    }
    if let Some(owned) = self.owned.get_mut(model) {
      owned.record_read = true;
      owned.gaps = record.gaps.clone();
    }
    if record.replicas.is_empty() && self.facts.get(&key).is_none() {
      // Most models are never placed: nothing is to be published.
      return;
    }
    let body = Body::Placement(record.replicas.clone());
    self.publish(key, Version(version, 0), body);
  }
}
