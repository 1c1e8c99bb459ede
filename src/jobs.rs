//! Jobs: each step of loading and unloading one replica.
//!
//! Decide first, reserve second, look at the decision once more, then order.
//! Every step may be done again: an answer that does not come leads back to a
//! step whose repetition changes nothing or completes what was begun.

use crate::{
  effect::Effect,
  event::Tag,
  fact::{Body, Key, Version},
  group::blend,
  job::{Job, Step},
  journal::Entry,
  ledger,
  notice::Notice,
  object::{Kind, Name},
  order::{self, Act, Order, Status},
  record,
  replica::{Id, Replica, Target},
  report::{Report, Stage},
  state::State,
  update::{self, Change, Outcome, Value},
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
      since: self.now,
      began: self.now,
      give_up: self.now + self.limits.load_ms,
      fence: 0,
      unsure_until: 0,
      limit,
      ended: Vec::new(),
      read_at: 0,
    };
    self.jobs.insert(id, job);
    self.advance(id);
  }

  fn go(&mut self, id: Id, step: Step) {
    let now = self.now;
    if let Some(job) = self.jobs.get_mut(&id) {
      if job.step != step {
        job.since = now;
      }
      job.step = step;
      job.failures = 0;
      job.due = now;
    }
    self.advance(id);
  }

  /// Goes to a step after a pause that grows with failures in a row.
  fn go_later(&mut self, id: Id, step: Step) {
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
        job.unsure_until = job.unsure_until.max(until);
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
    if job.loads() && step != Step::Settle && now >= job.give_up {
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
      Step::Settle => self.settle(id),
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
    self.note(Entry::Retiring {
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
    let urgent = job.step != Step::Settle;
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
      job.read_at = now;
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
    let unsure_until = self.jobs.get(&id).map(|job| job.unsure_until);
    let change = ledger::Change::Unload {
      replica: id,
      orderer,
      settled: unsure_until.unwrap_or_default() <= self.now,
    };
    self.update(id, Kind::ServerRecord, Some(Change::Server(change)));
  }

  fn settle(&mut self, id: Id) {
    let orderer = self.orderer();
    let now = self.now;
    if let Some(job) = self.jobs.get_mut(&id)
      && job.unsure_until > now
    {
      job.due = job.unsure_until;
      return;
    }
    let change = ledger::Change::Settle {
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
    if !gone && !fenced && job.unsure_until > now {
      job.due = job.unsure_until;
      job.step = Step::AwaitGone;
      return;
    }
    let orderers = job.ended.clone();
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
    let job_read_at = job.read_at;
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
      self.note(Entry::Ordered {
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
      Step::Retire => self.go(id, Step::Drain),
      Step::Unreserve => self.go(id, Step::Unload),
      Step::Release => self.go(id, Step::Drop),
      Step::Settle => self.end_job(id),
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
      self.note(Entry::Gone {
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
      (Step::Reserve, Server(Ledger::Memory)) => self.go(id, Step::MakeRoom),
      (Step::Reserve, Server(Ledger::Unloading)) => self.go(id, Step::Settle),
      (Step::Unreserve, Server(Ledger::Missing)) => self.go(id, Step::Drop),
      (Step::Release, Server(Ledger::InFlight)) => self.on_in_flight(id, value),
      (_, Model(_)) => self.end_job(id),
      _ => self.go_later(id, step),
    }
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
      .filter(|orderer| *orderer != mine && self.ended(orderer))
      .collect();
    let until = self.now + self.limits.order_ttl_ms;
    if let Some(job) = self.jobs.get_mut(&id)
      && ended.iter().any(|orderer| !job.ended.contains(orderer))
    {
      // What an ended process sent last may still be on its way.
      job.ended = ended;
      job.unsure_until = job.unsure_until.max(until);
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
      job.unsure_until = job.unsure_until.max(until);
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
      .filter(|(_, job)| job.replica.server == status.server && job.since <= status.asked_at)
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
    let took_ms = self.now - job.since;
    let model = job.model.clone();
    let tier = report.tier(&model) as usize;
    let memory = self.catalog.models.get(&model).map(|spec| spec.memory_mb);
    if let Some(memory) = memory {
      self.load_rates[tier] = blend(self.load_rates[tier], took_ms * 1_000 / memory.max(1)).max(1);
    }
    self.note(Entry::Ready {
      model,
      replica: id.to_string(),
      server: job.replica.server.clone(),
      policy: job.replica.policy.clone(),
      took_ms: self.now - job.began,
    });
    self.go(id, Step::Settle);
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
    let began = job.began;
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
      self.servers[server].avoid_until = self.now + self.limits.yield_ms;
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

  /// Takes up a model record: what is decided is told to all.
  pub fn see_record(&mut self, model: &str, version: u64, record: &record::Record) {
    let key = Key::Placement(model.into());
    if self.facts.version(&key).0 > version {
      return;
    }
    if let Some(owned) = self.owned.get_mut(model) {
      owned.seen = true;
      owned.gaps = record.gaps.clone();
    }
    if record.replicas.is_empty() && self.facts.get(&key).is_none() {
      // Most models are never placed: nothing needs telling.
      return;
    }
    let body = Body::Placement(record.replicas.clone());
    self.publish(key, Version(version, 0), body);
  }
}
