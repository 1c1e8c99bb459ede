//! A routing instance's list of backend servers, combined from the entries in the store and the
//! holdings published by the planner.

use crate::{
  backend::{self, Backend, Holding, Spec, Stage},
  build,
  dispatch::{Change, Effect, State},
  life::Life,
  reachability::Outage,
};

/// Time for which a holding is kept if its server has no entry yet. The entry arrives on another
/// path and is read again within a few seconds at most.
const EARLY_HOLDING_TTL_MS: u64 = 10_000;

/// Time for which a server counts as replaced after another one answered at its address. The entry of
/// a server that is gone is removed sooner. A server that is still there would get nothing until its
/// entry changes, and so could not show it.
const REPLACED_MS: u64 = 5_000;

/// How long published loads of servers count, in ms. A lease changes its holder within this time.
const LOADS_VALID_MS: u64 = 5_000;

impl State {
  pub(crate) fn update_servers(&mut self, changes: Vec<Change>) {
    self.changes += 1;
    self.record_passing_builds(&changes);
    for change in changes {
      match change {
        Change::All(specs) => {
          let removed: Vec<String> = self
            .by_id
            .keys()
            .filter(|id| !specs.iter().any(|spec| spec.id == **id))
            .cloned()
            .collect();
          removed.iter().for_each(|id| self.entry_removed(id));
          specs.into_iter().for_each(|spec| self.upsert_listed(spec));
          self.listed = true;
          self.list_complete = true;
        }
        Change::Part(specs) => {
          specs.into_iter().for_each(|spec| self.upsert_listed(spec));
          self.listed = true;
          self.list_complete = false;
          self.streams.interrupt_watch(self.now);
        }
        Change::Set(spec) => self.upsert(spec),
        Change::Removed(id) => self.entry_removed(&id),
        Change::Invalid(id) => self.remove(&id),
      }
    }
    self.drop_missing();
    self.update_builds();
    self.update_brittle();
    self.dispatch_waiting();
  }

  /// Updates a backend from an entry of a complete list, which may come from an older copy of the
  /// store.
  fn upsert_listed(&mut self, spec: Spec) {
    let (id, life) = (spec.id.clone(), spec.life());
    let unsure_until = match self.listed_backend(&id) {
      Some(known) => known.unconfirmed_until,
      None => self.restored.unconfirmed_until(life, self.now),
    };
    self.upsert(spec);
    if let Some(backend) = self.listed_backend_mut(&id) {
      backend.unconfirmed_until = unsure_until;
    }
  }

  fn upsert(&mut self, spec: Spec) {
    if spec.stage == Stage::Draining {
      self.record_leaving_entry(spec.life());
    }
    let known = self.listed_backend(&spec.id);
    let known = known.map(|backend| backend.spec.life());
    if known.is_some_and(|known| known.supersedes(spec.life())) {
      return;
    }
    if known != Some(spec.life()) {
      self.inherit_statements(spec.life());
    }
    if known.is_some_and(|known| spec.life().supersedes(known)) {
      // Requests that still run on the server remain counted for its previous life.
      self.remove(&spec.id);
    }
    let is_leaving = self.leaving.contains(spec.life());
    let now = self.now;
    match self.listed_backend_mut(&spec.id) {
      Some(backend) => {
        backend.spec = spec;
        backend.spec_received_at = now;
        backend.missing_since = None;
        backend.replaced_until = None;
        backend.unconfirmed_until = 0;
        backend.leaving = is_leaving;
      }
      None => {
        let id = spec.id.clone();
        let mut backend = Backend::new(spec, now);
        if let Some((holding, _)) = self.early_holdings.remove(&id)
          && holding.life().applies_to(backend.spec.life())
        {
          backend.update(holding, now);
        }
        // A restored entry may be older than the server's own statement that it is leaving.
        backend.leaving = is_leaving;
        backend.pace = self.paces.pace(backend.spec.life(), now);
        let key = self.backends.insert(backend);
        self.by_id.insert(id, key);
      }
    }
  }

  /// Handles the end of an outage of the store.
  pub(crate) fn store_back(&mut self, outage: &Outage) {
    let missing = self.missing_backends().next().is_some();
    self.expiry.store_back(self.now, outage, missing);
  }

  /// The servers that are not gone.
  pub(crate) fn listed(&self) -> impl Iterator<Item = (backend::Key, &Backend)> {
    let keys = self.by_id.values();
    keys.filter_map(|key| Some((*key, self.backends.get(*key)?)))
  }

  /// The server with this id, unless it is gone.
  pub(crate) fn listed_backend(&self, id: &str) -> Option<&Backend> {
    self.backends.get(*self.by_id.get(id)?)
  }

  fn listed_backend_mut(&mut self, id: &str) -> Option<&mut Backend> {
    self.backends.get_mut(*self.by_id.get(id)?)
  }

  /// Servers whose entries are missing but may return.
  fn missing_backends(&self) -> impl Iterator<Item = &Backend> {
    let listed = self.listed().map(|(_, backend)| backend);
    listed.filter(|backend| backend.missing_since.is_some())
  }

  /// Removes the servers whose entries did not return in time.
  pub(crate) fn drop_missing(&mut self) {
    if !self.expiry.take_ended(self.now) {
      return;
    }
    let missing: Vec<(String, Life)> = self
      .missing_backends()
      .map(|backend| (backend.spec.id.clone(), backend.spec.life()))
      .collect();
    self.changes += u64::from(!missing.is_empty());
    for (id, life) in missing {
      self.restored.record_removal(life, self.now);
      self.remove(&id);
      self.out.push(Effect::Expired(id));
    }
  }

