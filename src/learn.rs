//! What follows from a newly learned fact.

use crate::{
  catalog::Catalog,
  effect::Effect,
  event::Listing,
  fact::{Body, Key, MachineState, Version},
  group,
  journal::Entry,
  object::{Kind, Name, Object},
  replica::Replica,
  state::State,
};

impl State {
  /// Brings derived state up to date with the fact now held for `key`.
  pub fn apply_fact(&mut self, key: &Key) {
    let Some((body, version)) = self.facts.get(key) else {
      return;
    };
    let body = body.clone();
    match (key, body) {
      (Key::Member(_), Body::Member(_)) => self.refresh_members(),
      (Key::Listing(machine), Body::Listing(listed)) => self.learn_listing(machine, listed),
      (Key::Object(name), Body::Object(value)) => self.learn_object(name, version, value),
      (Key::Placement(model), Body::Placement(replicas)) => {
        self.learn_placement(model, &replicas);
      }
      (Key::Residence(server), Body::Residence { residents, leaving }) => {
        let key = self.server(server);
        let server = &mut self.servers[key];
        server.leaving = leaving;
        let residents = residents.into_iter();
        server.residents = residents
          .map(|resident| (resident.replica, resident.stage))
          .collect();
        self.pump_waiting();
      }
      (Key::Cache(server), Body::Cache(cached)) => {
        let key = self.server(server);
        self.servers[key].cached = cached.into_iter().collect();
      }
      (Key::Load(server), Body::Load(loads)) => {
        let key = self.server(server);
        let server = &mut self.servers[key];
        server.peer_requests = loads
          .into_iter()
          .map(|(id, running)| (id, running.saturating_sub(server.own_load(id))))
          .collect();
        self.pump_waiting();
      }
      (Key::Batch(id), Body::Batch { finished }) => self.learn_batch(id, finished),
      _ => {}
    }
  }

  fn learn_listing(&mut self, machine: &str, listed: MachineState) {
    if listed == MachineState::Live || !self.catalog.servers.contains_key(machine) {
      return;
    }
    let key = self.server(machine);
    let models: Vec<String> = self.servers[key].decided.values().cloned().collect();
    for model in models {
      self.recheck_model(&model);
    }
  }

  fn learn_object(&mut self, name: &Name, version: Version, value: Option<String>) {
    if let Err(why) = self.catalog.put(name, value.as_deref()) {
      // Checked before it became a fact; a peer of another release may differ.
      self.reject(name, version.0, why);
      return;
    }
    self.configured = true;
    self.updates.0 += 1;
    self.updates.1 = self.updates.1.max(version.0);
    if name.kind == Kind::Model {
      self.refresh_owner(&name.name);
    }
    if matches!(name.kind, Kind::Server | Kind::Policy) {
      // Who looks after which server, and what is always kept, may differ now.
      self.owned_epoch = 0;
    }
    self.pump_waiting();
  }

  /// Records what came into force since the last round.
  pub fn log_updates(&mut self) {
    let (objects, version) = std::mem::take(&mut self.updates);
    if objects > 0 {
      self.log(Entry::Configured { objects, version });
    }
  }

  fn reject(&mut self, name: &Name, version: u64, why: String) {
    self.log(Entry::Rejected {
      object: name.to_string(),
      version,
      why: why.clone(),
    });
    let key = Key::Rejected(name.clone());
    self.publish(key, Version(version, 0), Body::Rejected(why));
  }

  /// Takes up objects read from the platform; one that fails its check leaves the
  /// last good one in force.
  pub fn on_configuration_read(&mut self, objects: Vec<Object>) {
    for object in objects {
      let key = Key::Object(object.name.clone());
      let rejected = self.facts.version(&Key::Rejected(object.name.clone()));
      if self.facts.version(&key).0 >= object.version || rejected.0 >= object.version {
        continue;
      }
      match Catalog::check(&object.name, object.value.as_deref()) {
        Ok(()) => self.publish(key, Version(object.version, 0), Body::Object(object.value)),
        Err(why) => self.reject(&object.name, object.version, why),
      }
    }
    self.configured = true;
  }

