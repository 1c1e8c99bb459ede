//! Ownership of models, and recovery of replicas that other instances left unfinished.
//!
//! The owner reads the record of each of its models when it becomes the owner and
//! periodically after that. A replica that is decided but not loaded is rolled forward
//! if requests wait for it, and retired otherwise.

use crate::{
  catalog::Model,
  effect::Effect,
  event::Tag,
  fact::{Body, Key, MachineState, Resident, Version, short_hash},
  history::History,
  job::Step,
  object::{Kind, Name},
  order::Status,
  policy::Policy,
  replica::{Replica, Target},
  report::{Report, Stage, Tier},
  settings::Dispatch,
  state::{Owned, State},
  update::{Outcome, Value},
};

/// Maximum number of record reads started in one pass.
const MAX_READS_PER_PASS: usize = 16;
/// Audit intervals added before the next read of a record without replicas.
const UNPLACED_READ_DELAY_INTERVALS: u64 = 20;
/// Time after which a pending read counts as lost.
const READ_TIMEOUT_MS: u64 = 10_000;
/// Time after which the owner rolls forward a replica that is decided but not loaded.
const ROLL_FORWARD_DELAY_MS: u64 = 500;
/// Time after which the owner retires a replica that is decided but not loaded and for which
/// no request waits.
const RETIRE_DELAY_MS: u64 = 5_000;

impl State {
  /// Recomputes which models and servers this instance owns after the members changed.
  pub fn refresh_owned(&mut self) {
    let epoch = self.members.epoch + 1;
    if self.owned_epoch == epoch {
      return;
    }
    self.owned_epoch = epoch;
    let models: Vec<String> = self.catalog.models.keys().cloned().collect();
    let mut owned = std::collections::BTreeMap::new();
    for model in models {
      if self.owns(&model) {
        let state = self.owned.remove(&model).unwrap_or_default();
        owned.insert(model, state);
      }
    }
    self.owned = owned;
    let servers = self.catalog.servers.keys();
    let owned_servers = servers.filter(|name| self.owns(&format!("server/{name}")));
    self.owned_servers = owned_servers.cloned().collect();
    self.activate_kept_groups();
  }

  /// Recomputes whether this instance owns one model whose configuration changed.
  pub fn refresh_owner(&mut self, model: &str) {
    if !self.catalog.models.contains_key(model) || !self.owns(model) {
      self.owned.remove(model);
    } else if !self.owned.contains_key(model) {
      self.owned.insert(model.into(), Owned::default());
      self.activate_kept_groups();
    }
  }

  /// Activates the groups of owned models that a policy always keeps loaded.
  fn activate_kept_groups(&mut self) {
    let mut kept_groups = Vec::new();
    for model in self.owned.keys() {
      let Some(spec) = self.catalog.models.get(model) else {
        continue;
      };
      let policies = self.catalog.policies.iter();
      let keeping_policies = policies
        .filter(|(_, policy)| policy.min_replicas > 0 && policy.models.matches(&spec.labels))
        .filter(|(name, policy)| self.applies_to_first_caller(name, policy, spec));
      kept_groups.extend(keeping_policies.map(|(policy, _)| (model.clone(), policy.clone())));
    }
    for (model, policy) in kept_groups {
      let key = self.group(&model, &policy);
      self.mark_active(key);
    }
  }

  /// Whether a policy applies to a model for the first caller of its slice.
  fn applies_to_first_caller(&self, name: &str, policy: &Policy, model: &Model) -> bool {
    let first = policy.slice.map_or(0, |slice| u64::from(slice.from));
    self.effective_policy(model, first) == name
  }

  /// Starts the record reads that are due.
  pub fn audit(&mut self) {
    let now = self.now;
    let due: Vec<String> = self
      .owned
      .iter()
      .filter(|(_, owned)| owned.audit_at <= now)
      .filter(|(_, owned)| {
        owned
          .read_started_at
          .is_none_or(|at| at + READ_TIMEOUT_MS < now)
      })
      .map(|(model, _)| model.clone())
      .take(MAX_READS_PER_PASS)
      .collect();
    for model in due {
      self.read_record(model);
    }
  }