  /// Records that another server answered at a server's address.
  pub(crate) fn record_replaced(&mut self, key: backend::Key) {
    let until = self.now + REPLACED_MS;
    if let Some(backend) = self.backends.get_mut(key) {
      backend.replaced_until = Some(until);
      self.replaced_end = Some(self.replaced_end.map_or(until, |end| end.min(until)));
    }
  }

  /// Lets servers that were found replaced some time ago get requests again, which show whether they
  /// are there.
  pub(crate) fn end_replaced(&mut self) {
    let now = self.now;
    if self.replaced_end.is_none_or(|end| now < end) {
      return;
    }
    for backend in self.backends.values_mut() {
      backend.replaced_until = backend.replaced_until.filter(|until| now < *until);
    }
    let untils = self.backends.values();
    self.replaced_end = untils.filter_map(|backend| backend.replaced_until).min();
    self.changes += 1;
    self.dispatch_waiting();
  }

  /// Handles the removal of a server's entry. Around an outage of the store the entry may return,
  /// so the server is kept for a while unless it was leaving.
  fn entry_removed(&mut self, id: &str) {
    let (now, remaining_ms) = (self.now, self.expiry.remaining_ms(self.now));
    let Some(backend) = self.listed_backend_mut(id) else {
      return;
    };
    if backend.missing_since.is_some() {
      return;
    }
    let id = id.to_string();
    match remaining_ms {
      Some(kept_ms) if !backend.is_leaving() => {
        backend.missing_since = Some(now);
        self.out.push(Effect::Missing { id, kept_ms });
      }
      _ => {
        let life = backend.spec.life();
        self.restored.record_removal(life, self.now);
        self.remove(&id);
        self.out.push(Effect::Removed(id));
      }
    }
  }

  /// Removes a server; its backend is kept while requests run on it, and no entry concerns it any more.
  fn remove(&mut self, id: &str) {
    let Some(key) = self.by_id.remove(id) else {
      return;
    };
    if let Some(backend) = self.backends.get_mut(key) {
      backend.spec.stage = Stage::Draining;
      backend.missing_since = None;
      backend.replaced_until = None;
    }
    self.drop_if_unused(key);
  }

  /// Drops the backend of a server that is gone once no request runs on it.
  pub(crate) fn drop_if_unused(&mut self, key: backend::Key) {
    let unused = self.backends.get(key).is_some_and(|backend| {
      let is_listed = self.by_id.get(&backend.spec.id) == Some(&key);
      backend.running == 0 && !is_listed
    });
    if unused {
      self.backends.remove(key);
    }
  }

  /// Applies published holdings. `snapshot_of` is a group and the number of groups if the holdings
  /// replace all holdings of that group.
  pub(crate) fn receive_holdings(
    &mut self,
    holdings: Vec<Holding>,
    snapshot_of: Option<(u32, u32)>,
  ) {
    let now = self.now;
    self
      .early_holdings
      .retain(|_, (_, received_at)| now < *received_at + EARLY_HOLDING_TTL_MS);
    if let Some((group, groups)) = snapshot_of {
      self
        .early_holdings
        .retain(|id, _| backend::group(id, groups) != group);
      for backend in self.backends.values_mut() {
        if backend::group(&backend.spec.id, groups) == group {
          backend.holding = None;
          backend.loading = None;
        }
      }
    }
    let changed = !holdings.is_empty();
    self.updates += u64::from(changed || snapshot_of.is_some());
    for holding in holdings {
      match self.listed_backend(&holding.id) {
        Some(backend) => {
          let known = backend.spec.clone();
          if known.life().supersedes(holding.life()) {
            continue;
          }
          if holding.life().supersedes(known.life()) {
            self.upsert(restarted_spec(&known, &holding));
            self.update_builds();
          }
          if let Some(backend) = self.listed_backend_mut(&holding.id) {
            backend.update(holding, now);
          }
        }
        None => {
          self
            .early_holdings
            .insert(holding.id.clone(), (holding, now));
        }
      }
    }
    if changed {
      self.dispatch_waiting();
    }
  }

  pub(crate) fn update_loads(&mut self, loads: &[(u32, u16)]) {
    self.loads_at = Some(self.now);
    for backend in self.backends.values_mut() {
      let short = backend.spec.life().short_hash();
      // A server that is not listed has no requests.
      let load = loads.iter().find(|(id, _)| *id == short);
      backend.load = load.map_or(0, |(_, load)| u32::from(*load));
      backend.running_at_publish = backend.running;
    }
  }

  /// Forgets published loads that are too old: only this instance's own requests are known to run.
  pub(crate) fn expire_loads(&mut self) {
    let valid = |at: u64| self.now <= at + LOADS_VALID_MS;
    if self.loads_at.is_none_or(valid) {
      return;
    }
    self.loads_at = None;
    for backend in self.backends.values_mut() {
      backend.load = backend.running;
      backend.running_at_publish = backend.running;
    }
    self.published_waiting.clear();
  }
}

/// The spec of a restarted server, as far as the planner has published it: copies in memory are
/// lost, copies on disk remain. It may have restarted with another build.
fn restarted_spec(known: &Spec, holding: &Holding) -> Spec {
  Spec {
    born: holding.born,
    build: build::Id::UNKNOWN,
    stage: Stage::Ready,
    models: holding.models.clone(),
    in_memory: Vec::new(),
    ..known.clone()
  }
}
