//! Jobs: each step of loading and unloading one replica.
//!
//! Decide first, reserve second, look at the decision once more, then order.
//! Every step may be done again: an answer that does not come leads back to a
//! step whose repetition changes nothing or completes what was begun.

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

/// Pause before a failed step is tried again, ms, and its most.
const RETRY_MS: u64 = 50;
const RETRY_MOST_MS: u64 = 2_000;
/// Pause between questions to an engine that is at work for a job, ms.
const ASK_MS: u64 = 25;
const ASK_MOST_MS: u64 = 200;
/// Time after which an answer that has not come counts as lost, ms.
const LOST_MS: u64 = 20_000;

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
    self.advance(id);
  }

  /// Goes on with a step at once.
  pub fn go(&mut self, id: Id, step: Step) {
    let now = self.now;
    if let Some(job) = self.jobs.get_mut(&id) {
      if job.step != step {
        job.step_started_at = now;
      }
      job.step = step;
      job.failures = 0;
      job.due = now;
    }
    self.advance(id);
  }

  /// Goes to a step after a pause that grows with failures in a row.
  pub fn go_later(&mut self, id: Id, step: Step) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let failures = job.failures;
    let wait = self.backoff(RETRY_MS, failures, RETRY_MOST_MS);
    let due = self.now + wait;
    if let Some(job) = self.jobs.get_mut(&id) {
      job.step = step;
      job.failures += 1;
      job.due = due;
    }
  }

  /// Acts on jobs that are due.
  pub fn run_jobs(&mut self) {
    let now = self.now;
    let due: Vec<Id> = self
      .jobs
      .iter()
      .filter(|(_, job)| job.due <= now)
      .map(|(id, _)| *id)
      .collect();
    for id in due {
      self.resume(id);
    }
  }

  /// Acts on a job whose pause is over or whose answer did not come.
  fn resume(&mut self, id: Id) {
    let until = self.now + self.limits.order_ttl_ms;
    if let Some(job) = self.jobs.get_mut(&id) {
      let back = match job.step {
        Step::Load => Some(Step::Reserve),
        Step::Unload => Some(Step::Unreserve),
        _ => None,
      };
      if let Some(step) = back {
        // The order may have gone out: only a fresh look may repeat it.
        job.step = step;
        job.in_flight_until = job.in_flight_until.max(until);
      }
    }
    self.advance(id);
  }

  /// Does what the job's step asks for.
  fn advance(&mut self, id: Id) {
    let now = self.now;
    let Some(job) = self.jobs.get_mut(&id) else {
      return;
    };
    job.number += 1;
    job.due = now + LOST_MS;
    let step = job.step;
    if job.is_loading() && step != Step::Deregister && now >= job.load_deadline {
      self.give_up_load(id);
      return;
    }
    match step {
      Step::Inspect => self.read_decision(id),
      Step::Decide => self.write_decision(id),
      Step::Reserve => self.reserve(id),
      Step::Verify => self.read_decision(id),
      Step::Load => self.order(id, Step::Load),
      Step::MakeRoom | Step::AwaitReady | Step::AwaitGone => self.ask_engine(id),
      Step::Deregister => self.settle(id),
      Step::Retire => self.withdraw(id),
      Step::Drain => self.drain(id),
      Step::Unreserve => self.unreserve(id),
      Step::Unload => self.order(id, Step::Unload),
      Step::Release => self.release(id),
      Step::Drop => self.drop_replica(id),
    }
  }

  fn give_up_load(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    self.log(Entry::Retiring {
      model: job.model.clone(),
      replica: id.to_string(),
      server: job.replica.server.clone(),
      why: "load given up".into(),
    });
    self.go(id, Step::Retire);
  }

  fn update(&mut self, id: Id, kind: Kind, change: Option<Change>) {
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
      name: Name::of(kind, name),
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
    self.update(id, Kind::ModelRecord, Some(Change::Model(change)));
  }

  fn reserve(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let model = job.model.clone();
    let spec = self.catalog.models.get(&model);
    let capacity = self.spec(&job.replica.server).map(|spec| spec.memory_mb);
    let (Some(spec), Some(capacity_mb)) = (spec, capacity) else {
      self.go(id, Step::Retire);
      return;
    };
    let change = ledger::Change::Reserve {
      replica: id,
      model,
      memory_mb: spec.memory_mb,
      capacity_mb,
      orderer: self.orderer(),
    };
    self.update(id, Kind::ServerRecord, Some(Change::Server(change)));
  }

  fn read_decision(&mut self, id: Id) {
    let now = self.now;
    if let Some(job) = self.jobs.get_mut(&id) {
      job.decision_read_at = now;
    }
    self.update(id, Kind::ModelRecord, None);
  }

  fn withdraw(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let names = (job.model.clone(), job.replica.policy.clone());
    let group = self.group_keys.get(&names);
    let gaps = group.map(|key| self.groups[*key].history.counts().to_vec());
    let gaps = gaps.unwrap_or_default();
    let change = record::Change::Retire { id, gaps };
    self.update(id, Kind::ModelRecord, Some(Change::Model(change)));
  }

  fn drain(&mut self, id: Id) {
    let due = self.now + self.limits.drain_ms;
    if let Some(job) = self.jobs.get_mut(&id) {
      job.step = Step::Unreserve;
      job.due = due;
    }
  }

  fn unreserve(&mut self, id: Id) {
    let orderer = self.orderer();
    let unsure_until = self.jobs.get(&id).map(|job| job.in_flight_until);
    let change = ledger::Change::Unload {
      replica: id,
      orderer,
      deregister: unsure_until.unwrap_or_default() <= self.now,
    };
    self.update(id, Kind::ServerRecord, Some(Change::Server(change)));
  }

  fn settle(&mut self, id: Id) {
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
    self.update(id, Kind::ServerRecord, Some(Change::Server(change)));
  }

  fn release(&mut self, id: Id) {
    let now = self.now;
    let Some(job) = self.jobs.get_mut(&id) else {
      return;
    };
    let server = job.replica.server.clone();
    let gone = self.server_gone(&server);
    let fenced = self.spec(&server).is_some_and(|spec| spec.fencing);
    let Some(job) = self.jobs.get_mut(&id) else {
      return;
    };
    if !gone && !fenced && job.in_flight_until > now {
      job.due = job.in_flight_until;
      job.step = Step::AwaitGone;
      return;
    }
    let orderers = job.ended_orderers.clone();
    let change = ledger::Change::Release {
      replica: id,
      orderer: self.orderer(),
      fenced: fenced || gone,
      gone: orderers,
    };
    self.update(id, Kind::ServerRecord, Some(Change::Server(change)));
  }

  fn drop_replica(&mut self, id: Id) {
    let change = record::Change::Drop { id };
    self.update(id, Kind::ModelRecord, Some(Change::Model(change)));
  }

  fn order(&mut self, id: Id, step: Step) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let (model, server) = (job.model.clone(), job.replica.server.clone());
    let (fence, number) = (job.fence, job.number);
    let job_read_at = job.decision_read_at;
    let spec = self.catalog.models.get(&model);
    let base = spec.and_then(|spec| spec.base.clone());
    let memory_mb = spec.map(|spec| spec.memory_mb).unwrap_or_default();
    let Some(address) = self.spec(&server).map(|spec| spec.address.clone()) else {
      self.go_later(id, Step::Retire);
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
    // What was read last binds only for so long, however late it came.
    let read_at = match step {
      Step::Load => job_read_at,
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

  fn ask_engine(&mut self, id: Id) {
    let Some(job) = self.jobs.get(&id) else {
      return;
    };
    let server = job.replica.server.clone();
    if job.step == Step::AwaitGone && self.server_gone(&server) {
      self.go(id, Step::Release);
      return;
    }
    let failures = job.failures;
    let wait = self.backoff(ASK_MS, failures.min(3), ASK_MOST_MS);
    let due = self.now + wait;
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
