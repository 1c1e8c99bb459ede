//! Execution of the job steps that load and unload a replica.
//!
//! A load writes the decision, reserves memory, reads the decision again and then sends
//! the order. Every step can be repeated: after a missing response the job returns to a
//! step that is idempotent or completes what was started.

use crate::{
  effect::Effect,
  event::Tag,
  job::{Job, Step},
  journal::Entry,
  ledger,
  object::{Kind, Name},
  order::{Act, Order},
  record,
  replica::{Id, Replica},
  state::State,
  update::Change,
};

/// Initial delay before a failed step is retried.
const MIN_RETRY_DELAY_MS: u64 = 50;
/// Maximum delay before a failed step is retried.
const MAX_RETRY_DELAY_MS: u64 = 2_000;
/// Initial interval between polls of an engine that works on a job.
const MIN_POLL_INTERVAL_MS: u64 = 25;
/// Maximum interval between polls of an engine that works on a job.
const MAX_POLL_INTERVAL_MS: u64 = 200;
/// Time after which a missing response counts as lost.
const RESPONSE_TIMEOUT_MS: u64 = 20_000;

impl State {
  /// Starts a job for a replica.
  pub fn start_job(&mut self, model: &str, replica: Replica, step: Step, limit: u32) {
    let id = replica.id;
    let job = Job {
      model: model.into(),
      replica,
      step,
      number: 0,
      due: self.now,
      failures: 0,
      step_started_at: self.now,
      started_at: self.now,
      load_deadline: self.now + self.limits.load_ms,
      is_new: step == Step::Decide,
      fence: 0,
      in_flight_until: 0,
      limit,
      ended_orderers: Vec::new(),
      decision_read_at: 0,
    };
    self.jobs.insert(id, job);
    self.run_step(id);
  }

  /// Enters a step and runs it immediately.
  pub fn enter_step(&mut self, id: Id, step: Step) {
    let now = self.now;
    if let Some(job) = self.jobs.get_mut(&id) {
      if job.step != step {
        job.step_started_at = now;
      }
      job.step = step;
      job.failures = 0;
      job.due = now;
    }
    self.run_step(id);
  }

