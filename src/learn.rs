//! Applies newly received facts to the derived state.

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
  /// Updates the derived state from the stored fact for `key`.
  pub fn apply_fact(&mut self, key: &Key) {
    let Some((body, version)) = self.facts.get(key) else {
      return;
    };
    let body = body.clone();
    match (key, body) {
      (Key::Member(_), Body::Member(_)) => self.refresh_members(),
      (Key::Listing(machine), Body::Listing(state)) => self.apply_listing(machine, state),
      (Key::Object(name), Body::Object(value)) => self.apply_object(name, version, value),
      (Key::Placement(model), Body::Placement(replicas)) => {
        self.apply_placement(model, &replicas);
      }
      (Key::Residence(server), Body::Residence { residents, leaving }) => {
        let key = self.server(server);
        let server = &mut self.servers[key];
        server.leaving = leaving;
        let residents = residents.into_iter();
        server.residents = residents
          .map(|resident| (resident.replica, resident.stage))
          .collect();
        self.dispatch_waiting();
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
        self.dispatch_waiting();
      }
      (Key::Batch(id), Body::Batch { finished }) => self.learn_batch(id, finished),
      _ => {}
    }
  }

  fn apply_listing(&mut self, machine: &str, state: MachineState) {
    if state == MachineState::Live || !self.catalog.servers.contains_key(machine) {
      return;
    }
    let key = self.server(machine);
    let models: Vec<String> = self.servers[key].decided.values().cloned().collect();
    for model in models {
      self.recheck_model(&model);
    }
  }

  fn apply_object(&mut self, name: &Name, version: Version, value: Option<String>) {
    if let Err(reason) = self.catalog.put(name, value.as_deref()) {
      // Objects are checked before they become facts, but a peer of another release may check
      // differently.
      self.reject(name, version.0, reason);
      return;
    }
    self.configured = true;
    self.updates.0 += 1;
    self.updates.1 = self.updates.1.max(version.0);
    if name.kind == Kind::Model {
      self.refresh_owner(&name.name);
    }
    if matches!(name.kind, Kind::Server | Kind::Policy) {
      // The owners of servers and the replicas that are always kept may have changed.
      self.owned_epoch = 0;
    }
    self.dispatch_waiting();
  }

  /// Logs how many objects came into force since the last call, and their newest version.
  pub fn log_updates(&mut self) {
    let (objects, version) = std::mem::take(&mut self.updates);
    if objects > 0 {
      self.log(Entry::Configured { objects, version });
    }
  }

  fn reject(&mut self, name: &Name, version: u64, reason: String) {
    self.log(Entry::Rejected {
      object: name.to_string(),
      version,
      why: reason.clone(),
    });
    let key = Key::Rejected(name.clone());
    self.publish(key, Version(version, 0), Body::Rejected(reason));
  }

  /// Publishes objects read from the platform. If an object fails its check, the last valid version
  /// stays in force.
  pub fn on_configuration_read(&mut self, objects: Vec<Object>) {
    for object in objects {
      let key = Key::Object(object.name.clone());
      let rejected = self.facts.version(&Key::Rejected(object.name.clone()));
      if self.facts.version(&key).0 >= object.version || rejected.0 >= object.version {
        continue;
      }
      match Catalog::check(&object.name, object.value.as_deref()) {
        Ok(()) => self.publish(key, Version(object.version, 0), Body::Object(object.value)),
        Err(reason) => self.reject(&object.name, object.version, reason),
      }
    }
    self.configured = true;
  }

  /// Publishes the platform's list of instances; those that are no longer listed are gone.
  pub fn on_instances_listed(&mut self, revision: u64, entries: Vec<Listing>) {
    for entry in &entries {
      if let (Some(peer), true) = (&entry.peer, entry.state != MachineState::Gone) {
        self.add_seed(&entry.id, peer);
      }
    }
    let unlisted: Vec<String> = self
      .facts
      .range(Key::Listing(String::new()))
      .map_while(|(key, body)| match (key, body) {
        (Key::Listing(id), Body::Listing(state)) => Some((id, state)),
        _ => None,
      })
      .filter(|(id, state)| **state != MachineState::Gone && !entries.iter().any(|e| e.id == **id))
      .map(|(id, _)| id.clone())
      .collect();
    let listed = entries.into_iter().map(|entry| (entry.id, entry.state));
    let gone = unlisted.into_iter().map(|id| (id, MachineState::Gone));
    for (id, state) in listed.chain(gone) {
      let key = Key::Listing(id.clone());
      let is_current =
        matches!(self.facts.get(&key), Some((Body::Listing(known), _)) if *known == state);
      if !is_current {
        self.publish(key, Version(revision, 0), Body::Listing(state));
      }
    }
  }

  fn add_seed(&mut self, id: &str, address: &str) {
    let is_known =
      self.peer_address(id).is_some() || self.me.seeds.iter().any(|seed| seed == address);
    if !is_known && id != self.me.instance {
      self.me.seeds.push(address.into());
    }
  }

  fn apply_placement(&mut self, model: &str, replicas: &[Replica]) {
    for (server, id) in self.placed.remove(model).unwrap_or_default() {
      self.servers[server].decided.remove(&id);
    }
    let is_owned = self.owned.contains_key(model);
    let mut placed = Vec::new();
    for replica in replicas {
      let server = self.server(&replica.server);
      self.servers[server]
        .decided
        .insert(replica.id, model.into());
      placed.push((server, replica.id));
      if is_owned {
        let group = self.group(model, &replica.policy);
        self.mark_active(group);
      }
    }
    self.placed.insert(model.into(), placed);
    self.dispatch_waiting();
  }

  /// Dispatches queued requests as far as capacity has become free.
  fn dispatch_waiting(&mut self) {
    let has_queued = |key: &group::Key| !self.groups[*key].queue.is_empty();
    let groups: Vec<_> = self.active.iter().copied().filter(has_queued).collect();
    for key in groups {
      self.dispatch_queued(key);
    }
  }

  /// Decides whether this instance reads the platform for its availability zone, and starts or
  /// stops reading.
  pub fn choose_watchers(&mut self) {
    let chosen_for = (self.members.epoch, self.configured);
    if self.watchers_chosen_for == Some(chosen_for) {
      return;
    }
    self.watchers_chosen_for = Some(chosen_for);
    self.divide_call_budget();
    let me = &self.me.instance;
    let zone = self.zone_members();
    let is_watcher = zone.is_empty()
      || crate::rendezvous::is_top_ranked(&zone, &self.me.zone, me, WATCHERS_PER_ZONE)
      || !self.configured;
    if is_watcher != self.watching {
      self.watching = is_watcher;
      self.emit(Effect::Watch(is_watcher));
    }
  }

  /// Divides the platform's call budget between the live instances.
  fn divide_call_budget(&mut self) {
    let instances = self.members.live.len().max(1) as u32;
    let rate = (self.limits.platform_budget / instances).clamp(1, self.limits.platform_rate);
    self.emit(Effect::LimitPlatformRate(rate));
  }

  fn zone_members(&self) -> Vec<String> {
    let in_own_zone = |id: &&String| match self.facts.get(&Key::Member((*id).clone())) {
      Some((Body::Member(member), _)) => member.zone == self.me.zone,
      _ => false,
    };
    self
      .members
      .live
      .iter()
      .filter(in_own_zone)
      .cloned()
      .collect()
  }
}

/// Instances of an availability zone that read the platform on behalf of the others.
pub const WATCHERS_PER_ZONE: usize = 2;