  /// Takes up the platform's list; what was listed and no longer is has gone.
  pub fn on_instances_listed(&mut self, revision: u64, entries: Vec<Listing>) {
    for entry in &entries {
      if let (Some(peer), true) = (&entry.peer, entry.state != MachineState::Gone) {
        self.seed(&entry.id, peer);
      }
    }
    let vanished: Vec<String> = self
      .facts
      .range(Key::Listing(String::new()))
      .map_while(|(key, body)| match (key, body) {
        (Key::Listing(id), Body::Listing(listed)) => Some((id, listed)),
        _ => None,
      })
      .filter(|(id, listed)| {
        **listed != MachineState::Gone && !entries.iter().any(|e| e.id == **id)
      })
      .map(|(id, _)| id.clone())
      .collect();
    let listed = entries.into_iter().map(|entry| (entry.id, entry.state));
    let gone = vanished.into_iter().map(|id| (id, MachineState::Gone));
    for (id, state) in listed.chain(gone) {
      let key = Key::Listing(id.clone());
      let known = matches!(self.facts.get(&key), Some((Body::Listing(held), _)) if *held == state);
      if !known {
        self.publish(key, Version(revision, 0), Body::Listing(state));
      }
    }
  }

  fn seed(&mut self, id: &str, address: &str) {
    let known = self.peer_address(id).is_some() || self.me.seeds.iter().any(|seed| seed == address);
    if !known && id != self.me.instance {
      self.me.seeds.push(address.into());
    }
  }

  fn learn_placement(&mut self, model: &str, replicas: &[Replica]) {
    for (server, id) in self.placed.remove(model).unwrap_or_default() {
      self.servers[server].decided.remove(&id);
    }
    let owned = self.owned.contains_key(model);
    let mut placed = Vec::new();
    for replica in replicas {
      let server = self.server(&replica.server);
      self.servers[server]
        .decided
        .insert(replica.id, model.into());
      placed.push((server, replica.id));
      if owned {
        let group = self.group(model, &replica.policy);
        self.mark_active(group);
      }
    }
    self.placed.insert(model.into(), placed);
    self.pump_waiting();
  }

  /// Sends what waits, as far as something has become free.
  fn pump_waiting(&mut self) {
    let waiting = |key: &group::Key| !self.groups[*key].queue.is_empty();
    let waiting: Vec<_> = self.active.iter().copied().filter(waiting).collect();
    for key in waiting {
      self.dispatch_queued(key);
    }
  }

  /// Decides who of the fleet reads the platform, and starts or stops reading.
  pub fn choose_watchers(&mut self) {
    let seen = (self.members.epoch, self.configured);
    if self.watchers_chosen_for == Some(seen) {
      return;
    }
    self.watchers_chosen_for = Some(seen);
    self.share_budget();
    let me = &self.me.instance;
    let zone = self.zone_members();
    let watch = zone.is_empty()
      || crate::rendezvous::is_top_ranked(&zone, &self.me.zone, me, WATCHERS_PER_ZONE)
      || !self.configured;
    if watch != self.watching {
      self.watching = watch;
      self.emit(Effect::Watch(watch));
    }
  }

  /// Divides the platform's call budget among the live instances.
  fn share_budget(&mut self) {
    let live = self.members.live.len().max(1) as u32;
    let rate = (self.limits.platform_budget / live).clamp(1, self.limits.platform_rate);
    self.emit(Effect::LimitPlatformRate(rate));
  }

  fn zone_members(&self) -> Vec<String> {
    let same = |id: &&String| match self.facts.get(&Key::Member((*id).clone())) {
      Some((Body::Member(member), _)) => member.zone == self.me.zone,
      _ => false,
    };
    self.members.live.iter().filter(same).cloned().collect()
  }
}

/// Instances of an availability zone that read the platform for the others.
pub const WATCHERS_PER_ZONE: usize = 2;