  /// Reads a record that a decision waits for, unless a read is pending.
  pub fn read_record_now(&mut self, model: &str) {
    let not_reading = |owned: &Owned| owned.read_started_at.is_none();
    if self.owned.get(model).is_some_and(not_reading) {
      self.read_record(model.into());
    }
  }

  fn read_record(&mut self, model: String) {
    let Some(owned) = self.owned.get_mut(&model) else {
      return;
    };
    owned.read_started_at = Some(self.now);
    let urgent = !owned.record_read;
    self.emit(Effect::Update {
      tag: Tag::Audit {
        model: model.clone(),
      },
      name: Name::new(Kind::ModelRecord, model),
      change: None,
      urgent,
    });
  }

  /// Handles the outcome of a record read.
  pub fn on_audited(&mut self, model: &str, outcome: Outcome) {
    let interval_ms = self.limits.audit_ms;
    let next_at = self.now + interval_ms / 2 + self.random(interval_ms);
    let retry_at = self.now + self.random(1_000);
    let Some(owned) = self.owned.get_mut(model) else {
      return;
    };
    owned.read_started_at = None;
    let Outcome::Applied(stored) = outcome else {
      owned.audit_at = retry_at;
      return;
    };
    let Value::Model(record) = stored.value else {
      return;
    };
    owned.audit_at = match record.replicas.is_empty() {
      true => next_at + UNPLACED_READ_DELAY_INTERVALS * interval_ms,
      false => next_at,
    };
    self.publish_record(model, stored.version, &record);
    for replica in &record.replicas {
      let key = self.group(model, &replica.policy);
      let group = &mut self.groups[key];
      if group.last_use == 0 {
        group.last_use = self.now;
      }
      if group.history.counts().is_empty() {
        group.history = History::from_counts(&record.gaps);
      }
      self.mark_active(key);
    }
    let groups: Vec<_> = self.active.iter().copied().collect();
    for key in groups {
      if self.groups[key].model == model {
        self.decide(key);
      }
    }
  }

  /// Recovers unfinished replicas of all owned models.
  pub fn recover_all(&mut self) {
    let placed = self.placed.iter();
    let placed: Vec<String> = placed
      .filter(|(model, replicas)| !replicas.is_empty() && self.owned.contains_key(*model))
      .map(|(model, _)| model.clone())
      .collect();
    for model in placed {
      self.recover(&model);
    }
  }

  /// Takes over replicas of an owned model that make no progress.
  pub fn recover(&mut self, model: &str) {
    let replicas = self.placement(model).to_vec();
    for replica in replicas {
      if self.is_stuck(model, &replica) {
        self.adopt(model, replica);
      }
    }
  }

  /// Whether a replica is decided but not loaded and has no job on this instance.
  fn is_stuck(&mut self, model: &str, replica: &Replica) -> bool {
    let known = self
      .facts
      .get(&Key::Residence(replica.server.clone()))
      .is_some();
    let gone = self.listed(&replica.server) == MachineState::Gone;
    let server = self.server(&replica.server);
    let stage = self.servers[server].residents.get(&replica.id);
    let loaded = stage == Some(&Stage::Ready);
    let loading = stage == Some(&Stage::Loading);
    let as_decided = (loaded || loading) && replica.target == Target::Loaded;
    let missing = (known || gone) && !as_decided && !self.jobs.contains_key(&replica.id);
    let now = self.now;
    let Some(owned) = self.owned.get_mut(model) else {
      return false;
    };
    if !missing {
      owned.missing.remove(&replica.id);
      return false;
    }
    owned.missing.entry(replica.id).or_insert(now);
    true
  }

  fn adopt(&mut self, model: &str, replica: Replica) {
    let since = self
      .owned
      .get(model)
      .and_then(|owned| owned.missing.get(&replica.id));
    let age_ms = self.now - since.copied().unwrap_or(self.now);
    let key = self.group(model, &replica.policy);
    let wanted =
      self.groups[key].waiting(self.now) > 0 || self.policy(&replica.policy).min_replicas > 0;
    if replica.target == Target::Gone {
      if age_ms >= ROLL_FORWARD_DELAY_MS {
        self.retire(model, replica, "withdrawn");
      }
    } else if wanted && self.is_usable(&replica.server) {
      if age_ms >= ROLL_FORWARD_DELAY_MS {
        self.start_job(model, replica, Step::Reserve, 0);
      }
    } else if age_ms >= RETIRE_DELAY_MS {
      self.retire(model, replica, "not loaded");
    }
  }