  /// Enters a step after a delay that grows with consecutive failures.
  pub fn enter_step_later(&mut self, id: Id, step: Step) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let failures = job.failures;
    let delay = self.backoff(MIN_RETRY_DELAY_MS, failures, MAX_RETRY_DELAY_MS);
    let due = self.now + delay;
    if let Some(job) = self.jobs.get_mut(&id) {
      job.step = step;
      job.failures += 1;
      job.due = due;
    }
  }

  /// Runs the jobs that are due.
  pub fn run_jobs(&mut self) {
    let now = self.now;
    let due: Vec<Id> = self
      .jobs
      .iter()
      .filter(|(_, job)| job.due <= now)
      .map(|(id, _)| *id)
      .collect();
    for id in due {
      self.resume_job(id);
    }
  }

  /// Resumes a job after its delay or after a missing response.
  fn resume_job(&mut self, id: Id) {
    let in_flight_until = self.now + self.limits.order_ttl_ms;
    if let Some(job) = self.jobs.get_mut(&id) {
      let previous = match job.step {
        Step::Load => Some(Step::Reserve),
        Step::Unload => Some(Step::MarkUnloading),
        _ => None,
      };
      if let Some(step) = previous {
        // The order may have been sent, so it is repeated only after the records are read again.
        job.step = step;
        job.in_flight_until = job.in_flight_until.max(in_flight_until);
      }
    }
    self.run_step(id);
  }

  /// Runs the current step of a job.
  fn run_step(&mut self, id: Id) {
    let now = self.now;
    let Some(job) = self.jobs.get_mut(&id) else {
      return;
    };
    job.number += 1;
    job.due = now + RESPONSE_TIMEOUT_MS;
    let step = job.step;
    if job.is_loading() && step != Step::Deregister && now >= job.load_deadline {
      self.abandon_load(id);
      return;
    }
    match step {
      Step::Inspect => self.read_decision(id),
      Step::Decide => self.write_decision(id),
      Step::Reserve => self.write_reservation(id),
      Step::Verify => self.read_decision(id),
      Step::Load => self.send_order(id, Step::Load),
      Step::Evict | Step::AwaitReady | Step::AwaitGone => self.poll_engine(id),
      Step::Deregister => self.write_deregistration(id),
      Step::Retire => self.write_retirement(id),
      Step::Drain => self.drain(id),
      Step::MarkUnloading => self.write_unloading(id),
      Step::Unload => self.send_order(id, Step::Unload),
      Step::Release => self.write_release(id),
      Step::Drop => self.remove_replica(id),
    }
  }

  fn abandon_load(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    self.log(Entry::Retiring {
      model: job.model.clone(),
      replica: id.to_string(),
      server: job.replica.server.clone(),
      why: "load given up".into(),
    });
    self.enter_step(id, Step::Retire);
  }

  fn update_record(&mut self, id: Id, kind: Kind, change: Option<Change>) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let name = match kind {
      Kind::ModelRecord => job.model.clone(),
      _ => job.replica.server.clone(),
    };
    let urgent = job.step != Step::Deregister;
    let tag = Tag::Job {
      replica: id,
      step: job.number,
    };
    self.emit(Effect::Update {
      tag,
      name: Name::new(kind, name),
      change,
      urgent,
    });
  }

  fn write_decision(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let change = record::Change::Add {
      replica: job.replica.clone(),
      limit: job.limit,
    };
    self.update_record(id, Kind::ModelRecord, Some(Change::Model(change)));
  }

  fn write_reservation(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let model = job.model.clone();
    let spec = self.catalog.models.get(&model);
    let capacity_mb = self.spec(&job.replica.server).map(|spec| spec.memory_mb);
    let (Some(spec), Some(capacity_mb)) = (spec, capacity_mb) else {
      self.enter_step(id, Step::Retire);
      return;
    };
    let change = ledger::Change::Reserve {
      replica: id,
      model,
      memory_mb: spec.memory_mb,
      capacity_mb,
      orderer: self.orderer(),
    };
    self.update_record(id, Kind::ServerRecord, Some(Change::Server(change)));
  }

  fn read_decision(&mut self, id: Id) {
    let now = self.now;
    if let Some(job) = self.jobs.get_mut(&id) {
      job.decision_read_at = now;
    }
    self.update_record(id, Kind::ModelRecord, None);
  }

  fn write_retirement(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let group_name = (job.model.clone(), job.replica.policy.clone());
    let group = self.group_keys.get(&group_name);
    let gaps = group.map(|key| self.groups[*key].history.counts().to_vec());
    let gaps = gaps.unwrap_or_default();
    let change = record::Change::Retire { id, gaps };
    self.update_record(id, Kind::ModelRecord, Some(Change::Model(change)));
  }

  fn drain(&mut self, id: Id) {
    let due = self.now + self.limits.drain_ms;
    if let Some(job) = self.jobs.get_mut(&id) {
      job.step = Step::MarkUnloading;
      job.due = due;
    }
  }

  fn write_unloading(&mut self, id: Id) {
    let orderer = self.orderer();
    let in_flight_until = self.jobs.get(&id).map(|job| job.in_flight_until);
    let change = ledger::Change::Unload {
      replica: id,
      orderer,
      deregister: in_flight_until.unwrap_or_default() <= self.now,
    };
    self.update_record(id, Kind::ServerRecord, Some(Change::Server(change)));
  }

  fn write_deregistration(&mut self, id: Id) {
    let orderer = self.orderer();
    let now = self.now;
    if let Some(job) = self.jobs.get_mut(&id)
      && job.in_flight_until > now
    {
      job.due = job.in_flight_until;
      return;
    }
    let change = ledger::Change::Deregister {
      replica: id,
      orderer,
    };
    self.update_record(id, Kind::ServerRecord, Some(Change::Server(change)));
  }

  fn write_release(&mut self, id: Id) {
    let now = self.now;
    let Some(job) = self.jobs.get_mut(&id) else {
      return;
    };
    let server = job.replica.server.clone();
    let server_gone = self.server_gone(&server);
    let fenced = self.spec(&server).is_some_and(|spec| spec.fencing);
    let Some(job) = self.jobs.get_mut(&id) else {
      return;
    };
    if !server_gone && !fenced && job.in_flight_until > now {
      job.due = job.in_flight_until;
      job.step = Step::AwaitGone;
      return;
    }
    let ended_orderers = job.ended_orderers.clone();
    let change = ledger::Change::Release {
      replica: id,
      orderer: self.orderer(),
      fenced: fenced || server_gone,
      gone: ended_orderers,
    };
    self.update_record(id, Kind::ServerRecord, Some(Change::Server(change)));
  }

  fn remove_replica(&mut self, id: Id) {
    let change = record::Change::Drop { id };
    self.update_record(id, Kind::ModelRecord, Some(Change::Model(change)));
  }

  fn send_order(&mut self, id: Id, step: Step) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let (model, server) = (job.model.clone(), job.replica.server.clone());
    let (fence, number) = (job.fence, job.number);
    let decision_read_at = job.decision_read_at;
    let spec = self.catalog.models.get(&model);
    let base = spec.and_then(|spec| spec.base.clone());
    let memory_mb = spec.map(|spec| spec.memory_mb).unwrap_or_default();
    let Some(address) = self.spec(&server).map(|spec| spec.address.clone()) else {
      self.enter_step_later(id, Step::Retire);
      return;
    };
    let act = match step {
      Step::Load => Act::Load {
        model: model.clone(),
        base,
        memory_mb,
      },
      _ => Act::Unload,
    };
    if step == Step::Load {
      let replica = id.to_string();
      let server = server.clone();
      self.log(Entry::Ordered {
        model,
        replica,
        server,
      });
    }
    // The decision is valid for a limited time from the read request, however late the
    // response arrived.
    let read_at = match step {
      Step::Load => decision_read_at,
      _ => self.now,
    };
    let fresh_until = read_at + self.limits.fresh_ms;
    self.emit(Effect::Order {
      order: Order {
        server,
        address,
        replica: id,
        act,
        fence,
        fresh_until,
      },
      step: number,
    });
  }

  fn poll_engine(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let server = job.replica.server.clone();
    if job.step == Step::AwaitGone && self.server_gone(&server) {
      self.enter_step(id, Step::Release);
      return;
    }
    let failures = job.failures;
    let delay = self.backoff(MIN_POLL_INTERVAL_MS, failures.min(3), MAX_POLL_INTERVAL_MS);
    let due = self.now + delay;
    if let Some(job) = self.jobs.get_mut(&id) {
      job.due = due;
      job.failures += 1;
    }
    if let Some(spec) = self.spec(&server) {
      let address = spec.address.clone();
      self.emit(Effect::Poll { server, address });
    }
  }
}
