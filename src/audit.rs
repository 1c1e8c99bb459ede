//! Ownership of models, and recovery of what others left unfinished.
//!
//! The owner reads the record of each of its models when it becomes owner and
//! from time to time after that. A replica that is decided but not loaded is
//! rolled forward when someone waits for it, and let go otherwise.

use crate::{
  catalog::Model,
  effect::Effect,
  event::Tag,
  fact::{Body, Key, Listed, Resident, Version, short},
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

/// Reads of records begun in one round of housekeeping.
const READS: usize = 16;
/// How many times rarer the record of a model without replicas is read.
const UNPLACED: u64 = 20;
/// Time after which a read that has not come counts as lost, ms.
const LOST_MS: u64 = 10_000;
/// How long a replica may be decided but not loaded before the owner rolls it
/// forward, ms.
const FORWARD_MS: u64 = 500;
/// How long before the owner lets it go when nobody waits for it, ms.
const LET_GO_MS: u64 = 5_000;

impl State {
  /// Works out which models this instance owns.
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
        let held = self.owned.remove(&model).unwrap_or_default();
        owned.insert(model, held);
      }
    }
    self.owned = owned;
    let servers = self.catalog.servers.keys();
    let tended = servers.filter(|name| self.owns(&format!("server/{name}")));
    self.owned_servers = tended.cloned().collect();
    self.open_standing();
  }

  /// Works out whether this instance owns one model that was configured.
  pub fn refresh_owner(&mut self, model: &str) {
    if !self.catalog.models.contains_key(model) || !self.owns(model) {
      self.owned.remove(model);
    } else if !self.owned.contains_key(model) {
      self.owned.insert(model.into(), Owned::default());
      self.open_standing();
    }
  }

  /// Opens the groups of owned models that some policy always keeps loaded.
  fn open_standing(&mut self) {
    let mut standing = Vec::new();
    for model in self.owned.keys() {
      let Some(spec) = self.catalog.models.get(model) else {
        continue;
      };
      let policies = self.catalog.policies.iter();
      let keeping = policies
        .filter(|(_, policy)| policy.min_replicas > 0 && policy.models.matches(&spec.labels))
        .filter(|(name, policy)| self.rules(name, policy, spec));
      standing.extend(keeping.map(|(policy, _)| (model.clone(), policy.clone())));
    }
    for (model, policy) in standing {
      let key = self.group(&model, &policy);
      self.mark_active(key);
    }
  }

  /// Whether a policy rules a model for some caller.
  fn rules(&self, name: &str, policy: &Policy, model: &Model) -> bool {
    let first = policy.slice.map_or(0, |slice| u64::from(slice.from));
    self.effective_policy(model, first) == name
  }

  /// Begins the reads that are due.
  pub fn audit(&mut self) {
    let now = self.now;
    let due: Vec<String> = self
      .owned
      .iter()
      .filter(|(_, owned)| owned.audit_at <= now)
      .filter(|(_, owned)| owned.read_started_at.is_none_or(|at| at + LOST_MS < now))
      .map(|(model, _)| model.clone())
      .take(READS)
      .collect();
    for model in due {
      self.read_record(model);
    }
  }

  /// Reads a record that a decision waits for, unless it is being read.
  pub fn audit_now(&mut self, model: &str) {
    let idle = |owned: &Owned| owned.read_started_at.is_none();
    if self.owned.get(model).is_some_and(idle) {
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
      name: Name::of(Kind::ModelRecord, model),
      change: None,
      urgent,
    });
  }

  /// Takes up a record that was read.
  pub fn on_audited(&mut self, model: &str, outcome: Outcome) {
    let pause = self.limits.audit_ms;
    let later = self.now + pause / 2 + self.random(pause);
    let soon = self.now + self.random(1_000);
    let Some(owned) = self.owned.get_mut(model) else {
      return;
    };
    owned.read_started_at = None;
    let Outcome::Applied(stored) = outcome else {
      owned.audit_at = soon;
      return;
    };
    let Value::Model(record) = stored.value else {
      return;
    };
    owned.audit_at = match record.replicas.is_empty() {
      true => later + UNPLACED * pause,
      false => later,
    };
    self.see_record(model, stored.version, &record);
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
    let waiting: Vec<_> = self.active.iter().copied().collect();
    for key in waiting {
      if self.groups[key].model == model {
        self.decide(key);
      }
    }
  }

  /// Looks after every owned model that has replicas.
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

  /// Takes on replicas of an owned model that no one brings further.
  pub fn recover(&mut self, model: &str) {
    let replicas = self.placement(model).to_vec();
    for replica in replicas {
      if self.stuck(model, &replica) {
        self.adopt(model, replica);
      }
    }
  }

  /// Whether a replica is decided but not loaded, and nobody here works on it.
  fn stuck(&mut self, model: &str, replica: &Replica) -> bool {
    let known = self
      .facts
      .get(&Key::Residence(replica.server.clone()))
      .is_some();
    let lost = self.listed(&replica.server) == Listed::Gone;
    let server = self.server(&replica.server);
    let stage = self.servers[server].residents.get(&replica.id);
    let loaded = stage == Some(&Stage::Ready);
    let loading = stage == Some(&Stage::Loading);
    let fine = (loaded || loading) && replica.target == Target::Loaded;
    let stuck = (known || lost) && !fine && !self.jobs.contains_key(&replica.id);
    let now = self.now;
    let Some(owned) = self.owned.get_mut(model) else {
      return false;
    };
    if !stuck {
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
    let age = self.now - since.copied().unwrap_or(self.now);
    let key = self.group(model, &replica.policy);
    let wanted =
      self.groups[key].waiting(self.now) > 0 || self.policy(&replica.policy).min_replicas > 0;
    if replica.target == Target::Gone {
      if age >= FORWARD_MS {
        self.retire(model, replica, "withdrawn");
      }
    } else if wanted && self.is_usable(&replica.server) {
      if age >= FORWARD_MS {
        self.start_job(model, replica, Step::Reserve, 0);
      }
    } else if age >= LET_GO_MS {
      self.retire(model, replica, "not loaded");
    }
  }

  /// Takes up a status report: what changed on the engine is published to all.
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
    let near = report.cached.iter();
    let cache = near
      .filter(|cached| cached.tier != Tier::Remote)
      .map(|cached| (short(&cached.model), cached.tier))
      .collect();
    self.publish_changed(
      Key::Cache(status.server.clone()),
      version,
      Body::Cache(cache),
    );
    if self.limits.dispatch == Dispatch::Push {
      self.publish_load(&status.server, version, report);
    }
    self.jobs_reported(&status);
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
    let held = self.facts.get(&key);
    // A new boot starts a new order of versions, so it is published even when alike.
    let same = held.is_some_and(|(held, at)| *held == body && at.0 == version.0);
    if !same {
      self.publish(key, version, body);
    }
  }

  /// Asks the engines this instance looks after for their status.
  pub fn poll_servers(&mut self) {
    for name in self.owned_servers.clone() {
      if self.listed(&name) == Listed::Gone {
        continue;
      }
      let key = self.server(&name);
      let pause = self.limits.poll_ms;
      let server = &mut self.servers[key];
      if server.polled_at + pause > self.now {
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

  /// Reads the records of servers this instance looks after, from time to time.
  pub fn inspect_servers(&mut self) {
    for name in self.owned_servers.clone() {
      let key = self.server(&name);
      if self.servers[key].inspect_at > self.now {
        continue;
      }
      let pause = self.limits.audit_ms;
      self.servers[key].inspect_at = self.now + pause / 2 + self.random(pause);
      self.emit(Effect::Update {
        tag: Tag::Inspect {
          server: name.clone(),
        },
        name: Name::of(Kind::ServerRecord, name),
        change: None,
        urgent: false,
      });
    }
  }

  /// Takes up a server record that was read: looks into reservations of replicas
  /// that no placement names.
  pub fn on_inspected_server(&mut self, server: &str, outcome: Outcome) {
    let Outcome::Applied(stored) = outcome else {
      return;
    };
    let Value::Server(ledger) = stored.value else {
      return;
    };
    for held in ledger.reservations {
      let mut placed = self.placement(&held.model).iter();
      let known = placed.any(|replica| replica.id == held.replica);
      if known || self.jobs.contains_key(&held.replica) {
        continue;
      }
      let replica = Replica {
        id: held.replica,
        server: server.into(),
        target: Target::Gone,
        policy: String::new(),
      };
      self.start_job(&held.model, replica, Step::Inspect, 0);
    }
  }
}