  /// Handles a status report and publishes changes on the engine to all instances.
  pub fn on_reported(&mut self, status: Status) {
    let key = self.server(&status.server);
    let Some(report) = &status.report else {
      self.servers[key].unanswered_polls += 1;
      return;
    };
    self.servers[key].unanswered_polls = 0;
    let version = Version(report.boot, report.seq);
    let residence = Body::Residence {
      residents: report
        .residents
        .iter()
        .map(|resident| Resident {
          replica: resident.replica,
          stage: resident.stage,
        })
        .collect(),
      leaving: report.leaving,
    };
    self.publish_changed(Key::Residence(status.server.clone()), version, residence);
    let cached_models = report.cached.iter();
    let cache = cached_models
      .filter(|cached| cached.tier != Tier::Remote)
      .map(|cached| (short_hash(&cached.model), cached.tier))
      .collect();
    self.publish_changed(
      Key::Cache(status.server.clone()),
      version,
      Body::Cache(cache),
    );
    if self.limits.dispatch == Dispatch::Push {
      self.publish_load(&status.server, version, report);
    }
    self.notify_jobs(&status);
  }

  fn publish_load(&mut self, server: &str, version: Version, report: &Report) {
    let loads = report
      .residents
      .iter()
      .filter(|resident| resident.running > 0)
      .map(|resident| (resident.replica, resident.running))
      .collect();
    self.publish_changed(Key::Load(server.into()), version, Body::Load(loads));
  }

  fn publish_changed(&mut self, key: Key, version: Version, body: Body) {
    let published = self.facts.get(&key);
    // Versions restart with each boot, so an unchanged value is published again after one.
    let same = published.is_some_and(|(old, at)| *old == body && at.0 == version.0);
    if !same {
      self.publish(key, version, body);
    }
  }

  /// Polls the status of the engines of this instance's servers.
  pub fn poll_servers(&mut self) {
    for name in self.owned_servers.clone() {
      if self.listed(&name) == MachineState::Gone {
        continue;
      }
      let key = self.server(&name);
      let interval_ms = self.limits.poll_ms;
      let server = &mut self.servers[key];
      if server.polled_at + interval_ms > self.now {
        continue;
      }
      server.polled_at = self.now;
      if let Some(spec) = self.spec(&name) {
        let address = spec.address.clone();
        self.emit(Effect::Poll {
          server: name,
          address,
        });
      }
    }
  }

  /// Periodically reads the records of this instance's servers.
  pub fn inspect_servers(&mut self) {
    for name in self.owned_servers.clone() {
      let key = self.server(&name);
      if self.servers[key].inspect_at > self.now {
        continue;
      }
      let interval_ms = self.limits.audit_ms;
      self.servers[key].inspect_at = self.now + interval_ms / 2 + self.random(interval_ms);
      self.emit(Effect::Update {
        tag: Tag::Inspect {
          server: name.clone(),
        },
        name: Name::new(Kind::ServerRecord, name),
        change: None,
        urgent: false,
      });
    }
  }

  /// Handles a server record that was read and starts the inspection of reservations
  /// whose replicas are in no placement.
  pub fn on_inspected_server(&mut self, server: &str, outcome: Outcome) {
    let Outcome::Applied(stored) = outcome else {
      return;
    };
    let Value::Server(ledger) = stored.value else {
      return;
    };
    for reservation in ledger.reservations {
      let mut placed = self.placement(&reservation.model).iter();
      let known = placed.any(|replica| replica.id == reservation.replica);
      if known || self.jobs.contains_key(&reservation.replica) {
        continue;
      }
      let replica = Replica {
        id: reservation.replica,
        server: server.into(),
        target: Target::Gone,
        policy: String::new(),
      };
      self.start_job(&reservation.model, replica, Step::Inspect, 0);
    }
  }
}
